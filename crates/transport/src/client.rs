//! An HTTP client with pooled connections.
//!
//! Its errors tell "was not sent" from "no answer", because a request without
//! an answer may still be executed. It neither retries nor follows redirects.

use crate::{ByteStream, SharedTcpStream, connection_pool::ConnectionPool, within};
use async_h1::client;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Url};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use thiserror::Error;

/// Longer response bodies are cut off here.
const MAX_RESPONSE_BYTES: u64 = 2 * 1024 * 1024;
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 4;

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum CallError {
    /// No byte was sent: the other side will not see the request.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The exchange failed half-way: the request may have been executed, or
    /// may be executed later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The timeout passed: as [`CallError::NoAnswer`], and nothing came back
    /// at all.
    #[error("no answer: took too long")]
    TooLong,
}

/// An HTTP response, received completely.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The `Retry-After` header, if it is a number of seconds.
    pub retry_after_s: Option<u32>,
    /// The body, without the transfer encoding.
    pub body: Vec<u8>,
}

/// A response with what it means for its connection.
#[derive(Debug)]
pub struct ReceivedAnswer {
    /// The response.
    pub answer: Answer,
    /// The other side closes the connection.
    pub close: bool,
}

/// An HTTP client that reuses connections.
pub struct Client {
    pool: ConnectionPool,
}

impl Client {
    /// Keeps at most `max_idle_connections` open between requests.
    pub fn new(max_idle_connections: usize) -> Self {
        Client {
            pool: ConnectionPool::new(max_idle_connections, MAX_IDLE_CONNECTIONS_PER_HOST),
        }
    }

    /// Makes one request; `timeout` covers connecting, sending and receiving.
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

    /// As [`Client::call`], but asks `may_send` once the connection is there:
    /// connecting takes time of its own, and the process may be paused
    /// meanwhile. Nothing is awaited between that check and the first byte.
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
            return Err(CallError::NotSent("it may not be sent any more".into()));
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
            None => Err(CallError::NotSent("connecting took too long".into())),
        }
    }
}

/// Builds a request; a body is declared as JSON. Fails with
/// [`CallError::NotSent`] if the path does not make a valid URL.
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

/// Sends a request over an open connection and receives the response, whose
/// body is cut off after `max_response_bytes`.
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
