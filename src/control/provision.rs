//! Planning of new machines: how many of which kind, given the demand of waiting
//! jobs, the capacity that exists or is coming, and the price list.
//!
//! Pure functions, called by the leader's scale-out; nothing is kept between
//! calls. They must never plan a machine where capacity that is coming will do.

use crate::state::resources::Resources;
use std::collections::HashMap;

/// Equal tasks that wait for capacity.
#[derive(Debug, Clone)]
pub struct Demand {
    /// What one task needs.
    pub need: Resources,
    /// How many must run at once to be in time.
    pub count: i64,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    /// The only zone allowed, if there is one.
    pub zone: Option<usize>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Tasks that one zone may take, if the job is to be spread.
    pub per_zone: Option<i64>,
    /// Set by planning: some of it found no offer.
    pub refused: bool,
}

/// A machine that exists, boots or is planned, with what is free on it.
#[derive(Debug, Clone)]
pub struct Bin {
    /// Index of its type.
    pub type_ix: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is not taken yet.
    pub free: Resources,
}

/// A kind of machine on the price list.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Index of its type.
    pub type_ix: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What one machine offers.
    pub capacity: Resources,
    /// Its price, as on the price list.
    pub price: f64,
    /// Refused lately.
    pub refused: bool,
}

/// Machines of one kind to be requested.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedMachines {
    /// Index of its type.
    pub type_ix: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// New machines for batches in a round: what is left waits for the next, as some
/// of it will have found capacity by then.
pub const BATCH_NEW: usize = 12;
/// New machines in a round: a few requests' worth. The next round follows within
/// a second or two.
pub const MAX_NEW: usize = 4 * crate::protocol::cloud::MAX_MACHINES_PER_REQUEST as usize;

/// Plans at most `max_new` machines for the demands, in their order: what fits
/// into `bins` needs none. Afterwards `bins` holds what is left, in the new
/// machines too, and `refused` of a demand says that some of it found no offer.
pub fn plan(
    demands: &mut [Demand],
    bins: &mut Vec<Bin>,
    offers: &[Offer],
    max_new: usize,
) -> Vec<PlannedMachines> {
    let mut planned: Vec<PlannedMachines> = Vec::new();
    let mut new_machines = 0;
    for demand in demands.iter_mut() {
        let mut by_zone = TasksByZone::default();
        let mut left = demand.fill_bins(bins, &mut by_zone);
        while left > 0 && new_machines < max_new {
            let Some(best) = demand.best_offer(offers, left, &by_zone) else {
                demand.refused = true;
                break;
            };
            new_machines += 1;
            left -= best.tasks;
            by_zone.add(best.offer.zone, best.tasks);
            bins.push(Bin {
                type_ix: best.offer.type_ix,
                zone: best.offer.zone,
                spot: best.offer.spot,
                free: best.offer.capacity.minus(demand.need.scaled(best.tasks)),
            });
            add_machine(&mut planned, best.offer);
        }
    }
    planned
}

/// Tasks of one demand that each zone has been given.
#[derive(Default)]
struct TasksByZone(HashMap<usize, i64>);

impl TasksByZone {
    fn count(&self, zone: usize) -> i64 {
        self.0.get(&zone).copied().unwrap_or(0)
    }

    fn add(&mut self, zone: usize, tasks: i64) {
        *self.0.entry(zone).or_insert(0) += tasks;
    }
}

/// An offer, and how many tasks of the demand its machine would take.
struct RankedOffer<'a> {
    offer: &'a Offer,
    tasks: i64,
    price_per_task: f64,
    /// Tasks that its zone has been given already.
    in_zone: i64,
}

impl Demand {
    fn allows(&self, type_ix: usize, zone: usize, spot: bool) -> bool {
        self.types.get(type_ix).copied().unwrap_or(false)
            && self.zone.is_none_or(|only| only == zone)
            && (self.spot || !spot)
    }

    /// How many more tasks the zone may be given.
    fn zone_allowance(&self, zone: usize, by_zone: &TasksByZone) -> i64 {
        self.per_zone
            .map_or(i64::MAX, |most| most - by_zone.count(zone))
    }

    /// Takes capacity that exists or is coming; returns how many tasks found
    /// none.
    fn fill_bins(&self, bins: &mut [Bin], by_zone: &mut TasksByZone) -> i64 {
        let mut left = self.count;
        for bin in bins.iter_mut() {
            if left == 0 || !self.allows(bin.type_ix, bin.zone, bin.spot) {
                continue;
            }
            let allowance = self.zone_allowance(bin.zone, by_zone);
            let tasks = bin.free.count(&self.need).min(left).min(allowance).max(0);
            bin.free -= self.need.scaled(tasks);
            by_zone.add(bin.zone, tasks);
            left -= tasks;
        }
        left
    }

    /// The offer of the least price for each task that it would take; of equal
    /// ones, that of the zone with the fewest tasks.
    fn best_offer<'a>(
        &self,
        offers: &'a [Offer],
        left: i64,
        by_zone: &TasksByZone,
    ) -> Option<RankedOffer<'a>> {
        offers
            .iter()
            .filter(|offer| !offer.refused && self.allows(offer.type_ix, offer.zone, offer.spot))
            .filter_map(|offer| {
                let allowance = self.zone_allowance(offer.zone, by_zone);
                let tasks = offer.capacity.count(&self.need).min(left).min(allowance);
                (tasks > 0).then(|| RankedOffer {
                    offer,
                    tasks,
                    price_per_task: offer.price / tasks as f64,
                    in_zone: by_zone.count(offer.zone),
                })
            })
            .min_by(|a, b| {
                a.price_per_task
                    .total_cmp(&b.price_per_task)
                    .then(a.in_zone.cmp(&b.in_zone))
            })
    }
}

/// Adds one machine of the offer's kind.
fn add_machine(planned: &mut Vec<PlannedMachines>, offer: &Offer) {
    let same_kind = |machines: &&mut PlannedMachines| {
        machines.type_ix == offer.type_ix
            && machines.zone == offer.zone
            && machines.spot == offer.spot
    };
    match planned.iter_mut().find(same_kind) {
        Some(machines) => machines.count += 1,
        None => planned.push(PlannedMachines {
            type_ix: offer.type_ix,
            zone: offer.zone,
            spot: offer.spot,
            count: 1,
        }),
    }
}

/// Time over which a batch without a deadline, or past hope of its own, is
/// to be worked off.
const UNHURRIED_S: f64 = 240.0;
/// How much longer than its estimate a task is allowed for.
const ESTIMATE_MARGIN: f64 = 1.3;
/// Time for fetching a task's image.
const FETCH_MARGIN_S: f64 = 5.0;
/// Of its estimate, what a task takes at the least.
const SHORTEST_RUN: f64 = 0.7;

/// How many tasks of a batch must run at once to be done in time, given the
/// time that is left once a new machine is up. (Counting rounds on the machines
/// that are up was tried: it requests fewer machines, and too late when estimates
/// are low.)
pub fn parallel(waiting: i64, live: i64, estimate_s: f64, time_left_s: Option<f64>) -> i64 {
    // Estimates are often wrong by half; a fetch comes on top.
    let task_s = estimate_s.max(1.0) * ESTIMATE_MARGIN + FETCH_MARGIN_S;
    // A machine that would come too late is not worth hurrying for.
    let time_s = time_left_s
        .filter(|left_s| *left_s > estimate_s * SHORTEST_RUN)
        .unwrap_or(UNHURRIED_S);
    let rounds = (time_s / task_s).floor().max(1.0);
    let at_once = ((waiting + live) as f64 / rounds).ceil() as i64;
    (at_once - live).clamp(0, waiting)
}

#[cfg(test)]
mod tests;
