//! Command line of pathwinch.

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use pathwinch::{
    node,
    protocol::{options::Options, settings::Settings},
};
use std::{path::PathBuf, process::ExitCode};

/// A small cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve(Files),
    /// Check the settings and say what is wrong with them.
    CheckConfig(Files),
}

#[derive(Args)]
struct Files {
    /// The platform's JSON settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' INI file.
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
}

impl Files {
    fn load(&self) -> Result<(Settings, Options)> {
        let settings = Settings::load(&self.config)?;
        let options = match &self.options {
            Some(path) => Options::load(path)?,
            None => Options::default(),
        };
        Ok((settings, options))
    }
}

fn start() -> Result<()> {
    match Cli::parse().command {
        Command::Serve(files) => {
            let (settings, options) = files.load()?;
            node::run(settings, options)
        }
        Command::CheckConfig(files) => {
            let (settings, _) = files.load()?;
            println!("{}: settings are sound", settings.name);
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            use std::io::Write;
            writeln!(out, "{} {}", record.level(), record.args())
        })
        .init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pathwinch: {e:#}");
            ExitCode::FAILURE
        }
    }
}
