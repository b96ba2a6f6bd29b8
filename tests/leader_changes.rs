//! Events during the few seconds of a failover: quota enforcement,
//! cancellations, stale heartbeats, unreachable machines and newly booted
//! machines.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::users::{JobState, Kind, Priority},
};
use simulation::{CANCEL, Cut, CutScope, LEASE, Net, Simulation, UserRequest, id, job};

/// A cluster in which both teams have reached their limits and have more tasks
/// waiting: team `t` runs four tasks and team `u` two, on four machines with
/// room for eight.
fn teams_at_limits(seed: u64, nodes: usize, standbys: bool) -> Simulation {
    let mut sim =
        Simulation::with_nodes(seed, 4, 0.0, nodes).with_team_limits(&[("t", 16.0), ("u", 8.0)]);
    (sim.run_ms, sim.traffic.max_latency_ms, sim.standbys) = (600_000, 20, standbys);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    for number in 1..=10 {
        let mut spec = job(number, Kind::Array, 2);
        if number > 5 {
            spec.team = "u".into();
        }
        sim.submit(spec);
    }
    sim.run_until(20_000, "teams at their limits", |sim| {
        sim.running("j-") == 6
    });
    sim.run(3_000);
    sim
}

/// Returns the machine index and the job ID of every task on a machine.
fn running_tasks_by_machine(sim: &Simulation) -> Vec<(usize, String)> {
    let tasks = sim.workers.iter().enumerate();
    let tasks = tasks
        .flat_map(|(machine, worker)| worker.tasks.iter().map(move |t| (machine, &t.name[..8])));
    tasks
        .map(|(machine, id)| (machine, id.to_owned()))
        .collect()
}

/// Way in which the current leader gives up or loses its leadership.
#[derive(Clone, Copy, Debug)]
enum LeaderChange {
    Transfer,
    Crash,
    CrashAndRestart,
    RefusedByStore,
    Pause,
}
use LeaderChange::*;

const LEADER_CHANGES: [LeaderChange; 5] = [Transfer, Crash, CrashAndRestart, RefusedByStore, Pause];

fn apply_leader_change(sim: &mut Simulation, leader_change: LeaderChange) {
    let Some(leader) = sim.leader() else { return };
    match leader_change {
        Transfer => sim.transfer_leadership(leader),
        Crash => sim.crash(leader, 20_000),
        CrashAndRestart => sim.crash(leader, 100),
        RefusedByStore => {
            sim.store.refused_nodes.insert(leader);
        }
        Pause => sim.pause_process(leader, 8_000),
    }
}

/// Both teams are at their limits. Jobs are cancelled while their machines are
/// partitioned (both ways or one way) or paused, and the leader changes during
/// that time. Guards against quota that is released as soon as the records show
/// the job as final although its tasks may still run, and against quota usage
/// that is never released.
#[test]
fn quota_holds_when_cancelled_tasks_are_unreachable() {
    let (mut cancelled_jobs, mut busy_unreachable_machines) = (0, 0);
    let network_faults = [
        Net::Hold,
        Net::Lose,
        Net::SendOnly,
        Net::DirectCommandsOnly,
        Net::Up,
    ];
    for (case, leader_change) in
        (0..50u64).map(|case| (case, LEADER_CHANGES[(case / 5) as usize % 5]))
    {
        let mut sim = teams_at_limits(1_000 + case, [3, 7][(case % 2) as usize], case % 3 != 0);
        let tasks = running_tasks_by_machine(&sim);
        let unreachable = [tasks[0].0, tasks[tasks.len() - 1].0];
        for machine in unreachable {
            match network_faults[(case % 5) as usize] {
                Net::Up => sim.pause_machine(machine, 14_000),
                fault => sim.workers[machine].net = fault,
            }
        }
        let delay_before_cancel = sim.rng.u64(0..3_000);
        sim.run(delay_before_cancel);
        for (machine, id) in &tasks {
            if unreachable.contains(machine) {
                let node = sim.rng.usize(..sim.nodes.len());
                sim.request_later(0, node, UserRequest::Cancel(id.clone()));
            }
        }
        // The leader change happens before or after the cancellation is recorded.
        let delay_after_cancel = sim.rng.u64(0..400);
        sim.run(delay_after_cancel);
        busy_unreachable_machines += unreachable
            .iter()
            .filter(|machine| !sim.workers[**machine].tasks.is_empty())
            .count();
        apply_leader_change(&mut sim, leader_change);
        sim.run(CANCEL + 10_000);
        let is_answered_cancelled = |number: &u32| {
            sim.answered
                .get(&id(*number))
                .is_some_and(|entry| entry.0 == JobState::Cancelled)
        };
        cancelled_jobs += (1..=10).filter(is_answered_cancelled).count();
        sim.store.refused_nodes.clear();
        unreachable
            .into_iter()
            .for_each(|machine| sim.restore_network(machine));
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        for number in 1..=10 {
            sim.run_until(
                240_000,
                &format!("{case} {leader_change:?}: {number}"),
                |sim| {
                    let is_final = sim.done(&id(number));
                    if !is_final {
                        for worker in &mut sim.workers {
                            let latest_end = sim.now + 3_000;
                            worker
                                .tasks
                                .iter_mut()
                                .for_each(|task| task.until = task.until.min(latest_end));
                        }
                    }
                    is_final
                },
            );
        }
        assert!(
            sim.violations.is_empty(),
            "{case} {leader_change:?}: {:?}",
            sim.violations
        );
    }
    // The runs covered the combination under test: tasks remained on unreachable
    // machines, and users were answered that their jobs are cancelled.
    assert!(
        busy_unreachable_machines >= 90 && cancelled_jobs >= 50,
        "{busy_unreachable_machines}, {cancelled_jobs}"
    );
}

/// Cancellations are requested at all nodes in the seconds before, during and
/// after a leader change. Guards against a confirmed cancellation that is lost
/// between the old leader and the new one, and against tasks of a cancelled job
/// that keep running.
#[test]
fn cancellation_survives_failover_at_any_moment() {
    let (mut confirmed_by_change, mut late_starts) = ([0; 5], 0);
    for seed in 0..60u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(2_000 + seed, 6, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (600_000, 30, 150);
        sim.store.delay_ms = [0, 300][(seed / 3 % 2) as usize];
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for number in 1..=6 {
            sim.submit(job(
                number,
                [Kind::Array, Kind::Gang, Kind::Service][number as usize % 3],
                2,
            ));
        }
        sim.run_until(20_000, "running", |sim| sim.running("j-") == 12);
        sim.run(3_000);
        let cancel_requests: Vec<usize> = (1..=6)
            .flat_map(|number| {
                let (delay, node) = (sim.rng.u64(0..9_000), sim.rng.usize(..nodes));
                [
                    sim.request_later(delay, node, UserRequest::Cancel(id(number))),
                    sim.request_later(
                        delay + 700,
                        (node + 1) % nodes,
                        UserRequest::Cancel(id(number)),
                    ),
                ]
            })
            .collect();
        for number in 1..=6 {
            for poll in 0..60 {
                let node = sim.rng.usize(..nodes);
                sim.request_later(poll * 200, node, UserRequest::Poll(id(number)));
            }
        }
        sim.run(2_500);
        let leader_change = LEADER_CHANGES[seed as usize % 5];
        apply_leader_change(&mut sim, leader_change);
        sim.run(11_000);
        sim.store.refused_nodes.clear();
        sim.store.delay_ms = 0;
        let answer_to = |request: &usize| sim.traffic.history[*request].answer.as_ref();
        let confirmed =
            |request: &&usize| matches!(answer_to(request), Some((_, Answer::State(..))));
        confirmed_by_change[seed as usize % 5] += cancel_requests.iter().filter(confirmed).count();
        late_starts += sim.started_after_cancellation;
        sim.run(CANCEL);
        for number in 1..=6 {
            if sim.answered.contains_key(&format!("{}!", id(number))) {
                assert_eq!(sim.running(&id(number)), 0, "seed {seed} {leader_change:?}");
                sim.run_until(20_000, "final record", |sim| sim.done(&id(number)));
            }
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed} {leader_change:?}: {:?}",
            sim.violations
        );
    }
    assert!(
        confirmed_by_change.iter().all(|count| *count > 10),
        "{confirmed_by_change:?}"
    );
    assert_eq!(
        late_starts, 0,
        "tasks started after a confirmed cancellation"
    );
}

/// The state service refuses only the leader's requests. At the same moment jobs
/// are cancelled at all nodes, and 0.3 to 2.5 s later the state service becomes
/// unavailable to all nodes for longer than `cancel_s`. Guards against tasks of
/// cancelled jobs that run on through the outage.
#[test]
fn cancelled_tasks_stop_during_long_outage_after_refusal() {
    let mut confirmed_cancellations = 0;
    for seed in 0..30u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(3_000 + seed, 4, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (600_000, 30, 100);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for number in 1..=4 {
            sim.submit(job(number, Kind::Array, 2));
        }
        sim.run_until(20_000, "running", |sim| sim.running("j-") == 8);
        sim.run(3_000);
        let leader = sim.leader().unwrap();
        for number in 1..=4 {
            for node in 0..nodes {
                let delay = sim.rng.u64(0..1_500);
                sim.request_later(delay, node, UserRequest::Cancel(id(number)));
            }
        }
        sim.store.refused_nodes.insert(leader);
        sim.run([300, 1_000, 1_000, 2_500][seed as usize % 4]);
        sim.store.unavailable = true;
        if seed % 3 == 0 {
            // The nodes that could take over crash and restart without their memory.
            (0..nodes)
                .filter(|node| *node != leader)
                .for_each(|node| sim.crash(node, 150));
        }
        sim.run(CANCEL + 15_000);
        let confirmed =
            (1..=4).filter(|number| sim.answered.contains_key(&format!("{}!", id(*number))));
        confirmed_cancellations += confirmed.count();
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        sim.store.unavailable = false;
        sim.store.refused_nodes.clear();
        sim.run_until(30_000, "a leader after the outage", |sim| {
            sim.leader().is_some()
        });
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        sim.run(60_000);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(confirmed_cancellations > 30, "{confirmed_cancellations}");
}

/// All controllers are down for longer than a worker lease, the leader changes
/// ten times within two minutes (in some runs also during an outage of the
/// state service), or leadership is transferred every second. Guards against
/// tasks that start while an older attempt still runs, and against jobs that no
/// leader resumes.
#[test]
fn rapid_failovers_and_leaderless_periods_break_no_invariant() {
    for seed in 0..16u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(4_000 + seed, 5, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (25_000, 20, 100);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for number in 1..=5 {
            sim.submit(job(
                number,
                [Kind::Array, Kind::Service][number as usize % 2],
                2 + number % 3,
            ));
        }
        sim.run(8_000);
        let terms_before = sim.terms;
        if seed % 4 == 3 {
            let downtime_ms = sim.rng.u64(LEASE + 1_000..3 * LEASE);
            (0..nodes).for_each(|node| sim.crash(node, downtime_ms));
            sim.run(downtime_ms + 1_000);
            assert!(sim.expired_tasks > 0, "no worker lease expired");
        } else {
            for round in 0..12 {
                // In a quarter of the seeds, three changes happen during an outage.
                sim.store.unavailable = seed % 4 == 2 && (4..7).contains(&round);
                match (seed % 4 == 1, sim.leader()) {
                    (true, Some(node)) => sim.transfer_leadership(node),
                    (false, Some(node)) => sim.crash(node, [100, 700, 6_000][round % 3]),
                    (_, None) => {}
                }
                let interval_ms = if seed % 4 == 1 { 1_000 } else { 10_000 };
                sim.run(interval_ms);
            }
            sim.store.unavailable = false;
            sim.run(8_000);
            let min_terms = if seed % 4 == 2 { 6 } else { 10 };
            assert!(
                sim.terms >= terms_before + min_terms,
                "{} terms",
                sim.terms - terms_before
            );
        }
        sim.run_until(40_000, "a leader", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        for number in [2, 4] {
            sim.run_until(120_000, &format!("seed {seed}: {number}"), |sim| {
                sim.done(&id(number))
            });
        }
        sim.run_until(60_000, "service running", |sim| sim.running(&id(1)) == 3);
        for number in 1..=5 {
            for node in 0..nodes {
                assert!(
                    sim.poll(node, &id(number)).is_some(),
                    "seed {seed}: {number} at {node}"
                );
            }
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
}

/// Stale heartbeats reach every controller when a new leader is elected, and
/// again after that leader has acted. They date from before tasks ended, from
/// earlier incarnations, and from before an agent restarted. Guards against
/// treating them as current.
#[test]
fn stale_heartbeats_are_ignored_after_failover() {
    let mut replayed_heartbeats = 0;
    for seed in 0..40u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(5_000 + seed, 5, 0.0, nodes);
        (sim.run_ms, sim.standbys, sim.keep_for_next_leader) = (4_000, seed % 3 != 0, true);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        let mut job_count = 0;
        for round in 0..5u64 {
            for _ in 0..3 {
                job_count += 1;
                sim.submit(job(
                    job_count,
                    [Kind::Array, Kind::Service][(job_count % 2) as usize],
                    1 + job_count % 3,
                ));
                sim.run(1_500);
            }
            let machine = sim.rng.usize(..5);
            match (seed + round) % 4 {
                0 => sim.restart_machine(machine),
                1 => sim.workers[machine].net = Net::Lose,
                2 => sim.pause_machine(machine, LEASE + 2_000),
                _ => {}
            }
            sim.cancel(&id(job_count));
            let delay = sim.rng.u64(0..LEASE + 4_000);
            sim.run(delay);
            apply_leader_change(&mut sim, LEADER_CHANGES[(seed + round) as usize % 5]);
            sim.run(6_000);
            sim.restore_network(machine);
            sim.store.refused_nodes.clear();
            sim.run(8_000);
        }
        sim.keep_for_next_leader = false;
        sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
        replayed_heartbeats += sim.replayed;
        sim.fault_free = true;
        for number in 1..=job_count {
            if sim.specs[&id(number)].kind == Kind::Service {
                sim.cancel(&id(number));
            }
            sim.run_until(120_000, &format!("seed {seed}: {number}"), |sim| {
                sim.done(&id(number))
            });
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(replayed_heartbeats > 500, "{replayed_heartbeats}");
}

/// New machines boot within two seconds and get tasks at once, while writes are
/// applied late or their answers are lost, and then the leader crashes. Guards
/// against a machine that runs tasks but is missing from the machine registry
/// that the next leader reads.
#[test]
fn quickly_booted_machines_are_registered_before_failover() {
    let (mut started, mut partitioned) = (0, 0);
    for seed in 0..40u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(6_000 + seed, 1, 0.0, nodes);
        (sim.cloud_grants, sim.boot_ms, sim.run_ms, sim.fetch_ms) = (true, 1_000, 60_000, 100);
        sim.standbys = seed % 3 != 0;
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for number in 1..=6 {
            sim.submit(job(number, Kind::Array, 3));
        }
        match seed % 2 {
            0 => sim.store.late_writes = (0..8).map(|write| 2_000 + write * 1_100).collect(),
            _ => sim.store.lost_answers = 60,
        }
        let delay = sim.rng.u64(2_500..7_000);
        sim.run(delay);
        started += sim.start_log.len();
        let leader = sim.leader().unwrap_or(0);
        sim.crash(leader, [100, 20_000][(seed / 2 % 2) as usize]);
        // Some of the new machines are partitioned.
        let machine_count = sim.workers.len();
        for machine in (1..machine_count).filter(|machine| machine % 3 != 0) {
            sim.workers[machine].net =
                [Net::Hold, Net::DirectCommandsOnly, Net::Lose][(seed % 3) as usize];
            partitioned += 1;
        }
        sim.run(12_000);
        sim.store.late_writes.clear();
        sim.store.lost_answers = 0;
        sim.run(LEASE + 8_000);
        (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
        sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        for number in 1..=6 {
            sim.run_until(200_000, &format!("seed {seed}: {number}"), |sim| {
                sim.done(&id(number))
            });
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(
        started > 40 && partitioned > 40,
        "{started} task starts, {partitioned} machines partitioned"
    );
}

/// No controller receives a machine's heartbeats, though direct commands reach
/// the machine. Guards against treating the machine as usable because it answers
/// commands: its lease expires every ten seconds, which stops every task started
/// there.
#[test]
fn machine_without_received_heartbeats_gets_no_new_tasks() {
    for (seed, leader_change) in (0..20u64).map(|seed| (seed, LEADER_CHANGES[seed as usize % 5])) {
        let mut sim = Simulation::with_nodes(7_000 + seed, 4, 0.0, 3);
        sim.run_ms = 600_000;
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.submit(job(1, Kind::Service, 4));
        sim.run_until(20_000, "service running", |sim| sim.running(&id(1)) == 4);
        sim.run(3_000);
        let machine = running_tasks_by_machine(&sim)[0].0;
        sim.workers[machine].net = Net::DirectCommandsOnly;
        let (muted_at, starts_before) = (sim.now, sim.start_log.len());
        if seed % 4 > 0 {
            sim.run(2_000);
            apply_leader_change(&mut sim, leader_change);
        }
        sim.run_until(LEASE + 16_000, "all replicas on other machines", |sim| {
            sim.workers[machine].incarnation > 1 && sim.running(&id(1)) == 4
        });
        let started_after_expiry =
            |start: &(u64, usize, String)| start.1 == machine && start.0 > muted_at + LEASE;
        assert!(
            !sim.start_log[starts_before..]
                .iter()
                .any(started_after_expiry),
            "task started on the machine after its lease expired"
        );
        sim.store.refused_nodes.clear();
        sim.run(10_000);
        assert!(
            !sim.start_log[starts_before..]
                .iter()
                .any(started_after_expiry),
            "task started on the machine after its lease expired"
        );
        sim.restore_network(machine);
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        sim.submit(job(2, Kind::Array, 4));
        sim.run_until(90_000, "array done after the network is restored", |sim| {
            sim.done(&id(2))
        });
        assert!(
            sim.violations.is_empty(),
            "seed {seed} {leader_change:?}: {:?}",
            sim.violations
        );
    }
}

/// A zone with workers and one controller is partitioned from the rest for longer
/// than a worker lease, with the leader inside or outside of the zone. Some jobs,
/// among them an array, are constrained to a zone. Guards against jobs that do
/// not recover once the partition ends.
#[test]
fn partitioned_zone_with_controller_recovers() {
    let mut led_inside = 0;
    for seed in 0..24u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(8_000 + seed, 6, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.cloud_grants) = (20_000, 20, true);
        let inside_node = [0, nodes - 1][(seed / 2 % 2) as usize];
        sim.zone_b_nodes.insert(inside_node);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        let mut zone_bound = job(1, Kind::Array, 6);
        zone_bound.zone = Some("b".into());
        sim.submit(zone_bound);
        let mut spread = job(2, Kind::Service, 3);
        spread.spread = true;
        sim.submit(spread);
        let mut gang = job(3, Kind::Gang, 3);
        gang.single_zone = true;
        sim.submit(gang);
        sim.run(8_000);
        led_inside += u32::from(sim.leader() == Some(inside_node));
        let zone_machines: Vec<usize> = (0..6)
            .filter(|machine| sim.workers[*machine].zone == "b")
            .collect();
        sim.partition(inside_node, CutScope::State, Cut::Hold);
        (0..nodes)
            .filter(|node| *node != inside_node)
            .for_each(|node| sim.partition(inside_node, CutScope::Node(node), Cut::Hold));
        // The zone's workers reach only the controller inside the zone.
        (0..nodes)
            .filter(|node| *node != inside_node)
            .for_each(|node| sim.partition_from_workers(node, &zone_machines));
        let duration_ms = sim.rng.u64(LEASE + 2_000..3 * LEASE);
        sim.run(duration_ms);
        if seed % 3 == 0 {
            zone_machines
                .iter()
                .for_each(|machine| sim.kill_machine(*machine));
        }
        (0..nodes).for_each(|node| sim.end_partitions(node));
        sim.run_until(40_000, "a leader", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        sim.run_until(60_000, "service running", |sim| sim.running(&id(2)) == 3);
        for number in [1, 3] {
            sim.run_until(120_000, &format!("seed {seed}: {number}"), |sim| {
                sim.done(&id(number))
            });
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!((4..20).contains(&led_inside), "{led_inside}");
}

/// More jobs of several priorities and classes than there is room for, over slow
/// links, with direct commands delayed by up to 3.6 s. Guards against a class or
/// a job that never gets its share of the capacity.
#[test]
fn overload_over_slow_links_starves_no_class() {
    for seed in 0..6u64 {
        let mut sim = Simulation::with_nodes(9_000 + seed, 5, 0.0, 3);
        (sim.run_ms, sim.traffic.max_latency_ms) = (4_000, 20);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for machine in 0..5 {
            let latency_ms = sim.rng.u64(100..1_800);
            sim.slow_links.insert(machine, latency_ms);
            if machine % 2 == 0 {
                sim.direct_command_delay.insert(machine, latency_ms * 2);
            }
        }
        let mut job_count = 0;
        for round in 0..40 {
            job_count += 1;
            let mut spec = job(
                job_count,
                [Kind::Array, Kind::Gang][round % 2],
                1 + job_count % 4,
            );
            spec.priority = [Priority::Normal, Priority::High, Priority::Low][round % 3];
            spec.class = format!("c{}", round % 3);
            sim.submit(spec);
            sim.run(800);
        }
        let submitted_at = sim.now;
        sim.fault_free = true;
        for number in 1..=job_count {
            sim.run_until(240_000, &format!("seed {seed}: {number}"), |sim| {
                sim.done(&id(number))
            });
        }
        assert!(sim.now < submitted_at + 240_000, "seed {seed}");
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
}

/// An agent restarts at once and sends heartbeats, none of which reaches the leader,
/// so its sequence numbers exceed the last one that the leader knows. Then
/// direct commands reach the agent, and it is given tasks. Its lease runs from
/// its own start, which is later than the leader's last heartbeat response.
/// Guards against inferring from the higher sequence number that the agent is
/// still the process that got that response (seen in one of 6,555 simulated days
/// with random faults).
#[test]
fn restarted_agent_with_higher_sequence_number_keeps_own_lease() {
    let mut restarted_with_tasks = 0;
    for seed in 0..40u64 {
        let mut sim = Simulation::with_nodes(9_500 + seed, 4, 0.0, 3);
        (sim.run_ms, sim.standbys) = (600_000, false);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for number in 1..=8 {
            sim.submit(job(number, Kind::Array, 1));
        }
        sim.run_until(10_000, "all machines full", |sim| sim.running("j-") == 8);
        sim.run(3_000);
        let leader = sim.leader().unwrap();
        (0..3).for_each(|peer| sim.partition(leader, CutScope::Node(peer), Cut::Hold));
        let tasks = running_tasks_by_machine(&sim);
        let (machine, first_job) = tasks[0].clone();
        let other_job = tasks
            .iter()
            .find(|(other, _)| *other != machine)
            .unwrap()
            .1
            .clone();
        // The other nodes detect that the leader does not answer them, and redirect
        // workers to no particular node.
        sim.run(1_600);
        // The restarted agent can't open connections to the leader, and nobody else can answer its
        // heartbeats.
        let latest_seq = sim.workers[machine].seq;
        sim.restart_machine(machine);
        sim.workers[machine].net = Net::DirectCommandsOnly;
        sim.workers[machine].seq = latest_seq + 1;
        let delay = sim.rng.u64(5_500..9_000);
        sim.run(delay);
        let starts_before = sim.start_log.len();
        // The commands for this cancellation show the leader that the restarted agent
        // has no tasks, and one task starts again.
        sim.cancel(&first_job);
        sim.run(400);
        // This cancellation frees room on another machine too.
        sim.cancel(&other_job);
        sim.run(6_000);
        restarted_with_tasks += u32::from(
            sim.start_log[starts_before..]
                .iter()
                .any(|start| start.1 == machine),
        );
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        (0..3).for_each(|node| sim.end_partitions(node));
        sim.restore_network(machine);
        sim.run(10_000);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(
        restarted_with_tasks >= 20,
        "the restarted agent got tasks in only {restarted_with_tasks} of 40 runs"
    );
}
