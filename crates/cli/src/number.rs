//! Parsing of numbers in configuration files.

use std::num::ParseFloatError;
use thiserror::Error;

/// Error for a value that is not an accepted number. The message names the
/// key.
#[derive(Debug, Error)]
pub enum NumberError {
    /// The value is not a number.
    #[error("{key}: not a number: {text:?}")]
    Malformed {
        /// The key in the file.
        key: String,
        /// The text that could not be parsed.
        text: String,
        /// The parser's error.
        source: ParseFloatError,
    },
    /// The number is outside the accepted range.
    #[error("{key}: {value} is outside {min} to {max}")]
    OutOfRange {
        /// The key in the file.
        key: String,
        /// The number that was read.
        value: f64,
        /// Smallest accepted number.
        min: f64,
        /// Largest accepted number.
        max: f64,
    },
}

/// Parses `text` as the value of `key` and checks that the number is between
/// `min` and `max`, both inclusive. Surrounding white space is ignored.
pub fn parse_number(key: &str, text: &str, min: f64, max: f64) -> Result<f64, NumberError> {
    let value: f64 = text
        .trim()
        .parse()
        .map_err(|source| NumberError::Malformed {
            key: key.to_owned(),
            text: text.to_owned(),
            source,
        })?;
    // The range check also rejects NaN, which no range contains.
    match (min..=max).contains(&value) {
        true => Ok(value),
        false => Err(NumberError::OutOfRange {
            key: key.to_owned(),
            value,
            min,
            max,
        }),
    }
}

#[cfg(test)]
mod tests;
