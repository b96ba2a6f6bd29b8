//! A whole installation in memory, written from the protocol: users, state
//! service, cloud, workers and controllers, with a network that can lose,
//! hold and delay messages. A checker asserts the rules at every step.
#![allow(dead_code)]

use fastrand::Rng;
use pathwinch::{
    bookkeeping::{
        Ms,
        records::{self, Bits, FinalRecord, JobRecord, LEADER, MachineRecord},
    },
    coordination::{
        election::{Election, LIFE, PROMISE},
        leader::{CloudOp, Direct, DirectOutcome, Leader, Plan},
    },
    protocol::{
        cloud::MachineType,
        options::Options,
        settings::Settings,
        state::{Txn, Write},
        users::{JobSpec, JobState, Kind, Priority},
        workers::{Command, DirectOrder, Report, ReportReply, ReportedTask, TaskState, Why},
    },
};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

pub const STEP: Ms = 50;
pub const LEASE: Ms = 10_000;
pub const CANCEL: Ms = 35_000;

pub fn settings(cpus_max: f64) -> Settings {
    Settings::parse(
        &serde_json::json!({
            "host_name": "n0", "area": "a", "listen": "127.0.0.1:1", "back": "127.0.0.1:2",
            "known": [], "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "cluster": {
                "zones": ["a", "b"],
                "teams": [{"name": "t", "cpus": 8.0, "cpus_max": cpus_max},
                          {"name": "u", "cpus": 8.0}],
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
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Net {
    Up,
    /// Nothing arrives; what was sent is delivered when the cut ends.
    Hold,
    /// Nothing arrives, ever.
    Lose,
}

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub kv: BTreeMap<String, (Value, u64)>,
    pub down: bool,
    /// Nodes that alone are refused.
    pub refuses: BTreeSet<usize>,
    lease: u64,
    leases: BTreeMap<u64, Ms>,
    key_lease: Option<u64>,
    /// Answers of the next transactions are lost, and they are applied so
    /// much later.
    pub late: Vec<Ms>,
    held: Vec<(Ms, Txn)>,
}

impl Store {
    fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        assert!(txn.writes.len() <= 12 && txn.guards.len() <= 48, "txn_ops");
        assert!(serde_json::to_vec(txn).unwrap().len() <= 65536, "64 KiB");
        let failed: Vec<String> = txn
            .guards
            .iter()
            .filter(|g| self.kv.get(&g.key).map_or(0, |v| v.1) != g.version)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for w in &txn.writes {
            match w {
                Write::Put { key, value, .. } => {
                    assert!(value.to_string().len() <= 8192, "value_kb: {key}");
                    self.kv.insert(key.clone(), (value.clone(), self.revision));
                }
                Write::Delete { key } => {
                    self.kv.remove(key);
                }
            }
        }
        Ok(self.revision)
    }

    fn refuses(&self, node: usize) -> bool {
        self.down || self.refuses.contains(&node)
    }

    fn under(&self, prefix: &str) -> Vec<(String, Value, u64)> {
        self.kv
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .map(|(k, (v, r))| (k.clone(), v.clone(), *r))
            .collect()
    }
}

pub struct Node {
    pub alive: bool,
    pub back_at: Ms,
    pub election: Election,
    pub leader: Option<Leader>,
    next: Ms,
    started: Ms,
    flush_at: Ms,
    /// A plan whose transaction had no answer, to be read back then.
    unclear: Option<(Ms, Plan)>,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<Why>,
    pub until: Ms,
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
    last_ok: Ms,
    next: Ms,
    sent: Ms,
    dirty: bool,
    target: usize,
    /// Every task that starts on it fails.
    pub sick: bool,
    flight: Option<(u64, Ms)>,
    boots: Ms,
}

#[derive(Clone)]
enum Msg {
    Beat(usize, usize, Report, Ms),
    Reply(usize, usize, Option<ReportReply>, u64, u64, Ms),
    Do(usize, usize, u64, DirectOrder),
    Done(usize, u64, String, u64, Option<(bool, Report)>),
}

pub struct World {
    pub now: Ms,
    pub rng: Rng,
    pub settings: Rc<Settings>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub specs: HashMap<String, JobSpec>,
    pub told: HashMap<String, (JobState, Ms)>,
    wire: Vec<(Ms, Msg)>,
    held: Vec<Msg>,
    /// Extra delay of direct orders to a worker.
    pub slow_do: HashMap<usize, Ms>,
    pub broken: Vec<String>,
    pub starts: u32,
    /// Tasks that failed on sick machines.
    pub failed: u32,
    pub finished: BTreeSet<String>,
    pub run_ms: Ms,
    pub fetch_ms: Ms,
    /// For the checker's own test: lets a new leader skip what it must wait
    /// for.
    pub sabotage: bool,
    pub rents: bool,
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
            told: HashMap::new(),
            wire: Vec::new(),
            held: Vec::new(),
            slow_do: HashMap::new(),
            broken: Vec::new(),
            starts: 0,
            failed: 0,
            finished: BTreeSet::new(),
            run_ms: 6_000,
            fetch_ms: 300,
            sabotage: false,
            rents: false,
        };
        for i in 0..nodes {
            let node = w.fresh(i);
            w.nodes.push(node);
        }
        for i in 0..machines {
            w.add_worker(if i % 2 == 0 { "a" } else { "b" }, false, 0);
        }
        w
    }

    fn fresh(&mut self, i: usize) -> Node {
        Node {
            alive: true,
            back_at: 0,
            election: Election::new(&format!("n{i}"), self.rng.u64(1..1 << 50), self.now),
            leader: None,
            next: self.now,
            started: self.now,
            flush_at: 0,
            unclear: None,
        }
    }

    pub fn add_worker(&mut self, zone: &str, spot: bool, boot: Ms) -> String {
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
        });
        name
    }

    // ---- users ----

    pub fn leader(&mut self) -> Option<usize> {
        let now = self.now;
        (0..self.nodes.len()).find(|i| {
            let n = &self.nodes[*i];
            n.alive
                && n.election.authority(now).is_some()
                && n.leader.as_ref().is_some_and(|l| l.loaded)
        })
    }

    /// Submits until accepted, as a user would.
    pub fn submit(&mut self, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        for _ in 0..600 {
            if let Some(i) = self.leader()
                && !self.store.refuses(i)
            {
                let now = self.now;
                let l = self.nodes[i].leader.as_mut().unwrap();
                let (txn, record) = l.acceptance(&spec, now);
                if let Ok(version) = self.store.apply(&txn) {
                    l.accepted(record, version, now);
                    return;
                }
            }
            self.step();
        }
        panic!("never accepted: {}", spec.id);
    }

    /// Asks a node; `None`: it gave no answer.
    pub fn poll(&mut self, i: usize, id: &str) -> Option<JobState> {
        let now = self.now;
        let node = &mut self.nodes[i];
        if !node.alive {
            return None;
        }
        let acting = node.election.authority(now).is_some();
        let known = match node.leader.as_ref().filter(|l| acting && l.loaded) {
            Some(l) => l.status(id).map(|s| s.state),
            None => None,
        };
        let state = match known {
            Some(s) => s,
            None if self.store.refuses(i) => return None,
            None => match (
                self.store.kv.get(&records::job_key(id)),
                self.store.kv.get(&records::final_key(id)),
            ) {
                (Some((v, _)), _) => {
                    let r: JobRecord = serde_json::from_value(v.clone()).unwrap();
                    if r.cancelled {
                        JobState::Cancelled
                    } else {
                        JobState::Queued
                    }
                }
                (None, Some((v, _))) => {
                    serde_json::from_value::<FinalRecord>(v.clone())
                        .unwrap()
                        .state
                }
                (None, None) => {
                    self.broken.push(format!("forgotten: {id}"));
                    return None;
                }
            },
        };
        self.tell(id, state);
        Some(state)
    }

    fn tell(&mut self, id: &str, state: JobState) {
        if let Some((before, _)) = self.told.get(id)
            && matches!(before, JobState::Done | JobState::Cancelled)
            && *before != state
        {
            self.broken
                .push(format!("went_back: {id} {before:?} to {state:?}"));
        }
        if state == JobState::Done {
            let spec = &self.specs[id];
            let missing = (0..spec.tasks).any(|t| !self.finished.contains(&format!("{id}/{t}")));
            if missing && spec.kind != Kind::Gang {
                self.broken.push(format!("not_done: {id}"));
            }
        }
        let now = self.now;
        self.told
            .entry(id.to_owned())
            .and_modify(|t| t.0 = state)
            .or_insert((state, now));
        if state == JobState::Cancelled && self.told[id].1 < now {
            // The time of the first such answer counts.
            let first = self.told.get(&format!("{id}!")).map_or(now, |t| t.1);
            self.told.insert(format!("{id}!"), (state, first));
        }
    }

    pub fn cancel(&mut self, id: &str) {
        for _ in 0..600 {
            if let Some(i) = self.leader() {
                if self.done(id) {
                    self.poll(i, id);
                    return;
                }
                let l = self.nodes[i].leader.as_mut().unwrap();
                l.cancel(id);
                if let Some(s) = l.status(id)
                    && matches!(s.state, JobState::Cancelled | JobState::Done)
                {
                    self.tell(id, s.state);
                    if s.state == JobState::Cancelled {
                        let now = self.now;
                        self.told.insert(format!("{id}!"), (s.state, now));
                    }
                    return;
                }
            }
            self.step();
        }
        self.until(0, &format!("{id} withdrawn"), |_| false);
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

    // ---- troubles ----

    pub fn crash(&mut self, i: usize, back: Ms) {
        let n = &mut self.nodes[i];
        n.alive = false;
        n.leader = None;
        n.back_at = self.now + back;
        n.unclear = None;
    }

    pub fn heal(&mut self, w: usize) {
        self.workers[w].net = Net::Up;
        let (mine, rest): (Vec<Msg>, Vec<Msg>) =
            self.held.drain(..).partition(|m| worker_of(m) == Some(w));
        self.held = rest;
        for m in mine {
            self.wire.push((self.now + 5, m));
        }
    }

    // ---- time ----

    pub fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until it holds, at most so long.
    pub fn until(&mut self, ms: Ms, what: &str, f: impl Fn(&mut World) -> bool) {
        let end = self.now + ms;
        while self.now < end {
            if f(self) {
                return;
            }
            self.step();
        }
        if let Some(i) = self.leader() {
            let l = self.nodes[i].leader.as_ref().unwrap();
            for j in l.model.jobs.iter().flatten() {
                eprintln!(
                    "{} done {} live {} waiting {} writing {} dirty {} version {} cancelled {} wanted {} backoff {} (now {}) settled {}",
                    j.id,
                    j.done_n,
                    j.live,
                    j.waiting(),
                    j.writing,
                    j.is_dirty(),
                    j.version,
                    j.cancelled,
                    j.cancel_wanted,
                    j.backoff_until,
                    self.now,
                    l.settled()
                );
            }
            for m in l.model.each_machine() {
                eprintln!(
                    "{} up {} unknown {} roster {:?} v {} writing {} releasing {} tasks {:?}",
                    m.name, m.up, m.unknown, m.roster, m.version, m.writing, m.releasing, m.tasks
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
        self.store_time(now);
        let due: Vec<(Ms, Msg)>;
        (due, self.wire) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        for (_, msg) in due {
            self.deliver(msg);
        }
        for i in 0..self.nodes.len() {
            self.node_time(i);
        }
        for i in 0..self.workers.len() {
            self.worker_time(i);
        }
        self.check();
    }

    fn store_time(&mut self, now: Ms) {
        let held = std::mem::take(&mut self.store.held);
        for (at, txn) in held {
            if at <= now && !self.store.down {
                let _ = self.store.apply(&txn);
            } else {
                self.store.held.push((at, txn));
            }
        }
        if self.store.down {
            // After an outage all leases have their full time again.
            for until in self.store.leases.values_mut() {
                *until = now + LIFE;
            }
        }
        self.store.leases.retain(|_, until| now < *until);
        if self
            .store
            .key_lease
            .is_some_and(|l| !self.store.leases.contains_key(&l))
        {
            self.store.key_lease = None;
            self.store.revision += 1;
            self.store.kv.remove(LEADER);
        }
    }

    fn node_time(&mut self, i: usize) {
        let now = self.now;
        if !self.nodes[i].alive {
            if self.nodes[i].back_at <= now {
                self.nodes[i] = self.fresh(i);
            }
            return;
        }
        if now >= self.nodes[i].next {
            self.elect(i);
        }
        let node = &mut self.nodes[i];
        if node.election.authority(now).is_none() {
            return;
        }
        let Some(l) = node.leader.as_mut() else {
            return;
        };
        if !l.loaded && !self.store.refuses(i) {
            for (k, v, r) in self.store.under(records::ROSTER) {
                let record: MachineRecord = serde_json::from_value(v).unwrap();
                l.load_machine(k.trim_start_matches(records::ROSTER), record, r, now);
            }
            for (_, v, r) in self.store.under(records::JOBS) {
                l.load_job(serde_json::from_value(v).unwrap(), r, now);
            }
            for (k, v, _) in self.store.under(records::CHUNKS) {
                let (id, c) = k[2..].rsplit_once('/').unwrap();
                l.load_chunk(id, c.parse().unwrap(), v.as_str().unwrap());
            }
            l.finish_loading(now);
            if self.sabotage {
                for m in l.model.each_machine_mut() {
                    m.unknown = false;
                }
            }
        }
        l.tick(now, now);
        let term = l.term;
        let directs = l.directs(now);
        let ops = l.cloud_ops(now, now);
        for d in directs {
            self.send_direct(i, term, d);
        }
        for op in ops {
            self.cloud(i, op);
        }
        self.flush(i);
    }

    fn cloud(&mut self, i: usize, op: CloudOp) {
        let now = self.now;
        match op {
            CloudOp::Rent(r) => {
                let names: Vec<String> = if self.rents {
                    (0..r.count.min(4))
                        .map(|_| self.add_worker(&r.zone, r.spot, 5_000))
                        .collect()
                } else {
                    Vec::new()
                };
                let l = self.nodes[i].leader.as_mut().unwrap();
                l.rented(&r, Some(&names), now);
            }
            CloudOp::Release(names) => {
                for w in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    w.alive = false;
                    w.tasks.clear();
                }
                let l = self.nodes[i].leader.as_mut().unwrap();
                l.released(&names, true, now);
            }
        }
    }

    fn flush(&mut self, i: usize) {
        let now = self.now;
        let refused = self.store.refuses(i);
        let node = &mut self.nodes[i];
        let l = node.leader.as_mut().unwrap();
        if let Some((at, plan)) = node.unclear.take() {
            if now < at || refused {
                node.unclear = Some((at, plan));
                return;
            }
            for key in Leader::keys_of(&plan) {
                l.reread(&key, self.store.kv.get(&key).cloned());
            }
            l.reread_done(&plan);
        }
        if now < node.flush_at {
            return;
        }
        node.flush_at = now + 100;
        let Some(plan) = l.plan_flush(12) else { return };
        if refused {
            l.reread_done(&plan);
            return;
        }
        if let Some(delay) = self.store.late.pop() {
            self.store.held.push((now + delay, plan.txn.clone()));
            node.unclear = Some((now + 1500, plan));
            return;
        }
        match self.store.apply(&plan.txn) {
            Ok(revision) => l.flushed(&plan, revision),
            Err(failed) if failed.iter().any(|k| k == LEADER) => {
                node.election.resign();
                node.leader = None;
            }
            Err(_) => node.unclear = Some((now, plan)),
        }
    }

    fn elect(&mut self, i: usize) {
        let now = self.now;
        let refused = self.store.refuses(i);
        self.nodes[i].next = now + 200;
        if let Some(lead) = self.nodes[i].election.lead() {
            if !refused {
                match self.store.leases.get_mut(&lead.lease) {
                    Some(until) => {
                        *until = now + LIFE;
                        self.nodes[i].election.renewed(now);
                    }
                    None => {
                        self.nodes[i].election.resign();
                        self.nodes[i].leader = None;
                    }
                }
                return;
            }
            // Ask the others.
            let (mut all, mut alone) = (true, false);
            for j in (0..self.nodes.len()).filter(|j| *j != i) {
                let fails = self.store.refuses(j);
                let peer = &mut self.nodes[j];
                if !peer.alive {
                    all = false;
                } else if !peer.election.grant(now, lead.term, PROMISE, fails) {
                    all = false;
                    alone |= !fails;
                }
            }
            if alone {
                self.nodes[i].election.resign();
                self.nodes[i].leader = None;
                for j in (0..self.nodes.len()).filter(|j| *j != i) {
                    self.nodes[j].election.resigned(lead.term);
                }
            } else if all {
                self.nodes[i].election.promised_by_all(now);
            }
            return;
        }
        if refused {
            return;
        }
        let seen = self.store.kv.get(LEADER).map(|(v, r)| {
            let name = v["n"].as_str().unwrap().to_owned();
            (name, *r)
        });
        let node = &mut self.nodes[i];
        node.election.saw(seen);
        let Some(version) = node.election.may_seek(now) else {
            return;
        };
        self.store.lease += 1;
        let lease = self.store.lease;
        self.store.leases.insert(lease, now + LIFE);
        let txn = Txn {
            guards: vec![pathwinch::protocol::state::Guard {
                key: LEADER.into(),
                version,
            }],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: serde_json::json!({"n": format!("n{i}"), "i": 1}),
                lease: Some(lease),
            }],
        };
        if let Ok(term) = self.store.apply(&txn) {
            self.store.key_lease = Some(lease);
            node.election.won(term, lease, now);
            node.leader = Some(Leader::new(
                self.settings.clone(),
                Options {
                    // Where nothing can be rented, nothing is returned.
                    idle_s: if self.rents { 20.0 } else { 36_000.0 },
                    ..Options::default()
                },
                types(),
                term,
                now,
            ));
        }
    }

    // ---- the network ----

    fn send(&mut self, worker: usize, delay: Ms, msg: Msg) {
        match self.workers[worker].net {
            Net::Up => self.wire.push((self.now + delay, msg)),
            Net::Hold => self.held.push(msg),
            Net::Lose => {}
        }
    }

    fn send_direct(&mut self, i: usize, term: u64, d: Direct) {
        let Some(w) = self.workers.iter().position(|w| w.name == d.machine) else {
            return;
        };
        // No answer within two seconds, unless one comes.
        let lost = Msg::Done(i, term, d.machine.clone(), d.order.token, None);
        self.wire.push((self.now + 2000, lost));
        match self.slow_do.get(&w) {
            Some(delay) => {
                let delay = *delay;
                self.wire
                    .push((self.now + delay, Msg::Do(i, w, term, d.order)));
            }
            None => self.send(w, 5, Msg::Do(i, w, term, d.order)),
        }
    }

    fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        match msg {
            Msg::Beat(i, w, report, sent) => {
                let node = &mut self.nodes[i];
                if !node.alive {
                    return;
                }
                let reply = match node.election.authority(now) {
                    Some(_) => node.leader.as_mut().and_then(|l| l.on_beat(&report, now)),
                    None => None,
                };
                let (session, seq) = (report.session, report.seq);
                self.send(w, 5, Msg::Reply(w, i, reply, session, seq, sent));
            }
            Msg::Reply(w, i, reply, session, seq, sent) => {
                let leader = self.nodes[i].election.seen.clone();
                let nodes = self.nodes.len();
                let worker = &mut self.workers[w];
                if worker.flight != Some((seq, sent)) || now > sent + 4000 || !worker.alive {
                    return;
                }
                worker.flight = None;
                let Some(reply) = reply else {
                    worker.target = leader
                        .and_then(|(n, _)| n[1..].parse().ok())
                        .filter(|t| *t != i)
                        .unwrap_or((i + 1) % nodes);
                    worker.next = now + 500;
                    return;
                };
                if session != worker.session || reply.token < worker.token {
                    return;
                }
                if reply.token > worker.token {
                    worker.token = reply.token;
                    worker.dirty = true;
                }
                worker.last_ok = sent;
                self.execute(w, reply.commands);
            }
            Msg::Do(i, w, term, order) => {
                let worker = &mut self.workers[w];
                if !worker.alive {
                    return;
                }
                let ok = order.token >= worker.token && order.session == worker.session;
                if ok {
                    worker.token = order.token;
                    self.execute(w, order.commands);
                }
                let report = self.report(w);
                let name = report.machine.clone();
                self.send(
                    w,
                    5,
                    Msg::Done(i, term, name, order.token, Some((ok, report))),
                );
            }
            Msg::Done(i, term, name, token, answer) => {
                let Some(l) = self.nodes[i].leader.as_mut().filter(|l| l.term == term) else {
                    return;
                };
                let open = l
                    .model
                    .machine_ix(&name)
                    .and_then(|ix| l.model.machine(ix))
                    .is_some_and(|m| m.ordering && m.fence | (term << 20) == token);
                if !open {
                    return;
                }
                let outcome = match answer {
                    Some((true, r)) => DirectOutcome::Executed(r),
                    Some((false, r)) => DirectOutcome::Refused(Some(r)),
                    None => {
                        // Is it the time limit of an order answered since?
                        DirectOutcome::NoAnswer
                    }
                };
                l.direct_done(&name, token, outcome, now);
            }
        }
    }

    /// A report as the worker would send it now.
    pub fn report_of(&mut self, w: usize) -> Report {
        self.report(w)
    }

    fn report(&mut self, w: usize) -> Report {
        let worker = &mut self.workers[w];
        worker.seq += 1;
        Report {
            machine: worker.name.clone(),
            addr: "127.0.0.1:9".into(),
            type_name: "m8".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            session: worker.session,
            seq: worker.seq,
            token: worker.token,
            notice_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|t| ReportedTask {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: false,
                })
                .collect(),
        }
    }

    // ---- workers ----

    fn execute(&mut self, w: usize, commands: Vec<Command>) {
        let now = self.now;
        let fetch_ms = self.fetch_ms;
        for c in commands {
            let worker = &mut self.workers[w];
            worker.dirty = true;
            match c {
                Command::Start { task, attempt } => {
                    if worker
                        .tasks
                        .iter()
                        .any(|t| t.name == task && t.attempt == attempt)
                    {
                        continue;
                    }
                    let other = worker
                        .tasks
                        .iter()
                        .any(|t| t.name == task && t.state != TaskState::Exited);
                    let id = task.rsplit_once('/').unwrap().0.to_owned();
                    let live = worker
                        .tasks
                        .iter()
                        .filter(|t| t.state != TaskState::Exited)
                        .count();
                    let why = if other {
                        Some(Why::Busy)
                    } else if live >= 2 {
                        Some(Why::NoRoom)
                    } else if !self.specs.contains_key(&id) {
                        Some(Why::Unknown)
                    } else {
                        None
                    };
                    worker.tasks.push(Task {
                        name: task,
                        attempt,
                        state: if why.is_some() {
                            TaskState::Exited
                        } else {
                            TaskState::Fetching
                        },
                        why,
                        until: now + fetch_ms,
                    });
                }
                Command::Stop { task, attempt, .. } => {
                    for t in worker
                        .tasks
                        .iter_mut()
                        .filter(|t| t.name == task && t.attempt == attempt)
                    {
                        if t.state != TaskState::Exited {
                            t.state = TaskState::Exited;
                            t.why = Some(Why::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let done = worker.tasks.iter().any(|t| {
                        t.name == task && t.attempt == attempt && t.why == Some(Why::Done)
                    });
                    if done && !self.recorded(&task) {
                        self.broken.push(format!("reaped before recorded: {task}"));
                    }
                    self.workers[w].tasks.retain(|t| {
                        !(t.name == task && t.attempt == attempt && t.state == TaskState::Exited)
                    });
                }
            }
        }
    }

    fn recorded(&self, task: &str) -> bool {
        let (id, n) = task.rsplit_once('/').unwrap();
        let n: u32 = n.parse().unwrap();
        if self.done(id) {
            return true;
        }
        let Some((v, _)) = self.store.kv.get(&records::job_key(id)) else {
            return false;
        };
        let record: JobRecord = serde_json::from_value(v.clone()).unwrap();
        let mut bits = Bits::with_len(record.spec.tasks);
        bits.load(0, &record.done);
        for (k, v, _) in self.store.under(&format!("c/{id}/")) {
            let c = k.rsplit_once('/').unwrap().1.parse().unwrap();
            bits.load(c, v.as_str().unwrap());
        }
        record.cancelled || bits.get(n)
    }

    fn worker_time(&mut self, w: usize) {
        let now = self.now;
        let run_ms = self.run_ms;
        let nodes = self.nodes.len();
        let mut started = Vec::new();
        let worker = &mut self.workers[w];
        if !worker.alive || now < worker.boots {
            return;
        }
        if now > worker.last_ok + LEASE {
            worker.session += 1;
            worker.last_ok = now;
            worker.tasks.clear();
            worker.dirty = true;
        }
        for t in worker.tasks.iter_mut().filter(|t| now >= t.until) {
            let spec = &self.specs[t.name.rsplit_once('/').unwrap().0];
            match t.state {
                TaskState::Fetching if worker.sick => {
                    t.state = TaskState::Exited;
                    t.why = Some(Why::Error);
                    self.failed += 1;
                    worker.dirty = true;
                }
                TaskState::Fetching => {
                    t.state = TaskState::Running;
                    t.until = if spec.kind == Kind::Service {
                        Ms::MAX
                    } else {
                        now + run_ms
                    };
                    started.push(t.name.clone());
                    worker.dirty = true;
                }
                TaskState::Running => {
                    t.state = TaskState::Exited;
                    t.why = Some(Why::Done);
                    self.finished.insert(t.name.clone());
                    worker.dirty = true;
                }
                _ => {}
            }
        }
        if let Some((_, sent)) = worker.flight
            && now > sent + 4000
        {
            worker.flight = None;
            worker.target = (worker.target + 1) % nodes;
            worker.next = now + 1000;
        }
        if worker.flight.is_none()
            && (now >= worker.next || (worker.dirty && now >= worker.sent + 500))
        {
            worker.next = now + 1000;
            worker.sent = now;
            worker.dirty = false;
            let target = worker.target;
            if self.nodes[target].alive {
                let report = self.report(w);
                self.workers[w].flight = Some((report.seq, now));
                self.send(w, 5, Msg::Beat(target, w, report, now));
            } else {
                worker.target = (target + 1) % nodes;
            }
        }
        for name in started {
            self.starts += 1;
            self.check_start(w, &name);
        }
    }

    // ---- the checker ----

    fn on_machines(&self) -> impl Iterator<Item = (usize, &Task)> {
        self.workers.iter().enumerate().flat_map(|(i, w)| {
            w.tasks
                .iter()
                .filter(|t| t.state == TaskState::Running)
                .map(move |t| (i, t))
        })
    }

    fn check_start(&mut self, w: usize, name: &str) {
        let id = name.rsplit_once('/').unwrap().0;
        let spec = self.specs[id].clone();
        let mut found = Vec::new();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (i, t) in self.on_machines() {
            if t.name == name && i != w {
                found.push(format!("ran_twice: {name} on {w} and {i}"));
            }
            if t.name.starts_with(&format!("{id}/")) {
                *zones.entry(&self.workers[i].zone).or_default() += 1;
            }
        }
        if spec.one_zone && zones.len() > 1 {
            found.push(format!("wrong_place: {name}, {zones:?}"));
        }
        if spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)) {
            found.push(format!("wrong_place: {name}, {zones:?}"));
        }
        if self.workers[w].spot && !spec.spot {
            found.push(format!("wrong_place: {name} on a spot machine"));
        }
        self.broken.extend(found);
    }

    fn check(&mut self) {
        let now = self.now;
        let mut found = Vec::new();
        let limit = self.settings.cluster.teams[0].cpus_max;
        let cpus: f64 = self
            .on_machines()
            .map(|(_, t)| self.specs[t.name.rsplit_once('/').unwrap().0].cpus)
            .sum();
        if limit > 0.0 && cpus > limit {
            found.push(format!("quota: {cpus} of {limit}"));
        }
        for (i, t) in self.on_machines() {
            let id = t.name.rsplit_once('/').unwrap().0;
            if let Some((_, at)) = self.told.get(&format!("{id}!"))
                && now > at + CANCEL
            {
                found.push(format!("ran_cancelled: {} on {i}", t.name));
            }
        }
        self.broken.extend(found);
    }
}

fn worker_of(m: &Msg) -> Option<usize> {
    match m {
        Msg::Beat(_, w, _, _) | Msg::Reply(w, ..) | Msg::Do(_, w, ..) => Some(*w),
        Msg::Done(..) => None,
    }
}
