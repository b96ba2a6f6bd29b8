//! Selects the workers whose heartbeats a node that is not the leader relays to the
//! leader.
//!
//! The network may fail between the leader and some workers only. Such a worker needs 5
//! s of its lease to try another node, which would redirect it to the same leader
//! again.
//!
//! Owns: what this node remembers of the workers that it redirected. Called by
//! `server::heartbeats` for each heartbeat, and by `server::peers` when the leader
//! requests a relay.
//!
//! Must never: answer a heartbeat, or relay a worker indefinitely.

use crate::state::Millis;
use std::collections::HashMap;

/// A redirected worker that returns within this time could not reach the leader.
const RETURNED_WITHIN_MS: Millis = 12_000;
/// A redirected worker that returns sooner than this has not waited for the leader's
/// response.
const RETURNED_AFTER_MS: Millis = 1_500;
/// How long a worker's heartbeats are relayed before the worker is redirected again.
const RELAY_MS: Millis = 30_000;
/// Maximum number of workers that are remembered.
const MAX_WORKERS: usize = 2000;

#[derive(Debug, Clone, Copy, Default)]
struct WorkerRelay {
    redirected_at: Option<Millis>,
    relay_until: Millis,
}

/// The workers that this node has redirected, or whose heartbeats it relays.
#[derive(Debug, Default)]
pub struct HeartbeatRelays {
    workers: HashMap<String, WorkerRelay>,
}

impl HeartbeatRelays {
    /// Forgets all workers. Called when the leader changes, as the workers may be able
    /// to reach the new leader.
    pub fn clear(&mut self) {
        self.workers.clear();
    }

    /// Records that the leader misses heartbeats of these machines and asks for a
    /// relay.
    pub fn request_relay(&mut self, machines: &[String], duration: Millis, now: Millis) {
        let until = now + duration.min(RELAY_MS);
        for machine in machines.iter().take(MAX_WORKERS / 2) {
            let worker = self.workers.entry(machine.clone()).or_default();
            worker.relay_until = worker.relay_until.max(until);
        }
    }

    /// Whether this worker's heartbeat is relayed. If not, the worker is assumed to be
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
