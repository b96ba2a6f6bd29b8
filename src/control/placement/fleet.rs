//! The fleet: the machines that tasks may be placed on, and the rankings of them
//! that are kept up to date as machines change.
//!
//! Owned by the leader's scheduling, which reports each change of a machine
//! (`set`) and asks for the best one for a request (`choose`). A ranking applies
//! the changes recorded since it was last used, so choosing a machine costs what
//! has changed, not what there is. It must never offer what is withheld.

pub use super::ranking::{Choice, RankingId, Request};

use super::{
    Policy,
    change_log::ChangeLog,
    fragmentation,
    free_counts::FreeCounts,
    load,
    ranking::{Cost, Key, Place, Ranking},
};
use crate::state::{Millis, resources::Resources};
use rustc_hash::FxHashMap;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

/// Rankings that are kept; the least recently used one is dropped for another.
const MAX_RANKINGS: usize = 24;
/// A ranking unused for so long is dropped.
const RANKING_IDLE_MS: Millis = 30_000;
/// How long a machine must have been empty to count as surplus.
pub const SURPLUS: Millis = 3_000;
/// Costs that are cached; past that the cache is emptied.
const MAX_COSTS: usize = 8_192;
/// Added to a machine's rank: it is about to be released, or its fetch would
/// miss the objective for starting. The latter weighs more.
const SURPLUS_RANK: u32 = 1_000;
const LATE_RANK: u32 = 10_000;

/// A machine as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView {
    /// Index of its type.
    pub type_ix: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it offers in all.
    pub capacity: Resources,
    /// What is not taken or withheld.
    pub free: Resources,
    /// Images that it caches.
    pub images: Vec<u32>,
    /// Since when it has been empty, if it is.
    pub idle_since: Option<Millis>,
}

/// A usable machine.
#[derive(Debug)]
struct Slot {
    view: MachineView,
    /// Kept for a gang that waits: no longer part of what is free.
    withheld: Resources,
    surplus: bool,
}

/// A task that was placed for a trial.
#[derive(Debug)]
pub struct Taken {
    machine: u32,
    place: Option<Place>,
}

/// Usable machines and their rankings.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    /// By capacity and what is left: many machines are alike.
    costs: RefCell<FxHashMap<(Resources, Resources), Cost>>,
    slots: Vec<Option<Slot>>,
    rankings: Vec<Ranking>,
    log: ChangeLog,
    /// Empty machines that are going to be surplus.
    soon_surplus: BTreeSet<(Millis, u32)>,
    /// By type, zone and kind.
    free_counts: BTreeMap<(usize, usize, bool), FreeCounts>,
    withheld: BTreeSet<u32>,
    capacity: Resources,
    usable: usize,
}

impl Fleet {
    /// A fleet without machines.
    pub fn new(policy: Policy) -> Self {
        Fleet {
            policy,
            costs: RefCell::default(),
            slots: Vec::new(),
            rankings: Vec::new(),
            log: ChangeLog::default(),
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

    /// A usable machine as placement sees it.
    pub fn machine_view(&self, machine: u32) -> Option<&MachineView> {
        let slot = self.slots.get(machine as usize)?.as_ref()?;
        Some(&slot.view)
    }

    /// Usable machines, by index.
    pub fn machine_views(&self) -> impl Iterator<Item = (u32, &MachineView)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((index as u32, &slot.as_ref()?.view)))
    }

    /// The machine is as `view` says, without what is withheld on it; `None`:
    /// nothing may be placed on it.
    pub fn set(&mut self, machine: u32, view: Option<MachineView>, now: Millis) {
        let index = machine as usize;
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        let withheld = self.slots[index].as_ref().map(|s| s.withheld);
        let slot = view.map(|mut view| {
            let withheld = withheld.unwrap_or_default();
            view.free -= withheld;
            let surplus = view.idle_since.is_some_and(|since| now >= since + SURPLUS);
            Slot {
                view,
                withheld,
                surplus,
            }
        });
        let same = match (&self.slots[index], &slot) {
            (None, None) => true,
            (Some(old), Some(new)) => old.view == new.view && old.surplus == new.surplus,
            _ => false,
        };
        if same {
            return;
        }
        self.forget(machine);
        if let Some(slot) = slot {
            self.remember(machine, slot);
        }
        self.record_change(machine);
    }

    /// The same, but capacity that became free is left out. Returns whether there
    /// is any.
    pub fn set_without_gain(
        &mut self,
        machine: u32,
        view: Option<MachineView>,
        now: Millis,
    ) -> bool {
        let Some(mut view) = view else {
            self.set(machine, None, now);
            return false;
        };
        let slot = self.slots.get(machine as usize).and_then(Option::as_ref);
        let Some(slot) = slot else {
            return true;
        };
        let mut before = slot.view.free;
        before += slot.withheld;
        let gained = !view.free.fits(&before);
        view.free = view.free.least(&before);
        self.set(machine, Some(view), now);
        gained
    }

    fn forget(&mut self, machine: u32) {
        let Some(slot) = self.slots[machine as usize].take() else {
            return;
        };
        let view = &slot.view;
        let kind = (view.type_ix, view.zone, view.spot);
        if let Some(counts) = self.free_counts.get_mut(&kind) {
            counts.remove(&view.free);
        }
        if let Some(since) = view.idle_since {
            self.soon_surplus.remove(&(since + SURPLUS, machine));
        }
        self.capacity -= view.capacity;
        self.usable -= 1;
    }

    fn remember(&mut self, machine: u32, slot: Slot) {
        let view = &slot.view;
        let kind = (view.type_ix, view.zone, view.spot);
        self.free_counts.entry(kind).or_default().add(&view.free);
        if let Some(since) = view.idle_since.filter(|_| !slot.surplus) {
            self.soon_surplus.insert((since + SURPLUS, machine));
        }
        self.capacity += view.capacity;
        self.usable += 1;
        self.slots[machine as usize] = Some(slot);
    }

    fn record_change(&mut self, machine: u32) {
        self.log.record(machine, self.slots.len());
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
            self.record_change(machine);
        }
    }

    /// Whether a machine that `allows` admits by type, zone and kind may have
    /// capacity. `false` is certain.
    pub fn may_fit(&self, need: &Resources, allows: impl Fn(usize, usize, bool) -> bool) -> bool {
        self.free_counts
            .iter()
            .any(|((type_ix, zone, spot), counts)| {
                allows(*type_ix, *zone, *spot) && counts.most().is_some_and(|most| need.fits(&most))
            })
    }

    /// The ranking for a request, brought up to date.
    pub fn ranking(&mut self, request: &Request, now: Millis) -> RankingId {
        let unused = |ranking: &Ranking| ranking.last_used + RANKING_IDLE_MS < now;
        self.rankings
            .retain(|ranking| ranking.request == *request || !unused(ranking));
        let known = self
            .rankings
            .iter()
            .position(|ranking| ranking.request == *request);
        let index = known.unwrap_or_else(|| self.add_ranking(request, now));
        let mut ranking = self.rankings.swap_remove(index);
        self.bring_up_to_date(&mut ranking);
        ranking.last_used = now;
        self.rankings.push(ranking);
        RankingId(self.rankings.len() - 1)
    }

    fn add_ranking(&mut self, request: &Request, now: Millis) -> usize {
        if self.rankings.len() >= MAX_RANKINGS {
            let rankings = self.rankings.iter().enumerate();
            let oldest = rankings.min_by_key(|(_, ranking)| ranking.last_used);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.rankings.swap_remove(index);
            }
        }
        let mut ranking = Ranking::new(request, now);
        self.fill(&mut ranking);
        self.rankings.push(ranking);
        self.rankings.len() - 1
    }

    fn fill(&self, ranking: &mut Ranking) {
        let all = 0..self.slots.len() as u32;
        let places = all
            .map(|machine| self.place(&ranking.request, machine))
            .collect();
        ranking.fill(places, self.log.end());
    }

    fn bring_up_to_date(&self, ranking: &mut Ranking) {
        let Some(changed) = self.log.since(ranking.position) else {
            return self.fill(ranking);
        };
        for machine in changed {
            let place = self.place(&ranking.request, machine);
            ranking.put(machine, place);
        }
        ranking.position = self.log.end();
    }

    /// Where a machine stands for a request; `None` without capacity for it.
    fn place(&self, request: &Request, machine: u32) -> Option<Place> {
        let slot = self.slots.get(machine as usize)?.as_ref()?;
        let view = &slot.view;
        let allowed = request.types.get(view.type_ix).copied().unwrap_or(false)
            && (request.spot || !view.spot);
        if !allowed || !request.need.fits(&view.free) {
            return None;
        }
        let fetches_image = !view.images.contains(&request.image);
        let ranks = request.type_ranks.get(view.type_ix);
        let mut rank = ranks.map_or(u32::MAX, |r| r[usize::from(view.spot)]);
        if fetches_image && request.late.get(view.type_ix).copied().unwrap_or(false) {
            rank = rank.saturating_add(LATE_RANK);
        }
        // Used only when the others have no capacity, or would have to fetch what
        // it has. Guards against gangs that leave idle machines with their
        // image to fetch it on others.
        if slot.surplus && view.free == view.capacity && fetches_image {
            rank = rank.saturating_add(SURPLUS_RANK);
        }
        let key = self.key_with_rank(request, machine, rank, fetches_image)?;
        Some(Place {
            zone: view.zone,
            key,
        })
    }

    /// The same for a machine whose rank and image are taken as known.
    fn key_with_rank(
        &self,
        request: &Request,
        machine: u32,
        rank: u32,
        fetches_image: bool,
    ) -> Option<Key> {
        let view = self.machine_view(machine)?;
        if !request.need.fits(&view.free) {
            return None;
        }
        let after = view.free.minus(request.need);
        Some(Key {
            rank,
            busy: load(&view.capacity, &view.free, self.policy.load) >= self.policy.threshold,
            cost: self.cost(&view.capacity, &after),
            fetches_image,
            free_cpus: view.free.cpus,
            machine,
        })
    }

    fn cost(&self, capacity: &Resources, left: &Resources) -> Cost {
        let mut costs = self.costs.borrow_mut();
        if costs.len() >= MAX_COSTS {
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
                .is_some_and(|view| allowed(key.machine, view))
        };
        let first = |key: &Key| !last(key.machine) && admits(key);
        let found = ranking
            .best(&zone_ok, first)
            .or_else(|| ranking.best(&zone_ok, admits));
        found.map(|Place { zone, key }| Choice {
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
        let before = self.rankings[id.0].place(machine);
        self.change_free(machine, |free| *free -= need);
        let after = before.and_then(|Place { zone, key }| {
            let request = &self.rankings[id.0].request;
            let key = self.key_with_rank(request, machine, key.rank, key.fetches_image)?;
            Some(Place { zone, key })
        });
        self.rankings[id.0].put(machine, after);
        Taken {
            machine,
            place: before,
        }
    }

    /// Undoes placements of a trial; the latest come last.
    pub fn give_back(&mut self, id: RankingId, trial: Vec<Taken>) {
        let need = self.rankings[id.0].request.need;
        for taken in trial.into_iter().rev() {
            self.change_free(taken.machine, |free| *free += need);
            self.rankings[id.0].put(taken.machine, taken.place);
        }
    }

    fn change_free(&mut self, machine: u32, change: impl Fn(&mut Resources)) {
        let Some(Some(slot)) = self.slots.get_mut(machine as usize) else {
            return;
        };
        let view = &mut slot.view;
        let kind = (view.type_ix, view.zone, view.spot);
        if let Some(counts) = self.free_counts.get_mut(&kind) {
            counts.remove(&view.free);
            change(&mut view.free);
            counts.add(&view.free);
        }
        self.record_change(machine);
    }

    /// Machines in the ranking, in the order of their indices, of the zones
    /// that `zone_ok` admits.
    pub fn ranked(&self, id: RankingId, zone_ok: impl Fn(usize) -> bool) -> Vec<u32> {
        let Some(ranking) = self.rankings.get(id.0) else {
            return Vec::new();
        };
        ranking.machines_in(zone_ok)
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
