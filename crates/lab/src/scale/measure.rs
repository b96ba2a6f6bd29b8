//! Measurements of a scale run: resource usage of its processes, read from `/proc`, and
//! metrics and status of the controllers.

use crate::installation::{Controller, Testbed};
use anyhow::{Context, Result};
use http_types::Method;
use pathwinch_protocol::{
    peers::{Reply, Request},
    status::Status,
};
use pathwinch_transport::frames::PeerClient;
use procfs::process::{FDTarget, Process};
use std::time::Duration;

/// Time limit of a request to a controller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Resource usage of a process at one time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Number of open sockets.
    pub sockets: usize,
}

/// Reads the resource usage of a process.
pub fn usage(process_id: u32) -> Result<Usage> {
    let process = Process::new(process_id as i32)
        .with_context(|| format!("cannot read /proc of process {process_id}"))?;
    let stat = process.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    let sockets = process.fd()?.flatten();
    let is_socket = |fd: &procfs::process::FDInfo| matches!(fd.target, FDTarget::Socket(_));
    Ok(Usage {
        cpu_s: ticks / procfs::ticks_per_second() as f64,
        memory_bytes: stat.rss * procfs::page_size(),
        sockets: sockets.filter(is_socket).count(),
    })
}

/// Values of counters in the metrics of a controller.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counters {
    pub state_requests: f64,
    pub state_changes: f64,
    pub peer_requests: f64,
    pub peer_bytes: f64,
    /// Number of rounds of the leader's loop.
    pub rounds: f64,
    /// Total time of the rounds in seconds.
    pub round_seconds: f64,
    /// Number of rounds that took at most 50 ms.
    pub rounds_within_50_ms: f64,
}

impl Counters {
    /// Parses metrics in the Prometheus text format; a missing counter is 0.
    fn parse(text: &str) -> Self {
        let value = |name: &str| {
            let line = text.lines().find(|l| {
                l.strip_prefix(name)
                    .is_some_and(|rest| rest.starts_with(' '))
            });
            line.and_then(|l| l.rsplit_once(' ')?.1.parse().ok())
                .unwrap_or(0.0)
        };
        Counters {
            state_requests: value("pathwinch_state_requests_total"),
            state_changes: value("pathwinch_state_changes_total"),
            peer_requests: value("pathwinch_peer_requests_total"),
            peer_bytes: value("pathwinch_peer_bytes_total"),
            rounds: value("pathwinch_round_seconds_count"),
            round_seconds: value("pathwinch_round_seconds_sum"),
            rounds_within_50_ms: value("pathwinch_round_seconds_bucket{le=\"0.05\"}"),
        }
    }

    /// Returns the increase since `before`. A counter that is lower than before was reset
    /// by a restart of the process, so its whole value counts.
    pub fn since(&self, before: &Counters) -> Counters {
        let increase = |now: f64, then: f64| if now >= then { now - then } else { now };
        Counters {
            state_requests: increase(self.state_requests, before.state_requests),
            state_changes: increase(self.state_changes, before.state_changes),
            peer_requests: increase(self.peer_requests, before.peer_requests),
            peer_bytes: increase(self.peer_bytes, before.peer_bytes),
            rounds: increase(self.rounds, before.rounds),
            round_seconds: increase(self.round_seconds, before.round_seconds),
            rounds_within_50_ms: increase(self.rounds_within_50_ms, before.rounds_within_50_ms),
        }
    }
}

/// Reads the counters of a controller; `None` if it does not answer.
pub async fn counters(testbed: &Testbed, controller: &Controller) -> Option<Counters> {
    let call = testbed.http.call(
        controller.listen,
        Method::Get,
        "/metrics",
        None,
        REQUEST_TIMEOUT,
    );
    let answer = call.await.ok().filter(|a| a.status == 200)?;
    Some(Counters::parse(&String::from_utf8_lossy(&answer.body)))
}

/// Asks the controllers one after the other for their status, and returns the first one
/// that names a leader.
pub async fn status(testbed: &Testbed) -> Option<Status> {
    let peers = PeerClient::default();
    for controller in &testbed.controllers {
        let answer = peers
            .call(controller.peer_listen, &Request::Status, REQUEST_TIMEOUT)
            .await;
        if let Ok(Reply::Status(status)) = answer
            && status.leader.is_some()
        {
            return Some(*status);
        }
    }
    None
}
