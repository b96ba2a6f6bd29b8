//! Users, by the steps that the nodes take themselves: what is asked at once,
//! what is under way for a drawn time, and the history of questions and
//! answers.

use super::*;
use pathwinch::{
    control::requests::{
        Event, Found, LookupResults, Next, NodeView, Reading, Request, TxnResult, polled,
    },
    control::safety_bounds::MAX_READING_AGE_MS,
    state::rate_limit::share::{self, Role},
};

/// What a user asks.
#[derive(Clone, Debug)]
pub enum Ask {
    Poll(String),
    Submit(Box<JobSpec>),
    /// Of this job, with a body that is not as it should be.
    Odd(String, Vec<u8>),
    Withdraw(String),
}

impl Ask {
    pub fn submit(spec: &JobSpec) -> Ask {
        Ask::Submit(Box::new(spec.clone()))
    }

    fn id(&self) -> &str {
        match self {
            Ask::Poll(id) | Ask::Withdraw(id) | Ask::Odd(id, _) => id,
            Ask::Submit(spec) => &spec.id,
        }
    }

    fn request(&self, forwarded: bool) -> Request {
        match self {
            Ask::Poll(id) => Request::poll(id),
            Ask::Withdraw(id) => Request::cancel(id, forwarded),
            Ask::Odd(_, body) => Request::submit(body, forwarded),
            Ask::Submit(spec) => Request::submit(&serde_json::to_vec(spec).unwrap(), forwarded),
        }
    }

    /// How long its user waits.
    fn patience(&self) -> Millis {
        match self {
            Ask::Poll(_) => 2_000,
            _ => 5_000,
        }
    }
}

/// A question, when it was sent, and when its answer came.
pub struct Asked {
    pub ask: Ask,
    pub node: usize,
    pub sent: Millis,
    pub answer: Option<(Millis, Answer)>,
    order: u64,
}

/// What comes of a request in flight at its time.
#[derive(Debug)]
enum Comes {
    /// Its user sends it.
    Sent,
    Event(Event),
    /// At the leader, or the state service; asked then.
    AtLeader(usize, Millis),
    ReadState(Millis),
    Look(Vec<String>),
    Write(Txn),
    Passed(usize),
    /// The answer, at the user or at the node that passed the request on.
    Answer(Option<Answer>),
}

/// Who waits for the answer.
#[derive(Clone, Copy, PartialEq, Debug)]
enum For {
    User(usize),
    Flight(u64),
    Nobody,
}

struct Flight {
    serial: u64,
    node: usize,
    process: u64,
    who: For,
    ask: Ask,
    request: Request,
    due: Millis,
    comes: Comes,
}

/// What any node has told of a job, by the order of all questions and answers.
#[derive(Default)]
struct Said {
    /// By that order, and when.
    accepted: Option<(u64, Millis)>,
    over: Option<JobState>,
}

#[derive(Default)]
pub struct Desk {
    flights: Vec<Flight>,
    pub history: Vec<Asked>,
    said: HashMap<String, Said>,
    order: u64,
    /// Since when no question about a job had an answer.
    unanswered: HashMap<String, Millis>,
    /// Refusals of jobs that another node had just called accepted, to a question
    /// that had been sent before that.
    pub refusals_overtaken: u32,
    /// Jobs that were submitted with bodies that can't be accepted.
    pub unfit: BTreeSet<String>,
    /// The longest way between two nodes, or to the state service and back.
    pub way: Millis,
    /// The state service's answers to looks at records come so much later.
    pub slow_answers: Millis,
}

impl Desk {
    fn next(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    pub fn forget_node(&mut self, i: usize) {
        self.flights
            .retain(|f| f.node != i || matches!(f.comes, Comes::Sent));
    }

    /// What is amiss excuses missing answers.
    pub fn excuse(&mut self) {
        self.unanswered.clear();
    }
}

impl World {
    // ---- what nodes know and do ----

    fn view<T>(&mut self, i: usize, now: Millis, f: impl FnOnce(&mut NodeView) -> T) -> T {
        let types = if self.no_types { Vec::new() } else { types() };
        let node = &mut self.nodes[i];
        let term = node.election.authority(now);
        f(&mut NodeView {
            may_act: term.is_some() && node.leader.as_ref().map(|l| l.term) == term,
            leader: node.leader.as_mut(),
            final_states: &mut node.finals,
            settings: &self.settings,
            types: &types,
            upgraded: !self.mixed,
            now,
            wall_ms: now,
            read_term: None,
        })
    }

    fn look_up(&self, id: &str) -> Found {
        let live = self.store.kv.get(&records::job_key(id));
        let over = self.store.kv.get(&records::final_key(id));
        match (live, over) {
            (Some((v, r)), _) => Found::Live(Box::new(self.store.whole(id, v.clone())), *r),
            (None, Some((v, r))) => Found::Final(serde_json::from_value(v.clone()).unwrap(), *r),
            (None, None) => Found::Nothing,
        }
    }

    fn look(&self, i: usize, ids: &[String]) -> LookupResults {
        let reaches = self.reaches_state(i);
        let one = |id: &String| match reaches {
            true => Ok(self.look_up(id)),
            false => Err("status 503".to_owned()),
        };
        ids.iter().map(|id| (id.clone(), one(id))).collect()
    }

    fn read_state(&self, i: usize, id: &str, began: Millis) -> Result<Reading, String> {
        if !self.reaches_state(i) {
            return Err("status 503".into());
        }
        let (status, version) = match self.look_up(id) {
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

    /// Carries out a node's transaction, or holds it, or loses its answer, as
    /// the troubles have it. What the node learns in the end.
    pub(super) fn transact(&mut self, i: usize, txn: &Txn) -> TxnResult {
        let stalled = self.stalls.filter(|(n, _)| *n == i);
        let late = match (stalled, self.link(i, EndLease::State)) {
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
        if let Some(delay) = self.store.late.pop() {
            self.store.held.push((self.now + delay, i, txn.clone()));
            return TxnResult::Unknown;
        }
        match self.store.apply(txn) {
            Ok(revision) => TxnResult::Done(revision),
            Err(failed) => TxnResult::Conflict(failed),
        }
    }

    /// The state service takes so many changes a second.
    pub fn limit_changes(&mut self, rate: f64) {
        self.change_rate = rate;
        let budget = || TokenBucket::new(rate * share::of_changes(Role::Leads, 3), 1.0);
        self.budgets = self.nodes.iter().map(|_| budget()).collect();
    }

    fn has_budget(&mut self, i: usize, now: Millis, txn: &Txn) -> bool {
        let budget = self.budgets.get_mut(i);
        budget.is_none_or(|b| b.take(now, txn.writes.len() as f64, 0.0))
    }

    /// Changes that a leader's bookkeeping may make now.
    pub(super) fn room(&mut self, i: usize) -> usize {
        let (now, kept) = (self.now, share::kept_for_users(self.change_rate));
        let level = self.budgets.get_mut(i).map(|b| b.level(now) - kept);
        level.map_or(12, |l| l.max(0.0) as usize)
    }

    /// The leader that node `i` would ask, if it answers.
    fn leader_for(&self, i: usize, now: Millis) -> Option<usize> {
        let (name, _) = self.nodes[i].election.leader(now)?;
        let l: usize = name[1..].parse().ok()?;
        (l != i && self.reaches(l) && self.link(i, EndLease::Node(l)) == Link::Up).then_some(l)
    }

    // ---- at once ----

    /// Does all that the request asks for at this moment. `Err`: it waits.
    fn through(
        &mut self,
        i: usize,
        ask: &Ask,
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
                    let status = self.leader_for(i, now).and_then(|l| {
                        let ids = [ask.id().to_owned()];
                        let known = self.view(l, now, |view| polled(view, &ids))?.pop()?;
                        known.map(|k| status_of(&ids[0], k))
                    });
                    told(now, status)
                }
                Next::ReadState => Event::Read(self.read_state(i, ask.id(), now)),
                Next::Versions => Event::Versions(!self.mixed),
                Next::Look(ids) => Event::LookupResults(self.look(i, &ids)),
                Next::Write(txn, _) => Event::Wrote(self.transact(i, &txn)),
                Next::Forward => {
                    let leader = self.leader_for(i, now);
                    let passed = leader.map(|l| self.through(l, ask, &mut ask.request(true)));
                    Event::Forwarded(passed.transpose()?.flatten())
                }
            };
        }
    }

    /// Asks a node and has the answer at once, if it need not be waited for.
    pub fn at_once(&mut self, i: usize, ask: Ask) -> Option<Answer> {
        if !self.reaches(i) {
            self.no_answer(ask.id());
            return None;
        }
        let sent = self.desk.next();
        let answer = self
            .through(i, &ask, &mut ask.request(false))
            .ok()
            .flatten();
        let Some(answer) = answer else {
            self.no_answer(ask.id());
            return None;
        };
        self.given(&ask, sent, &answer);
        Some(answer)
    }

    // ---- in flight ----

    /// A user sends it in so long; the answer comes, if one does, as time
    /// passes.
    pub fn ask(&mut self, after: Millis, i: usize, ask: Ask) -> usize {
        if let Ask::Withdraw(id) = &ask {
            self.cancelling.insert(id.clone());
        }
        if let Ask::Submit(spec) = &ask {
            let known = self.specs.entry(spec.id.clone());
            known.or_insert_with(|| (**spec).clone());
        }
        let sent = self.now + after;
        self.desk.history.push(Asked {
            ask: ask.clone(),
            node: i,
            sent,
            answer: None,
            order: 0,
        });
        let n = self.desk.history.len() - 1;
        self.fly(i, ask, false, For::User(n), sent, Comes::Sent);
        n
    }

    fn fly(&mut self, i: usize, ask: Ask, forwarded: bool, who: For, due: Millis, comes: Comes) {
        let serial = self.desk.next();
        self.desk.flights.push(Flight {
            serial,
            node: i,
            process: self.nodes[i].election.incarnation,
            who,
            request: ask.request(forwarded),
            ask,
            due,
            comes,
        });
    }

    fn way(&mut self) -> Millis {
        let most = self.desk.way;
        1 + self.rng.u64(0..=most)
    }

    /// All that happens to requests until then.
    pub(super) fn desk_time(&mut self) {
        loop {
            let flights = self.desk.flights.iter().enumerate();
            let first = flights.min_by_key(|(_, f)| (f.due, f.serial));
            let Some(at) = first.filter(|(_, f)| f.due <= self.now).map(|(at, _)| at) else {
                return;
            };
            let flight = self.desk.flights.swap_remove(at);
            self.goes_on(flight);
        }
    }

    fn goes_on(&mut self, mut f: Flight) {
        let (i, now) = (f.node, f.due);
        if let (Comes::Sent, For::User(n)) = (&f.comes, f.who) {
            self.desk.history[n].order = self.desk.next();
            if !self.reaches(i) {
                return;
            }
            f.process = self.nodes[i].election.incarnation;
            f.due = now + self.way();
            f.comes = Comes::Event(Event::Begin);
            return self.desk.flights.push(f);
        }
        let node = &self.nodes[i];
        if !node.alive || node.election.incarnation != f.process {
            return;
        }
        // What comes to a node that stands still waits at its door.
        if node.still_until > now && matches!(f.comes, Comes::Event(_)) {
            f.due = node.still_until + self.rng.u64(0..20);
            self.desk.flights.push(f);
            return;
        }
        let slow = self.store.slow;
        let (soon, next) = match std::mem::replace(&mut f.comes, Comes::Answer(None)) {
            Comes::Event(event) => {
                let next = self.view(i, now, |view| f.request.step(event, view));
                self.asks_for(&mut f, next)
            }
            Comes::AtLeader(l, began) => {
                let answers = self.reaches(l) && self.link(i, EndLease::Node(l)) == Link::Up;
                let ids = [f.ask.id().to_owned()];
                let known = match answers {
                    true => self.view(l, now, |view| polled(view, &ids)),
                    false => None,
                };
                let known = known.and_then(|mut k| k.pop()?);
                let status = known.map(|k| status_of(&ids[0], k));
                let after = if answers { self.way() } else { 500 };
                (after, Comes::Event(told(began, status)))
            }
            Comes::ReadState(began) => {
                let read = self.read_state(i, f.ask.id(), began);
                (self.way(), Comes::Event(Event::Read(read)))
            }
            Comes::Look(ids) => {
                let looked = self.look(i, &ids);
                let after = self.way() + self.desk.slow_answers;
                (after, Comes::Event(Event::LookupResults(looked)))
            }
            Comes::Write(txn) => {
                let wrote = self.transact(i, &txn);
                let after = match wrote {
                    TxnResult::Unknown => 2_000,
                    _ => self.way(),
                };
                (after, Comes::Event(Event::Wrote(wrote)))
            }
            Comes::Passed(l) => {
                let there = self.reaches(l) && self.link(i, EndLease::Node(l)) == Link::Up;
                if there {
                    let begin = Comes::Event(Event::Begin);
                    self.fly(l, f.ask.clone(), true, For::Flight(f.serial), now, begin);
                }
                let after = if there { f.request.forward_limit() } else { 0 };
                (after, Comes::Event(Event::Forwarded(None)))
            }
            Comes::Sent => return,
            Comes::Answer(answer) => return self.arrives(f, answer),
        };
        let reads = matches!(next, Comes::ReadState(_) | Comes::Look(_) | Comes::Write(_));
        f.due = now + soon + if reads { slow } else { 0 };
        f.comes = next;
        self.desk.flights.push(f);
    }

    /// What a step asks for, and when it is there.
    fn asks_for(&mut self, f: &mut Flight, next: Next) -> (Millis, Comes) {
        let way = self.way();
        let leader = self.leader_for(f.node, f.due);
        match next {
            Next::Answer(answer) => {
                if let Some(left) = f.request.unfinished_work() {
                    let serial = self.desk.next();
                    self.desk.flights.push(Flight {
                        serial,
                        node: f.node,
                        process: f.process,
                        who: For::Nobody,
                        ask: f.ask.clone(),
                        request: left,
                        due: f.due,
                        comes: Comes::Event(Event::Begin),
                    });
                }
                (way, Comes::Answer(Some(answer)))
            }
            Next::NotLeading | Next::Over => (way, Comes::Answer(None)),
            Next::Wait(ms) => (ms, Comes::Event(Event::Waited)),
            Next::AskLeader => match leader {
                Some(l) => (way, Comes::AtLeader(l, f.due)),
                None => (0, Comes::Event(told(f.due, None))),
            },
            Next::Forward => match leader {
                Some(l) => (way, Comes::Passed(l)),
                None => (0, Comes::Event(Event::Forwarded(None))),
            },
            Next::ReadState => (way, Comes::ReadState(f.due)),
            Next::Look(ids) => (way, Comes::Look(ids)),
            Next::Versions => (way, Comes::Event(Event::Versions(!self.mixed))),
            Next::Write(txn, _) => match self.has_budget(f.node, f.due, &txn) {
                true => (way, Comes::Write(txn)),
                false => (0, Comes::Event(Event::OverBudget)),
            },
        }
    }

    fn arrives(&mut self, f: Flight, answer: Option<Answer>) {
        match f.who {
            For::Nobody => {}
            For::Flight(serial) => {
                let asker = self.desk.flights.iter_mut().find(|o| o.serial == serial);
                let waits =
                    |o: &&mut Flight| matches!(o.comes, Comes::Event(Event::Forwarded(None)));
                if let Some(asker) = asker.filter(waits) {
                    asker.due = f.due;
                    asker.comes = Comes::Event(Event::Forwarded(answer));
                }
            }
            For::User(n) => {
                let asked = &self.desk.history[n];
                let late = f.due > asked.sent + asked.ask.patience();
                let Some(answer) = answer.filter(|_| !late && self.reaches(f.node)) else {
                    return;
                };
                let order = asked.order;
                self.given(&f.ask, order, &answer);
                self.desk.history[n].answer = Some((f.due, answer));
            }
        }
    }

    /// When the last of the job's tasks that run now will end.
    pub fn last_end(&self, id: &str) -> Option<Millis> {
        let prefix = format!("{id}/");
        let tasks = self.workers.iter().flat_map(|m| &m.tasks);
        let of = tasks.filter(|t| t.name.starts_with(&prefix));
        let ends = of
            .map(|t| t.until)
            .filter(|at| *at > self.now && *at < Millis::MAX);
        ends.max()
    }

    /// A job that nobody may accept.
    pub fn unfit(&mut self, id: &str) {
        self.desk.unfit.insert(id.to_owned());
    }

    // ---- what was told ----

    /// A user has this answer to a question sent then.
    fn given(&mut self, ask: &Ask, sent: u64, answer: &Answer) {
        let id = ask.id().to_owned();
        match answer {
            Answer::State(_, status) => {
                if self.desk.unfit.contains(&id) {
                    self.broken
                        .push(format!("invented: {id} can't be accepted"));
                }
                self.submitted.entry(id.clone()).or_insert(self.now);
                self.tell(&id, status.state);
            }
            Answer::Refused(status, why) => {
                // A submission that is refused was never known.
                // One may cross the acceptance, within the bound for answers.
                let known = self.desk.said.get(&id).and_then(|s| s.accepted);
                let late = self
                    .now
                    .saturating_sub(MAX_READING_AGE_MS + self.desk.way + 2 * STEP);
                match known.is_some_and(|(order, at)| order < sent || at < late) {
                    true => self.broken.push(format!("forgotten: {id}: {status} {why}")),
                    false => self.desk.refusals_overtaken += u32::from(known.is_some()),
                }
                if why.is_empty() || why.contains('\n') {
                    self.broken
                        .push(format!("{id}: {status} without a line of why"));
                }
            }
            Answer::Later(_) => return self.no_answer(&id),
        }
        self.desk.unanswered.remove(&id);
    }

    /// Once troubles are over, none goes 75 s without an answered question.
    fn no_answer(&mut self, id: &str) {
        if !self.calm {
            return;
        }
        let now = self.now;
        let since = *self.desk.unanswered.entry(id.to_owned()).or_insert(now);
        let known = self.desk.said.get(id).is_some_and(|s| s.accepted.is_some());
        if known && now > since + 75_000 {
            self.broken.push(format!("forgotten: {id}, for 75 s"));
        }
    }

    /// A user was told so. No answer may be older than one that was given
    /// before it, by whatever node, also where the two questions overlapped.
    fn tell(&mut self, id: &str, state: JobState) {
        let (order, now) = (self.desk.next(), self.now);
        let said = self.desk.said.entry(id.to_owned()).or_default();
        said.accepted.get_or_insert((order, now));
        if let Some(over) = said.over.filter(|over| *over != state) {
            let what = format!("went_back: {id} {over:?} to {state:?}");
            self.broken.push(what);
        } else if state.is_final() {
            said.over = Some(state);
        }
        self.check_told(id, state);
        if state == JobState::Done {
            let spec = &self.specs[id];
            let missing = (0..spec.tasks).any(|t| !self.finished.contains(&format!("{id}/{t}")));
            if missing && spec.kind != Kind::Gang {
                self.broken.push(format!("not_done: {id}"));
            }
        }
        let now = self.now;
        self.told
            .entry(id.to_owned())
            .and_modify(|t| t.0 = state)
            .or_insert((state, now));
        if state == JobState::Cancelled {
            // The time of the first such answer counts.
            self.told.entry(format!("{id}!")).or_insert((state, now));
        }
    }

    /// Submits until accepted, as a user would.
    pub fn submit(&mut self, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        for _ in 0..600 {
            if let Some(i) = self.leader()
                && self.reaches_state(i)
                && self.reaches(i)
                && let Some(Answer::State(..)) = self.at_once(i, Ask::submit(&spec))
            {
                return;
            }
            self.step();
        }
        panic!("never accepted: {}", spec.id);
    }

    /// An earlier version accepted it, with bounds of its own.
    pub fn accepted_before(&mut self, spec: JobSpec) {
        let i = self.leader().expect("somebody leads");
        let l = self.nodes[i].leader.as_mut().unwrap();
        let (txn, record) = l.acceptance(&spec, None, self.now);
        let version = self.store.apply(&txn).unwrap();
        l.accepted(record, version, self.now);
        self.submitted.insert(spec.id.clone(), self.now);
        self.specs.insert(spec.id.clone(), spec);
    }

    /// Asks a node; `None`: it gave no answer.
    pub fn poll(&mut self, i: usize, id: &str) -> Option<JobState> {
        match self.at_once(i, Ask::Poll(id.to_owned()))? {
            Answer::State(_, status) => Some(status.state),
            Answer::Refused(..) => {
                self.broken.push(format!("forgotten: {id}"));
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
                && let Some(Answer::State(..)) = self.at_once(i, Ask::Withdraw(id.to_owned()))
            {
                return;
            }
            self.step();
        }
        self.until(0, &format!("{id} withdrawn"), |_| false);
    }

    /// A user asks to cancel the job, and waits for the answer.
    pub fn asks_to_cancel(&mut self, id: &str) {
        self.cancelling.insert(id.to_owned());
        let leader = self.leader().expect("somebody leads");
        self.nodes[leader].leader.as_mut().unwrap().cancel(id);
    }

    /// A user was told so, by whomever.
    pub fn told_cancelled(&mut self, id: &str) {
        self.cancelling.insert(id.to_owned());
        self.tell(id, JobState::Cancelled);
    }
}

fn told(began: Millis, status: Option<JobStatus>) -> Event {
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
