//! Warm failover: a leader crashes while machines are unresponsive, and a standby
//! takes over and schedules at once. A registered standby must know at least all
//! tasks that may be running; the simulation checks this invariant at every step.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind};
use simulation::{Cut, CutScope, LEASE, Net, STEP, Simulation, job};
use std::collections::BTreeSet;

/// A cluster with two warm standbys, and a service with two replicas per machine
/// on all machines but one.
fn cluster_with_warm_standbys(seed: u64, machines: usize, nodes: usize) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, machines, 0.0, nodes);
    sim.run_ms = 600_000;
    sim.run_until(10_000, "two standbys", |sim| registered_count(sim) == 2);
    let tasks = 2 * (machines as u32 - 1);
    sim.submit(job(1, Kind::Service, tasks));
    sim.run_until(20_000, "the service", |sim| {
        sim.running("j-000001") == tasks as usize
    });
    sim
}

/// Indices of the machines with fewer tasks than the two that fit on each.
fn machines_with_capacity(sim: &Simulation) -> Vec<usize> {
    let has_room = |m: &usize| sim.workers[*m].tasks.len() < 2;
    (0..sim.workers.len()).filter(has_room).collect()
}

fn registered_count(sim: &Simulation) -> usize {
    sim.registered_standbys().len()
}

fn await_other_leader(sim: &mut Simulation, old: usize) -> usize {
    sim.run_until(10_000, "a new leader", |sim| {
        sim.leader().is_some_and(|l| l != old)
    });
    sim.leader().unwrap()
}

/// A third of the machines is unresponsive when the leader crashes. The new leader
/// places pending tasks and new jobs on other machines at once, but no task that may
/// still run on an unresponsive machine.
#[test]
fn only_tasks_on_unresponsive_third_wait_after_failover() {
    for seed in 0..6 {
        let mut sim = cluster_with_warm_standbys(seed, 9, 3);
        // Only two of its four tasks fit until machines are added.
        sim.submit(job(2, Kind::Array, 4));
        sim.run_until(20_000, "two started", |sim| sim.running("j-000002") == 2);
        let starts = sim.starts;
        (0..3).for_each(|m| sim.workers[m].net = Net::Hold);
        sim.run(1_000);
        let old = sim.leader().unwrap();
        sim.crash(old, 20_000);
        let new = await_other_leader(&mut sim, old);
        let failover_at = sim.now;
        (0..2).for_each(|_| drop(sim.add_worker("a", false, 0)));
        sim.run_until(4_000, "four started", |sim| sim.running("j-000002") >= 4);
        sim.submit(job(3, Kind::Service, 2));
        sim.run_until(6_000, "the service", |sim| sim.running("j-000003") == 2);
        let new_leader = sim.nodes[new].leader.as_ref().unwrap();
        assert!(!new_leader.settled() && new_leader.is_warm(), "seed {seed}");
        // The machines come back before their leases expire: none of their tasks
        // was started elsewhere.
        assert!(sim.now < failover_at + 8_000);
        (0..3).for_each(|m| sim.restore_network(m));
        sim.run(LEASE + 5_000);
        assert_eq!(sim.running("j-000001"), 16, "seed {seed}");
        assert_eq!(sim.starts, starts + 4, "seed {seed}");
        sim.assert_no_violations();
    }
}

/// A third of the machines is unresponsive for good when the leader crashes: their
/// tasks are placed elsewhere once their leases have expired, and only once.
#[test]
fn tasks_on_unresponsive_machines_move_after_lease_expiry() {
    let mut sim = cluster_with_warm_standbys(10, 9, 3);
    (0..3).for_each(|m| sim.workers[m].net = Net::Lose);
    let old = sim.leader().unwrap();
    sim.crash(old, 20_000);
    await_other_leader(&mut sim, old);
    let reachable_tasks =
        |sim: &Simulation| (3..9).map(|m| sim.workers[m].tasks.len()).sum::<usize>();
    let before = reachable_tasks(&sim);
    sim.run(LEASE - 1_500);
    assert_eq!(
        reachable_tasks(&sim),
        before,
        "replaced tasks that may still run under their leases"
    );
    (0..3).for_each(|_| drop(sim.add_worker("a", false, 0)));
    sim.run(6_000);
    assert_eq!(sim.running("j-000001"), 16);
    sim.assert_no_violations();
}

/// The leader crashes at every step between a placement decision and the worker's
/// answer: replicated, acknowledged, sent, executed, answered. The machine then loses
/// its messages, gets them when it reconnects, or stays connected.
#[test]
fn leader_crash_at_any_start_step_breaks_nothing() {
    for net in [Net::Lose, Net::Hold, Net::Up] {
        for steps in 0..30 {
            let mut sim = cluster_with_warm_standbys(20 + steps, 4, 3);
            let terms = sim.terms;
            let free = machines_with_capacity(&sim);
            sim.submit(job(2, Kind::Array, 2));
            sim.run(steps * STEP);
            free.iter().for_each(|m| sim.workers[*m].net = net);
            let old = sim.leader().unwrap();
            sim.crash(old, 20_000);
            await_other_leader(&mut sim, old);
            assert_eq!(
                (sim.terms, sim.warm_failovers),
                (terms + 1, 1),
                "{net:?} {steps}"
            );
            sim.run(3_000);
            free.iter().for_each(|m| sim.restore_network(*m));
            sim.run(LEASE + 12_000);
            assert_eq!(sim.running("j-000001"), 6, "{net:?} {steps}");
            assert_eq!(sim.running("j-000002"), 2, "{net:?} {steps}");
            sim.assert_no_violations();
        }
    }
}

/// Workers execute start commands of the old leader under the new leader, up to a
/// minute late.
#[test]
fn late_start_command_is_safe_under_new_leader() {
    for delay in [1_000, 4_500, 6_000, 9_000, 15_000, 60_000] {
        let mut sim = cluster_with_warm_standbys(50, 4, 3);
        let free = machines_with_capacity(&sim);
        sim.direct_command_delay
            .extend(free.iter().map(|m| (*m, delay)));
        sim.submit(job(2, Kind::Array, 2));
        sim.run(400);
        let old = sim.leader().unwrap();
        free.iter().for_each(|m| sim.workers[*m].net = Net::Hold);
        sim.crash(old, 20_000);
        await_other_leader(&mut sim, old);
        sim.run(2_000);
        free.iter().for_each(|m| sim.restore_network(*m));
        sim.run(90_000);
        assert_eq!(sim.running("j-000002"), 2, "{delay}");
        sim.assert_no_violations();
    }
}

/// When the leader and all registered standbys crash, no replica is left: the next
/// leader waits for a heartbeat of each machine, or for its lease to expire.
#[test]
fn failover_is_cold_when_all_standbys_crash() {
    let mut sim = cluster_with_warm_standbys(60, 6, 7);
    let (old, standbys) = (sim.leader().unwrap(), sim.registered_standbys());
    sim.workers[0].net = Net::Hold;
    let terms = sim.terms;
    sim.crash(old, 20_000);
    standbys.iter().for_each(|i| sim.crash(*i, 20_000));
    let new = await_other_leader(&mut sim, old);
    assert!(!standbys.contains(&new));
    assert_eq!((sim.terms, sim.warm_failovers), (terms + 1, 0));
    sim.run(4_000);
    sim.restore_network(0);
    sim.run(LEASE);
    assert_eq!(sim.running("j-000001"), 10);
    sim.assert_no_violations();
}

/// A standby that takes over and crashes before it has started any task leaves the
/// standby record unchanged, so that the other standby is still warm.
#[test]
fn second_standby_is_warm_when_first_crashes() {
    for steps in 0..12 {
        let mut sim = cluster_with_warm_standbys(70 + steps, 6, 7);
        let terms = sim.terms;
        sim.workers[0].net = Net::Hold;
        let first = sim.leader().unwrap();
        sim.crash(first, 40_000);
        let second = await_other_leader(&mut sim, first);
        sim.run(steps * STEP);
        sim.crash(second, 40_000);
        sim.run_until(10_000, "a third leader", |sim| {
            sim.leader().is_some_and(|l| l != first && l != second)
        });
        assert_eq!((sim.terms, sim.warm_failovers), (terms + 2, 2), "{steps}");
        sim.restore_network(0);
        sim.run(LEASE + 5_000);
        assert_eq!(sim.running("j-000001"), 10);
        sim.assert_no_violations();
    }
}

/// A standby that was demoted before a task was started becomes leader: its replica
/// lacks that task, so it must not use it.
#[test]
fn demoted_standby_takes_over_cold() {
    let mut sim = cluster_with_warm_standbys(90, 4, 3);
    let old = sim.leader().unwrap();
    let (demoted, other) = (sim.registered_standbys()[0], sim.registered_standbys()[1]);
    sim.partition(old, CutScope::Node(demoted), Cut::Reset);
    sim.run_until(3_000, "demoted", |sim| sim.registered_standbys() == [other]);
    let free = machines_with_capacity(&sim);
    sim.submit(job(2, Kind::Array, 2));
    sim.run_until(5_000, "running", |sim| sim.running("j-000002") == 2);
    free.iter().for_each(|m| sim.workers[*m].net = Net::Hold);
    // The registered standby, which knows of the array's tasks, crashes as well.
    sim.crash(old, 20_000);
    sim.crash(other, 20_000);
    assert_eq!(await_other_leader(&mut sim, old), demoted);
    assert_eq!(sim.warm_failovers, 0);
    sim.run(5_000);
    free.iter().for_each(|m| sim.restore_network(*m));
    sim.run(LEASE);
    assert_eq!(sim.running("j-000002"), 2);
    sim.assert_no_violations();
}

/// A standby that hangs delays task starts for well under a second. A standby that
/// can't reach the state service stays registered, but another one becomes leader.
#[test]
fn hanging_standby_delays_starts_briefly() {
    let mut sim = cluster_with_warm_standbys(100, 5, 3);
    let hung = sim.registered_standbys()[0];
    sim.pause_process(hung, 30_000);
    sim.submit(job(2, Kind::Array, 2));
    let submitted_at = sim.now;
    sim.run_until(3_000, "running", |sim| sim.running("j-000002") == 2);
    assert!(
        sim.now <= submitted_at + 2_000,
        "started after {} ms",
        sim.now - submitted_at
    );
    sim.assert_no_violations();

    let mut sim = cluster_with_warm_standbys(101, 5, 3);
    let (old, disconnected) = (sim.leader().unwrap(), sim.registered_standbys()[0]);
    sim.store.refused_nodes.insert(disconnected);
    sim.workers[0].net = Net::Hold;
    sim.crash(old, 20_000);
    let new = await_other_leader(&mut sim, old);
    assert!(new != disconnected && sim.warm_failovers == 1);
    sim.restore_network(0);
    sim.run(LEASE);
    sim.assert_no_violations();
}

/// A standby that restarts under its old name has no replica, though the standby
/// record still names that node: it takes over cold.
#[test]
fn restarted_standby_is_not_treated_as_registered() {
    for pause in [0, 100, 300, 1_000] {
        let mut sim = cluster_with_warm_standbys(110, 4, 3);
        let (old, restarted) = (sim.leader().unwrap(), sim.registered_standbys()[0]);
        let other = sim.registered_standbys()[1];
        sim.workers[0].net = Net::Hold;
        // The standby record can't be written, so it still names both standbys.
        sim.store.unavailable = true;
        sim.crash(restarted, 50);
        sim.run(100 + pause);
        sim.crash(old, 20_000);
        sim.crash(other, 20_000);
        sim.store.unavailable = false;
        assert_eq!(await_other_leader(&mut sim, old), restarted);
        assert_eq!(sim.warm_failovers, 0, "{pause}");
        sim.run(1_000);
        sim.restore_network(0);
        sim.run(LEASE + 5_000);
        assert_eq!(sim.running("j-000001"), 6);
        sim.assert_no_violations();
    }
}

/// While the state service is unavailable no standby can be demoted: a task whose
/// change a registered standby has not acknowledged is started only after the outage.
#[test]
fn starts_wait_for_lost_standby_during_outage() {
    let mut sim = cluster_with_warm_standbys(120, 5, 3);
    let standby = sim.registered_standbys()[0];
    sim.submit(job(2, Kind::Array, 1));
    sim.run_until(5_000, "running", |sim| sim.running("j-000002") == 1);
    sim.run(1_000);
    sim.store.unavailable = true;
    sim.crash(standby, 60_000);
    // The job's record is stored all the same, so that only its start is left.
    let leader = sim.leader().unwrap();
    let spec = job(3, Kind::Array, 1);
    sim.specs.insert(spec.id.clone(), spec.clone());
    let now = sim.now;
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    let (txn, record) = leader_state.acceptance(&spec, None, now);
    sim.store.unavailable = false;
    let version = sim.store.apply(&txn).unwrap();
    sim.store.unavailable = true;
    leader_state.accepted(record, version, now);
    sim.run(2_000);
    assert_eq!(
        sim.running("j-000003"),
        0,
        "started without the acknowledgement of a registered standby"
    );
    sim.store.unavailable = false;
    sim.run_until(10_000, "started", |sim| sim.running("j-000003") == 1);
    sim.assert_no_violations();
}

/// A write of the standby record that is applied late, or lost, is indeterminate: the
/// standbys that it names count as registered from when it is sent until it can't be
/// applied any more.
#[test]
fn late_registry_write_registers_no_uninformed_standby() {
    for delay in [200, 1_000, 1_600, 3_000, 8_000] {
        let mut sim = cluster_with_warm_standbys(130, 5, 3);
        let standby = sim.registered_standbys()[0];
        sim.store.late_registry_writes.push(delay);
        sim.crash(standby, 1_000);
        sim.submit(job(2, Kind::Array, 2));
        sim.run(4_000);
        sim.store.late_registry_writes.push(delay);
        sim.run(12_000);
        assert_eq!(sim.running("j-000002"), 2, "{delay}");
        assert_eq!(registered_count(&sim), 2, "{delay}");
        sim.assert_no_violations();
    }
}

/// All controllers are restarted one after the other: every failover is warm.
#[test]
fn every_failover_is_warm_in_rolling_restart() {
    for (seed, nodes) in [(140, 3), (141, 7)] {
        let mut sim = cluster_with_warm_standbys(seed, 6, nodes);
        let terms = sim.terms;
        for i in 0..nodes {
            sim.workers[i % 6].net = Net::Hold;
            sim.crash(i, 3_000);
            sim.run(10_000);
            sim.restore_network(i % 6);
        }
        assert!(sim.terms > terms);
        assert_eq!(sim.warm_failovers, sim.terms - terms, "{nodes} nodes");
        sim.run(LEASE);
        assert_eq!(sim.running("j-000001"), 10);
        sim.assert_no_violations();
    }
}

/// A leader that the state service refuses resigns, and its successor is warm.
#[test]
fn refused_leader_hands_over_to_warm_standby() {
    let mut sim = cluster_with_warm_standbys(150, 6, 7);
    let (old, terms) = (sim.leader().unwrap(), sim.terms);
    sim.workers[0].net = Net::Hold;
    sim.store.refused_nodes.insert(old);
    await_other_leader(&mut sim, old);
    assert_eq!((sim.terms, sim.warm_failovers), (terms + 1, 1));
    sim.store.refused_nodes.clear();
    sim.restore_network(0);
    sim.run(LEASE);
    sim.assert_no_violations();
}

/// A leader is placed unfavourably when the process of the node that workers try next
/// after the leader hangs. The leader yields to a node that has come back only once
/// that node is warm.
#[test]
fn unfavourably_placed_leader_yields_only_to_warm_standby() {
    let mut sim = cluster_with_warm_standbys(155, 6, 3);
    let (old, terms) = (sim.leader().unwrap(), sim.terms);
    let (successor, hung) = ((old + 1) % 3, (old + 2) % 3);
    sim.pause_process(hung, 40_000);
    sim.workers[0].net = Net::Hold;
    sim.crash(old, 6_000);
    // After its restart the node receives no replication for a while.
    sim.old_version_nodes.insert(old);
    assert_eq!(await_other_leader(&mut sim, old), successor);
    sim.run(3_000);
    assert_eq!(sim.leader(), Some(successor));
    sim.old_version_nodes.clear();
    sim.run_until(12_000, "it leads again", |sim| sim.leader() == Some(old));
    assert_eq!((sim.terms, sim.warm_failovers), (terms + 2, 2));
    sim.restore_network(0);
    sim.run(LEASE);
    assert_eq!(sim.running("j-000001"), 10);
    sim.assert_no_violations();
}

/// A task that completed, but whose completion the old leader could not record, is
/// not run again by a new leader that schedules before it hears from the machine.
#[test]
fn unrecorded_completion_is_not_rerun_after_failover() {
    let mut sim = cluster_with_warm_standbys(160, 4, 3);
    sim.run_ms = 3_000;
    sim.submit(job(2, Kind::Array, 2));
    sim.run_until(8_000, "running", |sim| sim.running("j-000002") == 2);
    let (old, starts) = (sim.leader().unwrap(), sim.starts);
    let machine = sim.workers.iter().position(|m| {
        let is_array_task = |t: &simulation::Task| t.name.starts_with("j-000002");
        m.tasks.iter().any(is_array_task)
    });
    // The leader hears of the completions, but can't record them.
    sim.run_until(6_000, "both tasks completed", |sim| sim.finished.len() == 2);
    sim.store.unavailable = true;
    sim.run(600);
    sim.workers[machine.unwrap()].net = Net::Hold;
    sim.crash(old, 20_000);
    sim.store.unavailable = false;
    await_other_leader(&mut sim, old);
    sim.run_until(5_000, "the completion recorded", |sim| sim.done("j-000002"));
    assert_eq!(sim.starts, starts);
    sim.restore_network(machine.unwrap());
    sim.run(LEASE);
    sim.assert_no_violations();
}

/// A job is cancelled during a failover, while tasks of it are on unresponsive
/// machines: its final record is written only when these tasks are gone.
#[test]
fn cancellation_during_failover_ends_after_tasks_stop() {
    for reconnects in [false, true] {
        let mut sim = cluster_with_warm_standbys(170, 6, 3);
        let old = sim.leader().unwrap();
        (0..2).for_each(|m| sim.workers[m].net = Net::Hold);
        sim.crash(old, 20_000);
        sim.run(2_000);
        sim.cancel("j-000001");
        assert!(
            !sim.done("j-000001"),
            "its tasks on unresponsive machines may still run"
        );
        let new = sim.leader().unwrap();
        assert_eq!(sim.poll(new, "j-000001"), Some(JobState::Cancelled));
        if reconnects {
            (0..2).for_each(|m| sim.restore_network(m));
        }
        sim.run_until(LEASE + 8_000, "a final state", |sim| sim.done("j-000001"));
        (0..2).for_each(|m| sim.restore_network(m));
        sim.run(10_000);
        assert_eq!(sim.running("j-000001"), 0);
        sim.assert_no_violations();
    }
}

/// Team limits, zone rules and gangs count tasks that may run on unresponsive machines.
#[test]
fn constraints_count_tasks_on_unresponsive_machines() {
    for seed in 180..184 {
        let mut sim = Simulation::with_nodes(seed, 8, 48.0, 3);
        sim.run_ms = 600_000;
        sim.run_until(10_000, "two standbys", |sim| registered_count(sim) == 2);
        let mut spread = job(1, Kind::Service, 4);
        spread.spread = true;
        sim.submit(spread);
        let mut gang = job(2, Kind::Gang, 3);
        gang.single_zone = true;
        sim.submit(gang);
        sim.submit(job(3, Kind::Array, 40));
        // 12 tasks of 4 CPUs reach the team's limit of 48 CPUs.
        sim.run_until(30_000, "the team's limit reached", |sim| {
            let all = sim.running("j-000001") + sim.running("j-000002") + sim.running("j-000003");
            all == 12
        });
        (0..8)
            .step_by(2)
            .for_each(|m| sim.workers[m].net = Net::Hold);
        let old = sim.leader().unwrap();
        sim.crash(old, 20_000);
        await_other_leader(&mut sim, old);
        sim.run(6_000);
        assert_eq!(sim.warm_failovers, 1);
        // Nothing that may run on the unresponsive machines is started elsewhere.
        (0..8).for_each(|m| sim.restore_network(m));
        sim.run(6_000);
        assert_eq!(
            sim.running("j-000002"),
            3,
            "seed {seed}: the gang keeps running"
        );
        sim.assert_no_violations();
    }
}

/// A controller of a version without standbys would lead, and start tasks, without
/// changing the standby record. No standby is registered until every controller is
/// known to run a version that supports standbys.
#[test]
fn no_standby_is_registered_beside_old_controller() {
    let mut sim = Simulation::with_nodes(190, 4, 0.0, 3);
    sim.old_version_nodes.insert(2);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Service, 4));
    sim.run_until(10_000, "the service", |sim| sim.running("j-000001") == 4);
    sim.run(5_000);
    assert_eq!(registered_count(&sim), 0);
    sim.old_version_nodes.clear();
    sim.run_until(5_000, "two standbys", |sim| registered_count(sim) == 2);
    // The standby record now says so: a node that is down no longer prevents
    // registrations.
    let (old, other) = (sim.leader().unwrap(), sim.registered_standbys()[0]);
    sim.crash(other, 600_000);
    sim.run(1_000);
    sim.crash(old, 10_000);
    await_other_leader(&mut sim, old);
    sim.run_until(20_000, "one standby", |sim| registered_count(sim) == 1);
    sim.assert_no_violations();
}

/// The checkers of the simulation detect a standby that acknowledges an update and
/// loses it.
#[test]
fn checker_detects_standby_that_loses_updates() {
    let mut sim = Simulation::with_nodes(200, 4, 0.0, 3);
    sim.run_ms = 600_000;
    sim.run_until(10_000, "two standbys", |sim| registered_count(sim) == 2);
    sim.replica_loses_updates = true;
    sim.submit(job(1, Kind::Service, 2));
    sim.run(5_000);
    assert!(!sim.violations.is_empty());
}

/// Random runs in which leaders and standbys crash, pause and are partitioned from
/// each other, replication parts are lost or duplicated, the standby record is written
/// late, and machines become unresponsive and come back. SEEDS sets the number of
/// runs; SEEDS=2000 is for runs by hand.
#[test]
fn random_leader_changes_leave_no_standby_uninformed() {
    let seeds = std::env::var("SEEDS").map_or(24, |n| n.parse().unwrap());
    let (mut terms, mut warm) = (0, 0);
    for seed in 0..seeds {
        let sim = random_leader_changes(3_000 + seed, if seed % 3 == 2 { 7 } else { 3 });
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        assert!(sim.starts > 30, "seed {seed}: {}", sim.starts);
        (terms, warm) = (terms + sim.terms, warm + sim.warm_failovers);
    }
    println!("{seeds} runs, {terms} terms, {warm} warm failovers");
    assert!(warm * 3 > terms, "{warm} warm failovers in {terms} terms");
}

fn random_leader_changes(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, 8, 56.0, nodes);
    sim.replication_loss_percent = 8;
    sim.cloud_grants = true;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    let mut partitioned: BTreeSet<usize> = BTreeSet::new();
    for n in 1..40 {
        let kind = [Kind::Array, Kind::Service, Kind::Gang][sim.rng.usize(..3)];
        let tasks = sim.rng.u32(1..6);
        let mut spec = job(n, kind, tasks);
        spec.spread = sim.rng.u8(..4) == 0;
        spec.single_zone = !spec.spread && sim.rng.u8(..4) == 0;
        sim.submit(spec);
        let pause = sim.rng.u64(0..20) * STEP;
        sim.run(pause);
        let leader = sim.leader();
        let standby = sim.registered_standbys().first().copied();
        let any_node = sim.rng.usize(..nodes);
        match sim.rng.u8(..11) {
            0..3 => {
                // Some machines become unresponsive, then the leader crashes.
                for _ in 0..sim.rng.usize(1..4) {
                    let machine = sim.rng.usize(..sim.workers.len());
                    sim.workers[machine].net = [Net::Hold, Net::Lose][sim.rng.usize(..2)];
                }
                let pause = sim.rng.u64(0..40) * STEP;
                sim.run(pause);
                leader.into_iter().for_each(|i| sim.crash(i, 3_000));
            }
            3 => {
                leader.into_iter().for_each(|i| sim.crash(i, 3_000));
                standby.into_iter().for_each(|i| sim.crash(i, 3_000));
            }
            4 => standby.into_iter().for_each(|i| sim.crash(i, 3_000)),
            5 => {
                let target = if sim.rng.bool() { leader } else { standby };
                let ms = [300, 1_000, 5_000, 12_000][sim.rng.usize(..4)];
                target.into_iter().for_each(|i| sim.pause_process(i, ms));
            }
            6 => {
                if let (Some(from), Some(to)) = (leader, standby) {
                    let cut = if sim.rng.bool() {
                        Cut::Hold
                    } else {
                        Cut::Reset
                    };
                    sim.partition(from, CutScope::Node(to), cut);
                    partitioned.insert(from);
                }
            }
            7 => {
                let write_delay = sim.rng.u64(100..9_000);
                sim.store.late_registry_writes.push(write_delay);
                sim.store.late_writes.push(write_delay);
            }
            8 => {
                let machine = sim.rng.usize(..sim.workers.len());
                let delay = sim.rng.u64(50..15_000);
                sim.direct_command_delay.insert(machine, delay);
            }
            9 => {
                sim.store.unavailable = true;
                let ms = sim.rng.u64(500..6_000);
                if sim.rng.bool() {
                    standby.into_iter().for_each(|i| sim.crash(i, 3_000));
                }
                sim.run(ms);
                sim.store.unavailable = false;
            }
            _ => {
                sim.partition(any_node, CutScope::State, Cut::Hold);
                partitioned.insert(any_node);
            }
        }
        let ms = sim.rng.u64(100..7_000);
        sim.run(ms);
        if sim.rng.bool() {
            partitioned.iter().for_each(|i| sim.end_partitions(*i));
            partitioned.clear();
        }
        if sim.rng.u8(..3) == 0 {
            (0..sim.workers.len()).for_each(|m| sim.restore_network(m));
        }
        if n > 6 {
            partitioned.iter().for_each(|i| sim.end_partitions(*i));
            partitioned.clear();
            sim.cancel(&format!("j-{:06}", n - 6));
        }
        for i in 0..nodes {
            let id = format!("j-{:06}", sim.rng.u32(1..=n));
            sim.poll(i, &id);
        }
    }
    sim
}
