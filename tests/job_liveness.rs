//! Liveness of jobs under one-way partitions of machines, duplicate heartbeats,
//! controllers that only workers reach, and agents that restart at once.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::users::{JobSpec, Kind, Priority},
};
use simulation::{Cut, CutScope, LEASE, Net, Simulation, UserRequest, id, job};

/// A cluster that runs a service with this number of replicas.
fn with_running_service(seed: u64, machines: usize, replicas: u32) -> Simulation {
    run_service(Simulation::new(seed, machines, 0.0), replicas)
}

/// As `with_running_service`, without warm standbys.
fn with_service_without_standbys(seed: u64, machines: usize, replicas: u32) -> Simulation {
    let mut sim = Simulation::new(seed, machines, 0.0);
    sim.standbys = false;
    run_service(sim, replicas)
}

fn run_service(mut sim: Simulation, replicas: u32) -> Simulation {
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Service, replicas));
    sim.run_until(20_000, "running", |sim| {
        sim.running(&id(1)) == replicas as usize
    });
    sim
}

fn first_busy_machine(sim: &Simulation) -> usize {
    sim.workers
        .iter()
        .position(|machine| !machine.tasks.is_empty())
        .unwrap()
}

/// A machine's heartbeats arrive while it receives no responses and commands.
/// Guards against a leader that keeps placing tasks there, which never start,
/// because each heartbeat makes the machine look usable.
#[test]
fn tasks_move_after_lease_expiry_under_one_way_partition() {
    let mut sim = with_running_service(1, 3, 3);
    let partitioned = first_busy_machine(&sim);
    sim.workers[partitioned].net = Net::SendOnly;
    sim.run_until(LEASE + 6_000, "lease expired", |sim| {
        sim.workers[partitioned].incarnation > 1
    });
    sim.run_until(8_000, "service moved", |sim| sim.running(&id(1)) == 3);
    // The machine gets no tasks of a later job either.
    sim.submit(job(2, Kind::Array, 3));
    sim.run_until(30_000, "done", |sim| sim.done(&id(2)));
    assert!(sim.workers[partitioned].tasks.is_empty());
    sim.restore_network(partitioned);
    sim.run(4_000);
    // The machine is usable again: the third job doesn't fit without it.
    sim.submit(job(3, Kind::Service, 3));
    sim.run_until(10_000, "running", |sim| sim.running(&id(3)) == 3);
    sim.assert_no_violations();
}

/// Guards against a new leader that never settles: as it answers each heartbeat of
/// a machine that receives no answers, the machine's lease would seem never to
/// expire.
#[test]
fn new_leader_wait_is_bounded_under_one_way_partition() {
    // With one controller, every heartbeat of the machine reaches that one.
    let mut sim = Simulation::with_nodes(2, 3, 0.0, 1);
    sim.standbys = false;
    let mut sim = run_service(sim, 4);
    let partitioned = first_busy_machine(&sim);
    sim.workers[partitioned].net = Net::SendOnly;
    sim.crash(0, 3_000);
    sim.run_until(15_000, "a leader", |sim| sim.leader().is_some());
    sim.run_until(30_000, "settled", |sim| {
        sim.leader()
            .is_some_and(|node| sim.nodes[node].leader.as_ref().unwrap().settled())
    });
    sim.run_until(10_000, "service moved", |sim| sim.running(&id(1)) == 4);
    sim.assert_no_violations();
}

/// No machine receives messages for 25 s. Guards against a leader that returns
/// machines to the cloud, or rents more than three, because of that.
#[test]
fn one_way_partition_of_fleet_triggers_no_scaling() {
    let mut sim = with_running_service(3, 6, 6);
    sim.cloud_grants = true;
    let (requested_before, returned_before) = (sim.machines_requested, sim.returned.len());
    (0..6).for_each(|machine| sim.workers[machine].net = Net::SendOnly);
    sim.run(25_000);
    (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
    sim.run_until(15_000, "all running", |sim| sim.running(&id(1)) == 6);
    assert_eq!(sim.returned.len(), returned_before);
    assert!(
        sim.machines_requested - requested_before <= 3,
        "{} machines requested",
        sim.machines_requested - requested_before
    );
    sim.assert_no_violations();
}

/// A duplicate of a heartbeat arrives after the lease that it renewed has expired.
/// Guards against a leader that then marks the machine as up.
#[test]
fn late_duplicate_heartbeat_revives_no_machine() {
    let mut sim = with_running_service(4, 3, 3);
    let machine = first_busy_machine(&sim);
    let duplicate = sim.heartbeat_of(machine);
    let name = duplicate.machine.clone();
    // Later heartbeats arrive before the duplicate.
    sim.run(2_500);
    sim.workers[machine].net = Net::Lose;
    let is_up = |sim: &mut Simulation| {
        let leader = sim.leader().unwrap();
        let leader_state = sim.nodes[leader].leader.as_ref().unwrap();
        let handle = leader_state.cluster.machine_handle(&name);
        handle
            .and_then(|handle| leader_state.cluster.machine(handle))
            .is_some_and(|machine| machine.up)
    };
    sim.run(6_000);
    // A duplicate that arrives before lease expiry renews nothing.
    let replay_heartbeat = |sim: &mut Simulation| {
        let leader = sim.leader().unwrap();
        let now = sim.now;
        let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
        leader_state.on_heartbeat(&duplicate, now);
    };
    replay_heartbeat(&mut sim);
    sim.run_until(LEASE - 4_000, "down", |sim| !is_up(sim));
    replay_heartbeat(&mut sim);
    assert!(!is_up(&mut sim));
    sim.run_until(8_000, "service moved", |sim| sim.running(&id(1)) == 3);
    sim.assert_no_violations();
}

/// A new leader gets only a heartbeat from before its term until the machine's
/// lease must have expired. After that a duplicate of the machine's next
/// heartbeat, which was lost, arrives. Guards against a leader that then marks
/// the machine as up or its tasks as running.
#[test]
fn late_duplicate_of_lost_heartbeat_misleads_no_leader() {
    let mut sim = with_service_without_standbys(5, 2, 3);
    let machine = first_busy_machine(&sim);
    let first_heartbeat = sim.heartbeat_of(machine);
    let old_leader = sim.leader().unwrap();
    sim.crash(old_leader, 3_000);
    sim.workers[machine].net = Net::Lose;
    sim.run_until(15_000, "a leader", |sim| sim.leader().is_some());
    let new_leader = sim.leader().unwrap();
    let now = sim.now;
    let leader_state = sim.nodes[new_leader].leader.as_mut().unwrap();
    let answer = leader_state
        .on_heartbeat(&first_heartbeat, now)
        .expect("the first heartbeat is answered");
    // The worker got that answer and its next heartbeat confirms it, but arrives late.
    sim.workers[machine].token = answer.fencing_token;
    let lost_heartbeat = sim.heartbeat_of(machine);
    sim.run_until(LEASE + 4_000, "settled", |sim| {
        sim.leader()
            .is_some_and(|node| sim.nodes[node].leader.as_ref().unwrap().settled())
    });
    let new_leader = sim.leader().unwrap();
    let now = sim.now;
    let leader_state = sim.nodes[new_leader].leader.as_mut().unwrap();
    leader_state.on_heartbeat(&lost_heartbeat, now);
    let handle = leader_state
        .cluster
        .machine_handle(&lost_heartbeat.machine)
        .unwrap();
    assert!(
        leader_state
            .cluster
            .machine(handle)
            .is_some_and(|machine| !machine.up && machine.tasks.is_empty())
    );
    sim.assert_no_violations();
}

/// A restarted agent counts its heartbeats from one again. Guards against a leader
/// that ignores all of them as stale.
#[test]
fn restarted_agent_is_reused_and_its_tasks_restart() {
    for restart_twice in [false, true] {
        let mut sim = with_running_service(6, 2, 4);
        sim.run(8_000);
        let machine = first_busy_machine(&sim);
        sim.restart_machine(machine);
        if restart_twice {
            sim.run(700);
            sim.restart_machine(machine);
        }
        sim.run_until(7_000, "all running", |sim| sim.running(&id(1)) == 4);
        sim.assert_no_violations();
    }
}

/// Guards against accepting a duplicate heartbeat from before an agent restarted,
/// whose incarnation is higher than that of any heartbeat since.
#[test]
fn duplicate_heartbeat_of_earlier_incarnation_is_ignored() {
    let mut sim = with_running_service(15, 2, 4);
    let worker = first_busy_machine(&sim);
    sim.workers[worker].net = Net::SendOnly;
    sim.run(LEASE + 2_000);
    sim.restore_network(worker);
    sim.run_until(20_000, "all running", |sim| sim.running(&id(1)) == 4);
    assert!(sim.workers[worker].incarnation > 1);
    sim.run(3_000);
    let duplicate = sim.heartbeat_of(worker);
    sim.restart_machine(worker);
    sim.run_until(7_000, "all running", |sim| sim.running(&id(1)) == 4);
    sim.run(2_000);
    let leader = sim.leader().unwrap();
    let now = sim.now;
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    assert!(leader_state.on_heartbeat(&duplicate, now).is_none());
    let machine_state = |leader_state: &pathwinch::control::leader::Leader| {
        let handle = leader_state
            .cluster
            .machine_handle(&duplicate.machine)
            .unwrap();
        leader_state
            .cluster
            .machine(handle)
            .map(|machine| (machine.up, machine.incarnation))
    };
    assert_eq!(machine_state(leader_state), Some((true, 1)));
    sim.run(5_000);
    assert_eq!(sim.running(&id(1)), 4);
    sim.assert_no_violations();
}

/// The leader reaches workers, but neither the state service nor the other nodes.
/// Guards against a leader that keeps its leadership then, and against tasks that
/// stop because of the leader change.
#[test]
fn leader_reached_only_by_workers_yields_leadership() {
    for cut in [Cut::Hold, Cut::Reset] {
        let mut sim = with_running_service(7, 3, 4);
        let old_leader = sim.leader().unwrap();
        sim.partition(old_leader, CutScope::State, cut);
        for peer in (0..3).filter(|peer| *peer != old_leader) {
            sim.partition(old_leader, CutScope::Node(peer), cut);
        }
        sim.run_until(9_000, "another leader", |sim| {
            sim.leader().is_some_and(|node| node != old_leader)
        });
        sim.run(30_000);
        assert_eq!((sim.expired_tasks, sim.running(&id(1))), (0, 4), "{cut:?}");
        let (new_leader, terms) = (sim.leader().unwrap(), sim.terms);
        sim.end_partitions(old_leader);
        sim.run(10_000);
        assert_eq!(
            (sim.leader(), sim.terms),
            (Some(new_leader), terms),
            "{cut:?}"
        );
        sim.assert_no_violations();
    }
}

/// Returns when a task of the job first started.
fn first_task_start(sim: &Simulation, number: u32) -> Option<u64> {
    let prefix = format!("{}/", id(number));
    let first = sim
        .start_log
        .iter()
        .find(|(_, _, task)| task.starts_with(&prefix));
    first.map(|(time, ..)| *time)
}

/// Returns how long a large job waits for its first task, in ms, while small jobs
/// of this priority keep arriving, more than there is room for; `u64::MAX` if the
/// large job never starts.
fn wait_of_large_job(
    seed: u64,
    starvation_timeout_s: f64,
    large_job: &dyn Fn(u32) -> JobSpec,
    priority: Priority,
) -> u64 {
    let mut sim = Simulation::new(seed, 4, 0.0);
    sim.starvation_timeout_s = starvation_timeout_s;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    let small_job = |number: u32| {
        let mut spec = job(number, Kind::Array, 4);
        (spec.priority, spec.deadline_s) = (priority, Some(1_000.0));
        spec
    };
    (1..=4).for_each(|number| sim.submit(small_job(number)));
    let submitted_at = sim.now;
    sim.submit(large_job(500));
    for number in 5..160 {
        sim.submit(small_job(number));
        sim.run(2_500);
        if first_task_start(&sim, 500).is_some() {
            break;
        }
    }
    sim.assert_no_violations();
    first_task_start(&sim, 500).map_or(u64::MAX, |start| start - submitted_at)
}

#[test]
fn largest_jobs_start_within_bound_under_load() {
    let large_batch = |number: u32| {
        let mut spec = job(number, Kind::Array, 500);
        spec.deadline_s = Some(1_000.0);
        spec
    };
    let large_gang = |number: u32| job(number, Kind::Gang, 8);
    let bound = pathwinch::options::Options::default().starvation_timeout_s;
    for (seed, priority) in [(11, Priority::Normal), (12, Priority::High)] {
        let waited = wait_of_large_job(seed, bound, &large_batch, priority);
        assert!(waited < 240_000, "a large batch started after {waited} ms");
        let waited = wait_of_large_job(seed, bound, &large_gang, priority);
        assert!(waited < 240_000, "a large gang started after {waited} ms");
    }
    // Without the bound, the large job waits longer than that.
    let waited = wait_of_large_job(13, 0.0, &large_batch, Priority::High);
    assert!(waited > 300_000, "{waited}");
}

#[test]
fn start_bound_changes_nothing_without_contention() {
    let start_log = |starvation_timeout_s: f64| {
        let mut sim = Simulation::new(14, 5, 48.0);
        (sim.starvation_timeout_s, sim.cloud_grants) = (starvation_timeout_s, true);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for number in 1..60 {
            let kind = [Kind::Array, Kind::Gang, Kind::Array][number as usize % 3];
            let mut spec = job(number, kind, 1 + number % 6);
            spec.deadline_s = (number % 2 == 0).then_some(120.0);
            sim.submit(spec);
            sim.run(3_000);
        }
        sim.run(60_000);
        sim.assert_no_violations();
        sim.start_log
    };
    let bound = pathwinch::options::Options::default().starvation_timeout_s;
    let starts = start_log(bound);
    assert!(starts.len() > 150);
    assert_eq!(starts, start_log(0.0));
}

/// All faults of this file at random: every accepted job is known at each node
/// within 15 s of the end of the last fault, and no task runs twice at a time.
#[test]
fn liveness_faults_lose_no_job() {
    let mut longest_ms = 0;
    let (mut starts, mut expired) = (0, 0);
    let env_number = |name: &str, default: u64| -> u64 {
        std::env::var(name).map_or(default, |value| value.parse().unwrap())
    };
    let first_seed = env_number("FIRST", 0);
    for seed in first_seed..first_seed + env_number("SEEDS", 12) {
        let nodes = [3, 7][(seed % 2) as usize];
        let machines = env_number("MACHINES", 6) as usize;
        let mut sim = Simulation::with_nodes(9_000 + seed, machines, 48.0, nodes);
        sim.standbys = seed % 3 != 0;
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        (sim.cloud_grants, sim.duplicate_percent) = (true, 8);
        let mut job_count = 0;
        for _ in 0..40 {
            job_count += 1;
            let kind = [Kind::Array, Kind::Service, Kind::Gang][sim.rng.usize(..3)];
            let mut spec = job(job_count, kind, 1 + job_count % 5);
            if job_count > 4 && sim.rng.u8(..3) == 0 && kind != Kind::Service {
                let dependency_kind = sim.specs[&id(job_count - 3)].kind;
                spec.dependencies = (dependency_kind != Kind::Service)
                    .then(|| id(job_count - 3))
                    .into_iter()
                    .collect();
            }
            sim.submit(spec);
            let node = match sim.leader() {
                Some(leader) if sim.rng.bool() => leader,
                _ => sim.rng.usize(..nodes),
            };
            let machine = sim.rng.usize(..sim.workers.len());
            match sim.rng.u8(..10) {
                0 | 1 => sim.workers[machine].net = Net::SendOnly,
                2 => sim.restart_machine(machine),
                3 => {
                    sim.partition(node, CutScope::State, Cut::Hold);
                    (0..nodes)
                        .for_each(|peer| sim.partition(node, CutScope::Node(peer), Cut::Reset));
                }
                4 | 5 => {
                    sim.crash(node, 100);
                    sim.run(400);
                    sim.crash(node, 150);
                }
                6 => (0..nodes).for_each(|node| sim.crash(node, 200)),
                7 => sim.workers[machine].net = Net::Hold,
                8 => sim.pause_process(node, 6_000),
                _ => sim.cancel(&id(job_count.saturating_sub(4).max(1))),
            }
            let pause = sim.rng.u64(200..6_000);
            sim.run(pause);
            // At least two nodes that can accept a job must remain.
            let is_usable = |node: &usize| sim.reaches(*node) && sim.reaches_state(*node);
            let too_few_nodes = (0..nodes).filter(is_usable).count() < 2;
            if too_few_nodes || sim.rng.bool() {
                (0..nodes).for_each(|node| sim.end_partitions(node));
                (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
            }
        }
        (0..nodes).for_each(|node| sim.end_partitions(node));
        (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
        let faults_ended = sim.now;
        let all_polls =
            (1..=job_count).flat_map(|number| (0..nodes).map(move |node| (number, node)));
        let send_poll = |sim: &mut Simulation, (number, node)| {
            (
                number,
                node,
                sim.request_later(0, node, UserRequest::Poll(id(number))),
            )
        };
        let mut open_polls: Vec<_> = all_polls.map(|poll| send_poll(&mut sim, poll)).collect();
        while !open_polls.is_empty() {
            sim.step();
            for poll in &mut open_polls {
                let (number, node, request) = *poll;
                let request = &sim.traffic.history[request];
                let refused = !matches!(request.answer, None | Some((_, Answer::State(..))));
                let in_time = request.answer.is_none() && sim.now < request.sent + 2_000;
                if refused || !in_time && request.answer.is_none() {
                    *poll = send_poll(&mut sim, (number, node));
                }
                assert!(
                    sim.now < faults_ended + 20_000,
                    "seed {seed}: {number} at {node}"
                );
            }
            open_polls.retain(|(_, _, request)| sim.traffic.history[*request].answer.is_none());
        }
        longest_ms = longest_ms.max(sim.now - faults_ended);
        // Every job ends once the services are cancelled.
        for number in 1..=job_count {
            if sim.specs[&id(number)].kind == Kind::Service {
                sim.cancel(&id(number));
            }
        }
        for number in 1..=job_count {
            sim.run_until(200_000, &id(number), |sim| sim.done(&id(number)));
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        starts += sim.starts;
        expired += sim.expired_tasks;
    }
    assert!(longest_ms < 15_000, "{longest_ms} ms without an answer");
    assert!(starts > 500 && expired > 10, "{starts} {expired}");
}
