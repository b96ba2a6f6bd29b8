//! Recovery after an election: the phase that this leader has reached, and how long each
//! phase took, for the log and for metrics.
//!
//! Owns `Recovery`. Read by the modules that may act only once the records are read or
//! every machine is confirmed; changed by loading, lease expiry and failover. Invariant:
//! a phase is never left before its condition holds.

use super::Leader;
use crate::{
    protocol::{status::PendingReason, users::Kind},
    state::Millis,
};

/// Longest time in which a worker finds a new leader if no node is unresponsive.
const LEADER_DISCOVERY_MS: Millis = 1_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecoveryPhase {
    /// The jobs and the machine registry are being read.
    Loading,
    /// The leader waits until every machine has sent a heartbeat or its lease has expired.
    /// After a warm failover this phase ends at once, as all tasks that may run are known.
    Settling,
    /// Services and gangs that waited during recovery are started, as these are urgent.
    Starting,
    /// Recovery is complete.
    Recovered,
}

impl RecoveryPhase {
    fn name(self) -> &'static str {
        match self {
            RecoveryPhase::Loading => "loading",
            RecoveryPhase::Settling => "settling",
            RecoveryPhase::Starting => "starting",
            RecoveryPhase::Recovered => "whole",
        }
    }

    fn next(self) -> RecoveryPhase {
        match self {
            RecoveryPhase::Loading => RecoveryPhase::Settling,
            RecoveryPhase::Settling => RecoveryPhase::Starting,
            RecoveryPhase::Starting | RecoveryPhase::Recovered => RecoveryPhase::Recovered,
        }
    }
}

/// The progress of recovery, and what this leader may rely on until every machine is
/// confirmed.
pub(super) struct Recovery {
    pub(super) elected_at: Millis,
    /// Whether the jobs and the machine registry have been read.
    pub(super) loaded: bool,
    /// Whether every machine is confirmed by a heartbeat or its lease has expired.
    pub(super) settled: bool,
    /// When this process last resumed after a pause or a delay.
    pub(super) resumed_at: Millis,
    pub(super) failover: super::failover::Failover,
    /// Number of machines that are up.
    pub(super) responsive_machines: usize,
    /// Number of machines whose tasks have not been confirmed yet.
    pub(super) unconfirmed_machines: usize,
    /// Time by which every worker that can reach this leader has sent a heartbeat.
    pub(super) heartbeats_due_at: Millis,
    phase: RecoveryPhase,
    phase_started_at: Millis,
}

impl Recovery {
    pub(super) fn started(now: Millis, report_interval_ms: Millis) -> Self {
        Recovery {
            responsive_machines: 0,
            unconfirmed_machines: 0,
            heartbeats_due_at: now
                + report_interval_ms
                + report_interval_ms / 4
                + LEADER_DISCOVERY_MS,
            elected_at: now,
            loaded: false,
            settled: false,
            resumed_at: now,
            failover: Default::default(),
            phase: RecoveryPhase::Loading,
            phase_started_at: now,
        }
    }

    /// Whether enough machines are confirmed to conclude that capacity is short: no more
    /// unconfirmed machines than a tenth of those that are up, or all heartbeats are due.
    /// Guards against preempting for work that fits on a machine confirmed a second later.
    pub(super) fn most_machines_confirmed(&self, now: Millis) -> bool {
        self.settled
            || 10 * self.unconfirmed_machines <= self.responsive_machines
            || now >= self.heartbeats_due_at
    }

    /// Whether all tasks that may run are in the cluster state, confirmed or not.
    pub(super) fn knows_all_tasks(&self) -> bool {
        self.settled || self.failover.warm
    }
}

impl Leader {
    /// Records for how long no leader was observed before this term.
    pub fn set_leaderless_time(&mut self, duration_ms: Millis) {
        self.record_phase_duration("leaderless", duration_ms);
    }

    fn record_phase_duration(&mut self, phase: &'static str, duration_ms: Millis) {
        log::info!("term {}: {phase} phase took {duration_ms} ms", self.term);
        self.events
            .metric_counts
            .phases
            .push((phase, duration_ms as f64 / 1000.0));
    }

    /// Ends each phase whose condition holds, and records its duration.
    pub(super) fn advance_recovery(&mut self, now: Millis) {
        loop {
            let phase = self.recovery.phase;
            let ended = match phase {
                RecoveryPhase::Loading => self.recovery.loaded,
                RecoveryPhase::Settling => self.recovery.knows_all_tasks(),
                RecoveryPhase::Starting => !self.has_urgent_starts(),
                RecoveryPhase::Recovered => return,
            };
            if !ended {
                return;
            }
            self.record_phase_duration(phase.name(), now - self.recovery.phase_started_at);
            (self.recovery.phase, self.recovery.phase_started_at) = (phase.next(), now);
            if self.recovery.phase == RecoveryPhase::Recovered {
                let all = now - self.recovery.elected_at;
                log::info!("term {}: recovered after {all} ms", self.term);
            }
        }
    }

    /// Whether services or gangs that were known when the starting phase began still wait
    /// for capacity that they may use. Arrays do not count: they may wait for minutes in
    /// normal operation.
    fn has_urgent_starts(&self) -> bool {
        let phase_started_at = self.recovery.phase_started_at;
        self.cluster.jobs.values().any(|job| {
            job.spec.kind != Kind::Array
                && job.waiting_count() > 0
                && job.waiting_since <= phase_started_at
                && !job.end_requested()
                && !matches!(
                    job.reason,
                    PendingReason::TeamLimit | PendingReason::FailsEverywhere
                )
        })
    }
}
