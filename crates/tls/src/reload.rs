//! Follows a directory of keys: a change is taken up for new connections, and
//! one that can't be used is reported and leaves the keys as they were.

use crate::{
    Seconds,
    keys::{Keys, Left, Texts, left},
};
use anyhow::Result;
use rustls::time_provider::TimeProvider;
use std::sync::Arc;

/// What looking again has shown.
#[derive(Debug, PartialEq, Eq)]
pub enum Seen {
    Same,
    Changed,
    /// They were changed to something that can't be used.
    Unusable(String),
}

#[derive(Debug)]
pub struct Followed {
    time: Arc<dyn TimeProvider>,
    texts: Texts,
    keys: Keys,
    /// What was found unusable, so that it is told once.
    refused: Option<Texts>,
    warned: Option<Left>,
}

impl Followed {
    pub fn new(texts: Texts, time: Arc<dyn TimeProvider>) -> Result<Self> {
        Ok(Followed {
            keys: Keys::load(&texts, &time)?,
            texts,
            time,
            refused: None,
            warned: None,
        })
    }

    /// For the next connection.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// The files hold this now. A half-written set (a certificate whose key
    /// comes a moment later) is not taken until it fits.
    pub fn look(&mut self, found: Result<Texts>) -> Seen {
        let found = match found {
            Ok(found) => found,
            Err(e) => return Seen::Unusable(format!("{e:#}")),
        };
        if found == self.texts {
            self.refused = None;
            return Seen::Same;
        }
        if self.refused.as_ref() == Some(&found) {
            return Seen::Same;
        }
        match Keys::load(&found, &self.time) {
            Ok(keys) => {
                (self.keys, self.texts) = (keys, found);
                (self.refused, self.warned) = (None, None);
                Seen::Changed
            }
            Err(e) => {
                self.refused = Some(found);
                Seen::Unusable(format!("{e:#}"))
            }
        }
    }

    /// Something to be warned of, once for each day that it goes on.
    pub fn warning(&mut self, now: Seconds) -> Option<String> {
        let state = left(self.keys.own.until, now);
        if state == Left::Enough || self.warned == Some(state) {
            return None;
        }
        self.warned = Some(state);
        let name = &self.keys.own.name;
        Some(match state {
            Left::Soon { days } => format!("the certificate of {name} expires in {days} days"),
            _ => format!("the certificate of {name} has expired: nobody will speak to it"),
        })
    }
}
