//! Limits the calls to a market: an adaptive limit on calls in flight, a circuit
//! breaker with exponential backoff and jitter, and a retry budget. Each market
//! has its own, so that a slow or broken market does not affect the others.

use crate::Millis;

#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of calls in flight; the adaptive window stays below it.
    pub max_calls: u32,
    /// Number of consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Time for which the breaker stays open at first. It doubles up to
    /// `max_open_ms`.
    pub open_ms: Millis,
    pub max_open_ms: Millis,
    /// Maximum number of retries that can be saved up.
    pub max_saved_retries: u32,
    /// Number of first calls that earn one retry.
    pub calls_per_retry: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_calls: 16,
            failure_threshold: 5,
            open_ms: 2_000,
            max_open_ms: 60_000,
            max_saved_retries: 10,
            calls_per_retry: 10,
        }
    }
}

/// State of the circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls are allowed.
    Closed,
    /// No call is allowed before `until`.
    Open { until: Millis },
    /// One probe call is in flight; its outcome closes or reopens the breaker.
    HalfOpen,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A valid answer.
    Success,
    /// An answer that is refused.
    Invalid,
    /// No answer in time, or the connection failed.
    NoAnswer,
}

/// Call limits and circuit breaker of one market.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: Limits,
    state: State,
    calls_in_flight: u32,
    /// Limit on calls in flight, between 1 and `limits.max_calls`: grows by one for
    /// each window of successful calls, is halved when a call gets no answer.
    window: f64,
    consecutive_failures: u32,
    /// Number of times that the breaker has opened since the last success.
    consecutive_openings: u32,
    /// First calls that have not been spent on retries; a retry costs
    /// `limits.calls_per_retry` of them.
    credit: u32,
}

impl CircuitBreaker {
    pub fn new(limits: Limits) -> Self {
        CircuitBreaker {
            state: State::Closed,
            calls_in_flight: 0,
            window: f64::from(limits.max_calls.clamp(1, 4)),
            consecutive_failures: 0,
            consecutive_openings: 0,
            credit: limits.max_saved_retries * limits.calls_per_retry,
            limits,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn calls_in_flight(&self) -> u32 {
        self.calls_in_flight
    }

    /// Whether jobs may be assigned to this market's offers.
    pub fn usable(&self) -> bool {
        self.state == State::Closed
    }

    /// Admits one call if the limits allow it and returns whether it may be sent. `retry`: the
    /// call repeats one that failed and is charged to the retry budget.
    pub fn admit(&mut self, now: Millis, retry: bool) -> bool {
        match self.state {
            State::Open { until } if now < until => return false,
            State::Open { .. } if self.calls_in_flight > 0 => return false,
            State::Open { .. } => self.state = State::HalfOpen,
            State::HalfOpen => return false,
            State::Closed if f64::from(self.calls_in_flight) >= self.window.floor().max(1.0) => {
                return false;
            }
            State::Closed if retry && self.credit < self.limits.calls_per_retry => return false,
            State::Closed => {}
        }
        let max_credit = self.limits.max_saved_retries * self.limits.calls_per_retry;
        self.credit = match retry {
            true => self.credit.saturating_sub(self.limits.calls_per_retry),
            false => (self.credit + 1).min(max_credit),
        };
        self.calls_in_flight += 1;
        true
    }

    /// Records the outcome of a call. `jitter`, from 0 to 1, spreads the time of the
    /// next attempt if the breaker opens.
    pub fn finish(&mut self, outcome: CallOutcome, now: Millis, jitter: f64) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        if outcome == CallOutcome::Success {
            self.consecutive_failures = 0;
            self.consecutive_openings = 0;
            self.state = State::Closed;
            let max_window = f64::from(self.limits.max_calls.max(1));
            self.window = (self.window + 1.0 / self.window).min(max_window);
            return;
        }
        if outcome == CallOutcome::NoAnswer {
            self.window = (self.window / 2.0).max(1.0);
        }
        self.consecutive_failures += 1;
        if self.state == State::HalfOpen
            || self.consecutive_failures >= self.limits.failure_threshold
        {
            let open_ms = self.limits.open_ms << self.consecutive_openings.min(16);
            let open_ms = open_ms.min(self.limits.max_open_ms) as f64;
            // Half of the wait is fixed, half is random.
            let wait_ms = open_ms * (0.5 + 0.5 * jitter.clamp(0.0, 1.0));
            self.state = State::Open {
                until: now + wait_ms as Millis,
            };
            self.consecutive_openings = self.consecutive_openings.saturating_add(1);
            self.consecutive_failures = 0;
        }
    }
}

#[cfg(test)]
mod tests;
