//! What an answer to a user rests on: from where a job's state was read, and
//! when.

use super::{Event, Found};
use crate::{protocol::users::JobStatus, state::Ms};

/// A job's state as another node or the state service gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// When the read was begun, by this node's clock: older than that it is
    /// not.
    pub began: Ms,
    /// `None`: the leader can't say, or no record stands.
    pub status: Option<JobStatus>,
    /// Version of the record that it was read from.
    pub version: Option<u64>,
}

impl Reading {
    /// Nothing could be learned.
    pub fn nothing(began: Ms) -> Self {
        Reading {
            began,
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
    /// The leader's picture, at the leader itself.
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
pub struct Basis {
    pub source: Source,
    /// When the read was begun, by this node's clock.
    pub read_at: Ms,
    /// Revision of the record or write, where it is known.
    pub revision: Option<u64>,
}

impl Basis {
    pub(super) fn memory(now: Ms) -> Basis {
        Basis {
            source: Source::Memory,
            read_at: now,
            revision: None,
        }
    }

    pub(super) fn picture(now: Ms) -> Basis {
        Basis {
            source: Source::Picture,
            read_at: now,
            revision: None,
        }
    }

    /// What an answer rests on that is made of this event, where what it came
    /// of was asked for at `asked`.
    pub(super) fn of(event: &Event, asked: Ms, leads: bool, now: Ms) -> Basis {
        let basis = |source, read_at, revision| Basis {
            source,
            read_at,
            revision,
        };
        match event {
            Event::Told(reading) => basis(Source::Leader, reading.began, None),
            Event::Read(Ok(reading)) => basis(Source::Record, reading.began, reading.version),
            Event::Forwarded(_) => basis(Source::Leader, asked, None),
            Event::Looked(found) => {
                let version = found.values().find_map(|f| match f {
                    Ok(Found::Live(_, version) | Found::Final(_, version)) => Some(*version),
                    _ => None,
                });
                basis(Source::Record, asked, version)
            }
            Event::Wrote(super::TxnResult::Done(version)) => {
                basis(Source::Write, asked, Some(*version))
            }
            _ if leads => Basis::picture(now),
            _ => Basis::memory(now),
        }
    }

    pub fn age(&self, now: Ms) -> Ms {
        now.saturating_sub(self.read_at)
    }
}
