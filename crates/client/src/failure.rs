//! Errors of the user client.

use thiserror::Error;

/// Error of a user's request.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Failure {
    /// The request was rejected permanently; a retry would be rejected too.
    #[error("request refused with status {status}: {reason}")]
    Refused {
        /// HTTP status of the response: 400, 405 or 422.
        status: u16,
        /// Reason from the response body.
        reason: String,
    },
    /// The job does not exist, or its ID is not a valid one.
    #[error("no such job")]
    NoSuchJob,
    /// The client stopped retrying, and none of its attempts took effect. For a
    /// poll: the single attempt failed.
    #[error("request given up, no attempt took effect; last attempt: {last}")]
    GivenUp {
        /// Error or status of the last attempt.
        last: String,
    },
    /// The client stopped retrying, and an attempt may have taken effect or may
    /// still do so. The same request can be made again under the same job ID.
    #[error("request given up, but an attempt may have taken effect; last attempt: {last}")]
    Unknown {
        /// Error or status of the last attempt.
        last: String,
    },
}
