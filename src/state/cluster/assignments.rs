//! Which task is, or may be, on which machine.
//!
//! Owns the counts that follow from it: resources used of machines and teams,
//! live and running tasks of jobs, and the number of the latest change.
//! Called by the scheduler, by reconciliation of heartbeats and after a
//! failover. Must never release resources while the task may still run.

use super::{Assignment, ClusterState, JobHandle, MachineHandle, Phase};
use crate::{
    protocol::{users::Kind, workers::ExitReason},
    state::Millis,
};

impl ClusterState {
    /// Adds a task to a machine's list and counts what it takes.
    pub fn assign(
        &mut self,
        handle: JobHandle,
        task: u32,
        machine: MachineHandle,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(handle) else {
            return;
        };
        job.occupy(task, machine);
        if phase == Phase::Running {
            job.running_count += 1;
        }
        let (team, need, image, image_gb) = (job.team, job.need, job.image, job.spec.image_gb);
        let name = format!("{}/{task}", job.id);
        if let Some(usage) = self.team_usage.get_mut(team) {
            *usage += need;
        }
        self.record_image_use(machine, image, image_gb);
        self.record_change(machine);
        let change_number = self.change_count;
        if let Some(machine) = self.machine_mut(machine) {
            machine.used += need;
            machine.tasks.push(Assignment {
                job: Some(handle),
                task,
                team,
                need,
                change_number,
                ..Assignment::new(name, attempt, phase, now)
            });
        }
    }

    /// A task reported by a machine whose job is not known, or that should
    /// not be there: it is stopped, or reaped if it has ended.
    pub fn assign_orphan(
        &mut self,
        machine: MachineHandle,
        name: &str,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        if let Some(machine) = self.machine_mut(machine) {
            machine.tasks.push(Assignment {
                stop_grace_s: Some(0.0),
                ..Assignment::new(name.to_owned(), attempt, phase, now)
            });
        }
    }

    /// A task that may be on the machine though its job has it as done: it
    /// counts there and for its team until it is gone, and is stopped.
    pub fn assign_duplicate(
        &mut self,
        handle: JobHandle,
        task: u32,
        machine: MachineHandle,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        let Some(job) = self.job_mut(handle) else {
            return;
        };
        job.running_count += u32::from(phase == Phase::Running);
        let (team, need, name) = (job.team, job.need, format!("{}/{task}", job.id));
        if let Some(usage) = self.team_usage.get_mut(team) {
            *usage += need;
        }
        self.assign_orphan(machine, &name, attempt, phase, now);
        self.record_change(machine);
        let change_number = self.change_count;
        if let Some(machine) = self.machine_mut(machine) {
            machine.used += need;
            if let Some(assignment) = machine.tasks.last_mut() {
                assignment.job = Some(handle);
                assignment.task = task;
                assignment.change_number = change_number;
                assignment.team = team;
                assignment.need = need;
            }
        }
    }

    /// The task at this place of the machine's list is now in this phase.
    pub fn set_phase(&mut self, machine: MachineHandle, at: usize, phase: Phase) {
        let Some(on) = self.machine_mut(machine) else {
            return;
        };
        let assignment = &mut on.tasks[at];
        let before = std::mem::replace(&mut assignment.phase, phase);
        if before == phase {
            return;
        }
        let (handle, task) = (assignment.job, assignment.task);
        let (team, need) = (assignment.team, assignment.need);
        let ends = before.is_live() && !phase.is_live();
        if ends {
            on.used -= need;
            self.record_change(machine);
            if let Some(usage) = self.team_usage.get_mut(team) {
                *usage -= need;
            }
        }
        let Some(job) = handle.and_then(|handle| self.job_mut(handle)) else {
            return;
        };
        if before == Phase::Running {
            job.running_count -= 1;
        }
        if phase == Phase::Running {
            job.running_count += 1;
        }
        if ends {
            if phase == Phase::Ended(ExitReason::Done) && job.spec.kind != Kind::Service {
                job.mark_done(task);
            } else {
                job.vacate(task, machine);
            }
        }
    }

    /// Takes an entry off the machine's list: it is not there.
    pub fn unassign(&mut self, machine: MachineHandle, at: usize) {
        let Some(on) = self.machine_mut(machine) else {
            return;
        };
        let assignment = on.tasks.swap_remove(at);
        if assignment.is_live() {
            self.record_change(machine);
            self.release_resources(machine, &assignment);
        }
    }

    /// The live task, already off the machine's list, takes nothing any more.
    pub(super) fn release_resources(&mut self, machine: MachineHandle, assignment: &Assignment) {
        if let Some(on) = self.machine_mut(machine) {
            on.used -= assignment.need;
        }
        if let Some(usage) = self.team_usage.get_mut(assignment.team) {
            *usage -= assignment.need;
        }
        if let Some(job) = assignment.job.and_then(|handle| self.job_mut(handle)) {
            if assignment.phase == Phase::Running {
                job.running_count -= 1;
            }
            job.vacate(assignment.task, machine);
        }
    }

    /// What is, or may be, on the machine has changed.
    pub(super) fn record_change(&mut self, machine: MachineHandle) {
        self.change_count += 1;
        if let Some(changed) = &mut self.changed_machines
            && let Some(machine) = self.machines.get(machine)
            && !changed.contains(&machine.name)
        {
            changed.insert(machine.name.clone());
        }
    }
}

impl Assignment {
    /// One of no job that takes nothing.
    fn new(name: String, attempt: u64, phase: Phase, now: Millis) -> Self {
        Assignment {
            name,
            job: None,
            task: 0,
            attempt,
            team: usize::MAX,
            need: Default::default(),
            phase,
            stop_grace_s: None,
            stop_sent: false,
            indeterminate_token: 0,
            sent_with_heartbeat: 0,
            since: now,
            seen_running: false,
            change_number: 0,
        }
    }
}
