//! Network I/O of pathwinch's programs on one thread.
//!
//! Here: the HTTP server ([`server`]) and client ([`client`]), the framed
//! protocol between controllers ([`frames`]), the executor that gives urgent
//! tasks precedence ([`priority_executor`]), token buckets ([`rate_limit`]),
//! and what these share: cloneable TCP streams, the pool of idle connections,
//! limits on open connections, and timeouts.
//!
//! Not here: what requests mean and who may act on them (the callers' part),
//! message types (`pathwinch-protocol`), and encryption (`pathwinch-tls`).

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
