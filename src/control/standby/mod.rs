//! Standbys: nodes that replicate what may run on machines, so that one of them can
//! decide at once when it takes over.
//!
//! The leader replicates its cluster state and each change of it (`replication_stream`);
//! a standby keeps a replica (`replica`); a record says who counts (`registry`); and a
//! start waits until all who count have acknowledged its change. A new leader checks
//! that it was one of them before it uses its replica (`failover_checks`).
//!
//! Called by the leader on one side and by the server on the other. The invariant:
//! *whoever the record names knows at least all that may run.* `docs/design.md` has the
//! argument.

pub mod failover_checks;
mod registry;
pub mod replica;
mod replication_stream;

use crate::{
    protocol::{
        peers::{MachineTasks, ReplicationPart},
        state::Txn,
        status::StandbyStatus,
    },
    state::{Millis, cluster::ClusterState, records::StandbyRecord},
};
use registry::StandbyRegistry;
use replication_stream::ReplicationStream;
use std::collections::BTreeSet;

/// A standby that has not acknowledged for so long is demoted.
const CONFIRM_TIMEOUT_MS: Millis = 400;
/// How long a new leader leaves the record of the previous one as it is, so that those
/// named there still count, while its own standbys are not warm yet.
const HANDOVER_GRACE_MS: Millis = 1_000;
/// How long a demoted standby is left alone, the first time; it doubles.
const DEMOTION_PAUSE_MS: Millis = 2_000;
const MAX_DEMOTION_PAUSE_MS: Millis = 32_000;

/// What is replicated: what runs, or may run, on machines.
pub trait ReplicatedState {
    /// Changes so far.
    fn changes(&self) -> u64;
    /// The latest change of which a start was sent.
    fn sent(&self) -> u64;
    /// What runs, or may run, on the machine.
    fn tasks_on(&self, machine: &str) -> MachineTasks;
    /// Machines on which anything runs or may run.
    fn occupied_machines(&self) -> BTreeSet<String>;
    /// Machines that changed since the last call; the first call begins to record them.
    fn take_changed_machines(&mut self) -> BTreeSet<String>;
}

impl ReplicatedState for ClusterState {
    fn changes(&self) -> u64 {
        self.change_count
    }
    fn sent(&self) -> u64 {
        self.latest_sent_change
    }
    fn tasks_on(&self, machine: &str) -> MachineTasks {
        ClusterState::tasks_on(self, machine)
    }
    fn occupied_machines(&self) -> BTreeSet<String> {
        ClusterState::occupied_machines(self)
    }
    fn take_changed_machines(&mut self) -> BTreeSet<String> {
        ClusterState::take_changed_machines(self)
    }
}

/// Outcome of a write of the standby record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryWriteOutcome {
    /// Executed; the record has this version.
    Done(u64),
    /// Surely not executed.
    Refused,
    /// It conflicted, or its outcome was unknown; this is what was read since.
    Reread(Option<(StandbyRecord, u64)>),
}

/// The leader's side: who is kept warm, and which starts may be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Standbys {
    term: u64,
    max_warm: usize,
    streams: Vec<ReplicationStream>,
    registry: StandbyRegistry,
    /// Since when the cluster state holds all that may run, and its changes are
    /// recorded.
    replicating_since: Option<Millis>,
    /// Something is to be started.
    starts_wanted: bool,
}

impl Standbys {
    /// `peers`: names of the other controllers, and whether each is in another zone than
    /// this one. `most`: so many are kept warm.
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

    /// Selects the standbys, and returns the write of the record that is due, if any:
    /// one at a time. `complete`: the cluster state holds all that may run. `answers`:
    /// by peer.
    ///
    /// Who is entered must know all that was started so far, and counts from here on:
    /// nothing may be started between the selection and the plan.
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
        // Those in other zones first: what ends the leader may take its zone.
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

    /// Passes changed machines to all active streams.
    fn distribute_changes(&mut self, state: &mut impl ReplicatedState) {
        let touched = state.take_changed_machines();
        if touched.is_empty() {
            return;
        }
        for f in self.streams.iter_mut().filter(|f| f.is_active()) {
            f.machines_changed(&touched);
        }
    }

    /// Indices of the peers.
    pub fn peers(&self) -> std::ops::Range<usize> {
        0..self.streams.len()
    }

    /// The next part to send to a peer, if any. One is in flight at a time.
    pub fn next(
        &mut self,
        peer: usize,
        state: &mut impl ReplicatedState,
        now: Millis,
    ) -> Option<ReplicationPart> {
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

    /// Applies the answer to a part: the incarnation, and whether it applied the part.
    /// Returns whether more starts may be sent now.
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

    /// Applies the outcome of the write of the record. Returns whether more starts may
    /// be sent now.
    pub fn written(&mut self, how: RegistryWriteOutcome, now: Millis) -> bool {
        let before = self.confirmed_change();
        self.registry.write_finished(how, now);
        self.confirmed_change() > before
    }

    /// The state of each peer, for operators.
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
