//! Which of the other controllers answer, from what was asked of them.
//!
//! A node that hangs gives no error: without this, each request to it and
//! each worker that is sent there takes a time-out of its own.

use crate::state::Millis;

/// A question that has been open for so long makes a node unresponsive.
pub const RESPONSE_PATIENCE_MS: Millis = 350;
/// A node unresponsive for so long is not just slow.
const UNRESPONSIVE_AFTER_MS: Millis = 2000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerHealth {
    Healthy,
    /// It refuses connections, or breaks them: it may yet serve others.
    Refusing,
    /// Nothing comes back.
    Unresponsive,
}

/// Where a worker that reports to a node that doesn't lead is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectTarget {
    /// The leader, who is taken to answer.
    Leader(usize),
    /// Nobody that leads answers: to another that does, until one leads.
    Healthy(usize),
    /// To whichever it tries next.
    Any,
}

#[derive(Debug, Clone)]
struct Peer {
    last_health: PeerHealth,
    /// Since when the oldest open question waits, and how many are open.
    open_requests: Option<(Millis, u32)>,
    last_ended: Millis,
    /// Since when it has given no answer, nor refused one.
    unresponsive_since: Option<Millis>,
}

#[derive(Debug)]
pub struct FailureDetector {
    peers: Vec<Peer>,
    /// All controllers in the order in which a worker tries them, as far as
    /// that can be guessed; `None` is this one.
    failover_order: Vec<Option<usize>>,
    /// Whose turn it is to be named to a worker while no leader answers.
    next_redirect: usize,
}

impl FailureDetector {
    /// `names`: of the others. Workers are taken to go by the names' order,
    /// numbers in them by value; if they don't, nothing but time is lost.
    pub fn new(me: &str, names: &[&str]) -> Self {
        let fresh = Peer {
            last_health: PeerHealth::Healthy,
            open_requests: None,
            last_ended: 0,
            unresponsive_since: None,
        };
        let name = |p: &Option<usize>| p.map_or(me, |p| names[p]);
        let mut ring: Vec<Option<usize>> = (0..names.len()).map(Some).collect();
        ring.push(None);
        // Of names that differ in a number, the shorter has the lesser one.
        ring.sort_by_key(|p| (name(p).len(), name(p)));
        FailureDetector {
            peers: vec![fresh; names.len()],
            failover_order: ring,
            next_redirect: 0,
        }
    }

    fn after(&self, node: Option<usize>) -> Option<usize> {
        let at = self
            .failover_order
            .iter()
            .position(|n| *n == node)
            .unwrap_or(0);
        self.failover_order[(at + 1) % self.failover_order.len()]
    }

    /// The node that a worker tries after this one.
    pub fn successor(&self) -> Option<usize> {
        self.after(None)
    }

    /// Whether this node is a poor place for the lead: the one that workers
    /// try after it hangs, and there is a node of which that is not so. Were
    /// this one to hang as well, all workers would wait for two nodes in a
    /// row, which takes as long as their lease.
    pub fn unfavourable_failover_position(&self, now: Millis) -> bool {
        let answers = |node: Option<usize>| node.is_none_or(|p| self.is_healthy(p, now));
        self.successor()
            .is_some_and(|p| self.is_unresponsive(p, now))
            && self
                .failover_order
                .iter()
                .any(|n| n.is_some() && answers(*n) && answers(self.after(*n)))
    }

    pub fn request_sent(&mut self, peer: usize, now: Millis) {
        if let Some(p) = self.peers.get_mut(peer) {
            let (since, open) = p.open_requests.unwrap_or((now, 0));
            p.open_requests = Some((since, open + 1));
        }
    }

    /// How a question ended. An answer also tells that what is still open is
    /// not lost, only slow.
    pub fn request_ended(&mut self, peer: usize, how: PeerHealth, now: Millis) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.last_health = how;
            p.unresponsive_since = match how {
                PeerHealth::Unresponsive => p.unresponsive_since.or(Some(now)),
                _ => None,
            };
            p.last_ended = now;
            p.open_requests = match p.open_requests {
                Some((since, open)) if open > 1 => {
                    let since = if how == PeerHealth::Healthy {
                        now
                    } else {
                        since
                    };
                    Some((since, open - 1))
                }
                _ => None,
            };
        }
    }

    pub fn health(&self, peer: usize, now: Millis) -> PeerHealth {
        match self.peers.get(peer) {
            Some(p) => match p.open_requests {
                Some((since, _)) if now > since + RESPONSE_PATIENCE_MS => PeerHealth::Unresponsive,
                _ => p.last_health,
            },
            None => PeerHealth::Unresponsive,
        }
    }

    pub fn is_healthy(&self, peer: usize, now: Millis) -> bool {
        self.health(peer, now) == PeerHealth::Healthy
    }

    /// It has been unresponsive for longer than one that is slow.
    fn is_unresponsive(&self, peer: usize, now: Millis) -> bool {
        let since = self.peers.get(peer).and_then(|p| p.unresponsive_since);
        since.is_some_and(|at| now >= at + UNRESPONSIVE_AFTER_MS)
    }

    pub fn unresponsive_peers(&self, now: Millis) -> Vec<usize> {
        (0..self.peers.len())
            .filter(|p| self.is_unresponsive(*p, now))
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
    pub fn probe_due(&self, peer: usize, every: Millis, now: Millis) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|p| p.open_requests.is_none() && now >= p.last_ended + every)
    }

    /// Not to a leader that is only remembered: each worker would wait for it
    /// until its report times out, which takes half of its lease.
    pub fn redirect_target(&mut self, leader: Option<usize>, now: Millis) -> RedirectTarget {
        if let Some(leader) = leader.filter(|p| self.health(*p, now) != PeerHealth::Unresponsive) {
            return RedirectTarget::Leader(leader);
        }
        let n = self.peers.len();
        self.next_redirect = self.next_redirect.wrapping_add(1);
        (0..n)
            .map(|i| self.next_redirect.wrapping_add(i) % n)
            .find(|p| self.is_healthy(*p, now))
            .map_or(RedirectTarget::Any, RedirectTarget::Healthy)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_that_hangs_is_silent_before_the_question_times_out() {
        let mut r = FailureDetector::new("n-0", &["n-1", "n-2", "n-3"]);
        r.request_sent(0, 1000);
        assert_eq!(
            r.health(0, 1000 + RESPONSE_PATIENCE_MS),
            PeerHealth::Healthy
        );
        assert_eq!(
            r.health(0, 1001 + RESPONSE_PATIENCE_MS),
            PeerHealth::Unresponsive
        );
        // Many questions are open: one answer shows that it is only slow.
        r.request_sent(0, 1100);
        r.request_ended(0, PeerHealth::Healthy, 1500);
        assert_eq!(r.health(0, 1600), PeerHealth::Healthy);
        r.request_ended(0, PeerHealth::Unresponsive, 1900);
        assert_eq!(r.health(0, 1900), PeerHealth::Unresponsive);
        assert!(!r.probe_due(0, 300, 2100) && r.probe_due(0, 300, 2200));
    }

    #[test]
    fn the_lead_is_best_where_the_node_that_workers_try_next_answers() {
        // Workers try n-2, n-9, n-10 and n-2 again.
        let mut r = FailureDetector::new("n-9", &["n-10", "n-2"]);
        assert_eq!(r.successor(), Some(0));
        r.request_sent(0, 0);
        r.request_ended(0, PeerHealth::Unresponsive, 700);
        assert!(
            !r.unfavourable_failover_position(800),
            "it may just be slow"
        );
        assert!(
            r.unfavourable_failover_position(700 + UNRESPONSIVE_AFTER_MS),
            "n-2 is followed by this one"
        );
        // A node that refuses costs a worker next to nothing.
        r.request_sent(0, 4000);
        r.request_ended(0, PeerHealth::Refusing, 4001);
        assert!(!r.unfavourable_failover_position(9000));
        // Nobody is better placed if the other one hangs too.
        for p in [0, 1] {
            r.request_sent(p, 10_000);
            r.request_ended(p, PeerHealth::Unresponsive, 10_700);
        }
        assert!(!r.unfavourable_failover_position(20_000));
    }

    #[test]
    fn a_worker_is_sent_to_nodes_that_answer() {
        let mut r = FailureDetector::new("n-0", &["n-1", "n-2", "n-3"]);
        assert_eq!(r.redirect_target(Some(1), 0), RedirectTarget::Leader(1));
        r.request_sent(1, 0);
        r.request_ended(1, PeerHealth::Refusing, 10);
        assert_eq!(
            r.redirect_target(Some(1), 20),
            RedirectTarget::Leader(1),
            "soon tried"
        );
        r.request_sent(1, 20);
        r.request_ended(1, PeerHealth::Unresponsive, 700);
        let sent: Vec<RedirectTarget> = (0..4).map(|_| r.redirect_target(Some(1), 700)).collect();
        assert!(
            sent.contains(&RedirectTarget::Healthy(0))
                && sent.contains(&RedirectTarget::Healthy(2))
        );
        assert!(!sent.contains(&RedirectTarget::Healthy(1)));
        for p in [0, 2] {
            r.request_sent(p, 700);
            r.request_ended(p, PeerHealth::Unresponsive, 1400);
        }
        assert_eq!(r.redirect_target(None, 1400), RedirectTarget::Any);
    }
}
