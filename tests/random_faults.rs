//! Random runs of a simulated cluster under drawn faults, with jobs of all kinds.
//! `SEEDS=` sets the number of runs.

mod simulation;

use pathwinch::protocol::users::{JobSpec, Kind};
use simulation::{Cut, CutScope, Net, Simulation, job};

/// A job of a drawn kind, size and placement.
fn random_job(w: &mut Simulation, n: u32) -> JobSpec {
    let kind = [Kind::Array, Kind::Service, Kind::Gang][w.rng.usize(..3)];
    let tasks = w.rng.u32(1..6);
    let mut j = job(n, kind, tasks);
    j.spread = w.rng.u8(..4) == 0;
    j.single_zone = !j.spread && w.rng.u8(..4) == 0;
    j.spot = w.rng.bool();
    j
}

#[test]
fn random_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(25, |n| n.parse().unwrap()) {
        let mut w = Simulation::with_leader(1000 + seed, 6, 48.0);
        w.cloud_grants = true;
        let mut n = 0;
        for _ in 0..60 {
            n += 1;
            let j = random_job(&mut w, n);
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
        let j = random_job(&mut w, n);
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
