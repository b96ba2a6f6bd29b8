//! The leader's picture of jobs, machines and what runs where. Names are
//! mapped to dense indices at the door; everything inside uses those.

mod interner;
mod job;
mod machine;
mod replication;
mod stale;

pub use interner::Names;
pub use job::{Job, Place};
pub use machine::{Assignment, Machine, ORDER, Phase, Roster};
use stale::StaleMachines;

use super::{
    Ms,
    dependencies::Gate,
    fault_attribution::{JobFile, MachineFile},
    offload::Away,
    records::{Bits, whole_size},
    resources::Amounts,
};
use crate::protocol::{
    cloud::MachineType,
    settings::{Settings, Team},
    status::Reason,
    users::{JobSpec, Kind},
    workers::Why,
};
use std::{
    cell::Cell,
    collections::{BTreeSet, HashMap},
};

pub const NONE: u32 = u32::MAX;
/// Images that are noted of a machine, so that its record stays small.
const MOST_IMAGES: usize = 32;
const DONE: u32 = u32::MAX - 1;

#[derive(Debug, Default)]
pub struct Model {
    pub zones: Names,
    pub team_names: Names,
    pub teams: Vec<Team>,
    pub usage: Vec<Amounts>,
    pub types: Vec<MachineType>,
    pub images: Names,
    /// Their sizes, as far as known.
    image_gb: Vec<f64>,
    pub jobs: Vec<Option<Job>>,
    free_jobs: Vec<u32>,
    /// Of the job that was inserted last.
    last_serial: u64,
    by_ref: HashMap<String, u32>,
    machines: Vec<Option<Machine>>,
    /// Machines looked at, one by one or in a pass over all: what tests of
    /// the work done go by.
    looked_at: Cell<u64>,
    free_machines: Vec<u32>,
    /// Machines that may have changed since `take_stale`.
    stale: StaleMachines,
    by_name: HashMap<String, u32>,
    /// Changes of what is, or may be, on machines.
    pub changes: u64,
    /// The latest change of which a start was sent.
    pub sent: u64,
    /// Machines that changed since standbys were last told, if any are.
    touched: Option<BTreeSet<String>>,
}

impl Model {
    pub fn new(settings: &Settings, types: Vec<MachineType>) -> Self {
        let mut m = Model {
            types,
            ..Model::default()
        };
        for z in &settings.cluster.zones {
            m.zones.intern(z);
        }
        for t in &settings.cluster.teams {
            m.team_names.intern(&t.name);
        }
        m.teams = settings.cluster.teams.clone();
        m.usage = vec![Amounts::default(); m.teams.len()];
        m
    }

    pub fn type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// Whether the team stays within its limit with `n` more such tasks, if
    /// it uses `unseen` beside what is known.
    pub fn within_limit(&self, team: usize, need: &Amounts, n: i64, unseen: Amounts) -> bool {
        self.room_in_limit(team, need, unseen)
            .is_some_and(|room| n <= room)
    }

    /// How many more such tasks, of at most `n`, the team may run beside what
    /// it uses and `unseen`.
    pub fn most_within_limit(&self, team: usize, need: &Amounts, n: u32, unseen: Amounts) -> i64 {
        let room = self.room_in_limit(team, need, unseen).unwrap_or(0);
        room.min(i64::from(n))
    }

    /// How many more such tasks the team may run. `None`: it is unknown, or
    /// past its limit, so that not even what takes nothing of it may start.
    fn room_in_limit(&self, team: usize, need: &Amounts, unseen: Amounts) -> Option<i64> {
        let t = self.teams.get(team)?;
        let limit = Amounts::offer(t.cpus_max, t.gpus_max, 0.0);
        let mut used = self.usage[team];
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

    pub fn job_ix(&self, id: &str) -> Option<u32> {
        self.by_ref.get(id).copied()
    }
    pub fn job(&self, ix: u32) -> Option<&Job> {
        self.jobs.get(ix as usize)?.as_ref()
    }
    pub fn job_mut(&mut self, ix: u32) -> Option<&mut Job> {
        self.jobs.get_mut(ix as usize)?.as_mut()
    }
    pub fn machine_ix(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }
    pub fn machine(&self, ix: u32) -> Option<&Machine> {
        self.count(1);
        self.machines.get(ix as usize)?.as_ref()
    }
    pub fn machine_mut(&mut self, ix: u32) -> Option<&mut Machine> {
        self.count(1);
        self.stale.mark(ix);
        self.machines.get_mut(ix as usize)?.as_mut()
    }
    /// Machines that may have changed since the last call, each once.
    pub fn take_stale(&mut self) -> Vec<u32> {
        self.stale.take(self.machines.len())
    }
    /// The machine is among those that `take_stale` names next.
    pub fn mark_stale(&mut self, machine: u32) {
        self.stale.mark(machine);
    }
    fn count(&self, n: usize) {
        self.looked_at.set(self.looked_at.get() + n as u64);
    }
    pub fn looked_at(&self) -> u64 {
        self.looked_at.get()
    }
    pub fn each_machine(&self) -> impl Iterator<Item = &Machine> {
        self.count(self.machines.len());
        self.machines.iter().flatten()
    }
    pub fn each_machine_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.count(self.machines.len());
        self.stale.mark_all();
        self.machines.iter_mut().flatten()
    }
    pub fn indexed_machines(&self) -> impl Iterator<Item = (u32, &Machine)> {
        self.count(self.machines.len());
        let all = self.machines.iter().enumerate();
        all.filter_map(|(ix, m)| Some((ix as u32, m.as_ref()?)))
    }
    /// Notes on which machines work other than services runs now.
    pub fn note_batches(&mut self, now: Ms) {
        self.count(self.machines.len());
        let jobs = &self.jobs;
        let is_batch = |a: &Assignment| {
            let job = jobs.get(a.job as usize).and_then(Option::as_ref);
            a.live() && job.is_none_or(|j| j.spec.kind != Kind::Service)
        };
        // What placement goes by does not change with this.
        for m in self.machines.iter_mut().flatten() {
            if m.tasks.iter().any(is_batch) {
                m.batch_until = now;
            }
        }
    }
    pub fn machine_and_jobs(&mut self, ix: u32) -> Option<(&mut Machine, &[Option<Job>])> {
        self.count(1);
        self.stale.mark(ix);
        let m = self.machines.get_mut(ix as usize)?.as_mut()?;
        Some((m, &self.jobs))
    }
    /// Indices that a machine may have.
    pub fn machine_range(&self) -> std::ops::Range<u32> {
        0..self.machines.len() as u32
    }
    pub fn live_jobs(&self) -> usize {
        self.by_ref.len()
    }
    pub fn machine_count(&self) -> usize {
        self.by_name.len()
    }

    pub fn insert_job(
        &mut self,
        spec: JobSpec,
        at_ms: u64,
        version: u64,
        done: Bits,
        cancelled: bool,
        now: Ms,
    ) -> u32 {
        if let Some(ix) = self.job_ix(&spec.id) {
            return ix;
        }
        self.last_serial += 1;
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
            need: Amounts::need(spec.cpus, spec.gpus, spec.memory_gb),
            at_ms,
            fresh: false,
            known_ms: now,
            done_n: done.count(),
            dirty: vec![false; done.chunks()],
            done,
            slots,
            hint: 0,
            live: 0,
            running: 0,
            cancelled,
            cancel_wanted: false,
            cancel_open: false,
            end_open: false,
            version,
            writing: false,
            closing: false,
            refusals: 0,
            backoff_until: 0,
            file: JobFile::default(),
            has_run: false,
            serial: self.last_serial,
            reason: Reason::New,
            supply: None,
            away: Away::Here,
            pieces: None,
            whole_size: whole_size(&spec),
            // Until somebody has looked how the others stand.
            gate: match spec.needs.is_empty() {
                true => Gate::Open,
                false => Gate::Unsure,
            },
            rank: spec.priority,
            turn_ms: at_ms,
            spec,
        };
        let ix = match self.free_jobs.pop() {
            Some(ix) => ix,
            None => {
                self.jobs.push(None);
                self.jobs.len() as u32 - 1
            }
        };
        self.by_ref.insert(job.id.clone(), ix);
        self.jobs[ix as usize] = Some(job);
        ix
    }

    /// Forgets a job that is over. Tasks of it that are still on machines
    /// keep counting there, and are told to stop.
    pub fn remove_job(&mut self, ix: u32) {
        let Some(job) = self.jobs.get_mut(ix as usize).and_then(Option::take) else {
            return;
        };
        self.by_ref.remove(&job.id);
        for m in self.machines.iter_mut().flatten() {
            for a in m.tasks.iter_mut().filter(|a| a.job == ix) {
                a.job = NONE;
                if a.live() && a.stop.is_none() {
                    a.stop = Some(0.0);
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
        now: Ms,
    ) -> Option<u32> {
        if let Some(ix) = self.machine_ix(name) {
            return Some(ix);
        }
        let type_ix = self.type_index(type_name)?;
        let t = &self.types[type_ix];
        let capacity = Amounts::offer(t.cpus, t.gpus, t.memory_gb);
        let machine = Machine {
            name: name.to_owned(),
            addr: addr.parse().ok(),
            type_ix,
            zone: self.zones.intern(zone) as usize,
            spot,
            capacity,
            used: Amounts::default(),
            tasks: Vec::new(),
            session: 0,
            seq: 0,
            min_session: 0,
            seen_token: 0,
            fence: 0,
            proof: 0,
            reborn_at: 0,
            least_token: 0,
            latest: (0, 0),
            older: ((0, 0), 0),
            unproven: 0,
            up: false,
            unknown: false,
            answered: 0,
            starting: None,
            may_have_begun: 0,
            heard: 0,
            roster: Roster::Absent,
            version: 0,
            writing: false,
            releasing: false,
            release_marked: false,
            noted_empty: false,
            release_sent: false,
            notice: None,
            since: now,
            idle_since: now,
            listed: now,
            file: MachineFile::default(),
            verdict_new: false,
            ordering: false,
            order_retry: 0,
            images: Vec::new(),
            images_new: false,
            batch_until: now,
            no_batch_until: 0,
            suspect: false,
            suspect_since: 0,
            draining: false,
            held_for: None,
        };
        let ix = match self.free_machines.pop() {
            Some(ix) => ix,
            None => {
                self.machines.push(None);
                self.machines.len() as u32 - 1
            }
        };
        self.by_name.insert(machine.name.clone(), ix);
        self.stale.mark(ix);
        self.machines[ix as usize] = Some(machine);
        Some(ix)
    }

    /// A machine that is surely gone: nothing is on it any more.
    pub fn remove_machine(&mut self, ix: u32) {
        self.clear_machine(ix);
        self.stale.mark(ix);
        if let Some(m) = self.machines.get_mut(ix as usize).and_then(Option::take) {
            self.by_name.remove(&m.name);
            self.free_machines.push(ix);
        }
    }

    /// All tasks of the machine are surely gone.
    pub fn clear_machine(&mut self, ix: u32) {
        let Some(m) = self.machines.get_mut(ix as usize).and_then(Option::as_mut) else {
            return;
        };
        self.stale.mark(ix);
        let tasks = std::mem::take(&mut m.tasks);
        if !tasks.is_empty() {
            self.touch(ix);
        }
        for a in tasks {
            if a.live() {
                self.release_resources(ix, &a);
            }
        }
    }

    /// What is, or may be, on the machine has changed.
    fn touch(&mut self, ix: u32) {
        self.changes += 1;
        if let Some(touched) = &mut self.touched
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
        if let Some(u) = self.usage.get_mut(a.team) {
            *u -= a.need;
        }
        if let Some(job) = self.job_mut(a.job) {
            if a.phase == Phase::Running {
                job.running -= 1;
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
        now: Ms,
    ) {
        let Some(job) = self.jobs.get_mut(job_ix as usize).and_then(Option::as_mut) else {
            return;
        };
        job.occupy(task, machine);
        if phase == Phase::Running {
            job.running += 1;
        }
        let (team, need, image, gb) = (job.team, job.need, job.image, job.spec.image_gb);
        let name = format!("{}/{task}", job.id);
        if let Some(u) = self.usage.get_mut(team) {
            *u += need;
        }
        self.note_image(machine, image, gb);
        self.touch(machine);
        let change = self.changes;
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
                stop: None,
                told: false,
                doubt: 0,
                sent_seq: 0,
                since: now,
                ran: false,
                change,
            });
        }
    }

    /// The machine has the image, or fetches it: it becomes the most recently
    /// used of its cache, and the oldest that no longer fit are gone. Guards
    /// against taking large images for gone because many small ones came.
    fn note_image(&mut self, machine: u32, image: u32, gb: f64) {
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
            None => m.images_new = true,
        }
        m.images.push(image);
        let size = |i: &u32| self.image_gb.get(*i as usize).copied().unwrap_or(0.0);
        let cache = match self.types[m.type_ix].cache_gb {
            known if known > 0.0 => known,
            _ => f64::INFINITY,
        };
        let mut held: f64 = m.images.iter().map(size).sum();
        while m.images.len() > 1 && (m.images.len() > MOST_IMAGES || held > cache) {
            held -= size(&m.images[0]);
            m.images.remove(0);
        }
    }

    /// A task reported by a machine whose job is not known, or that should
    /// not be there: it is stopped, or reaped if it has ended.
    pub fn assign_stray(&mut self, machine: u32, name: &str, attempt: u64, phase: Phase, now: Ms) {
        if let Some(m) = self.machine_mut(machine) {
            m.tasks.push(Assignment {
                name: name.to_owned(),
                job: NONE,
                task: 0,
                attempt,
                team: usize::MAX,
                need: Amounts::default(),
                phase,
                stop: Some(0.0),
                told: false,
                doubt: 0,
                sent_seq: 0,
                since: now,
                ran: false,
                change: 0,
            });
        }
    }

    /// A task that may be on the machine though its job has it as done: it
    /// counts there and for its team until it is gone, and is stopped.
    pub fn assign_beside(
        &mut self,
        job_ix: u32,
        task: u32,
        machine: u32,
        attempt: u64,
        phase: Phase,
        now: Ms,
    ) {
        let Some(job) = self.job_mut(job_ix) else {
            return;
        };
        job.running += u32::from(phase == Phase::Running);
        let (team, need, name) = (job.team, job.need, format!("{}/{task}", job.id));
        if let Some(u) = self.usage.get_mut(team) {
            *u += need;
        }
        self.assign_stray(machine, &name, attempt, phase, now);
        self.touch(machine);
        let change = self.changes;
        if let Some(m) = self.machine_mut(machine) {
            m.used += need;
            if let Some(a) = m.tasks.last_mut() {
                (a.job, a.task, a.change) = (job_ix, task, change);
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
            self.touch(machine);
            if let Some(u) = self.usage.get_mut(team) {
                *u -= need;
            }
        }
        if let Some(job) = self.job_mut(job_ix) {
            if before == Phase::Running {
                job.running -= 1;
            }
            if phase == Phase::Running {
                job.running += 1;
            }
            if was_live && !is_live {
                if phase == Phase::Ended(Why::Done) && job.spec.kind != Kind::Service {
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
        if a.live() {
            self.touch(machine);
            self.release_resources(machine, &a);
        }
    }

    /// Where the job's live tasks are: machine, and place in its list.
    pub fn live_of(&self, job: u32) -> impl Iterator<Item = (u32, usize)> {
        let tasks = self.job(job).map_or(&[][..], |j| &j.slots);
        let placed = tasks.iter().filter(|m| !matches!(**m, NONE | DONE));
        let mut on: Vec<u32> = placed.copied().collect();
        on.sort_unstable();
        on.dedup();
        on.into_iter().flat_map(move |ix| {
            let tasks = self.machine(ix).map_or(&[][..], |m| &m.tasks);
            let own = tasks.iter().enumerate();
            own.filter_map(move |(at, a)| (a.job == job && a.live()).then_some((ix, at)))
        })
    }

    /// Live tasks of a job per zone.
    pub fn zones_of(&self, job: u32) -> Vec<u32> {
        let mut n = vec![0; self.zones.len()];
        for (ix, _) in self.live_of(job) {
            if let Some(m) = self.machine(ix) {
                n[m.zone] += 1;
            }
        }
        n
    }
}
