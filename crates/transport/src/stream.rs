//! TCP streams that can be cloned, as `async-h1` requires them.

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use std::{
    io,
    net::{SocketAddr, TcpStream},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// What a connection runs over: plain or encrypted.
pub trait ByteStream: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static> ByteStream for T {}

/// A TCP stream whose clones share one socket.
#[derive(Debug, Clone)]
pub struct SharedTcpStream(Arc<Async<TcpStream>>);

impl SharedTcpStream {
    /// Connects to `addr`, without delaying small segments.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(addr).await?;
        Ok(Self::without_delay(stream))
    }

    /// Takes over a connected socket and turns Nagle's algorithm off. Failure
    /// to do so costs latency alone and is ignored.
    pub(crate) fn without_delay(stream: Async<TcpStream>) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Self::from(stream)
    }

    /// Whether an idle connection can still be used: one that is open and in
    /// order has nothing to read.
    pub(crate) fn is_reusable(&self) -> bool {
        self.0
            .get_ref()
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl From<Async<TcpStream>> for SharedTcpStream {
    /// Takes over a connected socket with its options as they are.
    fn from(stream: Async<TcpStream>) -> Self {
        SharedTcpStream(Arc::new(stream))
    }
}

impl AsyncRead for SharedTcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedTcpStream {
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
