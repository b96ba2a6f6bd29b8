//! Read monotonicity: each way in which a job's reported state was found to go
//! back.

mod simulation;

use pathwinch::protocol::users::{JobState, Kind};
use simulation::{Cut, CutScope, Simulation, UserRequest, job};

const ID: &str = "j-000001";

/// Leads on until that node does.
fn make_leader(w: &mut Simulation, node: usize) {
    for _ in 0..20 {
        match w.leader() {
            Some(leader) if leader == node => return,
            Some(leader) => w.transfer_leadership(leader),
            None => {}
        }
        w.run_until(5_000, "a leader", |w| w.leader().is_some());
    }
    panic!("node {node} never led");
}

/// No node calls it anything but done any more, nor does its task start again.
fn assert_stays_done(w: &mut Simulation, seed: u64) {
    for _ in 0..100 {
        for i in 0..3 {
            let told = w.poll(i, ID);
            let right = told.is_none_or(|state| state == JobState::Done);
            assert!(right, "{seed}: {told:?} at {i}: {:?}", w.violations);
        }
        w.step();
    }
    assert_eq!(w.starts, 1, "{seed}: its task started again");
    assert!(w.violations.is_empty(), "{seed}: {:?}", w.violations);
}

/// The answer to that look comes at a node that leads by now. Returns whether
/// it was still to come; nobody asks about the job before it is there.
fn slow_answer_comes(w: &mut Simulation, seed: u64, asked: usize) -> bool {
    let is_there = move |w: &mut Simulation| w.traffic.history[asked].answer.is_some();
    if is_there(w) {
        return false;
    }
    w.run_until(6_000, "the slow answer", is_there);
    assert_stays_done(w, seed);
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
        let mut w = Simulation::with_nodes(seed, 4, 0.0, 3);
        (w.run_ms, w.fetch_ms, w.traffic.max_latency_ms) = (300, 50, 1);
        w.run_until(10_000, "a leader", |w| w.leader().is_some());
        w.run(12_000);
        let first = w.leader().expect("somebody leads");
        let other = (first + 1) % 3;
        // The other node can't reach the leader, which learns of it late.
        w.partition(first, CutScope::State, Cut::Reset);
        w.partition(other, CutScope::Node(first), Cut::Reset);
        let spec = job(1, Kind::Array, 1);
        w.specs.insert(ID.into(), spec.clone());
        w.request_later(0, other, UserRequest::submit(&spec));
        w.step();
        w.end_partitions(first);
        w.end_partitions(other);
        w.traffic.read_delay_ms = 4_000;
        let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
        let asked = w.request_later(
            0,
            first,
            UserRequest::Malformed(ID.into(), body.into_bytes()),
        );
        w.step();
        w.traffic.read_delay_ms = 0;
        if w.leader() != Some(first) {
            continue;
        }
        w.transfer_leadership(first);
        w.run_until(5_000, "the next leader", |w| w.leader().is_some());
        w.run_until(3_000, "its end", |w| {
            let leader = w.leader();
            leader.is_some_and(|i| w.poll(i, ID) == Some(JobState::Done))
        });
        make_leader(&mut w, first);
        met += u32::from(slow_answer_comes(&mut w, seed, asked));
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
        let mut w = Simulation::with_nodes(seed, 4, 0.0, 3);
        (w.run_ms, w.fetch_ms, w.traffic.max_latency_ms) = (900, 50, 1);
        w.run_until(10_000, "a leader", |w| w.leader().is_some());
        w.run(12_000);
        let first = w.leader().expect("somebody leads");
        let next = (first + 1) % 3;
        w.submit(job(1, Kind::Array, 1));
        w.partition(next, CutScope::Node(first), Cut::Reset);
        w.traffic.read_delay_ms = 3_500;
        let body = format!(r#"{{"ref":"{ID}","pieces":"many"}}"#);
        let asked = w.request_later(
            0,
            next,
            UserRequest::Malformed(ID.into(), body.into_bytes()),
        );
        w.step();
        w.traffic.read_delay_ms = 0;
        w.run_until(3_000, "its end", |w| {
            w.poll(first, ID) == Some(JobState::Done)
        });
        w.end_partitions(next);
        make_leader(&mut w, next);
        met += u32::from(slow_answer_comes(&mut w, seed, asked));
    }
    assert!(met >= 3, "{met}");
}

/// Whatever brings a job that is over back into the cluster state, its end is what
/// is told. Guards against a cluster state that outweighs the end.
#[test]
fn remembered_final_state_overrides_cluster_state() {
    let mut w = Simulation::with_nodes(1, 2, 0.0, 3);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(job(1, Kind::Array, 1));
    let leader = w.leader().expect("somebody leads");
    let led = w.nodes[leader].leader.as_mut().expect("it leads");
    let mut end = led.status(ID).expect("it is known");
    assert_eq!(end.state, JobState::Queued);
    end.state = JobState::Cancelled;
    led.remember_final_state(&end, 0);
    assert_eq!(led.status(ID), Some(end.clone()));
    assert_eq!(led.answerable_status(ID), Some(end));
}
