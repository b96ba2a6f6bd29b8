//! What an inquiry into an incident needs: who acted under which term and by
//! which right, what answers to users rested on, what was ordered. Lines at
//! info, bounded in number, beside metrics that count all of it.

use super::Node;
use crate::{
    control::{
        election::Leadership,
        requests::{Answer, Provenance},
    },
    protocol::users::JobState,
    state::{Millis, bounded_cache::Recent, rate_limit::TokenBucket},
};
use std::cell::{Cell, RefCell};

/// Lines about answers to users: so many a second, and at once.
const LINES_PER_S: f64 = 20.0;
const BURST_S: f64 = 10.0;
/// Jobs of which it is remembered what this node told last.
const MAX_REMEMBERED_ANSWERS: usize = 4_000;
/// Between two lines on what was ordered.
const ORDERS_EVERY: Millis = 1_000;

pub(super) struct AuditLog {
    lines: RefCell<TokenBucket>,
    last_answers: RefCell<Recent<Box<str>, JobState>>,
    orders: Cell<CommandCounts>,
}

/// Starts and stops that were ordered since the last line on them.
#[derive(Debug, Clone, Copy, Default)]
struct CommandCounts {
    starts: u64,
    stops: u64,
    noted_at: Millis,
}

impl Default for AuditLog {
    fn default() -> Self {
        AuditLog {
            lines: RefCell::new(TokenBucket::new(LINES_PER_S, BURST_S)),
            last_answers: RefCell::new(Recent::new(MAX_REMEMBERED_ANSWERS)),
            orders: Cell::default(),
        }
    }
}

impl AuditLog {
    /// Whether this is news of the job from this node.
    fn is_news(&self, id: &str, state: JobState) -> bool {
        let mut told = self.last_answers.borrow_mut();
        if told.get(id) == Some(&state) {
            return false;
        }
        told.insert(id.into(), state);
        true
    }
}

impl Node {
    /// A line within the bound; what is left out is counted.
    fn log_bounded(&self, line: impl FnOnce() -> String) {
        let fits = (self.audit_log.lines.borrow_mut()).take(self.now(), 1.0, 0.0);
        match fits {
            true => log::info!("{}", line()),
            false => {
                self.metrics.borrow().lines_left_out.inc();
            }
        }
    }

    /// A user is about to be told so of the job.
    pub(super) fn log_answer(&self, id: &str, answer: &Answer, basis: Provenance) {
        let Answer::State(_, status) = answer else {
            return;
        };
        let age = basis.age(self.now());
        let source = basis.source.text();
        self.metrics
            .borrow()
            .answer_given(status.state, source, age);
        if !self.audit_log.is_news(id, status.state) {
            return;
        }
        self.log_bounded(|| {
            let state = status.state;
            let revision = basis.revision.map(|r| format!(" at revision {r}"));
            let revision = revision.unwrap_or_default();
            let term = match self.election.borrow().leader(self.now()) {
                Some((leader, term)) => format!("term {term} of {leader}"),
                None => "no leader known".to_owned(),
            };
            format!("answered {id} {state}: {source}{revision}, read {age} ms before, {term}")
        });
    }

    /// Starts and stops that were ordered, with what entitled this node to.
    pub(super) fn log_commands(&self, lead: Option<Leadership>, starts: u64, stops: u64) {
        let mut orders = self.audit_log.orders.get();
        orders.starts += starts;
        orders.stops += stops;
        let now = self.now();
        let due = now >= orders.noted_at + ORDERS_EVERY;
        if due && orders.starts + orders.stops > 0 {
            let basis = lead.map(|lead| {
                let authority = lead.authority();
                format!(
                    "term {}, by {} for {} ms more, cancellations known up to {} ms ago",
                    lead.term,
                    authority.basis.text(),
                    authority.valid_until.saturating_sub(now),
                    now.saturating_sub(lead.cancellations_known_until())
                )
            });
            let basis = basis.unwrap_or_else(|| "leadership has been given up since".to_owned());
            log::info!(
                "commanded {} starts and {} stops: {basis}",
                orders.starts,
                orders.stops
            );
            orders = CommandCounts {
                noted_at: now,
                ..CommandCounts::default()
            };
        }
        self.audit_log.orders.set(orders);
    }
}
