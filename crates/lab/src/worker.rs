//! One worker: what it reports, how it takes commands, what its tasks do.

use crate::{
    Millis, millis,
    object_store::{GangState, ObjectStore},
};
use pathwinch_protocol::{
    cloud::MachineType,
    settings::Workers,
    users::Kind,
    workers::{Command, DirectCommands, ExitReason, Heartbeat, TaskState, TaskStatus},
};
use std::collections::VecDeque;

#[derive(Debug)]
struct Task {
    name: String,
    attempt: u64,
    state: TaskState,
    why: Option<ExitReason>,
    saved: bool,
    /// When it came into this state.
    since: Millis,
    /// When what it does now is over, for fetching, running and saving.
    until: Millis,
}

impl Task {
    fn is(&self, name: &str, attempt: u64) -> bool {
        self.name == name && self.attempt == attempt
    }

    fn live(&self) -> bool {
        self.state != TaskState::Exited
    }

    /// Whether time may change anything about it. A gang's task waits for the
    /// others, so only time tells that it does not.
    fn may_change(&self, now: Millis) -> bool {
        match self.state {
            TaskState::Exited => false,
            TaskState::WaitingForGang => true,
            TaskState::Fetching | TaskState::Running | TaskState::Saving => now >= self.until,
        }
    }
}

/// Images kept on a machine.
const CACHED: usize = 16;
/// Commands taken from one answer.
const MOST_ORDERS: usize = 10_000;

pub struct Worker {
    pub id: String,
    pub addr: String,
    rig: MachineType,
    zone: String,
    spot: bool,
    limits: Workers,
    session: u64,
    seq: u64,
    token: u64,
    /// From when the lease counts.
    renewed: Millis,
    tasks: Vec<Task>,
    images: VecDeque<String>,
    /// The state service of changes: something is to be reported.
    changed: bool,
    reported: Millis,
    next: Millis,
}

impl Worker {
    pub fn new(
        id: &str,
        addr: String,
        rig: MachineType,
        zone: &str,
        spot: bool,
        limits: Workers,
        now: Millis,
    ) -> Self {
        Worker {
            id: id.to_owned(),
            addr,
            rig,
            zone: zone.to_owned(),
            spot,
            limits,
            session: 1,
            seq: 0,
            token: 0,
            renewed: now,
            tasks: Vec::new(),
            images: VecDeque::new(),
            changed: true,
            reported: 0,
            next: now,
        }
    }

    pub fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            type_name: self.rig.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.session,
            seq: self.seq,
            acknowledged_token: self.token,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    exit_reason: t.why,
                    checkpointed: t.saved,
                })
                .collect(),
        }
    }

    /// Whether a report is to be sent now; `chance` from 0 to 1 spreads the
    /// next one.
    pub fn report_due(&mut self, now: Millis, chance: f64) -> bool {
        let due = now >= self.next || (self.changed && now >= self.reported + 500);
        if due {
            let every = self.limits.report_s * (0.75 + 0.5 * chance);
            self.next = now + millis(every);
            self.reported = now;
            self.changed = false;
        }
        due
    }

    /// The answer to a report that was sent at `sent`, in session `session`.
    /// Returns whether it counts.
    pub fn answered(
        &mut self,
        sent: Millis,
        session: u64,
        token: u64,
        commands: Vec<Command>,
        object_store: &mut ObjectStore,
        now: Millis,
    ) -> bool {
        if session != self.session || !self.saw(token) {
            return false;
        }
        self.renewed = self.renewed.max(sent);
        self.execute(commands, object_store, now);
        true
    }

    fn saw(&mut self, token: u64) -> bool {
        if token < self.token {
            return false;
        }
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
        true
    }

    /// A direct command. Returns the status; the body is the report.
    pub fn ordered(
        &mut self,
        order: DirectCommands,
        object_store: &mut ObjectStore,
        now: Millis,
    ) -> (u16, Heartbeat) {
        let fits = order.incarnation == self.session && self.saw(order.fencing_token);
        if fits {
            self.execute(order.commands, object_store, now);
        }
        (if fits { 200 } else { 409 }, self.report())
    }

    fn execute(&mut self, commands: Vec<Command>, object_store: &mut ObjectStore, now: Millis) {
        for command in commands.into_iter().take(MOST_ORDERS) {
            self.changed = true;
            match command {
                Command::Start { task, attempt } => self.launch(task, attempt, object_store, now),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.halt(&task, attempt, millis(grace_s), object_store, now),
                Command::Reap { task, attempt } => {
                    self.tasks.retain(|t| t.live() || !t.is(&task, attempt));
                }
            }
        }
    }

    fn free(&self, object_store: &ObjectStore) -> (f64, f64, f64) {
        let all = (self.rig.cpus, self.rig.gpus, self.rig.memory_gb);
        let live = self.tasks.iter().filter(|t| t.live());
        live.filter_map(|t| object_store.spec(&t.name))
            .fold(all, |(c, g, m), s| {
                (c - s.cpus, g - s.gpus, m - s.memory_gb)
            })
    }

    fn launch(&mut self, name: String, attempt: u64, object_store: &mut ObjectStore, now: Millis) {
        if self.tasks.iter().any(|t| t.is(&name, attempt)) {
            return;
        }
        let (cpus, gpus, memory) = self.free(object_store);
        const SLACK: f64 = 1e-6;
        let refused = match object_store.spec(&name) {
            _ if self.tasks.iter().any(|t| t.live() && t.name == name) => {
                Some(ExitReason::DuplicateTask)
            }
            None => Some(ExitReason::UnknownTask),
            Some(s)
                if s.cpus > cpus + SLACK
                    || s.gpus > gpus + SLACK
                    || s.memory_gb > memory + SLACK =>
            {
                Some(ExitReason::InsufficientResources)
            }
            Some(_) => None,
        };
        let fetch = match object_store.spec(&name) {
            Some(s) if !self.images.contains(&s.image) => {
                millis(s.image_gb / self.rig.fetch_gb_per_s)
            }
            _ => 0,
        };
        // A fetch that is under way serves this task too.
        let image = object_store.spec(&name).map(|s| s.image.clone());
        let under_way = self
            .tasks
            .iter()
            .filter(|t| t.state == TaskState::Fetching)
            .find(|t| object_store.spec(&t.name).map(|s| &s.image) == image.as_ref())
            .map(|t| t.until);
        self.tasks.push(Task {
            name,
            attempt,
            state: match refused {
                Some(_) => TaskState::Exited,
                None => TaskState::Fetching,
            },
            why: refused,
            saved: false,
            since: now,
            until: under_way.unwrap_or(now + fetch),
        });
    }

    fn halt(
        &mut self,
        name: &str,
        attempt: u64,
        grace: Millis,
        object_store: &mut ObjectStore,
        now: Millis,
    ) {
        let Some(i) = self
            .tasks
            .iter()
            .position(|t| t.live() && t.is(name, attempt))
        else {
            return;
        };
        let Some(spec) = object_store.spec(name).cloned() else {
            return;
        };
        let save = millis(spec.checkpoint_cost_s);
        let saves = self.tasks[i].state == TaskState::Running
            && spec.checkpoint_interval_s > 0.0
            && spec.kind != Kind::Service
            && grace >= save;
        match self.tasks[i].state {
            TaskState::Saving if grace > 0 => {}
            _ if saves => {
                if spec.kind == Kind::Gang {
                    object_store.gang_stopping(name, attempt, now);
                }
                let task = &mut self.tasks[i];
                // How long it had run is needed when it has saved.
                task.state = TaskState::Saving;
                task.until = now + save;
                task.since = now.saturating_sub(task.since);
            }
            _ => self.exit(i, ExitReason::Stopped, object_store, now),
        }
    }

    /// A task ends on this machine, however it came to it.
    fn exit(&mut self, i: usize, why: ExitReason, object_store: &mut ObjectStore, now: Millis) {
        let task = &mut self.tasks[i];
        let kind = object_store.spec(&task.name).map(|s| s.kind);
        let was = task.state;
        task.state = TaskState::Exited;
        task.why = Some(why);
        self.changed = true;
        let name = task.name.clone();
        if why == ExitReason::Done {
            object_store.finish(&name);
        } else if kind == Some(Kind::Gang) {
            if !matches!(was, TaskState::Fetching) && !task.saved {
                object_store.gang_lost(&name, task.attempt, now);
            }
        } else if was == TaskState::Running {
            object_store.ran(&name, now.saturating_sub(task.since), false);
        }
        object_store.task_left(&name, &self.id);
    }

    /// Lets time pass: tasks go on, the lease may expire.
    pub fn step(&mut self, object_store: &mut ObjectStore, now: Millis) {
        if now > self.renewed + millis(self.limits.lease_s) {
            self.lapse(object_store, now);
        }
        for i in 0..self.tasks.len() {
            if self.tasks[i].may_change(now) {
                self.advance(i, object_store, now);
            }
        }
    }

    fn lapse(&mut self, object_store: &mut ObjectStore, now: Millis) {
        self.lose_all(object_store, now);
        self.tasks.clear();
        self.session += 1;
        self.renewed = now;
        self.changed = true;
    }

    /// Everything on it is gone, as when the machine is deleted.
    pub fn lose_all(&mut self, object_store: &mut ObjectStore, now: Millis) {
        for i in 0..self.tasks.len() {
            if self.tasks[i].live() {
                self.exit(i, ExitReason::Stopped, object_store, now);
            }
        }
    }

    fn advance(&mut self, i: usize, object_store: &mut ObjectStore, now: Millis) {
        let (name, attempt) = (self.tasks[i].name.clone(), self.tasks[i].attempt);
        let Some(kind) = object_store.spec(&name).map(|s| s.kind) else {
            return;
        };
        match self.tasks[i].state {
            TaskState::Fetching if now >= self.tasks[i].until => {
                self.has_image(i, kind, object_store, now);
            }
            TaskState::WaitingForGang => match object_store.gang_state(&name, attempt, now) {
                GangState::Waiting => {
                    let wait = millis(self.limits.gang_wait_s);
                    if now > self.tasks[i].since + wait {
                        self.exit(i, ExitReason::GangIncomplete, object_store, now);
                    }
                }
                GangState::Running => self.becomes(i, TaskState::Running, now),
                GangState::Done => self.exit(i, ExitReason::Done, object_store, now),
                GangState::PeersGone => self.exit(i, ExitReason::GangMemberLost, object_store, now),
            },
            TaskState::Running if kind == Kind::Gang => {
                match object_store.gang_state(&name, attempt, now) {
                    GangState::Done => self.exit(i, ExitReason::Done, object_store, now),
                    GangState::PeersGone => {
                        self.exit(i, ExitReason::GangMemberLost, object_store, now)
                    }
                    GangState::Running | GangState::Waiting => {}
                }
            }
            TaskState::Running if now >= self.tasks[i].until => {
                self.exit(i, ExitReason::Done, object_store, now);
            }
            TaskState::Saving if now >= self.tasks[i].until => {
                self.saved(i, kind, object_store, now)
            }
            _ => {}
        }
    }

    fn becomes(&mut self, i: usize, state: TaskState, now: Millis) {
        self.tasks[i].state = state;
        self.tasks[i].since = now;
        self.changed = true;
    }

    fn has_image(&mut self, i: usize, kind: Kind, object_store: &mut ObjectStore, now: Millis) {
        let (name, attempt) = (self.tasks[i].name.clone(), self.tasks[i].attempt);
        if let Some(image) = object_store.spec(&name).map(|s| s.image.clone()) {
            self.images.retain(|o| *o != image);
            self.images.push_back(image);
            if self.images.len() > CACHED {
                self.images.pop_front();
            }
        }
        if object_store.is_finished(&name) {
            return self.exit(i, ExitReason::Done, object_store, now);
        }
        object_store.task_started(&name, &self.id, now);
        if object_store.fails(&name) {
            return self.exit(i, ExitReason::Error, object_store, now);
        }
        if kind == Kind::Gang {
            self.becomes(i, TaskState::WaitingForGang, now);
            object_store.gang_task_waits(&name, attempt, now);
        } else {
            self.becomes(i, TaskState::Running, now);
            self.tasks[i].until = object_store
                .left_ms(&name)
                .map_or(Millis::MAX, |left| now + left);
        }
    }

    fn saved(&mut self, i: usize, kind: Kind, object_store: &mut ObjectStore, now: Millis) {
        let (name, attempt) = (self.tasks[i].name.clone(), self.tasks[i].attempt);
        if kind == Kind::Gang {
            match object_store.gang_saved(&name, attempt, now) {
                Some(true) => self.tasks[i].saved = true,
                Some(false) => return self.exit(i, ExitReason::GangMemberLost, object_store, now),
                None => return,
            }
        } else {
            let ran = self.tasks[i].since;
            object_store.ran(&name, ran, true);
            self.tasks[i].saved = true;
        }
        self.exit(i, ExitReason::Stopped, object_store, now);
    }
}

#[cfg(test)]
mod tests;
