//! Placement: chooses the machine for a task. Lightly loaded ("lazy") machines are preferred
//! to busy ones, and among equally loaded machines the one that is left least fragmented.
//!
//! This module contains `Policy` and the cost functions; `fleet` keeps the machines and
//! their rankings and makes the choice. Called by the leader's scheduling. Placement knows
//! no jobs, and its cost must not depend on their number.

mod change_log;
pub mod fleet;
pub mod free_counts;
mod ranking;

use crate::{
    options::{LoadResource, TaskShape},
    state::resources::Resources,
};

/// Parameters of the order in which machines are preferred.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Load below which a machine is lazy; from this load on it is busy.
    pub busy_threshold: f64,
    /// Resource whose requested share counts as load.
    pub load_resource: LoadResource,
    /// Common task shapes over which fragmentation is averaged.
    pub shapes: Vec<Resources>,
}

impl Policy {
    /// Returns the resources of a task shape as given in the operator's options.
    pub fn shape(s: &TaskShape) -> Resources {
        Resources::need(s.cpus, s.gpus, s.memory_gb)
    }
}

fn share(used: i64, of: i64) -> f64 {
    if of > 0 { used as f64 / of as f64 } else { 0.0 }
}

/// Returns the load of a machine: the requested share of the load resource, from 0 to 1.
pub fn load(capacity: &Resources, free: &Resources, resource: LoadResource) -> f64 {
    let used = capacity.minus(*free);
    let cpu = share(used.cpus, capacity.cpus);
    let gpu = share(used.gpus, capacity.gpus);
    let memory = share(used.memory, capacity.memory);
    match resource {
        LoadResource::Cpu => cpu,
        LoadResource::Gpu => gpu,
        LoadResource::Memory => memory,
        LoadResource::Scarcest => cpu.max(gpu).max(memory),
    }
}

/// Returns how many tasks of a shape would fit if only the shape's main resource counted.
/// The main resource is the one of which a task takes the greatest share of a whole machine.
fn ideal_count(capacity: &Resources, free: &Resources, shape: &Resources) -> i64 {
    [
        (shape.gpus, capacity.gpus, free.gpus),
        (shape.cpus, capacity.cpus, free.cpus),
        (shape.memory, capacity.memory, free.memory),
    ]
    .into_iter()
    .filter(|(needed, _, _)| *needed > 0)
    .map(|(needed, capacity_amount, free_amount)| {
        let share = if capacity_amount > 0 {
            needed as f64 / capacity_amount as f64
        } else {
            f64::INFINITY
        };
        (share, free_amount.max(0) / needed)
    })
    .reduce(|a, b| if b.0 > a.0 { b } else { a })
    .map_or(0, |(_, n)| n)
}

/// Returns the fragmentation cost of a machine with the given free resources: the mean, over
/// the common shapes, of `1 - fitting / ideal`. `fitting` is the number of tasks that fit,
/// `ideal` the number that would fit by the shape's main resource alone. Shapes with
/// an ideal of 0 are left out.
pub fn fragmentation(capacity: &Resources, free: &Resources, shapes: &[Resources]) -> f64 {
    let mut sum = 0.0;
    let mut counted_shapes = 0;
    for shape in shapes {
        let ideal_count = ideal_count(capacity, free, shape);
        if ideal_count > 0 {
            sum += 1.0 - free.count(shape) as f64 / ideal_count as f64;
            counted_shapes += 1;
        }
    }
    if counted_shapes > 0 {
        sum / f64::from(counted_shapes)
    } else {
        0.0
    }
}
