//! What a certificate says, and how urgent it is to renew it.

use crate::{DAY, Seconds};
use rustls::pki_types::CertificateDer;
use thiserror::Error;
use x509_parser::{
    error::X509Error,
    nom,
    prelude::{FromDer, GeneralName, X509Certificate},
};

/// A certificate with less than this left is to be renewed.
const RENEWAL_DAYS: u64 = 30;

/// Why it can't be known whose a certificate is.
#[derive(Debug, Error)]
pub enum CertificateError {
    /// The bytes are not those of a certificate.
    #[error("not a certificate")]
    Malformed(#[from] nom::Err<X509Error>),
    /// Its extension with names can't be read.
    #[error("its names")]
    Names(#[from] X509Error),
    /// It has no DNS name.
    #[error("it names nobody")]
    Nameless,
}

/// The identity and validity that a certificate states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Says {
    /// The installation that it was issued to.
    pub name: String,
    /// The serial number at its authority.
    pub serial: u64,
    /// When it expires.
    pub until: Seconds,
}

/// Reads what a certificate says; it is not verified.
pub fn read_certificate(certificate: &CertificateDer<'_>) -> Result<Says, CertificateError> {
    let (_, certificate) = X509Certificate::from_der(certificate)?;
    let names = certificate.subject_alternative_name()?;
    let name = names
        .iter()
        .flat_map(|n| &n.value.general_names)
        .find_map(|n| match n {
            GeneralName::DNSName(name) => Some((*name).to_owned()),
            _ => None,
        });
    let serial = certificate.tbs_certificate.raw_serial();
    Ok(Says {
        name: name.ok_or(CertificateError::Nameless)?,
        serial: serial
            .iter()
            .fold(0u64, |n, b| n.wrapping_shl(8) | u64::from(*b)),
        until: u64::try_from(certificate.validity().not_after.timestamp()).unwrap_or(0),
    })
}

/// How urgent it is to renew a certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    /// Not yet.
    Enough,
    /// Fewer than thirty days are left.
    Soon {
        /// Whole days that are left.
        days: u64,
    },
    /// It has expired.
    Expired,
}

/// How urgent it is to renew a certificate that expires at `until`.
pub fn left(until: Seconds, now: Seconds) -> Left {
    if now > until {
        return Left::Expired;
    }
    match (until - now) / DAY {
        days if days < RENEWAL_DAYS => Left::Soon { days },
        _ => Left::Enough,
    }
}
