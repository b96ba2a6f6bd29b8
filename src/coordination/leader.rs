//! The leader of one term: binds the model, placement, dispatch and
//! provisioning. It is told of events and asked for what to do next.

use super::{
    dispatch,
    placement::{self, Candidate, Policy},
    provision::{self, Bin, Demand, Offer},
};
use crate::{
    bookkeeping::{
        Ms,
        amounts::Amounts,
        model::{Model, NONE, Phase, Roster},
        records::{
            self, Bits, FinalRecord, JobRecord, LEADER, MachineRecord, chunk_key, final_key,
            job_key, machine_key,
        },
    },
    protocol::{
        cloud::{ListedMachine, ListedState, MachineType, Rent},
        options::{LoadResource, Options},
        settings::{Objective, Settings},
        state::{Guard, Txn, Write},
        users::{JobSpec, JobState, JobStatus, Kind, Priority},
        workers::{DirectOrder, Report, ReportReply, Why},
    },
};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

/// Bits of a token below the term: fences raised for one machine.
const FENCE_BITS: u32 = 20;
/// Taken on top of a worker's lease before its tasks count as gone.
const LAPSE_MARGIN: Ms = 150;
const MAX_FINALS: usize = 20_000;
/// How long a kind of machine that was refused is not asked for again.
const REFUSED: Ms = 10_000;
/// Over how long arrivals are counted, and for how long ahead room is kept.
const RATE_WINDOW: Ms = 180_000;
const RESERVE_FOR: Ms = 25_000;
/// How long room made for a job is kept for it.
const HELD: Ms = 8_000;
/// A machine costs at least a minute.
const LEAST_CHARGE: Ms = 57_000;
/// How long a machine must have been empty to count as surplus.
const SURPLUS: Ms = 3_000;
/// A fetch that a service may be moved for. Longer ones cost more of its
/// replica time than the machine is worth (tried without this bound).
const SHORT_FETCH_S: f64 = 4.0;

fn millis(s: f64) -> Ms {
    (s.max(0.0) * 1000.0) as Ms
}

#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    Cancel(u32, String),
    Final(u32, String, JobState),
    Progress(u32, String, Vec<usize>),
    Roster(u32, String),
    Mark(u32, String),
    Drop(String),
}

/// One transaction and what it says.
#[derive(Debug, Clone)]
pub struct Plan {
    pub txn: Txn,
    pub items: Vec<Item>,
}

#[derive(Debug, Clone)]
pub enum CloudOp {
    Rent(Rent),
    Release(Vec<String>),
}

#[derive(Debug, Clone)]
pub struct Direct {
    pub machine: String,
    pub addr: SocketAddr,
    pub order: DirectOrder,
}

/// How a direct order came out.
pub enum DirectOutcome {
    Executed(Report),
    Refused(Option<Report>),
    NotSent,
    NoAnswer,
}

pub struct Leader {
    settings: Rc<Settings>,
    options: Options,
    pub model: Model,
    pub term: u64,
    acquired: Ms,
    /// Jobs and roster have been read.
    pub loaded: bool,
    settled: bool,
    attempts: u64,
    requests: u64,
    pub finals: HashMap<String, JobStatus>,
    policy: Policy,
    shapes: Vec<(Amounts, u64)>,
    /// Something changed since placement was last tried.
    changed: bool,
    provision_at: Ms,
    list_at: Ms,
    refused: HashMap<(usize, usize, bool), Ms>,
    renting: u32,
    /// Machines released or dropped; late reports of them mean nothing.
    released: HashMap<String, Ms>,
    orphans: Vec<String>,
    drops: Vec<(String, u64)>,
    order: Vec<u32>,
    /// Recent arrivals: time, index into `classes`, tasks.
    arrivals: VecDeque<(Ms, usize, u32)>,
    classes: Vec<Class>,
    drain_at: Ms,
    place_at: Ms,
    wall_ms: u64,
}

/// Jobs that take the same room.
#[derive(Debug, PartialEq)]
struct Class {
    kind: Kind,
    priority: Priority,
    need: Amounts,
    types: Vec<bool>,
    spot: bool,
}

/// Room kept free of work of lower priority.
struct Reserve {
    priority: Priority,
    need: Amounts,
    types: Vec<bool>,
    spot: bool,
    /// Tasks that still fit, and how many should.
    fits: i64,
    wanted: i64,
}

impl Leader {
    pub fn new(
        settings: Rc<Settings>,
        options: Options,
        types: Vec<MachineType>,
        term: u64,
        now: Ms,
    ) -> Self {
        let model = Model::new(&settings, types);
        let policy = Policy {
            threshold: options.threshold,
            load: options.load,
            shapes: options.shapes.iter().map(Policy::shape).collect(),
        };
        Leader {
            settings,
            options,
            model,
            term,
            acquired: now,
            loaded: false,
            settled: false,
            attempts: 0,
            requests: 0,
            finals: HashMap::new(),
            policy,
            shapes: Vec::new(),
            changed: true,
            provision_at: 0,
            list_at: 0,
            refused: HashMap::new(),
            renting: 0,
            released: HashMap::new(),
            orphans: Vec::new(),
            drops: Vec::new(),
            order: Vec::new(),
            arrivals: VecDeque::new(),
            classes: Vec::new(),
            drain_at: 0,
            place_at: 0,
            wall_ms: 0,
        }
    }

    fn floor(&self) -> u64 {
        self.term << FENCE_BITS
    }

    fn token(&self, ix: u32) -> u64 {
        self.floor() | self.model.machine(ix).map_or(0, |m| m.fence)
    }

    fn lapse_after(&self) -> Ms {
        let lease = millis(self.settings.cluster.workers.lease_s);
        lease + lease / 500 + LAPSE_MARGIN
    }

    pub fn settled(&self) -> bool {
        self.settled
    }

    // ---- taking over ----

    pub fn load_job(&mut self, record: JobRecord, version: u64, now: Ms) -> u32 {
        let mut done = Bits::with_len(record.spec.tasks);
        done.load(0, &record.done);
        self.learn_shape(&record.spec);
        self.changed = true;
        let at_ms = record.at_ms;
        let ix = self
            .model
            .insert_job(record.spec, at_ms, version, done, record.cancelled, now);
        let age = self.wall_ms.saturating_sub(at_ms);
        self.note_arrival(ix, now.saturating_sub(age));
        ix
    }

    pub fn load_chunk(&mut self, id: &str, chunk: usize, text: &str) {
        let Some(job) = self.model.job_ix(id).and_then(|ix| self.model.job_mut(ix)) else {
            self.orphans.push(chunk_key(id, chunk));
            return;
        };
        let mut bits = Bits::with_len(job.spec.tasks);
        bits.load(chunk, text);
        for t in 0..job.spec.tasks {
            if bits.get(t) {
                job.mark_done(t);
            }
        }
        if let Some(d) = job.dirty.get_mut(chunk) {
            *d = false;
        }
    }

    pub fn load_machine(&mut self, name: &str, record: MachineRecord, version: u64, now: Ms) {
        let ix = self.model.insert_machine(
            name,
            &record.addr,
            &record.type_name,
            &record.zone,
            record.spot,
            now,
        );
        if let Some(m) = ix.and_then(|ix| self.model.machine_mut(ix)) {
            m.roster = Roster::Present;
            m.version = version;
            m.releasing = record.releasing;
            m.release_marked = record.releasing;
            m.unknown = true;
            m.answered = self.acquired;
        }
        if let Some(ix) = ix {
            let images: Vec<u32> = record
                .images
                .iter()
                .map(|i| self.model.images.intern(i))
                .collect();
            if let Some(m) = self.model.machine_mut(ix) {
                m.images = images;
            }
        }
    }

    // ---- workers ----

    /// `None`: not a machine to answer.
    pub fn on_beat(&mut self, report: &Report, now: Ms) -> Option<ReportReply> {
        if !self.loaded {
            // The lease must not lapse while the records are being read.
            return Some(ReportReply {
                token: self.floor(),
                commands: Vec::new(),
            });
        }
        if self.released.contains_key(&report.machine) {
            return None;
        }
        let ix = self.model.insert_machine(
            &report.machine,
            &report.addr,
            &report.type_name,
            &report.zone,
            report.spot,
            now,
        )?;
        self.take_in(ix, report, true, now);
        let m = self.model.machine_mut(ix)?;
        m.answered = now;
        let fresh = m.up && (report.session, report.seq) == (m.session, m.seq);
        let commands = if fresh {
            dispatch::commands(&mut self.model, ix, None, report.seq)
        } else {
            Vec::new()
        };
        Some(ReportReply {
            token: self.token(ix),
            commands,
        })
    }

    fn take_in(&mut self, ix: u32, report: &Report, beat: bool, now: Ms) {
        let floor = self.floor();
        let news = dispatch::take_in(&mut self.model, ix, report, floor, beat, now);
        self.changed |= news.changed;
        for (job_ix, why) in news.ended {
            self.on_ended(ix, job_ix, why, now);
        }
    }

    fn on_ended(&mut self, machine: u32, job_ix: u32, why: Why, now: Ms) {
        let Some(job) = self.model.job_mut(job_ix) else {
            return;
        };
        match why {
            Why::Done => job.failures = 0,
            Why::Error | Why::Unknown | Why::Other | Why::NoRoom | Why::Busy => {
                job.failures += 1;
                let failures = job.failures;
                // Guards against relaunching a job that fails everywhere in
                // a tight loop.
                if failures > 2 {
                    job.backoff_until = now + (500 << failures.min(7));
                }
                let id = job.id.clone();
                if let Some(m) = self.model.machine_mut(machine)
                    && failures <= 3
                {
                    m.failures += 1;
                    if m.failures >= 3 && why == Why::Error && !m.quarantined {
                        m.quarantined = true;
                        log::info!("machine {} quarantined: tasks fail on it", m.name);
                    }
                    log::debug!("task of {id} failed on {}: {why:?}", m.name);
                }
            }
            Why::Stopped | Why::Peers | Why::Alone => {}
        }
    }

    pub fn directs(&mut self, now: Ms) -> Vec<Direct> {
        let mut out = Vec::new();
        if !self.loaded {
            return out;
        }
        for ix in 0..self.model.machines.len() as u32 {
            let ready = self
                .model
                .machine(ix)
                .is_some_and(|m| m.up && !m.ordering && now >= m.order_retry);
            if !ready || !dispatch::wants_direct(&self.model, ix) {
                continue;
            }
            let token = self.token(ix);
            let commands = dispatch::commands(&mut self.model, ix, Some(token), 0);
            if let Some(m) = self.model.machine_mut(ix)
                && let Some(addr) = m.addr
            {
                m.ordering = true;
                out.push(Direct {
                    machine: m.name.clone(),
                    addr,
                    order: DirectOrder {
                        token,
                        session: m.session,
                        commands,
                    },
                });
            }
        }
        out
    }

    pub fn direct_done(&mut self, machine: &str, token: u64, outcome: DirectOutcome, now: Ms) {
        let Some(ix) = self.model.machine_ix(machine) else {
            return;
        };
        let retry = millis(self.settings.cluster.workers.report_s) * 2;
        if let Some(m) = self.model.machine_mut(ix) {
            m.ordering = false;
        }
        match outcome {
            DirectOutcome::Executed(report) => {
                dispatch::settle_direct(&mut self.model, ix, token, true);
                self.take_in(ix, &report, false, now);
            }
            DirectOutcome::Refused(report) => {
                dispatch::settle_direct(&mut self.model, ix, token, false);
                if let Some(m) = self.model.machine_mut(ix) {
                    m.order_retry = now + retry;
                }
                if let Some(report) = report {
                    self.take_in(ix, &report, false, now);
                }
            }
            DirectOutcome::NotSent => {
                dispatch::settle_direct(&mut self.model, ix, token, false);
                if let Some(m) = self.model.machine_mut(ix) {
                    m.order_retry = now + retry;
                }
            }
            DirectOutcome::NoAnswer => {
                // It may be carried out minutes later: raise the fence, so
                // that the machine refuses it once it has seen the new token.
                if let Some(m) = self.model.machine_mut(ix) {
                    m.fence += 1;
                    m.order_retry = now + retry;
                }
            }
        }
        self.changed = true;
    }

    // ---- users ----

    pub fn status(&self, id: &str) -> Option<JobStatus> {
        if let Some(ix) = self.model.job_ix(id) {
            return self.model.job(ix).map(|j| j.status());
        }
        self.finals.get(id).cloned()
    }

    pub fn remember_final(&mut self, status: JobStatus) {
        if self.finals.len() >= MAX_FINALS {
            self.finals.clear();
        }
        self.finals.insert(status.id.clone(), status);
    }

    pub fn accepted(&mut self, record: JobRecord, version: u64, now: Ms) {
        if !self.finals.contains_key(&record.spec.id) {
            log::debug!(
                "job {} of {} accepted: {}, {} tasks, image {} of {} GB",
                record.spec.id,
                record.spec.team,
                record.spec.class,
                record.spec.tasks,
                record.spec.image,
                record.spec.image_gb,
            );
            self.load_job(record, version, now);
        }
    }

    /// A notice has been dealt with.
    pub fn drop_notice(&mut self, key: String) {
        self.orphans.push(key);
    }

    fn note_arrival(&mut self, ix: u32, now: Ms) {
        let Some(j) = self.model.job(ix) else { return };
        let class = Class {
            kind: j.spec.kind,
            priority: j.spec.priority,
            need: j.need,
            types: j.types.clone(),
            spot: j.spec.spot,
        };
        let tasks = j.spec.tasks;
        let at = match self.classes.iter().position(|c| *c == class) {
            Some(at) => at,
            None if self.classes.len() < 256 => {
                self.classes.push(class);
                self.classes.len() - 1
            }
            None => return,
        };
        self.arrivals.push_back((now, at, tasks));
        if self.arrivals.len() > 1000 {
            self.arrivals.pop_front();
        }
    }

    /// Room that services need in reserve: what the machine with most of them
    /// holds, so that it may be lost. Batches may use that room meanwhile.
    fn spares(&self) -> Vec<Reserve> {
        let mut out = Vec::new();
        for c in self.classes.iter().filter(|c| c.kind == Kind::Service) {
            let mut r = Reserve {
                priority: c.priority,
                need: c.need,
                types: c.types.clone(),
                spot: c.spot,
                fits: 0,
                wanted: 0,
            };
            // Not at any price: on kinds that cost up to twice the cheapest.
            let price = |ix: usize| {
                let t = &self.model.types[ix];
                let per = if c.spot { t.spot_price } else { t.price };
                let whole = Amounts::offer(t.cpus, t.gpus, t.memory_gb);
                per / (whole.count(&c.need).max(1) as f64)
            };
            let least = (0..self.model.types.len())
                .filter(|ix| c.types.get(*ix) == Some(&true))
                .map(price)
                .min_by(f64::total_cmp)
                .unwrap_or(0.0);
            for (ix, allowed) in r.types.iter_mut().enumerate() {
                *allowed &= price(ix) <= 2.0 * least;
            }
            let mut most = 0;
            for m in self.model.machines.iter().flatten() {
                let of_class = |a: &&crate::bookkeeping::model::Assignment| {
                    a.live()
                        && self.model.job(a.job).is_some_and(|j| {
                            j.spec.kind == Kind::Service && j.need == c.need && j.types == c.types
                        })
                };
                most = most.max(m.tasks.iter().filter(of_class).count() as i64);
                if m.usable() && r.covers(m.type_ix, m.spot) {
                    let mut free = m.free();
                    free += self.held_by_batches(m);
                    r.fits += free.count(&r.need).min(1000);
                }
            }
            // The machine that is lost has its own room, which does not count.
            r.wanted = most;
            if most > 0 {
                out.push(r);
            }
        }
        out
    }

    fn held_by_batches(&self, m: &crate::bookkeeping::model::Machine) -> Amounts {
        let mut held = Amounts::default();
        for a in m.tasks.iter().filter(|a| a.live()) {
            if self
                .model
                .job(a.job)
                .is_some_and(|j| j.spec.kind == Kind::Array)
            {
                held += a.need;
            }
        }
        held
    }

    /// Room to keep for work of high priority that is expected soon, and for
    /// such work that waits: without it, batches would take the last machine
    /// that a large task fits.
    fn reserves(&mut self, candidates: &[Candidate], over: Ms, now: Ms) -> Vec<Reserve> {
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _, _)| at + RATE_WINDOW < now)
        {
            self.arrivals.pop_front();
        }
        let window = over.min(now - self.acquired).max(30_000);
        let mut out = Vec::new();
        for (ix, c) in self.classes.iter().enumerate() {
            if c.priority < Priority::High {
                continue;
            }
            let recent: u64 = self
                .arrivals
                .iter()
                .filter(|(t, at, _)| *at == ix && *t + over >= now)
                .map(|(_, _, n)| u64::from(*n).min(64))
                .sum();
            let wanted = (recent * RESERVE_FOR).div_ceil(window) as i64;
            if wanted == 0 {
                continue;
            }
            let mut r = Reserve {
                priority: c.priority,
                need: c.need,
                types: c.types.clone(),
                spot: c.spot,
                fits: 0,
                wanted,
            };
            for candidate in candidates {
                if let Some(m) = self.model.machine(candidate.machine)
                    && r.covers(m.type_ix, m.spot)
                {
                    r.fits += candidate.free.count(&r.need).min(1000);
                }
            }
            out.push(r);
        }
        out
    }

    /// Marks a known job for withdrawal. Its tasks stop only once that is
    /// recorded: until then it may still complete.
    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self.model.job_ix(id).and_then(|ix| self.model.job_mut(ix)) {
            job.cancel_wanted = true;
        }
    }

    fn learn_shape(&mut self, spec: &JobSpec) {
        if !self.options.shapes.is_empty() {
            return;
        }
        let need = Amounts::need(spec.cpus, spec.gpus, spec.memory_gb);
        match self.shapes.iter().position(|(s, _)| *s == need) {
            Some(at) => self.shapes[at].1 += 1,
            None if self.shapes.len() < 64 => self.shapes.push((need, 1)),
            None => {}
        }
        self.shapes.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        self.policy.shapes = self.shapes.iter().take(6).map(|(s, _)| *s).collect();
    }

    /// Something happened that shouldn't wait for the next look.
    pub fn has_work(&self) -> bool {
        self.changed
    }

    // ---- time ----

    pub fn tick(&mut self, now: Ms, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if !self.loaded {
            return;
        }
        self.lapse(now);
        if !self.settled {
            self.settled = !self.model.machines.iter().flatten().any(|m| m.unknown);
            if self.settled {
                log::info!(
                    "term {} settled after {} ms: {} jobs, {} machines",
                    self.term,
                    now - self.acquired,
                    self.model.live_jobs(),
                    self.model.machine_count()
                );
                self.changed = true;
            }
        }
        self.stop_what_must(now);
        let backoff = self
            .model
            .jobs
            .iter()
            .flatten()
            .any(|j| j.backoff_until != 0 && j.backoff_until <= now);
        // Rates and holds change with time alone, so look now and then anyway.
        let due = now >= self.place_at;
        if (self.changed || backoff || due) && self.settled {
            self.changed = false;
            self.place_at = now + 2000;
            self.place(now);
        }
    }

    fn lapse(&mut self, now: Ms) {
        let after = self.lapse_after();
        let overdue = millis(self.settings.cluster.workers.report_s * 2.5) + 500;
        for ix in 0..self.model.machines.len() as u32 {
            let Some(m) = self.model.machine_mut(ix) else {
                continue;
            };
            let suspect = m.up && now > m.heard + overdue;
            if m.suspect != suspect {
                m.suspect = suspect;
                self.changed = true;
                log::debug!("machine {} overdue: {suspect}", m.name);
            }
            if !(m.up || m.unknown) || now <= m.answered + after {
                continue;
            }
            log::info!(
                "machine {} silent: its lease has lapsed, {} tasks gone",
                m.name,
                m.live_tasks()
            );
            m.up = false;
            m.unknown = false;
            m.min_session = m.session + 1;
            m.since = now;
            self.model.clear_machine(ix);
            self.changed = true;
        }
    }

    /// Tasks of withdrawn jobs, and what is left of gangs that lost a task.
    fn stop_what_must(&mut self, now: Ms) {
        let settled = self.settled;
        let mut stop = Vec::new();
        for (ix, job) in self.model.jobs.iter().enumerate() {
            if let Some(j) = job
                && j.live > 0
                && (j.cancelled || (settled && j.spec.kind == Kind::Gang && j.waiting() > 0))
            {
                stop.push(ix as u32);
            }
        }
        if stop.is_empty() {
            return;
        }
        for m in self.model.machines.iter_mut().flatten() {
            for a in m.tasks.iter_mut() {
                if a.job != NONE && a.live() && a.stop.is_none() && stop.contains(&a.job) {
                    a.stop = Some(0.0);
                    a.stop_since = now;
                }
            }
        }
        for ix in 0..self.model.machines.len() as u32 {
            let Some(m) = self.model.machine(ix) else {
                continue;
            };
            // Never sent, not even in doubt: simply not launched.
            for at in (0..m.tasks.len()).rev() {
                let drop = self.model.machine(ix).is_some_and(|m| {
                    let a = &m.tasks[at];
                    a.phase == Phase::New && a.stop.is_some() && a.doubt == 0
                });
                if drop {
                    self.model.unassign(ix, at);
                    self.changed = true;
                }
            }
        }
    }

    /// Waiting jobs in the order in which they are served.
    fn queue(&mut self) -> Vec<u32> {
        let mut order = std::mem::take(&mut self.order);
        order.clear();
        for (ix, job) in self.model.jobs.iter().enumerate() {
            if let Some(j) = job
                && j.waiting() > 0
                && !j.cancelled
                && !j.cancel_wanted
            {
                order.push(ix as u32);
            }
        }
        let jobs = &self.model.jobs;
        let (objectives, wall) = (&self.settings.cluster.objectives, self.wall_ms);
        order.sort_by_cached_key(|ix| {
            jobs[*ix as usize].as_ref().map(|j| {
                let band = deadline_band(&j.spec, objectives, wall.saturating_sub(j.at_ms));
                (std::cmp::Reverse(j.spec.priority), band, j.at_ms, *ix)
            })
        });
        order
    }

    fn attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.term << FENCE_BITS) | self.attempts
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for (ix, m) in self.model.machines.iter().enumerate() {
            if let Some(m) = m
                && m.usable()
            {
                candidates.push(Candidate {
                    machine: ix as u32,
                    zone: m.zone,
                    capacity: m.capacity,
                    free: m.free(),
                    caches_image: false,
                    pool: 0,
                    preference: m.free().cpus,
                });
            }
        }
        candidates
    }

    fn place(&mut self, now: Ms) {
        let mut candidates = self.candidates();
        let order = self.queue();
        if candidates.is_empty() {
            self.order = order;
            return;
        }
        let mut reserves = self.reserves(&candidates, RATE_WINDOW, now);
        let mut wanting = Vec::new();
        // Shapes that found no room in this pass; the rest of the queue
        // needn't be tried for them.
        let mut full: Vec<(Amounts, Vec<bool>, Option<usize>, bool)> = Vec::new();
        for &job_ix in &order {
            let Some(job) = self.model.job(job_ix) else {
                continue;
            };
            if job.backoff_until > now {
                continue;
            }
            let key = (job.need, job.types.clone(), job.zone, job.spec.spot);
            if full.contains(&key) {
                continue;
            }
            let bound = job.spec.one_zone || job.spec.spread || job.spec.kind == Kind::Gang;
            let team = job.team;
            let one = self.model.within_limit(team, &key.0, 1);
            let placed = if job.spec.kind == Kind::Gang {
                self.place_gang(job_ix, &mut candidates, &mut reserves, now)
            } else {
                self.place_each(job_ix, &mut candidates, &mut reserves, now)
            };
            if !placed {
                wanting.push(job_ix);
            }
            if !placed && !bound && one && self.model.within_limit(team, &key.0, 1) {
                full.push(key);
            }
        }
        self.order = order;
        self.make_room(&wanting, now);
    }

    /// Stops tasks of lower priority where a job of high priority finds no
    /// room, and keeps the room for it.
    fn make_room(&mut self, wanting: &[u32], now: Ms) {
        let mut begun = 0;
        for &job_ix in wanting {
            let Some(j) = self.model.job(job_ix) else {
                continue;
            };
            if j.spec.priority < Priority::High || j.live > 0 && j.spec.kind == Kind::Gang {
                continue;
            }
            let (need, team, priority) = (j.need, j.team, j.spec.priority);
            if j.spec.one_zone && j.spec.tasks > 1 {
                // Not planned for here: such a job waits for room.
                continue;
            }
            let half = j.spec.spread.then(|| j.spec.tasks.div_ceil(2));
            let mut zones = self.model.zones_of(job_ix);
            let mut tasks = i64::from(j.waiting());
            let held = self
                .model
                .machines
                .iter()
                .flatten()
                .filter(|m| {
                    m.held_for
                        .is_some_and(|(of, until)| of == job_ix && now < until)
                })
                .map(|m| m.capacity.count(&need))
                .sum::<i64>();
            tasks -= held;
            while tasks > 0 && begun < 3 && self.model.within_limit(team, &need, 1) {
                let Some((machine, victims)) = self.cheapest_room(job_ix, priority, now, |z| {
                    half.is_none_or(|h| zones.get(z).copied().unwrap_or(0) < h)
                }) else {
                    break;
                };
                tasks -= 1;
                begun += 1;
                let id = self.model.job(job_ix).map(|j| j.id.clone());
                let Some(m) = self.model.machine_mut(machine) else {
                    break;
                };
                zones[m.zone] += 1;
                log::info!(
                    "preempting {} tasks on {} for {}",
                    victims.len(),
                    m.name,
                    id.unwrap_or_default()
                );
                m.held_for = Some((job_ix, now + HELD));
                for at in victims {
                    m.tasks[at].stop = Some(0.0);
                    m.tasks[at].stop_since = now;
                }
            }
        }
    }

    /// The machine on which the least work is lost by making room for a task.
    fn cheapest_room(
        &self,
        job_ix: u32,
        priority: Priority,
        now: Ms,
        zone_ok: impl Fn(usize) -> bool,
    ) -> Option<(u32, Vec<usize>)> {
        let job = self.model.job(job_ix)?;
        let mut best: Option<((bool, i64), u32, Vec<usize>)> = None;
        for (ix, m) in self.model.machines.iter().enumerate() {
            let Some(m) = m else { continue };
            let allowed = m.usable()
                && zone_ok(m.zone)
                && m.held_for.is_none_or(|(_, until)| now >= until)
                && job.types.get(m.type_ix).copied().unwrap_or(false)
                && job.zone.is_none_or(|z| z == m.zone)
                && (job.spec.spot || !m.spot);
            if !allowed {
                continue;
            }
            let fetch = !m.images.contains(&job.image);
            let mut victims: Vec<(i64, usize)> = Vec::new();
            for (at, a) in m.tasks.iter().enumerate() {
                let lower = self
                    .model
                    .job(a.job)
                    .is_some_and(|v| v.spec.priority < priority && v.spec.kind == Kind::Array);
                if a.live() && a.stop.is_none() && lower {
                    let lost = (now - a.since) as i64 * a.need.cpus.max(1) / 1000;
                    victims.push((lost, at));
                }
            }
            victims.sort_unstable();
            let mut free = m.free();
            let mut lost = 0;
            let mut chosen = Vec::new();
            for (cost, at) in victims {
                if job.need.fits(&free) {
                    break;
                }
                free += m.tasks[at].need;
                lost += cost;
                chosen.push(at);
            }
            if job.need.fits(&free)
                && !chosen.is_empty()
                && best.as_ref().is_none_or(|(b, _, _)| (fetch, lost) < *b)
            {
                best = Some(((fetch, lost), ix as u32, chosen));
            }
        }
        best.map(|(_, ix, victims)| (ix, victims))
    }

    fn mark_candidates(&self, job_ix: u32, candidates: &mut [Candidate], now: Ms) {
        let Some(job) = self.model.job(job_ix) else {
            return;
        };
        let time_left = self.time_to_aim(job, now);
        for c in candidates {
            if let Some(m) = self.model.machine(c.machine) {
                c.caches_image = m.images.contains(&job.image);
                c.pool = self.task_price(&job.need, m.type_ix, m.spot);
                // Where the fetch alone would miss the aim goes last.
                let rate = self.model.types[m.type_ix].fetch_gb_per_s.max(0.001);
                if !c.caches_image && time_left.is_some_and(|left| job.spec.image_gb / rate > left)
                {
                    c.pool += 500;
                }
                // A machine that has been empty for a while is about to be
                // returned: used only when the others have no room.
                if c.free == c.capacity && now >= m.idle_since + SURPLUS {
                    c.pool += 1000;
                }
            }
        }
    }

    /// Seconds left to the nearest aim for starting that can still be met.
    fn time_to_aim(&self, job: &crate::bookkeeping::model::Job, now: Ms) -> Option<f64> {
        let age = (now - job.known_ms) as f64 / 1000.0;
        let team = self.model.teams.get(job.team);
        let guaranteed = team.is_some_and(|t| {
            (job.need.gpus > 0 && t.gpus > 0.0) || (job.need.gpus == 0 && t.cpus > 0.0)
        });
        self.settings
            .cluster
            .objectives
            .iter()
            .filter(|o| match o.kind.as_str() {
                "wait" => o.class.as_deref() == Some(job.spec.class.as_str()),
                "guarantee" => guaranteed,
                _ => false,
            })
            .filter_map(|o| o.within_s)
            .map(|within| within - age)
            .filter(|left| *left > 0.0)
            .min_by(f64::total_cmp)
            // A service that lost a replica is short of it while it fetches.
            .or((job.spec.kind == Kind::Service).then_some(0.0))
    }

    /// What a task costs on a kind of machine, by the share it takes, in
    /// thousandths of the price unit. Which node a job should run on is left
    /// open by the paper; cheaper kinds go first here, and its method chooses
    /// among machines of a kind.
    fn task_price(&self, need: &Amounts, type_ix: usize, spot: bool) -> u32 {
        let Some(t) = self.model.types.get(type_ix) else {
            return u32::MAX;
        };
        let whole = Amounts::offer(t.cpus, t.gpus, t.memory_gb);
        let share = placement::load(&whole, &whole.minus(*need), LoadResource::Scarcest);
        // Current prices move by a third; steps keep the order steady.
        let price = if spot { t.spot_price } else { t.price };
        (price * share * 1000.0).max(1.0).log2().mul_add(2.0, 0.5) as u32
    }

    fn choose(
        &self,
        job_ix: u32,
        task: u32,
        candidates: &[Candidate],
        reserves: &[Reserve],
        now: Ms,
        zone_ok: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let job = self.model.job(job_ix)?;
        placement::choose(&self.policy, candidates, &job.need, |c| {
            zone_ok(c.zone)
                && self.model.machine(c.machine).is_some_and(|m| {
                    m.held_for
                        .is_none_or(|(of, until)| of == job_ix || now >= until)
                        && reserves.iter().all(|r| {
                            r.priority <= job.spec.priority
                                || !r.covers(m.type_ix, m.spot)
                                || match r.loss(&c.free, &job.need) {
                                    0 => true,
                                    loss => r.fits - loss >= r.wanted,
                                }
                        })
                })
                && job.zone.is_none_or(|z| z == c.zone)
                && self.model.machine(c.machine).is_some_and(|m| {
                    job.types.get(m.type_ix).copied().unwrap_or(false)
                        && (job.spec.spot || !m.spot)
                        // An old attempt still listed there would refuse it.
                        && !m.tasks.iter().any(|a| a.job == job_ix && a.task == task)
                })
        })
    }

    fn take_reserve(&self, reserves: &mut [Reserve], c: &Candidate, need: &Amounts) {
        if let Some(m) = self.model.machine(c.machine) {
            for r in reserves.iter_mut().filter(|r| r.covers(m.type_ix, m.spot)) {
                r.fits -= r.loss(&c.free, need);
            }
        }
    }

    /// Returns whether all that waits was placed.
    fn place_each(
        &mut self,
        job_ix: u32,
        candidates: &mut [Candidate],
        reserves: &mut [Reserve],
        now: Ms,
    ) -> bool {
        self.mark_candidates(job_ix, candidates, now);
        let Some(job) = self.model.job(job_ix) else {
            return true;
        };
        let (need, team, one_zone, spread) =
            (job.need, job.team, job.spec.one_zone, job.spec.spread);
        let half = job.spec.tasks.div_ceil(2);
        let mut zones = if one_zone || spread {
            self.model.zones_of(job_ix)
        } else {
            Vec::new()
        };
        loop {
            let Some(task) = self.model.job_mut(job_ix).and_then(|j| j.next_waiting()) else {
                return true;
            };
            if !self.model.within_limit(team, &need, 1) {
                return false;
            }
            let chosen = self.choose(job_ix, task, candidates, reserves, now, |z| {
                (!one_zone || zones.iter().enumerate().all(|(i, n)| *n == 0 || i == z))
                    && (!spread || zones.get(z).copied().unwrap_or(0) < half)
            });
            let Some(at) = chosen else {
                return false;
            };
            self.take_reserve(reserves, &candidates[at], &need);
            let c = &mut candidates[at];
            c.free -= need;
            c.preference = c.free.cpus;
            let (machine, zone) = (c.machine, c.zone);
            if let Some(n) = zones.get_mut(zone) {
                *n += 1;
            }
            let attempt = self.attempt();
            self.start(job_ix, task, machine, attempt, now);
        }
    }

    /// All tasks of a gang in one pass, or none.
    fn place_gang(
        &mut self,
        job_ix: u32,
        candidates: &mut [Candidate],
        reserves: &mut [Reserve],
        now: Ms,
    ) -> bool {
        self.mark_candidates(job_ix, candidates, now);
        let Some(job) = self.model.job(job_ix) else {
            return true;
        };
        let (n, need, team) = (job.spec.tasks, job.need, job.team);
        // Tasks of the attempt before must be gone first.
        if job.live > 0 || !self.model.within_limit(team, &need, i64::from(n)) {
            return false;
        }
        let spread = job.spec.spread;
        let half = n.div_ceil(2);
        let zones: Vec<Option<usize>> = if job.spec.one_zone {
            (0..self.model.zones.len()).map(Some).collect()
        } else {
            vec![None]
        };
        for only in zones {
            let mut trial = candidates.to_vec();
            let mut chosen = Vec::with_capacity(n as usize);
            let mut per_zone = vec![0; self.model.zones.len()];
            for task in 0..n {
                let pick = self.choose(job_ix, task, &trial, reserves, now, |z| {
                    only.is_none_or(|o| o == z) && (!spread || per_zone[z] < half)
                });
                let Some(at) = pick else { break };
                self.take_reserve(reserves, &trial[at], &need);
                trial[at].free -= need;
                trial[at].preference = trial[at].free.cpus;
                per_zone[trial[at].zone] += 1;
                chosen.push(trial[at].machine);
            }
            if chosen.len() == n as usize {
                let attempt = self.attempt();
                for (task, machine) in chosen.into_iter().enumerate() {
                    self.start(job_ix, task as u32, machine, attempt, now);
                }
                candidates.clone_from_slice(&trial);
                return true;
            }
        }
        false
    }

    fn start(&mut self, job_ix: u32, task: u32, machine: u32, attempt: u64, now: Ms) {
        if log::log_enabled!(log::Level::Debug)
            && let (Some(j), Some(m)) = (self.model.job(job_ix), self.model.machine(machine))
        {
            log::debug!("place {}/{task} try {attempt} on {}", j.id, m.name);
        }
        self.model
            .assign(job_ix, task, machine, attempt, Phase::New, now);
    }

    // ---- the state service ----

    fn leader_guard(&self) -> Guard {
        Guard {
            key: LEADER.into(),
            version: self.term,
        }
    }

    /// The transaction that accepts a job.
    pub fn acceptance(&self, spec: &JobSpec, wall_ms: u64) -> (Txn, JobRecord) {
        let record = JobRecord {
            spec: spec.clone(),
            at_ms: wall_ms,
            cancelled: false,
            done: String::new(),
        };
        let mut txn = acceptance(&record);
        txn.guards.push(self.leader_guard());
        (txn, record)
    }

    /// What is to be written next, at most `room` changes.
    pub fn plan_flush(&mut self, room: usize) -> Option<Plan> {
        if !self.loaded {
            return None;
        }
        let limits = &self.settings.cluster.state;
        let spare = room as f64 > limits.write_rps / 2.0;
        let room = room.min(limits.txn_ops);
        let mut bytes = 0usize;
        let byte_limit = 48 * 1024;
        let mut plan = Plan {
            txn: Txn {
                guards: vec![self.leader_guard()],
                writes: Vec::new(),
            },
            items: Vec::new(),
        };
        let put = |plan: &mut Plan, bytes: &mut usize, key: String, value: serde_json::Value| {
            *bytes += key.len() + value.to_string().len() + 40;
            plan.txn.writes.push(Write::Put {
                key,
                value,
                lease: None,
            });
        };
        // Withdrawals, then endings, then progress.
        for pass in 0..3 {
            for ix in 0..self.model.jobs.len() {
                if plan.txn.writes.len() + 2 > room || bytes > byte_limit {
                    break;
                }
                let Some(j) = self.model.jobs[ix].as_mut() else {
                    continue;
                };
                if j.writing {
                    continue;
                }
                let guard = Guard {
                    key: job_key(&j.id),
                    version: j.version,
                };
                let over = if j.complete() && !j.cancelled {
                    Some(JobState::Done)
                } else if j.cancelled && j.live == 0 && self.settled {
                    Some(JobState::Cancelled)
                } else {
                    None
                };
                match (pass, over) {
                    (0, None) if j.cancel_wanted && !j.cancelled => {
                        plan.txn.guards.push(guard);
                        let record = job_record(j, true);
                        put(&mut plan, &mut bytes, job_key(&j.id), record);
                        plan.items.push(Item::Cancel(ix as u32, j.id.clone()));
                        j.writing = true;
                    }
                    (1, Some(state)) => {
                        plan.txn.guards.push(guard);
                        plan.txn.guards.push(Guard {
                            key: final_key(&j.id),
                            version: 0,
                        });
                        let record = FinalRecord {
                            state,
                            done: j.done_n,
                        };
                        let value = serde_json::to_value(record).unwrap_or_default();
                        put(&mut plan, &mut bytes, final_key(&j.id), value);
                        plan.txn.writes.push(Write::Delete {
                            key: job_key(&j.id),
                        });
                        plan.items.push(Item::Final(ix as u32, j.id.clone(), state));
                        j.writing = true;
                    }
                    (2, None) if j.is_dirty() && !j.cancelled => {
                        let mut chunks = Vec::new();
                        plan.txn.guards.push(guard);
                        for c in 0..j.dirty.len() {
                            if !j.dirty[c] || plan.txn.writes.len() + 1 > room {
                                continue;
                            }
                            if c > 0 {
                                let value = serde_json::Value::String(j.done.chunk(c));
                                put(&mut plan, &mut bytes, chunk_key(&j.id, c), value);
                                chunks.push(c);
                            } else {
                                let record = job_record(j, false);
                                put(&mut plan, &mut bytes, job_key(&j.id), record);
                                chunks.push(c);
                            }
                        }
                        for c in &chunks {
                            j.dirty[*c] = false;
                        }
                        plan.items
                            .push(Item::Progress(ix as u32, j.id.clone(), chunks));
                        j.writing = true;
                    }
                    _ => {}
                }
            }
            if pass == 0 {
                self.plan_roster(&mut plan, room, spare);
            }
        }
        while plan.txn.writes.len() < room
            && let Some(key) = self.orphans.pop()
        {
            plan.txn.writes.push(Write::Delete { key });
        }
        (!plan.txn.writes.is_empty()).then_some(plan)
    }

    fn plan_roster(&mut self, plan: &mut Plan, room: usize, spare: bool) {
        for ix in 0..self.model.machines.len() {
            if plan.txn.writes.len() + 1 > room {
                return;
            }
            let type_names = &self.model.types;
            let Some(m) = self.model.machines[ix].as_mut() else {
                continue;
            };
            if m.writing {
                continue;
            }
            let add = m.up && m.roster == Roster::Absent && !m.releasing;
            let mark = m.releasing && !m.release_marked && m.roster == Roster::Present;
            // Not urgent, so only while much of the budget is left.
            let images = m.images_new && m.roster == Roster::Present && m.up && spare;
            if !add && !mark && !images {
                continue;
            }
            m.writing = true;
            m.images_new = false;
            plan.txn.guards.push(Guard {
                key: machine_key(&m.name),
                version: m.version,
            });
            let record = MachineRecord {
                addr: m.addr.map(|a| a.to_string()).unwrap_or_default(),
                type_name: type_names[m.type_ix].name.clone(),
                zone: self.model.zones.name(m.zone).to_owned(),
                spot: m.spot,
                releasing: m.releasing && m.roster == Roster::Present,
                images: m
                    .images
                    .iter()
                    .map(|i| self.model.images.name(*i as usize).to_owned())
                    .filter(|i| i.len() <= 200)
                    .collect(),
            };
            plan.txn.writes.push(Write::Put {
                key: machine_key(&m.name),
                value: serde_json::to_value(record).unwrap_or_default(),
                lease: None,
            });
            let name = m.name.clone();
            plan.items.push(if m.releasing {
                Item::Mark(ix as u32, name)
            } else {
                Item::Roster(ix as u32, name)
            });
        }
        while plan.txn.writes.len() < room
            && let Some((name, version)) = self.drops.pop()
        {
            let key = machine_key(&name);
            plan.txn.guards.push(Guard {
                key: key.clone(),
                version,
            });
            plan.txn.writes.push(Write::Delete { key });
            plan.items.push(Item::Drop(name));
        }
    }

    fn job_of(&mut self, ix: u32, id: &str) -> Option<&mut crate::bookkeeping::model::Job> {
        self.model.job_mut(ix).filter(|j| j.id == id)
    }

    pub fn flushed(&mut self, plan: &Plan, revision: u64, now: Ms) {
        for item in &plan.items {
            match item {
                Item::Cancel(ix, id) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.version = revision;
                        j.writing = false;
                        j.cancelled = true;
                        log::info!("job {id} withdrawn");
                    }
                }
                Item::Final(ix, id, state) => self.ended(*ix, id, *state, now),
                Item::Progress(ix, id, chunks) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.writing = false;
                        if chunks.contains(&0) {
                            j.version = revision;
                        }
                    }
                }
                Item::Roster(ix, name) | Item::Mark(ix, name) => {
                    let marked = matches!(item, Item::Mark(..));
                    if let Some(m) = self.model.machine_mut(*ix).filter(|m| m.name == *name) {
                        m.writing = false;
                        m.roster = Roster::Present;
                        m.version = revision;
                        m.release_marked |= marked;
                    }
                }
                Item::Drop(_) => {}
            }
        }
        self.changed = true;
    }

    fn ended(&mut self, ix: u32, id: &str, state: JobState, now: Ms) {
        let Some(j) = self.job_of(ix, id) else { return };
        let status = JobStatus {
            id: id.to_owned(),
            state,
            done: j.done_n,
            running: 0,
        };
        let chunks = j.dirty.len();
        for c in 1..chunks {
            self.orphans.push(chunk_key(id, c));
        }
        self.model.remove_job(ix, now);
        self.remember_final(status);
    }

    /// Keys to read again after a transaction that had no answer or failed.
    pub fn keys_of(plan: &Plan) -> Vec<String> {
        let mut keys: Vec<String> = plan.txn.guards.iter().map(|g| g.key.clone()).collect();
        keys.retain(|k| k != LEADER);
        keys
    }

    /// A key of such a transaction as it stands now. All keys must have been
    /// read before `reread_done`.
    pub fn reread(&mut self, key: &str, found: Option<(serde_json::Value, u64)>, now: Ms) {
        if let Some(id) = key.strip_prefix(records::FINALS) {
            if let Some((value, _)) = found
                && let Ok(record) = serde_json::from_value::<FinalRecord>(value)
                && let Some(ix) = self.model.job_ix(id)
            {
                self.ended(ix, id, record.state, now);
            }
        } else if let Some(id) = key.strip_prefix(records::JOBS) {
            if let Some((value, version)) = found
                && let Ok(record) = serde_json::from_value::<JobRecord>(value)
                && let Some(ix) = self.model.job_ix(id)
                && let Some(j) = self.model.job_mut(ix)
            {
                j.version = version;
                j.cancelled |= record.cancelled;
            }
        } else if let Some(name) = key.strip_prefix(records::ROSTER) {
            if let Some(m) = self
                .model
                .machine_ix(name)
                .and_then(|ix| self.model.machine_mut(ix))
            {
                match found {
                    Some((value, version)) => {
                        m.roster = Roster::Present;
                        m.version = version;
                        if let Ok(r) = serde_json::from_value::<MachineRecord>(value) {
                            m.release_marked = r.releasing;
                        }
                    }
                    None => {
                        m.roster = Roster::Absent;
                        m.version = 0;
                    }
                }
            } else if let Some((_, version)) = found {
                self.drops.push((name.to_owned(), version));
            }
        }
    }

    pub fn reread_done(&mut self, plan: &Plan) {
        // What was found may have made machines or jobs ready.
        self.changed = true;
        for item in &plan.items {
            match item {
                Item::Cancel(ix, id) | Item::Final(ix, id, _) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.writing = false;
                    }
                }
                Item::Progress(ix, id, chunks) => {
                    let chunks = chunks.clone();
                    if let Some(j) = self.job_of(*ix, id) {
                        j.writing = false;
                        for c in chunks {
                            j.dirty[c] = true;
                        }
                    }
                }
                Item::Roster(ix, name) | Item::Mark(ix, name) => {
                    if let Some(m) = self.model.machine_mut(*ix).filter(|m| m.name == *name) {
                        m.writing = false;
                    }
                }
                Item::Drop(_) => {}
            }
        }
    }

    // ---- the cloud ----

    /// When the machine list is due, it is taken as asked for.
    pub fn list_due(&mut self, now: Ms) -> bool {
        let due = self.loaded && now >= self.list_at;
        if due {
            self.list_at = now + 4000;
        }
        due
    }

    pub fn listed(&mut self, list: &[ListedMachine], now: Ms) {
        for l in list {
            if self.released.contains_key(&l.id) {
                continue;
            }
            if l.state == ListedState::Failed {
                if let Some(ix) = self.model.machine_ix(&l.id) {
                    // It stopped by itself: nothing runs there any more.
                    self.model.clear_machine(ix);
                    self.release(ix, "failed", now);
                    if let Some(m) = self.model.machine_mut(ix) {
                        m.up = false;
                        m.unknown = false;
                        m.min_session = m.session + 1;
                    }
                    self.changed = true;
                } else if let Some(ix) =
                    self.model
                        .insert_machine(&l.id, &l.addr, &l.type_name, &l.zone, l.spot, now)
                {
                    self.release(ix, "failed", now);
                }
                continue;
            }
            let ix = self
                .model
                .insert_machine(&l.id, &l.addr, &l.type_name, &l.zone, l.spot, now);
            if let Some(m) = ix.and_then(|ix| self.model.machine_mut(ix)) {
                m.listed = now;
                if m.since == now && l.state == ListedState::Booting {
                    m.since = now.saturating_sub(millis(l.age_s));
                }
            }
        }
    }

    fn release(&mut self, ix: u32, why: &str, now: Ms) {
        if let Some(m) = self.model.machine_mut(ix)
            && !m.releasing
        {
            log::info!("machine {} to be released: {why}", m.name);
            m.releasing = true;
            m.since = now;
        }
    }

    pub fn cloud_ops(&mut self, now: Ms, wall_ms: u64) -> Vec<CloudOp> {
        let mut ops = Vec::new();
        if !self.loaded || now < self.provision_at {
            return ops;
        }
        self.provision_at = now + 1000;
        for m in self.model.machines.iter_mut().flatten() {
            let jobs = &self.model.jobs;
            let batch = m.tasks.iter().any(|a| {
                a.live()
                    && jobs
                        .get(a.job as usize)
                        .and_then(Option::as_ref)
                        .is_none_or(|j| j.spec.kind != Kind::Service)
            });
            if batch {
                m.batch_until = now;
            }
        }
        self.return_machines(now);
        self.drain(now);
        let mut names = Vec::new();
        for m in self.model.machines.iter_mut().flatten() {
            if m.releasing
                && !m.release_sent
                && (m.roster == Roster::Absent || m.release_marked)
                && !m.writing
                && m.live_tasks() == 0
                && names.len() < 100
            {
                m.release_sent = true;
                names.push(m.name.clone());
            }
        }
        if !names.is_empty() {
            ops.push(CloudOp::Release(names));
        }
        if self.settled && self.renting == 0 {
            for rent in self.purchases(now, wall_ms) {
                self.renting += 1;
                ops.push(CloudOp::Rent(rent));
            }
        }
        ops
    }

    /// A dear machine is kept idle for less long than a cheap one of its type.
    fn idle_allowance(&self, m: &crate::bookkeeping::model::Machine, idle: Ms) -> Ms {
        let t = &self.model.types[m.type_ix];
        if m.spot || t.price <= t.spot_price {
            return idle;
        }
        (idle as f64 * t.spot_price / t.price) as Ms
    }

    fn return_machines(&mut self, now: Ms) {
        let idle = millis(self.options.idle_s);
        let lapse = self.lapse_after();
        let lag = millis(self.settings.cluster.cloud.list_lag_s);
        // What arrives often and must start soon finds an idle machine.
        let candidates = self.candidates();
        let mut held = self.reserves(&candidates, 60_000, now);
        held.extend(self.spares());
        let mut gone = Vec::new();
        for ix in 0..self.model.machines.len() as u32 {
            let Some(m) = self.model.machine(ix) else {
                continue;
            };
            if m.releasing || m.unknown {
                continue;
            }
            let boot = millis(self.model.types[m.type_ix].boot_s);
            let empty = m.tasks.is_empty();
            let why = if m.up && m.quarantined && empty {
                Some("quarantined")
            } else if m.up && m.draining && empty && !m.ordering {
                Some("drained")
            } else if m.up
                && empty
                && self.settled
                && now >= m.idle_since + self.idle_allowance(m, idle)
                && !m.ordering
                && held.iter().all(|r| {
                    !r.covers(m.type_ix, m.spot)
                        || r.fits - m.capacity.count(&r.need).min(1000) >= r.wanted
                })
            {
                for r in held.iter_mut().filter(|r| r.covers(m.type_ix, m.spot)) {
                    r.fits -= m.capacity.count(&r.need).min(1000);
                }
                Some("idle")
            } else if !m.up && m.session == 0 && now > m.since + 4 * boot + 60_000 {
                Some("never came up")
            } else if !m.up && m.session > 0 && now > m.since + lapse {
                Some("silent")
            } else {
                None
            };
            if let Some(why) = why {
                self.release(ix, why, now);
            } else if !m.up
                && m.roster == Roster::Absent
                && now > m.listed + 30_000 + 4 * lag
                && now > m.since + 30_000 + 4 * lag
            {
                gone.push(ix);
            }
        }
        for ix in gone {
            self.model.remove_machine(ix);
        }
    }

    /// A machine that holds nothing but a few services, which find room on
    /// machines that are kept anyway, is emptied and returned.
    fn drain(&mut self, now: Ms) {
        if !self.settled || now < self.drain_at {
            return;
        }
        self.drain_at = now + 2000;
        let idle = millis(self.options.idle_s);
        let price = |m: &crate::bookkeeping::model::Machine| {
            let t = &self.model.types[m.type_ix];
            if m.spot { t.spot_price } else { t.price }
        };
        let mut order: Vec<u32> = Vec::new();
        for (ix, m) in self.model.machines.iter().enumerate() {
            let Some(m) = m else { continue };
            if m.draining && m.up && !m.releasing {
                // One at a time.
                if m.live_tasks() > 0 {
                    return;
                }
                continue;
            }
            if m.usable() && m.live_tasks() > 0 && now >= m.batch_until + idle && !m.ordering {
                order.push(ix as u32);
            }
        }
        order.sort_by(|a, b| {
            let key = |ix: &u32| {
                self.model
                    .machine(*ix)
                    .map_or((0.0, 0), |m| (price(m), m.live_tasks()))
            };
            let (a, b) = (key(a), key(b));
            b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
        });
        for ix in order {
            if self.can_empty(ix, now) {
                if let Some(m) = self.model.machine_mut(ix) {
                    log::info!(
                        "machine {} drained: {} services move",
                        m.name,
                        m.live_tasks()
                    );
                    m.draining = true;
                    for a in m.tasks.iter_mut().filter(|a| a.live() && a.stop.is_none()) {
                        a.stop = Some(0.0);
                        a.stop_since = now;
                    }
                }
                return;
            }
        }
    }

    fn can_empty(&self, ix: u32, now: Ms) -> bool {
        let Some(from) = self.model.machine(ix) else {
            return false;
        };
        let price = |m: &crate::bookkeeping::model::Machine| {
            let t = &self.model.types[m.type_ix];
            if m.spot { t.spot_price } else { t.price }
        };
        // One that has long been of no other use may cost its services a
        // fetch.
        let long = now >= from.batch_until + 3 * millis(self.options.idle_s);
        let mut room: Vec<(u32, Amounts)> = Vec::new();
        for (to, m) in self.model.machines.iter().enumerate() {
            if let Some(m) = m
                && to as u32 != ix
                && m.usable()
                && m.held_for.is_none()
                && price(m) <= price(from) * 1.01
                && m.live_tasks() > 0
            {
                room.push((to as u32, m.free()));
            }
        }
        for a in from.tasks.iter().filter(|a| a.live()) {
            let Some(job) = self.model.job(a.job) else {
                return false;
            };
            if a.phase != Phase::Running || job.cancelled || job.cancel_wanted {
                return false;
            }
            let found = room.iter_mut().find(|(to, free)| {
                a.need.fits(free)
                    && self.model.machine(*to).is_some_and(|m| {
                        job.types.get(m.type_ix).copied().unwrap_or(false)
                            && job.zone.is_none_or(|z| z == m.zone)
                            && (job.spec.spot || !m.spot)
                            && (m.zone == from.zone || !(job.spec.one_zone || job.spec.spread))
                            && (m.images.contains(&job.image)
                                || long
                                    && job.spec.image_gb
                                        <= self.model.types[m.type_ix].fetch_gb_per_s
                                            * SHORT_FETCH_S)
                    })
            });
            match found {
                Some((_, free)) => *free -= a.need,
                None => return false,
            }
        }
        true
    }

    fn boot_s(&self, types: &[bool]) -> f64 {
        self.model
            .types
            .iter()
            .zip(types)
            .filter(|(_, allowed)| **allowed)
            .map(|(t, _)| t.boot_s)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    fn purchases(&mut self, now: Ms, wall_ms: u64) -> Vec<Rent> {
        let mut bins = Vec::new();
        let mut coming_bins = Vec::new();
        let mut batch_held = Vec::new();
        for (ix, m) in self.model.machines.iter().enumerate() {
            let Some(m) = m else { continue };
            let boot = millis(self.model.types[m.type_ix].boot_s);
            // One that is long overdue is not counted on any more.
            let coming = !m.up
                && m.session == 0
                && !m.releasing
                && !m.unknown
                && now < m.since + boot + boot * 7 / 10;
            if coming || (m.up && m.roster == Roster::Absent && !m.releasing) || m.usable() {
                if coming {
                    coming_bins.push((bins.len(), ix as u32));
                }
                // What batches hold turns over soon.
                batch_held.push(self.held_by_batches(m));
                bins.push(Bin {
                    type_ix: m.type_ix,
                    zone: m.zone,
                    spot: m.spot,
                    free: m.free(),
                });
            }
        }
        let mut offers = Vec::new();
        for (type_ix, t) in self.model.types.iter().enumerate() {
            for zone in &t.zones {
                let Some(zone) = self.model.zones.find(zone) else {
                    continue;
                };
                for spot in [false, true] {
                    offers.push(Offer {
                        type_ix,
                        zone,
                        spot,
                        capacity: Amounts::offer(t.cpus, t.gpus, t.memory_gb),
                        price: if spot { t.spot_price } else { t.price },
                        refused: self
                            .refused
                            .get(&(type_ix, zone, spot))
                            .is_some_and(|until| now < *until),
                    });
                }
            }
        }
        let order = self.queue();
        let free_before: Vec<Amounts> = bins.iter().map(|b| b.free).collect();
        let mut room: HashMap<usize, Amounts> = HashMap::new();
        let mut demands = Vec::new();
        let mut batch_demands = Vec::new();
        for &ix in &order {
            let Some(j) = self.model.job(ix) else {
                continue;
            };
            if j.failures > 5 {
                continue;
            }
            let waiting = i64::from(j.waiting());
            let mut count = waiting;
            // What the team may not run yet needs no machine yet.
            let planned = room.entry(j.team).or_default();
            while count > 0 {
                let mut all = j.need.scaled(count);
                all += *planned;
                if self.model.within_limit(j.team, &all, 1) {
                    break;
                }
                count -= 1;
            }
            *planned += j.need.scaled(count);
            if count <= 0 {
                continue;
            }
            let mut demand = Demand {
                need: j.need,
                count,
                types: j.types.clone(),
                zone: j.zone,
                spot: j.spec.spot,
                per_zone: j.spec.spread.then(|| i64::from(j.spec.tasks.div_ceil(2))),
            };
            if j.spec.kind == Kind::Array {
                let age = wall_ms.saturating_sub(j.at_ms) as f64 / 1000.0;
                let left = j
                    .spec
                    .deadline_s
                    .map(|d| d - age - self.boot_s(&j.types) - 5.0);
                let live = i64::from(j.live);
                demand.count = provision::parallel(count, live, j.spec.estimate_s, left);
                batch_demands.push(demand);
            } else {
                demands.push(demand);
            }
            if demands.len() + batch_demands.len() >= 200 {
                break;
            }
        }
        self.order = order;
        let mut bought = provision::plan(&demands, &mut bins, &offers);
        // Batches may use what high priority leaves.
        let mut room: Vec<Bin> = bins.clone();
        bought.extend(provision::plan(&batch_demands, &mut bins, &offers));
        let untouched: Vec<bool> = bins
            .iter()
            .zip(&free_before)
            .map(|(b, before)| b.free == *before)
            .collect();
        let spares: Vec<Demand> = self
            .spares()
            .into_iter()
            .map(|r| Demand {
                need: r.need,
                count: r.wanted,
                types: r.types,
                zone: None,
                spot: r.spot,
                per_zone: None,
            })
            .collect();
        for (bin, held) in room.iter_mut().zip(batch_held) {
            bin.free += held;
        }
        bought.extend(provision::plan(&spares, &mut room, &offers));
        // A machine that still boots when its work is gone is given back, once
        // the least that it costs is spent.
        for (bin, ix) in coming_bins {
            if let Some(m) = self.model.machine(ix)
                && untouched[bin]
                && now > m.since + LEAST_CHARGE
            {
                self.release(ix, "no longer needed", now);
            }
        }
        bought
            .into_iter()
            .map(|p| {
                self.requests += 1;
                Rent {
                    request: format!("r-{}-{}", self.term, self.requests),
                    type_name: self.model.types[p.type_ix].name.clone(),
                    zone: self.model.zones.name(p.zone).to_owned(),
                    spot: p.spot,
                    count: p.count.min(50),
                }
            })
            .collect()
    }

    /// `None`: no answer; the machines, if any, show in the list.
    pub fn rented(&mut self, rent: &Rent, names: Option<&[String]>, now: Ms) {
        self.renting = self.renting.saturating_sub(1);
        let names = names.unwrap_or(&[]);
        log::info!(
            "rented {} of {} {} in {}{}",
            names.len(),
            rent.count,
            rent.type_name,
            rent.zone,
            if rent.spot { ", spot" } else { "" }
        );
        for name in names {
            self.model
                .insert_machine(name, "", &rent.type_name, &rent.zone, rent.spot, now);
        }
        if (names.len() as u32) < rent.count
            && let (Some(t), Some(z)) = (
                self.model.type_index(&rent.type_name),
                self.model.zones.find(&rent.zone),
            )
        {
            self.refused.insert((t, z, rent.spot), now + REFUSED);
        }
    }

    /// The cloud answered a release: the machines are gone.
    pub fn released(&mut self, names: &[String], ok: bool, now: Ms) {
        for name in names {
            let Some(ix) = self.model.machine_ix(name) else {
                continue;
            };
            if !ok {
                if let Some(m) = self.model.machine_mut(ix) {
                    m.release_sent = false;
                }
                continue;
            }
            if let Some(m) = self.model.machine(ix)
                && m.roster == Roster::Present
            {
                self.drops.push((name.clone(), m.version));
            }
            self.model.remove_machine(ix);
            self.released.insert(name.clone(), now);
            self.changed = true;
        }
        if self.released.len() > 5000 {
            self.released.retain(|_, at| now < *at + 600_000);
        }
    }
}

/// Within a priority, jobs are served in arrival order, but those that have
/// missed their deadline let the others pass, until a later aim for them (or
/// three times the deadline) draws near.
fn deadline_band(spec: &JobSpec, objectives: &[Objective], age_ms: u64) -> u8 {
    let Some(due) = spec.deadline_s else {
        return 1;
    };
    let age = age_ms as f64 / 1000.0;
    if due - age >= spec.estimate_s * 0.8 {
        return 1;
    }
    let last = objectives
        .iter()
        .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(spec.class.as_str()))
        .filter_map(|o| o.times)
        .fold(1.0, f64::max);
    let last = if last > 1.0 { last } else { 3.0 };
    let near = last * due - age < spec.estimate_s * 1.5 + 0.2 * due;
    if near { 0 } else { 2 }
}

impl Reserve {
    fn covers(&self, type_ix: usize, spot: bool) -> bool {
        self.types.get(type_ix).copied().unwrap_or(false) && (self.spot || !spot)
    }

    /// How many fewer would fit with this task placed.
    fn loss(&self, free: &Amounts, need: &Amounts) -> i64 {
        free.count(&self.need).min(1000) - free.minus(*need).count(&self.need).min(1000)
    }
}

/// The transaction that accepts a job on a node that can't reach a leader,
/// with a notice for the leader to come.
pub fn acceptance_with_notice(record: &JobRecord) -> Txn {
    let mut txn = acceptance(record);
    txn.writes.push(Write::Put {
        key: records::notice_key(&record.spec.id),
        value: serde_json::Value::Bool(true),
        lease: None,
    });
    txn
}

/// The transaction that accepts a job, by any node.
fn acceptance(record: &JobRecord) -> Txn {
    let id = &record.spec.id;
    Txn {
        guards: vec![
            Guard {
                key: job_key(id),
                version: 0,
            },
            Guard {
                key: final_key(id),
                version: 0,
            },
        ],
        writes: vec![Write::Put {
            key: job_key(id),
            value: serde_json::to_value(record).unwrap_or_default(),
            lease: None,
        }],
    }
}

fn job_record(j: &crate::bookkeeping::model::Job, cancelled: bool) -> serde_json::Value {
    serde_json::to_value(JobRecord {
        spec: j.spec.clone(),
        at_ms: j.at_ms,
        cancelled: cancelled || j.cancelled,
        done: j.done.chunk(0),
    })
    .unwrap_or_default()
}

impl Leader {
    /// All records have been read. Workers were answered meanwhile, so their
    /// leases count from now.
    pub fn finish_loading(&mut self, now: Ms) {
        self.loaded = true;
        self.arrivals.make_contiguous().sort_unstable();
        for m in self.model.machines.iter_mut().flatten() {
            m.answered = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_batch_past_its_deadline_lets_others_pass_until_its_last_aim_is_near() {
        let spec = JobSpec::parse(
            br#"{"ref":"j-000001","job_family":"c","owner_crew":"t","run_shape":"array",
                "urgency":"normal","pieces":3,"cores":1.0,"accelerators":0.0,"memory_gb":1.0,
                "bundle":"i","image_gb":1.0,"same_place":false,"apart":false,"lendback":true,
                "expected_s":20.0,"snapshot_every_s":0.0,"snapshot_cost_s":0.0,"due_s":100.0}"#,
        )
        .unwrap();
        let aim = |times| Objective {
            kind: "deadline".into(),
            class: Some("c".into()),
            within_s: None,
            times: Some(times),
        };
        let band = |age_s: u64, aims: &[Objective]| deadline_band(&spec, aims, age_s * 1000);
        let aims = [aim(1.0), aim(1.5)];
        assert_eq!(band(0, &aims), 1);
        assert_eq!(band(90, &aims), 2);
        assert_eq!(band(110, &aims), 0);
        // Without a later aim it still does not wait for ever.
        assert_eq!(band(110, &[]), 2);
        assert_eq!(band(280, &[]), 0);
    }
}
