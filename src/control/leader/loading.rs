//! Loading of records into the cluster state: the records read at the start of a
//! term, and those of jobs accepted during it.
//!
//! Called by the server while it reads the state service and after it accepts a
//! submission. This module writes nothing itself; orphaned keys are queued for
//! deletion in the `WriteQueue`.

use super::Leader;
use crate::{
    protocol::status::PendingReason,
    state::{
        Millis,
        cluster::{JobHandle, NewJob, NewMachine, Registration},
        dependencies::Readiness,
        fault_attribution::{JobFailures, MachineFailures},
        offload::OffloadState,
        records::{JobRecord, MachineRecord, TaskBitmap, segment_key},
    },
};

impl Leader {
    /// Adds the job of a record, with the tasks that the record lists as completed.
    pub fn load_job(&mut self, record: JobRecord, version: u64, now: Millis) -> JobHandle {
        let mut completed_tasks = TaskBitmap::with_len(record.spec.tasks);
        completed_tasks.load(0, &record.completed);
        self.learn_shape(&record.spec);
        self.changed = true;
        let (acceptance_ms, suspected) = (record.accepted_at_ms, record.suspected);
        let recorded_chunks = record.spec_chunks;
        let recorded_offload = OffloadState::recorded(record.offloaded_to);
        let new_job = NewJob {
            spec: record.spec,
            accepted_at_ms: acceptance_ms,
            record_version: version,
            completed: completed_tasks,
            cancelled: record.cancelled,
        };
        let handle = self.cluster.insert_job(new_job, now);
        if let Some(loaded_job) = self.cluster.job_mut(handle) {
            loaded_job.accepted_this_term |= version > self.term;
            if loaded_job.record_version == version {
                loaded_job.spec_chunks = recorded_chunks;
            }
            if !recorded_offload.is_local() && loaded_job.record_version == version {
                loaded_job.offload = recorded_offload;
                loaded_job.reason = PendingReason::Lent;
            }
            if suspected && !loaded_job.failures.has_succeeded && !loaded_job.failures.suspected {
                loaded_job.failures = JobFailures::inherited_suspicion(now);
            }
        }
        self.link_dependencies(handle);
        let age_ms = self.wall_ms.saturating_sub(acceptance_ms);
        if self
            .cluster
            .job(handle)
            .is_some_and(|loaded_job| loaded_job.readiness == Readiness::Ready)
        {
            self.record_arrival(handle, now.saturating_sub(age_ms));
        }
        handle
    }

    /// Adds a segment of a job's completion bitmap. A segment whose job no longer
    /// exists is queued for deletion.
    pub fn load_segment(&mut self, id: &str, segment: usize, text: &str) {
        let Some(job) = self
            .cluster
            .job_handle(id)
            .and_then(|handle| self.cluster.job_mut(handle))
        else {
            self.write_queue
                .unconditional_deletes
                .push(segment_key(id, segment));
            return;
        };
        let mut completed = TaskBitmap::with_len(job.spec.tasks);
        completed.load(segment, text);
        for task in 0..job.spec.tasks {
            if completed.get(task) {
                job.mark_done(task);
            }
        }
        if let Some(dirty) = job.dirty_segments.get_mut(segment) {
            *dirty = false;
        }
    }

    /// Adds a machine from its record in the machine registry.
    pub fn load_machine(&mut self, name: &str, record: MachineRecord, version: u64, now: Millis) {
        let new_machine = NewMachine {
            name,
            addr: &record.addr,
            type_name: &record.type_name,
            zone: &record.zone,
            spot: record.spot,
        };
        let machine_handle = self.cluster.insert_machine(new_machine, now);
        if let Some(machine) =
            machine_handle.and_then(|machine_handle| self.cluster.machine_mut(machine_handle))
        {
            machine.registration = Registration::Present;
            machine.record_version = version;
            machine.releasing = record.releasing && !record.lease_expired;
            machine.release_recorded = machine.releasing;
            machine.may_be_recorded_empty = record.releasing;
            if record.quarantined {
                machine.failures = MachineFailures::inherited_quarantine(now);
            }
            // `releasing` and `lease_expired` are recorded only when nothing
            // runs on the machine, and hold until a task may start there. So
            // there is no lease to wait for.
            machine.contents_unknown = !record.releasing;
            machine.last_answered = self.recovery.elected_at;
        }
        if let Some(machine_handle) = machine_handle {
            let images: Vec<u32> = record
                .images
                .iter()
                .map(|image| self.cluster.images.intern(image))
                .collect();
            if let Some(machine) = self.cluster.machine_mut(machine_handle) {
                machine.images = images;
            }
        }
    }

    /// Ends loading, after all records have been read. Heartbeats were answered
    /// during loading, so the leases of all machines count from now.
    pub fn finish_loading(&mut self, now: Millis) {
        self.recovery.loaded = true;
        self.scheduling.arrivals.make_contiguous().sort_unstable();
        for machine in self.cluster.machines_mut() {
            machine.last_answered = now;
        }
    }

    /// Adds a job that was accepted in this term, unless its final state is
    /// already known.
    pub fn accepted(&mut self, record: JobRecord, version: u64, now: Millis) {
        if self.final_states.get(&record.spec.id).is_none() {
            log::debug!(
                "job {} of {} accepted: {}, {} tasks, image {} of {} GB",
                record.spec.id,
                record.spec.team,
                record.spec.class,
                record.spec.tasks,
                record.spec.image,
                record.spec.image_gb,
            );
            self.load_job(record, version, now);
        }
    }

    /// Queues the deletion of an entry of the acceptance feed, after its job has
    /// been added.
    pub fn acceptance_handled(&mut self, key: String) {
        self.write_queue.unconditional_deletes.push(key);
    }
}
