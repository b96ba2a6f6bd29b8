//! Advances offloaded jobs through their phases, from the offload mark to the
//! deletion of the award record. Each step is taken only after the previous one
//! is certain.

use super::*;
use crate::{ranges::Ranges, wire::AwardState};

impl Broker {
    /// Adds the jobs whose next step has become due by time alone to the ready set.
    pub(super) fn queue_due_jobs(&mut self, now: Millis) {
        let due_jobs = self.jobs.iter().filter(|(_, l)| l.step_is_due(now));
        self.ready.extend(due_jobs.map(|(j, _)| j.clone()));
    }

    /// Takes the next step of each job in the ready set. Only these jobs are
    /// visited, because the work per event must not grow with the number of
    /// offloaded jobs.
    pub(super) fn advance_ready_jobs(&mut self, now: Millis) {
        while let Some(job) = self.ready.pop_first() {
            if self.jobs.get(&job).is_some_and(|l| l.step_is_due(now)) {
                self.advance_job(&job, now);
            }
        }
    }

    fn advance_job(&mut self, job: &str, now: Millis) {
        let version = self.ledger_sync.version(&award_key(job));
        let Some(offload) = self.jobs.get_mut(job) else {
            return;
        };
        match &mut offload.phase {
            Phase::Marking { .. } if offload.recall => self.end_unsent(job, now),
            Phase::Marking { asked } => {
                *asked = Some(now);
                let award = offload.award;
                self.effects.push(Effect::MarkOffloaded {
                    job: job.to_owned(),
                    award,
                    version,
                });
            }
            Phase::Marked => self.send_award(job, now),
            Phase::Returning { end, asked } => {
                *asked = Some(now);
                let effect = Effect::EndOffload {
                    job: job.to_owned(),
                    award: offload.award,
                    end: end.clone(),
                };
                self.effects.push(effect);
            }
            _ => {}
        }
    }

    /// Handles the leader's answer whether the job is marked as offloaded.
    pub(super) fn on_mark(&mut self, job: &str, award: u64, marked: Option<bool>, now: Millis) {
        let Some(offload) = self.jobs.get_mut(job).filter(|l| l.award == award) else {
            return;
        };
        if !matches!(offload.phase, Phase::Marking { .. }) {
            return;
        }
        match marked {
            Some(true) => {
                offload.phase = Phase::Marked;
                self.ready.insert(job.to_owned());
            }
            // An earlier request may still be in flight. Writing the end changes
            // the award record's version, which makes that request fail; if it
            // was already applied, ending the offload removes its mark.
            Some(false) => self.end_unsent(job, now),
            None => {}
        }
    }

    /// Ends an award that was never sent to its market.
    fn end_unsent(&mut self, job: &str, now: Millis) {
        let end = End {
            done: Ranges::default(),
            result: None,
            charge: 0,
            reason: EndReason::NotSent,
        };
        self.record_end(job, end, now);
    }

    /// Sends the award if the market can still accept it before its `start_by`;
    /// otherwise ends it as not sent.
    fn send_award(&mut self, job: &str, now: Millis) {
        let Some(award) = self.jobs.get(job) else {
            return;
        };
        let market = &mut self.markets[award.market];
        let Some(message) = award.message.clone().filter(|_| !award.recall) else {
            return self.end_unsent(job, now);
        };
        let in_time = market
            .clock
            .time_after(now, 0)
            .filter(|c| c.epoch == award.start_by.epoch && c.clock_ms < award.start_by.clock_ms);
        let Some(clock) = in_time else {
            return self.end_unsent(job, now);
        };
        // A market runs jobs of a home only within a granted tenancy.
        let granted = market
            .granted_until
            .is_some_and(|g| g.epoch == clock.epoch && g.clock_ms > clock.clock_ms);
        if !granted || !market.breaker.admit(now, false) {
            return;
        }
        self.send_award_call(job, message);
    }

    pub(super) fn send_award_call(&mut self, job: &str, message: wire::Award) {
        let Some(offload) = self.jobs.get_mut(job) else {
            return;
        };
        let running = match offload.phase {
            Phase::Awarded { running, .. } => running,
            _ => None,
        };
        offload.phase = Phase::Awarded {
            calling: true,
            running,
        };
        let market = offload.market;
        self.job_by_award.insert(message.award, job.to_owned());
        self.counts.awards += 1;
        self.send_call(
            market,
            Call::Award(job.to_owned()),
            wire::RequestBody::Award(message),
        );
    }

    /// Handles the state that a market reports for an award.
    pub(super) fn on_award_state(
        &mut self,
        job: &str,
        reply: &wire::Reply,
        state: &AwardState,
        now: Millis,
    ) {
        let Some(offload) = self.jobs.get_mut(job) else {
            return;
        };
        let Phase::Awarded { running, calling } = &mut offload.phase else {
            return;
        };
        let market = offload.market;
        let same_epoch = reply.epoch == offload.start_by.epoch;
        match state {
            // The market has lost its state. Until it reports that everything of
            // earlier epochs has ended, the award may run without its knowledge.
            AwardState::Unknown | AwardState::Void if !same_epoch => {
                if reply.cleared {
                    self.conclude(job, Ranges::default(), None, 0, EndReason::Expired, now);
                }
            }
            _ if !same_epoch => self.report_violation(market, "state for an award of a lost epoch"),
            AwardState::Running { done } if *done <= offload.tasks => *running = Some(*done),
            AwardState::Running { .. } => {
                self.report_violation(market, "more tasks than the job has")
            }
            AwardState::Unknown if reply.clock_ms > offload.start_by.clock_ms => {
                let reason = EndReason::Void;
                self.conclude(job, Ranges::default(), None, 0, reason, now);
            }
            AwardState::Unknown if *calling => {}
            AwardState::Unknown => {
                let message = offload.message.clone().filter(|_| !offload.recall);
                match message {
                    Some(message) => {
                        if self.markets[market].breaker.admit(now, true) {
                            self.send_award_call(job, message);
                        }
                    }
                    None => offload.recall = true,
                }
            }
            AwardState::Void => {
                self.conclude(job, Ranges::default(), None, 0, EndReason::Void, now)
            }
            AwardState::Withdrawn { done, charge } => {
                let mut done = done.clone();
                if let Err(violation) = done.check(offload.tasks) {
                    done = Ranges::default();
                    self.report_violation(market, violation);
                }
                self.conclude(job, done, None, *charge, EndReason::Withdrawn, now);
            }
            AwardState::Done { result, charge } => {
                let all = Ranges::all(offload.tasks);
                self.conclude(
                    job,
                    all,
                    Some(result.clone()),
                    *charge,
                    EndReason::Done,
                    now,
                );
            }
        }
    }

    /// Ends an award for good. Later statements about it are ignored.
    fn conclude(
        &mut self,
        job: &str,
        done: Ranges,
        result: Option<String>,
        charge: Money,
        reason: EndReason,
        now: Millis,
    ) {
        let Some(offload) = self.jobs.get(job) else {
            return;
        };
        let (market, cap, recall) = (offload.market, offload.cap, offload.recall);
        if charge > cap {
            self.report_violation(market, "charge above the award's cap");
        }
        if reason == EndReason::Done {
            self.counts.done += 1;
        }
        // An award that the home recalled does not count against the market.
        if let Some(outcome) = reason
            .outcome()
            .filter(|_| !recall || reason == EndReason::Done)
        {
            self.markets[market].reputation.record(outcome);
        }
        let charge = charge.min(cap);
        let end = End {
            done,
            result,
            charge,
            reason,
        };
        self.record_end(job, end, now);
    }

    /// Records the end of an award and, in the same transaction, its charge.
    fn record_end(&mut self, job: &str, end: End, now: Millis) {
        let Some(offload) = self.jobs.get_mut(job) else {
            return;
        };
        self.job_by_award.remove(&offload.award);
        let market = &mut self.markets[offload.market];
        if market.settled_awards.len() < wire::MAX_ITEMS_PER_MESSAGE
            && end.reason != EndReason::NotSent
        {
            market.settled_awards.push(offload.award);
        }
        let record = offload.record(&market.name, Some(end.clone()));
        let mut changes = vec![(award_key(job), value(&record))];
        if end.charge > 0 {
            let spent = self.spent.entry(offload.team.clone()).or_default();
            if spent.day != day(now) {
                *spent = SpentRecord {
                    day: day(now),
                    spent: 0,
                };
            }
            spent.spent += end.charge;
            changes.push((spent_key(&offload.team), value(spent)));
        }
        offload.phase = Phase::Ending(end);
        self.ledger_sync.enqueue(changes);
    }

    /// Deletes the award record once the leader has recorded the end.
    pub(super) fn on_end_offload(&mut self, job: &str, award: u64, taken: bool) {
        let Some(offload) = self.jobs.get_mut(job).filter(|l| l.award == award) else {
            return;
        };
        if taken && matches!(offload.phase, Phase::Returning { .. }) {
            offload.phase = Phase::Deleting;
            self.ledger_sync.enqueue(vec![(award_key(job), None)]);
        }
    }

    /// Ends awards at markets whose horizon has passed: they cannot be running any
    /// more, whatever became of them.
    pub(super) fn expire_awards(&mut self, now: Millis) {
        let expired: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, l)| matches!(l.phase, Phase::Awarded { .. }))
            .filter(|(_, l)| self.markets[l.market].tenancy.has_ended(now))
            .map(|(j, _)| j.clone())
            .collect();
        for job in expired {
            self.conclude(&job, Ranges::default(), None, 0, EndReason::Expired, now);
        }
    }

    /// Counts and logs a statement of a market that cannot be true.
    pub(super) fn report_violation(&mut self, market: usize, violation: &str) {
        let market_state = &mut self.markets[market];
        market_state
            .reputation
            .record(crate::reputation::Outcome::Violation);
        self.counts.violations += 1;
        log::warn!(
            "market {}: protocol violation: {violation}",
            market_state.name
        );
    }
}

impl OffloadedJob {
    /// Whether the job's next step can be taken now, without a further event.
    fn step_is_due(&self, now: Millis) -> bool {
        let ask_due = |asked: &Option<Millis>| asked.is_none_or(|at| now >= at + LEADER_RETRY_MS);
        match &self.phase {
            Phase::Marking { asked } => ask_due(asked) || self.recall,
            Phase::Returning { asked, .. } => ask_due(asked),
            Phase::Marked => true,
            _ => false,
        }
    }
}
