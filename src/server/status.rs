//! Status requests of operators: the leader answers them itself, the other nodes answer
//! with the leader's last answer and its age.
//!
//! This module owns the cluster status that was last built or fetched. It is called by
//! `server::peers`, to which the command line sends its requests.
//!
//! Invariants: the leader builds a cluster status at most once per
//! [`MIN_REBUILD_INTERVAL_MS`] and term. The age of a cluster status is always reported
//! with it.

use super::Node;
use crate::{
    control::requests::Found,
    protocol::{
        peers::{Reply, Request},
        status::{ClusterStatus, Explanation, Status},
    },
    state::{Millis, request_budget::RequestPriority},
};
use std::{rc::Rc, time::Duration};

/// Timeout of a status request to the leader.
const LEADER_STATUS_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum time in milliseconds between two builds of the cluster status, however many
/// requests arrive.
const MIN_REBUILD_INTERVAL_MS: Millis = 500;

/// The cluster status that was last built or fetched, and the time at which the leader
/// built it.
pub(super) type LastClusterStatus = Option<(Millis, ClusterStatus)>;

impl Node {
    /// Returns the status of this node, and the status of the cluster as far as this
    /// node knows it.
    pub(super) async fn status(&self) -> Status {
        let now = self.now();
        if self.with_authority(|l, _| l.loaded()) == Some(true) {
            let term = self.election.borrow().authority(now);
            let last = self
                .last_cluster_status
                .borrow()
                .as_ref()
                .map(|(at, p)| (*at, p.term));
            let is_fresh =
                last.is_some_and(|(at, of)| now < at + MIN_REBUILD_INTERVAL_MS && Some(of) == term);
            if !is_fresh
                && let Some(cluster_status) = self.with_authority(|l, now| l.cluster_status(now))
            {
                *self.last_cluster_status.borrow_mut() = Some((now, cluster_status));
            }
        } else if let Some(leader) = self.leader_peer()
            && let Ok(Reply::Status(answer)) = self
                .call_peer(leader, &Request::LeaderStatus, LEADER_STATUS_TIMEOUT)
                .await
            && let Some(cluster_status) = answer.cluster
        {
            let age = (answer.age_s.max(0.0) * 1000.0) as Millis;
            *self.last_cluster_status.borrow_mut() =
                Some((now.saturating_sub(age), cluster_status));
        }
        self.own_status(self.now())
    }

    fn own_status(&self, now: Millis) -> Status {
        let last = self.last_cluster_status.borrow();
        Status {
            node: self.settings.name.clone(),
            leader: self
                .election
                .borrow()
                .observed_leader
                .clone()
                .map(|(name, _)| name),
            age_s: last
                .as_ref()
                .map_or(0.0, |(at, _)| now.saturating_sub(*at) as f64 / 1000.0),
            cluster: last.as_ref().map(|(_, p)| p.clone()),
            versions: self.versions(),
            upgraded: self.upgrade.is_complete(),
            stopped: self.leadership.last_step_down.get().map(|(at, why)| {
                let ago = now.saturating_sub(at) as f64 / 1000.0;
                (why.text().to_owned(), ago)
            }),
        }
    }

    /// Answers a status request that a node which doesn't lead sends to the leader.
    pub(super) async fn leader_status(&self) -> Reply {
        match self.with_authority(|l, _| l.loaded()) {
            Some(true) => Reply::Status(Box::new(self.status().await)),
            _ => Reply::NotLeader,
        }
    }

    /// Explains why a job is in its state. `forward`: whether the request may be
    /// forwarded to the leader.
    pub(super) async fn explain(self: &Rc<Self>, id: &str, forward: bool) -> Explanation {
        if self.with_authority(|l, _| l.loaded()) == Some(true) {
            if let Some(job) = self.with_authority(|l, now| l.explain(id, now)).flatten() {
                return Explanation::Job(Box::new(job));
            }
        } else if forward
            && let Some(leader) = self.leader_peer()
            && let Ok(Reply::Explained(answer)) = self
                .call_peer(
                    leader,
                    &Request::Explain {
                        id: id.to_owned(),
                        forwarded: true,
                    },
                    LEADER_STATUS_TIMEOUT,
                )
                .await
        {
            return answer;
        }
        if !crate::protocol::users::is_valid_job_id(id) {
            return Explanation::NoSuchJob;
        }
        match self.lookup(id, RequestPriority::Listing).await {
            Ok(Found::Final(record, _)) => Explanation::Over {
                state: record.state.to_string(),
                done: record.done,
            },
            Ok(Found::NoRecord) => Explanation::NoSuchJob,
            Ok(Found::Live(..)) => Explanation::Unknown(
                "the job is recorded, but no leader that knows more can be reached".into(),
            ),
            Err(e) => Explanation::Unknown(format!("failed to read the job records: {e}")),
        }
    }
}
