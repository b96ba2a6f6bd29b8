use super::HeartbeatRelays;

#[test]
fn worker_is_redirected_unless_the_leader_requests_a_relay() {
    let mut relays = HeartbeatRelays::default();
    assert!(!relays.should_relay("i-1", 100));
    // The leader requests the relay, so the worker loses no time with a second attempt.
    relays.request_relay(&["i-1".into()], 15_000, 2_000);
    assert!(relays.should_relay("i-1", 5_000));
    assert!(relays.should_relay("i-1", 16_000));
    assert!(!relays.should_relay("i-2", 16_000));
}

#[test]
fn worker_is_relayed_for_a_while_when_it_returns_from_a_redirect() {
    let mut relays = HeartbeatRelays::default();
    assert!(!relays.should_relay("i-1", 0));
    assert!(
        !relays.should_relay("i-1", 500),
        "the worker has not waited for the leader"
    );
    assert!(relays.should_relay("i-1", 6_000));
    assert!(relays.should_relay("i-1", 35_000));
    assert!(!relays.should_relay("i-1", 36_500));
    relays.clear();
    assert!(!relays.should_relay("i-1", 40_000));
}
