//! When a request is repeated and when it is given up. Decisions alone: no
//! clock, no random numbers, no sockets.

/// Milliseconds of the caller's clock.
pub type Millis = u64;

/// The retry rules of the users' protocol, with the clients' jitter.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// No response within this time counts as none.
    pub response_timeout_ms: Millis,
    /// The least pause before a request is repeated.
    pub min_pause_ms: Millis,
    /// A `Retry-After` is followed up to this.
    pub max_retry_after_ms: Millis,
    /// From the first attempt on; then the request is given up.
    pub total_timeout_ms: Millis,
    /// Up to this share is added to each pause, so that many clients that
    /// were refused together don't come back together.
    pub jitter: f64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            response_timeout_ms: 5_000,
            min_pause_ms: 1_000,
            max_retry_after_ms: 30_000,
            total_timeout_ms: 60_000,
            jitter: 0.25,
        }
    }
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Attempt {
    /// The other side never saw it.
    NotSent,
    /// It may have taken effect, or may still take effect.
    NoAnswer,
    /// A response was received.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The `Retry-After` header.
        retry_after_s: Option<u32>,
    },
}

/// What follows from an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Answered for good, with a status of 2xx.
    Done,
    /// 400, 404, 405 or 422: repeating the request changes nothing.
    Refused,
    /// To be repeated.
    Retry {
        /// When, by the caller's clock.
        at: Millis,
    },
    /// The time is up.
    GiveUp {
        /// An attempt may have taken effect, or may still do so.
        outcome_unknown: bool,
    },
}

/// One request through all its attempts.
#[derive(Debug)]
pub struct RetrySchedule {
    rules: RetryPolicy,
    started_at: Millis,
    outcome_unknown: bool,
}

impl RetrySchedule {
    /// For a request that is first made at `now`.
    pub fn new(rules: RetryPolicy, now: Millis) -> Self {
        RetrySchedule {
            rules,
            started_at: now,
            outcome_unknown: false,
        }
    }

    fn deadline(&self) -> Millis {
        self.started_at + self.rules.total_timeout_ms
    }

    /// How long the next attempt may wait for its answer.
    pub fn timeout(&self, now: Millis) -> Millis {
        let left = self.deadline().saturating_sub(now);
        self.rules.response_timeout_ms.min(left.max(1))
    }

    /// Takes how an attempt ended. `random`: from 0 to 1, drawn by the caller
    /// for the jitter.
    pub fn decide(&mut self, attempt: &Attempt, now: Millis, random: f64) -> Decision {
        let retry_after_ms = match attempt {
            Attempt::Answered {
                status: 200..300, ..
            } => return Decision::Done,
            Attempt::Answered {
                status: 400 | 404 | 405 | 422,
                ..
            } => return Decision::Refused,
            Attempt::Answered {
                status,
                retry_after_s,
            } => {
                // 429 and 503 say that nothing was done; of 504 and the rest
                // that isn't known.
                self.outcome_unknown |= !matches!(status, 429 | 503);
                Millis::from(retry_after_s.unwrap_or(0)) * 1000
            }
            Attempt::NoAnswer => {
                self.outcome_unknown = true;
                0
            }
            Attempt::NotSent => 0,
        };
        let at = now + self.pause(retry_after_ms, random);
        if at >= self.deadline() {
            return Decision::GiveUp {
                outcome_unknown: self.outcome_unknown,
            };
        }
        Decision::Retry { at }
    }

    fn pause(&self, retry_after_ms: Millis, random: f64) -> Millis {
        let retry_after_ms = retry_after_ms.min(self.rules.max_retry_after_ms);
        let pause = self.rules.min_pause_ms.max(retry_after_ms);
        let jitter = (pause as f64 * self.rules.jitter * random.clamp(0.0, 1.0)) as Millis;
        pause + jitter
    }
}

#[cfg(test)]
mod tests;
