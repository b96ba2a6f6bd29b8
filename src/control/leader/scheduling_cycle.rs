//! The scheduling cycle: tries to place every waiting job in queue order. A cycle runs a
//! bounded number of steps per tick and resumes where it stopped, so that heartbeats are
//! answered in between.
//!
//! Owns `SchedulingCycle`. Called from `tick`. An interruption must never change the order
//! in which jobs are served.

use super::{
    Leader,
    headroom::{ARRIVAL_WINDOW_MS, Headroom},
    millis,
    task_placement::PlacementOutcome,
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

/// Maximum number of steps (machines chosen and jobs tried) before a cycle is interrupted
/// so that heartbeats are answered. This many steps take some milliseconds.
const MAX_CYCLE_STEPS: u32 = 1_000;

/// Machine requirements of a job's tasks. Jobs with equal requirements find the same capacity.
#[derive(Debug, PartialEq)]
struct Shape {
    need: Resources,
    types: Vec<bool>,
    zone: Option<usize>,
    spot: bool,
}

/// Progress of a scheduling cycle.
pub(super) struct SchedulingCycle {
    /// Waiting jobs in queue order, as of the start of the cycle.
    order: Vec<JobHandle>,
    /// Index into `order` of the job to be tried next.
    next: usize,
    headroom: Vec<Headroom>,
    /// Jobs for which capacity was reserved when the cycle began.
    jobs_with_reservations: HashSet<JobHandle>,
    /// Jobs that found no capacity; preemption is tried for them at the end of the cycle.
    unplaced_jobs: Vec<JobHandle>,
    /// Shapes that found no capacity in this cycle. Later jobs of the same shape are not
    /// tried.
    full_shapes: Vec<Shape>,
    /// Gangs of priority `waiting_gangs_priority` that found no capacity. Capacity is
    /// reserved for them before the first job of lower priority is tried.
    waiting_gangs: Vec<JobHandle>,
    waiting_gangs_priority: Priority,
    /// Whether the team's quota allowed one more task before the current job was tried. A job
    /// held back by the quota does not show that its shape has no capacity.
    quota_allowed_one: bool,
}

impl Leader {
    /// Begins a scheduling cycle, or resumes the interrupted one.
    pub(super) fn schedule(&mut self, now: Millis) {
        self.count_unconfirmed_usage();
        self.scheduling.steps_left = MAX_CYCLE_STEPS;
        let cycle = match self.scheduling.interrupted_cycle.take() {
            Some(cycle) => Some(cycle),
            None => self.begin_cycle(now),
        };
        let Some(mut cycle) = cycle else { return };
        while let Some(waiting) = cycle.order.get(cycle.next).copied() {
            // The job may have ended or been cancelled since the cycle began.
            let still_schedulable = self.cluster.job(waiting).is_some_and(is_schedulable_job);
            if still_schedulable && (!self.take_step() || !self.place_job(waiting, &mut cycle, now))
            {
                self.scheduling.interrupted_cycle = Some(cycle);
                return;
            }
            cycle.next += 1;
        }
        self.scheduling.job_order_buffer = std::mem::take(&mut cycle.order);
        // Capacity that became free during this cycle is not offered before the next one.
        self.refresh_fleet(now);
        if self.recovery.most_machines_confirmed(now) {
            self.preempt_for_waiting(&cycle.unplaced_jobs, now);
        }
        self.end_cycle();
    }

    /// Uses up one step of the cycle. Returns whether a step was left.
    pub(super) fn take_step(&mut self) -> bool {
        let steps_left = self.scheduling.steps_left.checked_sub(1);
        self.scheduling.steps_left = steps_left.unwrap_or(0);
        steps_left.is_some()
    }

    /// Returns a new cycle, or `None` if there is no machine to place tasks on.
    fn begin_cycle(&mut self, now: Millis) -> Option<SchedulingCycle> {
        let order = self.queue(now);
        if self.scheduling.fleet.is_empty() {
            for handle in &order {
                self.set_reason(*handle, PendingReason::NoRoom);
            }
            self.scheduling.job_order_buffer = order;
            return None;
        }
        let headroom_ahead_ms = millis(self.options.headroom_s);
        let headroom = self.headroom(ARRIVAL_WINDOW_MS, headroom_ahead_ms, now);
        let reserved_jobs = self.jobs_with_reservations(now);
        self.scheduling.in_cycle = true;
        Some(SchedulingCycle {
            order,
            next: 0,
            headroom,
            jobs_with_reservations: reserved_jobs,
            unplaced_jobs: Vec::new(),
            full_shapes: Vec::new(),
            waiting_gangs: Vec::new(),
            waiting_gangs_priority: Priority::Low,
            quota_allowed_one: false,
        })
    }

    /// Places as many tasks of the job as possible. Returns `false` if the cycle was
    /// interrupted.
    fn place_job(
        &mut self,
        job_handle: JobHandle,
        cycle: &mut SchedulingCycle,
        now: Millis,
    ) -> bool {
        let Some(job) = self.cluster.job(job_handle) else {
            return true;
        };
        // A job suspected of failing everywhere runs one trial at a time.
        let trial_running = job.failures.suspected && job.live_count > 0;
        if job.backoff_until > now || job.failures.is_backing_off(now) || trial_running {
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
        let has_reservation = cycle.jobs_with_reservations.contains(&job_handle);
        // There is no free capacity for this shape, but reserved or preempted capacity may
        // still serve the job.
        if cycle.full_shapes.contains(&shape) && !has_reservation {
            self.set_reason(job_handle, PendingReason::NoRoom);
            cycle.unplaced_jobs.push(job_handle);
            return true;
        }
        if suspected {
            // A suspected job uses free capacity only; nothing is preempted or reserved for it.
            if let Some(ranking) = self.ranking_for(job_handle, now) {
                self.place_trial(job_handle, ranking, &mut cycle.headroom, now);
            }
            return true;
        }
        self.refresh_fleet(now);
        // Guards against building a ranking for every waiting shape while the fleet is
        // full.
        if !self.may_fit(job_handle) {
            self.record_pending_reason(job_handle, has_reservation);
            cycle.unplaced_jobs.push(job_handle);
            return true;
        }
        match self.place_tasks(job_handle, cycle, now) {
            PlacementOutcome::Placed => true,
            PlacementOutcome::Interrupted => false,
            PlacementOutcome::Incomplete => {
                self.record_pending_reason(job_handle, has_reservation);
                cycle.unplaced_jobs.push(job_handle);
                self.record_no_capacity(job_handle, shape, cycle, now);
                true
            }
        }
    }

    fn may_fit(&self, job_handle: JobHandle) -> bool {
        self.cluster.job(job_handle).is_some_and(|job| {
            let allows = |type_index, zone, spot| job.allows_kind(type_index, zone, spot);
            self.scheduling.fleet.may_fit(&job.need, allows)
        })
    }

    /// Places as many tasks as possible of a job for which there may be capacity.
    fn place_tasks(
        &mut self,
        job_handle: JobHandle,
        cycle: &mut SchedulingCycle,
        now: Millis,
    ) -> PlacementOutcome {
        let Some(job) = self.cluster.job(job_handle) else {
            return PlacementOutcome::Placed;
        };
        let is_gang = job.spec.kind == Kind::Gang;
        let (team, need) = (job.team, job.need);
        let is_starving = self.is_starving(job);
        cycle.quota_allowed_one = self.within_team_quota(team, &need, 1);
        let Some(ranking) = self.ranking_for(job_handle, now) else {
            return PlacementOutcome::Placed;
        };
        let headroom = &mut cycle.headroom;
        if is_gang {
            return match self.place_gang(job_handle, ranking, headroom, now) {
                true => PlacementOutcome::Placed,
                false => PlacementOutcome::Incomplete,
            };
        }
        if !is_starving {
            return self.place_up_to(job_handle, u32::MAX, ranking, headroom, now);
        }
        // A starving job goes ahead of the queue with one task only; its other tasks are served
        // in normal order.
        let outcome = self.place_up_to(job_handle, 1, ranking, headroom, now);
        // Another cycle is requested only if the task was placed. Guards against a cycle at
        // every event while the job finds no capacity.
        if self
            .cluster
            .job(job_handle)
            .is_some_and(|j| j.live_count > 0)
        {
            self.changed = true;
            return PlacementOutcome::Placed;
        }
        outcome
    }

    /// Handles a job that found no capacity: reserves capacity for a gang at once if it is
    /// starving or overdue and later otherwise, and records that the shape has no capacity.
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
        let has_placement_constraint =
            job.spec.single_zone || job.spec.spread || job.spec.kind == Kind::Gang;
        if job.spec.kind == Kind::Gang {
            if self.is_starving(job) || self.has_waited_too_long(job_handle, now) {
                self.reserve_for_gang(job_handle, now);
            } else {
                cycle.waiting_gangs.push(job_handle);
                cycle.waiting_gangs_priority = priority;
            }
        }
        if !has_placement_constraint
            && cycle.quota_allowed_one
            && self.within_team_quota(team, &shape.need, 1)
        {
            cycle.full_shapes.push(shape);
        }
    }

    /// Records why the remaining tasks of a job were not placed in this cycle.
    fn record_pending_reason(&mut self, job_handle: JobHandle, has_reservation: bool) {
        let Some(job) = self.cluster.job(job_handle) else {
            return;
        };
        let is_gang = job.spec.kind == Kind::Gang;
        let tasks_at_once = if is_gang { job.waiting_count() } else { 1 };
        let reason = if is_gang && job.live_count > 0 && self.gang_to_complete(job_handle).is_none()
        {
            PendingReason::OldAttempt
        } else if !self.within_team_quota(job.team, &job.need, i64::from(tasks_at_once)) {
            PendingReason::TeamLimit
        } else if has_reservation {
            PendingReason::RoomBeingMade
        } else if is_gang && job.spec.tasks > 1 {
            PendingReason::GangIncomplete
        } else {
            PendingReason::NoRoom
        };
        self.set_reason(job_handle, reason);
    }
}

/// Whether the job has tasks to place, and no end of it is requested or being recorded.
pub(super) fn is_schedulable_job(job: &Job) -> bool {
    job.waiting_count() > 0 && !job.end_requested()
}
