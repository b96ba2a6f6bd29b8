//! Heartbeats of workers, and commands to workers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A worker's heartbeat with its complete status.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "post")]
    pub machine: String,
    /// Address on which the worker accepts direct commands.
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub type_name: String,
    /// Name of the zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// Incarnation of the worker, which increases each time the worker's lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number, which increases with each message of the worker.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub acknowledged_token: u64,
    /// Seconds until the cloud reclaims the machine, if the cloud gave notice.
    #[serde(rename = "reclaim_in_s", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, including ended ones until they are reaped.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Status of a task on a machine.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// Name of the task, in the form `JOB/NUMBER`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt number of the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Exit reason, if the task has ended.
    #[serde(
        rename = "exit_cause",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub exit_reason: Option<ExitReason>,
    /// Whether the task's progress was saved in a checkpoint.
    #[serde(rename = "stored", default)]
    pub checkpointed: bool,
}

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    /// The task waits for its container image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task waits for the other tasks of its attempt, which are in the same gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task was told to stop and is writing a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// The task has ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Another task of the gang is gone.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The gang was not complete in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: the machine has too few free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    DuplicateTask,
    /// The start was refused: no such job or task was submitted.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason added by a later protocol version, which is treated as a failure.
    #[serde(other)]
    Other,
}

impl fmt::Display for ExitReason {
    /// Writes the name shown by `status` and `explain`. Operators' tools read these
    /// names, which are older than the names of the variants, so they must not change.
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

/// A command to a worker. Repeating a command is safe, except that a start after a reap
/// starts the task again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts an attempt of a task.
    #[serde(rename = "launch")]
    Start {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number of the task.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in seconds; a period that covers the checkpoint cost lets the
        /// task write a checkpoint.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the heartbeats.
    #[serde(rename = "reap")]
    Reap {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number of the task.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat, which renews the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token; the worker drops the response if it has seen a higher one.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to a worker. They do not renew the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token; the worker refuses the commands if it has seen a higher one.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation for which the commands are meant; the worker refuses them in any
    /// other.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Splits a task name into job id and task number: `j-000412/4` gives `j-000412` and 4.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
