//! Requests of a market's broker, which only the leader answers.
//!
//! Owns: how long such a request waits until the leader's decision is recorded.
//! Called by `server::peers`.
//!
//! Must never: answer before the decision is recorded, except that it is not yet.

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

/// How long a broker's request waits for a write.
const MAX_WAIT_MS: Millis = 1_500;
/// Time between two checks whether the write was applied.
const CHECK_INTERVAL: Duration = Duration::from_millis(15);

impl Node {
    /// The jobs that may be offloaded, and those offloaded ones to be recalled.
    pub(super) fn offload_candidates(&self, lent: &[(String, u64)]) -> Reply {
        self.with_authority(|leader, _| {
            leader.loaded().then(|| Reply::OffloadCandidates {
                jobs: leader.lendable(MAX_OFFLOAD_CANDIDATES),
                recall: leader.not_needed(lent),
            })
        })
        .flatten()
        .unwrap_or(Reply::NotLeader)
    }

    /// Repeats `ask` until its answer is decided. `None`: this node doesn't lead.
    async fn decided<T>(&self, ask: impl Fn() -> Option<(T, bool)>) -> Option<T> {
        let began = self.now();
        loop {
            let (answer, decided) = ask()?;
            if decided || self.now() > began + MAX_WAIT_MS {
                return Some(answer);
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Offloads a job to another cluster.
    pub(super) async fn offload(&self, id: &str, lent: OffloadTarget, version: u64) -> Reply {
        let ask = || {
            self.with_authority(|leader, _| {
                if !leader.loaded() {
                    return None;
                }
                let marked = leader.lend(id, lent.clone(), version);
                Some((marked, marked != OffloadMark::NotYet))
            })
            .flatten()
        };
        let marked = self.decided(ask).await;
        marked.map_or(Reply::NotLeader, Reply::OffloadMark)
    }

    /// Takes an offloaded job back, with the tasks that are done.
    pub(super) async fn end_offload(&self, id: &str, award: u64, done: &[(u32, u32)]) -> Reply {
        let ask = || {
            self.with_authority(|leader, _| {
                if !leader.loaded() {
                    return None;
                }
                let taken = leader.take_back(id, award, done);
                Some((taken, taken))
            })
            .flatten()
        };
        let taken = self.decided(ask).await;
        taken.map_or(Reply::NotLeader, Reply::OffloadEnded)
    }
}
