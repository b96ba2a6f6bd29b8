//! Leadership of controllers: election, renewal of authority by the lease or by promises
//! of peers, exclusions, probes of peers, and relays of missing heartbeats. The library
//! makes the decisions (`control::election`, `exclusions`, `failure_detector`); this
//! module simulates their I/O only. `nodes::step_node` calls it.

use super::*;

impl Simulation {
    /// Node `node_id` steps down: drops what it began as leader, ends its lease if it reaches the
    /// state service, and, with `notify_peers`, notifies the peers that it reaches.
    pub(super) fn resign(&mut self, node_id: usize, notify_peers: bool) {
        let node = &mut self.nodes[node_id];
        let leadership = node.election.leadership();
        let Some(leadership) = leadership.and_then(|held| node.election.resign(held.term)) else {
            return;
        };
        if let Some(leader) = node.leader.take() {
            node.final_states = leader.final_states;
        }
        // Operations in flight belong to the ended term: a later term of the same node
        // must not take their results.
        node.indeterminate = None;
        node.reads = lookups::ReadsInFlight::default();
        node.acceptance_feed = None;
        node.flushing = None;
        node.registry_reread_at = None;
        if self.reaches_state(node_id) {
            self.store.end_lease(leadership.lease);
        }
        for peer_node in peers_of(node_id, self.nodes.len()) {
            if notify_peers && self.contact(node_id, peer_node) == Some(PeerHealth::Healthy) {
                self.nodes[peer_node]
                    .election
                    .record_peer_resignation(leadership.term);
            }
        }
    }

    /// The leader hands over deliberately, as it does before a restart of its process.
    pub fn transfer_leadership(&mut self, node_id: usize) {
        if self.nodes[node_id].election.leadership().is_some() {
            self.nodes[node_id].election.abstain(self.now + 1_500);
            self.resign(node_id, true);
        }
    }

    /// Runs every 200 ms: a leader renews its authority; any other node campaigns if it may.
    pub(super) fn step_election(&mut self, node_id: usize) {
        self.nodes[node_id].next_election_step = self.now + 200;
        match self.nodes[node_id].election.leadership() {
            Some(lead) => self.renew_leadership(node_id, lead.term, lead.lease),
            None => self.campaign(node_id),
        }
    }

    /// The leader renews its lease, or, if the state service does not answer in time,
    /// extends its authority by promises of its peers.
    fn renew_leadership(&mut self, node_id: usize, term: u64, lease: u64) {
        let now = self.now;
        let nodes = self.nodes.len();
        let reaches = self.reaches_state(node_id);
        let stalled = self.paused_sender.filter(|(n, _)| *n == node_id);
        if stalled.is_some() {
            return;
        }
        let slow = self.store.delay_ms;
        if reaches && !self.store.renew_lease(lease, now) {
            self.resign(node_id, false);
            return;
        }
        if reaches && slow <= RENEWAL_TIMEOUT_MS {
            self.renewals.push((now + slow, node_id, lease, now));
        }
        if reaches && slow <= PROMISE_CHECK_TIMEOUT_MS {
            if slow == 0 {
                self.nodes[node_id].election.record_renewal(lease, now);
            }
            let node = &mut self.nodes[node_id];
            let is_unfavourable = node.failure_detector.unfavourable_failover_position(now);
            let leader = node.leader.as_ref();
            let has_warm_standby = leader.is_some_and(|l| l.warm_standbys(now) > 0);
            if node
                .election
                .yields_leadership(is_unfavourable, has_warm_standby, now)
            {
                self.resign(node_id, true);
            }
            return;
        }
        let answers: Vec<PromiseResponse> = peers_of(node_id, nodes)
            .enumerate()
            .map(|(p, j)| self.ask_promise(node_id, p, j, term))
            .collect();
        match self.nodes[node_id]
            .election
            .extend_by_promises(now, answers, now)
        {
            PromiseOutcome::StoreReachableByPeer => {
                if self.nodes[node_id].election.store_fails_this_node_only(now) {
                    self.resign(node_id, true);
                }
            }
            PromiseOutcome::CancellationsUnknown => {
                self.uninformed_step_downs += 1;
                self.resign(node_id, true);
            }
            PromiseOutcome::Extended | PromiseOutcome::NotExtended => {}
        }
    }

    /// Writes the leader's key if the node may campaign. The transaction fails if the key
    /// has changed or if the node is excluded.
    fn campaign(&mut self, node_id: usize) {
        let now = self.now;
        let reaches = self.reaches_state(node_id);
        let stalled = self.paused_sender.filter(|(n, _)| *n == node_id);
        if !reaches || self.store.delay_ms > CAMPAIGN_STEP_TIMEOUT_MS {
            return;
        }
        if let Some(lease) = self.nodes[node_id].election.indeterminate_lease {
            if stalled.is_none() {
                self.store.end_lease(lease);
                self.nodes[node_id].election.indeterminate_lease = None;
            }
            return;
        }
        let leader_record = self.store.kv.get(LEADER).map(|(v, r)| {
            let name = v["n"].as_str().unwrap().to_owned();
            (name, *r)
        });
        let standby_available = self.others_are_registered(node_id);
        let node = &mut self.nodes[node_id];
        if node.election.observed_leader != leader_record {
            node.heartbeat_relays.clear();
        }
        node.election.observe_leader(leader_record, now);
        let Some(version) = node.election.may_campaign(now) else {
            return;
        };
        let failure_detector = &node.failure_detector;
        if node.election.delays_candidacy(now, || {
            standby_available || failure_detector.unfavourable_failover_position(now)
        }) {
            return;
        }
        let lease = self.store.grant_lease(now, LEASE_TTL_MS);
        let (value, txn) = self.leader_key_txn(node_id, version, lease);
        self.nodes[node_id].election.indeterminate_lease = Some(lease);
        let term = match self.transact(node_id, &txn) {
            TxnResult::Applied(term) => term,
            // The outcome is unknown: the key is read back at once to learn it.
            TxnResult::Unknown if stalled.is_none() && self.reaches_state(node_id) => {
                match self.store.kv.get(LEADER) {
                    Some((v, r)) if *v == value => *r,
                    _ => return,
                }
            }
            TxnResult::Unknown => return,
            _ => return self.nodes[node_id].election.indeterminate_lease = None,
        };
        self.become_leader(node_id, term, lease);
    }

    /// Returns the value of the leader's key as node `node_id` would write it, and the
    /// transaction that writes it.
    fn leader_key_txn(&self, node_id: usize, version: u64, lease: u64) -> (serde_json::Value, Txn) {
        let incarnation = self.nodes[node_id].election.incarnation;
        let value = serde_json::json!({"n": format!("n{node_id}"), "i": incarnation});
        let txn = Txn {
            conditions: vec![
                Condition {
                    key: LEADER.into(),
                    version,
                },
                Condition {
                    key: records::exclusion_key(&format!("n{node_id}")),
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

    /// Node `node_id` has won the election: creates its leader, which inherits the replica that
    /// the node holds as a standby.
    fn become_leader(&mut self, node_id: usize, term: u64, lease: u64) {
        let now = self.now;
        let nodes = self.nodes.len();
        self.terms += 1;
        self.replay_kept_heartbeats();
        self.nodes[node_id]
            .election
            .record_election(term, lease, now);
        let mut settings = (*self.settings).clone();
        settings.name = format!("n{node_id}");
        settings.zone = self.zone_of(node_id).into();
        settings.peers = peers_of(node_id, nodes)
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
                idle_timeout_s: if self.cloud_grants { 20.0 } else { 36_000.0 },
                starvation_timeout_s: self.starvation_timeout_s,
                ..Options::default()
            },
            types(),
            term,
            now,
        );
        let node = &mut self.nodes[node_id];
        leader.final_states = std::mem::take(&mut node.final_states);
        let replica = node.follower.take_replica(term);
        leader.set_inherited_replica(node.election.incarnation, replica);
        node.leader = Some(leader);
        node.records_read_at = now + self.load_ms;
        let found = self.store.list(records::EXCLUSIONS);
        let found = found
            .iter()
            .map(|(k, _, r)| (k[3..].parse::<usize>().unwrap(), *r));
        let peer = |(j, r): (usize, u64)| {
            let p = peers_of(node_id, nodes).position(|p| p == j);
            p.map(|p| (p, r))
        };
        self.nodes[node_id].exclusions = Exclusions::new(term, found.filter_map(peer));
    }

    /// Returns the answer of node `peer_node`, which is peer `peer` of node `node_id`, to a
    /// request for a promise.
    fn ask_promise(
        &mut self,
        node_id: usize,
        peer: usize,
        peer_node: usize,
        term: u64,
    ) -> PromiseResponse {
        let now = self.now;
        let exclusions = &self.nodes[node_id].exclusions;
        if exclusions.is_excluded(peer, now) {
            let until = exclusions.lease_until();
            return PromiseResponse::Excluded { until };
        }
        let store_check_fails =
            !self.reaches_state(peer_node) || self.store.delay_ms > PROMISE_CHECK_TIMEOUT_MS;
        if self.contact(node_id, peer_node) != Some(PeerHealth::Healthy) {
            return PromiseResponse::Refused;
        }
        let is_old_version = self.old_version_nodes.contains(&peer_node);
        let election = &mut self.nodes[peer_node].election;
        match election.grant_promise(now, term, PROMISE_MS, store_check_fails) {
            true => PromiseResponse::Granted {
                started_by: (!is_old_version)
                    .then(|| Election::process_started_by(election.process_uptime(now), now)),
            },
            false if store_check_fails => PromiseResponse::Refused,
            false => PromiseResponse::StoreReachable,
        }
    }

    /// Every 500 ms the leader excludes unresponsive nodes from leadership, and readmits
    /// excluded nodes that answer again.
    pub(super) fn step_exclusions(&mut self, node_id: usize) {
        let now = self.now;
        if now < self.nodes[node_id].next_exclusion_step || self.paused_sender.is_some() {
            return;
        }
        self.nodes[node_id].next_exclusion_step = now + 500;
        let node = &self.nodes[node_id];
        let (Some(lead), Some(step)) = (
            node.election.leadership(),
            node.exclusions.next_step(&node.failure_detector, now),
        ) else {
            return;
        };
        let link = self.link(node_id, Endpoint::State);
        let reaches = self.reaches_state(node_id);
        let name = |p: usize| format!("n{}", peers_of(node_id, self.nodes.len()).nth(p).unwrap());
        let (peer, exclusion, txn) = match step {
            Step::RenewLease(lease) => {
                if reaches {
                    let renewed = lease.filter(|id| self.store.renew_lease(*id, now));
                    match (lease, renewed) {
                        (Some(_), None) => self.nodes[node_id].exclusions.lease_lost(),
                        (_, Some(id)) => self.nodes[node_id].exclusions.lease_granted(id, now),
                        (None, None) => {
                            let lease = self.store.grant_lease(now, exclusions::LEASE_TTL_MS);
                            self.nodes[node_id].exclusions.lease_granted(lease, now);
                        }
                    }
                }
                return;
            }
            Step::EndLease(lease) => {
                self.nodes[node_id].exclusions.begin_lease_end();
                if reaches {
                    self.store.end_lease(lease);
                    self.nodes[node_id].exclusions.lease_lost();
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
        let exclusions = &mut self.nodes[node_id].exclusions;
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
            self.store.held.push((at, node_id, txn));
        } else if reaches {
            let done = self.store.apply(&txn);
            let exclusions = &mut self.nodes[node_id].exclusions;
            match (exclusion, done) {
                (true, Ok(version)) => exclusions.excluded(peer, version, again),
                (true, Err(_)) => exclusions.exclusion_failed(peer, again),
                (false, Err(failed)) if failed.iter().any(|k| k == LEADER) => {}
                (false, _) => exclusions.readmitted(peer),
            }
        }
    }

    /// Probes the other nodes for the failure detector.
    pub(super) fn probe_peers(&mut self, node_id: usize) {
        let now = self.now;
        for (peer, peer_node) in peers_of(node_id, self.nodes.len()).enumerate() {
            let contact = self.contact(node_id, peer_node);
            let node = &mut self.nodes[node_id];
            if node.probes_open_since[peer_node].is_none()
                && node.failure_detector.probe_due(peer, 300, now)
            {
                node.failure_detector.request_sent(peer, now);
                node.probes_open_since[peer_node] = Some(now);
            }
            let Some(since) = node.probes_open_since[peer_node] else {
                continue;
            };
            let timed_out = now >= since + 600;
            if let Some(health) = contact.or(timed_out.then_some(PeerHealth::Unresponsive)) {
                node.failure_detector.request_ended(peer, health, now);
                node.probes_open_since[peer_node] = None;
                if health == PeerHealth::Healthy {
                    let view = self.nodes[peer_node].election.leader(now);
                    let view = view.map(|(name, term)| (name.to_owned(), term));
                    self.nodes[node_id].election.receive_leader_hint(view, now);
                }
            }
        }
    }

    /// Every second the leader asks its peers to relay the heartbeats of machines that are
    /// overdue. The leader resigns if it hears neither a machine nor a peer, 5 s after its
    /// last heartbeat.
    pub(super) fn request_missing_heartbeats(&mut self, node_id: usize) {
        let now = self.now;
        if now < self.nodes[node_id].next_relay_request {
            return;
        }
        self.nodes[node_id].next_relay_request = now + 1000;
        for peer_node in peers_of(node_id, self.nodes.len()) {
            let zone = self.zone_of(peer_node);
            if zone != self.zone_of(node_id)
                && self.contact(node_id, peer_node) == Some(PeerHealth::Healthy)
            {
                let leader = self.nodes[node_id].leader.as_mut();
                leader
                    .into_iter()
                    .for_each(|leader| leader.controller_responded(zone, now));
            }
        }
        let node = &mut self.nodes[node_id];
        let Some(leader) = node.leader.as_ref() else {
            return;
        };
        let (machines, heard_machines) = leader.overdue_machines(now);
        if machines.is_empty() {
            return;
        }
        let mut reaches_any = heard_machines > 0;
        for peer_node in peers_of(node_id, self.nodes.len()) {
            if self.contact(node_id, peer_node) == Some(PeerHealth::Healthy) {
                reaches_any = true;
                self.nodes[peer_node]
                    .heartbeat_relays
                    .request_relay(&machines, 15_000, now);
            }
        }
        if !reaches_any && now > self.nodes[node_id].last_heartbeat + 5000 {
            self.nodes[node_id].election.abstain(now + 15_000);
            self.resign(node_id, false);
        }
    }
}
