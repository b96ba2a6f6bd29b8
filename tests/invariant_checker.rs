//! The checker itself: each rule, and what the users count besides, with a
//! fault that is planted.

mod simulation;

use pathwinch::{
    protocol::{
        users::{JobState, Kind},
        workers::TaskState,
    },
    state::records::{self, FinalRecord},
};
use simulation::{CANCEL, Simulation, Task, id, job};

/// Led, with limits, and nothing that runs.
fn with_leader() -> Simulation {
    let mut w = Simulation::with_nodes(1, 4, 0.0, 3).with_team_limits(&[("u", 8.0)]);
    (w.run_ms, w.standbys) = (600_000, false);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w
}

/// A task that nobody ordered begins on a machine.
fn place_task(w: &mut Simulation, m: usize, name: &str) {
    let until = w.now;
    w.workers[m].tasks.push(Task {
        name: name.to_owned(),
        attempt: 7,
        state: TaskState::Fetching,
        exit_reason: None,
        until,
    });
}

fn register_spec(w: &mut Simulation, n: u32, kind: Kind) {
    w.specs.insert(id(n), job(n, kind, 3));
}

fn write_record(w: &mut Simulation, key: String, value: serde_json::Value) {
    w.store.revision += 1;
    let revision = w.store.revision;
    w.store.kv.insert(key, (value, revision));
}

fn assert_detected(w: &Simulation, what: &str) {
    let found = w.violations.iter().any(|b| b.contains(what));
    assert!(found, "{what} was not caught: {:?}", w.violations);
}

/// All end, and are back with no memory.
fn restart_all(w: &mut Simulation) {
    (0..3).for_each(|i| w.crash(i, 100));
    w.run_until(20_000, "another", |w| w.leader().is_some());
}

#[test]
fn checker_detects_forbidden_task_start() {
    let mut w = with_leader();
    register_spec(&mut w, 1, Kind::Array);
    place_task(&mut w, 0, "j-000001/0");
    w.run(50);
    w.assert_no_violations();
    place_task(&mut w, 1, "j-000001/0");
    w.run(50);
    assert_detected(&w, "ran_twice");

    let mut w = with_leader();
    register_spec(&mut w, 1, Kind::Array);
    w.specs.get_mut(&id(1)).unwrap().team = "u".into();
    place_task(&mut w, 0, "j-000001/0");
    place_task(&mut w, 1, "j-000001/1");
    w.run(50);
    w.assert_no_violations();
    place_task(&mut w, 2, "j-000001/2");
    w.run(50);
    assert_detected(&w, "quota: u");

    let mut w = with_leader();
    register_spec(&mut w, 1, Kind::Gang);
    w.specs.get_mut(&id(1)).unwrap().single_zone = true;
    place_task(&mut w, 0, "j-000001/0");
    place_task(&mut w, 1, "j-000001/1");
    w.run(50);
    assert_detected(&w, "wrong_place");

    let mut w = with_leader();
    register_spec(&mut w, 1, Kind::Array);
    register_spec(&mut w, 2, Kind::Array);
    w.specs.get_mut(&id(2)).unwrap().dependencies = vec![id(1)];
    place_task(&mut w, 0, "j-000002/0");
    w.run(50);
    assert_detected(&w, "too_early");
}

#[test]
fn checker_detects_cancelled_job_that_continues() {
    let mut w = with_leader();
    register_spec(&mut w, 1, Kind::Array);
    w.answer_cancelled(&id(1));
    w.run(CANCEL + 1_000);
    w.assert_no_violations();
    assert_eq!(w.started_after_cancellation, 0);
    place_task(&mut w, 0, "j-000001/0");
    w.run(50);
    assert_detected(&w, "ran_cancelled");
    assert_eq!(w.started_after_cancellation, 1);

    // A dependent that is called queued for too long: its record is put back
    // to what it was, the record of its dependency says done, and nobody remembers.
    let mut w = with_leader();
    w.submit(job(1, Kind::Array, 1));
    let mut after = job(2, Kind::Array, 1);
    after.dependencies = vec![id(1)];
    w.submit(after);
    let (live, _) = w.store.kv[&records::job_key(&id(2))].clone();
    w.cancel(&id(1));
    w.run(CANCEL + 2_000);
    w.assert_no_violations();
    w.store.kv.remove(&records::final_key(&id(2)));
    write_record(&mut w, records::job_key(&id(2)), live);
    let done = serde_json::json!({"s": "done", "n": 1});
    write_record(&mut w, records::final_key(&id(1)), done);
    (0..3).for_each(|i| w.crash(i, 100));
    w.run(150);
    w.poll(0, &id(2));
    assert_detected(&w, "orphaned");
}

#[test]
fn checker_detects_wrong_answer() {
    // No record any more, and nobody who remembers.
    let mut w = with_leader();
    w.submit(job(1, Kind::Array, 1));
    w.store.kv.remove(&records::job_key(&id(1)));
    restart_all(&mut w);
    w.poll(0, &id(1));
    assert_detected(&w, "forgotten");

    // Done, before its task is; and cancelled, though nobody asked.
    for (state, what) in [
        (JobState::Done, "not_done"),
        (JobState::Cancelled, "went_back"),
    ] {
        let mut w = with_leader();
        register_spec(&mut w, 1, Kind::Array);
        let over = serde_json::to_value(FinalRecord { state, done: 1 }).unwrap();
        write_record(&mut w, records::final_key(&id(1)), over);
        w.poll(0, &id(1));
        assert_detected(&w, what);
    }

    // Withdrawn, and then queued.
    let mut w = with_leader();
    w.submit(job(1, Kind::Array, 1));
    w.answer_cancelled(&id(1));
    w.poll(0, &id(1));
    assert_detected(&w, "went_back");

    // A job that can't be accepted is known.
    let mut w = with_leader();
    w.mark_infeasible(&id(1));
    w.submit(job(1, Kind::Array, 1));
    assert_detected(&w, "invented");
}

#[test]
fn checker_detects_abandoned_job() {
    // Nobody answers, though nothing is said to be amiss.
    let mut w = with_leader();
    w.submit(job(1, Kind::Array, 1));
    w.fault_free = true;
    w.store.unavailable = true;
    (0..3).for_each(|i| w.crash(i, 100));
    for _ in 0..80 {
        w.run(1_000);
        for i in 0..3 {
            w.poll(i, &id(1));
        }
    }
    assert_detected(&w, "for 75 s");

    // Room, and a job that no controller knows of.
    let mut w = with_leader();
    w.submit(job(1, Kind::Array, 1));
    w.store.kv.remove(&records::job_key(&id(1)));
    w.workers.iter_mut().for_each(|m| m.tasks.clear());
    restart_all(&mut w);
    w.workers.iter_mut().for_each(|m| m.tasks.clear());
    w.fault_free = true;
    w.run(95_000);
    assert_detected(&w, "beside room");
}
