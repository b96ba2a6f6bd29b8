//! The cluster state's table of machines.
//!
//! Owns how machines get and lose their handles, which of them may have
//! changed since the scheduler last looked, and the count of inspections.
//! Called by the leader on heartbeats, listings and releases, and by the
//! scheduler. Must never remove a machine that may still run something; the
//! caller has to know that it is gone.

use super::{
    Assignment, ClusterState, Job, JobHandle, Machine, MachineHandle, machine::NewMachine,
};
use crate::{
    protocol::users::Kind,
    state::{Millis, slot_table::SlotTable},
};

impl ClusterState {
    /// The index of the machine type with this name.
    pub fn type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// The handle of the machine with this name.
    pub fn machine_handle(&self, name: &str) -> Option<MachineHandle> {
        self.machine_handle_by_name.get(name).copied()
    }

    /// The handle of the machine that has this index now.
    pub fn machine_handle_at(&self, index: u32) -> Option<MachineHandle> {
        self.machines.handle_at(index)
    }

    /// The machine that has this index now, with its handle. Counts as an inspection.
    pub fn machine_at(&self, index: u32) -> Option<(MachineHandle, &Machine)> {
        self.count_inspections(1);
        self.machines.entry_at(index)
    }

    /// The machine, unless it was removed. Counts as an inspection.
    pub fn machine(&self, handle: MachineHandle) -> Option<&Machine> {
        self.count_inspections(1);
        self.machines.get(handle)
    }

    /// The machine, to be changed: it is stale from now on.
    pub fn machine_mut(&mut self, handle: MachineHandle) -> Option<&mut Machine> {
        self.count_inspections(1);
        self.stale_machines.mark(handle.index());
        self.machines.get_mut(handle)
    }

    /// The machine, to be changed, beside the jobs.
    pub fn machine_with_jobs(
        &mut self,
        handle: MachineHandle,
    ) -> Option<(&mut Machine, &SlotTable<JobHandle, Job>)> {
        self.count_inspections(1);
        self.stale_machines.mark(handle.index());
        let machine = self.machines.get_mut(handle)?;
        Some((machine, &self.jobs))
    }

    /// Indices that a machine may have.
    pub fn machine_range(&self) -> std::ops::Range<u32> {
        0..self.machines.slot_count() as u32
    }

    /// How many machines there are.
    pub fn machine_count(&self) -> usize {
        self.machine_handle_by_name.len()
    }

    /// All machines. Counts as an inspection of each.
    pub fn each_machine(&self) -> impl Iterator<Item = &Machine> {
        self.count_inspections(self.machines.slot_count());
        self.machines.values()
    }

    /// All machines, to be changed: they are all stale from now on.
    pub fn each_machine_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.count_inspections(self.machines.slot_count());
        self.stale_machines.mark_all();
        self.machines.values_mut()
    }

    /// All machines with their handles.
    pub fn machines_by_handle(&self) -> impl Iterator<Item = (MachineHandle, &Machine)> {
        self.count_inspections(self.machines.slot_count());
        self.machines.iter()
    }

    /// Indices at which machines may have changed, come or gone since the last call,
    /// each once.
    pub fn take_stale(&mut self) -> Vec<u32> {
        self.stale_machines.take(self.machines.slot_count())
    }

    /// The machine is among those that `take_stale` names next.
    pub fn mark_stale(&mut self, machine: MachineHandle) {
        self.stale_machines.mark(machine.index());
    }

    fn count_inspections(&self, machines: usize) {
        self.inspections
            .set(self.inspections.get() + machines as u64);
    }

    /// Machines looked at so far, one by one or in a pass over all: tests
    /// bound the work per event by it.
    pub fn inspections(&self) -> u64 {
        self.inspections.get()
    }

    /// Notes on which machines tasks of jobs other than services are now.
    pub fn record_batch_activity(&mut self, now: Millis) {
        self.count_inspections(self.machines.slot_count());
        let jobs = &self.jobs;
        let is_batch = |a: &Assignment| {
            let job = a.job.and_then(|job| jobs.get(job));
            a.is_live() && job.is_none_or(|j| j.spec.kind != Kind::Service)
        };
        // Nothing that the scheduler goes by changes: no machine gets stale.
        for machine in self.machines.values_mut() {
            if machine.tasks.iter().any(is_batch) {
                machine.last_batch_activity = now;
            }
        }
    }

    /// Adds a machine and returns its handle; one that is already there is left
    /// as it is. `None`: its type is unknown.
    pub fn insert_machine(&mut self, new: NewMachine<'_>, now: Millis) -> Option<MachineHandle> {
        if let Some(handle) = self.machine_handle(new.name) {
            return Some(handle);
        }
        let type_ix = self.type_index(new.type_name)?;
        let zone = self.zones.intern(new.zone) as usize;
        let machine = Machine::new(new, type_ix, &self.types[type_ix], zone, now);
        let name = machine.name.clone();
        let handle = self.machines.insert(machine);
        self.machine_handle_by_name.insert(name, handle);
        self.stale_machines.mark(handle.index());
        Some(handle)
    }

    /// Forgets a machine that is surely gone: nothing is on it any more.
    pub fn remove_machine(&mut self, handle: MachineHandle) {
        self.clear_machine(handle);
        self.stale_machines.mark(handle.index());
        if let Some(machine) = self.machines.remove(handle) {
            self.machine_handle_by_name.remove(&machine.name);
        }
    }

    /// All tasks of the machine are surely gone.
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
