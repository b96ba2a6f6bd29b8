//! Offloading of jobs to the markets of neighbouring clusters: which jobs may be offloaded,
//! the offload target in their records, and the jobs that come back.
//!
//! Decides which jobs are offered, and plans the writes that record or remove an offload
//! target. Called by the market client through the control loop, and by persistence. A task
//! of a job whose record may name a target must never be started on this cluster, and an
//! offload must never be confirmed before its target is recorded.

use super::{
    Leader, millis,
    persistence::{self, WriteBudget, WriteIntent, WritePlan},
};
use crate::{
    protocol::{
        market::{OffloadCandidate, OffloadMark},
        state::{Condition, Write},
        status::PendingReason,
        users::{JobSpec, Kind},
    },
    state::{
        cluster::{Job, JobHandle},
        offload::{OffloadState, OffloadTarget},
        records::{award_key, job_key},
    },
};

/// Size in bytes of the job records in a transaction after which no more targets are added.
/// A transaction is limited to 64 KiB; one more record and the conditions must fit.
const MAX_OFFLOAD_PLAN_BYTES: usize = 32 * 1024;
/// Maximum size in bytes of the offers in one answer, so that the answer fits a frame
/// whatever the length of the names that users chose.
const MAX_OFFER_BYTES: usize = 64 * 1024;
/// Size in bytes of an offer in a frame without its names and ranges.
const OFFER_OVERHEAD_BYTES: usize = 500;
/// Size in bytes of one range of completed tasks in a frame.
const RANGE_BYTES: usize = 12;
/// Size in bytes that the name of a machine type takes in a frame in addition to its text.
const NAME_OVERHEAD_BYTES: usize = 4;
/// Factor from the price list's unit to millionths of that unit.
const PRICE_SCALE: f64 = 1e6;

impl Leader {
    /// Returns at most `max_offers` waiting jobs that the market client may offload, longest
    /// waiting first. Empty until recovery has settled.
    pub fn offload_candidates(&self, max_offers: usize) -> Vec<OffloadCandidate> {
        // Before recovery has settled, tasks of a job may still run on a machine that has
        // sent no heartbeat.
        if !self.recovery.settled {
            return Vec::new();
        }
        let jobs = self.cluster.jobs.iter();
        let mut candidates: Vec<(JobHandle, &Job)> =
            jobs.filter(|(_, job)| may_be_offered(job)).collect();
        candidates.sort_by_key(|(handle, job)| (job.accepted_at_ms, *handle));
        let (mut offers, mut bytes) = (Vec::new(), 0);
        for (_, job) in candidates.into_iter().take(max_offers) {
            let offer = self.offer(job);
            bytes += offer_bytes(&offer);
            if bytes > MAX_OFFER_BYTES {
                break;
            }
            offers.push(offer);
        }
        offers
    }

    fn offer(&self, job: &Job) -> OffloadCandidate {
        let waited_ms = self.wall_ms.saturating_sub(job.accepted_at_ms);
        let left_ms = job
            .spec
            .deadline_s
            .map(|deadline_s| (deadline_s * 1000.0) as i64 - waited_ms as i64);
        let machine_coming = job.supply_reason == Some(PendingReason::MachineBooting);
        OffloadCandidate {
            waited_ms,
            left_ms,
            here_ms: machine_coming.then(|| millis(job.spec.estimate_s)),
            rent: self.cost_of_machines(job),
            kept: self.fits_guarantee(job),
            done: completed_ranges(job),
            // A waiting job's dependencies are all done.
            spec: JobSpec {
                dependencies: Vec::new(),
                ..job.spec.clone()
            },
        }
    }

    /// Returns what machines for the job's waiting tasks would cost, in millionths of the
    /// price list's unit: their share of the cheapest machine type that the job may use,
    /// for the estimated run time. 0 if no machine type fits.
    fn cost_of_machines(&self, job: &Job) -> u64 {
        let spec = &job.spec;
        let share = |need: f64, have: f64| if need > 0.0 { need / have } else { 0.0 };
        let hours = spec.estimate_s.max(1.0) / 3600.0;
        let task_hour = self
            .cluster
            .types
            .iter()
            .zip(&job.types)
            .filter(|(offered, allowed)| {
                **allowed && offered.cpus >= spec.cpus && offered.gpus >= spec.gpus
            })
            .map(|(offered, _)| {
                let largest_share = share(spec.cpus, offered.cpus)
                    .max(share(spec.gpus, offered.gpus))
                    .max(share(spec.memory_gb, offered.memory_gb));
                largest_share * offered.price_of(spec.spot)
            })
            .fold(f64::INFINITY, f64::min);
        let cost = task_hour * hours * f64::from(job.waiting_count()) * PRICE_SCALE;
        if cost.is_finite() { cost as u64 } else { 0 }
    }

    /// Whether the job's waiting tasks fit the guarantee of its team in addition to the tasks
    /// that the team runs.
    fn fits_guarantee(&self, job: &Job) -> bool {
        let teams = self.cluster.teams.get(job.team);
        let Some((team, used)) = teams.zip(self.cluster.team_usage.get(job.team)) else {
            return false;
        };
        let mut total = job.need.scaled(i64::from(job.waiting_count()));
        total += *used;
        let within = |total: i64, guaranteed: f64| total as f64 <= guaranteed * 1000.0;
        within(total.cpus, team.cpus) && within(total.gpus, team.gpus)
    }

    /// Returns the offloaded jobs that the market client is to call back, of the given jobs
    /// and awards: jobs that are over, cancelled, or offloaded under another award.
    pub fn jobs_to_call_back(&self, offloaded: &[(String, u64)]) -> Vec<String> {
        let needed = |id: &str, award: u64| {
            let job = self
                .cluster
                .job_handle(id)
                .and_then(|handle| self.cluster.job(handle));
            job.is_some_and(|job| {
                !job.cancelled
                    && !job.cancel_requested
                    && job.offload.target().is_none_or(|t| t.award == award)
            })
        };
        let unneeded = offloaded.iter().filter(|(id, award)| !needed(id, *award));
        unneeded.map(|(id, _)| id.clone()).collect()
    }

    /// Requests that the offload target is recorded, and returns whether it is recorded. The
    /// write is conditional on `version`, the version of the award's record.
    pub fn request_offload(
        &mut self,
        id: &str,
        target: OffloadTarget,
        version: u64,
    ) -> OffloadMark {
        let Some(handle) = self.cluster.job_handle(id) else {
            return OffloadMark::No;
        };
        let Some(job) = self.cluster.job(handle) else {
            return OffloadMark::No;
        };
        match &job.offload {
            OffloadState::Offloaded(known) if *known == target => return OffloadMark::Yes,
            OffloadState::Offloading { target: known, .. } if *known == target => {
                return OffloadMark::NotYet;
            }
            OffloadState::Local => {}
            OffloadState::Refused(award) if *award != target.award => {}
            _ => return OffloadMark::No,
        }
        let may_leave = !job.has_live_attempts()
            && job.waiting_count() > 0
            && !job.end_requested()
            && job.spec.kind != Kind::Service
            && self.job_settled(job);
        if !may_leave {
            return OffloadMark::No;
        }
        if let Some(job) = self.cluster.job_mut(handle) {
            job.offload = OffloadState::Offloading { target, version };
            job.reason = PendingReason::Lent;
            self.write_queue.offload_changes.push(handle);
            self.changed = true;
        }
        OffloadMark::NotYet
    }

    /// Marks the completed tasks of a job that comes back, given as ranges with both ends
    /// included, and requests the removal of its target. Returns whether the removal is
    /// durable or there is nothing to remove.
    pub fn return_offloaded_job(&mut self, id: &str, award: u64, completed: &[(u32, u32)]) -> bool {
        if completed.iter().any(|(first, last)| first > last) {
            return false;
        }
        let Some(handle) = self.cluster.job_handle(id) else {
            return true;
        };
        let Some(job) = self.cluster.job_mut(handle) else {
            return true;
        };
        match &job.offload {
            OffloadState::Offloaded(target) if target.award == award => {
                let target = target.clone();
                mark_completed_ranges(job, completed);
                job.offload = OffloadState::Returning(target);
                job.reason = PendingReason::New;
                self.write_queue.offload_changes.push(handle);
                self.changed = true;
                false
            }
            // The end of the award is recorded, so the write of the target fails unless it was
            // applied before.
            OffloadState::Offloading { target, .. } | OffloadState::Returning(target) => {
                target.award != award
            }
            _ => true,
        }
    }

    /// Plans a transaction that records pending offload targets. Targets are written in
    /// transactions of their own, so that a condition on an award that has ended does not
    /// hold up other writes. Which condition made a transaction fail is known once its keys
    /// have been read.
    pub(super) fn plan_offloads(&mut self, max_writes: usize) -> Option<WritePlan> {
        // Transactions of offload targets alternate with other writes.
        if std::mem::replace(&mut self.write_queue.offloads_went_last, false) {
            return None;
        }
        let mut plan = self.empty_plan();
        let limits = self.settings.cluster.state.strictest();
        let max_writes = max_writes.min(limits.txn_ops);
        let value_kb = limits.value_kb;
        let mut bytes = 0;
        for handle in &self.write_queue.offload_changes {
            let job = self.cluster.job_mut(*handle);
            let Some(job) = job.filter(|job| !job.write_in_flight) else {
                continue;
            };
            let OffloadState::Offloading { target, version } = &job.offload else {
                continue;
            };
            if plan.txn.writes.len() >= max_writes || bytes > MAX_OFFLOAD_PLAN_BYTES {
                break;
            }
            if job.cancel_requested || self.spec_uploads.is_due(job, value_kb) {
                continue;
            }
            plan.txn.conditions.push(job.record_condition());
            plan.txn.conditions.push(Condition {
                key: award_key(&job.id),
                version: *version,
            });
            let value = persistence::job_record(job, job.cancelled, Some(target.clone()));
            bytes += value.to_string().len();
            plan.txn.writes.push(Write::Put {
                key: job_key(&job.id),
                value,
                lease: None,
            });
            plan.intents.push(WriteIntent::Offload { job: *handle });
            job.write_in_flight = true;
        }
        self.write_queue.offload_changes.retain(|handle| {
            let job = self.cluster.job(*handle);
            job.is_some_and(|job| job.offload.has_pending_change())
        });
        self.write_queue.offloads_went_last = !plan.intents.is_empty();
        (!plan.txn.writes.is_empty()).then_some(plan)
    }

    /// Adds writes that remove the targets of returned jobs whose completed tasks are recorded.
    pub(super) fn plan_offload_removals(&mut self, plan: &mut WritePlan, budget: &WriteBudget) {
        let value_kb = self.settings.cluster.state.strictest().value_kb;
        for handle in &self.write_queue.offload_changes {
            let Some(job) = self.cluster.job_mut(*handle) else {
                continue;
            };
            let due = matches!(job.offload, OffloadState::Returning(_))
                && !job.write_in_flight
                && !job.is_dirty()
                && !job.is_complete()
                && !job.cancelled
                && !self.spec_uploads.is_due(job, value_kb);
            if due && budget.has_write(plan) {
                plan.txn.conditions.push(job.record_condition());
                plan.txn.writes.push(Write::Put {
                    key: job_key(&job.id),
                    value: persistence::job_record(job, false, None),
                    lease: None,
                });
                plan.intents.push(WriteIntent::EndOffload { job: *handle });
                job.write_in_flight = true;
            }
        }
    }

    /// Handles the version of an award's record as it was read. If it differs from the version
    /// on which the target's write is conditional, the target can't be recorded any more and
    /// the offload is refused.
    pub(super) fn check_award_version(&mut self, id: &str, found_version: u64) {
        if let Some(job) = self
            .cluster
            .job_handle(id)
            .and_then(|handle| self.cluster.job_mut(handle))
            && let OffloadState::Offloading { version, .. } = job.offload
            && version != found_version
        {
            job.offload.mark_refused();
            job.reason = PendingReason::New;
        }
    }
}

/// Whether the job is not started and waits only for capacity or quota.
fn may_be_offered(job: &Job) -> bool {
    job.waiting_count() > 0
        && !job.has_live_attempts()
        && job.spec.kind != Kind::Service
        && !job.end_requested()
        && !job.failures.suspected
        && matches!(
            job.reason,
            PendingReason::NoRoom | PendingReason::TeamLimit | PendingReason::GangIncomplete
        )
}

/// Returns the approximate size of an offer in a frame, in bytes.
fn offer_bytes(offer: &OffloadCandidate) -> usize {
    let spec = &offer.spec;
    let types = spec.types.iter().flatten();
    let names = types
        .map(|name| name.len() + NAME_OVERHEAD_BYTES)
        .sum::<usize>()
        + spec.class.len()
        + spec.team.len()
        + spec.image.len()
        + spec.zone.as_ref().map_or(0, String::len);
    OFFER_OVERHEAD_BYTES + names + offer.done.len() * RANGE_BYTES
}

/// Returns the completed tasks of a job as sorted ranges, both ends included.
fn completed_ranges(job: &Job) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    if job.completed_count == 0 {
        return ranges;
    }
    for task in (0..job.spec.tasks).filter(|task| job.completed.get(*task)) {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == task => *last = task,
            _ => ranges.push((task, task)),
        }
    }
    ranges
}

/// Marks the tasks in these ranges as done. For a gang, does nothing unless the ranges cover
/// all of its tasks.
fn mark_completed_ranges(job: &mut Job, ranges: &[(u32, u32)]) {
    let tasks: u64 = ranges
        .iter()
        .map(|(first, last)| u64::from(last - first) + 1)
        .sum();
    if job.spec.kind == Kind::Gang && tasks < u64::from(job.spec.tasks) {
        return;
    }
    for (first, last) in ranges {
        for task in *first..=(*last).min(job.spec.tasks.saturating_sub(1)) {
            job.mark_done(task);
        }
    }
}
