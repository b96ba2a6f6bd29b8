//! The placement view of the fleet: keeps the machine views up to date, and translates a
//! job into a placement request.
//!
//! Called before every decision that ranks machines. Invariant: capacity that became free
//! after a scheduling cycle began is not offered during that cycle.

use super::Leader;
use crate::{
    control::placement::{
        self,
        fleet::{MachineView, RankingId, Request},
    },
    options::LoadResource,
    protocol::users::Kind,
    state::{
        Millis,
        cluster::{Job, JobHandle, Machine},
        resources::Resources,
    },
};

/// Number of ranks by which two machine types differ if one costs twice as much.
const RANKS_PER_DOUBLING: f64 = 2.0;

fn machine_view(machine: &Machine) -> MachineView {
    let free = machine.free();
    MachineView {
        type_index: machine.type_index,
        zone: machine.zone,
        spot: machine.spot,
        capacity: machine.capacity,
        free,
        images: machine.images.clone(),
        idle_since: (free == machine.capacity).then_some(machine.idle_since),
    }
}

impl Leader {
    /// Applies the changes of machines since the last call. Capacity that becomes free
    /// during a scheduling cycle is offered from the next cycle on. Guards against giving
    /// it to the next job of an interrupted cycle, ahead of earlier jobs that found none.
    pub(super) fn refresh_fleet(&mut self, now: Millis) {
        let scheduling = &mut self.scheduling;
        scheduling.fleet.set_policy(&scheduling.policy);
        // The fleet uses the same machine indices as the cluster state, and is updated
        // before each use.
        for index in self.cluster.take_stale() {
            let machine = self.cluster.machine_handle_at(index);
            let present = machine.and_then(|machine| self.cluster.machine(machine));
            let view = present.filter(|m| m.schedulable()).map(machine_view);
            if !scheduling.in_cycle {
                scheduling.fleet.update_machine(index, view, now);
            } else if scheduling
                .fleet
                .update_machine_without_gain(index, view, now)
            {
                scheduling.machines_with_new_capacity.extend(machine);
            }
        }
        scheduling.fleet.advance(now);
    }

    /// Ends the scheduling cycle: capacity that became free during it is offered again.
    pub(super) fn end_cycle(&mut self) {
        self.scheduling.in_cycle = false;
        self.scheduling.fleet.release_withheld();
        for machine in std::mem::take(&mut self.scheduling.machines_with_new_capacity) {
            self.cluster.mark_stale(machine);
        }
    }

    /// Returns an up-to-date ranking of the machines with capacity for a task of the job.
    pub(super) fn ranking_for(&mut self, job_handle: JobHandle, now: Millis) -> Option<RankingId> {
        self.refresh_fleet(now);
        let request = self.request_of(self.cluster.job(job_handle)?, now);
        Some(self.scheduling.fleet.ranking(&request, now))
    }

    fn request_of(&self, job: &Job, now: Millis) -> Request {
        let time_left = self.time_to_start_objective(job, now);
        let too_late = self.cluster.types.iter().map(|machine_type| {
            let fetch_s = job.spec.image_gb / machine_type.fetch_gb_per_s.max(0.001);
            time_left.is_some_and(|left_s| fetch_s > left_s)
        });
        let ranks = (0..self.cluster.types.len())
            .map(|ix| [false, true].map(|spot| self.task_price_rank(&job.need, ix, spot)));
        Request {
            need: job.need,
            types: job.types.clone(),
            spot: job.spec.spot,
            image: job.image,
            late: too_late.collect(),
            type_ranks: ranks.collect(),
        }
    }

    /// Returns the seconds left until the nearest start objective that can still be met.
    pub(super) fn time_to_start_objective(&self, job: &Job, now: Millis) -> Option<f64> {
        let age_s = (now - job.waiting_since) as f64 / 1000.0;
        let team = self.cluster.teams.get(job.team);
        let guaranteed = team.is_some_and(|t| {
            (job.need.gpus > 0 && t.gpus > 0.0) || (job.need.gpus == 0 && t.cpus > 0.0)
        });
        self.settings
            .cluster
            .objectives
            .iter()
            .filter(|o| match o.kind.as_str() {
                "wait" => o.class.as_deref() == Some(job.spec.class.as_str()),
                "guarantee" => guaranteed,
                _ => false,
            })
            .filter_map(|o| o.within_s)
            .map(|within| within - age_s)
            .filter(|left| *left > 0.0)
            .min_by(f64::total_cmp)
            // A service that lost a replica lacks it while the image is fetched, so there is
            // no time for a fetch.
            .or((job.spec.kind == Kind::Service).then_some(0.0))
    }

    /// Returns the rank of a kind of machine by the cost of a task on it: the logarithm of the
    /// machine's price times the share that the task takes, in thousandths of the price unit.
    /// The paper on which placement is based leaves open which kind of machine a job should
    /// run on; here cheaper kinds go first, and the method of the paper chooses among machines
    /// of one kind.
    pub(super) fn task_price_rank(&self, need: &Resources, type_index: usize, spot: bool) -> u32 {
        let Some(machine_type) = self.cluster.types.get(type_index) else {
            return u32::MAX;
        };
        let whole_machine =
            Resources::offer(machine_type.cpus, machine_type.gpus, machine_type.memory_gb);
        let share = placement::load(
            &whole_machine,
            &whole_machine.minus(*need),
            LoadResource::Scarcest,
        );
        // Prices vary by a third; the coarse ranks keep the order stable.
        (machine_type.price_of(spot) * share * 1000.0)
            .max(1.0)
            .log2()
            .mul_add(RANKS_PER_DOUBLING, 0.5) as u32
    }
}
