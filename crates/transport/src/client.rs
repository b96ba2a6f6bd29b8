//! HTTP client with pooled connections.
//!
//! Errors distinguish a request that was not sent from one that has no
//! response, because a request without a response may still be executed. The
//! client neither retries nor follows redirects.

use crate::{ByteStream, SharedTcpStream, connection_pool::ConnectionPool, within};
use async_h1::client;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Url};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use thiserror::Error;

/// Maximum length of a response body; longer bodies are truncated.
const MAX_RESPONSE_BYTES: u64 = 2 * 1024 * 1024;
/// Number of idle connections kept open to one host.
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 4;

/// Error of a call that has no response.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum CallError {
    /// No byte of the request was sent, so the server can't have received it.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The exchange failed after it began. The request may have been executed,
    /// or may be executed later.
    #[error("no response: {0}")]
    NoAnswer(String),
    /// The timeout passed before the response was complete. As with
    /// [`CallError::NoAnswer`], the outcome of the request is unknown.
    #[error("no response within the timeout")]
    TooLong,
}

/// An HTTP response that was received completely.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, if the header is a number of seconds.
    pub retry_after_s: Option<u32>,
    /// Body with the transfer encoding removed.
    pub body: Vec<u8>,
}

/// A response and whether its connection can be reused.
#[derive(Debug)]
pub struct ReceivedAnswer {
    /// The HTTP response.
    pub answer: Answer,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

/// HTTP client that reuses connections.
pub struct Client {
    pool: ConnectionPool,
}

impl Client {
    /// Creates a client that keeps at most `max_idle_connections` open between
    /// requests.
    pub fn new(max_idle_connections: usize) -> Self {
        Client {
            pool: ConnectionPool::new(max_idle_connections, MAX_IDLE_CONNECTIONS_PER_HOST),
        }
    }

    /// Sends one request. `timeout` covers connecting, sending and receiving.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        self.call_if(addr, method, path, body, timeout, || true)
            .await
    }

    /// Like [`Client::call`], but calls `may_send` when the connection is
    /// established, and sends nothing if that returns false. Permission can end
    /// before then, because connecting takes time and the process may be paused
    /// meanwhile. Nothing is awaited between this check and the first byte.
    pub async fn call_if(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Answer, CallError> {
        let started = Instant::now();
        let stream = self.connection(addr, timeout).await?;
        let request = json_request(addr, method, path, body)?;
        let remaining = timeout.saturating_sub(started.elapsed());
        if !may_send() {
            self.pool.put(addr, stream);
            return Err(CallError::NotSent(
                "permission to send ended before the request was sent".into(),
            ));
        }
        let exchange = exchange(stream.clone(), request, MAX_RESPONSE_BYTES);
        match within(remaining, exchange).await {
            Some(Ok(ReceivedAnswer { answer, close })) => {
                if !close {
                    self.pool.put(addr, stream);
                }
                Ok(answer)
            }
            Some(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
            None => Err(CallError::TooLong),
        }
    }

    /// Returns a pooled connection to `addr`, or opens a new one.
    async fn connection(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<SharedTcpStream, CallError> {
        if let Some(stream) = self.pool.take(addr) {
            return Ok(stream);
        }
        match within(timeout, SharedTcpStream::connect(addr)).await {
            Some(Ok(stream)) => Ok(stream),
            Some(Err(e)) => Err(CallError::NotSent(e.to_string())),
            None => Err(CallError::NotSent("connecting timed out".into())),
        }
    }
}

/// Builds a request whose body, if any, has the content type for JSON. Fails
/// with [`CallError::NotSent`] if `addr` and `path` do not form a valid URL.
pub fn json_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{addr}{path}"))
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    let mut request = Request::new(method, url);
    if let Some(body) = body {
        request.set_body(body);
        request.insert_header("content-type", "application/json");
    }
    Ok(request)
}

/// Sends a request over an open connection and receives the response. The body
/// is truncated to `max_response_bytes`.
pub async fn exchange(
    stream: impl ByteStream,
    request: Request,
    max_response_bytes: u64,
) -> http_types::Result<ReceivedAnswer> {
    let mut response = client::connect(stream, request).await?;
    let close = response
        .header("connection")
        .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let status = u16::from(response.status());
    let retry_after_s = response
        .header("retry-after")
        .and_then(|v| v.as_str().trim().parse().ok());
    let mut body = Vec::new();
    (&mut response)
        .take(max_response_bytes)
        .read_to_end(&mut body)
        .await?;
    let answer = Answer {
        status,
        retry_after_s,
        body,
    };
    Ok(ReceivedAnswer { answer, close })
}

#[cfg(test)]
mod tests;
