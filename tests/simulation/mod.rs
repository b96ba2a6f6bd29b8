//! Deterministic simulation of a whole cluster in one thread, in steps of `STEP`
//! milliseconds of simulated time, with one seeded random generator.
//!
//! Reimplemented here from the protocol: users (`users`, `requests`), the state service
//! (`store`), the cloud and the network (`nodes`, `net`), and the machines' agents
//! (`workers`). The controllers' decisions are made by the product's own code (`control`
//! and `state` of the library); `nodes`, `election` and `standbys` replace the I/O loops of
//! `server` around that code.
//!
//! Faults that can be injected: messages that are lost, held, refused, delayed or
//! duplicated; direct commands that arrive again after they were answered; transactions without an answer or applied late; controllers that crash,
//! pause or are partitioned; machines that pause, restart or fail.
//!
//! Not simulated: sockets, framing, TLS, threads, disks and clock drift. The testbed runs of
//! `scale_run` cover real processes.
//!
//! The invariants are checked at every step, independent of what the test asserts: `check`
//! covers tasks on machines, quotas and cancellations, `standbys` the replicas of registered
//! standbys, `answers` the answers that users get. Violations collect in
//! `Simulation::violations`, which each test asserts to be empty.
//!
//! Nodes and workers are identified by their indices in `Simulation::nodes` and
//! `Simulation::workers`; a peer is identified by its index among the other nodes
//! (`peers_of`).
#![allow(dead_code)]

mod answers;
mod check;
mod duplicate_commands;
mod election;
mod fixtures;
mod lookups;
mod net;
mod nodes;
mod request_budgets;
mod requests;
mod standbys;
mod store;
mod trace;
mod users;
mod workers;

#[allow(unused_imports)]
pub use fixtures::{
    dependent, id, job, machine_record, many_types, settings, types, whole_machines,
};
pub use net::{Cut, CutScope, Endpoint, Link, Net};
pub use store::Store;
// Not every test file uses this import.
#[allow(unused_imports)]
pub use users::UserRequest;

use duplicate_commands::CommandDuplicates;
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

/// Duration of one step of the simulation.
pub const STEP: Millis = 50;
/// Lease of a worker, `lease_s` of the settings.
pub const LEASE: Millis = 10_000;
/// Time limit for a cancellation to take effect, `cancel_s` of the settings.
pub const CANCEL: Millis = 35_000;

/// A controller: the state of its process.
pub struct Node {
    pub alive: bool,
    /// Time of the restart after a crash.
    pub restart_at: Millis,
    /// Time until which the process is paused; 0 if the process is not paused.
    pub paused_until: Millis,
    pub election: Election,
    pub leader: Option<Leader>,
    /// Receives the leader's replication while the node is a standby.
    pub follower: ReplicaReceiver,
    /// Replication part, by stream and number, that awaits the answer of each node.
    parts_in_flight: Vec<Option<(u64, u64)>>,
    /// Time at which the standby registry is reread, after a write of it had no answer.
    registry_reread_at: Option<Millis>,
    /// Position in the feed of jobs that followers accepted, while the node leads.
    acceptance_feed: Option<AcceptanceFeed>,
    /// Time at which a new leader has read the records.
    records_read_at: Millis,
    pub failure_detector: FailureDetector,
    pub exclusions: Exclusions,
    next_exclusion_step: Millis,
    heartbeat_relays: HeartbeatRelays,
    final_states: FinalStates,
    dependency_evidence: Option<DependencyEvidence>,
    /// The node's share of the requests per second, if a test limits them.
    request_budget: Option<NodeRequests>,
    next_election_step: Millis,
    next_relay_request: Millis,
    /// Time at which the node, as leader, last answered a heartbeat.
    last_heartbeat: Millis,
    /// Time of the next flush of the leader's writes.
    flush_at: Millis,
    /// A write plan whose transaction has been applied, and the time its answer arrives.
    flushing: Option<(Millis, WritePlan, TxnResult)>,
    /// A write plan whose transaction had no answer, and the time its keys are reread.
    indeterminate: Option<(Millis, WritePlan)>,
    /// Reads of records in flight, while the node leads.
    reads: lookups::ReadsInFlight,
    /// Send time of the unanswered probe of each node.
    probes_open_since: Vec<Option<Millis>>,
}

/// An attempt of a task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: TaskState,
    pub exit_reason: Option<ExitReason>,
    /// Time at which the current state ends.
    pub until: Millis,
    /// Time at which a copy started the attempt on an agent without any answer so far; 0 if none
    /// did.
    pub started_unfenced_at: Millis,
}

/// A machine with its agent.
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub alive: bool,
    pub net: Net,
    pub incarnation: u64,
    /// Sequence number of the last heartbeat.
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    pub tasks: Vec<Task>,
    /// Whether a heartbeat was answered since the agent started.
    pub was_answered: bool,
    lease_renewed_at: Millis,
    /// Time of the next heartbeat.
    next_heartbeat_at: Millis,
    /// Time of the last heartbeat.
    heartbeat_sent_at: Millis,
    /// Whether a heartbeat is due early, as the tasks have changed.
    report_due: bool,
    /// Node to which heartbeats are sent.
    target: usize,
    /// Whether every task that starts on the worker fails.
    pub fails_tasks: bool,
    /// Sequence number and send time of the heartbeat that awaits its answer.
    heartbeat_in_flight: Option<(u64, Millis)>,
    boots_at: Millis,
    paused_until: Millis,
    /// Time at which the cloud has announced to reclaim the machine.
    reclaim_at: Option<Millis>,
}

/// The simulated cluster with its faults, users and checkers.
pub struct Simulation {
    pub now: Millis,
    pub rng: Rng,
    pub settings: Rc<Settings>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub specs: HashMap<String, JobSpec>,
    /// Jobs that a user asked to cancel.
    cancel_requested: BTreeSet<String>,
    /// Time at which each job was first answered as accepted.
    submitted: HashMap<String, Millis>,
    /// Last state that a user was answered for each job, with the time of the first answer.
    /// The key `<id>!` holds the first answer that the job is cancelled.
    pub answered: HashMap<String, (JobState, Millis)>,
    /// Messages with their times of arrival.
    in_transit: Vec<(Millis, Msg)>,
    /// Messages held by a fault of the network.
    held: Vec<Msg>,
    /// Partitions of nodes.
    partitions: Vec<(usize, CutScope, Cut)>,
    /// A node whose messages of this step leave it only at the given time: its process is
    /// paused between its last check and the send.
    paused_sender: Option<(usize, Millis)>,
    /// Maximum latency of the answer to a leader's write.
    pub write_latency_ms: Millis,
    /// Faults of the leader's reads of records.
    pub read_faults: lookups::ReadFaults,
    /// Time that a new leader takes to read the records.
    pub load_ms: Millis,
    /// Heartbeats that a node relayed, by worker and sequence number.
    relayed_heartbeats: BTreeSet<(usize, u64)>,
    /// Delayed operations at the cloud: time, node, term and operation.
    delayed_cloud_ops: Vec<(Millis, usize, u64, CloudOp)>,
    /// Percentage of heartbeats that are delivered again, up to 30 s late.
    pub duplicate_percent: u32,
    /// Whether some heartbeats are kept and replayed to the next leader.
    pub keep_for_next_leader: bool,
    kept_heartbeats: Vec<(usize, Heartbeat)>,
    /// Number of kept heartbeats that were replayed to a new leader.
    pub replayed: u32,
    /// Late copies of direct commands.
    pub duplicates: CommandDuplicates,
    /// Extra delay of all messages between a worker and the controllers.
    pub slow_links: HashMap<usize, Millis>,
    /// Boot time of a machine that the cloud grants.
    pub boot_ms: Millis,
    /// Time since which each job has waited although capacity for it is available.
    waiting_since: HashMap<String, Millis>,
    /// Whether no fault is injected; then jobs must neither wait nor go unanswered for long.
    pub fault_free: bool,
    /// Direct commands without an answer: node, term, machine, token.
    directs: BTreeSet<(usize, u64, String, u64)>,
    /// Delay of direct commands to a worker; 5 ms for workers without an entry.
    pub direct_command_delay: HashMap<usize, Millis>,
    /// Time that connecting to a worker takes before a direct command is sent; 0 for workers
    /// without an entry.
    pub connect_delay: HashMap<usize, Millis>,
    pub violations: Vec<String>,
    /// Number of task starts.
    pub starts: u32,
    /// Number of tasks that failed, on a faulty machine or as part of a faulty job.
    pub failed: u32,
    /// Faulty jobs: their tasks fail on every machine.
    pub faulty_jobs: BTreeSet<String>,
    /// Number of tasks killed as the lease of their worker expired.
    pub expired_tasks: usize,
    /// Machines returned to the cloud.
    pub returned: Vec<String>,
    /// Number of machines requested from the cloud.
    pub machines_requested: u32,
    /// Number of elections won.
    pub terms: u32,
    /// Tasks that completed on a worker.
    pub finished: BTreeSet<String>,
    /// Run time of a task; a service runs without end.
    pub run_ms: Millis,
    /// Time a task takes to fetch its image.
    pub fetch_ms: Millis,
    /// Fault injection for the test of the checker: a new leader does not wait for leases
    /// that may not have expired yet.
    pub skip_lease_wait: bool,
    /// Whether the cloud grants requested machines.
    pub cloud_grants: bool,
    /// Value of the option of this name, which bounds the wait of large jobs.
    pub starvation_timeout_s: f64,
    /// Every task start: time, worker and task.
    pub start_log: Vec<(Millis, usize, String)>,
    /// Whether some nodes may run another version.
    pub mixed_versions: bool,
    /// Whether leaders replicate to standbys.
    pub standbys: bool,
    /// Percentage of replication parts that are lost, and of those that arrive twice.
    pub replication_loss_percent: u32,
    /// Answers to lease renewals in transit: time of arrival, node, lease, and time the
    /// renewal was sent.
    renewals: Vec<(Millis, usize, u64, Millis)>,
    /// Number of leaders that stepped down as they could not prove that they know all
    /// cancellations.
    pub uninformed_step_downs: u32,
    /// Nodes of an earlier version, which has no standbys and whose promises do not tell
    /// when the process started.
    pub old_version_nodes: BTreeSet<usize>,
    /// Number of failovers to a warm standby.
    pub warm_failovers: u32,
    /// Fault injection for the test of the checker: a standby acknowledges the update of a
    /// machine without applying it.
    pub replica_loses_updates: bool,
    /// Users' requests in flight, and the answers that were given.
    pub traffic: UserTraffic,
    /// Write budget of each node; empty unless a test limits writes.
    budgets: Vec<TokenBucket>,
    /// Writes per second that the state service accepts from all nodes, if limited.
    write_rate: f64,
    /// Requests per second that the state service accepts from all nodes, if limited.
    request_rate: Option<f64>,
    /// Number of tasks that started after a user had been answered that their job is
    /// cancelled.
    pub started_after_cancellation: u32,
    /// Nodes in zone `b`.
    pub zone_b_nodes: BTreeSet<usize>,
    /// Whether the nodes do not know the machine types yet.
    pub types_unknown: bool,
}

impl Simulation {
    /// Returns a cluster of three controllers before its first election. `cpus_max` is the
    /// CPU limit of team `t`; 0 is no limit.
    pub fn new(seed: u64, machines: usize, cpus_max: f64) -> Simulation {
        Self::with_nodes(seed, machines, cpus_max, 3)
    }

    /// Returns a cluster of `nodes` controllers before its first election.
    pub fn with_nodes(seed: u64, machines: usize, cpus_max: f64, nodes: usize) -> Simulation {
        let settings = Rc::new(settings(cpus_max));
        let mut sim = Simulation {
            now: 10_000,
            rng: Rng::with_seed(seed),
            settings,
            store: Store::default(),
            nodes: Vec::new(),
            workers: Vec::new(),
            specs: HashMap::new(),
            cancel_requested: BTreeSet::new(),
            submitted: HashMap::new(),
            answered: HashMap::new(),
            in_transit: Vec::new(),
            held: Vec::new(),
            partitions: Vec::new(),
            paused_sender: None,
            write_latency_ms: 0,
            read_faults: lookups::ReadFaults::from_environment(),
            load_ms: 0,
            relayed_heartbeats: BTreeSet::new(),
            delayed_cloud_ops: Vec::new(),
            duplicate_percent: 0,
            keep_for_next_leader: false,
            kept_heartbeats: Vec::new(),
            replayed: 0,
            duplicates: CommandDuplicates::with_seed(seed),
            slow_links: HashMap::new(),
            boot_ms: 5_000,
            waiting_since: HashMap::new(),
            fault_free: false,
            directs: BTreeSet::new(),
            direct_command_delay: HashMap::new(),
            connect_delay: HashMap::new(),
            violations: Vec::new(),
            starts: 0,
            failed: 0,
            faulty_jobs: BTreeSet::new(),
            expired_tasks: 0,
            returned: Vec::new(),
            machines_requested: 0,
            terms: 0,
            finished: BTreeSet::new(),
            run_ms: 6_000,
            fetch_ms: 300,
            skip_lease_wait: false,
            cloud_grants: false,
            starvation_timeout_s: Options::default().starvation_timeout_s,
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
        for node_id in 0..nodes {
            let node = sim.started_node(node_id, nodes);
            sim.nodes.push(node);
        }
        for worker_id in 0..machines {
            sim.add_worker(if worker_id % 2 == 0 { "a" } else { "b" }, false, 0);
        }
        sim
    }

    /// Sets CPU limits of teams before the simulation starts.
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

    /// Returns node `node_id` as its process has just started.
    fn started_node(&mut self, node_id: usize, nodes: usize) -> Node {
        let names: Vec<String> = (0..nodes).map(|j| format!("n{j}")).collect();
        let peers: Vec<&str> = peers_of(node_id, nodes)
            .map(|j| names[j].as_str())
            .collect();
        Node {
            alive: true,
            restart_at: 0,
            paused_until: 0,
            election: Election::new(
                &names[node_id],
                self.rng.u64(1..1 << 50),
                SafetyBounds::from_worker_settings(&self.settings.cluster.workers),
                self.now,
            ),
            leader: None,
            follower: ReplicaReceiver::default(),
            parts_in_flight: vec![None; nodes],
            registry_reread_at: None,
            acceptance_feed: None,
            records_read_at: 0,
            failure_detector: FailureDetector::new(&names[node_id], &peers),
            exclusions: Exclusions::default(),
            next_exclusion_step: 0,
            heartbeat_relays: HeartbeatRelays::default(),
            final_states: FinalStates::default(),
            dependency_evidence: Some(DependencyEvidence::new(
                &SafetyBounds::from_worker_settings(&self.settings.cluster.workers),
            )),
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

    /// Adds a machine that is up after `boot` milliseconds; returns its name.
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
            was_answered: false,
            lease_renewed_at: self.now + boot,
            next_heartbeat_at: self.now + boot,
            heartbeat_sent_at: 0,
            report_due: false,
            target: 0,
            fails_tasks: false,
            heartbeat_in_flight: None,
            boots_at: self.now + boot,
            paused_until: 0,
            reclaim_at: None,
        });
        name
    }

    /// Returns the zone of a node: `b` for those in `zone_b_nodes`, `a` for all others.
    fn zone_of(&self, node_id: usize) -> &'static str {
        if self.zone_b_nodes.contains(&node_id) {
            "b"
        } else {
            "a"
        }
    }

    /// Returns the node that may act as leader and has read the records.
    pub fn leader(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.nodes.len()).find(|node_id| {
            let node = &self.nodes[*node_id];
            node.alive
                && node.election.authority(now).is_some()
                && node.leader.as_ref().is_some_and(|l| l.loaded())
        })
    }

    /// Announces lower limits of the state service in the settings.
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

    /// Puts the announced lower limits into effect.
    pub fn apply_lower_limits(&mut self) {
        (self.store.max_txn_ops, self.store.max_value_bytes) = (4, 2048);
    }

    /// Returns a cluster of three nodes that has elected a leader.
    pub fn with_leader(seed: u64, machines: usize, limit: f64) -> Simulation {
        let mut sim = Simulation::new(seed, machines, limit);
        sim.run_until(10_000, "a leader", |sim| sim.leader().is_some());
        sim
    }

    /// Returns the number of running tasks of the job on all machines.
    pub fn running(&self, id: &str) -> usize {
        self.workers
            .iter()
            .flat_map(|w| &w.tasks)
            .filter(|t| t.state == TaskState::Running && t.name.starts_with(id))
            .count()
    }

    /// Whether the job's final record is stored.
    pub fn done(&self, id: &str) -> bool {
        self.store.kv.contains_key(&records::final_key(id))
    }

    // ---- time ----

    /// Runs for `ms` of simulated time.
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds, for at most `ms`. Otherwise prints the leader's state and
    /// panics; `what` names the condition in the message.
    pub fn run_until(
        &mut self,
        ms: Millis,
        what: &str,
        condition: impl Fn(&mut Simulation) -> bool,
    ) {
        let end = self.now + ms;
        while self.now < end {
            if condition(self) {
                return;
            }
            self.step();
        }
        self.print_leader();
        panic!(
            "condition not reached within {ms} ms: {what}; violations: {:?}",
            self.violations
        );
    }

    /// Prints the leader's view of jobs and machines to diagnose a failed run.
    fn print_leader(&mut self) {
        if let Some(node_id) = self.leader() {
            let leader = self.nodes[node_id].leader.as_ref().unwrap();
            for job in leader.cluster.jobs.values() {
                eprintln!(
                    "job {}: completed {}, live {}, waiting {}, write in flight {}, dirty {}, record version {}, cancelled {}, cancel requested {}, backoff until {} (now {}), leader settled {}",
                    job.id,
                    job.completed_count,
                    job.live_count,
                    job.waiting_count(),
                    job.write_in_flight,
                    job.is_dirty(),
                    job.record_version,
                    job.cancelled,
                    job.cancel_requested,
                    job.backoff_until,
                    self.now,
                    leader.settled()
                );
            }
            for machine in leader.cluster.machines() {
                eprintln!(
                    "machine {}: up {}, contents unknown {}, registration {:?}, record version {}, write in flight {}, releasing {}, tasks {:?}",
                    machine.name,
                    machine.up,
                    machine.contents_unknown,
                    machine.registration,
                    machine.record_version,
                    machine.write_in_flight,
                    machine.releasing,
                    machine.tasks
                );
            }
            eprintln!(
                "write with unknown outcome: {}",
                self.nodes[node_id].indeterminate.is_some()
            );
        } else {
            eprintln!("no node leads");
        }
    }

    /// Panics if the checkers have found a violation.
    pub fn assert_no_violations(&self) {
        assert!(
            self.violations.is_empty(),
            "invariants violated: {:?}",
            self.violations
        );
    }

    /// Advances time by one step: the state service, the cloud, the network, users' requests,
    /// the nodes, the workers, and then the checks.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        trace::set_time(now);
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
        for node_id in 0..self.nodes.len() {
            self.step_node(node_id);
        }
        for worker_id in 0..self.workers.len() {
            self.step_worker(worker_id);
        }
        self.check_invariants();
        self.check_replicas();
    }
}

/// Returns the peers of node `node_id`: all other nodes, in ascending order.
fn peers_of(node_id: usize, nodes: usize) -> impl Iterator<Item = usize> {
    (0..nodes).filter(move |j| *j != node_id)
}
