//! Where a leader stands in the notices of jobs that other nodes accepted.

use crate::{bookkeeping::records, protocol::state::Watched};

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
pub struct Notices {
    from: u64,
}

impl Notices {
    /// All since the term began are told of, and those before it were read
    /// with the other records.
    pub fn new(term: u64) -> Self {
        Notices { from: term }
    }

    pub fn path(&self, wait_ms: u64) -> String {
        let (under, from) = (records::NOTICES, self.from);
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
mod tests {
    use super::*;

    #[test]
    fn a_place_that_is_too_old_moves_to_the_revision_of_an_empty_list() {
        let mut n = Notices::new(7);
        let told = br#"{"ledger_rev":9,"log":[{"set":"n/j-000001","key_rev":8},{"drop":"n/x"}]}"#;
        assert_eq!(
            n.answered(200, told),
            Next::Look(vec!["n/j-000001".to_owned()])
        );
        assert_eq!(n.answered(410, b"{}"), Next::List);
        n.listed(20_000);
        assert!(n.path(5).ends_with("from=20000&wait_ms=5"));
        // An answer that can't be read, like one that is none, is no news.
        assert_eq!(n.answered(200, b"<"), Next::Pause);
        assert_eq!(n.answered(503, b""), Next::Pause);
        assert!(n.path(5).contains("from=20000&"));
    }
}
