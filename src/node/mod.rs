//! One controller process: binds decisions to sockets and the clock. It has
//! one thread and one executor; state is shared through `RefCell`s that are
//! never held across an await.

mod cloud;
mod engine;
mod lead;
mod metrics;
mod status;
mod store;
mod users;
mod workers;

use crate::{
    bookkeeping::{Ms, budget::Budget},
    coordination::{election::Election, leader::Leader, relay::Relays},
    protocol::{cloud::MachineType, options::Options, peers, settings::Settings},
    transport::{
        client::Client,
        frames::{self, PeerClient},
        server::{self, HttpRequest, HttpResponse},
    },
};
use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use http_types::Method;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

const BEAT: &str = "/agent/beat";

pub struct Node {
    settings: Rc<Settings>,
    options: Options,
    executor: Rc<LocalExecutor<'static>>,
    start: Instant,
    http: Client,
    peers: PeerClient,
    election: RefCell<Election>,
    leader: RefCell<Option<Leader>>,
    requests: RefCell<Budget>,
    writes: RefCell<Budget>,
    cloud_requests: RefCell<Budget>,
    types: RefCell<Vec<MachineType>>,
    /// When the state service last answered.
    state_ok: Cell<Option<Ms>>,
    flushing: Cell<bool>,
    listing: Cell<bool>,
    /// When the leader last gave a forwarded request no answer.
    unreachable: Cell<Option<Ms>>,
    /// When a report was last answered.
    last_beat: Cell<Ms>,
    relays: RefCell<Relays>,
    last_picture: RefCell<status::LastPicture>,
    figures: RefCell<metrics::Metrics>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

pub fn run(settings: Settings, options: Options) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let limits = settings.cluster.clone();
    let sockets = limits.quota.max_connections;
    let node = Rc::new(Node {
        election: RefCell::new(Election::new(
            &settings.name,
            fastrand::u64(1..(1 << 53)),
            0,
        )),
        settings: Rc::new(settings),
        options,
        executor: executor.clone(),
        start: Instant::now(),
        // Of the sockets, 5/8 are for those who call and 1/8 for other
        // controllers; what is left must also do for calls under way.
        http: Client::new(sockets / 5),
        peers: PeerClient::default(),
        leader: RefCell::new(None),
        requests: RefCell::new(Budget::new(limits.state.rps * 0.9, 0.9)),
        writes: RefCell::new(Budget::new(limits.state.write_rps * 0.9, 0.9)),
        cloud_requests: RefCell::new(Budget::new(limits.cloud.rps * 0.8, 1.0)),
        types: RefCell::new(Vec::new()),
        state_ok: Cell::new(None),
        flushing: Cell::new(false),
        listing: Cell::new(false),
        unreachable: Cell::new(None),
        last_beat: Cell::new(0),
        relays: RefCell::new(Relays::default()),
        last_picture: RefCell::new(None),
        figures: RefCell::new(metrics::Metrics::new()),
        wake: async_channel::bounded(1),
    });
    async_io::block_on(executor.run(async {
        executor.spawn(lead::run(node.clone())).detach();
        executor.spawn(engine::run(node.clone())).detach();
        executor.spawn(cloud::types(node.clone())).detach();
        let n = node.clone();
        let back = executor.spawn(frames::serve(
            executor.clone(),
            node.settings.peer_listen,
            sockets / 8,
            move |request| n.clone().peer(request),
        ));
        let n = node.clone();
        let listen = executor.spawn(server::serve(
            executor.clone(),
            node.settings.listen,
            // The rest is for connections to workers, peers and services.
            sockets * 5 / 8,
            move |request| n.clone().http(request),
        ));
        log::info!(
            "{} listens on {}, to controllers on {}",
            node.settings.name,
            node.settings.listen,
            node.settings.peer_listen
        );
        let back = async { back.await.context("listening for controllers (back)") };
        let listen = async { listen.await.context("listening for users (listen)") };
        futures_lite::future::or(back, listen).await
    }))
}

impl Node {
    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Runs `f` on the leader's state if this process may act right now.
    fn acting<T>(&self, f: impl FnOnce(&mut Leader, Ms) -> T) -> Option<T> {
        let term = self.election.borrow().authority(self.now())?;
        self.of_term(term, f)
    }

    /// The leader's state, for results of what was begun with authority.
    fn of_term<T>(&self, term: u64, f: impl FnOnce(&mut Leader, Ms) -> T) -> Option<T> {
        let now = self.now();
        let mut leader = self.leader.borrow_mut();
        let leader = leader.as_mut().filter(|l| l.term == term)?;
        let result = f(leader, now);
        if leader.has_work() {
            let _ = self.wake.0.try_send(());
        }
        Some(result)
    }

    async fn http(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        let path = request.path.as_str();
        let get = request.method == Method::Get;
        let post = request.method == Method::Post;
        match path {
            "/ready" if get => return self.ready(),
            metrics::PATH if get => return self.metrics(),
            BEAT if post => return self.beat(request.body).await,
            "/v1/jobs" if post => {}
            "/ready" | metrics::PATH | BEAT | "/v1/jobs" => {
                return HttpResponse::error(405, "method not allowed");
            }
            _ => match path.strip_prefix("/v1/jobs/") {
                Some(rest) => match rest.strip_suffix("/abort") {
                    Some(id) if !id.contains('/') => {
                        if !post {
                            return HttpResponse::error(405, "method not allowed");
                        }
                    }
                    None if !rest.contains('/') && !rest.is_empty() => {
                        if !get {
                            return HttpResponse::error(405, "method not allowed");
                        }
                    }
                    _ => return HttpResponse::error(404, "no such path"),
                },
                None => return HttpResponse::error(404, "no such path"),
            },
        }
        let Some(body) = request.body else {
            return HttpResponse::error(400, "body is incomplete or over 64 KiB");
        };
        let kind = match (get, path) {
            (true, _) => "poll",
            (false, "/v1/jobs") => "submit",
            _ => "abort",
        };
        let began = Instant::now();
        let answer = self.user(request.method.as_ref(), path, body).await;
        let seconds = began.elapsed().as_secs_f64();
        self.figures.borrow().answered(kind, seconds);
        answer
    }

    /// Address and name of the node that leads, if that is another.
    fn leader_addr(&self) -> Option<(SocketAddr, String)> {
        let (name, _) = self.election.borrow().seen.clone()?;
        let peer = self.settings.peers.iter().find(|p| p.name == name)?;
        Some((peer.addr, name))
    }

    fn ready(&self) -> HttpResponse {
        let now = self.now();
        let fresh = self.state_ok.get().is_some_and(|at| now < at + 3000);
        if fresh || self.election.borrow().authority(now).is_some() {
            HttpResponse::json(200, &serde_json::json!({ "ready": true }))
        } else {
            HttpResponse::later("the state service can't be reached")
        }
    }

    async fn peer(self: Rc<Self>, request: peers::Request) -> peers::Reply {
        match request {
            peers::Request::Unheard { machines, for_ms } => {
                let now = self.now();
                self.relays.borrow_mut().unheard(&machines, for_ms, now);
                peers::Reply::Ok
            }
            peers::Request::Forward { path, body, .. } if path == BEAT => {
                let answer = serde_json::from_slice(&body)
                    .ok()
                    .and_then(|report| self.beat_here(&report));
                match answer {
                    Some(r) => peers::Reply::Forwarded {
                        status: r.status,
                        retry_after_s: None,
                        body: r.body,
                    },
                    None => peers::Reply::NotLeader,
                }
            }
            peers::Request::Forward { method, path, body } => {
                match self.user_here(&method, &path, &body).await {
                    Some(r) => peers::Reply::Forwarded {
                        status: r.status,
                        retry_after_s: r.retry_after_s,
                        body: r.body,
                    },
                    None => peers::Reply::NotLeader,
                }
            }
            peers::Request::Promise { term, for_ms, .. } => self.promise(term, for_ms).await,
            peers::Request::Status => peers::Reply::Status(Box::new(self.status().await)),
            peers::Request::LeaderStatus => self.leader_status().await,
            peers::Request::Explain { id, forwarded } => {
                peers::Reply::Explained(self.explain(&id, !forwarded).await)
            }
            peers::Request::Resigned { term } => {
                self.election.borrow_mut().resigned(term);
                peers::Reply::Ok
            }
        }
    }
}
