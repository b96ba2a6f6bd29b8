//! Tests of scale run plans: the site that they describe, and their errors.

use pathwinch_lab::scale::plan::Plan;

fn example() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scale.toml");
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn example_plan_has_the_planned_size_and_scales_its_counts() {
    let plan = Plan::parse(&example()).unwrap();
    let site = plan.site();
    assert_eq!((plan.site_machines(), site.cluster.zones.len()), (2400, 15));
    assert_eq!((site.controllers, site.cluster.teams.len()), (14, 55));
    let accelerators: f64 = site
        .rigs
        .iter()
        .zip(&site.capacity_by_type)
        .map(|(r, count)| r.gpus * f64::from(*count) * 15.0)
        .sum();
    assert_eq!(accelerators, 5100.0);
    let eighth = plan.clone().scaled(300).unwrap();
    assert_eq!(eighth.class[0].initial, plan.class[0].initial / 8.0);
    let limits = eighth.site().cluster.teams;
    let allows_largest_gang = |t: &pathwinch_protocol::settings::Team| t.gpus_max >= 256.0;
    assert!(
        limits.iter().all(allows_largest_gang),
        "each team may run the largest gang"
    );
}

#[test]
fn parse_errors_name_the_field() {
    let parse_error = |from: &str, to: &str| {
        let text = example().replacen(from, to, 1);
        format!("{:#}", Plan::parse(&text).unwrap_err())
    };
    assert_eq!(
        parse_error("controllers = 14", "controllers = 99"),
        "controllers: 99 is outside 1 to 15"
    );
    assert_eq!(
        parse_error("per_s = 8.0", "per_s = -1.0"),
        "class urgent: per_s: -1 is outside 0 to 1000"
    );
    let faults = "[faults]\nwithdrawn = 1.5\n\n[workers]";
    assert_eq!(
        parse_error("[workers]", faults),
        "faults: withdrawn: 1.5 is outside 0 to 1"
    );
    let faults = "[faults]\ncontroller_ends_every_s = 0.5\n\n[workers]";
    assert_eq!(
        parse_error("[workers]", faults),
        "faults: controller_ends_every_s: 0.5 is outside 2 to 3600"
    );
    assert!(parse_error("seed = 1", "sead = 1").contains("unknown field `sead`"));
}
