use super::*;
use std::{cell::RefCell, rc::Rc};

#[test]
fn high_priority_task_runs_before_low_priority_tasks_when_ready() {
    let executor = PriorityExecutor::default();
    let order = Rc::new(RefCell::new(Vec::new()));
    let (wake_sender, wake_receiver) = async_channel::unbounded::<()>();
    for n in 0..50 {
        let (order, wake_sender) = (order.clone(), wake_sender.clone());
        executor
            .spawn_low(async move {
                order.borrow_mut().push(("poll", n));
                if n == 20 {
                    let _ = wake_sender.try_send(());
                }
            })
            .detach();
    }
    let renewal_order = order.clone();
    executor
        .spawn_high(async move {
            renewal_order.borrow_mut().push(("renewal", 0));
            let _ = wake_receiver.recv().await;
            renewal_order.borrow_mut().push(("renewal", 1));
        })
        .detach();
    let order_so_far = order.clone();
    async_io::block_on(executor.run(async {
        while order_so_far.borrow().len() < 52 {
            future::yield_now().await;
        }
    }));
    let order = order.borrow();
    assert_eq!(
        order[0],
        ("renewal", 0),
        "the high-priority task runs first although it was spawned last"
    );
    assert_eq!(
        order[22],
        ("renewal", 1),
        "the high-priority task runs directly after the task that woke it"
    );
}
