//! Dense tables whose entries are identified by handles: an index, and a generation
//! that distinguishes an entry from a later one at the same index.
//!
//! Owns the allocation and reuse of indices. The jobs and machines of the cluster state
//! are kept in such tables and identified by handles everywhere else. The handle of a
//! removed entry must never find another entry: code that keeps a handle across events
//! then finds nothing instead of the state of another job or machine.

use std::{marker::PhantomData, num::NonZeroU32};

/// An index and its generation. `JobHandle` and `MachineHandle` wrap this type, so that
/// one can't be used in place of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle {
    index: u32,
    generation: NonZeroU32,
}

impl Handle {
    /// Returns the index. The index identifies the entry only as long as the table has
    /// not changed.
    pub fn index(self) -> u32 {
        self.index
    }
}

/// Defines the handle type of one table.
macro_rules! handle_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name($crate::state::slot_table::Handle);

        impl $name {
            /// Returns the index. The index identifies the entry only as long as the
            /// table has not changed.
            pub fn index(self) -> u32 {
                self.0.index()
            }
        }

        impl From<$crate::state::slot_table::Handle> for $name {
            fn from(handle: $crate::state::slot_table::Handle) -> Self {
                $name(handle)
            }
        }

        impl From<$name> for $crate::state::slot_table::Handle {
            fn from(handle: $name) -> Self {
                handle.0
            }
        }
    };
}
pub(crate) use handle_type;

#[derive(Debug)]
struct Slot<T> {
    /// Generation of the current entry, or of the next one if the slot is free.
    generation: NonZeroU32,
    entry: Option<T>,
}

/// A dense table of `T`, whose entries are identified by handles of type `H`.
#[derive(Debug)]
pub struct SlotTable<H, T> {
    slots: Vec<Slot<T>>,
    /// Indices of the free slots, the one freed last at the end.
    free: Vec<u32>,
    handles: PhantomData<H>,
}

impl<H, T> Default for SlotTable<H, T> {
    fn default() -> Self {
        SlotTable {
            slots: Vec::new(),
            free: Vec::new(),
            handles: PhantomData,
        }
    }
}

impl<H: From<Handle> + Into<Handle>, T> SlotTable<H, T> {
    /// Adds an entry and returns its handle.
    pub fn insert(&mut self, entry: T) -> H {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: NonZeroU32::MIN,
                entry: None,
            });
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.entry = Some(entry);
        let generation = slot.generation;
        Handle { index, generation }.into()
    }

    /// Removes an entry and returns it, or `None` if it was removed before.
    pub fn remove(&mut self, handle: H) -> Option<T> {
        let handle = handle.into();
        let slot = self.slots.get_mut(handle.index as usize)?;
        let entry = slot
            .entry
            .take_if(|_| slot.generation == handle.generation)?;
        // A slot whose generations are exhausted is never reused.
        if let Some(next) = slot.generation.checked_add(1) {
            slot.generation = next;
            self.free.push(handle.index);
        }
        Some(entry)
    }

    /// Returns the entry, or `None` if it was removed.
    pub fn get(&self, handle: H) -> Option<&T> {
        let handle = handle.into();
        let slot = self.slots.get(handle.index as usize)?;
        let entry = slot.entry.as_ref()?;
        (slot.generation == handle.generation).then_some(entry)
    }

    /// Returns the entry for modification, or `None` if it was removed.
    pub fn get_mut(&mut self, handle: H) -> Option<&mut T> {
        let handle = handle.into();
        let slot = self.slots.get_mut(handle.index as usize)?;
        let entry = slot.entry.as_mut()?;
        (slot.generation == handle.generation).then_some(entry)
    }

    /// Returns the handle of the entry that currently has this index.
    pub fn handle_at(&self, index: u32) -> Option<H> {
        self.entry_at(index).map(|(handle, _)| handle)
    }

    /// Returns the entry that currently has this index, with its handle.
    pub fn entry_at(&self, index: u32) -> Option<(H, &T)> {
        let slot = self.slots.get(index as usize)?;
        let entry = slot.entry.as_ref()?;
        let generation = slot.generation;
        Some((Handle { index, generation }.into(), entry))
    }

    /// Number of indices that have been allocated.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns all entries in index order.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }

    /// Returns all entries for modification, in index order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().filter_map(|slot| slot.entry.as_mut())
    }

    /// Returns all entries with their handles, in index order.
    pub fn iter(&self) -> impl Iterator<Item = (H, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| {
            let handle = Handle {
                index: index as u32,
                generation: slot.generation,
            };
            Some((handle.into(), slot.entry.as_ref()?))
        })
    }

    /// Returns all entries with their handles, for modification, in index order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (H, &mut T)> {
        let slots = self.slots.iter_mut().enumerate();
        slots.filter_map(|(index, slot)| {
            let handle = Handle {
                index: index as u32,
                generation: slot.generation,
            };
            Some((handle.into(), slot.entry.as_mut()?))
        })
    }
}

#[cfg(test)]
mod tests;
