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
    /// The leader's cluster state, or what changed of it, for a standby to keep.
    Follow(Follow),
    /// The leader of `term` has stopped acting, its key may be replaced.
    Resigned { term: u64 },
    /// An operator asks any node how things stand.
    Status,
    /// The same among controllers: only the leader answers.
    LeaderStatus,
    /// An operator asks about one job. `forwarded`: on their behalf.
    Explain { id: String, forwarded: bool },
    /// A broker asks the leader what could be offloaded, and which of the jobs that
    /// it has out (with their awards) are not needed any more.
    Lendable { lent: Vec<(String, u64)> },
    /// The job is to be marked as offloaded, if the award's record has this
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

/// One part of a stream in which the leader of a term tells a standby what is,
/// or may be, on machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Follow {
    pub term: u64,
    /// Later streams replace earlier ones; each begins with everything.
    pub stream: u64,
    /// Place in the stream, from 0 without a gap.
    pub part: u64,
    /// With this part the copy holds all that the leader's cluster state held when
    /// the round began that the part ends.
    pub whole: bool,
    /// The leader counts on this standby, as far as it knows.
    pub named: bool,
    pub machines: Vec<MachineHolds>,
}

/// All that is, or may be, on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineHolds {
    #[serde(rename = "m")]
    pub machine: String,
    /// By job.
    #[serde(rename = "j")]
    pub jobs: Vec<(String, Vec<MayRun>)>,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MayRun(
    /// Its number in the job.
    pub u32,
    /// The attempt.
    pub u64,
    /// The leader's change that put it there: of two places the one with the
    /// later change holds, as nothing is placed again before it is gone.
    pub u64,
    /// How it was last seen.
    pub Seen,
);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Seen {
    /// It may be there, or come to be there.
    Sent,
    Running,
    /// It has completed, which may not be recorded yet.
    Done,
}

impl From<Seen> for u8 {
    fn from(seen: Seen) -> u8 {
        seen as u8
    }
}

impl TryFrom<u8> for Seen {
    type Error = String;

    fn try_from(n: u8) -> Result<Self, String> {
        match n {
            0 => Ok(Seen::Sent),
            1 => Ok(Seen::Running),
            2 => Ok(Seen::Done),
            _ => Err(format!("no such state of a task: {n}")),
        }
    }
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
    /// Who keeps the copy, and whether the part was taken in. If not, the
    /// stream has to begin anew.
    Followed {
        incarnation: u64,
        taken: bool,
    },
    /// Not the leader.
    NotLeader,
    Promise {
        granted: bool,
        /// The peer's own requests to the state service succeed.
        state_ok: bool,
        /// How long its process has run, in milliseconds: evidence that no
        /// other process of that node has led meanwhile. A version from before
        /// it says nothing, and that is none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        running_ms: Option<u64>,
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
