//! Campaign of a node that doesn't lead: it watches the leader's key and tries to
//! become leader when nobody holds it.
//!
//! Owns: the reads of the leader's key, the attempt to write it, and the start of
//! a new term in this process. Called by the leadership loop of the parent module.
//!
//! Must never: attempt to become leader while an earlier attempt may still
//! succeed, or without a fresh check of `Election::may_campaign`.

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

/// How long an excluded node waits before it campaigns again.
const EXCLUDED_PAUSE_MS: Millis = 1_000;
/// How long one request of a campaign may take.
const STEP_TIMEOUT: Duration = Duration::from_millis(CAMPAIGN_STEP_TIMEOUT_MS);

/// Pause of a node that waits for a vacancy it could fill, or has just tried.
const VACANT_PAUSE: Duration = Duration::from_millis(150);
/// Pause of a counted standby while another node leads.
const STANDBY_PAUSE: Duration = Duration::from_millis(250);
/// Pause of any other node while another node leads.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed read of the leader's key, and the random part of it.
const READ_FAILED_PAUSE_MS: u64 = 250;
const READ_FAILED_JITTER_MS: u64 = 100;

/// An attempt to become leader whose lease was granted.
struct Attempt {
    record: LeaderRecord,
    /// Version of the leader's key that is replaced.
    replaced_version: u64,
    lease: u64,
    /// When the lease was requested, from which it counts.
    lease_requested: Millis,
}

impl Node {
    /// One step of a node that doesn't lead; returns when to do the next.
    pub(super) async fn campaign(self: &Rc<Self>) -> Duration {
        let indeterminate_lease = self.election.borrow().indeterminate_lease;
        if let Some(lease) = indeterminate_lease {
            // Once the attempt's lease has ended, it can't succeed late.
            if self.end_lease(lease, PROBE_TIMEOUT).await {
                self.election.borrow_mut().indeterminate_lease = None;
            }
            return VACANT_PAUSE;
        }
        if let Err(e) = self.read_leader_key().await {
            log::debug!("reading the leader's key: {e}");
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

    /// How long a node that may not campaign waits. A standby that is counted
    /// reads the leader's key more often.
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

    /// Nodes in a favourable failover position go first, and warm standbys.
    async fn leaves_candidacy_to_others(&self) -> bool {
        let now = self.now();
        let unfavourable = self
            .failure_detector
            .borrow()
            .unfavourable_failover_position(now);
        let defers = unfavourable || self.other_standbys_are_counted().await;
        self.election.borrow_mut().delays_candidacy(now, || defers)
    }

    async fn become_leader(self: &Rc<Self>, replaced_version: u64) {
        let Some(attempt) = self.prepare_attempt(replaced_version).await else {
            return;
        };
        self.election.borrow_mut().indeterminate_lease = Some(attempt.lease);
        let exclusion = records::exclusion_key(&attempt.record.node);
        let txn = attempt.txn(&exclusion);
        match self.run_txn(&txn, STEP_TIMEOUT).await {
            TxnResult::Done(term) => self.begin_term(term, &attempt),
            TxnResult::Unknown => {
                // Without proof that it succeeded, the outcome stays unknown.
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
                    log::info!("excluded from elections, as this node hung");
                    election.abstain(self.now() + EXCLUDED_PAUSE_MS);
                }
            }
        }
    }

    /// Requests the lease for an attempt. `None` if there is none, or if this node
    /// may no longer campaign.
    async fn prepare_attempt(&self, replaced_version: u64) -> Option<Attempt> {
        let lease_requested = self.now();
        self.budgets
            .charge_requests(lease_requested, RequestPriority::Leadership, 2);
        let lease = self.grant_lease(LEASE_TTL_MS, STEP_TIMEOUT).await?;
        let election = self.election.borrow();
        // A promise may have been granted meanwhile.
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
            .elected(term, lease, attempt.lease_requested);
        log::info!(
            "leading, term {term}, under lease {lease}, in place of key version {}, \
             asked for {} ms ago",
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
        leader.inherit(attempt.record.incarnation, replica);
        leader.set_leaderless_time(self.election.borrow().leaderless_for(self.now()));
        self.exclusions.take();
        *self.leader.borrow_mut() = Some(leader);
        self.executor.spawn_high(load(self.clone(), term)).detach();
    }
}

impl Attempt {
    /// Replaces the leader's key, unless this node is excluded.
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

    /// Whether the leader's key holds what this process wrote.
    fn wrote(&self, item: &Item) -> bool {
        serde_json::from_value::<LeaderRecord>(item.value.clone())
            .is_ok_and(|record| record == self.record)
    }
}
