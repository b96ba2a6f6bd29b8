//! Leases of the key-value store: grant, renewal and revocation.
//!
//! This module owns the paths, bodies and status codes of the lease calls. It is called
//! by the campaign and the renewals of leadership, and by the exclusions; each caller
//! charges the request budget itself.
//!
//! Invariants: callers alone decide what a lost lease means. An error is never reported
//! as the end of a lease.

use super::{Node, store::StoreError};
use crate::{protocol::state::LeaseGranted, state::Millis};
use http_types::Method;
use std::time::Duration;

/// Result of an attempt to renew a lease.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum LeaseRenewal {
    /// The lease is valid for its time to live, counted from when the request was sent.
    Renewed,
    /// The lease has ended.
    Expired,
    /// The store responds, but all controllers together exceed its request limit.
    Throttled,
    /// The outcome is unknown, or the store is unavailable.
    Failed(StoreError),
}

impl Node {
    /// Requests a lease. Returns `None` if the store granted none or its response was
    /// lost.
    pub(super) async fn grant_lease(&self, ttl_ms: Millis, timeout: Duration) -> Option<u64> {
        let body = serde_json::json!({ "life_ms": ttl_ms }).to_string();
        let answer = self
            .call_store(Method::Post, "/leases", Some(body.into_bytes()), timeout)
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        let granted: LeaseGranted = serde_json::from_slice(&answer.body).ok()?;
        Some(granted.lease)
    }

    /// Renews a lease for its time to live.
    pub(super) async fn renew_lease(&self, lease: u64, timeout: Duration) -> LeaseRenewal {
        let path = format!("/leases/{lease}/touch");
        match self.call_store(Method::Post, &path, None, timeout).await {
            Ok(answer) => match answer.status {
                200 => LeaseRenewal::Renewed,
                404 => LeaseRenewal::Expired,
                429 => LeaseRenewal::Throttled,
                status => LeaseRenewal::Failed(StoreError::Status(status)),
            },
            Err(e) => LeaseRenewal::Failed(e.into()),
        }
    }

    /// Revokes a lease. Returns `true` only if the lease has certainly ended.
    pub(super) async fn end_lease(&self, lease: u64, timeout: Duration) -> bool {
        let path = format!("/leases/{lease}");
        let answer = self.call_store(Method::Delete, &path, None, timeout).await;
        answer.is_ok_and(|answer| answer.status == 404 || (200..300).contains(&answer.status))
    }
}
