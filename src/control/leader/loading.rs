//! Records that become cluster state: those read at the start of a term, and
//! jobs accepted during it.
//!
//! Called by the server while it reads the state service and after it accepts a
//! submission. It writes nothing itself; leftovers are queued for deletion.

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
    /// Adds the job of a record, with the tasks it lists as completed.
    pub fn load_job(&mut self, record: JobRecord, version: u64, now: Millis) -> JobHandle {
        let mut done = TaskBitmap::with_len(record.spec.tasks);
        done.load(0, &record.completed);
        self.learn_shape(&record.spec);
        self.changed = true;
        let (at_ms, suspected) = (record.accepted_at_ms, record.suspected);
        let pieces = record.spec_chunks;
        let away = OffloadState::recorded(record.offloaded_to);
        let new = NewJob {
            spec: record.spec,
            accepted_at_ms: at_ms,
            record_version: version,
            completed: done,
            cancelled: record.cancelled,
        };
        let handle = self.cluster.insert_job(new, now);
        if let Some(j) = self.cluster.job_mut(handle) {
            j.accepted_this_term |= version > self.term;
            if j.record_version == version {
                j.spec_chunks = pieces;
            }
            if !away.is_local() && j.record_version == version {
                j.offload = away;
                j.reason = PendingReason::Lent;
            }
            if suspected && !j.failures.has_succeeded && !j.failures.suspected {
                j.failures = JobFailures::inherited_suspicion(now);
            }
        }
        self.link(handle);
        let age = self.wall_ms.saturating_sub(at_ms);
        if self
            .cluster
            .job(handle)
            .is_some_and(|j| j.readiness == Readiness::Ready)
        {
            self.record_arrival(handle, now.saturating_sub(age));
        }
        handle
    }

    /// Adds a completion bitmap segment; one whose job is gone is deleted.
    pub fn load_segment(&mut self, id: &str, chunk: usize, text: &str) {
        let Some(job) = self
            .cluster
            .job_handle(id)
            .and_then(|handle| self.cluster.job_mut(handle))
        else {
            self.write_queue
                .unconditional_deletes
                .push(segment_key(id, chunk));
            return;
        };
        let mut bits = TaskBitmap::with_len(job.spec.tasks);
        bits.load(chunk, text);
        for t in 0..job.spec.tasks {
            if bits.get(t) {
                job.mark_done(t);
            }
        }
        if let Some(d) = job.dirty_segments.get_mut(chunk) {
            *d = false;
        }
    }

    /// Adds a machine of the machine registry.
    pub fn load_machine(&mut self, name: &str, record: MachineRecord, version: u64, now: Millis) {
        let new = NewMachine {
            name,
            addr: &record.addr,
            type_name: &record.type_name,
            zone: &record.zone,
            spot: record.spot,
        };
        let machine_handle = self.cluster.insert_machine(new, now);
        if let Some(m) =
            machine_handle.and_then(|machine_handle| self.cluster.machine_mut(machine_handle))
        {
            m.registration = Registration::Present;
            m.record_version = version;
            m.releasing = record.releasing && !record.lease_expired;
            m.release_recorded = m.releasing;
            m.recorded_empty = record.releasing;
            if record.quarantined {
                m.failures = MachineFailures::inherited_quarantine(now);
            }
            // `releasing` and `lease_expired` are recorded only when nothing
            // runs there, until something may start: no lease is waited for.
            m.contents_unknown = !record.releasing;
            m.last_answered = self.recovery.elected_at;
        }
        if let Some(machine_handle) = machine_handle {
            let images: Vec<u32> = record
                .images
                .iter()
                .map(|i| self.cluster.images.intern(i))
                .collect();
            if let Some(m) = self.cluster.machine_mut(machine_handle) {
                m.images = images;
            }
        }
    }

    /// All records have been read. Workers were answered meanwhile, so their
    /// leases count from now.
    pub fn finish_loading(&mut self, now: Millis) {
        self.recovery.loaded = true;
        self.scheduling.arrivals.make_contiguous().sort_unstable();
        for m in self.cluster.each_machine_mut() {
            m.last_answered = now;
        }
    }

    /// Adds a job accepted in this term, unless its final state is known.
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

    /// The job behind an entry of the acceptance feed is known: deletes the entry.
    pub fn acceptance_handled(&mut self, key: String) {
        self.write_queue.unconditional_deletes.push(key);
    }
}
