//! Renewal of leadership: a leader renews its lease and, while the key-value store
//! fails, asks its peers for promises not to campaign.
//!
//! This module owns the requests that extend the leader's authority, the checks after
//! each renewal (isolation, failover position), and this node's answer to a leader that
//! asks for a promise. It is called by the leadership loop of the parent module and,
//! for promises, by `server::peers`.
//!
//! Invariants: authority is extended only through `control::election`. A promise is
//! granted only after a new request to the key-value store.

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

/// Time in milliseconds for which an isolated node doesn't campaign after it stepped
/// down.
const ISOLATED_ABSTAIN_MS: Millis = 15_000;
/// Time in milliseconds for which the peers relay heartbeats of machines whose
/// heartbeats are overdue at the leader.
const HEARTBEAT_RELAY_MS: Millis = 15_000;
/// Timeout of the last renewal attempt after a peer reported that it reaches the
/// key-value store.
const LAST_RENEWAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a successful renewal.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(LEASE_TTL_MS / 4);
/// Pause after a throttled renewal, or after a round of promise requests.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause after stepping down.
const STEPPED_DOWN_PAUSE: Duration = Duration::from_millis(500);

/// Number of heartbeat intervals, and additional margin in milliseconds, without any
/// heartbeat after which the leader counts as cut off from all workers.
const ISOLATION_INTERVALS: Millis = 3;
const ISOLATION_MARGIN_MS: Millis = 2000;

impl Node {
    /// Runs one step of the leader. Returns the pause before the next step.
    pub(super) async fn hold_leadership(self: &Rc<Self>) -> Duration {
        let Some(leadership) = self.election.borrow().leadership() else {
            return Duration::ZERO;
        };
        // While renewals fail, the peers are asked for promises immediately, with a
        // renewal running concurrently: promises are too short to wait for a renewal
        // first.
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

    /// Runs `extend`, which may extend the leader's authority. Counts an extension in
    /// the metrics, and logs a change of the basis of authority.
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
                log::info!(
                    "term {}: authority is now extended by {}",
                    after.term,
                    is.basis.text()
                );
            }
        }
        result
    }

    /// Runs the checks that follow each successful renewal. Returns the pause before
    /// the next step.
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
            .in_term(term, |leader, now| leader.warm_standbys(now) > 0)
            .unwrap_or(false);
        self.election
            .borrow_mut()
            .yields_leadership(unfavourable, warm_standby, now)
    }

    /// Starts a renewal of the lease. The result is applied whether or not the caller
    /// waits for it, also if it arrives late.
    fn start_renewal(self: &Rc<Self>, leadership: Leadership) -> Task<LeaseRenewal> {
        let node = self.clone();
        self.executor.spawn_high(async move {
            let sent = node.now();
            node.budgets
                .charge_requests(sent, RequestPriority::Leadership, 1);
            let timeout = Duration::from_millis(RENEWAL_TIMEOUT_MS);
            let renewal = node.renew_lease(leadership.lease, timeout).await;
            if let LeaseRenewal::Failed(e) = &renewal {
                log::debug!("failed to renew the leader's lease: {e}");
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
                self.extend_authority(|election| election.record_renewal(leadership.lease, sent));
                self.leadership.renewals_failing.set(false);
            }
            LeaseRenewal::Expired => self.step_down(leadership.term, StepDownReason::LeaseEnded),
            LeaseRenewal::Throttled | LeaseRenewal::Failed(_) => {}
        }
    }

    /// Sends a request to all peers concurrently.
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

    /// Probes the controllers of other zones: whether a zone is unreachable shows in
    /// its controllers as well as in its machines.
    fn probe_other_zones(self: &Rc<Self>, term: u64) {
        let own_zone = &self.settings.zone;
        let peers = self.settings.peers.iter().enumerate();
        for (index, peer) in peers.filter(|(_, peer)| peer.zone != *own_zone) {
            let (node, zone) = (self.clone(), peer.zone.clone());
            let probe = async move {
                let reply = node
                    .call_peer(index, &Request::probe(), PROBE_TIMEOUT)
                    .await;
                if reply.is_ok() {
                    node.in_term(term, |leader, now| leader.controller_responded(&zone, now));
                }
            };
            self.executor.spawn_high(probe).detach();
        }
    }

    /// Asks the peers to relay heartbeats of machines whose heartbeats are overdue, as
    /// the fault may lie only between these machines and this node. A worker tries
    /// another node after 5 s of its lease, which leaves no time to diagnose the fault
    /// first. Returns whether this node reaches neither workers nor controllers.
    async fn is_isolated(self: &Rc<Self>, term: u64) -> bool {
        let Some((machines, responsive)) =
            self.in_term(term, |leader, now| leader.overdue_machines(now))
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
        let mut is_reachable = responsive > 0 || self.settings.peers.is_empty();
        for reply in self.call_all_peers(&request) {
            is_reachable |= reply.await.is_ok();
        }
        let heartbeat_interval_ms = (self.settings.cluster.workers.report_s * 1000.0) as Millis;
        let since_heartbeat = self
            .now()
            .saturating_sub(self.heartbeats.last_answered.get());
        !is_reachable
            && since_heartbeat > ISOLATION_INTERVALS * heartbeat_interval_ms + ISOLATION_MARGIN_MS
    }

    /// Asks the peers for promises while renewals fail for this node. The responses
    /// also show whether the key-value store fails for the peers. A renewal runs
    /// concurrently, as the store's last response may merely have been late.
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
            PromiseOutcome::StoreReachableByPeer => {
                if self.last_renewal_fails(leadership).await {
                    self.step_down(leadership.term, StepDownReason::RefusedAlone);
                    return STEPPED_DOWN_PAUSE;
                }
            }
        }
        RETRY_PAUSE
    }

    /// Asks all peers for a promise, except those excluded from elections: these can't
    /// be elected, and asking them would only add the delay of a timeout.
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

    /// Attempts one more renewal after a peer reported that it reaches the key-value
    /// store. Returns whether the store fails for this node alone.
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
        self.election.borrow().store_fails_this_node_only(sent)
    }

    /// Answers a leader that asks this node for a promise not to campaign.
    pub(in crate::server) async fn answer_promise(&self, term: u64, duration: Millis) -> Reply {
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

    /// Whether the key-value store responds to this node now. An earlier response
    /// proves nothing. A response that rejects the request because of load shows that
    /// there is no outage.
    async fn store_answers(&self) -> bool {
        let now = self.now();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        let timeout = Duration::from_millis(PROMISE_CHECK_TIMEOUT_MS);
        match self.get(LEADER, timeout).await {
            Ok(_) => true,
            Err(e) => {
                log::debug!("promise request: the key-value store can't be read: {e}");
                e == StoreError::OverLimit
            }
        }
    }
}
