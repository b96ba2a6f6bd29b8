//! Client library of pathwinch for users and operators.
//!
//! This crate contains the client that submits, polls and cancels jobs
//! ([`Client`]), the retry policy of its requests ([`retry`]), and the queries
//! that an operator sends to a single controller ([`operator`]).
//!
//! Command lines and process exit are handled by the programs that use this
//! crate; message types are defined in `pathwinch-protocol`.

#![warn(missing_docs)]

mod client;
mod failure;
mod node_selection;
pub mod operator;
pub mod retry;

pub use client::Client;
pub use failure::Failure;
