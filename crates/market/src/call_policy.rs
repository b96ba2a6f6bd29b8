//! What may be sent to a market now: a limit on calls under way, a circuit
//! breaker, back-off with jitter and a budget of retries. Each market has its
//! own, so that a slow or broken one costs the others nothing.

use crate::Millis;

#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Calls under way at most; the limit in force moves below this.
    pub calls: u32,
    /// Failures in a row after which the market is left alone.
    pub failures: u32,
    /// For how long at first, and at most.
    pub open_ms: Millis,
    pub max_open_ms: Millis,
    /// Retries saved up at most, and how many first calls earn one.
    pub retries: u32,
    pub calls_per_retry: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            calls: 16,
            failures: 5,
            open_ms: 2_000,
            max_open_ms: 60_000,
            retries: 10,
            calls_per_retry: 10,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls go through.
    Closed,
    /// None do, until then.
    Open { until: Millis },
    /// One call is under way that decides.
    Trying,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered, and the answer could be read.
    Success,
    /// Answered with something that is refused.
    Invalid,
    /// No answer in time, or the connection failed.
    NoAnswer,
}

#[derive(Debug)]
pub struct CircuitBreaker {
    limits: Limits,
    state: State,
    under_way: u32,
    /// Moves between 1 and `limits.calls`: up by one for each window of good
    /// calls, halved when one is missing.
    window: f64,
    failed: u32,
    /// How often it has opened without a good call since.
    opened: u32,
    /// First calls that have not been spent on retries.
    credit: u32,
}

impl CircuitBreaker {
    pub fn new(limits: Limits) -> Self {
        CircuitBreaker {
            state: State::Closed,
            under_way: 0,
            window: f64::from(limits.calls.clamp(1, 4)),
            failed: 0,
            opened: 0,
            credit: limits.retries * limits.calls_per_retry,
            limits,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn under_way(&self) -> u32 {
        self.under_way
    }

    /// Whether jobs may be planned for this market.
    pub fn usable(&self) -> bool {
        self.state == State::Closed
    }

    /// Takes a place for one call. `retry`: it repeats one that failed.
    pub fn enter(&mut self, now: Millis, retry: bool) -> bool {
        match self.state {
            State::Open { until } if now < until => return false,
            State::Open { .. } if self.under_way > 0 => return false,
            State::Open { .. } => self.state = State::Trying,
            State::Trying => return false,
            State::Closed if f64::from(self.under_way) >= self.window.floor().max(1.0) => {
                return false;
            }
            State::Closed if retry && self.credit < self.limits.calls_per_retry => return false,
            State::Closed => {}
        }
        let earned = self.limits.retries * self.limits.calls_per_retry;
        self.credit = match retry {
            true => self.credit.saturating_sub(self.limits.calls_per_retry),
            false => (self.credit + 1).min(earned),
        };
        self.under_way += 1;
        true
    }

    /// A call has ended; `chance` from 0 to 1 spreads the next attempt.
    pub fn leave(&mut self, outcome: CallOutcome, now: Millis, chance: f64) {
        self.under_way = self.under_way.saturating_sub(1);
        if outcome == CallOutcome::Success {
            self.failed = 0;
            self.opened = 0;
            self.state = State::Closed;
            let most = f64::from(self.limits.calls.max(1));
            self.window = (self.window + 1.0 / self.window).min(most);
            return;
        }
        if outcome == CallOutcome::NoAnswer {
            self.window = (self.window / 2.0).max(1.0);
        }
        self.failed += 1;
        if self.state == State::Trying || self.failed >= self.limits.failures {
            let long = self.limits.open_ms << self.opened.min(16);
            let long = long.min(self.limits.max_open_ms) as f64;
            // Half of it is sure, half is drawn.
            let wait = long * (0.5 + 0.5 * chance.clamp(0.0, 1.0));
            self.state = State::Open {
                until: now + wait as Millis,
            };
            self.opened = self.opened.saturating_add(1);
            self.failed = 0;
        }
    }
}

#[cfg(test)]
mod tests;
