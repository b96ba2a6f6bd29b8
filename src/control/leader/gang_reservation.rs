//! Gang reservation: capacity that becomes free bit by bit is withheld from other jobs until
//! all tasks of a gang fit. If preemption can free enough for the whole gang, tasks are
//! preempted and their machines reserved.
//!
//! Called by the scheduling cycle and by preemption. Withheld capacity must never outlast
//! the cycle, a reservation never its time limit, and a part of a gang must never be
//! started.

use super::{
    Leader, millis,
    victims::{self, Preemption},
};
use crate::{
    control::placement::fleet::RankingId,
    protocol::users::Priority,
    state::{
        Millis,
        cluster::{JobHandle, Machine, MachineHandle},
    },
};

/// Time in milliseconds after which jobs of the same priority no longer take capacity ahead
/// of a waiting gang, for classes without an objective for starting.
const DEFAULT_GANG_WAIT_MS: Millis = 60_000;

impl Leader {
    /// Returns the zones that could take the missing tasks of a gang. For a gang that must run
    /// in a single zone, this is the zone of its live tasks, or each zone if it has none.
    /// For other gangs the only entry is `None`: its tasks may be in any mixture of zones.
    pub(super) fn gang_zones(&self, job_handle: JobHandle) -> Vec<Option<usize>> {
        let Some(job) = self.cluster.job(job_handle) else {
            return Vec::new();
        };
        if !job.spec.single_zone {
            return vec![None];
        }
        let tasks_by_zone = self.cluster.live_tasks_by_zone(job_handle);
        let has_live_tasks = tasks_by_zone.iter().any(|n| *n > 0);
        (0..tasks_by_zone.len())
            .filter(|z| !has_live_tasks || tasks_by_zone[*z] > 0)
            .map(Some)
            .collect()
    }

    /// Whether the gang waits for capacity alone: no old attempt of it runs, and its team's
    /// quota allows the missing tasks.
    pub(super) fn waits_for_capacity_only(&self, job_handle: JobHandle) -> bool {
        self.cluster.job(job_handle).is_some_and(|job| {
            (job.live_count == 0 || self.gang_to_complete(job_handle).is_some())
                && self.within_team_quota(job.team, &job.need, i64::from(job.waiting_count()))
        })
    }

    /// Whether the gang has missed the last objective for starting of its class, or has waited
    /// for `DEFAULT_GANG_WAIT_MS` if there is none. Other jobs of the same priority then no
    /// longer take capacity ahead of the gang.
    pub(super) fn has_waited_too_long(&self, job_handle: JobHandle, now: Millis) -> bool {
        self.cluster.job(job_handle).is_some_and(|job| {
            let objectives = self.settings.cluster.objectives.iter().filter(|o| {
                o.kind == "wait" && o.class.as_deref() == Some(job.spec.class.as_str())
            });
            let last = objectives.filter_map(|o| o.within_s).fold(0.0, f64::max);
            let max_wait_ms = if last > 0.0 {
                millis(last)
            } else {
                DEFAULT_GANG_WAIT_MS
            };
            now > job.waiting_since + max_wait_ms
        })
    }

    /// Withholds the capacity that a waiting gang finds from the jobs that are served after it
    /// in this cycle. Guards against gangs that never start because each machine that comes
    /// up or becomes free is filled with small tasks before there are enough machines.
    pub(super) fn reserve_for_gang(&mut self, job_handle: JobHandle, now: Millis) {
        if !self.waits_for_capacity_only(job_handle) {
            return;
        }
        let Some(ranking) = self.ranking_for(job_handle, now) else {
            return;
        };
        let Some(job) = self.cluster.job(job_handle) else {
            return;
        };
        let (need, missing) = (job.need, i64::from(job.waiting_count()));
        let zones = self.gang_zones(job_handle);
        let tasks_that_fit = |zone: &Option<usize>| -> i64 {
            let candidates = self.candidates_for_gang(job_handle, *zone, ranking, now);
            candidates.iter().map(|(_, n)| n).sum::<i64>().min(missing)
        };
        let Some(zone) = zones.into_iter().max_by_key(tasks_that_fit) else {
            return;
        };
        let mut left = missing;
        for (machine, tasks) in self.candidates_for_gang(job_handle, zone, ranking, now) {
            let tasks = tasks.min(left);
            if tasks > 0 {
                let index = machine.index();
                self.scheduling.fleet.withhold(index, need.scaled(tasks));
            }
            left -= tasks;
        }
    }

    /// Returns the machines with capacity for tasks of the gang, in the given zone or in any
    /// zone, each with the number of tasks that fit.
    fn candidates_for_gang(
        &self,
        job_handle: JobHandle,
        zone: Option<usize>,
        ranking: RankingId,
        now: Millis,
    ) -> Vec<(MachineHandle, i64)> {
        let Some(job) = self.cluster.job(job_handle) else {
            return Vec::new();
        };
        let fleet = &self.scheduling.fleet;
        let is_available =
            |(_, m): &(MachineHandle, &Machine)| job.allows(m) && m.available_to(job_handle, now);
        let ranked = fleet.ranked(ranking, |z| zone.is_none_or(|only| only == z));
        let machines = ranked
            .into_iter()
            .filter_map(|index| self.cluster.machine_at(index));
        let candidates = machines.filter(is_available).filter_map(|(machine, _)| {
            let tasks = fleet.machine_view(machine.index())?.free.count(&job.need);
            Some((machine, tasks.min(i64::from(job.waiting_count()))))
        });
        candidates.collect()
    }

    /// Returns the preemptions for all missing tasks of a gang that lose the least work, with
    /// the work lost in core-seconds. Only machines that `machine_ok` admits are considered.
    /// `None` if the tasks can't all be placed, or if the gang must be spread over zones.
    pub(super) fn gang_preemptions(
        &self,
        job_handle: JobHandle,
        now: Millis,
        machine_ok: impl Fn(&Machine) -> bool,
    ) -> Option<(i64, Vec<Preemption>)> {
        let job = self
            .cluster
            .job(job_handle)
            .filter(|job| !job.spec.spread)?;
        let (missing, priority, need) = (
            i64::from(job.waiting_count()),
            job.effective_priority,
            job.need,
        );
        let guaranteed = self.within_guarantee(job, now);
        let mut best: Option<(i64, Vec<Preemption>)> = None;
        for zone in self.gang_zones(job_handle) {
            let mut candidates: Vec<Preemption> = (self.cluster.machine_range())
                .filter_map(|index| self.cluster.machine_at(index))
                .filter(|(_, m)| zone.is_none_or(|z| z == m.zone) && machine_ok(m))
                .filter_map(|(machine_handle, _)| {
                    self.preemption_on(machine_handle, job_handle, priority, guaranteed, now)
                })
                .collect();
            candidates.sort_by_key(|candidate| (candidate.lost_core_s, candidate.needs_fetch));
            let (mut tasks_left, mut lost, mut count) = (missing, 0, 0);
            for candidate in &candidates {
                if tasks_left <= 0 {
                    break;
                }
                let tasks_that_fit = self
                    .cluster
                    .machine(candidate.machine)
                    .map(|m| m.free().count(&need));
                tasks_left -= tasks_that_fit.unwrap_or(0).max(1);
                lost += candidate.lost_core_s;
                count += 1;
            }
            candidates.truncate(count);
            if tasks_left <= 0 && best.as_ref().is_none_or(|(l, _)| lost < *l) {
                best = Some((lost, candidates));
            }
        }
        best
    }

    /// Preempts for all tasks of a gang on machines that cache its image, if the caller found
    /// that some chosen machine would fetch the image for longer than the objective for
    /// starting allows and preemption loses less work than the fetches. Returns whether the
    /// gang is to wait for the reserved machines.
    pub(super) fn reserve_machines_with_image(
        &mut self,
        job_handle: JobHandle,
        chosen: &[MachineHandle],
        now: Millis,
    ) -> bool {
        let is_reserved = |m: &Machine| m.is_reserved_for(job_handle, now);
        let Some(job) = self.cluster.job(job_handle) else {
            return false;
        };
        let may_preempt = job.effective_priority >= Priority::High && !job.failures.suspected;
        let image = job.image;
        if !may_preempt
            || chosen
                .iter()
                .filter_map(|machine_handle| self.cluster.machine(*machine_handle))
                .any(is_reserved)
        {
            return false;
        }
        if self.has_reservation(job_handle, now) {
            return true;
        }
        let fetch_rate = chosen
            .iter()
            .filter_map(|machine_handle| self.cluster.machine(*machine_handle))
            .map(|m| self.cluster.types[m.type_index].fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(0.001);
        let acceptable_loss = (victims::fetch_idle_core_s(job, fetch_rate)
            + victims::BASE_LOSS_CORE_S)
            * chosen.len() as f64;
        match self.gang_preemptions(job_handle, now, |m| m.images.contains(&image)) {
            Some((lost, preemptions)) if lost as f64 <= acceptable_loss => {
                self.preempt_all(job_handle, preemptions, now);
                true
            }
            _ => false,
        }
    }

    /// Carries out the preemptions. Returns on how many machines tasks were stopped.
    pub(super) fn preempt_all(
        &mut self,
        job_handle: JobHandle,
        preemptions: Vec<Preemption>,
        now: Millis,
    ) -> usize {
        let mut stopped = 0;
        for preemption in preemptions {
            stopped += usize::from(!preemption.victims.is_empty());
            self.preempt(job_handle, preemption, now);
        }
        stopped
    }
}
