//! Tests of the planning of new machines.

use super::{CapacityBin, Demand, Offer, Resources, plan, tasks_to_start};

fn offer(type_index: usize, spot: bool, cpus: f64, price: f64) -> Offer {
    Offer {
        type_index,
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
fn plan_uses_booting_capacity_before_new_machines() {
    let mut bins = vec![CapacityBin {
        type_index: 0,
        zone: 0,
        spot: false,
        free: Resources::offer(8.0, 0.0, 32.0),
    }];
    let offers = [offer(0, false, 8.0, 0.33), offer(0, true, 8.0, 0.11)];
    assert_eq!(
        plan(&mut [demand(2)], &mut bins.clone(), &offers, 12),
        vec![]
    );
    let planned = plan(&mut [demand(5)], &mut bins, &offers, 12);
    assert_eq!(planned.len(), 1);
    assert!(planned[0].spot && planned[0].count == 2);
}

#[test]
fn plan_skips_offer_when_refused() {
    let mut offers = [offer(0, false, 8.0, 0.33), offer(0, true, 8.0, 0.11)];
    offers[1].refused = true;
    let planned = plan(&mut [demand(1)], &mut vec![], &offers, 12);
    assert!(!planned[0].spot);
}

#[test]
fn parallel_is_lower_when_batch_has_time_left() {
    assert_eq!(tasks_to_start(20, 0, 30.0, Some(30.0)), 20);
    assert_eq!(tasks_to_start(20, 0, 30.0, Some(200.0)), 5);
    assert_eq!(tasks_to_start(20, 6, 30.0, Some(200.0)), 1);
    assert_eq!(tasks_to_start(3, 10, 30.0, Some(400.0)), 0);
    // The time left is too short for a machine that has to boot first, so the default time
    // applies.
    assert_eq!(tasks_to_start(20, 0, 30.0, Some(5.0)), 4);
}
