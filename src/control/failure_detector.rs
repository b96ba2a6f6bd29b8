//! Failure detector: which of the other controllers answer, judged by the requests
//! sent to them.
//!
//! An unresponsive node returns no error. Without this, each request to it, and
//! each worker that is redirected to it, would wait for a time-out of its own.
//!
//! Owns: the health of each peer and the order in which workers are expected to
//! try the controllers. Called by `server::peers`, which reports each request and
//! its result, by `server::heartbeats` for redirects, and by the exclusions and
//! the leadership loop.
//!
//! Must never: decide who leads. A peer that is reported as unresponsive may be
//! running and leading.

use crate::state::Millis;

/// A peer with a request that has waited longer than this counts as unresponsive.
pub const RESPONSE_PATIENCE_MS: Millis = 350;
/// A peer that was unresponsive for this long isn't merely slow.
const UNRESPONSIVE_AFTER_MS: Millis = 2000;

/// How a peer last responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerHealth {
    /// It answered.
    Healthy,
    /// It refuses connections, or breaks them. It may still serve others.
    Refusing,
    /// It gives no answer in time.
    Unresponsive,
}

/// Where a node that doesn't lead redirects a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectTarget {
    /// To the leader, which is expected to answer.
    Leader(usize),
    /// No leader answers: to a healthy peer, until there is one.
    Healthy(usize),
    /// To whichever controller the worker tries next.
    Any,
}

#[derive(Debug, Clone)]
struct Peer {
    last_health: PeerHealth,
    open_requests: Option<OpenRequests>,
    last_ended: Millis,
    /// Since when every request has ended without an answer or a refusal.
    unresponsive_since: Option<Millis>,
}

/// Requests to a peer that have not ended.
#[derive(Debug, Clone, Copy)]
struct OpenRequests {
    /// Since when there has been one, without an answer to any.
    waiting_since: Millis,
    count: u32,
}

/// The health of all other controllers, by their index in the settings.
#[derive(Debug)]
pub struct FailureDetector {
    peers: Vec<Peer>,
    /// All controllers in the order in which workers are expected to try them;
    /// `None` is this one.
    failover_order: Vec<Option<usize>>,
    /// Rotates redirects among the healthy peers while no leader answers.
    next_redirect: usize,
}

impl FailureDetector {
    /// `node_name`: of this node. Workers are expected to try the controllers in
    /// the order of their names, numbers by value; if they don't, a failover takes
    /// longer but stays safe.
    pub fn new(node_name: &str, peer_names: &[&str]) -> Self {
        let unknown_peer = Peer {
            last_health: PeerHealth::Healthy,
            open_requests: None,
            last_ended: 0,
            unresponsive_since: None,
        };
        let name = |node: &Option<usize>| node.map_or(node_name, |peer| peer_names[peer]);
        let mut failover_order: Vec<Option<usize>> = (0..peer_names.len()).map(Some).collect();
        failover_order.push(None);
        // Of names that differ in a number, the shorter has the lower one.
        failover_order.sort_by_key(|node| (name(node).len(), name(node)));
        FailureDetector {
            peers: vec![unknown_peer; peer_names.len()],
            failover_order,
            next_redirect: 0,
        }
    }

    /// The controller that workers try after `node`.
    fn next_in_failover_order(&self, node: Option<usize>) -> Option<usize> {
        let position = self
            .failover_order
            .iter()
            .position(|other| *other == node)
            .unwrap_or(0);
        self.failover_order[(position + 1) % self.failover_order.len()]
    }

    /// The peer that workers try after this node; `None` without peers.
    pub fn successor(&self) -> Option<usize> {
        self.next_in_failover_order(None)
    }

    /// Whether this node is unfavourable as leader: the peer that workers try
    /// after it is unresponsive, and another node has a better position. If this
    /// node became unresponsive too, all workers would wait for two time-outs in a
    /// row, which takes as long as their lease.
    pub fn unfavourable_failover_position(&self, now: Millis) -> bool {
        let is_available = |node: Option<usize>| node.is_none_or(|peer| self.is_healthy(peer, now));
        let is_favourable = |node: Option<usize>| {
            node.is_some() && is_available(node) && is_available(self.next_in_failover_order(node))
        };
        self.successor()
            .is_some_and(|peer| self.is_unresponsive(peer, now))
            && self.failover_order.iter().copied().any(is_favourable)
    }

    /// A request to the peer begins.
    pub fn request_sent(&mut self, peer: usize, now: Millis) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        let open = peer.open_requests.get_or_insert(OpenRequests {
            waiting_since: now,
            count: 0,
        });
        open.count += 1;
    }

    /// A request to the peer ended with `result`. An answer to one request shows
    /// that the others are slow rather than lost, so their wait starts anew.
    pub fn request_ended(&mut self, peer: usize, result: PeerHealth, now: Millis) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        peer.last_health = result;
        peer.last_ended = now;
        peer.unresponsive_since = match result {
            PeerHealth::Unresponsive => peer.unresponsive_since.or(Some(now)),
            PeerHealth::Healthy | PeerHealth::Refusing => None,
        };
        peer.open_requests = peer
            .open_requests
            .filter(|open| open.count > 1)
            .map(|open| OpenRequests {
                waiting_since: match result {
                    PeerHealth::Healthy => now,
                    _ => open.waiting_since,
                },
                count: open.count - 1,
            });
    }

    /// How the peer responds, with requests that wait too long taken into account.
    pub fn health(&self, peer: usize, now: Millis) -> PeerHealth {
        let Some(peer) = self.peers.get(peer) else {
            return PeerHealth::Unresponsive;
        };
        match peer.open_requests {
            Some(open) if now > open.waiting_since + RESPONSE_PATIENCE_MS => {
                PeerHealth::Unresponsive
            }
            _ => peer.last_health,
        }
    }

    /// Whether the peer answers.
    pub fn is_healthy(&self, peer: usize, now: Millis) -> bool {
        self.health(peer, now) == PeerHealth::Healthy
    }

    /// Whether the peer was unresponsive for longer than one that is merely slow.
    fn is_unresponsive(&self, peer: usize, now: Millis) -> bool {
        self.peers
            .get(peer)
            .and_then(|peer| peer.unresponsive_since)
            .is_some_and(|since| now >= since + UNRESPONSIVE_AFTER_MS)
    }

    /// The peers that are unresponsive rather than merely slow.
    pub fn unresponsive_peers(&self, now: Millis) -> Vec<usize> {
        (0..self.peers.len())
            .filter(|peer| self.is_unresponsive(*peer, now))
            .collect()
    }

    /// How many other controllers there are.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether this is the only controller.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether to send a request just to learn the peer's health: none is under
    /// way, and none has ended within `interval`.
    pub fn probe_due(&self, peer: usize, interval: Millis, now: Millis) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|peer| peer.open_requests.is_none() && now >= peer.last_ended + interval)
    }

    /// Where to redirect a worker. Never to an unresponsive leader: each worker
    /// would wait until its heartbeat times out, which takes half of its lease.
    pub fn redirect_target(&mut self, leader: Option<usize>, now: Millis) -> RedirectTarget {
        if let Some(leader) =
            leader.filter(|peer| self.health(*peer, now) != PeerHealth::Unresponsive)
        {
            return RedirectTarget::Leader(leader);
        }
        let peer_count = self.peers.len();
        self.next_redirect = self.next_redirect.wrapping_add(1);
        (0..peer_count)
            .map(|offset| self.next_redirect.wrapping_add(offset) % peer_count)
            .find(|peer| self.is_healthy(*peer, now))
            .map_or(RedirectTarget::Any, RedirectTarget::Healthy)
    }
}

#[cfg(test)]
mod tests;
