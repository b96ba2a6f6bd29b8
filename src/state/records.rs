//! What is stored in the state service, and under which keys.
//!
//! Owns the keys and the stored form of each record but spec chunks. Called by
//! the leader's persistence, by followers that accept jobs, and as a new leader
//! loads its state. Must never change a stored name, nor what a missing field
//! means: older versions have written records, and run beside this one.
//!
//! Stored names are short, as values are small:
//!
//! | record | key | stored name: field |
//! | --- | --- | --- |
//! | `LeaderRecord` | `leader` | `n` node, `i` incarnation |
//! | `StandbyRecord` | `standbys` | `t` term, `n` named nodes, `k` known to all |
//! | `VersionRecord` | `v/<node>` | `f` format, `p` program |
//! | `StoredJob` | `j/<job>` | `d` spec, `p` spec chunks, `a` accepted at (ms), `w` cancelled, `e` suspected, `b` complete tasks of the first segment, `l` offloaded to |
//! | `OffloadTarget` | in `l` of a job | `a` award, `m` market |
//! | `SpecChunks` | in `p` of a job | `h` hash, `n` count |
//! | `FinalRecord` | `f/<job>` | `s` terminal state, `n` complete tasks |
//! | `MachineRecord` | `m/<machine>` | `a` address, `t` type, `z` zone, `s` spot, `r` releasing, `l` lease expired, `q` quarantined, `i` images |
//! | segment of the completion bitmap | `c/<job>/<segment>` | a string of base 64 |
//! | spec chunk | `p/<job>/<hash>/<number>` | a string of base 64 |
//! | feed of accepted jobs | `n/<job>` | `true` |
//! | exclusion from elections | `x/<node>` | only its version counts |

use super::{offload::OffloadTarget, spec_chunks::SpecChunks};
use crate::protocol::{
    market::AWARDS,
    users::{JobSpec, JobState, JobStatus},
};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};

/// Key of the leader's record: whoever holds it leads.
pub const LEADER: &str = "leader";
/// Prefix of jobs that are not over.
pub const JOBS: &str = "j/";
/// Prefix of segments of completion bitmaps.
pub const SEGMENTS: &str = "c/";
/// Prefix of jobs that are over.
pub const FINALS: &str = "f/";
/// Prefix of the machine registry.
pub const MACHINES: &str = "m/";
/// Prefix of the feed that tells the leader of jobs that followers accepted.
pub const ACCEPTANCES: &str = "n/";

/// Prefix of exclusions from elections.
pub const EXCLUSIONS: &str = "x/";

/// Key of the standby registry: who may take over without a heartbeat of every
/// machine.
pub const STANDBYS: &str = "standbys";

/// Tasks in one segment of a completion bitmap: 1 KiB of bits. The first segment
/// is part of the job's record, the others have keys of their own, so that a job
/// of 100,000 tasks fits any sensible value limit.
pub const SEGMENT_TASKS: u32 = 8192;
const SEGMENT_BYTES: usize = SEGMENT_TASKS as usize / 8;

/// Prefix of the versions that controllers run.
pub const VERSIONS: &str = "v/";

/// Key of a controller's version.
pub fn version_key(node: &str) -> String {
    format!("{VERSIONS}{node}")
}

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of the record of a job's terminal state.
pub fn final_key(id: &str) -> String {
    format!("{FINALS}{id}")
}

/// Key of a segment of a job's completion bitmap, from 1 on.
pub fn segment_key(id: &str, segment: usize) -> String {
    format!("{SEGMENTS}{id}/{segment}")
}

/// Key of a machine's record.
pub fn machine_key(name: &str) -> String {
    format!("{MACHINES}{name}")
}

/// Key of a controller's exclusion from elections.
pub fn exclusion_key(node: &str) -> String {
    format!("{EXCLUSIONS}{node}")
}

/// Key of the market's award of a job.
pub fn award_key(id: &str) -> String {
    format!("{AWARDS}{id}")
}

/// Key of a job's entry in the feed of accepted jobs.
pub fn acceptance_key(id: &str) -> String {
    format!("{ACCEPTANCES}{id}")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Its name.
    #[serde(rename = "n")]
    pub node: String,
    /// Which start of its process it is.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// Which standbys may take over at once: each of them knows at least all that may
/// run on machines. Written by the leader on condition of its own key, and by
/// each new leader, if it named anybody, before it starts anything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StandbyRecord {
    /// Term of the leader whose cluster state the replicas are of.
    #[serde(rename = "t")]
    pub term: u64,
    /// Names of controllers with their incarnations.
    #[serde(rename = "n")]
    pub named: Vec<(String, u64)>,
    /// Each controller runs a version that knows of this record. One that doesn't
    /// would lead, and start tasks, without changing it.
    #[serde(rename = "k", default)]
    pub known_to_all: bool,
}

impl StandbyRecord {
    /// The record from its stored form. One that can't be read may name anybody:
    /// it has to be overwritten before anything is started.
    pub fn read(value: serde_json::Value) -> Self {
        serde_json::from_value(value).unwrap_or_else(|e| {
            log::error!("record {STANDBYS}: {e}");
            StandbyRecord {
                named: vec![(String::new(), 0)],
                ..StandbyRecord::default()
            }
        })
    }
}

/// Version of the form of records and messages. 1: jobs may depend on others.
/// Programs from before that write no version.
pub const FORMAT: u32 = 1;

/// Written by each controller once it can reach the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The `FORMAT` of its program.
    #[serde(rename = "f")]
    pub format: u32,
    /// Version of its program, for operators.
    #[serde(rename = "p", default)]
    pub program: String,
}

/// A job as its record and its spec chunks have it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    /// What the user submitted.
    pub spec: JobSpec,
    /// Chunks that hold the spec, if the record does not.
    pub spec_chunks: Option<SpecChunks>,
    /// Time of day of the acceptance, in milliseconds.
    pub accepted_at_ms: u64,
    /// Cancelled; its tasks may still run.
    pub cancelled: bool,
    /// It is thought to fail wherever it starts.
    pub suspected: bool,
    /// Complete tasks of the first segment, as text.
    pub completed: String,
    /// To whom it is offloaded.
    pub offloaded_to: Option<OffloadTarget>,
}

impl JobRecord {
    /// One that was accepted just now.
    pub fn new(spec: JobSpec, accepted_at_ms: u64) -> Self {
        JobRecord {
            spec,
            spec_chunks: None,
            accepted_at_ms,
            cancelled: false,
            suspected: false,
            completed: String::new(),
            offloaded_to: None,
        }
    }

    /// Its stored form.
    pub fn stored(&self) -> serde_json::Value {
        let stored = StoredJob {
            spec: self.spec_chunks.is_none().then(|| self.spec.clone()),
            spec_chunks: self.spec_chunks.clone(),
            accepted_at_ms: self.accepted_at_ms,
            cancelled: self.cancelled,
            suspected: self.suspected,
            completed: self.completed.clone(),
            offloaded_to: self.offloaded_to.clone(),
        };
        serde_json::to_value(stored).unwrap_or_default()
    }
}

/// A job's record as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// What the user submitted.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// In place of a long spec. Written only once every controller's version
    /// knows of it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub spec_chunks: Option<SpecChunks>,
    /// Time of day of the acceptance, in milliseconds.
    #[serde(rename = "a")]
    pub accepted_at_ms: u64,
    /// Cancelled; its tasks may still run.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// It fails wherever it starts: a new leader need not find that out again.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspected: bool,
    /// Complete tasks of the first segment.
    #[serde(rename = "b", default, skip_serializing_if = "String::is_empty")]
    pub completed: String,
    /// To whom it is offloaded; nothing of it starts here meanwhile. A program
    /// that does not know this field must not lead beside one that writes it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub offloaded_to: Option<OffloadTarget>,
}

impl StoredJob {
    /// The job with its spec, from the record or from what `join` makes of its
    /// chunks.
    pub fn with_spec(
        self,
        join: impl FnOnce(&SpecChunks) -> anyhow::Result<JobSpec>,
    ) -> anyhow::Result<JobRecord> {
        let spec = match (self.spec, &self.spec_chunks) {
            (_, Some(chunks)) => join(chunks)?,
            (Some(spec), None) => spec,
            (None, None) => anyhow::bail!("no description"),
        };
        Ok(JobRecord {
            spec,
            spec_chunks: self.spec_chunks,
            accepted_at_ms: self.accepted_at_ms,
            cancelled: self.cancelled,
            suspected: self.suspected,
            completed: self.completed,
            offloaded_to: self.offloaded_to,
        })
    }

    /// The job of a record that holds its spec.
    pub fn read(value: serde_json::Value) -> anyhow::Result<JobRecord> {
        let stored: StoredJob = serde_json::from_value(value)?;
        stored.with_spec(|_| anyhow::bail!("its description is in pieces"))
    }

    /// What users are answered by the record alone.
    pub fn status(&self, id: &str) -> JobStatus {
        status_of(id, self.cancelled, &self.completed)
    }
}

impl JobRecord {
    /// What users are answered by the record alone.
    pub fn status(&self) -> JobStatus {
        status_of(&self.spec.id, self.cancelled, &self.completed)
    }
}

fn status_of(id: &str, cancelled: bool, completed: &str) -> JobStatus {
    let mut bits = TaskBitmap::with_len(SEGMENT_TASKS);
    bits.load(0, completed);
    let done = bits.count();
    JobStatus {
        id: id.to_owned(),
        state: if cancelled {
            JobState::Cancelled
        } else if done > 0 {
            JobState::Running
        } else {
            JobState::Queued
        },
        done,
        running: 0,
    }
}

/// A job that is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Its terminal state.
    #[serde(rename = "s")]
    pub state: JobState,
    /// How many tasks were complete.
    #[serde(rename = "n")]
    pub done: u32,
}

/// A machine in the machine registry: tasks may run on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Where its agent listens; empty if unknown.
    #[serde(rename = "a")]
    pub addr: String,
    /// Name of its machine type.
    #[serde(rename = "t")]
    pub type_name: String,
    /// Name of its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the cloud may reclaim it.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Its release has been decided.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub releasing: bool,
    /// Beside `releasing`: only its lease has expired, and should it come back it
    /// may be used, once this is written without either. A program that does
    /// not know this field releases the machine.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub lease_expired: bool,
    /// Tasks fail on it: a new leader need not find that out again.
    #[serde(rename = "q", default, skip_serializing_if = "std::ops::Not::not")]
    pub quarantined: bool,
    /// Images it is thought to cache, so that a new leader knows where a
    /// task starts without a fetch.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<String>,
}

/// A set of task numbers: the complete ones of a job.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TaskBitmap(Vec<u8>);

impl TaskBitmap {
    /// An empty set for so many tasks.
    pub fn with_len(tasks: u32) -> Self {
        TaskBitmap(vec![0; (tasks as usize).div_ceil(8)])
    }

    /// Whether the task is in the set.
    pub fn get(&self, task: u32) -> bool {
        self.0
            .get(task as usize / 8)
            .is_some_and(|byte| byte & (1 << (task % 8)) != 0)
    }

    /// Adds a task, and returns whether it is new.
    pub fn set(&mut self, task: u32) -> bool {
        match self.0.get_mut(task as usize / 8) {
            Some(byte) if *byte & (1 << (task % 8)) == 0 => {
                *byte |= 1 << (task % 8);
                true
            }
            _ => false,
        }
    }

    /// How many segments it has.
    pub fn chunks(&self) -> usize {
        self.0.len().div_ceil(SEGMENT_BYTES)
    }

    /// One segment as text, without trailing zeros.
    pub fn chunk(&self, segment: usize) -> String {
        let end = self.0.len().min((segment + 1) * SEGMENT_BYTES);
        let bytes = self.0.get(segment * SEGMENT_BYTES..end).unwrap_or(&[]);
        let last = bytes.iter().rposition(|byte| *byte != 0);
        let used = last.map_or(0, |at| at + 1);
        STANDARD_NO_PAD.encode(&bytes[..used])
    }

    /// Adds the tasks of a stored segment. One that can't be read adds none, and
    /// tasks past the end are left out.
    pub fn load(&mut self, segment: usize, text: &str) {
        let Ok(stored) = STANDARD_NO_PAD.decode(text) else {
            return;
        };
        let own = self.0.iter_mut().skip(segment * SEGMENT_BYTES);
        for (byte, stored) in own.zip(stored) {
            *byte |= stored;
        }
    }

    /// How many tasks are in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }
}

/// What a job's record takes beside its spec and complete tasks: flags, the
/// name of a market, the time.
const RECORD_OVERHEAD_BYTES: usize = 320;

/// Bytes that a job's record with the spec in it may take at most.
pub fn inline_record_size(spec: &JobSpec) -> usize {
    let segment = (spec.tasks.min(SEGMENT_TASKS) as usize).div_ceil(8) * 4 / 3 + 4;
    let len = serde_json::to_vec(spec).map_or(usize::MAX / 2, |v| v.len());
    len + segment + RECORD_OVERHEAD_BYTES
}

/// Whether a record of so many bytes is within the limit on values.
pub fn fits(bytes: usize, value_kb: f64) -> bool {
    bytes as f64 <= value_kb * 1024.0
}
