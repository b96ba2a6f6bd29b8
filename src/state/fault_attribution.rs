//! Fault attribution: decides whether a job or a machine is at fault when tasks fail,
//! based on which other tasks fail.
//!
//! A job submitted with a mistake fails on every machine; a faulty machine fails every
//! task. Therefore a machine is suspected when jobs fail there that run elsewhere, or
//! when several jobs fail there; a job is suspected when it fails on several machines,
//! or on one machine where other jobs run.
//!
//! Owns the failures of each job and machine and the resulting suspicion, retry delay
//! and quarantine. The leader calls this module when tasks end or are confirmed to run.
//! A job that has run must never be suspected.

use super::{Millis, cluster::MachineHandle};

/// Maximum number of machines remembered per job, and of jobs remembered per machine,
/// with their failures.
const MAX_REMEMBERED_FAILURES: usize = 8;
/// Number of machines on which a job that has never run must fail before the job is
/// suspected.
const MACHINES_TO_SUSPECT_JOB: u32 = 2;
/// Number of jobs that must fail on a machine before it is quarantined, if none of them
/// is known to run elsewhere.
const JOBS_TO_SUSPECT_MACHINE: usize = 3;
/// First delay between retries of a suspected job, in milliseconds.
const FIRST_RETRY_DELAY_MS: Millis = 8_000;
/// Longest delay between retries of a suspected job, in milliseconds.
const MAX_RETRY_DELAY_MS: Millis = 64_000;
/// Time in milliseconds after which a quarantined machine is tried again, if it can't
/// be released because tasks still run there.
const QUARANTINE_RETRY_MS: Millis = 300_000;

/// A job's failures on one machine, stored with the job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailuresOnMachine {
    /// The machine, which may have been removed. A handle is kept so that a machine
    /// that took the same index is never counted against the job.
    pub machine: MachineHandle,
    /// Time of the last failure.
    pub last_failure: Millis,
    /// Number of failures.
    pub count: u32,
}

/// Failures of a job's tasks, and the suspicion and retry delay that follow.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// Whether a task of the job has run, so that the job can't fail everywhere.
    pub has_succeeded: bool,
    /// Failures by machine, the latest last.
    by_machine: Vec<FailuresOnMachine>,
    /// Whether the job itself is thought to be at fault.
    pub suspected: bool,
    /// Whether an earlier leader suspected the job, based on failures that are not
    /// stored.
    inherited: bool,
    retries: u32,
    next_retry_at: Millis,
}

/// A job's failures on one machine, stored with the machine.
#[derive(Debug, Clone)]
struct FailuresOfJob {
    job: String,
    count: u32,
    last_failure: Millis,
    /// Whether the job runs elsewhere.
    job_has_succeeded: bool,
}

/// Failures on a machine, and the quarantine that follows.
#[derive(Debug, Clone, Default)]
pub struct MachineFailures {
    by_job: Vec<FailuresOfJob>,
    /// Latest start time of the tasks that ran on the machine. A task that was started
    /// before a failure is no evidence about the time after the failure.
    last_success: Option<Millis>,
    /// Whether the machine is quarantined: no new task is placed there.
    pub quarantined: bool,
    quarantined_since: Millis,
    /// Whether an earlier leader quarantined the machine, based on failures that are
    /// not stored.
    inherited: bool,
}

impl JobFailures {
    /// Returns the state of a job that an earlier leader recorded as suspected.
    pub fn inherited_suspicion(now: Millis) -> Self {
        JobFailures {
            suspected: true,
            inherited: true,
            next_retry_at: now + FIRST_RETRY_DELAY_MS,
            ..JobFailures::default()
        }
    }

    /// Whether the job failed on the machine: other machines are tried first.
    pub fn failed_on(&self, machine: MachineHandle) -> bool {
        self.by_machine.iter().any(|f| f.machine == machine)
    }

    /// Returns the job's failures by machine, the latest last.
    pub fn failures(&self) -> &[FailuresOnMachine] {
        &self.by_machine
    }

    /// Records that a task of the job failed on the machine.
    pub fn record_failure(&mut self, machine: MachineHandle, now: Millis) {
        let known = self.by_machine.iter().position(|f| f.machine == machine);
        let count = known.map_or(0, |at| self.by_machine.remove(at).count);
        if self.by_machine.len() >= MAX_REMEMBERED_FAILURES {
            self.by_machine.remove(0);
        }
        self.by_machine.push(FailuresOnMachine {
            machine,
            last_failure: now,
            count: count + 1,
        });
    }

    /// Discards the job's failures on a machine that turned out to be at fault.
    pub fn clear_machine(&mut self, machine: MachineHandle) {
        self.by_machine.retain(|f| f.machine != machine);
    }

    /// Records that a task of the job ran: whatever failed before, the job was not at
    /// fault.
    pub fn record_success(&mut self) {
        *self = JobFailures {
            has_succeeded: true,
            ..JobFailures::default()
        };
    }

    /// Re-evaluates whether the job is suspected and returns whether that changed.
    /// `machine` returns whether a machine is confirmed faulty, and the latest start
    /// time of the tasks that ran there.
    pub fn reevaluate(
        &mut self,
        now: Millis,
        machine: impl Fn(MachineHandle) -> (bool, Option<Millis>),
    ) -> bool {
        let weight: u32 = self
            .by_machine
            .iter()
            .map(|f| match machine(f.machine) {
                (true, _) => 0,
                // Other jobs run on the machine where this job failed: this counts as
                // much as failing on a second machine.
                (false, Some(success)) if success > f.last_failure => MACHINES_TO_SUSPECT_JOB,
                (false, _) => 1,
            })
            .sum();
        let suspected =
            !self.has_succeeded && (self.inherited || weight >= MACHINES_TO_SUSPECT_JOB);
        if suspected == self.suspected {
            return false;
        }
        self.suspected = suspected;
        self.retries = 0;
        self.next_retry_at = 0;
        self.delay_retry(now);
        true
    }

    /// Delays the next start after a start of a job that has never run has failed. The
    /// delay is much longer if the job is suspected. Failures of many tasks of one
    /// start count once.
    pub fn delay_retry(&mut self, now: Millis) {
        if self.has_succeeded || now < self.next_retry_at {
            return;
        }
        let (first, longest) = match self.suspected {
            true => (FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
            false => (FIRST_RETRY_DELAY_MS / 16, FIRST_RETRY_DELAY_MS),
        };
        self.next_retry_at = now + (first << self.retries.min(5)).min(longest);
        self.retries += 1;
    }

    /// Whether the next start is still delayed. The delay also keeps a failing job from
    /// repeatedly taking the only free capacity.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.next_retry_at
    }

    /// Returns the time from which the job may be started again.
    pub fn next_retry_at(&self) -> Millis {
        self.next_retry_at
    }
}

impl MachineFailures {
    /// Returns the state of a machine that an earlier leader recorded as quarantined.
    pub fn inherited_quarantine(now: Millis) -> Self {
        MachineFailures {
            quarantined: true,
            quarantined_since: now,
            inherited: true,
            ..MachineFailures::default()
        }
    }

    /// Returns the latest start time of the tasks that ran on the machine.
    pub fn last_success(&self) -> Option<Millis> {
        self.last_success
    }

    /// Whether jobs that run elsewhere fail on the machine. A quarantine based only on
    /// other jobs may prove wrong: all those jobs may themselves be at fault.
    pub fn is_confirmed_faulty(&self) -> bool {
        self.quarantined && (self.inherited || self.fails_proven_jobs())
    }

    fn fails_proven_jobs(&self) -> bool {
        self.by_job
            .iter()
            .any(|f| f.job_has_succeeded && f.count >= 2)
    }

    /// Records that a task started at `started` ran on the machine.
    pub fn record_success(&mut self, started: Millis) {
        self.last_success = self.last_success.max(Some(started));
        self.by_job.retain(|f| f.last_failure >= started);
    }

    /// Records that `count` tasks of the job failed on the machine. `proven`: whether
    /// the job runs elsewhere.
    pub fn record_failure(&mut self, job: &str, proven: bool, count: u32, now: Millis) {
        if let Some(f) = self.by_job.iter_mut().find(|f| f.job == job) {
            f.count += count;
            f.last_failure = now;
            f.job_has_succeeded |= proven;
        } else if self.by_job.len() < MAX_REMEMBERED_FAILURES {
            self.by_job.push(FailuresOfJob {
                job: job.to_owned(),
                count,
                last_failure: now,
                job_has_succeeded: proven,
            });
        }
    }

    /// Discards the failures of a job that turned out to be at fault itself.
    pub fn clear_job(&mut self, job: &str) {
        self.by_job.retain(|f| f.job != job);
    }

    /// Re-evaluates the quarantine and returns whether it changed. The quarantine ends
    /// if the jobs that failed on the machine turned out to be at fault.
    pub fn reevaluate(&mut self, now: Millis) -> bool {
        let faulty = self.inherited
            || self.fails_proven_jobs()
            || self.by_job.len() >= JOBS_TO_SUSPECT_MACHINE;
        if faulty && !self.quarantined {
            self.quarantined_since = now;
        }
        std::mem::replace(&mut self.quarantined, faulty) != faulty
    }

    /// Ends the quarantine when its retry time has passed, and returns whether it did.
    /// This applies to machines that can't be released because tasks still run there.
    pub fn end_quarantine_if_due(&mut self, now: Millis) -> bool {
        let due = self.quarantined && now >= self.quarantined_since + QUARANTINE_RETRY_MS;
        if due {
            *self = MachineFailures {
                last_success: self.last_success,
                ..MachineFailures::default()
            };
        }
        due
    }
}

#[cfg(test)]
mod tests;
