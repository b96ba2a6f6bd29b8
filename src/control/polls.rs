//! Polls at a node: those of one job share an answer, many travel together,
//! and final states are remembered, as they never change.

use super::safety_bounds::final_state_hold_ms;
use crate::{
    protocol::users::{JobState, JobStatus},
    state::{Millis, bounded_cache::Recent},
};
use std::collections::{HashMap, VecDeque};

/// Questions that wait for the next round of answers. Whoever asks while a
/// round is under way waits for the one after it: an answer that was read
/// before the question came may be older than one already given elsewhere.
#[derive(Debug)]
pub struct PollBatch<T> {
    waiters_by_job: HashMap<String, Vec<T>>,
    order: VecDeque<String>,
    waiting: usize,
    max_waiters: usize,
    /// Jobs whose last question was shed, and since when, by a count: they go
    /// first.
    shed_jobs: HashMap<String, u64>,
    shed: u64,
}

/// Jobs that are noted as owed an answer.
const MAX_SHED_JOBS: usize = 10_000;

impl<T> PollBatch<T> {
    pub fn new(most: usize) -> Self {
        PollBatch {
            waiters_by_job: HashMap::new(),
            order: VecDeque::new(),
            waiting: 0,
            max_waiters: most,
            shed_jobs: HashMap::new(),
            shed: 0,
        }
    }

    /// Questions about this job got no answer. Guards against one that is
    /// asked about at unlucky moments and waits behind others for ever.
    pub fn mark_shed(&mut self, id: &str) {
        if self.shed_jobs.len() < MAX_SHED_JOBS && !self.shed_jobs.contains_key(id) {
            self.shed += 1;
            self.shed_jobs.insert(id.to_owned(), self.shed);
        }
    }

    /// One did.
    pub fn mark_answered(&mut self, id: &str) {
        self.shed_jobs.remove(id);
    }

    /// `false`: too many wait already.
    pub fn add(&mut self, id: &str, who: T) -> bool {
        if self.waiting >= self.max_waiters {
            return false;
        }
        self.waiting += 1;
        match self.waiters_by_job.get_mut(id) {
            Some(list) => list.push(who),
            None => {
                self.waiters_by_job.insert(id.to_owned(), vec![who]);
                self.order.push_back(id.to_owned());
            }
        }
        true
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The next round: at most so many jobs, those that are owed an answer
    /// and then those asked about first.
    pub fn take_round(&mut self, most: usize) -> Vec<(String, Vec<T>)> {
        let n = most.min(self.order.len());
        let mut round = Vec::with_capacity(n);
        if !self.shed_jobs.is_empty() {
            // Stable: of those that are owed nothing, the first to ask.
            let owed = |id: &String| self.shed_jobs.get(id).copied().unwrap_or(u64::MAX);
            self.order.make_contiguous().sort_by_key(owed);
        }
        for id in self.order.drain(..n) {
            if let Some(who) = self.waiters_by_job.remove(&id) {
                self.waiting -= who.len();
                round.push((id, who));
            }
        }
        round
    }
}

/// Final states, the most recently learned ones.
#[derive(Debug)]
pub struct FinalStates {
    by_job: Recent<Box<str>, FinalState>,
}

#[derive(Debug, Clone, Copy)]
struct FinalState {
    state: JobState,
    done: u32,
    /// It may be told from then on.
    visible_from: Millis,
}

const MAX_FINAL_STATES: usize = 20_000;

impl Default for FinalStates {
    fn default() -> Self {
        FinalStates {
            by_job: Recent::new(MAX_FINAL_STATES),
        }
    }
}

impl FinalStates {
    /// Anything but a final state is not kept. Of two times from which it may
    /// be told the earlier counts.
    pub fn insert(&mut self, status: &JobStatus, visible_from: Millis) {
        let id = status.id.as_str();
        let known = self.by_job.get(id).copied();
        let sooner = known.is_none_or(|end| visible_from < end.visible_from);
        if !status.state.is_final() || self.by_job.is_young(id) && !sooner {
            return;
        }
        let new = FinalState {
            state: status.state,
            done: status.done,
            visible_from,
        };
        let end = known.map_or(new, |end| FinalState {
            visible_from: end.visible_from.min(visible_from),
            ..end
        });
        self.by_job.insert(id.into(), end);
    }

    pub fn get(&self, id: &str) -> Option<JobStatus> {
        let end = self.by_job.get(id)?;
        Some(JobStatus {
            id: id.to_owned(),
            state: end.state,
            done: end.done,
            running: 0,
        })
    }

    /// It is learned now, unless it is known already: it may be told once older
    /// answers are out.
    pub fn learn(&mut self, status: &JobStatus, now: Millis) {
        self.insert(status, now + final_state_hold_ms());
    }

    /// For how long this state is held back yet. One that is not final is not.
    pub fn hold_time(&mut self, status: &JobStatus, now: Millis) -> Millis {
        self.learn(status, now);
        let end = self.by_job.get(status.id.as_str());
        end.map_or(0, |end| end.visible_from.saturating_sub(now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_answer_serves_all_who_asked_before_it_was_read_and_nobody_later() {
        let mut b = PollBatch::new(4);
        assert!(b.add("j-000001", 'a') && b.add("j-000002", 'b') && b.add("j-000001", 'c'));
        let round = b.take_round(1);
        assert_eq!(round, [("j-000001".to_owned(), vec!['a', 'c'])]);
        // The answer is under way: this one needs another.
        assert!(b.add("j-000001", 'd'));
        let ids: Vec<String> = b.take_round(9).into_iter().map(|(id, _)| id).collect();
        assert_eq!(ids, ["j-000002", "j-000001"]);
        assert!(b.take_round(9).is_empty());
        // A flood is bounded, and room comes back.
        assert!((0..4).all(|n| b.add("j-000003", char::from(b'0' + n))));
        assert!(!b.add("j-000004", 'x'));
        b.take_round(1);
        assert!(b.add("j-000004", 'x'));
    }

    /// Guards against a job about which no question is ever answered, as each
    /// comes when the budget has just gone to others.
    #[test]
    fn a_job_whose_question_was_shed_goes_first_the_next_time() {
        let mut b = PollBatch::new(1000);
        let (mut silent, mut longest) = (vec![0; 90], 0);
        for _ in 0..40 {
            // All ask in the same order, and ten get an answer in a round.
            for n in 0..90 {
                b.add(&format!("j-{n:06}"), ());
            }
            for (at, (id, _)) in b.take_round(500).into_iter().enumerate() {
                let n: usize = id[2..].parse().unwrap();
                if at < 10 {
                    b.mark_answered(&id);
                    silent[n] = 0;
                } else {
                    b.mark_shed(&id);
                    silent[n] += 1;
                    longest = longest.max(silent[n]);
                }
            }
        }
        assert!(longest <= 10, "{longest} rounds without an answer");
    }

    #[test]
    fn only_final_states_are_remembered_and_not_without_bound() {
        let mut f = FinalStates::default();
        let status = |n: usize, state| JobStatus {
            id: format!("j-{n:06}"),
            state,
            done: 1,
            running: 0,
        };
        f.insert(&status(0, JobState::Running), 0);
        assert_eq!(f.get("j-000000"), None);
        for n in 0..MAX_FINAL_STATES * 2 {
            f.insert(&status(n, JobState::Done), 0);
        }
        assert!(f.by_job.len() <= MAX_FINAL_STATES);
        let last = format!("j-{:06}", MAX_FINAL_STATES * 2 - 1);
        assert_eq!(f.get(&last).map(|s| s.state), Some(JobState::Done));
        assert_eq!(f.get("j-000000"), None);
    }
}
