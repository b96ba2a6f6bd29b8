//! A home with its leader, a state service, brokers and three markets, all in
//! memory, under one seed; and a checker of what must hold.

// Each test program uses a part of it.
#![allow(dead_code)]

use fastrand::Rng;
use pathwinch_lab::market::{Did, MarketSim};
use pathwinch_market::{
    broker::{Broker, Effect, Event, Missing},
    clearing::Effort,
    ledger_sync::{Change, Step, WriteOutcome},
    lending::{Kind, Waiting},
    options::Options,
    ranges::Ranges,
    records::{AWARDS, End, SPENT, SpentRecord, award_key},
    wire::{Request, Slot},
};
use serde_json::Value;
use std::collections::BTreeMap;

pub type Millis = u64;

/// What goes wrong, as chances for each message.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub lost: f64,
    pub doubled: f64,
    /// Delivered minutes late.
    pub late: f64,
}

pub struct HomeJob {
    pub w: Waiting,
    done: Vec<bool>,
    mark: Option<u64>,
    /// Runs here until then.
    here: Option<Millis>,
    pub answer: Option<&'static str>,
    /// Jobs that wait long enough are run here.
    pub local_at: Millis,
    /// When it is submitted.
    pub come: Millis,
}

#[derive(Clone)]
enum Msg {
    Store(usize, Step),
    Market(usize, usize, u64, Millis, Request),
    Lend(usize, String, u64, u64),
    Return(usize, String, u64, End),
    Broker(usize, Box<Event>),
}

pub struct World {
    pub now: Millis,
    pub rng: Rng,
    pub faults: Faults,
    pub jobs: BTreeMap<String, HomeJob>,
    pub markets: Vec<MarketSim>,
    pub store: BTreeMap<String, (Value, u64)>,
    pub store_down: bool,
    revision: u64,
    pub term: u64,
    /// All brokers there ever were; only the last has the leadership.
    pub brokers: Vec<Option<Broker>>,
    pub options: Options,
    queue: BTreeMap<(Millis, u64), Msg>,
    sequence: u64,
    /// Where each job runs.
    places: BTreeMap<String, Vec<String>>,
    pub broken: Vec<String>,
    /// Effects carried out so far, and the one at which the broker ends:
    /// before it is carried out, or right after.
    pub effects: u64,
    pub ends_at: Option<(u64, bool)>,
    pub takes_over_at: Millis,
    pub calls: u64,
    /// Jobs that the home runs at a time, in the order in which they came;
    /// `None`: as `local_at` says.
    pub room: Option<usize>,
}

const TIMEOUT: Millis = 2_000;
/// The time of day at which every world begins.
pub const BEGIN: Millis = 1_000_000_000;

impl World {
    pub fn new(seed: u64, jobs: u32) -> Self {
        let mut options = Options {
            classes: vec!["slice".into()],
            after_ms: 0,
            every_ms: 1_000,
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
                let w = Waiting {
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
                    here: None,
                    answer: None,
                    local_at: rng.u64(100_000..900_000),
                    come: 0,
                    w,
                };
                (id, job)
            })
            .collect();
        World {
            now: BEGIN,
            markets: vec![
                MarketSim::new("north", 90_000, 120, seed + 1),
                MarketSim::new("south", 100_000, 120, seed + 2),
                MarketSim::new("west", 110_000, 120, seed + 3),
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
            places: BTreeMap::new(),
            broken: Vec::new(),
            effects: 0,
            ends_at: None,
            takes_over_at: 0,
            calls: 0,
            room: None,
        }
    }

    /// A new broker wins the leadership and reads the records. Earlier ones
    /// go on as long as they don't notice.
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
            exact_pairs: 40,
            solver: std::time::Duration::from_secs(3600),
            nodes: 100,
            ..Effort::default()
        });
        self.brokers.push(Some(broker));
    }

    /// The acting broker's process ends.
    pub fn end_broker(&mut self) {
        if let Some(last) = self.brokers.last_mut() {
            *last = None;
        }
    }

    fn put(&mut self, after: Millis, msg: Msg) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), msg);
    }

    /// A message on its way: it may be lost, doubled or late.
    fn send(&mut self, msg: Msg) {
        let f = self.faults.clone();
        if self.rng.f64() < f.lost {
            return;
        }
        let late = self.rng.f64() < f.late;
        let after = match late {
            true => self.rng.u64(1_000..300_000),
            false => self.rng.u64(1..60),
        };
        if self.rng.f64() < f.doubled {
            let after = self.rng.u64(1..120_000);
            self.put(after, msg.clone());
        }
        self.put(after, msg);
    }

    fn carry_out(&mut self, b: usize, effects: Vec<Effect>) {
        for effect in effects {
            let at = self.effects;
            self.effects += 1;
            if self.ends_at == Some((at, false)) {
                self.end_broker();
                return;
            }
            match effect {
                Effect::LedgerSync(step) => {
                    let unknown = match &step {
                        Step::Write(n, _) => Event::WriteOutcome(*n, WriteOutcome::Unknown),
                        Step::Read(n, _) => Event::Read(*n, Err(())),
                    };
                    self.send(Msg::Store(b, step));
                    self.put(TIMEOUT, Msg::Broker(b, Box::new(unknown)));
                }
                Effect::Call {
                    market,
                    call,
                    request,
                } => {
                    self.calls += 1;
                    let sent = self.now;
                    self.send(Msg::Market(b, market, call, sent, request));
                    let reply = Err(Missing::NoAnswer);
                    let event = Event::Answered { call, sent, reply };
                    self.put(TIMEOUT, Msg::Broker(b, Box::new(event)));
                }
                Effect::Lend {
                    job,
                    award,
                    version,
                } => self.send(Msg::Lend(b, job, award, version)),
                Effect::Return { job, award, end } => self.send(Msg::Return(b, job, award, end)),
                Effect::Resign => self.brokers[b] = None,
            }
            if self.ends_at == Some((at, true)) {
                self.end_broker();
                return;
            }
        }
    }

    fn event(&mut self, b: usize, event: Event) {
        let now = self.now;
        if let Some(broker) = &mut self.brokers[b] {
            let effects = broker.event(event, now);
            self.carry_out(b, effects);
        }
    }

    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Broker(b, event) => self.event(b, *event),
            Msg::Store(b, Step::Write(n, change)) => {
                let wrote = self.write(b, change);
                self.send(Msg::Broker(b, Box::new(Event::WriteOutcome(n, wrote))));
            }
            Msg::Store(b, Step::Read(n, key)) => {
                let found = match self.store_down {
                    true => Err(()),
                    false => Ok(self.store.get(&key).cloned()),
                };
                self.send(Msg::Broker(b, Box::new(Event::Read(n, found))));
            }
            Msg::Market(b, m, call, sent, request) => {
                if self.markets[m].down {
                    return;
                }
                let (reply, did) = self.markets[m].handle(&request, self.now);
                self.did(m, did);
                let reply = Ok(reply);
                let event = Event::Answered { call, sent, reply };
                self.send(Msg::Broker(b, Box::new(event)));
            }
            Msg::Lend(b, job, award, version) => {
                let marked = self.lend(&job, award, version);
                let event = Event::Lent { job, award, marked };
                self.send(Msg::Broker(b, Box::new(event)));
            }
            Msg::Return(b, job, award, end) => {
                let taken = self.take_back(&job, award, end);
                let event = Event::Returned { job, award, taken };
                self.send(Msg::Broker(b, Box::new(event)));
            }
        }
    }

    fn write(&mut self, b: usize, change: Change) -> WriteOutcome {
        if self.store_down {
            return WriteOutcome::Later;
        }
        // Each write is guarded by the leadership.
        if b + 1 != self.brokers.len() {
            self.brokers[b] = None;
            return WriteOutcome::Conflict;
        }
        assert!(change.writes.len() <= 12, "txn_ops");
        let fits = |(k, v, _): &(String, u64, _)| self.store.get(k).map_or(0, |s| s.1) == *v;
        if !change.writes.iter().all(fits) {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        for (key, _, value) in change.writes {
            match value {
                Some(v) => self.store.insert(key, (v, self.revision)),
                None => self.store.remove(&key),
            };
        }
        WriteOutcome::Done(self.revision)
    }

    fn lend(&mut self, job: &str, award: u64, version: u64) -> Option<bool> {
        if self.store_down {
            return None;
        }
        let current = self.store.get(&award_key(job)).map_or(0, |s| s.1);
        let j = self.jobs.get_mut(job)?;
        if j.mark == Some(award) {
            return Some(true);
        }
        let free = j.answer.is_none() && j.here.is_none() && j.mark.is_none();
        if !free || current != version {
            return Some(false);
        }
        j.mark = Some(award);
        Some(true)
    }

    fn take_back(&mut self, job: &str, award: u64, end: End) -> bool {
        if self.store_down {
            return false;
        }
        let Some(j) = self.jobs.get_mut(job) else {
            return true;
        };
        if j.mark != Some(award) {
            return true;
        }
        j.mark = None;
        for (first, last) in &end.done.0 {
            for n in *first..=*last {
                j.done[n as usize] = true;
            }
        }
        j.w.done = ranges(&j.done);
        if j.answer.is_none() && j.done.iter().all(|d| *d) {
            self.answer(job, "done");
        }
        // A mark that is lifted says that nothing of it runs elsewhere.
        if self.places.get(job).is_some_and(|p| !p.is_empty()) {
            self.broken.push(format!("{job} handed back while it runs"));
        }
        true
    }

    fn answer(&mut self, job: &str, answer: &'static str) {
        if let Some(j) = self.jobs.get_mut(job) {
            if j.answer.is_some() {
                self.broken.push(format!("{job} has two final answers"));
            }
            j.answer = Some(answer);
        }
    }

    /// A user cancels a job.
    pub fn cancel(&mut self, job: &str) {
        if self.jobs[job].answer.is_some() {
            return;
        }
        self.answer(job, "withdrawn");
        if self
            .jobs
            .get_mut(job)
            .is_some_and(|j| j.here.take().is_some())
        {
            self.leaves(job, "home");
        }
        let b = self.brokers.len() - 1;
        self.event(b, Event::Recall(job.to_owned()));
    }

    fn arrives(&mut self, job: &str, place: &str) {
        let at = self.places.entry(job.to_owned()).or_default();
        if !at.is_empty() {
            self.broken
                .push(format!("{job} starts at {place} while at {at:?}"));
        }
        at.push(place.to_owned());
    }

    fn leaves(&mut self, job: &str, place: &str) {
        if let Some(at) = self.places.get_mut(job)
            && let Some(i) = at.iter().position(|p| p == place)
        {
            at.remove(i);
        }
    }

    fn did(&mut self, m: usize, did: Vec<Did>) {
        let name = self.markets[m].name.clone();
        for d in did {
            match d {
                Did::Start(job) => self.arrives(&job, &name),
                Did::End(job) => self.leaves(&job, &name),
            }
        }
    }

    /// The leader starts what waited too long, or what there is room for, and
    /// ends what is through.
    fn home(&mut self) {
        let now = self.now;
        let mut ends = Vec::new();
        for (id, j) in &mut self.jobs {
            if j.here.is_some_and(|at| at <= now) {
                j.here = None;
                ends.push(id.clone());
            }
        }
        for id in ends {
            self.leaves(&id, "home");
            self.answer(&id, "done");
        }
        let here = self.jobs.values().filter(|j| j.here.is_some()).count();
        let room = self.room.map_or(usize::MAX, |r| r.saturating_sub(here));
        let mut starts: Vec<(Millis, String)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.answer.is_none() && j.mark.is_none() && j.here.is_none())
            .filter(|(_, j)| match self.room {
                Some(_) => now >= j.come,
                None => now >= BEGIN + j.local_at,
            })
            .map(|(id, j)| (j.come, id.clone()))
            .collect();
        starts.sort();
        for (_, id) in starts.into_iter().take(room) {
            let run = match self.room {
                Some(_) => (self.jobs[&id].w.estimate_s * 1000.0) as Millis,
                None => 10_000,
            };
            if let Some(j) = self.jobs.get_mut(&id) {
                j.here = Some(now + run);
            }
            self.arrives(&id, "home");
        }
    }

    pub fn step(&mut self) {
        const STEP: Millis = 100;
        self.now += STEP;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let msg = entry.remove();
            self.deliver(msg);
        }
        for m in 0..self.markets.len() {
            let did = self.markets[m].step(self.now, STEP);
            self.did(m, did);
        }
        if self.now.is_multiple_of(500) {
            self.home();
            let waiting: Vec<Waiting> = self
                .jobs
                .values()
                .filter(|j| j.answer.is_none() && j.mark.is_none() && j.come <= self.now)
                .map(|j| Waiting {
                    placed: u32::from(j.here.is_some()),
                    ..j.w.clone()
                })
                .take(200)
                .collect();
            if let Some(b) = self.brokers.len().checked_sub(1) {
                self.event(b, Event::Waiting(waiting));
            }
        }
        let now = self.now;
        for b in 0..self.brokers.len() {
            if let Some(broker) = &mut self.brokers[b] {
                let effects = broker.tick(now);
                self.carry_out(b, effects);
            }
        }
        if self.brokers.last().is_none_or(Option::is_none) && now >= self.takes_over_at {
            self.take_over();
        }
    }

    pub fn run(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    pub fn unanswered(&self) -> usize {
        self.jobs.values().filter(|j| j.answer.is_none()).count()
    }

    pub fn lent(&self) -> usize {
        self.store.keys().filter(|k| k.starts_with(AWARDS)).count()
    }

    /// Goes on without further faults until all is settled.
    pub fn settle(&mut self) {
        self.faults = Faults::default();
        self.store_down = false;
        for m in &mut self.markets {
            m.down = false;
        }
        for _ in 0..2_000 {
            if self.unanswered() == 0 && self.lent() == 0 {
                return;
            }
            self.run(1_000);
        }
    }

    pub fn spent(&self) -> u64 {
        let spent = self.store.iter().filter(|(k, _)| k.starts_with(SPENT));
        spent
            .filter_map(|(_, (v, _))| serde_json::from_value::<SpentRecord>(v.clone()).ok())
            .map(|r| r.spent)
            .sum()
    }

    /// Where a job runs now.
    pub fn place(&self, job: &str) -> Option<&str> {
        self.places.get(job)?.first().map(String::as_str)
    }

    pub fn broker(&self) -> &Broker {
        self.brokers
            .last()
            .and_then(Option::as_ref)
            .expect("a broker acts")
    }

    /// Goes on until it is so; panics after ten minutes.
    pub fn until(&mut self, what: &str, so: impl Fn(&World) -> bool) {
        for _ in 0..6_000 {
            if so(self) {
                return;
            }
            self.step();
        }
        panic!("never: {what}");
    }

    /// What must hold at the end.
    pub fn check(&self) -> Vec<String> {
        let mut wrong = self.broken.clone();
        for (id, j) in &self.jobs {
            if j.answer.is_none() {
                wrong.push(format!("{id} has no answer"));
            }
            if j.mark.is_some() {
                wrong.push(format!("{id} is still marked"));
            }
            if self.places.get(id).is_some_and(|p| !p.is_empty()) {
                wrong.push(format!("{id} still runs"));
            }
        }
        let budget: u64 = self.options.budgets.values().sum();
        if self.spent() > budget {
            wrong.push("over budget".into());
        }
        if self.lent() > 0 {
            wrong.push(format!("{} awards are not settled", self.lent()));
        }
        wrong
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
