//! The most of each resource that is free on one machine of a group, kept as
//! machines change.

use crate::state::resources::Resources;
use std::collections::BTreeMap;

/// How many machines have each free amount.
type Counts = BTreeMap<i64, u32>;

/// Free amounts of the machines of one type, zone and kind.
#[derive(Debug, Default)]
pub struct FreeCounts {
    cpus: Counts,
    gpus: Counts,
    memory: Counts,
}

fn add(counts: &mut Counts, amount: i64) {
    *counts.entry(amount).or_insert(0) += 1;
}

fn remove(counts: &mut Counts, amount: i64) {
    if let Some(count) = counts.get_mut(&amount) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&amount);
        }
    }
}

fn largest(counts: &Counts) -> Option<i64> {
    counts.last_key_value().map(|(amount, _)| *amount)
}

impl FreeCounts {
    /// A machine with this much free is one of the group.
    pub fn add(&mut self, free: &Resources) {
        add(&mut self.cpus, free.cpus);
        add(&mut self.gpus, free.gpus);
        add(&mut self.memory, free.memory);
    }

    /// A machine with this much free is no longer one of the group.
    pub fn remove(&mut self, free: &Resources) {
        remove(&mut self.cpus, free.cpus);
        remove(&mut self.gpus, free.gpus);
        remove(&mut self.memory, free.memory);
    }

    /// The most of each resource, each perhaps on another machine: what
    /// exceeds it fits nowhere. `None`: there is no machine.
    pub fn most(&self) -> Option<Resources> {
        Some(Resources {
            cpus: largest(&self.cpus)?,
            gpus: largest(&self.gpus)?,
            memory: largest(&self.memory)?,
        })
    }
}
