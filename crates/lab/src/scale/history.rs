//! What users were told of each job, by which controller and when. No answer
//! may be older than one that was given before it, by whatever controller.

use crate::Millis;
use pathwinch_protocol::users::JobState;
use std::collections::HashMap;

/// A refusal may cross an acceptance by so much, as `docs/design.md` says, and
/// come as much later as this process may be late to read it.
const REFUSAL_BOUND: Millis = 500 + 500;
/// Broken rules that are kept.
const MOST_BROKEN: usize = 100;
/// Jobs of which nothing was heard for so long are forgotten.
const KEPT: Millis = 120_000;
const CLEAR_INTERVAL: Millis = 10_000;

/// What an answer says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    State(JobState),
    /// 404, 400 or 422, with its status.
    Refused(u16),
}

/// An answer as its user had it.
#[derive(Debug, Clone)]
pub struct Answered<'a> {
    pub job: &'a str,
    pub controller: &'a str,
    pub sent: Millis,
    pub came: Millis,
    pub said: Said,
}

#[derive(Debug, Default)]
struct Seen {
    /// The first answer that called it accepted: when it came, and from whom.
    accepted: Option<(Millis, String)>,
    over: Option<(JobState, Millis, String)>,
    /// Its user asked to cancel it.
    withdrawn: bool,
    heard: Millis,
}

#[derive(Debug, Default)]
pub struct History {
    jobs: HashMap<String, Seen>,
    answers: u64,
    broken: Vec<String>,
    cleared: Millis,
}

impl History {
    /// Answers that were looked at.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    /// Its user asks to cancel it.
    pub fn asked_to_withdraw(&mut self, job: &str) {
        self.jobs.entry(job.to_owned()).or_default().withdrawn = true;
    }

    pub fn answered(&mut self, answer: &Answered) {
        self.answers += 1;
        let seen = self.jobs.entry(answer.job.to_owned()).or_default();
        seen.heard = answer.came;
        let wrong = match answer.said {
            Said::State(state) => seen.told(state, answer),
            Said::Refused(status) => seen.refused(status, answer),
        };
        if let Some(wrong) = wrong.filter(|_| self.broken.len() < MOST_BROKEN) {
            self.broken.push(format!(
                "{wrong}; asked of {} at {} ms, answered at {} ms",
                answer.controller, answer.sent, answer.came
            ));
        }
        self.clear(answer.came);
    }

    fn clear(&mut self, now: Millis) {
        if now >= self.cleared + CLEAR_INTERVAL {
            self.cleared = now;
            self.jobs.retain(|_, seen| now < seen.heard + KEPT);
        }
    }
}

impl Seen {
    fn told(&mut self, state: JobState, answer: &Answered) -> Option<String> {
        let job = answer.job;
        let told_by = || (answer.came, answer.controller.to_owned());
        self.accepted.get_or_insert_with(told_by);
        if let Some((over, at, by)) = &self.over {
            let went_back = *over != state;
            return went_back.then(|| {
                format!("went_back: {job} was {over:?} by {by} at {at} ms, then {state:?}")
            });
        }
        if matches!(state, JobState::Done | JobState::Cancelled) {
            self.over = Some((state, answer.came, answer.controller.to_owned()));
        }
        let unasked = state == JobState::Cancelled && !self.withdrawn;
        unasked.then(|| format!("went_back: {job} is Cancelled, and nobody asked for that"))
    }

    fn refused(&self, status: u16, answer: &Answered) -> Option<String> {
        let (at, by) = self.accepted.as_ref()?;
        let late = answer.sent >= *at || answer.came > at + REFUSAL_BOUND;
        late.then(|| {
            let job = answer.job;
            format!("forgotten: {job} was accepted by {by} at {at} ms, then {status}")
        })
    }
}
