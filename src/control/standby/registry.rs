//! The record of who counts as a standby, and what of it may be written.

use super::Written;
use crate::{
    protocol::state::{Condition, Txn, Write},
    state::{
        Ms,
        records::{LEADER, STANDBYS, StandbyRecord},
    },
};

/// After a write that was refused.
const RETRY: Ms = 200;

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Roll {
    /// As it was last known to stand, with its version.
    record: Option<StandbyRecord>,
    version: u64,
    /// Written without an answer so far: each may stand, or may come to stand
    /// until a later version is known.
    open: Vec<StandbyRecord>,
    writing: bool,
    retry_at: Ms,
}

impl Roll {
    pub(super) fn found(found: Option<(StandbyRecord, u64)>) -> Self {
        let mut roll = Roll::default();
        roll.stands(found);
        roll
    }

    fn stands(&mut self, found: Option<(StandbyRecord, u64)>) {
        let version = found.as_ref().map_or(0, |(_, v)| *v);
        self.record = found.map(|(r, _)| r);
        if version != self.version {
            // What was guarded by the version before can't be applied now.
            self.open.clear();
        }
        self.version = version;
    }

    /// Nobody is named of an earlier term: a start now would be one that they
    /// don't know of.
    pub(super) fn is_own(&self, term: u64) -> bool {
        self.record
            .as_ref()
            .is_none_or(|r| r.term == term || r.named.is_empty())
    }

    /// All whom the record names, or may come to name.
    pub(super) fn counted(&self, term: u64) -> impl Iterator<Item = &(String, u64)> {
        let all = self.record.iter().chain(&self.open);
        all.filter(move |r| r.term == term).flat_map(|r| &r.named)
    }

    pub(super) fn known_to_all(&self) -> bool {
        self.record.as_ref().is_some_and(|r| r.known_to_all)
    }

    /// Writes what is wanted, unless it stands, or a write is on its way.
    pub(super) fn plan(&mut self, wanted: StandbyRecord, now: Ms) -> Option<Txn> {
        if self.writing || now < self.retry_at {
            return None;
        }
        let nobody = StandbyRecord::default();
        let stands = self.record.as_ref().unwrap_or(&nobody);
        let same = stands.named == wanted.named && stands.known_to_all == wanted.known_to_all;
        // Whose record it is matters only where somebody is named.
        let own = wanted.named.is_empty() || stands.term == wanted.term;
        if same && own && self.open.is_empty() {
            return None;
        }
        let term = wanted.term;
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        self.writing = true;
        self.open.push(wanted);
        Some(Txn {
            conditions: vec![
                Condition {
                    key: LEADER.into(),
                    version: term,
                },
                Condition {
                    key: STANDBYS.into(),
                    version: self.version,
                },
            ],
            writes: vec![Write::Put {
                key: STANDBYS.into(),
                value,
                lease: None,
            }],
        })
    }

    pub(super) fn written(&mut self, how: Written, now: Ms) {
        self.writing = false;
        match how {
            Written::Done(version) => {
                let record = self.open.pop();
                self.stands(record.map(|r| (r, version)));
                if let Some(r) = &self.record {
                    let names: Vec<&str> = r.named.iter().map(|(n, _)| n.as_str()).collect();
                    log::info!("standbys of term {}: {}", r.term, names.join(", "));
                }
            }
            Written::Refused => {
                self.open.pop();
                self.retry_at = now + RETRY;
            }
            Written::Reread(found) => {
                self.stands(found);
                self.retry_at = now + RETRY / 4;
            }
        }
    }
}
