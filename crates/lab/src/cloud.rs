//! The cloud: rents machines by the second, lists them late.

use crate::{Millis, millis, site::Site};
use fastrand::Rng;
use pathwinch_protocol::cloud::{
    ListedMachine, ListedState, MAX_MACHINES_PER_REQUEST, MachineList, MachineNames,
    MachineRequest, MachineType,
};
use pathwinch_transport::rate_limit::TokenBucket;
use std::collections::{BTreeMap, HashMap};

#[derive(Debug, Clone)]
pub struct Rented {
    pub type_index: usize,
    pub zone: String,
    pub spot: bool,
    pub rented: Millis,
    /// `None`: it never comes up.
    pub up: Option<Millis>,
    /// Where its worker listens, once it has one.
    pub addr: String,
    gone: Option<Millis>,
}

#[derive(Debug)]
pub struct Cloud {
    types: Vec<MachineType>,
    zones: Vec<String>,
    /// Machines of each type in a zone.
    capacity: Vec<u32>,
    stillborn: f64,
    lag: Millis,
    requests: TokenBucket,
    machines: BTreeMap<String, Rented>,
    /// What each request's name was answered with: it rents once.
    answered: HashMap<String, Vec<String>>,
    last: u64,
    rng: Rng,
    /// Money spent on machines that are gone.
    spent: f64,
}

const RELEASE_MOST: usize = 100;
const LIST_MOST: usize = 500;
/// The least time charged for a machine that is deleted.
const LEAST_CHARGED: Millis = 60_000;

#[derive(Debug, PartialEq)]
pub enum Refused {
    Malformed(&'static str),
    NoCapacity,
}

impl Cloud {
    pub fn new(site: &Site) -> Self {
        Cloud {
            types: site.rigs.clone(),
            zones: site.cluster.zones.clone(),
            capacity: (0..site.rigs.len()).map(|t| site.capacity_of(t)).collect(),
            stillborn: site.stillborn,
            lag: millis(site.cluster.cloud.list_lag_s),
            requests: TokenBucket::new(site.cluster.cloud.rps, 2.0),
            machines: BTreeMap::new(),
            answered: HashMap::new(),
            last: 0,
            rng: Rng::with_seed(site.seed),
            spent: 0.0,
        }
    }

    pub fn admit(&mut self, now: Millis) -> bool {
        self.requests.take(now, 1.0, 0.0)
    }

    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    pub fn type_of(&self, machine: &Rented) -> &MachineType {
        &self.types[machine.type_index]
    }

    /// A machine that exists.
    pub fn machine(&self, id: &str) -> Option<&Rented> {
        self.machines.get(id).filter(|m| m.gone.is_none())
    }

    pub fn set_addr(&mut self, id: &str, addr: String) {
        if let Some(m) = self.machines.get_mut(id) {
            m.addr = addr;
        }
    }

    /// Machines that are up.
    pub fn ready(&self, now: Millis) -> Vec<String> {
        let up = |m: &Rented| m.gone.is_none() && m.up.is_some_and(|up| up <= now);
        let up = self.machines.iter().filter(|(_, m)| up(m));
        up.map(|(id, _)| id.clone()).collect()
    }

    pub fn present(&self) -> usize {
        self.machines.values().filter(|m| m.gone.is_none()).count()
    }

    pub fn rent(&mut self, rent: &MachineRequest, now: Millis) -> Result<Vec<String>, Refused> {
        if let Some(names) = self.answered.get(&rent.request_id) {
            return Ok(names.clone());
        }
        let Some(type_index) = self.types.iter().position(|t| t.name == rent.type_name) else {
            return Err(Refused::Malformed("rig: unknown"));
        };
        let t = &self.types[type_index];
        if !t.zones.contains(&rent.zone) || !self.zones.contains(&rent.zone) {
            return Err(Refused::Malformed("hall: not one of this rig's"));
        }
        if rent.count == 0 || rent.count > MAX_MACHINES_PER_REQUEST {
            return Err(Refused::Malformed("count: must be 1 to 50"));
        }
        let taken = self.machines.values().filter(|m| {
            m.gone.is_none()
                && m.type_index == type_index
                && m.zone == rent.zone
                && m.spot == rent.spot
        });
        let free = self.capacity[type_index].saturating_sub(taken.count() as u32);
        if free == 0 {
            return Err(Refused::NoCapacity);
        }
        let boot = millis(t.boot_s) as f64;
        let mut names = Vec::new();
        for _ in 0..rent.count.min(free) {
            self.last += 1;
            let id = format!("i-{:06}", self.last);
            let never = self.rng.f64() < self.stillborn;
            let after = boot * (0.6 + 0.9 * self.rng.f64());
            self.machines.insert(
                id.clone(),
                Rented {
                    type_index,
                    zone: rent.zone.clone(),
                    spot: rent.spot,
                    rented: now,
                    up: (!never).then_some(now + after as Millis),
                    addr: String::new(),
                    gone: None,
                },
            );
            names.push(id);
        }
        self.answered.insert(rent.request_id.clone(), names.clone());
        Ok(names)
    }

    /// Returns those that were there and are gone now.
    pub fn release(&mut self, names: &MachineNames, now: Millis) -> Result<Vec<String>, Refused> {
        if names.machines.len() > RELEASE_MOST {
            return Err(Refused::Malformed("posts: at most 100"));
        }
        let mut gone = Vec::new();
        for id in &names.machines {
            let Some(m) = self.machines.get_mut(id).filter(|m| m.gone.is_none()) else {
                continue;
            };
            m.gone = Some(now);
            let price = self.types[m.type_index].price_of(m.spot);
            let charged = now.saturating_sub(m.rented).max(LEAST_CHARGED);
            self.spent += price * charged as f64 / 3_600_000.0;
            gone.push(id.clone());
        }
        // What the list no longer shows is forgotten.
        let horizon = now.saturating_sub(4 * self.lag + 60_000);
        self.machines
            .retain(|_, m| m.gone.is_none_or(|gone| gone > horizon));
        Ok(gone)
    }

    /// As things stood a while ago.
    pub fn list(&self, from: &str, most: usize, now: Millis) -> MachineList {
        let then = now.saturating_sub(self.lag);
        let mut machines = Vec::new();
        for (id, m) in self.machines.range(from.to_owned()..) {
            if id.as_str() <= from || m.rented > then || m.gone.is_some_and(|g| g <= then) {
                continue;
            }
            if machines.len() >= most.clamp(1, LIST_MOST) {
                return MachineList {
                    machines,
                    more: true,
                };
            }
            let up = m.up.is_some_and(|up| up <= then) && !m.addr.is_empty();
            machines.push(ListedMachine {
                id: id.clone(),
                addr: m.addr.clone(),
                type_name: self.types[m.type_index].name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: match up {
                    true => ListedState::Running,
                    false => ListedState::Booting,
                },
                age_s: then.saturating_sub(m.rented) as f64 / 1000.0,
            });
        }
        MachineList {
            machines,
            more: false,
        }
    }

    /// Money spent so far, in the units of the price list.
    pub fn spent(&self, now: Millis) -> f64 {
        let running = self.machines.values().filter(|m| m.gone.is_none());
        let cost = |m: &Rented| {
            let price = self.types[m.type_index].price_of(m.spot);
            price * now.saturating_sub(m.rented) as f64 / 3_600_000.0
        };
        self.spent + running.map(cost).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
