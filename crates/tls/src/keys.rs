//! Keys of a process, loaded from a directory: its own certificate and private
//! key, the trusted authorities, and the revocation lists.
//!
//! This module reads and writes the files ([`KeyFiles`], [`install`]), parses
//! certificates ([`CertificateIdentity`]), and builds the TLS configuration for
//! both sides of a connection ([`Keys`]). Reloading of changed files is in [`crate::reload`].

mod certificate;
mod directory;
mod time;

pub use certificate::{
    CertificateError, CertificateIdentity, RenewalState, read_certificate, renewal_state,
};
pub use directory::{CERTIFICATE_FILE, KEY_FILE, KeyFiles, REVOKED_FILE, TRUSTED_FILE, install};
pub use time::{FixedTime, system_time};

use crate::FileError;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::WebPkiServerVerifier,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
    time_provider::TimeProvider,
};
use std::{error::Error as StdError, path::PathBuf, sync::Arc};
use thiserror::Error;

/// Error of loading a key directory.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file is larger than the limit for key files.
    #[error("{}: file is larger than the limit of 1 MiB", .0.display())]
    TooLarge(PathBuf),
    /// A file that must contain a certificate contains none.
    #[error("{file}: no certificate in it")]
    NoCertificate {
        /// The name of the file.
        file: &'static str,
    },
    /// A file can't be parsed, or does not match the other files.
    #[error("{file}: invalid or inconsistent with the other key files")]
    Invalid {
        /// The name of the file.
        file: &'static str,
        /// Error of the parser or the TLS library.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// The TLS library rejects the configuration.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
}

/// Returns a function that converts an error in `file` to a [`KeyError`].
fn invalid<E: StdError + Send + Sync + 'static>(file: &'static str) -> impl Fn(E) -> KeyError {
    move |e| KeyError::Invalid {
        file,
        source: Box::new(e),
    }
}

/// Loaded keys, as TLS configurations for both sides of a connection.
#[derive(Debug, Clone)]
pub struct Keys {
    /// Identity and validity of the process's own certificate.
    pub own: CertificateIdentity,
    /// TLS configuration for outgoing connections.
    pub client: Arc<ClientConfig>,
    /// TLS configuration for accepted connections.
    pub server: Arc<ServerConfig>,
}

/// Trusted authority certificates and revocation lists.
struct Trust {
    roots: Arc<RootCertStore>,
    revoked: Vec<CertificateRevocationListDer<'static>>,
}

impl Trust {
    fn load(texts: &KeyFiles) -> Result<Self, KeyError> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(texts.trusted.as_bytes()) {
            let certificate = certificate.map_err(invalid(TRUSTED_FILE))?;
            roots.add(certificate).map_err(invalid(TRUSTED_FILE))?;
        }
        if roots.is_empty() {
            return Err(KeyError::NoCertificate { file: TRUSTED_FILE });
        }
        let revoked = CertificateRevocationListDer::pem_slice_iter(texts.revoked.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .map_err(invalid(REVOKED_FILE))?;
        Ok(Trust {
            roots: Arc::new(roots),
            revoked,
        })
    }
}

impl Keys {
    /// Parses the contents of the key files. The validity of certificates is
    /// checked against `time` at each handshake.
    pub fn load(texts: &KeyFiles, time: &Arc<dyn TimeProvider>) -> Result<Self, KeyError> {
        let chain = CertificateDer::pem_slice_iter(texts.certificate.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .map_err(invalid(CERTIFICATE_FILE))?;
        let first = chain.first().ok_or(KeyError::NoCertificate {
            file: CERTIFICATE_FILE,
        })?;
        let own = read_certificate(first).map_err(invalid(CERTIFICATE_FILE))?;
        let key = PrivateKeyDer::from_pem_slice(texts.key.as_bytes()).map_err(invalid(KEY_FILE))?;
        let trust = Trust::load(texts)?;
        // Certificates of an authority without a revocation list are accepted
        // without a revocation check.
        let client_verifier =
            WebPkiClientVerifier::builder_with_provider(trust.roots.clone(), crypto_provider())
                .with_crls(trust.revoked.iter().cloned())
                .allow_unknown_revocation_status()
                .build()
                .map_err(invalid(REVOKED_FILE))?;
        let server_verifier =
            WebPkiServerVerifier::builder_with_provider(trust.roots, crypto_provider())
                .with_crls(trust.revoked)
                .allow_unknown_revocation_status()
                .build()
                .map_err(invalid(REVOKED_FILE))?;
        let server = ServerConfig::builder_with_details(crypto_provider(), time.clone())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(client_verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(invalid(KEY_FILE))?;
        let client = ClientConfig::builder_with_details(crypto_provider(), time.clone())
            .with_safe_default_protocol_versions()?
            .with_webpki_verifier(server_verifier)
            .with_client_auth_cert(chain, key)
            .map_err(invalid(KEY_FILE))?;
        Ok(Keys {
            own,
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
