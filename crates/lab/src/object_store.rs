//! What lies outside the machines: descriptions that users uploaded, results
//! and checkpoints, how gangs find each other, and a check of what must never
//! happen.

use crate::{Millis, millis};
use fastrand::Rng;
use pathwinch_protocol::users::{JobSpec, Kind};
use std::collections::{BTreeSet, HashMap, HashSet};

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    cancelled: Option<Millis>,
}

/// The tasks of one attempt of a gang.
#[derive(Debug, Default)]
struct Gang {
    ready: BTreeSet<u32>,
    started: Option<Millis>,
    /// A task is gone: the others notice at this time.
    broken: Option<Millis>,
    first_stop: Option<Millis>,
    stopping: BTreeSet<u32>,
    saved: bool,
    done: bool,
}

/// How things stand for a gang's task that runs.
#[derive(Debug, PartialEq)]
pub enum GangState {
    Waiting,
    Running,
    Done,
    PeersGone,
}

/// A task that came to be on its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    pub job: String,
    pub task: u32,
    pub at: Millis,
}

#[derive(Debug)]
pub struct ObjectStore {
    jobs: HashMap<String, Job>,
    finished: HashSet<String>,
    /// Progress that is stored: by task, of gangs by job.
    saved: HashMap<String, Millis>,
    gangs: HashMap<(String, u64), Gang>,
    /// Which machine each task is on.
    on: HashMap<String, String>,
    /// Which market each offloaded job is at.
    lent: HashMap<String, String>,
    lent_ever: usize,
    broken: Vec<String>,
    /// Starts since they were last taken, if anybody takes them.
    starts: Option<Vec<Started>>,
    failing: f64,
    failed_once: HashSet<String>,
    peer_ms: Millis,
    cancel_ms: Millis,
    seed: u64,
}

/// What was done wrong is kept up to so many lines.
const MOST_BROKEN: usize = 1000;

fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

fn number_of(task: &str) -> u32 {
    task.rsplit_once('/')
        .and_then(|(_, n)| n.parse().ok())
        .unwrap_or(0)
}

impl ObjectStore {
    pub fn new(seed: u64, failing: f64, peer_ms: Millis, cancel_ms: Millis) -> Self {
        ObjectStore {
            jobs: HashMap::new(),
            finished: HashSet::new(),
            saved: HashMap::new(),
            gangs: HashMap::new(),
            on: HashMap::new(),
            lent: HashMap::new(),
            lent_ever: 0,
            broken: Vec::new(),
            starts: None,
            failing,
            failed_once: HashSet::new(),
            peer_ms,
            cancel_ms,
            seed,
        }
    }

    /// A user uploads what is to run.
    pub fn upload(&mut self, spec: &JobSpec) {
        self.jobs.entry(spec.id.clone()).or_insert_with(|| Job {
            spec: spec.clone(),
            cancelled: None,
        });
    }

    /// A user was told that the job is cancelled.
    pub fn cancelled(&mut self, id: &str, now: Millis) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled.get_or_insert(now);
        }
    }

    /// The description of a task's job, if there is such a task.
    pub fn spec(&self, task: &str) -> Option<&JobSpec> {
        let spec = &self.jobs.get(job_of(task))?.spec;
        (number_of(task) < spec.tasks).then_some(spec)
    }

    pub fn violations(&self) -> &[String] {
        &self.broken
    }

    pub fn finished(&self) -> usize {
        self.finished.len()
    }

    pub fn on_machines(&self) -> usize {
        self.on.len()
    }

    fn record_violation(&mut self, what: String) {
        log::warn!("rule broken: {what}");
        if self.broken.len() < MOST_BROKEN {
            self.broken.push(what);
        }
    }

    /// A task has its image and is on its machine from now on.
    pub fn task_started(&mut self, task: &str, machine: &str, now: Millis) {
        if let Some(other) = self.on.get(task).filter(|m| *m != machine) {
            let what = format!("{task} started on {machine} while on {other}");
            self.record_violation(what);
        }
        if let Some(market) = self.lent.get(job_of(task)).cloned() {
            self.record_violation(format!("{task} started on {machine} while at {market}"));
        }
        let late = self
            .jobs
            .get(job_of(task))
            .and_then(|j| j.cancelled)
            .is_some_and(|at| now > at + self.cancel_ms);
        if late {
            self.record_violation(format!("{task} started after its job was withdrawn"));
        }
        self.on.insert(task.to_owned(), machine.to_owned());
        if let Some(starts) = &mut self.starts {
            starts.push(Started {
                job: job_of(task).to_owned(),
                task: number_of(task),
                at: now,
            });
        }
    }

    /// Starts since the last call; they are kept from the first call on.
    pub fn take_starts(&mut self) -> Vec<Started> {
        self.starts.replace(Vec::new()).unwrap_or_default()
    }

    /// A market starts a job.
    pub fn job_offloaded(&mut self, job: &str, market: &str) {
        self.lent_ever += 1;
        let prefix = format!("{job}/");
        if let Some(other) = self.lent.get(job) {
            let what = format!("{job} started at {market} while at {other}");
            self.record_violation(what);
        } else if self.on.keys().any(|t| t.starts_with(&prefix)) {
            self.record_violation(format!("{job} started at {market} while on machines"));
        }
        self.lent.insert(job.to_owned(), market.to_owned());
    }

    /// Nothing of it runs at that market any more.
    pub fn job_returned(&mut self, job: &str, market: &str) {
        if self.lent.get(job).is_some_and(|m| m == market) {
            self.lent.remove(job);
        }
    }

    /// Jobs at markets now, and how many there were in all.
    pub fn offloaded_counts(&self) -> (usize, usize) {
        (self.lent.len(), self.lent_ever)
    }

    /// A task has left its machine.
    pub fn task_left(&mut self, task: &str, machine: &str) {
        if self.on.get(task).is_some_and(|m| m == machine) {
            self.on.remove(task);
        }
    }

    pub fn is_finished(&self, task: &str) -> bool {
        self.finished.contains(task)
    }

    pub fn finish(&mut self, task: &str) {
        self.finished.insert(task.to_owned());
    }

    /// Whether this start of the task fails: the first one of some.
    pub fn fails(&mut self, task: &str) -> bool {
        let mut rng = self.rng(task, 1);
        if rng.f64() >= self.failing || self.failed_once.contains(task) {
            return false;
        }
        self.failed_once.insert(task.to_owned());
        true
    }

    fn rng(&self, name: &str, salt: u64) -> Rng {
        // FNV-1a, so that a run time doesn't depend on the order of starts.
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
        });
        Rng::with_seed(hash ^ self.seed.wrapping_mul(0x9e37_79b9) ^ salt)
    }

    /// How long a task runs from its start to its end; `None`: until stopped.
    fn run_ms(&self, task: &str) -> Option<Millis> {
        let spec = self.spec(task)?;
        let name = match spec.kind {
            Kind::Service => return None,
            Kind::Gang => job_of(task),
            Kind::Array => task,
        };
        let factor = 0.5 + self.rng(name, 0).f64();
        Some(((spec.estimate_s * 1000.0 * factor) as Millis).max(1))
    }

    fn progress_name<'a>(spec: &JobSpec, task: &'a str) -> &'a str {
        match spec.kind {
            Kind::Gang => job_of(task),
            _ => task,
        }
    }

    /// What is left of a task's run time.
    pub fn left_ms(&self, task: &str) -> Option<Millis> {
        let run = self.run_ms(task)?;
        let spec = self.spec(task)?;
        let saved = self.saved.get(Self::progress_name(spec, task)).copied();
        Some(run.saturating_sub(saved.unwrap_or(0)).max(1))
    }

    /// The task has run for so long since its start: what it has reached is
    /// kept if it was saved, else as of the last checkpoint.
    pub fn ran(&mut self, task: &str, ran: Millis, saved: bool) {
        let Some(spec) = self.spec(task) else { return };
        let every = millis(spec.checkpoint_interval_s);
        if every == 0 {
            return;
        }
        let name = Self::progress_name(spec, task).to_owned();
        let stored = self.saved.entry(name).or_insert(0);
        let reached = *stored + ran;
        let kept = match saved {
            true => reached,
            false => reached / every * every,
        };
        *stored = kept.max(*stored);
    }

    fn gang(&mut self, task: &str, attempt: u64) -> &mut Gang {
        let key = (job_of(task).to_owned(), attempt);
        self.gangs.entry(key).or_default()
    }

    /// A gang's task waits for the others. Starts them when it is the last.
    pub fn gang_task_waits(&mut self, task: &str, attempt: u64, now: Millis) {
        let Some(tasks) = self.spec(task).map(|s| s.tasks as usize) else {
            return;
        };
        let gang = self.gang(task, attempt);
        gang.ready.insert(number_of(task));
        if gang.ready.len() >= tasks && gang.started.is_none() {
            gang.started = Some(now);
        }
    }

    pub fn gang_state(&mut self, task: &str, attempt: u64, now: Millis) -> GangState {
        let left = self.left_ms(task).unwrap_or(1);
        let gang = self.gang(task, attempt);
        if gang.done {
            return GangState::Done;
        }
        if gang.broken.is_some_and(|at| now >= at) {
            return GangState::PeersGone;
        }
        match gang.started {
            None => GangState::Waiting,
            Some(at) if gang.first_stop.is_none() && gang.broken.is_none() && now >= at + left => {
                gang.done = true;
                GangState::Done
            }
            Some(_) => GangState::Running,
        }
    }

    /// A gang's task is gone, not being done.
    pub fn gang_lost(&mut self, task: &str, attempt: u64, now: Millis) {
        let notice = self.peer_ms / 2;
        let gang = self.gang(task, attempt);
        if gang.done || gang.saved {
            return;
        }
        let Some(started) = gang.started else {
            gang.ready.remove(&number_of(task));
            return;
        };
        if gang.broken.is_some() {
            return;
        }
        gang.broken = Some(now + notice);
        let ran = gang.first_stop.unwrap_or(now).saturating_sub(started);
        self.ran(task, ran, false);
    }

    /// A gang's task is told to stop with time to save.
    pub fn gang_stopping(&mut self, task: &str, attempt: u64, now: Millis) {
        let gang = self.gang(task, attempt);
        gang.first_stop.get_or_insert(now);
        gang.stopping.insert(number_of(task));
    }

    /// A task has saved: `Some(true)` when all were told in time, `Some(false)`
    /// when they surely were not.
    pub fn gang_saved(&mut self, task: &str, attempt: u64, now: Millis) -> Option<bool> {
        let tasks = self.spec(task)?.tasks as usize;
        let peer_ms = self.peer_ms;
        let gang = self.gang(task, attempt);
        if gang.saved {
            return Some(true);
        }
        let (first, started) = (gang.first_stop?, gang.started?);
        if gang.broken.is_none() && gang.stopping.len() >= tasks {
            gang.saved = true;
            self.ran(task, first.saturating_sub(started), true);
            return Some(true);
        }
        if now >= first + peer_ms || gang.broken.is_some() {
            self.gang_lost(task, attempt, now);
            return Some(false);
        }
        None
    }
}
