//! Preemption at the end of a scheduling cycle: capacity for jobs of high priority that
//! found none, by stopping tasks. Searches that are certain to fail are skipped.
//!
//! Called by the scheduling cycle alone. It must never preempt on more than a few
//! machines a cycle, nor while too many machines are unconfirmed.

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

/// Machines on which tasks are preempted in one cycle; a gang that was begun with fewer
/// is not cut short.
const MAX_PREEMPTED_MACHINES: usize = 3;

/// All that the outcome of a failed search depends on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SearchKey {
    /// All tasks at once: capacity that is free already counts too.
    gang: bool,
    need: Resources,
    types: Vec<bool>,
    zone: Option<usize>,
    spot: bool,
    one_zone: bool,
    priority: Priority,
    guaranteed: Option<Guaranteed>,
}

/// What a search for a job within its guarantee depends on besides.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Guaranteed {
    team: usize,
    /// Only machines with this image count yet.
    image: Option<u32>,
}

/// Searches of one cycle that found nothing, and the fewest tasks each was for.
#[derive(Debug, Default)]
struct FailedSearches(HashMap<SearchKey, i64>);

impl FailedSearches {
    /// A search for as many tasks or more finds nothing either: meanwhile capacity can
    /// only have become less.
    fn covers(&self, key: &SearchKey, tasks: i64) -> bool {
        self.0.get(key).is_some_and(|least| tasks >= *least)
    }

    fn record(&mut self, key: SearchKey, tasks: i64) {
        let least = self.0.entry(key).or_insert(tasks);
        *least = tasks.min(*least);
    }
}

impl Leader {
    /// Preempts tasks of lower priority where a job of high priority found no capacity,
    /// and reserves what becomes free for it.
    pub(super) fn preempt_for_waiting(&mut self, wanting: &[JobHandle], now: Millis) {
        let holding = self.jobs_with_reservations(now);
        let mut failed_searches = FailedSearches::default();
        let mut begun = 0;
        for &job_handle in wanting {
            let Some(j) = self.cluster.job(job_handle) else {
                continue;
            };
            if begun >= MAX_PREEMPTED_MACHINES {
                return;
            }
            let several = j.spec.kind == Kind::Gang && j.spec.tasks > 1;
            let starts_over = j.spec.kind == Kind::Gang
                && j.live_count > 0
                && self.gang_to_complete(job_handle).is_none();
            if starts_over
                || j.effective_priority < Priority::High && !self.within_guarantee(j, now)
            {
                continue;
            }
            if several {
                if !holding.contains(&job_handle) {
                    begun += self.preempt_for_gang(job_handle, &mut failed_searches, now);
                }
                continue;
            }
            if j.spec.single_zone && j.spec.tasks > 1 {
                // Not planned for here: such a job waits for capacity.
                continue;
            }
            let holds = holding.contains(&job_handle);
            begun += self.preempt_for_tasks(job_handle, holds, begun, &mut failed_searches, now);
        }
    }

    fn search_key(&self, job: &Job, now: Millis) -> SearchKey {
        let guaranteed = self.within_guarantee(job, now);
        let any_image = now >= job.known_since + millis(GUARANTEE_S);
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

    /// Preempts for tasks one by one. Returns on how many machines.
    fn preempt_for_tasks(
        &mut self,
        job_handle: JobHandle,
        holds: bool,
        begun: usize,
        failed_searches: &mut FailedSearches,
        now: Millis,
    ) -> usize {
        let Some(j) = self.cluster.job(job_handle) else {
            return 0;
        };
        let (need, team, priority) = (j.need, j.team, j.effective_priority);
        let half = j.spec.spread.then(|| j.spec.tasks.div_ceil(2));
        let key = self.search_key(j, now);
        let mut tasks = i64::from(j.waiting_count());
        if holds {
            tasks -= self.tasks_that_held_room_takes(job_handle, &need, now);
        }
        // Where zones are counted, another job may find what this one can't.
        if half.is_none() && failed_searches.covers(&key, 1) {
            return 0;
        }
        let mut zones = self.cluster.live_tasks_by_zone(job_handle);
        let mut own = 0;
        while tasks > 0 && begun + own < MAX_PREEMPTED_MACHINES && self.within_limit(team, &need, 1)
        {
            let found = self.cheapest_preemption(job_handle, priority, now, |z| {
                half.is_none_or(|h| zones.get(z).copied().unwrap_or(0) < h)
            });
            let Some(room) = found else {
                if half.is_none() {
                    failed_searches.record(key, 1);
                }
                break;
            };
            tasks -= 1;
            own += 1;
            if let Some(m) = self.cluster.machine(room.machine) {
                zones[m.zone] += 1;
            }
            self.preempt(job_handle, room, now);
        }
        own
    }

    fn tasks_that_held_room_takes(
        &self,
        job_handle: JobHandle,
        need: &Resources,
        now: Millis,
    ) -> i64 {
        let held = self.cluster.each_machine();
        let held = held.filter(|m| m.is_reserved_for(job_handle, now));
        held.map(|m| m.capacity.count(need)).sum()
    }

    /// Preempts for all missing tasks of a gang at once, and reserves the capacity.
    /// Returns on how many machines tasks were stopped.
    fn preempt_for_gang(
        &mut self,
        job_handle: JobHandle,
        failed_searches: &mut FailedSearches,
        now: Millis,
    ) -> usize {
        if !self.wants_room(job_handle) {
            return 0;
        }
        let Some(j) = self.cluster.job(job_handle) else {
            return 0;
        };
        // Tasks that are there already may bind the rest to their zone.
        let alone = j.live_count == 0 && !j.spec.spread;
        let (key, missing) = (self.search_key(j, now), i64::from(j.waiting_count()));
        if alone && failed_searches.covers(&key, missing) {
            return 0;
        }
        match self.gang_candidates(job_handle, now, |_| true) {
            Some((_, rooms)) => self.preempt_all(job_handle, rooms, now),
            None => {
                if alone {
                    failed_searches.record(key, missing);
                }
                0
            }
        }
    }
}
