//! The standby registry: holds the record that names the standbys that count, and
//! decides which write of it may be made.
//!
//! Owned by `Standbys`. While the outcome of a write is unknown, the standbys that it
//! names count too.

use super::RegistryWriteOutcome;
use crate::{
    protocol::state::{Condition, Txn, Write},
    state::{
        Millis,
        records::{LEADER, STANDBYS, StandbyRecord},
    },
};

/// Delay before the next write after one that was refused.
const RETRY_DELAY_MS: Millis = 200;

/// The standby record with its version, and the writes of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct StandbyRegistry {
    /// The record as last read or written.
    record: Option<StandbyRecord>,
    version: u64,
    /// Records of writes with an unknown outcome: each may be in the store, or may
    /// still be applied until a later version of the record is known.
    indeterminate: Vec<StandbyRecord>,
    write_in_flight: bool,
    retry_at: Millis,
}

impl StandbyRegistry {
    pub(super) fn from_stored(stored: Option<(StandbyRecord, u64)>) -> Self {
        let mut registry = StandbyRegistry::default();
        registry.set_record(stored);
        registry
    }

    fn set_record(&mut self, stored: Option<(StandbyRecord, u64)>) {
        let version = stored.as_ref().map_or(0, |(_, v)| *v);
        self.record = stored.map(|(r, _)| r);
        if version != self.version {
            // Writes conditional on the previous version cannot be applied any more.
            self.indeterminate.clear();
        }
        self.version = version;
    }

    /// Whether the record names no standby of another term. Such a standby would not
    /// know of a task started now.
    pub(super) fn belongs_to(&self, term: u64) -> bool {
        self.record
            .as_ref()
            .is_none_or(|r| r.term == term || r.standbys.is_empty())
    }

    /// Returns all standbys that the record of `term` names, or that a write with an
    /// unknown outcome may name.
    pub(super) fn counted_standbys(&self, term: u64) -> impl Iterator<Item = &(String, u64)> {
        let all = self.record.iter().chain(&self.indeterminate);
        all.filter(move |r| r.term == term)
            .flat_map(|r| &r.standbys)
    }

    pub(super) fn known_to_all(&self) -> bool {
        self.record.as_ref().is_some_and(|r| r.known_to_all)
    }

    /// Returns the write of the wanted record, unless the record is up to date or a
    /// write is in flight.
    pub(super) fn plan(&mut self, wanted: StandbyRecord, now: Millis) -> Option<Txn> {
        if self.write_in_flight || now < self.retry_at {
            return None;
        }
        let empty_record = StandbyRecord::default();
        let current = self.record.as_ref().unwrap_or(&empty_record);
        let same_content =
            current.standbys == wanted.standbys && current.known_to_all == wanted.known_to_all;
        // The term of the record matters only if the record names a standby.
        let same_term = wanted.standbys.is_empty() || current.term == wanted.term;
        if same_content && same_term && self.indeterminate.is_empty() {
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

    pub(super) fn write_finished(&mut self, outcome: RegistryWriteOutcome, now: Millis) {
        self.write_in_flight = false;
        match outcome {
            RegistryWriteOutcome::Done(version) => {
                let record = self.indeterminate.pop();
                self.set_record(record.map(|r| (r, version)));
                if let Some(r) = &self.record {
                    let names: Vec<&str> = r.standbys.iter().map(|(n, _)| n.as_str()).collect();
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
