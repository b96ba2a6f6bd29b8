//! A rate limit on the state service's requests: submissions, the lookups of
//! dependencies after a failover, and polls compete for it. The limit is divided
//! by the product's own request budgets.

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

/// Number of jobs, from number 1 on, that are final before the failover.
const FINISHED_JOBS: u32 = 300;
/// Every such job whose number is a multiple of this was cancelled; the others are
/// done.
const CANCELLED_INTERVAL: u32 = 10;

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

fn is_cancelled(number: u32) -> bool {
    number.is_multiple_of(CANCELLED_INTERVAL)
}

fn record_final_state(sim: &mut Simulation, number: u32) {
    let state = match is_cancelled(number) {
        true => JobState::Cancelled,
        false => JobState::Done,
    };
    let record = FinalRecord { state, done: 0 };
    let value = serde_json::to_value(record).unwrap();
    put(sim, records::final_key(&id(number)), value);
    sim.know_job(job(number, Kind::Array, 1), Some(state));
}

fn record_waiting_job(sim: &mut Simulation, spec: JobSpec) {
    let record = JobRecord::new(spec.clone(), sim.now).stored();
    put(sim, records::job_key(&spec.id), record);
    sim.know_job(spec, None);
}

/// A cluster after a failover in which each finished job has one dependent. The old
/// leader knew the final states of the dependencies; the new leader has to look up
/// all of them, at `requests_per_s` requests to the state service.
fn with_unread_dependencies(seed: u64, nodes: usize, requests_per_s: f64) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, 3, 0.0, nodes);
    sim.run_ms = 1_000;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    for number in 1..=FINISHED_JOBS {
        record_final_state(&mut sim, number);
        record_waiting_job(&mut sim, dependent(FINISHED_JOBS + number, 1, &[number]));
    }
    sim.limit_request_rate(requests_per_s);
    let leader = sim.leader().unwrap();
    sim.crash(leader, 3_000);
    sim.run_until(30_000, "a new leader", |sim| sim.leader().is_some());
    sim
}

/// Submits, in each step, as many jobs as the state service allows requests in that
/// time. Each submission costs the leader a read before it is refused, as its team
/// is unknown.
fn submit_over_limit(sim: &mut Simulation, requests_per_s: f64) {
    let mut spec = job(900_000, Kind::Array, 1);
    spec.team = "nobody".into();
    let each_step = (requests_per_s / 20.0).ceil() as usize;
    for _ in 0..each_step {
        if let Some(leader) = sim.leader() {
            sim.request_now(leader, UserRequest::submit(&spec));
        }
    }
}

fn dependencies_unread_ms(sim: &mut Simulation) -> u64 {
    let now = sim.now;
    let leader = sim
        .leader()
        .and_then(|node| sim.nodes[node].leader.as_ref());
    leader.map_or(0, |leader_state| leader_state.dependencies_unread_ms(now))
}

/// Guards against dependencies that stay unread for whole terms because submissions
/// and polls use up all requests: ready jobs would not start, and jobs that must be
/// cancelled with a dependency would be answered as queued.
#[test]
fn dependencies_are_read_in_time_beside_excess_submissions() {
    for requests_per_s in [60.0, 200.0, 700.0] {
        for nodes in [3, 7] {
            let mut sim = with_unread_dependencies(40, nodes, requests_per_s);
            let mut longest_ms = 0;
            let started_at = sim.now;
            while sim.now < started_at + CANCEL {
                submit_over_limit(&mut sim, requests_per_s);
                let number = FINISHED_JOBS + sim.rng.u32(1..=FINISHED_JOBS);
                for node in 0..nodes {
                    sim.poll(node, &id(number));
                }
                sim.step();
                longest_ms = longest_ms.max(dependencies_unread_ms(&mut sim));
            }
            eprintln!(
                "{requests_per_s} requests/s, {nodes} controllers: dependencies unread for {longest_ms} ms"
            );
            assert!(
                longest_ms > 0 && dependencies_unread_ms(&mut sim) == 0,
                "{requests_per_s} {nodes}"
            );
            sim.assert_no_violations();
        }
    }
}

/// How long polls of one job have gone without an answer.
#[derive(Default)]
struct UnansweredSpan {
    since: Option<u64>,
    longest_ms: u64,
}

impl UnansweredSpan {
    fn record_poll(&mut self, now: u64, answered: bool) {
        let since = *self.since.get_or_insert(now);
        self.longest_ms = self.longest_ms.max(now - since);
        if answered {
            self.since = None;
        }
    }
}

/// Polls random jobs of `jobs` at random nodes while users submit more than the
/// limit allows. Returns the longest time for which the polls of one job had no
/// answer.
fn longest_unanswered_ms(
    sim: &mut Simulation,
    jobs: &[u32],
    requests_per_s: f64,
    duration_ms: u64,
) -> u64 {
    let mut spans: BTreeMap<u32, UnansweredSpan> = BTreeMap::new();
    let end = sim.now + duration_ms;
    let poll_interval_ms = 5_000;
    while sim.now < end {
        submit_over_limit(sim, requests_per_s);
        // Each job is polled about every 5 s.
        let each_step = jobs.len() * simulation::STEP as usize / poll_interval_ms + 1;
        for _ in 0..each_step {
            let number = jobs[sim.rng.usize(..jobs.len())];
            let node = sim.rng.usize(..sim.nodes.len());
            let answered = sim.poll(node, &id(number)).is_some();
            spans
                .entry(number)
                .or_default()
                .record_poll(sim.now, answered);
        }
        sim.step();
    }
    spans
        .values()
        .map(|span| span.longest_ms)
        .max()
        .unwrap_or(0)
}

/// Longest time that the polls of a job may go without an answer.
const MAX_UNANSWERED_MS: u64 = 75_000;

/// Guards against polls that are starved by lookups and submissions, and the other
/// way round, while there is no leader and after a failover.
#[test]
fn no_job_stays_unanswered_while_lookups_and_polls_compete() {
    for (seed, requests_per_s) in [(50, 60.0), (51, 200.0), (52, 700.0)] {
        let mut sim = with_unread_dependencies(seed, 3, requests_per_s);
        let mut jobs: Vec<u32> = (1..=2 * FINISHED_JOBS).collect();
        // Adds a long chain of dependent jobs.
        for number in 2 * FINISHED_JOBS + 1..=2 * FINISHED_JOBS + 30 {
            record_waiting_job(&mut sim, dependent(number, 1, &[number - 1]));
            jobs.push(number);
        }
        let leader = sim.leader().unwrap();
        sim.crash(leader, 3_000);
        sim.fault_free = true;
        let longest_ms = longest_unanswered_ms(&mut sim, &jobs, requests_per_s, 100_000);
        eprintln!("{requests_per_s} requests/s: a job's polls unanswered for {longest_ms} ms");
        assert!(
            longest_ms <= MAX_UNANSWERED_MS,
            "{requests_per_s}: {longest_ms} ms"
        );
        sim.assert_no_violations();
    }
}

/// One step of a random run: submits a job with up to two dependencies, and may
/// cancel a job, restart all controllers or lose answers of the state service.
fn run_random_step(sim: &mut Simulation, number: u32, requests_per_s: f64) {
    let count = if number > 1 { sim.rng.usize(..3) } else { 0 };
    let mut dependencies: Vec<u32> = (0..count)
        .map(|_| sim.rng.u32(number.saturating_sub(8).max(1)..number))
        .collect();
    dependencies.sort_unstable();
    dependencies.dedup();
    sim.submit(dependent(number, 1, &dependencies));
    let cancelled_job = sim.rng.u32(number.saturating_sub(8).max(1)..=number);
    match sim.rng.u8(..6) {
        0 => {
            (0..3).for_each(|node| sim.crash(node, 300));
            sim.run_until(30_000, "a new leader", |sim| sim.leader().is_some());
        }
        1 | 2 => sim.cancel(&id(cancelled_job)),
        3 => sim.store.lost_answers = [0, 30][sim.rng.usize(..2)],
        _ => {}
    }
    for _ in 0..sim.rng.usize(..40) {
        submit_over_limit(sim, requests_per_s);
        let polled_job = sim.rng.u32(1..=number);
        for node in 0..3 {
            sim.poll(node, &id(polled_job));
        }
        sim.step();
    }
}

/// Dependency chains are cancelled while leaders change, reads are late and all
/// requests are used up. Guards against answers that break an invariant, and against
/// jobs that never become final.
#[test]
fn starved_reads_break_no_invariant() {
    for seed in 0..std::env::var("SEEDS").map_or(12, |number| number.parse().unwrap()) {
        let mut sim = Simulation::with_leader(60_000 + seed, 6, 0.0);
        sim.run_ms = 1_500;
        sim.standbys = seed % 2 == 0;
        sim.read_faults.max_latency_ms = [0, 200, 1_500][sim.rng.usize(..3)];
        let requests_per_s = [30.0, 60.0, 200.0][sim.rng.usize(..3)];
        sim.limit_request_rate(requests_per_s);
        for number in 1..=40 {
            run_random_step(&mut sim, number, requests_per_s);
            assert!(
                sim.violations.is_empty(),
                "seed {seed}: {:?}",
                sim.violations
            );
        }
        sim.store.lost_answers = 0;
        sim.fault_free = true;
        let jobs: Vec<u32> = (1..=40).collect();
        let longest_ms = longest_unanswered_ms(&mut sim, &jobs, requests_per_s, 90_000);
        assert!(
            longest_ms <= MAX_UNANSWERED_MS,
            "seed {seed}: {longest_ms} ms"
        );
        for number in 1..=40 {
            assert!(
                sim.done(&id(number)),
                "seed {seed}: {} is not final",
                id(number)
            );
        }
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
}
