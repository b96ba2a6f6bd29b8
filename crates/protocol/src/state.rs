//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Item {
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "key_rev")]
    pub version: u64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Watched {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Event {
    /// Absent when the key was deleted.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "key_rev")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Default, Deserialize)]
pub struct Txn {
    #[serde(rename = "guards", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes", default)]
    pub writes: Vec<Write>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseGranted {
    #[serde(rename = "hold")]
    pub lease: u64,
}
