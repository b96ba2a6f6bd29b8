//! Placement of one job's tasks: of an array or a service one by one, of a gang all or
//! none.
//!
//! Called by the scheduling cycle. It must never start a task beyond the team's quota,
//! the headroom of higher priorities, or on a machine that may still run an older
//! attempt of it.

use super::{Leader, MACHINE_TOKEN_BITS, headroom::Headroom};
use crate::{
    control::placement::{
        self,
        fleet::{MachineView, RankingId},
    },
    protocol::{status::PendingReason, users::Kind},
    state::{
        Millis,
        cluster::{Job, JobHandle, Machine, MachineHandle, Phase, Placement},
        resources::Resources,
    },
};

/// A machine that was chosen for a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChosenMachine {
    pub(super) machine: MachineHandle,
    zone: usize,
    /// Its fetch of the image would miss the objective for starting.
    pub(super) late: bool,
}

/// The outcome of placing the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Nothing waits any more.
    Placed,
    /// The rest finds no capacity, or may not start now.
    Left,
    /// The cycle has made as many steps as it may at once.
    Interrupted,
}

impl Leader {
    pub(super) fn attempt(&mut self) -> u64 {
        self.scheduling.attempt_count += 1;
        (self.term << MACHINE_TOKEN_BITS) | self.scheduling.attempt_count
    }

    /// Whether the machine takes this task now.
    fn admits(
        &self,
        job_handle: JobHandle,
        task: u32,
        m: &Machine,
        room: &MachineView,
        headroom: &[Headroom],
        now: Millis,
    ) -> bool {
        let Some(job) = self.cluster.job(job_handle) else {
            return false;
        };
        let leaves_headroom = |r: &Headroom| {
            r.priority <= job.effective_priority
                || !r.covers(room.type_ix, room.spot)
                || match r.loss(&room.free, &job.need) {
                    0 => true,
                    loss => r.fits - loss >= r.wanted,
                }
        };
        (now >= m.closed_to_batches_until || job.spec.kind != Kind::Array)
            && m.available_to(job_handle, now)
            && headroom.iter().all(leaves_headroom)
            && job.allows(m)
            // An old attempt still listed there would refuse it.
            && !m.tasks.iter().any(|a| a.job == Some(job_handle) && a.task == task)
    }

    /// The machine for a task, from the ranking for its job.
    fn choose(
        &self,
        job_handle: JobHandle,
        task: u32,
        ranking: RankingId,
        headroom: &[Headroom],
        now: Millis,
        zone_ok: impl Fn(usize) -> bool,
    ) -> Option<ChosenMachine> {
        let job = self.cluster.job(job_handle)?;
        let zone_ok = |zone| job.zone.is_none_or(|only| only == zone) && zone_ok(zone);
        // Where the job has failed, the fault may be there.
        let failed_before = !job.failures.failures().is_empty();
        let failed = |index| {
            let machine = failed_before.then(|| self.cluster.machine_handle_at(index));
            let machine = machine.flatten();
            machine.is_some_and(|machine| job.failures.failed_on(machine))
        };
        let admits = |index, room: &MachineView| {
            let machine = self.cluster.machine_at(index);
            machine.is_some_and(|(_, m)| self.admits(job_handle, task, m, room, headroom, now))
        };
        let choice = self
            .scheduling
            .fleet
            .choose(ranking, zone_ok, failed, admits)?;
        let chosen = ChosenMachine {
            machine: self.cluster.machine_handle_at(choice.machine)?,
            zone: choice.zone,
            late: choice.late,
        };
        if log::log_enabled!(log::Level::Debug) {
            self.log_choice(job, task, chosen);
        }
        Some(chosen)
    }

    fn log_choice(&self, job: &Job, task: u32, choice: ChosenMachine) {
        let index = choice.machine.index();
        let Some(room) = self.scheduling.fleet.machine_view(index) else {
            return;
        };
        let policy = &self.scheduling.policy;
        let after = room.free.minus(job.need);
        log::debug!(
            "choice for {}/{task}: {}, load {:.2}, cost {:.3}{}",
            job.id,
            self.cluster
                .machine(choice.machine)
                .map_or("?", |m| &m.name),
            placement::load(&room.capacity, &room.free, policy.load),
            placement::fragmentation(&room.capacity, &after, &policy.shapes),
            if choice.late { ", late" } else { "" },
        );
    }

    fn take_headroom(&self, headroom: &mut [Headroom], machine: MachineHandle, need: &Resources) {
        if let Some(room) = self.scheduling.fleet.machine_view(machine.index()) {
            for r in headroom.iter_mut() {
                if r.covers(room.type_ix, room.spot) {
                    r.fits -= r.loss(&room.free, need);
                }
            }
        }
    }

    /// A try of a suspected job: one task, or a whole gang.
    pub(super) fn place_try(
        &mut self,
        job_handle: JobHandle,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) {
        self.set_reason(job_handle, PendingReason::FailsEverywhere);
        let gang = self
            .cluster
            .job(job_handle)
            .map(|j| j.spec.kind == Kind::Gang);
        match gang {
            Some(true) => {
                self.place_gang(job_handle, ranking, headroom, now);
            }
            _ => {
                self.place_some(job_handle, 1, ranking, headroom, now);
            }
        }
    }

    /// Tasks of an array or a service, at most so many.
    pub(super) fn place_some(
        &mut self,
        job_handle: JobHandle,
        most: u32,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) -> Outcome {
        let Some(job) = self.cluster.job(job_handle) else {
            return Outcome::Placed;
        };
        let (need, team, one_zone, spread) =
            (job.need, job.team, job.spec.single_zone, job.spec.spread);
        let half = job.spec.tasks.div_ceil(2);
        let mut zones = if one_zone || spread {
            self.cluster.live_tasks_by_zone(job_handle)
        } else {
            Vec::new()
        };
        let mut placed = 0;
        loop {
            let Some(task) = self
                .cluster
                .job_mut(job_handle)
                .and_then(|j| j.next_waiting())
            else {
                return Outcome::Placed;
            };
            if placed >= most {
                return Outcome::Left;
            }
            placed += 1;
            if !self.within_limit(team, &need, 1) {
                return Outcome::Left;
            }
            if !self.take_step() {
                return Outcome::Interrupted;
            }
            let chosen = self.choose(job_handle, task, ranking, headroom, now, |z| {
                (!one_zone || zones.iter().enumerate().all(|(i, n)| *n == 0 || i == z))
                    && (!spread || zones.get(z).copied().unwrap_or(0) < half)
            });
            let Some(choice) = chosen else {
                return Outcome::Left;
            };
            if !one_zone
                && self.reserve_where_image_is(job_handle, choice, now, |z| {
                    !spread || zones.get(z).copied().unwrap_or(0) < half
                })
            {
                return Outcome::Left;
            }
            self.take_headroom(headroom, choice.machine, &need);
            self.scheduling.fleet.take(ranking, choice.machine.index());
            if let Some(n) = zones.get_mut(choice.zone) {
                *n += 1;
            }
            let attempt = self.attempt();
            self.start(job_handle, task, choice.machine, attempt, now);
        }
    }

    /// The attempt of a gang that lost a task before it started: the others
    /// wait on, and a replacement under the same number completes it.
    pub(super) fn gang_to_complete(&self, job_handle: JobHandle) -> Option<u64> {
        let mut attempt = None;
        for (machine_handle, at) in self.cluster.live_tasks_of(job_handle) {
            if let Some(a) = self
                .cluster
                .machine(machine_handle)
                .and_then(|m| m.tasks.get(at))
            {
                let begun = matches!(a.phase, Phase::Running | Phase::Saving);
                if begun || a.stop_grace_s.is_some() || attempt.is_some_and(|n| n != a.attempt) {
                    return None;
                }
                attempt = Some(a.attempt);
            }
        }
        attempt
    }

    /// Places all tasks of a gang in one cycle, or none. Returns whether it was placed.
    pub(super) fn place_gang(
        &mut self,
        job_handle: JobHandle,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) -> bool {
        let Some(job) = self.cluster.job(job_handle) else {
            return true;
        };
        let (n, need, team) = (job.spec.tasks, job.need, job.team);
        let missing: Vec<u32> = (0..n)
            .filter(|t| job.placement(*t) == Placement::Unplaced)
            .collect();
        let again = match job.live_count {
            0 => None,
            // Tasks of an attempt that had started must be gone first.
            _ => match self.gang_to_complete(job_handle) {
                Some(attempt) if self.hears_all_tasks_of(job_handle) => Some(attempt),
                _ => return false,
            },
        };
        if !self.within_limit(team, &need, missing.len() as i64) {
            return false;
        }
        for only in self.gang_zones(job_handle) {
            let Some(chosen) = self.try_gang(job_handle, &missing, only, ranking, headroom, now)
            else {
                continue;
            };
            if self.gang_waits_for_image(job_handle, &chosen, only, now) {
                return false;
            }
            let attempt = again.unwrap_or_else(|| self.attempt());
            for (task, choice) in missing.iter().zip(chosen) {
                self.scheduling.fleet.take(ranking, choice.machine.index());
                self.start(job_handle, *task, choice.machine, attempt, now);
            }
            return true;
        }
        false
    }

    /// Machines for all missing tasks of a gang, in one zone or in any. What
    /// was chosen is not taken.
    fn try_gang(
        &mut self,
        job_handle: JobHandle,
        missing: &[u32],
        only: Option<usize>,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) -> Option<Vec<ChosenMachine>> {
        let job = self.cluster.job(job_handle)?;
        let (need, spread, half) = (job.need, job.spec.spread, job.spec.tasks.div_ceil(2));
        let mut per_zone = self.cluster.live_tasks_by_zone(job_handle);
        let mut trial = Vec::with_capacity(missing.len());
        let mut chosen = Vec::with_capacity(missing.len());
        for &task in missing {
            // A gang is never interrupted; it counts for what comes after.
            self.take_step();
            let pick = self.choose(job_handle, task, ranking, headroom, now, |z| {
                only.is_none_or(|o| o == z) && (!spread || per_zone[z] < half)
            });
            let Some(choice) = pick else { break };
            self.take_headroom(headroom, choice.machine, &need);
            trial.push(self.scheduling.fleet.take(ranking, choice.machine.index()));
            per_zone[choice.zone] += 1;
            chosen.push(choice);
        }
        self.scheduling.fleet.give_back(ranking, trial);
        (chosen.len() == missing.len()).then_some(chosen)
    }

    /// Whether the gang is to wait for capacity where its image is.
    fn gang_waits_for_image(
        &mut self,
        job_handle: JobHandle,
        chosen: &[ChosenMachine],
        only: Option<usize>,
        now: Millis,
    ) -> bool {
        let several = self
            .cluster
            .job(job_handle)
            .is_some_and(|j| j.spec.tasks > 1);
        if several {
            let machines: Vec<MachineHandle> = chosen.iter().map(|c| c.machine).collect();
            return chosen.iter().any(|c| c.late)
                && self.reserve_gang_where_image_is(job_handle, &machines, now);
        }
        let zone_ok = |z| only.is_none_or(|o| o == z);
        let one = chosen.first().copied();
        one.is_some_and(|c| self.reserve_where_image_is(job_handle, c, now, zone_ok))
    }

    pub(super) fn start(
        &mut self,
        job_handle: JobHandle,
        task: u32,
        machine: MachineHandle,
        attempt: u64,
        now: Millis,
    ) {
        if log::log_enabled!(log::Level::Debug)
            && let (Some(j), Some(m)) =
                (self.cluster.job(job_handle), self.cluster.machine(machine))
        {
            let with_image = self.cluster.each_machine();
            let with_image = with_image.filter(|o| o.images.contains(&j.image));
            let (mut cached, mut batch, mut fit) = (0, 0, 0);
            for o in with_image {
                cached += 1;
                let mut room = o.free();
                fit += i32::from(o.schedulable() && j.need.fits(&room));
                room += self.held_by_batches(o);
                batch += i32::from(o.schedulable() && j.need.fits(&room));
            }
            log::debug!(
                "place {}/{task} try {attempt} on {}: image there {}, of {cached} with it \
                 {fit} have room, {batch} without batches",
                j.id,
                m.name,
                m.images.contains(&j.image),
            );
        }
        // Its reservation is used; the rest of the machine is open again.
        if let Some(m) = self.cluster.machine_mut(machine)
            && m.reserved_for.is_some_and(|(of, _)| of == job_handle)
        {
            m.reserved_for = None;
        }
        self.cluster
            .assign(job_handle, task, machine, attempt, Phase::New, now);
        self.standbys.start_wanted();
    }
}
