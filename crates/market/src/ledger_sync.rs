//! Writes queued changes to the records in the state service, with one
//! compare-and-swap transaction at a time: each key has the last known version as
//! its condition. A transaction without an answer is retried unchanged; if the
//! retry conflicts, the sequence key, which every transaction writes, shows
//! whether the first attempt was applied.
//!
//! The sequence key also makes a transaction fail that arrives late. Other
//! conditions may hold again by then: the condition that a key doesn't exist is
//! met again once the key has been deleted.

use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// The writes of one transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Key, version that the key must have (0: it must not exist), and the new
    /// value (`None`: delete).
    pub writes: Vec<(String, u64, Option<Value>)>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// Applied at this revision.
    Done(u64),
    /// Not applied: some key has another version than its condition demands.
    Conflict,
    /// Not applied, but may be retried: the request was not sent, or the state
    /// service refused it.
    Rejected,
    /// No answer: the transaction may have been applied or may still be.
    Unknown,
}

/// A request to the state service. Each step has its own number, and an answer
/// counts only for the step in flight: otherwise a late answer would be taken
/// for the answer to the next step.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    Write(u64, Change),
    Read(u64, String),
}

/// What an answer to a step means for the records.
#[derive(Debug, PartialEq)]
pub enum StepResult {
    Nothing,
    /// These keys and values (`None`: deleted) are durable now.
    Durable(Vec<(String, Option<Value>)>),
    /// Another broker has written the sequence key: this one must stop.
    Superseded,
}

/// State of the current transaction.
#[derive(Debug, PartialEq)]
enum InFlight {
    Idle,
    Writing(Change),
    /// The same transaction is to be sent again.
    Retry(Change),
    /// The sequence key is to be read, to learn whether the change was applied.
    PendingRead(Change),
    Reading(Change),
}

/// Queue of changes and the transaction that is in flight.
#[derive(Debug)]
pub struct LedgerSync {
    versions: BTreeMap<String, u64>,
    /// Groups of changes, in order. A group is never split between transactions.
    queue: VecDeque<Vec<(String, Option<Value>)>>,
    state: InFlight,
    last_step: u64,
    /// The broker's term. It is part of the sequence key's value, so that no
    /// value recurs in a later term.
    term: u64,
    max_writes: usize,
}

/// Key that every transaction writes with a new value.
pub const SEQUENCE_KEY: &str = "line";

impl LedgerSync {
    /// `max_writes`: number of writes that one transaction may have.
    pub fn new(max_writes: usize, term: u64) -> Self {
        LedgerSync {
            versions: BTreeMap::new(),
            queue: VecDeque::new(),
            state: InFlight::Idle,
            last_step: 0,
            term,
            // One write is reserved for the sequence key.
            max_writes: max_writes.max(3) - 1,
        }
    }

    /// Sets the version of a key that was read at the start of the term.
    pub fn set_version(&mut self, key: &str, version: u64) {
        self.versions.insert(key.to_owned(), version);
    }

    /// Returns the last known version of a key; 0: not known to exist.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Queues changes that must become durable in one transaction.
    pub fn enqueue(&mut self, group: Vec<(String, Option<Value>)>) {
        self.queue.push_back(group);
    }

    /// Returns the step to send next, unless one is in flight or nothing is queued.
    pub fn next_step(&mut self) -> Option<Step> {
        match std::mem::replace(&mut self.state, InFlight::Idle) {
            InFlight::Idle => {
                let change = self.next_change()?;
                self.state = InFlight::Writing(change.clone());
                self.last_step += 1;
                Some(Step::Write(self.last_step, change))
            }
            InFlight::Retry(change) => {
                self.state = InFlight::Writing(change.clone());
                self.last_step += 1;
                Some(Step::Write(self.last_step, change))
            }
            InFlight::PendingRead(change) => {
                self.state = InFlight::Reading(change);
                self.last_step += 1;
                Some(Step::Read(self.last_step, SEQUENCE_KEY.to_owned()))
            }
            busy @ (InFlight::Writing(_) | InFlight::Reading(_)) => {
                self.state = busy;
                None
            }
        }
    }

    /// Merges queued groups into one transaction, up to the limit of writes.
    fn next_change(&mut self) -> Option<Change> {
        let mut writes: Vec<(String, u64, Option<Value>)> = Vec::new();
        while let Some(group) = self.queue.front() {
            let new_keys = group
                .iter()
                .filter(|(k, _)| !writes.iter().any(|w| w.0 == *k))
                .count();
            if !writes.is_empty() && writes.len() + new_keys > self.max_writes {
                break;
            }
            for (key, value) in self.queue.pop_front().unwrap_or_default() {
                match writes.iter_mut().find(|w| w.0 == key) {
                    // The later value of a key replaces the earlier one.
                    Some(write) => write.2 = value,
                    None => {
                        let version = self.version(&key);
                        writes.push((key, version, value));
                    }
                }
            }
        }
        if writes.is_empty() {
            return None;
        }
        let sequence = json!([self.term, self.last_step]);
        writes.push((
            SEQUENCE_KEY.to_owned(),
            self.version(SEQUENCE_KEY),
            Some(sequence),
        ));
        Some(Change { writes })
    }

    fn on_applied(&mut self, change: Change, revision: u64) -> StepResult {
        let mut durable = Vec::new();
        for (key, _, value) in change.writes {
            match &value {
                Some(_) => self.versions.insert(key.clone(), revision),
                None => self.versions.remove(&key),
            };
            durable.push((key, value));
        }
        StepResult::Durable(durable)
    }

    /// Handles the outcome of a write step.
    pub fn on_write(&mut self, step: u64, outcome: WriteOutcome) -> StepResult {
        if step != self.last_step {
            return StepResult::Nothing;
        }
        let change = match std::mem::replace(&mut self.state, InFlight::Idle) {
            InFlight::Writing(change) => change,
            other => {
                self.state = other;
                return StepResult::Nothing;
            }
        };
        match outcome {
            WriteOutcome::Done(revision) => return self.on_applied(change, revision),
            WriteOutcome::Rejected | WriteOutcome::Unknown => self.state = InFlight::Retry(change),
            WriteOutcome::Conflict => self.state = InFlight::PendingRead(change),
        }
        StepResult::Nothing
    }

    /// Handles the answer to a read of the sequence key: its value and version,
    /// if it exists; `Err`: it could not be read.
    pub fn on_read(&mut self, step: u64, found: Result<Option<(Value, u64)>, ()>) -> StepResult {
        if step != self.last_step {
            return StepResult::Nothing;
        }
        let change = match std::mem::replace(&mut self.state, InFlight::Idle) {
            InFlight::Reading(change) => change,
            other => {
                self.state = other;
                return StepResult::Nothing;
            }
        };
        let Ok(found) = found else {
            self.state = InFlight::PendingRead(change);
            return StepResult::Nothing;
        };
        let sequence = change.writes.iter().find(|w| w.0 == SEQUENCE_KEY);
        let (version_before, our_value) = sequence.map_or((0, None), |w| (w.1, w.2.as_ref()));
        match found {
            Some((value, version)) if Some(&value) == our_value => self.on_applied(change, version),
            other if other.as_ref().map_or(0, |o| o.1) == version_before => {
                self.state = InFlight::Retry(change);
                StepResult::Nothing
            }
            _ => StepResult::Superseded,
        }
    }
}

#[cfg(test)]
mod tests;
