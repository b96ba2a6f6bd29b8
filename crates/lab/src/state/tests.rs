//! Unit tests of the parent module.

use super::*;

fn service() -> StateService {
    StateService::new(StateLimits {
        rps: 100.0,
        write_rps: 50.0,
        value_kb: 1.0,
        txn_ops: 4,
        next: None,
    })
}

fn txn(s: &mut StateService, now: Millis, body: Value) -> u16 {
    s.txn(body.to_string().as_bytes(), now).status
}

#[test]
fn a_transaction_applies_whole_or_not_at_all() {
    let mut s = service();
    let both = json!({"guards":[{"key":"a","key_rev":0}],
        "writes":[{"set":"a","data":1},{"set":"b","data":2}]});
    assert_eq!(txn(&mut s, 0, both.clone()), 200);
    assert_eq!(txn(&mut s, 0, both), 409);
    assert_eq!(s.get("b").body["key_rev"], 1);
    let large = json!({"writes":[{"set":"c","data":"x".repeat(2000)}]});
    assert_eq!(txn(&mut s, 0, large), 400);
    let twice = json!({"writes":[{"set":"c","data":1},{"drop":"c"}]});
    assert_eq!(txn(&mut s, 0, twice), 400);
    assert_eq!(s.revision(), 1, "nothing refused left a trace");
}

#[test]
fn a_lease_takes_its_keys_along_and_stands_still_in_an_outage() {
    let mut s = service();
    s.grant(br#"{"life_ms":1000}"#, 0);
    let put = json!({"writes":[{"set":"l","data":1,"hold":1}]});
    assert_eq!(txn(&mut s, 0, put.clone()), 200);
    s.set_down(true, 500);
    s.pass_time(5000);
    assert_eq!(s.admit(5000).map(|a| a.status), Some(503));
    s.set_down(false, 5000);
    s.pass_time(5900);
    assert_eq!(s.get("l").status, 200, "its full time again");
    s.pass_time(6000);
    assert_eq!(s.get("l").status, 404);
    assert_eq!(txn(&mut s, 6000, put), 400, "no such lease");
    let seen = s.changes("l", 1).map(|a| a.body["log"][0].clone());
    assert_eq!(seen, Some(json!({"drop":"l","key_rev":2})));
}

#[test]
fn pages_go_on_after_the_last_key_and_limits_hold() {
    let mut s = service();
    for n in 0..5 {
        let put = json!({"writes":[{"set":format!("c/{n}"),"data":n}]});
        assert_eq!(txn(&mut s, 0, put), 200);
    }
    let page = s.list("c/", "", 2).body;
    assert_eq!(
        (page["more"].clone(), page["rows"][1]["key"].clone()),
        (json!(true), json!("c/1"))
    );
    let rest = s.list("c/", "c/1", 10).body;
    assert_eq!(
        (rest["more"].clone(), rest["rows"].as_array().map(Vec::len)),
        (json!(false), Some(3))
    );
    // 45 changes are left of this second's 50.
    let put = json!({"writes":[{"set":"d","data":1}]});
    let taken = (0..60)
        .filter(|_| txn(&mut s, 0, put.clone()) == 200)
        .count();
    assert_eq!(taken, 45);
    assert_eq!(s.changes("c/", 0).map(|a| a.status), Some(200));
}
