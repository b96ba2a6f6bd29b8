//! Time sources for checking the validity of certificates.

use crate::Seconds;
use rustls::{
    pki_types::UnixTime,
    time_provider::{DefaultTimeProvider, TimeProvider},
};
use std::{sync::Arc, time::Duration};

/// Returns a time source that reads the system clock.
pub fn system_time() -> Arc<dyn TimeProvider> {
    Arc::new(DefaultTimeProvider)
}

/// Time source whose time does not advance, for tests.
#[derive(Debug)]
pub struct FixedTime(pub Seconds);

impl TimeProvider for FixedTime {
    fn current_time(&self) -> Option<UnixTime> {
        Some(UnixTime::since_unix_epoch(Duration::from_secs(self.0)))
    }
}
