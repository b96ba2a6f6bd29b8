//! Exclusions of unresponsive nodes from elections, as kept in the key-value store.
//!
//! To go on while the store is unavailable, a leader needs a promise of every
//! peer not to campaign, and an unresponsive peer gives none. So, while the store
//! still answers, the leader writes a key that excludes that peer, under a lease;
//! becoming leader is conditional on the absence of that key. The store thus
//! promises in the peer's place, until the lease expires.
//!
//! A write whose outcome is unknown may be applied late, after newer ones.
//! Deleting an exclusion is therefore conditional on its version, so that it can't
//! delete a later exclusion that is counted. An exclusion whose write has an
//! unknown outcome has no known version; its lease is ended instead, after which
//! no key can be attached to it.
//!
//! Owns: which exclusions the leader of one term has written, and their lease.
//! Called by `server::exclusions`, which carries out each [`Step`] and reports the
//! result, and by `server::leadership`, which counts an excluded peer among the
//! promises.
//!
//! Must never: count an exclusion whose lease may have ended, whose deletion has
//! begun, or which was written in another term; exclude more than half of the
//! peers.

use super::{failure_detector::FailureDetector, safety_bounds::at_least};
use crate::{
    protocol::state::{Condition, Txn, Write},
    state::{
        Millis,
        records::{LEADER, exclusion_key},
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Time to live of the lease under the exclusions: the longest store outage that a
/// leader outlasts with an excluded peer, and the longest time for which a peer
/// that recovers without a leader stays excluded.
pub const LEASE_TTL_MS: Millis = 25_000;
/// Time between two renewals of that lease.
const LEASE_RENEWAL_INTERVAL_MS: Millis = 4_000;

/// What to do next about exclusions. One step is carried out at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Request a lease, or renew the one given here.
    RenewLease(Option<u64>),
    /// Write the exclusion of this peer under the lease.
    Exclude { peer: usize, lease: u64 },
    /// Delete the exclusion of this peer if it still has this version.
    Readmit { peer: usize, version: u64 },
    /// End the lease, and so all exclusions under it.
    EndLease(u64),
}

/// Writes the exclusion of `node` under `lease`, if the leader of `term` still
/// leads.
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

/// Deletes the exclusion of `node` if it has `version` and the leader of `term`
/// still leads.
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
    /// Version of each exclusion in the store, of whatever term.
    recorded: BTreeMap<usize, u64>,
    /// Peers with a write under this lease whose outcome is unknown.
    indeterminate: BTreeSet<usize>,
}

impl Exclusions {
    /// `recorded`: exclusions of earlier terms, with their versions. They keep a
    /// peer from being elected, but this leader doesn't know when their lease ends,
    /// so they aren't counted.
    pub fn new(term: u64, recorded: impl IntoIterator<Item = (usize, u64)>) -> Self {
        Exclusions {
            term,
            recorded: recorded.into_iter().collect(),
            ..Exclusions::default()
        }
    }

    /// For the result of a step that began in `term`; `None` when that term is
    /// over. An exclusion under the lease of an earlier term ends with that lease,
    /// so a late answer must not be counted in this one.
    pub fn of_term(&mut self, term: u64) -> Option<&mut Exclusions> {
        (self.term == term).then_some(self)
    }

    /// Whether the peer surely can't be elected at `now`.
    pub fn is_excluded(&self, peer: usize, now: Millis) -> bool {
        now < self.lease_valid_until && self.in_force.contains(&peer)
    }

    /// Until when the exclusions in force surely hold.
    pub fn lease_until(&self) -> Millis {
        self.lease_valid_until
    }

    /// The step that is due, if any.
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
        // A leader that is cut off itself must not exclude everybody: nobody could
        // succeed it.
        let unresponsive = failure_detector.unresponsive_peers(now);
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

    /// The lease was granted or renewed, by a request sent at `sent`.
    pub fn lease_granted(&mut self, lease: u64, sent: Millis) {
        if self.lease != Some(lease) {
            self.in_force.clear();
            self.indeterminate.clear();
        }
        self.lease = Some(lease);
        self.lease_valid_until = sent + at_least(LEASE_TTL_MS);
        self.lease_renewal_due = sent + LEASE_RENEWAL_INTERVAL_MS;
    }

    /// The lease has ended, and all exclusions with it.
    pub fn lease_lost(&mut self) {
        *self = Exclusions::new(self.term, std::mem::take(&mut self.recorded));
    }

    /// An exclusion is about to be written; from now on its outcome is unknown.
    /// Returns whether an earlier attempt has an unknown outcome too.
    pub fn begin_exclusion(&mut self, peer: usize) -> bool {
        self.in_force.remove(&peer);
        !self.indeterminate.insert(peer)
    }

    /// The exclusion of the peer is about to be deleted.
    pub fn begin_readmission(&mut self, peer: usize) {
        self.in_force.remove(&peer);
    }

    /// The lease is about to be ended.
    pub fn begin_lease_end(&mut self) {
        self.in_force.clear();
    }

    /// The exclusion was written with this version. `repeated`: an earlier attempt
    /// had an unknown outcome, which this success doesn't settle, as either write
    /// may be applied last.
    pub fn excluded(&mut self, peer: usize, version: u64, repeated: bool) {
        self.in_force.insert(peer);
        self.recorded.insert(peer, version);
        if !repeated {
            self.indeterminate.remove(&peer);
        }
    }

    /// The write was surely not applied. `repeated` as in [`Exclusions::excluded`].
    pub fn exclusion_failed(&mut self, peer: usize, repeated: bool) {
        if !repeated {
            self.indeterminate.remove(&peer);
        }
    }

    /// The exclusion is no longer in the store.
    pub fn readmitted(&mut self, peer: usize) {
        self.recorded.remove(&peer);
    }
}

#[cfg(test)]
mod tests;
