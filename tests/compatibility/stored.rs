//! What stands in the state service: keys, and records as they are written.

use super::{fixture, reads_as};
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

/// Written by the program that was in production before chains came.
const PRODUCTION: &str = include_str!("../fixtures/production.txt");
const STORED: &str = include_str!("../fixtures/compatibility/stored.txt");

/// Records go into the store as values, so that their fields are in order.
fn written<T: Serialize>(record: &T) -> String {
    serde_json::to_value(record).unwrap().to_string()
}

fn is_stored<T: Serialize + DeserializeOwned + Debug>(name: &str, record: &T) {
    assert_eq!(written(record), fixture(STORED, name), "{name}");
    reads_as(STORED, name, record);
}

/// Each field has a value of its own.
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

/// Its description takes two pieces.
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
        offloaded_to: Some(lent()),
    }
}

fn lent() -> OffloadTarget {
    OffloadTarget {
        award: 77,
        market: "north".into(),
    }
}

/// Its record as written, and read again.
fn job_is_stored(name: &str, record: &JobRecord, join: impl FnOnce(&SpecChunks) -> JobSpec) {
    assert_eq!(record.stored().to_string(), fixture(STORED, name), "{name}");
    let read: StoredJob = serde_json::from_str(fixture(STORED, name)).unwrap();
    let read = read.with_spec(|pieces| Ok(join(pieces))).unwrap();
    assert_eq!(&read, record, "{name}");
}

fn no_pieces(_: &SpecChunks) -> JobSpec {
    panic!("its description is in the record")
}

#[test]
fn a_jobs_record_is_as_it_was() {
    job_is_stored("job/full", &full_job(), no_pieces);
    let minimal = JobRecord::new(minimal_spec(), 5);
    job_is_stored("job/minimal", &minimal, no_pieces);
}

#[test]
fn a_jobs_marks_stand_alone_as_they_were() {
    let plain = || JobRecord::new(minimal_spec(), 6);
    let mut cancelled = plain();
    cancelled.cancelled = true;
    job_is_stored("job/cancelled", &cancelled, no_pieces);
    let mut suspected = plain();
    suspected.suspected = true;
    job_is_stored("job/suspected", &suspected, no_pieces);
    let mut begun = plain();
    begun.completed = "AQ".into();
    job_is_stored("job/begun", &begun, no_pieces);
    let mut away = plain();
    away.offloaded_to = Some(lent());
    job_is_stored("job/lent", &away, no_pieces);
}

#[test]
fn kinds_and_priorities_of_jobs_are_named_as_they_were() {
    let kinds = [Kind::Array, Kind::Gang, Kind::Service];
    is_stored("kinds", &kinds.to_vec());
    use Priority::*;
    is_stored("priorities", &vec![Low, Normal, High, Production]);
    use JobState::*;
    is_stored("states", &vec![Queued, Running, Done, Cancelled]);
}

#[test]
fn a_jobs_record_in_pieces_names_them_as_it_did() {
    let (pieces, values) = spec_chunks::cut(&long_spec()).unwrap();
    let record = JobRecord {
        spec: long_spec(),
        spec_chunks: Some(pieces.clone()),
        accepted_at_ms: 8,
        cancelled: false,
        suspected: false,
        completed: String::new(),
        offloaded_to: None,
    };
    job_is_stored("job/pieces", &record, |read| {
        assert_eq!(read, &pieces);
        let texts = values.iter().map(|(_, text)| text.as_str());
        spec_chunks::join(read, texts).unwrap()
    });
    is_stored("pieces", &pieces);
}

#[test]
fn a_long_description_is_cut_into_the_pieces_that_it_was() {
    let (pieces, values) = spec_chunks::cut(&long_spec()).unwrap();
    is_stored("pieces/values", &values);
    let kept: Vec<(String, String)> =
        serde_json::from_str(fixture(STORED, "pieces/values")).unwrap();
    let texts = kept.iter().map(|(_, text)| text.as_str());
    assert_eq!(spec_chunks::join(&pieces, texts).unwrap(), long_spec());
    for (key, _) in &kept {
        assert!(pieces.names("j-000412", key), "{key}");
        assert_eq!(SpecChunks::job_of(key), Some("j-000412"));
    }
    assert!(!pieces.names("j-000412", "p/j-000412/00/0000"));
}

#[test]
fn a_loan_is_as_it_was() {
    is_stored("lent", &lent());
}

#[test]
fn a_final_record_is_as_it_was() {
    let done = FinalRecord {
        state: JobState::Done,
        done: 300,
    };
    is_stored("final/done", &done);
    let cancelled = FinalRecord {
        state: JobState::Cancelled,
        done: 0,
    };
    is_stored("final/cancelled", &cancelled);
}

#[test]
fn the_leaders_record_is_as_it_was() {
    let leader = LeaderRecord {
        node: "winch-1".into(),
        incarnation: 4_711,
    };
    is_stored("leader", &leader);
}

#[test]
fn the_standbys_record_is_as_it_was() {
    let full = StandbyRecord {
        term: 9,
        named: vec![("winch-2".into(), 5), ("winch-3".into(), 6)],
        known_to_all: true,
    };
    is_stored("standbys/full", &full);
    is_stored("standbys/none", &StandbyRecord::default());
    // From before the last mark.
    let old = StandbyRecord {
        known_to_all: false,
        ..full
    };
    reads_as(STORED, "standbys/old", &old);
}

#[test]
fn a_standbys_record_that_cannot_be_read_names_somebody() {
    let read = StandbyRecord::read(serde_json::json!({ "t": "x" }));
    let anybody = StandbyRecord {
        term: 0,
        named: vec![(String::new(), 0)],
        known_to_all: false,
    };
    assert_eq!(read, anybody);
}

#[test]
fn a_versions_mark_is_as_it_was() {
    let mark = VersionRecord {
        format: 1,
        program: "0.1.0".into(),
    };
    is_stored("version/full", &mark);
    let unnamed = VersionRecord {
        format: 2,
        program: String::new(),
    };
    is_stored("version/unnamed", &unnamed);
    reads_as(STORED, "version/old", &unnamed);
}

#[test]
fn a_machines_record_is_as_it_was() {
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
    is_stored("machine/full", &full);
    let minimal = MachineRecord {
        spot: false,
        releasing: false,
        lease_expired: false,
        quarantined: false,
        images: Vec::new(),
        ..full
    };
    is_stored("machine/minimal", &minimal);
    let releasing = MachineRecord {
        releasing: true,
        ..minimal.clone()
    };
    is_stored("machine/releasing", &releasing);
    let lapsed = MachineRecord {
        lease_expired: true,
        ..minimal.clone()
    };
    is_stored("machine/lapsed", &lapsed);
    let quarantined = MachineRecord {
        quarantined: true,
        ..minimal
    };
    is_stored("machine/quarantined", &quarantined);
}

/// The transaction is sent as it was, with the record in it.
fn is_sent(name: &str, txn: &Txn) {
    let text = serde_json::to_string(txn).unwrap();
    assert_eq!(text, fixture(STORED, name), "{name}");
    reads_as(STORED, name, txn);
}

#[test]
fn bars_are_written_and_lifted_as_they_were() {
    is_sent("txn/bar", &exclusion_txn(12, "winch-2", 34));
    is_sent("txn/lift", &readmission_txn(12, "winch-2", 56));
}

#[test]
fn an_acceptance_leaves_the_notice_that_it_did() {
    let record = JobRecord::new(minimal_spec(), 5);
    is_sent("txn/notice", &acceptance_with_feed_entry(&record));
}

#[test]
fn writes_are_sent_as_they_were() {
    let put = Write::Put {
        key: "k".into(),
        value: serde_json::json!({ "a": 1 }),
        lease: None,
    };
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![put, Write::Delete { key: "l".into() }],
    };
    is_sent("txn/plain", &txn);
    is_sent("txn/empty", &Txn::default());
}

#[test]
fn keys_are_where_they_were() {
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
fn records_hold_as_much_as_they_did() {
    assert_eq!(records::SEGMENT_TASKS, 8192);
    assert_eq!(records::FORMAT, 1);
    assert_eq!(records::inline_record_size(&minimal_spec()), 611);
    assert!(records::fits(2048, 2.0) && !records::fits(2049, 2.0));
}

#[test]
fn finished_tasks_are_written_in_the_chunks_that_they_were() {
    let mut bits = TaskBitmap::with_len(20_000);
    for task in [0, 9, 8_191, 8_192, 8_203, 16_389, 19_999] {
        assert!(bits.set(task) && !bits.set(task), "{task}");
    }
    assert!(!bits.set(20_000), "past the end");
    assert_eq!(bits.chunks(), 3);
    let chunks: Vec<String> = (0..4).map(|n| bits.chunk(n)).collect();
    is_stored("chunks", &chunks);
    let kept: Vec<String> = serde_json::from_str(fixture(STORED, "chunks")).unwrap();
    let mut read = TaskBitmap::with_len(20_000);
    for (n, text) in kept.iter().enumerate() {
        read.load(n, text);
    }
    assert_eq!(read, bits);
    assert_eq!(read.count(), 7);
}

#[test]
fn a_chunk_of_which_nothing_is_finished_is_empty() {
    let bits = TaskBitmap::with_len(8_193);
    assert_eq!([bits.chunk(0), bits.chunk(1)], ["", ""]);
}

fn again<T: Serialize + DeserializeOwned>(text: &str) -> serde_json::Value {
    let record: T = serde_json::from_str(text).unwrap();
    serde_json::to_value(record).unwrap()
}

fn frame_again<T: Serialize + DeserializeOwned>(hex: &str) -> String {
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
fn what_production_wrote_is_read_and_written_back_as_it_was() {
    let mut seen = 0;
    for line in PRODUCTION.lines() {
        let (what, text) = line.split_once(' ').unwrap();
        let value = || serde_json::from_str::<serde_json::Value>(text).unwrap();
        match what {
            "job" => {
                let record = StoredJob::read(value()).unwrap();
                assert_eq!(record.stored(), value());
            }
            "final" => assert_eq!(again::<FinalRecord>(text), value()),
            "leader" => assert_eq!(again::<LeaderRecord>(text), value()),
            "standbys" => assert_eq!(again::<StandbyRecord>(text), value()),
            "machine" => assert_eq!(again::<MachineRecord>(text), value()),
            "request" => assert_eq!(frame_again::<Request>(text), text),
            // Operators' answers have grown; the rest is as it was.
            "reply" => {
                let same = frame_again::<Reply>(text);
                let grown = text.contains(&hex("Status")) || text.contains(&hex("Explained"));
                assert!(same == text || grown, "{text}");
            }
            _ => panic!("{what}"),
        }
        seen += 1;
    }
    assert_eq!(seen, 32);
}

fn hex(text: &str) -> String {
    text.bytes().map(|b| format!("{b:02x}")).collect()
}
