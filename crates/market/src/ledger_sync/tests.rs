//! Unit tests of the parent module.

use super::*;
use serde_json::json;

fn change(step: Option<Step>) -> Change {
    match step {
        Some(Step::Write(_, c)) => c,
        other => panic!("{other:?}"),
    }
}

#[test]
fn groups_are_merged_into_one_transaction_at_a_time() {
    let mut sync = LedgerSync::new(4, 1);
    let group = |a: &str, spent: u64| {
        vec![
            (a.to_owned(), Some(json!(1))),
            ("s".to_owned(), Some(json!(spent))),
        ]
    };
    sync.enqueue(group("a", 5));
    sync.enqueue(group("b", 7));
    sync.enqueue(group("c", 9));
    let first = change(sync.next_step());
    assert_eq!(
        first.writes.len(),
        4,
        "a, s, b and the sequence key; s has its later value"
    );
    assert_eq!(first.writes[1], ("s".into(), 0, Some(json!(7))));
    assert_eq!(sync.next_step(), None);
    assert!(
        matches!(sync.on_write(1, WriteOutcome::Done(9)), StepResult::Durable(d) if d.len() == 4)
    );
    assert_eq!(sync.version("s"), 9);
    assert_eq!(change(sync.next_step()).writes.len(), 3);
}

/// Guards against treating a lost answer as a lost leadership, and a lost
/// leadership as a lost answer.
#[test]
fn write_without_answer_is_resolved_by_reading_the_sequence_key() {
    let mut sync = LedgerSync::new(8, 1);
    sync.set_version("a", 3);
    sync.enqueue(vec![("a".into(), Some(json!(1)))]);
    let first = change(sync.next_step());
    assert_eq!(sync.on_write(1, WriteOutcome::Unknown), StepResult::Nothing);
    assert_eq!(
        change(sync.next_step()),
        first,
        "the same transaction is sent again"
    );
    assert_eq!(
        sync.on_write(2, WriteOutcome::Conflict),
        StepResult::Nothing
    );
    let read = Some(Step::Read(3, SEQUENCE_KEY.into()));
    assert_eq!(sync.next_step(), read);
    let our_value = first.writes[1].2.clone().unwrap();
    assert!(matches!(
        sync.on_read(3, Ok(Some((our_value, 8)))),
        StepResult::Durable(_)
    ));
    assert_eq!(sync.version("a"), 8);
    sync.enqueue(vec![("a".into(), None)]);
    sync.next_step();
    sync.on_write(4, WriteOutcome::Conflict);
    sync.next_step();
    assert_eq!(
        sync.on_read(5, Ok(Some((json!("another's"), 9)))),
        StepResult::Superseded
    );
}

/// Guards against a fault found by the random histories: a transaction that
/// creates records arrived minutes late, after the records had been deleted, and
/// created them again.
#[test]
fn late_transaction_fails_on_the_sequence_key() {
    let mut sync = LedgerSync::new(8, 1);
    sync.enqueue(vec![("a".into(), Some(json!(1)))]);
    let late_change = change(sync.next_step());
    sync.on_write(1, WriteOutcome::Done(5));
    sync.enqueue(vec![("a".into(), None)]);
    sync.next_step();
    sync.on_write(2, WriteOutcome::Done(6));
    // The key does not exist again, as the late transaction demands, but the
    // sequence key has another version.
    let condition_fails = |w: &(String, u64, Option<Value>)| sync.version(&w.0) != w.1;
    assert_eq!(sync.version("a"), 0);
    assert!(late_change.writes.iter().any(condition_fails));
}

/// Guards against a fault found by the random histories: the duplicate answer to
/// one transaction was taken for the answer to the next, which was then treated
/// as durable although it was not.
#[test]
fn duplicate_answer_is_ignored_for_the_next_step() {
    let mut sync = LedgerSync::new(8, 1);
    sync.enqueue(vec![("a".into(), Some(json!(1)))]);
    sync.next_step();
    assert!(matches!(
        sync.on_write(1, WriteOutcome::Done(1)),
        StepResult::Durable(_)
    ));
    sync.enqueue(vec![("b".into(), Some(json!(2)))]);
    sync.next_step();
    assert_eq!(sync.on_write(1, WriteOutcome::Done(1)), StepResult::Nothing);
    assert!(matches!(
        sync.on_write(2, WriteOutcome::Done(2)),
        StepResult::Durable(_)
    ));
}

/// Guards against a fault found by the random histories: a second answer to a
/// step whose change was to be retried dropped the change for good.
#[test]
fn second_answer_keeps_the_change_that_is_to_be_retried() {
    let mut sync = LedgerSync::new(8, 1);
    sync.enqueue(vec![("a".into(), Some(json!(1)))]);
    let first = change(sync.next_step());
    sync.on_write(1, WriteOutcome::Unknown);
    sync.on_write(1, WriteOutcome::Rejected);
    assert_eq!(change(sync.next_step()), first);
}
