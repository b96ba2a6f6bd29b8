//! Chains of jobs: what durable ends of jobs mean for those that need them.

use super::*;
use crate::state::dependencies::{Gate, Need};

/// Needs that are looked up at a time.
const SOUGHT: usize = 200;

impl Leader {
    /// How a job stands that another names.
    fn standing(&self, id: &str) -> Need {
        let Some(ix) = self.cluster.job_index(id) else {
            return match self.final_states.get(id).map(|s| s.state) {
                Some(JobState::Done) => Need::Done,
                Some(_) => Need::Withdrawn,
                None => Need::Unknown,
            };
        };
        self.standing_of(ix)
    }

    fn standing_of(&self, ix: u32) -> Need {
        match self.cluster.job(ix) {
            Some(j) if !j.cancelled => Need::Live(ix, j.spec.priority),
            _ => Need::Withdrawn,
        }
    }

    /// A job came to be known.
    pub(super) fn link(&mut self, ix: u32) {
        let Some(j) = self.cluster.job(ix) else {
            return;
        };
        let (id, own) = (j.id.clone(), j.spec.priority);
        let needs = j.spec.dependencies.iter();
        let needs: Vec<(&str, Need)> = needs.map(|n| (n.as_str(), self.standing(n))).collect();
        if !needs.is_empty() {
            self.dependencies.add(ix, own, needs);
        }
        if self.dependencies.seeks(&id) {
            let need = self.standing_of(ix);
            self.dependencies.found(&id, need);
        }
        let gate = self.dependencies.gate(ix);
        if let Some(j) = self.cluster.job_mut(ix) {
            j.readiness = gate;
        }
    }

    /// Lets go what became ready and withdraws what can't become so any more.
    pub(super) fn follow_chains(&mut self, now: Ms) {
        let (changed, lost) = self.dependencies.take();
        for ix in changed {
            let gate = self.dependencies.gate(ix);
            let rank = self.dependencies.priority(ix);
            let wall = self.wall_ms;
            let Some(j) = self.cluster.job_mut(ix) else {
                continue;
            };
            if let Some(rank) = rank {
                j.effective_priority = rank;
            }
            let was = std::mem::replace(&mut j.readiness, gate);
            if gate != Gate::Open || was == gate {
                continue;
            }
            self.changed = true;
            if was == Gate::Shut {
                // Its last need ended in this term, so that nobody can have
                // started it before. Other times count from now.
                j.accepted_this_term = true;
                j.queued_since_ms = wall;
            }
            j.known_since = now;
            j.reason = Reason::New;
            log::debug!("job {} has all that it needs", j.id);
            self.note_arrival(ix, now);
        }
        for ix in lost.into_iter().filter(|ix| self.dependencies.is_lost(*ix)) {
            if let Some(j) = self.cluster.job_mut(ix).filter(|j| !j.cancelled) {
                log::info!("job {} goes with a job that it needs", j.id);
                j.cancel_requested = true;
            }
        }
    }

    /// Jobs named by others of which the records are to be asked.
    pub fn sought(&mut self) -> Vec<String> {
        match self.recovery.loaded {
            true => self.dependencies.seek(SOUGHT),
            false => Vec::new(),
        }
    }

    /// They could not be read.
    pub fn not_found(&mut self, ids: Vec<String>) {
        self.dependencies.seek_again(ids);
    }

    /// A job that was sought has this final state.
    pub fn need_ended(&mut self, status: &JobStatus, now: Ms) {
        self.remember_final(status, now);
        let need = match status.state {
            JobState::Done => Need::Done,
            _ => Need::Withdrawn,
        };
        self.dependencies.found(&status.id, need);
        self.changed = true;
    }

    /// Of the jobs that a submission names, those of which only the records
    /// can tell whether they were accepted. `Err`: one is a service.
    pub fn needs_unknown(&self, spec: &JobSpec) -> Result<Vec<String>, String> {
        let mut unknown = Vec::new();
        for id in &spec.dependencies {
            match self
                .cluster
                .job_index(id)
                .and_then(|ix| self.cluster.job(ix))
            {
                Some(j) if j.spec.kind == Kind::Service => return Err(id.clone()),
                Some(_) => {}
                None if self.final_states.get(id).is_some() => {}
                None => unknown.push(id.clone()),
            }
        }
        Ok(unknown)
    }

    /// Until when jobs of chains have to be done, by the time of day.
    pub(super) fn due_in_chains(&self) -> HashMap<u32, u64> {
        self.dependencies.due_by(|ix| {
            self.cluster.job(ix).map_or((None, 0), |j| {
                let due = j.spec.deadline_s.map(|d| j.accepted_at_ms + millis(d));
                (due, millis(j.spec.estimate_s))
            })
        })
    }

    /// Jobs that it waits for, with how each stands.
    pub(super) fn open_needs(&self, ix: u32, most: usize) -> (Vec<(String, String)>, usize) {
        let (live, sought) = self.dependencies.open(ix);
        let mut live: Vec<&Job> = live.filter_map(|b| self.cluster.job(b)).collect();
        live.sort_by(|a, b| a.id.cmp(&b.id));
        let all = live.len() + sought;
        let rows = live.into_iter().take(most).map(|j| {
            let state = match (j.is_complete(), j.readiness) {
                (true, _) => "done, not recorded yet".to_owned(),
                (_, Gate::Shut) => "waits for others itself".to_owned(),
                _ => format!(
                    "{} of {} done, {} running",
                    j.completed_count, j.spec.tasks, j.running_count
                ),
            };
            (j.id.clone(), state)
        });
        (rows.collect(), all)
    }
}
