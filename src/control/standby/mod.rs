//! Standbys: controllers that replicate which tasks may be running on which machines,
//! so that one of them can make decisions at once when it becomes leader.
//!
//! The leader replicates its cluster state and each change of it
//! (`replication_stream`), and a standby keeps a replica (`replica`). A record names
//! the standbys that count (`registry`), and a task is started only after all standbys
//! that count have acknowledged the change. A new leader checks that it was one of them
//! before it uses its replica (`failover_checks`).
//!
//! Called by the leader on one side and by the server on the other. The invariant:
//! *every standby named by the record knows at least all tasks that may be running.*
//! `docs/design.md` contains the argument.

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

/// A standby that has not acknowledged a part for this long is demoted.
const ACK_TIMEOUT_MS: Millis = 400;
/// How long a new leader keeps the record of the previous leader unchanged while its
/// own standbys are not warm yet, so that the standbys named there still count.
const HANDOVER_GRACE_MS: Millis = 1_000;
/// How long a standby is not selected again after its first demotion; the pause doubles
/// with each further demotion.
const DEMOTION_PAUSE_MS: Millis = 2_000;
/// Maximum of that pause.
const MAX_DEMOTION_PAUSE_MS: Millis = 32_000;

/// The replicated state: the tasks that run, or may run, on machines.
pub trait ReplicatedState {
    /// Number of changes so far.
    fn change_count(&self) -> u64;
    /// The latest change whose start command was sent.
    fn latest_sent_change(&self) -> u64;
    /// The tasks that run, or may run, on the machine.
    fn tasks_on(&self, machine: &str) -> MachineTasks;
    /// Machines on which any task runs or may run.
    fn occupied_machines(&self) -> BTreeSet<String>;
    /// Returns the machines that changed since the last call. The first call starts the
    /// recording of changes.
    fn take_changed_machines(&mut self) -> BTreeSet<String>;
}

impl ReplicatedState for ClusterState {
    fn change_count(&self) -> u64 {
        self.change_count
    }
    fn latest_sent_change(&self) -> u64 {
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
    /// The write was applied; the record has this version.
    Done(u64),
    /// The write was certainly not applied.
    Refused,
    /// The write conflicted, or its outcome was unknown; this is the record as read
    /// since then.
    Reread(Option<(StandbyRecord, u64)>),
}

/// The leader's side: which standbys are kept warm, and which starts may be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Standbys {
    term: u64,
    max_warm: usize,
    streams: Vec<ReplicationStream>,
    registry: StandbyRegistry,
    /// When the cluster state first held all tasks that may be running. Its changes are
    /// recorded from then on.
    replicating_since: Option<Millis>,
    /// Whether any task is to be started.
    starts_wanted: bool,
}

impl Standbys {
    /// Creates the state of a new term. `peers`: names of the other controllers, and
    /// whether each is in another zone than this one. `warm_limit`: maximum number of
    /// warm standbys.
    pub fn new(
        term: u64,
        warm_limit: usize,
        peers: impl IntoIterator<Item = (String, bool)>,
    ) -> Self {
        let streams = peers
            .into_iter()
            .map(|(name, in_other_zone)| ReplicationStream::new(name, in_other_zone));
        Standbys {
            term,
            max_warm: warm_limit,
            streams: streams.collect(),
            registry: StandbyRegistry::default(),
            replicating_since: None,
            starts_wanted: false,
        }
    }

    /// Takes over the record as an earlier leader left it.
    pub fn registry_loaded(&mut self, found: Option<(StandbyRecord, u64)>) {
        self.registry = StandbyRegistry::from_stored(found);
    }

    /// Returns the change of the cluster state up to which starts may be sent.
    pub fn confirmed_change(&self) -> u64 {
        if !self.registry.belongs_to(self.term) {
            return 0;
        }
        let counted = self.registry.counted_standbys(self.term);
        let acked = counted.map(|(name, incarnation)| {
            let found = self.streams.iter().find(|f| f.name == *name);
            found.map_or(0, |f| f.acknowledged_by(*incarnation))
        });
        acked.min().unwrap_or(u64::MAX)
    }

    /// Records that a task is to be started.
    pub fn start_wanted(&mut self) {
        self.starts_wanted = true;
    }

    /// Selects the standbys, and returns the write of the record that is due, if any.
    /// One write is in flight at a time. `complete`: the cluster state holds all tasks
    /// that may be running. `healthy`: whether the peer with this index answers.
    ///
    /// Each standby in the new record must know all tasks started so far, and counts
    /// from now on: no task may be started between the selection of the standbys and
    /// the planning of the write.
    pub fn select_and_record(
        &mut self,
        state: &mut impl ReplicatedState,
        complete: bool,
        healthy: impl Fn(usize) -> bool,
        now: Millis,
    ) -> Option<Txn> {
        let wanted_record = match complete && self.max_warm > 0 && !self.streams.is_empty() {
            true => self.select_standbys(state, healthy, now),
            false => StandbyRecord {
                term: self.term,
                known_to_all: self.registry.known_to_all(),
                ..StandbyRecord::default()
            },
        };
        if !self.registry.belongs_to(self.term) && wanted_record.standbys.is_empty() {
            let keeps_previous_record = match self.replicating_since {
                Some(at) => now < at + HANDOVER_GRACE_MS,
                None => !self.starts_wanted,
            };
            if keeps_previous_record {
                return None;
            }
        }
        self.registry.plan(wanted_record, now)
    }

    fn select_standbys(
        &mut self,
        state: &mut impl ReplicatedState,
        healthy: impl Fn(usize) -> bool,
        now: Millis,
    ) -> StandbyRecord {
        self.replicating_since.get_or_insert(now);
        self.distribute_changes(state);
        let counted: Vec<(String, u64)> =
            self.registry.counted_standbys(self.term).cloned().collect();
        let named =
            |f: &ReplicationStream| counted.iter().find(|(n, _)| *n == f.name).map(|(_, i)| *i);
        let mut selected = Vec::new();
        for (peer, stream) in self.streams.iter_mut().enumerate() {
            let Some(incarnation) = named(stream) else {
                continue;
            };
            if let Some(reason) = stream.demotion_due(incarnation, healthy(peer), now) {
                stream.demote(reason, now);
            } else {
                selected.push(peer);
            }
        }
        // Peers in other zones come first, because a failure of the leader may affect
        // its whole zone.
        let mut others: Vec<usize> = (0..self.streams.len())
            .filter(|p| !selected.contains(p) && healthy(*p) && !self.streams[*p].is_demoted(now))
            .collect();
        others.sort_by_key(|peer| !self.streams[*peer].in_other_zone);
        selected.extend(others);
        selected.truncate(self.max_warm);
        for (peer, stream) in self.streams.iter_mut().enumerate() {
            match selected.contains(&peer) {
                true if !stream.is_active() => stream.restart(state),
                false if stream.is_active() && named(stream).is_none() => stream.stop(),
                _ => {}
            }
        }
        let supported_by_all =
            self.registry.known_to_all() || self.streams.iter().all(|f| f.supports_standbys);
        let ready = |peer: &&usize| {
            let stream = &self.streams[**peer];
            supported_by_all
                && stream.is_warm(state.latest_sent_change())
                && stream.is_same_incarnation(named(stream))
        };
        let names = selected
            .iter()
            .filter(ready)
            .map(|peer| self.streams[*peer].identity());
        let mut standbys: Vec<(String, u64)> = names.flatten().collect();
        standbys.sort();
        StandbyRecord {
            term: self.term,
            standbys,
            known_to_all: supported_by_all,
        }
    }

    /// Adds the changed machines to all active streams.
    fn distribute_changes(&mut self, state: &mut impl ReplicatedState) {
        let changed_machines = state.take_changed_machines();
        if changed_machines.is_empty() {
            return;
        }
        for stream in self.streams.iter_mut().filter(|f| f.is_active()) {
            stream.machines_changed(&changed_machines);
        }
    }

    /// Indices of the peers.
    pub fn peers(&self) -> std::ops::Range<usize> {
        0..self.streams.len()
    }

    /// Returns the next part to send to a peer, if any. One part is in flight at a
    /// time.
    pub fn next_part(
        &mut self,
        peer: usize,
        state: &mut impl ReplicatedState,
        now: Millis,
    ) -> Option<ReplicationPart> {
        self.replicating_since?;
        self.distribute_changes(state);
        let should_probe = !self.registry.known_to_all();
        let stream = self.streams.get_mut(peer)?;
        let named = self
            .registry
            .counted_standbys(self.term)
            .any(|(n, _)| *n == stream.name);
        stream.next(self.term, named, should_probe, state, now)
    }

    /// Applies the answer to a part: the peer's incarnation, and whether the peer
    /// applied the part; `None` if there was no answer. Returns whether more starts may
    /// be sent now.
    pub fn answered(
        &mut self,
        peer: usize,
        answer: Option<(u64, bool)>,
        state: &impl ReplicatedState,
        now: Millis,
    ) -> bool {
        let before = self.confirmed_change();
        if let Some(stream) = self.streams.get_mut(peer) {
            stream.answered(answer, state, now);
        }
        self.confirmed_change() > before
    }

    /// Applies the outcome of the write of the record. Returns whether more starts may
    /// be sent now.
    pub fn registry_write_finished(&mut self, outcome: RegistryWriteOutcome, now: Millis) -> bool {
        let before = self.confirmed_change();
        self.registry.write_finished(outcome, now);
        self.confirmed_change() > before
    }

    /// Returns the state of each active or demoted peer, for operators.
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
