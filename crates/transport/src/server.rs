//! The HTTP server of the users' and workers' interface.

use super::{Slot, Stream, priority_executor::PriorityExecutor, within};
use async_h1::server::{Encoder, decode};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, io};
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
    pub query: Option<String>,
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

/// How many connections there may be, and what goes first.
pub struct Limits {
    pub connections: usize,
    /// Of these, so many for requests to other paths than `first`. Guards
    /// against users who take all connections, so that workers find none.
    pub others: usize,
    /// The path whose connections are served in the first lane.
    pub first: &'static str,
}

struct Server<F> {
    lanes: Rc<PriorityExecutor>,
    limits: Limits,
    used: Rc<Cell<usize>>,
    others: Rc<Cell<usize>>,
    handler: F,
}

/// From so many tenths of its connections on a server is crowded.
const CROWDED_TENTHS: usize = 9;

impl<F> Server<F> {
    /// Few connections are left: none is kept between requests. Guards against
    /// callers beyond the limit that never find one, while each of the others
    /// holds one that it seldom uses.
    fn is_crowded(&self) -> bool {
        10 * self.used.get() >= CROWDED_TENTHS * self.limits.connections
    }
}

pub async fn serve<F, Fut>(
    lanes: Rc<PriorityExecutor>,
    addr: SocketAddr,
    limits: Limits,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = TcpListener::bind(addr)?;
    serve_on(lanes, listener, limits, handler).await
}

/// The same on a listener that stands already, such as one on a port that the
/// system chose.
pub async fn serve_on<F, Fut>(
    lanes: Rc<PriorityExecutor>,
    listener: TcpListener,
    limits: Limits,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = Async::new(listener)?;
    let used = Rc::new(Cell::new(0));
    let most = limits.connections;
    let server = Rc::new(Server {
        lanes,
        limits,
        used: used.clone(),
        others: Rc::default(),
        handler,
    });
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
        let Some(slot) = Slot::take(&used, most) else {
            shed(&server.lanes, stream);
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Stream(Arc::new(stream));
        let first = newcomer(server.clone(), stream, slot);
        server.lanes.spawn_low(first).detach();
    }
}

const BUSY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\n\
                      content-length: 0\r\nconnection: close\r\n\r\n";

fn shed(lanes: &Rc<PriorityExecutor>, mut stream: Async<std::net::TcpStream>) {
    lanes
        .spawn_low(async move {
            let _ = within(Duration::from_millis(200), stream.write_all(BUSY)).await;
        })
        .detach();
}

/// What a connection is for shows in its first request.
async fn newcomer<F, Fut>(server: Rc<Server<F>>, mut stream: Stream, slot: Slot)
where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let first = match receive(&mut stream, MAX_BODY).await {
        Ok(Some(first)) => first,
        Ok(None) => return,
        Err(e) => return log::debug!("connection: {e}"),
    };
    if first.request.path == server.limits.first {
        let work = connection(server.clone(), stream, first, slot, None);
        server.lanes.spawn_high(work).detach();
        return;
    }
    match Slot::take(&server.others, server.limits.others) {
        Some(other) => connection(server, stream, first, slot, Some(other)).await,
        None => {
            let _ = within(Duration::from_millis(200), stream.write_all(BUSY)).await;
        }
    }
}

async fn connection<F, Fut>(
    server: Rc<Server<F>>,
    mut stream: Stream,
    first: Received,
    _slot: Slot,
    _other: Option<Slot>,
) where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    let mut next = first;
    loop {
        let (method, close) = (next.request.method, next.close);
        let answer = (server.handler)(next.request).await;
        let close = close || server.is_crowded();
        match respond(&mut stream, answer, method, close).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return log::debug!("connection: {e}"),
        }
        next = match receive(&mut stream, MAX_BODY).await {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(e) => return log::debug!("connection: {e}"),
        };
    }
}

pub struct Received {
    pub request: HttpRequest,
    /// The connection is closed after the answer.
    pub close: bool,
}

/// What a connection runs over: plain or encrypted.
pub trait Wire: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static> Wire for T {}

/// The next request; `None` when there will be none. async-h1's own loop
/// can't be told to leave its headers timeout out, which would start the
/// reactor thread of an older async-io; so its decoder and encoder are driven
/// here.
pub async fn receive<S: Wire>(stream: &mut S, most: usize) -> http_types::Result<Option<Received>> {
    let (mut req, _rest) = match within(IDLE, decode(stream.clone())).await {
        None | Some(Ok(None)) => return Ok(None),
        Some(Ok(Some(got))) => got,
        Some(Err(e)) => {
            let answer = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\
                           connection: close\r\n\r\n";
            let _ = within(Duration::from_millis(200), stream.write_all(answer)).await;
            return Err(e);
        }
    };
    let mut body = Vec::new();
    let mut limited = (&mut req).take(most as u64 + 1);
    let read = within(BODY, limited.read_to_end(&mut body)).await;
    let complete = matches!(read, Some(Ok(_))) && body.len() <= most;
    let close = !complete
        || req
            .header(headers::CONNECTION)
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let request = HttpRequest {
        method: req.method(),
        path: req.url().path().to_owned(),
        query: req.url().query().map(str::to_owned),
        body: complete.then_some(body),
    };
    Ok(Some(Received { request, close }))
}

/// Returns whether the connection goes on.
pub async fn respond<S: Wire>(
    stream: &mut S,
    answer: HttpResponse,
    method: Method,
    close: bool,
) -> http_types::Result<bool> {
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
    match within(BODY, io::copy(&mut encoder, stream)).await {
        Some(Ok(_)) => Ok(!close),
        Some(Err(e)) => Err(e.into()),
        None => Ok(false),
    }
}
