//! Borrowing spare capacity of neighbouring clusters. Everything but `serve`
//! decides without clock or sockets: state, an event and the time go in,
//! effects come out. `docs/markets.md` says why it is safe.

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

/// Milliseconds of the time of day, which all brokers of a home share within
/// the bound of the options.
pub type Millis = u64;

/// Money in millionths of the price list's unit.
pub type Money = u64;

pub fn millis(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1000.0) as Millis
}
