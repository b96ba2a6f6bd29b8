//! Unit tests of the parent module.

use super::*;

#[test]
fn the_default_site_can_be_written_edited_and_read_and_errors_name_the_field() {
    let text = serde_json::to_string(&Site::default()).unwrap();
    assert_eq!(Site::parse(&text).unwrap().controllers, 3);
    let wrong = text.replace("\"failing\":0.0", "\"failing\":1.5");
    let error = format!("{:#}", Site::parse(&wrong).unwrap_err());
    assert_eq!(error, "failing: must be 0 to 1");
}
