//! Timeouts of futures.

use async_io::Timer;
use futures_lite::FutureExt;
use std::{future::Future, time::Duration};

/// Awaits `work` for at most `timeout`; `None` when the time is over first.
pub async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            Timer::after(timeout).await;
            None
        })
        .await
}
