//! The standby registry: the record of who counts as a standby, and which write of it
//! may be made.
//!
//! Owned by `Standbys`. While the outcome of a write is unknown, whoever it names counts
//! too.

use super::RegistryWriteOutcome;
use crate::{
    protocol::state::{Condition, Txn, Write},
    state::{
        Millis,
        records::{LEADER, STANDBYS, StandbyRecord},
    },
};

/// After a write that was refused.
const RETRY_DELAY_MS: Millis = 200;

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct StandbyRegistry {
    /// As it was last known to stand, with its version.
    record: Option<StandbyRecord>,
    version: u64,
    /// Written without an answer so far: each may stand, or may come to stand
    /// until a later version is known.
    indeterminate: Vec<StandbyRecord>,
    write_in_flight: bool,
    retry_at: Millis,
}

impl StandbyRegistry {
    pub(super) fn found(found: Option<(StandbyRecord, u64)>) -> Self {
        let mut registry = StandbyRegistry::default();
        registry.set_record(found);
        registry
    }

    fn set_record(&mut self, found: Option<(StandbyRecord, u64)>) {
        let version = found.as_ref().map_or(0, |(_, v)| *v);
        self.record = found.map(|(r, _)| r);
        if version != self.version {
            // What was guarded by the version before can't be applied now.
            self.indeterminate.clear();
        }
        self.version = version;
    }

    /// Nobody is named of an earlier term: a start now would be one that they
    /// don't know of.
    pub(super) fn belongs_to(&self, term: u64) -> bool {
        self.record
            .as_ref()
            .is_none_or(|r| r.term == term || r.named.is_empty())
    }

    /// All whom the record names, or may come to name.
    pub(super) fn counted_standbys(&self, term: u64) -> impl Iterator<Item = &(String, u64)> {
        let all = self.record.iter().chain(&self.indeterminate);
        all.filter(move |r| r.term == term).flat_map(|r| &r.named)
    }

    pub(super) fn known_to_all(&self) -> bool {
        self.record.as_ref().is_some_and(|r| r.known_to_all)
    }

    /// Writes what is wanted, unless it stands, or a write is on its way.
    pub(super) fn plan(&mut self, wanted: StandbyRecord, now: Millis) -> Option<Txn> {
        if self.write_in_flight || now < self.retry_at {
            return None;
        }
        let nobody = StandbyRecord::default();
        let stands = self.record.as_ref().unwrap_or(&nobody);
        let same = stands.named == wanted.named && stands.known_to_all == wanted.known_to_all;
        // Whose record it is matters only where somebody is named.
        let own = wanted.named.is_empty() || stands.term == wanted.term;
        if same && own && self.indeterminate.is_empty() {
            return None;
        }
        let term = wanted.term;
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        self.write_in_flight = true;
        self.indeterminate.push(wanted);
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

    pub(super) fn write_finished(&mut self, how: RegistryWriteOutcome, now: Millis) {
        self.write_in_flight = false;
        match how {
            RegistryWriteOutcome::Done(version) => {
                let record = self.indeterminate.pop();
                self.set_record(record.map(|r| (r, version)));
                if let Some(r) = &self.record {
                    let names: Vec<&str> = r.named.iter().map(|(n, _)| n.as_str()).collect();
                    log::info!("standbys of term {}: {}", r.term, names.join(", "));
                }
            }
            RegistryWriteOutcome::Refused => {
                self.indeterminate.pop();
                self.retry_at = now + RETRY_DELAY_MS;
            }
            RegistryWriteOutcome::Reread(found) => {
                self.set_record(found);
                self.retry_at = now + RETRY_DELAY_MS / 4;
            }
        }
    }
}
