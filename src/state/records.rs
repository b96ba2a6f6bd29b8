//! The records stored in the state service, and their keys.
//!
//! Owns the keys and the stored format of every record except spec chunks. Called by
//! the leader's persistence, by followers that accept jobs, and by a new leader that
//! loads its state. Stored names, and the meaning of a missing field, must never
//! change: older versions have written records and run beside this one.
//!
//! Stored names are short because values are small:
//!
//! | record | key | stored name: field |
//! | --- | --- | --- |
//! | `LeaderRecord` | `leader` | `n` node, `i` incarnation |
//! | `StandbyRecord` | `standbys` | `t` term, `n` named nodes, `k` known to all |
//! | `VersionRecord` | `v/<node>` | `f` format, `p` program |
//! | `StoredJob` | `j/<job>` | `d` spec, `p` spec chunks, `a` accepted at (ms), `w` cancelled, `e` suspected, `b` complete tasks of the first segment, `l` offload target |
//! | `OffloadTarget` | in `l` of a job | `a` award, `m` market |
//! | `SpecChunks` | in `p` of a job | `h` hash, `n` count |
//! | `FinalRecord` | `f/<job>` | `s` terminal state, `n` complete tasks |
//! | `MachineRecord` | `m/<machine>` | `a` address, `t` type, `z` zone, `s` spot, `r` releasing, `l` lease expired, `q` quarantined, `i` images |
//! | segment of the completion bitmap | `c/<job>/<segment>` | a base64 string |
//! | spec chunk | `p/<job>/<hash>/<number>` | a base64 string |
//! | feed of accepted jobs | `n/<job>` | `true` |
//! | exclusion from elections | `x/<node>` | no field; only its version is used |

use super::{offload::OffloadTarget, spec_chunks::SpecChunks};
use crate::protocol::{
    market::AWARDS,
    users::{JobSpec, JobState, JobStatus},
};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};

/// Key of the leader record: the controller that holds the key is the leader.
pub const LEADER: &str = "leader";
/// Key prefix of the records of jobs that are neither done nor cancelled.
pub const JOBS: &str = "j/";
/// Key prefix of segments of completion bitmaps.
pub const SEGMENTS: &str = "c/";
/// Key prefix of the final records of jobs that are done or cancelled.
pub const FINALS: &str = "f/";
/// Key prefix of the machine registry.
pub const MACHINES: &str = "m/";
/// Key prefix of the feed that tells the leader which jobs followers accepted.
pub const ACCEPTANCES: &str = "n/";

/// Key prefix of exclusions from elections.
pub const EXCLUSIONS: &str = "x/";

/// Key of the standby registry: the controllers that may take over without a heartbeat
/// from every machine.
pub const STANDBYS: &str = "standbys";

/// Number of tasks in one segment of a completion bitmap, which is 1 KiB of bits. The
/// first segment is part of the job's record and the others have keys of their own, so
/// that a job of 100,000 tasks fits any sensible value limit.
pub const SEGMENT_TASKS: u32 = 8192;
const SEGMENT_BYTES: usize = SEGMENT_TASKS as usize / 8;

/// Key prefix of the program versions that controllers run.
pub const VERSIONS: &str = "v/";

/// Returns the key of a controller's version record.
pub fn version_key(node: &str) -> String {
    format!("{VERSIONS}{node}")
}

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of the record of a job's terminal state.
pub fn final_key(id: &str) -> String {
    format!("{FINALS}{id}")
}

/// Returns the key of a segment of a job's completion bitmap. Segments with their own
/// key are numbered from 1.
pub fn segment_key(id: &str, segment: usize) -> String {
    format!("{SEGMENTS}{id}/{segment}")
}

/// Returns the key of a machine's record.
pub fn machine_key(name: &str) -> String {
    format!("{MACHINES}{name}")
}

/// Returns the key of a controller's exclusion from elections.
pub fn exclusion_key(node: &str) -> String {
    format!("{EXCLUSIONS}{node}")
}

/// Returns the key of the market's award for a job.
pub fn award_key(id: &str) -> String {
    format!("{AWARDS}{id}")
}

/// Returns the key of a job's entry in the feed of accepted jobs.
pub fn acceptance_key(id: &str) -> String {
    format!("{ACCEPTANCES}{id}")
}

/// The controller that is the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    #[serde(rename = "n")]
    pub node: String,
    /// Incarnation of the controller's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The standbys that may take over at once, because each of them knows at least every
/// task that may run on a machine. The leader writes this record on the condition that
/// it still holds its own key. Each new leader overwrites a record that named any
/// standby before it starts a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StandbyRecord {
    /// Term of the leader whose cluster state the standbys replicate.
    #[serde(rename = "t")]
    pub term: u64,
    /// Names of the standbys with their incarnations.
    #[serde(rename = "n")]
    pub standbys: Vec<(String, u64)>,
    /// Whether every controller runs a version that knows this record. A version that
    /// does not know it would lead, and start tasks, without changing the record.
    #[serde(rename = "k", default)]
    pub known_to_all: bool,
}

impl StandbyRecord {
    /// Parses the stored record. A record that can't be read may name any standby, so
    /// it has to be overwritten before a task is started.
    pub fn read(value: serde_json::Value) -> Self {
        serde_json::from_value(value).unwrap_or_else(|e| {
            log::error!("cannot parse record {STANDBYS}, assuming that it names a standby: {e}");
            StandbyRecord {
                standbys: vec![(String::new(), 0)],
                ..StandbyRecord::default()
            }
        })
    }
}

/// Version of the format of records and messages. Format 1: jobs may depend on other
/// jobs. Programs older than format 1 write no version.
pub const FORMAT: u32 = 1;

/// A controller's program version, which each controller writes once it can reach the
/// state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The `FORMAT` of the controller's program.
    #[serde(rename = "f")]
    pub format: u32,
    /// Version of the controller's program, for operators.
    #[serde(rename = "p", default)]
    pub program: String,
}

/// A job assembled from its record and its spec chunks.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    /// The job specification that the user submitted.
    pub spec: JobSpec,
    /// Chunks that hold the spec, if the record does not.
    pub spec_chunks: Option<SpecChunks>,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    pub accepted_at_ms: u64,
    /// Whether the job is cancelled; its tasks may still run.
    pub cancelled: bool,
    /// Whether the job is thought to fail wherever it starts.
    pub suspected: bool,
    /// Complete tasks of the first segment, in base64.
    pub completed: String,
    /// Target to which the job is offloaded.
    pub offloaded_to: Option<OffloadTarget>,
}

impl JobRecord {
    /// Returns the record of a job that was just accepted.
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

    /// Returns the record in its stored form.
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

/// The stored form of a job's record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// The job specification that the user submitted.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Chunks that replace a long spec. This field is written only once every
    /// controller runs a version that knows it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub spec_chunks: Option<SpecChunks>,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    #[serde(rename = "a")]
    pub accepted_at_ms: u64,
    /// Whether the job is cancelled; its tasks may still run.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Whether the job fails wherever it starts, so that a new leader need not detect
    /// that again.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspected: bool,
    /// Complete tasks of the first segment, in base64.
    #[serde(rename = "b", default, skip_serializing_if = "String::is_empty")]
    pub completed: String,
    /// Target to which the job is offloaded; no task of the job starts here meanwhile.
    /// A program that does not know this field must not lead beside one that writes it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub offloaded_to: Option<OffloadTarget>,
}

impl StoredJob {
    /// Returns the job with its spec, taken from the record or assembled from the
    /// chunks by `join`.
    pub fn with_spec(
        self,
        join: impl FnOnce(&SpecChunks) -> anyhow::Result<JobSpec>,
    ) -> anyhow::Result<JobRecord> {
        let spec = match (self.spec, &self.spec_chunks) {
            (_, Some(chunks)) => join(chunks)?,
            (Some(spec), None) => spec,
            (None, None) => anyhow::bail!("job record has neither a spec nor spec chunks"),
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

    /// Parses the record of a job that holds its spec.
    pub fn read(value: serde_json::Value) -> anyhow::Result<JobRecord> {
        let stored: StoredJob = serde_json::from_value(value)?;
        stored.with_spec(|_| anyhow::bail!("job record holds spec chunks instead of the spec"))
    }

    /// Returns the job status that follows from the record alone.
    pub fn status(&self, id: &str) -> JobStatus {
        status_of(id, self.cancelled, &self.completed)
    }
}

impl JobRecord {
    /// Returns the job status that follows from the record alone.
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

/// The final record of a job that is done or cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Terminal state of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Number of tasks that were complete.
    #[serde(rename = "n")]
    pub done: u32,
}

/// A machine in the machine registry. Tasks may run on registered machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address on which the machine's agent listens; empty if unknown.
    #[serde(rename = "a")]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "t")]
    pub type_name: String,
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Whether the release of the machine has been decided.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub releasing: bool,
    /// Set together with `releasing` if only the machine's lease has expired. If the
    /// machine returns, it may be used once the record is written without both fields.
    /// A program that does not know this field releases the machine.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub lease_expired: bool,
    /// Whether tasks fail on the machine, so that a new leader need not detect that
    /// again.
    #[serde(rename = "q", default, skip_serializing_if = "std::ops::Not::not")]
    pub quarantined: bool,
    /// Images that the machine is estimated to cache, so that a new leader knows where
    /// a task starts without fetching its image.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<String>,
}

/// A set of task numbers, used for the complete tasks of a job.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TaskBitmap(Vec<u8>);

impl TaskBitmap {
    /// Returns an empty set for `tasks` tasks.
    pub fn with_len(tasks: u32) -> Self {
        TaskBitmap(vec![0; (tasks as usize).div_ceil(8)])
    }

    /// Whether the task is in the set.
    pub fn get(&self, task: u32) -> bool {
        self.0
            .get(task as usize / 8)
            .is_some_and(|byte| byte & (1 << (task % 8)) != 0)
    }

    /// Adds a task and returns whether it was not in the set before.
    pub fn set(&mut self, task: u32) -> bool {
        match self.0.get_mut(task as usize / 8) {
            Some(byte) if *byte & (1 << (task % 8)) == 0 => {
                *byte |= 1 << (task % 8);
                true
            }
            _ => false,
        }
    }

    /// Number of segments of the bitmap.
    pub fn segment_count(&self) -> usize {
        self.0.len().div_ceil(SEGMENT_BYTES)
    }

    /// Returns one segment as base64, without trailing zero bytes.
    pub fn segment_text(&self, segment: usize) -> String {
        let end = self.0.len().min((segment + 1) * SEGMENT_BYTES);
        let bytes = self.0.get(segment * SEGMENT_BYTES..end).unwrap_or(&[]);
        let last = bytes.iter().rposition(|byte| *byte != 0);
        let used = last.map_or(0, |at| at + 1);
        STANDARD_NO_PAD.encode(&bytes[..used])
    }

    /// Adds the tasks of a stored segment. A segment that can't be decoded adds none,
    /// and tasks past the end of the set are ignored.
    pub fn load(&mut self, segment: usize, text: &str) {
        let Ok(stored) = STANDARD_NO_PAD.decode(text) else {
            return;
        };
        let segment_bytes = self.0.iter_mut().skip(segment * SEGMENT_BYTES);
        for (byte, stored) in segment_bytes.zip(stored) {
            *byte |= stored;
        }
    }

    /// Number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }
}

/// Size in bytes of a job's record beside the spec and the complete tasks: flags, the
/// name of a market and the time.
const RECORD_OVERHEAD_BYTES: usize = 320;

/// Returns the maximum size in bytes of a job's record that holds the spec.
pub fn inline_record_size(spec: &JobSpec) -> usize {
    let segment = (spec.tasks.min(SEGMENT_TASKS) as usize).div_ceil(8) * 4 / 3 + 4;
    let len = serde_json::to_vec(spec).map_or(usize::MAX / 2, |v| v.len());
    len + segment + RECORD_OVERHEAD_BYTES
}

/// Whether a record of `bytes` bytes is within the value limit of `value_kb` KiB.
pub fn fits(bytes: usize, value_kb: f64) -> bool {
    bytes as f64 <= value_kb * 1024.0
}
