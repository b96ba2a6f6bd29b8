//! Scenarios of a leader that is partitioned from the state service or its peers,
//! and may not know what users were answered: stale leaders, the bound on
//! their authority, and writes of unknown outcome.

mod simulation;

use pathwinch::{
    protocol::{
        state::{Txn, Write},
        users::{JobState, Kind},
    },
    state::records::{self, LEADER, StoredJob, job_key},
};
use simulation::{CANCEL, Cut, CutScope, LEASE, Net, Simulation, UserRequest, id, job};

/// Tasks run for a quarter of an hour: a job of four, to be cancelled, and a
/// service of two that stays. Returns who leads.
fn long_tasks(seed: u64, nodes: usize) -> (Simulation, usize) {
    let mut sim = Simulation::with_nodes(seed, 4, 0.0, nodes);
    sim.run_ms = 900_000;
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    sim.submit(job(1, Kind::Array, 4));
    sim.submit(job(2, Kind::Service, 2));
    sim.run_until(20_000, "all running", |sim| {
        sim.running(&id(1)) == 4 && sim.running(&id(2)) == 2
    });
    // Standbys are warm by then, and every start is confirmed.
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    sim.poll(leader, &id(1));
    (sim, leader)
}

fn others(sim: &Simulation, of: usize) -> Vec<usize> {
    (0..sim.nodes.len()).filter(|j| *j != of).collect()
}

/// The state service refuses the leader alone, nor does it reach the other
/// nodes; all workers reach only it. Another leads, and confirms to the user
/// that the job is cancelled.
fn cancel_behind_old_leader(sim: &mut Simulation, old: usize) {
    sim.store.refused_nodes.insert(old);
    for j in others(sim, old) {
        sim.partition(j, CutScope::Workers, Cut::Reset);
        sim.partition(old, CutScope::Node(j), Cut::Reset);
    }
    sim.run_until(9_000, "another leads", |sim| {
        sim.leader().is_some_and(|i| i != old)
    });
    sim.cancel(&id(1));
    // The combination: the user has the answer, the tasks run, and the old
    // leader has not learned that it must step down.
    assert_eq!(sim.answered[&id(1)].0, JobState::Cancelled);
    assert_eq!(sim.running(&id(1)), 4);
    assert!(sim.nodes[old].election.leadership().is_some());
}

/// Who acts, whether it has read the records or not.
fn acting(sim: &Simulation) -> Vec<usize> {
    let acts =
        |i: &usize| sim.nodes[*i].alive && sim.nodes[*i].election.authority(sim.now).is_some();
    (0..sim.nodes.len()).filter(acts).collect()
}

/// Through all of it, and what comes after.
fn assert_recovers(sim: &mut Simulation) {
    sim.run(CANCEL + 20_000);
    sim.assert_no_violations();
    sim.store.unavailable = false;
    sim.store.refused_nodes.clear();
    (0..sim.nodes.len()).for_each(|i| sim.end_partitions(i));
    sim.run_until(60_000, "withdrawn", |sim| sim.done(&id(1)));
    sim.run_until(30_000, "the service serves", |sim| sim.running(&id(2)) == 2);
    sim.assert_no_violations();
}

/// Guards against promises that revive a leader which was replaced: those who
/// knew of its successor ended and are back with no memory.
#[test]
fn replaced_leader_stays_deposed_when_peers_forget_promises() {
    for (seed, nodes) in [(1, 3), (2, 7)] {
        for ends in ["before the outage", "in the outage", "not at all"] {
            let (mut sim, old) = long_tasks(seed, nodes);
            cancel_behind_old_leader(&mut sim, old);
            sim.store.unavailable = ends != "before the outage";
            if ends != "not at all" {
                others(&sim, old)
                    .into_iter()
                    .for_each(|j| sim.crash(j, 100));
                sim.run(150);
            }
            sim.store.unavailable = true;
            // It reaches them again, and they promise.
            sim.end_partitions(old);
            sim.run(1_000);
            assert!(sim.running(&id(1)) > 0, "its tasks run on at first");
            assert!(!acting(&sim).contains(&old), "{ends}, {nodes} nodes");
            assert_recovers(&mut sim);
        }
    }
}

/// The same where it stands still meanwhile, or a machine hears nothing for a
/// while, or one of the nodes is of a version that gives no evidence.
#[test]
fn replaced_leader_stays_deposed_despite_pause_or_old_nodes() {
    for case in 0..3 {
        let (mut sim, old) = long_tasks(10 + case, 3);
        if case == 0 {
            sim.old_version_nodes.insert(others(&sim, old)[0]);
        }
        cancel_behind_old_leader(&mut sim, old);
        match case {
            1 => sim.pause_process(old, 3_000),
            2 => sim.workers[0].net = Net::SendOnly,
            _ => {}
        }
        sim.store.unavailable = true;
        others(&sim, old).into_iter().for_each(|j| sim.crash(j, 50));
        sim.end_partitions(old);
        sim.run(6_000);
        sim.restore_network(0);
        assert!(acting(&sim).is_empty());
        assert_recovers(&mut sim);
    }
}

/// Whoever it was, and in spite of all promises: another became leader, wrote
/// that the job is cancelled, and a user was told.
fn cancel_through_new_leader(sim: &mut Simulation) {
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

/// The horizon holds by itself. Guards against a leader that promises alone
/// keep going, when nobody can show that it has not missed a cancellation.
#[test]
fn stale_leader_lets_leases_expire_within_bound() {
    for (seed, nodes) in [(20, 3), (21, 7)] {
        let (mut sim, leader) = long_tasks(seed, nodes);
        sim.store.unavailable = true;
        sim.run(1_000);
        // One after the other they end and are back, and promise again.
        for j in others(&sim, leader) {
            sim.crash(j, 100);
            sim.run(300);
        }
        cancel_through_new_leader(&mut sim);
        assert_eq!((acting(&sim), sim.running(&id(1))), (vec![leader], 4));
        sim.run(10_000);
        assert_eq!(acting(&sim), [leader], "its authority is unbroken");
        sim.run(CANCEL);
        assert_eq!((sim.uninformed_step_downs, sim.running(&id(1))), (1, 0));
        sim.assert_no_violations();
        sim.store.kv.remove(LEADER);
        assert_recovers(&mut sim);
    }
}

/// Guards against stopping at every outage.
#[test]
fn services_survive_outage_when_all_nodes_stay_up() {
    for (nodes, down_for) in [(3, 20_000), (7, 120_000)] {
        let (mut sim, leader) = long_tasks(30, nodes);
        sim.store.unavailable = true;
        sim.run(down_for);
        assert_eq!(acting(&sim), [leader]);
        sim.store.unavailable = false;
        sim.run(5_000);
        assert_eq!(
            (sim.expired_tasks, sim.uninformed_step_downs, sim.terms),
            (0, 0, 1)
        );
        // Nor does a node that is back at once end it before the horizon.
        sim.store.unavailable = true;
        sim.run(2_000);
        sim.crash(others(&sim, leader)[0], 300);
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

/// The state service answers late, and nobody gives evidence. Guards against
/// renewals that don't count although they were carried out: promises would
/// prolong authority up to the horizon, and all leases run out.
#[test]
fn slow_store_neither_ends_nor_prevents_leadership() {
    for slow in [300, 900, 2_000] {
        let (mut sim, leader) = long_tasks(45, 3);
        sim.old_version_nodes.extend(others(&sim, leader));
        sim.store.delay_ms = slow;
        sim.run(60_000);
        assert_eq!(
            (sim.expired_tasks, sim.uninformed_step_downs, sim.terms),
            (0, 0, 1),
            "{slow}"
        );
        // Refused alone besides, it gives way, and is followed, if the others
        // can still tell that they are served.
        if slow <= 300 {
            sim.store.refused_nodes.insert(leader);
            sim.run_until(9_000, "another leads", |sim| {
                sim.leader().is_some_and(|i| i != leader)
            });
            sim.run(15_000);
            assert_eq!(sim.running(&id(2)), 2, "{slow}");
        }
        sim.assert_no_violations();
    }
}

/// An outage that ends a little before the horizon, and one that ends after it.
#[test]
fn leader_is_replaced_at_horizon_unless_renewed() {
    for (down_for, blind) in [(18_000, 0), (26_000, 1)] {
        let (mut sim, leader) = long_tasks(40, 3);
        sim.old_version_nodes.extend(others(&sim, leader));
        sim.store.unavailable = true;
        sim.run(down_for);
        sim.store.unavailable = false;
        sim.run(15_000);
        assert_eq!((sim.uninformed_step_downs, sim.terms), (blind, 1 + blind));
        sim.run_until(30_000, "serves", |sim| sim.running(&id(2)) == 2);
        sim.assert_no_violations();
    }
}

/// The cancellation had no answer, a user read it in the record at another node,
/// and the outage came before the leader could read that. All promise, so that
/// it goes on. Guards against tasks that run on through the outage.
#[test]
fn tasks_stop_in_time_after_indeterminate_cancellation() {
    for (seed, nodes) in [(50, 3), (51, 7)] {
        let (mut sim, leader) = long_tasks(seed, nodes);
        let other = others(&sim, leader)[0];
        sim.store.late_writes.push(200);
        sim.request_cancellation(&id(1));
        sim.run(600);
        assert_eq!(sim.poll(other, &id(1)), Some(JobState::Cancelled));
        sim.store.unavailable = true;
        assert_eq!(sim.running(&id(1)), 4);
        sim.run(CANCEL + 10_000);
        assert_eq!(acting(&sim), [leader]);
        assert_eq!((sim.running(&id(1)), sim.running(&id(2))), (0, 2));
        sim.assert_no_violations();
        assert_recovers(&mut sim);
    }
}

/// A new leader can't read the records, and answers workers meanwhile, among
/// them a machine that missed the order to stop. Guards against leases that it
/// renews for as long as that lasts.
#[test]
fn leader_without_records_renews_no_leases_for_long() {
    let (mut sim, old) = long_tasks(60, 3);
    sim.load_ms = 60_000;
    let m = sim
        .workers
        .iter()
        .position(|m| m.tasks.iter().any(|t| t.name.starts_with(&id(1))))
        .unwrap();
    sim.workers[m].net = Net::Lose;
    sim.cancel(&id(1));
    sim.run(300);
    sim.crash(old, 200);
    sim.run_until(9_000, "another acts", |sim| !acting(sim).is_empty());
    sim.store.unavailable = true;
    sim.restore_network(m);
    sim.run(2_000);
    assert!(sim.leader().is_none() && !acting(&sim).is_empty());
    assert_eq!(sim.workers[m].incarnation, 1, "its lease was renewed");
    assert!(sim.running(&id(1)) > 0);
    sim.run(CANCEL);
    sim.assert_no_violations();
    assert_eq!(sim.running(&id(1)), 0);
}

/// A chain's dependents are cancelled with the job that they need; the outage
/// comes before that is recorded and lasts longer than it may take. Guards
/// against calling them queued from memory (`orphaned`).
#[test]
fn dependent_of_cancelled_job_never_queued_during_outage() {
    let (mut sim, leader) = long_tasks(70, 3);
    let mut after = job(3, Kind::Array, 2);
    after.dependencies = vec![id(1)];
    sim.submit(after);
    sim.run(500);
    sim.poll(leader, &id(3));
    let asked = sim.request_later(0, leader, UserRequest::Cancel(id(1)));
    sim.run_until(2_000, "its record", |sim| {
        let led = sim.nodes[leader].leader.as_ref();
        let status = led.and_then(|leader_state| leader_state.status(&id(1)));
        status.is_some_and(|s| s.state == JobState::Cancelled)
    });
    sim.store.unavailable = true;
    assert!(sim.store.kv.contains_key(&job_key(&id(3))), "not recorded");
    sim.run_until(2_000, "the answer", |sim| {
        sim.traffic.history[asked].answer.is_some()
    });
    assert_eq!(sim.answered[&id(1)].0, JobState::Cancelled);
    let mut answers = 0;
    for _ in 0..30 {
        sim.run(2_000);
        let asked: Vec<usize> = (0..3).collect();
        answers += asked
            .iter()
            .filter(|i| sim.poll(**i, &id(3)).is_some())
            .count();
        // Others are answered all the while.
        assert!(sim.poll(leader, &id(2)).is_some());
    }
    assert_eq!(answers, 0);
    sim.store.unavailable = false;
    sim.run_until(10_000, "withdrawn", |sim| sim.done(&id(3)));
    assert_eq!(sim.poll(leader, &id(3)), Some(JobState::Cancelled));
    sim.assert_no_violations();
    assert!(sim.expired_tasks == 0 && sim.now > LEASE);
}

/// What ends a job had no answer, the record does not show it when it is read,
/// and it is carried out later: another node reads it, and tells a user.
/// Guards against the leader calling the job unfinished from memory after that.
#[test]
fn indeterminate_completion_is_never_answered_from_memory() {
    for withdrawn in [true, false] {
        let (mut sim, leader) = long_tasks(100, 3);
        let other = others(&sim, leader)[0];
        if withdrawn {
            sim.request_cancellation(&id(1));
        } else {
            let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
            let ix = leader_state.cluster.job_handle(&id(1)).unwrap();
            (0..4).for_each(|t| leader_state.cluster.job_mut(ix).unwrap().mark_done(t));
            sim.finished
                .extend((0..4).map(|t| format!("{}/{t}", id(1))));
        }
        let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
        let plan = leader_state
            .plan_writes(12)
            .expect("its end is to be written");
        leader_state.outcome_unknown(&plan);
        for key in pathwinch::control::leader::Leader::keys_to_reread(&plan) {
            leader_state.reconcile_key(&key, sim.store.kv.get(&key).cloned(), sim.now);
        }
        leader_state.reconciled(&plan);
        sim.store.apply(&plan.txn).expect("carried out late");
        let told = sim.poll(other, &id(1)).expect("read in the record");
        assert!(matches!(told, JobState::Cancelled | JobState::Done));
        assert_eq!(sim.poll(leader, &id(1)), Some(told));
        sim.run_until(10_000, "over", |sim| sim.done(&id(1)));
        assert_eq!(sim.poll(leader, &id(1)), Some(told));
        sim.assert_no_violations();
    }
}

/// Two writes of the same further chunk of finished tasks; the older had no
/// answer and is carried out after the newer. Guards against ends that are
/// lost from the records, so that a new leader runs those tasks again.
#[test]
fn stale_completion_segment_never_replaces_newer_one() {
    let (mut sim, leader) = long_tasks(110, 3);
    sim.submit(job(3, Kind::Array, 9_000));
    sim.run(2_000);
    let done = |sim: &mut Simulation, task: u32| {
        let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
        let ix = leader_state.cluster.job_handle(&id(3)).unwrap();
        leader_state.cluster.job_mut(ix).unwrap().mark_done(task);
        leader_state
            .plan_writes(12)
            .expect("progress is to be written")
    };
    let older = done(&mut sim, 8_500);
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    leader_state.outcome_unknown(&older);
    for key in pathwinch::control::leader::Leader::keys_to_reread(&older) {
        leader_state.reconcile_key(&key, sim.store.kv.get(&key).cloned(), sim.now);
    }
    leader_state.reconciled(&older);
    let newer = done(&mut sim, 8_501);
    let revision = sim.store.apply(&newer.txn).expect("the newer one");
    let leader_state = sim.nodes[leader].leader.as_mut().unwrap();
    leader_state.writes_applied(&newer, revision, sim.now);
    assert!(sim.store.apply(&older.txn).is_err(), "carried out late");
}

/// A machine is back at once and counts its sessions from one; a direct command
/// reaches it before its first report, and then it is cut off. Its lease runs
/// from its own beginning, later than the last answer. Guards against starting
/// the task elsewhere while it runs there (one drawn day of 1,859 showed it).
#[test]
fn tasks_of_restarted_agent_count_until_lease_expiry() {
    let mut sim = Simulation::with_nodes(80, 2, 0.0, 3);
    (sim.run_ms, sim.standbys) = (900_000, false);
    sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
    // One machine is full, the other has room for one more.
    sim.submit(job(1, Kind::Array, 3));
    sim.run_until(10_000, "running", |sim| sim.running(&id(1)) == 3);
    sim.run(3_000);
    let m = (sim.workers.iter().position(|m| m.tasks.len() == 1)).expect("one with room");
    let seq = sim.workers[m].seq;
    sim.run_until(2_000, "a report", |sim| sim.workers[m].seq > seq);
    sim.run(850);
    sim.restart_machine(m);
    sim.submit(job(2, Kind::Array, 1));
    sim.run_until(200, "the order", |sim| !sim.workers[m].tasks.is_empty());
    sim.run(50);
    sim.workers[m].net = Net::Lose;
    let token = sim.leader_token(m);
    assert_eq!(sim.workers[m].token, token, "by a direct order");
    sim.cancel(&id(1));
    sim.run_until(LEASE + 6_000, "elsewhere", |sim| {
        sim.workers[1 - m]
            .tasks
            .iter()
            .any(|t| t.name == format!("{}/0", id(2)))
    });
    sim.assert_no_violations();
    sim.run(3_000);
    sim.assert_no_violations();
}

/// An exclusion was lifted without an answer, and set anew; the first is carried out
/// late. Guards against a leader that counts on an exclusion which is not there.
#[test]
fn exclusion_holds_when_earlier_writes_apply_late() {
    let (mut sim, leader) = long_tasks(90, 3);
    // Not the one that workers try next: it would hand over.
    let other = (leader + 2) % 3;
    let key = records::exclusion_key(&format!("n{other}"));
    sim.partition(other, CutScope::All, Cut::Hold);
    sim.run_until(20_000, "barred", |sim| sim.store.kv.contains_key(&key));
    // It answers for a moment: lifting has no answer, and comes after the next.
    sim.store.late_exclusion_writes.push(12_000);
    sim.end_partitions(other);
    sim.run_until(5_000, "lifting", |sim| {
        sim.store.late_exclusion_writes.is_empty()
    });
    sim.partition(other, CutScope::All, Cut::Hold);
    let peer = if other < leader { other } else { other - 1 };
    let mut counted = 0;
    for _ in 0..400 {
        sim.step();
        if sim.nodes[leader].exclusions.is_excluded(peer, sim.now) {
            counted += 1;
            assert!(sim.store.kv.contains_key(&key), "counted on, and not there");
        }
    }
    assert!(counted > 50, "{counted}");
    sim.assert_no_violations();
}
