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
const IDLE_TOTAL: usize = 96;

#[derive(Debug, Clone, PartialEq)]
pub enum CallError {
    /// The connection never stood: the other side will not see the request.
    NotSent(String),
    /// It may have been executed, or may be executed later.
    NoAnswer(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(e) => write!(f, "not sent: {e}"),
            CallError::NoAnswer(e) => write!(f, "no answer: {e}"),
        }
    }
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Stream>>>,
}

impl Client {
    fn pooled(&self, addr: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(stream) = list.pop() {
            // A live idle connection has nothing to read.
            let mut byte = [0];
            if let Err(e) = stream.0.get_ref().peek(&mut byte)
                && e.kind() == io::ErrorKind::WouldBlock
            {
                return Some(stream);
            }
        }
        idle.remove(&addr);
        None
    }

    fn keep(&self, addr: SocketAddr, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        if idle.values().map(Vec::len).sum::<usize>() >= IDLE_TOTAL {
            idle.clear();
        }
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_PER_HOST {
            list.push(stream);
        }
    }

    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
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
        let exchange = async {
            let mut response = client::connect(stream.clone(), request).await?;
            let mut body = Vec::new();
            let close = response
                .header("connection")
                .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
            let status = u16::from(response.status());
            (&mut response)
                .take(MAX_ANSWER)
                .read_to_end(&mut body)
                .await?;
            Ok::<_, http_types::Error>((Answer { status, body }, close))
        };
        match within(left, exchange).await {
            Some(Ok((answer, close))) => {
                if !close {
                    self.keep(addr, stream);
                }
                Ok(answer)
            }
            Some(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
            None => Err(CallError::NoAnswer("took too long".into())),
        }
    }
}
