use super::*;
use async_io::Async;
use std::net::{TcpListener, TcpStream};

#[test]
fn full_pool_evicts_only_least_recently_used_host_when_connection_is_put() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let pool = ConnectionPool::new(3, 4);
    let host = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    for n in 1..=4 {
        let stream = Async::<TcpStream>::new(TcpStream::connect(addr).unwrap()).unwrap();
        pool.put(host(n), SharedTcpStream::from(stream));
    }
    let pooled: Vec<bool> = (1..=4).map(|n| pool.take(host(n)).is_some()).collect();
    assert_eq!(pooled, [false, true, true, true]);
    assert_eq!(pool.idle.borrow().connections, 0);
    assert!(pool.idle.borrow().hosts.is_empty());
}
