//! Tracks which machines may have changed since the scheduler last looked.
//!
//! Owns the stale marks. The machine table sets a mark on every mutable access. A mark
//! must never be lost before it is taken.

/// Stale marks, by machine index.
#[derive(Debug, Default)]
pub(super) struct StaleMachines {
    marked: Vec<bool>,
    list: Vec<u32>,
    all: bool,
}

impl StaleMachines {
    /// Marks the machine with this index as stale.
    pub(super) fn mark(&mut self, machine: u32) {
        let index = machine as usize;
        if self.marked.len() <= index {
            self.marked.resize(index + 1, false);
        }
        if !std::mem::replace(&mut self.marked[index], true) {
            self.list.push(machine);
        }
    }

    /// Marks all machines as stale.
    pub(super) fn mark_all(&mut self) {
        self.all = true;
    }

    /// Returns the indices of the stale machines and clears all marks. `machines` is
    /// the number of indices in the machine table.
    pub(super) fn take(&mut self, machines: usize) -> Vec<u32> {
        let list = std::mem::take(&mut self.list);
        for machine in &list {
            self.marked[*machine as usize] = false;
        }
        match std::mem::take(&mut self.all) {
            true => (0..machines as u32).collect(),
            false => list,
        }
    }
}
