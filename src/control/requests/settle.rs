//! An acceptance of a term that had no answer, and may be carried out yet.
//! Guards against a job that stands in the records, and is called queued from
//! there, while the leader does not know of it.

use super::*;

/// Pauses before each look.
const PAUSES: [Millis; 4] = [2_000, 4_000, 8_000, 16_000];

#[derive(Debug)]
pub(super) struct Settle {
    term: u64,
    looks: usize,
}

impl Settle {
    pub(super) fn new(term: u64) -> Settle {
        Settle { term, looks: 0 }
    }

    pub(super) fn step(&mut self, id: &str, event: Event, view: &mut NodeView) -> Next {
        let now = view.now;
        // It leads no more: whoever does next reads the records.
        let Some(l) = view.of_term(self.term) else {
            return Next::Over;
        };
        match event {
            Event::Begin => self.pause(),
            Event::Waited if l.status(id).is_some() => Next::Over,
            Event::Waited => Next::Look(vec![id.to_owned()]),
            Event::LookupResults(mut found) => match found.remove(id) {
                Some(Ok(Found::Live(record, version))) => {
                    log::info!("job {id} was accepted late");
                    l.accepted(*record, version, now);
                    Next::Over
                }
                _ => {
                    self.looks += 1;
                    self.pause()
                }
            },
            _ => Next::Over,
        }
    }

    fn pause(&self) -> Next {
        PAUSES
            .get(self.looks)
            .map_or(Next::Over, |ms| Next::Wait(*ms))
    }
}
