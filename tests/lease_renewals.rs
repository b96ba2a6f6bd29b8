//! Leaders that end soon after they answered a machine, one after the other: each answer renews the
//! machine's lease, and with it the life of the tasks that it lists.

mod simulation;

use pathwinch::protocol::users::Kind;
use simulation::{CANCEL, Net, Simulation, id, job};

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
