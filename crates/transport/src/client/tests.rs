use super::*;
use std::io::Read;

/// Guards against bytes on the wire after authority has ended while the
/// connection was being made: a machine that has just returned, and has not
/// yet seen a newer fencing token, would carry the command out.
#[test]
fn request_is_not_sent_when_permission_ends_while_connecting() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let listening = listener.local_addr().unwrap();
    let client = Client::new(3);
    let timeout = Duration::from_secs(2);
    let call = |may_send: bool| {
        let body = Some(b"{}".to_vec());
        client.call_if(listening, Method::Post, "/do", body, timeout, move || {
            may_send
        })
    };
    let answer = async_io::block_on(call(false));
    assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
    let (mut accepted, _) = listener.accept().unwrap();
    accepted
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let mut byte = [0];
    let read = accepted.read(&mut byte);
    assert!(read.is_err(), "{read:?}");
    // The connection is as good as new, and the next request goes over it.
    let cut_short = async_io::block_on(within(Duration::from_millis(50), call(true)));
    assert!(cut_short.is_none());
    assert_eq!(accepted.read(&mut byte).unwrap(), 1);
}
