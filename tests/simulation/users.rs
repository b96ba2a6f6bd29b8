//! Users' requests, through the program's own steps (`control::requests`): those
//! answered at once, those in flight for a drawn time, and the checker of the
//! answers: no answer is older than one given before it, no accepted job is
//! forgotten, and no job is done before all its tasks are.

use super::*;
use pathwinch::{
    control::requests::{
        Event, Found, LookupResults, Next, NodeView, Reading, Request, TxnResult, polled,
    },
    control::safety_bounds::MAX_READING_AGE_MS,
    state::rate_limit::share::{self, Role},
};

/// A request of a user.
#[derive(Clone, Debug)]
pub enum UserRequest {
    Poll(String),
    Submit(Box<JobSpec>),
    /// A submission of this job with a malformed body.
    Malformed(String, Vec<u8>),
    Cancel(String),
}

impl UserRequest {
    pub fn submit(spec: &JobSpec) -> UserRequest {
        UserRequest::Submit(Box::new(spec.clone()))
    }

    fn id(&self) -> &str {
        match self {
            UserRequest::Poll(id) | UserRequest::Cancel(id) | UserRequest::Malformed(id, _) => id,
            UserRequest::Submit(spec) => &spec.id,
        }
    }

    fn request(&self, forwarded: bool) -> Request {
        match self {
            UserRequest::Poll(id) => Request::poll(id),
            UserRequest::Cancel(id) => Request::cancel(id, forwarded),
            UserRequest::Malformed(_, body) => Request::submit(body, forwarded),
            UserRequest::Submit(spec) => {
                Request::submit(&serde_json::to_vec(spec).unwrap(), forwarded)
            }
        }
    }

    /// How long its user waits.
    fn patience(&self) -> Millis {
        match self {
            UserRequest::Poll(_) => 2_000,
            _ => 5_000,
        }
    }
}

/// A request, when it was sent, and its answer.
pub struct SentRequest {
    pub ask: UserRequest,
    pub node: usize,
    pub sent: Millis,
    pub answer: Option<(Millis, Answer)>,
    order: u64,
}

/// What happens next to a request in flight.
#[derive(Debug)]
enum NextEvent {
    /// Its user sends it.
    Sent,
    Event(Event),
    /// It reaches the leader, or the state service; asked then.
    AtLeader(usize, Millis),
    ReadState(Millis),
    Look(Vec<String>),
    Write(Txn),
    AtForwardTarget(usize),
    /// The answer, at the user or at the node that passed the request on.
    Answer(Option<Answer>),
}

/// Who awaits the answer.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Recipient {
    User(usize),
    InFlight(u64),
    Nobody,
}

struct InFlight {
    serial: u64,
    node: usize,
    process: u64,
    recipient: Recipient,
    ask: UserRequest,
    request: Request,
    due: Millis,
    next_event: NextEvent,
}

/// What nodes have answered about a job, by the order of all requests and answers.
#[derive(Default)]
struct AnsweredState {
    /// By that order, and when.
    accepted: Option<(u64, Millis)>,
    final_state: Option<JobState>,
}

#[derive(Default)]
pub struct UserTraffic {
    in_flight: Vec<InFlight>,
    pub history: Vec<SentRequest>,
    answered_states: HashMap<String, AnsweredState>,
    order: u64,
    /// Since when no request about a job had an answer.
    unanswered: HashMap<String, Millis>,
    /// Refusals of jobs that another node had just called accepted, to a question
    /// that had been sent before that.
    pub refusals_overtaken: u32,
    /// Jobs that were submitted with bodies that can't be accepted.
    pub infeasible: BTreeSet<String>,
    /// Longest latency between two nodes, or to the state service and back.
    pub max_latency_ms: Millis,
    /// Extra latency of the state service's answers to reads of records.
    pub read_delay_ms: Millis,
}

impl UserTraffic {
    fn next(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    pub fn forget_node(&mut self, i: usize) {
        self.in_flight
            .retain(|f| f.node != i || matches!(f.next_event, NextEvent::Sent));
    }

    /// A fault excuses missing answers.
    pub fn excuse_missing_answers(&mut self) {
        self.unanswered.clear();
    }
}

impl Simulation {
    // ---- what nodes know and do ----

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

    fn read_records(&self, i: usize, ids: &[String]) -> LookupResults {
        let reaches = self.reaches_state(i);
        let one = |id: &String| match reaches {
            true => Ok(self.read_record(id)),
            false => Err("status 503".to_owned()),
        };
        ids.iter().map(|id| (id.clone(), one(id))).collect()
    }

    fn read_state(&self, i: usize, id: &str, began: Millis) -> Result<Reading, String> {
        if !self.reaches_state(i) {
            return Err("status 503".into());
        }
        let (status, version) = match self.read_record(id) {
            Found::Live(record, version) => (Some(record.status()), Some(version)),
            Found::Final(record, version) => (Some(final_status(id, &record)), Some(version)),
            Found::Nothing => (None, None),
        };
        Ok(Reading {
            started_at: began,
            status,
            version,
        })
    }

    /// Applies a node's transaction, holds it, or loses its answer, as the faults
    /// have it; returns the outcome that the node sees.
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

    /// Limits the writes a second that the state service takes.
    pub fn limit_write_rate(&mut self, rate: f64) {
        self.write_rate = rate;
        let budget = || TokenBucket::new(rate * share::of_changes(Role::Leads, 3), 1.0);
        self.budgets = self.nodes.iter().map(|_| budget()).collect();
    }

    fn has_budget(&mut self, i: usize, now: Millis, txn: &Txn) -> bool {
        let budget = self.budgets.get_mut(i);
        budget.is_none_or(|b| b.take(now, txn.writes.len() as f64, 0.0))
    }

    /// Writes that a leader's bookkeeping may make now.
    pub(super) fn write_budget(&mut self, i: usize) -> usize {
        let (now, kept) = (self.now, share::kept_for_users(self.write_rate));
        let level = self.budgets.get_mut(i).map(|b| b.level(now) - kept);
        level.map_or(12, |l| l.max(0.0) as usize)
    }

    /// The leader to which node `i` forwards, if it answers.
    fn forward_target(&self, i: usize, now: Millis) -> Option<usize> {
        let (name, _) = self.nodes[i].election.leader(now)?;
        let l: usize = name[1..].parse().ok()?;
        (l != i && self.reaches(l) && self.link(i, Endpoint::Node(l)) == Link::Up).then_some(l)
    }

    // ---- at once ----

    /// Takes all steps of the request at this moment. `Err`: it has to wait.
    fn complete_now(
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
                // An end that is held back is waited for, nothing else.
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

    /// Sends a request and returns its answer, if it need not wait.
    pub fn request_now(&mut self, i: usize, ask: UserRequest) -> Option<Answer> {
        if !self.reaches(i) {
            self.check_missing_answer(ask.id());
            return None;
        }
        let sent = self.traffic.next();
        let answer = self
            .complete_now(i, &ask, &mut ask.request(false))
            .ok()
            .flatten();
        let Some(answer) = answer else {
            self.check_missing_answer(ask.id());
            return None;
        };
        self.check_answer(&ask, sent, &answer);
        Some(answer)
    }

    // ---- in flight ----

    /// A user sends the request after a delay; returns its index in `history`,
    /// where the answer appears as time passes.
    pub fn request_later(&mut self, after: Millis, i: usize, ask: UserRequest) -> usize {
        if let UserRequest::Cancel(id) = &ask {
            self.cancelling.insert(id.clone());
        }
        if let UserRequest::Submit(spec) = &ask {
            let known = self.specs.entry(spec.id.clone());
            known.or_insert_with(|| (**spec).clone());
        }
        let sent = self.now + after;
        self.traffic.history.push(SentRequest {
            ask: ask.clone(),
            node: i,
            sent,
            answer: None,
            order: 0,
        });
        let n = self.traffic.history.len() - 1;
        self.launch(i, ask, false, Recipient::User(n), sent, NextEvent::Sent);
        n
    }

    fn launch(
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

    /// All events of requests in flight that are due.
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
        // Messages to a paused node wait.
        if node.paused_until > now && matches!(f.next_event, NextEvent::Event(_)) {
            f.due = node.paused_until + self.rng.u64(0..20);
            self.traffic.in_flight.push(f);
            return;
        }
        let slow = self.store.delay_ms;
        let (soon, next) = match std::mem::replace(&mut f.next_event, NextEvent::Answer(None)) {
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
                let wrote = self.transact(i, &txn);
                let after = match wrote {
                    TxnResult::Unknown => 2_000,
                    _ => self.draw_latency(),
                };
                (after, NextEvent::Event(Event::Wrote(wrote)))
            }
            NextEvent::AtForwardTarget(l) => {
                let there = self.reaches(l) && self.link(i, Endpoint::Node(l)) == Link::Up;
                if there {
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
                let after = if there { f.request.forward_limit() } else { 0 };
                (after, NextEvent::Event(Event::Forwarded(None)))
            }
            NextEvent::Sent => return,
            NextEvent::Answer(answer) => return self.deliver_answer(f, answer),
        };
        let reads = matches!(
            next,
            NextEvent::ReadState(_) | NextEvent::Look(_) | NextEvent::Write(_)
        );
        f.due = now + soon + if reads { slow } else { 0 };
        f.next_event = next;
        self.traffic.in_flight.push(f);
    }

    /// The event that a step asks for, and after which delay it comes.
    fn schedule(&mut self, f: &mut InFlight, next: Next) -> (Millis, NextEvent) {
        let way = self.draw_latency();
        let leader = self.forward_target(f.node, f.due);
        match next {
            Next::Answer(answer) => {
                if let Some(left) = f.request.unfinished_work() {
                    let serial = self.traffic.next();
                    self.traffic.in_flight.push(InFlight {
                        serial,
                        node: f.node,
                        process: f.process,
                        recipient: Recipient::Nobody,
                        ask: f.ask.clone(),
                        request: left,
                        due: f.due,
                        next_event: NextEvent::Event(Event::Begin),
                    });
                }
                (way, NextEvent::Answer(Some(answer)))
            }
            Next::NotLeading | Next::Over => (way, NextEvent::Answer(None)),
            Next::Wait(ms) => (ms, NextEvent::Event(Event::Waited)),
            Next::AskLeader => match leader {
                Some(l) => (way, NextEvent::AtLeader(l, f.due)),
                None => (0, NextEvent::Event(leader_replied(f.due, None))),
            },
            Next::Forward => match leader {
                Some(l) => (way, NextEvent::AtForwardTarget(l)),
                None => (0, NextEvent::Event(Event::Forwarded(None))),
            },
            Next::ReadState => (way, NextEvent::ReadState(f.due)),
            Next::Look(ids) => (way, NextEvent::Look(ids)),
            Next::Versions => (way, NextEvent::Event(Event::Versions(!self.mixed_versions))),
            Next::Write(txn, _) => match self.has_budget(f.node, f.due, &txn) {
                true => (way, NextEvent::Write(txn)),
                false => (0, NextEvent::Event(Event::OverBudget)),
            },
        }
    }

    fn deliver_answer(&mut self, f: InFlight, answer: Option<Answer>) {
        match f.recipient {
            Recipient::Nobody => {}
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
                let late = f.due > asked.sent + asked.ask.patience();
                let Some(answer) = answer.filter(|_| !late && self.reaches(f.node)) else {
                    return;
                };
                let order = asked.order;
                self.check_answer(&f.ask, order, &answer);
                self.traffic.history[n].answer = Some((f.due, answer));
            }
        }
    }

    /// When the last of the job's tasks that run now will end.
    pub fn last_task_end(&self, id: &str) -> Option<Millis> {
        let prefix = format!("{id}/");
        let tasks = self.workers.iter().flat_map(|m| &m.tasks);
        let of = tasks.filter(|t| t.name.starts_with(&prefix));
        let ends = of
            .map(|t| t.until)
            .filter(|at| *at > self.now && *at < Millis::MAX);
        ends.max()
    }

    /// Marks a job that no node may accept.
    pub fn mark_infeasible(&mut self, id: &str) {
        self.traffic.infeasible.insert(id.to_owned());
    }

    // ---- the answers given ----

    /// Checks an answer that a user got to a request sent at `sent`.
    fn check_answer(&mut self, ask: &UserRequest, sent: u64, answer: &Answer) {
        let id = ask.id().to_owned();
        match answer {
            Answer::State(_, status) => {
                if self.traffic.infeasible.contains(&id) {
                    self.violations
                        .push(format!("invented: {id} can't be accepted"));
                }
                self.submitted.entry(id.clone()).or_insert(self.now);
                self.check_state_answer(&id, status.state);
            }
            Answer::Refused(status, why) => {
                // A submission that is refused was never known.
                // One may cross the acceptance, within the bound for answers.
                let known = self
                    .traffic
                    .answered_states
                    .get(&id)
                    .and_then(|s| s.accepted);
                let late = self
                    .now
                    .saturating_sub(MAX_READING_AGE_MS + self.traffic.max_latency_ms + 2 * STEP);
                match known.is_some_and(|(order, at)| order < sent || at < late) {
                    true => self
                        .violations
                        .push(format!("forgotten: {id}: {status} {why}")),
                    false => self.traffic.refusals_overtaken += u32::from(known.is_some()),
                }
                if why.is_empty() || why.contains('\n') {
                    self.violations
                        .push(format!("{id}: {status} without a line of why"));
                }
            }
            Answer::Later(_) => return self.check_missing_answer(&id),
        }
        self.traffic.unanswered.remove(&id);
    }

    /// Without faults no job goes 75 s without an answered request.
    fn check_missing_answer(&mut self, id: &str) {
        if !self.fault_free {
            return;
        }
        let now = self.now;
        let since = *self.traffic.unanswered.entry(id.to_owned()).or_insert(now);
        let known = self
            .traffic
            .answered_states
            .get(id)
            .is_some_and(|s| s.accepted.is_some());
        if known && now > since + 75_000 {
            self.violations.push(format!("forgotten: {id}, for 75 s"));
        }
    }

    /// Read monotonicity: no answer may be older than one given before it, by
    /// whatever node, also where the two requests overlapped.
    fn check_state_answer(&mut self, id: &str, state: JobState) {
        let (order, now) = (self.traffic.next(), self.now);
        let said = self
            .traffic
            .answered_states
            .entry(id.to_owned())
            .or_default();
        said.accepted.get_or_insert((order, now));
        if let Some(over) = said.final_state.filter(|over| *over != state) {
            let what = format!("went_back: {id} {over:?} to {state:?}");
            self.violations.push(what);
        } else if state.is_final() {
            said.final_state = Some(state);
        }
        self.check_cancellation_answer(id, state);
        if state == JobState::Done {
            let spec = &self.specs[id];
            let missing = (0..spec.tasks).any(|t| !self.finished.contains(&format!("{id}/{t}")));
            if missing && spec.kind != Kind::Gang {
                self.violations.push(format!("not_done: {id}"));
            }
        }
        let now = self.now;
        self.answered
            .entry(id.to_owned())
            .and_modify(|t| t.0 = state)
            .or_insert((state, now));
        if state == JobState::Cancelled {
            // The time of the first such answer counts.
            self.answered
                .entry(format!("{id}!"))
                .or_insert((state, now));
        }
    }

    /// Submits until accepted, as a user would.
    pub fn submit(&mut self, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        for _ in 0..600 {
            if let Some(i) = self.leader()
                && self.reaches_state(i)
                && self.reaches(i)
                && let Some(Answer::State(..)) = self.request_now(i, UserRequest::submit(&spec))
            {
                return;
            }
            self.step();
        }
        panic!("never accepted: {}", spec.id);
    }

    /// Accepts a job as an earlier version did, with limits of its own.
    pub fn accept_by_earlier_version(&mut self, spec: JobSpec) {
        let i = self.leader().expect("somebody leads");
        let l = self.nodes[i].leader.as_mut().unwrap();
        let (txn, record) = l.acceptance(&spec, None, self.now);
        let version = self.store.apply(&txn).unwrap();
        l.accepted(record, version, self.now);
        self.submitted.insert(spec.id.clone(), self.now);
        self.specs.insert(spec.id.clone(), spec);
    }

    /// Polls at a node; `None`: it gave no answer.
    pub fn poll(&mut self, i: usize, id: &str) -> Option<JobState> {
        match self.request_now(i, UserRequest::Poll(id.to_owned()))? {
            Answer::State(_, status) => Some(status.state),
            Answer::Refused(..) => {
                self.violations.push(format!("forgotten: {id}"));
                None
            }
            Answer::Later(_) => None,
        }
    }

    /// Cancels until that is confirmed, as a user would.
    pub fn cancel(&mut self, id: &str) {
        self.cancelling.insert(id.to_owned());
        for _ in 0..600 {
            if let Some(i) = self.leader().filter(|i| self.reaches(*i))
                && let Some(Answer::State(..)) =
                    self.request_now(i, UserRequest::Cancel(id.to_owned()))
            {
                return;
            }
            self.step();
        }
        self.run_until(0, &format!("{id} withdrawn"), |_| false);
    }

    /// A user asks to cancel the job, and waits for the answer.
    pub fn request_cancellation(&mut self, id: &str) {
        self.cancelling.insert(id.to_owned());
        let leader = self.leader().expect("somebody leads");
        self.nodes[leader].leader.as_mut().unwrap().cancel(id);
    }

    /// Takes it that a user was answered that the job is cancelled.
    pub fn answer_cancelled(&mut self, id: &str) {
        self.cancelling.insert(id.to_owned());
        self.check_state_answer(id, JobState::Cancelled);
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
