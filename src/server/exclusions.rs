//! Writes and lifts the exclusions of nodes that hang, while this node leads.

use super::{Node, store::STATE_TIMEOUT};
use crate::{
    control::{
        exclusions::{Exclusions, LEASE_TTL_MS, Step, exclusion_txn, readmission_txn},
        requests::TxnResult,
    },
    protocol::state::{LeaseGranted, Txn},
    state::records::{EXCLUSIONS, LEADER},
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
            let step = node
                .exclusions
                .borrow()
                .next_step(&node.failure_detector.borrow(), now);
            match step {
                Some(step) if node.may_request(2.0) => {
                    if !node.exclusion_step(term, step).await {
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
    pub(super) async fn read_exclusions(&self, term: u64) -> Result<(), String> {
        let found = self.list(EXCLUSIONS).await?;
        let peer = |key: &str| {
            let name = key.trim_start_matches(EXCLUSIONS);
            self.settings.peers.iter().position(|p| p.name == name)
        };
        let found = found.iter();
        let found = found.filter_map(|i| Some((peer(&i.key)?, i.version)));
        let exclusions = Exclusions::new(term, found);
        self.of_term(term, |_, _| self.exclusions.replace(exclusions));
        Ok(())
    }

    /// What came of a step of that term.
    fn exclusions_of<T>(&self, term: u64, f: impl FnOnce(&mut Exclusions) -> T) -> Option<T> {
        self.exclusions.borrow_mut().of_term(term).map(f)
    }

    /// Returns whether it was done.
    async fn exclusion_step(&self, term: u64, step: Step) -> bool {
        let sent = self.now();
        match step {
            Step::RenewLease(None) => {
                let body = serde_json::json!({ "life_ms": LEASE_TTL_MS }).to_string();
                let body = Some(body.into_bytes());
                let answer = self
                    .state(Method::Post, "/leases", body, STATE_TIMEOUT)
                    .await;
                let granted = answer
                    .ok()
                    .filter(|a| a.status == 200)
                    .and_then(|a| serde_json::from_slice::<LeaseGranted>(&a.body).ok());
                if let Some(LeaseGranted { lease }) = &granted {
                    self.exclusions_of(term, |exclusions| exclusions.lease_granted(*lease, sent));
                }
                granted.is_some()
            }
            Step::RenewLease(Some(lease)) => {
                let path = format!("/leases/{lease}/touch");
                match self.state(Method::Post, &path, None, STATE_TIMEOUT).await {
                    Ok(a) if a.status == 200 => {
                        self.exclusions_of(term, |exclusions| {
                            exclusions.lease_granted(lease, sent)
                        });
                        true
                    }
                    Ok(a) if a.status == 404 => {
                        self.exclusions_of(term, Exclusions::lease_lost);
                        true
                    }
                    _ => false,
                }
            }
            Step::Exclude { peer, lease } => {
                let name = &self.settings.peers[peer].name;
                let Some(again) =
                    self.exclusions_of(term, |exclusions| exclusions.begin_exclusion(peer))
                else {
                    return false;
                };
                match self
                    .change_exclusion(exclusion_txn(term, name, lease))
                    .await
                {
                    TxnResult::Done(version) => {
                        log::info!("{name} hangs: excluded from elections until it answers");
                        self.exclusions_of(term, |exclusions| {
                            exclusions.excluded(peer, version, again)
                        });
                        true
                    }
                    TxnResult::Unknown => false,
                    _ => {
                        self.exclusions_of(term, |exclusions| {
                            exclusions.exclusion_failed(peer, again)
                        });
                        false
                    }
                }
            }
            Step::Readmit { peer, version } => {
                let name = &self.settings.peers[peer].name;
                self.exclusions_of(term, |exclusions| exclusions.begin_readmission(peer));
                match self
                    .change_exclusion(readmission_txn(term, name, version))
                    .await
                {
                    TxnResult::Done(_) => {}
                    // It is gone, or another than was counted on.
                    TxnResult::Conflict(failed) if !failed.iter().any(|k| k == LEADER) => {}
                    _ => return false,
                }
                log::info!("{name} is readmitted to elections");
                self.exclusions_of(term, |exclusions| exclusions.readmitted(peer));
                true
            }
            Step::EndLease(lease) => {
                self.exclusions_of(term, Exclusions::begin_lease_end);
                let ended = self.end_lease(lease, STATE_TIMEOUT).await;
                if ended {
                    self.exclusions_of(term, Exclusions::lease_lost);
                }
                ended
            }
        }
    }

    async fn change_exclusion(&self, txn: Txn) -> TxnResult {
        let now = self.now();
        self.state_writes.borrow_mut().force(now, 1.0);
        self.txn(&txn, STATE_TIMEOUT).await
    }
}
