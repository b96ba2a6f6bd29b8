//! Which node a request goes to. Decisions alone: no clock, no sockets.

use crate::retry::{Attempt, Millis};

/// Failed connections in a row after which a node is passed over.
const MAX_FAILED_CONNECTIONS: u32 = 3;
/// For how long it is passed over.
const PASS_OVER_MS: Millis = 3_000;

/// Chooses nodes: stays with one that serves requests, and otherwise goes
/// round, passing over those whose connections fail.
#[derive(Debug)]
pub(crate) struct NodeSelector {
    nodes: Vec<NodeHealth>,
    next: usize,
}

#[derive(Debug, Clone, Default)]
struct NodeHealth {
    failed_connections: u32,
    passed_over_until: Millis,
}

impl NodeSelector {
    /// `first`: where to begin, so that clients spread over the nodes.
    pub(crate) fn new(nodes: usize, first: usize) -> Self {
        NodeSelector {
            nodes: vec![NodeHealth::default(); nodes.max(1)],
            next: first % nodes.max(1),
        }
    }

    /// The index of the first node, from the next in turn on, that isn't
    /// passed over; the next in turn if all are.
    pub(crate) fn choose(&self, now: Millis) -> usize {
        let count = self.nodes.len();
        (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|node| self.nodes[*node].passed_over_until <= now)
            .unwrap_or(self.next)
    }

    /// Takes how an attempt at a node ended: the node stays the first choice
    /// only if it served the request.
    pub(crate) fn record(&mut self, node: usize, attempt: &Attempt, now: Millis) {
        let count = self.nodes.len();
        let Some(health) = self.nodes.get_mut(node) else {
            return;
        };
        match attempt {
            Attempt::NotSent => {
                health.failed_connections += 1;
                if health.failed_connections >= MAX_FAILED_CONNECTIONS {
                    health.failed_connections = 0;
                    health.passed_over_until = now + PASS_OVER_MS;
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
