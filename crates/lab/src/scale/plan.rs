//! The plan of a scale run, a TOML file: machines, teams, classes of jobs, durations,
//! limits and faults.

use crate::site::{MAX_CONTROLLERS, Site, WorkerFaults};
use anyhow::{Context, Result, ensure};
use pathwinch_protocol::{
    cloud::MachineType,
    settings::{CloudLimits, Cluster, Objective, Quota, StateLimits, Team, Workers},
    users::{JobSpec, Kind, Priority},
};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Maximum number of machines of a plan.
const MAX_MACHINES: u32 = 5_000;
/// Maximum number of tasks of a job.
const MAX_TASKS_PER_JOB: u32 = 1_000;
/// Minimum interval in seconds between two kills of controllers: a controller has to be
/// back before the next one is killed.
const MIN_KILL_INTERVAL_S: f64 = 2.0;
/// Guaranteed capacity of a team, as a multiple of an equal share of the fleet.
const TEAM_GUARANTEE_FACTOR: f64 = 0.5;
/// Maximum capacity of a team, as a multiple of an equal share of the fleet.
const TEAM_LIMIT_FACTOR: f64 = 6.0;

/// A plan. Its field names are those of the file. The job counts are for `machines` and
/// scale with it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the random numbers of the load, the faults and the site.
    pub seed: u64,
    pub machines: u32,
    pub controllers: usize,
    pub regions: usize,
    pub zones_per_region: usize,
    pub teams: usize,
    /// Seconds before the measurement begins.
    pub warm_up_s: f64,
    /// Seconds of the measurement.
    pub measure_s: f64,
    /// Seconds between two polls of a job by its user.
    pub poll_s: f64,
    /// Maximum memory of all processes together; the run fails if they use more.
    pub most_memory_gb: f64,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub max_sockets: usize,
    pub machine_type: Vec<MachineKind>,
    pub class: Vec<Class>,
    /// Faults during the run; none by default.
    #[serde(default)]
    pub faults: Faults,
}

/// Faults injected during the run, and extra checks by users.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Seconds between two kills of a controller, the leader and a random one in turn. A
    /// killed controller is restarted within a second. 0 disables the kills.
    pub controller_ends_every_s: f64,
    /// Share of jobs that their users cancel, 0 to 1.
    pub withdrawn: f64,
    /// Whether users ask all controllers for the state of a job within milliseconds after
    /// it was accepted or ended.
    pub close_looks: bool,
    /// Share of tasks that fail at their first start, 0 to 1.
    pub failing: f64,
    /// Share of direct commands of which copies arrive after they were answered, 0 to 1.
    pub duplicate_commands: f64,
    /// Seconds between two restarts of a worker, which is back at once without its tasks. 0
    /// disables the restarts.
    pub agent_restarts_every_s: f64,
    /// Whether copies reach a restarted agent before its first heartbeat was answered, and are
    /// sent for that. No controller can fence off such a copy.
    pub reach_unanswered_agents: bool,
}

/// A machine type and its share of the machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    pub name: String,
    pub share: f64,
    pub cores: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
    pub local_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub startup_s: f64,
}

/// A class of similar jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub shape: Kind,
    pub urgency: Priority,
    /// Numbers of tasks per job; each is equally likely.
    pub tasks: Vec<u32>,
    pub cores: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
    pub images: u32,
    pub image_gb: f64,
    pub expected_s: f64,
    /// Number of jobs submitted at the start.
    pub initial: f64,
    /// Number of jobs submitted per second after that, on average.
    pub per_s: f64,
    /// Objective for the start delay of tasks in seconds, if there is one.
    #[serde(default)]
    pub within_s: Option<f64>,
}

impl Plan {
    /// Reads and checks a plan file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read plan file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("plan file {}", path.display()))
    }

    /// Parses and checks a plan. Errors name the field.
    pub fn parse(text: &str) -> Result<Self> {
        let plan: Plan = toml::from_str(text)?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<()> {
        let check_range = |field: &str, v: f64, low: f64, high: f64| {
            ensure!(
                (low..=high).contains(&v),
                "{field}: {v} is outside {low} to {high}"
            );
            Ok(())
        };
        check_range(
            "machines",
            f64::from(self.machines),
            1.0,
            f64::from(MAX_MACHINES),
        )?;
        check_range(
            "controllers",
            self.controllers as f64,
            1.0,
            MAX_CONTROLLERS as f64,
        )?;
        check_range("regions", self.regions as f64, 1.0, 20.0)?;
        check_range("zones_per_region", self.zones_per_region as f64, 1.0, 10.0)?;
        check_range("teams", self.teams as f64, 1.0, 500.0)?;
        check_range("warm_up_s", self.warm_up_s, 0.0, 3_600.0)?;
        check_range("measure_s", self.measure_s, 1.0, 3_600.0)?;
        check_range("poll_s", self.poll_s, 0.1, 600.0)?;
        check_range("most_memory_gb", self.most_memory_gb, 0.1, 1_000.0)?;
        let kill_interval_s = self.faults.controller_ends_every_s;
        let field = "faults: controller_ends_every_s";
        if kill_interval_s != 0.0 {
            check_range(field, kill_interval_s, MIN_KILL_INTERVAL_S, 3_600.0)?;
        }
        check_range("faults: withdrawn", self.faults.withdrawn, 0.0, 1.0)?;
        check_range("faults: failing", self.faults.failing, 0.0, 1.0)?;
        let duplicates = self.faults.duplicate_commands;
        check_range("faults: duplicate_commands", duplicates, 0.0, 1.0)?;
        let restart_interval_s = self.faults.agent_restarts_every_s;
        let field = "faults: agent_restarts_every_s";
        check_range(field, restart_interval_s, 0.0, 3_600.0)?;
        ensure!(!self.machine_type.is_empty(), "machine_type: at least one");
        ensure!(!self.class.is_empty(), "class: at least one");
        for m in &self.machine_type {
            let field = |name: &str| format!("machine_type {}: {name}", m.name);
            check_range(&field("share"), m.share, 0.0, 1.0)?;
            check_range(&field("cores"), m.cores, 0.1, 10_000.0)?;
            check_range(&field("accelerators"), m.accelerators, 0.0, 1_000.0)?;
            check_range(&field("fetch_gb_per_s"), m.fetch_gb_per_s, 0.001, 1_000.0)?;
            check_range(&field("startup_s"), m.startup_s, 0.1, 600.0)?;
        }
        for c in &self.class {
            let field = |name: &str| format!("class {}: {name}", c.name);
            ensure!(!c.tasks.is_empty(), "{}: at least one", field("tasks"));
            for tasks in &c.tasks {
                check_range(
                    &field("tasks"),
                    f64::from(*tasks),
                    1.0,
                    f64::from(MAX_TASKS_PER_JOB),
                )?;
            }
            check_range(&field("images"), f64::from(c.images), 1.0, 10_000.0)?;
            check_range(&field("initial"), c.initial, 0.0, 100_000.0)?;
            check_range(&field("per_s"), c.per_s, 0.0, 1_000.0)?;
            check_range(&field("expected_s"), c.expected_s, 0.0, 86_400.0)?;
        }
        Ok(())
    }

    /// Returns the plan with all job counts scaled to another number of machines.
    pub fn scaled(mut self, machines: u32) -> Result<Self> {
        let factor = f64::from(machines) / f64::from(self.machines);
        self.machines = machines;
        for class in &mut self.class {
            class.initial *= factor;
            class.per_s *= factor;
        }
        self.check()?;
        Ok(self)
    }

    fn zones(&self) -> Vec<String> {
        let of_region = |region| {
            (1..=self.zones_per_region).map(move |zone| format!("region-{region}-zone-{zone}"))
        };
        (1..=self.regions).flat_map(of_region).collect()
    }

    /// Number of machines of a type in one zone.
    fn machines_per_zone(&self, kind: &MachineKind) -> u32 {
        let zones = (self.regions * self.zones_per_region) as f64;
        (f64::from(self.machines) * kind.share / zones).round() as u32
    }

    /// Total processors and accelerators of all machines.
    fn total_capacity(&self) -> (f64, f64) {
        let zones = (self.regions * self.zones_per_region) as f64;
        self.machine_type
            .iter()
            .fold((0.0, 0.0), |(cpus, gpus), m| {
                let count = f64::from(self.machines_per_zone(m)) * zones;
                (cpus + count * m.cores, gpus + count * m.accelerators)
            })
    }

    /// Maximum processors and accelerators that one job needs. No team limit may be lower,
    /// or the job could never run.
    fn largest_job(&self) -> (f64, f64) {
        let mut largest = (0.0_f64, 0.0_f64);
        for class in &self.class {
            let tasks = f64::from(class.tasks.iter().copied().max().unwrap_or(0));
            largest.0 = largest.0.max(tasks * class.cores);
            largest.1 = largest.1.max(tasks * class.accelerators);
        }
        largest
    }

    /// Returns the site that the plan describes.
    pub fn site(&self) -> Site {
        let zones = self.zones();
        let (cpus, gpus) = self.total_capacity();
        let largest = self.largest_job();
        let share = 1.0 / self.teams as f64;
        let team = |number: usize| Team {
            name: team_name(number),
            cpus: (cpus * share * TEAM_GUARANTEE_FACTOR).round(),
            gpus: (gpus * share * TEAM_GUARANTEE_FACTOR).round(),
            cpus_max: (cpus * share * TEAM_LIMIT_FACTOR).max(largest.0).round(),
            gpus_max: (gpus * share * TEAM_LIMIT_FACTOR).max(largest.1).round(),
        };
        let class_objectives = self.class.iter().filter_map(|c| {
            Some(Objective {
                kind: "wait".into(),
                class: Some(c.name.clone()),
                within_s: Some(c.within_s?),
                times: None,
            })
        });
        let machine_type_of = |m: &MachineKind| MachineType {
            name: m.name.clone(),
            cpus: m.cores,
            gpus: m.accelerators,
            memory_gb: m.memory_gb,
            cache_gb: m.local_gb,
            fetch_gb_per_s: m.fetch_gb_per_s,
            price: m.price,
            spot_price: m.price,
            boot_s: m.startup_s,
            zones: zones.clone(),
        };
        Site {
            controllers: self.controllers,
            cluster: Cluster {
                teams: (0..self.teams).map(team).collect(),
                objectives: class_objectives.collect(),
                workers: self.workers.clone(),
                state: self.state.clone(),
                cloud: self.cloud.clone(),
                quota: Quota {
                    max_connections: self.max_sockets,
                },
                zones: zones.clone(),
            },
            rigs: self.machine_type.iter().map(machine_type_of).collect(),
            capacity: 0,
            capacity_by_type: self
                .machine_type
                .iter()
                .map(|m| self.machines_per_zone(m))
                .collect(),
            stillborn: 0.0,
            failing: self.faults.failing,
            worker_faults: WorkerFaults {
                duplicate_commands: self.faults.duplicate_commands,
                agent_restarts_every_s: self.faults.agent_restarts_every_s,
                reach_unanswered_agents: self.faults.reach_unanswered_agents,
            },
            seed: self.seed,
        }
    }

    /// Total number of machines of the site.
    pub fn site_machines(&self) -> u32 {
        let zones = (self.regions * self.zones_per_region) as u32;
        self.machine_type
            .iter()
            .map(|m| self.machines_per_zone(m) * zones)
            .sum()
    }
}

/// Returns the name of the team with this number.
pub fn team_name(number: usize) -> String {
    format!("team-{number:02}")
}

impl Class {
    /// Returns the job of this class with this number, with random values from `rng`.
    pub fn job(&self, number: usize, teams: usize, rng: &mut fastrand::Rng) -> JobSpec {
        let tasks = self.tasks[rng.usize(..self.tasks.len())];
        JobSpec {
            id: format!("j-{number:06}"),
            class: self.name.clone(),
            team: team_name(rng.usize(..teams)),
            kind: self.shape,
            priority: self.urgency,
            tasks,
            cpus: self.cores,
            gpus: self.accelerators,
            memory_gb: self.memory_gb,
            image: format!("{}-{}", self.name, rng.u32(..self.images)),
            image_gb: self.image_gb,
            types: None,
            zone: None,
            single_zone: false,
            spread: false,
            spot: false,
            estimate_s: self.expected_s,
            checkpoint_interval_s: 0.0,
            checkpoint_cost_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        }
    }
}
