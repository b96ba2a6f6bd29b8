//! Leadership of this node: the loop that campaigns for it, holds it, and steps
//! down.
//!
//! Owns: the requests behind each transition of `control::election`, and the steps
//! a node takes when its term ends. Its loop is started once by the process; the
//! control loop and the standby registry call [`Node::step_down`] when they learn
//! that another node leads.
//!
//! Must never: announce that a term has ended, or give back its lease, before this
//! process has stopped acting in it.

mod campaign;
mod load_state;
mod renew;

use super::Node;
use crate::{protocol::peers::Request, state::Millis};
use async_executor::Task;
use async_io::Timer;
use std::{cell::Cell, rc::Rc, time::Duration};

/// How long a request to all peers may take, and how long a renewal is waited for
/// before the peers are asked for promises.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// This node's leadership apart from the election's own state.
#[derive(Default)]
pub(super) struct LeadershipStatus {
    /// While this node leads: the last renewal failed.
    renewals_failing: Cell<bool>,
    /// When and why this node last stepped down.
    pub(super) last_step_down: Cell<Option<(Millis, StepDownReason)>>,
}

/// Why a leader steps down, for the log, `status` and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepDownReason {
    /// The key-value store no longer holds its lease.
    LeaseEnded,
    /// A write failed, as another node holds the leader's key.
    Replaced,
    /// The key-value store fails this node but serves a peer.
    RefusedAlone,
    /// Its authority ended at the staleness bound.
    CancellationsUnknown,
    /// Neither workers nor controllers are reachable.
    Isolated,
    /// It yields, as its successor in the failover order is unresponsive.
    UnfavourablePosition,
}

impl StepDownReason {
    /// Label value of metrics and log text. Dashboards depend on it.
    pub(super) fn text(self) -> &'static str {
        match self {
            StepDownReason::LeaseEnded => "its lease has ended",
            StepDownReason::Replaced => "another node leads",
            StepDownReason::RefusedAlone => "the state service fails this node alone",
            StepDownReason::CancellationsUnknown => {
                "for too long nobody could show that it knows of all withdrawals"
            }
            StepDownReason::Isolated => "neither workers nor controllers are heard",
            StepDownReason::UnfavourablePosition => {
                "the node that workers try after this one is silent"
            }
        }
    }

    /// Whether the peers are notified, so that they may replace the key at once.
    fn is_announced(self) -> bool {
        matches!(
            self,
            StepDownReason::RefusedAlone
                | StepDownReason::CancellationsUnknown
                | StepDownReason::UnfavourablePosition
        )
    }
}

/// Campaigns for leadership or holds it, for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    loop {
        let leadership = node.election.borrow().leadership();
        let pause = match leadership {
            Some(_) => node.hold_leadership().await,
            None => node.campaign().await,
        };
        Timer::after(pause).await;
    }
}

impl Node {
    /// Stops acting in `term`, then gives back its lease and notifies the peers.
    /// Without effect if this process doesn't lead that term.
    pub(super) fn step_down(self: &Rc<Self>, term: u64, reason: StepDownReason) {
        let Some(resigned) = self.election.borrow_mut().resign(term) else {
            return;
        };
        if let Some(leader) = self.leader.borrow_mut().take() {
            self.final_states.replace(leader.final_states);
        }
        self.leadership.renewals_failing.set(false);
        self.update_budgets();
        let (now, authority) = (self.now(), resigned.authority());
        log::info!(
            "leader of term {} steps down: {}; its authority, by {}, lasts until {} ms from now",
            resigned.term,
            reason.text(),
            authority.basis.text(),
            authority.valid_until as i64 - now as i64
        );
        self.leadership
            .last_step_down
            .set(Some((self.now(), reason)));
        self.metrics.borrow().count_step_down(reason.text());
        // Nothing is done in this term any more, so the key need not outlast it.
        let node = self.clone();
        self.executor
            .spawn_high(async move {
                node.end_lease(resigned.lease, PROBE_TIMEOUT).await;
            })
            .detach();
        if reason.is_announced() {
            let request = Request::Resigned {
                term: resigned.term,
            };
            self.call_all_peers(&request)
                .into_iter()
                .for_each(Task::detach);
        }
    }
}
