//! Stand-ins of everything that a controller talks to, written from the
//! published protocols. `state`, `cloud`, `depot` and `worker` have neither
//! clock nor sockets: they are told the time. `up` binds them to loopback.

pub mod cloud;
pub mod depot;
pub mod machines;
pub mod site;
pub mod state;
pub mod up;
pub mod worker;

/// Milliseconds on a clock of the caller's.
pub type Ms = u64;

/// Seconds as settings state them.
pub fn millis(seconds: f64) -> Ms {
    (seconds.max(0.0) * 1000.0) as Ms
}

/// Requests a second, with bursts of `burst_s` seconds' worth.
#[derive(Debug)]
pub struct Rate {
    per_s: f64,
    burst_s: f64,
    left: f64,
    at: Ms,
}

impl Rate {
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        Rate {
            per_s,
            burst_s,
            left: per_s * burst_s,
            at: 0,
        }
    }

    pub fn take(&mut self, now: Ms, amount: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.left = (self.left + passed * self.per_s).min(self.per_s * self.burst_s);
        if self.left < amount {
            return false;
        }
        self.left -= amount;
        true
    }
}
