//! Quotas of teams, counted with what may run unconfirmed.
//!
//! Called wherever a task may be started or a machine requested for one. Usage must
//! never be underestimated: what may still run counts.

use super::Leader;
use crate::state::{cluster::Job, resources::Resources};

impl Leader {
    /// What may run unconfirmed counts against the limit of its team until every machine
    /// is confirmed: all that waits of jobs older than this term.
    pub(super) fn count_unconfirmed_usage(&mut self) {
        self.scheduling.unconfirmed_usage.clear();
        if self.recovery.knows_all_tasks() {
            return;
        }
        self.scheduling
            .unconfirmed_usage
            .resize(self.cluster.teams.len(), Resources::default());
        for j in self.cluster.jobs.values() {
            if !self.job_settled(j)
                && let Some(u) = self.scheduling.unconfirmed_usage.get_mut(j.team)
            {
                *u += j.need.scaled(i64::from(j.possibly_running()));
            }
        }
    }

    /// Whether all tasks of the job that are, or may be, on a machine are known: it is
    /// younger than the term, or no unconfirmed machine is of a kind that the job
    /// allows.
    pub(super) fn job_settled(&self, job: &Job) -> bool {
        self.recovery.knows_all_tasks()
            || job.accepted_this_term
            || !self.cluster.each_machine().any(|m| {
                m.contents_unknown
                    && job.types.get(m.type_ix).copied().unwrap_or(true)
                    && job.zone.is_none_or(|z| z == m.zone)
                    && (job.spec.spot || !m.spot)
            })
    }

    pub(super) fn within_limit(&self, team: usize, need: &Resources, n: i64) -> bool {
        let unseen = self
            .scheduling
            .unconfirmed_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        self.cluster.within_quota(team, need, n, unseen)
    }

    /// How many of at most `n` such tasks the team may run beside `planned`.
    pub(super) fn most_within_limit(
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
        self.cluster.max_within_quota(team, need, n, planned)
    }
}
