//! Answers about a job while the answering node does not know how the job's dependencies
//! ended: one test for each source from which a node takes the job's state. A dependent of a
//! cancelled job must not be answered as queued once the time limit for a cancellation is over.

mod simulation;

use pathwinch::{
    control::requests::Answer,
    protocol::{
        state::{Txn, Write},
        users::{JobSpec, JobState, Kind},
    },
    state::records,
};
use simulation::{CANCEL, Cut, CutScope, Simulation, UserRequest, dependent, id, job};

/// Returns a cluster in which job 1 is cancelled and has its final record, and the leader has
/// just accepted `dependents`, which depend on job 1 directly or indirectly.
fn cancelled_dependency(seed: u64, dependents: Vec<JobSpec>) -> Simulation {
    let mut sim = Simulation::with_leader(seed, 3, 0.0);
    sim.submit(job(1, Kind::Array, 1));
    sim.cancel(&id(1));
    sim.run_until(20_000, "final record", |sim| sim.done(&id(1)));
    for spec in dependents {
        sim.submit(spec);
    }
    sim
}

fn crash_leader(sim: &mut Simulation) {
    let leader = sim.leader().unwrap();
    sim.crash(leader, 3_000);
}

/// Crashes the leader but keeps its key, so that no node is elected.
fn crash_leader_keeping_key(sim: &mut Simulation) {
    let leader = sim.leader().unwrap();
    sim.crash(leader, 3_000);
    let put = Write::Put {
        key: records::LEADER.into(),
        value: serde_json::json!({"n": format!("n{leader}"), "i": 1}),
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![put],
    };
    sim.store.apply(&txn).unwrap();
}

/// Crashes the leader; then either no node leads, or a new leader that can't look up
/// dependencies.
fn crash_leader_or_block_lookups(sim: &mut Simulation, no_leader: bool) {
    if no_leader {
        return crash_leader_keeping_key(sim);
    }
    change_leader_without_lookups(sim);
}

/// Crashes the leader and waits for a new one, which can't look up dependencies; returns the
/// new leader's node.
fn change_leader_without_lookups(sim: &mut Simulation) -> usize {
    crash_leader(sim);
    sim.read_faults.refused_lookups = u32::MAX;
    sim.run_until(30_000, "a leader again", |sim| sim.leader().is_some());
    sim.leader().unwrap()
}

/// Returns the state of the job that each node answers, if any.
fn states(sim: &mut Simulation, job_number: u32) -> Vec<Option<JobState>> {
    (0..3).map(|i| sim.poll(i, &id(job_number))).collect()
}

/// Polls the jobs at all nodes repeatedly, until 1.5 times the time limit for a cancellation
/// has passed.
fn poll_past_cancellation(sim: &mut Simulation, jobs: &[u32]) {
    for _ in 0..15 {
        sim.run(CANCEL / 10);
        for job_number in jobs {
            states(sim, *job_number);
        }
    }
}

/// Guards against answering a job as queued from its own record while no node leads.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_nobody_leads() {
    let mut sim = cancelled_dependency(20, vec![dependent(2, 1, &[1])]);
    crash_leader_keeping_key(&mut sim);
    poll_past_cancellation(&mut sim, &[2]);
    assert!(sim.leader().is_none() && sim.store.kv.contains_key(&records::job_key(&id(2))));
    sim.assert_no_violations();
}

/// Guards against answering a job as queued from its own record while no node leads and the
/// records of its dependencies can't be read.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_only_its_own_record_is_read() {
    let mut sim = cancelled_dependency(21, vec![dependent(2, 1, &[1])]);
    sim.read_faults.refuses_poll_reads = true;
    crash_leader_keeping_key(&mut sim);
    poll_past_cancellation(&mut sim, &[2]);
    assert_eq!(states(&mut sim, 2), [None; 3]);
    sim.assert_no_violations();
}

/// Guards against answering a job as queued from its own record while a new leader loads the
/// records.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_leader_is_loading() {
    let mut sim = cancelled_dependency(22, vec![dependent(2, 1, &[1])]);
    sim.load_ms = 1_000_000;
    crash_leader(&mut sim);
    poll_past_cancellation(&mut sim, &[2]);
    assert!(sim.leader().is_none());
    sim.assert_no_violations();
}

/// Guards against followers that answer from the job's own record while they don't reach the
/// leader, which has not read the dependency.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_leader_is_cut_from_peers() {
    let mut sim = cancelled_dependency(23, vec![dependent(2, 1, &[1])]);
    let leader = change_leader_without_lookups(&mut sim);
    for peer in (0..3).filter(|i| *i != leader) {
        sim.partition(leader, CutScope::Node(peer), Cut::Reset);
    }
    poll_past_cancellation(&mut sim, &[2]);
    sim.assert_no_violations();
}

/// Guards against checking direct dependencies only, at the leader and in the records. The
/// jobs belong to different teams.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_two_jobs_away() {
    for no_leader in [true, false] {
        let mut after = dependent(3, 1, &[2]);
        after.team = "u".into();
        let mut sim = cancelled_dependency(24, vec![dependent(2, 1, &[1]), after]);
        crash_leader_or_block_lookups(&mut sim, no_leader);
        poll_past_cancellation(&mut sim, &[2, 3]);
        assert!(sim.store.kv.contains_key(&records::job_key(&id(3))));
        sim.assert_no_violations();
    }
}

/// Guards against answering a repeated submission with the state in the job's own record.
#[test]
fn repeated_submission_is_not_answered_queued_when_a_dependency_was_cancelled() {
    for no_leader in [true, false] {
        let spec = dependent(2, 1, &[1]);
        let mut sim = cancelled_dependency(25, vec![spec.clone()]);
        crash_leader_or_block_lookups(&mut sim, no_leader);
        let mut answers = 0;
        for _ in 0..15 {
            sim.run(CANCEL / 10);
            for i in 0..3 {
                let answer = sim.request_now(i, UserRequest::submit(&spec));
                answers += u32::from(answer.is_some());
            }
        }
        assert!(answers > 0);
        sim.assert_no_violations();
    }
}

/// Guards against a cancellation that waits for reads of the dependencies, whose states it does
/// not need.
#[test]
fn dependent_is_cancelled_at_once_when_its_dependencies_are_unread() {
    let mut sim = cancelled_dependency(26, vec![dependent(2, 1, &[1])]);
    let leader = change_leader_without_lookups(&mut sim);
    let sent = sim.request_later(0, leader, UserRequest::Cancel(id(2)));
    sim.run(2_500);
    let answer = sim.traffic.history[sent].answer.clone();
    assert!(
        matches!(&answer, Some((_, Answer::State(200, s))) if s.state == JobState::Cancelled),
        "{answer:?}"
    );
    sim.assert_no_violations();
}

/// The answer of a leader to a peer keeps the form of the earlier version, in which a job whose
/// dependencies are unread counts as unknown to the leader. Guards against sending a state.
#[test]
fn leader_gives_peers_no_state_when_dependencies_are_unread() {
    let mut sim = cancelled_dependency(27, vec![dependent(2, 1, &[1])]);
    let leader = change_leader_without_lookups(&mut sim);
    assert_eq!(
        sim.answers_to_peer_polls(leader, &[id(2), id(1)]),
        [None, None]
    );
    sim.assert_no_violations();
}

/// Time within which a job whose dependency is done starts, after the dependency can be read
/// again. Until then, nodes that do not know the dependency's state do not answer polls of the
/// job.
const START_AFTER_READS_MS: u64 = 5_000;

/// Guards against a job that stays unanswered, or does not start, after its dependency's record
/// can be read again.
#[test]
fn dependent_of_done_job_is_answered_and_starts_when_reads_are_possible_again() {
    for (seed, kind) in [(30, Kind::Array), (31, Kind::Gang)] {
        let mut sim = Simulation::with_leader(seed, 4, 0.0);
        sim.submit(job(1, Kind::Array, 1));
        sim.run_until(60_000, "done", |sim| sim.done(&id(1)));
        // Job 9 fills the machines, so that no worker knows the new job when the leader crashes.
        sim.run_ms = 20_000;
        sim.submit(job(9, Kind::Array, 8));
        sim.run_until(20_000, "job 9 runs", |sim| sim.running(&id(9)) == 8);
        let mut spec = dependent(2, 2, &[1]);
        spec.kind = kind;
        sim.submit(spec);
        sim.read_faults.refuses_poll_reads = true;
        change_leader_without_lookups(&mut sim);
        sim.run(60_000);
        assert_eq!(states(&mut sim, 2), [None; 3]);
        assert_eq!(sim.running(&id(2)), 0);
        sim.read_faults.refused_lookups = 0;
        sim.read_faults.refuses_poll_reads = false;
        sim.run_until(START_AFTER_READS_MS, "runs", |sim| sim.running(&id(2)) == 2);
        // The next heartbeats of the machines report the tasks to the leader.
        sim.run(2_000);
        assert_eq!(states(&mut sim, 2), [Some(JobState::Running); 3]);
        sim.assert_no_violations();
    }
}

/// Guards against leaving polls of a running job unanswered because its dependencies can't be
/// read: as the job runs, they must be done.
#[test]
fn running_dependent_is_answered_when_its_dependencies_are_unread() {
    let mut sim = Simulation::with_leader(32, 4, 0.0);
    sim.submit(job(1, Kind::Array, 1));
    sim.run_until(60_000, "done", |sim| sim.done(&id(1)));
    sim.run_ms = 200_000;
    sim.submit(dependent(2, 2, &[1]));
    sim.run_until(20_000, "the job runs", |sim| sim.running(&id(2)) == 2);
    sim.read_faults.refuses_poll_reads = true;
    change_leader_without_lookups(&mut sim);
    sim.run(5_000);
    assert_eq!(states(&mut sim, 2), [Some(JobState::Running); 3]);
    sim.assert_no_violations();
}
