//! What a controller does as time passes: the loops of `node`, in steps.

use super::*;

impl World {
    pub(super) fn node_time(&mut self, i: usize) {
        let now = self.now;
        let nodes = self.nodes.len();
        if !self.nodes[i].alive {
            if self.nodes[i].back_at <= now {
                self.nodes[i] = self.fresh(i, nodes);
            }
            return;
        }
        if self.nodes[i].still_until > now {
            return;
        }
        if self.nodes[i].still_until > 0 {
            self.nodes[i].still_until = 0;
            if let Some(l) = self.nodes[i].leader.as_mut() {
                l.stood_still(now);
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
        if now >= self.nodes[i].next {
            self.elect(i);
        }
        if self.nodes[i].election.authority(now).is_none() {
            return;
        }
        self.greet(i);
        self.bar(i);
        let reaches_state = self.reaches_state(i);
        let stalled = self.stalls.is_some_and(|(n, _)| n == i);
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_mut() else {
            return;
        };
        let loads = !l.loaded() && reaches_state && !stalled && now >= node.loads_at;
        if loads {
            let standbys = self.store.kv.get(records::STANDBYS);
            l.load_standbys(
                standbys.map(|(v, r)| (serde_json::from_value(v.clone()).unwrap(), *r)),
            );
            for (k, v, r) in self.store.under(records::ROSTER) {
                let record: MachineRecord = serde_json::from_value(v).unwrap();
                l.load_machine(k.trim_start_matches(records::ROSTER), record, r, now);
            }
            for (k, v, r) in self.store.under(records::JOBS) {
                l.load_job(self.store.whole(&k[2..], v), r, now);
            }
            let found = self.store.under(PIECES);
            l.load_pieces(found.into_iter().map(|(k, _, r)| (k, r)).collect());
            for (k, v, _) in self.store.under(records::CHUNKS) {
                let (id, c) = k[2..].rsplit_once('/').unwrap();
                l.load_chunk(id, c.parse().unwrap(), v.as_str().unwrap());
            }
            // Those from before the term are told of by the jobs.
            for (key, _, version) in self.store.under(records::NOTICES) {
                if version <= l.term {
                    l.drop_notice(key);
                }
            }
            node.notices = Some(Notices::new(l.term));
            l.finish_loading(now);
            if self.sabotage {
                for m in l.cluster.each_machine_mut() {
                    m.contents_unknown = false;
                }
            }
        }
        l.upgraded(!self.mixed);
        l.tick(now, now);
        if reaches_state && !stalled {
            for id in l.sought() {
                let live = self.store.kv.get(&records::job_key(&id));
                let over = self.store.kv.get(&records::final_key(&id));
                match (live, over) {
                    (Some((v, r)), _) => {
                        l.accepted(self.store.whole(&id, v.clone()), *r, now);
                    }
                    (None, Some((v, _))) => {
                        let record: FinalRecord = serde_json::from_value(v.clone()).unwrap();
                        l.need_ended(&final_status(&id, &record), now);
                    }
                    (None, None) => l.not_found(vec![id]),
                }
            }
        }
        if reaches_state
            && !stalled
            && let Some(notices) = node.notices.as_mut()
            && let Some(body) = self.store.noticed(notices.from())
            && let acceptance_feed::Next::Look(keys) = notices.answered(200, &body)
        {
            for key in keys {
                let id = key.trim_start_matches(records::NOTICES).to_owned();
                if let Some((v, r)) = self.store.kv.get(&records::job_key(&id)) {
                    l.accepted(self.store.whole(&id, v.clone()), *r, now);
                }
                l.drop_notice(key);
            }
        }
        let term = l.term;
        self.warm += u32::from(loads && l.is_warm());
        let directs = l.directs(now);
        let ops = l.cloud_ops(now, now);
        for d in directs {
            self.send_direct(i, term, d);
        }
        for op in ops {
            let stalls = self.stalls.filter(|(n, _)| *n == i);
            match (stalls, self.is_cut_off(i)) {
                // Checked, and carried out after standing still.
                (Some((_, until)), _) => self.late_ops.push((until, i, term, op)),
                // Carried out when the cut ends.
                (None, Some(_)) => self.late_ops.push((Ms::MAX, i, term, op)),
                (None, None) => self.cloud(i, term, op),
            }
        }
        if self.standbys {
            self.keep_standbys(i);
        }
        if self.nodes[i].leader.is_some() {
            self.flush(i);
        }
    }

    pub(super) fn cloud_time(&mut self) {
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
            CloudOp::Rent(r) => {
                self.asked_for += r.count;
                let names: Vec<String> = if self.rents {
                    (0..r.count.min(4))
                        .map(|_| self.add_worker(&r.zone, r.spot, self.boot_ms))
                        .collect()
                } else {
                    Vec::new()
                };
                let leader = self.nodes[i].leader.as_mut();
                if let Some(l) = leader.filter(|l| l.term == term) {
                    l.rented(&r, Some(&names), now);
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
        let stalled = self.stalls.filter(|(n, _)| *n == i);
        let node = &mut self.nodes[i];
        let l = node.leader.as_mut().unwrap();
        if let Some((at, plan)) = node.unclear.take() {
            if now >= at {
                l.in_doubt(&plan);
            }
            if now < at || !reaches || stalled.is_some() {
                node.unclear = Some((at, plan));
                return;
            }
            for key in Leader::keys_of(&plan) {
                l.reread(&key, self.store.kv.get(&key).cloned(), now);
            }
            l.reread_done(&plan);
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
        let room = self.room(i);
        let l = self.nodes[i].leader.as_mut().unwrap();
        let Some(plan) = (room >= 2).then(|| l.plan_flush(room)).flatten() else {
            return;
        };
        if let Some(budget) = self.budgets.get_mut(i) {
            budget.force(now, plan.txn.writes.len() as f64);
        }
        let result = self.transact(i, &plan.txn);
        match self.rng.u64(0..=self.write_ms) {
            _ if self.write_ms == 0 => self.flushed(i, plan, result),
            later => self.nodes[i].flushing = Some((now + later, plan, result)),
        }
    }

    /// What came of a leader's transaction.
    fn flushed(&mut self, i: usize, plan: Plan, result: TxnResult) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let l = node.leader.as_mut().unwrap();
        match result {
            TxnResult::Done(revision) => l.flushed(&plan, revision, now),
            TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                self.resign(i, false);
            }
            TxnResult::Conflict(_) => {
                l.in_doubt(&plan);
                node.unclear = Some((now, plan));
            }
            TxnResult::Unknown => node.unclear = Some((now + 1500, plan)),
            TxnResult::Refused | TxnResult::Rejected => l.reread_done(&plan),
        }
    }

    // ---- leadership ----

    pub(super) fn resign(&mut self, i: usize, tell: bool) {
        let node = &mut self.nodes[i];
        let lead = node.election.lead();
        let Some(lead) = lead.and_then(|l| node.election.resign(l.term)) else {
            return;
        };
        if let Some(l) = node.leader.take() {
            node.finals = l.finals;
        }
        // What it began is of no concern to a later term of the same node.
        node.unclear = None;
        node.notices = None;
        node.flushing = None;
        node.record_open = None;
        if self.reaches_state(i) {
            self.store.end_lease(lead.lease);
        }
        for j in peers_of(i, self.nodes.len()) {
            if tell && self.contact(i, j) == Some(Contact::Answers) {
                self.nodes[j].election.resigned(lead.term);
            }
        }
    }

    /// Gives up the lead on purpose.
    pub fn hand_over(&mut self, i: usize) {
        if self.nodes[i].election.lead().is_some() {
            self.nodes[i].election.abstain(self.now + 1_500);
            self.resign(i, true);
        }
    }

    fn elect(&mut self, i: usize) {
        let now = self.now;
        let nodes = self.nodes.len();
        let reaches = self.reaches_state(i);
        let stalled = self.stalls.filter(|(n, _)| *n == i);
        self.nodes[i].next = now + 200;
        if let Some(lead) = self.nodes[i].election.lead() {
            if stalled.is_some() {
                return;
            }
            let slow = self.store.slow;
            if reaches && !self.store.touch(lead.lease, now) {
                self.resign(i, false);
                return;
            }
            if reaches && slow <= RENEWAL_TIMEOUT_MS {
                self.renewals.push((now + slow, i, lead.lease, now));
            }
            if reaches && slow <= PROMISE_CHECK_MS {
                if slow == 0 {
                    self.nodes[i].election.renewed(lead.lease, now);
                }
                let node = &mut self.nodes[i];
                let poor = node.reach.poor_place(now);
                let led = node.leader.as_ref();
                let warm = led.is_some_and(|l| l.warm_standbys(now) > 0);
                if node.election.stands_back(poor, warm, now) {
                    self.resign(i, true);
                }
                return;
            }
            // Ask the others.
            let answers: Vec<Promised> = peers_of(i, nodes)
                .enumerate()
                .map(|(p, j)| self.ask_promise(i, p, j, lead.term))
                .collect();
            match self.nodes[i].election.extend(now, answers, now) {
                Extended::Alone => {
                    if self.nodes[i].election.is_refused_alone(now) {
                        self.resign(i, true);
                    }
                }
                Extended::WithdrawalsUnknown => {
                    self.blind += 1;
                    self.resign(i, true);
                }
                Extended::Yes | Extended::No => {}
            }
            return;
        }
        if !reaches || self.store.slow > SEEK_STEP_MS {
            return;
        }
        if let Some(lease) = self.nodes[i].election.doubt {
            if stalled.is_none() {
                self.store.end_lease(lease);
                self.nodes[i].election.doubt = None;
            }
            return;
        }
        let seen = self.store.kv.get(LEADER).map(|(v, r)| {
            let name = v["n"].as_str().unwrap().to_owned();
            (name, *r)
        });
        let named = self.others_are_named(i);
        let node = &mut self.nodes[i];
        if node.election.seen != seen {
            node.relays.clear();
        }
        node.election.saw(seen, now);
        let Some(version) = node.election.may_seek(now) else {
            return;
        };
        let reach = &node.reach;
        if node
            .election
            .hesitates(now, || named || reach.poor_place(now))
        {
            return;
        }
        let lease = self.store.grant(now, LEASE_LIFE_MS);
        let incarnation = self.nodes[i].election.incarnation;
        let value = serde_json::json!({"n": format!("n{i}"), "i": incarnation});
        let txn = Txn {
            guards: vec![
                Guard {
                    key: LEADER.into(),
                    version,
                },
                Guard {
                    key: records::bar_key(&format!("n{i}")),
                    version: 0,
                },
            ],
            writes: vec![Write::Put {
                key: LEADER.into(),
                value: value.clone(),
                lease: Some(lease),
            }],
        };
        self.nodes[i].election.doubt = Some(lease);
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
            _ => return self.nodes[i].election.doubt = None,
        };
        self.terms += 1;
        self.deliver_kept();
        self.nodes[i].election.won(term, lease, now);
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
                idle_s: if self.rents { 20.0 } else { 36_000.0 },
                begin_s: self.begin_s,
                ..Options::default()
            },
            types(),
            term,
            now,
        );
        let node = &mut self.nodes[i];
        leader.finals = std::mem::take(&mut node.finals);
        let copy = node.follower.take_over(term);
        leader.inherit(node.election.incarnation, copy);
        node.leader = Some(leader);
        node.loads_at = now + self.load_ms;
        let found = self.store.under(records::BARS);
        let found = found
            .iter()
            .map(|(k, _, r)| (k[3..].parse::<usize>().unwrap(), *r));
        let peer = |(j, r): (usize, u64)| {
            let p = peers_of(i, nodes).position(|p| p == j);
            p.map(|p| (p, r))
        };
        self.nodes[i].bars = Bars::new(term, found.filter_map(peer));
    }

    /// What node `j`, peer `p` of `i`, answers.
    fn ask_promise(&mut self, i: usize, p: usize, j: usize, term: u64) -> Promised {
        let now = self.now;
        let bars = &self.nodes[i].bars;
        if bars.stands(p, now) {
            let until = bars.until();
            return Promised::Barred { until };
        }
        let fails = !self.reaches_state(j) || self.store.slow > PROMISE_CHECK_MS;
        if self.contact(i, j) != Some(Contact::Answers) {
            return Promised::No;
        }
        let old = self.old.contains(&j);
        let election = &mut self.nodes[j].election;
        match election.grant(now, term, PROMISE_MS, fails) {
            true => Promised::Yes {
                begun: (!old).then(|| Election::begun(election.running(now), now)),
            },
            false if fails => Promised::No,
            false => Promised::StateAnswers,
        }
    }

    /// Bars nodes that hang, and lifts the bars of those that answer.
    fn bar(&mut self, i: usize) {
        let now = self.now;
        if now < self.nodes[i].bar_at || self.stalls.is_some() {
            return;
        }
        self.nodes[i].bar_at = now + 500;
        let node = &self.nodes[i];
        let (Some(lead), Some(step)) = (node.election.lead(), node.bars.next(&node.reach, now))
        else {
            return;
        };
        let link = self.link(i, End::State);
        let reaches = self.reaches_state(i);
        let name = |p: usize| format!("n{}", peers_of(i, self.nodes.len()).nth(p).unwrap());
        let (peer, bar, txn) = match step {
            Step::Lease(lease) => {
                if reaches {
                    let renewed = lease.filter(|l| self.store.touch(*l, now));
                    match (lease, renewed) {
                        (Some(_), None) => self.nodes[i].bars.lost(),
                        (_, Some(lease)) => self.nodes[i].bars.leased(lease, now),
                        (None, None) => {
                            let lease = self.store.grant(now, exclusions::LEASE_LIFE_MS);
                            self.nodes[i].bars.leased(lease, now);
                        }
                    }
                }
                return;
            }
            Step::End(lease) => {
                self.nodes[i].bars.ending();
                if reaches {
                    self.store.end_lease(lease);
                    self.nodes[i].bars.lost();
                }
                return;
            }
            Step::Bar { peer, lease } => (peer, true, bar_txn(lead.term, &name(peer), lease)),
            Step::Lift { peer, version } => {
                (peer, false, lift_txn(lead.term, &name(peer), version))
            }
        };
        let bars = &mut self.nodes[i].bars;
        let again = bar && bars.begun(peer);
        if !bar {
            bars.lifting(peer);
        }
        // No answer, and it is carried out late.
        let late = match link {
            Link::Hold => Some(Ms::MAX),
            _ => self.store.late_bars.pop().map(|delay| now + delay),
        };
        if let Some(at) = late {
            self.store.held.push((at, i, txn));
        } else if reaches {
            let done = self.store.apply(&txn);
            let bars = &mut self.nodes[i].bars;
            match (bar, done) {
                (true, Ok(version)) => bars.barred(peer, version, again),
                (true, Err(_)) => bars.not_barred(peer, again),
                (false, Err(failed)) if failed.iter().any(|k| k == LEADER) => {}
                (false, _) => bars.lifted(peer),
            }
        }
    }

    /// Learns which other nodes answer.
    fn ping(&mut self, i: usize) {
        let now = self.now;
        for (p, j) in peers_of(i, self.nodes.len()).enumerate() {
            let contact = self.contact(i, j);
            let node = &mut self.nodes[i];
            if node.asked[j].is_none() && node.reach.due(p, 300, now) {
                node.reach.asked(p, now);
                node.asked[j] = Some(now);
            }
            let Some(since) = node.asked[j] else { continue };
            let timed_out = now >= since + 600;
            if let Some(how) = contact.or(timed_out.then_some(Contact::Silent)) {
                node.reach.ended(p, how, now);
                node.asked[j] = None;
                if how == Contact::Answers {
                    let view = self.nodes[j].election.leader(now);
                    let view = view.map(|(name, term)| (name.to_owned(), term));
                    self.nodes[i].election.heard(view, now);
                }
            }
        }
    }

    /// Each second the leader has the reports relayed of machines that it
    /// does not hear, and hands over if it hears nobody at all.
    fn greet(&mut self, i: usize) {
        let now = self.now;
        if now < self.nodes[i].greet_at {
            return;
        }
        self.nodes[i].greet_at = now + 1000;
        for j in peers_of(i, self.nodes.len()) {
            let zone = self.zone_of(j);
            if zone != self.zone_of(i) && self.contact(i, j) == Some(Contact::Answers) {
                let l = self.nodes[i].leader.as_mut();
                l.into_iter().for_each(|l| l.controller_heard(zone, now));
            }
        }
        let node = &mut self.nodes[i];
        let Some(l) = node.leader.as_ref() else {
            return;
        };
        let (machines, heard) = l.unheard(now);
        if machines.is_empty() {
            return;
        }
        let mut anybody = heard > 0;
        for j in peers_of(i, self.nodes.len()) {
            if self.contact(i, j) == Some(Contact::Answers) {
                anybody = true;
                self.nodes[j].relays.unheard(&machines, 15_000, now);
            }
        }
        if !anybody && now > self.nodes[i].last_beat + 5000 {
            self.nodes[i].election.abstain(now + 15_000);
            self.resign(i, false);
        }
    }
}
