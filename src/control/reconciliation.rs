//! Reconciliation of one machine: what its heartbeat, or its answer to a direct
//! command, changes in the cluster state, and which commands follow from the
//! difference between wanted and reported tasks.
//!
//! Owns no state. Called by the leader for each heartbeat and direct command.
//! Must never release a task that a command still on its way may start, nor
//! have a complete task reaped before that is recorded.

use crate::{
    protocol::{
        users::Kind,
        workers::{Command, ExitReason, Heartbeat, TaskState, TaskStatus, parse_task_name},
    },
    state::{
        Millis,
        cluster::{
            Assignment, ClusterState, Job, JobHandle, Machine, MachineHandle, Phase, Placement,
        },
        slot_table::SlotTable,
    },
};
use std::collections::HashSet;

/// Commands in one message; a response line must stay under 64 KiB.
const MAX_COMMANDS: usize = 300;

/// A task that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedTask {
    /// Its job.
    pub job: JobHandle,
    /// Its number within the job.
    pub task: u32,
    /// Why it ended.
    pub reason: ExitReason,
}

/// A task that was seen to run for a while, or to complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedTask {
    /// Its job; `None`: that is over.
    pub job: Option<JobHandle>,
    /// When it was assigned.
    pub since: Millis,
}

/// What the leader must know of a heartbeat beyond the changes of the cluster
/// state.
#[derive(Debug, Default, PartialEq)]
pub struct HeartbeatEffects {
    /// Tasks, jobs or the machine's readiness changed.
    pub cluster_changed: bool,
    /// Tasks that ended.
    pub ended_tasks: Vec<EndedTask>,
    /// Jobs of tasks that began to run.
    pub started_jobs: Vec<JobHandle>,
    /// Tasks that are confirmed to run, or have completed.
    pub confirmed_running: Vec<ConfirmedTask>,
    /// Starts in a response that the machine did not receive.
    pub lost_commands: u32,
    /// The agent has begun a new incarnation since the last heartbeat: the
    /// machine's lease had ended.
    pub new_incarnation: bool,
}

/// Where a status came from. Only a heartbeat is sure to be later than the
/// response to the heartbeat before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusSource {
    /// A heartbeat of the machine.
    Heartbeat,
    /// Its answer to a direct command.
    DirectCommand,
}

/// How a heartbeat relates to what is known of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    Stale,
    Newer,
    /// Older by its sequence number, but of a restarted agent.
    Restarted,
}

fn phase_of(reported: &TaskStatus) -> Phase {
    match reported.state {
        TaskState::Fetching => Phase::Fetching,
        TaskState::WaitingForGang => Phase::Waiting,
        TaskState::Running => Phase::Running,
        TaskState::Saving => Phase::Saving,
        TaskState::Exited => Phase::Ended(reported.exit_reason.unwrap_or(ExitReason::Other)),
    }
}

/// Applies what a machine reports. `term_floor` is the lowest fencing token of
/// this term: a status that has not seen it is stale, as commands of an earlier
/// leader may still be carried out after it.
pub fn apply_heartbeat(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    heartbeat: &Heartbeat,
    term_floor: u64,
    source: StatusSource,
    now: Millis,
) -> HeartbeatEffects {
    let mut effects = HeartbeatEffects::default();
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return effects;
    };
    match freshness(machine, heartbeat, term_floor) {
        Freshness::Stale => return effects,
        Freshness::Newer => {}
        Freshness::Restarted => {
            note_restart(machine, heartbeat, now);
            forget_previous_process(cluster, machine_handle, heartbeat.acknowledged_token);
            effects.cluster_changed = true;
        }
    }
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return effects;
    };
    if heartbeat.acknowledged_token >= machine.restart_token {
        machine.restart_token = 0;
    }
    effects.new_incarnation = machine.up && heartbeat.incarnation > machine.incarnation;
    if effects.new_incarnation && !machine.tasks.is_empty() {
        // Everything of the old incarnation is gone, including commands still
        // on their way, which name it.
        cluster.clear_machine(machine_handle);
        effects.cluster_changed = true;
    }
    if cluster.machine(machine_handle).is_some_and(|m| !m.up) {
        drop_unlisted_tasks(cluster, machine_handle, heartbeat);
    }
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return effects;
    };
    effects.cluster_changed |= update_machine(machine, heartbeat, now);

    let mut listed = vec![false; machine.tasks.len()];
    for reported in &heartbeat.tasks {
        let known = cluster.machine(machine_handle).and_then(|m| {
            m.tasks
                .iter()
                .position(|a| a.attempt == reported.attempt && a.name == reported.task)
        });
        let Some(at) = known else {
            effects.cluster_changed = true;
            adopt_task(cluster, machine_handle, reported, now);
            continue;
        };
        if let Some(listed) = listed.get_mut(at) {
            *listed = true;
        }
        update_task(cluster, machine_handle, at, reported, &mut effects);
    }
    // From the end, as a removal moves the last entry into its place.
    for at in (0..listed.len()).rev() {
        if !listed[at] {
            resolve_unlisted_task(
                cluster,
                machine_handle,
                at,
                heartbeat.seq,
                source,
                &mut effects,
            );
        }
    }
    if let Some(machine) = cluster.machine_mut(machine_handle)
        && machine.live_tasks() > 0
    {
        machine.idle_since = now;
    }
    effects
}

fn freshness(machine: &Machine, heartbeat: &Heartbeat, term_floor: u64) -> Freshness {
    let token = heartbeat.acknowledged_token;
    if token < term_floor.max(machine.min_token) {
        return Freshness::Stale;
    }
    let reported = (heartbeat.incarnation, heartbeat.seq);
    let known = (machine.incarnation, machine.heartbeat_seq);
    let older = heartbeat.incarnation < machine.min_incarnation || machine.up && reported <= known;
    // It has seen a token that was raised after all that is known of the
    // machine, so it is newer: the agent has restarted, counts from one again,
    // and holds nothing but what it lists.
    let restarted = machine.restart_token != 0 && token >= machine.restart_token;
    match (older, restarted) {
        (false, _) => Freshness::Newer,
        (true, true) => Freshness::Restarted,
        (true, false) => Freshness::Stale,
    }
}

fn note_restart(machine: &mut Machine, heartbeat: &Heartbeat, now: Millis) {
    log::info!("machine {} has restarted", machine.name);
    machine.min_token = machine.restart_token;
    machine.last_stale_heartbeat = ((0, 0), 0);
    machine.latest_heartbeat = (heartbeat.incarnation, heartbeat.seq);
    machine.last_answered = now;
}

/// Takes over what the heartbeat says of the machine itself. Returns whether
/// its readiness changed.
fn update_machine(machine: &mut Machine, heartbeat: &Heartbeat, now: Millis) -> bool {
    let mut changed = false;
    if !machine.up {
        machine.up = true;
        machine.contents_unknown = false;
        machine.idle_since = now;
        changed = true;
    }
    machine.incarnation = heartbeat.incarnation;
    machine.heartbeat_seq = heartbeat.seq;
    machine.min_incarnation = heartbeat.incarnation;
    machine.acknowledged_token = machine.acknowledged_token.max(heartbeat.acknowledged_token);
    machine.last_heartbeat = now;
    if let Ok(addr) = heartbeat.addr.parse() {
        machine.addr = Some(addr);
    }
    let reclaim_at = heartbeat
        .reclaim_in_s
        .map(|s| now + (s.max(0.0) * 1000.0) as Millis);
    changed |= reclaim_at.is_some() && machine.reclaim_at.is_none();
    machine.reclaim_at = reclaim_at;
    changed
}

/// Applies the reported state of a task that is in the machine's list.
fn update_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    at: usize,
    reported: &TaskStatus,
    effects: &mut HeartbeatEffects,
) {
    let phase = phase_of(reported);
    let Some(assignment) = cluster
        .machine(machine_handle)
        .and_then(|m| m.tasks.get(at))
    else {
        return;
    };
    // Reported running once only, it may be about to fail.
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
            machine.tasks[at].seen_running = true;
        }
    }
    let Some(assignment) = cluster
        .machine(machine_handle)
        .and_then(|m| m.tasks.get(at))
    else {
        return;
    };
    if assignment.phase == phase || !assignment.is_live() {
        return;
    }
    let (job, task) = (assignment.job, assignment.task);
    if phase == Phase::Running {
        effects.started_jobs.extend(job);
    }
    if let Phase::Ended(reason) = phase {
        let ended = job.map(|job| EndedTask { job, task, reason });
        effects.ended_tasks.extend(ended);
    }
    effects.cluster_changed = true;
    log::debug!("task {}: {phase:?}", reported.task);
    cluster.set_phase(machine_handle, at, phase);
}

/// Decides on a task in the machine's list that the heartbeat does not have: it
/// is gone, or a start of it was lost, or is still on its way.
fn resolve_unlisted_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    at: usize,
    heartbeat_seq: u64,
    source: StatusSource,
    effects: &mut HeartbeatEffects,
) {
    let Some(assignment) = cluster
        .machine(machine_handle)
        .and_then(|m| m.tasks.get(at))
    else {
        return;
    };
    let Some(machine) = cluster.machine(machine_handle) else {
        return;
    };
    match assignment.phase {
        // Ended and reaped.
        Phase::Ended(_) => cluster.unassign(machine_handle, at),
        Phase::New | Phase::Sent => {
            // A direct start without an answer may come yet, unless the machine
            // has seen a higher token. One in a response can't any more once a
            // later heartbeat was made.
            let may_start = if assignment.indeterminate_token != 0 {
                direct_start_pending(assignment, machine, machine.acknowledged_token)
            } else {
                assignment.phase == Phase::Sent
                    && (source == StatusSource::DirectCommand
                        || heartbeat_seq <= assignment.sent_with_heartbeat)
            };
            if may_start {
                return;
            }
            let cancelled = assignment.stop_grace_s.is_some();
            if cancelled {
                cluster.unassign(machine_handle, at);
                effects.cluster_changed = true;
            } else if let Some(machine) = cluster.machine_mut(machine_handle) {
                let assignment = &mut machine.tasks[at];
                let sent_in_response =
                    assignment.phase == Phase::Sent && assignment.indeterminate_token == 0;
                effects.lost_commands += u32::from(sent_in_response);
                assignment.indeterminate_token = 0;
                assignment.phase = Phase::New;
            }
        }
        // It was there and is not any more, in the same incarnation. Nothing
        // in the protocol does this; the newest status is to be believed.
        _ => {
            log::error!("task {} vanished from a live incarnation", assignment.name);
            cluster.unassign(machine_handle, at);
            effects.cluster_changed = true;
        }
    }
}

/// Whether a direct start may still be carried out by a machine that has seen
/// this token.
fn direct_start_pending(assignment: &Assignment, machine: &Machine, seen_token: u64) -> bool {
    machine.command_in_flight || seen_token <= assignment.indeterminate_token
}

/// The agent has restarted, and has seen this token: all that is known of the
/// machine is gone, but for direct starts that it may still carry out, as
/// incarnations count from one again as well.
fn forget_previous_process(cluster: &mut ClusterState, machine_handle: MachineHandle, token: u64) {
    let Some(machine) = cluster.machine(machine_handle) else {
        return;
    };
    let gone = machine_tasks_where(machine, |assignment| {
        !(assignment.phase == Phase::Sent
            && assignment.indeterminate_token != 0
            && direct_start_pending(assignment, machine, token))
    });
    remove_tasks(cluster, machine_handle, gone);
}

/// The first heartbeat of the machine in this term, so it has seen this term's
/// token: of what an earlier leader had there, or had sent there, only what it
/// lists is there or will ever be.
fn drop_unlisted_tasks(
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
    });
    remove_tasks(cluster, machine_handle, unlisted);
}

/// Places in the machine's list, in order.
fn machine_tasks_where(machine: &Machine, holds: impl Fn(&Assignment) -> bool) -> Vec<usize> {
    let tasks = machine.tasks.iter().enumerate();
    tasks.filter(|(_, a)| holds(a)).map(|(at, _)| at).collect()
}

fn remove_tasks(cluster: &mut ClusterState, machine_handle: MachineHandle, places: Vec<usize>) {
    // From the end, as a removal moves the last entry into its place.
    for at in places.into_iter().rev() {
        cluster.unassign(machine_handle, at);
    }
}

/// A task that is not in the machine's list: an earlier leader started it.
fn adopt_task(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    reported: &TaskStatus,
    now: Millis,
) {
    let (name, attempt) = (reported.task.as_str(), reported.attempt);
    let phase = phase_of(reported);
    let known = parse_task_name(name).and_then(|(id, task)| Some((cluster.job_handle(id)?, task)));
    let Some((job_handle, task)) = known else {
        cluster.assign_orphan(machine_handle, name, attempt, phase, now);
        return;
    };
    let Some(job) = cluster.job_mut(job_handle) else {
        return;
    };
    let of_job = task < job.spec.tasks;
    if phase == Phase::Ended(ExitReason::Done) && job.spec.kind != Kind::Service && of_job {
        job.mark_done(task);
    }
    if phase.is_live() && of_job && job.placement(task) == Placement::Unplaced {
        let cancelled = job.cancelled || job.cancel_requested;
        cluster.assign(job_handle, task, machine_handle, attempt, phase, now);
        if cancelled && let Some(assignment) = last_assignment(cluster, machine_handle) {
            assignment.stop_grace_s = Some(0.0);
        }
        return;
    }
    cluster.assign_orphan(machine_handle, name, attempt, phase, now);
    // An ended task keeps its job, so that it is reaped only once recorded.
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

/// Commands for a machine; what they start is marked as sent. `direct`: the
/// token of a direct command; in the response to heartbeat `seq` it is `None`.
/// Nothing is started of changes after `confirmed`, as a standby that may take
/// over does not have them.
pub fn commands(
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
    for assignment in &mut machine.tasks {
        if commands.len() >= MAX_COMMANDS {
            break;
        }
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
            // It is stopping already.
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

/// Whether the machine may forget an ended task. After that, a start of the
/// same attempt which is still on its way would run it again; and completion
/// must be recorded before its only witness is removed.
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

/// A direct command was answered, or surely not carried out: what it starts is
/// no longer indeterminate.
pub fn resolve_direct_commands(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    token: u64,
    executed: bool,
) {
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return;
    };
    let sent = machine.tasks.iter_mut();
    for assignment in sent.filter(|a| a.indeterminate_token == token) {
        assignment.indeterminate_token = 0;
        if assignment.phase == Phase::Sent && !executed {
            assignment.phase = Phase::New;
        }
    }
}

/// Whether there is a command for the machine that shouldn't wait for its next
/// heartbeat.
pub fn needs_direct_commands(machine: &Machine, confirmed: u64) -> bool {
    let is_due = |a: &Assignment| match (a.phase, a.stop_grace_s) {
        (Phase::New, None) => a.change_number <= confirmed,
        // A stop is sent at once, and again with the responses.
        (Phase::Fetching | Phase::Waiting | Phase::Running, Some(_)) => !a.stop_sent,
        _ => false,
    };
    machine.up && machine.addr.is_some() && machine.tasks.iter().any(is_due)
}
