//! Simulated market: implements the market's side of the protocol in
//! `pathwinch_market::wire`, and can be set to fail in several ways. Used by the
//! testbed and by the market crate's simulation. It has no clock of its own; the
//! caller passes the time.

use crate::Millis;
use fastrand::Rng;
use pathwinch_market::{
    ranges::Ranges,
    wire::{
        Award, AwardReport, AwardState, Bid, BidAnswer, Offer, Reply, ReplyBody, Request,
        RequestBody, Slot, Sync, SyncReply, VERSION,
    },
};
use std::collections::BTreeMap;

/// A job that runs at the market.
#[derive(Debug, Clone)]
struct Run {
    job: String,
    started_at: Millis,
    ends_at: Millis,
    tasks: u32,
    gang: bool,
    slots: u32,
    /// Maximum charge that the award allows, in millionths of the currency.
    cap: u64,
    /// Charge for the complete run, in millionths of the currency.
    price: u64,
}

/// What the market knows of an award.
#[derive(Debug, Clone)]
enum AwardStatus {
    Void,
    Running(Run),
    Over(AwardState),
}

/// A job started or ended at the market.
#[derive(Debug, PartialEq)]
pub enum JobEvent {
    Start(String),
    End(String),
}

/// A market that serves one home cluster.
pub struct SimulatedMarket {
    pub name: String,
    /// Price of a slot for an hour, in millionths of the currency.
    pub price: u64,
    pub slots: u32,
    /// Rate of the market's clock; 1.0 is exact.
    pub clock_rate: f64,
    /// Probability per second that the market withdraws a running job.
    pub withdrawal_probability_per_s: f64,
    /// Probability that the market refuses an award whose bid it accepted.
    pub award_refusal_probability: f64,
    /// Whether some of the answers are false, to test the checks of the broker.
    pub sends_false_answers: bool,
    /// Whether the market is unreachable; evaluated by the caller.
    pub is_unreachable: bool,
    /// Changes when the market restarts without its memory.
    epoch: u64,
    /// When the epoch began; the market's clock counts from here.
    epoch_start: Millis,
    /// Highest term of the broker seen so far; requests of lower terms are fenced.
    term: u64,
    /// Time on the market's clock until which awarded jobs may run.
    tenancy_ends_at: u64,
    awards: BTreeMap<u64, AwardStatus>,
    /// Jobs of an earlier epoch that still run although the market forgot them, with the
    /// time when they end.
    orphans: Vec<(Millis, String)>,
    rng: Rng,
    /// Number of awards accepted.
    pub awards_accepted: u64,
    /// Number of bids accepted.
    pub accepted_bids: u64,
    /// Number of bids released by the home.
    pub bids_released: u64,
}

impl SimulatedMarket {
    pub fn new(name: &str, price: u64, slots: u32, seed: u64) -> Self {
        SimulatedMarket {
            name: name.into(),
            price,
            slots,
            clock_rate: 1.0,
            withdrawal_probability_per_s: 0.0,
            award_refusal_probability: 0.0,
            sends_false_answers: false,
            is_unreachable: false,
            epoch: seed * 1000 + 1,
            epoch_start: 0,
            term: 0,
            tenancy_ends_at: 0,
            awards: BTreeMap::new(),
            orphans: Vec::new(),
            rng: Rng::with_seed(seed),
            awards_accepted: 0,
            accepted_bids: 0,
            bids_released: 0,
        }
    }

    fn clock(&self, now: Millis) -> u64 {
        ((now - self.epoch_start) as f64 * self.clock_rate) as u64
    }

    fn free(&self) -> u32 {
        let used = self.awards.values().map(|h| match h {
            AwardStatus::Running(r) => r.slots,
            _ => 0,
        });
        self.slots.saturating_sub(used.sum())
    }

    fn withdrawn_state(&self, r: &Run, now: Millis) -> AwardState {
        let share = (now - r.started_at) as f64 / (r.ends_at - r.started_at).max(1) as f64;
        let done = match r.gang {
            true => 0,
            false => (f64::from(r.tasks) * share.min(0.99)) as u32,
        };
        AwardState::Withdrawn {
            done: Ranges::all(done),
            charge: ((r.price as f64 * share) as u64).min(r.cap),
        }
    }

    /// Restarts the market. Without `memory` it forgets all awards and begins a new
    /// epoch; jobs that ran go on until the tenancy would have ended.
    pub fn restart(&mut self, memory: bool, now: Millis) {
        if memory {
            return;
        }
        let left = self.tenancy_ends_at.saturating_sub(self.clock(now));
        for held in std::mem::take(&mut self.awards).into_values() {
            if let AwardStatus::Running(r) = held {
                self.orphans.push((now + left, r.job));
            }
        }
        self.epoch += 1;
        self.epoch_start = now;
        self.tenancy_ends_at = 0;
    }

    /// Ends the jobs that are finished, withdrawn or past the tenancy. `passed` is the
    /// time in milliseconds since the last call.
    pub fn step(&mut self, now: Millis, passed: Millis) -> Vec<JobEvent> {
        let mut events = Vec::new();
        self.orphans.retain(|(until, job)| {
            if *until <= now {
                events.push(JobEvent::End(job.clone()));
            }
            *until > now
        });
        let tenancy_expired = self.clock(now) > self.tenancy_ends_at;
        let ids: Vec<u64> = self.awards.keys().copied().collect();
        for id in ids {
            let Some(AwardStatus::Running(r)) = self.awards.get(&id).cloned() else {
                continue;
            };
            let is_withdrawn =
                self.rng.f64() < self.withdrawal_probability_per_s * passed as f64 / 1000.0;
            let state = if tenancy_expired || is_withdrawn {
                self.withdrawn_state(&r, now)
            } else if now >= r.ends_at {
                AwardState::Done {
                    result: format!("{}@{}", r.job, self.name),
                    charge: r.price.min(r.cap),
                }
            } else {
                continue;
            };
            self.awards.insert(id, AwardStatus::Over(state));
            events.push(JobEvent::End(r.job));
        }
        events
    }

    fn state(&self, award: u64, now: Millis) -> AwardState {
        match self.awards.get(&award) {
            None => AwardState::Unknown,
            Some(AwardStatus::Void) => AwardState::Void,
            Some(AwardStatus::Running(r)) => {
                let share = (now - r.started_at) as f64 / (r.ends_at - r.started_at).max(1) as f64;
                AwardState::Running {
                    done: (f64::from(r.tasks) * share.min(1.0)) as u32,
                }
            }
            Some(AwardStatus::Over(s)) => s.clone(),
        }
    }

    /// Handles a request; also returns the jobs that it started or ended.
    pub fn handle(&mut self, request: &Request, now: Millis) -> (Reply, Vec<JobEvent>) {
        let mut events = Vec::new();
        let body = if request.term < self.term {
            ReplyBody::Fenced { term: self.term }
        } else {
            self.term = request.term;
            match &request.body {
                RequestBody::Sync(sync) => ReplyBody::Synced(self.sync(sync, now, &mut events)),
                RequestBody::Bids(bids) => {
                    ReplyBody::Bids(bids.iter().map(|bid| self.bid(bid, now)).collect())
                }
                RequestBody::Award(award) => ReplyBody::Award(self.award(award, now, &mut events)),
            }
        };
        let reply = Reply {
            v: VERSION,
            message: request.message,
            epoch: self.epoch,
            clock_ms: self.clock(now),
            cleared: self.orphans.is_empty(),
            body,
        };
        (reply, events)
    }

    fn bid(&mut self, bid: &Bid, now: Millis) -> BidAnswer {
        if bid.slots > self.free() || bid.price < self.price {
            return BidAnswer::Refused;
        }
        self.accepted_bids += 1;
        BidAnswer::Accepted {
            price: self.price,
            until_ms: self.clock(now) + 10_000,
        }
    }

    fn sync(&mut self, sync: &Sync, now: Millis, events: &mut Vec<JobEvent>) -> SyncReply {
        if let Some(until) = sync.until
            && until.epoch == self.epoch
            && self.clock(now) <= until.clock_ms
        {
            self.tenancy_ends_at = self.tenancy_ends_at.max(until.clock_ms);
        }
        for award in &sync.recall {
            match self.awards.get(award).cloned() {
                None => {
                    self.awards.insert(*award, AwardStatus::Void);
                }
                Some(AwardStatus::Running(r)) => {
                    let state = self.withdrawn_state(&r, now);
                    self.awards.insert(*award, AwardStatus::Over(state));
                    events.push(JobEvent::End(r.job));
                }
                Some(_) => {}
            }
        }
        self.bids_released += sync.release.len() as u64;
        let mut awards: Vec<AwardReport> = sync
            .awards
            .iter()
            .map(|award| AwardReport {
                award: *award,
                state: self.state(*award, now),
            })
            .collect();
        if self.sends_false_answers && self.rng.f64() < 0.1 {
            self.falsify(&mut awards);
        }
        let offers = vec![Offer {
            offer: "spare".into(),
            slot: Slot {
                cpus: 8.0,
                gpus: 1.0,
                memory_gb: 64.0,
            },
            slots: self.free(),
            price: self.price,
            valid_until_ms: self.clock(now) + 30_000,
        }];
        SyncReply { offers, awards }
    }

    fn falsify(&mut self, awards: &mut Vec<AwardReport>) {
        let false_end = AwardState::Done {
            result: "something else".into(),
            charge: u64::MAX,
        };
        match self.rng.u32(0..3) {
            // Reports an award that was never given.
            0 => awards.push(AwardReport {
                award: self.rng.u64(..),
                state: false_end,
            }),
            // Reports a second result for an award that is done.
            1 => {
                if let Some(first) = awards
                    .iter()
                    .find(|a| matches!(a.state, AwardState::Done { .. }))
                {
                    let award = first.award;
                    awards.push(AwardReport {
                        award,
                        state: false_end,
                    });
                }
            }
            // Charges more than the award allows.
            _ => {
                for a in awards.iter_mut() {
                    if let AwardState::Done { charge, .. } = &mut a.state {
                        *charge = u64::MAX;
                    }
                }
            }
        }
    }

    fn award(&mut self, award: &Award, now: Millis, events: &mut Vec<JobEvent>) -> AwardState {
        if self.awards.contains_key(&award.award) {
            return self.state(award.award, now);
        }
        // The award is for an earlier epoch, which the market forgot, so it cannot tell
        // whether the job ran.
        if award.start_by.epoch != self.epoch {
            return AwardState::Unknown;
        }
        let slots = award.job.tasks - award.job.done.count();
        let clock = self.clock(now);
        let late = clock > award.start_by.clock_ms || clock > self.tenancy_ends_at;
        if late || slots > self.free() || self.rng.f64() < self.award_refusal_probability {
            self.awards.insert(award.award, AwardStatus::Void);
            return AwardState::Void;
        }
        let run = (award.job.estimate_s * 1000.0 * (0.5 + self.rng.f64())) as Millis;
        let price = u64::from(slots) * run * self.price / 3_600_000;
        self.awards.insert(
            award.award,
            AwardStatus::Running(Run {
                job: award.job.id.clone(),
                started_at: now,
                ends_at: now + run.max(1),
                tasks: award.job.tasks,
                gang: award.job.gang,
                slots,
                cap: award.cap,
                price,
            }),
        );
        self.awards_accepted += 1;
        events.push(JobEvent::Start(award.job.id.clone()));
        AwardState::Running { done: 0 }
    }
}
