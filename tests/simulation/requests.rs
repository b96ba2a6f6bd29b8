//! Users' requests at the nodes: replaces the server's loop around `control::requests`. The
//! loop takes each step of a request and carries out the operation that the step returns,
//! at once or after random latencies.

use super::*;
use pathwinch::{
    control::{
        dependency_evidence::DependencyVerdict,
        requests::{Event, Found, LookupResults, Next, NodeView, Reading, Request, polled},
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
    /// The poll reaches the leader, this node; with the time the poll was sent.
    AtLeader(usize, Millis),
    /// The read reaches the state service; with the time the read was sent.
    ReadState(Millis),
    Look(Vec<String>),
    Write(Txn),
    /// The forwarded request reaches the leader, this node.
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
    /// Calls `f` with the view of node `i` that the steps of requests work on.
    fn view<T>(&mut self, i: usize, now: Millis, f: impl FnOnce(&mut NodeView) -> T) -> T {
        let types = if self.types_unknown {
            Vec::new()
        } else {
            types()
        };
        let node = &mut self.nodes[i];
        let term = node.election.authority(now);
        f(&mut NodeView {
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
        let over = self.store.kv.get(&records::final_key(id));
        match (live, over) {
            (Some((v, r)), _) => Found::Live(Box::new(self.store.job_record(id, v.clone())), *r),
            (None, Some((v, r))) => Found::Final(serde_json::from_value(v.clone()).unwrap(), *r),
            (None, None) => Found::Nothing,
        }
    }

    fn read_records(&mut self, i: usize, ids: &[String]) -> LookupResults {
        let reaches = self.reaches_state(i);
        let mut results = LookupResults::new();
        for id in ids {
            let found = match (reaches, self.may_request(i, RequestPriority::Acceptance)) {
                (true, true) => Ok(self.read_record(id)),
                (true, false) => Err("over the request budget".to_owned()),
                (false, _) => Err("status 503".to_owned()),
            };
            results.insert(id.clone(), found);
        }
        results
    }

    /// Reads a job's record, and those of its dependencies, as `server::polls` does.
    fn read_state(&mut self, i: usize, id: &str, began: Millis) -> Result<Reading, String> {
        if !self.reaches_state(i) {
            return Err("status 503".into());
        }
        if !self.may_request(i, RequestPriority::Poll) {
            return Err("over the request budget".into());
        }
        let (status, version) = match self.read_record(id) {
            Found::Live(record, version) => {
                let status = record.status();
                if !status.state.is_final() && !record.spec.dependencies.is_empty() {
                    self.confirm_dependencies(i, *record, began)?;
                }
                (Some(status), Some(version))
            }
            Found::Final(record, version) => (Some(final_status(id, &record)), Some(version)),
            Found::Nothing => (None, None),
        };
        Ok(Reading {
            started_at: began,
            status,
            version,
        })
    }

    /// Checks by the records of its dependencies whether a job may be answered as unfinished;
    /// `Err`: the reason why not.
    fn confirm_dependencies(
        &mut self,
        i: usize,
        record: JobRecord,
        read_at: Millis,
    ) -> Result<(), String> {
        let id = record.spec.id.clone();
        self.learn_dependency(i, record, read_at);
        loop {
            let verdict = self.dependency_verdict(i, &id);
            let DependencyVerdict::Unread(ids) = &verdict else {
                return verdict.refusal().map_or(Ok(()), |why| Err(why.to_owned()));
            };
            let unread =
                self.read_faults.refuses_poll_reads || !self.may_request(i, RequestPriority::Poll);
            if unread {
                return Err(verdict.refusal().unwrap().to_owned());
            }
            for id in ids {
                match self.read_record(id) {
                    Found::Live(record, _) => self.learn_dependency(i, *record, read_at),
                    Found::Final(record, _) => {
                        let status = final_status(id, &record);
                        self.view(i, self.now, |view| view.remember(&status));
                    }
                    Found::Nothing => panic!("no record of {id}, which was accepted"),
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

    fn learn_dependency(&mut self, i: usize, record: JobRecord, read_at: Millis) {
        let status = record.status();
        if status.state.is_final() {
            return self.view(i, self.now, |view| view.remember(&status));
        }
        let dependencies = match status.done {
            0 => record.spec.dependencies,
            _ => Vec::new(),
        };
        let evidence = self.nodes[i].dependency_evidence.as_mut().unwrap();
        evidence.read_unfinished(&status.id, dependencies, read_at);
    }

    /// Applies a node's transaction, delays it, or loses its answer, according to the faults;
    /// returns the outcome that the node sees.
    pub(super) fn transact(&mut self, i: usize, txn: &Txn) -> TxnResult {
        let stalled = self.paused_sender.filter(|(n, _)| *n == i);
        let late = match (stalled, self.link(i, Endpoint::State)) {
            (Some((_, until)), _) => Some(until),
            (None, Link::Hold) => Some(Millis::MAX),
            _ => None,
        };
        if let Some(at) = late {
            self.store.held.push((at, i, txn.clone()));
            return TxnResult::Unknown;
        }
        if !self.reaches_state(i) {
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
            self.store.held.push((self.now + delay, i, txn.clone()));
            return TxnResult::Unknown;
        }
        match self.store.apply(txn) {
            Ok(revision) => TxnResult::Done(revision),
            Err(failed) => TxnResult::Conflict(failed),
        }
    }

    /// Limits the writes per second that the state service accepts from all nodes.
    pub fn limit_write_rate(&mut self, rate: f64) {
        self.write_rate = rate;
        let budget = || TokenBucket::new(rate * share::of_changes(Role::Leads, 3), 1.0);
        self.budgets = self.nodes.iter().map(|_| budget()).collect();
    }

    fn has_budget(&mut self, i: usize, now: Millis, txn: &Txn) -> bool {
        let budget = self.budgets.get_mut(i);
        budget.is_none_or(|b| b.take(now, txn.writes.len() as f64, 0.0))
    }

    /// Returns the number of writes that the leader's record updates may make now.
    pub(super) fn write_budget(&mut self, i: usize) -> usize {
        let (now, kept) = (self.now, share::kept_for_users(self.write_rate));
        let level = self.budgets.get_mut(i).map(|b| b.level(now) - kept);
        level.map_or(12, |l| l.max(0.0) as usize)
    }

    /// Returns the leader to which node `i` forwards requests, if the leader answers.
    fn forward_target(&self, i: usize, now: Millis) -> Option<usize> {
        let (name, _) = self.nodes[i].election.leader(now)?;
        let l: usize = name[1..].parse().ok()?;
        (l != i && self.reaches(l) && self.link(i, Endpoint::Node(l)) == Link::Up).then_some(l)
    }

    /// Returns what node `i`, which leads, answers its peers' polls of these jobs.
    pub fn told_to_peers(&mut self, i: usize, ids: &[String]) -> Vec<Option<JobState>> {
        let states = self.view(i, self.now, |view| polled(view, ids));
        let states = states.expect("the node leads").into_iter();
        states.map(|known| known.map(|(state, ..)| state)).collect()
    }

    /// Takes all steps of the request at the present time. `Err`: the request has to wait.
    pub(super) fn complete_now(
        &mut self,
        i: usize,
        ask: &UserRequest,
        request: &mut Request,
    ) -> Result<Option<Answer>, ()> {
        let mut now = self.now;
        let mut event = Event::Begin;
        loop {
            event = match self.view(i, now, |view| request.step(event, view)) {
                Next::Answer(answer) => return Ok(Some(answer)),
                Next::NotLeading | Next::Over => return Ok(None),
                // Only a final state that is withheld for some time is waited for.
                Next::Wait(ms) if request.is_held() => {
                    self.run(ms + STEP);
                    now = self.now;
                    Event::Waited
                }
                Next::Wait(_) => return Err(()),
                Next::AskLeader => {
                    let status = self.forward_target(i, now).and_then(|l| {
                        let ids = [ask.id().to_owned()];
                        let known = self.view(l, now, |view| polled(view, &ids))?.pop()?;
                        known.map(|k| status_of(&ids[0], k))
                    });
                    leader_replied(now, status)
                }
                Next::ReadState => Event::Read(self.read_state(i, ask.id(), now)),
                Next::Versions => Event::Versions(!self.mixed_versions),
                Next::Look(ids) => Event::LookupResults(self.read_records(i, &ids)),
                Next::Write(txn, _) => Event::Wrote(self.transact(i, &txn)),
                Next::Forward => {
                    let leader = self.forward_target(i, now);
                    let passed = leader.map(|l| self.complete_now(l, ask, &mut ask.request(true)));
                    Event::Forwarded(passed.transpose()?.flatten())
                }
            };
        }
    }

    /// Adds a request in flight at node `i`.
    pub(super) fn launch(
        &mut self,
        i: usize,
        ask: UserRequest,
        forwarded: bool,
        who: Recipient,
        due: Millis,
        comes: NextEvent,
    ) {
        let serial = self.traffic.next();
        self.traffic.in_flight.push(InFlight {
            serial,
            node: i,
            process: self.nodes[i].election.incarnation,
            recipient: who,
            request: ask.request(forwarded),
            ask,
            due,
            next_event: comes,
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
    fn advance(&mut self, mut f: InFlight) {
        let (i, now) = (f.node, f.due);
        if let (NextEvent::Sent, Recipient::User(n)) = (&f.next_event, f.recipient) {
            self.traffic.history[n].order = self.traffic.next();
            if !self.reaches(i) {
                return;
            }
            f.process = self.nodes[i].election.incarnation;
            f.due = now + self.draw_latency();
            f.next_event = NextEvent::Event(Event::Begin);
            return self.traffic.in_flight.push(f);
        }
        let node = &self.nodes[i];
        if !node.alive || node.election.incarnation != f.process {
            return;
        }
        // Messages to a paused process are delivered after it resumes.
        if node.paused_until > now && matches!(f.next_event, NextEvent::Event(_)) {
            f.due = node.paused_until + self.rng.u64(0..20);
            self.traffic.in_flight.push(f);
            return;
        }
        let slow = self.store.delay_ms;
        let (delay, next) = match std::mem::replace(&mut f.next_event, NextEvent::Answer(None)) {
            NextEvent::Event(event) => {
                let next = self.view(i, now, |view| f.request.step(event, view));
                self.schedule(&mut f, next)
            }
            NextEvent::AtLeader(l, began) => {
                let answers = self.reaches(l) && self.link(i, Endpoint::Node(l)) == Link::Up;
                let ids = [f.ask.id().to_owned()];
                let known = match answers {
                    true => self.view(l, now, |view| polled(view, &ids)),
                    false => None,
                };
                let known = known.and_then(|mut k| k.pop()?);
                let status = known.map(|k| status_of(&ids[0], k));
                let after = if answers { self.draw_latency() } else { 500 };
                (after, NextEvent::Event(leader_replied(began, status)))
            }
            NextEvent::ReadState(began) => {
                let read = self.read_state(i, f.ask.id(), began);
                (self.draw_latency(), NextEvent::Event(Event::Read(read)))
            }
            NextEvent::Look(ids) => {
                let looked = self.read_records(i, &ids);
                let after = self.draw_latency() + self.traffic.read_delay_ms;
                (after, NextEvent::Event(Event::LookupResults(looked)))
            }
            NextEvent::Write(txn) => {
                let outcome = self.transact(i, &txn);
                let after = match outcome {
                    TxnResult::Unknown => 2_000,
                    _ => self.draw_latency(),
                };
                (after, NextEvent::Event(Event::Wrote(outcome)))
            }
            NextEvent::AtForwardTarget(l) => {
                let is_reachable = self.reaches(l) && self.link(i, Endpoint::Node(l)) == Link::Up;
                if is_reachable {
                    let begin = NextEvent::Event(Event::Begin);
                    self.launch(
                        l,
                        f.ask.clone(),
                        true,
                        Recipient::InFlight(f.serial),
                        now,
                        begin,
                    );
                }
                let after = if is_reachable {
                    f.request.forward_limit()
                } else {
                    0
                };
                (after, NextEvent::Event(Event::Forwarded(None)))
            }
            NextEvent::Sent => return,
            NextEvent::Answer(answer) => return self.deliver_answer(f, answer),
        };
        let reads = matches!(
            next,
            NextEvent::ReadState(_) | NextEvent::Look(_) | NextEvent::Write(_)
        );
        f.due = now + delay + if reads { slow } else { 0 };
        f.next_event = next;
        self.traffic.in_flight.push(f);
    }

    /// Returns the event that follows from the result of a step, and its delay.
    fn schedule(&mut self, f: &mut InFlight, next: Next) -> (Millis, NextEvent) {
        let latency = self.draw_latency();
        let leader = self.forward_target(f.node, f.due);
        match next {
            Next::Answer(answer) => {
                if let Some(left) = f.request.unfinished_work() {
                    let serial = self.traffic.next();
                    self.traffic.in_flight.push(InFlight {
                        serial,
                        node: f.node,
                        process: f.process,
                        recipient: Recipient::Discarded,
                        ask: f.ask.clone(),
                        request: left,
                        due: f.due,
                        next_event: NextEvent::Event(Event::Begin),
                    });
                }
                (latency, NextEvent::Answer(Some(answer)))
            }
            Next::NotLeading | Next::Over => (latency, NextEvent::Answer(None)),
            Next::Wait(ms) => (ms, NextEvent::Event(Event::Waited)),
            Next::AskLeader => match leader {
                Some(l) => (latency, NextEvent::AtLeader(l, f.due)),
                None => (0, NextEvent::Event(leader_replied(f.due, None))),
            },
            Next::Forward => match leader {
                Some(l) => (latency, NextEvent::AtForwardTarget(l)),
                None => (0, NextEvent::Event(Event::Forwarded(None))),
            },
            Next::ReadState => (latency, NextEvent::ReadState(f.due)),
            Next::Look(ids) => (latency, NextEvent::Look(ids)),
            Next::Versions => (
                latency,
                NextEvent::Event(Event::Versions(!self.mixed_versions)),
            ),
            Next::Write(txn, _) => match self.has_budget(f.node, f.due, &txn) {
                true => (latency, NextEvent::Write(txn)),
                false => (0, NextEvent::Event(Event::OverBudget)),
            },
        }
    }

    fn deliver_answer(&mut self, f: InFlight, answer: Option<Answer>) {
        match f.recipient {
            Recipient::Discarded => {}
            Recipient::InFlight(serial) => {
                let asker = self
                    .traffic
                    .in_flight
                    .iter_mut()
                    .find(|o| o.serial == serial);
                let waits = |o: &&mut InFlight| {
                    matches!(o.next_event, NextEvent::Event(Event::Forwarded(None)))
                };
                if let Some(asker) = asker.filter(waits) {
                    asker.due = f.due;
                    asker.next_event = NextEvent::Event(Event::Forwarded(answer));
                }
            }
            Recipient::User(n) => {
                let asked = &self.traffic.history[n];
                let late = f.due > asked.sent + asked.ask.timeout_ms();
                let Some(answer) = answer.filter(|_| !late && self.reaches(f.node)) else {
                    return;
                };
                let order = asked.order;
                self.check_answer(&f.ask, order, &answer);
                self.traffic.history[n].answer = Some((f.due, answer));
            }
        }
    }
}

fn leader_replied(began: Millis, status: Option<JobStatus>) -> Event {
    Event::LeaderReplied(Reading {
        started_at: began,
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
