//! Validation of input: submissions, settings, options, frames between controllers, and the
//! command line. Invalid input must be rejected with a clear message of one line.

mod simulation;

use pathwinch::{
    control::admission::reject_reason,
    operator,
    options::Options,
    protocol::{
        peers::{Frame, Reply, Request},
        settings::Settings,
        status,
        users::{JobSpec, Kind, is_valid_job_id},
    },
    transport::frames,
};
use simulation::{job, settings, types};

/// Parses a submission in which `field` has this value.
fn with(field: &str, value: serde_json::Value) -> Result<JobSpec, String> {
    let mut body = serde_json::to_value(job(1, Kind::Array, 3)).unwrap();
    body[field] = value;
    JobSpec::parse(body.to_string().as_bytes())
}

#[test]
fn malformed_submission_is_rejected_in_one_line() {
    for body in ["", "[]", "7", "{\"ref\":", "{}", "\"j-000001\""] {
        let error = JobSpec::parse(body.as_bytes()).unwrap_err();
        assert!(!error.contains('\n'), "{error}");
    }
    for (field, value) in [
        ("ref", serde_json::json!("job-1")),
        ("ref", serde_json::json!("j-12a456")),
        ("pieces", serde_json::json!(0)),
        ("pieces", serde_json::json!(100_001)),
        ("pieces", serde_json::json!(-1)),
        ("pieces", serde_json::json!(1.5)),
        ("cores", serde_json::json!(-0.5)),
        ("cores", serde_json::json!("NaN")),
        ("memory_gb", serde_json::json!(1e300)),
        ("expected_s", serde_json::Value::Null),
        ("run_shape", serde_json::json!("swarm")),
        ("urgency", serde_json::json!(3)),
        ("bundle", serde_json::json!("")),
        ("same_place", serde_json::json!("yes")),
    ] {
        assert!(with(field, value.clone()).is_err(), "{field}: {value}");
    }
}

#[test]
fn unknown_fields_are_ignored_and_nullable_fields_optional() {
    assert!(with("colour", serde_json::json!("red")).is_ok());
    for field in ["hall", "rigs", "due_s"] {
        assert!(with(field, serde_json::Value::Null).is_ok(), "{field}");
    }
    assert!(with("due_s", serde_json::json!(30.5)).is_ok());
    assert!(is_valid_job_id("j-000412") && is_valid_job_id("j-1234567"));
    assert!(!is_valid_job_id("j-") && !is_valid_job_id("j-12") && !is_valid_job_id("j-0004/2"));
}

#[test]
fn infeasible_job_is_distinguished_from_waiting_job() {
    let limited = settings(8.0);
    let reason = |spec: &JobSpec| reject_reason(&limited, &types(), spec);
    // Within the team's limit, an array needs capacity for one task, a gang or service for all.
    assert_eq!(reason(&job(1, Kind::Array, 50)), None);
    assert_eq!(reason(&job(1, Kind::Gang, 2)), None);
    assert!(reason(&job(1, Kind::Gang, 3)).is_some());
    assert!(reason(&job(1, Kind::Service, 3)).is_some());
    // A limit of 0 means no limit.
    assert_eq!(
        reject_reason(&settings(0.0), &types(), &job(1, Kind::Gang, 30)),
        None
    );

    let mut spec = job(1, Kind::Array, 1);
    spec.cpus = 8.5;
    assert!(reason(&spec).is_some_and(|why| why.contains("machine type")));
    let mut spec = job(1, Kind::Array, 1);
    spec.types = Some(vec!["other".into()]);
    assert!(reason(&spec).is_some());
    let mut spec = job(1, Kind::Array, 1);
    spec.zone = Some("nowhere".into());
    assert!(reason(&spec).is_some());
    let mut spec = job(1, Kind::Array, 1);
    spec.team = "nobody".into();
    assert!(reason(&spec).is_some_and(|why| why.contains("nobody")));
    // A spec that is too large for one value is stored in chunks, so it is not rejected.
    let mut spec = job(1, Kind::Array, 100_000);
    spec.types = Some(
        (0..64)
            .map(|i| format!("{i:0>190}"))
            .chain(["m8".into()])
            .collect(),
    );
    assert_eq!(reason(&spec), None);
    let mut spec = job(1, Kind::Array, 1);
    spec.dependencies = vec![spec.id.clone()];
    assert!(reason(&spec).is_some_and(|why| why.contains("waits_on")));
}

#[test]
fn dependencies_parse_as_id_list_or_nothing() {
    let with = |value: serde_json::Value| {
        let mut body = serde_json::to_value(job(1, Kind::Array, 1)).unwrap();
        body["waits_on"] = value;
        JobSpec::parse(body.to_string().as_bytes()).map(|s| s.dependencies)
    };
    for none in [serde_json::json!(null), serde_json::json!([])] {
        assert_eq!(with(none), Ok(Vec::new()));
    }
    let doubled = serde_json::json!(["j-000405", "j-000398", "j-000405"]);
    assert_eq!(with(doubled).unwrap(), ["j-000405", "j-000398"]);
    for wrong in [
        serde_json::json!("j-000398"),
        serde_json::json!({}),
        serde_json::json!([7]),
        serde_json::json!(["j-1"]),
        serde_json::json!([null]),
    ] {
        assert!(with(wrong).unwrap_err().contains("waits_on"));
    }
    // An empty list is left out of the serialized job, as production leaves it out.
    let plain = serde_json::to_value(job(1, Kind::Array, 1)).unwrap();
    assert!(plain.get("waits_on").is_none());
}

#[test]
fn announced_limits_apply_when_lower() {
    let mut limits = settings(0.0).cluster.state;
    assert_eq!(limits.strictest().value_kb, limits.value_kb);
    limits.next = serde_json::from_str(r#"{"value_kb":2.0,"write_rps":500.0,"other":1}"#).unwrap();
    let effective = limits.strictest();
    assert_eq!(
        (effective.value_kb, effective.txn_ops),
        (2.0, limits.txn_ops)
    );
    assert_eq!(
        (effective.rps, effective.write_rps),
        (limits.rps, limits.write_rps)
    );
}

#[test]
fn settings_error_names_the_field() {
    let valid = serde_json::json!({
        "host_name": "n0", "area": "a", "listen": "127.0.0.1:1", "back": "127.0.0.1:2",
        "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"}, "later": 1,
        "cluster": {
            "zones": ["a"], "teams": [],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0,
                        "gang_peer_s": 5.0, "cancel_s": 35.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 12,
                      "next": {"value_kb": 2.0, "txn_ops": 4}},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "quota": {"max_sockets": 600}
        }
    });
    Settings::parse(&valid.to_string()).unwrap();
    for (path, value) in [
        ("/listen", serde_json::json!("here")),
        ("/cluster/workers/lease_s", serde_json::json!(0)),
        ("/cluster/state/txn_ops", serde_json::json!(1)),
        ("/cluster/state/next/value_kb", serde_json::json!(0.5)),
        ("/cluster/state/next/txn_ops", serde_json::json!(1)),
        ("/cluster/quota/max_sockets", serde_json::json!(3)),
    ] {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).unwrap() = value;
        let error = format!("{:#}", Settings::parse(&invalid.to_string()).unwrap_err());
        let field = path.rsplit('/').next().unwrap();
        // The parser of addresses reports the position instead of the field.
        assert!(
            error.contains(field) || error.contains("line 1"),
            "{path}: {error}"
        );
    }
}

#[test]
fn example_options_parse_and_unknown_keys_fail() {
    let example = include_str!("../examples/pathwinch.ini");
    assert_eq!(Options::parse(example).unwrap().busy_threshold, 0.4);
    for bad in [
        "[placement]\nthreshhold = 0.4",
        "[placement]\nthreshold = 1.4",
        "[placement]\nload = most",
        "[placement]\nshapes = 4/0",
        "[provision]\nidle_s = soon",
        "[cloud]\nidle_s = 3",
    ] {
        assert!(Options::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn controller_frames_are_size_limited_and_versioned() {
    let request = Request::Resigned { term: 7 };
    let bytes = frames::encode(request).unwrap();
    assert!(matches!(
        frames::decode::<Request>(&bytes[4..]),
        Ok(Request::Resigned { term: 7 })
    ));
    let oversized = Reply::Forwarded {
        status: 200,
        retry_after_s: None,
        body: vec![255; 200_000],
    };
    assert!(frames::encode(oversized).is_err());
    let mut other_version = Vec::new();
    let frame = Frame {
        v: 99,
        body: Request::Resigned { term: 7 },
    };
    ciborium::into_writer(&frame, &mut other_version).unwrap();
    assert!(frames::decode::<Request>(&other_version).is_err());
    assert!(frames::decode::<Request>(&[0xff, 0x00, 0x13]).is_err());
}

#[test]
fn cli_without_reply_prints_one_line_and_code() {
    let invalid_address = operator::status("nowhere", false).unwrap_err();
    assert_eq!(invalid_address.code(), 2);
    // Nothing listens on this port, which was free just before.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let no_reply = operator::explain(&addr, "j-000001", false).unwrap_err();
    assert_eq!(no_reply.code(), 3);
    for failure in [invalid_address, no_reply] {
        assert!(!failure.text().contains('\n'), "{}", failure.text());
    }
}

#[test]
fn largest_status_fits_one_frame() {
    let name = "n".repeat(60);
    let rows = || std::iter::repeat_n((), status::MAX_LIST_ROWS);
    let cluster = status::ClusterStatus {
        groups: rows()
            .map(|_| status::JobGroup {
                class: name.clone(),
                team: name.clone(),
                reasons: vec![(status::PendingReason::CloudRefuses, u32::MAX); 10],
                ..Default::default()
            })
            .collect(),
        teams: rows()
            .map(|_| status::TeamUsage {
                name: name.clone(),
                ..Default::default()
            })
            .collect(),
        fleet: rows()
            .map(|_| status::MachineGroup {
                type_name: name.clone(),
                zone: name.clone(),
                ..Default::default()
            })
            .collect(),
        troubles: rows()
            .map(|_| status::MachineProblem {
                machine: name.clone(),
                why: name.clone(),
            })
            .collect(),
        ..Default::default()
    };
    let status = status::Status {
        cluster: Some(cluster),
        ..Default::default()
    };
    frames::encode(Reply::Status(Box::new(status))).unwrap();
}
