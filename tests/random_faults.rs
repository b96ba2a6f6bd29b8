//! Random runs of a simulated cluster under random faults, with jobs of all kinds.
//! The environment variable `SEEDS` sets the number of runs.

mod simulation;

use pathwinch::protocol::users::{JobSpec, Kind};
use simulation::{Cut, CutScope, Net, Simulation, job};

/// A job of random kind, size and placement constraints.
fn random_job(sim: &mut Simulation, number: u32) -> JobSpec {
    let kind = [Kind::Array, Kind::Service, Kind::Gang][sim.rng.usize(..3)];
    let tasks = sim.rng.u32(1..6);
    let mut spec = job(number, kind, tasks);
    spec.spread = sim.rng.u8(..4) == 0;
    spec.single_zone = !spec.spread && sim.rng.u8(..4) == 0;
    spec.spot = sim.rng.bool();
    spec
}

#[test]
fn random_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(25, |seeds| seeds.parse().unwrap()) {
        let mut sim = Simulation::with_leader(1000 + seed, 6, 48.0);
        sim.cloud_grants = true;
        let mut job_count = 0;
        for _ in 0..60 {
            job_count += 1;
            let spec = random_job(&mut sim, job_count);
            sim.submit(spec);
            match sim.rng.u8(..10) {
                0 => {
                    let node = sim.rng.usize(..3);
                    sim.crash(node, 3_000);
                }
                1 => (0..3).for_each(|node| sim.crash(node, 6_000)),
                2 | 3 => {
                    let machine = sim.rng.usize(..sim.workers.len());
                    sim.workers[machine].net = if sim.rng.bool() { Net::Hold } else { Net::Lose };
                }
                4 => (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine)),
                5 => sim.store.late_writes.push(sim.rng.u64(100..20_000)),
                6 => {
                    let machine = sim.rng.usize(..sim.workers.len());
                    let delay = sim.rng.u64(50..15_000);
                    sim.direct_command_delay.insert(machine, delay);
                }
                7 => {
                    let node = sim.rng.usize(..3);
                    sim.store.refused_nodes.insert(node);
                    let duration_ms = sim.rng.u64(1_000..9_000);
                    sim.run(duration_ms);
                    sim.store.refused_nodes.clear();
                }
                8 => {
                    sim.store.unavailable = true;
                    let duration_ms = sim.rng.u64(1_000..15_000);
                    sim.run(duration_ms);
                    sim.store.unavailable = false;
                }
                _ => {
                    let id = format!("j-{:06}", sim.rng.u32(1..=job_count));
                    sim.cancel(&id);
                }
            }
            if job_count > 6 {
                sim.cancel(&format!("j-{:06}", job_count - 6));
            }
            let duration_ms = sim.rng.u64(200..6_000);
            sim.run(duration_ms);
            for node in 0..3 {
                let id = format!("j-{:06}", sim.rng.u32(1..=job_count));
                sim.poll(node, &id);
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

/// Runs jobs of all kinds while controllers pause, become unresponsive, are partially
/// partitioned or crash at any moment, several of them at a time.
fn run_controller_faults(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, 6, 48.0, nodes);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.cloud_grants = true;
    let mut job_count = 0;
    for _ in 0..50 {
        job_count += 1;
        let spec = random_job(&mut sim, job_count);
        sim.submit(spec);
        // The leader is affected more often than other nodes.
        let node = match sim.leader() {
            Some(leader) if sim.rng.bool() => leader,
            _ => sim.rng.usize(..nodes),
        };
        let cut = if sim.rng.bool() {
            Cut::Hold
        } else {
            Cut::Reset
        };
        match sim.rng.u8(..12) {
            0..4 => {
                let duration_ms = [500, 3_000, 5_000, 12_000, 20_000][sim.rng.usize(..5)];
                sim.pause_process(node, duration_ms);
            }
            4 => sim.partition(node, CutScope::All, Cut::Hold),
            5 => sim.partition(node, CutScope::State, cut),
            6 => sim.partition(node, CutScope::Workers, cut),
            7 => {
                let other = sim.rng.usize(..nodes);
                sim.partition(node, CutScope::Node(other), cut);
            }
            8 => sim.crash(node, 3_000),
            9 => {
                let machine = sim.rng.usize(..sim.workers.len());
                sim.workers[machine].net = if sim.rng.bool() { Net::Hold } else { Net::Lose };
            }
            10 => {
                let machine = sim.rng.usize(..sim.workers.len());
                let delay = sim.rng.u64(50..15_000);
                sim.direct_command_delay.insert(machine, delay);
            }
            _ => {
                sim.store.unavailable = true;
                let duration_ms = sim.rng.u64(1_000..9_000);
                sim.run(duration_ms);
                sim.store.unavailable = false;
            }
        }
        let duration_ms = sim.rng.u64(200..8_000);
        sim.run(duration_ms);
        // At least two nodes that can accept a job must remain.
        let is_usable = |node: &usize| sim.reaches(*node) && sim.reaches_state(*node);
        let too_few_nodes = (0..nodes).filter(is_usable).count() < 2;
        for node in 0..nodes {
            if too_few_nodes || sim.rng.u8(..4) == 0 {
                sim.end_partitions(node);
            }
        }
        if sim.rng.u8(..4) == 0 {
            (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
        }
        if job_count > 6 {
            if sim.rng.bool() {
                (0..nodes).for_each(|node| sim.end_partitions(node));
            }
            sim.cancel(&format!("j-{:06}", job_count - 6));
        }
        for node in 0..nodes {
            let id = format!("j-{:06}", sim.rng.u32(1..=job_count));
            sim.poll(node, &id);
        }
    }
    sim
}

#[test]
fn random_controller_faults_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(12, |seeds| seeds.parse().unwrap()) {
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
