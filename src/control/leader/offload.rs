//! Jobs that are offloaded to neighbouring markets: which could be, the mark in
//! their records, and what comes back.

use super::{persistence::WriteBudget, *};
use crate::{
    protocol::market::{Lendable, Marked},
    state::{
        offload::{OffloadState, OffloadTarget},
        records::award_key,
    },
};

impl Leader {
    /// Waiting jobs that a broker may choose from, longest waiting first.
    pub fn lendable(&self, most: usize) -> Vec<Lendable> {
        // Only when it is settled, so that no job is held against each machine.
        if !self.recovery.settled {
            return Vec::new();
        }
        let mut list: Vec<(u32, &Job)> = Vec::new();
        for (ix, j) in self.cluster.jobs.iter().enumerate() {
            if let Some(j) = j
                && j.waiting_count() > 0
                && j.live_count == 0
                && j.spec.kind != Kind::Service
                && !j.cancelled
                && !j.cancel_requested
                && !j.failures.suspected
                && matches!(
                    j.reason,
                    Reason::NoRoom | Reason::TeamLimit | Reason::GangIncomplete
                )
            {
                list.push((ix as u32, j));
            }
        }
        list.sort_by_key(|(ix, j)| (j.accepted_at_ms, *ix));
        let (mut offers, mut bytes) = (Vec::new(), 0);
        for (_, j) in list.into_iter().take(most) {
            let offer = self.offer(j);
            bytes += size(&offer);
            if bytes > MOST_BYTES {
                break;
            }
            offers.push(offer);
        }
        offers
    }

    fn offer(&self, j: &Job) -> Lendable {
        let waited_ms = self.wall_ms.saturating_sub(j.accepted_at_ms);
        let left = j
            .spec
            .deadline_s
            .map(|d| (d * 1000.0) as i64 - waited_ms as i64);
        let coming = j.supply_reason == Some(Reason::MachineBooting);
        Lendable {
            waited_ms,
            left_ms: left,
            here_ms: coming.then(|| millis(j.spec.estimate_s)),
            rent: self.rent_for(j),
            kept: self.guaranteed(j),
            done: ranges(j),
            // All that it needs is done.
            spec: JobSpec {
                dependencies: Vec::new(),
                ..j.spec.clone()
            },
        }
    }

    /// What machines for the job would cost, in millionths of the price
    /// list's unit: its share of the cheapest kind that it may use.
    fn rent_for(&self, j: &Job) -> u64 {
        let share = |need: f64, have: f64| if need > 0.0 { need / have } else { 0.0 };
        let hours = j.spec.estimate_s.max(1.0) / 3600.0;
        let each = self
            .cluster
            .types
            .iter()
            .zip(&j.types)
            .filter(|(t, allowed)| **allowed && t.cpus >= j.spec.cpus && t.gpus >= j.spec.gpus)
            .map(|(t, _)| {
                let part = share(j.spec.cpus, t.cpus)
                    .max(share(j.spec.gpus, t.gpus))
                    .max(share(j.spec.memory_gb, t.memory_gb));
                part * t.price_of(j.spec.spot)
            })
            .fold(f64::INFINITY, f64::min);
        let cost = each * hours * f64::from(j.waiting_count()) * 1e6;
        if cost.is_finite() { cost as u64 } else { 0 }
    }

    /// Whether the job fits into what its team is guaranteed beside what the
    /// team runs.
    fn guaranteed(&self, j: &Job) -> bool {
        let Some((team, used)) = self
            .cluster
            .teams
            .get(j.team)
            .zip(self.cluster.team_usage.get(j.team))
        else {
            return false;
        };
        let mut all = j.need.scaled(i64::from(j.waiting_count()));
        all += *used;
        let within = |used: i64, most: f64| used as f64 <= most * 1000.0;
        within(all.cpus, team.cpus) && within(all.gpus, team.gpus)
    }

    /// Those of a broker's jobs that it is to call back: over, cancelled, or
    /// not marked as its.
    pub fn not_needed(&self, lent: &[(String, u64)]) -> Vec<String> {
        let needed = |id: &str, award: u64| {
            let job = self
                .cluster
                .job_index(id)
                .and_then(|ix| self.cluster.job(ix));
            job.is_some_and(|j| {
                !j.cancelled
                    && !j.cancel_requested
                    && j.offload.target().is_none_or(|l| l.award == award)
            })
        };
        let idle = lent.iter().filter(|(id, award)| !needed(id, *award));
        idle.map(|(id, _)| id.clone()).collect()
    }

    /// Asks for the mark, or how it stands with it. `version`: of the award's
    /// record, which the mark's write is guarded on.
    pub fn lend(&mut self, id: &str, lent: OffloadTarget, version: u64) -> Marked {
        let Some(ix) = self.cluster.job_index(id) else {
            return Marked::No;
        };
        let Some(j) = self.cluster.job(ix) else {
            return Marked::No;
        };
        match &j.offload {
            OffloadState::Offloaded(l) if *l == lent => return Marked::Yes,
            OffloadState::Offloading { target: l, .. } if *l == lent => return Marked::NotYet,
            OffloadState::Local => {}
            OffloadState::Refused(award) if *award != lent.award => {}
            _ => return Marked::No,
        }
        let free = j.live_count == 0
            && j.waiting_count() > 0
            && !j.cancelled
            && !j.cancel_requested
            && !j.ending_in_flight
            && j.spec.kind != Kind::Service
            && self.job_settled(j);
        if !free {
            return Marked::No;
        }
        if let Some(j) = self.cluster.job_mut(ix) {
            j.offload = OffloadState::Offloading {
                target: lent,
                version,
            };
            j.reason = Reason::Lent;
            self.write_queue.offload_changes.push(ix);
            self.changed = true;
        }
        Marked::NotYet
    }

    /// Keeps what is done of a job that comes back, and lifts the mark. Says
    /// whether that is durable, or there is nothing to lift.
    pub fn take_back(&mut self, id: &str, award: u64, done: &[(u32, u32)]) -> bool {
        if done.iter().any(|(first, last)| first > last) {
            return false;
        }
        let Some(ix) = self.cluster.job_index(id) else {
            return true;
        };
        let Some(j) = self.cluster.job_mut(ix) else {
            return true;
        };
        match &j.offload {
            OffloadState::Offloaded(l) if l.award == award => {
                let lent = l.clone();
                // Of a gang all is done or nothing.
                let count: u64 = done.iter().map(|(a, b)| u64::from(b - a) + 1).sum();
                let part = j.spec.kind == Kind::Gang && count < u64::from(j.spec.tasks);
                let done = if part { &[] } else { done };
                for (first, last) in done {
                    for task in *first..=(*last).min(j.spec.tasks.saturating_sub(1)) {
                        j.mark_done(task);
                    }
                }
                j.offload = OffloadState::Returning(lent);
                j.reason = Reason::New;
                self.write_queue.offload_changes.push(ix);
                self.changed = true;
                false
            }
            // The award's end is recorded: the mark's write fails, unless it
            // was applied before.
            OffloadState::Offloading { target: lent, .. } | OffloadState::Returning(lent) => {
                lent.award != award
            }
            _ => true,
        }
    }

    /// Marks to be set, in transactions of their own: a guard on an award that
    /// has ended must not hold up anything else. Of those in one transaction,
    /// the ones that made it fail are known once its keys have been read.
    pub(super) fn plan_offloads(&mut self, room: usize) -> Option<WritePlan> {
        if std::mem::replace(&mut self.write_queue.offloads_went_last, false) {
            return None;
        }
        let mut plan = self.empty_plan();
        let room = room.min(self.settings.cluster.state.always().txn_ops);
        let value_kb = self.settings.cluster.state.always().value_kb;
        let mut bytes = 0;
        for n in 0..self.write_queue.offload_changes.len() {
            let ix = self.write_queue.offload_changes[n];
            let Some(j) = self.cluster.job_mut(ix).filter(|j| !j.write_in_flight) else {
                continue;
            };
            let OffloadState::Offloading {
                target: lent,
                version,
            } = &j.offload
            else {
                continue;
            };
            if plan.txn.writes.len() >= room || bytes > MARK_BYTES {
                break;
            }
            if j.cancel_requested || self.spec_uploads.is_due(j, value_kb) {
                continue;
            }
            let award = Condition {
                key: award_key(&j.id),
                version: *version,
            };
            plan.txn.conditions.push(j.record_condition());
            plan.txn.conditions.push(award);
            let value = persistence::job_record(j, j.cancelled, Some(lent.clone()));
            bytes += value.to_string().len();
            plan.txn.writes.push(Write::Put {
                key: job_key(&j.id),
                value,
                lease: None,
            });
            plan.intents.push(WriteIntent::Offload {
                job: ix,
                id: j.id.clone(),
            });
            j.write_in_flight = true;
        }
        self.write_queue.offload_changes.retain(|ix| {
            self.cluster
                .job(*ix)
                .is_some_and(|j| j.offload.has_pending_change())
        });
        self.write_queue.offloads_went_last = !plan.intents.is_empty();
        (!plan.txn.writes.is_empty()).then_some(plan)
    }

    /// Marks to be lifted, once all that came back is recorded.
    pub(super) fn plan_offload_removals(&mut self, plan: &mut WritePlan, budget: &WriteBudget) {
        let value_kb = self.settings.cluster.state.always().value_kb;
        for n in 0..self.write_queue.offload_changes.len() {
            let ix = self.write_queue.offload_changes[n];
            let Some(j) = self.cluster.job_mut(ix) else {
                continue;
            };
            let due = matches!(j.offload, OffloadState::Returning(_))
                && !j.write_in_flight
                && !j.is_dirty()
                && !j.is_complete()
                && !j.cancelled
                && !self.spec_uploads.is_due(j, value_kb);
            if due && budget.has_write(plan) {
                plan.txn.conditions.push(j.record_condition());
                plan.txn.writes.push(Write::Put {
                    key: job_key(&j.id),
                    value: persistence::job_record(j, false, None),
                    lease: None,
                });
                plan.intents.push(WriteIntent::EndOffload {
                    job: ix,
                    id: j.id.clone(),
                });
                j.write_in_flight = true;
            }
        }
    }

    /// The award's record as it stands: once it has another version, the mark
    /// can't be set any more.
    pub(super) fn award_seen(&mut self, id: &str, found: u64) {
        if let Some(j) = self
            .cluster
            .job_index(id)
            .and_then(|ix| self.cluster.job_mut(ix))
            && let OffloadState::Offloading { version, .. } = j.offload
            && version != found
        {
            j.offload.mark_refused();
            j.reason = Reason::New;
        }
    }
}

/// Of a transaction's 64 KiB, so that one more record and the guards fit.
const MARK_BYTES: usize = 32 * 1024;
/// An answer must fit a frame, whatever names users chose.
const MOST_BYTES: usize = 64 * 1024;

/// About what an offer takes in a frame.
fn size(o: &Lendable) -> usize {
    let types = o.spec.types.iter().flatten();
    let names = types.map(|t| t.len() + 4).sum::<usize>()
        + o.spec.class.len()
        + o.spec.team.len()
        + o.spec.image.len()
        + o.spec.zone.as_ref().map_or(0, String::len);
    500 + names + o.done.len() * 12
}

/// Finished tasks as sorted ranges, both ends included.
fn ranges(j: &Job) -> Vec<(u32, u32)> {
    let mut list: Vec<(u32, u32)> = Vec::new();
    if j.completed_count == 0 {
        return list;
    }
    for n in (0..j.spec.tasks).filter(|n| j.completed.get(*n)) {
        match list.last_mut() {
            Some((_, last)) if *last + 1 == n => *last = n,
            _ => list.push((n, n)),
        }
    }
    list
}
