//! Byte-for-byte checks of the market protocol and of the broker's stored
//! records, independent of the names of types and fields in the code. The
//! fixtures are the expected output and must never be edited.

use pathwinch_market::{
    ledger_sync::SEQUENCE_KEY,
    lending::{self, WaitingJob},
    ranges::Ranges,
    records::{
        self, AwardRecord, End, EndReason, HorizonRecord, SpentRecord, award_key, horizon_key,
        reputation_key, spent_key,
    },
    reputation::{Outcome, Reputation},
    schema::{self, MessageReader},
    serve::MARKET_PATH,
    wire::{
        Award, AwardReport, AwardState, Bid, BidAnswer, Job, MAX_BODY_BYTES, MAX_ITEMS_PER_MESSAGE,
        MAX_OFFERS, MarketTime, Offer, Reply, ReplyBody, Request, RequestBody, Slot, Sync,
        SyncReply, VERSION,
    },
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::fmt::Debug;

const FIXTURES: &str = include_str!("fixtures/compatibility/market.txt");

fn fixture(name: &str) -> &'static str {
    let named = FIXTURES.lines().filter_map(|line| line.split_once(' '));
    let matching: Vec<_> = named.filter(|(n, _)| *n == name).collect();
    let [(_, text)] = matching[..] else {
        panic!("{} fixtures named {name}, expected one", matching.len());
    };
    text
}

/// Asserts that the value is serialised exactly as in the fixture and is read
/// back from it, with and without the fixture's null fields.
fn assert_pinned<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let text = fixture(name);
    assert_eq!(serde_json::to_string(value).unwrap(), text, "{name}");
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), *value, "{name}");
    let mut without_nulls: Value = serde_json::from_str(text).unwrap();
    omit_nulls(&mut without_nulls);
    assert_eq!(
        serde_json::from_value::<T>(without_nulls).unwrap(),
        *value,
        "{name}"
    );
}

fn omit_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, v| !v.is_null());
            fields.values_mut().for_each(omit_nulls);
        }
        Value::Array(list) => list.iter_mut().for_each(omit_nulls),
        _ => {}
    }
}

/// Asserts the format of a protocol message, that the schema accepts it, and
/// that an unknown field is refused by the schema and by serde.
fn assert_message_pinned<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    schema: &Value,
    value: &T,
) {
    assert_pinned(name, value);
    let reader = MessageReader::new(schema).unwrap();
    let text = fixture(name);
    assert_eq!(reader.read::<T>(text.as_bytes()).as_ref(), Ok(value));
    let with_unknown_field = text.replacen('{', r#"{"later":1,"#, 1);
    assert!(
        reader.read::<T>(with_unknown_field.as_bytes()).is_err(),
        "{name}"
    );
    assert!(
        serde_json::from_str::<T>(&with_unknown_field).is_err(),
        "{name}"
    );
}

fn slot() -> Slot {
    Slot {
        cpus: 8.0,
        gpus: 1.5,
        memory_gb: 64.25,
    }
}

fn until(epoch: u64) -> MarketTime {
    MarketTime {
        epoch,
        clock_ms: epoch + 1000,
    }
}

fn request(body: RequestBody) -> Request {
    Request {
        v: VERSION,
        message: 11,
        home: "south".into(),
        term: 12,
        body,
    }
}

fn reply(body: ReplyBody) -> Reply {
    Reply {
        v: VERSION,
        message: 13,
        epoch: 14,
        clock_ms: 15,
        cleared: true,
        body,
    }
}

#[test]
fn requests_keep_their_wire_format() {
    let bid = |bid| Bid {
        bid,
        offer: format!("o-{bid}"),
        slots: 32,
        price: 33,
    };
    let award = |gang, done| Award {
        award: 41,
        bid: 42,
        start_by: until(43),
        cap: 44,
        job: Job {
            id: "j-000412".into(),
            gang,
            tasks: 45,
            done,
            slot: slot(),
            image: "img-07".into(),
            image_gb: 6.5,
            estimate_s: 240.5,
        },
    };
    let sync = Sync {
        until: Some(until(21)),
        awards: vec![22, 23],
        recall: vec![24],
        settled: vec![25, 26, 27],
        release: vec![28],
    };
    let partly_done = Ranges(vec![(0, 3), (7, 7)]);
    for (name, body) in [
        ("request.sync", RequestBody::Sync(sync)),
        ("request.sync_empty", RequestBody::Sync(Sync::default())),
        ("request.bids", RequestBody::Bids(vec![bid(30), bid(31)])),
        ("request.bids_empty", RequestBody::Bids(Vec::new())),
        (
            "request.award",
            RequestBody::Award(award(true, partly_done)),
        ),
        (
            "request.award_bare",
            RequestBody::Award(award(false, Ranges::default())),
        ),
    ] {
        assert_message_pinned(name, &schema::request(), &request(body));
    }
}

#[test]
fn replies_keep_their_wire_format() {
    let offer = |n: u32| Offer {
        offer: format!("o-{n}"),
        slot: slot(),
        slots: n + 1,
        price: u64::from(n) + 2,
        valid_until_ms: u64::from(n) + 3,
    };
    let states = || {
        [
            AwardState::Unknown,
            AwardState::Void,
            AwardState::Running { done: 61 },
            AwardState::Withdrawn {
                done: Ranges(vec![(0, 3), (7, 7)]),
                charge: 62,
            },
            AwardState::Done {
                result: "r-1".into(),
                charge: 63,
            },
        ]
    };
    let synced = SyncReply {
        offers: vec![offer(51), offer(56)],
        awards: states()
            .into_iter()
            .zip(70..)
            .map(|(state, award)| AwardReport { award, state })
            .collect(),
    };
    let accepted = BidAnswer::Accepted {
        price: 81,
        until_ms: 82,
    };
    for (name, body) in [
        ("reply.synced", ReplyBody::Synced(synced)),
        (
            "reply.synced_empty",
            ReplyBody::Synced(SyncReply::default()),
        ),
        (
            "reply.bids",
            ReplyBody::Bids(vec![accepted, BidAnswer::Refused]),
        ),
        ("reply.fenced", ReplyBody::Fenced { term: 83 }),
    ] {
        assert_message_pinned(name, &schema::reply(), &reply(body));
    }
    let names = ["unknown", "void", "running", "withdrawn", "done"];
    for (name, state) in names.iter().zip(states()) {
        let reply = reply(ReplyBody::Award(state));
        assert_message_pinned(&format!("reply.award_{name}"), &schema::reply(), &reply);
    }
}

#[test]
fn stored_records_keep_their_format() {
    let award = |end| AwardRecord {
        award: 91,
        market: "north".into(),
        team: "vision".into(),
        tasks: 92,
        cap: 93,
        start_by: until(94),
        end,
    };
    assert_pinned("record.award_open", &award(None));
    for (name, reason) in [
        ("done", EndReason::Done),
        ("withdrawn", EndReason::Withdrawn),
        ("void", EndReason::Void),
        ("expired", EndReason::Expired),
        ("not_sent", EndReason::NotSent),
    ] {
        let done = reason == EndReason::Done;
        let end = End {
            done: Ranges(vec![(0, 3), (7, 7)]),
            result: done.then(|| "r-1".into()),
            charge: 95,
            reason,
        };
        assert_pinned(&format!("record.award_{name}"), &award(Some(end)));
    }
    assert_pinned("record.horizon", &HorizonRecord { until_ms: 96 });
    assert_pinned("record.spent", &SpentRecord { day: 97, spent: 98 });
    assert_pinned("record.standing_new", &Reputation::default());
    let mut reputation = Reputation::default();
    for outcome in [Outcome::Kept, Outcome::Late, Outcome::Violation] {
        reputation.record(outcome);
    }
    assert_pinned("record.standing", &reputation);
}

#[test]
fn keys_limits_and_outcome_names_are_unchanged() {
    assert_eq!(award_key("j-000412"), "award/j-000412");
    assert_eq!(horizon_key("north"), "horizon/north");
    assert_eq!(reputation_key("north"), "standing/north");
    assert_eq!(spent_key("vision"), "spent/vision");
    assert_eq!(SEQUENCE_KEY, "line");
    assert_eq!(MARKET_PATH, "/market/v1");
    assert_eq!(records::day(86_400_000 * 7 - 1), 6);
    assert_eq!(
        (VERSION, MAX_BODY_BYTES, MAX_OFFERS, MAX_ITEMS_PER_MESSAGE),
        (1, 1_048_576, 1000, 1000)
    );
    for (name, outcome) in [
        ("kept", Outcome::Kept),
        ("late", Outcome::Late),
        ("withdrawn", Outcome::Withdrawn),
        ("refused", Outcome::Refused),
        ("lost", Outcome::Lost),
        ("lied", Outcome::Violation),
    ] {
        assert_pinned(&format!("outcome.{name}"), &outcome);
    }
}

#[test]
fn waiting_job_keeps_its_format() {
    let waiting = |kind, left_ms, here_ms| WaitingJob {
        job: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind,
        tasks: 101,
        done: Ranges(vec![(0, 3)]),
        slot: slot(),
        image: "img-07".into(),
        image_gb: 6.5,
        estimate_s: 240.5,
        waited_ms: 102,
        left_ms,
        here_ms,
        rent: 103,
        placed: 104,
        kept: true,
    };
    let gang = waiting(lending::Kind::Gang, Some(-105), Some(106));
    assert_pinned("waiting.gang", &gang);
    assert_pinned("waiting.array", &waiting(lending::Kind::Array, None, None));
    assert_pinned(
        "waiting.service",
        &waiting(lending::Kind::Service, None, None),
    );
}

#[test]
fn schemas_equal_the_published_ones() {
    for (name, generated, published) in [
        (
            "request",
            schema::request(),
            include_str!("../schemas/request.json"),
        ),
        (
            "reply",
            schema::reply(),
            include_str!("../schemas/reply.json"),
        ),
    ] {
        assert_eq!(
            generated,
            serde_json::from_str::<Value>(published).unwrap(),
            "{name}"
        );
        assert_eq!(generated.to_string(), fixture(&format!("schema.{name}")));
    }
}
