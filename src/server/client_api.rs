//! Submissions, polls and cancellations: does what their steps ask for.

use super::Node;
use crate::{
    control::requests::{Answer, Event, Next, NodeView, Request as Asked},
    protocol::peers::{Reply, Request},
    state::Millis,
    transport::server::HttpResponse,
};
use async_io::Timer;
use std::{rc::Rc, time::Duration};

/// For a write that a user waits for.
const WRITE: Duration = Duration::from_millis(2_000);
/// Looks at the budget of changes, where a write may wait for it.
const LOOKS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(50);

/// The job's id in a path, and whether it is to be cancelled.
fn target(path: &str) -> Option<(&str, bool)> {
    let rest = path.strip_prefix("/v1/jobs/")?;
    match rest.strip_suffix("/abort") {
        Some(id) => Some((id, true)),
        None => Some((rest, false)),
    }
}

fn asked(method: &str, path: &str, body: &[u8], forwarded: bool) -> Option<Asked> {
    match (method, target(path)) {
        ("GET", Some((id, false))) if !forwarded => Some(Asked::poll(id)),
        ("POST", None) => Some(Asked::submit(body, forwarded)),
        ("POST", Some((id, true))) => Some(Asked::cancel(id, forwarded)),
        _ => None,
    }
}

fn response(answer: &Answer) -> HttpResponse {
    match answer {
        Answer::State(code, status) => HttpResponse::json(*code, status),
        Answer::Refused(code, why) => HttpResponse::error(*code, why),
        Answer::Later(why) => HttpResponse::later(why),
    }
}

impl Node {
    pub(super) async fn user(
        self: &Rc<Self>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> HttpResponse {
        self.answer(method, path, body, false)
            .await
            .unwrap_or_else(|| HttpResponse::later("no leader can be reached"))
    }

    /// Passed on by another node. `None`: this node doesn't lead.
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
        let Some(mut request) = asked(method, path, &body, forwarded) else {
            return Some(HttpResponse::error(404, "no such path"));
        };
        let pass_on = Request::Forward {
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        };
        let id = request.id().unwrap_or_default().to_owned();
        let answer = self.see_through(&mut request, &id, Some(&pass_on)).await;
        if let Some(mut left) = request.unfinished_work() {
            let node = self.clone();
            let settle = async move {
                node.see_through(&mut left, "", None).await;
            };
            self.executor.spawn_high(settle).detach();
        }
        answer.map(|a| response(&a))
    }

    /// Does what the steps of a request ask for, until it is over.
    async fn see_through(
        self: &Rc<Self>,
        request: &mut Asked,
        id: &str,
        pass_on: Option<&Request>,
    ) -> Option<Answer> {
        let mut event = Event::Begin;
        loop {
            event = match self.step(request, event) {
                Next::Answer(answer) => {
                    self.log_answer(id, &answer, request.provenance());
                    return Some(answer);
                }
                Next::NotLeading | Next::Over => return None,
                Next::AskLeader => match self.polls.leader.ask(id).await {
                    Ok(told) => Event::LeaderReplied(told),
                    // Too many wait.
                    Err(e) => Event::Read(Err(e)),
                },
                Next::ReadState => Event::Read(self.polls.records.ask(id).await),
                Next::Forward => Event::Forwarded(match pass_on {
                    Some(pass_on) => self.pass_on(pass_on, request.forward_limit()).await,
                    None => None,
                }),
                Next::Versions => Event::Versions(self.upgraded().await),
                Next::Look(ids) => Event::LookupResults(match &ids[..] {
                    [one] => {
                        let found = self.lookup(one).await.map_err(|e| e.to_string());
                        [(one.clone(), found)].into()
                    }
                    _ => self.lookup_all(&ids).await,
                }),
                Next::Write(txn, waits) => {
                    let changes = txn.writes.len() as f64;
                    match self.has_budget(changes, waits).await {
                        true => Event::Wrote(self.txn(&txn, WRITE).await),
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

    fn step(&self, request: &mut Asked, event: Event) -> Next {
        self.view(|view| request.step(event, view))
    }

    /// What this node knows now of what users ask.
    pub(super) fn view<T>(&self, f: impl FnOnce(&mut NodeView) -> T) -> T {
        let (now, wall_ms) = (self.now(), self.wall_ms());
        let term = self.election.borrow().authority(now);
        let mut leader = self.leader.borrow_mut();
        let result = f(&mut NodeView {
            may_act: term.is_some() && leader.as_ref().map(|l| l.term) == term,
            leader: leader.as_mut(),
            final_states: &mut self.final_states.borrow_mut(),
            settings: &self.settings,
            types: &self.machine_types.borrow(),
            upgraded: self.upgrade.is_complete(),
            now,
            wall_ms,
            read_term: None,
        });
        if leader.as_ref().is_some_and(|l| l.has_work()) {
            self.wake.notify();
        }
        result
    }

    async fn pass_on(self: &Rc<Self>, request: &Request, limit: Millis) -> Option<Answer> {
        let leader = self.answering_leader()?;
        let limit = Duration::from_millis(limit);
        match self.ask(leader, request, limit).await {
            Ok(Reply::Forwarded { status, body, .. }) => Some(Answer::relayed(status, &body)),
            Ok(_) => None,
            Err(e) => {
                log::debug!("forwarding: {e}");
                None
            }
        }
    }

    /// Takes so many changes and a request from the budgets, waiting for them
    /// for no longer than users do.
    async fn has_budget(&self, changes: f64, waits: bool) -> bool {
        for _ in 0..if waits { LOOKS } else { 1 } {
            if self.budgets.take_changes(self.now(), changes) && self.may_request(1.0) {
                return true;
            }
            if waits {
                Timer::after(PAUSE).await;
            }
        }
        false
    }
}
