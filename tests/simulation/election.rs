//! Leadership of controllers: election, renewal of authority by the lease or by promises
//! of peers, exclusions, probes of peers, and relays of missing heartbeats. The library
//! makes the decisions (`control::election`, `exclusions`, `failure_detector`); this
//! module simulates their I/O only. `nodes::step_node` calls it.

use super::*;

impl Simulation {
    /// Node `i` steps down: drops what it began as leader, ends its lease if it reaches the
    /// state service, and, with `tell`, notifies the peers that it reaches.
    pub(super) fn resign(&mut self, i: usize, tell: bool) {
        let node = &mut self.nodes[i];
        let lead = node.election.leadership();
        let Some(lead) = lead.and_then(|l| node.election.resign(l.term)) else {
            return;
        };
        if let Some(l) = node.leader.take() {
            node.final_states = l.final_states;
        }
        // Operations in flight belong to the ended term: a later term of the same node
        // must not take their results.
        node.indeterminate = None;
        node.reads = lookups::ReadsInFlight::default();
        node.acceptance_feed = None;
        node.flushing = None;
        node.registry_reread_at = None;
        if self.reaches_state(i) {
            self.store.end_lease(lead.lease);
        }
        for j in peers_of(i, self.nodes.len()) {
            if tell && self.contact(i, j) == Some(PeerHealth::Healthy) {
                self.nodes[j].election.peer_resigned(lead.term);
            }
        }
    }

    /// The leader hands over deliberately, as it does before a restart of its process.
    pub fn transfer_leadership(&mut self, i: usize) {
        if self.nodes[i].election.leadership().is_some() {
            self.nodes[i].election.abstain(self.now + 1_500);
            self.resign(i, true);
        }
    }

    /// Runs every 200 ms: a leader renews its authority; any other node campaigns if it may.
    pub(super) fn step_election(&mut self, i: usize) {
        self.nodes[i].next_election_step = self.now + 200;
        match self.nodes[i].election.leadership() {
            Some(lead) => self.renew_leadership(i, lead.term, lead.lease),
            None => self.campaign(i),
        }
    }

    /// The leader renews its lease, or, if the state service does not answer in time,
    /// extends its authority by promises of its peers.
    fn renew_leadership(&mut self, i: usize, term: u64, lease: u64) {
        let now = self.now;
        let nodes = self.nodes.len();
        let reaches = self.reaches_state(i);
        let stalled = self.paused_sender.filter(|(n, _)| *n == i);
        if stalled.is_some() {
            return;
        }
        let slow = self.store.delay_ms;
        if reaches && !self.store.renew_lease(lease, now) {
            self.resign(i, false);
            return;
        }
        if reaches && slow <= RENEWAL_TIMEOUT_MS {
            self.renewals.push((now + slow, i, lease, now));
        }
        if reaches && slow <= PROMISE_CHECK_TIMEOUT_MS {
            if slow == 0 {
                self.nodes[i].election.renewed(lease, now);
            }
            let node = &mut self.nodes[i];
            let poor = node.failure_detector.unfavourable_failover_position(now);
            let led = node.leader.as_ref();
            let warm = led.is_some_and(|l| l.warm_standbys(now) > 0);
            if node.election.yields_leadership(poor, warm, now) {
                self.resign(i, true);
            }
            return;
        }
        let answers: Vec<PromiseResponse> = peers_of(i, nodes)
            .enumerate()
            .map(|(p, j)| self.ask_promise(i, p, j, term))
            .collect();
        match self.nodes[i].election.extend_by_promises(now, answers, now) {
            PromiseOutcome::RefusedAlone => {
                if self.nodes[i].election.is_refused_alone(now) {
                    self.resign(i, true);
                }
            }
            PromiseOutcome::CancellationsUnknown => {
                self.uninformed_step_downs += 1;
                self.resign(i, true);
            }
            PromiseOutcome::Extended | PromiseOutcome::NotExtended => {}
        }
    }

    /// Writes the leader's key, if the node may campaign and its record allows it.
    fn campaign(&mut self, i: usize) {
        let now = self.now;
        let reaches = self.reaches_state(i);
        let stalled = self.paused_sender.filter(|(n, _)| *n == i);
        if !reaches || self.store.delay_ms > CAMPAIGN_STEP_TIMEOUT_MS {
            return;
        }
        if let Some(lease) = self.nodes[i].election.indeterminate_lease {
            if stalled.is_none() {
                self.store.end_lease(lease);
                self.nodes[i].election.indeterminate_lease = None;
            }
            return;
        }
        let seen = self.store.kv.get(LEADER).map(|(v, r)| {
            let name = v["n"].as_str().unwrap().to_owned();
            (name, *r)
        });
        let named = self.others_are_registered(i);
        let node = &mut self.nodes[i];
        if node.election.observed_leader != seen {
            node.heartbeat_relays.clear();
        }
        node.election.observe_leader(seen, now);
        let Some(version) = node.election.may_campaign(now) else {
            return;
        };
        let failure_detector = &node.failure_detector;
        if node.election.delays_candidacy(now, || {
            named || failure_detector.unfavourable_failover_position(now)
        }) {
            return;
        }
        let lease = self.store.grant_lease(now, LEASE_TTL_MS);
        let (value, txn) = self.leader_key_txn(i, version, lease);
        self.nodes[i].election.indeterminate_lease = Some(lease);
        let term = match self.transact(i, &txn) {
            TxnResult::Done(term) => term,
            // The outcome is unknown: the key is read back at once to learn it.
            TxnResult::Unknown if stalled.is_none() && self.reaches_state(i) => {
                match self.store.kv.get(LEADER) {
                    Some((v, r)) if *v == value => *r,
                    _ => return,
                }
            }
            TxnResult::Unknown => return,
            _ => return self.nodes[i].election.indeterminate_lease = None,
        };
        self.become_leader(i, term, lease);
    }

    /// Returns the value of the leader's key as node `i` would write it, and the
    /// transaction that writes it.
    fn leader_key_txn(&self, i: usize, version: u64, lease: u64) -> (serde_json::Value, Txn) {
        let incarnation = self.nodes[i].election.incarnation;
        let value = serde_json::json!({"n": format!("n{i}"), "i": incarnation});
        let txn = Txn {
            conditions: vec![
                Condition {
                    key: LEADER.into(),
                    version,
                },
                Condition {
                    key: records::exclusion_key(&format!("n{i}")),
                    version: 0,
                },
            ],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: value.clone(),
                lease: Some(lease),
            }],
        };
        (value, txn)
    }

    /// Node `i` has won the election: creates its leader, which inherits the replica that
    /// the node holds as a standby.
    fn become_leader(&mut self, i: usize, term: u64, lease: u64) {
        let now = self.now;
        let nodes = self.nodes.len();
        self.terms += 1;
        self.replay_kept_heartbeats();
        self.nodes[i].election.elected(term, lease, now);
        let mut settings = (*self.settings).clone();
        settings.name = format!("n{i}");
        settings.zone = self.zone_of(i).into();
        settings.peers = peers_of(i, nodes)
            .map(|j| Peer {
                name: format!("n{j}"),
                zone: self.zone_of(j).into(),
                addr: "127.0.0.1:2".parse().unwrap(),
            })
            .collect();
        if !self.standbys {
            settings.peers.clear();
        }
        let mut leader = Leader::new(
            Rc::new(settings),
            Options {
                // Without grants of the cloud a returned machine could not be replaced, so
                // idle machines are kept.
                idle_s: if self.cloud_grants { 20.0 } else { 36_000.0 },
                begin_s: self.begin_s,
                ..Options::default()
            },
            types(),
            term,
            now,
        );
        let node = &mut self.nodes[i];
        leader.final_states = std::mem::take(&mut node.final_states);
        let copy = node.follower.take_replica(term);
        leader.inherit(node.election.incarnation, copy);
        node.leader = Some(leader);
        node.records_read_at = now + self.load_ms;
        let found = self.store.list(records::EXCLUSIONS);
        let found = found
            .iter()
            .map(|(k, _, r)| (k[3..].parse::<usize>().unwrap(), *r));
        let peer = |(j, r): (usize, u64)| {
            let p = peers_of(i, nodes).position(|p| p == j);
            p.map(|p| (p, r))
        };
        self.nodes[i].exclusions = Exclusions::new(term, found.filter_map(peer));
    }

    /// Returns the answer of node `j`, which is peer `p` of node `i`, to a request for a
    /// promise.
    fn ask_promise(&mut self, i: usize, p: usize, j: usize, term: u64) -> PromiseResponse {
        let now = self.now;
        let exclusions = &self.nodes[i].exclusions;
        if exclusions.is_excluded(p, now) {
            let until = exclusions.lease_until();
            return PromiseResponse::Excluded { until };
        }
        let fails = !self.reaches_state(j) || self.store.delay_ms > PROMISE_CHECK_TIMEOUT_MS;
        if self.contact(i, j) != Some(PeerHealth::Healthy) {
            return PromiseResponse::Refused;
        }
        let old = self.old_version_nodes.contains(&j);
        let election = &mut self.nodes[j].election;
        match election.grant_promise(now, term, PROMISE_MS, fails) {
            true => PromiseResponse::Granted {
                started_by: (!old)
                    .then(|| Election::process_started_by(election.process_uptime(now), now)),
            },
            false if fails => PromiseResponse::Refused,
            false => PromiseResponse::StoreReachable,
        }
    }

    /// Every 500 ms the leader excludes unresponsive nodes from leadership, and readmits
    /// excluded nodes that answer again.
    pub(super) fn step_exclusions(&mut self, i: usize) {
        let now = self.now;
        if now < self.nodes[i].next_exclusion_step || self.paused_sender.is_some() {
            return;
        }
        self.nodes[i].next_exclusion_step = now + 500;
        let node = &self.nodes[i];
        let (Some(lead), Some(step)) = (
            node.election.leadership(),
            node.exclusions.next_step(&node.failure_detector, now),
        ) else {
            return;
        };
        let link = self.link(i, Endpoint::State);
        let reaches = self.reaches_state(i);
        let name = |p: usize| format!("n{}", peers_of(i, self.nodes.len()).nth(p).unwrap());
        let (peer, exclusion, txn) = match step {
            Step::RenewLease(lease) => {
                if reaches {
                    let renewed = lease.filter(|l| self.store.renew_lease(*l, now));
                    match (lease, renewed) {
                        (Some(_), None) => self.nodes[i].exclusions.lease_lost(),
                        (_, Some(lease)) => self.nodes[i].exclusions.lease_granted(lease, now),
                        (None, None) => {
                            let lease = self.store.grant_lease(now, exclusions::LEASE_TTL_MS);
                            self.nodes[i].exclusions.lease_granted(lease, now);
                        }
                    }
                }
                return;
            }
            Step::EndLease(lease) => {
                self.nodes[i].exclusions.begin_lease_end();
                if reaches {
                    self.store.end_lease(lease);
                    self.nodes[i].exclusions.lease_lost();
                }
                return;
            }
            Step::Exclude { peer, lease } => {
                (peer, true, exclusion_txn(lead.term, &name(peer), lease))
            }
            Step::Readmit { peer, version } => (
                peer,
                false,
                readmission_txn(lead.term, &name(peer), version),
            ),
        };
        let exclusions = &mut self.nodes[i].exclusions;
        let again = exclusion && exclusions.begin_exclusion(peer);
        if !exclusion {
            exclusions.begin_readmission(peer);
        }
        // Fault: the transaction gets no answer and is applied late.
        let late = match link {
            Link::Hold => Some(Millis::MAX),
            _ => self
                .store
                .late_exclusion_writes
                .pop()
                .map(|delay| now + delay),
        };
        if let Some(at) = late {
            self.store.held.push((at, i, txn));
        } else if reaches {
            let done = self.store.apply(&txn);
            let exclusions = &mut self.nodes[i].exclusions;
            match (exclusion, done) {
                (true, Ok(version)) => exclusions.excluded(peer, version, again),
                (true, Err(_)) => exclusions.exclusion_failed(peer, again),
                (false, Err(failed)) if failed.iter().any(|k| k == LEADER) => {}
                (false, _) => exclusions.readmitted(peer),
            }
        }
    }

    /// Probes the other nodes for the failure detector.
    pub(super) fn ping(&mut self, i: usize) {
        let now = self.now;
        for (p, j) in peers_of(i, self.nodes.len()).enumerate() {
            let contact = self.contact(i, j);
            let node = &mut self.nodes[i];
            if node.probes_open_since[j].is_none() && node.failure_detector.probe_due(p, 300, now) {
                node.failure_detector.request_sent(p, now);
                node.probes_open_since[j] = Some(now);
            }
            let Some(since) = node.probes_open_since[j] else {
                continue;
            };
            let timed_out = now >= since + 600;
            if let Some(how) = contact.or(timed_out.then_some(PeerHealth::Unresponsive)) {
                node.failure_detector.request_ended(p, how, now);
                node.probes_open_since[j] = None;
                if how == PeerHealth::Healthy {
                    let view = self.nodes[j].election.leader(now);
                    let view = view.map(|(name, term)| (name.to_owned(), term));
                    self.nodes[i].election.receive_leader_hint(view, now);
                }
            }
        }
    }

    /// Every second the leader asks its peers to relay the heartbeats of machines that are
    /// overdue. The leader resigns if it hears neither a machine nor a peer, 5 s after its
    /// last heartbeat.
    pub(super) fn request_missing_heartbeats(&mut self, i: usize) {
        let now = self.now;
        if now < self.nodes[i].next_relay_request {
            return;
        }
        self.nodes[i].next_relay_request = now + 1000;
        for j in peers_of(i, self.nodes.len()) {
            let zone = self.zone_of(j);
            if zone != self.zone_of(i) && self.contact(i, j) == Some(PeerHealth::Healthy) {
                let l = self.nodes[i].leader.as_mut();
                l.into_iter()
                    .for_each(|l| l.controller_responded(zone, now));
            }
        }
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_ref() else {
            return;
        };
        let (machines, heard) = l.overdue_machines(now);
        if machines.is_empty() {
            return;
        }
        let mut anybody = heard > 0;
        for j in peers_of(i, self.nodes.len()) {
            if self.contact(i, j) == Some(PeerHealth::Healthy) {
                anybody = true;
                self.nodes[j]
                    .heartbeat_relays
                    .relay_requested(&machines, 15_000, now);
            }
        }
        if !anybody && now > self.nodes[i].last_heartbeat + 5000 {
            self.nodes[i].election.abstain(now + 15_000);
            self.resign(i, false);
        }
    }
}
