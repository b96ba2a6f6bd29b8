//! Standbys that are warm: nodes that know what may run on machines, so that
//! one of them can decide at once when it takes over.
//!
//! The leader tells them its cluster state and each change of it (`stream`), they keep
//! a copy (`replica`), a record says who counts (`registry`), and a start waits until
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
    state::{Millis, cluster::ClusterState, records::StandbyRecord},
};
use registry::StandbyRegistry;
use replication_stream::ReplicationStream;
use std::collections::BTreeSet;

/// A standby that owes a confirmation for so long is struck.
const CONFIRM_TIMEOUT_MS: Millis = 400;
/// How long a new leader leaves the record of the one before it as it is, so
/// that those named there still count, if its own standbys are not warm yet.
const HANDOVER_GRACE_MS: Millis = 1_000;
/// How long one that was struck is left alone, the first time; it doubles.
const DEMOTION_PAUSE_MS: Millis = 2_000;
const MAX_DEMOTION_PAUSE_MS: Millis = 32_000;

/// What standbys are told of: what is, or may be, on machines.
pub trait ReplicatedState {
    /// Changes so far, and the latest of which a start was sent.
    fn changes(&self) -> u64;
    fn sent(&self) -> u64;
    fn tasks_on(&self, machine: &str) -> MachineHolds;
    /// Machines that hold anything.
    fn occupied_machines(&self) -> BTreeSet<String>;
    /// Machines that changed since this was last called; the first call begins
    /// to note them.
    fn take_changed_machines(&mut self) -> BTreeSet<String>;
}

impl ReplicatedState for ClusterState {
    fn changes(&self) -> u64 {
        self.change_count
    }
    fn sent(&self) -> u64 {
        self.latest_sent_change
    }
    fn tasks_on(&self, machine: &str) -> MachineHolds {
        ClusterState::tasks_on(self, machine)
    }
    fn occupied_machines(&self) -> BTreeSet<String> {
        ClusterState::occupied_machines(self)
    }
    fn take_changed_machines(&mut self) -> BTreeSet<String> {
        ClusterState::take_changed_machines(self)
    }
}

/// How a write of the record came out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryWriteOutcome {
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
    max_warm: usize,
    streams: Vec<ReplicationStream>,
    registry: StandbyRegistry,
    /// Since when the cluster state holds all that may run, and its changes are noted.
    replicating_since: Option<Millis>,
    /// Something is to be started.
    starts_wanted: bool,
}

impl Standbys {
    /// `peers`: names of the other controllers, and whether each is in another
    /// zone than this one.
    /// `most`: so many are kept warm.
    pub fn new(term: u64, most: usize, peers: impl IntoIterator<Item = (String, bool)>) -> Self {
        let streams = peers
            .into_iter()
            .map(|(name, far)| ReplicationStream::new(name, far));
        Standbys {
            term,
            max_warm: most,
            streams: streams.collect(),
            registry: StandbyRegistry::default(),
            replicating_since: None,
            starts_wanted: false,
        }
    }

    /// The record as an earlier leader left it.
    pub fn loaded(&mut self, found: Option<(StandbyRecord, u64)>) {
        self.registry = StandbyRegistry::found(found);
    }

    /// Up to which change of the cluster state starts may be sent.
    pub fn confirmed_change(&self) -> u64 {
        if !self.registry.belongs_to(self.term) {
            return 0;
        }
        let counted = self.registry.counted_standbys(self.term);
        let acked = counted.map(|(name, incarnation)| {
            let stream = self.streams.iter().find(|f| f.name == *name);
            stream.map_or(0, |f| f.acknowledged_by(*incarnation))
        });
        acked.min().unwrap_or(u64::MAX)
    }

    /// Something is to be started.
    pub fn start_wanted(&mut self) {
        self.starts_wanted = true;
    }

    /// Looks who is to be kept warm, and returns the write of the record that
    /// is due, if any: one at a time. `complete`: the cluster state holds all that
    /// may run. `answers`: by peer.
    ///
    /// Who is entered must know all that was started so far, and counts from
    /// here on: nothing may be started between the look and the plan.
    pub fn step(
        &mut self,
        state: &mut impl ReplicatedState,
        complete: bool,
        answers: impl Fn(usize) -> bool,
        now: Millis,
    ) -> Option<Txn> {
        let wanted = match complete && self.max_warm > 0 && !self.streams.is_empty() {
            true => self.select_standbys(state, answers, now),
            false => StandbyRecord {
                term: self.term,
                known_to_all: self.registry.known_to_all(),
                ..StandbyRecord::default()
            },
        };
        if !self.registry.belongs_to(self.term) && wanted.named.is_empty() {
            let hands_on = match self.replicating_since {
                Some(at) => now < at + HANDOVER_GRACE_MS,
                None => !self.starts_wanted,
            };
            if hands_on {
                return None;
            }
        }
        self.registry.plan(wanted, now)
    }

    fn select_standbys(
        &mut self,
        state: &mut impl ReplicatedState,
        answers: impl Fn(usize) -> bool,
        now: Millis,
    ) -> StandbyRecord {
        self.replicating_since.get_or_insert(now);
        self.distribute_changes(state);
        let counted: Vec<(String, u64)> =
            self.registry.counted_standbys(self.term).cloned().collect();
        let named =
            |f: &ReplicationStream| counted.iter().find(|(n, _)| *n == f.name).map(|(_, i)| *i);
        let mut keep = Vec::new();
        for (p, f) in self.streams.iter_mut().enumerate() {
            let Some(incarnation) = named(f) else {
                continue;
            };
            if let Some(why) = f.demotion_due(incarnation, answers(p), now) {
                f.demote(why, now);
            } else {
                keep.push(p);
            }
        }
        // Elsewhere first: what ends the leader may take its zone.
        let mut others: Vec<usize> = (0..self.streams.len())
            .filter(|p| !keep.contains(p) && answers(*p) && !self.streams[*p].is_demoted(now))
            .collect();
        others.sort_by_key(|p| !self.streams[*p].in_other_zone);
        keep.extend(others);
        keep.truncate(self.max_warm);
        for (p, f) in self.streams.iter_mut().enumerate() {
            match keep.contains(&p) {
                true if !f.is_active() => f.restart(state),
                false if f.is_active() && named(f).is_none() => f.stop(),
                _ => {}
            }
        }
        let known =
            self.registry.known_to_all() || self.streams.iter().all(|f| f.supports_standbys);
        let ready = |p: &&usize| {
            let f = &self.streams[**p];
            known && f.is_warm(state.sent()) && f.is_same_incarnation(named(f))
        };
        let names = keep
            .iter()
            .filter(ready)
            .map(|p| self.streams[*p].identity());
        let mut named: Vec<(String, u64)> = names.flatten().collect();
        named.sort();
        StandbyRecord {
            term: self.term,
            named,
            known_to_all: known,
        }
    }

    /// Hands what changed to all that are kept warm.
    fn distribute_changes(&mut self, state: &mut impl ReplicatedState) {
        let touched = state.take_changed_machines();
        if touched.is_empty() {
            return;
        }
        for f in self.streams.iter_mut().filter(|f| f.is_active()) {
            f.machines_changed(&touched);
        }
    }

    pub fn peers(&self) -> std::ops::Range<usize> {
        0..self.streams.len()
    }

    /// What is to be sent to a peer next, if anything. One part is on its way
    /// at a time.
    pub fn next(
        &mut self,
        peer: usize,
        state: &mut impl ReplicatedState,
        now: Millis,
    ) -> Option<Follow> {
        self.replicating_since?;
        self.distribute_changes(state);
        let probes = !self.registry.known_to_all();
        let f = self.streams.get_mut(peer)?;
        let named = self
            .registry
            .counted_standbys(self.term)
            .any(|(n, _)| *n == f.name);
        f.next(self.term, named, probes, state, now)
    }

    /// How the part came out: who answered, and whether it was taken in.
    /// Returns whether starts may go that could not before.
    pub fn answered(
        &mut self,
        peer: usize,
        answer: Option<(u64, bool)>,
        state: &impl ReplicatedState,
        now: Millis,
    ) -> bool {
        let before = self.confirmed_change();
        if let Some(f) = self.streams.get_mut(peer) {
            f.answered(answer, state, now);
        }
        self.confirmed_change() > before
    }

    /// How the write of the record came out. Returns whether starts may go
    /// that could not before.
    pub fn written(&mut self, how: RegistryWriteOutcome, now: Millis) -> bool {
        let before = self.confirmed_change();
        self.registry.write_finished(how, now);
        self.confirmed_change() > before
    }

    pub fn status(&self, now: Millis) -> Vec<StandbyStatus> {
        let counted: Vec<&(String, u64)> = self.registry.counted_standbys(self.term).collect();
        let named = |f: &ReplicationStream| counted.iter().any(|(n, _)| *n == f.name);
        self.streams
            .iter()
            .filter(|f| f.is_active() || f.is_demoted(now))
            .map(|f| f.status(named(f), now))
            .collect()
    }
}
