//! Client of the key-value store (the state service) that holds all durable state.
//!
//! This module owns the paths, bodies and status codes of reads and transactions
//! (leases are in `server::leases`), and the reads of job records that are built on
//! them. It is called by every loop of the process that reads or writes records.
//!
//! Invariants: a transaction whose outcome is unknown is never reported as not applied.
//! A key that could not be read is never reported as absent.

use super::Node;
use crate::{
    control::{
        key_pages::{PageRequest, PrefixRead},
        requests::{Found, LookupResults, TxnResult},
    },
    protocol::state::{Item, Page, Revision, Txn},
    state::{
        records::{FINALS, JOBS, JobRecord, StoredJob, final_key, job_key},
        request_budget::RequestPriority,
        spec_chunks,
    },
    transport::client::{Answer, CallError},
};
use http_types::Method;
use std::{fmt, time::Duration};

/// Timeout of a call to the store, unless the call has a timeout of its own.
pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of the read of one key or one short page in a lookup of records.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of the read of one page of a complete list.
const LIST_PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of keys in one page of a complete list.
const LIST_PAGE_KEYS: usize = 500;
/// Number of times, and interval at which, a list or a dependency lookup checks the
/// request budget for its next request.
const BUDGET_CHECKS: u32 = 20;
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of records that are read one by one; more records are read in pages.
const MAX_SINGLE_READS: usize = 4;
/// Maximum number of bytes of the response to a rejected transaction that are logged.
const MAX_LOGGED_BODY_BYTES: usize = 200;

/// Error of a read of the store, or of a write whose caller needs no exact outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoreError {
    /// All controllers together exceed the store's request limit. The store responds,
    /// so there is no outage.
    OverLimit,
    /// This node's share of the store's request limit is exhausted.
    OverRequestBudget,
    /// This node's share of the store's limit of changes is exhausted.
    OverWriteBudget,
    /// The store answered with this HTTP status.
    Status(u16),
    /// The call failed.
    Call(String),
    /// A response or a record could not be decoded.
    Decode(String),
    /// A job's record could not be joined with its spec chunks.
    IncompleteRecord {
        /// The job's id.
        id: String,
        /// Why the record is incomplete.
        reason: String,
    },
    /// The records were read at this revision, which is older than the leader's term.
    BeforeTerm(u64),
    /// A transaction was not applied, or its outcome is unknown.
    NotWritten,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::OverLimit => f.write_str("state service is over its request limit"),
            StoreError::OverRequestBudget => f.write_str("this node's request budget is exhausted"),
            StoreError::OverWriteBudget => f.write_str("this node's write budget is exhausted"),
            StoreError::Status(status) => write!(f, "state service: HTTP status {status}"),
            StoreError::Call(reason) | StoreError::Decode(reason) => f.write_str(reason),
            StoreError::IncompleteRecord { id, reason } => {
                write!(f, "incomplete record of job {id}: {reason}")
            }
            StoreError::BeforeTerm(revision) => {
                write!(
                    f,
                    "records were read at revision {revision}, before the term"
                )
            }
            StoreError::NotWritten => f.write_str("write was not confirmed"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        StoreError::Call(error.to_string())
    }
}

impl From<serde_json::Error> for StoreError {
    fn from(error: serde_json::Error) -> Self {
        StoreError::Decode(error.to_string())
    }
}

/// A name whose key could not be read, and the error.
#[derive(Debug, Clone)]
pub(super) struct UnreadName {
    pub(super) name: String,
    pub(super) error: StoreError,
}

/// All keys under a prefix.
#[derive(Debug)]
pub(super) struct Listing {
    pub(super) items: Vec<Item>,
    /// Revision of the first page. Changes after this revision may or may not be
    /// included.
    pub(super) revision: u64,
}

/// Result of reading the keys of some names under a prefix.
#[derive(Debug, Default)]
pub(super) struct NamedRead {
    /// Items of the names that were read. A name without a key may be included with
    /// version 0.
    pub(super) items: Vec<Item>,
    pub(super) unread: Vec<UnreadName>,
}

/// Returns the ids of the jobs that have no result yet.
fn without_result<'a>(ids: &'a [String], results: &LookupResults) -> Vec<&'a str> {
    let ids = ids.iter().map(String::as_str);
    ids.filter(|id| !results.contains_key(*id)).collect()
}

impl Node {
    /// Takes one request to the store from the budget. Returns whether it may be sent.
    pub(super) fn may_request(&self, priority: RequestPriority) -> bool {
        let now = self.now();
        self.budgets.take_request(now, priority)
    }

    /// Sends one HTTP request to the store. The caller charges the budgets.
    pub(super) async fn call_store(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        self.metrics.borrow().state_requests.inc();
        let addr = self.settings.services.state;
        let answer = self.http.call(addr, method, path, body, timeout).await?;
        if answer.status != 503 && answer.status != 429 {
            self.state_answered_at.set(Some(self.now()));
        }
        Ok(answer)
    }

    /// Reads one key. Returns `None` if the key doesn't exist.
    pub(super) async fn get(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Item>, StoreError> {
        let answer = self
            .call_store(Method::Get, &format!("/kv/{key}"), None, timeout)
            .await?;
        match answer.status {
            200 => Ok(Some(serde_json::from_slice(&answer.body)?)),
            404 => Ok(None),
            429 => Err(StoreError::OverLimit),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Reads all keys under a prefix.
    pub(super) async fn list(
        &self,
        prefix: &str,
        priority: RequestPriority,
    ) -> Result<Vec<Item>, StoreError> {
        Ok(self.list_as_of(prefix, priority).await?.items)
    }

    /// Reads all keys under a prefix, and returns them with the revision of the first
    /// page.
    pub(super) async fn list_as_of(
        &self,
        prefix: &str,
        priority: RequestPriority,
    ) -> Result<Listing, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_revision = None;
        loop {
            self.wait_for_request(priority).await?;
            let from = items
                .last()
                .map_or(String::new(), |item| format!("&from={}", item.key));
            let path = format!("/kv?under={prefix}{from}&most={LIST_PAGE_KEYS}");
            let answer = self
                .call_store(Method::Get, &path, None, LIST_PAGE_TIMEOUT)
                .await?;
            if answer.status != 200 {
                return Err(StoreError::Status(answer.status));
            }
            let page: Page = serde_json::from_slice(&answer.body)?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok(Listing { items, revision });
            }
        }
    }

    /// Takes one request from the budget; while the budget is exhausted, checks it
    /// again up to [`BUDGET_CHECKS`] times.
    async fn wait_for_request(&self, priority: RequestPriority) -> Result<(), StoreError> {
        for _ in 0..BUDGET_CHECKS {
            if self.take_request(priority).is_ok() {
                return Ok(());
            }
            async_io::Timer::after(BUDGET_CHECK_INTERVAL).await;
        }
        self.take_request(priority)
    }

    fn take_request(&self, priority: RequestPriority) -> Result<(), StoreError> {
        match self.may_request(priority) {
            true => Ok(()),
            false => Err(StoreError::OverRequestBudget),
        }
    }

    /// Takes one request of a lookup from the budget. A dependency lookup waits for the
    /// budget instead of failing, as no user waits for its result.
    async fn take_lookup_request(&self, priority: RequestPriority) -> Result<(), StoreError> {
        match priority {
            RequestPriority::DependencyLookup => self.wait_for_request(priority).await,
            _ => self.take_request(priority),
        }
    }

    /// Reads the records of the given jobs. Jobs that are not in the result were never
    /// accepted. Live records are read first, so that a job which ends between the
    /// reads is found among the final records. A record that can't be read is an error
    /// for its job alone and doesn't affect the other jobs.
    pub(super) async fn lookup_all(
        &self,
        ids: &[String],
        priority: RequestPriority,
    ) -> LookupResults {
        let mut results = LookupResults::new();
        self.read_records_of(JOBS, ids, priority, &mut results)
            .await;
        self.read_records_of(FINALS, ids, priority, &mut results)
            .await;
        results
    }

    /// Reads the records of jobs that have probably ended: final records are read
    /// first, and [`Self::lookup_all`] is used only for jobs that have none.
    pub(super) async fn lookup_ended(
        &self,
        ids: &[String],
        priority: RequestPriority,
    ) -> LookupResults {
        let mut results = LookupResults::new();
        self.read_records_of(FINALS, ids, priority, &mut results)
            .await;
        let remaining = without_result(ids, &results);
        if !remaining.is_empty() {
            let remaining: Vec<String> = remaining.into_iter().map(str::to_owned).collect();
            results.extend(self.lookup_all(&remaining, priority).await);
        }
        results
    }

    /// Reads the records under the prefix for the jobs that have no result yet. A job
    /// without a record there stays without a result.
    async fn read_records_of(
        &self,
        prefix: &str,
        ids: &[String],
        priority: RequestPriority,
        results: &mut LookupResults,
    ) {
        let remaining = without_result(ids, results);
        let NamedRead { items, unread } = self.read_some(prefix, remaining, priority).await;
        for UnreadName { name, error } in unread {
            results.insert(name, Err(error.to_string()));
        }
        // Items with version 0 stand for keys that don't exist.
        for item in items.into_iter().filter(|item| item.version > 0) {
            let id = item.key[prefix.len()..].to_owned();
            let found = self
                .decode_record(prefix, &id, item.value, item.version, priority)
                .await;
            if let Err(e) = &found {
                log::error!("failed to decode record {}: {e}", item.key);
            }
            results.insert(id, found.map_err(|e| e.to_string()));
        }
    }

    /// Decodes the record of a job. `prefix`: [`JOBS`] for a live record, [`FINALS`]
    /// for a final one.
    async fn decode_record(
        &self,
        prefix: &str,
        id: &str,
        value: serde_json::Value,
        version: u64,
        priority: RequestPriority,
    ) -> Result<Found, StoreError> {
        if prefix == JOBS {
            let record = self.complete_record(id, value, priority).await?;
            Ok(Found::Live(Box::new(record), version))
        } else {
            Ok(Found::Final(serde_json::from_value(value)?, version))
        }
    }

    /// Reads the keys of the given names under the prefix: one by one up to
    /// [`MAX_SINGLE_READS`] names, otherwise in pages.
    pub(super) async fn read_some(
        &self,
        prefix: &str,
        names: Vec<&str>,
        priority: RequestPriority,
    ) -> NamedRead {
        let mut result = NamedRead::default();
        let one_by_one = names.len() <= MAX_SINGLE_READS;
        let mut pages = PrefixRead::new(prefix, names);
        while let Some(PageRequest { after, max_keys }) = pages.next_page() {
            let read = match (
                self.take_lookup_request(priority).await,
                pages.unread().first(),
            ) {
                (Err(error), _) => Err(error),
                (Ok(()), Some(name)) if one_by_one => {
                    self.read_key(&format!("{prefix}{name}")).await
                }
                (Ok(()), _) => self.read_page(prefix, &after, max_keys).await,
            };
            match read {
                Ok(page) => {
                    let last_key = page.items.last().map(|item| item.key.clone());
                    let wanted = page.items.into_iter().filter(|item| pages.wants(&item.key));
                    result.items.extend(wanted);
                    pages.page_read(last_key.as_deref(), page.more);
                }
                Err(error) => {
                    let unread = pages.unread().iter().map(|name| UnreadName {
                        name: name.to_string(),
                        error: error.clone(),
                    });
                    result.unread.extend(unread);
                    break;
                }
            }
        }
        result
    }

    /// Reads one key, and returns it as a page that ends with this key. If the key
    /// doesn't exist, its item has version 0.
    async fn read_key(&self, key: &str) -> Result<Page, StoreError> {
        let item = self.get(key, LOOKUP_TIMEOUT).await?;
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

    async fn read_page(
        &self,
        prefix: &str,
        after: &str,
        max_keys: usize,
    ) -> Result<Page, StoreError> {
        let path = format!("/kv?under={prefix}&from={after}&most={max_keys}");
        let answer = self
            .call_store(Method::Get, &path, None, LOOKUP_TIMEOUT)
            .await?;
        match answer.status {
            200 => Ok(serde_json::from_slice(&answer.body)?),
            429 => Err(StoreError::OverLimit),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Sends a transaction. The caller charges the budgets.
    pub(super) async fn run_txn(&self, txn: &Txn, timeout: Duration) -> TxnResult {
        let changes = txn.writes.len() as u64;
        self.metrics.borrow().state_changes.inc_by(changes);
        let body = serde_json::to_vec(txn).unwrap_or_default();
        match self
            .call_store(Method::Post, "/txn", Some(body), timeout)
            .await
        {
            Ok(answer) => self.txn_result(&answer, changes),
            Err(CallError::NotSent(_)) => TxnResult::Refused,
            Err(CallError::NoAnswer(_) | CallError::TooLong) => TxnResult::Unknown,
        }
    }

    fn txn_result(&self, answer: &Answer, changes: u64) -> TxnResult {
        let decoded = serde_json::from_slice::<Revision>(&answer.body);
        match (answer.status, decoded) {
            (200, Ok(applied)) => TxnResult::Applied(applied.revision),
            (409, Ok(conflict)) => TxnResult::Conflict(conflict.failed),
            (429 | 503, _) => {
                self.metrics.borrow().state_refused.inc();
                TxnResult::Refused
            }
            (400, _) => {
                self.metrics.borrow().state_refused.inc();
                let logged_bytes = answer.body.len().min(MAX_LOGGED_BODY_BYTES);
                log::error!(
                    "the state service rejected a transaction of {changes} changes: {}",
                    String::from_utf8_lossy(&answer.body[..logged_bytes])
                );
                TxnResult::Rejected
            }
            _ => TxnResult::Unknown,
        }
    }

    /// Joins a job's record with its spec, which may be kept in chunks.
    async fn complete_record(
        &self,
        id: &str,
        value: serde_json::Value,
        priority: RequestPriority,
    ) -> Result<JobRecord, StoreError> {
        let stored: StoredJob = serde_json::from_value(value)?;
        self.with_spec(id, stored, priority).await
    }

    /// Joins a job's record that was decoded with its spec, which may be kept in
    /// chunks.
    pub(super) async fn with_spec(
        &self,
        id: &str,
        stored: StoredJob,
        priority: RequestPriority,
    ) -> Result<JobRecord, StoreError> {
        let items = match &stored.spec_chunks {
            Some(chunks) => self.list(&chunks.prefix(id), priority).await?,
            None => Vec::new(),
        };
        let texts = items.iter().filter_map(|item| item.value.as_str());
        stored
            .with_spec(|chunks| spec_chunks::join(chunks, texts))
            .map_err(|e| StoreError::IncompleteRecord {
                id: id.to_owned(),
                reason: format!("{e:#}"),
            })
    }

    /// Reads the record of one job, first the live one and then the final one.
    pub(super) async fn lookup(
        &self,
        id: &str,
        priority: RequestPriority,
    ) -> Result<Found, StoreError> {
        self.take_request(priority)?;
        if let Some(item) = self.get(&job_key(id), LOOKUP_TIMEOUT).await? {
            return self
                .decode_record(JOBS, id, item.value, item.version, priority)
                .await;
        }
        let now = self.now();
        self.budgets.charge_requests(now, priority, 1);
        match self.get(&final_key(id), LOOKUP_TIMEOUT).await? {
            Some(item) => {
                self.decode_record(FINALS, id, item.value, item.version, priority)
                    .await
            }
            None => Ok(Found::NoRecord),
        }
    }
}
