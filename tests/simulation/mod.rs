//! Deterministic simulation of a whole cluster in one thread, in steps of
//! `STEP` milliseconds of simulated time, with one seeded random generator.
//!
//! Simulated here, written from the protocol: users (`users`, `requests`), the
//! state service (`store`), the cloud and the network (`nodes`, `net`), and the
//! machines' agents (`workers`). Of the controllers the decisions are the
//! program's own (`control` and `state` of the library); `nodes`, `election` and
//! `standbys` stand in for the I/O loops of `server` around them.
//!
//! Faults: messages that are lost, held, refused, delayed or duplicated;
//! transactions without an answer or applied late; controllers that crash,
//! pause or are partitioned; machines that pause, restart or fail.
//!
//! Not simulated: sockets, framing, TLS, threads, disks and clocks that drift
//! apart. The testbed runs of `scale_run` cover real processes.
//!
//! The invariants are checked at every step, whatever the test asserts:
//! `check` looks at tasks on machines, quotas and cancellations, `standbys` at
//! what registered standbys know, `answers` at the answers that users get. What
//! they find collects in `Simulation::violations`, which each test asserts to
//! be empty.
#![allow(dead_code)]

mod answers;
mod check;
mod election;
mod fixtures;
mod lookups;
mod net;
mod nodes;
mod request_budgets;
mod requests;
mod standbys;
mod store;
mod users;
mod workers;

#[allow(unused_imports)]
pub use fixtures::{
    dependent, id, job, machine_record, many_types, settings, types, whole_machines,
};
pub use net::{Cut, CutScope, Endpoint, Link, Net};
pub use store::Store;
// Not used by every test file.
#[allow(unused_imports)]
pub use users::UserRequest;

use fastrand::Rng;
use net::Msg;
use pathwinch::{
    control::{
        acceptance_feed::{self, AcceptanceFeed},
        dependency_evidence::DependencyEvidence,
        election::{
            CAMPAIGN_STEP_TIMEOUT_MS, Election, LEASE_TTL_MS, PROMISE_CHECK_TIMEOUT_MS, PROMISE_MS,
            PromiseOutcome, PromiseResponse, RENEWAL_TIMEOUT_MS,
        },
        exclusions::{self, Exclusions, Step, exclusion_txn, readmission_txn},
        failure_detector::{FailureDetector, PeerHealth, RedirectTarget},
        final_states::FinalStates,
        heartbeat_relay::HeartbeatRelays,
        leader::{CloudOp, DirectDelivery, DirectDeliveryOutcome, Leader, WritePlan},
        requests::{Answer, TxnResult, final_status},
        safety_bounds::SafetyBounds,
        standby::{RegistryWriteOutcome, replica::ReplicaReceiver},
    },
    options::Options,
    protocol::{
        peers::ReplicationPart,
        settings::{NextLimits, Peer, Settings},
        state::{Condition, Txn, Write},
        users::{JobSpec, JobState, JobStatus, Kind},
        workers::{
            Command, DirectCommands, ExitReason, Heartbeat, HeartbeatResponse, TaskState,
            TaskStatus,
        },
    },
    state::{
        Millis,
        cluster::DIRECT_COMMAND_TIMEOUT_MS,
        rate_limit::TokenBucket,
        records::{self, FinalRecord, LEADER, MachineRecord, StoredJob, TaskBitmap},
        spec_chunks::SPEC_CHUNKS,
    },
};
use request_budgets::NodeRequests;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};
use users::UserTraffic;

pub const STEP: Millis = 50;
pub const LEASE: Millis = 10_000;
pub const CANCEL: Millis = 35_000;

pub struct Node {
    pub alive: bool,
    pub back_at: Millis,
    /// The process is paused until then.
    pub paused_until: Millis,
    pub election: Election,
    pub leader: Option<Leader>,
    pub follower: ReplicaReceiver,
    /// Replication parts that await an answer of each node, by stream and number.
    parts_in_flight: Vec<Option<(u64, u64)>>,
    /// A write of the standby registry had no answer: it is reread then.
    registry_reread_at: Option<Millis>,
    /// Its position in the feed of jobs that followers accepted, while it leads.
    acceptance_feed: Option<AcceptanceFeed>,
    /// A new leader has read the records by then.
    records_read_at: Millis,
    pub failure_detector: FailureDetector,
    pub exclusions: Exclusions,
    next_exclusion_step: Millis,
    heartbeat_relays: HeartbeatRelays,
    final_states: FinalStates,
    dependency_evidence: Option<DependencyEvidence>,
    /// Its share of the requests a second, where those are limited.
    request_budget: Option<NodeRequests>,
    next_election_step: Millis,
    next_relay_request: Millis,
    last_heartbeat: Millis,
    flush_at: Millis,
    /// A write plan whose transaction is applied, and when its answer comes.
    flushing: Option<(Millis, WritePlan, TxnResult)>,
    /// A write plan whose transaction had no answer, and when it is reread.
    indeterminate: Option<(Millis, WritePlan)>,
    /// Reads of records that it awaits as leader.
    reads: lookups::ReadsInFlight,
    /// Since when a probe of each peer has no answer.
    probes_open_since: Vec<Option<Millis>>,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: TaskState,
    pub exit_reason: Option<ExitReason>,
    pub until: Millis,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub alive: bool,
    pub net: Net,
    pub incarnation: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    lease_renewed_at: Millis,
    next_election_step: Millis,
    sent: Millis,
    report_due: bool,
    target: usize,
    /// Every task that starts on it fails.
    pub fails_tasks: bool,
    heartbeat_in_flight: Option<(u64, Millis)>,
    boots_at: Millis,
    paused_until: Millis,
}

pub struct Simulation {
    pub now: Millis,
    pub rng: Rng,
    pub settings: Rc<Settings>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub specs: HashMap<String, JobSpec>,
    /// Jobs whose users asked to cancel them.
    cancelling: BTreeSet<String>,
    /// When jobs were accepted.
    submitted: HashMap<String, Millis>,
    pub answered: HashMap<String, (JobState, Millis)>,
    in_transit: Vec<(Millis, Msg)>,
    held: Vec<Msg>,
    cuts: Vec<(usize, CutScope, Cut)>,
    /// What this node sends now leaves it only then: the process is paused between
    /// its last check and the network.
    paused_sender: Option<(usize, Millis)>,
    /// Longest latency of the answer to a leader's write.
    pub write_latency_ms: Millis,
    /// How the leader's reads of records go wrong.
    pub read_faults: lookups::ReadFaults,
    /// How long a new leader takes to read the records.
    pub load_ms: Millis,
    /// Heartbeats that a node relayed, by worker and sequence number.
    relaying: BTreeSet<(usize, u64)>,
    late_ops: Vec<(Millis, usize, u64, CloudOp)>,
    /// Percentage of heartbeats that are delivered once more, up to 30 s late.
    pub duplicate_percent: u32,
    /// Some heartbeats are kept and replayed to the next leader.
    pub keep_for_next_leader: bool,
    kept_heartbeats: Vec<(usize, Heartbeat)>,
    /// Kept heartbeats that were replayed to a new leader.
    pub replayed: u32,
    /// Extra delay of all messages between a worker and the controllers.
    pub slow_links: HashMap<usize, Millis>,
    /// How long a machine that the cloud grants takes to boot.
    pub boot_ms: Millis,
    /// Since when each job has waited beside capacity that fits it.
    waiting_since: HashMap<String, Millis>,
    pub fault_free: bool,
    /// Direct commands without an answer: node, term, machine, token.
    directs: BTreeSet<(usize, u64, String, u64)>,
    /// Extra delay of direct commands to a worker.
    pub direct_command_delay: HashMap<usize, Millis>,
    pub violations: Vec<String>,
    pub starts: u32,
    /// Tasks that failed on sick machines, or of faulty jobs.
    pub failed: u32,
    /// Jobs submitted with a mistake: their tasks fail wherever they start.
    pub faulty: BTreeSet<String>,
    /// Tasks killed by lease expiry at their worker.
    pub expired_tasks: usize,
    /// Machines returned to the cloud.
    pub returned: Vec<String>,
    /// Machines asked of the cloud.
    pub machines_requested: u32,
    /// How often a node became leader.
    pub terms: u32,
    pub finished: BTreeSet<String>,
    pub run_ms: Millis,
    pub fetch_ms: Millis,
    /// Fault injection for the checker's own test: a new leader does not wait
    /// for leases that may still run.
    pub skip_lease_wait: bool,
    pub cloud_grants: bool,
    /// The option of this name: the bound on the wait of large jobs.
    pub begin_s: f64,
    /// Every task start: when, on which worker, which task.
    pub start_log: Vec<(Millis, usize, String)>,
    /// Not every node is known to run this version.
    pub mixed_versions: bool,
    /// Nodes keep standbys warm.
    pub standbys: bool,
    /// Percentage of replication parts that are lost, and of those that arrive
    /// twice.
    pub replication_loss_percent: u32,
    /// Answers to renewals that are on their way: when, to whom, of which
    /// lease, sent when.
    renewals: Vec<(Millis, usize, u64, Millis)>,
    /// Leaders that stepped down as they could not show that they know of all
    /// cancellations.
    pub uninformed_step_downs: u32,
    /// Nodes of a version without standbys and without evidence beside promises.
    pub old_version_nodes: BTreeSet<usize>,
    /// Failovers to a warm standby.
    pub warm_failovers: u32,
    /// Fault injection for the checker's own test: a standby acknowledges an
    /// update of a machine, and loses it.
    pub replica_loses_updates: bool,
    /// Users' requests in flight, and the answers that were given.
    pub traffic: UserTraffic,
    /// Remaining write budget of each node, where writes are limited, and the
    /// writes a second.
    budgets: Vec<TokenBucket>,
    write_rate: f64,
    /// Requests a second that the state service takes, if that is limited.
    request_rate: Option<f64>,
    /// Tasks that started after a user had been answered that their job is
    /// cancelled.
    pub started_after_cancellation: u32,
    /// Nodes in the second zone.
    pub zone_b_nodes: BTreeSet<usize>,
    /// The machine types are not known yet.
    pub types_unknown: bool,
}

impl Simulation {
    /// The same with three controllers.
    pub fn new(seed: u64, machines: usize, cpus_max: f64) -> Simulation {
        Self::with_nodes(seed, machines, cpus_max, 3)
    }

    /// A cluster of `nodes` controllers before its first election.
    pub fn with_nodes(seed: u64, machines: usize, cpus_max: f64, nodes: usize) -> Simulation {
        let settings = Rc::new(settings(cpus_max));
        let mut w = Simulation {
            now: 10_000,
            rng: Rng::with_seed(seed),
            settings,
            store: Store::default(),
            nodes: Vec::new(),
            workers: Vec::new(),
            specs: HashMap::new(),
            cancelling: BTreeSet::new(),
            submitted: HashMap::new(),
            answered: HashMap::new(),
            in_transit: Vec::new(),
            held: Vec::new(),
            cuts: Vec::new(),
            paused_sender: None,
            write_latency_ms: 0,
            read_faults: lookups::ReadFaults::from_environment(),
            load_ms: 0,
            relaying: BTreeSet::new(),
            late_ops: Vec::new(),
            duplicate_percent: 0,
            keep_for_next_leader: false,
            kept_heartbeats: Vec::new(),
            replayed: 0,
            slow_links: HashMap::new(),
            boot_ms: 5_000,
            waiting_since: HashMap::new(),
            fault_free: false,
            directs: BTreeSet::new(),
            direct_command_delay: HashMap::new(),
            violations: Vec::new(),
            starts: 0,
            failed: 0,
            faulty: BTreeSet::new(),
            expired_tasks: 0,
            returned: Vec::new(),
            machines_requested: 0,
            terms: 0,
            finished: BTreeSet::new(),
            run_ms: 6_000,
            fetch_ms: 300,
            skip_lease_wait: false,
            cloud_grants: false,
            begin_s: Options::default().begin_s,
            start_log: Vec::new(),
            mixed_versions: false,
            standbys: true,
            replication_loss_percent: 0,
            renewals: Vec::new(),
            uninformed_step_downs: 0,
            old_version_nodes: BTreeSet::new(),
            warm_failovers: 0,
            replica_loses_updates: false,
            traffic: UserTraffic::default(),
            budgets: Vec::new(),
            write_rate: 0.0,
            request_rate: None,
            started_after_cancellation: 0,
            zone_b_nodes: BTreeSet::new(),
            types_unknown: false,
        };
        for i in 0..nodes {
            let node = w.started_node(i, nodes);
            w.nodes.push(node);
        }
        for i in 0..machines {
            w.add_worker(if i % 2 == 0 { "a" } else { "b" }, false, 0);
        }
        w
    }

    /// Teams have limits of their own, from the beginning.
    pub fn with_team_limits(mut self, limits: &[(&str, f64)]) -> Simulation {
        let mut settings = (*self.settings).clone();
        for team in &mut settings.cluster.teams {
            if let Some((_, most)) = limits.iter().find(|(name, _)| *name == team.name) {
                team.cpus_max = *most;
            }
        }
        self.settings = Rc::new(settings);
        self
    }

    fn started_node(&mut self, i: usize, nodes: usize) -> Node {
        let names: Vec<String> = (0..nodes).map(|j| format!("n{j}")).collect();
        let peers: Vec<&str> = peers_of(i, nodes).map(|j| names[j].as_str()).collect();
        Node {
            alive: true,
            back_at: 0,
            paused_until: 0,
            election: Election::new(
                &names[i],
                self.rng.u64(1..1 << 50),
                SafetyBounds::of(&self.settings.cluster.workers),
                self.now,
            ),
            leader: None,
            follower: ReplicaReceiver::default(),
            parts_in_flight: vec![None; nodes],
            registry_reread_at: None,
            acceptance_feed: None,
            records_read_at: 0,
            failure_detector: FailureDetector::new(&names[i], &peers),
            exclusions: Exclusions::default(),
            next_exclusion_step: 0,
            heartbeat_relays: HeartbeatRelays::default(),
            final_states: FinalStates::default(),
            dependency_evidence: Some(DependencyEvidence::new(&SafetyBounds::of(
                &self.settings.cluster.workers,
            ))),
            next_election_step: self.now,
            next_relay_request: 0,
            last_heartbeat: 0,
            flush_at: 0,
            flushing: None,
            indeterminate: None,
            reads: lookups::ReadsInFlight::default(),
            request_budget: self.new_request_budget(),
            probes_open_since: vec![None; nodes],
        }
    }

    /// Adds a machine that is up after `boot`; returns its name.
    pub fn add_worker(&mut self, zone: &str, spot: bool, boot: Millis) -> String {
        let name = format!("i-{:06}", self.workers.len());
        self.workers.push(Worker {
            name: name.clone(),
            zone: zone.into(),
            spot,
            alive: true,
            net: Net::Up,
            incarnation: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            lease_renewed_at: self.now + boot,
            next_election_step: self.now + boot,
            sent: 0,
            report_due: false,
            target: 0,
            fails_tasks: false,
            heartbeat_in_flight: None,
            boots_at: self.now + boot,
            paused_until: 0,
        });
        name
    }

    /// All nodes are in zone `a` but for those in `zone_b_nodes`.
    fn zone_of(&self, i: usize) -> &'static str {
        if self.zone_b_nodes.contains(&i) {
            "b"
        } else {
            "a"
        }
    }

    /// The node that may act as leader and has read the records.
    pub fn leader(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.nodes.len()).find(|i| {
            let n = &self.nodes[*i];
            n.alive
                && n.election.authority(now).is_some()
                && n.leader.as_ref().is_some_and(|l| l.loaded())
        })
    }

    /// The settings announce lower limits of the state service.
    pub fn announce_lower_limits(&mut self) {
        let mut settings = (*self.settings).clone();
        settings.cluster.state.next = Some(NextLimits {
            value_kb: Some(2.0),
            txn_ops: Some(4),
            write_rps: Some(15.0),
            rps: None,
        });
        self.settings = Rc::new(settings);
    }

    /// The lower limits that were announced take effect.
    pub fn apply_lower_limits(&mut self) {
        (self.store.txn_ops, self.store.value) = (4, 2048);
    }

    /// A cluster of three nodes that has elected a leader.
    pub fn with_leader(seed: u64, machines: usize, limit: f64) -> Simulation {
        let mut w = Simulation::new(seed, machines, limit);
        w.run_until(10_000, "a leader", |w| w.leader().is_some());
        w
    }

    /// How many tasks of the job run, on all machines.
    pub fn running(&self, id: &str) -> usize {
        self.workers
            .iter()
            .flat_map(|w| &w.tasks)
            .filter(|t| t.state == TaskState::Running && t.name.starts_with(id))
            .count()
    }

    /// Whether the job's final record is written.
    pub fn done(&self, id: &str) -> bool {
        self.store.kv.contains_key(&records::final_key(id))
    }

    // ---- time ----

    /// Runs for `ms`.
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `f` holds, for at most `ms`; else panics with the leader's
    /// state, `what` naming the condition.
    pub fn run_until(&mut self, ms: Millis, what: &str, f: impl Fn(&mut Simulation) -> bool) {
        let end = self.now + ms;
        while self.now < end {
            if f(self) {
                return;
            }
            self.step();
        }
        self.print_leader();
        panic!(
            "did not come about in {ms} ms: {what}; broken: {:?}",
            self.violations
        );
    }

    /// Prints the leader's view of jobs and machines, for a run that failed.
    fn print_leader(&mut self) {
        if let Some(i) = self.leader() {
            let l = self.nodes[i].leader.as_ref().unwrap();
            for j in l.cluster.jobs.values() {
                eprintln!(
                    "{} done {} live {} waiting {} writing {} dirty {} version {} cancelled {} wanted {} backoff {} (now {}) settled {}",
                    j.id,
                    j.completed_count,
                    j.live_count,
                    j.waiting_count(),
                    j.write_in_flight,
                    j.is_dirty(),
                    j.record_version,
                    j.cancelled,
                    j.cancel_requested,
                    j.backoff_until,
                    self.now,
                    l.settled()
                );
            }
            for m in l.cluster.each_machine() {
                eprintln!(
                    "{} up {} unknown {} roster {:?} v {} writing {} releasing {} tasks {:?}",
                    m.name,
                    m.up,
                    m.contents_unknown,
                    m.registration,
                    m.record_version,
                    m.write_in_flight,
                    m.releasing,
                    m.tasks
                );
            }
            eprintln!("unclear {}", self.nodes[i].indeterminate.is_some());
        } else {
            eprintln!("nobody leads");
        }
    }

    /// Panics if the checkers found a violation so far.
    pub fn assert_no_violations(&self) {
        assert!(
            self.violations.is_empty(),
            "rules broken: {:?}",
            self.violations
        );
    }

    /// One step of time: the store, the cloud, the network, users' requests, the
    /// nodes, the workers, and then the checks.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.store.advance(now);
        self.step_cloud();
        let due: Vec<(Millis, Msg)>;
        (due, self.in_transit) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        for (_, msg) in due {
            self.deliver(msg);
        }
        self.step_requests();
        for i in 0..self.nodes.len() {
            self.step_node(i);
        }
        for i in 0..self.workers.len() {
            self.step_worker(i);
        }
        self.check();
        self.check_replicas();
    }
}

/// The other nodes, in the order of a node's peers.
fn peers_of(i: usize, nodes: usize) -> impl Iterator<Item = usize> {
    (0..nodes).filter(move |j| *j != i)
}
