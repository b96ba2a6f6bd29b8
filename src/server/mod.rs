//! One controller process: binds decisions to sockets and the clock. It has
//! one thread and one executor; state is shared through `RefCell`s that are
//! never held across an await.

mod audit_log;
mod client_api;
mod cloud;
mod control_loop;
mod exclusions;
mod heartbeats;
mod leadership;
mod market;
mod metrics;
mod peers;
mod polls;
mod standby;
mod status;
mod store;
mod upgrade;

use crate::{
    control::{
        election::Election, exclusions::Exclusions, failure_detector::FailureDetector,
        heartbeat_relay::HeartbeatRelays, leader::Leader, polls::FinalStates,
        safety_bounds::SafetyBounds, standby::replica::ReplicaReceiver,
    },
    options::Options,
    protocol::{cloud::MachineType, settings::Settings},
    state::{
        Millis,
        rate_limit::{
            TokenBucket,
            share::{self, Role},
        },
        records::StandbyRecord,
    },
    transport::{
        client::Client,
        frames::{self, PeerClient},
        priority_executor::PriorityExecutor,
        server::{self, HttpRequest, HttpResponse},
    },
};
use anyhow::{Context, Result};
use http_types::Method;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT_PATH: &str = "/agent/beat";
/// For how many seconds' worth of requests a budget may be saved.
const BURST_S: f64 = 0.9;

pub struct Node {
    settings: Rc<Settings>,
    options: Options,
    executor: Rc<PriorityExecutor>,
    start: Instant,
    http: Client,
    peers: PeerClient,
    failure_detector: RefCell<FailureDetector>,
    election: RefCell<Election>,
    exclusions: RefCell<Exclusions>,
    leader: RefCell<Option<Leader>>,
    /// What this node keeps as a standby.
    replica_receiver: RefCell<ReplicaReceiver>,
    /// The record of standbys, as read since nobody leads.
    last_standby_record: RefCell<Option<StandbyRecord>>,
    state_requests: RefCell<TokenBucket>,
    state_writes: RefCell<TokenBucket>,
    cloud_requests: RefCell<TokenBucket>,
    machine_types: RefCell<Vec<MachineType>>,
    /// When the state service last answered.
    state_answered_at: Cell<Option<Millis>>,
    /// While it leads: the last renewal failed.
    renewals_failing: Cell<bool>,
    /// When and why it last gave up leadership.
    last_step_down: Cell<Option<(Millis, leadership::StepDownReason)>>,
    write_in_flight: Cell<bool>,
    lookup_in_flight: Cell<bool>,
    /// Changes that a transaction may hold, since one was rejected.
    max_txn_changes: Cell<usize>,
    upgrade: upgrade::Upgrade,
    list_in_flight: Cell<bool>,
    /// Polls that wait for the leader, and those that wait for the records.
    leader_polls: polls::PollQueue,
    record_polls: polls::PollQueue,
    /// Final states that this node has learned while it did not lead.
    final_states: RefCell<FinalStates>,
    /// When a report was last answered.
    last_heartbeat: Cell<Millis>,
    heartbeat_relays: RefCell<HeartbeatRelays>,
    last_cluster_status: RefCell<status::LastClusterStatus>,
    metrics: RefCell<metrics::Metrics>,
    audit_log: audit_log::AuditLog,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

pub fn run(settings: Settings, options: Options) -> Result<()> {
    let executor = Rc::new(PriorityExecutor::default());
    let mut limits = settings.cluster.clone();
    limits.state = limits.state.always();
    let sockets = limits.quota.max_connections;
    let nodes = settings.peers.len() + 1;
    let users = sockets / 4;
    let names: Vec<&str> = settings.peers.iter().map(|p| p.name.as_str()).collect();
    let failure_detector = FailureDetector::new(&settings.name, &names);
    let node = Rc::new(Node {
        election: RefCell::new(Election::new(
            &settings.name,
            fastrand::u64(1..(1 << 53)),
            SafetyBounds::of(&settings.cluster.workers),
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
        failure_detector: RefCell::new(failure_detector),
        exclusions: RefCell::default(),
        leader: RefCell::new(None),
        replica_receiver: RefCell::default(),
        last_standby_record: RefCell::default(),
        state_requests: RefCell::new(TokenBucket::new(
            limits.state.rps * share::of_requests(Role::Leaderless, nodes),
            BURST_S,
        )),
        state_writes: RefCell::new(TokenBucket::new(
            limits.state.write_rps * share::of_changes(Role::Leaderless, nodes),
            BURST_S,
        )),
        cloud_requests: RefCell::new(TokenBucket::new(limits.cloud.rps * 0.8, 1.0)),
        machine_types: RefCell::new(Vec::new()),
        state_answered_at: Cell::new(None),
        renewals_failing: Cell::new(false),
        last_step_down: Cell::new(None),
        write_in_flight: Cell::new(false),
        lookup_in_flight: Cell::new(false),
        max_txn_changes: Cell::new(usize::MAX),
        upgrade: upgrade::Upgrade::default(),
        list_in_flight: Cell::new(false),
        leader_polls: polls::PollQueue::new(users),
        record_polls: polls::PollQueue::new(2 * users),
        final_states: RefCell::default(),
        last_heartbeat: Cell::new(0),
        heartbeat_relays: RefCell::new(HeartbeatRelays::default()),
        last_cluster_status: RefCell::new(None),
        metrics: RefCell::new(metrics::Metrics::new()),
        audit_log: audit_log::AuditLog::default(),
        wake: async_channel::bounded(1),
    });
    async_io::block_on(executor.run(async {
        executor.spawn_high(leadership::run(node.clone())).detach();
        executor
            .spawn_high(control_loop::run(node.clone()))
            .detach();
        executor.spawn_high(cloud::types(node.clone())).detach();
        executor.spawn_high(peers::watch(node.clone())).detach();
        executor.spawn_high(exclusions::run(node.clone())).detach();
        executor.spawn_high(upgrade::run(node.clone())).detach();
        executor.spawn_low(polls::ask_leader(node.clone())).detach();
        executor
            .spawn_low(polls::ask_records(node.clone()))
            .detach();
        let n = node.clone();
        let back = executor.spawn_high(frames::serve(
            executor.clone(),
            node.settings.peer_listen,
            sockets / 8,
            move |request| n.clone().peer(request),
        ));
        let n = node.clone();
        // The rest is for connections to workers, peers and services.
        let limits = server::Limits {
            connections: sockets * 5 / 8,
            others: users,
            first: HEARTBEAT_PATH,
        };
        let listen = executor.spawn_high(server::serve(
            executor.clone(),
            node.settings.listen,
            limits,
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
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// Runs `f` on the leader's state if this process may act right now.
    fn acting<T>(&self, f: impl FnOnce(&mut Leader, Millis) -> T) -> Option<T> {
        let term = self.election.borrow().authority(self.now())?;
        self.of_term(term, f)
    }

    /// What this node may ask of the state service, as it leads or not.
    fn set_shares(&self) {
        let role = {
            let election = self.election.borrow();
            match (election.leadership(), &election.observed_leader) {
                (Some(_), _) => Role::Leads,
                (None, Some(_)) => Role::Follows,
                (None, None) => Role::Leaderless,
            }
        };
        let (now, limits) = (self.now(), self.settings.cluster.state.always());
        let nodes = self.settings.peers.len() + 1;
        let rate = limits.rps * share::of_requests(role, nodes);
        self.state_requests
            .borrow_mut()
            .set_rate(now, rate, BURST_S);
        let rate = limits.write_rps * share::of_changes(role, nodes);
        self.state_writes.borrow_mut().set_rate(now, rate, BURST_S);
    }

    /// The leader's state, for results of what was begun with authority.
    fn of_term<T>(&self, term: u64, f: impl FnOnce(&mut Leader, Millis) -> T) -> Option<T> {
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
            HEARTBEAT_PATH if post => return self.handle_heartbeat(request.body).await,
            "/v1/jobs" if post => {}
            "/ready" | metrics::PATH | HEARTBEAT_PATH | "/v1/jobs" => {
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
        self.metrics.borrow().answered(kind, seconds);
        answer
    }

    fn ready(&self) -> HttpResponse {
        let now = self.now();
        let fresh = self
            .state_answered_at
            .get()
            .is_some_and(|at| now < at + 3000);
        if fresh || self.election.borrow().authority(now).is_some() {
            HttpResponse::json(200, &serde_json::json!({ "ready": true }))
        } else {
            HttpResponse::later("the state service can't be reached")
        }
    }
}
