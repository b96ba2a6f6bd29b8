//! The machine table of the cluster state.
//!
//! Owns how machines get and lose their handles, which machines may have changed since
//! the scheduler last looked, and the count of inspections. The leader calls these
//! functions on heartbeats, listings and releases, and the scheduler calls them too. A
//! machine that may still run a task must never be removed; the caller has to know that
//! the machine is gone.

use super::{
    Assignment, ClusterState, Job, JobHandle, Machine, MachineHandle, machine::NewMachine,
};
use crate::{
    protocol::users::Kind,
    state::{Millis, slot_table::SlotTable},
};

impl ClusterState {
    /// Returns the index of the machine type with this name.
    pub fn type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// Returns the handle of the machine with this name.
    pub fn machine_handle(&self, name: &str) -> Option<MachineHandle> {
        self.machine_handle_by_name.get(name).copied()
    }

    /// Returns the handle of the machine that currently has this index.
    pub fn machine_handle_at(&self, index: u32) -> Option<MachineHandle> {
        self.machines.handle_at(index)
    }

    /// Returns the machine that currently has this index, with its handle. Each call adds
    /// one to the count of machine inspections, with which tests bound the work per event.
    pub fn machine_at(&self, index: u32) -> Option<(MachineHandle, &Machine)> {
        self.count_inspections(1);
        self.machines.entry_at(index)
    }

    /// Returns the machine, or `None` if it was removed. Counts as an inspection.
    pub fn machine(&self, handle: MachineHandle) -> Option<&Machine> {
        self.count_inspections(1);
        self.machines.get(handle)
    }

    /// Returns the machine for modification and marks it as stale. Counts as an
    /// inspection.
    pub fn machine_mut(&mut self, handle: MachineHandle) -> Option<&mut Machine> {
        self.count_inspections(1);
        self.stale_machines.mark(handle.index());
        self.machines.get_mut(handle)
    }

    /// Returns the machine for modification, which marks it as stale, together with the
    /// job table for reading. Counts as an inspection.
    pub fn machine_with_jobs(
        &mut self,
        handle: MachineHandle,
    ) -> Option<(&mut Machine, &SlotTable<JobHandle, Job>)> {
        self.count_inspections(1);
        self.stale_machines.mark(handle.index());
        let machine = self.machines.get_mut(handle)?;
        Some((machine, &self.jobs))
    }

    /// Range of all machine indices, including indices that no machine has at present.
    pub fn machine_range(&self) -> std::ops::Range<u32> {
        0..self.machines.slot_count() as u32
    }

    /// Number of machines.
    pub fn machine_count(&self) -> usize {
        self.machine_handle_by_name.len()
    }

    /// Returns all machines. Counts as an inspection of each.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.count_inspections(self.machines.slot_count());
        self.machines.values()
    }

    /// Returns all machines for modification and marks all of them as stale. Counts as
    /// an inspection of each.
    pub fn machines_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.count_inspections(self.machines.slot_count());
        self.stale_machines.mark_all();
        self.machines.values_mut()
    }

    /// Returns all machines with their handles. Counts as an inspection of each.
    pub fn machines_with_handles(&self) -> impl Iterator<Item = (MachineHandle, &Machine)> {
        self.count_inspections(self.machines.slot_count());
        self.machines.iter()
    }

    /// Returns each index at which a machine may have changed, been added or been
    /// removed since the last call, once.
    pub fn take_stale(&mut self) -> Vec<u32> {
        self.stale_machines.take(self.machines.slot_count())
    }

    /// Marks the machine as stale, so that the next `take_stale` returns its index.
    pub fn mark_stale(&mut self, machine: MachineHandle) {
        self.stale_machines.mark(machine.index());
    }

    fn count_inspections(&self, machines: usize) {
        self.inspections
            .set(self.inspections.get() + machines as u64);
    }

    /// Number of machine inspections so far, single or in a pass over all machines.
    /// Tests bound the work per event with this count.
    pub fn inspections(&self) -> u64 {
        self.inspections.get()
    }

    /// Updates `last_batch_activity` of each machine that has a live task of a job
    /// other than a service.
    pub fn record_batch_activity(&mut self, now: Millis) {
        self.count_inspections(self.machines.slot_count());
        let jobs = &self.jobs;
        let is_batch = |a: &Assignment| {
            let job = a.job.and_then(|job| jobs.get(job));
            a.is_live() && job.is_none_or(|j| j.spec.kind != Kind::Service)
        };
        // The scheduler does not use `last_batch_activity`, so no machine becomes
        // stale.
        for machine in self.machines.values_mut() {
            if machine.tasks.iter().any(is_batch) {
                machine.last_batch_activity = now;
            }
        }
    }

    /// Adds a machine and returns its handle, or `None` if its type is unknown. A
    /// machine that is already in the table is left unchanged.
    pub fn insert_machine(&mut self, new: NewMachine<'_>, now: Millis) -> Option<MachineHandle> {
        if let Some(handle) = self.machine_handle(new.name) {
            return Some(handle);
        }
        let type_index = self.type_index(new.type_name)?;
        let zone = self.zones.intern(new.zone) as usize;
        let machine = Machine::new(new, type_index, &self.types[type_index], zone, now);
        let name = machine.name.clone();
        let handle = self.machines.insert(machine);
        self.machine_handle_by_name.insert(name, handle);
        self.stale_machines.mark(handle.index());
        Some(handle)
    }

    /// Removes a machine that is known to be gone, together with its assignments.
    pub fn remove_machine(&mut self, handle: MachineHandle) {
        self.clear_machine(handle);
        self.stale_machines.mark(handle.index());
        if let Some(machine) = self.machines.remove(handle) {
            self.machine_handle_by_name.remove(&machine.name);
        }
    }

    /// Removes all assignments of the machine, because all its tasks are known to be
    /// gone.
    pub fn clear_machine(&mut self, handle: MachineHandle) {
        let Some(machine) = self.machines.get_mut(handle) else {
            return;
        };
        self.stale_machines.mark(handle.index());
        let assignments = std::mem::take(&mut machine.tasks);
        if !assignments.is_empty() {
            self.record_change(handle);
        }
        for assignment in assignments.iter().filter(|a| a.is_live()) {
            self.release_resources(handle, assignment);
        }
    }
}
