//! Victims of preemption: which tasks to stop for a job, at what loss of work, and the
//! reservation of what becomes free.
//!
//! Called by preemption, gang reservation and placement. It must never stop a service,
//! nor a task that is stopping already.

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

/// How long capacity is reserved for a job after a preemption.
const RESERVATION_MS: Millis = 8_000;
/// A start stopped sooner than this would not have been worth making.
const MIN_USEFUL_RUN_MS: Millis = 30_000;

/// Constant part, in core-seconds, of the work that may be lost for a start
/// without a fetch.
pub(super) const WORTH: f64 = 100.0;
/// The same for a service, which users miss while it fetches.
const WORTH_SERVICE: f64 = 600.0;

/// After this long a team does not wait for what other teams use beyond their
/// guarantees.
pub(super) const GUARANTEE_S: f64 = 20.0;

/// Core-seconds for which a task's share of a machine is idle while its image
/// is fetched there.
pub(super) fn fetch_worth(job: &Job, gb_per_s: f64) -> f64 {
    job.spec.image_gb / gb_per_s * job.spec.cpus.max(4.0 * job.spec.gpus)
}

/// Capacity that stopping some tasks would free.
pub(super) struct Preemption {
    pub(super) machine: MachineHandle,
    pub(super) victims: Vec<usize>,
    /// The image would have to be fetched there.
    pub(super) fetch: bool,
    /// Work lost, in core-seconds.
    pub(super) lost: i64,
}

/// What decides which tasks may be stopped for a job.
struct Search<'a> {
    job: &'a Job,
    priority: Priority,
    /// Also what other teams run beyond their guarantees.
    beyond_guarantees: bool,
    now: Millis,
}

impl Leader {
    /// Jobs with a reservation.
    pub(super) fn jobs_with_reservations(&self, now: Millis) -> HashSet<JobHandle> {
        let held = self.cluster.each_machine().filter_map(|m| m.reserved_for);
        let held = held.filter(|(_, until)| now < *until);
        held.map(|(job, _)| job).collect()
    }

    /// The job has a reservation.
    pub(super) fn has_reservation(&self, job_handle: JobHandle, now: Millis) -> bool {
        let held = |m: &Machine| m.is_reserved_for(job_handle, now);
        self.cluster.each_machine().any(held)
    }

    /// The machine on which the least work is lost by preempting for a task.
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
            .filter(|r| !r.victims.is_empty())
            .min_by_key(|r| (r.fetch, r.lost))
    }

    /// The preemption for a task on one machine, at the least loss there.
    pub(super) fn preemption_on(
        &self,
        machine_handle: MachineHandle,
        job_handle: JobHandle,
        priority: Priority,
        guaranteed: bool,
        now: Millis,
    ) -> Option<Preemption> {
        let job = self.cluster.job(job_handle)?;
        let m = self.cluster.machine(machine_handle)?;
        let allowed = m.schedulable()
            && !self.scheduling.machines_with_gain.contains(&machine_handle)
            && m.reserved_for.is_none_or(|(_, until)| now >= until)
            && job.allows(m)
            && job.need.fits(&m.capacity);
        if !allowed {
            return None;
        }
        let fetch = !m.images.contains(&job.image);
        let search = Search {
            job,
            priority,
            // A machine without the image can't meet the objective any more.
            beyond_guarantees: guaranteed
                && (!fetch || now >= job.known_since + millis(GUARANTEE_S)),
            now,
        };
        let tasks = m.tasks.iter().enumerate();
        let victims = tasks.filter_map(|(at, a)| Some((self.loss_of(a, &search)?, at)));
        // Most machines can not free enough: found without a list.
        let mut most = m.free();
        for (_, at) in victims.clone() {
            most += m.tasks[at].need;
        }
        if !job.need.fits(&most) {
            return None;
        }
        let mut victims: Vec<(i64, usize)> = victims.collect();
        victims.sort_unstable();
        let mut free = m.free();
        let mut lost = 0;
        let mut chosen = Vec::new();
        for (cost, at) in victims {
            if job.need.fits(&free) {
                break;
            }
            free += m.tasks[at].need;
            lost += cost;
            chosen.push(at);
        }
        Some(Preemption {
            machine: machine_handle,
            victims: chosen,
            fetch,
            lost,
        })
    }

    /// The work in core-seconds that is lost if this task is stopped for the
    /// job; `None`: it may not be stopped for it.
    fn loss_of(&self, a: &Assignment, search: &Search) -> Option<i64> {
        let v = self.cluster.job(a.job?)?;
        if !a.is_live() || a.stop_grace_s.is_some() || v.spec.kind == Kind::Service {
            return None;
        }
        let lower = v.effective_priority < search.priority
            && v.spec.kind == Kind::Array
            && !self.has_only_starvation_start(v);
        let beyond = search.beyond_guarantees
            && v.team != search.job.team
            && search.now > a.since + MIN_USEFUL_RUN_MS
            && self.beyond_guarantee(v.team, &a.need, &search.job.need);
        if !lower && !beyond {
            return None;
        }
        // A task that saves loses little.
        let mut ms = search.now - a.since;
        if v.spec.checkpoint_interval_s > 0.0 {
            ms = ms.min(millis(v.spec.checkpoint_cost_s + 1.0));
        }
        let tasks = match v.spec.kind {
            Kind::Gang => i64::from(v.spec.tasks),
            _ => 1,
        };
        Some(ms as i64 * a.need.cpus.max(1) / 1_000_000 * tasks)
    }

    /// Where the best machine means a fetch that misses the objective for starting,
    /// preemption on a machine that caches the image may be the lesser loss: the fetch
    /// leaves the task's share idle for as long. Returns whether the task is to wait for
    /// that.
    pub(super) fn reserve_where_image_is(
        &mut self,
        job_handle: JobHandle,
        at: ChosenMachine,
        now: Millis,
        zone_ok: impl Fn(usize) -> bool,
    ) -> bool {
        if !at.late {
            return false;
        }
        let Some(job) = self.cluster.job(job_handle) else {
            return false;
        };
        let priority = job.effective_priority;
        if priority < Priority::High || job.failures.suspected {
            return false;
        }
        let held = |m: &Machine| m.is_reserved_for(job_handle, now);
        // The reservation is on this machine. Guards against a service that waited until
        // its reservation expired, as machines without its image looked like capacity
        // still to come.
        if self.cluster.machine(at.machine).is_some_and(held) {
            return false;
        }
        if self.has_reservation(job_handle, now) {
            return true;
        }
        let rate = self.cluster.machine(at.machine).map_or(1.0, |m| {
            self.cluster.types[m.type_ix].fetch_gb_per_s.max(0.001)
        });
        let least = match job.spec.kind {
            Kind::Service => WORTH_SERVICE,
            _ => WORTH,
        };
        let worth = fetch_worth(job, rate) + least;
        let Some(room) = self.cheapest_preemption(job_handle, priority, now, zone_ok) else {
            return false;
        };
        if room.fetch || room.lost as f64 > worth {
            return false;
        }
        self.preempt(job_handle, room, now);
        true
    }

    pub(super) fn preempt(&mut self, job_handle: JobHandle, room: Preemption, now: Millis) {
        let id = self.cluster.job(job_handle).map(|j| j.id.clone());
        self.set_reason(job_handle, PendingReason::RoomBeingMade);
        self.events.tally.preempted += room.victims.len() as u64;
        let Some(m) = self.cluster.machine_mut(room.machine) else {
            return;
        };
        if !room.victims.is_empty() {
            log::info!(
                "preempting {} tasks on {} for {}",
                room.victims.len(),
                m.name,
                id.unwrap_or_default()
            );
        }
        m.reserved_for = Some((job_handle, now + RESERVATION_MS));
        for at in room.victims {
            self.stop_gracefully(room.machine, at);
        }
    }

    /// Stops a task, with the time it needs for a checkpoint; a gang is stopped as a
    /// whole, or the checkpoint would fail.
    pub(super) fn stop_gracefully(&mut self, machine: MachineHandle, at: usize) {
        let Some(a) = self.cluster.machine(machine).and_then(|m| m.tasks.get(at)) else {
            return;
        };
        let handle = a.job;
        let (whole, grace) = match handle.and_then(|handle| self.cluster.job(handle)) {
            Some(j) if j.spec.checkpoint_interval_s > 0.0 => {
                (j.spec.kind == Kind::Gang, j.spec.checkpoint_cost_s)
            }
            Some(j) => (j.spec.kind == Kind::Gang, 0.0),
            None => (false, 0.0),
        };
        let own: Vec<(MachineHandle, usize)> = match handle.filter(|_| whole) {
            Some(handle) => self.cluster.live_tasks_of(handle).collect(),
            None => vec![(machine, at)],
        };
        for (machine_handle, at) in own {
            let a = self
                .cluster
                .machine_mut(machine_handle)
                .and_then(|m| m.tasks.get_mut(at));
            if let Some(a) = a.filter(|a| a.stop_grace_s.is_none() && a.is_live()) {
                a.stop_grace_s = Some(grace);
            }
        }
    }

    /// Whether the team's unfinished work all fits its guarantee, and this job
    /// has waited a while although it must not wait for other teams.
    pub(super) fn within_guarantee(&self, job: &Job, now: Millis) -> bool {
        let within = self
            .settings
            .cluster
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(GUARANTEE_S, f64::min);
        if now < job.known_since + millis(within / 5.0) {
            return false;
        }
        let Some(t) = self.cluster.teams.get(job.team) else {
            return false;
        };
        let guarantee = Resources::offer(t.cpus, t.gpus, 0.0);
        let of = |a: &Resources| if job.need.gpus > 0 { a.gpus } else { a.cpus };
        if of(&guarantee) <= 0 {
            return false;
        }
        let mut all = Resources::default();
        for j in self.cluster.jobs.values() {
            if j.team == job.team && !j.cancelled {
                all += j.need.scaled(i64::from(j.waiting_count() + j.live_count));
            }
        }
        of(&all) <= of(&guarantee)
    }

    /// Whether the team still has its guarantee without this task.
    fn beyond_guarantee(&self, team: usize, task: &Resources, wanted: &Resources) -> bool {
        let (Some(t), Some(used)) = (
            self.cluster.teams.get(team),
            self.cluster.team_usage.get(team),
        ) else {
            return false;
        };
        let guarantee = Resources::offer(t.cpus, t.gpus, 0.0);
        match wanted.gpus > 0 {
            true => task.gpus > 0 && used.gpus - task.gpus >= guarantee.gpus,
            false => used.cpus - task.cpus >= guarantee.cpus,
        }
    }
}
