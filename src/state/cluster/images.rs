//! Estimate of which container images each machine caches.
//!
//! Owns the estimated image cache of each machine, ordered from least to most recently
//! used, and updates it whenever a task is assigned. The estimate may be wrong: no code
//! may rely on an image being cached.

use super::{ClusterState, MachineHandle};

/// Maximum number of images listed per machine, which keeps the machine's record small.
const MAX_IMAGES_PER_MACHINE: usize = 32;

impl ClusterState {
    /// Records that a machine has or fetches an image: the image becomes the most
    /// recently used entry, and the least recently used entries that no longer fit the
    /// cache are removed. Eviction goes by size, because one large image can stay while
    /// many small ones arrive.
    pub(super) fn record_image_use(&mut self, machine: MachineHandle, image: u32, size_gb: f64) {
        if self.image_gb.len() <= image as usize {
            self.image_gb.resize(image as usize + 1, 0.0);
        }
        self.image_gb[image as usize] = size_gb;
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        if machine.images.last() == Some(&image) {
            return;
        }
        match machine.images.iter().position(|cached| *cached == image) {
            Some(at) => {
                machine.images.remove(at);
            }
            None => machine.images_unrecorded = true,
        }
        machine.images.push(image);
        let size_of = |image: &u32| self.image_gb.get(*image as usize).copied().unwrap_or(0.0);
        let cache_gb = match self.types[machine.type_index].cache_gb {
            configured_gb if configured_gb > 0.0 => configured_gb,
            _ => f64::INFINITY,
        };
        let mut cached_gb: f64 = machine.images.iter().map(size_of).sum();
        while machine.images.len() > 1
            && (machine.images.len() > MAX_IMAGES_PER_MACHINE || cached_gb > cache_gb)
        {
            cached_gb -= size_of(&machine.images[0]);
            machine.images.remove(0);
        }
    }
}
