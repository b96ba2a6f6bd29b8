//! The broker's state and how events change it. It decides alone: effects are
//! carried out by whoever drives it, which checks its leadership right before
//! each and tells what came of it.
//!
//! A job that is offloaded passes through `Phase`; `docs/markets.md` has the table
//! of what is certain in each, and what a successor does with it.

mod bids;
mod calls;
mod settle;

use crate::{
    Millis, Money,
    call_policy::{CircuitBreaker, Limits},
    clearing::Effort,
    clock::{Clock, Tenancy},
    ledger_sync::{LedgerSync, Step, StepResult, WriteOutcome},
    lending::{NotLendable, WaitingJob},
    options::Options,
    records::{
        AWARDS, AwardRecord, End, HORIZONS, HorizonRecord, SPENT, STANDING, SpentRecord, Why,
        award_key, day, horizon_key, spent_key, standing_key,
    },
    reputation::Reputation,
    wire,
};
use fastrand::Rng;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a broker wants done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// To the state service; guarded by the leadership besides.
    LedgerSync(Step),
    /// To a market. Answered by `Event::Answered` with the same number.
    Call {
        market: usize,
        call: u64,
        request: wire::Request,
    },
    /// The leader is to mark the job as offloaded, by a write guarded on this
    /// version of the job's award record: one that comes late fails.
    MarkOffloaded {
        job: String,
        award: u64,
        version: u64,
    },
    /// The leader is to keep what is done and lift the mark, if it is of this
    /// award.
    EndOffload { job: String, award: u64, end: End },
    /// Another broker acts: this one must end.
    Resign,
}

#[derive(Debug, Clone)]
pub enum Event {
    /// The answer to a step of the books, by its number.
    WriteOutcome(u64, WriteOutcome),
    ReadOutcome(u64, Result<Option<(Value, u64)>, ()>),
    /// What a market answered, already checked against the schema; `Err`: no
    /// answer, or one that was refused.
    CallEnded {
        call: u64,
        sent: Millis,
        reply: Result<wire::Reply, CallFailure>,
    },
    /// `None`: no answer.
    OffloadMarked {
        job: String,
        award: u64,
        marked: Option<bool>,
    },
    OffloadEnded {
        job: String,
        award: u64,
        taken: bool,
    },
    /// What waits here now.
    Waiting(Vec<WaitingJob>),
    /// The job is not needed any more, or is to be had back.
    Recall(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// Refused connections, time-outs, resets.
    NoAnswer,
    /// An answer that the schema or a limit refuses.
    Invalid,
}

/// How far an award has come. Each phase says what is certain.
#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// Its record is being written: nothing outside knows of it.
    Intended,
    /// The record is durable; the leader is asked to mark the job.
    Marking { asked: Option<Millis> },
    /// The job is marked; nothing was sent to the market.
    Marked,
    /// It is, or may be, at the market, or on its way there.
    Awarded {
        /// A call is under way.
        calling: bool,
        /// Tasks done, if the market has said that it runs.
        running: Option<u32>,
    },
    /// It surely ended; that is being written.
    Ending(End),
    /// The end is durable; the leader is told.
    Returning { end: End, asked: Option<Millis> },
    /// The leader knows; the record is being deleted.
    Deleting,
}

#[derive(Debug)]
pub struct OffloadedJob {
    pub award: u64,
    pub market: usize,
    pub team: String,
    pub tasks: u32,
    pub cap: Money,
    pub start_by: wire::Until,
    pub phase: Phase,
    /// What to send; not known after a restart, which then recalls what has
    /// not been accepted.
    message: Option<wire::Award>,
    /// It is to end, running or not.
    recall: bool,
}

pub struct Market {
    pub name: String,
    /// Named by the options; others only have awards from before.
    known: bool,
    pub clock: Clock,
    pub tenancy: Tenancy,
    pub gate: CircuitBreaker,
    pub reputation: Reputation,
    /// As it was last written, and when it may be written again.
    recorded: Reputation,
    next_record: Millis,
    offers: Vec<wire::Offer>,
    /// Until when the market has surely been let run things.
    granted: Option<wire::Until>,
    next_sync: Millis,
    syncing: bool,
    settled: Vec<u64>,
    release: Vec<u64>,
}

/// A call under way.
#[derive(Debug)]
enum Call {
    Sync {
        until: Option<wire::Until>,
        asked: Vec<u64>,
    },
    Bids(Vec<u64>),
    Award(String),
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub writes: u64,
    pub awards: u64,
    pub done: u64,
    pub lies: u64,
}

pub struct Broker {
    o: Options,
    home: String,
    term: u64,
    count: u64,
    calls: u64,
    pub markets: Vec<Market>,
    by_name: HashMap<String, usize>,
    jobs: BTreeMap<String, OffloadedJob>,
    /// Job of each award that has not ended.
    by_award: HashMap<u64, String>,
    /// Jobs whose next step may be taken.
    ready: BTreeSet<String>,
    under_way: HashMap<u64, (usize, Call)>,
    bidding: bids::BidTracker,
    waiting: Vec<WaitingJob>,
    next_clearing: Millis,
    spent: BTreeMap<String, SpentRecord>,
    ledger_sync: LedgerSync,
    /// The state service is left alone until then.
    state_retry_at: Millis,
    effort: Effort,
    rng: Rng,
    ended: bool,
    pub counts: Counts,
    out: Vec<Effect>,
}

/// Awards of one term.
const AWARD_COUNT_BITS: u32 = 20;
/// Before the state service is asked again for what it refused.
const STATE_RETRY_MIN_MS: Millis = 200;
/// Reputations are written no more often than this; a lie at once.
const REPUTATION_WRITE_INTERVAL_MS: Millis = 30_000;
/// The leader is asked again after this.
const LEADER_RETRY_MS: Millis = 2_000;

impl Broker {
    /// `term`: of the leadership, higher than any before. `records`: all that
    /// stands under the broker's prefix, read after the leadership was won.
    pub fn new(
        o: Options,
        home: &str,
        term: u64,
        txn_ops: usize,
        records: &BTreeMap<String, (Value, u64)>,
        seed: u64,
    ) -> Self {
        let mut b = Broker {
            home: home.to_owned(),
            term,
            count: 0,
            calls: 0,
            markets: Vec::new(),
            by_name: HashMap::new(),
            jobs: BTreeMap::new(),
            by_award: HashMap::new(),
            ready: BTreeSet::new(),
            under_way: HashMap::new(),
            bidding: bids::BidTracker::default(),
            waiting: Vec::new(),
            next_clearing: 0,
            spent: BTreeMap::new(),
            ledger_sync: LedgerSync::new(txn_ops, term),
            state_retry_at: 0,
            effort: Effort::default(),
            rng: Rng::with_seed(seed),
            ended: false,
            counts: Counts::default(),
            out: Vec::new(),
            o,
        };
        let names: Vec<String> = b.o.markets.keys().cloned().collect();
        for name in names {
            b.market(&name, true);
        }
        b.load(records);
        b
    }

    fn market(&mut self, name: &str, known: bool) -> usize {
        if let Some(m) = self.by_name.get(name) {
            return *m;
        }
        self.markets.push(Market {
            name: name.to_owned(),
            known,
            clock: Clock::default(),
            tenancy: Tenancy::new(self.o.tenancy_ms, self.o.clock_bound_ms, 0),
            gate: CircuitBreaker::new(Limits::default()),
            reputation: Reputation::default(),
            recorded: Reputation::default(),
            next_record: 0,
            offers: Vec::new(),
            granted: None,
            next_sync: 0,
            syncing: false,
            settled: Vec::new(),
            release: Vec::new(),
        });
        self.by_name.insert(name.to_owned(), self.markets.len() - 1);
        self.markets.len() - 1
    }

    fn load(&mut self, records: &BTreeMap<String, (Value, u64)>) {
        for (key, (value, version)) in records {
            self.ledger_sync.loaded(key, *version);
            if let Some(job) = key.strip_prefix(AWARDS) {
                match serde_json::from_value::<AwardRecord>(value.clone()) {
                    Ok(record) => self.load_award(job, record),
                    Err(e) => log::error!("{key} can't be read and is left alone: {e}"),
                }
            } else if let Some(market) = key.strip_prefix(HORIZONS) {
                if let Ok(r) = serde_json::from_value::<HorizonRecord>(value.clone()) {
                    let m = self.market(market, false);
                    self.markets[m].tenancy.written(r.until_ms);
                }
            } else if let Some(market) = key.strip_prefix(STANDING) {
                if let Ok(r) = serde_json::from_value::<Reputation>(value.clone()) {
                    let m = self.market(market, false);
                    self.markets[m].recorded = r.clone();
                    self.markets[m].reputation = r;
                }
            } else if let Some(team) = key.strip_prefix(SPENT)
                && let Ok(r) = serde_json::from_value::<SpentRecord>(value.clone())
            {
                self.spent.insert(team.to_owned(), r);
            }
        }
    }

    fn load_award(&mut self, job: &str, r: AwardRecord) {
        let market = self.market(&r.market, false);
        let phase = match r.end {
            Some(end) => Phase::Returning { end, asked: None },
            // Marked or not, sent or not: the market is asked.
            None => {
                self.by_award.insert(r.award, job.to_owned());
                Phase::Awarded {
                    calling: false,
                    running: None,
                }
            }
        };
        let lent = OffloadedJob {
            award: r.award,
            market,
            team: r.team,
            tasks: r.tasks,
            cap: r.cap,
            start_by: r.start_by,
            phase,
            message: None,
            recall: false,
        };
        self.jobs.insert(job.to_owned(), lent);
    }

    /// How hard clearings are worked on. Tests limit the solver by its nodes
    /// alone, as its time depends on the machine.
    pub fn set_effort(&mut self, effort: Effort) {
        self.effort = effort;
    }

    pub fn lent(&self) -> impl Iterator<Item = (&str, &OffloadedJob)> {
        self.jobs.iter().map(|(j, l)| (j.as_str(), l))
    }

    /// Jobs whose whereabouts are not known yet.
    pub fn unconfirmed_jobs(&self) -> usize {
        let doubt = |l: &&OffloadedJob| matches!(l.phase, Phase::Awarded { running: None, .. });
        self.jobs.values().filter(doubt).count()
    }

    /// What a team may still spend today, what is quarantined left out.
    pub fn money(&self, team: &str, now: Millis) -> Money {
        let budget = self.o.budgets.get(team).copied().unwrap_or(0);
        let spent = self
            .spent
            .get(team)
            .filter(|s| s.day == day(now))
            .map_or(0, |s| s.spent);
        let aside: Money = self
            .jobs
            .values()
            .filter(|l| l.team == team && !l.cost_is_booked())
            .map(|l| l.cap)
            .sum();
        budget.saturating_sub(spent).saturating_sub(aside)
    }

    /// Why jobs stay here, as of now.
    pub fn stays(&self, now: Millis) -> Vec<(&str, NotLendable)> {
        let money = |team: &str| self.money(team, now);
        crate::lending::choose(&self.waiting, self.jobs.len(), money, &self.o).1
    }

    fn next_award_id(&mut self) -> Option<u64> {
        // Beyond this, numbers of the next term would be used.
        if self.count >= 1 << AWARD_COUNT_BITS {
            return None;
        }
        self.count += 1;
        Some((self.term << AWARD_COUNT_BITS) | (self.count - 1))
    }

    /// Takes in what has happened.
    pub fn event(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        if self.ended {
            return Vec::new();
        }
        match event {
            Event::WriteOutcome(step, wrote) => {
                if matches!(wrote, WriteOutcome::Rejected | WriteOutcome::Unknown) {
                    self.state_retry_at = now + self.pause();
                }
                let news = self.ledger_sync.wrote(step, wrote);
                self.news(news);
            }
            Event::ReadOutcome(step, found) => {
                if found.is_err() {
                    self.state_retry_at = now + self.pause();
                }
                let news = self.ledger_sync.read(step, found);
                self.news(news);
            }
            Event::CallEnded { call, sent, reply } => self.answered(call, sent, reply, now),
            Event::OffloadMarked { job, award, marked } => self.marked(&job, award, marked, now),
            Event::OffloadEnded { job, award, taken } => self.returned(&job, award, taken),
            Event::Waiting(list) => self.waiting = list,
            Event::Recall(job) => {
                self.bidding.forget(&job, &mut self.markets);
                if let Some(lent) = self.jobs.get_mut(&job) {
                    lent.recall = true;
                    self.ready.insert(job);
                }
            }
        }
        self.take_effects(now)
    }

    /// Works out the difference between what is wanted and what is.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        if self.ended {
            return Vec::new();
        }
        self.expire(now);
        self.write_reputations(now);
        self.sync(now);
        self.clear(now);
        self.due(now);
        self.take_effects(now)
    }

    fn take_effects(&mut self, now: Millis) -> Vec<Effect> {
        if self.ended {
            self.out.clear();
            return vec![Effect::Resign];
        }
        self.advance(now);
        if now < self.state_retry_at {
            return std::mem::take(&mut self.out);
        }
        while let Some(step) = self.ledger_sync.next_step() {
            if matches!(step, Step::Write(..)) {
                self.counts.writes += 1;
            }
            self.out.push(Effect::LedgerSync(step));
        }
        std::mem::take(&mut self.out)
    }

    /// Records what markets are worth, so that a successor knows a liar.
    fn write_reputations(&mut self, now: Millis) {
        for m in &mut self.markets {
            let report_violation = m.reputation.lies > m.recorded.lies;
            if m.reputation == m.recorded || (now < m.next_record && !report_violation) {
                continue;
            }
            m.next_record = now + REPUTATION_WRITE_INTERVAL_MS;
            m.recorded = m.reputation.clone();
            let group = vec![(standing_key(&m.name), value(&m.recorded))];
            self.ledger_sync.want(group);
        }
    }

    fn pause(&mut self) -> Millis {
        STATE_RETRY_MIN_MS + self.rng.u64(0..STATE_RETRY_MIN_MS)
    }

    fn resign(&mut self) {
        self.ended = true;
    }

    /// What has become durable lets the next step be taken.
    fn news(&mut self, news: StepResult) {
        let list = match news {
            StepResult::Nothing => return,
            StepResult::Superseded => return self.resign(),
            StepResult::Durable(list) => list,
        };
        for (key, value) in list {
            if let Some(job) = key.strip_prefix(AWARDS) {
                self.durable(job, value.is_some());
            } else if let Some(market) = key.strip_prefix(HORIZONS)
                && let Some(r) = value.and_then(|v| serde_json::from_value::<HorizonRecord>(v).ok())
                && let Some(m) = self.by_name.get(market)
            {
                let market = &mut self.markets[*m];
                market.tenancy.written(r.until_ms);
                if market.granted.is_none() {
                    market.next_sync = 0;
                }
            }
        }
    }

    fn durable(&mut self, job: &str, stands: bool) {
        let Some(lent) = self.jobs.get_mut(job) else {
            return;
        };
        let next = match &lent.phase {
            Phase::Intended if stands => Phase::Marking { asked: None },
            Phase::Ending(end) if stands => Phase::Returning {
                end: end.clone(),
                asked: None,
            },
            Phase::Deleting if !stands => {
                self.jobs.remove(job);
                return;
            }
            // An earlier value of a key that has been changed again since.
            other => other.clone(),
        };
        lent.phase = next;
        self.ready.insert(job.to_owned());
    }
}

impl OffloadedJob {
    /// Its cost is already among what was spent.
    fn cost_is_booked(&self) -> bool {
        matches!(
            self.phase,
            Phase::Ending(_) | Phase::Returning { .. } | Phase::Deleting
        )
    }

    fn record(&self, market: &str, end: Option<End>) -> AwardRecord {
        AwardRecord {
            award: self.award,
            market: market.to_owned(),
            team: self.team.clone(),
            tasks: self.tasks,
            cap: self.cap,
            start_by: self.start_by,
            end,
        }
    }
}

fn value<T: serde::Serialize>(record: &T) -> Option<Value> {
    serde_json::to_value(record).ok()
}
