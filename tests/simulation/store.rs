//! The state service: a versioned key-value store with leases, limits and conditional
//! transactions. The consensus inside the service is not simulated: the service answers, is
//! slow, or is unavailable as a whole or for single nodes.

use pathwinch::{
    protocol::state::{Txn, Write},
    state::{
        Millis,
        records::{ACCEPTANCES, JobRecord, StoredJob},
        spec_chunks,
    },
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The state service.
pub struct Store {
    /// Maximum number of writes in a transaction.
    pub max_txn_ops: usize,
    /// Maximum size of a value in bytes.
    pub max_value_bytes: usize,
    pub revision: u64,
    /// Values with the revisions of their last change.
    pub kv: BTreeMap<String, (Value, u64)>,
    pub unavailable: bool,
    /// Extra latency of every answer.
    pub delay_ms: Millis,
    /// Nodes whose requests are refused.
    pub refused_nodes: BTreeSet<usize>,
    lease: u64,
    /// Leases with their expiration time and duration.
    leases: BTreeMap<u64, (Millis, Millis)>,
    /// Keys that are deleted when their lease ends.
    attached: BTreeMap<String, u64>,
    /// Delays of the next transactions: each is applied after the delay and has no answer.
    pub late_writes: Vec<Millis>,
    /// Percentage of transactions that are applied at once without an answer.
    pub lost_answers: u32,
    /// Number of transactions that were applied without an answer, by the prefix of the key.
    pub unanswered: BTreeMap<String, u32>,
    /// Entries of the acceptance feed, with their revisions.
    pub acceptance_feed: Vec<(u64, String)>,
    /// Number of puts and deletes so far.
    pub changes: u32,
    /// The same as `late_writes`, for writes of the standby registry.
    pub late_registry_writes: Vec<Millis>,
    /// The same as `late_writes`, for exclusions and readmissions.
    pub late_exclusion_writes: Vec<Millis>,
    /// Transactions to apply later, with their time and node. `Millis::MAX`: when the node's
    /// partition ends.
    pub held: Vec<(Millis, usize, Txn)>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            max_txn_ops: 12,
            max_value_bytes: 8192,
            revision: 0,
            kv: BTreeMap::new(),
            unavailable: false,
            delay_ms: 0,
            refused_nodes: BTreeSet::new(),
            lease: 0,
            leases: BTreeMap::new(),
            attached: BTreeMap::new(),
            late_writes: Vec::new(),
            lost_answers: 0,
            unanswered: BTreeMap::new(),
            acceptance_feed: Vec::new(),
            changes: 0,
            late_registry_writes: Vec::new(),
            late_exclusion_writes: Vec::new(),
            held: Vec::new(),
        }
    }
}

impl Store {
    /// Applies a transaction; returns its revision, or `Err` with the keys whose conditions
    /// failed. Panics if the transaction is over a limit of the service.
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let ops = self.max_txn_ops;
        assert!(
            txn.writes.len() <= ops && txn.conditions.len() <= 4 * ops,
            "transaction over the limit on operations (txn_ops)"
        );
        assert!(
            serde_json::to_vec(txn).unwrap().len() <= 65536,
            "transaction over the limit of 64 KiB"
        );
        let leases = txn.writes.iter().filter_map(|write| match write {
            Write::Put { lease, .. } => *lease,
            _ => None,
        });
        // A put under a lease that does not exist fails, whatever the conditions.
        if leases.into_iter().any(|l| !self.leases.contains_key(&l)) {
            return Err(Vec::new());
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|condition| self.kv.get(&condition.key).map_or(0, |v| v.1) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        self.changes += txn.writes.len() as u32;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    match lease {
                        Some(lease) => self.attached.insert(key.clone(), *lease),
                        None => self.attached.remove(key),
                    };
                    assert!(
                        value.to_string().len() <= self.max_value_bytes,
                        "value of {key} over the limit on its size (value_kb)"
                    );
                    self.kv.insert(key.clone(), (value.clone(), self.revision));
                    if key.starts_with(ACCEPTANCES) {
                        self.acceptance_feed.push((self.revision, key.clone()));
                    }
                }
                Write::Delete { key } => {
                    self.attached.remove(key);
                    self.kv.remove(key);
                }
            }
        }
        Ok(self.revision)
    }

    /// Returns the answer to a watch of the acceptance feed from a revision; `None`: no new
    /// entry.
    pub fn feed_since(&self, from: u64) -> Option<Vec<u8>> {
        let since = self.acceptance_feed.iter().filter(|(r, _)| *r > from);
        let log: Vec<Value> = since
            .map(|(r, k)| serde_json::json!({"set": k, "data": true, "key_rev": r}))
            .collect();
        let body = serde_json::json!({"ledger_rev": self.revision, "log": log});
        (!log.is_empty()).then(|| body.to_string().into_bytes())
    }

    /// Returns a job's record, its spec joined from the spec chunks.
    pub fn job_record(&self, id: &str, value: Value) -> JobRecord {
        let stored: StoredJob = serde_json::from_value(value).unwrap();
        let record = stored.with_spec(|p| {
            let texts = p.keys(id).filter_map(|k| self.kv.get(&k)?.0.as_str());
            spec_chunks::join(p, texts)
        });
        record.unwrap()
    }

    /// Whether requests of the node are refused.
    pub fn refuses(&self, node: usize) -> bool {
        self.unavailable || self.refused_nodes.contains(&node)
    }

    /// Returns all keys with the prefix, with their values and revisions.
    pub fn list(&self, prefix: &str) -> Vec<(String, Value, u64)> {
        self.kv
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .map(|(k, (v, r))| (k.clone(), v.clone(), *r))
            .collect()
    }
}

impl Store {
    /// Applies held transactions that are due, and ends expired leases.
    pub fn advance(&mut self, now: Millis) {
        for (at, node, txn) in std::mem::take(&mut self.held) {
            if at <= now && !self.unavailable {
                let _ = self.apply(&txn);
            } else {
                self.held.push((at, node, txn));
            }
        }
        if self.unavailable {
            // After an outage all leases last for their full duration again.
            for (until, duration) in self.leases.values_mut() {
                *until = now + *duration;
            }
        }
        self.leases.retain(|_, (until, _)| now < *until);
        self.drop_keys();
    }

    pub fn grant_lease(&mut self, now: Millis, duration: Millis) -> u64 {
        self.lease += 1;
        self.leases.insert(self.lease, (now + duration, duration));
        self.lease
    }

    /// Renews a lease; returns whether the lease existed.
    pub fn renew_lease(&mut self, lease: u64, now: Millis) -> bool {
        let held_lease = self.leases.get_mut(&lease);
        held_lease.is_some_and(|(until, duration)| {
            *until = now + *duration;
            true
        })
    }

    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.drop_keys();
    }

    fn drop_keys(&mut self) {
        let leases = &self.leases;
        let attached = std::mem::take(&mut self.attached);
        for (key, lease) in attached {
            if leases.contains_key(&lease) {
                self.attached.insert(key, lease);
            } else {
                self.revision += 1;
                self.kv.remove(&key);
            }
        }
    }
}
