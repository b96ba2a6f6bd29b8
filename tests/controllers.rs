//! Scenarios of controllers that pause, become unresponsive or are partly
//! partitioned, against a simulated cluster.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind, Priority};
use simulation::{Cut, CutScope, Simulation, job};

/// Services on all machines, led for a while.
fn cluster_with_services(seed: u64, nodes: usize) -> Simulation {
    let mut w = Simulation::with_nodes(seed, 8, 0.0, nodes);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    for n in 1..5 {
        let mut service = job(n, Kind::Service, 3);
        service.priority = Priority::Production;
        w.submit(service);
    }
    w.run_until(20_000, "all run", |w| running(w) == 12);
    // Reports and renewals fall differently each time.
    let some = w.rng.u64(0..2_000);
    w.run(15_000 + some);
    (w.expired_tasks, w.terms, w.machines_requested) = (0, 0, 0);
    w.returned.clear();
    w
}

fn running(w: &Simulation) -> usize {
    (1..5).map(|n| w.running(&format!("j-{n:06}"))).sum()
}

/// Nothing was lost, rented or returned, and leadership has settled.
fn assert_undisturbed(w: &mut Simulation, what: &str, most_terms: u32) {
    assert_eq!(w.expired_tasks, 0, "{what}: tasks killed by leases");
    assert_eq!(running(w), 12, "{what}");
    assert_eq!(w.machines_requested, 0, "{what}: nothing was missing");
    assert!(w.returned.is_empty(), "{what}: {:?}", w.returned);
    assert!(w.terms <= most_terms, "{what}: {} terms", w.terms);
    assert!(w.leader().is_some(), "{what}");
    w.assert_no_violations();
}

#[test]
fn process_pause_of_leader_breaks_no_invariant() {
    for (seed, ms) in (0..24).flat_map(|s| [(s, 1_500), (s, 3_300), (s, 5_000), (s, 20_000)]) {
        for nodes in [3, 7] {
            let mut w = cluster_with_services(100 + seed, nodes);
            let leader = w.leader().unwrap();
            w.pause_process(leader, ms);
            w.run(ms + 15_000);
            let most = if ms < 3_000 { 0 } else { 1 };
            assert_undisturbed(
                &mut w,
                &format!("seed {seed}, {ms} ms, {nodes} nodes"),
                most,
            );
        }
    }
}

#[test]
fn queued_heartbeats_never_make_machine_unresponsive() {
    for seed in 0..10 {
        let mut w = cluster_with_services(150 + seed, 3);
        let leader = w.leader().unwrap();
        w.pause_process(leader, 3_300);
        let end = w.now + 6_000;
        while w.now < end {
            w.step();
            let now = w.now;
            if w.leader() == Some(leader) && w.reaches(leader) {
                let l = w.nodes[leader].leader.as_ref().unwrap();
                assert_eq!(
                    l.overdue_machines(now).0,
                    Vec::<String>::new(),
                    "seed {seed}"
                );
                assert!(!l.cluster.each_machine().any(|m| m.overdue), "seed {seed}");
            }
        }
        assert_undisturbed(&mut w, &format!("seed {seed}"), 0);
    }
}

/// Guards against two unresponsive nodes in a row in the order in which workers try
/// them: that takes as long as their lease.
#[test]
fn leader_yields_when_redirect_target_is_unresponsive() {
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut w = cluster_with_services(250 + seed, nodes);
        let leader = w.leader().unwrap();
        w.partition((leader + 1) % nodes, CutScope::All, Cut::Hold);
        w.run(20_000);
        let moved = w.leader().unwrap();
        assert_ne!(moved, leader);
        w.run(60_000);
        assert_eq!(w.leader(), Some(moved), "once is enough");
        w.partition(moved, CutScope::All, Cut::Hold);
        w.run(30_000);
        (0..nodes).for_each(|i| w.end_partitions(i));
        w.run(20_000);
        assert_undisturbed(&mut w, &format!("seed {seed}, {nodes} nodes"), 4);
    }
}

/// Guards against sending workers to a leader that is only remembered: the
/// key of an unresponsive leader stands for as long as the state service is down, and
/// 4 s more.
#[test]
fn workers_are_redirected_to_responsive_nodes_until_election() {
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut w = cluster_with_services(270 + seed, nodes);
        let leader = w.leader().unwrap();
        w.partition(leader, CutScope::All, Cut::Hold);
        w.store.unavailable = true;
        w.run(2_500);
        w.store.unavailable = false;
        w.run(40_000);
        w.end_partitions(leader);
        w.run(20_000);
        assert_undisturbed(&mut w, &format!("seed {seed}, {nodes} nodes"), 2);
    }
}

/// Guards against the loss of authority, and of all leases, in an outage in
/// which one node hangs: it promises nothing, but the store exclusions it.
#[test]
fn leader_survives_outage_when_one_node_hangs() {
    for (seed, nodes) in (0..6).flat_map(|s| [(s, 3), (s, 7)]) {
        for away in 1..nodes {
            let mut w = cluster_with_services(280 + seed, nodes);
            let leader = w.leader().unwrap();
            w.partition((leader + away) % nodes, CutScope::All, Cut::Hold);
            w.run(8_000);
            w.store.unavailable = true;
            w.run(20_000);
            w.store.unavailable = false;
            w.run(20_000);
            (0..nodes).for_each(|i| w.end_partitions(i));
            w.run(20_000);
            let what = format!("seed {seed}, {nodes} nodes, {away} after the leader");
            assert_undisturbed(&mut w, &what, 1);
            assert!(w.store.kv.keys().all(|k| !k.starts_with("x/")), "{what}");
        }
    }
}

/// The excluded node comes back and reaches the state service while no other
/// node does: it must not lead beside them.
#[test]
fn excluded_node_never_leads_when_alone_reaching_store() {
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut w = cluster_with_services(320 + seed, nodes);
        let leader = w.leader().unwrap();
        let hung = (leader + nodes - 1) % nodes;
        w.partition(hung, CutScope::All, Cut::Hold);
        w.run(8_000);
        for i in (0..nodes).filter(|i| *i != hung) {
            w.partition(i, CutScope::State, Cut::Hold);
            w.partition(i, CutScope::Node(hung), Cut::Hold);
        }
        // Its cut from the state service alone ends.
        w.end_partitions(hung);
        let end = w.now + 60_000;
        while w.now < end {
            let now = w.now;
            let acting = |i: &usize| w.nodes[*i].election.authority(now).is_some();
            let leaders = (0..nodes).filter(acting).count();
            assert!(leaders <= 1, "seed {seed}, {nodes} nodes: {leaders} lead");
            w.step();
        }
        assert_eq!(w.leader(), Some(hung), "once the bar has ended");
        w.assert_no_violations();
    }
}

/// Guards against sending a worker to a leader that can't hear it: the node
/// that it asks is itself cut off from the state service, and knows only from
/// the others who leads.
#[test]
fn node_redirects_workers_when_cut_from_store() {
    for seed in 0..8 {
        let mut w = cluster_with_services(290 + seed, 3);
        let first = w.leader().unwrap();
        w.partition(first, CutScope::State, Cut::Hold);
        // The one that leads next is tried before the first.
        w.crash((first + 1) % 3, 3_000);
        w.run(12_000);
        let second = w.leader().unwrap();
        assert_eq!((second + 1) % 3, first);
        w.partition(second, CutScope::Workers, Cut::Hold);
        w.run(30_000);
        (0..3).for_each(|i| w.end_partitions(i));
        w.run(20_000);
        assert_undisturbed(&mut w, &format!("seed {seed}"), 2);
    }
}

#[test]
fn replaced_leader_disturbs_nothing_when_it_returns() {
    for seed in 0..8 {
        let mut w = cluster_with_services(200 + seed, 3);
        let old = w.leader().unwrap();
        w.partition(old, CutScope::All, Cut::Hold);
        w.run_until(6_000, "another leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.run(90_000);
        w.end_partitions(old);
        w.run(20_000);
        // It goes once more where the workers' next node answers, at most.
        assert_undisturbed(&mut w, &format!("seed {seed}"), 2);
    }
}

#[test]
fn paused_and_unresponsive_nodes_break_no_invariant() {
    // The second fault hits whoever leads 10 s after the first.
    for (seed, ms) in (0..10).flat_map(|s| [(s, 5_000), (s, 20_000), (s, 90_000)]) {
        for nodes in [3, 7] {
            let mut w = cluster_with_services(300 + seed, nodes);
            let first = w.leader().unwrap();
            w.partition(first, CutScope::All, Cut::Hold);
            w.run(10_000);
            let second = w.leader().unwrap();
            w.pause_process(second, ms);
            w.run(ms.min(30_000));
            w.end_partitions(first);
            w.run(ms + 20_000);
            let what = format!("seed {seed}, {ms} ms, {nodes} nodes");
            assert_undisturbed(&mut w, &what, 4);
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
                let mut w = cluster_with_services(400, nodes);
                let leader = w.leader().unwrap();
                w.partition(leader, side, how);
                w.run(40_000);
                w.end_partitions(leader);
                w.run(20_000);
                assert_undisturbed(&mut w, &format!("{side:?} {how:?}, {nodes} nodes"), 1);
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
            let mut w = cluster_with_services(500, 3);
            let first = w.leader().unwrap();
            w.partition(first, a, how);
            w.run(10_000);
            let second = w.leader().unwrap();
            w.partition(second, b, how);
            w.run(30_000);
            (0..3).for_each(|i| w.end_partitions(i));
            w.run(20_000);
            assert_undisturbed(&mut w, &format!("{a:?}, {b:?}, {how:?}"), 4);
        }
    }
}

/// Guards against a leader that tells, from memory, less than another node
/// has read and told: it learns late that the end of the job is recorded.
#[test]
fn only_records_answer_while_completion_is_written() {
    let mut w = Simulation::new(7, 3, 0.0);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(job(1, Kind::Array, 1));
    w.run_until(20_000, "it runs", |w| w.running("j-000001") == 1);
    let leader = w.leader().unwrap();
    let other = (leader + 1) % 3;
    w.partition(other, CutScope::Node(leader), Cut::Reset);
    // Applied, but its answer is lost.
    w.store.late_writes = vec![50; 40];
    let id = "j-000001";
    let tell = |w: &mut Simulation| w.poll(other, id) == Some(JobState::Done);
    let end = w.now + 20_000;
    while !tell(&mut w) {
        assert!(w.now < end);
        w.step();
    }
    w.nodes[leader].election.authority(w.now).expect("leads on");
    assert_eq!(w.poll(leader, id), Some(JobState::Done));
    w.assert_no_violations();
}

#[test]
fn final_states_survive_failover() {
    let mut w = Simulation::new(8, 3, 0.0);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(job(1, Kind::Array, 2));
    w.run_until(30_000, "done", |w| w.done("j-000001"));
    let old = w.leader().unwrap();
    w.partition(old, CutScope::State, Cut::Reset);
    w.run_until(9_000, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    // It reaches neither the records nor, now, any other node.
    (0..3).for_each(|j| w.partition(old, CutScope::Node(j), Cut::Reset));
    assert_eq!(w.poll(old, "j-000001"), Some(JobState::Done));
}
