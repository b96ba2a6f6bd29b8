//! Outcomes of the leader's writes: what a transaction that was applied changes in the cluster
//! state, and reconciliation with the records after one of unknown outcome.
//!
//! Owns no state. Called by the control loop when a transaction that `persistence` planned has
//! ended, and for each key that is read again. An unknown outcome is never treated as a failure.

use super::{
    Leader,
    persistence::{WriteIntent, WritePlan},
};
use crate::{
    protocol::{
        market::AWARDS,
        users::{JobState, JobStatus},
    },
    state::{
        Millis,
        cluster::{JobHandle, Registration},
        records::{self as keys, FinalRecord, LEADER, MachineRecord, StoredJob, segment_key},
    },
};

impl Leader {
    /// Applies a transaction that succeeded at this revision to the cluster state.
    pub fn writes_applied(&mut self, plan: &WritePlan, revision: u64, now: Millis) {
        for intent in &plan.intents {
            match intent {
                WriteIntent::Cancel { job, id } => {
                    self.cancellation_applied(*job, id, revision, now);
                }
                WriteIntent::Offload { job } => {
                    if let Some(job) = self.cluster.job_mut(*job) {
                        job.record_version = revision;
                        job.write_in_flight = false;
                        job.offload.mark_recorded();
                    }
                }
                WriteIntent::EndOffload { job } => {
                    if let Some(job) = self.cluster.job_mut(*job) {
                        job.record_version = revision;
                        job.write_in_flight = false;
                        job.offload.mark_removed();
                    }
                }
                WriteIntent::Finish { job, id, state } => {
                    self.job_ended(*job, id, *state, revision, now);
                }
                WriteIntent::RecordProgress { job, segments } => {
                    if let Some(job) = self.cluster.job_mut(*job) {
                        job.write_in_flight = false;
                        if segments.contains(&0) {
                            job.record_version = revision;
                        }
                    }
                }
                WriteIntent::Registration { machine }
                | WriteIntent::MarkReleasing { machine }
                | WriteIntent::ExpireMachine { machine } => {
                    if let Some(machine) = self.cluster.machine_mut(*machine) {
                        machine.write_in_flight = false;
                        machine.registration = Registration::Present;
                        machine.record_version = revision;
                        machine.release_recorded |=
                            matches!(intent, WriteIntent::MarkReleasing { .. });
                        // An earlier indeterminate write can't be applied any
                        // more, as this one changed the record's version.
                        machine.may_be_recorded_empty &=
                            !matches!(intent, WriteIntent::Registration { .. });
                    }
                }
                WriteIntent::UploadSpec {
                    job,
                    chunks_written,
                } => self.spec_chunks_written(*job, *chunks_written),
                WriteIntent::Delete { .. } => {}
            }
        }
        self.changed = true;
    }

    fn cancellation_applied(&mut self, handle: JobHandle, id: &str, revision: u64, now: Millis) {
        let term = self.term;
        let Some(job) = self.cluster.job_mut(handle) else {
            return;
        };
        job.record_version = revision;
        job.write_in_flight = false;
        job.ending_in_flight = false;
        job.cancelled = true;
        let status = job.status();
        // An offload write that was in flight can't be applied any more, as the
        // record's version has changed.
        job.offload.mark_refused();
        log::info!("job {id} cancelled: recorded at revision {revision} in term {term}");
        self.final_states.learn(&status, now);
        self.dependencies.job_cancelled(handle);
    }

    /// Removes a job whose terminal state has been recorded at this revision.
    pub(super) fn job_ended(
        &mut self,
        handle: JobHandle,
        id: &str,
        state: JobState,
        revision: u64,
        now: Millis,
    ) {
        let term = self.term;
        let Some(job) = self.cluster.job_mut(handle) else {
            return;
        };
        let status = JobStatus {
            id: id.to_owned(),
            state,
            done: job.completed_count,
            running: 0,
        };
        log::info!("job {id} ended as {state}: recorded at revision {revision} in term {term}");
        let segments = job.dirty_segments.len();
        let spec_chunks = job.spec_chunks.clone();
        let deletes = &mut self.write_queue.unconditional_deletes;
        deletes.extend((1..segments).map(|segment| segment_key(id, segment)));
        if let Some(spec_chunks) = spec_chunks {
            deletes.extend(spec_chunks.keys(id));
        }
        self.drop_spec_upload(handle);
        self.cluster.remove_job(handle);
        self.remember_final_state(&status, now);
        self.dependencies.job_ended(handle, state == JobState::Done);
        self.changed = true;
    }

    /// Notes that a transaction got no response, so that its outcome is unknown:
    /// it may have been applied or may be applied later, and it may take long
    /// until its keys can be read. Until then the jobs that it ends are handled
    /// as ended, because a user may have read the records already: tasks of a
    /// cancelled job must not keep running through an outage, and a job whose
    /// terminal state was read must not be reported as unfinished.
    pub fn on_outcome_unknown(&mut self, plan: &WritePlan) {
        log::info!(
            "outcome of a write in term {} is unknown: {}",
            self.term,
            describe_endings(plan).unwrap_or_else(|| "no job is ended by it".to_owned())
        );
        for intent in &plan.intents {
            let (job, cancels) = match intent {
                WriteIntent::Cancel { job, .. } => (*job, true),
                WriteIntent::Finish { job, state, .. } => (*job, *state == JobState::Cancelled),
                _ => continue,
            };
            if let Some(job) = self.cluster.job_mut(job) {
                job.end_indeterminate = true;
                job.cancel_indeterminate |= cancels;
            }
        }
        self.changed = true;
    }

    /// Returns the keys to read again after a transaction that failed or whose
    /// outcome is unknown.
    pub fn keys_to_reread(plan: &WritePlan) -> Vec<String> {
        let keys = plan.txn.conditions.iter().map(|c| &c.key);
        keys.filter(|key| *key != LEADER).cloned().collect()
    }

    /// Applies the current value and version of one of the `keys_to_reread`. All
    /// of these keys must have been read before `finish_reconciliation` is called.
    pub fn reconcile_key(
        &mut self,
        key: &str,
        found: Option<(serde_json::Value, u64)>,
        now: Millis,
    ) {
        if let Some(id) = key.strip_prefix(AWARDS) {
            self.check_award_version(id, found.map_or(0, |(_, version)| version));
        } else if let Some(id) = key.strip_prefix(keys::FINALS) {
            self.reconcile_final_record(id, found, now);
        } else if let Some(id) = key.strip_prefix(keys::JOBS) {
            self.reconcile_job_record(id, found);
        } else if let Some(name) = key.strip_prefix(keys::MACHINES) {
            self.reconcile_machine_record(key, name, found);
        }
    }

    fn reconcile_final_record(
        &mut self,
        id: &str,
        found: Option<(serde_json::Value, u64)>,
        now: Millis,
    ) {
        if let Some((value, version)) = found
            && let Ok(record) = serde_json::from_value::<FinalRecord>(value)
            && let Some(handle) = self.cluster.job_handle(id)
        {
            self.job_ended(handle, id, record.state, version, now);
        }
    }

    fn reconcile_job_record(&mut self, id: &str, found: Option<(serde_json::Value, u64)>) {
        if let Some((value, version)) = found
            && let Ok(record) = serde_json::from_value::<StoredJob>(value)
            && let Some(handle) = self.cluster.job_handle(id)
            && let Some(job) = self.cluster.job_mut(handle)
        {
            job.record_version = version;
            job.spec_chunks = record.spec_chunks;
            job.cancelled |= record.cancelled;
            job.offload.reread(record.offloaded_to.as_ref());
            if job.cancelled {
                self.dependencies.job_cancelled(handle);
            }
        }
    }

    fn reconcile_machine_record(
        &mut self,
        key: &str,
        name: &str,
        found: Option<(serde_json::Value, u64)>,
    ) {
        let machine = self
            .cluster
            .machine_handle(name)
            .and_then(|machine_handle| self.cluster.machine_mut(machine_handle));
        match (machine, found) {
            (Some(machine), Some((value, version))) => {
                machine.registration = Registration::Present;
                machine.record_version = version;
                if let Ok(record) = serde_json::from_value::<MachineRecord>(value) {
                    machine.release_recorded = record.releasing && !record.lease_expired;
                    machine.may_be_recorded_empty |= record.releasing;
                }
            }
            (Some(machine), None) => {
                machine.registration = Registration::Absent;
                machine.record_version = 0;
            }
            (None, Some((_, version))) => {
                let deletes = &mut self.write_queue.conditional_deletes;
                deletes.push((key.to_owned(), version));
            }
            (None, None) => {}
        }
    }

    /// Logs how many of the job endings of an indeterminate transaction were
    /// applied.
    pub fn log_reconciliation(&self, plan: &WritePlan) {
        let Some(endings) = describe_endings(plan) else {
            return;
        };
        let is_applied = |intent: &&WriteIntent| match intent {
            WriteIntent::Cancel { id, .. } | WriteIntent::Finish { id, .. } => {
                self.status(id).is_some_and(|s| s.state.is_final())
            }
            _ => false,
        };
        let count = plan.intents.iter().filter(is_applied).count();
        log::info!(
            "reconciled an indeterminate write in term {}: {endings}: {count} applied",
            self.term
        );
    }

    /// Ends the reconciliation of a transaction, after all of its keys have been
    /// read: writes that were not applied can be planned again.
    pub fn finish_reconciliation(&mut self, plan: &WritePlan) {
        // The values that were read may have made machines or jobs ready.
        self.changed = true;
        for intent in &plan.intents {
            match intent {
                WriteIntent::Cancel { job, .. } | WriteIntent::Finish { job, .. } => {
                    if let Some(job) = self.cluster.job_mut(*job) {
                        job.write_in_flight = false;
                        job.ending_in_flight = false;
                    }
                }
                WriteIntent::Offload { job } | WriteIntent::EndOffload { job } => {
                    if let Some(job) = self.cluster.job_mut(*job) {
                        job.write_in_flight = false;
                    }
                }
                WriteIntent::RecordProgress { job, segments } => {
                    if let Some(job) = self.cluster.job_mut(*job) {
                        job.write_in_flight = false;
                        for segment in segments {
                            job.dirty_segments[*segment] = true;
                        }
                    }
                }
                WriteIntent::Registration { machine }
                | WriteIntent::MarkReleasing { machine }
                | WriteIntent::ExpireMachine { machine } => {
                    if let Some(machine) = self.cluster.machine_mut(*machine) {
                        machine.write_in_flight = false;
                        machine.quarantine_unrecorded |= machine.failures.quarantined;
                    }
                }
                WriteIntent::UploadSpec { .. } | WriteIntent::Delete { .. } => {}
            }
        }
    }
}

/// Describes the jobs that a transaction cancels or ends, the first few by id.
/// Returns `None` if it ends no job.
fn describe_endings(plan: &WritePlan) -> Option<String> {
    const MAX_NAMED_JOBS: usize = 5;
    let endings = plan.intents.iter().filter_map(|intent| match intent {
        WriteIntent::Cancel { id, .. } => Some(format!("cancellation of {id}")),
        WriteIntent::Finish { id, state, .. } => Some(format!("{id} {state}")),
        _ => None,
    });
    let endings: Vec<String> = endings.collect();
    let more = endings.len().saturating_sub(MAX_NAMED_JOBS);
    let named = endings[..endings.len() - more].join(", ");
    match (endings.is_empty(), more) {
        (true, _) => None,
        (false, 0) => Some(named),
        (false, more) => Some(format!("{named} and {more} more")),
    }
}
