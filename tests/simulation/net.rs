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

/// An endpoint of a link from a controller.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Endpoint {
    State,
    Worker(usize),
    Node(usize),
}

/// State of a link: messages pass, are held, or are refused.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Link {
    Up,
    Hold,
    Reset,
}

/// A message in transit.
#[derive(Clone)]
pub(super) enum Msg {
    /// To a node, from a worker, with the time the heartbeat was sent.
    Heartbeat(usize, usize, Heartbeat, Millis),
    /// A heartbeat delivered again; its answer is discarded.
    DuplicateHeartbeat(usize, usize, Heartbeat),
    /// Relayed by the first node to the second, from a worker, with the time the heartbeat
    /// was sent.
    RelayedHeartbeat(usize, usize, usize, Heartbeat, Millis),
    /// To a worker, from a node: the response, the heartbeat's incarnation and sequence
    /// number, and the time the heartbeat was sent.
    HeartbeatReply(usize, usize, Option<HeartbeatResponse>, u64, u64, Millis),
    /// The connection of a node to a worker is established, on which the node, in that term,
    /// sends a direct command.
    DirectConnected(usize, usize, u64, DirectDelivery),
    /// From a node to a worker, in a term.
    DirectCommand(usize, usize, u64, DirectCommands),
    /// A copy of a direct command that the worker has carried out before.
    DuplicateCommand(usize, DirectCommands),
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
    /// Returns the node and the worker between which the message travels, if it does.
    fn endpoints(&self) -> Option<(usize, usize)> {
        match self {
            Msg::Heartbeat(node_id, worker_id, ..)
            | Msg::DuplicateHeartbeat(node_id, worker_id, ..)
            | Msg::HeartbeatReply(worker_id, node_id, ..)
            | Msg::DirectCommand(node_id, worker_id, ..) => Some((*node_id, *worker_id)),
            Msg::RelayedHeartbeat(..)
            | Msg::DirectConnected(..)
            | Msg::DuplicateCommand(..)
            | Msg::DirectCommandEnded(..)
            | Msg::ReplicationPart(..)
            | Msg::ReplicationAnswer(..) => None,
        }
    }

    /// Returns the tasks that the message starts.
    pub(super) fn starts(&self) -> impl Iterator<Item = &str> {
        let commands = match self {
            Msg::HeartbeatReply(_, _, Some(response), ..) => &response.commands[..],
            Msg::DirectCommand(_, _, _, direct) => &direct.commands,
            _ => &[],
        };
        commands.iter().filter_map(|command| match command {
            Command::Start { task, .. } => Some(task.as_str()),
            Command::Stop { .. } | Command::Reap { .. } => None,
        })
    }
}

impl Simulation {
    // ---- faults ----

    /// Node `node_id` crashes, loses its memory, and restarts after
    /// `restart_delay` milliseconds.
    pub fn crash(&mut self, node_id: usize, restart_delay: Millis) {
        let node = &mut self.nodes[node_id];
        node.alive = false;
        node.flushing = None;
        node.leader = None;
        node.restart_at = self.now + restart_delay;
        node.indeterminate = None;
        node.reads = lookups::ReadsInFlight::default();
        node.registry_reread_at = None;
        self.traffic.forget_node(node_id);
    }

    /// Partitions node `node_id` from these machines until `end_partitions`; packets are held.
    pub fn partition_from_workers(&mut self, node_id: usize, machines: &[usize]) {
        for machine in machines {
            self.partitions
                .push((node_id, CutScope::Worker(*machine), Cut::Hold));
        }
    }

    /// Partitions node `node_id` from `scope` until `end_partitions`.
    pub fn partition(&mut self, node_id: usize, scope: CutScope, kind: Cut) {
        self.partitions.push((node_id, scope, kind));
    }

    /// Ends all partitions of node `node_id`; held messages, transactions and operations at the
    /// cloud go through.
    pub fn end_partitions(&mut self, node_id: usize) {
        self.partitions.retain(|(n, ..)| *n != node_id);
        for (apply_at, node, _) in self.store.held.iter_mut() {
            if *node == node_id && *apply_at == Millis::MAX {
                *apply_at = self.now;
            }
        }
        for (apply_at, node, ..) in self.delayed_cloud_ops.iter_mut() {
            if *node == node_id && *apply_at == Millis::MAX {
                *apply_at = self.now;
            }
        }
        self.release_held();
    }

    /// Pauses a node's process between its last check and the send: the node takes one more
    /// step, whose messages leave it after `ms`. During the pause the node processes no
    /// message, while time goes on.
    pub fn pause_process(&mut self, node_id: usize, ms: Millis) {
        if !self.nodes[node_id].alive || self.nodes[node_id].paused_until > self.now {
            return;
        }
        let until = self.now + ms;
        self.paused_sender = Some((node_id, until));
        self.step_node(node_id);
        self.paused_sender = None;
        self.nodes[node_id].paused_until = until;
    }

    /// Restarts the agent of a machine at once, under the same name and without tasks.
    /// Messages in transit to the agent are lost with their connections.
    pub fn restart_machine(&mut self, worker_id: usize) {
        let now = self.now;
        let is_to_worker = |message: &Msg| match message {
            Msg::DirectCommand(_, to, ..) | Msg::HeartbeatReply(to, ..) => *to == worker_id,
            _ => false,
        };
        self.in_transit
            .retain(|(_, message)| !is_to_worker(message));
        self.held.retain(|message| !is_to_worker(message));
        let worker = &mut self.workers[worker_id];
        worker.tasks.clear();
        (worker.incarnation, worker.seq, worker.token) = (1, 0, 0);
        worker.was_answered = false;
        (
            worker.heartbeat_in_flight,
            worker.lease_renewed_at,
            worker.next_heartbeat_at,
        ) = (None, now, now + 200);
    }

    /// Delivers a heartbeat again, late and to a random node, and keeps some for
    /// `replay_kept_heartbeats`, if the test asks for these faults.
    pub(super) fn duplicate_heartbeat(&mut self, worker_id: usize, report: &Heartbeat) {
        if self.keep_for_next_leader {
            // At most two of each machine; drawn with a chance of one in three, so that two
            // are rarely consecutive.
            let of = |r: &&(usize, Heartbeat)| r.0 == worker_id;
            if self.kept_heartbeats.iter().filter(of).count() < 2 && self.rng.u8(..3) == 0 {
                self.kept_heartbeats.push((worker_id, report.clone()));
            }
        }
        if self.duplicate_percent == 0 || self.rng.u32(..100) >= self.duplicate_percent {
            return;
        }
        let (node_id, delay) = (
            self.rng.usize(..self.nodes.len()),
            self.rng.u64(500..30_000),
        );
        let copy = Msg::DuplicateHeartbeat(node_id, worker_id, report.clone());
        self.in_transit.push((self.now + delay, copy));
    }

    /// Replays the kept heartbeats to every controller twice: when a leader is elected, and
    /// again after it has acted.
    pub(super) fn replay_kept_heartbeats(&mut self) {
        for (worker_id, report) in std::mem::take(&mut self.kept_heartbeats) {
            self.replayed += 1;
            for node_id in 0..self.nodes.len() {
                for delay in [self.rng.u64(0..400), self.rng.u64(2_000..12_000)] {
                    let copy = Msg::DuplicateHeartbeat(node_id, worker_id, report.clone());
                    self.in_transit.push((self.now + delay, copy));
                }
            }
        }
    }

    /// Pauses a machine for `ms`; messages to the machine are delivered afterwards.
    pub fn pause_machine(&mut self, worker_id: usize, ms: Millis) {
        self.workers[worker_id].paused_until = self.now + ms;
    }

    /// Resumes a paused machine.
    pub fn resume_machine(&mut self, worker_id: usize) {
        let paused_until = &mut self.workers[worker_id].paused_until;
        *paused_until = (*paused_until).min(self.now);
    }

    /// Ends a machine for good, with its tasks.
    pub fn kill_machine(&mut self, worker_id: usize) {
        self.workers[worker_id].alive = false;
        self.workers[worker_id].tasks.clear();
    }

    /// Restores a machine's network; held messages are delivered.
    pub fn restore_network(&mut self, worker_id: usize) {
        self.workers[worker_id].net = Net::Up;
        self.release_held();
    }

    fn release_held(&mut self) {
        for message in std::mem::take(&mut self.held) {
            match message.endpoints() {
                Some((node_id, worker_id)) => self.transmit(node_id, worker_id, 5, message),
                None => self.in_transit.push((self.now + 5, message)),
            }
        }
    }

    // ---- reachability ----

    /// Returns the state of the link between node `node_id` and another endpoint.
    pub fn link(&self, node_id: usize, other: Endpoint) -> Link {
        let hits = |n: usize, scope: CutScope, other: Endpoint| match (scope, other) {
            (CutScope::All, _)
            | (CutScope::State, Endpoint::State)
            | (CutScope::Workers, Endpoint::Worker(_)) => n == node_id,
            (CutScope::Node(a), Endpoint::Node(b)) => n == node_id && a == b,
            (CutScope::Worker(a), Endpoint::Worker(b)) => n == node_id && a == b,
            _ => false,
        };
        let mut link = Link::Up;
        for (n, scope, kind) in &self.partitions {
            let own = hits(*n, *scope, other);
            let theirs = other == Endpoint::Node(*n)
                && (*scope == CutScope::All || *scope == CutScope::Node(node_id));
            if own || theirs {
                match kind {
                    Cut::Hold => return Link::Hold,
                    Cut::Reset => link = Link::Reset,
                }
            }
        }
        link
    }

    /// Whether the node runs and is not cut off, so that users and peers reach it.
    pub fn reaches(&self, node_id: usize) -> bool {
        self.nodes[node_id].alive
            && self.nodes[node_id].paused_until <= self.now
            && self.is_cut_off(node_id).is_none()
    }

    /// Returns how a node is partitioned from everything, if it is.
    pub fn is_cut_off(&self, node_id: usize) -> Option<Cut> {
        let of = |(n, scope, _): &&(usize, CutScope, Cut)| *n == node_id && *scope == CutScope::All;
        self.partitions.iter().find(of).map(|(_, _, kind)| *kind)
    }

    /// Whether the state service answers node `node_id`.
    pub fn reaches_state(&self, node_id: usize) -> bool {
        !self.store.refuses(node_id) && self.link(node_id, Endpoint::State) == Link::Up
    }

    /// Returns the immediate result of a request of node `node_id` to node `peer_node`; `None`:
    /// no answer.
    pub(super) fn contact(&self, node_id: usize, peer_node: usize) -> Option<PeerHealth> {
        match self.link(node_id, Endpoint::Node(peer_node)) {
            Link::Hold => None,
            Link::Reset => Some(PeerHealth::Refusing),
            Link::Up if !self.nodes[peer_node].alive => Some(PeerHealth::Refusing),
            Link::Up if self.nodes[peer_node].paused_until > self.now => None,
            Link::Up => Some(PeerHealth::Healthy),
        }
    }

    // ---- messages in transit ----

    /// Sends a message between node `node_id` and worker `worker_id`, in either direction,
    /// subject to the faults of the link.
    pub(super) fn send(&mut self, node_id: usize, worker_id: usize, delay: Millis, msg: Msg) {
        // The process of a stalled sender made its last check before the pause.
        if self.stalled_until(node_id, &msg).is_none() {
            self.check_sent_starts(node_id, &msg);
        }
        self.transmit(node_id, worker_id, delay, msg);
    }

    /// Returns until when the node is paused between its last check and sending the message.
    fn stalled_until(&self, node_id: usize, msg: &Msg) -> Option<Millis> {
        let from_node = matches!(msg, Msg::HeartbeatReply(..) | Msg::DirectCommand(..));
        self.paused_sender
            .filter(|(n, _)| *n == node_id && from_node)
            .map(|(_, until)| until)
    }

    /// Carries a message that was sent now, or that was held after it was sent.
    fn transmit(&mut self, node_id: usize, worker_id: usize, delay: Millis, msg: Msg) {
        let from_node = matches!(msg, Msg::HeartbeatReply(..) | Msg::DirectCommand(..));
        let sent_at = self.stalled_until(node_id, &msg).unwrap_or(self.now);
        let slow = self.slow_links.get(&worker_id).copied().unwrap_or(0);
        let at = sent_at + delay + slow;
        match (
            self.workers[worker_id].net,
            self.link(node_id, Endpoint::Worker(worker_id)),
        ) {
            (Net::Up, Link::Up) => self.in_transit.push((at, msg)),
            (Net::SendOnly, Link::Up) if !from_node => self.in_transit.push((at, msg)),
            (Net::DirectCommandsOnly, Link::Up) if matches!(msg, Msg::DirectCommand(..)) => {
                self.in_transit.push((at, msg))
            }
            (Net::Lose | Net::SendOnly | Net::DirectCommandsOnly, _) | (_, Link::Reset) => {}
            _ => self.held.push(msg),
        }
    }

    pub(super) fn send_direct(&mut self, node_id: usize, term: u64, delivery: DirectDelivery) {
        let Some(worker_id) = self
            .workers
            .iter()
            .position(|worker| worker.name == delivery.machine)
        else {
            return;
        };
        // The delivery times out unless an answer arrives before.
        self.directs.insert((
            node_id,
            term,
            delivery.machine.clone(),
            delivery.commands.fencing_token,
        ));
        let lost = Msg::DirectCommandEnded(
            node_id,
            term,
            delivery.machine.clone(),
            delivery.commands.fencing_token,
            None,
        );
        self.in_transit
            .push((self.now + DIRECT_COMMAND_TIMEOUT_MS, lost));
        match self.connect_delay.get(&worker_id) {
            Some(delay) => self.in_transit.push((
                self.now + delay,
                Msg::DirectConnected(node_id, worker_id, term, delivery),
            )),
            None => self.send_on_connection(node_id, worker_id, term, delivery),
        }
    }

    /// Sends a direct command on an established connection, if the node may still send it.
    fn send_on_connection(
        &mut self,
        node_id: usize,
        worker_id: usize,
        term: u64,
        delivery: DirectDelivery,
    ) {
        let now = self.now;
        let node = &mut self.nodes[node_id];
        let has_authority = node.alive && node.election.authority(now) == Some(term);
        let leader = node.leader.as_mut().filter(|leader| leader.term == term);
        if !leader.is_some_and(|leader| has_authority && leader.may_still_send(&delivery)) {
            let token = delivery.commands.fencing_token;
            return self.end_unsent_command(node_id, term, delivery.machine, token);
        }
        let delay = self
            .direct_command_delay
            .get(&worker_id)
            .copied()
            .unwrap_or(5);
        self.send(
            node_id,
            worker_id,
            delay,
            Msg::DirectCommand(node_id, worker_id, term, delivery.commands),
        );
    }

    /// Node `node_id` gives up a direct command that it has not sent.
    fn end_unsent_command(&mut self, node_id: usize, term: u64, machine: String, token: u64) {
        let now = self.now;
        let leader = self.nodes[node_id].leader.as_mut();
        let leader = leader.filter(|leader| leader.term == term);
        if self
            .directs
            .remove(&(node_id, term, machine.clone(), token))
            && let Some(leader) = leader
        {
            let outcome = DirectDeliveryOutcome::NotSent;
            leader.direct_delivery_finished(&machine, token, outcome, now);
        }
    }

    pub(super) fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        // Messages to a paused process are delivered when it resumes.
        let to = match &msg {
            Msg::Heartbeat(node_id, ..)
            | Msg::DuplicateHeartbeat(node_id, ..)
            | Msg::RelayedHeartbeat(_, node_id, ..)
            | Msg::DirectConnected(node_id, ..)
            | Msg::DirectCommandEnded(node_id, ..) => Some(*node_id),
            Msg::ReplicationPart(_, j, _) => Some(*j),
            Msg::ReplicationAnswer(node_id, ..) => Some(*node_id),
            Msg::HeartbeatReply(..) | Msg::DirectCommand(..) | Msg::DuplicateCommand(..) => None,
        };
        if let Some(node_id) = to.filter(|node_id| self.nodes[*node_id].paused_until > now) {
            let some = self.rng.u64(0..3) * STEP;
            let at = self.nodes[node_id].paused_until + some;
            self.in_transit.push((at, msg));
            return;
        }
        if let Msg::HeartbeatReply(worker_id, ..) | Msg::DirectCommand(_, worker_id, ..) = &msg
            && self.workers[*worker_id].paused_until > now
        {
            let at = self.workers[*worker_id].paused_until;
            self.in_transit.push((at, msg));
            return;
        }
        match msg {
            Msg::ReplicationPart(i, j, part) => self.receive_replication_part(i, j, part),
            Msg::ReplicationAnswer(i, j, term, part, answer) => {
                self.receive_replication_answer(i, j, term, part, answer)
            }
            Msg::Heartbeat(i, w, report, sent) => self.receive_heartbeat(i, w, report, sent),
            Msg::DuplicateHeartbeat(node_id, _, report) => {
                self.respond_to_heartbeat(node_id, &report);
            }
            Msg::RelayedHeartbeat(via, node_id, worker_id, report, sent) => {
                let reply = self.respond_to_heartbeat(node_id, &report);
                if reply.is_some() && self.link(via, Endpoint::Node(node_id)) == Link::Up {
                    let (incarnation, seq) = (report.incarnation, report.seq);
                    self.send(
                        via,
                        worker_id,
                        5,
                        Msg::HeartbeatReply(worker_id, via, reply, incarnation, seq, sent),
                    );
                }
            }
            Msg::HeartbeatReply(worker_id, node_id, reply, incarnation, seq, sent) => {
                self.receive_reply(worker_id, node_id, reply, incarnation, seq, sent);
            }
            Msg::DirectConnected(i, w, term, delivery) => {
                self.send_on_connection(i, w, term, delivery);
            }
            Msg::DirectCommand(i, w, term, order) => self.receive_direct_command(i, w, term, order),
            Msg::DuplicateCommand(w, commands) => self.receive_duplicate_command(w, commands),
            Msg::DirectCommandEnded(node_id, term, name, token, answer) => {
                self.end_direct_command(node_id, term, name, token, answer);
            }
        }
    }

    /// Worker `worker_id` receives node `node_id`'s answer to its heartbeat. Without a response
    /// the worker turns to the node's redirect target.
    fn receive_reply(
        &mut self,
        worker_id: usize,
        node_id: usize,
        reply: Option<HeartbeatResponse>,
        incarnation: u64,
        seq: u64,
        sent: Millis,
    ) {
        let now = self.now;
        let nodes = self.nodes.len();
        let worker = &self.workers[worker_id];
        if worker.heartbeat_in_flight != Some((seq, sent)) || now > sent + 4000 || !worker.alive {
            return;
        }
        let Some(reply) = reply else {
            let leader = self.known_leader(node_id);
            let peers: Vec<usize> = peers_of(node_id, nodes).collect();
            let leads = self.nodes[node_id].election.leadership().is_some();
            let relayed = self.relayed_heartbeats.remove(&(worker_id, seq));
            let failure_detector = &mut self.nodes[node_id].failure_detector;
            let redirect = match (leads, relayed) {
                (true, _) => RedirectTarget::Any,
                (_, true) => failure_detector.redirect_target(None, now),
                _ => failure_detector.redirect_target(leader, now),
            };
            let (target, pause) = match redirect {
                RedirectTarget::Leader(p) | RedirectTarget::Healthy(p) => (peers[p], 250),
                RedirectTarget::Any => ((node_id + 1) % nodes, 1000),
            };
            let worker = &mut self.workers[worker_id];
            worker.heartbeat_in_flight = None;
            worker.target = target;
            worker.next_heartbeat_at = now + pause;
            worker.heartbeat_sent_at = now.max(500) + pause - 500;
            return;
        };
        let worker = &mut self.workers[worker_id];
        worker.heartbeat_in_flight = None;
        if incarnation != worker.incarnation || reply.fencing_token < worker.token {
            return;
        }
        if reply.fencing_token > worker.token {
            worker.token = reply.fencing_token;
            worker.report_due = true;
        }
        worker.lease_renewed_at = sent;
        worker.was_answered = true;
        self.execute(worker_id, reply.commands);
    }

    /// Worker `worker_id` receives a direct command of node `node_id`, executes it if its token and
    /// incarnation are current, and answers.
    fn receive_direct_command(
        &mut self,
        node_id: usize,
        worker_id: usize,
        term: u64,
        commands: DirectCommands,
    ) {
        let now = self.now;
        let worker = &mut self.workers[worker_id];
        if !worker.alive {
            return;
        }
        let is_current =
            commands.fencing_token >= worker.token && commands.incarnation == worker.incarnation;
        if is_current {
            worker.token = commands.fencing_token;
            self.duplicate_command(worker_id, &commands);
            self.execute(worker_id, commands.commands);
        }
        let report = self.next_heartbeat(worker_id);
        let name = report.machine.clone();
        let answers = matches!(
            self.workers[worker_id].net,
            Net::Up | Net::DirectCommandsOnly
        );
        if answers && self.link(node_id, Endpoint::Worker(worker_id)) == Link::Up {
            let done = Msg::DirectCommandEnded(
                node_id,
                term,
                name,
                commands.fencing_token,
                Some((is_current, report)),
            );
            self.in_transit.push((now + 5, done));
        }
    }

    /// Node `node_id` receives the answer to a direct command, or times out waiting for it.
    fn end_direct_command(
        &mut self,
        node_id: usize,
        term: u64,
        name: String,
        token: u64,
        answer: Option<(bool, Heartbeat)>,
    ) {
        let now = self.now;
        // Only the first end counts, whether answer or timeout.
        if !self.directs.remove(&(node_id, term, name.clone(), token)) {
            return;
        }
        let Some(leader) = self.nodes[node_id]
            .leader
            .as_mut()
            .filter(|leader| leader.term == term)
        else {
            return;
        };
        let outcome = match answer {
            Some((true, r)) => DirectDeliveryOutcome::Executed(r),
            Some((false, r)) => DirectDeliveryOutcome::Refused(Some(r)),
            // The delivery timed out.
            None => DirectDeliveryOutcome::NoAnswer,
        };
        leader.direct_delivery_finished(&name, token, outcome, now);
    }

    /// Returns the leader that node `node_id` knows of, as an index into the node's peers.
    fn known_leader(&self, node_id: usize) -> Option<usize> {
        let (name, _) = self.nodes[node_id].election.leader(self.now)?;
        let leader: usize = name[1..].parse().ok()?;
        peers_of(node_id, self.nodes.len()).position(|j| j == leader)
    }

    /// Passes a heartbeat to node `node_id`; returns the response if the node leads.
    fn respond_to_heartbeat(
        &mut self,
        node_id: usize,
        report: &Heartbeat,
    ) -> Option<HeartbeatResponse> {
        let now = self.now;
        let node = &mut self.nodes[node_id];
        if !node.alive {
            return None;
        }
        node.election.authority(now)?;
        let reply = node.leader.as_mut()?.on_heartbeat(report, now)?;
        node.last_heartbeat = now;
        Some(reply)
    }

    /// Node `node_id` receives the heartbeat of worker `worker_id`, and answers it or relays it
    /// to the leader.
    fn receive_heartbeat(
        &mut self,
        node_id: usize,
        worker_id: usize,
        report: Heartbeat,
        sent: Millis,
    ) {
        if !self.nodes[node_id].alive {
            return;
        }
        let now = self.now;
        let reply = self.respond_to_heartbeat(node_id, &report);
        let (incarnation, seq) = (report.incarnation, report.seq);
        if reply.is_none()
            && let Some(leader) = self.known_leader(node_id)
            && matches!(
                self.nodes[node_id]
                    .failure_detector
                    .redirect_target(Some(leader), now),
                RedirectTarget::Leader(_)
            )
            && self.nodes[node_id]
                .heartbeat_relays
                .should_relay(&report.machine, now)
            && let Some(leader_id) = peers_of(node_id, self.nodes.len()).nth(leader)
            && self.contact(node_id, leader_id) != Some(PeerHealth::Refusing)
        {
            self.in_transit.push((
                now + 5,
                Msg::RelayedHeartbeat(node_id, leader_id, worker_id, report, sent),
            ));
            let no_relay_reply =
                Msg::HeartbeatReply(worker_id, node_id, None, incarnation, seq, sent);
            self.relayed_heartbeats.insert((worker_id, seq));
            self.in_transit.push((now + 800, no_relay_reply));
            return;
        }
        self.send(
            node_id,
            worker_id,
            5,
            Msg::HeartbeatReply(worker_id, node_id, reply, incarnation, seq, sent),
        );
    }
}
