//! Changes that follow from the passage of time: expiry of worker leases, checkpoints on
//! reclaim notices, and stops of tasks that must not continue.
//!
//! Called from `tick`. Invariants: heartbeats missed during a pause of this process never
//! count as the failure of a machine, and the tasks of a machine are never treated as
//! gone before its lease has expired.

use super::{Leader, millis};
use crate::{
    protocol::users::Kind,
    state::{
        Millis,
        cluster::{Job, JobHandle, Phase, Registration},
    },
};

/// Least number of machines that must be overdue at the same time, and be more than half
/// of those that are up, to conclude that this node receives nothing rather than that the
/// machines failed.
const MIN_OVERDUE_MACHINES: usize = 3;
/// How long no replacements are requested after most machines were overdue, in
/// milliseconds: their workers may still find this leader.
const NO_SCALE_OUT_MS: Millis = 5_000;

impl Leader {
    /// Notes that this process was paused, or could not keep up, until now. Heartbeats that
    /// arrived meanwhile are still to be read, so until then no machine counts as
    /// unresponsive.
    ///
    /// Lease expiry is not delayed: no heartbeat was answered during the pause, so the leases
    /// did expire.
    pub fn process_resumed(&mut self, now: Millis) {
        self.recovery.resumed_at = now;
    }

    /// Returns the machines whose heartbeats are overdue, at most 500 of them, and the number
    /// of other machines that are up.
    pub fn overdue_machines(&self, now: Millis) -> (Vec<String>, usize) {
        let report_interval_ms = millis(self.settings.cluster.workers.report_s);
        let mut responsive = 0;
        let mut names = Vec::new();
        for machine in self.cluster.machines().filter(|machine| machine.up) {
            if now
                > machine.last_heartbeat.max(self.recovery.resumed_at)
                    + report_interval_ms
                    + report_interval_ms / 2
                    + 500
            {
                names.push(machine.name.clone());
            } else {
                responsive += 1;
            }
        }
        names.truncate(500);
        (names, responsive)
    }

    pub(super) fn expire_leases(&mut self, now: Millis) {
        let lease_expiry_ms = self.lease_expiry();
        let overdue_ms = millis(self.settings.cluster.workers.report_s * 2.5) + 500;
        let resumed = self.recovery.resumed_at;
        let mut unresponsive_by_zone = vec![0; self.cluster.zones.len()];
        let (mut up, mut overdue_count, mut unconfirmed) = (0, 0, 0);
        for index in self.cluster.machine_range() {
            let Some((machine_handle, machine)) = self.cluster.machine_at(index) else {
                continue;
            };
            let is_overdue = machine.up && now > machine.last_heartbeat.max(resumed) + overdue_ms;
            if is_overdue
                || (!machine.up
                    && (machine.incarnation > 0 || machine.registration == Registration::Present))
            {
                unresponsive_by_zone[machine.zone] += 1;
            }
            up += usize::from(machine.up);
            unconfirmed += usize::from(machine.contents_unknown);
            overdue_count +=
                usize::from(is_overdue || machine.up && machine.awaits_token_acknowledgement());
            let overdue_changed = machine.overdue != is_overdue;
            let lease_expired = (machine.up || machine.contents_unknown)
                && now > machine.lease_start() + lease_expiry_ms;
            if !overdue_changed && !lease_expired {
                continue;
            }
            let Some(machine) = self.cluster.machine_mut(machine_handle) else {
                continue;
            };
            if overdue_changed {
                machine.overdue = is_overdue;
                machine.overdue_since = now;
                self.changed = true;
                log::debug!("machine {}: heartbeats overdue: {is_overdue}", machine.name);
            }
            if !lease_expired {
                continue;
            }
            log::info!(
                "machine {} is unresponsive: its lease has expired, {} tasks lost",
                machine.name,
                machine.live_tasks()
            );
            machine.up = false;
            machine.contents_unknown = false;
            // Taken from the latest heartbeat too, for a machine whose heartbeats were all
            // stale.
            machine.min_incarnation = machine.incarnation.max(machine.latest_heartbeat.0) + 1;
            machine.state_since = now;
            self.cluster.clear_machine(machine_handle);
            self.changed = true;
        }
        (
            self.recovery.responsive_machines,
            self.recovery.unconfirmed_machines,
        ) = (up, unconfirmed);
        if overdue_count >= MIN_OVERDUE_MACHINES && 2 * overdue_count > up {
            self.scaling.no_scale_out_until = now + NO_SCALE_OUT_MS;
        }
        self.update_zone_health(&unresponsive_by_zone, overdue_ms, now);
    }

    /// Stops the checkpointing tasks of machines that the cloud reclaims, so that they save
    /// now: the notice may be half as long as it says. Tasks without checkpoints keep running,
    /// as they may still complete.
    pub(super) fn checkpoint_before_reclaim(&mut self) {
        for index in self.cluster.machine_range() {
            let machine = self.cluster.machine_at(index);
            let Some((machine_handle, m)) = machine.filter(|(_, m)| m.reclaim_at.is_some()) else {
                continue;
            };
            let to_checkpoint: Vec<usize> = m
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, task)| task.phase == Phase::Running && !task.stop.is_requested())
                .filter(|(_, task)| {
                    task.job
                        .and_then(|job| self.cluster.job(job))
                        .is_some_and(|job_state| job_state.spec.checkpoint_interval_s > 0.0)
                })
                .map(|(index_on_machine, _)| index_on_machine)
                .collect();
            for index_on_machine in to_checkpoint {
                self.stop_gracefully(machine_handle, index_on_machine);
            }
        }
    }

    /// Stops the tasks of cancelled jobs, and the remaining tasks of gangs that lost one and
    /// can't be completed. The tasks of a cancelled job get no grace, whatever they were told
    /// before. A gang that is saving goes on: its first task that ends may have saved the
    /// progress of all, and the others end by themselves within `gang_peer_s`.
    pub(super) fn stop_cancelled_and_broken_gangs(&mut self) {
        let mut cancelled = Vec::new();
        let mut broken_gangs = Vec::new();
        for (handle, job) in self.cluster.jobs.iter().filter(|(_, j)| j.live_count > 0) {
            if job.cancelled || job.cancel_indeterminate {
                cancelled.push(handle);
            } else if self.is_broken_gang(handle, job) {
                broken_gangs.push(handle);
            }
        }
        if cancelled.is_empty() && broken_gangs.is_empty() {
            return;
        }
        for machine in self.cluster.machines_mut() {
            for assignment in machine.tasks.iter_mut().filter(|a| a.is_live()) {
                let Some(job) = assignment.job else {
                    continue;
                };
                if cancelled.contains(&job) {
                    assignment.stop.request_immediate();
                } else if broken_gangs.contains(&job) {
                    assignment.stop.request(0.0);
                }
            }
        }
        self.drop_unsent_starts();
    }

    /// Whether the job is a gang that lost a task and can't be completed under the same
    /// attempt.
    fn is_broken_gang(&self, handle: JobHandle, job: &Job) -> bool {
        job.spec.kind == Kind::Gang
            && job.waiting_count() > 0
            && self.knows_all_tasks_of(handle)
            && self.gang_to_complete(handle).is_none()
    }

    /// Removes assignments that are to stop and of which no start was sent that may still be
    /// carried out.
    fn drop_unsent_starts(&mut self) {
        for index in self.cluster.machine_range() {
            let Some((machine_handle, machine)) = self.cluster.machine_at(index) else {
                continue;
            };
            for task_index in (0..machine.tasks.len()).rev() {
                let drop = self.cluster.machine(machine_handle).is_some_and(|machine| {
                    let assignment = &machine.tasks[task_index];
                    assignment.phase == Phase::New
                        && assignment.stop.is_requested()
                        && !assignment
                            .direct_start
                            .may_arrive(machine.acknowledged_token)
                });
                if drop {
                    self.cluster.unassign(machine_handle, task_index);
                    self.changed = true;
                }
            }
        }
    }
}
