//! Reports of workers and commands to them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A worker's heartbeat: its status, whole.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "post")]
    pub machine: String,
    /// Where the worker takes direct commands.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "rig")]
    pub type_name: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// The cloud may reclaim it.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// Grows each time that the worker's lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Grows with each message of the worker.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub acknowledged_token: u64,
    /// Seconds until the cloud reclaims the machine, if it gave notice.
    #[serde(rename = "reclaim_in_s", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, ended ones until they are reaped.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A task on a machine.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// Its name, as `JOB/NUMBER`.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(
        rename = "exit_cause",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub exit_reason: Option<ExitReason>,
    /// Its progress was saved.
    #[serde(rename = "stored", default)]
    pub checkpointed: bool,
}

/// The state of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits for the other tasks of its attempt.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Has ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitReason {
    /// It completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// Start refused: too little is free on the machine.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Start refused: another attempt of the task is there.
    #[serde(rename = "in_use")]
    DuplicateTask,
    /// Start refused: no such job or task was submitted.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Anything a later protocol may add: treated like a failure.
    #[serde(other)]
    Other,
}

impl fmt::Display for ExitReason {
    /// The name in `status` and `explain`, which operators' tools read: it is
    /// older than the variants' names and stays.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExitReason::Done => "done",
            ExitReason::Stopped => "stopped",
            ExitReason::GangMemberLost => "peers",
            ExitReason::GangIncomplete => "alone",
            ExitReason::Error => "error",
            ExitReason::InsufficientResources => "noroom",
            ExitReason::DuplicateTask => "busy",
            ExitReason::UnknownTask => "unknown",
            ExitReason::Other => "other",
        })
    }
}

/// A command to a worker. Repeating one is safe, except that a start after a reap starts
/// the task again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts an attempt of a task.
    #[serde(rename = "launch")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in seconds; one that covers the checkpoint cost lets the task save.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the heartbeats.
    #[serde(rename = "reap")]
    Reap {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat; it renews the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The worker drops the answer if it has seen a higher one.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker. They don't renew its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The worker refuses them if it has seen a higher one.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The worker refuses them in any other.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// "j-000412/4" -> ("j-000412", 4)
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, n) = name.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
