//! A certificate authority of the installations' own: no public one is asked,
//! as installations that trust each other know each other's.
//!
//! Files in its directory: `ca.pem`, `ca.key`, `crl.pem`, and `authority.json`
//! with the serial numbers that were used. A serial number is written down
//! before its certificate is made, so that none recurs.

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

/// Clocks of installations differ: certificates and lists count from a little
/// before they are made.
const CLOCK_TOLERANCE: Seconds = 300;
const REVOCATION_LIST_VALIDITY: Seconds = 365 * DAY;

/// The longest validity of a certificate, in days.
pub const MAX_VALIDITY_DAYS: u64 = 3_650;

/// Why the authority did not do what it was asked.
#[derive(Debug, Error)]
pub enum AuthorityError {
    /// The name can't be that of an installation.
    #[error("name: {0:?} is not of lower-case letters, digits and hyphens")]
    InvalidName(String),
    /// The validity is out of range.
    #[error("days: 1 to {MAX_VALIDITY_DAYS}")]
    InvalidDays,
    /// The directory has an authority, which is not overwritten.
    #[error("{}: there is an authority already", .0.display())]
    Exists(PathBuf),
    /// The directory has no authority.
    #[error("{}: there is no authority", .0.display())]
    Missing(PathBuf),
    /// No certificate of this serial number was issued.
    #[error("serial: {0} was never made here")]
    UnknownSerial(u64),
    /// A time has no date in the calendar.
    #[error("a time beyond the calendar")]
    TimeOutOfRange,
    /// The authority's key or certificate can't be used.
    #[error("{file}")]
    InvalidFile {
        /// The name of the file.
        file: &'static str,
        /// What is wrong with it.
        source: rcgen::Error,
    },
    /// The ledger of issued certificates can't be understood.
    #[error("{}", path.display())]
    InvalidLedger {
        /// The ledger's path.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The ledger can't be written as JSON.
    #[error(transparent)]
    WriteLedger(#[from] serde_json::Error),
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A certificate or list can't be made.
    #[error(transparent)]
    Sign(#[from] rcgen::Error),
}

type Result<T, E = AuthorityError> = std::result::Result<T, E>;

/// The ledger's entry for one certificate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CertificateRecord {
    /// The serial number; none is used twice.
    pub serial: u64,
    /// The installation that it was issued to.
    pub name: String,
    /// When it expires.
    pub until: Seconds,
    /// When it was revoked, if it was.
    #[serde(default)]
    pub revoked: Option<Seconds>,
}

/// What `authority.json` holds; the names in it are part of the file format.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Ledger {
    #[serde(rename = "next")]
    next_serial: u64,
    #[serde(rename = "made")]
    issued: Vec<CertificateRecord>,
    /// Number of revocation lists made so far; lists are numbered.
    #[serde(rename = "lists")]
    revocation_lists: u64,
}

/// A certificate with its key, in PEM.
#[derive(Debug, Clone)]
pub struct IssuedCertificate {
    /// The ledger's entry.
    pub made: CertificateRecord,
    /// The certificate.
    pub certificate: String,
    /// The private key, which the authority does not keep.
    pub key: String,
}

/// A certificate authority in a directory. Nothing is cached: each operation
/// reads the files and writes what it changed.
#[derive(Debug)]
pub struct Authority {
    dir: PathBuf,
}

impl Authority {
    /// Makes an authority in a directory that has none.
    pub fn make(dir: &Path, name: &str, days: u64, now: Seconds) -> Result<Self> {
        check_request(name, days)?;
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
        // The key comes late: its file says that there is an authority.
        authority.write(KEY_FILE, &key.serialize_pem(), Access::OwnerOnly)?;
        authority.list_revoked(now)?;
        Ok(authority)
    }

    /// Opens the authority in a directory.
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

    /// Its own certificate in PEM, for those who are to trust it.
    pub fn certificate(&self) -> Result<String> {
        self.read(CERTIFICATE_FILE)
    }

    /// The list of certificates that it revoked, in PEM.
    pub fn revoked(&self) -> Result<String> {
        self.read(REVOCATION_LIST_FILE)
    }

    /// All certificates issued so far.
    pub fn made(&self) -> Result<Vec<CertificateRecord>> {
        Ok(self.ledger()?.issued)
    }

    /// Issues a certificate to an installation, with a key of its own.
    pub fn issue(&self, name: &str, days: u64, now: Seconds) -> Result<IssuedCertificate> {
        check_request(name, days)?;
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
            made: record,
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Revokes a certificate and writes the list anew. A certificate that is
    /// revoked already keeps its time of revocation.
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
        self.list_revoked(now)?;
        Ok(record)
    }

    /// Writes the list of revoked certificates; it leaves out those that have
    /// expired.
    pub fn list_revoked(&self, now: Seconds) -> Result<()> {
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

fn check_request(name: &str, days: u64) -> Result<()> {
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

/// The authority's own certificate.
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

/// What the certificate of an installation says: it serves both sides of a
/// connection.
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
