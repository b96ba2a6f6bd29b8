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
    let mut w = Simulation::new(seed, machines, 0.0);
    w.standbys = false;
    with_service(w, replicas)
}

fn with_service(mut w: Simulation, replicas: u32) -> Simulation {
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(job(1, Kind::Service, replicas));
    w.run_until(20_000, "running", |w| {
        w.running(&id(1)) == replicas as usize
    });
    w
}

fn busy(w: &Simulation) -> usize {
    w.workers.iter().position(|m| !m.tasks.is_empty()).unwrap()
}

/// Guards against a machine that reports on and on, and is given work that
/// never starts there, as each report looks like one that could take orders.
#[test]
fn tasks_move_after_lease_expiry_under_one_way_partition() {
    let mut w = serving(1, 3, 3);
    let deaf = busy(&w);
    w.workers[deaf].net = Net::SendOnly;
    w.run_until(LEASE + 6_000, "its lease over", |w| {
        w.workers[deaf].incarnation > 1
    });
    w.run_until(8_000, "all elsewhere", |w| w.running(&id(1)) == 3);
    // Nor is it given anything that comes later.
    w.submit(job(2, Kind::Array, 3));
    w.run_until(30_000, "done", |w| w.done(&id(2)));
    assert!(w.workers[deaf].tasks.is_empty());
    w.restore_network(deaf);
    w.run(4_000);
    // Of use again: only it has room for the third.
    w.submit(job(3, Kind::Service, 3));
    w.run_until(10_000, "running", |w| w.running(&id(3)) == 3);
    w.assert_no_violations();
}

/// Guards against a new leader that waits for ever: each report was answered,
/// so that the machine's lease seemed never to end.
#[test]
fn new_leader_wait_is_bounded_under_one_way_partition() {
    // One controller, to which each of its reports comes.
    let mut w = Simulation::with_nodes(2, 3, 0.0, 1);
    w.standbys = false;
    let mut w = with_service(w, 4);
    let deaf = busy(&w);
    w.workers[deaf].net = Net::SendOnly;
    w.crash(0, 3_000);
    w.run_until(15_000, "a leader", |w| w.leader().is_some());
    w.run_until(30_000, "settled", |w| {
        w.leader()
            .is_some_and(|i| w.nodes[i].leader.as_ref().unwrap().settled())
    });
    w.run_until(10_000, "all elsewhere", |w| w.running(&id(1)) == 4);
    w.assert_no_violations();
}

#[test]
fn one_way_partition_of_fleet_triggers_no_scaling() {
    let mut w = serving(3, 6, 6);
    w.cloud_grants = true;
    let (asked, returned) = (w.machines_requested, w.returned.len());
    (0..6).for_each(|m| w.workers[m].net = Net::SendOnly);
    w.run(25_000);
    (0..w.workers.len()).for_each(|m| w.restore_network(m));
    w.run_until(15_000, "all again", |w| w.running(&id(1)) == 6);
    assert_eq!(w.returned.len(), returned);
    assert!(
        w.machines_requested - asked <= 3,
        "{} rented",
        w.machines_requested - asked
    );
    w.assert_no_violations();
}

/// A copy of a report comes after the lease that it tells of is over.
#[test]
fn late_duplicate_heartbeat_revives_no_machine() {
    let mut w = serving(4, 3, 3);
    let m = busy(&w);
    let copy = w.heartbeat_of(m);
    let name = copy.machine.clone();
    // Later ones have come before it is there.
    w.run(2_500);
    w.workers[m].net = Net::Lose;
    let up = |w: &mut Simulation| {
        let leader = w.leader().unwrap();
        let l = w.nodes[leader].leader.as_ref().unwrap();
        let ix = l.cluster.machine_handle(&name);
        ix.and_then(|ix| l.cluster.machine(ix))
            .is_some_and(|m| m.up)
    };
    w.run(6_000);
    // In between it renews nothing.
    let late = |w: &mut Simulation| {
        let leader = w.leader().unwrap();
        let now = w.now;
        let l = w.nodes[leader].leader.as_mut().unwrap();
        l.on_heartbeat(&copy, now);
    };
    late(&mut w);
    w.run_until(LEASE - 4_000, "lapsed", |w| !up(w));
    late(&mut w);
    assert!(!up(&mut w));
    w.run_until(8_000, "all elsewhere", |w| w.running(&id(1)) == 3);
    w.assert_no_violations();
}

/// A leader hears a machine only through reports that are no news, until its
/// lease must be over; a copy of one that was news comes after that.
#[test]
fn late_duplicate_of_lost_heartbeat_misleads_no_leader() {
    let mut w = without_standbys(5, 2, 3);
    let m = busy(&w);
    let first = w.heartbeat_of(m);
    let old = w.leader().unwrap();
    w.crash(old, 3_000);
    w.workers[m].net = Net::Lose;
    w.run_until(15_000, "a leader", |w| w.leader().is_some());
    let i = w.leader().unwrap();
    let now = w.now;
    let l = w.nodes[i].leader.as_mut().unwrap();
    let answer = l.on_heartbeat(&first, now).expect("the first is answered");
    // The worker got that answer and said so, but this report comes late.
    w.workers[m].token = answer.fencing_token;
    let lost = w.heartbeat_of(m);
    w.run_until(LEASE + 4_000, "settled", |w| {
        w.leader()
            .is_some_and(|i| w.nodes[i].leader.as_ref().unwrap().settled())
    });
    let i = w.leader().unwrap();
    let now = w.now;
    let l = w.nodes[i].leader.as_mut().unwrap();
    l.on_heartbeat(&lost, now);
    let ix = l.cluster.machine_handle(&lost.machine).unwrap();
    assert!(
        l.cluster
            .machine(ix)
            .is_some_and(|m| !m.up && m.tasks.is_empty())
    );
    w.assert_no_violations();
}

/// Guards against reports that count as old for ever, as a machine that
/// started anew counts from one again.
#[test]
fn restarted_agent_is_reused_and_its_tasks_restart() {
    for twice in [false, true] {
        let mut w = serving(6, 2, 4);
        w.run(8_000);
        let m = busy(&w);
        w.restart_machine(m);
        if twice {
            w.run(700);
            w.restart_machine(m);
        }
        w.run_until(7_000, "all again", |w| w.running(&id(1)) == 4);
        w.assert_no_violations();
    }
}

/// Guards against copies from before a machine began anew, which count further
/// than anything that it says since.
#[test]
fn duplicate_heartbeat_of_earlier_incarnation_is_ignored() {
    let mut w = serving(15, 2, 4);
    let m = busy(&w);
    w.workers[m].net = Net::SendOnly;
    w.run(LEASE + 2_000);
    w.restore_network(m);
    w.run_until(20_000, "all again", |w| w.running(&id(1)) == 4);
    assert!(w.workers[m].incarnation > 1);
    w.run(3_000);
    let copy = w.heartbeat_of(m);
    w.restart_machine(m);
    w.run_until(7_000, "all again", |w| w.running(&id(1)) == 4);
    w.run(2_000);
    let i = w.leader().unwrap();
    let now = w.now;
    let l = w.nodes[i].leader.as_mut().unwrap();
    assert!(l.on_heartbeat(&copy, now).is_none());
    let machine = |l: &pathwinch::control::leader::Leader| {
        let ix = l.cluster.machine_handle(&copy.machine).unwrap();
        l.cluster.machine(ix).map(|m| (m.up, m.incarnation))
    };
    assert_eq!(machine(l), Some((true, 1)));
    w.run(5_000);
    assert_eq!(w.running(&id(1)), 4);
    w.assert_no_violations();
}

/// The leader hears and answers workers, and nobody else.
#[test]
fn leader_reached_only_by_workers_yields_leadership() {
    for how in [Cut::Hold, Cut::Reset] {
        let mut w = serving(7, 3, 4);
        let old = w.leader().unwrap();
        w.partition(old, CutScope::State, how);
        for j in (0..3).filter(|j| *j != old) {
            w.partition(old, CutScope::Node(j), how);
        }
        w.run_until(9_000, "another leads", |w| {
            w.leader().is_some_and(|i| i != old)
        });
        w.run(30_000);
        assert_eq!((w.expired_tasks, w.running(&id(1))), (0, 4), "{how:?}");
        let (new, terms) = (w.leader().unwrap(), w.terms);
        w.end_partitions(old);
        w.run(10_000);
        assert_eq!((w.leader(), w.terms), (Some(new), terms), "{how:?}");
        w.assert_no_violations();
    }
}

/// When the first task of a job ran.
fn first_start(w: &Simulation, n: u32) -> Option<u64> {
    let name = format!("{}/", id(n));
    let first = w
        .start_log
        .iter()
        .find(|(_, _, task)| task.starts_with(&name));
    first.map(|(at, ..)| *at)
}

/// Small work keeps coming, more than there is room for, while a large job waits.
fn passed_over(seed: u64, begin_s: f64, large: &dyn Fn(u32) -> JobSpec, small: Priority) -> u64 {
    let mut w = Simulation::new(seed, 4, 0.0);
    w.begin_s = begin_s;
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    let flood = |n: u32| {
        let mut j = job(n, Kind::Array, 4);
        (j.priority, j.deadline_s) = (small, Some(1_000.0));
        j
    };
    (1..=4).for_each(|n| w.submit(flood(n)));
    let from = w.now;
    w.submit(large(500));
    for n in 5..160 {
        w.submit(flood(n));
        w.run(2_500);
        if first_start(&w, 500).is_some() {
            break;
        }
    }
    w.assert_no_violations();
    first_start(&w, 500).map_or(u64::MAX, |at| at - from)
}

#[test]
fn largest_jobs_start_within_bound_under_load() {
    let batch = |n: u32| {
        let mut j = job(n, Kind::Array, 500);
        j.deadline_s = Some(1_000.0);
        j
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
        let mut w = Simulation::new(14, 5, 48.0);
        (w.begin_s, w.cloud_grants) = (begin_s, true);
        w.run_until(10_000, "a leader", |w| w.leader().is_some());
        for n in 1..60 {
            let kind = [Kind::Array, Kind::Gang, Kind::Array][n as usize % 3];
            let mut j = job(n, kind, 1 + n % 6);
            j.deadline_s = (n % 2 == 0).then_some(120.0);
            w.submit(j);
            w.run(3_000);
        }
        w.run(60_000);
        w.assert_no_violations();
        w.start_log
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
        let mut w = Simulation::with_nodes(9_000 + seed, machines, 48.0, nodes);
        w.standbys = seed % 3 != 0;
        w.run_until(10_000, "a leader", |w| w.leader().is_some());
        (w.cloud_grants, w.duplicate_percent) = (true, 8);
        let mut n = 0;
        for _ in 0..40 {
            n += 1;
            let kind = [Kind::Array, Kind::Service, Kind::Gang][w.rng.usize(..3)];
            let mut j = job(n, kind, 1 + n % 5);
            if n > 4 && w.rng.u8(..3) == 0 && kind != Kind::Service {
                let need = w.specs[&id(n - 3)].kind;
                j.dependencies = (need != Kind::Service)
                    .then(|| id(n - 3))
                    .into_iter()
                    .collect();
            }
            w.submit(j);
            let i = match w.leader() {
                Some(leader) if w.rng.bool() => leader,
                _ => w.rng.usize(..nodes),
            };
            let m = w.rng.usize(..w.workers.len());
            match w.rng.u8(..10) {
                0 | 1 => w.workers[m].net = Net::SendOnly,
                2 => w.restart_machine(m),
                3 => {
                    w.partition(i, CutScope::State, Cut::Hold);
                    (0..nodes).for_each(|j| w.partition(i, CutScope::Node(j), Cut::Reset));
                }
                4 | 5 => {
                    w.crash(i, 100);
                    w.run(400);
                    w.crash(i, 150);
                }
                6 => (0..nodes).for_each(|i| w.crash(i, 200)),
                7 => w.workers[m].net = Net::Hold,
                8 => w.pause_process(i, 6_000),
                _ => w.cancel(&id(n.saturating_sub(4).max(1))),
            }
            let ms = w.rng.u64(200..6_000);
            w.run(ms);
            // Never so many at once that nobody is left to accept a job.
            let able = |i: &usize| w.reaches(*i) && w.reaches_state(*i);
            let none_left = (0..nodes).filter(able).count() < 2;
            if none_left || w.rng.bool() {
                (0..nodes).for_each(|i| w.end_partitions(i));
                (0..w.workers.len()).for_each(|m| w.restore_network(m));
            }
        }
        (0..nodes).for_each(|i| w.end_partitions(i));
        (0..w.workers.len()).for_each(|m| w.restore_network(m));
        let healed = w.now;
        let everywhere = (1..=n).flat_map(|m| (0..nodes).map(move |i| (m, i)));
        let ask =
            |w: &mut Simulation, (m, i)| (m, i, w.request_later(0, i, UserRequest::Poll(id(m))));
        let mut open: Vec<_> = everywhere.map(|of| ask(&mut w, of)).collect();
        while !open.is_empty() {
            w.step();
            for question in &mut open {
                let (m, i, asked) = *question;
                let asked = &w.traffic.history[asked];
                let refused = !matches!(asked.answer, None | Some((_, Answer::State(..))));
                let waits = asked.answer.is_none() && w.now < asked.sent + 2_000;
                if refused || !waits && asked.answer.is_none() {
                    *question = ask(&mut w, (m, i));
                }
                assert!(w.now < healed + 20_000, "seed {seed}: {m} at {i}");
            }
            open.retain(|(_, _, asked)| w.traffic.history[*asked].answer.is_none());
        }
        longest = longest.max(w.now - healed);
        // And all ends once the services make room.
        for m in 1..=n {
            if w.specs[&id(m)].kind == Kind::Service {
                w.cancel(&id(m));
            }
        }
        for m in 1..=n {
            w.run_until(200_000, &id(m), |w| w.done(&id(m)));
        }
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        starts += w.starts;
        lapsed += w.expired_tasks;
    }
    assert!(longest < 15_000, "{longest} ms without an answer");
    assert!(starts > 500 && lapsed > 10, "{starts} {lapsed}");
}
