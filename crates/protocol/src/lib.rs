//! Messages between processes, as serde types: messages of workers, users, the cloud,
//! the state service, other controllers, brokers and operators, and the settings file.
//!
//! The installation's wire format uses names of its own. They appear here as serde
//! renames and nowhere else; the rest of the program uses the common terms (`baton` is
//! a fencing token, `tenure` an incarnation, `hall` a zone). The complete table is in
//! `docs/ARCHITECTURE.md`. This crate defines only the messages, not how they are used.

#![warn(missing_docs)]

pub mod cloud;
pub mod market;
pub mod peers;
pub mod settings;
pub mod state;
pub mod status;
pub mod users;
pub mod workers;
