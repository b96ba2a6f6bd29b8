//! Which waiting jobs are offered to other clusters.

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

/// A job as the leader tells of it.
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
    /// Until its deadline, if it has one; below zero: passed.
    pub left_ms: Option<i64>,
    /// When it is expected to be done here; absent: nobody knows.
    pub here_ms: Option<Millis>,
    /// What renting for it here would cost, in millionths.
    pub rent: Money,
    /// Tasks that are, or may be, on machines here.
    pub placed: u32,
    /// Someone's guarantee or aim counts on its being started here.
    pub kept: bool,
}

/// Why a job stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotLendable {
    Service,
    Class,
    /// Some of it is, or may be, on a machine here.
    Placed,
    Guaranteed,
    /// It is expected to make its aims here.
    InTime,
    WaitedTooLittle,
    /// The floor of work that stays for the machines here.
    Floor,
    /// As many as allowed are offloaded.
    Enough,
    /// Its team may not spend anything.
    NoBudget,
}

impl fmt::Display for NotLendable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotLendable::Service => "services are never lent",
            NotLendable::Class => "its class is not lent",
            NotLendable::Placed => "some of it runs here",
            NotLendable::Guaranteed => "its team's guarantee covers it",
            NotLendable::InTime => "expected in time here",
            NotLendable::WaitedTooLittle => "has not waited long enough",
            NotLendable::Floor => "kept as work for the machines here",
            NotLendable::Enough => "as many jobs as allowed are lent",
            NotLendable::NoBudget => "its team has no budget",
        })
    }
}

impl WaitingJob {
    pub fn left(&self) -> u32 {
        self.tasks.saturating_sub(self.done.count())
    }

    fn cpus(&self) -> f64 {
        f64::from(self.left()) * self.slot.cpus
    }

    /// What can be said of the job alone.
    fn stays(&self, o: &Options) -> Option<NotLendable> {
        if self.kind == Kind::Service {
            return Some(NotLendable::Service);
        }
        if !o.classes.contains(&self.class) {
            return Some(NotLendable::Class);
        }
        // Never half a gang, and an array only whole: a job's tasks are in
        // one place or in none.
        if self.placed > 0 {
            return Some(NotLendable::Placed);
        }
        if self.kept {
            return Some(NotLendable::Guaranteed);
        }
        let in_time = match (self.left_ms, self.here_ms) {
            (Some(left), Some(here)) => here as i64 <= left,
            (None, Some(here)) => here <= o.min_wait_ms,
            (_, None) => false,
        };
        if in_time {
            return Some(NotLendable::InTime);
        }
        (self.waited_ms < o.min_wait_ms).then_some(NotLendable::WaitedTooLittle)
    }
}

/// Splits what waits into jobs to be offloaded, most urgent first, and jobs that
/// stay, with the reason. `offloaded`: jobs that are offloaded already; `money`: what a
/// team may still spend.
pub fn choose<'a>(
    waiting: &'a [WaitingJob],
    lent: usize,
    money: impl Fn(&str) -> Money,
    o: &Options,
) -> (Vec<&'a WaitingJob>, Vec<(&'a str, NotLendable)>) {
    let (mut go, mut stay) = (Vec::new(), Vec::new());
    let mut local: f64 = waiting.iter().map(WaitingJob::cpus).sum();
    let mut order: Vec<&WaitingJob> = waiting.iter().collect();
    // Those that are latest, or have least time, first.
    order.sort_by_key(|w| {
        (
            w.left_ms.unwrap_or(i64::MAX),
            std::cmp::Reverse(w.waited_ms),
        )
    });
    for w in order {
        let why = w.stays(o).or_else(|| {
            if money(&w.team) == 0 || w.rent == 0 {
                Some(NotLendable::NoBudget)
            } else if lent + go.len() >= o.jobs {
                Some(NotLendable::Enough)
            } else if local - w.cpus() < o.local_floor_cpus {
                Some(NotLendable::Floor)
            } else {
                None
            }
        });
        match why {
            Some(why) => stay.push((w.job.as_str(), why)),
            None => {
                local -= w.cpus();
                go.push(w);
            }
        }
    }
    (go, stay)
}

#[cfg(test)]
mod tests;
