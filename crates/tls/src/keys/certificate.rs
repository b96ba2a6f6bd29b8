//! Identity and validity of a certificate, and how urgent its renewal is.

use crate::{DAY, Seconds};
use rustls::pki_types::CertificateDer;
use thiserror::Error;
use x509_parser::{
    error::X509Error,
    nom,
    prelude::{FromDer, GeneralName, X509Certificate},
};

/// Remaining validity, in days, below which a certificate is due for renewal.
const RENEWAL_DAYS: u64 = 30;

/// Error of reading the identity in a certificate.
#[derive(Debug, Error)]
pub enum CertificateError {
    /// The bytes are not an X.509 certificate.
    #[error("not an X.509 certificate")]
    Malformed(#[from] nom::Err<X509Error>),
    /// The subject alternative name extension can't be parsed.
    #[error("invalid subject alternative names")]
    Names(#[from] X509Error),
    /// The certificate has no DNS name.
    #[error("certificate has no DNS name")]
    NoDnsName,
}

/// Identity and expiry of a certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateIdentity {
    /// Name of the installation to which the certificate was issued.
    pub name: String,
    /// Serial number assigned by the authority.
    pub serial: u64,
    /// Time of expiry.
    pub expires_at: Seconds,
}

/// Reads the identity and expiry of a certificate without verifying the
/// certificate.
pub fn read_certificate(
    certificate: &CertificateDer<'_>,
) -> Result<CertificateIdentity, CertificateError> {
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
    Ok(CertificateIdentity {
        name: name.ok_or(CertificateError::NoDnsName)?,
        serial: serial
            .iter()
            .fold(0u64, |n, b| n.wrapping_shl(8) | u64::from(*b)),
        expires_at: u64::try_from(certificate.validity().not_after.timestamp()).unwrap_or(0),
    })
}

/// Urgency of the renewal of a certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalState {
    /// Renewal is not due yet.
    NotDue,
    /// Fewer than 30 days are left, so the certificate is due for renewal.
    Due {
        /// Number of whole days left.
        days: u64,
    },
    /// The certificate has expired.
    Expired,
}

/// Returns how urgent the renewal of a certificate that expires at `expires_at` is.
pub fn renewal_state(expires_at: Seconds, now: Seconds) -> RenewalState {
    if now > expires_at {
        return RenewalState::Expired;
    }
    match (expires_at - now) / DAY {
        days if days < RENEWAL_DAYS => RenewalState::Due { days },
        _ => RenewalState::NotDue,
    }
}
