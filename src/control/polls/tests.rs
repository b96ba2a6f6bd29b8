use super::PollBatch;

#[test]
fn answer_is_shared_by_polls_that_arrived_before_its_round() {
    let mut batch = PollBatch::new(4);
    assert!(batch.add("j-000001", 'a') && batch.add("j-000002", 'b') && batch.add("j-000001", 'c'));
    let round = batch.take_round(1);
    assert_eq!(round, [("j-000001".to_owned(), vec!['a', 'c'])]);
    // The first round is in progress, so this poll waits for another round.
    assert!(batch.add("j-000001", 'd'));
    let ids: Vec<String> = batch.take_round(9).into_iter().map(|(id, _)| id).collect();
    assert_eq!(ids, ["j-000002", "j-000001"]);
    assert!(batch.take_round(9).is_empty());
    // The number of waiting polls is bounded; polls in a round do not count.
    assert!((0..4).all(|n| batch.add("j-000003", char::from(b'0' + n))));
    assert!(!batch.add("j-000004", 'x'));
    batch.take_round(1);
    assert!(batch.add("j-000004", 'x'));
}

/// Guards against a job whose polls are never answered because each of them arrives
/// when the request budget has just been used for other jobs.
#[test]
fn job_goes_first_when_its_last_poll_was_shed() {
    let mut batch = PollBatch::new(1000);
    let (mut unanswered_rounds, mut longest_wait) = (vec![0; 90], 0);
    for _ in 0..40 {
        // All jobs are polled in the same order, and ten are answered in each round.
        for n in 0..90 {
            batch.add(&format!("j-{n:06}"), ());
        }
        for (position, (id, _)) in batch.take_round(500).into_iter().enumerate() {
            let n: usize = id[2..].parse().unwrap();
            if position < 10 {
                batch.mark_answered(&id);
                unanswered_rounds[n] = 0;
            } else {
                batch.mark_shed(&id);
                unanswered_rounds[n] += 1;
                longest_wait = longest_wait.max(unanswered_rounds[n]);
            }
        }
    }
    assert!(
        longest_wait <= 10,
        "{longest_wait} rounds without an answer"
    );
}
