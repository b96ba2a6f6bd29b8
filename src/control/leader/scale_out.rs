//! Scale-out: planning requests for new machines, and applying the cloud's responses to
//! requests and releases.
//!
//! Owns `Scaling`. `inventory` calls `plan_scale_out` while no request is in flight; the
//! server reports each response. A request without a response counts as refused for
//! `CLOUD_REFUSAL_MS`. Its machines, if there are any, appear in the machine list; no code
//! may assume that there are none.

use super::{Leader, millis, zone_health::ZoneHealth};
use crate::{
    control::provision::{self, CapacityBin, Demand, Offer, PlannedMachines},
    protocol::{
        cloud::{MAX_MACHINES_PER_REQUEST, MachineRequest},
        status::PendingReason,
        users::Kind,
    },
    state::{
        Millis,
        cluster::{Job, JobHandle, Machine, MachineHandle, NewMachine, Registration},
        records::machine_key,
        resources::Resources,
    },
};
use std::collections::HashMap;

/// How long a kind of machine that the cloud refused is not requested again.
const CLOUD_REFUSAL_MS: Millis = 10_000;
/// A machine whose heartbeat is overdue by no more than this is not replaced, as the
/// heartbeat may only be late.
const LATE_HEARTBEAT_MS: Millis = 2_000;
/// Age after which a booting machine that is not needed is released. The cloud charges for
/// at least one minute, so this is just under a minute.
const MIN_CHARGE_MS: Millis = 57_000;
/// Number of unsuccessful starts beyond which no machines are requested for a job.
const MAX_UNSUCCESSFUL_STARTS: u32 = 5;
/// Time from a machine's boot to the first task start on it, in seconds.
const START_MARGIN_S: f64 = 5.0;
/// How long released machines are remembered once there are more than
/// `MAX_RELEASED_REMEMBERED` of them.
const RELEASED_MEMORY_MS: Millis = 600_000;
const MAX_RELEASED_REMEMBERED: usize = 5_000;

/// The state of scaling that is not part of the cluster state.
pub(super) struct Scaling {
    /// When the next scaling round is due.
    pub(super) next_scaling_at: Millis,
    /// When the next read of the machine list is due.
    pub(super) next_list_at: Millis,
    /// Kinds of machines that the cloud refused recently, with the time until which they
    /// are not requested.
    refused_until: HashMap<MachineKind, Millis>,
    /// Number of requests that have not been answered yet.
    pub(super) requests_in_flight: u32,
    /// Number of request ids assigned in this term.
    request_count: u64,
    /// Machines that were released or removed, with the time; their late heartbeats are
    /// ignored.
    pub(super) released: HashMap<String, Millis>,
    /// Health of each zone, by zone index.
    pub(super) zone_health: Vec<ZoneHealth>,
    /// No machines are requested before this time, because most machines were overdue at
    /// once.
    pub(super) no_scale_out_until: Millis,
}

impl Scaling {
    pub(super) fn new(zone_health: Vec<ZoneHealth>) -> Self {
        Scaling {
            next_scaling_at: 0,
            next_list_at: 0,
            refused_until: HashMap::new(),
            requests_in_flight: 0,
            request_count: 0,
            released: HashMap::new(),
            zone_health,
            no_scale_out_until: 0,
        }
    }

    fn is_refused(&self, type_index: usize, zone: usize, spot: bool, now: Millis) -> bool {
        let kind = MachineKind {
            type_index,
            zone,
            spot,
        };
        self.refused_until
            .get(&kind)
            .is_some_and(|until| now < *until)
    }
}

/// A kind of machine: one entry of the price list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct MachineKind {
    type_index: usize,
    zone: usize,
    spot: bool,
}

/// Capacity that exists or is expected. `bins` and `held_by_batches` have one entry per
/// machine, in the same order.
#[derive(Default)]
struct Supply {
    bins: Vec<CapacityBin>,
    booting: Vec<BootingBin>,
    held_by_batches: Vec<Resources>,
}

/// A machine that is still booting, and the index of its bin.
struct BootingBin {
    bin: usize,
    machine: MachineHandle,
}

/// Demand of waiting jobs, in the order in which machines are planned for it.
#[derive(Default)]
struct WaitingDemand {
    /// Demand of services and gangs.
    urgent: JobDemand,
    /// Demand of job arrays.
    batches: JobDemand,
}

/// A job, and the index of the demand to which it contributes, if any.
struct JobDemandIndex {
    job: JobHandle,
    demand: Option<usize>,
}

/// Largest number of distinct demands considered in a round. Arrays whose tasks differ in
/// size are distinct demands.
const MAX_DEMANDS: usize = 200;

/// Waiting jobs, aggregated by the resources their tasks need and the machines they allow.
/// The aggregation makes a bound on the number of jobs unnecessary: with such a bound, and
/// more jobs than that waiting at high priority, no machine was requested for any job after
/// them.
#[derive(Default)]
struct JobDemand {
    /// Demands, in the queue order of the first job of each.
    demands: Vec<Demand>,
    jobs: Vec<JobDemandIndex>,
}

impl JobDemand {
    fn add(&mut self, handle: JobHandle, job: &Job, count: i64) {
        let demand = match count {
            1.. => self.add_demand(job, count),
            _ => None,
        };
        self.jobs.push(JobDemandIndex {
            job: handle,
            demand,
        });
    }

    /// Adds the job's tasks to the matching demand and returns its index. Returns `None` if
    /// there is no such demand and `MAX_DEMANDS` is reached.
    fn add_demand(&mut self, job: &Job, count: i64) -> Option<usize> {
        let per_zone = job
            .spec
            .spread
            .then(|| i64::from(job.spec.tasks.div_ceil(2)));
        let same = |demand: &Demand| {
            demand.need == job.need
                && demand.zone == job.zone
                && demand.spot == job.spec.spot
                && demand.per_zone.is_some() == per_zone.is_some()
                && demand.types == job.types
        };
        let index = match self.demands.iter().position(same) {
            Some(index) => index,
            None if self.demands.len() >= MAX_DEMANDS => return None,
            None => {
                self.demands.push(Demand {
                    need: job.need,
                    count: 0,
                    types: job.types.clone(),
                    zone: job.zone,
                    spot: job.spec.spot,
                    per_zone: per_zone.map(|_| 0),
                    refused: false,
                });
                self.demands.len() - 1
            }
        };
        let demand = &mut self.demands[index];
        demand.count += count;
        demand.per_zone = demand.per_zone.zip(per_zone).map(|(all, own)| all + own);
        Some(index)
    }
}

impl Leader {
    /// Returns the shortest boot time of the allowed machine types, in seconds.
    fn boot_s(&self, types: &[bool]) -> f64 {
        self.cluster
            .types
            .iter()
            .zip(types)
            .filter(|(_, allowed)| **allowed)
            .map(|(t, _)| t.boot_s)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    /// Plans the requests for new machines: first for services and gangs, then for batches,
    /// then for the spare capacity.
    pub(super) fn plan_scale_out(&mut self, now: Millis, wall_ms: u64) -> Vec<MachineRequest> {
        let Supply {
            mut bins,
            booting,
            held_by_batches,
        } = self.supply(now);
        let offers = self.offers(now);
        let mut demand = self.waiting_demand(now, wall_ms);
        let free_before: Vec<Resources> = bins.iter().map(|bin| bin.free).collect();
        let mut planned = provision::plan(
            &mut demand.urgent.demands,
            &mut bins,
            &offers,
            provision::MAX_NEW_MACHINES_PER_ROUND,
        );
        // Batches may use the capacity that services and gangs leave.
        let mut spare_bins = bins.clone();
        planned.extend(provision::plan(
            &mut demand.batches.demands,
            &mut bins,
            &offers,
            provision::MAX_NEW_BATCH_MACHINES_PER_ROUND,
        ));
        self.record_supply_reasons(&demand.urgent);
        self.record_supply_reasons(&demand.batches);
        // Capacity that batches hold counts as spare, as it becomes free soon.
        for (bin, held) in spare_bins.iter_mut().zip(held_by_batches) {
            bin.free += held;
        }
        planned.extend(provision::plan(
            &mut self.spare_demands(),
            &mut spare_bins,
            &offers,
            provision::MAX_NEW_MACHINES_PER_ROUND,
        ));
        let unused = booting
            .into_iter()
            .filter(|booting| bins[booting.bin].free == free_before[booting.bin]);
        self.release_unneeded(unused, now);
        self.machine_requests(planned)
    }

    /// Returns the capacity of the machines that exist or are expected to come up.
    fn supply(&self, now: Millis) -> Supply {
        let mut supply = Supply::default();
        for (handle, machine) in self.cluster.machines_with_handles() {
            let booting = self.is_expected_to_boot(machine, now);
            if !booting && !self.counts_as_supply(machine, now) {
                continue;
            }
            if booting {
                let bin = supply.bins.len();
                supply.booting.push(BootingBin {
                    bin,
                    machine: handle,
                });
            }
            supply
                .held_by_batches
                .push(self.resources_held_by_batch_jobs(machine));
            supply.bins.push(CapacityBin {
                type_index: machine.type_index,
                zone: machine.zone,
                spot: machine.spot,
                free: machine.free(),
            });
        }
        supply
    }

    /// Whether the machine is booting, and not for longer than 1.7 times its usual boot time.
    fn is_expected_to_boot(&self, machine: &Machine, now: Millis) -> bool {
        let boot_ms = millis(self.cluster.types[machine.type_index].boot_s);
        !machine.up
            && machine.incarnation == 0
            && machine.registration == Registration::Absent
            && !machine.releasing
            && !machine.contents_unknown
            && !self.is_zone_unreachable(machine.zone, now)
            && now < machine.state_since + boot_ms + boot_ms * 7 / 10
    }

    /// Whether the free capacity of the machine can be relied on, even if the machine is not
    /// schedulable at the moment.
    fn counts_as_supply(&self, machine: &Machine, now: Millis) -> bool {
        let late = machine.overdue
            && now < machine.overdue_since + LATE_HEARTBEAT_MS
            && machine.schedulable_if_not_overdue();
        // While the tasks of a machine are unknown, all of its capacity counts as free,
        // because the tasks that may run there still count as waiting. After a warm failover
        // the tasks are known: a machine that stays unresponsive then offers no capacity
        // beyond the tasks it runs.
        let unconfirmed = machine.contents_unknown
            && !machine.releasing
            && (!self.recovery.failover.warm || self.workers_may_be_redirecting(now));
        machine.schedulable() || late || machine.awaits_record() || unconfirmed
    }

    /// Returns every kind of machine on the price list.
    fn offers(&self, now: Millis) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (type_index, machine_type) in self.cluster.types.iter().enumerate() {
            for zone in &machine_type.zones {
                let Some(zone) = self.cluster.zones.find(zone) else {
                    continue;
                };
                for spot in [false, true] {
                    offers.push(Offer {
                        type_index,
                        zone,
                        spot,
                        capacity: Resources::offer(
                            machine_type.cpus,
                            machine_type.gpus,
                            machine_type.memory_gb,
                        ),
                        price: machine_type.price_of(spot),
                        refused: self.is_zone_unreachable(zone, now)
                            || self.scaling.is_refused(type_index, zone, spot, now),
                    });
                }
            }
        }
        offers
    }

    /// Returns the demand of the waiting jobs, within the limits of their teams.
    fn waiting_demand(&mut self, now: Millis, wall_ms: u64) -> WaitingDemand {
        let order = self.queue(now);
        let mut demand = WaitingDemand::default();
        let mut planned_usage: HashMap<usize, Resources> = HashMap::new();
        for &handle in &order {
            let Some(job) = self.cluster.job(handle) else {
                continue;
            };
            if job.failures.suspected || job.unsuccessful_starts > MAX_UNSUCCESSFUL_STARTS {
                continue;
            }
            // Tasks beyond the team's limit need no machine yet.
            let usage = planned_usage.entry(job.team).or_default();
            let count =
                self.max_tasks_within_team_quota(job.team, &job.need, job.waiting_count(), *usage);
            *usage += job.need.scaled(count);
            if count <= 0 {
                continue;
            }
            if job.spec.kind == Kind::Array {
                let at_once = self.batch_parallelism(job, count, wall_ms);
                demand.batches.add(handle, job, at_once);
            } else {
                demand.urgent.add(handle, job, count);
            }
        }
        self.scheduling.job_order_buffer = order;
        demand
    }

    /// Returns how many more of a batch's waiting tasks must run at the same time for it to
    /// meet its deadline.
    fn batch_parallelism(&self, job: &Job, waiting: i64, wall_ms: u64) -> i64 {
        let age_s = wall_ms.saturating_sub(job.accepted_at_ms) as f64 / 1000.0;
        let time_left_s = job
            .spec
            .deadline_s
            .map(|deadline_s| deadline_s - age_s - self.boot_s(&job.types) - START_MARGIN_S);
        let live = i64::from(job.live_count);
        provision::tasks_to_start(waiting, live, job.spec.estimate_s, time_left_s)
    }

    /// Records what each job of the demand waits for. No supply reason is recorded for a job
    /// that needs no new machine to finish in time, or for which `MAX_DEMANDS` left no demand.
    fn record_supply_reasons(&mut self, demand: &JobDemand) {
        for job_demand in &demand.jobs {
            if let Some(job) = self.cluster.job_mut(job_demand.job) {
                job.supply_reason =
                    job_demand
                        .demand
                        .map(|index| match demand.demands[index].refused {
                            true => PendingReason::CloudRefuses,
                            false => PendingReason::MachineBooting,
                        });
            }
        }
    }

    /// Returns the spare capacity for services as demand.
    fn spare_demands(&self) -> Vec<Demand> {
        let spare = self.spare_capacity().into_iter();
        let demand = spare.map(|headroom| Demand {
            need: headroom.need,
            count: headroom.wanted,
            types: headroom.types,
            zone: None,
            spot: headroom.spot,
            per_zone: None,
            refused: false,
        });
        demand.collect()
    }

    /// Releases machines that are still booting although they are no longer needed, once
    /// the minimum charge has been incurred anyway.
    fn release_unneeded(&mut self, unused: impl Iterator<Item = BootingBin>, now: Millis) {
        for booting in unused {
            if let Some(machine) = self.cluster.machine(booting.machine)
                && now > machine.state_since + MIN_CHARGE_MS
            {
                self.release(booting.machine, "no longer needed", now);
            }
        }
    }

    /// Splits the planned machines into requests of the size that the cloud accepts.
    fn machine_requests(&mut self, planned: Vec<PlannedMachines>) -> Vec<MachineRequest> {
        let mut requests = Vec::new();
        for machines in planned {
            let mut remaining = machines.count;
            while remaining > 0 {
                let count = remaining.min(MAX_MACHINES_PER_REQUEST);
                remaining -= count;
                self.scaling.request_count += 1;
                requests.push(MachineRequest {
                    request_id: format!("r-{}-{}", self.term, self.scaling.request_count),
                    type_name: self.cluster.types[machines.type_index].name.clone(),
                    zone: self.cluster.zones.name(machines.zone).to_owned(),
                    spot: machines.spot,
                    count,
                });
            }
        }
        requests
    }

    /// Notes that a planned request was not sent.
    pub fn scale_out_not_sent(&mut self) {
        self.scaling.requests_in_flight = self.scaling.requests_in_flight.saturating_sub(1);
    }

    /// Applies the response to a request: the names of the new machines. `None` if there was
    /// no response; the machines, if there are any, then appear in the machine list.
    pub fn on_scale_out_response(
        &mut self,
        request: &MachineRequest,
        names: Option<&[String]>,
        now: Millis,
    ) {
        self.scaling.requests_in_flight = self.scaling.requests_in_flight.saturating_sub(1);
        let names = names.unwrap_or(&[]);
        log::info!(
            "cloud added {} of {} requested machines of type {} in zone {}{}",
            names.len(),
            request.count,
            request.type_name,
            request.zone,
            if request.spot { ", spot" } else { "" }
        );
        self.events.metric_counts.machines_added += names.len() as u64;
        for name in names {
            let new_machine = NewMachine {
                name,
                addr: "",
                type_name: &request.type_name,
                zone: &request.zone,
                spot: request.spot,
            };
            self.cluster.insert_machine(new_machine, now);
        }
        if (names.len() as u32) < request.count
            && let (Some(type_index), Some(zone)) = (
                self.cluster.type_index(&request.type_name),
                self.cluster.zones.find(&request.zone),
            )
        {
            let kind = MachineKind {
                type_index,
                zone,
                spot: request.spot,
            };
            self.scaling
                .refused_until
                .insert(kind, now + CLOUD_REFUSAL_MS);
        }
    }

    /// Applies the cloud's response to a release. If `ok`, the machines have been deleted.
    pub fn on_release_response(&mut self, names: &[String], ok: bool, now: Millis) {
        for name in names {
            let Some(handle) = self.cluster.machine_handle(name) else {
                continue;
            };
            if !ok {
                if let Some(machine) = self.cluster.machine_mut(handle) {
                    machine.release_requested = false;
                }
                continue;
            }
            if let Some(machine) = self.cluster.machine(handle)
                && machine.registration == Registration::Present
            {
                self.write_queue
                    .conditional_deletes
                    .push((machine_key(name), machine.record_version));
            }
            self.events.metric_counts.released += 1;
            self.cluster.remove_machine(handle);
            self.scaling.released.insert(name.clone(), now);
            self.changed = true;
        }
        if self.scaling.released.len() > MAX_RELEASED_REMEMBERED {
            self.scaling
                .released
                .retain(|_, at| now < *at + RELEASED_MEMORY_MS);
        }
    }
}
