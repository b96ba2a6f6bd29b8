//! Sockets: HTTP server and client, frames between controllers, time limits
//! and the budget of sockets.

pub mod client;
pub mod frames;
pub mod priority_executor;
pub mod rate_limit;
pub mod server;

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use std::{
    cell::Cell,
    future::Future,
    io,
    net::TcpStream,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

/// A TCP stream that can be cloned, as `async-h1` wants it.
#[derive(Debug, Clone)]
pub struct Stream(pub Arc<Async<TcpStream>>);

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }
    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(cx)
    }
}

/// `None` when the time is over first.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    async { Some(work.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}

/// One of a limited number of places; given back when dropped.
pub struct Slot(Rc<Cell<usize>>);

impl Slot {
    pub fn take(used: &Rc<Cell<usize>>, limit: usize) -> Option<Slot> {
        if used.get() >= limit {
            return None;
        }
        used.set(used.get() + 1);
        Some(Slot(used.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
