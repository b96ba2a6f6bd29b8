//! Messages between controllers, and from brokers and operators to controllers: CBOR in
//! length-prefixed frames.

use super::{
    market::{OffloadCandidate, OffloadMark},
    status::{Explanation, Status},
    users::JobState,
};
use serde::{Deserialize, Serialize};

/// Version of the frame format, raised when the meaning of a frame changes. Frames of
/// other versions are refused.
pub const VERSION: u16 = 1;
/// Maximum size of a frame in bytes: 64 KiB for a forwarded body and the rest for
/// framing.
pub const MAX_FRAME: usize = 96 * 1024;

/// A message as sent in a length-prefixed frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame<T> {
    /// `VERSION` of the sender.
    pub v: u16,
    /// The request or the reply.
    pub body: T,
}

/// A request from a controller, broker or operator to a controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Forwards a user's request to the leader.
    Forward {
        /// HTTP method.
        method: String,
        /// HTTP path.
        path: String,
        /// HTTP body, at most 64 KiB.
        body: Vec<u8>,
    },
    /// Queries the state of jobs for all user polls that are waiting.
    Polls {
        /// Ids of the jobs, without duplicates.
        ids: Vec<String>,
    },
    /// Asks the peer not to seek leadership for `for_ms`, because the leader of `term`
    /// can't reach the state service.
    Promise {
        /// The leader's term.
        term: u64,
        /// The leader's name.
        leader: String,
        /// Duration of the promise, in milliseconds.
        for_ms: u64,
    },
    /// Probes a peer. The leader has received no heartbeat from the named machines for
    /// a while: the peer relays their heartbeats for `for_ms` if it receives any.
    #[serde(rename = "Unheard")]
    RelayHeartbeats {
        /// Names of the machines; empty for a plain probe.
        machines: Vec<String>,
        /// Time for which the peer relays heartbeats, in milliseconds.
        for_ms: u64,
    },
    /// Sends a standby the leader's cluster state, or the changes of it.
    #[serde(rename = "Follow")]
    Replicate(ReplicationPart),
    /// Tells the peer that the leader of `term` has stopped acting and that its key may
    /// be replaced.
    Resigned {
        /// The term that has ended.
        term: u64,
    },
    /// Asks any node for the cluster status on behalf of an operator.
    Status,
    /// Asks for the cluster status among controllers: only the leader replies with it.
    LeaderStatus,
    /// Asks about one job on behalf of an operator.
    Explain {
        /// Id of the job.
        id: String,
        /// Whether a controller that is not the leader forwards the operator's request.
        forwarded: bool,
    },
    /// Asks the leader, on behalf of a broker, which jobs could be offloaded and which
    /// of the offloaded jobs, given with their awards, are no longer needed.
    #[serde(rename = "Lendable")]
    OffloadCandidates {
        /// Ids of the offloaded jobs, each with its award.
        lent: Vec<(String, u64)>,
    },
    /// Asks to mark the job as offloaded, if the award's record has this version.
    #[serde(rename = "Lend")]
    Offload {
        /// Id of the job.
        id: String,
        /// Number of the award.
        award: u64,
        /// Name of the market.
        market: String,
        /// Version of the award's record, on which the write of the mark is
        /// conditional.
        version: u64,
    },
    /// Reports that an award has ended: the given tasks are done, and the mark has to
    /// be removed.
    #[serde(rename = "TakeBack")]
    EndOffload {
        /// Id of the job.
        id: String,
        /// Number of the award that has ended.
        award: u64,
        /// Completed tasks, as sorted ranges that include both ends.
        done: Vec<(u32, u32)>,
    },
}

/// One part of a replication stream, in which the leader of a term sends a standby
/// which tasks run, or may run, on machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicationPart {
    /// The leader's term.
    pub term: u64,
    /// Number of the stream. Later streams replace earlier ones; each starts with the
    /// whole state.
    pub stream: u64,
    /// Number of the part in the stream, from 0 without gaps.
    pub part: u64,
    /// Whether the replica, with this part applied, holds everything that the leader's
    /// cluster state held at the start of the replication round that ends with this
    /// part.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the leader counts on this standby, as far as the leader knows.
    #[serde(rename = "named")]
    pub counted: bool,
    /// Machines that this part describes, each with all its tasks.
    pub machines: Vec<MachineTasks>,
}

/// All tasks that run, or may run, on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineTasks {
    /// Name of the machine.
    #[serde(rename = "m")]
    pub machine: String,
    /// Tasks by job id.
    #[serde(rename = "j")]
    pub jobs: Vec<(String, Vec<ReplicatedTask>)>,
}

/// A task that runs, or may run, on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedTask(
    /// Task number within the job.
    pub u32,
    /// Attempt number.
    pub u64,
    /// Number of the leader's change that placed the task there. Of two placements of a
    /// task the one with the later change is valid, because a task is placed again only
    /// after it is gone from its earlier machine.
    pub u64,
    /// Phase in which the task was last reported.
    pub ReplicatedPhase,
);

/// Phase of a replicated task, written as a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum ReplicatedPhase {
    /// The task may be on the machine, or may yet arrive there.
    Sent,
    /// The task was last reported as running.
    Running,
    /// The task has completed, which may not be recorded yet.
    Done,
}

impl From<ReplicatedPhase> for u8 {
    fn from(phase: ReplicatedPhase) -> u8 {
        phase as u8
    }
}

impl TryFrom<u8> for ReplicatedPhase {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, String> {
        match number {
            0 => Ok(ReplicatedPhase::Sent),
            1 => Ok(ReplicatedPhase::Running),
            2 => Ok(ReplicatedPhase::Done),
            _ => Err(format!("no such state of a task: {number}")),
        }
    }
}

impl Request {
    /// Returns a request that only probes the peer and asks for the leader that it
    /// knows.
    pub fn probe() -> Self {
        Request::RelayHeartbeats {
            machines: Vec::new(),
            for_ms: 0,
        }
    }
}

/// The reply to a `Request`.
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
    /// Job states in the order of the requested ids, each with the numbers of done and
    /// running tasks. `None` for jobs that the leader does not know; the stored records
    /// may know them.
    Polled(Vec<Option<(JobState, u32, u32)>>),
    /// Tells which process keeps the replica, and whether the part was applied. If not,
    /// the leader has to restart the stream.
    #[serde(rename = "Followed")]
    Replicated {
        /// Incarnation of the standby's process.
        incarnation: u64,
        /// Whether the part was applied.
        #[serde(rename = "taken")]
        applied: bool,
    },
    /// The replying node is not the leader.
    NotLeader,
    /// The reply to a request for a promise.
    Promise {
        /// Whether the promise is granted.
        granted: bool,
        /// Whether the peer's own requests to the state service succeed.
        state_ok: bool,
        /// Uptime of the peer's process in milliseconds: evidence that no other process
        /// of that node has led in the meantime. Older versions don't send this field,
        /// and its absence is no such evidence.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        running_ms: Option<u64>,
    },
    /// Acknowledges the request without further data.
    Ok,
    /// Names the leader and its term, as far as the replying node knows.
    #[serde(rename = "Greeted")]
    LeaderHint {
        /// Name and term of the leader; `None` if the node knows of no leader.
        leader: Option<(String, u64)>,
    },
    /// The reply to `Status` and `LeaderStatus`.
    Status(Box<Status>),
    /// The reply to `Explain`.
    Explained(Explanation),
    /// The reply to `OffloadCandidates` (`Lendable` on the wire).
    #[serde(rename = "Lendable")]
    OffloadCandidates {
        /// Jobs that could be offloaded.
        jobs: Vec<OffloadCandidate>,
        /// Ids of offloaded jobs that have to be recalled.
        recall: Vec<String>,
    },
    /// The reply to `Offload` (`Lend` on the wire).
    #[serde(rename = "Lent")]
    OffloadMark(OffloadMark),
    /// The reply to `EndOffload` (`TakeBack` on the wire): whether the end of the
    /// offload is durable.
    #[serde(rename = "TakenBack")]
    OffloadEnded(bool),
}
