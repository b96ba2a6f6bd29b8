//! Unit tests of the parent module.

use super::*;

fn waiting_job(n: u32) -> WaitingJob {
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
fn jobs_that_must_stay_are_returned_with_the_reason() {
    let options = options();
    let w = waiting_job(1);
    let reason_after = |change: &dyn Fn(&mut WaitingJob)| {
        let mut w = w.clone();
        change(&mut w);
        let list = [w];
        let (chosen, staying) = choose(&list, 0, |_| 1, &options);
        assert_eq!(chosen.len() + staying.len(), 1);
        staying.first().map(|s| s.1)
    };
    assert_eq!(reason_after(&|_| {}), None);
    assert_eq!(
        reason_after(&|w| w.kind = Kind::Service),
        Some(NotLendable::Service)
    );
    assert_eq!(
        reason_after(&|w| w.class = "orders".into()),
        Some(NotLendable::Class)
    );
    assert_eq!(reason_after(&|w| w.placed = 1), Some(NotLendable::Placed));
    assert_eq!(
        reason_after(&|w| w.kept = true),
        Some(NotLendable::Guaranteed)
    );
    assert_eq!(
        reason_after(&|w| w.here_ms = Some(900_000)),
        Some(NotLendable::InTime)
    );
    assert_eq!(
        reason_after(&|w| w.waited_ms = 1),
        Some(NotLendable::WaitedTooLittle)
    );
    assert_eq!(reason_after(&|w| w.rent = 0), Some(NotLendable::NoBudget));
}

#[test]
fn least_urgent_jobs_stay_when_floor_or_job_limit_is_reached() {
    let mut list: Vec<WaitingJob> = (0..5).map(waiting_job).collect();
    for (n, w) in list.iter_mut().enumerate() {
        w.left_ms = Some(1_000 * (5 - n as i64));
    }
    let mut options = options();
    options.local_floor_cpus = 50.0;
    let (chosen, staying) = choose(&list, 0, |_| 1, &options);
    // 100 CPUs wait: two jobs of 20 CPUs may be offloaded, those with the
    // least time left first.
    let names: Vec<&str> = chosen.iter().map(|w| w.job.as_str()).collect();
    assert_eq!(names, ["j-000004", "j-000003"]);
    assert!(staying.iter().all(|s| s.1 == NotLendable::Floor));
    options.local_floor_cpus = 0.0;
    options.max_jobs = 3;
    assert_eq!(choose(&list, 2, |_| 1, &options).0.len(), 1);
}
