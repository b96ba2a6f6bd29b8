//! Preemption at the end of a scheduling cycle: stops tasks to free capacity for jobs that
//! found none and have high priority or are within their team's guarantee. Searches for
//! victims that are certain to fail are skipped.
//!
//! Called only by the scheduling cycle. Preemption must never stop tasks on more than a few
//! machines per cycle, nor run while too many machines are unconfirmed.

use super::{Leader, millis, victims::GUARANTEE_S};
use crate::{
    protocol::users::{Kind, Priority},
    state::{
        Millis,
        cluster::{Job, JobHandle},
        resources::Resources,
    },
};
use std::collections::HashMap;

/// Number of machines with preempted tasks in a cycle after which no further preemption
/// begins. Preemption for a gang may exceed this limit, as it covers all of the gang's tasks.
const MAX_PREEMPTED_MACHINES: usize = 3;

/// Everything that the outcome of a search for victims depends on, apart from the number of
/// tasks. Used to skip searches that are certain to fail.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SearchKey {
    /// Whether all tasks are searched for at once, so that free capacity counts too.
    gang: bool,
    need: Resources,
    types: Vec<bool>,
    zone: Option<usize>,
    spot: bool,
    one_zone: bool,
    priority: Priority,
    guaranteed: Option<Guaranteed>,
}

/// What a search for a job within its team's guarantee depends on in addition.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Guaranteed {
    team: usize,
    /// The job's image. Tasks beyond other teams' guarantees are stopped only on machines that
    /// cache this image. `None` once the job has waited for `GUARANTEE_S`: from then on, such
    /// tasks are stopped on any machine.
    image: Option<u32>,
}

/// Searches of one cycle that found nothing, with the smallest number of tasks searched for.
#[derive(Debug, Default)]
struct FailedSearches(HashMap<SearchKey, i64>);

impl FailedSearches {
    /// Whether a search for this many tasks is certain to find nothing. Within a cycle,
    /// capacity only shrinks, so a search fails if one for as many or fewer tasks failed.
    fn covers(&self, key: &SearchKey, tasks: i64) -> bool {
        self.0.get(key).is_some_and(|least| tasks >= *least)
    }

    fn record(&mut self, key: SearchKey, tasks: i64) {
        let least = self.0.entry(key).or_insert(tasks);
        *least = tasks.min(*least);
    }
}

impl Leader {
    /// Preempts tasks for jobs that found no capacity in this cycle and have high priority or
    /// are within their team's guarantee, and reserves the capacity that becomes free.
    pub(super) fn preempt_for_waiting(&mut self, unplaced_jobs: &[JobHandle], now: Millis) {
        let jobs_with_reservations = self.jobs_with_reservations(now);
        let mut failed_searches = FailedSearches::default();
        let mut preempted_machines = 0;
        for &job_handle in unplaced_jobs {
            let Some(job) = self.cluster.job(job_handle) else {
                continue;
            };
            if preempted_machines >= MAX_PREEMPTED_MACHINES {
                return;
            }
            let is_multi_task_gang = job.spec.kind == Kind::Gang && job.spec.tasks > 1;
            let old_attempt_running = job.spec.kind == Kind::Gang
                && job.live_count > 0
                && self.gang_to_complete(job_handle).is_none();
            if old_attempt_running
                || job.effective_priority < Priority::High && !self.within_guarantee(job, now)
            {
                continue;
            }
            if is_multi_task_gang {
                if !jobs_with_reservations.contains(&job_handle) {
                    preempted_machines +=
                        self.preempt_for_gang(job_handle, &mut failed_searches, now);
                }
                continue;
            }
            if job.spec.single_zone && job.spec.tasks > 1 {
                // Preemption does not support these jobs: they wait for free capacity.
                continue;
            }
            let has_reservation = jobs_with_reservations.contains(&job_handle);
            preempted_machines += self.preempt_for_tasks(
                job_handle,
                has_reservation,
                preempted_machines,
                &mut failed_searches,
                now,
            );
        }
    }

    fn search_key(&self, job: &Job, now: Millis) -> SearchKey {
        let guaranteed = self.within_guarantee(job, now);
        let any_image = now >= job.waiting_since + millis(GUARANTEE_S);
        SearchKey {
            gang: job.spec.kind == Kind::Gang && job.spec.tasks > 1,
            need: job.need,
            types: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            one_zone: job.spec.single_zone,
            priority: job.effective_priority,
            guaranteed: guaranteed.then(|| Guaranteed {
                team: job.team,
                image: (!any_image).then_some(job.image),
            }),
        }
    }

    /// Preempts for the tasks of a job one by one. Returns on how many machines.
    fn preempt_for_tasks(
        &mut self,
        job_handle: JobHandle,
        has_reservation: bool,
        preempted_before: usize,
        failed_searches: &mut FailedSearches,
        now: Millis,
    ) -> usize {
        let Some(job) = self.cluster.job(job_handle) else {
            return 0;
        };
        let (need, team, priority) = (job.need, job.team, job.effective_priority);
        let zone_limit = job.spec.spread.then(|| job.spec.tasks.div_ceil(2));
        let key = self.search_key(job, now);
        let mut tasks_left = i64::from(job.waiting_count());
        if has_reservation {
            tasks_left -= self.tasks_fitting_reservation(job_handle, &need, now);
        }
        // The failure of a search that excludes full zones is not recorded or reused: another
        // job with the same key may be allowed in those zones.
        if zone_limit.is_none() && failed_searches.covers(&key, 1) {
            return 0;
        }
        let mut tasks_by_zone = self.cluster.live_tasks_by_zone(job_handle);
        let mut preempted_machines = 0;
        while tasks_left > 0
            && preempted_before + preempted_machines < MAX_PREEMPTED_MACHINES
            && self.within_team_quota(team, &need, 1)
        {
            let candidate = self.cheapest_preemption(job_handle, priority, now, |z| {
                zone_limit.is_none_or(|limit| tasks_by_zone.get(z).copied().unwrap_or(0) < limit)
            });
            let Some(preemption) = candidate else {
                if zone_limit.is_none() {
                    failed_searches.record(key, 1);
                }
                break;
            };
            tasks_left -= 1;
            preempted_machines += 1;
            if let Some(m) = self.cluster.machine(preemption.machine) {
                tasks_by_zone[m.zone] += 1;
            }
            self.preempt(job_handle, preemption, now);
        }
        preempted_machines
    }

    /// Returns how many tasks fit on the machines that are reserved for the job.
    fn tasks_fitting_reservation(
        &self,
        job_handle: JobHandle,
        need: &Resources,
        now: Millis,
    ) -> i64 {
        let reserved_machines = self.cluster.machines();
        let reserved_machines = reserved_machines.filter(|m| m.is_reserved_for(job_handle, now));
        reserved_machines.map(|m| m.capacity.count(need)).sum()
    }

    /// Preempts for all missing tasks of a gang at once, and reserves the capacity.
    /// Returns on how many machines tasks were stopped.
    fn preempt_for_gang(
        &mut self,
        job_handle: JobHandle,
        failed_searches: &mut FailedSearches,
        now: Millis,
    ) -> usize {
        if !self.waits_for_capacity_only(job_handle) {
            return 0;
        }
        let Some(job) = self.cluster.job(job_handle) else {
            return 0;
        };
        // Failed searches are not shared by gangs with live tasks, whose zone may bind the
        // missing tasks.
        let may_share_result = job.live_count == 0 && !job.spec.spread;
        let (key, missing) = (self.search_key(job, now), i64::from(job.waiting_count()));
        if may_share_result && failed_searches.covers(&key, missing) {
            return 0;
        }
        match self.gang_preemptions(job_handle, now, |_| true) {
            Some((_, preemptions)) => self.preempt_all(job_handle, preemptions, now),
            None => {
                if may_share_result {
                    failed_searches.record(key, missing);
                }
                0
            }
        }
    }
}
