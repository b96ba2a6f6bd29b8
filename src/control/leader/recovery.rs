//! Recovery after an election: how far this leader has come, and how long each phase
//! took, for the log and for metrics.
//!
//! Owns `Recovery`. Read by all that may only act once the records are read or every
//! machine is confirmed; changed by loading, expiry and failover. A phase is never left
//! before its condition holds.

use super::Leader;
use crate::{
    protocol::{status::PendingReason, users::Kind},
    state::Millis,
};

/// How long workers take to find a new leader at most, where no node is unresponsive.
const FIRST: Millis = 1_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Reads jobs and machine registry.
    Loading,
    /// Waits for a heartbeat of every machine, or for its lease to expire, unless what
    /// may run there is known.
    Settling,
    /// Starts what waited meanwhile and is urgent: services and gangs.
    Starting,
    Whole,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Loading => "loading",
            Phase::Settling => "settling",
            Phase::Starting => "starting",
            Phase::Whole => "whole",
        }
    }

    fn next(self) -> Phase {
        match self {
            Phase::Loading => Phase::Settling,
            Phase::Settling => Phase::Starting,
            Phase::Starting | Phase::Whole => Phase::Whole,
        }
    }
}

/// How far this leader has recovered, and what it may rely on until every machine is
/// confirmed.
pub(super) struct Recovery {
    pub(super) elected_at: Millis,
    /// Jobs and machine registry have been read.
    pub(super) loaded: bool,
    /// Every machine is confirmed by a heartbeat, or its lease has expired.
    pub(super) settled: bool,
    /// When this process last resumed after a pause.
    pub(super) resumed_at: Millis,
    pub(super) failover: super::failover::Failover,
    /// Machines that are up, and those that are not confirmed yet.
    pub(super) responsive_machines: usize,
    pub(super) unconfirmed_machines: usize,
    /// By when a worker that can send a heartbeat has sent one.
    pub(super) heartbeats_due_by: Millis,
    phase: Phase,
    since: Millis,
}

impl Recovery {
    pub(super) fn started(now: Millis, report: Millis) -> Self {
        Recovery {
            responsive_machines: 0,
            unconfirmed_machines: 0,
            heartbeats_due_by: now + report + report / 4 + FIRST,
            elected_at: now,
            loaded: false,
            settled: false,
            resumed_at: now,
            failover: Default::default(),
            phase: Phase::Loading,
            since: now,
        }
    }

    /// Enough machines are confirmed to judge that capacity is short. Guards against
    /// preempting for work that fits on a machine confirmed a second later.
    pub(super) fn heard_from_most(&self, now: Millis) -> bool {
        self.settled
            || 10 * self.unconfirmed_machines <= self.responsive_machines
            || now >= self.heartbeats_due_by
    }

    /// All that may run is in the cluster state, confirmed or not.
    pub(super) fn knows_all_tasks(&self) -> bool {
        self.settled || self.failover.warm
    }
}

impl Leader {
    /// For how long no leader was observed before this term.
    pub fn set_leaderless_time(&mut self, ms: Millis) {
        self.record_phase_duration("leaderless", ms);
    }

    fn record_phase_duration(&mut self, phase: &'static str, ms: Millis) {
        log::info!("term {}: {phase} took {ms} ms", self.term);
        self.events.tally.phases.push((phase, ms as f64 / 1000.0));
    }

    /// Notes which phases are over.
    pub(super) fn advance_recovery(&mut self, now: Millis) {
        loop {
            let phase = self.recovery.phase;
            let over = match phase {
                Phase::Loading => self.recovery.loaded,
                Phase::Settling => self.recovery.knows_all_tasks(),
                Phase::Starting => !self.has_urgent_starts(),
                Phase::Whole => return,
            };
            if !over {
                return;
            }
            self.record_phase_duration(phase.name(), now - self.recovery.since);
            (self.recovery.phase, self.recovery.since) = (phase.next(), now);
            if self.recovery.phase == Phase::Whole {
                let all = now - self.recovery.elected_at;
                log::info!("term {}: recovered after {all} ms", self.term);
            }
        }
    }

    /// Services or gangs from before it settled wait for capacity that they may use.
    /// Batches do not count: they may wait for minutes on any day.
    fn has_urgent_starts(&self) -> bool {
        let since = self.recovery.since;
        self.cluster.jobs.values().any(|j| {
            j.spec.kind != Kind::Array
                && j.waiting_count() > 0
                && j.known_since <= since
                && !j.cancelled
                && !j.cancel_requested
                && !matches!(
                    j.reason,
                    PendingReason::TeamLimit | PendingReason::FailsEverywhere
                )
        })
    }
}
