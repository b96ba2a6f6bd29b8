//! Keys of installations that speak to each other over mutual TLS: an
//! authority that makes, renews and revokes certificates, what a process loads
//! of them, and how it follows changes without a restart. Times are given by
//! the caller, in seconds since 1970.

pub mod authority;
pub mod http;
pub mod keys;
pub mod reload;

use std::{io, path::Path};

pub type Seconds = u64;

pub const DAY: Seconds = 86_400;

/// Names of installations are DNS labels: lower-case letters, digits, hyphens.
pub fn valid_name(name: &str) -> bool {
    (1..=63).contains(&name.len())
        && !name.starts_with('-')
        && !name.ends_with('-')
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

/// Replaces a file as a whole: a reader sees the old one or the new one.
/// `secret`: for its owner alone.
pub(crate) fn replace(path: &Path, text: &str, secret: bool) -> io::Result<()> {
    use std::{fs::OpenOptions, io::Write, os::unix::fs::OpenOptionsExt};
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    let fresh = Path::new(&name);
    // One that is left from an attempt that ended half-way.
    match std::fs::remove_file(fresh) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(if secret { 0o600 } else { 0o644 })
        .open(fresh)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(fresh, path)
}
