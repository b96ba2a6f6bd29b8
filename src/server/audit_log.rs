//! Audit log for the analysis of incidents: which node acted in which term and on which
//! basis of authority, which source the answers to users were read from, and which
//! commands were issued to workers. Lines are logged at level info and are rate limited;
//! metrics count all events, also those without a line.
//!
//! This module owns the rate limit of the lines, the last logged state of each job, and
//! the commands not logged yet. It is called by the handlers of users' requests and by
//! the control loop.
//!
//! Invariant: logging never delays or fails the operation that it reports.

use super::Node;
use crate::{
    control::{
        election::Leadership,
        requests::{Answer, Provenance},
    },
    protocol::users::JobState,
    state::{Millis, bounded_cache::BoundedCache, rate_limit::TokenBucket},
};
use std::cell::{Cell, RefCell};

/// Rate limit of lines about answers to users, in lines per second.
const LINES_PER_S: f64 = 20.0;
/// Burst of lines about answers to users, in seconds of [`LINES_PER_S`].
const BURST_S: f64 = 10.0;
/// Maximum number of jobs whose last logged state is kept.
const MAX_REMEMBERED_ANSWERS: usize = 4_000;
/// Minimum interval in milliseconds between two lines about commands to workers.
const COMMANDS_INTERVAL_MS: Millis = 1_000;

/// Rate limits and deduplication of the audit log.
pub(super) struct AuditLog {
    lines: RefCell<TokenBucket>,
    last_answers: RefCell<BoundedCache<Box<str>, JobState>>,
    commands: Cell<CommandCounts>,
}

/// Start and stop commands issued to workers since the last logged line about commands.
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
            last_answers: RefCell::new(BoundedCache::new(MAX_REMEMBERED_ANSWERS)),
            commands: Cell::default(),
        }
    }
}

impl AuditLog {
    /// Whether the state differs from the last logged state of the job, or none of that
    /// job is kept. Records the state as logged.
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
    /// Logs a line if the rate limit allows it; otherwise counts it as dropped.
    fn log_rate_limited(&self, line: impl FnOnce() -> String) {
        let is_allowed = (self.audit_log.lines.borrow_mut()).take(self.now(), 1.0, 0.0);
        match is_allowed {
            true => log::info!("{}", line()),
            false => {
                self.metrics.borrow().dropped_log_lines.inc();
            }
        }
    }

    /// Counts an answer that is about to be sent to a user, and logs it if the job's
    /// state differs from the last one logged.
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
                None => "leader unknown".to_owned(),
            };
            format!(
                "answered that {id} is {state}: from {source}{revision}, read {age} ms ago, {term}"
            )
        });
    }

    /// Counts commands to workers, and logs the counts with the basis of this node's
    /// authority at most once per [`COMMANDS_INTERVAL_MS`]. `leadership`: this node's
    /// current leadership.
    pub(super) fn log_commands(&self, leadership: Option<Leadership>, starts: u64, stops: u64) {
        let mut commands = self.audit_log.commands.get();
        commands.starts += starts;
        commands.stops += stops;
        let now = self.now();
        let due = now >= commands.logged_at + COMMANDS_INTERVAL_MS;
        if due && commands.starts + commands.stops > 0 {
            let basis = leadership.map(|leadership| {
                let authority = leadership.authority();
                format!(
                    "term {}, authority by {} for another {} ms, cancellations known up to {} ms ago",
                    leadership.term,
                    authority.basis.text(),
                    authority.valid_until.saturating_sub(now),
                    now.saturating_sub(leadership.cancellations_known_until())
                )
            });
            let basis = basis.unwrap_or_else(|| "this node has stepped down since".to_owned());
            log::info!(
                "issued commands to workers: {} starts and {} stops; {basis}",
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
