//! Pending writes to the state service: what the leader wants recorded, the
//! transactions that record it, and the changes that the cluster state does not
//! show by itself.
//!
//! Filled by the modules of the leader, emptied by its persistence, which plans
//! the transactions. Nothing here talks to the state service.

use crate::protocol::{state::Txn, users::JobState};

/// What one write of a transaction records, with the index and the name of its
/// job or machine.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteIntent {
    /// The job is cancelled.
    Cancel(u32, String),
    /// The job is offloaded.
    Offload(u32, String),
    /// The job is local again.
    EndOffload(u32, String),
    /// The job has this final state.
    Finish(u32, String, JobState),
    /// Completed tasks of the job, in these bitmap segments.
    RecordProgress(u32, String, Vec<usize>),
    /// The machine enters the machine registry.
    Registration(u32, String),
    /// The machine's lease has expired.
    ExpireMachine(u32, String),
    /// The machine is being released.
    MarkReleasing(u32, String),
    /// The key is deleted.
    Delete(String),
    /// Spec chunks of the job, up to this one.
    UploadSpec(u32, String, usize),
}

/// One transaction and what it records.
#[derive(Debug, Clone)]
pub struct WritePlan {
    /// As it is sent to the state service.
    pub txn: Txn,
    /// What its writes record.
    pub intents: Vec<WriteIntent>,
}

/// What is to be written that the cluster state does not show by itself.
#[derive(Default)]
pub(super) struct WriteQueue {
    /// Keys to be deleted whatever their version.
    pub(super) unconditional_deletes: Vec<String>,
    /// Keys to be deleted if they still have this version.
    pub(super) conditional_deletes: Vec<(String, u64)>,
    /// Jobs whose offload state is to be recorded or lifted.
    pub(super) offload_changes: Vec<u32>,
    /// The last transaction recorded offloads: other changes go first now.
    pub(super) offloads_went_last: bool,
}
