//! Files of a key directory.

use super::KeyError;
use crate::{
    authority::IssuedCertificate,
    file::{self, Access},
};
use std::path::Path;

/// File with the process's own certificate, followed by the intermediate
/// certificates up to the authority.
pub const CERTIFICATE_FILE: &str = "own.pem";
/// File with the private key of the process's own certificate.
pub const KEY_FILE: &str = "own.key";
/// File with the certificates of the trusted authorities.
pub const TRUSTED_FILE: &str = "trusted.pem";
/// File with the revocation lists of the trusted authorities.
pub const REVOKED_FILE: &str = "revoked.pem";

/// Maximum size of a key file in bytes; larger files are not read. The message
/// of [`KeyError::TooLarge`] states this limit.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Contents of the files of a key directory, read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyFiles {
    /// The process's own certificate in PEM, followed by the intermediate
    /// certificates.
    pub certificate: String,
    /// Private key of the process's own certificate, in PEM.
    pub key: String,
    /// Certificates of the trusted authorities, concatenated PEM.
    pub trusted: String,
    /// Revocation lists of the trusted authorities, concatenated PEM; may be
    /// empty.
    pub revoked: String,
}

impl KeyFiles {
    /// Reads the files of a key directory. Only the file with the revocation
    /// lists may be missing.
    pub fn read(dir: &Path) -> Result<Self, KeyError> {
        let revoked = match dir.join(REVOKED_FILE).exists() {
            true => read_limited(dir, REVOKED_FILE)?,
            false => String::new(),
        };
        Ok(KeyFiles {
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

/// Installs a new certificate and its private key into a key directory, together
/// with the authority's certificate and revocation list. Authorities that were
/// trusted before remain trusted, and an existing file of revocation lists is
/// not changed.
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
    // An existing file may contain revocation lists of other authorities, which
    // must not be replaced with the list of this authority.
    if !dir.join(REVOKED_FILE).exists() {
        write(REVOKED_FILE, revoked, Access::Everyone)?;
    }
    // A process that reads the files between these two writes finds a key and a
    // certificate that do not match, rejects them and keeps its old pair.
    write(KEY_FILE, &issued.key, Access::OwnerOnly)?;
    write(CERTIFICATE_FILE, &issued.certificate, Access::Everyone)?;
    Ok(())
}
