//! What the processes of a scale run spend, read from the system, and what the
//! controllers say of themselves.

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

const TIMEOUT: Duration = Duration::from_secs(3);

/// One look at a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    pub memory_bytes: u64,
    pub sockets: usize,
}

/// Reads what a process has spent and holds.
pub fn usage(process_id: u32) -> Result<Usage> {
    let process = Process::new(process_id as i32)
        .with_context(|| format!("process {process_id} can't be read"))?;
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

/// Counters that a controller publishes, as they stand.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counters {
    pub state_requests: f64,
    pub state_changes: f64,
    pub peer_requests: f64,
    pub peer_bytes: f64,
    /// Rounds of the leader's loop, their time in seconds, and how many took
    /// no more than 50 ms.
    pub rounds: f64,
    pub round_seconds: f64,
    pub rounds_within_50_ms: f64,
}

impl Counters {
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

    /// What was counted since `before`; all of it if the process began anew.
    pub fn since(&self, before: &Counters) -> Counters {
        let less = |now: f64, then: f64| if now >= then { now - then } else { now };
        Counters {
            state_requests: less(self.state_requests, before.state_requests),
            state_changes: less(self.state_changes, before.state_changes),
            peer_requests: less(self.peer_requests, before.peer_requests),
            peer_bytes: less(self.peer_bytes, before.peer_bytes),
            rounds: less(self.rounds, before.rounds),
            round_seconds: less(self.round_seconds, before.round_seconds),
            rounds_within_50_ms: less(self.rounds_within_50_ms, before.rounds_within_50_ms),
        }
    }
}

/// Asks a controller for its counters.
pub async fn counters(testbed: &Testbed, controller: &Controller) -> Option<Counters> {
    let call = testbed
        .http
        .call(controller.listen, Method::Get, "/metrics", None, TIMEOUT);
    let answer = call.await.ok().filter(|a| a.status == 200)?;
    Some(Counters::parse(&String::from_utf8_lossy(&answer.body)))
}

/// Asks the controllers, one after the other, how things stand.
pub async fn status(testbed: &Testbed) -> Option<Status> {
    let peers = PeerClient::default();
    for controller in &testbed.controllers {
        let answer = peers
            .call(controller.peer_listen, &Request::Status, TIMEOUT)
            .await;
        if let Ok(Reply::Status(status)) = answer
            && status.leader.is_some()
        {
            return Some(*status);
        }
    }
    None
}
