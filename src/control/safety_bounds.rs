//! The spans that safety rests on, each worked out in one place. Other clocks
//! count some of them: between two machines steady clocks drift apart by up to
//! 0.05%, so a span is taken longer or shorter by more than that.

use crate::{protocol::settings::Workers, state::Millis};

/// Timers fire late.
const TIMER_MARGIN_MS: Millis = 150;
/// A worker takes an answer for so long after it sent its report.
pub const RESPONSE_TIMEOUT_MS: Millis = 4_000;

/// A state that is not final leaves a node no later than this after its reading
/// was begun.
pub const MAX_READING_AGE_MS: Millis = 500;

/// After a node has learned of a job's end, every older answer of any node has
/// left that node by then, and reached its user over an ordinary way.
pub fn final_state_hold_ms() -> Millis {
    at_most(MAX_READING_AGE_MS)
}

fn slack(span: Millis) -> Millis {
    span / 500 + TIMER_MARGIN_MS
}

/// By then, here, a span that another clock counts is over.
pub fn at_most(span: Millis) -> Millis {
    span + slack(span)
}

/// Until then, here, a span that another clock counts lasts.
pub fn at_least(span: Millis) -> Millis {
    span.saturating_sub(slack(span))
}

/// Those that the platform's settings give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyBounds {
    lease: Millis,
    cancel: Millis,
}

impl SafetyBounds {
    pub fn of(workers: &Workers) -> Self {
        let millis = |s: f64| (s.max(0.0) * 1000.0) as Millis;
        SafetyBounds {
            lease: millis(workers.lease_s),
            cancel: millis(workers.cancel_s),
        }
    }

    /// After a worker was last answered, its tasks are gone by then.
    pub fn lease_expiry(&self) -> Millis {
        at_most(self.lease)
    }

    /// How long a leader may answer workers, or start anything, after the last
    /// moment at which it surely knew of every cancellation. A user may be told
    /// of one that it does not know right after that moment; by `cancel_s`
    /// from then the leases of all machines have run out by themselves, as
    /// they run from when a report was sent, and an answer may be on its way
    /// to one for 4 s. 0: not at all.
    pub fn max_staleness(&self) -> Millis {
        at_least(self.cancel).saturating_sub(self.lease_expiry() + RESPONSE_TIMEOUT_MS)
    }

    /// How long a new leader may answer workers before it has read the records.
    /// What it does not know a user may have been told up to a lease ago: a
    /// machine that was answered later than that has been ordered to stop.
    pub fn max_answering_unloaded(&self) -> Millis {
        self.max_staleness().saturating_sub(self.lease_expiry())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(lease_s: f64, cancel_s: f64) -> SafetyBounds {
        SafetyBounds::of(&Workers {
            report_s: 1.0,
            lease_s,
            gang_wait_s: 1.0,
            gang_peer_s: 1.0,
            cancel_s,
        })
    }

    /// Guards against a bound that leaves out a part: the machine's clock runs
    /// slow and ours fast, and the last answer is taken as late as can be.
    #[test]
    fn whatever_a_blind_leader_kept_is_gone_in_time_by_any_clock() {
        for (lease, cancel) in [(10.0, 35.0), (10.0, 40.0), (15.25, 40.25), (26.5, 56.5)] {
            let b = of(lease, cancel);
            let last = b.max_staleness() as f64;
            assert!(last > 0.0);
            let gone = last + 4_000.0 + 1_000.0 * lease * 1.0005;
            let told_late = 1_000.0 * cancel * 0.9995;
            assert!(gone + 100.0 < told_late, "{lease} {cancel}: {gone}");
            // Nor is it shorter by much more than that.
            assert!(gone + 700.0 > told_late, "{lease} {cancel}: {gone}");
        }
        assert_eq!(of(10.0, 14.0).max_staleness(), 0, "no time at all");
        assert_eq!(of(26.5, 56.5).max_answering_unloaded(), 0);
        assert!(of(10.0, 35.0).max_answering_unloaded() > 10_000);
    }

    #[test]
    fn a_span_is_over_after_it_lasts_by_either_clock() {
        for span in [1_300, 4_000, 26_500, 120_000] {
            let drift = span as f64 * 0.0005;
            assert!(at_most(span) as f64 > span as f64 + drift);
            assert!((at_least(span) as f64) < span as f64 - drift);
        }
        assert_eq!(at_least(100), 0);
    }
}
