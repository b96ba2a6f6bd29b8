//! This node's shares of the rate limits of the key-value store and the cloud.
//!
//! This module owns the token buckets and the current limit of changes per transaction.
//! Every caller of the store or the cloud charges its requests here; the shares depend
//! on the node's role in the election.
//!
//! Invariant: requests that obtain or hold leadership are never delayed. They are
//! charged without a check ([`Budgets::charge_requests`]), so that other requests wait
//! instead.

use crate::{
    protocol::settings::Settings,
    state::{
        Millis,
        rate_limit::{
            TokenBucket,
            share::{self, Role},
        },
        request_budget::{RequestBudget, RequestCounts, RequestPriority},
    },
};
use std::cell::{Cell, RefCell};

/// Burst of requests to the store, and of changes, in seconds of the rate.
const STORE_BURST_S: f64 = 0.9;
/// Burst of requests to the cloud, in seconds of the rate.
const CLOUD_BURST_S: f64 = 1.0;
/// Fraction of the cloud's request limit that a leader uses. The other nodes only read
/// the machine types.
const CLOUD_SHARE: f64 = 0.8;
/// Lower bound of the limit of changes per transaction.
const MIN_TXN_CHANGES: usize = 2;

pub(super) struct Budgets {
    requests: RefCell<RequestBudget>,
    changes: RefCell<TokenBucket>,
    cloud_requests: RefCell<TokenBucket>,
    max_txn_changes: Cell<usize>,
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        let limits = settings.cluster.state.strictest();
        let nodes = settings.peers.len() + 1;
        let request_rate = limits.rps * share::of_requests(Role::NoLeader, nodes);
        let change_rate = limits.write_rps * share::of_writes(Role::NoLeader, nodes);
        let cloud_rate = settings.cluster.cloud.rps * CLOUD_SHARE;
        Budgets {
            requests: RefCell::new(RequestBudget::new(
                Role::NoLeader,
                request_rate,
                STORE_BURST_S,
            )),
            changes: RefCell::new(TokenBucket::new(change_rate, STORE_BURST_S)),
            cloud_requests: RefCell::new(TokenBucket::new(cloud_rate, CLOUD_BURST_S)),
            max_txn_changes: Cell::new(usize::MAX),
        }
    }

    /// Adjusts the shares to the node's role in the election.
    pub(super) fn set_role(&self, role: Role, settings: &Settings, now: Millis) {
        let limits = settings.cluster.state.strictest();
        let nodes = settings.peers.len() + 1;
        let request_rate = limits.rps * share::of_requests(role, nodes);
        self.requests
            .borrow_mut()
            .set_role(now, role, request_rate, STORE_BURST_S);
        let change_rate = limits.write_rps * share::of_writes(role, nodes);
        self.changes
            .borrow_mut()
            .set_rate(now, change_rate, STORE_BURST_S);
    }

    /// Takes one request to the store from the budget. Returns whether it may be sent.
    pub(super) fn take_request(&self, now: Millis, priority: RequestPriority) -> bool {
        self.requests.borrow_mut().take(now, priority)
    }

    /// Charges requests to the store that are sent even if the budget is exhausted.
    pub(super) fn charge_requests(&self, now: Millis, priority: RequestPriority, requests: u32) {
        self.requests.borrow_mut().charge(now, priority, requests);
    }

    /// Returns the numbers of requests to the store that were allowed and denied, by
    /// priority.
    pub(super) fn request_counts(&self) -> Vec<(RequestPriority, RequestCounts)> {
        self.requests.borrow().counts().collect()
    }

    /// Describes for the log how many requests may be sent now, and the request counts
    /// by priority.
    pub(super) fn describe_requests(&self, now: Millis) -> String {
        let mut requests = self.requests.borrow_mut();
        format!("{:.1} left, {requests}", requests.level(now))
    }

    /// Returns how many requests to the store may be sent now.
    pub(super) fn request_level(&self, now: Millis) -> f64 {
        self.requests.borrow_mut().level(now)
    }

    /// Takes the changes of a transaction from the budget. Returns whether they may be
    /// written.
    pub(super) fn take_changes(&self, now: Millis, changes: f64) -> bool {
        self.changes.borrow_mut().take(now, changes, 0.0)
    }

    /// Charges changes that are written even if the budget is exhausted.
    pub(super) fn charge_changes(&self, now: Millis, changes: f64) {
        self.changes.borrow_mut().force(now, changes);
    }

    /// Returns how many changes may be written now.
    pub(super) fn change_level(&self, now: Millis) -> f64 {
        self.changes.borrow_mut().level(now)
    }

    /// Takes one request to the cloud from the budget. Returns whether it may be sent.
    pub(super) fn take_cloud_request(&self, now: Millis) -> bool {
        self.cloud_requests.borrow_mut().take(now, 1.0, 0.0)
    }

    /// Returns how many changes a transaction may contain.
    pub(super) fn max_txn_changes(&self) -> usize {
        self.max_txn_changes.get()
    }

    /// Doubles the limit of changes per transaction after a transaction was applied.
    pub(super) fn txn_applied(&self) {
        let doubled = self.max_txn_changes.get().saturating_mul(2);
        self.max_txn_changes.set(doubled);
    }

    /// Lowers the limit of changes per transaction to half of a transaction that the
    /// store rejected, so that a transaction which is too large isn't sent again in the
    /// same size.
    pub(super) fn txn_rejected(&self, changes: usize) {
        self.max_txn_changes.set((changes / 2).max(MIN_TXN_CHANGES));
    }
}
