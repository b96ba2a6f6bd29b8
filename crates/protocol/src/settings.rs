//! The platform's JSON settings file, read once at the start and checked.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::Path};

/// What a value must be allowed to hold: a job's marks and 1 KiB of bits.
pub const LEAST_VALUE_KB: f64 = 2.0;
/// A job's end is two changes, and an acceptance with its notice.
pub const LEAST_TXN_OPS: usize = 2;

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Settings {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "area")]
    pub zone: String,
    pub listen: SocketAddr,
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    #[serde(rename = "outside")]
    pub services: Services,
    pub cluster: Cluster,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub name: String,
    /// Where it stands, if that is told.
    #[serde(rename = "area", default)]
    pub zone: String,
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Cluster {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub quota: Quota,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Team {
    pub name: String,
    /// Guaranteed amounts; 0 is no guarantee.
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    /// Limits; 0 is no limit for that resource.
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim as the operators state it. Only `kind`, the class and the times
/// matter to scheduling.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: by how many times the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What some of them will be from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits to come; one that is absent stays.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize, Serialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
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

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Quota {
    #[serde(rename = "max_sockets")]
    pub max_connections: usize,
}

impl Settings {
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings file {}", path.display()))
    }

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
