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
pub(super) enum Stop {
    LeaseEnded,
    Replaced,
    RefusedAlone,
    CancellationsUnknown,
    HearsNobody,
    PoorPlace,
}

impl Stop {
    pub(super) fn text(self) -> &'static str {
        match self {
            Stop::LeaseEnded => "its lease has ended",
            Stop::Replaced => "another node leads",
            Stop::RefusedAlone => "the state service fails this node alone",
            Stop::CancellationsUnknown => {
                "for too long nobody could show that it knows of all withdrawals"
            }
            Stop::HearsNobody => "neither workers nor controllers are heard",
            Stop::PoorPlace => "the node that workers try after this one is silent",
        }
    }

    /// Whether its key may be replaced at once: the others are told.
    fn is_told(self) -> bool {
        matches!(
            self,
            Stop::RefusedAlone | Stop::CancellationsUnknown | Stop::PoorPlace
        )
    }
}

pub async fn run(node: Rc<Node>) {
    loop {
        let lead = node.election.borrow().leadership();
        let pause = match lead {
            Some(_) => node.keep().await,
            None => node.seek().await,
        };
        Timer::after(pause).await;
    }
}

impl Node {
    /// Stops acting under that term, then tells the others so.
    pub(super) fn resign(self: &Rc<Self>, term: u64, why: Stop) {
        let Some(lead) = self.election.borrow_mut().resign(term) else {
            return;
        };
        if let Some(leader) = self.leader.borrow_mut().take() {
            self.final_states.replace(leader.final_states);
        }
        self.renewals_fail.set(false);
        self.set_shares();
        let (now, (right, until)) = (self.now(), lead.authority());
        log::info!(
            "term {} given up: {}; it might act by {} until {} ms from now",
            lead.term,
            why.text(),
            right.text(),
            until as i64 - now as i64
        );
        self.stopped.set(Some((self.now(), why)));
        self.figures.borrow().stopped(why.text());
        // Nothing is done under it any more, so the key may go at once.
        let node = self.clone();
        self.lanes
            .spawn_high(async move {
                node.end_lease(lead.lease, PROBE_TIMEOUT).await;
            })
            .detach();
        if why.is_told() {
            let request = Request::Resigned { term: lead.term };
            self.ask_all(&request).into_iter().for_each(Task::detach);
        }
    }
}
