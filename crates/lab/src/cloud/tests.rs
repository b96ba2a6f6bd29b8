//! Unit tests of the parent module.

use super::*;

fn rent(cloud: &mut Cloud, name: &str, count: u32, now: Millis) -> Result<usize, Refused> {
    let rent = MachineRequest {
        request_id: name.into(),
        type_name: "m8".into(),
        zone: "a".into(),
        spot: false,
        count,
    };
    cloud.rent(&rent, now).map(|names| names.len())
}

#[test]
fn a_request_rents_once_within_capacity_and_the_list_is_late() {
    let mut cloud = Cloud::new(&Site::default());
    assert_eq!(rent(&mut cloud, "r-1", 15, 0), Ok(15));
    assert_eq!(rent(&mut cloud, "r-1", 15, 0), Ok(15), "the same answer");
    assert_eq!(cloud.present(), 15);
    assert_eq!(rent(&mut cloud, "r-2", 15, 0), Ok(5), "what there is");
    assert_eq!(rent(&mut cloud, "r-3", 1, 0), Err(Refused::NoCapacity));
    let listed = cloud.list("i-000018", 500, 2000).machines;
    assert_eq!(listed.len(), 2, "after the eighteenth");
    let names = MachineNames {
        machines: vec!["i-000001".into(), "i-999999".into()],
    };
    assert_eq!(cloud.release(&names, 3000), Ok(vec!["i-000001".into()]));
    assert_eq!(cloud.list("", 1, 3500).machines[0].id, "i-000001", "still");
    assert_eq!(cloud.list("", 1, 5000).machines[0].id, "i-000002");
    // One machine at 0.4 an hour is charged a minute, 19 by the second.
    let minute = 0.4 / 60.0;
    assert!((cloud.spent(60_000) - 20.0 * minute).abs() < 1e-9);
}
