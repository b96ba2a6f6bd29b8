//! A market's clock as observed by the home, and how long awards may run there.
//!
//! All awards of a home at one market run under one tenancy, which the market
//! ends by its own steady clock. The home keeps a horizon in its own time of
//! day: a bound that is durable before each renewal that needs it. After the
//! horizon nothing awarded at the market can be running, whether or not a
//! renewal was ever answered.

use crate::{Millis, wire::MarketTime};

/// Share by which the steady clocks of two machines may drift apart.
const MAX_DRIFT: f64 = 0.0005;
/// Time for which a market's clock is observed before anything is awarded there.
/// Later readings are still compared with the first one.
const OBSERVATION_MS: Millis = 10_000;
/// Share by which a clock may be slow without being detected within
/// `OBSERVATION_MS`, because answers take up to 200 ms. Horizons include it.
const UNDETECTED_SLOWNESS: f64 = 0.02;

/// A market's clock as stated in one reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    pub epoch: u64,
    pub clock_ms: u64,
    /// Times at the home at which the request was sent and its reply received.
    pub sent: Millis,
    pub received: Millis,
}

/// Result of comparing a reading with the earlier ones.
#[derive(Debug, PartialEq)]
pub enum ReadingStatus {
    Consistent,
    /// The market has lost its state and started a new epoch.
    NewEpoch,
    /// The clock went back or runs slower than drift explains, so it can't be
    /// relied on.
    Inconsistent,
}

/// A market's clock, from the readings that its replies contain.
#[derive(Debug, Default)]
pub struct Clock {
    /// First reading of this epoch. The older it is, the smaller the slowness
    /// that the time taken by answers can hide.
    first: Option<Reading>,
    last: Option<Reading>,
    /// Epoch in which the readings contradict each other, if any.
    unreliable_epoch: Option<u64>,
}

impl Clock {
    pub fn reading(&self) -> Option<&Reading> {
        self.last.as_ref()
    }

    /// Whether the readings of the current epoch are consistent.
    pub fn is_reliable(&self) -> bool {
        match (&self.last, self.unreliable_epoch) {
            (Some(r), Some(epoch)) => r.epoch != epoch,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Whether the clock is reliable and has been observed for `OBSERVATION_MS`.
    pub fn observed_long_enough(&self) -> bool {
        let long_enough = |(a, b): (Reading, Reading)| a.received + OBSERVATION_MS <= b.sent;
        self.is_reliable() && self.first.zip(self.last).is_some_and(long_enough)
    }

    /// Whether the market has answered within the last `within_ms`.
    pub fn answered_within(&self, now: Millis, within_ms: Millis) -> bool {
        self.last.is_some_and(|r| now <= r.received + within_ms)
    }

    /// Adds a reading after comparing it with the last and the first one.
    pub fn read(&mut self, new: Reading) -> ReadingStatus {
        let (Some(old), Some(first)) = (self.last, self.first) else {
            (self.first, self.last) = (Some(new), Some(new));
            return ReadingStatus::Consistent;
        };
        if new.sent < old.sent {
            // A reply to a request older than the last reading's is ignored.
            return ReadingStatus::Consistent;
        }
        if new.epoch != old.epoch {
            (self.first, self.last) = (Some(new), Some(new));
            return ReadingStatus::NewEpoch;
        }
        // Compares the time that passed on the market's clock with the least time
        // that must have passed between the two readings.
        let is_slow = |from: Reading| {
            let min_elapsed_ms = new.sent.saturating_sub(from.received) as f64 * (1.0 - MAX_DRIFT);
            new.clock_ms as f64 - from.clock_ms as f64 + 1.0 < min_elapsed_ms
        };
        if is_slow(old) || is_slow(first) {
            self.unreliable_epoch = Some(new.epoch);
            return ReadingStatus::Inconsistent;
        }
        self.last = Some(new);
        ReadingStatus::Consistent
    }

    /// Returns the time on the market's clock that is `delay_ms` from now. It is
    /// never later there than intended, because the market's clock was read before
    /// its reply was received.
    pub fn time_after(&self, now: Millis, delay_ms: Millis) -> Option<MarketTime> {
        let reading = self.last.filter(|_| self.is_reliable())?;
        let elapsed_ms = now.saturating_sub(reading.received) as f64 * (1.0 - MAX_DRIFT);
        Some(MarketTime {
            epoch: reading.epoch,
            clock_ms: reading.clock_ms + elapsed_ms as u64 + delay_ms,
        })
    }

    /// Whether the market's own clock has certainly passed this time.
    pub fn passed(&self, until: &MarketTime) -> bool {
        self.last
            .is_some_and(|r| r.epoch == until.epoch && r.clock_ms > until.clock_ms)
    }
}

/// How long awards at a market may run.
#[derive(Debug)]
pub struct Tenancy {
    /// How far ahead each renewal reaches, on the market's clock.
    duration_ms: Millis,
    /// Largest difference between the times of day of two brokers.
    clock_bound_ms: Millis,
    /// Durable horizon: no award runs at the market after this time of day.
    horizon: Millis,
    /// The horizon that is being written, if any.
    writing: Option<Millis>,
}

impl Tenancy {
    pub fn new(duration_ms: Millis, clock_bound_ms: Millis, horizon: Millis) -> Self {
        Tenancy {
            duration_ms,
            clock_bound_ms,
            horizon,
            writing: None,
        }
    }

    /// Returns the home's time at which a renewal granted now has certainly ended.
    fn latest_end(&self, now: Millis) -> Millis {
        now + (self.duration_ms as f64 * (1.0 + UNDETECTED_SLOWNESS)) as Millis + 1
    }

    /// Returns a horizon to be written before further renewals, if they would soon
    /// go beyond the durable one. It reaches one tenancy further than needed, so
    /// that it is written seldom.
    pub fn horizon_to_write(&mut self, now: Millis) -> Option<Millis> {
        if self.writing.is_some() || self.latest_end(now) + self.duration_ms / 4 <= self.horizon {
            return None;
        }
        let new_horizon = self.latest_end(now) + self.duration_ms;
        self.writing = Some(new_horizon);
        Some(new_horizon)
    }

    /// Notes that a horizon has become durable.
    pub fn horizon_written(&mut self, horizon: Millis) {
        self.horizon = self.horizon.max(horizon);
        self.writing = None;
    }

    /// Returns the end of a renewal on the market's clock; `None` if it would go
    /// beyond the durable horizon or the clock is unreliable.
    pub fn renewal(&self, clock: &Clock, now: Millis) -> Option<MarketTime> {
        if self.latest_end(now) > self.horizon {
            return None;
        }
        clock.time_after(now, self.duration_ms)
    }

    /// Whether nothing that was awarded at the market can be running any more.
    pub fn has_ended(&self, now: Millis) -> bool {
        self.writing.is_none() && now > self.horizon + self.clock_bound_ms
    }
}

#[cfg(test)]
mod tests;
