//! Liveness of jobs: scenarios of one-way partitions of machines, duplicate
//! heartbeats, controllers that only workers reach, and agents that restart at
//! once.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::users::{JobSpec, Kind, Priority},
};
use simulation::{Cut, CutScope, LEASE, Net, Simulation, UserRequest, id, job};

/// A service of so many replicas runs on the machines.
fn serving(seed: u64, machines: usize, replicas: u32) -> Simulation {
    with_service(Simulation::new(seed, machines, 0.0), replicas)
}

/// The same without standbys.
fn without_standbys(seed: u64, machines: usize, replicas: u32) -> Simulation {
    let mut sim = Simulation::new(seed, machines, 0.0);
    sim.standbys = false;
    with_service(sim, replicas)
}

fn with_service(mut sim: Simulation, replicas: u32) -> Simulation {
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Service, replicas));
    sim.run_until(20_000, "running", |sim| {
        sim.running(&id(1)) == replicas as usize
    });
    sim
}

fn busy(sim: &Simulation) -> usize {
    sim.workers
        .iter()
        .position(|m| !m.tasks.is_empty())
        .unwrap()
}

/// Guards against a machine that reports on and on, and is given work that
/// never starts there, as each report looks like one that could take orders.
#[test]
fn tasks_move_after_lease_expiry_under_one_way_partition() {
    let mut sim = serving(1, 3, 3);
    let deaf = busy(&sim);
    sim.workers[deaf].net = Net::SendOnly;
    sim.run_until(LEASE + 6_000, "its lease over", |sim| {
        sim.workers[deaf].incarnation > 1
    });
    sim.run_until(8_000, "all elsewhere", |sim| sim.running(&id(1)) == 3);
    // Nor is it given anything that comes later.
    sim.submit(job(2, Kind::Array, 3));
    sim.run_until(30_000, "done", |sim| sim.done(&id(2)));
    assert!(sim.workers[deaf].tasks.is_empty());
    sim.restore_network(deaf);
    sim.run(4_000);
    // Of use again: only it has room for the third.
    sim.submit(job(3, Kind::Service, 3));
    sim.run_until(10_000, "running", |sim| sim.running(&id(3)) == 3);
    sim.assert_no_violations();
}

/// Guards against a new leader that waits for ever: each report was answered,
/// so that the machine's lease seemed never to end.
#[test]
fn new_leader_wait_is_bounded_under_one_way_partition() {
    // One controller, to which each of its reports comes.
    let mut sim = Simulation::with_nodes(2, 3, 0.0, 1);
    sim.standbys = false;
    let mut sim = with_service(sim, 4);
    let deaf = busy(&sim);
    sim.workers[deaf].net = Net::SendOnly;
    sim.crash(0, 3_000);
    sim.run_until(15_000, "a leader", |sim| sim.leader().is_some());
    sim.run_until(30_000, "settled", |sim| {
        sim.leader()
            .is_some_and(|i| sim.nodes[i].leader.as_ref().unwrap().settled())
    });
    sim.run_until(10_000, "all elsewhere", |sim| sim.running(&id(1)) == 4);
    sim.assert_no_violations();
}

#[test]
fn one_way_partition_of_fleet_triggers_no_scaling() {
    let mut sim = serving(3, 6, 6);
    sim.cloud_grants = true;
    let (asked, returned) = (sim.machines_requested, sim.returned.len());
    (0..6).for_each(|m| sim.workers[m].net = Net::SendOnly);
    sim.run(25_000);
    (0..sim.workers.len()).for_each(|m| sim.restore_network(m));
    sim.run_until(15_000, "all again", |sim| sim.running(&id(1)) == 6);
    assert_eq!(sim.returned.len(), returned);
    assert!(
        sim.machines_requested - asked <= 3,
        "{} rented",
        sim.machines_requested - asked
    );
    sim.assert_no_violations();
}

/// A copy of a report comes after the lease that it tells of is over.
#[test]
fn late_duplicate_heartbeat_revives_no_machine() {
    let mut sim = serving(4, 3, 3);
    let m = busy(&sim);
    let copy = sim.heartbeat_of(m);
    let name = copy.machine.clone();
    // Later ones have come before it is there.
    sim.run(2_500);
    sim.workers[m].net = Net::Lose;
    let up = |sim: &mut Simulation| {
        let leader = sim.leader().unwrap();
        let leader_state = sim.nodes[leader].leader.as_ref().unwrap();
        let ix = leader_state.cluster.machine_handle(&name);
        ix.and_then(|ix| leader_state.cluster.machine(ix))
            .is_some_and(|m| m.up)
    };
    sim.run(6_000);
    // In between it renews nothing.
    let late = |sim: &mut Simulation| {
        let leader = sim.leader().unwrap();
        let now = sim.now;
        let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
        leader_state.on_heartbeat(&copy, now);
    };
    late(&mut sim);
    sim.run_until(LEASE - 4_000, "lapsed", |sim| !up(sim));
    late(&mut sim);
    assert!(!up(&mut sim));
    sim.run_until(8_000, "all elsewhere", |sim| sim.running(&id(1)) == 3);
    sim.assert_no_violations();
}

/// A leader hears a machine only through reports that are no news, until its
/// lease must be over; a copy of one that was news comes after that.
#[test]
fn late_duplicate_of_lost_heartbeat_misleads_no_leader() {
    let mut sim = without_standbys(5, 2, 3);
    let m = busy(&sim);
    let first = sim.heartbeat_of(m);
    let old = sim.leader().unwrap();
    sim.crash(old, 3_000);
    sim.workers[m].net = Net::Lose;
    sim.run_until(15_000, "a leader", |sim| sim.leader().is_some());
    let i = sim.leader().unwrap();
    let now = sim.now;
    let leader_state = sim.nodes[i].leader.as_mut().unwrap();
    let answer = leader_state
        .on_heartbeat(&first, now)
        .expect("the first is answered");
    // The worker got that answer and said so, but this report comes late.
    sim.workers[m].token = answer.fencing_token;
    let lost = sim.heartbeat_of(m);
    sim.run_until(LEASE + 4_000, "settled", |sim| {
        sim.leader()
            .is_some_and(|i| sim.nodes[i].leader.as_ref().unwrap().settled())
    });
    let i = sim.leader().unwrap();
    let now = sim.now;
    let leader_state = sim.nodes[i].leader.as_mut().unwrap();
    leader_state.on_heartbeat(&lost, now);
    let ix = leader_state.cluster.machine_handle(&lost.machine).unwrap();
    assert!(
        leader_state
            .cluster
            .machine(ix)
            .is_some_and(|m| !m.up && m.tasks.is_empty())
    );
    sim.assert_no_violations();
}

/// Guards against reports that count as old for ever, as a machine that
/// started anew counts from one again.
#[test]
fn restarted_agent_is_reused_and_its_tasks_restart() {
    for twice in [false, true] {
        let mut sim = serving(6, 2, 4);
        sim.run(8_000);
        let m = busy(&sim);
        sim.restart_machine(m);
        if twice {
            sim.run(700);
            sim.restart_machine(m);
        }
        sim.run_until(7_000, "all again", |sim| sim.running(&id(1)) == 4);
        sim.assert_no_violations();
    }
}

/// Guards against copies from before a machine began anew, which count further
/// than anything that it says since.
#[test]
fn duplicate_heartbeat_of_earlier_incarnation_is_ignored() {
    let mut sim = serving(15, 2, 4);
    let m = busy(&sim);
    sim.workers[m].net = Net::SendOnly;
    sim.run(LEASE + 2_000);
    sim.restore_network(m);
    sim.run_until(20_000, "all again", |sim| sim.running(&id(1)) == 4);
    assert!(sim.workers[m].incarnation > 1);
    sim.run(3_000);
    let copy = sim.heartbeat_of(m);
    sim.restart_machine(m);
    sim.run_until(7_000, "all again", |sim| sim.running(&id(1)) == 4);
    sim.run(2_000);
    let i = sim.leader().unwrap();
    let now = sim.now;
    let leader_state = sim.nodes[i].leader.as_mut().unwrap();
    assert!(leader_state.on_heartbeat(&copy, now).is_none());
    let machine = |leader_state: &pathwinch::control::leader::Leader| {
        let ix = leader_state.cluster.machine_handle(&copy.machine).unwrap();
        leader_state
            .cluster
            .machine(ix)
            .map(|m| (m.up, m.incarnation))
    };
    assert_eq!(machine(leader_state), Some((true, 1)));
    sim.run(5_000);
    assert_eq!(sim.running(&id(1)), 4);
    sim.assert_no_violations();
}

/// The leader hears and answers workers, and nobody else.
#[test]
fn leader_reached_only_by_workers_yields_leadership() {
    for how in [Cut::Hold, Cut::Reset] {
        let mut sim = serving(7, 3, 4);
        let old = sim.leader().unwrap();
        sim.partition(old, CutScope::State, how);
        for j in (0..3).filter(|j| *j != old) {
            sim.partition(old, CutScope::Node(j), how);
        }
        sim.run_until(9_000, "another leads", |sim| {
            sim.leader().is_some_and(|i| i != old)
        });
        sim.run(30_000);
        assert_eq!((sim.expired_tasks, sim.running(&id(1))), (0, 4), "{how:?}");
        let (new, terms) = (sim.leader().unwrap(), sim.terms);
        sim.end_partitions(old);
        sim.run(10_000);
        assert_eq!((sim.leader(), sim.terms), (Some(new), terms), "{how:?}");
        sim.assert_no_violations();
    }
}

/// When the first task of a job ran.
fn first_start(sim: &Simulation, n: u32) -> Option<u64> {
    let name = format!("{}/", id(n));
    let first = sim
        .start_log
        .iter()
        .find(|(_, _, task)| task.starts_with(&name));
    first.map(|(at, ..)| *at)
}

/// Small work keeps coming, more than there is room for, while a large job waits.
fn passed_over(seed: u64, begin_s: f64, large: &dyn Fn(u32) -> JobSpec, small: Priority) -> u64 {
    let mut sim = Simulation::new(seed, 4, 0.0);
    sim.begin_s = begin_s;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    let flood = |n: u32| {
        let mut spec = job(n, Kind::Array, 4);
        (spec.priority, spec.deadline_s) = (small, Some(1_000.0));
        spec
    };
    (1..=4).for_each(|n| sim.submit(flood(n)));
    let from = sim.now;
    sim.submit(large(500));
    for n in 5..160 {
        sim.submit(flood(n));
        sim.run(2_500);
        if first_start(&sim, 500).is_some() {
            break;
        }
    }
    sim.assert_no_violations();
    first_start(&sim, 500).map_or(u64::MAX, |at| at - from)
}

#[test]
fn largest_jobs_start_within_bound_under_load() {
    let batch = |n: u32| {
        let mut spec = job(n, Kind::Array, 500);
        spec.deadline_s = Some(1_000.0);
        spec
    };
    let gang = |n: u32| job(n, Kind::Gang, 8);
    let bound = pathwinch::options::Options::default().begin_s;
    for (seed, small) in [(11, Priority::Normal), (12, Priority::High)] {
        let waited = passed_over(seed, bound, &batch, small);
        assert!(waited < 240_000, "a batch began after {waited} ms");
        let waited = passed_over(seed, bound, &gang, small);
        assert!(waited < 240_000, "a gang began after {waited} ms");
    }
    // What the bound is for.
    let waited = passed_over(13, 0.0, &batch, Priority::High);
    assert!(waited > 300_000, "{waited}");
}

#[test]
fn start_bound_changes_nothing_without_contention() {
    let day = |begin_s: f64| {
        let mut sim = Simulation::new(14, 5, 48.0);
        (sim.begin_s, sim.cloud_grants) = (begin_s, true);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for n in 1..60 {
            let kind = [Kind::Array, Kind::Gang, Kind::Array][n as usize % 3];
            let mut spec = job(n, kind, 1 + n % 6);
            spec.deadline_s = (n % 2 == 0).then_some(120.0);
            sim.submit(spec);
            sim.run(3_000);
        }
        sim.run(60_000);
        sim.assert_no_violations();
        sim.start_log
    };
    let bound = pathwinch::options::Options::default().begin_s;
    let starts = day(bound);
    assert!(starts.len() > 150);
    assert_eq!(starts, day(0.0));
}

/// All of it at once: whatever happened, each accepted job is known at each
/// node soon after the last fault, and nothing is started twice.
#[test]
fn liveness_faults_lose_no_job() {
    let mut longest = 0;
    let (mut starts, mut lapsed) = (0, 0);
    let number = |name: &str, otherwise: u64| -> u64 {
        std::env::var(name).map_or(otherwise, |n| n.parse().unwrap())
    };
    let first = number("FIRST", 0);
    for seed in first..first + number("SEEDS", 12) {
        let nodes = [3, 7][(seed % 2) as usize];
        let machines = number("MACHINES", 6) as usize;
        let mut sim = Simulation::with_nodes(9_000 + seed, machines, 48.0, nodes);
        sim.standbys = seed % 3 != 0;
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        (sim.cloud_grants, sim.duplicate_percent) = (true, 8);
        let mut n = 0;
        for _ in 0..40 {
            n += 1;
            let kind = [Kind::Array, Kind::Service, Kind::Gang][sim.rng.usize(..3)];
            let mut spec = job(n, kind, 1 + n % 5);
            if n > 4 && sim.rng.u8(..3) == 0 && kind != Kind::Service {
                let need = sim.specs[&id(n - 3)].kind;
                spec.dependencies = (need != Kind::Service)
                    .then(|| id(n - 3))
                    .into_iter()
                    .collect();
            }
            sim.submit(spec);
            let i = match sim.leader() {
                Some(leader) if sim.rng.bool() => leader,
                _ => sim.rng.usize(..nodes),
            };
            let m = sim.rng.usize(..sim.workers.len());
            match sim.rng.u8(..10) {
                0 | 1 => sim.workers[m].net = Net::SendOnly,
                2 => sim.restart_machine(m),
                3 => {
                    sim.partition(i, CutScope::State, Cut::Hold);
                    (0..nodes).for_each(|j| sim.partition(i, CutScope::Node(j), Cut::Reset));
                }
                4 | 5 => {
                    sim.crash(i, 100);
                    sim.run(400);
                    sim.crash(i, 150);
                }
                6 => (0..nodes).for_each(|i| sim.crash(i, 200)),
                7 => sim.workers[m].net = Net::Hold,
                8 => sim.pause_process(i, 6_000),
                _ => sim.cancel(&id(n.saturating_sub(4).max(1))),
            }
            let ms = sim.rng.u64(200..6_000);
            sim.run(ms);
            // Never so many at once that nobody is left to accept a job.
            let able = |i: &usize| sim.reaches(*i) && sim.reaches_state(*i);
            let none_left = (0..nodes).filter(able).count() < 2;
            if none_left || sim.rng.bool() {
                (0..nodes).for_each(|i| sim.end_partitions(i));
                (0..sim.workers.len()).for_each(|m| sim.restore_network(m));
            }
        }
        (0..nodes).for_each(|i| sim.end_partitions(i));
        (0..sim.workers.len()).for_each(|m| sim.restore_network(m));
        let healed = sim.now;
        let everywhere = (1..=n).flat_map(|m| (0..nodes).map(move |i| (m, i)));
        let ask = |sim: &mut Simulation, (m, i)| {
            (m, i, sim.request_later(0, i, UserRequest::Poll(id(m))))
        };
        let mut open: Vec<_> = everywhere.map(|of| ask(&mut sim, of)).collect();
        while !open.is_empty() {
            sim.step();
            for question in &mut open {
                let (m, i, asked) = *question;
                let asked = &sim.traffic.history[asked];
                let refused = !matches!(asked.answer, None | Some((_, Answer::State(..))));
                let waits = asked.answer.is_none() && sim.now < asked.sent + 2_000;
                if refused || !waits && asked.answer.is_none() {
                    *question = ask(&mut sim, (m, i));
                }
                assert!(sim.now < healed + 20_000, "seed {seed}: {m} at {i}");
            }
            open.retain(|(_, _, asked)| sim.traffic.history[*asked].answer.is_none());
        }
        longest = longest.max(sim.now - healed);
        // And all ends once the services make room.
        for m in 1..=n {
            if sim.specs[&id(m)].kind == Kind::Service {
                sim.cancel(&id(m));
            }
        }
        for m in 1..=n {
            sim.run_until(200_000, &id(m), |sim| sim.done(&id(m)));
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        starts += sim.starts;
        lapsed += sim.expired_tasks;
    }
    assert!(longest < 15_000, "{longest} ms without an answer");
    assert!(starts > 500 && lapsed > 10, "{starts} {lapsed}");
}
