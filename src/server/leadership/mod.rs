//! Leadership of this node: seeks it, keeps it, gives it up.

mod campaign;
mod load_state;
mod renew;

use super::Node;
use crate::protocol::peers::Request;
use async_executor::Task;
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// For a question to all other nodes, and for a renewal.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a leader stops: for the log, `status` and the figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepDownReason {
    LeaseEnded,
    Replaced,
    RefusedAlone,
    CancellationsUnknown,
    Isolated,
    UnfavourablePosition,
}

impl StepDownReason {
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

    /// Whether its key may be replaced at once: the others are told.
    fn is_announced(self) -> bool {
        matches!(
            self,
            StepDownReason::RefusedAlone
                | StepDownReason::CancellationsUnknown
                | StepDownReason::UnfavourablePosition
        )
    }
}

pub async fn run(node: Rc<Node>) {
    loop {
        let lead = node.election.borrow().leadership();
        let pause = match lead {
            Some(_) => node.hold_leadership().await,
            None => node.campaign().await,
        };
        Timer::after(pause).await;
    }
}

impl Node {
    /// Stops acting under that term, then tells the others so.
    pub(super) fn step_down(self: &Rc<Self>, term: u64, why: StepDownReason) {
        let Some(lead) = self.election.borrow_mut().resign(term) else {
            return;
        };
        if let Some(leader) = self.leader.borrow_mut().take() {
            self.final_states.replace(leader.final_states);
        }
        self.renewals_failing.set(false);
        self.set_shares();
        let (now, authority) = (self.now(), lead.authority());
        log::info!(
            "leader of term {} steps down: {}; its authority, by {}, lasts until {} ms from now",
            lead.term,
            why.text(),
            authority.basis.text(),
            authority.valid_until as i64 - now as i64
        );
        self.last_step_down.set(Some((self.now(), why)));
        self.metrics.borrow().stepped_down(why.text());
        // Nothing is done under it any more, so the key may go at once.
        let node = self.clone();
        self.executor
            .spawn_high(async move {
                node.end_lease(lead.lease, PROBE_TIMEOUT).await;
            })
            .detach();
        if why.is_announced() {
            let request = Request::Resigned { term: lead.term };
            self.ask_all(&request).into_iter().for_each(Task::detach);
        }
    }
}
