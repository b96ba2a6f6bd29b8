//! Token buckets for requests and changes per second. They read no clock: the
//! caller gives the time.

/// Milliseconds of the caller's clock.
type Millis = u64;

/// A token bucket: it is refilled at a constant rate up to its capacity, and
/// each request takes tokens. The level can become negative; later requests
/// then wait until the debt is refilled.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_ms: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Millis,
}

/// At least one token, so that rates below one a second let requests through.
fn capacity(per_s: f64, burst_s: f64) -> f64 {
    (per_s * burst_s).max(1.0)
}

impl TokenBucket {
    /// A full bucket, refilled with `per_s` tokens a second, that holds the
    /// tokens of `burst_s` seconds.
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let capacity = capacity(per_s, burst_s);
        TokenBucket {
            tokens_per_ms: per_s / 1000.0,
            capacity,
            tokens: capacity,
            refilled_at: 0,
        }
    }

    /// Changes rate and capacity from `now` on. Tokens beyond the new capacity
    /// are lost.
    pub fn set_rate(&mut self, now: Millis, per_s: f64, burst_s: f64) {
        self.refill(now);
        self.tokens_per_ms = per_s / 1000.0;
        self.capacity = capacity(per_s, burst_s);
        self.tokens = self.tokens.min(self.capacity);
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.tokens_per_ms).min(self.capacity);
    }

    /// The tokens that are there at `now`; negative while in debt.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `n` tokens if that leaves at least `reserve`, and says whether it
    /// did. The reserve is for what has precedence over ordinary requests.
    pub fn take(&mut self, now: Millis, n: f64, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens - n < reserve {
            return false;
        }
        self.tokens -= n;
        true
    }

    /// Takes `n` tokens whatever is left, for what must not wait.
    pub fn force(&mut self, now: Millis, n: f64) {
        self.refill(now);
        self.tokens -= n;
    }

    /// Takes `n` tokens whatever is left and returns for how many milliseconds
    /// to wait before acting.
    pub fn take_with_delay(&mut self, now: Millis, n: f64) -> Millis {
        self.force(now, n);
        match self.tokens < 0.0 {
            true => (-self.tokens / self.tokens_per_ms).ceil() as Millis,
            false => 0,
        }
    }
}

#[cfg(test)]
mod tests;
