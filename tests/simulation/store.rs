//! The state service: a versioned key-value store with leases, limits and
//! transactions on conditions. Its own consensus is not simulated: it answers,
//! is slow, or is unavailable as a whole or for single nodes.

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

pub struct Store {
    /// Limits as they are now.
    pub txn_ops: usize,
    pub value: usize,
    pub revision: u64,
    pub kv: BTreeMap<String, (Value, u64)>,
    pub unavailable: bool,
    /// Extra latency of every answer.
    pub delay_ms: Millis,
    /// Nodes whose requests it refuses.
    pub refused_nodes: BTreeSet<usize>,
    lease: u64,
    /// Until when, and the life.
    leases: BTreeMap<u64, (Millis, Millis)>,
    /// Keys under a lease.
    attached: BTreeMap<String, u64>,
    /// Delays of the next transactions: each is applied so much later, and has
    /// no answer.
    pub late_writes: Vec<Millis>,
    /// Percentage of transactions that are applied at once without an answer.
    pub lost_answers: u32,
    /// How many had none, by the kind of key.
    pub unanswered: BTreeMap<String, u32>,
    /// Entries of the acceptance feed, with their revisions.
    pub acceptance_feed: Vec<(u64, String)>,
    /// Puts and deletes so far.
    pub changes: u32,
    /// `late_writes` for the standby registry.
    pub late_registry_writes: Vec<Millis>,
    /// `late_writes` for exclusions and readmissions.
    pub late_exclusion_writes: Vec<Millis>,
    /// Transactions to apply later, with their node; `Millis::MAX`: when its
    /// partition ends.
    pub held: Vec<(Millis, usize, Txn)>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            txn_ops: 12,
            value: 8192,
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
    /// Applies a transaction; `Err`: the keys whose conditions failed. Panics
    /// where it is over a limit of the service.
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let ops = self.txn_ops;
        assert!(
            txn.writes.len() <= ops && txn.conditions.len() <= 4 * ops,
            "txn_ops"
        );
        assert!(serde_json::to_vec(txn).unwrap().len() <= 65536, "64 KiB");
        let leases = txn.writes.iter().filter_map(|w| match w {
            Write::Put { lease, .. } => *lease,
            _ => None,
        });
        // "no such lease", whatever the conditions.
        if leases.into_iter().any(|l| !self.leases.contains_key(&l)) {
            return Err(Vec::new());
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|g| self.kv.get(&g.key).map_or(0, |v| v.1) != g.version)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        self.changes += txn.writes.len() as u32;
        for w in &txn.writes {
            match w {
                Write::Put { key, value, lease } => {
                    match lease {
                        Some(lease) => self.attached.insert(key.clone(), *lease),
                        None => self.attached.remove(key),
                    };
                    assert!(value.to_string().len() <= self.value, "value_kb: {key}");
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

    /// The answer to a watch from a revision; `None`: nothing has changed.
    pub fn feed_since(&self, from: u64) -> Option<Vec<u8>> {
        let since = self.acceptance_feed.iter().filter(|(r, _)| *r > from);
        let log: Vec<Value> = since
            .map(|(r, k)| serde_json::json!({"set": k, "data": true, "key_rev": r}))
            .collect();
        let body = serde_json::json!({"ledger_rev": self.revision, "log": log});
        (!log.is_empty()).then(|| body.to_string().into_bytes())
    }

    /// A job's record joined with its spec chunks.
    pub fn job_record(&self, id: &str, value: Value) -> JobRecord {
        let stored: StoredJob = serde_json::from_value(value).unwrap();
        let whole = stored.with_spec(|p| {
            let texts = p.keys(id).filter_map(|k| self.kv.get(&k)?.0.as_str());
            spec_chunks::join(p, texts)
        });
        whole.unwrap()
    }

    pub fn refuses(&self, node: usize) -> bool {
        self.unavailable || self.refused_nodes.contains(&node)
    }

    pub fn list(&self, prefix: &str) -> Vec<(String, Value, u64)> {
        self.kv
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .map(|(k, (v, r))| (k.clone(), v.clone(), *r))
            .collect()
    }
}

impl Store {
    pub fn advance(&mut self, now: Millis) {
        for (at, node, txn) in std::mem::take(&mut self.held) {
            if at <= now && !self.unavailable {
                let _ = self.apply(&txn);
            } else {
                self.held.push((at, node, txn));
            }
        }
        if self.unavailable {
            // After an outage all leases have their full time again.
            for (until, life) in self.leases.values_mut() {
                *until = now + *life;
            }
        }
        self.leases.retain(|_, (until, _)| now < *until);
        self.drop_keys();
    }

    pub fn grant_lease(&mut self, now: Millis, life: Millis) -> u64 {
        self.lease += 1;
        self.leases.insert(self.lease, (now + life, life));
        self.lease
    }

    /// Whether the lease existed, and so was renewed.
    pub fn renew_lease(&mut self, lease: u64, now: Millis) -> bool {
        let found = self.leases.get_mut(&lease);
        found.is_some_and(|(until, life)| {
            *until = now + *life;
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
