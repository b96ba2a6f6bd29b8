//! Which of the other controllers answer, from what was asked of them.
//!
//! A node that hangs gives no error: without this, each request to it and
//! each worker that is sent there takes a time-out of its own.

use crate::state::Ms;

/// A question that has been open for so long makes a node silent.
pub const PATIENCE: Ms = 350;
/// A node silent for so long is not just slow.
const SURE: Ms = 2000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    Answers,
    /// It refuses connections, or breaks them: it may yet serve others.
    Refuses,
    /// Nothing comes back.
    Silent,
}

/// Where a worker that reports to a node that doesn't lead is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Foreman {
    /// The leader, who is taken to answer.
    Leads(usize),
    /// Nobody that leads answers: to another that does, until one leads.
    Answers(usize),
    /// To whichever it tries next.
    Next,
}

#[derive(Debug, Clone)]
struct Peer {
    last: Contact,
    /// Since when the oldest open question waits, and how many are open.
    asked: Option<(Ms, u32)>,
    ended: Ms,
    /// Since when it has given no answer, nor refused one.
    silent_since: Option<Ms>,
}

#[derive(Debug)]
pub struct Reach {
    peers: Vec<Peer>,
    /// All controllers in the order in which a worker tries them, as far as
    /// that can be guessed; `None` is this one.
    ring: Vec<Option<usize>>,
    /// Whose turn it is to be named to a worker while no leader answers.
    turn: usize,
}

impl Reach {
    /// `names`: of the others. Workers are taken to go by the names' order,
    /// numbers in them by value; if they don't, nothing but time is lost.
    pub fn new(me: &str, names: &[&str]) -> Self {
        let fresh = Peer {
            last: Contact::Answers,
            asked: None,
            ended: 0,
            silent_since: None,
        };
        let name = |p: &Option<usize>| p.map_or(me, |p| names[p]);
        let mut ring: Vec<Option<usize>> = (0..names.len()).map(Some).collect();
        ring.push(None);
        // Of names that differ in a number, the shorter has the lesser one.
        ring.sort_by_key(|p| (name(p).len(), name(p)));
        Reach {
            peers: vec![fresh; names.len()],
            ring,
            turn: 0,
        }
    }

    fn after(&self, node: Option<usize>) -> Option<usize> {
        let at = self.ring.iter().position(|n| *n == node).unwrap_or(0);
        self.ring[(at + 1) % self.ring.len()]
    }

    /// The node that a worker tries after this one.
    pub fn successor(&self) -> Option<usize> {
        self.after(None)
    }

    /// Whether this node is a poor place for the lead: the one that workers
    /// try after it hangs, and there is a node of which that is not so. Were
    /// this one to hang as well, all workers would wait for two nodes in a
    /// row, which takes as long as their lease.
    pub fn poor_place(&self, now: Ms) -> bool {
        let answers = |node: Option<usize>| node.is_none_or(|p| self.answers(p, now));
        self.successor().is_some_and(|p| self.hangs(p, now))
            && self
                .ring
                .iter()
                .any(|n| n.is_some() && answers(*n) && answers(self.after(*n)))
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
            p.silent_since = match how {
                Contact::Silent => p.silent_since.or(Some(now)),
                _ => None,
            };
            p.ended = now;
            p.asked = match p.asked {
                Some((since, open)) if open > 1 => {
                    let since = if how == Contact::Answers { now } else { since };
                    Some((since, open - 1))
                }
                _ => None,
            };
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

    pub fn answers(&self, peer: usize, now: Ms) -> bool {
        self.contact(peer, now) == Contact::Answers
    }

    /// It has been silent for longer than one that is slow.
    fn hangs(&self, peer: usize, now: Ms) -> bool {
        let since = self.peers.get(peer).and_then(|p| p.silent_since);
        since.is_some_and(|at| now >= at + SURE)
    }

    pub fn hanging(&self, now: Ms) -> Vec<usize> {
        (0..self.peers.len())
            .filter(|p| self.hangs(*p, now))
            .collect()
    }

    /// How many other nodes there are.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether to ask it just to learn that: nothing else was asked for so
    /// long.
    pub fn due(&self, peer: usize, every: Ms, now: Ms) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|p| p.asked.is_none() && now >= p.ended + every)
    }

    /// Not to a leader that is only remembered: each worker would wait for it
    /// until its report times out, which takes half of its lease.
    pub fn foreman(&mut self, leader: Option<usize>, now: Ms) -> Foreman {
        if let Some(leader) = leader.filter(|p| self.contact(*p, now) != Contact::Silent) {
            return Foreman::Leads(leader);
        }
        let n = self.peers.len();
        self.turn = self.turn.wrapping_add(1);
        (0..n)
            .map(|i| self.turn.wrapping_add(i) % n)
            .find(|p| self.answers(*p, now))
            .map_or(Foreman::Next, Foreman::Answers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_that_hangs_is_silent_before_the_question_times_out() {
        let mut r = Reach::new("n-0", &["n-1", "n-2", "n-3"]);
        r.asked(0, 1000);
        assert_eq!(r.contact(0, 1000 + PATIENCE), Contact::Answers);
        assert_eq!(r.contact(0, 1001 + PATIENCE), Contact::Silent);
        // Many questions are open: one answer shows that it is only slow.
        r.asked(0, 1100);
        r.ended(0, Contact::Answers, 1500);
        assert_eq!(r.contact(0, 1600), Contact::Answers);
        r.ended(0, Contact::Silent, 1900);
        assert_eq!(r.contact(0, 1900), Contact::Silent);
        assert!(!r.due(0, 300, 2100) && r.due(0, 300, 2200));
    }

    #[test]
    fn the_lead_is_best_where_the_node_that_workers_try_next_answers() {
        // Workers try n-2, n-9, n-10 and n-2 again.
        let mut r = Reach::new("n-9", &["n-10", "n-2"]);
        assert_eq!(r.successor(), Some(0));
        r.asked(0, 0);
        r.ended(0, Contact::Silent, 700);
        assert!(!r.poor_place(800), "it may just be slow");
        assert!(r.poor_place(700 + SURE), "n-2 is followed by this one");
        // A node that refuses costs a worker next to nothing.
        r.asked(0, 4000);
        r.ended(0, Contact::Refuses, 4001);
        assert!(!r.poor_place(9000));
        // Nobody is better placed if the other one hangs too.
        for p in [0, 1] {
            r.asked(p, 10_000);
            r.ended(p, Contact::Silent, 10_700);
        }
        assert!(!r.poor_place(20_000));
    }

    #[test]
    fn a_worker_is_sent_to_nodes_that_answer() {
        let mut r = Reach::new("n-0", &["n-1", "n-2", "n-3"]);
        assert_eq!(r.foreman(Some(1), 0), Foreman::Leads(1));
        r.asked(1, 0);
        r.ended(1, Contact::Refuses, 10);
        assert_eq!(r.foreman(Some(1), 20), Foreman::Leads(1), "soon tried");
        r.asked(1, 20);
        r.ended(1, Contact::Silent, 700);
        let sent: Vec<Foreman> = (0..4).map(|_| r.foreman(Some(1), 700)).collect();
        assert!(sent.contains(&Foreman::Answers(0)) && sent.contains(&Foreman::Answers(2)));
        assert!(!sent.contains(&Foreman::Answers(1)));
        for p in [0, 2] {
            r.asked(p, 700);
            r.ended(p, Contact::Silent, 1400);
        }
        assert_eq!(r.foreman(None, 1400), Foreman::Next);
    }
}
