//! An authority of its own: no public one is asked, as installations that
//! trust each other know each other's.
//!
//! Files in its directory: `ca.pem`, `ca.key`, `crl.pem`, and `authority.json`
//! with the serial numbers that were used. A serial is written down before its
//! certificate is made, so that none recurs.

use crate::{DAY, Seconds, replace, valid_name};
use anyhow::{Context, Result, bail, ensure};
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose,
    RevokedCertParams, SerialNumber,
};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use time::OffsetDateTime;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Made {
    pub serial: u64,
    pub name: String,
    pub until: Seconds,
    #[serde(default)]
    pub revoked: Option<Seconds>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Ledger {
    next: u64,
    made: Vec<Made>,
    lists: u64,
}

#[derive(Debug)]
pub struct Authority {
    dir: PathBuf,
}

/// A certificate with its key, in PEM.
#[derive(Debug, Clone)]
pub struct Issued {
    pub made: Made,
    pub certificate: String,
    pub key: String,
}

/// Clocks of installations differ: certificates count from a little before.
const EARLIER: Seconds = 300;
pub const MOST_DAYS: u64 = 3_650;

fn moment(at: Seconds) -> Result<OffsetDateTime> {
    i64::try_from(at)
        .ok()
        .and_then(|s| OffsetDateTime::from_unix_timestamp(s).ok())
        .context("a time beyond the calendar")
}

impl Authority {
    fn path(&self, file: &str) -> PathBuf {
        self.dir.join(file)
    }

    fn read(&self, file: &str) -> Result<String> {
        let path = self.path(file);
        std::fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))
    }

    fn write(&self, file: &str, text: &str, secret: bool) -> Result<()> {
        let path = self.path(file);
        replace(&path, text, secret).with_context(|| format!("cannot write {}", path.display()))
    }

    /// Makes an authority in a directory that has none.
    pub fn make(dir: &Path, name: &str, days: u64, now: Seconds) -> Result<Self> {
        ensure!(
            valid_name(name),
            "name: {name:?} is not of lower-case letters, digits and hyphens"
        );
        ensure!((1..=MOST_DAYS).contains(&days), "days: 1 to {MOST_DAYS}");
        std::fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
        let own = Authority {
            dir: dir.to_owned(),
        };
        ensure!(
            !own.path("ca.key").exists(),
            "{}: there is an authority already",
            dir.display()
        );
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, format!("pathwinch authority of {name}"));
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.not_before = moment(now.saturating_sub(EARLIER))?;
        params.not_after = moment(now + days * DAY)?;
        let certificate = params.self_signed(&key)?;
        own.write("ca.pem", &certificate.pem(), false)?;
        own.save(&Ledger {
            next: 1,
            ..Ledger::default()
        })?;
        own.write("ca.key", &key.serialize_pem(), true)?;
        own.list_revoked(now)?;
        Ok(own)
    }

    pub fn open(dir: &Path) -> Result<Self> {
        let own = Authority {
            dir: dir.to_owned(),
        };
        ensure!(
            own.path("ca.key").exists(),
            "{}: there is no authority",
            dir.display()
        );
        own.ledger()?;
        Ok(own)
    }

    fn ledger(&self) -> Result<Ledger> {
        serde_json::from_str(&self.read("authority.json")?)
            .with_context(|| format!("{}", self.path("authority.json").display()))
    }

    fn save(&self, ledger: &Ledger) -> Result<()> {
        let text = serde_json::to_string_pretty(ledger)?;
        self.write("authority.json", &text, true)
    }

    fn issuer(&self) -> Result<Issuer<'static, KeyPair>> {
        let key = KeyPair::from_pem(&self.read("ca.key")?).context("ca.key")?;
        Issuer::from_ca_cert_pem(&self.read("ca.pem")?, key).context("ca.pem")
    }

    /// Its own certificate, for those who are to trust it.
    pub fn certificate(&self) -> Result<String> {
        self.read("ca.pem")
    }

    /// The list of what it revoked.
    pub fn revoked(&self) -> Result<String> {
        self.read("crl.pem")
    }

    /// What has been made so far.
    pub fn made(&self) -> Result<Vec<Made>> {
        Ok(self.ledger()?.made)
    }

    /// Makes a certificate for an installation, with a key of its own.
    pub fn issue(&self, name: &str, days: u64, now: Seconds) -> Result<Issued> {
        ensure!(
            valid_name(name),
            "name: {name:?} is not of lower-case letters, digits and hyphens"
        );
        ensure!((1..=MOST_DAYS).contains(&days), "days: 1 to {MOST_DAYS}");
        let mut ledger = self.ledger()?;
        let made = Made {
            serial: ledger.next,
            name: name.to_owned(),
            until: now + days * DAY,
            revoked: None,
        };
        ledger.next += 1;
        ledger.made.push(made.clone());
        self.save(&ledger)?;
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![name.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.serial_number = Some(SerialNumber::from(made.serial));
        params.not_before = moment(now.saturating_sub(EARLIER))?;
        params.not_after = moment(made.until)?;
        params.use_authority_key_identifier_extension = true;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer()?)?;
        Ok(Issued {
            made,
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Revokes a certificate and writes the list anew.
    pub fn revoke(&self, serial: u64, now: Seconds) -> Result<Made> {
        let mut ledger = self.ledger()?;
        let Some(made) = ledger.made.iter_mut().find(|m| m.serial == serial) else {
            bail!("serial: {serial} was never made here");
        };
        made.revoked.get_or_insert(now);
        let made = made.clone();
        self.save(&ledger)?;
        self.list_revoked(now)?;
        Ok(made)
    }

    /// Writes the list of revoked certificates; it leaves out those that have
    /// expired.
    pub fn list_revoked(&self, now: Seconds) -> Result<()> {
        let mut ledger = self.ledger()?;
        ledger.lists += 1;
        self.save(&ledger)?;
        let revoked_certs = ledger
            .made
            .iter()
            .filter(|m| m.until >= now)
            .filter_map(|m| Some((m.serial, m.revoked?)))
            .map(|(serial, at)| {
                Ok(RevokedCertParams {
                    serial_number: SerialNumber::from(serial),
                    revocation_time: moment(at)?,
                    reason_code: None,
                    invalidity_date: None,
                })
            })
            .collect::<Result<Vec<_>>>()?;
        let list = CertificateRevocationListParams {
            this_update: moment(now.saturating_sub(EARLIER))?,
            next_update: moment(now + 365 * DAY)?,
            crl_number: SerialNumber::from(ledger.lists),
            issuing_distribution_point: None,
            revoked_certs,
            key_identifier_method: KeyIdMethod::Sha256,
        };
        let list = list.signed_by(&self.issuer()?)?;
        self.write("crl.pem", &list.pem()?, false)
    }
}
