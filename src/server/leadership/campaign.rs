//! Campaign of a node that doesn't lead: the node reads the leader's key periodically
//! and tries to become leader when no node holds the key.
//!
//! This module owns the reads of the leader's key, the attempt to write it, and the
//! start of a new term in this process. It is called by the leadership loop of the
//! parent module.
//!
//! Invariants: this node doesn't attempt to become leader while one of its earlier
//! attempts may still succeed, nor without having just checked
//! `Election::may_campaign`.

use super::{
    super::{Node, store::StoreError},
    PROBE_TIMEOUT,
    load_state::load,
};
use crate::{
    control::{
        election::{CAMPAIGN_STEP_TIMEOUT_MS, LEASE_TTL_MS},
        leader::Leader,
        requests::TxnResult,
    },
    protocol::state::{Condition, Item, Txn, Write},
    state::{
        Millis,
        records::{self, LEADER, LeaderRecord},
        request_budget::RequestPriority,
    },
};
use std::{rc::Rc, time::Duration};

/// Time in milliseconds after which an excluded node campaigns again.
const EXCLUDED_PAUSE_MS: Millis = 1_000;
/// Timeout of one request of a campaign.
const STEP_TIMEOUT: Duration = Duration::from_millis(CAMPAIGN_STEP_TIMEOUT_MS);

/// Pause of a node while no node leads, and after an attempt to become leader.
const VACANT_PAUSE: Duration = Duration::from_millis(150);
/// Pause of a standby that the leader counts as such, while another node leads.
const STANDBY_PAUSE: Duration = Duration::from_millis(250);
/// Pause of all other nodes while another node leads.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(500);
/// Minimum pause after a failed read of the leader's key, and the maximum random time
/// that is added to it, in milliseconds.
const READ_FAILED_PAUSE_MS: u64 = 250;
const READ_FAILED_JITTER_MS: u64 = 100;

/// An attempt to become leader, for which the key-value store has granted a lease.
struct Attempt {
    record: LeaderRecord,
    /// Version of the leader's key that the attempt replaces; 0 if there is no such
    /// key.
    replaced_version: u64,
    lease: u64,
    /// When the lease was requested. The time to live of the lease is counted from
    /// then.
    lease_requested: Millis,
}

impl Node {
    /// Runs one step of a node that doesn't lead. Returns the pause before the next
    /// step.
    pub(super) async fn campaign(self: &Rc<Self>) -> Duration {
        let indeterminate_lease = self.election.borrow().indeterminate_lease;
        if let Some(lease) = indeterminate_lease {
            // Once the lease of an indeterminate attempt has ended, that attempt can no
            // longer succeed.
            if self.end_lease(lease, PROBE_TIMEOUT).await {
                self.election.borrow_mut().indeterminate_lease = None;
            }
            return VACANT_PAUSE;
        }
        if let Err(e) = self.read_leader_key().await {
            log::debug!("campaign: failed to read the leader's key: {e}");
            let jitter_ms = fastrand::u64(0..READ_FAILED_JITTER_MS);
            return Duration::from_millis(READ_FAILED_PAUSE_MS + jitter_ms);
        }
        let Some(replaced_version) = self.election.borrow().may_campaign(self.now()) else {
            return self.follower_pause();
        };
        let machine_types_known = !self.machine_types.borrow().is_empty();
        if machine_types_known && !self.leaves_candidacy_to_others().await {
            self.become_leader(replaced_version).await;
        }
        VACANT_PAUSE
    }

    async fn read_leader_key(&self) -> Result<(), StoreError> {
        let now = self.now();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        let item = self.get(LEADER, STEP_TIMEOUT).await?;
        let leader = item.and_then(|item| {
            let record: LeaderRecord = serde_json::from_value(item.value).ok()?;
            Some((record.node, item.version))
        });
        let exists = leader.is_some();
        let changed = leader != self.election.borrow().observed_leader;
        self.election
            .borrow_mut()
            .observe_leader(leader, self.now());
        if exists {
            self.standby.last_record.take();
        }
        if changed {
            self.heartbeats.relays.borrow_mut().clear();
            self.update_budgets();
        }
        Ok(())
    }

    /// Returns the pause of a node that may not campaign. A standby that the leader
    /// counts reads the leader's key more often than other nodes.
    fn follower_pause(&self) -> Duration {
        let is_vacant = self.election.borrow().observed_leader.is_none();
        let is_counted = self
            .standby
            .replica_receiver
            .borrow()
            .is_counted(self.now());
        match (is_vacant, is_counted) {
            (true, _) => VACANT_PAUSE,
            (false, true) => STANDBY_PAUSE,
            (false, false) => FOLLOWER_PAUSE,
        }
    }

    /// Whether this node delays its candidacy, so that nodes in a more favourable
    /// failover position and warm standbys can campaign first.
    async fn leaves_candidacy_to_others(&self) -> bool {
        let now = self.now();
        let unfavourable = self
            .failure_detector
            .borrow()
            .unfavourable_failover_position(now);
        let others_first = unfavourable || self.other_standbys_are_counted().await;
        self.election
            .borrow_mut()
            .delays_candidacy(now, || others_first)
    }

    async fn become_leader(self: &Rc<Self>, replaced_version: u64) {
        let Some(attempt) = self.prepare_attempt(replaced_version).await else {
            return;
        };
        self.election.borrow_mut().indeterminate_lease = Some(attempt.lease);
        let exclusion = records::exclusion_key(&attempt.record.node);
        let txn = attempt.txn(&exclusion);
        match self.run_txn(&txn, STEP_TIMEOUT).await {
            TxnResult::Applied(term) => self.begin_term(term, &attempt),
            TxnResult::Unknown => {
                // Unless the leader's key proves that the attempt succeeded, its
                // outcome stays unknown.
                if let Ok(Some(item)) = self.get(LEADER, STEP_TIMEOUT).await
                    && attempt.wrote(&item)
                {
                    self.begin_term(item.version, &attempt);
                }
            }
            failed => {
                let mut election = self.election.borrow_mut();
                election.indeterminate_lease = None;
                if matches!(&failed, TxnResult::Conflict(keys) if keys.contains(&exclusion)) {
                    log::info!(
                        "campaign: this node is excluded from elections, as it was unresponsive"
                    );
                    election.abstain(self.now() + EXCLUDED_PAUSE_MS);
                }
            }
        }
    }

    /// Requests the lease for an attempt. Returns `None` if no lease was granted or
    /// this node may no longer campaign.
    async fn prepare_attempt(&self, replaced_version: u64) -> Option<Attempt> {
        let lease_requested = self.now();
        self.budgets
            .charge_requests(lease_requested, RequestPriority::Leadership, 2);
        let lease = self.grant_lease(LEASE_TTL_MS, STEP_TIMEOUT).await?;
        let election = self.election.borrow();
        // This node may have granted a promise to a leader in the meantime.
        if election.may_campaign(self.now()) != Some(replaced_version) {
            return None;
        }
        let record = LeaderRecord {
            node: election.node_name.clone(),
            incarnation: election.incarnation,
        };
        Some(Attempt {
            record,
            replaced_version,
            lease,
            lease_requested,
        })
    }

    fn begin_term(self: &Rc<Self>, term: u64, attempt: &Attempt) {
        let lease = attempt.lease;
        self.election
            .borrow_mut()
            .record_election(term, lease, attempt.lease_requested);
        log::info!(
            "elected leader of term {term} under lease {lease}, replacing version {} \
            of the leader's key; the lease was requested {} ms ago",
            attempt.replaced_version,
            self.now() - attempt.lease_requested
        );
        self.update_budgets();
        let mut leader = Leader::new(
            self.settings.clone(),
            self.options.clone(),
            self.machine_types.borrow().clone(),
            term,
            self.now(),
        );
        leader.final_states = self.final_states.take();
        let replica = self
            .standby
            .replica_receiver
            .borrow_mut()
            .take_replica(term);
        leader.set_inherited_replica(attempt.record.incarnation, replica);
        leader.set_leaderless_time(self.election.borrow().leaderless_for(self.now()));
        self.exclusions.take();
        *self.leader.borrow_mut() = Some(leader);
        self.executor.spawn_high(load(self.clone(), term)).detach();
    }
}

impl Attempt {
    /// Returns the transaction that replaces the leader's key unless this node is
    /// excluded from elections.
    fn txn(&self, exclusion_key: &str) -> Txn {
        Txn {
            conditions: vec![
                Condition {
                    key: LEADER.into(),
                    version: self.replaced_version,
                },
                Condition {
                    key: exclusion_key.to_owned(),
                    version: 0,
                },
            ],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: serde_json::to_value(&self.record).unwrap_or_default(),
                lease: Some(self.lease),
            }],
        }
    }

    /// Whether the leader's key has the value that this attempt writes.
    fn wrote(&self, item: &Item) -> bool {
        serde_json::from_value::<LeaderRecord>(item.value.clone())
            .is_ok_and(|record| record == self.record)
    }
}
