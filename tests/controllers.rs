//! Scenarios of controllers that pause, become unresponsive or are partially partitioned, against
//! a simulated cluster. Workers must keep their leases, and users their answers, throughout.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind, Priority};
use simulation::{Cut, CutScope, Simulation, job};

/// Returns a cluster with a leader and services on its machines, after 15 s to 17 s of operation.
fn cluster_with_services(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, 8, 0.0, nodes);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    for n in 1..5 {
        let mut service = job(n, Kind::Service, 3);
        service.priority = Priority::Production;
        sim.submit(service);
    }
    sim.run_until(20_000, "all services run", |sim| running(sim) == 12);
    // The random time shifts the fault against heartbeats and renewals.
    let offset = sim.rng.u64(0..2_000);
    sim.run(15_000 + offset);
    (sim.expired_tasks, sim.terms, sim.machines_requested) = (0, 0, 0);
    sim.returned.clear();
    sim
}

/// Returns the number of running tasks of the services.
fn running(sim: &Simulation) -> usize {
    (1..5).map(|n| sim.running(&format!("j-{n:06}"))).sum()
}

/// Asserts that no task was lost, no machine was requested or returned, at most `max_terms`
/// elections took place, and there is a leader.
fn assert_undisturbed(sim: &mut Simulation, case: &str, max_terms: u32) {
    assert_eq!(sim.expired_tasks, 0, "{case}: tasks killed by lease expiry");
    assert_eq!(running(sim), 12, "{case}");
    assert_eq!(
        sim.machines_requested, 0,
        "{case}: machines were requested without need"
    );
    assert!(sim.returned.is_empty(), "{case}: {:?}", sim.returned);
    assert!(sim.terms <= max_terms, "{case}: {} elections", sim.terms);
    assert!(sim.leader().is_some(), "{case}");
    sim.assert_no_violations();
}

#[test]
fn process_pause_of_leader_breaks_no_invariant() {
    for (seed, ms) in (0..24).flat_map(|s| [(s, 1_500), (s, 3_300), (s, 5_000), (s, 20_000)]) {
        for nodes in [3, 7] {
            let mut sim = cluster_with_services(100 + seed, nodes);
            let leader = sim.leader().unwrap();
            sim.pause_process(leader, ms);
            sim.run(ms + 15_000);
            let max_terms = if ms < 3_000 { 0 } else { 1 };
            assert_undisturbed(
                &mut sim,
                &format!("seed {seed}, {ms} ms, {nodes} nodes"),
                max_terms,
            );
        }
    }
}

#[test]
fn queued_heartbeats_never_make_machine_unresponsive() {
    for seed in 0..10 {
        let mut sim = cluster_with_services(150 + seed, 3);
        let leader = sim.leader().unwrap();
        sim.pause_process(leader, 3_300);
        let end = sim.now + 6_000;
        while sim.now < end {
            sim.step();
            let now = sim.now;
            if sim.leader() == Some(leader) && sim.reaches(leader) {
                let leader_state = sim.nodes[leader].leader.as_ref().unwrap();
                assert_eq!(
                    leader_state.overdue_machines(now).0,
                    Vec::<String>::new(),
                    "seed {seed}"
                );
                assert!(
                    !leader_state.cluster.machines().any(|m| m.overdue),
                    "seed {seed}"
                );
            }
        }
        assert_undisturbed(&mut sim, &format!("seed {seed}"), 0);
    }
}

/// Guards against two consecutive unresponsive nodes in the order in which workers try nodes:
/// trying both takes as long as the workers' lease.
#[test]
fn leader_yields_when_redirect_target_is_unresponsive() {
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut sim = cluster_with_services(250 + seed, nodes);
        let leader = sim.leader().unwrap();
        sim.partition((leader + 1) % nodes, CutScope::All, Cut::Hold);
        sim.run(20_000);
        let moved = sim.leader().unwrap();
        assert_ne!(moved, leader);
        sim.run(60_000);
        assert_eq!(sim.leader(), Some(moved), "leadership moves only once");
        sim.partition(moved, CutScope::All, Cut::Hold);
        sim.run(30_000);
        (0..nodes).for_each(|i| sim.end_partitions(i));
        sim.run(20_000);
        assert_undisturbed(&mut sim, &format!("seed {seed}, {nodes} nodes"), 4);
    }
}

/// Guards against redirecting workers to a former leader that no longer responds: its key stays
/// for as long as the state service is unavailable, and for 4 s more.
#[test]
fn workers_are_redirected_to_responsive_nodes_until_election() {
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut sim = cluster_with_services(270 + seed, nodes);
        let leader = sim.leader().unwrap();
        sim.partition(leader, CutScope::All, Cut::Hold);
        sim.store.unavailable = true;
        sim.run(2_500);
        sim.store.unavailable = false;
        sim.run(40_000);
        sim.end_partitions(leader);
        sim.run(20_000);
        assert_undisturbed(&mut sim, &format!("seed {seed}, {nodes} nodes"), 2);
    }
}

/// Guards against the loss of authority, and of all workers' leases, in an outage of the state
/// service while one node hangs: that node gives no promise, but it is excluded in the state
/// service.
#[test]
fn leader_survives_outage_when_one_node_hangs() {
    for (seed, nodes) in (0..6).flat_map(|s| [(s, 3), (s, 7)]) {
        for away in 1..nodes {
            let mut sim = cluster_with_services(280 + seed, nodes);
            let leader = sim.leader().unwrap();
            sim.partition((leader + away) % nodes, CutScope::All, Cut::Hold);
            sim.run(8_000);
            sim.store.unavailable = true;
            sim.run(20_000);
            sim.store.unavailable = false;
            sim.run(20_000);
            (0..nodes).for_each(|i| sim.end_partitions(i));
            sim.run(20_000);
            let case = format!("seed {seed}, {nodes} nodes, {away} after the leader");
            assert_undisturbed(&mut sim, &case, 1);
            assert!(sim.store.kv.keys().all(|k| !k.starts_with("x/")), "{case}");
        }
    }
}

/// The excluded node resumes and reaches the state service while no other node does. Guards
/// against a second leader beside the one whose authority the other nodes extend by promises.
#[test]
fn excluded_node_never_leads_when_alone_reaching_store() {
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut sim = cluster_with_services(320 + seed, nodes);
        let leader = sim.leader().unwrap();
        let hung = (leader + nodes - 1) % nodes;
        sim.partition(hung, CutScope::All, Cut::Hold);
        sim.run(8_000);
        for i in (0..nodes).filter(|i| *i != hung) {
            sim.partition(i, CutScope::State, Cut::Hold);
            sim.partition(i, CutScope::Node(hung), Cut::Hold);
        }
        // Only the hung node reaches the state service now.
        sim.end_partitions(hung);
        let end = sim.now + 60_000;
        while sim.now < end {
            let now = sim.now;
            let acting = |i: &usize| sim.nodes[*i].election.authority(now).is_some();
            let leaders = (0..nodes).filter(acting).count();
            assert!(leaders <= 1, "seed {seed}, {nodes} nodes: {leaders} lead");
            sim.step();
        }
        assert_eq!(
            sim.leader(),
            Some(hung),
            "the hung node leads once its exclusion has expired"
        );
        sim.assert_no_violations();
    }
}

/// Guards against redirecting a worker to a leader that its heartbeats don't reach: the
/// redirecting node is partitioned from the state service, and knows the leader only from the
/// other nodes.
#[test]
fn node_redirects_workers_when_cut_from_store() {
    for seed in 0..8 {
        let mut sim = cluster_with_services(290 + seed, 3);
        let first = sim.leader().unwrap();
        sim.partition(first, CutScope::State, Cut::Hold);
        // Without this node, the next leader comes before the first one in the order in which
        // workers try nodes.
        sim.crash((first + 1) % 3, 3_000);
        sim.run(12_000);
        let second = sim.leader().unwrap();
        assert_eq!((second + 1) % 3, first);
        sim.partition(second, CutScope::Workers, Cut::Hold);
        sim.run(30_000);
        (0..3).for_each(|i| sim.end_partitions(i));
        sim.run(20_000);
        assert_undisturbed(&mut sim, &format!("seed {seed}"), 2);
    }
}

#[test]
fn replaced_leader_disturbs_nothing_when_it_returns() {
    for seed in 0..8 {
        let mut sim = cluster_with_services(200 + seed, 3);
        let old = sim.leader().unwrap();
        sim.partition(old, CutScope::All, Cut::Hold);
        sim.run_until(6_000, "another leader", |sim| {
            sim.leader().is_some_and(|l| l != old)
        });
        sim.run(90_000);
        sim.end_partitions(old);
        sim.run(20_000);
        // Leadership moves at most once more, to a leader whose next node in the workers' order
        // responds.
        assert_undisturbed(&mut sim, &format!("seed {seed}"), 2);
    }
}

#[test]
fn paused_and_unresponsive_nodes_break_no_invariant() {
    // The second fault hits the node that leads 10 s after the first fault.
    for (seed, ms) in (0..10).flat_map(|s| [(s, 5_000), (s, 20_000), (s, 90_000)]) {
        for nodes in [3, 7] {
            let mut sim = cluster_with_services(300 + seed, nodes);
            let first = sim.leader().unwrap();
            sim.partition(first, CutScope::All, Cut::Hold);
            sim.run(10_000);
            let second = sim.leader().unwrap();
            sim.pause_process(second, ms);
            sim.run(ms.min(30_000));
            sim.end_partitions(first);
            sim.run(ms + 20_000);
            let case = format!("seed {seed}, {ms} ms, {nodes} nodes");
            assert_undisturbed(&mut sim, &case, 4);
        }
    }
}

#[test]
fn partial_partition_of_leader_expires_no_lease() {
    let sides = |nodes: usize| {
        let peers = (0..nodes).map(CutScope::Node);
        [CutScope::State, CutScope::Workers]
            .into_iter()
            .chain(peers)
    };
    for nodes in [3, 7] {
        for side in sides(nodes) {
            for how in [Cut::Hold, Cut::Reset] {
                let mut sim = cluster_with_services(400, nodes);
                let leader = sim.leader().unwrap();
                sim.partition(leader, side, how);
                sim.run(40_000);
                sim.end_partitions(leader);
                sim.run(20_000);
                assert_undisturbed(&mut sim, &format!("{side:?} {how:?}, {nodes} nodes"), 1);
            }
        }
    }
}

#[test]
fn partial_partitions_of_successive_leaders_expire_no_lease() {
    let sides = [CutScope::State, CutScope::Workers, CutScope::All];
    for (a, b) in sides
        .iter()
        .flat_map(|a| sides.iter().map(move |b| (*a, *b)))
    {
        for how in [Cut::Hold, Cut::Reset] {
            let mut sim = cluster_with_services(500, 3);
            let first = sim.leader().unwrap();
            sim.partition(first, a, how);
            sim.run(10_000);
            let second = sim.leader().unwrap();
            sim.partition(second, b, how);
            sim.run(30_000);
            (0..3).for_each(|i| sim.end_partitions(i));
            sim.run(20_000);
            assert_undisturbed(&mut sim, &format!("{a:?}, {b:?}, {how:?}"), 4);
        }
    }
}

/// Guards against a leader that answers from memory with an older state than another node has
/// already answered from the records: the leader learns late that the job's completion is
/// recorded.
#[test]
fn leader_answers_no_older_state_when_completion_is_written() {
    let mut sim = Simulation::new(7, 3, 0.0);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 1));
    sim.run_until(20_000, "the task runs", |sim| sim.running("j-000001") == 1);
    let leader = sim.leader().unwrap();
    let other = (leader + 1) % 3;
    sim.partition(other, CutScope::Node(leader), Cut::Reset);
    // Writes are applied after 50 ms, and their answers are lost.
    sim.store.late_writes = vec![50; 40];
    let id = "j-000001";
    let is_answered_done = |sim: &mut Simulation| sim.poll(other, id) == Some(JobState::Done);
    let end = sim.now + 20_000;
    while !is_answered_done(&mut sim) {
        assert!(sim.now < end);
        sim.step();
    }
    sim.nodes[leader]
        .election
        .authority(sim.now)
        .expect("the leader keeps its authority");
    assert_eq!(sim.poll(leader, id), Some(JobState::Done));
    sim.assert_no_violations();
}

#[test]
fn final_states_survive_failover() {
    let mut sim = Simulation::new(8, 3, 0.0);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 2));
    sim.run_until(30_000, "done", |sim| sim.done("j-000001"));
    let old = sim.leader().unwrap();
    sim.partition(old, CutScope::State, Cut::Reset);
    sim.run_until(9_000, "another leader", |sim| {
        sim.leader().is_some_and(|l| l != old)
    });
    // The old leader reaches neither the records nor any other node now.
    (0..3).for_each(|j| sim.partition(old, CutScope::Node(j), Cut::Reset));
    assert_eq!(sim.poll(old, "j-000001"), Some(JobState::Done));
}
