//! A ranking: the machines with capacity for one kind of request, best first.
//!
//! `Fleet` owns the rankings and computes the sort keys; a ranking only keeps the keys in
//! order. A ranking must never be read before it is brought up to date.

use crate::state::{Millis, resources::Resources};
use std::{cmp::Ordering, collections::BTreeSet};

/// Machine requirements and preferences of a job. Jobs with equal requests share a ranking.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Resources that one task needs.
    pub need: Resources,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Image that the job's tasks run.
    pub image: u32,
    /// Rank of each machine type, for ordinary and for spot machines: more expensive types are
    /// used only when the cheaper ones have no capacity.
    pub type_ranks: Vec<[u32; 2]>,
    /// Whether, by machine type, fetching the image would miss the objective for starting.
    pub late: Vec<bool>,
}

/// A machine that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index of the machine.
    pub machine: u32,
    /// Index of the machine's zone.
    pub zone: usize,
    /// Whether fetching the image on the machine would miss the objective for starting.
    pub late: bool,
}

/// Identifies a ranking until the next call of `Fleet::ranking`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankingId(pub(super) usize);

/// Fragmentation cost, with a total order.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cost(pub(super) f64);

impl PartialEq for Cost {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Cost {}

impl PartialOrd for Cost {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cost {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Sort key of a machine in a ranking, lowest first. The fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) rank: u32,
    pub(super) busy: bool,
    pub(super) cost: Cost,
    pub(super) fetches_image: bool,
    pub(super) free_cpus: i64,
    pub(super) machine: u32,
}

/// Position of a machine in a ranking: its zone, and its sort key within the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RankingEntry {
    pub(super) zone: usize,
    pub(super) key: Key,
}

/// Machines with capacity for one kind of request.
#[derive(Debug)]
pub(super) struct Ranking {
    pub(super) request: Request,
    /// Sort keys of the machines with capacity, by zone.
    machines: Vec<BTreeSet<Key>>,
    /// Entry of each machine, by machine index; `None` for machines without capacity.
    entries: Vec<Option<RankingEntry>>,
    /// Position in the change log up to which changes have been applied.
    pub(super) position: u64,
    pub(super) last_used: Millis,
}

impl Ranking {
    pub(super) fn new(request: &Request, now: Millis) -> Self {
        Ranking {
            request: request.clone(),
            machines: Vec::new(),
            entries: Vec::new(),
            position: 0,
            last_used: now,
        }
    }

    /// Replaces all entries, which were computed at the given position of the change log.
    pub(super) fn fill(&mut self, entries: Vec<Option<RankingEntry>>, position: u64) {
        let mut by_zone: Vec<Vec<Key>> = Vec::new();
        for entry in entries.iter().flatten() {
            if by_zone.len() <= entry.zone {
                by_zone.resize_with(entry.zone + 1, Vec::new);
            }
            by_zone[entry.zone].push(entry.key);
        }
        self.machines = by_zone.into_iter().map(sorted).collect();
        self.entries = entries;
        self.position = position;
    }

    /// Sets or removes the entry of a machine.
    pub(super) fn set_entry(&mut self, machine: u32, entry: Option<RankingEntry>) {
        let index = machine as usize;
        if self.entries.len() <= index {
            self.entries.resize(index + 1, None);
        }
        let old = std::mem::replace(&mut self.entries[index], entry);
        if old == entry {
            return;
        }
        if let Some(RankingEntry { zone, key }) = old {
            self.machines[zone].remove(&key);
        }
        if let Some(RankingEntry { zone, key }) = entry {
            if self.machines.len() <= zone {
                self.machines.resize_with(zone + 1, BTreeSet::new);
            }
            self.machines[zone].insert(key);
        }
    }

    pub(super) fn entry(&self, machine: u32) -> Option<RankingEntry> {
        self.entries.get(machine as usize).copied().flatten()
    }

    /// Returns the entry of the best machine that `passes` admits, in the zones that `zone_ok`
    /// admits.
    pub(super) fn best(
        &self,
        zone_ok: &impl Fn(usize) -> bool,
        passes: impl Fn(&Key) -> bool,
    ) -> Option<RankingEntry> {
        let mut found: Option<RankingEntry> = None;
        let zones = self.machines.iter().enumerate();
        for (zone, keys) in zones.filter(|(zone, _)| zone_ok(*zone)) {
            let better = |key: &&Key| found.is_none_or(|best| **key < best.key);
            let first = keys.iter().take_while(better).find(|key| passes(key));
            if let Some(key) = first {
                found = Some(RankingEntry { zone, key: *key });
            }
        }
        found
    }

    /// Returns the machines in the zones that `zone_ok` admits, in ascending order of index.
    pub(super) fn machines_in(&self, zone_ok: impl Fn(usize) -> bool) -> Vec<u32> {
        let zones = self.machines.iter().enumerate();
        let zones = zones.filter(|(zone, _)| zone_ok(*zone));
        let mut machines: Vec<u32> = zones
            .flat_map(|(_, keys)| keys.iter().map(|key| key.machine))
            .collect();
        machines.sort_unstable();
        machines
    }
}

fn sorted(mut keys: Vec<Key>) -> BTreeSet<Key> {
    keys.sort_unstable();
    BTreeSet::from_iter(keys)
}
