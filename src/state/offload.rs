//! Whether a job runs here or was offloaded to another cluster through a market.
//!
//! Owns the state machine of one job's offload. The leader calls this module on
//! requests of the market client, and when writes of the job's record are applied or
//! the record is read again. The state must never be local while the record may say
//! that the job is offloaded: otherwise the job could run in both clusters.

use serde::{Deserialize, Serialize};

/// The target of an offloaded job, as stored in the job's record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OffloadTarget {
    /// Number of the award in the market.
    #[serde(rename = "a")]
    pub award: u64,
    /// Name of the market.
    #[serde(rename = "m")]
    pub market: String,
}

/// Progress of a job's offload. Every leader learns from the target in the job's record
/// that the job is offloaded.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum OffloadState {
    /// The job runs here.
    #[default]
    Local,
    /// The job runs here, and the target of this award can't be recorded any more.
    Refused(u64),
    /// The target has to be recorded. It may be in the record already, or a late write
    /// may add it, as long as the award's record has this version.
    Offloading {
        /// The target to record.
        target: OffloadTarget,
        /// Version of the award's record.
        version: u64,
    },
    /// The target is in the job's record.
    Offloaded(OffloadTarget),
    /// The job's results are known; the target has to be removed from the record.
    Returning(OffloadTarget),
}

impl OffloadState {
    /// Returns the state that follows from the target in a job's record.
    pub fn recorded(target: Option<OffloadTarget>) -> Self {
        target.map_or(OffloadState::Local, OffloadState::Offloaded)
    }

    /// Whether the job's tasks may start here.
    pub fn is_local(&self) -> bool {
        matches!(self, OffloadState::Local | OffloadState::Refused(_))
    }

    /// Whether the target has to be recorded or removed.
    pub fn has_pending_change(&self) -> bool {
        matches!(
            self,
            OffloadState::Offloading { .. } | OffloadState::Returning(_)
        )
    }

    /// Returns the target to which the job is, or may be, offloaded.
    pub fn target(&self) -> Option<&OffloadTarget> {
        match self {
            OffloadState::Local | OffloadState::Refused(_) => None,
            OffloadState::Offloading { target, .. }
            | OffloadState::Offloaded(target)
            | OffloadState::Returning(target) => Some(target),
        }
    }

    /// Returns the target that every other write of the job's record must preserve.
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

    /// Records that the target is in the job's record.
    pub fn mark_recorded(&mut self) {
        if let OffloadState::Offloading { target, .. } = self {
            *self = OffloadState::Offloaded(target.clone());
        }
    }

    /// Records that the target is known not to be in the job's record and can't be
    /// added any more.
    pub fn mark_refused(&mut self) {
        if let OffloadState::Offloading { target, .. } = self {
            *self = OffloadState::Refused(target.award);
        }
    }

    /// Records that the target was removed from the job's record.
    pub fn mark_removed(&mut self) {
        if let OffloadState::Returning(_) = self {
            *self = OffloadState::Local;
        }
    }

    /// Applies the target found when the record was read again after an indeterminate
    /// write.
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
