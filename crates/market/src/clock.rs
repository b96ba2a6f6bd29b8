//! A market's clock as seen from here, and how long what was awarded there
//! may run.
//!
//! Everything at a market runs under one tenancy, which it ends by its own
//! steady clock. The home keeps a horizon, in its own time of day: a bound
//! written durably before each renewal, after which nothing awarded there can
//! be running, whether or not an answer ever came.

use crate::{Millis, wire::Until};

/// Steady clocks of two machines drift apart by up to this share.
const DRIFT: f64 = 0.0005;
/// A market's clock is watched for so long before anything is awarded there,
/// and from then on against the first reading.
const WATCHED: Millis = 10_000;
/// By this share a clock may be slow without being noticed within that time,
/// as answers take up to a fifth of a second; horizons reach beyond it.
const UNNOTICED: f64 = 0.02;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    pub epoch: u64,
    pub clock_ms: u64,
    /// When the request for it was sent and its answer received, here.
    pub sent: Millis,
    pub received: Millis,
}

/// What a new reading shows.
#[derive(Debug, PartialEq)]
pub enum ReadingStatus {
    Consistent,
    /// The market has lost what it knew.
    NewEpoch,
    /// The clock went back or runs slower than any drift: what it says of
    /// time can't be relied on.
    Inconsistent,
}

#[derive(Debug, Default)]
pub struct Clock {
    /// The first of this epoch: the longer ago, the less a slow clock can hide
    /// in the time that answers take.
    first: Option<Reading>,
    last: Option<Reading>,
    /// Its readings contradict each other within this epoch.
    wrong: Option<u64>,
}

impl Clock {
    pub fn reading(&self) -> Option<&Reading> {
        self.last.as_ref()
    }

    /// May its clock be relied on?
    pub fn sound(&self) -> bool {
        match (&self.last, self.wrong) {
            (Some(r), Some(epoch)) => r.epoch != epoch,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Whether it has been watched for long enough to rely on.
    pub fn watched(&self) -> bool {
        let long = |(a, b): (Reading, Reading)| a.received + WATCHED <= b.sent;
        self.sound() && self.first.zip(self.last).is_some_and(long)
    }

    /// Whether the market has answered within the last `within`.
    pub fn heard(&self, now: Millis, within: Millis) -> bool {
        self.last.is_some_and(|r| now <= r.received + within)
    }

    pub fn read(&mut self, new: Reading) -> ReadingStatus {
        let (Some(old), Some(first)) = (self.last, self.first) else {
            (self.first, self.last) = (Some(new), Some(new));
            return ReadingStatus::Consistent;
        };
        if new.sent < old.sent {
            // An answer that was overtaken says nothing new.
            return ReadingStatus::Consistent;
        }
        if new.epoch != old.epoch {
            (self.first, self.last) = (Some(new), Some(new));
            return ReadingStatus::NewEpoch;
        }
        // At least so much passed between two readings at the market.
        let slow = |from: Reading| {
            let least = new.sent.saturating_sub(from.received) as f64 * (1.0 - DRIFT);
            new.clock_ms as f64 - from.clock_ms as f64 + 1.0 < least
        };
        if slow(old) || slow(first) {
            self.wrong = Some(new.epoch);
            return ReadingStatus::Inconsistent;
        }
        self.last = Some(new);
        ReadingStatus::Consistent
    }

    /// A time `from_now` ahead on the market's clock: never later there than
    /// meant, as the reading is not younger than its receipt.
    pub fn ahead(&self, now: Millis, from_now: Millis) -> Option<Until> {
        let r = self.last.filter(|_| self.sound())?;
        let since = now.saturating_sub(r.received) as f64 * (1.0 - DRIFT);
        Some(Until {
            epoch: r.epoch,
            clock_ms: r.clock_ms + since as u64 + from_now,
        })
    }

    /// Whether the market's own clock has surely passed that time.
    pub fn passed(&self, until: &Until) -> bool {
        self.last
            .is_some_and(|r| r.epoch == until.epoch && r.clock_ms > until.clock_ms)
    }
}

/// How long what runs at a market may run.
#[derive(Debug)]
pub struct Tenancy {
    /// How far ahead each renewal reaches.
    life_ms: Millis,
    /// By how much the time of day may differ between brokers.
    bound_ms: Millis,
    /// Durable: nothing runs there after this.
    horizon: Millis,
    /// The horizon that is being written, if any.
    writing: Option<Millis>,
}

impl Tenancy {
    pub fn new(life_ms: Millis, bound_ms: Millis, horizon: Millis) -> Self {
        Tenancy {
            life_ms,
            bound_ms,
            horizon,
            writing: None,
        }
    }

    /// When a renewal that is granted now has surely ended.
    fn ends(&self, now: Millis) -> Millis {
        now + (self.life_ms as f64 * (1.0 + UNNOTICED)) as Millis + 1
    }

    /// A horizon to be written first, if renewals would soon go beyond the
    /// one that is durable: it reaches further, so that it is written seldom.
    pub fn to_write(&mut self, now: Millis) -> Option<Millis> {
        if self.writing.is_some() || self.ends(now) + self.life_ms / 4 <= self.horizon {
            return None;
        }
        let wanted = self.ends(now) + self.life_ms;
        self.writing = Some(wanted);
        Some(wanted)
    }

    /// It is durable now.
    pub fn written(&mut self, horizon: Millis) {
        self.horizon = self.horizon.max(horizon);
        self.writing = None;
    }

    /// Until when a renewal may be granted, on the market's clock.
    pub fn renewal(&self, clock: &Clock, now: Millis) -> Option<Until> {
        if self.ends(now) > self.horizon {
            return None;
        }
        clock.ahead(now, self.life_ms)
    }

    /// Nothing that was awarded there can be running.
    pub fn over(&self, now: Millis) -> bool {
        self.writing.is_none() && now > self.horizon + self.bound_ms
    }
}

#[cfg(test)]
mod tests;
