//! A neighbouring market over TLS, and the broker that lends to it. It is the project's own
//! stand-in, with one thing of its own: when it withdraws a job, the tasks that it reports as
//! finished are every second one, as where short and long tasks run side by side.

use crate::world::World;
use anyhow::Result;
use async_io::Timer;
use http_types::Method;
use pathwinch_lab::{
    installation::loopback,
    market::{JobEvent, SimulatedMarket},
};
use pathwinch_market::{
    ranges::Ranges,
    schema::{self, MessageReader},
    serve::MARKET_PATH,
    wire::{AwardState, MAX_BODY_BYTES, Reply, ReplyBody, Request, RequestBody},
};
use pathwinch_tls::{
    authority::Authority,
    http,
    keys::{self, KeyFiles, system_time},
    reload::ReloadableKeys,
};
use pathwinch_transport::server::{HttpRequest, HttpResponse};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const STEP_MS: u64 = 100;

pub struct Market {
    pub sim: RefCell<SimulatedMarket>,
    /// Jobs that run there now.
    pub running: RefCell<Vec<String>>,
    /// Number of starts and of ends so far.
    pub starts: RefCell<usize>,
    pub ends: RefCell<usize>,
    /// Awards of which the home said that their end is recorded: the market forgets them, as the
    /// protocol allows.
    pub forgotten: RefCell<BTreeSet<u64>>,
    /// Job of each award.
    pub job_of: RefCell<BTreeMap<u64, String>>,
    /// Number of tasks of each award's job.
    tasks_of: RefCell<BTreeMap<u64, u32>>,
    /// Number of starts of each job.
    pub starts_of: RefCell<BTreeMap<String, usize>>,
    /// Jobs that the market has finished and of which it said so.
    pub told_done: RefCell<BTreeSet<String>>,
    /// Whether the network between the home and the market is cut: nothing is answered.
    pub cut: Cell<bool>,
    /// Whether it forgets awards when it may.
    pub forgets: Cell<bool>,
    world: Rc<World>,
}

/// Serves a market, and starts a broker that lends the class `class` of `team` to it.
pub fn start(
    world: &Rc<World>,
    class: &str,
    team: &str,
    slots: u32,
    every_s: f64,
    after_s: f64,
) -> Result<Rc<Market>> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let dir = world.dir.join("keys");
    let authority = Authority::create(&dir.join("authority"), "review", 90, now)?;
    let install = |name: &str| -> Result<std::path::PathBuf> {
        let to = dir.join(name);
        let issued = authority.issue(name, 60, now)?;
        keys::install(
            &to,
            &issued,
            &authority.certificate()?,
            &authority.revocation_list()?,
        )?;
        Ok(to)
    };
    install("home")?;
    let market_keys = ReloadableKeys::new(KeyFiles::read(&install("north")?)?, system_time())?;
    let (listener, addr) = loopback()?;
    let options = world.dir.join("market.ini");
    std::fs::write(
        &options,
        format!(
            "[lend]\nclasses = {class}\nafter_s = {after_s}\n\n[award]\ntenancy_s = 60\nstart_within_s = 30\nevery_s = {every_s}\n\n\
             [budget]\n{team} = 1000\n\n[market]\nnorth = {addr}\n"
        ),
    )?;
    let market = Rc::new(Market {
        sim: RefCell::new(SimulatedMarket::new("north", 10_000, slots, 11)),
        running: RefCell::default(),
        starts: RefCell::default(),
        ends: RefCell::default(),
        forgotten: RefCell::default(),
        job_of: RefCell::default(),
        tasks_of: RefCell::default(),
        starts_of: RefCell::default(),
        told_done: RefCell::default(),
        cut: Cell::new(false),
        forgets: Cell::new(true),
        world: world.clone(),
    });
    let reader = Rc::new(MessageReader::new(&schema::request()).map_err(|e| anyhow::anyhow!(e.0))?);
    let at = market.clone();
    let handler = move |peer: String, request: HttpRequest| {
        let (market, reader) = (at.clone(), reader.clone());
        async move {
            if market.cut.get() {
                futures_lite::future::pending::<()>().await;
            }
            if (request.method, request.path.as_str()) != (Method::Post, MARKET_PATH) {
                return HttpResponse::error(404, "no such path");
            }
            let body = request.body.unwrap_or_default();
            let request: Request = match reader.read(&body) {
                Ok(request) => request,
                Err(why) => return HttpResponse::error(400, &why.0),
            };
            if request.home != peer {
                return HttpResponse::error(403, "home: not the name in the certificate");
            }
            HttpResponse::json(200, &market.answer(&request))
        }
    };
    let executor = world.testbed.executor.clone();
    let serve = http::serve(
        executor.clone(),
        listener,
        Rc::new(RefCell::new(market_keys)),
        64,
        MAX_BODY_BYTES,
        handler,
    );
    executor.spawn_high(serve).detach();
    let stepping = market.clone();
    let steps = async move {
        loop {
            let events = stepping
                .sim
                .borrow_mut()
                .step(stepping.world.testbed.now(), STEP_MS);
            stepping.note_events(events);
            Timer::after(Duration::from_millis(STEP_MS)).await;
        }
    };
    executor.spawn_high(steps).detach();
    start_broker(world)?;
    Ok(market)
}

/// Starts the broker, or starts it again.
pub fn start_broker(world: &World) -> Result<()> {
    let (home, options) = (world.dir.join("keys/home"), world.dir.join("market.ini"));
    let settings = world.testbed.controllers[0].settings.display().to_string();
    let arguments = [
        "serve".to_owned(),
        "--config".into(),
        settings,
        "--options".into(),
        options.display().to_string(),
        "--keys".into(),
        home.display().to_string(),
    ];
    world.start("broker", "target/release/pathwinch-market", &arguments)
}

impl Market {
    fn note_events(&self, events: Vec<JobEvent>) {
        for event in events {
            match event {
                JobEvent::Start(job) => {
                    self.world.note(&format!("market: {job} starts"));
                    self.world
                        .testbed
                        .object_store
                        .borrow_mut()
                        .job_offloaded(&job, "north");
                    *self.starts_of.borrow_mut().entry(job.clone()).or_default() += 1;
                    self.running.borrow_mut().push(job);
                    *self.starts.borrow_mut() += 1;
                }
                JobEvent::End(job) => {
                    self.world.note(&format!("market: {job} ends"));
                    self.world
                        .testbed
                        .object_store
                        .borrow_mut()
                        .job_returned(&job, "north");
                    self.running.borrow_mut().retain(|j| *j != job);
                    *self.ends.borrow_mut() += 1;
                }
            }
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let (mut reply, events) = self
            .sim
            .borrow_mut()
            .handle(request, self.world.testbed.now());
        self.note_events(events);
        match &request.body {
            RequestBody::Bids(bids) => self
                .world
                .note(&format!("market: asked for places by {} bids", bids.len())),
            RequestBody::Award(award) => {
                self.job_of
                    .borrow_mut()
                    .insert(award.award, award.job.id.clone());
                self.tasks_of
                    .borrow_mut()
                    .insert(award.award, award.job.tasks);
                self.world.note(&format!(
                    "market: award {} of {}: {} of {} tasks are to run",
                    award.award,
                    award.job.id,
                    award.job.tasks - award.job.done.count(),
                    award.job.tasks
                ));
            }
            RequestBody::Sync(sync) => {
                for award in &sync.settled {
                    if self.forgets.get() {
                        self.forgotten.borrow_mut().insert(*award);
                    }
                    let jobs = self.job_of.borrow();
                    let job = jobs.get(award).map_or("?", String::as_str);
                    self.world.note(&format!(
                        "market: told that the end of award {award} of {job} is recorded; forgets it"
                    ));
                }
            }
        }
        if let ReplyBody::Synced(synced) = &mut reply.body {
            for row in &mut synced.awards {
                if self.forgotten.borrow().contains(&row.award) {
                    row.state = AwardState::Unknown;
                    self.world
                        .note(&format!("market: says award {} is unknown", row.award));
                }
                match &mut row.state {
                    AwardState::Withdrawn { done, .. } => {
                        let tasks = self.tasks_of.borrow().get(&row.award).copied().unwrap_or(0);
                        let finished = done.count().min(tasks / 2);
                        *done = Ranges((0..finished).map(|n| (2 * n, 2 * n)).collect());
                        self.world.note(&format!(
                            "market: says award {} is withdrawn, {finished} tasks finished",
                            row.award
                        ));
                    }
                    AwardState::Done { .. } => {
                        let jobs = self.job_of.borrow();
                        let job = jobs.get(&row.award).cloned().unwrap_or_default();
                        self.world.note(&format!(
                            "market: says award {} of {job} is done",
                            row.award
                        ));
                        self.told_done.borrow_mut().insert(job);
                    }
                    _ => {}
                }
            }
        }
        reply
    }
}
