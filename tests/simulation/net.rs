//! The network: faults of links and processes, who reaches whom, and the
//! messages in transit.

use super::*;

/// State of a machine's network.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Net {
    Up,
    /// Messages are held, and delivered when the network is restored.
    Hold,
    /// Messages are lost.
    Lose,
    /// One-way partition: its heartbeats arrive; answers and commands don't.
    SendOnly,
    /// It can open no connection to a controller; direct commands arrive, and
    /// their answers.
    DirectCommandsOnly,
}

/// How a controller is partitioned: packets are held, or refused.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Cut {
    Hold,
    Reset,
}

/// What a controller is partitioned from.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CutScope {
    State,
    Workers,
    Worker(usize),
    Node(usize),
    /// From everything, its users included.
    All,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Endpoint {
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
    Heartbeat(usize, usize, Heartbeat, Millis),
    /// A heartbeat delivered once more: nobody waits for the answer.
    DuplicateHeartbeat(usize, usize, Heartbeat),
    /// Relayed by the first node to the second.
    RelayedHeartbeat(usize, usize, usize, Heartbeat, Millis),
    HeartbeatReply(usize, usize, Option<HeartbeatResponse>, u64, u64, Millis),
    DirectCommand(usize, usize, u64, DirectCommands),
    DirectCommandEnded(usize, u64, String, u64, Option<(bool, Heartbeat)>),
    /// From the first node, the leader, to the second, its standby.
    ReplicationPart(usize, usize, ReplicationPart),
    /// The second node's answer to the first, which led that term, about that
    /// part: who it is, and whether it was taken in.
    ReplicationAnswer(usize, usize, u64, (u64, u64), Option<(u64, bool)>),
}

impl Msg {
    fn ends(&self) -> Option<(usize, usize)> {
        match self {
            Msg::Heartbeat(i, w, ..)
            | Msg::DuplicateHeartbeat(i, w, ..)
            | Msg::HeartbeatReply(w, i, ..)
            | Msg::DirectCommand(i, w, ..) => Some((*i, *w)),
            Msg::RelayedHeartbeat(..)
            | Msg::DirectCommandEnded(..)
            | Msg::ReplicationPart(..)
            | Msg::ReplicationAnswer(..) => None,
        }
    }
}

impl Simulation {
    // ---- faults ----

    /// Node `i` crashes with its memory, and restarts after `back`.
    pub fn crash(&mut self, i: usize, back: Millis) {
        let n = &mut self.nodes[i];
        n.alive = false;
        n.flushing = None;
        n.leader = None;
        n.back_at = self.now + back;
        n.indeterminate = None;
        n.reads = lookups::ReadsInFlight::default();
        n.registry_reread_at = None;
        self.traffic.forget_node(i);
    }

    /// Nothing passes between the node and these machines.
    pub fn partition_from_workers(&mut self, i: usize, machines: &[usize]) {
        for m in machines {
            self.cuts.push((i, CutScope::Worker(*m), Cut::Hold));
        }
    }

    /// Partitions node `i` from `side` until `end_partitions`.
    pub fn partition(&mut self, i: usize, side: CutScope, how: Cut) {
        self.cuts.push((i, side, how));
    }

    /// All partitions of a node end; held messages arrive.
    pub fn end_partitions(&mut self, i: usize) {
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

    /// Pauses a node's process between its last check and the network: it takes
    /// one more step, whose messages leave it after `ms`; meanwhile it takes in
    /// nothing and its clock runs on.
    pub fn pause_process(&mut self, i: usize, ms: Millis) {
        if !self.nodes[i].alive || self.nodes[i].paused_until > self.now {
            return;
        }
        let until = self.now + ms;
        self.paused_sender = Some((i, until));
        self.step_node(i);
        self.paused_sender = None;
        self.nodes[i].paused_until = until;
    }

    /// The agent of a machine restarts at once under its name, without tasks.
    /// Messages in transit to it are lost with their connections.
    pub fn restart_machine(&mut self, w: usize) {
        let now = self.now;
        let to_it = |m: &Msg| match m {
            Msg::DirectCommand(_, to, ..) | Msg::HeartbeatReply(to, ..) => *to == w,
            _ => false,
        };
        self.in_transit.retain(|(_, m)| !to_it(m));
        self.held.retain(|m| !to_it(m));
        let worker = &mut self.workers[w];
        worker.tasks.clear();
        (worker.incarnation, worker.seq, worker.token) = (1, 0, 0);
        (
            worker.heartbeat_in_flight,
            worker.lease_renewed_at,
            worker.next_election_step,
        ) = (None, now, now + 200);
    }

    /// Delivers a heartbeat once more, late and to any node, as far as the run
    /// asks for duplicates.
    pub(super) fn duplicate_heartbeat(&mut self, w: usize, report: &Heartbeat) {
        if self.keep_for_next_leader {
            // Of each machine two, none of them soon after the other.
            let of = |r: &&(usize, Heartbeat)| r.0 == w;
            if self.kept_heartbeats.iter().filter(of).count() < 2 && self.rng.u8(..3) == 0 {
                self.kept_heartbeats.push((w, report.clone()));
            }
        }
        if self.duplicate_percent == 0 || self.rng.u32(..100) >= self.duplicate_percent {
            return;
        }
        let (i, late) = (
            self.rng.usize(..self.nodes.len()),
            self.rng.u64(500..30_000),
        );
        let copy = Msg::DuplicateHeartbeat(i, w, report.clone());
        self.in_transit.push((self.now + late, copy));
    }

    /// The heartbeats kept reach every controller as a leader is elected, and
    /// once more after it has acted.
    pub(super) fn replay_kept_heartbeats(&mut self) {
        for (w, report) in std::mem::take(&mut self.kept_heartbeats) {
            self.replayed += 1;
            for i in 0..self.nodes.len() {
                for late in [self.rng.u64(0..400), self.rng.u64(2_000..12_000)] {
                    let copy = Msg::DuplicateHeartbeat(i, w, report.clone());
                    self.in_transit.push((self.now + late, copy));
                }
            }
        }
    }

    /// Pauses a machine for `ms`: messages to it wait.
    pub fn pause_machine(&mut self, w: usize, ms: Millis) {
        self.workers[w].paused_until = self.now + ms;
    }

    /// A paused machine resumes.
    pub fn resume_machine(&mut self, w: usize) {
        let hangs = &mut self.workers[w].paused_until;
        *hangs = (*hangs).min(self.now);
    }

    /// The machine is lost with its tasks.
    pub fn kill_machine(&mut self, w: usize) {
        self.workers[w].alive = false;
        self.workers[w].tasks.clear();
    }

    /// Restores a machine's network; held messages arrive.
    pub fn restore_network(&mut self, w: usize) {
        self.workers[w].net = Net::Up;
        self.release_held();
    }

    fn release_held(&mut self) {
        for m in std::mem::take(&mut self.held) {
            match m.ends() {
                Some((i, w)) => self.send(i, w, 5, m),
                None => self.in_transit.push((self.now + 5, m)),
            }
        }
    }

    // ---- who reaches whom ----

    /// State of the link between node `i` and another endpoint.
    pub fn link(&self, i: usize, other: Endpoint) -> Link {
        let hits = |n: usize, side: CutScope, other: Endpoint| match (side, other) {
            (CutScope::All, _)
            | (CutScope::State, Endpoint::State)
            | (CutScope::Workers, Endpoint::Worker(_)) => n == i,
            (CutScope::Node(a), Endpoint::Node(b)) => n == i && a == b,
            (CutScope::Worker(a), Endpoint::Worker(b)) => n == i && a == b,
            _ => false,
        };
        let mut link = Link::Up;
        for (n, side, how) in &self.cuts {
            let own = hits(*n, *side, other);
            let theirs = other == Endpoint::Node(*n)
                && (*side == CutScope::All || *side == CutScope::Node(i));
            if own || theirs {
                match how {
                    Cut::Hold => return Link::Hold,
                    Cut::Reset => link = Link::Reset,
                }
            }
        }
        link
    }

    /// The node runs, and users and peers reach it.
    pub fn reaches(&self, i: usize) -> bool {
        self.nodes[i].alive
            && self.nodes[i].paused_until <= self.now
            && self.is_cut_off(i).is_none()
    }

    /// Whether a node is partitioned from everything, and how.
    pub fn is_cut_off(&self, i: usize) -> Option<Cut> {
        let of = |(n, side, _): &&(usize, CutScope, Cut)| *n == i && *side == CutScope::All;
        self.cuts.iter().find(of).map(|(_, _, how)| *how)
    }

    /// Whether the state service answers node `i`.
    pub fn reaches_state(&self, i: usize) -> bool {
        !self.store.refuses(i) && self.link(i, Endpoint::State) == Link::Up
    }

    /// How a request of node `i` to node `j` ends at once, if it does.
    pub(super) fn contact(&self, i: usize, j: usize) -> Option<PeerHealth> {
        match self.link(i, Endpoint::Node(j)) {
            Link::Hold => None,
            Link::Reset => Some(PeerHealth::Refusing),
            Link::Up if !self.nodes[j].alive => Some(PeerHealth::Refusing),
            Link::Up if self.nodes[j].paused_until > self.now => None,
            Link::Up => Some(PeerHealth::Healthy),
        }
    }

    // ---- messages in transit ----

    pub(super) fn send(&mut self, i: usize, w: usize, delay: Millis, msg: Msg) {
        let from_node = matches!(msg, Msg::HeartbeatReply(..) | Msg::DirectCommand(..));
        let stalled = self.paused_sender.filter(|(n, _)| *n == i && from_node);
        let slow = self.slow_links.get(&w).copied().unwrap_or(0);
        let at = stalled.map_or(self.now, |(_, until)| until) + delay + slow;
        match (self.workers[w].net, self.link(i, Endpoint::Worker(w))) {
            (Net::Up, Link::Up) => self.in_transit.push((at, msg)),
            (Net::SendOnly, Link::Up) if !from_node => self.in_transit.push((at, msg)),
            (Net::DirectCommandsOnly, Link::Up) if matches!(msg, Msg::DirectCommand(..)) => {
                self.in_transit.push((at, msg))
            }
            (Net::Lose | Net::SendOnly | Net::DirectCommandsOnly, _) | (_, Link::Reset) => {}
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
        let lost =
            Msg::DirectCommandEnded(i, term, d.machine.clone(), d.commands.fencing_token, None);
        self.in_transit
            .push((self.now + DIRECT_COMMAND_TIMEOUT_MS, lost));
        let delay = self.direct_command_delay.get(&w).copied().unwrap_or(5);
        self.send(i, w, delay, Msg::DirectCommand(i, w, term, d.commands));
    }

    pub(super) fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        // Messages to a paused node wait.
        let to = match &msg {
            Msg::Heartbeat(i, ..)
            | Msg::DuplicateHeartbeat(i, ..)
            | Msg::RelayedHeartbeat(_, i, ..)
            | Msg::DirectCommandEnded(i, ..) => Some(*i),
            Msg::ReplicationPart(_, j, _) => Some(*j),
            Msg::ReplicationAnswer(i, ..) => Some(*i),
            Msg::HeartbeatReply(..) | Msg::DirectCommand(..) => None,
        };
        if let Some(i) = to.filter(|i| self.nodes[*i].paused_until > now) {
            let some = self.rng.u64(0..3) * STEP;
            let at = self.nodes[i].paused_until + some;
            self.in_transit.push((at, msg));
            return;
        }
        if let Msg::HeartbeatReply(w, ..) | Msg::DirectCommand(_, w, ..) = &msg
            && self.workers[*w].paused_until > now
        {
            let at = self.workers[*w].paused_until;
            self.in_transit.push((at, msg));
            return;
        }
        match msg {
            Msg::ReplicationPart(i, j, part) => self.receive_replication_part(i, j, part),
            Msg::ReplicationAnswer(i, j, term, part, answer) => {
                self.receive_replication_answer(i, j, term, part, answer)
            }
            Msg::Heartbeat(i, w, report, sent) => self.receive_heartbeat(i, w, report, sent),
            Msg::DuplicateHeartbeat(i, _, report) => {
                self.answer(i, &report);
            }
            Msg::RelayedHeartbeat(via, i, w, report, sent) => {
                let reply = self.answer(i, &report);
                if reply.is_some() && self.link(via, Endpoint::Node(i)) == Link::Up {
                    let (session, seq) = (report.incarnation, report.seq);
                    self.send(
                        via,
                        w,
                        5,
                        Msg::HeartbeatReply(w, via, reply, session, seq, sent),
                    );
                }
            }
            Msg::HeartbeatReply(w, i, reply, session, seq, sent) => {
                self.receive_reply(w, i, reply, session, seq, sent);
            }
            Msg::DirectCommand(i, w, term, order) => self.receive_direct_command(i, w, term, order),
            Msg::DirectCommandEnded(i, term, name, token, answer) => {
                self.end_direct_command(i, term, name, token, answer);
            }
        }
    }

    /// A worker gets node `i`'s answer to its heartbeat; without a response it
    /// turns to the node's redirect target.
    fn receive_reply(
        &mut self,
        w: usize,
        i: usize,
        reply: Option<HeartbeatResponse>,
        session: u64,
        seq: u64,
        sent: Millis,
    ) {
        let now = self.now;
        let nodes = self.nodes.len();
        let worker = &self.workers[w];
        if worker.heartbeat_in_flight != Some((seq, sent)) || now > sent + 4000 || !worker.alive {
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
            worker.heartbeat_in_flight = None;
            worker.target = target;
            worker.next_election_step = now + pause;
            worker.sent = now.max(500) + pause - 500;
            return;
        };
        let worker = &mut self.workers[w];
        worker.heartbeat_in_flight = None;
        if session != worker.incarnation || reply.fencing_token < worker.token {
            return;
        }
        if reply.fencing_token > worker.token {
            worker.token = reply.fencing_token;
            worker.report_due = true;
        }
        worker.lease_renewed_at = sent;
        self.execute(w, reply.commands);
    }

    /// A worker gets a direct command of node `i`, and answers it.
    fn receive_direct_command(&mut self, i: usize, w: usize, term: u64, order: DirectCommands) {
        let now = self.now;
        let worker = &mut self.workers[w];
        if !worker.alive {
            return;
        }
        let ok = order.fencing_token >= worker.token && order.incarnation == worker.incarnation;
        if ok {
            worker.token = order.fencing_token;
            self.execute(w, order.commands);
        }
        let report = self.next_heartbeat(w);
        let name = report.machine.clone();
        let answers = matches!(self.workers[w].net, Net::Up | Net::DirectCommandsOnly);
        if answers && self.link(i, Endpoint::Worker(w)) == Link::Up {
            let done =
                Msg::DirectCommandEnded(i, term, name, order.fencing_token, Some((ok, report)));
            self.in_transit.push((now + 5, done));
        }
    }

    /// Node `i` gets the answer to a direct command, or gives it up.
    fn end_direct_command(
        &mut self,
        i: usize,
        term: u64,
        name: String,
        token: u64,
        answer: Option<(bool, Heartbeat)>,
    ) {
        let now = self.now;
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
        node.last_heartbeat = now;
        Some(reply)
    }

    fn receive_heartbeat(&mut self, i: usize, w: usize, report: Heartbeat, sent: Millis) {
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
            && self.nodes[i]
                .heartbeat_relays
                .should_relay(&report.machine, now)
            && let Some(l) = peers_of(i, self.nodes.len()).nth(leader)
            && self.contact(i, l) != Some(PeerHealth::Refusing)
        {
            self.in_transit
                .push((now + 5, Msg::RelayedHeartbeat(i, l, w, report, sent)));
            let late = Msg::HeartbeatReply(w, i, None, session, seq, sent);
            self.relaying.insert((w, seq));
            self.in_transit.push((now + 800, late));
            return;
        }
        self.send(
            i,
            w,
            5,
            Msg::HeartbeatReply(w, i, reply, session, seq, sent),
        );
    }
}
