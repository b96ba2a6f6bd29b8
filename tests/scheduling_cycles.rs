//! Stories of passes of placement that are interrupted: what happens in
//! between is taken in, and nobody is served out of order.

mod leader_fixtures;

use leader_fixtures::{
    CORES, accept, accept_with_cores, accept_with_priority, record, report, report_in_term, unheard,
};
use pathwinch::{
    control::leader::Leader,
    protocol::workers::{ExitReason, TaskState, TaskStatus},
    state::cluster::{JobHandle, Machine},
};
use std::collections::BTreeSet;

const MACHINES: usize = 40;
/// Steps that a pass makes before reports are answered.
const STEPS: u32 = 1_000;

/// A leader that has heard all its machines, which are empty.
fn leader() -> Leader {
    let mut l = unheard(1, MACHINES);
    l.finish_loading(0);
    for n in 0..MACHINES {
        assert!(l.on_heartbeat(&report(n, 1), 100).is_some());
    }
    l.tick(100, 100);
    l
}

/// The machine of a job of one task, alone there, reports its end.
fn end_task(l: &mut Leader, job: JobHandle) {
    let has_it = |ix: &u32| {
        let m = machine_at(l, *ix);
        m.tasks.iter().any(|a| a.job == Some(job))
    };
    let ix = (0..MACHINES as u32).find(has_it).unwrap();
    let task = &machine_at(l, ix).tasks[0];
    let mut ended = report(ix as usize, 2);
    ended.tasks.push(TaskStatus {
        task: task.name.clone(),
        attempt: task.attempt,
        state: TaskState::Exited,
        exit_reason: Some(ExitReason::Done),
        checkpointed: false,
    });
    assert!(l.on_heartbeat(&ended, 215).is_some());
}

/// The machine with this number, which is also its index.
fn machine_at(l: &Leader, number: u32) -> &Machine {
    let handle = l.cluster.machine_handle_at(number).unwrap();
    l.cluster.machine(handle).unwrap()
}

fn placed(l: &Leader, job: JobHandle) -> u32 {
    l.cluster.job(job).map_or(0, |j| j.live_count)
}

#[test]
fn long_scheduling_cycle_yields_and_keeps_arrival_order() {
    let mut l = leader();
    let first = accept(&mut l, 1, "array", 1_500);
    let second = accept(&mut l, 2, "array", 900);
    l.tick(200, 200);
    assert!(placed(&l, first) < STEPS && placed(&l, first) > STEPS / 2);
    assert_eq!(placed(&l, second), 0, "the earlier job has its turn");
    assert!(l.has_work(), "the loop comes back at once");
    let answer = l.on_heartbeat(&report(3, 2), 210).unwrap();
    assert!(!answer.commands.is_empty(), "what was placed is started");
    // A job that comes meanwhile is served by the pass after this one.
    let third = accept(&mut l, 3, "array", 10);
    let mut rounds = 0;
    while placed(&l, third) < 10 {
        let before = placed(&l, second);
        l.tick(220 + rounds, 220 + rounds);
        assert!(placed(&l, second) == before || placed(&l, first) == 1_500);
        assert!(placed(&l, third) == 0 || placed(&l, second) == 900);
        rounds += 1;
    }
    assert_eq!(rounds, 3, "two for what was left, one for what came");
}

#[test]
fn interrupted_cycle_skips_lost_machine_and_cancelled_job() {
    let mut l = leader();
    let first = accept(&mut l, 1, "array", 1_500);
    let second = accept(&mut l, 2, "array", 900);
    let third = accept(&mut l, 3, "array", 900);
    l.tick(200, 200);
    assert!(placed(&l, first) < 1_500);
    // The machine that would take the next task is to be taken away.
    let next = (0..MACHINES as u32)
        .filter(|ix| machine_at(&l, *ix).live_tasks() < CORES)
        .max_by_key(|ix| machine_at(&l, *ix).live_tasks())
        .unwrap();
    let had = machine_at(&l, next).live_tasks();
    let mut leaving = report(next as usize, 2);
    leaving.reclaim_in_s = Some(60.0);
    assert!(l.on_heartbeat(&leaving, 210).is_some());
    l.cancel("j-000002");
    for n in 0..5 {
        l.tick(220 + n, 220 + n);
    }
    assert_eq!(placed(&l, second), 0);
    assert_eq!((placed(&l, first), placed(&l, third)), (1_500, 900));
    assert!(machine_at(&l, next).live_tasks() <= had);
}

/// Guards against a place in the order that a later job inherits with the
/// index of one that is gone.
#[test]
fn job_reusing_index_waits_its_own_turn() {
    let mut l = leader();
    let first = accept(&mut l, 1, "array", 1_500);
    let second = accept(&mut l, 2, "array", 900);
    let third = accept(&mut l, 3, "array", 900);
    l.tick(200, 200);
    assert!(placed(&l, first) < 1_500);
    l.cluster.remove_job(second);
    let late = accept(&mut l, 4, "array", 900);
    assert_eq!(late.index(), second.index(), "its index is used again");
    assert!(l.cluster.job(second).is_none());
    let mut now = 220;
    while placed(&l, late) == 0 {
        l.tick(now, now);
        now += 1;
        assert!(now < 240, "it has its turn");
    }
    assert_eq!(placed(&l, third), 900, "the earlier one was served first");
}

#[test]
fn gang_placement_stays_atomic_when_machines_leave() {
    let mut l = leader();
    let array = accept(&mut l, 1, "array", 1_500);
    let gang = accept(&mut l, 2, "gang", 2_500);
    l.tick(200, 200);
    assert_eq!(placed(&l, gang), 0);
    // One machine less, and 3,900 cores are not enough for both.
    let mut leaving = report(MACHINES - 1, 2);
    leaving.reclaim_in_s = Some(60.0);
    assert!(l.on_heartbeat(&leaving, 210).is_some());
    for n in 0..6 {
        l.tick(220 + n, 220 + n);
        assert_eq!(placed(&l, gang), 0, "round {n}");
    }
    assert_eq!(placed(&l, array), 1_500);
    let small = accept(&mut l, 3, "gang", 2_400);
    for n in 0..4 {
        l.tick(230 + n, 230 + n);
        assert!([0, 2_400].contains(&placed(&l, small)), "round {n}");
    }
    assert_eq!(placed(&l, small), 2_400);
}

/// Guards against room that goes to whoever is next in a pass that was
/// interrupted, past an earlier job that had found none.
#[test]
fn capacity_freed_mid_cycle_goes_to_earliest_job() {
    let mut l = leader();
    let wide = accept_with_cores(&mut l, 1, "array", 1, CORES as f64);
    accept_with_cores(&mut l, 2, "array", MACHINES as u32 - 1, 60.0);
    l.tick(200, 200);
    assert_eq!(placed(&l, wide), 1, "one machine is taken whole");
    // 40 cores are left on each of the others.
    let waits = accept_with_cores(&mut l, 3, "array", 1, CORES as f64);
    let many = accept(&mut l, 4, "array", 40 * (MACHINES as u32 - 1) + 50);
    l.tick(210, 210);
    assert!(placed(&l, many) > 900 && placed(&l, many) < 1_000);
    // The machine that was taken whole falls free before the pass is over.
    end_task(&mut l, wide);
    for now in 220..226 {
        l.tick(now, now);
    }
    assert_eq!(placed(&l, waits), 1);
    assert_eq!(placed(&l, many), 40 * (MACHINES as u32 - 1));
}

/// Guards against room that is held for a gang, past an earlier job to which it
/// was not offered yet, as it appeared in a pass that was interrupted.
#[test]
fn capacity_freed_mid_cycle_skips_later_gang() {
    let mut l = leader();
    let wide = accept_with_cores(&mut l, 1, "array", 1, CORES as f64);
    accept_with_cores(&mut l, 2, "array", MACHINES as u32 - 1, 60.0);
    l.tick(200, 200);
    let half = CORES as f64 / 2.0;
    let waits = accept_with_priority(&mut l, 3, "array", "prod", 1, CORES as f64);
    let gang = accept_with_priority(&mut l, 4, "gang", "urgent", 2, half);
    let many = accept(&mut l, 5, "array", 40 * (MACHINES as u32 - 1));
    l.tick(210, 210);
    assert!(placed(&l, many) < 1_000, "the pass is interrupted");
    end_task(&mut l, wide);
    for now in 220..226 {
        l.tick(now, now);
    }
    assert_eq!((placed(&l, waits), placed(&l, gang)), (1, 0));
}

#[test]
fn interrupted_cycle_finishes_once_after_failover() {
    let mut first = leader();
    let job = accept(&mut first, 1, "array", 1_500);
    first.tick(200, 200);
    assert!(first.has_work() && placed(&first, job) < 1_000);
    let mut next = unheard(2, MACHINES);
    let job = next.load_job(record(1, "array", "normal", 1_500, 1.0), 1, 0);
    next.finish_loading(0);
    for n in 0..MACHINES {
        let mut report = report_in_term(2, n, 9);
        let placed = &machine_at(&first, n as u32).tasks;
        report.tasks.extend(placed.iter().map(|a| TaskStatus {
            task: a.name.clone(),
            attempt: a.attempt,
            state: TaskState::Running,
            exit_reason: None,
            checkpointed: false,
        }));
        assert!(next.on_heartbeat(&report, 300).is_some());
    }
    for now in 300..304 {
        next.tick(now, now);
    }
    let all = next.cluster.each_machine().flat_map(|m| &m.tasks);
    let all: Vec<&str> = all.map(|a| a.name.as_str()).collect();
    let each: BTreeSet<&str> = all.iter().copied().collect();
    assert_eq!((each.len(), all.len()), (1_500, 1_500));
    assert_eq!(placed(&next, job), 1_500);
}
