//! Nodes that may not seek the lead for a while, as the state service holds.
//!
//! To go on without the state service a leader needs a promise of every other
//! node to seek nothing. One that hangs gives none. While the state service
//! still answers, the leader therefore writes that this node is barred, under
//! a lease of some length; taking the lead is conditional on no such key. So
//! the store remembers in the node's place, and forgets by itself.

use super::reach::Reach;
use crate::bookkeeping::Ms;
use std::collections::BTreeSet;

/// Life of the lease behind the bars: as long as outages are to be outlasted,
/// and how long a node may have to wait if it comes back alone.
pub const LIFE: Ms = 25_000;
/// Between two renewals of it.
const TOUCH: Ms = 4_000;

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
    },
}

/// The bars of one term.
#[derive(Debug, Default)]
pub struct Bars {
    lease: Option<u64>,
    until: Ms,
    touch_at: Ms,
    /// Written in this term, under its lease.
    standing: BTreeSet<usize>,
    /// May be in the store, from whatever term.
    written: BTreeSet<usize>,
}

impl Bars {
    /// `found`: bars of earlier terms. They keep a node from seeking, but end
    /// this leader doesn't know when, so they don't count.
    pub fn new(found: impl IntoIterator<Item = usize>) -> Self {
        Bars {
            written: found.into_iter().collect(),
            ..Bars::default()
        }
    }

    /// The peer can't take the lead before `until`.
    pub fn stands(&self, peer: usize, now: Ms) -> bool {
        now < self.until && self.standing.contains(&peer)
    }

    pub fn until(&self) -> Ms {
        self.until
    }

    pub fn next(&self, reach: &Reach, now: Ms) -> Option<Step> {
        let back = self.written.iter().find(|p| reach.answers(**p, now));
        if let Some(peer) = back {
            return Some(Step::Lift { peer: *peer });
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
        }
        self.lease = Some(lease);
        // A steady clock may be off by 0.05%.
        self.until = sent + LIFE - LIFE / 500;
        self.touch_at = sent + TOUCH;
    }

    /// The lease has ended, and all bars with it.
    pub fn lost(&mut self) {
        *self = Bars::new(std::mem::take(&mut self.written));
    }

    /// A bar is about to be written, or lifted: from now on it may be there
    /// or not.
    pub fn begun(&mut self, peer: usize) {
        self.standing.remove(&peer);
        self.written.insert(peer);
    }

    pub fn barred(&mut self, peer: usize) {
        self.standing.insert(peer);
    }

    pub fn lifted(&mut self, peer: usize) {
        self.written.remove(&peer);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::coordination::reach::Contact;

    fn silent(r: &mut Reach, peer: usize) {
        r.asked(peer, 0);
        r.ended(peer, Contact::Silent, 0);
    }

    #[test]
    fn a_bar_counts_from_its_writing_until_it_may_be_lifted_or_its_lease_ends() {
        let mut reach = Reach::new("n0", &["n1", "n2"]);
        let mut bars = Bars::new([]);
        assert_eq!(bars.next(&reach, 9000), None);
        silent(&mut reach, 1);
        assert_eq!(bars.next(&reach, 500), None, "it may be slow");
        assert_eq!(bars.next(&reach, 9000), Some(Step::Lease(None)));
        bars.leased(7, 9000);
        let bar = Step::Bar { peer: 1, lease: 7 };
        assert_eq!(bars.next(&reach, 9100), Some(bar));
        bars.begun(1);
        assert!(!bars.stands(1, 9200), "no answer yet");
        bars.barred(1);
        assert!(bars.stands(1, 9200) && !bars.stands(0, 9200));
        assert_eq!(bars.next(&reach, 9300), None);
        assert_eq!(bars.next(&reach, 13_000), Some(Step::Lease(Some(7))));
        assert!(!bars.stands(1, 9000 + LIFE));
        bars.leased(7, 13_000);
        assert!(bars.stands(1, 9000 + LIFE));
        // It is back: not counted from before the key is dropped.
        reach.asked(1, 14_000);
        reach.ended(1, Contact::Answers, 14_000);
        assert_eq!(bars.next(&reach, 14_000), Some(Step::Lift { peer: 1 }));
        bars.begun(1);
        assert!(!bars.stands(1, 14_001));
        assert_eq!(bars.next(&reach, 14_001), Some(Step::Lift { peer: 1 }));
        bars.lifted(1);
        assert_eq!(bars.next(&reach, 14_002), None);
    }

    #[test]
    fn bars_of_an_earlier_term_are_lifted_but_never_counted() {
        let reach = Reach::new("n0", &["n1", "n2"]);
        let bars = Bars::new([0]);
        assert!(!bars.stands(0, 1));
        assert_eq!(bars.next(&reach, 1), Some(Step::Lift { peer: 0 }));
    }

    #[test]
    fn a_leader_that_hears_few_bars_nobody() {
        let mut reach = Reach::new("n0", &["n1", "n2"]);
        silent(&mut reach, 0);
        silent(&mut reach, 1);
        assert_eq!(Bars::new([]).next(&reach, 9000), None);
    }
}
