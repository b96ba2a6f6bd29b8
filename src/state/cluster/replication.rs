//! Extracts the parts of the cluster state that are replicated to standbys.
//!
//! Owns the set of machines that changed since the last replication. Called by the
//! leader's replication stream. This module never changes assignments.

use super::{ClusterState, JobHandle, Phase};
use crate::protocol::{
    peers::{MachineTasks, ReplicatedPhase, ReplicatedTask},
    workers::ExitReason,
};
use std::collections::BTreeSet;

impl ClusterState {
    /// Returns the names of the machines that changed since the last call. Changes are
    /// collected from the first call on.
    pub fn take_changed_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(self.changed_machines.get_or_insert_default())
    }

    /// Returns what a standby receives about a machine: its tasks, grouped by job.
    pub fn tasks_on(&self, name: &str) -> MachineTasks {
        let machine = self.machine_handle(name);
        let machine = machine.and_then(|handle| self.machine(handle));
        let mut jobs: Vec<(String, Vec<ReplicatedTask>)> = Vec::new();
        let mut listed_jobs: Vec<JobHandle> = Vec::new();
        for assignment in machine.map_or(&[][..], |m| &m.tasks) {
            let replicated_phase = match assignment.phase {
                Phase::Running => ReplicatedPhase::Running,
                Phase::Ended(ExitReason::Done) => ReplicatedPhase::Done,
                Phase::Ended(_) => continue,
                _ => ReplicatedPhase::Sent,
            };
            let Some(handle) = assignment.job else {
                continue;
            };
            let Some(job) = self.job(handle) else {
                continue;
            };
            let job_index = listed_jobs.iter().position(|other| *other == handle);
            let job_entry = job_index.unwrap_or_else(|| {
                listed_jobs.push(handle);
                jobs.push((job.id.clone(), Vec::new()));
                jobs.len() - 1
            });
            jobs[job_entry].1.push(ReplicatedTask(
                assignment.task,
                assignment.attempt,
                assignment.change_number,
                replicated_phase,
            ));
        }
        MachineTasks {
            machine: name.to_owned(),
            jobs,
        }
    }

    /// Returns the names of the machines on which a task runs or may run, or has ended
    /// without being reaped.
    pub fn occupied_machines(&self) -> BTreeSet<String> {
        let occupied = self.machines().filter(|m| !m.tasks.is_empty());
        occupied.map(|m| m.name.clone()).collect()
    }
}
