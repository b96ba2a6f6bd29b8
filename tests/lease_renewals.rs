//! Leaders that end soon after they answered a machine, one after the other: each answer renews the
//! machine's lease, and with it the life of the tasks that it lists.

mod leader_fixtures;
mod simulation;

use leader_fixtures::{accept, leader_without_heartbeats, record, report, report_in_term};
use pathwinch::{
    control::leader::{Leader, RenewalBasis},
    protocol::{
        users::{JobState, JobStatus, Kind},
        workers::{Command, ExitReason, Heartbeat, TaskState, TaskStatus},
    },
};
use simulation::{CANCEL, Net, Simulation, UserRequest, id, job};

/// Load time of leaders that end before they have read the records.
const NEVER_LOADED_MS: u64 = 600_000;

/// A cluster whose only machine runs a service. Its user is answered that the service is cancelled
/// while no message reaches the machine, and the leader that recorded it has crashed.
fn cluster_with_cancelled_service(seed: u64, standbys: bool) -> Simulation {
    let mut sim = Simulation::new(seed, 1, 0.0);
    sim.standbys = standbys;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Service, 1));
    sim.run_until(10_000, "running", |sim| sim.running(&id(1)) == 1);
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    sim.workers[0].net = Net::Lose;
    sim.cancel(&id(1));
    sim.crash(leader, 1_000);
    sim.workers[0].net = Net::Up;
    sim
}

/// Returns the term of the highest fencing token that the worker has seen.
fn seen_term(sim: &Simulation, worker: usize) -> u64 {
    sim.workers[worker].token >> 20
}

/// Crashes each new leader once it has answered the worker for the first time; returns the number
/// of these leaders.
fn crash_leaders_after_first_answer(sim: &mut Simulation, worker: usize, ms: u64) -> u32 {
    let end = sim.now + ms;
    let (mut answered_term, mut answers) = (seen_term(sim, worker), 0);
    while sim.now < end {
        sim.step();
        if seen_term(sim, worker) > answered_term {
            answered_term = seen_term(sim, worker);
            answers += 1;
            crash_whoever_leads(sim);
        }
    }
    answers
}

/// Crashes every node that has the authority of a leader, whether it has read the records or not.
fn crash_whoever_leads(sim: &mut Simulation) {
    for node in 0..sim.nodes.len() {
        if sim.nodes[node].alive && sim.nodes[node].election.authority(sim.now).is_some() {
            sim.crash(node, 1_000);
        }
    }
}

/// Guards against `ran_cancelled`: each new leader's first answer to a machine renews its lease
/// without stopping a task that the leader knows to be cancelled.
#[test]
fn first_answer_of_each_leader_stops_cancelled_task() {
    for (seed, standbys) in [(1, false), (2, true)] {
        let mut sim = cluster_with_cancelled_service(seed, standbys);
        let leaders = crash_leaders_after_first_answer(&mut sim, 0, CANCEL + 10_000);
        assert!(leaders >= 5, "{leaders} leaders");
        sim.assert_no_violations();
    }
}

/// Guards against `ran_cancelled`: leaders that end before they have read the records renew a
/// machine's lease one after the other, each for a bounded time only.
#[test]
fn leaders_without_records_do_not_renew_lease_in_turn() {
    let mut sim = cluster_with_cancelled_service(3, false);
    sim.load_ms = NEVER_LOADED_MS;
    crash_leaders_after_first_answer(&mut sim, 0, CANCEL + 10_000);
    sim.assert_no_violations();
}

/// Attempt number of every task in the heartbeats below: a start by an earlier leader.
const ATTEMPT: u64 = 7;
/// Number of commands that one response can hold.
const MAX_COMMANDS: u32 = 300;

fn listed(job: u32, task: u32, state: TaskState) -> TaskStatus {
    TaskStatus {
        task: format!("{}/{task}", id(job)),
        attempt: ATTEMPT,
        state,
        exit_reason: (state == TaskState::Exited).then_some(ExitReason::Error),
        checkpointed: false,
    }
}

/// Returns the names of the tasks that the response to the heartbeat stops without grace.
fn stopped_by_response(leader: &mut Leader, report: &Heartbeat) -> Vec<String> {
    let response = leader.on_heartbeat(report, 1_000).expect("an answer");
    let stops = response.commands.into_iter().filter_map(|command| {
        let stop = matches!(&command, Command::Stop { attempt, grace_s, .. }
            if *attempt == ATTEMPT && *grace_s == 0.0);
        match command {
            Command::Stop { task, .. } if stop => Some(task),
            _ => None,
        }
    });
    stops.collect()
}

/// The leader of term 2 with a machine, a service that is recorded as cancelled (1), and another
/// one that is not (2).
fn leader_with_cancelled_service() -> Leader {
    let mut leader = leader_without_heartbeats(2, 1);
    let mut cancelled = record(1, "standing", "normal", 1, 1.0);
    cancelled.cancelled = true;
    leader.load_job(cancelled, 1, 0);
    leader.load_job(record(2, "standing", "normal", 1, 1.0), 1, 0);
    leader.finish_loading(100);
    leader
}

/// Guards against `ran_cancelled` on every path that answers without a confirmed machine, and
/// against stops of tasks whose jobs go on.
#[test]
fn response_to_unconfirmed_machine_stops_tasks_of_ended_jobs_alone() {
    let mut first = report_in_term(1, 0, 5);
    let mut restarted = report_in_term(2, 0, 3);
    let tasks: Vec<TaskStatus> = (1..=3)
        .map(|job| listed(job, 0, TaskState::Running))
        .collect();
    (first.tasks, restarted.tasks) = (tasks.clone(), tasks);
    let ended = [format!("{}/0", id(1)), format!("{}/0", id(3))];
    let mut leader = leader_with_cancelled_service();
    assert_eq!(stopped_by_response(&mut leader, &first), ended, "first");
    // An agent that counts from one again, as far as the leader can tell.
    let mut leader = leader_with_cancelled_service();
    leader.on_heartbeat(&report_in_term(2, 0, 9), 150).unwrap();
    assert!(leader.on_heartbeat(&report_in_term(2, 0, 2), 900).is_none());
    assert_eq!(stopped_by_response(&mut leader, &restarted), ended, "older");
}

/// Guards against a lease that is renewed without a stop while the write that cancels the job is in
/// flight, has no answer, or was just applied: another controller may have told the user.
#[test]
fn response_to_confirmed_machine_stops_task_at_any_stage_of_cancellation() {
    type Stage = (&'static str, usize, fn(&mut Leader));
    let stages: [Stage; 5] = [
        ("not cancelled", 0, |_| {}),
        ("being written", 1, |leader| {
            leader.cancel(&id(1));
            leader.plan_writes(10).unwrap();
        }),
        ("without an answer", 1, |leader| {
            leader.cancel(&id(1));
            let plan = leader.plan_writes(10).unwrap();
            leader.on_outcome_unknown(&plan);
        }),
        ("written, before the next tick", 1, |leader| {
            leader.cancel(&id(1));
            let plan = leader.plan_writes(10).unwrap();
            leader.writes_applied(&plan, 9, 350);
        }),
        ("read from its record", 1, |leader| {
            let status = JobStatus {
                id: id(1),
                state: JobState::Cancelled,
                done: 0,
                running: 0,
            };
            leader.remember_final_state(&status, 350);
        }),
    ];
    for (stage, stops, reach) in stages {
        let mut leader = leader_without_heartbeats(1, 1);
        leader.load_job(record(1, "standing", "normal", 1, 1.0), 1, 0);
        leader.finish_loading(100);
        let mut running = report(0, 1);
        running.tasks = vec![listed(1, 0, TaskState::Running)];
        leader.on_heartbeat(&running, 150).unwrap();
        leader.tick(300, 300);
        reach(&mut leader);
        running.seq = 2;
        let stopped = stopped_by_response(&mut leader, &running);
        assert_eq!(stopped.len(), stops, "{stage}");
    }
}

/// Guards against a lease that is renewed without a stop because other commands fill the response.
#[test]
fn stop_of_cancelled_task_goes_before_other_commands() {
    let mut leader = leader_without_heartbeats(1, 1);
    leader.finish_loading(100);
    leader.on_heartbeat(&report(0, 1), 150).unwrap();
    accept(&mut leader, 2, "array", MAX_COMMANDS + 1);
    let mut full = report(0, 2);
    let ended = (0..=MAX_COMMANDS).map(|task| listed(2, task, TaskState::Exited));
    full.tasks = ended.collect();
    full.tasks.push(listed(1, 0, TaskState::Running));
    let stopped = stopped_by_response(&mut leader, &full);
    assert_eq!(stopped, [format!("{}/0", id(1))]);
}

/// Guards against renewals by one leader without records after the other, and against leases that end
/// while records are read although nobody renewed them so.
#[test]
fn leader_without_records_answers_unless_another_one_did_so_last() {
    let first_token = |term: u64| term << 20;
    let later_token = |term: u64| (term << 20) + 1;
    let live = vec![listed(1, 0, TaskState::Running)];
    let ended = vec![listed(1, 0, TaskState::Exited)];
    let cases = [
        (later_token(1), &live, true),
        (first_token(1), &live, false),
        (first_token(1), &ended, true),
        (first_token(1), &Vec::new(), true),
        (first_token(2), &live, true),
    ];
    for (token, tasks, is_answered) in cases {
        let mut leader = leader_without_heartbeats(2, 1);
        let mut heartbeat = report(0, 1);
        (heartbeat.acknowledged_token, heartbeat.tasks) = (token, tasks.clone());
        let response = leader.on_heartbeat(&heartbeat, 50);
        assert_eq!(response.is_some(), is_answered, "{token}, {tasks:?}");
        if let Some(response) = response {
            assert_eq!(response.fencing_token, first_token(2));
            assert_eq!(response.commands, []);
        }
        leader.finish_loading(100);
        heartbeat.seq = 2;
        let response = leader.on_heartbeat(&heartbeat, 150).unwrap();
        assert_eq!(response.fencing_token, later_token(2));
    }
}

/// Guards against metrics that don't show a lease which is renewed for a task of an ended job.
#[test]
fn renewals_and_listed_tasks_of_ended_jobs_are_counted() {
    let mut leader = leader_without_heartbeats(2, 1);
    leader.on_heartbeat(&report_in_term(1, 0, 1), 50).unwrap();
    leader.finish_loading(100);
    let mut listing = report_in_term(1, 0, 2);
    listing.tasks = vec![listed(1, 0, TaskState::Running)];
    leader.on_heartbeat(&listing, 1_000).unwrap();
    assert_eq!(leader.ended_tasks_listed_ms(2_000), 1_000);
    (listing.seq, listing.acknowledged_token) = (3, 2 << 20);
    leader.on_heartbeat(&listing, 3_000).unwrap();
    assert_eq!(leader.ended_tasks_listed_ms(3_500), 2_500);
    let renewals = leader.take_metric_counts().lease_renewals;
    let expected = [
        (RenewalBasis::RecordsUnread, 1),
        (RenewalBasis::Unconfirmed, 1),
        (RenewalBasis::Confirmed, 1),
    ];
    assert_eq!(renewals, expected.into());
    leader
        .on_heartbeat(&report_in_term(2, 0, 4), 4_000)
        .unwrap();
    assert_eq!(leader.ended_tasks_listed_ms(4_500), 0);
}

/// Number of jobs of a random run, of which one after the other is cancelled.
const JOBS: u32 = 4;
/// Longest time for which a leader lasts in a random run if it answers no machine.
const MAX_TERM_MS: u64 = 15_000;

/// A cluster of 3 or 7 controllers whose machines are filled by jobs that end only if cancelled,
/// with heartbeats that arrive again, late.
fn cluster_with_long_jobs(seed: u64) -> Simulation {
    let nodes = [3, 7][(seed % 2) as usize];
    let mut sim = Simulation::with_nodes(20_000 + seed, 3, 0.0, nodes);
    sim.standbys = (seed / 2).is_multiple_of(2);
    (sim.run_ms, sim.traffic.max_latency_ms, sim.write_latency_ms) = (900_000, 30, 150);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    for number in 1..=JOBS {
        let kind = [Kind::Service, Kind::Array][number as usize % 2];
        sim.submit(job(number, kind, 1 + number % 2));
    }
    sim.run_until(20_000, "machines filled", |sim| sim.running("j-") == 6);
    (sim.duplicate_percent, sim.keep_for_next_leader) = (20, true);
    sim
}

/// A user cancels the job, and repeats it at random nodes until it is confirmed, while a fault
/// keeps commands from the machines. Leaders end at any moment meanwhile. Returns a machine that
/// still runs a task of the job.
fn cancel_unheard(sim: &mut Simulation, job: &str) -> Option<usize> {
    let fault = draw(sim, &[Net::Lose, Net::Lose, Net::SendOnly, Net::Hold]);
    let machines = 0..sim.workers.len();
    machines
        .clone()
        .for_each(|machine| sim.workers[machine].net = fault);
    let leader_lasts_ms = sim.rng.u64(0..1_500);
    let confirmed = |sim: &Simulation| sim.answered.contains_key(&format!("{job}!"));
    for _ in 0..10 {
        let node = sim.rng.usize(..sim.nodes.len());
        sim.request_later(0, node, UserRequest::Cancel(job.to_owned()));
        sim.run(350);
        if confirmed(sim) {
            break;
        }
    }
    sim.run(leader_lasts_ms);
    crash_whoever_leads(sim);
    machines
        .clone()
        .for_each(|machine| sim.restore_network(machine));
    let runs_job = |machine: &usize| {
        let mut tasks = sim.workers[*machine].tasks.iter();
        tasks.any(|task| task.state == TaskState::Running && task.name.starts_with(job))
    };
    machines
        .clone()
        .find(|machine| confirmed(sim) && runs_job(machine))
}

/// Times that leaders take to read the records, of which one set is drawn for each cancelled job.
const LOAD_TIMES_MS: [&[u64]; 4] = [
    &[0],
    &[0, 400, 2_500],
    &[NEVER_LOADED_MS],
    &[0, 2_500, NEVER_LOADED_MS],
];

fn draw<T: Copy>(sim: &mut Simulation, choices: &[T]) -> T {
    choices[sim.rng.usize(..choices.len())]
}

/// Changes how a machine is reached, and how long the next leader takes to read the records.
fn change_links_and_load_time(sim: &mut Simulation, machine: usize, load_times_ms: &[u64]) {
    sim.load_ms = draw(sim, load_times_ms);
    sim.slow_links.clear();
    match sim.rng.u8(..6) {
        0 => sim.workers[machine].net = Net::DirectCommandsOnly,
        1 => sim.workers[machine].net = Net::Lose,
        2 => {
            let latency_ms = sim.rng.u64(100..900);
            sim.slow_links.insert(machine, latency_ms);
        }
        _ => sim.restore_network(machine),
    }
}

/// Ends each leader once it has answered the machine, mostly at once, or after a while if it does
/// not answer. Returns how many answered.
fn end_leaders_after_answers(sim: &mut Simulation, machine: usize, ms: u64) -> u32 {
    let end = sim.now + ms;
    let load_times_ms = draw(sim, &LOAD_TIMES_MS);
    sim.load_ms = draw(sim, load_times_ms);
    let (mut answered_term, mut answers) = (seen_term(sim, machine), 0);
    let mut crash_at = sim.now + MAX_TERM_MS;
    let mut restore_at = sim.now;
    while sim.now < end {
        sim.step();
        if sim.now >= restore_at {
            sim.restore_network(machine);
        }
        if seen_term(sim, machine) > answered_term {
            answered_term = seen_term(sim, machine);
            answers += 1;
            let later_ms = sim.rng.u64(0..1_500);
            let delay_ms = draw(sim, &[0, 0, 0, later_ms]);
            crash_at = sim.now + delay_ms;
        }
        if sim.now >= crash_at {
            crash_whoever_leads(sim);
            change_links_and_load_time(sim, machine, load_times_ms);
            restore_at = sim.now + sim.rng.u64(0..5_000);
            crash_at = sim.now + MAX_TERM_MS;
        }
    }
    answers
}

/// Guards against `ran_cancelled` where leaders end at any moment after they answered a machine, one
/// after the other, for longer than `cancel_s`. `SEEDS` and `FIRST` choose the runs.
#[test]
fn random_leaders_that_end_after_answers_leave_no_cancelled_task() {
    let from_environment = |name: &str, default: u64| -> u64 {
        std::env::var(name).map_or(default, |text| text.parse().unwrap())
    };
    let (first, seeds) = (from_environment("FIRST", 0), from_environment("SEEDS", 60));
    let (mut answers, mut unheard) = (0, 0);
    for seed in first..first + seeds {
        let mut sim = cluster_with_long_jobs(seed);
        for number in 1..=JOBS {
            if let Some(machine) = cancel_unheard(&mut sim, &id(number)) {
                unheard += 1;
                answers += end_leaders_after_answers(&mut sim, machine, CANCEL + 5_000);
            }
            sim.load_ms = 0;
            crash_whoever_leads(&mut sim);
            (0..sim.workers.len()).for_each(|machine| sim.restore_network(machine));
            sim.run_until(30_000, "a leader", |sim| sim.leader().is_some());
            sim.run(3_000);
        }
        let first_violation = sim.violations.first();
        assert!(
            first_violation.is_none(),
            "seed {seed}: {first_violation:?}"
        );
    }
    eprintln!(
        "{seeds} runs, {unheard} cancellations unheard, {answers} leaders ended after an answer"
    );
    assert!(unheard > seeds && u64::from(answers) > 4 * unheard);
}
