//! The machines' agents: heartbeats, execution of commands, and tasks.

use super::*;

impl Worker {
    /// Whether the worker was paused past its lease: the tasks that it lists never resume.
    pub(super) fn is_lost(&self, now: Millis) -> bool {
        self.paused_until > 0 && now > self.lease_renewed_at + LEASE
    }
}

impl Task {
    /// Carries out a stop: a running task with checkpoints saves one if the grace period
    /// allows it, a task that is saving goes on unless it has no grace left, and every other
    /// task exits at once.
    fn stop(&mut self, specs: &HashMap<String, JobSpec>, grace_s: f64, now: Millis) {
        let spec = specs.get(self.name.rsplit_once('/').unwrap().0);
        let checkpoint_s = spec
            .filter(|spec| spec.checkpoint_interval_s > 0.0)
            .map(|spec| spec.checkpoint_cost_s);
        match (self.state, checkpoint_s) {
            (TaskState::Exited, _) => {}
            (TaskState::Running, Some(cost_s)) if grace_s >= cost_s => {
                self.state = TaskState::Saving;
                self.until = now + (cost_s * 1000.0) as Millis;
            }
            (TaskState::Saving, _) if grace_s > 0.0 => {}
            _ => {
                self.state = TaskState::Exited;
                self.exit_reason = Some(ExitReason::Stopped);
            }
        }
    }
}

impl Simulation {
    /// Returns the fencing token that the leader would give the worker now.
    pub fn leader_token(&mut self, worker_id: usize) -> u64 {
        let node_id = self.leader().expect("a node leads");
        let leader = self.nodes[node_id].leader.as_ref().unwrap();
        let handle = leader.cluster.machine_handle(&self.workers[worker_id].name);
        let token_epoch = handle
            .and_then(|handle| leader.cluster.machine(handle))
            .map_or(0, |m| m.token_epoch);
        (leader.term << 20) | token_epoch
    }

    /// The cloud announces that it reclaims the machine in `ms`, which the worker reports.
    pub fn announce_reclaim(&mut self, worker_id: usize, ms: Millis) {
        let worker = &mut self.workers[worker_id];
        worker.reclaim_at = Some(self.now + ms);
        worker.report_due = true;
    }

    /// Returns the number of the job's tasks that save a checkpoint.
    pub fn saving(&self, id: &str) -> usize {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        tasks
            .filter(|t| t.state == TaskState::Saving && t.name.starts_with(id))
            .count()
    }

    /// Ends the saving of all tasks on the worker: their checkpoints are stored.
    pub fn end_saving(&mut self, worker_id: usize) {
        let tasks = self.workers[worker_id].tasks.iter_mut();
        for task in tasks.filter(|t| t.state == TaskState::Saving) {
            task.until = self.now;
        }
    }

    /// Returns the heartbeat that the worker would send now.
    pub fn heartbeat_of(&mut self, worker_id: usize) -> Heartbeat {
        self.next_heartbeat(worker_id)
    }

    pub(super) fn next_heartbeat(&mut self, worker_id: usize) -> Heartbeat {
        let now = self.now;
        let worker = &mut self.workers[worker_id];
        worker.seq += 1;
        Heartbeat {
            machine: worker.name.clone(),
            addr: "127.0.0.1:9".into(),
            type_name: "m8".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: worker.incarnation,
            seq: worker.seq,
            acknowledged_token: worker.token,
            reclaim_in_s: worker
                .reclaim_at
                .map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: worker
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    exit_reason: t.exit_reason,
                    checkpointed: false,
                })
                .collect(),
        }
    }

    /// Executes commands on worker `worker_id`.
    pub(super) fn execute(&mut self, worker_id: usize, commands: Vec<Command>) {
        let now = self.now;
        let fetch_ms = self.fetch_ms;
        for command in commands {
            let worker = &mut self.workers[worker_id];
            worker.report_due = true;
            match command {
                Command::Start { task, attempt } => {
                    if worker
                        .tasks
                        .iter()
                        .any(|t| t.name == task && t.attempt == attempt)
                    {
                        continue;
                    }
                    let is_duplicate = worker
                        .tasks
                        .iter()
                        .any(|t| t.name == task && t.state != TaskState::Exited);
                    let job_id = task.rsplit_once('/').unwrap().0.to_owned();
                    let live_tasks = worker
                        .tasks
                        .iter()
                        .filter(|t| t.state != TaskState::Exited)
                        .count();
                    let rejection = if is_duplicate {
                        Some(ExitReason::DuplicateTask)
                    } else if live_tasks >= 2 {
                        Some(ExitReason::InsufficientResources)
                    } else if !self.specs.contains_key(&job_id) {
                        Some(ExitReason::UnknownTask)
                    } else {
                        None
                    };
                    worker.tasks.push(Task {
                        name: task,
                        attempt,
                        state: if rejection.is_some() {
                            TaskState::Exited
                        } else {
                            TaskState::Fetching
                        },
                        exit_reason: rejection,
                        until: now + fetch_ms,
                        started_unfenced_at: 0,
                    });
                }
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let stopped = worker
                        .tasks
                        .iter_mut()
                        .filter(|t| t.name == task && t.attempt == attempt);
                    for t in stopped {
                        t.stop(&self.specs, grace_s, now);
                    }
                }
                Command::Reap { task, attempt } => {
                    let is_done = worker.tasks.iter().any(|t| {
                        t.name == task
                            && t.attempt == attempt
                            && t.exit_reason == Some(ExitReason::Done)
                    });
                    if is_done && !self.completion_is_stored(&task) {
                        self.violations.push(format!(
                            "completed task {task} was reaped before its completion was recorded"
                        ));
                    }
                    self.workers[worker_id].tasks.retain(|t| {
                        !(t.name == task && t.attempt == attempt && t.state == TaskState::Exited)
                    });
                }
            }
        }
    }

    /// Whether the completion of the task is stored.
    fn completion_is_stored(&self, task: &str) -> bool {
        let (id, task_index) = task.rsplit_once('/').unwrap();
        let task_index: u32 = task_index.parse().unwrap();
        if self.done(id) {
            return true;
        }
        let Some((value, _)) = self.store.kv.get(&records::job_key(id)) else {
            return false;
        };
        let record: StoredJob = serde_json::from_value(value.clone()).unwrap();
        let mut bits = TaskBitmap::with_len(self.specs[id].tasks);
        bits.load(0, &record.completed);
        for (key, value, _) in self.store.list(&format!("c/{id}/")) {
            let segment = key.rsplit_once('/').unwrap().1.parse().unwrap();
            bits.load(segment, value.as_str().unwrap());
        }
        record.cancelled || bits.get(task_index)
    }

    /// Runs one step of worker `worker_id`: its lease, its tasks and its heartbeats.
    pub(super) fn step_worker(&mut self, worker_id: usize) {
        let now = self.now;
        let run_ms = self.run_ms;
        let nodes = self.nodes.len();
        let mut started = Vec::new();
        let worker = &mut self.workers[worker_id];
        if !worker.alive || now < worker.boots_at || now < worker.paused_until {
            return;
        }
        if std::mem::take(&mut worker.paused_until) > 0 {
            // The machine's tasks were paused as well: their ends move by the time since the
            // last heartbeat.
            let since_last_heartbeat = now - worker.heartbeat_sent_at.min(now);
            let running = |t: &&mut Task| matches!(t.state, TaskState::Running | TaskState::Saving);
            let tasks = worker.tasks.iter_mut().filter(running);
            tasks.for_each(|t| t.until = t.until.saturating_add(since_last_heartbeat));
        }
        if now > worker.lease_renewed_at + LEASE {
            worker.incarnation += 1;
            worker.lease_renewed_at = now;
            self.expired_tasks += worker
                .tasks
                .iter()
                .filter(|t| t.state != TaskState::Exited)
                .count();
            worker.tasks.clear();
            worker.report_due = true;
        }
        for t in worker.tasks.iter_mut().filter(|t| now >= t.until) {
            let spec = &self.specs[t.name.rsplit_once('/').unwrap().0];
            match t.state {
                TaskState::Fetching
                    if worker.fails_tasks || self.faulty_jobs.contains(&spec.id) =>
                {
                    t.state = TaskState::Exited;
                    t.exit_reason = Some(ExitReason::Error);
                    self.failed += 1;
                    worker.report_due = true;
                }
                TaskState::Fetching => {
                    t.state = TaskState::Running;
                    t.until = if spec.kind == Kind::Service {
                        Millis::MAX
                    } else {
                        now + run_ms
                    };
                    started.push(t.name.clone());
                    worker.report_due = true;
                }
                TaskState::Saving => {
                    t.state = TaskState::Exited;
                    t.exit_reason = Some(ExitReason::Stopped);
                    worker.report_due = true;
                }
                TaskState::Running => {
                    t.state = TaskState::Exited;
                    t.exit_reason = Some(ExitReason::Done);
                    self.finished.insert(t.name.clone());
                    worker.report_due = true;
                }
                _ => {}
            }
        }
        if let Some((_, sent)) = worker.heartbeat_in_flight
            && now > sent + 4000
        {
            worker.heartbeat_in_flight = None;
            worker.target = (worker.target + 1) % nodes;
            worker.next_heartbeat_at = now + 1000;
        }
        if worker.heartbeat_in_flight.is_none()
            && (now >= worker.next_heartbeat_at
                || (worker.report_due && now >= worker.heartbeat_sent_at + 500))
        {
            worker.next_heartbeat_at = now + 1000;
            worker.heartbeat_sent_at = now;
            worker.report_due = false;
            let target = worker.target;
            let refused = self.link(target, Endpoint::Worker(worker_id)) == Link::Reset
                || self.workers[worker_id].net == Net::DirectCommandsOnly;
            if self.nodes[target].alive && !refused {
                let report = self.next_heartbeat(worker_id);
                self.workers[worker_id].heartbeat_in_flight = Some((report.seq, now));
                self.duplicate_heartbeat(worker_id, &report);
                self.send(
                    target,
                    worker_id,
                    5,
                    Msg::Heartbeat(target, worker_id, report, now),
                );
            } else {
                self.workers[worker_id].target = (target + 1) % nodes;
            }
        }
        for name in started {
            self.starts += 1;
            self.start_log.push((now, worker_id, name.clone()));
            self.check_start(worker_id, &name);
        }
    }
}
