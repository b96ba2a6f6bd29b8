//! Command line of pathwinch.

mod command;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            use std::io::Write;
            writeln!(out, "{} {}", record.level(), record.args())
        })
        .init();
    match command::start(command::Cli::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("pathwinch: {e:#}");
            ExitCode::FAILURE
        }
    }
}
