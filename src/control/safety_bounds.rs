//! The durations that safety rests on, each derived in one place.
//!
//! Some of them are measured by the clock of another machine. The monotonic
//! clocks of two machines drift apart by up to 0.05%, so such a duration is
//! lengthened ([`at_most`]) or shortened ([`at_least`]) by more than that.
//!
//! Owns: the margins for clock drift and late timers, and the bounds that follow
//! from the worker lease and the cancellation deadline of the settings. Called by
//! the election, the exclusions, the leader and the cache of final states.
//!
//! Must never: read a clock or hold state; give a bound that is too long where a
//! shorter one is the safe side, or too short where a longer one is.

use crate::{protocol::settings::Workers, state::Millis};

/// Allowance for timers that fire late.
const TIMER_MARGIN_MS: Millis = 150;
/// The allowance for clock drift is a duration divided by this, 0.2%.
const CLOCK_DRIFT_DIVISOR: Millis = 500;
/// How long after it sent a heartbeat a worker accepts the response.
pub const RESPONSE_TIMEOUT_MS: Millis = 4_000;

/// How long a user waits for an answer at most.
const ANSWER_TIMEOUT_MS: Millis = 5_000;

/// A job state that is not final leaves a node no later than this after the read
/// of it began.
pub const MAX_READING_AGE_MS: Millis = 500;

/// How long a node that has learned a job's terminal state withholds it: by then,
/// every older answer of any node has left that node, and has reached its user
/// unless the network was unusually slow.
pub fn final_state_hold_ms() -> Millis {
    at_most(MAX_READING_AGE_MS)
}

fn clock_margin(duration: Millis) -> Millis {
    duration / CLOCK_DRIFT_DIVISOR + TIMER_MARGIN_MS
}

/// After this long by the local clock, a duration measured by any other clock has
/// passed.
pub fn at_most(duration: Millis) -> Millis {
    duration + clock_margin(duration)
}

/// For this long by the local clock, a duration measured by any other clock has
/// not passed yet.
pub fn at_least(duration: Millis) -> Millis {
    duration.saturating_sub(clock_margin(duration))
}

/// The bounds that follow from the cluster's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyBounds {
    worker_lease: Millis,
    cancellation_deadline: Millis,
}

impl SafetyBounds {
    /// For these settings of the workers.
    pub fn of(workers: &Workers) -> Self {
        let millis = |seconds: f64| (seconds.max(0.0) * 1000.0) as Millis;
        SafetyBounds {
            worker_lease: millis(workers.lease_s),
            cancellation_deadline: millis(workers.cancel_s),
        }
    }

    /// How long after the last response to a worker its tasks have surely ended.
    pub fn lease_expiry(&self) -> Millis {
        at_most(self.worker_lease)
    }

    /// How long a leader may respond to workers, or start tasks, after the last
    /// moment at which it surely knew of every cancellation. Right after that
    /// moment, another leader may acknowledge a cancellation to a user. Within
    /// `cancel_s` from then the leases of all machines must have expired, which
    /// run from when a heartbeat was sent, while a response may be under way for
    /// [`RESPONSE_TIMEOUT_MS`]. 0: not at all.
    pub fn max_staleness(&self) -> Millis {
        at_least(self.cancellation_deadline)
            .saturating_sub(self.lease_expiry() + RESPONSE_TIMEOUT_MS)
    }

    /// How long after the read of a dependency began, which had it as not cancelled,
    /// a job may be called unfinished by that. Right after the read, the cancellation
    /// may be acknowledged to a user; `cancel_s` later no answer with an older state
    /// may reach anybody, and one may be under way for [`ANSWER_TIMEOUT_MS`].
    pub fn max_dependency_reading_age(&self) -> Millis {
        at_least(self.cancellation_deadline).saturating_sub(ANSWER_TIMEOUT_MS)
    }

    /// How long a new leader may respond to workers before it has loaded the
    /// records. A cancellation that it hasn't loaded may have been acknowledged to
    /// a user up to a worker lease ago; any machine that got a response later than
    /// that has been commanded to stop.
    pub fn max_answering_unloaded(&self) -> Millis {
        self.max_staleness().saturating_sub(self.lease_expiry())
    }
}

#[cfg(test)]
mod tests;
