//! Tasks of one thread in two lanes: what is ready in the first goes ahead of
//! everything in the second.
//!
//! Guards against floods of polls: in one queue, renewals of leadership and
//! workers' reports waited behind each of them, and leases were lost.

use async_executor::{LocalExecutor, Task};
use futures_lite::{FutureExt, future};
use std::future::Future;

/// Tasks run between two looks at the sockets. Few of the second lane, as
/// what arrives meanwhile may belong to the first.
const FIRST: usize = 64;
const SECOND: usize = 8;

#[derive(Default)]
pub struct PriorityExecutor {
    first: LocalExecutor<'static>,
    second: LocalExecutor<'static>,
}

impl PriorityExecutor {
    /// For what leases and authority hang on.
    pub fn spawn_high<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.first.spawn(work)
    }

    /// For what may wait a little, such as answers to users.
    pub fn spawn_low<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.second.spawn(work)
    }

    /// Runs tasks of both lanes until `work` is over.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let drive = async {
            loop {
                let (mut first, mut second) = (0, 0);
                while first < FIRST && second < SECOND {
                    if self.first.try_tick() {
                        first += 1;
                    } else if self.second.try_tick() {
                        second += 1;
                    } else {
                        break;
                    }
                }
                match first + second {
                    0 => self.first.tick().or(self.second.tick()).await,
                    // Lets the reactor take in what has arrived.
                    _ => future::yield_now().await,
                }
            }
        };
        work.or(drive).await
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::{cell::RefCell, rc::Rc};

    #[test]
    fn what_is_ready_in_the_first_lane_never_waits_for_the_second() {
        let lanes = PriorityExecutor::default();
        let order = Rc::new(RefCell::new(Vec::new()));
        let (wake, woken) = async_channel::unbounded::<()>();
        for n in 0..50 {
            let (order, wake) = (order.clone(), wake.clone());
            lanes
                .spawn_low(async move {
                    order.borrow_mut().push(("poll", n));
                    if n == 20 {
                        let _ = wake.try_send(());
                    }
                })
                .detach();
        }
        let renewals = order.clone();
        lanes
            .spawn_high(async move {
                renewals.borrow_mut().push(("renewal", 0));
                let _ = woken.recv().await;
                renewals.borrow_mut().push(("renewal", 1));
            })
            .detach();
        let seen = order.clone();
        async_io::block_on(lanes.run(async {
            while seen.borrow().len() < 52 {
                future::yield_now().await;
            }
        }));
        let order = order.borrow();
        assert_eq!(order[0], ("renewal", 0), "spawned last, ready first");
        assert_eq!(order[22], ("renewal", 1), "right after what woke it");
    }
}
