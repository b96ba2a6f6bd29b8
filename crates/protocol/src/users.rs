//! Messages of users: submissions, polls and cancellations.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// How the tasks of a job are run together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A job array: independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Gang scheduling: all tasks run at the same time, or none.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, in ascending order: a job may preempt jobs of lower priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// The lowest priority.
    #[serde(rename = "idle")]
    Low,
    /// Priority between low and high.
    #[serde(rename = "normal")]
    Normal,
    /// Priority below production.
    #[serde(rename = "urgent")]
    High,
    /// The highest priority.
    #[serde(rename = "prod")]
    Production,
}

/// A job specification as submitted; job records store the spec in the same form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job id chosen by the user; submissions are idempotent by this id.
    #[serde(rename = "ref")]
    pub id: String,
    /// Class of the job, to which objectives refer.
    #[serde(rename = "job_family")]
    pub class: String,
    /// The team whose quota applies.
    #[serde(rename = "owner_crew")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "run_shape")]
    pub kind: Kind,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPU cores of each task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    pub memory_gb: f64,
    /// Container image that a machine needs before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None` allows any.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows any.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone, whichever that is.
    #[serde(rename = "same_place")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds; 0 for services.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Seconds between two checkpoints; 0 if the tasks write none.
    #[serde(rename = "snapshot_every_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that writing a checkpoint takes when a task is stopped.
    #[serde(rename = "snapshot_cost_s")]
    pub checkpoint_cost_s: f64,
    /// Deadline by which the job should be complete, in seconds after its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Ids of jobs that have to be done before any task of this job starts, without
    /// duplicates. No record contains this field before every controller runs a version
    /// that knows it.
    #[serde(
        rename = "waits_on",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "ids"
    )]
    pub dependencies: Vec<String>,
}

/// Parses null or a list of job ids. Duplicates are removed; the first occurrence keeps
/// its place.
fn ids<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let invalid_list = || serde::de::Error::custom("waits_on: must be a list of ids like j-000412");
    let list = match serde_json::Value::deserialize(deserializer)? {
        serde_json::Value::Null => return Ok(Vec::new()),
        serde_json::Value::Array(list) => list,
        _ => return Err(invalid_list()),
    };
    let mut seen = std::collections::HashSet::new();
    let mut ids = Vec::with_capacity(list.len());
    for id in list {
        match id {
            serde_json::Value::String(id) if is_valid_job_id(&id) => {
                if seen.insert(id.clone()) {
                    ids.push(id);
                }
            }
            _ => return Err(invalid_list()),
        }
    }
    Ok(ids)
}

/// Whether the id consists of `j-` and 6 to 18 digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|d| (6..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Parses and checks a submission. The error is a single line to be shown to the
    /// user.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        if body.trim_ascii_start().first() != Some(&b'{') {
            return Err("not a JSON object".into());
        }
        let mut json = serde_json::Deserializer::from_slice(body);
        let parsed: Result<JobSpec, _> = serde_path_to_error::deserialize(&mut json);
        let spec = parsed.map_err(|e| {
            // If a field is missing or duplicated, the message itself names it.
            let field = e.path().to_string();
            match field.as_str() {
                "." => e.inner().to_string(),
                _ => format!("{field}: {}", e.inner()),
            }
        })?;
        json.end().map_err(|e| e.to_string())?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !is_valid_job_id(&self.id) {
            return Err("ref: not of the form j-000412".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
        }
        for (field, v) in [
            ("cores", self.cpus),
            ("accelerators", self.gpus),
            ("memory_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("snapshot_every_s", self.checkpoint_interval_s),
            ("snapshot_cost_s", self.checkpoint_cost_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ] {
            if !v.is_finite() || !(0.0..=1e9).contains(&v) {
                return Err(format!("{field}: must be a number from 0 to 1e9"));
            }
        }
        for (field, v) in [
            ("job_family", &self.class),
            ("owner_crew", &self.team),
            ("bundle", &self.image),
        ] {
            if v.is_empty() || v.len() > 200 {
                return Err(format!("{field}: must have 1 to 200 bytes"));
            }
        }
        if let Some(types) = &self.types
            && (types.len() > 64 || types.iter().any(|t| t.len() > 200))
        {
            return Err("rigs: at most 64 names of at most 200 bytes".into());
        }
        if self.zone.as_ref().is_some_and(|z| z.len() > 200) {
            return Err("hall: at most 200 bytes".into());
        }
        Ok(())
    }
}

/// State of a job, as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task of the job is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task of the job is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled by its user, or because a dependency was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobState {
    /// Whether the state is final and never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }

    /// Returns the name of the state in log lines, in metric labels and in the output
    /// for operators.
    pub fn name(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The response to a poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "ref")]
    pub id: String,
    /// State of the job.
    #[serde(rename = "stage")]
    pub state: JobState,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}
