//! The leader's picture of jobs, machines and what runs where. Names are
//! mapped to dense indices at the door; everything inside uses those.

use super::{
    Ms,
    amounts::Amounts,
    away::Away,
    blame::{JobFile, MachineFile},
    records::{Bits, job_key},
};
use crate::protocol::{
    cloud::MachineType,
    peers::{MachineHolds, MayRun, Seen},
    settings::{Settings, Team},
    state::Guard,
    status::Reason,
    users::{JobSpec, JobState, JobStatus, Kind},
    workers::Why,
};
use std::{
    cell::Cell,
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

pub const NONE: u32 = u32::MAX;
/// Images that are noted of a machine, so that its record stays small.
const MOST_IMAGES: usize = 32;
const DONE: u32 = u32::MAX - 1;

/// Where one task of a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Nowhere,
    Done,
    On(u32),
}

#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub spec: JobSpec,
    pub team: usize,
    pub image: u32,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    pub zone: Option<usize>,
    pub need: Amounts,
    pub at_ms: u64,
    /// Accepted in this term: no earlier leader can have started it.
    pub fresh: bool,
    /// Steady-clock time at which this leader first knew of it.
    pub known_ms: Ms,
    pub done: Bits,
    pub done_n: u32,
    slots: Vec<u32>,
    /// Tasks before this index are not waiting.
    hint: u32,
    /// Tasks that are, or may be, on a machine.
    pub live: u32,
    pub running: u32,
    /// Withdrawn as the record says.
    pub cancelled: bool,
    /// A withdrawal that the record does not hold yet.
    pub cancel_wanted: bool,
    pub version: u64,
    /// Chunks of `done` that the record lacks.
    pub dirty: Vec<bool>,
    pub writing: bool,
    /// What is being written ends or withdraws it.
    pub closing: bool,
    /// Starts in a row that came to nothing for other reasons than errors.
    pub refusals: u32,
    pub backoff_until: Ms,
    pub file: JobFile,
    /// A task of it has run since this leader knows of it.
    pub has_run: bool,
    /// Why what waits does not run, as placement last decided.
    pub reason: Reason,
    /// What renting makes of it: room on its way, or none to be had.
    pub supply: Option<Reason>,
    pub away: Away,
}

impl Job {
    pub fn place(&self, task: u32) -> Place {
        match self.slots.get(task as usize) {
            Some(&NONE) | None => Place::Nowhere,
            Some(&DONE) => Place::Done,
            Some(&m) => Place::On(m),
        }
    }

    /// On the record as it was last known.
    pub fn guard(&self) -> Guard {
        Guard {
            key: job_key(&self.id),
            version: self.version,
        }
    }

    /// Tasks to be started here.
    pub fn waiting(&self) -> u32 {
        if !self.away.is_here() {
            return 0;
        }
        self.spec.tasks - self.done_n - self.live
    }

    /// Whether its tasks may be on such a machine at all.
    pub fn allows(&self, m: &Machine) -> bool {
        self.allows_kind(m.type_ix, m.zone, m.spot)
    }

    pub fn allows_kind(&self, type_ix: usize, zone: usize, spot: bool) -> bool {
        self.types.get(type_ix).copied().unwrap_or(false)
            && self.zone.is_none_or(|z| z == zone)
            && (self.spec.spot || !spot)
    }

    pub fn complete(&self) -> bool {
        self.done_n == self.spec.tasks
    }

    pub fn next_waiting(&mut self) -> Option<u32> {
        while (self.hint as usize) < self.slots.len() {
            if self.slots[self.hint as usize] == NONE {
                return Some(self.hint);
            }
            self.hint += 1;
        }
        None
    }

    pub fn is_dirty(&self) -> bool {
        self.dirty.iter().any(|d| *d)
    }

    /// A gang's tasks complete together: if one is done, all are.
    pub fn mark_done(&mut self, task: u32) {
        if self.spec.kind == Kind::Gang {
            (0..self.spec.tasks).for_each(|t| self.mark_one(t));
        } else {
            self.mark_one(task);
        }
    }

    fn mark_one(&mut self, task: u32) {
        if self.done.set(task) {
            self.done_n += 1;
            self.dirty[(task / super::records::CHUNK_TASKS) as usize] = true;
            if self.slots[task as usize] != NONE {
                self.live -= 1;
            }
            self.slots[task as usize] = DONE;
        }
    }

    fn occupy(&mut self, task: u32, machine: u32) {
        debug_assert_eq!(self.slots[task as usize], NONE);
        self.slots[task as usize] = machine;
        self.live += 1;
    }

    fn vacate(&mut self, task: u32, machine: u32) {
        if self.slots[task as usize] == machine {
            self.slots[task as usize] = NONE;
            self.live -= 1;
            self.hint = self.hint.min(task);
        }
    }

    pub fn status(&self) -> JobStatus {
        JobStatus {
            id: self.id.clone(),
            state: if self.cancelled {
                JobState::Cancelled
            } else if self.running > 0 {
                JobState::Running
            } else {
                JobState::Queued
            },
            done: self.done_n,
            running: self.running,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided, no command given yet.
    New,
    /// A launch was given; whether it was carried out is open.
    Sent,
    Fetching,
    /// Waits for its gang.
    Waiting,
    Running,
    Saving,
    Ended(Why),
}

/// A task that is, or may be, on a machine, or that ended there and has not
/// been reaped.
#[derive(Debug)]
pub struct Assignment {
    pub name: String,
    /// `NONE` once its job is over.
    pub job: u32,
    pub task: u32,
    pub attempt: u64,
    pub team: usize,
    pub need: Amounts,
    pub phase: Phase,
    /// Grace in seconds of the halt that is wanted.
    pub stop: Option<f64>,
    /// The halt was given at least once.
    pub told: bool,
    /// Token of a direct launch that had no answer: it may be carried out
    /// until the machine has seen a higher one. 0: none.
    pub doubt: u64,
    /// The report whose response carried the launch.
    pub sent_seq: u64,
    pub since: Ms,
    /// It was reported running more than once, or completed: it was counted
    /// in favour of its job and its machine.
    pub ran: bool,
    /// The change of the picture that put it here. Standbys must have
    /// confirmed that before it is started.
    pub change: u64,
}

impl Assignment {
    pub fn live(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Roster {
    Absent,
    Present,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub capacity: Amounts,
    pub used: Amounts,
    pub tasks: Vec<Assignment>,
    pub session: u64,
    pub seq: u64,
    /// Reports of earlier sessions are no news.
    pub min_session: u64,
    pub seen_token: u64,
    pub fence: u64,
    /// Heard in this term, and not lapsed since.
    pub up: bool,
    /// Stood in the roster when this term began and has neither been heard
    /// nor lapsed: anything may run on it.
    pub unknown: bool,
    /// When a report was last answered with 200.
    pub answered: Ms,
    pub heard: Ms,
    pub roster: Roster,
    pub version: u64,
    pub writing: bool,
    pub releasing: bool,
    pub release_marked: bool,
    /// The record says, or may come to say, that nothing runs here: nothing is
    /// started before one without that is surely written.
    pub noted_empty: bool,
    pub release_sent: bool,
    /// Steady-clock time at which it is to be taken away.
    pub notice: Option<Ms>,
    pub since: Ms,
    pub idle_since: Ms,
    pub listed: Ms,
    pub file: MachineFile,
    /// The record lacks the verdict on it.
    pub verdict_new: bool,
    /// A direct order is on its way.
    pub ordering: bool,
    pub order_retry: Ms,
    pub images: Vec<u32>,
    /// The record lacks some of them.
    pub images_new: bool,
    /// When a task other than a service's was last on it.
    pub batch_until: Ms,
    /// Services move here: batches keep off until then.
    pub no_batch_until: Ms,
    /// Up, but its reports are overdue, and since when.
    pub suspect: bool,
    pub suspect_since: Ms,
    /// Its services are being moved off, then it is returned.
    pub draining: bool,
    /// Room is being made on it for this job, until then.
    pub held_for: Option<(u32, Ms)>,
}

impl Machine {
    pub fn free(&self) -> Amounts {
        self.capacity.minus(self.used)
    }
    pub fn live_tasks(&self) -> usize {
        self.tasks.iter().filter(|t| t.live()).count()
    }
    /// Room on it is held for this job.
    pub fn is_held_for(&self, job: u32, now: Ms) -> bool {
        self.held_for
            .is_some_and(|(of, until)| of == job && now < until)
    }
    /// No room on it is held for another job.
    pub fn open_to(&self, job: u32, now: Ms) -> bool {
        self.held_for
            .is_none_or(|(of, until)| of == job || now >= until)
    }
    /// Known to hold nothing: its lease has lapsed, and it was not heard since.
    pub fn lapsed(&self) -> bool {
        !self.up && !self.unknown && self.roster == Roster::Present
    }
    /// Heard, and to be written down before anything is started on it.
    pub fn awaits_record(&self) -> bool {
        self.up && !self.releasing && (self.roster == Roster::Absent || self.noted_empty)
    }
    /// May new tasks be placed here?
    pub fn usable(&self) -> bool {
        !self.suspect && self.lasting()
    }
    /// The same if its reports were not overdue.
    pub fn lasting(&self) -> bool {
        self.up
            && !self.releasing
            && !self.noted_empty
            && !self.file.set_aside
            && !self.draining
            && self.notice.is_none()
            && self.roster == Roster::Present
    }
}

#[derive(Debug, Default)]
pub struct Names {
    index: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        let i = self.names.len() as u32;
        self.index.insert(name.to_owned(), i);
        self.names.push(name.to_owned());
        i
    }
    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).map(|i| *i as usize)
    }
    pub fn name(&self, i: usize) -> &str {
        &self.names[i]
    }
    pub fn len(&self) -> usize {
        self.names.len()
    }
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

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
    by_ref: HashMap<String, u32>,
    machines: Vec<Option<Machine>>,
    /// Machines looked at, one by one or in a pass over all: what tests of
    /// the work done go by.
    looked_at: Cell<u64>,
    free_machines: Vec<u32>,
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
        self.machines.get_mut(ix as usize)?.as_mut()
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
        self.machines.iter_mut().flatten()
    }
    pub fn indexed_machines(&self) -> impl Iterator<Item = (u32, &Machine)> {
        self.count(self.machines.len());
        let all = self.machines.iter().enumerate();
        all.filter_map(|(ix, m)| Some((ix as u32, m.as_ref()?)))
    }
    /// All machines to change, with the jobs to look up.
    pub fn machines_and_jobs(&mut self) -> (impl Iterator<Item = &mut Machine>, &[Option<Job>]) {
        self.count(self.machines.len());
        (self.machines.iter_mut().flatten(), &self.jobs)
    }
    pub fn machine_and_jobs(&mut self, ix: u32) -> Option<(&mut Machine, &[Option<Job>])> {
        self.count(1);
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
            version,
            writing: false,
            closing: false,
            refusals: 0,
            backoff_until: 0,
            file: JobFile::default(),
            has_run: false,
            reason: Reason::New,
            supply: None,
            away: Away::Here,
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
            up: false,
            unknown: false,
            answered: 0,
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
        self.machines[ix as usize] = Some(machine);
        Some(ix)
    }

    /// A machine that is surely gone: nothing is on it any more.
    pub fn remove_machine(&mut self, ix: u32) {
        self.clear_machine(ix);
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

    /// Machines that changed since this was last called. They are noted from
    /// the first call on.
    pub fn take_touched(&mut self) -> BTreeSet<String> {
        std::mem::take(self.touched.get_or_insert_default())
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

    /// What a standby is told of a machine.
    pub fn held_on(&self, name: &str) -> MachineHolds {
        let mut jobs: Vec<(String, Vec<MayRun>)> = Vec::new();
        let tasks = self.machine_ix(name).and_then(|ix| self.machine(ix));
        let mut of: Vec<u32> = Vec::new();
        for a in tasks.map_or(&[][..], |m| &m.tasks) {
            let seen = match a.phase {
                Phase::Running => Seen::Running,
                Phase::Ended(Why::Done) => Seen::Done,
                Phase::Ended(_) => continue,
                _ => Seen::Sent,
            };
            let Some(job) = self.job(a.job) else {
                continue;
            };
            let at = of.iter().position(|j| *j == a.job).unwrap_or_else(|| {
                of.push(a.job);
                jobs.push((job.id.clone(), Vec::new()));
                of.len() - 1
            });
            jobs[at].1.push(MayRun(a.task, a.attempt, a.change, seen));
        }
        MachineHolds {
            machine: name.to_owned(),
            jobs,
        }
    }

    /// Machines on which something is, or may be.
    pub fn held_machines(&self) -> BTreeSet<String> {
        let held = self.each_machine().filter(|m| !m.tasks.is_empty());
        held.map(|m| m.name.clone()).collect()
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
