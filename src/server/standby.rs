//! Keeps standbys warm while this node leads, and a copy while another does.

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
    state::records::{LEADER, STANDBYS, StandbyRecord},
};
use async_io::Timer;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// A part that is not answered by then is taken for lost.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(900);

/// What this node keeps while another leads, to take over from it.
#[derive(Default)]
pub(super) struct Standby {
    /// The replica of the leader's state, as far as it was received.
    pub(super) replica_receiver: RefCell<ReplicaReceiver>,
    /// The registry of standbys, as read since nobody leads.
    pub(super) last_record: RefCell<Option<StandbyRecord>>,
}

impl Node {
    /// One look of the leader at its standbys.
    pub(super) fn update_standbys(self: &Rc<Self>, term: u64) {
        let now = self.now();
        let due = self.acting(|l, now| {
            let failure_detector = self.failure_detector.borrow();
            l.update_standbys(|p| failure_detector.is_healthy(p, now), now)
        });
        if let Some(txn) = due.flatten() {
            self.executor
                .spawn_high(self.clone().write_standbys(term, txn))
                .detach();
        }
        let peers = self.of_term(term, |l, _| l.standby_peers());
        for peer in peers.unwrap_or_default() {
            let part = self.of_term(term, |l, _| l.next_replication_part(peer, now));
            if let Some(part) = part.flatten() {
                let told = self.clone().send_replication_part(term, peer, part);
                self.executor.spawn_high(told).detach();
            }
        }
    }

    /// Sends a part, and what is to follow it.
    async fn send_replication_part(self: Rc<Self>, term: u64, peer: usize, part: ReplicationPart) {
        let mut next = Some(part);
        while let Some(part) = next.take() {
            let reply = self
                .ask(peer, &Request::Replicate(part), REPLICATE_TIMEOUT)
                .await;
            let answer = match reply {
                Ok(Reply::Replicated {
                    incarnation,
                    applied: taken,
                }) => Some((incarnation, taken)),
                _ => None,
            };
            let went_on = self.of_term(term, |l, now| {
                l.replication_answered(peer, answer, now);
                l.next_replication_part(peer, now)
            });
            next = went_on.flatten();
        }
    }

    /// What a leader tells this node, as its standby.
    pub(super) fn receive_replication_part(&self, part: ReplicationPart) -> Reply {
        if self.election.borrow().leadership().is_some() {
            return Reply::NotLeader;
        }
        let incarnation = self.election.borrow().incarnation;
        let taken = self
            .standby
            .replica_receiver
            .borrow_mut()
            .apply_part(part, self.now());
        Reply::Replicated {
            incarnation,
            applied: taken,
        }
    }

    pub(super) async fn read_standby_record(
        &self,
    ) -> Result<Option<(StandbyRecord, u64)>, StoreError> {
        let now = self.now();
        self.budgets.charge_requests(now, 1.0);
        let item = self.get(STANDBYS, STATE_TIMEOUT).await?;
        Ok(item.map(|i| (StandbyRecord::read(i.value), i.version)))
    }

    async fn write_standbys(self: Rc<Self>, term: u64, txn: Txn) {
        let now = self.now();
        self.budgets.charge_requests(now, 1.0);
        self.budgets.charge_changes(now, 1.0);
        let how = match self.txn(&txn, STATE_TIMEOUT).await {
            TxnResult::Done(version) => RegistryWriteOutcome::Done(version),
            TxnResult::Refused | TxnResult::Rejected => RegistryWriteOutcome::Refused,
            TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                self.step_down(term, super::leadership::StepDownReason::Replaced);
                return;
            }
            TxnResult::Conflict(_) | TxnResult::Unknown => loop {
                if self.of_term(term, |_, _| ()).is_none() {
                    return;
                }
                match self.read_standby_record().await {
                    Ok(found) => break RegistryWriteOutcome::Reread(found),
                    Err(_) => Timer::after(Duration::from_millis(200)).await,
                };
            },
        };
        self.of_term(term, |l, now| l.standbys_written(how, now));
    }

    /// Somebody else is named to take over, and may be there to do it: this
    /// node leaves them a moment. Only a courtesy, so what was read may be old.
    pub(super) async fn other_standbys_are_counted(&self) -> bool {
        // Read once while nobody leads: the budget is scarce just then.
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
        let (me, incarnation) = {
            let e = self.election.borrow();
            (e.node_name.clone(), e.incarnation)
        };
        let own = record
            .named
            .iter()
            .any(|(n, i)| *n == me && *i == incarnation);
        let there = |name: &String| {
            let peers = &self.settings.peers;
            let peer = peers.iter().position(|p| p.name == *name);
            peer.is_some_and(|p| self.peer_health(p) == PeerHealth::Healthy)
        };
        !own && record.named.iter().any(|(n, _)| there(n))
    }
}
