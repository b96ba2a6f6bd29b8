//! Failure detector: determines which of the other controllers answer, from the
//! requests sent to them.
//!
//! An unresponsive node returns no error. Without the failure detector, each request to
//! such a node, and each worker that is redirected to it, would wait for its own
//! timeout.
//!
//! Owns: the health of each peer, and the order in which workers are expected to try
//! the controllers. Called by `server::peers`, which reports each request and its
//! result, by `server::heartbeats` for redirects, by the exclusions and by the
//! leadership loop.
//!
//! Must never: decide who leads. A peer that is reported as unresponsive may be running
//! and leading.

use crate::state::Millis;

/// A peer counts as unresponsive while a request to it has waited longer than this.
pub const UNRESPONSIVE_REQUEST_AGE_MS: Millis = 350;
/// A peer that has been unresponsive for this long is persistently unresponsive, rather
/// than slow.
const UNRESPONSIVE_AFTER_MS: Millis = 2000;

/// Result of the latest request to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerHealth {
    /// The peer answered.
    Healthy,
    /// The peer refuses or breaks connections. It may still serve other nodes.
    Refusing,
    /// The peer did not answer in time.
    Unresponsive,
}

/// Where a node that is not the leader redirects a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectTarget {
    /// To the leader, which is expected to answer.
    Leader(usize),
    /// To a healthy peer, because no leader answers at present.
    Healthy(usize),
    /// To whichever controller the worker tries next.
    Any,
}

#[derive(Debug, Clone)]
struct Peer {
    last_health: PeerHealth,
    open_requests: Option<OpenRequests>,
    /// When a request to the peer last ended.
    last_ended: Millis,
    /// Start of the current period in which every request ended with a timeout, that
    /// is, with neither an answer nor a refusal.
    unresponsive_since: Option<Millis>,
}

/// Requests to a peer that have not ended.
#[derive(Debug, Clone, Copy)]
struct OpenRequests {
    /// Time since which at least one request has been open and no request has been
    /// answered.
    waiting_since: Millis,
    count: u32,
}

/// Health of all other controllers, by their index in the settings.
#[derive(Debug)]
pub struct FailureDetector {
    peers: Vec<Peer>,
    /// All controllers in the order in which workers are expected to try them; `None`
    /// is this node.
    failover_order: Vec<Option<usize>>,
    /// Position of the round-robin redirection among healthy peers, used while no
    /// leader answers.
    next_redirect: usize,
}

impl FailureDetector {
    /// Creates a failure detector for the node named `node_name`. Workers are expected
    /// to try the controllers in the order of their names, with numbers compared by
    /// value; if they do not, a failover takes longer but stays safe.
    pub fn new(node_name: &str, peer_names: &[&str]) -> Self {
        let initial_state = Peer {
            last_health: PeerHealth::Healthy,
            open_requests: None,
            last_ended: 0,
            unresponsive_since: None,
        };
        let name = |node: &Option<usize>| node.map_or(node_name, |peer| peer_names[peer]);
        let mut failover_order: Vec<Option<usize>> = (0..peer_names.len()).map(Some).collect();
        failover_order.push(None);
        // Where names differ in a number, the shorter name has the smaller number.
        failover_order.sort_by_key(|node| (name(node).len(), name(node)));
        FailureDetector {
            peers: vec![initial_state; peer_names.len()],
            failover_order,
            next_redirect: 0,
        }
    }

    /// Returns the controller that workers try after `node`.
    fn next_in_failover_order(&self, node: Option<usize>) -> Option<usize> {
        let position = self
            .failover_order
            .iter()
            .position(|other| *other == node)
            .unwrap_or(0);
        self.failover_order[(position + 1) % self.failover_order.len()]
    }

    /// Returns the peer that workers try after this node; `None` if there are no peers.
    pub fn successor(&self) -> Option<usize> {
        self.next_in_failover_order(None)
    }

    /// Whether this node is unfavourable as leader: the peer that workers try after
    /// this node is persistently unresponsive, and another node has a better position.
    /// If this node became unresponsive too, all workers would wait for two consecutive
    /// timeouts, which take as long as their lease.
    pub fn unfavourable_failover_position(&self, now: Millis) -> bool {
        let is_available = |node: Option<usize>| node.is_none_or(|peer| self.is_healthy(peer, now));
        let is_favourable = |node: Option<usize>| {
            node.is_some() && is_available(node) && is_available(self.next_in_failover_order(node))
        };
        self.successor()
            .is_some_and(|peer| self.is_persistently_unresponsive(peer, now))
            && self.failover_order.iter().copied().any(is_favourable)
    }

    /// Records that a request to the peer begins.
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

    /// Records that a request to the peer ended with `result`. An answer to one request
    /// shows that the other open requests are slow rather than lost, so their waiting
    /// time is restarted.
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

    /// Returns the health of the peer, taking into account open requests that have
    /// waited too long.
    pub fn health(&self, peer: usize, now: Millis) -> PeerHealth {
        let Some(peer) = self.peers.get(peer) else {
            return PeerHealth::Unresponsive;
        };
        match peer.open_requests {
            Some(open) if now > open.waiting_since + UNRESPONSIVE_REQUEST_AGE_MS => {
                PeerHealth::Unresponsive
            }
            _ => peer.last_health,
        }
    }

    /// Whether the peer answers.
    pub fn is_healthy(&self, peer: usize, now: Millis) -> bool {
        self.health(peer, now) == PeerHealth::Healthy
    }

    /// Whether the peer has been unresponsive for longer than a peer that is merely
    /// slow.
    fn is_persistently_unresponsive(&self, peer: usize, now: Millis) -> bool {
        self.peers
            .get(peer)
            .and_then(|peer| peer.unresponsive_since)
            .is_some_and(|since| now >= since + UNRESPONSIVE_AFTER_MS)
    }

    /// Returns the peers that are persistently unresponsive rather than slow.
    pub fn persistently_unresponsive_peers(&self, now: Millis) -> Vec<usize> {
        (0..self.peers.len())
            .filter(|peer| self.is_persistently_unresponsive(*peer, now))
            .collect()
    }

    /// Number of other controllers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether this is the only controller.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether to send a request only to learn the peer's health: no request is open,
    /// and none has ended within `interval`.
    pub fn probe_due(&self, peer: usize, interval: Millis, now: Millis) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|peer| peer.open_requests.is_none() && now >= peer.last_ended + interval)
    }

    /// Returns the target to which a worker is redirected. This is never an
    /// unresponsive leader: each worker would wait until its heartbeat times out, which
    /// takes half of its lease.
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
