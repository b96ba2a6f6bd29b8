//! One controller's budget of requests to the state service, by priority.
//!
//! Owns the controller's share of the request limit, the part of it that is guaranteed
//! to each priority, and the counts of requests taken and refused. Every caller of the
//! state service uses the budget; the share follows the controller's role in the
//! election (`rate_limit::share`). A leadership request must never be held back: such
//! requests are charged whatever is left, so that other requests wait instead.
//!
//! The guaranteed part of the tokens in the bucket belongs to the priorities that have
//! a guarantee; it is refilled first. The remaining surplus goes to more urgent
//! requests first: each priority leaves some requests of the surplus to the priorities
//! above it. Therefore an endless stream of acceptances uses up neither the dependency
//! lookups that jobs wait for nor the polls, and the lookups of a large takeover don't
//! use up the polls.

use super::{
    Millis,
    rate_limit::{TokenBucket, share::Role},
};
use std::fmt;

/// Priority of a request to the state service, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leases, elections, standbys, and the leader's writes once they have begun.
    Leadership,
    /// Acceptances and cancellations of jobs, and the records that a new leader loads.
    Acceptance,
    /// Lookups of dependencies that are known only from stored records: jobs wait for
    /// them.
    DependencyLookup,
    /// User polls that can only be answered from stored records.
    Poll,
    /// Requests for which no user and no job waits.
    Listing,
}

impl RequestPriority {
    /// All priorities, the most urgent first.
    pub const ALL: [RequestPriority; 5] = [
        RequestPriority::Leadership,
        RequestPriority::Acceptance,
        RequestPriority::DependencyLookup,
        RequestPriority::Poll,
        RequestPriority::Listing,
    ];

    /// Returns the priority's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestPriority::Leadership => "leadership",
            RequestPriority::Acceptance => "acceptance",
            RequestPriority::DependencyLookup => "dependency_lookup",
            RequestPriority::Poll => "poll",
            RequestPriority::Listing => "listing",
        }
    }

    /// Number of surplus requests that this priority leaves to more urgent ones.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Leadership => 0.0,
            RequestPriority::Acceptance => 1.0,
            RequestPriority::DependencyLookup => 2.0,
            RequestPriority::Poll => 3.0,
            RequestPriority::Listing => 4.0,
        }
    }

    /// Fraction of the controller's rate that no other priority can use up. Only a
    /// leader looks up dependencies.
    fn guaranteed_share(self, role: Role) -> f64 {
        match (self, role) {
            (RequestPriority::DependencyLookup, Role::Leader) => LOOKUP_SHARE,
            (RequestPriority::Poll, _) => POLL_SHARE,
            _ => 0.0,
        }
    }
}

/// Fraction of a controller's rate that is guaranteed to dependency lookups. Lookups
/// are few, and jobs wait for them.
const LOOKUP_SHARE: f64 = 0.2;
/// Fraction of a controller's rate that is guaranteed to polls.
const POLL_SHARE: f64 = 0.1;
/// Maximum number of requests that a priority's guarantee accumulates while it is not
/// used.
const MAX_GUARANTEED_REQUESTS: f64 = 2.0;
/// Maximum fraction of the bucket's capacity that one guarantee may hold, which limits
/// it for small buckets.
const MAX_GUARANTEED_PART: f64 = 0.2;

/// Number of requests of one priority since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that were made.
    pub taken: u64,
    /// Requests that were held back, to be retried or given up.
    pub refused: u64,
}

/// The part of the bucket that is kept for one priority.
#[derive(Debug, Clone, Copy, Default)]
struct Guarantee {
    requests_per_ms: f64,
    requests: f64,
    max_requests: f64,
}

impl Guarantee {
    fn set_share(&mut self, share: f64, per_s: f64, capacity: f64) {
        self.requests_per_ms = per_s * share / 1000.0;
        let max_requests = MAX_GUARANTEED_REQUESTS.min(capacity * MAX_GUARANTEED_PART);
        // A guarantee of less than one request could never be taken and would only be
        // withheld from other priorities.
        self.max_requests = match share > 0.0 && max_requests >= 1.0 {
            true => max_requests,
            false => 0.0,
        };
        self.requests = self.requests.min(self.max_requests);
    }

    fn refill(&mut self, elapsed: Millis) {
        let requests = self.requests + elapsed as f64 * self.requests_per_ms;
        self.requests = requests.min(self.max_requests);
    }
}

/// A controller's share of the state service's request limit, with the guarantees of
/// each priority.
#[derive(Debug)]
pub struct RequestBudget {
    bucket: TokenBucket,
    capacity: f64,
    guarantees: [Guarantee; RequestPriority::ALL.len()],
    refilled_at: Millis,
    counts: [RequestCounts; RequestPriority::ALL.len()],
}

impl RequestBudget {
    /// Returns the budget of a controller in this role, with `per_s` requests per
    /// second and a burst of `burst_s` seconds' worth of requests.
    pub fn new(role: Role, per_s: f64, burst_s: f64) -> Self {
        let mut budget = RequestBudget {
            bucket: TokenBucket::new(per_s, burst_s),
            capacity: 0.0,
            guarantees: Default::default(),
            refilled_at: 0,
            counts: Default::default(),
        };
        budget.set_guarantees(role, per_s, burst_s);
        for guarantee in &mut budget.guarantees {
            guarantee.requests = guarantee.max_requests;
        }
        budget
    }

    /// Applies a changed role of the controller and the rate that goes with it.
    pub fn set_role(&mut self, now: Millis, role: Role, per_s: f64, burst_s: f64) {
        self.refill_guarantees(now);
        self.bucket.set_rate(now, per_s, burst_s);
        self.set_guarantees(role, per_s, burst_s);
    }

    fn set_guarantees(&mut self, role: Role, per_s: f64, burst_s: f64) {
        // Same capacity as that of the token bucket.
        self.capacity = (per_s * burst_s).max(1.0);
        for priority in RequestPriority::ALL {
            let share = priority.guaranteed_share(role);
            self.guarantees[priority as usize].set_share(share, per_s, self.capacity);
        }
    }

    fn refill_guarantees(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        for guarantee in &mut self.guarantees {
            guarantee.refill(elapsed);
        }
    }

    /// Takes one request from the budget and returns whether the request may be made.
    pub fn take(&mut self, now: Millis, priority: RequestPriority) -> bool {
        self.refill_guarantees(now);
        let taken = self.take_guaranteed(now, priority) || self.take_surplus(now, priority);
        let counts = &mut self.counts[priority as usize];
        match taken {
            true => counts.taken += 1,
            false => counts.refused += 1,
        }
        taken
    }

    fn take_guaranteed(&mut self, now: Millis, priority: RequestPriority) -> bool {
        let guarantee = &mut self.guarantees[priority as usize];
        if guarantee.requests < 1.0 || !self.bucket.take(now, 1.0, 0.0) {
            return false;
        }
        guarantee.requests -= 1.0;
        true
    }

    fn take_surplus(&mut self, now: Millis, priority: RequestPriority) -> bool {
        let guaranteed: f64 = self.guarantees.iter().map(|g| g.requests).sum();
        let max_guaranteed: f64 = self.guarantees.iter().map(|g| g.max_requests).sum();
        // Limits the reserve so that a full bucket serves every priority, however small
        // the bucket is.
        let max_reserve = (self.capacity - max_guaranteed - 1.0).max(0.0);
        let reserve = priority.reserve().min(max_reserve);
        self.bucket.take(now, 1.0, guaranteed + reserve)
    }

    /// Charges requests that are made in any case.
    pub fn charge(&mut self, now: Millis, priority: RequestPriority, requests: u32) {
        self.bucket.force(now, f64::from(requests));
        self.counts[priority as usize].taken += u64::from(requests);
    }

    /// Number of requests that may be made now; negative while in debt.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.bucket.level(now)
    }

    /// Returns the number of requests taken and refused, by priority.
    pub fn counts(&self) -> impl Iterator<Item = (RequestPriority, RequestCounts)> {
        RequestPriority::ALL.into_iter().zip(self.counts)
    }
}

/// Writes the number of requests taken and refused of each priority.
impl fmt::Display for RequestBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("requests taken and refused:")?;
        for (priority, counts) in self.counts() {
            let (taken, refused) = (counts.taken, counts.refused);
            write!(f, " {} {taken} {refused}", priority.name())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
