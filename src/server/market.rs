//! What a broker of markets asks: only the leader answers.

use super::Node;
use crate::{
    protocol::{
        market::{MAX_OFFLOAD_CANDIDATES, OffloadMark},
        peers::Reply,
    },
    state::offload::OffloadTarget,
};
use async_io::Timer;
use std::time::Duration;

/// For how long a broker's question waits for a write.
const WAIT: u64 = 1_500;
const STEP: Duration = Duration::from_millis(15);

impl Node {
    pub(super) fn lendable(&self, lent: &[(String, u64)]) -> Reply {
        self.acting(|l, _| {
            l.loaded().then(|| Reply::OffloadCandidates {
                jobs: l.lendable(MAX_OFFLOAD_CANDIDATES),
                recall: l.not_needed(lent),
            })
        })
        .flatten()
        .unwrap_or(Reply::NotLeader)
    }

    /// Asks until it is decided. `None`: not the leader.
    async fn decided<T>(&self, ask: impl Fn() -> Option<(T, bool)>) -> Option<T> {
        let began = self.now();
        loop {
            let (answer, decided) = ask()?;
            if decided || self.now() > began + WAIT {
                return Some(answer);
            }
            Timer::after(STEP).await;
        }
    }

    pub(super) async fn lend(&self, id: &str, lent: OffloadTarget, version: u64) -> Reply {
        let ask = || {
            self.acting(|l, _| {
                if !l.loaded() {
                    return None;
                }
                let marked = l.lend(id, lent.clone(), version);
                Some((marked, marked != OffloadMark::NotYet))
            })
            .flatten()
        };
        let marked = self.decided(ask).await;
        marked.map_or(Reply::NotLeader, Reply::OffloadMark)
    }

    pub(super) async fn take_back(&self, id: &str, award: u64, done: &[(u32, u32)]) -> Reply {
        let ask = || {
            self.acting(|l, _| {
                if !l.loaded() {
                    return None;
                }
                let taken = l.take_back(id, award, done);
                Some((taken, taken))
            })
            .flatten()
        };
        let taken = self.decided(ask).await;
        taken.map_or(Reply::NotLeader, Reply::OffloadEnded)
    }
}
