//! Command line of the lab.

use anyhow::{Context, Result};
use async_signal::{Signal, Signals};
use clap::{Args, Parser, Subcommand};
use futures_lite::StreamExt;
use pathwinch_lab::{
    children::{self, RollingUpgrade},
    markets,
    scale::{self, plan::Plan},
    site::Site,
    up::{self, Addresses},
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
    /// Run a plan's fleet and load against real controllers, measure what each
    /// role spends, and end.
    Scale(Scale),
}

#[derive(Args)]
struct Scale {
    /// The plan, as TOML (see examples/scale.toml).
    #[arg(value_name = "PLAN")]
    plan: PathBuf,
    /// Scale all counts of the plan to so many machines.
    #[arg(long, value_name = "COUNT")]
    machines: Option<u32>,
    /// The controllers' program; by default the one beside this.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where the controllers' settings and logs go; by default a directory of
    /// its own among the system's temporary files.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Write the figures to this file, as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct Up {
    /// The site, as JSON (see `pathwinch-testbed site`).
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
    match cli.command {
        Command::Up(asked) => start_up(asked),
        Command::Scale(asked) => start_scale(asked),
        Command::Site => {
            println!("{}", serde_json::to_string_pretty(&Site::default())?);
            Ok(())
        }
    }
}

/// The program named, or the one beside this.
fn controllers_program(named: Option<PathBuf>) -> Result<PathBuf> {
    match named {
        Some(path) => Ok(path),
        None => children::program_beside(),
    }
}

/// The directory named, or one of this process among the temporary files.
fn working_directory(named: Option<PathBuf>) -> PathBuf {
    let own = format!("pathwinch-lab-{}", std::process::id());
    named.unwrap_or_else(|| std::env::temp_dir().join(own))
}

fn start_scale(asked: Scale) -> Result<()> {
    let mut plan = Plan::load(&asked.plan)?;
    if let Some(machines) = asked.machines {
        plan = plan.scaled(machines).context("--machines")?;
    }
    let program = controllers_program(asked.program)?;
    let dir = working_directory(asked.dir);
    let report = scale::run(plan, &program, &dir)?;
    if let Some(path) = &asked.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text + "\n")
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    println!("{}", report.text());
    report.verdict()
}

fn start_up(asked: Up) -> Result<()> {
    let site = match &asked.site {
        Some(path) => Site::load(path)?,
        None => Site::default(),
    };
    let program = controllers_program(asked.program)?;
    let dir = working_directory(asked.dir);
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
    let roll = asked.upgrade_to.map(|program| RollingUpgrade {
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
