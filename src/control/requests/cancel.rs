//! The steps of a cancellation. Only a leader records a cancellation; every other node
//! forwards the request. The answer is sent once the final record, or the cancellation
//! in the job's record, is written. Called by `request`.
//!
//! Must never answer that a job is cancelled before that is recorded.

use super::{
    Answer, CANCELLATION_PENDING, Event, LEADERSHIP_CHANGING, NO_LEADER, NO_SUCH_JOB, Next,
    NodeView, RECORDS_LOADING, looked_up_status, unexpected_event,
};
use crate::{control::leader::Withheld, state::Millis};

/// How long to wait for the record. This is less than users wait for an answer.
const RECORD_TIMEOUT_MS: Millis = 1_500;
/// Interval of the checks whether the record is written, about the duration of a write.
const RECORD_CHECK_INTERVAL_MS: Millis = 15;

/// A cancellation in progress.
#[derive(Debug, Default)]
pub(super) struct Cancel {
    /// When the leader was first asked to record the cancellation.
    requested_at: Option<Millis>,
}

impl Cancel {
    pub(super) fn step(
        &mut self,
        id: &str,
        forwarded: bool,
        event: Event,
        view: &mut NodeView,
    ) -> Next {
        match event {
            Event::Arrived if id.is_empty() => {
                Next::Answer(Answer::Refused(404, NO_SUCH_JOB.into()))
            }
            Event::Arrived => match (view.known_final_status(id), view.acting_leader()) {
                (Some(status), _) => Next::Answer(Answer::known(status)),
                (None, Some(leader)) if !leader.loaded() => {
                    Next::Answer(Answer::later(RECORDS_LOADING))
                }
                (None, Some(_)) => self.check_status(id, view),
                (None, None) if forwarded => Next::NotLeading,
                (None, None) => Next::Forward,
            },
            Event::Forwarded(Some(answer)) => Next::Answer(answer),
            Event::Forwarded(None) => Next::Answer(Answer::later(NO_LEADER)),
            Event::LookupResults(results) => {
                match (looked_up_status(id, results, view), view.may_act) {
                    (_, false) => Next::Answer(Answer::later(LEADERSHIP_CHANGING)),
                    (Ok(Some(status)), _) if status.state.is_final() => {
                        Next::Answer(Answer::known(status))
                    }
                    (Ok(Some(_)), _) => self.request_record(id, view),
                    (Ok(None), _) => Next::Answer(Answer::Refused(404, NO_SUCH_JOB.into())),
                    (Err(answer), _) => Next::Answer(answer),
                }
            }
            Event::Waited => self.check_status(id, view),
            other => unexpected_event(&other),
        }
    }

    /// Answers with the job's status if it is final; otherwise has the leader cancel
    /// the job.
    fn check_status(&mut self, id: &str, view: &mut NodeView) -> Next {
        let Some(leader) = view.acting_leader() else {
            return Next::Answer(Answer::later(LEADERSHIP_CHANGING));
        };
        match (leader.withheld(id), leader.answerable_status(id)) {
            // The job's final record is being written, and it decides the outcome.
            (Some(Withheld::Ending), _) => self.request_record(id, view),
            (_, Some(status)) if status.state.is_final() => Next::Answer(Answer::known(status)),
            (Some(Withheld::CancelledWithDependency), None) => {
                Next::Answer(Answer::later(CANCELLATION_PENDING))
            }
            // A job with unread dependencies has not started, so it can be cancelled
            // whatever the state of its dependencies.
            (Some(Withheld::DependenciesUnread), None) | (None, Some(_)) => {
                self.request_record(id, view)
            }
            _ => Next::LookUp(vec![id.to_owned()]),
        }
    }

    /// Has the leader record the cancellation, and checks again after a pause.
    fn request_record(&mut self, id: &str, view: &mut NodeView) -> Next {
        let requested_at = *self.requested_at.get_or_insert(view.now);
        let timed_out = view.now > requested_at + RECORD_TIMEOUT_MS;
        match view.acting_leader() {
            Some(leader) if !timed_out => {
                leader.cancel(id);
                Next::Wait(RECORD_CHECK_INTERVAL_MS)
            }
            _ => Next::Answer(Answer::later("the cancellation could not be recorded yet")),
        }
    }
}
