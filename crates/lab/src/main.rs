//! Command line of the lab.

use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use clap::{Args, Parser, Subcommand};
use futures_lite::StreamExt;
use pathwinch_lab::{
    markets,
    site::Site,
    up::{self, Addresses, Roll},
};
use std::{path::PathBuf, process::ExitCode, time::Duration};

/// A whole installation on this machine: stand-ins of the state service, the
/// cloud and workers, and real controllers.
#[derive(Parser)]
#[command(name = "pathwinch-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start everything on loopback and run until Ctrl-C.
    Up(Up),
    /// Print the site that `up` uses when it is given none, to be edited.
    Site,
}

#[derive(Args)]
struct Up {
    /// The site, as JSON (see `pathwinch-lab site`).
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// The controllers' program; by default the one beside this.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where the controllers' settings and logs go; by default a directory of
    /// its own among the system's temporary files.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Also start so many stand-in markets, and two brokers that lend jobs of
    /// class slice to them (see docs/markets.md).
    #[arg(long, value_name = "COUNT", default_value_t = 0)]
    markets: usize,
    /// After a while the controllers are killed one by one and come back with
    /// this program; then the state service has the limits that the site's
    /// `state.next` names (see docs/upgrade.md).
    #[arg(long, value_name = "FILE")]
    upgrade_to: Option<PathBuf>,
    /// Seconds from the start to the first of them.
    #[arg(long, value_name = "S", default_value_t = 20, requires = "upgrade_to")]
    after: u64,
    /// Seconds from one to the next.
    #[arg(long, value_name = "S", default_value_t = 8, requires = "upgrade_to")]
    every: u64,
    /// Print the addresses as JSON.
    #[arg(long)]
    json: bool,
}

fn tell(addresses: &Addresses, json: bool) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    if json {
        let text = serde_json::to_string(addresses).unwrap_or_default();
        let _ = writeln!(out, "{text}");
        let _ = out.flush();
        return;
    }
    let _ = writeln!(out, "users         {}", addresses.users);
    for (name, listen, back) in &addresses.controllers {
        let _ = writeln!(out, "{name:<13} listen {listen}, back {back}");
    }
    let _ = writeln!(out, "state service {}", addresses.state);
    let _ = writeln!(out, "cloud         {}", addresses.cloud);
    for (name, addr) in &addresses.markets {
        let _ = writeln!(out, "market {name:<6} {addr}");
    }
    let _ = writeln!(out, "settings, logs {}", addresses.dir.display());
    let _ = writeln!(
        out,
        "\nTry: pathwinch submit examples/job.json --wait --at {}\nCtrl-C ends everything.",
        addresses.users
    );
    let _ = out.flush();
}

fn start(cli: Cli) -> Result<()> {
    let Command::Up(asked) = cli.command else {
        println!("{}", serde_json::to_string_pretty(&Site::default())?);
        return Ok(());
    };
    let site = match &asked.site {
        Some(path) => Site::load(path)?,
        None => Site::default(),
    };
    let program = match asked.program {
        Some(path) => path,
        None => up::program_beside()?,
    };
    let own = format!("pathwinch-lab-{}", std::process::id());
    let dir = asked.dir.unwrap_or_else(|| std::env::temp_dir().join(own));
    let mut signals =
        Signals::new([Signal::Int, Signal::Term]).context("signals can't be received")?;
    let over = async {
        signals.next().await;
    };
    anyhow::ensure!(
        asked.markets <= markets::MOST,
        "--markets: at most {}",
        markets::MOST
    );
    let told = |a: &Addresses| tell(a, asked.json);
    let roll = asked.upgrade_to.map(|program| Roll {
        program,
        after: Duration::from_secs(asked.after),
        every: Duration::from_secs(asked.every),
    });
    up::run(site, program, dir, asked.markets, roll, told, over)
}

fn main() -> ExitCode {
    pathwinch_cli::log("warn");
    match start(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pathwinch-lab: {e:#}");
            ExitCode::FAILURE
        }
    }
}
