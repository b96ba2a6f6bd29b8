//! Reports of workers and commands to them.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
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
    pub session: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "reclaim_in_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReportedTask {
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
    pub why: Option<Why>,
    #[serde(rename = "stored", default)]
    pub saved: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum Why {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// Anything a later protocol may add: treated like a failure.
    #[serde(other)]
    Other,
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
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportReply {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectOrder {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// "j-000412/4" -> ("j-000412", 4)
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, n) = name.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
