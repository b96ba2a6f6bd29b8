//! HTTP over mutual TLS on loopback: the server is told who calls, and lets
//! nobody in whom it can't know.

use pathwinch_tls::{
    authority::Authority,
    http,
    keys::{At, Texts},
    reload::Followed,
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
const LIMIT: Duration = Duration::from_secs(20);

fn keys(dir: &Path, authority: &Authority, name: &str) -> Rc<RefCell<Followed>> {
    let issued = authority.issue(name, 90, NOW).unwrap();
    let texts = Texts {
        certificate: issued.certificate,
        key: issued.key,
        trusted: std::fs::read_to_string(dir.join("ca.pem")).unwrap(),
        revoked: String::new(),
    };
    let followed = Followed::new(texts, Arc::new(At(NOW))).unwrap();
    Rc::new(RefCell::new(followed))
}

#[test]
fn the_caller_is_known_by_its_certificate_and_large_bodies_are_refused() {
    let dir = std::env::temp_dir().join(format!("pathwinch-tls-{}-loopback", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (own, other) = (dir.join("own"), dir.join("other"));
    let city = Authority::make(&own, "city", 100, NOW).unwrap();
    let stranger = Authority::make(&other, "city", 100, NOW).unwrap();
    let (home, north) = (keys(&own, &city, "home"), keys(&own, &city, "north"));
    let unknown = keys(&other, &stranger, "home");
    let lanes = Rc::new(PriorityExecutor::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let serve = http::serve(
        lanes.clone(),
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
    lanes.spawn_high(serve).detach();
    async_io::block_on(lanes.run(async {
        let call = async |keys: &RefCell<Followed>, name: &str, bytes: usize| {
            http::call(keys, addr, name, "/x", vec![b'x'; bytes], LIMIT, 10_000).await
        };
        let answer = call(&home, "north", 900).await.unwrap();
        assert_eq!(
            (answer.status, answer.body),
            (200, b"[\"home\",900]".to_vec())
        );
        let large = call(&home, "north", 2_000).await.unwrap();
        assert_eq!(large.status, 400);
        // Not the one that was called.
        assert!(matches!(
            call(&home, "south", 1).await,
            Err(CallError::NotSent(_))
        ));
        // It trusts another authority, and so does the server.
        assert!(call(&unknown, "north", 1).await.is_err());
    }));
    let _ = std::fs::remove_dir_all(&dir);
}
