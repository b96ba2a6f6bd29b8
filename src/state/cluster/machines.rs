//! The cluster state's table of machines.
//!
//! Owns how machines get and lose their indices, which of them may have
//! changed since the scheduler last looked, and the count of inspections.
//! Called by the leader on heartbeats, listings and releases, and by the
//! scheduler. Must never remove a machine that may still run something; the
//! caller has to know that it is gone.

use super::{Assignment, ClusterState, Job, JobHandle, Machine, machine::NewMachine};
use crate::{
    protocol::users::Kind,
    state::{Millis, slot_table::SlotTable},
};

impl ClusterState {
    /// The index of the machine type with this name.
    pub fn type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// The index of the machine with this name.
    pub fn machine_index(&self, name: &str) -> Option<u32> {
        self.machine_index_by_name.get(name).copied()
    }

    /// The machine with this index. Counts as an inspection.
    pub fn machine(&self, ix: u32) -> Option<&Machine> {
        self.count_inspections(1);
        self.machines.get(ix as usize)?.as_ref()
    }

    /// The machine with this index, to be changed: it is stale from now on.
    pub fn machine_mut(&mut self, ix: u32) -> Option<&mut Machine> {
        self.count_inspections(1);
        self.stale_machines.mark(ix);
        self.machines.get_mut(ix as usize)?.as_mut()
    }

    /// The machine with this index, to be changed, beside the jobs.
    pub fn machine_with_jobs(
        &mut self,
        ix: u32,
    ) -> Option<(&mut Machine, &SlotTable<JobHandle, Job>)> {
        self.count_inspections(1);
        self.stale_machines.mark(ix);
        let machine = self.machines.get_mut(ix as usize)?.as_mut()?;
        Some((machine, &self.jobs))
    }

    /// Indices that a machine may have.
    pub fn machine_range(&self) -> std::ops::Range<u32> {
        0..self.machines.len() as u32
    }

    /// How many machines there are.
    pub fn machine_count(&self) -> usize {
        self.machine_index_by_name.len()
    }

    /// All machines. Counts as an inspection of each.
    pub fn each_machine(&self) -> impl Iterator<Item = &Machine> {
        self.count_inspections(self.machines.len());
        self.machines.iter().flatten()
    }

    /// All machines, to be changed: they are all stale from now on.
    pub fn each_machine_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.count_inspections(self.machines.len());
        self.stale_machines.mark_all();
        self.machines.iter_mut().flatten()
    }

    /// All machines with their indices.
    pub fn indexed_machines(&self) -> impl Iterator<Item = (u32, &Machine)> {
        self.count_inspections(self.machines.len());
        let all = self.machines.iter().enumerate();
        all.filter_map(|(ix, machine)| Some((ix as u32, machine.as_ref()?)))
    }

    /// Machines that may have changed since the last call, each once.
    pub fn take_stale(&mut self) -> Vec<u32> {
        self.stale_machines.take(self.machines.len())
    }

    /// The machine is among those that `take_stale` names next.
    pub fn mark_stale(&mut self, machine: u32) {
        self.stale_machines.mark(machine);
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
        self.count_inspections(self.machines.len());
        let jobs = &self.jobs;
        let is_batch = |a: &Assignment| {
            let job = a.job.and_then(|job| jobs.get(job));
            a.is_live() && job.is_none_or(|j| j.spec.kind != Kind::Service)
        };
        // Nothing that the scheduler goes by changes: no machine gets stale.
        for machine in self.machines.iter_mut().flatten() {
            if machine.tasks.iter().any(is_batch) {
                machine.last_batch_activity = now;
            }
        }
    }

    /// Adds a machine and returns its index; one that is already there is left
    /// as it is. `None`: its type is unknown.
    pub fn insert_machine(&mut self, new: NewMachine<'_>, now: Millis) -> Option<u32> {
        if let Some(ix) = self.machine_index(new.name) {
            return Some(ix);
        }
        let type_ix = self.type_index(new.type_name)?;
        let zone = self.zones.intern(new.zone) as usize;
        let machine = Machine::new(new, type_ix, &self.types[type_ix], zone, now);
        let ix = match self.free_machines.pop() {
            Some(ix) => ix,
            None => {
                self.machines.push(None);
                self.machines.len() as u32 - 1
            }
        };
        self.machine_index_by_name.insert(machine.name.clone(), ix);
        self.stale_machines.mark(ix);
        self.machines[ix as usize] = Some(machine);
        Some(ix)
    }

    /// Forgets a machine that is surely gone: nothing is on it any more.
    pub fn remove_machine(&mut self, ix: u32) {
        self.clear_machine(ix);
        self.stale_machines.mark(ix);
        if let Some(machine) = self.machines.get_mut(ix as usize).and_then(Option::take) {
            self.machine_index_by_name.remove(&machine.name);
            self.free_machines.push(ix);
        }
    }

    /// All tasks of the machine are surely gone.
    pub fn clear_machine(&mut self, ix: u32) {
        let Some(machine) = self.machines.get_mut(ix as usize).and_then(Option::as_mut) else {
            return;
        };
        self.stale_machines.mark(ix);
        let assignments = std::mem::take(&mut machine.tasks);
        if !assignments.is_empty() {
            self.record_change(ix);
        }
        for assignment in assignments.iter().filter(|a| a.is_live()) {
            self.release_resources(ix, assignment);
        }
    }
}
