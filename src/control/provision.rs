//! Planning of new machines: how many machines of which kind to request, given the demand of
//! waiting jobs, the existing and booting capacity, and the price list.
//!
//! Pure functions, called by the leader's scale-out; no state is kept between calls. A
//! machine must never be planned for tasks that fit existing or booting capacity.

use crate::state::resources::Resources;
use std::collections::HashMap;

/// Tasks with equal requirements that wait for capacity.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Resources that one task needs.
    pub need: Resources,
    /// Number of tasks that must run at once to be done in time.
    pub count: i64,
    /// Allowed machine types, by index.
    pub types: Vec<bool>,
    /// Index of the only allowed zone; `None` if any zone is allowed.
    pub zone: Option<usize>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Maximum number of tasks per zone, if the job must be spread over zones.
    pub per_zone: Option<i64>,
    /// Set by planning if no offer was found for some of the tasks.
    pub refused: bool,
}

/// A machine that exists, is booting or is planned, with its free resources.
#[derive(Debug, Clone)]
pub struct CapacityBin {
    /// Index of the machine type.
    pub type_index: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Resources that are not assigned to tasks yet.
    pub free: Resources,
}

/// A kind of machine (type, zone, spot or ordinary) on the price list.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Index of the machine type.
    pub type_index: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// Resources of one machine.
    pub capacity: Resources,
    /// Price of one machine, as on the price list.
    pub price: f64,
    /// Whether a request for this kind was refused recently; such offers are not planned.
    pub refused: bool,
}

/// Machines of one kind to be requested.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedMachines {
    /// Index of the machine type.
    pub type_index: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Maximum number of new machines for batch jobs in a scale-out round. Remaining demand waits
/// for the next round, as some of it will have found capacity by then.
pub const MAX_NEW_BATCH_MACHINES_PER_ROUND: usize = 12;
/// Maximum number of new machines in a scale-out round: as many as four requests may ask for.
/// The next round follows within a second or two.
pub const MAX_NEW_MACHINES_PER_ROUND: usize =
    4 * crate::protocol::cloud::MAX_MACHINES_PER_REQUEST as usize;

/// Plans at most `max_new` machines for the demands, in the given order. Tasks that fit into
/// `bins` need no new machine. Afterwards `bins` holds the remaining free resources, including
/// those of the planned machines, and `refused` is set on demands for which some tasks found
/// no offer.
pub fn plan(
    demands: &mut [Demand],
    bins: &mut Vec<CapacityBin>,
    offers: &[Offer],
    max_new: usize,
) -> Vec<PlannedMachines> {
    let mut planned: Vec<PlannedMachines> = Vec::new();
    let mut new_machines = 0;
    for demand in demands.iter_mut() {
        let mut by_zone = TasksByZone::default();
        let mut tasks_left = demand.fill_bins(bins, &mut by_zone);
        while tasks_left > 0 && new_machines < max_new {
            let Some(best) = demand.best_offer(offers, tasks_left, &by_zone) else {
                demand.refused = true;
                break;
            };
            new_machines += 1;
            tasks_left -= best.tasks;
            by_zone.add(best.offer.zone, best.tasks);
            bins.push(CapacityBin {
                type_index: best.offer.type_index,
                zone: best.offer.zone,
                spot: best.offer.spot,
                free: best.offer.capacity.minus(demand.need.scaled(best.tasks)),
            });
            add_machine(&mut planned, best.offer);
        }
    }
    planned
}

/// Number of tasks of one demand assigned to each zone.
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

/// An offer, with the number of tasks of the demand that one machine would take.
struct RankedOffer<'a> {
    offer: &'a Offer,
    tasks: i64,
    price_per_task: f64,
    /// Number of tasks of the demand already assigned to the offer's zone.
    tasks_in_zone: i64,
}

impl Demand {
    fn allows(&self, type_index: usize, zone: usize, spot: bool) -> bool {
        self.types.get(type_index).copied().unwrap_or(false)
            && self.zone.is_none_or(|only| only == zone)
            && (self.spot || !spot)
    }

    /// Returns how many more tasks of the demand may be assigned to the zone.
    fn zone_allowance(&self, zone: usize, by_zone: &TasksByZone) -> i64 {
        self.per_zone
            .map_or(i64::MAX, |most| most - by_zone.count(zone))
    }

    /// Assigns tasks to existing, booting and planned machines. Returns the number of tasks
    /// that found no capacity.
    fn fill_bins(&self, bins: &mut [CapacityBin], by_zone: &mut TasksByZone) -> i64 {
        let mut tasks_left = self.count;
        for bin in bins.iter_mut() {
            if tasks_left == 0 || !self.allows(bin.type_index, bin.zone, bin.spot) {
                continue;
            }
            let allowance = self.zone_allowance(bin.zone, by_zone);
            let tasks = bin
                .free
                .count(&self.need)
                .min(tasks_left)
                .min(allowance)
                .max(0);
            bin.free -= self.need.scaled(tasks);
            by_zone.add(bin.zone, tasks);
            tasks_left -= tasks;
        }
        tasks_left
    }

    /// Returns the offer with the lowest price per task; among equal ones, the one in the zone
    /// with the fewest tasks of the demand.
    fn best_offer<'a>(
        &self,
        offers: &'a [Offer],
        tasks_left: i64,
        by_zone: &TasksByZone,
    ) -> Option<RankedOffer<'a>> {
        offers
            .iter()
            .filter(|offer| !offer.refused && self.allows(offer.type_index, offer.zone, offer.spot))
            .filter_map(|offer| {
                let allowance = self.zone_allowance(offer.zone, by_zone);
                let tasks = offer
                    .capacity
                    .count(&self.need)
                    .min(tasks_left)
                    .min(allowance);
                (tasks > 0).then(|| RankedOffer {
                    offer,
                    tasks,
                    price_per_task: offer.price / tasks as f64,
                    tasks_in_zone: by_zone.count(offer.zone),
                })
            })
            .min_by(|a, b| {
                a.price_per_task
                    .total_cmp(&b.price_per_task)
                    .then(a.tasks_in_zone.cmp(&b.tasks_in_zone))
            })
    }
}

/// Adds one machine of the offer's kind to the plan.
fn add_machine(planned: &mut Vec<PlannedMachines>, offer: &Offer) {
    let same_kind = |machines: &&mut PlannedMachines| {
        machines.type_index == offer.type_index
            && machines.zone == offer.zone
            && machines.spot == offer.spot
    };
    match planned.iter_mut().find(same_kind) {
        Some(machines) => machines.count += 1,
        None => planned.push(PlannedMachines {
            type_index: offer.type_index,
            zone: offer.zone,
            spot: offer.spot,
            count: 1,
        }),
    }
}

/// Time in seconds within which a batch job is to be done if it has no deadline or can no
/// longer meet it.
const DEFAULT_BATCH_TIME_S: f64 = 240.0;
/// Factor by which a task is assumed to run longer than its estimate.
const ESTIMATE_FACTOR: f64 = 1.3;
/// Time in seconds assumed for fetching a task's image.
const FETCH_MARGIN_S: f64 = 5.0;
/// Fraction of its estimate that a task is assumed to run at least.
const MIN_RUN_FACTOR: f64 = 0.7;

/// Returns how many tasks of a batch job must be started beside the `live` ones so that the
/// job is done in time. `time_left_s` is the time left once a new machine is up. Rejected
/// alternative: counting how many rounds of tasks the machines that are already up can run.
/// That requests fewer machines, but requests them too late when estimates are low.
pub fn tasks_to_start(waiting: i64, live: i64, estimate_s: f64, time_left_s: Option<f64>) -> i64 {
    // Estimates are often wrong by half, and the image may have to be fetched in addition.
    let task_s = estimate_s.max(1.0) * ESTIMATE_FACTOR + FETCH_MARGIN_S;
    // If a new machine would come too late for the deadline, the default time applies: it is
    // not worth requesting more machines.
    let time_s = time_left_s
        .filter(|left_s| *left_s > estimate_s * MIN_RUN_FACTOR)
        .unwrap_or(DEFAULT_BATCH_TIME_S);
    let rounds = (time_s / task_s).floor().max(1.0);
    let at_once = ((waiting + live) as f64 / rounds).ceil() as i64;
    (at_once - live).clamp(0, waiting)
}

#[cfg(test)]
mod tests;
