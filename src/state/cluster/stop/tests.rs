use super::StopRequest;

#[test]
fn immediate_stop_replaces_stop_with_grace_and_is_sent_again() {
    let mut stop = StopRequest::default();
    stop.request(55.0);
    stop.mark_sent();
    stop.request_immediate();
    assert_eq!(stop.grace_s(), Some(0.0));
    assert!(stop.is_unsent());
    // A repeated request does not have the command sent directly again.
    stop.mark_sent();
    stop.request_immediate();
    assert!(!stop.is_unsent());
}

#[test]
fn stop_with_grace_changes_no_earlier_stop() {
    for earlier_grace_s in [0.0, 4.0] {
        let mut stop = StopRequest::default();
        stop.request(earlier_grace_s);
        stop.request(2.0);
        assert_eq!(stop.grace_s(), Some(earlier_grace_s));
    }
}
