//! Unit tests of the parent module.

use super::*;
use crate::wire::{Say, Synced, VERSION};

fn reply_with(say: Say) -> Reply {
    Reply {
        v: VERSION,
        message: 7,
        epoch: 1,
        clock_ms: 2,
        cleared: true,
        say,
    }
}

/// Two ends that were built at different times must agree on what is
/// published. `pathwinch-market schema --write` makes the files.
#[test]
fn published_schemas_are_those_of_the_types() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/schemas");
    for (name, made) in [("request", request()), ("reply", reply())] {
        let text = std::fs::read_to_string(format!("{dir}/{name}.json")).unwrap();
        let published: Value = serde_json::from_str(&text).unwrap();
        assert!(published == made, "{name}.json is out of date");
    }
}

#[test]
fn what_is_sent_can_be_read_and_what_is_wrong_is_named() {
    let reader = Reader::new(&reply()).unwrap();
    let good = reply_with(Say::Synced(Synced::default()));
    let body = serde_json::to_vec(&good).unwrap();
    assert_eq!(reader.read::<Reply>(&body), Ok(good));
    let refused = |body: &[u8]| reader.read::<Reply>(body).unwrap_err().0;
    assert!(refused(b"\xff\x00garbage").starts_with("body: "));
    let text = String::from_utf8(body).unwrap();
    let old = refused(text.replace("\"v\":1", "\"v\":2").as_bytes());
    assert!(old.starts_with("v: "), "{old}");
    let late = refused(text.replace("\"clock_ms\":2", "\"clock_ms\":-2").as_bytes());
    assert!(late.starts_with("clock_ms: "), "{late}");
    let extra = refused(text.replace("\"v\":1", "\"v\":1,\"x\":1").as_bytes());
    assert!(extra.contains('x'), "{extra}");
}

#[test]
fn offers_without_end_and_bodies_beyond_the_limit_are_refused() {
    let reader = Reader::new(&reply()).unwrap();
    let offer = r#"{"offer":"o","slot":{"cpus":1,"gpus":0,"memory_gb":1},"slots":1,"price":1,"valid_until_ms":1}"#;
    let body = |n: usize| {
        let offers = vec![offer; n].join(",");
        format!(
            r#"{{"v":1,"message":1,"epoch":1,"clock_ms":1,"cleared":true,"say":{{"synced":{{"offers":[{offers}],"awards":[]}}}}}}"#
        )
    };
    assert!(reader.read::<Reply>(body(1000).as_bytes()).is_ok());
    let many = reader.read::<Reply>(body(1001).as_bytes()).unwrap_err().0;
    assert!(many.len() < 300, "{many}");
    let vast = reader
        .read::<Reply>(body(100_000).as_bytes())
        .unwrap_err()
        .0;
    assert_eq!(vast, format!("body: over {MAX_BODY} bytes"));
}
