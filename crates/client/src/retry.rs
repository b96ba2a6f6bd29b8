//! Retry policy of user requests: when a request is retried and when the client
//! gives up.
//!
//! The code here only decides: it reads no clock, draws no random numbers and
//! opens no sockets. Callers pass the time and a random number.

/// Milliseconds of the caller's clock.
pub type Millis = u64;

/// Retry parameters of the HTTP interface for users, with the client's jitter.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// Timeout of one attempt; a later response counts as no response.
    pub response_timeout_ms: Millis,
    /// Minimum pause before a retry.
    pub min_pause_ms: Millis,
    /// Maximum pause that a `Retry-After` header can cause; longer ones are
    /// shortened to this.
    pub max_retry_after_ms: Millis,
    /// Total time from the first attempt after which the client gives up.
    pub total_timeout_ms: Millis,
    /// Maximum share of a pause that is added to it at random, so that clients
    /// that were rejected at the same time do not retry at the same time.
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

/// Result of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Attempt {
    /// The request was not sent, so the server never received it.
    NotSent,
    /// No response was received. The request may have taken effect, or may
    /// still do so.
    NoAnswer,
    /// A response was received.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Value of the `Retry-After` header, in seconds.
        retry_after_s: Option<u32>,
    },
}

/// What the client does after an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request succeeded with a status of 2xx.
    Done,
    /// The request was rejected permanently with status 400, 404, 405 or 422; a
    /// retry would be rejected too.
    Refused,
    /// The request is to be retried.
    Retry {
        /// Time of the next attempt by the caller's clock.
        at: Millis,
    },
    /// The total timeout would pass before the next attempt.
    GiveUp {
        /// Whether an attempt may have taken effect, or may still do so.
        outcome_unknown: bool,
    },
}

/// Retry state of one request over all its attempts.
#[derive(Debug)]
pub struct RetrySchedule {
    policy: RetryPolicy,
    started_at: Millis,
    /// Whether an attempt may have taken effect; never reset.
    outcome_unknown: bool,
}

impl RetrySchedule {
    /// Creates the schedule of a request whose first attempt is made at `now`.
    pub fn new(policy: RetryPolicy, now: Millis) -> Self {
        RetrySchedule {
            policy,
            started_at: now,
            outcome_unknown: false,
        }
    }

    fn deadline(&self) -> Millis {
        self.started_at + self.policy.total_timeout_ms
    }

    /// Returns the timeout of the next attempt: the response timeout, or the
    /// time left until the total timeout if that is shorter, but at least 1 ms.
    pub fn timeout(&self, now: Millis) -> Millis {
        let remaining = self.deadline().saturating_sub(now);
        self.policy.response_timeout_ms.min(remaining.max(1))
    }

    /// Decides what follows the attempt that ended at `now`. `random` is a
    /// random number from 0 to 1, drawn by the caller, that scales the jitter.
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
                // 429 and 503 mean that the request had no effect. For 504 and
                // all other statuses the outcome is unknown.
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
        let retry_after_ms = retry_after_ms.min(self.policy.max_retry_after_ms);
        let pause = self.policy.min_pause_ms.max(retry_after_ms);
        let jitter = (pause as f64 * self.policy.jitter * random.clamp(0.0, 1.0)) as Millis;
        pause + jitter
    }
}

#[cfg(test)]
mod tests;
