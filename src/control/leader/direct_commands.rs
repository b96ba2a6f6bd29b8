//! Commands sent to machines at once, between their heartbeats.
//!
//! The server sends what `direct_deliveries` returns and reports each outcome
//! to `direct_delivery_finished`. At most one is in flight for a machine, and
//! one of unknown outcome is never taken for refused: the machine's fencing
//! token is raised instead.

use super::{Leader, millis};
use crate::{
    control::reconciliation::{self, StatusSource},
    protocol::workers::{Command, DirectCommands, Heartbeat},
    state::{Millis, cluster::DIRECT_COMMAND_TIMEOUT_MS},
};
use std::net::SocketAddr;

/// Commands to be sent to one machine now.
#[derive(Debug, Clone)]
pub struct DirectDelivery {
    /// Its name.
    pub machine: String,
    /// Where its worker listens.
    pub addr: SocketAddr,
    /// The commands, with the fencing token they are sent under.
    pub commands: DirectCommands,
}

/// Outcome of a direct delivery.
pub enum DirectDeliveryOutcome {
    /// Executed; the status that came back.
    Executed(Heartbeat),
    /// Refused, with a status if one came back.
    Refused(Option<Heartbeat>),
    /// It never left this process.
    NotSent,
    /// Outcome unknown: it may still be executed.
    NoAnswer,
}

impl Leader {
    /// Deliveries to send now, each recorded as in flight.
    pub fn direct_deliveries(&mut self, now: Millis) -> Vec<DirectDelivery> {
        let mut out = Vec::new();
        if !self.recovery.loaded {
            return out;
        }
        let confirmed = self.standbys.confirmed_change();
        for index in self.cluster.machine_range() {
            let Some((machine_handle, m)) = self.cluster.machine_at(index) else {
                continue;
            };
            let ready = m.up && !m.command_in_flight && now >= m.command_retry_at;
            if !ready || !reconciliation::needs_direct_commands(m, confirmed) {
                continue;
            }
            let token = self.fencing_token(machine_handle);
            let commands = reconciliation::commands(
                &mut self.cluster,
                machine_handle,
                Some(token),
                0,
                confirmed,
            );
            self.count_commands(&commands);
            if let Some(m) = self.cluster.machine_mut(machine_handle)
                && let Some(addr) = m.addr
            {
                m.command_in_flight = true;
                let starts = |c: &Command| matches!(c, Command::Start { .. });
                if commands.iter().any(starts) {
                    m.start_sent_at = Some(now);
                }
                out.push(DirectDelivery {
                    machine: m.name.clone(),
                    addr,
                    commands: DirectCommands {
                        fencing_token: token,
                        incarnation: m.incarnation,
                        commands,
                    },
                });
            }
        }
        out
    }

    /// Applies the outcome of a delivery made under `token`.
    pub fn direct_delivery_finished(
        &mut self,
        machine: &str,
        token: u64,
        outcome: DirectDeliveryOutcome,
        now: Millis,
    ) {
        let Some(machine_handle) = self.cluster.machine_handle(machine) else {
            return;
        };
        let retry = millis(self.settings.cluster.workers.report_s) * 2;
        if let Some(m) = self.cluster.machine_mut(machine_handle) {
            m.command_in_flight = false;
            if let Some(sent) = m.start_sent_at.take() {
                match &outcome {
                    // Its sequence number does not show whether this worker
                    // process is the one answered last: a restarted one may
                    // have counted further, and so may a new incarnation that
                    // was never answered.
                    DirectDeliveryOutcome::Executed(_) => m.latest_possible_start = now,
                    DirectDeliveryOutcome::NoAnswer => {
                        m.latest_possible_start = sent + DIRECT_COMMAND_TIMEOUT_MS
                    }
                    DirectDeliveryOutcome::Refused(_) | DirectDeliveryOutcome::NotSent => {}
                }
            }
        }
        match outcome {
            DirectDeliveryOutcome::Executed(report) => {
                reconciliation::resolve_direct_commands(
                    &mut self.cluster,
                    machine_handle,
                    token,
                    true,
                );
                self.apply_heartbeat(machine_handle, &report, StatusSource::DirectCommand, now);
            }
            DirectDeliveryOutcome::Refused(report) => {
                reconciliation::resolve_direct_commands(
                    &mut self.cluster,
                    machine_handle,
                    token,
                    false,
                );
                if let Some(m) = self.cluster.machine_mut(machine_handle) {
                    m.command_retry_at = now + retry;
                }
                if let Some(report) = report {
                    self.apply_heartbeat(machine_handle, &report, StatusSource::DirectCommand, now);
                }
            }
            DirectDeliveryOutcome::NotSent => {
                reconciliation::resolve_direct_commands(
                    &mut self.cluster,
                    machine_handle,
                    token,
                    false,
                );
                if let Some(m) = self.cluster.machine_mut(machine_handle) {
                    m.command_retry_at = now + retry;
                }
            }
            DirectDeliveryOutcome::NoAnswer => {
                // It may be executed minutes later: raise the fencing token, so
                // that the machine refuses it once it has seen the new one.
                if let Some(m) = self.cluster.machine_mut(machine_handle) {
                    m.token_epoch += 1;
                    m.command_retry_at = now + retry;
                }
                self.require_new_token(machine_handle);
            }
        }
        self.changed = true;
    }
}
