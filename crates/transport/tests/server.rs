//! Tests of the HTTP server near its connection limit.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use pathwinch_transport::{
    priority_executor::PriorityExecutor,
    server::{self, HttpResponse, Limits},
};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
};

const MAX_CONNECTIONS: usize = 10;
const REQUEST: &[u8] = b"GET /report HTTP/1.1\r\nhost: a\r\n\r\n";

async fn request(stream: &mut Async<TcpStream>) -> String {
    stream.write_all(REQUEST).await.unwrap();
    let mut bytes = vec![0; 1024];
    let n = stream.read(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes[..n]).to_lowercase()
}

fn serve(executor: &Rc<PriorityExecutor>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits {
        connections: MAX_CONNECTIONS,
        others: MAX_CONNECTIONS,
        first: "/report",
    };
    let handler = |_| async { HttpResponse::error(200, "report accepted") };
    let serve = server::serve_on(executor.clone(), listener, limits, handler);
    executor.spawn_high(serve).detach();
    addr
}

/// Guards against clients beyond the limit never getting a connection while each
/// of the others holds one that it seldom uses.
#[test]
fn server_closes_connections_after_each_response_when_few_are_left() {
    let executor = Rc::new(PriorityExecutor::default());
    async_io::block_on(executor.clone().run(async {
        let addr = serve(&executor);
        let mut clients = Vec::new();
        for n in 0..3 * MAX_CONNECTIONS {
            let mut stream = Async::<TcpStream>::connect(addr).await.unwrap();
            let response = request(&mut stream).await;
            assert!(response.starts_with("http/1.1 200"), "{n}: {response}");
            let kept_open = !response.contains("connection: close");
            // From the ninth connection on, 9 of 10 connections are in use.
            assert_eq!(kept_open, n < MAX_CONNECTIONS - 2, "{n}: {response}");
            clients.push(stream);
        }
        // Connections that were kept open can still be used.
        let again = request(&mut clients[0]).await;
        assert!(again.starts_with("http/1.1 200"), "{again}");
    }));
}
