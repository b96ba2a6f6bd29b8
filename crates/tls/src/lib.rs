//! Mutual TLS between pathwinch installations.
//!
//! This crate contains a certificate authority that issues, lists and revokes
//! certificates ([`authority`]), the key files and TLS configuration of a
//! process ([`keys`]), reloading of changed key files without a restart
//! ([`reload`]), and HTTP over mutual TLS ([`http`]).
//!
//! Callers provide the current time, decide when to check for changed files,
//! and decide what an authenticated peer may request. The operator commands are
//! not part of this crate.

#![warn(missing_docs)]

pub mod authority;
mod file;
pub mod http;
pub mod keys;
pub mod reload;

pub use file::FileError;

/// Unix time in seconds, or a duration in seconds.
pub type Seconds = u64;

/// One day in seconds.
pub const DAY: Seconds = 86_400;

/// Maximum length of an installation's name in bytes, as for a DNS label.
const MAX_NAME_BYTES: usize = 63;

/// Whether `name` is a valid name of an installation. Such a name is a DNS label
/// of lower-case letters, digits and hyphens, with no hyphen at either end.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && !name.starts_with('-')
        && !name.ends_with('-')
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}
