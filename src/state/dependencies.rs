//! Jobs that need others to be done first: which wait for which, what became
//! ready, what is to be withdrawn with a job that it needs, and the priority
//! that a job has from those that need it. Decides from what is durable alone;
//! whoever calls says what that is.

use crate::protocol::users::Priority;
use std::collections::{HashMap, HashSet, VecDeque};

/// How a job stands that another needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Live: its index, and the priority that it has by itself.
    Live(u32, Priority),
    /// Its final record says so.
    Done,
    /// It is recorded as withdrawn, or surely will be.
    Withdrawn,
    /// Not live as far as known: its final record is to be read.
    Unknown,
}

/// Whether a job's tasks may start, as far as the jobs that it needs go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Gate {
    #[default]
    Open,
    /// Of some needs it is not known yet whether they are done; of an earlier
    /// leader it may run.
    Unsure,
    /// One is surely not done: nothing of the job can run anywhere.
    Shut,
}

#[derive(Debug, Default)]
struct Links {
    /// Live jobs that it needs.
    before: HashSet<u32>,
    /// Needs of which nothing is known yet.
    sought: usize,
    /// One of its needs was withdrawn.
    lost: bool,
    /// Live jobs that need it.
    after: HashSet<u32>,
    /// How many of those have which priority, by inheritance as well.
    ranks: [u32; 4],
    own: Option<Priority>,
    rank: Option<Priority>,
}

const RANKS: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

#[derive(Debug, Default)]
pub struct Chains {
    /// Of live jobs that need others or are needed.
    links: HashMap<u32, Links>,
    /// Who waits to hear of a job that is not known.
    sought: HashMap<String, Vec<u32>>,
    to_seek: VecDeque<String>,
    /// Whose gate or priority is to be looked at again.
    changed: Vec<u32>,
    lost: Vec<u32>,
}

impl Chains {
    /// A live job, with those that it needs and how they stand.
    pub fn add<'a>(
        &mut self,
        job: u32,
        own: Priority,
        needs: impl IntoIterator<Item = (&'a str, Need)>,
    ) {
        self.own(job, own);
        for (id, need) in needs {
            match need {
                Need::Done => {}
                Need::Live(before, own) => self.tie(before, own, job),
                Need::Withdrawn => self.lose(job),
                Need::Unknown => {
                    self.links.entry(job).or_default().sought += 1;
                    let waiting = self.sought.entry(id.to_owned()).or_default();
                    if waiting.is_empty() {
                        self.to_seek.push_back(id.to_owned());
                    }
                    waiting.push(job);
                }
            }
        }
        self.changed.push(job);
    }

    fn own(&mut self, job: u32, own: Priority) {
        let links = self.links.entry(job).or_default();
        links.own = Some(own);
        self.rank(job);
    }

    /// Whether a job of this name has to be told of with `found`.
    pub fn seeks(&self, id: &str) -> bool {
        self.sought.contains_key(id)
    }

    /// How a job that was sought stands.
    pub fn found(&mut self, id: &str, need: Need) {
        let Some(waiting) = self.sought.remove(id) else {
            return;
        };
        for job in waiting {
            // It may be over by now.
            let Some(links) = self.links.get_mut(&job) else {
                continue;
            };
            links.sought = links.sought.saturating_sub(1);
            match need {
                Need::Live(before, own) => self.tie(before, own, job),
                Need::Withdrawn => self.lose(job),
                Need::Done | Need::Unknown => {}
            }
            self.changed.push(job);
        }
    }

    /// Names to be looked up, at most so many; they come again only if put
    /// back.
    pub fn seek(&mut self, most: usize) -> Vec<String> {
        let mut ids = Vec::new();
        while ids.len() < most
            && let Some(id) = self.to_seek.pop_front()
        {
            if self.sought.contains_key(&id) {
                ids.push(id);
            }
        }
        ids
    }

    /// Nothing could be learned of them.
    pub fn seek_again(&mut self, ids: Vec<String>) {
        self.to_seek.extend(ids);
    }

    /// A live job's withdrawal is durable, or follows from what is: so does
    /// that of all that need it, directly or not.
    pub fn withdrawn(&mut self, job: u32) {
        let Some(links) = self.links.get(&job) else {
            return;
        };
        let after: Vec<u32> = links.after.iter().copied().collect();
        after.into_iter().for_each(|a| self.lose(a));
    }

    fn lose(&mut self, job: u32) {
        let mut all = vec![job];
        while let Some(job) = all.pop() {
            if let Some(links) = self.links.get_mut(&job)
                && !std::mem::replace(&mut links.lost, true)
            {
                self.lost.push(job);
                all.extend(links.after.iter().copied());
            }
        }
    }

    /// The job's final state is durable: it is not live any more.
    pub fn over(&mut self, job: u32, done: bool) {
        if !done {
            self.withdrawn(job);
        }
        let Some(links) = self.links.remove(&job) else {
            return;
        };
        self.changed.extend(&links.after);
        for a in &links.after {
            if let Some(after) = self.links.get_mut(a) {
                after.before.remove(&job);
            }
        }
        let rank = links.rank;
        for b in links.before {
            if let Some(before) = self.links.get_mut(&b) {
                before.after.remove(&job);
                if let Some(rank) = rank {
                    before.ranks[rank as usize] -= 1;
                }
                self.rank(b);
            }
        }
    }

    fn tie(&mut self, before: u32, own: Priority, job: u32) {
        self.own(before, own);
        let rank = self.links.get(&job).and_then(|l| l.rank);
        let links = self.links.entry(before).or_default();
        if !links.after.insert(job) {
            return;
        }
        if let Some(rank) = rank {
            links.ranks[rank as usize] += 1;
        }
        let lost = links.lost;
        self.links.entry(job).or_default().before.insert(before);
        self.rank(before);
        if lost {
            self.lose(job);
        }
    }

    /// Works out a job's priority again, and that of those that it needs as
    /// far as it changes.
    fn rank(&mut self, job: u32) {
        let mut all = vec![job];
        while let Some(job) = all.pop() {
            let Some(links) = self.links.get_mut(&job) else {
                continue;
            };
            let inherited = (0..RANKS.len()).rev().find(|r| links.ranks[*r] > 0);
            let rank = links.own.max(inherited.map(|r| RANKS[r]));
            let was = std::mem::replace(&mut links.rank, rank);
            if was == rank {
                continue;
            }
            self.changed.push(job);
            let before: Vec<u32> = links.before.iter().copied().collect();
            for b in before {
                if let Some(l) = self.links.get_mut(&b) {
                    if let Some(was) = was {
                        l.ranks[was as usize] -= 1;
                    }
                    if let Some(rank) = rank {
                        l.ranks[rank as usize] += 1;
                    }
                    all.push(b);
                }
            }
        }
    }

    pub fn gate(&self, job: u32) -> Gate {
        match self.links.get(&job) {
            Some(l) if l.lost || !l.before.is_empty() => Gate::Shut,
            Some(l) if l.sought > 0 => Gate::Unsure,
            _ => Gate::Open,
        }
    }

    /// Its own, or that of a job that needs it, whichever is more.
    pub fn priority(&self, job: u32) -> Option<Priority> {
        self.links.get(&job)?.rank
    }

    /// Until when each job that others need has to be done, as far as any of
    /// those is due: along the longest path, by the estimates. `own`: a job's
    /// due time, if any, and how long it takes.
    pub fn due_by(&self, own: impl Fn(u32) -> (Option<u64>, u64)) -> HashMap<u32, u64> {
        let mut due: HashMap<u32, Option<u64>> = HashMap::new();
        let mut all: Vec<(u32, bool)> = self.links.keys().map(|j| (*j, false)).collect();
        while let Some((job, after_known)) = all.pop() {
            if due.contains_key(&job) {
                continue;
            }
            let after = self.links.get(&job).map(|l| &l.after);
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

    /// It is to be withdrawn, as a job that it needs was.
    pub fn is_lost(&self, job: u32) -> bool {
        self.links.get(&job).is_some_and(|l| l.lost)
    }

    /// Live jobs that it needs, and how many are not known.
    pub fn open(&self, job: u32) -> (impl Iterator<Item = u32>, usize) {
        let links = self.links.get(&job);
        let before = links.into_iter().flat_map(|l| l.before.iter().copied());
        (before, links.map_or(0, |l| l.sought))
    }

    /// Jobs to look at again, and jobs that are to be withdrawn if they are
    /// still the same (`is_lost`): indices are used again.
    pub fn take(&mut self) -> (Vec<u32>, Vec<u32>) {
        (
            std::mem::take(&mut self.changed),
            std::mem::take(&mut self.lost),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Priority::*;

    fn gates(c: &Chains, jobs: &[u32]) -> Vec<Gate> {
        jobs.iter().map(|j| c.gate(*j)).collect()
    }

    #[test]
    fn a_job_is_ready_once_the_last_of_a_diamond_is_over() {
        let mut c = Chains::default();
        c.add(0, Low, []);
        c.add(1, Low, [("j-000000", Need::Live(0, Low))]);
        c.add(2, Low, [("j-000000", Need::Live(0, Low))]);
        c.add(
            3,
            High,
            [
                ("j-000001", Need::Live(1, Low)),
                ("j-000002", Need::Live(2, Low)),
            ],
        );
        assert_eq!(gates(&c, &[0, 1, 2, 3])[1..], [Gate::Shut; 3]);
        // All of it is as urgent as its end, until that has gone.
        assert_eq!(c.priority(0), Some(High));
        c.over(0, true);
        assert_eq!(gates(&c, &[1, 2, 3]), [Gate::Open, Gate::Open, Gate::Shut]);
        c.over(1, true);
        assert_eq!(c.gate(3), Gate::Shut);
        c.over(2, true);
        assert_eq!(c.gate(3), Gate::Open);
        assert_eq!(c.take().1, Vec::<u32>::new());
    }

    #[test]
    fn priority_falls_again_when_the_job_that_lent_it_goes() {
        let mut c = Chains::default();
        c.add(0, Low, []);
        c.add(1, Normal, [("j-000000", Need::Live(0, Low))]);
        c.add(2, Production, [("j-000001", Need::Live(1, Normal))]);
        assert_eq!(c.priority(0), Some(Production));
        c.over(2, false);
        assert_eq!((c.priority(1), c.priority(0)), (Some(Normal), Some(Normal)));
    }

    #[test]
    fn a_job_keeps_its_own_priority_where_those_that_need_it_have_less() {
        let mut c = Chains::default();
        c.add(1, Low, [("j-000000", Need::Live(0, High))]);
        assert_eq!(c.priority(0), Some(High));
    }

    #[test]
    fn a_need_is_due_before_the_longest_way_to_whatever_is_due_after_it() {
        let mut c = Chains::default();
        c.add(1, Low, [("j-000000", Need::Live(0, Low))]);
        c.add(2, Low, [("j-000000", Need::Live(0, Low))]);
        let last = [
            ("j-000001", Need::Live(1, Low)),
            ("j-000002", Need::Live(2, Low)),
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
        c.over(3, false);
        let due = c.due_by(own);
        assert_eq!((due.get(&1), due[&2], due[&0]), (None, 70, 60));
    }

    #[test]
    fn a_withdrawal_reaches_all_that_follow_in_whatever_order_they_are_learned() {
        let mut c = Chains::default();
        // Deep enough to end a stack.
        for n in (1..20_000u32).rev() {
            let id = format!("j-{:06}", n - 1);
            c.add(n, Low, [(id.as_str(), Need::Unknown)]);
            c.found(&format!("j-{n:06}"), Need::Live(n, Low));
        }
        assert_eq!((c.gate(1), c.gate(2)), (Gate::Unsure, Gate::Shut));
        assert!(c.seeks("j-000000"));
        c.found("j-000000", Need::Withdrawn);
        assert_eq!(c.take().1.len(), 19_999);
        // Whoever names one of them later goes with it, and stays shut.
        c.add(20_000, Low, [("j-000005", Need::Live(5, Low))]);
        assert_eq!(c.take().1, [20_000]);
        c.over(5, false);
        assert_eq!(c.gate(20_000), Gate::Shut);
    }

    #[test]
    fn what_is_not_known_is_sought_once_and_until_it_is_found() {
        let mut c = Chains::default();
        c.add(1, Low, [("j-000007", Need::Unknown)]);
        c.add(
            2,
            Low,
            [
                ("j-000007", Need::Unknown),
                ("j-000001", Need::Live(1, Low)),
            ],
        );
        let ids = c.seek(9);
        assert_eq!(ids, ["j-000007"]);
        assert!(c.seek(9).is_empty());
        c.seek_again(ids);
        assert_eq!(c.seek(9).len(), 1);
        c.found("j-000007", Need::Done);
        assert_eq!((c.gate(1), c.gate(2)), (Gate::Open, Gate::Shut));
    }
}
