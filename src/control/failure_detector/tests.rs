use super::{
    FailureDetector, PeerHealth, RedirectTarget, UNRESPONSIVE_AFTER_MS, UNRESPONSIVE_REQUEST_AGE_MS,
};

#[test]
fn peer_is_unresponsive_before_its_request_times_out() {
    let mut detector = FailureDetector::new("n-0", &["n-1", "n-2", "n-3"]);
    detector.request_sent(0, 1000);
    assert_eq!(
        detector.health(0, 1000 + UNRESPONSIVE_REQUEST_AGE_MS),
        PeerHealth::Healthy
    );
    assert_eq!(
        detector.health(0, 1001 + UNRESPONSIVE_REQUEST_AGE_MS),
        PeerHealth::Unresponsive
    );
    // Two requests are open: an answer to one shows that the peer is only slow.
    detector.request_sent(0, 1100);
    detector.request_ended(0, PeerHealth::Healthy, 1500);
    assert_eq!(detector.health(0, 1600), PeerHealth::Healthy);
    detector.request_ended(0, PeerHealth::Unresponsive, 1900);
    assert_eq!(detector.health(0, 1900), PeerHealth::Unresponsive);
    assert!(!detector.probe_due(0, 300, 2100) && detector.probe_due(0, 300, 2200));
}

#[test]
fn failover_position_is_unfavourable_when_only_this_nodes_successor_is_unresponsive() {
    // Workers try the controllers in the order n-2, n-9, n-10, n-2.
    let mut detector = FailureDetector::new("n-9", &["n-10", "n-2"]);
    assert_eq!(detector.successor(), Some(0));
    detector.request_sent(0, 0);
    detector.request_ended(0, PeerHealth::Unresponsive, 700);
    assert!(
        !detector.unfavourable_failover_position(800),
        "the peer may only be slow"
    );
    assert!(
        detector.unfavourable_failover_position(700 + UNRESPONSIVE_AFTER_MS),
        "n-2 is better: workers try this node after it"
    );
    // A peer that refuses connections delays a worker only negligibly.
    detector.request_sent(0, 4000);
    detector.request_ended(0, PeerHealth::Refusing, 4001);
    assert!(!detector.unfavourable_failover_position(9000));
    // No other position is better if the other peer is unresponsive too.
    for peer in [0, 1] {
        detector.request_sent(peer, 10_000);
        detector.request_ended(peer, PeerHealth::Unresponsive, 10_700);
    }
    assert!(!detector.unfavourable_failover_position(20_000));
}

#[test]
fn worker_is_redirected_to_healthy_peers_when_the_leader_is_unresponsive() {
    let mut detector = FailureDetector::new("n-0", &["n-1", "n-2", "n-3"]);
    assert_eq!(
        detector.redirect_target(Some(1), 0),
        RedirectTarget::Leader(1)
    );
    detector.request_sent(1, 0);
    detector.request_ended(1, PeerHealth::Refusing, 10);
    assert_eq!(
        detector.redirect_target(Some(1), 20),
        RedirectTarget::Leader(1),
        "a refusal costs a worker little time"
    );
    detector.request_sent(1, 20);
    detector.request_ended(1, PeerHealth::Unresponsive, 700);
    let targets: Vec<RedirectTarget> = (0..4)
        .map(|_| detector.redirect_target(Some(1), 700))
        .collect();
    assert!(
        targets.contains(&RedirectTarget::Healthy(0))
            && targets.contains(&RedirectTarget::Healthy(2))
    );
    assert!(!targets.contains(&RedirectTarget::Healthy(1)));
    for peer in [0, 2] {
        detector.request_sent(peer, 700);
        detector.request_ended(peer, PeerHealth::Unresponsive, 1400);
    }
    assert_eq!(detector.redirect_target(None, 1400), RedirectTarget::Any);
}
