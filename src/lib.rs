//! pathwinch: a cluster scheduler for small sites.
//!
//! Modules depend downwards: `server` connects the decision logic of `control` to the
//! network through `transport`; `server` and `control` both use `state` and `protocol`.

pub mod control;
pub mod declare_upgraded;
pub mod options;
pub mod server;
pub mod state;

pub use pathwinch_client::operator;
pub use pathwinch_protocol as protocol;
pub use pathwinch_transport as transport;
