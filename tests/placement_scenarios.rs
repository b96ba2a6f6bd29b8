//! Scenarios of placement under failures, against a simulated cluster: quotas,
//! zone constraints, preemption, gangs, scale-out, the reasons that operators see,
//! and the cost of a scheduling cycle.

mod simulation;

use pathwinch::{
    control::leader::WritePlan,
    protocol::{
        state::Txn,
        status::PendingReason,
        users::{Kind, Priority},
        workers::TaskState,
    },
};
use simulation::{LEASE, Net, Simulation, job, whole_machines};

#[test]
fn team_quota_holds_across_failover() {
    let mut sim = Simulation::with_leader(11, 6, 16.0);
    for n in 1..8 {
        sim.submit(job(n, Kind::Array, 3));
    }
    sim.run(4_000);
    for round in 0..4 {
        if let Some(old) = sim.leader() {
            sim.crash(old, 3_000);
        }
        let cut = round % 6;
        sim.workers[cut].net = Net::Hold;
        sim.run(14_000);
        sim.restore_network(cut);
    }
    sim.run_until(120_000, "all done", |sim| {
        (1..8).all(|n| sim.done(&format!("j-{n:06}")))
    });
    sim.assert_no_violations();
}

#[test]
fn new_job_starts_beside_unresponsive_machine_within_quota() {
    for (limit, starts_early) in [(16.0, true), (12.0, false)] {
        let mut sim = Simulation::with_leader(15, 3, limit);
        sim.submit(job(1, Kind::Service, 2));
        sim.run_until(20_000, "running", |sim| sim.running("j-000001") == 2);
        let old = sim.leader().unwrap();
        let silent = sim
            .workers
            .iter()
            .position(|m| !m.tasks.is_empty())
            .unwrap();
        sim.workers[silent].net = Net::Hold;
        sim.crash(old, 30_000);
        sim.run_until(10_000, "another leads", |sim| {
            sim.leader().is_some_and(|node| node != old)
        });
        sim.submit(job(2, Kind::Service, 2));
        sim.run(3_000);
        assert_eq!(sim.running("j-000002") == 2, starts_early, "limit {limit}");
        sim.run(30_000);
        sim.assert_no_violations();
    }
}

#[test]
fn unresponsive_spot_machine_blocks_no_on_demand_job() {
    let mut sim = Simulation::with_leader(20, 3, 0.0);
    let spot = sim.workers.len();
    sim.add_worker("a", true, 0);
    sim.run(3_000);
    let mut service = job(1, Kind::Service, 4);
    service.spot = false;
    let mut batch = job(2, Kind::Service, 4);
    batch.spot = true;
    sim.submit(service);
    sim.submit(batch);
    sim.run_until(20_000, "running", |sim| {
        sim.running("j-000001") == 4 && sim.running("j-000002") == 4
    });
    // The spot machine falls unresponsive and another dies with the leader.
    let dies = sim
        .workers
        .iter()
        .position(|m| m.tasks.iter().any(|t| t.name.starts_with("j-000001")))
        .unwrap();
    sim.workers[spot].net = Net::Hold;
    sim.workers[dies].incarnation += 1;
    sim.workers[dies].tasks.clear();
    let old = sim.leader().unwrap();
    sim.crash(old, 30_000);
    sim.run_until(10_000, "another leads", |sim| {
        sim.leader().is_some_and(|node| node != old)
    });
    sim.run(3_000);
    let i = sim.leader().unwrap();
    assert!(!sim.nodes[i].leader.as_ref().unwrap().settled());
    assert_eq!(sim.running("j-000001"), 4, "placed again at once");
    sim.run(20_000);
    sim.restore_network(spot);
    sim.run(10_000);
    sim.assert_no_violations();
}

#[test]
fn reservation_ends_when_preempting_service_starts() {
    let mut sim = Simulation::with_leader(17, 1, 0.0);
    sim.run_ms = 20_000;
    sim.submit(job(1, Kind::Array, 6));
    sim.run_until(10_000, "the batch runs", |sim| sim.running("j-000001") == 2);
    let mut service = job(2, Kind::Service, 1);
    service.priority = Priority::Production;
    sim.submit(service);
    sim.run_until(3_000, "the service runs", |sim| {
        sim.running("j-000002") == 1
    });
    assert_eq!(sim.running("j-000001"), 1, "one task made room, not both");
    let i = sim.leader().unwrap();
    let model = &sim.nodes[i].leader.as_ref().unwrap().cluster;
    assert!(model.each_machine().all(|m| m.reserved_for.is_none()));
    sim.assert_no_violations();
}

#[test]
fn team_below_guarantee_preempts_team_above_its_own() {
    let mut sim = Simulation::with_leader(18, 2, 0.0);
    sim.run_ms = 600_000;
    sim.submit(job(1, Kind::Array, 6));
    sim.run_until(10_000, "the first team holds all", |sim| {
        sim.running("j-000001") == 4
    });
    sim.run(30_000);
    let mut own = job(2, Kind::Array, 2);
    own.team = "u".into();
    sim.submit(own);
    sim.run_until(20_000, "the second team runs", |sim| {
        sim.running("j-000002") == 2
    });
    assert_eq!(sim.running("j-000001"), 2, "the first keeps its guarantee");
    // Beyond its guarantee it gets no more that way.
    let mut more = job(3, Kind::Array, 1);
    more.team = "u".into();
    sim.submit(more);
    sim.run(60_000);
    assert_eq!(sim.running("j-000003"), 0);
    sim.assert_no_violations();
}

#[test]
fn zone_constraints_hold_while_old_tasks_linger() {
    let mut sim = Simulation::with_leader(12, 8, 0.0);
    let mut spread = job(1, Kind::Service, 4);
    spread.spread = true;
    let mut together = job(2, Kind::Service, 3);
    together.single_zone = true;
    sim.submit(spread);
    sim.submit(together);
    sim.run_until(30_000, "running", |sim| {
        sim.running("j-000001") == 4 && sim.running("j-000002") == 3
    });
    for cut in 0..8 {
        sim.workers[cut].net = Net::Hold;
        sim.run(7_000);
        if cut % 3 == 2
            && let Some(leader) = sim.leader()
        {
            sim.crash(leader, 3_000);
        }
        sim.run(9_000);
        sim.restore_network(cut);
    }
    sim.run_until(40_000, "running again", |sim| {
        sim.running("j-000001") == 4 && sim.running("j-000002") == 3
    });
    sim.assert_no_violations();
}

#[test]
fn gang_restarts_only_after_old_tasks_are_gone() {
    let mut sim = Simulation::with_leader(13, 4, 0.0);
    sim.run_ms = 60_000;
    sim.submit(job(1, Kind::Gang, 6));
    sim.run_until(20_000, "running", |sim| sim.running("j-000001") == 6);
    let lost = sim
        .workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .unwrap();
    sim.workers[lost].net = Net::Lose;
    sim.run(30_000);
    let attempts: std::collections::BTreeSet<u64> = sim
        .workers
        .iter()
        .flat_map(|m| &m.tasks)
        .map(|t| t.attempt)
        .collect();
    assert!(attempts.len() <= 1, "two attempts at once: {attempts:?}");
    sim.assert_no_violations();
}

#[test]
fn lost_service_restarts_by_preemption_without_cached_image() {
    let mut sim = Simulation::with_leader(19, 3, 0.0);
    sim.run_ms = 120_000;
    let mut service = job(1, Kind::Service, 2);
    service.priority = Priority::Production;
    service.image = "own".into();
    sim.submit(service);
    sim.run_until(20_000, "up", |sim| sim.running("j-000001") == 2);
    sim.submit(job(2, Kind::Array, 20));
    sim.run_until(20_000, "full", |sim| sim.running("j-000002") == 4);
    let lost: Vec<usize> = (0..3)
        .filter(|i| {
            let mut tasks = sim.workers[*i].tasks.iter();
            tasks.any(|t| t.name.starts_with("j-000001"))
        })
        .collect();
    for i in lost {
        sim.workers[i].net = Net::Lose;
    }
    // Its lease has to expire; a fetch and two reports come on top.
    sim.run_until(LEASE + 4_000, "up again elsewhere", |sim| {
        let there = sim.workers.iter().filter(|m| m.net == Net::Up);
        let tasks = there.flat_map(|m| &m.tasks);
        let up = tasks.filter(|t| t.name.starts_with("j-000001"));
        up.filter(|t| t.state == TaskState::Running).count() == 2
    });
    sim.assert_no_violations();
}

#[test]
fn scale_out_skips_unreachable_zone_until_it_responds() {
    let mut sim = Simulation::with_leader(20, 8, 0.0);
    sim.cloud_grants = true;
    sim.run_ms = 60_000;
    let mut batch = job(1, Kind::Array, 60);
    batch.zone = Some("b".into());
    let in_b: Vec<usize> = (0..8).filter(|i| sim.workers[*i].zone == "b").collect();
    sim.run(3_000);
    for i in &in_b {
        sim.workers[*i].net = Net::Hold;
    }
    sim.run(5_000);
    sim.submit(batch);
    sim.run(30_000);
    assert_eq!(sim.workers.len(), 8, "rented where nothing is heard");
    // A controller there answers again.
    let (i, now) = (sim.leader().unwrap(), sim.now);
    let leader = sim.nodes[i].leader.as_mut().unwrap();
    leader.controller_responded("b", now);
    sim.run_until(10_000, "rented again", |sim| sim.workers.len() > 8);
    sim.assert_no_violations();
}

#[test]
fn gang_reservation_collects_machines_as_they_boot() {
    let mut sim = Simulation::with_leader(17, 0, 0.0);
    for _ in 0..3 {
        sim.add_worker("a", false, 0);
    }
    sim.run(5_000);
    sim.submit(whole_machines(1, 4));
    // Not an array, so that preemption can't make up for what it takes.
    let mut small = job(2, Kind::Service, 6);
    small.priority = Priority::Low;
    sim.submit(small);
    sim.run(10_000);
    assert_eq!(sim.running("j-000002"), 0, "the machines are the gang's");
    sim.add_worker("a", false, 0);
    sim.run_until(10_000, "the gang runs", |sim| sim.running("j-000001") == 4);
    sim.assert_no_violations();
}

#[test]
fn gang_preempts_lower_priority_batches_at_once() {
    let mut sim = Simulation::with_leader(18, 8, 0.0);
    sim.run_ms = 20_000;
    sim.submit(job(1, Kind::Array, 200));
    sim.run_until(10_000, "full", |sim| sim.running("j-000001") == 16);
    sim.submit(whole_machines(2, 4));
    sim.run_until(8_000, "the gang runs", |sim| sim.running("j-000002") == 4);
    sim.assert_no_violations();
}

#[test]
fn gang_replaces_task_lost_before_start() {
    let mut sim = Simulation::with_leader(19, 4, 0.0);
    sim.run_ms = 60_000;
    sim.fetch_ms = 25_000;
    sim.submit(job(1, Kind::Gang, 6));
    sim.run(3_000);
    let lost = sim
        .workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .unwrap();
    sim.workers[lost].net = Net::Lose;
    sim.run_until(60_000, "running whole", |sim| sim.running("j-000001") == 6);
    let attempts: std::collections::BTreeSet<u64> = sim
        .workers
        .iter()
        .flat_map(|m| &m.tasks)
        .map(|t| t.attempt)
        .collect();
    assert_eq!(attempts.len(), 1, "the others waited on");
    assert_eq!(sim.starts, 6);
    sim.assert_no_violations();
}

fn reason(sim: &mut Simulation, id: &str) -> Option<PendingReason> {
    let i = sim.leader()?;
    sim.nodes[i].leader.as_ref()?.explain(id, sim.now)?.reason
}

#[test]
fn explain_reports_why_task_waits() {
    let mut sim = Simulation::with_leader(22, 2, 40.0);
    sim.run_ms = 600_000;
    sim.run(3_000);
    sim.submit(job(1, Kind::Array, 3));
    sim.run(3_000);
    sim.submit(whole_machines(2, 2));
    sim.run(3_000);
    assert_eq!(reason(&mut sim, "j-000001"), None, "all its tasks run");
    assert_eq!(
        reason(&mut sim, "j-000002"),
        Some(PendingReason::GangIncomplete)
    );
    let mut late = job(3, Kind::Array, 2);
    late.team = "u".into();
    late.deadline_s = Some(5.0);
    sim.submit(late);
    sim.run(3_000);
    let mut service = job(4, Kind::Service, 1);
    service.team = "u".into();
    sim.submit(service);
    sim.run_until(15_000, "refused machines", |sim| {
        reason(sim, "j-000004") == Some(PendingReason::CloudRefuses)
    });
    sim.run(5_000);
    // One of the batch runs, and nothing is rented for the other any more.
    assert_eq!(reason(&mut sim, "j-000003"), Some(PendingReason::NoRoom));
    let i = sim.leader().unwrap();
    let now = sim.now;
    let picture = sim.nodes[i].leader.as_ref().unwrap().picture(now);
    let group = picture.groups.iter().find(|g| g.team == "u").unwrap();
    assert_eq!((group.waiting, group.late_jobs), (2, 1));
    assert_eq!(picture.fleet.iter().map(|f| f.up).sum::<u32>(), 2);
    sim.assert_no_violations();
}

#[test]
fn explain_reports_team_limit_and_settling_leader() {
    let mut sim = Simulation::with_leader(23, 4, 8.0);
    sim.run_ms = 600_000;
    sim.submit(job(1, Kind::Array, 5));
    sim.run_until(10_000, "two run", |sim| sim.running("j-000001") == 2);
    assert_eq!(reason(&mut sim, "j-000001"), Some(PendingReason::TeamLimit));
    let old = sim.leader().unwrap();
    let silent = sim.workers.iter().position(|m| m.tasks.is_empty()).unwrap();
    sim.workers[silent].net = Net::Lose;
    sim.drop_standbys();
    sim.crash(old, 3_000);
    sim.run_until(10_000, "a new leader", |sim| {
        sim.leader().is_some_and(|i| i != old)
    });
    sim.run(2_000);
    assert_eq!(reason(&mut sim, "j-000001"), Some(PendingReason::Settling));
    sim.assert_no_violations();
}

/// Machines looked at while 50 reports without news come in, and per machine
/// while a full fleet is passed over with many kinds of jobs waiting.
fn inspections(machines: usize) -> (u64, f64) {
    let mut sim = Simulation::with_leader(24, machines, 0.0);
    sim.run_ms = 600_000;
    sim.run(3_000);
    sim.submit(job(1, Kind::Array, 2 * machines as u32));
    let all = 2 * machines;
    sim.run_until(20_000, "full", |sim| sim.running("j-000001") == all);
    for n in 2..62 {
        // Each of a size of its own, so that none speaks for another.
        let mut waits = job(n, Kind::Array, 3);
        waits.memory_gb += f64::from(n) / 100.0;
        sim.submit(waits);
    }
    sim.run(3_000);
    let (i, now) = (sim.leader().unwrap(), sim.now);
    let report = sim.heartbeat_of(0);
    let leader_state = sim.nodes[i].leader.as_mut().unwrap();
    let before = leader_state.cluster.inspections();
    for n in 1..=50 {
        let mut again = report.clone();
        again.seq += n;
        assert!(leader_state.on_heartbeat(&again, now).is_some());
    }
    let reports = leader_state.cluster.inspections() - before;
    let job = leader_state.cluster.job_handle("j-000002").unwrap();
    let before = leader_state.cluster.inspections();
    // Something changed: the next tick is a whole pass.
    leader_state.reconciled(&WritePlan {
        txn: Txn::default(),
        intents: Vec::new(),
    });
    leader_state.tick(now, now);
    assert!(
        leader_state
            .cluster
            .job(job)
            .is_some_and(|j| j.waiting_count() == 3)
    );
    let pass = leader_state.cluster.inspections() - before;
    (reports, pass as f64 / machines as f64)
}

#[test]
fn heartbeat_and_cycle_cost_is_independent_of_fleet() {
    let (small, large) = (inspections(20), inspections(200));
    assert_eq!(small.0, large.0, "a report touches its machine alone");
    // A pass looks at each machine a few times, however many jobs wait.
    assert!(large.1 < 20.0, "{} looks at each machine", large.1);
}
