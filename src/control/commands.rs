//! The commands that are due for one machine: which tasks it is to start, to stop and to reap,
//! so that the tasks on the machine come in line with the assigned ones.
//!
//! Owns no state. Called by the leader for each response to a heartbeat and for each direct
//! command. A task must never be started once the end of its job is requested. It must never be
//! reaped before its completion is recorded, nor while a copy of a direct command could start the
//! same attempt again.

use super::task_lines::for_each_line;
use crate::{
    protocol::workers::{Command, ExitReason, Heartbeat, TaskState, TaskStatus},
    state::{
        cluster::{Assignment, ClusterState, Job, JobHandle, MachineHandle, Phase},
        slot_table::SlotTable,
    },
};
use std::fmt;

/// Maximum number of commands in one message. A response line must stay under 64 KiB.
const MAX_COMMANDS: usize = 300;

/// The command that is due for one task.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DueCommand {
    Start,
    /// A stop of a task that must not be started any more. No start of it was sent, or none
    /// that may still be carried out.
    DropStart,
    Stop {
        /// Grace period in seconds.
        grace_s: f64,
    },
    Reap,
}

/// Inputs of the choice of a command, besides the assignment itself.
struct MachineContext<'a> {
    machine: MachineHandle,
    /// Fencing token of the message that carries the command.
    token: u64,
    jobs: &'a SlotTable<JobHandle, Job>,
    /// Latest change that every counted standby has confirmed.
    confirmed: u64,
}

/// Whether a start of the assignment's task may be sent now.
fn may_start(
    assignment: &Assignment,
    machine: MachineHandle,
    jobs: &SlotTable<JobHandle, Job>,
) -> bool {
    let job = assignment.job.and_then(|handle| jobs.get(handle));
    !assignment.stop.is_requested()
        && job.is_some_and(|job| job.may_start(assignment.task, machine))
}

/// Returns the command that is due for the task, in responses to heartbeats and in direct
/// commands alike.
fn due_command(assignment: &Assignment, context: &MachineContext) -> Option<DueCommand> {
    let MachineContext {
        machine,
        token,
        jobs,
        confirmed,
    } = *context;
    match (assignment.phase, assignment.stop.grace_s()) {
        (Phase::Ended(reason), _) => {
            let reapable =
                is_recorded(assignment, reason, jobs) && !assignment.direct_start.may_arrive(token);
            reapable.then_some(DueCommand::Reap)
        }
        (Phase::New, None) if !may_start(assignment, machine, jobs) => Some(DueCommand::DropStart),
        (Phase::New, None) => (assignment.change_number <= confirmed).then_some(DueCommand::Start),
        // The stop may not be requested yet, and a response without it would renew the lease of a
        // task whose user may have been told that it is cancelled.
        _ if is_over(assignment.job, jobs) => Some(DueCommand::Stop { grace_s: 0.0 }),
        // The task is saving a checkpoint before it stops. A stop without grace ends it.
        (Phase::Saving, Some(grace_s)) if grace_s > 0.0 => None,
        (_, Some(grace_s)) => Some(DueCommand::Stop { grace_s }),
        (_, None) => None,
    }
}

/// The message in which commands travel to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Carrier {
    /// A direct command. It may arrive late, and more than once.
    DirectCommand,
    /// The response to the heartbeat with this sequence number. It arrives at once or never.
    Response(u64),
}

impl fmt::Display for Carrier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Carrier::DirectCommand => f.write_str("a direct command"),
            Carrier::Response(seq) => write!(f, "the response to heartbeat {seq}"),
        }
    }
}

/// Returns the commands for a machine that go in a message under `token`, and marks the tasks
/// that they start as sent. Tasks assigned by changes after `confirmed` are not started, because
/// a standby that may take over does not have these changes yet.
pub fn due_commands(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    carrier: Carrier,
    token: u64,
    confirmed: u64,
) -> Vec<Command> {
    let mut commands = Vec::new();
    let mut latest_sent = 0;
    let Some((machine, jobs)) = cluster.machine_with_jobs(machine_handle) else {
        return commands;
    };
    let context = MachineContext {
        machine: machine_handle,
        token,
        jobs,
        confirmed,
    };
    let is_logged = log::log_enabled!(log::Level::Info);
    let mut log_entries = Vec::new();
    for (index, due) in chosen_commands(&machine.tasks, &context, carrier) {
        let assignment = &mut machine.tasks[index];
        if due == DueCommand::Start {
            latest_sent = latest_sent.max(assignment.change_number);
        }
        if is_logged {
            log_entries.push(describe(assignment, due, &context));
        }
        commands.push(issue(assignment, due, carrier, token));
    }
    for_each_line(&log_entries, |tasks| {
        log::info!(
            "commands to machine {} in {carrier} under token {token}, incarnation {}: {tasks}",
            machine.name,
            machine.incarnation
        );
    });
    cluster.latest_sent_change = cluster.latest_sent_change.max(latest_sent);
    commands
}

/// Returns the due commands that fit into one message, with the indices of their assignments.
/// Stops go before all others: a response without one of them would renew its task's lease.
fn chosen_commands(
    tasks: &[Assignment],
    context: &MachineContext,
    carrier: Carrier,
) -> Vec<(usize, DueCommand)> {
    // A copy of a reap could remove a later start of the same attempt, of a gang that is
    // completed, from the list that keeps copies of that start without effect.
    let may_carry =
        |due: &DueCommand| *due != DueCommand::Reap || carrier != Carrier::DirectCommand;
    let due = tasks.iter().enumerate().filter_map(|(index, assignment)| {
        let due = due_command(assignment, context).filter(may_carry)?;
        Some((index, due))
    });
    let mut chosen: Vec<(usize, DueCommand)> = due.collect();
    if chosen.len() > MAX_COMMANDS {
        chosen.sort_by_key(|(_, due)| !matches!(due, DueCommand::Stop { .. }));
        chosen.truncate(MAX_COMMANDS);
    }
    chosen
}

/// Notes in the assignment that the command is sent, and returns the command.
fn issue(assignment: &mut Assignment, due: DueCommand, carrier: Carrier, token: u64) -> Command {
    let (task, attempt) = (assignment.name.clone(), assignment.attempt);
    match due {
        DueCommand::Reap => Command::Reap { task, attempt },
        DueCommand::Start => {
            assignment.phase = Phase::Sent;
            match carrier {
                Carrier::DirectCommand => {
                    assignment.direct_start.mark_sent(token);
                    assignment.sent_with_heartbeat = 0;
                }
                Carrier::Response(seq) => assignment.sent_with_heartbeat = seq,
            }
            Command::Start { task, attempt }
        }
        DueCommand::DropStart => {
            assignment.stop.request_immediate();
            Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            }
        }
        DueCommand::Stop { grace_s } => {
            if grace_s == 0.0 {
                assignment.stop.request_immediate();
            }
            // A start that is still in flight may be carried out after this stop.
            if !matches!(assignment.phase, Phase::New | Phase::Sent) {
                assignment.stop.mark_sent();
            }
            Command::Stop {
                task,
                attempt,
                grace_s,
            }
        }
    }
}

/// Returns the command and the reason why it may be sent, for the log.
fn describe(assignment: &Assignment, due: DueCommand, context: &MachineContext) -> String {
    let (task, attempt) = (&assignment.name, assignment.attempt);
    match due {
        DueCommand::Start => match context.confirmed {
            u64::MAX => format!("start {task}@{attempt}, no standby counts"),
            confirmed => format!(
                "start {task}@{attempt}, placed by change {} and standbys have {confirmed}",
                assignment.change_number
            ),
        },
        DueCommand::DropStart => {
            format!(
                "no start of {task}@{attempt}, as its job ends, the task is done or another \
                 attempt of it is live"
            )
        }
        DueCommand::Stop { grace_s } => {
            let job = assignment.job.and_then(|handle| context.jobs.get(handle));
            let reason = match job {
                None => "its job is not known",
                Some(job) if job.end_requested() => "its job ends",
                Some(_) => "it is moved or its gang is incomplete",
            };
            format!("stop {task}@{attempt} with {grace_s} s of grace, as {reason}")
        }
        DueCommand::Reap => format!(
            "reap {task}@{attempt}, which is {} and can't be started again",
            assignment.phase
        ),
    }
}

/// Whether an ended task may be removed from the machine's task list as far as the records go:
/// until its completion is recorded, that list is the only evidence of it.
fn is_recorded(
    assignment: &Assignment,
    reason: ExitReason,
    jobs: &SlotTable<JobHandle, Job>,
) -> bool {
    let job = assignment.job.and_then(|handle| jobs.get(handle));
    reason != ExitReason::Done || job.is_none_or(|job| !job.is_dirty() && !job.write_in_flight)
}

/// Returns the live tasks that the heartbeat lists although their jobs are unknown, and so over,
/// or may be recorded as ended.
pub fn listed_tasks_of_ended_jobs<'a>(
    cluster: &ClusterState,
    report: &'a Heartbeat,
) -> Vec<&'a TaskStatus> {
    // Tasks of one job mostly stand one after the other, so a job is looked up once.
    let (mut job_id, mut job_is_over) = ("", true);
    let mut ended = Vec::new();
    let live = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
    for listed in live {
        let number = listed.task.strip_prefix(job_id);
        if !number.is_some_and(|number| number.starts_with('/')) {
            let split = listed.task.rsplit_once('/');
            job_id = split.map_or(listed.task.as_str(), |(id, _)| id);
            job_is_over = is_over(cluster.job_handle(job_id), &cluster.jobs);
        }
        if job_is_over {
            ended.push(listed);
        }
    }
    ended
}

/// Returns stops without grace of these tasks, as many as fit into one message.
pub fn stops_of(tasks: &[&TaskStatus]) -> Vec<Command> {
    let stops = tasks.iter().map(|listed| Command::Stop {
        task: listed.task.clone(),
        attempt: listed.attempt,
        grace_s: 0.0,
    });
    stops.take(MAX_COMMANDS).collect()
}

fn is_over(job: Option<JobHandle>, jobs: &SlotTable<JobHandle, Job>) -> bool {
    let job = job.and_then(|handle| jobs.get(handle));
    job.is_none_or(Job::end_may_be_recorded)
}

/// Whether a task that ended on the machine is to be reaped, but could be started again by a
/// direct command of before as long as the machine has seen no higher token than `token`.
pub fn has_startable_ended_task(
    cluster: &ClusterState,
    machine_handle: MachineHandle,
    token: u64,
) -> bool {
    has_startable_task(cluster, machine_handle, token, |assignment| {
        let Phase::Ended(reason) = assignment.phase else {
            return false;
        };
        is_recorded(assignment, reason, &cluster.jobs)
    })
}

/// The same for a task that the machine listed before and does not list any more.
pub fn has_startable_missing_task(
    cluster: &ClusterState,
    machine_handle: MachineHandle,
    token: u64,
) -> bool {
    has_startable_task(cluster, machine_handle, token, |assignment| {
        assignment.missing
    })
}

fn has_startable_task(
    cluster: &ClusterState,
    machine_handle: MachineHandle,
    token: u64,
    is_given_up: impl Fn(&Assignment) -> bool,
) -> bool {
    let tasks = cluster
        .machine(machine_handle)
        .map_or(&[][..], |m| &m.tasks);
    let mut given_up = tasks.iter().filter(|assignment| is_given_up(assignment));
    given_up.any(|assignment| assignment.direct_start.may_arrive(token))
}

/// Whether direct commands that were decided earlier may be sent to the machine now: every task
/// that they start must still be there to be started.
pub fn may_still_send(
    cluster: &ClusterState,
    machine_handle: MachineHandle,
    commands: &[Command],
) -> bool {
    let Some(machine) = cluster.machine(machine_handle) else {
        return false;
    };
    let startable = |task: &str, attempt: u64| {
        let mut assignments = machine.tasks.iter();
        let assignment = assignments.find(|a| a.attempt == attempt && a.name == task);
        assignment.is_some_and(|a| may_start(a, machine_handle, &cluster.jobs))
    };
    commands.iter().all(|command| match command {
        Command::Start { task, attempt } => startable(task, *attempt),
        Command::Stop { .. } | Command::Reap { .. } => true,
    })
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
    for assignment in assignments {
        let resolved = assignment.direct_start.resolve(token, executed);
        if resolved && assignment.phase == Phase::Sent && !executed {
            assignment.phase = Phase::New;
        }
    }
}

/// Whether there is a command for the machine that should be sent directly instead of with
/// the response to its next heartbeat.
pub fn needs_direct_commands(
    cluster: &ClusterState,
    machine_handle: MachineHandle,
    token: u64,
    confirmed: u64,
) -> bool {
    let Some(machine) = cluster.machine(machine_handle) else {
        return false;
    };
    let context = MachineContext {
        machine: machine_handle,
        token,
        jobs: &cluster.jobs,
        confirmed,
    };
    let is_urgent = |assignment: &Assignment| {
        if assignment.missing {
            // An answer under a higher token shows that the task is gone.
            return !assignment.direct_start.may_arrive(token);
        }
        match due_command(assignment, &context) {
            Some(DueCommand::Start) => true,
            // A stop is sent directly once, and repeated with the responses to heartbeats. A
            // task that was not reported yet is stopped with the next of these.
            Some(DueCommand::Stop { .. }) => {
                assignment.stop.is_unsent() && !matches!(assignment.phase, Phase::New | Phase::Sent)
            }
            Some(DueCommand::DropStart | DueCommand::Reap) | None => false,
        }
    };
    machine.up && machine.addr.is_some() && machine.tasks.iter().any(is_urgent)
}
