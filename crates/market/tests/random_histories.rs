//! Histories over three markets under drawn faults: whatever dies, answers
//! twice, cancels or lies, each job has one final answer and runs in one
//! place at a time. `SEEDS=n` runs more of them.

mod simulation;

use simulation::{Faults, World};

/// A night with everything that can go wrong, then calm.
fn night(seed: u64, jobs: u32) -> World {
    let mut w = World::new(seed, jobs);
    w.take_over();
    for m in &mut w.markets {
        m.withdraws = 0.01;
        m.refuses = 0.05;
    }
    w.markets[2].lies = seed.is_multiple_of(3);
    for _ in 0..40 {
        w.faults = match w.rng.u32(0..4) {
            0 => Faults::default(),
            1 => Faults {
                lost: 0.1,
                ..Faults::default()
            },
            2 => Faults {
                doubled: 0.1,
                late: 0.05,
                ..Faults::default()
            },
            _ => Faults {
                lost: 0.05,
                doubled: 0.05,
                late: 0.05,
            },
        };
        w.store_down = w.rng.u32(0..10) == 0;
        for m in 0..w.markets.len() {
            w.markets[m].down = w.rng.u32(0..8) == 0;
            if w.rng.u32(0..12) == 0 {
                let (memory, now) = (w.rng.bool(), w.now);
                w.markets[m].restart(memory, now);
            }
        }
        match w.rng.u32(0..6) {
            0 => {
                w.end_broker();
                w.takes_over_at = w.now + w.rng.u64(0..60_000);
            }
            // The earlier one doesn't know yet.
            1 => w.take_over(),
            _ => {}
        }
        for _ in 0..jobs / 100 {
            let job = format!("j-{:06}", w.rng.u32(0..jobs));
            w.cancel(&job);
        }
        let long = w.rng.u64(2_000..20_000);
        w.run(long);
    }
    w.settle();
    w
}

#[test]
fn ten_thousand_jobs_have_one_answer_each_and_run_in_one_place_at_a_time() {
    let seeds: u64 = std::env::var("SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(20);
    let executor = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let lane = |first: u64| {
        let (mut accepted, mut jobs, mut calls) = (0, 0, 0);
        for seed in (first..seeds).step_by(executor as usize) {
            let w = night(seed, 500);
            assert_eq!(w.check(), Vec::<String>::new(), "seed {seed}");
            accepted += w.markets.iter().map(|m| m.accepted).sum::<u64>();
            jobs += w.jobs.len();
            calls += w.calls;
        }
        (accepted, jobs, calls)
    };
    let (mut accepted, mut jobs, mut calls) = (0, 0, 0);
    std::thread::scope(|s| {
        let threads: Vec<_> = (0..executor).map(|n| s.spawn(move || lane(n))).collect();
        for t in threads {
            let (a, j, c) = t.join().expect("a night went wrong, see above");
            (accepted, jobs, calls) = (accepted + a, jobs + j, calls + c);
        }
    });
    println!("{jobs} jobs, {accepted} accepted by markets, {calls} messages");
    // Otherwise the checker has seen nothing.
    assert!(accepted > 100 * seeds, "{accepted}");
}
