//! Cache of the final states of jobs, which never change.
//!
//! Owns: the most recently learned final states, and the time from which each may be
//! reported. Called by the leader, by the steps of users' requests and by the
//! simulation in `tests/`.
//!
//! Must never: keep a state that is not final, or let a final state become visible
//! while an older answer of another node may still be in transit to its user.

use super::safety_bounds::final_state_hold_ms;
use crate::{
    protocol::users::{JobState, JobStatus},
    state::{Millis, bounded_cache::BoundedCache},
};

/// The most recently learned final states.
#[derive(Debug)]
pub struct FinalStates {
    by_job: BoundedCache<Box<str>, FinalState>,
}

#[derive(Debug, Clone, Copy)]
struct FinalState {
    state: JobState,
    done: u32,
    /// The state may be reported from this time on.
    visible_from: Millis,
}

/// Maximum number of jobs whose final state is kept.
const MAX_FINAL_STATES: usize = 20_000;

impl Default for FinalStates {
    fn default() -> Self {
        FinalStates {
            by_job: BoundedCache::new(MAX_FINAL_STATES),
        }
    }
}

impl FinalStates {
    /// Caches the state if it is final. If the state is already cached, the earlier of
    /// the two times of visibility applies.
    pub fn insert(&mut self, status: &JobStatus, visible_from: Millis) {
        let id = status.id.as_str();
        let known = self.by_job.get(id).copied();
        let visible_sooner = known.is_none_or(|known| visible_from < known.visible_from);
        if !status.state.is_final() || self.by_job.is_in_young_generation(id) && !visible_sooner {
            return;
        }
        let learned = FinalState {
            state: status.state,
            done: status.done,
            visible_from,
        };
        let kept = known.map_or(learned, |known| FinalState {
            visible_from: known.visible_from.min(visible_from),
            ..known
        });
        self.by_job.insert(id.into(), kept);
    }

    /// Returns the final state of the job, if it is cached.
    pub fn get(&self, id: &str) -> Option<JobStatus> {
        let known = self.by_job.get(id)?;
        Some(JobStatus {
            id: id.to_owned(),
            state: known.state,
            done: known.done,
            running: 0,
        })
    }

    /// Caches a state learned now, unless it is cached already. The state may be
    /// reported once older answers have reached their users.
    pub fn learn(&mut self, status: &JobStatus, now: Millis) {
        self.insert(status, now + final_state_hold_ms());
    }

    /// Caches the state and returns how much longer it must be withheld; 0 if it is not
    /// final.
    pub fn hold_time(&mut self, status: &JobStatus, now: Millis) -> Millis {
        self.learn(status, now);
        let known = self.by_job.get(status.id.as_str());
        known.map_or(0, |known| known.visible_from.saturating_sub(now))
    }
}

#[cfg(test)]
mod tests;
