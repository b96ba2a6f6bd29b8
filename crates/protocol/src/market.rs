//! What a broker of markets asks of the controllers.

use super::users::JobSpec;
use serde::{Deserialize, Serialize};

/// Where brokers keep their records in the state service.
pub const PREFIX: &str = "market/";
/// Under that, one record for each job that is, or may be, offloaded.
pub const AWARDS: &str = "market/award/";
/// Jobs in one answer, so that it fits a frame.
pub const MAX_OFFLOAD_CANDIDATES: usize = 100;

/// A waiting job that could be offloaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OffloadCandidate {
    /// The job, without its dependencies: all of them are done.
    pub spec: JobSpec,
    /// Finished tasks, as sorted ranges with both ends.
    pub done: Vec<(u32, u32)>,
    /// Milliseconds since its acceptance.
    pub waited_ms: u64,
    /// Until its deadline; below zero: passed.
    pub left_ms: Option<i64>,
    /// When it is expected to be done here, if that is known.
    pub here_ms: Option<u64>,
    /// What machines for it would cost here, in millionths.
    pub rent: u64,
    /// Its team's guarantee covers it.
    pub kept: bool,
}

/// Whether a job is marked as offloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OffloadMark {
    /// Its record says that it is offloaded to this award.
    Yes,
    /// It is not, and will not be for this award.
    No,
    /// To be asked again.
    NotYet,
}
