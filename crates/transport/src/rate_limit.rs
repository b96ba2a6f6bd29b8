//! Token buckets that limit requests and changes per second. The buckets read
//! no clock; callers pass the time.

/// Milliseconds of the caller's clock.
type Millis = u64;

/// Token bucket that is refilled at a constant rate up to its capacity and from
/// which each request takes tokens. The level can become negative; later
/// requests then wait until the deficit is refilled.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_ms: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Millis,
}

/// Returns the capacity of a bucket: the tokens of `burst_s` seconds, but at
/// least one token, so that rates below one per second let requests through.
fn capacity(per_s: f64, burst_s: f64) -> f64 {
    (per_s * burst_s).max(1.0)
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `per_s` tokens per second and
    /// holds the tokens of `burst_s` seconds.
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let capacity = capacity(per_s, burst_s);
        TokenBucket {
            tokens_per_ms: per_s / 1000.0,
            capacity,
            tokens: capacity,
            refilled_at: 0,
        }
    }

    /// Changes the refill rate and the capacity from `now` on. Tokens in excess
    /// of the new capacity are discarded.
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

    /// Returns the number of tokens at `now`, which is negative while the bucket
    /// has a deficit.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `n` tokens if at least `reserve` tokens remain afterwards. Returns
    /// whether the tokens were taken. The reserve is kept for requests that have
    /// precedence over ordinary ones.
    pub fn take(&mut self, now: Millis, n: f64, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens - n < reserve {
            return false;
        }
        self.tokens -= n;
        true
    }

    /// Takes `n` tokens regardless of the level, for requests that must not
    /// wait. The level may become negative.
    pub fn force(&mut self, now: Millis, n: f64) {
        self.refill(now);
        self.tokens -= n;
    }

    /// Takes `n` tokens regardless of the level and returns how many
    /// milliseconds the caller must wait before it acts.
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
