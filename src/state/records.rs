//! What is kept in the state service, and under which keys.

use super::{offload::OffloadTarget, spec_chunks::SpecChunks};
use crate::protocol::{
    market::AWARDS,
    users::{JobSpec, JobState, JobStatus},
};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};

pub const LEADER: &str = "leader";
pub const JOBS: &str = "j/";
pub const SEGMENTS: &str = "c/";
pub const FINALS: &str = "f/";
pub const MACHINES: &str = "m/";
/// Notices to the leader of jobs that another node accepted.
pub const ACCEPTANCES: &str = "n/";

/// Nodes that may not campaign.
pub const EXCLUSIONS: &str = "x/";

/// Who may take over without hearing every machine.
pub const STANDBYS: &str = "standbys";

/// Finished tasks a chunk holds: 1 KiB of bits. The first chunk is part of
/// the job's record, the others have keys of their own, so that a job of
/// 100,000 tasks fits any sensible value limit.
pub const SEGMENT_TASKS: u32 = 8192;

/// Controllers that have run this version, or a later one.
pub const VERSIONS: &str = "v/";

pub fn version_key(node: &str) -> String {
    format!("{VERSIONS}{node}")
}
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}
pub fn final_key(id: &str) -> String {
    format!("{FINALS}{id}")
}
pub fn segment_key(id: &str, chunk: usize) -> String {
    format!("{SEGMENTS}{id}/{chunk}")
}
pub fn machine_key(name: &str) -> String {
    format!("{MACHINES}{name}")
}
pub fn exclusion_key(node: &str) -> String {
    format!("{EXCLUSIONS}{node}")
}
pub fn award_key(id: &str) -> String {
    format!("{AWARDS}{id}")
}
pub fn acceptance_key(id: &str) -> String {
    format!("{ACCEPTANCES}{id}")
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    #[serde(rename = "n")]
    pub node: String,
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// Whoever it names knows at least all that may run on machines. Written by
/// the leader under the guard of its key, and by each leader anew, if it named
/// anybody, before it starts anything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StandbyRecord {
    /// Of whose cluster state the copies are.
    #[serde(rename = "t")]
    pub term: u64,
    /// Nodes with their incarnations.
    #[serde(rename = "n")]
    pub named: Vec<(String, u64)>,
    /// Each controller was seen to know of this record. One that doesn't would
    /// lead, and start things, without a trace in it.
    #[serde(rename = "k", default)]
    pub known_to_all: bool,
}

impl StandbyRecord {
    /// One that can't be read may name anybody: it has to be written over
    /// before anything is started.
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

/// What a controller's records and messages may hold: 1 knows of jobs that
/// need others. A version from before this mark writes none.
pub const FORMAT: u32 = 1;

/// Left by each controller of this version once it can reach the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionRecord {
    #[serde(rename = "f")]
    pub format: u32,
    /// For operators.
    #[serde(rename = "p", default)]
    pub program: String,
}

/// A job and what is recorded of it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Its description is kept in these.
    pub spec_chunks: Option<SpecChunks>,
    pub accepted_at_ms: u64,
    pub cancelled: bool,
    pub suspected: bool,
    pub completed: String,
    pub offloaded_to: Option<OffloadTarget>,
}

impl JobRecord {
    pub fn new(spec: JobSpec, at_ms: u64) -> Self {
        JobRecord {
            spec,
            spec_chunks: None,
            accepted_at_ms: at_ms,
            cancelled: false,
            suspected: false,
            completed: String::new(),
            offloaded_to: None,
        }
    }

    /// As it is to be written.
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

/// A job's record as it stands in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// In place of the description, where that is long. Written only once
    /// every controller knows of it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub spec_chunks: Option<SpecChunks>,
    /// Time of day of the acceptance, in milliseconds.
    #[serde(rename = "a")]
    pub accepted_at_ms: u64,
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// It fails wherever it starts: a new leader need not find that out again.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspected: bool,
    /// Finished tasks of the first chunk.
    #[serde(rename = "b", default, skip_serializing_if = "String::is_empty")]
    pub completed: String,
    /// Nothing of it starts here while it is with a market. A program that
    /// does not know this mark must not lead beside one that sets it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub offloaded_to: Option<OffloadTarget>,
}

impl StoredJob {
    /// With its description, from the record or from what `join` makes of its
    /// pieces.
    pub fn with_spec(
        self,
        join: impl FnOnce(&SpecChunks) -> anyhow::Result<JobSpec>,
    ) -> anyhow::Result<JobRecord> {
        let spec = match (self.spec, &self.spec_chunks) {
            (_, Some(pieces)) => join(pieces)?,
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

    /// One that is whole by itself.
    pub fn read(value: serde_json::Value) -> anyhow::Result<JobRecord> {
        let stored: StoredJob = serde_json::from_value(value)?;
        stored.with_spec(|_| anyhow::bail!("its description is in pieces"))
    }

    /// How the job stands by its record alone.
    pub fn status(&self, id: &str) -> JobStatus {
        status_of(id, self.cancelled, &self.completed)
    }
}

impl JobRecord {
    pub fn status(&self) -> JobStatus {
        status_of(&self.spec.id, self.cancelled, &self.completed)
    }
}

fn status_of(id: &str, cancelled: bool, done: &str) -> JobStatus {
    let mut bits = TaskBitmap::with_len(SEGMENT_TASKS);
    bits.load(0, done);
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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    #[serde(rename = "s")]
    pub state: JobState,
    #[serde(rename = "n")]
    pub done: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "a")]
    pub addr: String,
    #[serde(rename = "t")]
    pub type_name: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s")]
    pub spot: bool,
    /// Its release has been decided.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub releasing: bool,
    /// Beside that: only its lease has expired, and should it come back it may
    /// be used, once this is written without either mark. A program that does
    /// not know this one returns the machine.
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

/// A set of task numbers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TaskBitmap(Vec<u8>);

impl TaskBitmap {
    pub fn with_len(n: u32) -> Self {
        TaskBitmap(vec![0; (n as usize).div_ceil(8)])
    }
    pub fn get(&self, i: u32) -> bool {
        self.0
            .get(i as usize / 8)
            .is_some_and(|b| b & (1 << (i % 8)) != 0)
    }
    /// Returns whether it is new.
    pub fn set(&mut self, i: u32) -> bool {
        match self.0.get_mut(i as usize / 8) {
            Some(b) if *b & (1 << (i % 8)) == 0 => {
                *b |= 1 << (i % 8);
                true
            }
            _ => false,
        }
    }

    pub fn chunks(&self) -> usize {
        self.0.len().div_ceil(SEGMENT_TASKS as usize / 8)
    }

    /// One chunk as text, without trailing zeros.
    pub fn chunk(&self, chunk: usize) -> String {
        let size = SEGMENT_TASKS as usize / 8;
        let end = self.0.len().min((chunk + 1) * size);
        let bytes = self.0.get(chunk * size..end).unwrap_or(&[]);
        let used = bytes.iter().rposition(|b| *b != 0).map_or(0, |p| p + 1);
        STANDARD_NO_PAD.encode(&bytes[..used])
    }

    /// Adds a chunk read from the store.
    pub fn load(&mut self, chunk: usize, text: &str) {
        let start = chunk * SEGMENT_TASKS as usize / 8;
        if let Ok(bytes) = STANDARD_NO_PAD.decode(text) {
            for (i, b) in bytes.iter().enumerate() {
                if let Some(slot) = self.0.get_mut(start + i) {
                    *slot |= b;
                }
            }
        }
    }

    pub fn count(&self) -> u32 {
        self.0.iter().map(|b| b.count_ones()).sum()
    }
}

/// Beside description and finished tasks: marks, a market's name, the time.
const MARKS: usize = 320;

/// Bytes that a record with the description in it may come to take.
pub fn inline_record_size(spec: &JobSpec) -> usize {
    let chunk = (spec.tasks.min(SEGMENT_TASKS) as usize).div_ceil(8) * 4 / 3 + 4;
    let len = serde_json::to_vec(spec).map_or(usize::MAX / 2, |v| v.len());
    len + chunk + MARKS
}

/// Whether a record of that size can always be written.
pub fn fits(size: usize, value_kb: f64) -> bool {
    size as f64 <= value_kb * 1024.0
}
