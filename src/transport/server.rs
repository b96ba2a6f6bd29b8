//! The HTTP server of the users' and workers' interface.

use super::{Slot, Stream, within};
use async_executor::LocalExecutor;
use async_h1::server::{Encoder, decode};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, io};
use http_types::{Method, Response, StatusCode, headers};
use std::{
    cell::Cell,
    future::Future,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

pub const MAX_BODY: usize = 64 * 1024;
/// A connection that sends nothing for so long is closed, so that half-open
/// clients can't use the sockets up.
const IDLE: Duration = Duration::from_secs(60);
/// A request that has begun must be complete within this time.
const BODY: Duration = Duration::from_secs(10);

pub struct HttpRequest {
    pub method: Method,
    pub path: String,
    /// `None`: larger than the limit, or not received completely.
    pub body: Option<Vec<u8>>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub content: &'static str,
    pub body: Vec<u8>,
}

pub const JSON: &str = "application/json";

impl HttpResponse {
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        HttpResponse {
            status,
            retry_after_s: None,
            content: JSON,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    pub fn error(status: u16, text: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": text }))
    }

    /// Not now: when to come back.
    pub fn later(text: &str) -> Self {
        HttpResponse {
            retry_after_s: Some(1),
            ..Self::error(503, text)
        }
    }
}

pub async fn serve<F, Fut>(
    executor: Rc<LocalExecutor<'static>>,
    addr: SocketAddr,
    limit: usize,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = Async::<TcpListener>::bind(addr)?;
    let used = Rc::new(Cell::new(0));
    let handler = Rc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of sockets: let some close instead of spinning.
                log::debug!("accept: {e}");
                Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Some(slot) = Slot::take(&used, limit) else {
            shed(&executor, stream);
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let handler = handler.clone();
        executor
            .spawn(async move {
                let _slot = slot;
                if let Err(e) = connection(Stream(Arc::new(stream)), handler).await {
                    log::debug!("connection: {e}");
                }
            })
            .detach();
    }
}

fn shed(executor: &Rc<LocalExecutor<'static>>, mut stream: Async<std::net::TcpStream>) {
    executor
        .spawn(async move {
            let answer = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
                           content-length: 0\r\nconnection: close\r\n\r\n";
            let _ = within(Duration::from_millis(200), stream.write_all(answer)).await;
        })
        .detach();
}

/// async-h1's own loop can't be told to leave its headers timeout out, which
/// would start the reactor thread of an older async-io; so its decoder and
/// encoder are driven here.
async fn connection<F, Fut>(mut stream: Stream, handler: Rc<F>) -> http_types::Result<()>
where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    loop {
        let (mut req, _rest) = match within(IDLE, decode(stream.clone())).await {
            None | Some(Ok(None)) => return Ok(()),
            Some(Ok(Some(got))) => got,
            Some(Err(e)) => {
                let answer = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\
                               connection: close\r\n\r\n";
                let _ = within(Duration::from_millis(200), stream.write_all(answer)).await;
                return Err(e);
            }
        };
        let mut body = Vec::new();
        let mut limited = (&mut req).take(MAX_BODY as u64 + 1);
        let read = within(BODY, limited.read_to_end(&mut body)).await;
        let complete = matches!(read, Some(Ok(_))) && body.len() <= MAX_BODY;
        let close = !complete
            || req
                .header(headers::CONNECTION)
                .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let method = req.method();
        let answer = handler(HttpRequest {
            method,
            path: req.url().path().to_owned(),
            body: complete.then_some(body),
        })
        .await;
        let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
        let mut res = Response::new(status);
        res.set_body(answer.body);
        res.insert_header(headers::CONTENT_TYPE, answer.content);
        if let Some(s) = answer.retry_after_s {
            res.insert_header(headers::RETRY_AFTER, s.to_string());
        }
        if close {
            res.insert_header(headers::CONNECTION, "close");
        }
        let mut encoder = Encoder::new(res, method);
        match within(BODY, io::copy(&mut encoder, &mut stream)).await {
            Some(Ok(_)) if !close => {}
            Some(Err(e)) => return Err(e.into()),
            _ => return Ok(()),
        }
    }
}
