//! What time alone brings: lease expiry, reclaim notices, and stops of tasks that may
//! not go on.
//!
//! Called from `tick`. It must never take missed heartbeats for a failed machine where
//! this process paused, nor take its tasks for gone before its lease has expired.

use super::{Leader, millis};
use crate::{
    protocol::users::Kind,
    state::{
        Millis,
        cluster::{Phase, Registration},
    },
};

/// So many overdue machines at once, if they are most of all, show that this node
/// receives nothing, not that they failed.
const MIN_OVERDUE_MACHINES: usize = 3;
/// For how long nothing is requested in their place: they may find their way to this
/// leader.
const NO_SCALE_OUT_MS: Millis = 5_000;

impl Leader {
    /// This process paused, or could not keep up, until now. What arrived meanwhile is
    /// still to be read, so no machine is taken for unresponsive before that.
    ///
    /// Lease expiry is another matter: nothing was answered during the pause, so leases
    /// did expire.
    pub fn process_resumed(&mut self, now: Millis) {
        self.recovery.resumed_at = now;
    }

    /// Machines whose heartbeats are overdue, and how many others are up.
    pub fn overdue_machines(&self, now: Millis) -> (Vec<String>, usize) {
        let report = millis(self.settings.cluster.workers.report_s);
        let mut heard = 0;
        let mut names = Vec::new();
        for m in self.cluster.each_machine().filter(|m| m.up) {
            if now > m.last_heartbeat.max(self.recovery.resumed_at) + report + report / 2 + 500 {
                names.push(m.name.clone());
            } else {
                heard += 1;
            }
        }
        names.truncate(500);
        (names, heard)
    }

    pub(super) fn expire_leases(&mut self, now: Millis) {
        let after = self.lease_expiry();
        let overdue = millis(self.settings.cluster.workers.report_s * 2.5) + 500;
        let resumed = self.recovery.resumed_at;
        let mut silent = vec![0; self.cluster.zones.len()];
        let (mut up, mut overdue_now, mut unheard) = (0, 0, 0);
        for index in self.cluster.machine_range() {
            let Some((machine_handle, m)) = self.cluster.machine_at(index) else {
                continue;
            };
            let suspect = m.up && now > m.last_heartbeat.max(resumed) + overdue;
            if suspect || (!m.up && (m.incarnation > 0 || m.registration == Registration::Present))
            {
                silent[m.zone] += 1;
            }
            up += usize::from(m.up);
            unheard += usize::from(m.contents_unknown);
            overdue_now += usize::from(suspect || m.up && m.misses_responses());
            let changed = m.overdue != suspect;
            let lapsed = (m.up || m.contents_unknown) && now > m.lease_start() + after;
            if !changed && !lapsed {
                continue;
            }
            let Some(m) = self.cluster.machine_mut(machine_handle) else {
                continue;
            };
            if changed {
                m.overdue = suspect;
                m.overdue_since = now;
                self.changed = true;
                log::debug!("machine {} overdue: {suspect}", m.name);
            }
            if !lapsed {
                continue;
            }
            log::info!(
                "machine {} unresponsive: its lease has expired, {} tasks gone",
                m.name,
                m.live_tasks()
            );
            m.up = false;
            m.contents_unknown = false;
            // Also for one whose heartbeats were all out of date.
            m.min_incarnation = m.incarnation.max(m.latest_heartbeat.0) + 1;
            m.state_since = now;
            self.cluster.clear_machine(machine_handle);
            self.changed = true;
        }
        (
            self.recovery.responsive_machines,
            self.recovery.unconfirmed_machines,
        ) = (up, unheard);
        if overdue_now >= MIN_OVERDUE_MACHINES && 2 * overdue_now > up {
            self.scaling.no_scale_out_until = now + NO_SCALE_OUT_MS;
        }
        self.update_zone_health(&silent, overdue, now);
    }

    /// The cloud reclaims a machine: tasks with checkpoints save now, as the notice may
    /// be half as long as it says. The others may yet complete.
    pub(super) fn checkpoint_before_reclaim(&mut self) {
        for index in self.cluster.machine_range() {
            let machine = self.cluster.machine_at(index);
            let Some((machine_handle, m)) = machine.filter(|(_, m)| m.reclaim_at.is_some()) else {
                continue;
            };
            let saving: Vec<usize> = m
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, a)| a.phase == Phase::Running && a.stop_grace_s.is_none())
                .filter(|(_, a)| {
                    a.job
                        .and_then(|job| self.cluster.job(job))
                        .is_some_and(|j| j.spec.checkpoint_interval_s > 0.0)
                })
                .map(|(at, _)| at)
                .collect();
            for at in saving {
                self.stop_gracefully(machine_handle, at);
            }
        }
    }

    /// Stops tasks of cancelled jobs, and the rest of gangs that lost a task.
    pub(super) fn stop_cancelled_and_broken_gangs(&mut self) {
        let mut stop = Vec::new();
        for (handle, j) in self.cluster.jobs.iter() {
            if j.live_count > 0
                && (j.cancelled
                    || j.cancel_indeterminate
                    || j.spec.kind == Kind::Gang
                        && j.waiting_count() > 0
                        && self.hears_all_tasks_of(handle)
                        && self.gang_to_complete(handle).is_none())
            {
                stop.push(handle);
            }
        }
        if stop.is_empty() {
            return;
        }
        for m in self.cluster.each_machine_mut() {
            for a in m.tasks.iter_mut() {
                if a.is_live()
                    && a.stop_grace_s.is_none()
                    && a.job.is_some_and(|job| stop.contains(&job))
                {
                    a.stop_grace_s = Some(0.0);
                }
            }
        }
        for index in self.cluster.machine_range() {
            let Some((machine_handle, m)) = self.cluster.machine_at(index) else {
                continue;
            };
            // Never sent, and of no unknown outcome: simply not launched.
            for at in (0..m.tasks.len()).rev() {
                let drop = self.cluster.machine(machine_handle).is_some_and(|m| {
                    let a = &m.tasks[at];
                    a.phase == Phase::New && a.stop_grace_s.is_some() && a.indeterminate_token == 0
                });
                if drop {
                    self.cluster.unassign(machine_handle, at);
                    self.changed = true;
                }
            }
        }
    }
}
