//! Scheduling cycles that are interrupted so that heartbeats can be answered: a resumed
//! cycle applies what changed in between, and serves no job out of order.

mod leader_fixtures;

use leader_fixtures::{
    CORES, accept, accept_with_cores, accept_with_priority, leader_without_heartbeats, record,
    report, report_in_term,
};
use pathwinch::{
    control::leader::Leader,
    protocol::workers::{ExitReason, TaskState, TaskStatus},
    state::cluster::{JobHandle, Machine},
};
use std::collections::BTreeSet;

const MACHINES: usize = 40;
/// Steps that a scheduling cycle makes before heartbeats are answered.
const MAX_CYCLE_STEPS: u32 = 1_000;

/// A leader that has received a heartbeat of each of its machines; all are empty.
fn settled_leader() -> Leader {
    let mut leader = leader_without_heartbeats(1, MACHINES);
    leader.finish_loading(0);
    for n in 0..MACHINES {
        assert!(leader.on_heartbeat(&report(n, 1), 100).is_some());
    }
    leader.tick(100, 100);
    leader
}

/// The machine that runs only the single task of `job` reports that the task is done.
fn end_task(leader: &mut Leader, job: JobHandle) {
    let runs_job = |number: &u32| {
        let m = machine_at(leader, *number);
        m.tasks.iter().any(|a| a.job == Some(job))
    };
    let number = (0..MACHINES as u32).find(runs_job).unwrap();
    let task = &machine_at(leader, number).tasks[0];
    let mut ended = report(number as usize, 2);
    ended.tasks.push(TaskStatus {
        task: task.name.clone(),
        attempt: task.attempt,
        state: TaskState::Exited,
        exit_reason: Some(ExitReason::Done),
        checkpointed: false,
    });
    assert!(leader.on_heartbeat(&ended, 215).is_some());
}

/// The machine with this number, which is also its index.
fn machine_at(leader: &Leader, number: u32) -> &Machine {
    let handle = leader.cluster.machine_handle_at(number).unwrap();
    leader.cluster.machine(handle).unwrap()
}

/// Number of tasks of the job that are on a machine.
fn placed_tasks(leader: &Leader, job: JobHandle) -> u32 {
    leader.cluster.job(job).map_or(0, |j| j.live_count)
}

#[test]
fn long_scheduling_cycle_yields_and_keeps_arrival_order() {
    let mut leader = settled_leader();
    let first = accept(&mut leader, 1, "array", 1_500);
    let second = accept(&mut leader, 2, "array", 900);
    leader.tick(200, 200);
    assert!(
        placed_tasks(&leader, first) < MAX_CYCLE_STEPS
            && placed_tasks(&leader, first) > MAX_CYCLE_STEPS / 2
    );
    assert_eq!(
        placed_tasks(&leader, second),
        0,
        "the earlier job is served first"
    );
    assert!(
        leader.has_work(),
        "the interrupted cycle is resumed at once"
    );
    let answer = leader.on_heartbeat(&report(3, 2), 210).unwrap();
    assert!(
        !answer.commands.is_empty(),
        "the tasks placed so far are started"
    );
    // A job that is accepted during a cycle is served in the next one.
    let third = accept(&mut leader, 3, "array", 10);
    let mut rounds = 0;
    while placed_tasks(&leader, third) < 10 {
        let before = placed_tasks(&leader, second);
        leader.tick(220 + rounds, 220 + rounds);
        assert!(placed_tasks(&leader, second) == before || placed_tasks(&leader, first) == 1_500);
        assert!(placed_tasks(&leader, third) == 0 || placed_tasks(&leader, second) == 900);
        rounds += 1;
    }
    assert_eq!(
        rounds, 3,
        "two rounds for the rest of the cycle, one for the new job"
    );
}

#[test]
fn interrupted_cycle_skips_lost_machine_and_cancelled_job() {
    let mut leader = settled_leader();
    let first = accept(&mut leader, 1, "array", 1_500);
    let second = accept(&mut leader, 2, "array", 900);
    let third = accept(&mut leader, 3, "array", 900);
    leader.tick(200, 200);
    assert!(placed_tasks(&leader, first) < 1_500);
    // The machine that would get the next task is announced to be reclaimed.
    let next_machine = (0..MACHINES as u32)
        .filter(|ix| machine_at(&leader, *ix).live_tasks() < CORES)
        .max_by_key(|ix| machine_at(&leader, *ix).live_tasks())
        .unwrap();
    let tasks_before = machine_at(&leader, next_machine).live_tasks();
    let mut leaving = report(next_machine as usize, 2);
    leaving.reclaim_in_s = Some(60.0);
    assert!(leader.on_heartbeat(&leaving, 210).is_some());
    leader.cancel("j-000002");
    for n in 0..5 {
        leader.tick(220 + n, 220 + n);
    }
    assert_eq!(placed_tasks(&leader, second), 0);
    assert_eq!(
        (placed_tasks(&leader, first), placed_tasks(&leader, third)),
        (1_500, 900)
    );
    assert!(machine_at(&leader, next_machine).live_tasks() <= tasks_before);
}

/// Guards against a new job that reuses the index of a removed job and so takes its
/// place in the order of an interrupted cycle.
#[test]
fn job_reusing_index_waits_its_own_turn() {
    let mut leader = settled_leader();
    let first = accept(&mut leader, 1, "array", 1_500);
    let second = accept(&mut leader, 2, "array", 900);
    let third = accept(&mut leader, 3, "array", 900);
    leader.tick(200, 200);
    assert!(placed_tasks(&leader, first) < 1_500);
    leader.cluster.remove_job(second);
    let late = accept(&mut leader, 4, "array", 900);
    assert_eq!(late.index(), second.index(), "the index is reused");
    assert!(leader.cluster.job(second).is_none());
    let mut now = 220;
    while placed_tasks(&leader, late) == 0 {
        leader.tick(now, now);
        now += 1;
        assert!(now < 240, "the late job was not served");
    }
    assert_eq!(
        placed_tasks(&leader, third),
        900,
        "the earlier job is served first"
    );
}

#[test]
fn gang_placement_stays_atomic_when_machines_leave() {
    let mut leader = settled_leader();
    let array = accept(&mut leader, 1, "array", 1_500);
    let gang = accept(&mut leader, 2, "gang", 2_500);
    leader.tick(200, 200);
    assert_eq!(placed_tasks(&leader, gang), 0);
    // With one machine less, 3,900 cores are not enough for both jobs.
    let mut leaving = report(MACHINES - 1, 2);
    leaving.reclaim_in_s = Some(60.0);
    assert!(leader.on_heartbeat(&leaving, 210).is_some());
    for n in 0..6 {
        leader.tick(220 + n, 220 + n);
        assert_eq!(placed_tasks(&leader, gang), 0, "round {n}");
    }
    assert_eq!(placed_tasks(&leader, array), 1_500);
    let small = accept(&mut leader, 3, "gang", 2_400);
    for n in 0..4 {
        leader.tick(230 + n, 230 + n);
        assert!(
            [0, 2_400].contains(&placed_tasks(&leader, small)),
            "round {n}"
        );
    }
    assert_eq!(placed_tasks(&leader, small), 2_400);
}

/// Guards against a resumed cycle that gives capacity freed in between to the next job
/// in the order, past an earlier job that had found none.
#[test]
fn capacity_freed_mid_cycle_goes_to_earliest_job() {
    let mut leader = settled_leader();
    let whole_machine = accept_with_cores(&mut leader, 1, "array", 1, CORES as f64);
    accept_with_cores(&mut leader, 2, "array", MACHINES as u32 - 1, 60.0);
    leader.tick(200, 200);
    assert_eq!(
        placed_tasks(&leader, whole_machine),
        1,
        "the first job takes a whole machine"
    );
    // 40 cores are left on each of the other machines.
    let waiting = accept_with_cores(&mut leader, 3, "array", 1, CORES as f64);
    let small_tasks = accept(&mut leader, 4, "array", 40 * (MACHINES as u32 - 1) + 50);
    leader.tick(210, 210);
    assert!(placed_tasks(&leader, small_tasks) > 900 && placed_tasks(&leader, small_tasks) < 1_000);
    // The machine that the first job took becomes free before the cycle is over.
    end_task(&mut leader, whole_machine);
    for now in 220..226 {
        leader.tick(now, now);
    }
    assert_eq!(placed_tasks(&leader, waiting), 1);
    assert_eq!(
        placed_tasks(&leader, small_tasks),
        40 * (MACHINES as u32 - 1)
    );
}

/// Guards against capacity that is freed while a cycle is interrupted and reserved for
/// a gang, although it has not been offered to an earlier job yet.
#[test]
fn capacity_freed_mid_cycle_skips_later_gang() {
    let mut leader = settled_leader();
    let whole_machine = accept_with_cores(&mut leader, 1, "array", 1, CORES as f64);
    accept_with_cores(&mut leader, 2, "array", MACHINES as u32 - 1, 60.0);
    leader.tick(200, 200);
    let half = CORES as f64 / 2.0;
    let waiting = accept_with_priority(&mut leader, 3, "array", "prod", 1, CORES as f64);
    let gang = accept_with_priority(&mut leader, 4, "gang", "urgent", 2, half);
    let small_tasks = accept(&mut leader, 5, "array", 40 * (MACHINES as u32 - 1));
    leader.tick(210, 210);
    assert!(
        placed_tasks(&leader, small_tasks) < 1_000,
        "the cycle is interrupted"
    );
    end_task(&mut leader, whole_machine);
    for now in 220..226 {
        leader.tick(now, now);
    }
    assert_eq!(
        (placed_tasks(&leader, waiting), placed_tasks(&leader, gang)),
        (1, 0)
    );
}

#[test]
fn interrupted_cycle_finishes_once_after_failover() {
    let mut first = settled_leader();
    let job = accept(&mut first, 1, "array", 1_500);
    first.tick(200, 200);
    assert!(first.has_work() && placed_tasks(&first, job) < 1_000);
    let mut new_leader = leader_without_heartbeats(2, MACHINES);
    let job = new_leader.load_job(record(1, "array", "normal", 1_500, 1.0), 1, 0);
    new_leader.finish_loading(0);
    for n in 0..MACHINES {
        let mut report = report_in_term(2, n, 9);
        let running = &machine_at(&first, n as u32).tasks;
        report.tasks.extend(running.iter().map(|a| TaskStatus {
            task: a.name.clone(),
            attempt: a.attempt,
            state: TaskState::Running,
            exit_reason: None,
            checkpointed: false,
        }));
        assert!(new_leader.on_heartbeat(&report, 300).is_some());
    }
    for now in 300..304 {
        new_leader.tick(now, now);
    }
    let all = new_leader.cluster.machines().flat_map(|m| &m.tasks);
    let all: Vec<&str> = all.map(|a| a.name.as_str()).collect();
    let distinct: BTreeSet<&str> = all.iter().copied().collect();
    assert_eq!((distinct.len(), all.len()), (1_500, 1_500));
    assert_eq!(placed_tasks(&new_leader, job), 1_500);
}
