//! Faults of the workers: direct commands that arrive again after they were answered, and
//! agents that restart without their tasks. Draws when they happen; `hosts` lets them happen.

use crate::{Millis, millis, site::WorkerFaults};
use fastrand::Rng;
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

/// Shortest time after which a copy of a command arrives, in seconds.
const MIN_COPY_DELAY_S: f64 = 0.2;
/// Longest time after which a copy arrives, as a multiple of `cancel_s`.
const MAX_COPY_DELAY_FACTOR: f64 = 2.0;
/// Maximum number of copies of one command.
const MAX_COPIES: u32 = 3;
/// Longest time after the restart of an agent at which copies arrive there, if they are to
/// reach it before its first answered heartbeat.
const MAX_COPY_DELAY_AFTER_RESTART_S: f64 = 0.3;
/// Salt of the random numbers of these faults.
const SEED_SALT: u64 = 0x0a9e_47fa;

/// Draws the faults, and counts them.
pub struct FaultInjector {
    faults: WorkerFaults,
    longest_delay_s: f64,
    rng: RefCell<Rng>,
    next_restart: Cell<Millis>,
    /// Number of copies that arrived.
    pub copies: Cell<u64>,
    /// Number of agents restarted.
    pub restarts: Cell<u64>,
}

impl FaultInjector {
    /// Returns the injector of a site's worker faults.
    pub fn new(faults: WorkerFaults, seed: u64, cancel_s: f64) -> Self {
        FaultInjector {
            next_restart: Cell::new(millis(faults.agent_restarts_every_s)),
            faults,
            longest_delay_s: cancel_s * MAX_COPY_DELAY_FACTOR,
            rng: RefCell::new(Rng::with_seed(seed ^ SEED_SALT)),
            copies: Cell::default(),
            restarts: Cell::default(),
        }
    }

    /// Returns the delays after which copies of a command arrive: short ones are as likely as
    /// long ones.
    pub(crate) fn draw_copy_delays(&self) -> Vec<Duration> {
        let mut rng = self.rng.borrow_mut();
        if rng.f64() >= self.faults.duplicate_commands {
            return Vec::new();
        }
        let ratio = self.longest_delay_s / MIN_COPY_DELAY_S;
        (0..rng.u32(1..=MAX_COPIES))
            .map(|_| Duration::from_secs_f64(MIN_COPY_DELAY_S * ratio.powf(rng.f64())))
            .collect()
    }

    /// Returns the delays, from the restart of an agent, after which copies of an earlier command
    /// arrive there; none unless copies reach agents that were not answered yet.
    pub(crate) fn draw_copy_delays_after_restart(&self) -> Vec<Duration> {
        if !self.reach_unanswered_agents() {
            return Vec::new();
        }
        let mut rng = self.rng.borrow_mut();
        (0..rng.u32(0..=MAX_COPIES))
            .map(|_| Duration::from_secs_f64(MAX_COPY_DELAY_AFTER_RESTART_S * rng.f64()))
            .collect()
    }

    /// Whether copies reach a restarted agent before its first heartbeat was answered.
    pub(crate) fn reach_unanswered_agents(&self) -> bool {
        self.faults.reach_unanswered_agents
    }

    /// Returns the index of the worker, out of `count`, whose agent restarts now, if one does.
    pub fn restart_due(&self, count: usize, now: Millis) -> Option<usize> {
        let interval = millis(self.faults.agent_restarts_every_s);
        if interval == 0 || count == 0 || now < self.next_restart.get() {
            return None;
        }
        self.next_restart.set(now + interval);
        self.restarts.set(self.restarts.get() + 1);
        Some(self.rng.borrow_mut().usize(..count))
    }
}
