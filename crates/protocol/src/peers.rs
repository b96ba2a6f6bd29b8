//! Messages between controllers: CBOR in length-prefixed frames.

use super::{
    market::{OffloadCandidate, OffloadMark},
    status::{Explanation, Status},
    users::JobState,
};
use serde::{Deserialize, Serialize};

/// Raised when a frame's meaning changes; others are refused.
pub const VERSION: u16 = 1;
/// A forwarded body is at most 64 KiB; the rest is framing.
pub const MAX_FRAME: usize = 96 * 1024;

/// What is sent in a length-prefixed frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame<T> {
    /// `VERSION` of the sender.
    pub v: u16,
    /// The request or the reply.
    pub body: T,
}

/// What one controller, broker or operator asks of a controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// A user's request, passed on to the leader.
    Forward {
        /// HTTP method.
        method: String,
        /// HTTP path.
        path: String,
        /// HTTP body, at most 64 KiB.
        body: Vec<u8>,
    },
    /// Polls of users, as many as wait: how do these jobs stand?
    Polls {
        /// The jobs, each once.
        ids: Vec<String>,
    },
    /// The leader of `term` can't reach the state service: will the peer
    /// refrain from seeking leadership for `for_ms`?
    Promise {
        /// The leader's term.
        term: u64,
        /// The leader's name.
        leader: String,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// Is anybody there? The leader has not heard these machines for a
    /// while: their reports are to be relayed for `for_ms` if they come.
    #[serde(rename = "Unheard")]
    RelayHeartbeats {
        /// Names of the machines; none for a mere probe.
        machines: Vec<String>,
        /// For how many milliseconds.
        for_ms: u64,
    },
    /// The leader's cluster state, or what changed of it, for a standby to keep.
    #[serde(rename = "Follow")]
    Replicate(ReplicationPart),
    /// The leader of `term` has stopped acting, its key may be replaced.
    Resigned {
        /// The term that is over.
        term: u64,
    },
    /// An operator asks any node how things stand.
    Status,
    /// The same among controllers: only the leader answers.
    LeaderStatus,
    /// An operator asks about one job. `forwarded`: on their behalf.
    Explain {
        /// The job.
        id: String,
        /// By a controller that does not lead.
        forwarded: bool,
    },
    /// A broker asks the leader what could be offloaded, and which of the jobs that
    /// it has out (with their awards) are not needed any more.
    #[serde(rename = "Lendable")]
    OffloadCandidates {
        /// Ids of offloaded jobs, each with its award.
        lent: Vec<(String, u64)>,
    },
    /// The job is to be marked as offloaded, if the award's record has this
    /// version.
    #[serde(rename = "Lend")]
    Offload {
        /// The job.
        id: String,
        /// The award.
        award: u64,
        /// To which market.
        market: String,
        /// Of the award's record, on which the mark's write is conditional.
        version: u64,
    },
    /// The award is over: these tasks are done, the mark is to be lifted.
    #[serde(rename = "TakeBack")]
    EndOffload {
        /// The job.
        id: String,
        /// The award that has ended.
        award: u64,
        /// Finished tasks, as sorted ranges with both ends.
        done: Vec<(u32, u32)>,
    },
}

/// One part of a stream in which the leader of a term tells a standby what is,
/// or may be, on machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicationPart {
    /// The leader's term.
    pub term: u64,
    /// Later streams replace earlier ones; each begins with everything.
    pub stream: u64,
    /// Place in the stream, from 0 without a gap.
    pub part: u64,
    /// With this part the copy holds all that the leader's cluster state held when
    /// the round began that the part ends.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The leader counts on this standby, as far as it knows.
    #[serde(rename = "named")]
    pub counted: bool,
    /// Machines of which the content is told, each whole.
    pub machines: Vec<MachineTasks>,
}

/// All that is, or may be, on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineTasks {
    /// The machine's name.
    #[serde(rename = "m")]
    pub machine: String,
    /// By job.
    #[serde(rename = "j")]
    pub jobs: Vec<(String, Vec<ReplicatedTask>)>,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedTask(
    /// Its number in the job.
    pub u32,
    /// The attempt.
    pub u64,
    /// The leader's change that put it there: of two places the one with the
    /// later change holds, as nothing is placed again before it is gone.
    pub u64,
    /// How it was last seen.
    pub ReplicatedPhase,
);

/// See `ReplicatedPhase`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum ReplicatedPhase {
    /// It may be there, or come to be there.
    Sent,
    /// Running, as last reported.
    Running,
    /// It has completed, which may not be recorded yet.
    Done,
}

impl From<ReplicatedPhase> for u8 {
    fn from(seen: ReplicatedPhase) -> u8 {
        seen as u8
    }
}

impl TryFrom<u8> for ReplicatedPhase {
    type Error = String;

    fn try_from(n: u8) -> Result<Self, String> {
        match n {
            0 => Ok(ReplicatedPhase::Sent),
            1 => Ok(ReplicatedPhase::Running),
            2 => Ok(ReplicatedPhase::Done),
            _ => Err(format!("no such state of a task: {n}")),
        }
    }
}

impl Request {
    /// Asks nothing but an answer.
    pub fn greeting() -> Self {
        Request::RelayHeartbeats {
            machines: Vec::new(),
            for_ms: 0,
        }
    }
}

/// The answer to a `Request`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The leader's HTTP response to a forwarded request.
    Forwarded {
        /// HTTP status.
        status: u16,
        /// `Retry-After`, in seconds.
        retry_after_s: Option<u32>,
        /// HTTP body.
        body: Vec<u8>,
    },
    /// In the order of the ids asked about: state, tasks done and running.
    /// Of a job that the leader doesn't know, the records may.
    Polled(Vec<Option<(JobState, u32, u32)>>),
    /// Who keeps the copy, and whether the part was taken in. If not, the
    /// stream has to begin anew.
    #[serde(rename = "Followed")]
    Replicated {
        /// Of the standby's process.
        incarnation: u64,
        /// The part was applied.
        #[serde(rename = "taken")]
        applied: bool,
    },
    /// Not the leader.
    NotLeader,
    /// The answer to a request for a promise.
    Promise {
        /// The promise is given.
        granted: bool,
        /// The peer's own requests to the state service succeed.
        state_ok: bool,
        /// How long its process has run, in milliseconds: evidence that no
        /// other process of that node has led meanwhile. A version from before
        /// it says nothing, and that is none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        running_ms: Option<u64>,
    },
    /// Nothing more to say.
    Ok,
    /// Name and term of the leader, as far as this node knows.
    #[serde(rename = "Greeted")]
    LeaderHint {
        /// `None`: it knows of none.
        leader: Option<(String, u64)>,
    },
    /// To `Status` and `LeaderStatus`.
    Status(Box<Status>),
    /// To `Explain`.
    Explained(Explanation),
    /// To `Lendable`.
    #[serde(rename = "Lendable")]
    OffloadCandidates {
        /// Jobs that could be offloaded.
        jobs: Vec<OffloadCandidate>,
        /// Offloaded jobs that are to be called back.
        recall: Vec<String>,
    },
    /// To `Lend`.
    #[serde(rename = "Lent")]
    OffloadMark(OffloadMark),
    /// Whether that is durable.
    #[serde(rename = "TakenBack")]
    OffloadEnded(bool),
}
