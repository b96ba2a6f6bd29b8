//! Replication to standbys, as the leader's loop in `server` does it, and the checker of its
//! invariant: the replica of a registered standby contains at least all tasks on machines.

use super::*;
use pathwinch::{protocol::workers::parse_task_name, state::records::StandbyRecord};

impl Simulation {
    fn standby_registry(&self) -> Option<(StandbyRecord, u64)> {
        let (v, r) = self.store.kv.get(records::STANDBYS)?;
        Some((serde_json::from_value(v.clone()).unwrap(), *r))
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
        let named = record.named.iter();
        let node = |(name, incarnation): &(String, u64)| {
            let j: usize = name[1..].parse().unwrap();
            let n = &self.nodes[j];
            (n.alive && n.election.incarnation == *incarnation).then_some(j)
        };
        named.filter_map(node).collect()
    }

    /// Whether node `i` is not a registered standby and reaches one that is.
    pub(super) fn others_are_registered(&self, i: usize) -> bool {
        let named = self.registered_standbys();
        let there = |j: &usize| self.contact(i, *j) == Some(PeerHealth::Healthy);
        !named.contains(&i) && named.iter().any(there)
    }

    /// Updates the standby registry, and sends replication parts to the peers of the leader,
    /// node `i`.
    pub(super) fn step_standbys(&mut self, i: usize) {
        let now = self.now;
        let answers: Vec<bool> = peers_of(i, self.nodes.len())
            .map(|j| self.contact(i, j) == Some(PeerHealth::Healthy))
            .collect();
        let reaches = self.reaches_state(i);
        let found = self.standby_registry();
        let held = match (self.paused_sender, self.link(i, Endpoint::State)) {
            (Some((n, until)), _) if n == i => Some(until),
            (_, Link::Hold) => Some(Millis::MAX),
            _ => None,
        };
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_mut() else {
            return;
        };
        if node.registry_reread_at.is_some_and(|at| now >= at) && reaches && held.is_none() {
            node.registry_reread_at = None;
            l.standbys_written(RegistryWriteOutcome::Reread(found), now);
        }
        if let Some(txn) = l.update_standbys(|p| answers[p], now) {
            let late = match held {
                Some(_) => None,
                None => self.store.late_registry_writes.pop(),
            };
            let result = match late {
                Some(delay) => {
                    self.store.held.push((now + delay, i, txn));
                    TxnResult::Unknown
                }
                None => self.transact(i, &txn),
            };
            let found = self.standby_registry();
            let node = &mut self.nodes[i];
            let l = node.leader.as_mut().unwrap();
            match result {
                TxnResult::Unknown => node.registry_reread_at = Some(now + 1500),
                TxnResult::Refused | TxnResult::Rejected => {
                    l.standbys_written(RegistryWriteOutcome::Refused, now);
                }
                TxnResult::Done(version) => {
                    l.standbys_written(RegistryWriteOutcome::Done(version), now)
                }
                TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                    self.resign(i, false);
                    return;
                }
                TxnResult::Conflict(_) => {
                    l.standbys_written(RegistryWriteOutcome::Reread(found), now)
                }
            }
        }
        for p in 0..answers.len() {
            self.replicate_to_standby(i, p);
        }
    }

    /// Returns the node that is peer `p` of node `i`.
    fn peer_node(&self, i: usize, p: usize) -> usize {
        peers_of(i, self.nodes.len()).nth(p).unwrap()
    }

    /// Sends the next replication part of the leader, node `i`, to its peer `p`, if one is
    /// due.
    fn replicate_to_standby(&mut self, i: usize, p: usize) {
        let (now, j) = (self.now, self.peer_node(i, p));
        let Some(l) = self.nodes[i].leader.as_mut() else {
            return;
        };
        let term = l.term;
        let Some(part) = l.next_replication_part(p, now) else {
            return;
        };
        let id = (part.stream, part.part);
        self.nodes[i].parts_in_flight[j] = Some(id);
        let stalled = self.paused_sender.filter(|(n, _)| *n == i);
        let at = stalled.map_or(now, |(_, until)| until) + 5;
        let lost = Msg::ReplicationAnswer(i, j, term, id, None);
        match self.contact(i, j) {
            _ if self.old_version_nodes.contains(&j) => self.in_transit.push((at, lost)),
            Some(PeerHealth::Refusing) => self.in_transit.push((at, lost)),
            how => {
                self.in_transit.push((now + 900, lost));
                let message = Msg::ReplicationPart(i, j, part);
                let draw = self.rng.u32(0..100);
                if self.link(i, Endpoint::Node(j)) == Link::Hold {
                    self.held.push(message);
                } else if how.is_none() || draw >= self.replication_loss_percent {
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
        i: usize,
        j: usize,
        mut part: ReplicationPart,
    ) {
        let now = self.now;
        if !self.nodes[j].alive || self.nodes[j].election.leadership().is_some() {
            return;
        }
        if self.replica_loses_updates {
            part.machines.pop();
        }
        let (term, id) = (part.term, (part.stream, part.part));
        let node = &mut self.nodes[j];
        let applied = node.follower.apply_part(part, now);
        let answer = Some((node.election.incarnation, applied));
        if self.link(i, Endpoint::Node(j)) == Link::Up {
            self.in_transit
                .push((now + 5, Msg::ReplicationAnswer(i, j, term, id, answer)));
        }
    }

    pub(super) fn receive_replication_answer(
        &mut self,
        i: usize,
        j: usize,
        term: u64,
        part: (u64, u64),
        answer: Option<(u64, bool)>,
    ) {
        let now = self.now;
        let p = peers_of(i, self.nodes.len()).position(|n| n == j).unwrap();
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_mut().filter(|l| l.term == term) else {
            return;
        };
        // The part was answered already, or timed out.
        if !node.alive || node.parts_in_flight[j] != Some(part) {
            return;
        }
        node.parts_in_flight[j] = None;
        l.replication_answered(p, answer, now);
        self.replicate_to_standby(i, p);
    }

    /// Checks that the replica of each registered standby contains at least the tasks on
    /// machines, and so does the state of a leader after a warm failover.
    pub(super) fn check_replicas(&mut self) {
        let mut found = Vec::new();
        // The tasks of a gang complete as one, but the simulated workers end them one by one.
        // Once the completion is recorded, replicas need not contain the remaining tasks.
        let over = |t: &Task| self.done(t.name.rsplit_once('/').unwrap().0);
        let live = |w: &Worker| {
            let there = w.tasks.iter();
            let gone = !w.alive || w.is_lost(self.now);
            let there = there.filter(|t| !gone && t.state != TaskState::Exited && !over(t));
            there
                .map(|t| (t.name.clone(), t.attempt))
                .collect::<Vec<_>>()
        };
        let term = self.standby_registry().map_or(0, |(r, _)| r.term);
        for j in self.registered_standbys() {
            if self.nodes[j].election.leadership().is_some() {
                continue;
            }
            // A node without a replica of the registry's term or a later one would fail over
            // cold: the node led in between, and the registry was not updated.
            let replica = self.nodes[j].follower.replica();
            let Some(replica) = replica.filter(|c| c.term >= term) else {
                continue;
            };
            for w in &self.workers {
                for (name, attempt) in live(w) {
                    let (id, task) = parse_task_name(&name).unwrap();
                    if !replica.holds(&w.name, id, task, attempt) {
                        found.push(format!(
                            "replica of registered standby n{j} lacks {name} on {}",
                            w.name
                        ));
                    }
                }
            }
        }
        for n in &self.nodes {
            let led = n.leader.as_ref().filter(|l| l.loaded() && l.is_warm());
            let Some(l) = led.filter(|_| n.election.authority(self.now).is_some()) else {
                continue;
            };
            for w in &self.workers {
                let m = l
                    .cluster
                    .machine_handle(&w.name)
                    .and_then(|ix| l.cluster.machine(ix));
                for (name, attempt) in live(w) {
                    let known = m.is_some_and(|m| {
                        m.tasks
                            .iter()
                            .any(|a| a.name == name && a.attempt == attempt)
                    });
                    if !known {
                        found.push(format!(
                            "leader after a warm failover lacks {name} on {}",
                            w.name
                        ));
                    }
                }
            }
        }
        self.violations.extend(found);
    }
}
