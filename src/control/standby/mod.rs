//! Standbys that are warm: nodes that know what may run on machines, so that
//! one of them can decide at once when it takes over.
//!
//! The leader tells them its picture and each change of it (`feed`), they keep
//! a copy (`copy`), a record says who counts (`roll`), and a start waits until
//! all who count have confirmed the change that it is of. A new leader checks
//! that it was one of them before it goes by its copy (`checks`).
//!
//! What holds at all times: *whoever the record names knows at least all that
//! may run.* `docs/design.md` has the argument.

pub mod failover_checks;
mod registry;
pub mod replica;
mod replication_stream;

use crate::{
    protocol::{
        peers::{Follow, MachineHolds},
        state::Txn,
        status::StandbyStatus,
    },
    state::{Ms, cluster::ClusterState, records::StandbyRecord},
};
use registry::Roll;
use replication_stream::Feed;
use std::collections::BTreeSet;

/// A standby that owes a confirmation for so long is struck.
const CONFIRM: Ms = 400;
/// How long a new leader leaves the record of the one before it as it is, so
/// that those named there still count, if its own standbys are not warm yet.
const HAND_ON: Ms = 1_000;
/// How long one that was struck is left alone, the first time; it doubles.
const REST: Ms = 2_000;
const LONGEST_REST: Ms = 32_000;

/// What standbys are told of: what is, or may be, on machines.
pub trait Picture {
    /// Changes so far, and the latest of which a start was sent.
    fn changes(&self) -> u64;
    fn sent(&self) -> u64;
    fn held_on(&self, machine: &str) -> MachineHolds;
    /// Machines that hold anything.
    fn held_machines(&self) -> BTreeSet<String>;
    /// Machines that changed since this was last called; the first call begins
    /// to note them.
    fn take_touched(&mut self) -> BTreeSet<String>;
}

impl Picture for ClusterState {
    fn changes(&self) -> u64 {
        self.change_count
    }
    fn sent(&self) -> u64 {
        self.latest_sent_change
    }
    fn held_on(&self, machine: &str) -> MachineHolds {
        ClusterState::held_on(self, machine)
    }
    fn held_machines(&self) -> BTreeSet<String> {
        ClusterState::held_machines(self)
    }
    fn take_touched(&mut self) -> BTreeSet<String> {
        ClusterState::take_touched(self)
    }
}

/// How a write of the record came out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    Done(u64),
    /// Surely not executed.
    Refused,
    /// Conflicts, or had no answer, and this is what stands now.
    Reread(Option<(StandbyRecord, u64)>),
}

/// The leader's side: who is kept warm, and what may be started.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Standbys {
    term: u64,
    most: usize,
    feeds: Vec<Feed>,
    roll: Roll,
    /// Since when the picture holds all that may run, and its changes are noted.
    begun: Option<Ms>,
    /// Something is to be started.
    starts: bool,
}

impl Standbys {
    /// `peers`: names of the other controllers, and whether each is in another
    /// zone than this one.
    /// `most`: so many are kept warm.
    pub fn new(term: u64, most: usize, peers: impl IntoIterator<Item = (String, bool)>) -> Self {
        let feeds = peers.into_iter().map(|(name, far)| Feed::new(name, far));
        Standbys {
            term,
            most,
            feeds: feeds.collect(),
            roll: Roll::default(),
            begun: None,
            starts: false,
        }
    }

    /// The record as an earlier leader left it.
    pub fn loaded(&mut self, found: Option<(StandbyRecord, u64)>) {
        self.roll = Roll::found(found);
    }

    /// Up to which change of the picture starts may be sent.
    pub fn confirmed(&self) -> u64 {
        if !self.roll.is_own(self.term) {
            return 0;
        }
        let counted = self.roll.counted(self.term);
        let acked = counted.map(|(name, incarnation)| {
            let feed = self.feeds.iter().find(|f| f.name == *name);
            feed.map_or(0, |f| f.confirmed_by(*incarnation))
        });
        acked.min().unwrap_or(u64::MAX)
    }

    /// Something is to be started.
    pub fn start_wanted(&mut self) {
        self.starts = true;
    }

    /// Looks who is to be kept warm, and returns the write of the record that
    /// is due, if any: one at a time. `complete`: the picture holds all that
    /// may run. `answers`: by peer.
    ///
    /// Who is entered must know all that was started so far, and counts from
    /// here on: nothing may be started between the look and the plan.
    pub fn step(
        &mut self,
        picture: &mut impl Picture,
        complete: bool,
        answers: impl Fn(usize) -> bool,
        now: Ms,
    ) -> Option<Txn> {
        let wanted = match complete && self.most > 0 && !self.feeds.is_empty() {
            true => self.review(picture, answers, now),
            false => StandbyRecord {
                term: self.term,
                known_to_all: self.roll.known_to_all(),
                ..StandbyRecord::default()
            },
        };
        if !self.roll.is_own(self.term) && wanted.named.is_empty() {
            let hands_on = match self.begun {
                Some(at) => now < at + HAND_ON,
                None => !self.starts,
            };
            if hands_on {
                return None;
            }
        }
        self.roll.plan(wanted, now)
    }

    fn review(
        &mut self,
        picture: &mut impl Picture,
        answers: impl Fn(usize) -> bool,
        now: Ms,
    ) -> StandbyRecord {
        self.begun.get_or_insert(now);
        self.spread(picture);
        let counted: Vec<(String, u64)> = self.roll.counted(self.term).cloned().collect();
        let named = |f: &Feed| counted.iter().find(|(n, _)| *n == f.name).map(|(_, i)| *i);
        let mut keep = Vec::new();
        for (p, f) in self.feeds.iter_mut().enumerate() {
            let Some(incarnation) = named(f) else {
                continue;
            };
            if let Some(why) = f.fails(incarnation, answers(p), now) {
                f.rest(why, now);
            } else {
                keep.push(p);
            }
        }
        // Elsewhere first: what ends the leader may take its zone.
        let mut others: Vec<usize> = (0..self.feeds.len())
            .filter(|p| !keep.contains(p) && answers(*p) && !self.feeds[*p].rests(now))
            .collect();
        others.sort_by_key(|p| !self.feeds[*p].far);
        keep.extend(others);
        keep.truncate(self.most);
        for (p, f) in self.feeds.iter_mut().enumerate() {
            match keep.contains(&p) {
                true if !f.is_fed() => f.begin(picture),
                false if f.is_fed() && named(f).is_none() => f.stop(),
                _ => {}
            }
        }
        let known = self.roll.known_to_all() || self.feeds.iter().all(|f| f.knows);
        let ready = |p: &&usize| {
            let f = &self.feeds[**p];
            known && f.is_warm(picture.sent()) && f.lasts(named(f))
        };
        let names = keep.iter().filter(ready).map(|p| self.feeds[*p].identity());
        let mut named: Vec<(String, u64)> = names.flatten().collect();
        named.sort();
        StandbyRecord {
            term: self.term,
            named,
            known_to_all: known,
        }
    }

    /// Hands what changed to all that are kept warm.
    fn spread(&mut self, picture: &mut impl Picture) {
        let touched = picture.take_touched();
        if touched.is_empty() {
            return;
        }
        for f in self.feeds.iter_mut().filter(|f| f.is_fed()) {
            f.changed(&touched);
        }
    }

    pub fn peers(&self) -> std::ops::Range<usize> {
        0..self.feeds.len()
    }

    /// What is to be sent to a peer next, if anything. One part is on its way
    /// at a time.
    pub fn next(&mut self, peer: usize, picture: &mut impl Picture, now: Ms) -> Option<Follow> {
        self.begun?;
        self.spread(picture);
        let probes = !self.roll.known_to_all();
        let f = self.feeds.get_mut(peer)?;
        let named = self.roll.counted(self.term).any(|(n, _)| *n == f.name);
        f.next(self.term, named, probes, picture, now)
    }

    /// How the part came out: who answered, and whether it was taken in.
    /// Returns whether starts may go that could not before.
    pub fn answered(
        &mut self,
        peer: usize,
        answer: Option<(u64, bool)>,
        picture: &impl Picture,
        now: Ms,
    ) -> bool {
        let before = self.confirmed();
        if let Some(f) = self.feeds.get_mut(peer) {
            f.answered(answer, picture, now);
        }
        self.confirmed() > before
    }

    /// How the write of the record came out. Returns whether starts may go
    /// that could not before.
    pub fn written(&mut self, how: Written, now: Ms) -> bool {
        let before = self.confirmed();
        self.roll.written(how, now);
        self.confirmed() > before
    }

    pub fn status(&self, now: Ms) -> Vec<StandbyStatus> {
        let counted: Vec<&(String, u64)> = self.roll.counted(self.term).collect();
        let named = |f: &Feed| counted.iter().any(|(n, _)| *n == f.name);
        self.feeds
            .iter()
            .filter(|f| f.is_fed() || f.rests(now))
            .map(|f| f.status(named(f), now))
            .collect()
    }
}
