//! Timeouts for futures.

use async_io::Timer;
use futures_lite::FutureExt;
use std::{future::Future, time::Duration};

/// Awaits `work` for at most `timeout`. Returns `None`, and drops `work`, if the
/// timeout passes first.
pub async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            Timer::after(timeout).await;
            None
        })
        .await
}
