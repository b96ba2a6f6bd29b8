//! Simulated cloud provider: rents machines up to a capacity per type, zone and
//! pricing model, bills them by time, and lists them with a delay. The rate limit
//! and the delay are those of the settings. Served over HTTP by `services`.

use crate::{Millis, millis, site::Site};
use fastrand::Rng;
use pathwinch_protocol::cloud::{
    ListedMachine, ListedState, MAX_MACHINES_PER_REQUEST, MachineList, MachineNames,
    MachineRequest, MachineType,
};
use pathwinch_transport::rate_limit::TokenBucket;
use std::collections::{BTreeMap, HashMap};

/// A machine that was rented, until some time after its release.
#[derive(Debug, Clone)]
pub struct Rental {
    pub type_index: usize,
    pub zone: String,
    pub spot: bool,
    pub rented_at: Millis,
    /// When the machine has booted; `None` if it never does.
    pub up_at: Option<Millis>,
    /// Address of the machine's worker; empty until the worker is started.
    pub addr: String,
    /// When the machine was released.
    released_at: Option<Millis>,
}

/// The machine types, the capacity and the rented machines.
#[derive(Debug)]
pub struct Cloud {
    types: Vec<MachineType>,
    zones: Vec<String>,
    /// Maximum number of machines of each type, per zone and for spot and ordinary
    /// machines each.
    capacity: Vec<u32>,
    /// Share of machines that never boot, 0 to 1.
    boot_failure_share: f64,
    /// Delay with which the listing shows changes.
    list_lag: Millis,
    request_limit: TokenBucket,
    machines: BTreeMap<String, Rental>,
    /// Machine names returned for each request id, so that a repeated request does
    /// not rent again.
    names_by_request_id: HashMap<String, Vec<String>>,
    /// Number in the name of the machine rented last.
    last: u64,
    rng: Rng,
    /// Cost of the machines that were released, in the currency of the price list.
    spent: f64,
}

/// Maximum number of machines that one request may release.
const MAX_RELEASED_PER_REQUEST: usize = 100;
/// Maximum number of machines on one page of the listing.
const MAX_LISTED_PER_PAGE: usize = 500;
/// Minimum time charged for a machine that is released.
const MIN_CHARGED_MS: Millis = 60_000;

/// Why a request is refused.
#[derive(Debug, PartialEq)]
pub enum CloudError {
    Malformed(&'static str),
    NoCapacity,
}

impl Cloud {
    pub fn new(site: &Site) -> Self {
        Cloud {
            types: site.rigs.clone(),
            zones: site.cluster.zones.clone(),
            capacity: (0..site.rigs.len())
                .map(|type_index| site.capacity_of(type_index))
                .collect(),
            boot_failure_share: site.stillborn,
            list_lag: millis(site.cluster.cloud.list_lag_s),
            request_limit: TokenBucket::new(site.cluster.cloud.rps, 2.0),
            machines: BTreeMap::new(),
            names_by_request_id: HashMap::new(),
            last: 0,
            rng: Rng::with_seed(site.seed),
            spent: 0.0,
        }
    }

    /// Takes a request from the rate limit; `false` if the limit is exceeded.
    pub fn admit(&mut self, now: Millis) -> bool {
        self.request_limit.take(now, 1.0, 0.0)
    }

    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    pub fn type_of(&self, machine: &Rental) -> &MachineType {
        &self.types[machine.type_index]
    }

    /// Returns the machine with this name unless it was released.
    pub fn machine(&self, id: &str) -> Option<&Rental> {
        self.machines.get(id).filter(|m| m.released_at.is_none())
    }

    /// Sets the address at which the machine's worker listens.
    pub fn set_addr(&mut self, id: &str, addr: String) {
        if let Some(m) = self.machines.get_mut(id) {
            m.addr = addr;
        }
    }

    /// Names of the machines that have booted and were not released.
    pub fn booted_machines(&self, now: Millis) -> Vec<String> {
        let booted = |m: &Rental| m.released_at.is_none() && m.up_at.is_some_and(|at| at <= now);
        let booted_machines = self.machines.iter().filter(|(_, m)| booted(m));
        booted_machines.map(|(id, _)| id.clone()).collect()
    }

    /// Number of machines that were not released.
    pub fn machine_count(&self) -> usize {
        self.machines
            .values()
            .filter(|m| m.released_at.is_none())
            .count()
    }

    /// Rents up to `rent.count` machines, as far as there is capacity, and returns
    /// their names. Idempotent: a repeated request id gets the same names.
    pub fn rent(&mut self, rent: &MachineRequest, now: Millis) -> Result<Vec<String>, CloudError> {
        if let Some(names) = self.names_by_request_id.get(&rent.request_id) {
            return Ok(names.clone());
        }
        let Some(type_index) = self.types.iter().position(|t| t.name == rent.type_name) else {
            return Err(CloudError::Malformed("rig: unknown machine type"));
        };
        let machine_type = &self.types[type_index];
        if !machine_type.zones.contains(&rent.zone) || !self.zones.contains(&rent.zone) {
            return Err(CloudError::Malformed(
                "hall: the machine type is not available in this zone",
            ));
        }
        if rent.count == 0 || rent.count > MAX_MACHINES_PER_REQUEST {
            return Err(CloudError::Malformed("count: must be 1 to 50"));
        }
        let in_use = self.machines.values().filter(|m| {
            m.released_at.is_none()
                && m.type_index == type_index
                && m.zone == rent.zone
                && m.spot == rent.spot
        });
        let free = self.capacity[type_index].saturating_sub(in_use.count() as u32);
        if free == 0 {
            return Err(CloudError::NoCapacity);
        }
        let boot_ms = millis(machine_type.boot_s) as f64;
        let mut names = Vec::new();
        for _ in 0..rent.count.min(free) {
            self.last += 1;
            let id = format!("i-{:06}", self.last);
            let fails_to_boot = self.rng.f64() < self.boot_failure_share;
            let boot_delay_ms = boot_ms * (0.6 + 0.9 * self.rng.f64());
            self.machines.insert(
                id.clone(),
                Rental {
                    type_index,
                    zone: rent.zone.clone(),
                    spot: rent.spot,
                    rented_at: now,
                    up_at: (!fails_to_boot).then_some(now + boot_delay_ms as Millis),
                    addr: String::new(),
                    released_at: None,
                },
            );
            names.push(id);
        }
        self.names_by_request_id
            .insert(rent.request_id.clone(), names.clone());
        Ok(names)
    }

    /// Releases the named machines; unknown and released ones are ignored. Returns the
    /// names of those that this call released.
    pub fn release(
        &mut self,
        names: &MachineNames,
        now: Millis,
    ) -> Result<Vec<String>, CloudError> {
        if names.machines.len() > MAX_RELEASED_PER_REQUEST {
            return Err(CloudError::Malformed("posts: must be at most 100 machines"));
        }
        let mut released = Vec::new();
        for id in &names.machines {
            let Some(m) = self
                .machines
                .get_mut(id)
                .filter(|m| m.released_at.is_none())
            else {
                continue;
            };
            m.released_at = Some(now);
            let price = self.types[m.type_index].price_of(m.spot);
            let charged = now.saturating_sub(m.rented_at).max(MIN_CHARGED_MS);
            self.spent += price * charged as f64 / 3_600_000.0;
            released.push(id.clone());
        }
        // Removes machines that the delayed listing no longer shows.
        let horizon = now.saturating_sub(4 * self.list_lag + 60_000);
        self.machines
            .retain(|_, m| m.released_at.is_none_or(|at| at > horizon));
        Ok(released)
    }

    /// Returns a page of the machines after the name `from`, as they were one listing
    /// delay ago.
    pub fn list(&self, from: &str, limit: usize, now: Millis) -> MachineList {
        let listed_at = now.saturating_sub(self.list_lag);
        let mut machines = Vec::new();
        for (id, m) in self.machines.range(from.to_owned()..) {
            if id.as_str() <= from
                || m.rented_at > listed_at
                || m.released_at.is_some_and(|at| at <= listed_at)
            {
                continue;
            }
            if machines.len() >= limit.clamp(1, MAX_LISTED_PER_PAGE) {
                return MachineList {
                    machines,
                    more: true,
                };
            }
            let is_running = m.up_at.is_some_and(|at| at <= listed_at) && !m.addr.is_empty();
            machines.push(ListedMachine {
                id: id.clone(),
                addr: m.addr.clone(),
                type_name: self.types[m.type_index].name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: match is_running {
                    true => ListedState::Running,
                    false => ListedState::Booting,
                },
                age_s: listed_at.saturating_sub(m.rented_at) as f64 / 1000.0,
            });
        }
        MachineList {
            machines,
            more: false,
        }
    }

    /// Cost of all machines so far, in the currency of the price list.
    pub fn spent(&self, now: Millis) -> f64 {
        let running = self.machines.values().filter(|m| m.released_at.is_none());
        let cost = |m: &Rental| {
            let price = self.types[m.type_index].price_of(m.spot);
            price * now.saturating_sub(m.rented_at) as f64 / 3_600_000.0
        };
        self.spent + running.map(cost).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
