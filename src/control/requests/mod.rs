//! What users are told: polls, submissions and cancellations, in steps that do
//! no input or output. A step is taken with what the node knows at that moment;
//! what it asks for (the leader's word, a look at the records, a write) may
//! take any time and comes back as the next event.
//!
//! What may be said of a job is a register that moves one way: unknown,
//! accepted, and then done or cancelled. An answer is made from what was read
//! after its request came in, or from memory where that can't be older than
//! any answer given. As it leaves it is looked at once more: an end that this
//! node has learned meanwhile goes before it.

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

use super::{leader::Leader, polls::FinalStates, safety_bounds::MAX_READING_AGE_MS};
use crate::{
    protocol::{
        cloud::MachineType,
        settings::Settings,
        state::Txn,
        users::{JobSpec, JobState, JobStatus, is_valid_job_id},
    },
    state::{
        Millis,
        records::{FinalRecord, JobRecord},
    },
};
use std::collections::HashMap;

const LOST: &str = "leadership is changing";
const NO_LEADER: &str = "no leader can be reached";
const UNREAD: &str = "a new leader is reading the records";
const WITHHELD: &str = "its withdrawal, with a job that it needs, is being recorded";
const NO_SUCH: &str = "no such job";

/// What stands in the store about a job.
#[derive(Debug)]
pub enum Found {
    Live(Box<JobRecord>, u64),
    Final(FinalRecord, u64),
    Nothing,
}

/// By job; one that is missing was never accepted.
pub type LookupResults = HashMap<String, Result<Found, String>>;

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TxnResult {
    Done(u64),
    /// Keys whose versions differ.
    Conflict(Vec<String>),
    /// Not executed: refused, or not sent.
    Refused,
    /// Not executed, and would not be if it came again: over a limit that has
    /// fallen, or malformed.
    Rejected,
    /// May have been executed, or may be yet.
    Unknown,
}

pub fn final_status(id: &str, record: &FinalRecord) -> JobStatus {
    JobStatus {
        id: id.to_owned(),
        state: record.state,
        done: record.done,
        running: 0,
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// With 200, or 201 for a job that was not known before.
    State(u16, JobStatus),
    Refused(u16, String),
    /// 503: not now.
    Later(String),
}

impl Answer {
    fn known(status: JobStatus) -> Answer {
        Answer::State(200, status)
    }

    /// With this state in place of an older reading: a job that was accepted
    /// now stays one, and one that is known is not refused.
    fn with(self, status: JobStatus) -> Answer {
        match self {
            Answer::State(code, _) => Answer::State(code, status),
            _ => Answer::known(status),
        }
    }

    fn later(why: &str) -> Answer {
        Answer::Later(why.to_owned())
    }

    fn unread(e: &str) -> Answer {
        Answer::Later(format!("records can't be read: {e}"))
    }

    /// Another node's answer, as it was passed on.
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

/// What a request waits for.
#[derive(Debug)]
pub enum Event {
    Begin,
    /// The leader's word on a polled job.
    LeaderReplied(Reading),
    /// The polled job's state by the records.
    Read(Result<Reading, String>),
    /// The leader's answer. `None`: there is none.
    Forwarded(Option<Answer>),
    /// Whether every controller runs this version.
    Versions(bool),
    LookupResults(LookupResults),
    Wrote(TxnResult),
    /// The write was not begun: over the budget.
    OverBudget,
    Waited,
}

/// What is to be done next for a request.
#[derive(Debug)]
pub enum Next {
    Answer(Answer),
    /// It was passed on to this node, which does not lead.
    NotLeading,
    /// Nothing is left to be done, and nobody waits.
    Over,
    /// Ask the leader how the job stands.
    AskLeader,
    /// Read, with others, how it stands.
    ReadState,
    /// Pass the request on to the leader.
    Forward,
    /// Look whether every controller runs this version.
    Versions,
    /// Look these jobs up in the records.
    Look(Vec<String>),
    /// Whether it may wait for the budget of changes.
    Write(Txn, bool),
    Wait(Millis),
}

/// One look at how the job stands, by the one job that was looked up.
fn looked(
    id: &str,
    mut looked: LookupResults,
    view: &mut NodeView,
) -> Result<Option<JobStatus>, Answer> {
    match looked.remove(id) {
        Some(Ok(found)) => Ok(view.learn(id, found)),
        Some(Err(e)) => Err(Answer::unread(&e)),
        None => Ok(None),
    }
}

/// An event that does not fit the step: no answer is made of it.
fn out_of_place(event: &Event) -> Next {
    log::error!("a request got an answer to what it did not ask: {event:?}");
    Next::Answer(Answer::later("try again"))
}
