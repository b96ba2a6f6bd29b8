//! Job specs that are too long for one value, split into chunks under keys of their
//! own. Chunks never change; the job's record refers to them and holds the mutable
//! part. Keys derive from the content, so that writing the chunks again, in any order
//! and from any controller, has no further effect.
//!
//! Owns the keys and the format of chunks. Called on submission, by persistence, and
//! when a new leader loads records. The computation of the hash from the bytes must
//! never change, because stored records contain the hash.
//!
//! Stored names: `h` hash, `n` count.

use crate::protocol::users::JobSpec;
use anyhow::{Context, Result, ensure};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hasher};

/// Key prefix of spec chunks.
pub const SPEC_CHUNKS: &str = "p/";
/// Maximum number of spec bytes in one chunk. Such a chunk in base64 fits any allowed
/// value limit.
const CHUNK_BYTES: usize = 1200;

/// Reference from a job's record to the chunks of its spec.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecChunks {
    /// Hash of the spec, followed by its length.
    #[serde(rename = "h")]
    hash: String,
    /// Number of chunks.
    #[serde(rename = "n")]
    count: usize,
}

impl SpecChunks {
    /// Returns the key prefix of the chunks of job `id`.
    pub fn prefix(&self, id: &str) -> String {
        format!("{SPEC_CHUNKS}{id}/{}/", self.hash)
    }

    /// Returns the keys of the chunks, in order.
    pub fn keys(&self, id: &str) -> impl Iterator<Item = String> + use<> {
        let prefix = self.prefix(id);
        (0..self.count).map(move |n| format!("{prefix}{n:04}"))
    }

    /// Whether the key belongs to one of these chunks.
    pub fn contains_key(&self, id: &str, key: &str) -> bool {
        let number = key.strip_prefix(&self.prefix(id)).map(str::parse::<usize>);
        matches!(number, Some(Ok(n)) if n < self.count)
    }

    /// Returns the id of the job to which a chunk's key belongs.
    pub fn job_of(key: &str) -> Option<&str> {
        Some(key.strip_prefix(SPEC_CHUNKS)?.split_once('/')?.0)
    }
}

/// Splits a spec into chunks. Returns the reference for the job's record, and the keys
/// and values that have to be written before a record may refer to them.
pub fn split(spec: &JobSpec) -> Result<(SpecChunks, Vec<(String, String)>)> {
    let bytes = serde_json::to_vec(spec)?;
    let mut hasher = DefaultHasher::new();
    hasher.write(&bytes);
    let chunks = SpecChunks {
        hash: format!("{:016x}{:x}", hasher.finish(), bytes.len()),
        count: bytes.len().div_ceil(CHUNK_BYTES),
    };
    let texts = bytes
        .chunks(CHUNK_BYTES)
        .map(|chunk| STANDARD_NO_PAD.encode(chunk));
    let values = chunks.keys(&spec.id).zip(texts).collect();
    Ok((chunks, values))
}

/// Assembles the spec from the values of its chunks, in order.
pub fn join<'a>(chunks: &SpecChunks, values: impl Iterator<Item = &'a str>) -> Result<JobSpec> {
    let mut bytes = Vec::new();
    let mut count = 0;
    for value in values {
        let part = STANDARD_NO_PAD
            .decode(value)
            .context("invalid base64 in spec chunk")?;
        bytes.extend(part);
        count += 1;
    }
    ensure!(
        count == chunks.count,
        "got {count} of {} spec chunks",
        chunks.count
    );
    serde_json::from_slice(&bytes).context("invalid JSON in assembled spec chunks")
}
