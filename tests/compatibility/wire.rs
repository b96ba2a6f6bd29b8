//! Messages between processes. Each fixture must be read as the value that is built
//! here, and that value must be written as the fixture. JSON is also read with unknown
//! fields added and with null fields omitted, frames with unknown fields added.

use pathwinch::protocol::{
    cloud::{
        ListedMachine, ListedState, MAX_MACHINES_PER_REQUEST, MachineList, MachineNames,
        MachineRequest, MachineType, MachineTypes,
    },
    market::{AWARDS, MAX_OFFLOAD_CANDIDATES, OffloadCandidate, OffloadMark, PREFIX},
    peers::{
        Frame, MAX_FRAME, MachineTasks, ReplicatedPhase, ReplicatedTask, ReplicationPart, Reply,
        Request, VERSION,
    },
    state::{Condition, Event, Item, LeaseGranted, Page, Revision, Txn, Watched, Write},
    status::{
        ClusterStatus, Due, Explanation, JobExplanation, JobGroup, MAX_LIST_ROWS, MachineGroup,
        MachineProblem, PendingReason, StandbyStatus, Status, TaskFailure, TeamUsage,
    },
    users::{JobSpec, JobState, JobStatus, Kind, MAX_TASKS, Priority},
    workers::{
        Command, DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
        parse_task_name,
    },
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
};

const JSON: &str = include_str!("../fixtures/compatibility/wire.txt");
const FRAMES: &str = include_str!("../fixtures/compatibility/frames.txt");
const SUBMISSIONS: &str = include_str!("../fixtures/compatibility/submissions.txt");

/// Fixtures of one kind of message, as lines `NAME TEXT`; every one has to be used.
struct Fixtures {
    lines: BTreeMap<&'static str, &'static str>,
    used: BTreeSet<&'static str>,
}

impl Fixtures {
    /// Returns the fixtures of `file` whose names begin with `prefix`.
    fn with_prefix(file: &'static str, prefix: &str) -> Self {
        let mut lines = BTreeMap::new();
        for line in file.lines() {
            let (name, text) = line.split_once(' ').unwrap();
            if name.starts_with(prefix) {
                assert!(
                    lines.insert(name, text).is_none(),
                    "duplicate fixture {name}"
                );
            }
        }
        let used = BTreeSet::new();
        Fixtures { lines, used }
    }

    fn text(&mut self, name: &str) -> &'static str {
        let found = self.lines.get_key_value(name);
        let (name, text) = found.unwrap_or_else(|| panic!("no fixture {name}"));
        self.used.insert(name);
        text
    }

    /// Asserts that the JSON fixture is read as `value`, and `value` written as the fixture.
    fn assert_json<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, value: &T) {
        let text = self.text(name);
        assert_eq!(serde_json::to_string(value).unwrap(), text, "{name}");
        assert_reads_as(text, name, value);
    }

    /// Asserts that the JSON fixture is read as `value`, which is written in another form.
    fn assert_json_read<T: DeserializeOwned + Debug>(&mut self, name: &str, value: &T) {
        assert_reads_as(self.text(name), name, value);
    }

    /// Asserts that the frame, a fixture in hexadecimal, is read as `body`, also with
    /// unknown fields added, and that `body` is written as the fixture.
    fn assert_frame<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, body: T) {
        let text = self.text(name);
        let frame = Frame { v: VERSION, body };
        assert_eq!(encode_hex(&encode_cbor(&frame)), text, "{name}");
        let bytes = decode_hex(text);
        let read: Frame<T> = ciborium::from_reader(bytes.as_slice()).unwrap();
        assert_same_debug(&read, &frame, name);
        let mut extended: ciborium::Value = ciborium::from_reader(bytes.as_slice()).unwrap();
        add_unknown_cbor_fields(&mut extended);
        let read: Frame<T> = ciborium::from_reader(encode_cbor(&extended).as_slice()).unwrap();
        assert_same_debug(&read, &frame, name);
    }

    /// Asserts that the frame is read as `body` when it lacks `fields`, as an earlier
    /// version writes it.
    fn assert_frame_without<T: DeserializeOwned + Debug>(
        &mut self,
        name: &str,
        fields: &[&str],
        body: T,
    ) {
        let bytes = decode_hex(self.text(name));
        let mut old: ciborium::Value = ciborium::from_reader(bytes.as_slice()).unwrap();
        let removed = remove_cbor_fields(&mut old, fields);
        assert_eq!(removed, fields.len(), "{name}: {fields:?}");
        let read: Frame<T> = ciborium::from_reader(encode_cbor(&old).as_slice()).unwrap();
        assert_same_debug(&read, &Frame { v: VERSION, body }, name);
    }

    /// Asserts that every fixture was used, and that there was one at all.
    fn assert_all_used(self) {
        let unused: Vec<_> = self
            .lines
            .keys()
            .filter(|name| !self.used.contains(*name))
            .collect();
        assert!(unused.is_empty(), "fixtures not used: {unused:?}");
        assert!(!self.used.is_empty());
    }
}

/// Asserts that the `Debug` forms are equal. They show every field; not every message
/// type implements `PartialEq`.
fn assert_same_debug<T: Debug>(read: &T, value: &T, name: &str) {
    assert_eq!(format!("{read:?}"), format!("{value:?}"), "{name}");
}

/// Asserts that the JSON text is read as `value`, also with unknown fields added and with
/// null fields omitted.
fn assert_reads_as<T: DeserializeOwned + Debug>(text: &str, name: &str, value: &T) {
    assert_same_debug(&serde_json::from_str::<T>(text).unwrap(), value, name);
    let plain: Value = serde_json::from_str(text).unwrap();
    let mut extended = plain.clone();
    add_unknown_fields(&mut extended);
    assert_ne!(extended, plain);
    assert_same_debug(&serde_json::from_value::<T>(extended).unwrap(), value, name);
    let mut reduced = plain;
    omit_null_fields(&mut reduced);
    assert_same_debug(&serde_json::from_value::<T>(reduced).unwrap(), value, name);
}

/// Field of values that are opaque to this program and passed on unchanged: no field is
/// added to them or omitted from them.
const OPAQUE: &str = "data";

fn add_unknown_fields(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            let inner = fields.iter_mut().filter(|(name, _)| *name != OPAQUE);
            inner.for_each(|(_, v)| add_unknown_fields(v));
            fields.insert("a_later_field".into(), json!({ "deep": [1, null] }));
        }
        Value::Array(list) => list.iter_mut().for_each(add_unknown_fields),
        _ => {}
    }
}

fn omit_null_fields(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|name, v| name == OPAQUE || !v.is_null());
            let inner = fields.iter_mut().filter(|(name, _)| *name != OPAQUE);
            inner.for_each(|(_, v)| omit_null_fields(v));
        }
        Value::Array(list) => list.iter_mut().for_each(omit_null_fields),
        _ => {}
    }
}

/// Adds an unknown field to every struct. An enum variant is a map too, but its only key
/// begins with a capital letter.
fn add_unknown_cbor_fields(value: &mut ciborium::Value) {
    match value {
        ciborium::Value::Map(fields) => {
            fields
                .iter_mut()
                .for_each(|(_, v)| add_unknown_cbor_fields(v));
            let variant = fields
                .iter()
                .filter_map(|(name, _)| name.as_text())
                .any(|name| name.starts_with(char::is_uppercase));
            if !variant {
                let unknown = ciborium::Value::Array(vec![true.into(), "x".into()]);
                fields.insert(0, ("a_later_field".into(), unknown));
            }
        }
        ciborium::Value::Array(list) => list.iter_mut().for_each(add_unknown_cbor_fields),
        _ => {}
    }
}

/// Removes the fields with these names at any depth; returns how many were removed.
fn remove_cbor_fields(value: &mut ciborium::Value, names: &[&str]) -> usize {
    match value {
        ciborium::Value::Map(fields) => {
            let before = fields.len();
            fields.retain(|(name, _)| !name.as_text().is_some_and(|n| names.contains(&n)));
            let here = before - fields.len();
            let inner = fields.iter_mut().map(|(_, v)| remove_cbor_fields(v, names));
            here + inner.sum::<usize>()
        }
        ciborium::Value::Array(list) => list.iter_mut().map(|v| remove_cbor_fields(v, names)).sum(),
        _ => 0,
    }
}

fn encode_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).unwrap();
    out
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2));
    let digits = |i: usize| &text[2 * i..2 * i + 2];
    (0..text.len() / 2)
        .map(|i| u8::from_str_radix(digits(i), 16).unwrap())
        .collect()
}

fn strings(list: &[&str]) -> Vec<String> {
    list.iter().map(|s| s.to_string()).collect()
}

#[test]
fn wire_constants_keep_their_values() {
    assert_eq!(VERSION, 1);
    assert_eq!(MAX_FRAME, 98_304);
    assert_eq!(PREFIX, "market/");
    assert_eq!(AWARDS, "market/award/");
    assert_eq!(MAX_OFFLOAD_CANDIDATES, 100);
    assert_eq!(MAX_TASKS, 100_000);
    assert_eq!(MAX_MACHINES_PER_REQUEST, 50);
    assert_eq!(MAX_LIST_ROWS, 100);
    assert_eq!(parse_task_name("j-000412/4"), Some(("j-000412", 4)));
    assert_eq!(parse_task_name("j-000412"), None);
    assert_eq!(parse_task_name("j-000412/x"), None);
}

fn task_status(name: &str, attempt: u64, state: TaskState) -> TaskStatus {
    TaskStatus {
        task: name.into(),
        attempt,
        state,
        exit_reason: None,
        checkpointed: false,
    }
}

fn exited_task(n: u64, reason: ExitReason, saved: bool) -> TaskStatus {
    TaskStatus {
        task: format!("j-000398/{n}"),
        attempt: 100 + n,
        state: TaskState::Exited,
        exit_reason: Some(reason),
        checkpointed: saved,
    }
}

fn heartbeat(tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "i-000231".into(),
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 3,
        seq: 88,
        acknowledged_token: 41,
        reclaim_in_s: Some(17.5),
        tasks,
    }
}

#[test]
fn heartbeat_keeps_its_form_with_every_state_and_exit_reason() {
    let mut fixtures = Fixtures::with_prefix(JSON, "report.");
    fixtures.assert_json(
        "report.full",
        &heartbeat(vec![
            task_status("j-000412/3", 2, TaskState::Fetching),
            task_status("j-000412/4", 5, TaskState::WaitingForGang),
            task_status("j-000413/0", u64::MAX, TaskState::Running),
            task_status("j-000414/99999", 7, TaskState::Saving),
            exited_task(0, ExitReason::Done, false),
            exited_task(1, ExitReason::Stopped, true),
            exited_task(2, ExitReason::GangMemberLost, false),
            exited_task(3, ExitReason::GangIncomplete, false),
            exited_task(4, ExitReason::Error, false),
            exited_task(5, ExitReason::InsufficientResources, false),
            exited_task(6, ExitReason::DuplicateTask, false),
            exited_task(7, ExitReason::UnknownTask, false),
        ]),
    );
    let minimal = Heartbeat {
        machine: "i-9".into(),
        addr: "[::1]:1".into(),
        type_name: "s".into(),
        zone: "b".into(),
        spot: false,
        incarnation: 1,
        seq: 2,
        acknowledged_token: 0,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    fixtures.assert_json("report.minimal", &minimal);
    fixtures.assert_json_read("report.omitted", &minimal);
    let later = heartbeat(vec![exited_task(8, ExitReason::Other, false)]);
    fixtures.assert_json_read("report.later_exit", &later);
    fixtures.assert_all_used();
}

fn commands() -> Vec<Command> {
    vec![
        Command::Start {
            task: "j-000412/4".into(),
            attempt: 2,
        },
        Command::Stop {
            task: "j-000377/1".into(),
            attempt: 3,
            grace_s: 10.0,
        },
        Command::Reap {
            task: "j-000398/0".into(),
            attempt: 4,
        },
    ]
}

#[test]
fn worker_commands_keep_their_form() {
    let mut fixtures = Fixtures::with_prefix(JSON, "orders.");
    fixtures.assert_json(
        "orders.reply",
        &HeartbeatResponse {
            fencing_token: 41,
            commands: commands(),
        },
    );
    fixtures.assert_json(
        "orders.reply_empty",
        &HeartbeatResponse {
            fencing_token: 0,
            commands: Vec::new(),
        },
    );
    fixtures.assert_json(
        "orders.direct",
        &DirectCommands {
            fencing_token: u64::MAX,
            incarnation: 6,
            commands: commands(),
        },
    );
    fixtures.assert_json(
        "orders.direct_empty",
        &DirectCommands {
            fencing_token: 1,
            incarnation: 2,
            commands: Vec::new(),
        },
    );
    fixtures.assert_all_used();
}

fn full_spec() -> JobSpec {
    JobSpec {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: Kind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(strings(&["g8", "g4"])),
        zone: Some("a".into()),
        single_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: strings(&["j-000409", "j-000408"]),
    }
}

fn minimal_spec() -> JobSpec {
    JobSpec {
        id: "j-000000000000000001".into(),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: 1,
        cpus: 0.5,
        gpus: 0.0,
        memory_gb: 0.25,
        image: "i".into(),
        image_gb: 0.125,
        types: None,
        zone: None,
        single_zone: false,
        spread: true,
        spot: false,
        estimate_s: 1.5,
        checkpoint_interval_s: 2.5,
        checkpoint_cost_s: 3.5,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

#[test]
fn job_spec_keeps_its_form() {
    let mut fixtures = Fixtures::with_prefix(JSON, "job.");
    fixtures.assert_json("job.full", &full_spec());
    fixtures.assert_json("job.minimal", &minimal_spec());
    fixtures.assert_json_read("job.nulls", &minimal_spec());
    let service = JobSpec {
        kind: Kind::Service,
        priority: Priority::Production,
        ..minimal_spec()
    };
    fixtures.assert_json("job.service", &service);
    let normal = JobSpec {
        priority: Priority::Normal,
        ..minimal_spec()
    };
    fixtures.assert_json("job.normal", &normal);
    for (name, spec) in [
        ("job.full", full_spec()),
        ("job.minimal", minimal_spec()),
        ("job.nulls", minimal_spec()),
        ("job.service", service),
        ("job.normal", normal),
    ] {
        assert_eq!(JobSpec::parse(fixtures.text(name).as_bytes()), Ok(spec));
    }
    fixtures.assert_all_used();
}

#[test]
fn job_status_keeps_its_form_in_every_state() {
    let mut fixtures = Fixtures::with_prefix(JSON, "job_status.");
    for (name, state) in [
        ("job_status.pending", JobState::Queued),
        ("job_status.running", JobState::Running),
        ("job_status.done", JobState::Done),
        ("job_status.withdrawn", JobState::Cancelled),
    ] {
        let status = JobStatus {
            id: "j-000412".into(),
            state,
            done: 3,
            running: 13,
        };
        fixtures.assert_json(name, &status);
    }
    fixtures.assert_all_used();
}

/// The fields of a valid submission, with JSON texts of their values.
const SUBMISSION_FIELDS: [(&str, &str); 21] = [
    ("ref", r#""j-000412""#),
    ("job_family", r#""train""#),
    ("owner_crew", r#""vision""#),
    ("run_shape", r#""gang""#),
    ("urgency", r#""urgent""#),
    ("pieces", "16"),
    ("cores", "8.0"),
    ("accelerators", "1.0"),
    ("memory_gb", "64.0"),
    ("bundle", r#""img-07""#),
    ("image_gb", "6.2"),
    ("rigs", r#"["g8"]"#),
    ("hall", r#""a""#),
    ("same_place", "true"),
    ("apart", "false"),
    ("lendback", "true"),
    ("expected_s", "240.0"),
    ("snapshot_every_s", "30.0"),
    ("snapshot_cost_s", "4.0"),
    ("due_s", "900.0"),
    ("waits_on", r#"["j-000409"]"#),
];

fn submission(fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(f, v)| format!(r#""{f}":{v}"#))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Names and JSON texts of values that are put into each field of a submission in turn.
fn field_variants() -> Vec<(&'static str, String)> {
    let list = |n: usize, item: &str| format!("[{}]", vec![item; n].join(","));
    let bytes = |n: usize| format!("\"{}\"", "x".repeat(n));
    vec![
        ("null", "null".into()),
        ("bool", "true".into()),
        ("zero", "0".into()),
        ("negative", "-1".into()),
        ("fraction", "1.5".into()),
        ("100000", "100000".into()),
        ("100001", "100001".into()),
        ("1e9", "1e9".into()),
        ("above_1e9", "1000000000.5".into()),
        ("2^32", "4294967296".into()),
        ("1e400", "1e400".into()),
        ("empty_text", bytes(0)),
        ("text", r#""nonsense""#.into()),
        ("200_bytes", bytes(200)),
        ("201_bytes", bytes(201)),
        ("short_ref", r#""j-00041""#.into()),
        ("long_ref", r#""j-0000000000000000412""#.into()),
        ("object", "{}".into()),
        ("empty_list", "[]".into()),
        ("list_of_numbers", "[1]".into()),
        ("list_of_nulls", "[null]".into()),
        ("64_names", list(64, r#""x""#)),
        ("65_names", list(65, r#""x""#)),
        ("long_name", format!("[{}]", bytes(201))),
        ("refs", r#"["j-000408","j-000409","j-000408"]"#.into()),
        ("syntax", "nonsense".into()),
    ]
}

/// Names and bodies of submissions: with a field missing, twice or of another value, and
/// with other faults in the body.
fn submission_cases() -> Vec<(String, Vec<u8>)> {
    let mut all = Vec::new();
    let variants = field_variants();
    for (index, (field, value)) in SUBMISSION_FIELDS.iter().enumerate() {
        let mut fields = SUBMISSION_FIELDS.to_vec();
        fields.remove(index);
        all.push((format!("{field}.missing"), submission(&fields)));
        fields.insert(index, (field, value));
        fields.push((field, value));
        all.push((format!("{field}.twice"), submission(&fields)));
        fields.pop();
        for (name, variant) in &variants {
            fields[index].1 = variant;
            all.push((format!("{field}.{name}"), submission(&fields)));
        }
    }
    let valid = submission(&SUBMISSION_FIELDS);
    for (name, body) in [
        ("good", valid.clone()),
        ("spaces_around", format!(" \n{valid}\r\n ")),
        ("trailing_text", format!("{valid}x")),
        ("trailing_object", format!("{valid} {{}}")),
        ("cut", valid[..valid.len() - 1].to_owned()),
        ("cut_in_field", valid[..40].to_owned()),
        ("empty", String::new()),
        ("empty_object", "{}".into()),
        ("list", "[]".into()),
        ("null", "null".into()),
        ("text", "nonsense".into()),
        ("unknown_field", valid.replacen('{', r#"{"later":[{}],"#, 1)),
        ("two_lines", valid.replacen("16", "\n\"16\"", 1)),
    ] {
        all.push((format!("body.{name}"), body));
    }
    let mut all: Vec<_> = all.into_iter().map(|(n, b)| (n, b.into_bytes())).collect();
    let mut not_utf8 = valid.into_bytes();
    not_utf8[10] = 0xff;
    all.push(("body.not_utf8".into(), not_utf8));
    all
}

#[test]
fn invalid_submission_is_refused_with_the_same_text() {
    let mut fixtures = Fixtures::with_prefix(SUBMISSIONS, "");
    for (name, body) in submission_cases() {
        let outcome = match JobSpec::parse(&body) {
            Ok(_) => "(taken)".to_owned(),
            Err(why) => why,
        };
        assert_eq!(outcome, fixtures.text(&name), "{name}");
    }
    fixtures.assert_all_used();
}

#[test]
fn cloud_messages_keep_their_form() {
    let mut fixtures = Fixtures::with_prefix(JSON, "cloud.");
    let g8 = MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: strings(&["a", "b"]),
    };
    let bare = MachineType {
        name: "s".into(),
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 3.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.5,
        spot_price: 0.25,
        boot_s: 0.0,
        zones: Vec::new(),
    };
    let types = vec![g8, bare.clone()];
    fixtures.assert_json("cloud.types", &MachineTypes { types });
    let types = vec![bare];
    fixtures.assert_json_read("cloud.types_omitted", &MachineTypes { types });
    fixtures.assert_json(
        "cloud.rent",
        &MachineRequest {
            request_id: "r-17".into(),
            type_name: "g8".into(),
            zone: "a".into(),
            spot: true,
            count: 12,
        },
    );
    let machines = strings(&["i-000231", "i-000232"]);
    fixtures.assert_json("cloud.names", &MachineNames { machines });
    let machines = Vec::new();
    fixtures.assert_json("cloud.names_empty", &MachineNames { machines });
    let listed = |n: u64, state| ListedMachine {
        id: format!("i-00023{n}"),
        addr: format!("10.1.0.{n}:9000"),
        type_name: format!("g{n}"),
        zone: format!("z{n}"),
        spot: n.is_multiple_of(2),
        state,
        age_s: 61.5 + n as f64,
    };
    fixtures.assert_json(
        "cloud.list",
        &MachineList {
            machines: vec![
                listed(1, ListedState::Booting),
                listed(2, ListedState::Running),
                listed(3, ListedState::Failed),
            ],
            more: true,
        },
    );
    let bare = ListedMachine {
        addr: String::new(),
        age_s: 0.0,
        ..listed(4, ListedState::Booting)
    };
    fixtures.assert_json_read(
        "cloud.list_omitted",
        &MachineList {
            machines: vec![bare],
            more: false,
        },
    );
    fixtures.assert_all_used();
}

#[test]
fn state_service_messages_keep_their_form() {
    let mut fixtures = Fixtures::with_prefix(JSON, "state.");
    let item = |key: &str, value, version| Item {
        key: key.into(),
        value,
        version,
    };
    let value = json!({ "inner": [1, null, "x"] });
    fixtures.assert_json("state.item", &item("a/b", value.clone(), 412));
    fixtures.assert_json(
        "state.page",
        &Page {
            items: vec![item("c/7", value.clone(), 5), item("c/8", Value::Null, 6)],
            more: true,
            revision: 431,
        },
    );
    fixtures.assert_json_read(
        "state.page_omitted",
        &Page {
            items: Vec::new(),
            more: false,
            revision: 0,
        },
    );
    let guard = |key: &str, version| Condition {
        key: key.into(),
        version,
    };
    let put = |key: &str, lease| Write::Put {
        key: key.into(),
        value: value.clone(),
        lease,
    };
    fixtures.assert_json(
        "state.txn",
        &Txn {
            conditions: vec![guard("a/b", 0), guard("a/c", 17)],
            writes: vec![
                put("a/b", Some(7)),
                put("a/c", None),
                Write::Delete { key: "c/d".into() },
            ],
        },
    );
    fixtures.assert_json("state.txn_empty", &Txn::default());
    fixtures.assert_json_read("state.txn_omitted", &Txn::default());
    fixtures.assert_json(
        "state.failed",
        &Revision {
            revision: 431,
            failed: strings(&["a/b", "c/d"]),
        },
    );
    fixtures.assert_json_read(
        "state.done",
        &Revision {
            revision: 432,
            failed: Vec::new(),
        },
    );
    fixtures.assert_json("state.lease", &LeaseGranted { lease: 7 });
    let set = |key: Option<&str>| Event {
        put: key.map(str::to_owned),
    };
    let events = vec![set(Some("c/9")), set(None)];
    let watched = Watched {
        revision: 433,
        events,
    };
    fixtures.assert_json("state.watched", &watched);
    fixtures.assert_json_read("state.watched_in_full", &watched);
    fixtures.assert_json_read(
        "state.watched_omitted",
        &Watched {
            revision: 434,
            events: Vec::new(),
        },
    );
    fixtures.assert_all_used();
}

fn replication_part(machines: Vec<MachineTasks>) -> ReplicationPart {
    ReplicationPart {
        term: 71,
        stream: 72,
        part: 73,
        complete: true,
        counted: false,
        machines,
    }
}

fn machine_tasks() -> Vec<MachineTasks> {
    let runs = vec![
        ReplicatedTask(3, 4, 5, ReplicatedPhase::Sent),
        ReplicatedTask(6, 7, 8, ReplicatedPhase::Running),
        ReplicatedTask(99_999, u64::MAX, 9, ReplicatedPhase::Done),
    ];
    vec![
        MachineTasks {
            machine: "i-000231".into(),
            jobs: vec![("j-000412".into(), runs), ("j-000413".into(), Vec::new())],
        },
        MachineTasks {
            machine: "i-000232".into(),
            jobs: Vec::new(),
        },
    ]
}

#[test]
fn controller_requests_keep_their_form() {
    let mut fixtures = Fixtures::with_prefix(FRAMES, "request.");
    let forward = |body: &[u8]| Request::Forward {
        method: "POST".into(),
        path: "/v1/jobs".into(),
        body: body.to_vec(),
    };
    let lent = vec![("j-000412".into(), 61), ("j-000413".into(), u64::MAX)];
    for (name, request) in [
        ("request.forward", forward(b"{}\xff\x00")),
        ("request.forward_empty", forward(b"")),
        (
            "request.polls",
            Request::Polls {
                ids: strings(&["j-000412", "j-000413"]),
            },
        ),
        ("request.polls_empty", Request::Polls { ids: Vec::new() }),
        (
            "request.promise",
            Request::Promise {
                term: 11,
                leader: "winchpost-2".into(),
                for_ms: 12_000,
            },
        ),
        (
            "request.unheard",
            Request::RelayHeartbeats {
                machines: strings(&["i-000231", "i-000232"]),
                for_ms: 1300,
            },
        ),
        ("request.greeting", Request::probe()),
        (
            "request.follow",
            Request::Replicate(replication_part(machine_tasks())),
        ),
        (
            "request.follow_empty",
            Request::Replicate(replication_part(Vec::new())),
        ),
        ("request.resigned", Request::Resigned { term: 14 }),
        ("request.status", Request::Status),
        ("request.leader_status", Request::LeaderStatus),
        (
            "request.explain",
            Request::Explain {
                id: "j-000412".into(),
                forwarded: true,
            },
        ),
        ("request.lendable", Request::OffloadCandidates { lent }),
        (
            "request.lendable_empty",
            Request::OffloadCandidates { lent: Vec::new() },
        ),
        (
            "request.lend",
            Request::Offload {
                id: "j-000412".into(),
                award: 21,
                market: "north".into(),
                version: 22,
            },
        ),
        (
            "request.take_back",
            Request::EndOffload {
                id: "j-000412".into(),
                award: 23,
                done: vec![(0, 3), (5, 5)],
            },
        ),
    ] {
        fixtures.assert_frame(name, request);
    }
    fixtures.assert_all_used();
}

#[test]
fn replicated_phase_rejects_unknown_number() {
    for (n, phase) in [
        (0, ReplicatedPhase::Sent),
        (1, ReplicatedPhase::Running),
        (2, ReplicatedPhase::Done),
    ] {
        assert_eq!(u8::from(phase), n);
        assert_eq!(ReplicatedPhase::try_from(n), Ok(phase));
    }
    assert_eq!(
        ReplicatedPhase::try_from(3),
        Err("no such state of a task: 3".into())
    );
}

fn offload_candidates() -> Vec<OffloadCandidate> {
    vec![
        OffloadCandidate {
            spec: full_spec(),
            done: vec![(0, 3), (7, 7)],
            waited_ms: 31,
            left_ms: Some(-32),
            here_ms: Some(33),
            rent: 34,
            kept: true,
        },
        OffloadCandidate {
            spec: minimal_spec(),
            done: Vec::new(),
            waited_ms: 35,
            left_ms: None,
            here_ms: None,
            rent: 36,
            kept: false,
        },
    ]
}

const PENDING_REASONS: [PendingReason; 12] = [
    PendingReason::New,
    PendingReason::TeamLimit,
    PendingReason::NoRoom,
    PendingReason::MachineBooting,
    PendingReason::CloudRefuses,
    PendingReason::GangIncomplete,
    PendingReason::RoomBeingMade,
    PendingReason::OldAttempt,
    PendingReason::Settling,
    PendingReason::FailsEverywhere,
    PendingReason::Lent,
    PendingReason::NeedsOthers,
];

fn cluster_status() -> ClusterStatus {
    ClusterStatus {
        term: 51,
        since_s: 52.5,
        settled: true,
        jobs: 53,
        groups: vec![JobGroup {
            class: "train".into(),
            team: "vision".into(),
            waiting: 54,
            running: 55,
            oldest_wait_s: 56.5,
            reasons: PENDING_REASONS.into_iter().zip(100..).collect(),
            late_jobs: 57,
            at_risk_jobs: 58,
        }],
        teams: vec![TeamUsage {
            name: "speech".into(),
            cpus: 1.5,
            gpus: 2.5,
            cpus_guaranteed: 3.5,
            gpus_guaranteed: 4.5,
            cpus_max: 5.5,
            gpus_max: 6.5,
        }],
        fleet: vec![MachineGroup {
            type_name: "g8".into(),
            zone: "a".into(),
            spot: true,
            up: 61,
            booting: 62,
            leaving: 63,
            load: 0.75,
        }],
        troubles: vec![MachineProblem {
            machine: "i-000231".into(),
            why: "silent".into(),
        }],
        failures: vec![TaskFailure {
            task: "j-000412/3".into(),
            machine: "i-000232".into(),
            why: "error".into(),
            ago_s: 64.5,
        }],
        lent: vec![("north".into(), 65)],
        standbys: vec![StandbyStatus {
            node: "winchpost-3".into(),
            warm: true,
            since_s: Some(66.5),
            owes_s: 67.5,
            why_not: Some("copy begins".into()),
        }],
        took_over: "warm".into(),
    }
}

fn node_status(cluster_status: Option<ClusterStatus>) -> Status {
    Status {
        node: "winchpost-1".into(),
        leader: Some("winchpost-2".into()),
        age_s: 41.5,
        cluster: cluster_status,
        versions: vec![
            ("winchpost-1".into(), Some("0.1.0".into())),
            ("winchpost-2".into(), None),
        ],
        upgraded: true,
        stopped: Some(("lease lost".into(), 42.5)),
    }
}

fn job_explanation(due: Due) -> JobExplanation {
    JobExplanation {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        state: "running".into(),
        tasks: 81,
        done: 82,
        running: 83,
        waiting: 84,
        age_s: 85.5,
        reason: Some(PendingReason::TeamLimit),
        verdict: Some("held back".into()),
        due: Some(due),
        deadline_s: Some(86.5),
        places: vec![(87, "i-000231".into(), "saving".into())],
        left_s: Some(88.5),
        needs: vec![("j-000409".into(), "pending".into())],
        needs_all: 89,
    }
}

fn minimal_job_explanation() -> JobExplanation {
    JobExplanation {
        reason: None,
        verdict: None,
        due: None,
        deadline_s: None,
        places: Vec::new(),
        left_s: None,
        needs: Vec::new(),
        needs_all: 0,
        ..job_explanation(Due::Late)
    }
}

fn job_reply(explanation: JobExplanation) -> Reply {
    Reply::Explained(Explanation::Job(Box::new(explanation)))
}

fn promise_reply(granted: bool, state_ok: bool, running_ms: Option<u64>) -> Reply {
    Reply::Promise {
        granted,
        state_ok,
        running_ms,
    }
}

#[test]
fn controller_replies_keep_their_form() {
    let mut fixtures = Fixtures::with_prefix(FRAMES, "reply.");
    let over = Explanation::Over {
        state: "done".into(),
        done: 91,
    };
    let polled = vec![
        Some((JobState::Queued, 0, 0)),
        Some((JobState::Running, 3, 13)),
        Some((JobState::Done, 16, 0)),
        Some((JobState::Cancelled, 4, 5)),
        None,
    ];
    for (name, reply) in [
        (
            "reply.forwarded",
            Reply::Forwarded {
                status: 503,
                retry_after_s: Some(2),
                body: b"{}\xff".to_vec(),
            },
        ),
        (
            "reply.forwarded_bare",
            Reply::Forwarded {
                status: 200,
                retry_after_s: None,
                body: Vec::new(),
            },
        ),
        ("reply.polled", Reply::Polled(polled)),
        ("reply.polled_empty", Reply::Polled(Vec::new())),
        (
            "reply.followed",
            Reply::Replicated {
                incarnation: u64::MAX,
                applied: true,
            },
        ),
        ("reply.not_leader", Reply::NotLeader),
        ("reply.promise", promise_reply(true, false, Some(1234))),
        ("reply.promise_old", promise_reply(false, true, None)),
        ("reply.ok", Reply::Ok),
        (
            "reply.greeted",
            Reply::LeaderHint {
                leader: Some(("winchpost-2".into(), 15)),
            },
        ),
        ("reply.greeted_none", Reply::LeaderHint { leader: None }),
        (
            "reply.status",
            Reply::Status(Box::new(node_status(Some(cluster_status())))),
        ),
        ("reply.status_empty", Reply::Status(Box::default())),
        (
            "reply.explained_in_time",
            job_reply(job_explanation(Due::InTime)),
        ),
        (
            "reply.explained_at_risk",
            job_reply(job_explanation(Due::AtRisk)),
        ),
        (
            "reply.explained_late",
            job_reply(job_explanation(Due::Late)),
        ),
        ("reply.explained_bare", job_reply(minimal_job_explanation())),
        ("reply.explained_over", Reply::Explained(over)),
        (
            "reply.explained_no_job",
            Reply::Explained(Explanation::NoSuchJob),
        ),
        (
            "reply.explained_unknown",
            Reply::Explained(Explanation::Unknown("nobody leads".into())),
        ),
        (
            "reply.lendable",
            Reply::OffloadCandidates {
                jobs: offload_candidates(),
                recall: strings(&["j-000414", "j-000415"]),
            },
        ),
        (
            "reply.lendable_empty",
            Reply::OffloadCandidates {
                jobs: Vec::new(),
                recall: Vec::new(),
            },
        ),
        ("reply.lent_yes", Reply::OffloadMark(OffloadMark::Yes)),
        ("reply.lent_no", Reply::OffloadMark(OffloadMark::No)),
        (
            "reply.lent_not_yet",
            Reply::OffloadMark(OffloadMark::NotYet),
        ),
        ("reply.taken_back", Reply::OffloadEnded(true)),
        ("reply.not_taken_back", Reply::OffloadEnded(false)),
    ] {
        fixtures.assert_frame(name, reply);
    }
    fixtures.assert_all_used();
}

#[test]
fn replies_without_later_fields_are_read() {
    let mut fixtures = Fixtures::with_prefix(FRAMES, "reply.");
    fixtures.assert_frame_without(
        "reply.promise",
        &["running_ms"],
        promise_reply(true, false, None),
    );
    let old = Status {
        cluster: Some(ClusterStatus {
            lent: Vec::new(),
            standbys: Vec::new(),
            took_over: String::new(),
            ..cluster_status()
        }),
        versions: Vec::new(),
        upgraded: false,
        stopped: None,
        ..node_status(None)
    };
    fixtures.assert_frame_without(
        "reply.status",
        &[
            "lent",
            "standbys",
            "took_over",
            "versions",
            "upgraded",
            "stopped",
        ],
        Reply::Status(Box::new(old)),
    );
    let old = JobExplanation {
        verdict: None,
        left_s: None,
        needs: Vec::new(),
        needs_all: 0,
        ..job_explanation(Due::Late)
    };
    fixtures.assert_frame_without(
        "reply.explained_late",
        &["verdict", "left_s", "needs", "needs_all"],
        job_reply(old),
    );
}

#[test]
fn offload_candidates_keep_their_json_form() {
    let mut fixtures = Fixtures::with_prefix(JSON, "lendable.");
    for (name, candidate) in ["lendable.full", "lendable.minimal"]
        .iter()
        .zip(offload_candidates())
    {
        fixtures.assert_json(name, &candidate);
    }
    fixtures.assert_all_used();
}
