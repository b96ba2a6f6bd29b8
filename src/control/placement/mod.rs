//! Placement: which machine a task goes to. Lightly loaded (lazy) machines come
//! first, and among them the one left least fragmented; then busy ones.
//!
//! `Policy` and the cost functions are here; `fleet` keeps the machines and
//! their rankings and makes the choice. Called by the leader's scheduling; it
//! knows no jobs and must not depend on their number.

mod change_log;
pub mod fleet;
pub mod free_counts;
mod ranking;

use crate::{
    options::{LoadResource, Shape},
    state::resources::Resources,
};

/// What the order of machines depends on beside the machines.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// A machine with a lower load is lazy, others are busy.
    pub threshold: f64,
    /// The resource that counts as load.
    pub load: LoadResource,
    /// Common shapes of tasks that fragmentation is averaged over.
    pub shapes: Vec<Resources>,
}

impl Policy {
    /// A shape as the operators state it.
    pub fn shape(s: &Shape) -> Resources {
        Resources::need(s.cpus, s.gpus, s.memory_gb)
    }
}

fn share(used: i64, of: i64) -> f64 {
    if of > 0 { used as f64 / of as f64 } else { 0.0 }
}

/// Requested share of the load resource.
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

/// How many of a shape fit counting its main resource alone: the one of
/// which it takes the greatest share of a whole machine.
fn ideal(capacity: &Resources, free: &Resources, shape: &Resources) -> i64 {
    [
        (shape.gpus, capacity.gpus, free.gpus),
        (shape.cpus, capacity.cpus, free.cpus),
        (shape.memory, capacity.memory, free.memory),
    ]
    .into_iter()
    .filter(|(s, _, _)| *s > 0)
    .map(|(s, c, f)| {
        let share = if c > 0 {
            s as f64 / c as f64
        } else {
            f64::INFINITY
        };
        (share, f.max(0) / s)
    })
    .reduce(|a, b| if b.0 > a.0 { b } else { a })
    .map_or(0, |(_, n)| n)
}

/// Fragmentation cost of a machine with this much left: the mean, over the
/// common shapes, of one minus valid over ideal.
pub fn fragmentation(capacity: &Resources, free: &Resources, shapes: &[Resources]) -> f64 {
    let mut sum = 0.0;
    let mut n = 0;
    for shape in shapes {
        let ideal = ideal(capacity, free, shape);
        if ideal > 0 {
            sum += 1.0 - free.count(shape) as f64 / ideal as f64;
            n += 1;
        }
    }
    if n > 0 { sum / f64::from(n) } else { 0.0 }
}
