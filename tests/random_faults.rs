//! Random runs of a simulated cluster under drawn faults, with jobs of all kinds.
//! `SEEDS=` sets the number of runs.

mod simulation;

use pathwinch::protocol::users::{JobSpec, Kind};
use simulation::{Cut, CutScope, Net, Simulation, job};

/// A job of a drawn kind, size and placement.
fn random_job(sim: &mut Simulation, n: u32) -> JobSpec {
    let kind = [Kind::Array, Kind::Service, Kind::Gang][sim.rng.usize(..3)];
    let tasks = sim.rng.u32(1..6);
    let mut spec = job(n, kind, tasks);
    spec.spread = sim.rng.u8(..4) == 0;
    spec.single_zone = !spec.spread && sim.rng.u8(..4) == 0;
    spec.spot = sim.rng.bool();
    spec
}

#[test]
fn random_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(25, |n| n.parse().unwrap()) {
        let mut sim = Simulation::with_leader(1000 + seed, 6, 48.0);
        sim.cloud_grants = true;
        let mut n = 0;
        for _ in 0..60 {
            n += 1;
            let spec = random_job(&mut sim, n);
            sim.submit(spec);
            match sim.rng.u8(..10) {
                0 => {
                    let i = sim.rng.usize(..3);
                    sim.crash(i, 3_000);
                }
                1 => (0..3).for_each(|i| sim.crash(i, 6_000)),
                2 | 3 => {
                    let i = sim.rng.usize(..sim.workers.len());
                    sim.workers[i].net = if sim.rng.bool() { Net::Hold } else { Net::Lose };
                }
                4 => (0..sim.workers.len()).for_each(|i| sim.restore_network(i)),
                5 => sim.store.late_writes.push(sim.rng.u64(100..20_000)),
                6 => {
                    let i = sim.rng.usize(..sim.workers.len());
                    let delay = sim.rng.u64(50..15_000);
                    sim.direct_command_delay.insert(i, delay);
                }
                7 => {
                    let i = sim.rng.usize(..3);
                    sim.store.refused_nodes.insert(i);
                    let ms = sim.rng.u64(1_000..9_000);
                    sim.run(ms);
                    sim.store.refused_nodes.clear();
                }
                8 => {
                    sim.store.unavailable = true;
                    let ms = sim.rng.u64(1_000..15_000);
                    sim.run(ms);
                    sim.store.unavailable = false;
                }
                _ => {
                    let id = format!("j-{:06}", sim.rng.u32(1..=n));
                    sim.cancel(&id);
                }
            }
            if n > 6 {
                sim.cancel(&format!("j-{:06}", n - 6));
            }
            let ms = sim.rng.u64(200..6_000);
            sim.run(ms);
            for i in 0..3 {
                let id = format!("j-{:06}", sim.rng.u32(1..=n));
                sim.poll(i, &id);
            }
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
        assert!(sim.starts > 50);
    }
}

/// Controllers pause at any moment, become unresponsive, are partly partitioned
/// and crash, several at once, under jobs of all kinds.
fn run_controller_faults(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, 6, 48.0, nodes);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.cloud_grants = true;
    let mut n = 0;
    for _ in 0..50 {
        n += 1;
        let spec = random_job(&mut sim, n);
        sim.submit(spec);
        // The leader more often than others.
        let i = match sim.leader() {
            Some(leader) if sim.rng.bool() => leader,
            _ => sim.rng.usize(..nodes),
        };
        let how = if sim.rng.bool() {
            Cut::Hold
        } else {
            Cut::Reset
        };
        match sim.rng.u8(..12) {
            0..4 => {
                let ms = [500, 3_000, 5_000, 12_000, 20_000][sim.rng.usize(..5)];
                sim.pause_process(i, ms);
            }
            4 => sim.partition(i, CutScope::All, Cut::Hold),
            5 => sim.partition(i, CutScope::State, how),
            6 => sim.partition(i, CutScope::Workers, how),
            7 => {
                let peer = sim.rng.usize(..nodes);
                sim.partition(i, CutScope::Node(peer), how);
            }
            8 => sim.crash(i, 3_000),
            9 => {
                let m = sim.rng.usize(..sim.workers.len());
                sim.workers[m].net = if sim.rng.bool() { Net::Hold } else { Net::Lose };
            }
            10 => {
                let m = sim.rng.usize(..sim.workers.len());
                let delay = sim.rng.u64(50..15_000);
                sim.direct_command_delay.insert(m, delay);
            }
            _ => {
                sim.store.unavailable = true;
                let ms = sim.rng.u64(1_000..9_000);
                sim.run(ms);
                sim.store.unavailable = false;
            }
        }
        let ms = sim.rng.u64(200..8_000);
        sim.run(ms);
        // Never so many at once that nobody is left to accept a job.
        let able = |i: &usize| sim.reaches(*i) && sim.reaches_state(*i);
        let none_left = (0..nodes).filter(able).count() < 2;
        for i in 0..nodes {
            if none_left || sim.rng.u8(..4) == 0 {
                sim.end_partitions(i);
            }
        }
        if sim.rng.u8(..4) == 0 {
            (0..sim.workers.len()).for_each(|m| sim.restore_network(m));
        }
        if n > 6 {
            if sim.rng.bool() {
                (0..nodes).for_each(|i| sim.end_partitions(i));
            }
            sim.cancel(&format!("j-{:06}", n - 6));
        }
        for i in 0..nodes {
            let id = format!("j-{:06}", sim.rng.u32(1..=n));
            sim.poll(i, &id);
        }
    }
    sim
}

#[test]
fn random_controller_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(12, |n| n.parse().unwrap()) {
        for nodes in [3, 7] {
            let sim = run_controller_faults(2000 + seed, nodes);
            assert!(
                sim.violations.is_empty(),
                "seed {seed}, {nodes}: {:?}",
                sim.violations
            );
            assert!(sim.starts > 40);
        }
    }
}
