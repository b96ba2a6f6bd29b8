//! Runs workers for the machines that the cloud has rented: each listens for
//! direct orders and reports to the controllers.

use crate::{up::Lab, worker::Worker};
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::workers::{DirectOrder, ReportReply};
use pathwinch_transport::server::{self, HttpRequest, HttpResponse, Limits};
use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::TcpListener,
    rc::Rc,
    time::Duration,
};

const STEP: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(4);
const PAUSE: u64 = 1_000;

/// Brings up workers as their machines come up; they end with them.
pub async fn run(lab: Rc<Lab>) {
    let mut up: HashSet<String> = HashSet::new();
    loop {
        let now = lab.now();
        let ready = lab.cloud.borrow().ready(now);
        for id in &ready {
            if up.insert(id.clone())
                && let Err(e) = bring_up(&lab, id)
            {
                log::warn!("{id}: its worker can't start: {e}");
            }
        }
        if up.len() > ready.len() {
            let ready: HashSet<&String> = ready.iter().collect();
            up.retain(|id| ready.contains(id));
        }
        Timer::after(STEP).await;
    }
}

fn bring_up(lab: &Rc<Lab>, id: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?.to_string();
    let Some(machine) = lab.cloud.borrow().machine(id).cloned() else {
        return Ok(());
    };
    let rig = lab.cloud.borrow().type_of(&machine).clone();
    lab.cloud.borrow_mut().set_addr(id, addr.clone());
    let limits = lab.site.cluster.workers.clone();
    let worker = Rc::new(RefCell::new(Worker::new(
        id,
        addr,
        rig,
        &machine.zone,
        machine.spot,
        limits,
        lab.now(),
    )));
    let (l, w) = (lab.clone(), worker.clone());
    let orders = lab.lanes.spawn(server::serve_on(
        lab.lanes.clone(),
        listener,
        Limits {
            connections: 64,
            others: 64,
            first: "/do",
        },
        move |request| direct(l.clone(), w.clone(), request),
    ));
    let (l, id) = (lab.clone(), id.to_owned());
    lab.lanes
        .spawn(async move {
            live(&l, &id, worker).await;
            drop(orders);
        })
        .detach();
    Ok(())
}

async fn direct(lab: Rc<Lab>, worker: Rc<RefCell<Worker>>, request: HttpRequest) -> HttpResponse {
    let now = lab.now();
    let mut depot = lab.depot.borrow_mut();
    match (request.method, request.path.as_str()) {
        (Method::Get, "/inspect") => HttpResponse::json(200, &worker.borrow_mut().report()),
        (Method::Post, "/do") => {
            let body = request.body.unwrap_or_default();
            let Ok(order) = serde_json::from_slice::<DirectOrder>(&body) else {
                return HttpResponse::error(400, "malformed");
            };
            let (status, report) = worker.borrow_mut().ordered(order, &mut depot, now);
            HttpResponse::json(status, &report)
        }
        _ => HttpResponse::error(404, "no such path"),
    }
}

/// The worker's life: steps and reports, until its machine is gone.
async fn live(lab: &Rc<Lab>, id: &str, worker: Rc<RefCell<Worker>>) {
    let target = Rc::new(Cell::new(fastrand::usize(..lab.site.controllers)));
    let in_flight = Rc::new(Cell::new(false));
    let wait_until = Rc::new(Cell::new(0));
    while lab.cloud.borrow().machine(id).is_some() {
        let now = lab.now();
        {
            let mut depot = lab.depot.borrow_mut();
            worker.borrow_mut().step(&mut depot, now);
        }
        let due = !in_flight.get()
            && now >= wait_until.get()
            && worker.borrow_mut().report_due(now, fastrand::f64());
        if due {
            in_flight.set(true);
            let (lab2, worker2, target2) = (lab.clone(), worker.clone(), target.clone());
            let (flight, wait) = (in_flight.clone(), wait_until.clone());
            lab.lanes
                .spawn(async move {
                    let pause = report(&lab2, &worker2, &target2).await;
                    wait.set(lab2.now() + pause);
                    flight.set(false);
                })
                .detach();
        }
        Timer::after(STEP).await;
    }
    let now = lab.now();
    let mut depot = lab.depot.borrow_mut();
    worker.borrow_mut().lose_all(&mut depot, now);
}

/// One report; returns how long to wait at least before the next.
async fn report(lab: &Rc<Lab>, worker: &RefCell<Worker>, target: &Cell<usize>) -> u64 {
    let sent = lab.now();
    let report = worker.borrow_mut().report();
    let session = report.session;
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let nodes = &lab.controllers;
    let to = nodes[target.get() % nodes.len()].listen;
    let call = lab
        .http
        .call(to, Method::Post, "/agent/beat", Some(body), PATIENCE);
    let next = (target.get() + 1) % nodes.len();
    match call.await {
        Ok(a) if a.status == 200 => {
            if let Ok(reply) = serde_json::from_slice::<ReportReply>(&a.body) {
                let mut depot = lab.depot.borrow_mut();
                let now = lab.now();
                worker.borrow_mut().answered(
                    sent,
                    session,
                    reply.token,
                    reply.commands,
                    &mut depot,
                    now,
                );
            }
            0
        }
        Ok(a) if a.status == 421 => {
            let named = serde_json::from_slice::<serde_json::Value>(&a.body)
                .ok()
                .and_then(|v| v.get("foreman")?.as_str().map(str::to_owned))
                .and_then(|name| nodes.iter().position(|n| n.name == name))
                .filter(|n| *n != target.get());
            target.set(named.unwrap_or(next));
            named.map_or(PAUSE, |_| 100)
        }
        _ => {
            target.set(next);
            PAUSE
        }
    }
}
