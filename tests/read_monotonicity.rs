//! Read monotonicity: each way in which a job's reported state was found to go
//! back.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind};
use simulation::{Cut, CutScope, Simulation, UserRequest, job};

const ID: &str = "j-000001";

/// Leads on until that node does.
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

/// No node calls it anything but done any more, nor does its task start again.
fn assert_stays_done(sim: &mut Simulation, seed: u64) {
    for _ in 0..100 {
        for i in 0..3 {
            let told = sim.poll(i, ID);
            let right = told.is_none_or(|state| state == JobState::Done);
            assert!(right, "{seed}: {told:?} at {i}: {:?}", sim.violations);
        }
        sim.step();
    }
    assert_eq!(sim.starts, 1, "{seed}: its task started again");
    assert!(sim.violations.is_empty(), "{seed}: {:?}", sim.violations);
}

/// The answer to that look comes at a node that leads by now. Returns whether
/// it was still to come; nobody asks about the job before it is there.
fn slow_answer_comes(sim: &mut Simulation, seed: u64, asked: usize) -> bool {
    let is_there = move |sim: &mut Simulation| sim.traffic.history[asked].answer.is_some();
    if is_there(sim) {
        return false;
    }
    sim.run_until(6_000, "the slow answer", is_there);
    assert_stays_done(sim, seed);
    true
}

/// A leader looks at the record of a job that another node has just accepted,
/// and the answer is slow. Before it comes the job ends under the next leader,
/// and the first one leads again. Guards against a record that was read in one
/// term and taken in under a later one: the job would be called queued from
/// the leader's cluster state, and its tasks would start again.
#[test]
fn record_read_in_earlier_term_is_discarded() {
    let mut met = 0;
    for seed in 0..12 {
        let mut sim = Simulation::with_nodes(seed, 4, 0.0, 3);
        (sim.run_ms, sim.fetch_ms, sim.traffic.max_latency_ms) = (300, 50, 1);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(12_000);
        let first = sim.leader().expect("somebody leads");
        let other = (first + 1) % 3;
        // The other node can't reach the leader, which learns of it late.
        sim.partition(first, CutScope::State, Cut::Reset);
        sim.partition(other, CutScope::Node(first), Cut::Reset);
        let spec = job(1, Kind::Array, 1);
        sim.specs.insert(ID.into(), spec.clone());
        sim.request_later(0, other, UserRequest::submit(&spec));
        sim.step();
        sim.end_partitions(first);
        sim.end_partitions(other);
        sim.traffic.read_delay_ms = 4_000;
        let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
        let asked = sim.request_later(
            0,
            first,
            UserRequest::Malformed(ID.into(), body.into_bytes()),
        );
        sim.step();
        sim.traffic.read_delay_ms = 0;
        if sim.leader() != Some(first) {
            continue;
        }
        sim.transfer_leadership(first);
        sim.run_until(5_000, "the next leader", |sim| sim.leader().is_some());
        sim.run_until(3_000, "its end", |sim| {
            let leader = sim.leader();
            leader.is_some_and(|i| sim.poll(i, ID) == Some(JobState::Done))
        });
        make_leader(&mut sim, first);
        met += u32::from(slow_answer_comes(&mut sim, seed, asked));
    }
    assert!(met >= 3, "{met}");
}

/// A node that can't reach the leader looks at the record of a running job, and
/// the answer is slow. Before it comes the job ends, and this node leads.
/// Guards against the same as above, for a read that was begun in no term.
#[test]
fn record_read_before_election_is_discarded() {
    let mut met = 0;
    for seed in 20..32 {
        let mut sim = Simulation::with_nodes(seed, 4, 0.0, 3);
        (sim.run_ms, sim.fetch_ms, sim.traffic.max_latency_ms) = (900, 50, 1);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim.run(12_000);
        let first = sim.leader().expect("somebody leads");
        let next = (first + 1) % 3;
        sim.submit(job(1, Kind::Array, 1));
        sim.partition(next, CutScope::Node(first), Cut::Reset);
        sim.traffic.read_delay_ms = 3_500;
        let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
        let asked = sim.request_later(
            0,
            next,
            UserRequest::Malformed(ID.into(), body.into_bytes()),
        );
        sim.step();
        sim.traffic.read_delay_ms = 0;
        sim.run_until(3_000, "its end", |sim| {
            sim.poll(first, ID) == Some(JobState::Done)
        });
        sim.end_partitions(next);
        make_leader(&mut sim, next);
        met += u32::from(slow_answer_comes(&mut sim, seed, asked));
    }
    assert!(met >= 3, "{met}");
}

/// Whatever brings a job that is over back into the cluster state, its end is what
/// is told. Guards against a cluster state that outweighs the end.
#[test]
fn remembered_final_state_overrides_cluster_state() {
    let mut sim = Simulation::with_nodes(1, 2, 0.0, 3);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 1));
    let leader = sim.leader().expect("somebody leads");
    let led = sim.nodes[leader].leader.as_mut().expect("it leads");
    let mut end = led.status(ID).expect("it is known");
    assert_eq!(end.state, JobState::Queued);
    end.state = JobState::Cancelled;
    led.remember_final_state(&end, 0);
    assert_eq!(led.status(ID), Some(end.clone()));
    assert_eq!(led.answerable_status(ID), Some(end));
}
