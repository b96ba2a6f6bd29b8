//! Placement of one job's tasks: arrays and services are placed task by task, gangs all at
//! once or not at all.
//!
//! Called by the scheduling cycle. A task must never be started beyond the team's quota, in
//! the headroom of higher priorities, or on a machine that may still run an older attempt
//! of the task.

use super::{Leader, fencing::MACHINE_TOKEN_BITS, headroom::Headroom};
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
    /// Whether fetching the image on the machine would miss the objective for starting.
    pub(super) late: bool,
}

/// The result of placing the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementOutcome {
    /// No task of the job is to be placed any more in this cycle.
    Placed,
    /// The remaining tasks found no capacity or may not start now.
    Incomplete,
    /// The cycle has used up its steps and is interrupted.
    Interrupted,
}

impl Leader {
    /// Returns a new attempt number: the term in the high bits and a counter in the low
    /// `MACHINE_TOKEN_BITS` bits.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.scheduling.attempt_count += 1;
        (self.term << MACHINE_TOKEN_BITS) | self.scheduling.attempt_count
    }

    /// Whether the task may be placed on the machine now.
    fn admits(
        &self,
        job_handle: JobHandle,
        task: u32,
        machine: &Machine,
        machine_view: &MachineView,
        headroom: &[Headroom],
        now: Millis,
    ) -> bool {
        let Some(job) = self.cluster.job(job_handle) else {
            return false;
        };
        let leaves_headroom = |class_headroom: &Headroom| {
            class_headroom.priority <= job.effective_priority
                || !class_headroom.covers(machine_view.type_index, machine_view.spot)
                || match class_headroom.tasks_lost_by_placing(&machine_view.free, &job.need) {
                    0 => true,
                    loss => class_headroom.fits - loss >= class_headroom.wanted,
                }
        };
        (now >= machine.no_batch_tasks_until || job.spec.kind != Kind::Array)
            && machine.available_to(job_handle, now)
            && headroom.iter().all(leaves_headroom)
            && job.allows(machine)
            // The machine would refuse the task while it still lists an old attempt of it.
            && !machine.tasks.iter().any(|a| a.job == Some(job_handle) && a.task == task)
    }

    /// Chooses the machine for a task from the ranking for its job. Machines on which the job
    /// has failed are used only if there is no other.
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
        // The machines on which the job has failed may be the cause of the failures.
        let failed_before = !job.failures.failures().is_empty();
        let failed = |index| {
            let machine = failed_before.then(|| self.cluster.machine_handle_at(index));
            let machine = machine.flatten();
            machine.is_some_and(|machine| job.failures.failed_on(machine))
        };
        let admits = |index, machine_view: &MachineView| {
            let machine = self.cluster.machine_at(index);
            machine
                .is_some_and(|(_, m)| self.admits(job_handle, task, m, machine_view, headroom, now))
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
        let Some(machine_view) = self.scheduling.fleet.machine_view(index) else {
            return;
        };
        let policy = &self.scheduling.policy;
        let free_after = machine_view.free.minus(job.need);
        log::debug!(
            "placement: chose a machine for task {}/{task}: {}, load {:.2}, \
             fragmentation cost {:.3}{}",
            job.id,
            self.cluster
                .machine(choice.machine)
                .map_or("?", |m| &m.name),
            placement::load(
                &machine_view.capacity,
                &machine_view.free,
                policy.load_resource
            ),
            placement::fragmentation(&machine_view.capacity, &free_after, &policy.shapes),
            if choice.late {
                ", image fetch misses the start objective"
            } else {
                ""
            },
        );
    }

    /// Counts a task placed on the machine against the headroom that covers the machine.
    fn take_headroom(&self, headroom: &mut [Headroom], machine: MachineHandle, need: &Resources) {
        if let Some(machine_view) = self.scheduling.fleet.machine_view(machine.index()) {
            for class_headroom in headroom.iter_mut() {
                if class_headroom.covers(machine_view.type_index, machine_view.spot) {
                    class_headroom.fits -=
                        class_headroom.tasks_lost_by_placing(&machine_view.free, need);
                }
            }
        }
    }

    /// Places a trial of a job that is suspected of failing everywhere: one task, or a whole
    /// gang.
    pub(super) fn place_trial(
        &mut self,
        job_handle: JobHandle,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) {
        self.set_reason(job_handle, PendingReason::FailsEverywhere);
        let is_gang = self
            .cluster
            .job(job_handle)
            .map(|j| j.spec.kind == Kind::Gang);
        match is_gang {
            Some(true) => {
                self.place_gang(job_handle, ranking, headroom, now);
            }
            _ => {
                self.place_up_to(job_handle, 1, ranking, headroom, now);
            }
        }
    }

    /// Places at most `max_tasks` tasks of an array or a service.
    pub(super) fn place_up_to(
        &mut self,
        job_handle: JobHandle,
        max_tasks: u32,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) -> PlacementOutcome {
        let Some(job) = self.cluster.job(job_handle) else {
            return PlacementOutcome::Placed;
        };
        let (need, team, single_zone, spread) =
            (job.need, job.team, job.spec.single_zone, job.spec.spread);
        let zone_limit = job.spec.tasks.div_ceil(2);
        let mut tasks_by_zone = if single_zone || spread {
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
                return PlacementOutcome::Placed;
            };
            if placed >= max_tasks {
                return PlacementOutcome::Incomplete;
            }
            placed += 1;
            if !self.within_team_quota(team, &need, 1) {
                return PlacementOutcome::Incomplete;
            }
            if !self.take_step() {
                return PlacementOutcome::Interrupted;
            }
            let candidate = self.choose(job_handle, task, ranking, headroom, now, |z| {
                (!single_zone
                    || tasks_by_zone
                        .iter()
                        .enumerate()
                        .all(|(i, n)| *n == 0 || i == z))
                    && (!spread || tasks_by_zone.get(z).copied().unwrap_or(0) < zone_limit)
            });
            let Some(chosen) = candidate else {
                return PlacementOutcome::Incomplete;
            };
            if !single_zone
                && self.reserve_machine_with_image(job_handle, chosen, now, |z| {
                    !spread || tasks_by_zone.get(z).copied().unwrap_or(0) < zone_limit
                })
            {
                return PlacementOutcome::Incomplete;
            }
            self.take_headroom(headroom, chosen.machine, &need);
            self.scheduling.fleet.take(ranking, chosen.machine.index());
            if let Some(n) = tasks_by_zone.get_mut(chosen.zone) {
                *n += 1;
            }
            let attempt = self.next_attempt();
            self.start(job_handle, task, chosen.machine, attempt, now);
        }
    }

    /// Returns the attempt number of a gang whose live tasks have not begun to run, so that
    /// missing tasks can be placed under the same attempt. Used when a gang lost a task
    /// before it started: the other tasks keep waiting, and a replacement under the same
    /// attempt number completes the gang. Duplicates, which are being stopped, don't count.
    pub(super) fn gang_to_complete(&self, job_handle: JobHandle) -> Option<u64> {
        let job = self.cluster.job(job_handle)?;
        let mut attempt = None;
        for (machine_handle, task_index) in self.cluster.live_tasks_of(job_handle) {
            if let Some(assignment) = self
                .cluster
                .machine(machine_handle)
                .and_then(|m| m.tasks.get(task_index))
                .filter(|a| job.placement(a.task) == Placement::On(machine_handle))
            {
                let has_begun = matches!(assignment.phase, Phase::Running | Phase::Saving);
                if has_begun
                    || assignment.stop.is_requested()
                    || attempt.is_some_and(|n| n != assignment.attempt)
                {
                    return None;
                }
                attempt = Some(assignment.attempt);
            }
        }
        attempt
    }

    /// Places all missing tasks of a gang in one cycle, or none. Returns whether the gang was
    /// placed.
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
        let (task_count, need, team) = (job.spec.tasks, job.need, job.team);
        let missing: Vec<u32> = (0..task_count)
            .filter(|t| job.placement(*t) == Placement::Unplaced)
            .collect();
        let attempt_to_complete = match job.live_count {
            0 => None,
            // A new attempt must wait until the tasks of an attempt that had started are gone.
            _ => match self.gang_to_complete(job_handle) {
                Some(attempt) if self.knows_all_tasks_of(job_handle) => Some(attempt),
                _ => return false,
            },
        };
        if !self.within_team_quota(team, &need, missing.len() as i64) {
            return false;
        }
        for only_zone in self.gang_zones(job_handle) {
            let Some(chosen) =
                self.try_gang(job_handle, &missing, only_zone, ranking, headroom, now)
            else {
                continue;
            };
            if self.gang_waits_for_image(job_handle, &chosen, only_zone, now) {
                return false;
            }
            let attempt = attempt_to_complete.unwrap_or_else(|| self.next_attempt());
            for (task, choice) in missing.iter().zip(chosen) {
                self.scheduling.fleet.take(ranking, choice.machine.index());
                self.start(job_handle, *task, choice.machine, attempt, now);
            }
            return true;
        }
        false
    }

    /// Returns machines for all missing tasks of a gang, in zone `only_zone` or in any zone.
    /// The capacity of the chosen machines is not taken; the headroom is.
    fn try_gang(
        &mut self,
        job_handle: JobHandle,
        missing: &[u32],
        only_zone: Option<usize>,
        ranking: RankingId,
        headroom: &mut [Headroom],
        now: Millis,
    ) -> Option<Vec<ChosenMachine>> {
        let job = self.cluster.job(job_handle)?;
        let (need, spread, zone_limit) = (job.need, job.spec.spread, job.spec.tasks.div_ceil(2));
        let mut tasks_by_zone = self.cluster.live_tasks_by_zone(job_handle);
        let mut taken = Vec::with_capacity(missing.len());
        let mut chosen = Vec::with_capacity(missing.len());
        for &task in missing {
            // The placement of a gang is never interrupted, but its steps count towards the
            // interruption of the cycle.
            self.take_step();
            let candidate = self.choose(job_handle, task, ranking, headroom, now, |z| {
                only_zone.is_none_or(|o| o == z) && (!spread || tasks_by_zone[z] < zone_limit)
            });
            let Some(choice) = candidate else { break };
            self.take_headroom(headroom, choice.machine, &need);
            taken.push(self.scheduling.fleet.take(ranking, choice.machine.index()));
            tasks_by_zone[choice.zone] += 1;
            chosen.push(choice);
        }
        self.scheduling.fleet.undo_trial(ranking, taken);
        (chosen.len() == missing.len()).then_some(chosen)
    }

    /// Returns whether the gang is to wait for reserved capacity on machines that cache its
    /// image, instead of starting on the chosen machines.
    fn gang_waits_for_image(
        &mut self,
        job_handle: JobHandle,
        chosen: &[ChosenMachine],
        only_zone: Option<usize>,
        now: Millis,
    ) -> bool {
        let several_tasks = self
            .cluster
            .job(job_handle)
            .is_some_and(|j| j.spec.tasks > 1);
        if several_tasks {
            let machines: Vec<MachineHandle> = chosen.iter().map(|c| c.machine).collect();
            return chosen.iter().any(|c| c.late)
                && self.reserve_machines_with_image(job_handle, &machines, now);
        }
        let zone_ok = |z| only_zone.is_none_or(|o| o == z);
        let single_choice = chosen.first().copied();
        single_choice.is_some_and(|c| self.reserve_machine_with_image(job_handle, c, now, zone_ok))
    }

    /// Assigns a task to a machine under the given attempt. The start command is sent with
    /// the machine's next commands.
    pub(super) fn start(
        &mut self,
        job_handle: JobHandle,
        task: u32,
        machine: MachineHandle,
        attempt: u64,
        now: Millis,
    ) {
        if log::log_enabled!(log::Level::Debug)
            && let (Some(job), Some(machine_state)) =
                (self.cluster.job(job_handle), self.cluster.machine(machine))
        {
            let machines_with_image = self.cluster.machines();
            let machines_with_image =
                machines_with_image.filter(|other| other.images.contains(&job.image));
            let (mut cached, mut batch, mut fit) = (0, 0, 0);
            for other in machines_with_image {
                cached += 1;
                let mut free = other.free();
                fit += i32::from(other.schedulable() && job.need.fits(&free));
                free += self.resources_held_by_batch_jobs(other);
                batch += i32::from(other.schedulable() && job.need.fits(&free));
            }
            log::debug!(
                "placement: assigned task {}/{task}, attempt {attempt}, to {}: image cached {}; \
                 {cached} machines cache the image, {fit} of them have capacity, {batch} \
                 would without batch tasks",
                job.id,
                machine_state.name,
                machine_state.images.contains(&job.image),
            );
        }
        if let (Some(job), Some(machine_state)) =
            (self.cluster.job(job_handle), self.cluster.machine(machine))
        {
            self.task_log
                .placed(&job.id, task, attempt, &machine_state.name);
        }
        // The job's reservation of the machine is used up; the remaining capacity is available
        // to other jobs again.
        if let Some(machine_state) = self.cluster.machine_mut(machine)
            && machine_state
                .reserved_for
                .is_some_and(|(of, _)| of == job_handle)
        {
            machine_state.reserved_for = None;
        }
        self.cluster
            .assign(job_handle, task, machine, attempt, Phase::New, now);
        self.standbys.start_wanted();
    }
}
