//! Reconciliation of one machine: applies a heartbeat, or the answer to a direct command, to
//! the cluster state. `commands` derives the commands that bring the reported tasks in line
//! with the assigned ones.
//!
//! Owns no state. Called by the leader for each heartbeat and direct command. A task must
//! never be released while a command in flight may still start it.

use crate::{
    protocol::{
        users::Kind,
        workers::{ExitReason, Heartbeat, TaskState, TaskStatus, parse_task_name},
    },
    state::{
        Millis,
        cluster::{
            Assignment, ClusterState, DirectStart, JobHandle, Machine, MachineHandle, Phase,
            Placement,
        },
    },
};
use std::{collections::HashSet, fmt};

/// A task that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedTask {
    /// Job of the task.
    pub job: JobHandle,
    /// Number of the task within the job.
    pub task: u32,
    /// Why the task ended.
    pub reason: ExitReason,
}

/// A task that two statuses reported as running, or that has completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedTask {
    /// Job of the task; `None` if the job is over.
    pub job: Option<JobHandle>,
    /// When the task was assigned.
    pub since: Millis,
}

/// A task of which a status reports another phase than was known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskChange {
    /// Name of the task: job id and task number.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// The reported phase; `None` if the task is not listed.
    pub phase: Option<Phase>,
    /// Whether the task is given up on the machine, as no start of it can arrive there any more.
    pub given_up: bool,
}

impl fmt::Display for TaskChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{} ", self.task, self.attempt)?;
        match (self.phase, self.given_up) {
            (Some(phase), _) => write!(f, "is {phase}"),
            (None, true) => f.write_str("is not listed and can't be started any more"),
            (None, false) => f.write_str("is not listed, but a direct start may still arrive"),
        }
    }
}

/// What the leader does with a task that a machine reports although it is not assigned there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnassignedHandling {
    /// The task fills a free place of its job.
    Adopted,
    /// The task is stopped: its job is unknown or ends, or has the task elsewhere.
    Stopped,
    /// The task has ended and is reaped.
    Reaped,
}

impl UnassignedHandling {
    /// Value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            UnassignedHandling::Adopted => "adopted",
            UnassignedHandling::Stopped => "stopped",
            UnassignedHandling::Reaped => "reaped",
        }
    }
}

/// A task that a machine reports although it is not assigned there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnassignedTask {
    /// Name of the task: job id and task number.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// The reported phase.
    pub phase: Phase,
    /// What the leader does with the task.
    pub handling: UnassignedHandling,
}

impl fmt::Display for UnassignedTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (task, attempt, phase) = (&self.task, self.attempt, self.phase);
        write!(
            f,
            "{task}@{attempt} is {phase} and is {}",
            self.handling.name()
        )
    }
}

/// An attempt that a machine lists as live after it had ended there: it was started again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestartedAttempt {
    /// Name of the task: job id and task number.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// Why the attempt had ended.
    pub ended: ExitReason,
    /// The reported phase.
    pub phase: Phase,
}

impl fmt::Display for RestartedAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (task, attempt, ended, phase) = (&self.task, self.attempt, self.ended, self.phase);
        write!(f, "{task}@{attempt} had ended({ended}) and is {phase}")
    }
}

/// Effects of a heartbeat that the leader must act on, besides the changes of the cluster
/// state.
#[derive(Debug, Default, PartialEq)]
pub struct HeartbeatEffects {
    /// Whether tasks, jobs or the machine's readiness changed.
    pub cluster_changed: bool,
    /// Tasks that ended.
    pub ended_tasks: Vec<EndedTask>,
    /// Jobs with tasks that began to run; a job is listed once for each task.
    pub started_jobs: Vec<JobHandle>,
    /// Tasks that are confirmed to be running, or have completed.
    pub confirmed_running: Vec<ConfirmedTask>,
    /// Number of start commands in responses that the machine did not receive.
    pub lost_commands: u32,
    /// Whether the agent has begun a new incarnation since the last heartbeat, because the
    /// machine's lease had ended.
    pub new_incarnation: bool,
    /// Tasks of which the status reports another phase than was known.
    pub task_changes: Vec<TaskChange>,
    /// Tasks that the machine reports although they are not assigned there.
    pub unassigned_tasks: Vec<UnassignedTask>,
    /// Attempts that the machine lists as live after they had ended there.
    pub restarted_attempts: Vec<RestartedAttempt>,
}

/// Source of a machine's status. Only a heartbeat is certain to be made after the response
/// to the previous heartbeat arrived or was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusSource {
    /// A heartbeat of the machine.
    Heartbeat,
    /// The machine's answer to a direct command.
    DirectCommand,
}

impl fmt::Display for StatusSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StatusSource::Heartbeat => "heartbeat",
            StatusSource::DirectCommand => "the answer to a direct command",
        })
    }
}

/// How a heartbeat relates to the known state of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    Stale,
    Newer,
    /// Older by its sequence number, but sent by a restarted agent.
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

/// Applies the status that a machine reports. `term_floor` is the lowest fencing token of
/// this term. A status made before the machine saw that token is stale, because commands of
/// an earlier leader may still be carried out after it.
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
        // All tasks of the old incarnation are gone. Commands still in flight name the old
        // incarnation and are not carried out.
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
        let Some(task_index) = known else {
            effects.cluster_changed = true;
            let handling = adopt_task(cluster, machine_handle, reported, term_floor, now);
            effects
                .unassigned_tasks
                .extend(handling.map(|handling| UnassignedTask {
                    task: reported.task.clone(),
                    attempt: reported.attempt,
                    phase: phase_of(reported),
                    handling,
                }));
            continue;
        };
        if let Some(listed) = listed.get_mut(task_index) {
            *listed = true;
        }
        update_task(cluster, machine_handle, task_index, reported, &mut effects);
    }
    // In reverse order, because a removal moves the last entry to the removed index.
    for task_index in (0..listed.len()).rev() {
        if !listed[task_index] {
            resolve_unlisted_task(
                cluster,
                machine_handle,
                task_index,
                heartbeat,
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
    // An agent that has seen `restart_token` reports after everything that is known of the
    // machine, because the token was raised after that. The agent has restarted, counts
    // incarnations and sequence numbers from one again, and holds only the tasks it lists.
    let restarted = machine.restart_token != 0 && token >= machine.restart_token;
    match (older, restarted) {
        (false, _) => Freshness::Newer,
        (true, true) => Freshness::Restarted,
        (true, false) => Freshness::Stale,
    }
}

/// Resets the heartbeat tracking of a machine whose agent has restarted.
fn note_restart(machine: &mut Machine, heartbeat: &Heartbeat, now: Millis) {
    log::info!(
        "reconciliation: the agent of machine {} has restarted",
        machine.name
    );
    machine.min_token = machine.restart_token;
    machine.last_stale_heartbeat = ((0, 0), 0);
    machine.latest_heartbeat = (heartbeat.incarnation, heartbeat.seq);
    machine.last_answered = now;
}

/// Updates the machine's own state from the heartbeat. Returns whether the machine's
/// readiness changed.
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
    machine.acknowledged_token = heartbeat.acknowledged_token;
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

/// Applies the reported state of a task in the machine's task list.
fn update_task(
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

/// Handles a task in the machine's task list that the heartbeat does not list: the task is
/// gone, or its start command was lost or is still in flight.
fn resolve_unlisted_task(
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
fn forget_previous_process(cluster: &mut ClusterState, machine_handle: MachineHandle, token: u64) {
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

/// Adds a reported task that is not in the machine's task list, as an earlier leader started
/// it. An attempt of this term may have been started directly under any token that the machine
/// was given so far; commands of earlier terms are not carried out any more.
fn adopt_task(
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
