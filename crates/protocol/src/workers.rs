//! Reports of workers and commands to them.

use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    #[serde(rename = "post")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "rig")]
    pub type_name: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "lendback")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub acknowledged_token: u64,
    #[serde(rename = "reclaim_in_s", default)]
    pub reclaim_in_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "stage")]
    pub state: TaskState,
    #[serde(
        rename = "exit_cause",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub exit_reason: Option<ExitReason>,
    #[serde(rename = "stored", default)]
    pub checkpointed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    WaitingForGang,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "peers")]
    GangMemberLost,
    #[serde(rename = "incomplete")]
    GangIncomplete,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    InsufficientResources,
    #[serde(rename = "in_use")]
    DuplicateTask,
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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Reap {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// "j-000412/4" -> ("j-000412", 4)
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, n) = name.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
