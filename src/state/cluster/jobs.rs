//! The job table of the cluster state.
//!
//! Owns how jobs get and lose their handles. The leader calls these functions when it
//! loads records, accepts submissions and ends jobs. After a job is removed, nothing in
//! the cluster state may refer to it.

use super::{
    ClusterState, Job, JobHandle, MachineHandle, Placement,
    job::{NewJob, ResolvedNames},
};
use crate::{protocol::users::JobSpec, state::Millis};

impl ClusterState {
    /// Returns the handle of the job with this id.
    pub fn job_handle(&self, id: &str) -> Option<JobHandle> {
        self.job_handle_by_id.get(id).copied()
    }

    /// Returns the job, or `None` once it has been removed.
    pub fn job(&self, handle: JobHandle) -> Option<&Job> {
        self.jobs.get(handle)
    }

    /// Returns the job for modification, or `None` once it has been removed.
    pub fn job_mut(&mut self, handle: JobHandle) -> Option<&mut Job> {
        self.jobs.get_mut(handle)
    }

    /// Number of jobs that are neither done nor cancelled.
    pub fn live_jobs(&self) -> usize {
        self.job_handle_by_id.len()
    }

    /// Adds a job and returns its handle. A job that is already in the table is left
    /// unchanged.
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
            // No machine is in an unknown zone, so no machine matches it.
            zone: spec
                .zone
                .as_ref()
                .map(|zone| self.zones.find(zone).unwrap_or(usize::MAX)),
        }
    }

    /// Removes a job that has ended. Its tasks that are still on machines keep counting
    /// there and are stopped.
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
                if assignment.is_live() {
                    assignment.stop.request_immediate();
                }
            }
        }
    }

    /// Locations of the job's live tasks, as machine and index in the machine's task
    /// list.
    pub fn live_tasks_of(&self, job: JobHandle) -> impl Iterator<Item = (MachineHandle, usize)> {
        let slots = self.job(job).map_or(&[][..], |j| &j.task_slots);
        let mut machines: Vec<MachineHandle> = slots
            .iter()
            .filter_map(|slot| match slot {
                Placement::On(machine) => Some(*machine),
                Placement::Unplaced | Placement::Done => None,
            })
            .collect();
        let duplicates = self.job(job).map_or(&[][..], |j| &j.duplicates);
        machines.extend(duplicates.iter().map(|duplicate| duplicate.machine));
        machines.sort_unstable();
        machines.dedup();
        machines.into_iter().flat_map(move |handle| {
            let tasks = self.machine(handle).map_or(&[][..], |m| &m.tasks);
            let assignments = tasks.iter().enumerate();
            assignments.filter_map(move |(at, a)| {
                (a.job == Some(job) && a.is_live()).then_some((handle, at))
            })
        })
    }

    /// Number of live tasks of the job in each zone, by zone index.
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
