use super::*;

fn answered(status: u16) -> Attempt {
    Attempt::Answered {
        status,
        retry_after_s: None,
    }
}

#[test]
fn node_is_passed_over_for_a_while_when_three_connections_in_a_row_fail() {
    let mut selector = NodeSelector::new(2, 0);
    for _ in 0..3 {
        // The other node answers each time, and is chosen next.
        selector.record(0, &Attempt::NotSent, 100);
        assert_eq!(selector.choose(100), 1);
        selector.record(1, &answered(503), 100);
    }
    assert_eq!(selector.choose(100), 1, "node 0 is passed over");
    assert_eq!(selector.choose(3100), 0);
    selector.record(0, &answered(200), 3100);
    assert_eq!(selector.choose(3100), 0, "it answers: stay with it");
}
