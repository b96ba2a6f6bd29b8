//! Who is at fault when tasks fail, and what follows.

use super::*;

impl Leader {
    pub(super) fn on_ended(&mut self, machine: u32, job_ix: u32, task: u32, why: Why, now: Ms) {
        let Some(job) = self.cluster.job_mut(job_ix) else {
            return;
        };
        match why {
            Why::Done => job.consecutive_refusals = 0,
            Why::Error => {
                job.failures.note(machine, now);
                job.failures.put_off(now);
                let (id, proven) = (job.id.clone(), job.failures.proven);
                let suspected = job.failures.suspected;
                // The word of a suspected job is worth nothing.
                if let Some(m) = self.cluster.machine_mut(machine).filter(|_| !suspected) {
                    m.failures.note(&id, proven, 1, now);
                }
                if !proven && !self.events.accused.contains(&job_ix) {
                    self.events.accused.push(job_ix);
                }
                self.judge_machine(machine, now);
                self.judge_job(job_ix, now);
            }
            Why::Unknown | Why::Other | Why::NoRoom | Why::Busy => {}
            Why::Stopped | Why::Peers | Why::Alone => return,
        }
        // Guards against starting again in a tight loop what comes to nothing
        // each time, if only one task of a job that runs otherwise.
        let counts = |j: &&mut Job| why != Why::Done && (why != Why::Error || j.failures.proven);
        if let Some(j) = self.cluster.job_mut(job_ix).filter(counts) {
            j.consecutive_refusals += 1;
            if j.consecutive_refusals > 2 {
                j.backoff_until = now + (500 << j.consecutive_refusals.min(7));
            }
        }
        if why != Why::Done
            && let (Some(j), Some(m)) = (self.cluster.job(job_ix), self.cluster.machine(machine))
        {
            let (task, machine) = (format!("{}/{task}", j.id), m.name.clone());
            log::debug!("task {task} failed on {machine}: {why:?}");
            self.note_failure(task, machine, why, now);
        }
    }

    /// A task of the job, started then, runs there or has completed.
    pub(super) fn on_ran(&mut self, machine: u32, job_ix: u32, started: Ms, now: Ms) {
        if let Some(m) = self.cluster.machine_mut(machine) {
            m.failures.ran(started);
        }
        if let Some(j) = self.cluster.job_mut(job_ix).filter(|j| !j.failures.proven) {
            let accused = j.failures.failures().to_vec();
            let was = j.failures.suspected;
            j.failures.ran();
            let id = j.id.clone();
            if was {
                self.verdict(job_ix);
            }
            self.events.accused.retain(|a| *a != job_ix);
            // It runs, so what failed it is the machine, unless one that was
            // started there later runs too.
            for f in accused {
                if let Some(m) = self.cluster.machine_mut(f.machine)
                    && m.failures.good().is_none_or(|good| good <= f.last)
                {
                    m.failures.pardon(&id);
                    m.failures.note(&id, true, f.count, f.last);
                }
                self.judge_machine(f.machine, now);
            }
        }
        // Where one runs, others that failed there are suspected.
        self.judge_accused(machine, now);
    }

    /// Judges again all jobs that failed on the machine.
    fn judge_accused(&mut self, machine: u32, now: Ms) {
        let mut accused = std::mem::take(&mut self.events.accused);
        accused.retain(|j| {
            let job = self.cluster.job(*j);
            job.is_some_and(|j| !j.failures.proven && !j.failures.failures().is_empty())
        });
        for &j in &accused {
            let there = self.cluster.job(j).map(|j| j.failures.failed_on(machine));
            if there == Some(true) {
                self.judge_job(j, now);
            }
        }
        self.events.accused = accused;
    }

    fn judge_job(&mut self, job_ix: u32, now: Ms) {
        let Some(j) = self.cluster.job(job_ix) else {
            return;
        };
        let mut file = j.failures.clone();
        let changed = file.judge(now, |m| {
            let m = self.cluster.machine(m);
            m.map_or((false, None), |m| {
                (m.failures.surely_at_fault(), m.failures.good())
            })
        });
        let (id, suspected) = (j.id.clone(), file.suspected);
        let accused = file.failures().to_vec();
        if let Some(j) = self.cluster.job_mut(job_ix) {
            j.failures = file;
        }
        if !changed {
            return;
        }
        self.verdict(job_ix);
        for f in accused.iter().filter(|_| suspected) {
            if let Some(m) = self.cluster.machine_mut(f.machine) {
                m.failures.pardon(&id);
            }
            self.judge_machine(f.machine, now);
        }
    }

    /// Notes and records that a job is suspected, or no longer.
    fn verdict(&mut self, job_ix: u32) {
        self.changed = true;
        if let Some(j) = self.cluster.job_mut(job_ix) {
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

    fn judge_machine(&mut self, machine: u32, now: Ms) {
        let Some(m) = self.cluster.machine_mut(machine) else {
            return;
        };
        if !m.failures.judge(now) {
            return;
        }
        m.quarantine_unrecorded = true;
        self.changed = true;
        match m.failures.set_aside {
            true => log::info!("machine {} set aside: tasks fail on it", m.name),
            false => log::info!("machine {} is used again: a job was at fault", m.name),
        }
        // What failed there says nothing of the jobs, also once it is gone.
        if m.failures.surely_at_fault() {
            for j in self.events.accused.clone() {
                if let Some(j) = self.cluster.job_mut(j) {
                    j.failures.forget(machine);
                }
                self.judge_job(j, now);
            }
        }
        self.judge_accused(machine, now);
    }

    /// Machines that are set aside, but can't be returned, are tried again.
    pub(super) fn try_again(&mut self, now: Ms) {
        let all = self.cluster.indexed_machines();
        let aside = all.filter(|(_, m)| m.failures.set_aside && m.live_tasks() > 0);
        let aside: Vec<u32> = aside.map(|(ix, _)| ix).collect();
        for ix in aside {
            if let Some(m) = self.cluster.machine_mut(ix)
                && m.failures.tried_again(now)
            {
                log::info!("machine {} is tried again", m.name);
                m.quarantine_unrecorded = true;
            }
        }
    }
}
