//! Server of the framed protocol for other controllers and operators' commands.

use super::{FrameError, decode, encode, read_frame};
use crate::{ConnectionLimit, SharedTcpStream, priority_executor::PriorityExecutor, within};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use pathwinch_protocol::peers::{Reply, Request};
use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed accept, which prevents a busy loop while the process is
/// out of sockets.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests at `addr` with high priority over at most `max_connections`.
/// Further connections are closed immediately. Returns only if listening fails.
pub async fn serve<F, Fut>(
    executor: Rc<PriorityExecutor>,
    addr: SocketAddr,
    max_connections: usize,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let listener = Async::<TcpListener>::bind(addr)?;
    let connections = ConnectionLimit::new(max_connections);
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(permit) = connections.try_acquire() else {
            continue;
        };
        let stream = SharedTcpStream::without_delay(stream);
        let handler = handler.clone();
        executor
            .spawn_high(async move {
                let _permit = permit;
                if let Err(e) = serve_connection(stream, &*handler).await {
                    log::debug!("connection from peer closed: {e}");
                }
            })
            .detach();
    }
}

/// Answers requests one after another until the connection is idle for
/// [`IDLE_TIMEOUT`] or fails.
async fn serve_connection<F, Fut>(
    mut stream: SharedTcpStream,
    handler: &F,
) -> Result<(), FrameError>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Reply>,
{
    while let Some(bytes) = within(IDLE_TIMEOUT, read_frame(&mut stream)).await {
        let reply = handler(decode(&bytes?)?).await;
        stream.write_all(&encode(reply)?).await?;
    }
    Ok(())
}
