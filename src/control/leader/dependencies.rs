//! Job dependencies: links jobs to the jobs they depend on, and makes dependent jobs ready
//! or cancels them when a dependency reaches its final state.
//!
//! Owns no state; the dependency graph is `Leader::dependencies`. Called when a job becomes
//! known, from `tick`, and by the server for dependencies that are known only from the
//! records in the state service. A job must never become ready before the final state of
//! every dependency is durable.

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

/// Maximum number of dependencies looked up in the records at a time.
const MAX_LOOKUPS: usize = 200;

impl Leader {
    /// Returns the state of a job as a dependency of other jobs.
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
            Some(job) if !job.cancelled => DependencyState::Live(handle, job.spec.priority),
            _ => DependencyState::Cancelled,
        }
    }

    /// Links a job that became known to its dependencies and to the jobs that depend on it.
    pub(super) fn link_dependencies(&mut self, handle: JobHandle) {
        let Some(job) = self.cluster.job(handle) else {
            return;
        };
        let (id, own_priority) = (job.id.clone(), job.spec.priority);
        let dependencies = job.spec.dependencies.iter();
        let dependencies: Vec<(&str, DependencyState)> = dependencies
            .map(|id| (id.as_str(), self.dependency_state(id)))
            .collect();
        if !dependencies.is_empty() {
            self.dependencies.add(handle, own_priority, dependencies);
        }
        if self.dependencies.has_unknown_dependents(&id) {
            let state = self.state_of_job(handle);
            self.dependencies.resolve(&id, state);
        }
        let readiness = self.dependencies.readiness(handle);
        if let Some(job) = self.cluster.job_mut(handle) {
            job.readiness = readiness;
        }
    }

    /// Applies the pending changes of the dependency graph: updates readiness and effective
    /// priority of the jobs, and requests the cancellation of jobs that depend on a cancelled
    /// job.
    pub(super) fn apply_dependency_changes(&mut self, now: Millis) {
        let DependencyChanges {
            changed,
            cancellations,
        } = self.dependencies.take_changes();
        for handle in changed {
            let readiness = self.dependencies.readiness(handle);
            let priority = self.dependencies.effective_priority(handle);
            let wall_ms = self.wall_ms;
            let Some(dependent) = self.cluster.job_mut(handle) else {
                continue;
            };
            if let Some(priority) = priority {
                dependent.effective_priority = priority;
            }
            let previous_readiness = std::mem::replace(&mut dependent.readiness, readiness);
            if readiness != Readiness::Ready || previous_readiness == readiness {
                continue;
            }
            self.changed = true;
            if previous_readiness == Readiness::Blocked {
                // The job's last dependency ended in this term, so no earlier leader can have
                // started the job. Its waiting time counts from now.
                dependent.accepted_this_term = true;
                dependent.queued_since_ms = wall_ms;
            }
            dependent.waiting_since = now;
            dependent.reason = PendingReason::New;
            log::debug!(
                "dependencies: job {} is ready, all its dependencies are done",
                dependent.id
            );
            self.record_arrival(handle, now);
        }
        for DependentCancellation { job, dependency } in cancellations {
            if let Some(j) = self.cluster.job_mut(job).filter(|j| !j.cancelled) {
                log::info!(
                    "dependencies: cancelling job {} because its dependency \
                     {dependency} was cancelled",
                    j.id
                );
                j.cancel_requested = true;
                self.events.metric_counts.cancelled_with_dependency += 1;
            }
        }
    }

    /// Records since when final states of dependencies have been unread, and logs when the
    /// last of them has been read.
    pub(super) fn track_unread_dependencies(&mut self, now: Millis) {
        match (
            self.dependencies.unknown_count(),
            self.dependencies_unread_since,
        ) {
            (0, Some(since)) => {
                self.dependencies_unread_since = None;
                log::info!(
                    "dependencies: all final states are read in term {}, \
                     the first was unread for {} ms",
                    self.term,
                    now.saturating_sub(since),
                );
            }
            (0, None) | (_, Some(_)) => {}
            (_, None) => self.dependencies_unread_since = Some(now),
        }
    }

    /// Returns for how long, in milliseconds, the final state of some dependency has been
    /// unread; 0 if all are read.
    pub fn dependencies_unread_ms(&self, now: Millis) -> Millis {
        let since = self.dependencies_unread_since;
        since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Takes at most `MAX_LOOKUPS` dependencies whose final state has to be read from the
    /// records. Empty until the leader has loaded its state.
    pub fn dependencies_to_look_up(&mut self) -> Vec<String> {
        match self.recovery.loaded {
            true => self.dependencies.take_lookups(MAX_LOOKUPS),
            false => Vec::new(),
        }
    }

    /// Queues lookups again whose records could not be read.
    pub fn requeue_dependency_lookups(&mut self, ids: Vec<String>) {
        self.dependencies.requeue_lookups(ids);
    }

    /// Applies the final state of a dependency that was looked up, as read from its record at
    /// the given revision.
    pub fn apply_dependency_state(&mut self, status: &JobStatus, revision: u64, now: Millis) {
        log::info!(
            "dependencies: job {} is {} by its record at revision {revision}, read in term {}; \
             {} jobs depend on it",
            status.id,
            status.state,
            self.term,
            self.dependencies.dependents_of_unknown(&status.id),
        );
        self.remember_final_state(status, now);
        let state = match status.state {
            JobState::Done => DependencyState::Done,
            _ => DependencyState::Cancelled,
        };
        self.dependencies.resolve(&status.id, state);
        self.changed = true;
    }

    /// Returns the dependencies of a submission that this leader does not know, so that only
    /// the records show whether they were accepted.
    ///
    /// # Errors
    ///
    /// Returns the id of a dependency that is a service, as a service never completes.
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

    /// Returns, by job, the time by which the job must be done so that the jobs that depend on
    /// it meet their deadlines, in wall-clock milliseconds.
    pub(super) fn inherited_deadlines(&self) -> HashMap<JobHandle, u64> {
        self.dependencies.due_by(|handle| {
            self.cluster.job(handle).map_or((None, 0), |j| {
                let due = j.spec.deadline_s.map(|d| j.accepted_at_ms + millis(d));
                (due, millis(j.spec.estimate_s))
            })
        })
    }

    /// Returns at most `max_rows` unfinished dependencies of a job, each with a text on its
    /// state, and the number of all unfinished dependencies.
    pub(super) fn unfinished_dependencies(
        &self,
        handle: JobHandle,
        max_rows: usize,
    ) -> (Vec<(String, String)>, usize) {
        let (live, unknown) = self.dependencies.unfinished_dependencies(handle);
        let mut live: Vec<&Job> = live
            .filter_map(|dependency| self.cluster.job(dependency))
            .collect();
        live.sort_by(|a, b| a.id.cmp(&b.id));
        let all = live.len() + unknown;
        let rows = live.into_iter().take(max_rows).map(|j| {
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
