//! Client of the state service for the broker: its own key prefix, its own share of
//! the rate limits, and the leadership among the brokers of a home.

use crate::{
    Millis,
    ledger_sync::{Change, WriteOutcome},
};
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::{
    market::PREFIX,
    settings::Settings,
    state::{Condition, LeaseGranted, Page, Revision, Txn, Write},
};
use pathwinch_transport::{
    client::{Answer, CallError, Client},
    rate_limit::TokenBucket,
};
use serde_json::{Value, json};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration, time::Instant};

/// Time-out of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Key, under the prefix, of the record that names the acting broker.
const LEADERSHIP_KEY: &str = "broker";
/// Duration of the leadership's lease.
const LEASE_MS: Millis = 6_000;
/// Time by which a broker stops acting before its lease can expire.
const LEASE_MARGIN_MS: Millis = 500;

/// Client of the state service.
pub struct State {
    address: SocketAddr,
    http: Client,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    start: Instant,
}

/// The leadership among brokers, as acquired.
#[derive(Debug)]
pub struct Leadership {
    pub term: u64,
    pub lease: u64,
    /// Time until which the leadership certainly holds without a renewal.
    pub authority_until: Instant,
}

fn full_key(relative: &str) -> String {
    format!("{PREFIX}{relative}")
}

/// Returns the end of the authority of a lease that was requested at `sent`.
fn authority_end(sent: Instant) -> Instant {
    sent + Duration::from_millis(LEASE_MS - LEASE_MARGIN_MS)
}

/// The leadership record is gone or names another broker.
#[derive(Debug, PartialEq)]
pub struct LeadershipLost;

impl State {
    pub fn new(settings: &Settings, share: f64) -> Self {
        let limits = &settings.cluster.state;
        State {
            address: settings.services.state,
            http: Client::new(4),
            requests: RefCell::new(TokenBucket::new(limits.rps * share, 1.0)),
            writes: RefCell::new(TokenBucket::new(limits.write_rps * share, 1.0)),
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time that the rate limits use.
    fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Answer, CallError> {
        let delay_ms = self
            .requests
            .borrow_mut()
            .take_with_delay(self.elapsed_ms(), 1.0);
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let body = body.map(|b| b.to_string().into_bytes());
        self.http
            .call(self.address, method, path, body, REQUEST_TIMEOUT)
            .await
    }

    /// Reads a key: its value and version, if it exists; `Err`: not read.
    pub async fn get(&self, relative: &str) -> Result<Option<(Value, u64)>, ()> {
        let path = format!("/kv/{}", full_key(relative));
        match self.call(Method::Get, &path, None).await {
            Ok(a) if a.status == 200 => {
                let item: pathwinch_protocol::state::Item =
                    serde_json::from_slice(&a.body).map_err(|_| ())?;
                Ok(Some((item.value, item.version)))
            }
            Ok(a) if a.status == 404 => Ok(None),
            _ => Err(()),
        }
    }

    /// Lists all records under the prefix except the leadership record, by relative
    /// key.
    pub async fn list(&self) -> Result<BTreeMap<String, (Value, u64)>, String> {
        let (mut all, mut after_key) = (BTreeMap::new(), String::new());
        loop {
            let path = format!("/kv?under={PREFIX}&from={after_key}&most=500");
            let answer = self
                .call(Method::Get, &path, None)
                .await
                .map_err(|e| e.to_string())?;
            if answer.status != 200 {
                return Err(format!("status {}", answer.status));
            }
            let page: Page = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
            for item in page.items {
                after_key.clone_from(&item.key);
                if let Some(relative) = item.key.strip_prefix(PREFIX)
                    && relative != LEADERSHIP_KEY
                {
                    all.insert(relative.to_owned(), (item.value, item.version));
                }
            }
            if !page.more {
                return Ok(all);
            }
        }
    }

    /// Sends a transaction once the limit on writes allows it.
    async fn commit(&self, txn: &Txn) -> Result<Answer, CallError> {
        let delay_ms = self
            .writes
            .borrow_mut()
            .take_with_delay(self.elapsed_ms(), txn.writes.len() as f64);
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let body = serde_json::to_value(txn).unwrap_or_default();
        self.call(Method::Post, "/txn", Some(body)).await
    }

    /// Applies a change in one transaction that has the leadership record as a
    /// condition.
    pub async fn write(&self, term: u64, change: &Change) -> Result<WriteOutcome, LeadershipLost> {
        let mut txn = Txn {
            conditions: vec![Condition {
                key: full_key(LEADERSHIP_KEY),
                version: term,
            }],
            writes: Vec::new(),
        };
        for (relative, version, value) in &change.writes {
            let key = full_key(relative);
            txn.conditions.push(Condition {
                key: key.clone(),
                version: *version,
            });
            txn.writes.push(match value {
                Some(value) => Write::Put {
                    key,
                    value: value.clone(),
                    lease: None,
                },
                None => Write::Delete { key },
            });
        }
        let answer = match self.commit(&txn).await {
            Ok(answer) => answer,
            Err(CallError::NotSent(_)) => return Ok(WriteOutcome::Rejected),
            Err(_) => return Ok(WriteOutcome::Unknown),
        };
        let revision: Option<Revision> = serde_json::from_slice(&answer.body).ok();
        match (answer.status, revision) {
            (200, Some(r)) => Ok(WriteOutcome::Done(r.revision)),
            (409, Some(r)) if r.failed.contains(&full_key(LEADERSHIP_KEY)) => Err(LeadershipLost),
            (409, _) => Ok(WriteOutcome::Conflict),
            (429 | 503, _) => Ok(WriteOutcome::Rejected),
            (400, _) => {
                log::error!("state service: transaction refused as malformed (status 400)");
                Ok(WriteOutcome::Rejected)
            }
            _ => Ok(WriteOutcome::Unknown),
        }
    }

    /// Tries once to acquire the leadership; `None` if another broker holds it or the
    /// attempt failed.
    pub async fn acquire(&self, name: &str, incarnation: u64) -> Option<Leadership> {
        if self.get(LEADERSHIP_KEY).await.ok()?.is_some() {
            return None;
        }
        let sent = Instant::now();
        let request = json!({ "life_ms": LEASE_MS });
        let answer = self
            .call(Method::Post, "/leases", Some(request))
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        let lease = serde_json::from_slice::<LeaseGranted>(&answer.body)
            .ok()?
            .lease;
        let record = json!({ "name": name, "incarnation": incarnation });
        let txn = Txn {
            conditions: vec![Condition {
                key: full_key(LEADERSHIP_KEY),
                version: 0,
            }],
            writes: vec![Write::Put {
                key: full_key(LEADERSHIP_KEY),
                value: record.clone(),
                lease: Some(lease),
            }],
        };
        let term = match self.commit(&txn).await {
            Ok(a) if a.status == 200 => serde_json::from_slice::<Revision>(&a.body)
                .ok()
                .map(|r| r.revision),
            Ok(_) => None,
            // The transaction may have been applied: the record tells.
            Err(_) => match self.get(LEADERSHIP_KEY).await {
                Ok(Some((found, version))) if found == record => Some(version),
                _ => None,
            },
        };
        match term {
            Some(term) => Some(Leadership {
                term,
                lease,
                authority_until: authority_end(sent),
            }),
            None => {
                // A transaction that is still in flight becomes void with its lease.
                let path = format!("/leases/{lease}");
                let _ = self.call(Method::Delete, &path, None).await;
                None
            }
        }
    }

    /// Renews the lease and returns the new end of the authority; `None`: no
    /// answer; `Err`: the lease is gone.
    pub async fn renew(&self, lease: u64) -> Result<Option<Instant>, LeadershipLost> {
        let sent = Instant::now();
        let path = format!("/leases/{lease}/touch");
        match self.call(Method::Post, &path, None).await {
            Ok(a) if a.status == 200 => Ok(Some(authority_end(sent))),
            Ok(a) if a.status == 404 => Err(LeadershipLost),
            _ => Ok(None),
        }
    }
}
