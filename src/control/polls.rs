//! Batches of polls at a node: polls of the same job share one answer, and the jobs of
//! one round share one request.
//!
//! Owns: the waiting polls, and the order in which their jobs are answered. Called by
//! `server::polls`, which obtains the answers.
//!
//! Must never: give a poll an answer whose read began before the poll arrived.

use std::collections::{HashMap, VecDeque};

/// Polls that wait for the next round of answers. A poll that arrives while a round is
/// in progress waits for the following round: an answer that was read before the poll
/// arrived may be older than one that another node has already given.
#[derive(Debug)]
pub struct PollBatch<T> {
    waiters_by_job: HashMap<String, Vec<T>>,
    job_order: VecDeque<String>,
    waiter_count: usize,
    max_waiters: usize,
    /// Jobs whose latest poll was shed, with their sequence number of shedding. These
    /// jobs are answered first.
    shed_jobs: HashMap<String, u64>,
    shed_count: u64,
}

/// Maximum number of jobs that are remembered as shed.
const MAX_SHED_JOBS: usize = 10_000;

impl<T> PollBatch<T> {
    /// Creates a batch for at most `max_waiters` waiting polls.
    pub fn new(max_waiters: usize) -> Self {
        PollBatch {
            waiters_by_job: HashMap::new(),
            job_order: VecDeque::new(),
            waiter_count: 0,
            max_waiters,
            shed_jobs: HashMap::new(),
            shed_count: 0,
        }
    }

    /// Records that polls of this job were shed. The job goes first in a later round,
    /// so that no job is starved by others.
    pub fn mark_shed(&mut self, id: &str) {
        if self.shed_jobs.len() < MAX_SHED_JOBS && !self.shed_jobs.contains_key(id) {
            self.shed_count += 1;
            self.shed_jobs.insert(id.to_owned(), self.shed_count);
        }
    }

    /// Records that a poll of this job was answered.
    pub fn mark_answered(&mut self, id: &str) {
        self.shed_jobs.remove(id);
    }

    /// Adds a poll of the job. Returns `false` if too many polls are waiting already.
    pub fn add(&mut self, id: &str, waiter: T) -> bool {
        if self.waiter_count >= self.max_waiters {
            return false;
        }
        self.waiter_count += 1;
        match self.waiters_by_job.get_mut(id) {
            Some(waiters) => waiters.push(waiter),
            None => {
                self.waiters_by_job.insert(id.to_owned(), vec![waiter]);
                self.job_order.push_back(id.to_owned());
            }
        }
        true
    }

    /// Whether no poll is waiting.
    pub fn is_empty(&self) -> bool {
        self.job_order.is_empty()
    }

    /// Takes the next round of at most `max_jobs` jobs: first those that were shed,
    /// then the others in the order of their first poll.
    pub fn take_round(&mut self, max_jobs: usize) -> Vec<(String, Vec<T>)> {
        let job_count = max_jobs.min(self.job_order.len());
        let mut round = Vec::with_capacity(job_count);
        if !self.shed_jobs.is_empty() {
            // The sort is stable, so the other jobs keep the order of their polls.
            let shed_number = |id: &String| self.shed_jobs.get(id).copied().unwrap_or(u64::MAX);
            self.job_order.make_contiguous().sort_by_key(shed_number);
        }
        for id in self.job_order.drain(..job_count) {
            if let Some(waiters) = self.waiters_by_job.remove(&id) {
                self.waiter_count -= waiters.len();
                round.push((id, waiters));
            }
        }
        round
    }
}

#[cfg(test)]
mod tests;
