//! Whether a job is with a neighbouring market. While it isn't here, nothing
//! of it starts here.

use serde::{Deserialize, Serialize};

/// To whom, as the job's record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OffloadTarget {
    #[serde(rename = "a")]
    pub award: u64,
    #[serde(rename = "m")]
    pub market: String,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub enum OffloadState {
    #[default]
    Local,
    /// The same, and the mark for this award can't be set any more.
    Refused(u64),
    /// The mark is wanted. It may be in the record, or get there late, as long
    /// as the award's record has this version.
    Offloading { target: OffloadTarget, version: u64 },
    /// The record says so.
    Offloaded(OffloadTarget),
    /// What came back is known; the mark is to be lifted.
    Returning(OffloadTarget),
}

impl OffloadState {
    pub fn recorded(lent: Option<OffloadTarget>) -> Self {
        lent.map_or(OffloadState::Local, OffloadState::Offloaded)
    }

    pub fn is_local(&self) -> bool {
        matches!(self, OffloadState::Local | OffloadState::Refused(_))
    }

    /// The mark is to be set or lifted.
    pub fn has_pending_change(&self) -> bool {
        matches!(
            self,
            OffloadState::Offloading { .. } | OffloadState::Returning(_)
        )
    }

    pub fn target(&self) -> Option<&OffloadTarget> {
        match self {
            OffloadState::Local | OffloadState::Refused(_) => None,
            OffloadState::Offloading { target: lent, .. }
            | OffloadState::Offloaded(lent)
            | OffloadState::Returning(lent) => Some(lent),
        }
    }

    /// What any other write of the job's record must keep.
    pub fn recorded_target(&self) -> Option<OffloadTarget> {
        match self {
            OffloadState::Local | OffloadState::Refused(_) | OffloadState::Offloading { .. } => {
                None
            }
            OffloadState::Offloaded(lent) | OffloadState::Returning(lent) => Some(lent.clone()),
        }
    }

    /// The mark is in the record.
    pub fn mark_recorded(&mut self) {
        if let OffloadState::Offloading { target: lent, .. } = self {
            *self = OffloadState::Offloaded(lent.clone());
        }
    }

    /// The mark is surely not in the record, and can't get there.
    pub fn mark_refused(&mut self) {
        if let OffloadState::Offloading { target: lent, .. } = self {
            *self = OffloadState::Refused(lent.award);
        }
    }

    /// The mark is out of the record.
    pub fn mark_removed(&mut self) {
        if let OffloadState::Returning(_) = self {
            *self = OffloadState::Local;
        }
    }

    /// The record was read again after a write that had no answer.
    pub fn reread(&mut self, mark: Option<&OffloadTarget>) {
        match (&*self, mark) {
            (OffloadState::Offloading { target: lent, .. }, Some(found)) if lent == found => {
                self.mark_recorded()
            }
            (OffloadState::Returning(_), None) => self.mark_removed(),
            _ => {}
        }
    }
}
