//! Selection of preemption victims: which tasks to stop for a job and how much work is
//! lost, and the reservation of the capacity that becomes free.
//!
//! Called by preemption, gang reservation and placement. A service, or a task that is
//! already stopping, must never be chosen as a victim.

use super::{Leader, millis, task_placement::ChosenMachine};
use crate::{
    protocol::{
        status::PendingReason,
        users::{Kind, Priority},
    },
    state::{
        Millis,
        cluster::{Assignment, Job, JobHandle, Machine, MachineHandle},
        resources::Resources,
    },
};
use std::collections::HashSet;

/// How long a machine is reserved for a job after a preemption.
const RESERVATION_MS: Millis = 8_000;
/// Minimum time since its assignment before a task may be preempted for another team's
/// guarantee. Stopping a task sooner would waste its start.
const MIN_USEFUL_RUN_MS: Millis = 30_000;

/// Constant part, in core-seconds, of the work that may be lost to preemption so that a task
/// starts on a machine that caches its image.
pub(super) const BASE_LOSS_CORE_S: f64 = 100.0;
/// Like `BASE_LOSS_CORE_S`, for a service: its users are not served while the image is fetched.
const SERVICE_BASE_LOSS_CORE_S: f64 = 600.0;

/// Time in seconds after which a team within its guarantee no longer waits for capacity that
/// other teams use beyond their guarantees.
pub(super) const GUARANTEE_S: f64 = 20.0;

/// Returns the core-seconds for which a task's share of a machine is idle while the image is
/// fetched there. A GPU counts as four cores.
pub(super) fn fetch_idle_core_s(job: &Job, gb_per_s: f64) -> f64 {
    job.spec.image_gb / gb_per_s * job.spec.cpus.max(4.0 * job.spec.gpus)
}

/// A machine, and the tasks to stop on it so that a task of another job fits.
pub(super) struct Preemption {
    pub(super) machine: MachineHandle,
    /// Indices into the machine's task list.
    pub(super) victims: Vec<usize>,
    /// Whether the image would have to be fetched on this machine.
    pub(super) needs_fetch: bool,
    /// Work lost by stopping the victims, in core-seconds.
    pub(super) lost_core_s: i64,
}

/// Criteria for the tasks that may be stopped for a job.
struct VictimSearch<'a> {
    job: &'a Job,
    priority: Priority,
    /// Whether tasks that other teams run beyond their guarantees may be stopped too.
    beyond_guarantees: bool,
    now: Millis,
}

impl Leader {
    /// Returns the jobs for which some machine is reserved.
    pub(super) fn jobs_with_reservations(&self, now: Millis) -> HashSet<JobHandle> {
        let reservations = self.cluster.machines().filter_map(|m| m.reserved_for);
        let reservations = reservations.filter(|(_, until)| now < *until);
        reservations.map(|(job, _)| job).collect()
    }

    /// Whether some machine is reserved for the job.
    pub(super) fn has_reservation(&self, job_handle: JobHandle, now: Millis) -> bool {
        let is_reserved = |m: &Machine| m.is_reserved_for(job_handle, now);
        self.cluster.machines().any(is_reserved)
    }

    /// Returns the preemption for one task of the job that loses the least work, preferring
    /// machines that cache the image.
    pub(super) fn cheapest_preemption(
        &self,
        job_handle: JobHandle,
        priority: Priority,
        now: Millis,
        zone_ok: impl Fn(usize) -> bool,
    ) -> Option<Preemption> {
        let guaranteed = self.within_guarantee(self.cluster.job(job_handle)?, now);
        (self.cluster.machine_range())
            .filter_map(|index| self.cluster.machine_at(index))
            .filter(|(_, m)| zone_ok(m.zone))
            .filter_map(|(machine_handle, _)| {
                self.preemption_on(machine_handle, job_handle, priority, guaranteed, now)
            })
            .filter(|candidate| !candidate.victims.is_empty())
            .min_by_key(|candidate| (candidate.needs_fetch, candidate.lost_core_s))
    }

    /// Returns the preemption for one task of the job on the given machine, stopping the tasks
    /// with the smallest losses first. `None` if the machine is not allowed or can't free
    /// enough capacity.
    pub(super) fn preemption_on(
        &self,
        machine_handle: MachineHandle,
        job_handle: JobHandle,
        priority: Priority,
        guaranteed: bool,
        now: Millis,
    ) -> Option<Preemption> {
        let job = self.cluster.job(job_handle)?;
        let machine = self.cluster.machine(machine_handle)?;
        let allowed = machine.schedulable()
            && !self
                .scheduling
                .machines_with_new_capacity
                .contains(&machine_handle)
            && machine.reserved_for.is_none_or(|(_, until)| now >= until)
            && job.allows(machine)
            && job.need.fits(&machine.capacity);
        if !allowed {
            return None;
        }
        let needs_fetch = !machine.images.contains(&job.image);
        let search = VictimSearch {
            job,
            priority,
            // On a machine without the image the job can no longer meet its objective, so other
            // teams' tasks are stopped there only after `GUARANTEE_S`.
            beyond_guarantees: guaranteed
                && (!needs_fetch || now >= job.waiting_since + millis(GUARANTEE_S)),
            now,
        };
        let tasks = machine.tasks.iter().enumerate();
        let victims = tasks.filter_map(|(index, a)| Some((self.work_lost(a, &search)?, index)));
        // Most machines can't free enough capacity; this is detected before a list of victims
        // is built.
        let mut max_free = machine.free();
        for (_, index) in victims.clone() {
            max_free += machine.tasks[index].need;
        }
        if !job.need.fits(&max_free) {
            return None;
        }
        let mut victims: Vec<(i64, usize)> = victims.collect();
        victims.sort_unstable();
        let mut free = machine.free();
        let mut lost_core_s = 0;
        let mut chosen = Vec::new();
        for (loss, index) in victims {
            if job.need.fits(&free) {
                break;
            }
            free += machine.tasks[index].need;
            lost_core_s += loss;
            chosen.push(index);
        }
        Some(Preemption {
            machine: machine_handle,
            victims: chosen,
            needs_fetch,
            lost_core_s,
        })
    }

    /// Returns the work in core-seconds that is lost if the task is stopped for the job, or
    /// `None` if the task may not be stopped for the job.
    fn work_lost(&self, assignment: &Assignment, search: &VictimSearch) -> Option<i64> {
        let victim_job = self.cluster.job(assignment.job?)?;
        if !assignment.is_live()
            || assignment.stop.is_requested()
            || victim_job.spec.kind == Kind::Service
        {
            return None;
        }
        let lower_priority = victim_job.effective_priority < search.priority
            && victim_job.spec.kind == Kind::Array
            && !self.has_only_starvation_start(victim_job);
        let beyond_guarantee = search.beyond_guarantees
            && victim_job.team != search.job.team
            && search.now > assignment.since + MIN_USEFUL_RUN_MS
            && self.beyond_guarantee(victim_job.team, &assignment.need, &search.job.need);
        if !lower_priority && !beyond_guarantee {
            return None;
        }
        // A task with checkpoints loses little, as it saves one before it stops.
        let mut lost_ms = search.now - assignment.since;
        if victim_job.spec.checkpoint_interval_s > 0.0 {
            lost_ms = lost_ms.min(millis(victim_job.spec.checkpoint_cost_s + 1.0));
        }
        let tasks = match victim_job.spec.kind {
            Kind::Gang => i64::from(victim_job.spec.tasks),
            _ => 1,
        };
        Some(lost_ms as i64 * assignment.need.cpus.max(1) / 1_000_000 * tasks)
    }

    /// Preempts on a machine that caches the image, if the best machine would have to fetch it
    /// and so miss the objective for starting. Preemption may lose less work than the fetch,
    /// which leaves the task's share of the machine idle. Returns whether the task is to
    /// wait for the reserved machine.
    pub(super) fn reserve_machine_with_image(
        &mut self,
        job_handle: JobHandle,
        chosen: ChosenMachine,
        now: Millis,
        zone_ok: impl Fn(usize) -> bool,
    ) -> bool {
        if !chosen.late {
            return false;
        }
        let Some(job) = self.cluster.job(job_handle) else {
            return false;
        };
        let priority = job.effective_priority;
        if priority < Priority::High || job.failures.suspected {
            return false;
        }
        let is_reserved = |m: &Machine| m.is_reserved_for(job_handle, now);
        // The job may start on a machine that is reserved for it. Guards against a service
        // that waits until its reservation expires, because reserved machines without its
        // image are taken for capacity that is still to come.
        if self
            .cluster
            .machine(chosen.machine)
            .is_some_and(is_reserved)
        {
            return false;
        }
        if self.has_reservation(job_handle, now) {
            return true;
        }
        let fetch_rate = self.cluster.machine(chosen.machine).map_or(1.0, |m| {
            self.cluster.types[m.type_index].fetch_gb_per_s.max(0.001)
        });
        let base_worth = match job.spec.kind {
            Kind::Service => SERVICE_BASE_LOSS_CORE_S,
            _ => BASE_LOSS_CORE_S,
        };
        let acceptable_loss = fetch_idle_core_s(job, fetch_rate) + base_worth;
        let Some(candidate) = self.cheapest_preemption(job_handle, priority, now, zone_ok) else {
            return false;
        };
        if candidate.needs_fetch || candidate.lost_core_s as f64 > acceptable_loss {
            return false;
        }
        self.preempt(job_handle, candidate, now);
        true
    }

    /// Stops the victims and reserves the machine for the job for `RESERVATION_MS`.
    pub(super) fn preempt(&mut self, job_handle: JobHandle, preemption: Preemption, now: Millis) {
        let id = self.cluster.job(job_handle).map(|j| j.id.clone());
        self.set_reason(job_handle, PendingReason::RoomBeingMade);
        self.events.metric_counts.preempted += preemption.victims.len() as u64;
        let Some(machine) = self.cluster.machine_mut(preemption.machine) else {
            return;
        };
        if !preemption.victims.is_empty() {
            log::info!(
                "preemption: stopping {} tasks on machine {} for job {}",
                preemption.victims.len(),
                machine.name,
                id.unwrap_or_default()
            );
        }
        machine.reserved_for = Some((job_handle, now + RESERVATION_MS));
        for task_index in preemption.victims {
            self.stop_gracefully(preemption.machine, task_index);
        }
    }

    /// Requests that a task stops, with a grace period that allows for a checkpoint. All tasks
    /// of a gang are stopped together, because its checkpoint would fail otherwise.
    pub(super) fn stop_gracefully(&mut self, machine: MachineHandle, task_index: usize) {
        let Some(assignment) = self
            .cluster
            .machine(machine)
            .and_then(|m| m.tasks.get(task_index))
        else {
            return;
        };
        let job_handle = assignment.job;
        let (whole_gang, grace_s) =
            match job_handle.and_then(|job_handle| self.cluster.job(job_handle)) {
                Some(j) if j.spec.checkpoint_interval_s > 0.0 => {
                    (j.spec.kind == Kind::Gang, j.spec.checkpoint_cost_s)
                }
                Some(j) => (j.spec.kind == Kind::Gang, 0.0),
                None => (false, 0.0),
            };
        let tasks_to_stop: Vec<(MachineHandle, usize)> = match job_handle.filter(|_| whole_gang) {
            Some(job_handle) => self.cluster.live_tasks_of(job_handle).collect(),
            None => vec![(machine, task_index)],
        };
        for (machine_handle, task_index) in tasks_to_stop {
            let assignment = self
                .cluster
                .machine_mut(machine_handle)
                .and_then(|m| m.tasks.get_mut(task_index));
            if let Some(assignment) = assignment.filter(|assignment| assignment.is_live()) {
                assignment.stop.request(grace_s);
            }
        }
    }

    /// Whether all unfinished work of the job's team fits the team's guarantee, and the job has
    /// waited for a fifth of the time within which the guarantee is to be met.
    pub(super) fn within_guarantee(&self, job: &Job, now: Millis) -> bool {
        let guarantee_within_s = self
            .settings
            .cluster
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(GUARANTEE_S, f64::min);
        if now < job.waiting_since + millis(guarantee_within_s / 5.0) {
            return false;
        }
        let Some(team) = self.cluster.teams.get(job.team) else {
            return false;
        };
        let guarantee = Resources::offer(team.cpus, team.gpus, 0.0);
        let main_resource = |a: &Resources| if job.need.gpus > 0 { a.gpus } else { a.cpus };
        if main_resource(&guarantee) <= 0 {
            return false;
        }
        let mut all = Resources::default();
        for j in self.cluster.jobs.values() {
            if j.team == job.team && !j.cancelled {
                all += j.need.scaled(i64::from(j.waiting_count() + j.live_count));
            }
        }
        main_resource(&all) <= main_resource(&guarantee)
    }

    /// Whether the team still uses at least its guarantee without this task, in the resource
    /// that the waiting job needs (GPUs or CPUs).
    fn beyond_guarantee(&self, team: usize, task: &Resources, wanted: &Resources) -> bool {
        let (Some(team_settings), Some(used)) = (
            self.cluster.teams.get(team),
            self.cluster.team_usage.get(team),
        ) else {
            return false;
        };
        let guarantee = Resources::offer(team_settings.cpus, team_settings.gpus, 0.0);
        match wanted.gpus > 0 {
            true => task.gpus > 0 && used.gpus - task.gpus >= guarantee.gpus,
            false => used.cpus - task.cpus >= guarantee.cpus,
        }
    }
}
