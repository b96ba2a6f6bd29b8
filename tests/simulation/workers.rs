//! Workers: what they report, carry out and run.

use super::*;

impl Worker {
    /// It hangs, or has not looked at its lease since, and that is over: what it
    /// lists never goes on.
    pub(super) fn is_lost(&self, now: Millis) -> bool {
        self.hangs_until > 0 && now > self.last_ok + LEASE
    }
}

impl World {
    /// The token that the leader would give the machine now.
    pub fn leader_token(&mut self, w: usize) -> u64 {
        let i = self.leader().expect("somebody leads");
        let l = self.nodes[i].leader.as_ref().unwrap();
        let ix = l.cluster.machine_index(&self.workers[w].name);
        let fence = ix
            .and_then(|ix| l.cluster.machine(ix))
            .map_or(0, |m| m.token_epoch);
        (l.term << 20) | fence
    }

    /// A report as the worker would send it now.
    pub fn report_of(&mut self, w: usize) -> Heartbeat {
        self.report(w)
    }

    pub(super) fn report(&mut self, w: usize) -> Heartbeat {
        let worker = &mut self.workers[w];
        worker.seq += 1;
        Heartbeat {
            machine: worker.name.clone(),
            addr: "127.0.0.1:9".into(),
            type_name: "m8".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: worker.session,
            seq: worker.seq,
            acknowledged_token: worker.token,
            reclaim_in_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    exit_reason: t.why,
                    checkpointed: false,
                })
                .collect(),
        }
    }

    pub(super) fn execute(&mut self, w: usize, commands: Vec<Command>) {
        let now = self.now;
        let fetch_ms = self.fetch_ms;
        for c in commands {
            let worker = &mut self.workers[w];
            worker.dirty = true;
            match c {
                Command::Start { task, attempt } => {
                    if worker
                        .tasks
                        .iter()
                        .any(|t| t.name == task && t.attempt == attempt)
                    {
                        continue;
                    }
                    let other = worker
                        .tasks
                        .iter()
                        .any(|t| t.name == task && t.state != TaskState::Exited);
                    let id = task.rsplit_once('/').unwrap().0.to_owned();
                    let live = worker
                        .tasks
                        .iter()
                        .filter(|t| t.state != TaskState::Exited)
                        .count();
                    let why = if other {
                        Some(ExitReason::DuplicateTask)
                    } else if live >= 2 {
                        Some(ExitReason::InsufficientResources)
                    } else if !self.specs.contains_key(&id) {
                        Some(ExitReason::UnknownTask)
                    } else {
                        None
                    };
                    worker.tasks.push(Task {
                        name: task,
                        attempt,
                        state: if why.is_some() {
                            TaskState::Exited
                        } else {
                            TaskState::Fetching
                        },
                        why,
                        until: now + fetch_ms,
                    });
                }
                Command::Stop { task, attempt, .. } => {
                    for t in worker
                        .tasks
                        .iter_mut()
                        .filter(|t| t.name == task && t.attempt == attempt)
                    {
                        if t.state != TaskState::Exited {
                            t.state = TaskState::Exited;
                            t.why = Some(ExitReason::Stopped);
                        }
                    }
                }
                Command::Reap { task, attempt } => {
                    let done = worker.tasks.iter().any(|t| {
                        t.name == task && t.attempt == attempt && t.why == Some(ExitReason::Done)
                    });
                    if done && !self.recorded(&task) {
                        self.broken.push(format!("reaped before recorded: {task}"));
                    }
                    self.workers[w].tasks.retain(|t| {
                        !(t.name == task && t.attempt == attempt && t.state == TaskState::Exited)
                    });
                }
            }
        }
    }

    fn recorded(&self, task: &str) -> bool {
        let (id, n) = task.rsplit_once('/').unwrap();
        let n: u32 = n.parse().unwrap();
        if self.done(id) {
            return true;
        }
        let Some((v, _)) = self.store.kv.get(&records::job_key(id)) else {
            return false;
        };
        let record: StoredJob = serde_json::from_value(v.clone()).unwrap();
        let mut bits = TaskBitmap::with_len(self.specs[id].tasks);
        bits.load(0, &record.completed);
        for (k, v, _) in self.store.under(&format!("c/{id}/")) {
            let c = k.rsplit_once('/').unwrap().1.parse().unwrap();
            bits.load(c, v.as_str().unwrap());
        }
        record.cancelled || bits.get(n)
    }

    pub(super) fn worker_time(&mut self, w: usize) {
        let now = self.now;
        let run_ms = self.run_ms;
        let nodes = self.nodes.len();
        let mut started = Vec::new();
        let worker = &mut self.workers[w];
        if !worker.alive || now < worker.boots || now < worker.hangs_until {
            return;
        }
        if std::mem::take(&mut worker.hangs_until) > 0 {
            // Its tasks stood still as well.
            let lost = now - worker.sent.min(now);
            let running = |t: &&mut Task| t.state == TaskState::Running;
            let tasks = worker.tasks.iter_mut().filter(running);
            tasks.for_each(|t| t.until = t.until.saturating_add(lost));
        }
        if now > worker.last_ok + LEASE {
            worker.session += 1;
            worker.last_ok = now;
            self.lapsed += worker
                .tasks
                .iter()
                .filter(|t| t.state != TaskState::Exited)
                .count();
            worker.tasks.clear();
            worker.dirty = true;
        }
        for t in worker.tasks.iter_mut().filter(|t| now >= t.until) {
            let spec = &self.specs[t.name.rsplit_once('/').unwrap().0];
            match t.state {
                TaskState::Fetching if worker.sick || self.faulty.contains(&spec.id) => {
                    t.state = TaskState::Exited;
                    t.why = Some(ExitReason::Error);
                    self.failed += 1;
                    worker.dirty = true;
                }
                TaskState::Fetching => {
                    t.state = TaskState::Running;
                    t.until = if spec.kind == Kind::Service {
                        Millis::MAX
                    } else {
                        now + run_ms
                    };
                    started.push(t.name.clone());
                    worker.dirty = true;
                }
                TaskState::Running => {
                    t.state = TaskState::Exited;
                    t.why = Some(ExitReason::Done);
                    self.finished.insert(t.name.clone());
                    worker.dirty = true;
                }
                _ => {}
            }
        }
        if let Some((_, sent)) = worker.flight
            && now > sent + 4000
        {
            worker.flight = None;
            worker.target = (worker.target + 1) % nodes;
            worker.next = now + 1000;
        }
        if worker.flight.is_none()
            && (now >= worker.next || (worker.dirty && now >= worker.sent + 500))
        {
            worker.next = now + 1000;
            worker.sent = now;
            worker.dirty = false;
            let target = worker.target;
            let refused = self.link(target, EndLease::Worker(w)) == Link::Reset
                || self.workers[w].net == Net::Mute;
            if self.nodes[target].alive && !refused {
                let report = self.report(w);
                self.workers[w].flight = Some((report.seq, now));
                self.copy(w, &report);
                self.send(target, w, 5, Msg::Beat(target, w, report, now));
            } else {
                self.workers[w].target = (target + 1) % nodes;
            }
        }
        for name in started {
            self.starts += 1;
            self.story.push((now, w, name.clone()));
            self.check_start(w, &name);
        }
    }
}
