//! Rentals: what is asked of the cloud, and how it came out.

use super::{Leader, millis, zone_health::ZoneHealth};
use crate::{
    control::provision::{self, Bin, Demand, Offer},
    protocol::{
        cloud::{MAX_MACHINES_PER_REQUEST, MachineRequest},
        status::Reason,
        users::Kind,
    },
    state::{
        Millis,
        cluster::{Job, Registration},
        records::machine_key,
        resources::Resources,
    },
};
use std::collections::HashMap;

/// How long a kind of machine that was refused is not asked for again.
const CLOUD_REFUSAL_MS: Millis = 10_000;
/// A machine that has been overdue for no longer than this may just be late:
/// nothing is rented in its place.
const LATE_HEARTBEAT_MS: Millis = 2_000;
/// A machine costs at least a minute.
const MIN_CHARGE_MS: Millis = 57_000;

/// Machines as the cloud gives and lists them.
pub(super) struct Scaling {
    pub(super) next_look_at: Millis,
    pub(super) next_list_at: Millis,
    pub(super) refused_until: HashMap<(usize, usize, bool), Millis>,
    /// Requests without an answer.
    pub(super) requests_in_flight: u32,
    /// Names given out in this term.
    pub(super) request_count: u64,
    /// Machines released or dropped; late reports of them mean nothing.
    pub(super) released: HashMap<String, Millis>,
    pub(super) zone_health: Vec<ZoneHealth>,
    /// Most machines were overdue at once: nothing is rented in their place.
    pub(super) no_scale_out_until: Millis,
}

impl Scaling {
    pub(super) fn new(zone_life: Vec<ZoneHealth>) -> Self {
        Scaling {
            next_look_at: 0,
            next_list_at: 0,
            refused_until: HashMap::new(),
            requests_in_flight: 0,
            request_count: 0,
            released: HashMap::new(),
            zone_health: zone_life,
            no_scale_out_until: 0,
        }
    }
}

/// Kinds of demand that are looked at in a round: arrays whose tasks differ
/// in size are one each.
const MAX_DEMANDS: usize = 200;

/// What waits, by what it takes of which machines. Guards against a bound on
/// the jobs that are looked at: with more than that waiting at high priority,
/// nothing was rented for what came after them.
#[derive(Default)]
struct Wanted {
    /// In the order of service of their first jobs.
    demands: Vec<Demand>,
    /// Jobs, and which demand they are part of, if any.
    jobs: Vec<(u32, Option<usize>)>,
}

impl Wanted {
    fn add(&mut self, ix: u32, j: &Job, count: i64) {
        let at = match count {
            1.. => self.demand(j, count),
            _ => None,
        };
        self.jobs.push((ix, at));
    }

    fn demand(&mut self, j: &Job, count: i64) -> Option<usize> {
        let per_zone = j.spec.spread.then(|| i64::from(j.spec.tasks.div_ceil(2)));
        let same = |d: &Demand| {
            d.need == j.need
                && d.zone == j.zone
                && d.spot == j.spec.spot
                && d.per_zone.is_some() == per_zone.is_some()
                && d.types == j.types
        };
        let at = match self.demands.iter().position(same) {
            Some(at) => at,
            None if self.demands.len() >= MAX_DEMANDS => return None,
            None => {
                self.demands.push(Demand {
                    need: j.need,
                    count: 0,
                    types: j.types.clone(),
                    zone: j.zone,
                    spot: j.spec.spot,
                    per_zone: per_zone.map(|_| 0),
                    refused: false,
                });
                self.demands.len() - 1
            }
        };
        let d = &mut self.demands[at];
        d.count += count;
        d.per_zone = d.per_zone.zip(per_zone).map(|(all, own)| all + own);
        Some(at)
    }
}

impl Leader {
    pub(super) fn boot_s(&self, types: &[bool]) -> f64 {
        self.cluster
            .types
            .iter()
            .zip(types)
            .filter(|(_, allowed)| **allowed)
            .map(|(t, _)| t.boot_s)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    pub(super) fn plan_scale_out(&mut self, now: Millis, wall_ms: u64) -> Vec<MachineRequest> {
        let mut bins = Vec::new();
        let mut coming_bins = Vec::new();
        let mut batch_held = Vec::new();
        for (ix, m) in self.cluster.indexed_machines() {
            let boot = millis(self.cluster.types[m.type_ix].boot_s);
            // One that is long overdue is not counted on any more.
            let coming = !m.up
                && m.incarnation == 0
                && m.registration == Registration::Absent
                && !m.releasing
                && !m.contents_unknown
                && !self.is_zone_unreachable(m.zone, now)
                && now < m.state_since + boot + boot * 7 / 10;
            let late = m.overdue
                && now < m.overdue_since + LATE_HEARTBEAT_MS
                && m.schedulable_once_heard();
            // Nothing is known of an unknown one, so all of it counts as free:
            // what may run there still looks like waiting.
            // What runs there is known to a leader that took over warm: one
            // that stays unresponsive counts for no more than it holds.
            let unheard = m.contents_unknown
                && !m.releasing
                && (!self.recovery.failover.warm || self.workers_may_be_redirecting(now));
            let there = m.schedulable() || late || m.awaits_record() || unheard;
            if coming || there {
                if coming {
                    coming_bins.push((bins.len(), ix));
                }
                // What batches hold turns over soon.
                batch_held.push(self.held_by_batches(m));
                bins.push(Bin {
                    type_ix: m.type_ix,
                    zone: m.zone,
                    spot: m.spot,
                    free: m.free(),
                });
            }
        }
        let mut offers = Vec::new();
        for (type_ix, t) in self.cluster.types.iter().enumerate() {
            for zone in &t.zones {
                let Some(zone) = self.cluster.zones.find(zone) else {
                    continue;
                };
                for spot in [false, true] {
                    offers.push(Offer {
                        type_ix,
                        zone,
                        spot,
                        capacity: Resources::offer(t.cpus, t.gpus, t.memory_gb),
                        price: t.price_of(spot),
                        refused: self.is_zone_unreachable(zone, now)
                            || self
                                .scaling
                                .refused_until
                                .get(&(type_ix, zone, spot))
                                .is_some_and(|until| now < *until),
                    });
                }
            }
        }
        let order = self.queue(now);
        let free_before: Vec<Resources> = bins.iter().map(|b| b.free).collect();
        let mut wanted = Wanted::default();
        let mut batches = Wanted::default();
        let mut planned: HashMap<usize, Resources> = HashMap::new();
        for &ix in &order {
            let Some(j) = self.cluster.job(ix) else {
                continue;
            };
            if j.failures.suspected || j.consecutive_refusals > 5 {
                continue;
            }
            // What the team may not run yet needs no machine yet.
            let planned = planned.entry(j.team).or_default();
            let count = self.most_within_limit(j.team, &j.need, j.waiting_count(), *planned);
            *planned += j.need.scaled(count);
            if count <= 0 {
                continue;
            }
            if j.spec.kind == Kind::Array {
                let age = wall_ms.saturating_sub(j.accepted_at_ms) as f64 / 1000.0;
                let left = j
                    .spec
                    .deadline_s
                    .map(|d| d - age - self.boot_s(&j.types) - 5.0);
                let live = i64::from(j.live_count);
                let at_once = provision::parallel(count, live, j.spec.estimate_s, left);
                batches.add(ix, j, at_once);
            } else {
                wanted.add(ix, j, count);
            }
        }
        self.scheduling.queue_buffer = order;
        let demands = &mut wanted.demands;
        let mut bought = provision::plan(demands, &mut bins, &offers, provision::MAX_NEW);
        // Batches may use what high priority leaves.
        let mut room: Vec<Bin> = bins.clone();
        let demands = &mut batches.demands;
        bought.extend(provision::plan(
            demands,
            &mut bins,
            &offers,
            provision::BATCH_NEW,
        ));
        for w in [&wanted, &batches] {
            // Those of no demand are not hurried: they will be in time without.
            for (ix, of) in &w.jobs {
                if let Some(j) = self.cluster.job_mut(*ix) {
                    j.supply_reason = of.map(|of| match w.demands[of].refused {
                        true => Reason::CloudRefuses,
                        false => Reason::MachineBooting,
                    });
                }
            }
        }
        let untouched: Vec<bool> = bins
            .iter()
            .zip(&free_before)
            .map(|(b, before)| b.free == *before)
            .collect();
        let mut spare_capacity: Vec<Demand> = self
            .spare_capacity()
            .into_iter()
            .map(|r| Demand {
                need: r.need,
                count: r.wanted,
                types: r.types,
                zone: None,
                spot: r.spot,
                per_zone: None,
                refused: false,
            })
            .collect();
        for (bin, held) in room.iter_mut().zip(batch_held) {
            bin.free += held;
        }
        bought.extend(provision::plan(
            &mut spare_capacity,
            &mut room,
            &offers,
            provision::MAX_NEW,
        ));
        // A machine that still boots when its work is gone is given back, once
        // the least that it costs is spent.
        for (bin, ix) in coming_bins {
            if let Some(m) = self.cluster.machine(ix)
                && untouched[bin]
                && now > m.state_since + MIN_CHARGE_MS
            {
                self.release(ix, "no longer needed", now);
            }
        }
        let mut rents = Vec::new();
        for p in bought {
            let mut left = p.count;
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                left -= count;
                self.scaling.request_count += 1;
                rents.push(MachineRequest {
                    request_id: format!("r-{}-{}", self.term, self.scaling.request_count),
                    type_name: self.cluster.types[p.type_ix].name.clone(),
                    zone: self.cluster.zones.name(p.zone).to_owned(),
                    spot: p.spot,
                    count,
                });
            }
        }
        rents
    }

    /// The request was not made after all.
    pub fn scale_out_not_sent(&mut self) {
        self.scaling.requests_in_flight = self.scaling.requests_in_flight.saturating_sub(1);
    }

    /// `None`: no answer; the machines, if any, show in the list.
    pub fn scale_out_answered(
        &mut self,
        rent: &MachineRequest,
        names: Option<&[String]>,
        now: Millis,
    ) {
        self.scaling.requests_in_flight = self.scaling.requests_in_flight.saturating_sub(1);
        let names = names.unwrap_or(&[]);
        log::info!(
            "scaled out by {} of {} {} in {}{}",
            names.len(),
            rent.count,
            rent.type_name,
            rent.zone,
            if rent.spot { ", spot" } else { "" }
        );
        self.events.tally.rented += names.len() as u64;
        for name in names {
            self.cluster
                .insert_machine(name, "", &rent.type_name, &rent.zone, rent.spot, now);
        }
        if (names.len() as u32) < rent.count
            && let (Some(t), Some(z)) = (
                self.cluster.type_index(&rent.type_name),
                self.cluster.zones.find(&rent.zone),
            )
        {
            self.scaling
                .refused_until
                .insert((t, z, rent.spot), now + CLOUD_REFUSAL_MS);
        }
    }

    /// The cloud answered a release: the machines are gone.
    pub fn released(&mut self, names: &[String], ok: bool, now: Millis) {
        for name in names {
            let Some(ix) = self.cluster.machine_index(name) else {
                continue;
            };
            if !ok {
                if let Some(m) = self.cluster.machine_mut(ix) {
                    m.release_requested = false;
                }
                continue;
            }
            if let Some(m) = self.cluster.machine(ix)
                && m.registration == Registration::Present
            {
                self.write_queue
                    .conditional_deletes
                    .push((machine_key(name), m.record_version));
            }
            self.events.tally.released += 1;
            self.cluster.remove_machine(ix);
            self.scaling.released.insert(name.clone(), now);
            self.changed = true;
        }
        if self.scaling.released.len() > 5000 {
            self.scaling.released.retain(|_, at| now < *at + 600_000);
        }
    }
}
