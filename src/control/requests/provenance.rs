//! Provenance of an answer to a user: from where a job's state was read, and when.
//! Owned by the request in progress, which uses it to judge whether the read is recent
//! enough; the server writes it to the audit log. A provenance must never be dated
//! later than the start of the read.

use super::{Event, Found, TxnResult};
use crate::{protocol::users::JobStatus, state::Millis};

/// A job's state as returned by another node or by the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// When the read started, by this node's clock. The state is not older than that.
    pub started_at: Millis,
    /// `None` if the leader does not know the job, or there is no record.
    pub status: Option<JobStatus>,
    /// Version of the record from which the state was read.
    pub version: Option<u64>,
}

impl Reading {
    /// Creates the result of a read that found nothing.
    pub fn nothing(started_at: Millis) -> Self {
        Reading {
            started_at,
            status: None,
            version: None,
        }
    }
}

/// The source of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Source {
    /// A final state that this node learned before.
    #[default]
    Memory,
    /// The leader's cluster state, read at the leader itself.
    ClusterState,
    /// The leader's answer, received by another node.
    Leader,
    /// The records in the state service.
    Record,
    /// A write of this node.
    Write,
}

impl Source {
    /// Returns the text for the audit log.
    pub fn text(self) -> &'static str {
        match self {
            Source::Memory => "remembered end",
            Source::ClusterState => "leader's picture",
            Source::Leader => "leader's word",
            Source::Record => "record",
            Source::Write => "own write",
        }
    }
}

/// Source, time and revision of the state on which an answer is based.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Provenance {
    /// Where the state was read.
    pub source: Source,
    /// When the read started, by this node's clock.
    pub read_at: Millis,
    /// Revision of the record or write, if known.
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
            source: Source::ClusterState,
            read_at: now,
            revision: None,
        }
    }

    /// Returns the provenance of an answer based on this event. If the event is the
    /// result of a request of this node, that request was sent at `requested_at`.
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
            Event::LookupResults(results) => {
                let version = results.values().find_map(|f| match f {
                    Ok(Found::Live(_, version) | Found::Final(_, version)) => Some(*version),
                    _ => None,
                });
                basis(Source::Record, requested_at, version)
            }
            Event::Wrote(TxnResult::Applied(version)) => {
                basis(Source::Write, requested_at, Some(*version))
            }
            _ if leads => Provenance::cluster_state(now),
            _ => Provenance::memory(now),
        }
    }

    /// Age of the state, counted from the start of the read.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.read_at)
    }
}
