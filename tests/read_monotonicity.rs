//! Read monotonicity: regression tests for each fault that made a job's reported
//! state go backwards.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind};
use simulation::{Cut, CutScope, Simulation, UserRequest, job};

const ID: &str = "j-000001";

/// Transfers leadership until `node` leads.
fn make_leader(sim: &mut Simulation, node: usize) {
    for _ in 0..20 {
        match sim.leader() {
            Some(leader) if leader == node => return,
            Some(leader) => sim.transfer_leadership(leader),
            None => {}
        }
        sim.run_until(5_000, "a leader", |sim| sim.leader().is_some());
    }
    panic!("node {node} never led");
}

/// Checks for 100 steps that every answer at every node is that the job is done,
/// and that its task does not start again.
fn assert_stays_done(sim: &mut Simulation, seed: u64) {
    for _ in 0..100 {
        for node in 0..3 {
            let answer = sim.poll(node, ID);
            let is_done = answer.is_none_or(|state| state == JobState::Done);
            assert!(
                is_done,
                "{seed}: {answer:?} at {node}: {:?}",
                sim.violations
            );
        }
        sim.step();
    }
    assert_eq!(sim.starts, 1, "{seed}: the job's task started again");
    assert!(sim.violations.is_empty(), "{seed}: {:?}", sim.violations);
}

/// Waits for the slow answer to `request` at a node that has become leader
/// meanwhile, and checks that the job stays done. Returns whether the answer was
/// still open. No other request about the job is sent before it arrives.
fn check_late_answer(sim: &mut Simulation, seed: u64, request: usize) -> bool {
    let is_answered = move |sim: &mut Simulation| sim.traffic.history[request].answer.is_some();
    if is_answered(sim) {
        return false;
    }
    sim.run_until(6_000, "the slow answer", is_answered);
    assert_stays_done(sim, seed);
    true
}

/// A leader reads the record of a job that another node has just accepted, and the
/// answer is slow. Before it arrives, the job finishes under the next leader and
/// the first node leads again. Guards against a record that is read in one term and
/// loaded in a later one: the job would be reported as queued from the leader's
/// cluster state, and its tasks would start again.
#[test]
fn record_read_in_earlier_term_is_discarded() {
    let mut slow_answers = 0;
    for seed in 0..12 {
        let mut sim = Simulation::with_nodes(seed, 4, 0.0, 3);
        (sim.run_ms, sim.fetch_ms, sim.traffic.max_latency_ms) = (300, 50, 1);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(12_000);
        let first_leader = sim.leader().expect("a leader");
        let other = (first_leader + 1) % 3;
        // The other node can't reach the leader, which therefore learns of the job late.
        sim.partition(first_leader, CutScope::State, Cut::Reset);
        sim.partition(other, CutScope::Node(first_leader), Cut::Reset);
        let spec = job(1, Kind::Array, 1);
        sim.specs.insert(ID.into(), spec.clone());
        sim.request_later(0, other, UserRequest::submit(&spec));
        sim.step();
        sim.end_partitions(first_leader);
        sim.end_partitions(other);
        sim.traffic.read_delay_ms = 4_000;
        let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
        let request = sim.request_later(
            0,
            first_leader,
            UserRequest::Malformed(ID.into(), body.into_bytes()),
        );
        sim.step();
        sim.traffic.read_delay_ms = 0;
        if sim.leader() != Some(first_leader) {
            continue;
        }
        sim.transfer_leadership(first_leader);
        sim.run_until(5_000, "the next leader", |sim| sim.leader().is_some());
        sim.run_until(3_000, "job done", |sim| {
            let leader = sim.leader();
            leader.is_some_and(|node| sim.poll(node, ID) == Some(JobState::Done))
        });
        make_leader(&mut sim, first_leader);
        slow_answers += u32::from(check_late_answer(&mut sim, seed, request));
    }
    assert!(slow_answers >= 3, "{slow_answers}");
}

/// A node that can't reach the leader reads the record of a running job, and the
/// answer is slow. Before it arrives, the job finishes and this node becomes
/// leader. Guards against a record that is read before the node's election and loaded
/// into the leader's cluster state after it.
#[test]
fn record_read_before_election_is_discarded() {
    let mut slow_answers = 0;
    for seed in 20..32 {
        let mut sim = Simulation::with_nodes(seed, 4, 0.0, 3);
        (sim.run_ms, sim.fetch_ms, sim.traffic.max_latency_ms) = (900, 50, 1);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(12_000);
        let first_leader = sim.leader().expect("a leader");
        let next_leader = (first_leader + 1) % 3;
        sim.submit(job(1, Kind::Array, 1));
        sim.partition(next_leader, CutScope::Node(first_leader), Cut::Reset);
        sim.traffic.read_delay_ms = 3_500;
        let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
        let request = sim.request_later(
            0,
            next_leader,
            UserRequest::Malformed(ID.into(), body.into_bytes()),
        );
        sim.step();
        sim.traffic.read_delay_ms = 0;
        sim.run_until(3_000, "job done", |sim| {
            sim.poll(first_leader, ID) == Some(JobState::Done)
        });
        sim.end_partitions(next_leader);
        make_leader(&mut sim, next_leader);
        slow_answers += u32::from(check_late_answer(&mut sim, seed, request));
    }
    assert!(slow_answers >= 3, "{slow_answers}");
}

/// Guards against a final job that is loaded into the cluster state again, for
/// whatever reason, and then answered from there instead of by its final state.
#[test]
fn remembered_final_state_overrides_cluster_state() {
    let mut sim = Simulation::with_nodes(1, 2, 0.0, 3);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 1));
    let leader = sim.leader().expect("a leader");
    let leader_state = sim.nodes[leader].leader.as_mut().expect("the node leads");
    let mut final_status = leader_state.status(ID).expect("a known job");
    assert_eq!(final_status.state, JobState::Queued);
    final_status.state = JobState::Cancelled;
    leader_state.remember_final_state(&final_status, 0);
    assert_eq!(leader_state.status(ID), Some(final_status.clone()));
    assert_eq!(leader_state.answerable_status(ID), Some(final_status));
}
