//! Whether a job runs here or was offloaded to another cluster's market.
//!
//! Owns the state machine of one job's offload. Called by the leader as the
//! market client asks, and as writes of the job's record are applied or read
//! again. Must never be local while the record may say that the job is
//! offloaded: then it could run in both clusters.

use serde::{Deserialize, Serialize};

/// To whom a job is offloaded, as its record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OffloadTarget {
    /// Number of the market's award.
    #[serde(rename = "a")]
    pub award: u64,
    /// Name of the market.
    #[serde(rename = "m")]
    pub market: String,
}

/// How far a job's offload has come. The target in the job's record is the
/// mark by which every leader knows.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum OffloadState {
    /// It runs here.
    #[default]
    Local,
    /// The same, and the target of this award can't be recorded any more.
    Refused(u64),
    /// The target is to be recorded. It may be in the record, or get there
    /// late, as long as the award's record has this version.
    Offloading {
        /// To whom.
        target: OffloadTarget,
        /// Version of the award's record.
        version: u64,
    },
    /// The target is in the record.
    Offloaded(OffloadTarget),
    /// Its results are known; the target is to be removed from the record.
    Returning(OffloadTarget),
}

impl OffloadState {
    /// The state that follows from a job's record.
    pub fn recorded(target: Option<OffloadTarget>) -> Self {
        target.map_or(OffloadState::Local, OffloadState::Offloaded)
    }

    /// Whether its tasks may start here.
    pub fn is_local(&self) -> bool {
        matches!(self, OffloadState::Local | OffloadState::Refused(_))
    }

    /// Whether the target is to be recorded or removed.
    pub fn has_pending_change(&self) -> bool {
        matches!(
            self,
            OffloadState::Offloading { .. } | OffloadState::Returning(_)
        )
    }

    /// To whom it is, or may be, offloaded.
    pub fn target(&self) -> Option<&OffloadTarget> {
        match self {
            OffloadState::Local | OffloadState::Refused(_) => None,
            OffloadState::Offloading { target, .. }
            | OffloadState::Offloaded(target)
            | OffloadState::Returning(target) => Some(target),
        }
    }

    /// The target that any other write of the job's record must keep.
    pub fn recorded_target(&self) -> Option<OffloadTarget> {
        match self {
            OffloadState::Local | OffloadState::Refused(_) | OffloadState::Offloading { .. } => {
                None
            }
            OffloadState::Offloaded(target) | OffloadState::Returning(target) => {
                Some(target.clone())
            }
        }
    }

    /// The target is in the record.
    pub fn mark_recorded(&mut self) {
        if let OffloadState::Offloading { target, .. } = self {
            *self = OffloadState::Offloaded(target.clone());
        }
    }

    /// The target is surely not in the record, and can't get there.
    pub fn mark_refused(&mut self) {
        if let OffloadState::Offloading { target, .. } = self {
            *self = OffloadState::Refused(target.award);
        }
    }

    /// The target is out of the record.
    pub fn mark_removed(&mut self) {
        if let OffloadState::Returning(_) = self {
            *self = OffloadState::Local;
        }
    }

    /// The record was read again after an indeterminate write.
    pub fn reread(&mut self, recorded: Option<&OffloadTarget>) {
        match (&*self, recorded) {
            (OffloadState::Offloading { target, .. }, Some(found)) if target == found => {
                self.mark_recorded()
            }
            (OffloadState::Returning(_), None) => self.mark_removed(),
            _ => {}
        }
    }
}
