use super::*;

#[test]
fn answer_is_shared_by_polls_that_arrived_before_its_round() {
    let mut batch = PollBatch::new(4);
    assert!(batch.add("j-000001", 'a') && batch.add("j-000002", 'b') && batch.add("j-000001", 'c'));
    let round = batch.take_round(1);
    assert_eq!(round, [("j-000001".to_owned(), vec!['a', 'c'])]);
    // The round is under way: this poll needs another.
    assert!(batch.add("j-000001", 'd'));
    let ids: Vec<String> = batch.take_round(9).into_iter().map(|(id, _)| id).collect();
    assert_eq!(ids, ["j-000002", "j-000001"]);
    assert!(batch.take_round(9).is_empty());
    // A flood is bounded, and the bound applies to waiting polls only.
    assert!((0..4).all(|n| batch.add("j-000003", char::from(b'0' + n))));
    assert!(!batch.add("j-000004", 'x'));
    batch.take_round(1);
    assert!(batch.add("j-000004", 'x'));
}

/// Guards against a job of which no poll is ever answered, as each arrives when
/// the budget has just been used for others.
#[test]
fn job_goes_first_when_its_last_poll_was_shed() {
    let mut batch = PollBatch::new(1000);
    let (mut unanswered, mut longest) = (vec![0; 90], 0);
    for _ in 0..40 {
        // All poll in the same order, and ten are answered in a round.
        for n in 0..90 {
            batch.add(&format!("j-{n:06}"), ());
        }
        for (at, (id, _)) in batch.take_round(500).into_iter().enumerate() {
            let n: usize = id[2..].parse().unwrap();
            if at < 10 {
                batch.mark_answered(&id);
                unanswered[n] = 0;
            } else {
                batch.mark_shed(&id);
                unanswered[n] += 1;
                longest = longest.max(unanswered[n]);
            }
        }
    }
    assert!(longest <= 10, "{longest} rounds without an answer");
}
