//! Keys and records in the state service, as they are stored.

use super::{assert_reads_as, fixture};
use pathwinch::{
    control::{
        exclusions::{exclusion_txn, readmission_txn},
        leader::acceptance_with_feed_entry,
    },
    protocol::{
        market,
        peers::{Frame, Reply, Request, VERSION},
        state::{Txn, Write},
        users::{JobSpec, JobState, Kind, Priority},
    },
    state::{
        offload::OffloadTarget,
        records::{
            self, FinalRecord, JobRecord, LeaderRecord, MachineRecord, StandbyRecord, StoredJob,
            TaskBitmap, VersionRecord,
        },
        spec_chunks::{self, SPEC_CHUNKS, SpecChunks},
    },
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// Records and frames that the program in production wrote before jobs could depend on
/// other jobs.
const PRODUCTION: &str = include_str!("../fixtures/production.txt");
const STORED: &str = include_str!("../fixtures/compatibility/stored.txt");

/// Returns the record as stored. It is stored as a JSON value, so that its fields are in
/// alphabetical order.
fn stored_json<T: Serialize>(record: &T) -> String {
    serde_json::to_value(record).unwrap().to_string()
}

fn assert_stored<T: Serialize + DeserializeOwned + Debug>(name: &str, record: &T) {
    assert_eq!(stored_json(record), fixture(STORED, name), "{name}");
    assert_reads_as(STORED, name, record);
}

/// A spec in which each field has a different value.
fn full_spec() -> JobSpec {
    JobSpec {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: Kind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.5,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.25,
        types: Some(vec!["g8".into(), "g4".into()]),
        zone: Some("north".into()),
        single_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 2.5,
        deadline_s: Some(900.0),
        dependencies: vec!["j-000007".into(), "j-000009".into()],
    }
}

fn minimal_spec() -> JobSpec {
    JobSpec {
        id: "j-000001".into(),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: 1,
        cpus: 0.5,
        gpus: 0.0,
        memory_gb: 2.0,
        image: "i".into(),
        image_gb: 3.0,
        types: None,
        zone: None,
        single_zone: false,
        spread: true,
        spot: false,
        estimate_s: 4.0,
        checkpoint_interval_s: 5.0,
        checkpoint_cost_s: 6.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// A spec that is stored in two chunks.
fn long_spec() -> JobSpec {
    let types = (0..16).map(|n| format!("{n:02}-{}", "x".repeat(60)));
    JobSpec {
        types: Some(types.collect()),
        ..full_spec()
    }
}

fn full_job() -> JobRecord {
    JobRecord {
        spec: full_spec(),
        spec_chunks: None,
        accepted_at_ms: 1_700_000_000_123,
        cancelled: true,
        suspected: true,
        completed: "BQ".into(),
        offloaded_to: Some(offload_target()),
    }
}

fn offload_target() -> OffloadTarget {
    OffloadTarget {
        award: 77,
        market: "north".into(),
    }
}

/// Asserts that the job's record is stored as the fixture, and read from it again.
fn assert_job_stored(name: &str, record: &JobRecord, join: impl FnOnce(&SpecChunks) -> JobSpec) {
    assert_eq!(record.stored().to_string(), fixture(STORED, name), "{name}");
    let read: StoredJob = serde_json::from_str(fixture(STORED, name)).unwrap();
    let read = read.with_spec(|chunks| Ok(join(chunks))).unwrap();
    assert_eq!(&read, record, "{name}");
}

fn expect_no_chunks(_: &SpecChunks) -> JobSpec {
    panic!("the spec is in the record itself, not in chunks")
}

#[test]
fn job_record_keeps_its_stored_form() {
    assert_job_stored("job/full", &full_job(), expect_no_chunks);
    let minimal = JobRecord::new(minimal_spec(), 5);
    assert_job_stored("job/minimal", &minimal, expect_no_chunks);
}

#[test]
fn job_record_flags_are_stored_independently() {
    let plain = || JobRecord::new(minimal_spec(), 6);
    let mut cancelled = plain();
    cancelled.cancelled = true;
    assert_job_stored("job/cancelled", &cancelled, expect_no_chunks);
    let mut suspected = plain();
    suspected.suspected = true;
    assert_job_stored("job/suspected", &suspected, expect_no_chunks);
    let mut partly_done = plain();
    partly_done.completed = "AQ".into();
    assert_job_stored("job/begun", &partly_done, expect_no_chunks);
    let mut offloaded = plain();
    offloaded.offloaded_to = Some(offload_target());
    assert_job_stored("job/lent", &offloaded, expect_no_chunks);
}

#[test]
fn job_kinds_priorities_and_states_keep_their_stored_names() {
    let kinds = [Kind::Array, Kind::Gang, Kind::Service];
    assert_stored("kinds", &kinds.to_vec());
    use Priority::*;
    assert_stored("priorities", &vec![Low, Normal, High, Production]);
    use JobState::*;
    assert_stored("states", &vec![Queued, Running, Done, Cancelled]);
}

#[test]
fn job_record_with_spec_chunks_keeps_its_stored_form() {
    let (chunks, values) = spec_chunks::split(&long_spec()).unwrap();
    let record = JobRecord {
        spec: long_spec(),
        spec_chunks: Some(chunks.clone()),
        accepted_at_ms: 8,
        cancelled: false,
        suspected: false,
        completed: String::new(),
        offloaded_to: None,
    };
    assert_job_stored("job/pieces", &record, |read| {
        assert_eq!(read, &chunks);
        let texts = values.iter().map(|(_, text)| text.as_str());
        spec_chunks::join(read, texts).unwrap()
    });
    assert_stored("pieces", &chunks);
}

#[test]
fn long_spec_is_cut_into_the_same_chunks() {
    let (chunks, values) = spec_chunks::split(&long_spec()).unwrap();
    assert_stored("pieces/values", &values);
    let stored_values: Vec<(String, String)> =
        serde_json::from_str(fixture(STORED, "pieces/values")).unwrap();
    let texts = stored_values.iter().map(|(_, text)| text.as_str());
    assert_eq!(spec_chunks::join(&chunks, texts).unwrap(), long_spec());
    for (key, _) in &stored_values {
        assert!(chunks.contains_key("j-000412", key), "{key}");
        assert_eq!(SpecChunks::job_of(key), Some("j-000412"));
    }
    assert!(!chunks.contains_key("j-000412", "p/j-000412/00/0000"));
}

#[test]
fn offload_target_keeps_its_stored_form() {
    assert_stored("lent", &offload_target());
}

#[test]
fn final_record_keeps_its_stored_form() {
    let done = FinalRecord {
        state: JobState::Done,
        done: 300,
    };
    assert_stored("final/done", &done);
    let cancelled = FinalRecord {
        state: JobState::Cancelled,
        done: 0,
    };
    assert_stored("final/cancelled", &cancelled);
}

#[test]
fn leader_record_keeps_its_stored_form() {
    let leader = LeaderRecord {
        node: "winch-1".into(),
        incarnation: 4_711,
    };
    assert_stored("leader", &leader);
}

#[test]
fn standby_record_keeps_its_stored_form() {
    let full = StandbyRecord {
        term: 9,
        standbys: vec![("winch-2".into(), 5), ("winch-3".into(), 6)],
        known_to_all: true,
    };
    assert_stored("standbys/full", &full);
    assert_stored("standbys/none", &StandbyRecord::default());
    // A record of a version without the field `known_to_all`.
    let old = StandbyRecord {
        known_to_all: false,
        ..full
    };
    assert_reads_as(STORED, "standbys/old", &old);
}

#[test]
fn unreadable_standby_record_names_unknown_standby() {
    let read = StandbyRecord::read(serde_json::json!({ "t": "x" }));
    let unknown_standby = StandbyRecord {
        term: 0,
        standbys: vec![(String::new(), 0)],
        known_to_all: false,
    };
    assert_eq!(read, unknown_standby);
}

#[test]
fn version_record_keeps_its_stored_form() {
    let version = VersionRecord {
        format: 1,
        program: "0.1.0".into(),
    };
    assert_stored("version/full", &version);
    let unnamed_program = VersionRecord {
        format: 2,
        program: String::new(),
    };
    assert_stored("version/unnamed", &unnamed_program);
    assert_reads_as(STORED, "version/old", &unnamed_program);
}

#[test]
fn machine_record_keeps_its_stored_form() {
    let full = MachineRecord {
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "north".into(),
        spot: true,
        releasing: true,
        lease_expired: true,
        quarantined: true,
        images: vec!["img-07".into(), "img-08".into()],
    };
    assert_stored("machine/full", &full);
    let minimal = MachineRecord {
        spot: false,
        releasing: false,
        lease_expired: false,
        quarantined: false,
        images: Vec::new(),
        ..full
    };
    assert_stored("machine/minimal", &minimal);
    let releasing = MachineRecord {
        releasing: true,
        ..minimal.clone()
    };
    assert_stored("machine/releasing", &releasing);
    let expired = MachineRecord {
        lease_expired: true,
        ..minimal.clone()
    };
    assert_stored("machine/lapsed", &expired);
    let quarantined = MachineRecord {
        quarantined: true,
        ..minimal
    };
    assert_stored("machine/quarantined", &quarantined);
}

/// Asserts that the transaction, with the records in it, is sent as the fixture.
fn assert_txn(name: &str, txn: &Txn) {
    let text = serde_json::to_string(txn).unwrap();
    assert_eq!(text, fixture(STORED, name), "{name}");
    assert_reads_as(STORED, name, txn);
}

#[test]
fn exclusion_transactions_keep_their_form() {
    assert_txn("txn/bar", &exclusion_txn(12, "winch-2", 34));
    assert_txn("txn/lift", &readmission_txn(12, "winch-2", 56));
}

#[test]
fn acceptance_transaction_keeps_its_feed_entry() {
    let record = JobRecord::new(minimal_spec(), 5);
    assert_txn("txn/notice", &acceptance_with_feed_entry(&record));
}

#[test]
fn plain_and_empty_transactions_keep_their_form() {
    let put = Write::Put {
        key: "k".into(),
        value: serde_json::json!({ "a": 1 }),
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![put, Write::Delete { key: "l".into() }],
    };
    assert_txn("txn/plain", &txn);
    assert_txn("txn/empty", &Txn::default());
}

#[test]
fn keys_keep_their_names() {
    let keys = [
        (records::LEADER.to_owned(), "leader"),
        (records::STANDBYS.to_owned(), "standbys"),
        (records::JOBS.to_owned(), "j/"),
        (records::SEGMENTS.to_owned(), "c/"),
        (records::FINALS.to_owned(), "f/"),
        (records::MACHINES.to_owned(), "m/"),
        (records::ACCEPTANCES.to_owned(), "n/"),
        (records::EXCLUSIONS.to_owned(), "x/"),
        (records::VERSIONS.to_owned(), "v/"),
        (SPEC_CHUNKS.to_owned(), "p/"),
        (market::PREFIX.to_owned(), "market/"),
        (market::AWARDS.to_owned(), "market/award/"),
        (records::job_key("j-000412"), "j/j-000412"),
        (records::final_key("j-000412"), "f/j-000412"),
        (records::segment_key("j-000412", 11), "c/j-000412/11"),
        (records::machine_key("i-0002"), "m/i-0002"),
        (records::acceptance_key("j-000412"), "n/j-000412"),
        (records::exclusion_key("winch-1"), "x/winch-1"),
        (records::version_key("winch-1"), "v/winch-1"),
        (records::award_key("j-000412"), "market/award/j-000412"),
    ];
    for (key, expected) in keys {
        assert_eq!(key, expected);
    }
}

#[test]
fn record_size_limits_keep_their_values() {
    assert_eq!(records::SEGMENT_TASKS, 8192);
    assert_eq!(records::FORMAT, 1);
    assert_eq!(records::inline_record_size(&minimal_spec()), 611);
    assert!(records::fits(2048, 2.0) && !records::fits(2049, 2.0));
}

#[test]
fn completion_bitmap_is_stored_in_the_same_chunks() {
    let mut bitmap = TaskBitmap::with_len(20_000);
    for task in [0, 9, 8_191, 8_192, 8_203, 16_389, 19_999] {
        assert!(bitmap.set(task) && !bitmap.set(task), "{task}");
    }
    assert!(!bitmap.set(20_000), "past the end");
    assert_eq!(bitmap.segment_count(), 3);
    let chunks: Vec<String> = (0..4).map(|n| bitmap.segment_text(n)).collect();
    assert_stored("chunks", &chunks);
    let stored_values: Vec<String> = serde_json::from_str(fixture(STORED, "chunks")).unwrap();
    let mut read = TaskBitmap::with_len(20_000);
    for (n, text) in stored_values.iter().enumerate() {
        read.load(n, text);
    }
    assert_eq!(read, bitmap);
    assert_eq!(read.count(), 7);
}

#[test]
fn bitmap_chunk_without_completed_tasks_is_empty() {
    let bitmap = TaskBitmap::with_len(8_193);
    assert_eq!([bitmap.segment_text(0), bitmap.segment_text(1)], ["", ""]);
}

fn rewritten_json<T: Serialize + DeserializeOwned>(text: &str) -> serde_json::Value {
    let record: T = serde_json::from_str(text).unwrap();
    serde_json::to_value(record).unwrap()
}

fn rewritten_frame<T: Serialize + DeserializeOwned>(hex: &str) -> String {
    let bytes: Vec<u8> = (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).unwrap())
        .collect();
    let frame: Frame<T> = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(frame.v, VERSION);
    let mut out = Vec::new();
    ciborium::into_writer(&frame, &mut out).unwrap();
    out.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn production_records_are_written_back_unchanged() {
    let mut line_count = 0;
    for line in PRODUCTION.lines() {
        let (kind, text) = line.split_once(' ').unwrap();
        let value = || serde_json::from_str::<serde_json::Value>(text).unwrap();
        match kind {
            "job" => {
                let record = StoredJob::read(value()).unwrap();
                assert_eq!(record.stored(), value());
            }
            "final" => assert_eq!(rewritten_json::<FinalRecord>(text), value()),
            "leader" => assert_eq!(rewritten_json::<LeaderRecord>(text), value()),
            "standbys" => assert_eq!(rewritten_json::<StandbyRecord>(text), value()),
            "machine" => assert_eq!(rewritten_json::<MachineRecord>(text), value()),
            "request" => assert_eq!(rewritten_frame::<Request>(text), text),
            // Status and explanation replies have new fields; other replies are unchanged.
            "reply" => {
                let rewritten = rewritten_frame::<Reply>(text);
                let has_new_fields =
                    text.contains(&hex("Status")) || text.contains(&hex("Explained"));
                assert!(rewritten == text || has_new_fields, "{text}");
            }
            _ => panic!("unknown kind of fixture: {kind}"),
        }
        line_count += 1;
    }
    assert_eq!(line_count, 32);
}

fn hex(text: &str) -> String {
    text.bytes().map(|b| format!("{b:02x}")).collect()
}
