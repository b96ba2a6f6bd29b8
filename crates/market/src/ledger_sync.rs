//! Brings the records to what is wanted: one transaction at a time, each key
//! guarded by the version last known. What had no answer is made again as it
//! was; if that conflicts, a key that every transaction writes shows whether
//! it was applied.
//!
//! That key, the line, is also what makes a transaction fail that comes late:
//! a guard that a key doesn't exist holds again once the key is deleted.

use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Key, version that it must have (0: none), and what to write (`None`:
    /// delete).
    pub writes: Vec<(String, u64, Option<Value>)>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// Applied, as this revision.
    Done(u64),
    /// Some key has another version.
    Conflict,
    /// Refused for now: nothing was applied.
    Rejected,
    /// No answer: it may have been applied, or may still be.
    Unknown,
}

/// What the books want done. Each step has a number of its own, and an answer
/// counts only for the step that is under way: one that comes late would
/// otherwise be taken for the answer to the next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    Write(u64, Change),
    Read(u64, String),
}

/// What came of it.
#[derive(Debug, PartialEq)]
pub enum StepResult {
    Nothing,
    /// These are durable now.
    Durable(Vec<(String, Option<Value>)>),
    /// Someone else has written: this broker must stop.
    Superseded,
}

#[derive(Debug, PartialEq)]
enum InFlight {
    Idle,
    Writing(Change),
    /// To be made again.
    Retry(Change),
    PendingRead(Change),
    Reading(Change),
}

#[derive(Debug)]
pub struct LedgerSync {
    versions: BTreeMap<String, u64>,
    /// Groups that belong into one transaction, in order.
    queue: VecDeque<Vec<(String, Option<Value>)>>,
    flight: InFlight,
    steps: u64,
    /// The broker's term: the line's values never recur.
    term: u64,
    most: usize,
}

/// Written by every transaction.
pub const SEQUENCE_KEY: &str = "line";

impl LedgerSync {
    /// `most`: writes that one transaction may have.
    pub fn new(most: usize, term: u64) -> Self {
        LedgerSync {
            versions: BTreeMap::new(),
            queue: VecDeque::new(),
            flight: InFlight::Idle,
            steps: 0,
            term,
            // One of them is for the line.
            most: most.max(3) - 1,
        }
    }

    pub fn loaded(&mut self, key: &str, version: u64) {
        self.versions.insert(key.to_owned(), version);
    }

    /// 0: the key isn't known to exist.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    pub fn want(&mut self, group: Vec<(String, Option<Value>)>) {
        self.queue.push_back(group);
    }

    pub fn next_step(&mut self) -> Option<Step> {
        match std::mem::replace(&mut self.flight, InFlight::Idle) {
            InFlight::Idle => {
                let change = self.gather()?;
                self.flight = InFlight::Writing(change.clone());
                self.steps += 1;
                Some(Step::Write(self.steps, change))
            }
            InFlight::Retry(change) => {
                self.flight = InFlight::Writing(change.clone());
                self.steps += 1;
                Some(Step::Write(self.steps, change))
            }
            InFlight::PendingRead(change) => {
                self.flight = InFlight::Reading(change);
                self.steps += 1;
                Some(Step::Read(self.steps, SEQUENCE_KEY.to_owned()))
            }
            busy @ (InFlight::Writing(_) | InFlight::Reading(_)) => {
                self.flight = busy;
                None
            }
        }
    }

    fn gather(&mut self) -> Option<Change> {
        let mut writes: Vec<(String, u64, Option<Value>)> = Vec::new();
        while let Some(group) = self.queue.front() {
            let new = group
                .iter()
                .filter(|(k, _)| !writes.iter().any(|w| w.0 == *k))
                .count();
            if !writes.is_empty() && writes.len() + new > self.most {
                break;
            }
            for (key, value) in self.queue.pop_front().unwrap_or_default() {
                match writes.iter_mut().find(|w| w.0 == key) {
                    // The later value of a key holds.
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
        let line = json!([self.term, self.steps]);
        writes.push((
            SEQUENCE_KEY.to_owned(),
            self.version(SEQUENCE_KEY),
            Some(line),
        ));
        Some(Change { writes })
    }

    fn applied(&mut self, change: Change, revision: u64) -> StepResult {
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

    pub fn wrote(&mut self, step: u64, wrote: WriteOutcome) -> StepResult {
        if step != self.steps {
            return StepResult::Nothing;
        }
        let change = match std::mem::replace(&mut self.flight, InFlight::Idle) {
            InFlight::Writing(change) => change,
            other => {
                self.flight = other;
                return StepResult::Nothing;
            }
        };
        match wrote {
            WriteOutcome::Done(revision) => return self.applied(change, revision),
            WriteOutcome::Rejected | WriteOutcome::Unknown => self.flight = InFlight::Retry(change),
            WriteOutcome::Conflict => self.flight = InFlight::PendingRead(change),
        }
        StepResult::Nothing
    }

    /// What the line holds, with its version; `Err`: it could not be read.
    pub fn read(&mut self, step: u64, found: Result<Option<(Value, u64)>, ()>) -> StepResult {
        if step != self.steps {
            return StepResult::Nothing;
        }
        let change = match std::mem::replace(&mut self.flight, InFlight::Idle) {
            InFlight::Reading(change) => change,
            other => {
                self.flight = other;
                return StepResult::Nothing;
            }
        };
        let Ok(found) = found else {
            self.flight = InFlight::PendingRead(change);
            return StepResult::Nothing;
        };
        let line = change.writes.iter().find(|w| w.0 == SEQUENCE_KEY);
        let (before, ours) = line.map_or((0, None), |w| (w.1, w.2.as_ref()));
        match found {
            Some((value, version)) if Some(&value) == ours => self.applied(change, version),
            other if other.as_ref().map_or(0, |o| o.1) == before => {
                self.flight = InFlight::Retry(change);
                StepResult::Nothing
            }
            _ => StepResult::Superseded,
        }
    }
}

#[cfg(test)]
mod tests;
