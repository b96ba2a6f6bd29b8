//! Where a leader stands in the notices of jobs that other nodes accepted.

use crate::{protocol::state::Watched, state::records};

/// What to do after an answer to the watch.
#[derive(Debug, PartialEq)]
pub enum Next {
    /// These keys were written: look at what they tell of, then watch on.
    Look(Vec<String>),
    /// The place is too old: list what stands, then watch on from there.
    List,
    /// It failed: not again at once.
    Pause,
}

#[derive(Debug)]
pub struct AcceptanceFeed {
    from: u64,
}

impl AcceptanceFeed {
    /// All since the term began are told of, and those before it were read
    /// with the other records.
    pub fn new(term: u64) -> Self {
        AcceptanceFeed { from: term }
    }

    /// The revision from which on they are not known.
    pub fn from(&self) -> u64 {
        self.from
    }

    pub fn path(&self, wait_ms: u64) -> String {
        let (under, from) = (records::ACCEPTANCES, self.from());
        format!("/watch?under={under}&from={from}&wait_ms={wait_ms}")
    }

    pub fn answered(&mut self, status: u16, body: &[u8]) -> Next {
        match (status, serde_json::from_slice::<Watched>(body)) {
            (200, Ok(w)) => {
                self.from = w.revision;
                Next::Look(w.events.into_iter().filter_map(|e| e.put).collect())
            }
            (410, _) => Next::List,
            _ => Next::Pause,
        }
    }

    /// They were listed as of this revision: what came later, the watch tells.
    /// Guards against taking the place from the keys listed: with none there
    /// it stayed too old, and the watch was asked again without a pause.
    pub fn listed(&mut self, revision: u64) {
        self.from = self.from.max(revision);
    }
}

#[cfg(test)]
mod tests;
