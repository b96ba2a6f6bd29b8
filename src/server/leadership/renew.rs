//! A node that leads: renews its lease and, while the state service fails, asks
//! the others for promises.

use super::{
    super::{Node, store::OVER_LIMIT},
    PROBE_TIMEOUT, StepDownReason,
};
use crate::{
    control::election::{
        Election, LEASE_TTL_MS, Leadership, PROMISE_CHECK_TIMEOUT_MS, PROMISE_MS, PromiseOutcome,
        PromiseResponse, RENEWAL_TIMEOUT_MS,
    },
    protocol::peers::{Reply, Request},
    state::records::LEADER,
    transport::{client::CallError, within},
};
use async_executor::Task;
use http_types::Method;
use std::{rc::Rc, time::Duration};

/// How long a node that was cut off lets the others lead, in milliseconds.
const ABSTAIN_MS: u64 = 15_000;
/// What the renewal may take that is tried last, once another node is served.
const SECOND_TRY_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Touch {
    Renewed,
    Lost,
    /// It answers, but all nodes together ask too much.
    Busy,
    Failed,
}

impl Node {
    /// One step of the leader; returns when to do the next.
    pub(super) async fn hold_leadership(self: &Rc<Self>) -> Duration {
        let Some(lead) = self.election.borrow().leadership() else {
            return Duration::ZERO;
        };
        // While renewals fail the others are asked at once, and each renewal is
        // tried beside that: promises are too short to wait for it first.
        if !self.renewals_failing.get() {
            let mut renewal = self.renew(lead);
            match within(PROBE_TIMEOUT, &mut renewal).await {
                Some(Touch::Renewed) => return self.after_renewal(lead).await,
                Some(Touch::Lost) => return Duration::ZERO,
                Some(Touch::Busy) => return Duration::from_millis(100),
                Some(Touch::Failed) => {}
                None => renewal.detach(),
            }
            self.renewals_failing.set(true);
        }
        self.ask_promises(lead).await
    }

    /// Does what may prolong the authority, and notes by which right it stands.
    fn extend_authority<T>(&self, f: impl FnOnce(&mut Election) -> T) -> T {
        let mut election = self.election.borrow_mut();
        let before = election.leadership();
        let result = f(&mut election);
        if let (Some(before), Some(after)) = (before, election.leadership()) {
            let (was, is) = (before.authority(), after.authority());
            if is.valid_until > was.valid_until {
                self.metrics.borrow().authority_extended(is.basis);
            }
            if was.basis != is.basis {
                log::info!("term {} is extended by {}", after.term, is.basis.text());
            }
        }
        result
    }

    /// What is looked at after each renewal.
    async fn after_renewal(self: &Rc<Self>, lead: Leadership) -> Duration {
        self.greet_other_zones(lead.term);
        if self.is_isolated(lead.term).await {
            let now = self.now();
            self.election.borrow_mut().abstain(now + ABSTAIN_MS);
            self.step_down(lead.term, StepDownReason::Isolated);
            return Duration::from_millis(500);
        }
        let now = self.now();
        let poor = self
            .failure_detector
            .borrow()
            .unfavourable_failover_position(now);
        let warm = self.of_term(lead.term, |l, now| l.warm_standbys(now) > 0);
        let warm = warm.unwrap_or(false);
        if self
            .election
            .borrow_mut()
            .yields_leadership(poor, warm, now)
        {
            self.step_down(lead.term, StepDownReason::UnfavourablePosition);
            return Duration::from_millis(500);
        }
        Duration::from_millis(LEASE_TTL_MS / 4)
    }

    /// Begins a renewal. What comes of it holds whoever waits for it, also if
    /// it comes late.
    fn renew(self: &Rc<Self>, lead: Leadership) -> Task<Touch> {
        let node = self.clone();
        self.executor.spawn_high(async move {
            let sent = node.now();
            let touch = node.touch(lead.lease).await;
            let still = node.election.borrow().leadership().map(|l| l.lease);
            if still == Some(lead.lease) {
                match touch {
                    Touch::Renewed => {
                        node.extend_authority(|e| e.renewed(lead.lease, sent));
                        node.renewals_failing.set(false);
                    }
                    Touch::Lost => node.step_down(lead.term, StepDownReason::LeaseEnded),
                    Touch::Busy | Touch::Failed => {}
                }
            }
            touch
        })
    }

    /// Asks all other nodes at once.
    pub(super) fn ask_all(
        self: &Rc<Self>,
        request: &Request,
    ) -> Vec<Task<Result<Reply, CallError>>> {
        self.ask_all_but(&[], request)
    }

    fn ask_all_but(
        self: &Rc<Self>,
        but: &[usize],
        request: &Request,
    ) -> Vec<Task<Result<Reply, CallError>>> {
        let ask = |peer| {
            let (node, request) = (self.clone(), request.clone());
            self.executor
                .spawn_high(async move { node.ask(peer, &request, PROBE_TIMEOUT).await })
        };
        let peers = 0..self.settings.peers.len();
        peers.filter(|p| !but.contains(p)).map(ask).collect()
    }

    /// Whether a zone is cut off shows in its controllers as well.
    fn greet_other_zones(self: &Rc<Self>, term: u64) {
        let own = &self.settings.zone;
        let peers = self.settings.peers.iter().enumerate();
        for (peer, p) in peers.filter(|(_, p)| p.zone != *own) {
            let (node, zone) = (self.clone(), p.zone.clone());
            self.executor
                .spawn_high(async move {
                    if node
                        .ask(peer, &Request::greeting(), PROBE_TIMEOUT)
                        .await
                        .is_ok()
                    {
                        node.of_term(term, |l, now| l.controller_responded(&zone, now));
                    }
                })
                .detach();
        }
    }

    /// Asks the others to relay reports of machines that fell unresponsive: the cut
    /// may be between them and this node alone. A worker tries another node
    /// after 5 s of its lease, so there is no time to find out first. Returns
    /// whether neither workers nor controllers are heard.
    async fn is_isolated(self: &Rc<Self>, term: u64) -> bool {
        let Some((machines, heard)) = self.of_term(term, |l, now| l.overdue_machines(now)) else {
            return false;
        };
        if machines.is_empty() {
            return false;
        }
        let request = Request::Unheard {
            machines,
            for_ms: 15_000,
        };
        let asks = self.ask_all(&request);
        let mut anybody = heard > 0 || self.settings.peers.is_empty();
        for ask in asks {
            anybody |= ask.await.is_ok();
        }
        let report = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let silence = self.now().saturating_sub(self.last_heartbeat.get());
        !anybody && silence > 3 * report + 2000
    }

    async fn touch(&self, lease: u64) -> Touch {
        let now = self.now();
        self.state_requests.borrow_mut().force(now, 1.0);
        let path = format!("/leases/{lease}/touch");
        let limit = Duration::from_millis(RENEWAL_TIMEOUT_MS);
        match self.state(Method::Post, &path, None, limit).await {
            Ok(a) if a.status == 200 => Touch::Renewed,
            Ok(a) if a.status == 404 => Touch::Lost,
            Ok(a) if a.status == 429 => Touch::Busy,
            Ok(a) => {
                log::debug!("renewing leadership: status {}", a.status);
                Touch::Failed
            }
            Err(e) => {
                log::debug!("renewing leadership: {e}");
                Touch::Failed
            }
        }
    }

    /// The state service fails this node: does it fail the others too? It is
    /// asked again meanwhile, as one answer may just be late.
    async fn ask_promises(self: &Rc<Self>, lead: Leadership) -> Duration {
        let sent = self.now();
        let again = self.renew(lead);
        let request = Request::Promise {
            term: lead.term,
            leader: self.settings.name.clone(),
            for_ms: PROMISE_MS,
        };
        // An excluded node can't seek anything, and would take a time-out.
        let (excluded, until) = {
            let exclusions = self.exclusions.borrow();
            let peers = 0..self.settings.peers.len();
            let excluded: Vec<usize> = peers.filter(|p| exclusions.is_excluded(*p, sent)).collect();
            (excluded, exclusions.lease_until())
        };
        let mut answers = vec![PromiseResponse::Excluded { until }; excluded.len()];
        for ask in self.ask_all_but(&excluded, &request) {
            answers.push(match ask.await {
                Ok(Reply::Promise {
                    granted: true,
                    running_ms,
                    ..
                }) => PromiseResponse::Granted {
                    started_by: running_ms.map(|ms| Election::process_started_by(ms, self.now())),
                },
                Ok(Reply::Promise { state_ok: true, .. }) => PromiseResponse::StoreReachable,
                _ => PromiseResponse::Refused,
            });
        }
        let now = self.now();
        let extended = self.extend_authority(|e| e.extend_by_promises(sent, answers, now));
        match extended {
            PromiseOutcome::Extended => again.detach(),
            PromiseOutcome::NotExtended => {
                log::debug!("promises are missing or came too late");
                again.detach();
            }
            PromiseOutcome::CancellationsUnknown => {
                again.detach();
                self.step_down(lead.term, StepDownReason::CancellationsUnknown);
                return Duration::from_millis(500);
            }
            PromiseOutcome::RefusedAlone => {
                again.detach();
                let begun = self.now();
                let mut last = self.renew(lead);
                match within(SECOND_TRY_TIMEOUT, &mut last).await {
                    Some(Touch::Renewed | Touch::Lost | Touch::Busy) => {}
                    failed @ (Some(Touch::Failed) | None) => {
                        if failed.is_none() {
                            last.detach();
                        }
                        if self.election.borrow().is_refused_alone(begun) {
                            self.step_down(lead.term, StepDownReason::RefusedAlone);
                            return Duration::from_millis(500);
                        }
                    }
                }
            }
        }
        Duration::from_millis(100)
    }

    pub(in crate::server) async fn promise(&self, term: u64, for_ms: u64) -> Reply {
        // A fresh look: what was true a second ago says nothing.
        let state_ok = {
            let now = self.now();
            self.state_requests.borrow_mut().force(now, 1.0);
            let limit = Duration::from_millis(PROMISE_CHECK_TIMEOUT_MS);
            match self.get(LEADER, limit).await {
                Ok(_) => true,
                Err(e) => {
                    log::debug!("asked for a promise: {e}");
                    // It answers: there is no outage.
                    e == OVER_LIMIT
                }
            }
        };
        let now = self.now();
        let granted = self
            .election
            .borrow_mut()
            .grant_promise(now, term, for_ms, !state_ok);
        Reply::Promise {
            granted,
            state_ok,
            running_ms: Some(self.election.borrow().process_uptime(now)),
        }
    }
}
