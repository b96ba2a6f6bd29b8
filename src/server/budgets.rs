//! This node's shares of the request limits of the key-value store and the cloud.
//!
//! Owns: the token buckets and the largest transaction that the store accepts.
//! Charged by whoever calls the store or the cloud; the shares follow the node's
//! role in the election.
//!
//! Must never: hold back a request of leadership. Those are charged without a
//! check ([`Budgets::charge_requests`]), so that other requests wait instead.

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

/// Seconds' worth of requests to the store that a bucket holds.
const STORE_BURST_S: f64 = 0.9;
/// Seconds' worth of requests to the cloud that the bucket holds.
const CLOUD_BURST_S: f64 = 1.0;
/// The part of the cloud's limit that a leader uses.
const CLOUD_SHARE: f64 = 0.8;
/// The fewest changes that a transaction is limited to.
const MIN_TXN_CHANGES: usize = 2;

pub(super) struct Budgets {
    requests: RefCell<RequestBudget>,
    changes: RefCell<TokenBucket>,
    cloud_requests: RefCell<TokenBucket>,
    max_txn_changes: Cell<usize>,
}

impl Budgets {
    pub(super) fn new(settings: &Settings) -> Self {
        let limits = settings.cluster.state.always();
        let nodes = settings.peers.len() + 1;
        let request_rate = limits.rps * share::of_requests(Role::Leaderless, nodes);
        let change_rate = limits.write_rps * share::of_changes(Role::Leaderless, nodes);
        let cloud_rate = settings.cluster.cloud.rps * CLOUD_SHARE;
        Budgets {
            requests: RefCell::new(RequestBudget::new(
                Role::Leaderless,
                request_rate,
                STORE_BURST_S,
            )),
            changes: RefCell::new(TokenBucket::new(change_rate, STORE_BURST_S)),
            cloud_requests: RefCell::new(TokenBucket::new(cloud_rate, CLOUD_BURST_S)),
            max_txn_changes: Cell::new(usize::MAX),
        }
    }

    /// Adjusts the shares to the node's role.
    pub(super) fn set_role(&self, role: Role, settings: &Settings, now: Millis) {
        let limits = settings.cluster.state.always();
        let nodes = settings.peers.len() + 1;
        let request_rate = limits.rps * share::of_requests(role, nodes);
        self.requests
            .borrow_mut()
            .set_role(now, role, request_rate, STORE_BURST_S);
        let change_rate = limits.write_rps * share::of_changes(role, nodes);
        self.changes
            .borrow_mut()
            .set_rate(now, change_rate, STORE_BURST_S);
    }

    /// Takes one request to the store. Returns whether it may be made.
    pub(super) fn take_request(&self, now: Millis, priority: RequestPriority) -> bool {
        self.requests.borrow_mut().take(now, priority)
    }

    /// Charges requests to the store that are made in any case.
    pub(super) fn charge_requests(&self, now: Millis, priority: RequestPriority, requests: u32) {
        self.requests.borrow_mut().charge(now, priority, requests);
    }

    /// Requests to the store that were made and held back, by priority.
    pub(super) fn request_counts(&self) -> Vec<(RequestPriority, RequestCounts)> {
        self.requests.borrow().counts().collect()
    }

    /// How many requests may be made, and who made them, for the log.
    pub(super) fn describe_requests(&self, now: Millis) -> String {
        let mut requests = self.requests.borrow_mut();
        format!("{:.1} left, {requests}", requests.level(now))
    }

    /// How many requests to the store may be made now.
    pub(super) fn request_level(&self, now: Millis) -> f64 {
        self.requests.borrow_mut().level(now)
    }

    /// Takes changes of a transaction. Returns whether they may be written.
    pub(super) fn take_changes(&self, now: Millis, changes: f64) -> bool {
        self.changes.borrow_mut().take(now, changes, 0.0)
    }

    /// Charges changes that are written in any case.
    pub(super) fn charge_changes(&self, now: Millis, changes: f64) {
        self.changes.borrow_mut().force(now, changes);
    }

    /// How many changes may be written now.
    pub(super) fn change_level(&self, now: Millis) -> f64 {
        self.changes.borrow_mut().level(now)
    }

    /// Takes one request to the cloud. Returns whether it may be made.
    pub(super) fn take_cloud_request(&self, now: Millis) -> bool {
        self.cloud_requests.borrow_mut().take(now, 1.0, 0.0)
    }

    /// How many changes a transaction may hold.
    pub(super) fn max_txn_changes(&self) -> usize {
        self.max_txn_changes.get()
    }

    /// A transaction was applied: the next may be larger again.
    pub(super) fn txn_applied(&self) {
        let doubled = self.max_txn_changes.get().saturating_mul(2);
        self.max_txn_changes.set(doubled);
    }

    /// The store rejected a transaction of this many changes as too large, so that
    /// it isn't sent in the same size again.
    pub(super) fn txn_rejected(&self, changes: usize) {
        self.max_txn_changes.set((changes / 2).max(MIN_TXN_CHANGES));
    }
}
