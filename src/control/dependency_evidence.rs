//! Whether a job that depends on others may be called queued or running, by what a
//! node has read of those. That claims that none of them, direct or through others,
//! was cancelled longer ago than a cancellation may take; the job's own record does
//! not show it.
//!
//! Owns: which jobs were read as unfinished, when, and on what those depend. Final
//! states are kept by `final_states`. Called by whoever answers from the records; the
//! leader answers by its dependency graph.
//!
//! Must never: allow an answer by a read that began longer ago than
//! `SafetyBounds::max_dependency_reading_age`.

use super::{
    requests::{CANCELLATION_PENDING, DEPENDENCIES_UNREAD},
    safety_bounds::SafetyBounds,
};
use crate::{
    protocol::users::JobState,
    state::{Millis, bounded_cache::Recent},
};
use std::collections::BTreeSet;

/// Most unfinished jobs that are remembered.
const MAX_UNFINISHED: usize = 4_000;

/// Whether a job may be called unfinished, as far as its dependencies go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DependencyVerdict {
    /// All are done, or were lately read as not cancelled.
    NotCancelled,
    /// This one is cancelled.
    Cancelled(String),
    /// These, the job itself or others, have to be read first.
    Unread(BTreeSet<String>),
}

impl DependencyVerdict {
    /// Why the job may not be called unfinished; `None` if it may.
    pub fn refusal(&self) -> Option<&'static str> {
        match self {
            DependencyVerdict::NotCancelled => None,
            DependencyVerdict::Cancelled(_) => Some(CANCELLATION_PENDING),
            DependencyVerdict::Unread(_) => Some(DEPENDENCIES_UNREAD),
        }
    }
}

#[derive(Debug)]
struct UnfinishedJob {
    /// When the read began.
    read_at: Millis,
    dependencies: Vec<String>,
}

/// What a node has read of the jobs that others depend on.
#[derive(Debug)]
pub struct DependencyEvidence {
    unfinished: Recent<Box<str>, UnfinishedJob>,
    max_age: Millis,
}

impl DependencyEvidence {
    /// Nothing is known yet.
    pub fn new(bounds: &SafetyBounds) -> Self {
        DependencyEvidence {
            unfinished: Recent::new(MAX_UNFINISHED),
            max_age: bounds.max_dependency_reading_age(),
        }
    }

    /// A read that began at `read_at` found this job neither over nor cancelled.
    pub fn read_unfinished(&mut self, id: &str, dependencies: Vec<String>, read_at: Millis) {
        let job = UnfinishedJob {
            read_at,
            dependencies,
        };
        self.unfinished.insert(id.into(), job);
    }

    /// On what an unfinished job depends, if it was read before, however long ago:
    /// that never changes.
    pub fn dependencies_of(&self, id: &str) -> Option<&[String]> {
        let job = self.unfinished.get(id)?;
        Some(&job.dependencies)
    }

    /// Whether this job may be called unfinished now. `final_state`: of a job, if it
    /// is known to be over.
    pub fn verdict(
        &self,
        id: &str,
        final_state: impl Fn(&str) -> Option<JobState>,
        now: Millis,
    ) -> DependencyVerdict {
        let mut unread = BTreeSet::new();
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut pending: Vec<&str> = vec![id];
        while let Some(id) = pending.pop() {
            if !seen.insert(id) {
                continue;
            }
            match final_state(id) {
                Some(JobState::Done) => continue,
                Some(_) => return DependencyVerdict::Cancelled(id.to_owned()),
                None => {}
            }
            match self.young(id, now) {
                Some(job) => pending.extend(job.dependencies.iter().map(String::as_str)),
                None => {
                    unread.insert(id.to_owned());
                }
            }
        }
        match unread.is_empty() {
            true => DependencyVerdict::NotCancelled,
            false => DependencyVerdict::Unread(unread),
        }
    }

    /// The job, if it was read as unfinished lately enough.
    fn young(&self, id: &str, now: Millis) -> Option<&UnfinishedJob> {
        let job = self.unfinished.get(id)?;
        (now <= job.read_at + self.max_age).then_some(job)
    }
}

#[cfg(test)]
mod tests;
