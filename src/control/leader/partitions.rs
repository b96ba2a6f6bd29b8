//! One-way partitions and restarted agents: machines whose heartbeats arrive while
//! responses and commands do not reach them, and heartbeats that are late or of a new
//! incarnation.
//!
//! Called for each heartbeat. What counts is the token that a machine acknowledges,
//! raised for it alone.

use super::Leader;
use crate::{
    control::reconciliation,
    protocol::workers::Heartbeat,
    state::{
        Millis,
        cluster::{MachineHandle, Phase},
    },
};

/// So many heartbeats in a row without a token of this term, each sent after the one
/// before it was answered, show that the machine does not receive the responses.
const MAX_UNACKNOWLEDGED_HEARTBEATS: u32 = 2;

/// Heartbeats of a restarted agent come at least as often, one of them redirected.
const RESTART_HEARTBEAT_WINDOW_MS: Millis = 8_000;

impl Leader {
    /// Checks a heartbeat before it is applied. `false`: it gets no response, so that
    /// the lease surely expires and a new leader need not wait for ever for the machine.
    pub(super) fn accepts_heartbeat(
        &mut self,
        machine_handle: MachineHandle,
        report: &Heartbeat,
        now: Millis,
    ) -> bool {
        let (floor, token) = (self.term_token(), self.fencing_token(machine_handle));
        // By then the lease of a machine without a response in this term has expired, so
        // nothing is lost. Guards against a leader that is too slow for a while, and
        // would give up machines that receive its responses.
        let over = self.recovery.elected_at + self.lease_expiry();
        let Some(m) = self.cluster.machine_mut(machine_handle) else {
            return false;
        };
        let this = (report.incarnation, report.seq);
        // From a confirmed machine, a heartbeat that has not seen this term is an old
        // one.
        let least = if m.up { floor } else { 0 };
        if this <= m.latest_heartbeat || report.acknowledged_token < least.max(m.min_token) {
            // A late heartbeat changes nothing, and a response to it would be counted as
            // a lease. Two in order may be of a restarted agent that counts from one
            // again: a token raised for it shows that.
            let in_order = m.last_stale_heartbeat.0 != (0, 0)
                && this > m.last_stale_heartbeat.0
                && now < m.last_stale_heartbeat.1 + RESTART_HEARTBEAT_WINDOW_MS;
            m.last_stale_heartbeat = (this, now);
            if !in_order {
                return false;
            }
            if m.restart_token == 0 {
                m.token_epoch += 1;
                m.restart_token = token + 1;
            }
            m.last_answered = now;
            return true;
        }
        m.latest_heartbeat = this;
        m.unacknowledged_heartbeats = match m.contents_unknown && report.acknowledged_token < floor
        {
            true => m.unacknowledged_heartbeats + 1,
            false => 0,
        };
        if m.unacknowledged_heartbeats > MAX_UNACKNOWLEDGED_HEARTBEATS && now > over {
            log::debug!(
                "machine {} sends heartbeats, but receives no responses",
                m.name
            );
            return false;
        }
        m.last_answered = now;
        true
    }

    /// Nothing new is placed there before it shows a token that is newer than
    /// all it can have seen.
    pub(super) fn require_new_token(&mut self, machine_handle: MachineHandle) {
        let token = self.fencing_token(machine_handle);
        if let Some(m) = self.cluster.machine_mut(machine_handle) {
            m.required_token = token;
        }
    }

    /// Called after a heartbeat was applied.
    pub(super) fn detect_one_way_partition(
        &mut self,
        machine_handle: MachineHandle,
        effects: &reconciliation::HeartbeatEffects,
    ) {
        // Had its lease expired for lack of heartbeats, it would not count as up.
        let lost = effects.lost_commands > 0 || effects.new_incarnation;
        let Some(m) = self.cluster.machine_mut(machine_handle) else {
            return;
        };
        if !lost || m.misses_responses() {
            return;
        }
        log::info!(
            "machine {} may not receive responses: no new tasks there",
            m.name
        );
        m.token_epoch += 1;
        self.require_new_token(machine_handle);
        self.changed = true;
        // What was ordered in an answer that it did not get never runs there.
        for at in self.never_delivered(machine_handle) {
            self.cluster.unassign(machine_handle, at);
        }
    }

    /// Orders that were given and are surely not carried out, last first.
    fn never_delivered(&self, machine_handle: MachineHandle) -> Vec<usize> {
        let tasks = self
            .cluster
            .machine(machine_handle)
            .map_or(&[][..], |m| &m.tasks);
        let new = tasks.iter().enumerate();
        let new = new.filter(|(_, a)| a.phase == Phase::New && a.indeterminate_token == 0);
        let mut at: Vec<usize> = new.map(|(at, _)| at).collect();
        at.reverse();
        at
    }
}
