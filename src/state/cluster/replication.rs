//! The cluster state as it is replicated to standbys.
//!
//! Owns which machines changed since the last replication. Called by the
//! leader's replication stream. Must never change what is on a machine.

use super::{ClusterState, JobHandle, Phase};
use crate::protocol::{
    peers::{MachineTasks, ReplicatedPhase, ReplicatedTask},
    workers::ExitReason,
};
use std::collections::BTreeSet;

impl ClusterState {
    /// Machines that changed since the last call. Changes are collected from
    /// the first call on.
    pub fn take_changed_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(self.changed_machines.get_or_insert_default())
    }

    /// What a standby receives of a machine: its tasks, grouped by job.
    pub fn tasks_on(&self, name: &str) -> MachineTasks {
        let machine = self.machine_handle(name);
        let machine = machine.and_then(|handle| self.machine(handle));
        let mut jobs: Vec<(String, Vec<ReplicatedTask>)> = Vec::new();
        let mut listed: Vec<JobHandle> = Vec::new();
        for assignment in machine.map_or(&[][..], |m| &m.tasks) {
            let seen = match assignment.phase {
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
            let known = listed.iter().position(|other| *other == handle);
            let at = known.unwrap_or_else(|| {
                listed.push(handle);
                jobs.push((job.id.clone(), Vec::new()));
                jobs.len() - 1
            });
            jobs[at].1.push(ReplicatedTask(
                assignment.task,
                assignment.attempt,
                assignment.change_number,
                seen,
            ));
        }
        MachineTasks {
            machine: name.to_owned(),
            jobs,
        }
    }

    /// Machines on which something is, or may be.
    pub fn occupied_machines(&self) -> BTreeSet<String> {
        let occupied = self.each_machine().filter(|m| !m.tasks.is_empty());
        occupied.map(|m| m.name.clone()).collect()
    }
}
