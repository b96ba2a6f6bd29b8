//! Pending writes that cannot be derived from the cluster state.
//!
//! Owns `WriteQueue`. The modules of the leader add entries; `persistence` and
//! `offload` take them when they plan transactions. This module does not access
//! the state service.

use crate::state::cluster::JobHandle;

/// Pending writes that cannot be derived from the cluster state.
#[derive(Default)]
pub(super) struct WriteQueue {
    /// Keys to delete regardless of their version.
    pub(super) unconditional_deletes: Vec<String>,
    /// Keys to delete if they still have the given version.
    pub(super) conditional_deletes: Vec<(String, u64)>,
    /// Jobs whose offload has to be recorded in the job's record or removed from it.
    pub(super) offload_changes: Vec<JobHandle>,
    /// Whether the last transaction recorded offloads. If so, other changes are
    /// planned next, so that the two kinds take turns.
    pub(super) offloads_went_last: bool,
}
