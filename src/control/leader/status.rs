//! Status for operators and figures for metrics, computed only when asked for.
//!
//! Owns `Events` and `Tally`. Called by the request handlers and the metrics loop.
//! Answers must fit a frame, so names are clipped and rows limited. It must never change
//! a decision.

use super::{Leader, millis};
use crate::{
    control::placement,
    options::LoadResource,
    protocol::{
        status::{
            ClusterStatus, Due, JobExplanation, JobGroup, MOST_ROWS, MachineGroup, MachineProblem,
            PendingReason, TaskFailure, TeamUsage,
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

/// Events of this term, for operators and for fault attribution.
#[derive(Default)]
pub(super) struct Events {
    pub(super) tally: Tally,
    pub(super) recent_failures: VecDeque<Failed>,
    /// Jobs of which a task failed and none has run.
    pub(super) suspects: Vec<JobHandle>,
}

/// Recent failures kept for operators.
const FAILURES: usize = 20;
/// Unfinished dependencies that are listed one by one.
const NEEDS: usize = 20;
/// A machine that boots for so many times its usual boot time is listed.
const SLOW_BOOT: u64 = 3;

/// Counts since they were last taken, for metrics.
#[derive(Debug, Default)]
pub struct Tally {
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks stopped for other work.
    pub preempted: u64,
    /// Machines that the cloud added.
    pub rented: u64,
    /// Machines that the cloud deleted.
    pub released: u64,
    /// Class, and seconds from acceptance to a task's first run.
    pub waits: Vec<(String, f64)>,
    /// Finished phases of the recovery, and their seconds.
    pub phases: Vec<(&'static str, f64)>,
    /// How this leader took over: `warm`, or why not.
    pub took_over: Option<&'static str>,
    /// Jobs cancelled as a job that they depend on was.
    pub cancelled_with_dependency: u64,
    /// Start commands sent.
    pub starts: u64,
    /// Stop commands sent.
    pub stops: u64,
}

/// A task that failed: when, which, where, why.
pub(super) type Failed = (Millis, String, String, ExitReason);

/// Names come from the users: answers must stay within a frame.
fn clipped(name: &str) -> String {
    name.chars().take(60).collect()
}

fn units(v: i64) -> f64 {
    v as f64 / 1000.0
}

impl Leader {
    pub(super) fn set_reason(&mut self, job_handle: JobHandle, reason: PendingReason) {
        if let Some(j) = self.cluster.job_mut(job_handle) {
            j.reason = reason;
        }
    }

    pub(super) fn note_failure(
        &mut self,
        task: String,
        machine: String,
        why: ExitReason,
        now: Millis,
    ) {
        self.events.tally.failed += 1;
        if self.events.recent_failures.len() >= FAILURES {
            self.events.recent_failures.pop_front();
        }
        self.events
            .recent_failures
            .push_back((now, task, machine, why));
    }

    /// The counts since the last call.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.events.tally)
    }

    fn reason_of(&self, job: &Job) -> PendingReason {
        if job.readiness != Readiness::Ready {
            return PendingReason::NeedsOthers;
        }
        match (job.reason, job.supply_reason) {
            (PendingReason::NoRoom, Some(supply)) => supply,
            (reason, _) => reason,
        }
    }

    /// Seconds until it has to be done: by its own deadline, or by that of a job that
    /// depends on it, whichever is sooner.
    fn left_s(
        &self,
        handle: JobHandle,
        job: &Job,
        in_chains: &HashMap<JobHandle, u64>,
    ) -> Option<f64> {
        let own = job.spec.deadline_s.map(|d| d - self.age_s(job));
        let chain = in_chains.get(&handle);
        let chain = chain.map(|due| (*due as f64 - self.wall_ms as f64) / 1000.0);
        own.into_iter().chain(chain).min_by(f64::total_cmp)
    }

    fn due_of(&self, job: &Job, left_s: Option<f64>) -> Option<Due> {
        let left = left_s?;
        let starts = job.waiting_count() > 0 || job.readiness != Readiness::Ready;
        Some(if left < 0.0 {
            Due::Late
        } else if starts && left < job.spec.estimate_s {
            Due::AtRisk
        } else {
            Due::InTime
        })
    }

    fn age_s(&self, job: &Job) -> f64 {
        self.wall_ms.saturating_sub(job.accepted_at_ms) as f64 / 1000.0
    }

    /// The status of the cluster, for `status`.
    pub fn picture(&self, now: Millis) -> ClusterStatus {
        let mut picture = ClusterStatus {
            term: self.term,
            since_s: (now - self.recovery.elected_at) as f64 / 1000.0,
            settled: self.recovery.settled,
            jobs: self.cluster.live_jobs() as u32,
            groups: self.groups(),
            lent: self.at_markets(),
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
        for (t, used) in self.cluster.teams.iter().zip(&self.cluster.team_usage) {
            picture.teams.push(TeamUsage {
                name: clipped(&t.name),
                cpus: units(used.cpus),
                gpus: units(used.gpus),
                cpus_guaranteed: t.cpus,
                gpus_guaranteed: t.gpus,
                cpus_max: t.cpus_max,
                gpus_max: t.gpus_max,
            });
        }
        // Those that use most, where not all can be shown.
        picture.teams.sort_by(|a, b| {
            let used = |t: &TeamUsage| t.cpus + t.gpus;
            used(b).total_cmp(&used(a))
        });
        picture.teams.truncate(MOST_ROWS);
        self.fleet(&mut picture, now);
        picture
    }

    fn groups(&self) -> Vec<JobGroup> {
        let mut groups: HashMap<(&str, &str), JobGroup> = HashMap::new();
        let in_chains = self.inherited_deadlines();
        for (handle, j) in self.cluster.jobs.iter() {
            let key = (j.spec.class.as_str(), j.spec.team.as_str());
            let g = groups.entry(key).or_insert_with(|| JobGroup {
                class: clipped(&j.spec.class),
                team: clipped(&j.spec.team),
                ..JobGroup::default()
            });
            g.running += j.running_count;
            match self.due_of(j, self.left_s(handle, j, &in_chains)) {
                Some(Due::Late) => g.late_jobs += 1,
                Some(Due::AtRisk) => g.at_risk_jobs += 1,
                _ => {}
            }
            // What is offloaded waits as well, for its market, and what is blocked waits
            // for its dependencies.
            let waiting = match j.offload.is_local() && j.readiness == Readiness::Ready {
                true => j.waiting_count(),
                false => j.spec.tasks - j.completed_count,
            };
            if waiting == 0 || j.cancelled {
                continue;
            }
            g.waiting += waiting;
            g.oldest_wait_s = g.oldest_wait_s.max(self.age_s(j));
            let reason = self.reason_of(j);
            match g.reasons.iter_mut().find(|(r, _)| *r == reason) {
                Some((_, n)) => *n += waiting,
                None => g.reasons.push((reason, waiting)),
            }
        }
        let mut groups: Vec<JobGroup> = groups.into_values().collect();
        groups.sort_by(|a, b| {
            let key = |g: &JobGroup| (g.class.clone(), g.team.clone());
            b.waiting.cmp(&a.waiting).then(key(a).cmp(&key(b)))
        });
        groups.truncate(MOST_ROWS);
        groups
    }

    fn fleet(&self, picture: &mut ClusterStatus, now: Millis) {
        let mut kinds: Vec<((usize, usize, bool), MachineGroup, f64)> = Vec::new();
        for m in self.cluster.each_machine() {
            let key = (m.type_ix, m.zone, m.spot);
            let at = match kinds.iter().position(|(k, ..)| *k == key) {
                Some(at) => at,
                None => {
                    let fleet = MachineGroup {
                        type_name: clipped(&self.cluster.types[m.type_ix].name),
                        zone: clipped(self.cluster.zones.name(m.zone)),
                        spot: m.spot,
                        ..MachineGroup::default()
                    };
                    kinds.push((key, fleet, 0.0));
                    kinds.len() - 1
                }
            };
            let (_, fleet, load) = &mut kinds[at];
            if m.releasing {
                fleet.leaving += 1;
            } else if m.up {
                fleet.up += 1;
                *load += placement::load(&m.capacity, &m.free(), LoadResource::Scarcest);
            } else if m.incarnation == 0 && !m.contents_unknown {
                fleet.booting += 1;
            }
            let boot = millis(self.cluster.types[m.type_ix].boot_s);
            let why = if m.failures.quarantined {
                "set aside: jobs that run elsewhere, or several, fail on it"
            } else if m.contents_unknown {
                "not heard in this term"
            } else if m.up && m.misses_responses() {
                "reports, but does not get answers or orders"
            } else if m.overdue {
                "its reports are overdue"
            } else if m.reclaim_at.is_some() {
                "about to be taken away"
            } else if m.draining {
                "its services are being moved off"
            } else if !m.up && m.incarnation > 0 {
                "silent: its lease has lapsed"
            } else if !m.up && !m.releasing && now > m.state_since + SLOW_BOOT * boot {
                "boots for long"
            } else {
                continue;
            };
            if picture.troubles.len() < MOST_ROWS {
                picture.troubles.push(MachineProblem {
                    machine: clipped(&m.name),
                    why: why.to_owned(),
                });
            }
        }
        for (_, mut fleet, load) in kinds {
            fleet.load = load / f64::from(fleet.up.max(1));
            picture.fleet.push(fleet);
        }
        picture
            .fleet
            .sort_by(|a, b| (&a.type_name, &a.zone, a.spot).cmp(&(&b.type_name, &b.zone, b.spot)));
        picture.fleet.truncate(MOST_ROWS);
    }

    fn at_markets(&self) -> Vec<(String, u32)> {
        let mut list: BTreeMap<&str, u32> = BTreeMap::new();
        for lent in self
            .cluster
            .jobs
            .values()
            .filter_map(|j| j.offload.target())
        {
            *list.entry(&lent.market).or_default() += 1;
        }
        let rows = list.into_iter().take(MOST_ROWS);
        rows.map(|(market, jobs)| (clipped(market), jobs)).collect()
    }

    fn lent_to(&self, job: &Job) -> Option<String> {
        let lent = job.offload.target()?;
        let how = match job.offload {
            OffloadState::Offloading { .. } => "about to be lent to",
            OffloadState::Returning(_) => "coming back from",
            _ => "lent to",
        };
        let market = clipped(&lent.market);
        Some(format!("{how} market {market}, award {}", lent.award))
    }

    fn verdict_on(&self, job: &Job, now: Millis) -> Option<String> {
        let machines = job.failures.failures().len();
        let times = |n| if n == 1 { "machine" } else { "machines" };
        if job.failures.suspected {
            let of = match machines {
                0 => "as an earlier leader found".to_owned(),
                n => format!("on {n} {} or more", times(n)),
            };
            let next = job
                .failures
                .next_retry_at()
                .saturating_sub(now)
                .div_ceil(1000);
            return Some(format!(
                "suspected: its tasks failed {of} and none has run; the next try in {next} s"
            ));
        }
        (machines > 0).then(|| {
            format!(
                "tasks of it failed on {machines} {}, not taken for its own fault",
                times(machines)
            )
        })
    }

    /// The state of one job, for `explain`. `None`: not a live job.
    pub fn explain(&self, id: &str, now: Millis) -> Option<JobExplanation> {
        let handle = self.cluster.job_handle(id)?;
        let j = self.cluster.job(handle)?;
        let waiting = j.waiting_count();
        let (needs, needs_all) = self.unfinished_dependencies(handle, NEEDS);
        let left_s = self.left_s(handle, j, &self.inherited_deadlines());
        let held = !j.offload.is_local() || j.readiness != Readiness::Ready;
        let places = self.cluster.each_machine().flat_map(|m| {
            let own = m.tasks.iter().filter(|a| a.job == Some(handle));
            own.map(|a| {
                let stop = if a.stop_grace_s.is_some() {
                    ", to stop"
                } else {
                    ""
                };
                let phase = format!("{}{stop}", a.phase);
                (a.task, clipped(&m.name), phase)
            })
        });
        Some(JobExplanation {
            id: id.to_owned(),
            class: clipped(&j.spec.class),
            team: clipped(&j.spec.team),
            state: j.status().state.to_string(),
            tasks: j.spec.tasks,
            done: j.completed_count,
            running: j.running_count,
            waiting,
            age_s: self.age_s(j),
            reason: ((waiting > 0 || held) && !j.cancelled).then(|| self.reason_of(j)),
            verdict: self.lent_to(j).or_else(|| self.verdict_on(j, now)),
            due: self.due_of(j, left_s),
            left_s,
            deadline_s: j.spec.deadline_s,
            places: places.take(MOST_ROWS).collect(),
            needs,
            needs_all: needs_all as u32,
        })
    }
}
