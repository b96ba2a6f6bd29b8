//! An executor for the tasks of one thread, in two priorities: a ready task of
//! high priority runs before every ready task of low priority.
//!
//! Guards against floods of status polls: in a single queue, renewals of the
//! leader lease and workers' heartbeats waited behind all of them, and leases
//! expired.

use async_executor::{LocalExecutor, Task};
use futures_lite::{FutureExt, future};
use std::future::Future;

/// Tasks that are run between two looks at the sockets.
const MAX_HIGH_TASKS_PER_TURN: usize = 64;
/// Few, as what arrives meanwhile may be of high priority.
const MAX_LOW_TASKS_PER_TURN: usize = 8;

/// Two queues of tasks with strict priority between them. Tasks are not
/// preempted: each runs until it awaits.
#[derive(Default)]
pub struct PriorityExecutor {
    high: LocalExecutor<'static>,
    low: LocalExecutor<'static>,
}

impl PriorityExecutor {
    /// Spawns a task of high priority: what leases and authority depend on.
    pub fn spawn_high<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.high.spawn(work)
    }

    /// Spawns a task of low priority: what may wait, such as answers to users.
    pub fn spawn_low<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.low.spawn(work)
    }

    /// Runs tasks of both priorities until `work` is complete.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> T {
        work.or(self.run_tasks()).await
    }

    async fn run_tasks<T>(&self) -> T {
        loop {
            match self.run_turn() {
                0 => self.high.tick().or(self.low.tick()).await,
                // Lets the reactor take in what has arrived.
                _ => future::yield_now().await,
            }
        }
    }

    /// Runs ready tasks up to the limits; returns how many.
    fn run_turn(&self) -> usize {
        let (mut high, mut low) = (0, 0);
        while high < MAX_HIGH_TASKS_PER_TURN && low < MAX_LOW_TASKS_PER_TURN {
            if self.high.try_tick() {
                high += 1;
            } else if self.low.try_tick() {
                low += 1;
            } else {
                break;
            }
        }
        high + low
    }
}

#[cfg(test)]
mod tests;
