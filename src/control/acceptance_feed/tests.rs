use super::{AcceptanceFeed, Next};

#[test]
fn position_moves_to_the_list_revision_when_it_is_too_old_and_the_list_is_empty() {
    let mut feed = AcceptanceFeed::new(7);
    let body = br#"{"ledger_rev":9,"log":[{"set":"n/j-000001","key_rev":8},{"drop":"n/x"}]}"#;
    assert_eq!(
        feed.answered(200, body),
        Next::LookUp(vec!["n/j-000001".to_owned()])
    );
    assert_eq!(feed.answered(410, b"{}"), Next::List);
    feed.listed(20_000);
    assert!(feed.path(5).ends_with("from=20000&wait_ms=5"));
    // A response that cannot be decoded, or is an error, does not change the position.
    assert_eq!(feed.answered(200, b"<"), Next::Pause);
    assert_eq!(feed.answered(503, b""), Next::Pause);
    assert!(feed.path(5).contains("from=20000&"));
}
