//! The order of service of waiting jobs: suspicion, starvation, priority, deadline,
//! arrival.
//!
//! Called by the scheduling cycle and by scale-out. It must never let a job wait for
//! ever behind later ones.

use super::{Leader, millis, scheduling_cycle::is_schedulable_job};
use crate::{
    protocol::{
        settings::Objective,
        users::{JobSpec, Kind},
    },
    state::{
        Millis,
        cluster::{Job, JobHandle},
        resources::Resources,
    },
};

impl Leader {
    /// Waiting jobs in the order in which they are served.
    pub(super) fn queue(&mut self, now: Millis) -> Vec<JobHandle> {
        self.refresh_fleet(now);
        let mut order = std::mem::take(&mut self.scheduling.queue_buffer);
        order.clear();
        let jobs = self.cluster.jobs.iter();
        let schedulable = jobs.filter(|(_, job)| is_schedulable_job(job));
        order.extend(schedulable.map(|(handle, _)| handle));
        let jobs = &self.cluster.jobs;
        let (objectives, wall) = (&self.settings.cluster.objectives, self.wall_ms);
        let fleet = self.scheduling.fleet.capacity();
        order.sort_by_cached_key(|handle| {
            jobs.get(*handle).map(|j| {
                let begun = !self.is_starving(j);
                let band =
                    deadline_band(&j.spec, objectives, wall.saturating_sub(j.accepted_at_ms));
                let rank = std::cmp::Reverse(j.effective_priority);
                let turn = j.queued_since_ms.saturating_add(yield_time_ms(j, &fleet));
                (j.failures.suspected, begun, rank, band, turn, *handle)
            })
        });
        order
    }

    /// Nothing of the job has run for so long that it goes ahead of all others now.
    /// Guards against starvation of large jobs by a stream of smaller, later or more
    /// urgent ones.
    pub(super) fn is_starving(&self, j: &Job) -> bool {
        if !self.waited_long(j) || j.has_run || j.completed_count > 0 || j.live_count > 0 {
            return false;
        }
        // Best-effort gangs begin only where one machine is enough: more would cost
        // others theirs.
        j.spec.kind != Kind::Gang || j.spec.tasks == 1 || !self.is_best_effort(j)
    }

    fn waited_long(&self, j: &Job) -> bool {
        let waited = self.wall_ms.saturating_sub(j.queued_since_ms);
        let bound = millis(self.options.begin_s);
        bound > 0 && waited >= bound
    }

    /// All that runs of the job is its start after starvation. Guards against preempting
    /// that at once for what it went ahead of.
    pub(super) fn has_only_starvation_start(&self, j: &Job) -> bool {
        j.live_count <= 1 && j.completed_count == 0 && self.waited_long(j)
    }

    /// Neither its team has a guarantee nor its class an objective.
    fn is_best_effort(&self, j: &Job) -> bool {
        let promised = |t: &crate::protocol::settings::Team| t.cpus > 0.0 || t.gpus > 0.0;
        let class = Some(j.spec.class.as_str());
        let aims = &self.settings.cluster.objectives;
        !self.cluster.teams.get(j.team).is_some_and(promised)
            && !aims.iter().any(|o| o.class.as_deref() == class)
    }
}

/// A batch with a deadline yields to jobs that arrived up to so many times later as the
/// whole fleet would take for the rest of it.
const YIELD_FACTOR: f64 = 40.0;

/// For how long after its arrival a batch yields to smaller ones, in milliseconds.
/// Guards against a burst that makes all batches late by the same time, where most would
/// keep their deadline if the few large ones waited; it is bounded, so none waits for
/// ever.
fn yield_time_ms(j: &Job, fleet: &Resources) -> u64 {
    if j.spec.kind != Kind::Array || j.spec.deadline_s.is_none() {
        return 0;
    }
    let (each, all) = match j.need.gpus {
        0 => (j.need.cpus, fleet.cpus),
        n => (n, fleet.gpus),
    };
    let left = f64::from(j.waiting_count()) * j.spec.estimate_s * each as f64;
    (YIELD_FACTOR * 1000.0 * left / all.max(each).max(1) as f64) as u64
}

/// Within a priority, jobs are served in arrival order, but those that have missed their
/// deadline yield to the others, until a later objective for them (or three times the
/// deadline) draws near.
fn deadline_band(spec: &JobSpec, objectives: &[Objective], age_ms: u64) -> u8 {
    let Some(due) = spec.deadline_s else {
        return 1;
    };
    let age = age_ms as f64 / 1000.0;
    if due - age >= spec.estimate_s * 0.8 {
        return 1;
    }
    let last = objectives
        .iter()
        .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.times)
        .fold(1.0, f64::max);
    let last = if last > 1.0 { last } else { 3.0 };
    let near = last * due - age < spec.estimate_s * 1.5 + 0.2 * due;
    if near { 0 } else { 2 }
}

#[cfg(test)]
mod tests;
