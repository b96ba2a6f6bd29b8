//! Cloneable TCP streams, as required by `async-h1`.

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use std::{
    io,
    net::{SocketAddr, TcpStream},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// Byte stream of a connection, with or without TLS.
pub trait ByteStream: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static> ByteStream for T {}

/// TCP stream whose clones share one socket.
#[derive(Debug, Clone)]
pub struct SharedTcpStream(Arc<Async<TcpStream>>);

impl SharedTcpStream {
    /// Connects to `addr` and turns Nagle's algorithm off, so that small segments
    /// are not delayed.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(addr).await?;
        Ok(Self::without_delay(stream))
    }

    /// Wraps a connected socket and turns Nagle's algorithm off. Failure to do so
    /// is ignored because only latency suffers.
    pub(crate) fn without_delay(stream: Async<TcpStream>) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Self::from(stream)
    }

    /// Whether an idle connection can still be used. An open connection without
    /// errors has nothing to read while idle; readable data, end of file or an
    /// error means that the connection is not reusable.
    pub(crate) fn is_reusable(&self) -> bool {
        self.0
            .get_ref()
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl From<Async<TcpStream>> for SharedTcpStream {
    /// Wraps a connected socket and leaves its options unchanged.
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
