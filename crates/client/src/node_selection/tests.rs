use super::*;

fn answered(status: u16) -> Attempt {
    Attempt::Answered {
        status,
        retry_after_s: None,
    }
}

#[test]
fn node_is_skipped_temporarily_when_three_consecutive_connections_fail() {
    let mut selector = NodeSelector::new(2, 0);
    for _ in 0..3 {
        // Node 1 is chosen after each failure of node 0. Its 503 moves the
        // selection back to node 0.
        selector.record(0, &Attempt::NotSent, 100);
        assert_eq!(selector.choose(100), 1);
        selector.record(1, &answered(503), 100);
    }
    assert_eq!(selector.choose(100), 1, "node 0 is skipped");
    assert_eq!(selector.choose(3100), 0);
    selector.record(0, &answered(200), 3100);
    assert_eq!(
        selector.choose(3100),
        0,
        "node 0 serves requests and is kept"
    );
}
