//! Nodes that may not seek the lead for a while, as the state service holds.
//!
//! To go on without the state service a leader needs a promise of every other
//! node to seek nothing. One that hangs gives none. While the state service
//! still answers, the leader therefore writes that this node is barred, under
//! a lease of some length; taking the lead is conditional on no such key. So
//! the store remembers in the node's place, and forgets by itself.
//!
//! A write without an answer may be applied late, after newer ones. A bar is
//! lifted under the guard of its version, so that this removes no later bar
//! which is counted on. One whose writing had no answer has no version that is
//! known, and an absent key none at all: its lease is ended, and nothing can
//! be attached to that any more.

use super::{failure_detector::Reach, safety_bounds::at_least};
use crate::{
    protocol::state::{Guard, Txn, Write},
    state::{
        Ms,
        records::{LEADER, bar_key},
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Life of the lease behind the bars: as long as outages are to be outlasted,
/// and how long a node may have to wait if it comes back alone.
pub const LEASE_LIFE_MS: Ms = 25_000;
/// Between two renewals of it.
const TOUCH_EVERY_MS: Ms = 4_000;

/// What to do next about bars. Done one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask for a lease, or renew the one there is.
    Lease(Option<u64>),
    Bar {
        peer: usize,
        lease: u64,
    },
    Lift {
        peer: usize,
        version: u64,
    },
    /// End the lease, and so all bars under it.
    End(u64),
}

/// Of that term, and under the lease of its bars.
pub fn bar_txn(term: u64, node: &str, lease: u64) -> Txn {
    Txn {
        guards: vec![Guard {
            key: LEADER.into(),
            version: term,
        }],
        writes: vec![Write::Put {
            key: bar_key(node),
            value: serde_json::Value::Bool(true),
            lease: Some(lease),
        }],
    }
}

pub fn lift_txn(term: u64, node: &str, version: u64) -> Txn {
    let key = bar_key(node);
    let guard = |key: &str, version| Guard {
        key: key.to_owned(),
        version,
    };
    Txn {
        guards: vec![guard(LEADER, term), guard(&key, version)],
        writes: vec![Write::Delete { key }],
    }
}

/// The bars of one term.
#[derive(Debug, Default)]
pub struct Bars {
    term: u64,
    lease: Option<u64>,
    until: Ms,
    touch_at: Ms,
    /// Written in this term, under its lease.
    standing: BTreeSet<usize>,
    /// In the store with this version, from whatever term.
    written: BTreeMap<usize, u64>,
    /// Written without an answer so far, under this lease.
    open: BTreeSet<usize>,
}

impl Bars {
    /// `found`: bars of earlier terms, with their versions. They keep a node
    /// from seeking, but end this leader doesn't know when, so they don't count.
    pub fn new(term: u64, found: impl IntoIterator<Item = (usize, u64)>) -> Self {
        Bars {
            term,
            written: found.into_iter().collect(),
            ..Bars::default()
        }
    }

    /// For what came of a step that was begun in that term. Guards against a
    /// late answer: a bar under the lease of an earlier term ends with that.
    pub fn of_term(&mut self, term: u64) -> Option<&mut Bars> {
        (self.term == term).then_some(self)
    }

    /// The peer can't take the lead before `until`.
    pub fn stands(&self, peer: usize, now: Ms) -> bool {
        now < self.until && self.standing.contains(&peer)
    }

    pub fn until(&self) -> Ms {
        self.until
    }

    pub fn next(&self, reach: &Reach, now: Ms) -> Option<Step> {
        if let Some(lease) = self.lease
            && self.open.iter().any(|p| reach.answers(*p, now))
        {
            return Some(Step::End(lease));
        }
        let back = self.written.iter().find(|(p, _)| reach.answers(**p, now));
        if let Some((&peer, &version)) = back {
            return Some(Step::Lift { peer, version });
        }
        // Guards against a leader that hears nobody and bars all of them: if
        // it then goes, nobody could follow.
        let hanging = reach.hanging(now);
        if 2 * hanging.len() > reach.len() {
            return None;
        }
        let lease = match self.lease {
            Some(lease) if now < self.touch_at => lease,
            lease if !(hanging.is_empty() && self.standing.is_empty()) => {
                return Some(Step::Lease(lease));
            }
            _ => return None,
        };
        let new = hanging.into_iter().find(|p| !self.standing.contains(p))?;
        Some(Step::Bar { peer: new, lease })
    }

    /// The lease was granted or renewed, asked for at `sent`.
    pub fn leased(&mut self, lease: u64, sent: Ms) {
        if self.lease != Some(lease) {
            self.standing.clear();
            self.open.clear();
        }
        self.lease = Some(lease);
        self.until = sent + at_least(LEASE_LIFE_MS);
        self.touch_at = sent + TOUCH_EVERY_MS;
    }

    /// The lease has ended, and all bars with it.
    pub fn lost(&mut self) {
        *self = Bars::new(self.term, std::mem::take(&mut self.written));
    }

    /// A bar is about to be written: from now on it may be there or not.
    /// Returns whether an earlier try is open.
    pub fn begun(&mut self, peer: usize) -> bool {
        self.standing.remove(&peer);
        !self.open.insert(peer)
    }

    /// One is about to be lifted, or its lease ended.
    pub fn lifting(&mut self, peer: usize) {
        self.standing.remove(&peer);
    }

    pub fn ending(&mut self) {
        self.standing.clear();
    }

    /// What was begun first was carried out too, or never will be: of two
    /// writes without a version between them either may be the later.
    pub fn barred(&mut self, peer: usize, version: u64, again: bool) {
        self.standing.insert(peer);
        self.written.insert(peer, version);
        if !again {
            self.open.remove(&peer);
        }
    }

    /// The write was surely not carried out.
    pub fn not_barred(&mut self, peer: usize, again: bool) {
        if !again {
            self.open.remove(&peer);
        }
    }

    pub fn lifted(&mut self, peer: usize) {
        self.written.remove(&peer);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::control::failure_detector::Contact;

    fn silent(r: &mut Reach, peer: usize) {
        r.asked(peer, 0);
        r.ended(peer, Contact::Silent, 0);
    }

    #[test]
    fn a_bar_counts_from_its_writing_until_it_may_be_lifted_or_its_lease_ends() {
        let mut reach = Reach::new("n0", &["n1", "n2"]);
        let mut bars = Bars::new(5, []);
        assert_eq!(bars.next(&reach, 9000), None);
        silent(&mut reach, 1);
        assert_eq!(bars.next(&reach, 500), None, "it may be slow");
        assert_eq!(bars.next(&reach, 9000), Some(Step::Lease(None)));
        bars.leased(7, 9000);
        let bar = Step::Bar { peer: 1, lease: 7 };
        assert_eq!(bars.next(&reach, 9100), Some(bar));
        bars.begun(1);
        assert!(!bars.stands(1, 9200), "no answer yet");
        bars.barred(1, 40, false);
        assert!(bars.stands(1, 9200) && !bars.stands(0, 9200));
        assert_eq!(bars.next(&reach, 9300), None);
        assert_eq!(bars.next(&reach, 13_000), Some(Step::Lease(Some(7))));
        assert!(!bars.stands(1, 9000 + LEASE_LIFE_MS));
        bars.leased(7, 13_000);
        assert!(bars.stands(1, 9000 + LEASE_LIFE_MS));
        // It is back: not counted from before the key is dropped.
        reach.asked(1, 14_000);
        reach.ended(1, Contact::Answers, 14_000);
        let lift = Step::Lift {
            peer: 1,
            version: 40,
        };
        assert_eq!(bars.next(&reach, 14_000), Some(lift));
        bars.lifting(1);
        assert!(!bars.stands(1, 14_001));
        assert_eq!(bars.next(&reach, 14_001), Some(lift));
        bars.lifted(1);
        assert_eq!(bars.next(&reach, 14_002), None);
    }

    #[test]
    fn bars_of_an_earlier_term_are_lifted_but_never_counted() {
        let reach = Reach::new("n0", &["n1", "n2"]);
        let bars = Bars::new(5, [(0, 12)]);
        assert!(!bars.stands(0, 1));
        let lift = Step::Lift {
            peer: 0,
            version: 12,
        };
        assert_eq!(bars.next(&reach, 1), Some(lift));
    }

    /// Guards against a bar that comes to stand after it was lifted, and so
    /// keeps a node from leading, as its writing had no answer.
    #[test]
    fn a_bar_whose_writing_had_no_answer_goes_with_its_lease() {
        let mut reach = Reach::new("n0", &["n1", "n2"]);
        let mut bars = Bars::new(5, []);
        silent(&mut reach, 1);
        bars.leased(7, 9000);
        bars.begun(1);
        // Written again, and this time it is known to stand.
        let again = bars.begun(1);
        assert!(again);
        bars.barred(1, 41, again);
        assert!(bars.stands(1, 9500));
        reach.asked(1, 10_000);
        reach.ended(1, Contact::Answers, 10_000);
        assert_eq!(bars.next(&reach, 10_000), Some(Step::End(7)));
        bars.ending();
        assert!(!bars.stands(1, 10_000));
        bars.lost();
        assert!(!matches!(bars.next(&reach, 10_001), Some(Step::End(_))));
    }

    /// Guards against a bar that is counted on under the lease of a later term,
    /// and ends with that of the earlier one.
    #[test]
    fn a_bar_that_was_written_in_an_earlier_term_is_not_counted() {
        let mut bars = Bars::new(5, []);
        bars.leased(7, 9_000);
        let again = bars.begun(1);
        // The same node leads again before the answer comes.
        let mut bars = Bars::new(9, []);
        bars.leased(8, 20_000);
        if let Some(bars) = bars.of_term(5) {
            bars.barred(1, 40, again);
        }
        assert!(!bars.stands(1, 20_100));
        bars.of_term(9).expect("its own").barred(1, 41, false);
        assert!(bars.stands(1, 20_100));
    }

    #[test]
    fn a_leader_that_hears_few_bars_nobody() {
        let mut reach = Reach::new("n0", &["n1", "n2"]);
        silent(&mut reach, 0);
        silent(&mut reach, 1);
        assert_eq!(Bars::new(5, []).next(&reach, 9000), None);
    }
}
