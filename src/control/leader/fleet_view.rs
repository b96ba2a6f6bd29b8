//! The fleet as placement sees it: brings machine views up to date, and states what a
//! job asks of a machine.
//!
//! Called before every decision that ranks machines. While a scheduling cycle is under
//! way it must never offer capacity that became free after the cycle began.

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

/// Ranks of machine types a doubling of the price is apart.
const RANKS_PER_DOUBLING: f64 = 2.0;

fn machine_view(m: &Machine) -> MachineView {
    let free = m.free();
    MachineView {
        type_ix: m.type_ix,
        zone: m.zone,
        spot: m.spot,
        capacity: m.capacity,
        free,
        images: m.images.clone(),
        idle_since: (free == m.capacity).then_some(m.idle_since),
    }
}

impl Leader {
    /// Applies changes of machines since the last call. Capacity that becomes free
    /// during a cycle is offered from the next one on. Guards against giving it to
    /// whoever is next in an interrupted cycle, ahead of earlier jobs that found none.
    pub(super) fn refresh_fleet(&mut self, now: Millis) {
        let planning = &mut self.scheduling;
        planning.fleet.set_policy(&planning.policy);
        // The fleet has the machines at the indices of the cluster state, and is
        // brought up to date before each use.
        for index in self.cluster.take_stale() {
            let machine = self.cluster.machine_handle_at(index);
            let usable = machine.and_then(|machine| self.cluster.machine(machine));
            let room = usable.filter(|m| m.schedulable()).map(machine_view);
            if !planning.in_cycle {
                planning.fleet.set(index, room, now);
            } else if planning.fleet.set_without_gain(index, room, now) {
                planning.machines_with_gain.extend(machine);
            }
        }
        planning.fleet.advance(now);
    }

    /// The cycle is over: capacity that became free meanwhile counts.
    pub(super) fn end_cycle(&mut self) {
        self.scheduling.in_cycle = false;
        self.scheduling.fleet.release_withheld();
        for machine in std::mem::take(&mut self.scheduling.machines_with_gain) {
            self.cluster.mark_stale(machine);
        }
    }

    /// Machines with capacity for a task of the job, ranked, up to date.
    pub(super) fn ranking_for(&mut self, job_handle: JobHandle, now: Millis) -> Option<RankingId> {
        self.refresh_fleet(now);
        let request = self.request_of(self.cluster.job(job_handle)?, now);
        Some(self.scheduling.fleet.ranking(&request, now))
    }

    fn request_of(&self, job: &Job, now: Millis) -> Request {
        let time_left = self.time_to_aim(job, now);
        let late = self.cluster.types.iter().map(|t| {
            let fetch_s = job.spec.image_gb / t.fetch_gb_per_s.max(0.001);
            time_left.is_some_and(|left| fetch_s > left)
        });
        let ranks = (0..self.cluster.types.len())
            .map(|ix| [false, true].map(|spot| self.task_price(&job.need, ix, spot)));
        Request {
            need: job.need,
            types: job.types.clone(),
            spot: job.spec.spot,
            image: job.image,
            late: late.collect(),
            type_ranks: ranks.collect(),
        }
    }

    /// Seconds left to the nearest objective for starting that can still be met.
    pub(super) fn time_to_aim(&self, job: &Job, now: Millis) -> Option<f64> {
        let age = (now - job.known_since) as f64 / 1000.0;
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
            .map(|within| within - age)
            .filter(|left| *left > 0.0)
            .min_by(f64::total_cmp)
            // A service that lost a replica is short of it while it fetches.
            .or((job.spec.kind == Kind::Service).then_some(0.0))
    }

    /// What a task costs on a kind of machine, by the share it takes, in
    /// thousandths of the price unit. Which node a job should run on is left
    /// open by the paper; cheaper kinds go first here, and its method chooses
    /// among machines of a kind.
    pub(super) fn task_price(&self, need: &Resources, type_ix: usize, spot: bool) -> u32 {
        let Some(t) = self.cluster.types.get(type_ix) else {
            return u32::MAX;
        };
        let whole = Resources::offer(t.cpus, t.gpus, t.memory_gb);
        let share = placement::load(&whole, &whole.minus(*need), LoadResource::Scarcest);
        // Current prices move by a third; steps keep the order steady.
        (t.price_of(spot) * share * 1000.0)
            .max(1.0)
            .log2()
            .mul_add(RANKS_PER_DOUBLING, 0.5) as u32
    }
}
