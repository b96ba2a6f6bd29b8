//! One controller process: connects the decision logic in `control` to sockets and the
//! clock. The process has one thread and one executor.
//!
//! This module owns the [`Node`] that all loops share, starts the loops, owns the
//! listening sockets, and dispatches HTTP requests. It is called by the program's
//! `main`.
//!
//! Invariants: no `RefCell` borrow is held across an await. The leader's state is
//! accessed only through [`Node::with_authority`] or, for the results of operations
//! that began with authority, [`Node::in_term`].

mod audit_log;
mod budgets;
mod client_api;
mod cloud;
mod control_loop;
mod dependency_reads;
mod exclusions;
mod heartbeats;
mod leadership;
mod leases;
mod market;
mod metrics;
mod peers;
mod poll_records;
mod polls;
mod signals;
mod standby;
mod status;
mod store;
mod upgrade;

use crate::{
    control::{
        dependency_evidence::DependencyEvidence, election::Election, exclusions::Exclusions,
        failure_detector::FailureDetector, final_states::FinalStates, leader::Leader,
        safety_bounds::SafetyBounds,
    },
    options::Options,
    protocol::{cloud::MachineType, settings::Settings},
    state::{Millis, rate_limit::share::Role},
    transport::{
        client::Client,
        frames::{self, PeerClient},
        priority_executor::PriorityExecutor,
        server::{self, HttpRequest, HttpResponse},
    },
};
use anyhow::{Context, Result};
use async_executor::Task;
use http_types::Method;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT_PATH: &str = "/agent/beat";
/// Number of random bits in an incarnation. Any JSON parser represents integers of this
/// size exactly.
const INCARNATION_BITS: u32 = 53;
/// For how many milliseconds after a response of the key-value store a node without
/// authority reports itself as ready.
const READY_AFTER_ANSWER_MS: Millis = 3000;

/// The state of one controller process. A field whose type is defined in a submodule is
/// managed by that submodule; all loops share the other fields.
pub struct Node {
    settings: Rc<Settings>,
    options: Options,
    executor: Rc<PriorityExecutor>,
    /// The origin of [`Node::now`].
    started: Instant,
    http: Client,
    peers: PeerClient,
    failure_detector: RefCell<FailureDetector>,
    election: RefCell<Election>,
    exclusions: RefCell<Exclusions>,
    leadership: leadership::LeadershipStatus,
    /// The leader's state; `None` unless this node leads.
    leader: RefCell<Option<Leader>>,
    standby: standby::Standby,
    budgets: budgets::Budgets,
    in_flight: control_loop::InFlightOperations,
    machine_types: RefCell<Vec<MachineType>>,
    /// When the key-value store last responded with a status other than 429 or 503.
    state_answered_at: Cell<Option<Millis>>,
    upgrade: upgrade::Upgrade,
    polls: polls::Polls,
    /// Final job states that this node learned while it did not lead.
    final_states: RefCell<FinalStates>,
    dependency_reads: dependency_reads::DependencyReads,
    heartbeats: heartbeats::Heartbeats,
    last_cluster_status: RefCell<status::LastClusterStatus>,
    metrics: RefCell<metrics::Metrics>,
    audit_log: audit_log::AuditLog,
    /// Wakes the control loop.
    wake: signals::WakeSignal,
}

/// How the sockets that the settings allow are divided. The sockets that no field
/// counts are a reserve for calls in progress.
struct SocketLimits {
    /// Outgoing connections of this node to workers and services.
    calls: usize,
    /// Incoming connections from workers and users.
    callers: usize,
    /// Part of `callers` that may be used by clients other than workers.
    users: usize,
    /// Incoming connections from other controllers.
    controllers: usize,
}

impl SocketLimits {
    fn new(max_connections: usize) -> Self {
        SocketLimits {
            calls: max_connections / 5,
            callers: max_connections * 5 / 8,
            users: max_connections / 4,
            controllers: max_connections / 8,
        }
    }
}

/// Runs a controller until one of its listening sockets fails.
pub fn run(settings: Settings, options: Options) -> Result<()> {
    let executor = Rc::new(PriorityExecutor::default());
    let shares = SocketLimits::new(settings.cluster.quota.max_connections);
    let node = Rc::new(Node::new(settings, options, executor.clone(), &shares));
    async_io::block_on(executor.run(async {
        node.spawn_loops();
        node.listen(&shares).await
    }))
}

impl Node {
    fn new(
        settings: Settings,
        options: Options,
        executor: Rc<PriorityExecutor>,
        shares: &SocketLimits,
    ) -> Self {
        let peer_names: Vec<&str> = settings.peers.iter().map(|p| p.name.as_str()).collect();
        let failure_detector = FailureDetector::new(&settings.name, &peer_names);
        let bounds = SafetyBounds::from_worker_settings(&settings.cluster.workers);
        let election = Election::new(
            &settings.name,
            fastrand::u64(1..(1 << INCARNATION_BITS)),
            bounds,
            0,
        );
        Node {
            budgets: budgets::Budgets::new(&settings),
            settings: Rc::new(settings),
            options,
            executor,
            started: Instant::now(),
            http: Client::new(shares.calls),
            peers: PeerClient::default(),
            failure_detector: RefCell::new(failure_detector),
            election: RefCell::new(election),
            exclusions: RefCell::default(),
            leadership: leadership::LeadershipStatus::default(),
            leader: RefCell::new(None),
            standby: standby::Standby::default(),
            in_flight: control_loop::InFlightOperations::default(),
            machine_types: RefCell::new(Vec::new()),
            state_answered_at: Cell::new(None),
            upgrade: upgrade::Upgrade::default(),
            polls: polls::Polls::new(shares.users),
            final_states: RefCell::default(),
            dependency_reads: dependency_reads::DependencyReads::new(DependencyEvidence::new(
                &bounds,
            )),
            heartbeats: heartbeats::Heartbeats::default(),
            last_cluster_status: RefCell::new(None),
            metrics: RefCell::new(metrics::Metrics::new()),
            audit_log: audit_log::AuditLog::default(),
            wake: signals::WakeSignal::default(),
        }
    }

    fn spawn_loops(self: &Rc<Self>) {
        let executor = &self.executor;
        let high = [
            executor.spawn_high(leadership::run(self.clone())),
            executor.spawn_high(control_loop::run(self.clone())),
            executor.spawn_high(cloud::refresh_machine_types(self.clone())),
            executor.spawn_high(peers::run_probes(self.clone())),
            executor.spawn_high(exclusions::run(self.clone())),
            executor.spawn_high(upgrade::run(self.clone())),
        ];
        let low = [
            executor.spawn_low(polls::run_leader_polls(self.clone())),
            executor.spawn_low(poll_records::run_record_polls(self.clone())),
        ];
        high.into_iter().chain(low).for_each(Task::detach);
    }

    /// Serves controllers, workers and users until either listening socket fails.
    async fn listen(self: &Rc<Self>, shares: &SocketLimits) -> Result<()> {
        let node = self.clone();
        let controllers = self.executor.spawn_high(frames::serve(
            self.executor.clone(),
            self.settings.peer_listen,
            shares.controllers,
            move |request| node.clone().handle_peer_request(request),
        ));
        let limits = server::Limits {
            connections: shares.callers,
            others: shares.users,
            first: HEARTBEAT_PATH,
        };
        let node = self.clone();
        let callers = self.executor.spawn_high(server::serve(
            self.executor.clone(),
            self.settings.listen,
            limits,
            move |request| node.clone().handle_http(request),
        ));
        log::info!(
            "controller {} listens on {} for workers and users, and on {} for controllers",
            self.settings.name,
            self.settings.listen,
            self.settings.peer_listen
        );
        let controllers = async {
            controllers
                .await
                .context("failed to listen for controllers (setting `back`)")
        };
        let callers = async {
            callers
                .await
                .context("failed to listen for workers and users (setting `listen`)")
        };
        futures_lite::future::or(controllers, callers).await
    }
}

impl Node {
    /// Returns the milliseconds since the process started, by the monotonic clock.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Returns the milliseconds since the Unix epoch. Used only in records and in
    /// output for users, as the wall clock may jump.
    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Runs `f` on the leader's state if this process has authority at this moment;
    /// otherwise returns `None`.
    fn with_authority<T>(&self, f: impl FnOnce(&mut Leader, Millis) -> T) -> Option<T> {
        let term = self.election.borrow().authority(self.now())?;
        self.in_term(term, f)
    }

    /// Adjusts the request budgets to this node's current role in the election.
    fn update_budgets(&self) {
        let role = {
            let election = self.election.borrow();
            match (election.leadership(), &election.observed_leader) {
                (Some(_), _) => Role::Leader,
                (None, Some(_)) => Role::Follower,
                (None, None) => Role::NoLeader,
            }
        };
        self.budgets.set_role(role, &self.settings, self.now());
    }

    /// Runs `f` on the leader's state of `term`, whether or not authority still holds;
    /// returns `None` once that term is over. Used to apply the results of operations
    /// that began with authority.
    fn in_term<T>(&self, term: u64, f: impl FnOnce(&mut Leader, Millis) -> T) -> Option<T> {
        let now = self.now();
        let mut leader = self.leader.borrow_mut();
        let leader = leader.as_mut().filter(|l| l.term == term)?;
        let result = f(leader, now);
        if leader.has_work() {
            self.wake.notify();
        }
        Some(result)
    }

    async fn handle_http(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        let kind = match route(&request.method, &request.path) {
            Route::Ready => return self.ready(),
            Route::Metrics => return self.metrics(),
            Route::Heartbeat => return self.handle_heartbeat(request.body).await,
            Route::User(kind) => kind,
            Route::MethodNotAllowed => return HttpResponse::error(405, "method not allowed"),
            Route::NotFound => return HttpResponse::error(404, "no such path"),
        };
        let Some(body) = request.body else {
            return HttpResponse::error(400, "request body is incomplete or larger than 64 KiB");
        };
        let began = Instant::now();
        let response = self
            .handle_user_request(request.method.as_ref(), &request.path, body)
            .await;
        let seconds = began.elapsed().as_secs_f64();
        self.metrics.borrow().observe_answer_time(kind, seconds);
        response
    }

    fn ready(&self) -> HttpResponse {
        let now = self.now();
        let answered_recently = self
            .state_answered_at
            .get()
            .is_some_and(|at| now < at + READY_AFTER_ANSWER_MS);
        if answered_recently || self.election.borrow().authority(now).is_some() {
            HttpResponse::json(200, &serde_json::json!({ "ready": true }))
        } else {
            HttpResponse::later("the state service is unreachable")
        }
    }
}

/// The handler of an HTTP request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route {
    Ready,
    Metrics,
    Heartbeat,
    /// A user's request, with the value of its `request` label in the metrics.
    User(&'static str),
    MethodNotAllowed,
    NotFound,
}

fn route(method: &Method, path: &str) -> Route {
    let (allowed_method, route) = match path {
        "/ready" => (Method::Get, Route::Ready),
        metrics::PATH => (Method::Get, Route::Metrics),
        HEARTBEAT_PATH => (Method::Post, Route::Heartbeat),
        "/v1/jobs" => (Method::Post, Route::User("submit")),
        _ => {
            let Some(rest) = path.strip_prefix("/v1/jobs/") else {
                return Route::NotFound;
            };
            match rest.strip_suffix("/abort") {
                Some(id) if !id.contains('/') => (Method::Post, Route::User("abort")),
                None if !rest.contains('/') && !rest.is_empty() => {
                    (Method::Get, Route::User("poll"))
                }
                _ => return Route::NotFound,
            }
        }
    };
    if *method == allowed_method {
        route
    } else {
        Route::MethodNotAllowed
    }
}
