//! The job state that may be reported to users and other controllers, and requests to
//! cancel a job.
//!
//! Called by the request handlers. A reported state must never be contradicted by a later
//! answer: no state is reported while a job's end is being recorded, and a cached final
//! state takes precedence over the cluster state.

use super::Leader;
use crate::{
    protocol::users::{JobState, JobStatus},
    state::{
        Millis,
        cluster::{Job, JobHandle},
    },
};

/// Why the state of a known job is not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// The job's end is being recorded: another node may read and report that end before
    /// the leader learns that the write succeeded.
    Ending,
    /// A dependency is cancelled, so this job will be cancelled too, which is not recorded yet.
    CancelledWithDependency,
    /// The final state of a dependency has not been read yet: it may have been cancelled.
    DependenciesUnread,
}

impl Leader {
    /// Returns the state of a job. A cached final state takes precedence over the cluster
    /// state, because a final state never changes.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        self.final_states.get(id).or_else(|| self.live_status(id))
    }

    fn live_status(&self, id: &str) -> Option<JobStatus> {
        let handle = self.cluster.job_handle(id)?;
        self.cluster.job(handle).map(Job::status)
    }

    /// Returns the job state that may be reported to users. `None` if the leader does not know
    /// the job, or for one of the reasons returned by `withheld`.
    pub fn answerable_status(&self, id: &str) -> Option<JobStatus> {
        if let Some(final_status) = self.final_states.get(id) {
            return Some(final_status);
        }
        let handle = self.cluster.job_handle(id)?;
        let job = self.cluster.job(handle)?;
        self.withheld_state(handle, job)
            .is_none()
            .then(|| job.status())
    }

    /// Returns why the state of a known job may not be reported now; `None` if it may be
    /// reported or the job is unknown.
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
        // Tasks start only once all dependencies are done, so a job that has started needs no
        // check of its dependencies.
        let has_started = job.running_count > 0 || job.completed_count > 0;
        let unread = !has_started && self.dependencies.is_unresolved(handle);
        unread.then_some(Withheld::DependenciesUnread)
    }

    /// Caches a job's final state, learned at `now`. A job that is cancelled by a record that
    /// this leader has read is handled as cancelled from now on, even if the leader has not
    /// learned the outcome of its own write yet.
    pub fn remember_final_state(&mut self, status: &JobStatus, now: Millis) {
        self.final_states.learn(status, now);
        if status.state == JobState::Cancelled
            && let Some(job) = self
                .cluster
                .job_handle(&status.id)
                .and_then(|handle| self.cluster.job_mut(handle))
        {
            job.cancel_requested = true;
            job.cancel_indeterminate = true;
            self.changed = true;
        }
    }

    /// Returns the job state that another node may report at once. A final state is withheld
    /// for as long as an older answer may still be on its way to a user.
    pub fn answerable_by_peers(&mut self, id: &str, now: Millis) -> Option<JobStatus> {
        let status = self.answerable_status(id)?;
        (self.final_states.hold_time(&status, now) == 0).then_some(status)
    }

    /// Marks a known job for cancellation. Its tasks are stopped only once the cancellation is
    /// recorded; until then the job may still complete.
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
