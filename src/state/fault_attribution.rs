//! Fault attribution: whether a job or a machine is at fault when tasks fail,
//! by what else fails.
//!
//! A job submitted with a mistake fails on every machine; a faulty machine
//! fails every task. So a machine is suspected by failures of jobs that run
//! elsewhere, or of several jobs, and a job by failures on several machines, or
//! on one where others run.
//!
//! Owns the failures of each job and machine and what follows from them:
//! suspicion, delay of retries, quarantine. Called by the leader as tasks end or
//! are confirmed to run. Must never suspect a job that has run.

use super::{Millis, cluster::MachineHandle};

/// Failures that are remembered of a job or a machine.
const MAX_REMEMBERED_FAILURES: usize = 8;
/// Machines on which a job that has never run must fail to be suspected.
const MACHINES_TO_SUSPECT_JOB: u32 = 2;
/// Jobs of which nothing is known that must fail on a machine to quarantine it.
const JOBS_TO_SUSPECT_MACHINE: usize = 3;
/// The first delay between retries of a suspected job.
const FIRST_RETRY_DELAY_MS: Millis = 8_000;
/// The longest.
const MAX_RETRY_DELAY_MS: Millis = 64_000;
/// A machine that is quarantined, but kept for what runs there, is retried.
const QUARANTINE_RETRY_MS: Millis = 300_000;

/// A job's failures on one machine, as the job keeps them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailuresOnMachine {
    /// The machine, which may be gone: never one that took its index, as that would
    /// be held against the job.
    pub machine: MachineHandle,
    /// When the last one was.
    pub last_failure: Millis,
    /// How many there were.
    pub count: u32,
}

/// Failures of a job's tasks, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// Some task of it has run, so it can't fail everywhere.
    pub has_succeeded: bool,
    /// Machines on which it failed.
    by_machine: Vec<FailuresOnMachine>,
    /// It is thought to be at fault itself.
    pub suspected: bool,
    /// An earlier leader suspected it, by failures that are not stored.
    inherited: bool,
    retries: u32,
    next_retry_at: Millis,
}

/// A job's failures on one machine, as the machine keeps them.
#[derive(Debug, Clone)]
struct FailuresOfJob {
    job: String,
    count: u32,
    last_failure: Millis,
    /// The job runs elsewhere.
    job_has_succeeded: bool,
}

/// Failures on a machine, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct MachineFailures {
    by_job: Vec<FailuresOfJob>,
    /// When the latest of the tasks that ran there was started. A task started
    /// before a failure says nothing of the time after it.
    last_success: Option<Millis>,
    /// Nothing new is placed there.
    pub quarantined: bool,
    quarantined_since: Millis,
    /// An earlier leader quarantined it, by failures that are not stored.
    inherited: bool,
}

impl JobFailures {
    /// As recorded by an earlier leader.
    pub fn inherited_suspicion(now: Millis) -> Self {
        JobFailures {
            suspected: true,
            inherited: true,
            next_retry_at: now + FIRST_RETRY_DELAY_MS,
            ..JobFailures::default()
        }
    }

    /// Whether it failed there: other machines are tried first.
    pub fn failed_on(&self, machine: MachineHandle) -> bool {
        self.by_machine.iter().any(|f| f.machine == machine)
    }

    /// Its failures by machine, the latest last.
    pub fn failures(&self) -> &[FailuresOnMachine] {
        &self.by_machine
    }

    /// A task of it failed on the machine.
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

    /// The machine was at fault for what failed there.
    pub fn clear_machine(&mut self, machine: MachineHandle) {
        self.by_machine.retain(|f| f.machine != machine);
    }

    /// A task of it ran: whatever failed before, the job was not at fault.
    pub fn record_success(&mut self) {
        *self = JobFailures {
            has_succeeded: true,
            ..JobFailures::default()
        };
    }

    /// Decides again whether the job is suspected, and returns whether that
    /// changed. `machine`: whether it is surely at fault, and when the last task
    /// that ran there was started.
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
                // Others run where it failed: counts as much as a second machine.
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

    /// A start of a job that has never run has failed: the next one is delayed,
    /// and much more if it is suspected. The many tasks of one start count once.
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

    /// Whether the next start is delayed for now. This also keeps a failing job
    /// from taking the only free capacity again and again.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.next_retry_at
    }

    /// When it may be started again.
    pub fn next_retry_at(&self) -> Millis {
        self.next_retry_at
    }
}

impl MachineFailures {
    /// As recorded by an earlier leader.
    pub fn inherited_quarantine(now: Millis) -> Self {
        MachineFailures {
            quarantined: true,
            quarantined_since: now,
            inherited: true,
            ..MachineFailures::default()
        }
    }

    /// When the latest of the tasks that ran there was started.
    pub fn last_success(&self) -> Option<Millis> {
        self.last_success
    }

    /// Whether jobs that run elsewhere fail there. A quarantine by other jobs
    /// alone may prove wrong: they may all be at fault themselves.
    pub fn is_confirmed_faulty(&self) -> bool {
        self.quarantined && (self.inherited || self.fails_proven_jobs())
    }

    fn fails_proven_jobs(&self) -> bool {
        self.by_job
            .iter()
            .any(|f| f.job_has_succeeded && f.count >= 2)
    }

    /// A task that was started then ran there.
    pub fn record_success(&mut self, started: Millis) {
        self.last_success = self.last_success.max(Some(started));
        self.by_job.retain(|f| f.last_failure >= started);
    }

    /// So many tasks of the job failed there.
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

    /// The job itself turned out to be at fault.
    pub fn clear_job(&mut self, job: &str) {
        self.by_job.retain(|f| f.job != job);
    }

    /// Decides again on the quarantine, and returns whether it changed: it ends
    /// if the jobs that failed there turned out to be at fault.
    pub fn reevaluate(&mut self, now: Millis) -> bool {
        let faulty = self.inherited
            || self.fails_proven_jobs()
            || self.by_job.len() >= JOBS_TO_SUSPECT_MACHINE;
        if faulty && !self.quarantined {
            self.quarantined_since = now;
        }
        std::mem::replace(&mut self.quarantined, faulty) != faulty
    }

    /// A quarantined machine that can't be released, as something still runs
    /// there, is tried again after a while. Returns whether that is now.
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
