//! The control loop: advances the leader's state with time, and starts the operations
//! that the leader requests.
//!
//! This module owns the schedule of control rounds, the direct commands to workers, the
//! lookups of dependencies, and the leader's writes to the key-value store. The loop is
//! started once by the process, and is woken by [`Node::in_term`] when there is work.
//!
//! Invariants: no operation is started without authority. A round never waits for a
//! network call. At most one write of the leader's records is in progress at a time.

use super::{
    Node,
    leadership::StepDownReason,
    signals::{InFlight, SingleFlight},
    store::STATE_TIMEOUT,
};
use crate::{
    control::leader::{
        CloudOp, DirectDelivery, DirectDeliveryOutcome, Leader, MetricCounts, WritePlan,
    },
    control::requests::{Found, TxnResult, final_status},
    protocol::workers::Heartbeat,
    state::{
        Millis, cluster::DIRECT_COMMAND_TIMEOUT_MS, rate_limit::share, records::LEADER,
        request_budget::RequestPriority,
    },
    transport::{client::CallError, within},
};
use async_io::Timer;
use http_types::Method;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Maximum time between two rounds, apart from the pause before each round: for this
/// long the control loop waits for an event. An event ends the wait sooner.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before each round. Also after an event, the round starts only after this pause,
/// so that a batch of heartbeats is handled in one round.
const MIN_TICK_PAUSE: Duration = Duration::from_millis(15);

/// Time between two rounds in milliseconds above which the process counts as having
/// been paused, or as having got no processor time.
const PROCESS_PAUSE_MS: Millis = 700;

/// Minimum numbers of changes and of requests in the budgets for which a write of the
/// leader's records is started.
const MIN_WRITE_CHANGES: usize = 2;
const MIN_WRITE_REQUESTS: f64 = 2.0;
/// Pauses before a failed read is repeated, before failed dependency lookups are
/// repeated, and after a refused write.
const REREAD_PAUSE: Duration = Duration::from_millis(200);
const LOOKUP_RETRY_PAUSE: Duration = Duration::from_millis(500);
const REFUSED_WRITE_PAUSE: Duration = Duration::from_millis(300);

/// Operations of the control loop of which at most one per kind is in progress.
#[derive(Default)]
pub(super) struct InFlightOperations {
    writes: SingleFlight,
    dependency_lookups: SingleFlight,
    machine_lists: SingleFlight,
}

/// A dependency whose record could not be read, and the reason.
struct UnreadDependency {
    id: String,
    reason: String,
}

impl UnreadDependency {
    fn new(id: String, reason: &str) -> Self {
        let reason = reason.to_owned();
        UnreadDependency { id, reason }
    }
}

/// Operations to start after one round, and the counts of events since the last round.
struct RoundPlan {
    term: u64,
    direct_deliveries: Vec<DirectDelivery>,
    cloud_ops: Vec<CloudOp>,
    machine_list_due: bool,
    metric_counts: MetricCounts,
}

/// Runs control rounds for as long as the process runs. A round without authority has
/// no effect.
pub async fn run(node: Rc<Node>) {
    let mut last_round = node.now();
    loop {
        let _ = within(TICK_INTERVAL, node.wake.wait()).await;
        Timer::after(MIN_TICK_PAUSE).await;
        let since_last_round = node.now().saturating_sub(last_round);
        last_round = node.now();
        if since_last_round > PROCESS_PAUSE_MS {
            node.process_resumed(since_last_round);
            // Messages that arrived during the pause are handled before the round.
            Timer::after(TICK_INTERVAL).await;
            last_round = node.now();
        }
        node.control_round();
    }
}

impl Node {
    fn process_resumed(&self, paused_ms: Millis) {
        log::info!("control loop: the process was paused for {paused_ms} ms");
        let leadership = self.election.borrow().leadership();
        if let Some(leadership) = leadership {
            self.in_term(leadership.term, |leader, now| leader.process_resumed(now));
        }
    }

    /// Runs one round of the leader; has no effect without authority.
    fn control_round(self: &Rc<Self>) {
        let round_began = Instant::now();
        let Some(plan) = self.plan_round() else {
            return;
        };
        let term = plan.term;
        let leadership = self.election.borrow().leadership();
        self.log_commands(
            leadership,
            plan.metric_counts.starts,
            plan.metric_counts.stops,
        );
        self.metrics
            .borrow_mut()
            .add_metric_counts(plan.metric_counts);
        let seconds = round_began.elapsed().as_secs_f64();
        self.metrics.borrow().observe_round_time(seconds);
        self.update_standbys(term);
        for delivery in plan.direct_deliveries {
            self.executor
                .spawn_high(self.clone().deliver_directly(term, delivery))
                .detach();
        }
        for op in plan.cloud_ops {
            self.executor
                .spawn_high(self.clone().run_cloud_op(term, op))
                .detach();
        }
        if plan.machine_list_due {
            self.begin_machine_list(term);
        }
        self.begin_dependency_lookups(term);
        self.begin_writes(term);
    }

    fn plan_round(&self) -> Option<RoundPlan> {
        let wall_ms = self.wall_ms();
        let upgraded = self.upgrade.is_complete();
        self.with_authority(|leader, now| {
            leader.set_all_controllers_upgraded(upgraded);
            leader.tick(now, wall_ms);
            RoundPlan {
                term: leader.term,
                direct_deliveries: leader.direct_deliveries(now),
                cloud_ops: leader.cloud_ops(now, wall_ms),
                machine_list_due: leader.list_due(now),
                metric_counts: leader.take_metric_counts(),
            }
        })
    }

    fn begin_machine_list(self: &Rc<Self>, term: u64) {
        if let Some(in_flight) = self.in_flight.machine_lists.try_begin() {
            self.executor
                .spawn_high(self.clone().list_machines(term, in_flight))
                .detach();
        }
    }

    fn begin_dependency_lookups(self: &Rc<Self>, term: u64) {
        let Some(in_flight) = self.in_flight.dependency_lookups.try_begin() else {
            return;
        };
        let ids = self
            .with_authority(|leader, _| leader.dependencies_to_look_up())
            .unwrap_or_default();
        if !ids.is_empty() {
            self.executor
                .spawn_high(self.clone().look_up_dependencies(term, ids, in_flight))
                .detach();
        }
    }

    fn begin_writes(self: &Rc<Self>, term: u64) {
        let Some(in_flight) = self.in_flight.writes.try_begin() else {
            return;
        };
        let now = self.now();
        let writes_reserved_for_submissions = share::writes_reserved_for_submissions(
            self.settings.cluster.state.strictest().write_rps,
        );
        let level = self.budgets.change_level(now) - writes_reserved_for_submissions;
        let max_changes = (level.max(0.0) as usize).min(self.budgets.max_txn_changes());
        if max_changes < MIN_WRITE_CHANGES || self.budgets.request_level(now) < MIN_WRITE_REQUESTS {
            return;
        }
        let plan = self
            .with_authority(|leader, _| leader.plan_writes(max_changes))
            .flatten();
        if let Some(plan) = plan {
            self.executor
                .spawn_high(self.clone().apply_writes(term, plan, in_flight))
                .detach();
        }
    }

    /// Sends commands to a worker without waiting for the worker's next heartbeat.
    async fn deliver_directly(self: Rc<Self>, term: u64, delivery: DirectDelivery) {
        let body = serde_json::to_vec(&delivery.commands).unwrap_or_default();
        let timeout = Duration::from_millis(DIRECT_COMMAND_TIMEOUT_MS);
        // The commands were decided with authority, which may have ended since, and so may a
        // job that they start. Once they are sent, the fencing token makes commands that
        // arrive late harmless.
        let may_send = || {
            self.with_authority(|leader, _| leader.term == term && leader.may_still_send(&delivery))
                .unwrap_or(false)
        };
        let result = if may_send() {
            self.http
                .call_if(
                    delivery.addr,
                    Method::Post,
                    "/do",
                    Some(body),
                    timeout,
                    may_send,
                )
                .await
        } else {
            Err(CallError::NotSent(
                "authority has ended, or a job that it starts ends".into(),
            ))
        };
        let machine = &delivery.machine;
        let outcome = match result {
            Ok(answer) => {
                let heartbeat = serde_json::from_slice::<Heartbeat>(&answer.body).ok();
                match (answer.status, heartbeat) {
                    (200, Some(heartbeat)) => DirectDeliveryOutcome::Executed(heartbeat),
                    (409, heartbeat) => DirectDeliveryOutcome::Refused(heartbeat),
                    (400, _) => DirectDeliveryOutcome::Refused(None),
                    _ => DirectDeliveryOutcome::NoAnswer,
                }
            }
            Err(CallError::NotSent(e)) => {
                log::debug!("direct commands to worker {machine} failed: {e}");
                DirectDeliveryOutcome::NotSent
            }
            Err(e @ (CallError::NoAnswer(_) | CallError::TooLong)) => {
                log::debug!("direct commands to worker {machine} failed: {e}");
                DirectDeliveryOutcome::NoAnswer
            }
        };
        let token = delivery.commands.fencing_token;
        self.in_term(term, |leader, now| {
            leader.direct_delivery_finished(machine, token, outcome, now);
        });
    }

    /// Looks up jobs that other jobs depend on, and reports what was found to the
    /// leader of `term`. Lookups that failed are queued again after
    /// [`LOOKUP_RETRY_PAUSE`].
    async fn look_up_dependencies(
        self: Rc<Self>,
        term: u64,
        ids: Vec<String>,
        _in_flight: InFlight,
    ) {
        let mut results = self
            .lookup_ended(&ids, RequestPriority::DependencyLookup)
            .await;
        let unresolved = self.in_term(term, |leader, now| {
            let metrics = self.metrics.borrow();
            let mut unresolved = Vec::new();
            for id in ids {
                match results.remove(&id) {
                    Some(Ok(Found::Live(record, version))) => {
                        metrics.count_dependency_lookup("live");
                        leader.accepted(*record, version, now);
                    }
                    Some(Ok(Found::Final(record, version))) => {
                        metrics.count_dependency_lookup(record.state.name());
                        leader.apply_dependency_state(&final_status(&id, &record), version, now);
                    }
                    Some(Ok(Found::NoRecord)) | None => {
                        unresolved.push(UnreadDependency::new(id, "no record"));
                    }
                    Some(Err(e)) => unresolved.push(UnreadDependency::new(id, &e)),
                }
            }
            unresolved
        });
        let Some(unresolved) = unresolved else {
            log::info!("dropped the results of dependency lookups: term {term} has ended");
            return;
        };
        if unresolved.is_empty() {
            return;
        }
        for _ in &unresolved {
            self.metrics.borrow().count_dependency_lookup("unread");
        }
        // Only the jobs that depend on the unread jobs wait for the retry.
        let reason = unresolved[0].reason.clone();
        let unresolved: Vec<String> = unresolved.into_iter().map(|unread| unread.id).collect();
        let budget = self.budgets.describe_requests(self.now());
        log::info!(
            "dependencies could not be read in term {term}: {unresolved:?}, \
            first reason: {reason}; request budget: {budget}"
        );
        let node = self.clone();
        let retry = async move {
            Timer::after(LOOKUP_RETRY_PAUSE).await;
            node.in_term(term, |leader, _| {
                leader.requeue_dependency_lookups(unresolved);
            });
        };
        self.executor.spawn_high(retry).detach();
    }

    /// Writes changes of the leader's records and reports the outcome to the leader.
    /// After an indeterminate outcome the written keys are read first.
    async fn apply_writes(self: Rc<Self>, term: u64, plan: WritePlan, _in_flight: InFlight) {
        let now = self.now();
        let changes = plan.txn.writes.len();
        self.budgets
            .charge_requests(now, RequestPriority::Leadership, 1);
        self.budgets.charge_changes(now, changes as f64);
        match self.run_txn(&plan.txn, STATE_TIMEOUT).await {
            TxnResult::Applied(revision) => {
                self.budgets.txn_applied();
                self.in_term(term, |leader, now| {
                    leader.writes_applied(&plan, revision, now);
                });
            }
            TxnResult::Conflict(failed) if failed.iter().any(|key| key == LEADER) => {
                self.step_down(term, StepDownReason::Replaced);
            }
            refused @ (TxnResult::Refused | TxnResult::Rejected) => {
                if matches!(refused, TxnResult::Rejected) {
                    self.budgets.txn_rejected(changes);
                }
                self.in_term(term, |leader, _| leader.finish_reconciliation(&plan));
                Timer::after(REFUSED_WRITE_PAUSE).await;
            }
            TxnResult::Conflict(_) | TxnResult::Unknown => {
                self.metrics.borrow().indeterminate_writes.inc();
                self.in_term(term, |leader, _| leader.on_outcome_unknown(&plan));
                self.reread(term, &plan).await;
            }
        }
    }

    /// Reads the keys of a write whose outcome is unknown. None of these keys is
    /// written again before that.
    async fn reread(&self, term: u64, plan: &WritePlan) {
        let mut found = Vec::new();
        for key in Leader::keys_to_reread(plan) {
            loop {
                if self.in_term(term, |_, _| ()).is_none() {
                    return;
                }
                if self.may_request(RequestPriority::Acceptance)
                    && let Ok(item) = self.get(&key, STATE_TIMEOUT).await
                {
                    found.push((key, item.map(|item| (item.value, item.version))));
                    break;
                }
                Timer::after(REREAD_PAUSE).await;
            }
        }
        self.in_term(term, |leader, now| {
            for (key, item) in found {
                leader.reconcile_key(&key, item, now);
            }
            leader.finish_reconciliation(plan);
            leader.log_reconciliation(plan);
        });
    }
}
