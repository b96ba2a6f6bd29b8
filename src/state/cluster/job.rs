//! A job, and where each of its tasks is.

use super::{DONE, Machine, NONE};
use crate::{
    protocol::{
        state::Guard,
        status::Reason,
        users::{JobSpec, JobState, JobStatus, Kind, Priority},
    },
    state::{
        Ms,
        dependencies::Gate,
        fault_attribution::JobFile,
        offload::Away,
        records::{Bits, CHUNK_TASKS, job_key},
        resources::Amounts,
        spec_chunks::Pieces,
    },
};

/// Where one task of a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Nowhere,
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
    pub need: Amounts,
    pub at_ms: u64,
    /// Accepted in this term: no earlier leader can have started it.
    pub fresh: bool,
    /// Steady-clock time at which this leader first knew of it.
    pub known_ms: Ms,
    pub done: Bits,
    pub done_n: u32,
    pub(super) slots: Vec<u32>,
    /// Tasks before this index are not waiting.
    pub(super) hint: u32,
    /// Tasks that are, or may be, on a machine.
    pub live: u32,
    pub running: u32,
    /// Withdrawn as the record says.
    pub cancelled: bool,
    /// A withdrawal that the record does not hold yet.
    pub cancel_wanted: bool,
    /// That withdrawal was sent and had no answer: a user may read it in the
    /// record, and be told of it, before this leader learns that it stands.
    pub cancel_open: bool,
    /// The same of its end, whichever that is.
    pub end_open: bool,
    pub version: u64,
    /// Chunks of `done` that the record lacks.
    pub dirty: Vec<bool>,
    pub writing: bool,
    /// What is being written ends or withdraws it.
    pub closing: bool,
    /// Starts in a row that came to nothing for other reasons than errors.
    pub refusals: u32,
    pub backoff_until: Ms,
    pub file: JobFile,
    /// A task of it has run since this leader knows of it.
    pub has_run: bool,
    /// No other job of this leader has had it: indices are used again.
    pub serial: u64,
    /// Why what waits does not run, as placement last decided.
    pub reason: Reason,
    /// What renting makes of it: room on its way, or none to be had.
    pub supply: Option<Reason>,
    pub away: Away,
    /// Its description is kept in these.
    pub pieces: Option<Pieces>,
    /// What its record may come to take otherwise.
    pub whole_size: usize,
    /// Whether it waits for other jobs.
    pub gate: Gate,
    /// Its priority, or that of a job that needs it.
    pub rank: Priority,
    /// Since when it is in line, by the time of day.
    pub turn_ms: u64,
}

impl Job {
    pub fn place(&self, task: u32) -> Place {
        match self.slots.get(task as usize) {
            Some(&NONE) | None => Place::Nowhere,
            Some(&DONE) => Place::Done,
            Some(&m) => Place::On(m),
        }
    }

    /// On the record as it was last known.
    pub fn guard(&self) -> Guard {
        Guard {
            key: job_key(&self.id),
            version: self.version,
        }
    }

    /// Tasks to be started here.
    pub fn waiting(&self) -> u32 {
        match self.gate {
            Gate::Open => self.may_run(),
            _ => 0,
        }
    }

    /// Tasks that may be on machines which have not been heard yet: what waits
    /// to be started, and what an earlier leader may have started.
    pub fn may_run(&self) -> u32 {
        match self.away.is_here() && self.gate != Gate::Shut {
            true => self.spec.tasks - self.done_n - self.live,
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

    pub fn complete(&self) -> bool {
        self.done_n == self.spec.tasks
    }

    pub fn next_waiting(&mut self) -> Option<u32> {
        while (self.hint as usize) < self.slots.len() {
            if self.slots[self.hint as usize] == NONE {
                return Some(self.hint);
            }
            self.hint += 1;
        }
        None
    }

    pub fn is_dirty(&self) -> bool {
        self.dirty.iter().any(|d| *d)
    }

    /// A gang's tasks complete together: if one is done, all are.
    pub fn mark_done(&mut self, task: u32) {
        if self.spec.kind == Kind::Gang {
            (0..self.spec.tasks).for_each(|t| self.mark_one(t));
        } else {
            self.mark_one(task);
        }
    }

    fn mark_one(&mut self, task: u32) {
        if self.done.set(task) {
            self.done_n += 1;
            self.dirty[(task / CHUNK_TASKS) as usize] = true;
            if self.slots[task as usize] != NONE {
                self.live -= 1;
            }
            self.slots[task as usize] = DONE;
        }
    }

    pub(super) fn occupy(&mut self, task: u32, machine: u32) {
        debug_assert_eq!(self.slots[task as usize], NONE);
        self.slots[task as usize] = machine;
        self.live += 1;
    }

    pub(super) fn vacate(&mut self, task: u32, machine: u32) {
        if self.slots[task as usize] == machine {
            self.slots[task as usize] = NONE;
            self.live -= 1;
            self.hint = self.hint.min(task);
        }
    }

    /// What ends it is being recorded, or may be recorded yet by a write that
    /// had no answer.
    pub fn is_closing(&self) -> bool {
        self.closing || self.end_open && !self.cancelled
    }

    pub fn status(&self) -> JobStatus {
        JobStatus {
            id: self.id.clone(),
            state: if self.cancelled {
                JobState::Cancelled
            } else if self.running > 0 {
                JobState::Running
            } else {
                JobState::Queued
            },
            done: self.done_n,
            running: self.running,
        }
    }
}
