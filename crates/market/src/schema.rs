//! Schemas of the market protocol: made from the types, published beside
//! them, and used to check everything that comes in. serde alone would take
//! numbers out of range and endless lists, and its errors don't say where.

use crate::wire::{MAX_BODY, Reply, Request};
use jsonschema::Validator;
use serde::de::DeserializeOwned;
use serde_json::Value;

pub fn request() -> Value {
    schemars::schema_for!(Request).to_value()
}

pub fn reply() -> Value {
    schemars::schema_for!(Reply).to_value()
}

/// Reads messages of one kind.
pub struct Reader {
    validator: Validator,
}

/// Why a message is refused, in one line that names the field.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused(pub String);

/// A value in an error is cut to so many bytes.
const SHOWN: usize = 120;

impl Reader {
    pub fn new(schema: &Value) -> Result<Self, Refused> {
        jsonschema::validator_for(schema)
            .map(|validator| Reader { validator })
            .map_err(|e| Refused(format!("schema: {e}")))
    }

    pub fn read<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Refused> {
        if body.len() > MAX_BODY {
            return Err(Refused(format!("body: over {MAX_BODY} bytes")));
        }
        let value: Value =
            serde_json::from_slice(body).map_err(|e| Refused(format!("body: {e}")))?;
        if let Some(e) = self.validator.iter_errors(&value).next() {
            let at = e.instance_path().to_string();
            let at = match at.trim_start_matches('/') {
                "" => "body".to_owned(),
                path => path.replace('/', "."),
            };
            let mut what = e.to_string();
            if what.len() > SHOWN {
                let cut = (0..=SHOWN).rev().find(|i| what.is_char_boundary(*i));
                what.truncate(cut.unwrap_or(0));
                what.push_str("...");
            }
            return Err(Refused(format!("{at}: {what}")));
        }
        serde_json::from_value(value).map_err(|e| Refused(format!("body: {e}")))
    }
}

#[cfg(test)]
mod tests;
