//! Bounded model checking of failover to a standby: explores every order of events, within
//! bounds, of three controllers, the state service and one worker. Events are messages that
//! are lost, late or delivered twice, leaders that continue to act after their key is gone,
//! and nodes that restart. The product's own code makes the decisions: the leader's side,
//! the replica and the checks of `control::standby`. The model relies on no clock: a leader
//! acts until its process restarts, even if another node leads by then.
//!
//! Bounds can be raised for manual runs, see `docs/results.md`. The five numbers are the
//! fields of `ExplorationBounds` in their order; `STATES` sets the maximum number of states:
//!
//!     BOUNDS=starts,ends,timeouts,unanswered,rounds cargo test --release --test failover -- --nocapture

use pathwinch::{
    control::standby::{
        RegistryWriteOutcome, ReplicatedState, Standbys,
        failover_checks::{self, FailoverClaim},
        replica::{Replica, ReplicaReceiver},
    },
    protocol::{
        peers::{MachineTasks, ReplicatedPhase, ReplicatedTask, ReplicationPart},
        state::{Txn, Write},
    },
    state::{
        Millis,
        records::{STANDBYS, StandbyRecord},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
};

const NODES: usize = 3;
const MACHINE: &str = "m";
const JOB: &str = "j";
/// Maximum number of replication streams of a leader to a peer that are explored.
const MAX_STREAMS: u64 = 3;

/// A leader's cluster state for one machine: each task with its attempt, its change number,
/// and whether its start was sent.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct OneMachine {
    changes: u64,
    sent: u64,
    tasks: BTreeMap<u32, (u64, u64, bool)>,
    changed: bool,
}

impl OneMachine {
    fn put(&mut self, task: u32, attempt: u64, sent: bool) {
        self.changes += 1;
        self.tasks.insert(task, (attempt, self.changes, sent));
        self.changed = true;
    }
}

impl ReplicatedState for OneMachine {
    fn change_count(&self) -> u64 {
        self.changes
    }
    fn latest_sent_change(&self) -> u64 {
        self.sent
    }
    fn tasks_on(&self, machine: &str) -> MachineTasks {
        let held = |(task, (attempt, change, _)): (&u32, &(u64, u64, bool))| {
            ReplicatedTask(*task, *attempt, *change, ReplicatedPhase::Sent)
        };
        let tasks: Vec<ReplicatedTask> = self.tasks.iter().map(held).collect();
        let jobs = (!tasks.is_empty()).then(|| (JOB.to_owned(), tasks));
        MachineTasks {
            machine: machine.to_owned(),
            jobs: jobs.into_iter().collect(),
        }
    }
    fn occupied_machines(&self) -> BTreeSet<String> {
        let any = !self.tasks.is_empty();
        any.then(|| MACHINE.to_owned()).into_iter().collect()
    }
    fn take_changed_machines(&mut self) -> BTreeSet<String> {
        let changed = std::mem::take(&mut self.changed);
        changed.then(|| MACHINE.to_owned()).into_iter().collect()
    }
}

/// A node's state as leader of a term.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Leadership {
    term: u64,
    /// Replica that the node held as a standby, until the standby registry is read.
    inherited_replica: Option<Replica>,
    loaded: bool,
    /// Whether the leader knows all tasks that may run.
    complete: bool,
    /// Whether the leader received a heartbeat of the worker in this term.
    heartbeat_received: bool,
    cluster_state: OneMachine,
    standbys: Standbys,
    /// Replication part, by stream and number, that awaits the answer of each node.
    parts_in_flight: [Option<(u64, u64)>; NODES],
    /// Whether a write of the standby registry awaits its answer.
    write_in_flight: bool,
}

#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    incarnation: u64,
    follower: ReplicaReceiver,
    lead: Option<Leadership>,
}

/// A message in transit.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
enum Msg {
    /// From a leader to a standby.
    Part(usize, usize, OrderedPart),
    /// To the leader, from the standby: term, stream and number of the part, incarnation of
    /// the standby, and whether the part was applied.
    PartAnswer(usize, usize, u64, (u64, u64), u64, bool),
    /// To the worker: fencing token, task and attempt.
    StartTask(u64, u32, u64),
    /// To the state service, from a node in its incarnation and term: expected version of the
    /// standby registry, and the standbys to register.
    Write(usize, u64, u64, u64, Vec<(String, u64)>),
    /// The answer to a write: node, term and new version. `None`: the write conflicted.
    WriteAnswer(usize, u64, Option<u64>),
}

/// A replication part in a form that can be ordered.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
struct OrderedPart {
    term: u64,
    id: (u64, u64),
    is_complete: bool,
    holds: Option<Vec<(u32, u64, u64)>>,
}

/// Maximum number of events of each kind in one order of events.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ExplorationBounds {
    /// Tasks that a leader wants to start.
    starts: u8,
    /// Restarts of nodes, and expirations of the leader's lease.
    ends: u8,
    /// Requests that time out without an answer.
    timeouts: u8,
    /// Rounds in which a peer does not respond.
    unanswered: u8,
    /// Rounds of all leaders together.
    rounds: u8,
}

/// State of the whole model.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    revision: u64,
    /// Holder of the leader's key: term and node.
    leader_key: Option<(u64, usize)>,
    /// The standby registry with its version.
    record: Option<(StandbyRecord, u64)>,
    nodes: [Node; NODES],
    in_transit: Vec<Msg>,
    /// Highest fencing token that the worker has seen.
    token: u64,
    /// Tasks that started on the worker, with their attempts.
    on_worker: BTreeSet<(u32, u64)>,
    next_task: u32,
    remaining: ExplorationBounds,
}

impl State {
    fn initial(remaining: ExplorationBounds) -> State {
        let mut state = State {
            now: 1_000,
            revision: 0,
            leader_key: None,
            record: None,
            nodes: Default::default(),
            in_transit: Vec::new(),
            token: 0,
            on_worker: BTreeSet::new(),
            next_task: 0,
            remaining,
        };
        for (node_id, node) in state.nodes.iter_mut().enumerate() {
            node.incarnation = node_id as u64 + 1;
        }
        state
    }

    /// Returns a state in which node 0 leads, has received a heartbeat of the worker, and both
    /// other nodes are registered standbys.
    fn with_warm_standbys(remaining: ExplorationBounds) -> State {
        let mut state = State::initial(ExplorationBounds {
            rounds: 9,
            ..remaining
        });
        assert!(state.become_leader(0) && state.load(0) && state.receive_heartbeat(0));
        for _ in 0..6 {
            state.run_round(0, None);
            while !state.in_transit.is_empty() {
                state.deliver(0);
            }
        }
        let (record, _) = state
            .record
            .as_ref()
            .expect("the standby registry is written");
        assert_eq!(record.standbys.len(), 2);
        state.remaining = remaining;
        state
    }

    /// Returns all states that one event leads to.
    fn successors(&self) -> Vec<State> {
        let mut all = Vec::new();
        let mut add = |f: &dyn Fn(&mut State) -> bool| {
            let mut s = self.clone();
            if f(&mut s) && s != *self {
                s.in_transit.sort();
                all.push(s);
            }
        };
        for position in 0..self.in_transit.len() {
            add(&|s| s.deliver(position));
        }
        // The lease of the leader's key expires, whatever its holder does.
        add(&|s| s.leader_key.take().is_some() && s.spend(|b| &mut b.ends));
        for i in 0..NODES {
            add(&|s| s.become_leader(i));
            add(&|s| s.load(i));
            add(&|s| s.receive_heartbeat(i));
            add(&|s| {
                // A leader's round that changes nothing is not an event of the model, and
                // is not counted towards the bound on rounds.
                let before = s.clone();
                s.run_round(i, None) && *s != before && s.spend(|b| &mut b.rounds)
            });
            for p in 0..NODES {
                add(&|s| p != i && s.run_round(i, Some(p)) && s.spend(|b| &mut b.unanswered));
                add(&|s| s.time_out_part(i, p) && s.spend(|b| &mut b.timeouts));
            }
            add(&|s| s.time_out_write(i) && s.spend(|b| &mut b.timeouts));
            add(&|s| s.start(i) && s.spend(|b| &mut b.starts));
            add(&|s| s.restart(i) && s.spend(|b| &mut b.ends));
        }
        all
    }

    /// Takes one event from a bound; returns whether the bound allowed it.
    fn spend(&mut self, bound: impl Fn(&mut ExplorationBounds) -> &mut u8) -> bool {
        let remaining = bound(&mut self.remaining);
        let allowed = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        allowed
    }

    fn deliver(&mut self, position: usize) -> bool {
        let now = self.now;
        match self.in_transit.remove(position) {
            Msg::Part(node_id, standby, part) => {
                if self.nodes[standby].lead.is_some() {
                    return true;
                }
                let (term, id) = (part.term, part.id);
                let node = &mut self.nodes[standby];
                let applied = node.follower.apply_part(part.part(), now);
                let standby_incarnation = node.incarnation;
                self.in_transit.push(Msg::PartAnswer(
                    node_id,
                    standby,
                    term,
                    id,
                    standby_incarnation,
                    applied,
                ));
            }
            Msg::PartAnswer(node_id, standby, term, id, standby_incarnation, applied) => {
                let lead = self.nodes[node_id].lead.as_mut();
                if let Some(leadership) =
                    lead.filter(|l| l.term == term && l.parts_in_flight[standby] == Some(id))
                {
                    leadership.parts_in_flight[standby] = None;
                    leadership.standbys.answered(
                        peer(node_id, standby),
                        Some((standby_incarnation, applied)),
                        &leadership.cluster_state,
                        now,
                    );
                }
            }
            Msg::StartTask(token, task, attempt) => {
                if token >= self.token {
                    self.token = token;
                    self.on_worker.insert((task, attempt));
                }
            }
            Msg::Write(node_id, incarnation, term, version, standbys) => {
                let current_version = self.record.as_ref().map_or(0, |(_, v)| *v);
                let still_leads = self.leader_key.is_some_and(|(t, _)| t == term);
                let done = (still_leads && current_version == version).then(|| {
                    self.revision += 1;
                    let record = StandbyRecord {
                        term,
                        standbys,
                        known_to_all: true,
                    };
                    self.record = Some((record, self.revision));
                    self.revision
                });
                if self.nodes[node_id].incarnation == incarnation {
                    self.in_transit.push(Msg::WriteAnswer(node_id, term, done));
                }
            }
            Msg::WriteAnswer(node_id, term, done) => {
                let found = self.record.clone();
                let lead = self.nodes[node_id].lead.as_mut();
                if let Some(leadership) = lead.filter(|l| l.term == term && l.write_in_flight) {
                    leadership.write_in_flight = false;
                    let write_outcome = done.map_or(
                        RegistryWriteOutcome::Reread(found),
                        RegistryWriteOutcome::Done,
                    );
                    leadership
                        .standbys
                        .registry_write_finished(write_outcome, now);
                }
            }
        }
        true
    }

    fn become_leader(&mut self, node_id: usize) -> bool {
        if self.leader_key.is_some() || self.nodes[node_id].lead.is_some() || self.revision > 40 {
            return false;
        }
        self.revision += 1;
        let term = self.revision;
        self.leader_key = Some((term, node_id));
        let node = &mut self.nodes[node_id];
        let peers = (0..NODES).filter(|j| *j != node_id);
        let standbys = Standbys::new(term, 2, peers.map(|j| (name(j), false)));
        node.lead = Some(Leadership {
            term,
            inherited_replica: node.follower.take_replica(term),
            loaded: false,
            complete: false,
            heartbeat_received: false,
            cluster_state: OneMachine::default(),
            standbys,
            parts_in_flight: [None; NODES],
            write_in_flight: false,
        });
        true
    }

    /// The new leader reads the standby registry, and takes over its replica if the checks
    /// allow a warm failover. A leader reads the registry only while it holds the key.
    fn load(&mut self, node_id: usize) -> bool {
        let record = self.record.clone();
        let key = self.leader_key;
        let incarnation = self.nodes[node_id].incarnation;
        let Some(leadership) = self.nodes[node_id].lead.as_mut().filter(|l| !l.loaded) else {
            return false;
        };
        if key != Some((leadership.term, node_id)) {
            return false;
        }
        leadership.loaded = true;
        let claim = FailoverClaim {
            node_name: &name(node_id),
            incarnation,
            record: record.as_ref().map(|(r, _)| r),
            replica: leadership.inherited_replica.as_ref(),
        };
        if failover_checks::check_failover(&claim).is_ok() {
            let replica = leadership.inherited_replica.take().unwrap_or_default();
            for (_, _, ReplicatedTask(task, attempt, ..)) in replica.placements_latest_first() {
                leadership.cluster_state.put(task, attempt, true);
            }
            leadership.complete = true;
        }
        leadership.inherited_replica = None;
        leadership.standbys.registry_loaded(record);
        true
    }

    /// The leader receives a heartbeat of the worker, which has seen the leader's token.
    fn receive_heartbeat(&mut self, node_id: usize) -> bool {
        let Some(leadership) = self.nodes[node_id].lead.as_mut() else {
            return false;
        };
        if !leadership.loaded || leadership.heartbeat_received || leadership.term < self.token {
            return false;
        }
        self.token = leadership.term;
        leadership.heartbeat_received = true;
        leadership.complete = true;
        leadership
            .cluster_state
            .tasks
            .retain(|t, (a, ..)| self.on_worker.contains(&(*t, *a)));
        leadership.cluster_state.changed = true;
        for (task, attempt) in &self.on_worker {
            if !leadership.cluster_state.tasks.contains_key(task) {
                leadership.cluster_state.put(*task, *attempt, true);
            }
        }
        true
    }

    /// The leader wants to start a new task.
    fn start(&mut self, node_id: usize) -> bool {
        let task = self.next_task;
        let Some(leadership) = self.nodes[node_id]
            .lead
            .as_mut()
            .filter(|l| l.heartbeat_received)
        else {
            return false;
        };
        leadership.cluster_state.put(task, leadership.term, false);
        leadership.standbys.start_wanted();
        self.next_task += 1;
        true
    }

    /// Runs one round of the leader, as `server::control_loop` does: sends the starts that are
    /// confirmed, updates the standby registry, and replicates to standbys. `unresponsive`: a
    /// peer that does not respond.
    fn run_round(&mut self, node_id: usize, unresponsive: Option<usize>) -> bool {
        let now = self.now;
        let incarnation = self.nodes[node_id].incarnation;
        let Some(leadership) = self.nodes[node_id].lead.as_mut().filter(|l| l.loaded) else {
            return false;
        };
        let confirmed = leadership.standbys.confirmed_change();
        for (task, (attempt, change, sent)) in leadership.cluster_state.tasks.iter_mut() {
            if !*sent && *change <= confirmed {
                *sent = true;
                leadership.cluster_state.sent = leadership.cluster_state.sent.max(*change);
                self.in_transit
                    .push(Msg::StartTask(leadership.term, *task, *attempt));
            }
        }
        let peers: Vec<usize> = (0..NODES).filter(|standby| *standby != node_id).collect();
        let responds = |peer_index: usize| Some(peers[peer_index]) != unresponsive;
        let txn = leadership.standbys.select_and_record(
            &mut leadership.cluster_state,
            leadership.complete,
            responds,
            now,
        );
        if let Some(txn) = txn {
            leadership.write_in_flight = true;
            let (version, named) = written(&txn);
            self.in_transit.push(Msg::Write(
                node_id,
                incarnation,
                leadership.term,
                version,
                named,
            ));
        }
        for (peer_index, standby) in peers.iter().enumerate() {
            if let Some(part) =
                leadership
                    .standbys
                    .next_part(peer_index, &mut leadership.cluster_state, now)
            {
                leadership.parts_in_flight[*standby] = Some((part.stream, part.part));
                // Bounds the states of a former leader, which would begin new streams forever.
                if part.stream <= MAX_STREAMS {
                    self.in_transit
                        .push(Msg::Part(node_id, *standby, OrderedPart::of(part)));
                }
            }
        }
        true
    }

    /// A replication part times out without an answer; the part may still arrive.
    fn time_out_part(&mut self, node_id: usize, standby: usize) -> bool {
        let now = self.now;
        let Some(leadership) = self.nodes[node_id].lead.as_mut() else {
            return false;
        };
        if leadership.parts_in_flight[standby].take().is_none() {
            return false;
        }
        leadership
            .standbys
            .answered(peer(node_id, standby), None, &leadership.cluster_state, now);
        self.now += 250;
        true
    }

    /// A write of the standby registry times out; the write may still be applied.
    fn time_out_write(&mut self, node_id: usize) -> bool {
        let (now, found) = (self.now, self.record.clone());
        let Some(leadership) = self.nodes[node_id]
            .lead
            .as_mut()
            .filter(|l| l.write_in_flight)
        else {
            return false;
        };
        leadership.write_in_flight = false;
        leadership
            .standbys
            .registry_write_finished(RegistryWriteOutcome::Reread(found), now);
        self.now += 250;
        true
    }

    /// The node's process restarts without memory.
    fn restart(&mut self, node_id: usize) -> bool {
        let incarnation = self.nodes[node_id].incarnation + 10;
        self.nodes[node_id] = Node {
            incarnation,
            ..Node::default()
        };
        true
    }

    /// Returns a violation of the invariants, if there is one: a registered standby and the
    /// leader know all tasks that run on the worker or may still start there.
    fn violation(&self) -> Option<String> {
        let possible = self.in_transit.iter().filter_map(|m| match m {
            Msg::StartTask(token, task, attempt) if *token >= self.token => {
                Some((*token, *task, *attempt))
            }
            _ => None,
        });
        let pending_starts: Vec<(u64, u32, u64)> = possible.collect();
        if let Some((record, _)) = &self.record {
            for (node_name, incarnation) in &record.standbys {
                let node = (0..NODES).find(|j| name(*j) == *node_name)?;
                let node = &self.nodes[node];
                if node.incarnation != *incarnation || node.lead.is_some() {
                    continue;
                }
                let Some(replica) = node.follower.replica().filter(|c| c.term >= record.term)
                else {
                    continue;
                };
                let all = self.on_worker.iter().copied();
                for (task, attempt) in all.chain(pending_starts.iter().map(|(_, t, a)| (*t, *a))) {
                    if !replica.holds(MACHINE, JOB, task, attempt) {
                        return Some(format!("registered standby {node_name} lacks task {task}"));
                    }
                }
            }
        }
        let (term, leader_node) = self.leader_key?;
        let leadership = self.nodes[leader_node].lead.as_ref()?;
        if leadership.term == term && leadership.complete {
            let has_task = |t: &u32| leadership.cluster_state.tasks.contains_key(t);
            let on_worker = self.on_worker.iter().all(|(t, _)| has_task(t));
            let pending_starts = pending_starts.iter().all(|(_, t, _)| has_task(t));
            if !on_worker || !pending_starts {
                return Some(format!(
                    "leader {} lacks a task that runs or may start",
                    name(leader_node)
                ));
            }
        }
        None
    }
}

impl OrderedPart {
    fn of(part: ReplicationPart) -> OrderedPart {
        let holds = part.machines.first().map(|machine| {
            let tasks = machine.jobs.iter().flat_map(|(_, tasks)| tasks);
            tasks.map(|t| (t.0, t.1, t.2)).collect()
        });
        OrderedPart {
            term: part.term,
            id: (part.stream, part.part),
            is_complete: part.complete,
            holds,
        }
    }

    fn part(self) -> ReplicationPart {
        let machines = self.holds.map(|tasks| {
            let tasks: Vec<ReplicatedTask> = tasks
                .into_iter()
                .map(|(t, a, c)| ReplicatedTask(t, a, c, ReplicatedPhase::Sent))
                .collect();
            let jobs = (!tasks.is_empty()).then(|| (JOB.to_owned(), tasks));
            MachineTasks {
                machine: MACHINE.to_owned(),
                jobs: jobs.into_iter().collect(),
            }
        });
        ReplicationPart {
            term: self.term,
            stream: self.id.0,
            part: self.id.1,
            complete: self.is_complete,
            counted: true,
            machines: machines.into_iter().collect(),
        }
    }
}

fn name(node_id: usize) -> String {
    format!("n{node_id}")
}

/// Returns node `other` as an index into the peers of `node`.
fn peer(node: usize, other: usize) -> usize {
    if other < node { other } else { other - 1 }
}

/// Returns the version that a registry write expects, and the standbys that it registers.
fn written(txn: &Txn) -> (u64, Vec<(String, u64)>) {
    let condition = txn
        .conditions
        .iter()
        .find(|condition| condition.key == STANDBYS)
        .unwrap();
    let Write::Put { value, .. } = &txn.writes[0] else {
        panic!("the registry write is not a put");
    };
    (
        condition.version,
        StandbyRecord::read(value.clone()).standbys,
    )
}

fn hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Explores all states within the bounds, at most `max_states`. Returns the number of states,
/// and whether all were explored.
fn explore(bounds: ExplorationBounds, max_states: usize) -> (usize, bool) {
    let initial_state = State::with_warm_standbys(bounds);
    let mut seen: HashSet<u64> = HashSet::from([hash(&initial_state)]);
    let mut open = vec![initial_state];
    while let Some(state) = open.pop() {
        for next in state.successors() {
            if !seen.insert(hash(&next)) {
                continue;
            }
            if let Some(violation) = next.violation() {
                panic!(
                    "{violation}; standby registry {:?}, messages in transit {:?}",
                    next.record, next.in_transit
                );
            }
            if seen.len() >= max_states {
                return (seen.len(), false);
            }
            open.push(next);
        }
    }
    (seen.len(), true)
}

#[test]
fn registered_standby_is_informed_in_every_event_order() {
    let given = std::env::var("BOUNDS").unwrap_or_else(|_| "1,1,0,0,4".into());
    let limits: Vec<u8> = given
        .split(',')
        .map(|number| number.parse().unwrap())
        .collect();
    let bounds = ExplorationBounds {
        starts: limits[0],
        ends: limits[1],
        timeouts: limits[2],
        unanswered: limits[3],
        rounds: limits[4],
    };
    let max_states = std::env::var("STATES").map_or(60_000, |number| number.parse().unwrap());
    let (states, all) = explore(bounds, max_states);
    println!("{states} states explored, exploration complete: {all}");
    assert!(states > 1_000, "{states}");
}
