//! Simulated object store and rendezvous service of the workers: job descriptions that
//! users uploaded, results, checkpoints, and the state that gang tasks share. Also
//! checks invariants: no task or job runs in two places at once, and no task starts
//! after its job was cancelled or stays on its machine.

use crate::{Millis, millis};
use fastrand::Rng;
use pathwinch_protocol::users::{JobSpec, Kind};
use std::collections::{BTreeSet, HashMap, HashSet};

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    /// When a user was first told that the job is cancelled.
    cancelled: Option<Millis>,
}

/// Shared state of the tasks of one attempt of a gang.
#[derive(Debug, Default)]
struct Gang {
    /// Tasks that wait for the others.
    ready: BTreeSet<u32>,
    /// When the last task became ready.
    started: Option<Millis>,
    /// When the other tasks notice that one is lost.
    loss_noticed_at: Option<Millis>,
    /// When the first task was told to stop.
    first_stop_at: Option<Millis>,
    /// Tasks that were told to stop and save a checkpoint.
    stopping: BTreeSet<u32>,
    saved: bool,
    done: bool,
}

/// State of a gang as one of its tasks sees it.
#[derive(Debug, PartialEq)]
pub enum GangState {
    Waiting,
    Running,
    Done,
    PeersGone,
}

/// The start of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    pub job: String,
    pub task: u32,
    pub at: Millis,
}

/// The stored data and the invariant checks.
#[derive(Debug)]
pub struct ObjectStore {
    jobs: HashMap<String, Job>,
    finished: HashSet<String>,
    /// Run time in milliseconds that checkpoints hold, by task, or by job for gangs.
    saved: HashMap<String, Millis>,
    gangs: HashMap<(String, u64), Gang>,
    /// The machine on which each task is.
    machine_by_task: HashMap<String, String>,
    /// The market at which each offloaded job runs.
    market_by_job: HashMap<String, String>,
    /// Number of jobs started at markets so far.
    offloaded_total: usize,
    /// Descriptions of the invariants that were violated.
    violations: Vec<String>,
    /// Tasks that were found on a machine too long after their job was cancelled.
    overdue_tasks: HashSet<String>,
    /// Task starts since the last `take_starts`; `None` before its first call.
    starts: Option<Vec<Started>>,
    /// Probability that a task fails at its first start.
    failure_share: f64,
    failed_once: HashSet<String>,
    /// Time within which a gang notices that one of its tasks is lost.
    peer_loss_ms: Millis,
    /// Time after a cancellation during which tasks may still start.
    cancel_limit_ms: Millis,
    seed: u64,
}

/// Maximum number of violations that are kept.
const MAX_VIOLATIONS: usize = 1000;

fn job_id(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

fn task_number(task: &str) -> u32 {
    task.rsplit_once('/')
        .and_then(|(_, n)| n.parse().ok())
        .unwrap_or(0)
}

impl ObjectStore {
    pub fn new(
        seed: u64,
        failure_share: f64,
        peer_loss_ms: Millis,
        cancel_limit_ms: Millis,
    ) -> Self {
        ObjectStore {
            jobs: HashMap::new(),
            finished: HashSet::new(),
            saved: HashMap::new(),
            gangs: HashMap::new(),
            machine_by_task: HashMap::new(),
            market_by_job: HashMap::new(),
            offloaded_total: 0,
            violations: Vec::new(),
            overdue_tasks: HashSet::new(),
            starts: None,
            failure_share,
            failed_once: HashSet::new(),
            peer_loss_ms,
            cancel_limit_ms,
            seed,
        }
    }

    /// Stores a job description; a later upload for the same job is ignored.
    pub fn upload(&mut self, spec: &JobSpec) {
        self.jobs.entry(spec.id.clone()).or_insert_with(|| Job {
            spec: spec.clone(),
            cancelled: None,
        });
    }

    /// Records that a user was told that the job is cancelled.
    pub fn record_cancellation(&mut self, id: &str, now: Millis) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled.get_or_insert(now);
        }
    }

    /// Returns the description of a task's job, if the task exists.
    pub fn spec(&self, task: &str) -> Option<&JobSpec> {
        let spec = &self.jobs.get(job_id(task))?.spec;
        (task_number(task) < spec.tasks).then_some(spec)
    }

    /// Violations of invariants, up to [`MAX_VIOLATIONS`].
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of tasks that are done.
    pub fn finished_count(&self) -> usize {
        self.finished.len()
    }

    /// Number of tasks that are on machines.
    pub fn tasks_on_machines(&self) -> usize {
        self.machine_by_task.len()
    }

    fn record_violation(&mut self, violation: String) {
        log::warn!("testbed: invariant violated: {violation}");
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Records that a task has its image and is on its machine from now on. Checks that
    /// it is not on another machine or at a market, and that its job was not cancelled
    /// too long ago.
    pub fn task_started(&mut self, task: &str, machine: &str, now: Millis) {
        if let Some(other) = self.machine_by_task.get(task).filter(|m| *m != machine) {
            let violation = format!("{task} started on {machine} while on {other}");
            self.record_violation(violation);
        }
        if let Some(market) = self.market_by_job.get(job_id(task)).cloned() {
            self.record_violation(format!("{task} started on {machine} while at {market}"));
        }
        let late = self
            .jobs
            .get(job_id(task))
            .and_then(|j| j.cancelled)
            .is_some_and(|at| now > at + self.cancel_limit_ms);
        if late {
            self.record_violation(format!("{task} started after its job was cancelled"));
        }
        self.machine_by_task
            .insert(task.to_owned(), machine.to_owned());
        if let Some(starts) = &mut self.starts {
            starts.push(Started {
                job: job_id(task).to_owned(),
                task: task_number(task),
                at: now,
            });
        }
    }

    /// Checks that no task is still on a machine when the time limit of the cancellation of its
    /// job is over. A task is reported once.
    pub fn check_cancelled_tasks(&mut self, now: Millis) {
        let is_overdue = |task: &str| {
            let cancelled = self.jobs.get(job_id(task)).and_then(|job| job.cancelled);
            cancelled.is_some_and(|at| now > at + self.cancel_limit_ms)
        };
        let tasks = self.machine_by_task.iter();
        let overdue: Vec<(String, String)> = tasks
            .filter(|(task, _)| is_overdue(task) && !self.overdue_tasks.contains(*task))
            .map(|(task, machine)| (task.clone(), machine.clone()))
            .collect();
        for (task, machine) in overdue {
            self.record_violation(format!(
                "{task} is on {machine} although its job was cancelled"
            ));
            self.overdue_tasks.insert(task);
        }
    }

    /// Returns the task starts since the last call. Starts are recorded from the first
    /// call on.
    pub fn take_starts(&mut self) -> Vec<Started> {
        self.starts.replace(Vec::new()).unwrap_or_default()
    }

    /// Records that a market starts a job. Checks that the job is not at another market or
    /// on machines.
    pub fn job_offloaded(&mut self, job: &str, market: &str) {
        self.offloaded_total += 1;
        let prefix = format!("{job}/");
        if let Some(other) = self.market_by_job.get(job) {
            let violation = format!("{job} started at {market} while at {other}");
            self.record_violation(violation);
        } else if self.machine_by_task.keys().any(|t| t.starts_with(&prefix)) {
            self.record_violation(format!(
                "{job} started at {market} while its tasks are on machines"
            ));
        }
        self.market_by_job.insert(job.to_owned(), market.to_owned());
    }

    /// Records that the job does not run at the market any more.
    pub fn job_returned(&mut self, job: &str, market: &str) {
        if self.market_by_job.get(job).is_some_and(|m| m == market) {
            self.market_by_job.remove(job);
        }
    }

    /// Number of jobs at markets now, and number of jobs started at markets so far.
    pub fn offloaded_counts(&self) -> (usize, usize) {
        (self.market_by_job.len(), self.offloaded_total)
    }

    /// Records that a task has left its machine.
    pub fn task_left(&mut self, task: &str, machine: &str) {
        if self.machine_by_task.get(task).is_some_and(|m| m == machine) {
            self.machine_by_task.remove(task);
        }
    }

    /// Whether a task is done.
    pub fn is_finished(&self, task: &str) -> bool {
        self.finished.contains(task)
    }

    /// Records that a task is done.
    pub fn record_finished(&mut self, task: &str) {
        self.finished.insert(task.to_owned());
    }

    /// Whether this start of the task fails. Each task fails at most once, and only tasks
    /// that the seed selects do.
    pub fn start_fails(&mut self, task: &str) -> bool {
        let mut rng = self.rng(task, 1);
        if rng.f64() >= self.failure_share || self.failed_once.contains(task) {
            return false;
        }
        self.failed_once.insert(task.to_owned());
        true
    }

    fn rng(&self, name: &str, salt: u64) -> Rng {
        // The seed comes from an FNV-1a hash of the name, so that run times do not depend
        // on the order of the starts.
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
        });
        Rng::with_seed(hash ^ self.seed.wrapping_mul(0x9e37_79b9) ^ salt)
    }

    /// Returns the total run time of a task; `None` if it runs until it is stopped. All
    /// tasks of a gang have the same run time.
    fn run_ms(&self, task: &str) -> Option<Millis> {
        let spec = self.spec(task)?;
        let name = match spec.kind {
            Kind::Service => return None,
            Kind::Gang => job_id(task),
            Kind::Array => task,
        };
        let factor = 0.5 + self.rng(name, 0).f64();
        Some(((spec.estimate_s * 1000.0 * factor) as Millis).max(1))
    }

    /// Returns the key of a task's progress: a gang has one for all its tasks.
    fn progress_name<'a>(spec: &JobSpec, task: &'a str) -> &'a str {
        match spec.kind {
            Kind::Gang => job_id(task),
            _ => task,
        }
    }

    /// Returns the run time that is left to a task after its last checkpoint; `None` if
    /// it runs until it is stopped.
    pub fn left_ms(&self, task: &str) -> Option<Millis> {
        let run = self.run_ms(task)?;
        let spec = self.spec(task)?;
        let saved = self.saved.get(Self::progress_name(spec, task)).copied();
        Some(run.saturating_sub(saved.unwrap_or(0)).max(1))
    }

    /// Stores the progress of a task that stops `ran` milliseconds after its start: all
    /// of it if a checkpoint was `saved` at the end, else up to the last periodic
    /// checkpoint.
    pub fn record_progress(&mut self, task: &str, ran: Millis, saved: bool) {
        let Some(spec) = self.spec(task) else { return };
        let interval = millis(spec.checkpoint_interval_s);
        if interval == 0 {
            return;
        }
        let name = Self::progress_name(spec, task).to_owned();
        let stored = self.saved.entry(name).or_insert(0);
        let reached = *stored + ran;
        let stored_progress = match saved {
            true => reached,
            false => reached / interval * interval,
        };
        *stored = stored_progress.max(*stored);
    }

    fn gang(&mut self, task: &str, attempt: u64) -> &mut Gang {
        let key = (job_id(task).to_owned(), attempt);
        self.gangs.entry(key).or_default()
    }

    /// Records that a gang task waits for the others. The last one starts the gang.
    pub fn gang_task_ready(&mut self, task: &str, attempt: u64, now: Millis) {
        let Some(tasks) = self.spec(task).map(|s| s.tasks as usize) else {
            return;
        };
        let gang = self.gang(task, attempt);
        gang.ready.insert(task_number(task));
        if gang.ready.len() >= tasks && gang.started.is_none() {
            gang.started = Some(now);
        }
    }

    /// Returns the state of the gang as one of its tasks sees it.
    pub fn gang_state(&mut self, task: &str, attempt: u64, now: Millis) -> GangState {
        let left = self.left_ms(task).unwrap_or(1);
        let gang = self.gang(task, attempt);
        if gang.done {
            return GangState::Done;
        }
        if gang.loss_noticed_at.is_some_and(|at| now >= at) {
            return GangState::PeersGone;
        }
        match gang.started {
            None => GangState::Waiting,
            Some(at)
                if gang.first_stop_at.is_none()
                    && gang.loss_noticed_at.is_none()
                    && now >= at + left =>
            {
                gang.done = true;
                GangState::Done
            }
            Some(_) => GangState::Running,
        }
    }

    /// Records that a gang task ended before the gang was done. The other tasks notice
    /// after half of the time allowed for that.
    pub fn gang_task_lost(&mut self, task: &str, attempt: u64, now: Millis) {
        let notice_ms = self.peer_loss_ms / 2;
        let gang = self.gang(task, attempt);
        if gang.done || gang.saved {
            return;
        }
        let Some(started) = gang.started else {
            gang.ready.remove(&task_number(task));
            return;
        };
        if gang.loss_noticed_at.is_some() {
            return;
        }
        gang.loss_noticed_at = Some(now + notice_ms);
        let ran = gang.first_stop_at.unwrap_or(now).saturating_sub(started);
        self.record_progress(task, ran, false);
    }

    /// Records that a gang task is told to stop, with enough time to save a checkpoint.
    pub fn gang_task_stopping(&mut self, task: &str, attempt: u64, now: Millis) {
        let gang = self.gang(task, attempt);
        gang.first_stop_at.get_or_insert(now);
        gang.stopping.insert(task_number(task));
    }

    /// Records that a gang task has saved its part of a checkpoint. Returns `Some(true)`
    /// if the checkpoint is complete because all tasks were told to stop in time,
    /// `Some(false)` if it cannot be completed any more, and `None` while that is open.
    pub fn gang_task_saved(&mut self, task: &str, attempt: u64, now: Millis) -> Option<bool> {
        let tasks = self.spec(task)?.tasks as usize;
        let peer_loss_ms = self.peer_loss_ms;
        let gang = self.gang(task, attempt);
        if gang.saved {
            return Some(true);
        }
        let (first, started) = (gang.first_stop_at?, gang.started?);
        if gang.loss_noticed_at.is_none() && gang.stopping.len() >= tasks {
            gang.saved = true;
            self.record_progress(task, first.saturating_sub(started), true);
            return Some(true);
        }
        if now >= first + peer_loss_ms || gang.loss_noticed_at.is_some() {
            self.gang_task_lost(task, attempt, now);
            return Some(false);
        }
        None
    }
}

#[cfg(test)]
mod tests;
