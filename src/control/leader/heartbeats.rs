//! Heartbeats of workers: whether one counts, what it changes, the answer.
//!
//! Called by the server for each heartbeat, and by `direct_commands` for the
//! status that comes back with a direct command. It must never answer a machine
//! whose lease could be renewed wrongly: before the records are read only for a
//! bounded time, and never one that has been released.

use super::Leader;
use crate::{
    control::{
        reconciliation::{self, StatusSource},
        safety_bounds::SafetyBounds,
    },
    protocol::workers::{Command, Heartbeat, HeartbeatResponse},
    state::{Millis, cluster::MachineHandle},
};

impl Leader {
    /// Applies a heartbeat and returns the response; `None`: it gets none.
    pub fn on_heartbeat(&mut self, report: &Heartbeat, now: Millis) -> Option<HeartbeatResponse> {
        if !self.recovery.loaded {
            // Leases must not expire while the records are being read; nor may they be
            // renewed for long, as the records hold cancellations.
            let unread = SafetyBounds::of(&self.settings.cluster.workers).max_answering_unloaded();
            return (now < self.recovery.elected_at + unread).then(|| HeartbeatResponse {
                fencing_token: self.term_token(),
                commands: Vec::new(),
            });
        }
        if self.scaling.released.contains_key(&report.machine) {
            return None;
        }
        let machine_handle = self.cluster.insert_machine(report.into(), now)?;
        if !self.accepts_heartbeat(machine_handle, report, now) {
            return None;
        }
        self.apply_heartbeat(machine_handle, report, StatusSource::Heartbeat, now);
        let m = self.cluster.machine_mut(machine_handle)?;
        let fresh = m.up && (report.incarnation, report.seq) == (m.incarnation, m.heartbeat_seq);
        let commands = if fresh {
            let confirmed = self.standbys.confirmed_change();
            let commands = reconciliation::commands(
                &mut self.cluster,
                machine_handle,
                None,
                report.seq,
                confirmed,
            );
            self.count_commands(&commands);
            commands
        } else {
            Vec::new()
        };
        Some(HeartbeatResponse {
            fencing_token: self.fencing_token(machine_handle),
            commands,
        })
    }

    pub(super) fn apply_heartbeat(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        source: StatusSource,
        now: Millis,
    ) {
        let floor = self.term_token();
        let effects = reconciliation::apply_heartbeat(
            &mut self.cluster,
            machine_handle,
            report,
            floor,
            source,
            now,
        );
        self.changed |= effects.cluster_changed;
        self.detect_one_way_partition(machine_handle, &effects);
        if let Some(m) = self.cluster.machine(machine_handle)
            && m.last_heartbeat == now
        {
            self.zone_responded(m.zone, now);
        }
        for job_handle in effects.started_jobs {
            if let Some(j) = self.cluster.job_mut(job_handle).filter(|j| !j.has_run) {
                j.has_run = true;
                let waited = (now - j.known_since) as f64 / 1000.0;
                self.events.tally.waits.push((j.spec.class.clone(), waited));
            }
        }
        for task in effects.confirmed_running {
            self.on_task_running(machine_handle, task.job, task.since, now);
        }
        for ended in effects.ended_tasks {
            self.on_task_ended(machine_handle, ended.job, ended.task, ended.reason, now);
        }
    }

    pub(super) fn count_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { .. } => self.events.tally.starts += 1,
                Command::Stop { .. } => self.events.tally.stops += 1,
                Command::Reap { .. } => {}
            }
        }
    }
}
