//! User requests (polls, submissions and cancellations) as state machines without I/O.
//! Each step is taken with what the node knows at that moment (`NodeView`). A step may
//! ask for the leader's answer, a read of the records or a write; each of these may
//! take any time, and its result arrives as the next event.
//!
//! Owns a request from its arrival to its answer. The server's loop calls
//! `Request::step` and performs the I/O that `Next` asks for; the simulation in
//! `tests/` does the same. Requests must never do I/O themselves, and never keep state
//! of a job beyond their own answer: that state belongs to the leader or to
//! `final_states::FinalStates`.
//!
//! To users, the state of a job changes in one direction only: unknown, accepted, and
//! then done or cancelled. An answer is based on what was read after its request
//! arrived, or on memory where that cannot be older than any answer already given. Each
//! answer is checked once more when it is sent: a final state that this node has
//! learned in the meantime overrides it.

mod cancel;
mod poll;
mod provenance;
mod request;
mod settle;
mod submit;
#[cfg(test)]
mod tests;
mod view;

pub use poll::answer_peer_polls;
pub use provenance::{Provenance, Reading, Source};
pub use request::Request;
pub use view::NodeView;

use crate::{
    control::leader::{Leader, Withheld},
    protocol::{state::Txn, users::JobStatus},
    state::{
        Millis,
        records::{FinalRecord, JobRecord},
    },
};
use std::collections::HashMap;

const LEADERSHIP_CHANGING: &str = "leadership is changing";
/// Answer for a request that only a leader can complete while none can be reached.
pub const NO_LEADER: &str = "no leader can be reached";
const RECORDS_LOADING: &str = "a new leader is still loading the records";
/// Answer for a job that will be cancelled because one of its dependencies is
/// cancelled.
pub const CANCELLATION_PENDING: &str =
    "its cancellation, with a job that it depends on, is being recorded";
/// Answer for a job with a dependency whose outcome is not known.
pub const DEPENDENCIES_UNREAD: &str =
    "the jobs that it depends on have not been read yet: one may be cancelled";
const NO_SUCH_JOB: &str = "no such job";

/// The record of a job in the state service, with its version.
#[derive(Debug)]
pub enum Found {
    /// The job is not final yet.
    Live(Box<JobRecord>, u64),
    /// The job is done or cancelled.
    Final(FinalRecord, u64),
    /// The job has no record.
    NoRecord,
}

/// Results of reads by job id; a missing job was never accepted.
pub type LookupResults = HashMap<String, Result<Found, String>>;

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TxnResult {
    /// The transaction was applied at this revision.
    Applied(u64),
    /// The transaction was not applied. Lists the keys whose versions differ.
    Conflict(Vec<String>),
    /// The transaction was not applied: it was refused, or not sent.
    Refused,
    /// The transaction was not applied, and a retry would not be applied either: it
    /// exceeds a limit that has been lowered, or is malformed.
    Rejected,
    /// The outcome is unknown: the transaction may have been applied, or may still be
    /// applied later.
    Unknown,
}

/// Returns the status of a job according to its final record.
pub fn final_status(id: &str, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id: id.to_owned(),
        state: record.state,
        done: record.done,
        running: 0,
    }
}

/// Answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The job's status, with HTTP status 200, or 201 for a job that was not known
    /// before.
    State(u16, JobStatus),
    /// HTTP status 4xx, with a message that gives the reason.
    Refused(u16, String),
    /// HTTP status 503, with the reason why the request cannot be answered now.
    Later(String),
}

impl Answer {
    fn known(status: JobStatus) -> Answer {
        Answer::State(200, status)
    }

    /// Returns the same answer with a newer status. A job that this request accepted
    /// keeps its 201, and a refusal becomes the status of the job, which is known.
    fn with_status(self, status: JobStatus) -> Answer {
        match self {
            Answer::State(code, _) => Answer::State(code, status),
            _ => Answer::known(status),
        }
    }

    fn later(reason: &str) -> Answer {
        Answer::Later(reason.to_owned())
    }

    /// Label of the reason if the job's state was withheld because of its dependencies.
    pub fn withheld_reason(&self) -> Option<&'static str> {
        match self {
            Answer::Later(why) if why == CANCELLATION_PENDING => Some("cancelled_dependency"),
            Answer::Later(why) if why == DEPENDENCIES_UNREAD => Some("dependencies_unread"),
            _ => None,
        }
    }

    fn records_unreadable(error: &str) -> Answer {
        Answer::Later(format!("records can't be read: {error}"))
    }

    /// Converts another node's response, given by status and body, to an answer.
    pub fn relayed(status: u16, body: &[u8]) -> Answer {
        let text = || {
            let v = serde_json::from_slice::<serde_json::Value>(body).ok();
            let error = v.and_then(|v| Some(v.get("error")?.as_str()?.to_owned()));
            error.unwrap_or_default()
        };
        match status {
            200 | 201 => match serde_json::from_slice(body) {
                Ok(job) => Answer::State(status, job),
                Err(_) => Answer::later("the leader's response could not be decoded"),
            },
            400..=499 if status != 429 => Answer::Refused(status, text()),
            _ => Answer::Later(text()),
        }
    }
}

/// Input to a step of a request.
#[derive(Debug)]
pub enum Event {
    /// The request has arrived.
    Arrived,
    /// The leader's answer to the poll of a job.
    LeaderReplied(Reading),
    /// The job's state according to the records.
    Read(Result<Reading, String>),
    /// The leader's answer to a forwarded request; `None` if there is none.
    Forwarded(Option<Answer>),
    /// Whether every controller runs this version.
    VersionsChecked(bool),
    /// The records of the jobs that were looked up.
    LookupResults(LookupResults),
    /// The outcome of the write.
    Wrote(TxnResult),
    /// The write was not started because it exceeds the write budget.
    OverBudget,
    /// The pause is over.
    Waited,
}

/// The action that the caller has to perform next for a request.
#[derive(Debug)]
pub enum Next {
    /// Send this answer; the request is finished.
    Answer(Answer),
    /// Report that the request was forwarded to this node although it is not the
    /// leader.
    NotLeading,
    /// Do nothing: the request is finished, and no user waits for an answer.
    Finished,
    /// Ask the leader for the job's status.
    AskLeader,
    /// Read the job's status from the records, in a batch with other jobs.
    ReadState,
    /// Forward the request to the leader.
    Forward,
    /// Check whether every controller runs this version.
    CheckVersions,
    /// Read the records of these jobs.
    LookUp(Vec<String>),
    /// Perform this write; the flag tells whether it may wait for the write budget.
    Write(Txn, bool),
    /// Pause for this duration.
    Wait(Millis),
}

/// Returns the job's status according to its record alone; `Err` is the answer to send
/// if the read failed.
fn looked_up_status(
    id: &str,
    mut results: LookupResults,
    view: &mut NodeView,
) -> Result<Option<JobStatus>, Answer> {
    match results.remove(id) {
        Some(Ok(found)) => Ok(view.learn(id, found)),
        Some(Err(e)) => Err(Answer::records_unreadable(&e)),
        None => Ok(None),
    }
}

/// Returns the answer for a job with a dependency that the leader knows to be cancelled
/// or has not read. In that case the job's own record must not be used for the answer,
/// as the job may still be queued there.
fn withheld_answer(leader: &Leader, id: &str) -> Option<Answer> {
    match leader.withheld(id)? {
        Withheld::Ending => None,
        Withheld::CancelledWithDependency => Some(Answer::later(CANCELLATION_PENDING)),
        Withheld::DependenciesUnread => Some(Answer::later(DEPENDENCIES_UNREAD)),
    }
}

/// Handles an event that does not fit the current step: logs it, and the user may
/// retry.
fn unexpected_event(event: &Event) -> Next {
    log::error!("user request received an unexpected event: {event:?}");
    Next::Answer(Answer::later(
        "the request could not be completed; retry it",
    ))
}
