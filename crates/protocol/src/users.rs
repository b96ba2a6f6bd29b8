//! Submissions, polls and cancellations.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Tasks that a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// How the tasks of a job belong together.
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

/// Ordered by rank: a greater one may preempt a lesser one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// The lowest.
    #[serde(rename = "idle")]
    Low,
    /// Between low and high.
    #[serde(rename = "normal")]
    Normal,
    /// Below production.
    #[serde(rename = "urgent")]
    High,
    /// The highest.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted; also the form in which its record keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Chosen by the user; the key of idempotent submission.
    #[serde(rename = "ref")]
    pub id: String,
    /// The class of jobs, to which objectives refer.
    #[serde(rename = "job_family")]
    pub class: String,
    /// The team whose quota applies.
    #[serde(rename = "owner_crew")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "run_shape")]
    pub kind: Kind,
    /// Its priority.
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
    /// Image that a machine needs before a task starts.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Its size, in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    #[serde(rename = "hall", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone, whichever.
    #[serde(rename = "same_place")]
    pub single_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Spot machines are allowed.
    #[serde(rename = "lendback")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds; 0 for services.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Seconds between two checkpoints; 0: the tasks save nothing.
    #[serde(rename = "snapshot_every_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that saving takes when a task is stopped.
    #[serde(rename = "snapshot_cost_s")]
    pub checkpoint_cost_s: f64,
    /// When it should be complete, in seconds after its submission.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each
    /// named once. No record names any before every controller knows this field.
    #[serde(
        rename = "waits_on",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "ids"
    )]
    pub dependencies: Vec<String>,
}

/// Null, or a list of ids; of doubled ones the first counts.
fn ids<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<String>, D::Error> {
    let wrong = || serde::de::Error::custom("waits_on: must be a list of ids like j-000412");
    let list = match serde_json::Value::deserialize(d)? {
        serde_json::Value::Null => return Ok(Vec::new()),
        serde_json::Value::Array(list) => list,
        _ => return Err(wrong()),
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
            _ => return Err(wrong()),
        }
    }
    Ok(ids)
}

/// `j-` and 6 to 18 digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|d| (6..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Parses a submission. The error is one line fit for the user.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        if body.trim_ascii_start().first() != Some(&b'{') {
            return Err("not a JSON object".into());
        }
        let mut json = serde_json::Deserializer::from_slice(body);
        let parsed: Result<JobSpec, _> = serde_path_to_error::deserialize(&mut json);
        let spec = parsed.map_err(|e| {
            // A field that is missing or there twice is named by the message.
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

/// The state of a job, as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// A task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or with a dependency.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobState {
    /// It never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }

    /// The name in log lines, in metric labels and in what operators are shown.
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

/// The answer to a poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "ref")]
    pub id: String,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: JobState,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}
