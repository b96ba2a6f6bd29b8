//! Calls to markets, and what their answers mean.

use super::*;
use crate::{
    call_policy::Outcome,
    clock::{Reading, ReadingStatus},
    wire::{Ask, MAX_OFFERS, MAX_ROWS, Reply, Request, Say, Sync, Synced, VERSION},
};
use std::collections::HashSet;

/// Two renewals that differ by less than this are one.
const SYNC_SPREAD: f64 = 0.25;

/// Besides three rounds, a market may be unresponsive for so long.
const SILENT: Millis = 2_000;

impl Broker {
    pub(super) fn call(&mut self, market: usize, call: Call, ask: Ask) {
        self.calls += 1;
        self.counts.calls += 1;
        let number = self.calls;
        self.under_way.insert(number, (market, call));
        self.out.push(Effect::Call {
            market,
            call: number,
            request: Request {
                v: VERSION,
                message: (self.term << 32) | number,
                home: self.home.clone(),
                term: self.term,
                ask,
            },
        });
    }

    /// Keeps in touch with every market.
    pub(super) fn sync(&mut self, now: Millis) {
        for m in 0..self.markets.len() {
            self.write_horizon(m, now);
            let market = &mut self.markets[m];
            if !market.known || market.syncing || now < market.next_sync {
                continue;
            }
            if !market.gate.enter(now, false) {
                continue;
            }
            let every = self.o.sync_interval_ms as f64;
            let spread = 1.0 + SYNC_SPREAD * (self.rng.f64() - 0.5);
            market.next_sync = now + (every * spread) as Millis;
            market.syncing = true;
            let here: Vec<(u64, bool)> = self
                .jobs
                .values()
                .filter(|l| l.market == m && matches!(l.phase, Phase::Awarded { .. }))
                .map(|l| (l.award, l.recall))
                .take(MAX_ROWS)
                .collect();
            let market = &mut self.markets[m];
            let needed = self.jobs.values().any(|l| l.market == m);
            let until = match needed {
                true => market.tenancy.renewal(&market.clock, now),
                false => None,
            };
            let asked: Vec<u64> = here.iter().map(|h| h.0).collect();
            let recall = here.iter().filter(|h| h.1).map(|h| h.0).collect();
            let sync = Sync {
                until,
                awards: asked.clone(),
                recall,
                settled: std::mem::take(&mut market.settled),
                release: std::mem::take(&mut market.release),
            };
            self.call(m, Call::Sync { until, asked }, Ask::Sync(sync));
        }
    }

    fn write_horizon(&mut self, m: usize, now: Millis) {
        if !self.jobs.values().any(|l| l.market == m) {
            return;
        }
        let market = &mut self.markets[m];
        // What is renewed is only what this broker can still talk to.
        if !market.known || !market.clock.sound() || !market.reputation.trusted() {
            return;
        }
        // A unresponsive market's horizon stands still, so that it is reached.
        if !market
            .clock
            .heard(now, 3 * self.o.sync_interval_ms + SILENT)
        {
            return;
        }
        if let Some(until_ms) = market.tenancy.to_write(now) {
            let key = horizon_key(&market.name);
            self.ledger_sync
                .want(vec![(key, value(&HorizonRecord { until_ms }))]);
        }
    }

    pub(super) fn answered(
        &mut self,
        number: u64,
        sent: Millis,
        reply: Result<Reply, CallFailure>,
        now: Millis,
    ) {
        let Some((m, call)) = self.under_way.remove(&number) else {
            return;
        };
        let fits = reply.as_ref().is_ok_and(|r| {
            matches!(
                (&call, &r.say),
                (_, Say::Fenced { .. })
                    | (Call::Sync { .. }, Say::Synced(_))
                    | (Call::Bids(_), Say::Bids(_))
                    | (Call::Award(_), Say::Award(_))
            ) && r.message == (self.term << 32) | number
        });
        let outcome = match &reply {
            Ok(_) if fits => Outcome::Good,
            Err(CallFailure::NoAnswer) => Outcome::CallFailure,
            _ => Outcome::Bad,
        };
        let chance = self.rng.f64();
        self.markets[m].gate.leave(outcome, now, chance);
        if let Call::Sync { .. } = &call {
            self.markets[m].syncing = false;
        }
        if let Call::Award(job) = &call
            && let Some(lent) = self.jobs.get_mut(job)
            && let Phase::Awarded { calling, .. } = &mut lent.phase
        {
            *calling = false;
        }
        match reply {
            Ok(reply) if fits => self.taken(m, call, sent, reply, now),
            _ => {
                if let Call::Bids(bids) = call {
                    self.bidding.unanswered(&bids, &mut self.markets);
                }
            }
        }
    }

    fn taken(&mut self, m: usize, call: Call, sent: Millis, reply: Reply, now: Millis) {
        if let Say::Fenced { term } = reply.say {
            if term > self.term {
                return self.resign();
            }
            return self.report_violation(m, "fenced by a term that is not later");
        }
        let reading = Reading {
            epoch: reply.epoch,
            clock_ms: reply.clock_ms,
            sent,
            received: now,
        };
        let overtaken = self.markets[m]
            .clock
            .reading()
            .is_some_and(|r| sent < r.sent);
        match self.markets[m].clock.read(reading) {
            ReadingStatus::Consistent => {}
            ReadingStatus::NewEpoch => {
                log::warn!("market {} has lost what it knew", self.markets[m].name);
                self.markets[m].granted = None;
                self.markets[m].offers.clear();
            }
            ReadingStatus::Inconsistent => {
                self.markets[m].granted = None;
                self.report_violation(m, "its clock went back or is too slow");
            }
        }
        // What was said before a later answer is not news.
        if overtaken {
            if let Call::Bids(bids) = call {
                self.bidding.unanswered(&bids, &mut self.markets);
            }
            return;
        }
        match (call, &reply.say) {
            (Call::Sync { until, asked }, Say::Synced(synced)) => {
                if until.is_some_and(|u| u.epoch == reply.epoch) {
                    self.markets[m].granted = until;
                }
                self.synced(m, &asked, &reply, synced, now);
            }
            (Call::Bids(bids), Say::Bids(said)) => self.bids_said(m, &bids, said, now),
            (Call::Award(job), Say::Award(state)) => self.heard(&job, &reply, state, now),
            _ => {}
        }
    }

    fn synced(&mut self, m: usize, asked: &[u64], reply: &Reply, synced: &Synced, now: Millis) {
        let clock = reply.clock_ms;
        self.markets[m].offers = synced
            .offers
            .iter()
            .filter(|o| o.valid_until_ms > clock)
            .take(MAX_OFFERS)
            .cloned()
            .collect();
        let mut open: HashSet<u64> = asked.iter().copied().collect();
        for said in &synced.awards {
            // Each award that was asked about has one state; whatever else is
            // claimed was never awarded, is over, or is a second answer.
            if !open.remove(&said.award) {
                self.report_violation(m, "a state of an award that it was not asked about");
                continue;
            }
            if let Some(job) = self.by_award.get(&said.award).cloned() {
                self.heard(&job, reply, &said.state, now);
            }
        }
    }
}
