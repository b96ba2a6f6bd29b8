use super::*;

#[test]
fn a_full_pool_closes_what_was_unused_for_longest_and_nothing_else() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let there = listener.local_addr().unwrap();
    let client = Client::new(3);
    let host = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    for n in 1..=4 {
        let stream = Async::<TcpStream>::new(TcpStream::connect(there).unwrap()).unwrap();
        let mut idle = client.idle.borrow_mut();
        idle.keep(host(n), Stream(Arc::new(stream)));
    }
    let pooled: Vec<bool> = (1..=4).map(|n| client.pooled(host(n)).is_some()).collect();
    assert_eq!(pooled, [false, true, true, true]);
    assert_eq!(client.idle.borrow().kept, 0);
    assert!(client.idle.borrow().hosts.is_empty());
}

/// A command was decided on, and authority ended while the connection was
/// made. Guards against a byte of it on the wire after that: a machine that is
/// back at once, and has seen no token, would carry it out.
#[test]
fn what_may_not_be_sent_any_more_once_the_connection_is_there_is_not() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let there = listener.local_addr().unwrap();
    let client = Client::new(3);
    let limit = Duration::from_secs(2);
    let call = |still: bool| {
        let body = Some(b"{}".to_vec());
        client.call_if(there, Method::Post, "/do", body, limit, move || still)
    };
    let answer = async_io::block_on(call(false));
    assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
    let (mut served, _) = listener.accept().unwrap();
    served
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let mut byte = [0];
    let read = io::Read::read(&mut served, &mut byte);
    assert!(read.is_err(), "{read:?}");
    // The connection is as good as new, and the next goes over it.
    let short = async_io::block_on(within(Duration::from_millis(50), call(true)));
    assert!(short.is_none());
    assert_eq!(io::Read::read(&mut served, &mut byte).unwrap(), 1);
}
