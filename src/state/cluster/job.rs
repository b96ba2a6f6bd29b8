//! The state of one job and the placement of each of its tasks.
//!
//! Owns what the job's record and the machines' heartbeats say about the job.
//! Placements are changed only through `assignments.rs`, which keeps the counts of
//! machines and teams consistent. A task must never be treated as waiting while it may
//! run on a machine.

use super::{Machine, MachineHandle};
use crate::{
    protocol::{
        state::Condition,
        status::PendingReason,
        users::{JobSpec, JobState, JobStatus, Kind, Priority},
    },
    state::{
        Millis,
        dependencies::Readiness,
        fault_attribution::JobFailures,
        offload::OffloadState,
        records::{SEGMENT_TASKS, TaskBitmap, inline_record_size, job_key},
        resources::Resources,
        spec_chunks::SpecChunks,
    },
};

/// Placement of one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The task is on no machine and not complete.
    Unplaced,
    /// The task is complete.
    Done,
    /// The task runs, or may run, on this machine.
    On(MachineHandle),
}

/// A live attempt of a task beside the one that takes the task's place, or of a complete task.
/// It is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DuplicateAttempt {
    /// Number of the task within the job.
    task: u32,
    /// Machine on which the attempt is, or may be.
    pub(super) machine: MachineHandle,
}

/// A newly accepted or loaded job that has no handle yet.
#[derive(Debug)]
pub struct NewJob {
    /// The job specification that the user submitted.
    pub spec: JobSpec,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    pub accepted_at_ms: u64,
    /// Version of the job's record in the state service.
    pub record_version: u64,
    /// Tasks that the record lists as complete.
    pub completed: TaskBitmap,
    /// Whether the job's record marks it as cancelled.
    pub cancelled: bool,
}

/// The names in a job's spec, resolved to indices of the cluster state.
#[derive(Debug)]
pub(super) struct ResolvedNames {
    pub team: usize,
    pub image: u32,
    pub types: Vec<bool>,
    pub zone: Option<usize>,
}

/// A job that is neither done nor cancelled, as this leader knows it.
#[derive(Debug)]
pub struct Job {
    /// The job's id, chosen by the user.
    pub id: String,
    /// The job specification that the user submitted.
    pub spec: JobSpec,
    /// Index of the job's team; `usize::MAX` if the settings don't define the team.
    pub team: usize,
    /// Index of the container image.
    pub image: u32,
    /// Whether each machine type is allowed, by type index.
    pub types: Vec<bool>,
    /// Index of the only allowed zone; `None` allows every zone, `usize::MAX` means
    /// that no machine is in the requested zone.
    pub zone: Option<usize>,
    /// Resources that one task takes.
    pub need: Resources,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    pub accepted_at_ms: u64,
    /// Whether the job was accepted, or became ready, in this term: then no earlier
    /// leader can have started it.
    pub accepted_this_term: bool,
    /// Monotonic clock time at which this leader first knew of the job, or at which its
    /// dependencies let it start, if that was later. Waiting times count from here.
    pub waiting_since: Millis,
    /// The job's complete tasks.
    pub completed: TaskBitmap,
    /// Number of complete tasks.
    pub completed_count: u32,
    /// Placement of each task, by task number.
    pub(super) task_slots: Vec<Placement>,
    /// Live attempts that take no task's place.
    pub(super) duplicates: Vec<DuplicateAttempt>,
    /// No task before this index is waiting to be placed.
    pub(super) first_waiting_hint: u32,
    /// Number of tasks that are, or may be, on a machine.
    pub live_count: u32,
    /// Number of tasks last reported as running.
    pub running_count: u32,
    /// Whether the job's record marks it as cancelled.
    pub cancelled: bool,
    /// Whether a cancellation is requested that the record does not hold yet.
    pub cancel_requested: bool,
    /// Whether the write of the cancellation is indeterminate: users may read it in the
    /// record, through any controller, before this leader knows whether it was applied.
    pub cancel_indeterminate: bool,
    /// Whether a write of the job's terminal state, done or cancelled, is
    /// indeterminate.
    pub end_indeterminate: bool,
    /// Version of the job's record in the state service.
    pub record_version: u64,
    /// Segments of `completed` with tasks that the stored records lack.
    pub dirty_segments: Vec<bool>,
    /// Whether a write of the job's record is in flight or indeterminate.
    pub write_in_flight: bool,
    /// Whether the write in flight finishes or cancels the job.
    pub ending_in_flight: bool,
    /// Number of starts since the last completed task that were refused or ended for an
    /// unknown reason, or that failed although another task of the job has run.
    pub unsuccessful_starts: u32,
    /// Monotonic clock time before which no task of the job is started.
    pub backoff_until: Millis,
    /// Failures of the job's tasks, for fault attribution.
    pub failures: JobFailures,
    /// Whether a task of the job has run since this leader knows the job.
    pub has_run: bool,
    /// Why the job's waiting tasks don't run, as last decided by the scheduler.
    pub reason: PendingReason,
    /// Why the job's waiting tasks don't run, as last decided by scale-out: machines
    /// were requested, or none are available.
    pub supply_reason: Option<PendingReason>,
    /// Whether the job runs here or is offloaded to another cluster.
    pub offload: OffloadState,
    /// Chunks that hold the spec, if the job's record does not.
    pub spec_chunks: Option<SpecChunks>,
    /// Maximum size of the job's record in bytes, with the spec included.
    pub inline_size: usize,
    /// Whether the job's dependencies let it start.
    pub readiness: Readiness,
    /// The job's own priority, or the highest priority of a job that depends on it, if
    /// that is higher.
    pub effective_priority: Priority,
    /// Wall-clock time since which the job is queued, in milliseconds.
    pub queued_since_ms: u64,
}

impl Job {
    pub(super) fn new(new: NewJob, names: ResolvedNames, now: Millis) -> Self {
        let (spec, completed) = (new.spec, new.completed);
        let task_slots = (0..spec.tasks)
            .map(|task| match completed.get(task) {
                true => Placement::Done,
                false => Placement::Unplaced,
            })
            .collect();
        Job {
            id: spec.id.clone(),
            team: names.team,
            image: names.image,
            types: names.types,
            zone: names.zone,
            need: Resources::need(spec.cpus, spec.gpus, spec.memory_gb),
            accepted_at_ms: new.accepted_at_ms,
            accepted_this_term: false,
            waiting_since: now,
            completed_count: completed.count(),
            dirty_segments: vec![false; completed.segment_count()],
            completed,
            task_slots,
            duplicates: Vec::new(),
            first_waiting_hint: 0,
            live_count: 0,
            running_count: 0,
            cancelled: new.cancelled,
            cancel_requested: false,
            cancel_indeterminate: false,
            end_indeterminate: false,
            record_version: new.record_version,
            write_in_flight: false,
            ending_in_flight: false,
            unsuccessful_starts: 0,
            backoff_until: 0,
            failures: JobFailures::default(),
            has_run: false,
            reason: PendingReason::New,
            supply_reason: None,
            offload: OffloadState::Local,
            spec_chunks: None,
            inline_size: inline_record_size(&spec),
            // A job with dependencies is unresolved until the dependency graph has been
            // consulted.
            readiness: match spec.dependencies.is_empty() {
                true => Readiness::Ready,
                false => Readiness::Unresolved,
            },
            effective_priority: spec.priority,
            queued_since_ms: new.accepted_at_ms,
            spec,
        }
    }

    /// Returns the placement of a task.
    pub fn placement(&self, task: u32) -> Placement {
        let slot = self.task_slots.get(task as usize);
        slot.copied().unwrap_or(Placement::Unplaced)
    }

    /// Returns the transaction condition that the job's record has not changed since
    /// this leader last read or wrote it.
    pub fn record_condition(&self) -> Condition {
        Condition {
            key: job_key(&self.id),
            version: self.record_version,
        }
    }

    /// Number of waiting tasks that may be started in this cluster now.
    pub fn waiting_count(&self) -> u32 {
        match self.readiness {
            Readiness::Ready => self.unplaced_count(),
            _ => 0,
        }
    }

    /// Number of tasks that are neither complete nor placed by this leader. An earlier
    /// leader may have started them on machines that have sent no heartbeat yet.
    pub fn unplaced_count(&self) -> u32 {
        match self.offload.is_local() && self.readiness != Readiness::Blocked {
            true => self.spec.tasks - self.completed_count - self.live_count,
            false => 0,
        }
    }

    /// Whether the job's spec allows tasks on this machine.
    pub fn allows(&self, machine: &Machine) -> bool {
        self.allows_kind(machine.type_index, machine.zone, machine.spot)
    }

    /// Whether the job's spec allows tasks on machines of this type, zone and kind
    /// (spot or on-demand).
    pub fn allows_kind(&self, type_index: usize, zone: usize, spot: bool) -> bool {
        self.types.get(type_index).copied().unwrap_or(false)
            && self.zone.is_none_or(|only| only == zone)
            && (self.spec.spot || !spot)
    }

    /// Whether all tasks of the job are complete.
    pub fn is_complete(&self) -> bool {
        self.completed_count == self.spec.tasks
    }

    /// Returns the first task that is neither placed nor complete.
    pub fn next_waiting(&mut self) -> Option<u32> {
        while (self.first_waiting_hint as usize) < self.task_slots.len() {
            if self.task_slots[self.first_waiting_hint as usize] == Placement::Unplaced {
                return Some(self.first_waiting_hint);
            }
            self.first_waiting_hint += 1;
        }
        None
    }

    /// Whether some complete tasks are not yet in the stored records.
    pub fn is_dirty(&self) -> bool {
        self.dirty_segments.iter().any(|dirty| *dirty)
    }

    /// Marks a task as complete. For a gang, all tasks complete together.
    pub fn mark_done(&mut self, task: u32) {
        if self.spec.kind == Kind::Gang {
            (0..self.spec.tasks).for_each(|t| self.mark_task_done(t));
        } else {
            self.mark_task_done(task);
        }
    }

    fn mark_task_done(&mut self, task: u32) {
        if self.completed.set(task) {
            self.completed_count += 1;
            self.dirty_segments[(task / SEGMENT_TASKS) as usize] = true;
            let slot = &mut self.task_slots[task as usize];
            if *slot != Placement::Unplaced {
                self.live_count -= 1;
            }
            *slot = Placement::Done;
        }
    }

    /// Records that the task is placed on the machine.
    pub(super) fn occupy(&mut self, task: u32, machine: MachineHandle) {
        debug_assert_eq!(self.task_slots[task as usize], Placement::Unplaced);
        self.task_slots[task as usize] = Placement::On(machine);
        self.live_count += 1;
    }

    /// Counts a live attempt that the leader did not place: it takes the task's place if that is
    /// free, and is a duplicate otherwise.
    pub(super) fn add_attempt(&mut self, task: u32, machine: MachineHandle) {
        if self.task_slots.get(task as usize) == Some(&Placement::Unplaced) {
            self.occupy(task, machine);
        } else {
            self.duplicates.push(DuplicateAttempt { task, machine });
        }
    }

    /// Whether some task of the job is, or may be, on a machine, complete ones included.
    pub fn has_live_attempts(&self) -> bool {
        self.live_count > 0 || !self.duplicates.is_empty()
    }

    /// Whether an attempt of the task is live, or may be, beside the one that takes its place.
    pub fn has_duplicate(&self, task: u32) -> bool {
        self.duplicates.iter().any(|d| d.task == task)
    }

    /// Removes a live attempt of the task on this machine. If it took the task's place, a
    /// duplicate takes it now, as the task must not be started while the duplicate is live.
    pub(super) fn vacate(&mut self, task: u32, machine: MachineHandle) {
        let attempt = DuplicateAttempt { task, machine };
        if let Some(index) = self.duplicates.iter().position(|d| *d == attempt) {
            self.duplicates.swap_remove(index);
            return;
        }
        if self.task_slots.get(task as usize) != Some(&Placement::On(machine)) {
            return;
        }
        if let Some(index) = self.duplicates.iter().position(|d| d.task == task) {
            let duplicate = self.duplicates.swap_remove(index);
            self.task_slots[task as usize] = Placement::On(duplicate.machine);
            return;
        }
        self.task_slots[task as usize] = Placement::Unplaced;
        self.live_count -= 1;
        self.first_waiting_hint = self.first_waiting_hint.min(task);
    }

    /// Whether a write that finishes or cancels the job is in flight or indeterminate.
    /// An indeterminate write counts only until the record is known to be cancelled.
    pub fn is_ending(&self) -> bool {
        self.ending_in_flight || self.end_indeterminate && !self.cancelled
    }

    /// Whether the job is cancelled, is to be cancelled, or has an end that is being written or
    /// may have been written. From the moment at which a write that ends the job is sent, any
    /// controller may read it and tell the user, long before this leader knows its outcome.
    pub fn end_requested(&self) -> bool {
        self.cancelled
            || self.cancel_requested
            || self.cancel_indeterminate
            || self.ending_in_flight
            || self.end_indeterminate
    }

    /// Whether the record of the job may say that it has ended, so that any controller may have
    /// told the user. None of its tasks may stay on a machine from then on.
    pub fn end_may_be_recorded(&self) -> bool {
        self.cancelled
            || self.cancel_indeterminate
            || self.ending_in_flight
            || self.end_indeterminate
    }

    /// Whether a command that starts the task on the machine may be sent now. Every start is
    /// checked here when it is issued, and direct starts once more when they are sent.
    pub fn may_start(&self, task: u32, machine: MachineHandle) -> bool {
        !self.end_requested()
            && self.offload.is_local()
            && !self.has_duplicate(task)
            && self.placement(task) == Placement::On(machine)
    }

    /// Returns the status that users are shown.
    pub fn status(&self) -> JobStatus {
        JobStatus {
            id: self.id.clone(),
            state: if self.cancelled {
                JobState::Cancelled
            } else if self.running_count > 0 {
                JobState::Running
            } else {
                JobState::Queued
            },
            done: self.completed_count,
            running: self.running_count,
        }
    }
}
