//! What a leader costs, to be counted from outside: see docs/limits.md.
//!
//!     limits reports MACHINES N   N reports without news, parsed and answered
//!     limits polls MACHINES N     N polls of live jobs
//!     limits memory JOBS N        N finished jobs beside JOBS live ones
//!     limits told MACHINES N      N changes of a machine, told and taken in
//!     limits takeover MACHINES N  N takeovers of what MACHINES hold
//!     limits idle MACHINES N      N passes of placement with nothing waiting
//!     limits task MACHINES N      N jobs of one task, accepted and placed
//!     limits array MACHINES N     N arrays of 500 tasks, accepted and placed
//!     limits gang MACHINES N      N gangs of 256 tasks, accepted and placed
//!     limits array-again, limits gang-again: the same, all with one image

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

/// What a standby is told of these machines, as part `part` of its stream.
fn tell(l: &Leader, part: u64, machines: impl Iterator<Item = usize>) -> ReplicationPart {
    let held = machines.map(|n| l.cluster.tasks_on(&format!("i-{n:06}")));
    ReplicationPart {
        term: 1,
        stream: 1,
        part,
        complete: true,
        counted: true,
        machines: held.collect(),
    }
}

/// A leader that has read records of so many machines and jobs.
fn unheard(machines: usize, jobs: usize) -> Result<Leader> {
    let types = vec![machine_type()?];
    let mut l = Leader::new(Rc::new(settings()?), Options::default(), types, 1, 0);
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
        l.load_machine(&format!("i-{n:06}"), record, 1, 0);
    }
    for n in 0..jobs {
        l.load_job(job(n)?, 1, 0);
    }
    l.finish_loading(0);
    Ok(l)
}

/// A leader with so many machines of 16 tasks each, all reported.
fn leader(machines: usize, jobs: usize) -> Result<(Leader, Vec<String>)> {
    let mut l = unheard(machines, jobs)?;
    let term = 1u64;
    let token = term << 20;
    let mut bodies = Vec::new();
    for n in 0..machines {
        let tasks: Vec<String> = (0..16)
            .map(|t| {
                // Task numbers below 80: five machines share a job.
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
    for body in &bodies {
        let report: Heartbeat = serde_json::from_str(&body.replace("TICK", "1"))?;
        l.on_heartbeat(&report, 1000);
    }
    l.tick(1000, 1000);
    Ok((l, bodies))
}

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let [_, what, size, count] = args.as_slice() else {
        bail!("usage: limits WHAT SIZE N, see the head of this file");
    };
    let size: usize = size.parse().context("SIZE")?;
    let count: usize = count.parse().context("N")?;
    match what.as_str() {
        "reports" => {
            let (mut l, bodies) = leader(size, size / 5 + 1)?;
            for n in 0..count {
                let body = bodies[n % size].replace("TICK", &(n / size + 2).to_string());
                let report: Heartbeat = serde_json::from_str(&body)?;
                let reply = l.on_heartbeat(&report, 1001).context("not answered")?;
                std::hint::black_box(serde_json::to_vec(&reply)?);
            }
        }
        "polls" => {
            let (l, _) = leader(size, size / 5 + 1)?;
            for n in 0..count {
                let id = format!("j-{:06}", n % (size / 5 + 1));
                let status = l.status(&id).context("not known")?;
                std::hint::black_box(serde_json::to_vec(&status)?);
            }
        }
        "memory" => {
            let (mut l, _) = leader(400, size)?;
            for n in 0..count {
                let status = JobStatus {
                    id: format!("j-{:06}", 500_000 + n),
                    state: JobState::Done,
                    done: 80,
                    running: 0,
                };
                l.remember_final_state(&status, 0);
            }
            let status = std::fs::read_to_string("/proc/self/status")?;
            let line = status.lines().find(|l| l.starts_with("VmRSS"));
            println!(
                "{} {}",
                l.cluster.live_jobs(),
                line.unwrap_or("VmRSS unknown")
            );
        }
        "told" => {
            let (l, _) = leader(size, size / 5 + 1)?;
            let (mut follower, mut bytes) = (ReplicaReceiver::default(), 0);
            for n in 0..count {
                let part = tell(&l, n as u64, std::iter::once(n % size));
                let frame = frames::encode(Request::Replicate(part))?;
                bytes += frame.len();
                let Request::Replicate(part) = frames::decode(&frame[4..])? else {
                    bail!("not what was sent");
                };
                anyhow::ensure!(follower.apply_part(part, 0), "not taken in");
            }
            println!("{} bytes a change of one machine", bytes / count);
        }
        "takeover" => {
            let (told, _) = leader(size, size / 5 + 1)?;
            let mut follower = ReplicaReceiver::default();
            let all = tell(&told, 0, 0..size);
            println!(
                "{} bytes",
                frames::encode(Request::Replicate(all.clone())).map_or(0, |f| f.len())
            );
            anyhow::ensure!(follower.apply_part(all, 0), "not taken in");
            let replica: Replica = follower.take_replica(2).context("no replica")?;
            for _ in 0..count {
                std::hint::black_box(replica.latest_first());
                let mut l = unheard(size, size / 5 + 1)?;
                l.inherit(7, Some(replica.clone()));
                l.load_standbys(Some((
                    StandbyRecord {
                        term: 1,
                        named: vec![("n0".into(), 7)],
                        known_to_all: true,
                    },
                    1,
                )));
                l.tick(1_000, 1_000);
                anyhow::ensure!(l.is_warm(), "cold");
            }
        }
        "idle" => passes::Drawn::new(size)?.idle(count)?,
        "task" => passes::Drawn::new(size)?.place("array", 1, false, count)?,
        "array" => passes::Drawn::new(size)?.place("array", passes::ARRAY, false, count)?,
        "gang" => passes::Drawn::new(size)?.place("gang", passes::GANG, false, count)?,
        "array-again" => passes::Drawn::new(size)?.place("array", passes::ARRAY, true, count)?,
        "gang-again" => passes::Drawn::new(size)?.place("gang", passes::GANG, true, count)?,
        other => bail!("{other}: not one of those that the head of this file names"),
    }
    Ok(())
}
