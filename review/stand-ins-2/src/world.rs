//! What every case needs: the stand-ins on loopback, the project's programs as processes, a user
//! that goes through the load balancer's stand-in, and the record of what happened.

use anyhow::{Context, Result, ensure};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use pathwinch_lab::{
    controllers, hosts,
    installation::{Controller, Testbed, loopback},
    load_balancer, services,
    site::Site,
};
use pathwinch_protocol::settings::Services;
use pathwinch_transport::{
    priority_executor::PriorityExecutor,
    server::{self, HttpRequest, HttpResponse, Limits},
};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    fs::File,
    future::Future,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

/// Verdict of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What may befall transactions at the state service, as shares of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct TransactionFaults {
    /// Carried out at once, the answer is lost.
    pub answer_lost: f64,
    /// Carried out 2 to 12 s late, without an answer.
    pub late: f64,
}

/// What befalls one controller's own ways to the state service and to the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeFaults {
    /// The state service answers 503 to this controller alone.
    pub refused: bool,
    /// Delay of each of its requests to the state service, in seconds.
    pub slow_s: f64,
    /// Nothing passes between it and the state service, or the other controllers.
    pub cut_from_state: bool,
    pub cut_from_peers: bool,
}

pub struct World {
    /// Controllers that still run the version before, which the variable OLD names.
    pub old_nodes: RefCell<BTreeSet<usize>>,
    pub node_faults: RefCell<Vec<NodeFaults>>,
    pub transaction_faults: Cell<TransactionFaults>,
    pub testbed: Rc<Testbed>,
    /// Whether the disruption happens.
    pub trouble: bool,
    /// Temporary folder of settings, keys and logs.
    pub dir: PathBuf,
    root: PathBuf,
    record: RefCell<File>,
    begun: Instant,
    children: RefCell<Vec<(String, Child)>>,
    run_command: Vec<String>,
}

/// The command in `deploy/service.toml` with which the users start the service.
fn run_command(root: &Path) -> Result<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = "));
    let line = line.context("deploy/service.toml has no line `run`")?;
    Ok(line
        .trim()
        .trim_matches('"')
        .split_whitespace()
        .map(str::to_owned)
        .collect())
}

/// A port that is free and is not one of those from which connections are made.
fn free_address() -> Result<SocketAddr> {
    for _ in 0..1000 {
        let address = SocketAddr::from(([127, 0, 0, 1], fastrand::u16(11_000..32_000)));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    anyhow::bail!("no free port")
}

/// Gives the controllers ports that no connection takes before they listen there.
fn choose_ports(configured: &mut [Controller]) -> Result<()> {
    for controller in configured.iter_mut() {
        (controller.listen, controller.peer_listen) = (free_address()?, free_address()?);
    }
    for controller in configured.iter() {
        let mut settings: Value =
            serde_json::from_str(&std::fs::read_to_string(&controller.settings)?)?;
        settings["listen"] = controller.listen.to_string().into();
        settings["back"] = controller.peer_listen.to_string().into();
        for peer in settings["known"].as_array_mut().into_iter().flatten() {
            let other = configured
                .iter()
                .find(|c| peer["host_name"] == c.name.as_str());
            peer["endpoint"] = other
                .context("unknown controller")?
                .peer_listen
                .to_string()
                .into();
        }
        std::fs::write(&controller.settings, settings.to_string())?;
    }
    Ok(())
}

impl World {
    pub fn new(
        site: Site,
        root: &Path,
        dir: &Path,
        record: &Path,
        trouble: bool,
    ) -> Result<Rc<World>> {
        let world = World::with_own_machines(site, root, dir, record, trouble)?;
        let machines = hosts::run(world.testbed.clone());
        world.testbed.executor.spawn_high(machines).detach();
        Ok(world)
    }

    /// The same, but the case runs the machines' workers itself.
    pub fn with_own_machines(
        site: Site,
        root: &Path,
        dir: &Path,
        record: &Path,
        trouble: bool,
    ) -> Result<Rc<World>> {
        std::fs::create_dir_all(dir)?;
        let (state_listener, state) = loopback()?;
        let (cloud_listener, cloud) = loopback()?;
        let mut configured = controllers::configure(&site, &Services { cloud, state }, dir)?;
        choose_ports(&mut configured)?;
        let executor = Rc::new(PriorityExecutor::default());
        let world = Rc::new(World {
            old_nodes: RefCell::default(),
            node_faults: RefCell::new(vec![NodeFaults::default(); configured.len()]),
            transaction_faults: Cell::default(),
            testbed: Rc::new(Testbed::new(site, executor, configured)),
            trouble,
            dir: dir.to_owned(),
            root: root.to_owned(),
            record: RefCell::new(File::create(record)?),
            begun: Instant::now(),
            children: RefCell::default(),
            run_command: run_command(root)?,
        });
        world.note(&format!(
            "disruption: {}",
            if trouble { "yes" } else { "no" }
        ));
        let w = world.clone();
        world.serve(state_listener, move |request| {
            let w = w.clone();
            async move { w.state(request).await }
        });
        world.separate_ways()?;
        let testbed = world.testbed.clone();
        world.serve(cloud_listener, move |request| {
            services::cloud(testbed.clone(), request)
        });
        let executor = &world.testbed.executor;
        executor
            .spawn_high(load_balancer::probe(world.testbed.clone()))
            .detach();
        Ok(world)
    }

    /// Gives each controller its own addresses of the state service and of the other controllers,
    /// so that each way can be disturbed alone.
    fn separate_ways(self: &Rc<Self>) -> Result<()> {
        for (node, controller) in self.testbed.controllers.iter().enumerate() {
            let mut settings: Value =
                serde_json::from_str(&std::fs::read_to_string(&controller.settings)?)?;
            let (listener, addr) = loopback()?;
            settings["outside"]["state"] = addr.to_string().into();
            let w = self.clone();
            self.serve(listener, move |request| {
                let w = w.clone();
                async move {
                    let faults = w.node_faults.borrow()[node];
                    if faults.cut_from_state {
                        futures_lite::future::pending::<()>().await;
                    }
                    if faults.refused {
                        return HttpResponse::error(503, "refused");
                    }
                    if faults.slow_s > 0.0 {
                        w.sleep(faults.slow_s * 0.5).await;
                    }
                    let response = w.state(request).await;
                    if faults.slow_s > 0.0 {
                        w.sleep(faults.slow_s * 0.5).await;
                    }
                    if w.node_faults.borrow()[node].cut_from_state {
                        futures_lite::future::pending::<()>().await;
                    }
                    response
                }
            });
            for peer in settings["known"].as_array_mut().into_iter().flatten() {
                let name = peer["host_name"].as_str().unwrap_or_default().to_owned();
                let Some(other) = self.testbed.controllers.iter().position(|c| c.name == name)
                else {
                    continue;
                };
                let (listener, addr) = loopback()?;
                peer["endpoint"] = addr.to_string().into();
                self.testbed
                    .executor
                    .spawn_high(pass_on(self.clone(), listener, node, other))
                    .detach();
            }
            std::fs::write(&controller.settings, settings.to_string())?;
        }
        Ok(())
    }

    fn is_cut(&self, node: usize, other: usize) -> bool {
        let faults = self.node_faults.borrow();
        faults[node].cut_from_peers || faults[other].cut_from_peers
    }

    pub fn serve<F, Fut>(&self, listener: TcpListener, handler: F)
    where
        F: Fn(HttpRequest) -> Fut + 'static,
        Fut: Future<Output = HttpResponse> + 'static,
    {
        let limits = Limits {
            connections: 1024,
            others: 1024,
            first: "/leases",
        };
        let serve = server::serve_on(self.testbed.executor.clone(), listener, limits, handler);
        self.testbed.executor.spawn_high(serve).detach();
    }

    /// The project's stand-in of the state service; notes each transaction that it refuses as
    /// malformed.
    async fn state(&self, request: HttpRequest) -> HttpResponse {
        let body = match (request.method, request.path.as_str()) {
            (Method::Post, "/txn") => request.body.clone(),
            _ => None,
        };
        let faults = self.transaction_faults.get();
        let drawn = body.as_ref().map_or(1.0, |_| fastrand::f64());
        if drawn < faults.late {
            self.sleep(2.0 + 10.0 * fastrand::f64()).await;
        }
        let response = services::state(self.testbed.clone(), request).await;
        if drawn < faults.late + faults.answer_lost {
            futures_lite::future::pending::<()>().await;
        }
        if let Some(body) = body.filter(|_| response.status == 400) {
            let txn: Value = serde_json::from_slice(&body).unwrap_or_default();
            let rows = txn["writes"].as_array().cloned().unwrap_or_default();
            let largest = rows
                .iter()
                .map(|w| w["data"].to_string().len())
                .max()
                .unwrap_or(0);
            let keys: Vec<String> = rows
                .iter()
                .filter_map(|w| w["set"].as_str().or(w["drop"].as_str()).map(str::to_owned))
                .collect();
            self.note(&format!(
                "state service: 400 {} to a transaction of {} writes, largest value {largest} bytes: {}",
                String::from_utf8_lossy(&response.body),
                rows.len(),
                keys.join(" ")
            ));
        }
        response
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.seconds());
        println!("{line}");
        let _ = writeln!(self.record.borrow_mut(), "{line}");
    }

    pub fn start(&self, name: &str, program: &str, arguments: &[String]) -> Result<()> {
        let path = self.root.join(program);
        ensure!(path.is_file(), "{} is not built", path.display());
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.note(&format!("started {name}"));
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.children.borrow_mut().push((name.to_owned(), child));
        Ok(())
    }

    /// Starts the controller with this index by the command of the deploy file.
    pub fn start_controller(&self, index: usize) -> Result<()> {
        let controller = &self.testbed.controllers[index];
        let (program, arguments) = self.run_command.split_first().context("empty command")?;
        let old = std::env::var("OLD")
            .ok()
            .filter(|_| self.old_nodes.borrow().contains(&index));
        let program = old.as_ref().unwrap_or(program);
        let mut arguments = arguments.to_vec();
        arguments.push(controller.settings.display().to_string());
        self.start(&controller.name.clone(), program, &arguments)
    }

    pub fn start_controllers(&self) -> Result<()> {
        (0..self.testbed.controllers.len()).try_for_each(|i| self.start_controller(i))
    }

    /// Kills a process that this world started.
    pub fn kill(&self, name: &str) {
        let mut children = self.children.borrow_mut();
        if let Some(at) = children.iter().position(|(n, _)| n == name) {
            let (_, mut child) = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
            drop(children);
            self.note(&format!("killed {name}"));
        }
    }

    /// Process id of a process that this world started.
    pub fn pid(&self, name: &str) -> Option<u32> {
        let children = self.children.borrow();
        children
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, c)| c.id())
    }

    pub async fn sleep(&self, seconds: f64) {
        Timer::after(Duration::from_secs_f64(seconds.max(0.0))).await;
    }

    pub async fn until_ready(&self) -> Result<()> {
        for _ in 0..400 {
            if self.testbed.ready.borrow().iter().all(|r| *r) {
                self.note("all controllers are ready");
                return Ok(());
            }
            self.sleep(0.05).await;
        }
        anyhow::bail!("the controllers did not become ready")
    }

    /// One request of a user, through the load balancer.
    pub async fn user(&self, method: Method, path: &str, body: Option<&Value>) -> (u16, Value) {
        let request = HttpRequest {
            method,
            path: path.to_owned(),
            query: None,
            body: Some(body.map(|b| b.to_string().into_bytes()).unwrap_or_default()),
        };
        let response = load_balancer::handle_user_request(self.testbed.clone(), request).await;
        (
            response.status,
            serde_json::from_slice(&response.body).unwrap_or_default(),
        )
    }

    /// Submits a job as users do: again after a second, for up to 60 s.
    pub async fn submit(&self, spec: &Value) -> Result<()> {
        let id = spec["ref"].as_str().unwrap_or_default();
        for _ in 0..60 {
            let (status, body) = self.user(Method::Post, "/v1/jobs", Some(spec)).await;
            self.note(&format!("submitted {id}: {status} {body}"));
            match status {
                200 | 201 => return Ok(()),
                400 | 422 => anyhow::bail!("submission of {id} refused: {status} {body}"),
                _ => self.sleep(1.0).await,
            }
        }
        anyhow::bail!("{id} was not accepted in 60 s")
    }

    /// Asks for a job; the answer's stage, if it is 200.
    pub async fn stage(&self, id: &str) -> Option<String> {
        let (status, body) = self
            .user(Method::Get, &format!("/v1/jobs/{id}"), None)
            .await;
        (status == 200).then(|| body["stage"].as_str().unwrap_or_default().to_owned())
    }

    pub async fn poll_and_note(&self, id: &str) -> Option<String> {
        let (status, body) = self
            .user(Method::Get, &format!("/v1/jobs/{id}"), None)
            .await;
        self.note(&format!("asked for {id}: {status} {body}"));
        (status == 200).then(|| body["stage"].as_str().unwrap_or_default().to_owned())
    }

    /// Cancels a job as users do.
    pub async fn cancel(&self, id: &str) -> Result<String> {
        for _ in 0..60 {
            let path = format!("/v1/jobs/{id}/abort");
            let (status, body) = self.user(Method::Post, &path, None).await;
            self.note(&format!("cancelled {id}: {status} {body}"));
            if status == 200 {
                return Ok(body["stage"].as_str().unwrap_or_default().to_owned());
            }
            self.sleep(1.0).await;
        }
        anyhow::bail!("the cancellation of {id} was not answered in 60 s")
    }

    /// Waits until the job has this stage.
    pub async fn until_stage(&self, id: &str, stage: &str, limit_s: f64) -> Result<()> {
        let until = self.seconds() + limit_s;
        while self.seconds() < until {
            if self.stage(id).await.as_deref() == Some(stage) {
                self.note(&format!("{id} is {stage}"));
                return Ok(());
            }
            self.sleep(0.2).await;
        }
        anyhow::bail!("{id} did not become {stage} in {limit_s} s")
    }
}

impl World {
    /// Ends all processes.
    pub fn end(&self) {
        for (_, child) in self.children.borrow_mut().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Passes connections of a controller on to another one, as long as the two are not cut off from
/// each other; then packets are held.
async fn pass_on(world: Rc<World>, listener: TcpListener, node: usize, other: usize) {
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    loop {
        let Ok((near, _)) = listener.accept().await else {
            return;
        };
        let world = world.clone();
        let executor = world.testbed.executor.clone();
        let connection = async move {
            let to = world.testbed.controllers[other].peer_listen;
            while world.is_cut(node, other) {
                world.sleep(0.05).await;
            }
            let Ok(far) = Async::<TcpStream>::connect(to).await else {
                return;
            };
            let there = copy(&world, &near, &far, node, other);
            let back = copy(&world, &far, &near, node, other);
            futures_lite::future::or(there, back).await;
        };
        executor.spawn_high(connection).detach();
    }
}

async fn copy(
    world: &World,
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    node: usize,
    other: usize,
) {
    let mut buffer = [0; 8192];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        while world.is_cut(node, other) {
            world.sleep(0.05).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// A job as users send it.
pub fn job(
    id: &str,
    class: &str,
    team: &str,
    shape: &str,
    tasks: u32,
    cpus: f64,
    expected_s: f64,
) -> Value {
    json!({
        "ref": id, "job_family": class, "owner_crew": team, "run_shape": shape,
        "urgency": "normal", "pieces": tasks, "cores": cpus, "accelerators": 0.0,
        "memory_gb": 4.0, "bundle": "img-01", "image_gb": 0.2, "rigs": null, "hall": null,
        "same_place": false, "apart": false, "lendback": false, "expected_s": expected_s,
        "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": null
    })
}

/// A small deployment: three controllers, and the limits and times of Almaty.
pub fn small_site() -> Result<Site> {
    let site = json!({
        "controllers": 3,
        "cluster": {
            "zones": ["almaty-east", "almaty-west", "astana-hall"],
            "teams": [
                {"name": "care-ops-00", "cpus": 0.0, "gpus": 0.0, "cpus_max": 8.0, "gpus_max": 0.0},
                {"name": "care-ops-01", "cpus": 16.0, "gpus": 0.0, "cpus_max": 56.0, "gpus_max": 0.0}
            ],
            "objectives": [],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": 35.0},
            "state": {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
            "quota": {"max_sockets": 600}
        },
        "rigs": [{"sku": "steppe-small", "cores": 8.0, "accelerators": 0.0, "memory_gb": 32.0,
                  "local_gb": 70.0, "fetch_gb_per_s": 0.3, "price": 0.33, "market_price": 0.11,
                  "startup_s": 1.0, "halls": ["almaty-east", "almaty-west", "astana-hall"]}],
        "capacity": 9,
        "seed": 7
    });
    Site::parse(&site.to_string())
}

/// The same with the limits and times of Lahore.
pub fn lahore_site() -> Result<Site> {
    let mut site = small_site()?;
    let cluster = &mut site.cluster;
    cluster.zones = vec!["gulberg-hall".into()];
    cluster.teams[0].name = "production-floor-00".into();
    cluster.teams[1].name = "production-floor-01".into();
    let workers = &mut cluster.workers;
    (
        workers.report_s,
        workers.gang_wait_s,
        workers.gang_peer_s,
        workers.cancel_s,
    ) = (2.0, 35.0, 8.0, 40.0);
    let state = &mut cluster.state;
    (state.rps, state.write_rps, state.value_kb, state.txn_ops) = (200.0, 80.0, 16.0, 24);
    cluster.cloud.rps = 8.0;
    cluster.quota.max_connections = 1_200;
    let rig = &mut site.rigs[0];
    rig.name = "ravi-cpu".into();
    (rig.cpus, rig.memory_gb, rig.price, rig.spot_price) = (64.0, 256.0, 3.55, 1.37);
    rig.zones = vec!["gulberg-hall".into()];
    Ok(site)
}
