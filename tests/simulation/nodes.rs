//! Controllers: the I/O loops of `server`, as steps of simulated time around the
//! program's own decisions. One step each for loading the records, election,
//! exclusions, probes of peers, writes, and operations at the cloud.

use super::*;

impl Simulation {
    pub(super) fn step_node(&mut self, i: usize) {
        let now = self.now;
        let nodes = self.nodes.len();
        if !self.nodes[i].alive {
            if self.nodes[i].back_at <= now {
                self.nodes[i] = self.started_node(i, nodes);
            }
            return;
        }
        if self.nodes[i].paused_until > now {
            return;
        }
        if self.nodes[i].paused_until > 0 {
            self.nodes[i].paused_until = 0;
            if let Some(l) = self.nodes[i].leader.as_mut() {
                l.process_resumed(now);
            }
        }
        let (due, later) = std::mem::take(&mut self.renewals)
            .into_iter()
            .partition(|(at, of, ..)| *of == i && *at <= now);
        self.renewals = later;
        for (_, _, lease, sent) in due {
            self.nodes[i].election.renewed(lease, sent);
        }
        self.ping(i);
        if now >= self.nodes[i].next_election_step {
            self.step_election(i);
        }
        if self.nodes[i].election.authority(now).is_none() {
            return;
        }
        self.request_missing_heartbeats(i);
        self.step_exclusions(i);
        let reaches_state = self.reaches_state(i);
        let stalled = self.paused_sender.is_some_and(|(n, _)| n == i);
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_mut() else {
            return;
        };
        let loads = !l.loaded() && reaches_state && !stalled && now >= node.records_read_at;
        if loads {
            let standbys = self.store.kv.get(records::STANDBYS);
            l.load_standbys(
                standbys.map(|(v, r)| (serde_json::from_value(v.clone()).unwrap(), *r)),
            );
            for (k, v, r) in self.store.list(records::MACHINES) {
                let record: MachineRecord = serde_json::from_value(v).unwrap();
                l.load_machine(k.trim_start_matches(records::MACHINES), record, r, now);
            }
            for (k, v, r) in self.store.list(records::JOBS) {
                l.load_job(self.store.job_record(&k[2..], v), r, now);
            }
            let found = self.store.list(SPEC_CHUNKS);
            l.load_spec_chunks(found.into_iter().map(|(k, _, r)| (k, r)).collect());
            for (k, v, _) in self.store.list(records::SEGMENTS) {
                let (id, c) = k[2..].rsplit_once('/').unwrap();
                l.load_segment(id, c.parse().unwrap(), v.as_str().unwrap());
            }
            // Jobs accepted before the term were loaded with their records.
            for (key, _, version) in self.store.list(records::ACCEPTANCES) {
                if version <= l.term {
                    l.acceptance_handled(key);
                }
            }
            node.acceptance_feed = Some(AcceptanceFeed::new(l.term));
            l.finish_loading(now);
            if self.skip_lease_wait {
                for m in l.cluster.each_machine_mut() {
                    m.contents_unknown = false;
                }
            }
        }
        l.upgraded(!self.mixed_versions);
        l.tick(now, now);
        if reaches_state && !stalled {
            for id in l.dependencies_to_look_up() {
                let live = self.store.kv.get(&records::job_key(&id));
                let over = self.store.kv.get(&records::final_key(&id));
                match (live, over) {
                    (Some((v, r)), _) => {
                        l.accepted(self.store.job_record(&id, v.clone()), *r, now);
                    }
                    (None, Some((v, _))) => {
                        let record: FinalRecord = serde_json::from_value(v.clone()).unwrap();
                        l.dependency_ended(&final_status(&id, &record), now);
                    }
                    (None, None) => l.requeue_dependency_lookups(vec![id]),
                }
            }
        }
        if reaches_state
            && !stalled
            && let Some(notices) = node.acceptance_feed.as_mut()
            && let Some(body) = self.store.feed_since(notices.from())
            && let acceptance_feed::Next::Look(keys) = notices.answered(200, &body)
        {
            for key in keys {
                let id = key.trim_start_matches(records::ACCEPTANCES).to_owned();
                if let Some((v, r)) = self.store.kv.get(&records::job_key(&id)) {
                    l.accepted(self.store.job_record(&id, v.clone()), *r, now);
                }
                l.acceptance_handled(key);
            }
        }
        let term = l.term;
        self.warm_failovers += u32::from(loads && l.is_warm());
        let directs = l.direct_deliveries(now);
        let ops = l.cloud_ops(now, now);
        for d in directs {
            self.send_direct(i, term, d);
        }
        for op in ops {
            let stalls = self.paused_sender.filter(|(n, _)| *n == i);
            match (stalls, self.is_cut_off(i)) {
                // Checked, and executed after the pause.
                (Some((_, until)), _) => self.late_ops.push((until, i, term, op)),
                // Executed when the partition ends.
                (None, Some(_)) => self.late_ops.push((Millis::MAX, i, term, op)),
                (None, None) => self.cloud(i, term, op),
            }
        }
        if self.standbys {
            self.step_standbys(i);
        }
        if self.nodes[i].leader.is_some() {
            self.flush(i);
        }
    }

    pub(super) fn step_cloud(&mut self) {
        let (due, later) = std::mem::take(&mut self.late_ops)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.late_ops = later;
        for (_, i, term, op) in due {
            self.cloud(i, term, op);
        }
    }

    fn cloud(&mut self, i: usize, term: u64, op: CloudOp) {
        let now = self.now;
        match op {
            CloudOp::MachineRequest(r) => {
                self.machines_requested += r.count;
                let names: Vec<String> = if self.cloud_grants {
                    (0..r.count.min(4))
                        .map(|_| self.add_worker(&r.zone, r.spot, self.boot_ms))
                        .collect()
                } else {
                    Vec::new()
                };
                let leader = self.nodes[i].leader.as_mut();
                if let Some(l) = leader.filter(|l| l.term == term) {
                    l.scale_out_answered(&r, Some(&names), now);
                }
            }
            CloudOp::Release(names) => {
                for w in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    w.alive = false;
                    w.tasks.clear();
                }
                self.returned.extend(names.iter().cloned());
                let leader = self.nodes[i].leader.as_mut();
                if let Some(l) = leader.filter(|l| l.term == term) {
                    l.released(&names, true, now);
                }
            }
        }
    }

    fn flush(&mut self, i: usize) {
        let now = self.now;
        let reaches = self.reaches_state(i);
        let stalled = self.paused_sender.filter(|(n, _)| *n == i);
        let node = &mut self.nodes[i];
        let l = node.leader.as_mut().unwrap();
        if let Some((at, plan)) = node.indeterminate.take() {
            if now >= at {
                l.outcome_unknown(&plan);
            }
            if now < at || !reaches || stalled.is_some() {
                node.indeterminate = Some((at, plan));
                return;
            }
            for key in Leader::keys_to_reread(&plan) {
                l.reconcile_key(&key, self.store.kv.get(&key).cloned(), now);
            }
            l.reconciled(&plan);
        }
        if let Some((at, plan, result)) = node.flushing.take() {
            match now >= at {
                true => self.flushed(i, plan, result),
                false => node.flushing = Some((at, plan, result)),
            }
            return;
        }
        if now < node.flush_at {
            return;
        }
        node.flush_at = now + 100;
        let room = self.write_budget(i);
        let l = self.nodes[i].leader.as_mut().unwrap();
        let Some(plan) = (room >= 2).then(|| l.plan_writes(room)).flatten() else {
            return;
        };
        if let Some(budget) = self.budgets.get_mut(i) {
            budget.force(now, plan.txn.writes.len() as f64);
        }
        let result = self.transact(i, &plan.txn);
        match self.rng.u64(0..=self.write_latency_ms) {
            _ if self.write_latency_ms == 0 => self.flushed(i, plan, result),
            later => self.nodes[i].flushing = Some((now + later, plan, result)),
        }
    }

    /// Applies the outcome of a leader's transaction.
    fn flushed(&mut self, i: usize, plan: WritePlan, result: TxnResult) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let l = node.leader.as_mut().unwrap();
        match result {
            TxnResult::Done(revision) => l.writes_applied(&plan, revision, now),
            TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                self.resign(i, false);
            }
            TxnResult::Conflict(_) => {
                l.outcome_unknown(&plan);
                node.indeterminate = Some((now, plan));
            }
            TxnResult::Unknown => node.indeterminate = Some((now + 1500, plan)),
            TxnResult::Refused | TxnResult::Rejected => l.reconciled(&plan),
        }
    }

    // ---- leadership ----

    pub(super) fn resign(&mut self, i: usize, tell: bool) {
        let node = &mut self.nodes[i];
        let lead = node.election.leadership();
        let Some(lead) = lead.and_then(|l| node.election.resign(l.term)) else {
            return;
        };
        if let Some(l) = node.leader.take() {
            node.final_states = l.final_states;
        }
        // What it began is of no concern to a later term of the same node.
        node.indeterminate = None;
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

    /// The leader yields on purpose, as for a restart.
    pub fn transfer_leadership(&mut self, i: usize) {
        if self.nodes[i].election.leadership().is_some() {
            self.nodes[i].election.abstain(self.now + 1_500);
            self.resign(i, true);
        }
    }

    fn step_election(&mut self, i: usize) {
        let now = self.now;
        let nodes = self.nodes.len();
        let reaches = self.reaches_state(i);
        let stalled = self.paused_sender.filter(|(n, _)| *n == i);
        self.nodes[i].next_election_step = now + 200;
        if let Some(lead) = self.nodes[i].election.leadership() {
            if stalled.is_some() {
                return;
            }
            let slow = self.store.delay_ms;
            if reaches && !self.store.renew_lease(lead.lease, now) {
                self.resign(i, false);
                return;
            }
            if reaches && slow <= RENEWAL_TIMEOUT_MS {
                self.renewals.push((now + slow, i, lead.lease, now));
            }
            if reaches && slow <= PROMISE_CHECK_TIMEOUT_MS {
                if slow == 0 {
                    self.nodes[i].election.renewed(lead.lease, now);
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
            // Extend by promises of the peers.
            let answers: Vec<PromiseResponse> = peers_of(i, nodes)
                .enumerate()
                .map(|(p, j)| self.ask_promise(i, p, j, lead.term))
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
            return;
        }
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
        self.nodes[i].election.indeterminate_lease = Some(lease);
        let term = match self.transact(i, &txn) {
            TxnResult::Done(term) => term,
            // Read back at once.
            TxnResult::Unknown if stalled.is_none() && self.reaches_state(i) => {
                match self.store.kv.get(LEADER) {
                    Some((v, r)) if *v == value => *r,
                    _ => return,
                }
            }
            TxnResult::Unknown => return,
            _ => return self.nodes[i].election.indeterminate_lease = None,
        };
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
                // Where nothing can be rented, nothing is returned.
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

    /// What node `j`, peer `p` of `i`, answers.
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

    /// Excludes unresponsive nodes, and readmits those that answer.
    fn step_exclusions(&mut self, i: usize) {
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
        // No answer, and it is carried out late.
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
    fn ping(&mut self, i: usize) {
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

    /// Each second the leader asks its peers to relay heartbeats of machines that
    /// miss theirs, and yields if it receives none at all.
    fn request_missing_heartbeats(&mut self, i: usize) {
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
