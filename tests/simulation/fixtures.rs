//! Fixed inputs of the simulation: settings, the machine type, machine records and jobs.

use pathwinch::{
    protocol::{
        cloud::MachineType,
        settings::Settings,
        users::{JobSpec, Kind, Priority},
    },
    state::records::MachineRecord,
};

/// Returns the settings of a cluster with two zones and three teams; `cpus_max` is the CPU
/// limit of team `t`.
pub fn settings(cpus_max: f64) -> Settings {
    Settings::parse(
        &serde_json::json!({
            "host_name": "n0", "area": "a", "listen": "127.0.0.1:1", "back": "127.0.0.1:2",
            "known": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "cluster": {
                "zones": ["a", "b"],
                "teams": [{"name": "t", "cpus": 8.0, "cpus_max": cpus_max},
                          {"name": "u", "cpus": 8.0}, {"name": "guests"}],
                "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0,
                            "gang_peer_s": 5.0, "cancel_s": 35.0},
                "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 12},
                "cloud": {"rps": 5.0, "list_lag_s": 3.0},
                "quota": {"max_sockets": 600}
            }
        })
        .to_string(),
    )
    .unwrap()
}

/// Returns the only machine type of the cloud, with capacity for two tasks of `job`.
pub fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 1.0,
        price: 0.33,
        spot_price: 0.11,
        boot_s: 5.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

/// Returns a list of allowed machine types that makes a job spec larger than 6 KiB and
/// smaller than 8 KiB.
pub fn many_types() -> Vec<String> {
    let names = (0..40).map(|k| format!("kind-{k:02}-{}", "x".repeat(150)));
    names.chain(["m8".to_owned()]).collect()
}

/// Returns the stored record of a machine on which tasks may run.
pub fn machine_record() -> MachineRecord {
    MachineRecord {
        addr: "127.0.0.1:9".into(),
        type_name: "m8".into(),
        zone: "a".into(),
        spot: false,
        releasing: false,
        lease_expired: false,
        quarantined: false,
        images: Vec::new(),
    }
}

/// Returns the id of job number `n`.
pub fn id(n: u32) -> String {
    format!("j-{n:06}")
}

/// Returns job number `n` of team `t`, whose tasks take half a machine each.
pub fn job(n: u32, kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("j-{n:06}"),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 8.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        single_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Returns an array job of `tasks` tasks that depends on the jobs with these numbers.
pub fn dependent(n: u32, tasks: u32, dependencies: &[u32]) -> JobSpec {
    let mut spec = job(n, Kind::Array, tasks);
    spec.dependencies = dependencies.iter().map(|n| id(*n)).collect();
    spec
}

/// Returns a gang of high priority whose tasks take a whole machine each, all in one zone.
pub fn whole_machines(n: u32, tasks: u32) -> JobSpec {
    let mut gang = job(n, Kind::Gang, tasks);
    gang.priority = Priority::High;
    gang.cpus = 8.0;
    gang.single_zone = true;
    gang
}
