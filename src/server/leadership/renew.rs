//! A node that leads: it renews its lease and, while the key-value store fails,
//! asks its peers for promises.
//!
//! Owns: the requests that extend the leader's authority, the checks that follow a
//! renewal (isolation, failover position), and this node's answer to a leader that
//! asks for a promise. Called by the leadership loop of the parent module and, for
//! promises, by `server::peers`.
//!
//! Must never: extend authority except through `control::election`, or grant a
//! promise on anything but a fresh request to the key-value store.

use super::{
    super::{Node, leases::LeaseRenewal, store::StoreError},
    PROBE_TIMEOUT, StepDownReason,
};
use crate::{
    control::election::{
        Election, LEASE_TTL_MS, Leadership, PROMISE_CHECK_TIMEOUT_MS, PROMISE_MS, PromiseOutcome,
        PromiseResponse, RENEWAL_TIMEOUT_MS,
    },
    protocol::peers::{Reply, Request},
    state::{Millis, records::LEADER, request_budget::RequestPriority},
    transport::{client::CallError, within},
};
use async_executor::Task;
use std::{rc::Rc, time::Duration};

/// How long an isolated node abstains after it stepped down.
const ISOLATED_ABSTAIN_MS: Millis = 15_000;
/// How long the peers relay the heartbeats of machines that the leader misses.
const HEARTBEAT_RELAY_MS: Millis = 15_000;
/// How long the last renewal may take once a peer reported that it reaches the
/// key-value store.
const LAST_RENEWAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a renewal.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(LEASE_TTL_MS / 4);
/// Pause after a renewal that failed, or a round of promises.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause after stepping down.
const STEPPED_DOWN_PAUSE: Duration = Duration::from_millis(500);

/// Without a heartbeat for this many heartbeat intervals, and this margin, the
/// leader counts as cut off from all workers.
const ISOLATION_INTERVALS: Millis = 3;
const ISOLATION_MARGIN_MS: Millis = 2000;

impl Node {
    /// One step of the leader; returns when to do the next.
    pub(super) async fn hold_leadership(self: &Rc<Self>) -> Duration {
        let Some(leadership) = self.election.borrow().leadership() else {
            return Duration::ZERO;
        };
        // While renewals fail, the peers are asked at once and each renewal runs
        // beside that: a promise is too short to wait for a renewal first.
        if !self.leadership.renewals_failing.get() {
            let mut renewal = self.start_renewal(leadership);
            match within(PROBE_TIMEOUT, &mut renewal).await {
                Some(LeaseRenewal::Renewed) => return self.after_renewal(leadership).await,
                Some(LeaseRenewal::Expired) => return Duration::ZERO,
                Some(LeaseRenewal::Throttled) => return RETRY_PAUSE,
                Some(LeaseRenewal::Failed(_)) => {}
                None => renewal.detach(),
            }
            self.leadership.renewals_failing.set(true);
        }
        self.ask_promises(leadership).await
    }

    /// Applies what may extend the authority, and records a change of its basis.
    fn extend_authority<T>(&self, extend: impl FnOnce(&mut Election) -> T) -> T {
        let mut election = self.election.borrow_mut();
        let before = election.leadership();
        let result = extend(&mut election);
        if let (Some(before), Some(after)) = (before, election.leadership()) {
            let (was, is) = (before.authority(), after.authority());
            if is.valid_until > was.valid_until {
                self.metrics.borrow().count_authority_extension(is.basis);
            }
            if was.basis != is.basis {
                log::info!("term {} is extended by {}", after.term, is.basis.text());
            }
        }
        result
    }

    /// The checks that follow each renewal.
    async fn after_renewal(self: &Rc<Self>, leadership: Leadership) -> Duration {
        let term = leadership.term;
        self.probe_other_zones(term);
        if self.is_isolated(term).await {
            let now = self.now();
            self.election
                .borrow_mut()
                .abstain(now + ISOLATED_ABSTAIN_MS);
            self.step_down(term, StepDownReason::Isolated);
            return STEPPED_DOWN_PAUSE;
        }
        if self.yields_leadership(term) {
            self.step_down(term, StepDownReason::UnfavourablePosition);
            return STEPPED_DOWN_PAUSE;
        }
        RENEWAL_INTERVAL
    }

    fn yields_leadership(&self, term: u64) -> bool {
        let now = self.now();
        let unfavourable = self
            .failure_detector
            .borrow()
            .unfavourable_failover_position(now);
        let warm_standby = self
            .with_leader_of_term(term, |leader, now| leader.warm_standbys(now) > 0)
            .unwrap_or(false);
        self.election
            .borrow_mut()
            .yields_leadership(unfavourable, warm_standby, now)
    }

    /// Starts a renewal. Its result takes effect whether it is waited for or not,
    /// also if it comes late.
    fn start_renewal(self: &Rc<Self>, leadership: Leadership) -> Task<LeaseRenewal> {
        let node = self.clone();
        self.executor.spawn_high(async move {
            let sent = node.now();
            node.budgets
                .charge_requests(sent, RequestPriority::Leadership, 1);
            let timeout = Duration::from_millis(RENEWAL_TIMEOUT_MS);
            let renewal = node.renew_lease(leadership.lease, timeout).await;
            if let LeaseRenewal::Failed(e) = &renewal {
                log::debug!("renewing leadership: {e}");
            }
            node.apply_renewal(leadership, sent, &renewal);
            renewal
        })
    }

    fn apply_renewal(
        self: &Rc<Self>,
        leadership: Leadership,
        sent: Millis,
        renewal: &LeaseRenewal,
    ) {
        let held = self.election.borrow().leadership().map(|held| held.lease);
        if held != Some(leadership.lease) {
            return;
        }
        match renewal {
            LeaseRenewal::Renewed => {
                self.extend_authority(|election| election.renewed(leadership.lease, sent));
                self.leadership.renewals_failing.set(false);
            }
            LeaseRenewal::Expired => self.step_down(leadership.term, StepDownReason::LeaseEnded),
            LeaseRenewal::Throttled | LeaseRenewal::Failed(_) => {}
        }
    }

    /// Sends a request to all peers at once.
    pub(super) fn call_all_peers(
        self: &Rc<Self>,
        request: &Request,
    ) -> Vec<Task<Result<Reply, CallError>>> {
        self.call_peers_except(&[], request)
    }

    fn call_peers_except(
        self: &Rc<Self>,
        skipped_peers: &[usize],
        request: &Request,
    ) -> Vec<Task<Result<Reply, CallError>>> {
        (0..self.settings.peers.len())
            .filter(|peer| !skipped_peers.contains(peer))
            .map(|peer| {
                let (node, request) = (self.clone(), request.clone());
                self.executor
                    .spawn_high(async move { node.call_peer(peer, &request, PROBE_TIMEOUT).await })
            })
            .collect()
    }

    /// Asks the controllers of other zones for a sign of life: whether a zone is
    /// unreachable shows in its controllers as well as in its machines.
    fn probe_other_zones(self: &Rc<Self>, term: u64) {
        let own_zone = &self.settings.zone;
        let peers = self.settings.peers.iter().enumerate();
        for (index, peer) in peers.filter(|(_, peer)| peer.zone != *own_zone) {
            let (node, zone) = (self.clone(), peer.zone.clone());
            let probe = async move {
                let reply = node
                    .call_peer(index, &Request::greeting(), PROBE_TIMEOUT)
                    .await;
                if reply.is_ok() {
                    node.with_leader_of_term(term, |leader, now| {
                        leader.controller_responded(&zone, now)
                    });
                }
            };
            self.executor.spawn_high(probe).detach();
        }
    }

    /// Asks the peers to relay heartbeats of machines that have become
    /// unresponsive, as the fault may lie between them and this node alone. A
    /// worker tries another node after 5 s of its lease, so there is no time to
    /// find out first. Returns whether neither workers nor controllers are
    /// reachable.
    async fn is_isolated(self: &Rc<Self>, term: u64) -> bool {
        let Some((machines, responsive)) =
            self.with_leader_of_term(term, |leader, now| leader.overdue_machines(now))
        else {
            return false;
        };
        if machines.is_empty() {
            return false;
        }
        let request = Request::RelayHeartbeats {
            machines,
            for_ms: HEARTBEAT_RELAY_MS,
        };
        let mut reaches_anybody = responsive > 0 || self.settings.peers.is_empty();
        for reply in self.call_all_peers(&request) {
            reaches_anybody |= reply.await.is_ok();
        }
        let heartbeat_interval_ms = (self.settings.cluster.workers.report_s * 1000.0) as Millis;
        let since_heartbeat = self
            .now()
            .saturating_sub(self.heartbeats.last_answered.get());
        !reaches_anybody
            && since_heartbeat > ISOLATION_INTERVALS * heartbeat_interval_ms + ISOLATION_MARGIN_MS
    }

    /// The key-value store fails this node; the peers' answers show whether it
    /// fails them too. A renewal runs meanwhile, as one answer may just be late.
    async fn ask_promises(self: &Rc<Self>, leadership: Leadership) -> Duration {
        let sent = self.now();
        let renewal = self.start_renewal(leadership);
        let responses = self.collect_promises(leadership.term, sent).await;
        let now = self.now();
        let outcome =
            self.extend_authority(|election| election.extend_by_promises(sent, responses, now));
        renewal.detach();
        match outcome {
            PromiseOutcome::Extended => {}
            PromiseOutcome::NotExtended => log::debug!("promises are missing or came too late"),
            PromiseOutcome::CancellationsUnknown => {
                self.step_down(leadership.term, StepDownReason::CancellationsUnknown);
                return STEPPED_DOWN_PAUSE;
            }
            PromiseOutcome::RefusedAlone => {
                if self.last_renewal_fails(leadership).await {
                    self.step_down(leadership.term, StepDownReason::RefusedAlone);
                    return STEPPED_DOWN_PAUSE;
                }
            }
        }
        RETRY_PAUSE
    }

    /// Asks all peers for a promise. Excluded ones can't be elected and would only
    /// cost a time-out.
    async fn collect_promises(self: &Rc<Self>, term: u64, sent: Millis) -> Vec<PromiseResponse> {
        let request = Request::Promise {
            term,
            leader: self.settings.name.clone(),
            for_ms: PROMISE_MS,
        };
        let (excluded, until) = {
            let exclusions = self.exclusions.borrow();
            let excluded: Vec<usize> = (0..self.settings.peers.len())
                .filter(|peer| exclusions.is_excluded(*peer, sent))
                .collect();
            (excluded, exclusions.lease_until())
        };
        let mut responses = vec![PromiseResponse::Excluded { until }; excluded.len()];
        for reply in self.call_peers_except(&excluded, &request) {
            responses.push(match reply.await {
                Ok(Reply::Promise {
                    granted: true,
                    running_ms,
                    ..
                }) => PromiseResponse::Granted {
                    started_by: running_ms
                        .map(|uptime| Election::process_started_by(uptime, self.now())),
                },
                Ok(Reply::Promise { state_ok: true, .. }) => PromiseResponse::StoreReachable,
                _ => PromiseResponse::Refused,
            });
        }
        responses
    }

    /// A peer reaches the key-value store: one more renewal shows whether the
    /// store fails this node alone.
    async fn last_renewal_fails(self: &Rc<Self>, leadership: Leadership) -> bool {
        let sent = self.now();
        let mut renewal = self.start_renewal(leadership);
        match within(LAST_RENEWAL_TIMEOUT, &mut renewal).await {
            Some(LeaseRenewal::Renewed | LeaseRenewal::Expired | LeaseRenewal::Throttled) => {
                return false;
            }
            Some(LeaseRenewal::Failed(_)) => {}
            None => renewal.detach(),
        }
        self.election.borrow().is_refused_alone(sent)
    }

    /// Answers a leader that asks for a promise.
    pub(in crate::server) async fn handle_promise_request(
        &self,
        term: u64,
        duration: Millis,
    ) -> Reply {
        let store_answers = self.store_answers().await;
        let now = self.now();
        let granted = self
            .election
            .borrow_mut()
            .grant_promise(now, term, duration, !store_answers);
        Reply::Promise {
            granted,
            state_ok: store_answers,
            running_ms: Some(self.election.borrow().process_uptime(now)),
        }
    }

    /// Whether the key-value store answers this node right now. An earlier answer
    /// proves nothing; an answer that refuses for load shows that there is no
    /// outage.
    async fn store_answers(&self) -> bool {
        let now = self.now();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        let timeout = Duration::from_millis(PROMISE_CHECK_TIMEOUT_MS);
        match self.get(LEADER, timeout).await {
            Ok(_) => true,
            Err(e) => {
                log::debug!("asked for a promise: {e}");
                e == StoreError::OverLimit
            }
        }
    }
}
