//! Which workers' heartbeats a node that doesn't lead relays to the leader.
//!
//! The network between the leader and some workers alone may fail. Such a worker
//! needs 5 s of its lease to try another node, which would redirect it to the same
//! leader again.
//!
//! Owns: what this node remembers of the workers it redirected. Called by
//! `server::heartbeats` for each heartbeat, and by `server::peers` when the leader
//! requests a relay.
//!
//! Must never: answer a heartbeat, or keep a worker on the relay for good.

use crate::state::Millis;
use std::collections::HashMap;

/// A redirected worker that returns within this time could not reach the leader.
const RETURNED_WITHIN_MS: Millis = 12_000;
/// A redirected worker that returns sooner hasn't waited for the leader's answer.
const RETURNED_AFTER_MS: Millis = 1_500;
/// How long a worker is relayed before it is redirected again.
const RELAY_MS: Millis = 30_000;
/// Workers that are remembered.
const MAX_WORKERS: usize = 2000;

#[derive(Debug, Clone, Copy, Default)]
struct WorkerRelay {
    redirected_at: Option<Millis>,
    relay_until: Millis,
}

/// The workers that this node has redirected, or relays.
#[derive(Debug, Default)]
pub struct HeartbeatRelays {
    workers: HashMap<String, WorkerRelay>,
}

impl HeartbeatRelays {
    /// Forgets all workers: what they could not reach is no longer the leader.
    pub fn clear(&mut self) {
        self.workers.clear();
    }

    /// The leader misses heartbeats of these machines, and asks for a relay.
    pub fn relay_requested(&mut self, machines: &[String], duration: Millis, now: Millis) {
        let until = now + duration.min(RELAY_MS);
        for machine in machines.iter().take(MAX_WORKERS / 2) {
            let worker = self.workers.entry(machine.clone()).or_default();
            worker.relay_until = worker.relay_until.max(until);
        }
    }

    /// Whether this worker's heartbeat is relayed. If not, the worker is taken to be
    /// redirected to the leader.
    pub fn should_relay(&mut self, machine: &str, now: Millis) -> bool {
        if self.workers.len() >= MAX_WORKERS {
            self.workers.clear();
        }
        let worker = self.workers.entry(machine.to_owned()).or_default();
        if now < worker.relay_until {
            return true;
        }
        if let Some(redirected_at) = worker.redirected_at
            && (redirected_at + RETURNED_AFTER_MS..redirected_at + RETURNED_WITHIN_MS)
                .contains(&now)
            && worker.relay_until <= redirected_at
        {
            worker.relay_until = now + RELAY_MS;
            return true;
        }
        worker.redirected_at = Some(now);
        false
    }
}

#[cfg(test)]
mod tests;
