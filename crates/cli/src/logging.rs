//! Logs of a program.

use std::io::Write;

/// The environment variable whose level has precedence.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Logs to standard error, one line each with its level. `LOG_LEVEL` in the
/// environment has precedence over `default_level`.
pub fn log(default_level: &str) {
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, default_level);
    env_logger::Builder::from_env(env)
        .format(|out, record| writeln!(out, "{} {}", record.level(), record.args()))
        .init();
}
