//! The network: who reaches whom, and what is on its way.

use super::*;

/// A machine's network.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Net {
    Up,
    /// Nothing arrives; what was sent is delivered when the cut ends.
    Hold,
    /// Nothing arrives, ever.
    Lose,
    /// Its reports arrive; answers and commands don't.
    Deaf,
    /// It can open no connection to a controller; direct commands arrive, and
    /// their answers.
    Mute,
}

/// How a controller is cut off: packets are held, or refused.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Cut {
    Hold,
    Reset,
}

/// From what a controller is cut off.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Side {
    State,
    Workers,
    Worker(usize),
    Node(usize),
    /// From everything, its users included.
    All,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum EndLease {
    State,
    Worker(usize),
    Node(usize),
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Link {
    Up,
    Hold,
    Reset,
}

#[derive(Clone)]
pub(super) enum Msg {
    Beat(usize, usize, Heartbeat, Millis),
    /// A report that comes once more: nobody waits for the answer.
    Replica(usize, usize, Heartbeat),
    /// Passed on by the first node to the second.
    Relay(usize, usize, usize, Heartbeat, Millis),
    Reply(usize, usize, Option<HeartbeatResponse>, u64, u64, Millis),
    Do(usize, usize, u64, DirectCommands),
    Done(usize, u64, String, u64, Option<(bool, Heartbeat)>),
    /// The first node tells the second, its standby.
    Tell(usize, usize, Follow),
    /// The second node's answer to the first, which led that term, about that
    /// part: who it is, and whether it was taken in.
    LeaderReplied(usize, usize, u64, (u64, u64), Option<(u64, bool)>),
}

impl Msg {
    fn ends(&self) -> Option<(usize, usize)> {
        match self {
            Msg::Beat(i, w, ..)
            | Msg::Replica(i, w, ..)
            | Msg::Reply(w, i, ..)
            | Msg::Do(i, w, ..) => Some((*i, *w)),
            Msg::Relay(..) | Msg::Done(..) | Msg::Tell(..) | Msg::LeaderReplied(..) => None,
        }
    }
}

impl World {
    // ---- troubles ----

    pub fn crash(&mut self, i: usize, back: Millis) {
        let n = &mut self.nodes[i];
        n.alive = false;
        n.flushing = None;
        n.leader = None;
        n.back_at = self.now + back;
        n.unclear = None;
        n.record_open = None;
        self.desk.forget_node(i);
    }

    /// Nothing passes between the node and these machines.
    pub fn cut_worker_off(&mut self, i: usize, machines: &[usize]) {
        for m in machines {
            self.cuts.push((i, Side::Worker(*m), Cut::Hold));
        }
    }

    pub fn cut(&mut self, i: usize, side: Side, how: Cut) {
        self.cuts.push((i, side, how));
    }

    /// All cuts of a node end; what was held arrives.
    pub fn join(&mut self, i: usize) {
        self.cuts.retain(|(n, ..)| *n != i);
        for (at, node, _) in self.store.held.iter_mut() {
            if *node == i && *at == Millis::MAX {
                *at = self.now;
            }
        }
        for (at, node, ..) in self.late_ops.iter_mut() {
            if *node == i && *at == Millis::MAX {
                *at = self.now;
            }
        }
        self.release_held();
    }

    /// The node goes on computing for a moment, but nothing of what comes out
    /// leaves it before `ms` have passed; meanwhile it takes in nothing and
    /// its clock runs on.
    pub fn stand_still(&mut self, i: usize, ms: Millis) {
        if !self.nodes[i].alive || self.nodes[i].still_until > self.now {
            return;
        }
        let until = self.now + ms;
        self.stalls = Some((i, until));
        self.node_time(i);
        self.stalls = None;
        self.nodes[i].still_until = until;
    }

    /// A machine is back at once under its name, with nothing on it. What was
    /// on its way to it came over connections that are gone.
    pub fn restart_machine(&mut self, w: usize) {
        let now = self.now;
        let to_it = |m: &Msg| match m {
            Msg::Do(_, to, ..) | Msg::Reply(to, ..) => *to == w,
            _ => false,
        };
        self.wire.retain(|(_, m)| !to_it(m));
        self.held.retain(|m| !to_it(m));
        let worker = &mut self.workers[w];
        worker.tasks.clear();
        (worker.session, worker.seq, worker.token) = (1, 0, 0);
        (worker.flight, worker.last_ok, worker.next) = (None, now, now + 200);
    }

    /// So late that it says nothing any more, a copy of a report comes to some
    /// node.
    pub(super) fn copy(&mut self, w: usize, report: &Heartbeat) {
        if self.keep_copies {
            // Of each machine two, none of them soon after the other.
            let of = |r: &&(usize, Heartbeat)| r.0 == w;
            if self.kept.iter().filter(of).count() < 2 && self.rng.u8(..3) == 0 {
                self.kept.push((w, report.clone()));
            }
        }
        if self.copies == 0 || self.rng.u32(..100) >= self.copies {
            return;
        }
        let (i, late) = (
            self.rng.usize(..self.nodes.len()),
            self.rng.u64(500..30_000),
        );
        let copy = Msg::Replica(i, w, report.clone());
        self.wire.push((self.now + late, copy));
    }

    /// What was kept reaches every controller just as a leader begins, and once
    /// more after it has acted.
    pub(super) fn deliver_kept(&mut self) {
        for (w, report) in std::mem::take(&mut self.kept) {
            self.copied += 1;
            for i in 0..self.nodes.len() {
                for late in [self.rng.u64(0..400), self.rng.u64(2_000..12_000)] {
                    let copy = Msg::Replica(i, w, report.clone());
                    self.wire.push((self.now + late, copy));
                }
            }
        }
    }

    /// The machine stands still for so long: what comes to it waits at its door.
    pub fn hang(&mut self, w: usize, ms: Millis) {
        self.workers[w].hangs_until = self.now + ms;
    }

    /// It goes on.
    pub fn wake(&mut self, w: usize) {
        let hangs = &mut self.workers[w].hangs_until;
        *hangs = (*hangs).min(self.now);
    }

    /// It stops with all that is on it.
    pub fn die(&mut self, w: usize) {
        self.workers[w].alive = false;
        self.workers[w].tasks.clear();
    }

    pub fn heal(&mut self, w: usize) {
        self.workers[w].net = Net::Up;
        self.release_held();
    }

    fn release_held(&mut self) {
        for m in std::mem::take(&mut self.held) {
            match m.ends() {
                Some((i, w)) => self.send(i, w, 5, m),
                None => self.wire.push((self.now + 5, m)),
            }
        }
    }

    // ---- who reaches whom ----

    pub fn link(&self, i: usize, other: EndLease) -> Link {
        let hits = |n: usize, side: Side, other: EndLease| match (side, other) {
            (Side::All, _)
            | (Side::State, EndLease::State)
            | (Side::Workers, EndLease::Worker(_)) => n == i,
            (Side::Node(a), EndLease::Node(b)) => n == i && a == b,
            (Side::Worker(a), EndLease::Worker(b)) => n == i && a == b,
            _ => false,
        };
        let mut link = Link::Up;
        for (n, side, how) in &self.cuts {
            let own = hits(*n, *side, other);
            let theirs =
                other == EndLease::Node(*n) && (*side == Side::All || *side == Side::Node(i));
            if own || theirs {
                match how {
                    Cut::Hold => return Link::Hold,
                    Cut::Reset => link = Link::Reset,
                }
            }
        }
        link
    }

    /// It runs, and users, health checks and others reach it.
    pub fn reaches(&self, i: usize) -> bool {
        self.nodes[i].alive && self.nodes[i].still_until <= self.now && self.is_cut_off(i).is_none()
    }

    /// From everything.
    pub fn is_cut_off(&self, i: usize) -> Option<Cut> {
        let of = |(n, side, _): &&(usize, Side, Cut)| *n == i && *side == Side::All;
        self.cuts.iter().find(of).map(|(_, _, how)| *how)
    }

    pub fn reaches_state(&self, i: usize) -> bool {
        !self.store.refuses(i) && self.link(i, EndLease::State) == Link::Up
    }

    /// How a question of one node to another ends at once, if it does.
    pub(super) fn contact(&self, i: usize, j: usize) -> Option<PeerHealth> {
        match self.link(i, EndLease::Node(j)) {
            Link::Hold => None,
            Link::Reset => Some(PeerHealth::Refusing),
            Link::Up if !self.nodes[j].alive => Some(PeerHealth::Refusing),
            Link::Up if self.nodes[j].still_until > self.now => None,
            Link::Up => Some(PeerHealth::Healthy),
        }
    }

    // ---- what is on its way ----

    pub(super) fn send(&mut self, i: usize, w: usize, delay: Millis, msg: Msg) {
        let from_node = matches!(msg, Msg::Reply(..) | Msg::Do(..));
        let stalled = self.stalls.filter(|(n, _)| *n == i && from_node);
        let slow = self.slow_links.get(&w).copied().unwrap_or(0);
        let at = stalled.map_or(self.now, |(_, until)| until) + delay + slow;
        match (self.workers[w].net, self.link(i, EndLease::Worker(w))) {
            (Net::Up, Link::Up) => self.wire.push((at, msg)),
            (Net::Deaf, Link::Up) if !from_node => self.wire.push((at, msg)),
            (Net::Mute, Link::Up) if matches!(msg, Msg::Do(..)) => self.wire.push((at, msg)),
            (Net::Lose | Net::Deaf | Net::Mute, _) | (_, Link::Reset) => {}
            _ => self.held.push(msg),
        }
    }

    pub(super) fn send_direct(&mut self, i: usize, term: u64, d: DirectDelivery) {
        let Some(w) = self.workers.iter().position(|w| w.name == d.machine) else {
            return;
        };
        // No answer within two seconds, unless one comes.
        self.directs
            .insert((i, term, d.machine.clone(), d.commands.fencing_token));
        let lost = Msg::Done(i, term, d.machine.clone(), d.commands.fencing_token, None);
        self.wire.push((self.now + DIRECT_COMMAND_TIMEOUT_MS, lost));
        let delay = self.slow_do.get(&w).copied().unwrap_or(5);
        self.send(i, w, delay, Msg::Do(i, w, term, d.commands));
    }

    pub(super) fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        // What comes to a node that stands still waits at its door.
        let to = match &msg {
            Msg::Beat(i, ..) | Msg::Replica(i, ..) | Msg::Relay(_, i, ..) | Msg::Done(i, ..) => {
                Some(*i)
            }
            Msg::Tell(_, j, _) => Some(*j),
            Msg::LeaderReplied(i, ..) => Some(*i),
            Msg::Reply(..) | Msg::Do(..) => None,
        };
        if let Some(i) = to.filter(|i| self.nodes[*i].still_until > now) {
            let some = self.rng.u64(0..3) * STEP;
            let at = self.nodes[i].still_until + some;
            self.wire.push((at, msg));
            return;
        }
        if let Msg::Reply(w, ..) | Msg::Do(_, w, ..) = &msg
            && self.workers[*w].hangs_until > now
        {
            let at = self.workers[*w].hangs_until;
            self.wire.push((at, msg));
            return;
        }
        match msg {
            Msg::Tell(i, j, part) => self.told(i, j, part),
            Msg::LeaderReplied(i, j, term, part, answer) => {
                self.confirmed(i, j, term, part, answer)
            }
            Msg::Beat(i, w, report, sent) => self.beat(i, w, report, sent),
            Msg::Replica(i, _, report) => {
                self.answer(i, &report);
            }
            Msg::Relay(via, i, w, report, sent) => {
                let reply = self.answer(i, &report);
                if reply.is_some() && self.link(via, EndLease::Node(i)) == Link::Up {
                    let (session, seq) = (report.incarnation, report.seq);
                    self.send(via, w, 5, Msg::Reply(w, via, reply, session, seq, sent));
                }
            }
            Msg::Reply(w, i, reply, session, seq, sent) => {
                let nodes = self.nodes.len();
                let worker = &self.workers[w];
                if worker.flight != Some((seq, sent)) || now > sent + 4000 || !worker.alive {
                    return;
                }
                let Some(reply) = reply else {
                    let leader = self.known_leader(i);
                    let peers: Vec<usize> = peers_of(i, nodes).collect();
                    let leads = self.nodes[i].election.leadership().is_some();
                    let relayed = self.relaying.remove(&(w, seq));
                    let failure_detector = &mut self.nodes[i].failure_detector;
                    let foreman = match (leads, relayed) {
                        (true, _) => RedirectTarget::Any,
                        (_, true) => failure_detector.redirect_target(None, now),
                        _ => failure_detector.redirect_target(leader, now),
                    };
                    let (target, pause) = match foreman {
                        RedirectTarget::Leader(p) | RedirectTarget::Healthy(p) => (peers[p], 250),
                        RedirectTarget::Any => ((i + 1) % nodes, 1000),
                    };
                    let worker = &mut self.workers[w];
                    worker.flight = None;
                    worker.target = target;
                    worker.next = now + pause;
                    worker.sent = now.max(500) + pause - 500;
                    return;
                };
                let worker = &mut self.workers[w];
                worker.flight = None;
                if session != worker.session || reply.fencing_token < worker.token {
                    return;
                }
                if reply.fencing_token > worker.token {
                    worker.token = reply.fencing_token;
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
                let ok = order.fencing_token >= worker.token && order.incarnation == worker.session;
                if ok {
                    worker.token = order.fencing_token;
                    self.execute(w, order.commands);
                }
                let report = self.report(w);
                let name = report.machine.clone();
                let answers = matches!(self.workers[w].net, Net::Up | Net::Mute);
                if answers && self.link(i, EndLease::Worker(w)) == Link::Up {
                    let done = Msg::Done(i, term, name, order.fencing_token, Some((ok, report)));
                    self.wire.push((now + 5, done));
                }
            }
            Msg::Done(i, term, name, token, answer) => {
                // Answered, or given up, only once.
                if !self.directs.remove(&(i, term, name.clone(), token)) {
                    return;
                }
                let Some(l) = self.nodes[i].leader.as_mut().filter(|l| l.term == term) else {
                    return;
                };
                let outcome = match answer {
                    Some((true, r)) => DirectDeliveryOutcome::Executed(r),
                    Some((false, r)) => DirectDeliveryOutcome::Refused(Some(r)),
                    // The time limit, unless it was answered.
                    None => DirectDeliveryOutcome::NoAnswer,
                };
                l.direct_delivery_finished(&name, token, outcome, now);
            }
        }
    }

    /// The leader that a node knows of, as an index into its peers.
    fn known_leader(&self, i: usize) -> Option<usize> {
        let (name, _) = self.nodes[i].election.leader(self.now)?;
        let leader: usize = name[1..].parse().ok()?;
        peers_of(i, self.nodes.len()).position(|j| j == leader)
    }

    fn answer(&mut self, i: usize, report: &Heartbeat) -> Option<HeartbeatResponse> {
        let now = self.now;
        let node = &mut self.nodes[i];
        if !node.alive {
            return None;
        }
        node.election.authority(now)?;
        let reply = node.leader.as_mut()?.on_heartbeat(report, now)?;
        node.last_beat = now;
        Some(reply)
    }

    fn beat(&mut self, i: usize, w: usize, report: Heartbeat, sent: Millis) {
        if !self.nodes[i].alive {
            return;
        }
        let now = self.now;
        let reply = self.answer(i, &report);
        let (session, seq) = (report.incarnation, report.seq);
        if reply.is_none()
            && let Some(leader) = self.known_leader(i)
            && matches!(
                self.nodes[i]
                    .failure_detector
                    .redirect_target(Some(leader), now),
                RedirectTarget::Leader(_)
            )
            && self.nodes[i].relays.should_relay(&report.machine, now)
            && let Some(l) = peers_of(i, self.nodes.len()).nth(leader)
            && self.contact(i, l) != Some(PeerHealth::Refusing)
        {
            self.wire.push((now + 5, Msg::Relay(i, l, w, report, sent)));
            let late = Msg::Reply(w, i, None, session, seq, sent);
            self.relaying.insert((w, seq));
            self.wire.push((now + 800, late));
            return;
        }
        self.send(i, w, 5, Msg::Reply(w, i, reply, session, seq, sent));
    }
}
