//! Tasks that a machine lists: their phases are taken over, and those that are not assigned to the
//! machine are adopted, or kept to be stopped or reaped.
//!
//! Owns no state. An attempt that is listed as live counts, whatever was concluded of it before.

use super::effects::{
    ConfirmedTask, EndedTask, HeartbeatEffects, RestartedAttempt, TaskChange, UnassignedHandling,
};
use crate::{
    protocol::{
        users::Kind,
        workers::{ExitReason, TaskState, TaskStatus, parse_task_name},
    },
    state::{
        Millis,
        cluster::{Assignment, ClusterState, DirectStart, MachineHandle, Phase, Placement},
    },
};

pub(super) fn phase_of(reported: &TaskStatus) -> Phase {
    match reported.state {
        TaskState::Fetching => Phase::Fetching,
        TaskState::WaitingForGang => Phase::Waiting,
        TaskState::Running => Phase::Running,
        TaskState::Saving => Phase::Saving,
        TaskState::Exited => Phase::Ended(reported.exit_reason.unwrap_or(ExitReason::Other)),
    }
}

/// Applies the reported state of a task in the machine's task list.
pub(super) fn update_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    task_index: usize,
    reported: &TaskStatus,
    effects: &mut HeartbeatEffects,
) {
    let phase = phase_of(reported);
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return;
    };
    let assignment = &mut machine.tasks[task_index];
    assignment.missing = false;
    // A task that was reported running only once may be about to fail, so a second report is
    // required.
    let running_again = phase == Phase::Running && assignment.phase == phase;
    let confirmed = !assignment.seen_running
        && assignment.is_live()
        && (running_again || phase == Phase::Ended(ExitReason::Done));
    if confirmed {
        effects.confirmed_running.push(ConfirmedTask {
            job: assignment.job,
            since: assignment.since,
        });
        if let Some(machine) = cluster.machine_mut(machine_handle) {
            machine.tasks[task_index].seen_running = true;
        }
    }
    let Some(assignment) = cluster
        .machine(machine_handle)
        .and_then(|m| m.tasks.get(task_index))
    else {
        return;
    };
    if assignment.phase == phase {
        return;
    }
    let (job, task) = (assignment.job, assignment.task);
    if let Phase::Ended(ended) = assignment.phase {
        // An attempt ends once for each time that it is started, so it has been started again.
        // It may have completed since.
        if !phase.is_live() && phase != Phase::Ended(ExitReason::Done) {
            return;
        }
        effects.restarted_attempts.push(RestartedAttempt {
            task: reported.task.clone(),
            attempt: reported.attempt,
            ended,
            phase,
        });
        cluster.mark_live_again(machine_handle, task_index);
    }
    if phase == Phase::Running {
        effects.started_jobs.extend(job);
    }
    if let Phase::Ended(reason) = phase {
        let ended = job.map(|job| EndedTask { job, task, reason });
        effects.ended_tasks.extend(ended);
    }
    effects.cluster_changed = true;
    effects.task_changes.push(TaskChange {
        task: reported.task.clone(),
        attempt: reported.attempt,
        phase: Some(phase),
        given_up: false,
    });
    cluster.set_phase(machine_handle, task_index, phase);
}

/// Adds a reported task that is not in the machine's task list, as an earlier leader started
/// it. An attempt of this term may have been started directly under any token that the machine
/// was given so far; commands of earlier terms are not carried out any more.
pub(super) fn adopt_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    reported: &TaskStatus,
    term_floor: u64,
    now: Millis,
) -> Option<UnassignedHandling> {
    add_reported_task(cluster, machine_handle, reported, now);
    let machine = cluster.machine_mut(machine_handle)?;
    let latest_token = term_floor | machine.token_epoch;
    let added = machine.tasks.last_mut();
    let added = added.filter(|a| a.attempt == reported.attempt && a.name == reported.task)?;
    if reported.attempt >= term_floor {
        added.direct_start = DirectStart::up_to(latest_token);
    }
    Some(match (added.is_live(), added.stop.is_requested()) {
        (false, _) => UnassignedHandling::Reaped,
        (true, true) => UnassignedHandling::Stopped,
        (true, false) => UnassignedHandling::Adopted,
    })
}

/// Adds a reported task to its job. Without a job or a free place in its job, the task is kept
/// as an orphan.
fn add_reported_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    reported: &TaskStatus,
    now: Millis,
) {
    let (name, attempt) = (reported.task.as_str(), reported.attempt);
    let phase = phase_of(reported);
    let job_and_task =
        parse_task_name(name).and_then(|(id, task)| Some((cluster.job_handle(id)?, task)));
    let Some((job_handle, task)) = job_and_task else {
        cluster.assign_orphan(machine_handle, name, attempt, phase, now);
        return;
    };
    let Some(job) = cluster.job_mut(job_handle) else {
        return;
    };
    let valid_task = task < job.spec.tasks;
    if phase == Phase::Ended(ExitReason::Done) && job.spec.kind != Kind::Service && valid_task {
        job.mark_done(task);
    }
    if phase.is_live() && valid_task && job.placement(task) == Placement::Unplaced {
        let to_stop = job.end_requested();
        cluster.assign(job_handle, task, machine_handle, attempt, phase, now);
        if to_stop && let Some(assignment) = last_assignment(cluster, machine_handle) {
            assignment.stop.request_immediate();
        }
        return;
    }
    if phase.is_live() && valid_task {
        cluster.assign_duplicate(job_handle, task, machine_handle, attempt, phase, now);
        return;
    }
    cluster.assign_orphan(machine_handle, name, attempt, phase, now);
    // An ended task keeps its job, so that it is reaped only once its end is recorded.
    if !phase.is_live()
        && let Some(assignment) = last_assignment(cluster, machine_handle)
    {
        assignment.job = Some(job_handle);
        assignment.task = task;
    }
}

fn last_assignment(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
) -> Option<&mut Assignment> {
    cluster
        .machine_mut(machine_handle)
        .and_then(|m| m.tasks.last_mut())
}
