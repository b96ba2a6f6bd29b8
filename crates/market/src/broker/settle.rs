//! What becomes of an award: each step is taken only when the one before is
//! certain.

use super::*;
use crate::{ranges::Ranges, wire::State};

impl Broker {
    /// Steps that have become due by time alone.
    pub(super) fn due(&mut self, now: Millis) {
        let due = self.jobs.iter().filter(|(_, l)| l.acts(now));
        self.ready.extend(due.map(|(j, _)| j.clone()));
    }

    /// Takes the next step of each job that something has happened to: work
    /// per event must not grow with the jobs that are offloaded.
    pub(super) fn advance(&mut self, now: Millis) {
        while let Some(job) = self.ready.pop_first() {
            if self.jobs.get(&job).is_some_and(|l| l.acts(now)) {
                self.step(&job, now);
            }
        }
    }

    fn step(&mut self, job: &str, now: Millis) {
        let version = self.ledger_sync.version(&award_key(job));
        let Some(lent) = self.jobs.get_mut(job) else {
            return;
        };
        match &mut lent.phase {
            Phase::Marking { .. } if lent.recall => self.end_unsent(job, now),
            Phase::Marking { asked } => {
                *asked = Some(now);
                let award = lent.award;
                self.out.push(Effect::MarkOffloaded {
                    job: job.to_owned(),
                    award,
                    version,
                });
            }
            Phase::Marked => self.send(job, now),
            Phase::Returning { end, asked } => {
                *asked = Some(now);
                let effect = Effect::EndOffload {
                    job: job.to_owned(),
                    award: lent.award,
                    end: end.clone(),
                };
                self.out.push(effect);
            }
            _ => {}
        }
    }

    /// The leader has said whether the job is marked.
    pub(super) fn marked(&mut self, job: &str, award: u64, marked: Option<bool>, now: Millis) {
        let Some(lent) = self.jobs.get_mut(job).filter(|l| l.award == award) else {
            return;
        };
        if !matches!(lent.phase, Phase::Marking { .. }) {
            return;
        }
        match marked {
            Some(true) => {
                lent.phase = Phase::Marked;
                self.ready.insert(job.to_owned());
            }
            // An earlier request may still be on its way: the end that is
            // written now makes it fail, and the return lifts what it did.
            Some(false) => self.end_unsent(job, now),
            None => {}
        }
    }

    fn end_unsent(&mut self, job: &str, now: Millis) {
        let end = End {
            done: Ranges::default(),
            result: None,
            charge: 0,
            why: Why::NotSent,
        };
        self.end(job, end, now);
    }

    /// Sends the award if it can still be accepted, else ends it unsent.
    fn send(&mut self, job: &str, now: Millis) {
        let Some(lent) = self.jobs.get(job) else {
            return;
        };
        let market = &mut self.markets[lent.market];
        let Some(message) = lent.message.clone().filter(|_| !lent.recall) else {
            return self.end_unsent(job, now);
        };
        let in_time = market
            .clock
            .ahead(now, 0)
            .filter(|c| c.epoch == lent.start_by.epoch && c.clock_ms < lent.start_by.clock_ms);
        let Some(clock) = in_time else {
            return self.end_unsent(job, now);
        };
        // The market runs nothing for a home without a tenancy.
        let granted = market
            .granted
            .is_some_and(|g| g.epoch == clock.epoch && g.clock_ms > clock.clock_ms);
        if !granted || !market.gate.enter(now, false) {
            return;
        }
        self.call_award(job, message);
    }

    pub(super) fn call_award(&mut self, job: &str, message: wire::Award) {
        let Some(lent) = self.jobs.get_mut(job) else {
            return;
        };
        let running = match lent.phase {
            Phase::Awarded { running, .. } => running,
            _ => None,
        };
        lent.phase = Phase::Awarded {
            calling: true,
            running,
        };
        let market = lent.market;
        self.by_award.insert(message.award, job.to_owned());
        self.counts.awards += 1;
        self.call(
            market,
            Call::Award(job.to_owned()),
            wire::Ask::Award(message),
        );
    }

    /// What a market says of an award that it was asked about.
    pub(super) fn heard(&mut self, job: &str, reply: &wire::Reply, state: &State, now: Millis) {
        let Some(lent) = self.jobs.get_mut(job) else {
            return;
        };
        let Phase::Awarded { running, calling } = &mut lent.phase else {
            return;
        };
        let market = lent.market;
        let same_epoch = reply.epoch == lent.start_by.epoch;
        match state {
            // It has forgotten: until all from before has surely ended, the
            // award may be running unknown to it, whatever it says.
            State::Unknown | State::Void if !same_epoch => {
                if reply.cleared {
                    self.over(job, Ranges::default(), None, 0, Why::Expired, now);
                }
            }
            _ if !same_epoch => {
                self.report_violation(market, "an award from an epoch that it has forgotten")
            }
            State::Running { done } if *done <= lent.tasks => *running = Some(*done),
            State::Running { .. } => self.report_violation(market, "more tasks than the job has"),
            State::Unknown if reply.clock_ms > lent.start_by.clock_ms => {
                let why = Why::Void;
                self.over(job, Ranges::default(), None, 0, why, now);
            }
            State::Unknown if *calling => {}
            State::Unknown => {
                let message = lent.message.clone().filter(|_| !lent.recall);
                match message {
                    Some(message) => {
                        if self.markets[market].gate.enter(now, true) {
                            self.call_award(job, message);
                        }
                    }
                    None => lent.recall = true,
                }
            }
            State::Void => self.over(job, Ranges::default(), None, 0, Why::Void, now),
            State::Withdrawn { done, charge } => {
                let mut done = done.clone();
                if let Err(why) = done.check(lent.tasks) {
                    done = Ranges::default();
                    self.report_violation(market, why);
                }
                self.over(job, done, None, *charge, Why::Withdrawn, now);
            }
            State::Done { result, charge } => {
                let all = Ranges::all(lent.tasks);
                self.over(job, all, Some(result.clone()), *charge, Why::Done, now);
            }
        }
    }

    /// An award has surely ended: from now on nothing that anyone says of it
    /// counts.
    fn over(
        &mut self,
        job: &str,
        done: Ranges,
        result: Option<String>,
        charge: Money,
        why: Why,
        now: Millis,
    ) {
        let Some(lent) = self.jobs.get(job) else {
            return;
        };
        let (market, cap, recall) = (lent.market, lent.cap, lent.recall);
        if charge > cap {
            self.report_violation(market, "a higher price than awarded");
        }
        if why == Why::Done {
            self.counts.done += 1;
        }
        // What was called back says nothing about the market.
        if let Some(outcome) = why.outcome().filter(|_| !recall || why == Why::Done) {
            self.markets[market].reputation.note(outcome);
        }
        let charge = charge.min(cap);
        let end = End {
            done,
            result,
            charge,
            why,
        };
        self.end(job, end, now);
    }

    /// Records the end and, in the same transaction, what it cost.
    fn end(&mut self, job: &str, end: End, now: Millis) {
        let Some(lent) = self.jobs.get_mut(job) else {
            return;
        };
        self.by_award.remove(&lent.award);
        let market = &mut self.markets[lent.market];
        if market.settled.len() < wire::MAX_ROWS && end.why != Why::NotSent {
            market.settled.push(lent.award);
        }
        let record = lent.record(&market.name, Some(end.clone()));
        let mut group = vec![(award_key(job), value(&record))];
        if end.charge > 0 {
            let spent = self.spent.entry(lent.team.clone()).or_default();
            if spent.day != day(now) {
                *spent = SpentRecord {
                    day: day(now),
                    spent: 0,
                };
            }
            spent.spent += end.charge;
            group.push((spent_key(&lent.team), value(spent)));
        }
        lent.phase = Phase::Ending(end);
        self.ledger_sync.want(group);
    }

    pub(super) fn returned(&mut self, job: &str, award: u64, taken: bool) {
        let Some(lent) = self.jobs.get_mut(job).filter(|l| l.award == award) else {
            return;
        };
        if taken && matches!(lent.phase, Phase::Returning { .. }) {
            lent.phase = Phase::Deleting;
            self.ledger_sync.want(vec![(award_key(job), None)]);
        }
    }

    /// Ends what can't be running any more, whatever became of it.
    pub(super) fn expire(&mut self, now: Millis) {
        let gone: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, l)| matches!(l.phase, Phase::Awarded { .. }))
            .filter(|(_, l)| self.markets[l.market].tenancy.over(now))
            .map(|(j, _)| j.clone())
            .collect();
        for job in gone {
            self.over(&job, Ranges::default(), None, 0, Why::Expired, now);
        }
    }

    pub(super) fn report_violation(&mut self, market: usize, what: &str) {
        let m = &mut self.markets[market];
        m.reputation.note(crate::reputation::Outcome::Lied);
        self.counts.lies += 1;
        log::warn!("market {}: {what}", m.name);
    }
}

impl OffloadedJob {
    /// Whether there is something to do for it without further news.
    fn acts(&self, now: Millis) -> bool {
        let due = |asked: &Option<Millis>| asked.is_none_or(|at| now >= at + LEADER_RETRY_MS);
        match &self.phase {
            Phase::Marking { asked } => due(asked) || self.recall,
            Phase::Returning { asked, .. } => due(asked),
            Phase::Marked => true,
            _ => false,
        }
    }
}
