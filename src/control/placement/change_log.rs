//! The log of machines that changed, which rankings follow.
//!
//! Owned by `Fleet`. A position counts all changes ever recorded; those before
//! the oldest kept one are lost, and who stands there has to begin anew.

use std::collections::VecDeque;

/// Changes kept at least, however small the fleet is.
const MIN_CHANGES: usize = 64;

/// Indices of machines that changed, oldest first.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    machines: VecDeque<u32>,
    dropped: u64,
}

impl ChangeLog {
    /// Records a change; as many are kept as there are machines, because a
    /// ranking that is further behind is cheaper to build anew.
    pub(super) fn record(&mut self, machine: u32, fleet_size: usize) {
        self.machines.push_back(machine);
        if self.machines.len() > fleet_size.max(MIN_CHANGES) {
            self.machines.pop_front();
            self.dropped += 1;
        }
    }

    /// The position after the latest change.
    pub(super) fn end(&self) -> u64 {
        self.dropped + self.machines.len() as u64
    }

    /// Changes from a position on; `None`: some of them are no longer kept.
    pub(super) fn since(&self, position: u64) -> Option<impl Iterator<Item = u32>> {
        let first = position.checked_sub(self.dropped)? as usize;
        Some(self.machines.iter().skip(first).copied())
    }
}
