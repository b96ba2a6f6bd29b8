use super::*;
use std::io::Read;

/// Guards against a request being sent although the controller's authority
/// ended while the connection was being established. A machine that has just
/// come back, and has not yet seen a newer fencing token, would execute the
/// command.
#[test]
fn request_is_not_sent_when_permission_ends_while_connecting() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let server_addr = listener.local_addr().unwrap();
    let client = Client::new(3);
    let timeout = Duration::from_secs(2);
    let call = |may_send: bool| {
        let body = Some(b"{}".to_vec());
        client.call_if(server_addr, Method::Post, "/do", body, timeout, move || {
            may_send
        })
    };
    let answer = async_io::block_on(call(false));
    assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
    let (mut accepted, _) = listener.accept().unwrap();
    accepted
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let mut buffer = [0];
    let read = accepted.read(&mut buffer);
    assert!(read.is_err(), "{read:?}");
    // The connection was not used and returns to the pool; the next request is
    // sent over it.
    let timed_out = async_io::block_on(within(Duration::from_millis(50), call(true)));
    assert!(timed_out.is_none());
    assert_eq!(accepted.read(&mut buffer).unwrap(), 1);
}
