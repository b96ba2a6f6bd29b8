//! Nodes that may not campaign for a while, as the state service holds.
//!
//! To go on without the state service a leader needs a promise of every other
//! node to seek nothing. One that hangs gives none. While the state service
//! still answers, the leader therefore writes that this node is excluded, under
//! a lease of some length; becoming leader is conditional on no such key. So
//! the store remembers in the node's place, and forgets by itself.
//!
//! A write without an answer may be applied late, after newer ones. An exclusion is
//! lifted under the guard of its version, so that this removes no later exclusion
//! which is counted on. One whose writing had no answer has no version that is
//! known, and an absent key none at all: its lease is ended, and nothing can
//! be attached to that any more.

use super::{failure_detector::FailureDetector, safety_bounds::at_least};
use crate::{
    protocol::state::{Condition, Txn, Write},
    state::{
        Millis,
        records::{LEADER, exclusion_key},
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Life of the lease behind the exclusions: as long as outages are to be outlasted,
/// and how long a node may have to wait if it comes back alone.
pub const LEASE_TTL_MS: Millis = 25_000;
/// Between two renewals of it.
const RENEW_EVERY_MS: Millis = 4_000;

/// What to do next about exclusions. Done one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask for a lease, or renew the one there is.
    RenewLease(Option<u64>),
    Exclude {
        peer: usize,
        lease: u64,
    },
    Readmit {
        peer: usize,
        version: u64,
    },
    /// End the lease, and so all exclusions under it.
    EndLease(u64),
}

/// Of that term, and under the lease of its exclusions.
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

pub fn readmission_txn(term: u64, node: &str, version: u64) -> Txn {
    let key = exclusion_key(node);
    let guard = |key: &str, version| Condition {
        key: key.to_owned(),
        version,
    };
    Txn {
        conditions: vec![guard(LEADER, term), guard(&key, version)],
        writes: vec![Write::Delete { key }],
    }
}

/// The exclusions of one term.
#[derive(Debug, Default)]
pub struct Exclusions {
    term: u64,
    lease: Option<u64>,
    lease_until: Millis,
    renew_at: Millis,
    /// Written in this term, under its lease.
    in_force: BTreeSet<usize>,
    /// In the store with this version, from whatever term.
    recorded: BTreeMap<usize, u64>,
    /// Written without an answer so far, under this lease.
    indeterminate: BTreeSet<usize>,
}

impl Exclusions {
    /// `found`: exclusions of earlier terms, with their versions. They keep a node
    /// from seeking, but end this leader doesn't know when, so they don't count.
    pub fn new(term: u64, found: impl IntoIterator<Item = (usize, u64)>) -> Self {
        Exclusions {
            term,
            recorded: found.into_iter().collect(),
            ..Exclusions::default()
        }
    }

    /// For what came of a step that was begun in that term. Guards against a
    /// late answer: an exclusion under the lease of an earlier term ends with that.
    pub fn of_term(&mut self, term: u64) -> Option<&mut Exclusions> {
        (self.term == term).then_some(self)
    }

    /// The peer can't take the lead before `until`.
    pub fn is_excluded(&self, peer: usize, now: Millis) -> bool {
        now < self.lease_until && self.in_force.contains(&peer)
    }

    pub fn lease_until(&self) -> Millis {
        self.lease_until
    }

    pub fn next_step(&self, failure_detector: &FailureDetector, now: Millis) -> Option<Step> {
        if let Some(lease) = self.lease
            && self
                .indeterminate
                .iter()
                .any(|p| failure_detector.is_healthy(*p, now))
        {
            return Some(Step::EndLease(lease));
        }
        let back = self
            .recorded
            .iter()
            .find(|(p, _)| failure_detector.is_healthy(**p, now));
        if let Some((&peer, &version)) = back {
            return Some(Step::Readmit { peer, version });
        }
        // Guards against a leader that hears nobody and exclusions all of them: if
        // it then goes, nobody could follow.
        let hanging = failure_detector.unresponsive_peers(now);
        if 2 * hanging.len() > failure_detector.len() {
            return None;
        }
        let lease = match self.lease {
            Some(lease) if now < self.renew_at => lease,
            lease if !(hanging.is_empty() && self.in_force.is_empty()) => {
                return Some(Step::RenewLease(lease));
            }
            _ => return None,
        };
        let new = hanging.into_iter().find(|p| !self.in_force.contains(p))?;
        Some(Step::Exclude { peer: new, lease })
    }

    /// The lease was granted or renewed, asked for at `sent`.
    pub fn lease_granted(&mut self, lease: u64, sent: Millis) {
        if self.lease != Some(lease) {
            self.in_force.clear();
            self.indeterminate.clear();
        }
        self.lease = Some(lease);
        self.lease_until = sent + at_least(LEASE_TTL_MS);
        self.renew_at = sent + RENEW_EVERY_MS;
    }

    /// The lease has ended, and all exclusions with it.
    pub fn lease_lost(&mut self) {
        *self = Exclusions::new(self.term, std::mem::take(&mut self.recorded));
    }

    /// An exclusion is about to be written: from now on it may be there or not.
    /// Returns whether an earlier try is open.
    pub fn begin_exclusion(&mut self, peer: usize) -> bool {
        self.in_force.remove(&peer);
        !self.indeterminate.insert(peer)
    }

    /// One is about to be lifted, or its lease ended.
    pub fn begin_readmission(&mut self, peer: usize) {
        self.in_force.remove(&peer);
    }

    pub fn begin_lease_end(&mut self) {
        self.in_force.clear();
    }

    /// What was begun first was carried out too, or never will be: of two
    /// writes without a version between them either may be the later.
    pub fn excluded(&mut self, peer: usize, version: u64, again: bool) {
        self.in_force.insert(peer);
        self.recorded.insert(peer, version);
        if !again {
            self.indeterminate.remove(&peer);
        }
    }

    /// The write was surely not carried out.
    pub fn exclusion_failed(&mut self, peer: usize, again: bool) {
        if !again {
            self.indeterminate.remove(&peer);
        }
    }

    pub fn readmitted(&mut self, peer: usize) {
        self.recorded.remove(&peer);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::control::failure_detector::PeerHealth;

    fn silent(r: &mut FailureDetector, peer: usize) {
        r.request_sent(peer, 0);
        r.request_ended(peer, PeerHealth::Unresponsive, 0);
    }

    #[test]
    fn a_bar_counts_from_its_writing_until_it_may_be_lifted_or_its_lease_ends() {
        let mut failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
        let mut exclusions = Exclusions::new(5, []);
        assert_eq!(exclusions.next_step(&failure_detector, 9000), None);
        silent(&mut failure_detector, 1);
        assert_eq!(
            exclusions.next_step(&failure_detector, 500),
            None,
            "it may be slow"
        );
        assert_eq!(
            exclusions.next_step(&failure_detector, 9000),
            Some(Step::RenewLease(None))
        );
        exclusions.lease_granted(7, 9000);
        let exclusion = Step::Exclude { peer: 1, lease: 7 };
        assert_eq!(
            exclusions.next_step(&failure_detector, 9100),
            Some(exclusion)
        );
        exclusions.begin_exclusion(1);
        assert!(!exclusions.is_excluded(1, 9200), "no answer yet");
        exclusions.excluded(1, 40, false);
        assert!(exclusions.is_excluded(1, 9200) && !exclusions.is_excluded(0, 9200));
        assert_eq!(exclusions.next_step(&failure_detector, 9300), None);
        assert_eq!(
            exclusions.next_step(&failure_detector, 13_000),
            Some(Step::RenewLease(Some(7)))
        );
        assert!(!exclusions.is_excluded(1, 9000 + LEASE_TTL_MS));
        exclusions.lease_granted(7, 13_000);
        assert!(exclusions.is_excluded(1, 9000 + LEASE_TTL_MS));
        // It is back: not counted from before the key is dropped.
        failure_detector.request_sent(1, 14_000);
        failure_detector.request_ended(1, PeerHealth::Healthy, 14_000);
        let readmit = Step::Readmit {
            peer: 1,
            version: 40,
        };
        assert_eq!(
            exclusions.next_step(&failure_detector, 14_000),
            Some(readmit)
        );
        exclusions.begin_readmission(1);
        assert!(!exclusions.is_excluded(1, 14_001));
        assert_eq!(
            exclusions.next_step(&failure_detector, 14_001),
            Some(readmit)
        );
        exclusions.readmitted(1);
        assert_eq!(exclusions.next_step(&failure_detector, 14_002), None);
    }

    #[test]
    fn bars_of_an_earlier_term_are_lifted_but_never_counted() {
        let failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
        let exclusions = Exclusions::new(5, [(0, 12)]);
        assert!(!exclusions.is_excluded(0, 1));
        let readmit = Step::Readmit {
            peer: 0,
            version: 12,
        };
        assert_eq!(exclusions.next_step(&failure_detector, 1), Some(readmit));
    }

    /// Guards against an exclusion that comes to stand after it was lifted, and so
    /// keeps a node from leading, as its writing had no answer.
    #[test]
    fn a_bar_whose_writing_had_no_answer_goes_with_its_lease() {
        let mut failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
        let mut exclusions = Exclusions::new(5, []);
        silent(&mut failure_detector, 1);
        exclusions.lease_granted(7, 9000);
        exclusions.begin_exclusion(1);
        // Written again, and this time it is known to stand.
        let again = exclusions.begin_exclusion(1);
        assert!(again);
        exclusions.excluded(1, 41, again);
        assert!(exclusions.is_excluded(1, 9500));
        failure_detector.request_sent(1, 10_000);
        failure_detector.request_ended(1, PeerHealth::Healthy, 10_000);
        assert_eq!(
            exclusions.next_step(&failure_detector, 10_000),
            Some(Step::EndLease(7))
        );
        exclusions.begin_lease_end();
        assert!(!exclusions.is_excluded(1, 10_000));
        exclusions.lease_lost();
        assert!(!matches!(
            exclusions.next_step(&failure_detector, 10_001),
            Some(Step::EndLease(_))
        ));
    }

    /// Guards against an exclusion that is counted on under the lease of a later term,
    /// and ends with that of the earlier one.
    #[test]
    fn a_bar_that_was_written_in_an_earlier_term_is_not_counted() {
        let mut exclusions = Exclusions::new(5, []);
        exclusions.lease_granted(7, 9_000);
        let again = exclusions.begin_exclusion(1);
        // The same node leads again before the answer comes.
        let mut exclusions = Exclusions::new(9, []);
        exclusions.lease_granted(8, 20_000);
        if let Some(exclusions) = exclusions.of_term(5) {
            exclusions.excluded(1, 40, again);
        }
        assert!(!exclusions.is_excluded(1, 20_100));
        exclusions
            .of_term(9)
            .expect("its own")
            .excluded(1, 41, false);
        assert!(exclusions.is_excluded(1, 20_100));
    }

    #[test]
    fn a_leader_that_hears_few_bars_nobody() {
        let mut failure_detector = FailureDetector::new("n0", &["n1", "n2"]);
        silent(&mut failure_detector, 0);
        silent(&mut failure_detector, 1);
        assert_eq!(
            Exclusions::new(5, []).next_step(&failure_detector, 9000),
            None
        );
    }
}
