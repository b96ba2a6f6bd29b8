//! Simulated worker (node agent) of one machine: sends heartbeats, executes commands,
//! keeps its lease, and simulates its tasks, which fetch an image, run, save
//! checkpoints and end. It has no clock and no sockets; `hosts` calls it with the time.

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
    exit_reason: Option<ExitReason>,
    /// Whether the task saved a checkpoint when it was stopped.
    saved: bool,
    /// When the task entered its state; while it saves, how long it had run before.
    since: Millis,
    /// When the state ends, for tasks that fetch, run or save. A running gang task ends
    /// with its gang instead, and is advanced at every step.
    until: Millis,
}

impl Task {
    fn is_attempt(&self, name: &str, attempt: u64) -> bool {
        self.name == name && self.attempt == attempt
    }

    fn is_live(&self) -> bool {
        self.state != TaskState::Exited
    }

    /// Whether the task has to be advanced at this time. A task that waits for its gang
    /// always has to be, since the other tasks of the gang decide when it goes on.
    fn needs_advance(&self, now: Millis) -> bool {
        match self.state {
            TaskState::Exited => false,
            TaskState::WaitingForGang => true,
            TaskState::Fetching | TaskState::Running | TaskState::Saving => now >= self.until,
        }
    }
}

/// Maximum number of images in a machine's cache.
const MAX_CACHED_IMAGES: usize = 16;
/// Maximum number of commands executed from one message; the rest is ignored.
const MAX_COMMANDS_PER_MESSAGE: usize = 10_000;

/// The state of a worker.
pub struct Worker {
    pub id: String,
    pub addr: String,
    machine_type: MachineType,
    zone: String,
    spot: bool,
    limits: Workers,
    /// Number of the incarnation; a new one begins when the lease expires.
    incarnation: u64,
    seq: u64,
    /// Highest fencing token seen.
    token: u64,
    /// Start of the lease: when the last heartbeat with a valid answer was sent.
    lease_start: Millis,
    /// Whether a heartbeat was answered since the agent started.
    was_answered: bool,
    tasks: Vec<Task>,
    /// Cached images, the least recently fetched first.
    images: VecDeque<String>,
    /// Whether there are changes since the last heartbeat.
    changed: bool,
    /// When the last heartbeat was sent.
    last_heartbeat: Millis,
    /// When the next periodic heartbeat is due.
    next_heartbeat: Millis,
}

impl Worker {
    pub fn new(
        id: &str,
        addr: String,
        machine_type: MachineType,
        zone: &str,
        spot: bool,
        limits: Workers,
        now: Millis,
    ) -> Self {
        Worker {
            id: id.to_owned(),
            addr,
            machine_type,
            zone: zone.to_owned(),
            spot,
            limits,
            incarnation: 1,
            seq: 0,
            token: 0,
            lease_start: now,
            was_answered: false,
            tasks: Vec::new(),
            images: VecDeque::new(),
            changed: true,
            last_heartbeat: 0,
            next_heartbeat: now,
        }
    }

    /// Restarts the agent: its tasks are gone, and it knows nothing of the time before.
    pub fn restart(&mut self, object_store: &mut ObjectStore, now: Millis) {
        self.lose_all(object_store, now);
        *self = Worker::new(
            &self.id,
            self.addr.clone(),
            self.machine_type.clone(),
            &self.zone,
            self.spot,
            self.limits.clone(),
            now,
        );
    }

    /// Whether a heartbeat was answered since the agent started.
    pub fn was_answered(&self) -> bool {
        self.was_answered
    }

    /// Returns the next heartbeat to send.
    pub fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            type_name: self.machine_type.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
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
                    exit_reason: t.exit_reason,
                    checkpointed: t.saved,
                })
                .collect(),
        }
    }

    /// Whether a heartbeat is due: periodically, or 500 ms after the last one if there are
    /// changes. If so, schedules the next periodic one; `chance` from 0 to 1 adds jitter,
    /// so that the workers do not send all at once.
    pub fn heartbeat_due(&mut self, now: Millis, chance: f64) -> bool {
        let due = now >= self.next_heartbeat || (self.changed && now >= self.last_heartbeat + 500);
        if due {
            let interval = self.limits.report_s * (0.75 + 0.5 * chance);
            self.next_heartbeat = now + millis(interval);
            self.last_heartbeat = now;
            self.changed = false;
        }
        due
    }

    /// Handles the answer to a heartbeat that was sent at `sent` in incarnation
    /// `incarnation`: renews the lease and executes the commands. Ignores the answer and
    /// returns `false` if the incarnation has changed or the fencing token is outdated.
    pub fn on_heartbeat_answer(
        &mut self,
        sent: Millis,
        incarnation: u64,
        token: u64,
        commands: Vec<Command>,
        object_store: &mut ObjectStore,
        now: Millis,
    ) -> bool {
        if incarnation != self.incarnation || !self.accept_token(token) {
            return false;
        }
        self.lease_start = self.lease_start.max(sent);
        self.was_answered = true;
        self.execute(commands, object_store, now);
        true
    }

    /// Returns `false` for a fencing token that is lower than the highest one seen, and
    /// records any other token.
    fn accept_token(&mut self, token: u64) -> bool {
        if token < self.token {
            return false;
        }
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
        true
    }

    /// Executes direct commands, unless the incarnation or the fencing token is outdated.
    /// Returns the HTTP status and a heartbeat for the body.
    pub fn on_direct_commands(
        &mut self,
        direct_commands: DirectCommands,
        object_store: &mut ObjectStore,
        now: Millis,
    ) -> (u16, Heartbeat) {
        let accepted = direct_commands.incarnation == self.incarnation
            && self.accept_token(direct_commands.fencing_token);
        if accepted {
            self.execute(direct_commands.commands, object_store, now);
        }
        (if accepted { 200 } else { 409 }, self.report())
    }

    fn execute(&mut self, commands: Vec<Command>, object_store: &mut ObjectStore, now: Millis) {
        for command in commands.into_iter().take(MAX_COMMANDS_PER_MESSAGE) {
            self.changed = true;
            match command {
                Command::Start { task, attempt } => self.start(task, attempt, object_store, now),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(&task, attempt, millis(grace_s), object_store, now),
                Command::Reap { task, attempt } => {
                    self.tasks
                        .retain(|t| t.is_live() || !t.is_attempt(&task, attempt));
                }
            }
        }
    }

    /// Returns the free processors, accelerators and memory.
    fn free(&self, object_store: &ObjectStore) -> (f64, f64, f64) {
        let all = (
            self.machine_type.cpus,
            self.machine_type.gpus,
            self.machine_type.memory_gb,
        );
        let live_tasks = self.tasks.iter().filter(|t| t.is_live());
        live_tasks
            .filter_map(|t| object_store.spec(&t.name))
            .fold(all, |(c, g, m), s| {
                (c - s.cpus, g - s.gpus, m - s.memory_gb)
            })
    }

    fn start(&mut self, name: String, attempt: u64, object_store: &mut ObjectStore, now: Millis) {
        if self.tasks.iter().any(|t| t.is_attempt(&name, attempt)) {
            return;
        }
        let (cpus, gpus, memory) = self.free(object_store);
        const SLACK: f64 = 1e-6;
        let refused = match object_store.spec(&name) {
            _ if self.tasks.iter().any(|t| t.is_live() && t.name == name) => {
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
                millis(s.image_gb / self.machine_type.fetch_gb_per_s)
            }
            _ => 0,
        };
        // A fetch of the same image that is under way serves this task too.
        let image = object_store.spec(&name).map(|s| s.image.clone());
        let fetch_end = self
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
            exit_reason: refused,
            saved: false,
            since: now,
            until: fetch_end.unwrap_or(now + fetch),
        });
    }

    fn stop(
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
            .position(|t| t.is_live() && t.is_attempt(name, attempt))
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
                    object_store.gang_task_stopping(name, attempt, now);
                }
                let task = &mut self.tasks[i];
                // `since` holds the run time from here on; it is stored with the
                // checkpoint.
                task.state = TaskState::Saving;
                task.until = now + save;
                task.since = now.saturating_sub(task.since);
            }
            _ => self.exit(i, ExitReason::Stopped, object_store, now),
        }
    }

    /// Ends a task on this machine for the given reason.
    fn exit(
        &mut self,
        i: usize,
        exit_reason: ExitReason,
        object_store: &mut ObjectStore,
        now: Millis,
    ) {
        let task = &mut self.tasks[i];
        let kind = object_store.spec(&task.name).map(|s| s.kind);
        let old_state = task.state;
        task.state = TaskState::Exited;
        task.exit_reason = Some(exit_reason);
        self.changed = true;
        let name = task.name.clone();
        if exit_reason == ExitReason::Done {
            object_store.record_finished(&name);
        } else if kind == Some(Kind::Gang) {
            if !matches!(old_state, TaskState::Fetching) && !task.saved {
                object_store.gang_task_lost(&name, task.attempt, now);
            }
        } else if old_state == TaskState::Running {
            object_store.record_progress(&name, now.saturating_sub(task.since), false);
        }
        object_store.task_left(&name, &self.id);
    }

    /// Advances the worker to the current time: expires the lease if it was not renewed,
    /// and advances the tasks.
    pub fn step(&mut self, object_store: &mut ObjectStore, now: Millis) {
        if now > self.lease_start + millis(self.limits.lease_s) {
            self.expire_lease(object_store, now);
        }
        for i in 0..self.tasks.len() {
            if self.tasks[i].needs_advance(now) {
                self.advance(i, object_store, now);
            }
        }
    }

    /// Kills all tasks because the lease has expired, and begins a new incarnation.
    fn expire_lease(&mut self, object_store: &mut ObjectStore, now: Millis) {
        self.lose_all(object_store, now);
        self.tasks.clear();
        self.incarnation += 1;
        self.lease_start = now;
        self.changed = true;
    }

    /// Ends all tasks, as when the machine is lost.
    pub fn lose_all(&mut self, object_store: &mut ObjectStore, now: Millis) {
        for i in 0..self.tasks.len() {
            if self.tasks[i].is_live() {
                self.exit(i, ExitReason::Stopped, object_store, now);
            }
        }
    }

    /// Advances a task to the current time.
    fn advance(&mut self, i: usize, object_store: &mut ObjectStore, now: Millis) {
        let (name, attempt) = (self.tasks[i].name.clone(), self.tasks[i].attempt);
        let Some(kind) = object_store.spec(&name).map(|s| s.kind) else {
            return;
        };
        match self.tasks[i].state {
            TaskState::Fetching if now >= self.tasks[i].until => {
                self.on_image_fetched(i, kind, object_store, now);
            }
            TaskState::WaitingForGang => match object_store.gang_state(&name, attempt, now) {
                GangState::Waiting => {
                    let wait = millis(self.limits.gang_wait_s);
                    if now > self.tasks[i].since + wait {
                        self.exit(i, ExitReason::GangIncomplete, object_store, now);
                    }
                }
                GangState::Running => self.set_state(i, TaskState::Running, now),
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
                self.finish_checkpoint(i, kind, object_store, now)
            }
            _ => {}
        }
    }

    fn set_state(&mut self, i: usize, state: TaskState, now: Millis) {
        self.tasks[i].state = state;
        self.tasks[i].since = now;
        self.changed = true;
    }

    /// Starts a task whose image has been fetched.
    fn on_image_fetched(
        &mut self,
        i: usize,
        kind: Kind,
        object_store: &mut ObjectStore,
        now: Millis,
    ) {
        let (name, attempt) = (self.tasks[i].name.clone(), self.tasks[i].attempt);
        if let Some(image) = object_store.spec(&name).map(|s| s.image.clone()) {
            self.images.retain(|o| *o != image);
            self.images.push_back(image);
            if self.images.len() > MAX_CACHED_IMAGES {
                self.images.pop_front();
            }
        }
        if object_store.is_finished(&name) {
            return self.exit(i, ExitReason::Done, object_store, now);
        }
        object_store.task_started(&name, &self.id, now);
        if object_store.start_fails(&name) {
            return self.exit(i, ExitReason::Error, object_store, now);
        }
        if kind == Kind::Gang {
            self.set_state(i, TaskState::WaitingForGang, now);
            object_store.gang_task_ready(&name, attempt, now);
        } else {
            self.set_state(i, TaskState::Running, now);
            self.tasks[i].until = object_store
                .left_ms(&name)
                .map_or(Millis::MAX, |left| now + left);
        }
    }

    /// Ends a task that has saved a checkpoint; a gang task waits until that of the
    /// whole gang is complete.
    fn finish_checkpoint(
        &mut self,
        i: usize,
        kind: Kind,
        object_store: &mut ObjectStore,
        now: Millis,
    ) {
        let (name, attempt) = (self.tasks[i].name.clone(), self.tasks[i].attempt);
        if kind == Kind::Gang {
            match object_store.gang_task_saved(&name, attempt, now) {
                Some(true) => self.tasks[i].saved = true,
                Some(false) => return self.exit(i, ExitReason::GangMemberLost, object_store, now),
                None => return,
            }
        } else {
            let ran = self.tasks[i].since;
            object_store.record_progress(&name, ran, true);
            self.tasks[i].saved = true;
        }
        self.exit(i, ExitReason::Stopped, object_store, now);
    }
}

#[cfg(test)]
mod tests;
