//! Rate budgets towards the outside, and how nodes share them.

pub use crate::transport::rate_limit::TokenBucket;

/// How the nodes share what all of them together may ask per second, in
/// shares of the whole. A tenth is left for what can't wait.
///
/// Guards against followers that use up, for polls, what the leader needs to
/// renew: each counted on nine tenths, and the leader was refused.
pub mod share {
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Role {
        Leads,
        /// Another node leads.
        Follows,
        /// Nobody leads.
        Leaderless,
    }
    use Role::*;

    pub fn of_requests(role: Role, nodes: usize) -> f64 {
        match (role, nodes) {
            (_, 0 | 1) => 0.9,
            (Leads, _) => 0.55,
            (Follows, n) => 0.35 / (n - 1) as f64,
            (Leaderless, n) => 0.9 / n as f64,
        }
    }

    /// Followers write only while no leader can be reached. Without one, who
    /// comes first is served: whom users ask is not known beforehand.
    pub fn of_changes(role: Role, nodes: usize) -> f64 {
        match (role, nodes) {
            (Follows, 2..) => 0.45 / (nodes - 1) as f64,
            _ => 0.9,
        }
    }

    /// For how many seconds' worth of changes users come first, and at most.
    const KEPT_S: f64 = 0.25;
    const MOST_KEPT: f64 = 8.0;

    /// Changes that bookkeeping leaves for acceptances. Guards against
    /// submissions that were refused as progress had just used up the budget.
    pub fn kept_for_users(rate: f64) -> f64 {
        (rate * KEPT_S).clamp(1.0, MOST_KEPT)
    }
}

#[cfg(test)]
mod tests;
