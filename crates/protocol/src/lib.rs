//! Messages between processes, as serde types: workers, users, cloud, state
//! service, other controllers, brokers and operators, and the settings file.
//!
//! The installation's wire format has names of its own. They appear here, as
//! serde renames, and nowhere else; the rest of the program uses the field's
//! terms (`baton` is a fencing token, `tenure` an incarnation, `hall` a zone).
//! The whole table is in `docs/ARCHITECTURE.md`. What each message is used for
//! is not decided here.

#![warn(missing_docs)]

pub mod cloud;
pub mod market;
pub mod peers;
pub mod settings;
pub mod state;
pub mod status;
pub mod users;
pub mod workers;
