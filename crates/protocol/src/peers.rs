//! Messages between controllers: CBOR in length-prefixed frames.

use super::{
    market::{Lendable, Marked},
    status::{Explanation, Status},
    users::JobState,
};
use serde::{Deserialize, Serialize};

/// Raised when a frame's meaning changes; others are refused.
pub const VERSION: u16 = 1;
/// A forwarded body is at most 64 KiB; the rest is framing.
pub const MAX_FRAME: usize = 96 * 1024;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame<T> {
    pub v: u16,
    pub body: T,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// A user's request, passed on to the leader.
    Forward {
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// Polls of users, as many as wait: how do these jobs stand?
    Polls { ids: Vec<String> },
    /// The leader of `term` can't reach the state service: will the peer
    /// refrain from seeking leadership for `for_ms`?
    Promise {
        term: u64,
        leader: String,
        for_ms: u64,
    },
    /// Is anybody there? The leader has not heard these machines for a
    /// while: their reports are to be relayed for `for_ms` if they come.
    Unheard { machines: Vec<String>, for_ms: u64 },
    /// The leader of `term` has stopped acting, its key may be replaced.
    Resigned { term: u64 },
    /// An operator asks any node how things stand.
    Status,
    /// The same among controllers: only the leader answers.
    LeaderStatus,
    /// An operator asks about one job. `forwarded`: on their behalf.
    Explain { id: String, forwarded: bool },
    /// A broker asks the leader what could be lent, and which of the jobs that
    /// it has out (with their awards) are not needed any more.
    Lendable { lent: Vec<(String, u64)> },
    /// The job is to be marked as lent, if the award's record has this
    /// version.
    Lend {
        id: String,
        award: u64,
        market: String,
        version: u64,
    },
    /// The award is over: these tasks are done, the mark is to be lifted.
    TakeBack {
        id: String,
        award: u64,
        done: Vec<(u32, u32)>,
    },
}

impl Request {
    /// Asks nothing but an answer.
    pub fn greeting() -> Self {
        Request::Unheard {
            machines: Vec::new(),
            for_ms: 0,
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    Forwarded {
        status: u16,
        retry_after_s: Option<u32>,
        body: Vec<u8>,
    },
    /// In the order of the ids asked about: state, tasks done and running.
    /// Of a job that the leader doesn't know, the records may.
    Polled(Vec<Option<(JobState, u32, u32)>>),
    /// Not the leader.
    NotLeader,
    Promise {
        granted: bool,
        /// The peer's own requests to the state service succeed.
        state_ok: bool,
    },
    Ok,
    /// Name and term of the leader, as far as this node knows.
    Greeted {
        leader: Option<(String, u64)>,
    },
    Status(Box<Status>),
    Explained(Explanation),
    Lendable {
        jobs: Vec<Lendable>,
        recall: Vec<String>,
    },
    Lent(Marked),
    /// Whether that is durable.
    TakenBack(bool),
}
