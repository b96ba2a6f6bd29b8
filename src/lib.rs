//! pathwinch: a cluster scheduler for small sites. Modules depend downwards:
//! `node` binds `coordination` to `transport`; both use `bookkeeping` and
//! `protocol`.

pub mod bookkeeping;
pub mod coordination;
pub mod node;
pub mod options;
pub mod upgraded;

pub use pathwinch_client::operator;
pub use pathwinch_protocol as protocol;
pub use pathwinch_transport as transport;
