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
use simulation::{CANCEL, Task, World, job};

fn id(n: u32) -> String {
    format!("j-{n:06}")
}

/// Led, with limits, and nothing that runs.
fn led() -> World {
    let mut w = World::sized(1, 4, 0.0, 3).limited(&[("u", 8.0)]);
    (w.run_ms, w.standbys) = (600_000, false);
    w.until(10_000, "a leader", |w| w.leader().is_some());
    w
}

/// A task that nobody ordered begins on a machine.
fn plant(w: &mut World, m: usize, name: &str) {
    let until = w.now;
    w.workers[m].tasks.push(Task {
        name: name.to_owned(),
        attempt: 7,
        state: TaskState::Fetching,
        why: None,
        until,
    });
}

fn known(w: &mut World, n: u32, kind: Kind) {
    w.specs.insert(id(n), job(n, kind, 3));
}

fn put(w: &mut World, key: String, value: serde_json::Value) {
    w.store.revision += 1;
    let revision = w.store.revision;
    w.store.kv.insert(key, (value, revision));
}

fn caught(w: &World, what: &str) {
    let found = w.broken.iter().any(|b| b.contains(what));
    assert!(found, "{what} was not caught: {:?}", w.broken);
}

/// All end, and are back with no memory.
fn all_forget(w: &mut World) {
    (0..3).for_each(|i| w.crash(i, 100));
    w.until(20_000, "another", |w| w.leader().is_some());
}

#[test]
fn checker_detects_forbidden_task_start() {
    let mut w = led();
    known(&mut w, 1, Kind::Array);
    plant(&mut w, 0, "j-000001/0");
    w.run(50);
    w.sound();
    plant(&mut w, 1, "j-000001/0");
    w.run(50);
    caught(&w, "ran_twice");

    let mut w = led();
    known(&mut w, 1, Kind::Array);
    w.specs.get_mut(&id(1)).unwrap().team = "u".into();
    plant(&mut w, 0, "j-000001/0");
    plant(&mut w, 1, "j-000001/1");
    w.run(50);
    w.sound();
    plant(&mut w, 2, "j-000001/2");
    w.run(50);
    caught(&w, "quota: u");

    let mut w = led();
    known(&mut w, 1, Kind::Gang);
    w.specs.get_mut(&id(1)).unwrap().single_zone = true;
    plant(&mut w, 0, "j-000001/0");
    plant(&mut w, 1, "j-000001/1");
    w.run(50);
    caught(&w, "wrong_place");

    let mut w = led();
    known(&mut w, 1, Kind::Array);
    known(&mut w, 2, Kind::Array);
    w.specs.get_mut(&id(2)).unwrap().dependencies = vec![id(1)];
    plant(&mut w, 0, "j-000002/0");
    w.run(50);
    caught(&w, "too_early");
}

#[test]
fn checker_detects_cancelled_job_that_continues() {
    let mut w = led();
    known(&mut w, 1, Kind::Array);
    w.told_cancelled(&id(1));
    w.run(CANCEL + 1_000);
    w.sound();
    assert_eq!(w.started_after, 0);
    plant(&mut w, 0, "j-000001/0");
    w.run(50);
    caught(&w, "ran_cancelled");
    assert_eq!(w.started_after, 1);

    // A dependent that is called queued for too long: its record is put back
    // to what it was, and nobody remembers.
    let mut w = led();
    w.submit(job(1, Kind::Array, 1));
    let mut after = job(2, Kind::Array, 1);
    after.dependencies = vec![id(1)];
    w.submit(after);
    let (live, _) = w.store.kv[&records::job_key(&id(2))].clone();
    w.cancel(&id(1));
    w.run(CANCEL + 2_000);
    w.sound();
    w.store.kv.remove(&records::final_key(&id(2)));
    put(&mut w, records::job_key(&id(2)), live);
    (0..3).for_each(|i| w.crash(i, 100));
    w.run(150);
    w.poll(0, &id(2));
    caught(&w, "orphaned");
}

#[test]
fn checker_detects_wrong_answer() {
    // No record any more, and nobody who remembers.
    let mut w = led();
    w.submit(job(1, Kind::Array, 1));
    w.store.kv.remove(&records::job_key(&id(1)));
    all_forget(&mut w);
    w.poll(0, &id(1));
    caught(&w, "forgotten");

    // Done, before its task is; and cancelled, though nobody asked.
    for (state, what) in [
        (JobState::Done, "not_done"),
        (JobState::Cancelled, "went_back"),
    ] {
        let mut w = led();
        known(&mut w, 1, Kind::Array);
        let over = serde_json::to_value(FinalRecord { state, done: 1 }).unwrap();
        put(&mut w, records::final_key(&id(1)), over);
        w.poll(0, &id(1));
        caught(&w, what);
    }

    // Withdrawn, and then queued.
    let mut w = led();
    w.submit(job(1, Kind::Array, 1));
    w.told_cancelled(&id(1));
    w.poll(0, &id(1));
    caught(&w, "went_back");

    // A job that can't be accepted is known.
    let mut w = led();
    w.unfit(&id(1));
    w.submit(job(1, Kind::Array, 1));
    caught(&w, "invented");
}

#[test]
fn checker_detects_abandoned_job() {
    // Nobody answers, though nothing is said to be amiss.
    let mut w = led();
    w.submit(job(1, Kind::Array, 1));
    w.calm = true;
    w.store.down = true;
    (0..3).for_each(|i| w.crash(i, 100));
    for _ in 0..80 {
        w.run(1_000);
        for i in 0..3 {
            w.poll(i, &id(1));
        }
    }
    caught(&w, "for 75 s");

    // Room, and a job that no controller knows of.
    let mut w = led();
    w.submit(job(1, Kind::Array, 1));
    w.store.kv.remove(&records::job_key(&id(1)));
    w.workers.iter_mut().for_each(|m| m.tasks.clear());
    all_forget(&mut w);
    w.workers.iter_mut().for_each(|m| m.tasks.clear());
    w.calm = true;
    w.run(95_000);
    caught(&w, "beside room");
}
