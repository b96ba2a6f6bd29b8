//! Which controllers run this version. Each leaves a mark in the store when it
//! first runs it; what older ones can't read is written only once all have.

use super::{
    Node,
    store::{STATE_TIMEOUT, StoreError},
};
use crate::{
    control::requests::TxnResult,
    protocol::state::{Condition, Txn, Write},
    state::records::{FORMAT, VERSIONS, VersionRecord, version_key},
};
use async_io::Timer;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

const SOON: Duration = Duration::from_millis(500);
/// Between two looks at the marks of the others.
const LOOK: u64 = 1_500;

#[derive(Default)]
pub(super) struct Upgrade {
    /// Every controller has run this version. It stays so: one that has is not
    /// started in an older version again.
    complete: Cell<bool>,
    /// Marks as last read.
    seen: RefCell<BTreeMap<String, VersionRecord>>,
}

impl Upgrade {
    /// What only this version can read may be written.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Controllers with what each was seen to run; `None`: an older version.
    pub(super) fn versions<'a>(
        &self,
        nodes: impl Iterator<Item = &'a str>,
    ) -> Vec<(String, Option<String>)> {
        let seen = self.seen.borrow();
        nodes
            .map(|n| (n.to_owned(), seen.get(n).map(|v| v.program.clone())))
            .collect()
    }

    fn learned<'a>(
        &self,
        seen: BTreeMap<String, VersionRecord>,
        mut nodes: impl Iterator<Item = &'a str>,
    ) {
        let all = nodes.all(|n| seen.get(n).is_some_and(|v| v.format >= FORMAT));
        if all && !self.complete.replace(true) {
            log::info!("all controllers run this version: its records may be used");
        }
        *self.seen.borrow_mut() = seen;
    }
}

pub async fn run(node: Rc<Node>) {
    while let Err(e) = node.leave_mark().await {
        log::debug!("recording this version: {e}");
        Timer::after(SOON).await;
    }
    while !node.upgraded().await {
        // Not all at the same moment.
        Timer::after(Duration::from_millis(LOOK + fastrand::u64(0..LOOK))).await;
    }
}

impl Node {
    fn names(&self) -> impl Iterator<Item = &str> {
        let peers = self.settings.peers.iter().map(|p| p.name.as_str());
        peers.chain([self.settings.name.as_str()])
    }

    /// Controllers and their versions, as far as this node knows.
    pub(super) fn versions(&self) -> Vec<(String, Option<String>)> {
        let mut list = self.upgrade.versions(self.names());
        list.sort();
        list
    }

    async fn leave_mark(&self) -> Result<(), StoreError> {
        let key = version_key(&self.settings.name);
        let own = VersionRecord {
            format: FORMAT,
            program: env!("CARGO_PKG_VERSION").to_owned(),
        };
        if !self.may_request(2.0) {
            return Err(StoreError::OverRequestBudget);
        }
        let found = self.get(&key, STATE_TIMEOUT).await?;
        let version = found.as_ref().map_or(0, |i| i.version);
        let same = found.is_some_and(|i| {
            serde_json::from_value::<VersionRecord>(i.value).is_ok_and(|v| v == own)
        });
        if same {
            return Ok(());
        }
        let now = self.now();
        if !self.budgets.take_changes(now, 1.0) || !self.may_request(1.0) {
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
        match self.txn(&txn, STATE_TIMEOUT).await {
            TxnResult::Done(_) => Ok(()),
            _ => Err(StoreError::NotWritten),
        }
    }

    /// Whether every controller has run this version, looking if that was not
    /// so yet.
    pub(super) async fn upgraded(&self) -> bool {
        if self.upgrade.is_complete() {
            return true;
        }
        match self.list(VERSIONS).await {
            Ok(items) => {
                let marks = items.into_iter().filter_map(|i| {
                    let node = i.key.strip_prefix(VERSIONS)?.to_owned();
                    Some((node, serde_json::from_value(i.value).ok()?))
                });
                self.upgrade.learned(marks.collect(), self.names());
            }
            Err(e) => log::debug!("reading the versions of the controllers: {e}"),
        }
        self.upgrade.is_complete()
    }
}

#[cfg(test)]
mod tests;
