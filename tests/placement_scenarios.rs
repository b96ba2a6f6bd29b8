//! Placement under failures in a simulated cluster: quotas, zone constraints,
//! preemption, gangs, scale-out, the reasons for waiting that operators see, and
//! the cost of a scheduling cycle.

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
    for number in 1..8 {
        sim.submit(job(number, Kind::Array, 3));
    }
    sim.run(4_000);
    for round in 0..4 {
        if let Some(old_leader) = sim.leader() {
            sim.crash(old_leader, 3_000);
        }
        let partitioned = round % 6;
        sim.workers[partitioned].net = Net::Hold;
        sim.run(14_000);
        sim.restore_network(partitioned);
    }
    sim.run_until(120_000, "all done", |sim| {
        (1..8).all(|number| sim.done(&format!("j-{number:06}")))
    });
    sim.assert_no_violations();
}

#[test]
fn new_job_starts_beside_unresponsive_machine_within_quota() {
    for (limit, starts_early) in [(16.0, true), (12.0, false)] {
        let mut sim = Simulation::with_leader(15, 3, limit);
        sim.submit(job(1, Kind::Service, 2));
        sim.run_until(20_000, "running", |sim| sim.running("j-000001") == 2);
        let old_leader = sim.leader().unwrap();
        let unresponsive = sim
            .workers
            .iter()
            .position(|machine| !machine.tasks.is_empty())
            .unwrap();
        sim.workers[unresponsive].net = Net::Hold;
        sim.crash(old_leader, 30_000);
        sim.run_until(10_000, "another leader", |sim| {
            sim.leader().is_some_and(|node| node != old_leader)
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
    let spot_machine = sim.workers.len();
    sim.add_worker("a", true, 0);
    sim.run(3_000);
    let mut on_demand_service = job(1, Kind::Service, 4);
    on_demand_service.spot = false;
    let mut spot_service = job(2, Kind::Service, 4);
    spot_service.spot = true;
    sim.submit(on_demand_service);
    sim.submit(spot_service);
    sim.run_until(20_000, "running", |sim| {
        sim.running("j-000001") == 4 && sim.running("j-000002") == 4
    });
    // The spot machine becomes unresponsive, and another machine fails together with
    // the leader.
    let failing_machine = sim
        .workers
        .iter()
        .position(|machine| {
            machine
                .tasks
                .iter()
                .any(|task| task.name.starts_with("j-000001"))
        })
        .unwrap();
    sim.workers[spot_machine].net = Net::Hold;
    sim.workers[failing_machine].incarnation += 1;
    sim.workers[failing_machine].tasks.clear();
    let old_leader = sim.leader().unwrap();
    sim.crash(old_leader, 30_000);
    sim.run_until(10_000, "another leader", |sim| {
        sim.leader().is_some_and(|node| node != old_leader)
    });
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    assert!(!sim.nodes[leader].leader.as_ref().unwrap().settled());
    assert_eq!(
        sim.running("j-000001"),
        4,
        "tasks of the failed machine run again"
    );
    sim.run(20_000);
    sim.restore_network(spot_machine);
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
    assert_eq!(
        sim.running("j-000001"),
        1,
        "one task was preempted, not both"
    );
    let leader = sim.leader().unwrap();
    let cluster = &sim.nodes[leader].leader.as_ref().unwrap().cluster;
    assert!(
        cluster
            .machines()
            .all(|machine| machine.reserved_for.is_none())
    );
    sim.assert_no_violations();
}

#[test]
fn team_below_guarantee_preempts_team_above_its_own() {
    let mut sim = Simulation::with_leader(18, 2, 0.0);
    sim.run_ms = 600_000;
    sim.submit(job(1, Kind::Array, 6));
    sim.run_until(10_000, "the first team uses all capacity", |sim| {
        sim.running("j-000001") == 4
    });
    sim.run(30_000);
    let mut guaranteed = job(2, Kind::Array, 2);
    guaranteed.team = "u".into();
    sim.submit(guaranteed);
    sim.run_until(20_000, "the second team runs", |sim| {
        sim.running("j-000002") == 2
    });
    assert_eq!(
        sim.running("j-000001"),
        2,
        "the first team keeps its guarantee"
    );
    // Above its guarantee, the second team preempts no tasks.
    let mut above_guarantee = job(3, Kind::Array, 1);
    above_guarantee.team = "u".into();
    sim.submit(above_guarantee);
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
    for partitioned in 0..8 {
        sim.workers[partitioned].net = Net::Hold;
        sim.run(7_000);
        if partitioned % 3 == 2
            && let Some(leader) = sim.leader()
        {
            sim.crash(leader, 3_000);
        }
        sim.run(9_000);
        sim.restore_network(partitioned);
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
        .position(|machine| !machine.tasks.is_empty())
        .unwrap();
    sim.workers[lost].net = Net::Lose;
    sim.run(30_000);
    let attempts: std::collections::BTreeSet<u64> = sim
        .workers
        .iter()
        .flat_map(|machine| &machine.tasks)
        .map(|task| task.attempt)
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
    let lost_machines: Vec<usize> = (0..3)
        .filter(|machine| {
            let mut tasks = sim.workers[*machine].tasks.iter();
            tasks.any(|task| task.name.starts_with("j-000001"))
        })
        .collect();
    for machine in lost_machines {
        sim.workers[machine].net = Net::Lose;
    }
    // The machines' leases must expire first; an image fetch and two heartbeats take
    // up to 4 s more.
    sim.run_until(LEASE + 4_000, "service running elsewhere", |sim| {
        let reachable = sim.workers.iter().filter(|worker| worker.net == Net::Up);
        let tasks = reachable.flat_map(|worker| &worker.tasks);
        let up = tasks.filter(|task| task.name.starts_with("j-000001"));
        up.filter(|task| task.state == TaskState::Running).count() == 2
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
    let zone_b_machines: Vec<usize> = (0..8)
        .filter(|machine| sim.workers[*machine].zone == "b")
        .collect();
    sim.run(3_000);
    for machine in &zone_b_machines {
        sim.workers[*machine].net = Net::Hold;
    }
    sim.run(5_000);
    sim.submit(batch);
    sim.run(30_000);
    assert_eq!(
        sim.workers.len(),
        8,
        "machine rented in the unreachable zone"
    );
    // A controller in the zone answers again.
    let (leader, now) = (sim.leader().unwrap(), sim.now);
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    leader_state.controller_responded("b", now);
    sim.run_until(10_000, "machine rented", |sim| sim.workers.len() > 8);
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
    // A service rather than an array: the gang can't preempt its tasks to get the
    // machines back.
    let mut small = job(2, Kind::Service, 6);
    small.priority = Priority::Low;
    sim.submit(small);
    sim.run(10_000);
    assert_eq!(
        sim.running("j-000002"),
        0,
        "the machines are reserved for the gang"
    );
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
        .position(|machine| !machine.tasks.is_empty())
        .unwrap();
    sim.workers[lost].net = Net::Lose;
    sim.run_until(60_000, "all running", |sim| sim.running("j-000001") == 6);
    let attempts: std::collections::BTreeSet<u64> = sim
        .workers
        .iter()
        .flat_map(|machine| &machine.tasks)
        .map(|task| task.attempt)
        .collect();
    assert_eq!(attempts.len(), 1, "the other tasks kept their attempt");
    assert_eq!(sim.starts, 6);
    sim.assert_no_violations();
}

fn reason(sim: &mut Simulation, id: &str) -> Option<PendingReason> {
    let leader = sim.leader()?;
    sim.nodes[leader]
        .leader
        .as_ref()?
        .explain(id, sim.now)?
        .reason
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
    let mut late_batch = job(3, Kind::Array, 2);
    late_batch.team = "u".into();
    late_batch.deadline_s = Some(5.0);
    sim.submit(late_batch);
    sim.run(3_000);
    let mut service = job(4, Kind::Service, 1);
    service.team = "u".into();
    sim.submit(service);
    sim.run_until(15_000, "cloud refusal reported", |sim| {
        reason(sim, "j-000004") == Some(PendingReason::CloudRefuses)
    });
    sim.run(5_000);
    // One task of the batch runs, and no machine is requested for the other any more.
    assert_eq!(reason(&mut sim, "j-000003"), Some(PendingReason::NoRoom));
    let leader = sim.leader().unwrap();
    let now = sim.now;
    let cluster_status = sim.nodes[leader]
        .leader
        .as_ref()
        .unwrap()
        .cluster_status(now);
    let group = cluster_status
        .groups
        .iter()
        .find(|group| group.team == "u")
        .unwrap();
    assert_eq!((group.waiting, group.late_jobs), (2, 1));
    assert_eq!(
        cluster_status
            .fleet
            .iter()
            .map(|entry| entry.up)
            .sum::<u32>(),
        2
    );
    sim.assert_no_violations();
}

#[test]
fn explain_reports_team_limit_and_settling_leader() {
    let mut sim = Simulation::with_leader(23, 4, 8.0);
    sim.run_ms = 600_000;
    sim.submit(job(1, Kind::Array, 5));
    sim.run_until(10_000, "two run", |sim| sim.running("j-000001") == 2);
    assert_eq!(reason(&mut sim, "j-000001"), Some(PendingReason::TeamLimit));
    let old_leader = sim.leader().unwrap();
    let unresponsive = sim
        .workers
        .iter()
        .position(|machine| machine.tasks.is_empty())
        .unwrap();
    sim.workers[unresponsive].net = Net::Lose;
    sim.drop_standbys();
    sim.crash(old_leader, 3_000);
    sim.run_until(10_000, "a new leader", |sim| {
        sim.leader().is_some_and(|leader| leader != old_leader)
    });
    sim.run(2_000);
    assert_eq!(reason(&mut sim, "j-000001"), Some(PendingReason::Settling));
    sim.assert_no_violations();
}

/// Returns the number of machine inspections caused by 50 heartbeats without
/// changes, and the number of inspections per machine in one scheduling cycle over
/// a full fleet with 60 waiting jobs of different sizes.
fn count_inspections(machines: usize) -> (u64, f64) {
    let mut sim = Simulation::with_leader(24, machines, 0.0);
    sim.run_ms = 600_000;
    sim.run(3_000);
    sim.submit(job(1, Kind::Array, 2 * machines as u32));
    let task_count = 2 * machines;
    sim.run_until(20_000, "full", |sim| sim.running("j-000001") == task_count);
    for number in 2..62 {
        // Each job needs a different amount of memory, so that no result of one job can
        // be reused for another.
        let mut waiting = job(number, Kind::Array, 3);
        waiting.memory_gb += f64::from(number) / 100.0;
        sim.submit(waiting);
    }
    sim.run(3_000);
    let (leader, now) = (sim.leader().unwrap(), sim.now);
    let heartbeat = sim.heartbeat_of(0);
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    let inspections_before = leader_state.cluster.inspections();
    for number in 1..=50 {
        let mut next_heartbeat = heartbeat.clone();
        next_heartbeat.seq += number;
        assert!(leader_state.on_heartbeat(&next_heartbeat, now).is_some());
    }
    let heartbeat_inspections = leader_state.cluster.inspections() - inspections_before;
    let job = leader_state.cluster.job_handle("j-000002").unwrap();
    let inspections_before = leader_state.cluster.inspections();
    // Reports a change, so that the next tick runs a full scheduling cycle.
    leader_state.finish_reconciliation(&WritePlan {
        txn: Txn::default(),
        intents: Vec::new(),
    });
    leader_state.tick(now, now);
    assert!(
        leader_state
            .cluster
            .job(job)
            .is_some_and(|waiting| waiting.waiting_count() == 3)
    );
    let cycle_inspections = leader_state.cluster.inspections() - inspections_before;
    (
        heartbeat_inspections,
        cycle_inspections as f64 / machines as f64,
    )
}

#[test]
fn heartbeat_and_cycle_cost_is_independent_of_fleet() {
    let (small_fleet, large_fleet) = (count_inspections(20), count_inspections(200));
    assert_eq!(
        small_fleet.0, large_fleet.0,
        "a heartbeat inspects only its machine"
    );
    // A cycle inspects each machine a few times, however many jobs wait.
    assert!(
        large_fleet.1 < 20.0,
        "{} inspections per machine",
        large_fleet.1
    );
}
