//! Replication to the standbys while this node leads, and the replica that this node
//! keeps while another node leads.
//!
//! This module owns the requests of the replication stream and the writes of the
//! standby registry. It is called by the control loop, by the campaign and by
//! `server::peers`.
//!
//! Invariant: a part of the stream is never accepted while this node leads.

use super::{
    Node,
    store::{STATE_TIMEOUT, StoreError},
};
use crate::{
    control::{
        failure_detector::PeerHealth,
        requests::TxnResult,
        standby::{RegistryWriteOutcome, replica::ReplicaReceiver},
    },
    protocol::{
        peers::{ReplicationPart, Reply, Request},
        state::Txn,
    },
    state::{
        records::{LEADER, STANDBYS, StandbyRecord},
        request_budget::RequestPriority,
    },
};
use async_io::Timer;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Time after which a part of the stream that was not answered counts as lost.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a failed read of the standby registry is repeated.
const REREAD_PAUSE: Duration = Duration::from_millis(200);

/// State that this node keeps while another node leads, so that it can take over.
#[derive(Default)]
pub(super) struct Standby {
    /// The part of the replica of the leader's state that was received so far.
    pub(super) replica_receiver: RefCell<ReplicaReceiver>,
    /// The standby registry, as read since there has been no leader.
    pub(super) last_record: RefCell<Option<StandbyRecord>>,
}

impl Node {
    /// Updates the standby registry and continues the replication to each standby.
    /// Called once per control round of the leader.
    pub(super) fn update_standbys(self: &Rc<Self>, term: u64) {
        let now = self.now();
        let due = self.with_authority(|leader, now| {
            let failure_detector = self.failure_detector.borrow();
            leader.update_standbys(|peer| failure_detector.is_healthy(peer, now), now)
        });
        if let Some(txn) = due.flatten() {
            self.executor
                .spawn_high(self.clone().write_standbys(term, txn))
                .detach();
        }
        let peers = self.in_term(term, |leader, _| leader.standby_peers());
        for peer in peers.unwrap_or_default() {
            let part = self.in_term(term, |leader, _| leader.next_replication_part(peer, now));
            if let Some(part) = part.flatten() {
                let sending = self.clone().send_replication_part(term, peer, part);
                self.executor.spawn_high(sending).detach();
            }
        }
    }

    /// Sends a part of the stream, then each next part once the previous one was
    /// answered.
    async fn send_replication_part(self: Rc<Self>, term: u64, peer: usize, part: ReplicationPart) {
        let mut next = Some(part);
        while let Some(part) = next.take() {
            let reply = self
                .call_peer(peer, &Request::Replicate(part), REPLICATE_TIMEOUT)
                .await;
            let answer = match reply {
                Ok(Reply::Replicated {
                    incarnation,
                    applied: is_applied,
                }) => Some((incarnation, is_applied)),
                _ => None,
            };
            let following = self.in_term(term, |leader, now| {
                leader.replication_answered(peer, answer, now);
                leader.next_replication_part(peer, now)
            });
            next = following.flatten();
        }
    }

    /// Applies a part of the stream that the leader sent to this node as its standby.
    pub(super) fn receive_replication_part(&self, part: ReplicationPart) -> Reply {
        if self.election.borrow().leadership().is_some() {
            return Reply::NotLeader;
        }
        let incarnation = self.election.borrow().incarnation;
        let is_applied = self
            .standby
            .replica_receiver
            .borrow_mut()
            .apply_part(part, self.now());
        Reply::Replicated {
            incarnation,
            applied: is_applied,
        }
    }

    /// Reads the standby registry and its version.
    pub(super) async fn read_standby_record(
        &self,
    ) -> Result<Option<(StandbyRecord, u64)>, StoreError> {
        let now = self.now();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        let item = self.get(STANDBYS, STATE_TIMEOUT).await?;
        Ok(item.map(|item| (StandbyRecord::read(item.value), item.version)))
    }

    async fn write_standbys(self: Rc<Self>, term: u64, txn: Txn) {
        let now = self.now();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        self.budgets.charge_changes(now, 1.0);
        let outcome = match self.run_txn(&txn, STATE_TIMEOUT).await {
            TxnResult::Applied(version) => RegistryWriteOutcome::Done(version),
            TxnResult::Refused | TxnResult::Rejected => RegistryWriteOutcome::Refused,
            TxnResult::Conflict(failed) if failed.iter().any(|key| key == LEADER) => {
                self.step_down(term, super::leadership::StepDownReason::Replaced);
                return;
            }
            TxnResult::Conflict(_) | TxnResult::Unknown => loop {
                if self.in_term(term, |_, _| ()).is_none() {
                    return;
                }
                match self.read_standby_record().await {
                    Ok(found) => break RegistryWriteOutcome::Reread(found),
                    Err(_) => Timer::after(REREAD_PAUSE).await,
                };
            },
        };
        self.in_term(term, |leader, now| leader.standbys_written(outcome, now));
    }

    /// Whether this node is missing in the standby registry and another node in it is
    /// healthy. The result only delays a candidacy, so the registry may be outdated.
    pub(super) async fn other_standbys_are_counted(&self) -> bool {
        // The registry is read only once while there is no leader, as the request
        // budget is small then.
        if self.standby.last_record.borrow().is_none() {
            let Ok(found) = self.read_standby_record().await else {
                return false;
            };
            let record = found.map(|(record, _)| record).unwrap_or_default();
            self.standby.last_record.replace(Some(record));
        }
        let record = self
            .standby
            .last_record
            .borrow()
            .clone()
            .unwrap_or_default();
        let is_registered = {
            let election = self.election.borrow();
            record.standbys.iter().any(|(name, incarnation)| {
                *name == election.node_name && *incarnation == election.incarnation
            })
        };
        let is_healthy_peer = |name: &String| {
            let peers = &self.settings.peers;
            let peer = peers.iter().position(|peer| peer.name == *name);
            peer.is_some_and(|peer| self.peer_health(peer) == PeerHealth::Healthy)
        };
        !is_registered
            && record
                .standbys
                .iter()
                .any(|(name, _)| is_healthy_peer(name))
    }
}
