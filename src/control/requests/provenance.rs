//! What an answer to a user rests on: from where a job's state was read, and
//! when. Owned by the request under way, which judges by it whether the reading is
//! still young enough; the server writes it to the audit log. It must never be
//! dated later than the start of the read.

use super::{Event, Found, TxnResult};
use crate::{protocol::users::JobStatus, state::Millis};

/// A job's state as another node or the state service returned it.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// When the read was begun, by this node's clock: older than that it is
    /// not.
    pub started_at: Millis,
    /// `None`: the leader does not know, or there is no record.
    pub status: Option<JobStatus>,
    /// Version of the record that it was read from.
    pub version: Option<u64>,
}

impl Reading {
    /// A reading that found nothing.
    pub fn nothing(started_at: Millis) -> Self {
        Reading {
            started_at,
            status: None,
            version: None,
        }
    }
}

/// Where an answer comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Source {
    /// A final state that this node learned before.
    #[default]
    Memory,
    /// The leader's cluster state, at the leader itself.
    Picture,
    /// The leader's answer, at another node.
    Leader,
    /// The records in the state service.
    Record,
    /// A write of this node.
    Write,
}

impl Source {
    /// The text in the audit log.
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

/// Source, time and revision of what an answer rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Provenance {
    /// Where it was read.
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

    pub(super) fn cluster_state(now: Millis) -> Provenance {
        Provenance {
            source: Source::Picture,
            read_at: now,
            revision: None,
        }
    }

    /// What an answer made of this event rests on, where the event answers a
    /// request sent at `requested_at`.
    pub(super) fn of(event: &Event, requested_at: Millis, leads: bool, now: Millis) -> Provenance {
        let basis = |source, read_at, revision| Provenance {
            source,
            read_at,
            revision,
        };
        match event {
            Event::LeaderReplied(reading) => basis(Source::Leader, reading.started_at, None),
            Event::Read(Ok(reading)) => basis(Source::Record, reading.started_at, reading.version),
            Event::Forwarded(_) => basis(Source::Leader, requested_at, None),
            Event::LookupResults(found) => {
                let version = found.values().find_map(|f| match f {
                    Ok(Found::Live(_, version) | Found::Final(_, version)) => Some(*version),
                    _ => None,
                });
                basis(Source::Record, requested_at, version)
            }
            Event::Wrote(TxnResult::Done(version)) => {
                basis(Source::Write, requested_at, Some(*version))
            }
            _ if leads => Provenance::cluster_state(now),
            _ => Provenance::memory(now),
        }
    }

    /// Age of the reading, from when it was begun.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.read_at)
    }
}
