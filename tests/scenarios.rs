//! Short scenarios of failures, each against a simulated cluster.

mod simulation;

use pathwinch::control::leader::WritePlan;
use pathwinch::protocol::{
    state::Txn,
    status::PendingReason,
    users::{JobSpec, JobState, Kind, Priority},
    workers::TaskState,
};
use simulation::{Cut, CutScope, LEASE, Net, Simulation, job};

fn idle_cluster(seed: u64, machines: usize, limit: f64) -> Simulation {
    Simulation::with_leader(seed, machines, limit)
}

/// An installation on which a service, j-000001, runs so many tasks.
fn cluster_with_service(seed: u64, machines: usize, tasks: u32) -> Simulation {
    let mut w = idle_cluster(seed, machines, 0.0);
    w.submit(job(1, Kind::Service, tasks));
    w.run_until(20_000, "running", |w| {
        w.running("j-000001") == tasks as usize
    });
    w
}

#[test]
fn batch_stays_done_after_full_restart() {
    let mut w = idle_cluster(1, 3, 0.0);
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
    let mut w = idle_cluster(2, 3, 0.0);
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
        let mut w = idle_cluster(4, 2, 0.0);
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
        let mut w = idle_cluster(9, 3, 0.0);
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
        let mut w = idle_cluster(100 + seed, 3, 0.0);
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
    let mut w = idle_cluster(10, 2, 0.0);
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
fn team_quota_holds_across_failover() {
    let mut w = idle_cluster(11, 6, 16.0);
    for n in 1..8 {
        w.submit(job(n, Kind::Array, 3));
    }
    w.run(4_000);
    for round in 0..4 {
        if let Some(old) = w.leader() {
            w.crash(old, 3_000);
        }
        let cut = round % 6;
        w.workers[cut].net = Net::Hold;
        w.run(14_000);
        w.restore_network(cut);
    }
    w.run_until(120_000, "all done", |w| {
        (1..8).all(|n| w.done(&format!("j-{n:06}")))
    });
    w.assert_no_violations();
}

#[test]
fn new_job_starts_beside_unresponsive_machine_within_quota() {
    for (limit, starts_early) in [(16.0, true), (12.0, false)] {
        let mut w = idle_cluster(15, 3, limit);
        w.submit(job(1, Kind::Service, 2));
        w.run_until(20_000, "running", |w| w.running("j-000001") == 2);
        let old = w.leader().unwrap();
        let silent = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
        w.workers[silent].net = Net::Hold;
        w.crash(old, 30_000);
        w.run_until(10_000, "another leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.submit(job(2, Kind::Service, 2));
        w.run(3_000);
        assert_eq!(w.running("j-000002") == 2, starts_early, "limit {limit}");
        w.run(30_000);
        w.assert_no_violations();
    }
}

#[test]
fn unresponsive_spot_machine_blocks_no_on_demand_job() {
    let mut w = idle_cluster(20, 3, 0.0);
    let spot = w.workers.len();
    w.add_worker("a", true, 0);
    w.run(3_000);
    let mut service = job(1, Kind::Service, 4);
    service.spot = false;
    let mut batch = job(2, Kind::Service, 4);
    batch.spot = true;
    w.submit(service);
    w.submit(batch);
    w.run_until(20_000, "running", |w| {
        w.running("j-000001") == 4 && w.running("j-000002") == 4
    });
    // The spot machine falls unresponsive and another dies with the leader.
    let dies = w
        .workers
        .iter()
        .position(|m| m.tasks.iter().any(|t| t.name.starts_with("j-000001")))
        .unwrap();
    w.workers[spot].net = Net::Hold;
    w.workers[dies].incarnation += 1;
    w.workers[dies].tasks.clear();
    let old = w.leader().unwrap();
    w.crash(old, 30_000);
    w.run_until(10_000, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run(3_000);
    let i = w.leader().unwrap();
    assert!(!w.nodes[i].leader.as_ref().unwrap().settled());
    assert_eq!(w.running("j-000001"), 4, "placed again at once");
    w.run(20_000);
    w.restore_network(spot);
    w.run(10_000);
    w.assert_no_violations();
}

#[test]
fn vanished_machine_is_awaited_by_one_leader_only() {
    let mut w = idle_cluster(16, 3, 0.0);
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
fn reservation_ends_when_preempting_service_starts() {
    let mut w = idle_cluster(17, 1, 0.0);
    w.run_ms = 20_000;
    w.submit(job(1, Kind::Array, 6));
    w.run_until(10_000, "the batch runs", |w| w.running("j-000001") == 2);
    let mut service = job(2, Kind::Service, 1);
    service.priority = Priority::Production;
    w.submit(service);
    w.run_until(3_000, "the service runs", |w| w.running("j-000002") == 1);
    assert_eq!(w.running("j-000001"), 1, "one task made room, not both");
    let i = w.leader().unwrap();
    let model = &w.nodes[i].leader.as_ref().unwrap().cluster;
    assert!(model.each_machine().all(|m| m.reserved_for.is_none()));
    w.assert_no_violations();
}

#[test]
fn team_below_guarantee_preempts_team_above_its_own() {
    let mut w = idle_cluster(18, 2, 0.0);
    w.run_ms = 600_000;
    w.submit(job(1, Kind::Array, 6));
    w.run_until(10_000, "the first team holds all", |w| {
        w.running("j-000001") == 4
    });
    w.run(30_000);
    let mut own = job(2, Kind::Array, 2);
    own.team = "u".into();
    w.submit(own);
    w.run_until(20_000, "the second team runs", |w| {
        w.running("j-000002") == 2
    });
    assert_eq!(w.running("j-000001"), 2, "the first keeps its guarantee");
    // Beyond its guarantee it gets no more that way.
    let mut more = job(3, Kind::Array, 1);
    more.team = "u".into();
    w.submit(more);
    w.run(60_000);
    assert_eq!(w.running("j-000003"), 0);
    w.assert_no_violations();
}

#[test]
fn zone_constraints_hold_while_old_tasks_linger() {
    let mut w = idle_cluster(12, 8, 0.0);
    let mut spread = job(1, Kind::Service, 4);
    spread.spread = true;
    let mut together = job(2, Kind::Service, 3);
    together.single_zone = true;
    w.submit(spread);
    w.submit(together);
    w.run_until(30_000, "running", |w| {
        w.running("j-000001") == 4 && w.running("j-000002") == 3
    });
    for cut in 0..8 {
        w.workers[cut].net = Net::Hold;
        w.run(7_000);
        if cut % 3 == 2
            && let Some(l) = w.leader()
        {
            w.crash(l, 3_000);
        }
        w.run(9_000);
        w.restore_network(cut);
    }
    w.run_until(40_000, "running again", |w| {
        w.running("j-000001") == 4 && w.running("j-000002") == 3
    });
    w.assert_no_violations();
}

#[test]
fn gang_restarts_only_after_old_tasks_are_gone() {
    let mut w = idle_cluster(13, 4, 0.0);
    w.run_ms = 60_000;
    w.submit(job(1, Kind::Gang, 6));
    w.run_until(20_000, "running", |w| w.running("j-000001") == 6);
    let lost = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
    w.workers[lost].net = Net::Lose;
    w.run(30_000);
    let attempts: std::collections::BTreeSet<u64> = w
        .workers
        .iter()
        .flat_map(|m| &m.tasks)
        .map(|t| t.attempt)
        .collect();
    assert!(attempts.len() <= 1, "two attempts at once: {attempts:?}");
    w.assert_no_violations();
}

#[test]
fn lost_service_restarts_by_preemption_without_cached_image() {
    let mut w = idle_cluster(19, 3, 0.0);
    w.run_ms = 120_000;
    let mut service = job(1, Kind::Service, 2);
    service.priority = Priority::Production;
    service.image = "own".into();
    w.submit(service);
    w.run_until(20_000, "up", |w| w.running("j-000001") == 2);
    w.submit(job(2, Kind::Array, 20));
    w.run_until(20_000, "full", |w| w.running("j-000002") == 4);
    let lost: Vec<usize> = (0..3)
        .filter(|i| {
            let mut tasks = w.workers[*i].tasks.iter();
            tasks.any(|t| t.name.starts_with("j-000001"))
        })
        .collect();
    for i in lost {
        w.workers[i].net = Net::Lose;
    }
    // Its lease has to expire; a fetch and two reports come on top.
    w.run_until(LEASE + 4_000, "up again elsewhere", |w| {
        let there = w.workers.iter().filter(|m| m.net == Net::Up);
        let tasks = there.flat_map(|m| &m.tasks);
        let up = tasks.filter(|t| t.name.starts_with("j-000001"));
        up.filter(|t| t.state == TaskState::Running).count() == 2
    });
    w.assert_no_violations();
}

#[test]
fn scale_out_skips_unreachable_zone_until_it_responds() {
    let mut w = idle_cluster(20, 8, 0.0);
    w.cloud_grants = true;
    w.run_ms = 60_000;
    let mut batch = job(1, Kind::Array, 60);
    batch.zone = Some("b".into());
    let in_b: Vec<usize> = (0..8).filter(|i| w.workers[*i].zone == "b").collect();
    w.run(3_000);
    for i in &in_b {
        w.workers[*i].net = Net::Hold;
    }
    w.run(5_000);
    w.submit(batch);
    w.run(30_000);
    assert_eq!(w.workers.len(), 8, "rented where nothing is heard");
    // A controller there answers again.
    let (i, now) = (w.leader().unwrap(), w.now);
    let leader = w.nodes[i].leader.as_mut().unwrap();
    leader.controller_responded("b", now);
    w.run_until(10_000, "rented again", |w| w.workers.len() > 8);
    w.assert_no_violations();
}

#[test]
fn machine_quarantine_survives_failover() {
    let mut w = idle_cluster(25, 2, 0.0);
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

/// A gang of whole machines in one zone.
fn whole_machines(n: u32, tasks: u32) -> JobSpec {
    let mut gang = job(n, Kind::Gang, tasks);
    gang.priority = Priority::High;
    gang.cpus = 8.0;
    gang.single_zone = true;
    gang
}

#[test]
fn gang_reservation_collects_machines_as_they_boot() {
    let mut w = idle_cluster(17, 0, 0.0);
    for _ in 0..3 {
        w.add_worker("a", false, 0);
    }
    w.run(5_000);
    w.submit(whole_machines(1, 4));
    // Not an array, so that preemption can't make up for what it takes.
    let mut small = job(2, Kind::Service, 6);
    small.priority = Priority::Low;
    w.submit(small);
    w.run(10_000);
    assert_eq!(w.running("j-000002"), 0, "the machines are the gang's");
    w.add_worker("a", false, 0);
    w.run_until(10_000, "the gang runs", |w| w.running("j-000001") == 4);
    w.assert_no_violations();
}

#[test]
fn gang_preempts_lower_priority_batches_at_once() {
    let mut w = idle_cluster(18, 8, 0.0);
    w.run_ms = 20_000;
    w.submit(job(1, Kind::Array, 200));
    w.run_until(10_000, "full", |w| w.running("j-000001") == 16);
    w.submit(whole_machines(2, 4));
    w.run_until(8_000, "the gang runs", |w| w.running("j-000002") == 4);
    w.assert_no_violations();
}

#[test]
fn gang_replaces_task_lost_before_start() {
    let mut w = idle_cluster(19, 4, 0.0);
    w.run_ms = 60_000;
    w.fetch_ms = 25_000;
    w.submit(job(1, Kind::Gang, 6));
    w.run(3_000);
    let lost = w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap();
    w.workers[lost].net = Net::Lose;
    w.run_until(60_000, "running whole", |w| w.running("j-000001") == 6);
    let attempts: std::collections::BTreeSet<u64> = w
        .workers
        .iter()
        .flat_map(|m| &m.tasks)
        .map(|t| t.attempt)
        .collect();
    assert_eq!(attempts.len(), 1, "the others waited on");
    assert_eq!(w.starts, 6);
    w.assert_no_violations();
}

#[test]
fn hundred_thousand_task_job_survives_failover() {
    let mut w = idle_cluster(14, 4, 0.0);
    let mut big = job(1, Kind::Array, 100_000);
    big.estimate_s = 1.0;
    w.run_ms = 50;
    w.submit(big);
    w.run(20_000);
    let old = w.leader().unwrap();
    // The last chunk is written too, and read back by the next leader.
    for t in 99_990..100_000 {
        let l = w.nodes[old].leader.as_mut().unwrap();
        let ix = l.cluster.job_index("j-000001").unwrap();
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

#[test]
fn random_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(25, |n| n.parse().unwrap()) {
        let mut w = idle_cluster(1000 + seed, 6, 48.0);
        w.cloud_grants = true;
        let mut n = 0;
        for _ in 0..60 {
            n += 1;
            let kind = [Kind::Array, Kind::Service, Kind::Gang][w.rng.usize(..3)];
            let tasks = w.rng.u32(1..6);
            let mut j = job(n, kind, tasks);
            j.spread = w.rng.u8(..4) == 0;
            j.single_zone = !j.spread && w.rng.u8(..4) == 0;
            j.spot = w.rng.bool();
            w.submit(j);
            match w.rng.u8(..10) {
                0 => {
                    let i = w.rng.usize(..3);
                    w.crash(i, 3_000);
                }
                1 => (0..3).for_each(|i| w.crash(i, 6_000)),
                2 | 3 => {
                    let i = w.rng.usize(..w.workers.len());
                    w.workers[i].net = if w.rng.bool() { Net::Hold } else { Net::Lose };
                }
                4 => (0..w.workers.len()).for_each(|i| w.restore_network(i)),
                5 => w.store.late_writes.push(w.rng.u64(100..20_000)),
                6 => {
                    let i = w.rng.usize(..w.workers.len());
                    let delay = w.rng.u64(50..15_000);
                    w.direct_command_delay.insert(i, delay);
                }
                7 => {
                    let i = w.rng.usize(..3);
                    w.store.refused_nodes.insert(i);
                    let ms = w.rng.u64(1_000..9_000);
                    w.run(ms);
                    w.store.refused_nodes.clear();
                }
                8 => {
                    w.store.unavailable = true;
                    let ms = w.rng.u64(1_000..15_000);
                    w.run(ms);
                    w.store.unavailable = false;
                }
                _ => {
                    let id = format!("j-{:06}", w.rng.u32(1..=n));
                    w.cancel(&id);
                }
            }
            if n > 6 {
                w.cancel(&format!("j-{:06}", n - 6));
            }
            let ms = w.rng.u64(200..6_000);
            w.run(ms);
            for i in 0..3 {
                let id = format!("j-{:06}", w.rng.u32(1..=n));
                w.poll(i, &id);
            }
        }
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        assert!(w.starts > 50);
    }
}

/// Controllers pause at any moment, become unresponsive, are partly partitioned
/// and crash, several at once, under jobs of all kinds.
fn run_controller_faults(seed: u64, nodes: usize) -> Simulation {
    let mut w = Simulation::with_nodes(seed, 6, 48.0, nodes);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.cloud_grants = true;
    let mut n = 0;
    for _ in 0..50 {
        n += 1;
        let kind = [Kind::Array, Kind::Service, Kind::Gang][w.rng.usize(..3)];
        let tasks = w.rng.u32(1..6);
        let mut j = job(n, kind, tasks);
        j.spread = w.rng.u8(..4) == 0;
        j.single_zone = !j.spread && w.rng.u8(..4) == 0;
        j.spot = w.rng.bool();
        w.submit(j);
        // The leader more often than others.
        let i = match w.leader() {
            Some(leader) if w.rng.bool() => leader,
            _ => w.rng.usize(..nodes),
        };
        let how = if w.rng.bool() { Cut::Hold } else { Cut::Reset };
        match w.rng.u8(..12) {
            0..4 => {
                let ms = [500, 3_000, 5_000, 12_000, 20_000][w.rng.usize(..5)];
                w.pause_process(i, ms);
            }
            4 => w.partition(i, CutScope::All, Cut::Hold),
            5 => w.partition(i, CutScope::State, how),
            6 => w.partition(i, CutScope::Workers, how),
            7 => {
                let j = w.rng.usize(..nodes);
                w.partition(i, CutScope::Node(j), how);
            }
            8 => w.crash(i, 3_000),
            9 => {
                let m = w.rng.usize(..w.workers.len());
                w.workers[m].net = if w.rng.bool() { Net::Hold } else { Net::Lose };
            }
            10 => {
                let m = w.rng.usize(..w.workers.len());
                let delay = w.rng.u64(50..15_000);
                w.direct_command_delay.insert(m, delay);
            }
            _ => {
                w.store.unavailable = true;
                let ms = w.rng.u64(1_000..9_000);
                w.run(ms);
                w.store.unavailable = false;
            }
        }
        let ms = w.rng.u64(200..8_000);
        w.run(ms);
        // Never so many at once that nobody is left to accept a job.
        let able = |i: &usize| w.reaches(*i) && w.reaches_state(*i);
        let none_left = (0..nodes).filter(able).count() < 2;
        for i in 0..nodes {
            if none_left || w.rng.u8(..4) == 0 {
                w.end_partitions(i);
            }
        }
        if w.rng.u8(..4) == 0 {
            (0..w.workers.len()).for_each(|m| w.restore_network(m));
        }
        if n > 6 {
            if w.rng.bool() {
                (0..nodes).for_each(|i| w.end_partitions(i));
            }
            w.cancel(&format!("j-{:06}", n - 6));
        }
        for i in 0..nodes {
            let id = format!("j-{:06}", w.rng.u32(1..=n));
            w.poll(i, &id);
        }
    }
    w
}

#[test]
fn random_controller_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(12, |n| n.parse().unwrap()) {
        for nodes in [3, 7] {
            let w = run_controller_faults(2000 + seed, nodes);
            assert!(
                w.violations.is_empty(),
                "seed {seed}, {nodes}: {:?}",
                w.violations
            );
            assert!(w.starts > 40);
        }
    }
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

fn reason(w: &mut Simulation, id: &str) -> Option<PendingReason> {
    let i = w.leader()?;
    w.nodes[i].leader.as_ref()?.explain(id, w.now)?.reason
}

#[test]
fn explain_reports_why_task_waits() {
    let mut w = idle_cluster(22, 2, 40.0);
    w.run_ms = 600_000;
    w.run(3_000);
    w.submit(job(1, Kind::Array, 3));
    w.run(3_000);
    w.submit(whole_machines(2, 2));
    w.run(3_000);
    assert_eq!(reason(&mut w, "j-000001"), None, "all its tasks run");
    assert_eq!(
        reason(&mut w, "j-000002"),
        Some(PendingReason::GangIncomplete)
    );
    let mut late = job(3, Kind::Array, 2);
    late.team = "u".into();
    late.deadline_s = Some(5.0);
    w.submit(late);
    w.run(3_000);
    let mut service = job(4, Kind::Service, 1);
    service.team = "u".into();
    w.submit(service);
    w.run_until(15_000, "refused machines", |w| {
        reason(w, "j-000004") == Some(PendingReason::CloudRefuses)
    });
    w.run(5_000);
    // One of the batch runs, and nothing is rented for the other any more.
    assert_eq!(reason(&mut w, "j-000003"), Some(PendingReason::NoRoom));
    let i = w.leader().unwrap();
    let now = w.now;
    let picture = w.nodes[i].leader.as_ref().unwrap().picture(now);
    let group = picture.groups.iter().find(|g| g.team == "u").unwrap();
    assert_eq!((group.waiting, group.late_jobs), (2, 1));
    assert_eq!(picture.fleet.iter().map(|f| f.up).sum::<u32>(), 2);
    w.assert_no_violations();
}

#[test]
fn explain_reports_team_limit_and_settling_leader() {
    let mut w = idle_cluster(23, 4, 8.0);
    w.run_ms = 600_000;
    w.submit(job(1, Kind::Array, 5));
    w.run_until(10_000, "two run", |w| w.running("j-000001") == 2);
    assert_eq!(reason(&mut w, "j-000001"), Some(PendingReason::TeamLimit));
    let old = w.leader().unwrap();
    let silent = w.workers.iter().position(|m| m.tasks.is_empty()).unwrap();
    w.workers[silent].net = Net::Lose;
    w.drop_standbys();
    w.crash(old, 3_000);
    w.run_until(10_000, "a new leader", |w| {
        w.leader().is_some_and(|i| i != old)
    });
    w.run(2_000);
    assert_eq!(reason(&mut w, "j-000001"), Some(PendingReason::Settling));
    w.assert_no_violations();
}

/// Machines looked at while 50 reports without news come in, and per machine
/// while a full fleet is passed over with many kinds of jobs waiting.
fn inspections(machines: usize) -> (u64, f64) {
    let mut w = idle_cluster(24, machines, 0.0);
    w.run_ms = 600_000;
    w.run(3_000);
    w.submit(job(1, Kind::Array, 2 * machines as u32));
    let all = 2 * machines;
    w.run_until(20_000, "full", |w| w.running("j-000001") == all);
    for n in 2..62 {
        // Each of a size of its own, so that none speaks for another.
        let mut waits = job(n, Kind::Array, 3);
        waits.memory_gb += f64::from(n) / 100.0;
        w.submit(waits);
    }
    w.run(3_000);
    let (i, now) = (w.leader().unwrap(), w.now);
    let report = w.heartbeat_of(0);
    let l = w.nodes[i].leader.as_mut().unwrap();
    let before = l.cluster.inspections();
    for n in 1..=50 {
        let mut again = report.clone();
        again.seq += n;
        assert!(l.on_heartbeat(&again, now).is_some());
    }
    let reports = l.cluster.inspections() - before;
    let job = l.cluster.job_index("j-000002").unwrap();
    let before = l.cluster.inspections();
    // Something changed: the next tick is a whole pass.
    l.reconciled(&WritePlan {
        txn: Txn::default(),
        intents: Vec::new(),
    });
    l.tick(now, now);
    assert!(l.cluster.job(job).is_some_and(|j| j.waiting_count() == 3));
    let pass = l.cluster.inspections() - before;
    (reports, pass as f64 / machines as f64)
}

#[test]
fn heartbeat_and_cycle_cost_is_independent_of_fleet() {
    let (small, large) = (inspections(20), inspections(200));
    assert_eq!(small.0, large.0, "a report touches its machine alone");
    // A pass looks at each machine a few times, however many jobs wait.
    assert!(large.1 < 20.0, "{} looks at each machine", large.1);
}
