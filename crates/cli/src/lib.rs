//! Helpers shared by the command-line programs of pathwinch: set-up of logging
//! to standard error ([`log`]) and parsing of numbers in configuration files
//! ([`number`]).
//!
//! Each program parses its own command line and files; none of that is here.

#![warn(missing_docs)]

mod logging;
mod number;

pub use logging::log;
pub use number::{NumberError, number};
