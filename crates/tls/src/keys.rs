//! What a process loads of a directory of keys: its own certificate and key,
//! whom it trusts, and what was revoked.
//!
//! Here: the files ([`Texts`], [`install`]), what a certificate says
//! ([`Says`]), and the configuration of both sides of a connection ([`Keys`]).
//! Following changes is in [`crate::reload`].

mod certificate;
mod directory;
mod time;

pub use certificate::{CertificateError, Left, Says, left, read_certificate};
pub use directory::{CERTIFICATE_FILE, KEY_FILE, REVOKED_FILE, TRUSTED_FILE, Texts, install};
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

/// Why a directory of keys can't be used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file is too large to be one of keys.
    #[error("{}: over 1 MiB", .0.display())]
    TooLarge(PathBuf),
    /// A file that must hold a certificate holds none.
    #[error("{file}: no certificate in it")]
    NoCertificate {
        /// The name of the file.
        file: &'static str,
    },
    /// A file can't be understood, or does not fit the others.
    #[error("{file}")]
    Invalid {
        /// The name of the file.
        file: &'static str,
        /// What is wrong with it.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// The TLS library refuses its settings.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
}

fn invalid<E: StdError + Send + Sync + 'static>(file: &'static str) -> impl Fn(E) -> KeyError {
    move |e| KeyError::Invalid {
        file,
        source: Box::new(e),
    }
}

/// Keys that are ready for use on both sides of a connection.
#[derive(Debug, Clone)]
pub struct Keys {
    /// What the process's own certificate says.
    pub own: Says,
    /// For connections that the process makes.
    pub client: Arc<ClientConfig>,
    /// For connections that the process accepts.
    pub server: Arc<ServerConfig>,
}

/// Certificates that are trusted, and the lists of those that were revoked.
struct Trust {
    roots: Arc<RootCertStore>,
    revoked: Vec<CertificateRevocationListDer<'static>>,
}

impl Trust {
    fn load(texts: &Texts) -> Result<Self, KeyError> {
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
    /// Loads the files' texts. Certificates are judged by `time` at each
    /// handshake.
    pub fn load(texts: &Texts, time: &Arc<dyn TimeProvider>) -> Result<Self, KeyError> {
        let chain = CertificateDer::pem_slice_iter(texts.certificate.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .map_err(invalid(CERTIFICATE_FILE))?;
        let first = chain.first().ok_or(KeyError::NoCertificate {
            file: CERTIFICATE_FILE,
        })?;
        let own = read_certificate(first).map_err(invalid(CERTIFICATE_FILE))?;
        let key = PrivateKeyDer::from_pem_slice(texts.key.as_bytes()).map_err(invalid(KEY_FILE))?;
        let trust = Trust::load(texts)?;
        // An authority without a list is trusted as it is.
        let clients = WebPkiClientVerifier::builder_with_provider(trust.roots.clone(), provider())
            .with_crls(trust.revoked.iter().cloned())
            .allow_unknown_revocation_status()
            .build()
            .map_err(invalid(REVOKED_FILE))?;
        let servers = WebPkiServerVerifier::builder_with_provider(trust.roots, provider())
            .with_crls(trust.revoked)
            .allow_unknown_revocation_status()
            .build()
            .map_err(invalid(REVOKED_FILE))?;
        let server = ServerConfig::builder_with_details(provider(), time.clone())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(clients)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(invalid(KEY_FILE))?;
        let client = ClientConfig::builder_with_details(provider(), time.clone())
            .with_safe_default_protocol_versions()?
            .with_webpki_verifier(servers)
            .with_client_auth_cert(chain, key)
            .map_err(invalid(KEY_FILE))?;
        Ok(Keys {
            own,
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
