//! pathwinch: a cluster scheduler for small sites. Modules depend downwards:
//! `node` binds `coordination` to `transport`; both use `bookkeeping` and
//! `protocol`.

pub mod control;
pub mod declare_upgraded;
pub mod options;
pub mod server;
pub mod state;

pub use pathwinch_client::operator;
pub use pathwinch_protocol as protocol;
pub use pathwinch_transport as transport;
