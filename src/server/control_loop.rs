//! The leader's loop: time passes, and what it wants done is begun.

use super::{Node, leadership::StepDownReason, store::STATE_TIMEOUT};
use crate::{
    control::leader::{DirectDelivery, DirectDeliveryOutcome, Leader, WritePlan},
    control::requests::{Found, TxnResult, final_status},
    protocol::workers::Heartbeat,
    state::{cluster::DIRECT_COMMAND_TIMEOUT_MS, rate_limit::share, records::LEADER},
    transport::{client::CallError, within},
};
use async_io::Timer;
use http_types::Method;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Between two looks at the clock; events wake the loop sooner, but not in a
/// row, so that a batch of reports is one pass.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
const MIN_TICK_PAUSE: Duration = Duration::from_millis(15);

/// A round that takes so much longer than it should shows that this process
/// stood still, or had no processor.
const PROCESS_PAUSE_MS: u64 = 700;

pub async fn run(node: Rc<Node>) {
    let mut last = node.now();
    loop {
        let _ = within(TICK_INTERVAL, node.wake.1.recv()).await;
        Timer::after(MIN_TICK_PAUSE).await;
        let late = node.now().saturating_sub(last);
        last = node.now();
        if late > PROCESS_PAUSE_MS {
            log::info!("this process was paused for {late} ms");
            let lead = node.election.borrow().leadership();
            if let Some(lead) = lead {
                node.of_term(lead.term, |l, now| l.process_resumed(now));
            }
            // What has arrived is taken in first.
            Timer::after(TICK_INTERVAL).await;
            last = node.now();
        }
        let wall = node.wall_ms();
        let upgraded = node.upgrade.is_complete();
        let round_began = Instant::now();
        let begun = node.acting(|l, now| {
            l.upgraded(upgraded);
            l.tick(now, wall);
            (
                l.term,
                l.direct_deliveries(now),
                l.cloud_ops(now, wall),
                l.list_due(now),
                l.take_tally(),
            )
        });
        let Some((term, directs, ops, list, tally)) = begun else {
            continue;
        };
        let lead = node.election.borrow().leadership();
        node.log_commands(lead, tally.starts, tally.stops);
        node.metrics.borrow_mut().add(tally);
        let round = round_began.elapsed().as_secs_f64();
        node.metrics.borrow().control_round(round);
        node.update_standbys(term);
        for d in directs {
            node.executor
                .spawn_high(node.clone().direct(term, d))
                .detach();
        }
        for op in ops {
            node.executor
                .spawn_high(node.clone().cloud_op(term, op))
                .detach();
        }
        if list && !node.list_in_flight.replace(true) {
            node.executor
                .spawn_high(node.clone().list_machines(term))
                .detach();
        }
        if !node.lookup_in_flight.get() {
            let ids = node
                .acting(|l, _| l.dependencies_to_look_up())
                .unwrap_or_default();
            if !ids.is_empty() {
                node.lookup_in_flight.set(true);
                node.executor
                    .spawn_high(node.clone().look_up_dependencies(term, ids))
                    .detach();
            }
        }
        if !node.write_in_flight.get() {
            let now = node.now();
            let kept = share::kept_for_users(node.settings.cluster.state.always().write_rps);
            let level = node.state_writes.borrow_mut().level(now) - kept;
            let room = (level.max(0.0) as usize).min(node.max_txn_changes.get());
            if room >= 2 && node.state_requests.borrow_mut().level(now) >= 2.0 {
                let plan = node.acting(|l, _| l.plan_writes(room)).flatten();
                if let Some(plan) = plan {
                    node.write_in_flight.set(true);
                    node.executor
                        .spawn_high(node.clone().apply_writes(term, plan))
                        .detach();
                }
            }
        }
    }
}

impl Node {
    async fn direct(self: Rc<Self>, term: u64, d: DirectDelivery) {
        let body = serde_json::to_vec(&d.commands).unwrap_or_default();
        let limit = Duration::from_millis(DIRECT_COMMAND_TIMEOUT_MS);
        // Decided with authority, but that may have ended since. Past this
        // point the token's order makes a late order harmless.
        let still = || self.acting(|l, _| l.term) == Some(term);
        let result = match still() {
            true => {
                self.http
                    .call_if(d.addr, Method::Post, "/do", Some(body), limit, still)
                    .await
            }
            false => Err(CallError::NotSent("authority has ended".into())),
        };
        let outcome = match result {
            Ok(a) => match (a.status, serde_json::from_slice::<Heartbeat>(&a.body).ok()) {
                (200, Some(report)) => DirectDeliveryOutcome::Executed(report),
                (409, report) => DirectDeliveryOutcome::Refused(report),
                (400, _) => DirectDeliveryOutcome::Refused(None),
                _ => DirectDeliveryOutcome::NoAnswer,
            },
            Err(CallError::NotSent(e)) => {
                log::debug!("direct commands to {}: {e}", d.machine);
                DirectDeliveryOutcome::NotSent
            }
            Err(e @ (CallError::NoAnswer(_) | CallError::TooLong)) => {
                log::debug!("direct commands to {}: {e}", d.machine);
                DirectDeliveryOutcome::NoAnswer
            }
        };
        self.of_term(term, |l, now| {
            l.direct_delivery_finished(&d.machine, d.commands.fencing_token, outcome, now);
        });
    }

    /// Looks up jobs that others wait for.
    async fn look_up_dependencies(self: Rc<Self>, term: u64, ids: Vec<String>) {
        let mut found = self.lookup_all(&ids).await;
        let again = self.of_term(term, |l, now| {
            let mut again = Vec::new();
            for id in ids {
                match found.remove(&id) {
                    Some(Ok(Found::Live(record, version))) => l.accepted(*record, version, now),
                    Some(Ok(Found::Final(record, _))) => {
                        l.dependency_ended(&final_status(&id, &record), now);
                    }
                    Some(Ok(Found::Nothing) | Err(_)) | None => again.push(id),
                }
            }
            again
        });
        let again = again.unwrap_or_default();
        if !again.is_empty() {
            // They hold up their own jobs only.
            log::info!("dependencies could not be read: {again:?}");
            let node = self.clone();
            let later = async move {
                Timer::after(Duration::from_millis(500)).await;
                node.of_term(term, |l, _| l.requeue_dependency_lookups(again));
            };
            self.executor.spawn_high(later).detach();
        }
        self.lookup_in_flight.set(false);
    }

    async fn apply_writes(self: Rc<Self>, term: u64, plan: WritePlan) {
        let now = self.now();
        self.state_requests.borrow_mut().force(now, 1.0);
        self.state_writes
            .borrow_mut()
            .force(now, plan.txn.writes.len() as f64);
        match self.txn(&plan.txn, STATE_TIMEOUT).await {
            TxnResult::Done(revision) => {
                self.max_txn_changes
                    .set(self.max_txn_changes.get().saturating_mul(2));
                self.of_term(term, |l, now| l.writes_applied(&plan, revision, now));
            }
            TxnResult::Conflict(failed) if failed.iter().any(|k| k == LEADER) => {
                self.step_down(term, StepDownReason::Replaced);
            }
            refused @ (TxnResult::Refused | TxnResult::Rejected) => {
                // Guards against sending again and again what was too much.
                if matches!(refused, TxnResult::Rejected) {
                    self.max_txn_changes.set((plan.txn.writes.len() / 2).max(2));
                }
                self.of_term(term, |l, _| l.reconciled(&plan));
                Timer::after(Duration::from_millis(300)).await;
            }
            TxnResult::Conflict(_) | TxnResult::Unknown => {
                self.metrics.borrow().indeterminate_writes.inc();
                self.of_term(term, |l, _| l.outcome_unknown(&plan));
                self.reread(term, &plan).await;
            }
        }
        self.write_in_flight.set(false);
    }

    /// What had no answer may have been applied: look before trying again.
    async fn reread(&self, term: u64, plan: &WritePlan) {
        let keys = Leader::keys_to_reread(plan);
        let mut found = Vec::new();
        for key in keys {
            loop {
                if self.of_term(term, |_, _| ()).is_none() {
                    return;
                }
                if self.may_request(2.0)
                    && let Ok(item) = self.get(&key, STATE_TIMEOUT).await
                {
                    found.push((key, item.map(|i| (i.value, i.version))));
                    break;
                }
                Timer::after(Duration::from_millis(200)).await;
            }
        }
        self.of_term(term, |l, now| {
            for (key, item) in found {
                l.reconcile_key(&key, item, now);
            }
            l.reconciled(plan);
            l.log_reconciliation(plan);
        });
    }
}
