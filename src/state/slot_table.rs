//! Dense tables whose entries are named by handles: an index, and a generation that
//! tells an entry from a later one at the same index.
//!
//! Owns how indices are given out and used again. Jobs and machines of the cluster
//! state are kept in such tables, and named by handles everywhere else. A handle of
//! an entry that was removed must never find another one: whoever keeps it across
//! events then finds nothing, rather than somebody else's state.

use std::{marker::PhantomData, num::NonZeroU32};

/// An index and its generation. `JobHandle` and `MachineHandle` wrap it, so that one
/// can't be taken for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle {
    index: u32,
    generation: NonZeroU32,
}

impl Handle {
    /// The index. It names the entry only as long as the table has not changed.
    pub fn index(self) -> u32 {
        self.index
    }
}

/// Defines the type of the handles of one table.
macro_rules! handle_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name($crate::state::slot_table::Handle);

        impl $name {
            /// The index. It names the entry only as long as the table has not changed.
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
    /// Of its entry, or of the next one.
    generation: NonZeroU32,
    entry: Option<T>,
}

/// A dense table of `T`, named by handles of type `H`.
#[derive(Debug)]
pub struct SlotTable<H, T> {
    slots: Vec<Slot<T>>,
    /// Slots without an entry, the one freed last at the end.
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
    /// Adds an entry.
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

    /// Takes an entry out; `None`: it was taken out before.
    pub fn remove(&mut self, handle: H) -> Option<T> {
        let handle = handle.into();
        let slot = self.slots.get_mut(handle.index as usize)?;
        let entry = slot
            .entry
            .take_if(|_| slot.generation == handle.generation)?;
        // A slot that has had all generations is never used again.
        if let Some(next) = slot.generation.checked_add(1) {
            slot.generation = next;
            self.free.push(handle.index);
        }
        Some(entry)
    }

    /// The entry; `None`: it was taken out.
    pub fn get(&self, handle: H) -> Option<&T> {
        let handle = handle.into();
        let slot = self.slots.get(handle.index as usize)?;
        let entry = slot.entry.as_ref()?;
        (slot.generation == handle.generation).then_some(entry)
    }

    /// The entry, to be changed.
    pub fn get_mut(&mut self, handle: H) -> Option<&mut T> {
        let handle = handle.into();
        let slot = self.slots.get_mut(handle.index as usize)?;
        let entry = slot.entry.as_mut()?;
        (slot.generation == handle.generation).then_some(entry)
    }

    /// The handle of the entry that has this index now.
    pub fn handle_at(&self, index: u32) -> Option<H> {
        self.entry_at(index).map(|(handle, _)| handle)
    }

    /// The entry that has this index now, with its handle.
    pub fn entry_at(&self, index: u32) -> Option<(H, &T)> {
        let slot = self.slots.get(index as usize)?;
        let entry = slot.entry.as_ref()?;
        let generation = slot.generation;
        Some((Handle { index, generation }.into(), entry))
    }

    /// How many indices have been given out.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// All entries, by index.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.entry.as_ref())
    }

    /// All entries, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().filter_map(|slot| slot.entry.as_mut())
    }

    /// All entries with their handles, by index.
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

    /// The same, to be changed.
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
