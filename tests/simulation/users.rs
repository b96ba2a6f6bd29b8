//! Users: their requests, which are answered at once or after random latencies, and the
//! history of requests and answers. `requests` carries the requests out at the nodes,
//! `answers` checks the answers.

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

    /// Time for which the user waits for the answer.
    pub(super) fn timeout_ms(&self) -> Millis {
        match self {
            UserRequest::Poll(_) => 2_000,
            _ => 5_000,
        }
    }
}

/// A request that a user sent, and its answer.
pub struct SentRequest {
    pub ask: UserRequest,
    pub node: usize,
    pub sent: Millis,
    /// The answer with the time of its arrival.
    pub answer: Option<(Millis, Answer)>,
    /// Position in the order of all requests and answers.
    pub(super) order: u64,
}

/// What nodes have answered about a job.
#[derive(Default)]
pub(super) struct AnsweredState {
    /// The first answer that the job is accepted: position in the order of all requests and
    /// answers, and time.
    pub(super) accepted: Option<(u64, Millis)>,
    pub(super) final_state: Option<JobState>,
}

/// Users' requests in flight and answered.
#[derive(Default)]
pub struct UserTraffic {
    pub(super) in_flight: Vec<InFlight>,
    pub history: Vec<SentRequest>,
    pub(super) answered_states: HashMap<String, AnsweredState>,
    /// Position of the last request or answer in their common order.
    pub(super) order: u64,
    /// Time since which requests about a job have had no answer.
    pub(super) unanswered: HashMap<String, Millis>,
    /// Number of refusals of jobs that another node had just answered as accepted; the
    /// refused request was sent before that answer.
    pub overlapping_refusals: u32,
    /// Jobs that no node may accept, as their submissions are invalid.
    pub infeasible: BTreeSet<String>,
    /// Maximum latency between two nodes, or of a round trip to the state service.
    pub max_latency_ms: Millis,
    /// Extra latency of the state service's answers to reads of records.
    pub read_delay_ms: Millis,
}

impl UserTraffic {
    /// Returns the next position in the order of requests and answers.
    pub(super) fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    /// Drops the requests in flight at a node that crashed.
    pub fn forget_node(&mut self, node_id: usize) {
        self.in_flight
            .retain(|f| f.node != node_id || matches!(f.next_event, NextEvent::Sent));
    }

    /// Restarts the time limits for missing answers, as a fault may cause them.
    pub fn excuse_missing_answers(&mut self) {
        self.unanswered.clear();
    }
}

impl Simulation {
    /// Sends a request and returns its answer, unless the request has to wait or fails.
    pub fn request_now(&mut self, node_id: usize, ask: UserRequest) -> Option<Answer> {
        if !self.reaches(node_id) {
            self.check_missing_answer(ask.id());
            return None;
        }
        let sent = self.traffic.next_order();
        let answer = self
            .complete_now(node_id, &ask, &mut ask.request(false))
            .ok()
            .flatten();
        let Some(answer) = answer else {
            self.check_missing_answer(ask.id());
            return None;
        };
        self.check_answer(&ask, sent, &answer);
        Some(answer)
    }

    /// Schedules a request to be sent after a delay; returns its index in `history`, where
    /// the answer appears as time passes.
    pub fn request_later(&mut self, after: Millis, node_id: usize, ask: UserRequest) -> usize {
        if let UserRequest::Cancel(id) = &ask {
            self.cancel_requested.insert(id.clone());
        }
        if let UserRequest::Submit(spec) = &ask {
            let known = self.specs.entry(spec.id.clone());
            known.or_insert_with(|| (**spec).clone());
        }
        let sent = self.now + after;
        self.traffic.history.push(SentRequest {
            ask: ask.clone(),
            node: node_id,
            sent,
            answer: None,
            order: 0,
        });
        let history_index = self.traffic.history.len() - 1;
        self.launch(
            node_id,
            ask,
            false,
            Recipient::User(history_index),
            sent,
            NextEvent::Sent,
        );
        history_index
    }

    /// Returns when the last of the job's running tasks will end.
    pub fn last_task_end(&self, id: &str) -> Option<Millis> {
        let prefix = format!("{id}/");
        let tasks = self.workers.iter().flat_map(|m| &m.tasks);
        let job_tasks = tasks.filter(|t| t.name.starts_with(&prefix));
        let ends = job_tasks
            .map(|t| t.until)
            .filter(|at| *at > self.now && *at < Millis::MAX);
        ends.max()
    }

    /// Marks a job that no node may accept.
    pub fn mark_infeasible(&mut self, id: &str) {
        self.traffic.infeasible.insert(id.to_owned());
    }

    /// Submits a job repeatedly until it is accepted, as a user would.
    pub fn submit(&mut self, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        for _ in 0..600 {
            if let Some(node_id) = self.leader()
                && self.reaches_state(node_id)
                && self.reaches(node_id)
                && let Some(Answer::State(..)) =
                    self.request_now(node_id, UserRequest::submit(&spec))
            {
                return;
            }
            self.step();
        }
        panic!("job {} was not accepted within 600 attempts", spec.id);
    }

    /// Accepts a job at the leader without the checks of a submission, as an earlier version
    /// with other limits did.
    pub fn accept_by_earlier_version(&mut self, spec: JobSpec) {
        let node_id = self.leader().expect("a node leads");
        let leader = self.nodes[node_id].leader.as_mut().unwrap();
        let (txn, record) = leader.acceptance(&spec, None, self.now);
        let version = self.store.apply(&txn).unwrap();
        leader.accepted(record, version, self.now);
        self.submitted.insert(spec.id.clone(), self.now);
        self.specs.insert(spec.id.clone(), spec);
    }

    /// Polls a job's state at a node; `None`: the node gave no state.
    pub fn poll(&mut self, node_id: usize, id: &str) -> Option<JobState> {
        match self.request_now(node_id, UserRequest::Poll(id.to_owned()))? {
            Answer::State(_, status) => Some(status.state),
            Answer::Refused(..) => {
                self.violations
                    .push(format!("forgotten: poll of accepted job {id} was refused"));
                None
            }
            Answer::Later(_) => None,
        }
    }

    /// Registers a job of one task whose records a test has written, with its final state if
    /// it has one. A cancelled job counts as answered so to a user.
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

    /// Cancels a job repeatedly until the cancellation is confirmed, as a user would.
    pub fn cancel(&mut self, id: &str) {
        self.cancel_requested.insert(id.to_owned());
        for _ in 0..600 {
            if let Some(node_id) = self.leader().filter(|node_id| self.reaches(*node_id))
                && let Some(Answer::State(..)) =
                    self.request_now(node_id, UserRequest::Cancel(id.to_owned()))
            {
                return;
            }
            self.step();
        }
        self.run_until(0, &format!("{id} cancelled"), |_| false);
    }

    /// Passes a user's cancellation to the leader without waiting for the answer.
    pub fn request_cancellation(&mut self, id: &str) {
        self.cancel_requested.insert(id.to_owned());
        let leader = self.leader().expect("a node leads");
        self.nodes[leader].leader.as_mut().unwrap().cancel(id);
    }

    /// Records that a user was answered that the job is cancelled.
    pub fn answer_cancelled(&mut self, id: &str) {
        self.cancel_requested.insert(id.to_owned());
        self.check_state_answer(id, JobState::Cancelled);
    }
}
