//! How many machines of which kind: waiting work against what is there, on
//! its way, and worth its price.

use crate::state::resources::Resources;

/// Work that waits: equal tasks of one job.
#[derive(Debug, Clone)]
pub struct Demand {
    pub need: Resources,
    /// How many must run at once to be in time.
    pub count: i64,
    pub types: Vec<bool>,
    pub zone: Option<usize>,
    pub spot: bool,
    /// Tasks that one zone may take, if the job is to be spread.
    pub per_zone: Option<i64>,
    /// Set by planning: some of it found no offer.
    pub refused: bool,
}

/// Room that is there or on its way.
#[derive(Debug, Clone)]
pub struct Bin {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub free: Resources,
}

/// What the cloud offers.
#[derive(Debug, Clone)]
pub struct Offer {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub capacity: Resources,
    pub price: f64,
    /// Refused lately.
    pub refused: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub struct PlannedMachines {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub count: u32,
}

/// New machines that batches are given in a round: work past that waits for
/// the next, as some of it will have found room by then.
pub const BATCH_NEW: usize = 12;
/// A round is at most so many calls' worth of machines, as bounds are needed;
/// the next follows within a second or two.
pub const MAX_NEW: usize = 4 * crate::protocol::cloud::MAX_MACHINES_PER_REQUEST as usize;

pub fn plan(
    demands: &mut [Demand],
    bins: &mut Vec<Bin>,
    offers: &[Offer],
    most: usize,
) -> Vec<PlannedMachines> {
    let mut bought: Vec<PlannedMachines> = Vec::new();
    let mut new = 0;
    for d in demands.iter_mut() {
        let allowed = |type_ix: usize, zone: usize, spot: bool| {
            d.types.get(type_ix).copied().unwrap_or(false)
                && d.zone.is_none_or(|z| z == zone)
                && (d.spot || !spot)
        };
        let mut left = d.count;
        let mut per_zone = std::collections::HashMap::new();
        for b in bins.iter_mut() {
            if left == 0 || !allowed(b.type_ix, b.zone, b.spot) {
                continue;
            }
            let used: &mut i64 = per_zone.entry(b.zone).or_insert(0);
            let cap = d.per_zone.map_or(i64::MAX, |n| n - *used);
            let n = b.free.count(&d.need).min(left).min(cap).max(0);
            b.free -= d.need.scaled(n);
            *used += n;
            left -= n;
        }
        while left > 0 && new < most {
            // The least price for each task it would take.
            let best = offers
                .iter()
                .filter(|o| !o.refused && allowed(o.type_ix, o.zone, o.spot))
                .filter_map(|o| {
                    let used = per_zone.get(&o.zone).copied().unwrap_or(0);
                    let cap = d.per_zone.map_or(i64::MAX, |n| n - used);
                    let fit = o.capacity.count(&d.need).min(left).min(cap);
                    (fit > 0).then(|| (o.price / fit as f64, used, fit, o))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some((_, _, fit, offer)) = best else {
                d.refused = true;
                break;
            };
            new += 1;
            left -= fit;
            *per_zone.entry(offer.zone).or_insert(0) += fit;
            bins.push(Bin {
                type_ix: offer.type_ix,
                zone: offer.zone,
                spot: offer.spot,
                free: offer.capacity.minus(d.need.scaled(fit)),
            });
            match bought.iter_mut().find(|p| {
                p.type_ix == offer.type_ix && p.zone == offer.zone && p.spot == offer.spot
            }) {
                Some(p) => p.count += 1,
                None => bought.push(PlannedMachines {
                    type_ix: offer.type_ix,
                    zone: offer.zone,
                    spot: offer.spot,
                    count: 1,
                }),
            }
        }
    }
    bought
}

/// Time over which a batch without a deadline, or past hope of its own, is
/// to be worked off.
const UNHURRIED_S: f64 = 240.0;

/// How many tasks of a batch must run at once to be done in time, given the
/// time that is left once a new machine is up. (Counting turns on the machines
/// that are up was tried: it rents less, and too late when estimates are low.)
pub fn parallel(waiting: i64, live: i64, estimate_s: f64, time_left_s: Option<f64>) -> i64 {
    // Estimates are often wrong by half; a fetch comes on top.
    let each = estimate_s.max(1.0) * 1.3 + 5.0;
    // A machine that would come too late is not worth hurrying for.
    let time = time_left_s
        .filter(|left| *left > estimate_s * 0.7)
        .unwrap_or(UNHURRIED_S);
    let rounds = (time / each).floor().max(1.0);
    let at_once = ((waiting + live) as f64 / rounds).ceil() as i64;
    (at_once - live).clamp(0, waiting)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offer(type_ix: usize, spot: bool, cpus: f64, price: f64) -> Offer {
        Offer {
            type_ix,
            zone: 0,
            spot,
            capacity: Resources::offer(cpus, 0.0, cpus * 4.0),
            price,
            refused: false,
        }
    }

    fn demand(count: i64) -> Demand {
        Demand {
            need: Resources::need(4.0, 0.0, 8.0),
            count,
            types: vec![true, true],
            zone: None,
            spot: true,
            per_zone: None,
            refused: false,
        }
    }

    #[test]
    fn room_on_its_way_is_used_before_anything_is_rented() {
        let mut bins = vec![Bin {
            type_ix: 0,
            zone: 0,
            spot: false,
            free: Resources::offer(8.0, 0.0, 32.0),
        }];
        let offers = [offer(0, false, 8.0, 0.33), offer(0, true, 8.0, 0.11)];
        assert_eq!(
            plan(&mut [demand(2)], &mut bins.clone(), &offers, 12),
            vec![]
        );
        let got = plan(&mut [demand(5)], &mut bins, &offers, 12);
        assert_eq!(got.len(), 1);
        assert!(got[0].spot && got[0].count == 2);
    }

    #[test]
    fn a_refused_kind_is_passed_over() {
        let mut offers = [offer(0, false, 8.0, 0.33), offer(0, true, 8.0, 0.11)];
        offers[1].refused = true;
        let got = plan(&mut [demand(1)], &mut vec![], &offers, 12);
        assert!(!got[0].spot);
    }

    #[test]
    fn a_batch_with_time_rents_for_fewer_at_once() {
        assert_eq!(parallel(20, 0, 30.0, Some(30.0)), 20);
        assert_eq!(parallel(20, 0, 30.0, Some(200.0)), 5);
        assert_eq!(parallel(20, 6, 30.0, Some(200.0)), 1);
        assert_eq!(parallel(3, 10, 30.0, Some(400.0)), 0);
        // Too late for a machine that would have to boot first.
        assert_eq!(parallel(20, 0, 30.0, Some(5.0)), 4);
    }
}
