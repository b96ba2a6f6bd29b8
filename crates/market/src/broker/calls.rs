//! Sends calls to markets, renews tenancies and processes the replies.

use super::*;
use crate::{
    call_policy::CallOutcome,
    clock::{Reading, ReadingStatus},
    wire::{
        MAX_ITEMS_PER_MESSAGE, MAX_OFFERS, Reply, ReplyBody, Request, RequestBody, Sync, SyncReply,
        VERSION,
    },
};
use std::collections::HashSet;

/// Width of the random spread of sync intervals, as a share of the interval.
const SYNC_JITTER: f64 = 0.25;

/// Time, in addition to three sync intervals, without an answer after which a
/// market's horizon is no longer extended.
const UNRESPONSIVE_GRACE_MS: Millis = 2_000;

impl Broker {
    /// Queues a request to a market and remembers what its reply is for.
    pub(super) fn send_call(&mut self, market: usize, call: Call, body: RequestBody) {
        self.call_count += 1;
        self.counts.calls += 1;
        let number = self.call_count;
        self.calls_in_flight.insert(number, (market, call));
        self.effects.push(Effect::Call {
            market,
            call: number,
            request: Request {
                v: VERSION,
                message: (self.term << 32) | number,
                home: self.home.clone(),
                term: self.term,
                body,
            },
        });
    }

    /// Sends a sync call to each market whose sync is due.
    pub(super) fn sync_markets(&mut self, now: Millis) {
        for market_index in 0..self.markets.len() {
            self.write_horizon(market_index, now);
            let market = &mut self.markets[market_index];
            if !market.configured || market.sync_in_flight || now < market.next_sync {
                continue;
            }
            if !market.breaker.admit(now, false) {
                continue;
            }
            let interval_ms = self.options.sync_interval_ms as f64;
            let jitter = 1.0 + SYNC_JITTER * (self.rng.f64() - 0.5);
            market.next_sync = now + (interval_ms * jitter) as Millis;
            market.sync_in_flight = true;
            let awards_here: Vec<(u64, bool)> = self
                .jobs
                .values()
                .filter(|l| l.market == market_index && matches!(l.phase, Phase::Awarded { .. }))
                .map(|l| (l.award, l.recall))
                .take(MAX_ITEMS_PER_MESSAGE)
                .collect();
            let market = &mut self.markets[market_index];
            let has_awards = self.jobs.values().any(|l| l.market == market_index);
            let until = match has_awards {
                true => market.tenancy.renewal(&market.clock, now),
                false => None,
            };
            let asked: Vec<u64> = awards_here.iter().map(|h| h.0).collect();
            let recall = awards_here.iter().filter(|h| h.1).map(|h| h.0).collect();
            let sync = Sync {
                until,
                awards: asked.clone(),
                recall,
                settled: std::mem::take(&mut market.settled_awards),
                release: std::mem::take(&mut market.released_bids),
            };
            self.send_call(
                market_index,
                Call::Sync { until, asked },
                RequestBody::Sync(sync),
            );
        }
    }

    /// Extends the durable horizon of a market that holds jobs, if it is due.
    fn write_horizon(&mut self, market_index: usize, now: Millis) {
        if !self.jobs.values().any(|l| l.market == market_index) {
            return;
        }
        let market = &mut self.markets[market_index];
        // Tenancies are renewed only at markets that this broker can call and
        // whose clock and statements it can rely on.
        if !market.configured || !market.clock.is_reliable() || !market.reputation.trusted() {
            return;
        }
        // An unresponsive market's horizon is not extended, so that it passes and
        // the jobs there can return home.
        if !market.clock.answered_within(
            now,
            3 * self.options.sync_interval_ms + UNRESPONSIVE_GRACE_MS,
        ) {
            return;
        }
        if let Some(until_ms) = market.tenancy.horizon_to_write(now) {
            let key = horizon_key(&market.name);
            self.ledger_sync
                .enqueue(vec![(key, value(&HorizonRecord { until_ms }))]);
        }
    }

    /// Handles the end of a call: updates the market's circuit breaker and passes
    /// on a reply that belongs to the call. Any other reply counts as invalid.
    pub(super) fn on_call_ended(
        &mut self,
        number: u64,
        sent: Millis,
        reply: Result<Reply, CallFailure>,
        now: Millis,
    ) {
        let Some((market, call)) = self.calls_in_flight.remove(&number) else {
            return;
        };
        let matches_call = reply.as_ref().is_ok_and(|r| {
            matches!(
                (&call, &r.body),
                (_, ReplyBody::Fenced { .. })
                    | (Call::Sync { .. }, ReplyBody::Synced(_))
                    | (Call::Bids(_), ReplyBody::Bids(_))
                    | (Call::Award(_), ReplyBody::Award(_))
            ) && r.message == (self.term << 32) | number
        });
        let outcome = match &reply {
            Ok(_) if matches_call => CallOutcome::Success,
            Err(CallFailure::NoAnswer) => CallOutcome::NoAnswer,
            _ => CallOutcome::Invalid,
        };
        let jitter = self.rng.f64();
        self.markets[market].breaker.finish(outcome, now, jitter);
        if let Call::Sync { .. } = &call {
            self.markets[market].sync_in_flight = false;
        }
        if let Call::Award(job) = &call
            && let Some(offload) = self.jobs.get_mut(job)
            && let Phase::Awarded { calling, .. } = &mut offload.phase
        {
            *calling = false;
        }
        match reply {
            Ok(reply) if matches_call => self.on_reply(market, call, sent, reply, now),
            _ => {
                if let Call::Bids(bids) = call {
                    self.bidding.mark_unanswered(&bids, &mut self.markets);
                }
            }
        }
    }

    /// Checks the reply's term, epoch and clock before its content is used.
    fn on_reply(&mut self, market: usize, call: Call, sent: Millis, reply: Reply, now: Millis) {
        if let ReplyBody::Fenced { term } = reply.body {
            if term > self.term {
                return self.resign();
            }
            return self.report_violation(market, "fenced by a term that is not higher");
        }
        let reading = Reading {
            epoch: reply.epoch,
            clock_ms: reply.clock_ms,
            sent,
            received: now,
        };
        let is_stale = self.markets[market]
            .clock
            .reading()
            .is_some_and(|r| sent < r.sent);
        match self.markets[market].clock.read(reading) {
            ReadingStatus::Consistent => {}
            ReadingStatus::NewEpoch => {
                log::warn!(
                    "market {} started a new epoch: it has lost its state",
                    self.markets[market].name
                );
                self.markets[market].granted_until = None;
                self.markets[market].offers.clear();
            }
            ReadingStatus::Inconsistent => {
                self.markets[market].granted_until = None;
                self.report_violation(market, "clock went back or is too slow");
            }
        }
        // A reply to a call older than the last reading is out of date.
        if is_stale {
            if let Call::Bids(bids) = call {
                self.bidding.mark_unanswered(&bids, &mut self.markets);
            }
            return;
        }
        match (call, &reply.body) {
            (Call::Sync { until, asked }, ReplyBody::Synced(synced)) => {
                if until.is_some_and(|u| u.epoch == reply.epoch) {
                    self.markets[market].granted_until = until;
                }
                self.on_sync_reply(market, &asked, &reply, synced, now);
            }
            (Call::Bids(bids), ReplyBody::Bids(rows)) => {
                self.on_bid_reply(market, &bids, rows, now)
            }
            (Call::Award(job), ReplyBody::Award(state)) => {
                self.on_award_state(&job, &reply, state, now)
            }
            _ => {}
        }
    }

    /// Takes the market's offers and the states of the awards that it was asked
    /// about.
    fn on_sync_reply(
        &mut self,
        market: usize,
        asked: &[u64],
        reply: &Reply,
        synced: &SyncReply,
        now: Millis,
    ) {
        let clock = reply.clock_ms;
        self.markets[market].offers = synced
            .offers
            .iter()
            .filter(|o| o.valid_until_ms > clock)
            .take(MAX_OFFERS)
            .cloned()
            .collect();
        let mut unanswered: HashSet<u64> = asked.iter().copied().collect();
        for reported in &synced.awards {
            // The market must report one state for each award asked about. Any
            // other state is for an award that was never made or has ended, or
            // is a second state for the same award.
            if !unanswered.remove(&reported.award) {
                self.report_violation(market, "state of an award that was not asked about");
                continue;
            }
            if let Some(job) = self.job_by_award.get(&reported.award).cloned() {
                self.on_award_state(&job, reply, &reported.state, now);
            }
        }
    }
}
