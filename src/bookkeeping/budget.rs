//! Token buckets for requests and changes per second.

use super::Ms;

#[derive(Debug)]
pub struct Budget {
    per_ms: f64,
    burst: f64,
    level: f64,
    at: Ms,
}

impl Budget {
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let burst = (per_s * burst_s).max(1.0);
        Budget {
            per_ms: per_s / 1000.0,
            burst,
            level: burst,
            at: 0,
        }
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
}
