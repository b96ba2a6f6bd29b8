//! In-memory simulation of a home cluster with its leader, a state service,
//! brokers and three markets, driven by one seed, with a check of the invariants.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

use fastrand::Rng;
use pathwinch_lab::market::{JobEvent, SimulatedMarket};
use pathwinch_market::{
    broker::{Broker, CallFailure, Effect, Event},
    clearing::Effort,
    ledger_sync::{Change, Step, WriteOutcome},
    lending::{Kind, WaitingJob},
    options::Options,
    ranges::Ranges,
    records::{AWARDS, End, SPENT, SpentRecord, award_key},
    wire::{Request, Slot},
};
use serde_json::Value;
use std::collections::BTreeMap;

pub type Millis = u64;

/// Probability of each fault, per message.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub lost: f64,
    pub duplicated: f64,
    /// Probability that a message is delivered up to five minutes late.
    pub delayed: f64,
}

/// A job as the home's leader keeps it.
pub struct HomeJob {
    pub waiting: WaitingJob,
    done: Vec<bool>,
    /// Award for which the job is marked as offloaded, if it is.
    mark: Option<u64>,
    /// When the run on the home's own machines ends, if one is under way.
    local_until: Option<Millis>,
    pub answer: Option<&'static str>,
    /// Offset from `START_TIME_MS` after which the home runs the job itself.
    pub local_start_ms: Millis,
    /// Time of submission.
    pub submitted_at: Millis,
}

#[derive(Clone)]
enum Message {
    Store(usize, Step),
    Market(usize, usize, u64, Millis, Request),
    MarkOffloaded(usize, String, u64, u64),
    EndOffload(usize, String, u64, End),
    BrokerEvent(usize, Box<Event>),
}

pub struct World {
    pub now: Millis,
    pub rng: Rng,
    pub faults: Faults,
    pub jobs: BTreeMap<String, HomeJob>,
    pub markets: Vec<SimulatedMarket>,
    pub store: BTreeMap<String, (Value, u64)>,
    pub store_down: bool,
    revision: u64,
    pub term: u64,
    /// All brokers in order of their terms; only the last one holds the
    /// leadership. `None`: its process has ended.
    pub brokers: Vec<Option<Broker>>,
    pub options: Options,
    queue: BTreeMap<(Millis, u64), Message>,
    sequence: u64,
    /// Names of the markets, or `home`, at which each job runs now.
    locations: BTreeMap<String, Vec<String>>,
    pub violations: Vec<String>,
    /// Number of effects that brokers have requested so far.
    pub effects_executed: u64,
    /// Number of the effect at which the broker's process ends, and whether it
    /// ends right after the effect instead of right before.
    pub crash_at: Option<(u64, bool)>,
    pub takeover_at: Millis,
    pub calls: u64,
    /// Number of jobs that the home runs at a time, in order of submission;
    /// `None`: each job starts at home after its `local_start_ms`.
    pub local_capacity: Option<usize>,
}

const REPLY_TIMEOUT_MS: Millis = 2_000;
/// Time of day at which every simulation starts, in milliseconds.
pub const START_TIME_MS: Millis = 1_000_000_000;

impl World {
    pub fn new(seed: u64, jobs: u32) -> Self {
        let mut options = Options {
            classes: vec!["slice".into()],
            min_wait_ms: 0,
            sync_interval_ms: 1_000,
            tenancy_ms: 20_000,
            ..Options::default()
        };
        options.budgets.insert("graphics".into(), 400_000_000);
        for name in ["north", "south", "west"] {
            options.markets.insert(name.into(), String::new());
        }
        let mut rng = Rng::with_seed(seed);
        let jobs = (0..jobs)
            .map(|n| {
                let tasks = rng.u32(1..=6);
                let id = format!("j-{n:06}");
                let waiting = WaitingJob {
                    job: id.clone(),
                    class: "slice".into(),
                    team: "graphics".into(),
                    kind: if rng.bool() { Kind::Array } else { Kind::Gang },
                    tasks,
                    done: Ranges::default(),
                    slot: Slot {
                        cpus: 2.0,
                        gpus: 0.0,
                        memory_gb: 4.0,
                    },
                    image: "slicer".into(),
                    image_gb: 1.0,
                    estimate_s: 5.0 + 20.0 * rng.f64(),
                    waited_ms: 60_000,
                    left_ms: Some(60_000),
                    here_ms: None,
                    rent: 10_000_000,
                    placed: 0,
                    kept: false,
                };
                let job = HomeJob {
                    done: vec![false; tasks as usize],
                    mark: None,
                    local_until: None,
                    answer: None,
                    local_start_ms: rng.u64(100_000..900_000),
                    submitted_at: 0,
                    waiting,
                };
                (id, job)
            })
            .collect();
        World {
            now: START_TIME_MS,
            markets: vec![
                SimulatedMarket::new("north", 90_000, 120, seed + 1),
                SimulatedMarket::new("south", 100_000, 120, seed + 2),
                SimulatedMarket::new("west", 110_000, 120, seed + 3),
            ],
            rng,
            faults: Faults::default(),
            jobs,
            store: BTreeMap::new(),
            store_down: false,
            revision: 0,
            term: 0,
            brokers: Vec::new(),
            options,
            queue: BTreeMap::new(),
            sequence: 0,
            locations: BTreeMap::new(),
            violations: Vec::new(),
            effects_executed: 0,
            crash_at: None,
            takeover_at: 0,
            calls: 0,
            local_capacity: None,
        }
    }

    /// Starts a broker that wins the leadership and reads the records. Earlier
    /// brokers continue until they notice that they were replaced.
    pub fn take_over(&mut self) {
        self.revision += 1;
        self.term = self.revision;
        let seed = self.rng.u64(..);
        let mut broker = Broker::new(
            self.options.clone(),
            "home",
            self.term,
            12,
            &self.store,
            seed,
        );
        broker.set_effort(Effort {
            max_exact_pairs: 40,
            solver_time_limit: std::time::Duration::from_secs(3600),
            solver_node_limit: 100,
            ..Effort::default()
        });
        self.brokers.push(Some(broker));
    }

    /// Ends the process of the acting broker.
    pub fn crash_broker(&mut self) {
        if let Some(last) = self.brokers.last_mut() {
            *last = None;
        }
    }

    fn enqueue(&mut self, delay_ms: Millis, message: Message) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay_ms, self.sequence), message);
    }

    /// Sends a message that may be lost, duplicated or delayed.
    fn send_with_faults(&mut self, message: Message) {
        let faults = self.faults.clone();
        if self.rng.f64() < faults.lost {
            return;
        }
        let delayed = self.rng.f64() < faults.delayed;
        let delay_ms = match delayed {
            true => self.rng.u64(1_000..300_000),
            false => self.rng.u64(1..60),
        };
        if self.rng.f64() < faults.duplicated {
            let delay_ms = self.rng.u64(1..120_000);
            self.enqueue(delay_ms, message.clone());
        }
        self.enqueue(delay_ms, message);
    }

    fn execute_effects(&mut self, broker_index: usize, effects: Vec<Effect>) {
        for effect in effects {
            let effect_number = self.effects_executed;
            self.effects_executed += 1;
            if self.crash_at == Some((effect_number, false)) {
                self.crash_broker();
                return;
            }
            match effect {
                Effect::StateStep(step) => {
                    let timeout = match &step {
                        Step::Write(n, _) => Event::WriteOutcome(*n, WriteOutcome::Unknown),
                        Step::Read(n, _) => Event::ReadOutcome(*n, Err(())),
                    };
                    self.send_with_faults(Message::Store(broker_index, step));
                    self.enqueue(
                        REPLY_TIMEOUT_MS,
                        Message::BrokerEvent(broker_index, Box::new(timeout)),
                    );
                }
                Effect::Call {
                    market,
                    call,
                    request,
                } => {
                    self.calls += 1;
                    let sent = self.now;
                    self.send_with_faults(Message::Market(
                        broker_index,
                        market,
                        call,
                        sent,
                        request,
                    ));
                    let reply = Err(CallFailure::NoAnswer);
                    let event = Event::CallEnded { call, sent, reply };
                    self.enqueue(
                        REPLY_TIMEOUT_MS,
                        Message::BrokerEvent(broker_index, Box::new(event)),
                    );
                }
                Effect::MarkOffloaded {
                    job,
                    award,
                    version,
                } => {
                    self.send_with_faults(Message::MarkOffloaded(broker_index, job, award, version))
                }
                Effect::EndOffload { job, award, end } => {
                    self.send_with_faults(Message::EndOffload(broker_index, job, award, end))
                }
                Effect::Resign => self.brokers[broker_index] = None,
            }
            if self.crash_at == Some((effect_number, true)) {
                self.crash_broker();
                return;
            }
        }
    }

    fn deliver_event(&mut self, broker_index: usize, event: Event) {
        let now = self.now;
        if let Some(broker) = &mut self.brokers[broker_index] {
            let effects = broker.event(event, now);
            self.execute_effects(broker_index, effects);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::BrokerEvent(broker_index, event) => self.deliver_event(broker_index, *event),
            Message::Store(broker_index, Step::Write(n, change)) => {
                let outcome = self.apply_write(broker_index, change);
                self.send_with_faults(Message::BrokerEvent(
                    broker_index,
                    Box::new(Event::WriteOutcome(n, outcome)),
                ));
            }
            Message::Store(broker_index, Step::Read(n, key)) => {
                let found = match self.store_down {
                    true => Err(()),
                    false => Ok(self.store.get(&key).cloned()),
                };
                self.send_with_faults(Message::BrokerEvent(
                    broker_index,
                    Box::new(Event::ReadOutcome(n, found)),
                ));
            }
            Message::Market(broker_index, market, call, sent, request) => {
                if self.markets[market].is_unreachable {
                    return;
                }
                let (reply, changes) = self.markets[market].handle(&request, self.now);
                self.apply_market_changes(market, changes);
                let reply = Ok(reply);
                let event = Event::CallEnded { call, sent, reply };
                self.send_with_faults(Message::BrokerEvent(broker_index, Box::new(event)));
            }
            Message::MarkOffloaded(broker_index, job, award, version) => {
                let marked = self.mark_offloaded(&job, award, version);
                let event = Event::MarkOutcome { job, award, marked };
                self.send_with_faults(Message::BrokerEvent(broker_index, Box::new(event)));
            }
            Message::EndOffload(broker_index, job, award, end) => {
                let taken = self.end_offload(&job, award, end);
                let event = Event::EndOutcome { job, award, taken };
                self.send_with_faults(Message::BrokerEvent(broker_index, Box::new(event)));
            }
        }
    }

    fn apply_write(&mut self, broker_index: usize, change: Change) -> WriteOutcome {
        if self.store_down {
            return WriteOutcome::Rejected;
        }
        // Each transaction has the leadership record as a condition.
        if broker_index + 1 != self.brokers.len() {
            self.brokers[broker_index] = None;
            return WriteOutcome::Conflict;
        }
        assert!(
            change.writes.len() <= 12,
            "transaction has more than txn_ops writes"
        );
        let version_matches =
            |(k, stored, _): &(String, u64, _)| self.store.get(k).map_or(0, |s| s.1) == *stored;
        if !change.writes.iter().all(version_matches) {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        for (key, _, value) in change.writes {
            match value {
                Some(stored) => self.store.insert(key, (stored, self.revision)),
                None => self.store.remove(&key),
            };
        }
        WriteOutcome::Done(self.revision)
    }

    fn mark_offloaded(&mut self, job: &str, award: u64, version: u64) -> Option<bool> {
        if self.store_down {
            return None;
        }
        let current_version = self.store.get(&award_key(job)).map_or(0, |s| s.1);
        let home_job = self.jobs.get_mut(job)?;
        if home_job.mark == Some(award) {
            return Some(true);
        }
        let free =
            home_job.answer.is_none() && home_job.local_until.is_none() && home_job.mark.is_none();
        if !free || current_version != version {
            return Some(false);
        }
        home_job.mark = Some(award);
        Some(true)
    }

    fn end_offload(&mut self, job: &str, award: u64, end: End) -> bool {
        if self.store_down {
            return false;
        }
        let Some(home_job) = self.jobs.get_mut(job) else {
            return true;
        };
        if home_job.mark != Some(award) {
            return true;
        }
        home_job.mark = None;
        for (first, last) in &end.done.0 {
            for n in *first..=*last {
                home_job.done[n as usize] = true;
            }
        }
        home_job.waiting.done = ranges(&home_job.done);
        if home_job.answer.is_none() && home_job.done.iter().all(|d| *d) {
            self.set_answer(job, "done");
        }
        // Once the mark is removed, the job must not run at any market.
        if self.locations.get(job).is_some_and(|p| !p.is_empty()) {
            self.violations.push(format!(
                "{job} returned to the home while it runs at a market"
            ));
        }
        true
    }

    fn set_answer(&mut self, job: &str, answer: &'static str) {
        if let Some(home_job) = self.jobs.get_mut(job) {
            if home_job.answer.is_some() {
                self.violations.push(format!("{job} has two final answers"));
            }
            home_job.answer = Some(answer);
        }
    }

    /// Cancels a job on behalf of a user.
    pub fn cancel(&mut self, job: &str) {
        if self.jobs[job].answer.is_some() {
            return;
        }
        self.set_answer(job, "withdrawn");
        if self
            .jobs
            .get_mut(job)
            .is_some_and(|j| j.local_until.take().is_some())
        {
            self.job_ended(job, "home");
        }
        let broker_index = self.brokers.len() - 1;
        self.deliver_event(broker_index, Event::Recall(job.to_owned()));
    }

    fn job_started(&mut self, job: &str, location: &str) {
        let running_at = self.locations.entry(job.to_owned()).or_default();
        if !running_at.is_empty() {
            self.violations.push(format!(
                "{job} starts at {location} while it runs at {running_at:?}"
            ));
        }
        running_at.push(location.to_owned());
    }

    fn job_ended(&mut self, job: &str, location: &str) {
        if let Some(running_at) = self.locations.get_mut(job)
            && let Some(position) = running_at.iter().position(|p| p == location)
        {
            running_at.remove(position);
        }
    }

    fn apply_market_changes(&mut self, market: usize, changes: Vec<JobEvent>) {
        let name = self.markets[market].name.clone();
        for change in changes {
            match change {
                JobEvent::Start(job) => self.job_started(&job, &name),
                JobEvent::End(job) => self.job_ended(&job, &name),
            }
        }
    }

    /// Acts as the home's leader: ends local runs that are complete and starts
    /// jobs that waited too long or for which there is local capacity.
    fn step_home(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for (id, home_job) in &mut self.jobs {
            if home_job.local_until.is_some_and(|at| at <= now) {
                home_job.local_until = None;
                ended.push(id.clone());
            }
        }
        for id in ended {
            self.job_ended(&id, "home");
            self.set_answer(&id, "done");
        }
        let running_here = self
            .jobs
            .values()
            .filter(|j| j.local_until.is_some())
            .count();
        let free_slots = self
            .local_capacity
            .map_or(usize::MAX, |r| r.saturating_sub(running_here));
        let mut startable: Vec<(Millis, String)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.answer.is_none() && j.mark.is_none() && j.local_until.is_none())
            .filter(|(_, home_job)| match self.local_capacity {
                Some(_) => now >= home_job.submitted_at,
                None => now >= START_TIME_MS + home_job.local_start_ms,
            })
            .map(|(id, home_job)| (home_job.submitted_at, id.clone()))
            .collect();
        startable.sort();
        for (_, id) in startable.into_iter().take(free_slots) {
            let run_ms = match self.local_capacity {
                Some(_) => (self.jobs[&id].waiting.estimate_s * 1000.0) as Millis,
                None => 10_000,
            };
            if let Some(home_job) = self.jobs.get_mut(&id) {
                home_job.local_until = Some(now + run_ms);
            }
            self.job_started(&id, "home");
        }
    }

    pub fn step(&mut self) {
        const STEP: Millis = 100;
        self.now += STEP;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            self.deliver(message);
        }
        for market in 0..self.markets.len() {
            let changes = self.markets[market].step(self.now, STEP);
            self.apply_market_changes(market, changes);
        }
        if self.now.is_multiple_of(500) {
            self.step_home();
            let waiting: Vec<WaitingJob> = self
                .jobs
                .values()
                .filter(|j| j.answer.is_none() && j.mark.is_none() && j.submitted_at <= self.now)
                .map(|home_job| WaitingJob {
                    placed: u32::from(home_job.local_until.is_some()),
                    ..home_job.waiting.clone()
                })
                .take(200)
                .collect();
            if let Some(broker_index) = self.brokers.len().checked_sub(1) {
                self.deliver_event(broker_index, Event::Waiting(waiting));
            }
        }
        let now = self.now;
        for broker_index in 0..self.brokers.len() {
            if let Some(broker) = &mut self.brokers[broker_index] {
                let effects = broker.tick(now);
                self.execute_effects(broker_index, effects);
            }
        }
        if self.brokers.last().is_none_or(Option::is_none) && now >= self.takeover_at {
            self.take_over();
        }
    }

    pub fn run(&mut self, duration_ms: Millis) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.step();
        }
    }

    pub fn unanswered_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.answer.is_none()).count()
    }

    pub fn open_award_records(&self) -> usize {
        self.store.keys().filter(|k| k.starts_with(AWARDS)).count()
    }

    /// Runs without further faults until each job has its answer and no award
    /// record is left, for at most 2,000 simulated seconds.
    pub fn run_until_settled(&mut self) {
        self.faults = Faults::default();
        self.store_down = false;
        for market in &mut self.markets {
            market.is_unreachable = false;
        }
        for _ in 0..2_000 {
            if self.unanswered_jobs() == 0 && self.open_award_records() == 0 {
                return;
            }
            self.run(1_000);
        }
    }

    pub fn total_spent(&self) -> u64 {
        let spent = self.store.iter().filter(|(k, _)| k.starts_with(SPENT));
        spent
            .filter_map(|(_, (v, _))| serde_json::from_value::<SpentRecord>(v.clone()).ok())
            .map(|r| r.spent)
            .sum()
    }

    /// Returns where a job runs now.
    pub fn location(&self, job: &str) -> Option<&str> {
        self.locations.get(job)?.first().map(String::as_str)
    }

    pub fn broker(&self) -> &Broker {
        self.brokers
            .last()
            .and_then(Option::as_ref)
            .expect("the last broker's process has ended")
    }

    /// Runs until the condition holds; panics after ten simulated minutes.
    pub fn run_until(&mut self, description: &str, condition: impl Fn(&World) -> bool) {
        for _ in 0..6_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("not reached within ten minutes: {description}");
    }

    /// Returns all violations of what must hold once a run is settled.
    pub fn check(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        for (id, home_job) in &self.jobs {
            if home_job.answer.is_none() {
                violations.push(format!("{id} has no answer"));
            }
            if home_job.mark.is_some() {
                violations.push(format!("{id} is still marked"));
            }
            if self.locations.get(id).is_some_and(|p| !p.is_empty()) {
                violations.push(format!("{id} still runs"));
            }
        }
        let budget: u64 = self.options.budgets.values().sum();
        if self.total_spent() > budget {
            violations.push("spent more than the budgets allow".into());
        }
        if self.open_award_records() > 0 {
            violations.push(format!(
                "{} award records are left",
                self.open_award_records()
            ));
        }
        violations
    }
}

fn ranges(done: &[bool]) -> Ranges {
    let mut list: Vec<(u32, u32)> = Vec::new();
    for (n, _) in done.iter().enumerate().filter(|(_, d)| **d) {
        let n = n as u32;
        match list.last_mut() {
            Some((_, last)) if *last + 1 == n => *last = n,
            _ => list.push((n, n)),
        }
    }
    Ranges(list)
}
