//! One controller's requests to the state service, by what they hold up.
//!
//! Owns the controller's share of the request limit, what of it is guaranteed to
//! which priority, and the counts of what was taken and refused. Called by whoever
//! calls the state service; the share follows the role in the election
//! (`rate_limit::share`). Must never hold back a request of leadership: those are
//! charged whatever is left, so that others wait instead.
//!
//! Of what the bucket holds, the guaranteed part belongs to the priorities that have
//! a guarantee; it fills first. The rest, the surplus, is for whoever is more urgent:
//! each priority leaves some requests of it to those above. So acceptances without
//! end use up neither the lookups that jobs wait for nor the polls, and lookups of a
//! large takeover don't use up the polls.

use super::{
    Millis,
    rate_limit::{TokenBucket, share::Role},
};
use std::fmt;

/// Requests to the state service by what they hold up, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leases, elections, standbys, and the leader's writes once they are begun.
    Leadership,
    /// Acceptances and cancellations, and what a new leader loads.
    Acceptance,
    /// Dependencies that only the records know: jobs wait for them.
    DependencyLookup,
    /// Users' polls that only the records can answer.
    Poll,
    /// What nobody waits for.
    Listing,
}

impl RequestPriority {
    /// All of them, the most urgent first.
    pub const ALL: [RequestPriority; 5] = [
        RequestPriority::Leadership,
        RequestPriority::Acceptance,
        RequestPriority::DependencyLookup,
        RequestPriority::Poll,
        RequestPriority::Listing,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestPriority::Leadership => "leadership",
            RequestPriority::Acceptance => "acceptance",
            RequestPriority::DependencyLookup => "dependency_lookup",
            RequestPriority::Poll => "poll",
            RequestPriority::Listing => "listing",
        }
    }

    /// Requests of the surplus that it leaves to more urgent ones.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Leadership => 0.0,
            RequestPriority::Acceptance => 1.0,
            RequestPriority::DependencyLookup => 2.0,
            RequestPriority::Poll => 3.0,
            RequestPriority::Listing => 4.0,
        }
    }

    /// The part of the controller's rate that no other priority can use up. Only a
    /// leader looks dependencies up.
    fn guaranteed_share(self, role: Role) -> f64 {
        match (self, role) {
            (RequestPriority::DependencyLookup, Role::Leads) => LOOKUP_SHARE,
            (RequestPriority::Poll, _) => POLL_SHARE,
            _ => 0.0,
        }
    }
}

/// The part of a controller's rate that is guaranteed to dependency lookups. They are
/// few, and jobs wait for them.
const LOOKUP_SHARE: f64 = 0.2;
/// The part that is guaranteed to polls.
const POLL_SHARE: f64 = 0.1;
/// Most requests that a priority's guarantee holds while it is not used.
const MAX_GUARANTEED_REQUESTS: f64 = 2.0;
/// The part of a small bucket that one guarantee may hold.
const MAX_GUARANTEED_PART: f64 = 0.2;

/// Requests of one priority since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Made.
    pub taken: u64,
    /// Held back, to be tried again or given up.
    pub refused: u64,
}

/// What of the bucket is kept for one priority.
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
        // Less than one request can't be taken, and would only be kept from others.
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

/// A controller's share of the state service's request limit.
#[derive(Debug)]
pub struct RequestBudget {
    bucket: TokenBucket,
    capacity: f64,
    guarantees: [Guarantee; RequestPriority::ALL.len()],
    refilled_at: Millis,
    counts: [RequestCounts; RequestPriority::ALL.len()],
}

impl RequestBudget {
    /// For a controller in this role, with so many requests a second, and so many
    /// seconds' worth at once.
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

    /// The controller's role has changed, and its rate with it.
    pub fn set_role(&mut self, now: Millis, role: Role, per_s: f64, burst_s: f64) {
        self.refill_guarantees(now);
        self.bucket.set_rate(now, per_s, burst_s);
        self.set_guarantees(role, per_s, burst_s);
    }

    fn set_guarantees(&mut self, role: Role, per_s: f64, burst_s: f64) {
        // As much as the bucket holds when it is full.
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

    /// Takes one request, and says whether it may be made.
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
        // A full bucket serves every priority, however small it is.
        let max_reserve = (self.capacity - max_guaranteed - 1.0).max(0.0);
        let reserve = priority.reserve().min(max_reserve);
        self.bucket.take(now, 1.0, guaranteed + reserve)
    }

    /// Charges requests that are made in any case.
    pub fn charge(&mut self, now: Millis, priority: RequestPriority, requests: u32) {
        self.bucket.force(now, f64::from(requests));
        self.counts[priority as usize].taken += u64::from(requests);
    }

    /// How many requests may be made now; negative while in debt.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.bucket.level(now)
    }

    /// What was taken and refused, by priority.
    pub fn counts(&self) -> impl Iterator<Item = (RequestPriority, RequestCounts)> {
        RequestPriority::ALL.into_iter().zip(self.counts)
    }
}

/// Requests taken and refused of each priority.
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
