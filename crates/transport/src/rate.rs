//! Requests a second, with bursts.

#[derive(Debug)]
pub struct Rate {
    per_s: f64,
    burst_s: f64,
    left: f64,
    at: u64,
}

impl Rate {
    /// Bursts of `burst_s` seconds' worth, but of one at least.
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let mut rate = Rate {
            per_s,
            burst_s,
            left: 0.0,
            at: 0,
        };
        rate.left = rate.most();
        rate
    }

    fn most(&self) -> f64 {
        (self.per_s * self.burst_s).max(1.0)
    }

    fn pass(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now_ms);
        self.left = (self.left + passed * self.per_s).min(self.most());
    }

    pub fn take(&mut self, now_ms: u64, amount: f64) -> bool {
        self.pass(now_ms);
        if self.left < amount {
            return false;
        }
        self.left -= amount;
        true
    }

    /// Takes more than is left, and says for how many milliseconds to wait
    /// before acting on it.
    pub fn owe(&mut self, now_ms: u64, amount: f64) -> u64 {
        self.pass(now_ms);
        self.left -= amount;
        match self.left < 0.0 {
            true => (-self.left / self.per_s * 1000.0).ceil() as u64,
            false => 0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_owed_is_waited_for_and_bursts_are_bounded() {
        let mut r = Rate::new(10.0, 1.0);
        assert!(r.take(0, 10.0) && !r.take(0, 1.0));
        assert!(r.take(100, 1.0) && !r.take(100, 1.0));
        assert!(r.take(60_000, 10.0) && !r.take(60_000, 1.0));
        assert_eq!(r.owe(60_000, 5.0), 500);
        assert_eq!(r.owe(60_500, 5.0), 500);
        // Fewer than one a second still lets one through.
        assert!(Rate::new(0.1, 1.0).take(0, 1.0));
    }
}
