//! Measures the broker in the in-memory world of the tests, with seeds:
//!
//!     nights settle      from a broker's end to the successor having settled
//!                        all that was indeterminate
//!     nights worth       money and deadlines of a night with and without
//!                        markets, and messages a job

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use simulation::{Millis, World};

/// All jobs offloaded and running for long, then the broker's process ends.
fn settle(jobs: u32, down: bool) -> (usize, Millis) {
    let mut w = World::new(11, jobs);
    for j in w.jobs.values_mut() {
        j.local_at = 100_000_000;
        j.w.estimate_s = 1_000.0;
    }
    for m in &mut w.markets {
        m.slots = 10_000;
    }
    w.take_over();
    w.until("all are lent", |w| {
        let running = w.jobs.keys().filter(|j| w.place(j).is_some()).count();
        running == jobs as usize
    });
    w.end_broker();
    if down {
        w.markets[0].down = true;
    }
    w.take_over();
    let (doubt, began) = (w.broker().in_doubt(), w.now);
    w.until("all is known", |w| w.broker().in_doubt() == 0);
    (doubt, w.now - began)
}

struct Night {
    in_time: usize,
    jobs: usize,
    lent: u64,
    spent: f64,
    calls: u64,
}

/// Jobs come faster than a home of 25 places for jobs can run them, for 15
/// minutes; each is due five minutes after it came.
fn worth(seed: u64, markets: bool) -> Night {
    const JOBS: u32 = 3_000;
    const DUE: Millis = 300_000;
    let mut w = World::new(seed, JOBS);
    w.room = Some(25);
    for m in &mut w.markets {
        m.slots = if markets { 120 } else { 0 };
    }
    let start = w.now;
    for (n, j) in w.jobs.values_mut().enumerate() {
        j.come = start + n as Millis * 300;
    }
    w.take_over();
    let mut in_time = 0;
    let mut over: std::collections::HashSet<String> = Default::default();
    while over.len() < JOBS as usize && w.now < start + 4_000_000 {
        w.run(1_000);
        for (id, j) in &w.jobs {
            if j.answer.is_some() && over.insert(id.clone()) {
                in_time += usize::from(w.now <= j.come + DUE);
            }
        }
    }
    Night {
        in_time,
        jobs: w.jobs.len(),
        lent: w.markets.iter().map(|m| m.accepted).sum(),
        spent: w.spent() as f64 / 1e6,
        calls: w.calls,
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("settle") => {
            println!("in doubt  one market silent  seconds until all is known");
            for jobs in [10, 100, 500] {
                for down in [false, true] {
                    let (doubt, ms) = settle(jobs, down);
                    println!("{doubt:>8}  {down:>17}  {:>8.1}", ms as f64 / 1000.0);
                }
            }
        }
        Some("worth") => {
            println!("markets  in time  lent  spent  messages a lent job");
            for markets in [false, true] {
                for seed in 0..3 {
                    let n = worth(seed, markets);
                    let each = n.calls as f64 / n.lent.max(1) as f64;
                    println!(
                        "{markets:>7}  {:>3}/{:<3}  {:>4}  {:>5.2}  {each:>5.1}",
                        n.in_time, n.jobs, n.lent, n.spent
                    );
                }
            }
        }
        _ => eprintln!("nights settle | worth"),
    }
}
