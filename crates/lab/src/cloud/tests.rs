//! Unit tests of the simulated cloud.

use super::*;

fn rent_machines(
    cloud: &mut Cloud,
    name: &str,
    count: u32,
    now: Millis,
) -> Result<usize, CloudError> {
    let request = MachineRequest {
        request_id: name.into(),
        type_name: "m8".into(),
        zone: "a".into(),
        spot: false,
        count,
    };
    cloud.rent(&request, now).map(|names| names.len())
}

#[test]
fn rent_is_idempotent_and_capped_by_capacity_and_listing_is_delayed() {
    let mut cloud = Cloud::new(&Site::default());
    assert_eq!(rent_machines(&mut cloud, "r-1", 15, 0), Ok(15));
    assert_eq!(
        rent_machines(&mut cloud, "r-1", 15, 0),
        Ok(15),
        "a repeated request gets the same answer"
    );
    assert_eq!(cloud.machine_count(), 15);
    assert_eq!(
        rent_machines(&mut cloud, "r-2", 15, 0),
        Ok(5),
        "limited by the capacity"
    );
    assert_eq!(
        rent_machines(&mut cloud, "r-3", 1, 0),
        Err(CloudError::NoCapacity)
    );
    let listed = cloud.list("i-000018", 500, 2000).machines;
    assert_eq!(listed.len(), 2, "those after i-000018");
    let names = MachineNames {
        machines: vec!["i-000001".into(), "i-999999".into()],
    };
    assert_eq!(cloud.release(&names, 3000), Ok(vec!["i-000001".into()]));
    assert_eq!(
        cloud.list("", 1, 3500).machines[0].id,
        "i-000001",
        "released, but the listing is delayed"
    );
    assert_eq!(cloud.list("", 1, 5000).machines[0].id, "i-000002");
    // At 0.4 per hour: the released machine costs the minimum charge of one minute,
    // the other 19 cost their running time of one minute.
    let minute = 0.4 / 60.0;
    assert!((cloud.spent(60_000) - 20.0 * minute).abs() < 1e-9);
}
