//! Selection of the node that receives the next request.
//!
//! The selector only decides: it reads no clock and opens no sockets. Callers
//! pass the time and report how each attempt ended.

use crate::retry::{Attempt, Millis};

/// Number of consecutive failed connections after which a node is skipped.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a node is skipped after [`MAX_CONSECUTIVE_FAILURES`].
const SKIP_MS: Millis = 3_000;

/// Selects nodes round-robin, but stays with a node that serves requests and
/// skips nodes whose connections fail.
#[derive(Debug)]
pub(crate) struct NodeSelector {
    nodes: Vec<NodeHealth>,
    next: usize,
}

#[derive(Debug, Clone, Default)]
struct NodeHealth {
    /// Number of consecutive failed connections.
    failed_connections: u32,
    skipped_until: Millis,
}

impl NodeSelector {
    /// Creates a selector that starts at node `first`. Clients pass different
    /// values so that they spread over the nodes.
    pub(crate) fn new(nodes: usize, first: usize) -> Self {
        NodeSelector {
            nodes: vec![NodeHealth::default(); nodes.max(1)],
            next: first % nodes.max(1),
        }
    }

    /// Returns the index of the first node, starting with the next in
    /// round-robin order, that is not skipped at `now`. If all nodes are
    /// skipped, returns the next in order.
    pub(crate) fn choose(&self, now: Millis) -> usize {
        let count = self.nodes.len();
        (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|node| self.nodes[*node].skipped_until <= now)
            .unwrap_or(self.next)
    }

    /// Records how an attempt at a node ended. The node remains the preferred
    /// one only if it served the request, that is, answered with a status below
    /// 500 other than 429.
    pub(crate) fn record(&mut self, node: usize, attempt: &Attempt, now: Millis) {
        let count = self.nodes.len();
        let Some(health) = self.nodes.get_mut(node) else {
            return;
        };
        match attempt {
            Attempt::NotSent => {
                health.failed_connections += 1;
                if health.failed_connections >= MAX_CONSECUTIVE_FAILURES {
                    health.failed_connections = 0;
                    health.skipped_until = now + SKIP_MS;
                }
            }
            _ => health.failed_connections = 0,
        }
        let served =
            matches!(attempt, Attempt::Answered { status, .. } if *status < 500 && *status != 429);
        self.next = if served { node } else { (node + 1) % count };
    }
}

#[cfg(test)]
mod tests;
