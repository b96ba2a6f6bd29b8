//! What is refused at the door, and with what words.

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

fn with(field: &str, value: serde_json::Value) -> Result<JobSpec, String> {
    let mut v = serde_json::to_value(job(1, Kind::Array, 3)).unwrap();
    v[field] = value;
    JobSpec::parse(v.to_string().as_bytes())
}

#[test]
fn malformed_submission_is_rejected_in_one_line() {
    for bad in ["", "[]", "7", "{\"ref\":", "{}", "\"j-000001\""] {
        let why = JobSpec::parse(bad.as_bytes()).unwrap_err();
        assert!(!why.contains('\n'), "{why}");
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
    let never = |spec: &JobSpec| reject_reason(&limited, &types(), spec);
    // An array needs room for one task within the limit, a gang for all.
    assert_eq!(never(&job(1, Kind::Array, 50)), None);
    assert_eq!(never(&job(1, Kind::Gang, 2)), None);
    assert!(never(&job(1, Kind::Gang, 3)).is_some());
    assert!(never(&job(1, Kind::Service, 3)).is_some());
    // A limit of 0 is no limit.
    assert_eq!(
        reject_reason(&settings(0.0), &types(), &job(1, Kind::Gang, 30)),
        None
    );

    let mut spec = job(1, Kind::Array, 1);
    spec.cpus = 8.5;
    assert!(never(&spec).is_some_and(|why| why.contains("machine type")));
    let mut spec = job(1, Kind::Array, 1);
    spec.types = Some(vec!["other".into()]);
    assert!(never(&spec).is_some());
    let mut spec = job(1, Kind::Array, 1);
    spec.zone = Some("nowhere".into());
    assert!(never(&spec).is_some());
    let mut spec = job(1, Kind::Array, 1);
    spec.team = "nobody".into();
    assert!(never(&spec).is_some_and(|why| why.contains("nobody")));
    // What is too long for one value is kept in several.
    let mut spec = job(1, Kind::Array, 100_000);
    spec.types = Some(
        (0..64)
            .map(|i| format!("{i:0>190}"))
            .chain(["m8".into()])
            .collect(),
    );
    assert_eq!(never(&spec), None);
    let mut spec = job(1, Kind::Array, 1);
    spec.dependencies = vec![spec.id.clone()];
    assert!(never(&spec).is_some_and(|why| why.contains("waits_on")));
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
    // Nothing is written that production would not write.
    let plain = serde_json::to_value(job(1, Kind::Array, 1)).unwrap();
    assert!(plain.get("waits_on").is_none());
}

#[test]
fn announced_limits_apply_when_lower() {
    let mut s = settings(0.0).cluster.state;
    assert_eq!(s.always().value_kb, s.value_kb);
    s.next = serde_json::from_str(r#"{"value_kb":2.0,"write_rps":500.0,"other":1}"#).unwrap();
    let always = s.always();
    assert_eq!((always.value_kb, always.txn_ops), (2.0, s.txn_ops));
    assert_eq!((always.rps, always.write_rps), (s.rps, s.write_rps));
}

#[test]
fn settings_error_names_the_field() {
    let good = serde_json::json!({
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
    Settings::parse(&good.to_string()).unwrap();
    for (path, value) in [
        ("/listen", serde_json::json!("here")),
        ("/cluster/workers/lease_s", serde_json::json!(0)),
        ("/cluster/state/txn_ops", serde_json::json!(1)),
        ("/cluster/state/next/value_kb", serde_json::json!(0.5)),
        ("/cluster/state/next/txn_ops", serde_json::json!(1)),
        ("/cluster/quota/max_sockets", serde_json::json!(3)),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).unwrap() = value;
        let why = format!("{:#}", Settings::parse(&bad.to_string()).unwrap_err());
        let field = path.rsplit('/').next().unwrap();
        // Addresses are refused by their own parser, which names the place.
        assert!(
            why.contains(field) || why.contains("line 1"),
            "{path}: {why}"
        );
    }
}

#[test]
fn example_options_parse_and_unknown_keys_fail() {
    let example = include_str!("../examples/pathwinch.ini");
    assert_eq!(Options::parse(example).unwrap().threshold, 0.4);
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
    let ask = Request::Resigned { term: 7 };
    let bytes = frames::encode(ask).unwrap();
    assert!(matches!(
        frames::decode::<Request>(&bytes[4..]),
        Ok(Request::Resigned { term: 7 })
    ));
    let huge = Reply::Forwarded {
        status: 200,
        retry_after_s: None,
        body: vec![255; 200_000],
    };
    assert!(frames::encode(huge).is_err());
    let mut other = Vec::new();
    let frame = Frame {
        v: 99,
        body: Request::Resigned { term: 7 },
    };
    ciborium::into_writer(&frame, &mut other).unwrap();
    assert!(frames::decode::<Request>(&other).is_err());
    assert!(frames::decode::<Request>(&[0xff, 0x00, 0x13]).is_err());
}

#[test]
fn cli_without_reply_prints_one_line_and_code() {
    let wrong = operator::status("nowhere", false).unwrap_err();
    assert_eq!(wrong.code(), 2);
    // A port that was just free: nobody listens there.
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap().to_string();
    drop(free);
    let nobody = operator::explain(&addr, "j-000001", false).unwrap_err();
    assert_eq!(nobody.code(), 3);
    for failure in [wrong, nobody] {
        assert!(!failure.text().contains('\n'), "{}", failure.text());
    }
}

#[test]
fn largest_status_fits_one_frame() {
    let name = "n".repeat(60);
    let rows = || std::iter::repeat_n((), status::MOST_ROWS);
    let picture = status::ClusterStatus {
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
        cluster: Some(picture),
        ..Default::default()
    };
    frames::encode(Reply::Status(Box::new(status))).unwrap();
}
