//! Free resources of a group of machines: the largest free amount of each resource on any
//! one machine, kept up to date as machines change.
//!
//! Owned by `Fleet`, which uses it to rule out that a task fits any machine of a group.

use crate::state::resources::Resources;
use std::collections::BTreeMap;

/// Number of machines by free amount of one resource.
type AmountCounts = BTreeMap<i64, u32>;

/// Free amounts of the machines of one type and zone, of either spot or ordinary machines.
#[derive(Debug, Default)]
pub struct FreeCounts {
    cpus: AmountCounts,
    gpus: AmountCounts,
    memory: AmountCounts,
}

fn add(counts: &mut AmountCounts, amount: i64) {
    *counts.entry(amount).or_insert(0) += 1;
}

fn remove(counts: &mut AmountCounts, amount: i64) {
    if let Some(count) = counts.get_mut(&amount) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&amount);
        }
    }
}

fn largest(counts: &AmountCounts) -> Option<i64> {
    counts.last_key_value().map(|(amount, _)| *amount)
}

impl FreeCounts {
    /// Adds a machine with these free resources to the group.
    pub fn add(&mut self, free: &Resources) {
        add(&mut self.cpus, free.cpus);
        add(&mut self.gpus, free.gpus);
        add(&mut self.memory, free.memory);
    }

    /// Removes a machine with these free resources from the group.
    pub fn remove(&mut self, free: &Resources) {
        remove(&mut self.cpus, free.cpus);
        remove(&mut self.gpus, free.gpus);
        remove(&mut self.memory, free.memory);
    }

    /// Returns the largest free amount of each resource, possibly on different machines. A task
    /// that needs more of some resource fits no machine of the group. `None` if the group has
    /// no machine.
    pub fn most(&self) -> Option<Resources> {
        Some(Resources {
            cpus: largest(&self.cpus)?,
            gpus: largest(&self.gpus)?,
            memory: largest(&self.memory)?,
        })
    }
}
