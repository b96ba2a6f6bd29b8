//! Chunked job specs: a spec that is too long for one value is written in chunks
//! before the record that refers to them. For an older record that holds its spec
//! inline, nothing waits for this: the record can be read and its job ended as
//! before, and only a change of the record requires the chunks first.
//!
//! Owns the uploads in progress: the chunks of each job that have been written.
//! Called by persistence, which plans the writes, and by submission. Invariants: a
//! record never refers to a chunk that may not have been written, and a chunk to
//! which a record may refer is never deleted.

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

/// Largest number of chunks in one transaction, which keeps it well under 64 KiB.
const MAX_CHUNKS_PER_TRANSACTION: usize = 24;

/// A spec whose chunks are being written.
struct SpecUpload {
    spec_chunks: SpecChunks,
    /// Keys and values of the chunks, in order.
    values: Vec<(String, String)>,
    /// Number of chunks that have been written.
    written: usize,
}

/// Specs of accepted jobs that are being written in chunks.
#[derive(Default)]
pub(super) struct SpecUploads {
    /// Whether every controller can read chunks.
    pub(super) allowed: bool,
    /// Uploads in progress, by job.
    uploads: HashMap<JobHandle, SpecUpload>,
}

impl SpecUploads {
    /// Whether the chunks of the job's spec must be written before its record.
    pub(super) fn is_due(&self, job: &Job, value_kb: f64) -> bool {
        self.allowed && job.spec_chunks.is_none() && !keys::fits(job.inline_size, value_kb)
    }

    /// Adds the next chunks of a job's spec to the plan, within the budget.
    pub(super) fn plan(
        &mut self,
        handle: JobHandle,
        job: &Job,
        plan: &mut WritePlan,
        budget: &mut WriteBudget,
    ) {
        let upload = match self.uploads.entry(handle) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => match spec_chunks::split(&job.spec) {
                Ok((spec_chunks, values)) => entry.insert(SpecUpload {
                    spec_chunks,
                    values,
                    written: 0,
                }),
                Err(e) => return log::error!("job {}: cannot chunk its spec: {e}", job.id),
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
    /// Notes whether every controller runs this version. Once it has been `true`, specs may be
    /// written in chunks.
    pub fn set_all_controllers_upgraded(&mut self, complete: bool) {
        self.spec_uploads.allowed |= complete;
    }

    /// Notes that the first `chunks_written` chunks of the job's spec have been written. After
    /// the last chunk, the job's record can refer to them.
    pub(super) fn spec_chunks_written(&mut self, handle: JobHandle, chunks_written: usize) {
        let uploads = &mut self.spec_uploads.uploads;
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

    /// Queues the written chunks of an incomplete upload for deletion, after the job has ended.
    pub(super) fn drop_spec_upload(&mut self, handle: JobHandle) {
        if let Some(upload) = self.spec_uploads.uploads.remove(&handle) {
            let keys = upload.values.into_iter().map(|(key, _)| key);
            self.write_queue
                .unconditional_deletes
                .extend(keys.take(upload.written));
        }
    }

    /// Returns the chunks of a long spec and the transactions that write them before the job
    /// is accepted, or `None` if the spec is stored inline. Each transaction holds the
    /// condition on this term, so that none can rewrite a chunk that a later leader deleted.
    pub fn spec_chunk_writes(
        &self,
        spec: &JobSpec,
    ) -> anyhow::Result<Option<(SpecChunks, Vec<Txn>)>> {
        let limits = self.settings.cluster.state.strictest();
        if !self.spec_uploads.allowed || keys::fits(keys::inline_record_size(spec), limits.value_kb)
        {
            return Ok(None);
        }
        let (spec_chunks, values) = spec_chunks::split(spec)?;
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

    /// Whether the job's record refers to the chunk with this key, or the chunk is being
    /// written. Such a chunk must not be deleted as an orphan, even if it was one before.
    pub(super) fn spec_chunk_in_use(&self, key: &str) -> bool {
        let Some(handle) = SpecChunks::job_of(key).and_then(|id| self.cluster.job_handle(id))
        else {
            return false;
        };
        let upload = self.spec_uploads.uploads.get(&handle);
        if upload.is_some_and(|upload| upload.values.iter().any(|(other, _)| other == key)) {
            return true;
        }
        self.cluster.job(handle).is_some_and(|job| {
            let spec_chunks = job.spec_chunks.as_ref();
            spec_chunks.is_some_and(|chunks| chunks.contains_key(&job.id, key))
        })
    }

    /// Queues orphaned chunks for deletion. `found` holds the chunks that were read in this
    /// term; those to which no record refers are left over from an abandoned submission or
    /// from a job that has ended.
    pub fn load_spec_chunks(&mut self, found: Vec<(String, u64)>) {
        for (key, version) in found {
            let id = SpecChunks::job_of(&key).unwrap_or_default();
            let job = self
                .cluster
                .job_handle(id)
                .and_then(|handle| self.cluster.job(handle));
            let spec_chunks = job.and_then(|job| job.spec_chunks.as_ref());
            if !spec_chunks.is_some_and(|chunks| chunks.contains_key(id, &key)) {
                self.write_queue.conditional_deletes.push((key, version));
            }
        }
    }
}
