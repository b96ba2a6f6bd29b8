//! Starts of tasks whose job ends: from the moment at which a write that ends the job may be
//! read by another controller, no start may leave the leader, in responses to heartbeats or in
//! direct commands.

mod leader_fixtures;
mod simulation;

use leader_fixtures::{accept, leader_without_heartbeats, machine, report};
use pathwinch::{
    control::leader::{DirectDelivery, Leader, WritePlan},
    protocol::{
        users::{JobState, JobStatus, Kind},
        workers::Command,
    },
    state::{
        Millis,
        offload::{OffloadState, OffloadTarget},
    },
};
use simulation::{CANCEL, Simulation, UserRequest, id, job};

const JOB: &str = "j-000001";
/// Longest time from a write without an answer until the leader handles its jobs as ended.
const WRITE_TIMEOUT_MS: Millis = 1_500;

/// A leader with one machine that runs nothing.
fn leader_with_machine() -> Leader {
    let mut leader = leader_without_heartbeats(1, 1);
    leader.finish_loading(100);
    assert!(leader.on_heartbeat(&report(0, 1), 150).is_some());
    leader
}

/// The same, with a job of one task that is placed and not started yet.
fn leader_with_placed_task() -> Leader {
    let mut leader = leader_with_machine();
    accept(&mut leader, 1, "array", 1);
    leader.tick(300, 300);
    let handle = leader.cluster.job_handle(JOB).unwrap();
    assert_eq!(leader.cluster.job(handle).unwrap().live_count, 1);
    leader
}

fn plan_cancellation(leader: &mut Leader) -> WritePlan {
    leader.cancel(JOB);
    leader.plan_writes(10).expect("the cancellation is written")
}

fn starts(commands: &[Command]) -> usize {
    let is_start = |command: &&Command| matches!(command, Command::Start { .. });
    commands.iter().filter(is_start).count()
}

fn direct_starts(deliveries: &[DirectDelivery]) -> usize {
    deliveries
        .iter()
        .map(|d| starts(&d.commands.commands))
        .sum()
}

/// Number of starts that leave the leader in either way.
fn starts_sent(leader: &mut Leader, seq: u64) -> usize {
    let direct = direct_starts(&leader.direct_deliveries(400));
    let response = leader.on_heartbeat(&report(0, seq), 450).unwrap();
    direct + starts(&response.commands)
}

type Scenario = (&'static str, fn(&mut Leader));

/// Every stage of a write that cancels the job.
const STAGES: [Scenario; 6] = [
    ("requested", |leader| leader.cancel(JOB)),
    ("being written", |leader| {
        plan_cancellation(leader);
    }),
    ("without an answer", |leader| {
        let plan = plan_cancellation(leader);
        leader.on_outcome_unknown(&plan);
    }),
    ("refused", |leader| {
        let plan = plan_cancellation(leader);
        leader.finish_reconciliation(&plan);
    }),
    ("written, before the next tick", |leader| {
        let plan = plan_cancellation(leader);
        leader.writes_applied(&plan, 9, 350);
    }),
    ("read from its record", |leader| {
        let status = JobStatus {
            id: JOB.into(),
            state: JobState::Cancelled,
            done: 0,
            running: 0,
        };
        leader.remember_final_state(&status, 350);
    }),
];

/// Guards against `ran_cancelled`: the leader starts a task while the write that cancels the
/// task's job is in flight, has no answer, or was just applied.
#[test]
fn no_start_is_sent_at_any_stage_of_a_cancellation() {
    assert_eq!(starts_sent(&mut leader_with_placed_task(), 2), 1);
    for (stage, reach) in STAGES {
        let mut leader = leader_with_placed_task();
        reach(&mut leader);
        assert_eq!(starts_sent(&mut leader, 2), 0, "{stage}");
        // The place is given up, as the task is not to be started there any more.
        leader.on_heartbeat(&report(0, 3), 500);
        let handle = leader.cluster.job_handle(JOB).unwrap();
        assert_eq!(leader.cluster.job(handle).unwrap().live_count, 0, "{stage}");
        leader.tick(2_600, 2_600);
        assert_eq!(starts_sent(&mut leader, 4), 0, "{stage}, placed again");
    }
}

/// Guards against `ran_cancelled`: a direct command leaves only once its connection stands, and
/// its job was cancelled meanwhile.
#[test]
fn direct_start_is_not_sent_when_its_job_is_cancelled_while_connecting() {
    for (stage, reach) in STAGES {
        let mut leader = leader_with_placed_task();
        let deliveries = leader.direct_deliveries(400);
        assert_eq!(direct_starts(&deliveries), 1);
        assert!(leader.may_still_send(&deliveries[0]), "{stage}");
        reach(&mut leader);
        assert!(!leader.may_still_send(&deliveries[0]), "{stage}");
    }
}

/// Guards against a start of a task that is done: its completion arrives from another machine
/// after the task was placed again.
#[test]
fn no_start_is_sent_for_a_task_that_is_done_elsewhere() {
    let mut leader = leader_with_placed_task();
    let mut done = report(1, 1);
    done.machine = machine(1);
    done.tasks = serde_json::from_value(serde_json::json!([
        {"piece": format!("{JOB}/0"), "try": 1, "stage": "ended", "exit_cause": "done"}
    ]))
    .unwrap();
    leader.on_heartbeat(&done, 350).unwrap();
    assert_eq!(starts_sent(&mut leader, 2), 0);
}

/// Guards against a job that runs in two clusters: no start is sent while the job's record may say
/// that it is offloaded.
#[test]
fn no_start_is_sent_for_a_job_that_may_be_offloaded() {
    let mut leader = leader_with_placed_task();
    let handle = leader.cluster.job_handle(JOB).unwrap();
    leader.cluster.job_mut(handle).unwrap().offload = OffloadState::Offloaded(OffloadTarget {
        award: 1,
        market: "m".into(),
    });
    assert_eq!(starts_sent(&mut leader, 2), 0);
}

/// A machine whose direct command is held up, so that the next task placed there waits for the
/// response to the machine's next heartbeat.
fn cluster_with_held_command(seed: u64, offset: Millis) -> Simulation {
    let mut sim = Simulation::with_leader(seed, 1, 0.0);
    sim.run_ms = 20_000;
    sim.run(3_000 + offset);
    sim.direct_command_delay.insert(0, 3_000);
    sim.submit(job(2, Kind::Array, 1));
    sim.run(100);
    sim
}

/// Guards against `ran_cancelled`: the answer to the write of a cancellation is lost, another
/// controller reads the record and tells the user, and the leader, which does not know the
/// outcome yet, starts a task of the job.
#[test]
fn no_start_is_sent_when_another_node_has_read_the_cancellation() {
    let mut answered_elsewhere = 0;
    for offset in (0..1_000).step_by(50) {
        let mut sim = cluster_with_held_command(1 + offset, offset);
        let leader = sim.leader().unwrap();
        sim.submit(job(1, Kind::Array, 1));
        sim.run(100);
        sim.store.lost_answers = 100;
        sim.request_later(0, leader, UserRequest::Cancel(id(1)));
        let cancelled_at = sim.now;
        while sim.now < cancelled_at + WRITE_TIMEOUT_MS {
            sim.request_later(0, (leader + 1) % 3, UserRequest::Poll(id(1)));
            sim.run(100);
        }
        sim.store.lost_answers = 0;
        let answer = sim.answered.get(&format!("{}!", id(1)));
        answered_elsewhere += u32::from(answer.is_some());
        sim.run(CANCEL + 5_000);
        assert_eq!(sim.running(&id(1)), 0);
        sim.assert_no_violations();
    }
    assert_eq!(answered_elsewhere, 20);
}

/// Guards against `ran_cancelled`: connecting to the machine takes longer than another controller
/// needs to tell the user, and the direct command then leaves the leader.
#[test]
fn no_direct_start_is_sent_when_connecting_outlasts_the_cancellation() {
    for seed in 0..10 {
        let mut sim = Simulation::with_leader(40 + seed, 1, 0.0);
        sim.run(3_000);
        let leader = sim.leader().unwrap();
        sim.connect_delay.insert(0, 1_400);
        sim.submit(job(1, Kind::Array, 1));
        sim.run(50 + 10 * seed);
        sim.store.lost_answers = 100;
        sim.request_later(0, leader, UserRequest::Cancel(id(1)));
        for _ in 0..15 {
            sim.request_later(0, (leader + 1) % 3, UserRequest::Poll(id(1)));
            sim.run(100);
        }
        sim.store.lost_answers = 0;
        sim.run(CANCEL);
        assert_eq!(sim.starts, 0, "seed {seed}");
        sim.assert_no_violations();
    }
}
