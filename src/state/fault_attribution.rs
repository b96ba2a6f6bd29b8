//! Whether a job or a machine is at fault when tasks fail, by who else fails.
//!
//! A job submitted with a mistake fails on every machine; a faulty machine
//! fails every task. So a machine is accused by jobs that run elsewhere, or by
//! several jobs, and a job by several machines, or by one on which others run.

use super::Ms;

/// Failures that are remembered of a job or a machine.
const MOST: usize = 8;
/// So many machines accuse a job that has never run.
const MACHINES: u32 = 2;
/// So many jobs of which nothing is known accuse a machine.
const JOBS: usize = 3;
/// Pauses between tries of a suspected job.
const FIRST_PAUSE: Ms = 8_000;
const LAST_PAUSE: Ms = 64_000;
/// A machine that is set aside, but kept for what runs there, is tried again.
const PROBATION: Ms = 300_000;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailedOn {
    pub machine: u32,
    pub last: Ms,
    pub count: u32,
}

/// What is held against a job.
#[derive(Debug, Clone, Default)]
pub struct JobFile {
    /// Some task of it has run, so it can't fail everywhere.
    pub proven: bool,
    /// Machines on which it failed.
    failed_on: Vec<FailedOn>,
    pub suspected: bool,
    /// An earlier leader suspected it, on evidence that is not kept.
    before: bool,
    tries: u32,
    next_try: Ms,
}

/// A job's failures on one machine.
#[derive(Debug, Clone)]
struct Failures {
    job: String,
    count: u32,
    last: Ms,
    /// The job runs elsewhere.
    proven: bool,
}

/// What is held against a machine.
#[derive(Debug, Clone, Default)]
pub struct MachineFile {
    failed: Vec<Failures>,
    /// When the latest of the tasks that ran there was started. One that was
    /// started before a failure says nothing of the time after it.
    good: Option<Ms>,
    pub set_aside: bool,
    since: Ms,
    /// An earlier leader set it aside, on evidence that is not kept.
    before: bool,
}

impl JobFile {
    /// As recorded by an earlier leader.
    pub fn suspected_before(now: Ms) -> Self {
        JobFile {
            suspected: true,
            before: true,
            next_try: now + FIRST_PAUSE,
            ..JobFile::default()
        }
    }

    /// Whether it failed there: it is tried elsewhere first.
    pub fn failed_on(&self, machine: u32) -> bool {
        self.failed_on.iter().any(|f| f.machine == machine)
    }

    pub fn failures(&self) -> &[FailedOn] {
        &self.failed_on
    }

    pub fn note(&mut self, machine: u32, now: Ms) {
        let at = self.failed_on.iter().position(|f| f.machine == machine);
        let before = at.map_or(0, |at| self.failed_on.remove(at).count);
        if self.failed_on.len() >= MOST {
            self.failed_on.remove(0);
        }
        self.failed_on.push(FailedOn {
            machine,
            last: now,
            count: before + 1,
        });
    }

    /// The machine was at fault.
    pub fn forget(&mut self, machine: u32) {
        self.failed_on.retain(|f| f.machine != machine);
    }

    /// A task of it ran: whatever failed, it was not the job.
    pub fn ran(&mut self) {
        *self = JobFile {
            proven: true,
            ..JobFile::default()
        };
    }

    /// Weighs the evidence again. `machine`: whether it is surely at fault,
    /// and when a task last ran there. Returns whether the verdict has changed.
    pub fn judge(&mut self, now: Ms, machine: impl Fn(u32) -> (bool, Option<Ms>)) -> bool {
        let weight: u32 = self
            .failed_on
            .iter()
            .map(|f| match machine(f.machine) {
                (true, _) => 0,
                // Others run where it failed: as good as a second machine.
                (false, Some(good)) if good > f.last => MACHINES,
                (false, _) => 1,
            })
            .sum();
        let suspected = !self.proven && (self.before || weight >= MACHINES);
        if suspected == self.suspected {
            return false;
        }
        self.suspected = suspected;
        self.tries = 0;
        self.next_try = 0;
        self.put_off(now);
        true
    }

    /// A try of a job that has never run has failed: the next one later, and
    /// much later if it is suspected. The many tasks of one try count once.
    pub fn put_off(&mut self, now: Ms) {
        if self.proven || now < self.next_try {
            return;
        }
        let (first, last) = match self.suspected {
            true => (FIRST_PAUSE, LAST_PAUSE),
            false => (FIRST_PAUSE / 16, FIRST_PAUSE),
        };
        self.next_try = now + (first << self.tries.min(5)).min(last);
        self.tries += 1;
    }

    /// Whether the job is put off for now. Guards, too, against a job that
    /// takes the only room there is again and again.
    pub fn waits(&self, now: Ms) -> bool {
        now < self.next_try
    }

    pub fn next_try(&self) -> Ms {
        self.next_try
    }
}

impl MachineFile {
    pub fn set_aside_before(now: Ms) -> Self {
        MachineFile {
            set_aside: true,
            since: now,
            before: true,
            ..MachineFile::default()
        }
    }

    pub fn good(&self) -> Option<Ms> {
        self.good
    }

    /// Jobs that run elsewhere fail there. A verdict on the word of others
    /// alone may turn round: they may all be broken.
    pub fn surely_at_fault(&self) -> bool {
        self.set_aside && (self.before || self.by_proven())
    }

    fn by_proven(&self) -> bool {
        self.failed.iter().any(|f| f.proven && f.count >= 2)
    }

    /// A task that was started then ran there.
    pub fn ran(&mut self, started: Ms) {
        self.good = self.good.max(Some(started));
        self.failed.retain(|f| f.last >= started);
    }

    /// So many tasks of the job failed there.
    pub fn note(&mut self, job: &str, proven: bool, count: u32, now: Ms) {
        if let Some(f) = self.failed.iter_mut().find(|f| f.job == job) {
            f.count += count;
            f.last = now;
            f.proven |= proven;
        } else if self.failed.len() < MOST {
            self.failed.push(Failures {
                job: job.to_owned(),
                count,
                last: now,
                proven,
            });
        }
    }

    /// The job itself turned out to be at fault.
    pub fn pardon(&mut self, job: &str) {
        self.failed.retain(|f| f.job != job);
    }

    /// Returns whether the verdict has changed. A machine set aside on the
    /// word of jobs that turned out to be at fault comes back.
    pub fn judge(&mut self, now: Ms) -> bool {
        let guilty = self.before || self.by_proven() || self.failed.len() >= JOBS;
        if guilty && !self.set_aside {
            self.since = now;
        }
        std::mem::replace(&mut self.set_aside, guilty) != guilty
    }

    /// A machine that can't be returned, as something still runs there, is
    /// tried again after a while. Returns whether that is now.
    pub fn tried_again(&mut self, now: Ms) -> bool {
        let again = self.set_aside && now >= self.since + PROBATION;
        if again {
            *self = MachineFile {
                good: self.good,
                ..MachineFile::default()
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
        let mut j = JobFile::default();
        j.note(1, 100);
        j.note(1, 200);
        assert!(!j.judge(200, |_| (false, None)), "one machine is no proof");
        j.note(2, 300);
        let mut other = j.clone();
        assert!(!other.judge(300, |m| (m == 1, None)));
        assert!(j.judge(300, |_| (false, None)) && j.suspected);
        // The machine is set aside later: the job is cleared.
        assert!(j.judge(400, |m| (m == 1, None)) && !j.suspected);
        // A new leader goes by the verdict, not by evidence it doesn't have.
        let mut j = JobFile::suspected_before(0);
        j.note(1, 9_000);
        assert!(!j.judge(9_000, |_| (false, None)) && j.suspected);
        j.ran();
        assert!(!j.suspected);
    }

    #[test]
    fn a_job_that_fails_where_others_run_is_suspected_and_tried_at_a_slow_pace() {
        let mut j = JobFile::default();
        j.note(1, 1_000);
        assert!(!j.judge(1_000, |_| (false, Some(900))));
        assert!(j.judge(1_500, |_| (false, Some(1_400))) && j.suspected);
        let mut at = 1_500;
        let mut tries = 0;
        while at < 600_000 {
            assert!(j.waits(at) && !j.waits(j.next_try()));
            at = j.next_try();
            (0..100).for_each(|_| j.put_off(at));
            tries += 1;
        }
        assert!((8..16).contains(&tries), "{tries} in ten minutes");
        j.ran();
        assert!(!j.suspected && !j.waits(at));
        // Proven, it is never suspected again.
        j.note(1, at);
        j.note(2, at);
        assert!(!j.judge(at, |_| (false, None)));
    }

    #[test]
    fn a_machine_is_set_aside_by_jobs_that_run_elsewhere_and_comes_back() {
        let mut m = MachineFile::default();
        m.note("a", true, 1, 100);
        assert!(!m.judge(100));
        // What was started before says nothing.
        m.ran(50);
        m.note("a", true, 1, 200);
        assert!(m.judge(200) && m.set_aside);
        assert!(!m.tried_again(200 + PROBATION - 1));
        assert!(m.tried_again(200 + PROBATION) && !m.set_aside);
        // Jobs of which nothing is known must be several.
        let mut m = MachineFile::default();
        for job in ["a", "a", "b"] {
            m.note(job, false, 1, 100);
        }
        assert!(!m.judge(100));
        m.note("c", false, 1, 200);
        assert!(m.judge(200) && m.set_aside);
        m.pardon("b");
        assert!(m.judge(300) && !m.set_aside, "one of them was broken");
        // One that ran after the failures clears it.
        m.ran(250);
        m.note("d", false, 1, 300);
        assert!(!m.judge(300));
    }
}
