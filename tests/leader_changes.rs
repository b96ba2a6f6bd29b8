//! Events within the seconds of a failover: quotas, cancellations, stale
//! heartbeats, unreachable machines, new ones.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::users::{JobState, Kind, Priority},
};
use simulation::{CANCEL, Cut, CutScope, LEASE, Net, Simulation, UserRequest, id, job};

/// Both teams at their limits, with more of each waiting: `t` runs four tasks
/// and `u` two, on four machines with room for eight.
fn at_limits(seed: u64, nodes: usize, standbys: bool) -> Simulation {
    let mut sim =
        Simulation::with_nodes(seed, 4, 0.0, nodes).with_team_limits(&[("t", 16.0), ("u", 8.0)]);
    (sim.run_ms, sim.traffic.max_latency_ms, sim.standbys) = (600_000, 20, standbys);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    for n in 1..=10 {
        let mut j = job(n, Kind::Array, 2);
        if n > 5 {
            j.team = "u".into();
        }
        sim.submit(j);
    }
    sim.run_until(20_000, "at the limits", |sim| sim.running("j-") == 6);
    sim.run(3_000);
    sim
}

/// Jobs that run, with the machine of a task of each.
fn running_on(sim: &Simulation) -> Vec<(usize, String)> {
    let on = sim.workers.iter().enumerate();
    let on = on.flat_map(|(m, worker)| worker.tasks.iter().map(move |t| (m, &t.name[..8])));
    on.map(|(m, id)| (m, id.to_owned())).collect()
}

#[derive(Clone, Copy, Debug)]
enum Change {
    OnPurpose,
    Ends,
    EndsAndIsBack,
    Refused,
    StandsStill,
}
use Change::*;

const CHANGES: [Change; 5] = [OnPurpose, Ends, EndsAndIsBack, Refused, StandsStill];

fn change(sim: &mut Simulation, how: Change) {
    let Some(leader) = sim.leader() else { return };
    match how {
        OnPurpose => sim.transfer_leadership(leader),
        Ends => sim.crash(leader, 20_000),
        EndsAndIsBack => sim.crash(leader, 100),
        Refused => {
            sim.store.refused_nodes.insert(leader);
        }
        StandsStill => sim.pause_process(leader, 8_000),
    }
}

/// Every team is at its limit while jobs are cancelled whose machines are cut
/// off, hang, hear nothing or can't be heard, and the leader changes in that
/// spell. Guards against use that counts as free because its job is over in
/// the records, and against claims that never end.
#[test]
fn quota_holds_when_cancelled_tasks_are_unreachable() {
    let (mut withdrawn, mut unasked) = (0, 0);
    let ways = [
        Net::Hold,
        Net::Lose,
        Net::SendOnly,
        Net::DirectCommandsOnly,
        Net::Up,
    ];
    for (k, how) in (0..50u64).map(|k| (k, CHANGES[(k / 5) as usize % 5])) {
        let mut sim = at_limits(1_000 + k, [3, 7][(k % 2) as usize], k % 3 != 0);
        let victims = running_on(&sim);
        let silent = [victims[0].0, victims[victims.len() - 1].0];
        for m in silent {
            match ways[(k % 5) as usize] {
                Net::Up => sim.pause_machine(m, 14_000),
                net => sim.workers[m].net = net,
            }
        }
        let before = sim.rng.u64(0..3_000);
        sim.run(before);
        for (m, id) in &victims {
            if silent.contains(m) {
                let i = sim.rng.usize(..sim.nodes.len());
                sim.request_later(0, i, UserRequest::Cancel(id.clone()));
            }
        }
        // Before that is recorded, or after.
        let between = sim.rng.u64(0..400);
        sim.run(between);
        unasked += silent
            .iter()
            .filter(|m| !sim.workers[**m].tasks.is_empty())
            .count();
        change(&mut sim, how);
        sim.run(CANCEL + 10_000);
        let told = |n: &u32| {
            sim.answered
                .get(&id(*n))
                .is_some_and(|t| t.0 == JobState::Cancelled)
        };
        withdrawn += (1..=10).filter(told).count();
        sim.store.refused_nodes.clear();
        silent.into_iter().for_each(|m| sim.restore_network(m));
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        for n in 1..=10 {
            sim.run_until(240_000, &format!("{k} {how:?}: {n}"), |sim| {
                let ended = sim.done(&id(n));
                if !ended {
                    for worker in &mut sim.workers {
                        let long = sim.now + 3_000;
                        worker
                            .tasks
                            .iter_mut()
                            .for_each(|t| t.until = t.until.min(long));
                    }
                }
                ended
            });
        }
        assert!(
            sim.violations.is_empty(),
            "{k} {how:?}: {:?}",
            sim.violations
        );
    }
    // The combination: tasks stood on machines that could not be asked, and users
    // were told that their jobs are cancelled.
    assert!(unasked >= 90 && withdrawn >= 50, "{unasked}, {withdrawn}");
}

/// Cancellations in the seconds before, within and after a change, asked at all
/// nodes. Guards against one that is confirmed and lost on the way from one
/// leader to the next, and against its tasks running on.
#[test]
fn cancellation_survives_at_any_moment_of_failover() {
    let (mut met, mut late) = ([0; 5], 0);
    for seed in 0..60u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(2_000 + seed, 6, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (600_000, 30, 150);
        sim.store.delay_ms = [0, 300][(seed / 3 % 2) as usize];
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for n in 1..=6 {
            sim.submit(job(
                n,
                [Kind::Array, Kind::Gang, Kind::Service][n as usize % 3],
                2,
            ));
        }
        sim.run_until(20_000, "running", |sim| sim.running("j-") == 12);
        sim.run(3_000);
        let asked: Vec<usize> = (1..=6)
            .flat_map(|n| {
                let (at, i) = (sim.rng.u64(0..9_000), sim.rng.usize(..nodes));
                [
                    sim.request_later(at, i, UserRequest::Cancel(id(n))),
                    sim.request_later(at + 700, (i + 1) % nodes, UserRequest::Cancel(id(n))),
                ]
            })
            .collect();
        for n in 1..=6 {
            for at in 0..60 {
                let i = sim.rng.usize(..nodes);
                sim.request_later(at * 200, i, UserRequest::Poll(id(n)));
            }
        }
        sim.run(2_500);
        let how = CHANGES[seed as usize % 5];
        change(&mut sim, how);
        sim.run(11_000);
        sim.store.refused_nodes.clear();
        sim.store.delay_ms = 0;
        let given = |n: &usize| sim.traffic.history[*n].answer.as_ref();
        let confirmed = |n: &&usize| matches!(given(n), Some((_, Answer::State(..))));
        met[seed as usize % 5] += asked.iter().filter(confirmed).count();
        late += sim.started_after_cancellation;
        sim.run(CANCEL);
        for n in 1..=6 {
            if sim.answered.contains_key(&format!("{}!", id(n))) {
                assert_eq!(sim.running(&id(n)), 0, "seed {seed} {how:?}");
                sim.run_until(20_000, "over", |sim| sim.done(&id(n)));
            }
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed} {how:?}: {:?}",
            sim.violations
        );
    }
    assert!(met.iter().all(|m| *m > 10), "{met:?}");
    assert_eq!(late, 0, "starts after a confirmed withdrawal");
}

/// At the very moment at which the state service refuses the leader alone jobs
/// are cancelled, at it and at the others, and a second later it is out for
/// longer than `cancel_s`.
#[test]
fn cancelled_tasks_stop_during_long_outage_after_refusal() {
    let mut told = 0;
    for seed in 0..30u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(3_000 + seed, 4, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (600_000, 30, 100);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for n in 1..=4 {
            sim.submit(job(n, Kind::Array, 2));
        }
        sim.run_until(20_000, "running", |sim| sim.running("j-") == 8);
        sim.run(3_000);
        let leader = sim.leader().unwrap();
        for n in 1..=4 {
            for i in 0..nodes {
                let at = sim.rng.u64(0..1_500);
                sim.request_later(at, i, UserRequest::Cancel(id(n)));
            }
        }
        sim.store.refused_nodes.insert(leader);
        sim.run([300, 1_000, 1_000, 2_500][seed as usize % 4]);
        sim.store.unavailable = true;
        if seed % 3 == 0 {
            // Whoever might follow ends, and is back with no memory.
            (0..nodes)
                .filter(|i| *i != leader)
                .for_each(|i| sim.crash(i, 150));
        }
        sim.run(CANCEL + 15_000);
        let confirmed = (1..=4).filter(|n| sim.answered.contains_key(&format!("{}!", id(*n))));
        told += confirmed.count();
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        sim.store.unavailable = false;
        sim.store.refused_nodes.clear();
        sim.run_until(30_000, "a leader again", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        sim.run(60_000);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(told > 30, "{told}");
}

/// All controllers are away for longer than a lease; and leaders change ten
/// times in two minutes, also inside an outage, and hand over and back within
/// a second. Guards against tasks that are started beside what still runs, and
/// against jobs that nobody takes up again.
#[test]
fn rapid_failovers_and_leaderless_spells_break_no_invariant() {
    for seed in 0..16u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(4_000 + seed, 5, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (25_000, 20, 100);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for n in 1..=5 {
            sim.submit(job(
                n,
                [Kind::Array, Kind::Service][n as usize % 2],
                2 + n % 3,
            ));
        }
        sim.run(8_000);
        let terms = sim.terms;
        if seed % 4 == 3 {
            let away = sim.rng.u64(LEASE + 1_000..3 * LEASE);
            (0..nodes).for_each(|i| sim.crash(i, away));
            sim.run(away + 1_000);
            assert!(sim.expired_tasks > 0, "the meeting: leases ran out");
        } else {
            for k in 0..12 {
                // Inside an outage too.
                sim.store.unavailable = seed % 4 == 2 && (4..7).contains(&k);
                match (seed % 4 == 1, sim.leader()) {
                    (true, Some(i)) => sim.transfer_leadership(i),
                    (false, Some(i)) => sim.crash(i, [100, 700, 6_000][k % 3]),
                    (_, None) => {}
                }
                let step = if seed % 4 == 1 { 1_000 } else { 10_000 };
                sim.run(step);
            }
            sim.store.unavailable = false;
            sim.run(8_000);
            let least = if seed % 4 == 2 { 6 } else { 10 };
            assert!(sim.terms >= terms + least, "{} terms", sim.terms - terms);
        }
        sim.run_until(40_000, "a leader", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        for n in [2, 4] {
            sim.run_until(120_000, &format!("seed {seed}: {n}"), |sim| {
                sim.done(&id(n))
            });
        }
        sim.run_until(60_000, "the services serve", |sim| sim.running(&id(1)) == 3);
        for n in 1..=5 {
            for i in 0..nodes {
                assert!(sim.poll(i, &id(n)).is_some(), "seed {seed}: {n} at {i}");
            }
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
}

/// Old reports reach every controller just as a new leader begins, and again
/// after it has acted: from before tasks ended, from earlier sessions, and
/// from before a machine began anew. Guards against taking them for news.
#[test]
fn stale_heartbeats_are_ignored_after_failover() {
    let mut copied = 0;
    for seed in 0..40u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(5_000 + seed, 5, 0.0, nodes);
        (sim.run_ms, sim.standbys, sim.keep_for_next_leader) = (4_000, seed % 3 != 0, true);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        let mut n = 0;
        for k in 0..5u64 {
            for _ in 0..3 {
                n += 1;
                sim.submit(job(
                    n,
                    [Kind::Array, Kind::Service][(n % 2) as usize],
                    1 + n % 3,
                ));
                sim.run(1_500);
            }
            let m = sim.rng.usize(..5);
            match (seed + k) % 4 {
                0 => sim.restart_machine(m),
                1 => sim.workers[m].net = Net::Lose,
                2 => sim.pause_machine(m, LEASE + 2_000),
                _ => {}
            }
            sim.cancel(&id(n));
            let ms = sim.rng.u64(0..LEASE + 4_000);
            sim.run(ms);
            change(&mut sim, CHANGES[(seed + k) as usize % 5]);
            sim.run(6_000);
            sim.restore_network(m);
            sim.store.refused_nodes.clear();
            sim.run(8_000);
        }
        sim.keep_for_next_leader = false;
        sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
        copied += sim.replayed;
        sim.fault_free = true;
        for n in 1..=n {
            if sim.specs[&id(n)].kind == Kind::Service {
                sim.cancel(&id(n));
            }
            sim.run_until(120_000, &format!("seed {seed}: {n}"), |sim| {
                sim.done(&id(n))
            });
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(copied > 500, "{copied}");
}

/// New machines are up within two seconds and get work at once, while writes
/// are late or have no answer, and the leader ends. Guards against a machine
/// that runs something and stands in no machine registry that the next leader reads.
#[test]
fn quickly_booted_machines_are_registered_before_failover() {
    let (mut started, mut lost) = (0, 0);
    for seed in 0..40u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(6_000 + seed, 1, 0.0, nodes);
        (sim.cloud_grants, sim.boot_ms, sim.run_ms, sim.fetch_ms) = (true, 1_000, 60_000, 100);
        sim.standbys = seed % 3 != 0;
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for n in 1..=6 {
            sim.submit(job(n, Kind::Array, 3));
        }
        match seed % 2 {
            0 => sim.store.late_writes = (0..8).map(|k| 2_000 + k * 1_100).collect(),
            _ => sim.store.lost_answers = 60,
        }
        let some = sim.rng.u64(2_500..7_000);
        sim.run(some);
        started += sim.start_log.len();
        let leader = sim.leader().unwrap_or(0);
        sim.crash(leader, [100, 20_000][(seed / 2 % 2) as usize]);
        // Some of the new ones can't be asked.
        let new = sim.workers.len();
        for m in (1..new).filter(|m| m % 3 != 0) {
            sim.workers[m].net =
                [Net::Hold, Net::DirectCommandsOnly, Net::Lose][(seed % 3) as usize];
            lost += 1;
        }
        sim.run(12_000);
        sim.store.late_writes.clear();
        sim.store.lost_answers = 0;
        sim.run(LEASE + 8_000);
        (0..sim.workers.len()).for_each(|m| sim.restore_network(m));
        sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        for n in 1..=6 {
            sim.run_until(200_000, &format!("seed {seed}: {n}"), |sim| {
                sim.done(&id(n))
            });
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(
        started > 40 && lost > 40,
        "{started} starts, {lost} cut off"
    );
}

/// Machines that no controller hears, though direct commands reach them.
/// Guards against a machine that is taken for usable because it answers
/// commands: its lease ends every ten seconds, with all that was begun there.
#[test]
fn machine_without_received_heartbeats_gets_no_new_tasks() {
    for (seed, how) in (0..20u64).map(|s| (s, CHANGES[s as usize % 5])) {
        let mut sim = Simulation::with_nodes(7_000 + seed, 4, 0.0, 3);
        sim.run_ms = 600_000;
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.submit(job(1, Kind::Service, 4));
        sim.run_until(20_000, "serving", |sim| sim.running(&id(1)) == 4);
        sim.run(3_000);
        let m = running_on(&sim)[0].0;
        sim.workers[m].net = Net::DirectCommandsOnly;
        let (muted, starts) = (sim.now, sim.start_log.len());
        if seed % 4 > 0 {
            sim.run(2_000);
            change(&mut sim, how);
        }
        sim.run_until(LEASE + 16_000, "all elsewhere", |sim| {
            sim.workers[m].incarnation > 1 && sim.running(&id(1)) == 4
        });
        let again = |s: &(u64, usize, String)| s.1 == m && s.0 > muted + LEASE;
        assert!(
            !sim.start_log[starts..].iter().any(again),
            "begun there once more"
        );
        sim.store.refused_nodes.clear();
        sim.run(10_000);
        assert!(
            !sim.start_log[starts..].iter().any(again),
            "begun there once more"
        );
        sim.restore_network(m);
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        sim.submit(job(2, Kind::Array, 4));
        sim.run_until(90_000, "of use again", |sim| sim.done(&id(2)));
        assert!(
            sim.violations.is_empty(),
            "seed {seed} {how:?}: {:?}",
            sim.violations
        );
    }
}

/// A zone with workers and a controller is cut off for longer than a lease,
/// the leader inside and outside; jobs are bound to it, arrays among them.
#[test]
fn partitioned_zone_with_controller_recovers() {
    let mut led_inside = 0;
    for seed in 0..24u64 {
        let nodes = [3, 7][(seed % 2) as usize];
        let mut sim = Simulation::with_nodes(8_000 + seed, 6, 0.0, nodes);
        (sim.run_ms, sim.traffic.max_latency_ms, sim.cloud_grants) = (20_000, 20, true);
        let inside = [0, nodes - 1][(seed / 2 % 2) as usize];
        sim.zone_b_nodes.insert(inside);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        let mut bound = job(1, Kind::Array, 6);
        bound.zone = Some("b".into());
        sim.submit(bound);
        let mut spread = job(2, Kind::Service, 3);
        spread.spread = true;
        sim.submit(spread);
        let mut gang = job(3, Kind::Gang, 3);
        gang.single_zone = true;
        sim.submit(gang);
        sim.run(8_000);
        led_inside += u32::from(sim.leader() == Some(inside));
        let zone: Vec<usize> = (0..6).filter(|m| sim.workers[*m].zone == "b").collect();
        sim.partition(inside, CutScope::State, Cut::Hold);
        (0..nodes)
            .filter(|i| *i != inside)
            .for_each(|i| sim.partition(inside, CutScope::Node(i), Cut::Hold));
        // Its workers reach it, and it alone.
        (0..nodes)
            .filter(|i| *i != inside)
            .for_each(|i| sim.partition_from_workers(i, &zone));
        let ms = sim.rng.u64(LEASE + 2_000..3 * LEASE);
        sim.run(ms);
        if seed % 3 == 0 {
            zone.iter().for_each(|m| sim.kill_machine(*m));
        }
        (0..nodes).for_each(|i| sim.end_partitions(i));
        sim.run_until(40_000, "a leader", |sim| sim.leader().is_some());
        (sim.fault_free, sim.run_ms) = (true, 3_000);
        sim.run_until(60_000, "serves", |sim| sim.running(&id(2)) == 3);
        for n in [1, 3] {
            sim.run_until(120_000, &format!("seed {seed}: {n}"), |sim| {
                sim.done(&id(n))
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

/// More work than room, urgent and not, over slow links, with commands held
/// for seconds: each class gets its share, and nobody is forgotten.
#[test]
fn overload_over_slow_links_starves_no_class() {
    for seed in 0..6u64 {
        let mut sim = Simulation::with_nodes(9_000 + seed, 5, 0.0, 3);
        (sim.run_ms, sim.traffic.max_latency_ms) = (4_000, 20);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for m in 0..5 {
            let ms = sim.rng.u64(100..1_800);
            sim.slow_links.insert(m, ms);
            if m % 2 == 0 {
                sim.direct_command_delay.insert(m, ms * 2);
            }
        }
        let mut n = 0;
        for k in 0..40 {
            n += 1;
            let mut j = job(n, [Kind::Array, Kind::Gang][k % 2], 1 + n % 4);
            j.priority = [Priority::Normal, Priority::High, Priority::Low][k % 3];
            j.class = format!("c{}", k % 3);
            sim.submit(j);
            sim.run(800);
        }
        let begun = sim.now;
        sim.fault_free = true;
        for m in 1..=n {
            sim.run_until(240_000, &format!("seed {seed}: {m}"), |sim| {
                sim.done(&id(m))
            });
        }
        assert!(sim.now < begun + 240_000, "seed {seed}");
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
}

/// A machine is back at once, reports to nodes that cannot answer it, and so
/// counts on past what the leader knows; then direct commands reach it, and it
/// is given work. Its lease runs from its own beginning, after the last answer
/// that the leader gave. Guards against taking its count for a sign that it is
/// the process which was answered (one of 6,555 drawn days showed it).
#[test]
fn restarted_agent_with_higher_sequence_keeps_own_lease() {
    let mut met = 0;
    for seed in 0..40u64 {
        let mut sim = Simulation::with_nodes(9_500 + seed, 4, 0.0, 3);
        (sim.run_ms, sim.standbys) = (600_000, false);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        for n in 1..=8 {
            sim.submit(job(n, Kind::Array, 1));
        }
        sim.run_until(10_000, "all full", |sim| sim.running("j-") == 8);
        sim.run(3_000);
        let leader = sim.leader().unwrap();
        (0..3).for_each(|j| sim.partition(leader, CutScope::Node(j), Cut::Hold));
        let on = running_on(&sim);
        let (m, first) = on[0].clone();
        let elsewhere = on.iter().find(|(o, _)| *o != m).unwrap().1.clone();
        // The others see that it does not answer them, and name nobody.
        sim.run(1_600);
        sim.restart_machine(m);
        let some = sim.rng.u64(5_500..9_000);
        sim.run(some);
        let before = sim.start_log.len();
        // What comes of it shows that all is gone there, and one starts anew.
        sim.cancel(&first);
        sim.run(400);
        // Now there is room elsewhere too.
        sim.cancel(&elsewhere);
        sim.run(6_000);
        met += u32::from(sim.start_log[before..].iter().any(|s| s.1 == m));
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        (0..3).for_each(|i| sim.end_partitions(i));
        sim.run(10_000);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    assert!(
        met >= 20,
        "it was given work in the life that the leader did not know"
    );
}
