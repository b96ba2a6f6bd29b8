//! The cluster state's table of jobs.
//!
//! Owns how jobs get and lose their handles. Called by the leader as it loads
//! records, accepts submissions and ends jobs. Must never leave anything that is
//! noted of a job in the cluster state once the job is removed.

use super::{
    ClusterState, Job, JobHandle, MachineHandle, Placement,
    job::{NewJob, ResolvedNames},
};
use crate::{protocol::users::JobSpec, state::Millis};

impl ClusterState {
    /// The handle of the job with this id.
    pub fn job_handle(&self, id: &str) -> Option<JobHandle> {
        self.job_handle_by_id.get(id).copied()
    }

    /// The job, unless it is over.
    pub fn job(&self, handle: JobHandle) -> Option<&Job> {
        self.jobs.get(handle)
    }

    /// The job, to be changed.
    pub fn job_mut(&mut self, handle: JobHandle) -> Option<&mut Job> {
        self.jobs.get_mut(handle)
    }

    /// How many jobs are not over.
    pub fn live_jobs(&self) -> usize {
        self.job_handle_by_id.len()
    }

    /// Adds a job and returns its handle; one that is already there is left as
    /// it is.
    pub fn insert_job(&mut self, new: NewJob, now: Millis) -> JobHandle {
        if let Some(handle) = self.job_handle(&new.spec.id) {
            return handle;
        }
        let names = self.resolve_names(&new.spec);
        let job = Job::new(new, names, now);
        let id = job.id.clone();
        let handle = self.jobs.insert(job);
        self.job_handle_by_id.insert(id, handle);
        handle
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
    pub fn remove_job(&mut self, handle: JobHandle) {
        let Some(job) = self.jobs.remove(handle) else {
            return;
        };
        self.job_handle_by_id.remove(&job.id);
        for machine in self.machines.values_mut() {
            if machine.reserved_for.is_some_and(|(of, _)| of == handle) {
                machine.reserved_for = None;
            }
            for assignment in machine.tasks.iter_mut().filter(|a| a.job == Some(handle)) {
                assignment.job = None;
                if assignment.is_live() && assignment.stop_grace_s.is_none() {
                    assignment.stop_grace_s = Some(0.0);
                }
            }
        }
    }

    /// Where the job's live tasks are: machine, and place in its list.
    pub fn live_tasks_of(&self, job: JobHandle) -> impl Iterator<Item = (MachineHandle, usize)> {
        let slots = self.job(job).map_or(&[][..], |j| &j.task_slots);
        let mut machines: Vec<MachineHandle> = slots
            .iter()
            .filter_map(|slot| match slot {
                Placement::On(machine) => Some(*machine),
                Placement::Unplaced | Placement::Done => None,
            })
            .collect();
        machines.sort_unstable();
        machines.dedup();
        machines.into_iter().flat_map(move |handle| {
            let tasks = self.machine(handle).map_or(&[][..], |m| &m.tasks);
            let own = tasks.iter().enumerate();
            own.filter_map(move |(at, a)| {
                (a.job == Some(job) && a.is_live()).then_some((handle, at))
            })
        })
    }

    /// Live tasks of a job per zone.
    pub fn live_tasks_by_zone(&self, job: JobHandle) -> Vec<u32> {
        let mut counts = vec![0; self.zones.len()];
        for (handle, _) in self.live_tasks_of(job) {
            if let Some(machine) = self.machine(handle) {
                counts[machine.zone] += 1;
            }
        }
        counts
    }
}
