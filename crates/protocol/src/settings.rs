//! The platform's JSON settings file, read once at the start and checked.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::Path};

/// What a value must be allowed to hold: a job's marks and 1 KiB of bits.
pub const LEAST_VALUE_KB: f64 = 2.0;
/// A job's end is two changes, and an acceptance with its notice.
pub const LEAST_TXN_OPS: usize = 2;

/// The whole file.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone in which it runs.
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
    /// Where the outside services are.
    #[serde(rename = "outside")]
    pub services: Services,
    /// What is the same for all controllers.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Where it stands, if that is told.
    #[serde(rename = "area", default)]
    pub zone: String,
    /// Its address for controllers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Services {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What is the same for all controllers.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Cluster {
    /// Names of all zones.
    pub zones: Vec<String>,
    /// All teams, with quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times that workers keep.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub quota: Quota,
}

/// A team, with its guarantee and limit.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Team {
    /// Its name in jobs.
    pub name: String,
    /// Guaranteed amounts; 0 is no guarantee.
    #[serde(default)]
    pub cpus: f64,
    /// Guaranteed GPUs; 0 is no guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// Limits; 0 is no limit for that resource.
    #[serde(default)]
    pub cpus_max: f64,
    /// Limit in GPUs; 0 is no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim as the operators state it. Only `kind`, the class and the times
/// matter to scheduling.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Objective {
    /// What is aimed at: `wait`, `guarantee`, `deadline` and others.
    pub kind: String,
    /// The class of jobs that it is for.
    #[serde(default)]
    pub class: Option<String>,
    /// Within how many seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: by how many times the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times that workers keep, in seconds.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Workers {
    /// Between two heartbeats.
    pub report_s: f64,
    /// A worker without an answer for so long ends its tasks.
    pub lease_s: f64,
    /// So long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// Within this time a gang notices that a task of it is lost.
    pub gang_peer_s: f64,
    /// Within this time all tasks of a cancelled job must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service, for all controllers together.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Puts and deletes of a transaction.
    pub txn_ops: usize,
    /// What some of them will be from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits to come; one that is absent stays.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize, Serialize)]
pub struct NextLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// KiB of a value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The lesser of each limit and what it will be: what keeps to these fits
    /// before and after, so that nobody need know the moment.
    pub fn always(&self) -> StateLimits {
        let next = self.next.unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        StateLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_kb: least(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CloudLimits {
    /// Requests a second, for all controllers together.
    pub rps: f64,
    /// Usual age of the machine list, in seconds; it may be twice that.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Quota {
    /// Open sockets.
    #[serde(rename = "max_sockets")]
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings file {}", path.display()))
    }

    /// Reads and checks the text of a file. Errors name the field.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        ensure!(!self.name.is_empty(), "host_name: must not be empty");
        let c = &self.cluster;
        ensure!(
            !c.zones.is_empty() && c.zones.len() < 1000,
            "cluster.zones: must name 1 to 999 zones"
        );
        ensure!(c.teams.len() < 10_000, "cluster.teams: too many teams");
        for team in &c.teams {
            for (field, v) in [
                ("cpus", team.cpus),
                ("gpus", team.gpus),
                ("cpus_max", team.cpus_max),
                ("gpus_max", team.gpus_max),
            ] {
                ensure!(
                    v.is_finite() && v >= 0.0,
                    "cluster.teams: {}.{field}: must not be negative",
                    team.name
                );
            }
        }
        for (field, v) in [
            ("workers.report_s", c.workers.report_s),
            ("workers.lease_s", c.workers.lease_s),
            ("workers.gang_wait_s", c.workers.gang_wait_s),
            ("workers.gang_peer_s", c.workers.gang_peer_s),
            ("workers.cancel_s", c.workers.cancel_s),
            ("state.rps", c.state.rps),
            ("state.write_rps", c.state.write_rps),
            ("state.value_kb", c.state.value_kb),
            ("cloud.rps", c.cloud.rps),
        ] {
            ensure!(
                v.is_finite() && v > 0.0 && v < 1e9,
                "cluster.{field}: must be a positive number"
            );
        }
        ensure!(
            c.cloud.list_lag_s.is_finite() && c.cloud.list_lag_s >= 0.0,
            "cluster.cloud.list_lag_s: must not be negative"
        );
        ensure!(
            c.state.txn_ops >= 4,
            "cluster.state.txn_ops: must be at least 4"
        );
        let next = c.state.next.unwrap_or_default();
        for (field, v, least) in [
            ("rps", next.rps, 1.0),
            ("write_rps", next.write_rps, 1.0),
            ("value_kb", next.value_kb, LEAST_VALUE_KB),
            (
                "txn_ops",
                next.txn_ops.map(|n| n as f64),
                LEAST_TXN_OPS as f64,
            ),
        ] {
            ensure!(
                v.is_none_or(|v| v.is_finite() && v >= least),
                "cluster.state.next.{field}: must be at least {least}"
            );
        }
        ensure!(
            c.quota.max_connections >= 32,
            "cluster.quota.max_sockets: must be at least 32"
        );
        Ok(())
    }
}
