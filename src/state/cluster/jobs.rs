//! The cluster state's table of jobs.
//!
//! Owns how jobs get and lose their indices. Called by the leader as it loads
//! records, accepts submissions and ends jobs. Must never reuse an index with
//! the same `Job::generation`.

use super::{
    ClusterState, Job, NO_JOB, Placement,
    job::{NewJob, ResolvedNames},
};
use crate::{protocol::users::JobSpec, state::Millis};

impl ClusterState {
    /// The index of the job with this id.
    pub fn job_index(&self, id: &str) -> Option<u32> {
        self.job_index_by_id.get(id).copied()
    }

    /// The job with this index.
    pub fn job(&self, ix: u32) -> Option<&Job> {
        self.jobs.get(ix as usize)?.as_ref()
    }

    /// The job with this index, to be changed.
    pub fn job_mut(&mut self, ix: u32) -> Option<&mut Job> {
        self.jobs.get_mut(ix as usize)?.as_mut()
    }

    /// How many jobs are not over.
    pub fn live_jobs(&self) -> usize {
        self.job_index_by_id.len()
    }

    /// Adds a job and returns its index; one that is already there is left as
    /// it is.
    pub fn insert_job(&mut self, new: NewJob, now: Millis) -> u32 {
        if let Some(ix) = self.job_index(&new.spec.id) {
            return ix;
        }
        self.last_generation += 1;
        let names = self.resolve_names(&new.spec);
        let job = Job::new(new, names, self.last_generation, now);
        let ix = match self.free_jobs.pop() {
            Some(ix) => ix,
            None => {
                self.jobs.push(None);
                self.jobs.len() as u32 - 1
            }
        };
        self.job_index_by_id.insert(job.id.clone(), ix);
        self.jobs[ix as usize] = Some(job);
        ix
    }

    fn resolve_names(&mut self, spec: &JobSpec) -> ResolvedNames {
        let allowed = spec.types.as_ref();
        ResolvedNames {
            team: self.team_names.find(&spec.team).unwrap_or(usize::MAX),
            image: self.images.intern(&spec.image),
            types: self
                .types
                .iter()
                .map(|machine_type| {
                    allowed.is_none_or(|allowed| allowed.contains(&machine_type.name))
                })
                .collect(),
            // An unknown zone is one that no machine is in.
            zone: spec
                .zone
                .as_ref()
                .map(|zone| self.zones.find(zone).unwrap_or(usize::MAX)),
        }
    }

    /// Forgets a job that is over. Tasks of it that are still on machines
    /// keep counting there, and are stopped.
    pub fn remove_job(&mut self, ix: u32) {
        let Some(job) = self.jobs.get_mut(ix as usize).and_then(Option::take) else {
            return;
        };
        self.job_index_by_id.remove(&job.id);
        for machine in self.machines.iter_mut().flatten() {
            for assignment in machine.tasks.iter_mut().filter(|a| a.job == ix) {
                assignment.job = NO_JOB;
                if assignment.is_live() && assignment.stop_grace_s.is_none() {
                    assignment.stop_grace_s = Some(0.0);
                }
            }
        }
        self.free_jobs.push(ix);
    }

    /// Where the job's live tasks are: machine, and place in its list.
    pub fn live_tasks_of(&self, job: u32) -> impl Iterator<Item = (u32, usize)> {
        let slots = self.job(job).map_or(&[][..], |j| &j.task_slots);
        let mut machines: Vec<u32> = slots
            .iter()
            .filter_map(|slot| match slot {
                Placement::On(machine) => Some(*machine),
                Placement::Unplaced | Placement::Done => None,
            })
            .collect();
        machines.sort_unstable();
        machines.dedup();
        machines.into_iter().flat_map(move |ix| {
            let tasks = self.machine(ix).map_or(&[][..], |m| &m.tasks);
            let own = tasks.iter().enumerate();
            own.filter_map(move |(at, a)| (a.job == job && a.is_live()).then_some((ix, at)))
        })
    }

    /// Live tasks of a job per zone.
    pub fn live_tasks_by_zone(&self, job: u32) -> Vec<u32> {
        let mut counts = vec![0; self.zones.len()];
        for (ix, _) in self.live_tasks_of(job) {
            if let Some(machine) = self.machine(ix) {
                counts[machine.zone] += 1;
            }
        }
        counts
    }
}
