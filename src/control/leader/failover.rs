//! Failover: restoring the previous leader's assignments from the replica that this node
//! kept as a standby, and keeping the standbys of this leader warm.
//!
//! Owns `Failover`. The server passes in the replica of this node and transports the
//! replication stream. Invariants: a replica is used only if all failover checks pass,
//! and never overrides a machine's own heartbeat.

use super::Leader;
use crate::{
    control::standby::{
        RegistryWriteOutcome,
        failover_checks::{self, FailoverClaim},
        replica::Replica,
    },
    protocol::{
        peers::{ReplicatedPhase, ReplicatedTask, ReplicationPart},
        state::Txn,
    },
    state::{
        Millis,
        cluster::{JobHandle, Phase, Placement},
        records::StandbyRecord,
    },
};

/// The state from which this node became leader, and the outcome of the failover.
#[derive(Default)]
pub(super) struct Failover {
    /// The incarnation of this node, and its replica. Taken when the failover is done.
    inherited: Option<(u64, Option<Replica>)>,
    record: Option<StandbyRecord>,
    /// Whether this leader took over warm: it knows all tasks that may run, whether or
    /// not a heartbeat has confirmed them.
    pub(super) warm: bool,
    /// Why this leader took over cold.
    cold_reason: Option<&'static str>,
    /// Whether starts may be sent now that waited for the confirmation of a standby.
    pub(super) starts_released: bool,
}

impl Failover {
    pub(super) fn text(&self) -> String {
        match (self.warm, self.cold_reason) {
            (true, _) => "warm".into(),
            (false, Some(reason)) => format!("cold: {reason}"),
            (false, None) => String::new(),
        }
    }
}

impl Leader {
    /// Sets the incarnation of this node and the replica that it kept as a standby.
    pub fn set_inherited_replica(&mut self, incarnation: u64, replica: Option<Replica>) {
        self.recovery.failover.inherited = Some((incarnation, replica));
    }

    /// Loads the standby record as it was read in this term.
    pub fn load_standbys(&mut self, found: Option<(StandbyRecord, u64)>) {
        self.recovery.failover.record = found.as_ref().map(|(r, _)| r.clone());
        self.standbys.registry_loaded(found);
    }

    /// Whether this leader took over warm.
    pub fn is_warm(&self) -> bool {
        self.recovery.failover.warm
    }

    /// Whether the state of every task of the job is known: no task is on a machine that
    /// has not been confirmed in this term.
    pub(super) fn knows_all_tasks_of(&self, job_handle: JobHandle) -> bool {
        if self.recovery.settled || !self.recovery.failover.warm {
            return self.recovery.settled;
        }
        let mut live_tasks = self.cluster.live_tasks_of(job_handle);
        live_tasks.all(|(machine_handle, _)| {
            self.cluster
                .machine(machine_handle)
                .is_some_and(|m| !m.contents_unknown)
        })
    }

    /// Fails over, warm or cold. Done once per term, as the first step after the records
    /// have been read.
    pub(super) fn fail_over(&mut self, now: Millis) {
        self.recovery.failover.starts_released = false;
        let Some((incarnation, replica)) = self.recovery.failover.inherited.take() else {
            return;
        };
        let claim = FailoverClaim {
            node_name: &self.settings.name,
            incarnation,
            record: self.recovery.failover.record.as_ref(),
            replica: replica.as_ref(),
        };
        match (failover_checks::check_failover(&claim), replica) {
            (Ok(()), Some(replica)) => {
                let (restored_tasks, unconfirmed_machines) =
                    self.restore_from_replica(&replica, now);
                self.recovery.failover.warm = true;
                self.changed = true;
                self.events.metric_counts.takeover = Some("warm");
                log::info!(
                    "term {} takes over warm from term {}: restored {restored_tasks} tasks, {unconfirmed_machines} machines not confirmed yet",
                    self.term,
                    replica.term,
                );
            }
            (Ok(()), None) => {}
            (Err(reason), _) => {
                self.recovery.failover.cold_reason = Some(reason.text());
                self.events.metric_counts.takeover = Some(reason.text());
                log::info!("term {} takes over cold: {}", self.term, reason.text());
            }
        }
    }

    /// Adds completed tasks, and tasks that may run on unconfirmed machines, to the
    /// cluster state. Confirmed machines have reported their tasks themselves. Returns
    /// the number of restored tasks and the number of unconfirmed machines.
    fn restore_from_replica(&mut self, replica: &Replica, now: Millis) -> (usize, usize) {
        let all = replica.placements_latest_first();
        // Guards against running a task again that completed before the previous
        // leader could record it.
        for (_, job, ReplicatedTask(task, ..)) in all
            .iter()
            .filter(|(.., entry)| entry.3 == ReplicatedPhase::Done)
        {
            let job = self
                .cluster
                .job_handle(job)
                .and_then(|handle| self.cluster.job_mut(handle));
            if let Some(job_state) =
                job.filter(|job_state| *task < job_state.spec.tasks && !job_state.cancelled)
            {
                job_state.mark_done(*task);
            }
        }
        let mut restored = 0;
        for (machine, job, may_run) in all
            .into_iter()
            .filter(|(.., entry)| entry.3 != ReplicatedPhase::Done)
        {
            restored += usize::from(self.restore_task(machine, job, may_run, now));
        }
        let unconfirmed_machines = self.cluster.machines().filter(|m| m.contents_unknown);
        (restored, unconfirmed_machines.count())
    }

    /// Adds one task that may run on an unconfirmed machine; returns whether it was
    /// added. Nothing is added for a machine that is not in the registry or is recorded
    /// as empty, as nothing runs there any more, nor for a job without a record.
    fn restore_task(
        &mut self,
        machine: &str,
        job: &str,
        may_run: ReplicatedTask,
        now: Millis,
    ) -> bool {
        let ReplicatedTask(task, attempt, _, last_phase) = may_run;
        let (Some(machine_handle), Some(job_handle)) = (
            self.cluster.machine_handle(machine),
            self.cluster.job_handle(job),
        ) else {
            return false;
        };
        let unconfirmed = self
            .cluster
            .machine(machine_handle)
            .is_some_and(|m| m.contents_unknown);
        let Some(job_state) = self.cluster.job_mut(job_handle).filter(|_| unconfirmed) else {
            return false;
        };
        let phase = match last_phase {
            ReplicatedPhase::Running => Phase::Running,
            _ => Phase::Sent,
        };
        match job_state.placement(task) {
            _ if task >= job_state.spec.tasks => return false,
            Placement::Unplaced => {}
            // The task completed elsewhere while it was started again: this attempt is a
            // duplicate.
            Placement::Done => {
                self.cluster.assign_duplicate(
                    job_handle,
                    task,
                    machine_handle,
                    attempt,
                    phase,
                    now,
                );
                return true;
            }
            // The replica is read latest first: the other placement is later, so the
            // task had left this machine by then.
            Placement::On(_) => return false,
        }
        job_state.has_run = true;
        let to_stop = job_state.end_requested();
        self.cluster
            .assign(job_handle, task, machine_handle, attempt, phase, now);
        if to_stop
            && let Some(assignment) = self
                .cluster
                .machine_mut(machine_handle)
                .and_then(|m| m.tasks.last_mut())
        {
            assignment.stop.request_immediate();
        }
        true
    }

    /// Selects the standbys. Returns the write of the standby record if one is due.
    pub fn update_standbys(&mut self, answers: impl Fn(usize) -> bool, now: Millis) -> Option<Txn> {
        if !self.recovery.loaded {
            return None;
        }
        let all_tasks_known = self.recovery.knows_all_tasks();
        self.standbys
            .select_and_record(&mut self.cluster, all_tasks_known, answers, now)
    }

    /// Applies the outcome of the write of the standby record.
    pub fn standbys_written(&mut self, outcome: RegistryWriteOutcome, now: Millis) {
        self.recovery.failover.starts_released |=
            self.standbys.registry_write_finished(outcome, now);
    }

    /// Returns the number of standbys that are warm.
    pub fn warm_standbys(&self, now: Millis) -> usize {
        let all = self.standbys.status(now);
        all.iter().filter(|s| s.warm).count()
    }

    /// Returns the indices of the peers.
    pub fn standby_peers(&self) -> std::ops::Range<usize> {
        self.standbys.peers()
    }

    /// Returns the next part of the replication stream to a peer, if there is one to send.
    pub fn next_replication_part(&mut self, peer: usize, now: Millis) -> Option<ReplicationPart> {
        self.standbys.next_part(peer, &mut self.cluster, now)
    }

    /// Applies a peer's response to a part: the peer's incarnation, and whether it applied
    /// the part. `None` if there was no response.
    pub fn replication_answered(&mut self, peer: usize, answer: Option<(u64, bool)>, now: Millis) {
        self.recovery.failover.starts_released |=
            self.standbys.answered(peer, answer, &self.cluster, now);
    }
}
