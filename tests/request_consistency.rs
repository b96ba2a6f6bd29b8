//! Consistency of the answers that users get at every node. Requests are in
//! flight while the nodes take their steps, and the recorded history of requests
//! and answers is checked: no answer may be older than an answer that arrived
//! before its request was sent.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::users::{JobSpec, JobState, Kind},
};
use simulation::{Cut, CutScope, Simulation, UserRequest, id, job};

/// A cluster with a leader in which forwarded requests, reads and writes take a
/// random time.
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

/// A user of one job: submits it until it is accepted, then polls or cancels it
/// until it is final.
struct Client {
    spec: JobSpec,
    /// Index of the request whose answer the client awaits.
    open_request: Option<usize>,
    next_request_at: u64,
    accepted: bool,
    will_cancel: bool,
    final_state: Option<JobState>,
}

#[derive(Default)]
struct Clients {
    all: Vec<Client>,
    /// Indices of the requests sent to all nodes right after an answer.
    probes: Vec<usize>,
    /// Whether clients skip the requests of `probes`.
    no_probes: bool,
}

impl Clients {
    fn add(&mut self, spec: JobSpec, will_cancel: bool) {
        self.all.push(Client {
            spec,
            open_request: None,
            next_request_at: 0,
            accepted: false,
            will_cancel,
            final_state: None,
        });
    }

    fn are_done(&self) -> bool {
        self.all.iter().all(|client| client.final_state.is_some())
    }

    /// Polls and resubmits a job at all nodes within 60 ms.
    fn probe_all_nodes(&mut self, sim: &mut Simulation, spec: &JobSpec) {
        for node in 0..sim.nodes.len() {
            for request in [
                UserRequest::Poll(spec.id.clone()),
                UserRequest::submit(spec),
                UserRequest::Poll(spec.id.clone()),
            ] {
                let delay = sim.rng.u64(0..60);
                self.probes.push(sim.request_later(delay, node, request));
            }
        }
    }

    fn advance(&mut self, sim: &mut Simulation) {
        for index in 0..self.all.len() {
            let client = &mut self.all[index];
            if client.final_state.is_some() {
                continue;
            }
            let Some(request) = client.open_request else {
                if sim.now >= client.next_request_at {
                    let id = client.spec.id.clone();
                    let new_request = match (client.accepted, client.will_cancel) {
                        (false, _) => UserRequest::submit(&client.spec),
                        (true, true) => UserRequest::Cancel(id),
                        (true, false) => UserRequest::Poll(id),
                    };
                    let node = sim.rng.usize(..sim.nodes.len());
                    client.open_request = Some(sim.request_later(0, node, new_request));
                }
                continue;
            };
            let sent_request = &sim.traffic.history[request];
            let answered_state = match &sent_request.answer {
                Some((_, Answer::State(_, s))) => Some(s.state),
                None if sim.now < sent_request.sent + 5_000 => continue,
                _ => None,
            };
            client.open_request = None;
            client.next_request_at = sim.now + sim.rng.u64(200..1_000);
            let Some(state) = answered_state else {
                continue;
            };
            // A client that cancels does so right after its job is accepted.
            if !std::mem::replace(&mut client.accepted, true) && client.will_cancel {
                client.next_request_at = sim.now;
            }
            client.final_state = state.is_final().then_some(state);
            let is_submission = matches!(sim.traffic.history[request].ask, UserRequest::Submit(_));
            if !self.no_probes && (is_submission || state.is_final()) {
                let spec = client.spec.clone();
                self.probe_all_nodes(sim, &spec);
            }
        }
    }

    /// Runs for `duration_ms` and adds `jobs` clients, evenly spread over that time.
    fn run(&mut self, sim: &mut Simulation, duration_ms: u64, jobs: u32) {
        let (started_at, count_before) = (sim.now, self.all.len() as u32);
        while sim.now < started_at + duration_ms {
            let due_jobs = (sim.now - started_at) * u64::from(jobs) / duration_ms;
            while u64::from(self.all.len() as u32 - count_before) < due_jobs {
                let number = self.all.len() as u32 + 1;
                let kind =
                    [Kind::Array, Kind::Gang, Kind::Array, Kind::Service][number as usize % 4];
                let will_cancel = kind == Kind::Service || sim.rng.u8(..4) == 0;
                self.add(job(number, kind, 1 + number % 3), will_cancel);
            }
            self.advance(sim);
            sim.step();
        }
    }

    /// Runs until every client has been answered a final state, and checks that
    /// every node answers the same one.
    fn run_to_completion(&mut self, sim: &mut Simulation, what: &str) {
        let deadline = sim.now + 180_000;
        while !self.are_done() {
            self.advance(sim);
            sim.step();
            if sim.now >= deadline {
                let unfinished = self
                    .all
                    .iter()
                    .filter(|client| client.final_state.is_none());
                let last_answer = |client: &Client| {
                    client
                        .open_request
                        .map(|request| sim.traffic.history[request].answer.clone())
                };
                let unfinished: Vec<_> = unfinished
                    .map(|client| {
                        (
                            &client.spec.id,
                            client.spec.kind,
                            client.accepted,
                            client.will_cancel,
                            last_answer(client),
                        )
                    })
                    .collect();
                panic!("{what}: {unfinished:?} are not final; {:?}", sim.violations);
            }
        }
        sim.run(6_000);
        for client in &self.all {
            for node in 0..sim.nodes.len() {
                assert_eq!(
                    sim.poll(node, &client.spec.id),
                    client.final_state,
                    "{what}: {} at {node}",
                    client.spec.id
                );
            }
        }
        assert!(sim.violations.is_empty(), "{what}: {:?}", sim.violations);
    }

    fn answered_probes(&self, sim: &Simulation) -> usize {
        let is_answered = |request: &&usize| {
            matches!(
                sim.traffic.history[**request].answer,
                Some((_, Answer::State(..)))
            )
        };
        self.probes.iter().filter(is_answered).count()
    }
}

/// Injects a fault of the current leader; `round` selects which.
fn inject_controller_fault(sim: &mut Simulation, round: u32) {
    let Some(leader) = sim.leader() else { return };
    match round % 5 {
        0 => sim.transfer_leadership(leader),
        1 => sim.crash(leader, 150),
        2 => sim.pause_process(leader, 2_500),
        3 => sim.partition(leader, CutScope::State, Cut::Reset),
        _ => sim.crash(leader, 6_000),
    }
}

/// Right after an answer that accepts a job or reports its final state, users
/// poll and resubmit the job at all nodes, and some cancel at once. Guards against
/// a node that answers from older knowledge of its own or of the leader.
#[test]
fn answers_are_monotonic_across_nodes() {
    let mut answered_probes = 0;
    for (seed, nodes) in (0..6).flat_map(|seed| [(seed, 3), (seed, 7)]) {
        let mut sim = with_request_latency(200 + seed, 6, nodes);
        let mut clients = Clients::default();
        for round in 0..4 {
            clients.run(&mut sim, 3_000, 6);
            if seed > 1 {
                inject_controller_fault(&mut sim, round + seed as u32);
                clients.run(&mut sim, 8_000, 6);
                (0..nodes).for_each(|node| sim.end_partitions(node));
            }
        }
        clients.run_to_completion(&mut sim, &format!("seed {seed}, {nodes} nodes"));
        answered_probes += clients.answered_probes(&sim);
    }
    // Thousands of requests followed right after an answer.
    assert!(answered_probes > 4_000, "{answered_probes}");
}

/// Transactions are applied at once and only their answers are lost, while all
/// nodes read what was written. Guards against a writer that continues as if the
/// write had not been applied: for each kind of write, and for a writer that
/// still leads, has lost leadership, crashes, or restarts at once.
#[test]
fn indeterminate_write_holds_for_every_reader() {
    let mut unanswered_by_kind = std::collections::BTreeMap::new();
    for (seed, nodes) in (0..8).flat_map(|seed| [(seed, 3), (seed, 7)]) {
        let mut sim = with_request_latency(300 + seed, 6, nodes);
        let mut clients = Clients::default();
        sim.store.lost_answers = 35;
        for round in 0..4 {
            clients.run(&mut sim, 5_000, 6);
            inject_controller_fault(&mut sim, round + seed as u32);
            clients.run(&mut sim, 8_000, 4);
            (0..nodes).for_each(|node| sim.end_partitions(node));
        }
        sim.store.lost_answers = 0;
        clients.run_to_completion(&mut sim, &format!("seed {seed}, {nodes} nodes"));
        for (kind, count) in &sim.store.unanswered {
            *unanswered_by_kind.entry(kind.clone()).or_insert(0) += count;
        }
    }
    for kind in ["j", "f", "leader", "standbys", "m"] {
        assert!(
            unanswered_by_kind
                .get(kind)
                .is_some_and(|count| *count >= 5),
            "{kind}: {unanswered_by_kind:?}"
        );
    }
}

/// A cancellation, polls and repeated submissions race with the completion of
/// the last task, with no other fault. Guards against a final state that is
/// answered and then replaced by the other one, and against dependents that are
/// cancelled with a job that was done.
#[test]
fn requests_racing_completion_get_one_outcome() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in 0..60 {
        let mut sim = with_request_latency(400 + seed, 4, 3);
        let kind = [Kind::Array, Kind::Gang][seed as usize % 2];
        let spec = job(1, kind, 1 + seed as u32 % 3);
        sim.submit(spec.clone());
        let mut dependent = job(2, Kind::Array, 1);
        dependent.dependencies = vec![id(1)];
        sim.submit(dependent);
        sim.run_until(20_000, "near its end", |sim| {
            sim.running(&id(1)) > 0
                && sim
                    .last_task_end(&id(1))
                    .is_some_and(|end| end < sim.now + 150)
        });
        let until_end = sim.last_task_end(&id(1)).unwrap() - sim.now;
        let cancel_delay = sim.rng.u64(until_end.saturating_sub(60)..until_end + 250);
        let node = sim.rng.usize(..3);
        let cancel_request = sim.request_later(cancel_delay, node, UserRequest::Cancel(id(1)));
        for target in 0..3 {
            for _ in 0..8 {
                let delay = sim.rng.u64(0..until_end + 600);
                sim.request_later(delay, target, UserRequest::Poll(id(1)));
                let delay = sim.rng.u64(0..until_end + 600);
                sim.request_later(delay, target, UserRequest::submit(&spec));
                let delay = sim.rng.u64(0..until_end + 600);
                sim.request_later(delay, target, UserRequest::Poll(id(2)));
            }
        }
        sim.run(3_000);
        sim.run_until(20_000, "final", |sim| sim.done(&id(1)) && sim.done(&id(2)));
        sim.run(1_000);
        let answered_state = match &sim.traffic.history[cancel_request].answer {
            Some((_, Answer::State(200, status))) => status.state,
            other => panic!("seed {seed}: {other:?}"),
        };
        for target in 0..3 {
            assert_eq!(
                sim.poll(target, &id(1)),
                Some(answered_state),
                "seed {seed}"
            );
            // The dependent ends in the same state.
            assert_eq!(
                sim.poll(target, &id(2)),
                Some(answered_state),
                "seed {seed}"
            );
        }
        done += u32::from(answered_state == JobState::Done);
        cancelled += u32::from(answered_state == JobState::Cancelled);
        assert!(
            sim.violations.is_empty(),
            "seed {seed}: {:?}",
            sim.violations
        );
    }
    // Both outcomes occurred, so cancellation and completion raced.
    assert!(
        done > 5 && cancelled > 5,
        "{done} done, {cancelled} cancelled"
    );
}

/// Returns request bodies that must be refused, each with the name of the invalid
/// field and the HTTP status.
fn invalid_bodies(number: u32) -> Vec<(String, Vec<u8>, u16)> {
    let valid = serde_json::to_value(job(number, Kind::Array, 2)).unwrap();
    let mut invalid = Vec::new();
    let mut add = |field: &str, body: &serde_json::Value, status| {
        invalid.push((field.to_owned(), body.to_string().into_bytes(), status));
    };
    let fields: Vec<String> = valid.as_object().unwrap().keys().cloned().collect();
    for field in &fields {
        let mut body = valid.clone();
        body.as_object_mut().unwrap().remove(field);
        add(field, &body, 400);
        for invalid_value in [serde_json::json!(null), serde_json::json!({"a": 1})] {
            body[field] = invalid_value;
            add(field, &body, 400);
        }
        body[field] = match valid[field].is_string() {
            true => serde_json::json!(7),
            false => serde_json::json!("seven"),
        };
        add(field, &body, 400);
    }
    for (field, invalid_value) in [
        ("rigs", serde_json::json!("m8")),
        ("rigs", serde_json::json!([7])),
        ("hall", serde_json::json!(7)),
        ("due_s", serde_json::json!("soon")),
        ("waits_on", serde_json::json!("j-000001")),
    ] {
        let mut body = valid.clone();
        body[field] = invalid_value;
        add(field, &body, 400);
    }
    for (field, invalid_value) in [
        ("owner_crew", serde_json::json!("nobody")),
        ("rigs", serde_json::json!(["m9"])),
        ("rigs", serde_json::json!([])),
        ("hall", serde_json::json!("c")),
        ("cores", serde_json::json!(8.5)),
        ("accelerators", serde_json::json!(1.0)),
        ("memory_gb", serde_json::json!(33.0)),
        ("waits_on", serde_json::json!(["j-999999"])),
    ] {
        let mut body = valid.clone();
        body[field] = invalid_value;
        add(field, &body, 422);
    }
    invalid
}

/// An invalid submission is refused at each node, with and without a leader, in
/// one line that names the field, but is not refused if the job is known. Guards
/// against a 4xx answer for a known job, and against accepting a job that can
/// never run.
#[test]
fn invalid_requests_are_rejected_unless_job_is_known() {
    for has_leader in [true, false] {
        let mut sim = with_request_latency(500, 4, 3);
        sim.submit(job(1, Kind::Array, 1));
        sim.submit(job(2, Kind::Service, 1));
        sim.run_until(20_000, "final", |sim| sim.done(&id(1)));
        sim.run(1_000);
        if !has_leader {
            // No node becomes leader, while the records can be read.
            let leader = sim.leader().unwrap();
            sim.crash(leader, 600_000);
            sim.run_until(9_000, "no leader", |sim| {
                (0..3).filter(|node| *node != leader).for_each(|node| {
                    let until = sim.now + 60_000;
                    sim.nodes[node].election.abstain(until);
                });
                sim.leader().is_none()
            });
        }
        let nodes: Vec<usize> = (0..3).filter(|node| sim.nodes[*node].alive).collect();
        for (field, body, status) in invalid_bodies(7) {
            sim.mark_infeasible(&id(7));
            for &node in &nodes {
                match sim.request_now(node, UserRequest::Malformed(id(7), body.clone())) {
                    Some(Answer::Refused(refused_status, why)) => {
                        assert_eq!(refused_status, status, "{field}: {why}");
                        assert!(
                            why.contains(&field) && !why.contains('\n'),
                            "{field}: {why}"
                        );
                    }
                    other => panic!("{field} at {node}, has leader: {has_leader}: {other:?}"),
                }
            }
        }
        // For known jobs, the same bodies get the state of the job.
        for (number, state) in [(1, JobState::Done), (2, JobState::Queued)] {
            for (field, body, _) in invalid_bodies(number)
                .into_iter()
                .filter(|(name, ..)| name != "ref")
            {
                for &node in &nodes {
                    match sim.request_now(node, UserRequest::Malformed(id(number), body.clone())) {
                        Some(Answer::State(200, job_status)) => {
                            assert_eq!(job_status.state.is_final(), state.is_final(), "{field}");
                        }
                        other => panic!("{field} at {node}, has leader: {has_leader}: {other:?}"),
                    }
                }
            }
        }
        // Cancelling a finished job changes nothing; polling an unknown job gives 404.
        for &node in &nodes {
            let answer = sim.request_now(node, UserRequest::Cancel(id(1)));
            let done = matches!(&answer, Some(Answer::State(200, job_status)) if job_status.state == JobState::Done);
            let refused_for_now = !has_leader && matches!(answer, Some(Answer::Later(_)));
            assert!(
                done || refused_for_now,
                "{answer:?} at {node}, has leader: {has_leader}"
            );
            let polled = sim.request_now(node, UserRequest::Poll(id(8)));
            let unknown = matches!(polled, Some(Answer::Refused(404, _)));
            assert!(unknown, "{polled:?} at {node}, has leader: {has_leader}");
        }
        assert!(!sim.store.kv.contains_key("j/j-000007"));
        sim.assert_no_violations();
        // While the machine types are unknown, no node can answer whether a job fits.
        sim.types_unknown = true;
        for &node in &nodes {
            for number in [9, 2] {
                let spec = job(number, Kind::Array, 1);
                let answer = sim.request_now(node, UserRequest::submit(&spec));
                match number {
                    2 if has_leader => assert!(matches!(answer, Some(Answer::State(200, _)))),
                    9 => assert!(matches!(answer, Some(Answer::Later(_))), "{answer:?}"),
                    _ => {}
                }
            }
        }
        sim.assert_no_violations();
    }
}

/// Four one-task jobs a second for 150 s, a quarter of them cancelled, at the
/// write rate of the smallest supported site. Guards against one record write
/// too many per job, which would report final states later and later.
#[test]
fn one_task_jobs_stay_within_smallest_write_rate() {
    let mut sim = with_request_latency(600, 24, 3);
    sim.limit_write_rate(15.0);
    sim.run_ms = 2_000;
    let mut clients = Clients {
        no_probes: true,
        ..Clients::default()
    };
    let started_at = sim.now;
    let (mut last_submission, mut max_pending) = (started_at, 0);
    while sim.now < started_at + 150_000 {
        if sim.now >= last_submission + 250 {
            last_submission += 250;
            let number = clients.all.len() as u32 + 1;
            clients.add(job(number, Kind::Array, 1), number.is_multiple_of(4));
        }
        clients.advance(&mut sim);
        sim.step();
        // Final states are recorded in time: few finished tasks await their job's
        // final record.
        let pending = sim.finished.len()
            - sim
                .finished
                .iter()
                .filter(|task| sim.done(&task[..8]))
                .count();
        max_pending = max_pending.max(pending);
    }
    let job_count = clients.all.len() as u32;
    let changes_per_job = f64::from(sim.store.changes) / f64::from(job_count);
    clients.run_to_completion(&mut sim, "one-task jobs");
    assert!(job_count >= 595, "{job_count}");
    let cancelled = clients
        .all
        .iter()
        .filter(|client| client.final_state == Some(JobState::Cancelled))
        .count();
    assert!(cancelled > 100, "{cancelled}");
    // A job needs one change to be accepted and two to replace its record by a final
    // record; if a task has to be stopped first, one more marks it cancelled.
    assert!(changes_per_job <= 3.3, "{changes_per_job} changes per job");
    assert!(
        max_pending < 40,
        "{max_pending} finished jobs await their final record"
    );
    assert_eq!(
        (sim.terms, sim.expired_tasks),
        (1, 0),
        "heartbeats or lease renewals were delayed"
    );
}

/// Guards against recording a cancellation mark for a job that has no task on any
/// machine: at 15 changes per second, a burst of cancellations would delay all
/// other writes.
#[test]
fn cancellation_before_start_costs_two_writes() {
    let mut sim = with_request_latency(610, 1, 3);
    sim.run_ms = 600_000;
    for number in 1..=32 {
        sim.submit(job(number, Kind::Array, 1));
    }
    sim.run_until(10_000, "full", |sim| sim.running("j-") == 2);
    sim.run(5_000);
    let changes_before = sim.store.changes;
    let waiting: Vec<u32> = (1..=32)
        .filter(|number| sim.running(&id(*number)) == 0)
        .collect();
    for number in &waiting {
        sim.request_later(0, 0, UserRequest::Cancel(id(*number)));
    }
    sim.run(5_000);
    assert_eq!(
        (waiting.len(), sim.store.changes - changes_before),
        (30, 60)
    );
    for number in &waiting {
        assert_eq!(sim.poll(1, &id(*number)), Some(JobState::Cancelled));
    }
    assert_eq!(sim.started_after_cancellation, 0);
    sim.assert_no_violations();
}

/// The acceptance is applied but its answer is lost, and from then on the user
/// only polls, at a node that reads the record. Guards against a job that is
/// answered as queued but never becomes known to the leader.
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

/// Guards against a final record that is written while tasks may still run: the
/// next leader would not know which job those tasks belong to.
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
    sim.run_until(15_000, "lease expired", |sim| sim.done(&id(1)));
    assert_eq!(sim.running(&id(1)), 0);
    sim.assert_no_violations();
}

/// Polls at all nodes overlap over slow links. Guards against a node that reads
/// an unfinished state before the job ends, and answers it after another node
/// has answered the final state: a user of both nodes would see the job's state
/// go backwards.
#[test]
fn overlapping_polls_never_go_backwards() {
    let mut answered_probes = 0;
    for (seed, nodes) in (0..6).flat_map(|seed| [(seed, 3), (seed, 7)]) {
        let mut sim = with_request_latency(900 + seed, 6, nodes);
        sim.traffic.max_latency_ms = 100;
        let mut clients = Clients::default();
        for round in 0..4 {
            clients.run(&mut sim, 3_000, 6);
            inject_controller_fault(&mut sim, round + seed as u32);
            clients.run(&mut sim, 8_000, 6);
            (0..nodes).for_each(|node| sim.end_partitions(node));
        }
        clients.run_to_completion(&mut sim, &format!("seed {seed}, {nodes} nodes"));
        answered_probes += clients.answered_probes(&sim);
    }
    assert!(answered_probes > 4_000, "{answered_probes}");
}
