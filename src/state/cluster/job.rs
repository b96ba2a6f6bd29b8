//! A job, and where each of its tasks is.
//!
//! Owns the state of one job as its record and the machines show it. The
//! placements of its tasks are changed through `assignments.rs` only, which
//! keeps the counts of machines and teams in step. Must never take a task for
//! waiting while it may be on a machine.

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

/// Where one task of a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// On no machine, and not complete.
    Unplaced,
    /// Complete.
    Done,
    /// It is, or may be, on this machine.
    On(MachineHandle),
}

/// A job as it was accepted or read, before it has a handle.
#[derive(Debug)]
pub struct NewJob {
    /// What the user submitted.
    pub spec: JobSpec,
    /// Time of day of the acceptance, in milliseconds.
    pub accepted_at_ms: u64,
    /// Version of its record.
    pub record_version: u64,
    /// Tasks that the record has as complete.
    pub completed: TaskBitmap,
    /// Cancelled, by the record.
    pub cancelled: bool,
}

/// The names in a job's spec as the cluster state's indices.
#[derive(Debug)]
pub(super) struct ResolvedNames {
    pub team: usize,
    pub image: u32,
    pub types: Vec<bool>,
    pub zone: Option<usize>,
}

/// A job that is not over, as this leader knows it.
#[derive(Debug)]
pub struct Job {
    /// The id that the user chose.
    pub id: String,
    /// What the user submitted.
    pub spec: JobSpec,
    /// Index of its team; `usize::MAX`: the settings don't have it.
    pub team: usize,
    /// Index of its image.
    pub image: u32,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    /// Index of the only allowed zone; `usize::MAX`: no machine is in it.
    pub zone: Option<usize>,
    /// What one task takes.
    pub need: Resources,
    /// Time of day of the acceptance, in milliseconds.
    pub accepted_at_ms: u64,
    /// Accepted in this term: no earlier leader can have started it.
    pub accepted_this_term: bool,
    /// Steady-clock time at which this leader first knew of it.
    pub known_since: Millis,
    /// Complete tasks.
    pub completed: TaskBitmap,
    /// How many they are.
    pub completed_count: u32,
    /// Where each task is.
    pub(super) task_slots: Vec<Placement>,
    /// Tasks before this index are not waiting.
    pub(super) first_waiting_hint: u32,
    /// Tasks that are, or may be, on a machine.
    pub live_count: u32,
    /// Tasks that were reported running.
    pub running_count: u32,
    /// Cancelled, by the record.
    pub cancelled: bool,
    /// A cancellation that the record does not hold yet.
    pub cancel_requested: bool,
    /// The write of that cancellation is indeterminate: a user may read it in
    /// the record, through any controller, before this leader knows of it.
    pub cancel_indeterminate: bool,
    /// The same of its terminal state, whichever that is.
    pub end_indeterminate: bool,
    /// Version of its record.
    pub record_version: u64,
    /// Segments of `completed` that the records lack.
    pub dirty_segments: Vec<bool>,
    /// A write of its record is in flight or indeterminate.
    pub write_in_flight: bool,
    /// That write ends or cancels it.
    pub ending_in_flight: bool,
    /// Starts in a row that came to nothing for other reasons than errors.
    pub consecutive_refusals: u32,
    /// No task is started before.
    pub backoff_until: Millis,
    /// Failures of its tasks.
    pub failures: JobFailures,
    /// A task of it has run since this leader knows of it.
    pub has_run: bool,
    /// Why waiting tasks don't run, as the scheduler last decided.
    pub reason: PendingReason,
    /// The same by scale-out: machines requested, or none to be had.
    pub supply_reason: Option<PendingReason>,
    /// Whether it runs here or in another cluster.
    pub offload: OffloadState,
    /// Chunks that hold its spec, if its record does not.
    pub spec_chunks: Option<SpecChunks>,
    /// Bytes that its record may take with the spec in it.
    pub inline_size: usize,
    /// Whether its dependencies let it start.
    pub readiness: Readiness,
    /// Its priority, or a higher one of a job that depends on it.
    pub effective_priority: Priority,
    /// Since when it is queued, by the time of day.
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
            known_since: now,
            completed_count: completed.count(),
            dirty_segments: vec![false; completed.chunks()],
            completed,
            task_slots,
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
            consecutive_refusals: 0,
            backoff_until: 0,
            failures: JobFailures::default(),
            has_run: false,
            reason: PendingReason::New,
            supply_reason: None,
            offload: OffloadState::Local,
            spec_chunks: None,
            inline_size: inline_record_size(&spec),
            // Unresolved until the dependency graph has been looked at.
            readiness: match spec.dependencies.is_empty() {
                true => Readiness::Ready,
                false => Readiness::Unresolved,
            },
            effective_priority: spec.priority,
            queued_since_ms: new.accepted_at_ms,
            spec,
        }
    }

    /// Where a task is.
    pub fn placement(&self, task: u32) -> Placement {
        let slot = self.task_slots.get(task as usize);
        slot.copied().unwrap_or(Placement::Unplaced)
    }

    /// That its record is still as it was last known.
    pub fn record_condition(&self) -> Condition {
        Condition {
            key: job_key(&self.id),
            version: self.record_version,
        }
    }

    /// Tasks to be started here.
    pub fn waiting_count(&self) -> u32 {
        match self.readiness {
            Readiness::Ready => self.possibly_running(),
            _ => 0,
        }
    }

    /// Tasks that may be on machines whose heartbeats this leader has not
    /// received yet: those that wait to be started, which an earlier leader may
    /// have started.
    pub fn possibly_running(&self) -> u32 {
        match self.offload.is_local() && self.readiness != Readiness::Blocked {
            true => self.spec.tasks - self.completed_count - self.live_count,
            false => 0,
        }
    }

    /// Whether its spec allows tasks on this machine.
    pub fn allows(&self, machine: &Machine) -> bool {
        self.allows_kind(machine.type_ix, machine.zone, machine.spot)
    }

    /// Whether its spec allows tasks on such machines.
    pub fn allows_kind(&self, type_ix: usize, zone: usize, spot: bool) -> bool {
        self.types.get(type_ix).copied().unwrap_or(false)
            && self.zone.is_none_or(|only| only == zone)
            && (self.spec.spot || !spot)
    }

    /// Whether all tasks are complete.
    pub fn is_complete(&self) -> bool {
        self.completed_count == self.spec.tasks
    }

    /// The first task that is neither placed nor complete.
    pub fn next_waiting(&mut self) -> Option<u32> {
        while (self.first_waiting_hint as usize) < self.task_slots.len() {
            if self.task_slots[self.first_waiting_hint as usize] == Placement::Unplaced {
                return Some(self.first_waiting_hint);
            }
            self.first_waiting_hint += 1;
        }
        None
    }

    /// Whether the records lack complete tasks.
    pub fn is_dirty(&self) -> bool {
        self.dirty_segments.iter().any(|dirty| *dirty)
    }

    /// The task is complete. A gang's tasks complete together.
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

    /// The task is on this machine now.
    pub(super) fn occupy(&mut self, task: u32, machine: MachineHandle) {
        debug_assert_eq!(self.task_slots[task as usize], Placement::Unplaced);
        self.task_slots[task as usize] = Placement::On(machine);
        self.live_count += 1;
    }

    /// The task is not on this machine any more, if it was.
    pub(super) fn vacate(&mut self, task: u32, machine: MachineHandle) {
        if self.task_slots[task as usize] == Placement::On(machine) {
            self.task_slots[task as usize] = Placement::Unplaced;
            self.live_count -= 1;
            self.first_waiting_hint = self.first_waiting_hint.min(task);
        }
    }

    /// A write that ends or cancels it is in flight, or indeterminate.
    pub fn is_ending(&self) -> bool {
        self.ending_in_flight || self.end_indeterminate && !self.cancelled
    }

    /// What users are answered.
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
