//! The rules, asserted at every step.

use super::*;

impl World {
    fn on_machines(&self) -> impl Iterator<Item = (usize, &Task)> {
        self.workers.iter().enumerate().flat_map(|(i, w)| {
            w.tasks
                .iter()
                .filter(|t| t.state == TaskState::Running)
                .map(move |t| (i, t))
        })
    }

    pub(super) fn check_start(&mut self, w: usize, name: &str) {
        let id = name.rsplit_once('/').unwrap().0;
        let spec = self.specs[id].clone();
        self.started_after += u32::from(self.told.contains_key(&format!("{id}!")));
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
        if spec.one_zone && zones.len() > 1 {
            found.push(format!("wrong_place: {name}, {zones:?}"));
        }
        if spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)) {
            found.push(format!("wrong_place: {name}, {zones:?}"));
        }
        if self.workers[w].spot && !spec.spot {
            found.push(format!("wrong_place: {name} on a spot machine"));
        }
        for need in &spec.needs {
            // A report is not enough: whoever leads next must know of it.
            let done = self.store.kv.get(&records::final_key(need));
            if done.is_none_or(|(v, _)| v["s"] != "done") {
                found.push(format!(
                    "too_early: {name} before {need} is recorded as done"
                ));
            }
        }
        self.broken.extend(found);
    }

    /// When a user was first told that the job, or one that it needs directly
    /// or not, is cancelled.
    pub(super) fn cancelled_before(&self, id: &str) -> Option<Ms> {
        let mut first = self.told.get(&format!("{id}!")).map(|t| t.1);
        let (mut all, mut seen) = (vec![id.to_owned()], BTreeSet::new());
        while let Some(id) = all.pop() {
            for need in self.specs.get(&id).map_or(&[][..], |s| &s.needs) {
                if seen.insert(need.clone()) {
                    let at = self.told.get(&format!("{need}!")).map(|t| t.1);
                    first = first.into_iter().chain(at).min();
                    all.push(need.clone());
                }
            }
        }
        first
    }

    pub(super) fn check_told(&mut self, id: &str, state: JobState) {
        // Of one that was submitted later, the time counts from then.
        let since = self.submitted.get(id).copied().unwrap_or(0);
        let (now, cancelled) = (self.now, self.cancelled_before(id).map(|at| at.max(since)));
        match (state, cancelled) {
            (JobState::Queued | JobState::Running, Some(at)) if now > at + CANCEL => {
                self.broken
                    .push(format!("orphaned: {id} is called {state:?}"));
            }
            (JobState::Cancelled, None) if !self.asked_to_cancel(id) => {
                self.broken
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
                all.extend(s.needs.iter().cloned());
            }
        }
        false
    }

    pub(super) fn check(&mut self) {
        let now = self.now;
        let mut found = Vec::new();
        let limit = self.settings.cluster.teams[0].cpus_max;
        let cpus: f64 = self
            .on_machines()
            .map(|(_, t)| self.specs[t.name.rsplit_once('/').unwrap().0].cpus)
            .sum();
        if limit > 0.0 && cpus > limit {
            found.push(format!("quota: {cpus} of {limit}"));
        }
        for (i, t) in self.on_machines() {
            let id = t.name.rsplit_once('/').unwrap().0;
            if let Some((_, at)) = self.told.get(&format!("{id}!"))
                && now > at + CANCEL
            {
                found.push(format!("ran_cancelled: {} on {i}", t.name));
            }
        }
        self.broken.extend(found);
    }
}
