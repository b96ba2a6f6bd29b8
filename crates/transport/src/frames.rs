//! Length-prefixed CBOR frames between controllers.

use super::{Slot, Stream, client::CallError, priority_executor::PriorityExecutor, within};
use anyhow::{Result, ensure};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use pathwinch_protocol::peers::{Frame, MAX_FRAME, Reply, Request, VERSION};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

const IDLE: Duration = Duration::from_secs(60);

pub fn encode<T: Serialize>(body: T) -> Result<Vec<u8>> {
    let mut out = vec![0; 4];
    ciborium::into_writer(&Frame { v: VERSION, body }, &mut out)?;
    let len = out.len() - 4;
    ensure!(len <= MAX_FRAME, "frame of {len} bytes is too large");
    out[..4].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(out)
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let frame: Frame<T> = ciborium::from_reader(bytes)?;
    ensure!(
        frame.v == VERSION,
        "peer speaks version {}, this is {VERSION}",
        frame.v
    );
    Ok(frame.body)
}

async fn read(stream: &mut Stream) -> Result<Vec<u8>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = u32::from_be_bytes(len) as usize;
    ensure!(len <= MAX_FRAME, "frame of {len} bytes is too large");
    let mut bytes = vec![0; len];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

pub async fn serve<F, Fut>(
    lanes: Rc<PriorityExecutor>,
    addr: SocketAddr,
    limit: usize,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let listener = Async::<TcpListener>::bind(addr)?;
    let used = Rc::new(Cell::new(0));
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        let Some(slot) = Slot::take(&used, limit) else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let handler = handler.clone();
        lanes
            .spawn_high(async move {
                let _slot = slot;
                let mut stream = Stream(Arc::new(stream));
                loop {
                    let step = async {
                        let Some(bytes) = within(IDLE, read(&mut stream)).await else {
                            return Ok(false);
                        };
                        let reply = handler(decode(&bytes?)?).await;
                        stream.write_all(&encode(reply)?).await?;
                        anyhow::Ok(true)
                    };
                    match step.await {
                        Ok(true) => {}
                        Ok(false) => break,
                        Err(e) => {
                            log::debug!("peer connection: {e}");
                            break;
                        }
                    }
                }
            })
            .detach();
    }
}

#[derive(Default)]
pub struct PeerClient {
    idle: RefCell<HashMap<SocketAddr, Vec<Stream>>>,
    requests: Cell<u64>,
    bytes: Cell<u64>,
}

impl PeerClient {
    /// Requests that were sent, and the bytes of those and of their replies.
    pub fn exchanged(&self) -> (u64, u64) {
        (self.requests.get(), self.bytes.get())
    }

    fn count_bytes(&self, length: usize) {
        self.bytes.set(self.bytes.get() + length as u64);
    }

    pub async fn call(
        &self,
        addr: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let frame = encode(request).map_err(|e| CallError::NotSent(e.to_string()))?;
        let mut pooled = None;
        while let Some(stream) = self
            .idle
            .borrow_mut()
            .get_mut(&addr)
            .and_then(|list| list.pop())
        {
            if stream
                .0
                .get_ref()
                .peek(&mut [0])
                .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
            {
                pooled = Some(stream);
                break;
            }
        }
        let exchange = async {
            let mut stream = match pooled {
                Some(stream) => stream,
                None => {
                    let stream = Async::<TcpStream>::connect(addr)
                        .await
                        .map_err(|e| CallError::NotSent(e.to_string()))?;
                    let _ = stream.get_ref().set_nodelay(true);
                    Stream(Arc::new(stream))
                }
            };
            let no_answer = |e: anyhow::Error| CallError::NoAnswer(e.to_string());
            stream
                .write_all(&frame)
                .await
                .map_err(|e| no_answer(e.into()))?;
            self.requests.set(self.requests.get() + 1);
            self.count_bytes(frame.len());
            let bytes = read(&mut stream).await.map_err(no_answer)?;
            self.count_bytes(bytes.len());
            let reply = decode(&bytes).map_err(no_answer)?;
            let mut idle = self.idle.borrow_mut();
            let list = idle.entry(addr).or_default();
            if list.len() < 8 {
                list.push(stream);
            }
            Ok(reply)
        };
        match within(limit, exchange).await {
            Some(result) => result,
            None => Err(CallError::TooLong),
        }
    }
}
