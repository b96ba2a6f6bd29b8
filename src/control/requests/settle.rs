//! Follow-up of an acceptance whose write got no response: its outcome is unknown, and
//! the write may still be applied later. Reads the record a few times and lets the
//! leader adopt the job. Guards against a job that is in the records, and is reported
//! as queued from there, while the leader does not know of it. Called by `request`; no
//! user waits for the result, and the follow-up must never answer one.

use super::{Event, Found, Next, NodeView};
use crate::state::Millis;

/// Pauses before each read of the record.
const READ_PAUSES_MS: [Millis; 4] = [2_000, 4_000, 8_000, 16_000];

/// An acceptance with an unknown outcome.
#[derive(Debug)]
pub(super) struct Settle {
    /// The term in which the acceptance was written.
    term: u64,
    reads: usize,
}

impl Settle {
    pub(super) fn new(term: u64) -> Settle {
        Settle { term, reads: 0 }
    }

    pub(super) fn step(&mut self, id: &str, event: Event, view: &mut NodeView) -> Next {
        let now = view.now;
        // This node no longer leads; the next leader reads the records.
        let Some(leader) = view.of_term(self.term) else {
            return Next::Finished;
        };
        match event {
            Event::Arrived => self.pause(),
            Event::Waited if leader.status(id).is_some() => Next::Finished,
            Event::Waited => Next::LookUp(vec![id.to_owned()]),
            Event::LookupResults(mut results) => match results.remove(id) {
                Some(Ok(Found::Live(record, version))) => {
                    log::info!(
                        "job {id}: the leader adopts an acceptance whose write had an unknown outcome"
                    );
                    leader.accepted(*record, version, now);
                    Next::Finished
                }
                _ => {
                    self.reads += 1;
                    self.pause()
                }
            },
            _ => Next::Finished,
        }
    }

    fn pause(&self) -> Next {
        READ_PAUSES_MS
            .get(self.reads)
            .map_or(Next::Finished, |ms| Next::Wait(*ms))
    }
}
