//! A job, and where each of its tasks is.

use super::{DONE, Machine, NONE};
use crate::{
    protocol::{
        state::Condition,
        status::Reason,
        users::{JobSpec, JobState, JobStatus, Kind, Priority},
    },
    state::{
        Millis,
        dependencies::Readiness,
        fault_attribution::JobFailures,
        offload::OffloadState,
        records::{SEGMENT_TASKS, TaskBitmap, job_key},
        resources::Resources,
        spec_chunks::SpecChunks,
    },
};

/// Where one task of a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    Unplaced,
    Done,
    On(u32),
}

#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub spec: JobSpec,
    pub team: usize,
    pub image: u32,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    pub zone: Option<usize>,
    pub need: Resources,
    pub accepted_at_ms: u64,
    /// Accepted in this term: no earlier leader can have started it.
    pub accepted_this_term: bool,
    /// Steady-clock time at which this leader first knew of it.
    pub known_since: Millis,
    pub completed: TaskBitmap,
    pub completed_count: u32,
    pub(super) task_slots: Vec<u32>,
    /// Tasks before this index are not waiting.
    pub(super) first_waiting_hint: u32,
    /// Tasks that are, or may be, on a machine.
    pub live_count: u32,
    pub running_count: u32,
    /// Withdrawn as the record says.
    pub cancelled: bool,
    /// A cancellation that the record does not hold yet.
    pub cancel_requested: bool,
    /// That cancellation was sent and had no answer: a user may read it in the
    /// record, and be told of it, before this leader learns that it stands.
    pub cancel_indeterminate: bool,
    /// The same of its end, whichever that is.
    pub end_indeterminate: bool,
    pub record_version: u64,
    /// Chunks of `done` that the record lacks.
    pub dirty_segments: Vec<bool>,
    pub write_in_flight: bool,
    /// What is being written ends or cancels it.
    pub ending_in_flight: bool,
    /// Starts in a row that came to nothing for other reasons than errors.
    pub consecutive_refusals: u32,
    pub backoff_until: Millis,
    pub failures: JobFailures,
    /// A task of it has run since this leader knows of it.
    pub has_run: bool,
    /// No other job of this leader has had it: indices are used again.
    pub generation: u64,
    /// Why what waits does not run, as placement last decided.
    pub reason: Reason,
    /// What renting makes of it: room on its way, or none to be had.
    pub supply_reason: Option<Reason>,
    pub offload: OffloadState,
    /// Its description is kept in these.
    pub spec_chunks: Option<SpecChunks>,
    /// What its record may come to take otherwise.
    pub inline_size: usize,
    /// Whether it waits for other jobs.
    pub readiness: Readiness,
    /// Its priority, or that of a job that needs it.
    pub effective_priority: Priority,
    /// Since when it is in line, by the time of day.
    pub queued_since_ms: u64,
}

impl Job {
    pub fn placement(&self, task: u32) -> Placement {
        match self.task_slots.get(task as usize) {
            Some(&NONE) | None => Placement::Unplaced,
            Some(&DONE) => Placement::Done,
            Some(&m) => Placement::On(m),
        }
    }

    /// On the record as it was last known.
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

    /// Tasks that may be on machines which have not been heard yet: what waits
    /// to be started, and what an earlier leader may have started.
    pub fn possibly_running(&self) -> u32 {
        match self.offload.is_local() && self.readiness != Readiness::Blocked {
            true => self.spec.tasks - self.completed_count - self.live_count,
            false => 0,
        }
    }

    /// Whether its tasks may be on such a machine at all.
    pub fn allows(&self, m: &Machine) -> bool {
        self.allows_kind(m.type_ix, m.zone, m.spot)
    }

    pub fn allows_kind(&self, type_ix: usize, zone: usize, spot: bool) -> bool {
        self.types.get(type_ix).copied().unwrap_or(false)
            && self.zone.is_none_or(|z| z == zone)
            && (self.spec.spot || !spot)
    }

    pub fn is_complete(&self) -> bool {
        self.completed_count == self.spec.tasks
    }

    pub fn next_waiting(&mut self) -> Option<u32> {
        while (self.first_waiting_hint as usize) < self.task_slots.len() {
            if self.task_slots[self.first_waiting_hint as usize] == NONE {
                return Some(self.first_waiting_hint);
            }
            self.first_waiting_hint += 1;
        }
        None
    }

    pub fn is_dirty(&self) -> bool {
        self.dirty_segments.iter().any(|d| *d)
    }

    /// A gang's tasks complete together: if one is done, all are.
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
            if self.task_slots[task as usize] != NONE {
                self.live_count -= 1;
            }
            self.task_slots[task as usize] = DONE;
        }
    }

    pub(super) fn occupy(&mut self, task: u32, machine: u32) {
        debug_assert_eq!(self.task_slots[task as usize], NONE);
        self.task_slots[task as usize] = machine;
        self.live_count += 1;
    }

    pub(super) fn vacate(&mut self, task: u32, machine: u32) {
        if self.task_slots[task as usize] == machine {
            self.task_slots[task as usize] = NONE;
            self.live_count -= 1;
            self.first_waiting_hint = self.first_waiting_hint.min(task);
        }
    }

    /// What ends it is being recorded, or may be recorded yet by a write that
    /// had no answer.
    pub fn is_ending(&self) -> bool {
        self.ending_in_flight || self.end_indeterminate && !self.cancelled
    }

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
