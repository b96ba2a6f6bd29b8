//! Test of HTTP over mutual TLS on the loopback interface: the handler receives
//! the caller's name, and callers with untrusted certificates are refused.

use pathwinch_tls::{
    authority::Authority,
    http,
    keys::{FixedTime, KeyFiles},
    reload::ReloadableKeys,
};
use pathwinch_transport::{
    client::CallError, priority_executor::PriorityExecutor, server::HttpResponse,
};
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    path::Path,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

const NOW: u64 = 1_800_000_000;
const TIMEOUT: Duration = Duration::from_secs(20);

fn keys(dir: &Path, authority: &Authority, name: &str) -> Rc<RefCell<ReloadableKeys>> {
    let issued = authority.issue(name, 90, NOW).unwrap();
    let texts = KeyFiles {
        certificate: issued.certificate,
        key: issued.key,
        trusted: std::fs::read_to_string(dir.join("ca.pem")).unwrap(),
        revoked: String::new(),
    };
    let reloadable_keys = ReloadableKeys::new(texts, Arc::new(FixedTime(NOW))).unwrap();
    Rc::new(RefCell::new(reloadable_keys))
}

#[test]
fn server_names_caller_by_certificate_and_omits_body_when_too_large() {
    let dir = std::env::temp_dir().join(format!("pathwinch-tls-{}-loopback", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (own, other) = (dir.join("own"), dir.join("other"));
    let city = Authority::create(&own, "city", 100, NOW).unwrap();
    let untrusted_authority = Authority::create(&other, "city", 100, NOW).unwrap();
    let (home, north) = (keys(&own, &city, "home"), keys(&own, &city, "north"));
    let untrusted_home = keys(&other, &untrusted_authority, "home");
    let executor = Rc::new(PriorityExecutor::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let serve = http::serve(
        executor.clone(),
        listener,
        north,
        8,
        1000,
        |caller, request| async move {
            match request.body {
                Some(body) => HttpResponse::json(200, &(caller, body.len())),
                None => HttpResponse::error(400, "body: too large"),
            }
        },
    );
    executor.spawn_high(serve).detach();
    async_io::block_on(executor.run(async {
        let call = async |keys: &RefCell<ReloadableKeys>, name: &str, bytes: usize| {
            http::call(keys, addr, name, "/x", vec![b'x'; bytes], TIMEOUT, 10_000).await
        };
        let answer = call(&home, "north", 900).await.unwrap();
        assert_eq!(
            (answer.status, answer.body),
            (200, b"[\"home\",900]".to_vec())
        );
        let large = call(&home, "north", 2_000).await.unwrap();
        assert_eq!(large.status, 400);
        // The server's certificate is for `north`, not for `south`.
        assert!(matches!(
            call(&home, "south", 1).await,
            Err(CallError::NotSent(_))
        ));
        // Neither side trusts the other's authority.
        assert!(call(&untrusted_home, "north", 1).await.is_err());
    }));
    let _ = std::fs::remove_dir_all(&dir);
}
