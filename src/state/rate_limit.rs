//! Rate limits of the state service, and how the controllers share them.
//!
//! Owns the shares; a `TokenBucket` keeps each controller within its own. The caller
//! recomputes the shares when a controller's role or the number of controllers changes.
//! The shares of all controllers must never add up to more than the whole limit.

pub use crate::transport::rate_limit::TokenBucket;

/// The shares of the state service's rate limits, as fractions of the rate allowed for
/// all controllers together. One tenth is left for requests that can't wait. The leader
/// has a share of its own, so that polls handled by followers can't use up the requests
/// that it needs to renew its lease.
pub mod share {
    /// The current role of a controller.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Role {
        /// The controller is the leader.
        Leader,
        /// Another controller is the leader.
        Follower,
        /// There is no leader.
        NoLeader,
    }
    use Role::*;

    /// Returns one controller's share of the request rate, with `nodes` controllers in
    /// total.
    pub fn of_requests(role: Role, nodes: usize) -> f64 {
        match (role, nodes) {
            (_, 0 | 1) => 0.9,
            (Leader, _) => 0.55,
            (Follower, n) => 0.35 / (n - 1) as f64,
            (NoLeader, n) => 0.9 / n as f64,
        }
    }

    /// Returns one controller's share of the write rate. Followers write only while no
    /// leader can be reached. Without a leader every controller may use the whole
    /// share, first come, first served: it is not known beforehand which controller
    /// users contact.
    pub fn of_writes(role: Role, nodes: usize) -> f64 {
        match (role, nodes) {
            (Follower, 2..) => 0.45 / (nodes - 1) as f64,
            _ => 0.9,
        }
    }

    /// Time in seconds whose worth of writes is reserved for submissions.
    const RESERVED_FOR_USERS_S: f64 = 0.25;
    /// Maximum number of writes reserved for submissions.
    const MAX_WRITES_RESERVED_FOR_USERS: f64 = 8.0;

    /// Returns the number of writes that persistence leaves for submissions. Without
    /// this reserve, submissions would be refused when task progress has just used up
    /// the budget.
    pub fn writes_reserved_for_submissions(rate: f64) -> f64 {
        (rate * RESERVED_FOR_USERS_S).clamp(1.0, MAX_WRITES_RESERVED_FOR_USERS)
    }
}

#[cfg(test)]
mod tests;
