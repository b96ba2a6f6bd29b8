//! Single-threaded executor with two priorities: a ready task of high priority
//! runs before every ready task of low priority.
//!
//! The priorities guard against floods of status polls. With a single queue,
//! renewals of the leader lease and heartbeats of workers waited behind all
//! queued polls, and leases expired.

use async_executor::{LocalExecutor, Task};
use futures_lite::{FutureExt, future};
use std::future::Future;

/// Maximum number of high-priority tasks to run before the reactor polls the
/// sockets again.
const MAX_HIGH_TASKS_PER_BATCH: usize = 64;
/// Maximum number of low-priority tasks to run before the reactor polls the
/// sockets again. The number is low because high-priority work may arrive
/// meanwhile.
const MAX_LOW_TASKS_PER_BATCH: usize = 8;

/// Executor with two task queues and strict priority between them. Tasks are not
/// preempted: each runs until it awaits.
#[derive(Default)]
pub struct PriorityExecutor {
    high: LocalExecutor<'static>,
    low: LocalExecutor<'static>,
}

impl PriorityExecutor {
    /// Spawns a high-priority task, for work on which leases and authority
    /// depend.
    pub fn spawn_high<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.high.spawn(work)
    }

    /// Spawns a low-priority task, for work that may wait, such as responses to
    /// users.
    pub fn spawn_low<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.low.spawn(work)
    }

    /// Runs tasks of both priorities until `work` completes.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> T {
        work.or(self.run_tasks()).await
    }

    async fn run_tasks<T>(&self) -> T {
        loop {
            match self.run_ready_tasks() {
                0 => self.high.tick().or(self.low.tick()).await,
                // Yields so that the reactor can process pending I/O events.
                _ => future::yield_now().await,
            }
        }
    }

    /// Runs ready tasks up to the limits and returns the number of tasks run.
    fn run_ready_tasks(&self) -> usize {
        let (mut high, mut low) = (0, 0);
        while high < MAX_HIGH_TASKS_PER_BATCH && low < MAX_LOW_TASKS_PER_BATCH {
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
