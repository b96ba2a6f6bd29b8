//! Progress of an upgrade: which controllers run this version. Each controller writes a
//! version record to the key-value store when it first runs a version. Records in a
//! format that older versions can't read are written only once all controllers have
//! written a version record of this format.
//!
//! This module owns the version records as last read. Its loop is started once by the
//! process; the handlers of users' requests and the control loop check whether the
//! upgrade is complete.
//!
//! Invariant: the upgrade never counts as complete while the version record of a
//! controller is missing or of an older format.

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
/// Minimum time in milliseconds between two reads of the version records. A random time
/// of up to the same length is added, so that the controllers don't read
/// simultaneously.
const READ_INTERVAL_MS: u64 = 1_500;

/// Progress of the upgrade of all controllers to this version.
#[derive(Default)]
pub(super) struct Upgrade {
    /// Whether every controller has run this version. Stays set once it is, as a
    /// controller that ran this version is not started in an older version again.
    complete: Cell<bool>,
    /// Version records by controller, as last read.
    records: RefCell<BTreeMap<String, VersionRecord>>,
}

impl Upgrade {
    /// Whether records that only this version can read may be written.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Returns the version that each of the given controllers runs; `None` stands for a
    /// version that writes no version record.
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

    /// Replaces the version records, and marks the upgrade as complete if each of the
    /// given controllers has a record of this format or a newer one.
    fn update_records<'a>(
        &self,
        records: BTreeMap<String, VersionRecord>,
        mut nodes: impl Iterator<Item = &'a str>,
    ) {
        let all_upgraded = nodes.all(|node| {
            records
                .get(node)
                .is_some_and(|record| record.format >= FORMAT)
        });
        if all_upgraded && !self.complete.replace(true) {
            log::info!(
                "upgrade complete: all controllers run this version, its record formats are now used"
            );
        }
        *self.records.borrow_mut() = records;
    }
}

/// Writes this controller's version record, then reads the records until the upgrade is
/// complete.
pub async fn run(node: Rc<Node>) {
    while let Err(e) = node.write_version_record().await {
        log::debug!("failed to write the version record of this controller: {e}");
        Timer::after(RETRY_PAUSE).await;
    }
    while !node.check_upgrade_complete().await {
        let jitter_ms = fastrand::u64(0..READ_INTERVAL_MS);
        Timer::after(Duration::from_millis(READ_INTERVAL_MS + jitter_ms)).await;
    }
}

impl Node {
    /// Returns the names of all controllers.
    fn controller_names(&self) -> impl Iterator<Item = &str> {
        let peers = self.settings.peers.iter().map(|peer| peer.name.as_str());
        peers.chain([self.settings.name.as_str()])
    }

    /// Returns the names of all controllers, with their versions as far as this node
    /// knows them.
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
            TxnResult::Applied(_) => Ok(()),
            _ => Err(StoreError::NotWritten),
        }
    }

    /// Whether every controller has run this version. Reads the version records unless
    /// the upgrade is known to be complete.
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
                    .update_records(records.collect(), self.controller_names());
            }
            Err(e) => log::debug!("failed to read the version records of the controllers: {e}"),
        }
        self.upgrade.is_complete()
    }
}

#[cfg(test)]
mod tests;
