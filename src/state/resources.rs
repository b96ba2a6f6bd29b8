//! Amounts of CPUs, GPUs and memory in thousandths, so that sums compare exactly.
//!
//! Owns the rounding: needs are rounded up, offers are rounded down. Used wherever
//! capacity is compared. Rounding must never let a task appear to fit where it does
//! not.

use std::ops::{AddAssign, SubAssign};

/// Resources that a task takes, or that a machine or quota offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// CPUs, in thousandths.
    pub cpus: i64,
    /// GPUs, in thousandths.
    pub gpus: i64,
    /// Memory, in thousandths of a GB.
    pub memory: i64,
}

/// Floating-point error, in thousandths, by which a computed amount may be off.
const ROUNDING_TOLERANCE: f64 = 1e-6;

fn thousandths_up(amount: f64) -> i64 {
    (amount * 1000.0 - ROUNDING_TOLERANCE).ceil() as i64
}

fn thousandths_down(amount: f64) -> i64 {
    (amount * 1000.0 + ROUNDING_TOLERANCE).floor() as i64
}

impl Resources {
    /// Returns the resources that a task takes, rounded up.
    pub fn need(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            cpus: thousandths_up(cpus),
            gpus: thousandths_up(gpus),
            memory: thousandths_up(memory_gb),
        }
    }

    /// Returns the resources that a machine or a limit offers, rounded down.
    pub fn offer(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            cpus: thousandths_down(cpus),
            gpus: thousandths_down(gpus),
            memory: thousandths_down(memory_gb),
        }
    }

    /// Whether these resources fit into `free`.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus && self.gpus <= free.gpus && self.memory <= free.memory
    }

    /// Raises each amount to at least the other's.
    pub fn max_assign(&mut self, other: &Resources) {
        self.cpus = self.cpus.max(other.cpus);
        self.gpus = self.gpus.max(other.gpus);
        self.memory = self.memory.max(other.memory);
    }

    /// Returns the smaller of each amount.
    pub fn min_per_resource(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns the difference of each amount, which may be negative.
    pub fn minus(mut self, other: Resources) -> Resources {
        self -= other;
        self
    }

    /// Returns how many times `each` fits into these resources, which the scarcest
    /// amount limits.
    pub fn count(&self, each: &Resources) -> i64 {
        [
            (self.cpus, each.cpus),
            (self.gpus, each.gpus),
            (self.memory, each.memory),
        ]
        .iter()
        .filter(|(_, needed)| *needed > 0)
        .map(|(available, needed)| available.max(&0) / needed)
        .min()
        .unwrap_or(i64::MAX)
    }

    /// Returns `count` times these resources.
    pub fn scaled(self, count: i64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory: self.memory * count,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }
}

#[cfg(test)]
mod tests;
