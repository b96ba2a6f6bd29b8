//! Errors of users' requests.

use thiserror::Error;

/// Why a request has no answer that counts.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Failure {
    /// Refused for good: repeating the request changes nothing.
    #[error("refused ({status}): {why}")]
    Refused {
        /// The HTTP status: 400, 405 or 422.
        status: u16,
        /// The reason given.
        why: String,
    },
    /// There is no such job.
    #[error("no such job")]
    NoSuchJob,
    /// Given up after repeated attempts; nothing was done.
    #[error("given up, nothing was done: {last}")]
    GivenUp {
        /// How the last attempt ended.
        last: String,
    },
    /// Given up, and an attempt may have taken effect or may still do so:
    /// the same request can be made again, under the same id.
    #[error("given up, but it may have been done: {last}")]
    Unknown {
        /// How the last attempt ended.
        last: String,
    },
}
