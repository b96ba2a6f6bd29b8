//! Benchmark operations of a leader, whose cost is measured from outside the process:
//! see docs/limits.md. Each call runs one operation N times:
//!
//!     limits reports MACHINES N   heartbeats without changes, parsed and answered
//!     limits first MACHINES N     terms that answer a first heartbeat of each machine
//!     limits polls MACHINES N     polls of live jobs
//!     limits memory JOBS N        N finished jobs in memory in addition to JOBS live ones
//!     limits told MACHINES N      changes of a machine, replicated to a standby
//!     limits takeover MACHINES N  warm takeovers with the tasks of MACHINES machines
//!     limits idle MACHINES N      scheduling cycles with no waiting task
//!     limits task MACHINES N      jobs of one task, accepted and placed
//!     limits array MACHINES N     arrays of 500 tasks, accepted and placed
//!     limits gang MACHINES N      gangs of 256 tasks, accepted and placed
//!     limits array-again, limits gang-again: the same, all jobs with one image

mod passes;

use anyhow::{Context, Result, bail};
use pathwinch::{
    control::{
        leader::Leader,
        standby::replica::{Replica, ReplicaReceiver},
    },
    options::Options,
    protocol::{
        cloud::MachineType,
        peers::{ReplicationPart, Request},
        settings::Settings,
        users::{JobSpec, JobState, JobStatus},
        workers::Heartbeat,
    },
    state::records::{JobRecord, MachineRecord, StandbyRecord},
    transport::frames,
};
use std::rc::Rc;

fn settings() -> Result<Settings> {
    Settings::parse(
        r#"{"host_name":"n0","area":"a","listen":"127.0.0.1:1","back":"127.0.0.1:2",
            "known":[],"outside":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
            "cluster":{"zones":["a"],"teams":[{"name":"t"}],
            "workers":{"report_s":1.0,"lease_s":10.0,"gang_wait_s":45.0,
                       "gang_peer_s":5.0,"cancel_s":35.0},
            "state":{"rps":200.0,"write_rps":80.0,"value_kb":8.0,"txn_ops":12},
            "cloud":{"rps":5.0,"list_lag_s":3.0},"quota":{"max_sockets":600}}}"#,
    )
}

fn machine_type() -> Result<MachineType> {
    Ok(serde_json::from_str(
        r#"{"sku":"m","cores":64.0,"memory_gb":256.0,"local_gb":50.0,"fetch_gb_per_s":1.0,
            "price":3.5,"market_price":1.4,"startup_s":20.0,"halls":["a"]}"#,
    )?)
}

fn job(n: usize) -> Result<JobRecord> {
    let spec = format!(
        r#"{{"ref":"j-{n:06}","job_family":"c","owner_crew":"t","run_shape":"array",
            "urgency":"normal","pieces":80,"cores":4.0,"accelerators":0.0,"memory_gb":15.0,
            "bundle":"img-{}","image_gb":1.8,"same_place":false,"apart":false,"lendback":true,
            "expected_s":35.0,"snapshot_every_s":0.0,"snapshot_cost_s":0.0,"due_s":300.0}}"#,
        n % 16
    );
    let spec = JobSpec::parse(spec.as_bytes()).map_err(anyhow::Error::msg)?;
    Ok(JobRecord::new(spec, 0))
}

/// Builds the replication message number `part` to a standby, with the tasks of these
/// machines.
fn replication_part(
    leader: &Leader,
    part: u64,
    machines: impl Iterator<Item = usize>,
) -> ReplicationPart {
    let machine_tasks = machines.map(|n| leader.cluster.tasks_on(&format!("i-{n:06}")));
    ReplicationPart {
        term: 1,
        stream: 1,
        part,
        complete: true,
        counted: true,
        machines: machine_tasks.collect(),
    }
}

/// Returns a leader that has loaded the records of this number of machines and jobs, but
/// has received no heartbeat.
fn loaded_leader(machines: usize, jobs: usize) -> Result<Leader> {
    let types = vec![machine_type()?];
    let mut leader = Leader::new(Rc::new(settings()?), Options::default(), types, 1, 0);
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
        leader.load_machine(&format!("i-{n:06}"), record, 1, 0);
    }
    for n in 0..jobs {
        leader.load_job(job(n)?, 1, 0);
    }
    leader.finish_loading(0);
    Ok(leader)
}

/// Fencing token of the term of `loaded_leader`, and one of an earlier term.
const TOKEN: u64 = 1 << 20;
const EARLIER_TOKEN: u64 = TOKEN - 1;

/// Returns a heartbeat of each machine, which lists 16 tasks and acknowledges the token, with the
/// placeholder `TICK` for the sequence number.
fn heartbeats(machines: usize, token: u64) -> Vec<String> {
    let mut bodies = Vec::new();
    for n in 0..machines {
        let tasks: Vec<String> = (0..16)
            .map(|t| {
                // Five machines share a job of 80 tasks.
                let (id, task) = (n / 5, n % 5 * 16 + t);
                format!(r#"{{"piece":"j-{id:06}/{task}","try":7,"stage":"running"}}"#)
            })
            .collect();
        bodies.push(format!(
            r#"{{"post":"i-{n:06}","addr":"127.0.0.1:9","rig":"m","hall":"a","lendback":false,
                "tenure":1,"tick":TICK,"baton":{token},"reclaim_in_s":null,"pieces":[{}]}}"#,
            tasks.join(",")
        ));
    }
    bodies
}

/// Returns a leader whose machines have all reported 16 tasks each, and their heartbeats.
fn reporting_leader(machines: usize, jobs: usize) -> Result<(Leader, Vec<String>)> {
    let mut leader = loaded_leader(machines, jobs)?;
    let bodies = heartbeats(machines, TOKEN);
    for body in &bodies {
        let report: Heartbeat = serde_json::from_str(&body.replace("TICK", "1"))?;
        leader.on_heartbeat(&report, 1000);
    }
    leader.tick(1000, 1000);
    Ok((leader, bodies))
}

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let [_, operation, size, count] = args.as_slice() else {
        bail!("usage: limits OPERATION SIZE N, see the documentation at the top of this file");
    };
    let size: usize = size.parse().context("SIZE")?;
    let count: usize = count.parse().context("N")?;
    match operation.as_str() {
        "reports" => {
            let (mut leader, bodies) = reporting_leader(size, size / 5 + 1)?;
            for n in 0..count {
                let body = bodies[n % size].replace("TICK", &(n / size + 2).to_string());
                let report: Heartbeat = serde_json::from_str(&body)?;
                let reply = leader
                    .on_heartbeat(&report, 1001)
                    .context("the leader did not answer the heartbeat")?;
                std::hint::black_box(serde_json::to_vec(&reply)?);
            }
        }
        "first" => {
            let bodies = heartbeats(size, EARLIER_TOKEN);
            for _ in 0..count {
                let mut leader = loaded_leader(size, size / 5 + 1)?;
                for body in &bodies {
                    let report: Heartbeat = serde_json::from_str(&body.replace("TICK", "1"))?;
                    let reply = leader
                        .on_heartbeat(&report, 1000)
                        .context("the leader did not answer the heartbeat")?;
                    std::hint::black_box(serde_json::to_vec(&reply)?);
                }
            }
        }
        "polls" => {
            let (leader, _) = reporting_leader(size, size / 5 + 1)?;
            for n in 0..count {
                let id = format!("j-{:06}", n % (size / 5 + 1));
                let status = leader
                    .status(&id)
                    .context("the leader does not know the job")?;
                std::hint::black_box(serde_json::to_vec(&status)?);
            }
        }
        "memory" => {
            let (mut leader, _) = reporting_leader(400, size)?;
            for n in 0..count {
                let status = JobStatus {
                    id: format!("j-{:06}", 500_000 + n),
                    state: JobState::Done,
                    done: 80,
                    running: 0,
                };
                leader.remember_final_state(&status, 0);
            }
            let status = std::fs::read_to_string("/proc/self/status")?;
            let line = status.lines().find(|l| l.starts_with("VmRSS"));
            println!(
                "{} {}",
                leader.cluster.live_jobs(),
                line.unwrap_or("VmRSS unknown")
            );
        }
        "told" => {
            let (leader, _) = reporting_leader(size, size / 5 + 1)?;
            let (mut standby, mut bytes) = (ReplicaReceiver::default(), 0);
            for n in 0..count {
                let part = replication_part(&leader, n as u64, std::iter::once(n % size));
                let frame = frames::encode(Request::Replicate(part))?;
                bytes += frame.len();
                let Request::Replicate(part) = frames::decode(&frame[4..])? else {
                    bail!("the decoded message is not a replication message");
                };
                anyhow::ensure!(
                    standby.apply_part(part, 0),
                    "the standby rejected the message"
                );
            }
            println!("{} bytes a change of one machine", bytes / count);
        }
        "takeover" => {
            let (source, _) = reporting_leader(size, size / 5 + 1)?;
            let mut standby = ReplicaReceiver::default();
            let all = replication_part(&source, 0, 0..size);
            println!(
                "{} bytes",
                frames::encode(Request::Replicate(all.clone())).map_or(0, |f| f.len())
            );
            anyhow::ensure!(
                standby.apply_part(all, 0),
                "the standby rejected the message"
            );
            let replica: Replica = standby
                .take_replica(2)
                .context("the standby has no complete replica")?;
            for _ in 0..count {
                std::hint::black_box(replica.placements_latest_first());
                let mut leader = loaded_leader(size, size / 5 + 1)?;
                leader.set_inherited_replica(7, Some(replica.clone()));
                leader.load_standbys(Some((
                    StandbyRecord {
                        term: 1,
                        standbys: vec![("n0".into(), 7)],
                        known_to_all: true,
                    },
                    1,
                )));
                leader.tick(1_000, 1_000);
                anyhow::ensure!(leader.is_warm(), "the takeover was not warm");
            }
        }
        "idle" => passes::Bench::new(size)?.idle(count)?,
        "task" => passes::Bench::new(size)?.place("array", 1, false, count)?,
        "array" => passes::Bench::new(size)?.place("array", passes::ARRAY, false, count)?,
        "gang" => passes::Bench::new(size)?.place("gang", passes::GANG, false, count)?,
        "array-again" => passes::Bench::new(size)?.place("array", passes::ARRAY, true, count)?,
        "gang-again" => passes::Bench::new(size)?.place("gang", passes::GANG, true, count)?,
        other => bail!("{other}: unknown operation, see the documentation at the top of this file"),
    }
    Ok(())
}
