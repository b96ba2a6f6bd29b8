//! Keys of installations that speak to each other over mutual TLS.
//!
//! Here: a certificate authority that issues, lists and revokes certificates
//! ([`authority`]), what a process loads of them ([`keys`]), how it follows
//! changes without a restart ([`reload`]), and HTTP over them ([`http`]).
//!
//! Not here: the command line of operators, when to look for changes, and what
//! a caller is allowed to ask. Times are given by the caller.

#![warn(missing_docs)]

pub mod authority;
mod file;
pub mod http;
pub mod keys;
pub mod reload;

pub use file::FileError;

/// A time of day in seconds since 1970, or a duration in seconds.
pub type Seconds = u64;

/// One day.
pub const DAY: Seconds = 86_400;

/// The longest name of an installation, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Whether a name can be that of an installation. Such names are DNS labels:
/// lower-case letters, digits, hyphens.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && !name.starts_with('-')
        && !name.ends_with('-')
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}
