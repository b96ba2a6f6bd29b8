//! Checker of the answers that users get. Invariants: no answer is older than one given
//! before it, no accepted job is reported as unknown, a refusal gives its reason in one
//! line, and no job is reported as done before all its tasks are done.
//!
//! `users` and `requests` call it for each answer that reaches a user; violations collect
//! in `Simulation::violations`.

use super::*;
use pathwinch::control::safety_bounds::MAX_READ_AGE_MS;
use users::UserRequest;

impl Simulation {
    /// Checks `answer`, which a user got to `ask`. `sent` is the position of the request in
    /// the order of all requests and answers.
    pub(super) fn check_answer(&mut self, ask: &UserRequest, sent: u64, answer: &Answer) {
        let id = ask.id().to_owned();
        match answer {
            Answer::State(_, status) => {
                if self.traffic.infeasible.contains(&id) {
                    self.violations.push(format!(
                        "invented: {id} was accepted though its submission is invalid"
                    ));
                }
                self.submitted.entry(id.clone()).or_insert(self.now);
                self.check_state_answer(&id, status.state);
            }
            Answer::Refused(status, why) => {
                // A refused job must not have been reported as accepted before. A refusal
                // may overlap with the acceptance, within the bound on the age of answers.
                let known = self
                    .traffic
                    .answered_states
                    .get(&id)
                    .and_then(|s| s.accepted);
                let earliest_overlap = self
                    .now
                    .saturating_sub(MAX_READ_AGE_MS + self.traffic.max_latency_ms + 2 * STEP);
                match known.is_some_and(|(order, at)| order < sent || at < earliest_overlap) {
                    true => self.violations.push(format!(
                        "forgotten: accepted job {id} was refused with status {status}: {why}"
                    )),
                    false => self.traffic.overlapping_refusals += u32::from(known.is_some()),
                }
                if why.is_empty() || why.contains('\n') {
                    self.violations.push(format!(
                        "refusal of {id} with status {status} has no reason of one line"
                    ));
                }
            }
            Answer::Later(_) => return self.check_missing_answer(&id),
        }
        self.traffic.unanswered.remove(&id);
    }

    /// Records that a request about the job got no answer. While no fault is injected, an
    /// accepted job may not go 75 s without an answered request.
    pub(super) fn check_missing_answer(&mut self, id: &str) {
        if !self.fault_free {
            return;
        }
        let now = self.now;
        let since = *self.traffic.unanswered.entry(id.to_owned()).or_insert(now);
        let known = self
            .traffic
            .answered_states
            .get(id)
            .is_some_and(|s| s.accepted.is_some());
        if known && now > since + 75_000 {
            self.violations
                .push(format!("forgotten: no answer about {id} for 75 s"));
        }
    }

    /// Checks read monotonicity: no answer may be older than one given before it by any
    /// node, also if the two requests overlapped.
    pub(super) fn check_state_answer(&mut self, id: &str, state: JobState) {
        let (order, now) = (self.traffic.next_order(), self.now);
        let answered_state = self
            .traffic
            .answered_states
            .entry(id.to_owned())
            .or_default();
        answered_state.accepted.get_or_insert((order, now));
        if let Some(earlier_state) = answered_state
            .final_state
            .filter(|earlier_state| *earlier_state != state)
        {
            let what = format!("went_back: {id} was answered {earlier_state:?}, then {state:?}");
            self.violations.push(what);
        } else if state.is_final() {
            answered_state.final_state = Some(state);
        }
        self.check_cancellation_answer(id, state);
        if state == JobState::Done {
            let spec = &self.specs[id];
            let missing = (0..spec.tasks).any(|t| !self.finished.contains(&format!("{id}/{t}")));
            if missing && spec.kind != Kind::Gang {
                self.violations.push(format!(
                    "not_done: {id} was answered as done before all its tasks were"
                ));
            }
        }
        let now = self.now;
        self.answered
            .entry(id.to_owned())
            .and_modify(|t| t.0 = state)
            .or_insert((state, now));
        if state == JobState::Cancelled {
            // The key with `!` keeps the time of the first such answer.
            self.answered
                .entry(format!("{id}!"))
                .or_insert((state, now));
        }
    }
}
