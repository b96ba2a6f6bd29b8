//! Assignments: which task runs, or may run, on which machine.
//!
//! Owns the counts derived from assignments: resource usage of machines and teams, live
//! and running tasks of jobs, and the number of the latest change. The scheduler, the
//! reconciliation of heartbeats and the recovery after a failover call these functions.
//! Resources must never be released while the task may still run.

use super::{Assignment, ClusterState, DirectStart, JobHandle, MachineHandle, Phase, StopRequest};
use crate::{
    protocol::{users::Kind, workers::ExitReason},
    state::Millis,
};

impl ClusterState {
    /// Adds an assignment to the machine's list and counts its resources against the
    /// machine and the team.
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

    /// Adds a task that a machine reports although its job is unknown or has no such
    /// task there. The task is stopped, or reaped if it has ended.
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
                stop: StopRequest::immediate(),
                ..Assignment::new(name.to_owned(), attempt, phase, now)
            });
        }
    }

    /// Adds a task that runs, or may run, on the machine although its job has the task elsewhere
    /// or records it as complete. The task is stopped; until it is gone, it counts against
    /// the machine and the team, and the task is not started anywhere else.
    pub fn assign_duplicate(
        &mut self,
        handle: JobHandle,
        task: u32,
        machine: MachineHandle,
        attempt: u64,
        phase: Phase,
        now: Millis,
    ) {
        let Some(job) = self.job(handle) else {
            return;
        };
        let name = format!("{}/{task}", job.id);
        self.assign_orphan(machine, &name, attempt, phase, now);
        let Some(assigned_machine) = self.machine_mut(machine) else {
            return;
        };
        let at = assigned_machine.tasks.len() - 1;
        assigned_machine.tasks[at].job = Some(handle);
        assigned_machine.tasks[at].task = task;
        self.count_attempt(machine, at);
    }

    /// Counts an ended attempt as live again and stops it, because its machine has carried out a
    /// start of it once more. It counts until the machine lists it as ended or can't hold it
    /// any more, and the task is not started anywhere else meanwhile.
    pub fn mark_live_again(&mut self, machine: MachineHandle, at: usize) {
        let Some(assigned_machine) = self.machine_mut(machine) else {
            return;
        };
        let assignment = &mut assigned_machine.tasks[at];
        assignment.phase = Phase::Sent;
        assignment.stop = StopRequest::immediate();
        // Fault attribution has judged the attempt when it ended.
        assignment.seen_running = true;
        self.count_attempt(machine, at);
    }

    /// Counts the live attempt at index `at` of the machine's list, which this leader did not
    /// place, against its job, team and machine. It keeps its change number, so that a
    /// standby prefers the placement by the leader.
    fn count_attempt(&mut self, machine: MachineHandle, at: usize) {
        let assignment = self.machines.get(machine).and_then(|m| m.tasks.get(at));
        let Some(assignment) = assignment else {
            return;
        };
        let (task, phase) = (assignment.task, assignment.phase);
        let (mut team, mut need) = (assignment.team, assignment.need);
        if let Some(job) = assignment.job.and_then(|handle| self.jobs.get_mut(handle)) {
            (team, need) = (job.team, job.need);
            job.running_count += u32::from(phase == Phase::Running);
            job.add_attempt(task, machine);
        }
        if let Some(usage) = self.team_usage.get_mut(team) {
            *usage += need;
        }
        self.record_change(machine);
        if let Some(machine) = self.machine_mut(machine) {
            machine.used += need;
            machine.tasks[at].team = team;
            machine.tasks[at].need = need;
        }
    }

    /// Sets the phase of the assignment at index `at` of the machine's list and updates
    /// the counts that depend on it.
    pub fn set_phase(&mut self, machine: MachineHandle, at: usize, phase: Phase) {
        let Some(assigned_machine) = self.machine_mut(machine) else {
            return;
        };
        let assignment = &mut assigned_machine.tasks[at];
        let before = std::mem::replace(&mut assignment.phase, phase);
        if before == phase {
            return;
        }
        let (handle, task) = (assignment.job, assignment.task);
        let (team, need) = (assignment.team, assignment.need);
        let ends = before.is_live() && !phase.is_live();
        if ends {
            assigned_machine.used -= need;
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
            }
            job.vacate(task, machine);
        }
    }

    /// Removes an assignment from the machine's list because the task is not on the
    /// machine.
    pub fn unassign(&mut self, machine: MachineHandle, at: usize) {
        let Some(assigned_machine) = self.machine_mut(machine) else {
            return;
        };
        let assignment = assigned_machine.tasks.swap_remove(at);
        if assignment.is_live() {
            self.record_change(machine);
            self.release_resources(machine, &assignment);
        }
    }

    /// Releases the resources of a live task that was already removed from the
    /// machine's list.
    pub(super) fn release_resources(&mut self, machine: MachineHandle, assignment: &Assignment) {
        if let Some(assigned_machine) = self.machine_mut(machine) {
            assigned_machine.used -= assignment.need;
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

    /// Counts a change of the machine's assignments and marks the machine for
    /// replication.
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
    /// Returns an assignment that belongs to no job and takes no resources.
    fn new(name: String, attempt: u64, phase: Phase, now: Millis) -> Self {
        Assignment {
            name,
            job: None,
            task: 0,
            attempt,
            team: usize::MAX,
            need: Default::default(),
            phase,
            stop: StopRequest::default(),
            direct_start: DirectStart::default(),
            missing: false,
            sent_with_heartbeat: 0,
            since: now,
            seen_running: false,
            change_number: 0,
        }
    }
}
