//! Users: what they ask, at once or in flight for a drawn time, and the history
//! of requests and answers. `requests` carries the requests out at the nodes,
//! `answers` checks what comes back.

use super::*;
use pathwinch::control::requests::Request;
use requests::{InFlight, NextEvent, Recipient};

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

    pub(super) fn id(&self) -> &str {
        match self {
            UserRequest::Poll(id) | UserRequest::Cancel(id) | UserRequest::Malformed(id, _) => id,
            UserRequest::Submit(spec) => &spec.id,
        }
    }

    pub(super) fn request(&self, forwarded: bool) -> Request {
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
    pub(super) fn patience(&self) -> Millis {
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
    pub(super) order: u64,
}

/// What nodes have answered about a job, by the order of all requests and answers.
#[derive(Default)]
pub(super) struct AnsweredState {
    /// By that order, and when.
    pub(super) accepted: Option<(u64, Millis)>,
    pub(super) final_state: Option<JobState>,
}

/// Users' requests in flight and answered.
#[derive(Default)]
pub struct UserTraffic {
    pub(super) in_flight: Vec<InFlight>,
    pub history: Vec<SentRequest>,
    pub(super) answered_states: HashMap<String, AnsweredState>,
    pub(super) order: u64,
    /// Since when no request about a job had an answer.
    pub(super) unanswered: HashMap<String, Millis>,
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
    pub(super) fn next(&mut self) -> u64 {
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

    /// A job of one task whose records a test has written, with its end if it is over.
    /// A user was told that it is cancelled.
    pub fn know_job(&mut self, spec: JobSpec, end: Option<JobState>) {
        let id = spec.id.clone();
        self.specs.insert(id.clone(), spec);
        self.submitted.insert(id.clone(), self.now);
        match end {
            Some(JobState::Cancelled) => self.answer_cancelled(&id),
            Some(_) => {
                self.finished.insert(format!("{id}/0"));
            }
            None => {}
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
