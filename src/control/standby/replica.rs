//! The standby's side: receives the replication stream and keeps a replica of the tasks
//! that run, or may run, on machines.
//!
//! Called by the server for each part received from a peer, and once when this node
//! becomes leader. A replica must never replace a complete one before it is complete
//! itself, and must never have a gap.

use crate::{
    protocol::peers::{ReplicatedTask, ReplicationPart},
    state::Millis,
};
use std::collections::BTreeMap;

/// Maximum number of machines in a replica. A part that exceeds it is refused, and the
/// node does not become warm.
const MAX_MACHINES: usize = 50_000;

/// The tasks that run, or may run, on one machine, by job.
pub type TasksByJob = Vec<(String, Vec<ReplicatedTask>)>;

/// The tasks that run, or may run, on machines. Listing a task that does not run is
/// harmless; omitting one that runs is not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    /// The term of the leader from which the replica was received.
    pub term: u64,
    /// The tasks on each machine.
    pub machines: BTreeMap<String, TasksByJob>,
}

/// The receiving end of the replication stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaReceiver {
    /// The latest stream that was started, as term and number.
    stream: (u64, u64),
    next_part: u64,
    /// The replica that this node may use if the record names it.
    complete: Option<Replica>,
    /// The replica built from the parts of a new stream. The old replica is kept until
    /// this one is complete; no task that the old replica lacks is started in the
    /// meantime.
    building: Option<Replica>,
    counted: bool,
    last_part_at: Millis,
}

impl ReplicaReceiver {
    /// Applies a part and returns whether it was applied. A part that is late,
    /// repeated, or follows a gap is refused, and the leader then restarts the stream.
    pub fn apply_part(&mut self, part: ReplicationPart, now: Millis) -> bool {
        let stream = (part.term, part.stream);
        if part.part == 0 {
            if stream <= self.stream {
                return false;
            }
            self.stream = stream;
            self.building = Some(Replica {
                term: part.term,
                machines: BTreeMap::new(),
            });
        } else if stream != self.stream || part.part != self.next_part {
            return false;
        }
        let Some(replica) = self.building.as_mut().or(self.complete.as_mut()) else {
            return false;
        };
        if replica.machines.len() + part.machines.len() > MAX_MACHINES {
            return false;
        }
        for machine_tasks in part.machines {
            match machine_tasks.jobs.is_empty() {
                true => replica.machines.remove(&machine_tasks.machine),
                false => replica
                    .machines
                    .insert(machine_tasks.machine, machine_tasks.jobs),
            };
        }
        if part.complete && self.building.is_some() {
            self.complete = self.building.take();
        }
        self.next_part = part.part + 1;
        self.counted = part.counted;
        self.last_part_at = now;
        true
    }

    /// Returns the complete replica of this node, which has become leader in `term`.
    /// From now on, no part of an earlier leader is applied.
    pub fn take_replica(&mut self, term: u64) -> Option<Replica> {
        let replica = self.complete.take();
        *self = ReplicaReceiver {
            stream: (term, u64::MAX),
            ..ReplicaReceiver::default()
        };
        replica
    }

    /// Returns the complete replica, if there is one.
    pub fn replica(&self) -> Option<&Replica> {
        self.complete.as_ref()
    }

    /// Whether the leader counted this node as a standby in the latest part that was
    /// applied, which is at most 10 s old.
    pub fn is_counted(&self, now: Millis) -> bool {
        self.counted && now < self.last_part_at + 10_000
    }
}

impl Replica {
    /// Returns machine, job and task, ordered by the change that placed the task, the
    /// latest first. If a task is listed on two machines, the later placement is valid,
    /// as the task had left the other machine by then.
    pub fn placements_latest_first(&self) -> Vec<(&str, &str, ReplicatedTask)> {
        let mut all: Vec<(&str, &str, ReplicatedTask)> = Vec::new();
        for (machine, jobs) in &self.machines {
            for (job, tasks) in jobs {
                all.extend(tasks.iter().map(|t| (machine.as_str(), job.as_str(), *t)));
            }
        }
        all.sort_by_key(|(.., t)| std::cmp::Reverse(t.2));
        all
    }

    /// Whether this attempt of a task is listed on the machine.
    pub fn holds(&self, machine: &str, job: &str, task: u32, attempt: u64) -> bool {
        self.machines
            .get(machine)
            .into_iter()
            .flatten()
            .filter(|(id, _)| id == job)
            .any(|(_, tasks)| tasks.iter().any(|t| t.0 == task && t.1 == attempt))
    }
}

#[cfg(test)]
mod tests;
