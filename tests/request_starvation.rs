//! Requests to the state service run short: acceptances without end, lookups of a
//! large takeover and polls compete for them. The shares are the product's own.

mod simulation;

use pathwinch::{
    protocol::{
        state::{Txn, Write},
        users::{JobSpec, JobState, Kind},
    },
    state::records::{self, FinalRecord, JobRecord},
};
use simulation::{CANCEL, Simulation, UserRequest, dependent, id, job};
use std::collections::BTreeMap;

/// Jobs that were over before the takeover: the first so many numbers.
const OVER: u32 = 300;
/// Those of which the number divides by this were cancelled.
const CANCELLED_EACH: u32 = 10;

fn put(sim: &mut Simulation, key: String, value: serde_json::Value) {
    let write = Write::Put {
        key,
        value,
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    sim.store.apply(&txn).unwrap();
}

fn is_cancelled(n: u32) -> bool {
    n.is_multiple_of(CANCELLED_EACH)
}

fn record_end(sim: &mut Simulation, n: u32) {
    let state = match is_cancelled(n) {
        true => JobState::Cancelled,
        false => JobState::Done,
    };
    let record = FinalRecord { state, done: 0 };
    let value = serde_json::to_value(record).unwrap();
    put(sim, records::final_key(&id(n)), value);
    sim.know_job(job(n, Kind::Array, 1), Some(state));
}

fn record_job(sim: &mut Simulation, spec: JobSpec) {
    let record = JobRecord::new(spec.clone(), sim.now).stored();
    put(sim, records::job_key(&spec.id), record);
    sim.know_job(spec, None);
}

/// One more job for each that is over, which depends on it. The leader that knew how
/// those ended is gone; the next one has to look all of them up.
fn takeover(seed: u64, nodes: usize, per_s: f64) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, 3, 0.0, nodes);
    sim.run_ms = 1_000;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    for n in 1..=OVER {
        record_end(&mut sim, n);
        record_job(&mut sim, dependent(OVER + n, 1, &[n]));
    }
    sim.limit_request_rate(per_s);
    let leader = sim.leader().unwrap();
    sim.crash(leader, 3_000);
    sim.run_until(30_000, "a leader again", |sim| sim.leader().is_some());
    sim
}

/// Users submit several times as much as the state service allows. Each needs a read
/// at the leader before it is refused.
fn submit_without_end(sim: &mut Simulation, per_s: f64) {
    let mut spec = job(900_000, Kind::Array, 1);
    spec.team = "nobody".into();
    let each_step = (per_s / 20.0).ceil() as usize;
    for _ in 0..each_step {
        if let Some(leader) = sim.leader() {
            sim.request_now(leader, UserRequest::submit(&spec));
        }
    }
}

fn unread_ms(sim: &mut Simulation) -> u64 {
    let now = sim.now;
    let leader = sim.leader().and_then(|i| sim.nodes[i].leader.as_ref());
    leader.map_or(0, |leader_state| leader_state.dependencies_unread_ms(now))
}

/// Guards against dependencies that stay unread for whole terms, as acceptances and
/// polls use up all requests: jobs that are ready don't start, and jobs that are to be
/// cancelled are called queued.
#[test]
fn dependencies_are_read_in_time_beside_acceptances_without_end() {
    for per_s in [60.0, 200.0, 700.0] {
        for nodes in [3, 7] {
            let mut sim = takeover(40, nodes, per_s);
            let mut longest = 0;
            let began = sim.now;
            while sim.now < began + CANCEL {
                submit_without_end(&mut sim, per_s);
                let n = OVER + sim.rng.u32(1..=OVER);
                for i in 0..nodes {
                    sim.poll(i, &id(n));
                }
                sim.step();
                longest = longest.max(unread_ms(&mut sim));
            }
            eprintln!("{per_s} a second, {nodes} controllers: unread for {longest} ms");
            assert!(longest > 0 && unread_ms(&mut sim) == 0, "{per_s} {nodes}");
            sim.assert_no_violations();
        }
    }
}

/// What one job's questions got so far.
#[derive(Default)]
struct Silence {
    since: Option<u64>,
    longest_ms: u64,
}

impl Silence {
    fn asked(&mut self, now: u64, answered: bool) {
        let since = *self.since.get_or_insert(now);
        self.longest_ms = self.longest_ms.max(now - since);
        if answered {
            self.since = None;
        }
    }
}

/// Polls jobs drawn among these at drawn nodes, beside acceptances without end, and
/// returns the longest time that one of them went without an answer.
fn longest_silence_ms(sim: &mut Simulation, jobs: &[u32], per_s: f64, for_ms: u64) -> u64 {
    let mut silences: BTreeMap<u32, Silence> = BTreeMap::new();
    let end = sim.now + for_ms;
    let interval = 5_000;
    while sim.now < end {
        submit_without_end(sim, per_s);
        // Each job is asked for about every 5 s.
        let each_step = jobs.len() * simulation::STEP as usize / interval + 1;
        for _ in 0..each_step {
            let n = jobs[sim.rng.usize(..jobs.len())];
            let node = sim.rng.usize(..sim.nodes.len());
            let answered = sim.poll(node, &id(n)).is_some();
            silences.entry(n).or_default().asked(sim.now, answered);
        }
        sim.step();
    }
    silences.values().map(|s| s.longest_ms).max().unwrap_or(0)
}

/// The users' bound: no job goes longer without an answered question.
const MAX_SILENCE_MS: u64 = 75_000;

/// Guards against polls that lookups and acceptances starve, and the other way round,
/// while nobody leads and after a takeover.
#[test]
fn no_job_stays_unanswered_while_lookups_and_polls_compete() {
    for (seed, per_s) in [(50, 60.0), (51, 200.0), (52, 700.0)] {
        let mut sim = takeover(seed, 3, per_s);
        let mut all: Vec<u32> = (1..=2 * OVER).collect();
        // A long chain.
        for n in 2 * OVER + 1..=2 * OVER + 30 {
            record_job(&mut sim, dependent(n, 1, &[n - 1]));
            all.push(n);
        }
        let leader = sim.leader().unwrap();
        sim.crash(leader, 3_000);
        sim.fault_free = true;
        let longest = longest_silence_ms(&mut sim, &all, per_s, 100_000);
        eprintln!("{per_s} a second: longest silence {longest} ms");
        assert!(longest <= MAX_SILENCE_MS, "{per_s}: {longest} ms");
        sim.assert_no_violations();
    }
}

/// One step of a drawn run: a job of a chain, a cancellation, a change of leader.
fn step_drawn(sim: &mut Simulation, n: u32, per_s: f64) {
    let count = if n > 1 { sim.rng.usize(..3) } else { 0 };
    let mut on: Vec<u32> = (0..count)
        .map(|_| sim.rng.u32(n.saturating_sub(8).max(1)..n))
        .collect();
    on.sort_unstable();
    on.dedup();
    sim.submit(dependent(n, 1, &on));
    let which = sim.rng.u32(n.saturating_sub(8).max(1)..=n);
    match sim.rng.u8(..6) {
        0 => {
            (0..3).for_each(|i| sim.crash(i, 300));
            sim.run_until(30_000, "a leader again", |sim| sim.leader().is_some());
        }
        1 | 2 => sim.cancel(&id(which)),
        3 => sim.store.lost_answers = [0, 30][sim.rng.usize(..2)],
        _ => {}
    }
    for _ in 0..sim.rng.usize(..40) {
        submit_without_end(sim, per_s);
        let polled = sim.rng.u32(1..=n);
        for i in 0..3 {
            sim.poll(i, &id(polled));
        }
        sim.step();
    }
}

/// Chains that are cancelled while leaders change, reads are late and all requests are
/// used up: no answer breaks a rule, and in the end all jobs are over.
#[test]
fn starved_reads_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(12, |n| n.parse().unwrap()) {
        let mut sim = Simulation::with_leader(60_000 + seed, 6, 0.0);
        sim.run_ms = 1_500;
        sim.standbys = seed % 2 == 0;
        sim.read_faults.max_latency_ms = [0, 200, 1_500][sim.rng.usize(..3)];
        let per_s = [30.0, 60.0, 200.0][sim.rng.usize(..3)];
        sim.limit_request_rate(per_s);
        for n in 1..=40 {
            step_drawn(&mut sim, n, per_s);
            assert!(
                sim.violations.is_empty(),
                "seed {seed}: {:?}",
                sim.violations
            );
        }
        sim.store.lost_answers = 0;
        sim.fault_free = true;
        let all: Vec<u32> = (1..=40).collect();
        let silence = longest_silence_ms(&mut sim, &all, per_s, 90_000);
        assert!(silence <= MAX_SILENCE_MS, "seed {seed}: {silence} ms");
        for n in 1..=40 {
            assert!(sim.done(&id(n)), "seed {seed}: {} is not over", id(n));
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
}
