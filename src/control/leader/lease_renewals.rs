//! Renewals of workers' leases: the response to a heartbeat, and what it rests on.
//!
//! Every response renews the lease of the worker, and with it the life of all tasks that the
//! worker lists. Invariant: a response of a leader that has read the records stops each listed
//! task whose job has ended, or may be recorded as ended, whether the machine is confirmed or
//! not. A worker that does not receive the response does not renew its lease either.
//!
//! A leader that has not read the records knows no such job. It renews the lease of a worker that
//! lists live tasks only if the worker's last response came from a leader that had read them, or
//! from itself, and for a bounded time. So between two responses that stop what has to be gone, one
//! term at most renews the lease without knowing.
//!
//! Owns `LeaseRenewals`. Called for each heartbeat that is answered.

use super::{Leader, fencing, partitions::UnansweredReason};
use crate::{
    control::{
        commands::{self, Carrier},
        safety_bounds::SafetyBounds,
        task_lines::for_each_line,
    },
    protocol::workers::{Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus},
    state::{Millis, cluster::MachineHandle},
};
use std::{collections::BTreeMap, fmt};

/// What the leader knows of a machine when it renews the machine's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RenewalBasis {
    /// The records are not read yet.
    RecordsUnread,
    /// The records are read. The machine has not acknowledged a token of this term yet, or the
    /// heartbeat is not its latest.
    Unconfirmed,
    /// The heartbeat is the latest one of a machine that has acknowledged a token of this term.
    Confirmed,
}

impl RenewalBasis {
    /// Value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            RenewalBasis::RecordsUnread => "records_unread",
            RenewalBasis::Unconfirmed => "unconfirmed",
            RenewalBasis::Confirmed => "confirmed",
        }
    }
}

impl fmt::Display for RenewalBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RenewalBasis::RecordsUnread => "the records are not read yet",
            RenewalBasis::Unconfirmed => "the machine is not confirmed by this heartbeat",
            RenewalBasis::Confirmed => "the machine is confirmed",
        })
    }
}

/// Since when each machine has listed, in this term, tasks that must be gone.
#[derive(Debug, Default)]
pub(super) struct LeaseRenewals {
    ended_tasks_since: BTreeMap<MachineHandle, Millis>,
}

impl Leader {
    /// Returns what the response to the heartbeat rests on, after the heartbeat was applied.
    pub(super) fn renewal_basis(
        &self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
    ) -> RenewalBasis {
        let heartbeat_id = (report.incarnation, report.seq);
        let is_latest = self.cluster.machine(machine_handle).is_some_and(|machine| {
            machine.up && heartbeat_id == (machine.incarnation, machine.heartbeat_seq)
        });
        match is_latest {
            true => RenewalBasis::Confirmed,
            false => RenewalBasis::Unconfirmed,
        }
    }

    /// Returns the response to the heartbeat, which renews the lease. Every response of a leader
    /// that has read the records is made here.
    pub(super) fn renew_lease(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        basis: RenewalBasis,
        now: Millis,
    ) -> HeartbeatResponse {
        let commands = match basis {
            RenewalBasis::Confirmed => self.commands_for_confirmed(machine_handle, report.seq),
            // Nothing may be concluded from the tasks that are not listed, but a task of an ended
            // job may be stopped wherever it is.
            RenewalBasis::Unconfirmed | RenewalBasis::RecordsUnread => {
                commands::stops_of(&commands::listed_tasks_of_ended_jobs(&self.cluster, report))
            }
        };
        self.count_commands(&commands);
        let response = HeartbeatResponse {
            fencing_token: self.fencing_token(machine_handle),
            commands,
        };
        self.count_renewal(basis);
        self.note_ended_tasks(machine_handle, report, basis, &response, now);
        response
    }

    fn commands_for_confirmed(&mut self, machine_handle: MachineHandle, seq: u64) -> Vec<Command> {
        self.raise_token_for_tasks(machine_handle);
        let token = self.fencing_token(machine_handle);
        let confirmed = self.standbys.confirmed_change();
        commands::due_commands(
            &mut self.cluster,
            machine_handle,
            Carrier::Response(seq),
            token,
            confirmed,
        )
    }

    /// Returns the response to a heartbeat before the records are read; `None` if the lease must
    /// not be renewed.
    pub(super) fn renew_lease_before_records(
        &mut self,
        report: &Heartbeat,
        now: Millis,
    ) -> Option<HeartbeatResponse> {
        let bounds = SafetyBounds::from_worker_settings(&self.settings.cluster.workers);
        let renewals_end = self.recovery.elected_at + bounds.max_unloaded_response_time();
        if now >= renewals_end || !self.may_renew_before_records(report) {
            self.note_unread_heartbeat(report);
            return None;
        }
        let fencing_token = self.term_token();
        self.note_unread_renewal(report, fencing_token);
        Some(HeartbeatResponse {
            fencing_token,
            commands: Vec::new(),
        })
    }

    /// Whether no other term can have renewed the lease before it had read the records, since the
    /// tasks that the worker lists were last compared with them.
    fn may_renew_before_records(&self, report: &Heartbeat) -> bool {
        let token = report.acknowledged_token;
        let has_live_task = report.tasks.iter().any(|t| t.state != TaskState::Exited);
        !has_live_task || token == self.term_token() || !fencing::is_token_before_records(token)
    }

    /// Logs and counts a heartbeat that is not answered because the records are not read yet.
    fn note_unread_heartbeat(&mut self, report: &Heartbeat) {
        let counts = &mut self.events.metric_counts.unanswered_heartbeats;
        *counts.entry(UnansweredReason::RecordsUnread).or_default() += 1;
        log::debug!(
            "heartbeat {}.{} of machine {}, which has seen token {}, is not answered: {}",
            report.incarnation,
            report.seq,
            report.machine,
            report.acknowledged_token,
            UnansweredReason::RecordsUnread,
        );
    }

    /// Counts a renewal before the records are read.
    fn note_unread_renewal(&mut self, report: &Heartbeat, token: u64) {
        self.count_renewal(RenewalBasis::RecordsUnread);
        log::debug!(
            "lease of machine {} is renewed by the response to heartbeat {}.{} under token \
             {token}, {}: the machine lists {} tasks",
            report.machine,
            report.incarnation,
            report.seq,
            RenewalBasis::RecordsUnread,
            report.tasks.len(),
        );
    }

    /// Logs the tasks of ended jobs for which the response renews the lease. It stops at least one
    /// of them if there are any.
    fn note_ended_tasks(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        basis: RenewalBasis,
        response: &HeartbeatResponse,
        now: Millis,
    ) {
        let is_stop = |command: &Command| matches!(command, Command::Stop { .. });
        let ended = match response.commands.iter().any(is_stop) {
            true => commands::listed_tasks_of_ended_jobs(&self.cluster, report),
            false => Vec::new(),
        };
        let since = &mut self.lease_renewals.ended_tasks_since;
        if ended.is_empty() {
            since.remove(&machine_handle);
            return;
        }
        since.entry(machine_handle).or_insert(now);
        let entries: Vec<String> = ended
            .into_iter()
            .map(|listed| describe(listed, &response.commands))
            .collect();
        for_each_line(&entries, |tasks| {
            log::info!(
                "lease of machine {} is renewed by the response to heartbeat {}.{} under token \
                 {}, {basis}; of its tasks these must be gone: {tasks}",
                report.machine,
                report.incarnation,
                report.seq,
                response.fencing_token,
            );
        });
    }

    fn count_renewal(&mut self, basis: RenewalBasis) {
        let counts = &mut self.events.metric_counts.lease_renewals;
        *counts.entry(basis).or_default() += 1;
    }

    /// Returns for how long a machine has listed tasks of ended jobs in this term, the longest
    /// such time.
    pub fn ended_tasks_listed_ms(&mut self, now: Millis) -> Millis {
        let cluster = &self.cluster;
        let since = &mut self.lease_renewals.ended_tasks_since;
        since.retain(|handle, _| cluster.machine(*handle).is_some_and(|m| !m.lease_expired()));
        let first = since.values().min();
        first.map_or(0, |first| now.saturating_sub(*first))
    }
}

/// Returns the task, and whether the commands stop it.
fn describe(listed: &TaskStatus, commands: &[Command]) -> String {
    let is_stopped = commands.iter().any(|command| {
        matches!(command, Command::Stop { task, attempt, .. }
            if *task == listed.task && *attempt == listed.attempt)
    });
    let outcome = if is_stopped { "stopped" } else { "not stopped" };
    format!("{}@{}, {outcome} by it", listed.task, listed.attempt)
}
