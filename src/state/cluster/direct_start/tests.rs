use super::DirectStart;

#[test]
fn start_may_arrive_until_higher_token_is_seen() {
    let mut start = DirectStart::default();
    assert!(!start.may_arrive(0));
    start.mark_sent(7);
    assert!(start.may_arrive(6) && start.may_arrive(7) && !start.may_arrive(8));
    assert!(start.resolve(7, true));
    assert!(!start.is_unanswered());
    assert!(start.may_arrive(7) && !start.may_arrive(8));
}

#[test]
fn refused_start_never_arrives_but_earlier_one_may() {
    let mut start = DirectStart::up_to(5);
    start.mark_sent(7);
    assert!(!start.resolve(6, true));
    assert!(start.resolve(7, false));
    assert!(start.may_arrive(5) && !start.may_arrive(6));
}
