//! The files in a directory of keys.

use super::KeyError;
use crate::{
    authority::IssuedCertificate,
    file::{self, Access},
};
use std::path::Path;

/// The process's own certificate, with those between it and the authority.
pub const CERTIFICATE_FILE: &str = "own.pem";
/// The private key of that certificate.
pub const KEY_FILE: &str = "own.key";
/// The certificates of the authorities that are trusted.
pub const TRUSTED_FILE: &str = "trusted.pem";
/// The lists of certificates that these authorities revoked.
pub const REVOKED_FILE: &str = "revoked.pem";

/// A larger file is not read. The error of a larger one names this limit.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// The texts of the files, as read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Texts {
    /// The process's own certificate.
    pub certificate: String,
    /// Its private key.
    pub key: String,
    /// Certificates of trusted authorities, one after the other.
    pub trusted: String,
    /// Revocation lists of these authorities; may be empty.
    pub revoked: String,
}

impl Texts {
    /// Reads the files of a directory; only the revocation lists may be
    /// missing.
    pub fn read(dir: &Path) -> Result<Self, KeyError> {
        let revoked = match dir.join(REVOKED_FILE).exists() {
            true => read_limited(dir, REVOKED_FILE)?,
            false => String::new(),
        };
        Ok(Texts {
            certificate: read_limited(dir, CERTIFICATE_FILE)?,
            key: read_limited(dir, KEY_FILE)?,
            trusted: read_limited(dir, TRUSTED_FILE)?,
            revoked,
        })
    }
}

fn read_limited(dir: &Path, name: &str) -> Result<String, KeyError> {
    let path = dir.join(name);
    if file::size_bytes(&path)? > MAX_FILE_BYTES {
        return Err(KeyError::TooLarge(path));
    }
    Ok(file::read(&path)?)
}

/// Puts a new certificate and its key into a directory of keys, together with
/// the authority's certificate and revocation list. Authorities that were
/// trusted before stay trusted.
pub fn install(
    dir: &Path,
    issued: &IssuedCertificate,
    authority: &str,
    revoked: &str,
) -> Result<(), KeyError> {
    file::create_dir(dir)?;
    let write = |name: &str, text: &str, access| file::replace(&dir.join(name), text, access);
    let mut trusted = match dir.join(TRUSTED_FILE).exists() {
        true => file::read(&dir.join(TRUSTED_FILE))?,
        false => String::new(),
    };
    if !trusted.contains(authority.trim()) {
        trusted.push_str(authority);
        write(TRUSTED_FILE, &trusted, Access::Everyone)?;
    }
    // An existing file may hold lists of other authorities, which are not this
    // one's to replace.
    if !dir.join(REVOKED_FILE).exists() {
        write(REVOKED_FILE, revoked, Access::Everyone)?;
    }
    // A reader between the two finds a pair that doesn't fit and keeps the
    // old one.
    write(KEY_FILE, &issued.key, Access::OwnerOnly)?;
    write(CERTIFICATE_FILE, &issued.certificate, Access::Everyone)?;
    Ok(())
}
