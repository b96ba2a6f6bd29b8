//! The HTTP server beside a limit of connections.

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

const LIMIT: usize = 10;
const REQUEST: &[u8] = b"GET /report HTTP/1.1\r\nhost: a\r\n\r\n";

async fn ask(stream: &mut Async<TcpStream>) -> String {
    stream.write_all(REQUEST).await.unwrap();
    let mut bytes = vec![0; 1024];
    let n = stream.read(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes[..n]).to_lowercase()
}

fn serve(lanes: &Rc<PriorityExecutor>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits {
        connections: LIMIT,
        others: LIMIT,
        first: "/report",
    };
    let answer = |_| async { HttpResponse::error(200, "taken in") };
    let serving = server::serve_on(lanes.clone(), listener, limits, answer);
    lanes.spawn_high(serving).detach();
    addr
}

/// Guards against callers beyond the limit who never find a connection, while
/// each of the others holds one that it seldom uses.
#[test]
fn as_connections_get_scarce_none_is_kept_and_more_callers_than_the_limit_are_answered() {
    let lanes = Rc::new(PriorityExecutor::default());
    async_io::block_on(lanes.clone().run(async {
        let addr = serve(&lanes);
        let mut callers = Vec::new();
        for n in 0..3 * LIMIT {
            let mut stream = Async::<TcpStream>::connect(addr).await.unwrap();
            let answer = ask(&mut stream).await;
            assert!(answer.starts_with("http/1.1 200"), "{n}: {answer}");
            let kept = !answer.contains("connection: close");
            // From the ninth on nine of ten are in use.
            assert_eq!(kept, n < LIMIT - 2, "{n}: {answer}");
            callers.push(stream);
        }
        // Those that were kept go on.
        let again = ask(&mut callers[0]).await;
        assert!(again.starts_with("http/1.1 200"), "{again}");
    }));
}
