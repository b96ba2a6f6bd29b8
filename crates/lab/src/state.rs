//! Simulated state service: a key-value store with versions, leases, conditional
//! transactions and watches, which enforces the limits of the settings. It has no clock;
//! the caller passes the time. Served over HTTP by `services`.

use crate::Millis;
use pathwinch_protocol::{
    settings::StateLimits,
    state::{Txn, Write},
};
use pathwinch_transport::rate_limit::TokenBucket;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of changes that are kept for watches; older positions get 410.
const MAX_KEPT_CHANGES: usize = 10_000;
/// Maximum number of rows on a page of a listing.
const MAX_ROWS_PER_PAGE: usize = 1_000;
/// Maximum size in bytes of a page of a listing, unless one row alone exceeds it.
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Maximum size in bytes of a transaction.
const MAX_TXN_BYTES: usize = 64 * 1024;
/// Lease durations that may be asked for, in milliseconds.
const LEASE_DURATION_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// An HTTP status and a JSON body.
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
    /// Revision of the transaction that wrote the value.
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    expires_at: Millis,
    duration: Millis,
    /// Keys that are deleted when the lease ends.
    keys: BTreeSet<String>,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    key: String,
    /// `None` if the key was deleted.
    value: Option<Value>,
}

/// The store and its limits.
#[derive(Debug)]
pub struct StateService {
    limits: StateLimits,
    /// Rate limit of requests.
    request_limit: TokenBucket,
    /// Rate limit of puts and deletes.
    write_limit: TokenBucket,
    /// Number of transactions and lease ends that changed keys.
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// The latest changes, for watches.
    log: VecDeque<Change>,
    /// Whether there is an outage: all requests are answered with 503, and no lease
    /// expires.
    down: bool,
}

fn valid_key(key: &str) -> bool {
    (1..=200).contains(&key.len()) && !key.contains(' ')
}

impl StateService {
    pub fn new(limits: StateLimits) -> Self {
        StateService {
            request_limit: TokenBucket::new(limits.rps, 1.0),
            write_limit: TokenBucket::new(limits.write_rps, 1.0),
            limits,
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            log: VecDeque::new(),
            down: false,
        }
    }

    /// Current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Lowers the limits to those announced in `next` of the settings, if there are any.
    pub fn apply_next_limits(&mut self, now: Millis) {
        self.limits = self.limits.strictest();
        self.request_limit.set_rate(now, self.limits.rps, 1.0);
        self.write_limit.set_rate(now, self.limits.write_rps, 1.0);
    }

    /// Begins or ends an outage. At its end all leases get their full duration again.
    pub fn set_down(&mut self, down: bool, now: Millis) {
        if self.down && !down {
            for lease in self.leases.values_mut() {
                lease.expires_at = now + lease.duration;
            }
        }
        self.down = down;
    }

    /// Ends the leases that have expired, unless there is an outage.
    pub fn expire_leases(&mut self, now: Millis) {
        if self.down {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Removes a lease and deletes its keys. Returns whether it existed.
    fn end_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in lease.keys {
            self.keys.remove(&key);
            self.log_change(key, None);
        }
        true
    }

    /// Appends a change to the log for watches.
    fn log_change(&mut self, key: String, value: Option<Value>) {
        if self.log.len() >= MAX_KEPT_CHANGES {
            self.log.pop_front();
        }
        self.log.push_back(Change {
            revision: self.revision,
            key,
            value,
        });
    }

    /// Takes a request from the rate limit. Returns the error to answer with if there is
    /// an outage or the limit is exceeded, and `None` if the request may be handled.
    pub fn admit(&mut self, now: Millis) -> Option<Answer> {
        self.expire_leases(now);
        if self.down {
            return Some(error(503, "outage"));
        }
        if !self.request_limit.take(now, 1.0, 0.0) {
            return Some(error(429, "too many requests"));
        }
        None
    }

    /// Reads a key; 404 if it does not exist.
    pub fn get(&self, key: &str) -> Answer {
        match self.keys.get(key) {
            Some(s) => answer(
                200,
                json!({"key": key, "data": s.value, "key_rev": s.version, "hold": s.lease}),
            ),
            None => answer(404, json!({ "ledger_rev": self.revision })),
        }
    }

    /// Returns a page of the keys with prefix `under` after the key `from`.
    pub fn list(&self, under: &str, from: &str, limit: usize) -> Answer {
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
            if rows.len() >= limit.clamp(1, MAX_ROWS_PER_PAGE)
                || (size > MAX_PAGE_BYTES && !rows.is_empty())
            {
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

    /// Returns what is wrong with a transaction of `size` bytes, if anything is.
    fn validation_error(&self, txn: &Txn, size: usize) -> Option<&'static str> {
        if txn.writes.len() > self.limits.txn_ops {
            return Some("writes: too many");
        }
        if txn.conditions.len() > 4 * self.limits.txn_ops {
            return Some("guards: too many");
        }
        if size > MAX_TXN_BYTES {
            return Some("transaction is over 64 KiB");
        }
        let mut seen = BTreeSet::new();
        for write in &txn.writes {
            let (key, size) = match write {
                Write::Put { key, value, .. } => (key, value.to_string().len()),
                Write::Delete { key } => (key, 0),
            };
            if !valid_key(key) || !seen.insert(key) {
                return Some("writes: a key is not valid or is written twice");
            }
            if size as f64 > self.limits.value_kb * 1024.0 {
                return Some("writes: a value is too large");
            }
        }
        None
    }

    /// Executes a compare-and-swap transaction: applies all writes if all conditions
    /// hold, and answers 409 with the keys of the failed conditions otherwise.
    pub fn txn(&mut self, body: &[u8], now: Millis) -> Answer {
        let Ok(txn) = serde_json::from_slice::<Txn>(body) else {
            return error(400, "malformed");
        };
        if let Some(reason) = self.validation_error(&txn, body.len()) {
            return error(400, reason);
        }
        if !self.write_limit.take(now, txn.writes.len() as f64, 0.0) {
            return error(429, "too many changes");
        }
        let lease_ids = txn.writes.iter().filter_map(|w| match w {
            Write::Put { lease, .. } => *lease,
            Write::Delete { .. } => None,
        });
        if lease_ids
            .into_iter()
            .any(|id| !self.leases.contains_key(&id))
        {
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

    /// Applies one write at the current revision, and moves the key to its new lease.
    fn write(&mut self, write: Write) {
        let (key, new_value) = match write {
            Write::Put { key, value, lease } => (key, Some((value, lease))),
            Write::Delete { key } => (key, None),
        };
        let old = match &new_value {
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
        if let Some(id) = new_value.as_ref().and_then(|p| p.1)
            && let Some(lease) = self.leases.get_mut(&id)
        {
            lease.keys.insert(key.clone());
        }
        self.log_change(key, new_value.map(|p| p.0));
    }

    /// Grants a lease.
    pub fn grant(&mut self, body: &[u8], now: Millis) -> Answer {
        let duration = serde_json::from_slice::<Value>(body)
            .ok()
            .and_then(|v| v.get("life_ms")?.as_u64())
            .filter(|l| LEASE_DURATION_MS.contains(l));
        let Some(duration) = duration else {
            return error(400, "life_ms: must be 100 to 600000");
        };
        self.last_lease += 1;
        self.leases.insert(
            self.last_lease,
            Lease {
                expires_at: now + duration,
                duration,
                keys: BTreeSet::new(),
            },
        );
        answer(200, json!({ "hold": self.last_lease }))
    }

    /// Extends a lease to its full duration from now; 404 if it has ended.
    pub fn renew_lease(&mut self, id: u64, now: Millis) -> Answer {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.duration;
                answer(200, json!({ "hold": id }))
            }
            None => error(404, "no such lease"),
        }
    }

    /// Ends a lease and deletes its keys; 404 if it has ended.
    pub fn revoke_lease(&mut self, id: u64) -> Answer {
        match self.end_lease(id) {
            true => answer(200, json!({})),
            false => error(404, "no such lease"),
        }
    }

    /// Returns the changes of keys with prefix `under` after revision `from`, or 410 if
    /// some of them are no longer kept. `None` if there are none yet, or an outage.
    pub fn changes_since(&self, under: &str, from: u64) -> Option<Answer> {
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

    /// Returns the answer to a watch with these changes.
    pub fn watch_answer(&self, log: Vec<Value>) -> Answer {
        answer(200, json!({"ledger_rev": self.revision, "log": log}))
    }
}

#[cfg(test)]
mod tests;
