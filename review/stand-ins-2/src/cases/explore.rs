//! Drawn troubles for a while, to find faults: controllers end, stand still and come back, the state
//! service is down, transactions lose their answers or are carried out late. SEED and SECONDS.

use crate::machines::{self, Machine, Machines};
use crate::world::{NodeFaults, TransactionFaults, Verdict, World, job, small_site};
use anyhow::Result;
use http_types::Method;
use pathwinch_protocol::settings::NextLimits;
use serde_json::Value;
use std::{
    cell::RefCell, collections::BTreeMap, path::Path, process::Command, rc::Rc, time::Duration,
};

#[derive(Default, Debug, Clone)]
struct Known {
    accepted: Option<f64>,
    /// Stage that was told for good, and when the answer came.
    told: Option<(String, f64)>,
    cancelled: bool,
    last_answer: f64,
    shape: &'static str,
    needs: Vec<String>,
}

struct Explorer {
    world: Rc<World>,
    known: RefCell<BTreeMap<String, Known>>,
    broken: RefCell<Vec<String>>,
}

pub fn play(root: &Path, dir: &Path, record: &Path, trouble: bool) -> Result<Verdict> {
    let number = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    fastrand::seed(number("SEED", 1));
    let mut site = small_site()?;
    site.cluster.teams[0].cpus_max = if std::env::var("MARKET").as_deref() == Ok("1") {
        8.0
    } else {
        24.0
    };
    site.rigs[0].boot_s = 1.0;
    site.capacity = 6;
    if number("RATE", 0) == 1 {
        site.cluster.teams[0].cpus_max = 350.0;
        site.capacity = 16;
    }
    if std::env::var("OLD").is_ok() {
        site.cluster.state.next = Some(NextLimits {
            rps: None,
            write_rps: Some(15.0),
            value_kb: Some(2.0),
            txn_ops: Some(4),
        });
    }
    if number("FAULTS", 0) == 1 {
        site.worker_faults.duplicate_commands = 0.3;
        site.worker_faults.agent_restarts_every_s = 9.0;
        site.stillborn = 0.1;
        site.failing = 0.1;
    }
    let own_machines = std::env::var("MACHINES").as_deref() == Ok("1");
    let world = match own_machines {
        true => World::with_own_machines(site, root, dir, record, trouble)?,
        false => World::new(site, root, dir, record, trouble)?,
    };
    let executor = world.testbed.executor.clone();
    let verdict = async_io::block_on(executor.run(run(&world, number("SECONDS", 100) as f64)));
    world.end();
    verdict
}

fn signal(world: &World, name: &str, signal: &str) {
    if let Some(pid) = world.pid(name) {
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid.to_string())
            .status();
        world.note(&format!("{name}: {signal}"));
    }
}

/// Troubles of machines, one at a time each.
async fn trouble_machines(world: Rc<World>, machines: Rc<Machines>, end: f64) {
    while world.seconds() < end {
        world.sleep(3.0 * fastrand::f64()).await;
        let all: Vec<Rc<Machine>> = machines.all.borrow().values().cloned().collect();
        if all.is_empty() {
            continue;
        }
        let machine = all[fastrand::usize(..all.len())].clone();
        if machine.off.get() || machine.mute.get() || machine.deaf.get() {
            continue;
        }
        let what = fastrand::u32(..5);
        let seconds = 25.0 * fastrand::f64() * fastrand::f64();
        world.note(&format!(
            "machine {}: trouble {what} for {seconds:.1} s",
            machine.name
        ));
        match what {
            0 => machine.mute.set(true),
            1 => machine.deaf.set(true),
            2 => machine.stop(&world),
            _ => machine.late_share.set(0.5),
        }
        let (world_, executor) = (world.clone(), world.testbed.executor.clone());
        let mend = async move {
            world_.sleep(seconds).await;
            machine.mute.set(false);
            machine.deaf.set(false);
            machine.late_share.set(0.0);
            if what == 2 {
                machine.come_back(&world_);
            }
            world_.note(&format!("machine {}: mended", machine.name));
        };
        executor.spawn_high(mend).detach();
    }
}

/// Ends the controllers of the version before one by one, and starts them anew; then the limits fall.
async fn roll(world: Rc<World>) -> Result<()> {
    world.sleep(15.0).await;
    for node in 0..world.testbed.controllers.len() {
        world.sleep(4.0 + 8.0 * fastrand::f64()).await;
        let name = world.testbed.controllers[node].name.clone();
        world.kill(&name);
        world.old_nodes.borrow_mut().remove(&node);
        world.note(&format!("{name} is upgraded"));
        world.start_controller(node)?;
    }
    world.sleep(10.0 + 10.0 * fastrand::f64()).await;
    world
        .testbed
        .state
        .borrow_mut()
        .apply_next_limits(world.testbed.now());
    world.note("the limits fall");
    Ok(())
}

async fn run(world: &Rc<World>, seconds: f64) -> Result<Verdict> {
    if std::env::var("OLD").is_ok() {
        world
            .old_nodes
            .borrow_mut()
            .extend(0..world.testbed.controllers.len());
    }
    world.start_controllers()?;
    if std::env::var("OLD").is_ok() {
        let rolling = roll(world.clone());
        world.testbed.executor.spawn_high(rolling).detach();
    }
    let machines = match std::env::var("MACHINES").as_deref() == Ok("1") {
        true => Some(machines::start(world)),
        false => None,
    };
    world.until_ready().await?;
    let explorer = Rc::new(Explorer {
        world: world.clone(),
        known: RefCell::default(),
        broken: RefCell::default(),
    });
    let executor = world.testbed.executor.clone();
    let with_market = std::env::var("MARKET").as_deref() == Ok("1");
    let market = match with_market {
        true => Some(crate::market::start(
            world,
            "reminder-sweep",
            "care-ops-00",
            64,
            1.0,
            1.0,
        )?),
        false => None,
    };
    if let Some(market) = &market {
        market.forgets.set(false);
        market.sim.borrow_mut().withdrawal_probability_per_s = 0.02;
        world.sleep(10.0).await;
    }
    let end = world.seconds() + seconds;
    if let Some(machines) = machines.filter(|_| world.trouble) {
        executor
            .spawn_high(trouble_machines(world.clone(), machines, end))
            .detach();
    }
    let submitting = explorer.clone();
    executor
        .spawn_high(async move { submitting.submit_all(end).await })
        .detach();
    for node in 0..world.testbed.controllers.len() {
        let asking = explorer.clone();
        executor
            .spawn_high(async move { asking.ask(node).await })
            .detach();
    }
    if world.trouble {
        let names: Vec<String> = world
            .testbed
            .controllers
            .iter()
            .map(|c| c.name.clone())
            .collect();
        while world.seconds() < end {
            world.sleep(0.5 + 6.0 * fastrand::f64()).await;
            let node = fastrand::usize(..names.len());
            match fastrand::u32(..12) {
                0 => {
                    world.kill(&names[node]);
                    world
                        .sleep(if fastrand::bool() {
                            0.1
                        } else {
                            6.0 * fastrand::f64()
                        })
                        .await;
                    world.start_controller(node)?;
                }
                2 => {
                    signal(world, &names[node], "STOP");
                    world.sleep(12.0 * fastrand::f64() * fastrand::f64()).await;
                    signal(world, &names[node], "CONT");
                }
                3 => {
                    let now = world.testbed.now();
                    world.testbed.state.borrow_mut().set_down(true, now);
                    world.note("state service: down");
                    let long = 45.0 * fastrand::f64() * fastrand::f64();
                    world.sleep(long * 0.5).await;
                    if fastrand::bool() {
                        world.kill(&names[node]);
                        world.start_controller(node)?;
                    }
                    world.sleep(long * 0.5).await;
                    let now = world.testbed.now();
                    world.testbed.state.borrow_mut().set_down(false, now);
                    world.note("state service: up");
                }
                7 | 8 => {
                    let mut faults = NodeFaults::default();
                    match fastrand::u32(..5) {
                        0 | 1 => faults.refused = true,
                        2 => faults.slow_s = 0.2 + 2.0 * fastrand::f64(),
                        3 => (faults.cut_from_state, faults.cut_from_peers) = (true, true),
                        _ => faults.cut_from_peers = true,
                    }
                    world.note(&format!("{}: {faults:?}", names[node]));
                    world.node_faults.borrow_mut()[node] = faults;
                    let (world, name) = (world.clone(), names[node].clone());
                    let executor = world.testbed.executor.clone();
                    let mend = async move {
                        world.sleep(30.0 * fastrand::f64() * fastrand::f64()).await;
                        world.node_faults.borrow_mut()[node] = NodeFaults::default();
                        world.note(&format!("{name}: mended"));
                    };
                    executor.spawn_high(mend).detach();
                }
                9 if market.is_none() => {
                    let slow_s = 1.5 * fastrand::f64();
                    let set = |faults: &mut NodeFaults| faults.slow_s = slow_s;
                    world.node_faults.borrow_mut().iter_mut().for_each(set);
                    world.note(&format!("state service slow by {slow_s:.2} s"));
                }
                10 => {
                    for index in 0..names.len() {
                        world.kill(&names[index]);
                    }
                    world.sleep(12.0 * fastrand::f64()).await;
                    world.start_controllers()?;
                }
                1 | 9 | 11 if market.is_some() => {
                    if fastrand::bool() {
                        world.kill("broker");
                        world.sleep(8.0 * fastrand::f64() * fastrand::f64()).await;
                        crate::market::start_broker(world)?;
                    } else if let Some(market) = market.clone() {
                        market.cut.set(true);
                        world.note("market: cut");
                        world.sleep(20.0 * fastrand::f64()).await;
                        market.cut.set(false);
                        world.note("market: mended");
                    }
                }
                4 => {
                    world.transaction_faults.set(TransactionFaults {
                        answer_lost: 0.3,
                        late: 0.0,
                    });
                    world.note("transactions lose answers");
                }
                5 => {
                    world.transaction_faults.set(TransactionFaults {
                        answer_lost: 0.1,
                        late: 0.3,
                    });
                    world.note("transactions are late");
                }
                _ => {
                    world.transaction_faults.set(TransactionFaults::default());
                    world.note("transactions are carried out");
                }
            }
        }
        world.transaction_faults.set(TransactionFaults::default());
        world
            .node_faults
            .borrow_mut()
            .iter_mut()
            .for_each(|faults| *faults = NodeFaults::default());
    } else {
        world.sleep(seconds).await;
    }
    world.note("troubles are over");
    world.sleep(100.0).await;
    for (id, known) in explorer.known.borrow().iter() {
        let over = known.told.is_some() || known.shape == "standing" && !known.cancelled;
        if known.accepted.is_some() && !over {
            explorer
                .broken
                .borrow_mut()
                .push(format!("not over: {id} {known:?}"));
        }
        if known.accepted.is_some()
            && known.told.is_none()
            && world.seconds() > known.last_answer + 75.0
        {
            explorer
                .broken
                .borrow_mut()
                .push(format!("forgotten: {id} {known:?}"));
        }
    }
    let mut broken = explorer.broken.borrow().clone();
    broken.extend(
        world
            .testbed
            .object_store
            .borrow()
            .violations()
            .iter()
            .cloned(),
    );
    for line in &broken {
        world.note(&format!("BROKEN {line}"));
    }
    world.note(&format!("{} jobs", explorer.known.borrow().len()));
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

impl Explorer {
    fn note_answer(self: &Rc<Self>, id: &str, sent: f64, status: u16, body: &Value, what: &str) {
        let now = self.world.seconds();
        let mut known = self.known.borrow_mut();
        let Some(known) = known.get_mut(id) else {
            return;
        };
        if !(status == 200 || status == 201 || status == 404 || status == 400 || status == 422) {
            return;
        }
        known.last_answer = now;
        let stage = body["stage"].as_str().unwrap_or_default().to_owned();
        let mut fault = None;
        if known.accepted.is_some_and(|at| at < sent) && status >= 400 {
            fault = Some("forgotten");
        }
        if status < 300 {
            match &known.told {
                Some((told, at)) if *at < sent && *told != stage => fault = Some("went_back"),
                Some((told, _)) if (stage == "done" || stage == "withdrawn") && *told != stage => {
                    fault = Some("two ends")
                }
                _ => {}
            }
            if stage == "withdrawn" && !known.cancelled && known.needs.is_empty() {
                fault = Some("cancelled by nobody");
            }
            if known.accepted.is_none()
                || known.told.is_none() && (stage == "done" || stage == "withdrawn")
            {
                self.look_closely(id);
            }
            known.accepted.get_or_insert(now);
            if stage == "done" || stage == "withdrawn" {
                known.told.get_or_insert((stage, now));
            }
        }
        if let Some(fault) = fault {
            let line = format!("{fault}: {what} {id} sent at {sent:.3}: {status} {body} {known:?}");
            self.world.note(&line);
            self.broken.borrow_mut().push(line);
        }
    }

    async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: f64,
    ) -> Option<(u16, Value)> {
        let to = self.world.testbed.controllers[node].listen;
        let body = body.map(|b| b.to_string().into_bytes());
        let body = if method == Method::Post {
            Some(body.unwrap_or_default())
        } else {
            None
        };
        let answer = self
            .world
            .testbed
            .http
            .call(to, method, path, body, Duration::from_secs_f64(timeout))
            .await
            .ok()?;
        Some((
            answer.status,
            serde_json::from_slice(&answer.body).unwrap_or_default(),
        ))
    }

    /// Repeats a request until it is answered, for up to 60 s.
    async fn insist(self: Rc<Self>, id: String, method: Method, path: String, body: Option<Value>) {
        let until = self.world.seconds() + 60.0;
        while self.world.seconds() < until {
            let node = fastrand::usize(..3);
            let sent = self.world.seconds();
            if let Some((status, answer)) = self.call(node, method, &path, body.as_ref(), 5.0).await
            {
                self.note_answer(&id, sent, status, &answer, &path);
                if status == 200 || status == 201 {
                    self.look_closely(&id);
                    if answer["stage"] == "withdrawn" {
                        let now = self.world.testbed.now();
                        self.world
                            .testbed
                            .object_store
                            .borrow_mut()
                            .record_cancellation(&id, now);
                    }
                    return;
                }
            }
            self.world.sleep(1.0).await;
        }
    }

    async fn submit_all(self: Rc<Self>, end: f64) {
        let mut number = 100_000;
        let executor = self.world.testbed.executor.clone();
        let mut recent: Vec<String> = Vec::new();
        while self.world.seconds() < end {
            number += 1;
            let id = format!("j-{number}");
            let (shape, tasks, cpus) = match fastrand::u32(..10) {
                0 => ("standing", 1 + fastrand::u32(..3), 0.5),
                1 | 2 => ("gang", 1 + fastrand::u32(..4), 1.0),
                _ => ("array", 1 + fastrand::u32(..3), 1.0),
            };
            let mut spec = job(
                &id,
                "reminder-sweep",
                "care-ops-00",
                shape,
                tasks,
                cpus,
                2.0 + 6.0 * fastrand::f64(),
            );
            let accepted = |id: &String| {
                self.known
                    .borrow()
                    .get(id)
                    .is_some_and(|k| k.accepted.is_some() && k.shape != "standing")
            };
            let needs: Vec<String> = recent
                .iter()
                .rev()
                .take(4)
                .filter(|id| accepted(id) && fastrand::u32(..6) == 0)
                .cloned()
                .collect();
            let upgraded = self.world.old_nodes.borrow().is_empty();
            let needs = if upgraded { needs } else { Vec::new() };
            if !needs.is_empty() && shape != "standing" {
                spec["waits_on"] = needs.clone().into();
            }
            let needs = if shape == "standing" {
                Vec::new()
            } else {
                needs
            };
            if let Ok(parsed) = serde_json::from_value(spec.clone()) {
                self.world.testbed.object_store.borrow_mut().upload(&parsed);
            }
            let known = Known {
                shape,
                needs,
                ..Known::default()
            };
            self.known.borrow_mut().insert(id.clone(), known);
            recent.push(id.clone());
            let work = self
                .clone()
                .insist(id.clone(), Method::Post, "/v1/jobs".into(), Some(spec));
            executor.spawn_high(work).detach();
            if fastrand::u32(..4) == 0 || shape == "standing" {
                let (explorer, id) = (self.clone(), id.clone());
                let cancel = async move {
                    explorer
                        .world
                        .sleep(15.0 * fastrand::f64() * fastrand::f64())
                        .await;
                    if explorer
                        .known
                        .borrow()
                        .get(&id)
                        .is_some_and(|k| k.accepted.is_none())
                    {
                        return;
                    }
                    explorer.known.borrow_mut().get_mut(&id).unwrap().cancelled = true;
                    let path = format!("/v1/jobs/{id}/abort");
                    explorer.clone().insist(id, Method::Post, path, None).await;
                };
                executor.spawn_high(cancel).detach();
            }
            let pause = if std::env::var("RATE").as_deref() == Ok("1") {
                0.5
            } else {
                0.9
            };
            self.world.sleep(pause * fastrand::f64()).await;
        }
    }

    /// Asks all nodes within milliseconds after something was told.
    fn look_closely(self: &Rc<Self>, id: &str) {
        for node in 0..3 {
            for _ in 0..2 {
                let (explorer, id) = (self.clone(), id.to_owned());
                let ask = async move {
                    explorer.world.sleep(0.03 * fastrand::f64()).await;
                    let sent = explorer.world.seconds();
                    let path = format!("/v1/jobs/{id}");
                    if let Some((status, body)) =
                        explorer.call(node, Method::Get, &path, None, 2.0).await
                    {
                        explorer.note_answer(&id, sent, status, &body, "close look");
                    }
                };
                self.world.testbed.executor.spawn_high(ask).detach();
            }
        }
    }

    /// Asks one node again and again.
    async fn ask(self: Rc<Self>, node: usize) {
        let executor = self.world.testbed.executor.clone();
        let mut round = 0;
        loop {
            round += 1;
            let ids: Vec<String> = {
                let known = self.known.borrow();
                let all = known.iter().filter(|(_, k)| k.accepted.is_some());
                all.filter(|(_, k)| {
                    k.told
                        .as_ref()
                        .is_none_or(|(_, at)| self.world.seconds() < at + 3.0)
                        || fastrand::u32(..40) == 0
                })
                .map(|(id, _)| id.clone())
                .collect()
            };
            for id in ids {
                if fastrand::u32(..3) > 0 && round % 10 > 0 {
                    continue;
                }
                let explorer = self.clone();
                let ask = async move {
                    let sent = explorer.world.seconds();
                    let path = format!("/v1/jobs/{id}");
                    if let Some((status, body)) =
                        explorer.call(node, Method::Get, &path, None, 2.0).await
                    {
                        explorer.note_answer(&id, sent, status, &body, "ask");
                    }
                };
                executor.spawn_high(ask).detach();
            }
            self.world.sleep(0.8 + 0.4 * fastrand::f64()).await;
        }
    }
}
