//! Command line of `pathwinch-lab`.

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

/// A whole cluster on this machine: a simulated state service, cloud and
/// workers, and real controllers.
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
    /// Print the default site of `up` as JSON, as a starting point for a site file.
    Site,
    /// Run the machines and the load of a plan against real controllers, measure
    /// the resource usage of each role, and exit.
    Scale(Scale),
}

#[derive(Args)]
struct Scale {
    /// The plan file, in TOML (see examples/scale.toml).
    #[arg(value_name = "PLAN")]
    plan: PathBuf,
    /// Scale all counts of the plan to this number of machines.
    #[arg(long, value_name = "COUNT")]
    machines: Option<u32>,
    /// The controller program; by default `pathwinch` in the directory of this
    /// program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Directory for the settings and logs of the controllers; by default a
    /// directory for this process under the system's temporary directory.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Write the report to this file, as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct Up {
    /// The site file, in JSON (see `pathwinch-lab site`).
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// The controller program; by default `pathwinch` in the directory of this
    /// program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Directory for the settings and logs of the controllers; by default a
    /// directory for this process under the system's temporary directory.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Also start this number of simulated markets, and two brokers that offload
    /// jobs of class `slice` to them (see docs/markets.md).
    #[arg(long, value_name = "COUNT", default_value_t = 0)]
    markets: usize,
    /// Upgrade to this controller program while the testbed runs: the controllers
    /// are killed one by one and restarted with it; then the limits in
    /// `state.next` of the site apply to the state service (see docs/upgrade.md).
    #[arg(long, value_name = "FILE")]
    upgrade_to: Option<PathBuf>,
    /// Seconds from the start to the upgrade of the first controller.
    #[arg(long, value_name = "S", default_value_t = 20, requires = "upgrade_to")]
    after: u64,
    /// Seconds between the upgrades of two controllers.
    #[arg(long, value_name = "S", default_value_t = 8, requires = "upgrade_to")]
    every: u64,
    /// Print the addresses as one line of JSON.
    #[arg(long)]
    json: bool,
}

fn print_addresses(addresses: &Addresses, json: bool) {
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
        "\nTry: pathwinch submit examples/job.json --wait --at {}\nCtrl-C stops everything.",
        addresses.users
    );
    let _ = out.flush();
}

fn start(cli: Cli) -> Result<()> {
    match cli.command {
        Command::Up(args) => start_up(args),
        Command::Scale(args) => start_scale(args),
        Command::Site => {
            println!("{}", serde_json::to_string_pretty(&Site::default())?);
            Ok(())
        }
    }
}

/// Returns the given program, or by default the one in the directory of this
/// program.
fn controllers_program(given: Option<PathBuf>) -> Result<PathBuf> {
    match given {
        Some(path) => Ok(path),
        None => children::program_in_own_directory(),
    }
}

/// Returns the given directory, or by default one for this process under the
/// system's temporary directory.
fn working_directory(given: Option<PathBuf>) -> PathBuf {
    let default_name = format!("pathwinch-lab-{}", std::process::id());
    given.unwrap_or_else(|| std::env::temp_dir().join(default_name))
}

fn start_scale(args: Scale) -> Result<()> {
    let mut plan = Plan::load(&args.plan)?;
    if let Some(machines) = args.machines {
        plan = plan.scaled(machines).context("--machines")?;
    }
    let program = controllers_program(args.program)?;
    let dir = working_directory(args.dir);
    let report = scale::run(plan, &program, &dir)?;
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text + "\n")
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    println!("{}", report.text());
    report.verdict()
}

fn start_up(args: Up) -> Result<()> {
    let site = match &args.site {
        Some(path) => Site::load(path)?,
        None => Site::default(),
    };
    let program = controllers_program(args.program)?;
    let dir = working_directory(args.dir);
    let mut signals = Signals::new([Signal::Int, Signal::Term])
        .context("cannot install the handler for SIGINT and SIGTERM")?;
    let shutdown = async {
        signals.next().await;
    };
    anyhow::ensure!(
        args.markets <= markets::MAX_MARKETS,
        "--markets: must be at most {}",
        markets::MAX_MARKETS
    );
    let on_ready = |a: &Addresses| print_addresses(a, args.json);
    let upgrade = args.upgrade_to.map(|program| RollingUpgrade {
        program,
        first_after: Duration::from_secs(args.after),
        interval: Duration::from_secs(args.every),
    });
    up::run(
        site,
        program,
        dir,
        args.markets,
        upgrade,
        on_ready,
        shutdown,
    )
}

fn main() -> ExitCode {
    pathwinch_cli::init_logging("warn");
    match start(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pathwinch-lab: {e:#}");
            ExitCode::FAILURE
        }
    }
}
