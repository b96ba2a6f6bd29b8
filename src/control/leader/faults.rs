//! Fault attribution: whether the job or the machine is at fault when tasks fail, and
//! what follows: retry delay, suspicion, quarantine.
//!
//! Called with the ends and starts of tasks that heartbeats report, and from `tick`.
//! Failures of a suspected job must never count against a machine.

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
        why: ExitReason,
        now: Millis,
    ) {
        let Some(job) = self.cluster.job_mut(job_handle) else {
            return;
        };
        match why {
            ExitReason::Done => job.consecutive_refusals = 0,
            ExitReason::Error => {
                job.failures.record_failure(machine, now);
                job.failures.delay_retry(now);
                let (id, proven) = (job.id.clone(), job.failures.has_succeeded);
                let suspected = job.failures.suspected;
                // Failures of a suspected job prove nothing.
                if let Some(m) = self.cluster.machine_mut(machine).filter(|_| !suspected) {
                    m.failures.record_failure(&id, proven, 1, now);
                }
                if !proven && !self.events.suspects.contains(&job_handle) {
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
        // Guards against starting again in a tight loop what comes to nothing
        // each time, if only one task of a job that runs otherwise.
        let counts = |j: &&mut Job| {
            why != ExitReason::Done && (why != ExitReason::Error || j.failures.has_succeeded)
        };
        if let Some(j) = self.cluster.job_mut(job_handle).filter(counts) {
            j.consecutive_refusals += 1;
            if j.consecutive_refusals > 2 {
                j.backoff_until = now + (500 << j.consecutive_refusals.min(7));
            }
        }
        if why != ExitReason::Done
            && let (Some(j), Some(m)) =
                (self.cluster.job(job_handle), self.cluster.machine(machine))
        {
            let (task, machine) = (format!("{}/{task}", j.id), m.name.clone());
            log::debug!("task {task} failed on {machine}: {why:?}");
            self.note_failure(task, machine, why, now);
        }
    }

    /// A task of the job, started then, runs there or has completed.
    pub(super) fn on_task_running(
        &mut self,
        machine: MachineHandle,
        job: Option<JobHandle>,
        started: Millis,
        now: Millis,
    ) {
        if let Some(m) = self.cluster.machine_mut(machine) {
            m.failures.record_success(started);
        }
        if let Some(job_handle) = job
            && let Some(j) = self.cluster.job_mut(job_handle)
            && !j.failures.has_succeeded
        {
            let suspects = j.failures.failures().to_vec();
            let was = j.failures.suspected;
            j.failures.record_success();
            let id = j.id.clone();
            if was {
                self.record_suspicion_change(job_handle);
            }
            self.events.suspects.retain(|a| *a != job_handle);
            // It runs, so what failed it is the machine, unless one that was
            // started there later runs too.
            for f in suspects {
                if let Some(m) = self.cluster.machine_mut(f.machine)
                    && m.failures
                        .last_success()
                        .is_none_or(|good| good <= f.last_failure)
                {
                    m.failures.clear_job(&id);
                    m.failures
                        .record_failure(&id, true, f.count, f.last_failure);
                }
                self.reevaluate_machine(f.machine, now);
            }
        }
        // Where one runs, others that failed there are suspected.
        self.reevaluate_suspects(machine, now);
    }

    /// Judges again all jobs that failed on the machine.
    fn reevaluate_suspects(&mut self, machine: MachineHandle, now: Millis) {
        let mut suspects = std::mem::take(&mut self.events.suspects);
        suspects.retain(|j| {
            let job = self.cluster.job(*j);
            job.is_some_and(|j| !j.failures.has_succeeded && !j.failures.failures().is_empty())
        });
        for &j in &suspects {
            let there = self.cluster.job(j).map(|j| j.failures.failed_on(machine));
            if there == Some(true) {
                self.reevaluate_job(j, now);
            }
        }
        self.events.suspects = suspects;
    }

    fn reevaluate_job(&mut self, job_handle: JobHandle, now: Millis) {
        let Some(j) = self.cluster.job(job_handle) else {
            return;
        };
        let mut file = j.failures.clone();
        let changed = file.reevaluate(now, |m| {
            let m = self.cluster.machine(m);
            m.map_or((false, None), |m| {
                (m.failures.is_confirmed_faulty(), m.failures.last_success())
            })
        });
        let (id, suspected) = (j.id.clone(), file.suspected);
        let suspects = file.failures().to_vec();
        if let Some(j) = self.cluster.job_mut(job_handle) {
            j.failures = file;
        }
        if !changed {
            return;
        }
        self.record_suspicion_change(job_handle);
        for f in suspects.iter().filter(|_| suspected) {
            if let Some(m) = self.cluster.machine_mut(f.machine) {
                m.failures.clear_job(&id);
            }
            self.reevaluate_machine(f.machine, now);
        }
    }

    /// Notes and records that a job is suspected, or no longer.
    fn record_suspicion_change(&mut self, job_handle: JobHandle) {
        self.changed = true;
        if let Some(j) = self.cluster.job_mut(job_handle) {
            match j.failures.suspected {
                true => log::info!("job {} is suspected: it fails wherever it starts", j.id),
                false => log::info!("job {} is no longer suspected", j.id),
            }
            // It is written with the first tasks done.
            if let Some(first) = j.dirty_segments.first_mut() {
                *first = true;
            }
        }
    }

    fn reevaluate_machine(&mut self, machine: MachineHandle, now: Millis) {
        let Some(m) = self.cluster.machine_mut(machine) else {
            return;
        };
        if !m.failures.reevaluate(now) {
            return;
        }
        m.quarantine_unrecorded = true;
        self.changed = true;
        match m.failures.quarantined {
            true => log::info!("machine {} quarantined: tasks fail on it", m.name),
            false => log::info!("machine {} leaves quarantine: a job was at fault", m.name),
        }
        // What failed there says nothing of the jobs, also once it is gone.
        if m.failures.is_confirmed_faulty() {
            for j in self.events.suspects.clone() {
                if let Some(j) = self.cluster.job_mut(j) {
                    j.failures.clear_machine(machine);
                }
                self.reevaluate_job(j, now);
            }
        }
        self.reevaluate_suspects(machine, now);
    }

    /// Machines that are quarantined, but can't be returned, are retried.
    pub(super) fn retry_quarantined(&mut self, now: Millis) {
        let all = self.cluster.machines_by_handle();
        let aside = all.filter(|(_, m)| m.failures.quarantined && m.live_tasks() > 0);
        let aside: Vec<MachineHandle> = aside.map(|(machine_handle, _)| machine_handle).collect();
        for machine_handle in aside {
            if let Some(m) = self.cluster.machine_mut(machine_handle)
                && m.failures.end_quarantine_if_due(now)
            {
                log::info!("machine {} leaves quarantine on probation", m.name);
                m.quarantine_unrecorded = true;
            }
        }
    }
}
