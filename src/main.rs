//! Command line of pathwinch.

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use pathwinch::{node, operator, options::Options, protocol::settings::Settings};
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
    /// Say how things stand: who leads, what waits and why, machines, teams.
    Status(Ask),
    /// Say the same of one job.
    Explain {
        /// The job's id, such as j-000412.
        job: String,
        #[command(flatten)]
        ask: Ask,
    },
}

#[derive(Args)]
struct Ask {
    /// Address of any controller's `back`, such as 10.0.0.1:8081.
    #[arg(long, value_name = "ADDR")]
    at: String,
    /// Print JSON.
    #[arg(long)]
    json: bool,
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

/// Prints an operator's answer, or the reason why there is none.
fn print(answer: Result<String, operator::Failure>) -> Result<ExitCode> {
    match answer {
        Ok(text) => {
            use std::io::Write;
            // A reader that has seen enough closes the pipe: no failure.
            let _ = std::io::stdout().write_all(text.as_bytes());
            Ok(ExitCode::SUCCESS)
        }
        Err(failure) => {
            eprintln!("pathwinch: {}", failure.text());
            Ok(ExitCode::from(failure.code()))
        }
    }
}

fn start() -> Result<ExitCode> {
    match Cli::parse().command {
        Command::Serve(files) => {
            let (settings, options) = files.load()?;
            node::run(settings, options)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::CheckConfig(files) => {
            let (settings, _) = files.load()?;
            println!("{}: settings are sound", settings.name);
            Ok(ExitCode::SUCCESS)
        }
        Command::Status(ask) => print(operator::status(&ask.at, ask.json)),
        Command::Explain { job, ask } => print(operator::explain(&ask.at, &job, ask.json)),
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
        Ok(code) => code,
        Err(e) => {
            eprintln!("pathwinch: {e:#}");
            ExitCode::FAILURE
        }
    }
}
