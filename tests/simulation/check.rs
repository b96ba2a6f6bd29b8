//! Checker of the invariants on tasks: where and when tasks run, team quotas,
//! cancellations, and jobs that wait although capacity is available. The checker reads
//! machines and stored records only, never the state of a leader, and adds what it finds
//! to `Simulation::violations`.

use super::*;

impl Simulation {
    /// Running and saving tasks with the indices of their workers, without workers that have lost
    /// their tasks by a pause longer than the lease.
    fn on_machines(&self) -> impl Iterator<Item = (usize, &Task)> {
        let now = self.now;
        self.workers.iter().enumerate().flat_map(move |(i, w)| {
            w.tasks
                .iter()
                .filter(move |t| {
                    matches!(t.state, TaskState::Running | TaskState::Saving) && !w.is_lost(now)
                })
                .map(move |t| (i, t))
        })
    }

    /// Checks the start of a task on worker `worker_id`: the task must not run on another worker,
    /// the job's placement constraints must hold, and its dependencies must be done.
    pub(super) fn check_start(&mut self, worker_id: usize, name: &str) {
        let id = name.rsplit_once('/').unwrap().0;
        let spec = self.specs[id].clone();
        self.started_after_cancellation += u32::from(self.answered.contains_key(&format!("{id}!")));
        let mut found = Vec::new();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (other_worker, task) in self.on_machines() {
            if task.name == name && other_worker != worker_id {
                found.push(format!(
                    "ran_twice: {name} runs on workers {worker_id} and {other_worker}"
                ));
            }
            if task.name.starts_with(&format!("{id}/")) {
                *zones.entry(&self.workers[other_worker].zone).or_default() += 1;
            }
        }
        if spec.single_zone && zones.len() > 1 {
            found.push(format!("wrong_place: {name}, tasks by zone: {zones:?}"));
        }
        if spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)) {
            found.push(format!("wrong_place: {name}, tasks by zone: {zones:?}"));
        }
        if self.workers[worker_id].spot && !spec.spot {
            found.push(format!("wrong_place: {name} on a spot machine"));
        }
        for dependency in &spec.dependencies {
            // The completion has to be recorded: a next leader would not know one that
            // only a heartbeat reported.
            let done = self.store.kv.get(&records::final_key(dependency));
            if done.is_none_or(|(v, _)| v["s"] != "done") {
                found.push(format!(
                    "too_early: {name} started before {dependency} is recorded as done"
                ));
            }
        }
        self.violations.extend(found);
    }

    /// Checks that a message which node `node_id` sends now starts no task of a job that a user
    /// was answered is cancelled.
    pub(super) fn check_sent_starts(&mut self, node_id: usize, msg: &Msg) {
        for task in msg.starts() {
            let id = task.rsplit_once('/').unwrap().0;
            if self.answered.contains_key(&format!("{id}!")) {
                self.violations.push(format!(
                    "start_sent: node {node_id} starts {task} after its job was answered as \
                     cancelled"
                ));
            }
        }
    }

    /// Returns when a user was first answered that the job, or a direct or indirect
    /// dependency of the job, is cancelled.
    pub(super) fn cancelled_before(&self, id: &str) -> Option<Millis> {
        let mut first = self.answered.get(&format!("{id}!")).map(|t| t.1);
        let (mut all, mut seen) = (vec![id.to_owned()], BTreeSet::new());
        while let Some(id) = all.pop() {
            for dependency in self.specs.get(&id).map_or(&[][..], |s| &s.dependencies) {
                if seen.insert(dependency.clone()) {
                    let at = self.answered.get(&format!("{dependency}!")).map(|t| t.1);
                    first = first.into_iter().chain(at).min();
                    all.push(dependency.clone());
                }
            }
        }
        first
    }

    /// Checks that an answer given now is consistent with the cancellations so far.
    pub(super) fn check_cancellation_answer(&mut self, id: &str, state: JobState) {
        // For a job submitted after its dependency was cancelled, the time limit runs from
        // the submission.
        let since = self.submitted.get(id).copied().unwrap_or(0);
        let (now, cancelled) = (self.now, self.cancelled_before(id).map(|at| at.max(since)));
        match (state, cancelled) {
            (JobState::Queued | JobState::Running, Some(at)) if now > at + CANCEL => {
                self.violations.push(format!(
                    "orphaned: {id} is answered {state:?} past the time limit for a cancellation"
                ));
            }
            (JobState::Cancelled, None) if !self.asked_to_cancel(id) => {
                self.violations.push(format!(
                    "went_back: {id} is answered as cancelled without a request to cancel"
                ));
            }
            _ => {}
        }
    }

    /// Whether a user asked to cancel the job or a direct or indirect dependency of it.
    fn asked_to_cancel(&self, id: &str) -> bool {
        let mut all = vec![id.to_owned()];
        let mut seen = BTreeSet::new();
        while let Some(id) = all.pop() {
            if self.cancel_requested.contains(&id) {
                return true;
            }
            if seen.insert(id.clone())
                && let Some(spec) = self.specs.get(&id)
            {
                all.extend(spec.dependencies.iter().cloned());
            }
        }
        false
    }

    /// Checks the invariants that hold at every step. For a task that a copy started on an agent
    /// which nobody had answered yet, the time limit of a cancellation runs from that start: no
    /// controller could prevent it.
    pub(super) fn check_invariants(&mut self) {
        let now = self.now;
        let mut found = Vec::new();
        for team in &self.settings.cluster.teams {
            let spec = |t: &Task| &self.specs[t.name.rsplit_once('/').unwrap().0];
            let of = self.on_machines().map(|(_, t)| spec(t));
            let cpus: f64 = of.filter(|s| s.team == team.name).map(|s| s.cpus).sum();
            if team.cpus_max > 0.0 && cpus > team.cpus_max {
                found.push(format!(
                    "quota: {} uses {cpus} of {} CPUs",
                    team.name, team.cpus_max
                ));
            }
        }
        for (worker_id, t) in self.on_machines() {
            let id = t.name.rsplit_once('/').unwrap().0;
            if let Some((_, at)) = self.answered.get(&format!("{id}!"))
                && now > t.started_unfenced_at.max(*at) + CANCEL
            {
                found.push(format!(
                    "ran_cancelled: {} still runs on worker {worker_id} past the time limit",
                    t.name
                ));
            }
        }
        self.violations.extend(found);
        match self.fault_free {
            true if now.is_multiple_of(1_000) => self.check_waiting_jobs(),
            true => {}
            false => {
                self.waiting_since.clear();
                self.traffic.excuse_missing_answers();
            }
        }
    }

    /// Checks that, while no fault is injected, no task that may start waits for 90 s
    /// although a machine has capacity for it and its team is under its limit.
    fn check_waiting_jobs(&mut self) {
        let now = self.now;
        let on_workers: BTreeSet<&str> = (self.workers.iter().filter(|w| w.alive))
            .flat_map(|w| w.tasks.iter().map(|t| t.name.as_str()))
            .collect();
        let used = |w: &Worker| {
            let live = w.tasks.iter().filter(|t| t.state != TaskState::Exited);
            live.count()
        };
        let is_usable =
            |w: &&Worker| w.alive && now >= w.boots_at && w.net == Net::Up && !w.fails_tasks;
        let machines_with_capacity: Vec<&Worker> = (self.workers.iter().filter(is_usable))
            .filter(|w| used(w) < 2)
            .collect();
        let usage = |team: &str| -> f64 {
            let tasks = self.workers.iter().flat_map(|w| &w.tasks);
            let live = tasks.filter(|t| t.state != TaskState::Exited);
            let of = live.map(|t| &self.specs[t.name.rsplit_once('/').unwrap().0]);
            of.filter(|s| s.team == team).map(|s| s.cpus).sum()
        };
        let mut waiting = BTreeSet::new();
        for (id, spec) in &self.specs {
            let is_open = self.submitted.contains_key(id) && !self.done(id);
            let dependencies_done = spec.dependencies.iter().all(|n| self.done(n));
            if !is_open
                || !dependencies_done
                || self.faulty_jobs.contains(id)
                || self.cancel_requested.contains(id)
            {
                continue;
            }
            let name = |t| format!("{id}/{t}");
            let waits = |t: &String| !on_workers.contains(t.as_str()) && !self.finished.contains(t);
            let tasks = (0..spec.tasks).map(name).filter(waits).count();
            let limit = self.settings.cluster.teams.iter();
            let limit = limit.filter(|t| t.name == spec.team).map(|t| t.cpus_max);
            let limit = limit.sum::<f64>();
            let (task_cpus, all) = (spec.cpus, spec.cpus * tasks as f64);
            let required_cpus = if spec.kind == Kind::Array {
                task_cpus
            } else {
                all
            };
            let under_limit = limit == 0.0 || usage(&spec.team) + required_cpus <= limit;
            let free_slots = machines_with_capacity.iter().filter(|w| {
                spec.zone.as_ref().is_none_or(|z| *z == w.zone) && (spec.spot || !w.spot)
            });
            let free_slots = free_slots.map(|w| 2 - used(w)).sum::<usize>();
            let required_slots = if spec.kind == Kind::Gang { tasks } else { 1 };
            // Jobs with zone constraints are left out: their placement is checked at the
            // start of each task.
            let has_zone_constraint = spec.spread || spec.single_zone;
            if tasks > 0 && under_limit && free_slots >= required_slots && !has_zone_constraint {
                waiting.insert(id.clone());
            }
        }
        self.waiting_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.waiting_since.entry(id.clone()).or_insert(now);
            if now > since + 90_000 {
                self.violations.push(format!(
                    "{id} has waited 90 s although a machine has capacity"
                ));
            }
        }
    }
}
