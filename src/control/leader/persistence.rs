//! What the leader writes to the state service, and what it learns when a
//! transaction had no answer.

use super::*;
use crate::{
    protocol::market::AWARDS,
    state::{offload::OffloadTarget, records::StoredJob, spec_chunks::SpecChunks},
};

impl Leader {
    pub(super) fn leader_condition(&self) -> Condition {
        Condition {
            key: LEADER.into(),
            version: self.term,
        }
    }

    /// The transaction that accepts a job.
    pub fn acceptance(
        &self,
        spec: &JobSpec,
        pieces: Option<SpecChunks>,
        wall_ms: u64,
    ) -> (Txn, JobRecord) {
        let mut record = JobRecord::new(spec.clone(), wall_ms);
        record.spec_chunks = pieces;
        let mut txn = acceptance(&record);
        txn.conditions.push(self.leader_condition());
        (txn, record)
    }

    pub(super) fn empty_plan(&self) -> WritePlan {
        WritePlan {
            txn: Txn {
                conditions: vec![self.leader_condition()],
                writes: Vec::new(),
            },
            intents: Vec::new(),
        }
    }

    /// What is to be written next, at most `room` changes.
    pub fn plan_writes(&mut self, room: usize) -> Option<WritePlan> {
        if !self.recovery.loaded {
            return None;
        }
        if !self.write_queue.offload_changes.is_empty()
            && let Some(marks) = self.plan_offloads(room)
        {
            return Some(marks);
        }
        let limits = self.settings.cluster.state.always();
        let value_limits = limits.value_kb;
        let spare = room as f64 > limits.write_rps / 2.0;
        let room = room.min(limits.txn_ops);
        let mut bytes = 0usize;
        let byte_limit = 48 * 1024;
        let mut plan = self.empty_plan();
        let put =
            |plan: &mut WritePlan, bytes: &mut usize, key: String, value: serde_json::Value| {
                *bytes += key.len() + value.to_string().len() + 40;
                plan.txn.writes.push(Write::Put {
                    key,
                    value,
                    lease: None,
                });
            };
        let mut lapsed = Vec::new();
        // Cancellations, then endings, then progress.
        let knows_all = self.recovery.knows_all_tasks();
        for pass in 0..3 {
            for ix in 0..self.cluster.jobs.len() {
                if plan.txn.writes.len() + 2 > room || bytes > byte_limit {
                    break;
                }
                let Some(j) = self.cluster.jobs[ix].as_mut() else {
                    continue;
                };
                if j.write_in_flight {
                    continue;
                }
                let gone = j.live_count == 0 && knows_all;
                // Of one that is to be cancelled and has nothing anywhere the
                // end is recorded at once, without a mark before it.
                let marked = j.cancelled || j.cancel_requested && j.offload.is_local();
                let over = if j.is_complete() && !j.cancelled {
                    Some(JobState::Done)
                } else if marked && gone {
                    Some(JobState::Cancelled)
                } else {
                    None
                };
                let awaited = j.cancel_requested && !j.cancelled && over != Some(JobState::Done);
                let due = match (awaited, over) {
                    (true, _) => 0,
                    (false, Some(_)) => 1,
                    (false, None) => 2,
                };
                // Its record can't be written as it is: first the pieces.
                let rewrites =
                    over.is_none() && (awaited || j.is_dirty() || j.offload.has_pending_change());
                if rewrites && self.spec_uploads.is_due(j, value_limits) {
                    if pass == 0 {
                        let most = room.saturating_sub(plan.txn.writes.len());
                        self.spec_uploads
                            .plan(ix as u32, j, &mut plan, most, &mut bytes);
                    }
                    continue;
                }
                let guard = j.record_condition();
                match (pass, over) {
                    _ if pass != due => {}
                    (0, None) => {
                        plan.txn.conditions.push(guard);
                        let record = job_record(j, true, j.offload.recorded_target());
                        put(&mut plan, &mut bytes, job_key(&j.id), record);
                        plan.intents
                            .push(WriteIntent::Cancel(ix as u32, j.id.clone()));
                        j.write_in_flight = true;
                        j.ending_in_flight = true;
                    }
                    (_, Some(state)) => {
                        plan.txn.conditions.push(guard);
                        plan.txn.conditions.push(Condition {
                            key: final_key(&j.id),
                            version: 0,
                        });
                        let record = FinalRecord {
                            state,
                            done: j.completed_count,
                        };
                        let value = serde_json::to_value(record).unwrap_or_default();
                        put(&mut plan, &mut bytes, final_key(&j.id), value);
                        plan.txn.writes.push(Write::Delete {
                            key: job_key(&j.id),
                        });
                        plan.intents
                            .push(WriteIntent::Finish(ix as u32, j.id.clone(), state));
                        j.write_in_flight = true;
                        j.ending_in_flight = true;
                    }
                    (2, None) if j.is_dirty() && !j.cancelled => {
                        let mut chunks = Vec::new();
                        plan.txn.conditions.push(guard);
                        // With each chunk goes the record, so that its version
                        // moves on. Guards against an older state of a chunk
                        // that is carried out late, over a newer one.
                        for c in 0..j.dirty_segments.len() {
                            if c > 0 && (!j.dirty_segments[c] || plan.txn.writes.len() + 1 > room) {
                                continue;
                            }
                            if c > 0 {
                                let value = serde_json::Value::String(j.completed.chunk(c));
                                put(&mut plan, &mut bytes, segment_key(&j.id, c), value);
                                chunks.push(c);
                            } else {
                                let record = job_record(j, false, j.offload.recorded_target());
                                put(&mut plan, &mut bytes, job_key(&j.id), record);
                                chunks.push(c);
                            }
                        }
                        for c in &chunks {
                            j.dirty_segments[*c] = false;
                        }
                        plan.intents.push(WriteIntent::RecordProgress(
                            ix as u32,
                            j.id.clone(),
                            chunks,
                        ));
                        j.write_in_flight = true;
                    }
                    _ => {}
                }
            }
            if pass == 2 {
                self.plan_offload_removals(&mut plan, room);
            }
            if pass == 0 {
                lapsed = self.plan_machine_records(&mut plan, room, spare);
            }
        }
        for ix in lapsed {
            if plan.txn.writes.len() < room && bytes <= byte_limit {
                self.plan_machine(ix, &mut plan);
            }
        }
        while plan.txn.writes.len() < room
            && let Some(key) = self.write_queue.unconditional_deletes.pop()
        {
            plan.txn.writes.push(Write::Delete { key });
        }
        (!plan.txn.writes.is_empty()).then_some(plan)
    }

    /// Returns the machines whose expired leases remain to be noted, which
    /// nothing waits for.
    fn plan_machine_records(&mut self, plan: &mut WritePlan, room: usize, spare: bool) -> Vec<u32> {
        let mut lapsed = Vec::new();
        for ix in self.cluster.machine_range() {
            if plan.txn.writes.len() + 1 > room {
                return lapsed;
            }
            let Some(m) = self.cluster.machine(ix).filter(|m| !m.write_in_flight) else {
                continue;
            };
            if m.lease_expired() && !m.releasing && !m.recorded_empty {
                lapsed.push(ix);
                continue;
            }
            let add = m.awaits_record();
            let mark =
                m.releasing && !m.release_recorded && m.registration == Registration::Present;
            // Not urgent, so only while much of the budget is left.
            let images =
                m.images_unrecorded && m.registration == Registration::Present && m.up && spare;
            let quarantine = m.quarantine_unrecorded && m.registration == Registration::Present;
            if add || mark || images || quarantine {
                self.plan_machine(ix, plan);
            }
        }
        while plan.txn.writes.len() < room
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
            plan.intents.push(WriteIntent::Delete(key));
        }
        lapsed
    }

    /// Adds a machine's record to what is to be written.
    fn plan_machine(&mut self, ix: u32, plan: &mut WritePlan) {
        let Some(m) = self.cluster.machine(ix) else {
            return;
        };
        plan.txn.conditions.push(Condition {
            key: machine_key(&m.name),
            version: m.record_version,
        });
        let lapsed = m.lease_expired() && !m.releasing;
        let record = MachineRecord {
            addr: m.addr.map(|a| a.to_string()).unwrap_or_default(),
            type_name: self.cluster.types[m.type_ix].name.clone(),
            zone: self.cluster.zones.name(m.zone).to_owned(),
            spot: m.spot,
            releasing: lapsed || m.releasing && m.registration == Registration::Present,
            lease_expired: lapsed,
            quarantined: m.failures.quarantined,
            images: Vec::new(),
        };
        let record = self.with_images(record, &m.images);
        let marked = record.releasing;
        plan.txn.writes.push(Write::Put {
            key: machine_key(&m.name),
            value: serde_json::to_value(record).unwrap_or_default(),
            lease: None,
        });
        let name = m.name.clone();
        plan.intents.push(match (lapsed, m.releasing) {
            (true, _) => WriteIntent::ExpireMachine(ix, name),
            (false, true) => WriteIntent::MarkReleasing(ix, name),
            (false, false) => WriteIntent::Registration(ix, name),
        });
        if let Some(m) = self.cluster.machine_mut(ix) {
            m.write_in_flight = true;
            m.images_unrecorded = false;
            m.quarantine_unrecorded = false;
            // From now on, as a write without an answer may be applied late.
            m.recorded_empty |= marked;
        }
    }

    /// The images used last, as many as its value has room for.
    fn with_images(&self, mut record: MachineRecord, images: &[u32]) -> MachineRecord {
        let limit = self.settings.cluster.state.always().value_kb * 1024.0;
        let empty = serde_json::to_value(&record).map_or(0, |v| v.to_string().len());
        let mut left = (limit as usize).saturating_sub(empty + 20);
        for i in images.iter().rev() {
            let name = self.cluster.images.name(*i as usize);
            // As text in the value, however it is escaped there.
            let size = serde_json::to_string(name).map_or(usize::MAX, |t| t.len() + 1);
            if size > left {
                break;
            }
            left -= size;
            record.images.insert(0, name.to_owned());
        }
        record
    }

    pub(super) fn job_of(&mut self, ix: u32, id: &str) -> Option<&mut Job> {
        self.cluster.job_mut(ix).filter(|j| j.id == id)
    }

    pub fn writes_applied(&mut self, plan: &WritePlan, revision: u64, now: Millis) {
        for item in &plan.intents {
            match item {
                WriteIntent::Cancel(ix, id) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.record_version = revision;
                        j.write_in_flight = false;
                        j.ending_in_flight = false;
                        j.cancelled = true;
                        let status = j.status();
                        // A mark that was on its way can't be set any more.
                        j.offload.mark_refused();
                        log::info!(
                            "job {id} cancelled, by its record at revision {revision} in term {}",
                            self.term
                        );
                        self.final_states.learn(&status, now);
                        self.dependencies.job_cancelled(*ix);
                    }
                }
                WriteIntent::Offload(ix, id) | WriteIntent::EndOffload(ix, id) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.record_version = revision;
                        j.write_in_flight = false;
                        match item {
                            WriteIntent::Offload(..) => j.offload.mark_recorded(),
                            _ => j.offload.mark_removed(),
                        }
                    }
                }
                WriteIntent::Finish(ix, id, state) => {
                    self.job_ended(*ix, id, *state, revision, now)
                }
                WriteIntent::RecordProgress(ix, id, chunks) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.write_in_flight = false;
                        if chunks.contains(&0) {
                            j.record_version = revision;
                        }
                    }
                }
                WriteIntent::Registration(ix, name)
                | WriteIntent::MarkReleasing(ix, name)
                | WriteIntent::ExpireMachine(ix, name) => {
                    if let Some(m) = self.cluster.machine_mut(*ix).filter(|m| m.name == *name) {
                        m.write_in_flight = false;
                        m.registration = Registration::Present;
                        m.record_version = revision;
                        m.release_recorded |= matches!(item, WriteIntent::MarkReleasing(..));
                        // Whatever was written before it can't be applied now.
                        m.recorded_empty &= !matches!(item, WriteIntent::Registration(..));
                    }
                }
                WriteIntent::UploadSpec(ix, id, upto) => self.cut(*ix, id, *upto),
                WriteIntent::Delete(_) => {}
            }
        }
        self.changed = true;
    }

    /// The record of its end stands, at this revision.
    pub(super) fn job_ended(
        &mut self,
        ix: u32,
        id: &str,
        state: JobState,
        revision: u64,
        now: Millis,
    ) {
        let term = self.term;
        let Some(j) = self.job_of(ix, id) else { return };
        let status = JobStatus {
            id: id.to_owned(),
            state,
            done: j.completed_count,
            running: 0,
        };
        log::info!(
            "job {id} is over, {state}, by its record at revision {revision} in term {term}"
        );
        let chunks = j.dirty_segments.len();
        let pieces = j.spec_chunks.clone();
        for c in 1..chunks {
            self.write_queue
                .unconditional_deletes
                .push(segment_key(id, c));
        }
        if let Some(pieces) = pieces {
            self.write_queue
                .unconditional_deletes
                .extend(pieces.keys(id));
        }
        self.drop_cut(ix);
        self.cluster.remove_job(ix);
        self.remember_final_state(&status, now);
        self.dependencies.job_ended(ix, state == JobState::Done);
        self.changed = true;
    }

    /// The transaction had no answer, and it may take long until its keys can
    /// be read; nor does that settle it, as it may be carried out later. Guards
    /// against tasks that run on through an outage after a user read that their
    /// job is cancelled, and against calling a job unfinished from memory after
    /// a user read its end.
    pub fn outcome_unknown(&mut self, plan: &WritePlan) {
        log::info!(
            "write with unknown outcome in term {}: {}",
            self.term,
            describe_endings(plan).unwrap_or_else(|| "it ends no job".to_owned())
        );
        for item in &plan.intents {
            if let WriteIntent::Cancel(ix, id) | WriteIntent::Finish(ix, id, _) = item
                && let Some(j) = self.job_of(*ix, id)
            {
                j.end_indeterminate = true;
                let withdrawn = matches!(item, WriteIntent::Finish(_, _, JobState::Cancelled));
                j.cancel_indeterminate |= withdrawn || matches!(item, WriteIntent::Cancel(..));
            }
        }
        self.changed = true;
    }

    /// Keys to read again after a transaction that had no answer or failed.
    pub fn keys_to_reread(plan: &WritePlan) -> Vec<String> {
        let mut keys: Vec<String> = plan.txn.conditions.iter().map(|g| g.key.clone()).collect();
        keys.retain(|k| k != LEADER);
        keys
    }

    /// A key of such a transaction as it stands now. All keys must have been
    /// read before `reread_done`.
    pub fn reconcile_key(
        &mut self,
        key: &str,
        found: Option<(serde_json::Value, u64)>,
        now: Millis,
    ) {
        if let Some(id) = key.strip_prefix(AWARDS) {
            self.award_seen(id, found.map_or(0, |f| f.1));
        } else if let Some(id) = key.strip_prefix(keys::FINALS) {
            if let Some((value, version)) = found
                && let Ok(record) = serde_json::from_value::<FinalRecord>(value)
                && let Some(ix) = self.cluster.job_index(id)
            {
                self.job_ended(ix, id, record.state, version, now);
            }
        } else if let Some(id) = key.strip_prefix(keys::JOBS) {
            if let Some((value, version)) = found
                && let Ok(record) = serde_json::from_value::<StoredJob>(value)
                && let Some(ix) = self.cluster.job_index(id)
                && let Some(j) = self.cluster.job_mut(ix)
            {
                j.record_version = version;
                j.spec_chunks = record.spec_chunks;
                j.cancelled |= record.cancelled;
                j.offload.reread(record.offloaded_to.as_ref());
                if j.cancelled {
                    self.dependencies.job_cancelled(ix);
                }
            }
        } else if let Some(name) = key.strip_prefix(keys::MACHINES) {
            if let Some(m) = self
                .cluster
                .machine_index(name)
                .and_then(|ix| self.cluster.machine_mut(ix))
            {
                match found {
                    Some((value, version)) => {
                        m.registration = Registration::Present;
                        m.record_version = version;
                        if let Ok(r) = serde_json::from_value::<MachineRecord>(value) {
                            m.release_recorded = r.releasing && !r.lease_expired;
                            m.recorded_empty |= r.releasing;
                        }
                    }
                    None => {
                        m.registration = Registration::Absent;
                        m.record_version = 0;
                    }
                }
            } else if let Some((_, version)) = found {
                self.write_queue
                    .conditional_deletes
                    .push((key.to_owned(), version));
            }
        }
    }

    /// What was found of a transaction that was indeterminate, for the log.
    pub fn log_reconciliation(&self, plan: &WritePlan) {
        let Some(ends) = describe_endings(plan) else {
            return;
        };
        let stands = |item: &&WriteIntent| match item {
            WriteIntent::Cancel(_, id) | WriteIntent::Finish(_, id, _) => {
                self.status(id).is_some_and(|s| s.state.is_final())
            }
            _ => false,
        };
        let stand = plan.intents.iter().filter(stands).count();
        log::info!("reconciled in term {}: {ends}: {stand} in force", self.term);
    }

    pub fn reconciled(&mut self, plan: &WritePlan) {
        // What was found may have made machines or jobs ready.
        self.changed = true;
        for item in &plan.intents {
            match item {
                WriteIntent::Cancel(ix, id) | WriteIntent::Finish(ix, id, _) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.write_in_flight = false;
                        j.ending_in_flight = false;
                    }
                }
                WriteIntent::Offload(ix, id) | WriteIntent::EndOffload(ix, id) => {
                    if let Some(j) = self.job_of(*ix, id) {
                        j.write_in_flight = false;
                    }
                }
                WriteIntent::RecordProgress(ix, id, chunks) => {
                    let chunks = chunks.clone();
                    if let Some(j) = self.job_of(*ix, id) {
                        j.write_in_flight = false;
                        for c in chunks {
                            j.dirty_segments[c] = true;
                        }
                    }
                }
                WriteIntent::Registration(ix, name)
                | WriteIntent::MarkReleasing(ix, name)
                | WriteIntent::ExpireMachine(ix, name) => {
                    if let Some(m) = self.cluster.machine_mut(*ix).filter(|m| m.name == *name) {
                        m.write_in_flight = false;
                        m.quarantine_unrecorded |= m.failures.quarantined;
                    }
                }
                WriteIntent::UploadSpec(..) | WriteIntent::Delete(_) => {}
            }
        }
    }
}

/// Jobs that a transaction cancels or ends, the first few by name.
fn describe_endings(plan: &WritePlan) -> Option<String> {
    const NAMED: usize = 5;
    let ends = plan.intents.iter().filter_map(|item| match item {
        WriteIntent::Cancel(_, id) => Some(format!("cancellation of {id}")),
        WriteIntent::Finish(_, id, state) => Some(format!("{id} {state}")),
        _ => None,
    });
    let ends: Vec<String> = ends.collect();
    let more = ends.len().saturating_sub(NAMED);
    let named = ends[..ends.len().min(NAMED)].join(", ");
    match (ends.is_empty(), more) {
        (true, _) => None,
        (false, 0) => Some(named),
        (false, more) => Some(format!("{named} and {more} more")),
    }
}

/// The transaction that accepts a job on a node that can't reach a leader,
/// with a notice for the leader to come.
pub fn acceptance_with_feed_entry(record: &JobRecord) -> Txn {
    let mut txn = acceptance(record);
    txn.writes.push(Write::Put {
        key: keys::acceptance_key(&record.spec.id),
        value: serde_json::Value::Bool(true),
        lease: None,
    });
    txn
}

/// The transaction that accepts a job, by any node.
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

pub(super) fn job_record(
    j: &Job,
    cancelled: bool,
    lent: Option<OffloadTarget>,
) -> serde_json::Value {
    let record = JobRecord {
        spec: j.spec.clone(),
        spec_chunks: j.spec_chunks.clone(),
        accepted_at_ms: j.accepted_at_ms,
        cancelled: cancelled || j.cancelled,
        suspected: j.failures.suspected,
        completed: j.completed.chunk(0),
        offloaded_to: lent,
    };
    record.stored()
}
