use super::*;

#[test]
fn a_place_that_is_too_old_moves_to_the_revision_of_an_empty_list() {
    let mut n = AcceptanceFeed::new(7);
    let told = br#"{"ledger_rev":9,"log":[{"set":"n/j-000001","key_rev":8},{"drop":"n/x"}]}"#;
    assert_eq!(
        n.answered(200, told),
        Next::Look(vec!["n/j-000001".to_owned()])
    );
    assert_eq!(n.answered(410, b"{}"), Next::List);
    n.listed(20_000);
    assert!(n.path(5).ends_with("from=20000&wait_ms=5"));
    // An answer that can't be read, like one that is none, is no news.
    assert_eq!(n.answered(200, b"<"), Next::Pause);
    assert_eq!(n.answered(503, b""), Next::Pause);
    assert!(n.path(5).contains("from=20000&"));
}
