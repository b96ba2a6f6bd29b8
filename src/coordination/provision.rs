//! How many machines of which kind: waiting work against what is there, on
//! its way, and worth its price.

use crate::bookkeeping::amounts::Amounts;

/// Work that waits: equal tasks of one job.
#[derive(Debug, Clone)]
pub struct Demand {
    pub need: Amounts,
    /// How many must run at once to be in time.
    pub count: i64,
    pub types: Vec<bool>,
    pub zone: Option<usize>,
    pub spot: bool,
    /// Tasks that one zone may take, if the job is to be spread.
    pub per_zone: Option<i64>,
}

/// Room that is there or on its way.
#[derive(Debug, Clone)]
pub struct Bin {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub free: Amounts,
    /// Seconds until it is likely to be up.
    pub ready_in_s: f64,
}

/// What the cloud offers.
#[derive(Debug, Clone)]
pub struct Offer {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub capacity: Amounts,
    pub price: f64,
    /// Refused lately.
    pub refused: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Purchase {
    pub type_ix: usize,
    pub zone: usize,
    pub spot: bool,
    pub count: u32,
}

/// Work past this many new machines waits for the next round.
const MAX_NEW: usize = 12;

pub fn plan(demands: &[Demand], bins: &mut Vec<Bin>, offers: &[Offer]) -> Vec<Purchase> {
    let mut bought: Vec<Purchase> = Vec::new();
    let mut new = 0;
    for d in demands {
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
        while left > 0 && new < MAX_NEW {
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
                ready_in_s: 0.0,
            });
            match bought.iter_mut().find(|p| {
                p.type_ix == offer.type_ix && p.zone == offer.zone && p.spot == offer.spot
            }) {
                Some(p) => p.count += 1,
                None => bought.push(Purchase {
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

/// A batch in the order of service.
#[derive(Debug, Clone)]
pub struct Batch {
    pub need: Amounts,
    /// What a task takes of a machine, as a share.
    pub share: f64,
    pub waiting: i64,
    pub live: i64,
    pub estimate_s: f64,
    /// Until its deadline.
    pub left_s: Option<f64>,
    pub types: Vec<bool>,
    pub zone: Option<usize>,
    pub spot: bool,
}

/// New places that each batch needs to be in time, given the room of machines
/// that are up (less what services and gangs hold) and of those on their way.
/// The second value tells whether the machines on their way are needed.
pub fn shortfalls(
    batches: &[Batch],
    ready: &[Bin],
    coming: &[Bin],
    boot_s: f64,
) -> (Vec<i64>, bool) {
    // Work of the batches before, and places rented for them, in machine
    // shares: batches take turns on the same machines.
    let mut ahead = 0.0;
    let mut rented = 0.0;
    let mut needs_coming = false;
    let mut out = Vec::with_capacity(batches.len());
    for b in batches {
        // Estimates are often wrong; a fetch comes on top.
        let each = b.estimate_s.max(1.0) * 1.2 + 3.0;
        ahead += (b.waiting as f64 + b.live as f64 * 0.5) * each * b.share;
        let mut left = b.left_s.unwrap_or(UNHURRIED_S);
        // What a new machine can't help any more is not hurried for.
        if left - boot_s < b.estimate_s * 0.7 {
            left = left.max(UNHURRIED_S);
        }
        let rounds = |after: f64| ((left - after) / each).floor().max(1.0);
        let places = |bins: &[Bin]| -> f64 {
            bins.iter()
                .filter(|m| {
                    b.types.get(m.type_ix).copied().unwrap_or(false)
                        && b.zone.is_none_or(|z| z == m.zone)
                        && (b.spot || !m.spot)
                })
                .map(|m| m.free.count(&b.need).clamp(0, 100_000) as f64 * rounds(m.ready_in_s))
                .sum()
        };
        let rounds_new = rounds(boot_s);
        let tasks = ahead / b.share.max(1e-9) / each;
        let without = places(ready);
        let with = without + places(coming) + rented / b.share.max(1e-9) * rounds_new;
        needs_coming |= tasks > without;
        let new = ((tasks - with) / rounds_new).ceil().max(0.0) as i64;
        let new = new.min(b.waiting);
        rented += new as f64 * b.share;
        out.push(new);
    }
    (out, needs_coming)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offer(type_ix: usize, spot: bool, cpus: f64, price: f64) -> Offer {
        Offer {
            type_ix,
            zone: 0,
            spot,
            capacity: Amounts::offer(cpus, 0.0, cpus * 4.0),
            price,
            refused: false,
        }
    }

    fn demand(count: i64) -> Demand {
        Demand {
            need: Amounts::need(4.0, 0.0, 8.0),
            count,
            types: vec![true, true],
            zone: None,
            spot: true,
            per_zone: None,
        }
    }

    #[test]
    fn room_on_its_way_is_used_before_anything_is_rented() {
        let mut bins = vec![Bin {
            type_ix: 0,
            zone: 0,
            spot: false,
            free: Amounts::offer(8.0, 0.0, 32.0),
            ready_in_s: 0.0,
        }];
        let offers = [offer(0, false, 8.0, 0.33), offer(0, true, 8.0, 0.11)];
        assert_eq!(plan(&[demand(2)], &mut bins.clone(), &offers), vec![]);
        let got = plan(&[demand(5)], &mut bins, &offers);
        assert_eq!(got.len(), 1);
        assert!(got[0].spot && got[0].count == 2);
    }

    #[test]
    fn a_refused_kind_is_passed_over() {
        let mut offers = [offer(0, false, 8.0, 0.33), offer(0, true, 8.0, 0.11)];
        offers[1].refused = true;
        let got = plan(&[demand(1)], &mut vec![], &offers);
        assert!(!got[0].spot);
    }

    fn batch(waiting: i64, left_s: f64) -> Batch {
        Batch {
            need: Amounts::need(4.0, 0.0, 8.0),
            share: 0.5,
            waiting,
            live: 0,
            estimate_s: 30.0,
            left_s: Some(left_s),
            types: vec![true, true],
            zone: None,
            spot: true,
        }
    }

    fn room(cpus: f64) -> Bin {
        Bin {
            type_ix: 0,
            zone: 0,
            spot: false,
            free: Amounts::offer(cpus, 0.0, cpus * 4.0),
            ready_in_s: 0.0,
        }
    }

    #[test]
    fn a_batch_with_time_rents_for_fewer_at_once() {
        let new = |n, left| shortfalls(&[batch(n, left)], &[], &[], 30.0).0[0];
        assert_eq!(new(20, 75.0), 20);
        assert_eq!(new(20, 230.0), 4);
        // Too late for a machine that would have to boot first.
        assert_eq!(new(20, 40.0), 4);
    }

    #[test]
    fn machines_that_are_up_take_several_turns_before_any_is_rented() {
        let up = vec![room(8.0); 5];
        assert_eq!(shortfalls(&[batch(20, 80.0)], &up, &[], 30.0).0, [0]);
        // The second batch finds them taken.
        let both = [batch(20, 80.0), batch(10, 80.0)];
        assert_eq!(shortfalls(&both, &up, &[], 30.0).0, [0, 10]);
        // What is on its way counts too, and is needed.
        let mut later = room(8.0);
        later.ready_in_s = 30.0;
        let coming = vec![later; 5];
        assert_eq!(shortfalls(&both, &up, &coming, 30.0), (vec![0, 0], true));
        assert!(!shortfalls(&both[..1], &up, &coming, 30.0).1);
    }
}
