//! What nodes do to keep standbys warm, and the checker of what holds: whoever
//! the record names knows at least all that is on machines.

use super::*;
use pathwinch::{protocol::workers::parse_task_name, state::records::StandbyRecord};

impl World {
    fn record_of_standbys(&self) -> Option<(StandbyRecord, u64)> {
        let (v, r) = self.store.kv.get(records::STANDBYS)?;
        Some((serde_json::from_value(v.clone()).unwrap(), *r))
    }

    /// From now on nobody is a standby: the next leader takes over cold.
    pub fn go_cold(&mut self) {
        self.standbys = false;
        self.store.kv.remove(records::STANDBYS);
    }

    /// The nodes that the record names, as they are now.
    pub fn named(&self) -> Vec<usize> {
        let Some((record, _)) = self.record_of_standbys() else {
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

    pub(super) fn others_are_named(&self, i: usize) -> bool {
        let named = self.named();
        let there = |j: &usize| self.contact(i, *j) == Some(PeerHealth::Healthy);
        !named.contains(&i) && named.iter().any(there)
    }

    pub(super) fn keep_standbys(&mut self, i: usize) {
        let now = self.now;
        let answers: Vec<bool> = peers_of(i, self.nodes.len())
            .map(|j| self.contact(i, j) == Some(PeerHealth::Healthy))
            .collect();
        let reaches = self.reaches_state(i);
        let found = self.record_of_standbys();
        let held = match (self.stalls, self.link(i, EndLease::State)) {
            (Some((n, until)), _) if n == i => Some(until),
            (_, Link::Hold) => Some(Millis::MAX),
            _ => None,
        };
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_mut() else {
            return;
        };
        if node.record_open.is_some_and(|at| now >= at) && reaches && held.is_none() {
            node.record_open = None;
            l.standbys_written(RegistryWriteOutcome::Reread(found), now);
        }
        if let Some(txn) = l.update_standbys(|p| answers[p], now) {
            let late = match held {
                Some(_) => None,
                None => self.store.late_record.pop(),
            };
            let result = match late {
                Some(delay) => {
                    self.store.held.push((now + delay, i, txn));
                    TxnResult::Unknown
                }
                None => self.transact(i, &txn),
            };
            let found = self.record_of_standbys();
            let node = &mut self.nodes[i];
            let l = node.leader.as_mut().unwrap();
            match result {
                TxnResult::Unknown => node.record_open = Some(now + 1500),
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
            self.tell_standby(i, p);
        }
    }

    fn tell_peer(&self, i: usize, p: usize) -> usize {
        peers_of(i, self.nodes.len()).nth(p).unwrap()
    }

    fn tell_standby(&mut self, i: usize, p: usize) {
        let (now, j) = (self.now, self.tell_peer(i, p));
        let Some(l) = self.nodes[i].leader.as_mut() else {
            return;
        };
        let term = l.term;
        let Some(part) = l.next_replication_part(p, now) else {
            return;
        };
        let id = (part.stream, part.part);
        self.nodes[i].telling[j] = Some(id);
        let stalled = self.stalls.filter(|(n, _)| *n == i);
        let at = stalled.map_or(now, |(_, until)| until) + 5;
        let lost = Msg::LeaderReplied(i, j, term, id, None);
        match self.contact(i, j) {
            _ if self.old.contains(&j) => self.wire.push((at, lost)),
            Some(PeerHealth::Refusing) => self.wire.push((at, lost)),
            how => {
                self.wire.push((now + 900, lost));
                let tell = Msg::Tell(i, j, part);
                let luck = self.rng.u32(0..100);
                if self.link(i, EndLease::Node(j)) == Link::Hold {
                    self.held.push(tell);
                } else if how.is_none() || luck >= self.lossy {
                    if luck >= 100 - self.lossy {
                        self.wire.push((at + self.rng.u64(0..60_000), tell.clone()));
                    }
                    self.wire.push((at, tell));
                }
            }
        }
    }

    pub(super) fn told(&mut self, i: usize, j: usize, mut part: Follow) {
        let now = self.now;
        if !self.nodes[j].alive || self.nodes[j].election.leadership().is_some() {
            return;
        }
        if self.forgetful {
            part.machines.pop();
        }
        let (term, id) = (part.term, (part.stream, part.part));
        let node = &mut self.nodes[j];
        let taken = node.follower.apply_part(part, now);
        let answer = Some((node.election.incarnation, taken));
        if self.link(i, EndLease::Node(j)) == Link::Up {
            self.wire
                .push((now + 5, Msg::LeaderReplied(i, j, term, id, answer)));
        }
    }

    pub(super) fn confirmed(
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
        // Answered already, or given up.
        if !node.alive || node.telling[j] != Some(part) {
            return;
        }
        node.telling[j] = None;
        l.replication_answered(p, answer, now);
        self.tell_standby(i, p);
    }

    /// Whoever is named knows at least what is on machines, and so does a
    /// leader that took over by its copy.
    pub(super) fn check_copies(&mut self) {
        let mut found = Vec::new();
        // The tasks of a gang complete together, though here one by one: once
        // that is recorded, nobody need know of the rest.
        let over = |t: &Task| self.done(t.name.rsplit_once('/').unwrap().0);
        let live = |w: &Worker| {
            let there = w.tasks.iter();
            let gone = !w.alive || w.is_lost(self.now);
            let there = there.filter(|t| !gone && t.state != TaskState::Exited && !over(t));
            there
                .map(|t| (t.name.clone(), t.attempt))
                .collect::<Vec<_>>()
        };
        let term = self.record_of_standbys().map_or(0, |(r, _)| r.term);
        for j in self.named() {
            if self.nodes[j].election.leadership().is_some() {
                continue;
            }
            // Without one of that term, or of a later one, it would go the cold
            // way: it led in between, and the record was left as it was.
            let copy = self.nodes[j].follower.replica();
            let Some(copy) = copy.filter(|c| c.term >= term) else {
                continue;
            };
            for w in &self.workers {
                for (name, attempt) in live(w) {
                    let (id, task) = parse_task_name(&name).unwrap();
                    if !copy.holds(&w.name, id, task, attempt) {
                        found.push(format!("n{j} does not know of {name} on {}", w.name));
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
                    .machine_index(&w.name)
                    .and_then(|ix| l.cluster.machine(ix));
                for (name, attempt) in live(w) {
                    let known = m.is_some_and(|m| {
                        m.tasks
                            .iter()
                            .any(|a| a.name == name && a.attempt == attempt)
                    });
                    if !known {
                        found.push(format!("the leader does not know of {name} on {}", w.name));
                    }
                }
            }
        }
        self.broken.extend(found);
    }
}
