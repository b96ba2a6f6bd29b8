//! The order in which waiting jobs are served. Jobs are sorted by suspicion of failing
//! everywhere (suspected jobs last), starvation, priority, deadline and arrival.
//!
//! Called by the scheduling cycle and by scale-out. A job must never wait forever behind
//! later jobs.

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
    /// Returns the waiting jobs in the order in which they are served.
    pub(super) fn queue(&mut self, now: Millis) -> Vec<JobHandle> {
        self.refresh_fleet(now);
        let mut order = std::mem::take(&mut self.scheduling.job_order_buffer);
        order.clear();
        let jobs = self.cluster.jobs.iter();
        let schedulable = jobs.filter(|(_, job)| is_schedulable_job(job));
        order.extend(schedulable.map(|(handle, _)| handle));
        let jobs = &self.cluster.jobs;
        let (objectives, wall_ms) = (&self.settings.cluster.objectives, self.wall_ms);
        let fleet_capacity = self.scheduling.fleet.capacity();
        order.sort_by_cached_key(|handle| {
            jobs.get(*handle).map(|job| {
                let not_starving = !self.is_starving(job);
                let deadline_band_rank = deadline_band(
                    &job.spec,
                    objectives,
                    wall_ms.saturating_sub(job.accepted_at_ms),
                );
                let priority_rank = std::cmp::Reverse(job.effective_priority);
                let queue_time_ms = job
                    .queued_since_ms
                    .saturating_add(yield_time_ms(job, &fleet_capacity));
                (
                    job.failures.suspected,
                    not_starving,
                    priority_rank,
                    deadline_band_rank,
                    queue_time_ms,
                    *handle,
                )
            })
        });
        order
    }

    /// Whether the job has been queued for `starvation_timeout_s` without any task having run,
    /// so that it is served before all jobs that aren't starving. Guards against starvation
    /// of large jobs by a stream of smaller, later or more urgent ones.
    pub(super) fn is_starving(&self, job: &Job) -> bool {
        if !self.waited_long(job) || job.has_run || job.completed_count > 0 || job.live_count > 0 {
            return false;
        }
        // A best-effort gang counts as starving only if it has a single task: the capacity
        // for several tasks would be taken from other jobs.
        job.spec.kind != Kind::Gang || job.spec.tasks == 1 || !self.is_best_effort(job)
    }

    /// Whether the job has been queued for `starvation_timeout_s`; 0 disables starvation
    /// handling.
    fn waited_long(&self, job: &Job) -> bool {
        let waited_ms = self.wall_ms.saturating_sub(job.queued_since_ms);
        let bound_ms = millis(self.options.starvation_timeout_s);
        bound_ms > 0 && waited_ms >= bound_ms
    }

    /// Whether at most one task of the job runs, after the job was starving. Guards against
    /// preempting that task at once for the jobs that the starving job was served before.
    pub(super) fn has_only_starvation_start(&self, job: &Job) -> bool {
        job.live_count <= 1 && job.completed_count == 0 && self.waited_long(job)
    }

    /// Whether neither the job's team has a guarantee nor its class an objective.
    fn is_best_effort(&self, job: &Job) -> bool {
        let has_guarantee = |t: &crate::protocol::settings::Team| t.cpus > 0.0 || t.gpus > 0.0;
        let class = Some(job.spec.class.as_str());
        let objectives = &self.settings.cluster.objectives;
        !self.cluster.teams.get(job.team).is_some_and(has_guarantee)
            && !objectives.iter().any(|o| o.class.as_deref() == class)
    }
}

/// Factor by which a batch job with a deadline is delayed in the queue: it yields to jobs that
/// arrive within this many times the time that the whole fleet would need for its waiting
/// tasks.
const YIELD_FACTOR: f64 = 40.0;

/// Returns for how long after its arrival a batch job yields to smaller ones, in
/// milliseconds. Guards against a burst that makes all batch jobs late by the same time,
/// where most would keep their deadline if the few large ones waited. The time is bounded,
/// so no job waits forever.
fn yield_time_ms(job: &Job, fleet_capacity: &Resources) -> u64 {
    if job.spec.kind != Kind::Array || job.spec.deadline_s.is_none() {
        return 0;
    }
    let (task_amount, all) = match job.need.gpus {
        0 => (job.need.cpus, fleet_capacity.cpus),
        n => (n, fleet_capacity.gpus),
    };
    let amount_seconds_left =
        f64::from(job.waiting_count()) * job.spec.estimate_s * task_amount as f64;
    (YIELD_FACTOR * 1000.0 * amount_seconds_left / all.max(task_amount).max(1) as f64) as u64
}

/// Returns the deadline band of a job; lower bands are served first within a priority. Jobs
/// without a deadline, or that can still meet it, are in band 1. Jobs that miss their
/// deadline yield to the others in band 2 until the last objective for their class (or
/// three times the deadline) is near; then they move to band 0.
fn deadline_band(spec: &JobSpec, objectives: &[Objective], age_ms: u64) -> u8 {
    let Some(deadline_s) = spec.deadline_s else {
        return 1;
    };
    let age_s = age_ms as f64 / 1000.0;
    if deadline_s - age_s >= spec.estimate_s * 0.8 {
        return 1;
    }
    let last = objectives
        .iter()
        .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.times)
        .fold(1.0, f64::max);
    let last = if last > 1.0 { last } else { 3.0 };
    let last_objective_near = last * deadline_s - age_s < spec.estimate_s * 1.5 + 0.2 * deadline_s;
    if last_objective_near { 0 } else { 2 }
}

#[cfg(test)]
mod tests;
