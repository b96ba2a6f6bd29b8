//! What is to be written that the cluster state does not show by itself.
//!
//! Filled by the modules of the leader, emptied by `persistence`, which plans
//! the transactions. Nothing here talks to the state service.

use crate::state::cluster::JobHandle;

/// What is to be written that the cluster state does not show by itself.
#[derive(Default)]
pub(super) struct WriteQueue {
    /// Keys to be deleted whatever their version.
    pub(super) unconditional_deletes: Vec<String>,
    /// Keys to be deleted if they still have this version.
    pub(super) conditional_deletes: Vec<(String, u64)>,
    /// Jobs whose offload state is to be recorded or lifted.
    pub(super) offload_changes: Vec<JobHandle>,
    /// The last transaction recorded offloads: other changes go first now.
    pub(super) offloads_went_last: bool,
}
