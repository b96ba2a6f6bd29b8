//! Client of the framed protocol, used by controllers and by operators'
//! commands.

use super::{FrameError, decode, encode, read_frame};
use crate::{SharedTcpStream, client::CallError, connection_pool::ConnectionPool, within};
use futures_lite::AsyncWriteExt;
use pathwinch_protocol::peers::{Reply, Request};
use std::{cell::Cell, net::SocketAddr, time::Duration};

/// Number of idle connections kept open to one peer.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 8;

/// Client for requests to controllers that reuses connections.
pub struct PeerClient {
    pool: ConnectionPool,
    /// Number of requests sent.
    requests: Cell<u64>,
    /// Number of bytes of the requests sent and the replies received, with the
    /// length prefixes of requests only.
    bytes: Cell<u64>,
}

impl Default for PeerClient {
    fn default() -> Self {
        PeerClient {
            // A cluster has few controllers, so the limit for each peer is
            // sufficient.
            pool: ConnectionPool::new(usize::MAX, MAX_IDLE_CONNECTIONS_PER_PEER),
            requests: Cell::default(),
            bytes: Cell::default(),
        }
    }
}

impl PeerClient {
    /// Returns the number of requests sent, and the number of bytes of these
    /// requests and their replies.
    pub fn exchanged(&self) -> (u64, u64) {
        (self.requests.get(), self.bytes.get())
    }

    fn count_bytes(&self, length: usize) {
        self.bytes.set(self.bytes.get() + length as u64);
    }

    /// Sends one request. `timeout` covers connecting, sending and receiving.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let frame = encode(request).map_err(not_sent)?;
        let pooled = self.pool.take(addr);
        match within(timeout, self.exchange(addr, pooled, &frame)).await {
            Some(result) => result,
            None => Err(CallError::TooLong),
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        pooled: Option<SharedTcpStream>,
        frame: &[u8],
    ) -> Result<Reply, CallError> {
        let mut stream = match pooled {
            Some(stream) => stream,
            None => SharedTcpStream::connect(addr)
                .await
                .map_err(|e| not_sent(e.into()))?,
        };
        stream
            .write_all(frame)
            .await
            .map_err(|e| no_answer(e.into()))?;
        self.requests.set(self.requests.get() + 1);
        self.count_bytes(frame.len());
        let bytes = read_frame(&mut stream).await.map_err(no_answer)?;
        self.count_bytes(bytes.len());
        let reply = decode(&bytes).map_err(no_answer)?;
        self.pool.put(addr, stream);
        Ok(reply)
    }
}

fn not_sent(error: FrameError) -> CallError {
    CallError::NotSent(error.to_string())
}

fn no_answer(error: FrameError) -> CallError {
    CallError::NoAnswer(error.to_string())
}
