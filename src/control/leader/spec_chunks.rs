//! Descriptions too long for one value, cut before a record is written that
//! names the pieces. Nothing hangs on when that is done: an older record can be
//! read as it is, and its job be ended; only what marks it needs the cut first.

use super::*;
use crate::state::spec_chunks::{self, SpecChunks};

/// A description on its way into pieces.
struct Cut {
    id: String,
    pieces: SpecChunks,
    values: Vec<(String, String)>,
    /// So many are written.
    written: usize,
}

#[derive(Default)]
pub(super) struct SpecUploads {
    /// Every controller can read pieces.
    pub(super) allowed: bool,
    /// By job.
    open: HashMap<u32, Cut>,
}

impl SpecUploads {
    /// The job's record can't be written before its description is cut.
    pub(super) fn is_due(&self, j: &Job, value_kb: f64) -> bool {
        self.allowed && j.spec_chunks.is_none() && !keys::fits(j.inline_size, value_kb)
    }

    /// Adds what comes next of a job's pieces to what is to be written.
    pub(super) fn plan(
        &mut self,
        ix: u32,
        j: &mut Job,
        plan: &mut WritePlan,
        most: usize,
        bytes: &mut usize,
    ) {
        if self.open.get(&ix).is_none_or(|c| c.id != j.id) {
            match spec_chunks::cut(&j.spec) {
                Ok((pieces, values)) => {
                    let (id, written) = (j.id.clone(), 0);
                    let cut = Cut {
                        id,
                        pieces,
                        values,
                        written,
                    };
                    self.open.insert(ix, cut);
                }
                Err(e) => return log::error!("job {}: {e}", j.id),
            }
        }
        let Some(cut) = self.open.get(&ix) else {
            return;
        };
        let upto = cut.values.len().min(cut.written + most);
        for (key, value) in &cut.values[cut.written..upto] {
            *bytes += key.len() + value.len() + 40;
            plan.txn.writes.push(Write::Put {
                key: key.clone(),
                value: value.as_str().into(),
                lease: None,
            });
        }
        if upto > cut.written {
            plan.intents
                .push(WriteIntent::UploadSpec(ix, j.id.clone(), upto));
        }
    }
}

impl Leader {
    /// Every controller runs this version.
    pub fn upgraded(&mut self, complete: bool) {
        self.spec_uploads.allowed |= complete;
    }

    /// Pieces up to this one are written.
    pub(super) fn cut(&mut self, ix: u32, id: &str, upto: usize) {
        let Some(cut) = self.spec_uploads.open.get_mut(&ix).filter(|c| c.id == id) else {
            return;
        };
        cut.written = cut.written.max(upto);
        if cut.written < cut.values.len() {
            return;
        }
        let Some(cut) = self.spec_uploads.open.remove(&ix) else {
            return;
        };
        if let Some(j) = self.job_of(ix, id).filter(|j| j.spec_chunks.is_none()) {
            j.spec_chunks = Some(cut.pieces);
        }
    }

    /// The job is over: what was written of a cut that is not complete goes.
    pub(super) fn drop_cut(&mut self, ix: u32) {
        if let Some(cut) = self.spec_uploads.open.remove(&ix) {
            let keys = cut.values.into_iter().map(|(key, _)| key);
            self.write_queue
                .unconditional_deletes
                .extend(keys.take(cut.written));
        }
    }

    /// What is written before a long description is accepted. Each transaction
    /// is guarded by this term, so that none can undo what a later leader
    /// clears away.
    pub fn pieces_first(&self, spec: &JobSpec) -> anyhow::Result<Option<(SpecChunks, Vec<Txn>)>> {
        let limits = self.settings.cluster.state.always();
        if !self.spec_uploads.allowed || keys::fits(keys::inline_record_size(spec), limits.value_kb)
        {
            return Ok(None);
        }
        let (pieces, values) = spec_chunks::cut(spec)?;
        let puts: Vec<Write> = values
            .into_iter()
            .map(|(key, value)| Write::Put {
                key,
                value: value.into(),
                lease: None,
            })
            .collect();
        // Well under the 64 KiB of a transaction.
        let txns = puts.chunks(limits.txn_ops.min(24)).map(|writes| Txn {
            conditions: vec![self.leader_condition()],
            writes: writes.to_vec(),
        });
        Ok(Some((pieces, txns.collect())))
    }

    /// Guards against clearing away, as left over, what is being written again
    /// under the same key, or was since.
    pub(super) fn spec_chunk_in_use(&self, key: &str) -> bool {
        let Some(ix) = SpecChunks::job_of(key).and_then(|id| self.cluster.job_index(id)) else {
            return false;
        };
        let cut = self.spec_uploads.open.get(&ix);
        let cut = cut.is_some_and(|c| c.values.iter().any(|(k, _)| k == key));
        let job = self.cluster.job(ix);
        cut || job.is_some_and(|j| j.spec_chunks.as_ref().is_some_and(|p| p.names(&j.id, key)))
    }

    /// Pieces as they were found in this term: those that no record names are
    /// left from a submission that was given up, or from a job that is over.
    pub fn load_spec_chunks(&mut self, found: Vec<(String, u64)>) {
        for (key, version) in found {
            let id = SpecChunks::job_of(&key).unwrap_or_default();
            let job = self
                .cluster
                .job_index(id)
                .and_then(|ix| self.cluster.job(ix));
            let named = job.and_then(|j| j.spec_chunks.as_ref());
            if !named.is_some_and(|p| p.names(id, &key)) {
                self.write_queue.conditional_deletes.push((key, version));
            }
        }
    }
}
