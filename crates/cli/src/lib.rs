//! What pathwinch's programs share: logs to standard error ([`log`]) and
//! numbers in operators' files ([`number`]). Each program's command line and
//! files are its own part.

#![warn(missing_docs)]

mod logging;
mod number;

pub use logging::log;
pub use number::{NumberError, number};
