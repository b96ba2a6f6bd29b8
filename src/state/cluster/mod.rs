//! The leader's cluster state of jobs, machines and what runs where. Names are
//! mapped to dense indices at the door; everything inside uses those.

mod interner;
mod job;
mod machine;
mod replication;
mod stale;

pub use interner::Interner;
pub use job::{Job, Placement};
pub use machine::{Assignment, DIRECT_COMMAND_TIMEOUT_MS, Machine, Phase, Registration};
use stale::StaleMachines;

use super::{
    Millis,
    dependencies::Readiness,
    fault_attribution::{JobFailures, MachineFailures},
    offload::OffloadState,
    records::{TaskBitmap, inline_record_size},
    resources::Resources,
};
use crate::protocol::{
    cloud::MachineType,
    settings::{Settings, Team},
    status::Reason,
    users::{JobSpec, Kind},
    workers::ExitReason,
};
use std::{
    cell::Cell,
    collections::{BTreeSet, HashMap},
};

pub const NONE: u32 = u32::MAX;
/// Images that are noted of a machine, so that its record stays small.
const MAX_IMAGES_PER_MACHINE: usize = 32;
const DONE: u32 = u32::MAX - 1;

#[derive(Debug, Default)]
pub struct ClusterState {
    pub zones: Interner,
    pub team_names: Interner,
    pub teams: Vec<Team>,
    pub team_usage: Vec<Resources>,
    pub types: Vec<MachineType>,
    pub images: Interner,
    /// Their sizes, as far as known.
    image_gb: Vec<f64>,
    pub jobs: Vec<Option<Job>>,
    free_jobs: Vec<u32>,
    /// Of the job that was inserted last.
    last_generation: u64,
    job_index_by_id: HashMap<String, u32>,
    machines: Vec<Option<Machine>>,
    /// Machines looked at, one by one or in a pass over all: what tests of
    /// the work done go by.
    inspections: Cell<u64>,
    free_machines: Vec<u32>,
    /// Machines that may have changed since `take_stale`.
    stale_machines: StaleMachines,
    machine_index_by_name: HashMap<String, u32>,
    /// Changes of what is, or may be, on machines.
    pub change_count: u64,
    /// The latest change of which a start was sent.
    pub latest_sent_change: u64,
    /// Machines that changed since standbys were last told, if any are.
    changed_machines: Option<BTreeSet<String>>,
}

impl ClusterState {
    pub fn new(settings: &Settings, types: Vec<MachineType>) -> Self {
        let mut m = ClusterState {
            types,
            ..ClusterState::default()
        };
        for z in &settings.cluster.zones {
            m.zones.intern(z);
        }
        for t in &settings.cluster.teams {
            m.team_names.intern(&t.name);
        }
        m.teams = settings.cluster.teams.clone();
        m.team_usage = vec![Resources::default(); m.teams.len()];
        m
    }

    pub fn type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// Whether the team stays within its limit with `n` more such tasks, if
    /// it uses `unseen` beside what is known.
    pub fn within_quota(&self, team: usize, need: &Resources, n: i64, unseen: Resources) -> bool {
        self.quota_left(team, need, unseen)
            .is_some_and(|room| n <= room)
    }

    /// How many more such tasks, of at most `n`, the team may run beside what
    /// it uses and `unseen`.
    pub fn max_within_quota(
        &self,
        team: usize,
        need: &Resources,
        n: u32,
        unseen: Resources,
    ) -> i64 {
        let room = self.quota_left(team, need, unseen).unwrap_or(0);
        room.min(i64::from(n))
    }

    /// How many more such tasks the team may run. `None`: it is unknown, or
    /// past its limit, so that not even what takes nothing of it may start.
    fn quota_left(&self, team: usize, need: &Resources, unseen: Resources) -> Option<i64> {
        let t = self.teams.get(team)?;
        let limit = Resources::offer(t.cpus_max, t.gpus_max, 0.0);
        let mut used = self.team_usage[team];
        used += unseen;
        let room = |limit: i64, used: i64, each: i64| match (limit, each) {
            (0, _) => Some(i64::MAX),
            _ if used > limit => None,
            (_, 0) => Some(i64::MAX),
            _ => Some((limit - used) / each),
        };
        let cpus = room(limit.cpus, used.cpus, need.cpus)?;
        Some(cpus.min(room(limit.gpus, used.gpus, need.gpus)?))
    }

    pub fn job_index(&self, id: &str) -> Option<u32> {
        self.job_index_by_id.get(id).copied()
    }
    pub fn job(&self, ix: u32) -> Option<&Job> {
        self.jobs.get(ix as usize)?.as_ref()
    }
    pub fn job_mut(&mut self, ix: u32) -> Option<&mut Job> {
        self.jobs.get_mut(ix as usize)?.as_mut()
    }
    pub fn machine_index(&self, name: &str) -> Option<u32> {
        self.machine_index_by_name.get(name).copied()
    }
    pub fn machine(&self, ix: u32) -> Option<&Machine> {
        self.count(1);
        self.machines.get(ix as usize)?.as_ref()
    }
    pub fn machine_mut(&mut self, ix: u32) -> Option<&mut Machine> {
        self.count(1);
        self.stale_machines.mark(ix);
        self.machines.get_mut(ix as usize)?.as_mut()
    }
    /// Machines that may have changed since the last call, each once.
    pub fn take_stale(&mut self) -> Vec<u32> {
        self.stale_machines.take(self.machines.len())
    }
    /// The machine is among those that `take_stale` names next.
    pub fn mark_stale(&mut self, machine: u32) {
        self.stale_machines.mark(machine);
    }
    fn count(&self, n: usize) {
        self.inspections.set(self.inspections.get() + n as u64);
    }
    pub fn inspections(&self) -> u64 {
        self.inspections.get()
    }
    pub fn each_machine(&self) -> impl Iterator<Item = &Machine> {
        self.count(self.machines.len());
        self.machines.iter().flatten()
    }
    pub fn each_machine_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.count(self.machines.len());
        self.stale_machines.mark_all();
        self.machines.iter_mut().flatten()
    }
    pub fn indexed_machines(&self) -> impl Iterator<Item = (u32, &Machine)> {
        self.count(self.machines.len());
        let all = self.machines.iter().enumerate();
        all.filter_map(|(ix, m)| Some((ix as u32, m.as_ref()?)))
    }
    /// Notes on which machines work other than services runs now.
    pub fn record_batch_activity(&mut self, now: Millis) {
        self.count(self.machines.len());
        let jobs = &self.jobs;
        let is_batch = |a: &Assignment| {
            let job = jobs.get(a.job as usize).and_then(Option::as_ref);
            a.is_live() && job.is_none_or(|j| j.spec.kind != Kind::Service)
        };
        // What placement goes by does not change with this.
        for m in self.machines.iter_mut().flatten() {
            if m.tasks.iter().any(is_batch) {
                m.last_batch_activity = now;
            }
        }
    }
    pub fn machine_with_jobs(&mut self, ix: u32) -> Option<(&mut Machine, &[Option<Job>])> {
        self.count(1);
        self.stale_machines.mark(ix);
        let m = self.machines.get_mut(ix as usize)?.as_mut()?;
        Some((m, &self.jobs))
    }
    /// Indices that a machine may have.
    pub fn machine_range(&self) -> std::ops::Range<u32> {
        0..self.machines.len() as u32
    }
    pub fn live_jobs(&self) -> usize {
        self.job_index_by_id.len()
    }
    pub fn machine_count(&self) -> usize {
        self.machine_index_by_name.len()
    }

    pub fn insert_job(
        &mut self,
        spec: JobSpec,
        at_ms: u64,
        version: u64,
        done: TaskBitmap,
        cancelled: bool,
        now: Millis,
    ) -> u32 {
        if let Some(ix) = self.job_index(&spec.id) {
            return ix;
        }
        self.last_generation += 1;
        let n = spec.tasks;
        let slots = (0..n)
            .map(|i| if done.get(i) { DONE } else { NONE })
            .collect();
        let job = Job {
            id: spec.id.clone(),
            team: self.team_names.find(&spec.team).unwrap_or(usize::MAX),
            image: self.images.intern(&spec.image),
            types: self
                .types
                .iter()
                .map(|t| {
                    spec.types
                        .as_ref()
                        .is_none_or(|allowed| allowed.contains(&t.name))
                })
                .collect(),
            // An unknown zone is one that no machine is in.
            zone: spec
                .zone
                .as_ref()
                .map(|z| self.zones.find(z).unwrap_or(usize::MAX)),
            need: Resources::need(spec.cpus, spec.gpus, spec.memory_gb),
            accepted_at_ms: at_ms,
            accepted_this_term: false,
            known_since: now,
            completed_count: done.count(),
            dirty_segments: vec![false; done.chunks()],
            completed: done,
            task_slots: slots,
            first_waiting_hint: 0,
            live_count: 0,
            running_count: 0,
            cancelled,
            cancel_requested: false,
            cancel_indeterminate: false,
            end_indeterminate: false,
            record_version: version,
            write_in_flight: false,
            ending_in_flight: false,
            consecutive_refusals: 0,
            backoff_until: 0,
            failures: JobFailures::default(),
            has_run: false,
            generation: self.last_generation,
            reason: Reason::New,
            supply_reason: None,
            offload: OffloadState::Local,
            spec_chunks: None,
            inline_size: inline_record_size(&spec),
            // Until somebody has looked how the others stand.
            readiness: match spec.dependencies.is_empty() {
                true => Readiness::Ready,
                false => Readiness::Unresolved,
            },
            effective_priority: spec.priority,
            queued_since_ms: at_ms,
            spec,
        };
        let ix = match self.free_jobs.pop() {
            Some(ix) => ix,
            None => {
                self.jobs.push(None);
                self.jobs.len() as u32 - 1
            }
        };
        self.job_index_by_id.insert(job.id.clone(), ix);
        self.jobs[ix as usize] = Some(job);
        ix
    }

    /// Forgets a job that is over. Tasks of it that are still on machines
    /// keep counting there, and are told to stop.
    pub fn remove_job(&mut self, ix: u32) {
        let Some(job) = self.jobs.get_mut(ix as usize).and_then(Option::take) else {
            return;
        };
        self.job_index_by_id.remove(&job.id);
        for m in self.machines.iter_mut().flatten() {
            for a in m.tasks.iter_mut().filter(|a| a.job == ix) {
                a.job = NONE;
                if a.is_live() && a.stop_grace_s.is_none() {
                    a.stop_grace_s = Some(0.0);
                }
            }
        }
        self.free_jobs.push(ix);
    }

    #[allow(clippy::too_many_arguments)]
    pub fn insert_machine(
        &mut self,
        name: &str,
        addr: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        now: Millis,
    ) -> Option<u32> {
        if let Some(ix) = self.machine_index(name) {
            return Some(ix);
        }
        let type_ix = self.type_index(type_name)?;
        let t = &self.types[type_ix];
        let capacity = Resources::offer(t.cpus, t.gpus, t.memory_gb);
        let machine = Machine {
            name: name.to_owned(),
            addr: addr.parse().ok(),
            type_ix,
            zone: self.zones.intern(zone) as usize,
            spot,
            capacity,
            used: Resources::default(),
            tasks: Vec::new(),
            incarnation: 0,
            heartbeat_seq: 0,
            min_incarnation: 0,
            acknowledged_token: 0,
            token_epoch: 0,
            required_token: 0,
            restart_token: 0,
            min_token: 0,
            latest_heartbeat: (0, 0),
            last_stale_heartbeat: ((0, 0), 0),
            unacknowledged_heartbeats: 0,
            up: false,
            contents_unknown: false,
            last_answered: 0,
            start_sent_at: None,
            latest_possible_start: 0,
            last_heartbeat: 0,
            registration: Registration::Absent,
            record_version: 0,
            write_in_flight: false,
            releasing: false,
            release_recorded: false,
            recorded_empty: false,
            release_requested: false,
            reclaim_at: None,
            state_since: now,
            idle_since: now,
            last_listed: now,
            failures: MachineFailures::default(),
            quarantine_unrecorded: false,
            command_in_flight: false,
            command_retry_at: 0,
            images: Vec::new(),
            images_unrecorded: false,
            last_batch_activity: now,
            closed_to_batches_until: 0,
            overdue: false,
            overdue_since: 0,
            draining: false,
            reserved_for: None,
        };
        let ix = match self.free_machines.pop() {
            Some(ix) => ix,
            None => {
                self.machines.push(None);
                self.machines.len() as u32 - 1
            }
        };
        self.machine_index_by_name.insert(machine.name.clone(), ix);
        self.stale_machines.mark(ix);
        self.machines[ix as usize] = Some(machine);
        Some(ix)
    }

    /// A machine that is surely gone: nothing is on it any more.
    pub fn remove_machine(&mut self, ix: u32) {
        self.clear_machine(ix);
        self.stale_machines.mark(ix);
        if let Some(m) = self.machines.get_mut(ix as usize).and_then(Option::take) {
            self.machine_index_by_name.remove(&m.name);
            self.free_machines.push(ix);
        }
    }

    /// All tasks of the machine are surely gone.
    pub fn clear_machine(&mut self, ix: u32) {
        let Some(m) = self.machines.get_mut(ix as usize).and_then(Option::as_mut) else {
            return;
        };
        self.stale_machines.mark(ix);
        let tasks = std::mem::take(&mut m.tasks);
        if !tasks.is_empty() {
            self.record_change(ix);
        }
        for a in tasks {
            if a.is_live() {
                self.release_resources(ix, &a);
            }
        }
    }

    /// What is, or may be, on the machine has changed.
    fn record_change(&mut self, ix: u32) {
        self.change_count += 1;
        if let Some(touched) = &mut self.changed_machines
            && let Some(Some(m)) = self.machines.get(ix as usize)
            && !touched.contains(&m.name)
        {
            touched.insert(m.name.clone());
        }
    }

    fn release_resources(&mut self, machine: u32, a: &Assignment) {
        if let Some(m) = self.machine_mut(machine) {
            m.used -= a.need;
        }
        if let Some(u) = self.team_usage.get_mut(a.team) {
            *u -= a.need;
        }
        if let Some(job) = self.job_mut(a.job) {
            if a.phase == Phase::Running {
                job.running_count -= 1;
            }
            job.vacate(a.task, machine);
        }
    }

    /// Adds a task to a machine's list and counts what it takes.
    pub fn assign(
        &mut self,
        job_ix: u32,
        task: u32,
        machine: u32,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(job_ix as usize).and_then(Option::as_mut) else {
            return;
        };
        job.occupy(task, machine);
        if phase == Phase::Running {
            job.running_count += 1;
        }
        let (team, need, image, gb) = (job.team, job.need, job.image, job.spec.image_gb);
        let name = format!("{}/{task}", job.id);
        if let Some(u) = self.team_usage.get_mut(team) {
            *u += need;
        }
        self.record_image_use(machine, image, gb);
        self.record_change(machine);
        let change = self.change_count;
        if let Some(m) = self.machine_mut(machine) {
            m.used += need;
            m.tasks.push(Assignment {
                name,
                job: job_ix,
                task,
                attempt,
                team,
                need,
                phase,
                stop_grace_s: None,
                stop_sent: false,
                indeterminate_token: 0,
                sent_with_heartbeat: 0,
                since: now,
                seen_running: false,
                change_number: change,
            });
        }
    }

    /// The machine has the image, or fetches it: it becomes the most recently
    /// used of its cache, and the oldest that no longer fit are gone. Guards
    /// against taking large images for gone because many small ones came.
    fn record_image_use(&mut self, machine: u32, image: u32, gb: f64) {
        if self.image_gb.len() <= image as usize {
            self.image_gb.resize(image as usize + 1, 0.0);
        }
        self.image_gb[image as usize] = gb;
        let Some(m) = self
            .machines
            .get_mut(machine as usize)
            .and_then(Option::as_mut)
        else {
            return;
        };
        if m.images.last() == Some(&image) {
            return;
        }
        match m.images.iter().position(|i| *i == image) {
            Some(at) => {
                m.images.remove(at);
            }
            None => m.images_unrecorded = true,
        }
        m.images.push(image);
        let size = |i: &u32| self.image_gb.get(*i as usize).copied().unwrap_or(0.0);
        let cache = match self.types[m.type_ix].cache_gb {
            known if known > 0.0 => known,
            _ => f64::INFINITY,
        };
        let mut held: f64 = m.images.iter().map(size).sum();
        while m.images.len() > 1 && (m.images.len() > MAX_IMAGES_PER_MACHINE || held > cache) {
            held -= size(&m.images[0]);
            m.images.remove(0);
        }
    }

    /// A task reported by a machine whose job is not known, or that should
    /// not be there: it is stopped, or reaped if it has ended.
    pub fn assign_orphan(
        &mut self,
        machine: u32,
        name: &str,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        if let Some(m) = self.machine_mut(machine) {
            m.tasks.push(Assignment {
                name: name.to_owned(),
                job: NONE,
                task: 0,
                attempt,
                team: usize::MAX,
                need: Resources::default(),
                phase,
                stop_grace_s: Some(0.0),
                stop_sent: false,
                indeterminate_token: 0,
                sent_with_heartbeat: 0,
                since: now,
                seen_running: false,
                change_number: 0,
            });
        }
    }

    /// A task that may be on the machine though its job has it as done: it
    /// counts there and for its team until it is gone, and is stopped.
    pub fn assign_duplicate(
        &mut self,
        job_ix: u32,
        task: u32,
        machine: u32,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        let Some(job) = self.job_mut(job_ix) else {
            return;
        };
        job.running_count += u32::from(phase == Phase::Running);
        let (team, need, name) = (job.team, job.need, format!("{}/{task}", job.id));
        if let Some(u) = self.team_usage.get_mut(team) {
            *u += need;
        }
        self.assign_orphan(machine, &name, attempt, phase, now);
        self.record_change(machine);
        let change = self.change_count;
        if let Some(m) = self.machine_mut(machine) {
            m.used += need;
            if let Some(a) = m.tasks.last_mut() {
                (a.job, a.task, a.change_number) = (job_ix, task, change);
                (a.team, a.need) = (team, need);
            }
        }
    }

    pub fn set_phase(&mut self, machine: u32, at: usize, phase: Phase) {
        let Some(m) = self.machine_mut(machine) else {
            return;
        };
        let a = &mut m.tasks[at];
        let (before, job_ix, task, team, need) = (a.phase, a.job, a.task, a.team, a.need);
        a.phase = phase;
        if before == phase {
            return;
        }
        let was_live = !matches!(before, Phase::Ended(_));
        let is_live = !matches!(phase, Phase::Ended(_));
        if was_live && !is_live {
            m.used -= need;
            self.record_change(machine);
            if let Some(u) = self.team_usage.get_mut(team) {
                *u -= need;
            }
        }
        if let Some(job) = self.job_mut(job_ix) {
            if before == Phase::Running {
                job.running_count -= 1;
            }
            if phase == Phase::Running {
                job.running_count += 1;
            }
            if was_live && !is_live {
                if phase == Phase::Ended(ExitReason::Done) && job.spec.kind != Kind::Service {
                    job.mark_done(task);
                } else {
                    job.vacate(task, machine);
                }
            }
        }
    }

    /// Takes an entry off the machine's list: it is not there.
    pub fn unassign(&mut self, machine: u32, at: usize) {
        let Some(m) = self.machine_mut(machine) else {
            return;
        };
        let a = m.tasks.swap_remove(at);
        if a.is_live() {
            self.record_change(machine);
            self.release_resources(machine, &a);
        }
    }

    /// Where the job's live tasks are: machine, and place in its list.
    pub fn live_tasks_of(&self, job: u32) -> impl Iterator<Item = (u32, usize)> {
        let tasks = self.job(job).map_or(&[][..], |j| &j.task_slots);
        let placed = tasks.iter().filter(|m| !matches!(**m, NONE | DONE));
        let mut on: Vec<u32> = placed.copied().collect();
        on.sort_unstable();
        on.dedup();
        on.into_iter().flat_map(move |ix| {
            let tasks = self.machine(ix).map_or(&[][..], |m| &m.tasks);
            let own = tasks.iter().enumerate();
            own.filter_map(move |(at, a)| (a.job == job && a.is_live()).then_some((ix, at)))
        })
    }

    /// Live tasks of a job per zone.
    pub fn live_tasks_by_zone(&self, job: u32) -> Vec<u32> {
        let mut n = vec![0; self.zones.len()];
        for (ix, _) in self.live_tasks_of(job) {
            if let Some(m) = self.machine(ix) {
                n[m.zone] += 1;
            }
        }
        n
    }
}
