//! The standby's side: a copy of what the leader says is, or may be, on
//! machines.

use crate::{
    protocol::peers::{Follow, MayRun},
    state::Ms,
};
use std::collections::BTreeMap;

/// Machines that a copy holds at most: what a leader tells beyond that is
/// refused, and the node is not warm.
const MOST_MACHINES: usize = 50_000;

/// What one machine holds, by job.
pub type Held = Vec<(String, Vec<MayRun>)>;

/// Knowing more than runs is harmless, knowing less is not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Copy {
    /// Of whose picture.
    pub term: u64,
    pub machines: BTreeMap<String, Held>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    /// The latest stream that was begun, as term and number.
    stream: (u64, u64),
    next_part: u64,
    /// What this node may go by, should a record name it.
    whole: Option<Copy>,
    /// What a new stream has told so far. The old copy holds until that is
    /// whole: nothing is started meanwhile that it lacks.
    building: Option<Copy>,
    named: bool,
    heard: Ms,
}

impl Follower {
    /// Returns whether the part was taken in. One that came late, twice, or
    /// after a gap is not, and the leader begins anew.
    pub fn take_in(&mut self, part: Follow, now: Ms) -> bool {
        let stream = (part.term, part.stream);
        if part.part == 0 {
            if stream <= self.stream {
                return false;
            }
            self.stream = stream;
            self.building = Some(Copy {
                term: part.term,
                machines: BTreeMap::new(),
            });
        } else if stream != self.stream || part.part != self.next_part {
            return false;
        }
        let Some(copy) = self.building.as_mut().or(self.whole.as_mut()) else {
            return false;
        };
        if copy.machines.len() + part.machines.len() > MOST_MACHINES {
            return false;
        }
        for m in part.machines {
            match m.jobs.is_empty() {
                true => copy.machines.remove(&m.machine),
                false => copy.machines.insert(m.machine, m.jobs),
            };
        }
        if part.whole && self.building.is_some() {
            self.whole = self.building.take();
        }
        self.next_part = part.part + 1;
        self.named = part.named;
        self.heard = now;
        true
    }

    /// The node has become leader in `term`: the copy is its to use, and no
    /// earlier leader's word is taken any more.
    pub fn take_over(&mut self, term: u64) -> Option<Copy> {
        let whole = self.whole.take();
        *self = Follower {
            stream: (term, u64::MAX),
            ..Follower::default()
        };
        whole
    }

    pub fn copy(&self) -> Option<&Copy> {
        self.whole.as_ref()
    }

    /// The leader counted on this node a moment ago.
    pub fn counts(&self, now: Ms) -> bool {
        self.named && now < self.heard + 10_000
    }
}

impl Copy {
    /// Tasks by the change that put them there, the latest first: of two
    /// places of a task the later holds, as it was gone from the other by then.
    pub fn latest_first(&self) -> Vec<(&str, &str, MayRun)> {
        let mut all: Vec<(&str, &str, MayRun)> = Vec::new();
        for (machine, jobs) in &self.machines {
            for (job, tasks) in jobs {
                all.extend(tasks.iter().map(|t| (machine.as_str(), job.as_str(), *t)));
            }
        }
        all.sort_by_key(|(.., t)| std::cmp::Reverse(t.2));
        all
    }

    pub fn holds(&self, machine: &str, job: &str, task: u32, attempt: u64) -> bool {
        self.machines
            .get(machine)
            .into_iter()
            .flatten()
            .filter(|(id, _)| id == job)
            .any(|(_, tasks)| tasks.iter().any(|t| t.0 == task && t.1 == attempt))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::peers::{MachineHolds, Seen};

    fn part(stream: u64, part: u64, whole: bool, machine: &str, task: u32) -> Follow {
        Follow {
            term: 5,
            stream,
            part,
            whole,
            named: true,
            machines: vec![MachineHolds {
                machine: machine.into(),
                jobs: vec![("j".into(), vec![MayRun(task, 1, 1, Seen::Running)])],
            }],
        }
    }

    /// Guards against a copy with a gap, and one that is not whole, taking
    /// the place of one that is.
    #[test]
    fn the_old_copy_holds_until_a_new_stream_is_whole() {
        let mut f = Follower::default();
        assert!(!f.take_in(part(1, 1, true, "a", 0), 0), "no beginning");
        assert!(f.take_in(part(1, 0, false, "a", 0), 0));
        assert!(f.copy().is_none());
        assert!(f.take_in(part(1, 1, true, "b", 1), 0));
        assert!(f.copy().unwrap().holds("a", "j", 0, 1));
        assert!(!f.take_in(part(1, 1, true, "b", 2), 0), "twice");
        assert!(!f.take_in(part(1, 3, true, "b", 2), 0), "a gap");
        assert!(f.take_in(part(1, 2, true, "c", 2), 0));
        assert!(f.copy().unwrap().holds("c", "j", 2, 1));
        assert!(f.take_in(part(2, 0, false, "a", 9), 0));
        assert!(f.copy().unwrap().holds("c", "j", 2, 1));
        assert!(!f.take_in(part(1, 3, true, "d", 2), 0), "an old stream");
        assert!(f.take_in(part(2, 1, true, "e", 7), 0));
        let copy = f.copy().unwrap();
        assert!(!copy.holds("c", "j", 2, 1) && copy.holds("a", "j", 9, 1));
        // Once it leads, the one before has no say.
        assert!(f.take_over(8).is_some());
        assert!(!f.take_in(part(3, 0, true, "a", 0), 0));
        assert!(f.copy().is_none());
    }
}
