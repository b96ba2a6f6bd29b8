//! The state of a job as users and other controllers may be answered, and
//! requests to cancel one.
//!
//! Called by the request handlers. It must never answer with a state that a
//! later answer could contradict: none while a job's end is being recorded, and
//! a final state always goes before the cluster state.

use super::Leader;
use crate::{
    protocol::users::JobStatus,
    state::{Millis, cluster::Job},
};

impl Leader {
    /// A cached final state goes before the cluster state: it never changes.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        self.final_states.get(id).or_else(|| self.live_status(id))
    }

    fn live_status(&self, id: &str) -> Option<JobStatus> {
        let handle = self.cluster.job_handle(id)?;
        self.cluster.job(handle).map(Job::status)
    }

    /// The job's state as a user may be answered. `None` while its end is being
    /// recorded: another node may read and report that end before the leader
    /// learns that the write succeeded.
    pub fn answerable_status(&self, id: &str) -> Option<JobStatus> {
        let open = self.is_ending(id) || self.is_cancelled_with_dependency(id);
        match self.final_states.get(id) {
            None if open => None,
            None => self.live_status(id),
            end => end,
        }
    }

    /// A dependency is cancelled, so this job will be. Until that is recorded
    /// its state in the cluster state is no longer reported.
    pub fn is_cancelled_with_dependency(&self, id: &str) -> bool {
        let handle = self.cluster.job_handle(id);
        handle.is_some_and(|handle| {
            self.dependencies.must_cancel(handle)
                && self.cluster.job(handle).is_some_and(|j| !j.cancelled)
        })
    }

    /// The end of the job is being recorded.
    pub fn is_ending(&self, id: &str) -> bool {
        let job = self
            .cluster
            .job_handle(id)
            .and_then(|handle| self.cluster.job(handle));
        job.is_some_and(Job::is_ending)
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
