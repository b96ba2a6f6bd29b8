//! Headroom: capacity kept free for work of high priority, by what arrived lately and by
//! what the loss of a machine would need.
//!
//! Owns `Class` and `Headroom`. Called by the scheduling cycle, scale-in and scale-out.
//! It only counts: it places and reserves nothing.

use super::Leader;
use crate::{
    protocol::users::{JobSpec, Kind, Priority},
    state::{
        Millis,
        cluster::{Assignment, JobHandle, Machine},
        resources::Resources,
    },
};

/// Over how long arrivals are counted.
pub(super) const ARRIVAL_WINDOW_MS: Millis = 180_000;

/// Tasks counted on one machine at most.
const MAX_COUNTED_TASKS: i64 = 1_000;

/// Jobs whose tasks ask for the same capacity.
#[derive(Debug, PartialEq)]
pub(super) struct Class {
    pub(super) kind: Kind,
    pub(super) priority: Priority,
    pub(super) need: Resources,
    pub(super) types: Vec<bool>,
    pub(super) spot: bool,
}

/// Capacity kept free of work of lower priority.
pub(super) struct Headroom {
    pub(super) priority: Priority,
    pub(super) need: Resources,
    pub(super) types: Vec<bool>,
    pub(super) spot: bool,
    /// Tasks that still fit, and how many should.
    pub(super) fits: i64,
    pub(super) wanted: i64,
}

impl Class {
    /// Headroom for so many of its tasks, none of it found yet.
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
    pub(super) fn covers(&self, type_ix: usize, spot: bool) -> bool {
        self.types.get(type_ix).copied().unwrap_or(false) && (self.spot || !spot)
    }

    /// How many of its tasks fit into so much, up to a bound for tasks that need
    /// next to nothing.
    pub(super) fn tasks_in(&self, free: &Resources) -> i64 {
        free.count(&self.need).min(MAX_COUNTED_TASKS)
    }

    /// How many fewer would fit with this task placed.
    pub(super) fn loss(&self, free: &Resources, need: &Resources) -> i64 {
        self.tasks_in(free) - self.tasks_in(&free.minus(*need))
    }
}

impl Leader {
    pub(super) fn record_arrival(&mut self, handle: JobHandle, now: Millis) {
        let Some(j) = self.cluster.job(handle) else {
            return;
        };
        let class = Class {
            kind: j.spec.kind,
            priority: j.spec.priority,
            need: j.need,
            types: j.types.clone(),
            spot: j.spec.spot,
        };
        let tasks = j.spec.tasks;
        let at = match self.scheduling.classes.iter().position(|c| *c == class) {
            Some(at) => at,
            None if self.scheduling.classes.len() < 256 => {
                self.scheduling.classes.push(class);
                self.scheduling.classes.len() - 1
            }
            None => return,
        };
        self.scheduling.arrivals.push_back((now, at, tasks));
        if self.scheduling.arrivals.len() > 1000 {
            self.scheduling.arrivals.pop_front();
        }
    }

    /// Spare capacity for services: for as many as run on the machine with most of them,
    /// so that it may be lost. Batches may use that capacity meanwhile.
    pub(super) fn spare_capacity(&self) -> Vec<Headroom> {
        let mut out = Vec::new();
        for c in self
            .scheduling
            .classes
            .iter()
            .filter(|c| c.kind == Kind::Service)
        {
            let mut r = c.headroom_for(0);
            // Not at any price: on kinds that cost up to twice the cheapest.
            let price = |ix: usize| {
                let t = &self.cluster.types[ix];
                let per = t.price_of(c.spot);
                let whole = Resources::offer(t.cpus, t.gpus, t.memory_gb);
                per / (whole.count(&c.need).max(1) as f64)
            };
            let least = (0..self.cluster.types.len())
                .filter(|ix| c.types.get(*ix) == Some(&true))
                .map(price)
                .min_by(f64::total_cmp)
                .unwrap_or(0.0);
            for (ix, allowed) in r.types.iter_mut().enumerate() {
                *allowed &= price(ix) <= 2.0 * least;
            }
            let mut most = 0;
            for m in self.cluster.each_machine() {
                let of_class = |a: &&Assignment| {
                    a.is_live()
                        && a.job
                            .and_then(|job| self.cluster.job(job))
                            .is_some_and(|j| {
                                j.spec.kind == Kind::Service
                                    && j.need == c.need
                                    && j.types == c.types
                            })
                };
                most = most.max(m.tasks.iter().filter(of_class).count() as i64);
                if m.schedulable() && r.covers(m.type_ix, m.spot) {
                    let mut free = m.free();
                    free += self.held_by_batches(m);
                    r.fits += r.tasks_in(&free);
                }
            }
            // The machine that is lost has capacity of its own, which does not count.
            r.wanted = most;
            if most > 0 {
                out.push(r);
            }
        }
        out
    }

    pub(super) fn held_by_batches(&self, m: &Machine) -> Resources {
        let mut held = Resources::default();
        for a in m.tasks.iter().filter(|a| a.is_live()) {
            if a.job
                .and_then(|job| self.cluster.job(job))
                .is_some_and(|j| j.spec.kind == Kind::Array)
            {
                held += a.need;
            }
        }
        held
    }

    /// Headroom for work of high priority that is expected within `ahead`, by what
    /// arrived during the last `over`.
    pub(super) fn headroom(&mut self, over: Millis, ahead: Millis, now: Millis) -> Vec<Headroom> {
        while self
            .scheduling
            .arrivals
            .front()
            .is_some_and(|(at, _, _)| at + ARRIVAL_WINDOW_MS < now)
        {
            self.scheduling.arrivals.pop_front();
        }
        let window = over.min(now - self.recovery.elected_at).max(30_000);
        let mut out = Vec::new();
        for (ix, c) in self.scheduling.classes.iter().enumerate() {
            if c.priority < Priority::High {
                continue;
            }
            let recent: u64 = self
                .scheduling
                .arrivals
                .iter()
                .filter(|(t, at, _)| *at == ix && *t + over >= now)
                .map(|(_, _, n)| u64::from(*n).min(64))
                .sum();
            let wanted = (recent * ahead).div_ceil(window) as i64;
            if wanted == 0 {
                continue;
            }
            let mut r = c.headroom_for(wanted);
            for (_, room) in self.scheduling.fleet.machine_views() {
                if r.covers(room.type_ix, room.spot) {
                    r.fits += r.tasks_in(&room.free);
                }
            }
            out.push(r);
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
            Some(at) => self.scheduling.seen_shapes[at].1 += 1,
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
