//! Decides which waiting jobs may be offloaded to other clusters.

use crate::{Millis, Money, options::Options, ranges::Ranges, wire::Slot};
use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Array,
    Gang,
    Service,
}

/// A waiting job as described by the home's leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    pub job: String,
    pub class: String,
    pub team: String,
    pub kind: Kind,
    pub tasks: u32,
    pub done: Ranges,
    pub slot: Slot,
    pub image: String,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub waited_ms: Millis,
    /// Time until the job's deadline, if it has one; negative if it has passed.
    pub left_ms: Option<i64>,
    /// Expected time until the job has finished at home; absent: unknown.
    pub here_ms: Option<Millis>,
    /// Cost of renting machines for the job at home, in millionths of the price
    /// list's unit.
    pub rent: Money,
    /// Number of tasks that are, or may be, on machines of the home cluster.
    pub placed: u32,
    /// Whether a guarantee or an objective relies on the job's being started at home.
    pub kept: bool,
}

/// Why a waiting job is not offloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotLendable {
    Service,
    Class,
    /// Some of its tasks are, or may be, on machines of the home cluster.
    Placed,
    Guaranteed,
    /// It is expected to finish in time at home.
    InTime,
    WaitedTooLittle,
    /// Its CPUs belong to the minimum of waiting work kept for the home's machines.
    Floor,
    /// The maximum number of jobs is already offloaded.
    Enough,
    /// Its team has no budget left, or no rent is known for it.
    NoBudget,
}

impl fmt::Display for NotLendable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotLendable::Service => "services are never offloaded",
            NotLendable::Class => "its class may not be offloaded",
            NotLendable::Placed => "some of its tasks run at home",
            NotLendable::Guaranteed => "its team's guarantee applies at home",
            NotLendable::InTime => "expected to finish in time at home",
            NotLendable::WaitedTooLittle => "has not waited long enough",
            NotLendable::Floor => "kept as work for the home's own machines",
            NotLendable::Enough => "the maximum number of jobs is offloaded",
            NotLendable::NoBudget => "its team has no budget",
        })
    }
}

impl WaitingJob {
    /// Returns the number of tasks that have not finished.
    pub fn remaining_tasks(&self) -> u32 {
        self.tasks.saturating_sub(self.done.count())
    }

    fn remaining_cpus(&self) -> f64 {
        f64::from(self.remaining_tasks()) * self.slot.cpus
    }

    /// Returns the reason why this job stays, as far as it does not depend on other
    /// jobs or budgets.
    fn reason_to_stay(&self, options: &Options) -> Option<NotLendable> {
        if self.kind == Kind::Service {
            return Some(NotLendable::Service);
        }
        if !options.classes.contains(&self.class) {
            return Some(NotLendable::Class);
        }
        // Gangs and arrays are offloaded only as a whole: the tasks of a job
        // must not run in two places.
        if self.placed > 0 {
            return Some(NotLendable::Placed);
        }
        if self.kept {
            return Some(NotLendable::Guaranteed);
        }
        let in_time = match (self.left_ms, self.here_ms) {
            (Some(left_ms), Some(finish_ms)) => finish_ms as i64 <= left_ms,
            (None, Some(finish_ms)) => finish_ms <= options.min_wait_ms,
            (_, None) => false,
        };
        if in_time {
            return Some(NotLendable::InTime);
        }
        (self.waited_ms < options.min_wait_ms).then_some(NotLendable::WaitedTooLittle)
    }
}

/// Splits the waiting jobs into those to be offloaded, most urgent first, and
/// those that stay, with the reason. `offloaded`: number of jobs offloaded
/// already; `remaining_budget`: what a team may still spend.
pub fn choose<'a>(
    waiting: &'a [WaitingJob],
    offloaded: usize,
    remaining_budget: impl Fn(&str) -> Money,
    options: &Options,
) -> (Vec<&'a WaitingJob>, Vec<(&'a str, NotLendable)>) {
    let (mut chosen, mut staying) = (Vec::new(), Vec::new());
    let mut waiting_cpus: f64 = waiting.iter().map(WaitingJob::remaining_cpus).sum();
    let mut by_urgency: Vec<&WaitingJob> = waiting.iter().collect();
    // The jobs with the least time to their deadline come first.
    by_urgency.sort_by_key(|job| {
        (
            job.left_ms.unwrap_or(i64::MAX),
            std::cmp::Reverse(job.waited_ms),
        )
    });
    for job in by_urgency {
        let reason = job.reason_to_stay(options).or_else(|| {
            if remaining_budget(&job.team) == 0 || job.rent == 0 {
                Some(NotLendable::NoBudget)
            } else if offloaded + chosen.len() >= options.max_jobs {
                Some(NotLendable::Enough)
            } else if waiting_cpus - job.remaining_cpus() < options.local_floor_cpus {
                Some(NotLendable::Floor)
            } else {
                None
            }
        });
        match reason {
            Some(reason) => staying.push((job.job.as_str(), reason)),
            None => {
                waiting_cpus -= job.remaining_cpus();
                chosen.push(job);
            }
        }
    }
    (chosen, staying)
}

#[cfg(test)]
mod tests;
