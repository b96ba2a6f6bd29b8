//! Command line of pathwinch.

mod command;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    pathwinch_cli::log("info");
    match command::start(command::Cli::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("pathwinch: {e:#}");
            ExitCode::FAILURE
        }
    }
}
