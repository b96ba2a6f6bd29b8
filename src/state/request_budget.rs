//! One controller's requests to the state service, by what they hold up.
//!
//! Owns the controller's share of the request limit and the counts of what was
//! taken and refused. Called by whoever calls the state service; the share follows
//! the role in the election (`rate_limit::share`). Must never hold back a request
//! of leadership: those are charged whatever is left, so that others wait instead.

use super::{Millis, rate_limit::TokenBucket};
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

    /// Requests that it leaves to more urgent ones.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Leadership => 0.0,
            RequestPriority::Acceptance => 1.0,
            RequestPriority::DependencyLookup | RequestPriority::Poll => 3.0,
            RequestPriority::Listing => 2.0,
        }
    }
}

/// Requests of one priority since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Made.
    pub taken: u64,
    /// Held back, to be tried again or given up.
    pub refused: u64,
}

/// A controller's share of the state service's request limit.
#[derive(Debug)]
pub struct RequestBudget {
    bucket: TokenBucket,
    counts: [RequestCounts; RequestPriority::ALL.len()],
}

impl RequestBudget {
    /// For so many requests a second, and so many seconds' worth at once.
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        RequestBudget {
            bucket: TokenBucket::new(per_s, burst_s),
            counts: Default::default(),
        }
    }

    /// Changes the rate, as the controller's role changes.
    pub fn set_rate(&mut self, now: Millis, per_s: f64, burst_s: f64) {
        self.bucket.set_rate(now, per_s, burst_s);
    }

    /// Takes one request, and says whether it may be made.
    pub fn take(&mut self, now: Millis, priority: RequestPriority) -> bool {
        let taken = self.bucket.take(now, 1.0, priority.reserve());
        let counts = &mut self.counts[priority as usize];
        match taken {
            true => counts.taken += 1,
            false => counts.refused += 1,
        }
        taken
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

/// What is left, and requests taken and refused of each priority.
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
