//! Scale runs of 200 workers against real controller processes: they break no invariant,
//! with and without faults, and finish by themselves. No durations are asserted.

use pathwinch_lab::scale::{
    self,
    plan::{Faults, Plan},
    report::ScaleReport,
};
use std::path::Path;

const MACHINES: u32 = 200;

fn plan() -> Plan {
    let text = include_str!("../examples/scale.toml")
        .replace("controllers = 14", "controllers = 3")
        .replace("warm_up_s = 110.0", "warm_up_s = 20.0")
        .replace("measure_s = 45.0", "measure_s = 8.0");
    let mut plan = Plan::parse(&text).unwrap().scaled(MACHINES).unwrap();
    // Services fill half of the fleet. The classes of the largest gangs (`large`) and the
    // largest arrays (`wave`) start with one job each.
    for class in &mut plan.class {
        match class.name.as_str() {
            "large" => class.initial = 1.0,
            "wave" => class.initial = 1.0,
            _ => {}
        }
    }
    plan
}

/// Runs the plan, with its logs in a temporary directory that is removed after the run.
fn run(plan: Plan, name: &str) -> ScaleReport {
    let dir = std::env::temp_dir().join(format!("pathwinch-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_pathwinch"));
    let report = scale::run(plan, program, &dir).unwrap();
    println!("{}", report.text());
    std::fs::remove_dir_all(dir).unwrap();
    report
}

/// Controllers crash and are back within a second, while users cancel jobs and poll all
/// controllers within milliseconds: no answer is older than an earlier one.
#[test]
fn testbed_answers_are_monotonic_while_controllers_crash() {
    let mut plan = plan();
    plan.warm_up_s = 6.0;
    plan.measure_s = 24.0;
    plan.poll_s = 1.0;
    plan.faults = Faults {
        controller_ends_every_s: 5.0,
        withdrawn: 0.3,
        close_looks: true,
        ..Faults::default()
    };
    let report = run(plan, "looks");
    assert_eq!(report.rules_broken, Vec::<String>::new());
    assert!(
        report.controllers_ended >= 4,
        "{}",
        report.controllers_ended
    );
    assert!(report.answers_checked > 1_000, "{}", report.answers_checked);
}

#[test]
fn two_hundred_workers_break_no_invariant_and_finish() {
    let report = run(plan(), "scale");
    assert_eq!(report.rules_broken, Vec::<String>::new());
    assert_eq!(report.processes, 4, "three controllers and this process");
    let leaders = report.roles.iter().filter(|r| r.role == "leader");
    assert_eq!(leaders.count(), 1);
    assert!(report.worker.workers >= 50, "{}", report.worker.workers);
    // Each of the 120 service jobs has at least three replicas.
    assert!(report.worker.tasks >= 360, "{}", report.worker.tasks);
    let urgent = report.classes.iter().find(|c| c.name == "urgent");
    assert!(urgent.is_some_and(|c| c.accepted > 0 && c.starts_per_s > 0.0));
}
