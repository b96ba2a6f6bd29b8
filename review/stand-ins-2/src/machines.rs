//! Machines whose agents are the project's stand-in of a worker. A machine can stop with all that is
//! on it and be back, and a copy of a direct command that it carried out can arrive again.

use crate::world::World;
use anyhow::{Context, Result};
use http_types::Method;
use pathwinch_lab::{installation::loopback, worker::Worker};
use pathwinch_protocol::workers::{Command, DirectCommands, HeartbeatResponse};
use pathwinch_transport::{
    client::Client,
    server::{HttpRequest, HttpResponse},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

pub struct Machine {
    pub name: String,
    pub worker: RefCell<Worker>,
    pub off: Cell<bool>,
    /// Its reports reach nobody.
    pub mute: Cell<bool>,
    /// Answers and direct commands to it are lost.
    pub deaf: Cell<bool>,
    /// Share of direct commands that are held up, unanswered, and carried out 2 to 16 s late.
    pub late_share: Cell<f64>,
    /// Direct commands that were carried out.
    pub carried_out: RefCell<Vec<DirectCommands>>,
    client: Client,
    target: Cell<usize>,
    in_flight: Cell<bool>,
    next_report_at: Cell<u64>,
}

#[derive(Default)]
pub struct Machines {
    pub all: RefCell<BTreeMap<String, Rc<Machine>>>,
}

/// Starts the loop that runs the workers of all machines that the controllers rent.
pub fn start(world: &Rc<World>) -> Rc<Machines> {
    let machines: Rc<Machines> = Rc::default();
    let (world, all) = (world.clone(), machines.clone());
    let executor = world.testbed.executor.clone();
    let work = async move {
        loop {
            let now = world.testbed.now();
            let booted = world.testbed.cloud.borrow().booted_machines(now);
            for name in booted {
                if !all.all.borrow().contains_key(&name)
                    && let Ok(machine) = boot(&world, &name)
                {
                    all.all.borrow_mut().insert(name, machine);
                }
            }
            let gone: Vec<Rc<Machine>> = {
                let known = all.all.borrow();
                let gone = known
                    .values()
                    .filter(|m| world.testbed.cloud.borrow().machine(&m.name).is_none());
                gone.cloned().collect()
            };
            for machine in gone {
                let mut store = world.testbed.object_store.borrow_mut();
                machine.worker.borrow_mut().lose_all(&mut store, now);
                all.all.borrow_mut().remove(&machine.name);
                world.note(&format!("machine {} is deleted", machine.name));
            }
            for machine in all.all.borrow().values().filter(|m| !m.off.get()) {
                step(&world, machine);
            }
            world.sleep(0.02).await;
        }
    };
    executor.spawn_high(work).detach();
    machines
}

fn boot(world: &Rc<World>, name: &str) -> Result<Rc<Machine>> {
    let (listener, addr) = loopback()?;
    world
        .testbed
        .cloud
        .borrow_mut()
        .set_addr(name, addr.to_string());
    let worker = {
        let cloud = world.testbed.cloud.borrow();
        let machine = cloud.machine(name).context("no such machine")?;
        let machine_type = cloud.type_of(machine).clone();
        let limits = world.testbed.site.cluster.workers.clone();
        Worker::new(
            name,
            addr.to_string(),
            machine_type,
            &machine.zone,
            machine.spot,
            limits,
            world.testbed.now(),
        )
    };
    world.note(&format!("machine {name} is up"));
    let machine = Rc::new(Machine {
        name: name.to_owned(),
        worker: RefCell::new(worker),
        off: Cell::new(false),
        mute: Cell::new(false),
        deaf: Cell::new(false),
        late_share: Cell::new(0.0),
        carried_out: RefCell::default(),
        client: Client::new(1),
        target: Cell::new(0),
        in_flight: Cell::new(false),
        next_report_at: Cell::new(0),
    });
    let (w, served) = (world.clone(), machine.clone());
    world.serve(listener, move |request| {
        let (w, machine) = (w.clone(), served.clone());
        async move { machine.direct(&w, request).await }
    });
    Ok(machine)
}

impl Machine {
    async fn direct(&self, world: &World, request: HttpRequest) -> HttpResponse {
        if self.off.get() || self.deaf.get() {
            futures_lite::future::pending::<()>().await;
        }
        if (request.method, request.path.as_str()) != (Method::Post, "/do") {
            return HttpResponse::error(404, "no such path");
        }
        let Ok(commands) =
            serde_json::from_slice::<DirectCommands>(&request.body.unwrap_or_default())
        else {
            return HttpResponse::error(400, "malformed");
        };
        if fastrand::f64() < self.late_share.get() {
            world.sleep(2.0 + 14.0 * fastrand::f64()).await;
            if !self.off.get() {
                self.carry_out(world, commands, "late ");
            }
            futures_lite::future::pending::<()>().await;
            return HttpResponse::error(503, "never answered");
        }
        self.carry_out(world, commands, "")
    }

    /// Hands a direct command to the worker.
    pub fn carry_out(&self, world: &World, commands: DirectCommands, kind: &str) -> HttpResponse {
        let now = world.testbed.now();
        let mut store = world.testbed.object_store.borrow_mut();
        let (status, report) =
            self.worker
                .borrow_mut()
                .on_direct_commands(commands.clone(), &mut store, now);
        let text = describe(&commands.commands);
        world.note(&format!(
            "machine {}: {kind}direct command, token {}, session {}: {text}: {status}",
            self.name, commands.fencing_token, commands.incarnation
        ));
        if status == 200 {
            self.carried_out.borrow_mut().push(commands);
        }
        HttpResponse::json(status, &report)
    }

    /// The machine stops with all that is on it.
    pub fn stop(&self, world: &World) {
        self.off.set(true);
        let mut store = world.testbed.object_store.borrow_mut();
        self.worker
            .borrow_mut()
            .lose_all(&mut store, world.testbed.now());
        world.note(&format!(
            "machine {} stops with all that is on it",
            self.name
        ));
    }

    /// The machine is back; its agent knows nothing.
    pub fn come_back(&self, world: &World) {
        let mut store = world.testbed.object_store.borrow_mut();
        self.worker
            .borrow_mut()
            .restart(&mut store, world.testbed.now());
        self.next_report_at.set(0);
        self.off.set(false);
        world.note(&format!("machine {} is back", self.name));
    }
}

fn describe(commands: &[Command]) -> String {
    let texts = commands.iter().map(|command| match command {
        Command::Start { task, attempt } => format!("launch {task} try {attempt}"),
        Command::Stop { task, attempt, .. } => format!("halt {task} try {attempt}"),
        Command::Reap { task, attempt } => format!("reap {task} try {attempt}"),
    });
    texts.collect::<Vec<_>>().join(", ")
}

fn step(world: &Rc<World>, machine: &Rc<Machine>) {
    let now = world.testbed.now();
    let mut worker = machine.worker.borrow_mut();
    worker.step(&mut world.testbed.object_store.borrow_mut(), now);
    let may_send = !machine.in_flight.get() && now >= machine.next_report_at.get();
    if !may_send || !worker.heartbeat_due(now, 0.5) {
        return;
    }
    machine.in_flight.set(true);
    let (world, machine) = (world.clone(), machine.clone());
    let executor = world.testbed.executor.clone();
    let report = async move {
        let delay = machine.report(&world).await;
        machine.next_report_at.set(world.testbed.now() + delay);
        machine.in_flight.set(false);
    };
    executor.spawn_high(report).detach();
}

impl Machine {
    /// Sends a report; returns how many milliseconds the next one has to wait.
    async fn report(&self, world: &World) -> u64 {
        let sent = world.testbed.now();
        let report = self.worker.borrow_mut().report();
        let target = self.target.get() % world.testbed.controllers.len();
        let to = world.testbed.controllers[target].listen;
        if self.mute.get() {
            world.sleep(4.0).await;
            self.target.set(target + 1);
            return 1_000;
        }
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let answer = self
            .client
            .call(
                to,
                Method::Post,
                "/agent/beat",
                Some(body),
                Duration::from_secs(4),
            )
            .await;
        let status = answer.as_ref().map_or(0, |a| a.status);
        if report.seq <= 3 {
            world.note(&format!(
                "machine {}: report {}.{} with token {} and {} tasks to {}: {status}",
                self.name,
                report.incarnation,
                report.seq,
                report.acknowledged_token,
                report.tasks.len(),
                world.testbed.controllers[target].name
            ));
        }
        if self.deaf.get() || self.off.get() {
            world.sleep(4.0).await;
            self.target.set(target + 1);
            return 1_000;
        }
        match answer {
            Ok(answer) if answer.status == 200 => {
                if let Ok(reply) = serde_json::from_slice::<HeartbeatResponse>(&answer.body) {
                    if !reply.commands.is_empty() {
                        let text = describe(&reply.commands);
                        world.note(&format!(
                            "machine {}: answer with token {}: {text}",
                            self.name, reply.fencing_token
                        ));
                    }
                    let mut store = world.testbed.object_store.borrow_mut();
                    let (incarnation, now) = (report.incarnation, world.testbed.now());
                    self.worker.borrow_mut().on_heartbeat_answer(
                        sent,
                        incarnation,
                        reply.fencing_token,
                        reply.commands,
                        &mut store,
                        now,
                    );
                }
                0
            }
            Ok(answer) if answer.status == 421 => {
                let named: serde_json::Value =
                    serde_json::from_slice(&answer.body).unwrap_or_default();
                let names = &world.testbed.controllers;
                let other = names
                    .iter()
                    .position(|c| named["foreman"] == c.name.as_str())
                    .filter(|at| *at != target);
                self.target.set(other.unwrap_or(target + 1));
                if other.is_some() { 100 } else { 1_000 }
            }
            _ => {
                self.target.set(target + 1);
                1_000
            }
        }
    }
}
