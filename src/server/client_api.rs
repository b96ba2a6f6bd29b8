//! Submissions, polls and cancellations of users: performs the I/O of the steps that
//! `control::requests` decides on.
//!
//! This module owns the translation between HTTP and these requests, and the I/O of
//! their steps. It is called by the HTTP dispatch and, for requests that other nodes
//! forward, by `server::peers`.
//!
//! Invariant: `control::requests` alone decides the content of an answer.

use super::Node;
use crate::{
    control::requests::{Answer, Event, NO_LEADER, Next, NodeView, Request as UserRequest},
    protocol::peers::{Reply, Request},
    state::{Millis, request_budget::RequestPriority},
    transport::server::HttpResponse,
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// Timeout of a transaction that a user's request waits for.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of times, and interval at which, a write that may wait checks the budget of
/// changes and requests.
const BUDGET_CHECKS: u32 = 20;
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The resource that a path below `/v1/jobs/` identifies.
enum Target<'a> {
    Job(&'a str),
    Cancellation(&'a str),
}

fn target(path: &str) -> Option<Target<'_>> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    Some(match rest.strip_suffix("/abort") {
        Some(id) => Target::Cancellation(id),
        None => Target::Job(rest),
    })
}

fn parse_request(method: &str, path: &str, body: &[u8], forwarded: bool) -> Option<UserRequest> {
    match (method, target(path)) {
        ("GET", Some(Target::Job(id))) if !forwarded => Some(UserRequest::poll(id)),
        ("POST", None) => Some(UserRequest::submit(body, forwarded)),
        ("POST", Some(Target::Cancellation(id))) => Some(UserRequest::cancel(id, forwarded)),
        _ => None,
    }
}

fn response(answer: &Answer) -> HttpResponse {
    match answer {
        Answer::State(code, status) => HttpResponse::json(*code, status),
        Answer::Refused(code, reason) => HttpResponse::error(*code, reason),
        Answer::Later(reason) => HttpResponse::later(reason),
    }
}

impl Node {
    /// Answers a request that a user sent to this node.
    pub(super) async fn handle_user_request(
        self: &Rc<Self>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> HttpResponse {
        self.answer(method, path, body, false)
            .await
            .unwrap_or_else(|| HttpResponse::later(NO_LEADER))
    }

    /// Answers a request that another node forwarded. Returns `None` if this node
    /// doesn't lead.
    pub(super) async fn handle_as_leader(
        self: &Rc<Self>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<HttpResponse> {
        self.answer(method, path, body, true).await
    }

    async fn answer(
        self: &Rc<Self>,
        method: &str,
        path: &str,
        body: Vec<u8>,
        forwarded: bool,
    ) -> Option<HttpResponse> {
        let Some(mut request) = parse_request(method, path, &body, forwarded) else {
            return Some(HttpResponse::error(404, "no such path"));
        };
        let forwarded_request = Request::Forward {
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        };
        let id = request.id().unwrap_or_default().to_owned();
        let answer = self
            .carry_out(&mut request, &id, Some(&forwarded_request))
            .await;
        if let Some(mut remaining) = request.unfinished_work() {
            let node = self.clone();
            let complete_work = async move {
                node.carry_out(&mut remaining, "", None).await;
            };
            self.executor.spawn_high(complete_work).detach();
        }
        answer.map(|a| response(&a))
    }

    /// Carries out the steps of a request until it is answered. `forwarded_request`:
    /// the message that forwards the request to the leader, or `None` if it must not be
    /// forwarded.
    async fn carry_out(
        self: &Rc<Self>,
        request: &mut UserRequest,
        id: &str,
        forwarded_request: Option<&Request>,
    ) -> Option<Answer> {
        let mut event = Event::Arrived;
        loop {
            event = match self.step(request, event) {
                Next::Answer(answer) => {
                    self.log_answer(id, &answer, request.provenance());
                    return Some(answer);
                }
                Next::NotLeading | Next::Finished => return None,
                Next::AskLeader => match self.polls.leader.wait_for_answer(id).await {
                    Ok(reading) => Event::LeaderReplied(reading),
                    // The queue of polls is full.
                    Err(e) => Event::Read(Err(e)),
                },
                Next::ReadState => Event::Read(self.polls.records.wait_for_answer(id).await),
                Next::Forward => Event::Forwarded(match forwarded_request {
                    Some(forwarded) => self.forward(forwarded, request.forward_limit()).await,
                    None => None,
                }),
                Next::CheckVersions => Event::VersionsChecked(self.check_upgrade_complete().await),
                Next::LookUp(ids) => Event::LookupResults(match &ids[..] {
                    [one] => {
                        let found = self
                            .lookup(one, RequestPriority::Acceptance)
                            .await
                            .map_err(|e| e.to_string());
                        [(one.clone(), found)].into()
                    }
                    _ => self.lookup_all(&ids, RequestPriority::Acceptance).await,
                }),
                Next::Write(txn, waits) => {
                    let changes = txn.writes.len() as f64;
                    match self.has_budget(changes, waits).await {
                        true => Event::Wrote(self.run_txn(&txn, WRITE_TIMEOUT).await),
                        false => Event::OverBudget,
                    }
                }
                Next::Wait(ms) => {
                    Timer::after(Duration::from_millis(ms)).await;
                    Event::Waited
                }
            };
        }
    }

    fn step(&self, request: &mut UserRequest, event: Event) -> Next {
        self.with_view(|view| request.step(event, view))
    }

    /// Runs `f` on the state of this node that decisions about users' requests depend
    /// on, and wakes the control loop if the leader has work after that.
    pub(super) fn with_view<T>(&self, f: impl FnOnce(&mut NodeView) -> T) -> T {
        let (now, wall_ms) = (self.now(), self.wall_ms());
        let term = self.election.borrow().authority(now);
        let mut leader = self.leader.borrow_mut();
        let result = f(&mut NodeView {
            may_act: term.is_some() && leader.as_ref().map(|leader| leader.term) == term,
            leader: leader.as_mut(),
            final_states: &mut self.final_states.borrow_mut(),
            settings: &self.settings,
            types: &self.machine_types.borrow(),
            upgraded: self.upgrade.is_complete(),
            now,
            wall_ms,
            read_term: None,
        });
        if leader.as_ref().is_some_and(|leader| leader.has_work()) {
            self.wake.notify();
        }
        result
    }

    async fn forward(self: &Rc<Self>, request: &Request, timeout_ms: Millis) -> Option<Answer> {
        let leader = self.answering_leader()?;
        let timeout = Duration::from_millis(timeout_ms);
        match self.call_peer(leader, request, timeout).await {
            Ok(Reply::Forwarded { status, body, .. }) => Some(Answer::relayed(status, &body)),
            Ok(_) => None,
            Err(e) => {
                log::debug!("failed to forward a user's request to the leader: {e}");
                None
            }
        }
    }

    /// Takes the given number of changes and one request from the budgets; returns
    /// whether both were available. If `waits` is set, the budgets are checked up to
    /// [`BUDGET_CHECKS`] times, which takes no longer than a user waits.
    async fn has_budget(&self, changes: f64, waits: bool) -> bool {
        for _ in 0..if waits { BUDGET_CHECKS } else { 1 } {
            if self.budgets.take_changes(self.now(), changes)
                && self.may_request(RequestPriority::Acceptance)
            {
                return true;
            }
            if waits {
                Timer::after(BUDGET_CHECK_INTERVAL).await;
            }
        }
        false
    }
}
