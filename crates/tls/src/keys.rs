//! What a process loads: its own certificate and key, whom it trusts, and
//! what was revoked.

use crate::{Seconds, authority::Issued, replace};
use anyhow::{Context, Result, ensure};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::WebPkiServerVerifier,
    crypto::{CryptoProvider, ring},
    pki_types::{
        CertificateDer, CertificateRevocationListDer, PrivateKeyDer, UnixTime, pem::PemObject,
    },
    server::WebPkiClientVerifier,
    time_provider::{DefaultTimeProvider, TimeProvider},
};
use std::{path::Path, sync::Arc};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// The text of the files, as read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Texts {
    pub certificate: String,
    pub key: String,
    /// Authorities that are trusted, one after the other.
    pub trusted: String,
    /// Lists of what they revoked; may be empty.
    pub revoked: String,
}

/// Names of the files in a directory of keys.
pub const CERTIFICATE: &str = "own.pem";
pub const KEY: &str = "own.key";
pub const TRUSTED: &str = "trusted.pem";
pub const REVOKED: &str = "revoked.pem";

/// A file of keys beyond this is not read.
const MOST_BYTES: u64 = 1024 * 1024;

impl Texts {
    pub fn read(dir: &Path) -> Result<Self> {
        let text = |name: &str| {
            let path = dir.join(name);
            let size = std::fs::metadata(&path).map(|m| m.len());
            let size = size.with_context(|| format!("cannot read {}", path.display()))?;
            ensure!(size <= MOST_BYTES, "{}: over 1 MiB", path.display());
            std::fs::read_to_string(&path)
                .with_context(|| format!("cannot read {}", path.display()))
        };
        let revoked = match dir.join(REVOKED).exists() {
            true => text(REVOKED)?,
            false => String::new(),
        };
        Ok(Texts {
            certificate: text(CERTIFICATE)?,
            key: text(KEY)?,
            trusted: text(TRUSTED)?,
            revoked,
        })
    }
}

/// Puts a new certificate and its key into a directory of keys, with whom to
/// trust and what is revoked. Authorities that were trusted before stay so.
pub fn install(dir: &Path, issued: &Issued, authority: &str, revoked: &str) -> Result<()> {
    std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
    let write = |name: &str, text: &str, secret: bool| {
        let path = dir.join(name);
        replace(&path, text, secret).with_context(|| format!("cannot write {}", path.display()))
    };
    let trusted = dir.join(TRUSTED);
    let mut all = match trusted.exists() {
        true => std::fs::read_to_string(&trusted)
            .with_context(|| format!("cannot read {}", trusted.display()))?,
        false => String::new(),
    };
    if !all.contains(authority.trim()) {
        all.push_str(authority);
        write(TRUSTED, &all, false)?;
    }
    // Lists of other authorities are not this one's to replace.
    if !dir.join(REVOKED).exists() {
        write(REVOKED, revoked, false)?;
    }
    // A reader between the two finds a pair that doesn't fit and keeps the
    // old one.
    write(KEY, &issued.key, true)?;
    write(CERTIFICATE, &issued.certificate, false)
}

/// What a certificate says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Says {
    pub name: String,
    pub serial: u64,
    pub until: Seconds,
}

pub fn says(certificate: &CertificateDer<'_>) -> Result<Says> {
    let (_, c) = X509Certificate::from_der(certificate).context("not a certificate")?;
    let names = c.subject_alternative_name().context("its names")?;
    let name = names
        .iter()
        .flat_map(|n| &n.value.general_names)
        .find_map(|n| match n {
            GeneralName::DNSName(name) => Some((*name).to_owned()),
            _ => None,
        });
    let serial = c.tbs_certificate.raw_serial();
    let number = serial
        .iter()
        .fold(0u64, |n, b| n.wrapping_shl(8) | u64::from(*b));
    Ok(Says {
        name: name.context("it names nobody")?,
        serial: number,
        until: u64::try_from(c.validity().not_after.timestamp()).unwrap_or(0),
    })
}

/// How urgent it is to renew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    Enough,
    /// Fewer than thirty days.
    Soon {
        days: u64,
    },
    Expired,
}

const SOON_DAYS: u64 = 30;

pub fn left(until: Seconds, now: Seconds) -> Left {
    if now > until {
        return Left::Expired;
    }
    match (until - now) / crate::DAY {
        days if days < SOON_DAYS => Left::Soon { days },
        _ => Left::Enough,
    }
}

/// Ready for both sides of a connection.
#[derive(Debug, Clone)]
pub struct Keys {
    pub own: Says,
    pub client: Arc<ClientConfig>,
    pub server: Arc<ServerConfig>,
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// The time by which certificates are judged.
pub fn system_time() -> Arc<dyn TimeProvider> {
    Arc::new(DefaultTimeProvider)
}

/// A time that stands still, for tests.
#[derive(Debug)]
pub struct At(pub Seconds);

impl TimeProvider for At {
    fn current_time(&self) -> Option<UnixTime> {
        Some(UnixTime::since_unix_epoch(std::time::Duration::from_secs(
            self.0,
        )))
    }
}

impl Keys {
    pub fn load(texts: &Texts, time: &Arc<dyn TimeProvider>) -> Result<Self> {
        let chain = CertificateDer::pem_slice_iter(texts.certificate.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .context(CERTIFICATE)?;
        let first = chain
            .first()
            .with_context(|| format!("{CERTIFICATE}: no certificate in it"))?;
        let own = says(first).context(CERTIFICATE)?;
        let key = PrivateKeyDer::from_pem_slice(texts.key.as_bytes()).context(KEY)?;
        let mut roots = RootCertStore::empty();
        for c in CertificateDer::pem_slice_iter(texts.trusted.as_bytes()) {
            roots.add(c.context(TRUSTED)?).context(TRUSTED)?;
        }
        ensure!(!roots.is_empty(), "{TRUSTED}: no certificate in it");
        let lists = CertificateRevocationListDer::pem_slice_iter(texts.revoked.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .context(REVOKED)?;
        let roots = Arc::new(roots);
        // An authority without a list is trusted as it is.
        let of_clients = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider())
            .with_crls(lists.iter().cloned())
            .allow_unknown_revocation_status()
            .build()
            .context(REVOKED)?;
        let of_servers = WebPkiServerVerifier::builder_with_provider(roots, provider())
            .with_crls(lists)
            .allow_unknown_revocation_status()
            .build()
            .context(REVOKED)?;
        let server = ServerConfig::builder_with_details(provider(), time.clone())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(of_clients)
            .with_single_cert(chain.clone(), key.clone_key())
            .context(KEY)?;
        let client = ClientConfig::builder_with_details(provider(), time.clone())
            .with_safe_default_protocol_versions()?
            .with_webpki_verifier(of_servers)
            .with_client_auth_cert(chain, key)
            .context(KEY)?;
        Ok(Keys {
            own,
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}
