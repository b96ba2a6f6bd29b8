//! Whether a job or a machine is at fault when tasks fail, by who else fails.
//!
//! A job submitted with a mistake fails on every machine; a faulty machine
//! fails every task. So a machine is accused by jobs that run elsewhere, or by
//! several jobs, and a job by several machines, or by one on which others run.

use super::Millis;

/// Failures that are remembered of a job or a machine.
const MAX_REMEMBERED_FAILURES: usize = 8;
/// So many machines accuse a job that has never run.
const MACHINES_TO_SUSPECT_JOB: u32 = 2;
/// So many jobs of which nothing is known accuse a machine.
const JOBS_TO_SUSPECT_MACHINE: usize = 3;
/// Pauses between tries of a suspected job.
const FIRST_RETRY_DELAY_MS: Millis = 8_000;
const MAX_RETRY_DELAY_MS: Millis = 64_000;
/// A machine that is quarantined, but kept for what runs there, is retried.
const QUARANTINE_RETRY_MS: Millis = 300_000;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailuresOnMachine {
    pub machine: u32,
    pub last_failure: Millis,
    pub count: u32,
}

/// What is held against a job.
#[derive(Debug, Clone, Default)]
pub struct JobFailures {
    /// Some task of it has run, so it can't fail everywhere.
    pub has_succeeded: bool,
    /// Machines on which it failed.
    by_machine: Vec<FailuresOnMachine>,
    pub suspected: bool,
    /// An earlier leader suspected it, on evidence that is not kept.
    inherited: bool,
    retries: u32,
    next_retry_at: Millis,
}

/// A job's failures on one machine.
#[derive(Debug, Clone)]
struct FailuresOfJob {
    job: String,
    count: u32,
    last_failure: Millis,
    /// The job runs elsewhere.
    job_has_succeeded: bool,
}

/// What is held against a machine.
#[derive(Debug, Clone, Default)]
pub struct MachineFailures {
    by_job: Vec<FailuresOfJob>,
    /// When the latest of the tasks that ran there was started. One that was
    /// started before a failure says nothing of the time after it.
    last_success: Option<Millis>,
    pub quarantined: bool,
    quarantined_since: Millis,
    /// An earlier leader set it aside, on evidence that is not kept.
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

    /// Whether it failed there: it is tried elsewhere first.
    pub fn failed_on(&self, machine: u32) -> bool {
        self.by_machine.iter().any(|f| f.machine == machine)
    }

    pub fn failures(&self) -> &[FailuresOnMachine] {
        &self.by_machine
    }

    pub fn record_failure(&mut self, machine: u32, now: Millis) {
        let at = self.by_machine.iter().position(|f| f.machine == machine);
        let before = at.map_or(0, |at| self.by_machine.remove(at).count);
        if self.by_machine.len() >= MAX_REMEMBERED_FAILURES {
            self.by_machine.remove(0);
        }
        self.by_machine.push(FailuresOnMachine {
            machine,
            last_failure: now,
            count: before + 1,
        });
    }

    /// The machine was at fault.
    pub fn clear_machine(&mut self, machine: u32) {
        self.by_machine.retain(|f| f.machine != machine);
    }

    /// A task of it ran: whatever failed, it was not the job.
    pub fn record_success(&mut self) {
        *self = JobFailures {
            has_succeeded: true,
            ..JobFailures::default()
        };
    }

    /// Weighs the evidence again. `machine`: whether it is surely at fault,
    /// and when a task last ran there. Returns whether the verdict has changed.
    pub fn reevaluate(
        &mut self,
        now: Millis,
        machine: impl Fn(u32) -> (bool, Option<Millis>),
    ) -> bool {
        let weight: u32 = self
            .by_machine
            .iter()
            .map(|f| match machine(f.machine) {
                (true, _) => 0,
                // Others run where it failed: as good as a second machine.
                (false, Some(good)) if good > f.last_failure => MACHINES_TO_SUSPECT_JOB,
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

    /// A try of a job that has never run has failed: the next one later, and
    /// much later if it is suspected. The many tasks of one try count once.
    pub fn delay_retry(&mut self, now: Millis) {
        if self.has_succeeded || now < self.next_retry_at {
            return;
        }
        let (first, last) = match self.suspected {
            true => (FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
            false => (FIRST_RETRY_DELAY_MS / 16, FIRST_RETRY_DELAY_MS),
        };
        self.next_retry_at = now + (first << self.retries.min(5)).min(last);
        self.retries += 1;
    }

    /// Whether the job is put off for now. Guards, too, against a job that
    /// takes the only room there is again and again.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.next_retry_at
    }

    pub fn next_retry_at(&self) -> Millis {
        self.next_retry_at
    }
}

impl MachineFailures {
    pub fn inherited_quarantine(now: Millis) -> Self {
        MachineFailures {
            quarantined: true,
            quarantined_since: now,
            inherited: true,
            ..MachineFailures::default()
        }
    }

    pub fn last_success(&self) -> Option<Millis> {
        self.last_success
    }

    /// Jobs that run elsewhere fail there. A verdict on the word of others
    /// alone may turn round: they may all be broken.
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

    /// Returns whether the verdict has changed. A machine quarantined on the
    /// word of jobs that turned out to be at fault comes back.
    pub fn reevaluate(&mut self, now: Millis) -> bool {
        let guilty = self.inherited
            || self.fails_proven_jobs()
            || self.by_job.len() >= JOBS_TO_SUSPECT_MACHINE;
        if guilty && !self.quarantined {
            self.quarantined_since = now;
        }
        std::mem::replace(&mut self.quarantined, guilty) != guilty
    }

    /// A machine that can't be returned, as something still runs there, is
    /// retried after a while. Returns whether that is now.
    pub fn end_quarantine_if_due(&mut self, now: Millis) -> bool {
        let again = self.quarantined && now >= self.quarantined_since + QUARANTINE_RETRY_MS;
        if again {
            *self = MachineFailures {
                last_success: self.last_success,
                ..MachineFailures::default()
            };
        }
        again
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_job_that_fails_on_two_machines_is_suspected_unless_one_of_those_is_at_fault() {
        let mut j = JobFailures::default();
        j.record_failure(1, 100);
        j.record_failure(1, 200);
        assert!(
            !j.reevaluate(200, |_| (false, None)),
            "one machine is no proof"
        );
        j.record_failure(2, 300);
        let mut other = j.clone();
        assert!(!other.reevaluate(300, |m| (m == 1, None)));
        assert!(j.reevaluate(300, |_| (false, None)) && j.suspected);
        // The machine is quarantined later: the job is cleared.
        assert!(j.reevaluate(400, |m| (m == 1, None)) && !j.suspected);
        // A new leader goes by the verdict, not by evidence it doesn't have.
        let mut j = JobFailures::inherited_suspicion(0);
        j.record_failure(1, 9_000);
        assert!(!j.reevaluate(9_000, |_| (false, None)) && j.suspected);
        j.record_success();
        assert!(!j.suspected);
    }

    #[test]
    fn a_job_that_fails_where_others_run_is_suspected_and_tried_at_a_slow_pace() {
        let mut j = JobFailures::default();
        j.record_failure(1, 1_000);
        assert!(!j.reevaluate(1_000, |_| (false, Some(900))));
        assert!(j.reevaluate(1_500, |_| (false, Some(1_400))) && j.suspected);
        let mut at = 1_500;
        let mut tries = 0;
        while at < 600_000 {
            assert!(j.is_backing_off(at) && !j.is_backing_off(j.next_retry_at()));
            at = j.next_retry_at();
            (0..100).for_each(|_| j.delay_retry(at));
            tries += 1;
        }
        assert!((8..16).contains(&tries), "{tries} in ten minutes");
        j.record_success();
        assert!(!j.suspected && !j.is_backing_off(at));
        // Proven, it is never suspected again.
        j.record_failure(1, at);
        j.record_failure(2, at);
        assert!(!j.reevaluate(at, |_| (false, None)));
    }

    #[test]
    fn a_machine_is_set_aside_by_jobs_that_run_elsewhere_and_comes_back() {
        let mut m = MachineFailures::default();
        m.record_failure("a", true, 1, 100);
        assert!(!m.reevaluate(100));
        // What was started before says nothing.
        m.record_success(50);
        m.record_failure("a", true, 1, 200);
        assert!(m.reevaluate(200) && m.quarantined);
        assert!(!m.end_quarantine_if_due(200 + QUARANTINE_RETRY_MS - 1));
        assert!(m.end_quarantine_if_due(200 + QUARANTINE_RETRY_MS) && !m.quarantined);
        // Jobs of which nothing is known must be several.
        let mut m = MachineFailures::default();
        for job in ["a", "a", "b"] {
            m.record_failure(job, false, 1, 100);
        }
        assert!(!m.reevaluate(100));
        m.record_failure("c", false, 1, 200);
        assert!(m.reevaluate(200) && m.quarantined);
        m.clear_job("b");
        assert!(
            m.reevaluate(300) && !m.quarantined,
            "one of them was broken"
        );
        // One that ran after the failures clears it.
        m.record_success(250);
        m.record_failure("d", false, 1, 300);
        assert!(!m.reevaluate(300));
    }
}
