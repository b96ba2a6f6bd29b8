//! Status for operators and counts for metrics.
//!
//! Owns `Events` and `MetricCounts`. Called by the request handlers and the metrics loop; status
//! is computed only on request. Responses must fit into a frame, so names are truncated and
//! the number of rows is limited. This module never influences a decision of the leader.

use super::{
    Leader, fencing::RaiseReason, lease_renewals::RenewalBasis, millis,
    partitions::UnansweredReason,
};
use crate::{
    control::{placement, reconciliation::UnassignedHandling},
    options::LoadResource,
    protocol::{
        status::{
            ClusterStatus, Due, JobExplanation, JobGroup, MAX_LIST_ROWS, MachineGroup,
            MachineProblem, PendingReason, TaskFailure, TeamUsage,
        },
        workers::ExitReason,
    },
    state::{
        Millis,
        cluster::{Job, JobHandle},
        dependencies::Readiness,
        offload::OffloadState,
    },
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Events of this term, kept for status, metrics and fault attribution.
#[derive(Default)]
pub(super) struct Events {
    pub(super) metric_counts: MetricCounts,
    pub(super) recent_failures: VecDeque<TaskFailureEvent>,
    /// Jobs that have a failed task and of which no task has run.
    pub(super) suspects: Vec<JobHandle>,
}

/// Number of recent failures that are kept for operators.
const MAX_RECENT_FAILURES: usize = 20;
/// Largest number of unfinished dependencies that are listed individually.
const MAX_LISTED_DEPENDENCIES: usize = 20;
/// A machine that has been booting for longer than this many times its usual boot time is
/// listed as a problem.
const SLOW_BOOT_FACTOR: u64 = 3;

/// Counts for metrics, accumulated since the last call of `take_metric_counts`.
#[derive(Debug, Default)]
pub struct MetricCounts {
    /// Number of tasks that failed.
    pub failed: u64,
    /// Number of tasks stopped to make room for other work.
    pub preempted: u64,
    /// Number of machines that the cloud added.
    pub machines_added: u64,
    /// Number of machines that the cloud deleted.
    pub released: u64,
    /// For each job that started to run for the first time: its class, and the seconds from
    /// when this leader learned of it.
    pub waits: Vec<(String, f64)>,
    /// Completed phases of the recovery, with their durations in seconds.
    pub phases: Vec<(&'static str, f64)>,
    /// How this leader took over: `warm`, or the reason why it took over cold.
    pub takeover: Option<&'static str>,
    /// Number of jobs that were cancelled because a job they depend on was cancelled.
    pub cancelled_with_dependency: u64,
    /// Number of start commands sent.
    pub starts: u64,
    /// Number of stop commands sent.
    pub stops: u64,
    /// Number of tasks that machines reported although nobody assigned them, by what was done.
    pub unassigned_tasks: BTreeMap<UnassignedHandling, u64>,
    /// Number of reports of attempts that are live after they had ended on the same machine.
    pub restarted_attempts: u64,
    /// Number of heartbeats that were not answered, by reason.
    pub unanswered_heartbeats: BTreeMap<UnansweredReason, u64>,
    /// Number of direct commands that ended, by outcome.
    pub direct_commands: BTreeMap<&'static str, u64>,
    /// Number of raises of machines' fencing tokens, by reason.
    pub token_raises: BTreeMap<RaiseReason, u64>,
    /// Number of responses to heartbeats, each of which renews a lease, by what they rest on.
    pub lease_renewals: BTreeMap<RenewalBasis, u64>,
}

/// A failed task: the time of the failure, the task, the machine and the reason.
pub(super) type TaskFailureEvent = (Millis, String, String, ExitReason);

/// Truncates a name to 60 characters. Names come from users, and a response must fit into a
/// frame.
fn truncate_name(name: &str) -> String {
    name.chars().take(60).collect()
}

fn from_thousandths(thousandths: i64) -> f64 {
    thousandths as f64 / 1000.0
}

impl Leader {
    pub(super) fn set_reason(&mut self, job_handle: JobHandle, reason: PendingReason) {
        if let Some(job) = self.cluster.job_mut(job_handle) {
            job.reason = reason;
        }
    }

    pub(super) fn note_failure(
        &mut self,
        task: String,
        machine: String,
        reason: ExitReason,
        now: Millis,
    ) {
        self.events.metric_counts.failed += 1;
        if self.events.recent_failures.len() >= MAX_RECENT_FAILURES {
            self.events.recent_failures.pop_front();
        }
        self.events
            .recent_failures
            .push_back((now, task, machine, reason));
    }

    /// Returns the counts accumulated since the last call, and resets them.
    pub fn take_metric_counts(&mut self) -> MetricCounts {
        std::mem::take(&mut self.events.metric_counts)
    }

    fn pending_reason(&self, job: &Job) -> PendingReason {
        if job.readiness != Readiness::Ready {
            return PendingReason::NeedsOthers;
        }
        match (job.reason, job.supply_reason) {
            (PendingReason::NoRoom, Some(supply)) => supply,
            (reason, _) => reason,
        }
    }

    /// Returns the seconds until the job has to be done: by its own deadline or by that of a
    /// job that depends on it, whichever is sooner.
    fn time_to_deadline_s(
        &self,
        handle: JobHandle,
        job: &Job,
        dependent_deadlines: &HashMap<JobHandle, u64>,
    ) -> Option<f64> {
        let own_left_s = job.spec.deadline_s.map(|d| d - self.age_s(job));
        let chain_due = dependent_deadlines.get(&handle);
        let chain_due = chain_due.map(|due| (*due as f64 - self.wall_ms as f64) / 1000.0);
        own_left_s
            .into_iter()
            .chain(chain_due)
            .min_by(f64::total_cmp)
    }

    fn deadline_status(&self, job: &Job, time_left_s: Option<f64>) -> Option<Due> {
        let remaining_s = time_left_s?;
        let must_start = job.waiting_count() > 0 || job.readiness != Readiness::Ready;
        Some(if remaining_s < 0.0 {
            Due::Late
        } else if must_start && remaining_s < job.spec.estimate_s {
            Due::AtRisk
        } else {
            Due::InTime
        })
    }

    fn age_s(&self, job: &Job) -> f64 {
        self.wall_ms.saturating_sub(job.accepted_at_ms) as f64 / 1000.0
    }

    /// Returns the status of the cluster, for the `status` request.
    pub fn cluster_status(&self, now: Millis) -> ClusterStatus {
        let mut status = ClusterStatus {
            term: self.term,
            since_s: (now - self.recovery.elected_at) as f64 / 1000.0,
            settled: self.recovery.settled,
            jobs: self.cluster.live_jobs() as u32,
            groups: self.groups(),
            lent: self.offloaded_jobs_by_market(),
            standbys: self.standbys.status(now),
            took_over: self.recovery.failover.text(),
            failures: self
                .events
                .recent_failures
                .iter()
                .rev()
                .map(|(at, task, machine, why)| TaskFailure {
                    task: task.clone(),
                    machine: machine.clone(),
                    why: why.to_string(),
                    ago_s: (now - at) as f64 / 1000.0,
                })
                .collect(),
            ..ClusterStatus::default()
        };
        for (team, used) in self.cluster.teams.iter().zip(&self.cluster.team_usage) {
            status.teams.push(TeamUsage {
                name: truncate_name(&team.name),
                cpus: from_thousandths(used.cpus),
                gpus: from_thousandths(used.gpus),
                cpus_guaranteed: team.cpus,
                gpus_guaranteed: team.gpus,
                cpus_max: team.cpus_max,
                gpus_max: team.gpus_max,
            });
        }
        // If not all teams can be shown, those that use most are.
        status.teams.sort_by(|a, b| {
            let used = |team: &TeamUsage| team.cpus + team.gpus;
            used(b).total_cmp(&used(a))
        });
        status.teams.truncate(MAX_LIST_ROWS);
        self.add_machine_groups(&mut status, now);
        status
    }

    fn groups(&self) -> Vec<JobGroup> {
        let mut groups: HashMap<(&str, &str), JobGroup> = HashMap::new();
        let dependent_deadlines = self.inherited_deadlines();
        for (handle, job) in self.cluster.jobs.iter() {
            let key = (job.spec.class.as_str(), job.spec.team.as_str());
            let group = groups.entry(key).or_insert_with(|| JobGroup {
                class: truncate_name(&job.spec.class),
                team: truncate_name(&job.spec.team),
                ..JobGroup::default()
            });
            group.running += job.running_count;
            match self.deadline_status(
                job,
                self.time_to_deadline_s(handle, job, &dependent_deadlines),
            ) {
                Some(Due::Late) => group.late_jobs += 1,
                Some(Due::AtRisk) => group.at_risk_jobs += 1,
                _ => {}
            }
            // All unfinished tasks of an offloaded job count as waiting, for its market, as do
            // those of a blocked job, for its dependencies.
            let waiting = match job.offload.is_local() && job.readiness == Readiness::Ready {
                true => job.waiting_count(),
                false => job.spec.tasks - job.completed_count,
            };
            if waiting == 0 || job.cancelled {
                continue;
            }
            group.waiting += waiting;
            group.oldest_wait_s = group.oldest_wait_s.max(self.age_s(job));
            let reason = self.pending_reason(job);
            match group.reasons.iter_mut().find(|(r, _)| *r == reason) {
                Some((_, n)) => *n += waiting,
                None => group.reasons.push((reason, waiting)),
            }
        }
        let mut groups: Vec<JobGroup> = groups.into_values().collect();
        groups.sort_by(|a, b| {
            let key = |group: &JobGroup| (group.class.clone(), group.team.clone());
            b.waiting.cmp(&a.waiting).then(key(a).cmp(&key(b)))
        });
        groups.truncate(MAX_LIST_ROWS);
        groups
    }

    fn add_machine_groups(&self, status: &mut ClusterStatus, now: Millis) {
        let mut groups: Vec<((usize, usize, bool), MachineGroup, f64)> = Vec::new();
        for machine in self.cluster.machines() {
            let key = (machine.type_index, machine.zone, machine.spot);
            let group_index = match groups.iter().position(|(k, ..)| *k == key) {
                Some(group_index) => group_index,
                None => {
                    let group = MachineGroup {
                        type_name: truncate_name(&self.cluster.types[machine.type_index].name),
                        zone: truncate_name(self.cluster.zones.name(machine.zone)),
                        spot: machine.spot,
                        ..MachineGroup::default()
                    };
                    groups.push((key, group, 0.0));
                    groups.len() - 1
                }
            };
            let (_, group, load) = &mut groups[group_index];
            if machine.releasing {
                group.leaving += 1;
            } else if machine.up {
                group.up += 1;
                *load +=
                    placement::load(&machine.capacity, &machine.free(), LoadResource::Scarcest);
            } else if machine.incarnation == 0 && !machine.contents_unknown {
                group.booting += 1;
            }
            let boot_ms = millis(self.cluster.types[machine.type_index].boot_s);
            let reason = if machine.failures.quarantined {
                "set aside: jobs that run elsewhere, or several, fail on it"
            } else if machine.contents_unknown {
                "not heard in this term"
            } else if machine.up && machine.awaits_token_acknowledgement() {
                "reports, but does not get answers or orders"
            } else if machine.overdue {
                "its reports are overdue"
            } else if machine.reclaim_at.is_some() {
                "about to be taken away"
            } else if machine.draining {
                "its services are being moved off"
            } else if !machine.up && machine.incarnation > 0 {
                "silent: its lease has lapsed"
            } else if !machine.up
                && !machine.releasing
                && now > machine.state_since + SLOW_BOOT_FACTOR * boot_ms
            {
                "boots for long"
            } else {
                continue;
            };
            if status.troubles.len() < MAX_LIST_ROWS {
                status.troubles.push(MachineProblem {
                    machine: truncate_name(&machine.name),
                    why: reason.to_owned(),
                });
            }
        }
        for (_, mut group, load) in groups {
            group.load = load / f64::from(group.up.max(1));
            status.fleet.push(group);
        }
        status
            .fleet
            .sort_by(|a, b| (&a.type_name, &a.zone, a.spot).cmp(&(&b.type_name, &b.zone, b.spot)));
        status.fleet.truncate(MAX_LIST_ROWS);
    }

    fn offloaded_jobs_by_market(&self) -> Vec<(String, u32)> {
        let mut jobs_by_market: BTreeMap<&str, u32> = BTreeMap::new();
        for target in self
            .cluster
            .jobs
            .values()
            .filter_map(|j| j.offload.target())
        {
            *jobs_by_market.entry(&target.market).or_default() += 1;
        }
        let rows = jobs_by_market.into_iter().take(MAX_LIST_ROWS);
        rows.map(|(market, jobs)| (truncate_name(market), jobs))
            .collect()
    }

    fn describe_offload(&self, job: &Job) -> Option<String> {
        let target = job.offload.target()?;
        let state = match job.offload {
            OffloadState::Offloading { .. } => "about to be lent to",
            OffloadState::Returning(_) => "coming back from",
            _ => "lent to",
        };
        let market = truncate_name(&target.market);
        Some(format!("{state} market {market}, award {}", target.award))
    }

    fn describe_failures(&self, job: &Job, now: Millis) -> Option<String> {
        let machines = job.failures.failures().len();
        let machine_noun = |n| if n == 1 { "machine" } else { "machines" };
        if job.failures.suspected {
            let where_failed = match machines {
                0 => "as an earlier leader found".to_owned(),
                n => format!("on {n} {} or more", machine_noun(n)),
            };
            let next_retry_s = job
                .failures
                .next_retry_at()
                .saturating_sub(now)
                .div_ceil(1000);
            return Some(format!(
                "suspected: its tasks failed {where_failed} and none has run; the next try in {next_retry_s} s"
            ));
        }
        (machines > 0).then(|| {
            format!(
                "tasks of it failed on {machines} {}, not taken for its own fault",
                machine_noun(machines)
            )
        })
    }

    /// Returns the state of one job, for the `explain` request, or `None` if there is no live
    /// job with this id.
    pub fn explain(&self, id: &str, now: Millis) -> Option<JobExplanation> {
        let handle = self.cluster.job_handle(id)?;
        let job = self.cluster.job(handle)?;
        let waiting = job.waiting_count();
        let (needs, needs_all) = self.unfinished_dependencies(handle, MAX_LISTED_DEPENDENCIES);
        let left_s = self.time_to_deadline_s(handle, job, &self.inherited_deadlines());
        let blocked = !job.offload.is_local() || job.readiness != Readiness::Ready;
        let places = self.cluster.machines().flat_map(|m| {
            let own_tasks = m
                .tasks
                .iter()
                .filter(|assignment| assignment.job == Some(handle));
            own_tasks.map(|assignment| {
                let stop = if assignment.stop.is_requested() {
                    ", to stop"
                } else {
                    ""
                };
                let phase = format!("{}{stop}", assignment.phase);
                (assignment.task, truncate_name(&m.name), phase)
            })
        });
        Some(JobExplanation {
            id: id.to_owned(),
            class: truncate_name(&job.spec.class),
            team: truncate_name(&job.spec.team),
            state: job.status().state.to_string(),
            tasks: job.spec.tasks,
            done: job.completed_count,
            running: job.running_count,
            waiting,
            age_s: self.age_s(job),
            reason: ((waiting > 0 || blocked) && !job.cancelled).then(|| self.pending_reason(job)),
            verdict: self
                .describe_offload(job)
                .or_else(|| self.describe_failures(job, now)),
            due: self.deadline_status(job, left_s),
            left_s,
            deadline_s: job.spec.deadline_s,
            places: places.take(MAX_LIST_ROWS).collect(),
            needs,
            needs_all: needs_all as u32,
        })
    }
}
