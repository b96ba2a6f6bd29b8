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
fn groups_stay_together_and_one_transaction_is_under_way() {
    let mut b = LedgerSync::new(4, 1);
    let group = |a: &str, spent: u64| {
        vec![
            (a.to_owned(), Some(json!(1))),
            ("s".to_owned(), Some(json!(spent))),
        ]
    };
    b.want(group("a", 5));
    b.want(group("b", 7));
    b.want(group("c", 9));
    let first = change(b.next_step());
    assert_eq!(
        first.writes.len(),
        4,
        "a, s, b and the line; the later value of s"
    );
    assert_eq!(first.writes[1], ("s".into(), 0, Some(json!(7))));
    assert_eq!(b.next_step(), None);
    assert!(matches!(b.wrote(1, WriteOutcome::Done(9)), StepResult::Durable(d) if d.len() == 4));
    assert_eq!(b.version("s"), 9);
    assert_eq!(change(b.next_step()).writes.len(), 3);
}

/// Guards against taking a lost answer for a lost leadership, and the
/// other way round.
#[test]
fn a_write_without_an_answer_is_found_out_about() {
    let mut b = LedgerSync::new(8, 1);
    b.loaded("a", 3);
    b.want(vec![("a".into(), Some(json!(1)))]);
    let first = change(b.next_step());
    assert_eq!(b.wrote(1, WriteOutcome::Unknown), StepResult::Nothing);
    assert_eq!(change(b.next_step()), first, "the same again");
    assert_eq!(b.wrote(2, WriteOutcome::Conflict), StepResult::Nothing);
    let read = Some(Step::Read(3, SEQUENCE_KEY.into()));
    assert_eq!(b.next_step(), read);
    let ours = first.writes[1].2.clone().unwrap();
    assert!(matches!(
        b.read(3, Ok(Some((ours, 8)))),
        StepResult::Durable(_)
    ));
    assert_eq!(b.version("a"), 8);
    b.want(vec![("a".into(), None)]);
    b.next_step();
    b.wrote(4, WriteOutcome::Conflict);
    b.next_step();
    assert_eq!(
        b.read(5, Ok(Some((json!("another's"), 9)))),
        StepResult::Superseded
    );
}

/// Guards against what the drawn histories found: a transaction that made
/// records came minutes late, after they had been deleted, and made them
/// again.
#[test]
fn a_late_transaction_finds_the_line_moved_on() {
    let mut b = LedgerSync::new(8, 1);
    b.want(vec![("a".into(), Some(json!(1)))]);
    let late = change(b.next_step());
    b.wrote(1, WriteOutcome::Done(5));
    b.want(vec![("a".into(), None)]);
    b.next_step();
    b.wrote(2, WriteOutcome::Done(6));
    // The key is gone again, as the late one wants it; the line is not.
    let fails = |w: &(String, u64, Option<Value>)| b.version(&w.0) != w.1;
    assert_eq!(b.version("a"), 0);
    assert!(late.writes.iter().any(fails));
}

/// Guards against what the drawn histories found: the doubled answer to
/// one transaction was taken for that of the next, which then was
/// believed to be durable and was not.
#[test]
fn an_answer_counts_for_its_own_step_alone() {
    let mut b = LedgerSync::new(8, 1);
    b.want(vec![("a".into(), Some(json!(1)))]);
    b.next_step();
    assert!(matches!(
        b.wrote(1, WriteOutcome::Done(1)),
        StepResult::Durable(_)
    ));
    b.want(vec![("b".into(), Some(json!(2)))]);
    b.next_step();
    assert_eq!(b.wrote(1, WriteOutcome::Done(1)), StepResult::Nothing);
    assert!(matches!(
        b.wrote(2, WriteOutcome::Done(2)),
        StepResult::Durable(_)
    ));
}

/// Guards against what the drawn histories found: a second answer to a
/// step that was about to be made again dropped the change for good.
#[test]
fn a_second_answer_does_not_drop_what_is_to_be_made_again() {
    let mut b = LedgerSync::new(8, 1);
    b.want(vec![("a".into(), Some(json!(1)))]);
    let first = change(b.next_step());
    b.wrote(1, WriteOutcome::Unknown);
    b.wrote(1, WriteOutcome::Rejected);
    assert_eq!(change(b.next_step()), first);
}
