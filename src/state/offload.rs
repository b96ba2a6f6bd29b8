//! Whether a job is with a neighbouring market. While it isn't here, nothing
//! of it starts here.

use serde::{Deserialize, Serialize};

/// To whom, as the job's record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lent {
    #[serde(rename = "a")]
    pub award: u64,
    #[serde(rename = "m")]
    pub market: String,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub enum Away {
    #[default]
    Local,
    /// The same, and the mark for this award can't be set any more.
    Refused(u64),
    /// The mark is wanted. It may be in the record, or get there late, as long
    /// as the award's record has this version.
    Offloading { target: Lent, version: u64 },
    /// The record says so.
    Offloaded(Lent),
    /// What came back is known; the mark is to be lifted.
    Returning(Lent),
}

impl Away {
    pub fn loaded(lent: Option<Lent>) -> Self {
        lent.map_or(Away::Local, Away::Offloaded)
    }

    pub fn is_here(&self) -> bool {
        matches!(self, Away::Local | Away::Refused(_))
    }

    /// The mark is to be set or lifted.
    pub fn moves(&self) -> bool {
        matches!(self, Away::Offloading { .. } | Away::Returning(_))
    }

    pub fn lent(&self) -> Option<&Lent> {
        match self {
            Away::Local | Away::Refused(_) => None,
            Away::Offloading { target: lent, .. }
            | Away::Offloaded(lent)
            | Away::Returning(lent) => Some(lent),
        }
    }

    /// What any other write of the job's record must keep.
    pub fn mark(&self) -> Option<Lent> {
        match self {
            Away::Local | Away::Refused(_) | Away::Offloading { .. } => None,
            Away::Offloaded(lent) | Away::Returning(lent) => Some(lent.clone()),
        }
    }

    /// The mark is in the record.
    pub fn marked(&mut self) {
        if let Away::Offloading { target: lent, .. } = self {
            *self = Away::Offloaded(lent.clone());
        }
    }

    /// The mark is surely not in the record, and can't get there.
    pub fn stays(&mut self) {
        if let Away::Offloading { target: lent, .. } = self {
            *self = Away::Refused(lent.award);
        }
    }

    /// The mark is out of the record.
    pub fn lifted(&mut self) {
        if let Away::Returning(_) = self {
            *self = Away::Local;
        }
    }

    /// The record was read again after a write that had no answer.
    pub fn reread(&mut self, mark: Option<&Lent>) {
        match (&*self, mark) {
            (Away::Offloading { target: lent, .. }, Some(found)) if lent == found => self.marked(),
            (Away::Returning(_), None) => self.lifted(),
            _ => {}
        }
    }
}
