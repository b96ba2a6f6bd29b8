//! Which of the other controllers answer, from what was asked of them.
//!
//! A node that hangs gives no error: without this, each request to it and
//! each worker that is sent there takes a time-out of its own.

use crate::bookkeeping::Ms;

/// A question that has been open for so long makes a node silent.
pub const PATIENCE: Ms = 350;
/// Between two questions asked only to learn whether a node answers.
pub const EVERY: Ms = 300;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    Answers,
    /// It refuses connections, or breaks them: it may yet serve others.
    Refuses,
    /// Nothing comes back.
    Silent,
}

#[derive(Debug, Clone)]
struct Peer {
    last: Contact,
    /// Since when the oldest open question waits, and how many are open.
    asked: Option<(Ms, u32)>,
    next: Ms,
}

#[derive(Debug)]
pub struct Reach {
    peers: Vec<Peer>,
}

impl Reach {
    pub fn new(peers: usize) -> Self {
        let fresh = Peer {
            last: Contact::Answers,
            asked: None,
            next: 0,
        };
        Reach {
            peers: vec![fresh; peers],
        }
    }

    pub fn asked(&mut self, peer: usize, now: Ms) {
        if let Some(p) = self.peers.get_mut(peer) {
            let (since, open) = p.asked.unwrap_or((now, 0));
            p.asked = Some((since, open + 1));
        }
    }

    /// How a question ended. An answer also tells that what is still open is
    /// not lost, only slow.
    pub fn ended(&mut self, peer: usize, how: Contact, now: Ms) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.last = how;
            p.next = now + EVERY;
            p.asked = match p.asked {
                Some((since, open)) if open > 1 => {
                    let since = if how == Contact::Answers { now } else { since };
                    Some((since, open - 1))
                }
                _ => None,
            };
        }
    }

    /// It asked something itself.
    pub fn heard(&mut self, peer: usize) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.last = Contact::Answers;
        }
    }

    pub fn contact(&self, peer: usize, now: Ms) -> Contact {
        match self.peers.get(peer) {
            Some(p) => match p.asked {
                Some((since, _)) if now > since + PATIENCE => Contact::Silent,
                _ => p.last,
            },
            None => Contact::Silent,
        }
    }

    /// Whether to ask it just to learn that: nothing else was asked lately.
    pub fn due(&self, peer: usize, now: Ms) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|p| p.asked.is_none() && now >= p.next)
    }

    /// Another node that answers, each time the next of them.
    pub fn another(&self, turn: usize, now: Ms) -> Option<usize> {
        let n = self.peers.len();
        (0..n)
            .map(|i| (turn + i) % n)
            .find(|p| self.contact(*p, now) == Contact::Answers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_that_hangs_is_silent_before_the_question_times_out() {
        let mut r = Reach::new(3);
        r.asked(0, 1000);
        assert_eq!(r.contact(0, 1000 + PATIENCE), Contact::Answers);
        assert_eq!(r.contact(0, 1001 + PATIENCE), Contact::Silent);
        // Many questions are open: one answer shows that it is only slow.
        r.asked(0, 1100);
        r.ended(0, Contact::Answers, 1500);
        assert_eq!(r.contact(0, 1600), Contact::Answers);
        r.ended(0, Contact::Silent, 1900);
        assert_eq!(r.contact(0, 1900), Contact::Silent);
        assert!(!r.due(0, 1900) && r.due(0, 1900 + EVERY));
        r.heard(0);
        assert_eq!(r.contact(0, 1950), Contact::Answers);
    }

    #[test]
    fn the_nodes_that_answer_take_turns() {
        let mut r = Reach::new(3);
        r.asked(1, 0);
        r.ended(1, Contact::Refuses, 10);
        assert_eq!(r.another(0, 20), Some(0));
        assert_eq!(r.another(1, 20), Some(2));
        for p in [0, 2] {
            r.asked(p, 20);
            r.ended(p, Contact::Silent, 500);
        }
        assert_eq!(r.another(0, 500), None);
    }
}
