//! A market as the protocol wants it, and ways in which it may fail.

use crate::Millis;
use fastrand::Rng;
use pathwinch_market::{
    ranges::Ranges,
    wire::{
        Ask, Award, AwardSaid, Bid, BidSaid, Offer, Reply, Request, Say, Slot, State, Sync, Synced,
        VERSION,
    },
};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
struct Run {
    job: String,
    began: Millis,
    ends: Millis,
    tasks: u32,
    gang: bool,
    slots: u32,
    cap: u64,
    price: u64,
}

#[derive(Debug, Clone)]
enum Held {
    Void,
    Running(Run),
    Over(State),
}

/// Jobs that started or ended here.
#[derive(Debug, PartialEq)]
pub enum Did {
    Start(String),
    End(String),
}

pub struct MarketSim {
    pub name: String,
    pub price: u64,
    pub slots: u32,
    /// How fast its clock goes.
    pub rate: f64,
    /// Chance that it takes a running job back, each second.
    pub withdraws: f64,
    /// Chance that it refuses an award whose bid it accepted.
    pub refuses: f64,
    /// It says what isn't so.
    pub lies: bool,
    pub down: bool,
    epoch: u64,
    boot: Millis,
    term: u64,
    tenancy: u64,
    awards: BTreeMap<u64, Held>,
    /// Runs on from an epoch that was forgotten, until then.
    orphans: Vec<(Millis, String)>,
    rng: Rng,
    pub accepted: u64,
    /// Bids accepted, and let go by the home.
    pub held: u64,
    pub released: u64,
}

impl MarketSim {
    pub fn new(name: &str, price: u64, slots: u32, seed: u64) -> Self {
        MarketSim {
            name: name.into(),
            price,
            slots,
            rate: 1.0,
            withdraws: 0.0,
            refuses: 0.0,
            lies: false,
            down: false,
            epoch: seed * 1000 + 1,
            boot: 0,
            term: 0,
            tenancy: 0,
            awards: BTreeMap::new(),
            orphans: Vec::new(),
            rng: Rng::with_seed(seed),
            accepted: 0,
            held: 0,
            released: 0,
        }
    }

    fn clock(&self, now: Millis) -> u64 {
        ((now - self.boot) as f64 * self.rate) as u64
    }

    fn free(&self) -> u32 {
        let used = self.awards.values().map(|h| match h {
            Held::Running(r) => r.slots,
            _ => 0,
        });
        self.slots.saturating_sub(used.sum())
    }

    fn cut(&self, r: &Run, now: Millis) -> State {
        let share = (now - r.began) as f64 / (r.ends - r.began).max(1) as f64;
        let done = match r.gang {
            true => 0,
            false => (f64::from(r.tasks) * share.min(0.99)) as u32,
        };
        State::Withdrawn {
            done: Ranges::all(done),
            charge: ((r.price as f64 * share) as u64).min(r.cap),
        }
    }

    /// Loses what it knew, or keeps it.
    pub fn restart(&mut self, memory: bool, now: Millis) {
        if memory {
            return;
        }
        let left = self.tenancy.saturating_sub(self.clock(now));
        for held in std::mem::take(&mut self.awards).into_values() {
            if let Held::Running(r) = held {
                self.orphans.push((now + left, r.job));
            }
        }
        self.epoch += 1;
        self.boot = now;
        self.tenancy = 0;
    }

    pub fn step(&mut self, now: Millis, passed: Millis) -> Vec<Did> {
        let mut did = Vec::new();
        self.orphans.retain(|(until, job)| {
            if *until <= now {
                did.push(Did::End(job.clone()));
            }
            *until > now
        });
        let lapsed = self.clock(now) > self.tenancy;
        let ids: Vec<u64> = self.awards.keys().copied().collect();
        for id in ids {
            let Some(Held::Running(r)) = self.awards.get(&id).cloned() else {
                continue;
            };
            let taken = self.rng.f64() < self.withdraws * passed as f64 / 1000.0;
            let state = if lapsed || taken {
                self.cut(&r, now)
            } else if now >= r.ends {
                State::Done {
                    result: format!("{}@{}", r.job, self.name),
                    charge: r.price.min(r.cap),
                }
            } else {
                continue;
            };
            self.awards.insert(id, Held::Over(state));
            did.push(Did::End(r.job));
        }
        did
    }

    fn state(&self, award: u64, now: Millis) -> State {
        match self.awards.get(&award) {
            None => State::Unknown,
            Some(Held::Void) => State::Void,
            Some(Held::Running(r)) => {
                let share = (now - r.began) as f64 / (r.ends - r.began).max(1) as f64;
                State::Running {
                    done: (f64::from(r.tasks) * share.min(1.0)) as u32,
                }
            }
            Some(Held::Over(s)) => s.clone(),
        }
    }

    pub fn handle(&mut self, request: &Request, now: Millis) -> (Reply, Vec<Did>) {
        let mut did = Vec::new();
        let say = if request.term < self.term {
            Say::Fenced { term: self.term }
        } else {
            self.term = request.term;
            match &request.ask {
                Ask::Sync(sync) => Say::Synced(self.sync(sync, now, &mut did)),
                Ask::Bids(bids) => Say::Bids(bids.iter().map(|b| self.bid(b, now)).collect()),
                Ask::Award(award) => Say::Award(self.award(award, now, &mut did)),
            }
        };
        let reply = Reply {
            v: VERSION,
            message: request.message,
            epoch: self.epoch,
            clock_ms: self.clock(now),
            cleared: self.orphans.is_empty(),
            say,
        };
        (reply, did)
    }

    fn bid(&mut self, b: &Bid, now: Millis) -> BidSaid {
        if b.slots > self.free() || b.price < self.price {
            return BidSaid::Refused;
        }
        self.held += 1;
        BidSaid::Accepted {
            price: self.price,
            until_ms: self.clock(now) + 10_000,
        }
    }

    fn sync(&mut self, sync: &Sync, now: Millis, did: &mut Vec<Did>) -> Synced {
        if let Some(until) = sync.until
            && until.epoch == self.epoch
            && self.clock(now) <= until.clock_ms
        {
            self.tenancy = self.tenancy.max(until.clock_ms);
        }
        for award in &sync.recall {
            match self.awards.get(award).cloned() {
                None => {
                    self.awards.insert(*award, Held::Void);
                }
                Some(Held::Running(r)) => {
                    let state = self.cut(&r, now);
                    self.awards.insert(*award, Held::Over(state));
                    did.push(Did::End(r.job));
                }
                Some(_) => {}
            }
        }
        self.released += sync.release.len() as u64;
        let mut awards: Vec<AwardSaid> = sync
            .awards
            .iter()
            .map(|award| AwardSaid {
                award: *award,
                state: self.state(*award, now),
            })
            .collect();
        if self.lies && self.rng.f64() < 0.1 {
            self.lie(&mut awards);
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
        Synced { offers, awards }
    }

    fn lie(&mut self, awards: &mut Vec<AwardSaid>) {
        let false_end = State::Done {
            result: "something else".into(),
            charge: u64::MAX,
        };
        match self.rng.u32(0..3) {
            // A job it never had.
            0 => awards.push(AwardSaid {
                award: self.rng.u64(..),
                state: false_end,
            }),
            // Two results for one.
            1 => {
                if let Some(first) = awards
                    .iter()
                    .find(|a| matches!(a.state, State::Done { .. }))
                {
                    let award = first.award;
                    awards.push(AwardSaid {
                        award,
                        state: false_end,
                    });
                }
            }
            // A higher price than awarded.
            _ => {
                for a in awards.iter_mut() {
                    if let State::Done { charge, .. } = &mut a.state {
                        *charge = u64::MAX;
                    }
                }
            }
        }
    }

    fn award(&mut self, a: &Award, now: Millis, did: &mut Vec<Did>) -> State {
        if self.awards.contains_key(&a.award) {
            return self.state(a.award, now);
        }
        // From an epoch that is forgotten: it can't tell what became of it.
        if a.start_by.epoch != self.epoch {
            return State::Unknown;
        }
        let slots = a.job.tasks - a.job.done.count();
        let clock = self.clock(now);
        let late = clock > a.start_by.clock_ms || clock > self.tenancy;
        if late || slots > self.free() || self.rng.f64() < self.refuses {
            self.awards.insert(a.award, Held::Void);
            return State::Void;
        }
        let run = (a.job.estimate_s * 1000.0 * (0.5 + self.rng.f64())) as Millis;
        let price = u64::from(slots) * run * self.price / 3_600_000;
        self.awards.insert(
            a.award,
            Held::Running(Run {
                job: a.job.id.clone(),
                began: now,
                ends: now + run.max(1),
                tasks: a.job.tasks,
                gang: a.job.gang,
                slots,
                cap: a.cap,
                price,
            }),
        );
        self.accepted += 1;
        did.push(Did::Start(a.job.id.clone()));
        State::Running { done: 0 }
    }
}
