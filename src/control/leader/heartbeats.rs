//! Heartbeats of workers: whether a heartbeat is accepted, the changes it makes to the
//! cluster state, and the response.
//!
//! Called by the server for each heartbeat, and by `direct_commands` for the
//! status that comes back with a direct command. A response renews the worker's
//! lease (`lease_renewals`); a machine that has been released is never answered.

use super::{Leader, lease_renewals::RenewalBasis, partitions::HeartbeatHandling};
use crate::{
    control::reconciliation::{self, StatusSource},
    protocol::workers::{Command, Heartbeat, HeartbeatResponse},
    state::{Millis, cluster::MachineHandle},
};

impl Leader {
    /// Applies a heartbeat and returns the response. `None` if the heartbeat must not be
    /// answered.
    pub fn on_heartbeat(&mut self, report: &Heartbeat, now: Millis) -> Option<HeartbeatResponse> {
        if !self.recovery.loaded {
            return self.renew_lease_before_records(report, now);
        }
        if self.scaling.released.contains_key(&report.machine) {
            return None;
        }
        let machine_handle = self.cluster.insert_machine(report.into(), now)?;
        let basis = match self.handling_of_heartbeat(machine_handle, report, now) {
            HeartbeatHandling::Apply => {
                self.apply_heartbeat(machine_handle, report, StatusSource::Heartbeat, now);
                self.renewal_basis(machine_handle, report)
            }
            HeartbeatHandling::FenceAgent => RenewalBasis::Unconfirmed,
            HeartbeatHandling::LeaveUnanswered => return None,
        };
        Some(self.renew_lease(machine_handle, report, basis, now))
    }

    pub(super) fn apply_heartbeat(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        source: StatusSource,
        now: Millis,
    ) {
        let term_token = self.term_token();
        let effects = reconciliation::apply_heartbeat(
            &mut self.cluster,
            machine_handle,
            report,
            term_token,
            source,
            now,
        );
        self.changed |= effects.cluster_changed;
        self.log_status(machine_handle, report, source, &effects);
        self.detect_one_way_partition(machine_handle, &effects);
        if let Some(machine) = self.cluster.machine(machine_handle)
            && machine.last_heartbeat == now
        {
            self.zone_responded(machine.zone, now);
        }
        for job_handle in effects.started_jobs {
            if let Some(job_state) = self
                .cluster
                .job_mut(job_handle)
                .filter(|job_state| !job_state.has_run)
            {
                job_state.has_run = true;
                let waited_s = (now - job_state.waiting_since) as f64 / 1000.0;
                self.events
                    .metric_counts
                    .waits
                    .push((job_state.spec.class.clone(), waited_s));
            }
        }
        for task in effects.confirmed_running {
            self.on_task_running(machine_handle, task.job, task.since, now);
        }
        for ended_task in effects.ended_tasks {
            self.on_task_ended(
                machine_handle,
                ended_task.job,
                ended_task.task,
                ended_task.reason,
                now,
            );
        }
    }

    pub(super) fn count_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { .. } => self.events.metric_counts.starts += 1,
                Command::Stop { .. } => self.events.metric_counts.stops += 1,
                Command::Reap { .. } => {}
            }
        }
    }
}
