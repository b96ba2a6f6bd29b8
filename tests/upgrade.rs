//! Stories of an upgrade while jobs run: what the version before wrote is read,
//! used and written so that it can read it again, until all controllers run
//! this one; and what is written then fits limits that fall without notice.

mod simulation;

use pathwinch::{
    protocol::users::{JobSpec, JobState, Kind},
    state::{
        records::{self, FinalRecord},
        spec_chunks::SPEC_CHUNKS,
    },
};
use simulation::{Simulation, id, job};

/// An installation whose state service will have lower limits.
fn with_announced_limits(seed: u64, machines: usize) -> Simulation {
    with_leader(seed, machines, false)
}

/// `mixed`: not all controllers run this version yet.
fn with_leader(seed: u64, machines: usize, mixed: bool) -> Simulation {
    let mut w = Simulation::new(seed, machines, 0.0);
    w.mixed_versions = mixed;
    w.announce_lower_limits();
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w
}

/// One whose description alone is over 2 KiB.
fn long(n: u32, tasks: u32) -> JobSpec {
    let mut spec = job(n, Kind::Array, tasks);
    spec.types = Some(simulation::many_types());
    spec
}

fn crash_leader(w: &mut Simulation, back: u64) {
    if let Some(leader) = w.leader() {
        w.crash(leader, back);
    }
}

/// Its record can't be written any more as production left it.
#[test]
fn legacy_long_records_remain_usable_under_lower_limits() {
    for seed in 0..8 {
        let mut w = with_leader(10 + seed, 2, true);
        w.submit(long(1, 30));
        w.submit(long(2, 200));
        w.submit(long(3, 4));
        w.run_until(30_000, "progress", |w| w.running(&id(1)) > 0);
        let kept = &w.store.kv[&records::job_key(&id(1))].0;
        assert!(kept.to_string().len() > 2048 && kept.get("d").is_some());
        assert!(
            w.store.list(SPEC_CHUNKS).is_empty(),
            "not before all can read them"
        );
        w.mixed_versions = false;
        w.apply_lower_limits();
        w.cancel(&id(2));
        // Whoever leads ends between any two steps of what follows.
        for _ in 0..6 {
            w.run(100 + 130 * seed);
            crash_leader(&mut w, 300);
            w.run_until(30_000, "a leader", |w| w.leader().is_some());
        }
        w.run_until(200_000, "all over", |w| (1..=3).all(|n| w.done(&id(n))));
        w.run(10_000);
        let leader = w.leader().unwrap();
        assert_eq!(w.poll(leader, &id(1)), Some(JobState::Done));
        assert_eq!(w.poll(leader, &id(2)), Some(JobState::Cancelled));
        // Nothing is left behind.
        assert!(w.store.list(SPEC_CHUNKS).is_empty(), "seed {seed}");
        assert!(w.store.list(records::JOBS).is_empty());
        w.assert_no_violations();
    }
}

#[test]
fn long_spec_survives_failover_under_either_limit() {
    let mut w = with_announced_limits(30, 3);
    w.submit(long(1, 12));
    assert!(w.store.list(SPEC_CHUNKS).len() > 2);
    w.apply_lower_limits();
    w.submit(long(2, 12));
    crash_leader(&mut w, 500);
    w.run_until(120_000, "both done", |w| w.done(&id(1)) && w.done(&id(2)));
    w.assert_no_violations();
}

#[test]
fn five_thousand_dependencies_span_several_values() {
    let mut w = with_announced_limits(31, 2);
    w.apply_lower_limits();
    w.submit(job(9_000, Kind::Array, 3));
    // All over long ago, but for one.
    for n in 1..5_000 {
        let over = FinalRecord {
            state: JobState::Done,
            done: 1,
        };
        let value = serde_json::to_value(over).unwrap();
        let revision = w.store.revision;
        w.store
            .kv
            .insert(records::final_key(&id(n)), (value, revision));
    }
    let mut spec = job(9_001, Kind::Array, 2);
    spec.dependencies = (1..5_000).chain([9_000]).map(id).collect();
    assert!(serde_json::to_vec(&spec).unwrap().len() < 65_536);
    w.submit(spec);
    crash_leader(&mut w, 500);
    w.run_until(60_000, "the need done", |w| w.done(&id(9_000)));
    w.run_until(30_000, "done", |w| w.done(&id(9_001)));
    w.assert_no_violations();
}

/// Pieces of a submission that was given up, or whose leader ended half way.
#[test]
fn only_unreferenced_spec_chunks_are_cleared() {
    let mut w = with_announced_limits(32, 2);
    let spec = long(1, 6);
    let i = w.leader().unwrap();
    let l = w.nodes[i].leader.as_mut().unwrap();
    let (_, first) = l.pieces_first(&spec).unwrap().unwrap();
    let half = first[0].clone();
    w.store.apply(&half).unwrap();
    let left = w.store.list(SPEC_CHUNKS).len();
    assert!(left > 0);
    crash_leader(&mut w, 500);
    w.run_until(20_000, "a leader", |w| w.leader().is_some());
    // The try again writes the same pieces while the clearing is under way.
    w.submit(spec);
    w.run_until(60_000, "done", |w| w.done(&id(1)));
    // What the old leader sent late fails at its guard.
    assert!(w.store.apply(&half).is_err());
    w.run(5_000);
    assert!(w.store.list(SPEC_CHUNKS).is_empty());
    w.assert_no_violations();
}

#[test]
fn hundred_jobs_update_when_limits_drop_during_outage() {
    let mut w = with_announced_limits(33, 6);
    for n in 1..=100 {
        w.submit(job(n, Kind::Array, 1 + n % 3));
    }
    w.run(3_000);
    w.store.unavailable = true;
    w.run(1_500);
    w.apply_lower_limits();
    w.run(1_500);
    w.store.unavailable = false;
    for n in (1..=100).step_by(7) {
        w.cancel(&id(n));
    }
    w.run_until(300_000, "all over", |w| (1..=100).all(|n| w.done(&id(n))));
    w.assert_no_violations();
}

/// Guards against a list of images that outgrows its machine's record.
#[test]
fn machine_record_keeps_most_recent_images() {
    let mut w = with_announced_limits(34, 1);
    w.apply_lower_limits();
    for n in 1..=30 {
        let mut spec = job(n, Kind::Array, 1);
        spec.image = format!("{}-{n}", "i".repeat(150));
        spec.image_gb = 0.1;
        w.submit(spec);
    }
    w.run_until(300_000, "all over", |w| (1..=30).all(|n| w.done(&id(n))));
    w.run(20_000);
    let kept = w.store.list(records::MACHINES);
    let images = kept[0].1["i"].as_array().map_or(0, Vec::len);
    assert!((5..30).contains(&images), "{images}");
    w.assert_no_violations();
}
