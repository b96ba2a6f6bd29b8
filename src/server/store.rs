//! Calls to the state service, within its budgets.

use super::Node;
use crate::{
    control::{
        key_pages::Pages,
        requests::{Found, LookupResults, TxnResult},
    },
    protocol::state::{Item, Page, Revision, Txn},
    state::{
        records::{FINALS, JOBS, JobRecord, StoredJob, final_key, job_key},
        spec_chunks,
    },
    transport::client::{Answer, CallError},
};
use http_types::Method;
use std::time::Duration;

pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Up to so many records are read one by one; of more, pages.
const ONE_BY_ONE: usize = 4;
const LOOK: Duration = Duration::from_millis(900);

/// All nodes together ask more than the state service answers.
pub const OVER_LIMIT: &str = "over its request limit";

/// Names that could not be asked about, and why.
pub type Unread = Vec<(String, String)>;

impl Node {
    /// Whether an ordinary request may be made now; some are kept back for
    /// leadership and acceptances.
    pub(super) fn may_request(&self, reserve: f64) -> bool {
        let now = self.now();
        self.state_requests.borrow_mut().take(now, 1.0, reserve)
    }

    pub(super) async fn state(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        self.metrics.borrow().state_requests.inc();
        let addr = self.settings.services.state;
        let answer = self.http.call(addr, method, path, body, limit).await?;
        if answer.status != 503 && answer.status != 429 {
            self.state_answered_at.set(Some(self.now()));
        }
        Ok(answer)
    }

    /// Ends a lease; whether it is surely over.
    pub(super) async fn end_lease(&self, lease: u64, limit: Duration) -> bool {
        let path = format!("/leases/{lease}");
        let answer = self.state(Method::Delete, &path, None, limit).await;
        answer.is_ok_and(|a| a.status == 404 || (200..300).contains(&a.status))
    }

    /// `Err` when the read did not succeed.
    pub(super) async fn get(&self, key: &str, limit: Duration) -> Result<Option<Item>, String> {
        let answer = self
            .state(Method::Get, &format!("/kv/{key}"), None, limit)
            .await
            .map_err(|e| e.to_string())?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body)
                .map(Some)
                .map_err(|e| e.to_string()),
            404 => Ok(None),
            429 => Err(OVER_LIMIT.into()),
            s => Err(format!("status {s}")),
        }
    }

    pub(super) async fn list(&self, prefix: &str) -> Result<Vec<Item>, String> {
        self.list_as_of(prefix).await.map(|(items, _)| items)
    }

    /// With the revision of the first page: later changes may be in it or not.
    pub(super) async fn list_as_of(&self, prefix: &str) -> Result<(Vec<Item>, u64), String> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let mut tries = 0;
            while !self.may_request(2.0) {
                tries += 1;
                if tries > 20 {
                    return Err("over the request budget".into());
                }
                async_io::Timer::after(Duration::from_millis(50)).await;
            }
            let from = items
                .last()
                .map_or(String::new(), |i| format!("&from={}", i.key));
            let path = format!("/kv?under={prefix}{from}&most=500");
            let answer = self
                .state(Method::Get, &path, None, Duration::from_secs(3))
                .await
                .map_err(|e| e.to_string())?;
            if answer.status != 200 {
                return Err(format!("status {}", answer.status));
            }
            let page: Page = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
            let revision = *revision.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, revision));
            }
        }
    }

    /// How these jobs stand in the records; those that are not in the answer
    /// were never accepted. Live records are read first: a job that ends
    /// meanwhile is found among the final ones. `Err` for one alone: its record
    /// can't be read, which must not hold up the others.
    pub(super) async fn lookup_all(&self, ids: &[String]) -> LookupResults {
        let mut all = LookupResults::new();
        for prefix in [JOBS, FINALS] {
            let left = ids.iter().filter(|id| !all.contains_key(*id));
            let left: Vec<&str> = left.map(String::as_str).collect();
            let (items, unread) = self.read_some(prefix, left).await;
            all.extend(unread.into_iter().map(|(id, e)| (id, Err(e))));
            // A key that is not there has no version.
            for item in items.into_iter().filter(|i| i.version > 0) {
                let id = item.key[prefix.len()..].to_owned();
                let found = match prefix {
                    JOBS => (self.whole(&id, item.value).await)
                        .map(|r| Found::Live(Box::new(r), item.version)),
                    _ => serde_json::from_value(item.value)
                        .map(|r| Found::Final(r, item.version))
                        .map_err(|e| e.to_string()),
                };
                if let Err(e) = &found {
                    log::error!("record {}: {e}", item.key);
                }
                all.insert(id, found);
            }
        }
        all
    }

    /// Those of the names that stand under the prefix: one by one if they are
    /// few, else by pages. Beside them those that could not be asked about,
    /// with the reason.
    pub(super) async fn read_some(&self, prefix: &str, names: Vec<&str>) -> (Vec<Item>, Unread) {
        let mut found = Vec::new();
        let one_by_one = names.len() <= ONE_BY_ONE;
        let mut pages = Pages::new(prefix, names);
        while let Some((after, most)) = pages.ask() {
            let read = match pages.open().first() {
                _ if !self.may_request(3.0) => Err("over the request budget".into()),
                Some(name) if one_by_one => self.one(&format!("{prefix}{name}")).await,
                _ => self.page(prefix, &after, most).await,
            };
            match read {
                Ok(page) => {
                    let last = page.items.last().map(|i| i.key.clone());
                    found.extend(page.items.into_iter().filter(|i| pages.wants(&i.key)));
                    pages.read(last.as_deref(), page.more);
                }
                Err(e) => {
                    let unread = pages.open().iter().map(|n| (n.to_string(), e.clone()));
                    return (found, unread.collect());
                }
            }
        }
        (found, Unread::new())
    }

    /// One key, as a page that ends with it.
    async fn one(&self, key: &str) -> Result<Page, String> {
        let item = self.get(key, LOOK).await?;
        let item = item.unwrap_or_else(|| Item {
            key: key.to_owned(),
            value: serde_json::Value::Null,
            version: 0,
        });
        Ok(Page {
            items: vec![item],
            more: true,
            revision: 0,
        })
    }

    async fn page(&self, prefix: &str, after: &str, most: usize) -> Result<Page, String> {
        let path = format!("/kv?under={prefix}&from={after}&most={most}");
        let answer = self.state(Method::Get, &path, None, LOOK).await;
        let answer = answer.map_err(|e| e.to_string())?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body).map_err(|e| e.to_string()),
            429 => Err(OVER_LIMIT.into()),
            s => Err(format!("status {s}")),
        }
    }

    pub(super) async fn txn(&self, txn: &Txn, limit: Duration) -> TxnResult {
        let changes = txn.writes.len() as u64;
        self.metrics.borrow().state_changes.inc_by(changes);
        let body = serde_json::to_vec(txn).unwrap_or_default();
        match self.state(Method::Post, "/txn", Some(body), limit).await {
            Ok(a) => match (a.status, serde_json::from_slice::<Revision>(&a.body)) {
                (200, Ok(r)) => TxnResult::Done(r.revision),
                (409, Ok(r)) => TxnResult::Conflict(r.failed),
                (s @ (429 | 503 | 400), _) => {
                    self.metrics.borrow().state_refused.inc();
                    if s != 400 {
                        return TxnResult::Refused;
                    }
                    log::error!(
                        "the state service refused a transaction of {changes} changes: {}",
                        String::from_utf8_lossy(&a.body[..a.body.len().min(200)])
                    );
                    TxnResult::Rejected
                }
                _ => TxnResult::Unknown,
            },
            Err(CallError::NotSent(_)) => TxnResult::Refused,
            Err(CallError::NoAnswer(_) | CallError::TooLong) => TxnResult::Unknown,
        }
    }

    /// A job's record with its description, wherever that is kept.
    async fn whole(&self, id: &str, value: serde_json::Value) -> Result<JobRecord, String> {
        let stored: StoredJob = serde_json::from_value(value).map_err(|e| e.to_string())?;
        let items = match &stored.spec_chunks {
            Some(pieces) => self.list(&pieces.prefix(id)).await?,
            None => Vec::new(),
        };
        let texts = items.iter().filter_map(|i| i.value.as_str());
        let whole = stored.with_spec(|p| spec_chunks::join(p, texts));
        whole.map_err(|e| format!("record of {id}: {e:#}"))
    }

    pub(super) async fn lookup(&self, id: &str) -> Result<Found, String> {
        if !self.may_request(3.0) {
            return Err("over the request budget".into());
        }
        let limit = Duration::from_millis(900);
        if let Some(item) = self.get(&job_key(id), limit).await? {
            let record = self.whole(id, item.value).await?;
            return Ok(Found::Live(Box::new(record), item.version));
        }
        let now = self.now();
        self.state_requests.borrow_mut().force(now, 1.0);
        match self.get(&final_key(id), limit).await? {
            Some(item) => serde_json::from_value(item.value)
                .map(|r| Found::Final(r, item.version))
                .map_err(|e| e.to_string()),
            None => Ok(Found::Nothing),
        }
    }
}
