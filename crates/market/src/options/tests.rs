//! Unit tests of the parent module.

use super::*;

#[test]
fn parse_errors_name_the_key_and_budgets_are_exact() {
    let options = Options::parse(
        "[lend]\nclasses = slice, render\n[budget]\ngraphics = 12.5\n\
             [market]\nnorth = 10.9.0.1:8443\n",
    )
    .unwrap();
    assert_eq!(options.classes, ["slice", "render"]);
    assert_eq!(options.budgets["graphics"], 12_500_000);
    let parse_error = |text: &str| format!("{:#}", Options::parse(text).unwrap_err());
    assert_eq!(
        parse_error("[lend]\nworth = 1.5\n"),
        "lend.worth: 1.5 is outside 0 to 1"
    );
    assert_eq!(
        parse_error("[lent]\nx = 1\n"),
        "lent.x: unknown section or key"
    );
    assert!(parse_error("[award]\ntenancy_s = 5\n").starts_with("award.start_within_s"));
}

#[test]
fn deployed_options_file_equals_the_defaults() {
    let text = include_str!("../../../../deploy/market.ini");
    let options = Options::parse(text).unwrap();
    assert_eq!(options, Options::default());
}
