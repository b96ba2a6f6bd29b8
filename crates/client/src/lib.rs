//! Client of pathwinch, for users and for operators.
//!
//! Here: submitting, polling and cancelling jobs ([`Client`]), the rules of
//! when a request is repeated ([`retry`]), and what operators ask a single
//! controller ([`operator`]).
//!
//! Not here: the command line and its exit (the programs' part), and message
//! types (`pathwinch-protocol`).

#![warn(missing_docs)]

mod client;
mod failure;
mod node_selection;
pub mod operator;
pub mod retry;

pub use client::Client;
pub use failure::Failure;
