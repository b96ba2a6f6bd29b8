//! Replication to standbys, as the leader's loop in `server` does it, and the checker of its
//! invariant: the replica of a registered standby contains at least all tasks on machines.

use super::*;
use pathwinch::{protocol::workers::parse_task_name, state::records::StandbyRecord};

impl Simulation {
    fn standby_registry(&self) -> Option<(StandbyRecord, u64)> {
        let (value, revision) = self.store.kv.get(records::STANDBYS)?;
        Some((serde_json::from_value(value.clone()).unwrap(), *revision))
    }

    /// Stops replication and removes the standby registry: the next failover is cold.
    pub fn drop_standbys(&mut self) {
        self.standbys = false;
        self.store.kv.remove(records::STANDBYS);
    }

    /// Returns the nodes in the standby registry whose registered incarnation still runs.
    pub fn registered_standbys(&self) -> Vec<usize> {
        let Some((record, _)) = self.standby_registry() else {
            return Vec::new();
        };
        let registered = record.standbys.iter();
        let node = |(name, incarnation): &(String, u64)| {
            let standby: usize = name[1..].parse().unwrap();
            let n = &self.nodes[standby];
            (n.alive && n.election.incarnation == *incarnation).then_some(standby)
        };
        registered.filter_map(node).collect()
    }

    /// Whether node `node_id` is not a registered standby and reaches one that is.
    pub(super) fn others_are_registered(&self, node_id: usize) -> bool {
        let registered = self.registered_standbys();
        let is_reachable =
            |standby: &usize| self.contact(node_id, *standby) == Some(PeerHealth::Healthy);
        !registered.contains(&node_id) && registered.iter().any(is_reachable)
    }

    /// Updates the standby registry, and sends replication parts to the peers of the leader,
    /// node `node_id`.
    pub(super) fn step_standbys(&mut self, node_id: usize) {
        let now = self.now;
        let answers: Vec<bool> = peers_of(node_id, self.nodes.len())
            .map(|standby| self.contact(node_id, standby) == Some(PeerHealth::Healthy))
            .collect();
        let reaches = self.reaches_state(node_id);
        let found = self.standby_registry();
        let held = match (self.paused_sender, self.link(node_id, Endpoint::State)) {
            (Some((n, until)), _) if n == node_id => Some(until),
            (_, Link::Hold) => Some(Millis::MAX),
            _ => None,
        };
        let node = &mut self.nodes[node_id];
        let Some(leader) = node.leader.as_mut() else {
            return;
        };
        if node.registry_reread_at.is_some_and(|at| now >= at) && reaches && held.is_none() {
            node.registry_reread_at = None;
            leader.standbys_written(RegistryWriteOutcome::Reread(found), now);
        }
        if let Some(txn) = leader.update_standbys(|peer| answers[peer], now) {
            let late = match held {
                Some(_) => None,
                None => self.store.late_registry_writes.pop(),
            };
            let result = match late {
                Some(delay) => {
                    self.store.held.push((now + delay, node_id, txn));
                    TxnResult::Unknown
                }
                None => self.transact(node_id, &txn),
            };
            let found = self.standby_registry();
            let node = &mut self.nodes[node_id];
            let leader = node.leader.as_mut().unwrap();
            match result {
                TxnResult::Unknown => node.registry_reread_at = Some(now + 1500),
                TxnResult::Refused | TxnResult::Rejected => {
                    leader.standbys_written(RegistryWriteOutcome::Refused, now);
                }
                TxnResult::Applied(version) => {
                    leader.standbys_written(RegistryWriteOutcome::Done(version), now)
                }
                TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                    self.resign(node_id, false);
                    return;
                }
                TxnResult::Conflict(_) => {
                    leader.standbys_written(RegistryWriteOutcome::Reread(found), now)
                }
            }
        }
        for peer in 0..answers.len() {
            self.replicate_to_standby(node_id, peer);
        }
    }

    /// Returns the node that is peer `peer` of node `node_id`.
    fn peer_node(&self, node_id: usize, peer: usize) -> usize {
        peers_of(node_id, self.nodes.len()).nth(peer).unwrap()
    }

    /// Sends the next replication part of the leader, node `node_id`, to its peer `peer`, if one is
    /// due.
    fn replicate_to_standby(&mut self, node_id: usize, peer: usize) {
        let (now, standby) = (self.now, self.peer_node(node_id, peer));
        let Some(leader) = self.nodes[node_id].leader.as_mut() else {
            return;
        };
        let term = leader.term;
        let Some(part) = leader.next_replication_part(peer, now) else {
            return;
        };
        let part_id = (part.stream, part.part);
        self.nodes[node_id].parts_in_flight[standby] = Some(part_id);
        let stalled = self.paused_sender.filter(|(n, _)| *n == node_id);
        let at = stalled.map_or(now, |(_, until)| until) + 5;
        let lost = Msg::ReplicationAnswer(node_id, standby, term, part_id, None);
        match self.contact(node_id, standby) {
            _ if self.old_version_nodes.contains(&standby) => self.in_transit.push((at, lost)),
            Some(PeerHealth::Refusing) => self.in_transit.push((at, lost)),
            contact => {
                self.in_transit.push((now + 900, lost));
                let message = Msg::ReplicationPart(node_id, standby, part);
                let draw = self.rng.u32(0..100);
                if self.link(node_id, Endpoint::Node(standby)) == Link::Hold {
                    self.held.push(message);
                } else if contact.is_none() || draw >= self.replication_loss_percent {
                    if draw >= 100 - self.replication_loss_percent {
                        self.in_transit
                            .push((at + self.rng.u64(0..60_000), message.clone()));
                    }
                    self.in_transit.push((at, message));
                }
            }
        }
    }

    pub(super) fn receive_replication_part(
        &mut self,
        node_id: usize,
        standby: usize,
        mut part: ReplicationPart,
    ) {
        let now = self.now;
        if !self.nodes[standby].alive || self.nodes[standby].election.leadership().is_some() {
            return;
        }
        if self.replica_loses_updates {
            part.machines.pop();
        }
        let (term, part_id) = (part.term, (part.stream, part.part));
        let node = &mut self.nodes[standby];
        let applied = node.follower.apply_part(part, now);
        let answer = Some((node.election.incarnation, applied));
        if self.link(node_id, Endpoint::Node(standby)) == Link::Up {
            self.in_transit.push((
                now + 5,
                Msg::ReplicationAnswer(node_id, standby, term, part_id, answer),
            ));
        }
    }

    pub(super) fn receive_replication_answer(
        &mut self,
        node_id: usize,
        standby: usize,
        term: u64,
        part: (u64, u64),
        answer: Option<(u64, bool)>,
    ) {
        let now = self.now;
        let peer = peers_of(node_id, self.nodes.len())
            .position(|n| n == standby)
            .unwrap();
        let node = &mut self.nodes[node_id];
        let Some(leader) = node.leader.as_mut().filter(|leader| leader.term == term) else {
            return;
        };
        // The part was answered already, or timed out.
        if !node.alive || node.parts_in_flight[standby] != Some(part) {
            return;
        }
        node.parts_in_flight[standby] = None;
        leader.replication_answered(peer, answer, now);
        self.replicate_to_standby(node_id, peer);
    }

    /// Checks that the replica of each registered standby contains at least the tasks on
    /// machines, and so does the state of a leader after a warm failover.
    pub(super) fn check_replicas(&mut self) {
        let mut found = Vec::new();
        // The tasks of a gang complete as one, but the simulated workers end them one by one.
        // Once the completion is recorded, replicas need not contain the remaining tasks.
        let job_done = |t: &Task| self.done(t.name.rsplit_once('/').unwrap().0);
        let live = |worker: &Worker| {
            let there = worker.tasks.iter();
            let gone = !worker.alive || worker.is_lost(self.now);
            let there = there.filter(|t| !gone && t.state != TaskState::Exited && !job_done(t));
            there
                .map(|t| (t.name.clone(), t.attempt))
                .collect::<Vec<_>>()
        };
        let term = self.standby_registry().map_or(0, |(r, _)| r.term);
        for standby in self.registered_standbys() {
            if self.nodes[standby].election.leadership().is_some() {
                continue;
            }
            // A node without a replica of the registry's term or a later one would fail over
            // cold: the node led in between, and the registry was not updated.
            let replica = self.nodes[standby].follower.replica();
            let Some(replica) = replica.filter(|c| c.term >= term) else {
                continue;
            };
            for worker in &self.workers {
                for (name, attempt) in live(worker) {
                    let (id, task) = parse_task_name(&name).unwrap();
                    if !replica.holds(&worker.name, id, task, attempt) {
                        found.push(format!(
                            "replica of registered standby n{standby} lacks {name} on {}",
                            worker.name
                        ));
                    }
                }
            }
        }
        for node in &self.nodes {
            let warm_leader = node
                .leader
                .as_ref()
                .filter(|leader| leader.loaded() && leader.is_warm());
            let Some(leader) = warm_leader.filter(|_| node.election.authority(self.now).is_some())
            else {
                continue;
            };
            for worker in &self.workers {
                let machine = leader
                    .cluster
                    .machine_handle(&worker.name)
                    .and_then(|ix| leader.cluster.machine(ix));
                for (name, attempt) in live(worker) {
                    let known = machine.is_some_and(|machine| {
                        machine
                            .tasks
                            .iter()
                            .any(|a| a.name == name && a.attempt == attempt)
                    });
                    if !known {
                        found.push(format!(
                            "leader after a warm failover lacks {name} on {}",
                            worker.name
                        ));
                    }
                }
            }
        }
        self.violations.extend(found);
    }
}
