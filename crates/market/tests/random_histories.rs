//! Randomised runs over three markets with injected faults: broker crashes,
//! lost, duplicated and delayed messages, cancellations, market restarts and
//! false statements by a market. Each job must get exactly one final answer and
//! run in one place at a time. `SEEDS=n` sets the number of runs.

mod simulation;

use simulation::{Faults, World};

/// Runs 40 phases with random faults, then runs without faults until every job
/// is settled.
fn run_night(seed: u64, jobs: u32) -> World {
    let mut world = World::new(seed, jobs);
    world.take_over();
    for m in &mut world.markets {
        m.withdrawal_probability_per_s = 0.01;
        m.award_refusal_probability = 0.05;
    }
    world.markets[2].sends_false_answers = seed.is_multiple_of(3);
    for _ in 0..40 {
        world.faults = match world.rng.u32(0..4) {
            0 => Faults::default(),
            1 => Faults {
                lost: 0.1,
                ..Faults::default()
            },
            2 => Faults {
                duplicated: 0.1,
                delayed: 0.05,
                ..Faults::default()
            },
            _ => Faults {
                lost: 0.05,
                duplicated: 0.05,
                delayed: 0.05,
            },
        };
        world.store_down = world.rng.u32(0..10) == 0;
        for m in 0..world.markets.len() {
            world.markets[m].is_unreachable = world.rng.u32(0..8) == 0;
            if world.rng.u32(0..12) == 0 {
                let (memory, now) = (world.rng.bool(), world.now);
                world.markets[m].restart(memory, now);
            }
        }
        match world.rng.u32(0..6) {
            0 => {
                world.crash_broker();
                world.takeover_at = world.now + world.rng.u64(0..60_000);
            }
            // The replaced broker has not noticed that it lost the leadership.
            1 => world.take_over(),
            _ => {}
        }
        for _ in 0..jobs / 100 {
            let job = format!("j-{:06}", world.rng.u32(0..jobs));
            world.cancel(&job);
        }
        let duration_ms = world.rng.u64(2_000..20_000);
        world.run(duration_ms);
    }
    world.run_until_settled();
    world
}

#[test]
fn ten_thousand_jobs_under_random_faults_get_one_answer_and_run_in_one_place() {
    let seeds: u64 = std::env::var("SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(20);
    let thread_count = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let run_seeds = |first: u64| {
        let (mut accepted, mut jobs, mut calls) = (0, 0, 0);
        for seed in (first..seeds).step_by(thread_count as usize) {
            let world = run_night(seed, 500);
            assert_eq!(world.check(), Vec::<String>::new(), "seed {seed}");
            accepted += world.markets.iter().map(|m| m.awards_accepted).sum::<u64>();
            jobs += world.jobs.len();
            calls += world.calls;
        }
        (accepted, jobs, calls)
    };
    let (mut accepted, mut jobs, mut calls) = (0, 0, 0);
    std::thread::scope(|s| {
        let threads: Vec<_> = (0..thread_count)
            .map(|n| s.spawn(move || run_seeds(n)))
            .collect();
        for thread in threads {
            let (thread_accepted, thread_jobs, thread_calls) = thread
                .join()
                .expect("a worker thread panicked; its message is above");
            (accepted, jobs, calls) = (
                accepted + thread_accepted,
                jobs + thread_jobs,
                calls + thread_calls,
            );
        }
    });
    println!("{jobs} jobs, {accepted} accepted by markets, {calls} messages");
    // With fewer accepted awards the checks above would have covered little.
    assert!(accepted > 100 * seeds, "{accepted}");
}
