//! The fleet: the machines on which tasks may be placed, and rankings of these machines that
//! are kept up to date as machines change.
//!
//! Owned by the leader's scheduling, which reports each change of a machine (`update_machine`) and asks
//! for the best machine for a request (`choose`). A ranking applies the changes recorded
//! since it was last used, so the cost of a choice grows with the number of changes, not
//! with the size of the fleet. Withheld capacity must never be offered.

pub use super::ranking::{Choice, RankingId, Request};

use super::{
    Policy,
    change_log::ChangeLog,
    fragmentation,
    free_counts::FreeCounts,
    load,
    ranking::{Cost, Key, Ranking, RankingEntry},
};
use crate::state::{Millis, resources::Resources};
use rustc_hash::FxHashMap;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

/// Maximum number of rankings kept. The least recently used one is dropped for a new one.
const MAX_RANKINGS: usize = 24;
/// Time in milliseconds after which an unused ranking is dropped.
const RANKING_IDLE_MS: Millis = 30_000;
/// Time in milliseconds for which a machine must have been empty to count as surplus.
pub const SURPLUS_AFTER_MS: Millis = 3_000;
/// Maximum number of cached costs. The cache is emptied when it is full.
const MAX_CACHED_COSTS: usize = 8_192;
/// Added to the rank of a surplus machine, which is about to be released.
const SURPLUS_RANK: u32 = 1_000;
/// Added to the rank of a machine on which fetching the image would miss the objective for
/// starting. This weighs more than surplus.
const LATE_RANK: u32 = 10_000;

/// The state of a machine that placement depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineView {
    /// Index of the machine's type.
    pub type_index: usize,
    /// Index of the machine's zone.
    pub zone: usize,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources that are neither assigned to tasks nor withheld.
    pub free: Resources,
    /// Images that the machine caches.
    pub images: Vec<u32>,
    /// Time since which the machine has been empty; `None` if it is not empty.
    pub idle_since: Option<Millis>,
}

/// A machine on which tasks may be placed.
#[derive(Debug)]
struct Slot {
    view: MachineView,
    /// Resources withheld for a waiting gang; not included in `view.free`.
    withheld: Resources,
    /// Whether the machine has been empty for `SURPLUS_AFTER_MS`.
    surplus: bool,
}

/// A trial placement, with what is needed to undo it.
#[derive(Debug)]
pub struct TrialPlacement {
    machine: u32,
    /// The machine's entry in the ranking before the placement.
    entry: Option<RankingEntry>,
}

/// Usable machines and their rankings.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    /// Cached fragmentation costs by capacity and free resources, as many machines are alike.
    costs: RefCell<FxHashMap<(Resources, Resources), Cost>>,
    slots: Vec<Option<Slot>>,
    rankings: Vec<Ranking>,
    log: ChangeLog,
    /// Empty machines that are not surplus yet, with the time at which they become surplus.
    surplus_due: BTreeSet<(Millis, u32)>,
    /// Free resources by machine type, zone and whether the machine is a spot machine.
    free_counts: BTreeMap<(usize, usize, bool), FreeCounts>,
    /// Machines with withheld resources.
    withheld: BTreeSet<u32>,
    /// Total resources of all usable machines.
    capacity: Resources,
    /// Number of usable machines.
    usable: usize,
}

impl Fleet {
    /// Creates a fleet without machines.
    pub fn new(policy: Policy) -> Self {
        Fleet {
            policy,
            costs: RefCell::default(),
            slots: Vec::new(),
            rankings: Vec::new(),
            log: ChangeLog::default(),
            surplus_due: BTreeSet::new(),
            free_counts: BTreeMap::new(),
            withheld: BTreeSet::new(),
            capacity: Resources::default(),
            usable: 0,
        }
    }

    /// Replaces the policy. If it differs, all rankings and cached costs are dropped.
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

    /// Returns the total resources of all usable machines.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns the view of a machine, or `None` if the machine is not usable.
    pub fn machine_view(&self, machine: u32) -> Option<&MachineView> {
        let slot = self.slots.get(machine as usize)?.as_ref()?;
        Some(&slot.view)
    }

    /// Returns the usable machines with their indices.
    pub fn machine_views(&self) -> impl Iterator<Item = (u32, &MachineView)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((index as u32, &slot.as_ref()?.view)))
    }

    /// Updates a machine. `view` does not account for withheld resources, which are deducted
    /// here; `None` if nothing may be placed on the machine.
    pub fn update_machine(&mut self, machine: u32, view: Option<MachineView>, now: Millis) {
        let index = machine as usize;
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        let withheld = self.slots[index].as_ref().map(|s| s.withheld);
        let slot = view.map(|mut view| {
            let withheld = withheld.unwrap_or_default();
            view.free -= withheld;
            let surplus = view
                .idle_since
                .is_some_and(|since| now >= since + SURPLUS_AFTER_MS);
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
        self.remove_machine(machine);
        if let Some(slot) = slot {
            self.insert_machine(machine, slot);
        }
        self.record_change(machine);
    }

    /// Updates a machine like `update_machine`, but leaves out capacity that became free since the last
    /// update. Returns whether there is any such capacity.
    pub fn update_machine_without_gain(
        &mut self,
        machine: u32,
        view: Option<MachineView>,
        now: Millis,
    ) -> bool {
        let Some(mut view) = view else {
            self.update_machine(machine, None, now);
            return false;
        };
        let slot = self.slots.get(machine as usize).and_then(Option::as_ref);
        let Some(slot) = slot else {
            return true;
        };
        let mut before = slot.view.free;
        before += slot.withheld;
        let gained = !view.free.fits(&before);
        view.free = view.free.min_per_resource(&before);
        self.update_machine(machine, Some(view), now);
        gained
    }

    fn remove_machine(&mut self, machine: u32) {
        let Some(slot) = self.slots[machine as usize].take() else {
            return;
        };
        let view = &slot.view;
        let kind = (view.type_index, view.zone, view.spot);
        if let Some(counts) = self.free_counts.get_mut(&kind) {
            counts.remove(&view.free);
        }
        if let Some(since) = view.idle_since {
            self.surplus_due
                .remove(&(since + SURPLUS_AFTER_MS, machine));
        }
        self.capacity -= view.capacity;
        self.usable -= 1;
    }

    fn insert_machine(&mut self, machine: u32, slot: Slot) {
        let view = &slot.view;
        let kind = (view.type_index, view.zone, view.spot);
        self.free_counts.entry(kind).or_default().add(&view.free);
        if let Some(since) = view.idle_since.filter(|_| !slot.surplus) {
            self.surplus_due.insert((since + SURPLUS_AFTER_MS, machine));
        }
        self.capacity += view.capacity;
        self.usable += 1;
        self.slots[machine as usize] = Some(slot);
    }

    fn record_change(&mut self, machine: u32) {
        self.log.record(machine, self.slots.len());
    }

    /// Marks machines that have been empty for `SURPLUS_AFTER_MS` by `now` as surplus.
    pub fn advance(&mut self, now: Millis) {
        while let Some(&(due, machine)) = self.surplus_due.first()
            && due <= now
        {
            self.surplus_due.pop_first();
            if let Some(Some(slot)) = self.slots.get_mut(machine as usize) {
                slot.surplus = true;
            }
            self.record_change(machine);
        }
    }

    /// Whether a machine that `allows` admits, by type, zone and whether it is a spot machine,
    /// may have capacity for a task. `false` is certain; `true` is not.
    pub fn may_fit(&self, need: &Resources, allows: impl Fn(usize, usize, bool) -> bool) -> bool {
        self.free_counts
            .iter()
            .any(|((type_index, zone, spot), counts)| {
                allows(*type_index, *zone, *spot)
                    && counts.most().is_some_and(|most| need.fits(&most))
            })
    }

    /// Returns the ranking for a request, brought up to date.
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
        let entries = all
            .map(|machine| self.entry(&ranking.request, machine))
            .collect();
        ranking.fill(entries, self.log.end());
    }

    fn bring_up_to_date(&self, ranking: &mut Ranking) {
        let Some(changed) = self.log.since(ranking.position) else {
            return self.fill(ranking);
        };
        for machine in changed {
            let entry = self.entry(&ranking.request, machine);
            ranking.set_entry(machine, entry);
        }
        ranking.position = self.log.end();
    }

    /// Returns the entry of a machine in the ranking for a request, or `None` if the machine is
    /// not allowed or has no capacity.
    fn entry(&self, request: &Request, machine: u32) -> Option<RankingEntry> {
        let slot = self.slots.get(machine as usize)?.as_ref()?;
        let view = &slot.view;
        let allowed = request.types.get(view.type_index).copied().unwrap_or(false)
            && (request.spot || !view.spot);
        if !allowed || !request.need.fits(&view.free) {
            return None;
        }
        let fetches_image = !view.images.contains(&request.image);
        let ranks = request.type_ranks.get(view.type_index);
        let mut rank = ranks.map_or(u32::MAX, |r| r[usize::from(view.spot)]);
        if fetches_image && request.late.get(view.type_index).copied().unwrap_or(false) {
            rank = rank.saturating_add(LATE_RANK);
        }
        // A surplus machine is used only when the others have no capacity, unless it caches
        // the image. Guards against gangs that leave idle machines with their image and
        // fetch it on others.
        if slot.surplus && view.free == view.capacity && fetches_image {
            rank = rank.saturating_add(SURPLUS_RANK);
        }
        let key = self.key_with_rank(request, machine, rank, fetches_image)?;
        Some(RankingEntry {
            zone: view.zone,
            key,
        })
    }

    /// Returns the sort key of a machine with the given rank and image state, or `None` if the
    /// machine has no capacity.
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
            busy: load(&view.capacity, &view.free, self.policy.load_resource)
                >= self.policy.busy_threshold,
            cost: self.cost(&view.capacity, &after),
            fetches_image,
            free_cpus: view.free.cpus,
            machine,
        })
    }

    fn cost(&self, capacity: &Resources, left: &Resources) -> Cost {
        let mut costs = self.costs.borrow_mut();
        if costs.len() >= MAX_CACHED_COSTS {
            costs.clear();
        }
        let known = costs.entry((*capacity, *left));
        *known.or_insert_with(|| Cost(fragmentation(capacity, left, &self.policy.shapes)))
    }

    /// Chooses the best machine that `allowed` admits, in the zones that `zone_ok` admits.
    /// Machines for which `last` is true are chosen only if there is no other.
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
        found.map(|RankingEntry { zone, key }| Choice {
            machine: key.machine,
            zone,
            late: key.fetches_image && self.is_late(&ranking.request, key.machine),
        })
    }

    fn is_late(&self, request: &Request, machine: u32) -> bool {
        let late = self
            .machine_view(machine)
            .map(|r| request.late.get(r.type_index));
        late.flatten().copied().unwrap_or(false)
    }

    /// Places a task of the ranking's request on a machine. The machine keeps its rank and its
    /// image state for the remaining tasks of the job.
    pub fn take(&mut self, id: RankingId, machine: u32) -> TrialPlacement {
        let need = self.rankings[id.0].request.need;
        let before = self.rankings[id.0].entry(machine);
        self.change_free(machine, |free| *free -= need);
        let after = before.and_then(|RankingEntry { zone, key }| {
            let request = &self.rankings[id.0].request;
            let key = self.key_with_rank(request, machine, key.rank, key.fetches_image)?;
            Some(RankingEntry { zone, key })
        });
        self.rankings[id.0].set_entry(machine, after);
        TrialPlacement {
            machine,
            entry: before,
        }
    }

    /// Undoes trial placements, given in the order in which they were made.
    pub fn undo_trial(&mut self, id: RankingId, trial: Vec<TrialPlacement>) {
        let need = self.rankings[id.0].request.need;
        for taken in trial.into_iter().rev() {
            self.change_free(taken.machine, |free| *free += need);
            self.rankings[id.0].set_entry(taken.machine, taken.entry);
        }
    }

    fn change_free(&mut self, machine: u32, change: impl Fn(&mut Resources)) {
        let Some(Some(slot)) = self.slots.get_mut(machine as usize) else {
            return;
        };
        let view = &mut slot.view;
        let kind = (view.type_index, view.zone, view.spot);
        if let Some(counts) = self.free_counts.get_mut(&kind) {
            counts.remove(&view.free);
            change(&mut view.free);
            counts.add(&view.free);
        }
        self.record_change(machine);
    }

    /// Returns the machines in the ranking, in ascending order of index, in the zones that
    /// `zone_ok` admits.
    pub fn ranked(&self, id: RankingId, zone_ok: impl Fn(usize) -> bool) -> Vec<u32> {
        let Some(ranking) = self.rankings.get(id.0) else {
            return Vec::new();
        };
        ranking.machines_in(zone_ok)
    }

    /// Withholds free resources of a machine until `release_withheld`.
    pub fn withhold(&mut self, machine: u32, amounts: Resources) {
        let Some(Some(slot)) = self.slots.get_mut(machine as usize) else {
            return;
        };
        slot.withheld += amounts;
        self.withheld.insert(machine);
        self.change_free(machine, |free| *free -= amounts);
    }

    /// Makes all withheld resources free again.
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
