//! Token buckets for requests and changes per second.

/// Milliseconds of the caller's clock.
type Ms = u64;

#[derive(Debug)]
pub struct TokenBucket {
    per_ms: f64,
    burst: f64,
    level: f64,
    at: Ms,
}

impl TokenBucket {
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let burst = (per_s * burst_s).max(1.0);
        TokenBucket {
            per_ms: per_s / 1000.0,
            burst,
            level: burst,
            at: 0,
        }
    }

    /// Another rate from now on.
    pub fn set_rate(&mut self, now: Ms, per_s: f64, burst_s: f64) {
        self.refill(now);
        self.per_ms = per_s / 1000.0;
        self.burst = (per_s * burst_s).max(1.0);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: Ms) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.per_ms).min(self.burst);
    }

    pub fn level(&mut self, now: Ms) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `n` if that leaves at least `reserve`; the reserve is for what
    /// goes ahead of ordinary requests.
    pub fn take(&mut self, now: Ms, n: f64, reserve: f64) -> bool {
        self.refill(now);
        if self.level - n < reserve {
            return false;
        }
        self.level -= n;
        true
    }

    /// Takes `n` whatever is left: for what must not wait.
    pub fn force(&mut self, now: Ms, n: f64) {
        self.refill(now);
        self.level -= n;
    }

    /// The same, and says for how many milliseconds to wait before acting.
    pub fn take_with_delay(&mut self, now: Ms, n: f64) -> Ms {
        self.force(now, n);
        match self.level < 0.0 {
            true => (-self.level / self.per_ms).ceil() as Ms,
            false => 0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_owed_is_waited_for_and_bursts_are_bounded() {
        let mut r = TokenBucket::new(10.0, 1.0);
        assert!(r.take(0, 10.0, 0.0) && !r.take(0, 1.0, 0.0));
        assert!(r.take(100, 1.0, 0.0) && !r.take(100, 1.0, 0.0));
        assert!(r.take(60_000, 10.0, 0.0) && !r.take(60_000, 1.0, 0.0));
        assert_eq!(r.take_with_delay(60_000, 5.0), 500);
        assert_eq!(r.take_with_delay(60_500, 5.0), 500);
        // Fewer than one a second still lets one through.
        assert!(TokenBucket::new(0.1, 1.0).take(0, 1.0, 0.0));
    }
}
