//! Runs the simulated workers of all rented machines in this process. Each worker
//! has its own address for direct commands and its own connection for its
//! heartbeats; one loop advances all of them.

mod direct_commands;
mod heartbeats;

use crate::{
    Millis,
    installation::{Testbed, loopback},
    worker::Worker,
};
use async_executor::Task;
use async_io::Timer;
use direct_commands::{SentCommands, resend_to_restarted_agent, serve_direct};
use heartbeats::send_heartbeat;
use pathwinch_transport::{
    client::Client,
    server::{self, Limits},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

/// Interval at which all workers are advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of connections for direct commands to a worker. A controller keeps
/// one open, and a new one may arrive while the old one closes.
const MAX_DIRECT_CONNECTIONS: usize = 64;

/// A worker with the state of its heartbeat connection.
struct Hosted {
    worker: RefCell<Worker>,
    /// Direct commands that the worker has carried out.
    sent_commands: RefCell<SentCommands>,
    client: Client,
    /// Index of the controller that gets the heartbeats, modulo their number.
    target: Cell<usize>,
    in_flight: Cell<bool>,
    next_heartbeat_at: Cell<Millis>,
}

/// A worker and the task that serves its address.
struct RunningWorker {
    hosted: Rc<Hosted>,
    _direct_command_task: Task<std::io::Result<()>>,
}

/// Starts a worker on each machine that has booted, and ends it when the machine is
/// gone. Never returns.
pub async fn run(testbed: Rc<Testbed>) {
    let mut running: HashMap<String, RunningWorker> = HashMap::new();
    loop {
        let now = testbed.now();
        let booted = testbed.cloud.borrow().booted_machines(now);
        for id in booted {
            running
                .entry(id)
                .or_insert_with_key(|id| start(&testbed, id));
        }
        end_workers_of_lost_machines(&testbed, &mut running);
        restart_agent_if_due(&testbed, &running);
        for hosted in running.values().map(|r| &r.hosted) {
            step(&testbed, hosted);
        }
        Timer::after(STEP_INTERVAL).await;
    }
}

fn end_workers_of_lost_machines(testbed: &Testbed, running: &mut HashMap<String, RunningWorker>) {
    let now = testbed.now();
    running.retain(|id, r| {
        let exists = testbed.cloud.borrow().machine(id).is_some();
        if !exists {
            let mut object_store = testbed.object_store.borrow_mut();
            r.hosted
                .worker
                .borrow_mut()
                .lose_all(&mut object_store, now);
        }
        exists
    });
}

/// Restarts the agent of one machine, if the site's faults ask for it now.
fn restart_agent_if_due(testbed: &Rc<Testbed>, running: &HashMap<String, RunningWorker>) {
    let now = testbed.now();
    let Some(index) = testbed.faults.restart_due(running.len(), now) else {
        return;
    };
    // In the order of the names, so that a seed means the same machine.
    let mut names: Vec<&String> = running.keys().collect();
    names.sort_unstable();
    let hosted = &running[names[index]].hosted;
    {
        let mut object_store = testbed.object_store.borrow_mut();
        hosted.worker.borrow_mut().restart(&mut object_store, now);
    }
    resend_to_restarted_agent(testbed, hosted);
}

fn start(testbed: &Rc<Testbed>, id: &str) -> RunningWorker {
    let (listener, addr) = match loopback() {
        Ok((listener, addr)) => (Some(listener), addr.to_string()),
        Err(e) => {
            log::warn!("machine {id}: the worker cannot listen for direct commands: {e}");
            (None, String::new())
        }
    };
    testbed.cloud.borrow_mut().set_addr(id, addr.clone());
    let hosted = Rc::new(Hosted {
        worker: RefCell::new(new_worker(testbed, id, addr)),
        sent_commands: RefCell::default(),
        client: Client::new(1),
        target: Cell::new(fastrand::usize(..testbed.controllers.len())),
        in_flight: Cell::new(false),
        next_heartbeat_at: Cell::new(0),
    });
    let (server_testbed, hosted_worker) = (testbed.clone(), hosted.clone());
    let direct_command_server = testbed.executor.spawn_high(async move {
        let Some(listener) = listener else {
            return Ok(());
        };
        let limits = Limits {
            connections: MAX_DIRECT_CONNECTIONS,
            others: MAX_DIRECT_CONNECTIONS,
            first: "/do",
        };
        let executor = server_testbed.executor.clone();
        let handle =
            move |request| serve_direct(server_testbed.clone(), hosted_worker.clone(), request);
        server::serve_on(executor, listener, limits, handle).await
    });
    RunningWorker {
        hosted,
        _direct_command_task: direct_command_server,
    }
}

fn new_worker(testbed: &Testbed, id: &str, addr: String) -> Worker {
    let cloud = testbed.cloud.borrow();
    let (machine_type, zone, spot) = match cloud.machine(id) {
        Some(m) => (cloud.type_of(m).clone(), m.zone.clone(), m.spot),
        None => unreachable!("only machines that exist have booted"),
    };
    let limits = testbed.site.cluster.workers.clone();
    Worker::new(id, addr, machine_type, &zone, spot, limits, testbed.now())
}

/// Advances a worker to the current time, and sends a heartbeat if one is due.
fn step(testbed: &Rc<Testbed>, hosted: &Rc<Hosted>) {
    let now = testbed.now();
    let mut worker = hosted.worker.borrow_mut();
    worker.step(&mut testbed.object_store.borrow_mut(), now);
    let may_send = !hosted.in_flight.get() && now >= hosted.next_heartbeat_at.get();
    if !may_send || !worker.heartbeat_due(now, fastrand::f64()) {
        return;
    }
    hosted.in_flight.set(true);
    let (testbed, hosted_worker) = (testbed.clone(), hosted.clone());
    let executor = testbed.executor.clone();
    executor
        .spawn_high(async move {
            let delay = send_heartbeat(&testbed, &hosted_worker).await;
            hosted_worker.next_heartbeat_at.set(testbed.now() + delay);
            hosted_worker.in_flight.set(false);
        })
        .detach();
}
