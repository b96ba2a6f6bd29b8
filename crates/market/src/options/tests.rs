//! Unit tests of the parent module.

use super::*;

#[test]
fn errors_name_the_key_and_budgets_are_exact() {
    let o = Options::parse(
        "[lend]\nclasses = slice, render\n[budget]\ngraphics = 12.5\n\
             [market]\nnorth = 10.9.0.1:8443\n",
    )
    .unwrap();
    assert_eq!(o.classes, ["slice", "render"]);
    assert_eq!(o.budgets["graphics"], 12_500_000);
    let wrong = |text: &str| format!("{:#}", Options::parse(text).unwrap_err());
    assert_eq!(
        wrong("[lend]\nworth = 1.5\n"),
        "lend.worth: 1.5 is outside 0 to 1"
    );
    assert_eq!(wrong("[lent]\nx = 1\n"), "lent.x: unknown section or key");
    assert!(wrong("[award]\ntenancy_s = 5\n").starts_with("award.start_within_s"));
}

#[test]
fn the_file_under_deploy_is_sound_and_lends_nothing_as_it_is() {
    let text = include_str!("../../../../deploy/market.ini");
    let o = Options::parse(text).unwrap();
    assert_eq!(o, Options::default());
}
