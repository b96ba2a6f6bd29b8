//! The time by which certificates are judged.

use crate::Seconds;
use rustls::{
    pki_types::UnixTime,
    time_provider::{DefaultTimeProvider, TimeProvider},
};
use std::{sync::Arc, time::Duration};

/// The system's time of day.
pub fn system_time() -> Arc<dyn TimeProvider> {
    Arc::new(DefaultTimeProvider)
}

/// A time that does not advance, for tests.
#[derive(Debug)]
pub struct FixedTime(pub Seconds);

impl TimeProvider for FixedTime {
    fn current_time(&self) -> Option<UnixTime> {
        Some(UnixTime::since_unix_epoch(Duration::from_secs(self.0)))
    }
}
