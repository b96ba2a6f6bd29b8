//! What an answer to a user rests on: from where a job's state was read, and
//! when.

use super::{Event, Found};
use crate::{protocol::users::JobStatus, state::Millis};

/// A job's state as another node or the state service gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// When the read was begun, by this node's clock: older than that it is
    /// not.
    pub started_at: Millis,
    /// `None`: the leader can't say, or no record stands.
    pub status: Option<JobStatus>,
    /// Version of the record that it was read from.
    pub version: Option<u64>,
}

impl Reading {
    /// Nothing could be learned.
    pub fn nothing(began: Millis) -> Self {
        Reading {
            started_at: began,
            status: None,
            version: None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Source {
    /// An end that this node learned before.
    #[default]
    Memory,
    /// The leader's cluster state, at the leader itself.
    Picture,
    /// The leader's word, at another node.
    Leader,
    /// The records in the state service.
    Record,
    /// A write of this node.
    Write,
}

impl Source {
    pub fn text(self) -> &'static str {
        match self {
            Source::Memory => "remembered end",
            Source::Picture => "leader's picture",
            Source::Leader => "leader's word",
            Source::Record => "record",
            Source::Write => "own write",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Provenance {
    pub source: Source,
    /// When the read was begun, by this node's clock.
    pub read_at: Millis,
    /// Revision of the record or write, where it is known.
    pub revision: Option<u64>,
}

impl Provenance {
    pub(super) fn memory(now: Millis) -> Provenance {
        Provenance {
            source: Source::Memory,
            read_at: now,
            revision: None,
        }
    }

    pub(super) fn picture(now: Millis) -> Provenance {
        Provenance {
            source: Source::Picture,
            read_at: now,
            revision: None,
        }
    }

    /// What an answer rests on that is made of this event, where what it came
    /// of was asked for at `asked`.
    pub(super) fn of(event: &Event, asked: Millis, leads: bool, now: Millis) -> Provenance {
        let basis = |source, read_at, revision| Provenance {
            source,
            read_at,
            revision,
        };
        match event {
            Event::LeaderReplied(reading) => basis(Source::Leader, reading.started_at, None),
            Event::Read(Ok(reading)) => basis(Source::Record, reading.started_at, reading.version),
            Event::Forwarded(_) => basis(Source::Leader, asked, None),
            Event::LookupResults(found) => {
                let version = found.values().find_map(|f| match f {
                    Ok(Found::Live(_, version) | Found::Final(_, version)) => Some(*version),
                    _ => None,
                });
                basis(Source::Record, asked, version)
            }
            Event::Wrote(super::TxnResult::Done(version)) => {
                basis(Source::Write, asked, Some(*version))
            }
            _ if leads => Provenance::picture(now),
            _ => Provenance::memory(now),
        }
    }

    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.read_at)
    }
}
