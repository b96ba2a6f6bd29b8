//! Specs too long for one value: written in chunks before a record is written
//! that names them. Nothing waits for it: an older record can be read as it
//! is, and its job be ended; only a change of the record needs the chunks first.
//!
//! Owns which chunks of which job are written. Called by persistence, which
//! plans the writes, and by submission. Must never let a record name a chunk
//! that is not surely written, nor delete one that a record may name.

use super::{
    Leader,
    persistence::{WriteBudget, WriteIntent, WritePlan},
};
use crate::{
    protocol::{
        state::{Txn, Write},
        users::JobSpec,
    },
    state::{
        cluster::{Job, JobHandle},
        records as keys,
        spec_chunks::{self, SpecChunks},
    },
};
use std::collections::{HashMap, hash_map::Entry};

/// Chunks in one transaction, which then stays well under 64 KiB.
const MAX_CHUNKS_PER_TRANSACTION: usize = 24;

/// A spec of which chunks are being written.
struct SpecUpload {
    spec_chunks: SpecChunks,
    /// Keys and values of the chunks, in order.
    values: Vec<(String, String)>,
    /// How many of them are written.
    written: usize,
}

/// Specs of known jobs that are being written in chunks.
#[derive(Default)]
pub(super) struct SpecUploads {
    /// Every controller can read chunks.
    pub(super) allowed: bool,
    /// By job.
    open: HashMap<JobHandle, SpecUpload>,
}

impl SpecUploads {
    /// Whether the job's record can't be written before its spec's chunks are.
    pub(super) fn is_due(&self, job: &Job, value_kb: f64) -> bool {
        self.allowed && job.spec_chunks.is_none() && !keys::fits(job.inline_size, value_kb)
    }

    /// Adds the next chunks of a job's spec to what is to be written.
    pub(super) fn plan(
        &mut self,
        handle: JobHandle,
        job: &Job,
        plan: &mut WritePlan,
        budget: &mut WriteBudget,
    ) {
        let upload = match self.open.entry(handle) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(place) => match spec_chunks::cut(&job.spec) {
                Ok((spec_chunks, values)) => place.insert(SpecUpload {
                    spec_chunks,
                    values,
                    written: 0,
                }),
                Err(e) => return log::error!("job {}: {e}", job.id),
            },
        };
        let chunks_written = upload
            .values
            .len()
            .min(upload.written + budget.writes_left(plan));
        for (key, value) in &upload.values[upload.written..chunks_written] {
            budget.put_sized(plan, key.clone(), value.as_str().into(), value.len());
        }
        if chunks_written > upload.written {
            plan.intents.push(WriteIntent::UploadSpec {
                job: handle,
                chunks_written,
            });
        }
    }
}

impl Leader {
    /// Whether every controller runs this version, once it is known.
    pub fn upgraded(&mut self, complete: bool) {
        self.spec_uploads.allowed |= complete;
    }

    /// So many chunks of the job's spec are written.
    pub(super) fn spec_chunks_written(&mut self, handle: JobHandle, chunks_written: usize) {
        let uploads = &mut self.spec_uploads.open;
        let Some(upload) = uploads.get_mut(&handle) else {
            return;
        };
        upload.written = upload.written.max(chunks_written);
        if upload.written < upload.values.len() {
            return;
        }
        let Some(upload) = uploads.remove(&handle) else {
            return;
        };
        let job = self.cluster.job_mut(handle);
        if let Some(job) = job.filter(|job| job.spec_chunks.is_none()) {
            job.spec_chunks = Some(upload.spec_chunks);
        }
    }

    /// The job is over: chunks of an upload that is not complete are deleted.
    pub(super) fn drop_spec_upload(&mut self, handle: JobHandle) {
        if let Some(upload) = self.spec_uploads.open.remove(&handle) {
            let keys = upload.values.into_iter().map(|(key, _)| key);
            self.write_queue
                .unconditional_deletes
                .extend(keys.take(upload.written));
        }
    }

    /// What is written before a job with a long spec is accepted. Each
    /// transaction is on condition of this term, so that none can undo what a
    /// later leader deletes.
    pub fn pieces_first(&self, spec: &JobSpec) -> anyhow::Result<Option<(SpecChunks, Vec<Txn>)>> {
        let limits = self.settings.cluster.state.always();
        if !self.spec_uploads.allowed || keys::fits(keys::inline_record_size(spec), limits.value_kb)
        {
            return Ok(None);
        }
        let (spec_chunks, values) = spec_chunks::cut(spec)?;
        let writes: Vec<Write> = values
            .into_iter()
            .map(|(key, value)| Write::Put {
                key,
                value: value.into(),
                lease: None,
            })
            .collect();
        let txns = writes
            .chunks(limits.txn_ops.min(MAX_CHUNKS_PER_TRANSACTION))
            .map(|writes| Txn {
                conditions: vec![self.leader_condition()],
                writes: writes.to_vec(),
            });
        Ok(Some((spec_chunks, txns.collect())))
    }

    /// Whether the chunk with this key is named by its job's record, or is
    /// being written: then it must not be deleted as left over, even if it once
    /// was.
    pub(super) fn spec_chunk_in_use(&self, key: &str) -> bool {
        let Some(handle) = SpecChunks::job_of(key).and_then(|id| self.cluster.job_handle(id))
        else {
            return false;
        };
        let upload = self.spec_uploads.open.get(&handle);
        if upload.is_some_and(|upload| upload.values.iter().any(|(other, _)| other == key)) {
            return true;
        }
        self.cluster.job(handle).is_some_and(|job| {
            let spec_chunks = job.spec_chunks.as_ref();
            spec_chunks.is_some_and(|chunks| chunks.names(&job.id, key))
        })
    }

    /// Chunks as they were found in this term: those that no record names are
    /// left from a submission that was given up, or from a job that is over.
    pub fn load_spec_chunks(&mut self, found: Vec<(String, u64)>) {
        for (key, version) in found {
            let id = SpecChunks::job_of(&key).unwrap_or_default();
            let job = self
                .cluster
                .job_handle(id)
                .and_then(|handle| self.cluster.job(handle));
            let spec_chunks = job.and_then(|job| job.spec_chunks.as_ref());
            if !spec_chunks.is_some_and(|chunks| chunks.names(id, &key)) {
                self.write_queue.conditional_deletes.push((key, version));
            }
        }
    }
}
