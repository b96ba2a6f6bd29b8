//! Controllers: replaces the I/O loops of `server` by steps of simulated time around the
//! product's own decisions: loading of the records, commands, writes, and operations at the
//! cloud. Module `election` contains the steps that concern leadership.

use super::*;

impl Simulation {
    /// Runs one step of node `node_id`: probes, election and, if the node leads, loading of the
    /// records, scheduling, commands, replication and writes.
    pub(super) fn step_node(&mut self, node_id: usize) {
        let now = self.now;
        if !self.is_awake(node_id) {
            return;
        }
        let (due, later) = std::mem::take(&mut self.renewals)
            .into_iter()
            .partition(|(at, of, ..)| *of == node_id && *at <= now);
        self.renewals = later;
        for (_, _, lease, sent) in due {
            self.nodes[node_id].election.record_renewal(lease, sent);
        }
        self.probe_peers(node_id);
        self.step_request_budget(node_id);
        if now >= self.nodes[node_id].next_election_step {
            self.step_election(node_id);
        }
        if self.nodes[node_id].election.authority(now).is_none() {
            return;
        }
        self.request_missing_heartbeats(node_id);
        self.step_exclusions(node_id);
        let reaches_state = self.reaches_state(node_id);
        let stalled = self.paused_sender.is_some_and(|(n, _)| n == node_id);
        let node = &mut self.nodes[node_id];
        let Some(leader) = node.leader.as_mut() else {
            return;
        };
        let loads = !leader.loaded() && reaches_state && !stalled && now >= node.records_read_at;
        if loads {
            self.load_records(node_id);
        }
        let leader = self.nodes[node_id].leader.as_mut().unwrap();
        leader.set_all_controllers_upgraded(!self.mixed_versions);
        leader.tick(now, now);
        if reaches_state && !stalled {
            self.read_dependencies(node_id);
            self.read_acceptance_feed(node_id);
        }
        let leader = self.nodes[node_id].leader.as_mut().unwrap();
        let term = leader.term;
        self.warm_failovers += u32::from(loads && leader.is_warm());
        let directs = leader.direct_deliveries(now);
        let ops = leader.cloud_ops(now, now);
        self.send_commands(node_id, term, directs, ops);
        if self.standbys {
            self.step_standbys(node_id);
        }
        if self.nodes[node_id].leader.is_some() {
            self.flush(node_id);
        }
    }

    /// Loads all records into a new leader, as `server::leadership` does.
    fn load_records(&mut self, node_id: usize) {
        let now = self.now;
        let node = &mut self.nodes[node_id];
        let Some(leader) = node.leader.as_mut() else {
            return;
        };
        let standbys = self.store.kv.get(records::STANDBYS);
        leader
            .load_standbys(standbys.map(|(v, r)| (serde_json::from_value(v.clone()).unwrap(), *r)));
        for (key, value, revision) in self.store.list(records::MACHINES) {
            let record: MachineRecord = serde_json::from_value(value).unwrap();
            leader.load_machine(
                key.trim_start_matches(records::MACHINES),
                record,
                revision,
                now,
            );
        }
        for (key, value, revision) in self.store.list(records::JOBS) {
            leader.load_job(self.store.job_record(&key[2..], value), revision, now);
        }
        let found = self.store.list(SPEC_CHUNKS);
        leader.load_spec_chunks(
            found
                .into_iter()
                .map(|(key, _, revision)| (key, revision))
                .collect(),
        );
        for (key, value, _) in self.store.list(records::SEGMENTS) {
            let (id, segment) = key[2..].rsplit_once('/').unwrap();
            leader.load_segment(id, segment.parse().unwrap(), value.as_str().unwrap());
        }
        // Jobs accepted before the term began were loaded with their records.
        for (key, _, version) in self.store.list(records::ACCEPTANCES) {
            if version <= leader.term {
                leader.acceptance_handled(key);
            }
        }
        node.acceptance_feed = Some(AcceptanceFeed::new(leader.term));
        leader.finish_loading(now);
        if self.skip_lease_wait {
            for machine in leader.cluster.machines_mut() {
                machine.contents_unknown = false;
            }
        }
    }

    /// Sends the leader's direct commands, and its operations at the cloud.
    fn send_commands(
        &mut self,
        node_id: usize,
        term: u64,
        directs: Vec<DirectDelivery>,
        ops: Vec<CloudOp>,
    ) {
        for delivery in directs {
            self.send_direct(node_id, term, delivery);
        }
        for op in ops {
            let stalled = self.paused_sender.filter(|(n, _)| *n == node_id);
            match (stalled, self.is_cut_off(node_id)) {
                // The leader's process is paused after its last check and before it sends the
                // operation to the cloud: the operation is executed after the pause.
                (Some((_, until)), _) => self.delayed_cloud_ops.push((until, node_id, term, op)),
                // The node is partitioned: the operation is executed when the partition ends.
                (None, Some(_)) => self
                    .delayed_cloud_ops
                    .push((Millis::MAX, node_id, term, op)),
                (None, None) => self.execute_cloud_op(node_id, term, op),
            }
        }
    }

    /// Restarts or resumes the node's process if that is due. Returns whether the process
    /// runs.
    fn is_awake(&mut self, node_id: usize) -> bool {
        let now = self.now;
        let nodes = self.nodes.len();
        if !self.nodes[node_id].alive {
            if self.nodes[node_id].restart_at <= now {
                self.nodes[node_id] = self.started_node(node_id, nodes);
            }
            return false;
        }
        if self.nodes[node_id].paused_until > now {
            return false;
        }
        if self.nodes[node_id].paused_until > 0 {
            self.nodes[node_id].paused_until = 0;
            if let Some(leader) = self.nodes[node_id].leader.as_mut() {
                leader.process_resumed(now);
            }
        }
        true
    }

    /// Executes delayed operations at the cloud that are due.
    pub(super) fn step_cloud(&mut self) {
        let (due, later) = std::mem::take(&mut self.delayed_cloud_ops)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.delayed_cloud_ops = later;
        for (_, node_id, term, op) in due {
            self.execute_cloud_op(node_id, term, op);
        }
    }

    /// Executes an operation at the cloud, and passes the result to the leader that sent it if
    /// its term still lasts.
    fn execute_cloud_op(&mut self, node_id: usize, term: u64, op: CloudOp) {
        let now = self.now;
        match op {
            CloudOp::MachineRequest(request) => {
                self.machines_requested += request.count;
                let names: Vec<String> = if self.cloud_grants {
                    (0..request.count.min(4))
                        .map(|_| self.add_worker(&request.zone, request.spot, self.boot_ms))
                        .collect()
                } else {
                    Vec::new()
                };
                let leader = self.nodes[node_id].leader.as_mut();
                if let Some(leader_of_term) =
                    leader.filter(|leader_of_term| leader_of_term.term == term)
                {
                    leader_of_term.on_scale_out_response(&request, Some(&names), now);
                }
            }
            CloudOp::Release(names) => {
                for worker in self
                    .workers
                    .iter_mut()
                    .filter(|worker| names.contains(&worker.name))
                {
                    worker.alive = false;
                    worker.tasks.clear();
                }
                self.returned.extend(names.iter().cloned());
                let leader = self.nodes[node_id].leader.as_mut();
                if let Some(leader_of_term) =
                    leader.filter(|leader_of_term| leader_of_term.term == term)
                {
                    leader_of_term.on_release_response(&names, true, now);
                }
            }
        }
    }

    /// Writes the leader's changed records, one transaction at a time.
    fn flush(&mut self, node_id: usize) {
        let now = self.now;
        let reaches = self.reaches_state(node_id);
        let stalled = self.paused_sender.filter(|(n, _)| *n == node_id);
        let node = &mut self.nodes[node_id];
        let leader = node.leader.as_mut().unwrap();
        if let Some((at, plan)) = node.indeterminate.take() {
            if now >= at {
                leader.on_outcome_unknown(&plan);
            }
            if now < at || !reaches || stalled.is_some() {
                node.indeterminate = Some((at, plan));
                return;
            }
            self.begin_reread(node_id, plan);
        }
        if self.awaits_reread(node_id) {
            return;
        }
        let node = &mut self.nodes[node_id];
        if let Some((at, plan, result)) = node.flushing.take() {
            match now >= at {
                true => self.finish_flush(node_id, plan, result),
                false => node.flushing = Some((at, plan, result)),
            }
            return;
        }
        if now < node.flush_at {
            return;
        }
        node.flush_at = now + 100;
        let write_budget = self.write_budget(node_id);
        let leader = self.nodes[node_id].leader.as_mut().unwrap();
        let Some(plan) = (write_budget >= 2)
            .then(|| leader.plan_writes(write_budget))
            .flatten()
        else {
            return;
        };
        if let Some(budget) = self.budgets.get_mut(node_id) {
            budget.force(now, plan.txn.writes.len() as f64);
        }
        let result = self.transact(node_id, &plan.txn);
        match self.rng.u64(0..=self.write_latency_ms) {
            _ if self.write_latency_ms == 0 => self.finish_flush(node_id, plan, result),
            later => self.nodes[node_id].flushing = Some((now + later, plan, result)),
        }
    }

    /// Passes the outcome of a transaction to the leader.
    fn finish_flush(&mut self, node_id: usize, plan: WritePlan, result: TxnResult) {
        let now = self.now;
        let node = &mut self.nodes[node_id];
        let leader = node.leader.as_mut().unwrap();
        match result {
            TxnResult::Applied(revision) => leader.writes_applied(&plan, revision, now),
            TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                self.resign(node_id, false);
            }
            TxnResult::Conflict(_) => {
                leader.on_outcome_unknown(&plan);
                node.indeterminate = Some((now, plan));
            }
            TxnResult::Unknown => node.indeterminate = Some((now + 1500, plan)),
            TxnResult::Refused | TxnResult::Rejected => leader.finish_reconciliation(&plan),
        }
    }
}
