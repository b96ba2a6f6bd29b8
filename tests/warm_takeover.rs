//! How a new leader combines its replica with heartbeats: which of the two it uses for
//! the tasks of each machine.

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

/// A new leader that has taken over with `replicated` as its replica, and has read the
/// records of `machines` machines and of one job.
fn warm_leader(machines: u32, replicated: Vec<MachineTasks>, spec: JobSpec) -> Leader {
    let mut receiver = ReplicaReceiver::default();
    let part = ReplicationPart {
        term: 5,
        stream: 1,
        part: 0,
        complete: true,
        counted: true,
        machines: replicated,
    };
    assert!(receiver.apply_part(part, 0));
    let settings = Rc::new(simulation::settings(0.0));
    let mut leader = Leader::new(settings, Options::default(), simulation::types(), 9, 0);
    leader.set_inherited_replica(7, receiver.take_replica(9));
    let record = StandbyRecord {
        term: 5,
        standbys: vec![("n0".into(), 7)],
        known_to_all: true,
    };
    leader.load_standbys(Some((record, 6)));
    for n in 0..machines {
        leader.load_machine(&machine(n), simulation::machine_record(), 3, 0);
    }
    let (_, record) = leader.acceptance(&spec, None, 0);
    leader.load_job(record, 4, 0);
    leader.finish_loading(0);
    leader
}

fn machine(n: u32) -> String {
    format!("i-{n:06}")
}

fn machine_tasks(n: u32, tasks: impl Iterator<Item = ReplicatedTask>) -> MachineTasks {
    MachineTasks {
        machine: machine(n),
        jobs: vec![("j-000001".into(), tasks.collect())],
    }
}

/// A heartbeat of the machine without tasks, which acknowledges the leader's term.
fn heartbeat_without_tasks(leader: &mut Leader, n: u32, now: u64) {
    let report = serde_json::json!({
        "post": machine(n), "addr": "127.0.0.1:9", "rig": "m8", "hall": "a",
        "lendback": false, "tenure": 1, "tick": 5, "baton": 9u64 << 20,
        "reclaim_in_s": null, "pieces": []});
    let report = serde_json::from_value(report).unwrap();
    assert!(leader.on_heartbeat(&report, now).is_some());
}

fn tasks_on(leader: &Leader, n: u32) -> Vec<(u32, u64)> {
    let m = leader.cluster.machine_handle(&machine(n));
    let m = m.and_then(|ix| leader.cluster.machine(ix)).unwrap();
    m.tasks.iter().map(|a| (a.task, a.attempt)).collect()
}

/// A replica may hold a task on two machines, as the later placement was replicated
/// before the removal of the earlier one. The new leader keeps the later placement.
#[test]
fn replica_keeps_later_of_two_placements() {
    let placed_by =
        |change| std::iter::once(ReplicatedTask(0, change, change, ReplicatedPhase::Sent));
    let replicated = vec![
        machine_tasks(0, placed_by(3)),
        machine_tasks(1, placed_by(8)),
        machine_tasks(2, placed_by(5)),
    ];
    let mut leader = warm_leader(3, replicated, job(1, Kind::Service, 1));
    leader.tick(50, 50);
    assert_eq!(tasks_on(&leader, 1), [(0, 8)]);
    assert!(tasks_on(&leader, 0).is_empty() && tasks_on(&leader, 2).is_empty());
}

/// A machine's heartbeat in this term takes precedence over the replica, whether it
/// arrives before or after the leader has applied the replica.
#[test]
fn heartbeat_overrides_replica() {
    let replicated = vec![machine_tasks(
        0,
        (0..2).map(|t| ReplicatedTask(t, 1, 1, ReplicatedPhase::Running)),
    )];
    let mut leader = warm_leader(2, replicated.clone(), job(1, Kind::Service, 2));
    heartbeat_without_tasks(&mut leader, 0, 20);
    leader.tick(50, 50);
    let has_replicated_task =
        |leader: &Leader| tasks_on(leader, 0).iter().any(|(_, attempt)| *attempt == 1);
    assert!(leader.is_warm() && !has_replicated_task(&leader));
    // The same when the heartbeat arrives after the replica was applied.
    let mut leader = warm_leader(2, replicated, job(1, Kind::Service, 2));
    leader.tick(50, 50);
    assert!(has_replicated_task(&leader));
    heartbeat_without_tasks(&mut leader, 0, 60);
    assert!(!has_replicated_task(&leader));
}

/// Whether a gang has started is unknown until every machine of it has sent a
/// heartbeat: until then none of its missing tasks is placed, and none is stopped.
#[test]
fn incomplete_gang_is_untouched_until_all_heartbeats_arrive() {
    let replicated = vec![machine_tasks(
        0,
        (0..2).map(|t| ReplicatedTask(t, 1, 1, ReplicatedPhase::Sent)),
    )];
    let mut leader = warm_leader(2, replicated, job(1, Kind::Gang, 3));
    heartbeat_without_tasks(&mut leader, 1, 20);
    leader.tick(50, 50);
    leader.tick(5_000, 5_000);
    assert!(tasks_on(&leader, 1).is_empty());
    let handle = leader.cluster.machine_handle(&machine(0)).unwrap();
    let first_machine = leader.cluster.machine(handle).unwrap();
    assert!(
        first_machine.tasks.len() == 2
            && first_machine.tasks.iter().all(|a| !a.stop.is_requested())
    );
}

/// Guards against a warm failover that inspects every machine for every task: the
/// inspections per machine must not grow with the number of machines.
#[test]
fn warm_failover_costs_few_inspections_per_machine() {
    let inspections_per_machine = |machines: u32| {
        let tasks = |n: u32| {
            (8 * n..8 * n + 8)
                .map(|t| ReplicatedTask(t, 1, 1 + u64::from(t), ReplicatedPhase::Running))
        };
        let replicated = (0..machines).map(|n| machine_tasks(n, tasks(n))).collect();
        let mut spec = job(1, Kind::Service, 8 * machines);
        spec.priority = Priority::Production;
        let mut leader = warm_leader(machines, replicated, spec);
        let before = leader.cluster.inspections();
        leader.tick(50, 50);
        assert!(leader.is_warm() && !leader.settled());
        assert_eq!(
            leader.status("j-000001").map(|s| s.running),
            Some(8 * machines)
        );
        (leader.cluster.inspections() - before) / u64::from(machines)
    };
    let (few, many) = (inspections_per_machine(20), inspections_per_machine(1_252));
    assert!(
        many <= few + 1,
        "{few} inspections per machine with 20 machines, {many} with 1,252"
    );
}
