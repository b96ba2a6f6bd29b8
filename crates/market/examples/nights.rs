//! Measurements of the broker in the seeded in-memory simulation that its tests use.
//!
//!     nights settle      time from the end of a broker's process until its
//!                        successor knows the state of every offloaded job
//!     nights worth       deadlines met, money spent and messages per offloaded
//!                        job, with and without markets

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use simulation::{Millis, World};

/// Offloads `jobs` long-running jobs, ends the broker's process and measures
/// how long its successor takes to learn the state of all of them. `market_down`: the
/// first market does not answer the successor. Returns the number of
/// unconfirmed jobs at the takeover and the time in milliseconds.
fn measure_takeover(jobs: u32, market_down: bool) -> (usize, Millis) {
    let mut world = World::new(11, jobs);
    for job in world.jobs.values_mut() {
        job.local_start_ms = 100_000_000;
        job.waiting.estimate_s = 1_000.0;
    }
    for market in &mut world.markets {
        market.slots = 10_000;
    }
    world.take_over();
    world.run_until("all jobs run at markets", |w| {
        let running = w.jobs.keys().filter(|j| w.location(j).is_some()).count();
        running == jobs as usize
    });
    world.crash_broker();
    if market_down {
        world.markets[0].is_unreachable = true;
    }
    world.take_over();
    let (unconfirmed, started_at) = (world.broker().unconfirmed_jobs(), world.now);
    world.run_until("all are confirmed", |w| w.broker().unconfirmed_jobs() == 0);
    (unconfirmed, world.now - started_at)
}

struct NightResult {
    in_time: usize,
    jobs: usize,
    offloaded: u64,
    cost: f64,
    messages: u64,
}

/// Submits jobs for 15 minutes, faster than a home cluster that runs 25 jobs
/// at a time can finish them. Each job is due five minutes after submission.
fn measure_night(seed: u64, markets: bool) -> NightResult {
    const JOB_COUNT: u32 = 3_000;
    const DEADLINE_AFTER_MS: Millis = 300_000;
    let mut world = World::new(seed, JOB_COUNT);
    world.local_capacity = Some(25);
    for market in &mut world.markets {
        market.slots = if markets { 120 } else { 0 };
    }
    let night_start = world.now;
    for (n, job) in world.jobs.values_mut().enumerate() {
        job.submitted_at = night_start + n as Millis * 300;
    }
    world.take_over();
    let mut in_time = 0;
    let mut answered: std::collections::HashSet<String> = Default::default();
    while answered.len() < JOB_COUNT as usize && world.now < night_start + 4_000_000 {
        world.run(1_000);
        for (id, job) in &world.jobs {
            if job.answer.is_some() && answered.insert(id.clone()) {
                in_time += usize::from(world.now <= job.submitted_at + DEADLINE_AFTER_MS);
            }
        }
    }
    NightResult {
        in_time,
        jobs: world.jobs.len(),
        offloaded: world
            .markets
            .iter()
            .map(|market| market.awards_accepted)
            .sum(),
        cost: world.total_spent() as f64 / 1e6,
        messages: world.calls,
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("settle") => {
            println!("unconfirmed  one market down  seconds until all are confirmed");
            for jobs in [10, 100, 500] {
                for market_down in [false, true] {
                    let (unconfirmed, duration_ms) = measure_takeover(jobs, market_down);
                    println!(
                        "{unconfirmed:>11}  {market_down:>15}  {:>8.1}",
                        duration_ms as f64 / 1000.0
                    );
                }
            }
        }
        Some("worth") => {
            println!("markets  in time  offloaded  spent  messages per offloaded job");
            for markets in [false, true] {
                for seed in 0..3 {
                    let result = measure_night(seed, markets);
                    let messages_per_job = result.messages as f64 / result.offloaded.max(1) as f64;
                    println!(
                        "{markets:>7}  {:>3}/{:<3}  {:>9}  {:>5.2}  {messages_per_job:>5.1}",
                        result.in_time, result.jobs, result.offloaded, result.cost
                    );
                }
            }
        }
        _ => eprintln!("usage: nights settle | worth"),
    }
}
