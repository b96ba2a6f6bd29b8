//! The checker of invariants: tasks on machines, quotas, cancellations, and jobs
//! that wait beside capacity. It looks at machines and records only, never at a
//! leader's own state, and reports into `Simulation::violations`.

use super::*;

impl Simulation {
    fn on_machines(&self) -> impl Iterator<Item = (usize, &Task)> {
        let now = self.now;
        self.workers.iter().enumerate().flat_map(move |(i, w)| {
            w.tasks
                .iter()
                .filter(move |t| t.state == TaskState::Running && !w.is_lost(now))
                .map(move |t| (i, t))
        })
    }

    /// A task starts on worker `w`: not while it runs elsewhere, within the job's
    /// placement constraints, and after its dependencies.
    pub(super) fn check_start(&mut self, w: usize, name: &str) {
        let id = name.rsplit_once('/').unwrap().0;
        let spec = self.specs[id].clone();
        self.started_after_cancellation += u32::from(self.answered.contains_key(&format!("{id}!")));
        let mut found = Vec::new();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (i, t) in self.on_machines() {
            if t.name == name && i != w {
                found.push(format!("ran_twice: {name} on {w} and {i}"));
            }
            if t.name.starts_with(&format!("{id}/")) {
                *zones.entry(&self.workers[i].zone).or_default() += 1;
            }
        }
        if spec.single_zone && zones.len() > 1 {
            found.push(format!("wrong_place: {name}, {zones:?}"));
        }
        if spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)) {
            found.push(format!("wrong_place: {name}, {zones:?}"));
        }
        if self.workers[w].spot && !spec.spot {
            found.push(format!("wrong_place: {name} on a spot machine"));
        }
        for need in &spec.dependencies {
            // A heartbeat is not enough: the next leader must know of it.
            let done = self.store.kv.get(&records::final_key(need));
            if done.is_none_or(|(v, _)| v["s"] != "done") {
                found.push(format!(
                    "too_early: {name} before {need} is recorded as done"
                ));
            }
        }
        self.violations.extend(found);
    }

    /// When a user was first answered that the job, or a direct or indirect
    /// dependency of it, is cancelled.
    pub(super) fn cancelled_before(&self, id: &str) -> Option<Millis> {
        let mut first = self.answered.get(&format!("{id}!")).map(|t| t.1);
        let (mut all, mut seen) = (vec![id.to_owned()], BTreeSet::new());
        while let Some(id) = all.pop() {
            for need in self.specs.get(&id).map_or(&[][..], |s| &s.dependencies) {
                if seen.insert(need.clone()) {
                    let at = self.answered.get(&format!("{need}!")).map(|t| t.1);
                    first = first.into_iter().chain(at).min();
                    all.push(need.clone());
                }
            }
        }
        first
    }

    /// An answer given now agrees with the cancellations so far.
    pub(super) fn check_cancellation_answer(&mut self, id: &str, state: JobState) {
        // Of one that was submitted later, the time counts from then.
        let since = self.submitted.get(id).copied().unwrap_or(0);
        let (now, cancelled) = (self.now, self.cancelled_before(id).map(|at| at.max(since)));
        match (state, cancelled) {
            (JobState::Queued | JobState::Running, Some(at)) if now > at + CANCEL => {
                self.violations
                    .push(format!("orphaned: {id} is called {state:?}"));
            }
            (JobState::Cancelled, None) if !self.asked_to_cancel(id) => {
                self.violations
                    .push(format!("went_back: nobody cancelled {id}"));
            }
            _ => {}
        }
    }

    fn asked_to_cancel(&self, id: &str) -> bool {
        let mut all = vec![id.to_owned()];
        let mut seen = BTreeSet::new();
        while let Some(id) = all.pop() {
            if self.cancelling.contains(&id) {
                return true;
            }
            if seen.insert(id.clone())
                && let Some(s) = self.specs.get(&id)
            {
                all.extend(s.dependencies.iter().cloned());
            }
        }
        false
    }

    /// What holds at every step.
    pub(super) fn check(&mut self) {
        let now = self.now;
        let mut found = Vec::new();
        for team in &self.settings.cluster.teams {
            let spec = |t: &Task| &self.specs[t.name.rsplit_once('/').unwrap().0];
            let of = self.on_machines().map(|(_, t)| spec(t));
            let cpus: f64 = of.filter(|s| s.team == team.name).map(|s| s.cpus).sum();
            if team.cpus_max > 0.0 && cpus > team.cpus_max {
                found.push(format!(
                    "quota: {} uses {cpus} of {}",
                    team.name, team.cpus_max
                ));
            }
        }
        for (i, t) in self.on_machines() {
            let id = t.name.rsplit_once('/').unwrap().0;
            if let Some((_, at)) = self.answered.get(&format!("{id}!"))
                && now > at + CANCEL
            {
                found.push(format!("ran_cancelled: {} on {i}", t.name));
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

    /// While there is no fault, no task that may start waits for 90 s beside a
    /// machine with capacity for it, its team under its limit.
    fn check_waiting_jobs(&mut self) {
        let now = self.now;
        let on: BTreeSet<&str> = (self.workers.iter().filter(|w| w.alive))
            .flat_map(|w| w.tasks.iter().map(|t| t.name.as_str()))
            .collect();
        let used = |w: &Worker| {
            let live = w.tasks.iter().filter(|t| t.state != TaskState::Exited);
            live.count()
        };
        let up = |w: &&Worker| w.alive && now >= w.boots_at && w.net == Net::Up && !w.fails_tasks;
        let room: Vec<&Worker> = (self.workers.iter().filter(up))
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
            let known = self.submitted.contains_key(id) && !self.done(id);
            let free = spec.dependencies.iter().all(|n| self.done(n));
            if !known || !free || self.faulty.contains(id) || self.cancelling.contains(id) {
                continue;
            }
            let name = |t| format!("{id}/{t}");
            let waits = |t: &String| !on.contains(t.as_str()) && !self.finished.contains(t);
            let tasks = (0..spec.tasks).map(name).filter(waits).count();
            let limit = self.settings.cluster.teams.iter();
            let limit = limit.filter(|t| t.name == spec.team).map(|t| t.cpus_max);
            let limit = limit.sum::<f64>();
            let (one, all) = (spec.cpus, spec.cpus * tasks as f64);
            let needs = if spec.kind == Kind::Array { one } else { all };
            let under = limit == 0.0 || usage(&spec.team) + needs <= limit;
            let fits = room.iter().filter(|w| {
                spec.zone.as_ref().is_none_or(|z| *z == w.zone) && (spec.spot || !w.spot)
            });
            let fits = fits.map(|w| 2 - used(w)).sum::<usize>();
            let wants = if spec.kind == Kind::Gang { tasks } else { 1 };
            // Rules for zones are looked at by the other checks.
            let apart = spec.spread || spec.single_zone;
            if tasks > 0 && under && fits >= wants && !apart {
                waiting.insert(id.clone());
            }
        }
        self.waiting_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.waiting_since.entry(id.clone()).or_insert(now);
            if now > since + 90_000 {
                self.violations
                    .push(format!("{id} waits beside room for 90 s"));
            }
        }
    }
}
