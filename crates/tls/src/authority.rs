//! Private certificate authority for installations. No public authority is
//! needed, because installations that trust each other know each other's
//! authority.
//!
//! The authority's directory contains `ca.pem`, `ca.key`, `crl.pem`, and
//! `authority.json` with the serial numbers that were used. A serial number is
//! recorded before its certificate is issued, so that no number is used twice.

use crate::{
    DAY, FileError, Seconds,
    file::{self, Access},
    is_valid_name,
};
use rcgen::{
    BasicConstraints, Certificate, CertificateParams, CertificateRevocationListParams, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose,
    RevokedCertParams, SerialNumber,
};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;
use time::OffsetDateTime;

const CERTIFICATE_FILE: &str = "ca.pem";
const KEY_FILE: &str = "ca.key";
const REVOCATION_LIST_FILE: &str = "crl.pem";
const LEDGER_FILE: &str = "authority.json";

/// Tolerated clock difference between installations, in seconds. Certificates
/// and revocation lists are valid from this long before they are issued.
const CLOCK_TOLERANCE: Seconds = 300;
/// Time after which the next revocation list is due, in seconds.
const REVOCATION_LIST_VALIDITY: Seconds = 365 * DAY;

/// Maximum validity of a certificate, in days.
pub const MAX_VALIDITY_DAYS: u64 = 3_650;

/// Error of an operation of the authority.
#[derive(Debug, Error)]
pub enum AuthorityError {
    /// The name is not a valid name of an installation.
    #[error("name: {0:?} is not a DNS label of lower-case letters, digits and hyphens")]
    InvalidName(String),
    /// The requested validity is out of range.
    #[error("days: the validity must be 1 to {MAX_VALIDITY_DAYS} days")]
    InvalidDays,
    /// The directory already contains an authority, which is not overwritten.
    #[error("{}: directory already contains an authority", .0.display())]
    Exists(PathBuf),
    /// The directory contains no authority.
    #[error("{}: directory contains no authority", .0.display())]
    Missing(PathBuf),
    /// The authority has issued no certificate with this serial number.
    #[error("serial: this authority issued no certificate with serial number {0}")]
    UnknownSerial(u64),
    /// A time can't be represented as a calendar date.
    #[error("time is outside the range of calendar dates")]
    TimeOutOfRange,
    /// The authority's key or certificate can't be used.
    #[error("{file}: invalid authority key or certificate")]
    InvalidFile {
        /// Name of the file.
        file: &'static str,
        /// Error of the certificate library.
        source: rcgen::Error,
    },
    /// The ledger of issued certificates can't be parsed.
    #[error("{}: invalid ledger of issued certificates", path.display())]
    InvalidLedger {
        /// Path of the ledger.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The ledger can't be encoded as JSON.
    #[error(transparent)]
    WriteLedger(#[from] serde_json::Error),
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A certificate or revocation list can't be created or signed.
    #[error(transparent)]
    Sign(#[from] rcgen::Error),
}

type Result<T, E = AuthorityError> = std::result::Result<T, E>;

/// Ledger entry of one certificate. The field names are part of the format of
/// `authority.json`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CertificateRecord {
    /// Serial number, unique within the authority.
    pub serial: u64,
    /// Name of the installation to which the certificate was issued.
    pub name: String,
    /// Time of expiry.
    pub until: Seconds,
    /// Time of revocation; `None` if the certificate is not revoked.
    #[serde(default)]
    pub revoked: Option<Seconds>,
}

/// Content of `authority.json`. The serialized names are part of the file
/// format.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Ledger {
    #[serde(rename = "next")]
    next_serial: u64,
    #[serde(rename = "made")]
    issued: Vec<CertificateRecord>,
    /// Number of revocation lists issued so far, used as the number of the latest
    /// list.
    #[serde(rename = "lists")]
    revocation_lists: u64,
}

/// An issued certificate with its private key, in PEM.
#[derive(Debug, Clone)]
pub struct IssuedCertificate {
    /// Ledger entry of the certificate.
    pub record: CertificateRecord,
    /// Certificate in PEM.
    pub certificate: String,
    /// Private key in PEM, which the authority does not keep.
    pub key: String,
}

/// Certificate authority stored in a directory. Nothing is cached: each
/// operation reads the files that it needs and writes those that it changes.
#[derive(Debug)]
pub struct Authority {
    dir: PathBuf,
}

impl Authority {
    /// Creates an authority for the installation `name` in a directory that
    /// contains none. Its certificate is valid for `days` days.
    pub fn create(dir: &Path, name: &str, days: u64, now: Seconds) -> Result<Self> {
        validate_request(name, days)?;
        file::create_dir(dir)?;
        let authority = Authority {
            dir: dir.to_owned(),
        };
        if authority.path(KEY_FILE).exists() {
            return Err(AuthorityError::Exists(authority.dir));
        }
        let key = KeyPair::generate()?;
        let certificate = self_signed(name, days, now, &key)?;
        authority.write(CERTIFICATE_FILE, &certificate.pem(), Access::Everyone)?;
        authority.save(&Ledger {
            next_serial: 1,
            ..Ledger::default()
        })?;
        // The key file marks the directory as containing an authority, so it is
        // written after the certificate and the ledger.
        authority.write(KEY_FILE, &key.serialize_pem(), Access::OwnerOnly)?;
        authority.write_revocation_list(now)?;
        Ok(authority)
    }

    /// Opens the authority in a directory. Fails if the directory contains none
    /// or the ledger is invalid.
    pub fn open(dir: &Path) -> Result<Self> {
        let authority = Authority {
            dir: dir.to_owned(),
        };
        if !authority.path(KEY_FILE).exists() {
            return Err(AuthorityError::Missing(authority.dir));
        }
        authority.ledger()?;
        Ok(authority)
    }

    /// Returns the authority's own certificate in PEM, for installations that are
    /// to trust the authority.
    pub fn certificate(&self) -> Result<String> {
        self.read(CERTIFICATE_FILE)
    }

    /// Returns the current revocation list in PEM.
    pub fn revocation_list(&self) -> Result<String> {
        self.read(REVOCATION_LIST_FILE)
    }

    /// Returns the ledger entries of all certificates issued so far.
    pub fn issued_certificates(&self) -> Result<Vec<CertificateRecord>> {
        Ok(self.ledger()?.issued)
    }

    /// Issues a certificate to the installation `name`, valid for `days` days,
    /// and generates a private key for it.
    pub fn issue(&self, name: &str, days: u64, now: Seconds) -> Result<IssuedCertificate> {
        validate_request(name, days)?;
        let mut ledger = self.ledger()?;
        let record = CertificateRecord {
            serial: ledger.next_serial,
            name: name.to_owned(),
            until: now + days * DAY,
            revoked: None,
        };
        ledger.next_serial += 1;
        ledger.issued.push(record.clone());
        self.save(&ledger)?;
        let key = KeyPair::generate()?;
        let certificate = installation_params(&record, now)?.signed_by(&key, &self.issuer()?)?;
        Ok(IssuedCertificate {
            record,
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Revokes a certificate and writes a new revocation list. A certificate that
    /// is already revoked keeps its original time of revocation.
    pub fn revoke(&self, serial: u64, now: Seconds) -> Result<CertificateRecord> {
        let mut ledger = self.ledger()?;
        let record = ledger
            .issued
            .iter_mut()
            .find(|record| record.serial == serial)
            .ok_or(AuthorityError::UnknownSerial(serial))?;
        record.revoked.get_or_insert(now);
        let record = record.clone();
        self.save(&ledger)?;
        self.write_revocation_list(now)?;
        Ok(record)
    }

    /// Writes a new revocation list. Revoked certificates that have expired are
    /// omitted.
    pub fn write_revocation_list(&self, now: Seconds) -> Result<()> {
        let mut ledger = self.ledger()?;
        ledger.revocation_lists += 1;
        self.save(&ledger)?;
        let revoked_certs = ledger
            .issued
            .iter()
            .filter(|record| record.until >= now)
            .filter_map(|record| Some((record.serial, record.revoked?)))
            .map(|(serial, at)| {
                Ok(RevokedCertParams {
                    serial_number: SerialNumber::from(serial),
                    revocation_time: calendar_time(at)?,
                    reason_code: None,
                    invalidity_date: None,
                })
            })
            .collect::<Result<Vec<_>>>()?;
        let list = CertificateRevocationListParams {
            this_update: calendar_time(now.saturating_sub(CLOCK_TOLERANCE))?,
            next_update: calendar_time(now + REVOCATION_LIST_VALIDITY)?,
            crl_number: SerialNumber::from(ledger.revocation_lists),
            issuing_distribution_point: None,
            revoked_certs,
            key_identifier_method: KeyIdMethod::Sha256,
        };
        let list = list.signed_by(&self.issuer()?)?;
        self.write(REVOCATION_LIST_FILE, &list.pem()?, Access::Everyone)
    }

    fn path(&self, file: &str) -> PathBuf {
        self.dir.join(file)
    }

    fn read(&self, file: &str) -> Result<String> {
        Ok(file::read(&self.path(file))?)
    }

    fn write(&self, file: &str, text: &str, access: Access) -> Result<()> {
        Ok(file::replace(&self.path(file), text, access)?)
    }

    fn ledger(&self) -> Result<Ledger> {
        serde_json::from_str(&self.read(LEDGER_FILE)?).map_err(|source| {
            AuthorityError::InvalidLedger {
                path: self.path(LEDGER_FILE),
                source,
            }
        })
    }

    fn save(&self, ledger: &Ledger) -> Result<()> {
        let text = serde_json::to_string_pretty(ledger)?;
        self.write(LEDGER_FILE, &text, Access::OwnerOnly)
    }

    fn issuer(&self) -> Result<Issuer<'static, KeyPair>> {
        let invalid = |file| move |source| AuthorityError::InvalidFile { file, source };
        let key = KeyPair::from_pem(&self.read(KEY_FILE)?).map_err(invalid(KEY_FILE))?;
        Issuer::from_ca_cert_pem(&self.read(CERTIFICATE_FILE)?, key)
            .map_err(invalid(CERTIFICATE_FILE))
    }
}

fn validate_request(name: &str, days: u64) -> Result<()> {
    if !is_valid_name(name) {
        return Err(AuthorityError::InvalidName(name.to_owned()));
    }
    match (1..=MAX_VALIDITY_DAYS).contains(&days) {
        true => Ok(()),
        false => Err(AuthorityError::InvalidDays),
    }
}

fn calendar_time(at: Seconds) -> Result<OffsetDateTime> {
    i64::try_from(at)
        .ok()
        .and_then(|s| OffsetDateTime::from_unix_timestamp(s).ok())
        .ok_or(AuthorityError::TimeOutOfRange)
}

/// Creates the authority's own, self-signed certificate.
fn self_signed(name: &str, days: u64, now: Seconds, key: &KeyPair) -> Result<Certificate> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params
        .distinguished_name
        .push(DnType::CommonName, format!("pathwinch authority of {name}"));
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.not_before = calendar_time(now.saturating_sub(CLOCK_TOLERANCE))?;
    params.not_after = calendar_time(now + days * DAY)?;
    Ok(params.self_signed(key)?)
}

/// Returns the parameters of an installation's certificate, which is valid for
/// both the server and the client side of a connection.
fn installation_params(record: &CertificateRecord, now: Seconds) -> Result<CertificateParams> {
    let mut params = CertificateParams::new(vec![record.name.clone()])?;
    params
        .distinguished_name
        .push(DnType::CommonName, record.name.as_str());
    params.serial_number = Some(SerialNumber::from(record.serial));
    params.not_before = calendar_time(now.saturating_sub(CLOCK_TOLERANCE))?;
    params.not_after = calendar_time(record.until)?;
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    Ok(params)
}
