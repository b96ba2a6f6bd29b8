//! Audit log, for inquiries into incidents: who acted in which term and on which
//! basis, what answers to users were based on, what was commanded. Its lines are at
//! level info and bounded in number; metrics count all of it.
//!
//! Owns: the bound on the lines, and what was logged last. Called by the steps of
//! users' requests and by the control loop.
//!
//! Must never: delay or fail what it reports.

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

/// Lines on answers to users, per second.
const LINES_PER_S: f64 = 20.0;
/// Seconds' worth of these lines that may come at once.
const BURST_S: f64 = 10.0;
/// Jobs whose last reported state is remembered.
const MAX_REMEMBERED_ANSWERS: usize = 4_000;
/// Shortest time between two lines on commands.
const COMMANDS_INTERVAL_MS: Millis = 1_000;

/// The state behind the bounds of the log.
pub(super) struct AuditLog {
    lines: RefCell<TokenBucket>,
    last_answers: RefCell<Recent<Box<str>, JobState>>,
    commands: Cell<CommandCounts>,
}

/// Starts and stops that were commanded since the last line on them.
#[derive(Debug, Clone, Copy, Default)]
struct CommandCounts {
    starts: u64,
    stops: u64,
    logged_at: Millis,
}

impl Default for AuditLog {
    fn default() -> Self {
        AuditLog {
            lines: RefCell::new(TokenBucket::new(LINES_PER_S, BURST_S)),
            last_answers: RefCell::new(Recent::new(MAX_REMEMBERED_ANSWERS)),
            commands: Cell::default(),
        }
    }
}

impl AuditLog {
    /// Whether this node last logged another state of the job, or none.
    fn is_new_state(&self, id: &str, state: JobState) -> bool {
        let mut last_answers = self.last_answers.borrow_mut();
        if last_answers.get(id) == Some(&state) {
            return false;
        }
        last_answers.insert(id.into(), state);
        true
    }
}

impl Node {
    /// Logs a line if the bound allows it; lines that are left out are counted.
    fn log_rate_limited(&self, line: impl FnOnce() -> String) {
        let fits = (self.audit_log.lines.borrow_mut()).take(self.now(), 1.0, 0.0);
        match fits {
            true => log::info!("{}", line()),
            false => {
                self.metrics.borrow().dropped_log_lines.inc();
            }
        }
    }

    /// Records an answer that is about to be sent to a user.
    pub(super) fn log_answer(&self, id: &str, answer: &Answer, basis: Provenance) {
        if let Some(reason) = answer.withheld_reason() {
            self.metrics.borrow().count_withheld_state(reason);
        }
        let Answer::State(_, status) = answer else {
            return;
        };
        let age = basis.age(self.now());
        let source = basis.source.text();
        self.metrics
            .borrow()
            .count_answer(status.state, source, age);
        if !self.audit_log.is_new_state(id, status.state) {
            return;
        }
        self.log_rate_limited(|| {
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

    /// Records commands to workers, with the basis of this node's authority.
    pub(super) fn log_commands(&self, lead: Option<Leadership>, starts: u64, stops: u64) {
        let mut commands = self.audit_log.commands.get();
        commands.starts += starts;
        commands.stops += stops;
        let now = self.now();
        let due = now >= commands.logged_at + COMMANDS_INTERVAL_MS;
        if due && commands.starts + commands.stops > 0 {
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
                commands.starts,
                commands.stops
            );
            commands = CommandCounts {
                logged_at: now,
                ..CommandCounts::default()
            };
        }
        self.audit_log.commands.set(commands);
    }
}
