//! Follows a directory of keys: changed keys come into force for new
//! connections; keys that can't be used are reported and leave the old ones in
//! force. Reading the files, and when, is the caller's part.

use crate::{
    Seconds,
    keys::{KeyError, Keys, Left, Texts, left},
};
use rustls::time_provider::TimeProvider;
use std::{error::Error, sync::Arc};

/// What looking at the files again has shown.
#[derive(Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing new.
    Same,
    /// New keys are in force.
    Changed,
    /// The files can't be used, for this reason; the old keys stay in force.
    Unusable(String),
}

/// Keys in force, with what is needed to replace them.
#[derive(Debug)]
pub struct Followed {
    time: Arc<dyn TimeProvider>,
    texts: Texts,
    keys: Keys,
    /// Texts that were found unusable, so that they are reported once.
    rejected: Option<Texts>,
    last_warning: Option<Left>,
}

impl Followed {
    /// Loads the first keys, which must be usable.
    pub fn new(texts: Texts, time: Arc<dyn TimeProvider>) -> Result<Self, KeyError> {
        Ok(Followed {
            keys: Keys::load(&texts, &time)?,
            texts,
            time,
            rejected: None,
            last_warning: None,
        })
    }

    /// The keys in force, for the next connection.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Takes what the files hold now. A set that is half written (a
    /// certificate whose key comes a moment later) is not taken until it fits.
    pub fn look(&mut self, found: Result<Texts, KeyError>) -> Seen {
        let found = match found {
            Ok(found) => found,
            Err(e) => return Seen::Unusable(with_sources(&e)),
        };
        if found == self.texts {
            self.rejected = None;
            return Seen::Same;
        }
        if self.rejected.as_ref() == Some(&found) {
            return Seen::Same;
        }
        match Keys::load(&found, &self.time) {
            Ok(keys) => {
                (self.keys, self.texts) = (keys, found);
                (self.rejected, self.last_warning) = (None, None);
                Seen::Changed
            }
            Err(e) => {
                self.rejected = Some(found);
                Seen::Unusable(with_sources(&e))
            }
        }
    }

    /// A warning that the certificate in force expires, once for each day.
    pub fn warning(&mut self, now: Seconds) -> Option<String> {
        let state = left(self.keys.own.until, now);
        if state == Left::Enough || self.last_warning == Some(state) {
            return None;
        }
        self.last_warning = Some(state);
        let name = &self.keys.own.name;
        Some(match state {
            Left::Soon { days } => format!("the certificate of {name} expires in {days} days"),
            _ => format!("the certificate of {name} has expired: nobody will speak to it"),
        })
    }
}

/// An error and what caused it, in one line.
fn with_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}
