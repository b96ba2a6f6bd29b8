//! Consistency of the answers to users, at every node: requests in flight, through
//! the steps that the nodes take, and a history in which no answer may be older
//! than one that came before its request was sent.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::users::{JobSpec, JobState, Kind},
};
use simulation::{Cut, CutScope, Simulation, UserRequest, id, job};

/// In flight everywhere: relays, reads and writes take a drawn time.
fn with_request_latency(seed: u64, machines: usize, nodes: usize) -> Simulation {
    let mut sim = Simulation::with_nodes(seed, machines, 0.0, nodes);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    (
        sim.traffic.max_latency_ms,
        sim.write_latency_ms,
        sim.run_ms,
        sim.fetch_ms,
    ) = (20, 150, 1_500, 100);
    sim
}

/// A user's dealings with one job, and how they stand.
struct Client {
    spec: JobSpec,
    /// The question whose answer it waits for.
    open: Option<usize>,
    next: u64,
    accepted: bool,
    withdraws: bool,
    over: Option<JobState>,
}

#[derive(Default)]
struct Clients {
    all: Vec<Client>,
    /// Questions asked right after something was told.
    looks: Vec<usize>,
    /// None are.
    quiet: bool,
}

impl Clients {
    fn add(&mut self, spec: JobSpec, withdraws: bool) {
        self.all.push(Client {
            spec,
            open: None,
            next: 0,
            accepted: false,
            withdraws,
            over: None,
        });
    }

    fn are_done(&self) -> bool {
        self.all.iter().all(|c| c.over.is_some())
    }

    /// Asks at all nodes, within milliseconds.
    fn ask_all_nodes(&mut self, sim: &mut Simulation, spec: &JobSpec) {
        for i in 0..sim.nodes.len() {
            for ask in [
                UserRequest::Poll(spec.id.clone()),
                UserRequest::submit(spec),
                UserRequest::Poll(spec.id.clone()),
            ] {
                let after = sim.rng.u64(0..60);
                self.looks.push(sim.request_later(after, i, ask));
            }
        }
    }

    fn advance(&mut self, sim: &mut Simulation) {
        for n in 0..self.all.len() {
            let c = &mut self.all[n];
            if c.over.is_some() {
                continue;
            }
            let Some(open) = c.open else {
                if sim.now >= c.next {
                    let id = c.spec.id.clone();
                    let ask = match (c.accepted, c.withdraws) {
                        (false, _) => UserRequest::submit(&c.spec),
                        (true, true) => UserRequest::Cancel(id),
                        (true, false) => UserRequest::Poll(id),
                    };
                    let i = sim.rng.usize(..sim.nodes.len());
                    c.open = Some(sim.request_later(0, i, ask));
                }
                continue;
            };
            let asked = &sim.traffic.history[open];
            let told = match &asked.answer {
                Some((_, Answer::State(_, s))) => Some(s.state),
                None if sim.now < asked.sent + 5_000 => continue,
                _ => None,
            };
            c.open = None;
            c.next = sim.now + sim.rng.u64(200..1_000);
            let Some(state) = told else { continue };
            // Some cancel at once.
            if !std::mem::replace(&mut c.accepted, true) && c.withdraws {
                c.next = sim.now;
            }
            c.over = state.is_final().then_some(state);
            let first = matches!(sim.traffic.history[open].ask, UserRequest::Submit(_));
            if !self.quiet && (first || state.is_final()) {
                let spec = c.spec.clone();
                self.ask_all_nodes(sim, &spec);
            }
        }
    }

    /// So long, with a new job now and then.
    fn run(&mut self, sim: &mut Simulation, ms: u64, jobs: u32) {
        let (begun, first) = (sim.now, self.all.len() as u32);
        while sim.now < begun + ms {
            let due = (sim.now - begun) * u64::from(jobs) / ms;
            while u64::from(self.all.len() as u32 - first) < due {
                let n = self.all.len() as u32 + 1;
                let kind = [Kind::Array, Kind::Gang, Kind::Array, Kind::Service][n as usize % 4];
                let withdraws = kind == Kind::Service || sim.rng.u8(..4) == 0;
                self.add(job(n, kind, 1 + n % 3), withdraws);
            }
            self.advance(sim);
            sim.step();
        }
    }

    /// Until each has heard how its job ended, and each node says the same.
    fn run_to_completion(&mut self, sim: &mut Simulation, what: &str) {
        let end = sim.now + 180_000;
        while !self.are_done() {
            self.advance(sim);
            sim.step();
            if sim.now >= end {
                let left = self.all.iter().filter(|c| c.over.is_none());
                let last = |c: &Client| c.open.map(|n| sim.traffic.history[n].answer.clone());
                let left: Vec<_> = left
                    .map(|c| (&c.spec.id, c.spec.kind, c.accepted, c.withdraws, last(c)))
                    .collect();
                panic!("{what}: {left:?} are not over; {:?}", sim.violations);
            }
        }
        sim.run(6_000);
        for c in &self.all {
            for i in 0..sim.nodes.len() {
                assert_eq!(
                    sim.poll(i, &c.spec.id),
                    c.over,
                    "{what}: {} at {i}",
                    c.spec.id
                );
            }
        }
        assert!(sim.violations.is_empty(), "{what}: {:?}", sim.violations);
    }

    fn answered(&self, sim: &Simulation) -> usize {
        let given = |n: &&usize| {
            matches!(
                sim.traffic.history[**n].answer,
                Some((_, Answer::State(..)))
            )
        };
        self.looks.iter().filter(given).count()
    }
}

/// What befalls the controllers, in turn.
fn inject_controller_fault(sim: &mut Simulation, k: u32) {
    let Some(leader) = sim.leader() else { return };
    match k % 5 {
        0 => sim.transfer_leadership(leader),
        1 => sim.crash(leader, 150),
        2 => sim.pause_process(leader, 2_500),
        3 => sim.partition(leader, CutScope::State, Cut::Reset),
        _ => sim.crash(leader, 6_000),
    }
}

/// Right after an acceptance, an end and a confirmed cancellation everybody asks
/// everywhere, and some cancel at once. Guards against a node that answers
/// from what it, or the leader, knew before.
#[test]
fn answers_are_monotonic_across_nodes() {
    let mut close = 0;
    for (seed, nodes) in (0..6).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut sim = with_request_latency(200 + seed, 6, nodes);
        let mut users = Clients::default();
        for k in 0..4 {
            users.run(&mut sim, 3_000, 6);
            if seed > 1 {
                inject_controller_fault(&mut sim, k + seed as u32);
                users.run(&mut sim, 8_000, 6);
                (0..nodes).for_each(|i| sim.end_partitions(i));
            }
        }
        users.run_to_completion(&mut sim, &format!("seed {seed}, {nodes} nodes"));
        close += users.answered(&sim);
    }
    // The combination: thousands of requests right after an answer.
    assert!(close > 4_000, "{close}");
}

/// Transactions are carried out at once and only their answers are lost, while
/// all nodes read what was written. Guards against a writer that goes on as if
/// nothing had been: each kind of write, and a writer that leads on, has lost
/// the lead, ends, or is back at once.
#[test]
fn indeterminate_write_holds_for_every_reader() {
    let mut met = std::collections::BTreeMap::new();
    for (seed, nodes) in (0..8).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut sim = with_request_latency(300 + seed, 6, nodes);
        let mut users = Clients::default();
        sim.store.lost_answers = 35;
        for k in 0..4 {
            users.run(&mut sim, 5_000, 6);
            inject_controller_fault(&mut sim, k + seed as u32);
            users.run(&mut sim, 8_000, 4);
            (0..nodes).for_each(|i| sim.end_partitions(i));
        }
        sim.store.lost_answers = 0;
        users.run_to_completion(&mut sim, &format!("seed {seed}, {nodes} nodes"));
        for (kind, n) in &sim.store.unanswered {
            *met.entry(kind.clone()).or_insert(0) += n;
        }
    }
    for kind in ["j", "f", "leader", "standbys", "m"] {
        assert!(met.get(kind).is_some_and(|n| *n >= 5), "{kind}: {met:?}");
    }
}

/// A cancellation, polls and repeated submissions meet the end of the last task,
/// with no other fault. Guards against an end that is told and then undone,
/// either way, and against dependents that go with a job which was done.
#[test]
fn requests_racing_completion_get_one_outcome() {
    let (mut done, mut withdrawn) = (0, 0);
    for seed in 0..60 {
        let mut sim = with_request_latency(400 + seed, 4, 3);
        let kind = [Kind::Array, Kind::Gang][seed as usize % 2];
        let first = job(1, kind, 1 + seed as u32 % 3);
        sim.submit(first.clone());
        let mut after = job(2, Kind::Array, 1);
        after.dependencies = vec![id(1)];
        sim.submit(after);
        sim.run_until(20_000, "near its end", |sim| {
            sim.running(&id(1)) > 0
                && sim
                    .last_task_end(&id(1))
                    .is_some_and(|at| at < sim.now + 150)
        });
        let by = sim.last_task_end(&id(1)).unwrap() - sim.now;
        let asked = sim.rng.u64(by.saturating_sub(60)..by + 250);
        let node = sim.rng.usize(..3);
        let ticket = sim.request_later(asked, node, UserRequest::Cancel(id(1)));
        for i in 0..3 {
            for _ in 0..8 {
                let at = sim.rng.u64(0..by + 600);
                sim.request_later(at, i, UserRequest::Poll(id(1)));
                let at = sim.rng.u64(0..by + 600);
                sim.request_later(at, i, UserRequest::submit(&first));
                let at = sim.rng.u64(0..by + 600);
                sim.request_later(at, i, UserRequest::Poll(id(2)));
            }
        }
        sim.run(3_000);
        sim.run_until(20_000, "over", |sim| sim.done(&id(1)) && sim.done(&id(2)));
        sim.run(1_000);
        let told = match &sim.traffic.history[ticket].answer {
            Some((_, Answer::State(200, status))) => status.state,
            other => panic!("seed {seed}: {other:?}"),
        };
        for i in 0..3 {
            assert_eq!(sim.poll(i, &id(1)), Some(told), "seed {seed}");
            // What needs it ends as it did.
            assert_eq!(sim.poll(i, &id(2)), Some(told), "seed {seed}");
        }
        done += u32::from(told == JobState::Done);
        withdrawn += u32::from(told == JobState::Cancelled);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    // The combination: it went either way, so they crossed.
    assert!(
        done > 5 && withdrawn > 5,
        "{done} done, {withdrawn} withdrawn"
    );
}

/// Bodies that can't be accepted, each with the field at fault.
fn odd_bodies(n: u32) -> Vec<(String, Vec<u8>, u16)> {
    let good = serde_json::to_value(job(n, Kind::Array, 2)).unwrap();
    let mut odd = Vec::new();
    let mut add = |field: &str, v: &serde_json::Value, status| {
        odd.push((field.to_owned(), v.to_string().into_bytes(), status));
    };
    let fields: Vec<String> = good.as_object().unwrap().keys().cloned().collect();
    for field in &fields {
        let mut v = good.clone();
        v.as_object_mut().unwrap().remove(field);
        add(field, &v, 400);
        for wrong in [serde_json::json!(null), serde_json::json!({"a": 1})] {
            v[field] = wrong;
            add(field, &v, 400);
        }
        v[field] = match good[field].is_string() {
            true => serde_json::json!(7),
            false => serde_json::json!("seven"),
        };
        add(field, &v, 400);
    }
    for (field, wrong) in [
        ("rigs", serde_json::json!("m8")),
        ("rigs", serde_json::json!([7])),
        ("hall", serde_json::json!(7)),
        ("due_s", serde_json::json!("soon")),
        ("waits_on", serde_json::json!("j-000001")),
    ] {
        let mut v = good.clone();
        v[field] = wrong;
        add(field, &v, 400);
    }
    for (field, wrong) in [
        ("owner_crew", serde_json::json!("nobody")),
        ("rigs", serde_json::json!(["m9"])),
        ("rigs", serde_json::json!([])),
        ("hall", serde_json::json!("c")),
        ("cores", serde_json::json!(8.5)),
        ("accelerators", serde_json::json!(1.0)),
        ("memory_gb", serde_json::json!(33.0)),
        ("waits_on", serde_json::json!(["j-999999"])),
    ] {
        let mut v = good.clone();
        v[field] = wrong;
        add(field, &v, 422);
    }
    odd
}

/// What can't be accepted is refused at each node, with and without a leader,
/// in one line that names the field, and never once the job is known. Guards
/// against 4xx for a known job, and against accepting what can't run.
#[test]
fn invalid_requests_are_rejected_unless_job_is_known() {
    for led in [true, false] {
        let mut sim = with_request_latency(500, 4, 3);
        sim.submit(job(1, Kind::Array, 1));
        sim.submit(job(2, Kind::Service, 1));
        sim.run_until(20_000, "over", |sim| sim.done(&id(1)));
        sim.run(1_000);
        if !led {
            // Nobody may lead, and the records can be read.
            let leader = sim.leader().unwrap();
            sim.crash(leader, 600_000);
            sim.run_until(9_000, "nobody leads", |sim| {
                (0..3).filter(|i| *i != leader).for_each(|i| {
                    let until = sim.now + 60_000;
                    sim.nodes[i].election.abstain(until);
                });
                sim.leader().is_none()
            });
        }
        let nodes: Vec<usize> = (0..3).filter(|i| sim.nodes[*i].alive).collect();
        for (field, body, status) in odd_bodies(7) {
            sim.mark_infeasible(&id(7));
            for &i in &nodes {
                match sim.request_now(i, UserRequest::Malformed(id(7), body.clone())) {
                    Some(Answer::Refused(s, why)) => {
                        assert_eq!(s, status, "{field}: {why}");
                        assert!(
                            why.contains(&field) && !why.contains('\n'),
                            "{field}: {why}"
                        );
                    }
                    other => panic!("{field} at {i}, led: {led}: {other:?}"),
                }
            }
        }
        // Of jobs that are known the same bodies say nothing.
        for (n, state) in [(1, JobState::Done), (2, JobState::Queued)] {
            for (field, body, _) in odd_bodies(n).into_iter().filter(|(f, ..)| f != "ref") {
                for &i in &nodes {
                    match sim.request_now(i, UserRequest::Malformed(id(n), body.clone())) {
                        Some(Answer::State(200, s)) => {
                            assert_eq!(s.state.is_final(), state.is_final(), "{field}");
                        }
                        other => panic!("{field} at {i}, led: {led}: {other:?}"),
                    }
                }
            }
        }
        // Withdrawing what is done changes nothing; what nobody knows is 404.
        for &i in &nodes {
            let answer = sim.request_now(i, UserRequest::Cancel(id(1)));
            let done = matches!(&answer, Some(Answer::State(200, s)) if s.state == JobState::Done);
            let later = !led && matches!(answer, Some(Answer::Later(_)));
            assert!(done || later, "{answer:?} at {i}, led: {led}");
            let polled = sim.request_now(i, UserRequest::Poll(id(8)));
            let unknown = matches!(polled, Some(Answer::Refused(404, _)));
            assert!(unknown, "{polled:?} at {i}, led: {led}");
        }
        assert!(!sim.store.kv.contains_key("j/j-000007"));
        sim.assert_no_violations();
        // While the machine types aren't known, nothing is said of what fits.
        sim.types_unknown = true;
        for &i in &nodes {
            for n in [9, 2] {
                let spec = job(n, Kind::Array, 1);
                let answer = sim.request_now(i, UserRequest::submit(&spec));
                match n {
                    2 if led => assert!(matches!(answer, Some(Answer::State(200, _)))),
                    9 => assert!(matches!(answer, Some(Answer::Later(_))), "{answer:?}"),
                    _ => {}
                }
            }
        }
        sim.assert_no_violations();
    }
}

/// One-task jobs, four a second for minutes, a quarter of them cancelled, with
/// the changes that the smallest site allows. Guards against a record that is
/// written once too often for each: ends would be told later and later.
#[test]
fn one_task_jobs_stay_within_smallest_write_rate() {
    let mut sim = with_request_latency(600, 24, 3);
    sim.limit_write_rate(15.0);
    sim.run_ms = 2_000;
    let mut users = Clients {
        quiet: true,
        ..Clients::default()
    };
    let begun = sim.now;
    let (mut last, mut worst) = (begun, 0);
    while sim.now < begun + 150_000 {
        if sim.now >= last + 250 {
            last += 250;
            let n = users.all.len() as u32 + 1;
            users.add(job(n, Kind::Array, 1), n.is_multiple_of(4));
        }
        users.advance(&mut sim);
        sim.step();
        // Ends are told in time: what has run but is not told yet stays little.
        let late = sim.finished.len() - sim.finished.iter().filter(|t| sim.done(&t[..8])).count();
        worst = worst.max(late);
    }
    let jobs = users.all.len() as u32;
    let changes = f64::from(sim.store.changes) / f64::from(jobs);
    users.run_to_completion(&mut sim, "one-task jobs");
    assert!(jobs >= 595, "{jobs}");
    let withdrawn = users
        .all
        .iter()
        .filter(|c| c.over == Some(JobState::Cancelled))
        .count();
    assert!(withdrawn > 100, "{withdrawn}");
    // Accepted, and the record replaced by a final one; where a task has to be
    // stopped first, a mark.
    assert!(changes <= 3.3, "{changes} changes a job");
    assert!(worst < 40, "{worst} ends wait for their record");
    assert_eq!(
        (sim.terms, sim.expired_tasks),
        (1, 0),
        "reports and renewals don't wait"
    );
}

/// Guards against a mark in the record of a job that has nothing anywhere: at
/// 15 changes a second a burst of cancellations would hold up all else.
#[test]
fn cancellation_before_start_costs_two_writes() {
    let mut sim = with_request_latency(610, 1, 3);
    sim.run_ms = 600_000;
    for n in 1..=32 {
        sim.submit(job(n, Kind::Array, 1));
    }
    sim.run_until(10_000, "full", |sim| sim.running("j-") == 2);
    sim.run(5_000);
    let before = sim.store.changes;
    let waiting: Vec<u32> = (1..=32).filter(|n| sim.running(&id(*n)) == 0).collect();
    for n in &waiting {
        sim.request_later(0, 0, UserRequest::Cancel(id(*n)));
    }
    sim.run(5_000);
    assert_eq!((waiting.len(), sim.store.changes - before), (30, 60));
    for n in &waiting {
        assert_eq!(sim.poll(1, &id(*n)), Some(JobState::Cancelled));
    }
    assert_eq!(sim.started_after_cancellation, 0);
    sim.assert_no_violations();
}

/// The acceptance is carried out, its answer is lost, and the user only asks
/// from then on, at a node that reads the record. Guards against a job that is
/// called pending and of which the leader never learns.
#[test]
fn job_known_only_from_records_runs() {
    for nodes in [3, 7] {
        let mut sim = with_request_latency(620, 2, nodes);
        sim.store.lost_answers = 100;
        let leader = sim.leader().unwrap();
        let submitted = sim.request_later(0, leader, UserRequest::submit(&job(1, Kind::Array, 2)));
        sim.run(200);
        sim.store.lost_answers = 0;
        let other = (leader + 1) % nodes;
        sim.run_until(3_000, "read", |sim| {
            sim.poll(other, &id(1)) == Some(JobState::Queued)
        });
        sim.run_until(20_000, "run", |sim| sim.done(&id(1)));
        assert!(!matches!(
            sim.traffic.history[submitted].answer,
            Some((_, Answer::State(..)))
        ));
        sim.assert_no_violations();
    }
}

/// Guards against a final record while tasks may still run: whoever leads next
/// would not know whose they are.
#[test]
fn cancelled_job_is_final_once_no_task_runs() {
    let mut sim = with_request_latency(630, 1, 3);
    sim.run_ms = 600_000;
    sim.submit(job(1, Kind::Array, 1));
    sim.run_until(10_000, "running", |sim| sim.running(&id(1)) == 1);
    sim.run(2_000);
    sim.workers[0].net = simulation::Net::Lose;
    sim.cancel(&id(1));
    sim.run(3_000);
    assert_eq!((sim.running(&id(1)), sim.done(&id(1))), (1, false));
    sim.run_until(15_000, "its lease over", |sim| sim.done(&id(1)));
    assert_eq!(sim.running(&id(1)), 0);
    sim.assert_no_violations();
}

/// Questions at all nodes overlap, over slow ways. Guards against an unfinished
/// state that one node read before the job's end and gives after another has
/// told that end: whoever asked both sees it go back.
#[test]
fn overlapping_polls_never_go_backwards() {
    let mut close = 0;
    for (seed, nodes) in (0..6).flat_map(|s| [(s, 3), (s, 7)]) {
        let mut sim = with_request_latency(900 + seed, 6, nodes);
        sim.traffic.max_latency_ms = 100;
        let mut users = Clients::default();
        for k in 0..4 {
            users.run(&mut sim, 3_000, 6);
            inject_controller_fault(&mut sim, k + seed as u32);
            users.run(&mut sim, 8_000, 6);
            (0..nodes).for_each(|i| sim.end_partitions(i));
        }
        users.run_to_completion(&mut sim, &format!("seed {seed}, {nodes} nodes"));
        close += users.answered(&sim);
    }
    assert!(close > 4_000, "{close}");
}
