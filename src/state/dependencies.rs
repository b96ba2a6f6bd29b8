//! Jobs that need others to be done first: which wait for which, what became
//! ready, what is to be cancelled with a job that it needs, and the priority
//! that a job has from those that need it. Decides from what is durable alone;
//! whoever calls says what that is.

use crate::protocol::users::Priority;
use std::collections::{HashMap, HashSet, VecDeque};

/// How a job stands that another needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Live: its index, and the priority that it has by itself.
    Live(u32, Priority),
    /// Its final record says so.
    Done,
    /// It is recorded as cancelled, or surely will be.
    Cancelled,
    /// Not live as far as known: its final record is to be read.
    Unknown,
}

/// Whether a job's tasks may start, as far as the jobs that it needs go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Readiness {
    #[default]
    Ready,
    /// Of some needs it is not known yet whether they are done; of an earlier
    /// leader it may run.
    Unresolved,
    /// One is surely not done: nothing of the job can run anywhere.
    Blocked,
}

#[derive(Debug, Default)]
struct DependencyNode {
    /// Live jobs that it needs.
    dependencies: HashSet<u32>,
    /// Needs of which nothing is known yet.
    unresolved: usize,
    /// One of its needs was cancelled.
    must_cancel: bool,
    /// Live jobs that need it.
    dependents: HashSet<u32>,
    /// How many of those have which priority, by inheritance as well.
    dependent_priorities: [u32; 4],
    own_priority: Option<Priority>,
    effective_priority: Option<Priority>,
}

const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Of live jobs that need others or are needed.
    nodes: HashMap<u32, DependencyNode>,
    /// Who waits to hear of a job that is not known.
    waiting_for_unknown: HashMap<String, Vec<u32>>,
    lookups: VecDeque<String>,
    /// Whose gate or priority is to be looked at again.
    changed: Vec<u32>,
    newly_cancelled: Vec<u32>,
}

impl DependencyGraph {
    /// A live job, with those that it needs and how they stand.
    pub fn add<'a>(
        &mut self,
        job: u32,
        own: Priority,
        needs: impl IntoIterator<Item = (&'a str, DependencyState)>,
    ) {
        self.set_own_priority(job, own);
        for (id, need) in needs {
            match need {
                DependencyState::Done => {}
                DependencyState::Live(before, own) => self.add_edge(before, own, job),
                DependencyState::Cancelled => self.cancel_with_dependents(job),
                DependencyState::Unknown => {
                    self.nodes.entry(job).or_default().unresolved += 1;
                    let waiting = self.waiting_for_unknown.entry(id.to_owned()).or_default();
                    if waiting.is_empty() {
                        self.lookups.push_back(id.to_owned());
                    }
                    waiting.push(job);
                }
            }
        }
        self.changed.push(job);
    }

    fn set_own_priority(&mut self, job: u32, own: Priority) {
        let links = self.nodes.entry(job).or_default();
        links.own_priority = Some(own);
        self.update_priority(job);
    }

    /// Whether a job of this name has to be told of with `found`.
    pub fn is_awaited(&self, id: &str) -> bool {
        self.waiting_for_unknown.contains_key(id)
    }

    /// How a job that was sought stands.
    pub fn resolve(&mut self, id: &str, need: DependencyState) {
        let Some(waiting) = self.waiting_for_unknown.remove(id) else {
            return;
        };
        for job in waiting {
            // It may be over by now.
            let Some(links) = self.nodes.get_mut(&job) else {
                continue;
            };
            links.unresolved = links.unresolved.saturating_sub(1);
            match need {
                DependencyState::Live(before, own) => self.add_edge(before, own, job),
                DependencyState::Cancelled => self.cancel_with_dependents(job),
                DependencyState::Done | DependencyState::Unknown => {}
            }
            self.changed.push(job);
        }
    }

    /// Names to be looked up, at most so many; they come again only if put
    /// back.
    pub fn take_lookups(&mut self, most: usize) -> Vec<String> {
        let mut ids = Vec::new();
        while ids.len() < most
            && let Some(id) = self.lookups.pop_front()
        {
            if self.waiting_for_unknown.contains_key(&id) {
                ids.push(id);
            }
        }
        ids
    }

    /// Nothing could be learned of them.
    pub fn requeue_lookups(&mut self, ids: Vec<String>) {
        self.lookups.extend(ids);
    }

    /// A live job's cancellation is durable, or follows from what is: so does
    /// that of all that need it, directly or not.
    pub fn job_cancelled(&mut self, job: u32) {
        let Some(links) = self.nodes.get(&job) else {
            return;
        };
        let after: Vec<u32> = links.dependents.iter().copied().collect();
        after
            .into_iter()
            .for_each(|a| self.cancel_with_dependents(a));
    }

    fn cancel_with_dependents(&mut self, job: u32) {
        let mut all = vec![job];
        while let Some(job) = all.pop() {
            if let Some(links) = self.nodes.get_mut(&job)
                && !std::mem::replace(&mut links.must_cancel, true)
            {
                self.newly_cancelled.push(job);
                all.extend(links.dependents.iter().copied());
            }
        }
    }

    /// The job's final state is durable: it is not live any more.
    pub fn job_ended(&mut self, job: u32, done: bool) {
        if !done {
            self.job_cancelled(job);
        }
        let Some(links) = self.nodes.remove(&job) else {
            return;
        };
        self.changed.extend(&links.dependents);
        for a in &links.dependents {
            if let Some(after) = self.nodes.get_mut(a) {
                after.dependencies.remove(&job);
            }
        }
        let rank = links.effective_priority;
        for b in links.dependencies {
            if let Some(before) = self.nodes.get_mut(&b) {
                before.dependents.remove(&job);
                if let Some(rank) = rank {
                    before.dependent_priorities[rank as usize] -= 1;
                }
                self.update_priority(b);
            }
        }
    }

    fn add_edge(&mut self, before: u32, own: Priority, job: u32) {
        self.set_own_priority(before, own);
        let rank = self.nodes.get(&job).and_then(|l| l.effective_priority);
        let links = self.nodes.entry(before).or_default();
        if !links.dependents.insert(job) {
            return;
        }
        if let Some(rank) = rank {
            links.dependent_priorities[rank as usize] += 1;
        }
        let lost = links.must_cancel;
        self.nodes
            .entry(job)
            .or_default()
            .dependencies
            .insert(before);
        self.update_priority(before);
        if lost {
            self.cancel_with_dependents(job);
        }
    }

    /// Works out a job's priority again, and that of those that it needs as
    /// far as it changes.
    fn update_priority(&mut self, job: u32) {
        let mut all = vec![job];
        while let Some(job) = all.pop() {
            let Some(links) = self.nodes.get_mut(&job) else {
                continue;
            };
            let inherited = (0..PRIORITIES.len())
                .rev()
                .find(|r| links.dependent_priorities[*r] > 0);
            let rank = links.own_priority.max(inherited.map(|r| PRIORITIES[r]));
            let was = std::mem::replace(&mut links.effective_priority, rank);
            if was == rank {
                continue;
            }
            self.changed.push(job);
            let before: Vec<u32> = links.dependencies.iter().copied().collect();
            for b in before {
                if let Some(l) = self.nodes.get_mut(&b) {
                    if let Some(was) = was {
                        l.dependent_priorities[was as usize] -= 1;
                    }
                    if let Some(rank) = rank {
                        l.dependent_priorities[rank as usize] += 1;
                    }
                    all.push(b);
                }
            }
        }
    }

    pub fn readiness(&self, job: u32) -> Readiness {
        match self.nodes.get(&job) {
            Some(l) if l.must_cancel || !l.dependencies.is_empty() => Readiness::Blocked,
            Some(l) if l.unresolved > 0 => Readiness::Unresolved,
            _ => Readiness::Ready,
        }
    }

    /// Its own, or that of a job that needs it, whichever is more.
    pub fn effective_priority(&self, job: u32) -> Option<Priority> {
        self.nodes.get(&job)?.effective_priority
    }

    /// Until when each job that others need has to be done, as far as any of
    /// those is due: along the longest path, by the estimates. `own`: a job's
    /// due time, if any, and how long it takes.
    pub fn due_by(&self, own: impl Fn(u32) -> (Option<u64>, u64)) -> HashMap<u32, u64> {
        let mut due: HashMap<u32, Option<u64>> = HashMap::new();
        let mut all: Vec<(u32, bool)> = self.nodes.keys().map(|j| (*j, false)).collect();
        while let Some((job, after_known)) = all.pop() {
            if due.contains_key(&job) {
                continue;
            }
            let after = self.nodes.get(&job).map(|l| &l.dependents);
            if !after_known {
                all.push((job, true));
                all.extend(after.into_iter().flatten().map(|a| (*a, false)));
                continue;
            }
            let of_after = after.into_iter().flatten().filter_map(|a| {
                let end = due.get(a).copied().flatten()?;
                Some(end.saturating_sub(own(*a).1))
            });
            let end = of_after.chain(own(job).0).min();
            due.insert(job, end);
        }
        due.into_iter().filter_map(|(j, d)| Some((j, d?))).collect()
    }

    /// It is to be cancelled, as a job that it needs was.
    pub fn must_cancel(&self, job: u32) -> bool {
        self.nodes.get(&job).is_some_and(|l| l.must_cancel)
    }

    /// Live jobs that it needs, and how many are not known.
    pub fn unfinished_dependencies(&self, job: u32) -> (impl Iterator<Item = u32>, usize) {
        let links = self.nodes.get(&job);
        let before = links
            .into_iter()
            .flat_map(|l| l.dependencies.iter().copied());
        (before, links.map_or(0, |l| l.unresolved))
    }

    /// Jobs to look at again, and jobs that are to be cancelled if they are
    /// still the same (`is_lost`): indices are used again.
    pub fn take_changes(&mut self) -> (Vec<u32>, Vec<u32>) {
        (
            std::mem::take(&mut self.changed),
            std::mem::take(&mut self.newly_cancelled),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Priority::*;

    fn gates(c: &DependencyGraph, jobs: &[u32]) -> Vec<Readiness> {
        jobs.iter().map(|j| c.readiness(*j)).collect()
    }

    #[test]
    fn a_job_is_ready_once_the_last_of_a_diamond_is_over() {
        let mut c = DependencyGraph::default();
        c.add(0, Low, []);
        c.add(1, Low, [("j-000000", DependencyState::Live(0, Low))]);
        c.add(2, Low, [("j-000000", DependencyState::Live(0, Low))]);
        c.add(
            3,
            High,
            [
                ("j-000001", DependencyState::Live(1, Low)),
                ("j-000002", DependencyState::Live(2, Low)),
            ],
        );
        assert_eq!(gates(&c, &[0, 1, 2, 3])[1..], [Readiness::Blocked; 3]);
        // All of it is as urgent as its end, until that has gone.
        assert_eq!(c.effective_priority(0), Some(High));
        c.job_ended(0, true);
        assert_eq!(
            gates(&c, &[1, 2, 3]),
            [Readiness::Ready, Readiness::Ready, Readiness::Blocked]
        );
        c.job_ended(1, true);
        assert_eq!(c.readiness(3), Readiness::Blocked);
        c.job_ended(2, true);
        assert_eq!(c.readiness(3), Readiness::Ready);
        assert_eq!(c.take_changes().1, Vec::<u32>::new());
    }

    #[test]
    fn priority_falls_again_when_the_job_that_lent_it_goes() {
        let mut c = DependencyGraph::default();
        c.add(0, Low, []);
        c.add(1, Normal, [("j-000000", DependencyState::Live(0, Low))]);
        c.add(
            2,
            Production,
            [("j-000001", DependencyState::Live(1, Normal))],
        );
        assert_eq!(c.effective_priority(0), Some(Production));
        c.job_ended(2, false);
        assert_eq!(
            (c.effective_priority(1), c.effective_priority(0)),
            (Some(Normal), Some(Normal))
        );
    }

    #[test]
    fn a_job_keeps_its_own_priority_where_those_that_need_it_have_less() {
        let mut c = DependencyGraph::default();
        c.add(1, Low, [("j-000000", DependencyState::Live(0, High))]);
        assert_eq!(c.effective_priority(0), Some(High));
    }

    #[test]
    fn a_need_is_due_before_the_longest_way_to_whatever_is_due_after_it() {
        let mut c = DependencyGraph::default();
        c.add(1, Low, [("j-000000", DependencyState::Live(0, Low))]);
        c.add(2, Low, [("j-000000", DependencyState::Live(0, Low))]);
        let last = [
            ("j-000001", DependencyState::Live(1, Low)),
            ("j-000002", DependencyState::Live(2, Low)),
        ];
        c.add(3, High, last);
        let own = |job| match job {
            1 => (None, 40),
            2 => (Some(70), 10),
            3 => (Some(100), 20),
            _ => (None, 5),
        };
        let due = c.due_by(own);
        assert_eq!((due[&3], due[&1], due[&2]), (100, 80, 70));
        assert_eq!(due[&0], 40);
        // With the last one gone nothing but the other's own time counts.
        c.job_ended(3, false);
        let due = c.due_by(own);
        assert_eq!((due.get(&1), due[&2], due[&0]), (None, 70, 60));
    }

    #[test]
    fn a_withdrawal_reaches_all_that_follow_in_whatever_order_they_are_learned() {
        let mut c = DependencyGraph::default();
        // Deep enough to end a stack.
        for n in (1..20_000u32).rev() {
            let id = format!("j-{:06}", n - 1);
            c.add(n, Low, [(id.as_str(), DependencyState::Unknown)]);
            c.resolve(&format!("j-{n:06}"), DependencyState::Live(n, Low));
        }
        assert_eq!(
            (c.readiness(1), c.readiness(2)),
            (Readiness::Unresolved, Readiness::Blocked)
        );
        assert!(c.is_awaited("j-000000"));
        c.resolve("j-000000", DependencyState::Cancelled);
        assert_eq!(c.take_changes().1.len(), 19_999);
        // Whoever names one of them later goes with it, and stays shut.
        c.add(20_000, Low, [("j-000005", DependencyState::Live(5, Low))]);
        assert_eq!(c.take_changes().1, [20_000]);
        c.job_ended(5, false);
        assert_eq!(c.readiness(20_000), Readiness::Blocked);
    }

    #[test]
    fn what_is_not_known_is_sought_once_and_until_it_is_found() {
        let mut c = DependencyGraph::default();
        c.add(1, Low, [("j-000007", DependencyState::Unknown)]);
        c.add(
            2,
            Low,
            [
                ("j-000007", DependencyState::Unknown),
                ("j-000001", DependencyState::Live(1, Low)),
            ],
        );
        let ids = c.take_lookups(9);
        assert_eq!(ids, ["j-000007"]);
        assert!(c.take_lookups(9).is_empty());
        c.requeue_lookups(ids);
        assert_eq!(c.take_lookups(9).len(), 1);
        c.resolve("j-000007", DependencyState::Done);
        assert_eq!(
            (c.readiness(1), c.readiness(2)),
            (Readiness::Ready, Readiness::Blocked)
        );
    }
}
