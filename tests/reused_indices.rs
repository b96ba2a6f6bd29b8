//! Jobs and machines whose index in the cluster state is reused: what the leader
//! noted about the first one must never count for its successor.

mod leader_fixtures;

use leader_fixtures::{accept, accept_with_priority, leader_without_heartbeats, machine, report};
use pathwinch::{
    control::leader::Leader,
    protocol::workers::{ExitReason, TaskState, TaskStatus},
};

/// Maximum number of changes in one write.
const MAX_CHANGES: usize = 12;

/// A leader with one empty machine.
fn leader() -> Leader {
    let mut leader_state = leader_without_heartbeats(1, 1);
    leader_state.finish_loading(0);
    assert!(leader_state.on_heartbeat(&report(0, 1), 100).is_some());
    leader_state.tick(100, 100);
    leader_state
}

/// Sends the machine's heartbeat, which reports all its tasks in this state.
fn report_tasks(leader_state: &mut Leader, number: usize, tick: u64, state: TaskState, now: u64) {
    let handle = leader_state
        .cluster
        .machine_handle(&machine(number))
        .unwrap();
    let mut heartbeat = report(number, tick);
    let tasks = leader_state.cluster.machine(handle).unwrap().tasks.iter();
    heartbeat.tasks.extend(tasks.map(|assignment| TaskStatus {
        task: assignment.name.clone(),
        attempt: assignment.attempt,
        state,
        exit_reason: (state == TaskState::Exited).then_some(ExitReason::Error),
        checkpointed: false,
    }));
    assert!(leader_state.on_heartbeat(&heartbeat, now).is_some());
}

/// Adds a machine that is up and registered.
fn add_machine(leader_state: &mut Leader, number: usize, now: u64) {
    assert!(leader_state.on_heartbeat(&report(number, 1), now).is_some());
    let plan = leader_state.plan_writes(MAX_CHANGES).unwrap();
    leader_state.writes_applied(&plan, 100, now);
}

fn is_suspected(leader_state: &Leader, id: &str) -> bool {
    let handle = leader_state.cluster.job_handle(id).unwrap();
    leader_state.cluster.job(handle).unwrap().failures.suspected
}

/// A job fails on a machine that is then returned, and a new machine reuses its
/// index. Guards against suspecting the job of being faulty because tasks of other
/// jobs run on the new machine, where the job never ran: a suspected job is held
/// back for up to a minute at a time. The fault was seen in a log in which a job
/// became suspected when another job's task was reported running on the new machine.
#[test]
fn failure_on_returned_machine_is_not_held_against_its_successor() {
    let mut leader_state = leader();
    accept(&mut leader_state, 1, "array", 1);
    leader_state.tick(200, 200);
    report_tasks(&mut leader_state, 0, 2, TaskState::Exited, 210);
    leader_state.on_release_response(&[machine(0)], true, 220);
    add_machine(&mut leader_state, 1, 230);
    accept_with_priority(&mut leader_state, 2, "array", "urgent", 1, 100.0);
    leader_state.tick(240, 240);
    report_tasks(&mut leader_state, 1, 2, TaskState::Running, 250);
    report_tasks(&mut leader_state, 1, 3, TaskState::Running, 260);
    assert!(!is_suspected(&leader_state, "j-000001"));
}

/// Guards against a machine that stays reserved for the next job that reuses the
/// index of a finished job.
#[test]
fn reservation_ends_with_its_job() {
    let mut leader_state = leader();
    let first = accept(&mut leader_state, 1, "array", 1);
    let machine_handle = leader_state.cluster.machine_handle(&machine(0)).unwrap();
    leader_state
        .cluster
        .machine_mut(machine_handle)
        .unwrap()
        .reserved_for = Some((first, 10_000));
    leader_state.cluster.remove_job(first);
    let second = accept(&mut leader_state, 2, "array", 1);
    assert_eq!(second.index(), first.index());
    let machine = leader_state.cluster.machine(machine_handle).unwrap();
    assert!(!machine.is_reserved_for(second, 200));
    assert_eq!(machine.reserved_for, None);
}
