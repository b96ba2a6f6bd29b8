//! What pathwinch's programs share.

use anyhow::{Context, Result, ensure};

/// Logs to standard error, a line each with its level; `LOG_LEVEL` goes
/// before `level`.
pub fn log(level: &str) {
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", level);
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            use std::io::Write;
            writeln!(out, "{} {}", record.level(), record.args())
        })
        .init();
}

/// A number in an operators' file; the error names the key.
pub fn number(key: &str, text: &str, low: f64, high: f64) -> Result<f64> {
    let v: f64 = text
        .trim()
        .parse()
        .with_context(|| format!("{key}: not a number: {text:?}"))?;
    ensure!(
        v >= low && v <= high,
        "{key}: {v} is outside {low} to {high}"
    );
    Ok(v)
}
