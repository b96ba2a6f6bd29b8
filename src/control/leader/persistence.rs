//! Writes of the leader to the state service: which transaction is due next.
//!
//! Owns the order in which records are written and the size budget of a
//! transaction. Called by the control loop, which sends one transaction at a time
//! and passes its outcome to `write_outcomes`. Invariant: each transaction holds
//! the condition on the leader's own key.

use super::Leader;
use crate::{
    protocol::{
        state::{Condition, Txn, Write},
        users::{JobSpec, JobState},
    },
    state::{
        cluster::{Job, JobHandle, MachineHandle, Registration},
        offload::OffloadTarget,
        records::{
            self as keys, FinalRecord, JobRecord, LEADER, MachineRecord, final_key, job_key,
            machine_key, segment_key,
        },
        spec_chunks::SpecChunks,
    },
};

/// Bytes of keys and values after which nothing more is added to a
/// transaction. The limit of a transaction is 64 KiB; the rest leaves space for
/// one more record and the conditions.
const MAX_PLAN_BYTES: usize = 48 * 1024;
/// Encoded size of a write in bytes, without its key and value.
const WRITE_OVERHEAD_BYTES: usize = 40;
/// Encoded size of the image list in a machine's record in bytes, without the
/// image names.
const IMAGE_LIST_BYTES: usize = 20;

/// The purpose of one part of a transaction, from which the outcome is applied
/// to the cluster state.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteIntent {
    /// Records a cancellation in the job's record.
    Cancel {
        /// Handle of the job.
        job: JobHandle,
        /// Id of the job.
        id: String,
    },
    /// Records that the job is offloaded.
    Offload {
        /// Handle of the job.
        job: JobHandle,
    },
    /// Records that the job is no longer offloaded.
    EndOffload {
        /// Handle of the job.
        job: JobHandle,
    },
    /// Replaces the job's record by the record of its terminal state.
    Finish {
        /// Handle of the job.
        job: JobHandle,
        /// Id of the job.
        id: String,
        /// The terminal state of the job.
        state: JobState,
    },
    /// Records completed tasks.
    RecordProgress {
        /// Handle of the job.
        job: JobHandle,
        /// Indices of the completion bitmap segments that are written.
        segments: Vec<usize>,
    },
    /// Writes the record of a machine that is in use.
    Registration {
        /// Handle of the machine.
        machine: MachineHandle,
    },
    /// Records that the machine's lease has expired.
    ExpireMachine {
        /// Handle of the machine.
        machine: MachineHandle,
    },
    /// Records that the machine is being released.
    MarkReleasing {
        /// Handle of the machine.
        machine: MachineHandle,
    },
    /// Deletes a key that no record refers to.
    Delete {
        /// Key to delete.
        key: String,
    },
    /// Writes chunks of the job's spec.
    UploadSpec {
        /// Handle of the job.
        job: JobHandle,
        /// Number of chunks that are written once the transaction is applied,
        /// counted from the first chunk.
        chunks_written: usize,
    },
}

/// One transaction, with the intent of each of its parts.
#[derive(Debug, Clone)]
pub struct WritePlan {
    /// The transaction as it is sent to the state service.
    pub txn: Txn,
    /// The intents that are applied to the cluster state once the outcome is known.
    pub intents: Vec<WriteIntent>,
}

/// Limits the size of one transaction. The number of writes is taken from the
/// plan itself; bytes are counted only for writes that are put through the
/// budget: job records, segments, final records and spec chunks.
pub(super) struct WriteBudget {
    max_writes: usize,
    used_bytes: usize,
}

impl WriteBudget {
    fn new(max_writes: usize) -> Self {
        WriteBudget {
            max_writes,
            used_bytes: 0,
        }
    }

    /// Returns the number of writes that may still be added to the plan.
    pub(super) fn writes_left(&self, plan: &WritePlan) -> usize {
        self.max_writes.saturating_sub(plan.txn.writes.len())
    }

    /// Whether one more write may be added to the plan.
    pub(super) fn has_write(&self, plan: &WritePlan) -> bool {
        self.writes_left(plan) > 0
    }

    fn has_bytes_left(&self) -> bool {
        self.used_bytes <= MAX_PLAN_BYTES
    }

    /// Whether the writes of one more job may be added to the plan. A job needs
    /// at most two writes, beside bitmap segments that can wait.
    fn can_take_job(&self, plan: &WritePlan) -> bool {
        self.writes_left(plan) >= 2 && self.has_bytes_left()
    }

    /// Adds a write of the value to the plan and counts its bytes.
    fn put(&mut self, plan: &mut WritePlan, key: String, value: serde_json::Value) {
        let value_bytes = value.to_string().len();
        self.put_sized(plan, key, value, value_bytes);
    }

    /// Adds a write of a value whose encoded size is known, and counts its bytes.
    pub(super) fn put_sized(
        &mut self,
        plan: &mut WritePlan,
        key: String,
        value: serde_json::Value,
        value_bytes: usize,
    ) {
        self.used_bytes += key.len() + value_bytes + WRITE_OVERHEAD_BYTES;
        plan.txn.writes.push(Write::Put {
            key,
            value,
            lease: None,
        });
    }
}

/// The passes in which the writes of jobs are planned, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobPass {
    Cancellations,
    Endings,
    Progress,
}

/// The write that is due for one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobWrite {
    Cancel,
    End(JobState),
    Progress,
}

impl Leader {
    /// Returns the condition that this leader's term is still the current one.
    pub(super) fn leader_condition(&self) -> Condition {
        Condition {
            key: LEADER.into(),
            version: self.term,
        }
    }

    /// Returns the transaction that accepts a job, and the job's record in it.
    pub fn acceptance(
        &self,
        spec: &JobSpec,
        spec_chunks: Option<SpecChunks>,
        wall_ms: u64,
    ) -> (Txn, JobRecord) {
        let mut record = JobRecord::new(spec.clone(), wall_ms);
        record.spec_chunks = spec_chunks;
        let mut txn = acceptance(&record);
        txn.conditions.push(self.leader_condition());
        (txn, record)
    }

    /// Returns a plan that holds only the condition on this leader's term.
    pub(super) fn empty_plan(&self) -> WritePlan {
        WritePlan {
            txn: Txn {
                conditions: vec![self.leader_condition()],
                writes: Vec::new(),
            },
            intents: Vec::new(),
        }
    }

    /// Plans the next transaction, with at most `max_writes` writes.
    /// Cancellations come first, because users wait for them, then machine
    /// records, because starts wait for them, then terminal states, then
    /// progress. Returns `None` if there is nothing to write.
    pub fn plan_writes(&mut self, max_writes: usize) -> Option<WritePlan> {
        if !self.recovery.loaded {
            return None;
        }
        if !self.write_queue.offload_changes.is_empty()
            && let Some(offloads) = self.plan_offloads(max_writes)
        {
            return Some(offloads);
        }
        let limits = self.settings.cluster.state.strictest();
        let has_spare_rate = max_writes as f64 > limits.write_rps / 2.0;
        let mut budget = WriteBudget::new(max_writes.min(limits.txn_ops));
        let mut plan = self.empty_plan();
        self.plan_job_writes(JobPass::Cancellations, &mut plan, &mut budget);
        let expired = self.plan_machine_records(&mut plan, &budget, has_spare_rate);
        self.plan_job_writes(JobPass::Endings, &mut plan, &mut budget);
        self.plan_job_writes(JobPass::Progress, &mut plan, &mut budget);
        self.plan_offload_removals(&mut plan, &budget);
        for machine_handle in expired {
            if budget.has_write(&plan) && budget.has_bytes_left() {
                self.plan_machine(machine_handle, &mut plan);
            }
        }
        while budget.has_write(&plan)
            && let Some(key) = self.write_queue.unconditional_deletes.pop()
        {
            plan.txn.writes.push(Write::Delete { key });
        }
        (!plan.txn.writes.is_empty()).then_some(plan)
    }

    /// Adds the writes of one pass for all jobs, within the budget. The first
    /// pass also adds spec chunks that must be written before a job's record.
    fn plan_job_writes(&mut self, pass: JobPass, plan: &mut WritePlan, budget: &mut WriteBudget) {
        let value_kb = self.settings.cluster.state.strictest().value_kb;
        let all_tasks_known = self.recovery.knows_all_tasks();
        for (handle, job) in self.cluster.jobs.iter_mut() {
            if !budget.can_take_job(plan) {
                break;
            }
            if job.write_in_flight {
                continue;
            }
            let (due, write) = JobWrite::due(job, all_tasks_known);
            // The record is too large to be written with the spec inline: the spec
            // chunks have to be written first.
            if write.keeps_record(job) && self.spec_uploads.is_due(job, value_kb) {
                if pass == JobPass::Cancellations {
                    self.spec_uploads.plan(handle, job, plan, budget);
                }
                continue;
            }
            if pass != due {
                continue;
            }
            match write {
                JobWrite::Cancel => plan_cancellation(handle, job, plan, budget),
                JobWrite::End(state) => plan_ending(handle, job, state, plan, budget),
                JobWrite::Progress if job.is_dirty() && !job.cancelled => {
                    plan_progress(handle, job, plan, budget);
                }
                JobWrite::Progress => {}
            }
        }
    }

    /// Adds machine records that starts or releases wait for, other due updates
    /// of registered machines, and deletions of keys that no record refers to.
    /// Returns the machines whose lease expiry remains to be recorded, which
    /// nothing waits for.
    fn plan_machine_records(
        &mut self,
        plan: &mut WritePlan,
        budget: &WriteBudget,
        has_spare_rate: bool,
    ) -> Vec<MachineHandle> {
        let mut expired = Vec::new();
        for index in self.cluster.machine_range() {
            if !budget.has_write(plan) {
                return expired;
            }
            let Some((machine_handle, machine)) = self.cluster.machine_at(index) else {
                continue;
            };
            if machine.write_in_flight {
                continue;
            }
            if machine.lease_expired() && !machine.releasing && !machine.may_be_recorded_empty {
                expired.push(machine_handle);
                continue;
            }
            let registered = machine.registration == Registration::Present;
            let release_due = machine.releasing && !machine.release_recorded;
            // Image lists are not urgent: they are written only while the plan
            // may hold more writes than half of `write_rps`.
            let images_due = machine.images_unrecorded && machine.up && has_spare_rate;
            let update_due = release_due || images_due || machine.quarantine_unrecorded;
            if machine.awaits_record() || registered && update_due {
                self.plan_machine(machine_handle, plan);
            }
        }
        self.plan_conditional_deletes(plan, budget);
        expired
    }

    fn plan_conditional_deletes(&mut self, plan: &mut WritePlan, budget: &WriteBudget) {
        while budget.has_write(plan)
            && let Some((key, version)) = self.write_queue.conditional_deletes.pop()
        {
            if self.spec_chunk_in_use(&key) {
                continue;
            }
            plan.txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            plan.txn.writes.push(Write::Delete { key: key.clone() });
            plan.intents.push(WriteIntent::Delete { key });
        }
    }

    /// Adds the write of a machine's record to the plan.
    fn plan_machine(&mut self, machine_handle: MachineHandle, plan: &mut WritePlan) {
        let Some(machine) = self.cluster.machine(machine_handle) else {
            return;
        };
        let key = machine_key(&machine.name);
        plan.txn.conditions.push(Condition {
            key: key.clone(),
            version: machine.record_version,
        });
        let lease_expired = machine.lease_expired() && !machine.releasing;
        let registered = machine.registration == Registration::Present;
        let record = MachineRecord {
            addr: machine.addr.map(|a| a.to_string()).unwrap_or_default(),
            type_name: self.cluster.types[machine.type_index].name.clone(),
            zone: self.cluster.zones.name(machine.zone).to_owned(),
            spot: machine.spot,
            releasing: lease_expired || machine.releasing && registered,
            lease_expired,
            quarantined: machine.failures.quarantined,
            images: Vec::new(),
        };
        let record = self.with_images(record, &machine.images);
        let recorded_empty = record.releasing;
        plan.txn.writes.push(Write::Put {
            key,
            value: serde_json::to_value(record).unwrap_or_default(),
            lease: None,
        });
        plan.intents.push(match (lease_expired, machine.releasing) {
            (true, _) => WriteIntent::ExpireMachine {
                machine: machine_handle,
            },
            (false, true) => WriteIntent::MarkReleasing {
                machine: machine_handle,
            },
            (false, false) => WriteIntent::Registration {
                machine: machine_handle,
            },
        });
        if let Some(machine) = self.cluster.machine_mut(machine_handle) {
            machine.write_in_flight = true;
            machine.images_unrecorded = false;
            machine.quarantine_unrecorded = false;
            // Set before the outcome is known, because an indeterminate write may
            // be applied late.
            machine.may_be_recorded_empty |= recorded_empty;
        }
    }

    /// Adds the most recently used images to the record, as many as fit into its
    /// value.
    fn with_images(&self, mut record: MachineRecord, images: &[u32]) -> MachineRecord {
        let limit = self.settings.cluster.state.strictest().value_kb * 1024.0;
        let without_images = serde_json::to_value(&record).map_or(0, |v| v.to_string().len());
        let mut bytes_left = (limit as usize).saturating_sub(without_images + IMAGE_LIST_BYTES);
        for image in images.iter().rev() {
            let name = self.cluster.images.name(*image as usize);
            // The size of the name as it is encoded in the value, with escapes and
            // a separator.
            let bytes = serde_json::to_string(name).map_or(usize::MAX, |text| text.len() + 1);
            if bytes > bytes_left {
                break;
            }
            bytes_left -= bytes;
            record.images.insert(0, name.to_owned());
        }
        record
    }
}

impl JobWrite {
    /// Returns the write that is due for the job, and the pass it belongs to.
    /// `all_tasks_known` tells whether this leader knows every task that an
    /// earlier leader may have started.
    fn due(job: &Job, all_tasks_known: bool) -> (JobPass, JobWrite) {
        let nothing_runs = !job.has_live_attempts() && all_tasks_known;
        // A job that is to be cancelled and has no live task is ended at once,
        // without first recording the cancellation in its record.
        let to_cancel = job.cancelled || job.cancel_requested && job.offload.is_local();
        let ending = if job.is_complete() && !job.cancelled {
            Some(JobState::Done)
        } else if to_cancel && nothing_runs {
            Some(JobState::Cancelled)
        } else {
            None
        };
        let cancellation_awaited =
            job.cancel_requested && !job.cancelled && ending != Some(JobState::Done);
        match (ending, cancellation_awaited) {
            (Some(state), true) => (JobPass::Cancellations, JobWrite::End(state)),
            (Some(state), false) => (JobPass::Endings, JobWrite::End(state)),
            (None, true) => (JobPass::Cancellations, JobWrite::Cancel),
            (None, false) => (JobPass::Progress, JobWrite::Progress),
        }
    }

    /// Whether this write, or a pending change of the offload state, rewrites the
    /// job's record instead of deleting it.
    fn keeps_record(self, job: &Job) -> bool {
        match self {
            JobWrite::Cancel => true,
            JobWrite::End(_) => false,
            JobWrite::Progress => job.is_dirty() || job.offload.has_pending_change(),
        }
    }
}

fn plan_cancellation(
    handle: JobHandle,
    job: &mut Job,
    plan: &mut WritePlan,
    budget: &mut WriteBudget,
) {
    plan.txn.conditions.push(job.record_condition());
    let record = job_record(job, true, job.offload.recorded_target());
    budget.put(plan, job_key(&job.id), record);
    plan.intents.push(WriteIntent::Cancel {
        job: handle,
        id: job.id.clone(),
    });
    job.write_in_flight = true;
    job.ending_in_flight = true;
}

fn plan_ending(
    handle: JobHandle,
    job: &mut Job,
    state: JobState,
    plan: &mut WritePlan,
    budget: &mut WriteBudget,
) {
    plan.txn.conditions.push(job.record_condition());
    plan.txn.conditions.push(Condition {
        key: final_key(&job.id),
        version: 0,
    });
    let record = FinalRecord {
        state,
        done: job.completed_count,
    };
    let value = serde_json::to_value(record).unwrap_or_default();
    budget.put(plan, final_key(&job.id), value);
    plan.txn.writes.push(Write::Delete {
        key: job_key(&job.id),
    });
    plan.intents.push(WriteIntent::Finish {
        job: handle,
        id: job.id.clone(),
        state,
    });
    job.write_in_flight = true;
    job.ending_in_flight = true;
}

/// Plans the write of the job's record and of its dirty segments, as many as the
/// budget allows. The record is always included so that its version advances: an
/// older state of a segment that is applied late can't overwrite a newer one.
fn plan_progress(handle: JobHandle, job: &mut Job, plan: &mut WritePlan, budget: &mut WriteBudget) {
    plan.txn.conditions.push(job.record_condition());
    let record = job_record(job, false, job.offload.recorded_target());
    budget.put(plan, job_key(&job.id), record);
    // The first segment is stored in the record itself.
    let mut segments = vec![0];
    for segment in 1..job.dirty_segments.len() {
        if job.dirty_segments[segment] && budget.has_write(plan) {
            let value = serde_json::Value::String(job.completed.segment_text(segment));
            budget.put(plan, segment_key(&job.id, segment), value);
            segments.push(segment);
        }
    }
    for segment in &segments {
        job.dirty_segments[*segment] = false;
    }
    plan.intents.push(WriteIntent::RecordProgress {
        job: handle,
        segments,
    });
    job.write_in_flight = true;
}

/// Returns the transaction that accepts a job on a node that can't reach a
/// leader, with an entry in the acceptance feed that the next leader reads.
pub fn acceptance_with_feed_entry(record: &JobRecord) -> Txn {
    let mut txn = acceptance(record);
    txn.writes.push(Write::Put {
        key: keys::acceptance_key(&record.spec.id),
        value: serde_json::Value::Bool(true),
        lease: None,
    });
    txn
}

/// Returns the part of an acceptance transaction that is the same on all nodes.
fn acceptance(record: &JobRecord) -> Txn {
    let id = &record.spec.id;
    Txn {
        conditions: vec![
            Condition {
                key: job_key(id),
                version: 0,
            },
            Condition {
                key: final_key(id),
                version: 0,
            },
        ],
        writes: vec![Write::Put {
            key: job_key(id),
            value: record.stored(),
            lease: None,
        }],
    }
}

/// Encodes the job's record for writing.
pub(super) fn job_record(
    job: &Job,
    cancelled: bool,
    offloaded_to: Option<OffloadTarget>,
) -> serde_json::Value {
    let record = JobRecord {
        spec: job.spec.clone(),
        spec_chunks: job.spec_chunks.clone(),
        accepted_at_ms: job.accepted_at_ms,
        cancelled: cancelled || job.cancelled,
        suspected: job.failures.suspected,
        completed: job.completed.segment_text(0),
        offloaded_to,
    };
    record.stored()
}
