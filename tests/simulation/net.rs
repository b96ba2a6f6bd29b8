//! The network: faults of links and processes, which endpoints reach each other, and the
//! messages in transit.

use super::*;

/// State of a machine's network connection.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Net {
    Up,
    /// Messages are held, and delivered when the network is restored.
    Hold,
    /// Messages are lost.
    Lose,
    /// One-way partition: the machine's heartbeats arrive at the controllers; answers and
    /// commands do not arrive at the machine.
    SendOnly,
    /// The machine can't open connections to controllers. Direct commands reach it, and
    /// their answers reach the controllers.
    DirectCommandsOnly,
}

/// Kind of a controller's partition: packets are held, or connections are refused.
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
    /// Everything, including users.
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
    /// To a node, from a worker, with the time it was sent.
    Heartbeat(usize, usize, Heartbeat, Millis),
    /// A heartbeat delivered again; its answer is discarded.
    DuplicateHeartbeat(usize, usize, Heartbeat),
    /// Relayed by the first node to the second, from a worker, with the time it was sent.
    RelayedHeartbeat(usize, usize, usize, Heartbeat, Millis),
    /// To a worker, from a node: the response, the heartbeat's incarnation and sequence
    /// number, and the time the heartbeat was sent.
    HeartbeatReply(usize, usize, Option<HeartbeatResponse>, u64, u64, Millis),
    /// From a node to a worker, in a term.
    DirectCommand(usize, usize, u64, DirectCommands),
    /// The end of a node's direct command: term, machine, token, and the answer, if any:
    /// whether the command was executed, and a heartbeat.
    DirectCommandEnded(usize, u64, String, u64, Option<(bool, Heartbeat)>),
    /// From the first node, the leader, to the second, its standby.
    ReplicationPart(usize, usize, ReplicationPart),
    /// The second node's answer to the first, which led in that term, to a part with that
    /// stream and number: the second node's incarnation, and whether it applied the part.
    /// `None`: no answer.
    ReplicationAnswer(usize, usize, u64, (u64, u64), Option<(u64, bool)>),
}

impl Msg {
    /// The node and the worker between which the message travels, if it does.
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

    /// Node `i` crashes, loses its memory, and restarts after `back` milliseconds.
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

    /// Partitions node `i` from these machines until `end_partitions`; packets are held.
    pub fn partition_from_workers(&mut self, i: usize, machines: &[usize]) {
        for m in machines {
            self.cuts.push((i, CutScope::Worker(*m), Cut::Hold));
        }
    }

    /// Partitions node `i` from `side` until `end_partitions`.
    pub fn partition(&mut self, i: usize, side: CutScope, how: Cut) {
        self.cuts.push((i, side, how));
    }

    /// Ends all partitions of node `i`; held messages, transactions and operations at the
    /// cloud go through.
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

    /// Pauses a node's process between its last check and the send: the node takes one more
    /// step, whose messages leave it after `ms`. During the pause the node processes no
    /// message, while time goes on.
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

    /// Restarts the agent of a machine at once, under the same name and without tasks.
    /// Messages in transit to the agent are lost with their connections.
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
            worker.next_heartbeat_at,
        ) = (None, now, now + 200);
    }

    /// Delivers a heartbeat again, late and to a random node, and keeps some for
    /// `replay_kept_heartbeats`, if the test asks for these faults.
    pub(super) fn duplicate_heartbeat(&mut self, w: usize, report: &Heartbeat) {
        if self.keep_for_next_leader {
            // At most two of each machine; drawn with a chance of one in three, so that two
            // are rarely consecutive.
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

    /// Replays the kept heartbeats to every controller twice: when a leader is elected, and
    /// again after it has acted.
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

    /// Pauses a machine for `ms`; messages to the machine are delivered afterwards.
    pub fn pause_machine(&mut self, w: usize, ms: Millis) {
        self.workers[w].paused_until = self.now + ms;
    }

    /// Resumes a paused machine.
    pub fn resume_machine(&mut self, w: usize) {
        let hangs = &mut self.workers[w].paused_until;
        *hangs = (*hangs).min(self.now);
    }

    /// Ends a machine for good, with its tasks.
    pub fn kill_machine(&mut self, w: usize) {
        self.workers[w].alive = false;
        self.workers[w].tasks.clear();
    }

    /// Restores a machine's network; held messages are delivered.
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

    // ---- reachability ----

    /// Returns the state of the link between node `i` and another endpoint.
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

    /// Whether the node runs and is not cut off, so that users and peers reach it.
    pub fn reaches(&self, i: usize) -> bool {
        self.nodes[i].alive
            && self.nodes[i].paused_until <= self.now
            && self.is_cut_off(i).is_none()
    }

    /// Returns how a node is partitioned from everything, if it is.
    pub fn is_cut_off(&self, i: usize) -> Option<Cut> {
        let of = |(n, side, _): &&(usize, CutScope, Cut)| *n == i && *side == CutScope::All;
        self.cuts.iter().find(of).map(|(_, _, how)| *how)
    }

    /// Whether the state service answers node `i`.
    pub fn reaches_state(&self, i: usize) -> bool {
        !self.store.refuses(i) && self.link(i, Endpoint::State) == Link::Up
    }

    /// Returns the immediate result of a request of node `i` to node `j`; `None`: no answer.
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

    /// Sends a message between node `i` and worker `w`, in either direction, subject to the
    /// faults of the link.
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
        // The delivery times out unless an answer arrives before.
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
        // Messages to a paused process are delivered when it resumes.
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

    /// Worker `w` receives node `i`'s answer to its heartbeat. Without a response the worker
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
            let redirect = match (leads, relayed) {
                (true, _) => RedirectTarget::Any,
                (_, true) => failure_detector.redirect_target(None, now),
                _ => failure_detector.redirect_target(leader, now),
            };
            let (target, pause) = match redirect {
                RedirectTarget::Leader(p) | RedirectTarget::Healthy(p) => (peers[p], 250),
                RedirectTarget::Any => ((i + 1) % nodes, 1000),
            };
            let worker = &mut self.workers[w];
            worker.heartbeat_in_flight = None;
            worker.target = target;
            worker.next_heartbeat_at = now + pause;
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

    /// Worker `w` receives a direct command of node `i`, executes it if its token and
    /// incarnation are current, and answers.
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

    /// Node `i` receives the answer to a direct command, or times out waiting for it.
    fn end_direct_command(
        &mut self,
        i: usize,
        term: u64,
        name: String,
        token: u64,
        answer: Option<(bool, Heartbeat)>,
    ) {
        let now = self.now;
        // Only the first end counts, whether answer or timeout.
        if !self.directs.remove(&(i, term, name.clone(), token)) {
            return;
        }
        let Some(l) = self.nodes[i].leader.as_mut().filter(|l| l.term == term) else {
            return;
        };
        let outcome = match answer {
            Some((true, r)) => DirectDeliveryOutcome::Executed(r),
            Some((false, r)) => DirectDeliveryOutcome::Refused(Some(r)),
            // The delivery timed out.
            None => DirectDeliveryOutcome::NoAnswer,
        };
        l.direct_delivery_finished(&name, token, outcome, now);
    }

    /// Returns the leader that node `i` knows of, as an index into the node's peers.
    fn known_leader(&self, i: usize) -> Option<usize> {
        let (name, _) = self.nodes[i].election.leader(self.now)?;
        let leader: usize = name[1..].parse().ok()?;
        peers_of(i, self.nodes.len()).position(|j| j == leader)
    }

    /// Passes a heartbeat to node `i`; returns the response if the node leads.
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

    /// Node `i` receives the heartbeat of worker `w`, and answers it or relays it to the
    /// leader.
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
