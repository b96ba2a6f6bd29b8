//! Requests of users: polls, submissions and cancellations, as state machines
//! without I/O. A step is taken with what the node knows at that moment
//! (`NodeView`); what it asks for (the leader's answer, a read of the records, a
//! write) may take any time and comes back as the next event.
//!
//! This module owns a request from its arrival to its answer. The server's loop
//! calls `Request::step` and does the I/O that `Next` asks for; the tests'
//! simulation does the same. Requests must never do I/O themselves, and never
//! keep state of a job beyond their own answer: that is the leader's, or
//! `final_states::FinalStates`.
//!
//! The state of a job that users see is a register that moves one way: unknown,
//! accepted, and then done or cancelled. An answer is made from what was read
//! after its request came in, or from memory where that can't be older than any
//! answer given. It is checked once more as it leaves: a final state that this
//! node has learned meanwhile overrides it.

mod cancel;
mod poll;
mod provenance;
mod request;
mod settle;
mod submit;
#[cfg(test)]
mod tests;
mod view;

pub use poll::polled;
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
const NO_LEADER: &str = "no leader can be reached";
const RECORDS_LOADING: &str = "a new leader is reading the records";
/// A dependency of the job is cancelled, so the job is to be.
pub const CANCELLATION_PENDING: &str =
    "its cancellation, with a job that it depends on, is being recorded";
/// How a dependency of the job ended is not known.
pub const DEPENDENCIES_UNREAD: &str =
    "the jobs that it depends on have not been read yet: one may be cancelled";
const NO_SUCH_JOB: &str = "no such job";

/// The record of a job in the state service, with its version.
#[derive(Debug)]
pub enum Found {
    /// It is not final yet.
    Live(Box<JobRecord>, u64),
    /// It is done or cancelled.
    Final(FinalRecord, u64),
    /// It has no record.
    Nothing,
}

/// Results of reads by job id; a job that is missing was never accepted.
pub type LookupResults = HashMap<String, Result<Found, String>>;

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TxnResult {
    /// Applied, at this revision.
    Done(u64),
    /// Not applied: keys whose versions differ.
    Conflict(Vec<String>),
    /// Not applied: refused, or not sent.
    Refused,
    /// Not applied, and would not be if repeated: over a limit that has been
    /// lowered, or malformed.
    Rejected,
    /// Indeterminate: it may have been applied, or may be yet.
    Unknown,
}

/// The status of a job by its final record.
pub fn final_status(id: &str, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id: id.to_owned(),
        state: record.state,
        done: record.done,
        running: 0,
    }
}

/// The answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// With 200, or 201 for a job that was not known before.
    State(u16, JobStatus),
    /// 4xx, with a line that says why.
    Refused(u16, String),
    /// 503: not now.
    Later(String),
}

impl Answer {
    fn known(status: JobStatus) -> Answer {
        Answer::State(200, status)
    }

    /// The same answer with a newer status: a job that was accepted now keeps its
    /// 201, and a known job is not refused.
    fn with(self, status: JobStatus) -> Answer {
        match self {
            Answer::State(code, _) => Answer::State(code, status),
            _ => Answer::known(status),
        }
    }

    fn later(why: &str) -> Answer {
        Answer::Later(why.to_owned())
    }

    /// Why a job's dependencies forbade to give its state, in a word, if they did.
    pub fn withheld_reason(&self) -> Option<&'static str> {
        match self {
            Answer::Later(why) if why == CANCELLATION_PENDING => Some("cancelled_dependency"),
            Answer::Later(why) if why == DEPENDENCIES_UNREAD => Some("dependencies_unread"),
            _ => None,
        }
    }

    fn unread(e: &str) -> Answer {
        Answer::Later(format!("records can't be read: {e}"))
    }

    /// Another node's answer, by the status and body of its response.
    pub fn relayed(status: u16, body: &[u8]) -> Answer {
        let text = || {
            let v = serde_json::from_slice::<serde_json::Value>(body).ok();
            let error = v.and_then(|v| Some(v.get("error")?.as_str()?.to_owned()));
            error.unwrap_or_default()
        };
        match status {
            200 | 201 => match serde_json::from_slice(body) {
                Ok(job) => Answer::State(status, job),
                Err(_) => Answer::later("the leader's answer can't be read"),
            },
            400..=499 if status != 429 => Answer::Refused(status, text()),
            _ => Answer::Later(text()),
        }
    }
}

/// What a request waited for, as it comes.
#[derive(Debug)]
pub enum Event {
    /// The request has arrived.
    Begin,
    /// The leader's answer to the poll of a job.
    LeaderReplied(Reading),
    /// The job's state by the records.
    Read(Result<Reading, String>),
    /// The leader's answer to a forwarded request. `None`: there is none.
    Forwarded(Option<Answer>),
    /// Whether every controller runs this version.
    Versions(bool),
    /// The records of the jobs that were looked up.
    LookupResults(LookupResults),
    /// The outcome of the write.
    Wrote(TxnResult),
    /// The write was not begun: over the write budget.
    OverBudget,
    /// The pause is over.
    Waited,
}

/// What the caller has to do next for a request.
#[derive(Debug)]
pub enum Next {
    /// Send this answer; the request is over.
    Answer(Answer),
    /// It was forwarded to this node, which does not lead.
    NotLeading,
    /// Nothing: it is over, and nobody waits for an answer.
    Over,
    /// Ask the leader for the job's status.
    AskLeader,
    /// Read the job's status from the records, in a batch with others.
    ReadState,
    /// Forward the request to the leader.
    Forward,
    /// Check whether every controller runs this version.
    Versions,
    /// Read the records of these jobs.
    Look(Vec<String>),
    /// Write; the flag: whether it may wait for the write budget.
    Write(Txn, bool),
    /// Pause for so long.
    Wait(Millis),
}

/// The job's status by a read of its record alone; `Err`: the answer to give
/// where the read failed.
fn looked_up_status(
    id: &str,
    mut results: LookupResults,
    view: &mut NodeView,
) -> Result<Option<JobStatus>, Answer> {
    match results.remove(id) {
        Some(Ok(found)) => Ok(view.learn(id, found)),
        Some(Err(e)) => Err(Answer::unread(&e)),
        None => Ok(None),
    }
}

/// The answer to a question for a job whose dependencies the leader knows to be
/// cancelled, or does not know. The records of the job itself must not be asked in
/// that case: they may still have it queued.
fn withheld_answer(leader: &Leader, id: &str) -> Option<Answer> {
    match leader.withheld(id)? {
        Withheld::Ending => None,
        Withheld::CancelledWithDependency => Some(Answer::later(CANCELLATION_PENDING)),
        Withheld::DependenciesUnread => Some(Answer::later(DEPENDENCIES_UNREAD)),
    }
}

/// An event that does not fit the step: it is logged, and the user may retry.
fn unexpected_event(event: &Event) -> Next {
    log::error!("a request got an answer to what it did not ask: {event:?}");
    Next::Answer(Answer::later("try again"))
}
