//! The checker of answers to users: no answer is older than one given before it,
//! no accepted job is forgotten, a refusal says why in one line, and no job is
//! called done before all its tasks are.

use super::*;
use pathwinch::control::safety_bounds::MAX_READING_AGE_MS;
use users::UserRequest;

impl Simulation {
    /// Checks an answer that a user got to a request sent at `sent`.
    pub(super) fn check_answer(&mut self, ask: &UserRequest, sent: u64, answer: &Answer) {
        let id = ask.id().to_owned();
        match answer {
            Answer::State(_, status) => {
                if self.traffic.infeasible.contains(&id) {
                    self.violations
                        .push(format!("invented: {id} can't be accepted"));
                }
                self.submitted.entry(id.clone()).or_insert(self.now);
                self.check_state_answer(&id, status.state);
            }
            Answer::Refused(status, why) => {
                // A submission that is refused was never known.
                // One may cross the acceptance, within the bound for answers.
                let known = self
                    .traffic
                    .answered_states
                    .get(&id)
                    .and_then(|s| s.accepted);
                let late = self
                    .now
                    .saturating_sub(MAX_READING_AGE_MS + self.traffic.max_latency_ms + 2 * STEP);
                match known.is_some_and(|(order, at)| order < sent || at < late) {
                    true => self
                        .violations
                        .push(format!("forgotten: {id}: {status} {why}")),
                    false => self.traffic.refusals_overtaken += u32::from(known.is_some()),
                }
                if why.is_empty() || why.contains('\n') {
                    self.violations
                        .push(format!("{id}: {status} without a line of why"));
                }
            }
            Answer::Later(_) => return self.check_missing_answer(&id),
        }
        self.traffic.unanswered.remove(&id);
    }

    /// Without faults no job goes 75 s without an answered request.
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
            self.violations.push(format!("forgotten: {id}, for 75 s"));
        }
    }

    /// Read monotonicity: no answer may be older than one given before it, by
    /// whatever node, also where the two requests overlapped.
    pub(super) fn check_state_answer(&mut self, id: &str, state: JobState) {
        let (order, now) = (self.traffic.next(), self.now);
        let said = self
            .traffic
            .answered_states
            .entry(id.to_owned())
            .or_default();
        said.accepted.get_or_insert((order, now));
        if let Some(over) = said.final_state.filter(|over| *over != state) {
            let what = format!("went_back: {id} {over:?} to {state:?}");
            self.violations.push(what);
        } else if state.is_final() {
            said.final_state = Some(state);
        }
        self.check_cancellation_answer(id, state);
        if state == JobState::Done {
            let spec = &self.specs[id];
            let missing = (0..spec.tasks).any(|t| !self.finished.contains(&format!("{id}/{t}")));
            if missing && spec.kind != Kind::Gang {
                self.violations.push(format!("not_done: {id}"));
            }
        }
        let now = self.now;
        self.answered
            .entry(id.to_owned())
            .and_modify(|t| t.0 = state)
            .or_insert((state, now));
        if state == JobState::Cancelled {
            // The time of the first such answer counts.
            self.answered
                .entry(format!("{id}!"))
                .or_insert((state, now));
        }
    }
}
