use super::*;
use std::{cell::RefCell, rc::Rc};

#[test]
fn high_priority_task_runs_before_all_low_ones_when_ready() {
    let executor = PriorityExecutor::default();
    let order = Rc::new(RefCell::new(Vec::new()));
    let (wake, woken) = async_channel::unbounded::<()>();
    for n in 0..50 {
        let (order, wake) = (order.clone(), wake.clone());
        executor
            .spawn_low(async move {
                order.borrow_mut().push(("poll", n));
                if n == 20 {
                    let _ = wake.try_send(());
                }
            })
            .detach();
    }
    let renewals = order.clone();
    executor
        .spawn_high(async move {
            renewals.borrow_mut().push(("renewal", 0));
            let _ = woken.recv().await;
            renewals.borrow_mut().push(("renewal", 1));
        })
        .detach();
    let seen = order.clone();
    async_io::block_on(executor.run(async {
        while seen.borrow().len() < 52 {
            future::yield_now().await;
        }
    }));
    let order = order.borrow();
    assert_eq!(order[0], ("renewal", 0), "spawned last, ready first");
    assert_eq!(order[22], ("renewal", 1), "right after what woke it");
}
