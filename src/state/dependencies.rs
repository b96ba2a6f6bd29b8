//! The dependency graph of jobs: which wait for which, what became ready, what
//! is to be cancelled with a job that it depends on, and the priority that a job
//! inherits from its dependents.
//!
//! Owns the edges between live jobs and the lookups of unknown ones. Called by
//! the leader as jobs come, are cancelled and end. Must never be called with
//! what is not durable yet: a job must not start, or be cancelled, by a state
//! that a failover may undo.

use super::cluster::JobHandle;
use crate::protocol::users::Priority;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    rc::Rc,
};

/// The state of a job that another depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Not over: its handle, and its own priority.
    Live(JobHandle, Priority),
    /// Its final record says so.
    Done,
    /// It is recorded as cancelled, or surely will be.
    Cancelled,
    /// Not known to be live: its final record is to be read.
    Unknown,
}

/// Whether a job's dependencies let its tasks start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Readiness {
    /// All are done.
    #[default]
    Ready,
    /// Of some it is not known yet whether they are done; an earlier leader may
    /// have started the job.
    Unresolved,
    /// One is surely not done: nothing of the job can run anywhere.
    Blocked,
}

/// A live job that is to be cancelled, as a job that it depends on was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DependentCancellation {
    /// The job.
    pub job: JobHandle,
    /// The id of the job whose cancellation reached it, directly or through others.
    pub dependency: Rc<str>,
}

/// What follows from the latest changes of the graph.
#[derive(Debug, Default)]
pub struct DependencyChanges {
    /// Jobs whose readiness or priority may have changed.
    pub changed: Vec<JobHandle>,
    /// Jobs that are to be cancelled (`must_cancel`).
    pub cancellations: Vec<DependentCancellation>,
}

#[derive(Debug, Default)]
struct DependencyNode {
    /// Its id, once another job depends on it.
    id: Rc<str>,
    /// Live jobs that it depends on.
    dependencies: HashSet<JobHandle>,
    /// How many dependencies nothing is known of yet.
    unresolved: usize,
    /// That many, and the live dependencies of which the same number is not 0.
    unresolved_before: usize,
    /// A dependency was cancelled.
    must_cancel: bool,
    /// Live jobs that depend on it.
    dependents: HashSet<JobHandle>,
    /// How many of those have which effective priority.
    dependent_priorities: [u32; 4],
    own_priority: Option<Priority>,
    effective_priority: Option<Priority>,
}

/// By rank, which is the index in `dependent_priorities`.
const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

/// Live jobs and what they depend on.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Of live jobs.
    nodes: HashMap<JobHandle, DependencyNode>,
    /// Which jobs depend on an unknown job, by its id. One may be over by the time
    /// that is looked up, and its index another job's: kept as handles, as a late
    /// answer once cancelled the other job.
    waiting_for_unknown: HashMap<String, Vec<JobHandle>>,
    /// Ids to be looked up.
    lookups: VecDeque<String>,
    changes: DependencyChanges,
}

impl DependencyGraph {
    /// Adds a live job with its dependencies and their states.
    pub fn add<'a>(
        &mut self,
        job: JobHandle,
        own: Priority,
        dependencies: impl IntoIterator<Item = (&'a str, DependencyState)>,
    ) {
        self.set_own_priority(job, own);
        for (id, state) in dependencies {
            match state {
                DependencyState::Done => {}
                DependencyState::Live(on, own) => self.add_edge(id, on, own, job),
                DependencyState::Cancelled => self.cancel_with_dependents(job, &id.into()),
                DependencyState::Unknown => {
                    self.nodes.entry(job).or_default().unresolved += 1;
                    self.add_unresolved(job);
                    let waiting = self.waiting_for_unknown.entry(id.to_owned()).or_default();
                    if waiting.is_empty() {
                        self.lookups.push_back(id.to_owned());
                    }
                    waiting.push(job);
                }
            }
        }
        self.changes.changed.push(job);
    }

    fn set_own_priority(&mut self, job: JobHandle, own: Priority) {
        let node = self.nodes.entry(job).or_default();
        node.own_priority = Some(own);
        self.update_priority(job);
    }

    /// Whether jobs depend on an unknown job with this id: its state is to be
    /// given to `resolve`.
    pub fn is_awaited(&self, id: &str) -> bool {
        self.waiting_for_unknown.contains_key(id)
    }

    /// How many unknown jobs others depend on.
    pub fn unknown_count(&self) -> usize {
        self.waiting_for_unknown.len()
    }

    /// How many jobs depend on an unknown job with this id.
    pub fn awaiting(&self, id: &str) -> usize {
        self.waiting_for_unknown.get(id).map_or(0, Vec::len)
    }

    /// The state of a job that was unknown.
    pub fn resolve(&mut self, id: &str, state: DependencyState) {
        let Some(waiting) = self.waiting_for_unknown.remove(id) else {
            return;
        };
        for job in waiting {
            // It may be over by now.
            let Some(node) = self.nodes.get_mut(&job) else {
                continue;
            };
            node.unresolved = node.unresolved.saturating_sub(1);
            match state {
                DependencyState::Live(on, own) => self.add_edge(id, on, own, job),
                DependencyState::Cancelled => self.cancel_with_dependents(job, &id.into()),
                DependencyState::Done | DependencyState::Unknown => {}
            }
            // After the edge is there: it may be as unresolved, and the job's dependents
            // need not be told twice.
            self.remove_unresolved(job);
            self.changes.changed.push(job);
        }
    }

    /// Ids to be looked up, at most so many; they come again only if requeued.
    pub fn take_lookups(&mut self, max_lookups: usize) -> Vec<String> {
        let mut ids = Vec::new();
        while ids.len() < max_lookups
            && let Some(id) = self.lookups.pop_front()
        {
            if self.waiting_for_unknown.contains_key(&id) {
                ids.push(id);
            }
        }
        ids
    }

    /// These lookups failed.
    pub fn requeue_lookups(&mut self, ids: Vec<String>) {
        self.lookups.extend(ids);
    }

    /// A live job's cancellation is durable, or follows from what is: so does
    /// that of all that depend on it, directly or not.
    pub fn job_cancelled(&mut self, job: JobHandle) {
        let Some(node) = self.nodes.get(&job) else {
            return;
        };
        let dependents: Vec<JobHandle> = node.dependents.iter().copied().collect();
        let dependency = node.id.clone();
        for dependent in dependents {
            self.cancel_with_dependents(dependent, &dependency);
        }
    }

    fn cancel_with_dependents(&mut self, job: JobHandle, dependency: &Rc<str>) {
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            if let Some(node) = self.nodes.get_mut(&job)
                && !std::mem::replace(&mut node.must_cancel, true)
            {
                self.changes.cancellations.push(DependentCancellation {
                    job,
                    dependency: dependency.clone(),
                });
                pending.extend(node.dependents.iter().copied());
            }
        }
    }

    /// The job's terminal state is durable: it is not live any more.
    pub fn job_ended(&mut self, job: JobHandle, done: bool) {
        if !done {
            self.job_cancelled(job);
        }
        let Some(node) = self.nodes.remove(&job) else {
            return;
        };
        self.changes.changed.extend(&node.dependents);
        if node.unresolved_before > 0 {
            for dependent in &node.dependents {
                self.remove_unresolved(*dependent);
            }
        }
        for dependent in &node.dependents {
            if let Some(dependent) = self.nodes.get_mut(dependent) {
                dependent.dependencies.remove(&job);
            }
        }
        for dependency in node.dependencies {
            if let Some(on) = self.nodes.get_mut(&dependency) {
                on.dependents.remove(&job);
                if let Some(priority) = node.effective_priority {
                    on.dependent_priorities[priority as usize] -= 1;
                }
                self.update_priority(dependency);
            }
        }
    }

    /// `job` depends on `on`, which has this id, and this priority of its own.
    fn add_edge(&mut self, id: &str, on: JobHandle, own: Priority, job: JobHandle) {
        self.set_own_priority(on, own);
        let priority = self.nodes.get(&job).and_then(|n| n.effective_priority);
        let node = self.nodes.entry(on).or_default();
        if !node.dependents.insert(job) {
            return;
        }
        if let Some(priority) = priority {
            node.dependent_priorities[priority as usize] += 1;
        }
        if node.id.is_empty() {
            node.id = id.into();
        }
        let inherited_cancellation = node.must_cancel.then(|| node.id.clone());
        let unresolved = node.unresolved_before > 0;
        self.nodes.entry(job).or_default().dependencies.insert(on);
        if unresolved {
            self.add_unresolved(job);
        }
        self.update_priority(on);
        if let Some(dependency) = inherited_cancellation {
            self.cancel_with_dependents(job, &dependency);
        }
    }

    /// Something that the job depends on became unresolved.
    fn add_unresolved(&mut self, job: JobHandle) {
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            if let Some(node) = self.nodes.get_mut(&job) {
                node.unresolved_before += 1;
                if node.unresolved_before == 1 {
                    pending.extend(&node.dependents);
                }
            }
        }
    }

    /// Something that the job depends on is not unresolved any more.
    fn remove_unresolved(&mut self, job: JobHandle) {
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            if let Some(node) = self.nodes.get_mut(&job) {
                node.unresolved_before = node.unresolved_before.saturating_sub(1);
                if node.unresolved_before == 0 {
                    pending.extend(&node.dependents);
                }
            }
        }
    }

    /// Computes a job's effective priority again, and that of its dependencies
    /// as far as it changes.
    fn update_priority(&mut self, job: JobHandle) {
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            let Some(node) = self.nodes.get_mut(&job) else {
                continue;
            };
            let inherited = (0..PRIORITIES.len())
                .rev()
                .find(|rank| node.dependent_priorities[*rank] > 0);
            let priority = node
                .own_priority
                .max(inherited.map(|rank| PRIORITIES[rank]));
            let previous = std::mem::replace(&mut node.effective_priority, priority);
            if previous == priority {
                continue;
            }
            self.changes.changed.push(job);
            let dependencies: Vec<JobHandle> = node.dependencies.iter().copied().collect();
            for dependency in dependencies {
                if let Some(on) = self.nodes.get_mut(&dependency) {
                    if let Some(previous) = previous {
                        on.dependent_priorities[previous as usize] -= 1;
                    }
                    if let Some(priority) = priority {
                        on.dependent_priorities[priority as usize] += 1;
                    }
                    pending.push(dependency);
                }
            }
        }
    }

    /// Whether the job's dependencies let it start.
    pub fn readiness(&self, job: JobHandle) -> Readiness {
        match self.nodes.get(&job) {
            Some(node) if node.must_cancel || !node.dependencies.is_empty() => Readiness::Blocked,
            Some(node) if node.unresolved > 0 => Readiness::Unresolved,
            _ => Readiness::Ready,
        }
    }

    /// Whether it is not known of some dependency, direct or through live ones,
    /// how it ended: it may have been cancelled.
    pub fn is_unresolved(&self, job: JobHandle) -> bool {
        let node = self.nodes.get(&job);
        node.is_some_and(|node| node.unresolved_before > 0)
    }

    /// Its own priority, or that of a dependent, whichever is higher.
    pub fn effective_priority(&self, job: JobHandle) -> Option<Priority> {
        self.nodes.get(&job)?.effective_priority
    }

    /// When each job has to be done so that it and all that depend on it meet
    /// their deadlines, if any of them has one: along the longest path, by the
    /// estimates. `own`: a job's own deadline, and how long it takes.
    pub fn due_by(&self, own: impl Fn(JobHandle) -> (Option<u64>, u64)) -> HashMap<JobHandle, u64> {
        let mut due: HashMap<JobHandle, Option<u64>> = HashMap::new();
        // Depth first; `true`: its dependents are in `due`.
        let mut pending: Vec<(JobHandle, bool)> =
            self.nodes.keys().map(|job| (*job, false)).collect();
        while let Some((job, dependents_done)) = pending.pop() {
            if due.contains_key(&job) {
                continue;
            }
            let dependents = self.nodes.get(&job).map(|node| &node.dependents);
            let dependents = dependents.into_iter().flatten();
            if !dependents_done {
                pending.push((job, true));
                pending.extend(dependents.map(|dependent| (*dependent, false)));
                continue;
            }
            let latest_starts = dependents.filter_map(|dependent| {
                let end = due.get(dependent).copied().flatten()?;
                Some(end.saturating_sub(own(*dependent).1))
            });
            let end = latest_starts.chain(own(job).0).min();
            due.insert(job, end);
        }
        due.into_iter()
            .filter_map(|(job, end)| Some((job, end?)))
            .collect()
    }

    /// Whether it is to be cancelled, as a dependency was.
    pub fn must_cancel(&self, job: JobHandle) -> bool {
        self.nodes.get(&job).is_some_and(|node| node.must_cancel)
    }

    /// Live jobs that it depends on, and how many dependencies are not known.
    pub fn unfinished_dependencies(
        &self,
        job: JobHandle,
    ) -> (impl Iterator<Item = JobHandle>, usize) {
        let node = self.nodes.get(&job);
        let live = node
            .into_iter()
            .flat_map(|node| node.dependencies.iter().copied());
        (live, node.map_or(0, |node| node.unresolved))
    }

    /// What follows from the changes since the last call.
    pub fn take_changes(&mut self) -> DependencyChanges {
        std::mem::take(&mut self.changes)
    }
}

#[cfg(test)]
mod tests;
