//! How long a new leader takes until the service is whole again, phase by
//! phase: for the log, and for the operators' figures.

use super::Leader;
use crate::{
    protocol::{status::Reason, users::Kind},
    state::Millis,
};

/// How long workers that report take to find a new leader at most, where no
/// node hangs.
const FIRST: Millis = 1_500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Reads jobs and machine registry.
    Loading,
    /// Waits to hear every machine, or for its lease to expire, unless it knows
    /// what may run there.
    Settling,
    /// Works off what waited meanwhile and may not wait: services and gangs.
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

/// How far this leader has come since it became leader, and what it may go by
/// until it has heard every machine.
pub(super) struct Recovery {
    pub(super) elected_at: Millis,
    /// Jobs and machine registry have been read.
    pub(super) loaded: bool,
    /// Every machine was heard, or its lease must have expired.
    pub(super) settled: bool,
    /// When this process last went on after it had stood still.
    pub(super) resumed_at: Millis,
    pub(super) failover: super::failover::Failover,
    /// Machines that were heard, and those that were not yet.
    pub(super) responsive_machines: usize,
    pub(super) unconfirmed_machines: usize,
    /// By when a worker that can report has reported.
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

    /// Enough machines were heard to judge that there is no room. Guards
    /// against stopping tasks for work that has room on a machine which is
    /// heard a second later.
    pub(super) fn heard_from_most(&self, now: Millis) -> bool {
        self.settled
            || 10 * self.unconfirmed_machines <= self.responsive_machines
            || now >= self.heartbeats_due_by
    }

    /// All that may run is in the cluster state, heard or not.
    pub(super) fn knows_all_tasks(&self) -> bool {
        self.settled || self.failover.warm
    }
}

impl Leader {
    /// For how long nobody was seen to lead before this term.
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

    /// Services or gangs from before it settled wait for room that they may
    /// have. Batches do not count: they may wait for minutes on any day.
    fn has_urgent_starts(&self) -> bool {
        let since = self.recovery.since;
        self.cluster.jobs.iter().flatten().any(|j| {
            j.spec.kind != Kind::Array
                && j.waiting_count() > 0
                && j.known_since <= since
                && !j.cancelled
                && !j.cancel_requested
                && !matches!(j.reason, Reason::TeamLimit | Reason::FailsEverywhere)
        })
    }
}
