//! Binds the stand-ins to loopback and runs real controllers beside them.
//! Users come in through a front door, which does the balancer's part and
//! keeps what they upload for the workers.

use crate::{Ms, cloud::Cloud, cloud::Refused, depot::Depot, markets, millis, site::Site, state};
use anyhow::{Context, Result};
use async_io::Timer;
use http_types::Method;
use pathwinch_protocol::{
    cloud::{MachineNames, MachineTypes, Rent},
    settings::{Peer, Services, Settings},
    users::{JobSpec, JobState, JobStatus},
};
use pathwinch_transport::{
    client::{CallError, Client},
    lanes::Lanes,
    server::{self, HttpRequest, HttpResponse, Limits},
};
use serde_json::json;
use state::StateService;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    ffi::OsString,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command},
    rc::Rc,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
pub struct Controller {
    pub name: String,
    pub listen: SocketAddr,
    pub back: SocketAddr,
    settings: PathBuf,
}

/// Everything of a lab that its parts share.
pub struct Lab {
    pub site: Site,
    pub lanes: Rc<Lanes>,
    pub http: Client,
    pub state: RefCell<StateService>,
    pub cloud: RefCell<Cloud>,
    pub depot: RefCell<Depot>,
    pub controllers: Vec<Controller>,
    /// Which of them said last that they can take requests.
    ready: RefCell<Vec<bool>>,
    turn: Cell<usize>,
    start: Instant,
}

/// A user's patience.
const PATIENCE: Duration = Duration::from_secs(5);
const WATCH_STEP: Duration = Duration::from_millis(20);
const MOST_WATCH_MS: u64 = 60_000;
/// Jobs of this class may be lent, by two brokers, of which one acts.
const LENT_CLASSES: &str = "slice";
const BROKERS: usize = 2;
/// Connections that each stand-in takes.
const CONNECTIONS: usize = 1024;

impl Lab {
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }
}

fn loopback() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").context("no port on loopback")?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

fn answer(a: state::Answer) -> HttpResponse {
    HttpResponse::json(a.status, &a.body)
}

fn query(request: &HttpRequest) -> HashMap<String, String> {
    let text = request.query.as_deref().unwrap_or_default();
    url::form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

/// The state service's paths.
async fn state(lab: Rc<Lab>, request: HttpRequest) -> HttpResponse {
    let now = lab.now();
    if let Some(refusal) = lab.state.borrow_mut().admit(now) {
        return answer(refusal);
    }
    let Some(body) = &request.body else {
        return HttpResponse::error(400, "body is incomplete or over 64 KiB");
    };
    let path = request.path.as_str();
    let asked = query(&request);
    let text = |name: &str| asked.get(name).map(String::as_str).unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().ok();
    let lease = path.strip_prefix("/leases/");
    match (request.method, path) {
        (Method::Get, "/kv") => {
            let most = number("most").unwrap_or(1000) as usize;
            let state = lab.state.borrow();
            answer(state.list(text("under"), text("from"), most))
        }
        (Method::Get, "/watch") => {
            let Some(from) = number("from") else {
                return HttpResponse::error(400, "from: missing");
            };
            let wait = number("wait_ms").unwrap_or(0).min(MOST_WATCH_MS);
            watch(&lab, text("under"), from, now + wait).await
        }
        (Method::Post, "/txn") => answer(lab.state.borrow_mut().txn(body, now)),
        (Method::Post, "/leases") => answer(lab.state.borrow_mut().grant(body, now)),
        (Method::Get, _) if path.starts_with("/kv/") => {
            answer(lab.state.borrow().get(&path["/kv/".len()..]))
        }
        (Method::Post | Method::Delete, _) => {
            let touch = request.method == Method::Post;
            let id = lease
                .map(|l| l.strip_suffix("/touch").filter(|_| touch).unwrap_or(l))
                .and_then(|l| l.parse().ok());
            match id {
                Some(id) if touch => answer(lab.state.borrow_mut().touch(id, now)),
                Some(id) => answer(lab.state.borrow_mut().drop_lease(id)),
                None => HttpResponse::error(404, "no such path"),
            }
        }
        _ => HttpResponse::error(404, "no such path"),
    }
}

async fn watch(lab: &Rc<Lab>, under: &str, from: u64, until: Ms) -> HttpResponse {
    loop {
        let now = lab.now();
        lab.state.borrow_mut().pass_time(now);
        if let Some(found) = lab.state.borrow().changes(under, from) {
            return answer(found);
        }
        if now >= until {
            return answer(lab.state.borrow().looked(Vec::new()));
        }
        Timer::after(WATCH_STEP).await;
    }
}

/// The cloud's paths.
async fn cloud(lab: Rc<Lab>, request: HttpRequest) -> HttpResponse {
    let now = lab.now();
    if !lab.cloud.borrow_mut().admit(now) {
        return HttpResponse::error(429, "too many requests");
    }
    let body = request.body.as_deref().unwrap_or_default();
    let mut cloud = lab.cloud.borrow_mut();
    let refused = |r: Refused| match r {
        Refused::NoCapacity => HttpResponse::error(503, "no capacity"),
        Refused::Malformed(why) => HttpResponse::error(400, why),
    };
    match (request.method, request.path.as_str()) {
        (Method::Get, "/machine_types") => {
            let types = cloud.types().to_vec();
            HttpResponse::json(200, &MachineTypes { types })
        }
        (Method::Get, "/hosts") => {
            let asked = query(&request);
            let from = asked.get("from").map(String::as_str).unwrap_or_default();
            let most = asked.get("most").and_then(|m| m.parse().ok());
            HttpResponse::json(200, &cloud.list(from, most.unwrap_or(500), now))
        }
        (Method::Post, "/hosts") => match serde_json::from_slice::<Rent>(body) {
            Ok(rent) => match cloud.rent(&rent, now) {
                Ok(machines) => HttpResponse::json(200, &MachineNames { machines }),
                Err(r) => refused(r),
            },
            Err(e) => HttpResponse::error(400, &e.to_string()),
        },
        (Method::Post, "/hosts/release") => match serde_json::from_slice(body) {
            Ok(names) => match cloud.release(&names, now) {
                Ok(_) => HttpResponse::json(200, &json!({})),
                Err(r) => refused(r),
            },
            Err(e) => HttpResponse::error(400, &e.to_string()),
        },
        _ => HttpResponse::error(404, "no such path"),
    }
}

/// The users' side: passed on to a controller that is ready.
async fn front(lab: Rc<Lab>, request: HttpRequest) -> HttpResponse {
    if (request.method, request.path.as_str()) == (Method::Get, "/lab") {
        return summary(&lab);
    }
    let Some(body) = request.body else {
        return HttpResponse::error(400, "body is incomplete or over 64 KiB");
    };
    if request.path == "/v1/jobs"
        && let Ok(spec) = JobSpec::parse(&body)
    {
        lab.depot.borrow_mut().upload(&spec);
    }
    let body = (request.method == Method::Post).then_some(body);
    for _ in 0..3 {
        let Some(to) = choose(&lab) else {
            return HttpResponse::later("no controller is ready");
        };
        let call = lab
            .http
            .call(to, request.method, &request.path, body.clone(), PATIENCE);
        match call.await {
            Ok(a) => {
                note_cancelled(&lab, &a.body);
                return HttpResponse {
                    status: a.status,
                    retry_after_s: a.retry_after_s,
                    content: server::JSON,
                    body: a.body,
                };
            }
            // A refused connection goes to another; anything else is unknown.
            Err(CallError::NotSent(_)) => {}
            Err(e) => return HttpResponse::error(504, &e.to_string()),
        }
    }
    HttpResponse::later("controllers refuse connections")
}

fn note_cancelled(lab: &Lab, body: &[u8]) {
    if let Ok(told) = serde_json::from_slice::<JobStatus>(body)
        && told.state == JobState::Cancelled
    {
        lab.depot.borrow_mut().cancelled(&told.id, lab.now());
    }
}

fn choose(lab: &Lab) -> Option<SocketAddr> {
    let ready = lab.ready.borrow();
    let n = ready.len();
    let turn = lab.turn.get();
    lab.turn.set(turn.wrapping_add(1));
    let index = (0..n).map(|k| (turn + k) % n).find(|i| ready[*i])?;
    Some(lab.controllers[index].listen)
}

/// What the stand-ins have seen.
fn summary(lab: &Lab) -> HttpResponse {
    let (now, cloud, depot) = (lab.now(), lab.cloud.borrow(), lab.depot.borrow());
    let state = lab.state.borrow();
    HttpResponse::json(
        200,
        &json!({
            "seconds": now as f64 / 1000.0,
            "machines": cloud.present(),
            "spent": cloud.spent(now),
            "tasks_finished": depot.finished(),
            "tasks_on_machines": depot.on_machines(),
            "jobs_at_markets": depot.at_markets().0,
            "jobs_lent_ever": depot.at_markets().1,
            "rules_broken": depot.broken(),
            "state_keys": state.keys(),
            "state_revision": state.revision(),
        }),
    )
}

async fn probe(lab: Rc<Lab>) {
    loop {
        for i in 0..lab.controllers.len() {
            let to = lab.controllers[i].listen;
            let limit = Duration::from_secs(1);
            let call = lab.http.call(to, Method::Get, "/ready", None, limit);
            let ok = call.await.is_ok_and(|a| a.status == 200);
            lab.ready.borrow_mut()[i] = ok;
        }
        Timer::after(Duration::from_millis(300)).await;
    }
}

/// A roll of the controllers to another program while they serve.
#[derive(Debug, Clone)]
pub struct Roll {
    pub program: PathBuf,
    /// From the start to the first, and from one to the next.
    pub after: Duration,
    pub every: Duration,
}

/// Processes that end with this one.
struct Children {
    dir: PathBuf,
    /// A name, for its log, and how it is started.
    commands: RefCell<Vec<(String, PathBuf, Vec<OsString>)>>,
    running: RefCell<Vec<Option<Child>>>,
}

impl Children {
    fn start(&self, index: usize) -> Result<Child> {
        let (name, program, args) = &self.commands.borrow()[index];
        let log = self.dir.join(format!("{name}.log"));
        let out = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .with_context(|| format!("cannot write {}", log.display()))?;
        Command::new(program)
            .args(args)
            .stdin(std::process::Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))
    }

    /// Starts what isn't running, as a platform would.
    async fn keep_up(&self) {
        loop {
            let names: Vec<String> = self.commands.borrow().iter().map(|c| c.0.clone()).collect();
            for (i, name) in names.iter().enumerate() {
                let ended = match &mut self.running.borrow_mut()[i] {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(how) = ended {
                    log::warn!("{name} ended ({how}), starting it again");
                    self.running.borrow_mut()[i] = None;
                }
                if self.running.borrow()[i].is_none() {
                    match self.start(i) {
                        Ok(child) => self.running.borrow_mut()[i] = Some(child),
                        Err(e) => log::error!("{e:#}"),
                    }
                }
            }
            Timer::after(Duration::from_secs(1)).await;
        }
    }
}

impl Children {
    /// Kills the controllers one after the other; each comes back with the new
    /// program. Then the state service has its new limits.
    async fn roll(&self, lab: &Lab, roll: &Roll) {
        Timer::after(roll.after).await;
        for i in 0..lab.controllers.len() {
            self.commands.borrow_mut()[i].1 = roll.program.clone();
            if let Some(child) = &mut self.running.borrow_mut()[i] {
                let _ = child.kill();
            }
            log::warn!("{} is upgraded", lab.controllers[i].name);
            Timer::after(roll.every).await;
        }
        lab.state.borrow_mut().lower(lab.now());
        log::warn!("the state service has its limits to come, if the site names any");
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for child in self.running.borrow_mut().iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The program of controllers that stands beside this one.
pub fn program_beside() -> Result<PathBuf> {
    let own = std::env::current_exe().context("where is this program?")?;
    let beside = own.with_file_name("pathwinch");
    anyhow::ensure!(
        beside.is_file(),
        "no pathwinch beside {}: build it (cargo build --release --workspace) \
         or name it with --program",
        own.display()
    );
    Ok(beside)
}

fn controllers(site: &Site, services: &Services, dir: &Path) -> Result<Vec<Controller>> {
    let mut list = Vec::new();
    // Ports are free at this moment; controllers bind them themselves.
    let mut held = Vec::new();
    for n in 1..=site.controllers {
        let (one, listen) = loopback()?;
        let (two, back) = loopback()?;
        held.push((one, two));
        let name = format!("winch-{n}");
        let settings = dir.join(format!("{name}.json"));
        list.push(Controller {
            name,
            listen,
            back,
            settings,
        });
    }
    drop(held);
    let zone = |i: usize| site.cluster.zones[i % site.cluster.zones.len()].clone();
    for (i, c) in list.iter().enumerate() {
        let peers = list
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(j, p)| Peer {
                name: p.name.clone(),
                zone: zone(j),
                addr: p.back,
            })
            .collect();
        let settings = Settings {
            name: c.name.clone(),
            zone: zone(i),
            listen: c.listen,
            peer_listen: c.back,
            peers,
            services: services.clone(),
            cluster: site.cluster.clone(),
        };
        let text = serde_json::to_string_pretty(&settings)?;
        // The same check as a controller makes, before any is started.
        Settings::parse(&text).context("the site's settings")?;
        std::fs::write(&c.settings, text)
            .with_context(|| format!("cannot write {}", c.settings.display()))?;
    }
    Ok(list)
}

/// Where a lab can be reached.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Addresses {
    /// Users submit and poll here.
    pub users: SocketAddr,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// Each controller's name, `listen` and `back`.
    pub controllers: Vec<(String, SocketAddr, SocketAddr)>,
    /// Stand-in markets, by name.
    pub markets: Vec<(String, SocketAddr)>,
    /// Settings and logs of the controllers.
    pub dir: PathBuf,
}

/// Runs a lab until `over` completes; `told` is called once all stands.
pub fn run(
    site: Site,
    program: PathBuf,
    dir: PathBuf,
    markets: usize,
    roll: Option<Roll>,
    told: impl FnOnce(&Addresses),
    over: impl Future<Output = ()>,
) -> Result<()> {
    std::fs::create_dir_all(&dir).with_context(|| format!("cannot make {}", dir.display()))?;
    let (state_listener, state_addr) = loopback()?;
    let (cloud_listener, cloud_addr) = loopback()?;
    let (front_listener, front_addr) = loopback()?;
    let services = Services {
        cloud: cloud_addr,
        state: state_addr,
    };
    let list = controllers(&site, &services, &dir)?;
    let workers = &site.cluster.workers;
    let lanes = Rc::new(Lanes::default());
    let lab = Rc::new(Lab {
        lanes: lanes.clone(),
        http: Client::new(256),
        state: RefCell::new(StateService::new(site.cluster.state.clone())),
        cloud: RefCell::new(Cloud::new(&site)),
        depot: RefCell::new(Depot::new(
            site.seed,
            site.failing,
            millis(workers.gang_peer_s),
            millis(workers.cancel_s),
        )),
        ready: RefCell::new(vec![false; list.len()]),
        controllers: list,
        turn: Cell::new(0),
        start: Instant::now(),
        site,
    });
    let mut commands: Vec<(String, PathBuf, Vec<OsString>)> = Vec::new();
    for c in &lab.controllers {
        let args = vec!["serve".into(), "--config".into(), c.settings.clone().into()];
        commands.push((c.name.clone(), program.clone(), args));
    }
    let mut made = None;
    if markets > 0 {
        let teams: Vec<String> = lab
            .site
            .cluster
            .teams
            .iter()
            .map(|t| t.name.clone())
            .collect();
        let m = markets::make(&dir, markets, LENT_CLASSES, &teams)?;
        let broker = program.with_file_name("pathwinch-market");
        anyhow::ensure!(broker.is_file(), "no {}: build it", broker.display());
        for n in 1..=BROKERS {
            let args = vec![
                "serve".into(),
                "--config".into(),
                lab.controllers[0].settings.clone().into(),
                "--options".into(),
                m.options.clone().into(),
                "--keys".into(),
                m.home_keys.clone().into(),
            ];
            commands.push((format!("broker-{n}"), broker.clone(), args));
        }
        made = Some(m);
    }
    let children = Children {
        dir: dir.clone(),
        running: RefCell::new(commands.iter().map(|_| None).collect()),
        commands: RefCell::new(commands),
    };
    let limits = || Limits {
        connections: CONNECTIONS,
        others: CONNECTIONS,
        first: "/leases",
    };
    async_io::block_on(lanes.run(async {
        let l = lab.clone();
        let serve = server::serve_on(lanes.clone(), state_listener, limits(), move |r| {
            state(l.clone(), r)
        });
        lanes.spawn(serve).detach();
        let l = lab.clone();
        let serve = server::serve_on(lanes.clone(), cloud_listener, limits(), move |r| {
            cloud(l.clone(), r)
        });
        lanes.spawn(serve).detach();
        let l = lab.clone();
        let serve = server::serve_on(lanes.clone(), front_listener, limits(), move |r| {
            front(l.clone(), r)
        });
        lanes.spawn(serve).detach();
        lanes.spawn(crate::machines::run(lab.clone())).detach();
        let mut named = Vec::new();
        for (n, m) in made.into_iter().flat_map(|m| m.markets).enumerate() {
            named.push((m.name.to_owned(), m.addr));
            let run = markets::run(lab.clone(), m, n as u64);
            lanes.spawn(run).detach();
        }
        lanes.spawn(probe(lab.clone())).detach();
        let addresses = Addresses {
            users: front_addr,
            state: state_addr,
            cloud: cloud_addr,
            controllers: lab
                .controllers
                .iter()
                .map(|c| (c.name.clone(), c.listen, c.back))
                .collect(),
            markets: named,
            dir,
        };
        let stands = async {
            while !lab.ready.borrow().iter().any(|r| *r) {
                Timer::after(Duration::from_millis(50)).await;
            }
            told(&addresses);
            std::future::pending::<()>().await
        };
        let rolled = async {
            if let Some(roll) = &roll {
                children.roll(&lab, roll).await;
            }
            std::future::pending::<()>().await
        };
        let work = futures_lite::future::or(stands, children.keep_up());
        let work = futures_lite::future::or(work, rolled);
        futures_lite::future::or(over, work).await
    }));
    Ok(())
}
