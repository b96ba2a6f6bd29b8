//! Reloading of the files of a key directory. Changed keys become active for new
//! connections. Unusable keys are reported, and the old keys remain active. The
//! caller reads the files and decides when to do so.

use crate::{
    Seconds,
    keys::{KeyError, KeyFiles, Keys, RenewalState, renewal_state},
};
use rustls::time_provider::TimeProvider;
use std::{error::Error, sync::Arc};

/// Result of applying the contents of the key files.
#[derive(Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The files are unchanged, or their unusable contents were reported before.
    Unchanged,
    /// New keys are active.
    Reloaded,
    /// The files can't be used, for the given reason; the old keys remain active.
    Rejected(String),
}

/// Active keys, and the state that is needed to replace them when the key files
/// change.
#[derive(Debug)]
pub struct ReloadableKeys {
    time: Arc<dyn TimeProvider>,
    texts: KeyFiles,
    keys: Keys,
    /// File contents that were rejected last, kept so that they are reported only
    /// once.
    rejected: Option<KeyFiles>,
    /// State for which the last expiry warning was returned.
    last_warning: Option<RenewalState>,
}

impl ReloadableKeys {
    /// Loads the initial keys. Fails if they are unusable.
    pub fn new(texts: KeyFiles, time: Arc<dyn TimeProvider>) -> Result<Self, KeyError> {
        Ok(ReloadableKeys {
            keys: Keys::load(&texts, &time)?,
            texts,
            time,
            rejected: None,
            last_warning: None,
        })
    }

    /// Returns the active keys, to be used for the next connection.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Processes the current contents of the files. Incompletely written contents
    /// (a certificate whose key is not written yet) are rejected until the files
    /// match.
    pub fn apply_files(&mut self, found: Result<KeyFiles, KeyError>) -> ReloadOutcome {
        let found = match found {
            Ok(found) => found,
            Err(e) => return ReloadOutcome::Rejected(format_error_chain(&e)),
        };
        if found == self.texts {
            self.rejected = None;
            return ReloadOutcome::Unchanged;
        }
        if self.rejected.as_ref() == Some(&found) {
            return ReloadOutcome::Unchanged;
        }
        match Keys::load(&found, &self.time) {
            Ok(keys) => {
                (self.keys, self.texts) = (keys, found);
                (self.rejected, self.last_warning) = (None, None);
                ReloadOutcome::Reloaded
            }
            Err(e) => {
                self.rejected = Some(found);
                ReloadOutcome::Rejected(format_error_chain(&e))
            }
        }
    }

    /// Returns a warning if the active certificate has expired or is due for
    /// renewal. Each number of days left is reported once, and so is the expiry.
    pub fn expiry_warning(&mut self, now: Seconds) -> Option<String> {
        let state = renewal_state(self.keys.own.expires_at, now);
        if state == RenewalState::NotDue || self.last_warning == Some(state) {
            return None;
        }
        self.last_warning = Some(state);
        let name = &self.keys.own.name;
        Some(match state {
            RenewalState::Due { days } => {
                format!("the certificate of {name} expires in {days} days")
            }
            _ => format!(
                "the certificate of {name} has expired: other installations refuse its connections"
            ),
        })
    }
}

/// Formats an error and its chain of causes in one line.
fn format_error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}
