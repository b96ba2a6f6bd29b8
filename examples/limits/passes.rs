//! Scheduling cycles of a leader whose machines have two types in 15 zones, each with a
//! random number of running tasks of four shapes.

use anyhow::{Context, Result, ensure};
use pathwinch::{
    control::leader::Leader,
    options::Options,
    protocol::{cloud::MachineType, settings::Settings, users::JobSpec, workers::Heartbeat},
    state::records::{JobRecord, MachineRecord},
};
use std::rc::Rc;

const ZONES: usize = 15;
const IMAGES: usize = 16;
/// Time of all heartbeats and scheduling cycles, in milliseconds.
const NOW_MS: u64 = 1_000;
/// Cores, accelerators and memory in GB of a task.
type Shape = (f64, f64, f64);
const SHAPES: [Shape; 4] = [
    (5.0, 0.0, 10.0),
    (5.0, 0.0, 12.0),
    (4.0, 1.0, 40.0),
    (1.0, 0.0, 2.0),
];
/// Number of tasks of an array to be placed.
pub const ARRAY: u32 = 500;
/// Number of tasks of a gang to be placed.
pub const GANG: u32 = 256;

fn zone(number: usize) -> String {
    format!("zone-{number:02}")
}

fn settings() -> Result<Settings> {
    let zones: Vec<String> = (0..ZONES).map(zone).collect();
    let text = serde_json::json!({
        "host_name": "n0", "area": zone(0), "listen": "127.0.0.1:1", "back": "127.0.0.1:2",
        "known": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "cluster": {
            "zones": zones, "teams": [{"name": "t"}],
            "workers": {"report_s": 5.0, "lease_s": 26.5, "gang_wait_s": 45.0,
                        "gang_peer_s": 5.0, "cancel_s": 56.5},
            "state": {"rps": 1400.0, "write_rps": 500.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 30.0, "list_lag_s": 3.0}, "quota": {"max_sockets": 8000}
        }
    });
    Settings::parse(&text.to_string())
}

fn machine_types() -> Result<Vec<MachineType>> {
    let zones: Vec<String> = (0..ZONES).map(zone).collect();
    let types = serde_json::json!([
        {"sku": "c64", "cores": 64.0, "memory_gb": 256.0, "local_gb": 200.0,
         "fetch_gb_per_s": 1.0, "price": 3.5, "market_price": 3.5, "halls": zones},
        {"sku": "g4", "cores": 48.0, "accelerators": 4.0, "memory_gb": 384.0,
         "local_gb": 200.0, "fetch_gb_per_s": 1.0, "price": 12.0, "market_price": 12.0,
         "halls": zones},
    ]);
    Ok(serde_json::from_value(types)?)
}

fn job(
    number: usize,
    image: usize,
    shape: Shape,
    run_shape: &str,
    tasks: u32,
) -> Result<JobRecord> {
    let (cores, accelerators, memory_gb) = shape;
    let spec = serde_json::json!({
        "ref": format!("j-{number:06}"), "job_family": "c", "owner_crew": "t",
        "run_shape": run_shape, "urgency": "normal", "pieces": tasks, "cores": cores,
        "accelerators": accelerators, "memory_gb": memory_gb,
        "bundle": format!("image-{}", image % IMAGES), "image_gb": 1.0, "same_place": false,
        "apart": false, "lendback": false, "expected_s": 60.0, "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0
    });
    let spec = JobSpec::parse(spec.to_string().as_bytes()).map_err(anyhow::Error::msg)?;
    Ok(JobRecord::new(spec, 0))
}

/// A leader with heartbeats of all machines, which run random tasks, and the number of
/// the next job.
pub struct Bench {
    leader: Leader,
    next_job: usize,
}

impl Bench {
    pub fn new(machines: usize) -> Result<Self> {
        let mut rng = fastrand::Rng::with_seed(7);
        let settings = Rc::new(settings()?);
        let mut leader = Leader::new(settings, Options::default(), machine_types()?, 1, 0);
        for n in 0..machines {
            let record = MachineRecord {
                addr: "127.0.0.1:9".into(),
                type_name: type_name(n).into(),
                zone: zone(n % ZONES),
                spot: false,
                releasing: false,
                lease_expired: false,
                quarantined: false,
                images: vec![format!("image-{}", rng.usize(..IMAGES))],
            };
            leader.load_machine(&format!("i-{n:06}"), record, 1, 0);
        }
        // One job of each shape for every ten machines.
        let jobs = 4 * machines.div_ceil(10);
        for n in 0..jobs {
            leader.load_job(job(n, n, SHAPES[n % 4], "array", 1_000)?, 1, 0);
        }
        leader.finish_loading(0);
        let mut next_task = vec![0; jobs];
        for n in 0..machines {
            leader.on_heartbeat(&heartbeat(n, jobs, &mut next_task, &mut rng)?, NOW_MS);
        }
        // Cancels these jobs, so that none of their tasks waits.
        for n in 0..jobs {
            leader.cancel(&format!("j-{n:06}"));
        }
        leader.tick(NOW_MS, NOW_MS);
        Ok(Bench {
            leader,
            next_job: jobs,
        })
    }

    /// Runs scheduling cycles that find no waiting task.
    pub fn idle(&mut self, count: usize) -> Result<()> {
        for _ in 0..count {
            // The job is known already; loading it again only triggers a scheduling
            // cycle in the next round.
            self.leader
                .load_job(job(0, 0, SHAPES[0], "array", 1_000)?, 1, NOW_MS);
            self.leader.tick(NOW_MS, NOW_MS);
        }
        Ok(())
    }

    /// Accepts and places `count` jobs of `tasks` tasks, each in its own scheduling cycle.
    /// With `same_image` all jobs use one image, otherwise they rotate through the images.
    pub fn place(
        &mut self,
        run_shape: &str,
        tasks: u32,
        same_image: bool,
        count: usize,
    ) -> Result<()> {
        for _ in 0..count {
            let number = self.next_job;
            self.next_job += 1;
            let image = if same_image { 0 } else { number };
            let record = job(number, image, (1.0, 0.0, 2.0), run_shape, tasks)?;
            self.leader.accepted(record, 2, NOW_MS);
            self.leader.tick(NOW_MS, NOW_MS);
            let id = format!("j-{number:06}");
            let handle = self
                .leader
                .cluster
                .job_handle(&id)
                .context("the leader does not know the job")?;
            let waiting = self
                .leader
                .cluster
                .job(handle)
                .map_or(tasks, |j| j.waiting_count());
            ensure!(
                waiting == 0,
                "{waiting} of {tasks} tasks are still waiting after the scheduling cycle"
            );
        }
        Ok(())
    }
}

fn type_name(machine: usize) -> &'static str {
    if machine.is_multiple_of(2) {
        "c64"
    } else {
        "g4"
    }
}

/// Returns a heartbeat with 5 to 9 running tasks that fit on the machine.
fn heartbeat(
    machine: usize,
    jobs: usize,
    next_task: &mut [u32],
    rng: &mut fastrand::Rng,
) -> Result<Heartbeat> {
    let accelerators = type_name(machine) == "g4";
    let mut pieces = Vec::new();
    let mut gpus = 0;
    for _ in 0..rng.usize(5..=9) {
        let mut shape = rng.usize(..4);
        if shape == 2 && (!accelerators || gpus == 4) {
            shape = 3;
        }
        gpus += usize::from(shape == 2);
        let number = rng.usize(..jobs / 4) * 4 + shape;
        let task = next_task[number];
        next_task[number] += 1;
        pieces.push(serde_json::json!({
            "piece": format!("j-{number:06}/{task}"), "try": 7, "stage": "running"
        }));
    }
    let text = serde_json::json!({
        "post": format!("i-{machine:06}"), "addr": "127.0.0.1:9", "rig": type_name(machine),
        "hall": zone(machine % ZONES), "lendback": false, "tenure": 1, "tick": 1,
        "baton": 1u64 << 20, "pieces": pieces
    });
    Ok(serde_json::from_value(text)?)
}
