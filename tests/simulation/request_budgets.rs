//! The controllers' shares of the state service's request rate, if a test limits the rate.
//! Leadership, acceptances, lookups and polls compete for requests by the product's own
//! `RequestBudget`.

use super::*;
use pathwinch::state::{
    rate_limit::share::{self, Role},
    request_budget::{RequestBudget, RequestPriority},
};

/// Size of a burst, as seconds of the request rate; same value as in `server::budgets`.
const BURST_S: f64 = 0.9;
/// Approximate interval of a leader's lease renewals, and of a follower's reads of the
/// leader's key.
const LEADERSHIP_INTERVAL_MS: Millis = 1_000;

/// Request budget of one controller.
pub(super) struct NodeRequests {
    budget: RequestBudget,
    role: Role,
    leadership_due: Millis,
}

impl Simulation {
    /// Limits the requests per second that the state service accepts from all controllers.
    pub fn limit_request_rate(&mut self, per_s: f64) {
        self.request_rate = Some(per_s);
        for node_id in 0..self.nodes.len() {
            self.nodes[node_id].request_budget = self.new_request_budget();
        }
    }

    pub(super) fn new_request_budget(&self) -> Option<NodeRequests> {
        let role = Role::NoLeader;
        let per_s = self.requests_per_s(role)?;
        Some(NodeRequests {
            budget: RequestBudget::new(role, per_s, BURST_S),
            role,
            leadership_due: self.now,
        })
    }

    fn requests_per_s(&self, role: Role) -> Option<f64> {
        let nodes = self.nodes.len().max(1);
        Some(self.request_rate? * share::of_requests(role, nodes))
    }

    /// Adjusts the node's share to its role, and charges the requests for leadership.
    pub(super) fn step_request_budget(&mut self, node_id: usize) {
        let now = self.now;
        let election = &self.nodes[node_id].election;
        let role = match (election.leadership(), election.leader(now)) {
            (Some(_), _) => Role::Leader,
            (None, Some(_)) => Role::Follower,
            (None, None) => Role::NoLeader,
        };
        let Some(per_s) = self.requests_per_s(role) else {
            return;
        };
        let Some(requests) = self.nodes[node_id].request_budget.as_mut() else {
            return;
        };
        if requests.role != role {
            requests.role = role;
            requests.budget.set_role(now, role, per_s, BURST_S);
        }
        if now >= requests.leadership_due {
            requests.leadership_due = now + LEADERSHIP_INTERVAL_MS;
            requests.budget.charge(now, RequestPriority::Leadership, 1);
        }
    }

    /// Takes one request from a node's budget. Returns whether it may be sent; always, if
    /// requests are not limited.
    pub(super) fn may_request(&mut self, node_id: usize, priority: RequestPriority) -> bool {
        let now = self.now;
        let requests = self.nodes[node_id].request_budget.as_mut();
        requests.is_none_or(|requests| requests.budget.take(now, priority))
    }
}
