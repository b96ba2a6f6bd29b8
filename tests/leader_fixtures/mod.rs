//! Fixtures for tests that call a `Leader` directly, without I/O: settings, machine
//! records, heartbeats and accepted jobs.
#![allow(dead_code)]

use pathwinch::{
    control::leader::Leader,
    options::Options,
    protocol::{settings::Settings, users::JobSpec, workers::Heartbeat},
    state::{
        cluster::JobHandle,
        records::{JobRecord, MachineRecord},
    },
};
use std::rc::Rc;

/// CPU cores of each machine.
pub const CORES: usize = 100;

/// Returns the settings of a cluster with one zone, one team and no peers.
pub fn settings() -> Settings {
    Settings::parse(
        r#"{"host_name":"n0","area":"a","listen":"127.0.0.1:1","back":"127.0.0.1:2",
            "known":[],"outside":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
            "cluster":{"zones":["a"],"teams":[{"name":"t"}],
            "workers":{"report_s":1.0,"lease_s":10.0,"gang_wait_s":45.0,
                       "gang_peer_s":5.0,"cancel_s":35.0},
            "state":{"rps":200.0,"write_rps":80.0,"value_kb":8.0,"txn_ops":12},
            "cloud":{"rps":5.0,"list_lag_s":3.0},"quota":{"max_sockets":600}}}"#,
    )
    .unwrap()
}

/// Returns the name of machine `number`.
pub fn machine(number: usize) -> String {
    format!("i-{number:06}")
}

/// Returns a heartbeat without tasks of machine `number`, with sequence number `tick`, that
/// acknowledges the token of term 1.
pub fn report(number: usize, tick: u64) -> Heartbeat {
    report_in_term(1, number, tick)
}

/// The same as `report`, with an acknowledged token of `term`.
pub fn report_in_term(term: u64, number: usize, tick: u64) -> Heartbeat {
    let text = format!(
        r#"{{"post":"{}","addr":"127.0.0.1:9","rig":"m","hall":"a","lendback":false,
            "tenure":1,"tick":{tick},"baton":{},"reclaim_in_s":null,"pieces":[]}}"#,
        machine(number),
        term << 20,
    );
    serde_json::from_str(&text).unwrap()
}

/// Returns the leader of `term` with `machines` machine records loaded and no heartbeat
/// received yet.
pub fn leader_without_heartbeats(term: u64, machines: usize) -> Leader {
    let types = format!(
        r#"[{{"sku":"m","cores":{CORES},"memory_gb":1000.0,"local_gb":50.0,"fetch_gb_per_s":1.0,
            "price":3.5,"market_price":1.4,"startup_s":20.0,"halls":["a"]}}]"#,
    );
    let types = serde_json::from_str(&types).unwrap();
    let mut leader = Leader::new(Rc::new(settings()), Options::default(), types, term, 0);
    for n in 0..machines {
        let record = MachineRecord {
            addr: "127.0.0.1:9".into(),
            type_name: "m".into(),
            zone: "a".into(),
            spot: false,
            releasing: false,
            lease_expired: false,
            quarantined: false,
            images: Vec::new(),
        };
        leader.load_machine(&machine(n), record, 1, 0);
    }
    leader
}

/// Accepts a job whose tasks need one core each; returns the job's handle.
pub fn accept(leader: &mut Leader, number: u32, run_shape: &str, tasks: u32) -> JobHandle {
    accept_with_cores(leader, number, run_shape, tasks, 1.0)
}

pub fn accept_with_cores(
    leader: &mut Leader,
    number: u32,
    run_shape: &str,
    tasks: u32,
    cores: f64,
) -> JobHandle {
    accept_with_priority(leader, number, run_shape, "normal", tasks, cores)
}

pub fn accept_with_priority(
    leader: &mut Leader,
    number: u32,
    run_shape: &str,
    urgency: &str,
    tasks: u32,
    cores: f64,
) -> JobHandle {
    let record = record(number, run_shape, urgency, tasks, cores);
    let id = record.spec.id.clone();
    leader.accepted(record, 2, 200);
    leader.cluster.job_handle(&id).unwrap()
}

/// Returns the record of job `number`, just accepted. `run_shape` and `urgency` are values of
/// the submission's JSON fields.
pub fn record(number: u32, run_shape: &str, urgency: &str, tasks: u32, cores: f64) -> JobRecord {
    let text = format!(
        r#"{{"ref":"j-{number:06}","job_family":"c","owner_crew":"t","run_shape":"{run_shape}",
            "urgency":"{urgency}","pieces":{tasks},"cores":{cores},"accelerators":0.0,
            "memory_gb":1.0,"bundle":"image","image_gb":1.0,"same_place":false,"apart":false,
            "lendback":false,"expected_s":35.0,"snapshot_every_s":0.0,"snapshot_cost_s":0.0}}"#,
    );
    let spec = JobSpec::parse(text.as_bytes()).unwrap();
    JobRecord::new(spec, u64::from(number))
}
