//! The leader's position in the feed of jobs that followers accepted.
//!
//! Owns: the revision up to which the feed has been read, and what follows from an
//! answer of the watch. Called by the leader's load loop in `server::leadership` and
//! by the simulation in `tests/`.
//!
//! Must never: move past an entry that was not read.

use crate::{protocol::state::Watched, state::records};

/// What to do after an answer of the watch.
#[derive(Debug, PartialEq)]
pub enum Next {
    /// These entries were written: look up their jobs, then watch on.
    Look(Vec<String>),
    /// The position is too old: list the entries, then watch on from there.
    List,
    /// The watch failed: pause before the next.
    Pause,
}

/// A position in the feed.
#[derive(Debug)]
pub struct AcceptanceFeed {
    revision: u64,
}

impl AcceptanceFeed {
    /// From the beginning of the term on; earlier entries are loaded with the other
    /// records.
    pub fn new(term: u64) -> Self {
        AcceptanceFeed { revision: term }
    }

    /// The revision after which entries are unread.
    pub fn from(&self) -> u64 {
        self.revision
    }

    /// The path of a watch that waits this long for new entries.
    pub fn path(&self, wait_ms: u64) -> String {
        let (under, from) = (records::ACCEPTANCES, self.from());
        format!("/watch?under={under}&from={from}&wait_ms={wait_ms}")
    }

    /// Takes the answer of the watch.
    pub fn answered(&mut self, status: u16, body: &[u8]) -> Next {
        match (status, serde_json::from_slice::<Watched>(body)) {
            (200, Ok(watched)) => {
                self.revision = watched.revision;
                let entries = watched.events.into_iter().filter_map(|event| event.put);
                Next::Look(entries.collect())
            }
            (410, _) => Next::List,
            _ => Next::Pause,
        }
    }

    /// The entries were listed as of this revision; the watch reports later ones. The
    /// revision counts rather than the listed keys: with none listed, the position
    /// would stay too old, and the watch would fail again at once.
    pub fn listed(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }
}

#[cfg(test)]
mod tests;
