//! Faults of the workers: direct commands that arrive again after they were answered, and
//! agents that restart without their tasks.

use crate::{Millis, hosts::Hosted, installation::Testbed, millis, site::WorkerFaults};
use async_io::Timer;
use fastrand::Rng;
use pathwinch_protocol::workers::DirectCommands;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// Shortest time after which a copy of a command arrives, in seconds.
const MIN_COPY_DELAY_S: f64 = 0.2;
/// Longest time after which a copy arrives, as a multiple of `cancel_s`.
const MAX_COPY_DELAY_FACTOR: f64 = 2.0;
/// Maximum number of copies of one command.
const MAX_COPIES: u32 = 3;
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
    fn draw_copy_delays(&self) -> Vec<Duration> {
        let mut rng = self.rng.borrow_mut();
        if rng.f64() >= self.faults.duplicate_commands {
            return Vec::new();
        }
        let ratio = self.longest_delay_s / MIN_COPY_DELAY_S;
        (0..rng.u32(1..=MAX_COPIES))
            .map(|_| Duration::from_secs_f64(MIN_COPY_DELAY_S * ratio.powf(rng.f64())))
            .collect()
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

/// Lets copies of a direct command, which the worker has carried out, arrive later. Nobody
/// waits for their answers.
pub(crate) fn send_copies(testbed: &Rc<Testbed>, hosted: &Rc<Hosted>, commands: &DirectCommands) {
    for delay in testbed.faults.draw_copy_delays() {
        let (testbed, hosted, commands) = (testbed.clone(), hosted.clone(), commands.clone());
        let executor = testbed.executor.clone();
        let arrival = async move {
            Timer::after(delay).await;
            deliver_copy(&testbed, &hosted, commands);
        };
        executor.spawn_high(arrival).detach();
    }
}

fn deliver_copy(testbed: &Testbed, hosted: &Hosted, commands: DirectCommands) {
    let mut worker = hosted.worker.borrow_mut();
    // No controller can fence an agent before it has answered one of its heartbeats.
    if !worker.was_answered() || testbed.cloud.borrow().machine(&worker.id).is_none() {
        return;
    }
    let copies = &testbed.faults.copies;
    copies.set(copies.get() + 1);
    let now = testbed.now();
    worker.on_direct_commands(commands, &mut testbed.object_store.borrow_mut(), now);
}
