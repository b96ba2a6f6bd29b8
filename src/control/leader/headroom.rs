//! Headroom: capacity kept free for work of high priority, derived from recent arrivals and
//! from the capacity that services need after the loss of a machine.
//!
//! Owns `JobClass` and `Headroom`. Called by the scheduling cycle, scale-in and scale-out.
//! This module only counts; it does not place tasks or reserve capacity.

use super::Leader;
use crate::{
    protocol::users::{JobSpec, Kind, Priority},
    state::{
        Millis,
        cluster::{Assignment, JobHandle, Machine},
        resources::Resources,
    },
};

/// Period over which arrivals are counted.
pub(super) const ARRIVAL_WINDOW_MS: Millis = 180_000;

/// Largest number of tasks counted on one machine.
const MAX_COUNTED_TASKS: i64 = 1_000;

/// A class of jobs: jobs of one kind and priority whose tasks need the same capacity.
#[derive(Debug, PartialEq)]
pub(super) struct JobClass {
    pub(super) kind: Kind,
    pub(super) priority: Priority,
    pub(super) need: Resources,
    pub(super) types: Vec<bool>,
    pub(super) spot: bool,
}

/// Capacity that is kept free of work of lower priority.
pub(super) struct Headroom {
    pub(super) priority: Priority,
    pub(super) need: Resources,
    pub(super) types: Vec<bool>,
    pub(super) spot: bool,
    /// Number of tasks that still fit.
    pub(super) fits: i64,
    /// Number of tasks that should fit.
    pub(super) wanted: i64,
}

impl JobClass {
    /// Returns the headroom for `wanted` tasks of this class, with no capacity counted yet.
    fn headroom_for(&self, wanted: i64) -> Headroom {
        Headroom {
            priority: self.priority,
            need: self.need,
            types: self.types.clone(),
            spot: self.spot,
            fits: 0,
            wanted,
        }
    }
}

impl Headroom {
    pub(super) fn covers(&self, type_index: usize, spot: bool) -> bool {
        self.types.get(type_index).copied().unwrap_or(false) && (self.spot || !spot)
    }

    /// Returns the number of tasks that fit into `free`, at most `MAX_COUNTED_TASKS`, which
    /// matters for tasks with very small needs.
    pub(super) fn tasks_in(&self, free: &Resources) -> i64 {
        free.count(&self.need).min(MAX_COUNTED_TASKS)
    }

    /// Returns how many fewer tasks would fit into `free` if a task with this need were placed
    /// there.
    pub(super) fn tasks_lost_by_placing(&self, free: &Resources, need: &Resources) -> i64 {
        self.tasks_in(free) - self.tasks_in(&free.minus(*need))
    }
}

impl Leader {
    pub(super) fn record_arrival(&mut self, handle: JobHandle, now: Millis) {
        let Some(job) = self.cluster.job(handle) else {
            return;
        };
        let class = JobClass {
            kind: job.spec.kind,
            priority: job.spec.priority,
            need: job.need,
            types: job.types.clone(),
            spot: job.spec.spot,
        };
        let tasks = job.spec.tasks;
        let class_index = match self.scheduling.classes.iter().position(|c| *c == class) {
            Some(class_index) => class_index,
            None if self.scheduling.classes.len() < 256 => {
                self.scheduling.classes.push(class);
                self.scheduling.classes.len() - 1
            }
            None => return,
        };
        self.scheduling
            .arrivals
            .push_back((now, class_index, tasks));
        if self.scheduling.arrivals.len() > 1000 {
            self.scheduling.arrivals.pop_front();
        }
    }

    /// Returns the spare capacity for services. For each class, as many tasks should fit as run
    /// on the machine with most tasks of the class, so that any machine may be lost. Batches may
    /// use this capacity meanwhile.
    pub(super) fn spare_capacity(&self) -> Vec<Headroom> {
        let mut out = Vec::new();
        for class in self
            .scheduling
            .classes
            .iter()
            .filter(|class| class.kind == Kind::Service)
        {
            let mut headroom = class.headroom_for(0);
            // Spare capacity is kept only on machine types whose price per task is at most
            // twice that of the cheapest one.
            let price = |type_index: usize| {
                let machine_type = &self.cluster.types[type_index];
                let machine_price = machine_type.price_of(class.spot);
                let whole_machine =
                    Resources::offer(machine_type.cpus, machine_type.gpus, machine_type.memory_gb);
                machine_price / (whole_machine.count(&class.need).max(1) as f64)
            };
            let lowest_price = (0..self.cluster.types.len())
                .filter(|type_index| class.types.get(*type_index) == Some(&true))
                .map(price)
                .min_by(f64::total_cmp)
                .unwrap_or(0.0);
            for (type_index, allowed) in headroom.types.iter_mut().enumerate() {
                *allowed &= price(type_index) <= 2.0 * lowest_price;
            }
            let mut most = 0;
            for machine in self.cluster.machines() {
                let of_class = |assignment: &&Assignment| {
                    assignment.is_live()
                        && assignment
                            .job
                            .and_then(|job| self.cluster.job(job))
                            .is_some_and(|j| {
                                j.spec.kind == Kind::Service
                                    && j.need == class.need
                                    && j.types == class.types
                            })
                };
                most = most.max(machine.tasks.iter().filter(of_class).count() as i64);
                if machine.schedulable() && headroom.covers(machine.type_index, machine.spot) {
                    let mut free = machine.free();
                    free += self.resources_held_by_batch_jobs(machine);
                    headroom.fits += headroom.tasks_in(&free);
                }
            }
            // The free capacity of the machine that may be lost is counted in `fits` like
            // that of any other.
            headroom.wanted = most;
            if most > 0 {
                out.push(headroom);
            }
        }
        out
    }

    pub(super) fn resources_held_by_batch_jobs(&self, machine: &Machine) -> Resources {
        let mut held = Resources::default();
        for assignment in machine
            .tasks
            .iter()
            .filter(|assignment| assignment.is_live())
        {
            if assignment
                .job
                .and_then(|job| self.cluster.job(job))
                .is_some_and(|j| j.spec.kind == Kind::Array)
            {
                held += assignment.need;
            }
        }
        held
    }

    /// Returns the headroom for work of high priority that is expected to arrive within the
    /// next `ahead_ms`, estimated from the arrivals of the last `window_ms`.
    pub(super) fn headroom(
        &mut self,
        window_ms: Millis,
        ahead_ms: Millis,
        now: Millis,
    ) -> Vec<Headroom> {
        while self
            .scheduling
            .arrivals
            .front()
            .is_some_and(|(at, _, _)| at + ARRIVAL_WINDOW_MS < now)
        {
            self.scheduling.arrivals.pop_front();
        }
        let observed_ms = window_ms.min(now - self.recovery.elected_at).max(30_000);
        let mut out = Vec::new();
        for (class_index, class) in self.scheduling.classes.iter().enumerate() {
            if class.priority < Priority::High {
                continue;
            }
            let recent_tasks: u64 = self
                .scheduling
                .arrivals
                .iter()
                .filter(|(t, at, _)| *at == class_index && *t + window_ms >= now)
                .map(|(_, _, n)| u64::from(*n).min(64))
                .sum();
            let wanted = (recent_tasks * ahead_ms).div_ceil(observed_ms) as i64;
            if wanted == 0 {
                continue;
            }
            let mut headroom = class.headroom_for(wanted);
            for (_, machine) in self.scheduling.fleet.machine_views() {
                if headroom.covers(machine.type_index, machine.spot) {
                    headroom.fits += headroom.tasks_in(&machine.free);
                }
            }
            out.push(headroom);
        }
        out
    }

    pub(super) fn learn_shape(&mut self, spec: &JobSpec) {
        if !self.options.shapes.is_empty() {
            return;
        }
        let need = Resources::need(spec.cpus, spec.gpus, spec.memory_gb);
        match self
            .scheduling
            .seen_shapes
            .iter()
            .position(|(s, _)| *s == need)
        {
            Some(position) => self.scheduling.seen_shapes[position].1 += 1,
            None if self.scheduling.seen_shapes.len() < 64 => {
                self.scheduling.seen_shapes.push((need, 1))
            }
            None => {}
        }
        self.scheduling
            .seen_shapes
            .sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        self.scheduling.policy.shapes = self
            .scheduling
            .seen_shapes
            .iter()
            .take(6)
            .map(|(s, _)| *s)
            .collect();
    }
}
