//! Writes and lifts the bars of nodes that hang, while this node leads.

use super::{Node, store::USUAL};
use crate::{
    control::{
        exclusions::{Bars, LEASE_LIFE_MS, Step, bar_txn, lift_txn},
        requests::TxnResult,
    },
    protocol::state::{LeaseGranted, Txn},
    state::records::{BARS, LEADER},
};
use async_io::Timer;
use http_types::Method;
use std::{rc::Rc, time::Duration};

const PAUSE: Duration = Duration::from_millis(500);

pub async fn run(node: Rc<Node>) {
    loop {
        Timer::after(PAUSE).await;
        while let Some(term) = node.acting(|l, _| l.loaded().then_some(l.term)).flatten() {
            let now = node.now();
            let step = node.bars.borrow().next(&node.reach.borrow(), now);
            match step {
                Some(step) if node.may_request(2.0) => {
                    if !node.bar_step(term, step).await {
                        break;
                    }
                }
                _ => break,
            }
        }
    }
}

impl Node {
    /// Those of earlier terms.
    pub(super) async fn read_bars(&self, term: u64) -> Result<(), String> {
        let found = self.list(BARS).await?;
        let peer = |key: &str| {
            let name = key.trim_start_matches(BARS);
            self.settings.peers.iter().position(|p| p.name == name)
        };
        let found = found.iter();
        let found = found.filter_map(|i| Some((peer(&i.key)?, i.version)));
        let bars = Bars::new(term, found);
        self.of_term(term, |_, _| self.bars.replace(bars));
        Ok(())
    }

    /// What came of a step of that term.
    fn bars_of<T>(&self, term: u64, f: impl FnOnce(&mut Bars) -> T) -> Option<T> {
        self.bars.borrow_mut().of_term(term).map(f)
    }

    /// Returns whether it was done.
    async fn bar_step(&self, term: u64, step: Step) -> bool {
        let sent = self.now();
        match step {
            Step::Lease(None) => {
                let body = serde_json::json!({ "life_ms": LEASE_LIFE_MS }).to_string();
                let body = Some(body.into_bytes());
                let answer = self.state(Method::Post, "/leases", body, USUAL).await;
                let granted = answer
                    .ok()
                    .filter(|a| a.status == 200)
                    .and_then(|a| serde_json::from_slice::<LeaseGranted>(&a.body).ok());
                if let Some(LeaseGranted { lease }) = &granted {
                    self.bars_of(term, |bars| bars.leased(*lease, sent));
                }
                granted.is_some()
            }
            Step::Lease(Some(lease)) => {
                let path = format!("/leases/{lease}/touch");
                match self.state(Method::Post, &path, None, USUAL).await {
                    Ok(a) if a.status == 200 => {
                        self.bars_of(term, |bars| bars.leased(lease, sent));
                        true
                    }
                    Ok(a) if a.status == 404 => {
                        self.bars_of(term, Bars::lost);
                        true
                    }
                    _ => false,
                }
            }
            Step::Bar { peer, lease } => {
                let name = &self.settings.peers[peer].name;
                let Some(again) = self.bars_of(term, |bars| bars.begun(peer)) else {
                    return false;
                };
                match self.change_bar(bar_txn(term, name, lease)).await {
                    TxnResult::Done(version) => {
                        log::info!("{name} hangs: it may not lead until it answers");
                        self.bars_of(term, |bars| bars.barred(peer, version, again));
                        true
                    }
                    TxnResult::Unknown => false,
                    _ => {
                        self.bars_of(term, |bars| bars.not_barred(peer, again));
                        false
                    }
                }
            }
            Step::Lift { peer, version } => {
                let name = &self.settings.peers[peer].name;
                self.bars_of(term, |bars| bars.lifting(peer));
                match self.change_bar(lift_txn(term, name, version)).await {
                    TxnResult::Done(_) => {}
                    // It is gone, or another than was counted on.
                    TxnResult::Conflict(failed) if !failed.iter().any(|k| k == LEADER) => {}
                    _ => return false,
                }
                log::info!("{name} may lead again");
                self.bars_of(term, |bars| bars.lifted(peer));
                true
            }
            Step::End(lease) => {
                self.bars_of(term, Bars::ending);
                let ended = self.end_lease(lease, USUAL).await;
                if ended {
                    self.bars_of(term, Bars::lost);
                }
                ended
            }
        }
    }

    async fn change_bar(&self, txn: Txn) -> TxnResult {
        let now = self.now();
        self.writes.borrow_mut().force(now, 1.0);
        self.txn(&txn, USUAL).await
    }
}
