//! Leadership of this node: the loop that campaigns for leadership, holds it, and steps
//! down.
//!
//! This module owns the requests behind each transition of `control::election`, and the
//! steps that a node takes when its term ends. The loop is started once by the process.
//! The control loop and the standby registry call [`Node::step_down`] when they learn
//! that another node leads.
//!
//! Invariant: the end of a term is announced, and its lease revoked, only after this
//! process has stopped acting in that term.

mod campaign;
mod load_state;
mod renew;

use super::Node;
use crate::{protocol::peers::Request, state::Millis};
use async_executor::Task;
use async_io::Timer;
use std::{cell::Cell, rc::Rc, time::Duration};

/// Timeout of a request to all peers and of the revocation of a lease. Also the time
/// after which a pending renewal counts as failing, so that the peers are asked for
/// promises.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// State of this node's leadership that is not part of `control::election`.
#[derive(Default)]
pub(super) struct LeadershipStatus {
    /// Whether the last renewal of this leader's lease failed.
    renewals_failing: Cell<bool>,
    /// When and why this node last stepped down.
    pub(super) last_step_down: Cell<Option<(Millis, StepDownReason)>>,
}

/// The reason why a leader steps down, as reported in the log, in `status` and in the
/// metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepDownReason {
    /// The leader's lease has ended in the key-value store.
    LeaseEnded,
    /// A write failed because another node holds the leader's key.
    Replaced,
    /// The key-value store fails for this node but serves a peer.
    RefusedAlone,
    /// The leader could not show for too long that it knows all cancellations: its
    /// authority ended at the staleness bound.
    CancellationsUnknown,
    /// The leader reaches neither workers nor controllers.
    Isolated,
    /// The leader yields because its successor in the failover order is unresponsive.
    UnfavourablePosition,
}

impl StepDownReason {
    /// Returns the text of the reason in the log and in `status`, which is also its
    /// label value in the metrics. Dashboards depend on these texts.
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

    /// Whether the peers are notified of the resignation, so that they may replace the
    /// leader's key at once.
    fn is_announced(self) -> bool {
        matches!(
            self,
            StepDownReason::RefusedAlone
                | StepDownReason::CancellationsUnknown
                | StepDownReason::UnfavourablePosition
        )
    }
}

/// Campaigns for leadership while this node doesn't lead, and holds it while it leads,
/// for as long as the process runs.
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
    /// Stops acting in `term`, then revokes its lease and notifies the peers. Has no
    /// effect if this process doesn't lead in that term.
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
            "leader of term {} steps down: {}; its authority by {} was to last {} ms from now",
            resigned.term,
            reason.text(),
            authority.basis.text(),
            authority.valid_until as i64 - now as i64
        );
        self.leadership
            .last_step_down
            .set(Some((self.now(), reason)));
        self.metrics.borrow().count_step_down(reason.text());
        // This process no longer acts in the term, so the leader's key can be removed
        // with its lease.
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
