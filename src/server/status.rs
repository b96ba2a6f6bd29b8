//! Operators' questions: answered by the leader, and by the others as it last
//! answered them, with the age of that.

use super::Node;
use crate::{
    control::requests::Found,
    protocol::{
        peers::{Reply, Request},
        status::{ClusterStatus, Explanation, Status},
    },
    state::Millis,
};
use std::{rc::Rc, time::Duration};

const ASK: Duration = Duration::from_millis(800);
/// A cluster state is put together at most this often, however many ask.
const FRESH: Millis = 500;

/// The cluster state last put together or fetched, and when.
pub(super) type LastClusterStatus = Option<(Millis, ClusterStatus)>;

impl Node {
    pub(super) async fn status(&self) -> Status {
        let now = self.now();
        if self.acting(|l, _| l.loaded()) == Some(true) {
            let term = self.election.borrow().authority(now);
            let last = self
                .last_cluster_status
                .borrow()
                .as_ref()
                .map(|(at, p)| (*at, p.term));
            let fresh = last.is_some_and(|(at, of)| now < at + FRESH && Some(of) == term);
            if !fresh && let Some(picture) = self.acting(|l, now| l.picture(now)) {
                *self.last_cluster_status.borrow_mut() = Some((now, picture));
            }
        } else if let Some(leader) = self.leader_peer()
            && let Ok(Reply::Status(answer)) = self.ask(leader, &Request::LeaderStatus, ASK).await
            && let Some(picture) = answer.cluster
        {
            let age = (answer.age_s.max(0.0) * 1000.0) as Millis;
            *self.last_cluster_status.borrow_mut() = Some((now.saturating_sub(age), picture));
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

    /// What this node alone can say: asked by another that does not lead.
    pub(super) async fn leader_status(&self) -> Reply {
        match self.acting(|l, _| l.loaded()) {
            Some(true) => Reply::Status(Box::new(self.status().await)),
            _ => Reply::NotLeader,
        }
    }

    pub(super) async fn explain(self: &Rc<Self>, id: &str, forward: bool) -> Explanation {
        if self.acting(|l, _| l.loaded()) == Some(true) {
            if let Some(job) = self.acting(|l, now| l.explain(id, now)).flatten() {
                return Explanation::Job(Box::new(job));
            }
        } else if forward
            && let Some(leader) = self.leader_peer()
            && let Ok(Reply::Explained(answer)) = self
                .ask(
                    leader,
                    &Request::Explain {
                        id: id.to_owned(),
                        forwarded: true,
                    },
                    ASK,
                )
                .await
        {
            return answer;
        }
        if !crate::protocol::users::is_valid_job_id(id) {
            return Explanation::NoSuchJob;
        }
        match self.lookup(id).await {
            Ok(Found::Final(f, _)) => Explanation::Over {
                state: f.state.to_string(),
                done: f.done,
            },
            Ok(Found::Nothing) => Explanation::NoSuchJob,
            Ok(Found::Live(..)) => Explanation::Unknown(
                "the job is recorded, but no leader that knows more can be reached".into(),
            ),
            Err(e) => Explanation::Unknown(format!("the records can't be read: {e}")),
        }
    }
}
