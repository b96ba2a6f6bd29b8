//! Figures for the operators' monitoring, at one read-only path of `listen`.

use super::Node;
use crate::{
    control::{election::AuthorityBasis, leader::Tally},
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
/// Classes come from the users: past this many, waits are not told apart.
const MOST_CLASSES: usize = 64;

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
    /// `warm`, or why it was cold.
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
    /// `done`, `cancelled`, `live`, or `unread`.
    found: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestPriorityLabels {
    priority: &'static str,
    /// `taken` or `refused`.
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct WithheldLabel {
    /// Why the state was withheld.
    reason: &'static str,
}

type Histograms<L> = Family<L, Histogram, fn() -> Histogram>;

pub(super) struct Metrics {
    registry: Registry,
    answers: Histograms<RequestLabel>,
    waits: Histograms<ClassLabel>,
    recoveries: Histograms<RecoveryPhaseLabel>,
    failovers: Family<FailoverLabel, Counter>,
    step_downs: Family<StepDownLabel, Counter>,
    warm: Gauge,
    classes: std::collections::BTreeSet<String>,
    failures: Counter,
    preemptions: Counter,
    rentals: Counter,
    releases: Counter,
    leading: Gauge,
    jobs: Gauge,
    machines: Gauge,
    pub(super) state_requests: Counter,
    pub(super) state_changes: Counter,
    pub(super) state_refused: Counter,
    pub(super) cloud_requests: Counter,
    peer_requests: Counter,
    peer_bytes: Counter,
    rounds: Histogram,
    answers_given: Family<AnswerLabels, Counter>,
    ages: Histogram,
    authority: Family<AuthorityLabel, Counter>,
    pub(super) indeterminate_writes: Counter,
    pub(super) dropped_log_lines: Counter,
    dependency_lookups: Family<DependencyLookupLabel, Counter>,
    cancelled_with_dependency: Counter,
    request_budget: Family<RequestPriorityLabels, Counter>,
    withheld: Family<WithheldLabel, Counter>,
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

/// Counters only grow: what has been counted elsewhere is added.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

impl Metrics {
    pub(super) fn new() -> Self {
        let mut m = Metrics {
            registry: Registry::with_prefix("pathwinch"),
            answers: Family::new_with_constructor(answer_times as fn() -> Histogram),
            waits: Family::new_with_constructor(wait_times as fn() -> Histogram),
            recoveries: Family::new_with_constructor(recovery_times as fn() -> Histogram),
            failovers: Family::default(),
            step_downs: Family::default(),
            warm: Gauge::default(),
            classes: Default::default(),
            failures: Counter::default(),
            preemptions: Counter::default(),
            rentals: Counter::default(),
            releases: Counter::default(),
            leading: Gauge::default(),
            jobs: Gauge::default(),
            machines: Gauge::default(),
            state_requests: Counter::default(),
            state_changes: Counter::default(),
            state_refused: Counter::default(),
            cloud_requests: Counter::default(),
            peer_requests: Counter::default(),
            peer_bytes: Counter::default(),
            rounds: round_times(),
            answers_given: Family::default(),
            ages: Histogram::new([0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0]),
            authority: Family::default(),
            indeterminate_writes: Counter::default(),
            dropped_log_lines: Counter::default(),
            dependency_lookups: Family::default(),
            cancelled_with_dependency: Counter::default(),
            request_budget: Family::default(),
            withheld: Family::default(),
            dependencies_unread_seconds: Gauge::default(),
        };
        let r = &mut m.registry;
        let help = "Time to answer users, in seconds";
        r.register("answer_seconds", help, m.answers.clone());
        let help = "Seconds from a job's acceptance to the first run of a task, by class";
        r.register("wait_seconds", help, m.waits.clone());
        let help = "Seconds that a phase took until the service was whole under a new leader";
        r.register("recovery_seconds", help, m.recoveries.clone());
        let help = "Takeovers by this node: warm, or why it had to hear all machines first";
        r.register("takeovers", help, m.failovers.clone());
        let help = "Times that this node gave up the lead, by cause";
        r.register("stops", help, m.step_downs.clone());
        let help = "Standbys that would take over warm, while this node leads";
        r.register("warm_standbys", help, m.warm.clone());
        r.register("task_failures", "Tasks that failed", m.failures.clone());
        let help = "Tasks told to stop for others";
        r.register("preemptions", help, m.preemptions.clone());
        r.register("machines_rented", "Machines rented", m.rentals.clone());
        r.register("machines_released", "Machines returned", m.releases.clone());
        r.register("leading", "1 while this node leads", m.leading.clone());
        let help = "Unfinished jobs, while this node leads";
        r.register("jobs", help, m.jobs.clone());
        let help = "Machines known, while this node leads";
        r.register("machines", help, m.machines.clone());
        let help = "Requests to the state service";
        r.register("state_requests", help, m.state_requests.clone());
        let help = "Changes written to the state service";
        r.register("state_changes", help, m.state_changes.clone());
        let help = "Transactions that the state service refused: over a limit, or out of order";
        r.register("state_refused", help, m.state_refused.clone());
        let help = "Requests to the cloud";
        r.register("cloud_requests", help, m.cloud_requests.clone());
        let help = "Requests to other controllers";
        r.register("peer_requests", help, m.peer_requests.clone());
        let help = "Bytes sent to other controllers as requests, and received as replies";
        r.register("peer_bytes", help, m.peer_bytes.clone());
        let help = "Time of a round of the leader's loop, placement included, in seconds";
        r.register("round_seconds", help, m.rounds.clone());
        let help = "States told to users, by state and by what the answer rested on";
        r.register("answers_told", help, m.answers_given.clone());
        let help = "Age of what was read as an unfinished state was told, in seconds";
        r.register("answer_age_seconds", help, m.ages.clone());
        let help = "Times that this node's authority was prolonged, by what";
        r.register("authority", help, m.authority.clone());
        let help = "The leader's transactions of which the fate had to be read";
        r.register("writes_in_doubt", help, m.indeterminate_writes.clone());
        let help = "Lines on answers that were left out of the log, past its bound";
        r.register("log_lines_left_out", help, m.dropped_log_lines.clone());
        let help = "Lookups of dependencies that only the records know, by what was found";
        r.register("dependency_lookups", help, m.dependency_lookups.clone());
        let help = "Jobs cancelled as a job that they depend on was";
        let cancelled = m.cancelled_with_dependency.clone();
        r.register("cancelled_with_dependency", help, cancelled);
        let help = "Requests to the state service by priority: made, or held back by the budget";
        r.register("request_budget", help, m.request_budget.clone());
        let help =
            "Answers of \"later\" to users as a job's dependencies forbade to give its state";
        r.register("states_withheld", help, m.withheld.clone());
        let help = "For how long the end of some dependency is unread, while this node leads";
        let unread = m.dependencies_unread_seconds.clone();
        r.register("dependencies_unread_seconds", help, unread);
        m
    }

    pub(super) fn observe_answer_time(&self, request: &'static str, seconds: f64) {
        let kind = RequestLabel { request };
        self.answers.get_or_create(&kind).observe(seconds);
    }

    /// A user is told this state, as it was read so many milliseconds ago.
    pub(super) fn count_answer(&self, state: JobState, source: &'static str, age: Millis) {
        if !state.is_final() {
            self.ages.observe(age as f64 / 1000.0);
        }
        let state = state.name();
        self.answers_given
            .get_or_create(&AnswerLabels { state, source })
            .inc();
    }

    /// Its authority was prolonged.
    pub(super) fn count_authority_extension(&self, right: AuthorityBasis) {
        let right = right.text();
        self.authority
            .get_or_create(&AuthorityLabel { right })
            .inc();
    }

    /// A round of the leader's loop took so many seconds.
    pub(super) fn observe_round_time(&self, seconds: f64) {
        self.rounds.observe(seconds);
    }

    /// The totals of what was exchanged with other controllers.
    fn set_peer_traffic(&self, requests: u64, bytes: u64) {
        raise_to(&self.peer_requests, requests);
        raise_to(&self.peer_bytes, bytes);
    }

    /// The totals of requests of one priority.
    fn set_request_counts(&self, priority: RequestPriority, counts: RequestCounts) {
        let priority = priority.name();
        for (outcome, total) in [("taken", counts.taken), ("refused", counts.refused)] {
            let labels = RequestPriorityLabels { priority, outcome };
            raise_to(&self.request_budget.get_or_create(&labels), total);
        }
    }

    /// A dependency was looked up in the records.
    pub(super) fn count_dependency_lookup(&self, found: &'static str) {
        self.dependency_lookups
            .get_or_create(&DependencyLookupLabel { found })
            .inc();
    }

    /// A user is told to ask later, as the job's dependencies forbid to give its state.
    pub(super) fn count_withheld_state(&self, reason: &'static str) {
        self.withheld.get_or_create(&WithheldLabel { reason }).inc();
    }

    pub(super) fn count_step_down(&self, why: &'static str) {
        self.step_downs.get_or_create(&StepDownLabel { why }).inc();
    }

    pub(super) fn add_tally(&mut self, tally: Tally) {
        self.failures.inc_by(tally.failed);
        self.preemptions.inc_by(tally.preempted);
        self.rentals.inc_by(tally.rented);
        self.releases.inc_by(tally.released);
        self.cancelled_with_dependency
            .inc_by(tally.cancelled_with_dependency);
        for (phase, seconds) in tally.phases {
            let phase = RecoveryPhaseLabel { phase };
            self.recoveries.get_or_create(&phase).observe(seconds);
        }
        if let Some(how) = tally.took_over {
            self.failovers.get_or_create(&FailoverLabel { how }).inc();
        }
        for (class, waited) in tally.waits {
            let known = self.classes.contains(&class);
            let class = match known || self.classes.len() < MOST_CLASSES {
                true => class,
                false => "other".into(),
            };
            if !known {
                self.classes.insert(class.clone());
            }
            self.waits
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
            (
                l.cluster.live_jobs(),
                l.cluster.machine_count(),
                warm,
                unread_ms,
            )
        });
        let m = self.metrics.borrow();
        let (requests, bytes) = self.peers.exchanged();
        m.set_peer_traffic(requests, bytes);
        for (priority, counts) in self.budgets.request_counts() {
            m.set_request_counts(priority, counts);
        }
        m.leading.set(i64::from(led.is_some()));
        let (jobs, machines, warm, unread_ms) = led.unwrap_or_default();
        m.dependencies_unread_seconds.set(unread_ms as f64 / 1000.0);
        m.warm.set(warm as i64);
        m.jobs.set(jobs as i64);
        m.machines.set(machines as i64);
        let mut text = String::new();
        match encode(&mut text, &m.registry) {
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
