//! What a machine's status changed, beside the cluster state itself: tasks that ended or run, and
//! what the log and the metrics say of single tasks.
//!
//! Owns no state. Filled by the other modules of the reconciliation, read by the leader.

use crate::{
    protocol::workers::ExitReason,
    state::{
        Millis,
        cluster::{JobHandle, Phase},
    },
};
use std::fmt;

/// A task that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedTask {
    /// Job of the task.
    pub job: JobHandle,
    /// Number of the task within the job.
    pub task: u32,
    /// Why the task ended.
    pub reason: ExitReason,
}

/// A task that two statuses reported as running, or that has completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedTask {
    /// Job of the task; `None` if the job is over.
    pub job: Option<JobHandle>,
    /// When the task was assigned.
    pub since: Millis,
}

/// A task of which a status reports another phase than was known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskChange {
    /// Name of the task: job id and task number.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// The reported phase; `None` if the task is not listed.
    pub phase: Option<Phase>,
    /// Whether the task is given up on the machine, as no start of it can arrive there any more.
    pub given_up: bool,
}

impl fmt::Display for TaskChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{} ", self.task, self.attempt)?;
        match (self.phase, self.given_up) {
            (Some(phase), _) => write!(f, "is {phase}"),
            (None, true) => f.write_str("is not listed and can't be started any more"),
            (None, false) => f.write_str("is not listed, but a direct start may still arrive"),
        }
    }
}

/// What the leader does with a task that a machine reports although it is not assigned there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnassignedHandling {
    /// The task fills a free place of its job.
    Adopted,
    /// The task is stopped: its job is unknown or ends, or has the task elsewhere.
    Stopped,
    /// The task has ended and is reaped.
    Reaped,
}

impl UnassignedHandling {
    /// Value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            UnassignedHandling::Adopted => "adopted",
            UnassignedHandling::Stopped => "stopped",
            UnassignedHandling::Reaped => "reaped",
        }
    }
}

/// A task that a machine reports although it is not assigned there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnassignedTask {
    /// Name of the task: job id and task number.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// The reported phase.
    pub phase: Phase,
    /// What the leader does with the task.
    pub handling: UnassignedHandling,
}

impl fmt::Display for UnassignedTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (task, attempt, phase) = (&self.task, self.attempt, self.phase);
        write!(
            f,
            "{task}@{attempt} is {phase} and is {}",
            self.handling.name()
        )
    }
}

/// An attempt that a machine lists as live after it had ended there: it was started again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestartedAttempt {
    /// Name of the task: job id and task number.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// Why the attempt had ended.
    pub ended: ExitReason,
    /// The reported phase.
    pub phase: Phase,
}

impl fmt::Display for RestartedAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (task, attempt, ended, phase) = (&self.task, self.attempt, self.ended, self.phase);
        write!(f, "{task}@{attempt} had ended({ended}) and is {phase}")
    }
}

/// Effects of a heartbeat that the leader must act on, besides the changes of the cluster
/// state.
#[derive(Debug, Default, PartialEq)]
pub struct HeartbeatEffects {
    /// Whether tasks, jobs or the machine's readiness changed.
    pub cluster_changed: bool,
    /// Tasks that ended.
    pub ended_tasks: Vec<EndedTask>,
    /// Jobs with tasks that began to run; a job is listed once for each task.
    pub started_jobs: Vec<JobHandle>,
    /// Tasks that are confirmed to be running, or have completed.
    pub confirmed_running: Vec<ConfirmedTask>,
    /// Number of start commands in responses that the machine did not receive.
    pub lost_commands: u32,
    /// Whether the agent has begun a new incarnation since the last heartbeat, because the
    /// machine's lease had ended.
    pub new_incarnation: bool,
    /// Tasks of which the status reports another phase than was known.
    pub task_changes: Vec<TaskChange>,
    /// Tasks that the machine reports although they are not assigned there.
    pub unassigned_tasks: Vec<UnassignedTask>,
    /// Attempts that the machine lists as live after they had ended there.
    pub restarted_attempts: Vec<RestartedAttempt>,
}
