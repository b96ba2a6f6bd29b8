//! The machines that tasks may be placed on, in rankings that are kept as
//! machines change.
//!
//! A ranking holds the machines with room for one kind of request, best first.
//! There is one for each kind that was asked for lately. What changes on a
//! machine goes into one log; a ranking takes in what has come since it was
//! last used. So choosing a machine costs what has changed, not what there is.

use super::{Policy, fragmentation, free_counts::FreeCounts, load};
use crate::state::{Millis, resources::Resources};
use rustc_hash::FxHashMap;
use std::{
    cell::RefCell,
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Rankings that are kept; the one unused for longest makes room.
const MOST_RANKINGS: usize = 24;
/// A ranking unused for so long is dropped, in milliseconds.
const RANKING_IDLE: Millis = 30_000;
/// How long a machine must have been empty to count as surplus.
pub const SURPLUS: Millis = 3_000;
/// Costs that are remembered; past that all are forgotten.
const MOST_COSTS: usize = 8_192;
/// Added to a machine's rank: it is about to be returned, or its fetch would
/// miss the aim for starting. The latter weighs more.
const SURPLUS_RANK: u32 = 1_000;
const LATE_RANK: u32 = 10_000;

/// A machine as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub capacity: Resources,
    pub free: Resources,
    /// Images that it caches.
    pub images: Vec<u32>,
    /// Since when it has been empty, if it is.
    pub idle_since: Option<Millis>,
}

/// What a job asks of a machine. Jobs with equal requests share a ranking.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub need: Resources,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    pub spot: bool,
    pub image: u32,
    /// Rank of each machine type, ordinary and spot: dearer ones are used only
    /// when the cheaper have no room.
    pub type_ranks: Vec<[u32; 2]>,
    /// Machine types on which fetching the image would miss the aim for
    /// starting.
    pub late: Vec<bool>,
}

/// A machine that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    pub machine: u32,
    pub zone: usize,
    /// Fetching the image there would miss the aim for starting.
    pub late: bool,
}

/// Names a ranking until the next call of `Fleet::ranking`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankingId(usize);

/// Fragmentation cost in the order of numbers.
#[derive(Debug, Clone, Copy)]
struct Cost(f64);

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
struct Key {
    rank: u32,
    busy: bool,
    cost: Cost,
    fetches_image: bool,
    free_cpus: i64,
    machine: u32,
}

#[derive(Debug)]
struct Slot {
    room: MachineView,
    /// Kept for a gang that waits: not part of `room.free` any more.
    withheld: Resources,
    surplus: bool,
}

#[derive(Debug)]
struct Ranking {
    request: Request,
    /// By zone.
    machines: Vec<BTreeSet<Key>>,
    /// By machine: its zone and key, if it has room.
    keys: Vec<Option<(usize, Key)>>,
    /// Changes up to here have been taken in.
    position: u64,
    used: Millis,
}

impl Ranking {
    fn put(&mut self, machine: u32, key: Option<(usize, Key)>) {
        let index = machine as usize;
        if self.keys.len() <= index {
            self.keys.resize(index + 1, None);
        }
        let old = std::mem::replace(&mut self.keys[index], key);
        if old == key {
            return;
        }
        if let Some((zone, key)) = old {
            self.machines[zone].remove(&key);
        }
        if let Some((zone, key)) = key {
            if self.machines.len() <= zone {
                self.machines.resize_with(zone + 1, BTreeSet::new);
            }
            self.machines[zone].insert(key);
        }
    }

    fn key(&self, machine: u32) -> Option<(usize, Key)> {
        self.keys.get(machine as usize).copied().flatten()
    }
}

/// A task that was placed for a trial.
#[derive(Debug)]
pub struct Taken {
    machine: u32,
    key: Option<(usize, Key)>,
}

/// Usable machines and their rankings.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    /// By capacity and what is left: many machines are alike.
    costs: RefCell<FxHashMap<(Resources, Resources), Cost>>,
    slots: Vec<Option<Slot>>,
    rankings: Vec<Ranking>,
    /// Machines that changed, oldest first, and how many were dropped before.
    log: VecDeque<u32>,
    dropped: u64,
    /// Empty machines that are going to be surplus.
    soon_surplus: BTreeSet<(Millis, u32)>,
    /// By type, zone and kind.
    free_counts: BTreeMap<(usize, usize, bool), FreeCounts>,
    withheld: BTreeSet<u32>,
    capacity: Resources,
    usable: usize,
}

impl Fleet {
    pub fn new(policy: Policy) -> Self {
        Fleet {
            policy,
            costs: RefCell::default(),
            slots: Vec::new(),
            rankings: Vec::new(),
            log: VecDeque::new(),
            dropped: 0,
            soon_surplus: BTreeSet::new(),
            free_counts: BTreeMap::new(),
            withheld: BTreeSet::new(),
            capacity: Resources::default(),
            usable: 0,
        }
    }

    /// The order of machines follows this policy from now on.
    pub fn set_policy(&mut self, policy: &Policy) {
        if self.policy != *policy {
            self.policy = policy.clone();
            self.rankings.clear();
            self.costs.borrow_mut().clear();
        }
    }

    /// Whether no machine is usable.
    pub fn is_empty(&self) -> bool {
        self.usable == 0
    }

    /// What all usable machines offer together.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    pub fn machine_view(&self, machine: u32) -> Option<&MachineView> {
        let slot = self.slots.get(machine as usize)?.as_ref()?;
        Some(&slot.room)
    }

    /// Usable machines, by index.
    pub fn machine_views(&self) -> impl Iterator<Item = (u32, &MachineView)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((index as u32, &slot.as_ref()?.room)))
    }

    /// The machine is as `room` says, without what is withheld on it; `None`:
    /// nothing may be placed on it.
    pub fn set(&mut self, machine: u32, room: Option<MachineView>, now: Millis) {
        let index = machine as usize;
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        let withheld = self.slots[index].as_ref().map(|s| s.withheld);
        let slot = room.map(|mut room| {
            let withheld = withheld.unwrap_or_default();
            room.free -= withheld;
            let surplus = room.idle_since.is_some_and(|since| now >= since + SURPLUS);
            Slot {
                room,
                withheld,
                surplus,
            }
        });
        let same = match (&self.slots[index], &slot) {
            (None, None) => true,
            (Some(old), Some(new)) => old.room == new.room && old.surplus == new.surplus,
            _ => false,
        };
        if same {
            return;
        }
        self.forget(machine);
        if let Some(slot) = slot {
            self.remember(machine, slot);
        }
        self.note_change(machine);
    }

    /// The same, but room that the machine has gained is left out. Returns
    /// whether it has gained any.
    pub fn set_without_gain(
        &mut self,
        machine: u32,
        room: Option<MachineView>,
        now: Millis,
    ) -> bool {
        let Some(mut room) = room else {
            self.set(machine, None, now);
            return false;
        };
        let slot = self.slots.get(machine as usize).and_then(Option::as_ref);
        let Some(slot) = slot else {
            return true;
        };
        let mut before = slot.room.free;
        before += slot.withheld;
        let gained = !room.free.fits(&before);
        room.free = room.free.least(&before);
        self.set(machine, Some(room), now);
        gained
    }

    fn forget(&mut self, machine: u32) {
        let Some(slot) = self.slots[machine as usize].take() else {
            return;
        };
        let room = &slot.room;
        let kind = (room.type_ix, room.zone, room.spot);
        if let Some(counts) = self.free_counts.get_mut(&kind) {
            counts.remove(&room.free);
        }
        if let Some(since) = room.idle_since {
            self.soon_surplus.remove(&(since + SURPLUS, machine));
        }
        self.capacity -= room.capacity;
        self.usable -= 1;
    }

    fn remember(&mut self, machine: u32, slot: Slot) {
        let room = &slot.room;
        let kind = (room.type_ix, room.zone, room.spot);
        self.free_counts.entry(kind).or_default().add(&room.free);
        if let Some(since) = room.idle_since.filter(|_| !slot.surplus) {
            self.soon_surplus.insert((since + SURPLUS, machine));
        }
        self.capacity += room.capacity;
        self.usable += 1;
        self.slots[machine as usize] = Some(slot);
    }

    fn note_change(&mut self, machine: u32) {
        self.log.push_back(machine);
        // A ranking that is further behind is cheaper to build anew.
        if self.log.len() > self.slots.len().max(64) {
            self.log.pop_front();
            self.dropped += 1;
        }
    }

    /// Time has passed: machines that have been empty for a while are surplus.
    pub fn advance(&mut self, now: Millis) {
        while let Some(&(due, machine)) = self.soon_surplus.first()
            && due <= now
        {
            self.soon_surplus.pop_first();
            if let Some(Some(slot)) = self.slots.get_mut(machine as usize) {
                slot.surplus = true;
            }
            self.note_change(machine);
        }
    }

    /// Whether a machine that `allows` admits by type, zone and kind may have
    /// room. A "no" is sure.
    pub fn may_fit(&self, need: &Resources, allows: impl Fn(usize, usize, bool) -> bool) -> bool {
        self.free_counts
            .iter()
            .any(|((type_ix, zone, spot), counts)| {
                allows(*type_ix, *zone, *spot) && counts.most().is_some_and(|most| need.fits(&most))
            })
    }

    /// The ranking for a request, as things stand.
    pub fn ranking(&mut self, request: &Request, now: Millis) -> RankingId {
        let idle = |r: &Ranking| r.used + RANKING_IDLE < now;
        self.rankings.retain(|r| r.request == *request || !idle(r));
        let known = self.rankings.iter().position(|r| r.request == *request);
        let index = known.unwrap_or_else(|| self.add_ranking(request, now));
        let mut ranking = self.rankings.swap_remove(index);
        self.bring_up_to_date(&mut ranking);
        ranking.used = now;
        self.rankings.push(ranking);
        RankingId(self.rankings.len() - 1)
    }

    fn add_ranking(&mut self, request: &Request, now: Millis) -> usize {
        if self.rankings.len() >= MOST_RANKINGS {
            let oldest = self.rankings.iter().enumerate().min_by_key(|(_, r)| r.used);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.rankings.swap_remove(index);
            }
        }
        let mut ranking = empty_ranking(request);
        ranking.used = now;
        self.fill(&mut ranking);
        self.rankings.push(ranking);
        self.rankings.len() - 1
    }

    fn end_of_log(&self) -> u64 {
        self.dropped + self.log.len() as u64
    }

    fn fill(&self, ranking: &mut Ranking) {
        let all = 0..self.slots.len() as u32;
        ranking.keys = all.map(|m| self.key(&ranking.request, m)).collect();
        let mut by_zone: Vec<Vec<Key>> = Vec::new();
        for (zone, key) in ranking.keys.iter().flatten() {
            if by_zone.len() <= *zone {
                by_zone.resize_with(zone + 1, Vec::new);
            }
            by_zone[*zone].push(*key);
        }
        ranking.machines = by_zone.into_iter().map(sorted).collect();
        ranking.position = self.end_of_log();
    }

    fn bring_up_to_date(&self, ranking: &mut Ranking) {
        if ranking.position < self.dropped {
            return self.fill(ranking);
        }
        let first = (ranking.position - self.dropped) as usize;
        for machine in self.log.range(first..) {
            ranking.put(*machine, self.key(&ranking.request, *machine));
        }
        ranking.position = self.end_of_log();
    }

    /// Where a machine stands for a request; `None` without room.
    fn key(&self, request: &Request, machine: u32) -> Option<(usize, Key)> {
        let slot = self.slots.get(machine as usize)?.as_ref()?;
        let room = &slot.room;
        let allowed = request.types.get(room.type_ix).copied().unwrap_or(false)
            && (request.spot || !room.spot);
        if !allowed || !request.need.fits(&room.free) {
            return None;
        }
        let fetches_image = !room.images.contains(&request.image);
        let ranks = request.type_ranks.get(room.type_ix);
        let mut rank = ranks.map_or(u32::MAX, |r| r[usize::from(room.spot)]);
        if fetches_image && request.late.get(room.type_ix).copied().unwrap_or(false) {
            rank = rank.saturating_add(LATE_RANK);
        }
        // Used only when the others have no room, or would have to fetch what
        // it has. Guards against gangs that leave idle machines with their
        // image to fetch it on others.
        if slot.surplus && room.free == room.capacity && fetches_image {
            rank = rank.saturating_add(SURPLUS_RANK);
        }
        let key = self.key_with_rank(request, machine, rank, fetches_image)?;
        Some((room.zone, key))
    }

    /// The same for a machine whose rank and image are taken as known.
    fn key_with_rank(
        &self,
        request: &Request,
        machine: u32,
        rank: u32,
        fetches_image: bool,
    ) -> Option<Key> {
        let room = self.machine_view(machine)?;
        if !request.need.fits(&room.free) {
            return None;
        }
        let after = room.free.minus(request.need);
        Some(Key {
            rank,
            busy: load(&room.capacity, &room.free, self.policy.load) >= self.policy.threshold,
            cost: self.cost(&room.capacity, &after),
            fetches_image,
            free_cpus: room.free.cpus,
            machine,
        })
    }

    fn cost(&self, capacity: &Resources, left: &Resources) -> Cost {
        let mut costs = self.costs.borrow_mut();
        if costs.len() >= MOST_COSTS {
            costs.clear();
        }
        let known = costs.entry((*capacity, *left));
        *known.or_insert_with(|| Cost(fragmentation(capacity, left, &self.policy.shapes)))
    }

    /// The best machine in the zones that `zone_ok` admits, of those that
    /// `allowed` admits. Those that `last` names are used only when there is no
    /// other.
    pub fn choose(
        &self,
        id: RankingId,
        zone_ok: impl Fn(usize) -> bool,
        last: impl Fn(u32) -> bool,
        allowed: impl Fn(u32, &MachineView) -> bool,
    ) -> Option<Choice> {
        let ranking = self.rankings.get(id.0)?;
        let admits = |key: &Key| {
            self.machine_view(key.machine)
                .is_some_and(|room| allowed(key.machine, room))
        };
        let first = |key: &Key| !last(key.machine) && admits(key);
        let found = best(ranking, &zone_ok, first).or_else(|| best(ranking, &zone_ok, admits));
        found.map(|(zone, key)| Choice {
            machine: key.machine,
            zone,
            late: key.fetches_image && self.is_late(&ranking.request, key.machine),
        })
    }

    fn is_late(&self, request: &Request, machine: u32) -> bool {
        let late = self
            .machine_view(machine)
            .map(|r| request.late.get(r.type_ix));
        late.flatten().copied().unwrap_or(false)
    }

    /// A task of the ranking's request is placed on the machine. For the rest
    /// of the job, the machine's rank and image stay as they were.
    pub fn take(&mut self, id: RankingId, machine: u32) -> Taken {
        let need = self.rankings[id.0].request.need;
        let before = self.rankings[id.0].key(machine);
        self.change_free(machine, |free| *free -= need);
        let after = before.and_then(|(zone, key)| {
            let request = &self.rankings[id.0].request;
            let key = self.key_with_rank(request, machine, key.rank, key.fetches_image)?;
            Some((zone, key))
        });
        self.rankings[id.0].put(machine, after);
        Taken {
            machine,
            key: before,
        }
    }

    /// Undoes placements of a trial; the latest come last.
    pub fn give_back(&mut self, id: RankingId, trial: Vec<Taken>) {
        let need = self.rankings[id.0].request.need;
        for taken in trial.into_iter().rev() {
            self.change_free(taken.machine, |free| *free += need);
            self.rankings[id.0].put(taken.machine, taken.key);
        }
    }

    fn change_free(&mut self, machine: u32, change: impl Fn(&mut Resources)) {
        let Some(Some(slot)) = self.slots.get_mut(machine as usize) else {
            return;
        };
        let room = &mut slot.room;
        let kind = (room.type_ix, room.zone, room.spot);
        if let Some(counts) = self.free_counts.get_mut(&kind) {
            counts.remove(&room.free);
            change(&mut room.free);
            counts.add(&room.free);
        }
        self.note_change(machine);
    }

    /// Machines in the ranking, in the order of their indices, of the zones
    /// that `zone_ok` admits.
    pub fn ranked(&self, id: RankingId, zone_ok: impl Fn(usize) -> bool) -> Vec<u32> {
        let Some(ranking) = self.rankings.get(id.0) else {
            return Vec::new();
        };
        let zones = ranking.machines.iter().enumerate();
        let zones = zones.filter(|(zone, _)| zone_ok(*zone));
        let mut machines: Vec<u32> = zones
            .flat_map(|(_, keys)| keys.iter().map(|k| k.machine))
            .collect();
        machines.sort_unstable();
        machines
    }

    /// Keeps so much of what is free on the machine until `release_withheld`.
    pub fn withhold(&mut self, machine: u32, amounts: Resources) {
        let Some(Some(slot)) = self.slots.get_mut(machine as usize) else {
            return;
        };
        slot.withheld += amounts;
        self.withheld.insert(machine);
        self.change_free(machine, |free| *free -= amounts);
    }

    /// Gives all that is withheld free again.
    pub fn release_withheld(&mut self) {
        for machine in std::mem::take(&mut self.withheld) {
            let Some(Some(slot)) = self.slots.get_mut(machine as usize) else {
                continue;
            };
            let amounts = std::mem::take(&mut slot.withheld);
            self.change_free(machine, |free| *free += amounts);
        }
    }
}

fn sorted(mut keys: Vec<Key>) -> BTreeSet<Key> {
    keys.sort_unstable();
    BTreeSet::from_iter(keys)
}

fn empty_ranking(request: &Request) -> Ranking {
    Ranking {
        request: request.clone(),
        machines: Vec::new(),
        keys: Vec::new(),
        position: 0,
        used: 0,
    }
}

/// The best machine, with its zone, that passes.
fn best(
    ranking: &Ranking,
    zone_ok: &impl Fn(usize) -> bool,
    passes: impl Fn(&Key) -> bool,
) -> Option<(usize, Key)> {
    let mut found: Option<(usize, Key)> = None;
    let zones = ranking.machines.iter().enumerate();
    for (zone, keys) in zones.filter(|(zone, _)| zone_ok(*zone)) {
        let better = |key: &&Key| found.is_none_or(|(_, best)| **key < best);
        let first = keys.iter().take_while(better).find(|key| passes(key));
        if let Some(key) = first {
            found = Some((zone, *key));
        }
    }
    found
}
