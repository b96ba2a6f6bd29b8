//! Log lines by which one task can be followed by its id: where each attempt is placed, what
//! machines report of it, and which tasks they report that nobody assigned to them. The commands
//! are logged where they are derived, in `control/commands.rs`.
//!
//! Owns the placements that are not logged yet. A line names many tasks, so that the number of lines grows with the number of messages instead of that of tasks. This
//! module never influences a decision of the leader.

use super::Leader;
use crate::{
    control::{
        reconciliation::{HeartbeatEffects, StatusSource},
        task_lines::for_each_line,
    },
    protocol::workers::Heartbeat,
    state::cluster::MachineHandle,
};

/// Placements since the last logged line.
#[derive(Debug, Default)]
pub(super) struct TaskLog {
    placements: Vec<String>,
}

impl TaskLog {
    /// Notes that an attempt of a task was placed on a machine.
    pub(super) fn placed(&mut self, job: &str, task: u32, attempt: u64, machine: &str) {
        if log::log_enabled!(log::Level::Info) {
            self.placements
                .push(format!("{job}/{task}@{attempt} on {machine}"));
        }
    }
}

impl Leader {
    /// Logs the placements since the last call.
    pub(super) fn log_placements(&mut self) {
        let placements = std::mem::take(&mut self.task_log.placements);
        for_each_line(&placements, |tasks| {
            log::info!("tasks placed in term {}: {tasks}", self.term);
        });
    }

    /// Logs and counts what a machine's status changed.
    pub(super) fn log_status(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        source: StatusSource,
        effects: &HeartbeatEffects,
    ) {
        for unassigned in &effects.unassigned_tasks {
            let counts = &mut self.events.metric_counts.unassigned_tasks;
            *counts.entry(unassigned.handling).or_default() += 1;
        }
        let restarted = effects.restarted_attempts.len() as u64;
        self.events.metric_counts.restarted_attempts += restarted;
        if !log::log_enabled!(log::Level::Info) || self.cluster.machine(machine_handle).is_none() {
            return;
        }
        let status = format!(
            "machine {} reports in {source} {}.{}, having seen token {}",
            report.machine, report.incarnation, report.seq, report.acknowledged_token
        );
        let changes: Vec<String> = effects
            .task_changes
            .iter()
            .map(ToString::to_string)
            .collect();
        for_each_line(&changes, |tasks| log::info!("{status}: {tasks}"));
        let restarted = effects.restarted_attempts.iter();
        let restarted: Vec<String> = restarted.map(ToString::to_string).collect();
        for_each_line(&restarted, |tasks| {
            log::info!("{status}, attempts that were started again: {tasks}");
        });
        let unassigned = effects.unassigned_tasks.iter();
        let unassigned: Vec<String> = unassigned.map(ToString::to_string).collect();
        for_each_line(&unassigned, |tasks| {
            log::info!("{status}, tasks that are not assigned to it: {tasks}");
        });
    }
}
