//! The other controllers: what they ask, what is asked of them, and which of
//! them answer.

use super::{HEARTBEAT_PATH, Node};
use crate::{
    control::failure_detector::{PeerHealth, RESPONSE_PATIENCE_MS},
    protocol::peers::{Reply, Request},
    state::Millis,
    state::offload::OffloadTarget,
    transport::client::CallError,
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// Between two looks at which nodes are to be asked whether they answer.
const LOOK: Duration = Duration::from_millis(100);
/// Between two questions only to learn whether a node answers.
const EVERY: Millis = 300;
/// The same for the leader, who asks all nodes.
const LEADER_EVERY: Millis = 700;

/// Keeps up to date which nodes answer, as far as that matters now.
pub async fn watch(node: Rc<Node>) {
    loop {
        Timer::after(LOOK).await;
        let now = node.now();
        let due: Vec<usize> = {
            let failure_detector = node.failure_detector.borrow();
            let leads = node.election.borrow().leadership().is_some();
            // One that answers is enough for the others: the leader.
            let leader = node.leader_peer().filter(|_| !leads);
            let enough = leader.filter(|p| failure_detector.is_healthy(*p, now));
            let every = if leads { LEADER_EVERY } else { EVERY };
            (0..node.settings.peers.len())
                .filter(|p| {
                    enough.is_none_or(|one| one == *p) && failure_detector.probe_due(*p, every, now)
                })
                .collect()
        };
        for peer in due {
            let n = node.clone();
            let ask = async move {
                let limit = Duration::from_millis(2 * RESPONSE_PATIENCE_MS);
                let _ = n.ask(peer, &Request::greeting(), limit).await;
            };
            node.executor.spawn_high(ask).detach();
        }
    }
}

impl Node {
    /// The node that leads, if that is another, as an index into the peers.
    pub(super) fn leader_peer(&self) -> Option<usize> {
        let election = self.election.borrow();
        let (name, _) = election.leader(self.now())?;
        self.settings.peers.iter().position(|p| p.name == name)
    }

    pub(super) fn peer_health(&self, peer: usize) -> PeerHealth {
        self.failure_detector.borrow().health(peer, self.now())
    }

    /// The leader, if it is another node and answers.
    pub(super) fn answering_leader(&self) -> Option<usize> {
        self.leader_peer()
            .filter(|p| self.peer_health(*p) == PeerHealth::Healthy)
    }

    pub(super) async fn ask(
        &self,
        peer: usize,
        request: &Request,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let addr = self.settings.peers[peer].addr;
        self.failure_detector
            .borrow_mut()
            .request_sent(peer, self.now());
        let answer = self.peers.call(addr, request, limit).await;
        let how = match &answer {
            Ok(_) => PeerHealth::Healthy,
            Err(CallError::TooLong) => PeerHealth::Unresponsive,
            Err(_) => PeerHealth::Refusing,
        };
        self.failure_detector
            .borrow_mut()
            .request_ended(peer, how, self.now());
        if let Ok(Reply::LeaderHint { leader }) = &answer {
            let leader = leader.clone();
            self.election
                .borrow_mut()
                .receive_leader_hint(leader, self.now());
        }
        answer
    }

    pub(super) async fn peer(self: Rc<Self>, request: Request) -> Reply {
        match request {
            Request::RelayHeartbeats { machines, for_ms } => {
                let now = self.now();
                self.heartbeats
                    .relays
                    .borrow_mut()
                    .relay_requested(&machines, for_ms, now);
                let election = self.election.borrow();
                let leader = election.leader(now).map(|(n, t)| (n.to_owned(), t));
                Reply::LeaderHint { leader }
            }
            Request::Forward { path, body, .. } if path == HEARTBEAT_PATH => {
                let answer = serde_json::from_slice(&body)
                    .ok()
                    .and_then(|report| self.answer_heartbeat(&report));
                match answer {
                    Some(r) => Reply::Forwarded {
                        status: r.status,
                        retry_after_s: None,
                        body: r.body,
                    },
                    None => Reply::NotLeader,
                }
            }
            Request::Forward { method, path, body } => {
                match self.handle_as_leader(&method, &path, body).await {
                    Some(r) => Reply::Forwarded {
                        status: r.status,
                        retry_after_s: r.retry_after_s,
                        body: r.body,
                    },
                    None => Reply::NotLeader,
                }
            }
            Request::Replicate(part) => self.receive_replication_part(part),
            Request::Polls { ids } => self.answer_polls(&ids),
            Request::Promise { term, for_ms, .. } => self.promise(term, for_ms).await,
            Request::Status => Reply::Status(Box::new(self.status().await)),
            Request::LeaderStatus => self.leader_status().await,
            Request::Explain { id, forwarded } => {
                Reply::Explained(self.explain(&id, !forwarded).await)
            }
            Request::OffloadCandidates { lent } => self.lendable(&lent),
            Request::Offload {
                id,
                award,
                market,
                version,
            } => {
                self.lend(&id, OffloadTarget { award, market }, version)
                    .await
            }
            Request::EndOffload { id, award, done } => self.take_back(&id, award, &done).await,
            Request::Resigned { term } => {
                self.election.borrow_mut().peer_resigned(term);
                Reply::Ok
            }
        }
    }
}
