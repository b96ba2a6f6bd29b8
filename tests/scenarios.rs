//! Short scenarios of failures, each against a simulated cluster: failover, outages
//! of the state service, late messages and transactions.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind, Priority};
use simulation::{LEASE, Net, Simulation, job, whole_machines};

/// An installation on which a service, j-000001, runs so many tasks.
fn cluster_with_service(seed: u64, machines: usize, tasks: u32) -> Simulation {
    let mut w = Simulation::with_leader(seed, machines, 0.0);
    w.submit(job(1, Kind::Service, tasks));
    w.run_until(20_000, "running", |w| {
        w.running("j-000001") == tasks as usize
    });
    w
}

#[test]
fn batch_stays_done_after_full_restart() {
    let mut w = Simulation::with_leader(1, 3, 0.0);
    w.submit(job(1, Kind::Array, 9));
    w.run_until(60_000, "done", |w| w.done("j-000001"));
    for i in 0..3 {
        assert_eq!(w.poll(i, "j-000001"), Some(JobState::Done));
    }
    // Also after every process has started anew.
    for i in 0..3 {
        w.crash(i, 3_000);
    }
    w.run_until(30_000, "a leader again", |w| w.leader().is_some());
    w.run(5_000);
    assert_eq!(w.poll(0, "j-000001"), Some(JobState::Done));
    assert_eq!(w.starts, 9);
    w.assert_no_violations();
}

#[test]
fn new_leader_awaits_lease_expiry_before_replacing_tasks() {
    let mut w = cluster_with_service(2, 3, 4);
    let old = w.leader().unwrap();
    let silent = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
    w.workers[silent].net = Net::Lose;
    w.crash(old, 3_000);
    w.run_until(40_000, "running elsewhere", |w| {
        w.running("j-000001") == 4 && w.workers[silent].tasks.is_empty()
    });
    w.assert_no_violations();
}

#[test]
fn checker_detects_leader_that_skips_lease_wait() {
    let mut w = Simulation::with_leader(2, 3, 0.0);
    w.skip_lease_wait = true;
    w.submit(job(1, Kind::Service, 4));
    w.run_until(20_000, "running", |w| w.running("j-000001") == 4);
    let old = w.leader().unwrap();
    let silent = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
    w.workers[silent].net = Net::Lose;
    w.crash(old, 3_000);
    w.run(20_000);
    assert!(w.violations.iter().any(|b| b.starts_with("ran_twice")));
}

#[test]
fn delayed_heartbeats_are_ignored() {
    let mut w = cluster_with_service(3, 3, 2);
    let cut = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
    // Its reports are held, its tasks are killed by the lease and run
    // elsewhere; then the old reports arrive and still list them.
    w.workers[cut].net = Net::Hold;
    w.run(LEASE + 5_000);
    let old = w.leader().unwrap();
    w.crash(old, 3_000);
    w.run(10_000);
    w.restore_network(cut);
    w.run(20_000);
    assert_eq!(w.running("j-000001"), 2);
    w.assert_no_violations();
}

#[test]
fn late_direct_command_starts_no_task_twice() {
    for delay in [1_000, 2_500, 6_000, 30_000] {
        let mut w = Simulation::with_leader(4, 2, 0.0);
        w.direct_command_delay.insert(0, delay);
        w.direct_command_delay.insert(1, delay);
        for n in 1..6 {
            w.submit(job(n, Kind::Array, 4));
        }
        w.run_until(120_000, "all done", |w| {
            (1..6).all(|n| w.done(&format!("j-{n:06}")))
        });
        w.run(40_000);
        w.assert_no_violations();
    }
}

#[test]
fn store_outage_beyond_lease_stops_no_task() {
    let mut w = cluster_with_service(5, 3, 4);
    let sessions: Vec<u64> = w.workers.iter().map(|m| m.incarnation).collect();
    w.store.unavailable = true;
    w.run(25_000);
    w.store.unavailable = false;
    w.run(10_000);
    let after: Vec<u64> = w.workers.iter().map(|m| m.incarnation).collect();
    assert_eq!(sessions, after, "leases lapsed during the outage");
    assert_eq!(w.running("j-000001"), 4);
    w.assert_no_violations();
}

#[test]
fn outage_with_node_down_breaks_no_invariant() {
    let mut w = cluster_with_service(6, 3, 4);
    let leader = w.leader().unwrap();
    w.crash((leader + 1) % 3, 60_000);
    w.store.unavailable = true;
    w.run(20_000);
    w.store.unavailable = false;
    w.run_until(30_000, "running again", |w| w.running("j-000001") == 4);
    w.assert_no_violations();
}

#[test]
fn leader_refused_by_store_yields_at_once() {
    let mut w = cluster_with_service(7, 3, 4);
    let old = w.leader().unwrap();
    w.store.refused_nodes.insert(old);
    w.run_until(1_500, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run(15_000);
    assert_eq!(w.running("j-000001"), 4);
    assert_eq!(w.starts, 4);
    w.assert_no_violations();
}

#[test]
fn tasks_survive_crash_of_all_controllers() {
    let mut w = cluster_with_service(8, 3, 4);
    for i in 0..3 {
        w.crash(i, 6_000);
    }
    w.run(30_000);
    assert_eq!(w.running("j-000001"), 4);
    assert_eq!(w.starts, 4, "a worker's lease lapsed");
    w.assert_no_violations();
}

#[test]
fn late_transaction_undoes_no_completion() {
    for delay in [500, 1_400, 3_000, 20_000] {
        let mut w = Simulation::with_leader(9, 3, 0.0);
        w.submit(job(1, Kind::Array, 8));
        for _ in 0..40 {
            w.store.late_writes.push(delay);
            w.run(400);
        }
        w.store.late_writes.clear();
        w.run_until(90_000, &format!("done, {delay} ms"), |w| w.done("j-000001"));
        w.run(25_000);
        assert_eq!(w.poll(0, "j-000001"), Some(JobState::Done));
        w.assert_no_violations();
    }
}

#[test]
fn racing_cancellation_and_completion_agree() {
    let mut cancelled = 0;
    for seed in 0..12 {
        let mut w = Simulation::with_leader(100 + seed, 3, 0.0);
        w.submit(job(1, Kind::Array, 2));
        w.run(5_000 + seed * 250);
        if seed % 2 == 0 {
            w.store.late_writes.push(900);
        }
        w.cancel("j-000001");
        let first = w.answered["j-000001"].0;
        cancelled += u32::from(first == JobState::Cancelled);
        for _ in 0..40 {
            for i in 0..3 {
                w.poll(i, "j-000001");
            }
            w.run(1_000);
        }
        w.assert_no_violations();
    }
    assert!(
        (1..12).contains(&cancelled),
        "both outcomes were meant to occur: {cancelled}"
    );
}

#[test]
fn cancelled_job_stops_in_time_despite_delayed_launch() {
    let mut w = Simulation::with_leader(10, 2, 0.0);
    w.run(2_000);
    w.direct_command_delay.insert(0, 20_000);
    w.direct_command_delay.insert(1, 20_000);
    w.submit(job(1, Kind::Service, 2));
    w.run(200);
    w.cancel("j-000001");
    w.run(60_000);
    assert_eq!(w.running("j-000001"), 0);
    w.assert_no_violations();
}

#[test]
fn vanished_machine_is_awaited_by_one_leader_only() {
    let mut w = Simulation::with_leader(16, 3, 0.0);
    w.run(2_000);
    w.workers[1].alive = false;
    for round in 0..2 {
        let old = w.leader().unwrap();
        w.crash(old, 3_000);
        w.run_until(10_000, "another leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.run(4_000);
        let i = w.leader().unwrap();
        let settled = w.nodes[i].leader.as_ref().unwrap().settled();
        assert_eq!(settled, round == 1, "round {round}");
        w.run(30_000);
    }
    w.assert_no_violations();
}

#[test]
fn machine_quarantine_survives_failover() {
    let mut w = Simulation::with_leader(25, 2, 0.0);
    // A service on each machine, so that none is empty and goes back.
    let mut service = job(1, Kind::Service, 2);
    service.spread = true;
    w.submit(service);
    w.run_until(20_000, "up", |w| w.running("j-000001") == 2);
    w.workers[0].fails_tasks = true;
    for n in 2..6 {
        w.submit(job(n, Kind::Array, 2));
    }
    w.run_until(60_000, "set aside", |w| {
        let machines = w.store.kv.range("m/".to_owned()..);
        let mut machines = machines.take_while(|(k, _)| k.starts_with("m/"));
        machines.any(|(_, (v, _))| v["q"] == true)
    });
    let failed = w.failed;
    let old = w.leader().unwrap();
    w.crash(old, 3_000);
    for n in 6..9 {
        w.submit(job(n, Kind::Array, 2));
    }
    w.run_until(120_000, "all done on the other", |w| {
        (2..9).all(|n| w.done(&format!("j-{n:06}")))
    });
    assert_eq!(w.failed, failed, "tasks were started there again");
    w.assert_no_violations();
}

#[test]
fn hundred_thousand_task_job_survives_failover() {
    let mut w = Simulation::with_leader(14, 4, 0.0);
    let mut big = job(1, Kind::Array, 100_000);
    big.estimate_s = 1.0;
    w.run_ms = 50;
    w.submit(big);
    w.run(20_000);
    let old = w.leader().unwrap();
    // The last chunk is written too, and read back by the next leader.
    for t in 99_990..100_000 {
        let l = w.nodes[old].leader.as_mut().unwrap();
        let ix = l.cluster.job_handle("j-000001").unwrap();
        l.cluster.job_mut(ix).unwrap().mark_done(t);
    }
    w.run(2_000);
    let before = {
        let l = w.nodes[old].leader.as_ref().unwrap();
        l.status("j-000001").unwrap().done
    };
    assert!(before > 20);
    w.crash(old, 3_000);
    w.run_until(30_000, "a leader again", |w| w.leader().is_some());
    let new = w.leader().unwrap();
    let l = w.nodes[new].leader.as_ref().unwrap();
    let after = l.status("j-000001").unwrap().done;
    assert!(after + 20 >= before, "{after} after {before}");
    assert!(w.store.kv.contains_key("c/j-000001/12"));
    w.assert_no_violations();
}

/// Seven nodes and 400 machines: gangs of eight, an array of 500, services; a
/// node is down when the state service goes, and all crash as it comes back.
#[test]
fn large_cluster_recovers_from_outage_and_full_crash() {
    let mut w = Simulation::with_nodes(21, 400, 0.0, 7);
    w.fetch_ms = 1_000;
    w.run_ms = 15_000;
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(job(1, Kind::Array, 500));
    for n in 2..6 {
        w.submit(whole_machines(n, 8));
    }
    for n in 6..16 {
        let mut service = job(n, Kind::Service, 12);
        service.priority = Priority::Production;
        service.spread = true;
        w.submit(service);
    }
    w.run_until(20_000, "all run", |w| {
        (2..6).all(|n| w.running(&format!("j-{n:06}")) == 8)
            && (6..16).all(|n| w.running(&format!("j-{n:06}")) == 12)
    });
    let leader = w.leader().unwrap();
    w.crash((leader + 1) % 7, 3_000);
    w.store.unavailable = true;
    w.run(9_000);
    for i in 0..7 {
        w.crash(i, 3_000);
    }
    w.run(500);
    w.store.unavailable = false;
    w.run_until(60_000, "all batches and gangs done", |w| {
        (1..6).all(|n| w.done(&format!("j-{n:06}")))
    });
    w.run_until(30_000, "services up", |w| {
        (6..16).all(|n| w.running(&format!("j-{n:06}")) == 12)
    });
    w.assert_no_violations();
}
