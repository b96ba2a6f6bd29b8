//! Team quotas: how many more tasks a team may run.
//!
//! Owns no state: it reads `ClusterState::team_usage`, which `assignments.rs`
//! maintains, and never changes it. Called by the scheduling cycle.

use super::ClusterState;
use crate::state::resources::Resources;

impl ClusterState {
    /// Whether the team stays within its limit with `tasks` more tasks that need `need`
    /// each. `unconfirmed` is usage that may exist in addition to the known usage.
    pub fn within_quota(
        &self,
        team: usize,
        need: &Resources,
        tasks: i64,
        unconfirmed: Resources,
    ) -> bool {
        self.quota_left(team, need, unconfirmed)
            .is_some_and(|left| tasks <= left)
    }

    /// Returns how many more tasks that need `need` each, at most `tasks`, the team may
    /// run in addition to its known usage and `unconfirmed`.
    pub fn max_tasks_within_quota(
        &self,
        team: usize,
        need: &Resources,
        tasks: u32,
        unconfirmed: Resources,
    ) -> i64 {
        let left = self.quota_left(team, need, unconfirmed).unwrap_or(0);
        left.min(i64::from(tasks))
    }

    /// Returns how many more tasks that need `need` each the team may run. `None` if
    /// the team is unknown or above its limit: then not even a task that takes nothing
    /// of the exceeded resource may start.
    fn quota_left(&self, team: usize, need: &Resources, unconfirmed: Resources) -> Option<i64> {
        let quota = self.teams.get(team)?;
        let limit = Resources::offer(quota.cpus_max, quota.gpus_max, 0.0);
        let mut used = self.team_usage[team];
        used += unconfirmed;
        let cpus = tasks_left(limit.cpus, used.cpus, need.cpus)?;
        Some(cpus.min(tasks_left(limit.gpus, used.gpus, need.gpus)?))
    }
}

/// Returns how many more tasks fit the limit of one resource, or `None` if the limit is
/// exceeded. A limit of 0 means no limit.
fn tasks_left(limit: i64, used: i64, per_task: i64) -> Option<i64> {
    match (limit, per_task) {
        (0, _) => Some(i64::MAX),
        _ if used > limit => None,
        (_, 0) => Some(i64::MAX),
        _ => Some((limit - used) / per_task),
    }
}
