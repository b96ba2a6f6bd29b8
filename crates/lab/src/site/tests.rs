//! Unit tests of the site description.

use super::*;

#[test]
fn default_site_round_trips_and_parse_errors_name_the_field() {
    let text = serde_json::to_string(&Site::default()).unwrap();
    assert_eq!(Site::parse(&text).unwrap().controllers, 3);
    let invalid = text.replace("\"failing\":0.0", "\"failing\":1.5");
    let error = format!("{:#}", Site::parse(&invalid).unwrap_err());
    assert_eq!(error, "failing: must be 0 to 1");
}
