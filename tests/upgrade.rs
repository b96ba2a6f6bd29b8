//! Upgrades while jobs run. Until all controllers run this version, records of the
//! previous version are read, used and written in a form that it can read again. After
//! that, what is written fits the lower limits of the state service, which take effect
//! without notice.

mod simulation;

use pathwinch::{
    protocol::users::{JobSpec, JobState, Kind},
    state::{
        records::{self, FinalRecord},
        spec_chunks::SPEC_CHUNKS,
    },
};
use simulation::{Simulation, id, job};

/// A cluster whose settings announce lower limits of the state service.
fn cluster_with_announced_limits(seed: u64, machines: usize) -> Simulation {
    cluster_with_leader(seed, machines, false)
}

/// A cluster whose settings announce lower limits, with an elected leader. With `mixed`,
/// not all controllers run this version yet.
fn cluster_with_leader(seed: u64, machines: usize, mixed: bool) -> Simulation {
    let mut sim = Simulation::new(seed, machines, 0.0);
    sim.mixed_versions = mixed;
    sim.announce_lower_limits();
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim
}

/// An array job whose spec alone is larger than 2 KiB.
fn job_with_long_spec(n: u32, tasks: u32) -> JobSpec {
    let mut spec = job(n, Kind::Array, tasks);
    spec.types = Some(simulation::many_types());
    spec
}

/// Crashes the leader, if there is one; it restarts after `restart_ms`.
fn crash_leader(sim: &mut Simulation, restart_ms: u64) {
    if let Some(leader) = sim.leader() {
        sim.crash(leader, restart_ms);
    }
}

/// The previous version wrote the spec into the job's record, which is then longer than
/// the lower limit allows: it can't be written again in that form.
#[test]
fn legacy_long_records_remain_usable_under_lower_limits() {
    for seed in 0..8 {
        let mut sim = cluster_with_leader(10 + seed, 2, true);
        sim.submit(job_with_long_spec(1, 30));
        sim.submit(job_with_long_spec(2, 200));
        sim.submit(job_with_long_spec(3, 4));
        sim.run_until(30_000, "progress", |sim| sim.running(&id(1)) > 0);
        let stored = &sim.store.kv[&records::job_key(&id(1))].0;
        assert!(stored.to_string().len() > 2048 && stored.get("d").is_some());
        assert!(
            sim.store.list(SPEC_CHUNKS).is_empty(),
            "spec chunks were written before all controllers can read them"
        );
        sim.mixed_versions = false;
        sim.apply_lower_limits();
        sim.cancel(&id(2));
        // The current leader crashes between any two of the following steps.
        for _ in 0..6 {
            sim.run(100 + 130 * seed);
            crash_leader(&mut sim, 300);
            sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
        }
        sim.run_until(200_000, "done", |sim| (1..=3).all(|n| sim.done(&id(n))));
        sim.run(10_000);
        let leader = sim.leader().unwrap();
        assert_eq!(sim.poll(leader, &id(1)), Some(JobState::Done));
        assert_eq!(sim.poll(leader, &id(2)), Some(JobState::Cancelled));
        // No spec chunk and no job record is left.
        assert!(sim.store.list(SPEC_CHUNKS).is_empty(), "seed {seed}");
        assert!(sim.store.list(records::JOBS).is_empty());
        sim.assert_no_violations();
    }
}

#[test]
fn long_spec_survives_failover_under_either_limit() {
    let mut sim = cluster_with_announced_limits(30, 3);
    sim.submit(job_with_long_spec(1, 12));
    assert!(sim.store.list(SPEC_CHUNKS).len() > 2);
    sim.apply_lower_limits();
    sim.submit(job_with_long_spec(2, 12));
    crash_leader(&mut sim, 500);
    sim.run_until(120_000, "done", |sim| sim.done(&id(1)) && sim.done(&id(2)));
    sim.assert_no_violations();
}

#[test]
fn five_thousand_dependencies_span_several_values() {
    let mut sim = cluster_with_announced_limits(31, 2);
    sim.apply_lower_limits();
    sim.submit(job(9_000, Kind::Array, 3));
    // All dependencies but one are done and have only a final record.
    for n in 1..5_000 {
        let final_record = FinalRecord {
            state: JobState::Done,
            done: 1,
        };
        let value = serde_json::to_value(final_record).unwrap();
        let revision = sim.store.revision;
        sim.store
            .kv
            .insert(records::final_key(&id(n)), (value, revision));
    }
    let mut spec = job(9_001, Kind::Array, 2);
    spec.dependencies = (1..5_000).chain([9_000]).map(id).collect();
    assert!(serde_json::to_vec(&spec).unwrap().len() < 65_536);
    sim.submit(spec);
    crash_leader(&mut sim, 500);
    sim.run_until(60_000, "the dependency done", |sim| sim.done(&id(9_000)));
    sim.run_until(30_000, "done", |sim| sim.done(&id(9_001)));
    sim.assert_no_violations();
}

/// Spec chunks of a submission that was given up, or whose leader crashed halfway, are
/// deleted; chunks to which a record refers are not.
#[test]
fn only_unreferenced_spec_chunks_are_cleared() {
    let mut sim = cluster_with_announced_limits(32, 2);
    let spec = job_with_long_spec(1, 6);
    let old = sim.leader().unwrap();
    let leader_state = sim.nodes[old].leader.as_mut().unwrap();
    let (_, first) = leader_state.spec_chunk_writes(&spec).unwrap().unwrap();
    let chunk_txn = first[0].clone();
    sim.store.apply(&chunk_txn).unwrap();
    let chunk_count = sim.store.list(SPEC_CHUNKS).len();
    assert!(chunk_count > 0);
    crash_leader(&mut sim, 500);
    sim.run_until(20_000, "a leader", |sim| sim.leader().is_some());
    // The retry writes the same chunks while unreferenced chunks are being deleted.
    sim.submit(spec);
    sim.run_until(60_000, "done", |sim| sim.done(&id(1)));
    // A late transaction of the old leader fails its condition.
    assert!(sim.store.apply(&chunk_txn).is_err());
    sim.run(5_000);
    assert!(sim.store.list(SPEC_CHUNKS).is_empty());
    sim.assert_no_violations();
}

#[test]
fn hundred_jobs_update_when_limits_drop_during_outage() {
    let mut sim = cluster_with_announced_limits(33, 6);
    for n in 1..=100 {
        sim.submit(job(n, Kind::Array, 1 + n % 3));
    }
    sim.run(3_000);
    sim.store.unavailable = true;
    sim.run(1_500);
    sim.apply_lower_limits();
    sim.run(1_500);
    sim.store.unavailable = false;
    for n in (1..=100).step_by(7) {
        sim.cancel(&id(n));
    }
    sim.run_until(300_000, "done", |sim| (1..=100).all(|n| sim.done(&id(n))));
    sim.assert_no_violations();
}

/// Guards against a list of images that grows past the size limit of a machine record.
#[test]
fn machine_record_keeps_most_recent_images() {
    let mut sim = cluster_with_announced_limits(34, 1);
    sim.apply_lower_limits();
    for n in 1..=30 {
        let mut spec = job(n, Kind::Array, 1);
        spec.image = format!("{}-{n}", "i".repeat(150));
        spec.image_gb = 0.1;
        sim.submit(spec);
    }
    sim.run_until(300_000, "done", |sim| (1..=30).all(|n| sim.done(&id(n))));
    sim.run(20_000);
    let machines = sim.store.list(records::MACHINES);
    let images = machines[0].1["i"].as_array().map_or(0, Vec::len);
    assert!((5..30).contains(&images), "{images} images kept");
    sim.assert_no_violations();
}
