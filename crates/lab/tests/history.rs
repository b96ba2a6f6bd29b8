//! Tests of the check that answers to users are monotonic: each kind of violation that
//! it reports.

use pathwinch_lab::scale::history::{AnswerContent, History, UserAnswer};
use pathwinch_protocol::users::JobState;

const JOB: &str = "j-000001";

fn record_answer(
    history: &mut History,
    controller: &str,
    sent: u64,
    received: u64,
    content: AnswerContent,
) {
    history.record_answer(&UserAnswer {
        job: JOB,
        controller,
        sent,
        received,
        content,
    });
}

fn report_state(history: &mut History, sent: u64, received: u64, state: JobState) {
    record_answer(history, "c1", sent, received, AnswerContent::State(state));
}

#[test]
fn older_state_is_reported_when_a_later_one_was_read_even_if_requests_overlap() {
    let mut history = History::default();
    report_state(&mut history, 0, 10, JobState::Queued);
    report_state(&mut history, 20, 30, JobState::Done);
    report_state(&mut history, 31, 40, JobState::Done);
    assert!(
        history.violations().is_empty(),
        "{:?}",
        history.violations()
    );
    let outdated = AnswerContent::State(JobState::Running);
    record_answer(&mut history, "c2", 25, 35, outdated);
    let expected = "went_back: j-000001 was reported Done by c1 at 30 ms, then Running; \
                 requested from c2 at 25 ms, answered at 35 ms";
    assert_eq!(history.violations(), [expected]);
    assert_eq!(history.answers(), 4);
}

#[test]
fn cancelled_state_is_reported_when_the_user_did_not_ask_for_it() {
    let mut history = History::default();
    history.record_cancel_request(JOB);
    report_state(&mut history, 0, 10, JobState::Cancelled);
    assert!(history.violations().is_empty());
    let mut history = History::default();
    report_state(&mut history, 0, 10, JobState::Cancelled);
    assert!(history.violations()[0].contains("without a request to cancel it"));
}

#[test]
fn refusal_is_reported_when_it_follows_the_acceptance_or_is_too_late() {
    for (sent, received, violates) in [(5, 15, false), (5, 2_000, true), (11, 15, true)] {
        let mut history = History::default();
        report_state(&mut history, 0, 10, JobState::Queued);
        record_answer(
            &mut history,
            "c2",
            sent,
            received,
            AnswerContent::Refused(404),
        );
        assert_eq!(
            history.violations().len(),
            usize::from(violates),
            "{sent} {received}"
        );
    }
    let mut history = History::default();
    record_answer(&mut history, "c2", 0, 5, AnswerContent::Refused(404));
    report_state(&mut history, 0, 10, JobState::Queued);
    assert!(history.violations().is_empty());
}

#[test]
fn job_is_forgotten_after_the_retention_time() {
    let mut history = History::default();
    report_state(&mut history, 0, 10, JobState::Done);
    let other = |job, received| UserAnswer {
        job,
        controller: "c1",
        sent: received,
        received,
        content: AnswerContent::State(JobState::Queued),
    };
    history.record_answer(&other("j-000002", 200_000));
    history.record_answer(&other(JOB, 200_001));
    assert!(history.violations().is_empty());
}
