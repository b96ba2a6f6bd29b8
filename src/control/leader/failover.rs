//! Failover: taking over from the previous leader by a standby's replica, and keeping
//! standbys warm in turn.
//!
//! Owns `Failover`. The server hands over what this node replicated, and carries the
//! replication stream. A replica must never be used unless all failover checks pass, and
//! never against a machine's own heartbeat.

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

/// What this node had when it became leader.
#[derive(Default)]
pub(super) struct Failover {
    /// Its incarnation, and its replica.
    inherited: Option<(u64, Option<Replica>)>,
    record: Option<StandbyRecord>,
    /// All that may run is known, confirmed by a heartbeat or not.
    pub(super) warm: bool,
    /// Why it is not.
    cold_reason: Option<&'static str>,
    /// Starts may be sent that waited for a confirmation.
    pub(super) starts_released: bool,
}

impl Failover {
    pub(super) fn text(&self) -> String {
        match (self.warm, self.cold_reason) {
            (true, _) => "warm".into(),
            (false, Some(why)) => format!("cold: {why}"),
            (false, None) => String::new(),
        }
    }
}

impl Leader {
    /// Hands over the incarnation of this node, and the replica that it kept as a
    /// standby.
    pub fn inherit(&mut self, incarnation: u64, replica: Option<Replica>) {
        self.recovery.failover.inherited = Some((incarnation, replica));
    }

    /// The standby record, as read in this term.
    pub fn load_standbys(&mut self, found: Option<(StandbyRecord, u64)>) {
        self.recovery.failover.record = found.as_ref().map(|(r, _)| r.clone());
        self.standbys.loaded(found);
    }

    /// Whether this leader took over warm.
    pub fn is_warm(&self) -> bool {
        self.recovery.failover.warm
    }

    /// No task of the job is on a machine that is not confirmed yet, where its state is
    /// not known.
    pub(super) fn hears_all_tasks_of(&self, job_handle: JobHandle) -> bool {
        if self.recovery.settled || !self.recovery.failover.warm {
            return self.recovery.settled;
        }
        let mut on = self.cluster.live_tasks_of(job_handle);
        on.all(|(machine_handle, _)| {
            self.cluster
                .machine(machine_handle)
                .is_some_and(|m| !m.contents_unknown)
        })
    }

    /// Fails over, warm or cold: the first step with authority once the records are
    /// read.
    pub(super) fn fail_over(&mut self, now: Millis) {
        self.recovery.failover.starts_released = false;
        let Some((incarnation, replica)) = self.recovery.failover.inherited.take() else {
            return;
        };
        let claim = FailoverClaim {
            me: &self.settings.name,
            incarnation,
            record: self.recovery.failover.record.as_ref(),
            replica: replica.as_ref(),
        };
        match (failover_checks::check_failover(&claim), replica) {
            (Ok(()), Some(replica)) => {
                let (held, machines) = self.restore_from_replica(&replica, now);
                self.recovery.failover.warm = true;
                self.changed = true;
                self.events.tally.took_over = Some("warm");
                log::info!(
                    "term {} fails over warm from {}: {held} tasks on {machines} machines not heard from yet",
                    self.term,
                    replica.term,
                );
            }
            (Ok(()), None) => {}
            (Err(why), _) => {
                self.recovery.failover.cold_reason = Some(why.text());
                self.events.tally.took_over = Some(why.text());
                log::info!("term {} fails over cold: {}", self.term, why.text());
            }
        }
    }

    /// Adds to the cluster state what may run on unconfirmed machines, and what has
    /// completed. Confirmed machines have reported their tasks themselves. Returns how
    /// many tasks on how many machines.
    fn restore_from_replica(&mut self, replica: &Replica, now: Millis) -> (usize, usize) {
        let all = replica.latest_first();
        // Guards against doing once more what ended before the old leader
        // could record it.
        for (_, job, ReplicatedTask(task, ..)) in
            all.iter().filter(|(.., t)| t.3 == ReplicatedPhase::Done)
        {
            let job = self
                .cluster
                .job_handle(job)
                .and_then(|handle| self.cluster.job_mut(handle));
            if let Some(j) = job.filter(|j| *task < j.spec.tasks && !j.cancelled) {
                j.mark_done(*task);
            }
        }
        let mut held = 0;
        for (machine, job, may_run) in all
            .into_iter()
            .filter(|(.., t)| t.3 != ReplicatedPhase::Done)
        {
            held += usize::from(self.restore_task(machine, job, may_run, now));
        }
        let unheard = self.cluster.each_machine().filter(|m| m.contents_unknown);
        (held, unheard.count())
    }

    /// A machine that is not in the registry, or is recorded as empty, runs nothing any
    /// more; the same holds for a job without a record.
    fn restore_task(
        &mut self,
        machine: &str,
        job: &str,
        may_run: ReplicatedTask,
        now: Millis,
    ) -> bool {
        let ReplicatedTask(task, attempt, _, seen) = may_run;
        let (Some(machine_handle), Some(job_handle)) = (
            self.cluster.machine_handle(machine),
            self.cluster.job_handle(job),
        ) else {
            return false;
        };
        let unheard = self
            .cluster
            .machine(machine_handle)
            .is_some_and(|m| m.contents_unknown);
        let Some(j) = self.cluster.job_mut(job_handle).filter(|_| unheard) else {
            return false;
        };
        let phase = match seen {
            ReplicatedPhase::Running => Phase::Running,
            _ => Phase::Sent,
        };
        match j.placement(task) {
            _ if task >= j.spec.tasks => return false,
            Placement::Unplaced => {}
            // It completed elsewhere while it was started again.
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
            // Placed there later than here, so it was gone from here by then.
            Placement::On(_) => return false,
        }
        j.has_run = true;
        let gone = j.cancelled || j.cancel_requested;
        self.cluster
            .assign(job_handle, task, machine_handle, attempt, phase, now);
        if gone
            && let Some(a) = self
                .cluster
                .machine_mut(machine_handle)
                .and_then(|m| m.tasks.last_mut())
        {
            a.stop_grace_s = Some(0.0);
        }
        true
    }

    /// Selects the standbys; returns the write of their record that is due.
    pub fn update_standbys(&mut self, answers: impl Fn(usize) -> bool, now: Millis) -> Option<Txn> {
        if !self.recovery.loaded {
            return None;
        }
        let complete = self.recovery.knows_all_tasks();
        self.standbys
            .step(&mut self.cluster, complete, answers, now)
    }

    /// Applies the outcome of the write of the standby record.
    pub fn standbys_written(&mut self, how: RegistryWriteOutcome, now: Millis) {
        self.recovery.failover.starts_released |= self.standbys.written(how, now);
    }

    /// How many standbys are warm.
    pub fn warm_standbys(&self, now: Millis) -> usize {
        let all = self.standbys.status(now);
        all.iter().filter(|s| s.warm).count()
    }

    /// Indices of the peers.
    pub fn standby_peers(&self) -> std::ops::Range<usize> {
        self.standbys.peers()
    }

    /// The next part of the replication stream to a peer.
    pub fn next_replication_part(&mut self, peer: usize, now: Millis) -> Option<ReplicationPart> {
        self.standbys.next(peer, &mut self.cluster, now)
    }

    /// Applies the answer to a part: the incarnation, and whether it applied the part;
    /// `None`: no answer.
    pub fn replication_answered(&mut self, peer: usize, answer: Option<(u64, bool)>, now: Millis) {
        self.recovery.failover.starts_released |=
            self.standbys.answered(peer, answer, &self.cluster, now);
    }
}
