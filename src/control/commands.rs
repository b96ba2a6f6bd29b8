//! The commands that are due for one machine: which tasks it is to start, to stop and to reap,
//! so that the tasks on the machine come in line with the assigned ones.
//!
//! Owns no state. Called by the leader for each response to a heartbeat and for each direct
//! command. A completed task must never be reaped before its completion is recorded.

use crate::{
    protocol::workers::{Command, ExitReason},
    state::{
        cluster::{Assignment, ClusterState, Job, JobHandle, Machine, MachineHandle, Phase},
        slot_table::SlotTable,
    },
};

/// Maximum number of commands in one message. A response line must stay under 64 KiB.
const MAX_COMMANDS: usize = 300;

/// Returns the commands for a machine, and marks the tasks that they start as sent. `direct`
/// is the token of a direct command, or `None` in the response to heartbeat `seq`. Tasks
/// assigned by changes after `confirmed` are not started, because a standby that may take
/// over does not have these changes yet.
pub fn due_commands(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    direct: Option<u64>,
    seq: u64,
    confirmed: u64,
) -> Vec<Command> {
    let mut commands = Vec::new();
    let mut latest_sent = 0;
    let Some((machine, jobs)) = cluster.machine_with_jobs(machine_handle) else {
        return commands;
    };
    let seen_token = machine.acknowledged_token;
    let way = match direct {
        Some(_) => "a direct command",
        None => "the response to a heartbeat",
    };
    for assignment in &mut machine.tasks {
        if commands.len() >= MAX_COMMANDS {
            break;
        }
        log_due_command(assignment, &machine.name, way, jobs);
        let (task, attempt) = (assignment.name.clone(), assignment.attempt);
        match (assignment.phase, assignment.stop_grace_s) {
            (Phase::Ended(reason), _) => {
                if may_reap(assignment, reason, seen_token, jobs) {
                    commands.push(Command::Reap { task, attempt });
                }
            }
            (Phase::New | Phase::Sent, Some(grace_s)) => commands.push(Command::Stop {
                task,
                attempt,
                grace_s,
            }),
            (Phase::New, None) if assignment.change_number <= confirmed => {
                latest_sent = latest_sent.max(assignment.change_number);
                assignment.phase = Phase::Sent;
                assignment.sent_with_heartbeat = seq;
                assignment.indeterminate_token = direct.unwrap_or(0);
                commands.push(Command::Start { task, attempt });
            }
            // The task is saving a checkpoint before it stops, so no further stop is sent.
            (Phase::Saving, Some(grace_s)) if grace_s > 0.0 => {}
            (_, Some(grace_s)) => {
                assignment.stop_sent = true;
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s,
                });
            }
            (_, None) => {}
        }
    }
    cluster.latest_sent_change = cluster.latest_sent_change.max(latest_sent);
    commands
}

/// Logs what is known of a task that the machine is to start or to stop.
fn log_due_command(
    assignment: &Assignment,
    machine: &str,
    way: &str,
    jobs: &SlotTable<JobHandle, Job>,
) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let (task, phase) = (&assignment.name, assignment.phase);
    match assignment.stop_grace_s {
        Some(grace_s) => log::debug!(
            "commands: {way} to machine {machine} is due: task {task} is {phase:?} and \
             is to stop with a grace period of {grace_s} s"
        ),
        None if phase == Phase::New => {
            let job = assignment.job.and_then(|handle| jobs.get(handle));
            log::debug!(
                "commands: {way} to machine {machine} is due: task {task} is to start; \
                 cancellation of its job requested: {}, end of its job being recorded: {}",
                job.is_some_and(|job| job.cancelled || job.cancel_requested),
                job.is_some_and(Job::is_ending),
            );
        }
        None => {}
    }
}

/// Whether the machine may be told to forget an ended task. Once it has, a start of the same
/// attempt that is still in flight would run the task again. Completion must be recorded
/// first, because the machine's task list is the only evidence of it until then.
fn may_reap(
    assignment: &Assignment,
    reason: ExitReason,
    seen_token: u64,
    jobs: &SlotTable<JobHandle, Job>,
) -> bool {
    let start_pending =
        assignment.indeterminate_token != 0 && seen_token <= assignment.indeterminate_token;
    let recorded = reason != ExitReason::Done
        || assignment
            .job
            .and_then(|handle| jobs.get(handle))
            .is_none_or(|job| !job.is_dirty() && !job.write_in_flight);
    !start_pending && recorded
}

/// Resolves the starts of the direct command with the given token, which was answered or is
/// certain not to be carried out. If it was not executed, its tasks can be started again.
pub fn resolve_direct_commands(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    token: u64,
    executed: bool,
) {
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return;
    };
    let assignments = machine.tasks.iter_mut();
    for assignment in assignments.filter(|a| a.indeterminate_token == token) {
        assignment.indeterminate_token = 0;
        if assignment.phase == Phase::Sent && !executed {
            assignment.phase = Phase::New;
        }
    }
}

/// Whether there is a command for the machine that should be sent directly instead of with
/// the response to its next heartbeat.
pub fn needs_direct_commands(machine: &Machine, confirmed: u64) -> bool {
    let is_due = |a: &Assignment| match (a.phase, a.stop_grace_s) {
        (Phase::New, None) => a.change_number <= confirmed,
        // A stop is sent directly once, and repeated with the responses to heartbeats.
        (Phase::Fetching | Phase::Waiting | Phase::Running, Some(_)) => !a.stop_sent,
        _ => false,
    };
    machine.up && machine.addr.is_some() && machine.tasks.iter().any(is_due)
}
