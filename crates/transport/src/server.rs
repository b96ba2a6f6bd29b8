//! HTTP server for users and workers. It accepts connections, limits their
//! number and assigns their priority.
//!
//! The private module `message` reads requests and writes responses. The
//! caller's handler produces the responses.

mod message;

pub use message::{
    HttpRequest, HttpResponse, JSON, MAX_BODY_BYTES, ReceivedRequest, read_request, write_response,
};

use crate::{
    ConnectionLimit, ConnectionPermit, SharedTcpStream, priority_executor::PriorityExecutor, within,
};
use async_io::{Async, Timer};
use futures_lite::{AsyncWrite, AsyncWriteExt};
use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

/// Pause after a failed accept. If the process is out of sockets, some must be
/// closed before the next accept can succeed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time to send a rejection, so that rejected clients do not hold
/// connections for longer.
const REJECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Share of the connection limit, in tenths, from which on the server closes
/// connections after each response instead of keeping them idle.
const NEAR_LIMIT_TENTHS: usize = 9;

/// Response to a client that is rejected because a connection limit is reached.
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\n\
                               content-length: 0\r\nconnection: close\r\n\r\n";

/// Connection limits of a server, and which connections have high priority.
pub struct Limits {
    /// Maximum number of open connections in total.
    pub connections: usize,
    /// Maximum number of open connections for requests to paths other than
    /// `first`. Guards against users taking all connections, which would leave
    /// none for workers.
    pub others: usize,
    /// Path whose connections are served with high priority. The path of the
    /// first request on a connection counts.
    pub first: &'static str,
}

struct Server<F> {
    executor: Rc<PriorityExecutor>,
    high_priority_path: &'static str,
    connections: ConnectionLimit,
    low_priority_connections: ConnectionLimit,
    handler: F,
}

impl<F> Server<F> {
    /// Whether few connections are left, so that none is kept open between
    /// requests. Guards against clients beyond the limit never getting a
    /// connection while each of the others holds one that it seldom uses.
    fn is_near_connection_limit(&self) -> bool {
        10 * self.connections.open() >= NEAR_LIMIT_TENTHS * self.connections.max()
    }
}

/// Serves requests at `addr`. Returns only if listening fails.
pub async fn serve<F, Fut>(
    executor: Rc<PriorityExecutor>,
    addr: SocketAddr,
    limits: Limits,
    handler: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = TcpListener::bind(addr)?;
    serve_on(executor, listener, limits, handler).await
}

/// Like [`serve`], but uses a listener that is already bound, for example to a
/// port chosen by the operating system.
pub async fn serve_on<F, Fut>(
    executor: Rc<PriorityExecutor>,
    listener: TcpListener,
    limits: Limits,
    handler: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = Async::new(listener)?;
    let server = Rc::new(Server {
        executor,
        high_priority_path: limits.first,
        connections: ConnectionLimit::new(limits.connections),
        low_priority_connections: ConnectionLimit::new(limits.others),
        handler,
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::debug!("HTTP server failed to accept a connection: {e}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match server.connections.try_acquire() {
            Some(permit) => {
                let stream = SharedTcpStream::without_delay(stream);
                let classify = classify_connection(server.clone(), stream, permit);
                server.executor.spawn_low(classify).detach();
            }
            None => server.executor.spawn_low(reject_accepted(stream)).detach(),
        }
    }
}

/// Rejects a connection because the limit on open connections is reached.
async fn reject_accepted(mut stream: Async<TcpStream>) {
    reject(&mut stream, BUSY_RESPONSE).await;
}

/// Sends a complete response before the caller closes the connection. Failure
/// to send is ignored because the connection is closed in any case.
async fn reject(stream: &mut (impl AsyncWrite + Unpin), response: &[u8]) {
    let _ = within(REJECT_TIMEOUT, stream.write_all(response)).await;
}

/// Reads the first request of a connection and serves the connection with high
/// priority if the request's path is the high-priority path, otherwise with low
/// priority.
async fn classify_connection<F, Fut>(
    server: Rc<Server<F>>,
    mut stream: SharedTcpStream,
    permit: ConnectionPermit,
) where
    F: Fn(HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let first = match read_request(&mut stream, MAX_BODY_BYTES).await {
        Ok(Some(first)) => first,
        Ok(None) => return,
        Err(e) => return log::debug!("HTTP connection closed: {e}"),
    };
    if first.request.path == server.high_priority_path {
        let serve = serve_connection(server.clone(), stream, first, permit, None);
        server.executor.spawn_high(serve).detach();
        return;
    }
    match server.low_priority_connections.try_acquire() {
        Some(low_permit) => serve_connection(server, stream, first, permit, Some(low_permit)).await,
        None => reject(&mut stream, BUSY_RESPONSE).await,
    }
}

/// Answers the requests of a connection one after another. Holds the connection
/// permits until the connection ends.
async fn serve_connection<F, Fut>(
    server: Rc<Server<F>>,
    mut stream: SharedTcpStream,
    first: ReceivedRequest,
    _permit: ConnectionPermit,
    _low_priority_permit: Option<ConnectionPermit>,
) where
    F: Fn(HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    let mut next = first;
    loop {
        let (method, close) = (next.request.method, next.close);
        let response = (server.handler)(next.request).await;
        let close = close || server.is_near_connection_limit();
        match write_response(&mut stream, response, method, close).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return log::debug!("HTTP connection closed: {e}"),
        }
        next = match read_request(&mut stream, MAX_BODY_BYTES).await {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(e) => return log::debug!("HTTP connection closed: {e}"),
        };
    }
}
