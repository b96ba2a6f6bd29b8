//! Amounts of resources in thousandths, so that sums compare exactly.

use std::ops::{AddAssign, SubAssign};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    pub cpus: i64,
    pub gpus: i64,
    pub memory: i64,
}

fn up(v: f64) -> i64 {
    (v * 1000.0 - 1e-6).ceil() as i64
}

fn down(v: f64) -> i64 {
    (v * 1000.0 + 1e-6).floor() as i64
}

impl Resources {
    /// What a task takes: rounded up.
    pub fn need(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            cpus: up(cpus),
            gpus: up(gpus),
            memory: up(memory_gb),
        }
    }

    /// What a machine or a limit offers: rounded down.
    pub fn offer(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            cpus: down(cpus),
            gpus: down(gpus),
            memory: down(memory_gb),
        }
    }

    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// Raises each amount to the other's.
    pub fn widen(&mut self, other: &Resources) {
        self.cpus = self.cpus.max(other.cpus);
        self.gpus = self.gpus.max(other.gpus);
        self.memory = self.memory.max(other.memory);
    }

    /// The lesser of each amount.
    pub fn least(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    pub fn minus(mut self, other: Resources) -> Resources {
        self -= other;
        self
    }

    /// How many of `each` fit into this.
    pub fn count(&self, each: &Resources) -> i64 {
        [
            (self.cpus, each.cpus),
            (self.gpus, each.gpus),
            (self.memory, each.memory),
        ]
        .iter()
        .filter(|(_, e)| *e > 0)
        .map(|(r, e)| (r.max(&0)) / e)
        .min()
        .unwrap_or(i64::MAX)
    }

    pub fn scaled(self, n: i64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory += o.memory;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory -= o.memory;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_fits_any_machine_fits_the_most_that_is_free_of_each_resource() {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut any = |most: i64| Resources {
            cpus: rng.i64(0..=most),
            gpus: rng.i64(0..=most),
            memory: rng.i64(0..=most),
        };
        let (mut fitting, mut passed_over) = (0, 0);
        for _ in 0..2000 {
            let machines: Vec<Resources> = (0..5).map(|_| any(8)).collect();
            let need = any(10);
            let mut most = machines[0];
            machines.iter().for_each(|m| most.widen(m));
            let fits = machines.iter().any(|m| need.fits(m));
            assert!(!fits || need.fits(&most), "{need:?} {machines:?}");
            fitting += u32::from(fits);
            passed_over += u32::from(!need.fits(&most));
        }
        assert!(fitting > 100 && passed_over > 100);
    }
}
