//! An operator's word that a controller which is down for long will not run an
//! older version again, so that the others need not wait for its own mark.

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

const LIMIT: Duration = Duration::from_secs(3);

/// Leaves the mark in the controller's place. Can be repeated.
pub async fn declare(settings: &Settings, node: &str) -> Result<String> {
    let mut known = settings.peers.iter().map(|p| p.name.as_str());
    ensure!(
        node == settings.name || known.any(|n| n == node),
        "{node}: the settings name no such controller"
    );
    let http = Client::new(1);
    let addr = settings.services.state;
    let key = version_key(node);
    let path = format!("/kv/{key}");
    let found = http.call(addr, Method::Get, &path, None, LIMIT).await;
    let found = found.map_err(|e| anyhow!("state service at {addr}: {e}"))?;
    match found.status {
        200 => return Ok(format!("{node}: has its mark already\n")),
        404 => {}
        s => bail!("state service at {addr}: status {s}; try again"),
    }
    let mark = VersionRecord {
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
            value: serde_json::to_value(mark)?,
            lease: None,
        }],
    };
    let body = Some(serde_json::to_vec(&txn)?);
    let done = http.call(addr, Method::Post, "/txn", body, LIMIT).await;
    match done.map(|a| a.status) {
        Ok(200) => Ok(format!("{node}: marked as upgraded\n")),
        Ok(409) => Ok(format!("{node}: left its mark just now\n")),
        Ok(s) => bail!("state service at {addr}: status {s}; nothing was done, try again"),
        Err(e) => bail!("state service at {addr}: {e}; it may have been done, try again"),
    }
}
