//! The state service.

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
    pub down: bool,
    /// It answers so much later.
    pub slow: Millis,
    /// Nodes that alone are refused.
    pub refuses: BTreeSet<usize>,
    lease: u64,
    /// Until when, and the life.
    leases: BTreeMap<u64, (Millis, Millis)>,
    /// Keys under a lease.
    attached: BTreeMap<String, u64>,
    /// Answers of the next transactions are lost, and they are applied so
    /// much later.
    pub late: Vec<Millis>,
    /// Of a hundred transactions so many are carried out at once, and only
    /// their answers are lost.
    pub lost_answers: u32,
    /// How many were, by what they wrote.
    pub unanswered: BTreeMap<String, u32>,
    /// Notices that were written, with the revisions.
    pub notices: Vec<(u64, String)>,
    /// Puts and deletes so far.
    pub changes: u32,
    /// The same for writes of the record of standbys.
    pub late_record: Vec<Millis>,
    /// The same for exclusions, and for lifting them.
    pub late_bars: Vec<Millis>,
    /// To be applied then, each by a node; `Millis::MAX`: when it is healed.
    pub held: Vec<(Millis, usize, Txn)>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            txn_ops: 12,
            value: 8192,
            revision: 0,
            kv: BTreeMap::new(),
            down: false,
            slow: 0,
            refuses: BTreeSet::new(),
            lease: 0,
            leases: BTreeMap::new(),
            attached: BTreeMap::new(),
            late: Vec::new(),
            lost_answers: 0,
            unanswered: BTreeMap::new(),
            notices: Vec::new(),
            changes: 0,
            late_record: Vec::new(),
            late_bars: Vec::new(),
            held: Vec::new(),
        }
    }
}

impl Store {
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
                        self.notices.push((self.revision, key.clone()));
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

    /// What the watch answers that begins there; `None`: nothing has changed.
    pub fn noticed(&self, from: u64) -> Option<Vec<u8>> {
        let since = self.notices.iter().filter(|(r, _)| *r > from);
        let log: Vec<Value> = since
            .map(|(r, k)| serde_json::json!({"set": k, "data": true, "key_rev": r}))
            .collect();
        let body = serde_json::json!({"ledger_rev": self.revision, "log": log});
        (!log.is_empty()).then(|| body.to_string().into_bytes())
    }

    /// A job's record with its description.
    pub fn whole(&self, id: &str, value: Value) -> JobRecord {
        let stored: StoredJob = serde_json::from_value(value).unwrap();
        let whole = stored.with_spec(|p| {
            let texts = p.keys(id).filter_map(|k| self.kv.get(&k)?.0.as_str());
            spec_chunks::join(p, texts)
        });
        whole.unwrap()
    }

    pub fn refuses(&self, node: usize) -> bool {
        self.down || self.refuses.contains(&node)
    }

    pub fn under(&self, prefix: &str) -> Vec<(String, Value, u64)> {
        self.kv
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .map(|(k, (v, r))| (k.clone(), v.clone(), *r))
            .collect()
    }
}

impl Store {
    pub fn pass_time(&mut self, now: Millis) {
        for (at, node, txn) in std::mem::take(&mut self.held) {
            if at <= now && !self.down {
                let _ = self.apply(&txn);
            } else {
                self.held.push((at, node, txn));
            }
        }
        if self.down {
            // After an outage all leases have their full time again.
            for (until, life) in self.leases.values_mut() {
                *until = now + *life;
            }
        }
        self.leases.retain(|_, (until, _)| now < *until);
        self.drop_keys();
    }

    pub fn grant(&mut self, now: Millis, life: Millis) -> u64 {
        self.lease += 1;
        self.leases.insert(self.lease, (now + life, life));
        self.lease
    }

    /// Whether there was such a lease.
    pub fn touch(&mut self, lease: u64, now: Millis) -> bool {
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
