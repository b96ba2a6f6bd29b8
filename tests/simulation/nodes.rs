//! Controllers: replaces the I/O loops of `server` by steps of simulated time around the
//! product's own decisions: loading of the records, commands, writes, and operations at the
//! cloud. Module `election` contains the steps that concern leadership.

use super::*;

impl Simulation {
    /// Runs one step of node `i`: probes, election and, if the node leads, loading of the
    /// records, scheduling, commands, replication and writes.
    pub(super) fn step_node(&mut self, i: usize) {
        let now = self.now;
        if !self.is_awake(i) {
            return;
        }
        let (due, later) = std::mem::take(&mut self.renewals)
            .into_iter()
            .partition(|(at, of, ..)| *of == i && *at <= now);
        self.renewals = later;
        for (_, _, lease, sent) in due {
            self.nodes[i].election.renewed(lease, sent);
        }
        self.ping(i);
        self.step_request_budget(i);
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
            self.load_records(i);
        }
        let l = self.nodes[i].leader.as_mut().unwrap();
        l.upgraded(!self.mixed_versions);
        l.tick(now, now);
        if reaches_state && !stalled {
            self.read_dependencies(i);
            self.read_acceptance_feed(i);
        }
        let l = self.nodes[i].leader.as_mut().unwrap();
        let term = l.term;
        self.warm_failovers += u32::from(loads && l.is_warm());
        let directs = l.direct_deliveries(now);
        let ops = l.cloud_ops(now, now);
        self.send_commands(i, term, directs, ops);
        if self.standbys {
            self.step_standbys(i);
        }
        if self.nodes[i].leader.is_some() {
            self.flush(i);
        }
    }

    /// Loads all records into a new leader, as `server::leadership` does.
    fn load_records(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_mut() else {
            return;
        };
        let standbys = self.store.kv.get(records::STANDBYS);
        l.load_standbys(standbys.map(|(v, r)| (serde_json::from_value(v.clone()).unwrap(), *r)));
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
        // Jobs accepted before the term began were loaded with their records.
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

    /// Sends the leader's direct commands, and its operations at the cloud.
    fn send_commands(
        &mut self,
        i: usize,
        term: u64,
        directs: Vec<DirectDelivery>,
        ops: Vec<CloudOp>,
    ) {
        for d in directs {
            self.send_direct(i, term, d);
        }
        for op in ops {
            let stalls = self.paused_sender.filter(|(n, _)| *n == i);
            match (stalls, self.is_cut_off(i)) {
                // The process is paused between its check and the send: the operation is
                // executed after the pause.
                (Some((_, until)), _) => self.late_ops.push((until, i, term, op)),
                // The node is partitioned: the operation is executed when the partition ends.
                (None, Some(_)) => self.late_ops.push((Millis::MAX, i, term, op)),
                (None, None) => self.cloud(i, term, op),
            }
        }
    }

    /// Restarts or resumes the node's process if that is due. Returns whether the process
    /// runs.
    fn is_awake(&mut self, i: usize) -> bool {
        let now = self.now;
        let nodes = self.nodes.len();
        if !self.nodes[i].alive {
            if self.nodes[i].back_at <= now {
                self.nodes[i] = self.started_node(i, nodes);
            }
            return false;
        }
        if self.nodes[i].paused_until > now {
            return false;
        }
        if self.nodes[i].paused_until > 0 {
            self.nodes[i].paused_until = 0;
            if let Some(l) = self.nodes[i].leader.as_mut() {
                l.process_resumed(now);
            }
        }
        true
    }

    /// Executes delayed operations at the cloud that are due.
    pub(super) fn step_cloud(&mut self) {
        let (due, later) = std::mem::take(&mut self.late_ops)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.late_ops = later;
        for (_, i, term, op) in due {
            self.cloud(i, term, op);
        }
    }

    /// Executes an operation at the cloud, and passes the result to the leader that sent it if
    /// its term still lasts.
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

    /// Writes the leader's changed records, one transaction at a time.
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
            self.begin_reread(i, plan);
        }
        if self.awaits_reread(i) {
            return;
        }
        let node = &mut self.nodes[i];
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

    /// Passes the outcome of a transaction to the leader.
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
}
