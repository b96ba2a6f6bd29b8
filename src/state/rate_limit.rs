//! Rate budgets towards the state service, and how the controllers share them.
//!
//! Owns the shares; `TokenBucket` keeps each controller to its own. Called as a
//! controller's role or the number of controllers changes. The shares of all
//! must never add up to more than the whole.

pub use crate::transport::rate_limit::TokenBucket;

/// How the controllers share what all of them together may request per second,
/// as fractions of the whole. A tenth is left for what can't wait. The leader
/// has a share of its own, so that followers' polls can't use up what it needs
/// to renew its lease.
pub mod share {
    /// What a controller is at the time.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Role {
        /// It leads.
        Leads,
        /// Another controller leads.
        Follows,
        /// Nobody leads.
        Leaderless,
    }
    use Role::*;

    /// The share of requests of one of so many controllers.
    pub fn of_requests(role: Role, nodes: usize) -> f64 {
        match (role, nodes) {
            (_, 0 | 1) => 0.9,
            (Leads, _) => 0.55,
            (Follows, n) => 0.35 / (n - 1) as f64,
            (Leaderless, n) => 0.9 / n as f64,
        }
    }

    /// The share of writes. Followers write only while no leader can be reached.
    /// Without a leader, first come is first served: which controller users ask
    /// is not known beforehand.
    pub fn of_changes(role: Role, nodes: usize) -> f64 {
        match (role, nodes) {
            (Follows, 2..) => 0.45 / (nodes - 1) as f64,
            _ => 0.9,
        }
    }

    /// How many seconds' worth of writes is kept for submissions.
    const RESERVED_FOR_USERS_S: f64 = 0.25;
    /// And how many writes at most.
    const MAX_WRITES_RESERVED_FOR_USERS: f64 = 8.0;

    /// Writes that persistence leaves for submissions, which would be refused
    /// when progress has just used up the budget.
    pub fn kept_for_users(rate: f64) -> f64 {
        (rate * RESERVED_FOR_USERS_S).clamp(1.0, MAX_WRITES_RESERVED_FOR_USERS)
    }
}

#[cfg(test)]
mod tests;
