//! What operators write, run and read: the settings, their own options, the
//! command line, the answers as JSON, the figures and the files to deploy.

use super::{fixture, is_pinned, reads_as};
use pathwinch::{
    control::{election::AuthorityBasis, requests::Source},
    options::{LoadResource, Options, Shape},
    protocol::{
        settings::{
            CloudLimits, Cluster, NextLimits, Objective, Peer, Quota, Services, Settings,
            StateLimits, Team, Workers,
        },
        status::{
            ClusterStatus, Due, Explanation, JobExplanation, JobGroup, MOST_ROWS, MachineGroup,
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

/// Each field has a value of its own.
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

/// What is read when all that may be left out is.
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
fn settings_are_read_as_they_were() {
    is_pinned(SETTINGS, "settings/full", &full_settings());
    reads_as(SETTINGS, "settings/minimal", &minimal_settings());
    for (name, expected) in [
        ("settings/full", full_settings()),
        ("settings/minimal", minimal_settings()),
    ] {
        let read = Settings::parse(fixture(SETTINGS, name)).unwrap();
        assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
    }
}

#[test]
fn peers_aims_and_limits_to_come_may_leave_out_what_they_could() {
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
    reads_as(SETTINGS, "settings/sparse", &expected);
}

/// Why the full settings are refused with this change at a JSON pointer.
fn refused(pointer: &str, value: Value) -> String {
    let mut settings = json_settings();
    *settings.pointer_mut(pointer).unwrap() = value;
    Settings::parse(&settings.to_string())
        .unwrap_err()
        .to_string()
}

fn json_settings() -> Value {
    serde_json::from_str(fixture(SETTINGS, "settings/full")).unwrap()
}

#[test]
fn settings_at_fault_are_refused_with_the_words_that_they_were() {
    assert_eq!(
        refused("/host_name", json!("")),
        "host_name: must not be empty"
    );
    let zones = "cluster.zones: must name 1 to 999 zones";
    assert_eq!(refused("/cluster/zones", json!([])), zones);
    assert_eq!(refused("/cluster/zones", json!(vec!["z"; 1000])), zones);
    let teams = json!(vec![json!({ "name": "t" }); 10_000]);
    assert_eq!(
        refused("/cluster/teams", teams),
        "cluster.teams: too many teams"
    );
    for field in ["cpus", "gpus", "cpus_max", "gpus_max"] {
        assert_eq!(
            refused(&format!("/cluster/teams/0/{field}"), json!(-1.0)),
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
                refused(&format!("/cluster/{field}"), json!(value)),
                format!("cluster.{name}: must be a positive number")
            );
        }
    }
    for (pointer, value, words) in [
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
        assert_eq!(refused(pointer, value), words);
    }
}

/// Pointers to all fields of objects under a value.
fn fields(value: &Value, at: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let at = format!("{at}/{key}");
                fields(value, &at, found);
                found.push(at);
            }
        }
        Value::Array(list) => {
            for (n, value) in list.iter().enumerate() {
                fields(value, &format!("{at}/{n}"), found);
            }
        }
        _ => {}
    }
}

#[test]
fn fields_that_are_missing_are_asked_for_as_they_were() {
    let mut found = Vec::new();
    fields(&json_settings(), "", &mut found);
    let mut asked_for = Vec::new();
    for pointer in found {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let mut settings = json_settings();
        let parent = settings.pointer_mut(parent).unwrap();
        parent.as_object_mut().unwrap().remove(key);
        if let Err(e) = Settings::parse(&settings.to_string()) {
            let words = e.to_string();
            let missing = format!("missing field `{key}`");
            assert!(words.starts_with(&missing), "{pointer}: {words}");
            asked_for.push(pointer);
        }
    }
    let expected: Vec<String> = serde_json::from_str(fixture(SETTINGS, "settings/needed")).unwrap();
    assert_eq!(asked_for, expected);
}

#[test]
fn settings_that_are_not_known_are_passed_over() {
    let mut settings = json_settings();
    settings["colour"] = json!("red");
    settings["cluster"]["size"] = json!(3);
    let read = Settings::parse(&settings.to_string()).unwrap();
    assert_eq!(format!("{read:?}"), format!("{:?}", full_settings()));
}

fn options(text: &str) -> String {
    format!("{:?}", Options::parse(text).unwrap())
}

#[test]
fn options_have_the_defaults_that_they_had() {
    let expected = Options {
        threshold: 0.4,
        load: LoadResource::Scarcest,
        shapes: Vec::new(),
        keep_s: 0.0,
        begin_s: 180.0,
        idle_s: 20.0,
        warm: 2,
    };
    let expected = format!("{expected:?}");
    assert_eq!(format!("{:?}", Options::default()), expected);
    assert_eq!(options(""), expected);
    let example = include_str!("../../examples/pathwinch.ini");
    assert_eq!(options(example), expected);
}

#[test]
fn options_are_read_from_the_keys_that_they_were() {
    let text = "[placement]\nthreshold = 0.25\nload = gpu\nshapes = 4/0.5/11, 43/4/310\n\
                keep_s = 1.5\nbegin_s = 2.5\n[provision]\nidle_s = 3.5\n[standby]\nwarm = 4\n";
    let expected = Options {
        threshold: 0.25,
        load: LoadResource::Gpu,
        shapes: vec![
            Shape {
                cpus: 4.0,
                gpus: 0.5,
                memory_gb: 11.0,
            },
            Shape {
                cpus: 43.0,
                gpus: 4.0,
                memory_gb: 310.0,
            },
        ],
        keep_s: 1.5,
        begin_s: 2.5,
        idle_s: 3.5,
        warm: 4,
    };
    assert_eq!(options(text), format!("{expected:?}"));
}

#[test]
fn what_counts_as_load_is_named_as_it_was() {
    for (name, load) in [
        ("scarcest", LoadResource::Scarcest),
        ("cpu", LoadResource::Cpu),
        ("gpu", LoadResource::Gpu),
        ("memory", LoadResource::Memory),
    ] {
        let read = Options::parse(&format!("[placement]\nload = {name}\n")).unwrap();
        assert_eq!(read.load, load);
    }
}

#[test]
fn options_at_fault_are_refused_with_the_words_that_they_were() {
    let many = ["1/0/1"; 17].join(",");
    for (section, key, value, words) in [
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
        ("placement", "shapes", &many, "at most 16 shapes"),
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
        let wrong = Options::parse(&format!("[{section}]\n{key} = {value}\n")).unwrap_err();
        assert_eq!(wrong.to_string(), format!("{section}.{key}: {words}"));
    }
    let wrong = Options::parse("warm = 1\n").unwrap_err();
    assert_eq!(wrong.to_string(), ".warm: unknown section or key");
}

/// A directory of this test's own, removed at its end.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let name = format!("pathwinch-compatibility-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        Dir(dir)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn pathwinch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pathwinch"))
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

fn code(arguments: &[&str]) -> Option<i32> {
    pathwinch(arguments).status.code()
}

fn help(arguments: &[&str]) -> String {
    let said = pathwinch(arguments);
    assert_eq!(said.status.code(), Some(0), "{arguments:?}");
    String::from_utf8(said.stdout).unwrap()
}

fn commands() -> BTreeSet<String> {
    let text = help(&["--help"]);
    let (_, list) = text.split_once("Commands:\n").unwrap();
    let rows = list.lines().take_while(|l| !l.is_empty());
    let names = rows.filter_map(|l| l.split_whitespace().next());
    names.map(str::to_owned).collect()
}

/// All words of a help text's rows that begin with a dash, before any prose.
fn flags(command: &str) -> Vec<String> {
    let text = help(&[command, "--help"]);
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
fn commands_are_named_as_they_were() {
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
    assert_eq!(commands(), expected.map(str::to_owned).into());
}

#[test]
fn flags_of_commands_are_named_as_they_were() {
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
        assert_eq!(flags(command), expected, "{command}");
    }
}

#[test]
fn a_wrong_command_line_ends_with_2() {
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
        assert_eq!(code(arguments), Some(2), "{arguments:?}");
    }
}

#[test]
fn the_version_and_the_help_end_with_0() {
    for arguments in [["--version"], ["-V"], ["--help"], ["-h"], ["help"]] {
        assert_eq!(code(&arguments), Some(0), "{arguments:?}");
    }
}

#[test]
fn settings_are_checked_with_the_exit_codes_that_they_were() {
    let dir = Dir::new("check");
    let sound = dir.file("sound.json", fixture(SETTINGS, "settings/full"));
    let said = pathwinch(&["check-config", "--config", &sound]);
    assert_eq!(said.status.code(), Some(0));
    assert_eq!(said.stdout, b"winch-1: settings are sound\n");
    assert_eq!(said.stderr, b"");

    let ini = include_str!("../../examples/pathwinch.ini");
    let ini = dir.file("sound.ini", ini);
    let check = ["check-config", "--config", &sound, "--options", &ini];
    assert_eq!(code(&check), Some(0));

    let mut wrong = json_settings();
    wrong["host_name"] = json!("");
    let wrong = dir.file("wrong.json", &wrong.to_string());
    let said = pathwinch(&["check-config", "--config", &wrong]);
    assert_eq!(said.status.code(), Some(1));
    assert_eq!(said.stdout, b"");
    let words = format!("pathwinch: settings file {wrong}: host_name: must not be empty\n");
    assert_eq!(String::from_utf8(said.stderr).unwrap(), words);

    let ini = dir.file("wrong.ini", "[standby]\nwarm = 7\n");
    let said = pathwinch(&["check-config", "--config", &sound, "--options", &ini]);
    assert_eq!(said.status.code(), Some(1));
    let words = format!("pathwinch: options file {ini}: standby.warm: 7 is outside 0 to 6\n");
    assert_eq!(String::from_utf8(said.stderr).unwrap(), words);
}

#[test]
fn what_cannot_be_read_ends_with_1() {
    let dir = Dir::new("unread");
    let sound = dir.file("sound.json", fixture(SETTINGS, "settings/full"));
    let none = dir.0.join("none").to_str().unwrap().to_owned();
    for arguments in [
        &["serve", "--config", &none][..],
        &["check-config", "--config", &none],
        &["check-config", "--config", &sound, "--options", &none],
        &["upgraded", "winch-1", "--config", &none],
        // The settings name no such controller.
        &["upgraded", "winch-9", "--config", &sound],
    ] {
        assert_eq!(code(arguments), Some(1), "{arguments:?}");
    }
}

#[test]
fn a_controller_that_cannot_be_reached_ends_with_3() {
    let closed = free_address().to_string();
    assert_eq!(code(&["status", "--at", &closed]), Some(3));
    assert_eq!(code(&["explain", "j-000001", "--at", &closed]), Some(3));
}

/// An address at which nobody listens at this moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Gives each request this answer, for as long as the tests run.
fn answering(status: u16, body: &'static str) -> String {
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
fn answers_to_users_end_with_the_exit_codes_that_they_did() {
    let told = r#"{"ref":"j-000412","stage":"running","done":1,"running":2}"#;
    for (status, body, polled, aborted) in [
        (200, told, 0, 0),
        (404, r#"{"error":"no such job"}"#, 4, 4),
        // A poll asks once, and is to be made again later.
        (422, r#"{"error":"refused"}"#, 3, 5),
    ] {
        let at = answering(status, body);
        let poll = ["poll", "j-000412", "--json", "--at", &at];
        let said = pathwinch(&poll);
        assert_eq!(said.status.code(), Some(polled), "{status}");
        if status == 200 {
            assert_eq!(String::from_utf8(said.stdout).unwrap(), format!("{told}\n"));
        }
        let abort = ["abort", "j-000412", "--at", &at];
        assert_eq!(code(&abort), Some(aborted), "{status}");
    }
}

#[test]
fn reasons_are_named_as_they_were() {
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
fn dues_are_named_as_they_were() {
    for (due, name) in [
        (Due::InTime, "in_time"),
        (Due::AtRisk, "at_risk"),
        (Due::Late, "late"),
    ] {
        assert_eq!(serde_json::to_value(due).unwrap(), name);
        assert_eq!(serde_json::from_value::<Due>(json!(name)).unwrap(), due);
    }
}

fn full_picture() -> ClusterStatus {
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
        cluster: Some(full_picture()),
        versions: vec![
            ("winch-1".into(), Some("0.1.0".into())),
            ("winch-2".into(), None),
        ],
        upgraded: true,
        stopped: Some(("lease lost".into(), 25.5)),
    }
}

#[test]
fn a_status_is_told_as_it_was() {
    is_pinned(ANSWERS, "status/full", &full_status());
    is_pinned(ANSWERS, "status/minimal", &Status::default());
    let bare = Status {
        cluster: Some(ClusterStatus::default()),
        ..Status::default()
    };
    is_pinned(ANSWERS, "status/bare", &bare);
    // Without the fields that came later.
    reads_as(ANSWERS, "status/old", &bare);
    assert_eq!(MOST_ROWS, 100);
}

fn full_explained() -> JobExplanation {
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

fn minimal_explained() -> JobExplanation {
    JobExplanation {
        reason: None,
        verdict: None,
        due: None,
        deadline_s: None,
        places: Vec::new(),
        left_s: None,
        needs: Vec::new(),
        needs_all: 0,
        ..full_explained()
    }
}

#[test]
fn a_job_is_explained_as_it_was() {
    let job = |explained| Explanation::Job(Box::new(explained));
    is_pinned(ANSWERS, "explained/full", &job(full_explained()));
    is_pinned(ANSWERS, "explained/minimal", &job(minimal_explained()));
    reads_as(ANSWERS, "explained/old", &job(minimal_explained()));
    let over = Explanation::Over {
        state: "done".into(),
        done: 12,
    };
    is_pinned(ANSWERS, "explained/over", &over);
    is_pinned(ANSWERS, "explained/none", &Explanation::NoSuchJob);
    let unknown = Explanation::Unknown("nobody leads".into());
    is_pinned(ANSWERS, "explained/unknown", &unknown);
}

#[test]
fn a_jobs_state_is_told_as_it_was() {
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
        is_pinned(ANSWERS, name, &status);
    }
}

/// A process that is ended with its test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A controller whose state service and cloud can't be reached.
fn alone(dir: &Dir) -> (Running, SocketAddr) {
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
    (Running(child), settings.listen)
}

/// Its answer to a request, once it listens.
fn ask(at: SocketAddr, what: &str) -> String {
    let limit = Instant::now() + Duration::from_secs(20);
    let mut stream = loop {
        match TcpStream::connect(at) {
            Ok(stream) => break stream,
            Err(e) if Instant::now() > limit => panic!("{at}: {e}"),
            Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let request = format!(
        "{what} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\n\
                 Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn figures_are_named_as_they_were() {
    let dir = Dir::new("figures");
    let (_controller, listen) = alone(&dir);
    for (what, request) in [
        ("GET /v1/jobs/j-000001", "poll"),
        ("POST /v1/jobs", "submit"),
        ("POST /v1/jobs/j-000001/abort", "abort"),
    ] {
        let told = ask(listen, what);
        assert!(told.starts_with("HTTP/1.1 "), "{told}");
        let figure = format!("pathwinch_answer_seconds_count{{request=\"{request}\"}} 1\n");
        assert!(ask(listen, "GET /metrics").contains(&figure), "{figure}");
    }
    let answer = ask(listen, "GET /metrics");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let content = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    assert!(answer.contains(content), "{answer}");
    let types = answer.lines().filter_map(|l| l.strip_prefix("# TYPE "));
    let mut types: Vec<String> = types.map(str::to_owned).collect();
    // Those that came later have pins of their own; no other may come or go.
    for pin in [
        "figures_later",
        "figures_of_request_budget",
        "figures_of_unread_dependencies",
    ] {
        let later: Vec<String> = serde_json::from_str(fixture(ANSWERS, pin)).unwrap();
        let added: Vec<String> = types.extract_if(.., |name| later.contains(name)).collect();
        is_pinned(ANSWERS, pin, &added);
    }
    is_pinned(ANSWERS, "figures", &types);
}

#[test]
fn labels_of_figures_have_the_values_that_they_had() {
    assert_eq!(AuthorityBasis::LeaseRenewal.text(), "renewal");
    assert_eq!(AuthorityBasis::PeerPromises.text(), "promises");
    for (source, name) in [
        (Source::Memory, "remembered end"),
        (Source::Picture, "leader's picture"),
        (Source::Leader, "leader's word"),
        (Source::Record, "record"),
        (Source::Write, "own write"),
    ] {
        assert_eq!(source.text(), name);
    }
}

#[test]
fn the_service_file_is_as_it_was() {
    let expected = "build = \"cargo build --release\"\n\
                    run = \"target/release/pathwinch serve --config\"\n\
                    production = \"5485c676f5e750b4776189e41ef6527ea6623fa5\"\n";
    assert_eq!(include_str!("../../deploy/service.toml"), expected);
}

#[test]
fn the_markets_file_has_the_keys_and_values_that_it_had() {
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

/// Phases and exit reasons are texts in the JSON of `status` and `explain`.
#[test]
fn phases_and_exit_reasons_are_shown_by_the_names_that_they_had() {
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
