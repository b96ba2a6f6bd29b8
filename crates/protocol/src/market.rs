//! Messages in which a market broker asks controllers about jobs to offload.

use super::users::JobSpec;
use serde::{Deserialize, Serialize};

/// Key prefix of the brokers' records in the state service.
pub const PREFIX: &str = "market/";
/// Key prefix, under `PREFIX`, of one record for each job that is, or may be,
/// offloaded.
pub const AWARDS: &str = "market/award/";
/// Maximum number of jobs in one reply, so that the reply fits a frame.
pub const MAX_OFFLOAD_CANDIDATES: usize = 100;

/// A waiting job that could be offloaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OffloadCandidate {
    /// The job's spec, without its dependencies: all of them are done.
    pub spec: JobSpec,
    /// Completed tasks, as sorted ranges that include both ends.
    pub done: Vec<(u32, u32)>,
    /// Milliseconds since the job was accepted.
    pub waited_ms: u64,
    /// Milliseconds until the job's deadline; negative if the deadline has passed.
    pub left_ms: Option<i64>,
    /// Milliseconds that running the job in this cluster is expected to take, if that
    /// is known.
    pub here_ms: Option<u64>,
    /// Cost of machines for the job in this cluster, in millionths of the price list's
    /// unit.
    pub rent: u64,
    /// Whether the guarantee of the job's team covers the job.
    pub kept: bool,
}

/// Whether a job is marked as offloaded to an award.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OffloadMark {
    /// The job's record says that the job is offloaded to this award.
    Yes,
    /// The job is not offloaded to this award, and will not be.
    No,
    /// The outcome is not known yet; the broker has to ask again.
    NotYet,
}
