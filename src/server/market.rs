//! Requests of the broker of a market, through which jobs are offloaded to other
//! clusters. Only the leader answers them.
//!
//! This module owns the time for which such a request waits until the leader's decision
//! is recorded. It is called by `server::peers`.
//!
//! Invariant: a decision is reported as made only after it was recorded. A request that
//! waits longer than [`MAX_WAIT_MS`] is told that the decision is not recorded yet.

use super::Node;
use crate::{
    protocol::{
        market::{MAX_OFFLOAD_CANDIDATES, OffloadMark},
        peers::Reply,
    },
    state::{Millis, offload::OffloadTarget},
};
use async_io::Timer;
use std::time::Duration;

/// Maximum time in milliseconds for which a broker's request waits for a write.
const MAX_WAIT_MS: Millis = 1_500;
/// Interval between two checks whether the write was applied.
const CHECK_INTERVAL: Duration = Duration::from_millis(15);

impl Node {
    /// Returns the jobs that may be offloaded, and those of the offloaded jobs that are
    /// to be recalled.
    pub(super) fn offload_candidates(&self, offloaded: &[(String, u64)]) -> Reply {
        self.with_authority(|leader, _| {
            leader.loaded().then(|| Reply::OffloadCandidates {
                jobs: leader.offload_candidates(MAX_OFFLOAD_CANDIDATES),
                recall: leader.jobs_to_call_back(offloaded),
            })
        })
        .flatten()
        .unwrap_or(Reply::NotLeader)
    }

    /// Repeats `query` until its result is final or [`MAX_WAIT_MS`] have passed, and
    /// returns the last result. Returns `None` if this node doesn't lead.
    async fn wait_until_decided<T>(&self, query: impl Fn() -> Option<(T, bool)>) -> Option<T> {
        let began = self.now();
        loop {
            let (answer, decided) = query()?;
            if decided || self.now() > began + MAX_WAIT_MS {
                return Some(answer);
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Marks a job as offloaded to another cluster.
    pub(super) async fn offload(&self, id: &str, target: OffloadTarget, version: u64) -> Reply {
        let query = || {
            self.with_authority(|leader, _| {
                if !leader.loaded() {
                    return None;
                }
                let mark = leader.request_offload(id, target.clone(), version);
                Some((mark, mark != OffloadMark::NotYet))
            })
            .flatten()
        };
        let mark = self.wait_until_decided(query).await;
        mark.map_or(Reply::NotLeader, Reply::OffloadMark)
    }

    /// Ends the offload of a job, with the tasks that are done.
    pub(super) async fn end_offload(&self, id: &str, award: u64, done: &[(u32, u32)]) -> Reply {
        let query = || {
            self.with_authority(|leader, _| {
                if !leader.loaded() {
                    return None;
                }
                let ended = leader.return_offloaded_job(id, award, done);
                Some((ended, ended))
            })
            .flatten()
        };
        let ended = self.wait_until_decided(query).await;
        ended.map_or(Reply::NotLeader, Reply::OffloadEnded)
    }
}
