//! The cluster state as standbys are told of it.

use super::{ClusterState, Phase};
use crate::protocol::{
    peers::{MachineHolds, MayRun, Seen},
    workers::ExitReason,
};
use std::collections::BTreeSet;

impl ClusterState {
    /// Machines that changed since this was last called. They are noted from
    /// the first call on.
    pub fn take_changed_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(self.changed_machines.get_or_insert_default())
    }

    /// What a standby is told of a machine.
    pub fn tasks_on(&self, name: &str) -> MachineHolds {
        let mut jobs: Vec<(String, Vec<MayRun>)> = Vec::new();
        let tasks = self.machine_index(name).and_then(|ix| self.machine(ix));
        let mut of: Vec<u32> = Vec::new();
        for a in tasks.map_or(&[][..], |m| &m.tasks) {
            let seen = match a.phase {
                Phase::Running => Seen::Running,
                Phase::Ended(ExitReason::Done) => Seen::Done,
                Phase::Ended(_) => continue,
                _ => Seen::Sent,
            };
            let Some(job) = self.job(a.job) else {
                continue;
            };
            let at = of.iter().position(|j| *j == a.job).unwrap_or_else(|| {
                of.push(a.job);
                jobs.push((job.id.clone(), Vec::new()));
                of.len() - 1
            });
            jobs[at]
                .1
                .push(MayRun(a.task, a.attempt, a.change_number, seen));
        }
        MachineHolds {
            machine: name.to_owned(),
            jobs,
        }
    }

    /// Machines on which something is, or may be.
    pub fn occupied_machines(&self) -> BTreeSet<String> {
        let held = self.each_machine().filter(|m| !m.tasks.is_empty());
        held.map(|m| m.name.clone()).collect()
    }
}
