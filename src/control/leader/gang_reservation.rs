//! Gang reservation: capacity that becomes free bit by bit is withheld for a gang until
//! all of its tasks fit, and made by preemption where that is enough.
//!
//! Called by the scheduling cycle and by preemption. A reservation must never outlast
//! the cycle, or its time limit, and never start a part of a gang.

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

/// After this long, where no objective for starting says otherwise, other work of the
/// same priority no longer takes capacity ahead of a gang.
const PATIENCE: Millis = 60_000;

impl Leader {
    /// Zones that could take the missing tasks of a gang: the one its tasks
    /// are in already, if it must stay together. `None`: any mixture.
    pub(super) fn gang_zones(&self, job_handle: JobHandle) -> Vec<Option<usize>> {
        let Some(j) = self.cluster.job(job_handle) else {
            return Vec::new();
        };
        if !j.spec.single_zone {
            return vec![None];
        }
        let there = self.cluster.live_tasks_by_zone(job_handle);
        let begun = there.iter().any(|n| *n > 0);
        (0..there.len())
            .filter(|z| !begun || there[*z] > 0)
            .map(Some)
            .collect()
    }

    /// Whether the gang waits for nothing but capacity.
    pub(super) fn wants_room(&self, job_handle: JobHandle) -> bool {
        self.cluster.job(job_handle).is_some_and(|j| {
            (j.live_count == 0 || self.gang_to_complete(job_handle).is_some())
                && self.within_limit(j.team, &j.need, i64::from(j.waiting_count()))
        })
    }

    /// A gang that has missed its aims for starting is not passed any more.
    pub(super) fn has_waited_too_long(&self, job_handle: JobHandle, now: Millis) -> bool {
        self.cluster.job(job_handle).is_some_and(|j| {
            let aims =
                self.settings.cluster.objectives.iter().filter(|o| {
                    o.kind == "wait" && o.class.as_deref() == Some(j.spec.class.as_str())
                });
            let last = aims.filter_map(|o| o.within_s).fold(0.0, f64::max);
            let patience = if last > 0.0 { millis(last) } else { PATIENCE };
            now > j.known_since + patience
        })
    }

    /// Withholds the rooms that a waiting gang finds from the others, so
    /// that what comes after it can't break them up. Guards against gangs
    /// that never start, because each machine that comes up or falls free is
    /// filled with small tasks before there are enough of them.
    pub(super) fn reserve_for_gang(&mut self, job_handle: JobHandle, now: Millis) {
        if !self.wants_room(job_handle) {
            return;
        }
        let Some(ranking) = self.ranking_for(job_handle, now) else {
            return;
        };
        let Some(j) = self.cluster.job(job_handle) else {
            return;
        };
        let (need, missing) = (j.need, i64::from(j.waiting_count()));
        let zones = self.gang_zones(job_handle);
        let found = |zone: &Option<usize>| -> i64 {
            let rooms = self.candidates_for_gang(job_handle, *zone, ranking, now);
            rooms.iter().map(|(_, n)| n).sum::<i64>().min(missing)
        };
        let Some(zone) = zones.into_iter().max_by_key(found) else {
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

    /// Machines of a zone, or of any, with capacity for tasks of the gang, and for how
    /// many.
    fn candidates_for_gang(
        &self,
        job_handle: JobHandle,
        zone: Option<usize>,
        ranking: RankingId,
        now: Millis,
    ) -> Vec<(MachineHandle, i64)> {
        let Some(j) = self.cluster.job(job_handle) else {
            return Vec::new();
        };
        let fleet = &self.scheduling.fleet;
        let open =
            |(_, m): &(MachineHandle, &Machine)| j.allows(m) && m.available_to(job_handle, now);
        let ranked = fleet.ranked(ranking, |z| zone.is_none_or(|only| only == z));
        let machines = ranked
            .into_iter()
            .filter_map(|index| self.cluster.machine_at(index));
        let with_room = machines.filter(open).filter_map(|(machine, _)| {
            let tasks = fleet.machine_view(machine.index())?.free.count(&j.need);
            Some((machine, tasks.min(i64::from(j.waiting_count()))))
        });
        with_room.collect()
    }

    /// Preemptions for all missing tasks of a gang in one zone, on machines that `there`
    /// admits, where the least work is lost.
    pub(super) fn gang_candidates(
        &self,
        job_handle: JobHandle,
        now: Millis,
        there: impl Fn(&Machine) -> bool,
    ) -> Option<(i64, Vec<Preemption>)> {
        let j = self.cluster.job(job_handle).filter(|j| !j.spec.spread)?;
        let (missing, priority, need) =
            (i64::from(j.waiting_count()), j.effective_priority, j.need);
        let guaranteed = self.within_guarantee(j, now);
        let mut best: Option<(i64, Vec<Preemption>)> = None;
        for zone in self.gang_zones(job_handle) {
            let mut rooms: Vec<Preemption> = (self.cluster.machine_range())
                .filter_map(|index| self.cluster.machine_at(index))
                .filter(|(_, m)| zone.is_none_or(|z| z == m.zone) && there(m))
                .filter_map(|(machine_handle, _)| {
                    self.preemption_on(machine_handle, job_handle, priority, guaranteed, now)
                })
                .collect();
            rooms.sort_by_key(|r| (r.lost, r.fetch));
            let (mut left, mut lost, mut n) = (missing, 0, 0);
            for r in &rooms {
                if left <= 0 {
                    break;
                }
                let free = self
                    .cluster
                    .machine(r.machine)
                    .map(|m| m.free().count(&need));
                left -= free.unwrap_or(0).max(1);
                lost += r.lost;
                n += 1;
            }
            rooms.truncate(n);
            if left <= 0 && best.as_ref().is_none_or(|(l, _)| lost < *l) {
                best = Some((lost, rooms));
            }
        }
        best
    }

    /// Where some of a gang's tasks would fetch for longer than the objective for
    /// starting allows, preemption on machines with the image for all of them may be the
    /// lesser loss. Returns whether the gang is to wait for that.
    pub(super) fn reserve_gang_where_image_is(
        &mut self,
        job_handle: JobHandle,
        chosen: &[MachineHandle],
        now: Millis,
    ) -> bool {
        let held = |m: &Machine| m.is_reserved_for(job_handle, now);
        let Some(j) = self.cluster.job(job_handle) else {
            return false;
        };
        let high = j.effective_priority >= Priority::High && !j.failures.suspected;
        let image = j.image;
        if !high
            || chosen
                .iter()
                .filter_map(|machine_handle| self.cluster.machine(*machine_handle))
                .any(held)
        {
            return false;
        }
        if self.has_reservation(job_handle, now) {
            return true;
        }
        let rate = chosen
            .iter()
            .filter_map(|machine_handle| self.cluster.machine(*machine_handle))
            .map(|m| self.cluster.types[m.type_ix].fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(0.001);
        let worth = (victims::fetch_worth(j, rate) + victims::WORTH) * chosen.len() as f64;
        match self.gang_candidates(job_handle, now, |m| m.images.contains(&image)) {
            Some((lost, rooms)) if lost as f64 <= worth => {
                self.preempt_all(job_handle, rooms, now);
                true
            }
            _ => false,
        }
    }

    pub(super) fn preempt_all(
        &mut self,
        job_handle: JobHandle,
        rooms: Vec<Preemption>,
        now: Millis,
    ) -> usize {
        let mut stopped = 0;
        for room in rooms {
            stopped += usize::from(!room.victims.is_empty());
            self.preempt(job_handle, room, now);
        }
        stopped
    }
}
