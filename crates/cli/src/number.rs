//! Numbers in operators' files.

use std::num::ParseFloatError;
use thiserror::Error;

/// Why a text is not an accepted number. The message names its key.
#[derive(Debug, Error)]
pub enum NumberError {
    /// It is not a number.
    #[error("{key}: not a number: {text:?}")]
    Malformed {
        /// The key in the file.
        key: String,
        /// The text given.
        text: String,
        /// What is wrong with it.
        source: ParseFloatError,
    },
    /// It is a number outside the accepted range.
    #[error("{key}: {value} is outside {min} to {max}")]
    OutOfRange {
        /// The key in the file.
        key: String,
        /// The number given.
        value: f64,
        /// The least number accepted.
        min: f64,
        /// The greatest number accepted.
        max: f64,
    },
}

/// Reads the number that `text` gives for `key`, from `min` to `max`.
pub fn number(key: &str, text: &str, min: f64, max: f64) -> Result<f64, NumberError> {
    let value: f64 = text
        .trim()
        .parse()
        .map_err(|source| NumberError::Malformed {
            key: key.to_owned(),
            text: text.to_owned(),
            source,
        })?;
    // NaN is in no range.
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
