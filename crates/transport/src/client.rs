//! A pooled HTTP client. It tells "was not sent" from "no answer", because
//! what had no answer may still be executed.

use super::{Stream, within};
use async_h1::client;
use async_io::Async;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Url};
use std::{
    cell::RefCell,
    collections::HashMap,
    fmt, io,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

const MAX_ANSWER: u64 = 2 * 1024 * 1024;
const IDLE_PER_HOST: usize = 4;

#[derive(Debug, Clone, PartialEq)]
pub enum CallError {
    /// The connection never stood: the other side will not see the request.
    NotSent(String),
    /// It may have been executed, or may be executed later.
    NoAnswer(String),
    /// The same, and nothing came back at all.
    TooLong,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(e) => write!(f, "not sent: {e}"),
            CallError::NoAnswer(e) => write!(f, "no answer: {e}"),
            CallError::TooLong => write!(f, "no answer: took too long"),
        }
    }
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The `Retry-After` header, if it is a number of seconds.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}

pub struct Client {
    idle: RefCell<Idle>,
}

/// Connections that wait for their next request. Of a fleet larger than
/// `most` those unused for longest are closed: to close all of them at once,
/// as was done, costs a new connection for each order.
struct Idle {
    most: usize,
    kept: usize,
    clock: u64,
    hosts: HashMap<SocketAddr, (u64, Vec<Stream>)>,
}

impl Idle {
    fn keep(&mut self, addr: SocketAddr, stream: Stream) {
        if self.kept >= self.most {
            let oldest = self.hosts.iter().min_by_key(|(_, (used, _))| *used);
            if let Some(addr) = oldest.map(|(addr, _)| *addr)
                && let Some((_, list)) = self.hosts.remove(&addr)
            {
                self.kept -= list.len();
            }
        }
        self.clock += 1;
        let (used, list) = self.hosts.entry(addr).or_default();
        *used = self.clock;
        if list.len() < IDLE_PER_HOST {
            list.push(stream);
            self.kept += 1;
        }
    }

    /// A host without connections is not kept: closing it in place of the
    /// oldest would close nothing, and the pool would outgrow its limit.
    fn pop(&mut self, addr: SocketAddr) -> Option<Stream> {
        let (_, list) = self.hosts.get_mut(&addr)?;
        let stream = list.pop()?;
        self.kept -= 1;
        if list.is_empty() {
            self.hosts.remove(&addr);
        }
        Some(stream)
    }
}

impl Client {
    /// Keeps at most so many connections open between requests.
    pub fn new(most: usize) -> Self {
        Client {
            idle: RefCell::new(Idle {
                most,
                kept: 0,
                clock: 0,
                hosts: HashMap::new(),
            }),
        }
    }

    fn pooled(&self, addr: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        while let Some(stream) = idle.pop(addr) {
            // A live idle connection has nothing to read.
            let mut byte = [0];
            if let Err(e) = stream.0.get_ref().peek(&mut byte)
                && e.kind() == io::ErrorKind::WouldBlock
            {
                return Some(stream);
            }
        }
        None
    }

    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        self.call_if(addr, method, path, body, limit, || true).await
    }

    /// Looks whether it may still be sent once the connection is there: that
    /// takes a time of its own, and the process may stand still meanwhile.
    /// Nothing is waited for between that look and the first byte.
    pub async fn call_if(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
        still: impl FnOnce() -> bool,
    ) -> Result<Answer, CallError> {
        let start = std::time::Instant::now();
        let stream = match self.pooled(addr) {
            Some(stream) => stream,
            None => match within(limit, Async::<TcpStream>::connect(addr)).await {
                Some(Ok(stream)) => {
                    let _ = stream.get_ref().set_nodelay(true);
                    Stream(Arc::new(stream))
                }
                Some(Err(e)) => return Err(CallError::NotSent(e.to_string())),
                None => return Err(CallError::NotSent("connecting took too long".into())),
            },
        };
        let url = Url::parse(&format!("http://{addr}{path}"))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        let left = limit.saturating_sub(start.elapsed());
        if !still() {
            self.idle.borrow_mut().keep(addr, stream);
            return Err(CallError::NotSent("it may not be sent any more".into()));
        }
        let exchange = async {
            let mut response = client::connect(stream.clone(), request).await?;
            let mut body = Vec::new();
            let close = response
                .header("connection")
                .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
            let status = u16::from(response.status());
            let retry_after_s = response
                .header("retry-after")
                .and_then(|v| v.as_str().trim().parse().ok());
            (&mut response)
                .take(MAX_ANSWER)
                .read_to_end(&mut body)
                .await?;
            let answer = Answer {
                status,
                retry_after_s,
                body,
            };
            Ok::<_, http_types::Error>((answer, close))
        };
        match within(left, exchange).await {
            Some(Ok((answer, close))) => {
                if !close {
                    self.idle.borrow_mut().keep(addr, stream);
                }
                Ok(answer)
            }
            Some(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
            None => Err(CallError::TooLong),
        }
    }
}

#[cfg(test)]
mod tests;
