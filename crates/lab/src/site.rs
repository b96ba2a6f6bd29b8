//! What a lab is made of: the part of the settings that all controllers
//! share, machine types and how much of each there is, and how things go
//! wrong. Written as JSON; `pathwinch-testbed site` prints the default.

use anyhow::{Context, Result, ensure};
use pathwinch_protocol::{
    cloud::MachineType,
    settings::{CloudLimits, Cluster, Objective, Quota, StateLimits, Team, Workers},
};
use serde::{Deserialize, Serialize};
use std::path::Path;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Site {
    pub controllers: usize,
    pub cluster: Cluster,
    pub rigs: Vec<MachineType>,
    /// Machines of each type, zone and kind that the cloud has.
    pub capacity: u32,
    /// The same by type, in the order of `rigs`; empty: `capacity` of each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub capacity_by_type: Vec<u32>,
    /// Share of machines that never come up.
    #[serde(default)]
    pub stillborn: f64,
    /// Share of tasks that fail on their first attempt.
    #[serde(default)]
    pub failing: f64,
    /// Everything drawn comes from this.
    #[serde(default)]
    pub seed: u64,
}

/// More listeners than this on one machine serve no purpose.
const MOST_CAPACITY: u32 = 500;
/// More controllers than this are not planned for.
pub const MOST_CONTROLLERS: usize = 15;

impl Default for Site {
    fn default() -> Self {
        let rig = |name: &str, cpus, gpus, price| MachineType {
            name: name.into(),
            cpus,
            gpus,
            memory_gb: cpus * 4.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 2.0,
            price,
            spot_price: price * 0.4,
            boot_s: 3.0,
            zones: vec!["a".into(), "b".into()],
        };
        let team = |name: &str, cpus, cpus_max| Team {
            name: name.into(),
            cpus,
            gpus: 0.0,
            cpus_max,
            gpus_max: 0.0,
        };
        let aim = |kind: &str, class: &str, within_s| Objective {
            kind: kind.into(),
            class: Some(class.into()),
            within_s: Some(within_s),
            times: None,
        };
        Site {
            controllers: 3,
            cluster: Cluster {
                zones: vec!["a".into(), "b".into()],
                teams: vec![team("orders", 16.0, 0.0), team("graphics", 0.0, 64.0)],
                objectives: vec![aim("start", "service", 30.0)],
                workers: Workers {
                    report_s: 1.0,
                    lease_s: 30.0,
                    gang_wait_s: 60.0,
                    gang_peer_s: 5.0,
                    cancel_s: 20.0,
                },
                state: StateLimits {
                    rps: 100.0,
                    write_rps: 60.0,
                    value_kb: 8.0,
                    txn_ops: 12,
                    next: None,
                },
                cloud: CloudLimits {
                    rps: 5.0,
                    list_lag_s: 2.0,
                },
                quota: Quota {
                    max_connections: 256,
                },
            },
            rigs: vec![rig("m8", 8.0, 0.0, 0.4), rig("g16", 16.0, 2.0, 2.0)],
            capacity: 20,
            capacity_by_type: Vec::new(),
            stillborn: 0.0,
            failing: 0.0,
            seed: 1,
        }
    }
}

impl Site {
    /// Machines of this type in each zone, ordinary ones and spot ones each.
    pub fn capacity_of(&self, type_index: usize) -> u32 {
        let own = self.capacity_by_type.get(type_index);
        own.copied().unwrap_or(self.capacity)
    }

    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("{}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Self> {
        let site: Site = serde_json::from_str(text)?;
        ensure!(
            (1..=MOST_CONTROLLERS).contains(&site.controllers),
            "controllers: must be 1 to {MOST_CONTROLLERS}"
        );
        ensure!(
            (1..=MOST_CAPACITY).contains(&site.capacity),
            "capacity: must be 1 to {MOST_CAPACITY}"
        );
        ensure!(!site.rigs.is_empty(), "rigs: at least one machine type");
        ensure!(
            site.capacity_by_type.iter().all(|c| *c <= MOST_CAPACITY),
            "capacity_by_type: must be 0 to {MOST_CAPACITY}"
        );
        for (field, v) in [("stillborn", site.stillborn), ("failing", site.failing)] {
            ensure!((0.0..=1.0).contains(&v), "{field}: must be 0 to 1");
        }
        for rig in &site.rigs {
            for (field, v) in [
                ("cores", rig.cpus),
                ("memory_gb", rig.memory_gb),
                ("fetch_gb_per_s", rig.fetch_gb_per_s),
                ("price", rig.price),
                ("startup_s", rig.boot_s),
            ] {
                ensure!(
                    v.is_finite() && v > 0.0 && v < 1e9,
                    "rigs: {}.{field}: must be a positive number",
                    rig.name
                );
            }
        }
        Ok(site)
    }
}

#[cfg(test)]
mod tests;
