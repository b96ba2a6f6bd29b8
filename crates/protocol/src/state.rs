//! Messages of the state service's API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and version.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "key_rev")]
    pub version: u64,
}

/// A page of keys under a prefix, in key order.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    /// The items of this page.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// Whether there are further pages.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store that the page shows.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// The response to a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct Watched {
    /// Revision up to which all changes are included.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Changes since the revision given in the request.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// A change of one key.
#[derive(Debug, Deserialize, Serialize)]
pub struct Event {
    /// The key that was set; absent if the key was deleted.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
}

/// A condition of a transaction: the transaction applies only if the key has this
/// version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Expected version of the key; 0 means that the key must not exist.
    #[serde(rename = "key_rev")]
    pub version: u64,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// New value of the key.
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

/// A compare-and-swap transaction over several keys, applied completely or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Default, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold.
    #[serde(rename = "guards", default)]
    pub conditions: Vec<Condition>,
    /// Writes, which are applied together under one revision.
    #[serde(rename = "writes", default)]
    pub writes: Vec<Write>,
}

/// The response to a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    /// The new revision, or the current one if a condition failed.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The response to a request for a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseGranted {
    /// Id of the lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}
