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
    let mut w = Simulation::with_nodes(seed, 4, 0.0, nodes);
    w.run_ms = 900_000;
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    w.submit(job(1, Kind::Array, 4));
    w.submit(job(2, Kind::Service, 2));
    w.run_until(20_000, "all running", |w| {
        w.running(&id(1)) == 4 && w.running(&id(2)) == 2
    });
    // Standbys are warm by then, and every start is confirmed.
    w.run(3_000);
    let leader = w.leader().unwrap();
    w.poll(leader, &id(1));
    (w, leader)
}

fn others(w: &Simulation, of: usize) -> Vec<usize> {
    (0..w.nodes.len()).filter(|j| *j != of).collect()
}

/// The state service refuses the leader alone, nor does it reach the other
/// nodes; all workers reach only it. Another leads, and confirms to the user
/// that the job is cancelled.
fn cancel_behind_old_leader(w: &mut Simulation, old: usize) {
    w.store.refused_nodes.insert(old);
    for j in others(w, old) {
        w.partition(j, CutScope::Workers, Cut::Reset);
        w.partition(old, CutScope::Node(j), Cut::Reset);
    }
    w.run_until(9_000, "another leads", |w| {
        w.leader().is_some_and(|i| i != old)
    });
    w.cancel(&id(1));
    // The combination: the user has the answer, the tasks run, and the old
    // leader has not learned that it must step down.
    assert_eq!(w.answered[&id(1)].0, JobState::Cancelled);
    assert_eq!(w.running(&id(1)), 4);
    assert!(w.nodes[old].election.leadership().is_some());
}

/// Who acts, whether it has read the records or not.
fn acting(w: &Simulation) -> Vec<usize> {
    let acts = |i: &usize| w.nodes[*i].alive && w.nodes[*i].election.authority(w.now).is_some();
    (0..w.nodes.len()).filter(acts).collect()
}

/// Through all of it, and what comes after.
fn assert_recovers(w: &mut Simulation) {
    w.run(CANCEL + 20_000);
    w.assert_no_violations();
    w.store.unavailable = false;
    w.store.refused_nodes.clear();
    (0..w.nodes.len()).for_each(|i| w.end_partitions(i));
    w.run_until(60_000, "withdrawn", |w| w.done(&id(1)));
    w.run_until(30_000, "the service serves", |w| w.running(&id(2)) == 2);
    w.assert_no_violations();
}

/// Guards against promises that revive a leader which was replaced: those who
/// knew of its successor ended and are back with no memory.
#[test]
fn replaced_leader_stays_deposed_when_peers_forget_promises() {
    for (seed, nodes) in [(1, 3), (2, 7)] {
        for ends in ["before the outage", "in the outage", "not at all"] {
            let (mut w, old) = long_tasks(seed, nodes);
            cancel_behind_old_leader(&mut w, old);
            w.store.unavailable = ends != "before the outage";
            if ends != "not at all" {
                others(&w, old).into_iter().for_each(|j| w.crash(j, 100));
                w.run(150);
            }
            w.store.unavailable = true;
            // It reaches them again, and they promise.
            w.end_partitions(old);
            w.run(1_000);
            assert!(w.running(&id(1)) > 0, "its tasks run on at first");
            assert!(!acting(&w).contains(&old), "{ends}, {nodes} nodes");
            assert_recovers(&mut w);
        }
    }
}

/// The same where it stands still meanwhile, or a machine hears nothing for a
/// while, or one of the nodes is of a version that gives no evidence.
#[test]
fn replaced_leader_stays_deposed_despite_pause_or_old_nodes() {
    for case in 0..3 {
        let (mut w, old) = long_tasks(10 + case, 3);
        if case == 0 {
            w.old_version_nodes.insert(others(&w, old)[0]);
        }
        cancel_behind_old_leader(&mut w, old);
        match case {
            1 => w.pause_process(old, 3_000),
            2 => w.workers[0].net = Net::SendOnly,
            _ => {}
        }
        w.store.unavailable = true;
        others(&w, old).into_iter().for_each(|j| w.crash(j, 50));
        w.end_partitions(old);
        w.run(6_000);
        w.restore_network(0);
        assert!(acting(&w).is_empty());
        assert_recovers(&mut w);
    }
}

/// Whoever it was, and in spite of all promises: another became leader, wrote
/// that the job is cancelled, and a user was told.
fn cancel_through_new_leader(w: &mut Simulation) {
    let (value, _) = w.store.kv[&job_key(&id(1))].clone();
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
    w.store.apply(&txn).unwrap();
    w.answer_cancelled(&id(1));
}

/// The horizon holds by itself. Guards against a leader that promises alone
/// keep going, when nobody can show that it has not missed a cancellation.
#[test]
fn stale_leader_lets_leases_expire_within_bound() {
    for (seed, nodes) in [(20, 3), (21, 7)] {
        let (mut w, leader) = long_tasks(seed, nodes);
        w.store.unavailable = true;
        w.run(1_000);
        // One after the other they end and are back, and promise again.
        for j in others(&w, leader) {
            w.crash(j, 100);
            w.run(300);
        }
        cancel_through_new_leader(&mut w);
        assert_eq!((acting(&w), w.running(&id(1))), (vec![leader], 4));
        w.run(10_000);
        assert_eq!(acting(&w), [leader], "its authority is unbroken");
        w.run(CANCEL);
        assert_eq!((w.uninformed_step_downs, w.running(&id(1))), (1, 0));
        w.assert_no_violations();
        w.store.kv.remove(LEADER);
        assert_recovers(&mut w);
    }
}

/// Guards against stopping at every outage.
#[test]
fn services_survive_outage_when_all_nodes_stay_up() {
    for (nodes, down_for) in [(3, 20_000), (7, 120_000)] {
        let (mut w, leader) = long_tasks(30, nodes);
        w.store.unavailable = true;
        w.run(down_for);
        assert_eq!(acting(&w), [leader]);
        w.store.unavailable = false;
        w.run(5_000);
        assert_eq!(
            (w.expired_tasks, w.uninformed_step_downs, w.terms),
            (0, 0, 1)
        );
        // Nor does a node that is back at once end it before the horizon.
        w.store.unavailable = true;
        w.run(2_000);
        w.crash(others(&w, leader)[0], 300);
        w.run(14_000);
        w.store.unavailable = false;
        w.run(5_000);
        assert_eq!(
            (w.expired_tasks, w.uninformed_step_downs, w.terms),
            (0, 0, 1)
        );
        w.assert_no_violations();
    }
}

/// The state service answers late, and nobody gives evidence. Guards against
/// renewals that don't count although they were carried out: promises would
/// prolong authority up to the horizon, and all leases run out.
#[test]
fn slow_store_neither_ends_nor_prevents_leadership() {
    for slow in [300, 900, 2_000] {
        let (mut w, leader) = long_tasks(45, 3);
        w.old_version_nodes.extend(others(&w, leader));
        w.store.delay_ms = slow;
        w.run(60_000);
        assert_eq!(
            (w.expired_tasks, w.uninformed_step_downs, w.terms),
            (0, 0, 1),
            "{slow}"
        );
        // Refused alone besides, it gives way, and is followed, if the others
        // can still tell that they are served.
        if slow <= 300 {
            w.store.refused_nodes.insert(leader);
            w.run_until(9_000, "another leads", |w| {
                w.leader().is_some_and(|i| i != leader)
            });
            w.run(15_000);
            assert_eq!(w.running(&id(2)), 2, "{slow}");
        }
        w.assert_no_violations();
    }
}

/// An outage that ends a little before the horizon, and one that ends after it.
#[test]
fn leader_is_replaced_at_horizon_unless_renewed() {
    for (down_for, blind) in [(18_000, 0), (26_000, 1)] {
        let (mut w, leader) = long_tasks(40, 3);
        w.old_version_nodes.extend(others(&w, leader));
        w.store.unavailable = true;
        w.run(down_for);
        w.store.unavailable = false;
        w.run(15_000);
        assert_eq!((w.uninformed_step_downs, w.terms), (blind, 1 + blind));
        w.run_until(30_000, "serves", |w| w.running(&id(2)) == 2);
        w.assert_no_violations();
    }
}

/// The cancellation had no answer, a user read it in the record at another node,
/// and the outage came before the leader could read that. All promise, so that
/// it goes on. Guards against tasks that run on through the outage.
#[test]
fn tasks_stop_in_time_after_indeterminate_cancellation() {
    for (seed, nodes) in [(50, 3), (51, 7)] {
        let (mut w, leader) = long_tasks(seed, nodes);
        let other = others(&w, leader)[0];
        w.store.late_writes.push(200);
        w.request_cancellation(&id(1));
        w.run(600);
        assert_eq!(w.poll(other, &id(1)), Some(JobState::Cancelled));
        w.store.unavailable = true;
        assert_eq!(w.running(&id(1)), 4);
        w.run(CANCEL + 10_000);
        assert_eq!(acting(&w), [leader]);
        assert_eq!((w.running(&id(1)), w.running(&id(2))), (0, 2));
        w.assert_no_violations();
        assert_recovers(&mut w);
    }
}

/// A new leader can't read the records, and answers workers meanwhile, among
/// them a machine that missed the order to stop. Guards against leases that it
/// renews for as long as that lasts.
#[test]
fn leader_without_records_renews_no_leases_for_long() {
    let (mut w, old) = long_tasks(60, 3);
    w.load_ms = 60_000;
    let m = w
        .workers
        .iter()
        .position(|m| m.tasks.iter().any(|t| t.name.starts_with(&id(1))))
        .unwrap();
    w.workers[m].net = Net::Lose;
    w.cancel(&id(1));
    w.run(300);
    w.crash(old, 200);
    w.run_until(9_000, "another acts", |w| !acting(w).is_empty());
    w.store.unavailable = true;
    w.restore_network(m);
    w.run(2_000);
    assert!(w.leader().is_none() && !acting(&w).is_empty());
    assert_eq!(w.workers[m].incarnation, 1, "its lease was renewed");
    assert!(w.running(&id(1)) > 0);
    w.run(CANCEL);
    w.assert_no_violations();
    assert_eq!(w.running(&id(1)), 0);
}

/// A chain's dependents are cancelled with the job that they need; the outage
/// comes before that is recorded and lasts longer than it may take. Guards
/// against calling them queued from memory (`orphaned`).
#[test]
fn dependent_of_cancelled_job_never_queued_during_outage() {
    let (mut w, leader) = long_tasks(70, 3);
    let mut after = job(3, Kind::Array, 2);
    after.dependencies = vec![id(1)];
    w.submit(after);
    w.run(500);
    w.poll(leader, &id(3));
    let asked = w.request_later(0, leader, UserRequest::Cancel(id(1)));
    w.run_until(2_000, "its record", |w| {
        let led = w.nodes[leader].leader.as_ref();
        let status = led.and_then(|l| l.status(&id(1)));
        status.is_some_and(|s| s.state == JobState::Cancelled)
    });
    w.store.unavailable = true;
    assert!(w.store.kv.contains_key(&job_key(&id(3))), "not recorded");
    w.run_until(2_000, "the answer", |w| {
        w.traffic.history[asked].answer.is_some()
    });
    assert_eq!(w.answered[&id(1)].0, JobState::Cancelled);
    let mut answers = 0;
    for _ in 0..30 {
        w.run(2_000);
        let asked: Vec<usize> = (0..3).collect();
        answers += asked
            .iter()
            .filter(|i| w.poll(**i, &id(3)).is_some())
            .count();
        // Others are answered all the while.
        assert!(w.poll(leader, &id(2)).is_some());
    }
    assert_eq!(answers, 0);
    w.store.unavailable = false;
    w.run_until(10_000, "withdrawn", |w| w.done(&id(3)));
    assert_eq!(w.poll(leader, &id(3)), Some(JobState::Cancelled));
    w.assert_no_violations();
    assert!(w.expired_tasks == 0 && w.now > LEASE);
}

/// What ends a job had no answer, the record does not show it when it is read,
/// and it is carried out later: another node reads it, and tells a user.
/// Guards against the leader calling the job unfinished from memory after that.
#[test]
fn indeterminate_completion_is_never_answered_from_memory() {
    for withdrawn in [true, false] {
        let (mut w, leader) = long_tasks(100, 3);
        let other = others(&w, leader)[0];
        if withdrawn {
            w.request_cancellation(&id(1));
        } else {
            let l = w.nodes[leader].leader.as_mut().unwrap();
            let ix = l.cluster.job_handle(&id(1)).unwrap();
            (0..4).for_each(|t| l.cluster.job_mut(ix).unwrap().mark_done(t));
            w.finished.extend((0..4).map(|t| format!("{}/{t}", id(1))));
        }
        let l = w.nodes[leader].leader.as_mut().unwrap();
        let plan = l.plan_writes(12).expect("its end is to be written");
        l.outcome_unknown(&plan);
        for key in pathwinch::control::leader::Leader::keys_to_reread(&plan) {
            l.reconcile_key(&key, w.store.kv.get(&key).cloned(), w.now);
        }
        l.reconciled(&plan);
        w.store.apply(&plan.txn).expect("carried out late");
        let told = w.poll(other, &id(1)).expect("read in the record");
        assert!(matches!(told, JobState::Cancelled | JobState::Done));
        assert_eq!(w.poll(leader, &id(1)), Some(told));
        w.run_until(10_000, "over", |w| w.done(&id(1)));
        assert_eq!(w.poll(leader, &id(1)), Some(told));
        w.assert_no_violations();
    }
}

/// Two writes of the same further chunk of finished tasks; the older had no
/// answer and is carried out after the newer. Guards against ends that are
/// lost from the records, so that a new leader runs those tasks again.
#[test]
fn stale_completion_segment_never_replaces_newer_one() {
    let (mut w, leader) = long_tasks(110, 3);
    w.submit(job(3, Kind::Array, 9_000));
    w.run(2_000);
    let done = |w: &mut Simulation, task: u32| {
        let l = w.nodes[leader].leader.as_mut().unwrap();
        let ix = l.cluster.job_handle(&id(3)).unwrap();
        l.cluster.job_mut(ix).unwrap().mark_done(task);
        l.plan_writes(12).expect("progress is to be written")
    };
    let older = done(&mut w, 8_500);
    let l = w.nodes[leader].leader.as_mut().unwrap();
    l.outcome_unknown(&older);
    for key in pathwinch::control::leader::Leader::keys_to_reread(&older) {
        l.reconcile_key(&key, w.store.kv.get(&key).cloned(), w.now);
    }
    l.reconciled(&older);
    let newer = done(&mut w, 8_501);
    let revision = w.store.apply(&newer.txn).expect("the newer one");
    let l = w.nodes[leader].leader.as_mut().unwrap();
    l.writes_applied(&newer, revision, w.now);
    assert!(w.store.apply(&older.txn).is_err(), "carried out late");
}

/// A machine is back at once and counts its sessions from one; a direct command
/// reaches it before its first report, and then it is cut off. Its lease runs
/// from its own beginning, later than the last answer. Guards against starting
/// the task elsewhere while it runs there (one drawn day of 1,859 showed it).
#[test]
fn tasks_of_restarted_agent_count_until_lease_expiry() {
    let mut w = Simulation::with_nodes(80, 2, 0.0, 3);
    (w.run_ms, w.standbys) = (900_000, false);
    w.run_until(10_000, "a leader", |w| w.leader().is_some());
    // One machine is full, the other has room for one more.
    w.submit(job(1, Kind::Array, 3));
    w.run_until(10_000, "running", |w| w.running(&id(1)) == 3);
    w.run(3_000);
    let m = (w.workers.iter().position(|m| m.tasks.len() == 1)).expect("one with room");
    let seq = w.workers[m].seq;
    w.run_until(2_000, "a report", |w| w.workers[m].seq > seq);
    w.run(850);
    w.restart_machine(m);
    w.submit(job(2, Kind::Array, 1));
    w.run_until(200, "the order", |w| !w.workers[m].tasks.is_empty());
    w.run(50);
    w.workers[m].net = Net::Lose;
    let token = w.leader_token(m);
    assert_eq!(w.workers[m].token, token, "by a direct order");
    w.cancel(&id(1));
    w.run_until(LEASE + 6_000, "elsewhere", |w| {
        w.workers[1 - m]
            .tasks
            .iter()
            .any(|t| t.name == format!("{}/0", id(2)))
    });
    w.assert_no_violations();
    w.run(3_000);
    w.assert_no_violations();
}

/// An exclusion was lifted without an answer, and set anew; the first is carried out
/// late. Guards against a leader that counts on an exclusion which is not there.
#[test]
fn exclusion_holds_when_earlier_writes_apply_late() {
    let (mut w, leader) = long_tasks(90, 3);
    // Not the one that workers try next: it would hand over.
    let other = (leader + 2) % 3;
    let key = records::exclusion_key(&format!("n{other}"));
    w.partition(other, CutScope::All, Cut::Hold);
    w.run_until(20_000, "barred", |w| w.store.kv.contains_key(&key));
    // It answers for a moment: lifting has no answer, and comes after the next.
    w.store.late_exclusion_writes.push(12_000);
    w.end_partitions(other);
    w.run_until(5_000, "lifting", |w| {
        w.store.late_exclusion_writes.is_empty()
    });
    w.partition(other, CutScope::All, Cut::Hold);
    let peer = if other < leader { other } else { other - 1 };
    let mut counted = 0;
    for _ in 0..400 {
        w.step();
        if w.nodes[leader].exclusions.is_excluded(peer, w.now) {
            counted += 1;
            assert!(w.store.kv.contains_key(&key), "counted on, and not there");
        }
    }
    assert!(counted > 50, "{counted}");
    w.assert_no_violations();
}
