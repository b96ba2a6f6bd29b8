//! What users are answered about a job while it is not known how the jobs that it
//! depends on ended: on each way on which a node gives a job's state.

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

/// Job 1 was cancelled and its final record stands. The leader accepted these jobs,
/// which depend on it, directly or through others, and ended at once.
fn cancelled_dependency(seed: u64, dependents: Vec<JobSpec>) -> Simulation {
    let mut w = Simulation::with_leader(seed, 3, 0.0);
    w.submit(job(1, Kind::Array, 1));
    w.cancel(&id(1));
    w.run_until(20_000, "final record", |w| w.done(&id(1)));
    for spec in dependents {
        w.submit(spec);
    }
    w
}

fn end_leader(w: &mut Simulation) {
    let leader = w.leader().unwrap();
    w.crash(leader, 3_000);
}

/// The leader ends, its key stays, and nobody leads.
fn end_leader_for_good(w: &mut Simulation) {
    let leader = w.leader().unwrap();
    w.crash(leader, 3_000);
    let put = Write::Put {
        key: records::LEADER.into(),
        value: serde_json::json!({"n": format!("n{leader}"), "i": 1}),
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![put],
    };
    w.store.apply(&txn).unwrap();
}

/// Nobody leads, or a new leader that can't look up dependencies.
fn end_leader_or_change(w: &mut Simulation, nobody_leads: bool) {
    if nobody_leads {
        return end_leader_for_good(w);
    }
    change_leader_without_lookups(w);
}

/// A new leader that can't look up dependencies; returns which node it is.
fn change_leader_without_lookups(w: &mut Simulation) -> usize {
    end_leader(w);
    w.read_faults.refused_lookups = u32::MAX;
    w.run_until(30_000, "a leader again", |w| w.leader().is_some());
    w.leader().unwrap()
}

/// The state in which each node calls the job, if it gives one.
fn states(w: &mut Simulation, n: u32) -> Vec<Option<JobState>> {
    (0..3).map(|i| w.poll(i, &id(n))).collect()
}

/// Asks at all nodes, again and again until the time for a cancellation has long
/// passed.
fn poll_past_cancellation(w: &mut Simulation, jobs: &[u32]) {
    for _ in 0..15 {
        w.run(CANCEL / 10);
        for n in jobs {
            states(w, *n);
        }
    }
}

/// Guards against a job that is called queued by its own record while nobody leads.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_nobody_leads() {
    let mut w = cancelled_dependency(20, vec![dependent(2, 1, &[1])]);
    end_leader_for_good(&mut w);
    poll_past_cancellation(&mut w, &[2]);
    assert!(w.leader().is_none() && w.store.kv.contains_key(&records::job_key(&id(2))));
    w.assert_no_violations();
}

/// The same where the records of its dependencies can't be read.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_only_its_own_record_is_read() {
    let mut w = cancelled_dependency(21, vec![dependent(2, 1, &[1])]);
    w.read_faults.refuses_poll_reads = true;
    end_leader_for_good(&mut w);
    poll_past_cancellation(&mut w, &[2]);
    assert_eq!(states(&mut w, 2), [None; 3]);
    w.assert_no_violations();
}

/// Guards against a job that is called queued by its own record while a new leader
/// reads the records.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_leader_is_loading() {
    let mut w = cancelled_dependency(22, vec![dependent(2, 1, &[1])]);
    w.load_ms = 1_000_000;
    end_leader(&mut w);
    poll_past_cancellation(&mut w, &[2]);
    assert!(w.leader().is_none());
    w.assert_no_violations();
}

/// Guards against followers that answer by the record where the leader, which they
/// don't reach, has not read the dependency.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_leader_is_cut_from_peers() {
    let mut w = cancelled_dependency(23, vec![dependent(2, 1, &[1])]);
    let leader = change_leader_without_lookups(&mut w);
    for peer in (0..3).filter(|i| *i != leader) {
        w.partition(leader, CutScope::Node(peer), Cut::Reset);
    }
    poll_past_cancellation(&mut w, &[2]);
    w.assert_no_violations();
}

/// Guards against looking at direct dependencies only, at the leader and in the
/// records. The jobs are of different teams.
#[test]
fn dependent_of_cancelled_job_is_not_called_queued_when_two_jobs_away() {
    for nobody_leads in [true, false] {
        let mut after = dependent(3, 1, &[2]);
        after.team = "u".into();
        let mut w = cancelled_dependency(24, vec![dependent(2, 1, &[1]), after]);
        end_leader_or_change(&mut w, nobody_leads);
        poll_past_cancellation(&mut w, &[2, 3]);
        assert!(w.store.kv.contains_key(&records::job_key(&id(3))));
        w.assert_no_violations();
    }
}

/// Guards against a repeated submission that is answered with the state in the job's
/// own record.
#[test]
fn repeated_submission_is_not_answered_queued_when_a_dependency_was_cancelled() {
    for nobody_leads in [true, false] {
        let spec = dependent(2, 1, &[1]);
        let mut w = cancelled_dependency(25, vec![spec.clone()]);
        end_leader_or_change(&mut w, nobody_leads);
        let mut answers = 0;
        for _ in 0..15 {
            w.run(CANCEL / 10);
            for i in 0..3 {
                let answer = w.request_now(i, UserRequest::submit(&spec));
                answers += u32::from(answer.is_some());
            }
        }
        assert!(answers > 0);
        w.assert_no_violations();
    }
}

/// A cancellation needs no word on the dependencies. Guards against one that waits
/// for them to be read.
#[test]
fn dependent_is_cancelled_at_once_when_its_dependencies_are_unread() {
    let mut w = cancelled_dependency(26, vec![dependent(2, 1, &[1])]);
    let leader = change_leader_without_lookups(&mut w);
    let sent = w.request_later(0, leader, UserRequest::Cancel(id(2)));
    w.run(2_500);
    let answer = w.traffic.history[sent].answer.clone();
    assert!(
        matches!(&answer, Some((_, Answer::State(200, s))) if s.state == JobState::Cancelled),
        "{answer:?}"
    );
    w.assert_no_violations();
}

/// What a leader tells a peer of an earlier version has the form that it had: such a
/// job is one that the leader has no word on.
#[test]
fn leader_gives_peers_no_state_when_dependencies_are_unread() {
    let mut w = cancelled_dependency(27, vec![dependent(2, 1, &[1])]);
    let leader = change_leader_without_lookups(&mut w);
    assert_eq!(w.told_to_peers(leader, &[id(2), id(1)]), [None, None]);
    w.assert_no_violations();
}

/// The dependency was done. While it can't be read the job is answered by nobody who
/// does not know that; once it can be, the job is answered and starts within this time.
const START_AFTER_READS_MS: u64 = 5_000;

/// Guards against a job that stays unanswered, or does not start, once the records can
/// be read again.
#[test]
fn dependent_of_done_job_is_answered_and_starts_when_reads_are_possible_again() {
    for (seed, kind) in [(30, Kind::Array), (31, Kind::Gang)] {
        let mut w = Simulation::with_leader(seed, 4, 0.0);
        w.submit(job(1, Kind::Array, 1));
        w.run_until(60_000, "done", |w| w.done(&id(1)));
        // Room is taken, so that the job is known to no worker as the leader ends.
        w.run_ms = 20_000;
        w.submit(job(9, Kind::Array, 8));
        w.run_until(20_000, "no room", |w| w.running(&id(9)) == 8);
        let mut spec = dependent(2, 2, &[1]);
        spec.kind = kind;
        w.submit(spec);
        w.read_faults.refuses_poll_reads = true;
        change_leader_without_lookups(&mut w);
        w.run(60_000);
        assert_eq!(states(&mut w, 2), [None; 3]);
        assert_eq!(w.running(&id(2)), 0);
        w.read_faults.refused_lookups = 0;
        w.read_faults.refuses_poll_reads = false;
        w.run_until(START_AFTER_READS_MS, "it runs", |w| w.running(&id(2)) == 2);
        // Its machines' next heartbeats tell the leader.
        w.run(2_000);
        assert_eq!(states(&mut w, 2), [Some(JobState::Running); 3]);
        w.assert_no_violations();
    }
}

/// Guards against a job that is not answered, though it runs and so its dependencies
/// are done, as those can't be read.
#[test]
fn running_dependent_is_answered_when_its_dependencies_are_unread() {
    let mut w = Simulation::with_leader(32, 4, 0.0);
    w.submit(job(1, Kind::Array, 1));
    w.run_until(60_000, "done", |w| w.done(&id(1)));
    w.run_ms = 200_000;
    w.submit(dependent(2, 2, &[1]));
    w.run_until(20_000, "it runs", |w| w.running(&id(2)) == 2);
    w.read_faults.refuses_poll_reads = true;
    change_leader_without_lookups(&mut w);
    w.run(5_000);
    assert_eq!(states(&mut w, 2), [Some(JobState::Running); 3]);
    w.assert_no_violations();
}
