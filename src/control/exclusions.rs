//! Exclusions of unresponsive nodes from elections, stored in the key-value store.
//!
//! To continue while the store is unavailable, a leader needs a promise from every peer
//! not to campaign, and an unresponsive peer gives none. While the store still answers,
//! the leader therefore writes a key under a lease that excludes this peer; becoming
//! leader is conditional on the absence of that key. Until the lease expires, the
//! exclusion replaces the peer's promise.
//!
//! A write whose outcome is unknown may be applied late, after newer writes. The
//! deletion of an exclusion is therefore conditional on its version, so that it cannot
//! delete a later exclusion that is counted. An exclusion whose write has an unknown
//! outcome has no known version; its lease is revoked instead, after which no key can
//! be attached to the lease.
//!
//! Owns: the exclusions that the leader of one term has written, and their lease.
//! Called by `server::exclusions`, which performs each [`Step`] and reports the result,
//! and by `server::leadership`, which counts an excluded peer like one that promised.
//!
//! Must never: count an exclusion whose lease may have ended, whose deletion has begun,
//! or which was written in another term; exclude more than half of the peers.

use super::{failure_detector::FailureDetector, safety_bounds::min_local_duration};
use crate::{
    protocol::state::{Condition, Txn, Write},
    state::{
        Millis,
        records::{LEADER, exclusion_key},
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Time to live of the lease under the exclusions. This is the longest store outage
/// that a leader can bridge with an excluded peer, and the longest time for which a
/// peer that recovers while there is no leader stays excluded.
pub const LEASE_TTL_MS: Millis = 25_000;
/// Interval between two renewals of that lease.
const LEASE_RENEWAL_INTERVAL_MS: Millis = 4_000;

/// The next action on the exclusions. One step is performed at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Request a lease, or renew the given one.
    RenewLease(Option<u64>),
    /// Write the exclusion of this peer under the lease.
    Exclude { peer: usize, lease: u64 },
    /// Delete the exclusion of this peer if its key still has this version.
    Readmit { peer: usize, version: u64 },
    /// Revoke the lease, which removes all exclusions under it.
    EndLease(u64),
}

/// Returns the transaction that writes the exclusion of `node` under `lease`, on
/// condition that the leader of `term` still leads.
pub fn exclusion_txn(term: u64, node: &str, lease: u64) -> Txn {
    Txn {
        conditions: vec![Condition {
            key: LEADER.into(),
            version: term,
        }],
        writes: vec![Write::Put {
            key: exclusion_key(node),
            value: serde_json::Value::Bool(true),
            lease: Some(lease),
        }],
    }
}

/// Returns the transaction that deletes the exclusion of `node`, on condition that it
/// has `version` and that the leader of `term` still leads.
pub fn readmission_txn(term: u64, node: &str, version: u64) -> Txn {
    let key = exclusion_key(node);
    let condition = |key: &str, version| Condition {
        key: key.to_owned(),
        version,
    };
    Txn {
        conditions: vec![condition(LEADER, term), condition(&key, version)],
        writes: vec![Write::Delete { key }],
    }
}

/// The exclusions of one term.
#[derive(Debug, Default)]
pub struct Exclusions {
    term: u64,
    lease: Option<u64>,
    lease_valid_until: Millis,
    lease_renewal_due: Millis,
    /// Peers whose exclusion was written in this term, under its lease.
    in_force: BTreeSet<usize>,
    /// Version of each exclusion in the store, including those of earlier terms.
    recorded: BTreeMap<usize, u64>,
    /// Peers with a write under this lease whose outcome is unknown.
    indeterminate: BTreeSet<usize>,
}

impl Exclusions {
    /// Creates the exclusions of a new term. `recorded`: exclusions of earlier terms,
    /// with their versions. They prevent the election of a peer, but this leader does
    /// not know when their lease ends, so none of them counts in place of the peer's
    /// promise when the leader extends its authority.
    pub fn new(term: u64, recorded: impl IntoIterator<Item = (usize, u64)>) -> Self {
        Exclusions {
            term,
            recorded: recorded.into_iter().collect(),
            ..Exclusions::default()
        }
    }

    /// Returns the exclusions, to apply the result of a step that began in `term`;
    /// `None` if that term is over. An exclusion under the lease of an earlier term
    /// ends with that lease, so a late response must not be counted in the current
    /// term.
    pub fn of_term(&mut self, term: u64) -> Option<&mut Exclusions> {
        (self.term == term).then_some(self)
    }

    /// Whether the peer certainly cannot be elected at `now`.
    pub fn is_excluded(&self, peer: usize, now: Millis) -> bool {
        now < self.lease_valid_until && self.in_force.contains(&peer)
    }

    /// Time until which the exclusions in force are certain to hold.
    pub fn lease_until(&self) -> Millis {
        self.lease_valid_until
    }

    /// Returns the step that is due, if any.
    pub fn next_step(&self, failure_detector: &FailureDetector, now: Millis) -> Option<Step> {
        if let Some(lease) = self.lease
            && self
                .indeterminate
                .iter()
                .any(|peer| failure_detector.is_healthy(*peer, now))
        {
            return Some(Step::EndLease(lease));
        }
        let recovered = self
            .recorded
            .iter()
            .find(|(peer, _)| failure_detector.is_healthy(**peer, now));
        if let Some((&peer, &version)) = recovered {
            return Some(Step::Readmit { peer, version });
        }
        // A leader that is itself cut off must not exclude all peers, as no node could
        // then succeed it.
        let unresponsive = failure_detector.persistently_unresponsive_peers(now);
        if 2 * unresponsive.len() > failure_detector.len() {
            return None;
        }
        let lease = match self.lease {
            Some(lease) if now < self.lease_renewal_due => lease,
            lease if !(unresponsive.is_empty() && self.in_force.is_empty()) => {
                return Some(Step::RenewLease(lease));
            }
            _ => return None,
        };
        let peer = unresponsive
            .into_iter()
            .find(|peer| !self.in_force.contains(peer))?;
        Some(Step::Exclude { peer, lease })
    }

    /// Records that the lease was granted or renewed, by a request sent at `sent`.
    pub fn lease_granted(&mut self, lease: u64, sent: Millis) {
        if self.lease != Some(lease) {
            self.in_force.clear();
            self.indeterminate.clear();
        }
        self.lease = Some(lease);
        self.lease_valid_until = sent + min_local_duration(LEASE_TTL_MS);
        self.lease_renewal_due = sent + LEASE_RENEWAL_INTERVAL_MS;
    }

    /// Records that the lease has ended, and all exclusions under it.
    pub fn lease_lost(&mut self) {
        *self = Exclusions::new(self.term, std::mem::take(&mut self.recorded));
    }

    /// Records that an exclusion is about to be written; its outcome is unknown from
    /// now on. Returns whether an earlier attempt has an unknown outcome too.
    pub fn begin_exclusion(&mut self, peer: usize) -> bool {
        self.in_force.remove(&peer);
        !self.indeterminate.insert(peer)
    }

    /// Stops counting the exclusion of the peer, which is about to be deleted.
    pub fn begin_readmission(&mut self, peer: usize) {
        self.in_force.remove(&peer);
    }

    /// Stops counting all exclusions, as their lease is about to be revoked.
    pub fn begin_lease_end(&mut self) {
        self.in_force.clear();
    }

    /// Records that the exclusion was written with this version. `repeated`: an earlier
    /// attempt had an unknown outcome. This success does not resolve that attempt, as
    /// either write may be applied last.
    pub fn excluded(&mut self, peer: usize, version: u64, repeated: bool) {
        self.in_force.insert(peer);
        self.recorded.insert(peer, version);
        if !repeated {
            self.indeterminate.remove(&peer);
        }
    }

    /// Records that the write was certainly not applied. `repeated` as in
    /// [`Exclusions::excluded`].
    pub fn exclusion_failed(&mut self, peer: usize, repeated: bool) {
        if !repeated {
            self.indeterminate.remove(&peer);
        }
    }

    /// Records that the exclusion is no longer in the store.
    pub fn readmitted(&mut self, peer: usize) {
        self.recorded.remove(&peer);
    }
}

#[cfg(test)]
mod tests;
