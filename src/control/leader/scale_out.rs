//! Scale-out: which machines to request from the cloud, and what the answers to requests
//! and releases change.
//!
//! Owns `Scaling`. `inventory` calls `plan_scale_out` while no request is in flight; the
//! server reports each answer. A request without an answer counts as refused for a
//! while, and its machines, if any, show in the machine list; nothing may assume that
//! there are none.

use super::{Leader, millis, zone_health::ZoneHealth};
use crate::{
    control::provision::{self, Bin, Demand, Offer, PlannedMachines},
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

/// How long a kind of machine that was refused is not requested again.
const CLOUD_REFUSAL_MS: Millis = 10_000;
/// A machine that has been overdue for no longer than this may just be late:
/// it is not replaced.
const LATE_HEARTBEAT_MS: Millis = 2_000;
/// A machine is charged for at least a minute; this is just under.
const MIN_CHARGE_MS: Millis = 57_000;
/// A job refused more often in a row than this gets no new machines.
const MAX_CONSECUTIVE_REFUSALS: u32 = 5;
/// From a machine's boot to the first start on it.
const START_MARGIN_S: f64 = 5.0;
/// Released machines are remembered for this long, once they are many.
const RELEASED_MEMORY_MS: Millis = 600_000;
const MAX_RELEASED_REMEMBERED: usize = 5_000;

/// State of scaling that is not cluster state.
pub(super) struct Scaling {
    /// When scaling is considered next.
    pub(super) next_look_at: Millis,
    /// When the machine list is read next.
    pub(super) next_list_at: Millis,
    /// Kinds that the cloud refused lately.
    refused_until: HashMap<MachineKind, Millis>,
    /// Requests that have not been answered yet.
    pub(super) requests_in_flight: u32,
    /// Request ids given out in this term.
    request_count: u64,
    /// Machines released or removed; their late heartbeats are ignored.
    pub(super) released: HashMap<String, Millis>,
    /// By zone index.
    pub(super) zone_health: Vec<ZoneHealth>,
    /// Most machines were overdue at once: they are not replaced until then.
    pub(super) no_scale_out_until: Millis,
}

impl Scaling {
    pub(super) fn new(zone_health: Vec<ZoneHealth>) -> Self {
        Scaling {
            next_look_at: 0,
            next_list_at: 0,
            refused_until: HashMap::new(),
            requests_in_flight: 0,
            request_count: 0,
            released: HashMap::new(),
            zone_health,
            no_scale_out_until: 0,
        }
    }

    fn is_refused(&self, type_ix: usize, zone: usize, spot: bool, now: Millis) -> bool {
        let kind = MachineKind {
            type_ix,
            zone,
            spot,
        };
        self.refused_until
            .get(&kind)
            .is_some_and(|until| now < *until)
    }
}

/// A line of the price list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct MachineKind {
    type_ix: usize,
    zone: usize,
    spot: bool,
}

/// Capacity that exists or is expected. `bins` and `held_by_batches` are in the
/// same order.
#[derive(Default)]
struct Supply {
    bins: Vec<Bin>,
    booting: Vec<BootingBin>,
    held_by_batches: Vec<Resources>,
}

/// A machine that still boots, and the index of its bin.
struct BootingBin {
    bin: usize,
    machine: MachineHandle,
}

/// Demand of waiting jobs, in the order in which it is planned for.
#[derive(Default)]
struct WaitingDemand {
    /// Of services and gangs.
    urgent: JobDemand,
    /// Of arrays.
    batches: JobDemand,
}

/// A job, and the index of the demand that it is part of, if any.
struct JobDemandIndex {
    job: JobHandle,
    demand: Option<usize>,
}

/// Distinct demands considered in a round: arrays whose tasks differ in size are
/// one each.
const MAX_DEMANDS: usize = 200;

/// Waiting jobs, aggregated by what their tasks need of which machines. Guards
/// against a bound on the jobs considered: with more than that waiting at high
/// priority, no machine was requested for any job after them.
#[derive(Default)]
struct JobDemand {
    /// In the order of service of their first jobs.
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

    /// The index of the demand; `None`: there are too many already.
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
    /// The shortest boot time of the types allowed.
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

    /// Plans the requests for new machines: first for services and gangs, then
    /// for batches, then for the headroom that is kept spare.
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
            provision::MAX_NEW,
        );
        // Batches may use what high priority leaves.
        let mut spare_bins = bins.clone();
        planned.extend(provision::plan(
            &mut demand.batches.demands,
            &mut bins,
            &offers,
            provision::BATCH_NEW,
        ));
        self.record_supply_reasons(&demand.urgent);
        self.record_supply_reasons(&demand.batches);
        // What batches hold becomes free soon.
        for (bin, held) in spare_bins.iter_mut().zip(held_by_batches) {
            bin.free += held;
        }
        planned.extend(provision::plan(
            &mut self.spare_demands(),
            &mut spare_bins,
            &offers,
            provision::MAX_NEW,
        ));
        let unused = booting
            .into_iter()
            .filter(|booting| bins[booting.bin].free == free_before[booting.bin]);
        self.release_unneeded(unused, now);
        self.machine_requests(planned)
    }

    /// Capacity of the machines that exist, or are expected to come up.
    fn supply(&self, now: Millis) -> Supply {
        let mut supply = Supply::default();
        for (handle, machine) in self.cluster.machines_by_handle() {
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
            supply.held_by_batches.push(self.held_by_batches(machine));
            supply.bins.push(Bin {
                type_ix: machine.type_ix,
                zone: machine.zone,
                spot: machine.spot,
                free: machine.free(),
            });
        }
        supply
    }

    /// The machine boots, and not for so long that it is no longer relied on.
    fn is_expected_to_boot(&self, machine: &Machine, now: Millis) -> bool {
        let boot_ms = millis(self.cluster.types[machine.type_ix].boot_s);
        !machine.up
            && machine.incarnation == 0
            && machine.registration == Registration::Absent
            && !machine.releasing
            && !machine.contents_unknown
            && !self.is_zone_unreachable(machine.zone, now)
            && now < machine.state_since + boot_ms + boot_ms * 7 / 10
    }

    /// What is free on the machine can be relied on, although it may not be
    /// schedulable at this moment.
    fn counts_as_supply(&self, machine: &Machine, now: Millis) -> bool {
        let late = machine.overdue
            && now < machine.overdue_since + LATE_HEARTBEAT_MS
            && machine.schedulable_once_heard();
        // While its contents are unknown all of it counts as free, as what may
        // run there still looks like waiting. After a warm failover they are
        // known: one that stays unresponsive counts for no more than it runs.
        let unconfirmed = machine.contents_unknown
            && !machine.releasing
            && (!self.recovery.failover.warm || self.workers_may_be_redirecting(now));
        machine.schedulable() || late || machine.awaits_record() || unconfirmed
    }

    /// Every kind of machine on the price list.
    fn offers(&self, now: Millis) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (type_ix, machine_type) in self.cluster.types.iter().enumerate() {
            for zone in &machine_type.zones {
                let Some(zone) = self.cluster.zones.find(zone) else {
                    continue;
                };
                for spot in [false, true] {
                    offers.push(Offer {
                        type_ix,
                        zone,
                        spot,
                        capacity: Resources::offer(
                            machine_type.cpus,
                            machine_type.gpus,
                            machine_type.memory_gb,
                        ),
                        price: machine_type.price_of(spot),
                        refused: self.is_zone_unreachable(zone, now)
                            || self.scaling.is_refused(type_ix, zone, spot, now),
                    });
                }
            }
        }
        offers
    }

    /// Demand of the jobs that wait, as far as their teams' limits allow.
    fn waiting_demand(&mut self, now: Millis, wall_ms: u64) -> WaitingDemand {
        let order = self.queue(now);
        let mut demand = WaitingDemand::default();
        let mut planned_usage: HashMap<usize, Resources> = HashMap::new();
        for &handle in &order {
            let Some(job) = self.cluster.job(handle) else {
                continue;
            };
            if job.failures.suspected || job.consecutive_refusals > MAX_CONSECUTIVE_REFUSALS {
                continue;
            }
            // What the team may not run yet needs no machine yet.
            let usage = planned_usage.entry(job.team).or_default();
            let count = self.most_within_limit(job.team, &job.need, job.waiting_count(), *usage);
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
        self.scheduling.queue_buffer = order;
        demand
    }

    /// How many more of a batch's waiting tasks must run at once.
    fn batch_parallelism(&self, job: &Job, waiting: i64, wall_ms: u64) -> i64 {
        let age_s = wall_ms.saturating_sub(job.accepted_at_ms) as f64 / 1000.0;
        let time_left_s = job
            .spec
            .deadline_s
            .map(|deadline_s| deadline_s - age_s - self.boot_s(&job.types) - START_MARGIN_S);
        let live = i64::from(job.live_count);
        provision::parallel(waiting, live, job.spec.estimate_s, time_left_s)
    }

    /// Records what each job of the demand waits for. Jobs of no demand are not
    /// hurried: they will be in time without a new machine.
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

    /// The headroom that is kept spare, as demand.
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

    /// A machine that still boots when its work is gone is released, once the
    /// least that it costs is spent.
    fn release_unneeded(&mut self, unused: impl Iterator<Item = BootingBin>, now: Millis) {
        for booting in unused {
            if let Some(machine) = self.cluster.machine(booting.machine)
                && now > machine.state_since + MIN_CHARGE_MS
            {
                self.release(booting.machine, "no longer needed", now);
            }
        }
    }

    /// Splits what was planned into requests that the cloud accepts.
    fn machine_requests(&mut self, planned: Vec<PlannedMachines>) -> Vec<MachineRequest> {
        let mut requests = Vec::new();
        for machines in planned {
            let mut left = machines.count;
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                left -= count;
                self.scaling.request_count += 1;
                requests.push(MachineRequest {
                    request_id: format!("r-{}-{}", self.term, self.scaling.request_count),
                    type_name: self.cluster.types[machines.type_ix].name.clone(),
                    zone: self.cluster.zones.name(machines.zone).to_owned(),
                    spot: machines.spot,
                    count,
                });
            }
        }
        requests
    }

    /// The request was not sent after all.
    pub fn scale_out_not_sent(&mut self) {
        self.scaling.requests_in_flight = self.scaling.requests_in_flight.saturating_sub(1);
    }

    /// Applies the answer to a request. `None`: there was none; the machines, if
    /// any, show in the machine list.
    pub fn scale_out_answered(
        &mut self,
        request: &MachineRequest,
        names: Option<&[String]>,
        now: Millis,
    ) {
        self.scaling.requests_in_flight = self.scaling.requests_in_flight.saturating_sub(1);
        let names = names.unwrap_or(&[]);
        log::info!(
            "scaled out by {} of {} {} in {}{}",
            names.len(),
            request.count,
            request.type_name,
            request.zone,
            if request.spot { ", spot" } else { "" }
        );
        self.events.tally.rented += names.len() as u64;
        for name in names {
            let new = NewMachine {
                name,
                addr: "",
                type_name: &request.type_name,
                zone: &request.zone,
                spot: request.spot,
            };
            self.cluster.insert_machine(new, now);
        }
        if (names.len() as u32) < request.count
            && let (Some(type_ix), Some(zone)) = (
                self.cluster.type_index(&request.type_name),
                self.cluster.zones.find(&request.zone),
            )
        {
            let kind = MachineKind {
                type_ix,
                zone,
                spot: request.spot,
            };
            self.scaling
                .refused_until
                .insert(kind, now + CLOUD_REFUSAL_MS);
        }
    }

    /// The cloud answered a release; if `ok`, the machines are gone.
    pub fn released(&mut self, names: &[String], ok: bool, now: Millis) {
        for name in names {
            let Some(handle) = self.cluster.machine_handle(name) else {
                continue;
            };
            if !ok {
                if let Some(m) = self.cluster.machine_mut(handle) {
                    m.release_requested = false;
                }
                continue;
            }
            if let Some(m) = self.cluster.machine(handle)
                && m.registration == Registration::Present
            {
                self.write_queue
                    .conditional_deletes
                    .push((machine_key(name), m.record_version));
            }
            self.events.tally.released += 1;
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
