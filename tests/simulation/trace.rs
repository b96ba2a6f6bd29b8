//! Prints the controllers' log lines with the simulated time, to follow a task through a failed
//! run: `TRACE=j-000018 SEEDS=... cargo test ...` prints the lines that hold this text.

use std::{cell::Cell, io::Write, sync::OnceLock};

thread_local! {
    /// Simulated time of this test's thread.
    static NOW: Cell<u64> = const { Cell::new(0) };
}

struct Tracer(String);

impl log::Log for Tracer {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        if self.enabled(record.metadata()) && line.contains(&self.0) {
            let _ = writeln!(std::io::stderr(), "{} {line}", NOW.get());
        }
    }

    fn flush(&self) {}
}

/// Sets the time of the lines, and begins to print them if the environment asks for it.
pub fn set_time(now: u64) {
    static TRACER: OnceLock<Option<Tracer>> = OnceLock::new();
    NOW.set(now);
    let tracer = TRACER.get_or_init(|| std::env::var("TRACE").ok().map(Tracer));
    if let Some(tracer) = tracer
        && log::max_level() == log::LevelFilter::Off
        && log::set_logger(tracer).is_ok()
    {
        log::set_max_level(log::LevelFilter::Info);
    }
}
