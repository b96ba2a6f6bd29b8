//! Team quotas, checked against known usage and the usage of tasks that may run on machines
//! that are not confirmed yet.
//!
//! Called wherever a task may be started or a machine requested for one. Usage must never
//! be underestimated: tasks that may still be running count.

use super::Leader;
use crate::state::{cluster::Job, resources::Resources};

impl Leader {
    /// Recomputes each team's usage by tasks that may run on unconfirmed machines. Until all
    /// running tasks are known, every waiting task of a job that is not settled counts
    /// against its team's quota, as an earlier leader may have started it.
    pub(super) fn count_unconfirmed_usage(&mut self) {
        self.scheduling.unconfirmed_usage.clear();
        if self.recovery.knows_all_tasks() {
            return;
        }
        self.scheduling
            .unconfirmed_usage
            .resize(self.cluster.teams.len(), Resources::default());
        for job in self.cluster.jobs.values() {
            if !self.job_settled(job)
                && let Some(usage) = self.scheduling.unconfirmed_usage.get_mut(job.team)
            {
                *usage += job.need.scaled(i64::from(job.unplaced_count()));
            }
        }
    }

    /// Whether all tasks of the job that are or may be on a machine are known. That is so if
    /// the job was accepted in this term, or if no unconfirmed machine is of a kind that the
    /// job allows.
    pub(super) fn job_settled(&self, job: &Job) -> bool {
        self.recovery.knows_all_tasks()
            || job.accepted_this_term
            || !self.cluster.machines().any(|m| {
                m.contents_unknown
                    && job.types.get(m.type_index).copied().unwrap_or(true)
                    && job.zone.is_none_or(|z| z == m.zone)
                    && (job.spec.spot || !m.spot)
            })
    }

    /// Whether the team may run `n` more tasks of this need within its quota.
    pub(super) fn within_team_quota(&self, team: usize, need: &Resources, n: i64) -> bool {
        let unconfirmed = self
            .scheduling
            .unconfirmed_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        self.cluster.within_quota(team, need, n, unconfirmed)
    }

    /// Returns how many tasks of this need, at most `n`, the team may run within its quota in
    /// addition to the planned resources.
    pub(super) fn max_tasks_within_team_quota(
        &self,
        team: usize,
        need: &Resources,
        n: u32,
        mut planned: Resources,
    ) -> i64 {
        planned += self
            .scheduling
            .unconfirmed_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        self.cluster.max_tasks_within_quota(team, need, n, planned)
    }
}
