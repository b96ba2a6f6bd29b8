//! Declaration by an operator that a controller which is down for a long time will not
//! run an older version again. The declaration writes the version record of that
//! controller, so that the other controllers don't wait for the controller to write the
//! record itself.
//!
//! Called by the command line (`pathwinch upgraded`). A version record that exists is
//! never replaced.

use crate::{
    protocol::{
        settings::Settings,
        state::{Condition, Txn, Write},
    },
    state::records::{FORMAT, VersionRecord, version_key},
    transport::client::Client,
};
use anyhow::{Result, anyhow, bail, ensure};
use http_types::Method;
use std::time::Duration;

/// Timeout of a call to the state service.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes the version record of the controller `node` in its place, and returns a line
/// for the operator. Idempotent.
pub async fn declare(settings: &Settings, node: &str) -> Result<String> {
    let mut known = settings.peers.iter().map(|p| p.name.as_str());
    ensure!(
        node == settings.name || known.any(|name| name == node),
        "{node}: no controller of this name in the settings"
    );
    let http = Client::new(1);
    let addr = settings.services.state;
    let key = version_key(node);
    let path = format!("/kv/{key}");
    let found = http
        .call(addr, Method::Get, &path, None, CALL_TIMEOUT)
        .await;
    let found = found.map_err(|e| anyhow!("state service at {addr}: {e}"))?;
    match found.status {
        200 => return Ok(format!("{node}: already has a version record\n")),
        404 => {}
        status => bail!("state service at {addr}: status {status}; try again"),
    }
    let record = VersionRecord {
        format: FORMAT,
        program: "declared by an operator".into(),
    };
    let txn = Txn {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: vec![Write::Put {
            key,
            value: serde_json::to_value(record)?,
            lease: None,
        }],
    };
    let body = Some(serde_json::to_vec(&txn)?);
    let response = http
        .call(addr, Method::Post, "/txn", body, CALL_TIMEOUT)
        .await;
    match response.map(|answer| answer.status) {
        Ok(200) => Ok(format!("{node}: recorded as upgraded\n")),
        Ok(409) => Ok(format!("{node}: a version record was written just now\n")),
        Ok(status) => bail!("state service at {addr}: status {status}; nothing written, try again"),
        Err(e) => bail!("state service at {addr}: {e}; it may have been written, try again"),
    }
}
