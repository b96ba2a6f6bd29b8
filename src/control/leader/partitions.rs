//! Detection of one-way partitions and of restarted agents: machines whose heartbeats
//! arrive although responses and commands do not reach them, and heartbeats that are late
//! or come from a new incarnation.
//!
//! Called for each heartbeat. Decisions depend on the fencing token that a machine has
//! acknowledged; the token can be raised for one machine alone.

use super::{Leader, fencing::RaiseReason};
use crate::{
    control::reconciliation,
    protocol::workers::Heartbeat,
    state::{
        Millis,
        cluster::{Machine, MachineHandle, Phase},
    },
};
use std::fmt;

/// Number of consecutive heartbeats without a token of this term that a machine may send.
/// As each is sent after the one before it was answered, more of them show that the machine
/// does not receive the responses.
const MAX_UNACKNOWLEDGED_HEARTBEATS: u32 = 2;

/// Longest interval between two heartbeats of a restarted agent, even if one of them is
/// redirected.
const RESTART_HEARTBEAT_WINDOW_MS: Millis = 8_000;

/// Why a heartbeat is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnansweredReason {
    /// The heartbeat is older than what is known of the machine, or looks so.
    Stale,
    /// The machine sends heartbeats but does not seem to receive the responses.
    OneWayPartition,
    /// The records are not read yet, and another leader without them may have renewed the lease
    /// last, or the time for such renewals is over.
    RecordsUnread,
}

impl UnansweredReason {
    /// Value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            UnansweredReason::Stale => "stale",
            UnansweredReason::OneWayPartition => "one_way_partition",
            UnansweredReason::RecordsUnread => "records_unread",
        }
    }
}

impl fmt::Display for UnansweredReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnansweredReason::Stale => "it is late, or from an agent that has just restarted",
            UnansweredReason::OneWayPartition => "the machine receives no responses",
            UnansweredReason::RecordsUnread => {
                "the records are not read yet, and the lease must not be renewed without them"
            }
        })
    }
}

/// What is done with a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatHandling {
    /// It is applied, and answered with the commands that are due.
    Apply,
    /// It is answered with a raised fencing token alone, and nothing is concluded from it.
    FenceAgent,
    /// It is not answered, so that the machine's lease expires and a new leader does not wait
    /// forever for it.
    LeaveUnanswered,
}

impl Leader {
    /// Decides what is done with a heartbeat, before anything of it is applied.
    pub(super) fn handling_of_heartbeat(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        now: Millis,
    ) -> HeartbeatHandling {
        let term_token = self.term_token();
        // After this time, the lease of a machine that received no response in this term has
        // expired, so nothing is lost by not answering it. Before that time, a leader that is
        // slow for a while would give up machines that do receive its responses.
        let leases_expired_at = self.recovery.elected_at + self.lease_expiry();
        let Some(machine) = self.cluster.machine_mut(machine_handle) else {
            return HeartbeatHandling::LeaveUnanswered;
        };
        let heartbeat_id = (report.incarnation, report.seq);
        if is_unfenced_agent(machine, report) {
            self.fence_agent(machine_handle, heartbeat_id, now);
            return HeartbeatHandling::FenceAgent;
        }
        // A heartbeat of a confirmed machine that does not acknowledge this term is stale.
        let lowest_accepted_token = if machine.up { term_token } else { 0 };
        if heartbeat_id <= machine.latest_heartbeat
            || report.acknowledged_token < lowest_accepted_token.max(machine.min_token)
        {
            // A late heartbeat changes nothing, and a response to it would be counted as a
            // renewed lease. But two stale heartbeats in order may come from a restarted
            // agent that counts from one again: raising the machine's token shows whether
            // they do.
            let in_order = machine.last_stale_heartbeat.0 != (0, 0)
                && heartbeat_id > machine.last_stale_heartbeat.0
                && now < machine.last_stale_heartbeat.1 + RESTART_HEARTBEAT_WINDOW_MS;
            machine.last_stale_heartbeat = (heartbeat_id, now);
            if !in_order {
                let latest_heartbeat = machine.latest_heartbeat;
                self.note_unanswered(report, latest_heartbeat, UnansweredReason::Stale);
                return HeartbeatHandling::LeaveUnanswered;
            }
            machine.last_answered = now;
            if machine.restart_token == 0 {
                self.detect_restart(machine_handle);
            }
            return HeartbeatHandling::Apply;
        }
        machine.latest_heartbeat = heartbeat_id;
        machine.unacknowledged_heartbeats =
            match machine.contents_unknown && report.acknowledged_token < term_token {
                true => machine.unacknowledged_heartbeats + 1,
                false => 0,
            };
        if machine.unacknowledged_heartbeats > MAX_UNACKNOWLEDGED_HEARTBEATS
            && now > leases_expired_at
        {
            self.note_unanswered(report, heartbeat_id, UnansweredReason::OneWayPartition);
            return HeartbeatHandling::LeaveUnanswered;
        }
        machine.last_answered = now;
        HeartbeatHandling::Apply
    }

    /// Raises the machine's token for an agent that has seen none, so that the response fences
    /// off every command that was sent to the machine before.
    ///
    /// The response is not counted as a renewal of the lease: an agent without a token has no
    /// tasks, and whatever it is told later comes with evidence of its own. So late copies
    /// of such a heartbeat, whose response reaches nobody, keep no machine alive.
    fn fence_agent(
        &mut self,
        machine_handle: MachineHandle,
        heartbeat_id: (u64, u64),
        now: Millis,
    ) {
        self.detect_restart(machine_handle);
        if let Some(machine) = self.cluster.machine_mut(machine_handle) {
            machine.last_stale_heartbeat = (heartbeat_id, now);
        }
    }

    /// Logs and counts a heartbeat that is not answered.
    fn note_unanswered(
        &mut self,
        report: &Heartbeat,
        latest_heartbeat: (u64, u64),
        reason: UnansweredReason,
    ) {
        let counts = &mut self.events.metric_counts.unanswered_heartbeats;
        *counts.entry(reason).or_default() += 1;
        // An agent without a token obeys every command, so the line is worth its cost.
        let level = match report.acknowledged_token {
            0 => log::Level::Info,
            _ => log::Level::Debug,
        };
        log::log!(
            level,
            "heartbeat {}.{} of machine {}, which has seen token {}, is not answered: {reason}; \
             the latest is {}.{}",
            report.incarnation,
            report.seq,
            report.machine,
            report.acknowledged_token,
            latest_heartbeat.0,
            latest_heartbeat.1,
        );
    }

    /// Raises the machine's token, which only an agent that has restarted acknowledges together
    /// with an old sequence number.
    fn detect_restart(&mut self, machine_handle: MachineHandle) {
        self.raise_token(machine_handle, RaiseReason::RestartedAgent);
        let token = self.fencing_token(machine_handle);
        if let Some(machine) = self.cluster.machine_mut(machine_handle) {
            machine.restart_token = token;
        }
    }

    /// Keeps new tasks off a machine until it acknowledges its current fencing token, which is
    /// newer than any token it can have received so far.
    pub(super) fn require_new_token(&mut self, machine_handle: MachineHandle) {
        let token = self.fencing_token(machine_handle);
        if let Some(machine) = self.cluster.machine_mut(machine_handle) {
            machine.required_token = token;
        }
    }

    /// Suspects a one-way partition if commands sent to the machine were lost or it has a new
    /// incarnation. Called after a heartbeat was applied.
    pub(super) fn detect_one_way_partition(
        &mut self,
        machine_handle: MachineHandle,
        effects: &reconciliation::HeartbeatEffects,
    ) {
        // If its lease had expired for lack of heartbeats, the machine would not count as up.
        let responses_lost = effects.lost_commands > 0 || effects.new_incarnation;
        let Some(machine) = self.cluster.machine(machine_handle) else {
            return;
        };
        if !responses_lost || machine.awaits_token_acknowledgement() {
            return;
        }
        log::info!(
            "machine {} may not receive responses: no new tasks are placed there",
            machine.name
        );
        self.raise_token(machine_handle, RaiseReason::LostResponses);
        self.require_new_token(machine_handle);
        self.changed = true;
        // Starts that were sent in a response the machine did not receive never run there.
        for task_index in self.undelivered_starts(machine_handle) {
            self.cluster.unassign(machine_handle, task_index);
        }
    }

    /// Returns the indices of tasks whose start was certainly not delivered, the last first.
    fn undelivered_starts(&self, machine_handle: MachineHandle) -> Vec<usize> {
        let Some(machine) = self.cluster.machine(machine_handle) else {
            return Vec::new();
        };
        let seen_token = machine.acknowledged_token;
        let candidates = machine.tasks.iter().enumerate();
        let candidates = candidates
            .filter(|(_, a)| a.phase == Phase::New && !a.direct_start.may_arrive(seen_token));
        let mut indices: Vec<usize> = candidates.map(|(index, _)| index).collect();
        indices.reverse();
        indices
    }
}

/// Whether the heartbeat is from an agent that has seen no fencing token, on a machine that may
/// have been sent commands in this term. The agent has started since, and obeys a copy of each of
/// them until it is given a higher token.
fn is_unfenced_agent(machine: &Machine, report: &Heartbeat) -> bool {
    let heartbeat_id = (report.incarnation, report.seq);
    let was_commanded = machine.incarnation > 0 || heartbeat_id <= machine.latest_heartbeat;
    report.acknowledged_token == 0 && was_commanded
}
