//! Specs of jobs too long for one value, cut into chunks under keys of their
//! own. The chunks never change; the job's record names them, and holds what
//! does change. Keys derive from the content, so that writing them again, in any
//! order and by any controller, changes nothing.
//!
//! Owns the keys and the form of chunks. Called on submission, by persistence
//! and as a new leader loads records. Must never change how the hash is made of
//! the bytes: stored records name it.
//!
//! Stored names: `h` hash, `n` count.

use crate::protocol::users::JobSpec;
use anyhow::{Context, Result, ensure};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hasher};

/// Prefix of the keys of chunks.
pub const SPEC_CHUNKS: &str = "p/";
/// Bytes of a spec in one chunk: in base 64 it fits any allowed value limit.
const CHUNK_BYTES: usize = 1200;

/// What a job's record says of its spec.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecChunks {
    /// Of the spec, with its length.
    #[serde(rename = "h")]
    hash: String,
    /// How many chunks there are.
    #[serde(rename = "n")]
    count: usize,
}

impl SpecChunks {
    /// Prefix of the keys of these chunks.
    pub fn prefix(&self, id: &str) -> String {
        format!("{SPEC_CHUNKS}{id}/{}/", self.hash)
    }

    /// Their keys, in order.
    pub fn keys(&self, id: &str) -> impl Iterator<Item = String> + use<> {
        let prefix = self.prefix(id);
        (0..self.count).map(move |n| format!("{prefix}{n:04}"))
    }

    /// Whether the key is one of these.
    pub fn names(&self, id: &str, key: &str) -> bool {
        let number = key.strip_prefix(&self.prefix(id)).map(str::parse::<usize>);
        matches!(number, Some(Ok(n)) if n < self.count)
    }

    /// The job that a chunk's key belongs to.
    pub fn job_of(key: &str) -> Option<&str> {
        Some(key.strip_prefix(SPEC_CHUNKS)?.split_once('/')?.0)
    }
}

/// The chunks of a spec, and the keys and values to be written before a record
/// may name them.
pub fn cut(spec: &JobSpec) -> Result<(SpecChunks, Vec<(String, String)>)> {
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

/// The spec, from the values of its chunks in order.
pub fn join<'a>(chunks: &SpecChunks, values: impl Iterator<Item = &'a str>) -> Result<JobSpec> {
    let mut bytes = Vec::new();
    let mut count = 0;
    for value in values {
        let part = STANDARD_NO_PAD.decode(value).context("a piece")?;
        bytes.extend(part);
        count += 1;
    }
    ensure!(count == chunks.count, "{count} pieces of {}", chunks.count);
    serde_json::from_slice(&bytes).context("the pieces together")
}
