//! Which machines may have changed since the scheduler last looked.
//!
//! Owns the marks. Called by the table of machines on every mutable access.
//! Must never lose a mark before it is taken.

/// Marks by machine index.
#[derive(Debug, Default)]
pub(super) struct StaleMachines {
    marked: Vec<bool>,
    list: Vec<u32>,
    all: bool,
}

impl StaleMachines {
    /// The machine may have changed.
    pub(super) fn mark(&mut self, machine: u32) {
        let index = machine as usize;
        if self.marked.len() <= index {
            self.marked.resize(index + 1, false);
        }
        if !std::mem::replace(&mut self.marked[index], true) {
            self.list.push(machine);
        }
    }

    /// Any machine may have changed.
    pub(super) fn mark_all(&mut self) {
        self.all = true;
    }

    /// Takes the marks of a table with `machines` indices.
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
