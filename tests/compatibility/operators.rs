//! What operators write, run and read: the settings, the options, the command line, the
//! JSON answers, the metrics and the deployment files.

use super::{assert_pinned, assert_reads_as, fixture};
use pathwinch::{
    control::{election::AuthorityBasis, requests::Source},
    options::{LoadResource, Options, TaskShape},
    protocol::{
        settings::{
            CloudLimits, Cluster, NextLimits, Objective, Peer, Quota, Services, Settings,
            StateLimits, Team, Workers,
        },
        status::{
            ClusterStatus, Due, Explanation, JobExplanation, JobGroup, MAX_LIST_ROWS, MachineGroup,
            MachineProblem, PendingReason, StandbyStatus, Status, TaskFailure, TeamUsage,
        },
        users::{JobState, JobStatus},
        workers::ExitReason,
    },
    state::cluster::Phase,
};
use serde_json::{Value, json};
use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

const SETTINGS: &str = include_str!("../fixtures/compatibility/settings.txt");
const ANSWERS: &str = include_str!("../fixtures/compatibility/answers.txt");

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Settings in which each field has a different value.
fn full_settings() -> Settings {
    Settings {
        name: "winch-1".into(),
        zone: "north".into(),
        listen: addr("10.0.0.1:8080"),
        peer_listen: addr("10.0.0.1:8081"),
        peers: vec![Peer {
            name: "winch-2".into(),
            zone: "south".into(),
            addr: addr("10.0.0.2:8081"),
        }],
        services: Services {
            cloud: addr("10.2.0.2:8443"),
            state: addr("10.2.0.1:2379"),
        },
        cluster: Cluster {
            zones: vec!["north".into(), "south".into()],
            teams: vec![Team {
                name: "vision".into(),
                cpus: 1.5,
                gpus: 2.5,
                cpus_max: 3.5,
                gpus_max: 4.5,
            }],
            objectives: vec![Objective {
                kind: "wait".into(),
                class: Some("train".into()),
                within_s: Some(5.5),
                times: Some(6.5),
            }],
            workers: Workers {
                report_s: 7.5,
                lease_s: 8.5,
                gang_wait_s: 9.5,
                gang_peer_s: 10.5,
                cancel_s: 11.5,
            },
            state: StateLimits {
                rps: 12.5,
                write_rps: 13.5,
                value_kb: 14.5,
                txn_ops: 15,
                next: Some(NextLimits {
                    rps: Some(16.5),
                    write_rps: Some(17.5),
                    value_kb: Some(18.5),
                    txn_ops: Some(19),
                }),
            },
            cloud: CloudLimits {
                rps: 20.5,
                list_lag_s: 21.5,
            },
            quota: Quota {
                max_connections: 220,
            },
        },
    }
}

/// The settings that are read when every optional field is omitted.
fn minimal_settings() -> Settings {
    let mut settings = full_settings();
    settings.peers.clear();
    let cluster = &mut settings.cluster;
    cluster.objectives.clear();
    cluster.state.next = None;
    cluster.teams = vec![Team {
        name: "vision".into(),
        cpus: 0.0,
        gpus: 0.0,
        cpus_max: 0.0,
        gpus_max: 0.0,
    }];
    settings
}

#[test]
fn settings_keep_their_json_form() {
    assert_pinned(SETTINGS, "settings/full", &full_settings());
    assert_reads_as(SETTINGS, "settings/minimal", &minimal_settings());
    for (name, expected) in [
        ("settings/full", full_settings()),
        ("settings/minimal", minimal_settings()),
    ] {
        let read = Settings::parse(fixture(SETTINGS, name)).unwrap();
        assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
    }
}

#[test]
fn optional_fields_of_peers_objectives_and_limits_may_be_omitted() {
    let mut expected = minimal_settings();
    expected.peers = vec![Peer {
        name: "winch-2".into(),
        zone: String::new(),
        addr: addr("10.0.0.2:8081"),
    }];
    expected.cluster.objectives = vec![Objective {
        kind: "wait".into(),
        class: None,
        within_s: None,
        times: None,
    }];
    expected.cluster.state.next = Some(NextLimits::default());
    assert_reads_as(SETTINGS, "settings/sparse", &expected);
}

/// Returns the error for the full settings with `value` at the JSON pointer.
fn settings_error(pointer: &str, value: Value) -> String {
    let mut settings = full_settings_json();
    *settings.pointer_mut(pointer).unwrap() = value;
    Settings::parse(&settings.to_string())
        .unwrap_err()
        .to_string()
}

fn full_settings_json() -> Value {
    serde_json::from_str(fixture(SETTINGS, "settings/full")).unwrap()
}

#[test]
fn invalid_settings_are_refused_with_the_same_texts() {
    assert_eq!(
        settings_error("/host_name", json!("")),
        "host_name: must not be empty"
    );
    let zones = "cluster.zones: must name 1 to 999 zones";
    assert_eq!(settings_error("/cluster/zones", json!([])), zones);
    assert_eq!(
        settings_error("/cluster/zones", json!(vec!["z"; 1000])),
        zones
    );
    let teams = json!(vec![json!({ "name": "t" }); 10_000]);
    assert_eq!(
        settings_error("/cluster/teams", teams),
        "cluster.teams: too many teams"
    );
    for field in ["cpus", "gpus", "cpus_max", "gpus_max"] {
        assert_eq!(
            settings_error(&format!("/cluster/teams/0/{field}"), json!(-1.0)),
            format!("cluster.teams: vision.{field}: must not be negative")
        );
    }
    for field in [
        "workers/report_s",
        "workers/lease_s",
        "workers/gang_wait_s",
        "workers/gang_peer_s",
        "workers/cancel_s",
        "state/rps",
        "state/write_rps",
        "state/value_kb",
        "cloud/rps",
    ] {
        let name = field.replace('/', ".");
        for value in [0.0, -1.0, 1e9] {
            assert_eq!(
                settings_error(&format!("/cluster/{field}"), json!(value)),
                format!("cluster.{name}: must be a positive number")
            );
        }
    }
    for (pointer, value, message) in [
        (
            "/cluster/cloud/list_lag_s",
            json!(-0.5),
            "cluster.cloud.list_lag_s: must not be negative",
        ),
        (
            "/cluster/state/txn_ops",
            json!(3),
            "cluster.state.txn_ops: must be at least 4",
        ),
        (
            "/cluster/state/next/rps",
            json!(0.5),
            "cluster.state.next.rps: must be at least 1",
        ),
        (
            "/cluster/state/next/write_rps",
            json!(0.5),
            "cluster.state.next.write_rps: must be at least 1",
        ),
        (
            "/cluster/state/next/value_kb",
            json!(1.5),
            "cluster.state.next.value_kb: must be at least 2",
        ),
        (
            "/cluster/state/next/txn_ops",
            json!(1),
            "cluster.state.next.txn_ops: must be at least 2",
        ),
        (
            "/cluster/quota/max_sockets",
            json!(31),
            "cluster.quota.max_sockets: must be at least 32",
        ),
    ] {
        assert_eq!(settings_error(pointer, value), message);
    }
}

/// Collects JSON pointers to all object fields in `value`, which is at the pointer `at`.
fn collect_field_pointers(value: &Value, at: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let at = format!("{at}/{key}");
                collect_field_pointers(value, &at, found);
                found.push(at);
            }
        }
        Value::Array(list) => {
            for (n, value) in list.iter().enumerate() {
                collect_field_pointers(value, &format!("{at}/{n}"), found);
            }
        }
        _ => {}
    }
}

#[test]
fn missing_settings_fields_are_reported_by_name() {
    let mut found = Vec::new();
    collect_field_pointers(&full_settings_json(), "", &mut found);
    let mut required = Vec::new();
    for pointer in found {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let mut settings = full_settings_json();
        let parent = settings.pointer_mut(parent).unwrap();
        parent.as_object_mut().unwrap().remove(key);
        if let Err(e) = Settings::parse(&settings.to_string()) {
            let message = e.to_string();
            let missing = format!("missing field `{key}`");
            assert!(message.starts_with(&missing), "{pointer}: {message}");
            required.push(pointer);
        }
    }
    let expected: Vec<String> = serde_json::from_str(fixture(SETTINGS, "settings/needed")).unwrap();
    assert_eq!(required, expected);
}

#[test]
fn unknown_settings_are_ignored() {
    let mut settings = full_settings_json();
    settings["colour"] = json!("red");
    settings["cluster"]["size"] = json!(3);
    let read = Settings::parse(&settings.to_string()).unwrap();
    assert_eq!(format!("{read:?}"), format!("{:?}", full_settings()));
}

fn parsed_options(text: &str) -> String {
    format!("{:?}", Options::parse(text).unwrap())
}

#[test]
fn options_keep_their_defaults() {
    let expected = Options {
        busy_threshold: 0.4,
        load_resource: LoadResource::Scarcest,
        shapes: Vec::new(),
        headroom_s: 0.0,
        starvation_timeout_s: 180.0,
        idle_timeout_s: 20.0,
        warm_standbys: 2,
    };
    let expected = format!("{expected:?}");
    assert_eq!(format!("{:?}", Options::default()), expected);
    assert_eq!(parsed_options(""), expected);
    let example = include_str!("../../examples/pathwinch.ini");
    assert_eq!(parsed_options(example), expected);
}

#[test]
fn options_keep_their_keys() {
    let text = "[placement]\nthreshold = 0.25\nload = gpu\nshapes = 4/0.5/11, 43/4/310\n\
                keep_s = 1.5\nbegin_s = 2.5\n[provision]\nidle_s = 3.5\n[standby]\nwarm = 4\n";
    let expected = Options {
        busy_threshold: 0.25,
        load_resource: LoadResource::Gpu,
        shapes: vec![
            TaskShape {
                cpus: 4.0,
                gpus: 0.5,
                memory_gb: 11.0,
            },
            TaskShape {
                cpus: 43.0,
                gpus: 4.0,
                memory_gb: 310.0,
            },
        ],
        headroom_s: 1.5,
        starvation_timeout_s: 2.5,
        idle_timeout_s: 3.5,
        warm_standbys: 4,
    };
    assert_eq!(parsed_options(text), format!("{expected:?}"));
}

#[test]
fn load_resources_keep_their_names() {
    for (name, load) in [
        ("scarcest", LoadResource::Scarcest),
        ("cpu", LoadResource::Cpu),
        ("gpu", LoadResource::Gpu),
        ("memory", LoadResource::Memory),
    ] {
        let read = Options::parse(&format!("[placement]\nload = {name}\n")).unwrap();
        assert_eq!(read.load_resource, load);
    }
}

#[test]
fn invalid_options_are_refused_with_the_same_texts() {
    let too_many_shapes = ["1/0/1"; 17].join(",");
    for (section, key, value, message) in [
        ("placement", "threshold", "1.5", "1.5 is outside 0 to 1"),
        ("placement", "threshold", "x", "not a number: \"x\""),
        (
            "placement",
            "load",
            "disk",
            "\"disk\" is none of scarcest, cpu, gpu, memory",
        ),
        (
            "placement",
            "shapes",
            "4/0",
            "\"4/0\" is not of the form CPUS/GPUS/GB",
        ),
        ("placement", "shapes", "4/0/x", "not a number: \"x\""),
        (
            "placement",
            "shapes",
            "-1/0/1",
            "-1 is outside 0 to 1000000",
        ),
        (
            "placement",
            "shapes",
            "1/-1/1",
            "-1 is outside 0 to 1000000",
        ),
        (
            "placement",
            "shapes",
            "1/0/2e6",
            "2000000 is outside 0 to 1000000",
        ),
        ("placement", "shapes", &too_many_shapes, "at most 16 shapes"),
        ("placement", "keep_s", "3601", "3601 is outside 0 to 3600"),
        (
            "placement",
            "begin_s",
            "86401",
            "86401 is outside 0 to 86400",
        ),
        (
            "provision",
            "idle_s",
            "86401",
            "86401 is outside 0 to 86400",
        ),
        ("standby", "warm", "7", "7 is outside 0 to 6"),
        ("placement", "colour", "1", "unknown section or key"),
        ("paint", "warm", "1", "unknown section or key"),
    ] {
        let invalid = Options::parse(&format!("[{section}]\n{key} = {value}\n")).unwrap_err();
        assert_eq!(invalid.to_string(), format!("{section}.{key}: {message}"));
    }
    let invalid = Options::parse("warm = 1\n").unwrap_err();
    assert_eq!(invalid.to_string(), ".warm: unknown section or key");
}

/// A temporary directory of one test, removed when the test ends.
struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> Self {
        let name = format!("pathwinch-compatibility-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        TestDir(dir)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run_pathwinch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pathwinch"))
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

fn exit_code(arguments: &[&str]) -> Option<i32> {
    run_pathwinch(arguments).status.code()
}

fn help_text(arguments: &[&str]) -> String {
    let output = run_pathwinch(arguments);
    assert_eq!(output.status.code(), Some(0), "{arguments:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn command_names() -> BTreeSet<String> {
    let text = help_text(&["--help"]);
    let (_, list) = text.split_once("Commands:\n").unwrap();
    let rows = list.lines().take_while(|l| !l.is_empty());
    let names = rows.filter_map(|l| l.split_whitespace().next());
    names.map(str::to_owned).collect()
}

/// Returns the flags of a command: the words with a leading dash in the rows of its help
/// text that begin with a flag, without the descriptions. Sorted.
fn flag_names(command: &str) -> Vec<String> {
    let text = help_text(&[command, "--help"]);
    let rows = text.lines().map(str::trim_start);
    let rows = rows.filter(|row| row.starts_with('-'));
    let heads = rows.map(|row| row.split("  ").next().unwrap_or_default());
    let words = heads.flat_map(|head| head.split([' ', ',']));
    let words = words.filter(|w| w.starts_with('-')).map(str::to_owned);
    let mut words: Vec<String> = words.collect();
    words.sort();
    words
}

#[test]
fn commands_keep_their_names() {
    let expected = [
        "abort",
        "check-config",
        "explain",
        "help",
        "poll",
        "serve",
        "status",
        "submit",
        "upgraded",
    ];
    assert_eq!(command_names(), expected.map(str::to_owned).into());
}

#[test]
fn command_flags_keep_their_names() {
    let files = vec!["--config", "--help", "--options", "-h"];
    let ask = vec!["--at", "--help", "--json", "-h"];
    let follow = vec!["--at", "--help", "--json", "--wait", "-h"];
    for (command, expected) in [
        ("serve", files.clone()),
        ("check-config", files),
        ("status", ask.clone()),
        ("explain", ask.clone()),
        ("submit", follow.clone()),
        ("poll", follow),
        ("abort", ask),
        ("upgraded", vec!["--config", "--help", "-h"]),
    ] {
        assert_eq!(flag_names(command), expected, "{command}");
    }
}

#[test]
fn invalid_command_line_exits_with_2() {
    for arguments in [
        &[][..],
        &["paint"],
        &["--paint"],
        &["serve"],
        &["check-config"],
        &["check-config", "--paint", "x"],
        &["status"],
        &["status", "--at", "nowhere"],
        &["explain", "--at", "127.0.0.1:1"],
        &["explain", "j-000001", "--at", "nowhere"],
        &["poll", "j-000001"],
        &["poll", "j-000001", "--at", "nowhere"],
        &["abort", "--at", "127.0.0.1:1"],
        &["abort", "j-000001", "--at", "nowhere"],
        &["submit", "/nonexistent/job.json", "--at", "127.0.0.1:1"],
        &["submit", "-", "--at", "127.0.0.1:1"],
        &["upgraded", "winch-1"],
    ] {
        assert_eq!(exit_code(arguments), Some(2), "{arguments:?}");
    }
}

#[test]
fn version_and_help_exit_with_0() {
    for arguments in [["--version"], ["-V"], ["--help"], ["-h"], ["help"]] {
        assert_eq!(exit_code(&arguments), Some(0), "{arguments:?}");
    }
}

#[test]
fn check_config_keeps_its_exit_codes_and_messages() {
    let dir = TestDir::new("check");
    let valid = dir.file("sound.json", fixture(SETTINGS, "settings/full"));
    let output = run_pathwinch(&["check-config", "--config", &valid]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"winch-1: settings are sound\n");
    assert_eq!(output.stderr, b"");

    let options = include_str!("../../examples/pathwinch.ini");
    let options = dir.file("sound.ini", options);
    let check = ["check-config", "--config", &valid, "--options", &options];
    assert_eq!(exit_code(&check), Some(0));

    let mut invalid = full_settings_json();
    invalid["host_name"] = json!("");
    let invalid = dir.file("wrong.json", &invalid.to_string());
    let output = run_pathwinch(&["check-config", "--config", &invalid]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(output.stdout, b"");
    let message = format!("pathwinch: settings file {invalid}: host_name: must not be empty\n");
    assert_eq!(String::from_utf8(output.stderr).unwrap(), message);

    let options = dir.file("wrong.ini", "[standby]\nwarm = 7\n");
    let output = run_pathwinch(&["check-config", "--config", &valid, "--options", &options]);
    assert_eq!(output.status.code(), Some(1));
    let message = format!("pathwinch: options file {options}: standby.warm: 7 is outside 0 to 6\n");
    assert_eq!(String::from_utf8(output.stderr).unwrap(), message);
}

#[test]
fn missing_file_or_controller_exits_with_1() {
    let dir = TestDir::new("unread");
    let valid = dir.file("sound.json", fixture(SETTINGS, "settings/full"));
    let missing = dir.0.join("none").to_str().unwrap().to_owned();
    for arguments in [
        &["serve", "--config", &missing][..],
        &["check-config", "--config", &missing],
        &["check-config", "--config", &valid, "--options", &missing],
        &["upgraded", "winch-1", "--config", &missing],
        // The settings contain no controller of this name.
        &["upgraded", "winch-9", "--config", &valid],
    ] {
        assert_eq!(exit_code(arguments), Some(1), "{arguments:?}");
    }
}

#[test]
fn unreachable_controller_exits_with_3() {
    let closed = free_address().to_string();
    assert_eq!(exit_code(&["status", "--at", &closed]), Some(3));
    assert_eq!(
        exit_code(&["explain", "j-000001", "--at", &closed]),
        Some(3)
    );
}

/// Returns an address at which no process listens at the moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts a server that gives each request this answer as long as the tests run; returns
/// its address.
fn serve_answer(status: u16, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    at
}

#[test]
fn poll_and_abort_keep_their_exit_codes() {
    let job_status = r#"{"ref":"j-000412","stage":"running","done":1,"running":2}"#;
    for (status, body, polled, aborted) in [
        (200, job_status, 0, 0),
        (404, r#"{"error":"no such job"}"#, 4, 4),
        // `poll` makes one request, and is to be run again later.
        (422, r#"{"error":"refused"}"#, 3, 5),
    ] {
        let at = serve_answer(status, body);
        let poll = ["poll", "j-000412", "--json", "--at", &at];
        let output = run_pathwinch(&poll);
        assert_eq!(output.status.code(), Some(polled), "{status}");
        if status == 200 {
            assert_eq!(
                String::from_utf8(output.stdout).unwrap(),
                format!("{job_status}\n")
            );
        }
        let abort = ["abort", "j-000412", "--at", &at];
        assert_eq!(exit_code(&abort), Some(aborted), "{status}");
    }
}

#[test]
fn pending_reasons_keep_their_names() {
    let reasons = [
        (PendingReason::New, "new"),
        (PendingReason::TeamLimit, "team_limit"),
        (PendingReason::NoRoom, "no_room"),
        (PendingReason::MachineBooting, "machine_booting"),
        (PendingReason::CloudRefuses, "cloud_refuses"),
        (PendingReason::GangIncomplete, "gang_incomplete"),
        (PendingReason::RoomBeingMade, "room_being_made"),
        (PendingReason::OldAttempt, "old_attempt"),
        (PendingReason::Settling, "settling"),
        (PendingReason::FailsEverywhere, "fails_everywhere"),
        (PendingReason::Lent, "lent"),
        (PendingReason::NeedsOthers, "needs_others"),
    ];
    for (reason, name) in reasons {
        assert_eq!(serde_json::to_value(reason).unwrap(), name);
        assert_eq!(
            serde_json::from_value::<PendingReason>(json!(name)).unwrap(),
            reason
        );
    }
}

#[test]
fn deadline_states_keep_their_names() {
    for (due, name) in [
        (Due::InTime, "in_time"),
        (Due::AtRisk, "at_risk"),
        (Due::Late, "late"),
    ] {
        assert_eq!(serde_json::to_value(due).unwrap(), name);
        assert_eq!(serde_json::from_value::<Due>(json!(name)).unwrap(), due);
    }
}

fn full_cluster_status() -> ClusterStatus {
    ClusterStatus {
        term: 41,
        since_s: 1.5,
        settled: true,
        jobs: 2,
        groups: vec![JobGroup {
            class: "train".into(),
            team: "vision".into(),
            waiting: 3,
            running: 4,
            oldest_wait_s: 5.5,
            reasons: vec![(PendingReason::NoRoom, 6), (PendingReason::Lent, 7)],
            late_jobs: 8,
            at_risk_jobs: 9,
        }],
        teams: vec![TeamUsage {
            name: "graphics".into(),
            cpus: 10.5,
            gpus: 11.5,
            cpus_guaranteed: 12.5,
            gpus_guaranteed: 13.5,
            cpus_max: 14.5,
            gpus_max: 15.5,
        }],
        fleet: vec![MachineGroup {
            type_name: "g8".into(),
            zone: "north".into(),
            spot: true,
            up: 16,
            booting: 17,
            leaving: 18,
            load: 0.19,
        }],
        troubles: vec![MachineProblem {
            machine: "i-0001".into(),
            why: "silent".into(),
        }],
        failures: vec![TaskFailure {
            task: "j-000412/3".into(),
            machine: "i-0002".into(),
            why: "crashed".into(),
            ago_s: 20.5,
        }],
        lent: vec![("east".into(), 21)],
        standbys: vec![
            StandbyStatus {
                node: "winch-2".into(),
                warm: true,
                since_s: Some(22.5),
                owes_s: 23.5,
                why_not: Some("new".into()),
            },
            StandbyStatus::default(),
        ],
        took_over: "warm, in 2 s".into(),
    }
}

fn full_status() -> Status {
    Status {
        node: "winch-3".into(),
        leader: Some("winch-1".into()),
        age_s: 24.5,
        cluster: Some(full_cluster_status()),
        versions: vec![
            ("winch-1".into(), Some("0.1.0".into())),
            ("winch-2".into(), None),
        ],
        upgraded: true,
        stopped: Some(("lease lost".into(), 25.5)),
    }
}

#[test]
fn status_keeps_its_json_form() {
    assert_pinned(ANSWERS, "status/full", &full_status());
    assert_pinned(ANSWERS, "status/minimal", &Status::default());
    let bare = Status {
        cluster: Some(ClusterStatus::default()),
        ..Status::default()
    };
    assert_pinned(ANSWERS, "status/bare", &bare);
    // A status without the fields that were added later.
    assert_reads_as(ANSWERS, "status/old", &bare);
    assert_eq!(MAX_LIST_ROWS, 100);
}

fn full_job_explanation() -> JobExplanation {
    JobExplanation {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        state: "waiting".into(),
        tasks: 1,
        done: 2,
        running: 3,
        waiting: 4,
        age_s: 5.5,
        reason: Some(PendingReason::TeamLimit),
        verdict: Some("suspected".into()),
        due: Some(Due::AtRisk),
        deadline_s: Some(6.5),
        places: vec![(7, "i-0001".into(), "running".into())],
        left_s: Some(8.5),
        needs: vec![("j-000007".into(), "done".into())],
        needs_all: 9,
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
        ..full_job_explanation()
    }
}

#[test]
fn job_explanation_keeps_its_json_form() {
    let job = |explained| Explanation::Job(Box::new(explained));
    assert_pinned(ANSWERS, "explained/full", &job(full_job_explanation()));
    assert_pinned(
        ANSWERS,
        "explained/minimal",
        &job(minimal_job_explanation()),
    );
    assert_reads_as(ANSWERS, "explained/old", &job(minimal_job_explanation()));
    let over = Explanation::Over {
        state: "done".into(),
        done: 12,
    };
    assert_pinned(ANSWERS, "explained/over", &over);
    assert_pinned(ANSWERS, "explained/none", &Explanation::NoSuchJob);
    let unknown = Explanation::Unknown("nobody leads".into());
    assert_pinned(ANSWERS, "explained/unknown", &unknown);
}

#[test]
fn job_status_keeps_its_json_form() {
    for (name, state) in [
        ("job/pending", JobState::Queued),
        ("job/running", JobState::Running),
        ("job/done", JobState::Done),
        ("job/withdrawn", JobState::Cancelled),
    ] {
        let status = JobStatus {
            id: "j-000412".into(),
            state,
            done: 1,
            running: 2,
        };
        assert_pinned(ANSWERS, name, &status);
    }
}

/// A child process that is killed when the test ends.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a controller that can't reach a state service or a cloud; returns its address
/// for users.
fn start_isolated_controller(dir: &TestDir) -> (ChildGuard, SocketAddr) {
    let mut settings = minimal_settings();
    settings.listen = free_address();
    settings.peer_listen = free_address();
    settings.services = Services {
        cloud: free_address(),
        state: free_address(),
    };
    let text = serde_json::to_string(&settings).unwrap();
    let config = dir.file("alone.json", &text);
    let child = Command::new(env!("CARGO_BIN_EXE_pathwinch"))
        .args(["serve", "--config", &config])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    (ChildGuard(child), settings.listen)
}

/// Returns the answer to an HTTP request, which is sent as soon as a process listens.
fn http_request(at: SocketAddr, request_line: &str) -> String {
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut stream = loop {
        match TcpStream::connect(at) {
            Ok(stream) => break stream,
            Err(e) if Instant::now() > deadline => panic!("{at}: {e}"),
            Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let request = format!(
        "{request_line} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\n\
                 Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn metrics_keep_their_names() {
    let dir = TestDir::new("figures");
    let (_controller, listen) = start_isolated_controller(&dir);
    for (request_line, request) in [
        ("GET /v1/jobs/j-000001", "poll"),
        ("POST /v1/jobs", "submit"),
        ("POST /v1/jobs/j-000001/abort", "abort"),
    ] {
        let answer = http_request(listen, request_line);
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        let sample = format!("pathwinch_answer_seconds_count{{request=\"{request}\"}} 1\n");
        assert!(
            http_request(listen, "GET /metrics").contains(&sample),
            "{sample}"
        );
    }
    let answer = http_request(listen, "GET /metrics");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let content = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    assert!(answer.contains(content), "{answer}");
    let types = answer.lines().filter_map(|l| l.strip_prefix("# TYPE "));
    let mut types: Vec<String> = types.map(str::to_owned).collect();
    // Metrics that were added later are pinned by fixtures of their own; no other metric
    // may be added or removed.
    for name in [
        "figures_later",
        "figures_of_lease_renewals",
        "figures_of_request_budget",
        "figures_of_restarted_attempts",
        "figures_of_unread_dependencies",
    ] {
        let later: Vec<String> = serde_json::from_str(fixture(ANSWERS, name)).unwrap();
        let added: Vec<String> = types.extract_if(.., |line| later.contains(line)).collect();
        assert_pinned(ANSWERS, name, &added);
    }
    assert_pinned(ANSWERS, "figures", &types);
}

#[test]
fn metric_labels_keep_their_values() {
    assert_eq!(AuthorityBasis::LeaseRenewal.text(), "renewal");
    assert_eq!(AuthorityBasis::PeerPromises.text(), "promises");
    for (source, name) in [
        (Source::Memory, "remembered end"),
        (Source::ClusterState, "leader's picture"),
        (Source::Leader, "leader's word"),
        (Source::Record, "record"),
        (Source::Write, "own write"),
    ] {
        assert_eq!(source.text(), name);
    }
}

#[test]
fn service_file_keeps_its_content() {
    let expected = "build = \"cargo build --release\"\n\
                    run = \"target/release/pathwinch serve --config\"\n\
                    production = \"5485c676f5e750b4776189e41ef6527ea6623fa5\"\n";
    assert_eq!(include_str!("../../deploy/service.toml"), expected);
}

#[test]
fn market_file_keeps_its_keys_and_values() {
    let text = include_str!("../../deploy/market.ini");
    let lines = text
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with(';'));
    let expected = [
        "[lend]",
        "classes =",
        "after_s = 20",
        "floor_cpus = 0",
        "worth = 1.0",
        "jobs = 2000",
        "[award]",
        "tenancy_s = 60",
        "clock_bound_s = 1",
        "start_within_s = 10",
        "every_s = 2",
        "[state]",
        "share = 0.08",
        "[budget]",
        "[market]",
    ];
    assert_eq!(lines.collect::<Vec<_>>(), expected);
}

/// Phases, exit reasons and job states are texts in the JSON of `status` and `explain`.
#[test]
fn phases_exit_reasons_and_job_states_keep_their_names() {
    let reasons = [
        (ExitReason::Done, "done"),
        (ExitReason::Stopped, "stopped"),
        (ExitReason::GangMemberLost, "peers"),
        (ExitReason::GangIncomplete, "alone"),
        (ExitReason::Error, "error"),
        (ExitReason::InsufficientResources, "noroom"),
        (ExitReason::DuplicateTask, "busy"),
        (ExitReason::UnknownTask, "unknown"),
        (ExitReason::Other, "other"),
    ];
    for (reason, name) in reasons {
        assert_eq!(reason.to_string(), name);
        assert_eq!(Phase::Ended(reason).to_string(), format!("ended({name})"));
    }
    let phases = [
        (Phase::New, "new"),
        (Phase::Sent, "sent"),
        (Phase::Fetching, "fetching"),
        (Phase::Waiting, "waiting"),
        (Phase::Running, "running"),
        (Phase::Saving, "saving"),
    ];
    for (phase, name) in phases {
        assert_eq!(phase.to_string(), name);
    }
    let states = [
        (JobState::Queued, "queued"),
        (JobState::Running, "running"),
        (JobState::Done, "done"),
        (JobState::Cancelled, "cancelled"),
    ];
    for (state, name) in states {
        assert_eq!(state.to_string(), name);
    }
}
