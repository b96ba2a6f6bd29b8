//! Borrows spare capacity of neighbouring clusters (markets) for waiting jobs of
//! the home cluster. All modules except `serve` work without clock or sockets:
//! state, an event and the time go in, effects come out. `docs/markets.md` explains
//! why this is safe.

pub mod broker;
pub mod call_policy;
pub mod clearing;
pub mod clock;
pub mod ledger_sync;
pub mod lending;
pub mod options;
pub mod ranges;
pub mod records;
pub mod reputation;
pub mod schema;
pub mod serve;
pub mod wire;

/// Time of day in milliseconds. The brokers of a home agree on it within
/// `Options::clock_bound_ms`. Also used for durations.
pub type Millis = u64;

/// Money in millionths of the price list's unit.
pub type Money = u64;

/// Converts seconds to milliseconds; negative values become 0.
pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1000.0) as Millis
}
