//! The leader's position in the feed of jobs that followers accepted.
//!
//! Owns: the revision up to which the feed has been read, and the action that follows
//! from a response to the watch. Called by the leader's load loop in
//! `server::leadership` and by the simulation in `tests/`.
//!
//! Must never: move past an entry that was not read.

use crate::{protocol::state::Watched, state::records};

/// The action to perform after a response to the watch.
#[derive(Debug, PartialEq)]
pub enum Next {
    /// These entries were written: look up their jobs, then continue the watch.
    LookUp(Vec<String>),
    /// The position is older than the revisions that the watch still provides: list the
    /// entries, then continue the watch from the revision of the list.
    List,
    /// The watch failed: pause before the next one.
    Pause,
}

/// A position in the feed.
#[derive(Debug)]
pub struct AcceptanceFeed {
    revision: u64,
}

impl AcceptanceFeed {
    /// Starts at the beginning of the term; earlier entries are loaded with the other
    /// records.
    pub fn new(term: u64) -> Self {
        AcceptanceFeed { revision: term }
    }

    /// Returns the revision after which entries are unread.
    pub fn from(&self) -> u64 {
        self.revision
    }

    /// Returns the path of a watch request that waits up to `wait_ms` for new entries.
    pub fn path(&self, wait_ms: u64) -> String {
        let (under, from) = (records::ACCEPTANCES, self.from());
        format!("/watch?under={under}&from={from}&wait_ms={wait_ms}")
    }

    /// Applies a response to the watch.
    pub fn answered(&mut self, status: u16, body: &[u8]) -> Next {
        match (status, serde_json::from_slice::<Watched>(body)) {
            (200, Ok(watched)) => {
                self.revision = watched.revision;
                let entries = watched.events.into_iter().filter_map(|event| event.put);
                Next::LookUp(entries.collect())
            }
            (410, _) => Next::List,
            _ => Next::Pause,
        }
    }

    /// Records that the entries were listed as of this revision; the watch then reports
    /// later ones. The position follows the revision of the list rather than the listed
    /// keys: if the list is empty, the position would otherwise stay too old and the
    /// watch would fail again at once.
    pub fn listed(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }
}

#[cfg(test)]
mod tests;
