//! Reconciliation of one machine: applies a heartbeat, or the answer to a direct command, to
//! the cluster state. `commands` derives the commands that bring the reported tasks in line
//! with the assigned ones.
//!
//! Owns no state. Called by the leader for each heartbeat and direct command. This module decides
//! whether a status is news and takes over what it says of the machine; `listed_tasks` and
//! `unlisted_tasks` take over what it says of tasks. A task must never be released while a command
//! in flight may still start it.

mod effects;
mod listed_tasks;
mod unlisted_tasks;

pub use effects::{HeartbeatEffects, UnassignedHandling};

use crate::{
    protocol::workers::Heartbeat,
    state::{
        Millis,
        cluster::{ClusterState, Machine, MachineHandle},
    },
};
use effects::UnassignedTask;
use listed_tasks::{adopt_task, phase_of, update_task};
use std::fmt;
use unlisted_tasks::{drop_unlisted_tasks, forget_previous_process, resolve_unlisted_task};

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
    clear_previous_incarnation(cluster, machine_handle, heartbeat, &mut effects);
    if cluster.machine(machine_handle).is_some_and(|m| !m.up) {
        drop_unlisted_tasks(cluster, machine_handle, heartbeat);
    }
    if let Some(machine) = cluster.machine_mut(machine_handle) {
        effects.cluster_changed |= update_machine(machine, heartbeat, now);
    }
    apply_task_list(
        cluster,
        machine_handle,
        heartbeat,
        term_floor,
        source,
        now,
        &mut effects,
    );
    if let Some(machine) = cluster.machine_mut(machine_handle)
        && machine.live_tasks() > 0
    {
        machine.idle_since = now;
    }
    effects
}

/// Removes the machine's tasks if the heartbeat is the first of a new incarnation: they are gone,
/// and commands still in flight name the old incarnation and are not carried out.
fn clear_previous_incarnation(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    heartbeat: &Heartbeat,
    effects: &mut HeartbeatEffects,
) {
    let Some(machine) = cluster.machine_mut(machine_handle) else {
        return;
    };
    if heartbeat.acknowledged_token >= machine.restart_token {
        machine.restart_token = 0;
    }
    effects.new_incarnation = machine.up && heartbeat.incarnation > machine.incarnation;
    if effects.new_incarnation && !machine.tasks.is_empty() {
        cluster.clear_machine(machine_handle);
        effects.cluster_changed = true;
    }
}

/// Applies the list of tasks: those that it holds, and then the assigned ones that it does not
/// hold.
fn apply_task_list(
    cluster: &mut ClusterState,
    machine_handle: MachineHandle,
    heartbeat: &Heartbeat,
    term_floor: u64,
    source: StatusSource,
    now: Millis,
    effects: &mut HeartbeatEffects,
) {
    let assigned = cluster.machine(machine_handle).map_or(0, |m| m.tasks.len());
    let mut listed = vec![false; assigned];
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
        update_task(cluster, machine_handle, task_index, reported, effects);
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
                effects,
            );
        }
    }
}

/// Returns how a heartbeat relates to what is known of the machine.
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
