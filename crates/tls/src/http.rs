//! HTTP over mutual TLS: both sides show a certificate, and the server knows
//! the caller by its name.

use crate::{keys::says, reload::Followed};
use async_h1::client;
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use futures_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use http_types::{Method, Request, Url};
use pathwinch_transport::{
    Slot, Stream,
    client::{Answer, CallError},
    priority_executor::PriorityExecutor,
    server::{HttpRequest, HttpResponse, receive, respond},
    within,
};
use rustls::pki_types::ServerName;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

/// An encrypted stream that can be cloned, as `async-h1` wants it. Everything
/// is on one thread: the lock is never waited for.
#[derive(Clone)]
struct Shared(Arc<Mutex<TlsStream<Stream>>>);

impl Shared {
    fn with<T>(&self, f: impl FnOnce(Pin<&mut TlsStream<Stream>>) -> T) -> T {
        let mut stream = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        f(Pin::new(&mut *stream))
    }
}

impl AsyncRead for Shared {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.with(|s| s.poll_read(cx, buf))
    }
}

impl AsyncWrite for Shared {
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

/// A handshake must be over within this time.
const HANDSHAKE: Duration = Duration::from_secs(5);

/// Makes one call over a connection of its own: calls are few, and the keys in
/// force at the moment are used. `name`: what the other side's certificate
/// must say.
pub async fn call(
    keys: &RefCell<Followed>,
    addr: SocketAddr,
    name: &str,
    path: &str,
    body: Vec<u8>,
    limit: Duration,
    most: usize,
) -> Result<Answer, CallError> {
    let not_sent = |e: String| CallError::NotSent(e);
    let config = keys.borrow().keys().client.clone();
    let server = ServerName::try_from(name.to_owned()).map_err(|e| not_sent(e.to_string()))?;
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|e| not_sent(e.to_string()))?;
    let connect = async {
        let plain = Async::<TcpStream>::connect(addr).await?;
        let _ = plain.get_ref().set_nodelay(true);
        let plain = Stream(Arc::new(plain));
        TlsConnector::from(config).connect(server, plain).await
    };
    let stream = match within(limit.min(HANDSHAKE), connect).await {
        Some(Ok(stream)) => Shared(Arc::new(Mutex::new(TlsStream::Client(stream)))),
        Some(Err(e)) => return Err(not_sent(e.to_string())),
        None => return Err(not_sent("connecting took too long".into())),
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    request.insert_header("content-type", "application/json");
    request.insert_header("connection", "close");
    let exchange = async {
        let mut response = client::connect(stream, request).await?;
        let status = u16::from(response.status());
        let mut body = Vec::new();
        (&mut response)
            .take(most as u64 + 1)
            .read_to_end(&mut body)
            .await?;
        Ok::<_, http_types::Error>(Answer {
            status,
            retry_after_s: None,
            body,
        })
    };
    match within(limit, exchange).await {
        Some(Ok(answer)) => Ok(answer),
        Some(Err(e)) => Err(CallError::NoAnswer(e.to_string())),
        None => Err(CallError::TooLong),
    }
}

/// Serves callers that show a certificate; the handler is told whose. `most`:
/// bytes of a body.
pub async fn serve<F, Fut>(
    lanes: Rc<PriorityExecutor>,
    listener: TcpListener,
    keys: Rc<RefCell<Followed>>,
    connections: usize,
    most: usize,
    handler: F,
) -> io::Result<()>
where
    F: Fn(String, HttpRequest) -> Fut + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    let listener = Async::new(listener)?;
    let used = Rc::new(Cell::new(0));
    let handler = Rc::new(handler);
    loop {
        let Ok((plain, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        let Some(slot) = Slot::take(&used, connections) else {
            continue;
        };
        let (keys, handler) = (keys.clone(), handler.clone());
        lanes
            .spawn_high(async move {
                let _slot = slot;
                let config = keys.borrow().keys().server.clone();
                let plain = Stream(Arc::new(plain));
                let accepted = within(HANDSHAKE, TlsAcceptor::from(config).accept(plain)).await;
                let stream = match accepted {
                    Some(Ok(stream)) => stream,
                    Some(Err(e)) => return log::warn!("a caller is refused: {e}"),
                    None => return,
                };
                let peer = stream.get_ref().1.peer_certificates();
                let Some(Ok(peer)) = peer.and_then(|c| c.first()).map(says) else {
                    return;
                };
                let mut stream = Shared(Arc::new(Mutex::new(TlsStream::Server(stream))));
                while let Ok(Some(next)) = receive(&mut stream, most).await {
                    let (method, close) = (next.request.method, next.close);
                    let answer = handler(peer.name.clone(), next.request).await;
                    if !matches!(respond(&mut stream, answer, method, close).await, Ok(true)) {
                        return;
                    }
                }
            })
            .detach();
    }
}
