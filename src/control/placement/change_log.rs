//! Log of changed machines, from which rankings are brought up to date.
//!
//! Owned by `Fleet`. A position in the log is the number of changes recorded before it. Old
//! changes are dropped; a ranking whose position is before the oldest kept change has to be
//! rebuilt.

use std::collections::VecDeque;

/// Minimum number of changes that the log can hold, however small the fleet is.
const MIN_CHANGES: usize = 64;

/// Indices of machines that changed, oldest first.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    machines: VecDeque<u32>,
    /// Number of changes that were dropped.
    dropped: u64,
}

impl ChangeLog {
    /// Records a change of a machine. At most one change per machine of the fleet is kept (but
    /// at least `MIN_CHANGES`), because a ranking that is further behind is cheaper to
    /// rebuild.
    pub(super) fn record(&mut self, machine: u32, fleet_size: usize) {
        self.machines.push_back(machine);
        if self.machines.len() > fleet_size.max(MIN_CHANGES) {
            self.machines.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the position after the latest change.
    pub(super) fn end(&self) -> u64 {
        self.dropped + self.machines.len() as u64
    }

    /// Returns the machines changed since a position, or `None` if some of these changes were
    /// dropped.
    pub(super) fn since(&self, position: u64) -> Option<impl Iterator<Item = u32>> {
        let first = position.checked_sub(self.dropped)? as usize;
        Some(self.machines.iter().skip(first).copied())
    }
}
