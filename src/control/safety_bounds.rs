//! Durations on which the safety of the cluster depends, each derived in one place.
//!
//! Some of these durations are measured by the clock of another machine. The monotonic
//! clocks of two machines drift apart by up to 0.05%, so such a duration is lengthened
//! ([`max_local_duration`]) or shortened ([`min_local_duration`]) by more than that.
//!
//! Owns: the margins for clock drift and late timers, and the bounds that follow from
//! the worker lease and the cancellation deadline in the settings. Called by the
//! election, the exclusions, the leader and the cache of final states.
//!
//! Must never: read a clock or hold state; return a bound that is too long where a
//! shorter one is the safe side, or too short where a longer one is.

use crate::{protocol::settings::Workers, state::Millis};

/// Margin for timers that fire late.
const TIMER_MARGIN_MS: Millis = 150;
/// The margin for clock drift is the duration divided by this value, that is, 0.2%.
const CLOCK_DRIFT_DIVISOR: Millis = 500;
/// How long after sending a heartbeat a worker still accepts the response.
pub const RESPONSE_TIMEOUT_MS: Millis = 4_000;

/// Maximum time for which a user waits for an answer.
const ANSWER_TIMEOUT_MS: Millis = 5_000;

/// Maximum age of a job state that is not final when a node sends it to a user, counted
/// from the start of the read.
pub const MAX_READ_AGE_MS: Millis = 500;

/// Returns how long a node that has learned a job's final state withholds it. After
/// this time, every older answer has been sent by every node, and has reached its user
/// unless the network was unusually slow.
pub fn final_state_hold_ms() -> Millis {
    max_local_duration(MAX_READ_AGE_MS)
}

fn clock_margin(duration: Millis) -> Millis {
    duration / CLOCK_DRIFT_DIVISOR + TIMER_MARGIN_MS
}

/// Returns the time after which, by the local clock, a `duration` measured by any other
/// clock has certainly passed.
pub fn max_local_duration(duration: Millis) -> Millis {
    duration + clock_margin(duration)
}

/// Returns the time for which, by the local clock, a `duration` measured by any other
/// clock has certainly not passed yet.
pub fn min_local_duration(duration: Millis) -> Millis {
    duration.saturating_sub(clock_margin(duration))
}

/// Bounds that follow from the cluster's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyBounds {
    worker_lease: Millis,
    cancellation_deadline: Millis,
}

impl SafetyBounds {
    /// Derives the bounds from these worker settings.
    pub fn from_worker_settings(workers: &Workers) -> Self {
        let millis = |seconds: f64| (seconds.max(0.0) * 1000.0) as Millis;
        SafetyBounds {
            worker_lease: millis(workers.lease_s),
            cancellation_deadline: millis(workers.cancel_s),
        }
    }

    /// Time after the last response to a worker by which its tasks have certainly
    /// ended.
    pub fn lease_expiry(&self) -> Millis {
        max_local_duration(self.worker_lease)
    }

    /// How long a leader may respond to workers, or start tasks, after the last moment
    /// at which it certainly knew of every cancellation. Right after that moment,
    /// another leader may acknowledge a cancellation to a user. Within `cancel_s` from
    /// then, the leases of all machines must have expired. A lease runs from when the
    /// heartbeat was sent, and a response may be in transit for
    /// [`RESPONSE_TIMEOUT_MS`]. 0 means that a leader may not do so at all.
    pub fn max_staleness(&self) -> Millis {
        min_local_duration(self.cancellation_deadline)
            .saturating_sub(self.lease_expiry() + RESPONSE_TIMEOUT_MS)
    }

    /// How long a job may be reported as unfinished on the basis of a read that found
    /// its dependency not cancelled, counted from the start of the read. Right after
    /// the read, the cancellation of the dependency may be acknowledged to a user;
    /// `cancel_s` later, no answer with an older state may reach any user, and an
    /// answer may be in transit for [`ANSWER_TIMEOUT_MS`].
    pub fn max_dependency_reading_age(&self) -> Millis {
        min_local_duration(self.cancellation_deadline).saturating_sub(ANSWER_TIMEOUT_MS)
    }

    /// How long a new leader may renew workers' leases before it has loaded the records,
    /// if the last response to the worker came from a leader that had loaded them
    /// (`leader/lease_renewals.rs`). That response stopped every listed task whose
    /// cancellation had been requested, so one that still runs was cancelled after it,
    /// and the worker's lease has not expired since: at most one lease, and the time for
    /// which a response is in transit, before this leader was elected.
    pub fn max_unloaded_response_time(&self) -> Millis {
        self.max_staleness().saturating_sub(self.lease_expiry())
    }
}

#[cfg(test)]
mod tests;
