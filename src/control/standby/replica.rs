//! The standby's side: receives the replication stream and keeps a replica of what runs,
//! or may run, on machines.
//!
//! Called by the server with each part from a peer, and once this node leads. A replica
//! must never replace a complete one before it is complete itself, and never have a gap.

use crate::{
    protocol::peers::{ReplicatedTask, ReplicationPart},
    state::Millis,
};
use std::collections::BTreeMap;

/// Machines in a replica at most: a part beyond that is refused, and the node is not
/// warm.
const MAX_MACHINES: usize = 50_000;

/// What runs, or may run, on one machine, by job.
pub type Held = Vec<(String, Vec<ReplicatedTask>)>;

/// What runs, or may run, on machines. More than runs is harmless, less is not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    /// The term of the leader that it was received from.
    pub term: u64,
    /// By machine.
    pub machines: BTreeMap<String, Held>,
}

/// The receiving end of the replication stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaReceiver {
    /// The latest stream that was begun, as term and number.
    stream: (u64, u64),
    next_part: u64,
    /// What this node may use, should a record name it.
    complete: Option<Replica>,
    /// What a new stream has sent so far. The old replica stays until that is complete:
    /// nothing is started meanwhile that it lacks.
    building: Option<Replica>,
    counted: bool,
    last_part_at: Millis,
}

impl ReplicaReceiver {
    /// Returns whether the part was applied. One that came late, twice, or after a gap
    /// is not, and the leader restarts the stream.
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
        for m in part.machines {
            match m.jobs.is_empty() {
                true => replica.machines.remove(&m.machine),
                false => replica.machines.insert(m.machine, m.jobs),
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

    /// The node has become leader in `term`: it takes the replica, and no part of an
    /// earlier leader is applied any more.
    pub fn take_replica(&mut self, term: u64) -> Option<Replica> {
        let whole = self.complete.take();
        *self = ReplicaReceiver {
            stream: (term, u64::MAX),
            ..ReplicaReceiver::default()
        };
        whole
    }

    /// The complete replica, if there is one.
    pub fn replica(&self) -> Option<&Replica> {
        self.complete.as_ref()
    }

    /// The leader counted this node as a standby a moment ago.
    pub fn is_counted(&self, now: Millis) -> bool {
        self.counted && now < self.last_part_at + 10_000
    }
}

impl Replica {
    /// Machine, job and task, by the change that placed the task, the latest first: of
    /// two places of a task the later one is valid, as it was gone from the other by
    /// then.
    pub fn latest_first(&self) -> Vec<(&str, &str, ReplicatedTask)> {
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
