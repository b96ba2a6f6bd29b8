//! Single-threaded network I/O for the programs of pathwinch.
//!
//! This crate contains the HTTP server ([`server`]) and client ([`client`]),
//! the framed protocol between controllers ([`frames`]), a two-priority task
//! executor ([`priority_executor`]) and token buckets ([`rate_limit`]). These
//! modules share cloneable TCP streams, the pool of idle connections, limits on
//! open connections, and timeouts.
//!
//! Callers interpret requests and check authorization. Message types are
//! defined in `pathwinch-protocol`, and TLS is in `pathwinch-tls`.

#![warn(missing_docs)]

pub mod client;
mod connection_limit;
mod connection_pool;
pub mod frames;
pub mod priority_executor;
pub mod rate_limit;
pub mod server;
mod stream;
mod timeout;

pub use connection_limit::{ConnectionLimit, ConnectionPermit};
pub use stream::{ByteStream, SharedTcpStream};
pub use timeout::within;
