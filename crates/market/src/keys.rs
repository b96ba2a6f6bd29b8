//! The `pathwinch-market keys` commands: makes, renews, revokes and shows
//! certificates.

use anyhow::{Context, Result};
use clap::{Args, Subcommand};
use pathwinch_tls::{
    Seconds,
    authority::Authority,
    keys::{self, KeyFiles, RenewalState, renewal_state},
};
use std::{
    path::{Path, PathBuf},
    time::{SystemTime, UNIX_EPOCH},
};

#[derive(Subcommand)]
pub enum Keys {
    /// Make a certificate authority; its key signs all other certificates.
    Authority {
        /// Empty or new directory for the authority. It holds the private key:
        /// restrict access to it.
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// Name of the authority: lower-case letters, digits and hyphens.
        #[arg(long)]
        name: String,
        /// Validity in days.
        #[arg(long, default_value_t = 3650)]
        days: u64,
    },
    /// Make a certificate and its key for a home cluster or a market.
    Make {
        #[command(flatten)]
        args: IssueArgs,
        /// Name in the certificate, by which others refer to its owner.
        #[arg(long)]
        name: String,
        #[arg(long, default_value_t = 90)]
        days: u64,
    },
    /// Make a new certificate and key for the name of the certificate in a
    /// directory. Processes that use the directory reload it without a restart.
    Renew {
        #[command(flatten)]
        args: IssueArgs,
        #[arg(long, default_value_t = 90)]
        days: u64,
    },
    /// Revoke a certificate by its serial number (see `show`).
    Revoke {
        /// The authority's directory. Distribute its crl.pem, as revoked.pem, to
        /// all who trust the authority.
        #[arg(long, value_name = "DIR")]
        authority: PathBuf,
        #[arg(long)]
        serial: u64,
    },
    /// Show the certificate in a directory and its validity; for an authority's
    /// directory, all certificates that it made.
    Show {
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Arguments of the commands that issue a certificate.
#[derive(Args)]
pub struct IssueArgs {
    /// Directory of the authority that signs.
    #[arg(long, value_name = "DIR")]
    authority: PathBuf,
    /// Directory for the certificate and key.
    #[arg(long, value_name = "DIR")]
    to: PathBuf,
}

fn now() -> Seconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

fn issue_certificate(args: &IssueArgs, name: &str, days: u64) -> Result<()> {
    let authority = Authority::open(&args.authority)?;
    let issued = authority.issue(name, days, now())?;
    keys::install(
        &args.to,
        &issued,
        &authority.certificate()?,
        &authority.revocation_list()?,
    )?;
    println!(
        "{}: certificate {} for {name}, valid for {days} days",
        args.to.display(),
        issued.record.serial
    );
    Ok(())
}

fn own_certificate(dir: &Path) -> Result<keys::CertificateIdentity> {
    Ok(
        keys::Keys::load(&KeyFiles::read(dir)?, &keys::system_time())
            .with_context(|| dir.display().to_string())?
            .own,
    )
}

fn validity_text(until: Seconds, revoked: bool) -> String {
    match renewal_state(until, now()) {
        _ if revoked => "revoked".into(),
        RenewalState::Expired => "expired".into(),
        RenewalState::Due { days } => format!("expires in {days} days: renew it"),
        RenewalState::NotDue => format!("{} days left", (until - now()) / pathwinch_tls::DAY),
    }
}

fn show(dir: &Path, json: bool) -> Result<()> {
    let rows: Vec<(u64, String, Seconds, bool)> = match dir.join("ca.key").exists() {
        true => Authority::open(dir)?
            .issued_certificates()?
            .into_iter()
            .map(|m| (m.serial, m.name, m.until, m.revoked.is_some()))
            .collect(),
        false => {
            let own = own_certificate(dir)?;
            vec![(own.serial, own.name, own.expires_at, false)]
        }
    };
    if !json {
        println!("serial  name                  state");
    }
    for (serial, name, until, revoked) in rows {
        let state = validity_text(until, revoked);
        match json {
            true => println!(
                "{}",
                serde_json::json!({"serial": serial, "name": name,
                    "until_unix_s": until, "revoked": revoked, "state": state})
            ),
            false => println!("{serial:>6}  {name:<20}  {state}"),
        }
    }
    Ok(())
}

pub fn run(command: Keys) -> Result<()> {
    match command {
        Keys::Authority { dir, name, days } => {
            Authority::create(&dir, &name, days, now())?;
            println!(
                "{}: created the certificate authority {name}",
                dir.display()
            );
            Ok(())
        }
        Keys::Make { args, name, days } => issue_certificate(&args, &name, days),
        Keys::Renew { args, days } => {
            let name = own_certificate(&args.to)?.name;
            issue_certificate(&args, &name, days)
        }
        Keys::Revoke { authority, serial } => {
            let made = Authority::open(&authority)?.revoke(serial, now())?;
            println!("revoked certificate {serial} of {}", made.name);
            println!(
                "distribute {} as revoked.pem to all who trust this authority",
                authority.join("crl.pem").display()
            );
            Ok(())
        }
        Keys::Show { dir, json } => show(&dir, json),
    }
}
