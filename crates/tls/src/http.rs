//! HTTP over mutual TLS. Both sides present a certificate, and the server
//! identifies the caller by the name in the caller's certificate. The handler
//! passed to [`serve`] produces the responses.

use crate::{keys::read_certificate, reload::ReloadableKeys};
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

/// Maximum time for the TLS handshake; on the client side it includes the TCP
/// connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which prevents a busy loop while the process is
/// out of sockets.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Cloneable TLS stream, as required by `async-h1`. All clones are used on one
/// thread, so the lock is never contended.
#[derive(Clone)]
struct SharedTlsStream(Arc<Mutex<TlsStream<SharedTcpStream>>>);

impl SharedTlsStream {
    fn new(stream: impl Into<TlsStream<SharedTcpStream>>) -> Self {
        SharedTlsStream(Arc::new(Mutex::new(stream.into())))
    }

    fn with_stream<T>(&self, f: impl FnOnce(Pin<&mut TlsStream<SharedTcpStream>>) -> T) -> T {
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
        self.with_stream(|s| s.poll_read(cx, buf))
    }
}

impl AsyncWrite for SharedTlsStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.with_stream(|s| s.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_close(cx))
    }
}

/// Sends one POST request over a new connection. Connections are not reused,
/// because calls are rare and each then uses the keys that are currently active.
///
/// The server's certificate must be for `server_name`. `timeout` applies to the
/// connection and to the exchange separately. The response's body is truncated
/// to one byte more than `max_response_bytes`, so that the caller can tell that
/// the body is too large.
pub async fn call(
    keys: &RefCell<ReloadableKeys>,
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
        let tcp_stream = SharedTcpStream::connect(addr).await?;
        TlsConnector::from(config)
            .connect(server_name, tcp_stream)
            .await
    };
    let stream = match within(timeout.min(HANDSHAKE_TIMEOUT), connect).await {
        Some(Ok(stream)) => SharedTlsStream::new(stream),
        Some(Err(e)) => return Err(CallError::NotSent(e.to_string())),
        None => return Err(CallError::NotSent("connecting timed out".into())),
    };
    let exchange = exchange(stream, request, max_response_bytes as u64 + 1);
    match within(timeout, exchange).await {
        // Callers determine the pause between their requests and do not follow
        // Retry-After, so the header is dropped.
        Some(Ok(received)) => Ok(Answer {
            retry_after_s: None,
            ..received.answer
        }),
        Some(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
        None => Err(CallError::TooLong),
    }
}

/// Serves callers that present a valid certificate, and passes the name in the
/// certificate to the handler.
///
/// At most `max_connections` connections are open at a time; further ones are
/// closed immediately. Request bodies larger than `max_body_bytes` are omitted
/// from the request. Returns only if listening fails.
pub async fn serve<F, Fut>(
    executor: Rc<PriorityExecutor>,
    listener: TcpListener,
    keys: Rc<RefCell<ReloadableKeys>>,
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
        let Ok((tcp_stream, _)) = listener.accept().await else {
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
                // The configuration is read in this task because the keys may
                // have changed since the connection was accepted.
                let config = keys.borrow().keys().server.clone();
                if let Some((caller, stream)) = accept(config, tcp_stream).await {
                    serve_connection(stream, caller, max_body_bytes, &*handler).await;
                }
            })
            .detach();
    }
}

/// Performs the TLS handshake. Returns the caller's name and the stream, or
/// `None` if the handshake fails, takes too long, or the certificate has no
/// usable name.
async fn accept(
    config: Arc<ServerConfig>,
    tcp_stream: Async<TcpStream>,
) -> Option<(String, SharedTlsStream)> {
    let accept = TlsAcceptor::from(config).accept(SharedTcpStream::from(tcp_stream));
    let stream = match within(HANDSHAKE_TIMEOUT, accept).await? {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("TLS server rejected a connection in the handshake: {e}");
            return None;
        }
    };
    let certificate = stream.get_ref().1.peer_certificates()?.first()?;
    let caller = read_certificate(certificate).ok()?.name;
    Some((caller, SharedTlsStream::new(stream)))
}

/// Answers requests one after another until the connection ends.
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
