//! Which container images a machine is thought to cache.
//!
//! Owns the estimate of each machine's image cache, least recently used
//! first. Called whenever a task is assigned. An estimate only: nothing may
//! rely on an image being there.

use super::{ClusterState, MachineHandle};

/// Images that are noted of a machine, so that its record stays small.
const MAX_IMAGES_PER_MACHINE: usize = 32;

impl ClusterState {
    /// The machine has the image, or fetches it: it becomes the most recently
    /// used of its cache, and the oldest that no longer fit are gone. By size,
    /// as a large image stays while many small ones come.
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
        let cache_gb = match self.types[machine.type_ix].cache_gb {
            known if known > 0.0 => known,
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
