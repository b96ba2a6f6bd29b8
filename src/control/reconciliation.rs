//! Wanted tasks against reported tasks, for one machine at a time: what a
//! report changes in the cluster state, and which commands follow.

use crate::{
    protocol::{
        users::Kind,
        workers::{Command, ExitReason, Heartbeat, TaskState, parse_task_name},
    },
    state::{
        Millis,
        cluster::{ClusterState, NO_JOB, Phase, Placement},
    },
};
use std::collections::HashSet;

/// Commands in one message; a response line must stay under 64 KiB.
const MAX_COMMANDS: usize = 300;

/// What the leader must know of a report beyond the changes of the cluster state.
#[derive(Debug, Default, PartialEq)]
pub struct HeartbeatEffects {
    /// Tasks, jobs or the machine's readiness changed.
    pub cluster_changed: bool,
    /// (job, task, cause) of tasks that ended.
    pub ended_tasks: Vec<(u32, u32, ExitReason)>,
    /// Jobs of tasks that began to run.
    pub started_jobs: Vec<u32>,
    /// Jobs of tasks that are seen to run or have completed, and when those
    /// were started.
    pub confirmed_running: Vec<(u32, Millis)>,
    /// Starts given in an answer that the machine did not get.
    pub lost_commands: u32,
    /// The machine's lease has ended since it was last heard.
    pub new_incarnation: bool,
}

fn phase_of(state: TaskState, why: Option<ExitReason>) -> Phase {
    match state {
        TaskState::Fetching => Phase::Fetching,
        TaskState::WaitingForGang => Phase::Waiting,
        TaskState::Running => Phase::Running,
        TaskState::Saving => Phase::Saving,
        TaskState::Exited => Phase::Ended(why.unwrap_or(ExitReason::Other)),
    }
}

/// Takes in what a worker says. `term_floor` is the lowest token of this
/// term: a message that has not seen it is no news, as commands of an earlier
/// leader may still be carried out after it.
///
/// `beat`: it is a report, not the answer to a direct command. Only a report is
/// sure to be later than the response to the report before it.
pub fn apply_heartbeat(
    cluster: &mut ClusterState,
    ix: u32,
    report: &Heartbeat,
    term_floor: u64,
    beat: bool,
    now: Millis,
) -> HeartbeatEffects {
    let mut effects = HeartbeatEffects::default();
    let Some(m) = cluster.machine_mut(ix) else {
        return effects;
    };
    let older = report.incarnation < m.min_incarnation
        || (m.up && (report.incarnation, report.seq) <= (m.incarnation, m.heartbeat_seq));
    // It has seen a token that was raised after all that is known of it: what
    // it says is newer, so it counts from the start again, and holds nothing
    // but what it lists.
    let reborn = older && m.restart_token != 0 && report.acknowledged_token >= m.restart_token;
    if report.acknowledged_token < term_floor.max(m.min_token) || older && !reborn {
        return effects;
    }
    if reborn {
        log::info!("machine {} has restarted", m.name);
        m.min_token = m.restart_token;
        m.last_stale_heartbeat = ((0, 0), 0);
        m.latest_heartbeat = (report.incarnation, report.seq);
        m.last_answered = now;
        forget_previous_process(cluster, ix, report.acknowledged_token);
        effects.cluster_changed = true;
    }
    let Some(m) = cluster.machine_mut(ix) else {
        return effects;
    };
    if report.acknowledged_token >= m.restart_token {
        m.restart_token = 0;
    }
    effects.new_incarnation = m.up && report.incarnation > m.incarnation;
    if effects.new_incarnation && !m.tasks.is_empty() {
        // A new session: everything of the old one is gone, including
        // commands still on their way, which name the old session.
        cluster.clear_machine(ix);
        effects.cluster_changed = true;
    }
    if cluster.machine(ix).is_some_and(|m| !m.up) {
        drop_unlisted_tasks(cluster, ix, report);
    }
    let Some(m) = cluster.machine_mut(ix) else {
        return effects;
    };
    if !m.up {
        m.up = true;
        m.contents_unknown = false;
        m.idle_since = now;
        effects.cluster_changed = true;
    }
    m.incarnation = report.incarnation;
    m.heartbeat_seq = report.seq;
    m.min_incarnation = report.incarnation;
    m.acknowledged_token = m.acknowledged_token.max(report.acknowledged_token);
    m.last_heartbeat = now;
    if let Ok(addr) = report.addr.parse() {
        m.addr = Some(addr);
    }
    let notice = report
        .reclaim_in_s
        .map(|s| now + (s.max(0.0) * 1000.0) as Millis);
    if notice.is_some() && m.reclaim_at.is_none() {
        effects.cluster_changed = true;
    }
    m.reclaim_at = notice;
    let seen_token = m.acknowledged_token;

    let mut listed = vec![false; m.tasks.len()];
    for t in &report.tasks {
        let phase = phase_of(t.state, t.exit_reason);
        let found = cluster.machine(ix).and_then(|m| {
            m.tasks
                .iter()
                .position(|a| a.attempt == t.attempt && a.name == t.task)
        });
        match found {
            Some(at) => {
                if at < listed.len() {
                    listed[at] = true;
                }
                let Some(a) = cluster.machine(ix).and_then(|m| m.tasks.get(at)) else {
                    continue;
                };
                // Seen running once, it may be about to fail.
                let again = phase == Phase::Running && a.phase == phase;
                let ran = !a.seen_running
                    && a.is_live()
                    && (again || phase == Phase::Ended(ExitReason::Done));
                if ran {
                    effects.confirmed_running.push((a.job, a.since));
                }
                if ran && let Some(m) = cluster.machine_mut(ix) {
                    m.tasks[at].seen_running = true;
                }
                let Some(a) = cluster.machine(ix).and_then(|m| m.tasks.get(at)) else {
                    continue;
                };
                if a.phase == phase || !a.is_live() {
                    continue;
                }
                let (job, task) = (a.job, a.task);
                if phase == Phase::Running {
                    effects.started_jobs.push(job);
                }
                if let Phase::Ended(why) = phase {
                    effects.ended_tasks.push((job, task, why));
                }
                effects.cluster_changed = true;
                log::debug!("task {}: {phase:?}", t.task);
                cluster.set_phase(ix, at, phase);
            }
            None => {
                effects.cluster_changed = true;
                adopt(cluster, ix, &t.task, t.attempt, phase, now);
            }
        }
    }
    // Launched, but not on the machine.
    for at in (0..listed.len()).rev() {
        if listed[at] {
            continue;
        }
        let Some(a) = cluster.machine(ix).and_then(|m| m.tasks.get(at)) else {
            continue;
        };
        let ordering = cluster.machine(ix).is_some_and(|m| m.command_in_flight);
        match a.phase {
            // Ended and reaped.
            Phase::Ended(_) => cluster.unassign(ix, at),
            Phase::New | Phase::Sent => {
                // A direct launch without an answer may come yet, unless the
                // machine has seen a higher token; one in a response can't
                // that the report didn't get, once a later report is made.
                let open = if a.indeterminate_token != 0 {
                    ordering || seen_token <= a.indeterminate_token
                } else {
                    a.phase == Phase::Sent && (!beat || report.seq <= a.sent_with_heartbeat)
                };
                if open {
                    continue;
                }
                let withdrawn = a.stop_grace_s.is_some();
                if withdrawn {
                    cluster.unassign(ix, at);
                    effects.cluster_changed = true;
                } else if let Some(m) = cluster.machine_mut(ix) {
                    let a = &mut m.tasks[at];
                    effects.lost_commands +=
                        u32::from(a.phase == Phase::Sent && a.indeterminate_token == 0);
                    a.indeterminate_token = 0;
                    a.phase = Phase::New;
                }
            }
            // It was there and is not any more, in the same session. Nothing
            // in the protocol does this; the newest message is to be believed.
            _ => {
                log::error!("task {} vanished from a live incarnation", a.name);
                cluster.unassign(ix, at);
                effects.cluster_changed = true;
            }
        }
    }
    if let Some(m) = cluster.machine_mut(ix)
        && m.live_tasks() > 0
    {
        m.idle_since = now;
    }
    effects
}

/// The machine has started anew, and has seen this token: all that is known of
/// it is gone, but for starts sent directly that it may still carry out, as
/// sessions count from one again as well.
fn forget_previous_process(cluster: &mut ClusterState, ix: u32, token: u64) {
    let Some(m) = cluster.machine(ix) else { return };
    let open = |at: &usize| {
        let a = &m.tasks[*at];
        a.phase == Phase::Sent
            && a.indeterminate_token != 0
            && (m.command_in_flight || token <= a.indeterminate_token)
    };
    let gone: Vec<usize> = (0..m.tasks.len()).filter(|at| !open(at)).collect();
    for at in gone.into_iter().rev() {
        cluster.unassign(ix, at);
    }
}

/// The machine is heard for the first time in this term, so it has seen this
/// term's token: of what an earlier leader had there, or had sent there, only
/// what it lists is there or will ever be.
fn drop_unlisted_tasks(cluster: &mut ClusterState, ix: u32, report: &Heartbeat) {
    let Some(m) = cluster.machine(ix).filter(|m| !m.tasks.is_empty()) else {
        return;
    };
    let listed: HashSet<(&str, u64)> = report
        .tasks
        .iter()
        .map(|t| (t.task.as_str(), t.attempt))
        .collect();
    let gone: Vec<usize> = (0..m.tasks.len())
        .filter(|at| !listed.contains(&(m.tasks[*at].name.as_str(), m.tasks[*at].attempt)))
        .collect();
    for at in gone.into_iter().rev() {
        cluster.unassign(ix, at);
    }
}

/// A task that an earlier leader started.
fn adopt(cluster: &mut ClusterState, ix: u32, name: &str, attempt: u64, phase: Phase, now: Millis) {
    let known = parse_task_name(name).and_then(|(id, task)| Some((cluster.job_index(id)?, task)));
    let Some((job_ix, task)) = known else {
        cluster.assign_orphan(ix, name, attempt, phase, now);
        return;
    };
    let Some(job) = cluster.job_mut(job_ix) else {
        return;
    };
    let ended = matches!(phase, Phase::Ended(_));
    if phase == Phase::Ended(ExitReason::Done)
        && job.spec.kind != Kind::Service
        && task < job.spec.tasks
    {
        job.mark_done(task);
    }
    if !ended && task < job.spec.tasks && job.placement(task) == Placement::Unplaced {
        let cancelled = job.cancelled || job.cancel_requested;
        cluster.assign(job_ix, task, ix, attempt, phase, now);
        if cancelled && let Some(a) = cluster.machine_mut(ix).and_then(|m| m.tasks.last_mut()) {
            a.stop_grace_s = Some(0.0);
        }
        return;
    }
    cluster.assign_orphan(ix, name, attempt, phase, now);
    // An ended task keeps its job, so that it is reaped only once recorded.
    if ended && let Some(a) = cluster.machine_mut(ix).and_then(|m| m.tasks.last_mut()) {
        a.job = job_ix;
        a.task = task;
    }
}

/// Commands for a machine, and marks what they launch as sent. `direct`: the
/// token of a direct command; in the response to report `seq` it is `None`.
/// Nothing is started of changes after `confirmed`: a standby that counts does
/// not know of them.
pub fn commands(
    cluster: &mut ClusterState,
    ix: u32,
    direct: Option<u64>,
    seq: u64,
    confirmed: u64,
) -> Vec<Command> {
    let mut out = Vec::new();
    let mut sent = 0;
    let Some((m, jobs)) = cluster.machine_with_jobs(ix) else {
        return out;
    };
    let seen = m.acknowledged_token;
    for a in &mut m.tasks {
        if out.len() >= MAX_COMMANDS {
            break;
        }
        let (task, attempt) = (a.name.clone(), a.attempt);
        match a.phase {
            Phase::Ended(why) => {
                // After a reap, a launch of that attempt which is still on
                // its way would start it again; and a task's end must be
                // recorded before the only witness is removed.
                let in_doubt = a.indeterminate_token != 0 && seen <= a.indeterminate_token;
                let recorded = why != ExitReason::Done
                    || a.job == NO_JOB
                    || jobs
                        .get(a.job as usize)
                        .and_then(Option::as_ref)
                        .is_none_or(|j| !j.is_dirty() && !j.write_in_flight);
                if !in_doubt && recorded {
                    out.push(Command::Reap { task, attempt });
                }
            }
            Phase::New | Phase::Sent => {
                if let Some(grace_s) = a.stop_grace_s {
                    out.push(Command::Stop {
                        task,
                        attempt,
                        grace_s,
                    });
                } else if a.phase == Phase::New && a.change_number <= confirmed {
                    sent = sent.max(a.change_number);
                    a.phase = Phase::Sent;
                    a.sent_with_heartbeat = seq;
                    a.indeterminate_token = direct.unwrap_or(0);
                    out.push(Command::Start { task, attempt });
                }
            }
            _ => {
                if let Some(grace_s) = a.stop_grace_s
                    && !(a.phase == Phase::Saving && grace_s > 0.0)
                {
                    a.stop_sent = true;
                    out.push(Command::Stop {
                        task,
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    cluster.latest_sent_change = cluster.latest_sent_change.max(sent);
    out
}

/// A direct command was not carried out, or was answered: what it launched is
/// no longer indeterminate.
pub fn resolve_direct_commands(cluster: &mut ClusterState, ix: u32, token: u64, executed: bool) {
    if let Some(m) = cluster.machine_mut(ix) {
        for a in m
            .tasks
            .iter_mut()
            .filter(|a| a.indeterminate_token == token)
        {
            a.indeterminate_token = 0;
            if a.phase == Phase::Sent {
                a.phase = if executed { Phase::Sent } else { Phase::New };
            }
        }
    }
}

/// Is there anything to tell the machine that shouldn't wait for its report?
pub fn needs_direct_commands(cluster: &ClusterState, ix: u32, confirmed: u64) -> bool {
    cluster.machine(ix).is_some_and(|m| {
        m.up && m.addr.is_some()
            && m.tasks.iter().any(|a| match (a.phase, a.stop_grace_s) {
                (Phase::New, None) => a.change_number <= confirmed,
                // A halt is told at once, and again with the reports.
                (Phase::Fetching | Phase::Waiting | Phase::Running, Some(_)) => !a.stop_sent,
                _ => false,
            })
    })
}
