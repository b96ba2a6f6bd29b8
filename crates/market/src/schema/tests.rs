//! Unit tests of the parent module.

use super::*;
use crate::wire::{ReplyBody, SyncReply, VERSION};

fn reply_with(body: ReplyBody) -> Reply {
    Reply {
        v: VERSION,
        message: 7,
        epoch: 1,
        clock_ms: 2,
        cleared: true,
        body,
    }
}

/// Guards against schemas that differ from the published files, on which builds of
/// different dates must agree. `pathwinch-market schema --write` writes the files.
#[test]
fn published_schemas_match_the_types() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/schemas");
    for (name, generated) in [("request", request()), ("reply", reply())] {
        let text = std::fs::read_to_string(format!("{dir}/{name}.json")).unwrap();
        let published: Value = serde_json::from_str(&text).unwrap();
        assert!(published == generated, "{name}.json is out of date");
    }
}

#[test]
fn valid_reply_is_read_and_errors_name_the_field() {
    let reader = MessageReader::new(&reply()).unwrap();
    let reply = reply_with(ReplyBody::Synced(SyncReply::default()));
    let body = serde_json::to_vec(&reply).unwrap();
    assert_eq!(reader.read::<Reply>(&body), Ok(reply));
    let refused = |body: &[u8]| reader.read::<Reply>(body).unwrap_err().0;
    assert!(refused(b"\xff\x00garbage").starts_with("body: "));
    let text = String::from_utf8(body).unwrap();
    let wrong_version = refused(text.replace("\"v\":1", "\"v\":2").as_bytes());
    assert!(wrong_version.starts_with("v: "), "{wrong_version}");
    let negative_clock = refused(text.replace("\"clock_ms\":2", "\"clock_ms\":-2").as_bytes());
    assert!(negative_clock.starts_with("clock_ms: "), "{negative_clock}");
    let unknown_field = refused(text.replace("\"v\":1", "\"v\":1,\"x\":1").as_bytes());
    assert!(unknown_field.contains('x'), "{unknown_field}");
}

#[test]
fn too_many_offers_and_oversized_bodies_are_refused() {
    let reader = MessageReader::new(&reply()).unwrap();
    let offer = r#"{"offer":"o","slot":{"cpus":1,"gpus":0,"memory_gb":1},"slots":1,"price":1,"valid_until_ms":1}"#;
    let body = |n: usize| {
        let offers = vec![offer; n].join(",");
        format!(
            r#"{{"v":1,"message":1,"epoch":1,"clock_ms":1,"cleared":true,"say":{{"synced":{{"offers":[{offers}],"awards":[]}}}}}}"#
        )
    };
    assert!(reader.read::<Reply>(body(1000).as_bytes()).is_ok());
    let too_many = reader.read::<Reply>(body(1001).as_bytes()).unwrap_err().0;
    assert!(too_many.len() < 300, "{too_many}");
    let oversized = reader
        .read::<Reply>(body(100_000).as_bytes())
        .unwrap_err()
        .0;
    assert_eq!(oversized, format!("body: over {MAX_BODY_BYTES} bytes"));
}
