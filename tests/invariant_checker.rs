//! Tests of the simulation's checkers: for each invariant, a violation is injected and must be
//! detected.

mod simulation;

use pathwinch::{
    protocol::{
        users::{JobState, Kind},
        workers::TaskState,
    },
    state::records::{self, FinalRecord},
};
use simulation::{CANCEL, Simulation, Task, id, job};

/// Returns a cluster with a leader, a CPU limit for team `u`, and no running task.
fn with_leader() -> Simulation {
    let mut sim = Simulation::with_nodes(1, 4, 0.0, 3).with_team_limits(&[("u", 8.0)]);
    (sim.run_ms, sim.standbys) = (600_000, false);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim
}

/// Places a task on a machine, which starts it without a command of the leader.
fn place_task(sim: &mut Simulation, machine: usize, name: &str) {
    let until = sim.now;
    sim.workers[machine].tasks.push(Task {
        name: name.to_owned(),
        attempt: 7,
        state: TaskState::Fetching,
        exit_reason: None,
        until,
        started_unfenced_at: 0,
    });
}

fn register_spec(sim: &mut Simulation, job_number: u32, kind: Kind) {
    sim.specs.insert(id(job_number), job(job_number, kind, 3));
}

fn write_record(sim: &mut Simulation, key: String, value: serde_json::Value) {
    sim.store.revision += 1;
    let revision = sim.store.revision;
    sim.store.kv.insert(key, (value, revision));
}

fn assert_detected(sim: &Simulation, violation: &str) {
    let found = sim.violations.iter().any(|text| text.contains(violation));
    assert!(
        found,
        "checker did not report {violation}: {:?}",
        sim.violations
    );
}

/// Crashes all controllers, which restart without memory, and waits for a leader.
fn restart_all(sim: &mut Simulation) {
    (0..3).for_each(|i| sim.crash(i, 100));
    sim.run_until(20_000, "another leader", |sim| sim.leader().is_some());
}

#[test]
fn checker_detects_forbidden_task_start() {
    let mut sim = with_leader();
    register_spec(&mut sim, 1, Kind::Array);
    place_task(&mut sim, 0, "j-000001/0");
    sim.run(50);
    sim.assert_no_violations();
    place_task(&mut sim, 1, "j-000001/0");
    sim.run(50);
    assert_detected(&sim, "ran_twice");

    let mut sim = with_leader();
    register_spec(&mut sim, 1, Kind::Array);
    sim.specs.get_mut(&id(1)).unwrap().team = "u".into();
    place_task(&mut sim, 0, "j-000001/0");
    place_task(&mut sim, 1, "j-000001/1");
    sim.run(50);
    sim.assert_no_violations();
    place_task(&mut sim, 2, "j-000001/2");
    sim.run(50);
    assert_detected(&sim, "quota: u");

    let mut sim = with_leader();
    register_spec(&mut sim, 1, Kind::Gang);
    sim.specs.get_mut(&id(1)).unwrap().single_zone = true;
    place_task(&mut sim, 0, "j-000001/0");
    place_task(&mut sim, 1, "j-000001/1");
    sim.run(50);
    assert_detected(&sim, "wrong_place");

    let mut sim = with_leader();
    register_spec(&mut sim, 1, Kind::Array);
    register_spec(&mut sim, 2, Kind::Array);
    sim.specs.get_mut(&id(2)).unwrap().dependencies = vec![id(1)];
    place_task(&mut sim, 0, "j-000002/0");
    sim.run(50);
    assert_detected(&sim, "too_early");
}

#[test]
fn checker_detects_cancelled_job_that_continues() {
    let mut sim = with_leader();
    register_spec(&mut sim, 1, Kind::Array);
    sim.answer_cancelled(&id(1));
    sim.run(CANCEL + 1_000);
    sim.assert_no_violations();
    assert_eq!(sim.started_after_cancellation, 0);
    place_task(&mut sim, 0, "j-000001/0");
    sim.run(50);
    assert_detected(&sim, "ran_cancelled");
    assert_eq!(sim.started_after_cancellation, 1);

    // A dependent job is answered as queued for too long: its earlier record is restored, the
    // record of its dependency says done, and the restarted controllers have no memory of it.
    let mut sim = with_leader();
    sim.submit(job(1, Kind::Array, 1));
    let mut after = job(2, Kind::Array, 1);
    after.dependencies = vec![id(1)];
    sim.submit(after);
    let (live, _) = sim.store.kv[&records::job_key(&id(2))].clone();
    sim.cancel(&id(1));
    sim.run(CANCEL + 2_000);
    sim.assert_no_violations();
    sim.store.kv.remove(&records::final_key(&id(2)));
    write_record(&mut sim, records::job_key(&id(2)), live);
    let done = serde_json::json!({"s": "done", "n": 1});
    write_record(&mut sim, records::final_key(&id(1)), done);
    (0..3).for_each(|i| sim.crash(i, 100));
    sim.run(150);
    sim.poll(0, &id(2));
    assert_detected(&sim, "orphaned");
}

#[test]
fn checker_detects_wrong_answer() {
    // The job's record is gone, and the restarted controllers have no memory of it.
    let mut sim = with_leader();
    sim.submit(job(1, Kind::Array, 1));
    sim.store.kv.remove(&records::job_key(&id(1)));
    restart_all(&mut sim);
    sim.poll(0, &id(1));
    assert_detected(&sim, "forgotten");

    // Answered as done before its tasks are, and as cancelled without a request.
    for (state, what) in [
        (JobState::Done, "not_done"),
        (JobState::Cancelled, "went_back"),
    ] {
        let mut sim = with_leader();
        register_spec(&mut sim, 1, Kind::Array);
        let over = serde_json::to_value(FinalRecord { state, done: 1 }).unwrap();
        write_record(&mut sim, records::final_key(&id(1)), over);
        sim.poll(0, &id(1));
        assert_detected(&sim, what);
    }

    // Answered as cancelled, and then as queued.
    let mut sim = with_leader();
    sim.submit(job(1, Kind::Array, 1));
    sim.answer_cancelled(&id(1));
    sim.poll(0, &id(1));
    assert_detected(&sim, "went_back");

    // An infeasible job is accepted.
    let mut sim = with_leader();
    sim.mark_infeasible(&id(1));
    sim.submit(job(1, Kind::Array, 1));
    assert_detected(&sim, "invented");
}

#[test]
fn checker_detects_abandoned_job() {
    // Polls stay unanswered although the run is marked as free of faults.
    let mut sim = with_leader();
    sim.submit(job(1, Kind::Array, 1));
    sim.fault_free = true;
    sim.store.unavailable = true;
    (0..3).for_each(|i| sim.crash(i, 100));
    for _ in 0..80 {
        sim.run(1_000);
        for i in 0..3 {
            sim.poll(i, &id(1));
        }
    }
    assert_detected(&sim, "for 75 s");

    // Capacity is available, and no controller knows of the accepted job.
    let mut sim = with_leader();
    sim.submit(job(1, Kind::Array, 1));
    sim.store.kv.remove(&records::job_key(&id(1)));
    sim.workers.iter_mut().for_each(|m| m.tasks.clear());
    restart_all(&mut sim);
    sim.workers.iter_mut().for_each(|m| m.tasks.clear());
    sim.fault_free = true;
    sim.run(95_000);
    assert_detected(&sim, "although a machine has capacity");
}
