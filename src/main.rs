//! Entry point of the program `pathwinch`: sets up logging, parses the command line and
//! runs the command.

mod command;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    pathwinch_cli::init_logging("info");
    match command::execute(command::Cli::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("pathwinch: {e:#}");
            ExitCode::FAILURE
        }
    }
}
