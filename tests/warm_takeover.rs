//! What a new leader takes from its replica, and what from heartbeats, machine by
//! machine.

mod simulation;

use pathwinch::{
    control::{leader::Leader, standby::replica::ReplicaReceiver},
    options::Options,
    protocol::{
        peers::{MachineTasks, ReplicatedPhase, ReplicatedTask, ReplicationPart},
        users::{JobSpec, Kind, Priority},
    },
    state::records::StandbyRecord,
};
use simulation::job;
use std::rc::Rc;

/// A new leader that goes by what it was told of those machines, and has read
/// the records.
fn warm_leader(machines: u32, holds: Vec<MachineTasks>, spec: JobSpec) -> Leader {
    let mut follower = ReplicaReceiver::default();
    let part = ReplicationPart {
        term: 5,
        stream: 1,
        part: 0,
        complete: true,
        counted: true,
        machines: holds,
    };
    assert!(follower.apply_part(part, 0));
    let settings = Rc::new(simulation::settings(0.0));
    let mut l = Leader::new(settings, Options::default(), simulation::types(), 9, 0);
    l.inherit(7, follower.take_replica(9));
    let record = StandbyRecord {
        term: 5,
        named: vec![("n0".into(), 7)],
        known_to_all: true,
    };
    l.load_standbys(Some((record, 6)));
    for n in 0..machines {
        l.load_machine(&machine(n), simulation::machine_record(), 3, 0);
    }
    let (_, record) = l.acceptance(&spec, None, 0);
    l.load_job(record, 4, 0);
    l.finish_loading(0);
    l
}

fn machine(n: u32) -> String {
    format!("i-{n:06}")
}

fn holds(n: u32, tasks: impl Iterator<Item = ReplicatedTask>) -> MachineTasks {
    MachineTasks {
        machine: machine(n),
        jobs: vec![("j-000001".into(), tasks.collect())],
    }
}

/// The machine reports that it has seen this term, and has no tasks.
fn heartbeat_without_tasks(l: &mut Leader, n: u32, now: u64) {
    let report = serde_json::json!({
        "post": machine(n), "addr": "127.0.0.1:9", "rig": "m8", "hall": "a",
        "lendback": false, "tenure": 1, "tick": 5, "baton": 9u64 << 20,
        "reclaim_in_s": null, "pieces": []});
    let report = serde_json::from_value(report).unwrap();
    assert!(l.on_heartbeat(&report, now).is_some());
}

fn tasks_on(l: &Leader, n: u32) -> Vec<(u32, u64)> {
    let m = l.cluster.machine_handle(&machine(n));
    let m = m.and_then(|ix| l.cluster.machine(ix)).unwrap();
    m.tasks.iter().map(|a| (a.task, a.attempt)).collect()
}

/// A copy may hold a task twice, as it was told of the later place first.
#[test]
fn replica_keeps_later_of_two_placements() {
    let at = |change| std::iter::once(ReplicatedTask(0, change, change, ReplicatedPhase::Sent));
    let told = vec![holds(0, at(3)), holds(1, at(8)), holds(2, at(5))];
    let mut l = warm_leader(3, told, job(1, Kind::Service, 1));
    l.tick(50, 50);
    assert_eq!(tasks_on(&l, 1), [(0, 8)]);
    assert!(tasks_on(&l, 0).is_empty() && tasks_on(&l, 2).is_empty());
}

/// What a machine says of itself in this term goes before any copy.
#[test]
fn heartbeat_overrides_replica() {
    let told = vec![holds(
        0,
        (0..2).map(|t| ReplicatedTask(t, 1, 1, ReplicatedPhase::Running)),
    )];
    let mut l = warm_leader(2, told.clone(), job(1, Kind::Service, 2));
    heartbeat_without_tasks(&mut l, 0, 20);
    l.tick(50, 50);
    let of_then = |l: &Leader| tasks_on(l, 0).iter().any(|(_, attempt)| *attempt == 1);
    assert!(l.is_warm() && !of_then(&l));
    // The same where it is heard a moment later.
    let mut l = warm_leader(2, told, job(1, Kind::Service, 2));
    l.tick(50, 50);
    assert!(of_then(&l));
    heartbeat_without_tasks(&mut l, 0, 60);
    assert!(!of_then(&l));
}

/// Whether a gang has started is not known before all of it was heard: it is
/// neither completed nor stopped until then.
#[test]
fn incomplete_gang_is_untouched_until_all_heartbeats_arrive() {
    let told = vec![holds(
        0,
        (0..2).map(|t| ReplicatedTask(t, 1, 1, ReplicatedPhase::Sent)),
    )];
    let mut l = warm_leader(2, told, job(1, Kind::Gang, 3));
    heartbeat_without_tasks(&mut l, 1, 20);
    l.tick(50, 50);
    l.tick(5_000, 5_000);
    assert!(tasks_on(&l, 1).is_empty());
    let ix = l.cluster.machine_handle(&machine(0)).unwrap();
    let m = l.cluster.machine(ix).unwrap();
    assert!(m.tasks.len() == 2 && m.tasks.iter().all(|a| a.stop_grace_s.is_none()));
}

/// Guards against a takeover that looks at every machine for every task.
#[test]
fn warm_failover_costs_few_inspections_per_machine() {
    let looks = |machines: u32| {
        let tasks = |n: u32| {
            (8 * n..8 * n + 8)
                .map(|t| ReplicatedTask(t, 1, 1 + u64::from(t), ReplicatedPhase::Running))
        };
        let told = (0..machines).map(|n| holds(n, tasks(n))).collect();
        let mut spec = job(1, Kind::Service, 8 * machines);
        spec.priority = Priority::Production;
        let mut l = warm_leader(machines, told, spec);
        let before = l.cluster.inspections();
        l.tick(50, 50);
        assert!(l.is_warm() && !l.settled());
        assert_eq!(l.status("j-000001").map(|s| s.running), Some(8 * machines));
        (l.cluster.inspections() - before) / u64::from(machines)
    };
    let (few, many) = (looks(20), looks(1_252));
    assert!(many <= few + 1, "{few} looks a machine, then {many}");
}
