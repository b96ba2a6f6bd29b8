//! Users' requests at the nodes: replaces the server's loop around `control::requests`. The
//! loop takes each step of a request and carries out the operation that the step returns,
//! at once or after random latencies.

use super::*;
use pathwinch::{
    control::{
        dependency_evidence::DependencyVerdict,
        requests::{
            Event, Found, LookupResults, Next, NodeView, Reading, Request, answer_peer_polls,
        },
    },
    state::{
        rate_limit::share::{self, Role},
        records::JobRecord,
        request_budget::RequestPriority,
    },
};
use users::UserRequest;

/// Next event of a request in flight.
#[derive(Debug)]
pub(super) enum NextEvent {
    /// The user sends the request.
    Sent,
    Event(Event),
    /// The poll reaches the leader: index of the leader's node, and time the poll was sent.
    AtLeader(usize, Millis),
    /// The read reaches the state service. The field is the time at which the read was sent.
    ReadState(Millis),
    Look(Vec<String>),
    Write(Txn),
    /// The forwarded request reaches the leader: index of the leader's node.
    AtForwardTarget(usize),
    /// The answer reaches the user or the node that forwarded the request.
    Answer(Option<Answer>),
}

/// Recipient of the answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Recipient {
    User(usize),
    /// The forwarding node's request with this serial number.
    InFlight(u64),
    Discarded,
}

/// A request in flight at one node.
pub(super) struct InFlight {
    pub(super) serial: u64,
    pub(super) node: usize,
    /// Incarnation of the node's process; a restart loses the request.
    pub(super) process: u64,
    pub(super) recipient: Recipient,
    pub(super) ask: UserRequest,
    pub(super) request: Request,
    pub(super) due: Millis,
    pub(super) next_event: NextEvent,
}

impl Simulation {
    /// Calls `action` with the state of node `node_id` that the steps of requests read and change.
    fn view<T>(
        &mut self,
        node_id: usize,
        now: Millis,
        action: impl FnOnce(&mut NodeView) -> T,
    ) -> T {
        let types = if self.types_unknown {
            Vec::new()
        } else {
            types()
        };
        let node = &mut self.nodes[node_id];
        let term = node.election.authority(now);
        action(&mut NodeView {
            may_act: term.is_some() && node.leader.as_ref().map(|l| l.term) == term,
            leader: node.leader.as_mut(),
            final_states: &mut node.final_states,
            settings: &self.settings,
            types: &types,
            upgraded: !self.mixed_versions,
            now,
            wall_ms: now,
            read_term: None,
        })
    }

    fn read_record(&self, id: &str) -> Found {
        let live = self.store.kv.get(&records::job_key(id));
        let ended = self.store.kv.get(&records::final_key(id));
        match (live, ended) {
            (Some((v, r)), _) => Found::Live(Box::new(self.store.job_record(id, v.clone())), *r),
            (None, Some((v, r))) => Found::Final(serde_json::from_value(v.clone()).unwrap(), *r),
            (None, None) => Found::NoRecord,
        }
    }

    fn read_records(&mut self, node_id: usize, ids: &[String]) -> LookupResults {
        let reaches = self.reaches_state(node_id);
        let mut results = LookupResults::new();
        for id in ids {
            let found = match (
                reaches,
                self.may_request(node_id, RequestPriority::Acceptance),
            ) {
                (true, true) => Ok(self.read_record(id)),
                (true, false) => Err("over the request budget".to_owned()),
                (false, _) => Err("status 503".to_owned()),
            };
            results.insert(id.clone(), found);
        }
        results
    }

    /// Reads a job's record, and those of its dependencies, as `server::polls` does.
    fn read_state(
        &mut self,
        node_id: usize,
        id: &str,
        began_at: Millis,
    ) -> Result<Reading, String> {
        if !self.reaches_state(node_id) {
            return Err("status 503".into());
        }
        if !self.may_request(node_id, RequestPriority::Poll) {
            return Err("over the request budget".into());
        }
        let (status, version) = match self.read_record(id) {
            Found::Live(record, version) => {
                let status = record.status();
                if !status.state.is_final() && !record.spec.dependencies.is_empty() {
                    self.confirm_dependencies(node_id, *record, began_at)?;
                }
                (Some(status), Some(version))
            }
            Found::Final(record, version) => (Some(final_status(id, &record)), Some(version)),
            Found::NoRecord => (None, None),
        };
        Ok(Reading {
            started_at: began_at,
            status,
            version,
        })
    }

    /// Checks by the records of its dependencies whether a job may be answered as unfinished;
    /// `Err`: the reason why not.
    fn confirm_dependencies(
        &mut self,
        node_id: usize,
        record: JobRecord,
        read_at: Millis,
    ) -> Result<(), String> {
        let id = record.spec.id.clone();
        self.learn_dependency(node_id, record, read_at);
        loop {
            let verdict = self.dependency_verdict(node_id, &id);
            let DependencyVerdict::Unread(ids) = &verdict else {
                return verdict.refusal().map_or(Ok(()), |why| Err(why.to_owned()));
            };
            let unread = self.read_faults.refuses_poll_reads
                || !self.may_request(node_id, RequestPriority::Poll);
            if unread {
                return Err(verdict.refusal().unwrap().to_owned());
            }
            for id in ids {
                match self.read_record(id) {
                    Found::Live(record, _) => self.learn_dependency(node_id, *record, read_at),
                    Found::Final(record, _) => {
                        let status = final_status(id, &record);
                        self.view(node_id, self.now, |view| view.remember(&status));
                    }
                    Found::NoRecord => panic!("no record of {id}, which was accepted"),
                }
            }
        }
    }

    fn dependency_verdict(&mut self, i: usize, id: &str) -> DependencyVerdict {
        let evidence = std::mem::take(&mut self.nodes[i].dependency_evidence).unwrap();
        let verdict = self.view(i, self.now, |view| view.dependency_verdict(&evidence, id));
        self.nodes[i].dependency_evidence = Some(evidence);
        verdict
    }

    fn learn_dependency(&mut self, node_id: usize, record: JobRecord, read_at: Millis) {
        let status = record.status();
        if status.state.is_final() {
            return self.view(node_id, self.now, |view| view.remember(&status));
        }
        let dependencies = match status.done {
            0 => record.spec.dependencies,
            _ => Vec::new(),
        };
        let evidence = self.nodes[node_id].dependency_evidence.as_mut().unwrap();
        evidence.read_unfinished(&status.id, dependencies, read_at);
    }

    /// Applies a node's transaction, delays it, or loses its answer, according to the faults;
    /// returns the outcome that the node sees.
    pub(super) fn transact(&mut self, node_id: usize, txn: &Txn) -> TxnResult {
        let stalled = self.paused_sender.filter(|(n, _)| *n == node_id);
        let late = match (stalled, self.link(node_id, Endpoint::State)) {
            (Some((_, until)), _) => Some(until),
            (None, Link::Hold) => Some(Millis::MAX),
            _ => None,
        };
        if let Some(at) = late {
            self.store.held.push((at, node_id, txn.clone()));
            return TxnResult::Unknown;
        }
        if !self.reaches_state(node_id) {
            return TxnResult::Refused;
        }
        if self.store.lost_answers > 0 && self.rng.u32(..100) < self.store.lost_answers {
            let kind = match &txn.writes[0] {
                Write::Put { key, .. } | Write::Delete { key } => key.split('/').next(),
            };
            let kind = kind.unwrap_or_default().to_owned();
            *self.store.unanswered.entry(kind).or_default() += 1;
            let _ = self.store.apply(txn);
            return TxnResult::Unknown;
        }
        if let Some(delay) = self.store.late_writes.pop() {
            self.store
                .held
                .push((self.now + delay, node_id, txn.clone()));
            return TxnResult::Unknown;
        }
        match self.store.apply(txn) {
            Ok(revision) => TxnResult::Applied(revision),
            Err(failed) => TxnResult::Conflict(failed),
        }
    }

    /// Limits the writes per second that the state service accepts from all nodes.
    pub fn limit_write_rate(&mut self, rate: f64) {
        self.write_rate = rate;
        let budget = || TokenBucket::new(rate * share::of_writes(Role::Leader, 3), 1.0);
        self.budgets = self.nodes.iter().map(|_| budget()).collect();
    }

    fn has_budget(&mut self, node_id: usize, now: Millis, txn: &Txn) -> bool {
        let budget = self.budgets.get_mut(node_id);
        budget.is_none_or(|b| b.take(now, txn.writes.len() as f64, 0.0))
    }

    /// Returns the number of writes that the leader's record updates may make now.
    pub(super) fn write_budget(&mut self, node_id: usize) -> usize {
        let (now, kept) = (
            self.now,
            share::writes_reserved_for_submissions(self.write_rate),
        );
        let level = self.budgets.get_mut(node_id).map(|b| b.level(now) - kept);
        level.map_or(12, |l| l.max(0.0) as usize)
    }

    /// Returns the leader to which node `node_id` forwards requests, if the leader answers.
    fn forward_target(&self, node_id: usize, now: Millis) -> Option<usize> {
        let (name, _) = self.nodes[node_id].election.leader(now)?;
        let leader_id: usize = name[1..].parse().ok()?;
        (leader_id != node_id
            && self.reaches(leader_id)
            && self.link(node_id, Endpoint::Node(leader_id)) == Link::Up)
            .then_some(leader_id)
    }

    /// Returns what node `node_id`, which leads, answers its peers' polls of these jobs.
    pub fn answers_to_peer_polls(
        &mut self,
        node_id: usize,
        ids: &[String],
    ) -> Vec<Option<JobState>> {
        let states = self.view(node_id, self.now, |view| answer_peer_polls(view, ids));
        let states = states.expect("the node leads").into_iter();
        states.map(|known| known.map(|(state, ..)| state)).collect()
    }

    /// Takes all steps of the request at the present time. `Err`: the request has to wait.
    pub(super) fn complete_now(
        &mut self,
        node_id: usize,
        ask: &UserRequest,
        request: &mut Request,
    ) -> Result<Option<Answer>, ()> {
        let mut now = self.now;
        let mut event = Event::Arrived;
        loop {
            event = match self.view(node_id, now, |view| request.step(event, view)) {
                Next::Answer(answer) => return Ok(Some(answer)),
                Next::NotLeading | Next::Finished => return Ok(None),
                // Only a final state that is withheld for some time is waited for.
                Next::Wait(ms) if request.is_held() => {
                    self.run(ms + STEP);
                    now = self.now;
                    Event::Waited
                }
                Next::Wait(_) => return Err(()),
                Next::AskLeader => {
                    let status = self.forward_target(node_id, now).and_then(|leader_id| {
                        let ids = [ask.id().to_owned()];
                        let known = self
                            .view(leader_id, now, |view| answer_peer_polls(view, &ids))?
                            .pop()?;
                        known.map(|k| status_of(&ids[0], k))
                    });
                    leader_replied(now, status)
                }
                Next::ReadState => Event::Read(self.read_state(node_id, ask.id(), now)),
                Next::CheckVersions => Event::VersionsChecked(!self.mixed_versions),
                Next::LookUp(ids) => Event::LookupResults(self.read_records(node_id, &ids)),
                Next::Write(txn, _) => Event::Wrote(self.transact(node_id, &txn)),
                Next::Forward => {
                    let leader = self.forward_target(node_id, now);
                    let reply = leader.map(|l| self.complete_now(l, ask, &mut ask.request(true)));
                    Event::Forwarded(reply.transpose()?.flatten())
                }
            };
        }
    }

    /// Adds a request in flight at node `node_id`.
    pub(super) fn launch(
        &mut self,
        node_id: usize,
        ask: UserRequest,
        forwarded: bool,
        answer_recipient: Recipient,
        due: Millis,
        first_event: NextEvent,
    ) {
        let serial = self.traffic.next_order();
        self.traffic.in_flight.push(InFlight {
            serial,
            node: node_id,
            process: self.nodes[node_id].election.incarnation,
            recipient: answer_recipient,
            request: ask.request(forwarded),
            ask,
            due,
            next_event: first_event,
        });
    }

    fn draw_latency(&mut self) -> Millis {
        let most = self.traffic.max_latency_ms;
        1 + self.rng.u64(0..=most)
    }

    /// Processes all due events of requests in flight, in the order of their times.
    pub(super) fn step_requests(&mut self) {
        loop {
            let flights = self.traffic.in_flight.iter().enumerate();
            let first = flights.min_by_key(|(_, f)| (f.due, f.serial));
            let Some(at) = first.filter(|(_, f)| f.due <= self.now).map(|(at, _)| at) else {
                return;
            };
            let flight = self.traffic.in_flight.swap_remove(at);
            self.advance(flight);
        }
    }

    /// Processes the due event of a request in flight.
    fn advance(&mut self, mut in_flight: InFlight) {
        let (node_id, now) = (in_flight.node, in_flight.due);
        if let (NextEvent::Sent, Recipient::User(history_index)) =
            (&in_flight.next_event, in_flight.recipient)
        {
            self.traffic.history[history_index].order = self.traffic.next_order();
            if !self.reaches(node_id) {
                return;
            }
            in_flight.process = self.nodes[node_id].election.incarnation;
            in_flight.due = now + self.draw_latency();
            in_flight.next_event = NextEvent::Event(Event::Arrived);
            return self.traffic.in_flight.push(in_flight);
        }
        let node = &self.nodes[node_id];
        if !node.alive || node.election.incarnation != in_flight.process {
            return;
        }
        // Messages to a paused process are delivered after it resumes.
        if node.paused_until > now && matches!(in_flight.next_event, NextEvent::Event(_)) {
            in_flight.due = node.paused_until + self.rng.u64(0..20);
            self.traffic.in_flight.push(in_flight);
            return;
        }
        let slow = self.store.delay_ms;
        let (delay, next) =
            match std::mem::replace(&mut in_flight.next_event, NextEvent::Answer(None)) {
                NextEvent::Event(event) => {
                    let next = self.view(node_id, now, |view| in_flight.request.step(event, view));
                    self.schedule(&mut in_flight, next)
                }
                NextEvent::AtLeader(leader_id, began_at) => {
                    let answers = self.reaches(leader_id)
                        && self.link(node_id, Endpoint::Node(leader_id)) == Link::Up;
                    let ids = [in_flight.ask.id().to_owned()];
                    let known = match answers {
                        true => self.view(leader_id, now, |view| answer_peer_polls(view, &ids)),
                        false => None,
                    };
                    let known = known.and_then(|mut k| k.pop()?);
                    let status = known.map(|k| status_of(&ids[0], k));
                    let after = if answers { self.draw_latency() } else { 500 };
                    (after, NextEvent::Event(leader_replied(began_at, status)))
                }
                NextEvent::ReadState(began_at) => {
                    let read = self.read_state(node_id, in_flight.ask.id(), began_at);
                    (self.draw_latency(), NextEvent::Event(Event::Read(read)))
                }
                NextEvent::Look(ids) => {
                    let looked = self.read_records(node_id, &ids);
                    let after = self.draw_latency() + self.traffic.read_delay_ms;
                    (after, NextEvent::Event(Event::LookupResults(looked)))
                }
                NextEvent::Write(txn) => {
                    let outcome = self.transact(node_id, &txn);
                    let after = match outcome {
                        TxnResult::Unknown => 2_000,
                        _ => self.draw_latency(),
                    };
                    (after, NextEvent::Event(Event::Wrote(outcome)))
                }
                NextEvent::AtForwardTarget(leader_id) => {
                    let is_reachable = self.reaches(leader_id)
                        && self.link(node_id, Endpoint::Node(leader_id)) == Link::Up;
                    if is_reachable {
                        let begin = NextEvent::Event(Event::Arrived);
                        self.launch(
                            leader_id,
                            in_flight.ask.clone(),
                            true,
                            Recipient::InFlight(in_flight.serial),
                            now,
                            begin,
                        );
                    }
                    let after = if is_reachable {
                        in_flight.request.forward_limit()
                    } else {
                        0
                    };
                    (after, NextEvent::Event(Event::Forwarded(None)))
                }
                NextEvent::Sent => return,
                NextEvent::Answer(answer) => return self.deliver_answer(in_flight, answer),
            };
        let reads = matches!(
            next,
            NextEvent::ReadState(_) | NextEvent::Look(_) | NextEvent::Write(_)
        );
        in_flight.due = now + delay + if reads { slow } else { 0 };
        in_flight.next_event = next;
        self.traffic.in_flight.push(in_flight);
    }

    /// Returns the event that follows from the result of a step, and its delay.
    fn schedule(&mut self, in_flight: &mut InFlight, next: Next) -> (Millis, NextEvent) {
        let latency = self.draw_latency();
        let leader = self.forward_target(in_flight.node, in_flight.due);
        match next {
            Next::Answer(answer) => {
                if let Some(unfinished) = in_flight.request.unfinished_work() {
                    let serial = self.traffic.next_order();
                    self.traffic.in_flight.push(InFlight {
                        serial,
                        node: in_flight.node,
                        process: in_flight.process,
                        recipient: Recipient::Discarded,
                        ask: in_flight.ask.clone(),
                        request: unfinished,
                        due: in_flight.due,
                        next_event: NextEvent::Event(Event::Arrived),
                    });
                }
                (latency, NextEvent::Answer(Some(answer)))
            }
            Next::NotLeading | Next::Finished => (latency, NextEvent::Answer(None)),
            Next::Wait(ms) => (ms, NextEvent::Event(Event::Waited)),
            Next::AskLeader => match leader {
                Some(leader_id) => (latency, NextEvent::AtLeader(leader_id, in_flight.due)),
                None => (0, NextEvent::Event(leader_replied(in_flight.due, None))),
            },
            Next::Forward => match leader {
                Some(leader_id) => (latency, NextEvent::AtForwardTarget(leader_id)),
                None => (0, NextEvent::Event(Event::Forwarded(None))),
            },
            Next::ReadState => (latency, NextEvent::ReadState(in_flight.due)),
            Next::LookUp(ids) => (latency, NextEvent::Look(ids)),
            Next::CheckVersions => (
                latency,
                NextEvent::Event(Event::VersionsChecked(!self.mixed_versions)),
            ),
            Next::Write(txn, _) => match self.has_budget(in_flight.node, in_flight.due, &txn) {
                true => (latency, NextEvent::Write(txn)),
                false => (0, NextEvent::Event(Event::OverBudget)),
            },
        }
    }

    fn deliver_answer(&mut self, in_flight: InFlight, answer: Option<Answer>) {
        match in_flight.recipient {
            Recipient::Discarded => {}
            Recipient::InFlight(serial) => {
                let forwarding = self
                    .traffic
                    .in_flight
                    .iter_mut()
                    .find(|other| other.serial == serial);
                let waits = |other: &&mut InFlight| {
                    matches!(other.next_event, NextEvent::Event(Event::Forwarded(None)))
                };
                if let Some(forwarding) = forwarding.filter(waits) {
                    forwarding.due = in_flight.due;
                    forwarding.next_event = NextEvent::Event(Event::Forwarded(answer));
                }
            }
            Recipient::User(history_index) => {
                let sent_request = &self.traffic.history[history_index];
                let timed_out = in_flight.due > sent_request.sent + sent_request.ask.timeout_ms();
                let Some(answer) = answer.filter(|_| !timed_out && self.reaches(in_flight.node))
                else {
                    return;
                };
                let order = sent_request.order;
                self.check_answer(&in_flight.ask, order, &answer);
                self.traffic.history[history_index].answer = Some((in_flight.due, answer));
            }
        }
    }
}

fn leader_replied(began_at: Millis, status: Option<JobStatus>) -> Event {
    Event::LeaderReplied(Reading {
        started_at: began_at,
        status,
        version: None,
    })
}

fn status_of(id: &str, (state, done, running): (JobState, u32, u32)) -> JobStatus {
    JobStatus {
        id: id.to_owned(),
        state,
        done,
        running,
    }
}
