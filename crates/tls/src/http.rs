//! HTTP over mutual TLS: both sides show a certificate, and the server knows
//! the caller by the name in it. What is answered is the handler's part.

use crate::{keys::read_certificate, reload::Followed};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};
use futures_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use http_types::Method;
use pathwinch_transport::{
    ConnectionLimit, SharedTcpStream,
    client::{Answer, CallError, exchange, json_request},
    priority_executor::PriorityExecutor,
    server::{HttpRequest, HttpResponse, read_request, write_response},
    within,
};
use rustls::{ServerConfig, pki_types::ServerName};
use std::{
    cell::RefCell,
    future::Future,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

/// Connecting and the handshake must be over within this time.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that a lack of sockets is no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An encrypted stream that can be cloned, as `async-h1` requires it. All
/// clones are used on one thread: the lock is never waited for.
#[derive(Clone)]
struct SharedTlsStream(Arc<Mutex<TlsStream<SharedTcpStream>>>);

impl SharedTlsStream {
    fn new(stream: impl Into<TlsStream<SharedTcpStream>>) -> Self {
        SharedTlsStream(Arc::new(Mutex::new(stream.into())))
    }

    fn with<T>(&self, f: impl FnOnce(Pin<&mut TlsStream<SharedTcpStream>>) -> T) -> T {
        let mut stream = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        f(Pin::new(&mut *stream))
    }
}

impl AsyncRead for SharedTlsStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.with(|s| s.poll_read(cx, buf))
    }
}

impl AsyncWrite for SharedTlsStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.with(|s| s.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|s| s.poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|s| s.poll_close(cx))
    }
}

/// Makes one POST request over a connection of its own: calls are few, and so
/// each uses the keys that are in force at the moment. The other side's
/// certificate must be for `server_name`. `timeout` applies to the connection
/// and to the exchange each; the response's body is cut off after
/// `max_response_bytes` and one byte, which shows that it is too large.
pub async fn call(
    keys: &RefCell<Followed>,
    addr: SocketAddr,
    server_name: &str,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
    max_response_bytes: usize,
) -> Result<Answer, CallError> {
    let config = keys.borrow().keys().client.clone();
    let server_name = ServerName::try_from(server_name.to_owned())
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    let mut request = json_request(addr, Method::Post, path, Some(body))?;
    request.insert_header("connection", "close");
    let connect = async {
        let plain = SharedTcpStream::connect(addr).await?;
        TlsConnector::from(config).connect(server_name, plain).await
    };
    let stream = match within(timeout.min(HANDSHAKE_TIMEOUT), connect).await {
        Some(Ok(stream)) => SharedTlsStream::new(stream),
        Some(Err(e)) => return Err(CallError::NotSent(e.to_string())),
        None => return Err(CallError::NotSent("connecting took too long".into())),
    };
    let exchange = exchange(stream, request, max_response_bytes as u64 + 1);
    match within(timeout, exchange).await {
        // Callers pace themselves: they follow no Retry-After.
        Some(Ok(received)) => Ok(Answer {
            retry_after_s: None,
            ..received.answer
        }),
        Some(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
        None => Err(CallError::TooLong),
    }
}

/// Serves callers that show a certificate; the handler is given the name in
/// it. At most `max_connections` are open at a time; further ones are closed
/// at once. Request bodies beyond `max_body_bytes` are left out. Returns only
/// if it can't listen.
pub async fn serve<F, Fut>(
    executor: Rc<PriorityExecutor>,
    listener: TcpListener,
    keys: Rc<RefCell<Followed>>,
    max_connections: usize,
    max_body_bytes: usize,
    handler: F,
) -> io::Result<()>
where
    F: Fn(String, HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = Async::new(listener)?;
    let connections = ConnectionLimit::new(max_connections);
    let handler = Rc::new(handler);
    loop {
        let Ok((plain, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(permit) = connections.try_acquire() else {
            continue;
        };
        let (keys, handler) = (keys.clone(), handler.clone());
        executor
            .spawn_high(async move {
                let _permit = permit;
                // Taken only now, as keys may have changed since the accept.
                let config = keys.borrow().keys().server.clone();
                if let Some((caller, stream)) = accept(config, plain).await {
                    serve_connection(stream, caller, max_body_bytes, &*handler).await;
                }
            })
            .detach();
    }
}

/// Makes the handshake; returns the caller's name with the stream, `None` if
/// the caller is not let in.
async fn accept(
    config: Arc<ServerConfig>,
    plain: Async<TcpStream>,
) -> Option<(String, SharedTlsStream)> {
    let accept = TlsAcceptor::from(config).accept(SharedTcpStream::from(plain));
    let stream = match within(HANDSHAKE_TIMEOUT, accept).await? {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("a caller is refused: {e}");
            return None;
        }
    };
    let certificate = stream.get_ref().1.peer_certificates()?.first()?;
    let caller = read_certificate(certificate).ok()?.name;
    Some((caller, SharedTlsStream::new(stream)))
}

/// Answers one request after the other until the connection ends.
async fn serve_connection<F, Fut>(
    mut stream: SharedTlsStream,
    caller: String,
    max_body_bytes: usize,
    handler: &F,
) where
    F: Fn(String, HttpRequest) -> Fut,
    Fut: Future<Output = HttpResponse>,
{
    while let Ok(Some(next)) = read_request(&mut stream, max_body_bytes).await {
        let (method, close) = (next.request.method, next.close);
        let response = handler(caller.clone(), next.request).await;
        let written = write_response(&mut stream, response, method, close).await;
        if !matches!(written, Ok(true)) {
            return;
        }
    }
}
