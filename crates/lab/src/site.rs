//! The description of a testbed (the site file, in JSON): the settings that all
//! controllers share, the machine types with the capacity of the simulated cloud, and
//! the shares of machines and tasks that fail. `pathwinch-lab site` prints the default.

use anyhow::{Context, Result, ensure};
use pathwinch_protocol::{
    cloud::MachineType,
    settings::{CloudLimits, Cluster, Objective, Quota, StateLimits, Team, Workers},
};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The description of a testbed. The field names are those of the site file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Site {
    /// Number of controllers.
    pub controllers: usize,
    pub cluster: Cluster,
    /// Machine types that the cloud rents out.
    pub rigs: Vec<MachineType>,
    /// Number of machines that the cloud has of each type and zone, for spot and ordinary
    /// machines each.
    pub capacity: u32,
    /// The same number by machine type, in the order of `rigs`. Types without an entry
    /// have `capacity`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub capacity_by_type: Vec<u32>,
    /// Share of machines that never boot, 0 to 1.
    #[serde(default)]
    pub stillborn: f64,
    /// Share of tasks that fail at their first start, 0 to 1.
    #[serde(default)]
    pub failing: f64,
    /// Faults of the workers; none by default.
    #[serde(default)]
    pub worker_faults: WorkerFaults,
    /// Seed of the random numbers of the cloud, the object store, the faults and the markets.
    #[serde(default)]
    pub seed: u64,
}

/// Faults of the workers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Share of direct commands of which copies arrive after they were answered, 0 to 1.
    pub duplicate_commands: f64,
    /// Seconds between two restarts of an agent, which is back at once without its tasks. 0
    /// disables the restarts.
    pub agent_restarts_every_s: f64,
    /// Whether copies reach a restarted agent before its first heartbeat was answered, and are
    /// sent for that. No controller can fence off such a copy.
    pub reach_unanswered_agents: bool,
}

/// Maximum capacity per machine type, zone and spot or ordinary machines. Each machine
/// needs a listener on this host, and more listeners serve no purpose.
const MAX_CAPACITY: u32 = 500;
/// Maximum number of controllers; larger installations are not planned for.
pub const MAX_CONTROLLERS: usize = 15;

impl Default for Site {
    fn default() -> Self {
        let machine_type = |name: &str, cpus, gpus, price| MachineType {
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
        let objective = |kind: &str, class: &str, within_s| Objective {
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
                objectives: vec![objective("start", "service", 30.0)],
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
            rigs: vec![
                machine_type("m8", 8.0, 0.0, 0.4),
                machine_type("g16", 16.0, 2.0, 2.0),
            ],
            capacity: 20,
            capacity_by_type: Vec::new(),
            stillborn: 0.0,
            failing: 0.0,
            worker_faults: WorkerFaults::default(),
            seed: 1,
        }
    }
}

impl Site {
    /// Number of machines of a type that the cloud has in each zone, for spot and ordinary
    /// machines each.
    pub fn capacity_of(&self, type_index: usize) -> u32 {
        let type_capacity = self.capacity_by_type.get(type_index);
        type_capacity.copied().unwrap_or(self.capacity)
    }

    /// Reads and checks a site file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read site file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("site file {}", path.display()))
    }

    /// Parses and checks a site file. Errors name the field.
    pub fn parse(text: &str) -> Result<Self> {
        let site: Site = serde_json::from_str(text)?;
        ensure!(
            (1..=MAX_CONTROLLERS).contains(&site.controllers),
            "controllers: must be 1 to {MAX_CONTROLLERS}"
        );
        ensure!(
            (1..=MAX_CAPACITY).contains(&site.capacity),
            "capacity: must be 1 to {MAX_CAPACITY}"
        );
        ensure!(!site.rigs.is_empty(), "rigs: at least one machine type");
        ensure!(
            site.capacity_by_type.iter().all(|c| *c <= MAX_CAPACITY),
            "capacity_by_type: must be 0 to {MAX_CAPACITY}"
        );
        let duplicate_commands = site.worker_faults.duplicate_commands;
        for (field, value) in [
            ("stillborn", site.stillborn),
            ("failing", site.failing),
            ("worker_faults: duplicate_commands", duplicate_commands),
        ] {
            ensure!((0.0..=1.0).contains(&value), "{field}: must be 0 to 1");
        }
        for machine_type in &site.rigs {
            for (field, value) in [
                ("cores", machine_type.cpus),
                ("memory_gb", machine_type.memory_gb),
                ("fetch_gb_per_s", machine_type.fetch_gb_per_s),
                ("price", machine_type.price),
                ("startup_s", machine_type.boot_s),
            ] {
                ensure!(
                    value.is_finite() && value > 0.0 && value < 1e9,
                    "rigs: {}.{field}: must be a positive number",
                    machine_type.name
                );
            }
        }
        Ok(site)
    }
}

#[cfg(test)]
mod tests;
