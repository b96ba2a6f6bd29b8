//! The scheduling cycle: tries every waiting job in the order of service. It does a
//! bounded number of steps at once and resumes where it stopped, so that heartbeats are
//! answered in between.
//!
//! Owns `SchedulingCycle`. Called from `tick`. It must never serve a job out of order
//! because it was interrupted.

use super::{
    Leader,
    headroom::{ARRIVAL_WINDOW_MS, Headroom},
    millis,
    task_placement::Outcome,
};
use crate::{
    protocol::{
        status::PendingReason,
        users::{Kind, Priority},
    },
    state::{
        Millis,
        cluster::{Job, JobHandle},
        resources::Resources,
    },
};
use std::collections::HashSet;

/// Steps (machines chosen and jobs tried) before heartbeats are answered again: some
/// milliseconds.
const MAX_CYCLE_STEPS: u32 = 1_000;

/// What tasks ask of machines, for jobs that find no capacity.
#[derive(Debug, PartialEq)]
struct Shape {
    need: Resources,
    types: Vec<bool>,
    zone: Option<usize>,
    spot: bool,
}

/// A cycle that has begun.
pub(super) struct SchedulingCycle {
    order: Vec<JobHandle>,
    next: usize,
    headroom: Vec<Headroom>,
    /// Jobs with a reservation.
    jobs_with_reservations: HashSet<JobHandle>,
    /// Jobs that found no capacity.
    unplaced_jobs: Vec<JobHandle>,
    /// Shapes that found no capacity in this cycle; the rest of the queue need not be
    /// tried for them.
    full_shapes: Vec<Shape>,
    /// Gangs that wait for capacity, and their priority.
    waiting_gangs: Vec<JobHandle>,
    waiting_gangs_priority: Priority,
    /// The job at hand may start one task under its team's limit.
    may_start_one: bool,
}

impl Leader {
    /// Begins a cycle, or resumes the interrupted one.
    pub(super) fn schedule(&mut self, now: Millis) {
        self.count_unconfirmed_usage();
        self.scheduling.steps_left = MAX_CYCLE_STEPS;
        let cycle = match self.scheduling.interrupted_cycle.take() {
            Some(cycle) => Some(cycle),
            None => self.begin_cycle(now),
        };
        let Some(mut cycle) = cycle else { return };
        while let Some(waiting) = cycle.order.get(cycle.next).copied() {
            // It may be over, or cancelled, since the cycle began.
            let still = self.cluster.job(waiting).is_some_and(is_schedulable_job);
            if still && (!self.take_step() || !self.place_job(waiting, &mut cycle, now)) {
                self.scheduling.interrupted_cycle = Some(cycle);
                return;
            }
            cycle.next += 1;
        }
        self.scheduling.queue_buffer = std::mem::take(&mut cycle.order);
        // Capacity that became free meanwhile is offered to nobody yet.
        self.refresh_fleet(now);
        if self.recovery.heard_from_most(now) {
            self.preempt_for_waiting(&cycle.unplaced_jobs, now);
        }
        self.end_cycle();
    }

    /// Counts a step; `false` once the cycle has made as many as it may at once.
    pub(super) fn take_step(&mut self) -> bool {
        let left = self.scheduling.steps_left.checked_sub(1);
        self.scheduling.steps_left = left.unwrap_or(0);
        left.is_some()
    }

    /// `None`: there is no machine to place anything on.
    fn begin_cycle(&mut self, now: Millis) -> Option<SchedulingCycle> {
        let order = self.queue(now);
        if self.scheduling.fleet.is_empty() {
            for handle in &order {
                self.set_reason(*handle, PendingReason::NoRoom);
            }
            self.scheduling.queue_buffer = order;
            return None;
        }
        let keep = millis(self.options.keep_s);
        let headroom = self.headroom(ARRIVAL_WINDOW_MS, keep, now);
        let held = self.jobs_with_reservations(now);
        self.scheduling.in_cycle = true;
        Some(SchedulingCycle {
            order,
            next: 0,
            headroom,
            jobs_with_reservations: held,
            unplaced_jobs: Vec::new(),
            full_shapes: Vec::new(),
            waiting_gangs: Vec::new(),
            waiting_gangs_priority: Priority::Low,
            may_start_one: false,
        })
    }

    /// Places what it can of one job; `false`: the cycle was interrupted.
    fn place_job(
        &mut self,
        job_handle: JobHandle,
        cycle: &mut SchedulingCycle,
        now: Millis,
    ) -> bool {
        let Some(job) = self.cluster.job(job_handle) else {
            return true;
        };
        // One try at a time.
        let tried = job.failures.suspected && job.live_count > 0;
        if job.backoff_until > now || job.failures.is_backing_off(now) || tried {
            self.set_reason(job_handle, PendingReason::FailsEverywhere);
            return true;
        }
        let suspected = job.failures.suspected;
        if !self.job_settled(job) {
            self.set_reason(job_handle, PendingReason::Settling);
            return true;
        }
        let shape = Shape {
            need: job.need,
            types: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
        };
        if job.effective_priority < cycle.waiting_gangs_priority {
            for gang in cycle.waiting_gangs.drain(..) {
                self.reserve_for_gang(gang, now);
            }
        }
        let held = cycle.jobs_with_reservations.contains(&job_handle);
        // No free capacity; some may be reserved or preempted for it still.
        if cycle.full_shapes.contains(&shape) && !held {
            self.set_reason(job_handle, PendingReason::NoRoom);
            cycle.unplaced_jobs.push(job_handle);
            return true;
        }
        if suspected {
            // Only where capacity is free: nothing is preempted or reserved for it.
            if let Some(ranking) = self.ranking_for(job_handle, now) {
                self.place_try(job_handle, ranking, &mut cycle.headroom, now);
            }
            return true;
        }
        self.refresh_fleet(now);
        // Guards against a ranking for every shape that waits while the fleet
        // is full.
        if !self.may_fit(job_handle) {
            self.record_pending_reason(job_handle, held);
            cycle.unplaced_jobs.push(job_handle);
            return true;
        }
        match self.place_tasks(job_handle, cycle, now) {
            Outcome::Placed => true,
            Outcome::Interrupted => false,
            Outcome::Left => {
                self.record_pending_reason(job_handle, held);
                cycle.unplaced_jobs.push(job_handle);
                self.record_no_capacity(job_handle, shape, cycle, now);
                true
            }
        }
    }

    fn may_fit(&self, job_handle: JobHandle) -> bool {
        self.cluster.job(job_handle).is_some_and(|job| {
            let allows = |type_ix, zone, spot| job.allows_kind(type_ix, zone, spot);
            self.scheduling.fleet.may_fit(&job.need, allows)
        })
    }

    /// Places what it can of a job for which there may be capacity.
    fn place_tasks(
        &mut self,
        job_handle: JobHandle,
        cycle: &mut SchedulingCycle,
        now: Millis,
    ) -> Outcome {
        let Some(job) = self.cluster.job(job_handle) else {
            return Outcome::Placed;
        };
        let gang = job.spec.kind == Kind::Gang;
        let (team, need) = (job.team, job.need);
        let is_starving = self.is_starving(job);
        cycle.may_start_one = self.within_limit(team, &need, 1);
        let Some(ranking) = self.ranking_for(job_handle, now) else {
            return Outcome::Placed;
        };
        let headroom = &mut cycle.headroom;
        if gang {
            return match self.place_gang(job_handle, ranking, headroom, now) {
                true => Outcome::Placed,
                false => Outcome::Left,
            };
        }
        if !is_starving {
            return self.place_some(job_handle, u32::MAX, ranking, headroom, now);
        }
        // One task is a beginning; the rest takes its turn.
        let outcome = self.place_some(job_handle, 1, ranking, headroom, now);
        // Guards against a cycle at every event while it finds no capacity.
        if self
            .cluster
            .job(job_handle)
            .is_some_and(|j| j.live_count > 0)
        {
            self.changed = true;
            return Outcome::Placed;
        }
        outcome
    }

    /// Reserves what a gang finds, or records that the shape has no capacity.
    fn record_no_capacity(
        &mut self,
        job_handle: JobHandle,
        shape: Shape,
        cycle: &mut SchedulingCycle,
        now: Millis,
    ) {
        let Some(job) = self.cluster.job(job_handle) else {
            return;
        };
        let (team, priority) = (job.team, job.effective_priority);
        let bound = job.spec.single_zone || job.spec.spread || job.spec.kind == Kind::Gang;
        if job.spec.kind == Kind::Gang {
            if self.is_starving(job) || self.has_waited_too_long(job_handle, now) {
                self.reserve_for_gang(job_handle, now);
            } else {
                cycle.waiting_gangs.push(job_handle);
                cycle.waiting_gangs_priority = priority;
            }
        }
        if !bound && cycle.may_start_one && self.within_limit(team, &shape.need, 1) {
            cycle.full_shapes.push(shape);
        }
    }

    /// Records why the rest of a job was not placed in this cycle.
    fn record_pending_reason(&mut self, job_handle: JobHandle, held: bool) {
        let Some(j) = self.cluster.job(job_handle) else {
            return;
        };
        let gang = j.spec.kind == Kind::Gang;
        let at_once = if gang { j.waiting_count() } else { 1 };
        let reason = if gang && j.live_count > 0 && self.gang_to_complete(job_handle).is_none() {
            PendingReason::OldAttempt
        } else if !self.within_limit(j.team, &j.need, i64::from(at_once)) {
            PendingReason::TeamLimit
        } else if held {
            PendingReason::RoomBeingMade
        } else if gang && j.spec.tasks > 1 {
            PendingReason::GangIncomplete
        } else {
            PendingReason::NoRoom
        };
        self.set_reason(job_handle, reason);
    }
}

/// The job waits for its turn.
pub(super) fn is_schedulable_job(j: &Job) -> bool {
    j.waiting_count() > 0 && !j.cancelled && !j.cancel_requested
}
