//! Carries out the steps of `control::exclusions` while this node leads.
//!
//! This module owns the loop that excludes unresponsive peers from elections and
//! readmits peers that respond again. The loop is started once by the process; the
//! leadership loop reads the resulting exclusions.
//!
//! Invariants: one step is carried out at a time. The result of a step is never
//! reported to the exclusions of a later term.

use super::{
    Node,
    leases::LeaseRenewal,
    store::{STATE_TIMEOUT, StoreError},
};
use crate::{
    control::{
        exclusions::{Exclusions, LEASE_TTL_MS, Step, exclusion_txn, readmission_txn},
        requests::TxnResult,
    },
    protocol::state::Txn,
    state::{
        records::{EXCLUSIONS, LEADER},
        request_budget::RequestPriority,
    },
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// Interval between two checks for a step that is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether a step was carried out. Only after `Done` the next step follows without a
/// pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepResult {
    Done,
    Failed,
}

/// Carries out due steps while this node leads, for as long as the process runs.
pub async fn run(node: Rc<Node>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        while let Some(term) = node
            .with_authority(|leader, _| leader.loaded().then_some(leader.term))
            .flatten()
        {
            let Some(step) = node.next_exclusion_step() else {
                break;
            };
            if !node.may_request(RequestPriority::Acceptance)
                || node.exclusion_step(term, step).await == StepResult::Failed
            {
                break;
            }
        }
    }
}

impl Node {
    fn next_exclusion_step(&self) -> Option<Step> {
        let now = self.now();
        self.exclusions
            .borrow()
            .next_step(&self.failure_detector.borrow(), now)
    }

    /// Reads the exclusions that earlier leaders wrote, at the start of `term`.
    pub(super) async fn read_exclusions(&self, term: u64) -> Result<(), StoreError> {
        let items = self.list(EXCLUSIONS, RequestPriority::Acceptance).await?;
        let peer_of = |key: &str| {
            let name = key.trim_start_matches(EXCLUSIONS);
            self.settings.peers.iter().position(|p| p.name == name)
        };
        let recorded = items
            .iter()
            .filter_map(|item| Some((peer_of(&item.key)?, item.version)));
        let exclusions = Exclusions::new(term, recorded);
        self.in_term(term, |_, _| self.exclusions.replace(exclusions));
        Ok(())
    }

    /// Runs `report` on the exclusions of `term`; returns `None` if that term is over.
    fn exclusions_of<T>(&self, term: u64, report: impl FnOnce(&mut Exclusions) -> T) -> Option<T> {
        self.exclusions.borrow_mut().of_term(term).map(report)
    }

    async fn exclusion_step(&self, term: u64, step: Step) -> StepResult {
        match step {
            Step::RenewLease(None) => self.request_exclusion_lease(term).await,
            Step::RenewLease(Some(lease)) => self.renew_exclusion_lease(term, lease).await,
            Step::Exclude { peer, lease } => self.exclude(term, peer, lease).await,
            Step::Readmit { peer, version } => self.readmit(term, peer, version).await,
            Step::EndLease(lease) => self.end_exclusion_lease(term, lease).await,
        }
    }

    async fn request_exclusion_lease(&self, term: u64) -> StepResult {
        let sent = self.now();
        let Some(lease) = self.grant_lease(LEASE_TTL_MS, STATE_TIMEOUT).await else {
            return StepResult::Failed;
        };
        self.exclusions_of(term, |exclusions| exclusions.lease_granted(lease, sent));
        StepResult::Done
    }

    async fn renew_exclusion_lease(&self, term: u64, lease: u64) -> StepResult {
        let sent = self.now();
        match self.renew_lease(lease, STATE_TIMEOUT).await {
            LeaseRenewal::Renewed => {
                self.exclusions_of(term, |exclusions| exclusions.lease_granted(lease, sent));
                StepResult::Done
            }
            LeaseRenewal::Expired => {
                self.exclusions_of(term, Exclusions::lease_lost);
                StepResult::Done
            }
            LeaseRenewal::Throttled | LeaseRenewal::Failed(_) => StepResult::Failed,
        }
    }

    async fn exclude(&self, term: u64, peer: usize, lease: u64) -> StepResult {
        let name = &self.settings.peers[peer].name;
        let Some(repeated) =
            self.exclusions_of(term, |exclusions| exclusions.begin_exclusion(peer))
        else {
            return StepResult::Failed;
        };
        match self
            .change_exclusion(exclusion_txn(term, name, lease))
            .await
        {
            TxnResult::Applied(version) => {
                log::info!(
                    "excluded unresponsive controller {name} from elections until it responds"
                );
                self.exclusions_of(term, |exclusions| {
                    exclusions.excluded(peer, version, repeated)
                });
                StepResult::Done
            }
            TxnResult::Unknown => StepResult::Failed,
            TxnResult::Conflict(_) | TxnResult::Refused | TxnResult::Rejected => {
                self.exclusions_of(term, |exclusions| {
                    exclusions.exclusion_failed(peer, repeated)
                });
                StepResult::Failed
            }
        }
    }

    async fn readmit(&self, term: u64, peer: usize, version: u64) -> StepResult {
        let name = &self.settings.peers[peer].name;
        self.exclusions_of(term, |exclusions| exclusions.begin_readmission(peer));
        match self
            .change_exclusion(readmission_txn(term, name, version))
            .await
        {
            TxnResult::Applied(_) => {}
            // The exclusion no longer exists, or its version differs from the one that
            // this leader counted.
            TxnResult::Conflict(failed) if !failed.iter().any(|key| key == LEADER) => {}
            _ => return StepResult::Failed,
        }
        log::info!("readmitted controller {name} to elections");
        self.exclusions_of(term, |exclusions| exclusions.readmitted(peer));
        StepResult::Done
    }

    async fn end_exclusion_lease(&self, term: u64, lease: u64) -> StepResult {
        self.exclusions_of(term, Exclusions::begin_lease_end);
        if !self.end_lease(lease, STATE_TIMEOUT).await {
            return StepResult::Failed;
        }
        self.exclusions_of(term, Exclusions::lease_lost);
        StepResult::Done
    }

    async fn change_exclusion(&self, txn: Txn) -> TxnResult {
        let now = self.now();
        self.budgets.charge_changes(now, 1.0);
        self.run_txn(&txn, STATE_TIMEOUT).await
    }
}
