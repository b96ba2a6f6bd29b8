//! Hosts the workers of all rented machines in this process: each has an
//! address of its own for direct commands and a connection of its own for its
//! reports; one loop lets time pass for all of them.

use crate::{
    Millis,
    installation::{Testbed, loopback},
    worker::Worker,
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

/// Between two looks at all workers.
const STEP: Duration = Duration::from_millis(50);
/// How long a worker waits for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// After a report that failed, and after one that named another controller.
const RETRY_MS: Millis = 1_000;
const REDIRECT_MS: Millis = 100;
/// A controller keeps one connection for direct commands, and a new one may
/// come while the old one closes.
const DIRECT_CONNECTIONS: usize = 64;

/// A worker and its side of the connections.
struct Hosted {
    worker: RefCell<Worker>,
    client: Client,
    /// The controller that it reports to.
    target: Cell<usize>,
    in_flight: Cell<bool>,
    wait_until: Cell<Millis>,
}

/// A hosted worker, and what serves its address.
struct Running {
    hosted: Rc<Hosted>,
    _direct_orders: Task<std::io::Result<()>>,
}

/// Brings up workers as their machines come up; they end with them.
pub async fn run(testbed: Rc<Testbed>) {
    let mut running: HashMap<String, Running> = HashMap::new();
    loop {
        let now = testbed.now();
        let ready = testbed.cloud.borrow().ready(now);
        for id in ready {
            running
                .entry(id)
                .or_insert_with_key(|id| start(&testbed, id));
        }
        end_workers_of_lost_machines(&testbed, &mut running);
        for hosted in running.values().map(|r| &r.hosted) {
            step(&testbed, hosted);
        }
        Timer::after(STEP).await;
    }
}

fn end_workers_of_lost_machines(testbed: &Testbed, running: &mut HashMap<String, Running>) {
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

fn start(testbed: &Rc<Testbed>, id: &str) -> Running {
    let (listener, addr) = match loopback() {
        Ok((listener, addr)) => (Some(listener), addr.to_string()),
        Err(e) => {
            log::warn!("{id}: its worker can't listen for direct orders: {e}");
            (None, String::new())
        }
    };
    testbed.cloud.borrow_mut().set_addr(id, addr.clone());
    let hosted = Rc::new(Hosted {
        worker: RefCell::new(new_worker(testbed, id, addr)),
        client: Client::new(1),
        target: Cell::new(fastrand::usize(..testbed.controllers.len())),
        in_flight: Cell::new(false),
        wait_until: Cell::new(0),
    });
    let (shared, own) = (testbed.clone(), hosted.clone());
    let direct_orders = testbed.executor.spawn_high(async move {
        let Some(listener) = listener else {
            return Ok(());
        };
        let limits = Limits {
            connections: DIRECT_CONNECTIONS,
            others: DIRECT_CONNECTIONS,
            first: "/do",
        };
        let executor = shared.executor.clone();
        let handle = move |request| direct(shared.clone(), own.clone(), request);
        server::serve_on(executor, listener, limits, handle).await
    });
    Running {
        hosted,
        _direct_orders: direct_orders,
    }
}

fn new_worker(testbed: &Testbed, id: &str, addr: String) -> Worker {
    let cloud = testbed.cloud.borrow();
    let (machine_type, zone, spot) = match cloud.machine(id) {
        Some(m) => (cloud.type_of(m).clone(), m.zone.clone(), m.spot),
        None => unreachable!("only machines that exist are ready"),
    };
    let limits = testbed.site.cluster.workers.clone();
    Worker::new(id, addr, machine_type, &zone, spot, limits, testbed.now())
}

async fn direct(testbed: Rc<Testbed>, hosted: Rc<Hosted>, request: HttpRequest) -> HttpResponse {
    let now = testbed.now();
    let answer = match (request.method, request.path.as_str()) {
        (Method::Get, "/inspect") => HttpResponse::json(200, &hosted.worker.borrow_mut().report()),
        (Method::Post, "/do") => {
            let body = request.body.unwrap_or_default();
            testbed.traffic.borrow_mut().direct_orders += 1;
            testbed.traffic.borrow_mut().received(body.len());
            let Ok(order) = serde_json::from_slice::<DirectCommands>(&body) else {
                return HttpResponse::error(400, "malformed");
            };
            let mut object_store = testbed.object_store.borrow_mut();
            let (status, report) =
                hosted
                    .worker
                    .borrow_mut()
                    .ordered(order, &mut object_store, now);
            HttpResponse::json(status, &report)
        }
        _ => HttpResponse::error(404, "no such path"),
    };
    testbed.traffic.borrow_mut().sent(answer.body.len());
    answer
}

/// Lets time pass for a worker, and begins a report if one is due.
fn step(testbed: &Rc<Testbed>, hosted: &Rc<Hosted>) {
    let now = testbed.now();
    let mut worker = hosted.worker.borrow_mut();
    worker.step(&mut testbed.object_store.borrow_mut(), now);
    let may_report = !hosted.in_flight.get() && now >= hosted.wait_until.get();
    if !may_report || !worker.report_due(now, fastrand::f64()) {
        return;
    }
    hosted.in_flight.set(true);
    let (testbed, own) = (testbed.clone(), hosted.clone());
    let executor = testbed.executor.clone();
    executor
        .spawn_high(async move {
            let pause = report(&testbed, &own).await;
            own.wait_until.set(testbed.now() + pause);
            own.in_flight.set(false);
        })
        .detach();
}

/// One report; returns how long to wait at least before the next.
async fn report(testbed: &Testbed, hosted: &Hosted) -> Millis {
    let sent = testbed.now();
    let report = hosted.worker.borrow_mut().report();
    let session = report.incarnation;
    let body = serde_json::to_vec(&report).unwrap_or_default();
    {
        let mut traffic = testbed.traffic.borrow_mut();
        traffic.reports += 1;
        traffic.sent(body.len());
    }
    let target = hosted.target.get() % testbed.controllers.len();
    let to = testbed.controllers[target].listen;
    let call = hosted
        .client
        .call(to, Method::Post, "/agent/beat", Some(body), REPORT_TIMEOUT);
    let answer = call.await;
    if let Ok(a) = &answer {
        testbed.traffic.borrow_mut().received(a.body.len());
    }
    match answer {
        Ok(a) if a.status == 200 => {
            accept(testbed, hosted, sent, session, &a);
            0
        }
        Ok(a) if a.status == 421 => redirect(testbed, hosted, target, &a),
        Ok(_) | Err(CallError::NotSent(_) | CallError::NoAnswer(_) | CallError::TooLong) => {
            testbed.traffic.borrow_mut().unanswered += 1;
            hosted.target.set(target + 1);
            RETRY_MS
        }
    }
}

fn accept(testbed: &Testbed, hosted: &Hosted, sent: Millis, session: u64, answer: &Answer) {
    let Ok(reply) = serde_json::from_slice::<HeartbeatResponse>(&answer.body) else {
        return;
    };
    let now = testbed.now();
    let mut worker = hosted.worker.borrow_mut();
    let mut object_store = testbed.object_store.borrow_mut();
    let counts = worker.answered(
        sent,
        session,
        reply.fencing_token,
        reply.commands,
        &mut object_store,
        now,
    );
    let mut traffic = testbed.traffic.borrow_mut();
    match counts {
        true => {
            traffic.answered += 1;
            crate::traffic::record(&mut traffic.answer_times, now - sent);
        }
        false => traffic.unanswered += 1,
    }
}

/// The controller names another; returns the pause before the next report.
fn redirect(testbed: &Testbed, hosted: &Hosted, target: usize, answer: &Answer) -> Millis {
    let named = serde_json::from_slice::<serde_json::Value>(&answer.body)
        .ok()
        .and_then(|v| v.get("foreman")?.as_str().map(str::to_owned))
        .and_then(|name| testbed.controllers.iter().position(|c| c.name == name))
        .filter(|index| *index != target);
    hosted.target.set(named.unwrap_or(target + 1));
    named.map_or(RETRY_MS, |_| REDIRECT_MS)
}
