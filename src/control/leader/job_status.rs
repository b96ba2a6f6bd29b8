//! The state of a job as users and other controllers may be answered, and
//! requests to cancel one.
//!
//! Called by the request handlers. It must never answer with a state that a
//! later answer could contradict: none while a job's end is being recorded, and
//! a final state always goes before the cluster state.

use super::Leader;
use crate::{
    protocol::users::JobStatus,
    state::{
        Millis,
        cluster::{Job, JobHandle},
    },
};

/// Why the state of a known job is not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// Its end is being recorded: another node may read and report that end before
    /// the leader learns that the write succeeded.
    Ending,
    /// A dependency is cancelled, so this job will be, and that is not recorded yet.
    CancelledWithDependency,
    /// How a dependency ended has not been read yet: it may have been cancelled.
    DependenciesUnread,
}

impl Leader {
    /// A cached final state goes before the cluster state: it never changes.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        self.final_states.get(id).or_else(|| self.live_status(id))
    }

    fn live_status(&self, id: &str) -> Option<JobStatus> {
        let handle = self.cluster.job_handle(id)?;
        self.cluster.job(handle).map(Job::status)
    }

    /// The job's state as a user may be answered. `None` if the leader does not
    /// know it, or for one of the reasons of `withheld`.
    pub fn answerable_status(&self, id: &str) -> Option<JobStatus> {
        if let Some(end) = self.final_states.get(id) {
            return Some(end);
        }
        let handle = self.cluster.job_handle(id)?;
        let job = self.cluster.job(handle)?;
        self.withheld_state(handle, job)
            .is_none()
            .then(|| job.status())
    }

    /// Why the state of a known job may not be reported now.
    pub fn withheld(&self, id: &str) -> Option<Withheld> {
        let handle = self.cluster.job_handle(id)?;
        self.withheld_state(handle, self.cluster.job(handle)?)
    }

    fn withheld_state(&self, handle: JobHandle, job: &Job) -> Option<Withheld> {
        if job.is_ending() {
            return Some(Withheld::Ending);
        }
        if job.cancelled || job.spec.dependencies.is_empty() {
            return None;
        }
        if self.dependencies.must_cancel(handle) {
            return Some(Withheld::CancelledWithDependency);
        }
        // Its tasks started only once all dependencies were done.
        let has_started = job.running_count > 0 || job.completed_count > 0;
        let unread = !has_started && self.dependencies.is_unresolved(handle);
        unread.then_some(Withheld::DependenciesUnread)
    }

    /// Caches a final state learned now.
    pub fn remember_final_state(&mut self, status: &JobStatus, now: Millis) {
        self.final_states.learn(status, now);
    }

    /// The job's state as another node may report it at once. A final state is
    /// withheld for as long as an older answer may be under way.
    pub fn answerable_by_peers(&mut self, id: &str, now: Millis) -> Option<JobStatus> {
        let status = self.answerable_status(id)?;
        (self.final_states.hold_time(&status, now) == 0).then_some(status)
    }

    /// Marks a known job for cancellation. Its tasks stop only once that is
    /// recorded: until then it may still complete.
    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self
            .cluster
            .job_handle(id)
            .and_then(|handle| self.cluster.job_mut(handle))
        {
            job.cancel_requested = true;
        }
    }
}
