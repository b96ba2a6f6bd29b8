//! Scenarios of a leader that is partitioned from the state service or from its
//! peers, and may not know which answers users got: stale leaders, the bound on
//! their authority, and writes of unknown outcome.
//!
//! While the state service is unavailable, the other nodes' promises not to
//! campaign extend a leader's authority. The staleness bound
//! (`SafetyBounds::max_staleness`) limits for how long they do so after the last
//! moment at which the leader surely knew of every cancellation.

mod simulation;

use pathwinch::{
    protocol::{
        state::{Txn, Write},
        users::{JobState, Kind},
    },
    state::records::{self, LEADER, StoredJob, job_key},
};
use simulation::{CANCEL, Cut, CutScope, LEASE, Net, Simulation, UserRequest, id, job};

/// A cluster whose tasks run for 15 minutes: an array of four tasks, which the
/// tests cancel, and a service of two replicas. Returns the leader's index too.
fn with_long_running_tasks(seed: u64, nodes: usize) -> (Simulation, usize) {
    let mut sim = Simulation::with_nodes(seed, 4, 0.0, nodes);
    sim.run_ms = 900_000;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 4));
    sim.submit(job(2, Kind::Service, 2));
    sim.run_until(20_000, "all running", |sim| {
        sim.running(&id(1)) == 4 && sim.running(&id(2)) == 2
    });
    // After 3 s, standbys are warm and every task start is confirmed.
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    sim.poll(leader, &id(1));
    (sim, leader)
}

fn other_nodes(sim: &Simulation, excluded: usize) -> Vec<usize> {
    (0..sim.nodes.len())
        .filter(|node| *node != excluded)
        .collect()
}

/// The state service refuses the old leader's requests, the old leader can't
/// reach the other nodes, and workers reach only the old leader. Another node
/// becomes leader and confirms to the user that the job is cancelled.
fn cancel_through_successor(sim: &mut Simulation, old_leader: usize) {
    sim.store.refused_nodes.insert(old_leader);
    for peer in other_nodes(sim, old_leader) {
        sim.partition(peer, CutScope::Workers, Cut::Reset);
        sim.partition(old_leader, CutScope::Node(peer), Cut::Reset);
    }
    sim.run_until(9_000, "another leader", |sim| {
        sim.leader().is_some_and(|node| node != old_leader)
    });
    sim.cancel(&id(1));
    // The user has the answer while the tasks still run, and the old leader has
    // not learned that it must step down.
    assert_eq!(sim.answered[&id(1)].0, JobState::Cancelled);
    assert_eq!(sim.running(&id(1)), 4);
    assert!(sim.nodes[old_leader].election.leadership().is_some());
}

/// Returns the nodes with leader authority, whether they have loaded the records
/// or not.
fn nodes_with_authority(sim: &Simulation) -> Vec<usize> {
    let has_authority = |node: &usize| {
        sim.nodes[*node].alive && sim.nodes[*node].election.authority(sim.now).is_some()
    };
    (0..sim.nodes.len()).filter(has_authority).collect()
}

/// Checks that no invariant is broken while the faults last, and that the cluster
/// recovers after they end.
fn assert_safe_and_recovers(sim: &mut Simulation) {
    sim.run(CANCEL + 20_000);
    sim.assert_no_violations();
    sim.store.unavailable = false;
    sim.store.refused_nodes.clear();
    (0..sim.nodes.len()).for_each(|node| sim.end_partitions(node));
    sim.run_until(60_000, "cancelled", |sim| sim.done(&id(1)));
    sim.run_until(30_000, "the service runs", |sim| sim.running(&id(2)) == 2);
    sim.assert_no_violations();
}

/// Guards against promises that restore the authority of a replaced leader: the
/// nodes that knew its successor crash, restart without their memory, and grant
/// promises to the old leader.
#[test]
fn replaced_leader_stays_deposed_when_peers_restart() {
    for (seed, nodes) in [(1, 3), (2, 7)] {
        for peer_crash in ["before the outage", "in the outage", "not at all"] {
            let (mut sim, old_leader) = with_long_running_tasks(seed, nodes);
            cancel_through_successor(&mut sim, old_leader);
            sim.store.unavailable = peer_crash != "before the outage";
            if peer_crash != "not at all" {
                other_nodes(&sim, old_leader)
                    .into_iter()
                    .for_each(|peer| sim.crash(peer, 100));
                sim.run(150);
            }
            sim.store.unavailable = true;
            // The old leader reaches the other nodes again, and they grant promises.
            sim.end_partitions(old_leader);
            sim.run(1_000);
            assert!(sim.running(&id(1)) > 0, "the job's tasks stopped too early");
            assert!(
                !nodes_with_authority(&sim).contains(&old_leader),
                "{peer_crash}, {nodes} nodes"
            );
            assert_safe_and_recovers(&mut sim);
        }
    }
}

/// Guards against promises that restore the authority of a replaced leader while
/// its process is paused, while a machine receives no messages, or while one of the
/// nodes runs a version whose promises carry no evidence of when its process
/// started.
#[test]
fn replaced_leader_stays_deposed_despite_pause_or_old_nodes() {
    for case in 0..3 {
        let (mut sim, old_leader) = with_long_running_tasks(10 + case, 3);
        if case == 0 {
            sim.old_version_nodes
                .insert(other_nodes(&sim, old_leader)[0]);
        }
        cancel_through_successor(&mut sim, old_leader);
        match case {
            1 => sim.pause_process(old_leader, 3_000),
            2 => sim.workers[0].net = Net::SendOnly,
            _ => {}
        }
        sim.store.unavailable = true;
        other_nodes(&sim, old_leader)
            .into_iter()
            .for_each(|peer| sim.crash(peer, 50));
        sim.end_partitions(old_leader);
        sim.run(6_000);
        sim.restore_network(0);
        assert!(nodes_with_authority(&sim).is_empty());
        assert_safe_and_recovers(&mut sim);
    }
}

/// Writes what an unknown new leader, elected in spite of all promises, would
/// have written: its leader key and the cancellation of the job, which a user is
/// then answered.
fn record_cancellation_by_unknown_leader(sim: &mut Simulation) {
    let (value, _) = sim.store.kv[&job_key(&id(1))].clone();
    let mut record: StoredJob = serde_json::from_value(value).unwrap();
    record.cancelled = true;
    let put = |key: String, value| Write::Put {
        key,
        value,
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![
            put(LEADER.into(), serde_json::json!({"n": "n9", "i": 9})),
            put(job_key(&id(1)), serde_json::to_value(record).unwrap()),
        ],
    };
    sim.store.apply(&txn).unwrap();
    sim.answer_cancelled(&id(1));
}

/// The staleness bound holds without any other safeguard. Guards against promises
/// that keep extending a leader's authority while no node can prove that the leader
/// has not missed a cancellation.
#[test]
fn uninformed_leader_lets_leases_expire_within_bound() {
    for (seed, nodes) in [(20, 3), (21, 7)] {
        let (mut sim, leader) = with_long_running_tasks(seed, nodes);
        sim.store.unavailable = true;
        sim.run(1_000);
        // One after the other, the peers crash, restart and grant promises again.
        for peer in other_nodes(&sim, leader) {
            sim.crash(peer, 100);
            sim.run(300);
        }
        record_cancellation_by_unknown_leader(&mut sim);
        assert_eq!(
            (nodes_with_authority(&sim), sim.running(&id(1))),
            (vec![leader], 4)
        );
        sim.run(10_000);
        assert_eq!(
            nodes_with_authority(&sim),
            [leader],
            "the leader lost its authority too early"
        );
        sim.run(CANCEL);
        assert_eq!((sim.uninformed_step_downs, sim.running(&id(1))), (1, 0));
        sim.assert_no_violations();
        sim.store.kv.remove(LEADER);
        assert_safe_and_recovers(&mut sim);
    }
}

/// Guards against a leader that stops all tasks at every outage of the state
/// service.
#[test]
fn services_survive_store_outage_when_all_nodes_stay_up() {
    for (nodes, outage_ms) in [(3, 20_000), (7, 120_000)] {
        let (mut sim, leader) = with_long_running_tasks(30, nodes);
        sim.store.unavailable = true;
        sim.run(outage_ms);
        assert_eq!(nodes_with_authority(&sim), [leader]);
        sim.store.unavailable = false;
        sim.run(5_000);
        assert_eq!(
            (sim.expired_tasks, sim.uninformed_step_downs, sim.terms),
            (0, 0, 1)
        );
        // A node that crashes and restarts at once doesn't end the leader's authority
        // before the staleness bound.
        sim.store.unavailable = true;
        sim.run(2_000);
        sim.crash(other_nodes(&sim, leader)[0], 300);
        sim.run(14_000);
        sim.store.unavailable = false;
        sim.run(5_000);
        assert_eq!(
            (sim.expired_tasks, sim.uninformed_step_downs, sim.terms),
            (0, 0, 1)
        );
        sim.assert_no_violations();
    }
}

/// The state service answers late, and the promises of the other nodes carry no
/// evidence. Guards against lease renewals that don't count although they were
/// applied: promises would extend the authority only up to the staleness bound,
/// and then all worker leases would expire.
#[test]
fn slow_store_neither_ends_nor_prevents_leadership() {
    for delay_ms in [300, 900, 2_000] {
        let (mut sim, leader) = with_long_running_tasks(45, 3);
        sim.old_version_nodes.extend(other_nodes(&sim, leader));
        sim.store.delay_ms = delay_ms;
        sim.run(60_000);
        assert_eq!(
            (sim.expired_tasks, sim.uninformed_step_downs, sim.terms),
            (0, 0, 1),
            "{delay_ms}"
        );
        // If the state service then refuses the leader alone, another node takes over,
        // provided that the other nodes can tell in time that their own requests succeed.
        if delay_ms <= 300 {
            sim.store.refused_nodes.insert(leader);
            sim.run_until(9_000, "another leader", |sim| {
                sim.leader().is_some_and(|node| node != leader)
            });
            sim.run(15_000);
            assert_eq!(sim.running(&id(2)), 2, "{delay_ms}");
        }
        sim.assert_no_violations();
    }
}

/// Promises carry no evidence. One outage of the state service ends shortly before
/// the staleness bound, and the leader stays; the other ends after the bound, and
/// the leader steps down once.
#[test]
fn leader_is_replaced_at_staleness_bound_unless_lease_is_renewed() {
    for (outage_ms, step_downs) in [(18_000, 0), (26_000, 1)] {
        let (mut sim, leader) = with_long_running_tasks(40, 3);
        sim.old_version_nodes.extend(other_nodes(&sim, leader));
        sim.store.unavailable = true;
        sim.run(outage_ms);
        sim.store.unavailable = false;
        sim.run(15_000);
        assert_eq!(
            (sim.uninformed_step_downs, sim.terms),
            (step_downs, 1 + step_downs)
        );
        sim.run_until(30_000, "service runs", |sim| sim.running(&id(2)) == 2);
        sim.assert_no_violations();
    }
}

/// The write of a cancellation has no answer, a user is answered from the record
/// at another node, and an outage begins before the leader can reread the record
/// or any machine has heard of the cancellation. All nodes grant promises, so the leader keeps its authority. Guards against
/// tasks that run on through the outage.
#[test]
fn tasks_stop_in_time_after_indeterminate_cancellation() {
    for (seed, nodes) in [(50, 3), (51, 7)] {
        let (mut sim, leader) = with_long_running_tasks(seed, nodes);
        let other = other_nodes(&sim, leader)[0];
        sim.store.late_writes.push(200);
        let machines = 0..sim.workers.len();
        machines
            .clone()
            .for_each(|machine| sim.workers[machine].net = Net::Lose);
        sim.request_cancellation(&id(1));
        sim.run(600);
        machines.for_each(|machine| sim.restore_network(machine));
        assert_eq!(sim.poll(other, &id(1)), Some(JobState::Cancelled));
        sim.store.unavailable = true;
        assert_eq!(sim.running(&id(1)), 4);
        sim.run(CANCEL + 10_000);
        assert_eq!(nodes_with_authority(&sim), [leader]);
        assert_eq!((sim.running(&id(1)), sim.running(&id(2))), (0, 2));
        sim.assert_no_violations();
        assert_safe_and_recovers(&mut sim);
    }
}

/// A new leader can't load the records for a long time, and answers workers
/// meanwhile, among them a machine that missed the command to stop its tasks.
/// Guards against a leader that renews worker leases during all that time.
#[test]
fn leader_without_records_renews_no_leases_for_long() {
    let (mut sim, old_leader) = with_long_running_tasks(60, 3);
    sim.load_ms = 60_000;
    let machine = sim
        .workers
        .iter()
        .position(|machine| {
            machine
                .tasks
                .iter()
                .any(|task| task.name.starts_with(&id(1)))
        })
        .unwrap();
    sim.workers[machine].net = Net::Lose;
    sim.cancel(&id(1));
    sim.run(300);
    sim.crash(old_leader, 200);
    sim.run_until(9_000, "new authority", |sim| {
        !nodes_with_authority(sim).is_empty()
    });
    sim.store.unavailable = true;
    sim.restore_network(machine);
    sim.run(2_000);
    assert!(sim.leader().is_none() && !nodes_with_authority(&sim).is_empty());
    assert_eq!(
        sim.workers[machine].incarnation, 1,
        "the machine's lease was not renewed"
    );
    assert!(sim.running(&id(1)) > 0);
    sim.run(CANCEL);
    sim.assert_no_violations();
    assert_eq!(sim.running(&id(1)), 0);
}

/// A job is cancelled, and its dependent with it. An outage begins before the
/// dependent's cancellation is recorded, and lasts longer than the cancellation
/// deadline. Guards against a leader that answers from memory that the dependent
/// is queued, which the checker reports as `orphaned`.
#[test]
fn dependent_of_cancelled_job_never_queued_during_outage() {
    let (mut sim, leader) = with_long_running_tasks(70, 3);
    let mut dependent = job(3, Kind::Array, 2);
    dependent.dependencies = vec![id(1)];
    sim.submit(dependent);
    sim.run(500);
    sim.poll(leader, &id(3));
    let cancel_request = sim.request_later(0, leader, UserRequest::Cancel(id(1)));
    sim.run_until(2_000, "cancelled at the leader", |sim| {
        let current = sim.nodes[leader].leader.as_ref();
        let status = current.and_then(|leader_state| leader_state.status(&id(1)));
        status.is_some_and(|s| s.state == JobState::Cancelled)
    });
    sim.store.unavailable = true;
    assert!(
        sim.store.kv.contains_key(&job_key(&id(3))),
        "the dependent's end is recorded"
    );
    sim.run_until(2_000, "the answer to the cancellation", |sim| {
        sim.traffic.history[cancel_request].answer.is_some()
    });
    assert_eq!(sim.answered[&id(1)].0, JobState::Cancelled);
    let mut answers = 0;
    for _ in 0..30 {
        sim.run(2_000);
        let cancel_request: Vec<usize> = (0..3).collect();
        answers += cancel_request
            .iter()
            .filter(|node| sim.poll(**node, &id(3)).is_some())
            .count();
        // Requests about other jobs are answered during the outage.
        assert!(sim.poll(leader, &id(2)).is_some());
    }
    assert_eq!(answers, 0);
    sim.store.unavailable = false;
    sim.run_until(10_000, "cancelled", |sim| sim.done(&id(3)));
    assert_eq!(sim.poll(leader, &id(3)), Some(JobState::Cancelled));
    sim.assert_no_violations();
    assert!(sim.expired_tasks == 0 && sim.now > LEASE);
}

/// The write of a job's final record has no answer, the record is reread before
/// the write is applied, and then the write is applied after all: another node
/// reads the final record and answers a user. Guards against a leader that from
/// then on still answers from memory that the job is unfinished.
#[test]
fn indeterminate_completion_is_never_answered_from_memory() {
    for cancelled in [true, false] {
        let (mut sim, leader) = with_long_running_tasks(100, 3);
        let other = other_nodes(&sim, leader)[0];
        if cancelled {
            sim.request_cancellation(&id(1));
        } else {
            let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
            let handle = leader_state.cluster.job_handle(&id(1)).unwrap();
            (0..4).for_each(|task| {
                leader_state
                    .cluster
                    .job_mut(handle)
                    .unwrap()
                    .mark_done(task)
            });
            sim.finished
                .extend((0..4).map(|task| format!("{}/{task}", id(1))));
        }
        let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
        let plan = leader_state
            .plan_writes(12)
            .expect("the final record is planned");
        leader_state.on_outcome_unknown(&plan);
        for key in pathwinch::control::leader::Leader::keys_to_reread(&plan) {
            leader_state.reconcile_key(&key, sim.store.kv.get(&key).cloned(), sim.now);
        }
        leader_state.finish_reconciliation(&plan);
        sim.store.apply(&plan.txn).expect("the late write applies");
        let answered_state = sim.poll(other, &id(1)).expect("an answer from the record");
        assert!(matches!(
            answered_state,
            JobState::Cancelled | JobState::Done
        ));
        assert_eq!(sim.poll(leader, &id(1)), Some(answered_state));
        sim.run_until(10_000, "final", |sim| sim.done(&id(1)));
        assert_eq!(sim.poll(leader, &id(1)), Some(answered_state));
        sim.assert_no_violations();
    }
}

/// Two writes of the same additional segment of finished tasks, of which the
/// older has no answer and would be applied after the newer. Guards against
/// finished tasks that are lost from the records, so that a new leader would run
/// them again.
#[test]
fn stale_completion_segment_never_replaces_newer_one() {
    let (mut sim, leader) = with_long_running_tasks(110, 3);
    sim.submit(job(3, Kind::Array, 9_000));
    sim.run(2_000);
    let done = |sim: &mut Simulation, task: u32| {
        let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
        let handle = leader_state.cluster.job_handle(&id(3)).unwrap();
        leader_state
            .cluster
            .job_mut(handle)
            .unwrap()
            .mark_done(task);
        leader_state
            .plan_writes(12)
            .expect("the progress is planned")
    };
    let older = done(&mut sim, 8_500);
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    leader_state.on_outcome_unknown(&older);
    for key in pathwinch::control::leader::Leader::keys_to_reread(&older) {
        leader_state.reconcile_key(&key, sim.store.kv.get(&key).cloned(), sim.now);
    }
    leader_state.finish_reconciliation(&older);
    let newer = done(&mut sim, 8_501);
    let revision = sim
        .store
        .apply(&newer.txn)
        .expect("the newer write applies");
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    leader_state.writes_applied(&newer, revision, sim.now);
    assert!(
        sim.store.apply(&older.txn).is_err(),
        "the older write applied late"
    );
}

/// An agent restarts at once, with incarnation one again. A direct command reaches
/// it before its first heartbeat, and then its machine is partitioned. The lease of
/// the restarted agent runs from the start of that agent, which is later than the
/// last heartbeat response.
/// Guards against starting the task elsewhere while it still runs on that machine
/// (seen in one of 1,859 simulated days with random faults).
#[test]
fn tasks_of_restarted_agent_count_until_lease_expiry() {
    let mut sim = Simulation::with_nodes(80, 2, 0.0, 3);
    (sim.run_ms, sim.standbys) = (900_000, false);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    // One machine is full, the other has room for one more task.
    sim.submit(job(1, Kind::Array, 3));
    sim.run_until(10_000, "running", |sim| sim.running(&id(1)) == 3);
    sim.run(3_000);
    let machine = (sim
        .workers
        .iter()
        .position(|machine| machine.tasks.len() == 1))
    .expect("a machine with room");
    let seq = sim.workers[machine].seq;
    sim.run_until(2_000, "a heartbeat", |sim| sim.workers[machine].seq > seq);
    sim.run(850);
    sim.restart_machine(machine);
    sim.submit(job(2, Kind::Array, 1));
    sim.run_until(200, "the command", |sim| {
        !sim.workers[machine].tasks.is_empty()
    });
    sim.run(50);
    sim.workers[machine].net = Net::Lose;
    let token = sim.leader_token(machine);
    assert_eq!(
        sim.workers[machine].token, token,
        "a direct command sets the token"
    );
    sim.cancel(&id(1));
    sim.run_until(LEASE + 6_000, "restarted elsewhere", |sim| {
        sim.workers[1 - machine]
            .tasks
            .iter()
            .any(|t| t.name == format!("{}/0", id(2)))
    });
    sim.assert_no_violations();
    sim.run(3_000);
    sim.assert_no_violations();
}

/// The write that readmits an excluded node has no answer, the node is excluded
/// again, and the readmission is applied late. Guards against a leader that counts
/// an exclusion that is no longer in the key-value store.
#[test]
fn exclusion_holds_when_earlier_writes_apply_late() {
    let (mut sim, leader) = with_long_running_tasks(90, 3);
    // Not the node that workers try next: if that one is unresponsive, the leader
    // yields.
    let excluded_node = (leader + 2) % 3;
    let key = records::exclusion_key(&format!("n{excluded_node}"));
    sim.partition(excluded_node, CutScope::All, Cut::Hold);
    sim.run_until(20_000, "excluded", |sim| sim.store.kv.contains_key(&key));
    // The node answers for a moment: the write that readmits it has no answer, and is
    // applied after the next exclusion.
    sim.store.late_exclusion_writes.push(12_000);
    sim.end_partitions(excluded_node);
    sim.run_until(5_000, "readmission sent", |sim| {
        sim.store.late_exclusion_writes.is_empty()
    });
    sim.partition(excluded_node, CutScope::All, Cut::Hold);
    let peer = if excluded_node < leader {
        excluded_node
    } else {
        excluded_node - 1
    };
    let mut steps_excluded = 0;
    for _ in 0..400 {
        sim.step();
        if sim.nodes[leader].exclusions.is_excluded(peer, sim.now) {
            steps_excluded += 1;
            assert!(
                sim.store.kv.contains_key(&key),
                "counted exclusion is not in the store"
            );
        }
    }
    assert!(steps_excluded > 50, "{steps_excluded}");
    sim.assert_no_violations();
}
