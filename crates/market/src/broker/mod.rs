//! The broker as a state machine without clock or sockets: events and the time
//! go in, effects come out. `serve` executes the effects, checks the leadership
//! right before each of them and reports its outcome as an event.
//!
//! An offloaded job passes through the phases of `Phase`; `docs/markets.md` lists
//! what is certain in each phase and what a successor does with the job.

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
        AWARDS, AwardRecord, End, EndReason, HORIZONS, HorizonRecord, REPUTATIONS, SPENT,
        SpentRecord, award_key, day, horizon_key, reputation_key, spent_key,
    },
    reputation::Reputation,
    wire,
};
use fastrand::Rng;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An action outside the process that the broker requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A step at the state service. Writes additionally have the leadership
    /// record as a condition.
    StateStep(Step),
    /// A request to a market, answered by `Event::CallEnded` with the same
    /// call number.
    Call {
        market: usize,
        call: u64,
        request: wire::Request,
    },
    /// Asks the leader to mark the job as offloaded. Its write has this version
    /// of the job's award record as a condition, so that a late one fails.
    MarkOffloaded {
        job: String,
        award: u64,
        version: u64,
    },
    /// Asks the leader to keep the finished tasks and to remove the offload
    /// mark, if it is of this award.
    EndOffload { job: String, award: u64, end: End },
    /// Another broker has the leadership: this one must stop.
    Resign,
}

/// An input to the broker.
#[derive(Debug, Clone)]
pub enum Event {
    /// Outcome of a write step, with the step's number.
    WriteOutcome(u64, WriteOutcome),
    /// Outcome of a read step, with the step's number; `Err`: not read.
    ReadOutcome(u64, Result<Option<(Value, u64)>, ()>),
    /// End of a call to a market. The reply has been checked against the
    /// schema; `Err`: no answer, or one that was refused.
    CallEnded {
        call: u64,
        sent: Millis,
        reply: Result<wire::Reply, CallFailure>,
    },
    /// The leader's answer to `Effect::MarkOffloaded`: whether the job is
    /// marked for this award. `None`: no answer.
    MarkOutcome {
        job: String,
        award: u64,
        marked: Option<bool>,
    },
    /// The leader's answer to `Effect::EndOffload`: whether it has recorded
    /// the end.
    EndOutcome {
        job: String,
        award: u64,
        taken: bool,
    },
    /// Jobs that wait for machines of the home cluster now.
    Waiting(Vec<WaitingJob>),
    /// The job is no longer needed, or is wanted back from its market.
    Recall(String),
}

/// Why a call has no usable reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection was refused or reset, or the call timed out.
    NoAnswer,
    /// The answer violates the schema or a size limit, or has an error status.
    Invalid,
}

/// Progress of an award. Each phase states what is certain.
#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// The award record is being written; neither the leader nor the market has
    /// been told.
    Intended,
    /// The record is durable; the leader is asked to mark the job. `asked`: time
    /// of the last request.
    Marking { asked: Option<Millis> },
    /// The leader has marked the job; nothing has been sent to the market.
    Marked,
    /// The award has been sent: the market may have received it or may still do so.
    Awarded {
        /// Whether a call with this award is in flight.
        calling: bool,
        /// Number of finished tasks, if the market has confirmed that the job runs.
        running: Option<u32>,
    },
    /// The award has certainly ended; the end is being written to its record.
    Ending(End),
    /// The end is durable; the leader is being told. `asked`: time of the last
    /// request.
    Returning { end: End, asked: Option<Millis> },
    /// The leader has recorded the end; the award record is being deleted.
    Deleting,
}

/// A job with an award record.
#[derive(Debug)]
pub struct OffloadedJob {
    pub award: u64,
    /// Index of the market in `Broker::markets`.
    pub market: usize,
    pub team: String,
    pub tasks: u32,
    /// Maximum charge.
    pub cap: Money,
    /// Time on the market's clock until which it may accept the award.
    pub start_by: wire::MarketTime,
    pub phase: Phase,
    /// Request to send to the market. It is not known after a restart; an award
    /// that the market has not accepted by then is recalled.
    message: Option<wire::Award>,
    /// Whether the award is to be ended, running or not.
    recall: bool,
}

/// A market and what this broker knows about it.
pub struct Market {
    pub name: String,
    /// Whether the options name the market. Other markets appear only in
    /// records of earlier terms.
    configured: bool,
    pub clock: Clock,
    pub tenancy: Tenancy,
    pub breaker: CircuitBreaker,
    pub reputation: Reputation,
    /// Reputation as last written to the records.
    written_reputation: Reputation,
    /// Earliest time of the next write of the reputation.
    next_reputation_write: Millis,
    offers: Vec<wire::Offer>,
    /// End of the last tenancy that the market has confirmed, on its own clock.
    granted_until: Option<wire::MarketTime>,
    next_sync: Millis,
    sync_in_flight: bool,
    /// Awards whose end is recorded, to be reported with the next sync.
    settled_awards: Vec<u64>,
    /// Bids to be released with the next sync.
    released_bids: Vec<u64>,
}

/// A call in flight and what its reply refers to.
#[derive(Debug)]
enum Call {
    /// `until`: end of the tenancy that the call asks for; `asked`: awards whose
    /// state it asks for.
    Sync {
        until: Option<wire::MarketTime>,
        asked: Vec<u64>,
    },
    /// Ids of the bids.
    Bids(Vec<u64>),
    /// Id of the awarded job.
    Award(String),
}

/// Counters of one term, for the log.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub writes: u64,
    pub awards: u64,
    pub done: u64,
    pub violations: u64,
}

/// The acting broker of one term.
pub struct Broker {
    options: Options,
    home: String,
    term: u64,
    award_count: u64,
    call_count: u64,
    pub markets: Vec<Market>,
    market_by_name: HashMap<String, usize>,
    jobs: BTreeMap<String, OffloadedJob>,
    /// Job of each award that has not ended.
    job_by_award: HashMap<u64, String>,
    /// Jobs whose next step may be due.
    ready: BTreeSet<String>,
    calls_in_flight: HashMap<u64, (usize, Call)>,
    bidding: bids::BidTracker,
    waiting: Vec<WaitingJob>,
    next_clearing: Millis,
    spent: BTreeMap<String, SpentRecord>,
    ledger_sync: LedgerSync,
    /// No step is sent to the state service before this time.
    state_retry_at: Millis,
    effort: Effort,
    rng: Rng,
    resigned: bool,
    pub counts: Counts,
    effects: Vec<Effect>,
}

/// Number of low bits of an award id that count the awards of one term; the
/// bits above hold the term.
const AWARD_COUNT_BITS: u32 = 20;
/// Minimum delay before a failed step at the state service is retried; a random
/// delay of up to the same length is added.
const STATE_RETRY_MIN_MS: Millis = 200;
/// Minimum interval between writes of a market's reputation. A new protocol
/// violation is written at once.
const REPUTATION_WRITE_INTERVAL_MS: Millis = 30_000;
/// Time after which a request to the leader is repeated.
const LEADER_RETRY_MS: Millis = 2_000;

impl Broker {
    /// Creates the broker of a term. `term` is that of the leadership and higher
    /// than any before; `records` is everything under the broker's key prefix,
    /// read after the leadership was won.
    pub fn new(
        options: Options,
        home: &str,
        term: u64,
        txn_ops: usize,
        records: &BTreeMap<String, (Value, u64)>,
        seed: u64,
    ) -> Self {
        let mut broker = Broker {
            home: home.to_owned(),
            term,
            award_count: 0,
            call_count: 0,
            markets: Vec::new(),
            market_by_name: HashMap::new(),
            jobs: BTreeMap::new(),
            job_by_award: HashMap::new(),
            ready: BTreeSet::new(),
            calls_in_flight: HashMap::new(),
            bidding: bids::BidTracker::default(),
            waiting: Vec::new(),
            next_clearing: 0,
            spent: BTreeMap::new(),
            ledger_sync: LedgerSync::new(txn_ops, term),
            state_retry_at: 0,
            effort: Effort::default(),
            rng: Rng::with_seed(seed),
            resigned: false,
            counts: Counts::default(),
            effects: Vec::new(),
            options,
        };
        let names: Vec<String> = broker.options.markets.keys().cloned().collect();
        for name in names {
            broker.market_index(&name, true);
        }
        broker.load(records);
        broker
    }

    fn market_index(&mut self, name: &str, configured: bool) -> usize {
        if let Some(index) = self.market_by_name.get(name) {
            return *index;
        }
        self.markets.push(Market {
            name: name.to_owned(),
            configured,
            clock: Clock::default(),
            tenancy: Tenancy::new(self.options.tenancy_ms, self.options.clock_bound_ms, 0),
            breaker: CircuitBreaker::new(Limits::default()),
            reputation: Reputation::default(),
            written_reputation: Reputation::default(),
            next_reputation_write: 0,
            offers: Vec::new(),
            granted_until: None,
            next_sync: 0,
            sync_in_flight: false,
            settled_awards: Vec::new(),
            released_bids: Vec::new(),
        });
        self.market_by_name
            .insert(name.to_owned(), self.markets.len() - 1);
        self.markets.len() - 1
    }

    fn load(&mut self, records: &BTreeMap<String, (Value, u64)>) {
        for (key, (value, version)) in records {
            self.ledger_sync.set_version(key, *version);
            if let Some(job) = key.strip_prefix(AWARDS) {
                match serde_json::from_value::<AwardRecord>(value.clone()) {
                    Ok(record) => self.load_award(job, record),
                    Err(e) => log::error!("record {key} can't be parsed and is ignored: {e}"),
                }
            } else if let Some(market) = key.strip_prefix(HORIZONS) {
                if let Ok(record) = serde_json::from_value::<HorizonRecord>(value.clone()) {
                    let market_index = self.market_index(market, false);
                    self.markets[market_index]
                        .tenancy
                        .horizon_written(record.until_ms);
                }
            } else if let Some(market) = key.strip_prefix(REPUTATIONS) {
                if let Ok(record) = serde_json::from_value::<Reputation>(value.clone()) {
                    let market_index = self.market_index(market, false);
                    self.markets[market_index].written_reputation = record.clone();
                    self.markets[market_index].reputation = record;
                }
            } else if let Some(team) = key.strip_prefix(SPENT)
                && let Ok(record) = serde_json::from_value::<SpentRecord>(value.clone())
            {
                self.spent.insert(team.to_owned(), record);
            }
        }
    }

    fn load_award(&mut self, job: &str, record: AwardRecord) {
        let market = self.market_index(&record.market, false);
        let phase = match record.end {
            Some(end) => Phase::Returning { end, asked: None },
            // Whether the job was marked and the award sent is not recorded, so
            // the market is asked for the award's state.
            None => {
                self.job_by_award.insert(record.award, job.to_owned());
                Phase::Awarded {
                    calling: false,
                    running: None,
                }
            }
        };
        let offload = OffloadedJob {
            award: record.award,
            market,
            team: record.team,
            tasks: record.tasks,
            cap: record.cap,
            start_by: record.start_by,
            phase,
            message: None,
            recall: false,
        };
        self.jobs.insert(job.to_owned(), offload);
    }

    /// Sets the limits of the clearing's search. Tests limit the solver only by
    /// its nodes, because the time that it takes depends on the machine.
    pub fn set_effort(&mut self, effort: Effort) {
        self.effort = effort;
    }

    /// Returns the offloaded jobs by job id.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &OffloadedJob)> {
        self.jobs.iter().map(|(j, l)| (j.as_str(), l))
    }

    /// Number of awarded jobs whose market has not confirmed that they run.
    pub fn unconfirmed_jobs(&self) -> usize {
        let is_unconfirmed =
            |l: &&OffloadedJob| matches!(l.phase, Phase::Awarded { running: None, .. });
        self.jobs.values().filter(is_unconfirmed).count()
    }

    /// Returns what a team may still spend today: its budget minus the charges
    /// booked today and the caps reserved for open awards.
    pub fn remaining_budget(&self, team: &str, now: Millis) -> Money {
        let budget = self.options.budgets.get(team).copied().unwrap_or(0);
        let spent = self
            .spent
            .get(team)
            .filter(|s| s.day == day(now))
            .map_or(0, |s| s.spent);
        let reserved: Money = self
            .jobs
            .values()
            .filter(|l| l.team == team && !l.cost_is_booked())
            .map(|l| l.cap)
            .sum();
        budget.saturating_sub(spent).saturating_sub(reserved)
    }

    /// Returns the waiting jobs that stay at home, with the reason.
    pub fn not_lendable_jobs(&self, now: Millis) -> Vec<(&str, NotLendable)> {
        let budget = |team: &str| self.remaining_budget(team, now);
        crate::lending::choose(&self.waiting, self.jobs.len(), budget, &self.options).1
    }

    fn next_award_id(&mut self) -> Option<u64> {
        // Higher counts would reach into the ids of the next term.
        if self.award_count >= 1 << AWARD_COUNT_BITS {
            return None;
        }
        self.award_count += 1;
        Some((self.term << AWARD_COUNT_BITS) | (self.award_count - 1))
    }

    /// Processes an event and returns the effects that follow from it.
    pub fn event(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        if self.resigned {
            return Vec::new();
        }
        match event {
            Event::WriteOutcome(step, outcome) => {
                if matches!(outcome, WriteOutcome::Rejected | WriteOutcome::Unknown) {
                    self.state_retry_at = now + self.retry_delay_ms();
                }
                let result = self.ledger_sync.on_write(step, outcome);
                self.on_step_result(result);
            }
            Event::ReadOutcome(step, found) => {
                if found.is_err() {
                    self.state_retry_at = now + self.retry_delay_ms();
                }
                let result = self.ledger_sync.on_read(step, found);
                self.on_step_result(result);
            }
            Event::CallEnded { call, sent, reply } => self.on_call_ended(call, sent, reply, now),
            Event::MarkOutcome { job, award, marked } => self.on_mark(&job, award, marked, now),
            Event::EndOutcome { job, award, taken } => self.on_end_offload(&job, award, taken),
            Event::Waiting(jobs) => self.waiting = jobs,
            Event::Recall(job) => {
                self.bidding.drop_job(&job, &mut self.markets);
                if let Some(offload) = self.jobs.get_mut(&job) {
                    offload.recall = true;
                    self.ready.insert(job);
                }
            }
        }
        self.take_effects(now)
    }

    /// Does what is due by time alone and returns the effects. Called periodically.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        if self.resigned {
            return Vec::new();
        }
        self.expire_awards(now);
        self.write_reputations(now);
        self.sync_markets(now);
        self.clear_waiting_jobs(now);
        self.queue_due_jobs(now);
        self.take_effects(now)
    }

    fn take_effects(&mut self, now: Millis) -> Vec<Effect> {
        if self.resigned {
            self.effects.clear();
            return vec![Effect::Resign];
        }
        self.advance_ready_jobs(now);
        if now < self.state_retry_at {
            return std::mem::take(&mut self.effects);
        }
        while let Some(step) = self.ledger_sync.next_step() {
            if matches!(step, Step::Write(..)) {
                self.counts.writes += 1;
            }
            self.effects.push(Effect::StateStep(step));
        }
        std::mem::take(&mut self.effects)
    }

    /// Records the markets' reputations, so that a successor does not have to
    /// detect a violator of the protocol again.
    fn write_reputations(&mut self, now: Millis) {
        for market in &mut self.markets {
            let new_violation = market.reputation.violations > market.written_reputation.violations;
            if market.reputation == market.written_reputation
                || (now < market.next_reputation_write && !new_violation)
            {
                continue;
            }
            market.next_reputation_write = now + REPUTATION_WRITE_INTERVAL_MS;
            market.written_reputation = market.reputation.clone();
            let changes = vec![(
                reputation_key(&market.name),
                value(&market.written_reputation),
            )];
            self.ledger_sync.enqueue(changes);
        }
    }

    fn retry_delay_ms(&mut self) -> Millis {
        STATE_RETRY_MIN_MS + self.rng.u64(0..STATE_RETRY_MIN_MS)
    }

    fn resign(&mut self) {
        self.resigned = true;
    }

    /// Takes the steps that a durable write makes possible; resigns if another
    /// broker has written the records.
    fn on_step_result(&mut self, result: StepResult) {
        let changes = match result {
            StepResult::Nothing => return,
            StepResult::Superseded => return self.resign(),
            StepResult::Durable(changes) => changes,
        };
        for (key, value) in changes {
            if let Some(job) = key.strip_prefix(AWARDS) {
                self.record_is_durable(job, value.is_some());
            } else if let Some(market) = key.strip_prefix(HORIZONS)
                && let Some(horizon) =
                    value.and_then(|v| serde_json::from_value::<HorizonRecord>(v).ok())
                && let Some(index) = self.market_by_name.get(market)
            {
                let market = &mut self.markets[*index];
                market.tenancy.horizon_written(horizon.until_ms);
                if market.granted_until.is_none() {
                    market.next_sync = 0;
                }
            }
        }
    }

    fn record_is_durable(&mut self, job: &str, exists: bool) {
        let Some(offload) = self.jobs.get_mut(job) else {
            return;
        };
        let next = match &offload.phase {
            Phase::Intended if exists => Phase::Marking { asked: None },
            Phase::Ending(end) if exists => Phase::Returning {
                end: end.clone(),
                asked: None,
            },
            Phase::Deleting if !exists => {
                self.jobs.remove(job);
                return;
            }
            // The durable value is an earlier one; a later change is queued.
            other => other.clone(),
        };
        offload.phase = next;
        self.ready.insert(job.to_owned());
    }
}

impl OffloadedJob {
    /// Whether the award's charge is already booked as spent, so that its cap
    /// is no longer reserved.
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
