//! A node that does not lead: watches the leader's key, and becomes leader where
//! nobody holds it.

use super::{super::Node, PROBE_TIMEOUT, load_state::load};
use crate::{
    control::{
        election::{CAMPAIGN_STEP_TIMEOUT_MS, LEASE_TTL_MS},
        leader::Leader,
        requests::TxnResult,
    },
    protocol::state::{Condition, LeaseGranted, Txn, Write},
    state::records::{self, LEADER, LeaderRecord},
};
use http_types::Method;
use std::{rc::Rc, time::Duration};

/// How long an excluded node waits before it tries again, in milliseconds.
const EXCLUDED_PAUSE_MS: u64 = 1_000;
/// A step of campaigning.
const STEP_TIMEOUT: Duration = Duration::from_millis(CAMPAIGN_STEP_TIMEOUT_MS);

impl Node {
    async fn read_leader_key(&self) -> Result<(), String> {
        let now = self.now();
        self.state_requests.borrow_mut().force(now, 1.0);
        let item = self.get(LEADER, STEP_TIMEOUT).await?;
        let seen = item.and_then(|i| {
            let record: LeaderRecord = serde_json::from_value(i.value).ok()?;
            Some((record.node, i.version))
        });
        let changed = seen != self.election.borrow().observed_leader;
        self.election.borrow_mut().observe_leader(seen, self.now());
        if self.election.borrow().observed_leader.is_some() {
            self.last_standby_record.take();
        }
        if changed {
            self.heartbeat_relays.borrow_mut().clear();
            self.set_shares();
        }
        Ok(())
    }

    /// One step of a node that doesn't lead; returns when to do the next.
    pub(super) async fn campaign(self: &Rc<Self>) -> Duration {
        let soon = Duration::from_millis(150);
        let doubt = self.election.borrow().indeterminate_lease;
        if let Some(lease) = doubt {
            // End the lease of the attempt, so that it can't succeed late.
            if self.end_lease(lease, PROBE_TIMEOUT).await {
                self.election.borrow_mut().indeterminate_lease = None;
            }
            return soon;
        }
        if let Err(e) = self.read_leader_key().await {
            log::debug!("reading the leader's key: {e}");
            return Duration::from_millis(250 + fastrand::u64(0..100));
        }
        let Some(version) = self.election.borrow().may_campaign(self.now()) else {
            let nobody = self.election.borrow().observed_leader.is_none();
            // A standby that counts looks more often.
            let counts = self.replica_receiver.borrow().is_counted(self.now());
            return match (nobody, counts) {
                (true, _) => soon,
                (false, true) => Duration::from_millis(250),
                (false, false) => Duration::from_millis(500),
            };
        };
        if self.machine_types.borrow().is_empty() {
            return soon;
        }
        // Nodes that are better placed go first, and those that are warm.
        let now = self.now();
        let poor = self
            .failure_detector
            .borrow()
            .unfavourable_failover_position(now);
        let others = !poor && self.other_standbys_are_counted().await;
        if self
            .election
            .borrow_mut()
            .delays_candidacy(now, || poor || others)
        {
            return soon;
        }
        self.become_leader(version).await;
        soon
    }

    async fn become_leader(self: &Rc<Self>, version: u64) {
        let asked = self.now();
        self.state_requests.borrow_mut().force(asked, 2.0);
        let body = serde_json::json!({ "life_ms": LEASE_TTL_MS })
            .to_string()
            .into_bytes();
        let granted = match self
            .state(Method::Post, "/leases", Some(body), STEP_TIMEOUT)
            .await
        {
            Ok(a) if a.status == 200 => serde_json::from_slice::<LeaseGranted>(&a.body).ok(),
            _ => None,
        };
        let Some(LeaseGranted { lease }) = granted else {
            return;
        };
        let (node, incarnation) = {
            let e = self.election.borrow();
            // A promise may have been given meanwhile.
            if e.may_campaign(self.now()) != Some(version) {
                return;
            }
            (e.node_name.clone(), e.incarnation)
        };
        self.election.borrow_mut().indeterminate_lease = Some(lease);
        let exclusion = records::exclusion_key(&node);
        let record = LeaderRecord { node, incarnation };
        let txn = Txn {
            conditions: vec![
                Condition {
                    key: LEADER.into(),
                    version,
                },
                Condition {
                    key: exclusion.clone(),
                    version: 0,
                },
            ],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: serde_json::to_value(&record).unwrap_or_default(),
                lease: Some(lease),
            }],
        };
        let term = match self.txn(&txn, STEP_TIMEOUT).await {
            TxnResult::Done(revision) => Some(revision),
            TxnResult::Unknown => match self.get(LEADER, STEP_TIMEOUT).await {
                Ok(Some(i))
                    if serde_json::from_value::<LeaderRecord>(i.value.clone())
                        .is_ok_and(|r| r == record) =>
                {
                    Some(i.version)
                }
                _ => return,
            },
            other => {
                let mut election = self.election.borrow_mut();
                election.indeterminate_lease = None;
                if matches!(&other, TxnResult::Conflict(f) if f.contains(&exclusion)) {
                    log::info!("excluded from elections, as this node hung");
                    election.abstain(self.now() + EXCLUDED_PAUSE_MS);
                }
                return;
            }
        };
        if let Some(term) = term {
            self.election.borrow_mut().elected(term, lease, asked);
            log::info!(
                "leading, term {term}, under lease {lease}, in place of key version {version}, \
                 asked for {} ms ago",
                self.now() - asked
            );
            self.set_shares();
            let mut leader = Leader::new(
                self.settings.clone(),
                self.options.clone(),
                self.machine_types.borrow().clone(),
                term,
                self.now(),
            );
            leader.final_states = self.final_states.take();
            let replica = self.replica_receiver.borrow_mut().take_replica(term);
            leader.inherit(incarnation, replica);
            leader.set_leaderless_time(self.election.borrow().leaderless_for(self.now()));
            self.exclusions.take();
            *self.leader.borrow_mut() = Some(leader);
            self.executor.spawn_high(load(self.clone(), term)).detach();
        }
    }
}
