//! `pathwinch-market keys`.

use anyhow::{Context, Result};
use clap::{Args, Subcommand};
use pathwinch_tls::{
    Seconds,
    authority::Authority,
    keys::{self, Left, Texts, left},
};
use std::{
    path::{Path, PathBuf},
    time::{SystemTime, UNIX_EPOCH},
};

#[derive(Subcommand)]
pub enum Keys {
    /// Make an authority of one's own; its key signs everything else.
    Authority {
        /// An empty or new directory, to be kept where nobody else reads it.
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// Whose authority: lower-case letters, digits and hyphens.
        #[arg(long)]
        name: String,
        /// How long it counts.
        #[arg(long, default_value_t = 3650)]
        days: u64,
    },
    /// Make a certificate and its key for a home or a market.
    Make {
        #[command(flatten)]
        of: Of,
        /// Its name; others call it by this.
        #[arg(long)]
        name: String,
        #[arg(long, default_value_t = 90)]
        days: u64,
    },
    /// Make a new certificate and key for the name that a directory has one of.
    /// Whoever uses the directory takes it up without a restart.
    Renew {
        #[command(flatten)]
        of: Of,
        #[arg(long, default_value_t = 90)]
        days: u64,
    },
    /// Revoke a certificate, by its serial number (see show).
    Revoke {
        /// The authority's directory; its crl.pem is then to be given, as
        /// revoked.pem, to all who trust it.
        #[arg(long, value_name = "DIR")]
        authority: PathBuf,
        #[arg(long)]
        serial: u64,
    },
    /// Say whose certificate a directory has and how long it counts; of an
    /// authority's directory, all that it made.
    Show {
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
pub struct Of {
    /// The authority's directory.
    #[arg(long, value_name = "DIR")]
    authority: PathBuf,
    /// Where the certificate and key go.
    #[arg(long, value_name = "DIR")]
    to: PathBuf,
}

fn now() -> Seconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

fn issue(of: &Of, name: &str, days: u64) -> Result<()> {
    let authority = Authority::open(&of.authority)?;
    let issued = authority.issue(name, days, now())?;
    keys::install(
        &of.to,
        &issued,
        &authority.certificate()?,
        &authority.revoked()?,
    )?;
    println!(
        "{}: certificate {} of {name}, for {days} days",
        of.to.display(),
        issued.made.serial
    );
    Ok(())
}

fn said(dir: &Path) -> Result<keys::Says> {
    Ok(keys::Keys::load(&Texts::read(dir)?, &keys::system_time())
        .with_context(|| dir.display().to_string())?
        .own)
}

fn counts(until: Seconds, revoked: bool) -> String {
    match left(until, now()) {
        _ if revoked => "revoked".into(),
        Left::Expired => "expired".into(),
        Left::Soon { days } => format!("expires in {days} days: renew it"),
        Left::Enough => format!("{} days left", (until - now()) / pathwinch_tls::DAY),
    }
}

fn show(dir: &Path, json: bool) -> Result<()> {
    let rows: Vec<(u64, String, Seconds, bool)> = match dir.join("ca.key").exists() {
        true => Authority::open(dir)?
            .made()?
            .into_iter()
            .map(|m| (m.serial, m.name, m.until, m.revoked.is_some()))
            .collect(),
        false => {
            let own = said(dir)?;
            vec![(own.serial, own.name, own.until, false)]
        }
    };
    if !json {
        println!("serial  name                  state");
    }
    for (serial, name, until, revoked) in rows {
        let state = counts(until, revoked);
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

pub fn run(asked: Keys) -> Result<()> {
    match asked {
        Keys::Authority { dir, name, days } => {
            Authority::make(&dir, &name, days, now())?;
            println!("{}: the authority of {name}", dir.display());
            Ok(())
        }
        Keys::Make { of, name, days } => issue(&of, &name, days),
        Keys::Renew { of, days } => {
            let name = said(&of.to)?.name;
            issue(&of, &name, days)
        }
        Keys::Revoke { authority, serial } => {
            let made = Authority::open(&authority)?.revoke(serial, now())?;
            println!("certificate {serial} of {} is revoked", made.name);
            println!(
                "give {} to all who trust this authority, as revoked.pem",
                authority.join("crl.pem").display()
            );
            Ok(())
        }
        Keys::Show { dir, json } => show(&dir, json),
    }
}
