//! Helpers shared by the command-line programs of pathwinch: set-up of logging
//! to standard error ([`init_logging`]) and parsing of numbers in configuration files
//! ([`parse_number`]).
//!
//! Each program parses its own command line and files; none of that is here.

#![warn(missing_docs)]

mod logging;
mod number;

pub use logging::init_logging;
pub use number::{NumberError, parse_number};
