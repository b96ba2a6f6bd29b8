//! Metrics of this node for the operators' monitoring, in OpenMetrics text format at
//! the read-only path [`PATH`] of the `listen` address.
//!
//! This module owns the registry of metrics. The HTTP dispatch serves them; the other
//! modules of the server count events through the methods of [`Metrics`].
//!
//! Invariant: metric names, label names and label values stay the same, as dashboards
//! depend on them.

use super::Node;
use crate::{
    control::{election::AuthorityBasis, leader::MetricCounts},
    protocol::users::JobState,
    state::{
        Millis,
        request_budget::{RequestCounts, RequestPriority},
    },
    transport::server::HttpResponse,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::sync::atomic::AtomicU64;

pub(super) const PATH: &str = "/metrics";
/// Maximum number of values of the `class` label, apart from `other`. The number is
/// bounded because users choose the classes; the waits of all further classes are
/// counted under `other`.
const MAX_CLASSES: usize = 64;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabel {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabel {
    request: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RecoveryPhaseLabel {
    phase: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StepDownLabel {
    why: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct FailoverLabel {
    /// `warm`, or the reason why the failover was cold.
    how: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AnswerLabels {
    state: &'static str,
    source: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AuthorityLabel {
    right: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DependencyLookupLabel {
    /// `done`, `cancelled`, `live` or `unread`.
    found: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestPriorityLabels {
    priority: &'static str,
    /// `taken` or `refused`.
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct UnassignedTaskLabel {
    /// What the leader did with the task.
    handling: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DirectCommandLabel {
    /// `executed`, `refused`, `not_sent` or `no_answer`.
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct UnansweredHeartbeatLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TokenRaiseLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct LeaseRenewalLabel {
    /// `records_unread`, `unconfirmed` or `confirmed`.
    basis: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct WithheldLabel {
    /// The reason why the state was withheld.
    reason: &'static str,
}

type Histograms<L> = Family<L, Histogram, fn() -> Histogram>;

pub(super) struct Metrics {
    registry: Registry,
    answer_seconds: Histograms<RequestLabel>,
    wait_seconds: Histograms<ClassLabel>,
    recovery_seconds: Histograms<RecoveryPhaseLabel>,
    takeovers: Family<FailoverLabel, Counter>,
    step_downs: Family<StepDownLabel, Counter>,
    warm_standbys: Gauge,
    classes: std::collections::BTreeSet<String>,
    task_failures: Counter,
    preemptions: Counter,
    machines_rented: Counter,
    machines_released: Counter,
    leading: Gauge,
    jobs: Gauge,
    machines: Gauge,
    pub(super) state_requests: Counter,
    pub(super) state_changes: Counter,
    pub(super) state_refused: Counter,
    pub(super) cloud_requests: Counter,
    peer_requests: Counter,
    peer_bytes: Counter,
    round_seconds: Histogram,
    answer_counts: Family<AnswerLabels, Counter>,
    answer_age_seconds: Histogram,
    authority_extensions: Family<AuthorityLabel, Counter>,
    pub(super) indeterminate_writes: Counter,
    pub(super) dropped_log_lines: Counter,
    dependency_lookups: Family<DependencyLookupLabel, Counter>,
    cancelled_with_dependency: Counter,
    request_budget: Family<RequestPriorityLabels, Counter>,
    withheld_states: Family<WithheldLabel, Counter>,
    unassigned_tasks: Family<UnassignedTaskLabel, Counter>,
    restarted_attempts: Counter,
    unanswered_heartbeats: Family<UnansweredHeartbeatLabel, Counter>,
    direct_commands: Family<DirectCommandLabel, Counter>,
    token_raises: Family<TokenRaiseLabel, Counter>,
    lease_renewals: Family<LeaseRenewalLabel, Counter>,
    ended_tasks_listed_seconds: Gauge<f64, AtomicU64>,
    dependencies_unread_seconds: Gauge<f64, AtomicU64>,
}

fn answer_times() -> Histogram {
    Histogram::new([0.005, 0.02, 0.1, 0.3, 1.0, 2.0, 5.0])
}

fn wait_times() -> Histogram {
    Histogram::new([1.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0, 900.0])
}

fn recovery_times() -> Histogram {
    Histogram::new([0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0])
}

fn round_times() -> Histogram {
    Histogram::new([0.001, 0.005, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0])
}

/// Raises a counter to a total that is counted elsewhere. A counter never decreases.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

impl Metrics {
    pub(super) fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("pathwinch"),
            answer_seconds: Family::new_with_constructor(answer_times as fn() -> Histogram),
            wait_seconds: Family::new_with_constructor(wait_times as fn() -> Histogram),
            recovery_seconds: Family::new_with_constructor(recovery_times as fn() -> Histogram),
            takeovers: Family::default(),
            step_downs: Family::default(),
            warm_standbys: Gauge::default(),
            classes: Default::default(),
            task_failures: Counter::default(),
            preemptions: Counter::default(),
            machines_rented: Counter::default(),
            machines_released: Counter::default(),
            leading: Gauge::default(),
            jobs: Gauge::default(),
            machines: Gauge::default(),
            state_requests: Counter::default(),
            state_changes: Counter::default(),
            state_refused: Counter::default(),
            cloud_requests: Counter::default(),
            peer_requests: Counter::default(),
            peer_bytes: Counter::default(),
            round_seconds: round_times(),
            answer_counts: Family::default(),
            answer_age_seconds: Histogram::new([0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0]),
            authority_extensions: Family::default(),
            indeterminate_writes: Counter::default(),
            dropped_log_lines: Counter::default(),
            dependency_lookups: Family::default(),
            cancelled_with_dependency: Counter::default(),
            request_budget: Family::default(),
            withheld_states: Family::default(),
            unassigned_tasks: Family::default(),
            restarted_attempts: Counter::default(),
            unanswered_heartbeats: Family::default(),
            direct_commands: Family::default(),
            token_raises: Family::default(),
            lease_renewals: Family::default(),
            ended_tasks_listed_seconds: Gauge::default(),
            dependencies_unread_seconds: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        let help = "Time to answer a user's request, in seconds";
        registry.register("answer_seconds", help, metrics.answer_seconds.clone());
        let help = "Seconds from the acceptance of a job to the first run of a task, by class";
        registry.register("wait_seconds", help, metrics.wait_seconds.clone());
        let help = "Seconds that each phase of the recovery under a new leader took";
        registry.register("recovery_seconds", help, metrics.recovery_seconds.clone());
        let help = "Failovers to this node: warm, or why it had to wait for all machines first";
        registry.register("takeovers", help, metrics.takeovers.clone());
        let help = "Times that this node stepped down as leader, by cause";
        registry.register("stops", help, metrics.step_downs.clone());
        let help = "Standbys that can take over warm, while this node leads";
        registry.register("warm_standbys", help, metrics.warm_standbys.clone());
        registry.register(
            "task_failures",
            "Tasks that failed",
            metrics.task_failures.clone(),
        );
        let help = "Tasks preempted by other tasks";
        registry.register("preemptions", help, metrics.preemptions.clone());
        registry.register(
            "machines_rented",
            "Machines rented",
            metrics.machines_rented.clone(),
        );
        registry.register(
            "machines_released",
            "Machines released",
            metrics.machines_released.clone(),
        );
        registry.register(
            "leading",
            "1 while this node leads",
            metrics.leading.clone(),
        );
        let help = "Unfinished jobs, while this node leads";
        registry.register("jobs", help, metrics.jobs.clone());
        let help = "Known machines, while this node leads";
        registry.register("machines", help, metrics.machines.clone());
        let help = "Requests to the state service";
        registry.register("state_requests", help, metrics.state_requests.clone());
        let help = "Changes written to the state service";
        registry.register("state_changes", help, metrics.state_changes.clone());
        let help =
            "Transactions that the state service refused: over a limit, unavailable or invalid";
        registry.register("state_refused", help, metrics.state_refused.clone());
        let help = "Requests to the cloud";
        registry.register("cloud_requests", help, metrics.cloud_requests.clone());
        let help = "Requests to other controllers";
        registry.register("peer_requests", help, metrics.peer_requests.clone());
        let help = "Bytes sent to other controllers as requests, and received as replies";
        registry.register("peer_bytes", help, metrics.peer_bytes.clone());
        let help =
            "Duration of a round of the leader's control loop, including placement, in seconds";
        registry.register("round_seconds", help, metrics.round_seconds.clone());
        let help = "Job states returned to users, by state and by source of the answer";
        registry.register("answers_told", help, metrics.answer_counts.clone());
        let help = "Age of the data from which an unfinished state was returned, in seconds";
        registry.register(
            "answer_age_seconds",
            help,
            metrics.answer_age_seconds.clone(),
        );
        let help = "Extensions of this node's authority, by basis";
        registry.register("authority", help, metrics.authority_extensions.clone());
        let help = "Transactions of the leader whose outcome had to be determined by a read";
        registry.register(
            "writes_in_doubt",
            help,
            metrics.indeterminate_writes.clone(),
        );
        let help = "Log lines about answers that were dropped by the rate limit";
        registry.register(
            "log_lines_left_out",
            help,
            metrics.dropped_log_lines.clone(),
        );
        let help = "Lookups of dependencies in the stored records, by what was found";
        registry.register(
            "dependency_lookups",
            help,
            metrics.dependency_lookups.clone(),
        );
        let help = "Jobs cancelled because a job that they depend on was cancelled";
        let cancelled = metrics.cancelled_with_dependency.clone();
        registry.register("cancelled_with_dependency", help, cancelled);
        let help = "Requests to the state service by priority: made, or denied by the budget";
        registry.register("request_budget", help, metrics.request_budget.clone());
        let help =
            "Requests of users answered with \"retry later\" because of a job's dependencies";
        registry.register("states_withheld", help, metrics.withheld_states.clone());
        let help = "Tasks that machines reported although nobody assigned them, by what was done";
        let unassigned = metrics.unassigned_tasks.clone();
        registry.register("unassigned_tasks", help, unassigned);
        let help = "Reports of attempts that are live after they had ended on the same machine";
        let restarted = metrics.restarted_attempts.clone();
        registry.register("restarted_attempts", help, restarted);
        let help = "Heartbeats that the leader did not answer, by reason";
        let unanswered = metrics.unanswered_heartbeats.clone();
        registry.register("unanswered_heartbeats", help, unanswered);
        let help = "Direct commands to machines, by outcome";
        registry.register("direct_commands", help, metrics.direct_commands.clone());
        let help = "Raises of the fencing tokens of single machines, by reason";
        registry.register("token_raises", help, metrics.token_raises.clone());
        let help = "Responses to heartbeats, each of which renews a lease, by what they rest on";
        registry.register("lease_renewals", help, metrics.lease_renewals.clone());
        let help =
            "Seconds for which a machine has listed tasks of ended jobs, while this node leads";
        let listed = metrics.ended_tasks_listed_seconds.clone();
        registry.register("ended_tasks_listed_seconds", help, listed);
        let help =
            "Seconds for which the final state of a dependency is unread, while this node leads";
        let unread = metrics.dependencies_unread_seconds.clone();
        registry.register("dependencies_unread_seconds", help, unread);
        metrics
    }

    pub(super) fn observe_answer_time(&self, request: &'static str, seconds: f64) {
        let kind = RequestLabel { request };
        self.answer_seconds.get_or_create(&kind).observe(seconds);
    }

    /// Counts a job state returned to a user, and observes the age of the read if the
    /// state is unfinished. `age`: milliseconds since the read began.
    pub(super) fn count_answer(&self, state: JobState, source: &'static str, age: Millis) {
        if !state.is_final() {
            self.answer_age_seconds.observe(age as f64 / 1000.0);
        }
        let state = state.name();
        self.answer_counts
            .get_or_create(&AnswerLabels { state, source })
            .inc();
    }

    /// Counts an extension of this node's authority.
    pub(super) fn count_authority_extension(&self, right: AuthorityBasis) {
        let right = right.text();
        self.authority_extensions
            .get_or_create(&AuthorityLabel { right })
            .inc();
    }

    /// Observes the duration of a round of the leader's control loop.
    pub(super) fn observe_round_time(&self, seconds: f64) {
        self.round_seconds.observe(seconds);
    }

    /// Sets the total numbers of requests and bytes exchanged with other controllers.
    fn set_peer_traffic(&self, requests: u64, bytes: u64) {
        raise_to(&self.peer_requests, requests);
        raise_to(&self.peer_bytes, bytes);
    }

    /// Sets the total numbers of requests of one priority.
    fn set_request_counts(&self, priority: RequestPriority, counts: RequestCounts) {
        let priority = priority.name();
        for (outcome, total) in [("taken", counts.taken), ("refused", counts.refused)] {
            let labels = RequestPriorityLabels { priority, outcome };
            raise_to(&self.request_budget.get_or_create(&labels), total);
        }
    }

    /// Counts a lookup of a dependency in the records.
    pub(super) fn count_dependency_lookup(&self, found: &'static str) {
        self.dependency_lookups
            .get_or_create(&DependencyLookupLabel { found })
            .inc();
    }

    /// Counts a request of a user that was answered with "retry later" because the
    /// job's dependencies don't allow to return its state.
    pub(super) fn count_withheld_state(&self, reason: &'static str) {
        self.withheld_states
            .get_or_create(&WithheldLabel { reason })
            .inc();
    }

    pub(super) fn count_step_down(&self, why: &'static str) {
        self.step_downs.get_or_create(&StepDownLabel { why }).inc();
    }

    pub(super) fn add_metric_counts(&mut self, metric_counts: MetricCounts) {
        self.task_failures.inc_by(metric_counts.failed);
        self.preemptions.inc_by(metric_counts.preempted);
        self.machines_rented.inc_by(metric_counts.machines_added);
        self.machines_released.inc_by(metric_counts.released);
        self.cancelled_with_dependency
            .inc_by(metric_counts.cancelled_with_dependency);
        for (handling, count) in metric_counts.unassigned_tasks {
            let handling = handling.name();
            let labels = UnassignedTaskLabel { handling };
            self.unassigned_tasks.get_or_create(&labels).inc_by(count);
        }
        self.restarted_attempts
            .inc_by(metric_counts.restarted_attempts);
        for (reason, count) in metric_counts.unanswered_heartbeats {
            let reason = reason.name();
            let labels = UnansweredHeartbeatLabel { reason };
            let unanswered = self.unanswered_heartbeats.get_or_create(&labels);
            unanswered.inc_by(count);
        }
        for (outcome, count) in metric_counts.direct_commands {
            let labels = DirectCommandLabel { outcome };
            self.direct_commands.get_or_create(&labels).inc_by(count);
        }
        for (reason, count) in metric_counts.token_raises {
            let reason = reason.name();
            let labels = TokenRaiseLabel { reason };
            self.token_raises.get_or_create(&labels).inc_by(count);
        }
        for (basis, count) in metric_counts.lease_renewals {
            let basis = basis.name();
            let labels = LeaseRenewalLabel { basis };
            self.lease_renewals.get_or_create(&labels).inc_by(count);
        }
        for (phase, seconds) in metric_counts.phases {
            let phase = RecoveryPhaseLabel { phase };
            self.recovery_seconds.get_or_create(&phase).observe(seconds);
        }
        if let Some(how) = metric_counts.takeover {
            self.takeovers.get_or_create(&FailoverLabel { how }).inc();
        }
        for (class, waited) in metric_counts.waits {
            let known = self.classes.contains(&class);
            let class = match known || self.classes.len() < MAX_CLASSES {
                true => class,
                false => "other".into(),
            };
            if !known {
                self.classes.insert(class.clone());
            }
            self.wait_seconds
                .get_or_create(&ClassLabel { class })
                .observe(waited);
        }
    }
}

impl Node {
    pub(super) fn metrics(&self) -> HttpResponse {
        let led = self.with_authority(|l, now| {
            let warm = l.warm_standbys(now);
            let unread_ms = l.dependencies_unread_ms(now);
            let ended_tasks_ms = l.ended_tasks_listed_ms(now);
            (
                l.cluster.live_jobs(),
                l.cluster.machine_count(),
                warm,
                unread_ms,
                ended_tasks_ms,
            )
        });
        let node_metrics = self.metrics.borrow();
        let (requests, bytes) = self.peers.exchanged();
        node_metrics.set_peer_traffic(requests, bytes);
        for (priority, counts) in self.budgets.request_counts() {
            node_metrics.set_request_counts(priority, counts);
        }
        node_metrics.leading.set(i64::from(led.is_some()));
        let (jobs, machines, warm, unread_ms, ended_tasks_ms) = led.unwrap_or_default();
        node_metrics
            .ended_tasks_listed_seconds
            .set(ended_tasks_ms as f64 / 1000.0);
        node_metrics
            .dependencies_unread_seconds
            .set(unread_ms as f64 / 1000.0);
        node_metrics.warm_standbys.set(warm as i64);
        node_metrics.jobs.set(jobs as i64);
        node_metrics.machines.set(machines as i64);
        let mut text = String::new();
        match encode(&mut text, &node_metrics.registry) {
            Ok(()) => HttpResponse {
                status: 200,
                retry_after_s: None,
                content: "application/openmetrics-text; version=1.0.0; charset=utf-8",
                body: text.into_bytes(),
            },
            Err(e) => HttpResponse::error(500, &e.to_string()),
        }
    }
}
