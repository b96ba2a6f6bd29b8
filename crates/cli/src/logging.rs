//! Set-up of logging for a program.

use std::io::Write;

/// Environment variable that overrides the default log level.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Initializes the global logger, which writes one line per record to standard
/// error, prefixed with the record's level.
///
/// The environment variable `LOG_LEVEL` overrides `default_level`. Panics if a
/// logger is already set, so each program calls this function once.
pub fn init_logging(default_level: &str) {
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, default_level);
    env_logger::Builder::from_env(env)
        .format(|out, record| writeln!(out, "{} {}", record.level(), record.args()))
        .init();
}
