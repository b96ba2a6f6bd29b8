//! Short failure scenarios, each against a simulated cluster: failover, outages of the
//! state service, late messages and late transactions.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind, Priority};
use simulation::{LEASE, Net, Simulation, job, whole_machines};

/// A cluster on which the service j-000001 runs `tasks` tasks.
fn cluster_with_service(seed: u64, machines: usize, tasks: u32) -> Simulation {
    let mut sim = Simulation::with_leader(seed, machines, 0.0);
    sim.submit(job(1, Kind::Service, tasks));
    sim.run_until(20_000, "running", |sim| {
        sim.running("j-000001") == tasks as usize
    });
    sim
}

#[test]
fn batch_stays_done_after_full_restart() {
    let mut sim = Simulation::with_leader(1, 3, 0.0);
    sim.submit(job(1, Kind::Array, 9));
    sim.run_until(60_000, "done", |sim| sim.done("j-000001"));
    for i in 0..3 {
        assert_eq!(sim.poll(i, "j-000001"), Some(JobState::Done));
    }
    // The answer is the same after all controllers have restarted.
    for i in 0..3 {
        sim.crash(i, 3_000);
    }
    sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
    sim.run(5_000);
    assert_eq!(sim.poll(0, "j-000001"), Some(JobState::Done));
    assert_eq!(sim.starts, 9);
    sim.assert_no_violations();
}

#[test]
fn new_leader_awaits_lease_expiry_before_replacing_tasks() {
    let mut sim = cluster_with_service(2, 3, 4);
    let old = sim.leader().unwrap();
    let lost_machine = sim
        .workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .unwrap();
    sim.workers[lost_machine].net = Net::Lose;
    sim.crash(old, 3_000);
    sim.run_until(40_000, "running elsewhere", |sim| {
        sim.running("j-000001") == 4 && sim.workers[lost_machine].tasks.is_empty()
    });
    sim.assert_no_violations();
}

#[test]
fn checker_detects_leader_that_skips_lease_wait() {
    let mut sim = Simulation::with_leader(2, 3, 0.0);
    sim.skip_lease_wait = true;
    sim.submit(job(1, Kind::Service, 4));
    sim.run_until(20_000, "running", |sim| sim.running("j-000001") == 4);
    let old = sim.leader().unwrap();
    let lost_machine = sim
        .workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .unwrap();
    sim.workers[lost_machine].net = Net::Lose;
    sim.crash(old, 3_000);
    sim.run(20_000);
    assert!(sim.violations.iter().any(|b| b.starts_with("ran_twice")));
}

#[test]
fn delayed_heartbeats_are_ignored() {
    let mut sim = cluster_with_service(3, 3, 2);
    let disconnected = sim
        .workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .unwrap();
    // The machine's heartbeats are held, its tasks are killed by lease expiry and run
    // elsewhere; then the old heartbeats arrive and still list them.
    sim.workers[disconnected].net = Net::Hold;
    sim.run(LEASE + 5_000);
    let old = sim.leader().unwrap();
    sim.crash(old, 3_000);
    sim.run(10_000);
    sim.restore_network(disconnected);
    sim.run(20_000);
    assert_eq!(sim.running("j-000001"), 2);
    sim.assert_no_violations();
}

#[test]
fn late_direct_command_starts_no_task_twice() {
    for delay in [1_000, 2_500, 6_000, 30_000] {
        let mut sim = Simulation::with_leader(4, 2, 0.0);
        sim.direct_command_delay.insert(0, delay);
        sim.direct_command_delay.insert(1, delay);
        for n in 1..6 {
            sim.submit(job(n, Kind::Array, 4));
        }
        sim.run_until(120_000, "all done", |sim| {
            (1..6).all(|n| sim.done(&format!("j-{n:06}")))
        });
        sim.run(40_000);
        sim.assert_no_violations();
    }
}

#[test]
fn store_outage_beyond_lease_stops_no_task() {
    let mut sim = cluster_with_service(5, 3, 4);
    let incarnations: Vec<u64> = sim.workers.iter().map(|m| m.incarnation).collect();
    sim.store.unavailable = true;
    sim.run(25_000);
    sim.store.unavailable = false;
    sim.run(10_000);
    let after: Vec<u64> = sim.workers.iter().map(|m| m.incarnation).collect();
    assert_eq!(incarnations, after, "leases expired during the outage");
    assert_eq!(sim.running("j-000001"), 4);
    sim.assert_no_violations();
}

#[test]
fn outage_with_node_down_breaks_no_invariant() {
    let mut sim = cluster_with_service(6, 3, 4);
    let leader = sim.leader().unwrap();
    sim.crash((leader + 1) % 3, 60_000);
    sim.store.unavailable = true;
    sim.run(20_000);
    sim.store.unavailable = false;
    sim.run_until(30_000, "running again", |sim| sim.running("j-000001") == 4);
    sim.assert_no_violations();
}

#[test]
fn leader_refused_by_store_yields_at_once() {
    let mut sim = cluster_with_service(7, 3, 4);
    let old = sim.leader().unwrap();
    sim.store.refused_nodes.insert(old);
    sim.run_until(1_500, "a new leader", |sim| {
        sim.leader().is_some_and(|l| l != old)
    });
    sim.run(15_000);
    assert_eq!(sim.running("j-000001"), 4);
    assert_eq!(sim.starts, 4);
    sim.assert_no_violations();
}

#[test]
fn tasks_survive_crash_of_all_controllers() {
    let mut sim = cluster_with_service(8, 3, 4);
    for i in 0..3 {
        sim.crash(i, 6_000);
    }
    sim.run(30_000);
    assert_eq!(sim.running("j-000001"), 4);
    assert_eq!(sim.starts, 4, "a worker's lease expired");
    sim.assert_no_violations();
}

#[test]
fn late_transaction_undoes_no_completion() {
    for ms in [500, 1_400, 3_000, 20_000] {
        let mut sim = Simulation::with_leader(9, 3, 0.0);
        sim.submit(job(1, Kind::Array, 8));
        for _ in 0..40 {
            sim.store.late_writes.push(ms);
            sim.run(400);
        }
        sim.store.late_writes.clear();
        sim.run_until(90_000, &format!("done, {ms}ms"), |sim| sim.done("j-000001"));
        sim.run(25_000);
        assert_eq!(sim.poll(0, "j-000001"), Some(JobState::Done));
        sim.assert_no_violations();
    }
}

#[test]
fn racing_cancellation_and_completion_agree() {
    let mut cancelled = 0;
    for seed in 0..12 {
        let mut sim = Simulation::with_leader(100 + seed, 3, 0.0);
        sim.submit(job(1, Kind::Array, 2));
        sim.run(5_000 + seed * 250);
        if seed % 2 == 0 {
            sim.store.late_writes.push(900);
        }
        sim.cancel("j-000001");
        let first = sim.answered["j-000001"].0;
        cancelled += u32::from(first == JobState::Cancelled);
        for _ in 0..40 {
            for i in 0..3 {
                sim.poll(i, "j-000001");
            }
            sim.run(1_000);
        }
        sim.assert_no_violations();
    }
    assert!(
        (1..12).contains(&cancelled),
        "both outcomes must occur: {cancelled} of 12 jobs cancelled"
    );
}

#[test]
fn cancelled_job_stops_in_time_despite_delayed_launch() {
    let mut sim = Simulation::with_leader(10, 2, 0.0);
    sim.run(2_000);
    sim.direct_command_delay.insert(0, 20_000);
    sim.direct_command_delay.insert(1, 20_000);
    sim.submit(job(1, Kind::Service, 2));
    sim.run(200);
    sim.cancel("j-000001");
    sim.run(60_000);
    assert_eq!(sim.running("j-000001"), 0);
    sim.assert_no_violations();
}

#[test]
fn vanished_machine_is_awaited_by_one_leader_only() {
    let mut sim = Simulation::with_leader(16, 3, 0.0);
    sim.run(2_000);
    sim.workers[1].alive = false;
    for round in 0..2 {
        let old = sim.leader().unwrap();
        sim.crash(old, 3_000);
        sim.run_until(10_000, "a new leader", |sim| {
            sim.leader().is_some_and(|l| l != old)
        });
        sim.run(4_000);
        let new = sim.leader().unwrap();
        let settled = sim.nodes[new].leader.as_ref().unwrap().settled();
        assert_eq!(settled, round == 1, "round {round}");
        sim.run(30_000);
    }
    sim.assert_no_violations();
}

#[test]
fn machine_quarantine_survives_failover() {
    let mut sim = Simulation::with_leader(25, 2, 0.0);
    // A task of the service runs on each machine, so that none is empty and released.
    let mut service = job(1, Kind::Service, 2);
    service.spread = true;
    sim.submit(service);
    sim.run_until(20_000, "the service", |sim| sim.running("j-000001") == 2);
    sim.workers[0].fails_tasks = true;
    for n in 2..6 {
        sim.submit(job(n, Kind::Array, 2));
    }
    sim.run_until(60_000, "a quarantined machine", |sim| {
        let machines = sim.store.kv.range("m/".to_owned()..);
        let mut machines = machines.take_while(|(k, _)| k.starts_with("m/"));
        machines.any(|(_, (v, _))| v["q"] == true)
    });
    let failed = sim.failed;
    let old = sim.leader().unwrap();
    sim.crash(old, 3_000);
    for n in 6..9 {
        sim.submit(job(n, Kind::Array, 2));
    }
    sim.run_until(120_000, "all done on the other machine", |sim| {
        (2..9).all(|n| sim.done(&format!("j-{n:06}")))
    });
    assert_eq!(
        sim.failed, failed,
        "a task was started on the quarantined machine"
    );
    sim.assert_no_violations();
}

#[test]
fn hundred_thousand_task_job_survives_failover() {
    let mut sim = Simulation::with_leader(14, 4, 0.0);
    let mut big = job(1, Kind::Array, 100_000);
    big.estimate_s = 1.0;
    sim.run_ms = 50;
    sim.submit(big);
    sim.run(20_000);
    let old = sim.leader().unwrap();
    // Completes the last tasks, so that the last chunk of the completion bitmap is
    // written too, and read back by the next leader.
    for task in 99_990..100_000 {
        let leader_state = sim.nodes[old].leader.as_mut().unwrap();
        let handle = leader_state.cluster.job_handle("j-000001").unwrap();
        leader_state
            .cluster
            .job_mut(handle)
            .unwrap()
            .mark_done(task);
    }
    sim.run(2_000);
    let before = {
        let leader_state = sim.nodes[old].leader.as_ref().unwrap();
        leader_state.status("j-000001").unwrap().done
    };
    assert!(before > 20);
    sim.crash(old, 3_000);
    sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
    let new = sim.leader().unwrap();
    let leader_state = sim.nodes[new].leader.as_ref().unwrap();
    let after = leader_state.status("j-000001").unwrap().done;
    assert!(
        after + 20 >= before,
        "{after} tasks done after the failover, {before} before"
    );
    assert!(sim.store.kv.contains_key("c/j-000001/12"));
    sim.assert_no_violations();
}

/// Seven nodes and 400 machines run gangs of eight tasks, an array of 500 and services.
/// One node is down when the state service becomes unavailable, and all nodes crash
/// just before it comes back.
#[test]
fn large_cluster_recovers_from_outage_and_full_crash() {
    let mut sim = Simulation::with_nodes(21, 400, 0.0, 7);
    sim.fetch_ms = 1_000;
    sim.run_ms = 15_000;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 500));
    for n in 2..6 {
        sim.submit(whole_machines(n, 8));
    }
    for n in 6..16 {
        let mut service = job(n, Kind::Service, 12);
        service.priority = Priority::Production;
        service.spread = true;
        sim.submit(service);
    }
    sim.run_until(20_000, "gangs and services running", |sim| {
        (2..6).all(|n| sim.running(&format!("j-{n:06}")) == 8)
            && (6..16).all(|n| sim.running(&format!("j-{n:06}")) == 12)
    });
    let leader = sim.leader().unwrap();
    sim.crash((leader + 1) % 7, 3_000);
    sim.store.unavailable = true;
    sim.run(9_000);
    for i in 0..7 {
        sim.crash(i, 3_000);
    }
    sim.run(500);
    sim.store.unavailable = false;
    sim.run_until(60_000, "the array and all gangs done", |sim| {
        (1..6).all(|n| sim.done(&format!("j-{n:06}")))
    });
    sim.run_until(30_000, "all services running", |sim| {
        (6..16).all(|n| sim.running(&format!("j-{n:06}")) == 12)
    });
    sim.assert_no_violations();
}
