//! JSON schemas of the market protocol. They are generated from the types,
//! published in `schemas/` and used to validate all incoming messages. serde alone
//! would accept numbers out of range and lists of any length, and its errors do
//! not name the field.

use crate::wire::{MAX_BODY_BYTES, Reply, Request};
use jsonschema::Validator;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns the schema of requests to a market.
pub fn request() -> Value {
    schemars::schema_for!(Request).to_value()
}

/// Returns the schema of a market's replies.
pub fn reply() -> Value {
    schemars::schema_for!(Reply).to_value()
}

/// Validates and parses messages of one schema.
pub struct MessageReader {
    validator: Validator,
}

/// Why a message is refused, in one line that starts with the field's path.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused(pub String);

/// Length in bytes to which the description of an error is truncated.
const MAX_VALUE_BYTES: usize = 120;

impl MessageReader {
    pub fn new(schema: &Value) -> Result<Self, Refused> {
        jsonschema::validator_for(schema)
            .map(|validator| MessageReader { validator })
            .map_err(|e| Refused(format!("schema: {e}")))
    }

    /// Parses a message after checking its size and its schema.
    pub fn read<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Refused> {
        if body.len() > MAX_BODY_BYTES {
            return Err(Refused(format!("body: over {MAX_BODY_BYTES} bytes")));
        }
        let value: Value =
            serde_json::from_slice(body).map_err(|e| Refused(format!("body: {e}")))?;
        if let Some(e) = self.validator.iter_errors(&value).next() {
            let field = e.instance_path().to_string();
            let field = match field.trim_start_matches('/') {
                "" => "body".to_owned(),
                path => path.replace('/', "."),
            };
            let mut description = e.to_string();
            if description.len() > MAX_VALUE_BYTES {
                let cut = (0..=MAX_VALUE_BYTES)
                    .rev()
                    .find(|i| description.is_char_boundary(*i));
                description.truncate(cut.unwrap_or(0));
                description.push_str("...");
            }
            return Err(Refused(format!("{field}: {description}")));
        }
        serde_json::from_value(value).map_err(|e| Refused(format!("body: {e}")))
    }
}

#[cfg(test)]
mod tests;
