//! Checks the answers that users got on each job for monotonic reads: no answer may show
//! an older state than an answer that any controller gave before it. `users` records
//! every answer here.

use crate::Millis;
use pathwinch_protocol::users::JobState;
use std::collections::HashMap;

/// Maximum time in milliseconds from an acceptance to a refusal that was requested
/// before it: the 500 ms of `docs/design.md`, and 500 ms by which this process may be
/// late in reading an answer.
const REFUSAL_BOUND_MS: Millis = 500 + 500;
/// Maximum number of violations that are kept.
const MAX_VIOLATIONS: usize = 100;
/// Time in milliseconds after the last answer on a job when the job is forgotten.
const RETENTION_MS: Millis = 120_000;
/// Interval in milliseconds at which such jobs are removed.
const CLEANUP_INTERVAL_MS: Millis = 10_000;

/// What an answer says about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerContent {
    /// The state of the job.
    State(JobState),
    /// A refusal with HTTP status 404, 400 or 422.
    Refused(u16),
}

/// An answer that a user received.
#[derive(Debug, Clone)]
pub struct UserAnswer<'a> {
    pub job: &'a str,
    pub controller: &'a str,
    /// When the request was sent.
    pub sent: Millis,
    /// When the answer was received.
    pub received: Millis,
    pub content: AnswerContent,
}

/// What users were told about a job so far.
#[derive(Debug, Default)]
struct JobHistory {
    /// When the first answer with a state of the job was received, and from which
    /// controller.
    accepted: Option<(Millis, String)>,
    /// The first final state that was reported, when, and by which controller.
    final_state: Option<(JobState, Millis, String)>,
    /// Whether the user asked to cancel the job.
    cancel_requested: bool,
    /// When the last answer was received.
    last_answer: Millis,
}

/// The answers on all jobs, and the violations found in them.
#[derive(Debug, Default)]
pub struct History {
    jobs: HashMap<String, JobHistory>,
    answers: u64,
    violations: Vec<String>,
    last_cleanup: Millis,
}

impl History {
    /// Number of answers checked.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Descriptions of the violations, up to [`MAX_VIOLATIONS`].
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Records that the user of a job asks to cancel it.
    pub fn record_cancel_request(&mut self, job: &str) {
        self.jobs
            .entry(job.to_owned())
            .or_default()
            .cancel_requested = true;
    }

    /// Checks an answer against those before it, and records it.
    pub fn record_answer(&mut self, answer: &UserAnswer) {
        self.answers += 1;
        let job_history = self.jobs.entry(answer.job.to_owned()).or_default();
        job_history.last_answer = answer.received;
        let violation = match answer.content {
            AnswerContent::State(state) => job_history.check_state(state, answer),
            AnswerContent::Refused(status) => job_history.check_refusal(status, answer),
        };
        if let Some(violation) = violation.filter(|_| self.violations.len() < MAX_VIOLATIONS) {
            self.violations.push(format!(
                "{violation}; requested from {} at {} ms, answered at {} ms",
                answer.controller, answer.sent, answer.received
            ));
        }
        self.remove_old_jobs(answer.received);
    }

    fn remove_old_jobs(&mut self, now: Millis) {
        if now >= self.last_cleanup + CLEANUP_INTERVAL_MS {
            self.last_cleanup = now;
            self.jobs
                .retain(|_, job_history| now < job_history.last_answer + RETENTION_MS);
        }
    }
}

impl JobHistory {
    /// Checks a reported state: a final state must not change, and a job is only
    /// cancelled if its user asked for that.
    fn check_state(&mut self, state: JobState, answer: &UserAnswer) -> Option<String> {
        let job = answer.job;
        let acceptance = || (answer.received, answer.controller.to_owned());
        self.accepted.get_or_insert_with(acceptance);
        if let Some((final_state, at, by)) = &self.final_state {
            let is_contradicted = *final_state != state;
            return is_contradicted.then(|| {
                format!(
                    "went_back: {job} was reported {final_state:?} by {by} at {at} ms, \
                     then {state:?}"
                )
            });
        }
        if matches!(state, JobState::Done | JobState::Cancelled) {
            self.final_state = Some((state, answer.received, answer.controller.to_owned()));
        }
        let is_unrequested = state == JobState::Cancelled && !self.cancel_requested;
        is_unrequested
            .then(|| format!("went_back: {job} is Cancelled without a request to cancel it"))
    }

    /// Checks a refusal: it must not follow an acceptance, except for a request that
    /// was sent before it.
    fn check_refusal(&self, status: u16, answer: &UserAnswer) -> Option<String> {
        let (at, by) = self.accepted.as_ref()?;
        let is_late = answer.sent >= *at || answer.received > at + REFUSAL_BOUND_MS;
        is_late.then(|| {
            let job = answer.job;
            format!(
                "forgotten: {job} was accepted by {by} at {at} ms, \
                 then refused with status {status}"
            )
        })
    }
}
