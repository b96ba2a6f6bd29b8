//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of the key's last change.
    #[serde(rename = "key_rev")]
    pub version: u64,
}

/// A page of keys under a prefix, in key order.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    /// The keys of this page.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// There are further pages.
    #[serde(default)]
    pub more: bool,
    /// Revision that the page shows.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// The answer to a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct Watched {
    /// All changes up to this revision are told.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// The changes since the revision asked from.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// One change.
#[derive(Debug, Deserialize, Serialize)]
pub struct Event {
    /// Absent when the key was deleted.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
}

/// A comparison: the transaction applies only if the key has this version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its expected version; 0: it must not exist.
    #[serde(rename = "key_rev")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease that the key is attached to; `None` detaches it.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: a compare-and-swap over several keys, applied whole or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Default, Deserialize)]
pub struct Txn {
    /// All must hold.
    #[serde(rename = "guards", default)]
    pub conditions: Vec<Condition>,
    /// Applied together, under one revision.
    #[serde(rename = "writes", default)]
    pub writes: Vec<Write>,
}

/// The answer to a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    /// The new revision, or the present one if a condition failed.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Keys of which the condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The answer to a request for a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseGranted {
    /// The lease's id.
    #[serde(rename = "hold")]
    pub lease: u64,
}
