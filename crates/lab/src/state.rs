//! The state service: keys with versions, leases, transactions and watches,
//! within the limits of the settings.

use crate::Millis;
use pathwinch_protocol::{
    settings::StateLimits,
    state::{Txn, Write},
};
use pathwinch_transport::rate_limit::TokenBucket;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that a watch can look back on.
const KEPT_CHANGES: usize = 10_000;
const MOST_ITEMS: usize = 1_000;
const MOST_PAGE: usize = 512 * 1024;
const MOST_TXN: usize = 64 * 1024;
const LIFE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

fn answer(status: u16, body: Value) -> Answer {
    Answer { status, body }
}

fn error(status: u16, text: &str) -> Answer {
    answer(status, json!({ "error": text }))
}

#[derive(Debug, Clone)]
struct Stored {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    until: Millis,
    life: Millis,
    keys: BTreeSet<String>,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    key: String,
    /// `None`: deleted.
    value: Option<Value>,
}

#[derive(Debug)]
pub struct StateService {
    limits: StateLimits,
    requests: TokenBucket,
    changes: TokenBucket,
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: VecDeque<Change>,
    /// Out: everything is answered with 503, and leases stand still.
    down: bool,
}

fn valid_key(key: &str) -> bool {
    (1..=200).contains(&key.len()) && !key.contains(' ')
}

impl StateService {
    pub fn new(limits: StateLimits) -> Self {
        StateService {
            requests: TokenBucket::new(limits.rps, 1.0),
            changes: TokenBucket::new(limits.write_rps, 1.0),
            limits,
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            log: VecDeque::new(),
            down: false,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// The limits to come, if any, are there.
    pub fn apply_next_limits(&mut self, now: Millis) {
        self.limits = self.limits.always();
        self.requests.set_rate(now, self.limits.rps, 1.0);
        self.changes.set_rate(now, self.limits.write_rps, 1.0);
    }

    /// Begins or ends an outage; afterwards all leases have their full time.
    pub fn set_down(&mut self, down: bool, now: Millis) {
        if self.down && !down {
            for lease in self.leases.values_mut() {
                lease.until = now + lease.life;
            }
        }
        self.down = down;
    }

    /// Ends leases that were not renewed in time.
    pub fn pass_time(&mut self, now: Millis) {
        if self.down {
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in lease.keys {
            self.keys.remove(&key);
            self.note(key, None);
        }
        true
    }

    fn note(&mut self, key: String, value: Option<Value>) {
        if self.log.len() >= KEPT_CHANGES {
            self.log.pop_front();
        }
        self.log.push_back(Change {
            revision: self.revision,
            key,
            value,
        });
    }

    /// Counts a request against the limits; the answer to give instead.
    pub fn admit(&mut self, now: Millis) -> Option<Answer> {
        self.pass_time(now);
        if self.down {
            return Some(error(503, "outage"));
        }
        if !self.requests.take(now, 1.0, 0.0) {
            return Some(error(429, "too many requests"));
        }
        None
    }

    pub fn get(&self, key: &str) -> Answer {
        match self.keys.get(key) {
            Some(s) => answer(
                200,
                json!({"key": key, "data": s.value, "key_rev": s.version, "hold": s.lease}),
            ),
            None => answer(404, json!({ "ledger_rev": self.revision })),
        }
    }

    pub fn list(&self, under: &str, from: &str, most: usize) -> Answer {
        let begin = under.max(from).to_owned();
        let (mut rows, mut size, mut more) = (Vec::new(), 0, false);
        for (key, s) in self.keys.range(begin..) {
            if !key.starts_with(under) {
                break;
            }
            if key.as_str() <= from {
                continue;
            }
            let row = json!({"key": key, "data": s.value, "key_rev": s.version});
            size += row.to_string().len();
            if rows.len() >= most.clamp(1, MOST_ITEMS) || (size > MOST_PAGE && !rows.is_empty()) {
                more = true;
                break;
            }
            rows.push(row);
        }
        answer(
            200,
            json!({"rows": rows, "more": more, "ledger_rev": self.revision}),
        )
    }

    fn malformed(&self, txn: &Txn, size: usize) -> Option<&'static str> {
        if txn.writes.len() > self.limits.txn_ops {
            return Some("writes: too many");
        }
        if txn.conditions.len() > 4 * self.limits.txn_ops {
            return Some("guards: too many");
        }
        if size > MOST_TXN {
            return Some("over 64 KiB");
        }
        let mut seen = BTreeSet::new();
        for write in &txn.writes {
            let (key, size) = match write {
                Write::Put { key, value, .. } => (key, value.to_string().len()),
                Write::Delete { key } => (key, 0),
            };
            if !valid_key(key) || !seen.insert(key) {
                return Some("writes: a key is not valid or named twice");
            }
            if size as f64 > self.limits.value_kb * 1024.0 {
                return Some("writes: a value is too large");
            }
        }
        None
    }

    pub fn txn(&mut self, body: &[u8], now: Millis) -> Answer {
        let Ok(txn) = serde_json::from_slice::<Txn>(body) else {
            return error(400, "malformed");
        };
        if let Some(why) = self.malformed(&txn, body.len()) {
            return error(400, why);
        }
        if !self.changes.take(now, txn.writes.len() as f64, 0.0) {
            return error(429, "too many changes");
        }
        let held = txn.writes.iter().filter_map(|w| match w {
            Write::Put { lease, .. } => *lease,
            Write::Delete { .. } => None,
        });
        if held.into_iter().any(|id| !self.leases.contains_key(&id)) {
            return error(400, "no such lease");
        }
        let failed: Vec<&str> = txn
            .conditions
            .iter()
            .filter(|g| self.keys.get(&g.key).map_or(0, |s| s.version) != g.version)
            .map(|g| g.key.as_str())
            .collect();
        if !failed.is_empty() {
            return answer(409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in txn.writes {
            self.write(write);
        }
        answer(200, json!({ "ledger_rev": self.revision }))
    }

    fn write(&mut self, write: Write) {
        let (key, put) = match write {
            Write::Put { key, value, lease } => (key, Some((value, lease))),
            Write::Delete { key } => (key, None),
        };
        let old = match &put {
            Some((value, lease)) => self.keys.insert(
                key.clone(),
                Stored {
                    value: value.clone(),
                    version: self.revision,
                    lease: *lease,
                },
            ),
            None => self.keys.remove(&key),
        };
        if let Some(lease) = old.and_then(|s| s.lease)
            && let Some(lease) = self.leases.get_mut(&lease)
        {
            lease.keys.remove(&key);
        }
        if let Some(id) = put.as_ref().and_then(|p| p.1)
            && let Some(lease) = self.leases.get_mut(&id)
        {
            lease.keys.insert(key.clone());
        }
        self.note(key, put.map(|p| p.0));
    }

    pub fn grant(&mut self, body: &[u8], now: Millis) -> Answer {
        let life = serde_json::from_slice::<Value>(body)
            .ok()
            .and_then(|v| v.get("life_ms")?.as_u64())
            .filter(|l| LIFE_MS.contains(l));
        let Some(life) = life else {
            return error(400, "life_ms: 100 to 600000");
        };
        self.last_lease += 1;
        self.leases.insert(
            self.last_lease,
            Lease {
                until: now + life,
                life,
                keys: BTreeSet::new(),
            },
        );
        answer(200, json!({ "hold": self.last_lease }))
    }

    pub fn renew_lease(&mut self, id: u64, now: Millis) -> Answer {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = now + lease.life;
                answer(200, json!({ "hold": id }))
            }
            None => error(404, "no such lease"),
        }
    }

    pub fn drop_lease(&mut self, id: u64) -> Answer {
        match self.end_lease(id) {
            true => answer(200, json!({})),
            false => error(404, "no such lease"),
        }
    }

    /// What has changed under a prefix since; `None`: nothing yet, wait.
    pub fn changes(&self, under: &str, from: u64) -> Option<Answer> {
        if self.down {
            return None;
        }
        let oldest = self.log.front().map_or(self.revision + 1, |c| c.revision);
        if from + 1 < oldest && from < self.revision {
            return Some(error(410, "too old"));
        }
        let first = self.log.partition_point(|c| c.revision <= from);
        let log: Vec<Value> = self
            .log
            .range(first..)
            .filter(|c| c.key.starts_with(under))
            .map(|c| match &c.value {
                Some(v) => json!({"set": c.key, "data": v, "key_rev": c.revision}),
                None => json!({"drop": c.key, "key_rev": c.revision}),
            })
            .collect();
        (!log.is_empty()).then(|| self.watch_answer(log))
    }

    /// The answer to a watch.
    pub fn watch_answer(&self, log: Vec<Value>) -> Answer {
        answer(200, json!({"ledger_rev": self.revision, "log": log}))
    }
}

#[cfg(test)]
mod tests;
