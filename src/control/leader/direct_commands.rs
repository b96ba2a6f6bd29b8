//! Direct commands: commands sent to machines immediately, without waiting for
//! their next heartbeat.
//!
//! The server sends the deliveries that `direct_deliveries` returns and reports
//! each outcome to `direct_delivery_finished`. Invariants: at most one delivery
//! is in flight per machine, and a delivery of unknown outcome is never treated
//! as refused; instead the machine's fencing token is raised.

use super::{Leader, fencing::RaiseReason, millis};
use crate::{
    control::{
        commands::{self, Carrier},
        reconciliation::StatusSource,
    },
    protocol::workers::{Command, DirectCommands, Heartbeat},
    state::{Millis, cluster::DIRECT_COMMAND_TIMEOUT_MS},
};
use std::net::SocketAddr;

/// Commands to be sent to one machine now.
#[derive(Debug, Clone)]
pub struct DirectDelivery {
    /// Name of the machine.
    pub machine: String,
    /// Address on which the machine's worker listens.
    pub addr: SocketAddr,
    /// The commands, with the fencing token under which they are sent.
    pub commands: DirectCommands,
}

/// Outcome of a direct delivery.
pub enum DirectDeliveryOutcome {
    /// The commands were executed. Holds the status that came back.
    Executed(Heartbeat),
    /// The commands were refused. Holds the status if one came back.
    Refused(Option<Heartbeat>),
    /// The delivery was never sent.
    NotSent,
    /// No response was received: the commands may have been executed, or may still be.
    NoAnswer,
}

impl DirectDeliveryOutcome {
    /// Value of the metric's label.
    fn name(&self) -> &'static str {
        match self {
            DirectDeliveryOutcome::Executed(_) => "executed",
            DirectDeliveryOutcome::Refused(_) => "refused",
            DirectDeliveryOutcome::NotSent => "not_sent",
            DirectDeliveryOutcome::NoAnswer => "no_answer",
        }
    }

    /// Logs the outcome of a command under `token`, unless the command was executed: then the
    /// status that came back shows it.
    fn log(&self, machine: &str, token: u64) {
        match self {
            DirectDeliveryOutcome::Executed(_) => {}
            DirectDeliveryOutcome::Refused(Some(report)) => log::info!(
                "machine {machine} refused the direct command under token {token}: incarnation \
                 {}, token {} seen",
                report.incarnation,
                report.acknowledged_token
            ),
            DirectDeliveryOutcome::Refused(None) => {
                log::info!("machine {machine} refused the direct command under token {token}");
            }
            DirectDeliveryOutcome::NotSent => {
                log::info!("direct command to machine {machine} under token {token} was not sent");
            }
            DirectDeliveryOutcome::NoAnswer => log::info!(
                "direct command to machine {machine} under token {token} got no answer and may \
                 still be carried out"
            ),
        }
    }
}

impl Leader {
    /// Returns the deliveries to send now, and marks each as in flight.
    pub fn direct_deliveries(&mut self, now: Millis) -> Vec<DirectDelivery> {
        let mut deliveries = Vec::new();
        if !self.recovery.loaded {
            return deliveries;
        }
        let confirmed = self.standbys.confirmed_change();
        let probe_interval_ms = millis(self.settings.cluster.workers.report_s);
        for index in self.cluster.machine_range() {
            let Some((machine_handle, machine)) = self.cluster.machine_at(index) else {
                continue;
            };
            let ready = machine.up && !machine.command_in_flight && now >= machine.command_retry_at;
            let token = self.fencing_token(machine_handle);
            if !ready
                || !self.may_command_directly(machine_handle)
                || !commands::needs_direct_commands(&self.cluster, machine_handle, token, confirmed)
            {
                continue;
            }
            let commands = commands::due_commands(
                &mut self.cluster,
                machine_handle,
                Carrier::DirectCommand,
                token,
                confirmed,
            );
            self.count_commands(&commands);
            if let Some(machine) = self.cluster.machine_mut(machine_handle)
                && let Some(addr) = machine.addr
            {
                machine.command_in_flight = true;
                if commands.is_empty() {
                    machine.command_retry_at = now + probe_interval_ms;
                }
                let is_start = |c: &Command| matches!(c, Command::Start { .. });
                if commands.iter().any(is_start) {
                    machine.start_sent_at = Some(now);
                }
                deliveries.push(DirectDelivery {
                    machine: machine.name.clone(),
                    addr,
                    commands: DirectCommands {
                        fencing_token: token,
                        incarnation: machine.incarnation,
                        commands,
                    },
                });
            }
        }
        deliveries
    }

    /// Whether a delivery may still be sent. Connecting to the machine takes time, in which a job
    /// that it starts may be cancelled; the delivery then counts as never sent, and what else it
    /// holds goes with the next response to a heartbeat.
    pub fn may_still_send(&self, delivery: &DirectDelivery) -> bool {
        let commands = &delivery.commands.commands;
        let machine = self.cluster.machine_handle(&delivery.machine);
        machine.is_some_and(|machine| commands::may_still_send(&self.cluster, machine, commands))
    }

    /// Applies the outcome of a delivery that was sent under `token`.
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
        outcome.log(machine, token);
        let counts = &mut self.events.metric_counts.direct_commands;
        *counts.entry(outcome.name()).or_default() += 1;
        let retry_delay_ms = millis(self.settings.cluster.workers.report_s) * 2;
        if let Some(machine_state) = self.cluster.machine_mut(machine_handle) {
            machine_state.command_in_flight = false;
            if let Some(sent_at) = machine_state.start_sent_at.take() {
                match &outcome {
                    // The sequence number in the status does not show whether
                    // this worker process is the one that was answered last: a
                    // restarted one may have counted further, and so may a new
                    // incarnation that was never answered.
                    DirectDeliveryOutcome::Executed(_) => {
                        machine_state.latest_possible_direct_start = now
                    }
                    DirectDeliveryOutcome::NoAnswer => {
                        machine_state.latest_possible_direct_start =
                            sent_at + DIRECT_COMMAND_TIMEOUT_MS
                    }
                    DirectDeliveryOutcome::Refused(_) | DirectDeliveryOutcome::NotSent => {}
                }
            }
        }
        match outcome {
            DirectDeliveryOutcome::Executed(report) => {
                commands::resolve_direct_commands(&mut self.cluster, machine_handle, token, true);
                self.apply_heartbeat(machine_handle, &report, StatusSource::DirectCommand, now);
                self.raise_token_for_missing_tasks(machine_handle);
            }
            DirectDeliveryOutcome::Refused(report) => {
                commands::resolve_direct_commands(&mut self.cluster, machine_handle, token, false);
                if let Some(machine_state) = self.cluster.machine_mut(machine_handle) {
                    machine_state.command_retry_at = now + retry_delay_ms;
                }
                if let Some(report) = report {
                    self.apply_heartbeat(machine_handle, &report, StatusSource::DirectCommand, now);
                }
            }
            DirectDeliveryOutcome::NotSent => {
                commands::resolve_direct_commands(&mut self.cluster, machine_handle, token, false);
                if let Some(machine_state) = self.cluster.machine_mut(machine_handle) {
                    machine_state.command_retry_at = now + retry_delay_ms;
                }
            }
            DirectDeliveryOutcome::NoAnswer => {
                // The delivery may be executed minutes later. Raising the fencing
                // token makes the machine refuse it once it has seen the new token.
                self.raise_token(machine_handle, RaiseReason::UnansweredCommand);
                if let Some(machine_state) = self.cluster.machine_mut(machine_handle) {
                    machine_state.command_retry_at = now + retry_delay_ms;
                }
                self.require_new_token(machine_handle);
            }
        }
        self.changed = true;
    }
}
