//! Unit tests of the simulated state service.

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

fn run_txn(state: &mut StateService, now: Millis, body: Value) -> u16 {
    state.txn(body.to_string().as_bytes(), now).status
}

#[test]
fn transaction_is_atomic() {
    let mut state = service();
    let both = json!({"guards":[{"key":"a","key_rev":0}],
        "writes":[{"set":"a","data":1},{"set":"b","data":2}]});
    assert_eq!(run_txn(&mut state, 0, both.clone()), 200);
    assert_eq!(run_txn(&mut state, 0, both), 409);
    assert_eq!(state.get("b").body["key_rev"], 1);
    let large = json!({"writes":[{"set":"c","data":"x".repeat(2000)}]});
    assert_eq!(run_txn(&mut state, 0, large), 400);
    let twice = json!({"writes":[{"set":"c","data":1},{"drop":"c"}]});
    assert_eq!(run_txn(&mut state, 0, twice), 400);
    assert_eq!(state.revision(), 1, "refused transactions change nothing");
}

#[test]
fn lease_deletes_its_keys_on_expiry_and_is_suspended_in_an_outage() {
    let mut state = service();
    state.grant(br#"{"life_ms":1000}"#, 0);
    let transaction = json!({"writes":[{"set":"l","data":1,"hold":1}]});
    assert_eq!(run_txn(&mut state, 0, transaction.clone()), 200);
    state.set_down(true, 500);
    state.expire_leases(5000);
    assert_eq!(state.admit(5000).map(|a| a.status), Some(503));
    state.set_down(false, 5000);
    state.expire_leases(5900);
    assert_eq!(
        state.get("l").status,
        200,
        "full duration again after the outage"
    );
    state.expire_leases(6000);
    assert_eq!(state.get("l").status, 404);
    assert_eq!(run_txn(&mut state, 6000, transaction), 400, "no such lease");
    let seen = state
        .changes_since("l", 1)
        .map(|a| a.body["log"][0].clone());
    assert_eq!(seen, Some(json!({"drop":"l","key_rev":2})));
}

#[test]
fn listing_continues_after_the_last_key_and_write_rate_is_limited() {
    let mut state = service();
    for n in 0..5 {
        let transaction = json!({"writes":[{"set":format!("c/{n}"),"data":n}]});
        assert_eq!(run_txn(&mut state, 0, transaction), 200);
    }
    let page = state.list("c/", "", 2).body;
    assert_eq!(
        (page["more"].clone(), page["rows"][1]["key"].clone()),
        (json!(true), json!("c/1"))
    );
    let rest = state.list("c/", "c/1", 10).body;
    assert_eq!(
        (rest["more"].clone(), rest["rows"].as_array().map(Vec::len)),
        (json!(false), Some(3))
    );
    // 45 of the 50 writes per second are left.
    let transaction = json!({"writes":[{"set":"d","data":1}]});
    let taken = (0..60)
        .filter(|_| run_txn(&mut state, 0, transaction.clone()) == 200)
        .count();
    assert_eq!(taken, 45);
    assert_eq!(state.changes_since("c/", 0).map(|a| a.status), Some(200));
}
