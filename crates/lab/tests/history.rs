//! The history of what users were told: each broken rule that it names.

use pathwinch_lab::scale::history::{Answered, History, Said};
use pathwinch_protocol::users::JobState;

const JOB: &str = "j-000001";

fn answered(history: &mut History, controller: &str, sent: u64, came: u64, said: Said) {
    history.answered(&Answered {
        job: JOB,
        controller,
        sent,
        came,
        said,
    });
}

fn told(history: &mut History, sent: u64, came: u64, state: JobState) {
    answered(history, "c1", sent, came, Said::State(state));
}

#[test]
fn an_answer_older_than_one_before_it_is_named_also_where_the_questions_overlapped() {
    let mut history = History::default();
    told(&mut history, 0, 10, JobState::Queued);
    told(&mut history, 20, 30, JobState::Done);
    told(&mut history, 31, 40, JobState::Done);
    assert!(history.broken().is_empty(), "{:?}", history.broken());
    let late = Said::State(JobState::Running);
    answered(&mut history, "c2", 25, 35, late);
    let named = "went_back: j-000001 was Done by c1 at 30 ms, then Running; \
                 asked of c2 at 25 ms, answered at 35 ms";
    assert_eq!(history.broken(), [named]);
    assert_eq!(history.answers(), 4);
}

#[test]
fn a_job_is_called_cancelled_only_if_its_user_asked() {
    let mut history = History::default();
    history.asked_to_withdraw(JOB);
    told(&mut history, 0, 10, JobState::Cancelled);
    assert!(history.broken().is_empty());
    let mut history = History::default();
    told(&mut history, 0, 10, JobState::Cancelled);
    assert!(history.broken()[0].contains("nobody asked"));
}

#[test]
fn a_refusal_may_cross_the_acceptance_but_not_come_after_it() {
    for (sent, came, wrong) in [(5, 15, false), (5, 2_000, true), (11, 15, true)] {
        let mut history = History::default();
        told(&mut history, 0, 10, JobState::Queued);
        answered(&mut history, "c2", sent, came, Said::Refused(404));
        assert_eq!(history.broken().len(), usize::from(wrong), "{sent} {came}");
    }
    let mut history = History::default();
    answered(&mut history, "c2", 0, 5, Said::Refused(404));
    told(&mut history, 0, 10, JobState::Queued);
    assert!(history.broken().is_empty());
}

#[test]
fn what_was_long_ago_is_forgotten() {
    let mut history = History::default();
    told(&mut history, 0, 10, JobState::Done);
    let other = |job, came| Answered {
        job,
        controller: "c1",
        sent: came,
        came,
        said: Said::State(JobState::Queued),
    };
    history.answered(&other("j-000002", 200_000));
    history.answered(&other(JOB, 200_001));
    assert!(history.broken().is_empty());
}
