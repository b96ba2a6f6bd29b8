//! The HTTP server of the users' and workers' interface: accepting, limits on
//! connections, and their priority. Reading requests and writing responses is
//! in its `message` module; what is answered is the handler's part.

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

/// Pause after a failed accept: out of sockets, some have to close first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Sending a rejection must not hold a connection for longer.
const REJECT_TIMEOUT: Duration = Duration::from_millis(200);
/// From so many tenths of its connections on, a server keeps none idle.
const CROWDED_TENTHS: usize = 9;

const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\n\
                               content-length: 0\r\nconnection: close\r\n\r\n";

/// How many connections there may be, and which have high priority.
pub struct Limits {
    /// All open connections.
    pub connections: usize,
    /// Of these, so many for requests to other paths than `first`. Guards
    /// against users who take all connections, so that workers find none.
    pub others: usize,
    /// The path whose connections are served with high priority.
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
    /// Few connections are left: none is kept between requests. Guards against
    /// callers beyond the limit that never find one, while each of the others
    /// holds one that it seldom uses.
    fn is_crowded(&self) -> bool {
        10 * self.connections.open() >= CROWDED_TENTHS * self.connections.max()
    }
}

/// Serves requests at `addr`. Returns only if it can't listen.
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

/// As [`serve`], on a listener that is bound already, such as one on a port
/// that the system chose.
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
                log::debug!("accept: {e}");
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

async fn reject_accepted(mut stream: Async<TcpStream>) {
    reject(&mut stream, BUSY_RESPONSE).await;
}

/// Sends a whole response before the connection is closed. Whether it arrives
/// changes nothing.
async fn reject(stream: &mut (impl AsyncWrite + Unpin), response: &[u8]) {
    let _ = within(REJECT_TIMEOUT, stream.write_all(response)).await;
}

/// Decides by the path of its first request with which priority a connection
/// is served.
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
        Err(e) => return log::debug!("connection: {e}"),
    };
    if first.request.path == server.high_priority_path {
        let serve = serve_connection(server.clone(), stream, first, permit, None);
        server.executor.spawn_high(serve).detach();
        return;
    }
    match server.low_priority_connections.try_acquire() {
        Some(low) => serve_connection(server, stream, first, permit, Some(low)).await,
        None => reject(&mut stream, BUSY_RESPONSE).await,
    }
}

/// Answers one request after the other, holding the permits meanwhile.
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
        let close = close || server.is_crowded();
        match write_response(&mut stream, response, method, close).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return log::debug!("connection: {e}"),
        }
        next = match read_request(&mut stream, MAX_BODY_BYTES).await {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(e) => return log::debug!("connection: {e}"),
        };
    }
}
