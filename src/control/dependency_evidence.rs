//! Evidence about dependencies: whether a job that depends on others may be reported as
//! queued or running, based on what a node has read of its dependencies. Such a report
//! claims that no direct or transitive dependency was cancelled longer ago than the
//! time that a cancellation may take; the job's own record does not show this.
//!
//! Owns: which jobs were read as unfinished, when they were read, and on which jobs
//! they depend. Final states are kept by `final_states`. Called by nodes that answer
//! from the records; the leader answers from its dependency graph.
//!
//! Must never: allow an answer based on a read that began longer ago than
//! `SafetyBounds::max_dependency_reading_age`.

use super::{
    requests::{CANCELLATION_PENDING, DEPENDENCIES_UNREAD},
    safety_bounds::SafetyBounds,
};
use crate::{
    protocol::users::JobState,
    state::{Millis, bounded_cache::BoundedCache},
};
use std::collections::BTreeSet;

/// Maximum number of unfinished jobs that are remembered.
const MAX_UNFINISHED_JOBS: usize = 4_000;

/// Whether the dependencies of a job allow it to be reported as unfinished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DependencyVerdict {
    /// All dependencies are done, or were read recently as not cancelled.
    NotCancelled,
    /// This dependency is cancelled.
    Cancelled(String),
    /// These jobs, which may include the job itself, have to be read first.
    Unread(BTreeSet<String>),
}

impl DependencyVerdict {
    /// Returns why the job may not be reported as unfinished; `None` if it may.
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
    /// When the read of the job began.
    read_at: Millis,
    dependencies: Vec<String>,
}

/// What a node has read of jobs on which other jobs depend.
#[derive(Debug)]
pub struct DependencyEvidence {
    unfinished: BoundedCache<Box<str>, UnfinishedJob>,
    max_age: Millis,
}

impl DependencyEvidence {
    /// Creates an empty store of evidence.
    pub fn new(bounds: &SafetyBounds) -> Self {
        DependencyEvidence {
            unfinished: BoundedCache::new(MAX_UNFINISHED_JOBS),
            max_age: bounds.max_dependency_reading_age(),
        }
    }

    /// Records that a read that began at `read_at` found this job neither done nor
    /// cancelled.
    pub fn read_unfinished(&mut self, id: &str, dependencies: Vec<String>, read_at: Millis) {
        let job = UnfinishedJob {
            read_at,
            dependencies,
        };
        self.unfinished.insert(id.into(), job);
    }

    /// Returns the dependencies of an unfinished job if it was read before, however
    /// long ago: they never change.
    pub fn dependencies_of(&self, id: &str) -> Option<&[String]> {
        let job = self.unfinished.get(id)?;
        Some(&job.dependencies)
    }

    /// Whether this job may be reported as unfinished now. `final_state` returns the
    /// state of a job that is known to be done or cancelled.
    pub fn verdict(
        &self,
        id: &str,
        final_state: impl Fn(&str) -> Option<JobState>,
        now: Millis,
    ) -> DependencyVerdict {
        let mut unread = BTreeSet::new();
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut pending: Vec<&str> = vec![id];
        while let Some(id) = pending.pop() {
            if !visited.insert(id) {
                continue;
            }
            match final_state(id) {
                Some(JobState::Done) => continue,
                Some(_) => return DependencyVerdict::Cancelled(id.to_owned()),
                None => {}
            }
            match self.recently_read(id, now) {
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

    /// Returns the job if it was read as unfinished recently enough.
    fn recently_read(&self, id: &str, now: Millis) -> Option<&UnfinishedJob> {
        let job = self.unfinished.get(id)?;
        (now <= job.read_at + self.max_age).then_some(job)
    }
}

#[cfg(test)]
mod tests;
