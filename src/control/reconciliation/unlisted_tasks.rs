//! Tasks that are assigned to a machine and that it does not list: they are gone, or a start of
//! them was lost, or is still in flight.
//!
//! Owns no state. A task must never be released while a command in flight may still start it.

use super::{
    StatusSource,
    effects::{HeartbeatEffects, TaskChange},
};
use crate::{
    protocol::workers::Heartbeat,
    state::cluster::{Assignment, ClusterState, DirectStart, Machine, MachineHandle, Phase},
};
use std::collections::HashSet;

/// Handles a task in the machine's task list that the heartbeat does not list: the task is
/// gone, or its start command was lost or is still in flight.
pub(super) fn resolve_unlisted_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    task_index: usize,
    heartbeat: &Heartbeat,
    source: StatusSource,
    effects: &mut HeartbeatEffects,
) {
    let Some(assignment) = cluster
        .machine(machine_handle)
        .and_then(|m| m.tasks.get(task_index))
    else {
        return;
    };
    if may_be_started(
        cluster,
        machine_handle,
        task_index,
        heartbeat.acknowledged_token,
    ) {
        if let Some(machine) = cluster.machine_mut(machine_handle) {
            let assignment = &mut machine.tasks[task_index];
            let is_missing = !assignment.direct_start.is_unanswered();
            if is_missing && !assignment.missing {
                effects.task_changes.push(unlisted(assignment, false));
            }
            assignment.missing = is_missing;
        }
        return;
    }
    let was_missing = assignment.missing;
    if assignment.is_live() && !matches!(assignment.phase, Phase::New | Phase::Sent) || was_missing
    {
        effects.task_changes.push(unlisted(assignment, true));
    }
    match assignment.phase {
        // The task had ended and has been reaped.
        Phase::Ended(_) => cluster.unassign(machine_handle, task_index),
        Phase::New | Phase::Sent => {
            // A start in a response can no longer arrive once a later heartbeat was made.
            let response_pending = assignment.phase == Phase::Sent
                && !assignment.direct_start.is_unanswered()
                && (source == StatusSource::DirectCommand
                    || heartbeat.seq <= assignment.sent_with_heartbeat);
            if response_pending {
                return;
            }
            let cancelled = assignment.stop.is_requested();
            if cancelled {
                cluster.unassign(machine_handle, task_index);
                effects.cluster_changed = true;
            } else if let Some(machine) = cluster.machine_mut(machine_handle) {
                let assignment = &mut machine.tasks[task_index];
                let sent_in_response = assignment.phase == Phase::Sent
                    && assignment.direct_start == DirectStart::default();
                effects.lost_commands += u32::from(sent_in_response);
                assignment.direct_start = DirectStart::default();
                assignment.missing = false;
                assignment.phase = Phase::New;
            }
        }
        // The task was listed before and is missing now, in the same incarnation: the agent
        // has restarted.
        _ => {
            cluster.unassign(machine_handle, task_index);
            effects.cluster_changed = true;
        }
    }
}

fn unlisted(assignment: &Assignment, given_up: bool) -> TaskChange {
    TaskChange {
        task: assignment.name.clone(),
        attempt: assignment.attempt,
        phase: None,
        given_up,
    }
}

/// Whether the machine, which has seen `seen_token`, may still carry out a direct start of the
/// assignment at the index.
fn may_be_started(
    cluster: &ClusterState,
    machine_handle: MachineHandle,
    task_index: usize,
    seen_token: u64,
) -> bool {
    let machine = cluster.machine(machine_handle);
    let assignment = machine.and_then(|m| Some((m, m.tasks.get(task_index)?)));
    assignment.is_some_and(|(m, a)| direct_start_pending(a, m, seen_token))
}

fn direct_start_pending(assignment: &Assignment, machine: &Machine, seen_token: u64) -> bool {
    let in_flight = assignment.direct_start.is_unanswered() && machine.command_in_flight;
    in_flight || assignment.direct_start.may_arrive(seen_token)
}

/// Removes the tasks of a machine whose agent has restarted and has seen `token`. Tasks of
/// which the new process may still carry out a direct start stay: incarnations count from one
/// again, so the incarnation that such a command names does not rule it out.
pub(super) fn forget_previous_process(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    token: u64,
) {
    let Some(machine) = cluster.machine(machine_handle) else {
        return;
    };
    let tasks_gone = machine_tasks_where(machine, |assignment| {
        !direct_start_pending(assignment, machine, token)
    });
    remove_tasks(cluster, machine_handle, tasks_gone);
}

/// Removes the tasks that the machine's first heartbeat in this term does not list. The
/// machine has seen this term's token, so commands of an earlier leader are no longer
/// carried out, and no other task of an earlier leader runs there or ever will.
pub(super) fn drop_unlisted_tasks(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    heartbeat: &Heartbeat,
) {
    let Some(machine) = cluster
        .machine(machine_handle)
        .filter(|m| !m.tasks.is_empty())
    else {
        return;
    };
    let listed: HashSet<(&str, u64)> = heartbeat
        .tasks
        .iter()
        .map(|reported| (reported.task.as_str(), reported.attempt))
        .collect();
    let unlisted = machine_tasks_where(machine, |assignment| {
        !listed.contains(&(assignment.name.as_str(), assignment.attempt))
            && !direct_start_pending(assignment, machine, heartbeat.acknowledged_token)
    });
    remove_tasks(cluster, machine_handle, unlisted);
}

/// Returns the indices of the assignments for which `predicate` holds, in ascending order.
fn machine_tasks_where(machine: &Machine, predicate: impl Fn(&Assignment) -> bool) -> Vec<usize> {
    let tasks = machine.tasks.iter().enumerate();
    tasks
        .filter(|(_, a)| predicate(a))
        .map(|(index, _)| index)
        .collect()
}

fn remove_tasks(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    task_indices: Vec<usize>,
) {
    // In reverse order, because a removal moves the last entry to the removed index.
    for task_index in task_indices.into_iter().rev() {
        cluster.unassign(machine_handle, task_index);
    }
}
