//! The dependency graph of jobs: which jobs wait for which, which became ready, which
//! have to be cancelled because a dependency was cancelled, and the priority that a job
//! inherits from its dependents.
//!
//! Owns the edges between live jobs and the lookups of unknown ones. The leader calls
//! this module when jobs are added, cancelled or ended. Callers must pass only durable
//! state: otherwise a job could start, or be cancelled, because of a state that a
//! failover may undo.

use super::cluster::JobHandle;
use crate::protocol::users::Priority;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    rc::Rc,
};

/// The state of a job on which another job depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// The job is live: its handle and its own priority.
    Live(JobHandle, Priority),
    /// The job's final record says that it is done.
    Done,
    /// The job is recorded as cancelled, or is certain to be.
    Cancelled,
    /// The job is not known to be live: its final record has to be read.
    Unknown,
}

/// Whether a job's dependencies let its tasks start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Readiness {
    /// All dependencies are done.
    #[default]
    Ready,
    /// It is unknown whether some dependencies are done. An earlier leader may have
    /// started the job.
    Unresolved,
    /// At least one dependency is known not to be done: no task of the job can run
    /// anywhere.
    Blocked,
}

/// A live job that has to be cancelled because a dependency was cancelled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DependentCancellation {
    /// The job to cancel.
    pub job: JobHandle,
    /// Id of the job whose cancellation caused this one, directly or through other
    /// jobs.
    pub dependency: Rc<str>,
}

/// The effects of the latest changes of the graph.
#[derive(Debug, Default)]
pub struct DependencyChanges {
    /// Jobs whose readiness or priority may have changed.
    pub changed: Vec<JobHandle>,
    /// Jobs that have to be cancelled (`must_cancel`).
    pub cancellations: Vec<DependentCancellation>,
}

#[derive(Debug, Default)]
struct DependencyNode {
    /// The job's id, set once another job depends on it.
    id: Rc<str>,
    /// Live jobs on which this job depends.
    dependencies: HashSet<JobHandle>,
    /// Number of dependencies whose state is unknown.
    unresolved: usize,
    /// Number of unknown dependencies, plus the number of live dependencies whose own
    /// `unresolved_before` is not 0.
    unresolved_before: usize,
    /// Whether a dependency was cancelled.
    must_cancel: bool,
    /// Live jobs that depend on this job.
    dependents: HashSet<JobHandle>,
    /// Number of dependents with each effective priority, by rank.
    dependent_priorities: [u32; 4],
    own_priority: Option<Priority>,
    effective_priority: Option<Priority>,
}

/// Priorities in order of rank; the rank is the index into `dependent_priorities`.
const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

/// Live jobs and their dependencies.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Nodes of the live jobs.
    nodes: HashMap<JobHandle, DependencyNode>,
    /// Jobs that depend on an unknown job, by the id of the unknown job. A waiting job
    /// may end before the lookup is answered, and another job may then take its index.
    /// Handles are kept instead of indices, because a late answer once cancelled that
    /// other job.
    waiting_for_unknown: HashMap<String, Vec<JobHandle>>,
    /// Ids to look up.
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
                DependencyState::Live(dependency, own) => self.add_edge(id, dependency, own, job),
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

    /// Whether jobs depend on an unknown job with this id. If so, pass the job's state
    /// to `resolve`.
    pub fn has_unknown_dependents(&self, id: &str) -> bool {
        self.waiting_for_unknown.contains_key(id)
    }

    /// Number of unknown jobs on which other jobs depend.
    pub fn unknown_count(&self) -> usize {
        self.waiting_for_unknown.len()
    }

    /// Number of jobs that depend on the unknown job with this id.
    pub fn dependents_of_unknown(&self, id: &str) -> usize {
        self.waiting_for_unknown.get(id).map_or(0, Vec::len)
    }

    /// Applies the state of a job that was unknown.
    pub fn resolve(&mut self, id: &str, state: DependencyState) {
        let Some(waiting) = self.waiting_for_unknown.remove(id) else {
            return;
        };
        for job in waiting {
            // The waiting job may have ended by now.
            let Some(node) = self.nodes.get_mut(&job) else {
                continue;
            };
            node.unresolved = node.unresolved.saturating_sub(1);
            match state {
                DependencyState::Live(dependency, own) => self.add_edge(id, dependency, own, job),
                DependencyState::Cancelled => self.cancel_with_dependents(job, &id.into()),
                DependencyState::Done | DependencyState::Unknown => {}
            }
            // The edge has to be added first: the dependency may itself be unresolved,
            // and then the job's dependents need not be updated twice.
            self.remove_unresolved(job);
            self.changes.changed.push(job);
        }
    }

    /// Returns at most `max_lookups` ids to look up and removes them from the queue. An
    /// id is returned again only after `requeue_lookups`.
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

    /// Queues ids again whose lookups failed.
    pub fn requeue_lookups(&mut self, ids: Vec<String>) {
        self.lookups.extend(ids);
    }

    /// Marks all direct and indirect dependents of a live job to be cancelled. The
    /// cancellation of the job itself is durable, or follows from one that is.
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

    /// Removes a job whose terminal state is durable. If the job is not done, its
    /// dependents have to be cancelled.
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
            if let Some(dependency_node) = self.nodes.get_mut(&dependency) {
                dependency_node.dependents.remove(&job);
                if let Some(priority) = node.effective_priority {
                    dependency_node.dependent_priorities[priority as usize] -= 1;
                }
                self.update_priority(dependency);
            }
        }
    }

    /// Adds the edge from `job` to `dependency_handle`, the job with the id `id` and
    /// the own priority `own`.
    fn add_edge(&mut self, id: &str, dependency_handle: JobHandle, own: Priority, job: JobHandle) {
        self.set_own_priority(dependency_handle, own);
        let priority = self.nodes.get(&job).and_then(|n| n.effective_priority);
        let node = self.nodes.entry(dependency_handle).or_default();
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
        self.nodes
            .entry(job)
            .or_default()
            .dependencies
            .insert(dependency_handle);
        if unresolved {
            self.add_unresolved(job);
        }
        self.update_priority(dependency_handle);
        if let Some(dependency) = inherited_cancellation {
            self.cancel_with_dependents(job, &dependency);
        }
    }

    /// Counts one more unresolved dependency of the job, and updates its dependents if
    /// the job became unresolved.
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

    /// Counts one unresolved dependency of the job less, and updates its dependents if
    /// the job is resolved now.
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

    /// Recomputes the effective priority of a job, and that of its dependencies as far
    /// as it changes.
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
                if let Some(dependency_node) = self.nodes.get_mut(&dependency) {
                    if let Some(previous) = previous {
                        dependency_node.dependent_priorities[previous as usize] -= 1;
                    }
                    if let Some(priority) = priority {
                        dependency_node.dependent_priorities[priority as usize] += 1;
                    }
                    pending.push(dependency);
                }
            }
        }
    }

    /// Returns whether the job's dependencies let it start.
    pub fn readiness(&self, job: JobHandle) -> Readiness {
        match self.nodes.get(&job) {
            Some(node) if node.must_cancel || !node.dependencies.is_empty() => Readiness::Blocked,
            Some(node) if node.unresolved > 0 => Readiness::Unresolved,
            _ => Readiness::Ready,
        }
    }

    /// Whether the final state of some dependency, direct or through live jobs, is
    /// unknown: that dependency may have been cancelled.
    pub fn is_unresolved(&self, job: JobHandle) -> bool {
        let node = self.nodes.get(&job);
        node.is_some_and(|node| node.unresolved_before > 0)
    }

    /// Returns the job's own priority or the highest effective priority of its
    /// dependents, whichever is higher.
    pub fn effective_priority(&self, job: JobHandle) -> Option<Priority> {
        self.nodes.get(&job)?.effective_priority
    }

    /// Returns the time by which each job has to be done so that the job and all its
    /// dependents meet their deadlines, for jobs where any of them has a deadline. The
    /// time follows the longest path, by the run time estimates. `own` returns a job's
    /// own deadline and its estimated run time.
    pub fn due_by(&self, own: impl Fn(JobHandle) -> (Option<u64>, u64)) -> HashMap<JobHandle, u64> {
        let mut due: HashMap<JobHandle, Option<u64>> = HashMap::new();
        // Depth-first traversal; `true` means that the job's dependents are already in
        // `due`.
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

    /// Whether the job has to be cancelled because a dependency was cancelled.
    pub fn must_cancel(&self, job: JobHandle) -> bool {
        self.nodes.get(&job).is_some_and(|node| node.must_cancel)
    }

    /// Returns the live dependencies of the job and the number of its unknown
    /// dependencies.
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

    /// Returns the effects of the changes since the last call.
    pub fn take_changes(&mut self) -> DependencyChanges {
        std::mem::take(&mut self.changes)
    }
}

#[cfg(test)]
mod tests;
