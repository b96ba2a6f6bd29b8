//! Fencing tokens of single machines: the token under which the leader commands a machine now,
//! and every raise of it.
//!
//! Owns the epoch of each machine, the low bits of its token. A machine refuses commands under a
//! lower token than the highest it has seen, so a raise is what ends the validity of commands
//! that may still arrive. Epochs never wrap into the bits of the term: a machine that has used up
//! most of its epochs gets no direct commands, so that none has to be revoked any more.
//!
//! Responses that are given before the records are read have an epoch of their own, so that the
//! next leader can tell from a worker's token whether its last response stopped all tasks that
//! had to be gone.

use super::Leader;
use crate::{control::commands, state::cluster::MachineHandle};
use std::fmt;

/// Number of low bits of a fencing token that hold the epoch of one machine; the term is in the
/// bits above.
pub(super) const MACHINE_TOKEN_BITS: u32 = 20;

/// Highest epoch of a machine within a term.
const MAX_EPOCH: u64 = (1 << MACHINE_TOKEN_BITS) - 1;
/// Number of epochs that are kept for raises other than those which direct commands need.
const RESERVED_EPOCHS: u64 = 1 << 12;

/// Why the fencing token of a machine is raised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RaiseReason {
    /// A direct command got no answer.
    UnansweredCommand,
    /// An ended task is reaped that a copy of a direct command could start again.
    EndedTask,
    /// A task is missing in the machine's list that a copy of a direct command could start.
    MissingTask,
    /// The agent may have restarted.
    RestartedAgent,
    /// Responses to the machine seem to be lost.
    LostResponses,
}

impl RaiseReason {
    /// Value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            RaiseReason::UnansweredCommand => "unanswered_command",
            RaiseReason::EndedTask => "ended_task",
            RaiseReason::MissingTask => "missing_task",
            RaiseReason::RestartedAgent => "restarted_agent",
            RaiseReason::LostResponses => "lost_responses",
        }
    }
}

impl fmt::Display for RaiseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RaiseReason::UnansweredCommand => "a direct command got no answer",
            RaiseReason::EndedTask => "a copy of a direct command could start an ended task again",
            RaiseReason::MissingTask => "a copy of a direct command could start a missing task",
            RaiseReason::RestartedAgent => "the agent may have restarted",
            RaiseReason::LostResponses => "responses to the machine seem to be lost",
        })
    }
}

/// Whether the token comes from a response of a leader that had not read the records. Versions
/// that do not tell such responses apart give it with others as well.
pub(super) fn is_token_before_records(token: u64) -> bool {
    token.is_multiple_of(1 << MACHINE_TOKEN_BITS)
}

impl Leader {
    /// Lowest fencing token of this term, which responses have until the records are read.
    pub(super) fn term_token(&self) -> u64 {
        self.term << MACHINE_TOKEN_BITS
    }

    /// Fencing token under which the machine is commanded now.
    pub(super) fn fencing_token(&self, machine_handle: MachineHandle) -> u64 {
        let machine = self.cluster.machine(machine_handle);
        self.term_token() | machine.map_or(0, |m| m.token_epoch)
    }

    /// Raises the machine's fencing token: it refuses earlier commands once it has seen the new
    /// token.
    pub(super) fn raise_token(&mut self, machine_handle: MachineHandle, reason: RaiseReason) {
        let Some(machine) = self.cluster.machine_mut(machine_handle) else {
            return;
        };
        machine.token_epoch = (machine.token_epoch + 1).min(MAX_EPOCH);
        *self
            .events
            .metric_counts
            .token_raises
            .entry(reason)
            .or_default() += 1;
        let token = self.fencing_token(machine_handle);
        if let Some(machine) = self.cluster.machine(machine_handle) {
            log::info!(
                "fencing token of machine {} is raised to {token}: {reason}",
                machine.name
            );
        }
    }

    /// Raises the machine's fencing token if a task there can't be given up under the current
    /// one. Called for the response to a heartbeat, which brings the new token.
    pub(super) fn raise_token_for_tasks(&mut self, machine_handle: MachineHandle) {
        self.raise_token_for_missing_tasks(machine_handle);
        let token = self.fencing_token(machine_handle);
        if !self.has_command_in_flight(machine_handle)
            && commands::has_startable_ended_task(&self.cluster, machine_handle, token)
        {
            self.raise_token(machine_handle, RaiseReason::EndedTask);
        }
    }

    /// Raises the machine's fencing token if a task is missing there that a direct command could
    /// still start. The agent has restarted and may not find this node with its heartbeats, so
    /// the raise does not wait for one.
    pub(super) fn raise_token_for_missing_tasks(&mut self, machine_handle: MachineHandle) {
        let token = self.fencing_token(machine_handle);
        if !self.has_command_in_flight(machine_handle)
            && commands::has_startable_missing_task(&self.cluster, machine_handle, token)
        {
            self.raise_token(machine_handle, RaiseReason::MissingTask);
        }
    }

    /// Whether a direct command to the machine is in flight. It would be refused once the machine
    /// has seen a higher token, so raises wait for its end.
    fn has_command_in_flight(&self, machine_handle: MachineHandle) -> bool {
        let machine = self.cluster.machine(machine_handle);
        machine.is_none_or(|m| m.command_in_flight)
    }

    /// Whether direct commands may be sent to the machine: enough epochs are left to revoke them.
    pub(super) fn may_command_directly(&self, machine_handle: MachineHandle) -> bool {
        let machine = self.cluster.machine(machine_handle);
        machine.is_some_and(|m| m.token_epoch + RESERVED_EPOCHS < MAX_EPOCH)
    }
}
