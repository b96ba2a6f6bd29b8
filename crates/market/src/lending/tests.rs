//! Unit tests of the parent module.

use super::*;

fn waiting(n: u32) -> WaitingJob {
    WaitingJob {
        job: format!("j-{n:06}"),
        class: "slice".into(),
        team: "graphics".into(),
        kind: Kind::Array,
        tasks: 10,
        done: Ranges::default(),
        slot: Slot {
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 4.0,
        },
        image: "slicer".into(),
        image_gb: 1.0,
        estimate_s: 600.0,
        waited_ms: 30_000,
        left_ms: Some(900_000),
        here_ms: Some(1_800_000),
        rent: 2_000_000,
        placed: 0,
        kept: false,
    }
}

fn options() -> Options {
    Options {
        classes: vec!["slice".into()],
        ..Options::default()
    }
}

#[test]
fn what_must_stay_stays_and_says_why() {
    let o = options();
    let w = waiting(1);
    let case = |change: &dyn Fn(&mut WaitingJob)| {
        let mut w = w.clone();
        change(&mut w);
        let list = [w];
        let (go, stay) = choose(&list, 0, |_| 1, &o);
        assert_eq!(go.len() + stay.len(), 1);
        stay.first().map(|s| s.1)
    };
    assert_eq!(case(&|_| {}), None);
    assert_eq!(
        case(&|w| w.kind = Kind::Service),
        Some(NotLendable::Service)
    );
    assert_eq!(
        case(&|w| w.class = "orders".into()),
        Some(NotLendable::Class)
    );
    assert_eq!(case(&|w| w.placed = 1), Some(NotLendable::Placed));
    assert_eq!(case(&|w| w.kept = true), Some(NotLendable::Guaranteed));
    assert_eq!(
        case(&|w| w.here_ms = Some(900_000)),
        Some(NotLendable::InTime)
    );
    assert_eq!(
        case(&|w| w.waited_ms = 1),
        Some(NotLendable::WaitedTooLittle)
    );
    assert_eq!(case(&|w| w.rent = 0), Some(NotLendable::NoBudget));
}

#[test]
fn the_floor_and_the_limit_keep_the_least_urgent_here() {
    let mut list: Vec<WaitingJob> = (0..5).map(waiting).collect();
    for (n, w) in list.iter_mut().enumerate() {
        w.left_ms = Some(1_000 * (5 - n as i64));
    }
    let mut o = options();
    o.local_floor_cpus = 50.0;
    let (go, stay) = choose(&list, 0, |_| 1, &o);
    // 100 CPUs wait; two jobs of 20 may go, the latest ones first.
    let names: Vec<&str> = go.iter().map(|w| w.job.as_str()).collect();
    assert_eq!(names, ["j-000004", "j-000003"]);
    assert!(stay.iter().all(|s| s.1 == NotLendable::Floor));
    o.local_floor_cpus = 0.0;
    o.jobs = 3;
    assert_eq!(choose(&list, 2, |_| 1, &o).0.len(), 1);
}
