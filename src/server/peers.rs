//! Requests from and to the other controllers.
//!
//! This module owns the probes of the failure detector, and the dispatch of requests
//! from other controllers. It is called by every module that sends a request to a peer.
//!
//! Invariant: the start and the result of each request to a peer are reported to the
//! failure detector.

use super::{HEARTBEAT_PATH, Node};
use crate::{
    control::failure_detector::{PeerHealth, UNRESPONSIVE_REQUEST_AGE_MS},
    protocol::peers::{Reply, Request},
    state::Millis,
    state::offload::OffloadTarget,
    transport::client::CallError,
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// Interval between two checks for probes that are due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time in milliseconds between two probes of a peer by a node that doesn't lead.
const PROBE_INTERVAL_MS: Millis = 300;
/// Time in milliseconds between two probes of a peer by the leader, which probes all
/// peers.
const LEADER_PROBE_INTERVAL_MS: Millis = 700;

/// Probes the peers whose health this node currently needs to know, for as long as the
/// process runs.
pub async fn run_probes(node: Rc<Node>) {
    loop {
        Timer::after(PROBE_CHECK_INTERVAL).await;
        let now = node.now();
        let due: Vec<usize> = {
            let failure_detector = node.failure_detector.borrow();
            let leads = node.election.borrow().leadership().is_some();
            // A follower with a healthy leader probes only the leader.
            let leader = node.leader_peer().filter(|_| !leads);
            let healthy_leader = leader.filter(|peer| failure_detector.is_healthy(*peer, now));
            let interval = if leads {
                LEADER_PROBE_INTERVAL_MS
            } else {
                PROBE_INTERVAL_MS
            };
            (0..node.settings.peers.len())
                .filter(|peer| {
                    healthy_leader.is_none_or(|leader| leader == *peer)
                        && failure_detector.probe_due(*peer, interval, now)
                })
                .collect()
        };
        for peer in due {
            let prober = node.clone();
            let probe = async move {
                let timeout = Duration::from_millis(2 * UNRESPONSIVE_REQUEST_AGE_MS);
                // `call_peer` reports the result to the failure detector.
                let _ = prober.call_peer(peer, &Request::probe(), timeout).await;
            };
            node.executor.spawn_high(probe).detach();
        }
    }
}

impl Node {
    /// Returns the index of the peer that leads, or `None` if this node leads or the
    /// leader is unknown.
    pub(super) fn leader_peer(&self) -> Option<usize> {
        let election = self.election.borrow();
        let (name, _) = election.leader(self.now())?;
        self.settings.peers.iter().position(|p| p.name == name)
    }

    /// Returns the health of the peer as seen by the failure detector.
    pub(super) fn peer_health(&self, peer: usize) -> PeerHealth {
        self.failure_detector.borrow().health(peer, self.now())
    }

    /// Returns the index of the peer that leads, if that peer is healthy.
    pub(super) fn answering_leader(&self) -> Option<usize> {
        self.leader_peer()
            .filter(|peer| self.peer_health(*peer) == PeerHealth::Healthy)
    }

    /// Sends a request to a peer, and reports its start and result to the failure
    /// detector.
    pub(super) async fn call_peer(
        &self,
        peer: usize,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let addr = self.settings.peers[peer].addr;
        self.failure_detector
            .borrow_mut()
            .request_sent(peer, self.now());
        let answer = self.peers.call(addr, request, timeout).await;
        let health = match &answer {
            Ok(_) => PeerHealth::Healthy,
            Err(CallError::TooLong) => PeerHealth::Unresponsive,
            Err(_) => PeerHealth::Refusing,
        };
        self.failure_detector
            .borrow_mut()
            .request_ended(peer, health, self.now());
        if let Ok(Reply::LeaderHint { leader }) = &answer {
            let leader = leader.clone();
            self.election
                .borrow_mut()
                .receive_leader_hint(leader, self.now());
        }
        answer
    }

    /// Answers a request of another controller.
    pub(super) async fn handle_peer_request(self: Rc<Self>, request: Request) -> Reply {
        match request {
            Request::RelayHeartbeats { machines, for_ms } => {
                let now = self.now();
                self.heartbeats
                    .relays
                    .borrow_mut()
                    .request_relay(&machines, for_ms, now);
                let election = self.election.borrow();
                let leader = election
                    .leader(now)
                    .map(|(name, term)| (name.to_owned(), term));
                Reply::LeaderHint { leader }
            }
            Request::Forward { path, body, .. } if path == HEARTBEAT_PATH => {
                let answer = serde_json::from_slice(&body)
                    .ok()
                    .and_then(|heartbeat| self.answer_heartbeat(&heartbeat));
                match answer {
                    Some(response) => Reply::Forwarded {
                        status: response.status,
                        retry_after_s: None,
                        body: response.body,
                    },
                    None => Reply::NotLeader,
                }
            }
            Request::Forward { method, path, body } => {
                match self.handle_as_leader(&method, &path, body).await {
                    Some(response) => Reply::Forwarded {
                        status: response.status,
                        retry_after_s: response.retry_after_s,
                        body: response.body,
                    },
                    None => Reply::NotLeader,
                }
            }
            Request::Replicate(part) => self.receive_replication_part(part),
            Request::Polls { ids } => self.answer_polls(&ids),
            Request::Promise { term, for_ms, .. } => self.answer_promise(term, for_ms).await,
            Request::Status => Reply::Status(Box::new(self.status().await)),
            Request::LeaderStatus => self.leader_status().await,
            Request::Explain { id, forwarded } => {
                Reply::Explained(self.explain(&id, !forwarded).await)
            }
            Request::OffloadCandidates { lent } => self.offload_candidates(&lent),
            Request::Offload {
                id,
                award,
                market,
                version,
            } => {
                self.offload(&id, OffloadTarget { award, market }, version)
                    .await
            }
            Request::EndOffload { id, award, done } => self.end_offload(&id, award, &done).await,
            Request::Resigned { term } => {
                self.election.borrow_mut().record_peer_resignation(term);
                Reply::Ok
            }
        }
    }
}
