//! Every order of events around a takeover, within bounds: three controllers,
//! the state service and one worker; messages that are lost, late or come
//! twice, leaders that act on though their key is gone, nodes that end and
//! begin anew. What decides is the program's own: the leader's side, the copy
//! and the checks of `control::standby`. No clock is relied on: a leader
//! here acts until it ends, whoever leads by then.
//!
//! Bounds are raised by hand, see `docs/results.md`:
//!
//!     BOUNDS=starts,ends,losses,strikes,rounds cargo test --release --test failover -- --nocapture

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
/// Streams of a leader to a peer that are followed.
const MOST_STREAMS: u64 = 3;

/// The cluster state of one machine: tasks with attempt, change, and whether the
/// start was sent.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct OneMachine {
    changes: u64,
    sent: u64,
    tasks: BTreeMap<u32, (u64, u64, bool)>,
    touched: bool,
}

impl OneMachine {
    fn put(&mut self, task: u32, attempt: u64, sent: bool) {
        self.changes += 1;
        self.tasks.insert(task, (attempt, self.changes, sent));
        self.touched = true;
    }
}

impl ReplicatedState for OneMachine {
    fn changes(&self) -> u64 {
        self.changes
    }
    fn sent(&self) -> u64 {
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
        let touched = std::mem::take(&mut self.touched);
        touched.then(|| MACHINE.to_owned()).into_iter().collect()
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Leadership {
    term: u64,
    /// Brought along, until the record is read.
    copy: Option<Replica>,
    loaded: bool,
    /// It knows all that may run.
    complete: bool,
    /// The worker was heard in this term.
    heard: bool,
    picture: OneMachine,
    standbys: Standbys,
    /// Parts that are on their way, by peer.
    telling: [Option<(u64, u64)>; NODES],
    writing: bool,
}

#[derive(Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    incarnation: u64,
    follower: ReplicaReceiver,
    lead: Option<Leadership>,
}

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
enum Msg {
    Tell(usize, usize, LeaderReplied),
    Answer(usize, usize, u64, (u64, u64), u64, bool),
    Start(u64, u32, u64),
    /// By a node in its incarnation and term: the version it is guarded by,
    /// and what it writes.
    Write(usize, u64, u64, u64, Vec<(String, u64)>),
    /// `None`: it conflicts.
    Wrote(usize, u64, Option<u64>),
}

/// A part, in a form that can be ordered.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
struct LeaderReplied {
    term: u64,
    id: (u64, u64),
    whole: bool,
    holds: Option<Vec<(u32, u64, u64)>>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct SafetyBounds {
    starts: u8,
    ends: u8,
    losses: u8,
    strikes: u8,
    /// Rounds of leaders, all together.
    rounds: u8,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    revision: u64,
    key: Option<(u64, usize)>,
    record: Option<(StandbyRecord, u64)>,
    nodes: [Node; NODES],
    wire: Vec<Msg>,
    token: u64,
    on: BTreeSet<(u32, u64)>,
    next_task: u32,
    left: SafetyBounds,
}

impl State {
    fn begin(left: SafetyBounds) -> State {
        let mut s = State {
            now: 1_000,
            revision: 0,
            key: None,
            record: None,
            nodes: Default::default(),
            wire: Vec::new(),
            token: 0,
            on: BTreeSet::new(),
            next_task: 0,
            left,
        };
        for (i, n) in s.nodes.iter_mut().enumerate() {
            n.incarnation = i as u64 + 1;
        }
        s
    }

    /// A leader that has heard the worker, with both others named.
    fn warm(left: SafetyBounds) -> State {
        let mut s = State::begin(SafetyBounds { rounds: 9, ..left });
        assert!(s.acquire(0) && s.load(0) && s.hear(0));
        for _ in 0..6 {
            s.act(0, None);
            while !s.wire.is_empty() {
                s.deliver(0);
            }
        }
        let (record, _) = s.record.as_ref().expect("a record");
        assert_eq!(record.named.len(), 2);
        s.left = left;
        s
    }

    /// Everything that may happen next.
    fn next(&self) -> Vec<State> {
        let mut all = Vec::new();
        let mut add = |f: &dyn Fn(&mut State) -> bool| {
            let mut s = self.clone();
            if f(&mut s) && s != *self {
                s.wire.sort();
                all.push(s);
            }
        };
        for at in 0..self.wire.len() {
            add(&|s| s.deliver(at));
        }
        // The lease of the key ends, whatever its holder does.
        add(&|s| s.key.take().is_some() && s.spend(|b| &mut b.ends));
        for i in 0..NODES {
            add(&|s| s.acquire(i));
            add(&|s| s.load(i));
            add(&|s| s.hear(i));
            add(&|s| {
                // One in which nothing happens costs nothing, and is no event.
                let before = s.clone();
                s.act(i, None) && *s != before && s.spend(|b| &mut b.rounds)
            });
            for p in 0..NODES {
                add(&|s| p != i && s.act(i, Some(p)) && s.spend(|b| &mut b.strikes));
                add(&|s| s.give_up(i, p) && s.spend(|b| &mut b.losses));
            }
            add(&|s| s.give_up_write(i) && s.spend(|b| &mut b.losses));
            add(&|s| s.start(i) && s.spend(|b| &mut b.starts));
            add(&|s| s.end(i) && s.spend(|b| &mut b.ends));
        }
        all
    }

    fn spend(&mut self, of: impl Fn(&mut SafetyBounds) -> &mut u8) -> bool {
        let left = of(&mut self.left);
        let some = *left > 0;
        *left = left.saturating_sub(1);
        some
    }

    fn deliver(&mut self, at: usize) -> bool {
        let now = self.now;
        match self.wire.remove(at) {
            Msg::Tell(i, j, told) => {
                if self.nodes[j].lead.is_some() {
                    return true;
                }
                let (term, id) = (told.term, told.id);
                let node = &mut self.nodes[j];
                let taken = node.follower.apply_part(told.part(), now);
                let by = node.incarnation;
                self.wire.push(Msg::Answer(i, j, term, id, by, taken));
            }
            Msg::Answer(i, j, term, id, by, taken) => {
                let lead = self.nodes[i].lead.as_mut();
                if let Some(l) = lead.filter(|l| l.term == term && l.telling[j] == Some(id)) {
                    l.telling[j] = None;
                    l.standbys
                        .answered(peer(i, j), Some((by, taken)), &l.picture, now);
                }
            }
            Msg::Start(token, task, attempt) => {
                if token >= self.token {
                    self.token = token;
                    self.on.insert((task, attempt));
                }
            }
            Msg::Write(i, incarnation, term, version, named) => {
                let stands = self.record.as_ref().map_or(0, |(_, v)| *v);
                let led = self.key.is_some_and(|(t, _)| t == term);
                let done = (led && stands == version).then(|| {
                    self.revision += 1;
                    let record = StandbyRecord {
                        term,
                        named,
                        known_to_all: true,
                    };
                    self.record = Some((record, self.revision));
                    self.revision
                });
                if self.nodes[i].incarnation == incarnation {
                    self.wire.push(Msg::Wrote(i, term, done));
                }
            }
            Msg::Wrote(i, term, done) => {
                let found = self.record.clone();
                let lead = self.nodes[i].lead.as_mut();
                if let Some(l) = lead.filter(|l| l.term == term && l.writing) {
                    l.writing = false;
                    let how = done.map_or(
                        RegistryWriteOutcome::Reread(found),
                        RegistryWriteOutcome::Done,
                    );
                    l.standbys.written(how, now);
                }
            }
        }
        true
    }

    fn acquire(&mut self, i: usize) -> bool {
        if self.key.is_some() || self.nodes[i].lead.is_some() || self.revision > 40 {
            return false;
        }
        self.revision += 1;
        let term = self.revision;
        self.key = Some((term, i));
        let node = &mut self.nodes[i];
        let peers = (0..NODES).filter(|j| *j != i);
        let standbys = Standbys::new(term, 2, peers.map(|j| (name(j), false)));
        node.lead = Some(Leadership {
            term,
            copy: node.follower.take_replica(term),
            loaded: false,
            complete: false,
            heard: false,
            picture: OneMachine::default(),
            standbys,
            telling: [None; NODES],
            writing: false,
        });
        true
    }

    /// Reads the record, and goes by the copy if the checks allow it. It reads
    /// while the key is its own, or not at all.
    fn load(&mut self, i: usize) -> bool {
        let record = self.record.clone();
        let key = self.key;
        let incarnation = self.nodes[i].incarnation;
        let Some(l) = self.nodes[i].lead.as_mut().filter(|l| !l.loaded) else {
            return false;
        };
        if key != Some((l.term, i)) {
            return false;
        }
        l.loaded = true;
        let claim = FailoverClaim {
            me: &name(i),
            incarnation,
            record: record.as_ref().map(|(r, _)| r),
            replica: l.copy.as_ref(),
        };
        if failover_checks::check_failover(&claim).is_ok() {
            let copy = l.copy.take().unwrap_or_default();
            for (_, _, ReplicatedTask(task, attempt, ..)) in copy.latest_first() {
                l.picture.put(task, attempt, true);
            }
            l.complete = true;
        }
        l.copy = None;
        l.standbys.loaded(record);
        true
    }

    /// The worker reports to it, and has seen its token.
    fn hear(&mut self, i: usize) -> bool {
        let Some(l) = self.nodes[i].lead.as_mut() else {
            return false;
        };
        if !l.loaded || l.heard || l.term < self.token {
            return false;
        }
        self.token = l.term;
        l.heard = true;
        l.complete = true;
        l.picture
            .tasks
            .retain(|t, (a, ..)| self.on.contains(&(*t, *a)));
        l.picture.touched = true;
        for (task, attempt) in &self.on {
            if !l.picture.tasks.contains_key(task) {
                l.picture.put(*task, *attempt, true);
            }
        }
        true
    }

    fn start(&mut self, i: usize) -> bool {
        let task = self.next_task;
        let Some(l) = self.nodes[i].lead.as_mut().filter(|l| l.heard) else {
            return false;
        };
        l.picture.put(task, l.term, false);
        l.standbys.start_wanted();
        self.next_task += 1;
        true
    }

    /// One round of the leader, as in `node::engine`: what may be started is,
    /// the record is looked at, standbys are told. `unresponsive`: a peer that does
    /// not answer.
    fn act(&mut self, i: usize, silent: Option<usize>) -> bool {
        let now = self.now;
        let incarnation = self.nodes[i].incarnation;
        let Some(l) = self.nodes[i].lead.as_mut().filter(|l| l.loaded) else {
            return false;
        };
        let confirmed = l.standbys.confirmed_change();
        for (task, (attempt, change, sent)) in l.picture.tasks.iter_mut() {
            if !*sent && *change <= confirmed {
                *sent = true;
                l.picture.sent = l.picture.sent.max(*change);
                self.wire.push(Msg::Start(l.term, *task, *attempt));
            }
        }
        let peers: Vec<usize> = (0..NODES).filter(|j| *j != i).collect();
        let answers = |p: usize| Some(peers[p]) != silent;
        let txn = l.standbys.step(&mut l.picture, l.complete, answers, now);
        if let Some(txn) = txn {
            l.writing = true;
            let (version, named) = written(&txn);
            self.wire
                .push(Msg::Write(i, incarnation, l.term, version, named));
        }
        for (p, j) in peers.iter().enumerate() {
            if let Some(part) = l.standbys.next(p, &mut l.picture, now) {
                l.telling[*j] = Some((part.stream, part.part));
                // Guards against an old leader that begins for ever anew.
                if part.stream <= MOST_STREAMS {
                    self.wire.push(Msg::Tell(i, *j, LeaderReplied::of(part)));
                }
            }
        }
        true
    }

    /// No answer in time; the part may yet arrive.
    fn give_up(&mut self, i: usize, j: usize) -> bool {
        let now = self.now;
        let Some(l) = self.nodes[i].lead.as_mut() else {
            return false;
        };
        if l.telling[j].take().is_none() {
            return false;
        }
        l.standbys.answered(peer(i, j), None, &l.picture, now);
        self.now += 250;
        true
    }

    /// The same for a write, which may yet be applied.
    fn give_up_write(&mut self, i: usize) -> bool {
        let (now, found) = (self.now, self.record.clone());
        let Some(l) = self.nodes[i].lead.as_mut().filter(|l| l.writing) else {
            return false;
        };
        l.writing = false;
        l.standbys.written(RegistryWriteOutcome::Reread(found), now);
        self.now += 250;
        true
    }

    fn end(&mut self, i: usize) -> bool {
        let incarnation = self.nodes[i].incarnation + 10;
        self.nodes[i] = Node {
            incarnation,
            ..Node::default()
        };
        true
    }

    /// What is wrong, if anything.
    fn wrong(&self) -> Option<String> {
        let may = self.wire.iter().filter_map(|m| match m {
            Msg::Start(token, task, attempt) if *token >= self.token => {
                Some((*token, *task, *attempt))
            }
            _ => None,
        });
        let coming: Vec<(u64, u32, u64)> = may.collect();
        if let Some((record, _)) = &self.record {
            for (n, incarnation) in &record.named {
                let node = (0..NODES).find(|j| name(*j) == *n)?;
                let node = &self.nodes[node];
                if node.incarnation != *incarnation || node.lead.is_some() {
                    continue;
                }
                let Some(copy) = node.follower.replica().filter(|c| c.term >= record.term) else {
                    continue;
                };
                let all = self.on.iter().copied();
                for (task, attempt) in all.chain(coming.iter().map(|(_, t, a)| (*t, *a))) {
                    if !copy.holds(MACHINE, JOB, task, attempt) {
                        return Some(format!("{n} is named and does not know of {task}"));
                    }
                }
            }
        }
        let (term, leader) = self.key?;
        let l = self.nodes[leader].lead.as_ref()?;
        if l.term == term && l.complete {
            let knows = |t: &u32| l.picture.tasks.contains_key(t);
            let on = self.on.iter().all(|(t, _)| knows(t));
            let coming = coming.iter().all(|(_, t, _)| knows(t));
            if !on || !coming {
                return Some(format!("{} leads and does not know all", name(leader)));
            }
        }
        None
    }
}

impl LeaderReplied {
    fn of(f: ReplicationPart) -> LeaderReplied {
        let holds = f.machines.first().map(|m| {
            let tasks = m.jobs.iter().flat_map(|(_, tasks)| tasks);
            tasks.map(|t| (t.0, t.1, t.2)).collect()
        });
        LeaderReplied {
            term: f.term,
            id: (f.stream, f.part),
            whole: f.complete,
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
            complete: self.whole,
            counted: true,
            machines: machines.into_iter().collect(),
        }
    }
}

fn name(i: usize) -> String {
    format!("n{i}")
}

/// Node `j` as an index into the peers of `i`.
fn peer(i: usize, j: usize) -> usize {
    if j < i { j } else { j - 1 }
}

/// The version that a write is guarded by, and whom it names.
fn written(txn: &Txn) -> (u64, Vec<(String, u64)>) {
    let guard = txn.conditions.iter().find(|g| g.key == STANDBYS).unwrap();
    let Write::Put { value, .. } = &txn.writes[0] else {
        panic!("not a put");
    };
    (guard.version, StandbyRecord::read(value.clone()).named)
}

fn hash(s: &State) -> u64 {
    let mut h = DefaultHasher::new();
    s.hash(&mut h);
    h.finish()
}

/// Explores all states within the bounds, at most so many.
fn explore(bounds: SafetyBounds, most: usize) -> (usize, bool) {
    let begin = State::warm(bounds);
    let mut seen: HashSet<u64> = HashSet::from([hash(&begin)]);
    let mut open = vec![begin];
    while let Some(state) = open.pop() {
        for next in state.next() {
            if !seen.insert(hash(&next)) {
                continue;
            }
            if let Some(wrong) = next.wrong() {
                panic!("{wrong}; record {:?}, wire {:?}", next.record, next.wire);
            }
            if seen.len() >= most {
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
    let n: Vec<u8> = given.split(',').map(|n| n.parse().unwrap()).collect();
    let bounds = SafetyBounds {
        starts: n[0],
        ends: n[1],
        losses: n[2],
        strikes: n[3],
        rounds: n[4],
    };
    let most = std::env::var("STATES").map_or(60_000, |n| n.parse().unwrap());
    let (states, all) = explore(bounds, most);
    println!("{states} states, all of them: {all}");
    assert!(states > 1_000, "{states}");
}
