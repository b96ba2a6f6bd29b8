//! What an inquiry into an incident needs: who acted under which term and by
//! which right, what answers to users rested on, what was ordered. Lines at
//! info, bounded in number, beside metrics that count all of it.

use super::Node;
use crate::{
    control::{
        election::Leadership,
        requests::{Answer, Basis},
    },
    protocol::users::JobState,
    state::{Ms, bounded_cache::Recent, rate_limit::TokenBucket},
};
use std::cell::{Cell, RefCell};

/// Lines about answers to users: so many a second, and at once.
const LINES_PER_S: f64 = 20.0;
const BURST_S: f64 = 10.0;
/// Jobs of which it is remembered what this node told last.
const MOST_TOLD: usize = 4_000;
/// Between two lines on what was ordered.
const ORDERS_EVERY: Ms = 1_000;

pub(super) struct Evidence {
    lines: RefCell<TokenBucket>,
    told: RefCell<Recent<Box<str>, JobState>>,
    orders: Cell<Orders>,
}

/// Starts and stops that were ordered since the last line on them.
#[derive(Debug, Clone, Copy, Default)]
struct Orders {
    starts: u64,
    stops: u64,
    noted_at: Ms,
}

impl Default for Evidence {
    fn default() -> Self {
        Evidence {
            lines: RefCell::new(TokenBucket::new(LINES_PER_S, BURST_S)),
            told: RefCell::new(Recent::new(MOST_TOLD)),
            orders: Cell::default(),
        }
    }
}

impl Evidence {
    /// Whether this is news of the job from this node.
    fn is_news(&self, id: &str, state: JobState) -> bool {
        let mut told = self.told.borrow_mut();
        if told.get(id) == Some(&state) {
            return false;
        }
        told.insert(id.into(), state);
        true
    }
}

impl Node {
    /// A line within the bound; what is left out is counted.
    fn note(&self, line: impl FnOnce() -> String) {
        let fits = (self.evidence.lines.borrow_mut()).take(self.now(), 1.0, 0.0);
        match fits {
            true => log::info!("{}", line()),
            false => {
                self.figures.borrow().lines_left_out.inc();
            }
        }
    }

    /// A user is about to be told so of the job.
    pub(super) fn note_answer(&self, id: &str, answer: &Answer, basis: Basis) {
        let Answer::State(_, status) = answer else {
            return;
        };
        let age = basis.age(self.now());
        let source = basis.source.text();
        self.figures.borrow().told(status.state, source, age);
        if !self.evidence.is_news(id, status.state) {
            return;
        }
        self.note(|| {
            let state = status.state;
            let revision = basis.revision.map(|r| format!(" at revision {r}"));
            let revision = revision.unwrap_or_default();
            let term = match self.election.borrow().leader(self.now()) {
                Some((leader, term)) => format!("term {term} of {leader}"),
                None => "no leader known".to_owned(),
            };
            format!("told {id} {state}: {source}{revision}, read {age} ms before, {term}")
        });
    }

    /// Starts and stops that were ordered, with what entitled this node to.
    pub(super) fn note_orders(&self, lead: Option<Leadership>, starts: u64, stops: u64) {
        let mut orders = self.evidence.orders.get();
        orders.starts += starts;
        orders.stops += stops;
        let now = self.now();
        let due = now >= orders.noted_at + ORDERS_EVERY;
        if due && orders.starts + orders.stops > 0 {
            let right = lead.map(|lead| {
                let (right, until) = lead.authority();
                format!(
                    "term {}, by {} for {} ms more, withdrawals known up to {} ms ago",
                    lead.term,
                    right.text(),
                    until.saturating_sub(now),
                    now.saturating_sub(lead.cancellations_known_until())
                )
            });
            let right = right.unwrap_or_else(|| "the lead is given up since".to_owned());
            log::info!(
                "ordered {} starts and {} stops: {right}",
                orders.starts,
                orders.stops
            );
            orders = Orders {
                noted_at: now,
                ..Orders::default()
            };
        }
        self.evidence.orders.set(orders);
    }
}
