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
        self.broken.extend(found);
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
