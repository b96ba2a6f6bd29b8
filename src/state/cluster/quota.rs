//! Team quotas: how many more tasks a team may run.
//!
//! Owns no state: it reads `ClusterState::team_usage`, which `assignments.rs`
//! keeps. Called by the scheduling cycle. Must never change the usage.

use super::ClusterState;
use crate::state::resources::Resources;

impl ClusterState {
    /// Whether the team stays within its limit with `tasks` more such tasks,
    /// if it uses `unseen` beside what is known.
    pub fn within_quota(
        &self,
        team: usize,
        need: &Resources,
        tasks: i64,
        unseen: Resources,
    ) -> bool {
        self.quota_left(team, need, unseen)
            .is_some_and(|left| tasks <= left)
    }

    /// How many more such tasks, of at most `tasks`, the team may run beside
    /// what it uses and `unseen`.
    pub fn max_within_quota(
        &self,
        team: usize,
        need: &Resources,
        tasks: u32,
        unseen: Resources,
    ) -> i64 {
        let left = self.quota_left(team, need, unseen).unwrap_or(0);
        left.min(i64::from(tasks))
    }

    /// How many more such tasks the team may run. `None`: the team is unknown,
    /// or past its limit, so that not even a task that takes nothing of the
    /// exceeded resource may start.
    fn quota_left(&self, team: usize, need: &Resources, unseen: Resources) -> Option<i64> {
        let quota = self.teams.get(team)?;
        let limit = Resources::offer(quota.cpus_max, quota.gpus_max, 0.0);
        let mut used = self.team_usage[team];
        used += unseen;
        let cpus = tasks_left(limit.cpus, used.cpus, need.cpus)?;
        Some(cpus.min(tasks_left(limit.gpus, used.gpus, need.gpus)?))
    }
}

/// The same for one resource. A limit of 0 is no limit.
fn tasks_left(limit: i64, used: i64, per_task: i64) -> Option<i64> {
    match (limit, per_task) {
        (0, _) => Some(i64::MAX),
        _ if used > limit => None,
        (_, 0) => Some(i64::MAX),
        _ => Some((limit - used) / per_task),
    }
}
