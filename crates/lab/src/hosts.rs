//! Runs the simulated workers of all rented machines in this process. Each worker
//! has its own address for direct commands and its own connection for its
//! heartbeats; one loop advances all of them.

use crate::{
    Millis,
    installation::{Testbed, loopback},
    worker::Worker,
    worker_faults::send_copies,
};
use async_executor::Task;
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::workers::{DirectCommands, HeartbeatResponse};
use pathwinch_transport::{
    client::{Answer, CallError, Client},
    server::{self, HttpRequest, HttpResponse, Limits},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

/// Interval at which all workers are advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// How long a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next heartbeat after one that failed.
const RETRY_DELAY_MS: Millis = 1_000;
/// Delay before the next heartbeat after a redirect to another controller.
const REDIRECT_DELAY_MS: Millis = 100;
/// Maximum number of connections for direct commands to a worker. A controller keeps
/// one open, and a new one may arrive while the old one closes.
const MAX_DIRECT_CONNECTIONS: usize = 64;

/// A worker with the state of its heartbeat connection.
pub(crate) struct Hosted {
    pub(crate) worker: RefCell<Worker>,
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
fn restart_agent_if_due(testbed: &Testbed, running: &HashMap<String, RunningWorker>) {
    let now = testbed.now();
    let Some(index) = testbed.faults.restart_due(running.len(), now) else {
        return;
    };
    // In the order of the names, so that a seed means the same machine.
    let mut names: Vec<&String> = running.keys().collect();
    names.sort_unstable();
    let hosted = &running[names[index]].hosted;
    let mut object_store = testbed.object_store.borrow_mut();
    hosted.worker.borrow_mut().restart(&mut object_store, now);
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

async fn serve_direct(
    testbed: Rc<Testbed>,
    hosted: Rc<Hosted>,
    request: HttpRequest,
) -> HttpResponse {
    let now = testbed.now();
    let answer = match (request.method, request.path.as_str()) {
        (Method::Get, "/inspect") => HttpResponse::json(200, &hosted.worker.borrow_mut().report()),
        (Method::Post, "/do") => {
            let body = request.body.unwrap_or_default();
            testbed.traffic.borrow_mut().direct_orders += 1;
            testbed.traffic.borrow_mut().received(body.len());
            let Ok(commands) = serde_json::from_slice::<DirectCommands>(&body) else {
                return HttpResponse::error(400, "malformed");
            };
            let mut object_store = testbed.object_store.borrow_mut();
            let (status, heartbeat) = hosted.worker.borrow_mut().on_direct_commands(
                commands.clone(),
                &mut object_store,
                now,
            );
            if status == 200 {
                send_copies(&testbed, &hosted, &commands);
            }
            HttpResponse::json(status, &heartbeat)
        }
        _ => HttpResponse::error(404, "no such path"),
    };
    testbed.traffic.borrow_mut().sent(answer.body.len());
    answer
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

/// Sends one heartbeat and handles its answer. Returns the minimum delay before the
/// next one.
async fn send_heartbeat(testbed: &Testbed, hosted: &Hosted) -> Millis {
    let sent = testbed.now();
    let heartbeat = hosted.worker.borrow_mut().report();
    let incarnation = heartbeat.incarnation;
    let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
    {
        let mut traffic = testbed.traffic.borrow_mut();
        traffic.reports += 1;
        traffic.sent(body.len());
    }
    let target = hosted.target.get() % testbed.controllers.len();
    let to = testbed.controllers[target].listen;
    let call = hosted.client.call(
        to,
        Method::Post,
        "/agent/beat",
        Some(body),
        HEARTBEAT_TIMEOUT,
    );
    let answer = call.await;
    if let Ok(a) = &answer {
        testbed.traffic.borrow_mut().received(a.body.len());
    }
    match answer {
        Ok(a) if a.status == 200 => {
            accept_answer(testbed, hosted, sent, incarnation, &a);
            0
        }
        Ok(a) if a.status == 421 => redirect(testbed, hosted, target, &a),
        Ok(_) | Err(CallError::NotSent(_) | CallError::NoAnswer(_) | CallError::TooLong) => {
            testbed.traffic.borrow_mut().unanswered += 1;
            hosted.target.set(target + 1);
            RETRY_DELAY_MS
        }
    }
}

fn accept_answer(
    testbed: &Testbed,
    hosted: &Hosted,
    sent: Millis,
    incarnation: u64,
    answer: &Answer,
) {
    let Ok(reply) = serde_json::from_slice::<HeartbeatResponse>(&answer.body) else {
        return;
    };
    let now = testbed.now();
    let mut worker = hosted.worker.borrow_mut();
    let mut object_store = testbed.object_store.borrow_mut();
    let valid = worker.on_heartbeat_answer(
        sent,
        incarnation,
        reply.fencing_token,
        reply.commands,
        &mut object_store,
        now,
    );
    let mut traffic = testbed.traffic.borrow_mut();
    match valid {
        true => {
            traffic.answered += 1;
            crate::traffic::record(&mut traffic.answer_times, now - sent);
        }
        false => traffic.unanswered += 1,
    }
}

/// Switches to the controller that a redirect names, or to the next one if it names
/// none. Returns the delay before the next heartbeat.
fn redirect(testbed: &Testbed, hosted: &Hosted, target: usize, answer: &Answer) -> Millis {
    let redirect_target = serde_json::from_slice::<serde_json::Value>(&answer.body)
        .ok()
        .and_then(|v| v.get("foreman")?.as_str().map(str::to_owned))
        .and_then(|name| testbed.controllers.iter().position(|c| c.name == name))
        .filter(|index| *index != target);
    hosted.target.set(redirect_target.unwrap_or(target + 1));
    redirect_target.map_or(RETRY_DELAY_MS, |_| REDIRECT_DELAY_MS)
}
