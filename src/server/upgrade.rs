//! Which controllers run this version. Each writes a version record to the
//! key-value store when it first runs it; what older versions can't read is written
//! only once all controllers have done so.
//!
//! Owns: the version records as last read. Its loop is started once by the process;
//! the steps of users' requests ask whether the upgrade is complete.
//!
//! Must never: take the upgrade for complete while a controller's record is missing
//! or of an older format.

use super::{
    Node,
    store::{STATE_TIMEOUT, StoreError},
};
use crate::{
    control::requests::TxnResult,
    protocol::state::{Condition, Txn, Write},
    state::{
        records::{FORMAT, VERSIONS, VersionRecord, version_key},
        request_budget::RequestPriority,
    },
};
use async_io::Timer;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

/// Pause after a failed attempt to write the version record.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Shortest time between two reads of the version records; up to as much again is
/// added at random, so that the controllers don't read at the same moment.
const READ_INTERVAL_MS: u64 = 1_500;

/// How far the upgrade to this version has come.
#[derive(Default)]
pub(super) struct Upgrade {
    /// Every controller has run this version. It stays so: one that has is not
    /// started in an older version again.
    complete: Cell<bool>,
    /// Version records by controller, as last read.
    records: RefCell<BTreeMap<String, VersionRecord>>,
}

impl Upgrade {
    /// What only this version can read may be written.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// The version that each controller runs; `None`: an older one.
    pub(super) fn versions<'a>(
        &self,
        nodes: impl Iterator<Item = &'a str>,
    ) -> Vec<(String, Option<String>)> {
        let records = self.records.borrow();
        nodes
            .map(|node| {
                let version = records.get(node).map(|record| record.program.clone());
                (node.to_owned(), version)
            })
            .collect()
    }

    fn learned<'a>(
        &self,
        records: BTreeMap<String, VersionRecord>,
        mut nodes: impl Iterator<Item = &'a str>,
    ) {
        let all_run_it = nodes.all(|node| {
            records
                .get(node)
                .is_some_and(|record| record.format >= FORMAT)
        });
        if all_run_it && !self.complete.replace(true) {
            log::info!("all controllers run this version: its records may be used");
        }
        *self.records.borrow_mut() = records;
    }
}

/// Writes this version's record, then waits until all controllers have done so.
pub async fn run(node: Rc<Node>) {
    while let Err(e) = node.write_version_record().await {
        log::debug!("recording this version: {e}");
        Timer::after(RETRY_PAUSE).await;
    }
    while !node.check_upgrade_complete().await {
        let jitter_ms = fastrand::u64(0..READ_INTERVAL_MS);
        Timer::after(Duration::from_millis(READ_INTERVAL_MS + jitter_ms)).await;
    }
}

impl Node {
    /// The names of all controllers.
    fn controller_names(&self) -> impl Iterator<Item = &str> {
        let peers = self.settings.peers.iter().map(|peer| peer.name.as_str());
        peers.chain([self.settings.name.as_str()])
    }

    /// Controllers and their versions, as far as this node knows.
    pub(super) fn versions(&self) -> Vec<(String, Option<String>)> {
        let mut list = self.upgrade.versions(self.controller_names());
        list.sort();
        list
    }

    async fn write_version_record(&self) -> Result<(), StoreError> {
        let key = version_key(&self.settings.name);
        let own = VersionRecord {
            format: FORMAT,
            program: env!("CARGO_PKG_VERSION").to_owned(),
        };
        if !self.may_request(RequestPriority::Listing) {
            return Err(StoreError::OverRequestBudget);
        }
        let found = self.get(&key, STATE_TIMEOUT).await?;
        let version = found.as_ref().map_or(0, |item| item.version);
        let is_written = found.is_some_and(|item| {
            serde_json::from_value::<VersionRecord>(item.value).is_ok_and(|record| record == own)
        });
        if is_written {
            return Ok(());
        }
        let now = self.now();
        if !self.budgets.take_changes(now, 1.0) || !self.may_request(RequestPriority::Acceptance) {
            return Err(StoreError::OverWriteBudget);
        }
        let txn = Txn {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write::Put {
                key,
                value: serde_json::to_value(own).unwrap_or_default(),
                lease: None,
            }],
        };
        match self.run_txn(&txn, STATE_TIMEOUT).await {
            TxnResult::Done(_) => Ok(()),
            _ => Err(StoreError::NotWritten),
        }
    }

    /// Whether every controller has run this version; reads the records unless that
    /// is known.
    pub(super) async fn check_upgrade_complete(&self) -> bool {
        if self.upgrade.is_complete() {
            return true;
        }
        match self.list(VERSIONS, RequestPriority::Acceptance).await {
            Ok(items) => {
                let records = items.into_iter().filter_map(|item| {
                    let node = item.key.strip_prefix(VERSIONS)?.to_owned();
                    Some((node, serde_json::from_value(item.value).ok()?))
                });
                self.upgrade
                    .learned(records.collect(), self.controller_names());
            }
            Err(e) => log::debug!("reading the versions of the controllers: {e}"),
        }
        self.upgrade.is_complete()
    }
}

#[cfg(test)]
mod tests;
