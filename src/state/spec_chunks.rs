//! Descriptions of jobs too long for one value: kept in pieces under keys of
//! their own, which never change, while the job's record names them and keeps
//! what does change. Keys are made from what they hold, so that writing them
//! again, in any order and by anybody, changes nothing.

use crate::protocol::users::JobSpec;
use anyhow::{Context, Result, ensure};
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hasher};

pub const SPEC_CHUNKS: &str = "p/";
/// Bytes of a description in a piece: fits any allowed limit in base 64.
const BYTES: usize = 1200;

/// What a job's record says of its description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecChunks {
    /// From the description itself.
    #[serde(rename = "h")]
    hash: String,
    #[serde(rename = "n")]
    count: usize,
}

impl SpecChunks {
    pub fn prefix(&self, id: &str) -> String {
        format!("{SPEC_CHUNKS}{id}/{}/", self.hash)
    }

    pub fn keys(&self, id: &str) -> impl Iterator<Item = String> + use<> {
        let prefix = self.prefix(id);
        (0..self.count).map(move |n| format!("{prefix}{n:04}"))
    }

    /// Whether the key is one of these.
    pub fn names(&self, id: &str, key: &str) -> bool {
        let number = key.strip_prefix(&self.prefix(id)).map(str::parse::<usize>);
        matches!(number, Some(Ok(n)) if n < self.count)
    }

    /// The job that a piece's key belongs to.
    pub fn job_of(key: &str) -> Option<&str> {
        Some(key.strip_prefix(SPEC_CHUNKS)?.split_once('/')?.0)
    }
}

/// What is to be written before a record may name the pieces.
pub fn cut(spec: &JobSpec) -> Result<(SpecChunks, Vec<(String, String)>)> {
    let bytes = serde_json::to_vec(spec)?;
    let mut hasher = DefaultHasher::new();
    hasher.write(&bytes);
    let pieces = SpecChunks {
        hash: format!("{:016x}{:x}", hasher.finish(), bytes.len()),
        count: bytes.len().div_ceil(BYTES),
    };
    let texts = bytes.chunks(BYTES).map(|c| STANDARD_NO_PAD.encode(c));
    let values = pieces.keys(&spec.id).zip(texts).collect();
    Ok((pieces, values))
}

/// The description, from its pieces in order.
pub fn join<'a>(pieces: &SpecChunks, values: impl Iterator<Item = &'a str>) -> Result<JobSpec> {
    let mut bytes = Vec::new();
    let mut count = 0;
    for value in values {
        let part = STANDARD_NO_PAD.decode(value).context("a piece")?;
        bytes.extend(part);
        count += 1;
    }
    ensure!(count == pieces.count, "{count} pieces of {}", pieces.count);
    serde_json::from_slice(&bytes).context("the pieces together")
}
