//! The platform's JSON settings file, read and checked once at startup.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::Path};

/// Minimum value size limit, in KiB, that `state.next` may announce: a value must hold
/// a job's flags and 1 KiB of its completion bitmap.
pub const MIN_VALUE_KB: f64 = 2.0;
/// Minimum number of changes per transaction that `state.next` may announce: ending a
/// job takes two changes, and so does an acceptance with its feed entry.
pub const MIN_TXN_OPS: usize = 2;

/// The contents of the settings file.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone in which this controller runs.
    #[serde(rename = "area")]
    pub zone: String,
    /// Address for users and workers.
    pub listen: SocketAddr,
    /// Address for controllers, brokers and operators.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the external services.
    #[serde(rename = "outside")]
    pub services: Services,
    /// Settings that are the same for all controllers.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Peer {
    /// Name of the controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone of the controller, empty if not given.
    #[serde(rename = "area", default)]
    pub zone: String,
    /// Address on which the controller accepts requests from other controllers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Services {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// Settings that are the same for all controllers.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Cluster {
    /// Names of all zones.
    pub zones: Vec<String>,
    /// All teams, with their quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing parameters of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Resource limits of this process.
    pub quota: Quota,
}

/// A team with its guarantee and its limit.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Team {
    /// Name of the team in job specs.
    pub name: String,
    /// Guaranteed CPUs; 0 means no guarantee.
    #[serde(default)]
    pub cpus: f64,
    /// Guaranteed GPUs; 0 means no guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// Limit in CPUs; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Limit in GPUs; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective, as stated by the operators. Only the kind, the class and
/// the times affect scheduling.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Objective {
    /// Kind of the objective: `wait`, `guarantee`, `deadline` and others.
    pub kind: String,
    /// Class of jobs to which the objective applies.
    #[serde(default)]
    pub class: Option<String>,
    /// Time in seconds within which the objective has to be met.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: factor by which the deadline is multiplied.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Timing parameters of the workers, in seconds.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Workers {
    /// Interval between two heartbeats.
    pub report_s: f64,
    /// Lease duration: a worker that gets no response for this long stops its tasks.
    pub lease_s: f64,
    /// Time for which a task of a gang waits for the other tasks.
    pub gang_wait_s: f64,
    /// Time within which a gang detects that one of its tasks is lost.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service, shared by all controllers.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// New values of some limits, which will take effect at some moment without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the state service; an absent limit stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize, Serialize)]
pub struct NextLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the lower of each limit and its future value. Requests within these
    /// limits are allowed before and after the change, so that the moment of the change
    /// need not be known.
    pub fn strictest(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        let lower = |current: f64, next: Option<f64>| next.map_or(current, |n| n.min(current));
        StateLimits {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            value_kb: lower(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second, shared by all controllers.
    pub rps: f64,
    /// Usual age of the machine list, in seconds; the actual age may be twice that.
    pub list_lag_s: f64,
}

/// Resource limits of this process.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Quota {
    /// Maximum number of open sockets.
    #[serde(rename = "max_sockets")]
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks the settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings file {}", path.display()))
    }

    /// Parses and checks the text of a settings file. Errors name the field.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        ensure!(!self.name.is_empty(), "host_name: must not be empty");
        let cluster = &self.cluster;
        ensure!(
            !cluster.zones.is_empty() && cluster.zones.len() < 1000,
            "cluster.zones: must name 1 to 999 zones"
        );
        ensure!(
            cluster.teams.len() < 10_000,
            "cluster.teams: too many teams"
        );
        for team in &cluster.teams {
            for (field, value) in [
                ("cpus", team.cpus),
                ("gpus", team.gpus),
                ("cpus_max", team.cpus_max),
                ("gpus_max", team.gpus_max),
            ] {
                ensure!(
                    value.is_finite() && value >= 0.0,
                    "cluster.teams: {}.{field}: must not be negative",
                    team.name
                );
            }
        }
        for (field, value) in [
            ("workers.report_s", cluster.workers.report_s),
            ("workers.lease_s", cluster.workers.lease_s),
            ("workers.gang_wait_s", cluster.workers.gang_wait_s),
            ("workers.gang_peer_s", cluster.workers.gang_peer_s),
            ("workers.cancel_s", cluster.workers.cancel_s),
            ("state.rps", cluster.state.rps),
            ("state.write_rps", cluster.state.write_rps),
            ("state.value_kb", cluster.state.value_kb),
            ("cloud.rps", cluster.cloud.rps),
        ] {
            ensure!(
                value.is_finite() && value > 0.0 && value < 1e9,
                "cluster.{field}: must be a positive number"
            );
        }
        ensure!(
            cluster.cloud.list_lag_s.is_finite() && cluster.cloud.list_lag_s >= 0.0,
            "cluster.cloud.list_lag_s: must not be negative"
        );
        ensure!(
            cluster.state.txn_ops >= 4,
            "cluster.state.txn_ops: must be at least 4"
        );
        let next = cluster.state.next.unwrap_or_default();
        for (field, value, minimum) in [
            ("rps", next.rps, 1.0),
            ("write_rps", next.write_rps, 1.0),
            ("value_kb", next.value_kb, MIN_VALUE_KB),
            (
                "txn_ops",
                next.txn_ops.map(|n| n as f64),
                MIN_TXN_OPS as f64,
            ),
        ] {
            ensure!(
                value.is_none_or(|value| value.is_finite() && value >= minimum),
                "cluster.state.next.{field}: must be at least {minimum}"
            );
        }
        ensure!(
            cluster.quota.max_connections >= 32,
            "cluster.quota.max_sockets: must be at least 32"
        );
        Ok(())
    }
}
