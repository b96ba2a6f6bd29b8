//! Keeps standbys warm while this node leads, and a copy while another does.

use super::{Node, store::USUAL};
use crate::{
    control::{failure_detector::PeerHealth, requests::TxnResult, standby::Written},
    protocol::{
        peers::{Follow, Reply, Request},
        state::Txn,
    },
    state::records::{LEADER, STANDBYS, StandbyRecord},
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// A part that is not answered by then is taken for lost.
const TELL: Duration = Duration::from_millis(900);

impl Node {
    /// One look of the leader at its standbys.
    pub(super) fn keep_standbys(self: &Rc<Self>, term: u64) {
        let now = self.now();
        let due = self.acting(|l, now| {
            let failure_detector = self.failure_detector.borrow();
            l.keep_warm(|p| failure_detector.is_healthy(p, now), now)
        });
        if let Some(txn) = due.flatten() {
            self.lanes
                .spawn_high(self.clone().write_standbys(term, txn))
                .detach();
        }
        let peers = self.of_term(term, |l, _| l.standby_peers());
        for peer in peers.unwrap_or_default() {
            let part = self.of_term(term, |l, _| l.next_replication_part(peer, now));
            if let Some(part) = part.flatten() {
                let told = self.clone().tell_standby(term, peer, part);
                self.lanes.spawn_high(told).detach();
            }
        }
    }

    /// Sends a part, and what is to follow it.
    async fn tell_standby(self: Rc<Self>, term: u64, peer: usize, part: Follow) {
        let mut next = Some(part);
        while let Some(part) = next.take() {
            let reply = self.ask(peer, &Request::Follow(part), TELL).await;
            let answer = match reply {
                Ok(Reply::Followed { incarnation, taken }) => Some((incarnation, taken)),
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
    pub(super) fn follow(&self, part: Follow) -> Reply {
        if self.election.borrow().leadership().is_some() {
            return Reply::NotLeader;
        }
        let incarnation = self.election.borrow().incarnation;
        let taken = self.follower.borrow_mut().take_in(part, self.now());
        Reply::Followed { incarnation, taken }
    }

    pub(super) async fn read_standbys(&self) -> Result<Option<(StandbyRecord, u64)>, String> {
        let now = self.now();
        self.requests.borrow_mut().force(now, 1.0);
        let item = self.get(STANDBYS, USUAL).await?;
        Ok(item.map(|i| (StandbyRecord::read(i.value), i.version)))
    }

    async fn write_standbys(self: Rc<Self>, term: u64, txn: Txn) {
        let now = self.now();
        self.requests.borrow_mut().force(now, 1.0);
        self.writes.borrow_mut().force(now, 1.0);
        let how = match self.txn(&txn, USUAL).await {
            TxnResult::Done(version) => Written::Done(version),
            TxnResult::Refused | TxnResult::Rejected => Written::Refused,
            TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                self.resign(term, super::leadership::Stop::Replaced);
                return;
            }
            TxnResult::Conflict(_) | TxnResult::Unknown => loop {
                if self.of_term(term, |_, _| ()).is_none() {
                    return;
                }
                match self.read_standbys().await {
                    Ok(found) => break Written::Reread(found),
                    Err(_) => Timer::after(Duration::from_millis(200)).await,
                };
            },
        };
        self.of_term(term, |l, now| l.standbys_written(how, now));
    }

    /// Somebody else is named to take over, and may be there to do it: this
    /// node leaves them a moment. Only a courtesy, so what was read may be old.
    pub(super) async fn others_are_named(&self) -> bool {
        // Read once while nobody leads: the budget is scarce just then.
        if self.last_record.borrow().is_none() {
            let Ok(found) = self.read_standbys().await else {
                return false;
            };
            let record = found.map(|(record, _)| record).unwrap_or_default();
            self.last_record.replace(Some(record));
        }
        let record = self.last_record.borrow().clone().unwrap_or_default();
        let (me, incarnation) = {
            let e = self.election.borrow();
            (e.me.clone(), e.incarnation)
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
