//! A ranking: the machines with capacity for one kind of request, best first.
//!
//! `Fleet` owns the rankings and computes the keys; a ranking only keeps them in
//! order. It must never be read before it is brought up to date.

use crate::state::{Millis, resources::Resources};
use std::{cmp::Ordering, collections::BTreeSet};

/// What a job asks of a machine. Jobs with equal requests share a ranking.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// What one task needs.
    pub need: Resources,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Image that its tasks run.
    pub image: u32,
    /// Rank of each machine type, ordinary and spot: dearer ones are used only
    /// when the cheaper have no room.
    pub type_ranks: Vec<[u32; 2]>,
    /// Machine types on which fetching the image would miss the objective for
    /// starting.
    pub late: Vec<bool>,
}

/// A machine that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Its index.
    pub machine: u32,
    /// Its zone.
    pub zone: usize,
    /// Fetching the image there would miss the objective for starting.
    pub late: bool,
}

/// Names a ranking until the next call of `Fleet::ranking`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankingId(pub(super) usize);

/// Fragmentation cost in the order of numbers.
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

/// The place of a machine in a ranking; the fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) rank: u32,
    pub(super) busy: bool,
    pub(super) cost: Cost,
    pub(super) fetches_image: bool,
    pub(super) free_cpus: i64,
    pub(super) machine: u32,
}

/// A machine's zone, and its key there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) zone: usize,
    pub(super) key: Key,
}

/// Machines with capacity for one kind of request.
#[derive(Debug)]
pub(super) struct Ranking {
    pub(super) request: Request,
    /// By zone.
    machines: Vec<BTreeSet<Key>>,
    /// By machine: its place, if it has capacity.
    places: Vec<Option<Place>>,
    /// Changes before this position of the log have been applied.
    pub(super) position: u64,
    pub(super) last_used: Millis,
}

impl Ranking {
    pub(super) fn new(request: &Request, now: Millis) -> Self {
        Ranking {
            request: request.clone(),
            machines: Vec::new(),
            places: Vec::new(),
            position: 0,
            last_used: now,
        }
    }

    /// Replaces all places; `position`: of the log as they were computed.
    pub(super) fn fill(&mut self, places: Vec<Option<Place>>, position: u64) {
        let mut by_zone: Vec<Vec<Key>> = Vec::new();
        for place in places.iter().flatten() {
            if by_zone.len() <= place.zone {
                by_zone.resize_with(place.zone + 1, Vec::new);
            }
            by_zone[place.zone].push(place.key);
        }
        self.machines = by_zone.into_iter().map(sorted).collect();
        self.places = places;
        self.position = position;
    }

    pub(super) fn put(&mut self, machine: u32, place: Option<Place>) {
        let index = machine as usize;
        if self.places.len() <= index {
            self.places.resize(index + 1, None);
        }
        let old = std::mem::replace(&mut self.places[index], place);
        if old == place {
            return;
        }
        if let Some(Place { zone, key }) = old {
            self.machines[zone].remove(&key);
        }
        if let Some(Place { zone, key }) = place {
            if self.machines.len() <= zone {
                self.machines.resize_with(zone + 1, BTreeSet::new);
            }
            self.machines[zone].insert(key);
        }
    }

    pub(super) fn place(&self, machine: u32) -> Option<Place> {
        self.places.get(machine as usize).copied().flatten()
    }

    /// The best machine of the zones that `zone_ok` admits that passes.
    pub(super) fn best(
        &self,
        zone_ok: &impl Fn(usize) -> bool,
        passes: impl Fn(&Key) -> bool,
    ) -> Option<Place> {
        let mut found: Option<Place> = None;
        let zones = self.machines.iter().enumerate();
        for (zone, keys) in zones.filter(|(zone, _)| zone_ok(*zone)) {
            let better = |key: &&Key| found.is_none_or(|best| **key < best.key);
            let first = keys.iter().take_while(better).find(|key| passes(key));
            if let Some(key) = first {
                found = Some(Place { zone, key: *key });
            }
        }
        found
    }

    /// Its machines in the zones that `zone_ok` admits, by index.
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
