//! Job dependencies: links jobs to those they depend on, and releases or cancels them
//! when a dependency reaches its final state.
//!
//! Owns no state; the graph is `Leader::dependencies`. Called when a job becomes known,
//! from `tick`, and by the server for dependencies that only the records know. A job
//! must never become ready before the end of every dependency is durable.

use super::{Leader, millis};
use crate::{
    protocol::{
        status::PendingReason,
        users::{JobSpec, JobState, JobStatus, Kind},
    },
    state::{
        Millis,
        cluster::{Job, JobHandle},
        dependencies::{DependencyChanges, DependencyState, DependentCancellation, Readiness},
    },
};
use std::collections::HashMap;

/// Dependencies looked up in the records at a time.
const MAX_LOOKUPS: usize = 200;

impl Leader {
    /// The state of a job that another depends on.
    fn dependency_state(&self, id: &str) -> DependencyState {
        let Some(handle) = self.cluster.job_handle(id) else {
            return match self.final_states.get(id).map(|s| s.state) {
                Some(JobState::Done) => DependencyState::Done,
                Some(_) => DependencyState::Cancelled,
                None => DependencyState::Unknown,
            };
        };
        self.state_of_job(handle)
    }

    fn state_of_job(&self, handle: JobHandle) -> DependencyState {
        match self.cluster.job(handle) {
            Some(j) if !j.cancelled => DependencyState::Live(handle, j.spec.priority),
            _ => DependencyState::Cancelled,
        }
    }

    /// A job became known: links it to its dependencies and dependents.
    pub(super) fn link(&mut self, handle: JobHandle) {
        let Some(j) = self.cluster.job(handle) else {
            return;
        };
        let (id, own) = (j.id.clone(), j.spec.priority);
        let dependencies = j.spec.dependencies.iter();
        let dependencies: Vec<(&str, DependencyState)> = dependencies
            .map(|id| (id.as_str(), self.dependency_state(id)))
            .collect();
        if !dependencies.is_empty() {
            self.dependencies.add(handle, own, dependencies);
        }
        if self.dependencies.is_awaited(&id) {
            let state = self.state_of_job(handle);
            self.dependencies.resolve(&id, state);
        }
        let readiness = self.dependencies.readiness(handle);
        if let Some(j) = self.cluster.job_mut(handle) {
            j.readiness = readiness;
        }
    }

    /// Applies changes of the graph: jobs that became ready, and jobs to cancel as they
    /// never can.
    pub(super) fn apply_dependency_changes(&mut self, now: Millis) {
        let DependencyChanges {
            changed,
            cancellations,
        } = self.dependencies.take_changes();
        for handle in changed {
            let readiness = self.dependencies.readiness(handle);
            let priority = self.dependencies.effective_priority(handle);
            let wall = self.wall_ms;
            let Some(j) = self.cluster.job_mut(handle) else {
                continue;
            };
            if let Some(priority) = priority {
                j.effective_priority = priority;
            }
            let was = std::mem::replace(&mut j.readiness, readiness);
            if readiness != Readiness::Ready || was == readiness {
                continue;
            }
            self.changed = true;
            if was == Readiness::Blocked {
                // Its last dependency ended in this term, so no earlier leader can have
                // started it. Its other times count from now.
                j.accepted_this_term = true;
                j.queued_since_ms = wall;
            }
            j.known_since = now;
            j.reason = PendingReason::New;
            log::debug!("job {} is ready: all its dependencies are done", j.id);
            self.record_arrival(handle, now);
        }
        for DependentCancellation { job, dependency } in cancellations {
            if let Some(j) = self.cluster.job_mut(job).filter(|j| !j.cancelled) {
                log::info!("job {} is cancelled with its dependency {dependency}", j.id);
                j.cancel_requested = true;
                self.events.tally.cancelled_with_dependency += 1;
            }
        }
    }

    /// Notes since when the ends of dependencies are unread, and logs when the last of
    /// them is read.
    pub(super) fn note_unread_dependencies(&mut self, now: Millis) {
        match (
            self.dependencies.unknown_count(),
            self.dependencies_unread_since,
        ) {
            (0, Some(since)) => {
                self.dependencies_unread_since = None;
                log::info!(
                    "all dependencies are read in term {}: the first was unread for {} ms",
                    self.term,
                    now.saturating_sub(since),
                );
            }
            (0, None) | (_, Some(_)) => {}
            (_, None) => self.dependencies_unread_since = Some(now),
        }
    }

    /// For how long the end of some dependency has been unread.
    pub fn dependencies_unread_ms(&self, now: Millis) -> Millis {
        let since = self.dependencies_unread_since;
        since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Dependencies whose final state has to be read from the records.
    pub fn dependencies_to_look_up(&mut self) -> Vec<String> {
        match self.recovery.loaded {
            true => self.dependencies.take_lookups(MAX_LOOKUPS),
            false => Vec::new(),
        }
    }

    /// The records could not be read: these lookups are queued again.
    pub fn requeue_dependency_lookups(&mut self, ids: Vec<String>) {
        self.dependencies.requeue_lookups(ids);
    }

    /// A dependency that was looked up has this final state, by its record at this
    /// revision.
    pub fn dependency_ended(&mut self, status: &JobStatus, revision: u64, now: Millis) {
        log::info!(
            "dependency {} is {}, by its record at revision {revision}, read in term {}: \
             {} jobs depend on it",
            status.id,
            status.state,
            self.term,
            self.dependencies.awaiting(&status.id),
        );
        self.remember_final_state(status, now);
        let state = match status.state {
            JobState::Done => DependencyState::Done,
            _ => DependencyState::Cancelled,
        };
        self.dependencies.resolve(&status.id, state);
        self.changed = true;
    }

    /// Dependencies of a submission of which only the records show whether they were
    /// accepted. `Err`: one is a service.
    pub fn unknown_dependencies(&self, spec: &JobSpec) -> Result<Vec<String>, String> {
        let mut unknown = Vec::new();
        for id in &spec.dependencies {
            match self
                .cluster
                .job_handle(id)
                .and_then(|handle| self.cluster.job(handle))
            {
                Some(j) if j.spec.kind == Kind::Service => return Err(id.clone()),
                Some(_) => {}
                None if self.final_states.get(id).is_some() => {}
                None => unknown.push(id.clone()),
            }
        }
        Ok(unknown)
    }

    /// By job, until when it has to be done for the jobs that depend on it, in wall-
    /// clock milliseconds.
    pub(super) fn inherited_deadlines(&self) -> HashMap<JobHandle, u64> {
        self.dependencies.due_by(|handle| {
            self.cluster.job(handle).map_or((None, 0), |j| {
                let due = j.spec.deadline_s.map(|d| j.accepted_at_ms + millis(d));
                (due, millis(j.spec.estimate_s))
            })
        })
    }

    /// Unfinished dependencies with a text on each, and how many there are in all.
    pub(super) fn unfinished_dependencies(
        &self,
        handle: JobHandle,
        most: usize,
    ) -> (Vec<(String, String)>, usize) {
        let (live, unknown) = self.dependencies.unfinished_dependencies(handle);
        let mut live: Vec<&Job> = live.filter_map(|on| self.cluster.job(on)).collect();
        live.sort_by(|a, b| a.id.cmp(&b.id));
        let all = live.len() + unknown;
        let rows = live.into_iter().take(most).map(|j| {
            let state = match (j.is_complete(), j.readiness) {
                (true, _) => "done, not recorded yet".to_owned(),
                (_, Readiness::Blocked) => "waits for others itself".to_owned(),
                _ => format!(
                    "{} of {} done, {} running",
                    j.completed_count, j.spec.tasks, j.running_count
                ),
            };
            (j.id.clone(), state)
        });
        (rows.collect(), all)
    }
}
