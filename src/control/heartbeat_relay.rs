//! Which workers' reports a node that doesn't lead passes on to the leader.
//!
//! Guards against a cut between the leader and the workers alone: a worker
//! needs 5 s of its lease to try another node, and would be sent straight back.

use crate::state::Millis;
use std::collections::HashMap;

/// A worker that was sent to the leader and is back within this time could
/// not reach it; one back sooner than `RETURNED_AFTER_MS` has not tried for long.
const RETURNED_WITHIN_MS: Millis = 12_000;
const RETURNED_AFTER_MS: Millis = 1_500;
/// For how long its reports are then relayed before it is sent there again.
const RELAY_FOR_MS: Millis = 30_000;
const MAX_WORKERS: usize = 2000;

#[derive(Debug, Clone, Copy, Default)]
struct Bounce {
    sent_away: Option<Millis>,
    relay_until: Millis,
}

#[derive(Debug, Default)]
pub struct HeartbeatRelays {
    workers: HashMap<String, Bounce>,
}

impl HeartbeatRelays {
    /// Another leader: what was noted of the old one means nothing.
    pub fn clear(&mut self) {
        self.workers.clear();
    }

    /// The leader has not heard these machines for a while.
    pub fn relay_requested(&mut self, machines: &[String], for_ms: Millis, now: Millis) {
        let until = now + for_ms.min(RELAY_FOR_MS);
        for m in machines.iter().take(MAX_WORKERS / 2) {
            let b = self.workers.entry(m.clone()).or_default();
            b.relay_until = b.relay_until.max(until);
        }
    }

    /// Whether this worker's report is to be relayed; notes that the worker
    /// is sent to the leader if not.
    pub fn should_relay(&mut self, machine: &str, now: Millis) -> bool {
        if self.workers.len() >= MAX_WORKERS {
            self.workers.clear();
        }
        let b = self.workers.entry(machine.to_owned()).or_default();
        if now < b.relay_until {
            return true;
        }
        if let Some(at) = b.sent_away
            && (at + RETURNED_AFTER_MS..at + RETURNED_WITHIN_MS).contains(&now)
            && b.relay_until <= at
        {
            b.relay_until = now + RELAY_FOR_MS;
            return true;
        }
        b.sent_away = Some(now);
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_worker_is_sent_to_the_leader_unless_that_does_not_hear_it() {
        let mut r = HeartbeatRelays::default();
        assert!(!r.should_relay("i-1", 100));
        // The leader asks for it: no time is lost on a second try.
        r.relay_requested(&["i-1".into()], 15_000, 2_000);
        assert!(r.should_relay("i-1", 5_000));
        assert!(r.should_relay("i-1", 16_000));
        assert!(!r.should_relay("i-2", 16_000));
    }

    #[test]
    fn a_worker_that_comes_back_is_relayed_for_a_while_then_sent_there_again() {
        let mut r = HeartbeatRelays::default();
        assert!(!r.should_relay("i-1", 0));
        assert!(!r.should_relay("i-1", 500), "that was no try");
        assert!(r.should_relay("i-1", 6_000));
        assert!(r.should_relay("i-1", 35_000));
        assert!(!r.should_relay("i-1", 36_500));
        r.clear();
        assert!(!r.should_relay("i-1", 40_000));
    }
}
