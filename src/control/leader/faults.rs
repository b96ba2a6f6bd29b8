//! Fault attribution: decides whether the job or the machine is at fault when tasks fail,
//! and applies the consequences: retry delay, suspicion of the job, quarantine of the
//! machine.
//!
//! Called with the task starts and ends that heartbeats report, and from `tick`.
//! Invariant: failures of a suspected job never count against a machine.

use super::Leader;
use crate::{
    protocol::workers::ExitReason,
    state::{
        Millis,
        cluster::{Job, JobHandle, MachineHandle},
    },
};

impl Leader {
    pub(super) fn on_task_ended(
        &mut self,
        machine: MachineHandle,
        job_handle: JobHandle,
        task: u32,
        reason: ExitReason,
        now: Millis,
    ) {
        let Some(job) = self.cluster.job_mut(job_handle) else {
            return;
        };
        match reason {
            ExitReason::Done => job.unsuccessful_starts = 0,
            ExitReason::Error => {
                job.failures.record_failure(machine, now);
                job.failures.delay_retry(now);
                let (id, has_succeeded) = (job.id.clone(), job.failures.has_succeeded);
                let suspected = job.failures.suspected;
                // Failures of a suspected job say nothing about the machine.
                if let Some(machine_state) =
                    self.cluster.machine_mut(machine).filter(|_| !suspected)
                {
                    machine_state
                        .failures
                        .record_failure(&id, has_succeeded, 1, now);
                }
                if !has_succeeded && !self.events.suspects.contains(&job_handle) {
                    self.events.suspects.push(job_handle);
                }
                self.reevaluate_machine(machine, now);
                self.reevaluate_job(job_handle, now);
            }
            ExitReason::UnknownTask
            | ExitReason::Other
            | ExitReason::InsufficientResources
            | ExitReason::DuplicateTask => {}
            ExitReason::Stopped | ExitReason::GangMemberLost | ExitReason::GangIncomplete => return,
        }
        // Guards against restarting in a tight loop a task that fails to run each time,
        // even if it is the only such task of a job whose other tasks run.
        let counts_as_refusal = |job_state: &&mut Job| {
            reason != ExitReason::Done
                && (reason != ExitReason::Error || job_state.failures.has_succeeded)
        };
        if let Some(job_state) = self.cluster.job_mut(job_handle).filter(counts_as_refusal) {
            job_state.unsuccessful_starts += 1;
            if job_state.unsuccessful_starts > 2 {
                job_state.backoff_until = now + (500 << job_state.unsuccessful_starts.min(7));
            }
        }
        if reason != ExitReason::Done
            && let (Some(job_state), Some(machine_state)) =
                (self.cluster.job(job_handle), self.cluster.machine(machine))
        {
            let (task, machine) = (
                format!("{}/{task}", job_state.id),
                machine_state.name.clone(),
            );
            log::debug!("task {task} failed on {machine}: {reason:?}");
            self.note_failure(task, machine, reason, now);
        }
    }

    /// Records that a task of the job, started at `started_at`, is running on the machine or has
    /// completed there.
    pub(super) fn on_task_running(
        &mut self,
        machine: MachineHandle,
        job: Option<JobHandle>,
        started_at: Millis,
        now: Millis,
    ) {
        if let Some(machine_state) = self.cluster.machine_mut(machine) {
            machine_state.failures.record_success(started_at);
        }
        if let Some(job_handle) = job
            && let Some(job_state) = self.cluster.job_mut(job_handle)
            && !job_state.failures.has_succeeded
        {
            let earlier_failures = job_state.failures.failures().to_vec();
            let was_suspected = job_state.failures.suspected;
            job_state.failures.record_success();
            let id = job_state.id.clone();
            if was_suspected {
                self.record_suspicion_change(job_handle);
            }
            self.events.suspects.retain(|a| *a != job_handle);
            // As the job can run, its earlier failures are attributed to the machines on
            // which it failed, except those on which a task has succeeded since the failure.
            for failure in earlier_failures {
                if let Some(machine_state) = self.cluster.machine_mut(failure.machine)
                    && machine_state
                        .failures
                        .last_success()
                        .is_none_or(|success_at| success_at <= failure.last_failure)
                {
                    machine_state.failures.clear_job(&id);
                    machine_state.failures.record_failure(
                        &id,
                        true,
                        failure.count,
                        failure.last_failure,
                    );
                }
                self.reevaluate_machine(failure.machine, now);
            }
        }
        // A task runs on this machine, so other jobs that failed on it may be at fault
        // themselves.
        self.reevaluate_suspects(machine, now);
    }

    /// Reevaluates all suspect jobs that failed on the machine.
    fn reevaluate_suspects(&mut self, machine: MachineHandle, now: Millis) {
        let mut suspects = std::mem::take(&mut self.events.suspects);
        suspects.retain(|j| {
            let job = self.cluster.job(*j);
            job.is_some_and(|j| !j.failures.has_succeeded && !j.failures.failures().is_empty())
        });
        for &j in &suspects {
            let failed_there = self.cluster.job(j).map(|j| j.failures.failed_on(machine));
            if failed_there == Some(true) {
                self.reevaluate_job(j, now);
            }
        }
        self.events.suspects = suspects;
    }

    fn reevaluate_job(&mut self, job_handle: JobHandle, now: Millis) {
        let Some(job) = self.cluster.job(job_handle) else {
            return;
        };
        let mut failures = job.failures.clone();
        let changed = failures.reevaluate(now, |m| {
            let m = self.cluster.machine(m);
            m.map_or((false, None), |m| {
                (m.failures.is_confirmed_faulty(), m.failures.last_success())
            })
        });
        let (id, suspected) = (job.id.clone(), failures.suspected);
        let recorded_failures = failures.failures().to_vec();
        if let Some(job) = self.cluster.job_mut(job_handle) {
            job.failures = failures;
        }
        if !changed {
            return;
        }
        self.record_suspicion_change(job_handle);
        for failure in recorded_failures.iter().filter(|_| suspected) {
            if let Some(m) = self.cluster.machine_mut(failure.machine) {
                m.failures.clear_job(&id);
            }
            self.reevaluate_machine(failure.machine, now);
        }
    }

    /// Logs that a job is suspected or no longer suspected, and marks its record for writing.
    fn record_suspicion_change(&mut self, job_handle: JobHandle) {
        self.changed = true;
        if let Some(j) = self.cluster.job_mut(job_handle) {
            match j.failures.suspected {
                true => log::info!("job {} is suspected: it fails wherever it is started", j.id),
                false => log::info!("job {} is no longer suspected", j.id),
            }
            // The suspicion is stored in the job's record, like the first segment of the
            // completion bitmap.
            if let Some(first) = j.dirty_segments.first_mut() {
                *first = true;
            }
        }
    }

    fn reevaluate_machine(&mut self, machine: MachineHandle, now: Millis) {
        let Some(machine_state) = self.cluster.machine_mut(machine) else {
            return;
        };
        if !machine_state.failures.reevaluate(now) {
            return;
        }
        machine_state.quarantine_unrecorded = true;
        self.changed = true;
        match machine_state.failures.quarantined {
            true => log::info!(
                "machine {} quarantined: tasks fail on it",
                machine_state.name
            ),
            false => log::info!(
                "machine {} left quarantine: a job was at fault",
                machine_state.name
            ),
        }
        // Failures on a machine that is at fault say nothing about the jobs. They are cleared
        // from the jobs, so that they do not count after the machine is gone either.
        if machine_state.failures.is_confirmed_faulty() {
            for j in self.events.suspects.clone() {
                if let Some(j) = self.cluster.job_mut(j) {
                    j.failures.clear_machine(machine);
                }
                self.reevaluate_job(j, now);
            }
        }
        self.reevaluate_suspects(machine, now);
    }

    /// Ends the quarantine, when it is due, of machines that can't be released because tasks
    /// still run on them.
    pub(super) fn retry_quarantined(&mut self, now: Millis) {
        let all = self.cluster.machines_with_handles();
        let quarantined =
            all.filter(|(_, machine)| machine.failures.quarantined && machine.live_tasks() > 0);
        let quarantined: Vec<MachineHandle> = quarantined
            .map(|(machine_handle, _)| machine_handle)
            .collect();
        for machine_handle in quarantined {
            if let Some(machine) = self.cluster.machine_mut(machine_handle)
                && machine.failures.end_quarantine_if_due(now)
            {
                log::info!("machine {} left quarantine on probation", machine.name);
                machine.quarantine_unrecorded = true;
            }
        }
    }
}
