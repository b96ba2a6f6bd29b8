//! A whole installation in memory, written from the protocol: users, state
//! service, cloud, workers and controllers, with a network that can lose,
//! hold, refuse and delay, and controllers that crash, fall unresponsive or stand
//! still. A checker asserts the rules at every step.
#![allow(dead_code)]

mod check;
mod net;
mod nodes;
mod standbys;
mod store;
mod users;
mod workers;

pub use net::{Cut, EndLease, Link, Net, Side};
pub use store::Store;
// Not by every file of stories.
#[allow(unused_imports)]
pub use users::Ask;

use fastrand::Rng;
use net::Msg;
use pathwinch::{
    control::{
        acceptance_feed::{self, AcceptanceFeed},
        election::{
            CAMPAIGN_STEP_TIMEOUT_MS, Election, LEASE_TTL_MS, PROMISE_CHECK_TIMEOUT_MS, PROMISE_MS,
            PromiseOutcome, PromiseResponse, RENEWAL_TIMEOUT_MS,
        },
        exclusions::{self, Exclusions, Step, exclusion_txn, readmission_txn},
        failure_detector::{FailureDetector, PeerHealth, RedirectTarget},
        heartbeat_relay::HeartbeatRelays,
        leader::{CloudOp, DirectDelivery, DirectDeliveryOutcome, Leader, WritePlan},
        polls::FinalStates,
        requests::{Answer, TxnResult, final_status},
        safety_bounds::SafetyBounds,
        standby::{RegistryWriteOutcome, replica::ReplicaReceiver},
    },
    options::Options,
    protocol::{
        cloud::MachineType,
        peers::Follow,
        settings::{NextLimits, Peer, Settings},
        state::{Condition, Txn, Write},
        users::{JobSpec, JobState, JobStatus, Kind, Priority},
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
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};
use users::Desk;

pub const STEP: Millis = 50;
pub const LEASE: Millis = 10_000;
pub const CANCEL: Millis = 35_000;

pub fn settings(cpus_max: f64) -> Settings {
    Settings::parse(
        &serde_json::json!({
            "host_name": "n0", "area": "a", "listen": "127.0.0.1:1", "back": "127.0.0.1:2",
            "known": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "cluster": {
                "zones": ["a", "b"],
                "teams": [{"name": "t", "cpus": 8.0, "cpus_max": cpus_max},
                          {"name": "u", "cpus": 8.0}, {"name": "guests"}],
                "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0,
                            "gang_peer_s": 5.0, "cancel_s": 35.0},
                "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 12},
                "cloud": {"rps": 5.0, "list_lag_s": 3.0},
                "quota": {"max_sockets": 600}
            }
        })
        .to_string(),
    )
    .unwrap()
}

pub fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 1.0,
        price: 0.33,
        spot_price: 0.11,
        boot_s: 5.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

/// Allowed types of a description that is over 6 KiB, and under 8.
pub fn many_types() -> Vec<String> {
    let names = (0..40).map(|k| format!("kind-{k:02}-{}", "x".repeat(150)));
    names.chain(["m8".to_owned()]).collect()
}

/// A machine of the machine registry on which something may run.
pub fn roster_record() -> MachineRecord {
    MachineRecord {
        addr: "127.0.0.1:9".into(),
        type_name: "m8".into(),
        zone: "a".into(),
        spot: false,
        releasing: false,
        lease_expired: false,
        quarantined: false,
        images: Vec::new(),
    }
}

pub fn job(n: u32, kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("j-{n:06}"),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 8.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        single_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

pub struct Node {
    pub alive: bool,
    pub back_at: Millis,
    /// Stands still until then.
    pub still_until: Millis,
    pub election: Election,
    pub leader: Option<Leader>,
    pub follower: ReplicaReceiver,
    /// Parts that are on their way to each node, by stream and number.
    telling: Vec<Option<(u64, u64)>>,
    /// A write of the record of standbys without an answer, to be read back.
    record_open: Option<Millis>,
    /// Where it stands in the notices, while it leads.
    notices: Option<AcceptanceFeed>,
    /// Its records are read by then.
    loads_at: Millis,
    pub failure_detector: FailureDetector,
    pub exclusions: Exclusions,
    bar_at: Millis,
    relays: HeartbeatRelays,
    finals: FinalStates,
    next: Millis,
    greet_at: Millis,
    last_beat: Millis,
    flush_at: Millis,
    /// A plan whose transaction is carried out, and its answer comes then.
    flushing: Option<(Millis, WritePlan, TxnResult)>,
    /// A plan whose transaction had no answer, to be read back then.
    unclear: Option<(Millis, WritePlan)>,
    /// Since when questions to peers are open.
    asked: Vec<Option<Millis>>,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<ExitReason>,
    pub until: Millis,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    pub alive: bool,
    pub net: Net,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    last_ok: Millis,
    next: Millis,
    sent: Millis,
    dirty: bool,
    target: usize,
    /// Every task that starts on it fails.
    pub sick: bool,
    flight: Option<(u64, Millis)>,
    boots: Millis,
    hangs_until: Millis,
}

pub struct World {
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
    pub told: HashMap<String, (JobState, Millis)>,
    wire: Vec<(Millis, Msg)>,
    held: Vec<Msg>,
    cuts: Vec<(usize, Side, Cut)>,
    /// What this node sends now leaves it only then: it stands still between
    /// its last check and the wire.
    stalls: Option<(usize, Millis)>,
    /// The answer to what a leader writes comes at most so much later.
    pub write_ms: Millis,
    /// How long a new leader takes to read the records.
    pub load_ms: Millis,
    /// Workers, and their reports, that a node passed on.
    relaying: BTreeSet<(usize, u64)>,
    late_ops: Vec<(Millis, usize, u64, CloudOp)>,
    /// Of a hundred reports so many come again, seconds to half a minute late.
    pub copies: u32,
    /// Some reports are kept for the next leader, and those that are.
    pub keep_copies: bool,
    kept: Vec<(usize, Heartbeat)>,
    /// Kept reports that came to a new leader.
    pub copied: u32,
    /// Extra delay of all between a worker and the controllers.
    pub slow_links: HashMap<usize, Millis>,
    /// How long a rented machine takes until it is up.
    pub boot_ms: Millis,
    /// Since when each job waits beside room, while nothing is amiss.
    beside_room: HashMap<String, Millis>,
    pub calm: bool,
    /// Direct orders that are open: node, term, machine, token.
    directs: BTreeSet<(usize, u64, String, u64)>,
    /// Extra delay of direct commands to a worker.
    pub slow_do: HashMap<usize, Millis>,
    pub broken: Vec<String>,
    pub starts: u32,
    /// Tasks that failed on sick machines, or of faulty jobs.
    pub failed: u32,
    /// Jobs submitted with a mistake: their tasks fail wherever they start.
    pub faulty: BTreeSet<String>,
    /// Tasks killed as their worker's lease had expired.
    pub lapsed: usize,
    /// Machines returned to the cloud.
    pub returned: Vec<String>,
    /// Machines asked of the cloud.
    pub asked_for: u32,
    /// How often a node became leader.
    pub terms: u32,
    pub finished: BTreeSet<String>,
    pub run_ms: Millis,
    pub fetch_ms: Millis,
    /// For the checker's own test: lets a new leader skip what it must wait
    /// for.
    pub sabotage: bool,
    pub rents: bool,
    /// The option.
    pub begin_s: f64,
    /// What started, where and when.
    pub story: Vec<(Millis, usize, String)>,
    /// Not every node is known to run this version.
    pub mixed: bool,
    /// Nodes keep standbys warm.
    pub standbys: bool,
    /// Of a hundred parts told to standbys so many are lost, and as many
    /// arrive twice.
    pub lossy: u32,
    /// Answers to renewals that are on their way: when, to whom, of which
    /// lease, sent when.
    renewals: Vec<(Millis, usize, u64, Millis)>,
    /// Leaders that stopped as they could not show that they know of all
    /// cancellations.
    pub blind: u32,
    /// Nodes of a version that knows of no standbys, nor of evidence beside a
    /// promise.
    pub old: BTreeSet<usize>,
    /// Takeovers that were warm.
    pub warm: u32,
    /// For the checker's own test: a standby loses what it is told of a
    /// machine, but confirms it.
    pub forgetful: bool,
    /// Requests of users that are under way, and what was said to them.
    pub desk: Desk,
    /// What nodes may still change, where that is limited, and how much a
    /// second.
    budgets: Vec<TokenBucket>,
    change_rate: f64,
    /// Tasks that started after a user was told that their job is cancelled.
    pub started_after: u32,
    /// Nodes in the second zone.
    pub in_b: BTreeSet<usize>,
    /// The machine types are not known yet.
    pub no_types: bool,
}

impl World {
    pub fn new(seed: u64, machines: usize, cpus_max: f64) -> World {
        Self::sized(seed, machines, cpus_max, 3)
    }

    pub fn sized(seed: u64, machines: usize, cpus_max: f64, nodes: usize) -> World {
        let settings = Rc::new(settings(cpus_max));
        let mut w = World {
            now: 10_000,
            rng: Rng::with_seed(seed),
            settings,
            store: Store::default(),
            nodes: Vec::new(),
            workers: Vec::new(),
            specs: HashMap::new(),
            cancelling: BTreeSet::new(),
            submitted: HashMap::new(),
            told: HashMap::new(),
            wire: Vec::new(),
            held: Vec::new(),
            cuts: Vec::new(),
            stalls: None,
            write_ms: 0,
            load_ms: 0,
            relaying: BTreeSet::new(),
            late_ops: Vec::new(),
            copies: 0,
            keep_copies: false,
            kept: Vec::new(),
            copied: 0,
            slow_links: HashMap::new(),
            boot_ms: 5_000,
            beside_room: HashMap::new(),
            calm: false,
            directs: BTreeSet::new(),
            slow_do: HashMap::new(),
            broken: Vec::new(),
            starts: 0,
            failed: 0,
            faulty: BTreeSet::new(),
            lapsed: 0,
            returned: Vec::new(),
            asked_for: 0,
            terms: 0,
            finished: BTreeSet::new(),
            run_ms: 6_000,
            fetch_ms: 300,
            sabotage: false,
            rents: false,
            begin_s: Options::default().begin_s,
            story: Vec::new(),
            mixed: false,
            standbys: true,
            lossy: 0,
            renewals: Vec::new(),
            blind: 0,
            old: BTreeSet::new(),
            warm: 0,
            forgetful: false,
            desk: Desk::default(),
            budgets: Vec::new(),
            change_rate: 0.0,
            started_after: 0,
            in_b: BTreeSet::new(),
            no_types: false,
        };
        for i in 0..nodes {
            let node = w.fresh(i, nodes);
            w.nodes.push(node);
        }
        for i in 0..machines {
            w.add_worker(if i % 2 == 0 { "a" } else { "b" }, false, 0);
        }
        w
    }

    /// Teams have limits of their own, from the beginning.
    pub fn limited(mut self, limits: &[(&str, f64)]) -> World {
        let mut settings = (*self.settings).clone();
        for team in &mut settings.cluster.teams {
            if let Some((_, most)) = limits.iter().find(|(name, _)| *name == team.name) {
                team.cpus_max = *most;
            }
        }
        self.settings = Rc::new(settings);
        self
    }

    fn fresh(&mut self, i: usize, nodes: usize) -> Node {
        let names: Vec<String> = (0..nodes).map(|j| format!("n{j}")).collect();
        let peers: Vec<&str> = peers_of(i, nodes).map(|j| names[j].as_str()).collect();
        Node {
            alive: true,
            back_at: 0,
            still_until: 0,
            election: Election::new(
                &names[i],
                self.rng.u64(1..1 << 50),
                SafetyBounds::of(&self.settings.cluster.workers),
                self.now,
            ),
            leader: None,
            follower: ReplicaReceiver::default(),
            telling: vec![None; nodes],
            record_open: None,
            notices: None,
            loads_at: 0,
            failure_detector: FailureDetector::new(&names[i], &peers),
            exclusions: Exclusions::default(),
            bar_at: 0,
            relays: HeartbeatRelays::default(),
            finals: FinalStates::default(),
            next: self.now,
            greet_at: 0,
            last_beat: 0,
            flush_at: 0,
            flushing: None,
            unclear: None,
            asked: vec![None; nodes],
        }
    }

    pub fn add_worker(&mut self, zone: &str, spot: bool, boot: Millis) -> String {
        let name = format!("i-{:06}", self.workers.len());
        self.workers.push(Worker {
            name: name.clone(),
            zone: zone.into(),
            spot,
            alive: true,
            net: Net::Up,
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            last_ok: self.now + boot,
            next: self.now + boot,
            sent: 0,
            dirty: false,
            target: 0,
            sick: false,
            flight: None,
            boots: self.now + boot,
            hangs_until: 0,
        });
        name
    }

    /// All nodes are in the first zone but for those that a story puts into the
    /// other.
    fn zone_of(&self, i: usize) -> &'static str {
        if self.in_b.contains(&i) { "b" } else { "a" }
    }

    pub fn leader(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.nodes.len()).find(|i| {
            let n = &self.nodes[*i];
            n.alive
                && n.election.authority(now).is_some()
                && n.leader.as_ref().is_some_and(|l| l.loaded())
        })
    }

    /// The state service will have lower limits, as the settings say.
    pub fn warn(&mut self) {
        let mut settings = (*self.settings).clone();
        settings.cluster.state.next = Some(NextLimits {
            value_kb: Some(2.0),
            txn_ops: Some(4),
            write_rps: Some(15.0),
            rps: None,
        });
        self.settings = Rc::new(settings);
    }

    /// It has them.
    pub fn lower(&mut self) {
        (self.store.txn_ops, self.store.value) = (4, 2048);
    }

    /// One that has a leader.
    pub fn led(seed: u64, machines: usize, limit: f64) -> World {
        let mut w = World::new(seed, machines, limit);
        w.until(10_000, "a leader", |w| w.leader().is_some());
        w
    }

    pub fn running(&self, id: &str) -> usize {
        self.workers
            .iter()
            .flat_map(|w| &w.tasks)
            .filter(|t| t.state == TaskState::Running && t.name.starts_with(id))
            .count()
    }

    pub fn done(&self, id: &str) -> bool {
        self.store.kv.contains_key(&records::final_key(id))
    }

    // ---- time ----

    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until it holds, at most so long.
    pub fn until(&mut self, ms: Millis, what: &str, f: impl Fn(&mut World) -> bool) {
        let end = self.now + ms;
        while self.now < end {
            if f(self) {
                return;
            }
            self.step();
        }
        if let Some(i) = self.leader() {
            let l = self.nodes[i].leader.as_ref().unwrap();
            for j in l.cluster.jobs.iter().flatten() {
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
            eprintln!("unclear {}", self.nodes[i].unclear.is_some());
        } else {
            eprintln!("nobody leads");
        }
        panic!(
            "did not come about in {ms} ms: {what}; broken: {:?}",
            self.broken
        );
    }

    pub fn sound(&self) {
        assert!(self.broken.is_empty(), "rules broken: {:?}", self.broken);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.store.pass_time(now);
        self.cloud_time();
        let due: Vec<(Millis, Msg)>;
        (due, self.wire) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        for (_, msg) in due {
            self.deliver(msg);
        }
        self.desk_time();
        for i in 0..self.nodes.len() {
            self.node_time(i);
        }
        for i in 0..self.workers.len() {
            self.worker_time(i);
        }
        self.check();
        self.check_copies();
    }
}

/// The other nodes, in the order of a node's peers.
fn peers_of(i: usize, nodes: usize) -> impl Iterator<Item = usize> {
    (0..nodes).filter(move |j| *j != i)
}
