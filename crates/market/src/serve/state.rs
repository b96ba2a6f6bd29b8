//! The broker's side of the state service: its own prefix, its own share of
//! the limits, and the leadership among brokers.

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

const LIMIT: Duration = Duration::from_secs(2);
/// Under the prefix: who acts.
const BROKER: &str = "broker";
/// Life of the leadership's lease, and what is kept off it.
const LIFE: Millis = 6_000;
const MARGIN: Millis = 500;

pub struct State {
    addr: SocketAddr,
    http: Client,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    start: Instant,
}

/// A leadership among brokers.
#[derive(Debug)]
pub struct Held {
    pub term: u64,
    pub lease: u64,
    /// Until when it surely holds, if it isn't renewed.
    pub until: Instant,
}

fn key(relative: &str) -> String {
    format!("{PREFIX}{relative}")
}

fn until(sent: Instant) -> Instant {
    sent + Duration::from_millis(LIFE - MARGIN)
}

/// The record of who acts has gone, or is another's.
#[derive(Debug, PartialEq)]
pub struct Lost;

impl State {
    pub fn new(settings: &Settings, share: f64) -> Self {
        let limits = &settings.cluster.state;
        State {
            addr: settings.services.state,
            http: Client::new(4),
            requests: RefCell::new(TokenBucket::new(limits.rps * share, 1.0)),
            writes: RefCell::new(TokenBucket::new(limits.write_rps * share, 1.0)),
            start: Instant::now(),
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Answer, CallError> {
        let wait = self.requests.borrow_mut().take_with_delay(self.now(), 1.0);
        if wait > 0 {
            Timer::after(Duration::from_millis(wait)).await;
        }
        let body = body.map(|b| b.to_string().into_bytes());
        self.http.call(self.addr, method, path, body, LIMIT).await
    }

    /// `Err`: it could not be read.
    pub async fn get(&self, relative: &str) -> Result<Option<(Value, u64)>, ()> {
        let path = format!("/kv/{}", key(relative));
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

    /// Everything under the prefix but who acts, by relative key.
    pub async fn list(&self) -> Result<BTreeMap<String, (Value, u64)>, String> {
        let (mut all, mut from) = (BTreeMap::new(), String::new());
        loop {
            let path = format!("/kv?under={PREFIX}&from={from}&most=500");
            let a = self
                .call(Method::Get, &path, None)
                .await
                .map_err(|e| e.to_string())?;
            if a.status != 200 {
                return Err(format!("status {}", a.status));
            }
            let page: Page = serde_json::from_slice(&a.body).map_err(|e| e.to_string())?;
            for item in page.items {
                from.clone_from(&item.key);
                if let Some(relative) = item.key.strip_prefix(PREFIX)
                    && relative != BROKER
                {
                    all.insert(relative.to_owned(), (item.value, item.version));
                }
            }
            if !page.more {
                return Ok(all);
            }
        }
    }

    async fn txn(&self, txn: &Txn) -> Result<Answer, CallError> {
        let wait = self
            .writes
            .borrow_mut()
            .take_with_delay(self.now(), txn.writes.len() as f64);
        if wait > 0 {
            Timer::after(Duration::from_millis(wait)).await;
        }
        let body = serde_json::to_value(txn).unwrap_or_default();
        self.call(Method::Post, "/txn", Some(body)).await
    }

    /// Writes what the books want, guarded by the leadership.
    pub async fn write(&self, term: u64, change: &Change) -> Result<WriteOutcome, Lost> {
        let mut txn = Txn {
            conditions: vec![Condition {
                key: key(BROKER),
                version: term,
            }],
            writes: Vec::new(),
        };
        for (relative, version, value) in &change.writes {
            let key = key(relative);
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
        let answer = match self.txn(&txn).await {
            Ok(answer) => answer,
            Err(CallError::NotSent(_)) => return Ok(WriteOutcome::Rejected),
            Err(_) => return Ok(WriteOutcome::Unknown),
        };
        let said: Option<Revision> = serde_json::from_slice(&answer.body).ok();
        match (answer.status, said) {
            (200, Some(r)) => Ok(WriteOutcome::Done(r.revision)),
            (409, Some(r)) if r.failed.contains(&key(BROKER)) => Err(Lost),
            (409, _) => Ok(WriteOutcome::Conflict),
            (429 | 503, _) => Ok(WriteOutcome::Rejected),
            (400, _) => {
                log::error!("the state service refuses a transaction as malformed");
                Ok(WriteOutcome::Rejected)
            }
            _ => Ok(WriteOutcome::Unknown),
        }
    }

    /// Seeks the leadership once.
    pub async fn acquire(&self, name: &str, incarnation: u64) -> Option<Held> {
        if self.get(BROKER).await.ok()?.is_some() {
            return None;
        }
        let sent = Instant::now();
        let life = json!({ "life_ms": LIFE });
        let answer = self.call(Method::Post, "/leases", Some(life)).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        let lease = serde_json::from_slice::<LeaseGranted>(&answer.body)
            .ok()?
            .lease;
        let record = json!({ "name": name, "incarnation": incarnation });
        let txn = Txn {
            conditions: vec![Condition {
                key: key(BROKER),
                version: 0,
            }],
            writes: vec![Write::Put {
                key: key(BROKER),
                value: record.clone(),
                lease: Some(lease),
            }],
        };
        let term = match self.txn(&txn).await {
            Ok(a) if a.status == 200 => serde_json::from_slice::<Revision>(&a.body)
                .ok()
                .map(|r| r.revision),
            Ok(_) => None,
            // It may have been applied: what stands there tells.
            Err(_) => match self.get(BROKER).await {
                Ok(Some((found, version))) if found == record => Some(version),
                _ => None,
            },
        };
        match term {
            Some(term) => Some(Held {
                term,
                lease,
                until: until(sent),
            }),
            None => {
                // Whatever is still on its way there ends with the lease.
                let path = format!("/leases/{lease}");
                let _ = self.call(Method::Delete, &path, None).await;
                None
            }
        }
    }

    /// Renews; the new end of the authority. `Err`: the lease is gone.
    pub async fn touch(&self, lease: u64) -> Result<Option<Instant>, Lost> {
        let sent = Instant::now();
        let path = format!("/leases/{lease}/touch");
        match self.call(Method::Post, &path, None).await {
            Ok(a) if a.status == 200 => Ok(Some(until(sent))),
            Ok(a) if a.status == 404 => Err(Lost),
            _ => Ok(None),
        }
    }
}
