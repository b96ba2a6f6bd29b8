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

fn put(w: &mut Simulation, key: String, value: serde_json::Value) {
    let write = Write::Put {
        key,
        value,
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![write],
    };
    w.store.apply(&txn).unwrap();
}

fn is_cancelled(n: u32) -> bool {
    n.is_multiple_of(CANCELLED_EACH)
}

fn record_end(w: &mut Simulation, n: u32) {
    let state = match is_cancelled(n) {
        true => JobState::Cancelled,
        false => JobState::Done,
    };
    let record = FinalRecord { state, done: 0 };
    let value = serde_json::to_value(record).unwrap();
    put(w, records::final_key(&id(n)), value);
    w.know_job(job(n, Kind::Array, 1), Some(state));
}

fn record_job(w: &mut Simulation, spec: JobSpec) {
    let record = JobRecord::new(spec.clone(), w.now).stored();
    put(w, records::job_key(&spec.id), record);
    w.know_job(spec, None);
}

/// One more job for each that is over, which depends on it. The leader that knew how
/// those ended is gone; the next one has to look all of them up.
fn takeover(seed: u64, nodes: usize, per_s: f64) -> Simulation {
    let mut w = Simulation::with_nodes(seed, 3, 0.0, nodes);
    w.run_ms = 1_000;
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    for n in 1..=OVER {
        record_end(&mut w, n);
        record_job(&mut w, dependent(OVER + n, 1, &[n]));
    }
    w.limit_request_rate(per_s);
    let leader = w.leader().unwrap();
    w.crash(leader, 3_000);
    w.run_until(30_000, "a leader again", |w| w.leader().is_some());
    w
}

/// Users submit several times as much as the state service allows. Each needs a read
/// at the leader before it is refused.
fn submit_without_end(w: &mut Simulation, per_s: f64) {
    let mut spec = job(900_000, Kind::Array, 1);
    spec.team = "nobody".into();
    let each_step = (per_s / 20.0).ceil() as usize;
    for _ in 0..each_step {
        if let Some(leader) = w.leader() {
            w.request_now(leader, UserRequest::submit(&spec));
        }
    }
}

fn unread_ms(w: &mut Simulation) -> u64 {
    let now = w.now;
    let leader = w.leader().and_then(|i| w.nodes[i].leader.as_ref());
    leader.map_or(0, |l| l.dependencies_unread_ms(now))
}

/// Guards against dependencies that stay unread for whole terms, as acceptances and
/// polls use up all requests: jobs that are ready don't start, and jobs that are to be
/// cancelled are called queued.
#[test]
fn dependencies_are_read_in_time_beside_acceptances_without_end() {
    for per_s in [60.0, 200.0, 700.0] {
        for nodes in [3, 7] {
            let mut w = takeover(40, nodes, per_s);
            let mut longest = 0;
            let began = w.now;
            while w.now < began + CANCEL {
                submit_without_end(&mut w, per_s);
                let n = OVER + w.rng.u32(1..=OVER);
                for i in 0..nodes {
                    w.poll(i, &id(n));
                }
                w.step();
                longest = longest.max(unread_ms(&mut w));
            }
            eprintln!("{per_s} a second, {nodes} controllers: unread for {longest} ms");
            assert!(longest > 0 && unread_ms(&mut w) == 0, "{per_s} {nodes}");
            w.assert_no_violations();
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
fn longest_silence_ms(w: &mut Simulation, jobs: &[u32], per_s: f64, for_ms: u64) -> u64 {
    let mut silences: BTreeMap<u32, Silence> = BTreeMap::new();
    let end = w.now + for_ms;
    let interval = 5_000;
    while w.now < end {
        submit_without_end(w, per_s);
        // Each job is asked for about every 5 s.
        let each_step = jobs.len() * simulation::STEP as usize / interval + 1;
        for _ in 0..each_step {
            let n = jobs[w.rng.usize(..jobs.len())];
            let node = w.rng.usize(..w.nodes.len());
            let answered = w.poll(node, &id(n)).is_some();
            silences.entry(n).or_default().asked(w.now, answered);
        }
        w.step();
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
        let mut w = takeover(seed, 3, per_s);
        let mut all: Vec<u32> = (1..=2 * OVER).collect();
        // A long chain.
        for n in 2 * OVER + 1..=2 * OVER + 30 {
            record_job(&mut w, dependent(n, 1, &[n - 1]));
            all.push(n);
        }
        let leader = w.leader().unwrap();
        w.crash(leader, 3_000);
        w.fault_free = true;
        let longest = longest_silence_ms(&mut w, &all, per_s, 100_000);
        eprintln!("{per_s} a second: longest silence {longest} ms");
        assert!(longest <= MAX_SILENCE_MS, "{per_s}: {longest} ms");
        w.assert_no_violations();
    }
}

/// One step of a drawn run: a job of a chain, a cancellation, a change of leader.
fn step_drawn(w: &mut Simulation, n: u32, per_s: f64) {
    let count = if n > 1 { w.rng.usize(..3) } else { 0 };
    let mut on: Vec<u32> = (0..count)
        .map(|_| w.rng.u32(n.saturating_sub(8).max(1)..n))
        .collect();
    on.sort_unstable();
    on.dedup();
    w.submit(dependent(n, 1, &on));
    let which = w.rng.u32(n.saturating_sub(8).max(1)..=n);
    match w.rng.u8(..6) {
        0 => {
            (0..3).for_each(|i| w.crash(i, 300));
            w.run_until(30_000, "a leader again", |w| w.leader().is_some());
        }
        1 | 2 => w.cancel(&id(which)),
        3 => w.store.lost_answers = [0, 30][w.rng.usize(..2)],
        _ => {}
    }
    for _ in 0..w.rng.usize(..40) {
        submit_without_end(w, per_s);
        let polled = w.rng.u32(1..=n);
        for i in 0..3 {
            w.poll(i, &id(polled));
        }
        w.step();
    }
}

/// Chains that are cancelled while leaders change, reads are late and all requests are
/// used up: no answer breaks a rule, and in the end all jobs are over.
#[test]
fn starved_reads_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(12, |n| n.parse().unwrap()) {
        let mut w = Simulation::with_leader(60_000 + seed, 6, 0.0);
        w.run_ms = 1_500;
        w.standbys = seed % 2 == 0;
        w.read_faults.max_latency_ms = [0, 200, 1_500][w.rng.usize(..3)];
        let per_s = [30.0, 60.0, 200.0][w.rng.usize(..3)];
        w.limit_request_rate(per_s);
        for n in 1..=40 {
            step_drawn(&mut w, n, per_s);
            assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        }
        w.store.lost_answers = 0;
        w.fault_free = true;
        let all: Vec<u32> = (1..=40).collect();
        let silence = longest_silence_ms(&mut w, &all, per_s, 90_000);
        assert!(silence <= MAX_SILENCE_MS, "seed {seed}: {silence} ms");
        for n in 1..=40 {
            assert!(w.done(&id(n)), "seed {seed}: {} is not over", id(n));
        }
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
    }
}
